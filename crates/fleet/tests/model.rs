//! All interleavings of two holders, one change of leader, lost and late messages and clocks that differ by the stated
//! doubt, to a stated depth, on the code itself. A library (stateright) was weighed: it wants states of its own kind, so a
//! translation would be checked and not what runs; a search over the real parts is sixty lines.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use appledyke::units::Moment;
use appledyke_consensus::Index;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::budgets::{Budget, Budgets, Holder, Resource, ShareChange};
use appledyke_fleet::limits::{Grant, Limits, MAX_CLOCK_DRIFT};

/// Not a part of a second, a window or a lease, so that ends of these fall between.
const TICK_MS: u64 = 700;
const DEPTH: usize = 12;
const WHOLE: u64 = 12;
/// Before it each holder has come to its part.
const BEGIN_MS: u64 = 16_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A lease is counted from the answer's arrival.
    LeaseFromArrival,
    /// A stock is freed once a lease is over.
    StockFreedByTime,
    /// A leader that was goes on granting.
    GrantsUnconfirmed,
    /// What is lowered is free at once.
    ReleasedAtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Time passes: each takes all that it may, and the leader divides anew, as promptly as it can.
    Tick,
    /// The first holder asks, and the leader answers; the answer is on its way.
    Ask,
    /// The same with the leader that was, where a fault lets it.
    AskOld,
    Deliver,
    Lose,
    /// The second holder asks and has its answer.
    Talk,
    NewLeader,
}

#[derive(Clone, Debug)]
struct World {
    of: Resource,
    now: u64,
    budgets: Budgets,
    divider: Allocator,
    /// The leader that was, with what it knew.
    old: Option<(Allocator, Budgets, Index)>,
    index: Index,
    limits: [Limits; 2],
    /// An answer to the first holder, and when that asked by its own clock.
    answered: Option<(Moment, Vec<Grant>)>,
    /// What each spent in the last ticks, or holds.
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
    fn new(of: Resource) -> World {
        let window_ms = if of.is_concurrency_limit() { 0 } else { 1000 };
        let budget = Budget {
            resource: of,
            quota: WHOLE,
            window_ms,
            min_share: 1,
            standalone_share: 1,
            max_members: 2,
        };
        let mut budgets = Budgets::default();
        budgets.configure(&[budget]);
        let mut world = World {
            of,
            now: 10_000,
            budgets,
            divider: Allocator::new(moment(10_000), 0),
            old: None,
            index: 0,
            limits: Default::default(),
            answered: None,
            spent: Default::default(),
            held: [0; 2],
            wants: [20, 0],
        };
        // The first holder has nearly all, and the other comes to want as much.
        while world.now < BEGIN_MS {
            for step in [Step::Ask, Step::Deliver, Step::Talk, Step::Tick] {
                world.step(step, Fault::None);
            }
        }
        world.wants = [20, 20];
        world
    }

    /// The first holder's clock is slow by the doubt, the second's is fast.
    fn clock(&self, at: usize) -> Moment {
        let rate = if at == 0 { 1.0 - MAX_CLOCK_DRIFT / 2.0 } else { 1.0 + MAX_CLOCK_DRIFT / 2.0 };
        Moment::from_nanos((self.now as f64 * 1e6 * rate) as u64)
    }

    /// Each takes all that it may.
    fn take(&mut self) {
        for at in 0..2 {
            let clock = self.clock(at);
            if self.of.is_concurrency_limit() {
                // What it holds it gives back only where it may have less, and hears so: it is idle then.
                let most = self.limits[at].allowed(clock, self.of).unwrap_or(0);
                self.held[at] =
                    if at == 0 && self.stopped() { self.held[at] } else { self.held[at].min(most) };
                while self.held[at] < self.wants[at]
                    && self.limits[at].try_hold(clock, self.of, self.held[at])
                {
                    self.held[at] += 1;
                }
                self.limits[at].set_held(self.of, self.held[at]);
            } else {
                let wants = self.wants[at];
                let spent =
                    (0..wants).filter(|_| self.limits[at].try_spend(clock, self.of, true)).count() as u64;
                self.spent[at].push((self.now, spent));
                let now = self.now;
                self.spent[at].retain(|(when, _)| now - when < 2000);
            }
        }
    }

    /// The first holder of a stock stands still from here on: it gives nothing back, and says nothing.
    fn stopped(&self) -> bool {
        self.wants == [20, 20]
    }

    fn may(&self, step: Step, fault: Fault) -> bool {
        let stopped = self.of.is_concurrency_limit() && self.stopped();
        match step {
            Step::Tick | Step::Talk => true,
            Step::Ask => self.answered.is_none() && !stopped,
            Step::AskOld => {
                fault == Fault::GrantsUnconfirmed && self.old.is_some() && self.answered.is_none()
            }
            Step::Deliver | Step::Lose => self.answered.is_some(),
            Step::NewLeader => self.old.is_none(),
        }
    }

    fn ask(&mut self, at: usize, of_old: bool) -> (Moment, Vec<Grant>) {
        let asked = self.clock(at);
        let uses = self.limits[at].usage(asked);
        let now = moment(self.now);
        let (divider, budgets, index) = match &mut self.old {
            Some((divider, budgets, index)) if of_old => (divider, &*budgets, *index),
            _ => (&mut self.divider, &self.budgets, self.index),
        };
        divider.record_report(now, &holder(at), &uses, false);
        (asked, divider.grants_for(&holder(at), budgets, index))
    }

    fn step(&mut self, step: Step, fault: Fault) {
        match step {
            Step::Tick => {
                self.now += TICK_MS;
                self.take();
                self.divide(fault);
            }
            Step::Ask | Step::AskOld => self.answered = Some(self.ask(0, step == Step::AskOld)),
            Step::Deliver => {
                let Some((asked, grants)) = self.answered.take() else { return };
                let from = if fault == Fault::LeaseFromArrival { self.clock(0) } else { asked };
                self.limits[0].apply_grants(from, &grants);
            }
            Step::Lose => self.answered = None,
            Step::Talk => {
                let (asked, grants) = self.ask(1, false);
                self.limits[1].apply_grants(asked, &grants);
            }
            Step::NewLeader => {
                let divider = std::mem::replace(&mut self.divider, Allocator::new(moment(self.now), 0));
                self.old = Some((divider, self.budgets.clone(), self.index));
            }
        }
    }

    fn divide(&mut self, fault: Fault) {
        for change in self.divider.proposals(moment(self.now), &self.budgets) {
            self.index += 1;
            self.budgets.apply(self.index, &change);
        }
        let by_time = fault == Fault::StockFreedByTime && self.now > BEGIN_MS + 4 * TICK_MS;
        if fault == Fault::ReleasedAtOnce || by_time {
            let parts = self.budgets.shares(self.of).filter(|(_, part)| part.reserved > part.granted);
            let lowered = parts.map(|(holder, part)| (holder.clone(), part.since)).collect();
            self.index += 1;
            self.budgets.apply(self.index, &ShareChange::Release(self.of, lowered));
        }
    }

    /// What all use, or have used within a window.
    fn used(&self) -> u64 {
        if self.of.is_concurrency_limit() {
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

/// The first way to stand above the whole, and how many states were looked at.
fn search(of: Resource, fault: Fault, depth: usize) -> (Option<Vec<Step>>, usize) {
    let steps = [Step::Tick, Step::Ask, Step::AskOld, Step::Deliver, Step::Lose, Step::Talk, Step::NewLeader];
    let mut start = World::new(of);
    if fault == Fault::GrantsUnconfirmed {
        // Its way is longer than the depth by this step.
        start.step(Step::NewLeader, fault);
    }
    assert!(start.used() <= WHOLE && start.used() > 0, "{start:?}");
    let mut seen = HashSet::from([start.key()]);
    let mut edge = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in edge {
            for step in steps.into_iter().filter(|step| world.may(*step, fault)) {
                let mut after = world.clone();
                after.step(step, fault);
                let mut path = path.clone();
                path.push(step);
                if after.used() > WHOLE {
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
fn no_interleaving_of_a_flow_stands_above_the_whole() {
    let (path, states) = search(Resource::Attempts, Fault::None, DEPTH);
    assert_eq!(path, None);
    assert!(states > 100_000, "{states}");
}

#[test]
fn no_interleaving_of_a_stock_stands_above_the_whole() {
    let (path, states) = search(Resource::Connections, Fault::None, DEPTH);
    assert_eq!(path, None);
    assert!(states > 10_000, "{states}");
}

fn is_found(of: Resource, fault: Fault) {
    let (path, states) = search(of, fault, DEPTH);
    assert!(path.is_some(), "{fault:?} is not found in {states} states");
}

#[test]
fn what_is_lowered_and_free_at_once_is_found() {
    is_found(Resource::Attempts, Fault::ReleasedAtOnce);
}

#[test]
fn a_stock_that_time_frees_is_found() {
    is_found(Resource::Connections, Fault::StockFreedByTime);
}

#[test]
fn a_lease_that_is_counted_from_the_answer_is_found() {
    is_found(Resource::Attempts, Fault::LeaseFromArrival);
}

#[test]
fn a_leader_that_was_and_grants_on_is_found() {
    is_found(Resource::Attempts, Fault::GrantsUnconfirmed);
}
