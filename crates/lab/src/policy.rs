//! The load-balancing policies that a simulation can run: the balancer itself, simple baselines to compare it with,
//! and deliberately faulty ones that test the rule checker.

use std::collections::VecDeque;

use appledyke::balancer::Balancer;
use appledyke::reports::AttemptReport;
use appledyke::terms::{Effect, Terms};
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, GiveUpReason, Outcome, RequestInfo};
use oorandom::Rand64;

/// The balancer's own retry budget: retry tokens earned per arrival, and the most tokens kept.
const PURSE_SHARE: f64 = 0.2;
const PURSE_MOST: f64 = 10.0;
/// Time left for a placeholder request that is never sent; any value works.
const PLACEHOLDER_TIME_LEFT: Span = Span::from_millis(1000);

/// An entry of an endpoint list as a balancer instance receives it.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    pub endpoint: usize,
    pub entry: Entry,
}

/// The balancer's interface, as its host calls it.
pub trait Policy {
    fn arrival(&mut self, now: Moment, request: usize, method: usize, left: Span);
    fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool);
    fn client_disconnected(&mut self, request: usize);
    fn list(&mut self, now: Moment, complete: bool, entries: &[ListedEndpoint]);
    fn list_failed(&mut self, now: Moment);
    /// Applies reports of attempts that ended at other members of the fleet.
    fn told(&mut self, _: Moment, _: &[AttemptReport]) {}
    fn wake(&mut self, now: Moment);
    fn next(&mut self, now: Moment) -> Option<Decision>;
}

impl Policy for Balancer {
    fn arrival(&mut self, now: Moment, request: usize, method: usize, left: Span) {
        Balancer::arrival(self, now, request, RequestInfo { method, left, ..RequestInfo::default() });
    }

    fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool) {
        Balancer::outcome(self, now, request, attempt, outcome, closed);
    }

    fn client_disconnected(&mut self, request: usize) {
        Balancer::client_disconnected(self, request);
    }

    fn list(&mut self, now: Moment, complete: bool, entries: &[ListedEndpoint]) {
        self.list_begin(complete);
        for e in entries {
            self.list_entry(now, e.endpoint, e.entry);
        }
        self.list_end(now);
    }

    fn list_failed(&mut self, now: Moment) {
        Balancer::list_failed(self, now);
    }

    fn told(&mut self, now: Moment, news: &[AttemptReport]) {
        Balancer::apply_reports(self, now, news.iter().copied(), false);
    }

    fn wake(&mut self, now: Moment) {
        Balancer::wake(self, now);
    }

    fn next(&mut self, now: Moment) -> Option<Decision> {
        self.next_decision(now)
    }
}

/// The policy that a run uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Module,
    Random,
    LeastOfTwo,
    /// Picks a random endpoint and retries as often as the terms allow, whether or not the method may be repeated;
    /// `TriesByPurse` retries only while a retry budget like the balancer's has tokens left.
    Tries,
    TriesByPurse,
    /// The balancer with every arrival treated as a nested call, which bypasses its throttle and its limit and earns no
    /// retry tokens.
    Unthrottled,
    /// The full balancer only at the sidecars in front of the first tier, or of the last; all others are `Unthrottled`.
    AtTop,
    AtLowest,
    /// A deliberately faulty policy that breaks one rule.
    Bad(Flaw),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    GivesNoAnswer,
    RepeatsWhatMayHaveRun,
    SendsToWhatDrains,
    CrowdsWhatIsCold,
}

impl std::str::FromStr for PolicyKind {
    type Err = String;
    fn from_str(name: &str) -> Result<PolicyKind, String> {
        match name {
            "module" => Ok(PolicyKind::Module),
            "random" => Ok(PolicyKind::Random),
            "least-of-two" => Ok(PolicyKind::LeastOfTwo),
            "tries" => Ok(PolicyKind::Tries),
            "tries-by-purse" => Ok(PolicyKind::TriesByPurse),
            "unthrottled" => Ok(PolicyKind::Unthrottled),
            "at-top" => Ok(PolicyKind::AtTop),
            "at-lowest" => Ok(PolicyKind::AtLowest),
            other => Err(format!(
                "policy: unknown '{other}'; module, random, least-of-two, tries, tries-by-purse, unthrottled, at-top and \
                 at-lowest are known"
            )),
        }
    }
}

impl PolicyKind {
    /// The policy that a sidecar in front of tier `tier` of `tiers` runs.
    pub fn at(self, tier: usize, tiers: usize) -> PolicyKind {
        let here = match self {
            PolicyKind::AtTop => tier == 0,
            PolicyKind::AtLowest => tier + 1 == tiers,
            other => return other,
        };
        if here { PolicyKind::Module } else { PolicyKind::Unthrottled }
    }

    pub fn make(self, now: Moment, terms: Terms, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyKind::Module => Box::new(Balancer::new(now, terms, seed)),
            PolicyKind::Unthrottled => {
                let mut balancer = Balancer::new(now, terms, seed);
                // Once one request has carried a key, requests without a key count as nested calls. This client
                // disconnects before its request is processed.
                balancer.arrival(
                    now,
                    0,
                    RequestInfo { left: PLACEHOLDER_TIME_LEFT, key: Some(0), ..RequestInfo::default() },
                );
                balancer.client_disconnected(0);
                while balancer.next_decision(now).is_some() {}
                Box::new(balancer)
            }
            other => Box::new(Plain {
                which: other,
                terms,
                chance: Rand64::new(u128::from(seed)),
                endpoints: Vec::new(),
                requests: Vec::new(),
                purse: PURSE_MOST,
                out: VecDeque::new(),
            }),
        }
    }
}

/// A baseline policy: picks an endpoint, waits until the deadline, and by default gives up at the first failure.
struct Plain {
    which: PolicyKind,
    terms: Terms,
    chance: Rand64,
    endpoints: Vec<Option<(ListedEndpoint, i64)>>,
    requests: Vec<Option<PlainRequest>>,
    purse: f64,
    out: VecDeque<Decision>,
}

struct PlainRequest {
    method: usize,
    deadline: Moment,
    sent_to: Vec<usize>,
}

impl Plain {
    fn flawed(&self, flaw: Flaw) -> bool {
        self.which == PolicyKind::Bad(flaw)
    }

    fn pick(&mut self) -> Option<usize> {
        let drains_too = self.flawed(Flaw::SendsToWhatDrains);
        let open =
            |e: &Entry| e.state == EndpointState::Ready || drains_too && e.state == EndpointState::Draining;
        let mut listed: Vec<_> =
            self.endpoints.iter().flatten().filter(|(e, _)| open(&e.entry)).copied().collect();
        if self.flawed(Flaw::CrowdsWhatIsCold)
            && let Some(last) = listed.iter().max_by_key(|(e, _)| e.entry.started).copied()
        {
            listed = vec![last];
        }
        let mut draw = || match listed.len() as u64 {
            0 => None,
            some => Some(listed[self.chance.rand_range(0..some) as usize]),
        };
        let first = draw()?;
        if self.which != PolicyKind::LeastOfTwo {
            return Some(first.0.endpoint);
        }
        let second = draw()?;
        Some(if second.1 < first.1 { second } else { first }.0.endpoint)
    }

    fn send(&mut self, request: usize) -> bool {
        let Some(endpoint) = self.pick() else { return false };
        let Some(r) = self.requests[request].as_mut() else { return false };
        r.sent_to.push(endpoint);
        self.endpoints[endpoint].as_mut().expect("picked from these").1 += 1;
        self.out.push_back(Decision::Send { request, endpoint, give_up: r.deadline });
        true
    }

    fn forget(&mut self, request: usize) {
        self.requests[request] = None;
        self.out.push_back(Decision::ForgetRequest { request });
    }

    fn end(&mut self, request: usize, harmless: bool) {
        if !self.flawed(Flaw::GivesNoAnswer) {
            let retry_after = self.terms.max_retry_after.map(|most| most * 0.2);
            let reason = GiveUpReason::NoEndpoint;
            let reject = Decision::Reject { request, retry_after, reason };
            self.out.push_back(if harmless { reject } else { Decision::Fail { request, reason } });
        }
        self.forget(request);
    }
}

impl Policy for Plain {
    fn arrival(&mut self, now: Moment, request: usize, method: usize, left: Span) {
        self.requests.resize_with(self.requests.len().max(request + 1), || None);
        self.requests[request] = Some(PlainRequest { method, deadline: now + left, sent_to: Vec::new() });
        self.purse = (self.purse + PURSE_SHARE).min(PURSE_MOST);
        if !self.send(request) {
            self.end(request, true);
        }
    }

    fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool) {
        let Some(Some(r)) = self.requests.get(request) else { return };
        let (method, deadline, tries) = (r.method, r.deadline, r.sent_to.len());
        if let Some(Some((_, out))) = self.endpoints.get_mut(r.sent_to[attempt]) {
            *out -= 1;
        }
        if closed {
            return self.forget(request);
        }
        let again = match self.which {
            PolicyKind::Bad(Flaw::RepeatsWhatMayHaveRun) | PolicyKind::Tries => true,
            PolicyKind::TriesByPurse => self.purse >= 1.0,
            _ => false,
        };
        if again && now < deadline && tries < self.terms.max_attempts && self.send(request) {
            self.purse -= 1.0;
            return;
        }
        let harmless = self.terms.methods[method].effect == Effect::Retryable || outcome.never_ran();
        self.end(request, harmless);
    }

    fn client_disconnected(&mut self, request: usize) {
        let Some(Some(r)) = self.requests.get(request) else { return };
        let attempt = r.sent_to.len().saturating_sub(1);
        if self.terms.may_cancel && !r.sent_to.is_empty() {
            self.out.push_back(Decision::Cancel { request, attempt });
        }
    }

    fn list(&mut self, _: Moment, complete: bool, entries: &[ListedEndpoint]) {
        if complete {
            self.endpoints.iter_mut().flatten().for_each(|(e, _)| e.entry.state = EndpointState::Gone);
        }
        for e in entries {
            self.endpoints.resize_with(self.endpoints.len().max(e.endpoint + 1), || None);
            let out = self.endpoints[e.endpoint].map_or(0, |(_, out)| out);
            self.endpoints[e.endpoint] = Some((*e, out));
        }
    }

    fn list_failed(&mut self, _: Moment) {}

    fn wake(&mut self, _: Moment) {}

    fn next(&mut self, _: Moment) -> Option<Decision> {
        self.out.pop_front()
    }
}
