//! What a sidecar may use of the fleet's budgets: its part alone at any time, and what it is granted until its lease ends by
//! its own clock, counted from before it asked.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};
use serde::{Deserialize, Serialize};

use crate::budgets::{Budget, LogPosition, Resource};

/// By how much the rates of two clocks may differ: crystals differ by a ten-thousandth, a machine that is paused and set right
/// by far more, for a moment. A holder ends its lease, and lengthens its windows, by this much.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

/// A grant on its way to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub budget: Budget,
    pub share: u64,
    /// The entry that set it, or the last one that the leader has applied where it has no part.
    pub since: LogPosition,
    pub lease_ms: u64,
}

/// What a holder tells of its use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The entry that it acts on.
    pub acting_on: LogPosition,
    /// What it wanted in the last window, or wants now: what it used, and what it was refused.
    pub wanted: u64,
    /// Of a stock: the most that it holds at one endpoint.
    pub held: u64,
}

#[derive(Clone, Debug, Default)]
struct Limit {
    budget: Option<Budget>,
    alone: u64,
    part: u64,
    until: Moment,
    acts: LogPosition,
    /// When what counts in the window was spent.
    spent: VecDeque<Moment>,
    /// When it was refused.
    refused: VecDeque<Moment>,
    held: u64,
    wanted: u64,
}

impl Limit {
    fn allowed(&self, now: Moment) -> u64 {
        self.alone + if now < self.until { self.part } else { 0 }
    }

    fn window(&self) -> Span {
        Span::from_millis(self.budget.map_or(0, |budget| budget.window_ms)) * (1.0 + MAX_CLOCK_DRIFT)
    }

    fn forget(&mut self, now: Moment) {
        let window = self.window();
        for row in [&mut self.spent, &mut self.refused] {
            while row.front().is_some_and(|at| now.since(*at) > window) {
                row.pop_front();
            }
        }
    }
}

/// Refusals that are kept for what it wants: a bound of memory, and of what one member may ask for.
const REFUSED_MOST: usize = 100_000;

/// The flows that a write-out counts in: again for the same req, to an endpoint that is cold.
pub fn attempt_resources(again: bool, cold: bool) -> impl Iterator<Item = Resource> {
    let wanted = [(true, Resource::Attempts), (again, Resource::Retries), (cold, Resource::ColdAttempts)];
    wanted.into_iter().filter(|(wanted, _)| *wanted).map(|(_, of)| of)
}

#[derive(Clone, Debug, Default)]
pub struct Limits(BTreeMap<Resource, Limit>);

impl Limits {
    /// With what this sidecar's own file says that it may use alone: these things are limited from the start.
    pub fn new(alone: &BTreeMap<Resource, (u64, u64)>) -> Limits {
        let limit = |(of, (part, window_ms)): (&Resource, &(u64, u64))| {
            let budget = Budget {
                resource: *of,
                quota: 0,
                window_ms: *window_ms,
                min_share: 0,
                standalone_share: *part,
                max_members: 0,
            };
            (*of, Limit { budget: Some(budget), alone: *part, ..Limit::default() })
        };
        Limits(alone.iter().map(limit).collect())
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Grants came in an answer to what was asked at this moment. A thing that they do not name has no budget any more.
    pub fn apply_grants(&mut self, asked: Moment, grants: &[Grant]) {
        self.0.retain(|of, limit| {
            // Danger: one that this file limits stays limited, whatever a daemon does not know of.
            grants.iter().any(|grant| grant.budget.resource == *of) || limit.acts == LogPosition::default()
        });
        for grant in grants {
            let limit = self.0.entry(grant.budget.resource).or_default();
            // Danger: an answer of a leader that was, or one that was held back, must not bring back what was taken since.
            if grant.since < limit.acts {
                continue;
            }
            let until = asked + Span::from_millis(grant.lease_ms) * (1.0 - MAX_CLOCK_DRIFT);
            (limit.budget, limit.alone) = (Some(grant.budget), grant.budget.standalone_share);
            (limit.part, limit.until, limit.acts) = (grant.share, until, grant.since);
        }
    }

    /// Whether one more of a flow may be spent now; it is spent if so. The moment is that of the spending, not of the turn. A
    /// refusal counts as a wish only for the first that is asked for one thing.
    pub fn try_spend(&mut self, now: Moment, of: Resource, first: bool) -> bool {
        let Some(limit) = self.0.get_mut(&of) else { return true };
        limit.forget(now);
        let may = (limit.spent.len() as u64) < limit.allowed(now);
        if may {
            limit.spent.push_back(now);
        } else if first && limit.refused.len() < REFUSED_MOST {
            limit.refused.push_back(now);
        }
        may
    }

    /// Whether a write-out may be spent now, of all flows that it counts in: of all, or of none. A refusal counts as a wish
    /// for write-outs only where it is not one for the same req again.
    pub fn try_spend_attempt(&mut self, now: Moment, again: bool, cold: bool) -> bool {
        for (at, of) in attempt_resources(again, cold).enumerate() {
            if !self.try_spend(now, of, !again || at > 0) {
                // Danger: what is spent and not sent would be idle for a window.
                attempt_resources(again, cold).take(at).for_each(|of| self.refund(of));
                return false;
            }
        }
        true
    }

    /// One that was to be spent was not, after all.
    pub fn refund(&mut self, of: Resource) {
        if let Some(limit) = self.0.get_mut(&of) {
            limit.spent.pop_back();
        }
    }

    /// Whether one more of a stock may be held at an endpoint where so many are held.
    pub fn try_hold(&mut self, now: Moment, of: Resource, held: u64) -> bool {
        let Some(limit) = self.0.get_mut(&of) else { return true };
        let may = held < limit.allowed(now);
        limit.wanted = limit.wanted.max(held + 1);
        if may {
            limit.held = limit.held.max(held + 1);
        }
        may
    }

    /// The most that it holds at one endpoint now: what was given back counts no more.
    pub fn set_held(&mut self, of: Resource, held: u64) {
        if let Some(limit) = self.0.get_mut(&of) {
            limit.held = held;
        }
    }

    /// What it may have at most now; none where there is no limit.
    pub fn allowed(&self, now: Moment, of: Resource) -> Option<u64> {
        self.0.get(&of).map(|limit| limit.allowed(now))
    }

    /// For the daemons: what it acts on and wants, by thing.
    pub fn usage(&mut self, now: Moment) -> Vec<(Resource, Usage)> {
        let told = self.0.iter_mut().map(|(of, limit)| {
            limit.forget(now);
            let stock = std::mem::take(&mut limit.wanted).max(limit.held);
            let wants = if of.is_concurrency_limit() {
                stock
            } else {
                (limit.spent.len() + limit.refused.len()) as u64
            };
            (*of, Usage { acting_on: limit.acts, wanted: wants, held: limit.held })
        });
        told.collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn stamp(index: u64) -> LogPosition {
        LogPosition { generation: 0, index }
    }

    fn grant(of: Resource, part: u64, index: u64) -> Grant {
        let window_ms = if of.is_concurrency_limit() { 0 } else { 1000 };
        let budget = Budget {
            resource: of,
            quota: 100,
            window_ms,
            min_share: 1,
            standalone_share: 2,
            max_members: 10,
        };
        Grant { budget, share: part, since: stamp(index), lease_ms: 3000 }
    }

    #[test]
    fn a_flow_is_spent_within_its_part_and_after_its_lease_within_what_it_has_alone() {
        let of = Resource::Attempts;
        let mut limits = Limits::default();
        assert!((0..1000).all(|_| limits.try_spend(at(0), of, true)), "without a budget there is no limit");
        limits.apply_grants(at(0), &[grant(of, 10, 5)]);
        let spent = |limits: &mut Limits, ms| (0..100).filter(|_| limits.try_spend(at(ms), of, true)).count();
        assert_eq!((spent(&mut limits, 100), spent(&mut limits, 1000)), (12, 0));
        assert_eq!(
            limits.usage(at(1000))[0].1,
            Usage { acting_on: stamp(5), wanted: 12 + 88 + 100, held: 0 }
        );
        assert_eq!(spent(&mut limits, 1130), 12);
        // The lease is counted from before it asked, less the doubt of clocks.
        assert_eq!((spent(&mut limits, 2939), spent(&mut limits, 4000)), (12, 2));
    }

    #[test]
    fn a_grant_from_before_what_it_acts_on_is_dropped() {
        let of = Resource::Attempts;
        let mut limits = Limits::default();
        limits.apply_grants(at(0), &[grant(of, 10, 9)]);
        limits.apply_grants(at(100), &[grant(of, 80, 8)]);
        assert_eq!(limits.allowed(at(200), of), Some(12));
        // One that comes after its lease grants nothing.
        limits.apply_grants(at(0), &[grant(of, 80, 10)]);
        assert_eq!(limits.allowed(at(3500), of), Some(2));
    }

    #[test]
    fn a_stock_is_held_up_to_its_part_and_says_what_it_holds() {
        let of = Resource::Connections;
        let mut limits = Limits::default();
        limits.apply_grants(at(0), &[grant(of, 3, 5)]);
        assert!((0..5).all(|held| limits.try_hold(at(1), of, held)));
        assert!(!limits.try_hold(at(1), of, 5));
        assert_eq!(limits.usage(at(1))[0].1, Usage { acting_on: stamp(5), wanted: 6, held: 5 });
        // Its lease is over: what it holds it holds, and takes nothing new.
        assert!(!limits.try_hold(at(4000), of, 4));
        assert_eq!(limits.usage(at(4000))[0].1, Usage { acting_on: stamp(5), wanted: 5, held: 5 });
        limits.set_held(of, 1);
        assert_eq!(limits.usage(at(4000))[0].1.held, 1);
    }

    #[test]
    fn what_its_file_limits_is_limited_before_any_daemon_is_heard() {
        let of = Resource::Retries;
        let mut limits = Limits::new(&BTreeMap::from([(of, (2, 1000))]));
        assert_eq!((0..9).filter(|_| limits.try_spend(at(0), of, true)).count(), 2);
        limits.apply_grants(at(10), &[]);
        assert_eq!((0..9).filter(|_| limits.try_spend(at(20), of, true)).count(), 0);
        limits.apply_grants(at(30), &[grant(of, 5, 1)]);
        assert_eq!((0..9).filter(|_| limits.try_spend(at(40), of, true)).count(), 5);
        // A budget that was agreed on and is no more limits nothing.
        limits.apply_grants(at(50), &[]);
        assert!((0..99).all(|_| limits.try_spend(at(60), of, true)));
    }
}
