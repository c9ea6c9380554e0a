//! Decides as ever, and where other settings are to be watched, lets a second choice hear the same and what was
//! really done, and counts by kind where it would have decided otherwise. The second one carries out nothing: its
//! probes and messages are not sent, so it decides as if no report came, and it is woken only with the first.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;

use appledyke::balancer::Balancer;
use appledyke::reports::AttemptReport;
use appledyke::terms::Terms;
use appledyke::units::Moment;
use appledyke::{Decision, Entry, Outcome, RequestInfo};

/// Where the watched settings would have decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests of which something was really decided.
    pub decided: u64,
    /// Sent to another endpoint.
    pub elsewhere: u64,
    /// Rejected or failed, but really sent.
    pub ended: u64,
    /// Sent, but really rejected or failed.
    pub sent: u64,
    /// Rejected and not failed, or the reverse.
    pub answered: u64,
    /// Not yet decided, where something really was.
    pub later: u64,
    /// Decided already, where nothing really was.
    pub sooner: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counts { decided, elsewhere, ended, sent, answered, later, sooner } = self;
        write!(f, "of {decided} decisions, otherwise: elsewhere {elsewhere}, ended {ended}, sent {sent}, ")?;
        write!(f, "answered {answered}, later {later}, sooner {sooner}")
    }
}

struct Watch {
    balancer: Balancer,
    counts: Counts,
    asks: HashMap<usize, RequestInfo>,
    /// What it decided, and nothing of the kind was really decided yet.
    decided: VecDeque<Decision>,
    /// Requests of which it decided sooner: counted already.
    sooner: HashSet<usize>,
}

/// The choice that decides, and the one that is watched.
pub struct Decider {
    real: Balancer,
    watch: Option<Watch>,
}

fn of_request(decision: &Decision) -> Option<usize> {
    match decision {
        Decision::Send { request, .. }
        | Decision::Reject { request, .. }
        | Decision::Fail { request, .. } => Some(*request),
        _ => None,
    }
}

impl Decider {
    pub fn new(now: Moment, terms: Terms, watched: Option<Terms>, seed: u64) -> Decider {
        let watch = watched.map(|terms| Watch {
            balancer: Balancer::new(now, terms, seed),
            counts: Counts::default(),
            asks: HashMap::new(),
            decided: VecDeque::new(),
            sooner: HashSet::new(),
        });
        Decider { real: Balancer::new(now, terms, seed), watch }
    }

    pub fn counts(&self) -> Option<Counts> {
        self.watch.as_ref().map(|watch| watch.counts)
    }

    pub fn terms(&self) -> &Terms {
        self.real.terms()
    }

    /// Attempts of another process of this sidecar have ended.
    pub fn told(&mut self, now: Moment, news: &[AttemptReport]) {
        self.both(|balancer| balancer.apply_reports(now, news.iter().copied(), true));
    }

    /// Attempts of other members of the fleet have ended.
    pub fn heard(&mut self, now: Moment, news: &[AttemptReport]) {
        self.both(|balancer| balancer.apply_reports(now, news.iter().copied(), false));
    }

    pub fn partly_forwarded(&mut self, now: Moment, request: usize) {
        self.both(|balancer| balancer.partly_forwarded(now, request));
    }

    /// Other terms hold from now on, at these places.
    pub fn update_terms(&mut self, terms: Terms, watched: Option<Terms>, places: &[(usize, Option<usize>)]) {
        if let Some(watch) = &mut self.watch {
            let watched = watched.unwrap_or_else(|| watch.balancer.terms().clone());
            watch.balancer.update_terms(watched.aligned(&terms), places);
        }
        self.real.update_terms(terms, places);
    }

    /// How many endpoints are listed, and how many of them are avoided.
    pub fn avoided(&self, now: Moment) -> (usize, usize) {
        self.real.avoided(now)
    }

    fn both(&mut self, tell: impl Fn(&mut Balancer)) {
        tell(&mut self.real);
        self.watch.iter_mut().for_each(|watch| tell(&mut watch.balancer));
    }

    pub fn arrival(&mut self, now: Moment, request: usize, ask: RequestInfo) {
        if let Some(watch) = &mut self.watch {
            watch.asks.insert(request, ask);
            watch.sooner.remove(&request);
        }
        self.both(|balancer| balancer.arrival(now, request, ask));
    }

    pub fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool) {
        self.both(|balancer| balancer.outcome(now, request, attempt, outcome, closed));
    }

    /// A probe has ended: only the choice that decides has sent it.
    pub fn probed(&mut self, now: Moment, endpoint: usize, load: Option<f64>) {
        self.real.probe_result(now, endpoint, load);
    }

    pub fn client_disconnected(&mut self, request: usize) {
        self.both(|balancer| balancer.client_disconnected(request));
    }

    pub fn wake(&mut self, now: Moment) {
        self.both(|balancer| balancer.wake(now));
    }

    pub fn list_begin(&mut self, complete: bool) {
        self.both(|balancer| balancer.list_begin(complete));
    }

    pub fn listed(&mut self, now: Moment, endpoint: usize, entry: Entry) {
        self.both(|balancer| balancer.list_entry(now, endpoint, entry));
    }

    pub fn list_end(&mut self, now: Moment) {
        self.both(|balancer| balancer.list_end(now));
    }

    pub fn list_failed(&mut self, now: Moment) {
        self.both(|balancer| balancer.list_failed(now));
    }

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        let decision = self.real.next_decision(now);
        if let Some(watch) = &mut self.watch {
            watch.compare(now, decision.as_ref());
        }
        decision
    }
}

impl Watch {
    /// Its next decision; a probe that it would send brings nothing.
    fn pull(&mut self, now: Moment) -> Option<Decision> {
        let decision = self.balancer.next_decision(now);
        if let Some(Decision::Probe { endpoint }) = decision {
            self.balancer.probe_result(now, endpoint, None);
        }
        decision
    }

    fn compare(&mut self, now: Moment, really: Option<&Decision>) {
        let Some(really) = really else {
            while let Some(decision) = self.pull(now) {
                self.decided.push_back(decision);
            }
            for decision in std::mem::take(&mut self.decided) {
                self.too_soon(now, &decision);
            }
            return;
        };
        // Danger: where both decide alike they must hear alike, so one is pulled for one.
        self.counts.decided += u64::from(of_request(really).is_some());
        let first = self.pull(now);
        if self.decided.is_empty() && first.as_ref() == Some(really) {
            return;
        }
        self.decided.extend(first);
        let Some(request) = of_request(really) else { return };
        let same =
            |decided: &VecDeque<Decision>| decided.iter().position(|own| of_request(own) == Some(request));
        while same(&self.decided).is_none()
            && let Some(decision) = self.pull(now)
        {
            self.decided.push_back(decision);
        }
        let own = same(&self.decided).and_then(|at| self.decided.remove(at));
        self.reconcile(now, request, really, own);
    }

    /// It decided of a request of which nothing was really decided.
    fn too_soon(&mut self, now: Moment, decision: &Decision) {
        let Some(request) = of_request(decision) else { return };
        self.counts.sooner += u64::from(self.sooner.insert(request));
        if matches!(decision, Decision::Send { .. }) {
            self.balancer.set_actual_attempt(now, request, None);
        }
    }

    /// Counts the difference, and brings the choice to what was really done.
    fn reconcile(&mut self, now: Moment, request: usize, really: &Decision, own: Option<Decision>) {
        let counts = &mut self.counts;
        let count = match (really, &own) {
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
        let sent = matches!(own, Some(Decision::Send { .. }));
        match really {
            Decision::Send { endpoint, .. } => {
                if !sent && own.is_some() {
                    // It has ended the request, which is really open.
                    let Some(ask) = self.asks.get(&request).copied() else { return };
                    self.balancer.arrival(now, request, ask);
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
    use crate::launch::plain_terms;

    /// Some requests over two endpoints, every fourth attempt refused for being full; what the watch counts.
    fn play(watched: &[(&str, &str)]) -> Counts {
        let at = |ms: u64| Moment::from_nanos(ms * 1_000_000);
        let mut both = Decider::new(at(0), plain_terms("read", &[]), Some(plain_terms("read", watched)), 7);
        both.list_begin(true);
        for endpoint in 0..2 {
            let entry = Entry { state: EndpointState::Ready, name_hash: endpoint as u32, ..Entry::default() };
            both.listed(at(0), endpoint, entry);
        }
        both.list_end(at(0));
        let mut sends = 0;
        for request in 0..100 {
            let now = at(10 * (request as u64 + 1));
            both.arrival(
                now,
                request,
                RequestInfo { left: Span::from_millis(3000), ..RequestInfo::default() },
            );
            let mut attempts = 0;
            while let Some(decision) = both.next_decision(now) {
                if let Decision::Send { request, .. } = decision {
                    sends += 1;
                    let outcome = if sends % 4 == 0 { Outcome::Overloaded } else { Outcome::Success };
                    both.outcome(now, request, attempts, outcome, outcome == Outcome::Success);
                    attempts += 1;
                }
            }
        }
        assert!(sends > 100, "some are sent again: {sends}");
        both.counts().unwrap()
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
