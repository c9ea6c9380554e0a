//! Injected faults, by the scenario's schedule. For faults given as a share, the seed decides which targets are
//! affected; several faults may affect one endpoint at once.

use appledyke::units::Moment;
use oorandom::Rand64;

use crate::scenario::{Fault, Kind, Scenario, at_ms};

/// Default fault sizes: slowdown factor, error probability, bad response probability, load factor.
const SLOWER: f64 = 4.0;
const ERRORS: f64 = 0.8;
const SPOILT: f64 = 0.3;
const MORE_LOAD: f64 = 2.0;
/// Part of an endpoint's deploy time spent draining before it stops, so that requests in flight can finish.
const DRAIN_SHARE: f64 = 0.25;

/// The combined effect of the faults active on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActiveFaults {
    /// Factor on service times.
    pub slower: f64,
    /// Probability of each failure in place of a good response.
    pub error: f64,
    pub spoilt: f64,
    pub cut: f64,
    pub reset: f64,
    pub lost: f64,
    pub refuses: bool,
    /// While paused, the endpoint accepts requests but does no work.
    pub paused_until: Option<Moment>,
}

/// A change in an endpoint's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleChange {
    Drains,
    /// It stops visibly: connections are reset and new ones refused.
    Ends,
    /// It becomes unreachable without closing its connections.
    Vanishes,
    /// A new process starts, in slow start.
    Starts,
    /// The same process is reachable again.
    Returns,
}

pub struct Faults {
    /// Each fault, with a flag for each endpoint, zone or sidecar that it affects.
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
            let count = scenario.target_count(fault);
            let mut affected = vec![fault.share.is_none() && fault.ids.is_empty(); count];
            fault.ids.iter().for_each(|id| affected[*id] = true);
            if let Some(share) = fault.share {
                // A share above 0 affects at least one target: a fault without targets would test nothing.
                let least = usize::from(share > 0.0 && count > 0);
                let wanted = ((count as f64 * share).round() as usize).max(least);
                while affected.iter().filter(|is| **is).count() < wanted {
                    affected[chance.rand_range(0..count as u64) as usize] = true;
                }
            }
            faults.push((fault.clone(), affected));
        }
        Faults { faults, zones: scenario.zones }
    }

    fn affects(&self, fault: &Fault, affected: &[bool], tier: usize, endpoint: usize) -> bool {
        match fault.kind {
            Kind::ZoneLoss => affected[endpoint % self.zones],
            _ => fault.tier == tier && affected.get(endpoint).copied().unwrap_or(false),
        }
    }

    pub fn active_on(&self, tier: usize, endpoint: usize, now: Moment) -> ActiveFaults {
        let mut active = ActiveFaults {
            slower: 1.0,
            error: 0.0,
            spoilt: 0.0,
            cut: 0.0,
            reset: 0.0,
            lost: 0.0,
            refuses: false,
            paused_until: None,
        };
        let on =
            self.faults.iter().filter(|(f, affected)| f.on(now) && self.affects(f, affected, tier, endpoint));
        for (fault, _) in on {
            match fault.kind {
                Kind::Slow => active.slower *= fault.size(SLOWER).max(0.01),
                Kind::QuickErrors => active.error = active.error.max(fault.size(ERRORS)),
                Kind::Spoilt => active.spoilt = active.spoilt.max(fault.size(SPOILT)),
                Kind::Cut => active.cut = active.cut.max(fault.size(SPOILT)),
                Kind::Reset => active.reset = active.reset.max(fault.size(SPOILT)),
                Kind::LostAnswers => active.lost = active.lost.max(fault.size(SPOILT)),
                Kind::Refuse => active.refuses = true,
                Kind::Pause => {
                    let until = at_ms(fault.from_ms.saturating_add(fault.for_ms));
                    active.paused_until = active.paused_until.max(Some(until));
                }
                _ => {}
            }
        }
        active
    }

    /// All lifecycle changes of endpoints, ordered by time, tier and endpoint.
    pub fn lifecycle_changes(&self, scenario: &Scenario) -> Vec<(Moment, usize, usize, LifecycleChange)> {
        let mut changes = Vec::new();
        for (fault, affected) in &self.faults {
            let (from, until) = (fault.from_ms, fault.from_ms.saturating_add(fault.for_ms));
            let tiers = if fault.kind == Kind::ZoneLoss {
                0..scenario.tier.len()
            } else {
                fault.tier..fault.tier + 1
            };
            for tier in tiers {
                let targets: Vec<usize> = (0..scenario.tier[tier].endpoints)
                    .filter(|endpoint| self.affects(fault, affected, tier, *endpoint))
                    .collect();
                for (place, endpoint) in targets.iter().copied().enumerate() {
                    let mut add = |at: u64, turn| changes.push((at_ms(at), tier, endpoint, turn));
                    match fault.kind {
                        Kind::Crash => {
                            add(from, LifecycleChange::Ends);
                            add(until, LifecycleChange::Starts);
                        }
                        Kind::Silence => {
                            add(from, LifecycleChange::Vanishes);
                            add(until, LifecycleChange::Returns);
                        }
                        Kind::ZoneLoss => {
                            add(from, LifecycleChange::Vanishes);
                            add(until, LifecycleChange::Starts);
                        }
                        Kind::Deploy => {
                            // A rolling deploy: endpoints restart one after another, each in its own time slice.
                            let part = fault.for_ms as f64 / targets.len() as f64;
                            let begins = from as f64 + part * place as f64;
                            add(begins as u64, LifecycleChange::Drains);
                            let drain = (part * DRAIN_SHARE).max(scenario.rules.drain_grace_ms as f64);
                            add((begins + drain) as u64, LifecycleChange::Ends);
                            add((begins + drain + part) as u64, LifecycleChange::Starts);
                        }
                        _ => {}
                    }
                }
            }
        }
        changes.sort();
        changes
    }

    /// The factor on the normal load.
    pub fn load(&self, now: Moment) -> f64 {
        let bursts = self.faults.iter().filter(|(f, _)| f.kind == Kind::Burst && f.on(now));
        bursts.map(|(f, _)| f.size(MORE_LOAD)).product()
    }

    /// The factor on the share of clients that go to a first-tier sidecar.
    pub fn heat(&self, sidecar: usize, now: Moment) -> f64 {
        let hot = self
            .faults
            .iter()
            .filter(|(f, affected)| f.kind == Kind::HotSidecar && f.on(now) && affected[sidecar]);
        hot.map(|(f, _)| f.size(SLOWER)).product()
    }

    pub fn list_absent(&self, now: Moment) -> bool {
        self.faults.iter().any(|(f, _)| f.kind == Kind::ListAbsent && f.on(now))
    }

    /// Extra delay of endpoint lists, in milliseconds.
    pub fn list_late_ms(&self, now: Moment) -> f64 {
        let late = self.faults.iter().filter(|(f, _)| f.kind == Kind::ListLate && f.on(now));
        late.map(|(f, _)| f.size(2000.0)).sum()
    }

    /// Restarts of first-tier sidecars, spread over the fault's time: when, which sidecar, and its downtime in
    /// milliseconds.
    pub fn restarts(&self) -> Vec<(Moment, usize, u64)> {
        let mut restarts = Vec::new();
        for (fault, flags) in self.faults.iter().filter(|(f, _)| f.kind == Kind::RestartSidecars) {
            let affected: Vec<usize> = (0..flags.len()).filter(|at| flags[*at]).collect();
            let part = fault.for_ms as f64 / affected.len().max(1) as f64;
            for (place, sidecar) in affected.into_iter().enumerate() {
                let at = fault.from_ms + (part * place as f64) as u64;
                restarts.push((at_ms(at), sidecar, fault.size(500.0) as u64));
            }
        }
        restarts.sort();
        restarts
    }
}
