//! Messages that pass through endpoint connections in pieces: the bodies of requests, and responses that are buffered or
//! streamed.

use std::ops::Range;

use appledyke::units::Moment;

use super::link::{Forwarding, MIN_STALL, PROBE, STREAM_TIMEOUT, StreamTarget};
use super::{Buffering, EndedAttempt, Servers};
use crate::net::Turn;
use crate::net::body::{Body, Piece};
use crate::net::connection::AttemptResult;
use crate::net::deadlines::Due;
use crate::net::http::{self, Frame};
use crate::net::slots::Key;

/// A streamed response whose endpoint has stopped sending: that endpoint, and the method of the request.
pub struct StalledResponse {
    pub endpoint: usize,
    pub method: usize,
}

impl Servers {
    // Streamed requests.

    /// The request whose body is still to be sent on this connection.
    pub fn request_awaiting_body(&self, key: Key) -> Option<usize> {
        let link = self.links.get(key).filter(|link| link.streamed_body.is_some())?;
        link.active.map(|carried| carried.request)
    }

    /// Whether everything queued has been sent, and more of the request's body is to follow.
    pub fn accepts_body(&self, key: Key) -> bool {
        self.links
            .get(key)
            .is_some_and(|link| link.up && link.streamed_body.is_some() && link.connection.all_sent())
    }

    /// Sends more of a request's body, or its end. Returns how the attempt ended, if it has.
    pub fn send_body(&mut self, key: Key, data: Option<&[u8]>, turn: &mut Turn) -> Option<EndedAttempt> {
        let link = self.links.get_mut(key)?;
        let (carried, streamed_body) = (link.active?, link.streamed_body?);
        let (before, after) = http::chunk_framing(streamed_body, data);
        if link.connection.send(&[before.as_bytes(), data.unwrap_or_default(), after]).is_err() {
            return self.end(key, AttemptResult::Broken { request_sent: false }, turn);
        }
        link.progress_at = turn.now;
        if data.is_none() {
            (link.streamed_body, link.sent_at) = (None, turn.now);
            self.sent_attempts += link.count_if_sent();
        }
        let until = link.deadline_for(carried.give_up);
        turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(until));
        None
    }

    /// Sets until when an answer to the request whose body is streamed on this connection is of use: `None` while its
    /// client is still writing.
    pub fn set_upload_due(&mut self, key: Key, due: Option<Moment>, turn: &mut Turn) {
        let Some(link) = self.links.get_mut(key).filter(|link| link.up) else { return };
        let Some(carried) = &mut link.active else { return };
        link.upload_due = due;
        // It holds for the answer as well, once the body is complete.
        carried.give_up = due.unwrap_or(carried.give_up);
        let until = link.deadline_for(link.active.map_or(turn.now, |carried| carried.give_up));
        turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(until));
    }

    // Streamed responses.

    /// Begins to stream the rest of the response in this frame to a client.
    pub fn begin_forwarding(
        &mut self,
        key: Key,
        frame: Frame,
        body: Body,
        target: StreamTarget,
        request_id: Box<str>,
    ) {
        let Some(link) = self.links.get_mut(key) else { return };
        link.connection.consume(frame.end);
        link.forwarding = Some(Forwarding { target, request_id, body, keep: frame.keep });
    }

    /// Where this connection's response is streamed to, if it is.
    pub fn forwarding_to(&self, key: Key) -> Option<StreamTarget> {
        Some(self.links.get(key)?.forwarding.as_ref()?.target)
    }

    /// The id of the request whose response is streamed from this connection.
    pub fn forwarded_request_id(&self, key: Key) -> &str {
        let forwarding = self.links.get(key).and_then(|link| link.forwarding.as_ref());
        forwarding.map_or("", |forwarding| &forwarding.request_id)
    }

    /// The methods of all responses that are being streamed.
    pub fn forwarded_methods(&self) -> impl Iterator<Item = usize> {
        self.links
            .iter()
            .filter_map(|(_, link)| link.forwarding.as_ref().map(|forwarding| forwarding.target.method))
    }

    /// The next piece of the response that is being streamed.
    pub fn next_piece(&mut self, key: Key, turn: &mut Turn) -> Piece {
        let Some(link) = self.links.get_mut(key) else { return Piece::Truncated };
        let Some(forwarding) = &mut link.forwarding else { return Piece::Truncated };
        let received_before = link.connection.received;
        let piece = forwarding.body.next(&mut link.connection, 0, true);
        link.note_received(received_before, turn.now);
        if matches!(piece, Piece::Pending) {
            turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(turn.now + STREAM_TIMEOUT));
        }
        piece
    }

    /// The response that is being streamed, if its endpoint has sent nothing of it for `MIN_STALL`, and its client waits
    /// for that endpoint.
    pub fn stalled_response(&self, key: Key, now: Moment) -> Option<StalledResponse> {
        let link = self.links.get(key)?;
        let method = link.forwarding.as_ref()?.target.method;
        // The clock runs only while the client has taken all that was sent.
        let endpoint_awaited = link.deadline.is_some() && now.since(link.received_at) >= MIN_STALL;
        // Danger: the index may stand for another endpoint by now.
        let same_endpoint = self.endpoints[link.endpoint].address == Some(link.to);
        (endpoint_awaited && same_endpoint).then_some(StalledResponse { endpoint: link.endpoint, method })
    }

    /// Stops the clock for the response while the client has not taken what was sent: the endpoint is not to blame.
    pub fn pause_timeout(&mut self, key: Key, turn: &mut Turn) {
        if let Some(link) = self.links.get_mut(key) {
            turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, None);
        }
    }

    /// The bytes of a piece; `consume` drops them once they have been forwarded.
    pub fn bytes(&self, key: Key, range: &Range<usize>) -> &[u8] {
        self.links.get(key).map_or(&[], |link| &link.connection.input[range.clone()])
    }

    /// Drops bytes of the response that have been forwarded.
    pub fn consume(&mut self, key: Key, bytes: usize) {
        if let Some(link) = self.links.get_mut(key) {
            link.connection.consume(bytes);
        }
    }

    /// Ends a streamed response that is complete. Its connection may be reused.
    pub fn end_forwarding(&mut self, key: Key, turn: &mut Turn) {
        let Some(link) = self.links.get_mut(key) else { return };
        let Some(forwarding) = link.forwarding.take() else { return };
        let keep = forwarding.keep && !link.connection.ended;
        self.release(key, Frame { head: 0, body: 0, end: 0, keep }, turn);
    }

    // Buffered responses.

    /// The request whose response is being buffered on this connection.
    pub fn buffering_response_to(&self, key: Key) -> Option<usize> {
        let link = self.links.get(key).filter(|link| link.buffered_since.is_some())?;
        link.active.map(|carried| carried.request).filter(|request| *request != PROBE)
    }

    /// The connections on which responses to requests are being buffered.
    pub fn buffering(&self) -> Vec<Key> {
        let keys = self.links.iter().map(|(key, _)| key);
        keys.filter(|key| self.buffering_response_to(*key).is_some()).collect()
    }

    /// Ends the buffering of a response: it is streamed from here on, unless it has broken off.
    pub fn end_buffering(&mut self, key: Key, turn: &mut Turn) -> Option<EndedAttempt> {
        self.read_response(key, Buffering::Over, turn)
    }
}
