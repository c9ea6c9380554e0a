//! Client connections: the listener, incoming requests and their responses. A connection carries one request at a time.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;

use appledyke::terms::{Effect, Terms};
use appledyke::units::{Moment, Span};
use mio::Interest;
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

use super::Turn;
use super::body::{Body, Piece};
use super::connection::{self, Connection};
use super::deadlines::Due;
use super::http::{self, Frame, Length, MessageError, ReadState};
use super::servers::OutgoingRequest;
use super::slots::{Key, Peer, Slots};

/// The label with the estimated cost of a request, in nanoseconds.
const COST_LABEL: &str = "costGuessNs";
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
/// The number of full buffers to read and discard per event on a connection that is being closed.
const MAX_DISCARD_READS: usize = 64;
/// Bytes to read beyond a message to find out whether the client has closed the connection behind them.
const PRESENCE_READ_AHEAD: usize = 16 * 1024;
/// The listener's backlog. Danger: when it is full, the connect of a health check is dropped, and the peer's kernel
/// retries it only after 1, 3 and 7 s.
const BACKLOG: i32 = 1024;
/// Delay before accepting is retried after no connection was free.
const ACCEPT_RETRY: Span = Span::from_millis(100);

/// Used in place of a request's index for a response that the sidecar writes itself.
const NO_REQUEST: usize = usize::MAX;
/// The header with the request's id.
const ID_HEADER: &str = "X-Txn";

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

struct Client {
    connection: Connection,
    stage: Stage,
    /// Part of a request has been received, and a deadline for the rest is set.
    partial: bool,
    /// `100 Continue` was sent for this request.
    continue_sent: bool,
    /// The rest of the body of the request in progress, if it is streamed.
    remaining_body: Option<Body>,
    /// Since when, during this request, the socket may hold more input than the buffer takes.
    unread_since: Option<Moment>,
    /// How long the first request may have waited in the backlog. Danger: a client's deadline runs from the last byte
    /// that it sent, so without this an attempt would tell its endpoint more remaining time than there is.
    queued_for: Span,
    /// Input length at the last look at a body, and the deadline for more of it.
    body_seen: usize,
    body_deadline: Option<Moment>,
    /// When it was accepted, or its last response was sent.
    waiting_since: Moment,
    /// When input last arrived, and `since` if none has.
    last_input: Moment,
    has_answered: bool,
    deadline: Option<Moment>,
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
fn body_deadline(until: Option<Moment>, bytes: usize, now: Moment) -> Moment {
    let latest = now + BODY_TIMEOUT;
    let earned = Span::from_nanos(bytes as u64 * (1_000_000_000 / MIN_BODY_RATE));
    until.map_or(latest, |until| (until + earned).min(latest))
}

pub struct Clients {
    listener: Option<TcpListener>,
    slots: Slots<Client>,
    /// The ids of the requests in progress.
    open_ids: HashSet<Box<str>>,
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
    /// Connections are closed between requests.
    draining: bool,
    last_accept: Moment,
    /// The earliest time at which input found in this turn of the event loop may have arrived.
    pub input_since: Moment,
    head: Vec<u8>,
}

/// What a request head asks for.
enum Parsed {
    Health,
    Request { method: usize, remaining: Span, cost: Option<Span>, id: Box<str> },
}

fn request_id(head: &[u8]) -> Box<str> {
    http::with_request(head, |request| http::find_header(request.headers, ID_HEADER).unwrap_or("").into())
        .unwrap_or_default()
}

fn parse_head(head: &[u8], terms: &Terms) -> Result<Parsed, MessageError> {
    let read = |request: &httparse::Request| {
        let (verb, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
        let path = http::origin_form(target).split('?').next().unwrap_or("");
        if path == "/healthz" {
            return if verb == "GET" { Ok(Parsed::Health) } else { Err(MessageError(405)) };
        }
        let text = |name| http::single_header(request.headers, name);
        let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let name = text("X-Lane")?.unwrap_or(first);
        let method = terms.method_index(name).filter(|_| name == first).ok_or(MessageError(404))?;
        let m = &terms.methods[method];
        if (verb == "GET") != (m.effect == Effect::Retryable) {
            return Err(MessageError(405));
        }
        // Danger: if endpoints cannot recognize a retried request by its id or key, its effect could happen twice.
        let required = |name| text(name)?.filter(|value| !value.is_empty()).ok_or(MessageError(400));
        let id = required(ID_HEADER)?.into();
        if m.effect == Effect::Deduplicated {
            required("Idempotency-Key")?;
        }
        let remaining = match text("X-Remaining-Ms")? {
            None => m.deadline,
            Some(millis) if !millis.bytes().all(|byte| byte.is_ascii_digit()) => {
                return Err(MessageError(400));
            }
            Some(millis) => {
                millis.parse().map(Span::from_millis).map_err(|_| MessageError(400))?.min(m.deadline)
            }
        };
        // The cost is a hint: a value that does not parse is ignored and does not fail the request.
        let labels = text("X-Labels").ok().flatten().unwrap_or("");
        let mut labels = labels.split(',').filter_map(|label| label.trim().split_once('='));
        let cost = labels.find(|(name, _)| *name == COST_LABEL).and_then(|(_, nanos)| nanos.parse().ok());
        Ok(Parsed::Request { method, remaining, cost: cost.map(Span::from_nanos), id })
    };
    http::with_request(head, read).unwrap_or(Err(MessageError(400)))
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
            max_connections: max_clients(turn.free_connections as usize),
            accept_paused: false,
            lacks_descriptor: false,
            accept_retry_at: None,
            accept_paused_since: None,
            failing_health_checks: false,
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

    /// Accepts all waiting connections, closing idle ones where no connection is free. Returns the connections that were
    /// to be closed but turned out to have unread input.
    pub fn accept(&mut self, turn: &mut Turn) -> Vec<Key> {
        let mut with_input = Vec::new();
        self.accept_paused = false;
        let lacked_before = std::mem::take(&mut self.lacks_descriptor);
        // Danger: if the whole machine is out of descriptors, other processes take each one freed here, and every connection
        // would be closed for nothing. So only one is evicted per accepted connection.
        let mut may_evict = true;
        loop {
            // One connection above the maximum is accepted, because only then is it known that another must be evicted.
            let full = turn.free_connections < 0 || self.slots.len() > self.max_connections;
            if full && !self.evict_for(true, turn, &mut with_input) {
                self.pause_accepting(turn);
                break;
            }
            let Some(listener) = &self.listener else { break };
            let stream = match connection::accept(listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => break,
                Err(e) => {
                    self.lacks_descriptor = connection::lacks_descriptor(&e);
                    let evict = self.lacks_descriptor && std::mem::take(&mut may_evict);
                    if evict && self.evict_for(true, turn, &mut with_input) {
                        continue;
                    }
                    // Danger: logged at every retry, this would crowd all other lines out of the log.
                    if !(lacked_before && self.lacks_descriptor) {
                        log::warn!("accept: {e}");
                    }
                    self.pause_accepting(turn);
                    break;
                }
            };
            (self.last_accept, may_evict) = (turn.now, true);
            self.lacks_descriptor = false;
            // Danger: its input may be as old as its time in the backlog, and the client may have disconnected since.
            let unread_since = Some(self.accept_paused_since.unwrap_or(self.input_since));
            let queued_for = self.accept_paused_since.map_or(Span::ZERO, |since| turn.now.since(since));
            let added = self.slots.insert_with(|key| {
                let connection = Connection::from_stream(stream, &turn.registry, Peer::Client(key).token())?;
                let stage = Stage::Reading;
                Ok::<_, io::Error>(Client {
                    connection,
                    stage,
                    partial: false,
                    continue_sent: false,
                    remaining_body: None,
                    unread_since,
                    queued_for,
                    body_seen: 0,
                    body_deadline: None,
                    waiting_since: turn.now,
                    last_input: turn.now,
                    has_answered: false,
                    deadline: None,
                })
            });
            match added {
                Ok(key) => {
                    turn.free_connections -= 1;
                    self.set_deadline(key, turn.now + HEAD_TIMEOUT, turn);
                }
                Err(e) => log::warn!("client: {e}"),
            }
        }
        if !self.accept_paused {
            self.accept_paused_since = None;
        }
        with_input
    }

    /// Schedules another try to accept. Danger: waiting connections raise no further event, and retrying at once would spin.
    fn pause_accepting(&mut self, turn: &mut Turn) {
        self.accept_paused = true;
        self.accept_paused_since.get_or_insert(turn.now);
        turn.deadlines.reschedule(Due::Accept, &mut self.accept_retry_at, Some(turn.now + ACCEPT_RETRY));
    }

    /// Closes the connection that has been idle for longest, and otherwise the one with a partial request that has sent
    /// nothing for longest. Danger: clients that never complete a request could otherwise keep all others out.
    pub fn evict(&mut self, turn: &mut Turn, with_input: &mut Vec<Key>) -> bool {
        self.evict_for(false, turn, with_input)
    }

    fn evict_for(&mut self, new_client: bool, turn: &mut Turn, with_input: &mut Vec<Key>) -> bool {
        let crowded = self.accept_paused_since.is_some_and(|since| turn.now.since(since) >= EVICTION_GRACE);
        loop {
            let evictable = self.slots.iter().filter(|(_, c)| c.is_evictable(turn.now, crowded, new_client));
            let evictable = evictable.filter(|(key, _)| !with_input.contains(key));
            let Some((key, _)) = evictable.min_by_key(|(_, c)| (c.has_partial_request(), c.last_input))
            else {
                return false;
            };
            if self.close_unless_input(key, turn) {
                return true;
            }
            with_input.push(key);
        }
    }

    /// Closes a connection that waits for a request, unless a last read finds input. Danger: a request that has already
    /// reached the kernel counts as accepted. A client that has sent part of a request gets a 503 with Retry-After.
    fn close_unless_input(&mut self, key: Key, turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get_mut(key) else { return false };
        let before = client.connection.input.len();
        let io_ok = client.connection.fill(http::MAX_MESSAGE_BYTES).is_ok() && !client.connection.ended;
        let close = !io_ok || client.connection.input.len() == before;
        if !close {
            client.last_input = turn.now;
            return false;
        }
        if io_ok && client.has_partial_request() {
            self.head.clear();
            http::write_own_response(&mut self.head, 503, Some(ACCEPT_RETRY), false);
            // All input has been read, so the close does not reset the connection and the response arrives; if the write
            // fails, the client has disconnected.
            let _ = client.connection.send(&[&self.head]);
        }
        self.close(key, turn);
        true
    }

    fn close(&mut self, key: Key, turn: &mut Turn) {
        self.release_request_id(key);
        let Some(mut client) = self.slots.remove(key) else { return };
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
        (client.remaining_body, client.unread_since, client.body_seen, client.body_deadline) =
            (None, None, 0, None);
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
            // Input is discarded from here on. Danger: input left unread raises no event, and a client that is still
            // sending would not get to read its response.
            for _ in 0..MAX_DISCARD_READS {
                client.connection.input.clear();
                if !client.connection.full || client.connection.fill(http::MAX_MESSAGE_BYTES).is_err() {
                    break;
                }
            }
            client.connection.input.clear();
        }
        // A client that closes its sending side counts as disconnected.
        if !io_ok || client.connection.ended {
            let event = match client.stage {
                Stage::Waiting { request, .. } => ClientEvent::Disconnected { request },
                Stage::Forwarding { from, .. } => ClientEvent::DisconnectedMidResponse { from },
                _ => ClientEvent::Nothing,
            };
            self.close(key, turn);
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
            Stage::Closing if client.connection.all_sent() => client.connection.finish(),
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
        loop {
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
                    let more =
                        input.len() - std::mem::replace(&mut client.body_seen, input.len()).min(input.len());
                    let until = body_deadline(client.body_deadline, more, turn.now);
                    client.body_deadline = Some(until);
                    self.set_deadline(key, until, turn);
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
                    self.respond_directly(key, frame, 409, turn);
                }
                Ok(Parsed::Health) => {
                    let status = if self.failing_health_checks { 503 } else { 200 };
                    self.respond_directly(key, frame, status, turn);
                }
                Err(MessageError(status)) => self.respond_directly(key, frame, status, turn),
            }
            let more = |c: &Client| c.reading() && !c.connection.input.is_empty();
            if !self.slots.get(key).is_some_and(more) {
                return ClientEvent::Nothing;
            }
        }
    }

    /// Writes a response of the sidecar's own to the request in this frame.
    fn respond_directly(&mut self, key: Key, frame: Frame, status: u16, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
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
    pub fn next_piece(&mut self, key: Key, turn: &mut Turn) -> Piece {
        let Some(client) = self.slots.get_mut(key) else { return Piece::Truncated };
        let (Stage::Waiting { frame, .. }, Some(body)) = (&client.stage, &mut client.remaining_body) else {
            return Piece::Truncated;
        };
        // Danger: the last bytes from a client that has disconnected could complete its request, which would then run.
        let piece = body.next(&mut client.connection, frame.end, false);
        let until = match piece {
            Piece::Pending => Some(body_deadline(client.body_deadline, 0, turn.now)),
            Piece::End => None,
            _ => return piece,
        };
        client.body_deadline = until;
        turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, until);
        piece
    }

    pub fn bytes(&self, key: Key, range: &Range<usize>) -> &[u8] {
        self.slots.get(key).map_or(&[], |client| &client.connection.input[range.clone()])
    }

    /// Drops a piece of the body that has been forwarded, and extends the deadline for the next.
    pub fn consume_piece(&mut self, key: Key, range: &Range<usize>, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Waiting { frame, .. } = client.stage else { return };
        client.connection.consume_at(frame.end, range.end - frame.end);
        client.body_deadline = Some(body_deadline(client.body_deadline, range.len(), turn.now));
    }

    /// Stops the clock for the body while the endpoint has not taken what was written: the client is not to blame.
    pub fn pause_body_timeout(&mut self, key: Key, turn: &mut Turn) {
        if let Some(client) = self.slots.get_mut(key) {
            client.body_deadline = None;
            turn.deadlines.reschedule(Due::Client(key), &mut client.deadline, None);
        }
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
            self.close(key, turn);
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
            return self.close(key, turn);
        }
        client.stage = Stage::Closing;
        let (end, _) = http::chunk_framing(length, None);
        if client.connection.send(&[end.as_bytes()]).is_err() {
            return self.close(key, turn);
        }
        self.after_response(key, keep, turn);
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
            return self.close(key, turn);
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
            client.connection.finish();
        }
        if !(keep && all_sent) {
            self.set_deadline(key, turn.now + if all_sent { CLOSE_TIMEOUT } else { WRITE_TIMEOUT }, turn);
        }
    }

    /// Whether the connection may hold a request that has not been parsed yet.
    pub fn may_hold_request(&self, key: Key) -> bool {
        let more = |c: &Client| c.reading() && (c.connection.full || !c.connection.input.is_empty());
        self.slots.get(key).is_some_and(more)
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
                self.close(key, turn);
                return ClientEvent::DisconnectedMidResponse { from };
            }
            _ => self.close(key, turn),
        }
        ClientEvent::Nothing
    }

    /// Fails health checks from now on, so that new clients go elsewhere.
    pub fn fail_health_checks(&mut self) {
        self.failing_health_checks = true;
    }

    /// Passes health checks and keeps connections open again.
    pub fn resume(&mut self) {
        (self.failing_health_checks, self.draining) = (false, false);
    }

    /// Whether there are no connections and none has been accepted recently.
    pub fn is_quiet(&self, turn: &Turn) -> bool {
        self.slots.is_empty() && turn.now.since(self.last_accept) >= DRAIN_IDLE_TIMEOUT
    }

    /// Sets the total number of connections, of which clients have their share.
    pub fn resize(&mut self, connections: usize) {
        self.max_connections = max_clients(connections);
    }

    /// Leaves new connections to another process: accepts all of the backlog and stops listening. Connections close with
    /// their next response. Returns those that have unread input.
    pub fn hand_over(&mut self, turn: &mut Turn) -> Vec<Key> {
        self.draining = true;
        let with_input = self.accept(turn);
        self.stop_listening(turn);
        with_input
    }

    /// Closes connections between requests, also those still to be accepted. Call it until none is left or
    /// connections may stay open again. Returns those that have unread input.
    pub fn drain(&mut self, turn: &mut Turn) -> Vec<Key> {
        self.draining = true;
        let with_input = self.accept(turn);
        // The next request may be on its way to any of them, so each has a short time for it.
        let between = self.slots.iter().filter_map(|(key, c)| {
            let until = match c {
                _ if c.idle() => turn.now + DRAIN_IDLE_TIMEOUT,
                _ if c.has_partial_request() => turn.now + DRAIN_PARTIAL_TIMEOUT,
                _ => return None,
            };
            c.deadline.is_none_or(|at| at > until).then_some((key, until))
        });
        for (key, until) in between.collect::<Vec<_>>() {
            self.set_deadline(key, until, turn);
        }
        with_input
    }

    /// The drain's time is over: closes connections that wait for a request and answers partial requests with 503. Returns
    /// those that have unread input. Danger: a request completed after this last read gets no response.
    pub fn drain_now(&mut self, turn: &mut Turn) -> Vec<Key> {
        let mut with_input = self.drain(turn);
        let between = self.slots.iter().filter(|(_, c)| c.idle() || c.has_partial_request());
        for (key, has_partial_request) in
            between.map(|(key, c)| (key, c.has_partial_request())).collect::<Vec<_>>()
        {
            if has_partial_request {
                self.respond_and_close(key, 503, turn);
            } else if !self.close_unless_input(key, turn) {
                with_input.push(key);
            }
        }
        with_input
    }

    /// Stops listening, unless accepting is paused with connections still in the backlog.
    pub fn stop_listening(&mut self, turn: &mut Turn) {
        if let Some(mut listener) = self.listener.take_if(|_| !self.accept_paused) {
            let _ = turn.registry.deregister(&mut listener);
        }
    }
}

impl Client {
    /// Whether the connection may carry another request after this one: not while part of its body is unread.
    fn keeps_alive(&self, frame: Frame) -> bool {
        frame.keep && self.remaining_body.as_ref().is_none_or(Body::is_complete)
    }

    /// Whether the connection may be closed to free it for another. Danger: a first request that arrives just after the
    /// close is lost, as clients do not retry it. On a connection that has carried a request before, they do.
    fn is_evictable(&self, now: Moment, crowded: bool, for_new_client: bool) -> bool {
        if self.idle() && self.has_answered {
            return now > self.waiting_since;
        }
        let (paused, old) =
            (now.since(self.last_input) >= MAX_PAUSE, now.since(self.waiting_since) >= EVICTION_GRACE);
        // Danger: a new client may be one of a crowd, and slow writers would be evicted for it. For a complete request,
        // which matters more, age alone suffices.
        let evictable = if for_new_client { paused && (crowded || old) } else { old || paused && crowded };
        (self.idle() || self.has_partial_request()) && evictable
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
mod tests {
    use super::*;

    #[test]
    fn cost_label_is_parsed_and_an_invalid_one_is_ignored() {
        let terms = crate::config::plain_terms("view", &[]);
        for (labels, wanted) in [
            ("X-Labels: size=3, costGuessNs=12000000\r\n", Some(Span::from_millis(12))),
            ("X-Labels: costGuessNs=-1\r\n", None),
            ("X-Labels: costGuessNs=1\r\nX-Labels: costGuessNs=2\r\n", None),
            ("", None),
        ] {
            let head = format!("GET /view HTTP/1.1\r\nX-Txn: 1\r\n{labels}\r\n");
            let Ok(Parsed::Request { cost, .. }) = parse_head(head.as_bytes(), &terms) else {
                panic!("rejected: {labels}")
            };
            assert_eq!(cost, wanted, "{labels}");
        }
    }

    /// Danger: a connection whose deadline passed just as its first byte arrived was left without a deadline and was never
    /// closed.
    #[test]
    fn partial_request_found_when_its_connection_times_out_gets_a_deadline() {
        let poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let now = Moment::from_nanos(1);
        let mut turn = Turn { now, registry, deadlines: Default::default(), free_connections: 8 };
        let mut clients = Clients::listen("127.0.0.1:0".parse().unwrap(), false, &mut turn).unwrap();
        let mut peer = std::net::TcpStream::connect(clients.address().unwrap()).unwrap();
        while clients.count() == 0 {
            clients.accept(&mut turn);
        }
        turn.now = turn.now + HEAD_TIMEOUT;
        let Some(Due::Client(key)) = turn.deadlines.pop(turn.now) else {
            panic!("the client's deadline is due")
        };
        // No event has been handled for these bytes.
        io::Write::write_all(&mut peer, b"GET /vi").unwrap();
        while clients.slots.get(key).unwrap().connection.input.is_empty() {
            clients.slots.get_mut(key).unwrap().connection.fill(1).unwrap();
        }
        clients.slots.get_mut(key).unwrap().connection.input.clear();
        assert!(matches!(clients.timed_out(key, &mut turn), ClientEvent::InputPending));
        let terms = crate::config::plain_terms("view", &[]);
        assert!(matches!(clients.ready(key, &terms, &mut turn), ClientEvent::Nothing));
        assert!(turn.deadlines.next().is_some_and(|at| at.since(turn.now) <= DRAIN_IDLE_TIMEOUT));
    }

    /// Danger: input beyond the read limit raises no event, and was left unread when all requests before it were answered
    /// without an endpoint.
    #[test]
    fn pipelined_requests_beyond_the_read_limit_are_all_answered_without_an_endpoint() {
        let mut poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let mut turn =
            Turn { now: Moment::from_nanos(1), registry, deadlines: Default::default(), free_connections: 8 };
        let mut clients = Clients::listen("127.0.0.1:0".parse().unwrap(), false, &mut turn).unwrap();
        // Accepted connections inherit the buffer size from their listener.
        socket2::SockRef::from(clients.listener.as_ref().unwrap()).set_recv_buffer_size(1 << 20).unwrap();
        let mut peer = std::net::TcpStream::connect(clients.address().unwrap()).unwrap();
        const REQUESTS: usize = 3000;
        let requests = "GET /none HTTP/1.1\r\nX-Txn: 1\r\n\r\n".repeat(REQUESTS);
        assert!(requests.len() > http::MAX_MESSAGE_BYTES);
        io::Write::write_all(&mut peer, requests.as_bytes()).unwrap();
        peer.set_nonblocking(true).unwrap();
        while clients.count() == 0 {
            clients.accept(&mut turn);
        }
        let (key, _) = clients.slots.iter().next().unwrap();
        let terms = crate::config::plain_terms("view", &[]);
        let (mut events, mut answers) = (mio::Events::with_capacity(8), String::new());
        let mut again = false;
        while answers.matches("HTTP/1.1 404 ").count() < REQUESTS {
            if !again {
                poll.poll(&mut events, Some(std::time::Duration::from_secs(2))).unwrap();
                assert!(!events.is_empty(), "no event for the remaining requests");
            }
            again = matches!(clients.ready(key, &terms, &mut turn), ClientEvent::InputPending);
            let _ = io::Read::read_to_string(&mut peer, &mut answers);
        }
    }
}
