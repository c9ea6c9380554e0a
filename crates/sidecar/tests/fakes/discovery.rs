//! A fake discovery service with little capacity: it handles calls one at a time, in order.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stand_ins::{OPEN, read_message};

const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Interval of the empty lines on a watch without changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// The service's capacity.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Time spent on each call, even if its caller has closed it meanwhile.
    pub call_time: Duration,
    /// Queue length; one more call is refused at once.
    pub queue_most: usize,
    /// Longest time in the queue before a call is refused.
    pub wait_most: Duration,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    RefusedAtOnce,
    RefusedAfterWait,
    /// The service was down: the call hung and was then refused.
    Down,
}

/// One call, as the service saw it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub took: Duration,
    /// Which of the service's addresses was called.
    pub address: usize,
    pub outcome: Outcome,
}

struct Waiting {
    since: Instant,
    address: usize,
    stream: TcpStream,
}

struct State {
    capacity: Capacity,
    /// While the service is down: how long a call hangs before it is refused.
    down: Option<Duration>,
    list: String,
    queue: VecDeque<Waiting>,
    watches: Vec<TcpStream>,
    calls: Vec<Call>,
}

impl State {
    fn record(&mut self, waiting: &Waiting, outcome: Outcome) {
        self.calls.push(Call { took: waiting.since.elapsed(), address: waiting.address, outcome });
    }
}

/// The service, at each of its addresses.
pub struct Discovery {
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Starts a service at this number of addresses that sends this list.
    pub fn start(addresses: usize, capacity: Capacity, list: &str) -> Discovery {
        let state = State {
            capacity,
            down: None,
            list: list.to_string(),
            queue: VecDeque::new(),
            watches: Vec::new(),
            calls: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let (wake, queued) = channel();
        let listen = |address: usize| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap();
            let (state, wake) = (state.clone(), wake.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    take(address, stream, &state, &wake);
                }
            });
            at
        };
        let addresses = (0..addresses).map(listen).collect();
        let (worker, heart) = (state.clone(), Arc::downgrade(&state));
        std::thread::spawn(move || work(&worker, &queued));
        std::thread::spawn(move || {
            while let Some(state) = heart.upgrade() {
                state.lock().unwrap().watches.retain_mut(|watch| watch.write_all(b"1\r\n\n\r\n").is_ok());
                std::thread::sleep(HEARTBEAT);
            }
        });
        Discovery { addresses, state }
    }

    /// Takes the service down: its watches end, and each call hangs for this time and is refused.
    pub fn go_down(&self, hang: Duration) {
        let mut state = self.state.lock().unwrap();
        state.down = Some(hang);
        state.watches.clear();
    }

    /// Brings the service back with this list.
    pub fn go_up(&self, list: &str) {
        let mut state = self.state.lock().unwrap();
        state.down = None;
        state.list = list.to_string();
    }

    /// All calls that have ended so far.
    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().unwrap().calls.clone()
    }
}

/// Accepts a call: it is queued or refused.
fn take(address: usize, stream: TcpStream, state: &Arc<Mutex<State>>, wake: &Sender<()>) {
    let waiting = Waiting { since: Instant::now(), address, stream };
    if read_message(&mut BufReader::new(&waiting.stream)).is_empty() {
        return;
    }
    let mut service = state.lock().unwrap();
    if let Some(hang) = service.down {
        let state = state.clone();
        std::thread::spawn(move || {
            std::thread::sleep(hang);
            refuse(waiting, Outcome::Down, &mut state.lock().unwrap());
        });
    } else if service.queue.len() >= service.capacity.queue_most {
        refuse(waiting, Outcome::RefusedAtOnce, &mut service);
    } else {
        service.queue.push_back(waiting);
        let _ = wake.send(());
    }
}

fn refuse(mut waiting: Waiting, outcome: Outcome, service: &mut State) {
    service.record(&waiting, outcome);
    // Its caller may have closed it.
    let _ = waiting.stream.write_all(REFUSAL);
}

/// Handles the queued calls one at a time.
fn work(state: &Mutex<State>, queued: &Receiver<()>) {
    while queued.recv().is_ok() {
        let (waiting, capacity) = {
            let mut service = state.lock().unwrap();
            (service.queue.pop_front(), service.capacity)
        };
        let Some(mut waiting) = waiting else { continue };
        if waiting.since.elapsed() >= capacity.wait_most {
            refuse(waiting, Outcome::RefusedAfterWait, &mut state.lock().unwrap());
            continue;
        }
        std::thread::sleep(capacity.call_time);
        let mut service = state.lock().unwrap();
        service.record(&waiting, Outcome::Answered);
        let list = service.list.clone();
        let line = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
        if waiting.stream.write_all(&[OPEN, line.as_bytes()].concat()).is_ok() {
            service.watches.push(waiting.stream);
        }
    }
}
