//! Fake clients. Each sends one request at a time, on a connection that it keeps until the connection closes.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use oorandom::Rand64;

use super::http::{NoMessage, Reader, status};
use super::plan::Plan;
use super::record::{Effect, Recorder, Request, RequestOutcome};

/// Longest pause between two requests of a client, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// Share of requests whose clients disconnect before the response.
const DISCONNECT_SHARE: f64 = 0.04;
/// Share of requests with a very short timeout.
const SHORT_TIMEOUT_SHARE: f64 = 0.05;
/// Share of requests with a long body in plans that have them, and its length in bytes.
const LONG_SHARE: f64 = 0.15;
const LONG_BODY: std::ops::Range<u64> = 100_000..600_000;
/// Clients that send at full speed, and how often at once. They pause in between, as others share the machine.
const FLOODING_CLIENTS: usize = 3;
const FLOOD_REQUESTS: usize = 100;
const FLOOD_PAUSE: Duration = Duration::from_micros(500);
/// How long past its timeout a client waits, to distinguish a late response from none.
const EXTRA_WAIT: Duration = Duration::from_millis(900);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The address of each sidecar that accepts new connections.
#[derive(Clone)]
pub struct ClientTargets {
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl ClientTargets {
    /// Starts with this many sidecars, none of which accepts connections yet.
    pub fn new(sidecars: usize) -> ClientTargets {
        ClientTargets { addresses: Arc::new(Mutex::new(vec![None; sidecars])) }
    }

    /// Sets the address for new connections to this sidecar; with `None`, it gets no more of them.
    pub fn set(&self, sidecar: usize, at: Option<SocketAddr>) {
        self.addresses.lock().expect("no client panics with the addresses locked")[sidecar] = at;
    }

    fn pick(&self, random: &mut Rand64) -> Option<(usize, SocketAddr)> {
        let addresses = self.addresses.lock().expect("no client panics with the addresses locked");
        let accepting: Vec<_> =
            addresses.iter().enumerate().filter_map(|(n, at)| Some((n, (*at)?))).collect();
        let pick = random.rand_range(0..accepting.len().max(1) as u64) as usize;
        accepting.get(pick).copied()
    }
}

/// All clients of a run.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients of a plan.
    pub fn start(plan: &Plan, targets: &ClientTargets, recorder: &Recorder) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let ids = Arc::new(AtomicU64::new(0));
        let client = |number: usize| {
            let mut client = Client {
                random: Rand64::new(u128::from(plan.seed) << 64 | number as u128),
                targets: targets.clone(),
                recorder: recorder.clone(),
                ids: ids.clone(),
                deadline: plan.deadline,
                long_share: if plan.has_long_requests { LONG_SHARE } else { 0.0 },
                connection: None,
            };
            let stopped = stopped.clone();
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    client.request();
                    let pause = client.random.rand_range(0..MAX_PAUSE_MS);
                    thread::sleep(Duration::from_millis(pause));
                }
            })
        };
        let threads = (0..plan.clients).map(client).collect();
        Clients { stopped, threads }
    }

    /// Stops the clients once the last request of each is over.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.threads {
            let _ = client.join();
        }
    }
}

/// Has some clients send requests without an id at full speed for this long.
pub fn flood(at: SocketAddr, span: Duration) {
    let send = move || {
        let requests = "GET /read/1 HTTP/1.1\r\n\r\n".repeat(FLOOD_REQUESTS);
        let ends = Instant::now() + span;
        while Instant::now() < ends {
            let Ok(mut stream) = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT) else { return };
            let _ = stream.set_nonblocking(true);
            let mut answers = [0; 65536];
            while Instant::now() < ends {
                let _ = stream.write(requests.as_bytes());
                match stream.read(&mut answers) {
                    Ok(0) => break,
                    Err(e) if e.kind() != ErrorKind::WouldBlock => break,
                    _ => thread::sleep(FLOOD_PAUSE),
                }
            }
        }
    };
    for _ in 0..FLOODING_CLIENTS {
        thread::spawn(send);
    }
}

struct Connection {
    sidecar: usize,
    at: SocketAddr,
    reader: Reader,
    used: bool,
}

struct Client {
    random: Rand64,
    targets: ClientTargets,
    recorder: Recorder,
    ids: Arc<AtomicU64>,
    deadline: Duration,
    /// The share of requests with a long body, of those that have one.
    long_share: f64,
    connection: Option<Connection>,
}

impl Client {
    fn connect(&mut self) -> Option<Connection> {
        let (sidecar, at) = self.targets.pick(&mut self.random)?;
        let stream = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { sidecar, at, reader: Reader::new(stream), used: false })
    }

    /// Sends a request and records its outcome. Sends it once more on another connection if a reused one closed before the
    /// request was read.
    fn request(&mut self) {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let effect = Effect::ALL[(number % Effect::ALL.len() as u64) as usize];
        let fraction = if self.random.rand_float() < SHORT_TIMEOUT_SHARE {
            0.08
        } else {
            0.4 + 0.6 * self.random.rand_float()
        };
        let timeout = self.deadline.mul_f64(fraction);
        for _ in 0..2 {
            let Some(mut connection) = self.connection.take().or_else(|| self.connect()) else { return };
            let (sidecar, at) = (connection.sidecar, connection.at);
            let request = self.send(&mut connection, &format!("r{number}"), effect, timeout);
            let Some(request) = request else { continue };
            let unread = request.outcome == RequestOutcome::Closed { partial: false } && request.reused;
            if matches!(request.outcome, RequestOutcome::Answered { .. }) {
                connection.used = true;
                self.connection = Some(connection);
            }
            let returns = request.outcome == RequestOutcome::Disconnected && effect == Effect::Unsafe;
            self.recorder.lock().requests.push(request);
            if returns {
                self.return_to(sidecar, at, &format!("r{number}"), timeout);
            }
            if !unread {
                return;
            }
        }
    }

    /// Sends an unsafe request again to the sidecar that it has left, on a new connection and with the same id.
    fn return_to(&mut self, sidecar: usize, at: SocketAddr, id: &str, timeout: Duration) {
        let Ok(stream) = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT) else { return };
        let mut connection = Connection { sidecar, at, reader: Reader::new(stream), used: false };
        let request = self.send(&mut connection, id, Effect::Unsafe, timeout);
        self.recorder.lock().requests.extend(request);
    }

    /// Sends the request on this connection. Returns `None` if the connection was already closed.
    fn send(
        &mut self,
        connection: &mut Connection,
        id: &str,
        effect: Effect,
        timeout: Duration,
    ) -> Option<Request> {
        let (method, class) = (if effect == Effect::Safe { "GET" } else { "POST" }, effect.class());
        let key = if effect == Effect::Keyed { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
        let is_long = effect != Effect::Safe && self.random.rand_float() < self.long_share;
        let body =
            if is_long { "x".repeat(self.random.rand_range(LONG_BODY) as usize) } else { String::new() };
        let text = format!(
            "{method} /{class}/{id} HTTP/1.1\r\nHost: h\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n{key}\
             X-Remaining-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
            timeout.as_millis(),
            body.len(),
            body
        );
        connection.reader.stream.set_write_timeout(Some(timeout + EXTRA_WAIT)).ok()?;
        connection.reader.stream.write_all(text.as_bytes()).ok()?;
        let sent_at = self.recorder.now();
        let disconnects = self.random.rand_float() < DISCONNECT_SHARE;
        let read_timeout =
            if disconnects { timeout.mul_f64(0.3 * self.random.rand_float()) } else { timeout + EXTRA_WAIT };
        connection.reader.stream.set_read_timeout(Some(read_timeout.max(Duration::from_millis(1)))).ok()?;
        let outcome = match connection.reader.message() {
            Ok(message) => match status(&message.head) {
                Some(status) => RequestOutcome::Answered { status, body: message.body },
                None => RequestOutcome::Closed { partial: true },
            },
            Err(NoMessage::Closed { partial }) => RequestOutcome::Closed { partial },
            Err(NoMessage::TimedOut) if disconnects => {
                let _ = connection.reader.stream.shutdown(std::net::Shutdown::Both);
                RequestOutcome::Disconnected
            }
            Err(NoMessage::TimedOut) => RequestOutcome::NoAnswer,
        };
        Some(Request {
            id: id.to_string(),
            sidecar: connection.sidecar,
            effect,
            sent_at,
            timeout,
            reused: connection.used,
            outcome,
            ended_at: self.recorder.now(),
        })
    }
}
