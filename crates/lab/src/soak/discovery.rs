//! A fake discovery service with separate addresses for each sidecar. It serves calls one at a time, and records which
//! list it sent to which sidecar.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use serde_json::{Value, json};

use super::http::Reader;
use super::record::{KnownBy, NotifiedList, Recorder, Version};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Interval between the empty lines that keep a watch alive.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How long a call hangs before it is rejected while the service is down.
const DOWN_DELAY: Duration = Duration::from_secs(2);
/// Longest time that a call may wait in the queue before it is rejected.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(3);
/// Share of watches that close instead of sending a change.
const CLOSE_SHARE: f64 = 0.4;

struct QueuedCall {
    since: Instant,
    sidecar: usize,
    stream: TcpStream,
}

struct Watch {
    sidecar: usize,
    stream: TcpStream,
    stalled: bool,
}

struct State {
    call_time: Duration,
    queue_capacity: usize,
    down: bool,
    version: u64,
    /// The endpoints' addresses, which of them are up or drain, and the start time of each.
    endpoints: Vec<SocketAddr>,
    up: Vec<usize>,
    draining: Vec<usize>,
    started_ms: Vec<u64>,
    queue: VecDeque<QueuedCall>,
    watches: Vec<Watch>,
    random: Rand64,
    reachable_since: Duration,
}

/// The fake discovery service.
pub struct Discovery {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    wake: Sender<()>,
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

impl State {
    fn entry(&self, endpoint: usize, status: &str) -> Value {
        json!({"name": format!("e{endpoint}"), "address": self.endpoints[endpoint].to_string(), "zone": "z0",
               "type": "t", "group": 0, "status": status, "weight": 1.0, "since_ms": self.started_ms[endpoint]})
    }

    /// The whole endpoint list, without draining endpoints.
    fn whole_list(&self) -> String {
        let entries: Vec<Value> = self.up.iter().map(|endpoint| self.entry(*endpoint, "up")).collect();
        json!({"index": self.version, "snapshot": true, "endpoints": entries}).to_string()
    }
}

impl Discovery {
    /// Starts a service that lists these endpoints.
    pub fn start(
        endpoints: Vec<SocketAddr>,
        call_time: Duration,
        queue_capacity: usize,
        seed: u64,
        recorder: &Recorder,
    ) -> Discovery {
        let up: Vec<usize> = (0..endpoints.len()).collect();
        recorder.lock().versions.push(Version {
            version: 1,
            at: Duration::ZERO,
            up: up.clone(),
            draining: vec![],
        });
        let started_ms = vec![0; endpoints.len()];
        let state = Arc::new(Mutex::new(State {
            call_time,
            queue_capacity,
            down: false,
            version: 1,
            endpoints,
            up,
            draining: Vec::new(),
            started_ms,
            queue: VecDeque::new(),
            watches: Vec::new(),
            random: Rand64::new(u128::from(seed) << 32 | 7),
            reachable_since: Duration::ZERO,
        }));
        let (wake, queued) = channel();
        let (worker, own) = (state.clone(), recorder.clone());
        thread::spawn(move || serve_calls(&worker, &queued, &own));
        let heartbeat_state = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = heartbeat_state.upgrade() {
                let send_heartbeat =
                    |watch: &mut Watch| watch.stalled || watch.stream.write_all(b"1\r\n\n\r\n").is_ok();
                lock(&state).watches.retain_mut(send_heartbeat);
                drop(state);
                thread::sleep(HEARTBEAT);
            }
        });
        Discovery { state, recorder: recorder.clone(), wake }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Opens another address, for this sidecar alone.
    ///
    /// # Errors
    /// Fails if it can't listen on a loopback address.
    pub fn address(&self, sidecar: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (state, wake) = (self.state.clone(), self.wake.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accept_call(sidecar, stream, &state, &wake);
            }
        });
        Ok(at)
    }

    /// The endpoint list in the form of a sidecar's configuration, and its version.
    pub fn endpoint_list(&self) -> (String, u64) {
        let state = self.lock();
        (state.whole_list(), state.version)
    }

    /// Takes the service down and closes its watches.
    pub fn go_down(&self) {
        let mut state = self.lock();
        if !std::mem::replace(&mut state.down, true) {
            state.watches.clear();
            let span = (state.reachable_since, self.recorder.now());
            self.recorder.lock().reachable.spans.push(span);
        }
    }

    /// Makes the service reachable again.
    pub fn come_up(&self) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.down, false) {
            state.reachable_since = self.recorder.now();
        }
    }

    /// Ends the run and records the last span in which the service was reachable.
    pub fn finish(&self) {
        self.go_down();
    }

    /// All open watches stay open but send nothing more.
    pub fn stall_watches(&self) {
        self.lock().watches.iter_mut().for_each(|watch| watch.stalled = true);
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        let watches = std::mem::take(&mut self.lock().watches);
        for watch in watches {
            let _ = socket2::SockRef::from(&watch.stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Changes an endpoint's status: draining, removed or up.
    pub fn change(&self, endpoint: usize, status: &str) {
        let mut state = self.lock();
        let State { up, draining, .. } = &mut *state;
        up.retain(|other| *other != endpoint);
        draining.retain(|other| *other != endpoint);
        match status {
            "up" => up.push(endpoint),
            "draining" => draining.push(endpoint),
            _ => {}
        }
        if status == "up" {
            let unix = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
            state.started_ms[endpoint] = u64::try_from(unix.as_millis()).unwrap_or_default();
        }
        state.version += 1;
        let now = self.recorder.now();
        let (version, up, draining) = (state.version, state.up.clone(), state.draining.clone());
        self.recorder.lock().versions.push(Version { version, at: now, up, draining });
        let entries = [state.entry(endpoint, status)];
        let line = json!({"index": version, "snapshot": false, "endpoints": entries}).to_string();
        let watches = std::mem::take(&mut state.watches);
        for mut watch in watches {
            if !watch.stalled && state.random.rand_float() < CLOSE_SHARE {
                continue;
            }
            let mut written =
                || is_open(&watch.stream) && watch.stream.write_all(chunk(&line).as_bytes()).is_ok();
            if watch.stalled || written() {
                if !watch.stalled {
                    self.record_notification(watch.sidecar, version);
                }
                state.watches.push(watch);
            }
        }
    }

    fn record_notification(&self, sidecar: usize, version: u64) {
        record_notification(&self.recorder, sidecar, version);
    }
}

fn record_notification(recorder: &Recorder, sidecar: usize, version: u64) {
    let at = recorder.now();
    recorder.lock().notified_lists.push(NotifiedList { sidecar, at, version, reason: KnownBy::Written });
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread of the service panics with its state locked")
}

/// Whether the sidecar has not closed the connection yet.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let open = stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    open
}

/// Reads a call and queues or rejects it.
fn accept_call(sidecar: usize, stream: TcpStream, state: &Arc<Mutex<State>>, wake: &Sender<()>) {
    let since = Instant::now();
    let Ok(copy) = stream.try_clone() else { return };
    if Reader::new(copy).message().is_err() {
        return;
    }
    let mut call = QueuedCall { since, sidecar, stream };
    let mut service = lock(state);
    if service.down {
        thread::spawn(move || {
            thread::sleep(DOWN_DELAY);
            let _ = call.stream.write_all(REJECTION);
        });
    } else if service.queue.len() >= service.queue_capacity {
        let _ = call.stream.write_all(REJECTION);
    } else {
        service.queue.push_back(call);
        let _ = wake.send(());
    }
}

/// Serves the queued calls, one at a time.
fn serve_calls(state: &Mutex<State>, queued: &Receiver<()>, recorder: &Recorder) {
    while queued.recv().is_ok() {
        let (call, call_time) = {
            let mut service = lock(state);
            (service.queue.pop_front(), service.call_time)
        };
        let Some(mut call) = call else { continue };
        if call.since.elapsed() >= MAX_QUEUE_WAIT {
            let _ = call.stream.write_all(REJECTION);
            continue;
        }
        thread::sleep(call_time);
        let mut service = lock(state);
        if service.down {
            let _ = call.stream.write_all(REJECTION);
            continue;
        }
        let (text, version) = (service.whole_list(), service.version);
        if is_open(&call.stream)
            && call.stream.write_all((HEAD.to_string() + &chunk(&text)).as_bytes()).is_ok()
        {
            record_notification(recorder, call.sidecar, version);
            service.watches.push(Watch { sidecar: call.sidecar, stream: call.stream, stalled: false });
        }
    }
}
