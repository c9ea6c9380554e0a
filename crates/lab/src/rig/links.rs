//! Links between two processes, each through a proxy of the rig: cut both ways or one way, held back and delivered
//! late, slow, or reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use socket2::SockRef;

/// Bytes that a proxy reads at a time: a slow link paces by pieces of this size at the most.
const PIECE: usize = 16 * 1024;
/// Longest that a proxy waits for the process behind it: on the loopback a connect is answered at once or refused.
const CONNECT: Duration = Duration::from_secs(2);
/// What a lost packet costs a stream of which little is under way: the least retransmission timeout of common systems.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// How one direction of a link stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    #[default]
    Open,
    /// Nothing passes and nobody is told; what was sent meanwhile is delivered late, once it opens again.
    Held,
    /// So many bytes a second.
    Slow(u32),
}

/// How a link stands: towards the process that it leads to, and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    pub to: Way,
    pub back: Way,
    /// New connections are reset at once.
    pub refuses: bool,
}

impl Standing {
    /// Cut both ways, silently.
    pub fn cut() -> Standing {
        Standing { to: Way::Held, back: Way::Held, refuses: false }
    }
}

#[derive(Default)]
struct Inner {
    standing: Standing,
    /// Where the process listens now.
    leads_to: Option<SocketAddr>,
    /// Both ends of each connection that is open.
    open: Vec<(u64, TcpStream, TcpStream)>,
    next: u64,
    over: bool,
    /// How long all takes in one direction, and what share of the pieces a lost packet holds up.
    late: (Duration, f64),
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    /// Bytes passed on, to and back.
    bytes: [AtomicU64; 2],
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no proxy panics with the lock")
    }
}

/// A link, as long as this value lives. Its address stays the same, whatever stands behind it.
pub struct Link {
    shared: Arc<Shared>,
    at: SocketAddr,
}

impl Link {
    /// # Errors
    /// What the system says if there is no address to listen at.
    pub fn new(leads_to: Option<SocketAddr>) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let inner = Inner { leads_to, ..Inner::default() };
        let shared = Shared { inner: Mutex::new(inner), changed: Condvar::new(), bytes: Default::default() };
        let shared = Arc::new(shared);
        let own = shared.clone();
        thread::spawn(move || accept(&listener, &own));
        Ok(Link { shared, at })
    }

    /// Where the process before this link connects to.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// The process behind listens here from now on.
    pub fn lead_to(&self, at: SocketAddr) {
        self.shared.lock().leads_to = Some(at);
    }

    /// Connections that come from now on are over a path of this delay in one direction, on which this share of the pieces
    /// waits for a packet to be sent again, and all behind them.
    pub fn delays(&self, delay: Duration, loss: f64) {
        self.shared.lock().late = (delay, loss);
    }

    pub fn stand(&self, standing: Standing) {
        self.shared.lock().standing = standing;
        self.shared.changed.notify_all();
    }

    /// Resets every connection that is open; what was held back in them is lost.
    pub fn reset(&self) {
        let open = std::mem::take(&mut self.shared.lock().open);
        for (_, one, other) in open {
            break_off(&one);
            break_off(&other);
        }
        self.shared.changed.notify_all();
    }

    /// Bytes passed on so far: to the process behind, and back.
    pub fn bytes(&self) -> [u64; 2] {
        [0, 1].map(|way| self.shared.bytes[way].load(Ordering::SeqCst))
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.lock().over = true;
        self.reset();
        // Wakes the thread that accepts, which then ends.
        let _ = TcpStream::connect_timeout(&self.at, CONNECT);
    }
}

fn break_off(stream: &TcpStream) {
    // Closed with nothing lingering a connection is reset, and its peer told so.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for before in listener.incoming() {
        let (standing, leads_to, over, late) = {
            let inner = shared.lock();
            (inner.standing, inner.leads_to, inner.over, inner.late)
        };
        if over {
            return;
        }
        let Ok(before) = before else { continue };
        let behind = leads_to.filter(|_| !standing.refuses);
        let behind = behind.and_then(|at| TcpStream::connect_timeout(&at, CONNECT).ok());
        let Some(behind) = behind else {
            break_off(&before);
            continue;
        };
        let (_, _) = (before.set_nodelay(true), behind.set_nodelay(true));
        let Ok(ends) = copies(&before, &behind) else { continue };
        let number = {
            let mut inner = shared.lock();
            inner.next += 1;
            let number = inner.next;
            inner.open.push((number, before, behind));
            number
        };
        let [(one, two), (three, four)] = ends;
        for (from, to, way) in [(one, two, 0), (three, four, 1)] {
            let shared = shared.clone();
            if late.0.is_zero() {
                thread::spawn(move || carry(from, to, way, number, &shared));
            } else {
                let (pieces, come) = channel();
                let Ok(own) = from.try_clone() else { continue };
                thread::spawn(move || collect(own, late, 2 * number + way as u64, &pieces));
                thread::spawn(move || deliver(&from, to, way, number, &shared, &come));
            }
        }
    }
}

type Ends = [(TcpStream, TcpStream); 2];

fn copies(before: &TcpStream, behind: &TcpStream) -> std::io::Result<Ends> {
    Ok([(before.try_clone()?, behind.try_clone()?), (behind.try_clone()?, before.try_clone()?)])
}

/// Waits while its direction is held; the time that so many bytes take on a slow one, or nothing once it is over.
fn pace(shared: &Shared, way: usize, number: u64, bytes: usize) -> Option<Duration> {
    let mut inner = shared.lock();
    loop {
        if inner.over || !inner.open.iter().any(|(open, _, _)| *open == number) {
            return None;
        }
        match [inner.standing.to, inner.standing.back][way] {
            Way::Open => return Some(Duration::ZERO),
            Way::Slow(rate) => {
                return Some(Duration::from_secs_f64(bytes as f64 / f64::from(rate.max(1))));
            }
            Way::Held => inner = shared.changed.wait(inner).expect("no proxy panics with the lock"),
        }
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, way: usize, number: u64, shared: &Shared) {
    let mut piece = vec![0; PIECE];
    loop {
        let length = match from.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let Some(time) = pace(shared, way, number, length) else { break };
        thread::sleep(time);
        // Counted first: who hears what was passed on finds it counted.
        shared.bytes[way].fetch_add(length as u64, Ordering::SeqCst);
        if to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    end(&from, &to, way, number, shared);
}

/// The end of a connection is held back like its bytes: one that cannot be heard cannot say that it ends.
fn end(from: &TcpStream, to: &TcpStream, way: usize, number: u64, shared: &Shared) {
    if pace(shared, way, number, 0).is_some() {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
        shared.lock().open.retain(|(open, _, _)| *open != number);
        shared.changed.notify_all();
    }
}

/// Reads what is to go over a path with a delay, and says when each piece arrives.
fn collect(
    mut from: TcpStream,
    (delay, loss): (Duration, f64),
    seed: u64,
    pieces: &Sender<(Instant, Vec<u8>)>,
) {
    let (mut chance, mut last) = (Rand64::new(u128::from(seed)), Instant::now());
    let mut piece = vec![0; PIECE];
    loop {
        let length = match from.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let lost = chance.rand_float() < loss;
        let again = if lost { RETRANSMISSION + 2 * delay } else { Duration::ZERO };
        last = last.max(Instant::now() + delay + again);
        if pieces.send((last, piece[..length].to_vec())).is_err() {
            break;
        }
    }
}

fn deliver(
    from: &TcpStream,
    mut to: TcpStream,
    way: usize,
    number: u64,
    shared: &Shared,
    come: &Receiver<(Instant, Vec<u8>)>,
) {
    while let Ok((at, piece)) = come.recv() {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let Some(time) = pace(shared, way, number, piece.len()) else { break };
        thread::sleep(time);
        shared.bytes[way].fetch_add(piece.len() as u64, Ordering::SeqCst);
        if to.write_all(&piece).is_err() {
            break;
        }
    }
    end(from, &to, way, number, shared);
}

/// Tries until a connection is there, or this long.
///
/// # Errors
/// What the last try said.
pub fn connect(at: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    let until = Instant::now() + within;
    loop {
        match TcpStream::connect_timeout(&at, CONNECT) {
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

    /// One that sends back what it hears, until told to end.
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

    fn hear(stream: &mut TcpStream, bytes: usize) -> std::io::Result<Vec<u8>> {
        let mut heard = vec![0; bytes];
        stream.read_exact(&mut heard)?;
        Ok(heard)
    }

    /// Danger: a reset that comes at once is seen by the connect itself on a busy machine, and by the first read on others.
    fn is_refused(link: &Link) -> bool {
        let Ok(mut stream) = connect(link.at(), CONNECT) else { return true };
        stream.set_read_timeout(Some(CONNECT)).is_err() || matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_))
    }

    #[test]
    fn a_link_holds_back_and_delivers_late_each_way_and_resets() {
        let link = Link::new(Some(echo())).unwrap();
        let mut stream = connect(link.at(), CONNECT).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(80))).unwrap();
        stream.write_all(b"one").unwrap();
        assert_eq!(hear(&mut stream, 3).unwrap(), b"one");
        for standing in [Standing { to: Way::Held, ..Standing::default() }, Standing::cut()] {
            link.stand(standing);
            let before = link.bytes();
            stream.write_all(b"two").unwrap();
            let said = hear(&mut stream, 3).unwrap_err().kind();
            assert!(matches!(said, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{said}");
            assert_eq!(link.bytes(), before);
            link.stand(Standing::default());
            stream.set_read_timeout(Some(CONNECT)).unwrap();
            assert_eq!(hear(&mut stream, 3).unwrap(), b"two");
            stream.set_read_timeout(Some(Duration::from_millis(80))).unwrap();
        }
        // One way only: what goes there arrives, what comes back does not.
        link.stand(Standing { back: Way::Held, ..Standing::default() });
        let before = link.bytes();
        stream.write_all(b"three").unwrap();
        let until = Instant::now() + CONNECT;
        while link.bytes()[0] - before[0] < 5 {
            assert!(Instant::now() < until, "nothing arrives");
            thread::sleep(Duration::from_millis(1));
        }
        hear(&mut stream, 5).unwrap_err();
        assert_eq!(link.bytes()[1], before[1]);
        link.reset();
        stream.set_read_timeout(Some(CONNECT)).unwrap();
        assert!(matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)));
        link.stand(Standing { refuses: true, ..Standing::default() });
        assert!(is_refused(&link));
        // Where nobody listens behind it, and once somebody does.
        link.stand(Standing::default());
        link.lead_to("127.0.0.1:1".parse().unwrap());
        assert!(is_refused(&link));
        link.lead_to(echo());
        let mut again = connect(link.at(), CONNECT).unwrap();
        again.write_all(b"four").unwrap();
        assert_eq!(hear(&mut again, 4).unwrap(), b"four");
    }

    #[test]
    fn a_slow_link_takes_its_time() {
        let link = Link::new(Some(echo())).unwrap();
        link.stand(Standing { to: Way::Slow(10_000), ..Standing::default() });
        let mut stream = connect(link.at(), CONNECT).unwrap();
        let start = Instant::now();
        stream.write_all(&[7; 1000]).unwrap();
        assert_eq!(hear(&mut stream, 1000).unwrap(), [7; 1000]);
        assert!(start.elapsed() >= Duration::from_millis(99), "{:?}", start.elapsed());
    }
}
