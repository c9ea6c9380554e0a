//! The admin endpoint for operators: a second address where each connection sends one command line and gets one response.

use std::io;
use std::net::SocketAddr;

use appledyke::units::{Moment, Span};
use mio::Interest;
use mio::net::TcpListener;

use super::connection::{self, Connection};
use super::deadlines::Due;
use super::slots::{Key, Peer, Slots};
use super::{DESCRIPTOR_RETRY, Turn};

/// Connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// The maximum length of a line in bytes: several times the longest command.
const MAX_LINE_BYTES: usize = 128;
/// The maximum number of connections. To accept another one, the oldest is closed, answered ones first.
const MAX_CONNECTIONS: usize = 16;
/// The maximum number of file descriptors in use: the listener, the connections, and one that is accepted before another is
/// closed.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Time limits for receiving a line and for the client to read the response: operators' tools wait for a second, and a hung
/// connection must be closed before all connections are used up.
const LINE_TIMEOUT: Span = Span::from_millis(1500);
const READ_TIMEOUT: Span = Span::from_millis(1500);

/// The error for an unknown command.
pub const UNKNOWN_COMMAND: &str = "unknown call; known are ready, show-stat, drain, resume";

/// The command in a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Ready,
    ShowStat,
    Drain,
    /// Drain regardless of what is already out of service in the fleet, with a reason. Only supported by a fleet member.
    DrainAnyway(String),
    Resume,
}

struct AdminConnection {
    connection: Connection,
    since: Moment,
    answered: bool,
    deadline: Option<Moment>,
}

pub struct Operators {
    listener: TcpListener,
    slots: Slots<AdminConnection>,
    accept_retry_at: Option<Moment>,
}

/// Parses the bytes received on a connection: `None` if the line is incomplete, a command, or an error message.
fn parse_line(bytes: &[u8], ended: bool) -> Option<Result<Command, &'static str>> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return match bytes.len() {
            MAX_LINE_BYTES.. => Some(Err("the line is too long")),
            // Danger: a truncated line could be a valid command by itself.
            _ if ended => Some(Err("the line has no end")),
            _ => None,
        };
    };
    if !bytes[end..].trim_ascii().is_empty() {
        return Some(Err("one line to a connection"));
    }
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    Some(match line {
        b"ready" => Ok(Command::Ready),
        b"show-stat" => Ok(Command::ShowStat),
        b"drain" => Ok(Command::Drain),
        b"resume" => Ok(Command::Resume),
        b"" => Err("the line is empty"),
        line => match line.strip_prefix(b"drain anyway").map(std::str::from_utf8) {
            Some(Ok(why)) if why.is_empty() || why.starts_with(' ') => {
                Ok(Command::DrainAnyway(why.trim().to_string()))
            }
            _ => Err(UNKNOWN_COMMAND),
        },
    })
}

impl Operators {
    pub fn listen(at: SocketAddr, turn: &mut Turn) -> io::Result<Operators> {
        let mut listener = TcpListener::bind(at)?;
        turn.registry.register(&mut listener, Peer::Operators.token(), Interest::READABLE)?;
        Ok(Operators { listener, slots: Slots::default(), accept_retry_at: None })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts waiting connections, up to `MAX_ACCEPTS_PER_TURN`. Returns how many, and whether the process ran out of file
    /// descriptors.
    pub fn accept(&mut self, turn: &mut Turn) -> (usize, bool) {
        let mut accepted = 0;
        // Danger: logged at every retry, this would crowd all other lines out of the log.
        let logged = self.accept_retry_at.is_some();
        turn.deadlines.reschedule(Due::Operators, &mut self.accept_retry_at, None);
        loop {
            // Danger: callers that connect at full speed would keep all else waiting.
            if accepted == MAX_ACCEPTS_PER_TURN {
                let next_turn = turn.next_turn();
                turn.deadlines.reschedule(Due::Operators, &mut self.accept_retry_at, Some(next_turn));
                return (accepted, false);
            }
            let stream = match connection::accept(&self.listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => return (accepted, false),
                Err(e) => {
                    if !logged {
                        log::warn!("operator: accept: {e}");
                    }
                    // Danger: waiting connections raise no further event, and would wait until the next one arrives.
                    let again = turn.now + DESCRIPTOR_RETRY;
                    turn.deadlines.reschedule(Due::Operators, &mut self.accept_retry_at, Some(again));
                    return (accepted, connection::lacks_descriptor(&e));
                }
            };
            accepted += 1;
            // Danger: clients that connect and send nothing would keep out one that sends a command.
            let oldest = self.slots.iter().min_by_key(|(_, c)| (!c.answered, c.since)).map(|(key, _)| key);
            if let Some(oldest) = oldest.filter(|_| self.slots.len() >= MAX_CONNECTIONS) {
                self.close(oldest, turn);
            }
            let added = self.slots.insert_with(|key| {
                let connection =
                    Connection::from_stream(stream, &turn.registry, Peer::Operator(key).token())?;
                Ok::<_, io::Error>(AdminConnection {
                    connection,
                    since: turn.now,
                    answered: false,
                    deadline: None,
                })
            });
            match added {
                Ok(key) => self.set_deadline(key, turn.now + LINE_TIMEOUT, turn),
                Err(e) => log::warn!("operator: {e}"),
            }
        }
    }

    fn set_deadline(&mut self, key: Key, at: Moment, turn: &mut Turn) {
        if let Some(client) = self.slots.get_mut(key) {
            turn.deadlines.reschedule(Due::Operator(key), &mut client.deadline, Some(at));
        }
    }

    fn close(&mut self, key: Key, turn: &mut Turn) {
        let Some(mut client) = self.slots.remove(key) else { return };
        turn.deadlines.reschedule(Due::Operator(key), &mut client.deadline, None);
        client.connection.close(&turn.registry);
    }

    /// Reads and writes what a connection is ready for. Returns its command once it is known, which must then be answered.
    pub fn ready(&mut self, key: Key, turn: &mut Turn) -> Option<Command> {
        let client = self.slots.get_mut(key)?;
        let usable = client.connection.flush().is_ok() && client.connection.fill(MAX_LINE_BYTES).is_ok();
        if client.answered {
            // Input after the line is ignored.
            client.connection.input.clear();
            if !usable || client.connection.ended && client.connection.all_sent() {
                self.close(key, turn);
            } else if client.connection.all_sent() {
                client.connection.finish();
            }
            return None;
        }
        let (bytes, ended) = (&client.connection.input, client.connection.ended);
        if !usable || ended && bytes.is_empty() {
            self.close(key, turn);
            return None;
        }
        match parse_line(bytes, ended)? {
            Ok(call) => {
                // The command is answered soon; if not, the connection times out with an error.
                self.set_deadline(key, turn.now + LINE_TIMEOUT, turn);
                Some(call)
            }
            Err(what) => {
                self.answer(key, &format!("400 {what}\n"), turn);
                None
            }
        }
    }

    /// Sends the response on this connection, which is closed once the client has read it.
    pub fn answer(&mut self, key: Key, text: &str, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        client.answered = true;
        client.connection.input.clear();
        if client.connection.send(&[text.as_bytes()]).is_err() {
            return self.close(key, turn);
        }
        // Danger: closing a socket with unread input resets it, and the response itself could be lost.
        if client.connection.all_sent() {
            client.connection.finish();
        }
        self.set_deadline(key, turn.now + READ_TIMEOUT, turn);
    }

    /// Handles a connection whose deadline has passed.
    pub fn timed_out(&mut self, key: Key, turn: &mut Turn) {
        let Some(client) = self.slots.get_mut(key) else { return };
        client.deadline = None;
        if client.answered {
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
    fn lines_are_parsed_as_commands_or_get_an_error() {
        for (bytes, expected) in [
            (&b"ready\n"[..], Some(Ok(Command::Ready))),
            (b"show-stat\r\n", Some(Ok(Command::ShowStat))),
            (b"drain\n\r\n", Some(Ok(Command::Drain))),
            (b"resu", None),
            (b"\n", Some(Err("the line is empty"))),
            (b"drain\nresume\n", Some(Err("one line to a connection"))),
        ] {
            assert_eq!(parse_line(bytes, false), expected, "{}", bytes.escape_ascii());
        }
        for bytes in [&b"Drain\n"[..], b"drain \n", b"dr\0ain\n", b"\xff\xfe\n", b"GET / HTTP/1.1\r\n"] {
            assert!(matches!(parse_line(bytes, false), Some(Err(_))), "{}", bytes.escape_ascii());
        }
        assert!(matches!(parse_line(&[b'a'; MAX_LINE_BYTES], false), Some(Err(_))));
        // A truncated line is not executed: there could have been more of it.
        assert!(matches!(parse_line(b"drain", true), Some(Err(_))));
    }
}
