//! Terms that are updated during a run.

use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome, RequestInfo};

fn at(ms: u64) -> Moment {
    Moment::from_nanos(1_000_000_000 + ms * 1_000_000)
}

fn terms(changes: &[(&str, &str)]) -> Terms {
    let plain = "nInstances=1 tickNs=1000000 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
        ceilings.mostWriteOuts=3 rules.startCapacity=0.25 rules.coldNs=8000000000 rules.overloadForNs=8000000000 \
        methods.count=1 methods.0.effect=dedup methods.0.group=all methods.0.windowNs=2000000000 methods.0.name=view \
        methods.0.latencyBudgetNs=1000000000 methods.0.deadlineNs=5000000000 methods.0.overdueCriticality=0.5 \
        methods.0.criticality=1";
    let plain = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
    Terms::decode(plain.chain(changes.iter().copied()), &mut Places::default()).expect("readable terms")
}

/// The decisions on some requests with six endpoints, one of which is cold.
fn decisions(mut balancer: Balancer) -> Vec<Decision> {
    balancer.list_begin(true);
    for endpoint in 0..6 {
        let started = (endpoint == 5).then(|| at(0));
        let entry =
            Entry { state: EndpointState::Ready, started, name_hash: endpoint as u32, ..Entry::default() };
        balancer.list_entry(at(0), endpoint, entry);
    }
    balancer.list_end(at(0));
    let mut decided = Vec::new();
    let mut in_flight = std::collections::VecDeque::new();
    for request in 0..600 {
        let now = at(10 * (request as u64 + 1));
        while in_flight.front().is_some_and(|(due, _)| *due <= now)
            && let Some((_, request)) = in_flight.pop_front()
        {
            balancer.outcome(now, request, 0, Outcome::Success, true);
        }
        balancer.wake(now);
        balancer.arrival(
            now,
            request,
            RequestInfo { left: Span::from_millis(3000), ..RequestInfo::default() },
        );
        while let Some(decision) = balancer.next_decision(now) {
            match decision {
                Decision::Send { request, .. } => {
                    in_flight.push_back((now + Span::from_millis(200), request))
                }
                Decision::Probe { endpoint } => balancer.probe_result(now, endpoint, Some(endpoint as f64)),
                _ => {}
            }
            decided.push(decision);
        }
    }
    decided
}

/// Danger: an instance that kept values derived from the old terms would overload cold endpoints, queue requests that
/// it may send, and probe for loads where probes are off.
#[test]
fn updated_terms_decide_as_if_they_had_held_from_the_start() {
    for changes in [
        &[("rules.overloadForNs", "500000000")][..],
        &[("nInstances", "40")],
        &[("ceilings.probes", "true"), ("reporting.source", "on_probe"), ("reporting.names", "outstanding")],
    ] {
        let fresh = || decisions(Balancer::new(at(0), terms(changes), 7));
        let mut updated = Balancer::new(at(0), terms(&[]), 7);
        let before = updated.terms().clone();
        let (after, places) = terms(changes).after(&before, |_| false);
        updated.update_terms(after, &places);
        let (fresh, updated) = (fresh(), decisions(updated));
        assert!(fresh != decisions(Balancer::new(at(0), terms(&[]), 7)), "{changes:?} changes something");
        let differs = fresh.iter().zip(&updated).position(|(one, other)| one != other);
        assert_eq!((differs, fresh.len()), (None, updated.len()), "{changes:?}");
    }
}

/// Danger: a retry that waits for its connect could arrive after the deduplication window of the group has passed,
/// and run a second time.
#[test]
fn a_retry_that_could_connect_only_after_the_deduplication_window_is_not_sent() {
    let retries = |connect_timeout: &str, failed_at: u64| {
        let mut balancer = Balancer::new(at(0), terms(&[("ceilings.connectTimeoutNs", connect_timeout)]), 7);
        balancer.list_begin(true);
        for endpoint in 0..2 {
            balancer.list_entry(at(0), endpoint, Entry { name_hash: endpoint as u32, ..Entry::default() });
        }
        balancer.list_end(at(0));
        balancer.arrival(at(1), 0, RequestInfo { left: Span::from_millis(4000), ..RequestInfo::default() });
        while balancer.next_decision(at(1)).is_some() {}
        balancer.outcome(at(failed_at), 0, 0, Outcome::Error, false);
        std::iter::from_fn(|| balancer.next_decision(at(failed_at)))
            .any(|d| matches!(d, Decision::Send { .. }))
    };
    // The window is 2 s from the first attempt.
    assert!(retries("0", 1900) && retries("200000000", 1700));
    assert!(!retries("200000000", 1900) && !retries("0", 2000));
}
