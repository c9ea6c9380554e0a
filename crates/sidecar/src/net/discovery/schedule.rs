//! When discovery is called: pure arithmetic on how earlier calls have ended, with seeded jitter.
//!
//! Two bounds must hold for every sequence of failures: a change is received within `NOTIFIED_AFTER` of the service's
//! recovery, or of a watch falling silent that would have sent it, and within `NOTIFIED_AFTER_MOVE` of a new
//! configuration with the service's address. The sums behind these bounds are asserted below.

use appledyke::list_lease::NOTIFIED_AFTER;
use appledyke::units::{Moment, Span};
use oorandom::Rand64;

/// What the service at a newly configured address has counts as notified this long after the configuration.
const NOTIFIED_AFTER_MOVE: Span = Span::from_millis(4000);
/// Time within which a recovered, healthy service answers a call, and the allowance for long turns of the event loop.
const ANSWER_TIME: Span = Span::from_millis(1500);
const SLACK: Span = Span::from_millis(300);
/// Time limits for a call's connect and for the beginning of its first list, both from the call's start: the service queues
/// calls for up to 3 s and then rejects them. Danger: a call that is abandoned sooner has queued for nothing, and so would
/// the next.
pub const CONNECT_TIMEOUT: Span = Span::from_millis(1000);
pub const CALL_TIMEOUT: Span = Span::from_millis(3200);
/// The longest silence of a watch: the heartbeat interval of 2 s, with a margin for a busy service.
pub const MAX_SILENCE: Span = Span::from_millis(2800);
/// Time limit for answering the first call after such a silence. Danger: changes that a silent watch misses count as
/// notified 6 s after it fell silent, so if that call is lost there must be time for another.
const ANSWER_TIMEOUT_AFTER_SILENCE: Span = Span::from_millis(1500);
/// With lists pushed by an agent: the time limit for answering a call, doubled with each failure up to the maximum, and the
/// longest delay between two calls. Danger: what the agent receives when its service recovers counts as notified at once,
/// whether a call to the agent is open or not, and a drain may have to take effect in well under a second. Short delays are
/// affordable because the agent has no other callers.
pub const AGENT_ANSWER_TIMEOUT: Span = Span::from_millis(400);
pub const MAX_AGENT_ANSWER_TIMEOUT: Span = Span::from_millis(1000);
pub const MAX_AGENT_RETRY: Span = Span::from_millis(100);
/// Time limits for more of a list that has begun, and for all of it: a list is written in one go, and its changes count as
/// notified when it was written. Danger: a list that trickles in would otherwise be waited for without end.
pub const LIST_STALL_TIMEOUT: Span = Span::from_millis(300);
pub const LIST_TIMEOUT: Span = Span::from_millis(2000);
/// The longest delay before a watch is reopened that broke off within a list: the service is up and has a change to
/// send.
const MAX_DELAY_AFTER_TRUNCATION: Span = Span::from_millis(60);
/// The delay from the start of a failed call, or from a watch's end, to the next call: doubled with each further failure up
/// to the maximum, and multiplied by a random factor of 0.5 to 1. Danger: counted from the call's end, the delay came on top
/// of all the time that the call took.
pub const FIRST_RETRY: Span = Span::from_millis(400);
pub const MAX_RETRY: Span = Span::from_millis(4000);
/// The maximum delay after a call that the service has rejected, from the call's end: `REJECTED_DELAY_PER_INSTANCE` for each
/// instance that follows the same list, clamped to these two. Such a service is down, or is up with too many callers.
/// Danger: many callers that retry soon keep it from answering any of them. Danger: with few callers, a delay that grows to
/// seconds exceeds the time within which a change must be received.
pub const REJECTED_DELAY_MIN: Span = Span::from_millis(800);
pub const REJECTED_DELAY_MAX: Span = Span::from_millis(5000);
const REJECTED_DELAY_PER_INSTANCE: Span = Span::from_millis(100);
/// The first delays after rejections are drawn from this one on, up to at least this share of the maximum. Danger: the
/// watches of a fleet end together, and callers that are rejected together with similar delays come back in step, in
/// numbers that the service rejects again.
const FIRST_REJECTED_DELAY: Span = Span::from_millis(200);
const FIRST_REJECTED_SHARE: f64 = 0.4;
/// How many failures in a row count as the first ones.
const FIRST_FAILURES: i32 = 4;
/// The longest delay from the end of a call that took longer than the delay above to the next call, multiplied by a random
/// factor of 0.1 to 1: as wide as the bound allows, since calls made together with equal delays would stay synchronized.
const MAX_RETRY_AFTER_END: Span = Span::from_millis(700);
/// How long a newly configured address must be unchanged before it is called, multiplied by a random factor of 0.5 to 1, and
/// the longest that a series of such configurations delays the call. Danger: the service still processes calls whose callers
/// have moved on to its next address, and rejects others meanwhile.
const SETTLE: Span = Span::from_millis(1000);
const MAX_SETTLE: Span = Span::from_millis(1300);
/// The longest time from a call's start, or a watch's end, to the next call while a budget defers it, unless the call was
/// rejected. Danger: a missed drain breaks a hard rule, whereas the budget only spares the service some load.
const MAX_DEFERRAL: Span = Span::from_millis(4200);
/// The same from the first request for a watch, and from a new configuration.
const MAX_DEFERRAL_AFTER_MOVE: Span = Span::from_millis(2000);

/// The sum of these, in nanoseconds.
const fn sum<const N: usize>(spans: [Span; N]) -> u64 {
    let (mut nanos, mut at) = (0, 0);
    while at < N {
        nanos += spans[at].nanos();
        at += 1;
    }
    nanos
}

// Worst cases for the time from when a change is available until it is received. A call was made just before, and was
// refused or lost, or its list never ended; the next is answered.
const _: () = assert!(sum([MAX_RETRY, ANSWER_TIME, SLACK]) <= NOTIFIED_AFTER.nanos());
const _: () = assert!(
    sum([CALL_TIMEOUT, LIST_STALL_TIMEOUT, MAX_RETRY_AFTER_END, ANSWER_TIME, SLACK])
        <= NOTIFIED_AFTER.nanos()
);
const _: () = assert!(sum([MAX_DEFERRAL, ANSWER_TIME, SLACK]) <= NOTIFIED_AFTER.nanos());
// Or it has queued for the full time and was rejected, with few callers.
const _: () = assert!(sum([CALL_TIMEOUT, REJECTED_DELAY_MIN, ANSWER_TIME, SLACK]) <= NOTIFIED_AFTER.nanos());
// From a new configuration: the call is delayed to let it settle, deferred by a budget, or rejected as it is made.
const _: () = assert!(sum([MAX_DEFERRAL_AFTER_MOVE, ANSWER_TIME, SLACK]) <= NOTIFIED_AFTER_MOVE.nanos());
const _: () =
    assert!(sum([MAX_SETTLE, REJECTED_DELAY_MIN, ANSWER_TIME, SLACK]) <= NOTIFIED_AFTER_MOVE.nanos());
const _: () =
    assert!(SETTLE.nanos() <= MAX_SETTLE.nanos() && MAX_SETTLE.nanos() < MAX_DEFERRAL_AFTER_MOVE.nanos());
// From the last heartbeat: the silence, the delay and a call that is answered; or a lost call, another delay and a call that
// is answered in half of `ANSWER_TIME`.
const _: () = assert!(sum([MAX_SILENCE, FIRST_RETRY, ANSWER_TIME, SLACK]) <= NOTIFIED_AFTER.nanos());
const _: () = assert!(ANSWER_TIME.nanos() <= ANSWER_TIMEOUT_AFTER_SILENCE.nanos());
const _: () = assert!(
    sum([MAX_SILENCE, FIRST_RETRY, ANSWER_TIMEOUT_AFTER_SILENCE, FIRST_RETRY]) + ANSWER_TIME.nanos() / 2
        <= NOTIFIED_AFTER.nanos()
);
// A call has time left to be answered once it is connected, and delays grow.
const _: () =
    assert!(CONNECT_TIMEOUT.nanos() < CALL_TIMEOUT.nanos() && FIRST_RETRY.nanos() <= MAX_RETRY.nanos());

/// Who calls the service that this instance calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Callers {
    /// Lists are pushed: they come from an agent on the same host, which has no other callers.
    pub pushed: bool,
    /// The number of instances that follow the same list.
    pub instances: f64,
}

/// How a call ended, or the watch that it became.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The service rejected it: by a response other than a list, or by a close before any response.
    Rejected,
    /// It broke off within a list.
    Truncated,
    /// Its connect was refused: nobody listens at the address.
    Refused,
    /// Its connect failed otherwise, or it was lost, fell silent or sent invalid data.
    Lost,
}

/// Computes when the next call is made.
pub struct Schedule {
    pub callers: Callers,
    random: Rand64,
    /// Calls that have failed since the last list or heartbeat.
    failures: i32,
    /// The last watch fell silent, and nothing has been received since.
    fell_silent: bool,
    /// When the first configuration since the last call changed the address.
    moving_since: Option<Moment>,
    /// When the next call is made even if no budget allows it.
    call_by: Moment,
}

impl Schedule {
    /// A schedule for an instance among these callers, with jitter from its own seed.
    pub fn new(callers: Callers, seed: u64) -> Schedule {
        Schedule {
            callers,
            random: Rand64::new(u128::from(seed)),
            failures: 0,
            fell_silent: false,
            moving_since: None,
            call_by: Moment::default(),
        }
    }

    /// The number of calls that have failed since the last list or heartbeat.
    pub fn failures(&self) -> i32 {
        self.failures
    }

    /// A random factor of 0.5 to 1.
    fn jitter(&mut self) -> f64 {
        0.5 + self.random.rand_float() / 2.0
    }

    /// Records that a watch is wanted from now on.
    pub fn watch_wanted(&mut self, now: Moment) {
        self.call_by = now + MAX_DEFERRAL_AFTER_MOVE;
    }

    /// Records that a new configuration changed the address. Returns when to call the new address.
    pub fn address_changed(&mut self, now: Moment) -> Moment {
        // Earlier failures say nothing about this address.
        (self.failures, self.fell_silent) = (0, false);
        let first = *self.moving_since.get_or_insert(now);
        self.call_by = first + MAX_DEFERRAL_AFTER_MOVE;
        if self.callers.pushed {
            return now;
        }
        (now + SETTLE * self.jitter()).min(first + MAX_SETTLE).max(now)
    }

    /// Records that a call is made.
    pub fn call_started(&mut self) {
        self.moving_since = None;
    }

    /// Defers a call that no budget allows now. Returns when to ask the budget again, or `None` if the call can no longer be
    /// deferred.
    pub fn defer(&mut self, now: Moment) -> Option<Moment> {
        let again = now + FIRST_RETRY * self.jitter();
        (now < self.call_by).then(|| again.min(self.call_by))
    }

    /// Records that the watch has received data.
    pub fn data_received(&mut self) {
        self.fell_silent = false;
    }

    /// Records that the watch has received a complete list or heartbeat.
    pub fn list_received(&mut self) {
        self.failures = 0;
    }

    /// Records that a watch that had received data has fallen silent.
    pub fn watch_fell_silent(&mut self) {
        self.fell_silent = true;
    }

    /// Records the failure of a call that started, or whose watch ended, at `since`. Returns when to make the next.
    pub fn call_failed(&mut self, since: Moment, now: Moment, end: CallEnd) -> Moment {
        // Danger: without jitter, every sidecar would call a recovered service at the same time.
        let factor = self.jitter();
        let backoff = FIRST_RETRY * 2.0_f64.powi(self.failures.min(10));
        let next = match end {
            CallEnd::Truncated if self.failures == 0 => now + MAX_DELAY_AFTER_TRUNCATION * factor,
            _ if self.callers.pushed => now + backoff.min(MAX_AGENT_RETRY) * factor,
            CallEnd::Rejected if self.failures < FIRST_FAILURES => now + self.first_rejected_delay(backoff),
            CallEnd::Rejected => now + backoff.min(self.max_rejected_delay()) * factor,
            // The silence itself has used up most of the time allowed.
            _ if self.failures == 1 && self.fell_silent => now + FIRST_RETRY * factor,
            _ => {
                let soon = now + MAX_RETRY_AFTER_END * (0.1 + 0.9 * self.random.rand_float());
                (since + backoff.min(MAX_RETRY) * factor).max(soon)
            }
        };
        self.call_by = next.max(since + MAX_DEFERRAL);
        self.failures += 1;
        next
    }

    /// A random delay after one of the first rejections.
    fn first_rejected_delay(&mut self, backoff: Span) -> Span {
        let max = self.max_rejected_delay();
        let longest = backoff.max(max * FIRST_REJECTED_SHARE).min(max);
        FIRST_REJECTED_DELAY + longest.less(FIRST_REJECTED_DELAY) * self.random.rand_float()
    }

    fn max_rejected_delay(&self) -> Span {
        let delay = REJECTED_DELAY_PER_INSTANCE * self.callers.instances;
        delay.max(REJECTED_DELAY_MIN).min(REJECTED_DELAY_MAX)
    }

    /// The deadline for the answer to a call that was made at `since` and is connected now.
    pub fn answer_deadline(&self, since: Moment, now: Moment) -> Moment {
        match self.failures {
            failures if self.callers.pushed => {
                now + (AGENT_ANSWER_TIMEOUT * 2.0_f64.powi(failures.min(10))).min(MAX_AGENT_ANSWER_TIMEOUT)
            }
            // The silence itself counts as the first failure.
            1 if self.fell_silent => since + ANSWER_TIMEOUT_AFTER_SILENCE,
            _ => since + CALL_TIMEOUT,
        }
    }
}
