//! The clients' side: the listener, requests in, answers out. One request at a time on a connection.

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
use super::http::{self, Bad, Frame, Length, Read};
use super::servers::Message;
use super::slots::{Key, Peer, Slots};

/// The label that tells a request's work, in nanoseconds.
const WORK: &str = "costGuessNs";
/// Part of all connections that clients may take. Danger: with none left for endpoints nothing can be served.
const CLIENTS_SHARE: f64 = 0.75;
/// How long a connection may stand idle between requests: longer than most clients pause, and those that ask once
/// and never close are not to fill the house.
const IDLE_MOST: Span = Span::from_millis(10_000);
/// In which a new connection must have brought a whole head, any other from its first byte on: a client may take
/// 2 s for it, and who says nothing, or never ends one, is owed an end within 3 s.
const HEAD_IN: Span = Span::from_millis(2600);
/// How long a body may bring nothing, and the rate that it has to keep up over that, in bytes a second: half of the
/// slowest that is expected. Danger: who brings a byte at a time would hold a place for hours.
const BODY_SILENT: Span = Span::from_millis(2000);
const BODY_RATE: u64 = 32_000;
/// How long a client may take nothing of its answer: peers take seconds to read.
const UNREAD_MOST: Span = Span::from_millis(15_000);
/// How long a connection that is being closed may take to read its last answer.
const LINGER: Span = Span::from_millis(1000);
/// How long a connection may bring its next request once connections part: it was opened for one.
const LEAVE_IDLE: Span = Span::from_millis(300);
/// The same for the rest of a request that it has begun: clients may be slow.
const LEAVE_BEGUN: Span = Span::from_millis(1200);
/// How long a new connection, or one with part of a request, is safe from making room: the rest is on its way.
const FRESH: Span = Span::from_millis(1000);
/// Once others have waited outside for `FRESH` on end, only who has brought something within this time is. Danger: a crowd
/// that rests, silent or with half a head, goes through the places once in that time, and whoever asks for health waits
/// behind all of it. Age alone would take those first that write slowly: for a new client none goes that has not paused so long.
const PAUSE_MOST: Span = Span::from_millis(100);
/// In which the health check is answered behind a crowd that fills the backlog: the shortest time by which an answer of it
/// has to have been heard, after a drain. And the fewest places of clients that this holds for: what 256 descriptors
/// leave them, the least that is expected, while two processes share these.
const HEALTH_IN: Span = Span::from_millis(4000);
const PLACES_LEAST: u64 = 80;
const _: () = {
    let fillings = (BACKLOG as u64).div_ceil(PLACES_LEAST);
    let each = PAUSE_MOST.nanos() + ACCEPT_AGAIN.nanos();
    assert!(FRESH.nanos() + fillings * each <= HEALTH_IN.nanos());
};
/// Buffers that are read and thrown away at one event, of a connection that is being closed.
const DISCARD_TURNS: usize = 64;
/// Bytes that are read beyond a message to find whether a client's end stands behind them.
const SIGHT_MORE: usize = 16 * 1024;
/// Connections that may wait to be taken. Danger: the connect of a health check that finds it full is lost, and made again
/// by its machine after 1, 3 and 7 s.
const BACKLOG: i32 = 1024;
/// Until accepting is tried again where there was no room.
const ACCEPT_AGAIN: Span = Span::from_millis(100);

/// Stands for a request where a connection has an answer due that is not of one.
const NO_REQUEST: usize = usize::MAX;
/// The header that holds a request's id.
const ID: &str = "X-Txn";

enum Stage {
    Reading,
    Waiting {
        request: usize,
        frame: Frame,
    },
    /// Its answer passes through, from this connection of an endpoint.
    Passing {
        from: Key,
        keep: bool,
        length: Length,
    },
    /// The last answer is out, or on its way.
    Closing,
}

struct Client {
    connection: Connection,
    stage: Stage,
    /// Part of a request has come, and there is a time for the rest.
    timed: bool,
    /// Leave to send a body was given.
    leave_given: bool,
    /// What is still to come of the request that it waits for, behind the head, where that is long.
    coming: Option<Body>,
    /// Since when, with this request, more may stand unread than is taken from it.
    full_since: Option<Moment>,
    /// How long its first request may have waited outside to be taken. Danger: its time runs from its last byte, and an
    /// attempt would tell its endpoint more than is left of it.
    waited: Span,
    /// How much had come at the last look at a body, and by when there must be more.
    seen: usize,
    body_until: Option<Moment>,
    /// When it came, or was last answered.
    since: Moment,
    /// When it has brought something last, or since then.
    heard: Moment,
    answered: bool,
    deadline: Option<Moment>,
}

/// What a client's connection brought.
pub enum Said {
    Nothing,
    Arrival {
        method: usize,
        left: Span,
        work: Option<Span>,
        frame: Frame,
    },
    Hangup {
        request: usize,
    },
    /// More of the body of the request that it waits for.
    More,
    /// It has taken what was there of the answer that passes from this connection.
    Takes {
        from: Key,
    },
    /// It has gone in the middle of that.
    Gone {
        from: Key,
    },
    /// It has brought something while its time ran out.
    Brought,
    /// Its body fell silent: the request that it waits for is to be answered so.
    Silent {
        request: usize,
    },
}

/// Whether a client that waits for an answer is there.
pub enum Sight {
    Here,
    Left,
    /// More stands unread, for longer than asked about, than this side may read to know.
    Unknown,
}

/// Until when more of a body must have come, now that so many bytes have.
fn body_until(until: Option<Moment>, bytes: usize, now: Moment) -> Moment {
    let most = now + BODY_SILENT;
    let earned = Span::from_nanos(bytes as u64 * (1_000_000_000 / BODY_RATE));
    until.map_or(most, |until| (until + earned).min(most))
}

pub struct Clients {
    listener: Option<TcpListener>,
    slots: Slots<Client>,
    /// The ids of the requests that clients wait for.
    open: HashSet<Box<str>>,
    /// Most connections that clients may take.
    most: usize,
    /// Connections may be waiting that could not be taken.
    pub held_back: bool,
    /// There was no descriptor for one.
    pub lacks_descriptor: bool,
    accept_at: Option<Moment>,
    /// Since when some have been held back all the time.
    held_since: Option<Moment>,
    /// New clients are to go elsewhere, but those that come are served.
    away: bool,
    /// Connections close between requests.
    parting: bool,
    last_accept: Moment,
    /// Since when what a turn finds may have stood there.
    pub came_since: Moment,
    head: Vec<u8>,
}

/// What a request's head asks for.
enum Asked {
    Health,
    Request { method: usize, left: Span, work: Option<Span>, id: Box<str> },
}

fn id(head: &[u8]) -> Box<str> {
    http::with_request(head, |request| http::find(request.headers, ID).unwrap_or("").into())
        .unwrap_or_default()
}

fn asked(head: &[u8], terms: &Terms) -> Result<Asked, Bad> {
    let read = |request: &httparse::Request| {
        let (verb, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
        let path = http::origin_form(target).split('?').next().unwrap_or("");
        if path == "/healthz" {
            return if verb == "GET" { Ok(Asked::Health) } else { Err(Bad(405)) };
        }
        let text = |name| http::only(request.headers, name);
        let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let name = text("X-Lane")?.unwrap_or(first);
        let method = terms.method_index(name).filter(|_| name == first).ok_or(Bad(404))?;
        let m = &terms.methods[method];
        if (verb == "GET") != (m.effect == Effect::Retryable) {
            return Err(Bad(405));
        }
        // Danger: a request that no endpoint can tell from its repeats would have its effect twice.
        let mark = |name| text(name)?.filter(|mark| !mark.is_empty()).ok_or(Bad(400));
        let id = mark(ID)?.into();
        if m.effect == Effect::Deduplicated {
            mark("Idempotency-Key")?;
        }
        let left = match text("X-Remaining-Ms")? {
            None => m.deadline,
            Some(millis) if !millis.bytes().all(|byte| byte.is_ascii_digit()) => return Err(Bad(400)),
            Some(millis) => millis.parse().map(Span::from_millis).map_err(|_| Bad(400))?.min(m.deadline),
        };
        // A hint that cannot be read is none: it is not for a client's figure to cost it its answer.
        let labels = text("X-Labels").ok().flatten().unwrap_or("");
        let mut labels = labels.split(',').filter_map(|label| label.trim().split_once('='));
        let work = labels.find(|(name, _)| *name == WORK).and_then(|(_, nanos)| nanos.parse().ok());
        Ok(Asked::Request { method, left, work: work.map(Span::from_nanos), id })
    };
    http::with_request(head, read).unwrap_or(Err(Bad(400)))
}

/// Most connections of clients among so many.
fn most(connections: usize) -> usize {
    (connections as f64 * CLIENTS_SHARE) as usize
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
            open: HashSet::new(),
            most: most(turn.room as usize),
            held_back: false,
            lacks_descriptor: false,
            accept_at: None,
            held_since: None,
            away: false,
            parting: false,
            last_accept: turn.now,
            came_since: turn.now,
            head: Vec::new(),
        })
    }

    /// Where it listens, which the machine chose if the port was 0.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Connections of clients.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    pub fn none_left(&self) -> bool {
        self.listener.is_none() && self.slots.is_empty()
    }

    /// Takes all connections that wait, as far as there is room; idle ones go first. Those that are found to
    /// have brought something after all are returned.
    pub fn accept(&mut self, turn: &mut Turn) -> Vec<Key> {
        let mut brought = Vec::new();
        self.held_back = false;
        let lacked = std::mem::take(&mut self.lacks_descriptor);
        // Danger: where the machine has none left, others take what is freed here, and all would go for nothing.
        let mut may_make = true;
        loop {
            // One more than the most may come in, as only then it is known that room is needed.
            let full = turn.room < 0 || self.slots.len() > self.most;
            if full && !self.make_room_for(true, turn, &mut brought) {
                self.hold_back(turn);
                break;
            }
            let Some(listener) = &self.listener else { break };
            let stream = match connection::accept(listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => break,
                Err(e) => {
                    self.lacks_descriptor = connection::lacks_descriptor(&e);
                    let make = self.lacks_descriptor && std::mem::take(&mut may_make);
                    if make && self.make_room_for(true, turn, &mut brought) {
                        continue;
                    }
                    // Danger: told at each try, it would keep all other lines out of the log.
                    if !(lacked && self.lacks_descriptor) {
                        log::warn!("accept: {e}");
                    }
                    self.hold_back(turn);
                    break;
                }
            };
            (self.last_accept, may_make) = (turn.now, true);
            self.lacks_descriptor = false;
            // Danger: what it brings may be as old as its wait outside, and its end stand behind that.
            let full_since = Some(self.held_since.unwrap_or(self.came_since));
            let waited = self.held_since.map_or(Span::ZERO, |since| turn.now.since(since));
            let added = self.slots.insert_with(|key| {
                let connection = Connection::take(stream, &turn.registry, Peer::Client(key).token())?;
                let stage = Stage::Reading;
                Ok::<_, io::Error>(Client {
                    connection,
                    stage,
                    timed: false,
                    leave_given: false,
                    coming: None,
                    full_since,
                    waited,
                    seen: 0,
                    body_until: None,
                    since: turn.now,
                    heard: turn.now,
                    answered: false,
                    deadline: None,
                })
            });
            match added {
                Ok(key) => {
                    turn.room -= 1;
                    self.time_out(key, turn.now + HEAD_IN, turn);
                }
                Err(e) => log::warn!("client: {e}"),
            }
        }
        if !self.held_back {
            self.held_since = None;
        }
        brought
    }

    /// Danger: what waits to be taken brings no further event, and trying again at once would spin.
    fn hold_back(&mut self, turn: &mut Turn) {
        self.held_back = true;
        self.held_since.get_or_insert(turn.now);
        turn.deadlines.shift(Due::Accept, &mut self.accept_at, Some(turn.now + ACCEPT_AGAIN));
    }

    /// Closes the connection that has been idle for longest. Danger: clients that never end a request could keep
    /// all others out, so these go next, and first those that have brought nothing for longest.
    pub fn make_room(&mut self, turn: &mut Turn, brought: &mut Vec<Key>) -> bool {
        self.make_room_for(false, turn, brought)
    }

    fn make_room_for(&mut self, new_client: bool, turn: &mut Turn, brought: &mut Vec<Key>) -> bool {
        let crowded = self.held_since.is_some_and(|since| turn.now.since(since) >= FRESH);
        loop {
            let may_go = self.slots.iter().filter(|(_, c)| c.may_go(turn.now, crowded, new_client));
            let may_go = may_go.filter(|(key, _)| !brought.contains(key));
            let Some((key, _)) = may_go.min_by_key(|(_, c)| (c.begun(), c.heard)) else { return false };
            if self.close_unread(key, turn) {
                return true;
            }
            brought.push(key);
        }
    }

    /// Danger: a request that the kernel already holds is taken; so a last look before a connection goes that
    /// waits for one. Who has brought part of a request is told to come again.
    fn close_unread(&mut self, key: Key, turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get_mut(key) else { return false };
        let before = client.connection.input.len();
        let works = client.connection.fill(http::MESSAGE_MOST).is_ok() && !client.connection.ended;
        let goes = !works || client.connection.input.len() == before;
        if !goes {
            client.heard = turn.now;
            return false;
        }
        if works && client.begun() {
            self.head.clear();
            http::own_answer(&mut self.head, 503, Some(ACCEPT_AGAIN), false);
            // All that came has been read, so this arrives; one that takes no more has gone.
            let _ = client.connection.send(&[&self.head]);
        }
        self.close(key, turn);
        true
    }

    fn close(&mut self, key: Key, turn: &mut Turn) {
        self.end_request(key);
        let Some(mut client) = self.slots.remove(key) else { return };
        turn.room += 1;
        turn.deadlines.shift(Due::Client(key), &mut client.deadline, None);
        client.connection.close(&turn.registry);
    }

    /// The client waits no more for the request that this connection has brought, if there is one.
    fn end_request(&mut self, key: Key) {
        let Some(client) = self.slots.get(key) else { return };
        if let Stage::Waiting { request, frame } = client.stage
            && request != NO_REQUEST
        {
            self.open.remove(&id(frame.head_in(&client.connection.input)));
        }
    }

    fn wait_for_request(&mut self, key: Key, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        (client.stage, client.timed, client.leave_given, client.since) =
            (Stage::Reading, false, false, turn.now);
        client.heard = turn.now;
        (client.coming, client.full_since, client.seen, client.body_until) = (None, None, 0, None);
        self.time_out(key, turn.now + IDLE_MOST, turn);
    }

    fn time_out(&mut self, key: Key, at: Moment, turn: &mut Turn) {
        if let Some(client) = self.slots.get_mut(key) {
            turn.deadlines.shift(Due::Client(key), &mut client.deadline, Some(at));
        }
    }

    /// The client sends nothing more than what has come already.
    pub fn ends(&mut self, key: Key) {
        self.slots.get_mut(key).into_iter().for_each(|client| client.connection.ended = true);
    }

    /// Whether a client is there for whom an attempt is about to begin. Danger: its end may stand behind so much that the
    /// machine takes no more of it, and is told by no event. A long request is read on as it goes, up to its client's end.
    pub fn sight(&mut self, key: Key, within: Span, now: Moment) -> Sight {
        let Some(client) = self.slots.get_mut(key) else { return Sight::Left };
        let since = client.full_since.filter(|_| client.coming.is_none());
        if since.is_none_or(|since| now.since(since) < within) {
            return Sight::Here;
        }
        let most = http::MESSAGE_MOST + SIGHT_MORE;
        let works = client.connection.fill(most).is_ok();
        match () {
            _ if !works || client.connection.ended => Sight::Left,
            _ if client.connection.input.len() >= most => Sight::Unknown,
            // All that came has been read, so its end would have been told.
            _ => Sight::Here,
        }
    }

    /// Whether more stands unread than is taken from it.
    pub fn is_full(&self, key: Key) -> bool {
        self.slots.get(key).is_some_and(|client| client.connection.full)
    }

    /// Reads and writes what a connection is ready for, and says what it brought. To be called again after an
    /// answer, as the next request may have come already.
    pub fn ready(&mut self, key: Key, terms: &Terms, turn: &mut Turn) -> Said {
        let Some(client) = self.slots.get_mut(key) else { return Said::Nothing };
        let (unsent, before) = (client.connection.unsent(), client.connection.input.len());
        let works = client.connection.flush().is_ok() && client.connection.fill(http::MESSAGE_MOST).is_ok();
        if client.connection.input.len() > before {
            client.heard = turn.now;
        }
        let moved = client.connection.unsent() < unsent;
        client.full_since = client.connection.full.then(|| client.full_since.unwrap_or(self.came_since));
        if matches!(client.stage, Stage::Closing) {
            // Nothing is owed for what comes now. Danger: what is left unread brings no event, and a client that is
            // still sending would not get to read its answer.
            for _ in 0..DISCARD_TURNS {
                client.connection.input.clear();
                if !client.connection.full || client.connection.fill(http::MESSAGE_MOST).is_err() {
                    break;
                }
            }
            client.connection.input.clear();
        }
        // A client that ends its sending has gone away.
        if !works || client.connection.ended {
            let said = match client.stage {
                Stage::Waiting { request, .. } => Said::Hangup { request },
                Stage::Passing { from, .. } => Said::Gone { from },
                _ => Said::Nothing,
            };
            self.close(key, turn);
            return said;
        }
        let all_sent = client.connection.all_sent();
        if moved && !all_sent {
            self.time_out(key, turn.now + UNREAD_MOST, turn);
        }
        let Some(client) = self.slots.get_mut(key) else { return Said::Nothing };
        match client.stage {
            Stage::Passing { from, .. } if all_sent => return Said::Takes { from },
            Stage::Waiting { .. } if client.coming.is_some() => return Said::More,
            Stage::Closing if client.connection.all_sent() => client.connection.finish(),
            Stage::Reading if client.connection.all_sent() && !client.connection.input.is_empty() => {
                let said = self.read_request(key, terms, turn);
                // Danger: no event tells of what is left behind that much, and no answer of an endpoint either.
                let left = self.slots.get(key).is_some_and(|c| c.reading() && c.connection.full);
                return if left && matches!(said, Said::Nothing) { Said::Brought } else { said };
            }
            _ => {}
        }
        Said::Nothing
    }

    fn read_request(&mut self, key: Key, terms: &Terms, turn: &mut Turn) -> Said {
        loop {
            let Some(client) = self.slots.get_mut(key) else { return Said::Nothing };
            let input = &mut client.connection.input;
            let read = http::request(input);
            if matches!(read, Ok(Read::Body { .. } | Read::Long(..)))
                && !client.leave_given
                && http::expects_leave(input)
            {
                client.leave_given = true;
                // A failure shows at the next read.
                let _ = client.connection.send(&[b"HTTP/1.1 100 Continue\r\n\r\n"]);
            }
            let input = &mut client.connection.input;
            let (frame, long) = match read {
                Ok(Read::Whole(frame)) => (frame, None),
                Ok(Read::Long(frame, body)) => (frame, Some(body)),
                Ok(Read::Head) => {
                    // Danger: the time of a first request that began anew with its first byte would be twice as long.
                    if !std::mem::replace(&mut client.timed, true) && client.answered {
                        self.time_out(key, turn.now + HEAD_IN, turn);
                    }
                    return Said::Nothing;
                }
                Ok(Read::Body { .. }) => {
                    client.timed = true;
                    let more =
                        input.len() - std::mem::replace(&mut client.seen, input.len()).min(input.len());
                    let until = body_until(client.body_until, more, turn.now);
                    client.body_until = Some(until);
                    self.time_out(key, until, turn);
                    return Said::Nothing;
                }
                Err(Bad(status)) => {
                    self.answer_last(key, status, turn);
                    return Said::Nothing;
                }
            };
            let head = asked(frame.head_in(input), terms);
            client.coming = long;
            match head {
                Ok(Asked::Request { method, left, work, id }) => {
                    // Danger: two requests of one id would pass for repeats of each other wherever they go.
                    if self.open.insert(id) {
                        turn.deadlines.shift(Due::Client(key), &mut client.deadline, None);
                        let left = left.less(std::mem::take(&mut client.waited));
                        return Said::Arrival { method, left, work, frame };
                    }
                    self.answer_own(key, frame, 409, turn);
                }
                Ok(Asked::Health) => {
                    let status = if self.away { 503 } else { 200 };
                    self.answer_own(key, frame, status, turn);
                }
                Err(Bad(status)) => self.answer_own(key, frame, status, turn),
            }
            let more = |c: &Client| c.reading() && !c.connection.input.is_empty();
            if !self.slots.get(key).is_some_and(more) {
                return Said::Nothing;
            }
        }
    }

    /// Answers what this connection has brought, with no request of it.
    fn answer_own(&mut self, key: Key, frame: Frame, status: u16, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        client.stage = Stage::Waiting { request: NO_REQUEST, frame };
        let head = |out: &mut Vec<u8>, keep| http::own_answer(out, status, None, keep);
        self.answer(key, head, b"", turn);
    }

    /// The same where what has come cannot be told apart from what may follow.
    fn answer_last(&mut self, key: Key, status: u16, turn: &mut Turn) {
        let Some(client) = self.slots.get(key) else { return };
        let frame = Frame { head: 0, body: 0, end: client.connection.input.len(), keep: false };
        self.answer_own(key, frame, status, turn);
    }

    /// The connection now waits for the answer to this request.
    pub fn waits(&mut self, key: Key, request: usize, frame: Frame) {
        if let Some(client) = self.slots.get_mut(key) {
            client.stage = Stage::Waiting { request, frame };
        }
    }

    /// The request that this connection waits for, as it goes to an endpoint.
    pub fn message(&self, key: Key) -> Option<Message<'_>> {
        let client = self.slots.get(key)?;
        let Stage::Waiting { frame, .. } = client.stage else { return None };
        let input = &client.connection.input;
        let coming = client.coming.as_ref().map(|body| body.length().map_or(Length::Chunked, Length::Known));
        Some(Message { head: frame.head_in(input), body: frame.body_in(input), coming })
    }

    // Long requests.

    /// The request that this connection waits for, of which more is to come.
    pub fn brings(&self, key: Key) -> Option<usize> {
        let client = self.slots.get(key)?;
        match client.stage {
            Stage::Waiting { request, .. } if client.coming.as_ref().is_some_and(|body| !body.done()) => {
                Some(request)
            }
            _ => None,
        }
    }

    /// What stands next of its body.
    pub fn piece(&mut self, key: Key, turn: &mut Turn) -> Piece {
        let Some(client) = self.slots.get_mut(key) else { return Piece::Broken };
        let (Stage::Waiting { frame, .. }, Some(body)) = (&client.stage, &mut client.coming) else {
            return Piece::Broken;
        };
        // Danger: the last bytes of a client that has gone could make its request whole, and it would run.
        let piece = body.next(&mut client.connection, frame.end, false);
        let until = match piece {
            Piece::Later => Some(body_until(client.body_until, 0, turn.now)),
            Piece::End => None,
            _ => return piece,
        };
        client.body_until = until;
        turn.deadlines.shift(Due::Client(key), &mut client.deadline, until);
        piece
    }

    pub fn bytes(&self, key: Key, range: &Range<usize>) -> &[u8] {
        self.slots.get(key).map_or(&[], |client| &client.connection.input[range.clone()])
    }

    /// A piece has gone on.
    pub fn taken(&mut self, key: Key, range: &Range<usize>, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Waiting { frame, .. } = client.stage else { return };
        client.connection.consume_at(frame.end, range.end - frame.end);
        client.body_until = Some(body_until(client.body_until, range.len(), turn.now));
    }

    /// The endpoint has to take more before the client may bring it: that is not to be held against its time.
    pub fn rest(&mut self, key: Key, turn: &mut Turn) {
        if let Some(client) = self.slots.get_mut(key) {
            client.body_until = None;
            turn.deadlines.shift(Due::Client(key), &mut client.deadline, None);
        }
    }

    // Long answers.

    /// Begins the answer to the request that this connection waits for; the rest passes through, from this connection of
    /// an endpoint. `head` writes its head. Returns whether that could be.
    pub fn begin(
        &mut self,
        key: Key,
        from: Key,
        length: Option<u64>,
        head: impl FnOnce(&mut Vec<u8>, Length, bool),
        turn: &mut Turn,
    ) -> bool {
        self.end_request(key);
        let Some(client) = self.slots.get_mut(key) else { return false };
        let Stage::Waiting { frame, .. } = client.stage else { return false };
        let chunks = http::takes_chunks(frame.head_in(&client.connection.input));
        let unknown = if chunks { Length::Chunked } else { Length::ToEnd };
        let length = length.map_or(unknown, Length::Known);
        let keep = client.keeps(frame) && !self.parting && length != Length::ToEnd;
        // Danger: broken off, by whatever ends this process too, an answer that only an end ends would pass for whole.
        if length == Length::ToEnd {
            client.connection.reset_at_close();
        }
        self.head.clear();
        head(&mut self.head, length, keep);
        client.connection.consume(frame.end);
        (client.stage, client.answered) = (Stage::Passing { from, keep, length }, true);
        let head = std::mem::take(&mut self.head);
        let there = self.send_piece(key, &[&head], turn);
        self.head = head;
        there
    }

    /// Whether the client has taken all of the answer that was there.
    pub fn takes_more(&self, key: Key) -> bool {
        self.slots
            .get(key)
            .is_some_and(|c| matches!(c.stage, Stage::Passing { .. }) && c.connection.all_sent())
    }

    /// A piece of the answer that passes; whether the client is still there.
    pub fn pass(&mut self, key: Key, data: &[u8], turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get(key) else { return false };
        let Stage::Passing { length, .. } = client.stage else { return false };
        let (before, behind) = http::chunk_frame(length, Some(data));
        self.send_piece(key, &[before.as_bytes(), data, behind], turn)
    }

    fn send_piece(&mut self, key: Key, parts: &[&[u8]], turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get_mut(key) else { return false };
        if client.connection.send(parts).is_err() {
            self.close(key, turn);
            return false;
        }
        // While the endpoint brings nothing the client has nothing to take.
        let until = (!client.connection.all_sent()).then(|| turn.now + UNREAD_MOST);
        turn.deadlines.shift(Due::Client(key), &mut client.deadline, until);
        true
    }

    /// The answer has passed. Danger: one that is not whole must end in a way that the client can tell.
    pub fn end_pass(&mut self, key: Key, whole: bool, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Passing { keep, length, .. } = client.stage else { return };
        if !whole {
            return self.close(key, turn);
        }
        client.stage = Stage::Closing;
        let (end, _) = http::chunk_frame(length, None);
        if client.connection.send(&[end.as_bytes()]).is_err() {
            return self.close(key, turn);
        }
        self.after_answer(key, keep, turn);
    }

    /// Answers the request that this connection waits for. `head` writes the answer's head, and is told whether
    /// the connection stays open.
    pub fn answer(&mut self, key: Key, head: impl FnOnce(&mut Vec<u8>, bool), body: &[u8], turn: &mut Turn) {
        self.end_request(key);
        let Some(client) = self.slots.get_mut(key) else { return };
        let Stage::Waiting { frame, .. } = client.stage else { return };
        let keep = client.keeps(frame) && !self.parting;
        self.head.clear();
        head(&mut self.head, keep);
        client.connection.consume(frame.end);
        (client.stage, client.answered) = (Stage::Closing, true);
        if client.connection.send(&[&self.head, body]).is_err() {
            return self.close(key, turn);
        }
        self.after_answer(key, keep, turn);
    }

    /// An answer has gone out, or waits for the client to take it.
    fn after_answer(&mut self, key: Key, keep: bool, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        let all_sent = client.connection.all_sent();
        if keep {
            self.wait_for_request(key, turn);
        } else if all_sent {
            // Danger: closed outright with something unread, the answer itself could be lost on the way.
            client.connection.finish();
        }
        if !(keep && all_sent) {
            self.time_out(key, turn.now + if all_sent { LINGER } else { UNREAD_MOST }, turn);
        }
    }

    /// Whether the connection may hold a request that is still to be read.
    pub fn has_more(&self, key: Key) -> bool {
        let more = |c: &Client| c.reading() && (c.connection.full || !c.connection.input.is_empty());
        self.slots.get(key).is_some_and(more)
    }

    /// A connection's time is up.
    pub fn timed_out(&mut self, key: Key, turn: &mut Turn) -> Said {
        let Some(client) = self.slots.get_mut(key) else { return Said::Nothing };
        client.deadline = None;
        match client.stage {
            _ if client.idle() => {
                if self.close_unread(key, turn) {
                    return Said::Nothing;
                }
                // Danger: what has come in this moment may be half a request, and would have no time left to be ended by.
                self.time_out(key, turn.now + LEAVE_IDLE, turn);
                return Said::Brought;
            }
            // What is not whole was never taken: it may come again, where this process leaves.
            _ if client.begun() => self.answer_last(key, if self.parting { 503 } else { 408 }, turn),
            Stage::Waiting { request, .. } if client.coming.is_some() => return Said::Silent { request },
            Stage::Passing { from, .. } => {
                self.close(key, turn);
                return Said::Gone { from };
            }
            _ => self.close(key, turn),
        }
        Said::Nothing
    }

    /// Who asks for its health hears from now on that clients are to go elsewhere.
    pub fn turn_away(&mut self) {
        self.away = true;
    }

    /// Clients may come and stay again.
    pub fn take_again(&mut self) {
        (self.away, self.parting) = (false, false);
    }

    /// Nobody is here, or has come of late.
    pub fn quiet(&self, turn: &Turn) -> bool {
        self.slots.is_empty() && turn.now.since(self.last_accept) >= LEAVE_IDLE
    }

    /// There is room for so many connections in all from now on.
    pub fn resize(&mut self, connections: usize) {
        self.most = most(connections);
    }

    /// Another process takes what comes from now on: takes all of the backlog and listens no more. Connections
    /// close with their next answer. Those that have brought something are returned.
    pub fn hand_over(&mut self, turn: &mut Turn) -> Vec<Key> {
        self.parting = true;
        let brought = self.accept(turn);
        self.stop_listening(turn);
        brought
    }

    /// Connections close between requests, those that still come too. To be called until none is left or clients
    /// may stay again. Those that have brought something are returned.
    pub fn part(&mut self, turn: &mut Turn) -> Vec<Key> {
        self.parting = true;
        let brought = self.accept(turn);
        // The next request of any of them may be under way, so it has a moment for it.
        let between = self.slots.iter().filter_map(|(key, c)| {
            let until = match c {
                _ if c.idle() => turn.now + LEAVE_IDLE,
                _ if c.begun() => turn.now + LEAVE_BEGUN,
                _ => return None,
            };
            c.deadline.is_none_or(|at| at > until).then_some((key, until))
        });
        for (key, until) in between.collect::<Vec<_>>() {
            self.time_out(key, until, turn);
        }
        brought
    }

    /// All must have been taken by now: what waits for a request goes, and half a request is told to come again. Those that have
    /// brought something are returned. Danger: a request that is whole only after the last look has no answer.
    pub fn part_at_once(&mut self, turn: &mut Turn) -> Vec<Key> {
        let mut brought = self.part(turn);
        let between = self.slots.iter().filter(|(_, c)| c.idle() || c.begun());
        for (key, begun) in between.map(|(key, c)| (key, c.begun())).collect::<Vec<_>>() {
            if begun {
                self.answer_last(key, 503, turn);
            } else if !self.close_unread(key, turn) {
                brought.push(key);
            }
        }
        brought
    }

    /// Listens no more, once all of the backlog has been taken.
    pub fn stop_listening(&mut self, turn: &mut Turn) {
        if let Some(mut listener) = self.listener.take_if(|_| !self.held_back) {
            let _ = turn.registry.deregister(&mut listener);
        }
    }
}

impl Client {
    /// Whether the connection may carry another request after this one: not where part of its body is left.
    fn keeps(&self, frame: Frame) -> bool {
        frame.keep && self.coming.as_ref().is_none_or(Body::done)
    }

    /// Danger: a first request that comes just after its connection was closed is lost, as its client does not
    /// send it again. One between requests does so with the next.
    fn may_go(&self, now: Moment, crowded: bool, for_new_client: bool) -> bool {
        if self.idle() && self.answered {
            return now > self.since;
        }
        let (rests, old) = (now.since(self.heard) >= PAUSE_MOST, now.since(self.since) >= FRESH);
        // Danger: for a new client, which may be of a crowd, one goes that writes slowly. What has come whole comes first.
        let goes = if for_new_client { rests && (crowded || old) } else { old || rests && crowded };
        (self.idle() || self.begun()) && goes
    }

    fn reading(&self) -> bool {
        matches!(self.stage, Stage::Reading)
    }

    /// Part of a request has come.
    fn begun(&self) -> bool {
        self.timed && self.reading()
    }

    fn idle(&self) -> bool {
        self.reading() && self.connection.all_sent() && self.connection.input.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hint_of_the_work_is_read_among_the_labels_and_a_bad_one_costs_nothing() {
        let terms = crate::launch::plain_terms("view", &[]);
        for (labels, wanted) in [
            ("X-Labels: size=3, costGuessNs=12000000\r\n", Some(Span::from_millis(12))),
            ("X-Labels: costGuessNs=-1\r\n", None),
            ("X-Labels: costGuessNs=1\r\nX-Labels: costGuessNs=2\r\n", None),
            ("", None),
        ] {
            let head = format!("GET /view HTTP/1.1\r\nX-Txn: 1\r\n{labels}\r\n");
            let Ok(Asked::Request { work, .. }) = asked(head.as_bytes(), &terms) else {
                panic!("refused: {labels}")
            };
            assert_eq!(work, wanted, "{labels}");
        }
    }

    /// Danger: a connection whose time was up in the moment in which its first byte came had no time left to be ended by,
    /// and held its place for ever.
    #[test]
    fn half_a_request_that_comes_as_its_connection_is_timed_out_has_a_time_to_end() {
        let poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let now = Moment::from_nanos(1);
        let mut turn = Turn { now, registry, deadlines: Default::default(), room: 8 };
        let mut clients = Clients::listen("127.0.0.1:0".parse().unwrap(), false, &mut turn).unwrap();
        let mut peer = std::net::TcpStream::connect(clients.address().unwrap()).unwrap();
        while clients.count() == 0 {
            clients.accept(&mut turn);
        }
        turn.now = turn.now + HEAD_IN;
        let Some(Due::Client(key)) = turn.deadlines.pop(turn.now) else { panic!("its time is up") };
        // No event has told of these.
        io::Write::write_all(&mut peer, b"GET /vi").unwrap();
        while clients.slots.get(key).unwrap().connection.input.is_empty() {
            clients.slots.get_mut(key).unwrap().connection.fill(1).unwrap();
        }
        clients.slots.get_mut(key).unwrap().connection.input.clear();
        assert!(matches!(clients.timed_out(key, &mut turn), Said::Brought));
        let terms = crate::launch::plain_terms("view", &[]);
        assert!(matches!(clients.ready(key, &terms, &mut turn), Said::Nothing));
        assert!(turn.deadlines.next().is_some_and(|at| at.since(turn.now) <= LEAVE_IDLE));
    }

    /// Danger: what stands behind as much as is read at a time brings no event, and was left there where all before it was
    /// answered without an endpoint.
    #[test]
    fn many_requests_that_are_there_at_once_are_all_answered_whoever_answers_them() {
        let mut poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let mut turn = Turn { now: Moment::from_nanos(1), registry, deadlines: Default::default(), room: 8 };
        let mut clients = Clients::listen("127.0.0.1:0".parse().unwrap(), false, &mut turn).unwrap();
        // Connections have it from their listener.
        socket2::SockRef::from(clients.listener.as_ref().unwrap()).set_recv_buffer_size(1 << 20).unwrap();
        let mut peer = std::net::TcpStream::connect(clients.address().unwrap()).unwrap();
        const MANY: usize = 3000;
        let requests = "GET /none HTTP/1.1\r\nX-Txn: 1\r\n\r\n".repeat(MANY);
        assert!(requests.len() > http::MESSAGE_MOST);
        io::Write::write_all(&mut peer, requests.as_bytes()).unwrap();
        peer.set_nonblocking(true).unwrap();
        while clients.count() == 0 {
            clients.accept(&mut turn);
        }
        let (key, _) = clients.slots.iter().next().unwrap();
        let terms = crate::launch::plain_terms("view", &[]);
        let (mut events, mut answers) = (mio::Events::with_capacity(8), String::new());
        let mut again = false;
        while answers.matches("HTTP/1.1 404 ").count() < MANY {
            if !again {
                poll.poll(&mut events, Some(std::time::Duration::from_secs(2))).unwrap();
                assert!(!events.is_empty(), "nothing tells of the rest");
            }
            again = matches!(clients.ready(key, &terms, &mut turn), Said::Brought);
            let _ = io::Read::read_to_string(&mut peer, &mut answers);
        }
    }
}
