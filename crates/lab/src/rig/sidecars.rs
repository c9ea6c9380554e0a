//! Real sidecars for the rig, with stand-ins that count: endpoints, the list's service, and clients.

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

use super::fleet::{FLEET, PATIENCE};
use super::processes::{Process, Recipe};

/// The list service's sign of life, which its watches wait for.
const BEAT: Duration = Duration::from_millis(1000);
/// Longest that a client of the rig waits for an answer: longer than any deadline of the settings.
const ANSWER_IN: Duration = Duration::from_secs(8);

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Well,
    Fails,
    BreaksOff,
    /// Takes a request and never answers.
    Waits,
}

/// An endpoint that counts what reaches it.
pub struct Endpoint {
    pub at: SocketAddr,
    how: Arc<AtomicU8>,
    requests: Arc<Mutex<Vec<Instant>>>,
    /// Connections open now, and most at once.
    open: Arc<Mutex<(u64, u64)>>,
}

fn locked<T>(what: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    what.lock().expect("no stand-in panics with a lock")
}

/// The most that came within any window of this length, and when the first of these did.
pub fn most_within(mut times: Vec<Instant>, window: Duration) -> (usize, Option<Instant>) {
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

/// The head of a message, without its end; nothing where the connection ended first.
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
    /// What the system says if there is no address to listen at.
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

    pub fn answers(&self, how: How) {
        let code = match how {
            How::Well => 0,
            How::Fails => 1,
            How::BreaksOff => 2,
            How::Waits => 3,
        };
        self.how.store(code, Ordering::Relaxed);
    }

    /// Requests that have reached it.
    pub fn requests(&self) -> u64 {
        locked(&self.requests).len() as u64
    }

    /// When each came, by this machine's clock.
    pub fn times(&self) -> Vec<Instant> {
        locked(&self.requests).clone()
    }

    /// Connections that are open to it now.
    pub fn open(&self) -> u64 {
        locked(&self.open).0
    }

    /// Most connections that were open at once since this was asked last.
    pub fn most_open(&self) -> u64 {
        let mut open = locked(&self.open);
        let now = open.0;
        std::mem::replace(&mut open.1, now).max(now)
    }
}

/// The list's service: each watch is told the list as it is, and each change.
pub struct ListService {
    pub at: SocketAddr,
    inner: Arc<Mutex<(u64, Value, Vec<TcpStream>)>>,
    away: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Instant>>>,
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

impl ListService {
    /// # Errors
    /// What the system says if there is no address to listen at.
    pub fn start(entries: Value) -> std::io::Result<ListService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let inner = Arc::new(Mutex::new((1, entries, Vec::new())));
        let away = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (own, gone, counted) = (inner.clone(), away.clone(), calls.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                locked(&counted).push(Instant::now());
                if gone.load(Ordering::Relaxed) || head(&mut BufReader::new(&stream)).is_none() {
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
        let beats = Arc::downgrade(&inner);
        thread::spawn(move || {
            while let Some(inner) = beats.upgrade() {
                let mut inner = inner.lock().expect("no thread panics with the lock");
                inner.2.retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
                drop(inner);
                thread::sleep(BEAT);
            }
        });
        Ok(ListService { at, inner, away, calls })
    }

    /// When it was called, by this machine's clock.
    pub fn calls(&self) -> Vec<Instant> {
        locked(&self.calls).clone()
    }

    /// Ends all watches, and answers nobody, until it is back.
    pub fn is_away(&self, away: bool) {
        self.away.store(away, Ordering::Relaxed);
        if away {
            locked(&self.inner).2.clear();
        }
    }

    /// Tells all of changed entries.
    ///
    /// # Panics
    /// If another thread panicked with the list.
    pub fn tell(&self, entries: &[Value]) {
        let mut inner = self.inner.lock().expect("no thread panics with the lock");
        inner.0 += 1;
        let line = json!({"index": inner.0, "snapshot": false, "endpoints": entries}).to_string();
        inner.2.retain_mut(|stream| stream.write_all(&chunk(&line)).is_ok());
    }
}

/// A list's entry, each endpoint in a cell of its own.
pub fn entry(number: usize, at: SocketAddr, status: &str) -> Value {
    json!({"name": format!("e{number}"), "address": at.to_string(), "zone": "z0", "type": "t", "group": number,
           "status": status, "weight": 1.0, "since_ms": 0})
}

/// Sidecars before endpoints, each a process of its own that may be started any number of times.
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
    /// A list of nobody, for those that are to fail.
    nobody: ListService,
    flawed: bool,
}

impl Sidecars {
    /// With this configuration as the base of each, which gets a name, addresses, a list and its part of a fleet.
    ///
    /// # Errors
    /// What could not be made.
    pub fn new(root: &Path, program: &Path, base: &str, endpoints: usize) -> Result<Sidecars, String> {
        let told = |e: std::io::Error| format!("stand-in: {e}");
        fs::create_dir_all(root).map_err(told)?;
        let mut started = Vec::new();
        for _ in 0..endpoints {
            started.push(Endpoint::start().map_err(told)?);
        }
        let entries = started.iter().enumerate().map(|(at, endpoint)| entry(at, endpoint.at, "up")).collect();
        let list = ListService::start(entries).map_err(told)?;
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
            nobody: ListService::start(json!([])).map_err(told)?,
            flawed: false,
        })
    }

    /// Where a sidecar keeps its last good settings.
    pub fn keep(&self, name: &str) -> PathBuf {
        self.root.join(format!("{name}.kept"))
    }

    /// What a sidecar may use without daemons, by the key of its file.
    pub fn alone(&mut self, alone: Value) {
        self.alone = alone;
    }

    /// The groups that those which are started from now on belong to.
    pub fn groups(&mut self, groups: &[&str]) {
        self.groups = json!(groups);
    }

    /// What those which are started from now on belong to, as their files have it; null for nothing.
    pub fn belongs(&mut self, belongs: Value) {
        self.belongs = belongs;
    }

    /// The version that those which are started from now on say that they run, and whether they know of no endpoint.
    pub fn version(&mut self, version: &str, flawed: bool) {
        (self.version, self.flawed) = (version.into(), flawed);
    }

    /// Starts one, as a member of the fleet of these daemons or by itself, and waits until it listens.
    ///
    /// # Errors
    /// Why it does not.
    pub fn start(&mut self, name: &str, daemons: &[(u16, SocketAddr)], beat_ms: u64) -> Result<(), String> {
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
                .map(|(place, at)| json!({"place": place, "address": at.to_string()}))
                .collect();
            file["fleet"] = json!({"name": FLEET, "daemons": rows, "beatMs": beat_ms, "keep": self.keep(name), "alone": self.alone, "groups": self.groups});
            for (key, value) in [("version", &self.version), ("belongs", &self.belongs)] {
                if !value.is_null() {
                    file["fleet"][key] = value.clone();
                }
            }
        }
        if self.flawed {
            file["discovery"] = self.nobody.at.to_string().into();
            file["known"]["endpoints"] = json!([]);
        }
        let path = self.root.join(format!("{name}.json"));
        fs::write(&path, file.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut recipe =
            Recipe::new(name, &self.program, &["serve", "--config", &path.display().to_string()]);
        recipe.variables.push(("TMPDIR".to_string(), self.root.display().to_string()));
        let process = recipe.start()?;
        let address = |line: &str, words: &str| {
            line.split(words)
                .nth(1)
                .and_then(|at| at.trim().parse().ok())
                .ok_or(format!("{name}: no address"))
        };
        let (asked, from) = process.line(0, PATIENCE, |line| line.contains("is asked at "))?;
        let (listens, _) = process.line(from, PATIENCE, |line| line.contains("listens on "))?;
        let (asked, listens) = (address(&asked, "is asked at ")?, address(&listens, "listens on ")?);
        locked(&self.addresses).insert(name.to_string(), listens);
        self.processes.insert(name.to_string(), (process, listens, asked));
        Ok(())
    }

    /// Ends one outright.
    pub fn kill(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// # Panics
    /// Where none of this name was started.
    pub fn process(&mut self, name: &str) -> &mut Process {
        &mut self.processes.get_mut(name).expect("a sidecar that was started").0
    }

    /// Where each of them listens now, for one who looks from another thread.
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

    /// What it answers an operator, up to the connection's end.
    ///
    /// # Errors
    /// Why there was no answer.
    pub fn told(&self, name: &str, line: &str) -> Result<String, String> {
        let told = |e: std::io::Error| format!("{name}: {e}");
        let mut stream = TcpStream::connect(self.processes[name].2).map_err(told)?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).map_err(told)?;
        stream.write_all(line.as_bytes()).map_err(told)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map_err(told)?;
        Ok(answer)
    }

    /// One of its figures.
    pub fn figure(&self, name: &str, figure: &str) -> Option<u64> {
        let text = self.told(name, "show-stat\n").ok()?;
        text.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(' ')?.parse().ok())
    }

    /// # Errors
    /// What did not come.
    pub fn wait(&self, what: &str, check: impl Fn(&Sidecars) -> bool) -> Result<(), String> {
        let until = Instant::now() + PATIENCE;
        while !check(self) {
            if Instant::now() >= until {
                let logs = self.processes.iter().map(|(name, (process, _, _))| {
                    let log = process.log();
                    format!("{name}: {}", log[log.len().saturating_sub(4)..].join(" / "))
                });
                return Err(format!("{what}: it did not come; {}", logs.collect::<Vec<_>>().join("\n")));
            }
            thread::sleep(Duration::from_millis(15));
        }
        Ok(())
    }
}

/// A request's id. Danger: a second open request with the id of another is answered 409, and never sent on.
fn id() -> u64 {
    static IDS: AtomicU64 = AtomicU64::new(1);
    IDS.fetch_add(1, Ordering::Relaxed)
}

/// The status that a request gets, over a connection of its own; none where no answer came.
pub fn request(at: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(ANSWER_IN)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nX-Txn: {:x}\r\nConnection: close\r\n\r\n", id()).ok()?;
    let head = head(&mut BufReader::new(&stream))?;
    head.first()?.split(' ').nth(1)?.parse().ok()
}

/// Longest that a health check is waited for: one that is stopped answers nothing.
const HEALTH_IN: Duration = Duration::from_millis(400);

/// Whether a health check says yes; none where nothing was said in time, which may be a busy machine.
pub fn health(at: SocketAddr) -> Option<bool> {
    let Ok(mut stream) = TcpStream::connect(at) else { return Some(false) };
    stream.set_read_timeout(Some(HEALTH_IN)).ok()?;
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

/// Where sidecars listen now, by their names.
type Addresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Where a client goes.
enum Where {
    At(SocketAddr),
    /// To whatever process has this name now.
    Named(Addresses, String),
}

impl Where {
    /// So many times each of these names.
    fn named(sidecars: &Sidecars, names: &[String], each: usize) -> impl Iterator<Item = Where> {
        let all = names.iter().flat_map(move |name| std::iter::repeat_n(name, each));
        all.map(|name| Where::Named(sidecars.addresses.clone(), name.clone()))
    }

    fn address(&self) -> Option<SocketAddr> {
        match self {
            Where::At(at) => Some(*at),
            Where::Named(all, name) => locked(all).get(name).copied(),
        }
    }
}

/// A client that keeps its connection. Danger: one connection for each request leaves thousands that wait in the system, until no
/// port is free for anyone on the machine.
struct Client {
    at: Where,
    open: Option<BufReader<TcpStream>>,
    /// As a front has it: when its health check was asked last, and whether that said yes.
    checked: Option<(Instant, bool)>,
}

/// How often a front asks for health: a drain goes on as ever for several of these.
const CHECK_EVERY: Duration = Duration::from_millis(100);

impl Client {
    /// The status that a request gets; none where no answer came.
    fn ask(&mut self, path: &str) -> Option<u16> {
        let kept = self.open.is_some();
        // A kept connection may have ended by itself since.
        self.once(path).or_else(|| if kept { self.once(path) } else { None })
    }

    /// Whether its sidecar is to be asked now, by the health check.
    fn may_ask(&mut self) -> bool {
        let Some((at, well)) = self.checked else { return true };
        if at.elapsed() < CHECK_EVERY {
            return well;
        }
        let well = self.at.address().and_then(|at| request(at, "/healthz")) == Some(200);
        if !well {
            self.open = None;
        }
        self.checked = Some((Instant::now(), well));
        well
    }

    fn once(&mut self, path: &str) -> Option<u16> {
        let mut open = match self.open.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect(self.at.address()?).ok()?;
                stream.set_read_timeout(Some(ANSWER_IN)).ok()?;
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

/// What clients were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// No answer came: a request was lost.
    pub none: u64,
}

impl Answers {
    pub fn share(&self) -> f64 {
        let all = self.served + self.rejected + self.failed + self.none;
        self.served as f64 / (all as f64).max(1.0)
    }
}

/// Clients of some sidecars, one after another, until they are told to stop.
pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Answers>>,
}

impl Clients {
    /// One for each sidecar, which asks again so long after each answer.
    pub fn start(to: &[SocketAddr], path: &'static str, pause: Duration) -> Clients {
        Clients::of(to.iter().map(|at| Where::At(*at)), path, pause, false)
    }

    /// So many for each sidecar of these names, which go to whatever process has the name.
    pub fn follow(
        sidecars: &Sidecars,
        names: &[String],
        each: usize,
        path: &'static str,
        pause: Duration,
    ) -> Clients {
        Clients::of(Where::named(sidecars, names, each), path, pause, false)
    }

    /// The same, but as a front does: a sidecar whose health check says no is asked nothing.
    pub fn front(
        sidecars: &Sidecars,
        names: &[String],
        each: usize,
        path: &'static str,
        pause: Duration,
    ) -> Clients {
        Clients::of(Where::named(sidecars, names, each), path, pause, true)
    }

    fn of(to: impl Iterator<Item = Where>, path: &'static str, pause: Duration, front: bool) -> Clients {
        let over = Arc::new(AtomicBool::new(false));
        let client = |at: Where| {
            let over = over.clone();
            thread::spawn(move || {
                let checked = front.then(|| (Instant::now(), true));
                let (mut answers, mut client) = (Answers::default(), Client { at, open: None, checked });
                while !over.load(Ordering::Relaxed) {
                    if !client.may_ask() {
                        thread::sleep(pause);
                        continue;
                    }
                    match client.ask(path) {
                        Some(200) => answers.served += 1,
                        Some(503) => answers.rejected += 1,
                        Some(_) => answers.failed += 1,
                        None => answers.none += 1,
                    }
                    thread::sleep(pause);
                }
                answers
            })
        };
        Clients { threads: to.map(client).collect(), over }
    }

    /// What they were answered, by sidecar.
    ///
    /// # Panics
    /// If one of them did.
    pub fn stop(self) -> Vec<Answers> {
        self.over.store(true, Ordering::Relaxed);
        self.threads.into_iter().map(|thread| thread.join().expect("a client does not panic")).collect()
    }
}
