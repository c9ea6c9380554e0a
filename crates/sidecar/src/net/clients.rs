//! Client connections: the listener, incoming requests and their responses. A connection carries one request at a time.

mod accepting;
mod draining;
mod head;
mod streams;
mod upload_clock;

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::SocketAddr;

use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use mio::Interest;
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

use super::Turn;
use super::body::Body;
use super::connection::Connection;
use super::deadlines::Due;
use super::http::{self, Frame, Length, MessageError, ReadState};
use super::servers::OutgoingRequest;
use super::slots::{Key, Peer, Slots};
use crate::sent_ids::IdHash;
use head::{Parsed, parse_head, request_id};
use upload_clock::UploadClock;

/// The share of all connections that clients may use. Danger: without connections to endpoints nothing can be served.
const CLIENT_CONNECTIONS_SHARE: f64 = 0.75;
/// How long a connection may be idle between requests: longer than most clients pause, but short enough that clients
/// which send one request and never close do not use up the connections.
const MAX_IDLE: Span = Span::from_millis(10_000);
/// Time limit for a complete request head, from accept on a new connection and from the first byte on any other. A client
/// may take 2 s for it; a client that sends nothing, or never completes a head, must be closed within 3 s.
const HEAD_TIMEOUT: Span = Span::from_millis(2600);
/// How long a body may stall, and the rate that it must sustain, in bytes per second: half of the slowest rate expected.
/// Danger: a client that sends a byte at a time would hold a connection for hours.
const BODY_TIMEOUT: Span = Span::from_millis(2000);
const MIN_BODY_RATE: u64 = 32_000;
/// How long a client may read nothing of its response: peers can pause for seconds.
const WRITE_TIMEOUT: Span = Span::from_millis(15_000);
/// How long a client may take to read the last response of a connection that is being closed.
const CLOSE_TIMEOUT: Span = Span::from_millis(1000);
/// While draining, how long an idle connection may wait for a request before it is closed.
const DRAIN_IDLE_TIMEOUT: Span = Span::from_millis(300);
/// While draining, how long a client may take to complete a partly received request: clients may be slow.
const DRAIN_PARTIAL_TIMEOUT: Span = Span::from_millis(1200);
/// How long a new connection, or one with a partial request, is protected from eviction: the rest is likely on its way.
const EVICTION_GRACE: Span = Span::from_millis(1000);
/// Once connections have waited in the backlog for all of `EVICTION_GRACE`, only those with input within this time are
/// protected. Danger: a crowd of clients that stay silent, or stop within a head, would otherwise be replaced only once
/// per `EVICTION_GRACE`, and a health check would wait behind all of them. Evicting by age alone would hit slow writers
/// first, so no connection is evicted for a new client unless it has paused for this long.
const MAX_PAUSE: Span = Span::from_millis(100);
/// Time limit for answering a health check behind a full backlog: the shortest time within which its response must be seen
/// after a drain begins. The limit holds from this many client connections on: what a limit of 256 descriptors, the lowest
/// expected, leaves to clients while two processes share it.
const HEALTH_CHECK_TIMEOUT: Span = Span::from_millis(4000);
const MIN_CLIENT_CONNECTIONS: u64 = 80;
const _: () = {
    let batches = (BACKLOG as u64).div_ceil(MIN_CLIENT_CONNECTIONS);
    let batch_time = MAX_PAUSE.nanos() + ACCEPT_RETRY.nanos();
    assert!(EVICTION_GRACE.nanos() + batches * batch_time <= HEALTH_CHECK_TIMEOUT.nanos());
};
/// Requests of one connection that are answered at once without an endpoint before others are served. Danger: a client
/// that sends at full speed always has more.
const MAX_DIRECT_RESPONSES: usize = 16;
/// Bytes to read beyond a message to find out whether the client has closed the connection behind them.
const PRESENCE_READ_AHEAD: usize = 16 * 1024;
/// The listener's backlog. Danger: when it is full, the connect of a health check is dropped, and the peer's kernel
/// retries it only after 1, 3 and 7 s.
const BACKLOG: i32 = 1024;
/// Delay before accepting is retried after no connection was free.
const ACCEPT_RETRY: Span = Span::from_millis(100);

/// The status for a request whose id is in use, or has been used.
const REPEATED_ID: u16 = 409;
/// Used in place of a request's index for a response that the sidecar writes itself.
const NO_REQUEST: usize = usize::MAX;

enum Stage {
    Reading,
    Waiting {
        request: usize,
        frame: Frame,
    },
    /// The response is being streamed from this endpoint connection.
    Forwarding {
        from: Key,
        keep: bool,
        length: Length,
    },
    /// The last response has been sent or queued.
    Closing,
}

impl Stage {
    fn name(&self) -> &'static str {
        match self {
            Stage::Reading => "reading",
            Stage::Waiting { .. } => "waiting",
            Stage::Forwarding { .. } => "forwarding",
            Stage::Closing => "closing",
        }
    }
}

struct Client {
    connection: Connection,
    stage: Stage,
    /// Part of a request has been received, and a deadline for the rest is set.
    partial: bool,
    /// `100 Continue` was sent for this request.
    continue_sent: bool,
    /// The rest of the body of the request in progress, if it is streamed.
    remaining_body: Option<Body>,
    /// Since when the socket may hold more input than the buffer takes.
    unread_since: Option<Moment>,
    /// How long the first request may have waited in the backlog. Danger: a client's deadline runs from the last byte
    /// that it sent, so without this an attempt would tell its endpoint more remaining time than there is.
    queued_for: Span,
    /// Bytes received by the last look at a body, and the deadline for more of it.
    body_seen: u64,
    body_deadline: Option<Moment>,
    /// Since when the time for the answer to a request runs whose body is streamed.
    upload_clock: UploadClock,
    /// When it was accepted, or its last response was sent.
    waiting_since: Moment,
    /// When input last arrived, and `since` if none has.
    last_input: Moment,
    has_answered: bool,
    /// When the last response of the connection had been sent and its sending side was closed.
    finished_at: Option<Moment>,
    /// The id of the request that was answered last, if it must not run twice.
    answered_id: Option<IdHash>,
    deadline: Option<Moment>,
}

/// Why a client's connection was closed by this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// It was idle or incomplete, and made room for another connection or for the end of the process.
    Evicted,
    /// The client has disconnected, or reading or writing has failed.
    PeerClosed,
    /// The response that was streamed to it could not be completed.
    ResponseAborted,
    /// The client has read nothing of its response for too long.
    ResponseUnread,
    /// Its last response has been sent, and the client has had time to read it.
    Finished,
}

/// What an event on a client's connection led to.
pub enum ClientEvent {
    Nothing,
    Arrival {
        method: usize,
        left: Span,
        work: Option<Span>,
        frame: Frame,
    },
    Disconnected {
        request: usize,
    },
    /// There may be more of the body of the request in progress.
    BodyReadable,
    /// All that was written of the response streamed from this endpoint connection has been sent.
    ResponseSent {
        from: Key,
    },
    /// The client disconnected while that response was streamed.
    DisconnectedMidResponse {
        from: Key,
    },
    /// There may be unread input that no event will report, so the connection has to be looked at again.
    InputPending,
    /// The request's body stalled, so the request is to be answered with a timeout.
    BodyTimedOut {
        request: usize,
    },
}

/// Whether a client that waits for a response is still connected.
pub enum ClientState {
    Connected,
    Disconnected,
    /// More input has been unread, for longer than the given time, than may be read to find out.
    Unknown,
}

/// Returns the deadline for more of a body, extended by what `bytes` earn at `MIN_BODY_RATE`.
fn body_deadline(until: Option<Moment>, bytes: u64, now: Moment) -> Moment {
    let latest = now + BODY_TIMEOUT;
    let earned = Span::from_nanos(bytes * (1_000_000_000 / MIN_BODY_RATE));
    until.map_or(latest, |until| (until + earned).min(latest))
}

pub struct Clients {
    listener: Option<TcpListener>,
    slots: Slots<Client>,
    /// The ids of the requests in progress.
    open_ids: HashSet<Box<str>>,
    /// Responses to requests that were not passed on, by status.
    pub direct_responses: BTreeMap<u16, u64>,
    /// The maximum number of client connections.
    max_connections: usize,
    /// Connections may be waiting in the backlog that could not be accepted.
    pub accept_paused: bool,
    /// The last accept failed for lack of a file descriptor.
    pub lacks_descriptor: bool,
    accept_retry_at: Option<Moment>,
    /// Since when accepting has been paused without a break.
    accept_paused_since: Option<Moment>,
    /// Health checks fail so that new clients go elsewhere; connections are still served.
    failing_health_checks: bool,
    /// The process cannot serve yet, so health checks fail for now.
    starting: bool,
    /// Connections are closed between requests.
    draining: bool,
    last_accept: Moment,
    /// The earliest time at which input found in this turn of the event loop may have arrived.
    pub input_since: Moment,
    head: Vec<u8>,
}

/// Returns the maximum number of client connections out of a total.
fn max_clients(connections: usize) -> usize {
    (connections as f64 * CLIENT_CONNECTIONS_SHARE) as usize
}

fn listen(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

impl Clients {
    /// `shared`: another process may listen at the same address.
    pub fn listen(at: SocketAddr, shared: bool, turn: &mut Turn) -> io::Result<Clients> {
        let mut listener = listen(at, shared)?;
        turn.registry.register(&mut listener, Peer::Listener.token(), Interest::READABLE)?;
        Ok(Clients {
            listener: Some(listener),
            slots: Slots::default(),
            open_ids: HashSet::new(),
            direct_responses: BTreeMap::new(),
            max_connections: max_clients(turn.free_connections as usize),
            accept_paused: false,
            lacks_descriptor: false,
            accept_retry_at: None,
            accept_paused_since: None,
            failing_health_checks: false,
            starting: false,
            draining: false,
            last_accept: turn.now,
            input_since: turn.now,
            head: Vec::new(),
        })
    }

    /// The listening address. The operating system has chosen the port if it was given as 0.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// The number of client connections.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    pub fn is_closed(&self) -> bool {
        self.listener.is_none() && self.slots.is_empty()
    }

    fn close(&mut self, key: Key, why: CloseReason, turn: &mut Turn) {
        self.release_request_id(key);
        let Some(mut client) = self.slots.remove(key) else { return };
        log::debug!("client connection {} closed: {why:?} while {}", key.index(), client.stage.name());
        turn.free_connections += 1;
        turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, None);
        client.connection.close(&turn.registry);
    }

    /// Releases the id of the request in progress on this connection, if there is one.
    fn release_request_id(&mut self, key: Key) {
        let Some(client) = self.slots.get(key) else { return };
        if let Stage::Waiting { request, frame } = client.stage
            && request != NO_REQUEST
        {
            self.open_ids.remove(&request_id(frame.head_in(&client.connection.input)));
        }
    }

    fn wait_for_request(&mut self, key: Key, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        (client.stage, client.partial, client.continue_sent, client.waiting_since) =
            (Stage::Reading, false, false, turn.now);
        client.last_input = turn.now;
        (client.remaining_body, client.body_seen, client.body_deadline) =
            (None, client.connection.received, None);
        // Danger: an answer does not show that the client is still there: its end may stand behind what is unread.
        client.unread_since = client.unread_since.filter(|_| client.connection.full);
        client.upload_clock = UploadClock::default();
        self.set_deadline(key, turn.now + MAX_IDLE, turn);
    }

    fn set_deadline(&mut self, key: Key, at: Moment, turn: &mut Turn) {
        if let Some(client) = self.slots.get_mut(key) {
            turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, Some(at));
        }
    }

    /// Records that the client has closed its sending side.
    pub fn mark_peer_closed(&mut self, key: Key) {
        self.slots.get_mut(key).into_iter().for_each(|client| client.connection.ended = true);
    }

    /// Whether the client is still connected, checked before an attempt starts. Danger: a close behind more input than the
    /// socket's buffer takes raises no event. A streamed request is read on anyway, up to the close.
    pub fn check_connected(&mut self, key: Key, within: Span, now: Moment) -> ClientState {
        let Some(client) = self.slots.get_mut(key) else { return ClientState::Disconnected };
        let since = client.unread_since.filter(|_| client.remaining_body.is_none());
        if since.is_none_or(|since| now.since(since) < within) {
            return ClientState::Connected;
        }
        let limit = http::MAX_MESSAGE_BYTES + PRESENCE_READ_AHEAD;
        let io_ok = client.connection.fill(limit).is_ok();
        match () {
            _ if !io_ok || client.connection.ended => ClientState::Disconnected,
            _ if client.connection.input.len() >= limit => ClientState::Unknown,
            // All input has been read, so a close would have been noticed.
            _ => ClientState::Connected,
        }
    }

    /// Whether reading stopped at the limit, with more input possibly unread.
    pub fn is_full(&self, key: Key) -> bool {
        self.slots.get(key).is_some_and(|client| client.connection.full)
    }

    /// Reads and writes what a connection is ready for, and returns what came of it. Call it again after each
    /// response, as the next request may have arrived already.
    pub fn ready(&mut self, key: Key, terms: &Terms, turn: &mut Turn) -> ClientEvent {
        let Some(client) = self.slots.get_mut(key) else { return ClientEvent::Nothing };
        let (unsent, before) = (client.connection.unsent(), client.connection.input.len());
        let io_ok =
            client.connection.flush().is_ok() && client.connection.fill(http::MAX_MESSAGE_BYTES).is_ok();
        if client.connection.input.len() > before {
            client.last_input = turn.now;
        }
        let moved = client.connection.unsent() < unsent;
        client.unread_since = client.connection.full.then(|| client.unread_since.unwrap_or(self.input_since));
        if matches!(client.stage, Stage::Closing) {
            // Input is discarded from here on.
            client.connection.input.clear();
        }
        // A client that closes its sending side counts as disconnected.
        if !io_ok || client.connection.ended {
            let event = match client.stage {
                Stage::Waiting { request, .. } => ClientEvent::Disconnected { request },
                Stage::Forwarding { from, .. } => ClientEvent::DisconnectedMidResponse { from },
                _ => ClientEvent::Nothing,
            };
            self.close(key, CloseReason::PeerClosed, turn);
            return event;
        }
        let all_sent = client.connection.all_sent();
        if moved && !all_sent {
            self.set_deadline(key, turn.now + WRITE_TIMEOUT, turn);
        }
        let Some(client) = self.slots.get_mut(key) else { return ClientEvent::Nothing };
        match client.stage {
            Stage::Forwarding { from, .. } if all_sent => return ClientEvent::ResponseSent { from },
            Stage::Waiting { .. } if client.remaining_body.is_some() => return ClientEvent::BodyReadable,
            Stage::Closing => {
                if all_sent {
                    client.finish(turn.now);
                }
                // Danger: input left unread raises no event, and a client that is still sending would not get to read
                // its response.
                if client.connection.full {
                    return ClientEvent::InputPending;
                }
            }
            Stage::Reading if client.connection.all_sent() && !client.connection.input.is_empty() => {
                let event = self.read_request(key, terms, turn);
                // Danger: neither an event nor an endpoint's response would lead back to the input left beyond the read
                // limit.
                let unread = self.slots.get(key).is_some_and(|c| c.reading() && c.connection.full);
                return if unread && matches!(event, ClientEvent::Nothing) {
                    ClientEvent::InputPending
                } else {
                    event
                };
            }
            _ => {}
        }
        ClientEvent::Nothing
    }

    fn read_request(&mut self, key: Key, terms: &Terms, turn: &mut Turn) -> ClientEvent {
        for _ in 0..MAX_DIRECT_RESPONSES {
            let Some(client) = self.slots.get_mut(key) else { return ClientEvent::Nothing };
            let input = &mut client.connection.input;
            let read = http::request(input);
            if matches!(read, Ok(ReadState::PartialBody { .. } | ReadState::Streamed(..)))
                && !client.continue_sent
                && http::expects_continue(input)
            {
                client.continue_sent = true;
                // A failed write shows up at the next read.
                let _ = client.connection.send(&[b"HTTP/1.1 100 Continue\r\n\r\n"]);
            }
            let input = &mut client.connection.input;
            let (frame, long) = match read {
                Ok(ReadState::Complete(frame)) => (frame, None),
                Ok(ReadState::Streamed(frame, body)) => (frame, Some(body)),
                Ok(ReadState::PartialHead) => {
                    // Danger: if a first request's time limit restarted at its first byte, it would be twice as long.
                    if !std::mem::replace(&mut client.partial, true) && client.has_answered {
                        self.set_deadline(key, turn.now + HEAD_TIMEOUT, turn);
                    }
                    return ClientEvent::Nothing;
                }
                Ok(ReadState::PartialBody { .. }) => {
                    client.partial = true;
                    self.extend_body_deadline(key, turn);
                    return ClientEvent::Nothing;
                }
                Err(MessageError(status)) => {
                    self.respond_and_close(key, status, turn);
                    return ClientEvent::Nothing;
                }
            };
            let head = parse_head(frame.head_in(input), terms);
            client.remaining_body = long;
            match head {
                Ok(Parsed::Request { method, remaining, cost, id }) => {
                    // Danger: two requests with one id would be taken for retries of each other by every endpoint.
                    if self.open_ids.insert(id) {
                        turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, None);
                        let left = remaining.less(std::mem::take(&mut client.queued_for));
                        return ClientEvent::Arrival { method, left, work: cost, frame };
                    }
                    self.respond_directly(key, frame, REPEATED_ID, turn);
                }
                Ok(Parsed::Health) => {
                    let status = if self.failing_health_checks || self.starting { 503 } else { 200 };
                    self.respond_directly(key, frame, status, turn);
                }
                Err(MessageError(status)) => self.respond_directly(key, frame, status, turn),
            }
            // Danger: the responses to a client that does not read them would pile up. It is served again once they are
            // sent.
            let more = |c: &Client| c.reading() && c.connection.all_sent() && !c.connection.input.is_empty();
            if !self.slots.get(key).is_some_and(more) {
                return ClientEvent::Nothing;
            }
        }
        ClientEvent::InputPending
    }

    /// Keeps the id of a request that has been answered on this connection until `take_answered_id`. Danger: a client that
    /// has left does not read its answer, which shows only later; a request that it had sent before shows nothing.
    pub fn set_answered_id(&mut self, key: Key, id: IdHash) {
        if let Some(client) = self.slots.get_mut(key).filter(|client| client.connection.input.is_empty()) {
            client.answered_id = Some(id);
        }
    }

    /// The id of the request before, once another has come on this connection: its client has read the answer.
    pub fn take_answered_id(&mut self, key: Key) -> Option<IdHash> {
        self.slots.get_mut(key)?.answered_id.take()
    }

    /// The id of the request in this frame.
    pub fn id_in(&self, key: Key, frame: Frame) -> Box<str> {
        self.slots
            .get(key)
            .map(|client| request_id(frame.head_in(&client.connection.input)))
            .unwrap_or_default()
    }

    /// Answers a request that has arrived with an id that was sent before.
    pub fn answer_repeated(&mut self, key: Key, frame: Frame, turn: &mut Turn) {
        self.open_ids.remove(&self.id_in(key, frame));
        self.respond_directly(key, frame, REPEATED_ID, turn);
    }

    /// Writes a response of the sidecar's own to the request in this frame.
    fn respond_directly(&mut self, key: Key, frame: Frame, status: u16, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        log::debug!("client connection {}: answered {status} directly", key.index());
        *self.direct_responses.entry(status).or_default() += 1;
        client.stage = Stage::Waiting { request: NO_REQUEST, frame };
        let head = |out: &mut Vec<u8>, keep| http::write_own_response(out, status, None, keep);
        self.respond(key, head, b"", turn);
    }

    /// The same for input whose end is unknown, so the connection is closed after it.
    fn respond_and_close(&mut self, key: Key, status: u16, turn: &mut Turn) {
        let Some(client) = self.slots.get(key) else { return };
        let frame = Frame { head: 0, body: 0, end: client.connection.input.len(), keep: false };
        self.respond_directly(key, frame, status, turn);
    }

    /// Records that the connection now waits for the response to this request.
    pub fn wait_for_response(&mut self, key: Key, request: usize, frame: Frame) {
        if let Some(client) = self.slots.get_mut(key) {
            client.stage = Stage::Waiting { request, frame };
        }
    }

    /// The request in progress on this connection, as it is sent to an endpoint.
    pub fn message(&self, key: Key) -> Option<OutgoingRequest<'_>> {
        let client = self.slots.get(key)?;
        let Stage::Waiting { frame, .. } = client.stage else { return None };
        let input = &client.connection.input;
        let streamed_body =
            client.remaining_body.as_ref().map(|body| body.length().map_or(Length::Chunked, Length::Known));
        Some(OutgoingRequest { head: frame.head_in(input), body: frame.body_in(input), streamed_body })
    }

    /// The id of the request in progress on this connection.
    pub fn request_id(&self, key: Key) -> Box<str> {
        self.message(key).map(|message| request_id(message.head)).unwrap_or_default()
    }

    /// Responds to the request in progress. `head` writes the response's head; its argument says whether the connection
    /// stays open.
    pub fn respond(&mut self, key: Key, head: impl FnOnce(&mut Vec<u8>, bool), body: &[u8], turn: &mut Turn) {
        self.release_request_id(key);
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Waiting { frame, .. } = client.stage else { return };
        let keep = client.keeps_alive(frame) && !self.draining;
        self.head.clear();
        head(&mut self.head, keep);
        client.connection.consume(frame.end);
        (client.stage, client.has_answered) = (Stage::Closing, true);
        if client.connection.send(&[&self.head, body]).is_err() {
            return self.close(key, CloseReason::PeerClosed, turn);
        }
        self.after_response(key, keep, turn);
    }

    /// A response has been sent, or is queued until the client reads it.
    fn after_response(&mut self, key: Key, keep: bool, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let all_sent = client.connection.all_sent();
        if keep {
            self.wait_for_request(key, turn);
        } else if all_sent {
            // Danger: closing a socket with unread input resets it, and the response itself could be lost.
            client.finish(turn.now);
        }
        if !(keep && all_sent) {
            self.set_deadline(key, turn.now + if all_sent { CLOSE_TIMEOUT } else { WRITE_TIMEOUT }, turn);
        }
    }

    /// Whether the connection may hold input that no event will report: a request that has not been parsed yet, or what is
    /// to be discarded.
    pub fn has_pending_input(&self, key: Key) -> bool {
        self.slots.get(key).is_some_and(|client| match client.stage {
            Stage::Reading => client.connection.full || !client.connection.input.is_empty(),
            Stage::Closing => client.connection.full,
            _ => false,
        })
    }

    /// Handles a connection whose deadline has passed.
    pub fn timed_out(&mut self, key: Key, turn: &mut Turn) -> ClientEvent {
        let Some(client) = self.slots.get_mut(key) else { return ClientEvent::Nothing };
        client.deadline = None;
        match client.stage {
            _ if client.idle() => {
                if self.close_unless_input(key, turn) {
                    return ClientEvent::Nothing;
                }
                // Danger: the input just found may be a partial request, which would be left without a deadline.
                self.set_deadline(key, turn.now + DRAIN_IDLE_TIMEOUT, turn);
                return ClientEvent::InputPending;
            }
            // A partial request was never accepted, so it may be retried: a draining process answers 503.
            _ if client.has_partial_request() => {
                self.respond_and_close(key, if self.draining { 503 } else { 408 }, turn)
            }
            Stage::Waiting { request, .. } if client.remaining_body.is_some() => {
                return ClientEvent::BodyTimedOut { request };
            }
            Stage::Forwarding { from, .. } => {
                self.close(key, CloseReason::ResponseUnread, turn);
                return ClientEvent::DisconnectedMidResponse { from };
            }
            _ => {
                let why = if client.connection.all_sent() {
                    CloseReason::Finished
                } else {
                    CloseReason::ResponseUnread
                };
                self.close(key, why, turn);
            }
        }
        ClientEvent::Nothing
    }
}

impl Client {
    /// Whether the connection may carry another request after this one: not while part of its body is unread.
    fn keeps_alive(&self, frame: Frame) -> bool {
        frame.keep && self.remaining_body.as_ref().is_none_or(Body::is_complete)
    }

    /// Closes the sending side behind the last response.
    fn finish(&mut self, now: Moment) {
        self.connection.finish();
        self.finished_at.get_or_insert(now);
    }

    fn reading(&self) -> bool {
        matches!(self.stage, Stage::Reading)
    }

    /// Whether part of a request has been received.
    fn has_partial_request(&self) -> bool {
        self.partial && self.reading()
    }

    fn idle(&self) -> bool {
        self.reading() && self.connection.all_sent() && self.connection.input.is_empty()
    }
}

#[cfg(test)]
mod tests;
