//! Messages that pass through client connections in pieces: the bodies of requests, and responses.

use std::ops::Range;

use appledyke::units::Moment;

use super::upload_clock::Arrival;
use super::{Clients, CloseReason, Stage, WRITE_TIMEOUT, body_deadline};
use crate::net::Turn;
use crate::net::body::Piece;
use crate::net::deadlines::Due;
use crate::net::http::{self, Length};
use crate::net::slots::Key;

impl Clients {
    // Streamed requests.

    /// The request in progress on this connection, if its body is not complete.
    pub fn streaming_request(&self, key: Key) -> Option<usize> {
        let client = self.slots.get(key)?;
        match client.stage {
            Stage::Waiting { request, .. }
                if client.remaining_body.as_ref().is_some_and(|body| !body.is_complete()) =>
            {
                Some(request)
            }
            _ => None,
        }
    }

    /// The next piece of that request's body.
    pub fn next_piece(&mut self, key: Key) -> Piece {
        let Some(client) = self.slots.get_mut(key) else { return Piece::Truncated };
        let (Stage::Waiting { frame, .. }, Some(body)) = (&client.stage, &mut client.remaining_body) else {
            return Piece::Truncated;
        };
        // Danger: the last bytes from a client that has disconnected could complete its request, which would then run.
        body.next(&mut client.connection, frame.end, false)
    }

    pub fn bytes(&self, key: Key, range: &Range<usize>) -> &[u8] {
        self.slots.get(key).map_or(&[], |client| &client.connection.input[range.clone()])
    }

    /// Drops a piece of the body that has been forwarded.
    pub fn consume_piece(&mut self, key: Key, range: &Range<usize>) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Waiting { frame, .. } = client.stage else { return };
        client.connection.consume_at(frame.end, range.end - frame.end);
    }

    /// Takes note of what has arrived of the streamed request in progress, and sets the time limit for more of it. Returns
    /// since when its time for an answer runs: `None` while the client is surely still writing.
    pub fn note_upload(&mut self, key: Key, turn: &mut Turn) -> Option<Moment> {
        let client = self.slots.get_mut(key)?;
        let Stage::Waiting { frame, .. } = client.stage else { return None };
        let body = client.remaining_body.as_ref()?;
        let buffered = &client.connection.input[frame.end..];
        let arrival = match body {
            body if body.ends_within(buffered) => Arrival::Complete,
            body if client.connection.full => Arrival::Blocked { missing: body.missing(buffered.len()) },
            _ => Arrival::Partial,
        };
        let connection = &client.connection;
        let receive_buffer = || connection.receive_buffer();
        client.upload_clock.note(arrival, connection.received, receive_buffer, self.input_since, turn.now);
        let runs_since = client.upload_clock.runs_since();
        if arrival == Arrival::Partial {
            self.extend_body_deadline(key, turn);
        } else {
            // Nothing more is awaited, or the endpoint has not taken what was written: the client is not to blame.
            client.body_deadline = None;
            turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, None);
        }
        runs_since
    }

    /// Extends the time limit for more of a body by what has arrived since the last look.
    pub(super) fn extend_body_deadline(&mut self, key: Key, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let received = client.connection.received;
        let more = received - std::mem::replace(&mut client.body_seen, received);
        let until = body_deadline(client.body_deadline, more, turn.now);
        client.body_deadline = Some(until);
        self.set_deadline(key, until, turn);
    }

    // Streamed responses.

    /// Begins the response to the request in progress; its body will be streamed from the endpoint connection `from`.
    /// `head` writes the response's head. Returns whether the client is still connected.
    pub fn begin_response(
        &mut self,
        key: Key,
        from: Key,
        length: Option<u64>,
        head: impl FnOnce(&mut Vec<u8>, Length, bool),
        turn: &mut Turn,
    ) -> bool {
        self.release_request_id(key);
        let Some(client) = self.slots.get_mut(key) else { return false };
        let Stage::Waiting { frame, .. } = client.stage else { return false };
        let chunks = http::accepts_chunked(frame.head_in(&client.connection.input));
        let unknown = if chunks { Length::Chunked } else { Length::UntilClose };
        let length = length.map_or(unknown, Length::Known);
        let keep = client.keeps_alive(frame) && !self.draining && length != Length::UntilClose;
        // Danger: a response delimited by the connection's close would look complete when cut short, even by the end of
        // this process, so the connection is set up to be reset.
        if length == Length::UntilClose {
            client.connection.reset_at_close();
        }
        self.head.clear();
        head(&mut self.head, length, keep);
        client.connection.consume(frame.end);
        (client.stage, client.has_answered) = (Stage::Forwarding { from, keep, length }, true);
        let head = std::mem::take(&mut self.head);
        let there = self.send_parts(key, &[&head], turn);
        self.head = head;
        there
    }

    /// Whether all that was written of the streamed response has been sent to the client.
    pub fn response_is_sent(&self, key: Key) -> bool {
        self.slots
            .get(key)
            .is_some_and(|c| matches!(c.stage, Stage::Forwarding { .. }) && c.connection.all_sent())
    }

    /// Sends a piece of the streamed response. Returns whether the client is still connected.
    pub fn send_response_piece(&mut self, key: Key, data: &[u8], turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get(key) else { return false };
        let Stage::Forwarding { length, .. } = client.stage else { return false };
        let (before, after) = http::chunk_framing(length, Some(data));
        self.send_parts(key, &[before.as_bytes(), data, after], turn)
    }

    fn send_parts(&mut self, key: Key, parts: &[&[u8]], turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get_mut(key) else { return false };
        if client.connection.send(parts).is_err() {
            self.close(key, CloseReason::PeerClosed, turn);
            return false;
        }
        // With nothing left to send, the endpoint is awaited and the client has no deadline.
        let until = (!client.connection.all_sent()).then(|| turn.now + WRITE_TIMEOUT);
        turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, until);
        true
    }

    /// Ends the streamed response. Danger: one that is not complete must end in a way that the client can detect.
    pub fn end_response(&mut self, key: Key, complete: bool, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Forwarding { keep, length, .. } = client.stage else { return };
        if !complete {
            return self.close(key, CloseReason::ResponseAborted, turn);
        }
        client.stage = Stage::Closing;
        let (end, _) = http::chunk_framing(length, None);
        if client.connection.send(&[end.as_bytes()]).is_err() {
            return self.close(key, CloseReason::PeerClosed, turn);
        }
        self.after_response(key, keep, turn);
    }
}
