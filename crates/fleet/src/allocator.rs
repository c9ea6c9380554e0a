//! The leader's allocation of budgets among the holders that report to it. This state is local to the leader and uses its
//! clock; its decisions become log entries, and `budgets` enforces the limits whatever is decided here.

use std::collections::BTreeMap;

use appledyke::units::{Moment, Span};
use appledyke_consensus::Index;

use crate::budgets::{Budget, Budgets, Holder, LogPosition, Resource, Share, ShareChange};
use crate::limits::{Grant, MAX_CLOCK_DRIFT, Usage};

/// How long a grant lasts. The share of a lost holder is unused for this long, and an election ends within it.
pub const LEASE: Span = Span::from_millis(3000);
/// Minimum time between two changes to a budget: a sidecar with rising load gets its share within a few of these.
const MIN_CHANGE_INTERVAL: Span = Span::from_millis(200);
/// A proposal that was not applied within this time is repeated: several commits.
const RETRY_AFTER: Span = Span::from_millis(1000);
/// Fraction of the divisible quota that is reserved for new holders, and the minimum number of minimum shares in it.
const NEW_HOLDER_RESERVE: f64 = 0.02;
const MIN_RESERVED_SHARES: u64 = 2;
/// A share is changed only by more than this fraction of it, so that shares do not oscillate under constant demand.
const CHANGE_THRESHOLD: f64 = 0.15;
/// Exponential smoothing of demand, over several heartbeats: requests arrive at random, and a share that follows their peaks
/// would be mostly unused.
const DEMAND_SMOOTHING: f64 = 0.2;
/// Demand that rises by this factor is not smoothed: it is a real load increase rather than random variation.
const DEMAND_JUMP_FACTOR: f64 = 2.0;

#[derive(Clone, Debug)]
struct HolderState {
    /// When its last report was answered: any grant that it may act on was requested by then.
    answered_at: Moment,
    usages: BTreeMap<Resource, (Usage, f64)>,
    /// The log position that it reports to act on, and since when, by resource.
    acting_on: BTreeMap<Resource, (LogPosition, Moment)>,
    /// When it reported that it ends, or an operator confirmed that it has ended.
    ended: Option<Moment>,
}

#[derive(Clone, Debug)]
pub struct Allocator {
    since: Moment,
    generation: u64,
    holder_states: BTreeMap<Holder, HolderState>,
    changed_at: BTreeMap<Resource, Moment>,
    proposed: BTreeMap<Resource, (ShareChange, Moment)>,
}

impl Allocator {
    /// The state of a new leader. It knows what is granted, but not when holders were told.
    pub fn new(now: Moment, generation: u64) -> Allocator {
        Allocator {
            since: now,
            generation,
            holder_states: BTreeMap::new(),
            changed_at: BTreeMap::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// Records a holder's report, which is answered now.
    pub fn record_report(&mut self, now: Moment, holder: &Holder, usages: &[(Resource, Usage)], ends: bool) {
        let state = self.holder_states.entry(holder.clone()).or_insert_with(|| HolderState {
            answered_at: now,
            usages: BTreeMap::new(),
            acting_on: BTreeMap::new(),
            ended: None,
        });
        state.answered_at = now;
        if ends {
            state.ended.get_or_insert(now);
        }
        for (resource, usage) in usages {
            let before = state.usages.get(resource).map_or(0.0, |(_, demand)| *demand);
            let demand = usage.wanted as f64;
            let jumps = demand >= before * DEMAND_JUMP_FACTOR;
            let demand = if jumps { demand } else { before + DEMAND_SMOOTHING * (demand - before) };
            state.usages.insert(*resource, (*usage, demand));
            let acting_on = state.acting_on.entry(*resource).or_insert((usage.acting_on, now));
            if acting_on.0 != usage.acting_on {
                *acting_on = (usage.acting_on, now);
            }
        }
    }

    /// An operator confirms that a process has ended.
    pub fn mark_ended(&mut self, now: Moment, holder: &Holder) {
        self.record_report(now, holder, &[], true);
    }

    /// The grants for the answer to a holder's report. The answer must be sent only if this replica is still the leader.
    pub fn grants_for(&self, holder: &Holder, budgets: &Budgets, applied: Index) -> Vec<Grant> {
        let lease_ms = LEASE.nanos() / 1_000_000;
        let grant = |budget: &Budget| {
            let (share, index) = match budgets.share(budget.resource, holder) {
                Some(share) => (share.granted, share.since),
                None => (0, applied),
            };
            let since = LogPosition { generation: self.generation, index };
            Grant { budget: *budget, share, since, lease_ms }
        };
        budgets.configured().map(grant).collect()
    }

    /// Whether a holder cannot be using more than it is granted.
    fn is_released(
        &self,
        now: Moment,
        budget: Option<&Budget>,
        resource: Resource,
        holder: &Holder,
        share: &Share,
    ) -> bool {
        let window =
            Span::from_millis(budget.map_or(0, |budget| budget.window_ms)) * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
        let state = self.holder_states.get(holder);
        let acting_since = state
            .and_then(|state| state.acting_on.get(&resource))
            .filter(|(stamp, _)| stamp.generation == self.generation && stamp.index >= share.since);
        let ended = state.and_then(|state| state.ended);
        if resource.is_concurrency_limit() {
            // Danger: a stopped process keeps its connections and requests, however long ago its lease expired.
            let gave_back = acting_since.is_some()
                && state.and_then(|state| state.usages.get(&resource)).is_some_and(|(usage, _)| {
                    usage.held <= share.granted + budget.map_or(0, |budget| budget.standalone_share)
                });
            return gave_back || ended.is_some();
        }
        // What the holder spent before still counts in windows that end later, so one window has to pass in addition.
        let lease_end = state.map_or(self.since, |state| state.answered_at.max(self.since))
            + LEASE * (1.0 + MAX_CLOCK_DRIFT);
        acting_since.is_some_and(|(_, at)| now >= *at + window)
            || ended.is_some_and(|at| now >= at + window)
            || now >= lease_end + window
    }

    /// The changes to propose now.
    pub fn proposals(&mut self, now: Moment, budgets: &Budgets) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for resource in Resource::ALL {
            let budget = budgets.budget(resource).copied();
            let waits = self.proposed.get(&resource).is_some_and(|(_, at)| now.since(*at) < RETRY_AFTER);
            let due = self.changed_at.get(&resource).is_none_or(|at| now.since(*at) >= MIN_CHANGE_INTERVAL);
            if !due || budget.is_none() && budgets.shares(resource).next().is_none() {
                continue;
            }
            let released: Vec<(Holder, Index)> = budgets
                .shares(resource)
                .filter(|(holder, share)| {
                    share.reserved > share.granted
                        && self.is_released(now, budget.as_ref(), resource, holder, share)
                })
                .map(|(holder, share)| (holder.clone(), share.since))
                .collect();
            let change = if released.is_empty() {
                ShareChange::Grant(resource, self.changes_for(now, resource, budget.as_ref(), budgets))
            } else {
                ShareChange::Release(resource, released)
            };
            let empty = matches!(&change, ShareChange::Grant(_, sets) if sets.is_empty());
            let same = self.proposed.get(&resource).is_some_and(|(before, _)| *before == change);
            if empty || waits && same {
                continue;
            }
            self.changed_at.insert(resource, now);
            self.proposed.insert(resource, (change.clone(), now));
            changes.push(change);
        }
        // Holders whose lease has expired and that have no shares are forgotten.
        let holds =
            |holder: &Holder| Resource::ALL.iter().any(|resource| budgets.share(*resource, holder).is_some());
        self.holder_states.retain(|holder, state| now.since(state.answered_at) <= LEASE || holds(holder));
        changes
    }

    /// The shares to change, the lowered ones first.
    fn changes_for(
        &self,
        now: Moment,
        resource: Resource,
        budget: Option<&Budget>,
        budgets: &Budgets,
    ) -> Vec<(Holder, u64)> {
        let granted = |holder: &Holder| budgets.share(resource, holder).map_or(0, |share| share.granted);
        let is_present = |state: &HolderState| state.ended.is_none() && now.since(state.answered_at) <= LEASE;
        // Sorted by holder.
        let demands: Vec<(&Holder, f64)> = self
            .holder_states
            .iter()
            .filter(|(_, state)| budget.is_some() && is_present(state))
            .map(|(holder, state)| {
                let alone = budget.map_or(0, |budget| budget.standalone_share) as f64;
                let demand = state.usages.get(&resource).map_or(0.0, |(_, demand)| *demand);
                (holder, (demand - alone).max(0.0))
            })
            .collect();
        let targets = budget.map(|budget| targets(budget, &demands)).unwrap_or_default();
        let mut lowered = Vec::new();
        let mut raised = Vec::new();
        // Holders that exceed their target by too little to be lowered for that alone, and what new holders lack of their
        // minimum shares.
        let (mut above_target, mut missing_min_shares) = (Vec::new(), 0);
        // Danger: a new leader has no reports yet, and must not take shares back before a lease of its own has passed.
        let knows_all_holders = now.since(self.since) > LEASE;
        for (holder, share) in budgets.shares(resource) {
            let absent = demands.binary_search_by(|(other, _)| (*other).cmp(holder)).is_err();
            if absent && share.granted > 0 && (knows_all_holders || self.holder_states.contains_key(holder)) {
                lowered.push((holder.clone(), 0));
            }
        }
        let window = Span::from_millis(budget.map_or(0, |budget| budget.window_ms));
        if budgets.are_shares_unknown()
            && now.since(self.since) <= (LEASE + window) * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
        {
            return lowered;
        }
        let mut available = budgets.available(resource);
        if resource.is_concurrency_limit() {
            // Danger: what was held before a restore is still held, but only the holders know of it.
            let unknown = self.holder_states.iter().filter_map(|(holder, state)| {
                let held = state.usages.get(&resource)?.0.held;
                Some(held.saturating_sub(
                    budgets.share(resource, holder).map_or(0, |share| share.reserved)
                        + budget?.standalone_share,
                ))
            });
            available = available.saturating_sub(unknown.sum());
        }
        let least = budget.map_or(1, |budget| budget.min_share);
        let reserved = |holder: &Holder| budgets.share(resource, holder).map_or(0, |share| share.reserved);
        let first = |holder: &Holder, target: u64| least.min(target).saturating_sub(reserved(holder));
        // Missing minimum shares take precedence over larger shares of others.
        let mut firsts: u64 =
            demands.iter().zip(&targets).map(|((holder, _), target)| first(holder, *target)).sum();
        for ((holder, _), target) in demands.iter().zip(&targets) {
            let before = granted(holder);
            let difference = before.abs_diff(*target);
            // Danger: a share that follows every small change of demand oscillates, and what is being moved is unused.
            let small = (difference as f64) <= CHANGE_THRESHOLD * before as f64 && before >= least;
            if difference == 0 || small {
                if *target < before {
                    above_target.push(((*holder).clone(), *target, difference));
                }
                continue;
            }
            if *target < before {
                lowered.push(((*holder).clone(), *target));
            } else {
                let (reserved, first) = (reserved(holder), first(holder, *target));
                firsts -= first;
                let more = target
                    .saturating_sub(reserved)
                    .min(first.min(available).max(available.saturating_sub(firsts)));
                let reached = reserved.min(*target) + more;
                missing_min_shares += least.min(*target).saturating_sub(reached);
                if reached > before {
                    available -= more;
                    raised.push(((*holder).clone(), reached));
                }
            }
        }
        // Danger: if all holders exceed their targets slightly, none by enough to be lowered, a new holder would wait forever.
        let being_released: u64 =
            budgets.shares(resource).map(|(_, share)| share.reserved - share.granted).sum();
        let (kept, comes) = (budget.map_or(0, reserve), available + being_released);
        let wanted = missing_min_shares + if comes < kept / 2 { kept } else { 0 };
        let mut wanted = wanted.saturating_sub(comes);
        above_target.sort_by(|one, other| other.2.cmp(&one.2).then_with(|| one.0.cmp(&other.0)));
        for (holder, target, difference) in above_target {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(difference);
            lowered.push((holder, target));
        }
        lowered.extend(raised);
        lowered
    }
}

/// The amount that is reserved for new holders.
fn reserve(budget: &Budget) -> u64 {
    let all = budget.divisible();
    ((all as f64 * NEW_HOLDER_RESERVE) as u64).max(MIN_RESERVED_SHARES * budget.min_share).min(all / 10)
}

/// The target share of each holder: first the minimum shares, then max-min fair up to the demand, and the rest in proportion
/// to the demand. The sum never exceeds the divisible quota.
fn targets(budget: &Budget, demands: &[(&Holder, f64)]) -> Vec<u64> {
    let count = demands.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let divisible = budget.divisible() - reserve(budget);
    if budget.min_share * count > divisible {
        // More holders than minimum shares: the first by name get one each, the others only have their standalone share.
        let have = (divisible / budget.min_share) as usize;
        return (0..demands.len()).map(|at| if at < have { budget.min_share } else { 0 }).collect();
    }
    let mut left = divisible - budget.min_share * count;
    // Above the minimum share: up to the demand, by max-min fairness.
    let excess_demand: Vec<f64> =
        demands.iter().map(|(_, demand)| (demand - budget.min_share as f64).max(0.0)).collect();
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|one, other| excess_demand[*one].total_cmp(&excess_demand[*other]).then(one.cmp(other)));
    let mut shares = vec![budget.min_share; demands.len()];
    for (done, at) in order.iter().enumerate() {
        let fair = left / (demands.len() - done) as u64;
        let gets = (excess_demand[*at].ceil() as u64).min(fair);
        shares[*at] += gets;
        left -= gets;
    }
    let sum: f64 = excess_demand.iter().sum();
    if sum > 0.0 && left > 0 {
        let spread: Vec<u64> =
            excess_demand.iter().map(|excess| (left as f64 * excess / sum) as u64).collect();
        shares.iter_mut().zip(spread).for_each(|(share, more)| *share += more);
    }
    shares
}

#[cfg(test)]
mod tests {
    use super::*;

    const OF: Resource = Resource::Attempts;

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn holder(number: usize) -> Holder {
        Holder { name: format!("s{number:04}"), incarnation: 1 }
    }

    fn flow(whole: u64, members: u64) -> Budget {
        Budget {
            resource: OF,
            quota: whole,
            window_ms: 1000,
            min_share: 2,
            standalone_share: 1,
            max_members: members,
        }
    }

    /// A leader, holders that apply its answers at each heartbeat, and a log that applies proposals at once.
    struct World {
        budgets: Budgets,
        allocator: Allocator,
        acting_on: BTreeMap<Holder, LogPosition>,
        index: Index,
        now: u64,
        entries: u64,
    }

    impl World {
        fn new(budget: Budget) -> World {
            let mut budgets = Budgets::default();
            budgets.configure(&[budget]);
            let allocator = Allocator::new(at(0), 0);
            World { budgets, allocator, acting_on: BTreeMap::new(), index: 0, now: 0, entries: 0 }
        }

        /// Runs heartbeats of half a second for this long, with this demand of each holder per window.
        fn run(&mut self, ms: u64, demands: &[(Holder, u64)]) {
            for _ in 0..ms / 100 {
                self.now += 100;
                for (number, (holder, demand)) in demands.iter().enumerate() {
                    if (self.now / 100 + number as u64).is_multiple_of(5) {
                        let acting_on = self.acting_on.get(holder).copied().unwrap_or_default();
                        let usage = Usage { acting_on, wanted: *demand, held: 0 };
                        self.allocator.record_report(at(self.now), holder, &[(OF, usage)], false);
                        let grant = self.allocator.grants_for(holder, &self.budgets, self.index)[0];
                        self.acting_on.insert(holder.clone(), grant.since);
                    }
                }
                for change in self.allocator.proposals(at(self.now), &self.budgets) {
                    self.index += 1;
                    self.entries += 1;
                    self.budgets.apply(self.index, &change);
                }
            }
        }

        fn granted(&self, holder: &Holder) -> u64 {
            self.budgets.share(OF, holder).map_or(0, |share| share.granted)
        }
    }

    #[test]
    fn shares_follow_demand_and_stay_constant_with_it() {
        let budget = flow(1000, 20);
        let mut world = World::new(budget);
        let mut demands: Vec<_> = (0..10).map(|number| (holder(number), 20)).collect();
        world.run(5000, &demands);
        // The load of one rises: it gets nearly all of its demand within three seconds, although others hold the rest.
        demands[3].1 = 600;
        world.run(3000, &demands);
        assert!(world.granted(&holder(3)) >= 590, "{}", world.granted(&holder(3)));
        assert!(world.granted(&holder(4)) >= 20);
        world.run(3000, &demands);
        let before = world.entries;
        world.run(10_000, &demands);
        assert_eq!(world.entries, before, "parts swing while demand stands still");
    }

    #[test]
    fn demand_above_the_quota_uses_at_least_95_percent_of_it() {
        for count in [12, 300, 1000] {
            let budget = flow(10 * count as u64 * 4, count as u64);
            let mut world = World::new(budget);
            // Demands from one to ten times, together above the quota.
            let demands: Vec<_> =
                (0..count).map(|number| (holder(number), 10 + 90 * (number as u64 % 10) / 9)).collect();
            world.run(4000, &demands);
            let used: u64 = demands
                .iter()
                .map(|(holder, demand)| (world.granted(holder) + budget.standalone_share).min(*demand))
                .sum();
            let share = used as f64 / budget.quota as f64;
            assert!((0.95..=1.0).contains(&share), "{count}: {share}");
        }
    }

    #[test]
    fn new_holders_get_their_minimum_share_though_all_others_are_within_the_change_threshold() {
        let mut world = World::new(Budget { min_share: 2, ..flow(3000, 400) });
        let demands: Vec<_> = (0..330).map(|number| (holder(number), 20)).collect();
        world.run(5000, &demands[..300]);
        world.run(4000, &demands);
        let short = demands.iter().filter(|(holder, _)| world.granted(holder) < 2).count();
        assert_eq!(short, 0);
        // They reach the level of the others, and then nothing changes any more.
        world.run(10_000, &demands);
        let before = world.entries;
        world.run(10_000, &demands);
        assert_eq!(world.entries, before, "parts swing while demand stands still");
    }

    #[test]
    fn the_share_of_a_lost_holder_is_unused_for_a_lease_and_a_window_and_no_longer() {
        let mut world = World::new(flow(100, 4));
        let both = [(holder(0), 500), (holder(1), 500)];
        world.run(5000, &both);
        let held = world.granted(&holder(0));
        assert!(held > 30);
        // It stops reporting: for a lease by its clock, and a window after, its share is given to nobody else.
        world.run(3900, &both[1..]);
        assert!(world.budgets.share(OF, &holder(0)).is_some_and(|share| share.reserved == held));
        world.run(1500, &both[1..]);
        assert_eq!(world.budgets.share(OF, &holder(0)), None);
        assert!(world.granted(&holder(1)) > 70, "{}", world.granted(&holder(1)));
    }

    #[test]
    fn a_new_leader_takes_nothing_back_from_a_holder_without_a_report() {
        let mut world = World::new(flow(100, 4));
        let both = [(holder(0), 500), (holder(1), 500)];
        world.run(5000, &both);
        let held = world.granted(&holder(0));
        world.allocator = Allocator::new(at(world.now), 0);
        world.run(2900, &both[1..]);
        assert_eq!(world.granted(&holder(0)), held);
        world.run(1500, &both);
        assert!(world.granted(&holder(0)) > 30);
    }

    #[test]
    fn a_concurrency_limit_is_freed_by_its_holders_report_and_never_by_time() {
        let resource = Resource::Connections;
        let budget = Budget { resource, window_ms: 0, ..flow(20, 2) };
        let mut budgets = Budgets::default();
        budgets.configure(&[budget]);
        budgets.apply(1, &ShareChange::Grant(resource, vec![(holder(0), 10)]));
        budgets.apply(2, &ShareChange::Grant(resource, vec![(holder(0), 4)]));
        let mut allocator = Allocator::new(at(0), 0);
        let usage = |held| {
            [(resource, Usage { acting_on: LogPosition { generation: 0, index: 2 }, wanted: 4, held })]
        };
        allocator.record_report(at(100), &holder(0), &usage(9), false);
        let releases = |allocator: &mut Allocator, ms| {
            allocator
                .proposals(at(ms), &budgets)
                .iter()
                .any(|change| matches!(change, ShareChange::Release(..)))
        };
        assert!(!releases(&mut allocator, 400));
        // Even much later: the process may be stopped, and still hold all nine.
        assert!(!releases(&mut allocator, 60_000) && !releases(&mut allocator, 1_000_000));
        allocator.record_report(at(1_000_100), &holder(0), &usage(4), false);
        assert!(releases(&mut allocator, 1_000_400));
        // Or when an operator confirms that its process has ended.
        let mut allocator = Allocator::new(at(0), 0);
        allocator.mark_ended(at(10), &holder(0));
        assert!(releases(&mut allocator, 300));
    }

    #[test]
    fn minimum_shares_come_first_and_sums_never_exceed_the_quota() {
        let budget = flow(100, 10);
        let demands = |list: &[u64]| -> Vec<(Holder, f64)> {
            list.iter().enumerate().map(|(at, demand)| (holder(at), *demand as f64)).collect()
        };
        for list in [&[0, 0, 0][..], &[1000, 0, 3], &[5; 40], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 1000], &[90]] {
            let demands = demands(list);
            let rows: Vec<_> = demands.iter().map(|(holder, demand)| (holder, *demand)).collect();
            let shares = targets(&budget, &rows);
            assert!(shares.iter().sum::<u64>() <= budget.divisible(), "{list:?}: {shares:?}");
            let fits = budget.min_share * list.len() as u64 <= 80;
            assert!(!fits || shares.iter().all(|share| *share >= budget.min_share), "{list:?}: {shares:?}");
        }
    }
}
