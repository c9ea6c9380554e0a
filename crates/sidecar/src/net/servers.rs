//! The endpoints' side: connections to them, attempts and what comes back. One attempt at a time on a
//! connection.

use std::net::SocketAddr;
use std::ops::Range;

use appledyke::units::{Moment, Span};

use super::Turn;
use super::body::{Body, Piece};
use super::connection::{self, Connection, Ending};
use super::deadlines::Due;
use super::http::{self, Frame, Length, Read};
use super::slots::{Key, Peer, Slots};
use crate::metrics::RequestEnd;

/// Part of the endpoints' limit on idle connections after which this side closes one: well before them.
const IDLE_SHARE: f64 = 0.75;
/// How long a connection rests after an answer before it carries the next request: what follows an answer shows by then,
/// 1 to 3.5 ms late where it was seen. Where bytes that nobody asked for have come of late, another is opened rather
/// than one used that has not rested. Else the one that has rested for longest does, as another costs the endpoint work.
const REST: Span = Span::from_millis(4);
const WARY_FOR: Span = Span::from_millis(60_000);
/// How long an answer of unknown length is held for its end while more of it comes.
const HELD_MOST: Span = Span::from_millis(500);
/// How long an endpoint may bring nothing of a long answer that it has begun, or take nothing of a long request: peers
/// take seconds, and what it still gives is not to be cut off.
const PASS_SILENT: Span = Span::from_millis(10_000);

/// In place of a request's index: its connection carries a probe, and in place of an attempt's number stands the endpoint.
pub const PROBE: usize = usize::MAX;

/// An attempt that a connection carries.
#[derive(Clone, Copy)]
pub struct Carried {
    pub request: usize,
    pub attempt: usize,
    pub give_up: Moment,
}

struct Link {
    connection: Connection,
    endpoint: usize,
    to: SocketAddr,
    up: bool,
    carries: Option<Carried>,
    deadline: Option<Moment>,
    /// Where the end of its head is to stand in what is kept until it is up. Danger: an attempt that told the time left at
    /// its decision, and waited for its connect, had its endpoint go on for longer than the client waits.
    head_ends: Option<usize>,
    /// The attempt that it carries is counted as written whole.
    counted: bool,
    /// When that set out, and how what is to come of its request is framed, behind what was written.
    sent: Moment,
    coming: Option<Length>,
    /// Since when an answer of unknown length is held that is not whole.
    held_since: Option<Moment>,
    passes: Option<Passing>,
}

/// A long answer that passes through.
struct Passing {
    client: Key,
    method: usize,
    /// How the request ends once it has passed.
    end: RequestEnd,
    body: Body,
    keep: bool,
}

/// A request as it goes to an endpoint: what of its body is held, or how what is to come is framed.
#[derive(Clone, Copy)]
pub struct Message<'a> {
    pub head: &'a [u8],
    pub body: &'a [u8],
    pub coming: Option<Length>,
}

#[derive(Clone, Default)]
struct Place {
    address: Option<SocketAddr>,
    started: Option<Moment>,
    /// Idle connections and since when, the one used last at the end.
    idle: Vec<(Key, Moment)>,
}

impl Link {
    /// 1 once the last byte of the attempt that it carries is written, 0 before and after.
    fn newly_written(&mut self) -> u64 {
        let request = self.carries.is_some_and(|carried| carried.request != PROBE);
        let newly = request && self.whole() && !std::mem::replace(&mut self.counted, true);
        u64::from(newly)
    }

    /// Until when it has for what it carries. Danger: a request's times run from its last byte, so while it goes on in
    /// pieces only a standstill ends it.
    fn until(&self, give_up: Moment, now: Moment) -> Moment {
        if self.coming.is_some() { now + PASS_SILENT } else { give_up }
    }

    /// How what it carries ends where it was not up in time.
    fn not_up(&self, carried: Carried, now: Moment) -> Ending {
        if now >= carried.give_up { Ending::GivenUp { whole: false } } else { Ending::NeverUp }
    }

    /// Whether the last byte of what it carries is written.
    fn whole(&self) -> bool {
        self.up && self.connection.all_sent() && self.coming.is_none()
    }

    /// Whether it has neither ended nor brought what nobody asked for.
    fn still_idle(&mut self) -> bool {
        self.connection.fill(1).is_ok() && !self.connection.ended && self.connection.input.is_empty()
    }
}

/// How an attempt ended, and the answer if it has one, still in its connection's buffer.
pub struct Ended {
    /// Where it was to, and since when: for a request that went in pieces, since its last byte.
    pub endpoint: usize,
    pub sent: Moment,
    pub carried: Carried,
    pub ending: Ending,
    pub answer: Option<Frame>,
    /// What is to pass through behind that, where the answer is long.
    pub long: Option<Body>,
}

pub struct Servers {
    links: Slots<Link>,
    places: Vec<Place>,
    idle_most: Span,
    connect_timeout: Span,
    /// Until when connections rest.
    wary_until: Moment,
    head: Vec<u8>,
    /// Attempts whose last byte was written; probes are none.
    pub written: u64,
    /// Most connections to one endpoint, where something limits them.
    pub most_at_one: Option<u64>,
}

impl Servers {
    pub fn new(idle_limit: Span, connect_timeout: Span) -> Servers {
        Servers {
            links: Slots::default(),
            places: Vec::new(),
            idle_most: idle_limit * IDLE_SHARE,
            connect_timeout,
            wary_until: Moment::from_nanos(0),
            head: Vec::new(),
            written: 0,
            most_at_one: None,
        }
    }

    /// Other limits hold from now on.
    pub fn update_terms(&mut self, idle_limit: Span, connect_timeout: Span, turn: &mut Turn) {
        (self.idle_most, self.connect_timeout) = (idle_limit * IDLE_SHARE, connect_timeout);
        // Danger: kept for as long as the limits of before allowed, one would be ended by its endpoint just as a request is
        // written to it.
        for (key, since) in self.places.iter().flat_map(|place| &place.idle) {
            if let Some(link) = self.links.get_mut(*key) {
                turn.deadlines.shift(Due::Server(*key), &mut link.deadline, Some(*since + self.idle_most));
            }
        }
    }

    /// Where an endpoint is to be found from now on, and since when. Danger: a machine that was cut off comes
    /// back without a word to the connections of before; a request written to one of them ends as a reset, and
    /// may have run for all that can be told.
    pub fn place(&mut self, endpoint: usize, at: SocketAddr, started: Option<Moment>, turn: &mut Turn) {
        if self.places.len() <= endpoint {
            self.places.resize(endpoint + 1, Place::default());
        }
        let place = &mut self.places[endpoint];
        if (place.address, place.started) != (Some(at), started) {
            (place.address, place.started) = (Some(at), started);
            self.close_idle(endpoint, turn);
        }
    }

    pub fn close_idle(&mut self, endpoint: usize, turn: &mut Turn) {
        let idle = self.places.get_mut(endpoint).map(|place| std::mem::take(&mut place.idle));
        for (key, _) in idle.unwrap_or_default() {
            self.close(key, turn);
        }
    }

    /// When an endpoint's process started, if not long ago.
    pub fn started(&self, endpoint: usize) -> Option<Moment> {
        self.places.get(endpoint)?.started
    }

    /// Connections to an endpoint, and how many of them carry an attempt.
    pub fn held(&self, endpoint: usize) -> (usize, usize) {
        let links = self.links.iter().filter(|(_, link)| link.endpoint == endpoint);
        links.fold((0, 0), |(all, out), (_, link)| (all + 1, out + usize::from(link.carries.is_some())))
    }

    pub fn has_idle(&self, endpoint: usize) -> bool {
        self.places.get(endpoint).is_some_and(|place| !place.idle.is_empty())
    }

    /// The most connections, and the most attempts, at one endpoint.
    pub fn most_held(&self) -> (usize, usize) {
        let mut held = vec![(0, 0); self.places.len()];
        for (_, link) in self.links.iter() {
            let (all, out) = &mut held[link.endpoint];
            (*all, *out) = (*all + 1, *out + usize::from(link.carries.is_some()));
        }
        held.into_iter().fold((0, 0), |most, held| (most.0.max(held.0), most.1.max(held.1)))
    }

    /// Closes idle connections of endpoints that have more than this.
    pub fn trim(&mut self, most: u64, turn: &mut Turn) {
        for endpoint in 0..self.places.len() {
            let over = (self.held(endpoint).0 as u64).saturating_sub(most) as usize;
            let idle: Vec<Key> = self.places[endpoint].idle.iter().take(over).map(|(key, _)| *key).collect();
            idle.into_iter().for_each(|key| self.close(key, turn));
        }
    }

    pub fn forget(&mut self, endpoint: usize, turn: &mut Turn) {
        self.close_idle(endpoint, turn);
        if let Some(place) = self.places.get_mut(endpoint) {
            place.address = None;
        }
    }

    pub fn close(&mut self, key: Key, turn: &mut Turn) {
        let Some(mut link) = self.links.remove(key) else { return };
        turn.room += 1;
        turn.deadlines.shift(Due::Server(key), &mut link.deadline, None);
        self.places[link.endpoint].idle.retain(|(idle, _)| *idle != key);
        link.connection.close(&turn.registry);
    }

    /// Closes a connection that carries nothing, and remembers if it brought what nobody asked for.
    fn close_unasked(&mut self, key: Key, turn: &mut Turn) {
        if self.links.get(key).is_some_and(|link| !link.connection.input.is_empty()) {
            self.wary_until = turn.now + WARY_FOR;
        }
        self.close(key, turn);
    }

    /// Starts an attempt of the request with this head and body, on an idle connection or a new one.
    pub fn send(
        &mut self,
        endpoint: usize,
        carried: Carried,
        Message { head, body, coming }: Message,
        turn: &mut Turn,
    ) -> Result<Key, Ending> {
        self.head.clear();
        let length = coming.unwrap_or(Length::Known(body.len() as u64));
        let out = &mut self.head;
        http::with_request(head, |request| http::forwarded_head(out, request, length));
        // Danger: what comes late behind an answer would pass for the answer to the next request.
        let now = turn.now;
        let wary = now < self.wary_until;
        let rested = |place: &mut Place| {
            let rested = place.idle.iter().rposition(|(_, since)| now.since(*since) >= REST);
            let longest = (!wary && !place.idle.is_empty()).then_some(0);
            Some(place.idle.remove(rested.or(longest)?).0)
        };
        while let Some(key) = self.places.get_mut(endpoint).and_then(rested) {
            let Some(link) = self.links.get_mut(key) else { continue };
            // Danger: written to a connection that the endpoint has ended, a request may have run for all that
            // can be told; so look for an end, and for bytes nobody asked for, before it is used again.
            if !link.still_idle() {
                self.close_unasked(key, turn);
                continue;
            }
            let last_line = http::last_line(carried.give_up.since(now));
            if link.connection.send(&[&self.head, last_line.as_bytes(), body]).is_err() {
                self.close(key, turn);
                return Err(Ending::Broken { whole: false });
            }
            (link.carries, link.counted, link.sent, link.coming) = (Some(carried), false, now, coming);
            link.held_since = None;
            self.written += link.newly_written();
            let until = link.until(carried.give_up, now);
            turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(until));
            return Ok(key);
        }
        let to = self.places.get(endpoint).and_then(|place| place.address).ok_or(Ending::NeverUp)?;
        let full = self.most_at_one.is_some_and(|most| self.held(endpoint).0 as u64 >= most);
        if full || turn.room <= 0 && !self.make_room(turn) {
            return Err(Ending::NoRoom);
        }
        let mut opened = self.open(endpoint, to, carried, coming, body, turn);
        if opened.as_ref().is_err_and(connection::lacks_descriptor) && self.make_room(turn) {
            opened = self.open(endpoint, to, carried, coming, body, turn);
        }
        // What fails at once is the machine's: a refusal comes as an event.
        let key = opened.map_err(|e| {
            log::warn!("connect {to}: {e}");
            Ending::NoRoom
        })?;
        turn.room -= 1;
        let link = self.links.get_mut(key).expect("just added");
        let until = carried.give_up.min(turn.now + self.connect_timeout);
        turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(until));
        Ok(key)
    }

    /// A new connection, with what is to go out on it once it is up.
    fn open(
        &mut self,
        endpoint: usize,
        to: SocketAddr,
        carried: Carried,
        coming: Option<Length>,
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
                carries: Some(carried),
                deadline: None,
                head_ends: Some(head.len()),
                counted: false,
                sent: turn.now,
                coming,
                held_since: None,
                passes: None,
            })
        })
    }

    /// Closes the connection that has been idle for longest.
    pub fn make_room(&mut self, turn: &mut Turn) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.carries.is_none() && link.passes.is_none());
        let Some(key) = idle.min_by_key(|(_, link)| link.deadline).map(|(key, _)| key) else { return false };
        self.close(key, turn);
        true
    }

    /// Reads and writes what a connection is ready for; says so if its attempt has ended by that.
    pub fn ready(&mut self, key: Key, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get_mut(key)?;
        let Some(carried) = link.carries else {
            // Idle: it has ended, or brought what nobody asked for.
            if !link.still_idle() {
                self.close_unasked(key, turn);
            }
            return None;
        };
        if !link.up {
            // Danger: to a process that stood still it comes up before its time is looked at, and would carry what nobody
            // waits for any more, or what its endpoint, told to drain since, may not be sent any more.
            if link.deadline.is_some_and(|at| at <= turn.now) {
                let ending = link.not_up(carried, turn.now);
                return self.end(key, ending, turn);
            }
            match link.connection.is_up() {
                Ok(true) => link.up = true,
                Ok(false) => return None,
                Err(_) => return self.end(key, Ending::NeverUp, turn),
            }
            if let Some(at) = link.head_ends.take() {
                let last_line = http::last_line(carried.give_up.since(turn.now));
                link.connection.insert(at, last_line.as_bytes());
            }
            let until = link.until(carried.give_up, turn.now);
            turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(until));
        }
        let written = link.connection.flush();
        let whole = link.whole();
        self.written += link.newly_written();
        let read_on = link.connection.fill(http::MESSAGE_MOST);
        let ended = link.connection.ended;
        // Danger: an answer of unknown length that comes slowly would be held back for as long as it takes to fill
        // what is held. One that has stopped is waited for as ever: it may be spoilt, and another endpoint answer.
        let late = link.held_since.is_some_and(|since| turn.now.since(since) >= HELD_MOST);
        // What was read before the connection broke still counts.
        let ending = match http::answer(&mut link.connection.input, ended, late) {
            // Danger: a reset is no end, and once it is begun no other endpoint can answer.
            Ok((Read::Long(_, body), ..)) if read_on.is_err() && body.lasts_to_end() => {
                Ending::Broken { whole }
            }
            Ok((read @ (Read::Whole(_) | Read::Long(..)), status, turned_away)) => {
                let works = !ended && read_on.is_ok() && written.is_ok();
                let (frame, long) = match read {
                    Read::Whole(frame) => (Frame { keep: frame.keep && whole && works, ..frame }, None),
                    Read::Long(frame, body) => (Frame { keep: frame.keep && whole, ..frame }, Some(body)),
                    _ => return None,
                };
                link.carries = None;
                let (endpoint, sent) = (link.endpoint, link.sent);
                let ending = Ending::Answered { status, turned_away };
                return Some(Ended { endpoint, sent, carried, ending, answer: Some(frame), long });
            }
            Err(_) => Ending::Garbled,
            Ok(_) if ended || read_on.is_err() || written.is_err() => Ending::Broken { whole },
            Ok((Read::Body { open: true }, ..)) => {
                link.held_since.get_or_insert(turn.now);
                return None;
            }
            Ok(_) => return None,
        };
        self.end(key, ending, turn)
    }

    fn end(&mut self, key: Key, ending: Ending, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get_mut(key)?;
        let (carried, endpoint, sent) = (link.carries.take(), link.endpoint, link.sent);
        if matches!(ending, Ending::NeverUp | Ending::Broken { .. } | Ending::Garbled) {
            log::debug!("connection to {}: {ending:?}", link.to);
        }
        self.close(key, turn);
        Some(Ended { endpoint, sent, carried: carried?, ending, answer: None, long: None })
    }

    /// The head and the body of an answer that has come.
    pub fn message(&self, key: Key, frame: Frame) -> Option<(&[u8], &[u8])> {
        let input = &self.links.get(key)?.connection.input;
        Some((frame.head_in(input), frame.body_in(input)))
    }

    /// An answer is done with: its connection may be used again.
    pub fn release(&mut self, key: Key, frame: Frame, turn: &mut Turn) {
        let Some(link) = self.links.get_mut(key) else { return };
        link.connection.consume(frame.end);
        let moved = self.places[link.endpoint].address != Some(link.to);
        if !frame.keep || moved || !link.connection.input.is_empty() {
            return self.close_unasked(key, turn);
        }
        turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(turn.now + self.idle_most));
        self.places[link.endpoint].idle.push((key, turn.now));
    }

    // Long requests.

    /// The request whose body this connection still waits for.
    pub fn awaits(&self, key: Key) -> Option<usize> {
        let link = self.links.get(key).filter(|link| link.coming.is_some())?;
        link.carries.map(|carried| carried.request)
    }

    /// Whether the endpoint has taken all that was written, and more is to come.
    pub fn takes_more(&self, key: Key) -> bool {
        self.links.get(key).is_some_and(|link| link.up && link.coming.is_some() && link.connection.all_sent())
    }

    /// More of a request's body, or its end. Says so if the attempt has ended by that.
    pub fn feed(&mut self, key: Key, data: Option<&[u8]>, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get_mut(key)?;
        let (carried, coming) = (link.carries?, link.coming?);
        let (before, behind) = http::chunk_frame(coming, data);
        if link.connection.send(&[before.as_bytes(), data.unwrap_or_default(), behind]).is_err() {
            return self.end(key, Ending::Broken { whole: false }, turn);
        }
        let mut give_up = carried.give_up;
        if data.is_none() {
            // The time for the answer runs from the last byte.
            give_up = turn.now + carried.give_up.since(link.sent);
            (link.coming, link.carries, link.sent) = (None, Some(Carried { give_up, ..carried }), turn.now);
            self.written += link.newly_written();
        }
        let until = link.until(give_up, turn.now);
        turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(until));
        None
    }

    // Long answers.

    /// The rest of the answer in this frame passes to a client from now on.
    pub fn pass(
        &mut self,
        key: Key,
        frame: Frame,
        body: Body,
        (client, method, end): (Key, usize, RequestEnd),
    ) {
        let Some(link) = self.links.get_mut(key) else { return };
        link.connection.consume(frame.end);
        link.passes = Some(Passing { client, method, end, body, keep: frame.keep });
    }

    /// The client that this connection's answer passes to, the method of its request, and how that ends.
    pub fn passes(&self, key: Key) -> Option<(Key, usize, RequestEnd)> {
        let passing = self.links.get(key)?.passes.as_ref()?;
        Some((passing.client, passing.method, passing.end))
    }

    /// The methods of all answers that pass.
    pub fn passing(&self) -> impl Iterator<Item = usize> {
        self.links.iter().filter_map(|(_, link)| link.passes.as_ref().map(|passing| passing.method))
    }

    /// What stands next of the answer that passes.
    pub fn piece(&mut self, key: Key, turn: &mut Turn) -> Piece {
        let Some(link) = self.links.get_mut(key) else { return Piece::Broken };
        let Some(passing) = &mut link.passes else { return Piece::Broken };
        let piece = passing.body.next(&mut link.connection, 0, true);
        if matches!(piece, Piece::Later) {
            turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(turn.now + PASS_SILENT));
        }
        piece
    }

    /// The client has to take more before the endpoint may bring it: it is not to be held against its time.
    pub fn rest(&mut self, key: Key, turn: &mut Turn) {
        if let Some(link) = self.links.get_mut(key) {
            turn.deadlines.shift(Due::Server(key), &mut link.deadline, None);
        }
    }

    /// The bytes of a piece, and what to do with them once they have gone on.
    pub fn bytes(&self, key: Key, range: &Range<usize>) -> &[u8] {
        self.links.get(key).map_or(&[], |link| &link.connection.input[range.clone()])
    }

    pub fn taken(&mut self, key: Key, bytes: usize) {
        if let Some(link) = self.links.get_mut(key) {
            link.connection.consume(bytes);
        }
    }

    /// All of the answer has passed: its connection may be used again.
    pub fn passed(&mut self, key: Key, turn: &mut Turn) {
        let Some(link) = self.links.get_mut(key) else { return };
        let Some(passing) = link.passes.take() else { return };
        let keep = passing.keep && !link.connection.ended;
        self.release(key, Frame { head: 0, body: 0, end: 0, keep }, turn);
    }

    /// The request of the attempt that a connection carries, if its last byte is not written yet.
    pub fn unwritten(&self, key: Key) -> Option<usize> {
        let link = self.links.get(key).filter(|link| !link.whole())?;
        link.carries.map(|carried| carried.request)
    }

    /// Whether nothing was written yet of what a connection carries.
    pub fn is_connecting(&self, key: Key) -> bool {
        self.links.get(key).is_some_and(|link| !link.up)
    }

    /// Stops waiting for an attempt. Closing its connection tells the endpoint.
    pub fn withdraw(&mut self, key: Key, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get(key)?;
        let whole = link.whole();
        self.end(key, Ending::Withdrawn { whole }, turn)
    }

    /// A connection's time is up: it did not come up, its attempt is given up, or it stood idle for long.
    pub fn timed_out(&mut self, key: Key, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get_mut(key)?;
        link.deadline = None;
        let Some(carried) = link.carries else {
            self.close(key, turn);
            return None;
        };
        let ending = match link.up {
            true => Ending::GivenUp { whole: link.whole() },
            false => link.not_up(carried, turn.now),
        };
        self.end(key, ending, turn)
    }
}

#[cfg(test)]
mod tests {
    use appledyke::Outcome;

    use super::*;

    const HEAD: &[u8] = b"GET /view HTTP/1.1\r\nX-Txn: 1\r\n\r\n";

    /// Connections to one endpoint, with room for two.
    fn before_one() -> (std::net::TcpListener, mio::Poll, Turn, Servers) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let mut turn = Turn { now: Moment::from_nanos(1), registry, deadlines: Default::default(), room: 2 };
        let mut servers = Servers::new(Span::from_millis(60_000), Span::from_millis(200));
        servers.place(0, listener.local_addr().unwrap(), None, &mut turn);
        (listener, poll, turn, servers)
    }

    /// Has the endpoint answer what this connection carries, and lets the connection go idle.
    fn answer(
        servers: &mut Servers,
        turn: &mut Turn,
        poll: &mut mio::Poll,
        key: Key,
        peer: &mut std::net::TcpStream,
    ) {
        std::io::Write::write_all(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        let mut events = mio::Events::with_capacity(8);
        let ended = loop {
            poll.poll(&mut events, None).unwrap();
            if let Some(ended) = servers.ready(key, turn) {
                break ended;
            }
        };
        servers.release(key, ended.answer.unwrap(), turn);
    }

    #[test]
    fn a_connect_that_never_comes_up_never_ran_and_leaves_nothing_behind() {
        let (_listener, _poll, mut turn, mut servers) = before_one();
        let give_up = turn.now + Span::from_millis(2000);
        let carried = Carried { request: 0, attempt: 0, give_up };
        let message = Message { head: HEAD, body: b"", coming: None };
        let send = |servers: &mut Servers, turn: &mut Turn| servers.send(0, carried, message, turn);
        let key = send(&mut servers, &mut turn).unwrap();
        send(&mut servers, &mut turn).unwrap();
        // Both carry a request, so there is no room for a third.
        assert_eq!(send(&mut servers, &mut turn), Err(Ending::NoRoom));
        assert_eq!(Ending::NoRoom.outcome(), Outcome::NeverSent);
        // No event has told of it by the time that a connect may take.
        turn.now = turn.now + Span::from_millis(200);
        assert_eq!(turn.deadlines.pop(turn.now), Some(Due::Server(key)));
        let ended = servers.timed_out(key, &mut turn).unwrap();
        assert_eq!((ended.ending, ended.ending.outcome()), (Ending::NeverUp, Outcome::ConnectFailure));
        // What is still heard of the old connection finds nothing.
        assert!(servers.ready(key, &mut turn).is_none() && servers.timed_out(key, &mut turn).is_none());
        assert!(send(&mut servers, &mut turn).is_ok());
    }

    #[test]
    fn idle_connections_keep_to_the_limits_of_new_settings() {
        let (listener, mut poll, mut turn, mut servers) = before_one();
        let carried = Carried { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
        let key =
            servers.send(0, carried, Message { head: HEAD, body: b"", coming: None }, &mut turn).unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        answer(&mut servers, &mut turn, &mut poll, key, &mut peer);
        servers.update_terms(Span::from_millis(4000), Span::from_millis(200), &mut turn);
        assert!(servers.has_idle(0));
        assert_eq!(turn.deadlines.next(), Some(turn.now + Span::from_millis(4000) * IDLE_SHARE));
    }

    /// Danger: a turn that comes late hears that a connect is up before it looks at the time, and would write what nobody
    /// waits for any more, its group may have forgotten, or its endpoint may not be sent any more.
    #[test]
    fn a_connect_that_comes_up_in_the_turn_in_which_its_time_is_over_carries_nothing() {
        for (give_up, ending) in [(100, Ending::GivenUp { whole: false }), (2000, Ending::NeverUp)] {
            let (listener, mut poll, mut turn, mut servers) = before_one();
            let carried = Carried { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(give_up) };
            let key =
                servers.send(0, carried, Message { head: HEAD, body: b"", coming: None }, &mut turn).unwrap();
            let (mut peer, _) = listener.accept().unwrap();
            let mut events = mio::Events::with_capacity(8);
            while events.is_empty() {
                poll.poll(&mut events, None).unwrap();
            }
            turn.now = turn.now + Span::from_millis(200);
            let ended = servers.ready(key, &mut turn).expect("its time is over");
            assert_eq!((ended.ending, ended.ending.outcome()), (ending, Outcome::ConnectFailure));
            assert_eq!(std::io::Read::read(&mut peer, &mut [0]).unwrap(), 0);
        }
    }

    /// Danger: a connection whose long answer outlasts its endpoint's index would carry the next request to another
    /// endpoint than the one that now has the index.
    #[test]
    fn a_connection_whose_index_is_used_again_while_its_answer_passes_is_closed() {
        let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        for (successor, stays) in [(None, true), (Some(other.local_addr().unwrap()), false)] {
            let (listener, mut poll, mut turn, mut servers) = before_one();
            let carried = Carried { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
            let key =
                servers.send(0, carried, Message { head: HEAD, body: b"", coming: None }, &mut turn).unwrap();
            let (mut peer, _) = listener.accept().unwrap();
            let long = format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(1000));
            std::io::Write::write_all(&mut peer, long.as_bytes()).unwrap();
            let mut events = mio::Events::with_capacity(8);
            let ended = loop {
                poll.poll(&mut events, None).unwrap();
                if let Some(ended) = servers.ready(key, &mut turn) {
                    break ended;
                }
            };
            servers.pass(key, ended.answer.unwrap(), ended.long.unwrap(), (key, 0, RequestEnd::Served));
            servers.forget(0, &mut turn);
            servers.place(0, successor.unwrap_or(listener.local_addr().unwrap()), None, &mut turn);
            std::io::Write::write_all(&mut peer, &[b'x'; 69_000]).unwrap();
            loop {
                match servers.piece(key, &mut turn) {
                    Piece::Data(range) => servers.taken(key, range.end),
                    Piece::End => break,
                    Piece::Later => poll.poll(&mut events, None).unwrap(),
                    _ => panic!("it passes"),
                }
            }
            servers.passed(key, &mut turn);
            assert_eq!(servers.has_idle(0), stays, "{successor:?}");
        }
    }

    /// Danger: what comes late behind an answer passes for the answer to the next request on its connection.
    #[test]
    fn a_connection_that_has_just_been_answered_is_used_last() {
        let (listener, mut poll, mut turn, mut servers) = before_one();
        let send = |servers: &mut Servers, turn: &mut Turn| {
            let carried = Carried { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
            servers.send(0, carried, Message { head: HEAD, body: b"", coming: None }, turn).unwrap()
        };
        let mut answered = |servers: &mut Servers, turn: &mut Turn, key, peer: &mut std::net::TcpStream| {
            answer(servers, turn, &mut poll, key, peer);
        };
        let keys = [(); 2].map(|()| send(&mut servers, &mut turn));
        let mut peers = [(); 2].map(|()| listener.accept().unwrap().0);
        // The connects may come up in either order.
        let port = |key: Key| servers.links.get(key).unwrap().connection.local_port();
        if peers[0].peer_addr().unwrap().port() != port(keys[0]) {
            peers.reverse();
        }
        answered(&mut servers, &mut turn, keys[0], &mut peers[0]);
        turn.now = turn.now + REST;
        answered(&mut servers, &mut turn, keys[1], &mut peers[1]);
        // The first has rested. Once it is out the second goes on all the same, and no third is opened.
        assert_eq!(send(&mut servers, &mut turn), keys[0]);
        assert_eq!(send(&mut servers, &mut turn), keys[1]);
        // Neither has rested: the one that was answered first goes.
        answered(&mut servers, &mut turn, keys[1], &mut peers[1]);
        turn.now = turn.now + Span::from_millis(1);
        answered(&mut servers, &mut turn, keys[0], &mut peers[0]);
        assert_eq!(send(&mut servers, &mut turn), keys[1]);
        // Where strays have come of late none that has not rested is used.
        servers.wary_until = turn.now + WARY_FOR;
        turn.room = 1;
        let third = send(&mut servers, &mut turn);
        assert!(!keys.contains(&third));
    }
}
