//! What a leader's work for budgets costs with the fleet's size: each member reports twice a second, so a cost that grows with
//! the members for each of them fills a core before there are 2,400.

use std::hint::black_box;

use appledyke::units::{Moment, Span};
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::budgets::{Budget, Budgets, Holder, LogPosition, Resource, ShareChange};
use appledyke_fleet::limits::Usage;
use rustix::time::{ClockId, clock_gettime};

const OF: Resource = Resource::Attempts;
const FEW: usize = 1000;
const MANY: usize = 8 * FEW;
/// Eight times the members may cost eight times as much, and some; by the square it would be 64 times.
const TIMES_MOST: f64 = 24.0;
/// The least of so many: what else the machine does only adds.
const TRIES: usize = 5;

fn holder(number: usize) -> Holder {
    Holder { name: format!("s{number:06}"), incarnation: 7 }
}

fn budget(members: usize) -> Budget {
    let members = members as u64;
    Budget {
        resource: OF,
        quota: 100 * members,
        window_ms: 1000,
        min_share: 2,
        standalone_share: 40,
        max_members: members,
    }
}

fn used(work: impl FnOnce()) -> Span {
    let now = || {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        Moment::from_nanos(time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64)
    };
    let before = now();
    work();
    now().since(before)
}

/// How many times as much it costs with eight times the members.
fn times(cost: impl Fn(usize) -> Span) -> f64 {
    let least = |members| (0..TRIES).map(|_| cost(members)).min().expect("some tries").secs();
    least(MANY) / least(FEW)
}

fn grants(members: usize) -> ShareChange {
    ShareChange::Grant(OF, (0..members).map(|number| (holder(number), 20)).collect())
}

fn granted(members: usize) -> Budgets {
    let mut budgets = Budgets::default();
    budgets.configure(&[budget(members)]);
    budgets.apply(1, &grants(members));
    assert_eq!(budgets.reserved(OF), 20 * members as u64);
    budgets
}

#[test]
fn an_entry_that_grants_to_all_costs_as_many_times_as_there_are_members() {
    let cost = |members| {
        let mut budgets = Budgets::default();
        budgets.configure(&[budget(members)]);
        let change = grants(members);
        used(|| budgets.apply(1, &change))
    };
    let times = times(cost);
    assert!(times < TIMES_MOST, "{times:.1} times for {MANY} in place of {FEW}");
}

#[test]
fn a_division_costs_as_many_times_as_there_are_members() {
    let cost = |members| {
        let budgets = granted(members);
        let mut divider = Allocator::new(Moment::default(), 0);
        let told = Usage { acting_on: LogPosition { generation: 0, index: 1 }, wanted: 60, held: 0 };
        let now = Moment::default() + Span::from_millis(4000);
        (0..members).for_each(|number| divider.record_report(now, &holder(number), &[(OF, told)], false));
        used(|| drop(black_box(divider.proposals(now, &budgets))))
    };
    let times = times(cost);
    assert!(times < TIMES_MOST, "{times:.1} times for {MANY} in place of {FEW}");
}

#[test]
fn who_held_a_part_before_is_found_without_a_look_at_all() {
    let cost = |members| {
        let budgets = granted(members);
        let new = |number| Holder { incarnation: 8, ..holder(number) };
        used(|| {
            for number in 0..members {
                assert_eq!(budgets.earlier_incarnations(OF, &new(number)).count(), 1);
            }
        })
    };
    let times = times(cost);
    assert!(times < TIMES_MOST, "{times:.1} times for {MANY} in place of {FEW}");
}

#[test]
fn only_earlier_processes_of_the_same_name_are_found() {
    let of = |name: &str, incarnation| Holder { name: name.to_string(), incarnation };
    let mut budgets = Budgets::default();
    budgets.configure(&[budget(10)]);
    let all = [of("a", 9), of("s", 0), of("s", 3), of("s", 5), of("s", 6), of("s1", 1)];
    budgets.apply(1, &ShareChange::Grant(OF, all.iter().map(|holder| (holder.clone(), 2)).collect()));
    let found: Vec<u64> =
        budgets.earlier_incarnations(OF, &of("s", 5)).map(|earlier| earlier.incarnation).collect();
    assert_eq!(found, [0, 3]);
    assert_eq!(budgets.earlier_incarnations(OF, &of("s", 0)).count(), 0);
    assert_eq!(budgets.earlier_incarnations(Resource::Retries, &of("s", 5)).count(), 0);
}

/// One entry for many is worth the same as one for each: copies of two builds apply the same log.
#[test]
fn a_grant_to_many_leaves_what_grants_to_each_do() {
    let mut chance = oorandom::Rand64::new(7);
    for _ in 0..300 {
        let mut draw = |to: u64| chance.rand_range(0..to);
        let sets: Vec<(Holder, u64)> =
            (0..2 + draw(20)).map(|_| (holder(draw(8) as usize), draw(150))).collect();
        let begin = || {
            let mut budgets = Budgets::default();
            budgets.configure(&[budget(5)]);
            budgets.apply(1, &ShareChange::Grant(OF, vec![(holder(0), 90), (holder(1), 60)]));
            budgets
        };
        let (mut one, mut other) = (begin(), begin());
        one.apply(2, &ShareChange::Grant(OF, sets.clone()));
        sets.into_iter().for_each(|set| other.apply(2, &ShareChange::Grant(OF, vec![set])));
        assert_eq!(one, other);
    }
}
