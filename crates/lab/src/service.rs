//! How an endpoint serves a request: its service time and its result. Shared by the simulated endpoints and the
//! emulated ones on real sockets.

use appledyke::units::{Moment, Span};
use oorandom::Rand64;

use crate::faults::ActiveFaults;
use crate::scenario::{Group, Scenario, Spread, millis};

/// How the service of a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Good,
    /// An immediate error without any work done.
    ImmediateError,
    Error,
    /// A malformed response.
    Malformed,
    /// A truncated response.
    Cut,
    /// A connection reset.
    Reset,
    /// The work is done but no response arrives.
    Lost,
}

/// One request's service.
pub struct Service {
    pub fate: Fate,
    /// How long a core is busy with it.
    pub takes: Span,
    /// Seconds of work on a core of normal speed.
    pub work: f64,
}

/// Draws a request's service at random, given the endpoint's tier, speed, start time and active faults.
pub fn draw(
    scenario: &Scenario,
    (tier, speed, started): (usize, f64, Option<Moment>),
    active: &ActiveFaults,
    (now, method): (Moment, usize),
    chance: &mut Rand64,
) -> Service {
    if chance.rand_float() < active.error {
        return Service { fate: Fate::ImmediateError, takes: Span::ZERO, work: 0.0 };
    }
    let mut left = chance.rand_float();
    let fates = [
        (active.spoilt, Fate::Malformed),
        (active.cut, Fate::Cut),
        (active.reset, Fate::Reset),
        (active.lost, Fate::Lost),
    ];
    let drawn = fates.into_iter().find(|(part, _)| {
        left -= part;
        left < 0.0
    });
    let mean = scenario.work(tier, method);
    let work = match scenario.tier[tier].spread {
        Spread::Fixed => mean,
        Spread::Exponential => -(1.0 - chance.rand_float()).ln() * mean,
    };
    let rules = &scenario.rules;
    let cold = match started.map(|at| now.since(at).secs() * 1e3 / rules.cold_ms.max(1) as f64) {
        Some(up) if up < 1.0 => rules.cold_start + (1.0 - rules.cold_start) * up,
        _ => 1.0,
    };
    let paused = active.paused_until.map_or(Span::ZERO, |until| until.since(now));
    let takes = millis(work * active.slower / (speed * cold)) + paused;
    Service { fate: drawn.map_or(Fate::Good, |(_, fate)| fate), takes, work: work / 1e3 }
}

/// The group of endpoints that an endpoint deduplicates requests of a method within, as its tier and number.
pub fn group(scenario: &Scenario, tier: usize, number: usize, method: usize) -> (usize, u64) {
    let group = match scenario.method[method].group {
        Group::All => 0,
        Group::Zone => number % scenario.zones,
        Group::Cell => number / scenario.tier[tier].cell_size,
    };
    (tier, group as u64)
}
