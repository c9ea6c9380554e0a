//! A fake discovery service with addresses for each sidecar: it works through calls in turn, and records what it told whom.

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
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Between two empty lines on a watch that has nothing to tell.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How long a call hangs before it is refused while the service is down.
const DOWN_HANG: Duration = Duration::from_secs(2);
/// Longest that a call waits for its turn before it is refused.
const WAIT_MOST: Duration = Duration::from_secs(3);
/// Part of the watches that end in place of telling a change.
const ENDS_SHARE: f64 = 0.4;

struct Waiting {
    since: Instant,
    sidecar: usize,
    stream: TcpStream,
}

struct Watch {
    sidecar: usize,
    stream: TcpStream,
    silent: bool,
}

struct State {
    call_time: Duration,
    queue_most: usize,
    down: bool,
    version: u64,
    /// Addresses of endpoints, and which are up, which drain, and since when each counts as started.
    endpoints: Vec<SocketAddr>,
    up: Vec<usize>,
    draining: Vec<usize>,
    started_ms: Vec<u64>,
    queue: VecDeque<Waiting>,
    watches: Vec<Watch>,
    chance: Rand64,
    reachable_since: Duration,
}

/// The service.
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

    /// The whole list, which leaves out endpoints that drain.
    fn whole(&self) -> String {
        let entries: Vec<Value> = self.up.iter().map(|endpoint| self.entry(*endpoint, "up")).collect();
        json!({"index": self.version, "snapshot": true, "endpoints": entries}).to_string()
    }
}

impl Discovery {
    /// A service that tells these endpoints.
    pub fn start(
        endpoints: Vec<SocketAddr>,
        call_time: Duration,
        queue_most: usize,
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
            queue_most,
            down: false,
            version: 1,
            endpoints,
            up,
            draining: Vec::new(),
            started_ms,
            queue: VecDeque::new(),
            watches: Vec::new(),
            chance: Rand64::new(u128::from(seed) << 32 | 7),
            reachable_since: Duration::ZERO,
        }));
        let (wake, queued) = channel();
        let (worker, own) = (state.clone(), recorder.clone());
        thread::spawn(move || work(&worker, &queued, &own));
        let heart = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = heart.upgrade() {
                let beats =
                    |watch: &mut Watch| watch.silent || watch.stream.write_all(b"1\r\n\n\r\n").is_ok();
                lock(&state).watches.retain_mut(beats);
                drop(state);
                thread::sleep(HEARTBEAT);
            }
        });
        Discovery { state, recorder: recorder.clone(), wake }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// A further address, for this sidecar alone.
    ///
    /// # Errors
    /// What the system says if there is none.
    pub fn address(&self, sidecar: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (state, wake) = (self.state.clone(), self.wake.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                take(sidecar, stream, &state, &wake);
            }
        });
        Ok(at)
    }

    /// The list as a sidecar's configuration has it, and its version.
    pub fn known(&self) -> (String, u64) {
        let state = self.lock();
        (state.whole(), state.version)
    }

    /// It is down from now on: its watches end.
    pub fn go_down(&self) {
        let mut state = self.lock();
        if !std::mem::replace(&mut state.down, true) {
            state.watches.clear();
            let span = (state.reachable_since, self.recorder.now());
            self.recorder.lock().reachable.spans.push(span);
        }
    }

    /// It can be reached from now on.
    pub fn retry_after(&self) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.down, false) {
            state.reachable_since = self.recorder.now();
        }
    }

    /// The run is over: what it can still be reached for is recorded.
    pub fn finish(&self) {
        self.go_down();
    }

    /// All open watches fall silent, and stay open.
    pub fn watches_fall_silent(&self) {
        self.lock().watches.iter_mut().for_each(|watch| watch.silent = true);
    }

    /// All open watches are reset.
    pub fn reset_watches(&self) {
        let watches = std::mem::take(&mut self.lock().watches);
        for watch in watches {
            let _ = socket2::SockRef::from(&watch.stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// An endpoint drains, is removed, or is up again.
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
            if !watch.silent && state.chance.rand_float() < ENDS_SHARE {
                continue;
            }
            let mut written =
                || is_open(&watch.stream) && watch.stream.write_all(chunk(&line).as_bytes()).is_ok();
            if watch.silent || written() {
                if !watch.silent {
                    self.told(watch.sidecar, version);
                }
                state.watches.push(watch);
            }
        }
    }

    fn told(&self, sidecar: usize, version: u64) {
        told(&self.recorder, sidecar, version);
    }
}

fn told(recorder: &Recorder, sidecar: usize, version: u64) {
    let at = recorder.now();
    recorder.lock().notified_lists.push(NotifiedList { sidecar, at, version, reason: KnownBy::Written });
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread of the service panics with its state")
}

/// Whether the sidecar's side of a connection has not ended it yet.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let open = stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    open
}

/// Takes a call: it waits for its turn, or is refused.
fn take(sidecar: usize, stream: TcpStream, state: &Arc<Mutex<State>>, wake: &Sender<()>) {
    let since = Instant::now();
    let Ok(copy) = stream.try_clone() else { return };
    if Reader::new(copy).message().is_err() {
        return;
    }
    let mut waiting = Waiting { since, sidecar, stream };
    let mut service = lock(state);
    if service.down {
        thread::spawn(move || {
            thread::sleep(DOWN_HANG);
            let _ = waiting.stream.write_all(REFUSAL);
        });
    } else if service.queue.len() >= service.queue_most {
        let _ = waiting.stream.write_all(REFUSAL);
    } else {
        service.queue.push_back(waiting);
        let _ = wake.send(());
    }
}

/// Works through the calls that wait, one at a time.
fn work(state: &Mutex<State>, queued: &Receiver<()>, recorder: &Recorder) {
    while queued.recv().is_ok() {
        let (waiting, call_time) = {
            let mut service = lock(state);
            (service.queue.pop_front(), service.call_time)
        };
        let Some(mut waiting) = waiting else { continue };
        if waiting.since.elapsed() >= WAIT_MOST {
            let _ = waiting.stream.write_all(REFUSAL);
            continue;
        }
        thread::sleep(call_time);
        let mut service = lock(state);
        if service.down {
            let _ = waiting.stream.write_all(REFUSAL);
            continue;
        }
        let (text, version) = (service.whole(), service.version);
        if is_open(&waiting.stream)
            && waiting.stream.write_all((HEAD.to_string() + &chunk(&text)).as_bytes()).is_ok()
        {
            told(recorder, waiting.sidecar, version);
            service.watches.push(Watch { sidecar: waiting.sidecar, stream: waiting.stream, silent: false });
        }
    }
}
