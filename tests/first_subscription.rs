//! When an instance first subscribes to discovery after its start.

use appledyke::Decision;
use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};

/// How long after its start one of so many instances first subscribes, where it has to within 10 s.
fn first_subscription(instances: u32, seed: u64) -> Span {
    let plain = "tickNs=1000000 discovery=subscribe rules.askWithinNs=10000000000 ceilings.cancel=true \
        ceilings.retryAfter=false ceilings.mostWriteOuts=3 rules.startCapacity=0.4 rules.coldNs=7000000000 \
        rules.overloadForNs=1500000000 methods.count=1 methods.0.effect=retryable methods.0.group=all \
        methods.0.windowNs=2000000000 methods.0.name=read methods.0.latencyBudgetNs=1000000000 \
        methods.0.deadlineNs=5000000000 methods.0.overdueCriticality=0.5 methods.0.criticality=1";
    let instances = instances.to_string();
    let pairs = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
    let terms = Terms::decode(pairs.chain([("nInstances", instances.as_str())]), &mut Places::default());
    let start = Moment::default();
    let mut balancer = Balancer::new(start, terms.expect("readable terms"), seed);
    let mut now = start;
    loop {
        let mut wake = None;
        while let Some(decision) = balancer.next_decision(now) {
            match decision {
                Decision::Subscribe => return now.since(start),
                Decision::Wake { at } => wake = Some(at),
                _ => {}
            }
        }
        now = wake.expect("a wake is scheduled");
        balancer.wake(now);
    }
}

/// Danger: a process starts with the list of when it went down, but counts as informed of the changes since then,
/// even before it has subscribed.
#[test]
fn few_instances_subscribe_soon_after_their_start_and_many_spread_over_half_the_stated_time() {
    let latest =
        |instances| (0..500).map(|seed| first_subscription(instances, seed)).max().unwrap_or_default();
    assert!(latest(1) <= Span::from_millis(100));
    assert!(latest(10) <= Span::from_millis(1000));
    let many = latest(300);
    assert!(many > Span::from_millis(4500) && many <= Span::from_millis(5000), "{many:?}");
}
