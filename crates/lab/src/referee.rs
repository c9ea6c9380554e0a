//! The four rules, checked from the world's side: from what reaches endpoints and clients, never from what an
//! instance says of itself.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};

use crate::scenario::{Effect, Method, Rules};

/// So much later than a client's deadline an answer still counts as given: a turn of a loop and a hop.
const ANSWER_SLACK: Span = Span::from_millis(50);
/// Broken rules that are told in full; all are counted.
const TOLD: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NoReqLost,
    NoEffectTwice,
    DrainsKept,
    ColdNotPushedOver,
}

/// Where and when an effect took place.
struct Ran {
    group: (usize, u64),
    at: Moment,
}

/// What a cold endpoint was given of late: work in core seconds, and when.
#[derive(Default)]
struct Given {
    given: VecDeque<(Moment, f64)>,
    sum: f64,
}

#[derive(Default)]
pub struct Referee {
    /// Requests that clients wait for, with their deadline.
    open: BTreeMap<u64, Moment>,
    ran: BTreeMap<u64, Ran>,
    cold: BTreeMap<(usize, usize), Given>,
    counts: BTreeMap<Rule, u64>,
    told: Vec<String>,
}

impl Referee {
    pub fn broken(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    pub fn told(&self) -> &[String] {
        &self.told
    }

    fn breaks(&mut self, rule: Rule, now: Moment, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.told.len() < TOLD {
            self.told.push(format!("{:.3} s: {rule:?}: {what}", now.nanos() as f64 / 1e9));
        }
    }

    /// A sidecar has taken a client's request.
    pub fn taken(&mut self, request: u64, deadline: Moment) {
        self.open.insert(request, deadline);
    }

    /// The client of a request has an answer, or asks no more; or its sidecar was killed by the schedule.
    pub fn closed(&mut self, request: u64) -> bool {
        self.open.remove(&request).is_some()
    }

    pub fn answered(&mut self, now: Moment, request: u64) {
        if !self.closed(request) {
            self.breaks(Rule::NoReqLost, now, format!("req {request} has a second answer"));
        }
    }

    /// The request's deadline has passed by more than the slack.
    pub fn timed_out(&mut self, now: Moment, request: u64) {
        if self.closed(request) {
            self.breaks(Rule::NoReqLost, now, format!("req {request} has no answer"));
        }
    }

    pub fn slack(&self) -> Span {
        ANSWER_SLACK
    }

    /// An endpoint begins work on a request. Returns whether it takes effect; a repeat may be discarded.
    pub fn effect(&mut self, now: Moment, request: u64, method: &Method, group: (usize, u64)) -> bool {
        let Some(ran) = self.ran.get(&request) else {
            if method.effect != Effect::Retryable {
                self.ran.insert(request, Ran { group, at: now });
            }
            return true;
        };
        let kept = method.effect == Effect::Deduplicated
            && ran.group == group
            && now.since(ran.at) < Span::from_millis(method.window_ms);
        if !kept {
            self.breaks(Rule::NoEffectTwice, now, format!("req {request} of {} ran twice", method.name));
        }
        !kept
    }

    /// An attempt sets out to an endpoint, of which its sidecar was told at a moment that it drains.
    pub fn sent(&mut self, now: Moment, told: Option<Moment>, rules: &Rules, whom: (usize, usize)) {
        if told.is_some_and(|told| now > told + Span::from_millis(rules.drain_grace_ms)) {
            self.breaks(Rule::DrainsKept, now, format!("endpoint {whom:?} was sent to while it drained"));
        }
    }

    /// A started endpoint is given work: in core seconds, against what its cores do in one.
    pub fn given(
        &mut self,
        now: Moment,
        whom: (usize, usize),
        started: Moment,
        (work, cores): (f64, f64),
        rules: &Rules,
    ) {
        let up = now.since(started).secs() / (rules.cold_ms as f64 / 1e3).max(1e-9);
        if up >= 1.0 {
            self.cold.remove(&whom);
            return;
        }
        let share = rules.cold_start + (1.0 - rules.cold_start) * up;
        let window = Span::from_millis(rules.fall_ms);
        let cold = self.cold.entry(whom).or_default();
        while let Some((at, old)) = cold.given.front().copied().filter(|(at, _)| now.since(*at) >= window) {
            debug_assert!(at <= now);
            cold.given.pop_front();
            cold.sum -= old;
        }
        cold.given.push_back((now, work));
        cold.sum += work;
        // A few requests are never a crowd, however small the endpoint.
        let can = (share * cores * window.secs() * rules.fall_multiple).max(work * 4.0);
        if cold.sum > can && cold.given.len() > 4 {
            let text = format!("endpoint {whom:?} was given {:.2} s of work where {can:.2} fit", cold.sum);
            cold.given.clear();
            cold.sum = 0.0;
            self.breaks(Rule::ColdNotPushedOver, now, text);
        }
    }

    /// A new process: what the old one was given says nothing of it.
    pub fn started(&mut self, whom: (usize, usize)) {
        self.cold.remove(&whom);
    }

    /// The end of the run: requests whose time is not up yet are neither answered nor lost.
    pub fn ends(&mut self, end: Moment) {
        let lost: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, deadline)| **deadline + ANSWER_SLACK < end)
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.timed_out(end, request);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{Group, at_ms};

    fn method(effect: Effect) -> Method {
        Method {
            name: "m".to_string(),
            share: 1.0,
            effect,
            group: Group::Cell,
            window_ms: 1000,
            latency_budget_ms: 100,
            deadline_ms: 100,
            criticality: 1.0,
            overdue_criticality: 0.0,
        }
    }

    #[test]
    fn an_id_met_again_is_discarded_by_its_own_group_within_the_window_only() {
        let (order, pay, view) =
            (method(Effect::Deduplicated), method(Effect::NonRetryable), method(Effect::Retryable));
        let at = at_ms;
        let mut referee = Referee::default();
        assert!(referee.effect(at(0), 1, &order, (0, 4)));
        assert!(!referee.effect(at(999), 1, &order, (0, 4)) && referee.broken().is_empty());
        // Once its window has passed, or elsewhere, the repeat is a second effect.
        assert!(referee.effect(at(1000), 1, &order, (0, 4)));
        assert!(referee.effect(at(10), 1, &order, (0, 5)));
        assert!(referee.effect(at(0), 2, &pay, (0, 4)) && referee.effect(at(1), 2, &pay, (0, 4)));
        assert_eq!(referee.broken()[&Rule::NoEffectTwice], 3);
        assert!((0..9).all(|ms| referee.effect(at(ms), 3, &view, (0, ms))));
        assert_eq!(referee.broken().len(), 1);
    }

    #[test]
    fn drains_and_cold_endpoints_have_their_figures() {
        let rules = Rules::default();
        let mut referee = Referee::default();
        referee.sent(at_ms(1500), Some(at_ms(0)), &rules, (0, 1));
        referee.sent(at_ms(9000), None, &rules, (0, 1));
        assert!(referee.broken().is_empty());
        referee.sent(at_ms(1501), Some(at_ms(0)), &rules, (0, 1));
        assert_eq!(referee.broken()[&Rule::DrainsKept], 1);
        // Just started, one core: 0.3 of it for 1.5 s, three times over, is 1.35 s of work.
        let mut give = |ms, times| {
            (0..times).for_each(|_| referee.given(at_ms(ms), (0, 2), at_ms(0), (0.1, 1.0), &rules));
            referee.broken().get(&Rule::ColdNotPushedOver).copied().unwrap_or(0)
        };
        assert_eq!((give(0, 13), give(0, 1)), (0, 1));
        // Old work leaves the window; a warm endpoint may be given anything.
        assert_eq!((give(2000, 13), give(9000, 500)), (1, 1));
    }

    #[test]
    fn one_answer_is_owed_and_no_more() {
        let mut referee = Referee::default();
        for request in 0..4 {
            referee.taken(request, at_ms(100));
        }
        referee.answered(at_ms(50), 0);
        assert!(referee.closed(1) && referee.broken().is_empty());
        referee.answered(at_ms(60), 0);
        referee.timed_out(at_ms(151), 2);
        referee.ends(at_ms(1000));
        assert_eq!(referee.broken()[&Rule::NoReqLost], 3);
        assert_eq!(referee.told().len(), 3);
    }
}
