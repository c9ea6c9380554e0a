//! A sidecar's enforcement of the fleet's budgets: its standalone share at any time, and its granted share until the lease
//! expires by the sidecar's clock, counted from before it sent the report.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};
use serde::{Deserialize, Serialize};

use crate::budgets::{Budget, LogPosition, Resource};

/// How much the rates of two clocks may differ: quartz clocks differ by a ten-thousandth, but a machine that is paused and
/// then corrected by far more, for a moment. A holder shortens its lease, and lengthens its windows, by this fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

/// A grant in a daemon's answer to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub budget: Budget,
    pub share: u64,
    /// The log position that set the share, or the last one that the leader has applied if the holder has no share.
    pub since: LogPosition,
    pub lease_ms: u64,
}

/// A holder's report of its use of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The log position of the grant that it acts on.
    pub acting_on: LogPosition,
    /// Its demand in the last window, or now: what it used, and what it was refused.
    pub wanted: u64,
    /// For a concurrency limit: the most that it holds at one endpoint.
    pub held: u64,
}

#[derive(Clone, Debug, Default)]
struct Limit {
    budget: Option<Budget>,
    standalone_share: u64,
    share: u64,
    until: Moment,
    acting_on: LogPosition,
    /// The times of use within the window.
    spent: VecDeque<Moment>,
    /// The times of refusals within the window.
    refused: VecDeque<Moment>,
    held: u64,
    wanted: u64,
}

impl Limit {
    fn allowed(&self, now: Moment) -> u64 {
        self.standalone_share + if now < self.until { self.share } else { 0 }
    }

    fn window(&self) -> Span {
        Span::from_millis(self.budget.map_or(0, |budget| budget.window_ms)) * (1.0 + MAX_CLOCK_DRIFT)
    }

    fn drop_expired(&mut self, now: Moment) {
        let window = self.window();
        for row in [&mut self.spent, &mut self.refused] {
            while row.front().is_some_and(|at| now.since(*at) > window) {
                row.pop_front();
            }
        }
    }
}

/// Maximum number of refusals that are kept to measure demand: limits memory, and what one member can ask for.
const MAX_REFUSALS: usize = 100_000;

/// The rate limits that an attempt counts in: `again` for a retry of the same request, `cold` for a cold endpoint.
pub fn attempt_resources(again: bool, cold: bool) -> impl Iterator<Item = Resource> {
    let wanted = [(true, Resource::Attempts), (again, Resource::Retries), (cold, Resource::ColdAttempts)];
    wanted.into_iter().filter(|(wanted, _)| *wanted).map(|(_, of)| of)
}

#[derive(Clone, Debug, Default)]
pub struct Limits(BTreeMap<Resource, Limit>);

impl Limits {
    /// With the standalone shares of the sidecar's own configuration file: these resources are limited from the start.
    pub fn new(standalone_share: &BTreeMap<Resource, (u64, u64)>) -> Limits {
        let limit = |(of, (share, window_ms)): (&Resource, &(u64, u64))| {
            let budget = Budget {
                resource: *of,
                quota: 0,
                window_ms: *window_ms,
                min_share: 0,
                standalone_share: *share,
                max_members: 0,
            };
            (*of, Limit { budget: Some(budget), standalone_share: *share, ..Limit::default() })
        };
        Limits(standalone_share.iter().map(limit).collect())
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies the grants of an answer to the report that was made at `asked`. A resource without a grant has no budget any
    /// more.
    pub fn apply_grants(&mut self, asked: Moment, grants: &[Grant]) {
        self.0.retain(|of, limit| {
            // Danger: a limit of the sidecar's own file stays in force, even if the daemon does not know of it.
            grants.iter().any(|grant| grant.budget.resource == *of)
                || limit.acting_on == LogPosition::default()
        });
        for grant in grants {
            let limit = self.0.entry(grant.budget.resource).or_default();
            // Danger: an answer of a former leader, or a delayed one, must not restore a share that was taken back since.
            if grant.since < limit.acting_on {
                continue;
            }
            let until = asked + Span::from_millis(grant.lease_ms) * (1.0 - MAX_CLOCK_DRIFT);
            (limit.budget, limit.standalone_share) = (Some(grant.budget), grant.budget.standalone_share);
            (limit.share, limit.until, limit.acting_on) = (grant.share, until, grant.since);
        }
    }

    /// Takes one from a rate limit, if allowed. `now` is the time of the use itself, not of the event loop's turn. A refusal
    /// counts as demand only if `first` is set, so that repeated tries for the same purpose count once.
    pub fn try_spend(&mut self, now: Moment, of: Resource, first: bool) -> bool {
        let Some(limit) = self.0.get_mut(&of) else { return true };
        limit.drop_expired(now);
        let may = (limit.spent.len() as u64) < limit.allowed(now);
        if may {
            limit.spent.push_back(now);
        } else if first && limit.refused.len() < MAX_REFUSALS {
            limit.refused.push_back(now);
        }
        may
    }

    /// Takes an attempt from all rate limits that it counts in, or from none. A refusal counts as demand for attempts only if it
    /// is the first attempt of the request.
    pub fn try_spend_attempt(&mut self, now: Moment, again: bool, cold: bool) -> bool {
        for (at, of) in attempt_resources(again, cold).enumerate() {
            if !self.try_spend(now, of, !again || at > 0) {
                // Danger: what is taken but not sent would be lost for a window.
                attempt_resources(again, cold).take(at).for_each(|of| self.refund(of));
                return false;
            }
        }
        true
    }

    /// Gives back one that was taken but not used.
    pub fn refund(&mut self, of: Resource) {
        if let Some(limit) = self.0.get_mut(&of) {
            limit.spent.pop_back();
        }
    }

    /// Whether a concurrency limit allows one more at an endpoint where `held` are in use.
    pub fn try_hold(&mut self, now: Moment, of: Resource, held: u64) -> bool {
        let Some(limit) = self.0.get_mut(&of) else { return true };
        let may = held < limit.allowed(now);
        limit.wanted = limit.wanted.max(held + 1);
        if may {
            limit.held = limit.held.max(held + 1);
        }
        may
    }

    /// Sets the most that is held at one endpoint now, after some was given back.
    pub fn set_held(&mut self, of: Resource, held: u64) {
        if let Some(limit) = self.0.get_mut(&of) {
            limit.held = held;
        }
    }

    /// The limit now; `None` if the resource is not limited.
    pub fn allowed(&self, now: Moment, of: Resource) -> Option<u64> {
        self.0.get(&of).map(|limit| limit.allowed(now))
    }

    /// The usage by resource, for the report to the daemons.
    pub fn usage(&mut self, now: Moment) -> Vec<(Resource, Usage)> {
        let told = self.0.iter_mut().map(|(of, limit)| {
            limit.drop_expired(now);
            let stock = std::mem::take(&mut limit.wanted).max(limit.held);
            let wants = if of.is_concurrency_limit() {
                stock
            } else {
                (limit.spent.len() + limit.refused.len()) as u64
            };
            (*of, Usage { acting_on: limit.acting_on, wanted: wants, held: limit.held })
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

    fn grant(of: Resource, share: u64, index: u64) -> Grant {
        let window_ms = if of.is_concurrency_limit() { 0 } else { 1000 };
        let budget = Budget {
            resource: of,
            quota: 100,
            window_ms,
            min_share: 1,
            standalone_share: 2,
            max_members: 10,
        };
        Grant { budget, share, since: stamp(index), lease_ms: 3000 }
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
        // The lease is counted from before the report was sent, shortened by the maximum clock drift.
        assert_eq!((spent(&mut limits, 2939), spent(&mut limits, 4000)), (12, 2));
    }

    #[test]
    fn a_grant_from_before_what_it_acts_on_is_dropped() {
        let of = Resource::Attempts;
        let mut limits = Limits::default();
        limits.apply_grants(at(0), &[grant(of, 10, 9)]);
        limits.apply_grants(at(100), &[grant(of, 80, 8)]);
        assert_eq!(limits.allowed(at(200), of), Some(12));
        // A grant that arrives after its lease grants nothing.
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
        // The lease has expired: it keeps what it holds, and takes nothing new.
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
        // A budget of the fleet that was removed limits nothing.
        limits.apply_grants(at(50), &[]);
        assert!((0..99).all(|_| limits.try_spend(at(60), of, true)));
    }
}
