//! Runs sidecars as processes, with test endpoints, a discovery service and clients that count requests.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::fleet::{FLEET, WAIT_TIMEOUT};
use super::processes::{Process, ProcessSpec};

/// Interval of the keep-alive lines that the watches of the discovery service expect.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a client of the rig waits for a reply: longer than any deadline in the settings.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// How an endpoint responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Succeeds,
    Fails,
    Disconnects,
    /// Accepts a request and never replies.
    Hangs,
}

/// A test endpoint that counts its requests and connections.
pub struct Endpoint {
    pub at: SocketAddr,
    how: Arc<AtomicU8>,
    requests: Arc<Mutex<Vec<Instant>>>,
    /// Open connections, now and at the peak.
    open: Arc<Mutex<(u64, u64)>>,
}

fn locked<T>(what: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    what.lock().expect("no stand-in panics with a lock")
}

/// Returns the largest number of times in any window of this length, and the first of these times.
pub fn max_in_window(mut times: Vec<Instant>, window: Duration) -> (usize, Option<Instant>) {
    times.sort_unstable();
    let (mut from, mut most) = (0, (0, None));
    for at in 0..times.len() {
        while times[at] - times[from] > window {
            from += 1;
        }
        if at + 1 - from > most.0 {
            most = (at + 1 - from, Some(times[from]));
        }
    }
    most
}

/// Reads the head of an HTTP message; `None` if the connection ends first.
fn head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some(lines),
            line => lines.push(line.to_string()),
        }
    }
}

fn body(reader: &mut impl BufRead, head: &[String]) -> Option<Vec<u8>> {
    let length =
        head.iter().find_map(|line| line.to_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
    let mut bytes = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

impl Endpoint {
    /// # Errors
    /// The operating system's error if no address can be listened on.
    pub fn start() -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let how = Arc::new(AtomicU8::new(0));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let open = Arc::new(Mutex::new((0, 0)));
        let endpoint = Endpoint { at, how: how.clone(), requests: requests.clone(), open: open.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (how, requests, open) = (how.clone(), requests.clone(), open.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    {
                        let mut open = locked(&open);
                        open.0 += 1;
                        open.1 = open.1.max(open.0);
                    }
                    let mut reader = BufReader::new(&stream);
                    while let Some(head) = head(&mut reader) {
                        if body(&mut reader, &head).is_none() {
                            break;
                        }
                        locked(&requests).push(Instant::now());
                        let status = match how.load(Ordering::Relaxed) {
                            0 => "200 OK",
                            1 => "500 Internal Server Error",
                            3 => continue,
                            _ => break,
                        };
                        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 4\r\n\r\nmenu");
                        if (&stream).write_all(text.as_bytes()).is_err() {
                            break;
                        }
                    }
                    locked(&open).0 -= 1;
                });
            }
        });
        Ok(endpoint)
    }

    pub fn set_behavior(&self, how: Behavior) {
        let code = match how {
            Behavior::Succeeds => 0,
            Behavior::Fails => 1,
            Behavior::Disconnects => 2,
            Behavior::Hangs => 3,
        };
        self.how.store(code, Ordering::Relaxed);
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> u64 {
        locked(&self.requests).len() as u64
    }

    /// Returns the time of receipt of each request.
    pub fn times(&self) -> Vec<Instant> {
        locked(&self.requests).clone()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u64 {
        locked(&self.open).0
    }

    /// Returns the peak of open connections since the last call.
    pub fn peak_open(&self) -> u64 {
        let mut open = locked(&self.open);
        let now = open.0;
        std::mem::replace(&mut open.1, now).max(now)
    }
}

/// A discovery service for tests: sends each watch a snapshot of the endpoint list and then each change.
pub struct ListService {
    pub at: SocketAddr,
    inner: Arc<Mutex<(u64, Value, Vec<TcpStream>)>>,
    unavailable: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Instant>>>,
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

impl ListService {
    /// # Errors
    /// The operating system's error if no address can be listened on.
    pub fn start(entries: Value) -> std::io::Result<ListService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let inner = Arc::new(Mutex::new((1, entries, Vec::new())));
        let unavailable = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (own, closed, counted) = (inner.clone(), unavailable.clone(), calls.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                locked(&counted).push(Instant::now());
                if closed.load(Ordering::Relaxed) || head(&mut BufReader::new(&stream)).is_none() {
                    continue;
                }
                let mut inner = own.lock().expect("no thread panics with the lock");
                let line = json!({"index": inner.0, "snapshot": true, "endpoints": inner.1}).to_string();
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(&[head, &chunk(&line)[..]].concat()).is_ok() {
                    inner.2.push(stream);
                }
            }
        });
        let weak = Arc::downgrade(&inner);
        thread::spawn(move || {
            while let Some(inner) = weak.upgrade() {
                let mut inner = inner.lock().expect("no thread panics with the lock");
                inner.2.retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
                drop(inner);
                thread::sleep(KEEPALIVE_INTERVAL);
            }
        });
        Ok(ListService { at, inner, unavailable, calls })
    }

    /// Returns the time of each call.
    pub fn calls(&self) -> Vec<Instant> {
        locked(&self.calls).clone()
    }

    /// While unavailable, the service has closed all watches and answers no request.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.store(unavailable, Ordering::Relaxed);
        if unavailable {
            locked(&self.inner).2.clear();
        }
    }

    /// Sends changed entries to all watches.
    ///
    /// # Panics
    /// If another thread panicked with the list.
    pub fn send_update(&self, entries: &[Value]) {
        let mut inner = self.inner.lock().expect("no thread panics with the lock");
        inner.0 += 1;
        let line = json!({"index": inner.0, "snapshot": false, "endpoints": entries}).to_string();
        inner.2.retain_mut(|stream| stream.write_all(&chunk(&line)).is_ok());
    }
}

/// Builds an entry of the endpoint list, with each endpoint in its own cell.
pub fn entry(number: usize, at: SocketAddr, status: &str) -> Value {
    json!({"name": format!("e{number}"), "address": at.to_string(), "zone": "z0", "type": "t", "group": number,
           "status": status, "weight": 1.0, "since_ms": 0})
}

/// Sidecars in front of the test endpoints. Each is a process that can be restarted.
pub struct Sidecars {
    root: PathBuf,
    program: PathBuf,
    base: Value,
    pub endpoints: Vec<Endpoint>,
    pub list: ListService,
    processes: BTreeMap<String, (Process, SocketAddr, SocketAddr)>,
    addresses: Addresses,
    alone: Value,
    groups: Value,
    belongs: Value,
    version: Value,
    /// A discovery service without endpoints, for versions that are meant to fail.
    empty_list: ListService,
    without_endpoints: bool,
}

impl Sidecars {
    /// Starts the endpoints and the discovery service. `base` is the configuration that each sidecar's own is derived from.
    ///
    /// # Errors
    /// What could not be created.
    pub fn new(root: &Path, program: &Path, base: &str, endpoints: usize) -> Result<Sidecars, String> {
        let error = |e: std::io::Error| format!("stand-in: {e}");
        fs::create_dir_all(root).map_err(error)?;
        let mut started = Vec::new();
        for _ in 0..endpoints {
            started.push(Endpoint::start().map_err(error)?);
        }
        let entries = started.iter().enumerate().map(|(at, endpoint)| entry(at, endpoint.at, "up")).collect();
        let list = ListService::start(entries).map_err(error)?;
        let base = serde_json::from_str(base).map_err(|e| format!("base: {e}"))?;
        let (root, program) = (root.to_path_buf(), program.to_path_buf());
        Ok(Sidecars {
            root,
            program,
            base,
            endpoints: started,
            list,
            processes: BTreeMap::new(),
            addresses: Addresses::default(),
            alone: json!({}),
            groups: json!([]),
            belongs: Value::Null,
            version: Value::Null,
            empty_list: ListService::start(json!([])).map_err(error)?,
            without_endpoints: false,
        })
    }

    /// Returns the file in which a sidecar stores its last valid settings.
    pub fn kept_settings(&self, name: &str) -> PathBuf {
        self.root.join(format!("{name}.kept"))
    }

    /// Sets the budgets of a sidecar without daemons, as in the `alone` setting.
    pub fn set_alone(&mut self, alone: Value) {
        self.alone = alone;
    }

    /// Sets the groups of sidecars that are started later.
    pub fn set_groups(&mut self, groups: &[&str]) {
        self.groups = json!(groups);
    }

    /// Sets the `belongs` setting of sidecars that are started later; null leaves it out.
    pub fn set_belongs(&mut self, belongs: Value) {
        self.belongs = belongs;
    }

    /// Sets the version that sidecars started later report, and whether they have no endpoints.
    pub fn set_version(&mut self, version: &str, without_endpoints: bool) {
        (self.version, self.without_endpoints) = (version.into(), without_endpoints);
    }

    /// Starts a sidecar, as a member of the daemons' fleet or standalone without daemons, and waits until it listens.
    ///
    /// # Errors
    /// Why it does not listen.
    pub fn start(
        &mut self,
        name: &str,
        daemons: &[(u16, SocketAddr)],
        heartbeat_ms: u64,
    ) -> Result<(), String> {
        let mut file = self.base.clone();
        let entries: Vec<Value> =
            self.endpoints.iter().enumerate().map(|(at, endpoint)| entry(at, endpoint.at, "up")).collect();
        file["name"] = name.into();
        file["listen"] = "127.0.0.1:0".into();
        file["operator"] = "127.0.0.1:0".into();
        file["discovery"] = self.list.at.to_string().into();
        file["known"] = json!({"index": 0, "snapshot": true, "endpoints": entries});
        if !daemons.is_empty() {
            let rows: Vec<Value> = daemons
                .iter()
                .map(|(replica, at)| json!({"place": replica, "address": at.to_string()}))
                .collect();
            file["fleet"] = json!({"name": FLEET, "daemons": rows, "beatMs": heartbeat_ms, "keep": self.kept_settings(name), "alone": self.alone, "groups": self.groups});
            for (key, value) in [("version", &self.version), ("belongs", &self.belongs)] {
                if !value.is_null() {
                    file["fleet"][key] = value.clone();
                }
            }
        }
        if self.without_endpoints {
            file["discovery"] = self.empty_list.at.to_string().into();
            file["known"]["endpoints"] = json!([]);
        }
        let path = self.root.join(format!("{name}.json"));
        fs::write(&path, file.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut recipe =
            ProcessSpec::new(name, &self.program, &["serve", "--config", &path.display().to_string()]);
        recipe.variables.push(("TMPDIR".to_string(), self.root.display().to_string()));
        let process = recipe.start()?;
        let address = |line: &str, words: &str| {
            line.split(words)
                .nth(1)
                .and_then(|at| at.trim().parse().ok())
                .ok_or(format!("{name}: the log line has no address"))
        };
        let (operator, from) =
            process.wait_for_line(0, WAIT_TIMEOUT, |line| line.contains("is asked at "))?;
        let (listens, _) = process.wait_for_line(from, WAIT_TIMEOUT, |line| line.contains("listens on "))?;
        let (operator, listens) = (address(&operator, "is asked at ")?, address(&listens, "listens on ")?);
        locked(&self.addresses).insert(name.to_string(), listens);
        self.processes.insert(name.to_string(), (process, listens, operator));
        Ok(())
    }

    /// Kills a sidecar.
    pub fn kill(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// # Panics
    /// If no sidecar of this name was started.
    pub fn process(&mut self, name: &str) -> &mut Process {
        &mut self.processes.get_mut(name).expect("a sidecar that was started").0
    }

    /// Returns a function for other threads that gives a sidecar's current address.
    pub fn lookup(&self) -> impl Fn(&str) -> Option<SocketAddr> + Send + 'static {
        let addresses = self.addresses.clone();
        move |name| locked(&addresses).get(name).copied()
    }

    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    pub fn at(&self, name: &str) -> SocketAddr {
        self.processes[name].1
    }

    /// Sends an operator command to a sidecar and returns the whole reply.
    ///
    /// # Errors
    /// Why there was no reply.
    pub fn command(&self, name: &str, line: &str) -> Result<String, String> {
        let error = |e: std::io::Error| format!("{name}: {e}");
        let mut stream = TcpStream::connect(self.processes[name].2).map_err(error)?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).map_err(error)?;
        stream.write_all(line.as_bytes()).map_err(error)?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).map_err(error)?;
        Ok(reply)
    }

    /// Returns the value of a metric of a sidecar.
    pub fn metric(&self, name: &str, metric: &str) -> Option<u64> {
        let text = self.command(name, "show-stat\n").ok()?;
        text.lines().find_map(|line| line.strip_prefix(metric)?.strip_prefix(' ')?.parse().ok())
    }

    /// # Errors
    /// What timed out, and the last log lines of each sidecar.
    pub fn wait(&self, what: &str, check: impl Fn(&Sidecars) -> bool) -> Result<(), String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !check(self) {
            if Instant::now() >= until {
                let logs = self.processes.iter().map(|(name, (process, _, _))| {
                    let log = process.log();
                    format!("{name}: {}", log[log.len().saturating_sub(4)..].join(" / "))
                });
                return Err(format!(
                    "timed out waiting for: {what}; {}",
                    logs.collect::<Vec<_>>().join("\n")
                ));
            }
            thread::sleep(Duration::from_millis(15));
        }
        Ok(())
    }
}

/// Returns a unique request id. Danger: a request with the id of another open request is answered 409 and not forwarded.
fn id() -> u64 {
    static IDS: AtomicU64 = AtomicU64::new(1);
    IDS.fetch_add(1, Ordering::Relaxed)
}

/// Sends a request over a new connection and returns the status; `None` without a reply.
pub fn request(at: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nX-Txn: {:x}\r\nConnection: close\r\n\r\n", id()).ok()?;
    let head = head(&mut BufReader::new(&stream))?;
    head.first()?.split(' ').nth(1)?.parse().ok()
}

/// Timeout of a health check: a paused sidecar does not reply.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the result of a health check; `None` on a timeout, which a busy machine may cause.
pub fn health(at: SocketAddr) -> Option<bool> {
    let Ok(mut stream) = TcpStream::connect(at) else { return Some(false) };
    stream.set_read_timeout(Some(HEALTH_TIMEOUT)).ok()?;
    if write!(stream, "GET /healthz HTTP/1.1\r\nX-Txn: {:x}\r\nConnection: close\r\n\r\n", id()).is_err() {
        return Some(false);
    }
    let mut line = String::new();
    match BufReader::new(&stream).read_line(&mut line) {
        Ok(0) => Some(false),
        Ok(_) => Some(line.split(' ').nth(1) == Some("200")),
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => None,
        Err(_) => Some(false),
    }
}

/// Current addresses of the sidecars by name.
type Addresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Where a client sends its requests.
enum Target {
    At(SocketAddr),
    /// The process that currently has this name.
    Named(Addresses, String),
}

impl Target {
    /// Repeats each name `each` times.
    fn named(sidecars: &Sidecars, names: &[String], each: usize) -> impl Iterator<Item = Target> {
        let all = names.iter().flat_map(move |name| std::iter::repeat_n(name, each));
        all.map(|name| Target::Named(sidecars.addresses.clone(), name.clone()))
    }

    fn address(&self) -> Option<SocketAddr> {
        match self {
            Target::At(at) => Some(*at),
            Target::Named(all, name) => locked(all).get(name).copied(),
        }
    }
}

/// A client with a persistent connection. Danger: one connection per request leaves thousands in TIME_WAIT, until the machine
/// has no free port.
struct Client {
    at: Target,
    open: Option<BufReader<TcpStream>>,
    /// For clients with health checks: time and result of the last check.
    checked: Option<(Instant, bool)>,
}

/// Interval of a client's health checks: a draining sidecar serves as before for several of these.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

impl Client {
    /// Sends a request and returns the status; `None` without a reply.
    fn send(&mut self, path: &str) -> Option<u16> {
        let kept = self.open.is_some();
        // The server may have closed a reused connection, so the request is sent again over a new one.
        self.send_once(path).or_else(|| if kept { self.send_once(path) } else { None })
    }

    /// Returns whether the health check allows requests to the sidecar.
    fn may_send(&mut self) -> bool {
        let Some((at, healthy)) = self.checked else { return true };
        if at.elapsed() < HEALTH_INTERVAL {
            return healthy;
        }
        let healthy = self.at.address().and_then(|at| request(at, "/healthz")) == Some(200);
        if !healthy {
            self.open = None;
        }
        self.checked = Some((Instant::now(), healthy));
        healthy
    }

    fn send_once(&mut self, path: &str) -> Option<u16> {
        let mut open = match self.open.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect(self.at.address()?).ok()?;
                stream.set_read_timeout(Some(REPLY_TIMEOUT)).ok()?;
                let _ = stream.set_nodelay(true);
                BufReader::new(stream)
            }
        };
        open.get_mut()
            .write_all(format!("GET {path} HTTP/1.1\r\nX-Txn: {:x}\r\n\r\n", id()).as_bytes())
            .ok()?;
        let head = head(&mut open)?;
        body(&mut open, &head)?;
        if !head.iter().any(|line| line.eq_ignore_ascii_case("connection: close")) {
            self.open = Some(open);
        }
        head.first()?.split(' ').nth(1)?.parse().ok()
    }
}

/// Counts of the replies that clients got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// No reply: the request was lost.
    pub no_reply: u64,
}

impl Answers {
    pub fn served_share(&self) -> f64 {
        let all = self.served + self.rejected + self.failed + self.no_reply;
        self.served as f64 / (all as f64).max(1.0)
    }
}

/// Client threads that send requests to sidecars one after another until stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Answers>>,
}

impl Clients {
    /// Starts one client per address, which sends its next request `pause` after each reply.
    pub fn start(to: &[SocketAddr], path: &'static str, pause: Duration) -> Clients {
        Clients::spawn(to.iter().map(|at| Target::At(*at)), path, pause, false)
    }

    /// Starts `each` clients per sidecar, which follow the name when the sidecar restarts at another address.
    pub fn start_by_name(
        sidecars: &Sidecars,
        names: &[String],
        each: usize,
        path: &'static str,
        pause: Duration,
    ) -> Clients {
        Clients::spawn(Target::named(sidecars, names, each), path, pause, false)
    }

    /// As `start_by_name`, but sends nothing to a sidecar whose health check fails, as a front proxy does.
    pub fn start_with_health_checks(
        sidecars: &Sidecars,
        names: &[String],
        each: usize,
        path: &'static str,
        pause: Duration,
    ) -> Clients {
        Clients::spawn(Target::named(sidecars, names, each), path, pause, true)
    }

    fn spawn(
        to: impl Iterator<Item = Target>,
        path: &'static str,
        pause: Duration,
        health_checks: bool,
    ) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |at: Target| {
            let stop = stop.clone();
            thread::spawn(move || {
                let checked = health_checks.then(|| (Instant::now(), true));
                let (mut answers, mut client) = (Answers::default(), Client { at, open: None, checked });
                while !stop.load(Ordering::Relaxed) {
                    if !client.may_send() {
                        thread::sleep(pause);
                        continue;
                    }
                    match client.send(path) {
                        Some(200) => answers.served += 1,
                        Some(503) => answers.rejected += 1,
                        Some(_) => answers.failed += 1,
                        None => answers.no_reply += 1,
                    }
                    thread::sleep(pause);
                }
                answers
            })
        };
        Clients { threads: to.map(client).collect(), stop }
    }

    /// Stops the clients and returns their counts in the order of start.
    ///
    /// # Panics
    /// If a client thread panicked.
    pub fn stop(self) -> Vec<Answers> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().map(|thread| thread.join().expect("a client does not panic")).collect()
    }
}
