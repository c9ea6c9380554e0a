//! One connection: its buffers, reading and writing until the socket would block, and how it can end.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use appledyke::Outcome;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use socket2::SockRef;

/// Bytes read at a time: most messages come in one piece.
const READ_STEP: usize = 4096;
/// Room that an idle connection may keep, in bytes.
const KEPT_ROOM: usize = 8192;

/// Every way in which an attempt's connection can end, or its turn on one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole answer came.
    Answered { status: u16, turned_away: bool },
    /// The connection was refused, or did not come up in time.
    ConnectFailed,
    /// There was no room here for a connection.
    NoCapacity,
    /// It broke, or ended with no whole answer. `whole`: after the request's last byte was written.
    Broken { request_sent: bool },
    /// What came back is no answer.
    InvalidResponse,
    /// The time for it was up.
    TimedOut { request_sent: bool },
    /// The decision was to stop waiting.
    Cancelled { request_sent: bool },
}

impl AttemptResult {
    /// What this means to the decisions.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptResult::Answered { status: 200, .. } => Outcome::Success,
            AttemptResult::Answered { status: 503 | 504, turned_away: true } => Outcome::Overloaded,
            // Danger: what a bad client sends would be sent on from endpoint to endpoint, and held against each.
            AttemptResult::Answered { status: 400..=407 | 409..=428 | 430..=499, .. } => Outcome::ClientError,
            AttemptResult::Answered { .. } | AttemptResult::InvalidResponse => Outcome::Error,
            // Danger: before its last byte left, a request cannot have run; after it, it may have, whatever came.
            AttemptResult::ConnectFailed
            | AttemptResult::Broken { request_sent: false }
            | AttemptResult::TimedOut { request_sent: false } => Outcome::ConnectFailure,
            AttemptResult::Broken { request_sent: true } => Outcome::Reset,
            AttemptResult::TimedOut { request_sent: true } => Outcome::Timeout,
            // Danger: a shortage of our own, told as a refusal, would be held against the endpoint.
            AttemptResult::NoCapacity | AttemptResult::Cancelled { request_sent: false } => {
                Outcome::NeverSent
            }
            AttemptResult::Cancelled { request_sent: true } => Outcome::Cancelled,
        }
    }
}

pub struct Connection {
    stream: TcpStream,
    /// What was read and is not done with.
    pub input: Vec<u8>,
    unsent: Vec<u8>,
    sent: usize,
    /// The other side sends nothing more.
    pub ended: bool,
    /// Reading stopped at the limit, so no event will tell of what is left.
    pub full: bool,
    finished: bool,
    /// A read or a write has failed. Danger: the machine tells a reset once and an end from then on, so what only the
    /// connection's end ends would pass for whole.
    broken: bool,
    /// Its close is a reset, whoever closes it.
    resets: bool,
}

/// The next connection that waits at a listener.
pub fn accept(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Ok(Some(stream)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            // One that has gone before it was taken says nothing of the next.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Whether the process or the machine has no descriptor left for what was tried. Whoever closes one may try again at
/// once; no event tells when another does.
pub fn lacks_descriptor(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

impl Connection {
    pub fn open(to: SocketAddr, registry: &Registry, token: Token) -> io::Result<Connection> {
        Connection::take(TcpStream::connect(to)?, registry, token)
    }

    pub fn take(mut stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Connection> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        // It would wait for more to send; without the option it is only slower.
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            stream,
            input: Vec::new(),
            unsent: Vec::new(),
            sent: 0,
            ended: false,
            full: false,
            finished: false,
            broken: false,
            resets: false,
        })
    }

    #[cfg(test)]
    pub fn local_port(&self) -> u16 {
        self.stream.local_addr().expect("an address").port()
    }

    /// Whether a connection that was being opened is up by now.
    pub fn is_up(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    fn breaks(&mut self, error: io::Error) -> io::Error {
        self.broken = true;
        error
    }

    /// Reads until the socket would block, the other side ends or `most` bytes stand unread.
    pub fn fill(&mut self, most: usize) -> io::Result<()> {
        while !self.ended && self.input.len() < most {
            let len = self.input.len();
            // Room grows by doubling, but never past `most`: memory is budgeted by it.
            self.input.reserve_exact(len.max(READ_STEP).min(most - len));
            self.input.resize((len + READ_STEP).min(most), 0);
            let read = self.stream.read(&mut self.input[len..]);
            self.input.truncate(len + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) if self.broken => return Err(ErrorKind::ConnectionReset.into()),
                Ok(0) => self.ended = true,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(self.breaks(e)),
            }
        }
        self.full = self.input.len() >= most;
        Ok(())
    }

    /// Writes the parts; what the socket does not take now is copied, to be flushed later.
    pub fn send(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut taken = 0;
        if self.unsent.is_empty() {
            let slices: Vec<_> = parts.iter().map(|part| IoSlice::new(part)).collect();
            match self.stream.write_vectored(&slices) {
                Ok(n) => taken = n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(e) => return Err(self.breaks(e)),
            }
        }
        self.queue(parts, taken);
        self.flush()
    }

    /// Keeps the parts, but for so many bytes in front, to be flushed.
    pub fn queue(&mut self, parts: &[&[u8]], mut taken: usize) {
        for part in parts {
            let skip = taken.min(part.len());
            self.unsent.extend_from_slice(&part[skip..]);
            taken -= skip;
        }
    }

    /// Puts bytes in between, behind so many of those that are kept: none of these may have been sent.
    pub fn insert(&mut self, at: usize, bytes: &[u8]) {
        self.unsent.splice(at..at, bytes.iter().copied());
    }

    pub fn flush(&mut self) -> io::Result<()> {
        while self.sent < self.unsent.len() {
            match self.stream.write(&self.unsent[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(self.breaks(e)),
            }
        }
        (self.unsent, self.sent) = (Vec::new(), 0);
        Ok(())
    }

    /// Bytes that the socket has yet to take.
    pub fn unsent(&self) -> usize {
        self.unsent.len() - self.sent
    }

    pub fn all_sent(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Drops the message that stands first in the input.
    pub fn consume(&mut self, bytes: usize) {
        self.consume_at(0, bytes.min(self.input.len()));
    }

    /// Drops so many bytes behind others.
    pub fn consume_at(&mut self, at: usize, bytes: usize) {
        self.input.drain(at..at + bytes);
        if self.input.is_empty() && self.input.capacity() > KEPT_ROOM {
            self.input = Vec::new();
        }
    }

    /// Ends the sending; what was written still arrives. Danger: each shutdown wakes who polls this socket,
    /// so one that answered every event with another would keep the loop turning until the peer closes.
    pub fn finish(&mut self) {
        if !std::mem::replace(&mut self.finished, true) {
            if std::mem::take(&mut self.resets) {
                self.linger(None);
            }
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// From now on, until the sending is ended, its close is a reset, also where the process ends.
    pub fn reset_at_close(&mut self) {
        self.resets = true;
        self.linger(Some(Duration::ZERO));
    }

    fn linger(&self, most: Option<Duration>) {
        // A machine without the option closes it as any other.
        let _ = SockRef::from(&self.stream).set_linger(most);
    }

    pub fn close(mut self, registry: &Registry) {
        // A socket that cannot be deregistered is closed with its drop all the same.
        let _ = registry.deregister(&mut self.stream);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_connection_that_ends_its_sending_again_and_again_wakes_the_poll_once() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut poll = mio::Poll::new().unwrap();
        let mut connection =
            Connection::open(listener.local_addr().unwrap(), poll.registry(), Token(0)).unwrap();
        let _peer = listener.accept().unwrap();
        let mut events = mio::Events::with_capacity(8);
        let mut turns = 0;
        connection.finish();
        loop {
            poll.poll(&mut events, Some(std::time::Duration::ZERO)).unwrap();
            if events.is_empty() {
                break;
            }
            connection.finish();
            turns += 1;
            assert!(turns < 10, "each shutdown brings another event");
        }
    }

    #[test]
    fn what_the_socket_does_not_take_at_once_is_sent_later_and_in_order() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let poll = mio::Poll::new().unwrap();
        let to = listener.local_addr().unwrap();
        let mut connection = Connection::open(to, poll.registry(), Token(0)).unwrap();
        let (mut reader, _) = listener.accept().unwrap();
        let (mut sent, mut got) = (Vec::new(), Vec::new());
        while connection.all_sent() || sent.len() < 1 << 20 {
            let part = [sent.len() as u8; 10_007];
            connection.send(&[&part[..4], &part[4..]]).unwrap();
            sent.extend_from_slice(&part);
        }
        while got.len() < sent.len() {
            let mut piece = [0; 65536];
            let n = reader.read(&mut piece).unwrap();
            got.extend_from_slice(&piece[..n]);
            connection.flush().unwrap();
        }
        assert!(connection.all_sent() && got == sent);
        drop(reader);
        while !connection.ended {
            connection.fill(1).unwrap();
        }
    }
}
