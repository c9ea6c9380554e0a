//! What the laboratory drives: the module itself, plain policies to compare it with, and bad ones that show
//! that the check of the rules sees what they do.

use std::collections::VecDeque;

use appledyke::balancer::Balancer;
use appledyke::reports::AttemptReport;
use appledyke::terms::{Effect, Terms};
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, GiveUpReason, Outcome, RequestInfo};
use oorandom::Rand64;

/// The module's: what an arrival pays for, and the most that is saved up.
const PURSE_SHARE: f64 = 0.2;
const PURSE_MOST: f64 = 10.0;
/// Time left of one that is never sent: any would do.
const WHOLE: Span = Span::from_millis(1000);

/// An entry of a list as it reaches an instance.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub endpoint: usize,
    pub entry: Entry,
}

/// The module's interface, as a host uses it.
pub trait Policy {
    fn arrival(&mut self, now: Moment, request: usize, method: usize, left: Span);
    fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool);
    fn client_disconnected(&mut self, request: usize);
    fn list(&mut self, now: Moment, complete: bool, entries: &[Listed]);
    fn list_failed(&mut self, now: Moment);
    /// Attempts of other members of the fleet have ended.
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

    fn list(&mut self, now: Moment, complete: bool, entries: &[Listed]) {
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

/// Which policy a run drives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    Module,
    Random,
    LeastOfTwo,
    /// Draws an endpoint at random and tries as often as the terms allow, whatever the method bears; or only as long as a purse
    /// as the module's has something left.
    Tries,
    TriesByPurse,
    /// The module with all that comes taken for work within work, which passes its throttle and its bound, and fills no purse.
    Unthrottled,
    /// The module at the sidecars before the first tier, or before the last; at all others it passes its throttle as above.
    AtTop,
    AtLowest,
    /// Deliberately bad, each against one rule.
    Bad(Flaw),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    GivesNoAnswer,
    RepeatsWhatMayHaveRun,
    SendsToWhatDrains,
    CrowdsWhatIsCold,
}

impl std::str::FromStr for Which {
    type Err = String;
    fn from_str(name: &str) -> Result<Which, String> {
        match name {
            "module" => Ok(Which::Module),
            "random" => Ok(Which::Random),
            "least-of-two" => Ok(Which::LeastOfTwo),
            "tries" => Ok(Which::Tries),
            "tries-by-purse" => Ok(Which::TriesByPurse),
            "unthrottled" => Ok(Which::Unthrottled),
            "at-top" => Ok(Which::AtTop),
            "at-lowest" => Ok(Which::AtLowest),
            other => Err(format!(
                "policy: unknown '{other}'; module, random, least-of-two, tries, tries-by-purse, unthrottled, at-top and \
                 at-lowest are known"
            )),
        }
    }
}

impl Which {
    /// What it is for a sidecar before this tier of so many.
    pub fn at(self, tier: usize, tiers: usize) -> Which {
        let here = match self {
            Which::AtTop => tier == 0,
            Which::AtLowest => tier + 1 == tiers,
            other => return other,
        };
        if here { Which::Module } else { Which::Unthrottled }
    }

    pub fn make(self, now: Moment, terms: Terms, seed: u64) -> Box<dyn Policy> {
        match self {
            Which::Module => Box::new(Balancer::new(now, terms, seed)),
            Which::Unthrottled => {
                let mut balancer = Balancer::new(now, terms, seed);
                // One with a key, and from then on those without are work within work. It goes before it is looked at.
                balancer.arrival(now, 0, RequestInfo { left: WHOLE, key: Some(0), ..RequestInfo::default() });
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

/// A policy that picks an endpoint, waits until the deadline, and gives up at the first failure.
struct Plain {
    which: Which,
    terms: Terms,
    chance: Rand64,
    endpoints: Vec<Option<(Listed, i64)>>,
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
        self.which == Which::Bad(flaw)
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
        if self.which != Which::LeastOfTwo {
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
            Which::Bad(Flaw::RepeatsWhatMayHaveRun) | Which::Tries => true,
            Which::TriesByPurse => self.purse >= 1.0,
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

    fn list(&mut self, _: Moment, complete: bool, entries: &[Listed]) {
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
