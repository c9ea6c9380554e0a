//! Fake clients: each sends one request at a time on a connection that it keeps until that ends.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use oorandom::Rand64;

use super::http::{NoMessage, Reader, status};
use super::record::{Effect, Recorder, Request, RequestOutcome};

/// Between two requests of a client, at most.
const PAUSE_MOST: u64 = 40;
/// Part of the requests that their clients leave before they are answered.
const LEAVES_SHARE: f64 = 0.04;
/// Part of the requests with very little time.
const HURRIED_SHARE: f64 = 0.05;
/// How long past its time an answer is waited for, so that a late one is told from none.
const WAITS_MORE: Duration = Duration::from_millis(900);
const CONNECT_IN: Duration = Duration::from_millis(500);

/// Where new connections go: the address of each sidecar that takes them.
#[derive(Clone)]
pub struct Front {
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl Front {
    /// Before so many sidecars, none of which is there yet.
    pub fn new(sidecars: usize) -> Front {
        Front { addresses: Arc::new(Mutex::new(vec![None; sidecars])) }
    }

    /// New connections to this sidecar go there from now on, or nowhere.
    pub fn set(&self, sidecar: usize, at: Option<SocketAddr>) {
        self.addresses.lock().expect("no client panics with the addresses")[sidecar] = at;
    }

    fn pick(&self, chance: &mut Rand64) -> Option<(usize, SocketAddr)> {
        let addresses = self.addresses.lock().expect("no client panics with the addresses");
        let there: Vec<_> = addresses.iter().enumerate().filter_map(|(n, at)| Some((n, (*at)?))).collect();
        let pick = chance.rand_range(0..there.len().max(1) as u64) as usize;
        there.get(pick).copied()
    }
}

/// All clients of a run.
pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts so many, that wait at most so long for an answer.
    pub fn start(count: usize, deadline: Duration, seed: u64, front: &Front, recorder: &Recorder) -> Clients {
        let over = Arc::new(AtomicBool::new(false));
        let ids = Arc::new(AtomicU64::new(0));
        let client = |number: usize| {
            let mut client = Client {
                chance: Rand64::new(u128::from(seed) << 64 | number as u128),
                front: front.clone(),
                recorder: recorder.clone(),
                ids: ids.clone(),
                deadline,
                connection: None,
            };
            let over = over.clone();
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    client.request();
                    let pause = client.chance.rand_range(0..PAUSE_MOST);
                    thread::sleep(Duration::from_millis(pause));
                }
            })
        };
        let threads = (0..count).map(client).collect();
        Clients { over, threads }
    }

    /// Ends them, once each has its last answer.
    pub fn stop(self) {
        self.over.store(true, Ordering::Relaxed);
        for client in self.threads {
            let _ = client.join();
        }
    }
}

struct Connection {
    sidecar: usize,
    reader: Reader,
    used: bool,
}

struct Client {
    chance: Rand64,
    front: Front,
    recorder: Recorder,
    ids: Arc<AtomicU64>,
    deadline: Duration,
    connection: Option<Connection>,
}

impl Client {
    fn connect(&mut self) -> Option<Connection> {
        let (sidecar, at) = self.front.pick(&mut self.chance)?;
        let stream = TcpStream::connect_timeout(&at, CONNECT_IN).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { sidecar, reader: Reader::new(stream), used: false })
    }

    /// Sends a request, once more on another connection if that of before had been ended unread, and records its end.
    fn request(&mut self) {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let effect = Effect::ALL[(number % Effect::ALL.len() as u64) as usize];
        let part = if self.chance.rand_float() < HURRIED_SHARE {
            0.08
        } else {
            0.4 + 0.6 * self.chance.rand_float()
        };
        let waits = self.deadline.mul_f64(part);
        for _ in 0..2 {
            let Some(mut connection) = self.connection.take().or_else(|| self.connect()) else { return };
            let request = self.send(&mut connection, &format!("r{number}"), effect, waits);
            let Some(request) = request else { continue };
            let unread = request.outcome == RequestOutcome::Closed { partial: false } && request.reused;
            if matches!(request.outcome, RequestOutcome::Answered { .. }) {
                connection.used = true;
                self.connection = Some(connection);
            }
            self.recorder.lock().requests.push(request);
            if !unread {
                return;
            }
        }
    }

    /// Sends it on this connection; none if that has ended before.
    fn send(
        &mut self,
        connection: &mut Connection,
        id: &str,
        effect: Effect,
        waits: Duration,
    ) -> Option<Request> {
        let (method, class) = (if effect == Effect::Safe { "GET" } else { "POST" }, effect.class());
        let key = if effect == Effect::Keyed { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
        let text = format!(
            "{method} /{class}/{id} HTTP/1.1\r\nHost: h\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n{key}\
             X-Remaining-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            waits.as_millis()
        );
        connection.reader.stream.write_all(text.as_bytes()).ok()?;
        let sent_at = self.recorder.now();
        let leaves = self.chance.rand_float() < LEAVES_SHARE;
        let patience =
            if leaves { waits.mul_f64(0.3 * self.chance.rand_float()) } else { waits + WAITS_MORE };
        connection.reader.stream.set_read_timeout(Some(patience.max(Duration::from_millis(1)))).ok()?;
        let outcome = match connection.reader.message() {
            Ok(message) => match status(&message.head) {
                Some(status) => RequestOutcome::Answered { status, body: message.body },
                None => RequestOutcome::Closed { partial: true },
            },
            Err(NoMessage::Closed { partial }) => RequestOutcome::Closed { partial },
            Err(NoMessage::TimedOut) if leaves => {
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
            timeout: waits,
            reused: connection.used,
            outcome,
            ended_at: self.recorder.now(),
        })
    }
}
