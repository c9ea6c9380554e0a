//! Checks the four rules from outside the balancer: from what reaches endpoints and clients, never from what a
//! balancer instance reports about itself.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};

use crate::scenario::{Effect, Method, Rules};

/// An answer up to this much after the client's deadline still counts: one event loop iteration plus one network hop.
const ANSWER_SLACK: Span = Span::from_millis(50);
/// Violations described in full; all are counted.
const MAX_DESCRIBED: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NoReqLost,
    NoEffectTwice,
    DrainsKept,
    ColdNotPushedOver,
}

/// The deduplication group and the time of an effect.
struct Execution {
    group: (usize, u64),
    at: Moment,
}

/// Recent work sent to an endpoint in slow start: when, and how many core seconds.
#[derive(Default)]
struct RecentWork {
    entries: VecDeque<(Moment, f64)>,
    sum: f64,
}

#[derive(Default)]
pub struct RuleChecker {
    /// Requests that clients are waiting for, with their deadlines.
    open: BTreeMap<u64, Moment>,
    executions: BTreeMap<u64, Execution>,
    cold: BTreeMap<(usize, usize), RecentWork>,
    violations: BTreeMap<Rule, u64>,
    told: Vec<String>,
}

impl RuleChecker {
    pub fn broken(&self) -> &BTreeMap<Rule, u64> {
        &self.violations
    }

    pub fn told(&self) -> &[String] {
        &self.told
    }

    fn record_violation(&mut self, rule: Rule, now: Moment, what: String) {
        *self.violations.entry(rule).or_default() += 1;
        if self.told.len() < MAX_DESCRIBED {
            self.told.push(format!("{:.3} s: {rule:?}: {what}", now.nanos() as f64 / 1e9));
        }
    }

    /// Records that a sidecar accepted a client's request.
    pub fn request_accepted(&mut self, request: u64, deadline: Moment) {
        self.open.insert(request, deadline);
    }

    /// Records that the client was answered or stopped waiting, or that the schedule killed its sidecar. Returns whether
    /// the request was open.
    pub fn request_closed(&mut self, request: u64) -> bool {
        self.open.remove(&request).is_some()
    }

    pub fn request_answered(&mut self, now: Moment, request: u64) {
        if !self.request_closed(request) {
            self.record_violation(Rule::NoReqLost, now, format!("req {request} has a second answer"));
        }
    }

    /// Records that the request's deadline has passed by more than the slack.
    pub fn request_timed_out(&mut self, now: Moment, request: u64) {
        if self.request_closed(request) {
            self.record_violation(Rule::NoReqLost, now, format!("req {request} has no answer"));
        }
    }

    pub fn slack(&self) -> Span {
        ANSWER_SLACK
    }

    /// Records that an endpoint starts work on a request. Returns whether the request takes effect: a duplicate may be
    /// discarded.
    pub fn execution_started(
        &mut self,
        now: Moment,
        request: u64,
        method: &Method,
        group: (usize, u64),
    ) -> bool {
        let Some(ran) = self.executions.get(&request) else {
            if method.effect != Effect::Retryable {
                self.executions.insert(request, Execution { group, at: now });
            }
            return true;
        };
        let kept = method.effect == Effect::Deduplicated
            && ran.group == group
            && now.since(ran.at) < Span::from_millis(method.window_ms);
        if !kept {
            self.record_violation(
                Rule::NoEffectTwice,
                now,
                format!("req {request} of {} ran twice", method.name),
            );
        }
        !kept
    }

    /// Records an attempt to an endpoint, with the time at which the sidecar learnt that the endpoint is draining, if it
    /// did.
    pub fn attempt_sent(
        &mut self,
        now: Moment,
        draining_since: Option<Moment>,
        rules: &Rules,
        endpoint: (usize, usize),
    ) {
        if draining_since.is_some_and(|since| now > since + Span::from_millis(rules.drain_grace_ms)) {
            self.record_violation(
                Rule::DrainsKept,
                now,
                format!("endpoint {endpoint:?} was sent to while it drained"),
            );
        }
    }

    /// Records work sent to a restarted endpoint, in core seconds, together with its number of cores.
    pub fn work_sent(
        &mut self,
        now: Moment,
        endpoint: (usize, usize),
        started: Moment,
        (work, cores): (f64, f64),
        rules: &Rules,
    ) {
        let up = now.since(started).secs() / (rules.cold_ms as f64 / 1e3).max(1e-9);
        if up >= 1.0 {
            self.cold.remove(&endpoint);
            return;
        }
        let share = rules.cold_start + (1.0 - rules.cold_start) * up;
        let window = Span::from_millis(rules.fall_ms);
        let cold = self.cold.entry(endpoint).or_default();
        while let Some((at, old)) = cold.entries.front().copied().filter(|(at, _)| now.since(*at) >= window) {
            debug_assert!(at <= now);
            cold.entries.pop_front();
            cold.sum -= old;
        }
        cold.entries.push_back((now, work));
        cold.sum += work;
        // Up to 4 requests never count as overload, however small the endpoint.
        let can = (share * cores * window.secs() * rules.fall_multiple).max(work * 4.0);
        if cold.sum > can && cold.entries.len() > 4 {
            let text =
                format!("endpoint {endpoint:?} was given {:.2} s of work where {can:.2} fit", cold.sum);
            cold.entries.clear();
            cold.sum = 0.0;
            self.record_violation(Rule::ColdNotPushedOver, now, text);
        }
    }

    /// Records that a new process started; work sent to the previous process does not count against it.
    pub fn endpoint_restarted(&mut self, endpoint: (usize, usize)) {
        self.cold.remove(&endpoint);
    }

    /// Ends the run. Requests whose deadline has not passed yet count neither as answered nor as lost.
    pub fn end_run(&mut self, end: Moment) {
        let lost: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, deadline)| **deadline + ANSWER_SLACK < end)
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.request_timed_out(end, request);
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
    fn duplicate_is_discarded_only_within_its_group_and_window() {
        let (order, pay, view) =
            (method(Effect::Deduplicated), method(Effect::NonRetryable), method(Effect::Retryable));
        let at = at_ms;
        let mut checker = RuleChecker::default();
        assert!(checker.execution_started(at(0), 1, &order, (0, 4)));
        assert!(!checker.execution_started(at(999), 1, &order, (0, 4)) && checker.broken().is_empty());
        // After the window, or in another group, the duplicate is a second effect.
        assert!(checker.execution_started(at(1000), 1, &order, (0, 4)));
        assert!(checker.execution_started(at(10), 1, &order, (0, 5)));
        assert!(
            checker.execution_started(at(0), 2, &pay, (0, 4))
                && checker.execution_started(at(1), 2, &pay, (0, 4))
        );
        assert_eq!(checker.broken()[&Rule::NoEffectTwice], 3);
        assert!((0..9).all(|ms| checker.execution_started(at(ms), 3, &view, (0, ms))));
        assert_eq!(checker.broken().len(), 1);
    }

    #[test]
    fn drain_grace_and_slow_start_limits_are_enforced() {
        let rules = Rules::default();
        let mut checker = RuleChecker::default();
        checker.attempt_sent(at_ms(1500), Some(at_ms(0)), &rules, (0, 1));
        checker.attempt_sent(at_ms(9000), None, &rules, (0, 1));
        assert!(checker.broken().is_empty());
        checker.attempt_sent(at_ms(1501), Some(at_ms(0)), &rules, (0, 1));
        assert_eq!(checker.broken()[&Rule::DrainsKept], 1);
        // Just started with one core: a share of 0.3 over 1.5 s, times the allowed multiple of 3, is 1.35 s of work.
        let mut give = |ms, times| {
            (0..times).for_each(|_| checker.work_sent(at_ms(ms), (0, 2), at_ms(0), (0.1, 1.0), &rules));
            checker.broken().get(&Rule::ColdNotPushedOver).copied().unwrap_or(0)
        };
        assert_eq!((give(0, 13), give(0, 1)), (0, 1));
        // Old work leaves the window; an endpoint past its slow start has no limit.
        assert_eq!((give(2000, 13), give(9000, 500)), (1, 1));
    }

    #[test]
    fn each_request_gets_exactly_one_answer() {
        let mut checker = RuleChecker::default();
        for request in 0..4 {
            checker.request_accepted(request, at_ms(100));
        }
        checker.request_answered(at_ms(50), 0);
        assert!(checker.request_closed(1) && checker.broken().is_empty());
        checker.request_answered(at_ms(60), 0);
        checker.request_timed_out(at_ms(151), 2);
        checker.end_run(at_ms(1000));
        assert_eq!(checker.broken()[&Rule::NoReqLost], 3);
        assert_eq!(checker.told().len(), 3);
    }
}
