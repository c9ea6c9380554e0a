//! Many processes that start with a list that is out of date, before a service that handles one call at a time: the call
//! schedule and the lease on that list, in virtual time.

#[path = "fakes/callers.rs"]
mod callers;

use appledyke::Decision;
use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::list_lease::FailedCall;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke_sidecar::net::discovery::schedule::CallEnd;
use callers::{Caller, Capacity, World};
use oorandom::Rand64;

/// When the first process starts, and the time within which all that start have done so.
const START: Span = Span::from_millis(20_000);
const STARTS_WITHIN: Span = Span::from_millis(300);
/// Interval at which it is checked whether a list may be used.
const STEP: Span = Span::from_millis(20);

fn instance(instances: usize, start: Moment, seed: u64) -> Balancer {
    let plain = "tickNs=1000000 discovery=subscribe rules.askWithinNs=10000000000 ceilings.cancel=true \
        ceilings.retryAfter=false ceilings.mostWriteOuts=3 ceilings.connectTimeoutNs=200000000 \
        rules.startCapacity=0.4 rules.coldNs=7000000000 rules.overloadForNs=1500000000 \
        rules.stopSendingWithinNs=1500000000 methods.count=0";
    let instances = instances.to_string();
    let pairs = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
    let pairs = pairs.chain([("nInstances", instances.as_str())]);
    let terms = Terms::decode(pairs, &mut Places::default()).expect("readable terms");
    let mut balancer = Balancer::new(start, terms, seed);
    balancer.list_from_startup(start);
    balancer
}

/// When the instance first subscribes.
fn first_subscription(balancer: &mut Balancer, start: Moment) -> Moment {
    let mut now = start;
    loop {
        let mut wake = None;
        while let Some(decision) = balancer.next_decision(now) {
            match decision {
                Decision::Subscribe => return now,
                Decision::Wake { at } => wake = Some(wake.map_or(at, |earlier: Moment| earlier.min(at))),
                _ => {}
            }
        }
        now = wake.expect("a wake is scheduled");
        balancer.wake(now);
    }
}

/// Whether the list of the start may be used at some time before the service has answered.
fn uses_unconfirmed(balancer: &mut Balancer, start: Moment, caller: &Caller) -> bool {
    let heard = caller.heard.expect("every caller is answered in the end");
    let mut failures = caller.failures.iter().peekable();
    let mut now = start;
    while now < heard {
        while let Some((at, end)) = failures.next_if(|(at, _)| *at <= now) {
            balancer.discovery_call_failed(FailedCall { at: *at, refused: *end == CallEnd::Refused });
        }
        if balancer.may_use_list(now) {
            return true;
        }
        now = now + STEP;
    }
    false
}

/// Review, case 7, in fleets of other sizes and before a slow discovery. Danger: a process that uses its old list before
/// discovery has answered sends to endpoints that must be left alone, and one whose calls are rejected cannot tell that
/// discovery is up.
#[test]
fn no_process_of_a_fleet_of_any_size_uses_the_list_of_its_start_before_a_slow_discovery_has_answered() {
    let mut early = Vec::new();
    // Instances, those that start, and the time that discovery needs for a call: 0.3 to 7 s for a call of each that starts.
    for (instances, starting, call_time) in [
        (1, 1, 300),
        (9, 4, 500),
        (60, 27, 10),
        (60, 27, 100),
        (60, 27, 200),
        (60, 60, 100),
        (344, 155, 20),
        (344, 344, 20),
        (900, 405, 10),
        (900, 900, 5),
        (1200, 540, 10),
    ] {
        let capacity = Capacity { call_time: Span::from_millis(call_time), queue_most: 10_000 };
        let (mut count, mut rejected, mut waited) = (0, 0, Span::ZERO);
        for seed in 0..10 {
            let mut chance = Rand64::new(u128::from(seed));
            let mut world = World::new(starting, instances as f64, capacity, Moment::default(), seed);
            let mut processes: Vec<(Balancer, Moment)> = (0..starting)
                .map(|number| {
                    let start = Moment::default() + START + STARTS_WITHIN * chance.rand_float();
                    (instance(instances, start, seed * 10_000 + number as u64), start)
                })
                .collect();
            for (number, (balancer, start)) in processes.iter_mut().enumerate() {
                let first = first_subscription(balancer, *start);
                world.put_off(number, first);
            }
            world.run(Moment::default() + START * 10.0);
            for ((balancer, start), caller) in processes.iter_mut().zip(&world.callers) {
                count += usize::from(uses_unconfirmed(balancer, *start, caller));
                rejected += caller.failures.len();
                waited = waited.max(caller.heard.map_or(Span::ZERO, |heard| heard.since(*start)));
            }
        }
        println!(
            "{starting} of {instances} start, {call_time} ms a call: {count} use their list, {rejected} calls rejected, \
             the last answered after {:.1} s",
            waited.secs()
        );
        if count > 0 {
            early.push((instances, starting, call_time, count));
        }
    }
    assert!(early.is_empty(), "{early:?}");
}
