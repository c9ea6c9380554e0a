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
    answered: Moment,
    uses: BTreeMap<Resource, (Usage, f64)>,
    /// The log position that it reports to act on, and since when, by resource.
    acts: BTreeMap<Resource, (LogPosition, Moment)>,
    /// When it reported that it ends, or an operator confirmed that it has ended.
    ended: Option<Moment>,
}

#[derive(Clone, Debug)]
pub struct Allocator {
    since: Moment,
    generation: u64,
    holder_states: BTreeMap<Holder, HolderState>,
    divided: BTreeMap<Resource, Moment>,
    proposed: BTreeMap<Resource, (ShareChange, Moment)>,
}

impl Allocator {
    /// The state of a new leader. It knows what is granted, but not when holders were told.
    pub fn new(now: Moment, generation: u64) -> Allocator {
        Allocator {
            since: now,
            generation,
            holder_states: BTreeMap::new(),
            divided: BTreeMap::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// Records a holder's report, which is answered now.
    pub fn record_report(&mut self, now: Moment, holder: &Holder, uses: &[(Resource, Usage)], ends: bool) {
        let state = self.holder_states.entry(holder.clone()).or_insert_with(|| HolderState {
            answered: now,
            uses: BTreeMap::new(),
            acts: BTreeMap::new(),
            ended: None,
        });
        state.answered = now;
        if ends {
            state.ended.get_or_insert(now);
        }
        for (of, told) in uses {
            let before = state.uses.get(of).map_or(0.0, |(_, wants)| *wants);
            let wants = told.wanted as f64;
            let jumps = wants >= before * DEMAND_JUMP_FACTOR;
            let wants = if jumps { wants } else { before + DEMAND_SMOOTHING * (wants - before) };
            state.uses.insert(*of, (*told, wants));
            let acts = state.acts.entry(*of).or_insert((told.acting_on, now));
            if acts.0 != told.acting_on {
                *acts = (told.acting_on, now);
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
            let (part, index) = match budgets.share(budget.resource, holder) {
                Some(part) => (part.granted, part.since),
                None => (0, applied),
            };
            let since = LogPosition { generation: self.generation, index };
            Grant { budget: *budget, share: part, since, lease_ms }
        };
        budgets.configured().map(grant).collect()
    }

    /// Whether a holder cannot be using more than it is granted.
    fn is_released(
        &self,
        now: Moment,
        budget: Option<&Budget>,
        of: Resource,
        holder: &Holder,
        part: &Share,
    ) -> bool {
        let window =
            Span::from_millis(budget.map_or(0, |budget| budget.window_ms)) * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
        let state = self.holder_states.get(holder);
        let acted = state
            .and_then(|state| state.acts.get(&of))
            .filter(|(stamp, _)| stamp.generation == self.generation && stamp.index >= part.since);
        let ended = state.and_then(|state| state.ended);
        if of.is_concurrency_limit() {
            // Danger: a stopped process keeps its connections and requests, however long ago its lease expired.
            let gave_back = acted.is_some()
                && state.and_then(|state| state.uses.get(&of)).is_some_and(|(told, _)| {
                    told.held <= part.granted + budget.map_or(0, |budget| budget.standalone_share)
                });
            return gave_back || ended.is_some();
        }
        // What the holder spent before still counts in windows that end later, so one window has to pass in addition.
        let lease_end = state.map_or(self.since, |state| state.answered.max(self.since))
            + LEASE * (1.0 + MAX_CLOCK_DRIFT);
        acted.is_some_and(|(_, at)| now >= *at + window)
            || ended.is_some_and(|at| now >= at + window)
            || now >= lease_end + window
    }

    /// The changes to propose now.
    pub fn proposals(&mut self, now: Moment, budgets: &Budgets) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for of in Resource::ALL {
            let budget = budgets.budget(of).copied();
            let waits = self.proposed.get(&of).is_some_and(|(_, at)| now.since(*at) < RETRY_AFTER);
            let due = self.divided.get(&of).is_none_or(|at| now.since(*at) >= MIN_CHANGE_INTERVAL);
            if !due || budget.is_none() && budgets.shares(of).next().is_none() {
                continue;
            }
            let released: Vec<(Holder, Index)> = budgets
                .shares(of)
                .filter(|(holder, part)| {
                    part.reserved > part.granted && self.is_released(now, budget.as_ref(), of, holder, part)
                })
                .map(|(holder, part)| (holder.clone(), part.since))
                .collect();
            let change = if released.is_empty() {
                ShareChange::Grant(of, self.division(now, of, budget.as_ref(), budgets))
            } else {
                ShareChange::Release(of, released)
            };
            let empty = matches!(&change, ShareChange::Grant(_, sets) if sets.is_empty());
            let same = self.proposed.get(&of).is_some_and(|(before, _)| *before == change);
            if empty || waits && same {
                continue;
            }
            self.divided.insert(of, now);
            self.proposed.insert(of, (change.clone(), now));
            changes.push(change);
        }
        // Holders whose lease has expired and that have no shares are forgotten.
        let holds = |holder: &Holder| Resource::ALL.iter().any(|of| budgets.share(*of, holder).is_some());
        self.holder_states.retain(|holder, state| now.since(state.answered) <= LEASE || holds(holder));
        changes
    }

    /// The shares to change, the lowered ones first.
    fn division(
        &self,
        now: Moment,
        of: Resource,
        budget: Option<&Budget>,
        budgets: &Budgets,
    ) -> Vec<(Holder, u64)> {
        let granted = |holder: &Holder| budgets.share(of, holder).map_or(0, |part| part.granted);
        let here = |state: &HolderState| state.ended.is_none() && now.since(state.answered) <= LEASE;
        // Sorted by holder.
        let wants: Vec<(&Holder, f64)> = self
            .holder_states
            .iter()
            .filter(|(_, state)| budget.is_some() && here(state))
            .map(|(holder, state)| {
                let alone = budget.map_or(0, |budget| budget.standalone_share) as f64;
                let wants = state.uses.get(&of).map_or(0.0, |(_, wants)| *wants);
                (holder, (wants - alone).max(0.0))
            })
            .collect();
        let targets = budget.map(|budget| targets(budget, &wants)).unwrap_or_default();
        let mut lowered = Vec::new();
        let mut raised = Vec::new();
        // Holders that exceed their target by too little to be lowered for that alone, and what new holders lack of their
        // minimum shares.
        let (mut above, mut missing_min_shares) = (Vec::new(), 0);
        // Danger: a new leader has no reports yet, and must not take shares back before a lease of its own has passed.
        let knows_all_holders = now.since(self.since) > LEASE;
        for (holder, part) in budgets.shares(of) {
            let absent = wants.binary_search_by(|(other, _)| (*other).cmp(holder)).is_err();
            if absent && part.granted > 0 && (knows_all_holders || self.holder_states.contains_key(holder)) {
                lowered.push((holder.clone(), 0));
            }
        }
        let window = Span::from_millis(budget.map_or(0, |budget| budget.window_ms));
        if budgets.are_shares_unknown()
            && now.since(self.since) <= (LEASE + window) * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
        {
            return lowered;
        }
        let mut room = budgets.available(of);
        if of.is_concurrency_limit() {
            // Danger: what was held before a restore is still held, but only the holders know of it.
            let unknown = self.holder_states.iter().filter_map(|(holder, state)| {
                let held = state.uses.get(&of)?.0.held;
                Some(held.saturating_sub(
                    budgets.share(of, holder).map_or(0, |part| part.reserved) + budget?.standalone_share,
                ))
            });
            room = room.saturating_sub(unknown.sum());
        }
        let least = budget.map_or(1, |budget| budget.min_share);
        let counted = |holder: &Holder| budgets.share(of, holder).map_or(0, |part| part.reserved);
        let first = |holder: &Holder, target: u64| least.min(target).saturating_sub(counted(holder));
        // Missing minimum shares take precedence over larger shares of others.
        let mut firsts: u64 =
            wants.iter().zip(&targets).map(|((holder, _), target)| first(holder, *target)).sum();
        for ((holder, _), target) in wants.iter().zip(&targets) {
            let before = granted(holder);
            let difference = before.abs_diff(*target);
            // Danger: a share that follows every small change of demand oscillates, and what is being moved is unused.
            let small = (difference as f64) <= CHANGE_THRESHOLD * before as f64 && before >= least;
            if difference == 0 || small {
                if *target < before {
                    above.push(((*holder).clone(), *target, difference));
                }
                continue;
            }
            if *target < before {
                lowered.push(((*holder).clone(), *target));
            } else {
                let (counted, first) = (counted(holder), first(holder, *target));
                firsts -= first;
                let more =
                    target.saturating_sub(counted).min(first.min(room).max(room.saturating_sub(firsts)));
                let reached = counted.min(*target) + more;
                missing_min_shares += least.min(*target).saturating_sub(reached);
                if reached > before {
                    room -= more;
                    raised.push(((*holder).clone(), reached));
                }
            }
        }
        // Danger: if all holders exceed their targets slightly, none by enough to be lowered, a new holder would wait forever.
        let being_released: u64 = budgets.shares(of).map(|(_, part)| part.reserved - part.granted).sum();
        let (kept, comes) = (budget.map_or(0, reserve), room + being_released);
        let wanted = missing_min_shares + if comes < kept / 2 { kept } else { 0 };
        let mut wanted = wanted.saturating_sub(comes);
        above.sort_by(|one, other| other.2.cmp(&one.2).then_with(|| one.0.cmp(&other.0)));
        for (holder, target, difference) in above {
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
fn targets(budget: &Budget, wants: &[(&Holder, f64)]) -> Vec<u64> {
    let count = wants.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let divided = budget.divisible() - reserve(budget);
    if budget.min_share * count > divided {
        // More holders than minimum shares: the first by name get one each, the others only have their standalone share.
        let have = (divided / budget.min_share) as usize;
        return (0..wants.len()).map(|at| if at < have { budget.min_share } else { 0 }).collect();
    }
    let mut left = divided - budget.min_share * count;
    // Above the minimum share: up to the demand, by max-min fairness.
    let wished: Vec<f64> =
        wants.iter().map(|(_, wants)| (wants - budget.min_share as f64).max(0.0)).collect();
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|one, other| wished[*one].total_cmp(&wished[*other]).then(one.cmp(other)));
    let mut parts = vec![budget.min_share; wants.len()];
    for (done, at) in order.iter().enumerate() {
        let fair = left / (wants.len() - done) as u64;
        let gets = (wished[*at].ceil() as u64).min(fair);
        parts[*at] += gets;
        left -= gets;
    }
    let sum: f64 = wished.iter().sum();
    if sum > 0.0 && left > 0 {
        let spread: Vec<u64> = wished.iter().map(|wish| (left as f64 * wish / sum) as u64).collect();
        parts.iter_mut().zip(spread).for_each(|(part, more)| *part += more);
    }
    parts
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

    /// A leader, holders that act on what they are told at each beat, and a log that applies at once.
    struct World {
        budgets: Budgets,
        divider: Allocator,
        acts: BTreeMap<Holder, LogPosition>,
        index: Index,
        now: u64,
        entries: u64,
    }

    impl World {
        fn new(budget: Budget) -> World {
            let mut budgets = Budgets::default();
            budgets.configure(&[budget]);
            let divider = Allocator::new(at(0), 0);
            World { budgets, divider, acts: BTreeMap::new(), index: 0, now: 0, entries: 0 }
        }

        /// Beats of half a second for this long, each holder wanting so much in a window.
        fn run(&mut self, ms: u64, wants: &[(Holder, u64)]) {
            for _ in 0..ms / 100 {
                self.now += 100;
                for (number, (holder, wants)) in wants.iter().enumerate() {
                    if (self.now / 100 + number as u64).is_multiple_of(5) {
                        let acts = self.acts.get(holder).copied().unwrap_or_default();
                        let told = Usage { acting_on: acts, wanted: *wants, held: 0 };
                        self.divider.record_report(at(self.now), holder, &[(OF, told)], false);
                        let grant = self.divider.grants_for(holder, &self.budgets, self.index)[0];
                        self.acts.insert(holder.clone(), grant.since);
                    }
                }
                for change in self.divider.proposals(at(self.now), &self.budgets) {
                    self.index += 1;
                    self.entries += 1;
                    self.budgets.apply(self.index, &change);
                }
            }
        }

        fn granted(&self, holder: &Holder) -> u64 {
            self.budgets.share(OF, holder).map_or(0, |part| part.granted)
        }
    }

    #[test]
    fn parts_follow_demand_and_stand_still_with_it() {
        let budget = flow(1000, 20);
        let mut world = World::new(budget);
        let mut wants: Vec<_> = (0..10).map(|number| (holder(number), 20)).collect();
        world.run(5000, &wants);
        // One gets hot: it has nearly all that it wants within three seconds, though others hold what is spread.
        wants[3].1 = 600;
        world.run(3000, &wants);
        assert!(world.granted(&holder(3)) >= 590, "{}", world.granted(&holder(3)));
        assert!(world.granted(&holder(4)) >= 20);
        world.run(3000, &wants);
        let before = world.entries;
        world.run(10_000, &wants);
        assert_eq!(world.entries, before, "parts swing while demand stands still");
    }

    #[test]
    fn what_is_wanted_above_the_whole_is_used_to_nineteen_parts_of_twenty() {
        for count in [12, 300, 1000] {
            let budget = flow(10 * count as u64 * 4, count as u64);
            let mut world = World::new(budget);
            // A spread of one to ten, above the whole together.
            let wants: Vec<_> =
                (0..count).map(|number| (holder(number), 10 + 90 * (number as u64 % 10) / 9)).collect();
            world.run(4000, &wants);
            let used: u64 = wants
                .iter()
                .map(|(holder, wants)| (world.granted(holder) + budget.standalone_share).min(*wants))
                .sum();
            let share = used as f64 / budget.quota as f64;
            assert!((0.95..=1.0).contains(&share), "{count}: {share}");
        }
    }

    #[test]
    fn newcomers_have_their_least_though_all_others_stand_within_what_is_damped() {
        let mut world = World::new(Budget { min_share: 2, ..flow(3000, 400) });
        let wants: Vec<_> = (0..330).map(|number| (holder(number), 20)).collect();
        world.run(5000, &wants[..300]);
        world.run(4000, &wants);
        let short = wants.iter().filter(|(holder, _)| world.granted(holder) < 2).count();
        assert_eq!(short, 0);
        // They reach the level of the others, and then nothing changes any more.
        world.run(10_000, &wants);
        let before = world.entries;
        world.run(10_000, &wants);
        assert_eq!(world.entries, before, "parts swing while demand stands still");
    }

    #[test]
    fn who_is_lost_keeps_its_part_idle_for_a_lease_and_a_window_and_no_longer() {
        let mut world = World::new(flow(100, 4));
        let both = [(holder(0), 500), (holder(1), 500)];
        world.run(5000, &both);
        let held = world.granted(&holder(0));
        assert!(held > 30);
        // It stops reporting: for a lease by its clock, and a window after, its share is given to nobody else.
        world.run(3900, &both[1..]);
        assert!(world.budgets.share(OF, &holder(0)).is_some_and(|part| part.reserved == held));
        world.run(1500, &both[1..]);
        assert_eq!(world.budgets.share(OF, &holder(0)), None);
        assert!(world.granted(&holder(1)) > 70, "{}", world.granted(&holder(1)));
    }

    #[test]
    fn a_new_leader_takes_nothing_back_from_one_that_it_has_not_heard_yet() {
        let mut world = World::new(flow(100, 4));
        let both = [(holder(0), 500), (holder(1), 500)];
        world.run(5000, &both);
        let held = world.granted(&holder(0));
        world.divider = Allocator::new(at(world.now), 0);
        world.run(2900, &both[1..]);
        assert_eq!(world.granted(&holder(0)), held);
        world.run(1500, &both);
        assert!(world.granted(&holder(0)) > 30);
    }

    #[test]
    fn a_stock_is_freed_by_its_holders_word_and_never_by_time() {
        let of = Resource::Connections;
        let budget = Budget { resource: of, window_ms: 0, ..flow(20, 2) };
        let mut budgets = Budgets::default();
        budgets.configure(&[budget]);
        budgets.apply(1, &ShareChange::Grant(of, vec![(holder(0), 10)]));
        budgets.apply(2, &ShareChange::Grant(of, vec![(holder(0), 4)]));
        let mut divider = Allocator::new(at(0), 0);
        let told =
            |held| [(of, Usage { acting_on: LogPosition { generation: 0, index: 2 }, wanted: 4, held })];
        divider.record_report(at(100), &holder(0), &told(9), false);
        let releases = |divider: &mut Allocator, ms| {
            divider
                .proposals(at(ms), &budgets)
                .iter()
                .any(|change| matches!(change, ShareChange::Release(..)))
        };
        assert!(!releases(&mut divider, 400));
        // Even much later: the process may be stopped, and still hold all nine.
        assert!(!releases(&mut divider, 60_000) && !releases(&mut divider, 1_000_000));
        divider.record_report(at(1_000_100), &holder(0), &told(4), false);
        assert!(releases(&mut divider, 1_000_400));
        // Or when an operator confirms that its process has ended.
        let mut divider = Allocator::new(at(0), 0);
        divider.mark_ended(at(10), &holder(0));
        assert!(releases(&mut divider, 300));
    }

    #[test]
    fn least_parts_come_first_and_sums_are_never_above() {
        let budget = flow(100, 10);
        let wants = |list: &[u64]| -> Vec<(Holder, f64)> {
            list.iter().enumerate().map(|(at, wants)| (holder(at), *wants as f64)).collect()
        };
        for list in [&[0, 0, 0][..], &[1000, 0, 3], &[5; 40], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 1000], &[90]] {
            let wants = wants(list);
            let rows: Vec<_> = wants.iter().map(|(holder, wants)| (holder, *wants)).collect();
            let parts = targets(&budget, &rows);
            assert!(parts.iter().sum::<u64>() <= budget.divisible(), "{list:?}: {parts:?}");
            let fits = budget.min_share * list.len() as u64 <= 80;
            assert!(!fits || parts.iter().all(|part| *part >= budget.min_share), "{list:?}: {parts:?}");
        }
    }
}
