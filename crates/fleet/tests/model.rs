//! Exhaustive search, up to a fixed depth, over all interleavings of two holders, one change of leader, lost and late messages,
//! and clocks that differ by the maximum drift. It runs the real code. The library stateright was considered, but needs its
//! own state types, so it would check a translation instead of the code; a search over the real code is sixty lines.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use appledyke::units::Moment;
use appledyke_consensus::Index;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::budgets::{Budget, Budgets, Holder, Resource, ShareChange};
use appledyke_fleet::limits::{Grant, Limits, MAX_CLOCK_DRIFT};

/// Does not divide a second, a window or a lease, so that these end between ticks.
const TICK_MS: u64 = 700;
const DEPTH: usize = 12;
const QUOTA: u64 = 12;
/// By then each holder has its share.
const BEGIN_MS: u64 = 16_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A lease is counted from the arrival of the answer.
    LeaseFromArrival,
    /// A concurrency limit's share is released when the lease expires.
    ConcurrencyFreedByTime,
    /// A former leader continues to grant.
    GrantsUnconfirmed,
    /// A lowered share is released at once.
    ReleasedAtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Time passes: each holder uses all that it may, and the leader reallocates as soon as it can.
    Tick,
    /// The first holder reports, and the leader answers; the answer is in flight.
    Ask,
    /// The same with the former leader, if the fault allows it.
    AskFormerLeader,
    Deliver,
    Lose,
    /// The second holder reports and gets its answer.
    SecondReports,
    NewLeader,
}

#[derive(Clone, Debug)]
struct World {
    resource: Resource,
    now: u64,
    budgets: Budgets,
    allocator: Allocator,
    /// The former leader, with its state.
    former_leader: Option<(Allocator, Budgets, Index)>,
    index: Index,
    limits: [Limits; 2],
    /// An answer in flight to the first holder, and the time of its report by its own clock.
    answer: Option<(Moment, Vec<Grant>)>,
    /// What each holder has used in the last ticks, or holds.
    spent: [Vec<(u64, u64)>; 2],
    held: [u64; 2],
    wants: [u64; 2],
}

fn moment(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

fn holder(at: usize) -> Holder {
    Holder { name: format!("s{at}"), incarnation: 1 }
}

impl World {
    fn new(resource: Resource) -> World {
        let window_ms = if resource.is_concurrency_limit() { 0 } else { 1000 };
        let budget =
            Budget { resource, quota: QUOTA, window_ms, min_share: 1, standalone_share: 1, max_members: 2 };
        let mut budgets = Budgets::default();
        budgets.configure(&[budget]);
        let mut world = World {
            resource,
            now: 10_000,
            budgets,
            allocator: Allocator::new(moment(10_000), 0),
            former_leader: None,
            index: 0,
            limits: Default::default(),
            answer: None,
            spent: Default::default(),
            held: [0; 2],
            wants: [20, 0],
        };
        // The first holder has nearly all, and then the other one wants as much.
        while world.now < BEGIN_MS {
            for step in [Step::Ask, Step::Deliver, Step::SecondReports, Step::Tick] {
                world.step(step, Fault::None);
            }
        }
        world.wants = [20, 20];
        world
    }

    /// The first holder's clock is slow, the second's fast, each by half of the maximum drift.
    fn clock(&self, at: usize) -> Moment {
        let rate = if at == 0 { 1.0 - MAX_CLOCK_DRIFT / 2.0 } else { 1.0 + MAX_CLOCK_DRIFT / 2.0 };
        Moment::from_nanos((self.now as f64 * 1e6 * rate) as u64)
    }

    /// Each holder uses all that it may.
    fn use_all(&mut self) {
        for at in 0..2 {
            let clock = self.clock(at);
            if self.resource.is_concurrency_limit() {
                // A holder gives back only what exceeds its new limit, as if that were idle.
                let most = self.limits[at].allowed(clock, self.resource).unwrap_or(0);
                self.held[at] =
                    if at == 0 && self.stopped() { self.held[at] } else { self.held[at].min(most) };
                while self.held[at] < self.wants[at]
                    && self.limits[at].try_hold(clock, self.resource, self.held[at])
                {
                    self.held[at] += 1;
                }
                self.limits[at].set_held(self.resource, self.held[at]);
            } else {
                let wants = self.wants[at];
                let spent = (0..wants)
                    .filter(|_| self.limits[at].try_spend(clock, self.resource, true))
                    .count() as u64;
                self.spent[at].push((self.now, spent));
                let now = self.now;
                self.spent[at].retain(|(when, _)| now - when < 2000);
            }
        }
    }

    /// For a concurrency limit, the first holder is stopped from here on: it neither gives anything back nor reports.
    fn stopped(&self) -> bool {
        self.wants == [20, 20]
    }

    fn is_possible(&self, step: Step, fault: Fault) -> bool {
        let stopped = self.resource.is_concurrency_limit() && self.stopped();
        match step {
            Step::Tick | Step::SecondReports => true,
            Step::Ask => self.answer.is_none() && !stopped,
            Step::AskFormerLeader => {
                fault == Fault::GrantsUnconfirmed && self.former_leader.is_some() && self.answer.is_none()
            }
            Step::Deliver | Step::Lose => self.answer.is_some(),
            Step::NewLeader => self.former_leader.is_none(),
        }
    }

    fn report(&mut self, at: usize, of_old: bool) -> (Moment, Vec<Grant>) {
        let asked = self.clock(at);
        let uses = self.limits[at].usage(asked);
        let now = moment(self.now);
        let (allocator, budgets, index) = match &mut self.former_leader {
            Some((allocator, budgets, index)) if of_old => (allocator, &*budgets, *index),
            _ => (&mut self.allocator, &self.budgets, self.index),
        };
        allocator.record_report(now, &holder(at), &uses, false);
        (asked, allocator.grants_for(&holder(at), budgets, index))
    }

    fn step(&mut self, step: Step, fault: Fault) {
        match step {
            Step::Tick => {
                self.now += TICK_MS;
                self.use_all();
                self.allocate(fault);
            }
            Step::Ask | Step::AskFormerLeader => {
                self.answer = Some(self.report(0, step == Step::AskFormerLeader))
            }
            Step::Deliver => {
                let Some((asked, grants)) = self.answer.take() else { return };
                let from = if fault == Fault::LeaseFromArrival { self.clock(0) } else { asked };
                self.limits[0].apply_grants(from, &grants);
            }
            Step::Lose => self.answer = None,
            Step::SecondReports => {
                let (asked, grants) = self.report(1, false);
                self.limits[1].apply_grants(asked, &grants);
            }
            Step::NewLeader => {
                let allocator = std::mem::replace(&mut self.allocator, Allocator::new(moment(self.now), 0));
                self.former_leader = Some((allocator, self.budgets.clone(), self.index));
            }
        }
    }

    fn allocate(&mut self, fault: Fault) {
        for change in self.allocator.proposals(moment(self.now), &self.budgets) {
            self.index += 1;
            self.budgets.apply(self.index, &change);
        }
        let by_time = fault == Fault::ConcurrencyFreedByTime && self.now > BEGIN_MS + 4 * TICK_MS;
        if fault == Fault::ReleasedAtOnce || by_time {
            let parts = self.budgets.shares(self.resource).filter(|(_, part)| part.reserved > part.granted);
            let lowered = parts.map(|(holder, part)| (holder.clone(), part.since)).collect();
            self.index += 1;
            self.budgets.apply(self.index, &ShareChange::Release(self.resource, lowered));
        }
    }

    /// What all holders use, or have used within a window.
    fn used(&self) -> u64 {
        if self.resource.is_concurrency_limit() {
            return self.held.iter().sum();
        }
        let within = |(when, _): &&(u64, u64)| self.now - when < 1000;
        self.spent.iter().flatten().filter(within).map(|(_, spent)| spent).sum()
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// The first path that exceeds the quota, if there is one, and the number of visited states.
fn search(resource: Resource, fault: Fault, depth: usize) -> (Option<Vec<Step>>, usize) {
    let steps = [
        Step::Tick,
        Step::Ask,
        Step::AskFormerLeader,
        Step::Deliver,
        Step::Lose,
        Step::SecondReports,
        Step::NewLeader,
    ];
    let mut start = World::new(resource);
    if fault == Fault::GrantsUnconfirmed {
        // The path to this fault is one step longer than the search depth.
        start.step(Step::NewLeader, fault);
    }
    assert!(start.used() <= QUOTA && start.used() > 0, "{start:?}");
    let mut seen = HashSet::from([start.key()]);
    let mut edge = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in edge {
            for step in steps.into_iter().filter(|step| world.is_possible(*step, fault)) {
                let mut after = world.clone();
                after.step(step, fault);
                let mut path = path.clone();
                path.push(step);
                if after.used() > QUOTA {
                    return (Some(path), seen.len());
                }
                if seen.insert(after.key()) {
                    next.push((after, path));
                }
            }
        }
        edge = next;
    }
    (None, seen.len())
}

#[test]
fn no_interleaving_of_a_rate_limit_exceeds_the_quota() {
    let (path, states) = search(Resource::Attempts, Fault::None, DEPTH);
    assert_eq!(path, None);
    assert!(states > 100_000, "{states}");
}

#[test]
fn no_interleaving_of_a_concurrency_limit_exceeds_the_quota() {
    let (path, states) = search(Resource::Connections, Fault::None, DEPTH);
    assert_eq!(path, None);
    assert!(states > 10_000, "{states}");
}

fn is_detected(resource: Resource, fault: Fault) {
    let (path, states) = search(resource, fault, DEPTH);
    assert!(path.is_some(), "{fault:?} is not found in {states} states");
}

#[test]
fn a_lowered_share_released_at_once_is_detected() {
    is_detected(Resource::Attempts, Fault::ReleasedAtOnce);
}

#[test]
fn a_concurrency_limit_freed_by_time_is_detected() {
    is_detected(Resource::Connections, Fault::ConcurrencyFreedByTime);
}

#[test]
fn a_lease_counted_from_the_answer_is_detected() {
    is_detected(Resource::Attempts, Fault::LeaseFromArrival);
}

#[test]
fn a_former_leader_that_still_grants_is_detected() {
    is_detected(Resource::Attempts, Fault::GrantsUnconfirmed);
}
