//! What an endpoint does with a request: how long it works, and how that ends. Written once, for endpoints in virtual
//! time and for those on sockets.

use appledyke::units::{Moment, Span};
use oorandom::Rand64;

use crate::faults::Weather;
use crate::scenario::{Group, Scenario, Spread, millis};

/// What comes back for a request, if anything does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Good,
    /// An error at once, with no work done.
    QuickError,
    Error,
    Spoilt,
    Cut,
    Reset,
    Lost,
}

/// One request's service.
pub struct Service {
    pub fate: Fate,
    /// For which a core works on it.
    pub takes: Span,
    /// What that would be on a core of usual speed, in seconds.
    pub work: f64,
}

/// Draws the service of a request of this method at an endpoint: its tier, speed and start, and its weather.
pub fn draw(
    scenario: &Scenario,
    (tier, speed, started): (usize, f64, Option<Moment>),
    weather: &Weather,
    (now, method): (Moment, usize),
    chance: &mut Rand64,
) -> Service {
    if chance.rand_float() < weather.error {
        return Service { fate: Fate::QuickError, takes: Span::ZERO, work: 0.0 };
    }
    let mut left = chance.rand_float();
    let fates = [
        (weather.spoilt, Fate::Spoilt),
        (weather.cut, Fate::Cut),
        (weather.reset, Fate::Reset),
        (weather.lost, Fate::Lost),
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
    let paused = weather.paused_until.map_or(Span::ZERO, |until| until.since(now));
    let takes = millis(work * weather.slower / (speed * cold)) + paused;
    Service { fate: drawn.map_or(Fate::Good, |(_, fate)| fate), takes, work: work / 1e3 }
}

/// The group within which an endpoint's repeats of a method's request are discarded.
pub fn group(scenario: &Scenario, tier: usize, number: usize, method: usize) -> (usize, u64) {
    let group = match scenario.method[method].group {
        Group::All => 0,
        Group::Zone => number % scenario.zones,
        Group::Cell => number / scenario.tier[tier].cell_size,
    };
    (tier, group as u64)
}
