//! A connection to an endpoint, and the attempt that it carries.

use std::net::SocketAddr;

use appledyke::units::{Moment, Span};

use crate::metrics::RequestEnd;
use crate::net::body::Body;
use crate::net::connection::{AttemptResult, Connection};
use crate::net::http::Length;
use crate::net::slots::Key;

/// How long a response of unknown length is buffered while more of it arrives, before it is streamed.
pub(super) const MAX_BUFFERING: Span = Span::from_millis(500);
/// How long such a response is buffered if nothing more of it arrives. It may have broken off, and until it is streamed
/// another endpoint may answer the request instead.
const MAX_STALLED_BUFFERING: Span = Span::from_millis(1200);
/// The operators' limit on how long part of a response that still arrives may be held back.
const MAX_HELD_BACK: Span = Span::from_millis(2000);
const _: () = assert!(MAX_BUFFERING.nanos() < MAX_STALLED_BUFFERING.nanos());
const _: () = assert!(MAX_STALLED_BUFFERING.nanos() < MAX_HELD_BACK.nanos());
/// How long an endpoint may send nothing of a streamed response, or read nothing of a streamed request: peers can pause for
/// seconds, and a message that still makes progress must not be cut off.
pub(super) const STREAM_TIMEOUT: Span = Span::from_millis(10_000);
/// How long an endpoint has sent nothing of a streamed response when that counts against it, should the response end there.
pub(super) const MIN_STALL: Span = MAX_STALLED_BUFFERING;

/// Used in place of a request's index for a probe; the endpoint's index then stands in place of the attempt's number.
pub const PROBE: usize = usize::MAX;

/// The attempt that a connection carries.
#[derive(Clone, Copy)]
pub struct ActiveAttempt {
    pub request: usize,
    pub attempt: usize,
    pub give_up: Moment,
}

/// A connection to an endpoint.
pub(super) struct Link {
    pub(super) connection: Connection,
    pub(super) endpoint: usize,
    pub(super) to: SocketAddr,
    pub(super) up: bool,
    pub(super) active: Option<ActiveAttempt>,
    pub(super) deadline: Option<Moment>,
    /// The offset in the queued bytes at which the last line of the request head is inserted once the connection is up.
    /// Danger: an attempt that stated the remaining time before its connect completed had its endpoint work for longer than
    /// the client waits.
    pub(super) head_end: Option<usize>,
    /// The attempt that it carries is counted as completely written.
    pub(super) counted: bool,
    /// When that attempt started, and how the rest of its request's body is framed if it is streamed.
    pub(super) sent_at: Moment,
    pub(super) streamed_body: Option<Length>,
    /// When the endpoint last took part of the request.
    pub(super) progress_at: Moment,
    /// Until when an answer is of use to the client of a request whose body is streamed, once its time runs.
    pub(super) upload_due: Option<Moment>,
    /// Since when an incomplete response of unknown length has been buffered.
    pub(super) buffered_since: Option<Moment>,
    /// When the last bytes of a response arrived.
    pub(super) received_at: Moment,
    pub(super) forwarding: Option<Forwarding>,
}

/// Where a streamed response goes, and how its request is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTarget {
    pub client: Key,
    pub method: usize,
    /// How the request is counted once the response is complete.
    pub end: RequestEnd,
}

/// A response that is being streamed to a client.
pub(super) struct Forwarding {
    pub(super) target: StreamTarget,
    /// The request's id, for the log.
    pub(super) request_id: Box<str>,
    pub(super) body: Body,
    pub(super) keep: bool,
}

impl Link {
    /// Returns 1 the first time that the last byte of its attempt is found written, and 0 otherwise.
    pub(super) fn count_if_sent(&mut self) -> u64 {
        let request = self.active.is_some_and(|carried| carried.request != PROBE);
        let newly = request && self.is_sent() && !std::mem::replace(&mut self.counted, true);
        u64::from(newly)
    }

    /// The deadline for its attempt, or for buffering its response if that is earlier. A request's time runs from the last
    /// byte that its client wrote: while the client is still writing, only a stall of the endpoint ends the attempt.
    pub(super) fn deadline_for(&self, give_up: Moment) -> Moment {
        let stalled_at = self.progress_at + STREAM_TIMEOUT;
        let attempt_deadline = match (self.streamed_body, self.upload_due) {
            (None, _) => give_up,
            (Some(_), None) => stalled_at,
            (Some(_), Some(due)) => stalled_at.min(due),
        };
        let buffering_deadline = self.buffered_since.map(|since| since + MAX_STALLED_BUFFERING);
        buffering_deadline.map_or(attempt_deadline, |deadline| deadline.min(attempt_deadline))
    }

    /// Notes that bytes have arrived, if there are more than `received_before`.
    pub(super) fn note_received(&mut self, received_before: u64, now: Moment) {
        if self.connection.received > received_before {
            self.received_at = now;
        }
    }

    /// The result of its attempt when the connect did not complete in time.
    pub(super) fn connect_result(&self, carried: ActiveAttempt, now: Moment) -> AttemptResult {
        if now >= carried.give_up {
            AttemptResult::TimedOut { request_sent: false }
        } else {
            AttemptResult::ConnectFailed
        }
    }

    /// Whether the last byte of its attempt is written.
    pub(super) fn is_sent(&self) -> bool {
        self.up && self.connection.all_sent() && self.streamed_body.is_none()
    }

    /// Whether the endpoint has neither closed it nor sent stray bytes on it.
    pub(super) fn still_idle(&mut self) -> bool {
        self.connection.fill(1).is_ok() && !self.connection.ended && self.connection.input.is_empty()
    }
}
