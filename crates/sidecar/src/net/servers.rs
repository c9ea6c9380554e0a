//! The endpoints' side: connections to them, write-outs and what comes back. One write-out at a time on a
//! connection.

use std::net::SocketAddr;

use appledyke::units::{Moment, Span};

use super::Turn;
use super::connection::{Connection, Ending};
use super::deadlines::Due;
use super::http::{self, Frame};
use super::slots::{Key, Peer, Slots};

/// Part of the endpoints' limit on idle connections after which this side closes one: well before them.
const IDLE_SHARE: f64 = 0.75;
/// How long a connection rests after an answer before it carries the next req, where bytes that nobody asked
/// for have come of late: what follows an answer shows by then. Else it goes on at once, as another
/// connection costs the endpoint work.
const REST: Span = Span::from_millis(2);
const WARY_FOR: Span = Span::from_millis(60_000);

/// In place of a req's index: its connection carries a probe, and in place of a write-out's number stands the endpoint.
pub const PROBE: usize = usize::MAX;

/// A write-out that a connection carries.
#[derive(Clone, Copy)]
pub struct Carried {
    pub req: usize,
    pub write_out: usize,
    pub give_up: Moment,
}

struct Link {
    connection: Connection,
    endpoint: usize,
    to: SocketAddr,
    up: bool,
    carries: Option<Carried>,
    deadline: Option<Moment>,
    /// The write-out that it carries is counted as written whole.
    counted: bool,
}

#[derive(Clone, Default)]
struct Place {
    address: Option<SocketAddr>,
    started: Option<Moment>,
    /// Idle connections and since when, the one used last at the end.
    idle: Vec<(Key, Moment)>,
}

impl Link {
    /// 1 once the last byte of the write-out that it carries is written, 0 before and after.
    fn newly_written(&mut self) -> u64 {
        let req = self.carries.is_some_and(|carried| carried.req != PROBE);
        let newly = req && self.connection.all_sent() && !std::mem::replace(&mut self.counted, true);
        u64::from(newly)
    }

    /// Whether it has neither ended nor brought what nobody asked for.
    fn still_idle(&mut self) -> bool {
        self.connection.fill(1).is_ok() && !self.connection.ended && self.connection.input.is_empty()
    }
}

/// How a write-out ended, and the answer if it has one, still in its connection's buffer.
pub struct Ended {
    pub carried: Carried,
    pub ending: Ending,
    pub answer: Option<Frame>,
}

pub struct Servers {
    links: Slots<Link>,
    places: Vec<Place>,
    idle_most: Span,
    connect_timeout: Span,
    /// Until when connections rest.
    wary_until: Moment,
    head: Vec<u8>,
    /// Write-outs whose last byte was written; probes are none.
    pub written: u64,
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
        }
    }

    /// Where an endpoint is to be found from now on, and since when. Danger: a machine that was cut off comes
    /// back without a word to the connections of before; a req written to one of them ends as a reset, and
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

    pub fn forget(&mut self, endpoint: usize, turn: &mut Turn) {
        self.close_idle(endpoint, turn);
        if let Some(place) = self.places.get_mut(endpoint) {
            place.address = None;
        }
    }

    fn close(&mut self, key: Key, turn: &mut Turn) {
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

    /// Starts a write-out of the req with this head and body, on an idle connection or a new one.
    pub fn send(
        &mut self,
        endpoint: usize,
        carried: Carried,
        (head, body): (&[u8], &[u8]),
        turn: &mut Turn,
    ) -> Result<Key, Ending> {
        self.head.clear();
        let left = carried.give_up.since(turn.now);
        let out = &mut self.head;
        http::with_request(head, |request| http::forwarded_head(out, request, body.len(), left));
        // Danger: what comes late behind an answer would pass for the answer to the next req.
        let now = turn.now;
        let rest = if now < self.wary_until { REST } else { Span::ZERO };
        let rested = |place: &mut Place| {
            let at = place.idle.iter().rposition(|(_, since)| now.since(*since) >= rest)?;
            Some(place.idle.remove(at).0)
        };
        while let Some(key) = self.places.get_mut(endpoint).and_then(rested) {
            let Some(link) = self.links.get_mut(key) else { continue };
            // Danger: written to a connection that the endpoint has ended, a req may have run for all that
            // can be told; so look for an end, and for bytes nobody asked for, before it is used again.
            if !link.still_idle() {
                self.close_unasked(key, turn);
                continue;
            }
            if link.connection.send(&[&self.head, body]).is_err() {
                self.close(key, turn);
                return Err(Ending::Broken { whole: false });
            }
            (link.carries, link.counted) = (Some(carried), false);
            self.written += link.newly_written();
            turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(carried.give_up));
            return Ok(key);
        }
        let to = self.places.get(endpoint).and_then(|place| place.address).ok_or(Ending::NeverUp)?;
        if turn.room <= 0 && !self.make_room(turn) {
            return Err(Ending::NoRoom);
        }
        let opened = self.links.insert_with(|key| {
            let mut connection = Connection::open(to, &turn.registry, Peer::Server(key).token())?;
            connection.queue(&[&self.head, body], 0);
            let carries = Some(carried);
            Ok(Link { connection, endpoint, to, up: false, carries, deadline: None, counted: false })
        });
        // What fails at once is the machine's: a refusal comes as an event.
        let key = opened.map_err(|e: std::io::Error| {
            log::warn!("connect {to}: {e}");
            Ending::NoRoom
        })?;
        turn.room -= 1;
        let link = self.links.get_mut(key).expect("just added");
        let until = carried.give_up.min(turn.now + self.connect_timeout);
        turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(until));
        Ok(key)
    }

    /// Closes the connection that has been idle for longest.
    pub fn make_room(&mut self, turn: &mut Turn) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.carries.is_none());
        let Some(key) = idle.min_by_key(|(_, link)| link.deadline).map(|(key, _)| key) else { return false };
        self.close(key, turn);
        true
    }

    /// Reads and writes what a connection is ready for; says so if its write-out has ended by that.
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
            match link.connection.is_up() {
                Ok(true) => link.up = true,
                Ok(false) => return None,
                Err(_) => return self.end(key, Ending::NeverUp, turn),
            }
            turn.deadlines.shift(Due::Server(key), &mut link.deadline, Some(carried.give_up));
        }
        let written = link.connection.flush();
        let whole = link.connection.all_sent();
        self.written += link.newly_written();
        let read = link.connection.fill(http::MESSAGE_MOST);
        let ended = link.connection.ended;
        // What was read before the connection broke still counts.
        let ending = match http::answer(&mut link.connection.input, ended) {
            Ok(Some((frame, status, turned_away))) => {
                let ending = Ending::Answered { status, turned_away };
                link.carries = None;
                let keep = frame.keep && whole && !ended && read.is_ok() && written.is_ok();
                return Some(Ended { carried, ending, answer: Some(Frame { keep, ..frame }) });
            }
            Err(_) => Ending::Garbled,
            Ok(None) if ended || read.is_err() || written.is_err() => Ending::Broken { whole },
            Ok(None) => return None,
        };
        self.end(key, ending, turn)
    }

    fn end(&mut self, key: Key, ending: Ending, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get_mut(key)?;
        let carried = link.carries.take();
        if matches!(ending, Ending::NeverUp | Ending::Broken { .. } | Ending::Garbled) {
            log::info!("connection to {}: {ending:?}", link.to);
        }
        self.close(key, turn);
        Some(Ended { carried: carried?, ending, answer: None })
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

    /// Stops waiting for a write-out. Closing its connection tells the endpoint.
    pub fn withdraw(&mut self, key: Key, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get(key)?;
        let whole = link.up && link.connection.all_sent();
        self.end(key, Ending::Withdrawn { whole }, turn)
    }

    /// A connection's time is up: it did not come up, its write-out is given up, or it stood idle for long.
    pub fn overdue(&mut self, key: Key, turn: &mut Turn) -> Option<Ended> {
        let link = self.links.get_mut(key)?;
        link.deadline = None;
        let Some(carried) = link.carries else {
            self.close(key, turn);
            return None;
        };
        let whole = link.up && link.connection.all_sent();
        let up = link.up || turn.now >= carried.give_up;
        self.end(key, if up { Ending::GivenUp { whole } } else { Ending::NeverUp }, turn)
    }
}

#[cfg(test)]
mod tests {
    use appledyke::Outcome;

    use super::*;

    const HEAD: &[u8] = b"GET /view HTTP/1.1\r\nX-Txn: 1\r\n\r\n";

    #[test]
    fn a_connect_that_never_comes_up_never_ran_and_leaves_nothing_behind() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let mut turn = Turn { now: Moment::from_nanos(1), registry, deadlines: Default::default(), room: 2 };
        let mut servers = Servers::new(Span::from_millis(60_000), Span::from_millis(200));
        servers.place(0, listener.local_addr().unwrap(), None, &mut turn);
        let give_up = turn.now + Span::from_millis(2000);
        let carried = Carried { req: 0, write_out: 0, give_up };
        let send = |servers: &mut Servers, turn: &mut Turn| servers.send(0, carried, (HEAD, b""), turn);
        let key = send(&mut servers, &mut turn).unwrap();
        send(&mut servers, &mut turn).unwrap();
        // Both carry a req, so there is no room for a third.
        assert_eq!(send(&mut servers, &mut turn), Err(Ending::NoRoom));
        assert_eq!(Ending::NoRoom.outcome(), Outcome::NeverSent);
        // No event has told of it by the time that a connect may take.
        turn.now = turn.now + Span::from_millis(200);
        assert_eq!(turn.deadlines.pop(turn.now), Some(Due::Server(key)));
        let ended = servers.overdue(key, &mut turn).unwrap();
        assert_eq!((ended.ending, ended.ending.outcome()), (Ending::NeverUp, Outcome::RefusedConnection));
        // What is still heard of the old connection finds nothing.
        assert!(servers.ready(key, &mut turn).is_none() && servers.overdue(key, &mut turn).is_none());
        assert!(send(&mut servers, &mut turn).is_ok());
    }
}
