//! Endpoints that restart or change their group while a keyed request may have run there: a new process does not remember
//! what the old one was sent.

use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome, RequestInfo};

/// How long a client waits for its answer.
const DEADLINE_MS: u64 = 5000;

fn at(ms: u64) -> Moment {
    Moment::from_nanos(1_000_000_000 + ms * 1_000_000)
}

/// An endpoint's entry: its group, and when its process started, in milliseconds, if that is not long ago.
fn entry(name_hash: u32, cell: u64, started_ms: Option<u64>) -> Entry {
    Entry { state: EndpointState::Ready, name_hash, cell, started: started_ms.map(at), ..Entry::default() }
}

/// A balancer with a method that is keyed within a group.
fn balancer() -> Balancer {
    let plain = "nInstances=1 tickNs=1000000 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
        ceilings.mostWriteOuts=3 rules.startCapacity=1 rules.coldNs=8000000000 rules.overloadForNs=8000000000 \
        methods.count=1 methods.0.effect=dedup methods.0.group=cell methods.0.windowNs=9000000000 methods.0.name=order \
        methods.0.latencyBudgetNs=4000000000 methods.0.deadlineNs=5000000000 methods.0.overdueCriticality=0 \
        methods.0.criticality=1";
    let pairs = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
    let terms = Terms::decode(pairs, &mut Places::default()).expect("readable terms");
    Balancer::new(at(0), terms, 7)
}

fn list(balancer: &mut Balancer, ms: u64, entries: &[Entry]) {
    balancer.list_begin(false);
    entries.iter().for_each(|entry| balancer.list_entry(at(ms), entry.name_hash as usize, *entry));
    balancer.list_end(at(ms));
}

/// The endpoints that requests are sent to at this time, and whether one failed.
fn decisions(balancer: &mut Balancer, ms: u64) -> (Vec<usize>, bool) {
    let (mut sent, mut failed) = (Vec::new(), false);
    while let Some(decision) = balancer.next_decision(at(ms)) {
        match decision {
            Decision::Send { endpoint, .. } => sent.push(endpoint),
            Decision::Fail { .. } => failed = true,
            _ => {}
        }
    }
    (sent, failed)
}

/// Sends a request to endpoint 0, the only one then, lists `changes`, and resets the attempt. Returns what follows up to
/// the request's deadline.
fn after_reset(changes: &[Entry]) -> (Vec<usize>, bool) {
    let mut balancer = balancer();
    list(&mut balancer, 0, &[entry(0, 3, None)]);
    let info = RequestInfo { left: Span::from_millis(DEADLINE_MS), ..RequestInfo::default() };
    balancer.arrival(at(10), 0, info);
    assert_eq!(decisions(&mut balancer, 10), (vec![0], false));
    list(&mut balancer, 20, changes);
    balancer.outcome(at(30), 0, 0, Outcome::Reset, false);
    let (mut sent, mut failed) = decisions(&mut balancer, 30);
    for ms in (40..=10 + DEADLINE_MS).step_by(10) {
        if !sent.is_empty() {
            break;
        }
        balancer.wake(at(ms));
        let (later, fails) = decisions(&mut balancer, ms);
        sent.extend(later);
        failed |= fails;
    }
    (sent, failed)
}

#[test]
fn keyed_request_is_retried_within_the_group_of_its_attempt() {
    assert_eq!(after_reset(&[entry(1, 4, None)]), (vec![0], false));
    let elsewhere =
        after_reset(&[Entry { state: EndpointState::Gone, ..entry(0, 3, None) }, entry(1, 3, None)]);
    assert_eq!(elsewhere, (vec![1], false));
}

/// Guards against picture (e) of incident 735e58: a keyed request ran again in a new process at the address of the old.
#[test]
fn keyed_request_is_not_retried_at_a_new_process_of_its_endpoint() {
    assert_eq!(after_reset(&[entry(0, 3, Some(15))]), (vec![], true));
}

/// Guards against the group of a new process being taken for that of the process to which the attempt went.
#[test]
fn keyed_request_is_not_retried_in_the_group_that_its_endpoint_has_joined_since() {
    assert_eq!(after_reset(&[entry(0, 4, Some(15)), entry(1, 4, None)]), (vec![], true));
    assert_eq!(after_reset(&[entry(0, 4, Some(15)), entry(1, 3, None)]), (vec![1], false));
}
