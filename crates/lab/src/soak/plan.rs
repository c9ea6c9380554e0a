//! Plans of a run: its events and their times, drawn from a seed and short enough to read.

use std::time::Duration;

use oorandom::Rand64;

/// How an endpoint handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers 200 after some milliseconds.
    Healthy,
    /// It answers 500.
    Fails,
    /// It rejects requests, and marks them as never run.
    Rejects,
    /// It reads requests and never answers.
    Hangs,
    /// It resets the connection while a request is pending.
    Resets,
    /// It sends part of a response and closes the connection.
    BreaksOff,
    /// It closes the connection right after a response.
    Closes,
    /// It stops reading within a request, and closes the connection later.
    StopsReading,
}

/// An event of a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery goes down: its watches close, and calls hang before they are rejected.
    DiscoveryDown,
    /// Discovery is up again.
    DiscoveryUp,
    /// All open watches stay open but send nothing more.
    WatchesStall,
    /// All open watches are reset.
    WatchesReset,
    /// An endpoint drains, and is removed some seconds later; or is removed at once.
    Drains(usize),
    Removed(usize),
    /// An endpoint is up again, with a cold start.
    Returns(usize),
    Behaves(usize, Behaviour),
    /// SIGHUP, with a configuration that names a new address of discovery.
    Reconfigure(usize),
    /// SIGTERM, and SIGKILL at the earliest time that the operators' page allows.
    Shutdown(usize),
    /// SIGKILL.
    Kill(usize),
    /// The sidecar is started again.
    Start(usize),
    /// SIGSTOP, and SIGCONT after this time.
    Pause(usize, Duration),
    /// This many clients connect to a sidecar, send nothing and stay connected.
    ConnectIdleClients(usize, usize),
    /// Some clients send unsound requests to a sidecar at full speed for this long.
    Flood(usize, Duration),
}

/// The plan of a whole run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub sidecars: usize,
    pub endpoints: usize,
    pub clients: usize,
    /// Longest deadline in the settings, and the time within which sending to a draining endpoint must stop.
    pub deadline: Duration,
    pub stop_sending: Duration,
    /// Discovery's time for a call, and the capacity of its queue.
    pub call_time: Duration,
    pub queue_capacity: usize,
    /// The value of `askWithinNs` in the settings.
    pub ask_within: Duration,
    pub events: Vec<(Duration, Event)>,
    pub duration: Duration,
    /// Whether idle clients connect to a sidecar, whose limit on sockets is lower in such a plan.
    pub has_idle_clients: bool,
    /// Whether some requests are longer than a sidecar buffers as a whole.
    pub has_long_requests: bool,
}

/// Time in which discovery can serve one call of each sidecar.
const DISCOVERY_ROUND: Duration = Duration::from_millis(2500);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Marks a random sequence of its own for slow and flooding peers, so that the rest of a seed's plan does not depend on
/// them.
const PEERS_STREAM: u128 = 1 << 64;

/// Draws random time spans and choices.
struct Random(Rand64);

impl Random {
    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.0.rand_range(least..most + 1)
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        millis(self.between(least, most))
    }

    fn below(&mut self, most: usize) -> usize {
        self.0.rand_range(0..most as u64) as usize
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }
}

impl Plan {
    /// Draws the plan of this seed.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Random(Rand64::new(u128::from(seed)));
        // Discovery with hardly enough capacity for its callers, and long series of new configurations.
        let busy_discovery = random.chance(0.4);
        let fewest_sidecars = if busy_discovery { 7 } else { 2 };
        let (sidecars, endpoints) =
            (random.between(fewest_sidecars, 9) as usize, random.between(4, 7) as usize);
        // Discovery serves one call of each sidecar within `DISCOVERY_ROUND`.
        let longest_call = (DISCOVERY_ROUND.as_millis() as u64 / sidecars as u64).min(300);
        let call_time = random.millis(if busy_discovery { longest_call * 4 / 5 } else { 10 }, longest_call);
        let mut plan = Plan {
            seed,
            sidecars,
            endpoints,
            clients: sidecars + random.between(1, 4) as usize,
            deadline: random.millis(600, 2500),
            stop_sending: random.millis(500, 1500),
            call_time,
            queue_capacity: random.between(3, 12) as usize,
            ask_within: millis(10_000),
            events: Vec::new(),
            duration: Duration::ZERO,
            has_idle_clients: random.chance(0.3),
            has_long_requests: false,
        };
        let begin = random.millis(1500, 3000);
        let restored = plan.outage(&mut random, begin);
        let from = restored + random.millis(0, 4000);
        let reconfigured = plan.reconfigurations(&mut random, from, busy_discovery);
        plan.drains(&mut random, begin, reconfigured);
        plan.restarts(&mut random, from);
        plan.faulty_endpoints(&mut random, begin);
        if plan.has_idle_clients {
            let (at, sidecar, clients) = (begin + random.millis(0, 4000), random.below(sidecars), 60);
            plan.events.push((at, Event::ConnectIdleClients(sidecar, clients)));
        }
        for _ in 0..random.between(1, 4) {
            let (at, sidecar) = (begin + random.millis(0, 9000), random.below(sidecars));
            plan.events.push((at, Event::Pause(sidecar, random.millis(40, 150))));
        }
        plan.slow_and_flooding_peers(&mut Random(Rand64::new(u128::from(seed) | PEERS_STREAM)), begin);
        plan.events.sort_by_key(|(at, _)| *at);
        let last = plan.events.iter().map(|(at, _)| *at).max().unwrap_or_default();
        plan.duration = last.max(from + millis(6000)) + plan.deadline + millis(4000);
        plan
    }

    /// Discovery is down for a while, or its watches fail. Returns the end of the outage.
    fn outage(&mut self, random: &mut Random, begin: Duration) -> Duration {
        let restored = begin + random.millis(500, 14_000);
        match random.below(5) {
            0..=2 => {
                self.events.push((begin, Event::DiscoveryDown));
                self.events.push((restored, Event::DiscoveryUp));
                return restored;
            }
            3 => self.events.push((begin, Event::WatchesStall)),
            _ => self.events.push((begin, Event::WatchesReset)),
        }
        begin
    }

    /// Each sidecar gets a series of new configurations. Returns the time of the last one, or `from` if there is none.
    fn reconfigurations(&mut self, random: &mut Random, from: Duration, long_series: bool) -> Duration {
        if !long_series && random.chance(0.2) {
            return from;
        }
        let mut last = from;
        let (stagger, fewest) =
            if long_series { (random.millis(300, 500), 3) } else { (random.millis(0, 500), 1) };
        for sidecar in 0..self.sidecars {
            let mut at = from + stagger * sidecar as u32;
            for _ in 0..random.between(fewest, 5) {
                self.events.push((at, Event::Reconfigure(sidecar)));
                last = last.max(at);
                at += random.millis(80, 1000);
            }
        }
        last
    }

    /// Endpoints drain, are removed and return with a cold start, from the outage until the last new configuration. At
    /// least two endpoints always stay.
    fn drains(&mut self, random: &mut Random, from: Duration, until: Duration) {
        let changing = random.between(1, self.endpoints as u64 - 2) as usize;
        for endpoint in 0..changing {
            let span = until.saturating_sub(from) + millis(1000);
            let at = from + random.millis(0, span.as_millis() as u64);
            if random.chance(0.7) {
                self.events.push((at, Event::Drains(endpoint)));
                self.events.push((at + random.millis(1500, 5000), Event::Removed(endpoint)));
            } else {
                self.events.push((at, Event::Removed(endpoint)));
            }
            if random.chance(0.3) {
                self.events.push((at + random.millis(5500, 8000), Event::Returns(endpoint)));
            }
        }
    }

    /// Some sidecars are shut down or killed, and started again.
    fn restarts(&mut self, random: &mut Random, from: Duration) {
        for sidecar in 0..self.sidecars - 1 {
            if random.chance(0.3) {
                continue;
            }
            let at = from + random.millis(0, 4000);
            if random.chance(0.7) {
                self.events.push((at, Event::Shutdown(sidecar)));
                // `run` starts it again after the shutdown.
            } else {
                self.events.push((at, Event::Kill(sidecar)));
                self.events.push((at + random.millis(100, 2500), Event::Start(sidecar)));
            }
        }
    }

    /// In some plans requests are long and endpoints stop reading for a while, and clients send at full speed.
    fn slow_and_flooding_peers(&mut self, random: &mut Random, begin: Duration) {
        self.has_long_requests = random.chance(0.5);
        if self.has_long_requests {
            for _ in 0..random.between(1, 3) {
                let (endpoint, at) = (random.below(self.endpoints - 1), begin + random.millis(0, 6000));
                self.events.push((at, Event::Behaves(endpoint, Behaviour::StopsReading)));
                self.events
                    .push((at + random.millis(1000, 5000), Event::Behaves(endpoint, Behaviour::Healthy)));
            }
        }
        if random.chance(0.5) {
            let (at, sidecar) = (begin + random.millis(0, 6000), random.below(self.sidecars));
            self.events.push((at, Event::Flood(sidecar, random.millis(1000, 4000))));
        }
    }

    /// Some endpoints fail in some manner for a while.
    fn faulty_endpoints(&mut self, random: &mut Random, begin: Duration) {
        let faults = [
            Behaviour::Fails,
            Behaviour::Rejects,
            Behaviour::Hangs,
            Behaviour::Resets,
            Behaviour::BreaksOff,
            Behaviour::Closes,
        ];
        for _ in 0..random.between(1, 3) {
            let (endpoint, at) = (random.below(self.endpoints - 1), begin + random.millis(0, 6000));
            self.events.push((at, Event::Behaves(endpoint, faults[random.below(faults.len())])));
            self.events.push((at + random.millis(500, 5000), Event::Behaves(endpoint, Behaviour::Healthy)));
        }
    }
}
