//! Attempts whose response has begun to arrive when the balancer would give them up.

use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome, RequestInfo};

/// Past this time after its arrival, a request's answer is of no use; its client waits for `DEADLINE_MS`.
const BUDGET_MS: u64 = 1000;
const DEADLINE_MS: u64 = 5000;

fn at(ms: u64) -> Moment {
    Moment::from_nanos(1_000_000_000 + ms * 1_000_000)
}

/// A balancer with one endpoint and a keyed method.
fn balancer(changes: &[(&str, &str)]) -> Balancer {
    let plain = "nInstances=1 tickNs=1000000 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
        ceilings.mostWriteOuts=3 rules.startCapacity=0.25 rules.coldNs=8000000000 rules.overloadForNs=8000000000 \
        methods.count=1 methods.0.effect=dedup methods.0.group=all methods.0.windowNs=9000000000 methods.0.name=order \
        methods.0.latencyBudgetNs=1000000000 methods.0.deadlineNs=5000000000 methods.0.overdueCriticality=0 \
        methods.0.criticality=1";
    let plain = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
    let terms =
        Terms::decode(plain.chain(changes.iter().copied()), &mut Places::default()).expect("readable terms");
    let mut balancer = Balancer::new(at(0), terms, 7);
    balancer.list_begin(true);
    balancer.list_entry(at(0), 0, Entry { state: EndpointState::Ready, ..Entry::default() });
    balancer.list_end(at(0));
    balancer
}

fn arrival(balancer: &mut Balancer, now: Moment, request: usize) {
    balancer.arrival(
        now,
        request,
        RequestInfo { left: Span::from_millis(DEADLINE_MS), ..RequestInfo::default() },
    );
}

/// Decisions about this request, without those to wake.
fn decisions(balancer: &mut Balancer, now: Moment) -> Vec<Decision> {
    let mut decided = Vec::new();
    while let Some(decision) = balancer.next_decision(now) {
        if !matches!(decision, Decision::Wake { .. } | Decision::Subscribe) {
            decided.push(decision);
        }
    }
    decided
}

/// Sends request 1 after the endpoint has turned request 0 away, so that the attempt has the client's whole deadline and
/// is to be cancelled at the latency budget.
fn send_after_overload(balancer: &mut Balancer) {
    arrival(balancer, at(1), 0);
    decisions(balancer, at(1));
    balancer.outcome(at(2), 0, 0, Outcome::Overloaded, true);
    decisions(balancer, at(2));
    arrival(balancer, at(10), 1);
    let give_up = at(10 + DEADLINE_MS);
    assert_eq!(decisions(balancer, at(10)), [Decision::Send { request: 1, endpoint: 0, give_up }]);
}

fn wake(balancer: &mut Balancer, ms: u64) -> Vec<Decision> {
    balancer.wake(at(ms));
    decisions(balancer, at(ms))
}

/// Guards against a response that came in time being cut off at the latency budget.
#[test]
fn an_attempt_is_cancelled_at_the_budget_only_if_its_response_has_not_begun() {
    let mut silent = balancer(&[]);
    send_after_overload(&mut silent);
    let decided = wake(&mut silent, 10 + BUDGET_MS);
    assert!(decided.contains(&Decision::Cancel { request: 1, attempt: 0 }), "{decided:?}");

    let mut begun = balancer(&[]);
    send_after_overload(&mut begun);
    begun.response_begun(1);
    for ms in (BUDGET_MS..DEADLINE_MS).step_by(100) {
        assert_eq!(wake(&mut begun, 10 + ms), []);
    }
}

/// Guards against a request that is left without a final answer because its response has begun once.
#[test]
fn a_response_that_has_begun_and_breaks_off_is_followed_by_a_final_answer() {
    for (broken_at_ms, is_retried) in [(500, true), (BUDGET_MS + 500, false)] {
        let mut balancer = balancer(&[]);
        send_after_overload(&mut balancer);
        balancer.response_begun(1);
        balancer.outcome(at(10 + broken_at_ms), 1, 0, Outcome::Reset, false);
        let decided = decisions(&mut balancer, at(10 + broken_at_ms));
        if !is_retried {
            assert!(matches!(decided[..], [Decision::Reject { request: 1, .. }, ..]), "{decided:?}");
            continue;
        }
        // The retry has a response of its own, which has not begun.
        assert!(matches!(decided[..], [Decision::Send { request: 1, .. }]), "{decided:?}");
        let decided = wake(&mut balancer, 10 + BUDGET_MS);
        assert!(decided.contains(&Decision::Cancel { request: 1, attempt: 1 }), "{decided:?}");
    }
}

/// Guards against a response that arrives being cut off to free a reply slot.
#[test]
fn reply_slots_are_not_freed_by_cutting_off_a_response_that_has_begun() {
    for response_begun in [false, true] {
        let mut balancer = balancer(&[("ceilings.replySlots", "1")]);
        arrival(&mut balancer, at(1), 0);
        decisions(&mut balancer, at(1));
        balancer.outcome(at(11), 0, 0, Outcome::Success, true);
        decisions(&mut balancer, at(11));
        arrival(&mut balancer, at(20), 1);
        decisions(&mut balancer, at(20));
        if response_begun {
            balancer.response_begun(1);
        }
        // The outcome of another attempt brings a look at those that are out for long.
        arrival(&mut balancer, at(30), 2);
        decisions(&mut balancer, at(30));
        balancer.outcome(at(500), 2, 0, Outcome::Success, true);
        let decided = decisions(&mut balancer, at(500));
        let given_up = decided.contains(&Decision::Cancel { request: 1, attempt: 0 });
        assert_eq!(given_up, !response_begun, "{decided:?}");
    }
}
