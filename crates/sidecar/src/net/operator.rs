//! The operators' side: a second address where each connection asks one thing in a line and is answered once.

use std::io;
use std::net::SocketAddr;

use appledyke::units::{Moment, Span};
use mio::Interest;
use mio::net::TcpListener;

use super::connection::{self, Connection};
use super::deadlines::Due;
use super::slots::{Key, Peer, Slots};
use super::{DESCRIPTOR_AGAIN, Turn};

/// Bytes that a line may have: several times the longest call.
const LINE_MOST: usize = 128;
/// Connections at once. One more is taken only when another goes: the oldest, those that are answered first.
const CALLERS_MOST: usize = 16;
/// Descriptors that all this takes at the most: the listener, the callers, and one that is taken before another goes.
pub const SOCKETS: usize = CALLERS_MOST + 2;
/// In which a line must have come, and in which an answer be read: a caller waits a second, and one that hangs
/// is to be gone before others fill the house.
const LINE_IN: Span = Span::from_millis(1500);
const READ_IN: Span = Span::from_millis(1500);

/// What is wrong with a line that asks for nothing that there is.
pub const UNKNOWN: &str = "unknown call; known are ready, show-stat, drain, resume";

/// What a line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Figures,
    Drain,
    /// Whatever is out in the fleet already, and why: of use to a member only.
    DrainAnyway(String),
    Resume,
}

struct Caller {
    connection: Connection,
    since: Moment,
    answered: bool,
    deadline: Option<Moment>,
}

pub struct Operators {
    listener: TcpListener,
    slots: Slots<Caller>,
    accept_at: Option<Moment>,
}

/// What the bytes say that a connection has brought: nothing yet, a call, or what is wrong with them.
fn call(bytes: &[u8], ended: bool) -> Option<Result<Call, &'static str>> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return match bytes.len() {
            LINE_MOST.. => Some(Err("the line is too long")),
            // Danger: the half of a line that broke off could be a call by itself.
            _ if ended => Some(Err("the line has no end")),
            _ => None,
        };
    };
    if !bytes[end..].trim_ascii().is_empty() {
        return Some(Err("one line to a connection"));
    }
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    Some(match line {
        b"ready" => Ok(Call::Ready),
        b"show-stat" => Ok(Call::Figures),
        b"drain" => Ok(Call::Drain),
        b"resume" => Ok(Call::Resume),
        b"" => Err("the line is empty"),
        line => match line.strip_prefix(b"drain anyway").map(std::str::from_utf8) {
            Some(Ok(why)) if why.is_empty() || why.starts_with(' ') => {
                Ok(Call::DrainAnyway(why.trim().to_string()))
            }
            _ => Err(UNKNOWN),
        },
    })
}

impl Operators {
    pub fn listen(at: SocketAddr, turn: &mut Turn) -> io::Result<Operators> {
        let mut listener = TcpListener::bind(at)?;
        turn.registry.register(&mut listener, Peer::Operators.token(), Interest::READABLE)?;
        Ok(Operators { listener, slots: Slots::default(), accept_at: None })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Takes all callers that wait. Returns how many, and whether there was no descriptor for one more.
    pub fn accept(&mut self, turn: &mut Turn) -> (usize, bool) {
        let mut taken = 0;
        // Danger: told at each try, it would keep all other lines out of the log.
        let told = self.accept_at.is_some();
        turn.deadlines.shift(Due::Operators, &mut self.accept_at, None);
        loop {
            let stream = match connection::accept(&self.listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => return (taken, false),
                Err(e) => {
                    if !told {
                        log::warn!("operator: accept: {e}");
                    }
                    // Danger: who waits to be taken brings no further event, and would wait for the next caller.
                    let again = turn.now + DESCRIPTOR_AGAIN;
                    turn.deadlines.shift(Due::Operators, &mut self.accept_at, Some(again));
                    return (taken, connection::lacks_descriptor(&e));
                }
            };
            taken += 1;
            // Danger: callers that connect and say nothing would keep out one that has something to ask.
            let oldest = self.slots.iter().min_by_key(|(_, c)| (!c.answered, c.since)).map(|(key, _)| key);
            if let Some(oldest) = oldest.filter(|_| self.slots.len() >= CALLERS_MOST) {
                self.close(oldest, turn);
            }
            let added = self.slots.insert_with(|key| {
                let connection = Connection::take(stream, &turn.registry, Peer::Operator(key).token())?;
                Ok::<_, io::Error>(Caller { connection, since: turn.now, answered: false, deadline: None })
            });
            match added {
                Ok(key) => self.time_out(key, turn.now + LINE_IN, turn),
                Err(e) => log::warn!("operator: {e}"),
            }
        }
    }

    fn time_out(&mut self, key: Key, at: Moment, turn: &mut Turn) {
        if let Some(caller) = self.slots.get_mut(key) {
            turn.deadlines.shift(Due::Operator(key), &mut caller.deadline, Some(at));
        }
    }

    fn close(&mut self, key: Key, turn: &mut Turn) {
        let Some(mut caller) = self.slots.remove(key) else { return };
        turn.deadlines.shift(Due::Operator(key), &mut caller.deadline, None);
        caller.connection.close(&turn.registry);
    }

    /// Reads and writes what a connection is ready for, and says what it asks, if that is known now; it is to
    /// be answered.
    pub fn ready(&mut self, key: Key, turn: &mut Turn) -> Option<Call> {
        let caller = self.slots.get_mut(key)?;
        let works = caller.connection.flush().is_ok() && caller.connection.fill(LINE_MOST).is_ok();
        if caller.answered {
            // What comes behind the line is owed nothing.
            caller.connection.input.clear();
            if !works || caller.connection.ended && caller.connection.all_sent() {
                self.close(key, turn);
            } else if caller.connection.all_sent() {
                caller.connection.finish();
            }
            return None;
        }
        let (bytes, ended) = (&caller.connection.input, caller.connection.ended);
        if !works || ended && bytes.is_empty() {
            self.close(key, turn);
            return None;
        }
        match call(bytes, ended)? {
            Ok(call) => {
                // Who has asked is answered soon, or is told that nobody knows.
                self.time_out(key, turn.now + LINE_IN, turn);
                Some(call)
            }
            Err(what) => {
                self.answer(key, &format!("400 {what}\n"), turn);
                None
            }
        }
    }

    /// Answers what this connection has asked; then it is over, once the caller has read it.
    pub fn answer(&mut self, key: Key, text: &str, turn: &mut Turn) {
        let Some(caller) = self.slots.get_mut(key) else { return };
        caller.answered = true;
        caller.connection.input.clear();
        if caller.connection.send(&[text.as_bytes()]).is_err() {
            return self.close(key, turn);
        }
        // Danger: closed outright with something unread, the answer itself could be lost on the way.
        if caller.connection.all_sent() {
            caller.connection.finish();
        }
        self.time_out(key, turn.now + READ_IN, turn);
    }

    /// A connection's time is up.
    pub fn timed_out(&mut self, key: Key, turn: &mut Turn) {
        let Some(caller) = self.slots.get_mut(key) else { return };
        caller.deadline = None;
        if caller.answered {
            self.close(key, turn);
        } else {
            self.answer(key, "400 no line came in time\n", turn);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_a_call_or_is_told_what_is_wrong_with_it() {
        for (bytes, wanted) in [
            (&b"ready\n"[..], Some(Ok(Call::Ready))),
            (b"show-stat\r\n", Some(Ok(Call::Figures))),
            (b"drain\n\r\n", Some(Ok(Call::Drain))),
            (b"resu", None),
            (b"\n", Some(Err("the line is empty"))),
            (b"drain\nresume\n", Some(Err("one line to a connection"))),
        ] {
            assert_eq!(call(bytes, false), wanted, "{}", bytes.escape_ascii());
        }
        for bytes in [&b"Drain\n"[..], b"drain \n", b"dr\0ain\n", b"\xff\xfe\n", b"GET / HTTP/1.1\r\n"] {
            assert!(matches!(call(bytes, false), Some(Err(_))), "{}", bytes.escape_ascii());
        }
        assert!(matches!(call(&[b'a'; LINE_MOST], false), Some(Err(_))));
        // A call whose line broke off is not obeyed: it could have gone on.
        assert!(matches!(call(b"drain", true), Some(Err(_))));
    }
}
