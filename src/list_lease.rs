//! How long an instance may send by the endpoint list that it was started with.
//!
//! A process starts with a list of unknown age. A change of the list counts as received a fixed time after it was made,
//! even if no process was there to receive it, so an endpoint on that list may have to be left alone from the start on.
//! The list is therefore not used before the first answer of service discovery, which ends the need for a lease. While
//! discovery is down there is nothing to be received, and the list is leased: an outage must not stop the instance.

use crate::terms::Terms;
use crate::units::{Moment, Span};

/// A change counts as received this long after discovery had it and could be reached.
pub const NOTIFIED_AFTER: Span = Span::from_millis(6000);
/// Longest time for which a process may be held up between a decision and the write that carries it out.
const MAX_STALL: Span = Span::from_millis(150);
/// Until this long after the start, for each instance that follows the same list, a call that discovery leaves
/// unanswered shows no outage. Danger: discovery that is up and has too many callers fails calls in the same way, and
/// may take this long to answer all of them.
const OVERLOAD_TIME_PER_INSTANCE: Span = Span::from_millis(150);
/// Bounds of that time. Danger: in an outage the instance serves nothing up to then.
const MIN_OVERLOAD_TIME: Span = Span::from_millis(3000);
const MAX_OVERLOAD_TIME: Span = Span::from_millis(8000);

/// A call to service discovery that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// When it failed.
    pub at: Moment,
    /// Nobody listened at the address: discovery is down. Any other failure may be due to an overload as well.
    pub refused: bool,
}

/// The lease on the list that an instance was started with, for as long as discovery has not answered.
#[derive(Clone, Copy, Debug)]
pub struct StartupLease {
    started: Moment,
    /// How long a decision to send may follow the time at which a change counts as received.
    grace: Span,
    overload_time: Span,
    /// When the last call was refused, and when the last one failed in any way.
    last_refused: Option<Moment>,
    last_failed: Option<Moment>,
}

impl StartupLease {
    /// The lease of an instance that starts now. `None` if the terms set no time in which sending must stop.
    pub fn new(now: Moment, terms: &Terms) -> Option<StartupLease> {
        let stop_sending_within = terms.stop_sending_within?;
        // Lists that are pushed come from an agent on the same host, which has no other callers.
        let overload_time = match terms.ask_within {
            Some(_) => {
                (OVERLOAD_TIME_PER_INSTANCE * terms.instances).clamp(MIN_OVERLOAD_TIME, MAX_OVERLOAD_TIME)
            }
            None => Span::ZERO,
        };
        Some(StartupLease {
            started: now,
            // A request that waits for its connect is written once that is up.
            grace: stop_sending_within.less(terms.connect_timeout).less(MAX_STALL),
            overload_time,
            last_refused: None,
            last_failed: None,
        })
    }

    /// Records a failed call.
    pub fn call_failed(&mut self, call: FailedCall) {
        self.last_failed = self.last_failed.max(Some(call.at));
        if call.refused {
            self.last_refused = self.last_refused.max(Some(call.at));
        }
    }

    /// Whether the instance may use its list now.
    pub fn allows(&self, now: Moment) -> bool {
        let may_be_overload = now.since(self.started) < self.overload_time;
        let outage = if may_be_overload { self.last_refused } else { self.last_failed };
        // Discovery was down then: what it has counts as received `NOTIFIED_AFTER` later at the earliest.
        outage.is_some_and(|at| now <= at + NOTIFIED_AFTER + self.grace)
    }
}
