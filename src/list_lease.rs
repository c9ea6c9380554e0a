//! How long an instance may send by the endpoint list that it was started with.
//!
//! A process starts with a list of unknown age. A change of the list counts as received a fixed time after it was made,
//! even if no process was there to receive it, so an endpoint on that list may have to be left alone from the start on.
//! The list is therefore not used before the first answer of service discovery, which ends the need for a lease. While
//! discovery is down there is nothing to be received, and the list is leased: an outage must not stop the instance.
//!
//! In a hot restart another process of the instance serves already. The new one takes over its list, and a lease that runs
//! from the moment up to which that process can have missed no change.

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

/// How long a decision to send may follow the time at which a change counts as received. `None` if the terms set no time in
/// which sending must stop.
fn send_grace(terms: &Terms) -> Option<Span> {
    // A request that waits for its connect is written once that is up.
    let stop_sending_within = terms.stop_sending_within?;
    Some(stop_sending_within.less(terms.connect_timeout).less(MAX_STALL))
}

/// A call to service discovery that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// When it failed.
    pub at: Moment,
    /// Nobody listened at the address: discovery is down. Any other failure may be due to an overload as well.
    pub refused: bool,
}

/// What a process states of its list to the other processes of the same instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedLease {
    /// The list lacks no change that counts as received before this moment plus `NOTIFIED_AFTER`. `None` while the process
    /// may not use its list itself.
    pub current_at: Option<Moment>,
    /// Since when the process has called discovery without an answer. `None` once discovery has answered.
    pub waiting_since: Option<Moment>,
}

impl SharedLease {
    /// What a process states whose list has been confirmed, and was last known to be current at this moment.
    pub fn of_confirmed(now: Moment, last_current: Option<Moment>) -> SharedLease {
        // It calls discovery often enough to receive each change before that counts as received.
        let least = Moment::default() + now.since(Moment::default() + NOTIFIED_AFTER);
        SharedLease { current_at: last_current.max(Some(least)), waiting_since: None }
    }
}

/// The lease on the list that an instance was started with, for as long as discovery has not answered.
#[derive(Clone, Copy, Debug)]
pub struct StartupLease {
    /// Since when this process, or one before it, has called discovery without an answer.
    waiting_since: Moment,
    /// How long a decision to send may follow the time at which a change counts as received.
    grace: Span,
    /// How long from then a call that fails without being refused shows no outage.
    overload_time: Span,
    /// When the last call was refused, and when the last one failed in any way.
    last_refused: Option<Moment>,
    last_failed: Option<Moment>,
    /// `SharedLease::current_at` of another process, or a later failed call within the lease that follows from it.
    handed_over: Option<Moment>,
}

impl StartupLease {
    /// The lease of an instance that starts now. `None` if the terms set no time in which sending must stop.
    pub fn new(now: Moment, terms: &Terms) -> Option<StartupLease> {
        let grace = send_grace(terms)?;
        // Lists that are pushed come from an agent on the same host, which has no other callers.
        let overload_time = match terms.ask_within {
            Some(_) => {
                (OVERLOAD_TIME_PER_INSTANCE * terms.instances).clamp(MIN_OVERLOAD_TIME, MAX_OVERLOAD_TIME)
            }
            None => Span::ZERO,
        };
        Some(StartupLease {
            waiting_since: now,
            grace,
            overload_time,
            last_refused: None,
            last_failed: None,
            handed_over: None,
        })
    }

    /// Records a failed call.
    pub fn call_failed(&mut self, call: FailedCall) {
        self.last_failed = self.last_failed.max(Some(call.at));
        if call.refused {
            self.last_refused = self.last_refused.max(Some(call.at));
        }
        // The process that handed its list over would go on with it after any failed call.
        if self.handed_over.is_some_and(|current_at| self.covers(current_at, call.at)) {
            self.handed_over = self.handed_over.max(Some(call.at));
        }
    }

    /// Applies what another process, whose list this one has taken over, states of that list. Danger: that process must be
    /// running, as the one of a process that has ended may be of any age.
    pub fn take_over(&mut self, now: Moment, lease: SharedLease) {
        self.handed_over = self.handed_over.max(lease.current_at.map(|at| at.min(now)));
        self.waiting_since = self.waiting_since.min(lease.waiting_since.unwrap_or(self.waiting_since));
    }

    /// What this process states to the others.
    pub fn share(&self, now: Moment) -> SharedLease {
        let current_at = self.current_at(now).filter(|at| self.covers(*at, now));
        SharedLease { current_at, waiting_since: Some(self.waiting_since) }
    }

    /// Whether the instance may use its list now.
    pub fn allows(&self, now: Moment) -> bool {
        self.current_at(now).is_some_and(|at| self.covers(at, now))
    }

    /// The last moment at which the list was current, or discovery was down.
    fn current_at(&self, now: Moment) -> Option<Moment> {
        let may_be_overload = now.since(self.waiting_since) < self.overload_time;
        let outage = if may_be_overload { self.last_refused } else { self.last_failed };
        outage.max(self.handed_over)
    }

    /// Whether nothing that the list lacks has to be heeded at `now`. What discovery has counts as received
    /// `NOTIFIED_AFTER` later at the earliest.
    fn covers(&self, current_at: Moment, now: Moment) -> bool {
        now <= current_at + NOTIFIED_AFTER + self.grace
    }
}
