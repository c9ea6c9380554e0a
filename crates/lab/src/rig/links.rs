//! Links between two processes through a TCP proxy of the rig. A link can hold data in one or both directions and deliver
//! it late, limit its rate, or reset its connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use socket2::SockRef;

/// Largest read of a proxy, and so the granularity of a rate limit.
const CHUNK: usize = 16 * 1024;
/// Timeout for a connect to the target: on the loopback a connect is answered at once or refused.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay that a lost packet adds to a stream with little data in flight: the minimum retransmission timeout of common systems.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    #[default]
    Open,
    /// Data is held without an error, and delivered once the direction is open again.
    Held,
    /// Rate limit in bytes per second.
    Slow(u32),
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Towards the target.
    pub to: Flow,
    /// From the target.
    pub back: Flow,
    /// Resets new connections at once.
    pub resets_new: bool,
}

impl LinkState {
    /// Holds data in both directions, without errors.
    pub fn partitioned() -> LinkState {
        LinkState { to: Flow::Held, back: Flow::Held, resets_new: false }
    }
}

#[derive(Default)]
struct Inner {
    state: LinkState,
    /// Current address of the target process.
    target: Option<SocketAddr>,
    /// Number and both ends of each open connection.
    open: Vec<(u64, TcpStream, TcpStream)>,
    next: u64,
    closed: bool,
    /// Delay in one direction, and the share of chunks that are delayed further by a lost packet.
    delay_and_loss: (Duration, f64),
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    /// Bytes forwarded to the target and from it.
    bytes: [AtomicU64; 2],
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no proxy panics with the lock")
    }
}

/// A link that is closed on drop. Its address stays the same when the target changes.
pub struct Link {
    shared: Arc<Shared>,
    at: SocketAddr,
}

impl Link {
    /// # Errors
    /// The operating system's error if no address can be listened on.
    pub fn new(target: Option<SocketAddr>) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let inner = Inner { target, ..Inner::default() };
        let shared = Shared { inner: Mutex::new(inner), changed: Condvar::new(), bytes: Default::default() };
        let shared = Arc::new(shared);
        let own = shared.clone();
        thread::spawn(move || accept(&listener, &own));
        Ok(Link { shared, at })
    }

    /// Returns the address that clients of this link connect to.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, at: SocketAddr) {
        self.shared.lock().target = Some(at);
    }

    /// Sets the one-way delay of new connections, and the share of chunks that wait, with all data behind them, for a
    /// retransmission.
    pub fn set_delay(&self, delay: Duration, loss: f64) {
        self.shared.lock().delay_and_loss = (delay, loss);
    }

    pub fn set_state(&self, state: LinkState) {
        self.shared.lock().state = state;
        self.shared.changed.notify_all();
    }

    /// Resets every open connection; data held in them is lost.
    pub fn reset(&self) {
        let open = std::mem::take(&mut self.shared.lock().open);
        for (_, one, other) in open {
            reset_stream(&one);
            reset_stream(&other);
        }
        self.shared.changed.notify_all();
    }

    /// Returns the bytes forwarded so far: to the target, and from it.
    pub fn bytes(&self) -> [u64; 2] {
        [0, 1].map(|way| self.shared.bytes[way].load(Ordering::SeqCst))
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.reset();
        // Wakes the accepting thread, which then exits.
        let _ = TcpStream::connect_timeout(&self.at, CONNECT_TIMEOUT);
    }
}

fn reset_stream(stream: &TcpStream) {
    // Closing with a linger time of zero sends a reset to the peer.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for client in listener.incoming() {
        let (state, target, closed, delay_and_loss) = {
            let inner = shared.lock();
            (inner.state, inner.target, inner.closed, inner.delay_and_loss)
        };
        if closed {
            return;
        }
        let Ok(client) = client else { continue };
        let upstream = target.filter(|_| !state.resets_new);
        let upstream = upstream.and_then(|at| TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok());
        let Some(upstream) = upstream else {
            reset_stream(&client);
            continue;
        };
        let (_, _) = (client.set_nodelay(true), upstream.set_nodelay(true));
        let Ok(ends) = copies(&client, &upstream) else { continue };
        let number = {
            let mut inner = shared.lock();
            inner.next += 1;
            let number = inner.next;
            inner.open.push((number, client, upstream));
            number
        };
        let [(one, two), (three, four)] = ends;
        for (from, to, way) in [(one, two, 0), (three, four, 1)] {
            let shared = shared.clone();
            if delay_and_loss.0.is_zero() {
                thread::spawn(move || forward(from, to, way, number, &shared));
            } else {
                let (sender, receiver) = channel();
                let Ok(own) = from.try_clone() else { continue };
                thread::spawn(move || read_delayed(own, delay_and_loss, 2 * number + way as u64, &sender));
                thread::spawn(move || write_delayed(&from, to, way, number, &shared, &receiver));
            }
        }
    }
}

type Ends = [(TcpStream, TcpStream); 2];

fn copies(client: &TcpStream, upstream: &TcpStream) -> std::io::Result<Ends> {
    Ok([(client.try_clone()?, upstream.try_clone()?), (upstream.try_clone()?, client.try_clone()?)])
}

/// Waits while the direction is held. Returns the time that `bytes` take at its rate, or `None` once the connection or the
/// link is closed.
fn pace(shared: &Shared, way: usize, number: u64, bytes: usize) -> Option<Duration> {
    let mut inner = shared.lock();
    loop {
        if inner.closed || !inner.open.iter().any(|(open, _, _)| *open == number) {
            return None;
        }
        match [inner.state.to, inner.state.back][way] {
            Flow::Open => return Some(Duration::ZERO),
            Flow::Slow(rate) => {
                return Some(Duration::from_secs_f64(bytes as f64 / f64::from(rate.max(1))));
            }
            Flow::Held => inner = shared.changed.wait(inner).expect("no proxy panics with the lock"),
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, way: usize, number: u64, shared: &Shared) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let length = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let Some(time) = pace(shared, way, number, length) else { break };
        thread::sleep(time);
        // Counted before the write, so that a receiver of the data sees it counted.
        shared.bytes[way].fetch_add(length as u64, Ordering::SeqCst);
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    end(&from, &to, way, number, shared);
}

/// Closes both ends. The close is held like data, as a partitioned process cannot signal it either.
fn end(from: &TcpStream, to: &TcpStream, way: usize, number: u64, shared: &Shared) {
    if pace(shared, way, number, 0).is_some() {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
        shared.lock().open.retain(|(open, _, _)| *open != number);
        shared.changed.notify_all();
    }
}

/// Reads chunks from a stream and sends each with its time of delivery after delay and loss.
fn read_delayed(
    mut from: TcpStream,
    (delay, loss): (Duration, f64),
    seed: u64,
    chunks: &Sender<(Instant, Vec<u8>)>,
) {
    let (mut random, mut last) = (Rand64::new(u128::from(seed)), Instant::now());
    let mut chunk = vec![0; CHUNK];
    loop {
        let length = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let lost = random.rand_float() < loss;
        let retransmission = if lost { RETRANSMISSION + 2 * delay } else { Duration::ZERO };
        last = last.max(Instant::now() + delay + retransmission);
        if chunks.send((last, chunk[..length].to_vec())).is_err() {
            break;
        }
    }
}

fn write_delayed(
    from: &TcpStream,
    mut to: TcpStream,
    way: usize,
    number: u64,
    shared: &Shared,
    chunks: &Receiver<(Instant, Vec<u8>)>,
) {
    while let Ok((at, chunk)) = chunks.recv() {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let Some(time) = pace(shared, way, number, chunk.len()) else { break };
        thread::sleep(time);
        shared.bytes[way].fetch_add(chunk.len() as u64, Ordering::SeqCst);
        if to.write_all(&chunk).is_err() {
            break;
        }
    }
    end(from, &to, way, number, shared);
}

/// Connects, and retries a refused connection until the timeout.
///
/// # Errors
/// The error of the last attempt.
pub fn connect(at: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    let until = Instant::now() + within;
    loop {
        match TcpStream::connect_timeout(&at, CONNECT_TIMEOUT) {
            Err(e) if e.kind() == ErrorKind::ConnectionRefused && Instant::now() < until => {
                thread::sleep(Duration::from_millis(5));
            }
            other => return other,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Starts an echo server.
    fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                thread::spawn(move || {
                    let mut back = stream.try_clone().unwrap();
                    let _ = std::io::copy(&mut stream, &mut back);
                });
            }
        });
        at
    }

    fn receive(stream: &mut TcpStream, bytes: usize) -> std::io::Result<Vec<u8>> {
        let mut received = vec![0; bytes];
        stream.read_exact(&mut received)?;
        Ok(received)
    }

    /// Danger: an immediate reset may fail the connect itself on a busy machine, and the first read otherwise.
    fn is_refused(link: &Link) -> bool {
        let Ok(mut stream) = connect(link.at(), CONNECT_TIMEOUT) else { return true };
        stream.set_read_timeout(Some(CONNECT_TIMEOUT)).is_err()
            || matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_))
    }

    #[test]
    fn a_link_holds_and_later_delivers_each_direction_and_resets() {
        let link = Link::new(Some(echo())).unwrap();
        let mut stream = connect(link.at(), CONNECT_TIMEOUT).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(80))).unwrap();
        stream.write_all(b"one").unwrap();
        assert_eq!(receive(&mut stream, 3).unwrap(), b"one");
        for state in [LinkState { to: Flow::Held, ..LinkState::default() }, LinkState::partitioned()] {
            link.set_state(state);
            let before = link.bytes();
            stream.write_all(b"two").unwrap();
            let said = receive(&mut stream, 3).unwrap_err().kind();
            assert!(matches!(said, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{said}");
            assert_eq!(link.bytes(), before);
            link.set_state(LinkState::default());
            stream.set_read_timeout(Some(CONNECT_TIMEOUT)).unwrap();
            assert_eq!(receive(&mut stream, 3).unwrap(), b"two");
            stream.set_read_timeout(Some(Duration::from_millis(80))).unwrap();
        }
        // Held in one direction: data to the target arrives, its replies do not.
        link.set_state(LinkState { back: Flow::Held, ..LinkState::default() });
        let before = link.bytes();
        stream.write_all(b"three").unwrap();
        let until = Instant::now() + CONNECT_TIMEOUT;
        while link.bytes()[0] - before[0] < 5 {
            assert!(Instant::now() < until, "no bytes were forwarded to the target");
            thread::sleep(Duration::from_millis(1));
        }
        receive(&mut stream, 5).unwrap_err();
        assert_eq!(link.bytes()[1], before[1]);
        link.reset();
        stream.set_read_timeout(Some(CONNECT_TIMEOUT)).unwrap();
        assert!(matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)));
        link.set_state(LinkState { resets_new: true, ..LinkState::default() });
        assert!(is_refused(&link));
        // The target does not listen, then listens.
        link.set_state(LinkState::default());
        link.set_target("127.0.0.1:1".parse().unwrap());
        assert!(is_refused(&link));
        link.set_target(echo());
        let mut again = connect(link.at(), CONNECT_TIMEOUT).unwrap();
        again.write_all(b"four").unwrap();
        assert_eq!(receive(&mut again, 4).unwrap(), b"four");
    }

    #[test]
    fn a_rate_limit_delays_data() {
        let link = Link::new(Some(echo())).unwrap();
        link.set_state(LinkState { to: Flow::Slow(10_000), ..LinkState::default() });
        let mut stream = connect(link.at(), CONNECT_TIMEOUT).unwrap();
        let start = Instant::now();
        stream.write_all(&[7; 1000]).unwrap();
        assert_eq!(receive(&mut stream, 1000).unwrap(), [7; 1000]);
        assert!(start.elapsed() >= Duration::from_millis(99), "{:?}", start.elapsed());
    }
}
