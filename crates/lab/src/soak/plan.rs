//! What happens in a run and when: drawn from a seed, and small enough to be read.

use std::time::Duration;

use oorandom::Rand64;

/// How an endpoint treats what reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers after some milliseconds.
    Well,
    /// It answers 500.
    Fails,
    /// It turns requests away as never run.
    TurnsAway,
    /// It reads and never answers.
    Hangs,
    /// It resets the connection under a request.
    Resets,
    /// It sends half of an answer and ends.
    BreaksOff,
    /// It ends the connection right after an answer.
    Closes,
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery is down: its watches end, calls hang and are refused.
    DiscoveryDown,
    /// It is back.
    DiscoveryBack,
    /// All open watches fall silent.
    WatchesSilent,
    /// All open watches are reset.
    WatchesReset,
    /// An endpoint drains, and goes after some seconds; or goes at once.
    Drains(usize),
    Removed(usize),
    /// An endpoint is up again, cold.
    Returns(usize),
    Behaves(usize, Behaviour),
    /// SIGHUP with the next address of discovery.
    Move(usize),
    /// SIGTERM, and SIGKILL at the page's earliest.
    Leave(usize),
    /// SIGKILL.
    Kill(usize),
    /// The sidecar is started again.
    Start(usize),
    /// SIGSTOP for so long.
    HoldUp(usize, Duration),
    /// Clients that say nothing connect to a sidecar, so many, and stay.
    Crowd(usize, usize),
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub sidecars: usize,
    pub endpoints: usize,
    pub clients: usize,
    /// Longest deadline of the settings, and how soon sending to a drained endpoint ends.
    pub deadline: Duration,
    pub stop_sending: Duration,
    /// Discovery's time for a call, and how many wait.
    pub call_time: Duration,
    pub queue_most: usize,
    pub asked_within: Duration,
    pub events: Vec<(Duration, Event)>,
    pub lasts: Duration,
    pub crowded: bool,
}

/// In which discovery works through one call of each sidecar.
const ROOM: Duration = Duration::from_millis(2500);

fn millis(of: u64) -> Duration {
    Duration::from_millis(of)
}

/// Draws spans and choices.
struct Draw(Rand64);

impl Draw {
    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.0.rand_range(least..most + 1)
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        millis(self.between(least, most))
    }

    fn below(&mut self, most: usize) -> usize {
        self.0.rand_range(0..most as u64) as usize
    }

    fn chance(&mut self, part: f64) -> bool {
        self.0.rand_float() < part
    }
}

impl Plan {
    /// The plan of this seed.
    pub fn draw(seed: u64) -> Plan {
        let mut draw = Draw(Rand64::new(u128::from(seed)));
        // Discovery that has hardly room for all its callers, and configurations in long series.
        let busy_discovery = draw.chance(0.4);
        let least = if busy_discovery { 7 } else { 2 };
        let (sidecars, endpoints) = (draw.between(least, 9) as usize, draw.between(4, 7) as usize);
        // It works through one call of each in `ROOM`.
        let most = (ROOM.as_millis() as u64 / sidecars as u64).min(300);
        let call_time = draw.millis(if busy_discovery { most * 4 / 5 } else { 10 }, most);
        let mut plan = Plan {
            seed,
            sidecars,
            endpoints,
            clients: sidecars + draw.between(1, 4) as usize,
            deadline: draw.millis(600, 2500),
            stop_sending: draw.millis(500, 1500),
            call_time,
            queue_most: draw.between(3, 12) as usize,
            asked_within: millis(10_000),
            events: Vec::new(),
            lasts: Duration::ZERO,
            crowded: draw.chance(0.3),
        };
        let begin = draw.millis(1500, 3000);
        let back = plan.outage(&mut draw, begin);
        let from = back + draw.millis(0, 4000);
        let moved = plan.moves(&mut draw, from, busy_discovery);
        plan.drains(&mut draw, begin, moved);
        plan.restarts(&mut draw, from);
        plan.bad_endpoints(&mut draw, begin);
        if plan.crowded {
            let (at, sidecar, clients) = (begin + draw.millis(0, 4000), draw.below(sidecars), 60);
            plan.events.push((at, Event::Crowd(sidecar, clients)));
        }
        for _ in 0..draw.between(1, 4) {
            let (at, sidecar) = (begin + draw.millis(0, 9000), draw.below(sidecars));
            plan.events.push((at, Event::HoldUp(sidecar, draw.millis(40, 150))));
        }
        plan.events.sort_by_key(|(at, _)| *at);
        let last = plan.events.iter().map(|(at, _)| *at).max().unwrap_or_default();
        plan.lasts = last.max(from + millis(6000)) + plan.deadline + millis(4000);
        plan
    }

    /// Discovery is down for a while, or loses its watches. Returns when that is over.
    fn outage(&mut self, draw: &mut Draw, begin: Duration) -> Duration {
        let back = begin + draw.millis(500, 14_000);
        match draw.below(5) {
            0..=2 => {
                self.events.push((begin, Event::DiscoveryDown));
                self.events.push((back, Event::DiscoveryBack));
                return back;
            }
            3 => self.events.push((begin, Event::WatchesSilent)),
            _ => self.events.push((begin, Event::WatchesReset)),
        }
        begin
    }

    /// Each sidecar gets a series of new configurations, one after the other. Returns when they are over.
    fn moves(&mut self, draw: &mut Draw, from: Duration, long: bool) -> Duration {
        if !long && draw.chance(0.2) {
            return from;
        }
        let mut last = from;
        let (stagger, least) = if long { (draw.millis(300, 500), 3) } else { (draw.millis(0, 500), 1) };
        for sidecar in 0..self.sidecars {
            let mut at = from + stagger * sidecar as u32;
            for _ in 0..draw.between(least, 5) {
                self.events.push((at, Event::Move(sidecar)));
                last = last.max(at);
                at += draw.millis(80, 1000);
            }
        }
        last
    }

    /// Endpoints drain, vanish and come back cold, leaving two at least: from the outage on, until the configurations have
    /// come.
    fn drains(&mut self, draw: &mut Draw, from: Duration, until: Duration) {
        let changing = draw.between(1, self.endpoints as u64 - 2) as usize;
        for endpoint in 0..changing {
            let span = until.saturating_sub(from) + millis(1000);
            let at = from + draw.millis(0, span.as_millis() as u64);
            if draw.chance(0.7) {
                self.events.push((at, Event::Drains(endpoint)));
                self.events.push((at + draw.millis(1500, 5000), Event::Removed(endpoint)));
            } else {
                self.events.push((at, Event::Removed(endpoint)));
            }
            if draw.chance(0.3) {
                self.events.push((at + draw.millis(5500, 8000), Event::Returns(endpoint)));
            }
        }
    }

    /// Some sidecars leave or are killed, and come back.
    fn restarts(&mut self, draw: &mut Draw, from: Duration) {
        for sidecar in 0..self.sidecars - 1 {
            if draw.chance(0.3) {
                continue;
            }
            let at = from + draw.millis(0, 4000);
            if draw.chance(0.7) {
                self.events.push((at, Event::Leave(sidecar)));
                // `run` starts it again once it is over.
            } else {
                self.events.push((at, Event::Kill(sidecar)));
                self.events.push((at + draw.millis(100, 2500), Event::Start(sidecar)));
            }
        }
    }

    /// Some of the endpoints that stay are bad for a while.
    fn bad_endpoints(&mut self, draw: &mut Draw, begin: Duration) {
        let kinds = [
            Behaviour::Fails,
            Behaviour::TurnsAway,
            Behaviour::Hangs,
            Behaviour::Resets,
            Behaviour::BreaksOff,
            Behaviour::Closes,
        ];
        for _ in 0..draw.between(1, 3) {
            let (endpoint, at) = (draw.below(self.endpoints - 1), begin + draw.millis(0, 6000));
            self.events.push((at, Event::Behaves(endpoint, kinds[draw.below(kinds.len())])));
            self.events.push((at + draw.millis(500, 5000), Event::Behaves(endpoint, Behaviour::Well)));
        }
    }
}
