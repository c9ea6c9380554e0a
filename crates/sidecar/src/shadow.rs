//! The balancer that decides and, where shadow settings are configured, a second balancer with those settings. The
//! second one receives the same events and the decisions that were carried out, and differences from its own
//! decisions are counted by kind. Its decisions are never carried out: its probes and messages are not sent, so it
//! decides as if no reports came, and it is woken only together with the first.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;

use appledyke::balancer::Balancer;
use appledyke::list_lease::{FailedCall, SharedLease};
use appledyke::reports::AttemptReport;
use appledyke::terms::Terms;
use appledyke::units::Moment;
use appledyke::{Decision, Entry, KnownEndpoint, Outcome, RequestInfo};

/// How often the shadow settings would have decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Decisions about requests that were carried out.
    pub decided: u64,
    /// Both sent, but the shadow to another endpoint.
    pub elsewhere: u64,
    /// The shadow rejected or failed what was sent.
    pub ended: u64,
    /// The shadow sent what was rejected or failed.
    pub sent: u64,
    /// The shadow rejected what was failed, or the reverse.
    pub answered: u64,
    /// The shadow had not decided yet when a decision was carried out.
    pub later: u64,
    /// The shadow decided before a decision was carried out.
    pub sooner: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counts { decided, elsewhere, ended, sent, answered, later, sooner } = self;
        write!(f, "of {decided} decisions, otherwise: elsewhere {elsewhere}, ended {ended}, sent {sent}, ")?;
        write!(f, "answered {answered}, later {later}, sooner {sooner}")
    }
}

struct Shadow {
    balancer: Balancer,
    counts: Counts,
    requests: HashMap<usize, RequestInfo>,
    /// Its decisions that have no counterpart among those carried out yet.
    unmatched: VecDeque<Decision>,
    /// Requests that it decided sooner, which are already counted.
    sooner: HashSet<usize>,
}

/// The balancer that decides, and the shadow.
pub struct ShadowedBalancer {
    real: Balancer,
    shadow: Option<Shadow>,
}

fn request_of(decision: &Decision) -> Option<usize> {
    match decision {
        Decision::Send { request, .. }
        | Decision::Reject { request, .. }
        | Decision::Fail { request, .. } => Some(*request),
        _ => None,
    }
}

impl ShadowedBalancer {
    pub fn new(now: Moment, terms: Terms, shadow_terms: Option<Terms>, seed: u64) -> ShadowedBalancer {
        let shadow = shadow_terms.map(|terms| Shadow {
            balancer: Balancer::new(now, terms, seed),
            counts: Counts::default(),
            requests: HashMap::new(),
            unmatched: VecDeque::new(),
            sooner: HashSet::new(),
        });
        ShadowedBalancer { real: Balancer::new(now, terms, seed), shadow }
    }

    pub fn counts(&self) -> Option<Counts> {
        self.shadow.as_ref().map(|shadow| shadow.counts)
    }

    pub fn terms(&self) -> &Terms {
        self.real.terms()
    }

    /// Applies outcomes of attempts by another process of this sidecar.
    pub fn apply_sibling_outcomes(&mut self, now: Moment, reports: &[AttemptReport]) {
        self.for_both(|balancer| balancer.apply_reports(now, reports.iter().copied(), true));
    }

    /// Applies outcomes of attempts by other members of the fleet.
    pub fn apply_fleet_outcomes(&mut self, now: Moment, reports: &[AttemptReport]) {
        self.for_both(|balancer| balancer.apply_reports(now, reports.iter().copied(), false));
    }

    /// As `Balancer::time_runs_from`, for both; the answer is that of the real one.
    pub fn time_runs_from(&mut self, request: usize, since: Moment) -> Option<Moment> {
        if let Some(shadow) = &mut self.shadow {
            shadow.balancer.time_runs_from(request, since);
        }
        self.real.time_runs_from(request, since)
    }

    pub fn partly_forwarded(&mut self, now: Moment, request: usize) {
        self.for_both(|balancer| balancer.partly_forwarded(now, request));
    }

    pub fn response_begun(&mut self, request: usize) {
        self.for_both(|balancer| balancer.response_begun(request));
    }

    pub fn response_stalled(&mut self, now: Moment, endpoint: usize, method: usize) {
        self.for_both(|balancer| balancer.response_stalled(now, endpoint, method));
    }

    /// Applies other terms; `places` are the indices of new or changed methods.
    pub fn update_terms(
        &mut self,
        terms: Terms,
        shadow_terms: Option<Terms>,
        places: &[(usize, Option<usize>)],
    ) {
        if let Some(shadow) = &mut self.shadow {
            let shadow_terms = shadow_terms.unwrap_or_else(|| shadow.balancer.terms().clone());
            shadow.balancer.update_terms(shadow_terms.aligned(&terms), places);
        }
        self.real.update_terms(terms, places);
    }

    /// How many endpoints are listed, and how many of them are avoided.
    pub fn avoided(&self, now: Moment) -> (usize, usize) {
        self.real.avoided(now)
    }

    fn for_both(&mut self, apply: impl Fn(&mut Balancer)) {
        apply(&mut self.real);
        self.shadow.iter_mut().for_each(|shadow| apply(&mut shadow.balancer));
    }

    pub fn arrival(&mut self, now: Moment, request: usize, info: RequestInfo) {
        if let Some(shadow) = &mut self.shadow {
            shadow.requests.insert(request, info);
            shadow.sooner.remove(&request);
        }
        self.for_both(|balancer| balancer.arrival(now, request, info));
    }

    pub fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool) {
        self.for_both(|balancer| balancer.outcome(now, request, attempt, outcome, closed));
    }

    /// Passes a probe's result to the deciding balancer alone, as the shadow sends none.
    pub fn probe_result(&mut self, now: Moment, endpoint: usize, load: Option<f64>) {
        self.real.probe_result(now, endpoint, load);
    }

    pub fn client_disconnected(&mut self, request: usize) {
        self.for_both(|balancer| balancer.client_disconnected(request));
    }

    pub fn wake(&mut self, now: Moment) {
        self.for_both(|balancer| balancer.wake(now));
    }

    pub fn list_begin(&mut self, complete: bool) {
        self.for_both(|balancer| balancer.list_begin(complete));
    }

    pub fn list_entry(&mut self, now: Moment, endpoint: usize, entry: Entry) {
        self.for_both(|balancer| balancer.list_entry(now, endpoint, entry));
    }

    pub fn list_end(&mut self, now: Moment) {
        self.for_both(|balancer| balancer.list_end(now));
    }

    pub fn list_from_startup(&mut self, now: Moment) {
        self.for_both(|balancer| balancer.list_from_startup(now));
    }

    pub fn list_confirmed(&mut self) {
        self.for_both(Balancer::list_confirmed);
    }

    pub fn discovery_call_failed(&mut self, call: FailedCall) {
        self.for_both(|balancer| balancer.discovery_call_failed(call));
    }

    /// Applies what another process of this sidecar states of the list that this one has taken over.
    pub fn take_over_lease(&mut self, now: Moment, lease: SharedLease) {
        self.for_both(|balancer| balancer.take_over_lease(now, lease));
    }

    /// What the deciding balancer states of its list to other processes of this sidecar.
    pub fn shared_lease(&self, now: Moment, last_current: Option<Moment>) -> SharedLease {
        self.real.shared_lease(now, last_current)
    }

    /// The endpoints that the deciding balancer knows from lists.
    pub fn known_endpoints(&self) -> impl Iterator<Item = (usize, KnownEndpoint)> {
        self.real.known_endpoints()
    }

    /// Whether the deciding balancer may use its list now.
    pub fn may_use_list(&self, now: Moment) -> bool {
        self.real.may_use_list(now)
    }

    pub fn list_failed(&mut self, now: Moment) {
        self.for_both(|balancer| balancer.list_failed(now));
    }

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        let decision = self.real.next_decision(now);
        if let Some(shadow) = &mut self.shadow {
            shadow.compare(now, decision.as_ref());
        }
        decision
    }
}

impl Shadow {
    /// The shadow's next decision. A probe that it decides on gets no answer.
    fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        let decision = self.balancer.next_decision(now);
        if let Some(Decision::Probe { endpoint }) = decision {
            self.balancer.probe_result(now, endpoint, None);
        }
        decision
    }

    fn compare(&mut self, now: Moment, actual: Option<&Decision>) {
        let Some(actual) = actual else {
            while let Some(decision) = self.next_decision(now) {
                self.unmatched.push_back(decision);
            }
            for decision in std::mem::take(&mut self.unmatched) {
                self.count_sooner(now, &decision);
            }
            return;
        };
        // Danger: while both decide alike they must also receive the same events, so the shadow takes one decision
        // for each one carried out.
        self.counts.decided += u64::from(request_of(actual).is_some());
        let next = self.next_decision(now);
        if self.unmatched.is_empty() && next.as_ref() == Some(actual) {
            return;
        }
        self.unmatched.extend(next);
        let Some(request) = request_of(actual) else { return };
        let position =
            |decided: &VecDeque<Decision>| decided.iter().position(|own| request_of(own) == Some(request));
        while position(&self.unmatched).is_none()
            && let Some(decision) = self.next_decision(now)
        {
            self.unmatched.push_back(decision);
        }
        let shadow_decision = position(&self.unmatched).and_then(|at| self.unmatched.remove(at));
        self.reconcile(now, request, actual, shadow_decision);
    }

    /// Handles a decision of the shadow on a request that was not really decided yet.
    fn count_sooner(&mut self, now: Moment, decision: &Decision) {
        let Some(request) = request_of(decision) else { return };
        self.counts.sooner += u64::from(self.sooner.insert(request));
        if matches!(decision, Decision::Send { .. }) {
            self.balancer.set_actual_attempt(now, request, None);
        }
    }

    /// Counts the difference, and sets the shadow's state to what was really done.
    fn reconcile(
        &mut self,
        now: Moment,
        request: usize,
        actual: &Decision,
        shadow_decision: Option<Decision>,
    ) {
        let counts = &mut self.counts;
        let count = match (actual, &shadow_decision) {
            _ if self.sooner.remove(&request) => None,
            (_, None) => Some(&mut counts.later),
            (Decision::Send { endpoint, .. }, Some(Decision::Send { endpoint: own, .. })) => {
                (endpoint != own).then_some(&mut counts.elsewhere)
            }
            (Decision::Send { .. }, _) => Some(&mut counts.ended),
            (_, Some(Decision::Send { .. })) => Some(&mut counts.sent),
            (Decision::Reject { .. }, Some(Decision::Fail { .. })) => Some(&mut counts.answered),
            (Decision::Fail { .. }, Some(Decision::Reject { .. })) => Some(&mut counts.answered),
            _ => None,
        };
        count.into_iter().for_each(|count| *count += 1);
        let sent = matches!(shadow_decision, Some(Decision::Send { .. }));
        match actual {
            Decision::Send { endpoint, .. } => {
                if !sent && shadow_decision.is_some() {
                    // The shadow has ended the request, which is really open.
                    let Some(info) = self.requests.get(&request).copied() else { return };
                    self.balancer.arrival(now, request, info);
                }
                self.balancer.set_actual_attempt(now, request, Some(*endpoint));
            }
            _ => {
                if sent {
                    self.balancer.set_actual_attempt(now, request, None);
                }
                self.balancer.client_disconnected(request);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use appledyke::EndpointState;
    use appledyke::units::Span;

    use super::*;
    use crate::config::plain_terms;

    /// Plays requests over two endpoints where every fourth attempt is rejected as overloaded; returns the shadow's
    /// counts.
    fn play(shadow_terms: &[(&str, &str)]) -> Counts {
        let at = |ms: u64| Moment::from_nanos(ms * 1_000_000);
        let mut balancer = ShadowedBalancer::new(
            at(0),
            plain_terms("read", &[]),
            Some(plain_terms("read", shadow_terms)),
            7,
        );
        balancer.list_begin(true);
        for endpoint in 0..2 {
            let entry = Entry { state: EndpointState::Ready, name_hash: endpoint as u32, ..Entry::default() };
            balancer.list_entry(at(0), endpoint, entry);
        }
        balancer.list_end(at(0));
        let mut sends = 0;
        for request in 0..100 {
            let now = at(10 * (request as u64 + 1));
            balancer.arrival(
                now,
                request,
                RequestInfo { left: Span::from_millis(3000), ..RequestInfo::default() },
            );
            let mut attempts = 0;
            while let Some(decision) = balancer.next_decision(now) {
                if let Decision::Send { request, .. } = decision {
                    sends += 1;
                    let outcome = if sends % 4 == 0 { Outcome::Overloaded } else { Outcome::Success };
                    balancer.outcome(now, request, attempts, outcome, outcome == Outcome::Success);
                    attempts += 1;
                }
            }
        }
        assert!(sends > 100, "some are sent again: {sends}");
        balancer.counts().unwrap()
    }

    #[test]
    fn equal_settings_count_no_difference() {
        let counts = play(&[]);
        assert!(counts.decided > 100);
        assert_eq!(counts, Counts { decided: counts.decided, ..Counts::default() });
    }

    #[test]
    fn one_attempt_a_request_would_have_ended_what_was_really_sent_again() {
        let counts = play(&[("ceilings.mostWriteOuts", "1")]);
        assert!(counts.ended > 20, "{counts}");
        assert_eq!(counts.sent, 0, "{counts}");
    }
}
