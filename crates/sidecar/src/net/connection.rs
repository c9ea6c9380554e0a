//! A connection: its buffers, reads and writes until the socket would block, and the ways in which it can end.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use appledyke::Outcome;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use socket2::SockRef;

/// The number of bytes to read at a time: most messages fit.
const READ_BYTES: usize = 4096;
/// The buffer capacity in bytes that an idle connection may keep.
const MAX_IDLE_BUFFER: usize = 8192;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete response arrived.
    Answered { status: u16, turned_away: bool },
    /// The connection was refused, or the connect did not complete in time.
    ConnectFailed,
    /// This process had no capacity for another connection.
    NoCapacity,
    /// The connection broke, or was closed before the response was complete. `request_sent`: after the last byte of the
    /// request was written.
    Broken { request_sent: bool },
    /// The received bytes are not a valid response.
    InvalidResponse,
    /// The attempt timed out.
    TimedOut { request_sent: bool },
    /// The balancer, or the client's disconnect, cancelled the attempt.
    Cancelled { request_sent: bool },
}

impl AttemptResult {
    /// The outcome that the balancer is told.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptResult::Answered { status: 200, .. } => Outcome::Success,
            AttemptResult::Answered { status: 503 | 504, turned_away: true } => Outcome::Overloaded,
            // Danger: counted as errors, a bad client's requests would be retried on endpoint after endpoint and held
            // against each of them.
            AttemptResult::Answered { status: 400..=407 | 409..=428 | 430..=499, .. } => Outcome::ClientError,
            AttemptResult::Answered { .. } | AttemptResult::InvalidResponse => Outcome::Error,
            // Danger: a request cannot have run before its last byte was sent; after that it may have, whatever response
            // came.
            AttemptResult::ConnectFailed
            | AttemptResult::Broken { request_sent: false }
            | AttemptResult::TimedOut { request_sent: false } => Outcome::ConnectFailure,
            AttemptResult::Broken { request_sent: true } => Outcome::Reset,
            AttemptResult::TimedOut { request_sent: true } => Outcome::Timeout,
            // Danger: a shortage in this process, reported as a refused connection, would be held against the endpoint.
            AttemptResult::NoCapacity | AttemptResult::Cancelled { request_sent: false } => {
                Outcome::NeverSent
            }
            AttemptResult::Cancelled { request_sent: true } => Outcome::Cancelled,
        }
    }
}

pub struct Connection {
    stream: TcpStream,
    /// Bytes read and not consumed yet.
    pub input: Vec<u8>,
    /// The number of bytes read since it was opened.
    pub received: u64,
    unsent: Vec<u8>,
    sent: usize,
    /// The peer has closed its sending side.
    pub ended: bool,
    /// Reading stopped at the limit, so no event will report the input left in the socket.
    pub full: bool,
    finished: bool,
    /// A read or a write has failed. Danger: the kernel reports a reset only once and a regular close from then on, so a
    /// body that is delimited by the close would look complete.
    broken: bool,
    /// Closing it sends a reset, also when the process ends.
    resets: bool,
}

/// Accepts the next waiting connection, if there is one.
pub fn accept(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Ok(Some(stream)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            // A connection that was closed before it was accepted says nothing about the next.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Whether an operation failed because the process or the machine is out of file descriptors. After closing one, retry
/// immediately; no event reports when another process closes one.
pub fn lacks_descriptor(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

impl Connection {
    pub fn open(to: SocketAddr, registry: &Registry, token: Token) -> io::Result<Connection> {
        Connection::from_stream(TcpStream::connect(to)?, registry, token)
    }

    pub fn from_stream(mut stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Connection> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        // Sends small writes without delay; if the option cannot be set, the connection is only slower.
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            stream,
            input: Vec::new(),
            received: 0,
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

    /// The size of the socket's receive buffer in bytes.
    pub fn receive_buffer(&self) -> u64 {
        SockRef::from(&self.stream).recv_buffer_size().unwrap_or(0) as u64
    }

    /// Whether the connect has completed.
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

    fn record_failure(&mut self, error: io::Error) -> io::Error {
        self.broken = true;
        error
    }

    /// Reads until the socket would block, the peer closes or `limit` bytes are buffered.
    pub fn fill(&mut self, limit: usize) -> io::Result<()> {
        while !self.ended && self.input.len() < limit {
            let len = self.input.len();
            // The buffer grows by doubling, but never past `limit`, on which the memory budget is based.
            self.input.reserve_exact(len.max(READ_BYTES).min(limit - len));
            self.input.resize((len + READ_BYTES).min(limit), 0);
            let read = self.stream.read(&mut self.input[len..]);
            self.input.truncate(len + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) if self.broken => return Err(ErrorKind::ConnectionReset.into()),
                Ok(0) => self.ended = true,
                Ok(n) => self.received += n as u64,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(self.record_failure(e)),
            }
        }
        self.full = self.input.len() >= limit;
        Ok(())
    }

    /// Writes the parts; what the socket does not accept now is queued and flushed later.
    pub fn send(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut written = 0;
        if self.unsent.is_empty() {
            let slices: Vec<_> = parts.iter().map(|part| IoSlice::new(part)).collect();
            match self.stream.write_vectored(&slices) {
                Ok(n) => written = n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(e) => return Err(self.record_failure(e)),
            }
        }
        self.queue(parts, written);
        self.flush()
    }

    /// Queues the parts for the next flush, without their first `written` bytes.
    pub fn queue(&mut self, parts: &[&[u8]], mut written: usize) {
        for part in parts {
            let skip = written.min(part.len());
            self.unsent.extend_from_slice(&part[skip..]);
            written -= skip;
        }
    }

    /// Inserts bytes at an offset in the queued bytes, none of which may have been sent.
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
                Err(e) => return Err(self.record_failure(e)),
            }
        }
        (self.unsent, self.sent) = (Vec::new(), 0);
        Ok(())
    }

    /// The number of queued bytes.
    pub fn unsent(&self) -> usize {
        self.unsent.len() - self.sent
    }

    pub fn all_sent(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Drops bytes from the front of the input.
    pub fn consume(&mut self, bytes: usize) {
        self.consume_at(0, bytes.min(self.input.len()));
    }

    /// Drops bytes from the input at an offset.
    pub fn consume_at(&mut self, at: usize, bytes: usize) {
        self.input.drain(at..at + bytes);
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_BUFFER {
            self.input = Vec::new();
        }
    }

    /// Closes the sending side; bytes already written still arrive. Danger: each shutdown raises an event on this socket, so
    /// shutting it down again at every event would keep the event loop spinning until the peer closes.
    pub fn finish(&mut self) {
        if !std::mem::replace(&mut self.finished, true) {
            if std::mem::take(&mut self.resets) {
                self.linger(None);
            }
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Makes every close before `finish` send a reset, even one by the end of the process.
    pub fn reset_at_close(&mut self) {
        self.resets = true;
        self.linger(Some(Duration::ZERO));
    }

    fn linger(&self, limit: Option<Duration>) {
        // Where the option is not supported, the connection is closed normally.
        let _ = SockRef::from(&self.stream).set_linger(limit);
    }

    pub fn close(mut self, registry: &Registry) {
        // A socket that cannot be deregistered is still closed when it is dropped.
        let _ = registry.deregister(&mut self.stream);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeated_finish_raises_only_one_event() {
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
            assert!(turns < 10, "each shutdown raises another event");
        }
    }

    #[test]
    fn bytes_that_the_socket_does_not_accept_are_sent_later_in_order() {
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
