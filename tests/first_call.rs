//! When an instance that has just started first wants a watch on discovery.

use appledyke::Decision;
use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};

/// How long after its start an instance among so many first asks discovery, where it may go 10 s without asking.
fn first_ask(instances: u32, seed: u64) -> Span {
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
        now = wake.expect("it wants to be woken");
        balancer.wake(now);
    }
}

/// Danger: a process starts with a list as old as it was down; what has changed since counts as told whether it has asked
/// or not.
#[test]
fn few_instances_ask_soon_after_their_start_and_many_spread_over_half_the_asking_time() {
    let latest = |instances| (0..500).map(|seed| first_ask(instances, seed)).max().unwrap_or_default();
    assert!(latest(1) <= Span::from_millis(100));
    assert!(latest(10) <= Span::from_millis(1000));
    let many = latest(300);
    assert!(many > Span::from_millis(4500) && many <= Span::from_millis(5000), "{many:?}");
}
