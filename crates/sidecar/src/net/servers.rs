//! Endpoint connections: a pool per endpoint, the attempts sent on them and the responses. A connection carries one
//! attempt at a time.

mod link;
mod streams;

use std::collections::HashMap;
use std::net::SocketAddr;

use appledyke::units::{Moment, Span};

use super::Turn;
use super::body::Body;
use super::connection::{self, AttemptResult, Connection};
use super::deadlines::Due;
use super::http::{self, Frame, Length, ReadState};
use super::slots::{Key, Peer, Slots};
pub use link::{ActiveAttempt, PROBE, StreamTarget};
use link::{Link, MAX_BUFFERING};
pub use streams::StalledResponse;

/// The share of the endpoints' idle timeout after which this side closes an idle connection, well before they do.
const IDLE_TIMEOUT_SHARE: f64 = 0.75;
/// How long a connection should stay idle after a response before it carries the next request, so that stray bytes behind
/// the response show up first: they were seen 1 to 3.5 ms late. While stray bytes have been seen within
/// `STRAY_BYTES_MEMORY`, a new connection is opened rather than one reused sooner. Otherwise the one idle for longest is
/// reused, as opening another costs the endpoint work.
const REUSE_DELAY: Span = Span::from_millis(4);
const STRAY_BYTES_MEMORY: Span = Span::from_millis(60_000);

/// A request as it is sent to an endpoint: its buffered body, or how the body still to be streamed is framed.
#[derive(Clone, Copy)]
pub struct OutgoingRequest<'a> {
    pub head: &'a [u8],
    pub body: &'a [u8],
    pub streamed_body: Option<Length>,
}

#[derive(Clone, Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    started: Option<Moment>,
    /// Idle connections and since when they are idle, the most recently used last.
    idle: Vec<(Key, Moment)>,
}

/// Whether a response of unknown length may be buffered any longer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Buffering {
    Allowed,
    Over,
}

/// How an attempt ended, and its response if there is one, which is still in its connection's buffer.
pub struct EndedAttempt {
    /// Its endpoint, and when it was sent: for a streamed request, when its last byte was.
    pub endpoint: usize,
    pub sent: Moment,
    pub carried: ActiveAttempt,
    pub ending: AttemptResult,
    pub answer: Option<Frame>,
    /// The rest of the body, if the response is streamed.
    pub long: Option<Body>,
    /// The number of bytes of a response that had arrived, if the attempt ended without one.
    pub partial_response: usize,
}

pub struct Servers {
    links: Slots<Link>,
    endpoints: Vec<Endpoint>,
    /// The endpoint that each address belongs to: the one that started last.
    by_address: HashMap<SocketAddr, usize>,
    max_idle: Span,
    connect_timeout: Span,
    /// Until when connections are not reused before `REUSE_DELAY` has passed.
    stray_bytes_until: Moment,
    head: Vec<u8>,
    /// The number of attempts whose last byte was written, without probes.
    pub sent_attempts: u64,
    /// The maximum number of connections to one endpoint, if it is limited.
    pub max_per_endpoint: Option<u64>,
}

impl Servers {
    pub fn new(idle_limit: Span, connect_timeout: Span) -> Servers {
        Servers {
            links: Slots::default(),
            endpoints: Vec::new(),
            by_address: HashMap::new(),
            max_idle: idle_limit * IDLE_TIMEOUT_SHARE,
            connect_timeout,
            stray_bytes_until: Moment::from_nanos(0),
            head: Vec::new(),
            sent_attempts: 0,
            max_per_endpoint: None,
        }
    }

    /// Applies new limits.
    pub fn update_terms(&mut self, idle_limit: Span, connect_timeout: Span, turn: &mut Turn) {
        (self.max_idle, self.connect_timeout) = (idle_limit * IDLE_TIMEOUT_SHARE, connect_timeout);
        // Danger: a connection kept for the old limit could be closed by its endpoint just as a request is written to it.
        for (key, since) in self.endpoints.iter().flat_map(|state| &state.idle) {
            if let Some(link) = self.links.get_mut(*key) {
                turn.deadlines.reschedule(
                    Due::Server(*key),
                    &mut link.deadline,
                    Some(*since + self.max_idle),
                );
            }
        }
    }

    /// Sets an endpoint's address and when its process started. Danger: a machine that comes back after a partition gives no
    /// notice on its old connections; a request written to one of them ends with a reset, and whether it ran is unknown.
    pub fn set_address(&mut self, endpoint: usize, at: SocketAddr, started: Option<Moment>, turn: &mut Turn) {
        if self.endpoints.len() <= endpoint {
            self.endpoints.resize(endpoint + 1, Endpoint::default());
        }
        let owns = self.claim_address(endpoint, at, started, turn);
        let (state, address) = (&mut self.endpoints[endpoint], owns.then_some(at));
        if (state.address, state.started) != (address, started) {
            let before = std::mem::replace(&mut state.address, address);
            state.started = started;
            self.release_address(endpoint, before.filter(|before| *before != at));
            self.close_idle(endpoint, turn);
        }
    }

    /// Notes that an address belongs to this endpoint no longer.
    /// Where requests to this endpoint go; `None` if it has no address, or a later endpoint has taken it.
    pub fn address(&self, endpoint: usize) -> Option<SocketAddr> {
        self.endpoints.get(endpoint)?.address
    }

    fn release_address(&mut self, endpoint: usize, address: Option<SocketAddr>) {
        if let Some(address) = address.filter(|address| self.by_address.get(address) == Some(&endpoint)) {
            self.by_address.remove(&address);
        }
    }

    /// Whether an address belongs to this endpoint, whose process started at this time. Danger: a list may still name an
    /// endpoint that has gone while a new one has come up at its address, which would be sent what is meant for the old.
    fn claim_address(
        &mut self,
        endpoint: usize,
        at: SocketAddr,
        started: Option<Moment>,
        turn: &mut Turn,
    ) -> bool {
        let holder = self.by_address.get(&at).copied().filter(|holder| *holder != endpoint);
        let held = holder.map(|holder| &self.endpoints[holder]).filter(|state| state.address == Some(at));
        match (holder, held.map(|state| state.started)) {
            (Some(_), Some(held_since)) if held_since > started => return false,
            (Some(holder), Some(held_since)) if held_since < started => {
                log::info!("address {at} has passed to an endpoint that started later");
                self.endpoints[holder].address = None;
                self.close_idle(holder, turn);
            }
            _ => {}
        }
        self.by_address.insert(at, endpoint);
        true
    }

    pub fn close_idle(&mut self, endpoint: usize, turn: &mut Turn) {
        let idle = self.endpoints.get_mut(endpoint).map(|state| std::mem::take(&mut state.idle));
        for (key, _) in idle.unwrap_or_default() {
            self.close(key, turn);
        }
    }

    /// When an endpoint's process started, if that is known.
    pub fn started_at(&self, endpoint: usize) -> Option<Moment> {
        self.endpoints.get(endpoint)?.started
    }

    /// The number of connections to an endpoint, and how many of them carry an attempt.
    pub fn connection_counts(&self, endpoint: usize) -> (usize, usize) {
        let links = self.links.iter().filter(|(_, link)| link.endpoint == endpoint);
        links.fold((0, 0), |(all, out), (_, link)| (all + 1, out + usize::from(link.active.is_some())))
    }

    pub fn has_idle(&self, endpoint: usize) -> bool {
        self.endpoints.get(endpoint).is_some_and(|state| !state.idle.is_empty())
    }

    /// The highest number of connections, and of attempts, over all endpoints.
    pub fn max_connection_counts(&self) -> (usize, usize) {
        let mut held = vec![(0, 0); self.endpoints.len()];
        for (_, link) in self.links.iter() {
            let (all, out) = &mut held[link.endpoint];
            (*all, *out) = (*all + 1, *out + usize::from(link.active.is_some()));
        }
        held.into_iter().fold((0, 0), |max, held| (max.0.max(held.0), max.1.max(held.1)))
    }

    /// Closes idle connections of endpoints that have more than `limit` connections.
    pub fn trim(&mut self, limit: u64, turn: &mut Turn) {
        for endpoint in 0..self.endpoints.len() {
            let over = (self.connection_counts(endpoint).0 as u64).saturating_sub(limit) as usize;
            let idle: Vec<Key> =
                self.endpoints[endpoint].idle.iter().take(over).map(|(key, _)| *key).collect();
            idle.into_iter().for_each(|key| self.close(key, turn));
        }
    }

    pub fn forget(&mut self, endpoint: usize, turn: &mut Turn) {
        self.close_idle(endpoint, turn);
        let address = self.endpoints.get_mut(endpoint).and_then(|state| state.address.take());
        self.release_address(endpoint, address);
    }

    pub fn close(&mut self, key: Key, turn: &mut Turn) {
        let Some(mut link) = self.links.remove(key) else { return };
        turn.free_connections += 1;
        turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, None);
        self.endpoints[link.endpoint].idle.retain(|(idle, _)| *idle != key);
        link.connection.close(&turn.registry);
    }

    /// Closes a connection that carries nothing, and notes whether stray bytes have arrived on it.
    fn close_noting_strays(&mut self, key: Key, turn: &mut Turn) {
        if self.links.get(key).is_some_and(|link| !link.connection.input.is_empty()) {
            self.stray_bytes_until = turn.now + STRAY_BYTES_MEMORY;
        }
        self.close(key, turn);
    }

    /// Starts an attempt of the request with this head and body, on an idle connection or a new one.
    pub fn send(
        &mut self,
        endpoint: usize,
        carried: ActiveAttempt,
        OutgoingRequest { head, body, streamed_body }: OutgoingRequest,
        turn: &mut Turn,
    ) -> Result<Key, AttemptResult> {
        self.head.clear();
        let length = streamed_body.unwrap_or(Length::Known(body.len() as u64));
        let out = &mut self.head;
        http::with_request(head, |request| http::write_request_head(out, request, length));
        // Danger: bytes that arrive late behind a response would be taken for the response to the next request.
        let now = turn.now;
        let strays_seen = now < self.stray_bytes_until;
        let rested = |state: &mut Endpoint| {
            let rested = state.idle.iter().rposition(|(_, since)| now.since(*since) >= REUSE_DELAY);
            let longest = (!strays_seen && !state.idle.is_empty()).then_some(0);
            Some(state.idle.remove(rested.or(longest)?).0)
        };
        while let Some(key) = self.endpoints.get_mut(endpoint).and_then(rested) {
            let Some(link) = self.links.get_mut(key) else { continue };
            // Danger: if a request is written to a connection that the endpoint has closed, whether it ran is unknown. So
            // the connection is checked for a close, and for stray bytes, before it is reused.
            if !link.still_idle() {
                self.close_noting_strays(key, turn);
                continue;
            }
            let last_line = http::remaining_time_line(carried.give_up.since(now));
            if link.connection.send(&[&self.head, last_line.as_bytes(), body]).is_err() {
                self.close(key, turn);
                return Err(AttemptResult::Broken { request_sent: false });
            }
            (link.active, link.counted, link.sent_at, link.streamed_body) =
                (Some(carried), false, now, streamed_body);
            (link.buffered_since, link.progress_at, link.upload_due) = (None, now, None);
            self.sent_attempts += link.count_if_sent();
            let until = link.deadline_for(carried.give_up);
            turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(until));
            return Ok(key);
        }
        let to = self
            .endpoints
            .get(endpoint)
            .and_then(|state| state.address)
            .ok_or(AttemptResult::ConnectFailed)?;
        let full =
            self.max_per_endpoint.is_some_and(|limit| self.connection_counts(endpoint).0 as u64 >= limit);
        if full || turn.free_connections <= 0 && !self.evict_idle(turn) {
            return Err(AttemptResult::NoCapacity);
        }
        let mut opened = self.open(endpoint, to, carried, streamed_body, body, turn);
        if opened.as_ref().is_err_and(connection::lacks_descriptor) && self.evict_idle(turn) {
            opened = self.open(endpoint, to, carried, streamed_body, body, turn);
        }
        // An immediate failure is a local one: a refusal by the endpoint arrives as an event.
        let key = opened.map_err(|e| {
            log::warn!("connect {to}: {e}");
            AttemptResult::NoCapacity
        })?;
        turn.free_connections -= 1;
        let link = self.links.get_mut(key).expect("just added");
        let until = carried.give_up.min(turn.now + self.connect_timeout);
        turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(until));
        Ok(key)
    }

    /// Opens a connection and queues the request to be written once it is up.
    fn open(
        &mut self,
        endpoint: usize,
        to: SocketAddr,
        carried: ActiveAttempt,
        streamed_body: Option<Length>,
        body: &[u8],
        turn: &Turn,
    ) -> std::io::Result<Key> {
        let head = &self.head;
        self.links.insert_with(|key| {
            let mut connection = Connection::open(to, &turn.registry, Peer::Server(key).token())?;
            connection.queue(&[head, body], 0);
            Ok(Link {
                connection,
                endpoint,
                to,
                up: false,
                active: Some(carried),
                deadline: None,
                head_end: Some(head.len()),
                counted: false,
                sent_at: turn.now,
                streamed_body,
                progress_at: turn.now,
                upload_due: None,
                buffered_since: None,
                received_at: turn.now,
                forwarding: None,
            })
        })
    }

    /// Closes the connection that has been idle for longest.
    pub fn evict_idle(&mut self, turn: &mut Turn) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.active.is_none() && link.forwarding.is_none());
        let Some(key) = idle.min_by_key(|(_, link)| link.deadline).map(|(key, _)| key) else { return false };
        self.close(key, turn);
        true
    }

    /// Reads and writes what a connection is ready for. Returns how its attempt ended, if it has.
    pub fn ready(&mut self, key: Key, turn: &mut Turn) -> Option<EndedAttempt> {
        let link = self.links.get_mut(key)?;
        let Some(carried) = link.active else {
            // Idle: the endpoint has closed it, or sent stray bytes.
            if !link.still_idle() {
                self.close_noting_strays(key, turn);
            }
            return None;
        };
        if !link.up {
            // Danger: after a stall of this process, the connect's completion is seen before its timeout is checked. The
            // request would be written though nobody waits for it any more, or though its endpoint has begun to drain
            // since.
            if link.deadline.is_some_and(|at| at <= turn.now) {
                let ending = link.connect_result(carried, turn.now);
                return self.end(key, ending, turn);
            }
            match link.connection.is_up() {
                Ok(true) => link.up = true,
                Ok(false) => return None,
                Err(_) => return self.end(key, AttemptResult::ConnectFailed, turn),
            }
            if let Some(at) = link.head_end.take() {
                let last_line = http::remaining_time_line(carried.give_up.since(turn.now));
                link.connection.insert(at, last_line.as_bytes());
            }
            link.progress_at = turn.now;
            let until = link.deadline_for(carried.give_up);
            turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(until));
        }
        self.read_response(key, Buffering::Allowed, turn)
    }

    /// Writes what is left of a connection's attempt, and reads its response. Returns how the attempt ended, if it has.
    fn read_response(&mut self, key: Key, buffering: Buffering, turn: &mut Turn) -> Option<EndedAttempt> {
        let link = self.links.get_mut(key)?;
        let carried = link.active?;
        let unsent_before = link.connection.unsent();
        let written = link.connection.flush();
        if link.connection.unsent() < unsent_before {
            link.progress_at = turn.now;
        }
        let request_sent = link.is_sent();
        self.sent_attempts += link.count_if_sent();
        let received_before = link.connection.received;
        let read = link.connection.fill(http::MAX_MESSAGE_BYTES);
        link.note_received(received_before, turn.now);
        let ended = link.connection.ended;
        // Danger: a slow response of unknown length would be held back until it fills the buffer. One that can no longer
        // arrive whole is not begun: another endpoint may answer the request instead.
        let buffered_for = link.buffered_since.map_or(Span::ZERO, |since| turn.now.since(since));
        let buffering_over = buffering == Buffering::Over || buffered_for >= MAX_BUFFERING;
        let late = buffering_over && !ended && read.is_ok();
        // Bytes read before the connection broke are still used.
        let ending = match http::response(&mut link.connection.input, ended, late) {
            // Danger: a reset does not complete a response that is delimited by the close, and once the response to the
            // client has begun, no other endpoint can answer.
            Ok((ReadState::Streamed(_, body), ..)) if read.is_err() && body.is_until_close() => {
                AttemptResult::Broken { request_sent }
            }
            Ok((message @ (ReadState::Complete(_) | ReadState::Streamed(..)), status, turned_away)) => {
                let io_ok = !ended && read.is_ok() && written.is_ok();
                let (frame, long) = match message {
                    ReadState::Complete(frame) => {
                        (Frame { keep: frame.keep && request_sent && io_ok, ..frame }, None)
                    }
                    ReadState::Streamed(frame, body) => {
                        (Frame { keep: frame.keep && request_sent, ..frame }, Some(body))
                    }
                    _ => return None,
                };
                link.active = None;
                // Danger: a deadline of the attempt would abort the response that is now streamed.
                turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, None);
                let (endpoint, sent) = (link.endpoint, link.sent_at);
                let ending = AttemptResult::Answered { status, turned_away };
                let answer = Some(frame);
                return Some(EndedAttempt {
                    endpoint,
                    sent,
                    carried,
                    ending,
                    answer,
                    long,
                    partial_response: 0,
                });
            }
            Err(_) => AttemptResult::InvalidResponse,
            Ok(_) if ended || read.is_err() || written.is_err() => AttemptResult::Broken { request_sent },
            Ok((ReadState::PartialBody { open: true }, ..)) => {
                link.buffered_since.get_or_insert(turn.now);
                let until = link.deadline_for(carried.give_up);
                turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(until));
                return None;
            }
            Ok(_) => return None,
        };
        self.end(key, ending, turn)
    }

    fn end(&mut self, key: Key, ending: AttemptResult, turn: &mut Turn) -> Option<EndedAttempt> {
        let link = self.links.get_mut(key)?;
        let (carried, endpoint, sent) = (link.active.take(), link.endpoint, link.sent_at);
        let partial_response = link.connection.input.len();
        if matches!(
            ending,
            AttemptResult::ConnectFailed | AttemptResult::Broken { .. } | AttemptResult::InvalidResponse
        ) {
            log::debug!("connection to {}: {ending:?}", link.to);
        }
        self.close(key, turn);
        let carried = carried?;
        Some(EndedAttempt { endpoint, sent, carried, ending, answer: None, long: None, partial_response })
    }

    /// The head and the body of a received response.
    pub fn message(&self, key: Key, frame: Frame) -> Option<(&[u8], &[u8])> {
        let input = &self.links.get(key)?.connection.input;
        Some((frame.head_in(input), frame.body_in(input)))
    }

    /// Drops a response that has been used. Its connection may be reused.
    pub fn release(&mut self, key: Key, frame: Frame, turn: &mut Turn) {
        let Some(link) = self.links.get_mut(key) else { return };
        link.connection.consume(frame.end);
        let moved = self.endpoints[link.endpoint].address != Some(link.to);
        if !frame.keep || moved || !link.connection.input.is_empty() {
            return self.close_noting_strays(key, turn);
        }
        turn.deadlines.reschedule(Due::Server(key), &mut link.deadline, Some(turn.now + self.max_idle));
        self.endpoints[link.endpoint].idle.push((key, turn.now));
    }

    /// The request that a connection carries, if its last byte is not written yet.
    pub fn unsent_request(&self, key: Key) -> Option<usize> {
        let link = self.links.get(key).filter(|link| !link.is_sent())?;
        link.active.map(|carried| carried.request)
    }

    /// Whether a connection is not up yet, so that nothing of its attempt has been written.
    pub fn is_connecting(&self, key: Key) -> bool {
        self.links.get(key).is_some_and(|link| !link.up)
    }

    /// Cancels an attempt. The close of its connection notifies the endpoint.
    pub fn cancel(&mut self, key: Key, turn: &mut Turn) -> Option<EndedAttempt> {
        let link = self.links.get(key)?;
        let request_sent = link.is_sent();
        self.end(key, AttemptResult::Cancelled { request_sent }, turn)
    }

    /// Handles a connection whose deadline has passed: its connect, its attempt, the buffering of its response or its idle
    /// time has timed out.
    pub fn timed_out(&mut self, key: Key, turn: &mut Turn) -> Option<EndedAttempt> {
        let link = self.links.get_mut(key)?;
        link.deadline = None;
        let Some(carried) = link.active else {
            self.close(key, turn);
            return None;
        };
        // Danger: an endpoint that pauses in its response raises no event, and a response that has begun in time must
        // not be cut off while its endpoint still sends.
        if link.buffered_since.is_some() {
            return self.end_buffering(key, turn);
        }
        let ending = match link.up {
            true => AttemptResult::TimedOut { request_sent: link.is_sent() },
            false => link.connect_result(carried, turn.now),
        };
        self.end(key, ending, turn)
    }
}

#[cfg(test)]
mod tests;
