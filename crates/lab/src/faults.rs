//! What is wrong with an endpoint at a moment, by the scenario's schedule. The seed decides whom a share
//! strikes; several faults may strike one endpoint at once.

use appledyke::units::Moment;
use oorandom::Rand64;

use crate::scenario::{Fault, Kind, Scenario, at_ms};

/// Sizes where a fault names none: times slower, chance of an error, times the load.
const SLOWER: f64 = 4.0;
const ERRORS: f64 = 0.8;
const SPOILT: f64 = 0.3;
const MORE_LOAD: f64 = 2.0;
/// Part of a deploy's time that an endpoint drains before it ends, so that what it has can end well.
const DRAIN_SHARE: f64 = 0.25;

/// What an endpoint is like at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weather {
    /// Times longer that work takes.
    pub slower: f64,
    /// Chances of each ending in place of a good answer.
    pub error: f64,
    pub spoilt: f64,
    pub cut: f64,
    pub reset: f64,
    pub lost: f64,
    pub refuses: bool,
    /// Until when it does not work at all, though it takes requests.
    pub paused_until: Option<Moment>,
}

/// A change in an endpoint's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    Drains,
    /// It ends, and says so: connections are reset, new ones refused.
    Ends,
    /// It ends without a word.
    Vanishes,
    /// A new process, cold.
    Starts,
    /// The same process is in reach again.
    Returns,
}

pub struct Faults {
    /// Each with whom it strikes, as a flag for each endpoint, zone or sidecar.
    faults: Vec<(Fault, Vec<bool>)>,
    zones: usize,
}

impl Fault {
    pub fn on(&self, now: Moment) -> bool {
        now >= at_ms(self.from_ms) && now < at_ms(self.from_ms.saturating_add(self.for_ms))
    }

    fn size(&self, usual: f64) -> f64 {
        self.size.unwrap_or(usual)
    }
}

impl Faults {
    pub fn draw(scenario: &Scenario, seed: u64) -> Faults {
        let mut chance = Rand64::new(u128::from(seed) << 64 | 0xfa17);
        let mut faults = Vec::new();
        for fault in &scenario.fault {
            let things = scenario.things(fault);
            let mut struck = vec![fault.share.is_none() && fault.ids.is_empty(); things];
            fault.ids.iter().for_each(|id| struck[*id] = true);
            if let Some(share) = fault.share {
                // A share above nought strikes one at least: a fault that strikes nobody would test nothing.
                let least = usize::from(share > 0.0 && things > 0);
                let wanted = ((things as f64 * share).round() as usize).max(least);
                while struck.iter().filter(|is| **is).count() < wanted {
                    struck[chance.rand_range(0..things as u64) as usize] = true;
                }
            }
            faults.push((fault.clone(), struck));
        }
        Faults { faults, zones: scenario.zones }
    }

    fn strikes(&self, fault: &Fault, struck: &[bool], tier: usize, endpoint: usize) -> bool {
        match fault.kind {
            Kind::ZoneLoss => struck[endpoint % self.zones],
            _ => fault.tier == tier && struck.get(endpoint).copied().unwrap_or(false),
        }
    }

    pub fn weather(&self, tier: usize, endpoint: usize, now: Moment) -> Weather {
        let mut weather = Weather {
            slower: 1.0,
            error: 0.0,
            spoilt: 0.0,
            cut: 0.0,
            reset: 0.0,
            lost: 0.0,
            refuses: false,
            paused_until: None,
        };
        let on = self.faults.iter().filter(|(f, who)| f.on(now) && self.strikes(f, who, tier, endpoint));
        for (fault, _) in on {
            match fault.kind {
                Kind::Slow => weather.slower *= fault.size(SLOWER).max(0.01),
                Kind::QuickErrors => weather.error = weather.error.max(fault.size(ERRORS)),
                Kind::Spoilt => weather.spoilt = weather.spoilt.max(fault.size(SPOILT)),
                Kind::Cut => weather.cut = weather.cut.max(fault.size(SPOILT)),
                Kind::Reset => weather.reset = weather.reset.max(fault.size(SPOILT)),
                Kind::LostAnswers => weather.lost = weather.lost.max(fault.size(SPOILT)),
                Kind::Refuse => weather.refuses = true,
                Kind::Pause => {
                    let until = at_ms(fault.from_ms.saturating_add(fault.for_ms));
                    weather.paused_until = weather.paused_until.max(Some(until));
                }
                _ => {}
            }
        }
        weather
    }

    /// All changes in the lives of endpoints, in the order of time, then of tier and endpoint.
    pub fn turns(&self, scenario: &Scenario) -> Vec<(Moment, usize, usize, Turn)> {
        let mut turns = Vec::new();
        for (fault, struck) in &self.faults {
            let (from, until) = (fault.from_ms, fault.from_ms.saturating_add(fault.for_ms));
            let tiers = if fault.kind == Kind::ZoneLoss {
                0..scenario.tier.len()
            } else {
                fault.tier..fault.tier + 1
            };
            for tier in tiers {
                let whom: Vec<usize> = (0..scenario.tier[tier].endpoints)
                    .filter(|endpoint| self.strikes(fault, struck, tier, *endpoint))
                    .collect();
                for (place, endpoint) in whom.iter().copied().enumerate() {
                    let mut add = |at: u64, turn| turns.push((at_ms(at), tier, endpoint, turn));
                    match fault.kind {
                        Kind::Crash => {
                            add(from, Turn::Ends);
                            add(until, Turn::Starts);
                        }
                        Kind::Silence => {
                            add(from, Turn::Vanishes);
                            add(until, Turn::Returns);
                        }
                        Kind::ZoneLoss => {
                            add(from, Turn::Vanishes);
                            add(until, Turn::Starts);
                        }
                        Kind::Deploy => {
                            // One after the other, each in its part of the time.
                            let part = fault.for_ms as f64 / whom.len() as f64;
                            let begins = from as f64 + part * place as f64;
                            add(begins as u64, Turn::Drains);
                            let drain = (part * DRAIN_SHARE).max(scenario.rules.drain_grace_ms as f64);
                            add((begins + drain) as u64, Turn::Ends);
                            add((begins + drain + part) as u64, Turn::Starts);
                        }
                        _ => {}
                    }
                }
            }
        }
        turns.sort();
        turns
    }

    /// Times the usual load at a moment.
    pub fn load(&self, now: Moment) -> f64 {
        let bursts = self.faults.iter().filter(|(f, _)| f.kind == Kind::Burst && f.on(now));
        bursts.map(|(f, _)| f.size(MORE_LOAD)).product()
    }

    /// The weight of a first-tier sidecar among those that clients go to.
    pub fn heat(&self, sidecar: usize, now: Moment) -> f64 {
        let hot =
            self.faults.iter().filter(|(f, who)| f.kind == Kind::HotSidecar && f.on(now) && who[sidecar]);
        hot.map(|(f, _)| f.size(SLOWER)).product()
    }

    pub fn list_absent(&self, now: Moment) -> bool {
        self.faults.iter().any(|(f, _)| f.kind == Kind::ListAbsent && f.on(now))
    }

    /// Further milliseconds that the list takes.
    pub fn list_late_ms(&self, now: Moment) -> f64 {
        let late = self.faults.iter().filter(|(f, _)| f.kind == Kind::ListLate && f.on(now));
        late.map(|(f, _)| f.size(2000.0)).sum()
    }

    /// When which first-tier sidecars are killed, one after the other within the fault's time, and how long each
    /// is away.
    pub fn restarts(&self) -> Vec<(Moment, usize, u64)> {
        let mut restarts = Vec::new();
        for (fault, who) in self.faults.iter().filter(|(f, _)| f.kind == Kind::RestartSidecars) {
            let struck: Vec<usize> = (0..who.len()).filter(|at| who[*at]).collect();
            let part = fault.for_ms as f64 / struck.len().max(1) as f64;
            for (place, sidecar) in struck.into_iter().enumerate() {
                let at = fault.from_ms + (part * place as f64) as u64;
                restarts.push((at_ms(at), sidecar, fault.size(500.0) as u64));
            }
        }
        restarts.sort();
        restarts
    }
}
