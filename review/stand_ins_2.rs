//! Stand-ins for the cases 6 to 10: discovery, endpoints, clients and a proxy, and the processes that a case starts. Only
//! the standard library is used. All addresses are loopback addresses with ports that the operating system chooses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const NOT_RUN: u8 = 2;
/// A case that has not ended by then could not run.
const LONGEST: Duration = Duration::from_secs(112);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The next port to try, below those that the operating system gives to outgoing connections.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// An address with a port that was free a moment ago, and that this process gives out once.
pub fn free_address() -> SocketAddr {
    loop {
        let start = u64::from(std::process::id()) * 311;
        let port = 12_000 + (start + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

// The record.

/// What was sent, answered and run, with the time since the start of the case. Each line is in the file at once, so that a
/// run that is ended early leaves its record too.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<(Vec<String>, fs::File)>>,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Record> {
        let file = fs::File::create(path)?;
        Ok(Record { start: Instant::now(), lines: Arc::new(Mutex::new((Vec::new(), file))) })
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.at(), text.as_ref());
        let mut lines = self.lines.lock().unwrap();
        if let Err(e) = lines.1.write_all(format!("{line}\n").as_bytes()) {
            eprintln!("the record: {e}");
        }
        lines.0.push(line);
    }

    /// How many lines have this text.
    pub fn count(&self, text: &str) -> usize {
        self.lines.lock().unwrap().0.iter().filter(|line| line.contains(text)).count()
    }
}

// The case.

/// Everything that a case shares: the record, whether the disruption takes place, and the processes that were started.
#[derive(Clone)]
pub struct Case {
    pub record: Record,
    /// Whether the disruption takes place (`TROUBLE=0` leaves it out).
    pub trouble: bool,
    /// The root of the repository, and a temporary folder that `run.sh` removes.
    pub root: PathBuf,
    pub folder: PathBuf,
    children: Arc<Mutex<BTreeMap<u32, Child>>>,
}

/// A reason why the case could not run.
pub type Result<T> = std::result::Result<T, String>;

/// Runs a case: `play` returns whether the rule was broken. Arguments: the folder of the case, a temporary folder, and the file of
/// the record, `record.txt` in the folder of the case.
pub fn run(play: impl FnOnce(&Case) -> Result<bool> + Send + 'static) -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(own), Some(folder), Some(record)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: case FOLDER-OF-THE-CASE TEMPORARY-FOLDER RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let own = PathBuf::from(own);
    let record = match Record::create(Path::new(&record)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{record}: {e}");
            return ExitCode::from(NOT_RUN);
        }
    };
    let case = Case {
        record,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        root: own.join("../..").canonicalize().expect("the repository"),
        folder: PathBuf::from(folder),
        children: Arc::default(),
    };
    case.record.say(if case.trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let (done, result) = (Arc::new((Mutex::new(None), Condvar::new())), case.clone());
    let signal = done.clone();
    spawn(move || {
        let found = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&result)));
        let found = found.unwrap_or_else(|_| Err("the case panicked".to_string()));
        *signal.0.lock().unwrap() = Some(found);
        signal.1.notify_all();
    });
    let waiting = done.0.lock().unwrap();
    let (mut waiting, _) = done.1.wait_timeout_while(waiting, LONGEST, |found| found.is_none()).unwrap();
    let found = waiting.take().unwrap_or_else(|| Err("the case took too long".to_string()));
    case.end_all();
    let (code, text) = match found {
        Ok(true) => (BROKEN, "the rule was broken".to_string()),
        Ok(false) => (HELD, "the rule held".to_string()),
        Err(why) => (NOT_RUN, format!("could not run: {why}")),
    };
    case.record.say(&text);
    println!("{text}");
    ExitCode::from(code)
}

impl Case {
    /// A command of the deploy file, started by `/bin/sh -c` from the root.
    pub fn deploy_command(&self, key: &str) -> Result<String> {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
        let value = line.and_then(|value| value.trim().strip_prefix('"')?.split('"').next());
        value.map(str::to_string).ok_or(format!("deploy/balancer.toml: no {key}"))
    }

    /// Starts a process whose log goes to `NAME.log` in the temporary folder. Returns its id.
    pub fn start(&self, name: &str, command: &mut Command) -> Result<u32> {
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let other = log.try_clone().map_err(|e| e.to_string())?;
        let child = command
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(other)
            .spawn()
            .map_err(|e| format!("{name}: {e}"))?;
        let id = child.id();
        self.children.lock().unwrap().insert(id, child);
        // `run-case-2.sh` ends it by this, should this program be ended.
        fs::write(self.id_file(id), "").map_err(|e| e.to_string())?;
        self.record.say(format!("{name} started"));
        Ok(id)
    }

    fn id_file(&self, id: u32) -> PathBuf {
        self.folder.join(format!("{id}.pid"))
    }

    /// Starts a sidecar with this configuration, by `run` of the deploy file.
    pub fn start_sidecar(&self, name: &str, configuration: &str, log: &str) -> Result<u32> {
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, configuration).map_err(|e| e.to_string())?;
        let private = self.folder.join("tmp");
        fs::create_dir_all(&private).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(self.deploy_command("run")?);
        command.env("BALANCER_CONFIG", &file).env("TMPDIR", private).env("BALANCER_LOG", "info");
        for variable in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_OPERATOR", "BALANCER_DISCOVERY"] {
            command.env_remove(variable);
        }
        self.start(log, &mut command)
    }

    /// A command of the daemon's program. Returns its exit code and what it printed.
    pub fn daemon_command(&self, arguments: &[&str]) -> Result<(i32, String)> {
        let output = Command::new(self.root.join("target/release/appledyke-daemon"))
            .args(arguments)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .output()
            .map_err(|e| format!("appledyke-daemon: {e}"))?;
        let text = [output.stdout, output.stderr].concat();
        Ok((output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned()))
    }

    pub fn start_daemon(&self, name: &str, configuration: &Path) -> Result<u32> {
        let mut command = Command::new(self.root.join("target/release/appledyke-daemon"));
        command.arg("serve").arg("--config").arg(configuration);
        self.start(name, &mut command)
    }

    /// Sends a signal to a process that this case started.
    pub fn signal(&self, id: u32, signal: &str) {
        if self.children.lock().unwrap().contains_key(&id) {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status();
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, id: u32) {
        if let Some(mut child) = self.children.lock().unwrap().remove(&id) {
            let _ = fs::remove_file(self.id_file(id));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&self, id: u32) -> bool {
        let mut children = self.children.lock().unwrap();
        children.get_mut(&id).is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn end_all(&self) {
        for (id, mut child) in std::mem::take(&mut *self.children.lock().unwrap()) {
            let _ = fs::remove_file(self.id_file(id));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until something is so.
    pub fn wait_for(&self, what: &str, most: Duration, mut is_so: impl FnMut() -> bool) -> Result<()> {
        let until = Instant::now() + most;
        while !is_so() {
            if Instant::now() >= until {
                return Err(format!("not within {} ms: {what}", most.as_millis()));
            }
            sleep(ms(20));
        }
        self.record.say(what);
        Ok(())
    }
}

// HTTP.

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn invalid(what: &str) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, what.to_string())
}

/// Reads a message; `None` if the peer has closed the connection before one.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let begun = !message.first.is_empty();
            return if begun { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() && message.first.is_empty() => {}
            _ if line.is_empty() => break,
            _ if message.first.is_empty() => message.first = line.to_string(),
            Some((name, value)) => {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Err(invalid("a header without a colon")),
        }
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("a chunk's size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            spawn(move || serve(stream));
        }
    });
}

// Endpoints.

/// What an endpoint does with a request that it has read whole.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

/// A request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub id: String,
    /// When it was answered.
    pub until: Option<f64>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Its open connections; `None` once it has ended.
    connections: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Endpoint {
    /// An endpoint that reads requests one at a time on each connection and leaves the answer to `handler`.
    pub fn start(record: &Record, name: &str, handler: Handler) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let endpoint = Endpoint {
            name: name.to_string(),
            address,
            seen: Arc::default(),
            connections: Arc::new(Mutex::new(Some(Vec::new()))),
        };
        let (own, record) = (endpoint.clone(), record.clone());
        serve(listener, move |mut stream| {
            let (Ok(copy), Ok(other)) = (stream.try_clone(), stream.try_clone()) else { return };
            match &mut *own.connections.lock().unwrap() {
                Some(open) => open.push(other),
                None => return,
            }
            let mut reader = BufReader::new(copy);
            while let Ok(Some(message)) = read_message(&mut reader) {
                let path = message.first.split(' ').nth(1).unwrap_or("");
                if message.header("x-txn").is_empty() || path == "/healthz" || path == "/load" {
                    let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                let id = message.header("x-txn").to_string();
                record.say(format!("endpoint {}: {} of {id}", own.name, message.first));
                let at = {
                    let mut seen = own.seen.lock().unwrap();
                    seen.push(Seen { at: record.at(), id: id.clone(), until: None });
                    seen.len() - 1
                };
                let done = handler(&message, &mut stream);
                own.seen.lock().unwrap()[at].until = Some(record.at());
                record.say(format!(
                    "endpoint {}: {id} {}",
                    own.name,
                    if done.is_ok() { "answered" } else { "broke off" }
                ));
                if done.is_err() {
                    return;
                }
            }
        });
        endpoint
    }

    /// Its process ends: connections end, and new ones are ended at once.
    pub fn end(&self) {
        let open = self.connections.lock().unwrap().take();
        open.into_iter().flatten().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    pub fn requests(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

/// A whole answer whose body names the endpoint and the request.
pub fn answer(name: &str, message: &Message) -> Vec<u8> {
    let body = body_for(name, message.header("x-txn"));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub fn body_for(name: &str, id: &str) -> String {
    format!("{name} has done {id}\n")
}

// Discovery.

#[derive(Clone, Debug)]
pub struct Row {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u64,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Row {
    pub fn of(endpoint: &Endpoint) -> Row {
        let (name, address) = (endpoint.name.clone(), endpoint.address);
        Row { name, address, zone: "hala-a".to_string(), group: 1, status: "up", since_ms: 0 }
    }
}

struct List {
    index: u64,
    rows: Vec<Row>,
    /// It is down: calls are answered 503, and watches have ended.
    down: bool,
}

/// Discovery: the whole list at once, then a watch with a line for each change and an empty one every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

pub fn rows_json(rows: &[Row]) -> String {
    let rows = rows.iter().map(|row| {
        let Row { name, address, zone, group, status, since_ms } = row;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"v-velky","group":{group},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    });
    rows.collect::<Vec<_>>().join(",")
}

impl Discovery {
    pub fn start(record: &Record, rows: Vec<Row>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let list = Arc::new((Mutex::new(List { index: 1, rows, down: false }), Condvar::new()));
        let discovery = Discovery { address, list };
        let (own, record) = (discovery.clone(), record.clone());
        serve(listener, move |mut stream| {
            let Ok(copy) = stream.try_clone() else { return };
            let Ok(Some(call)) = read_message(&mut BufReader::new(copy)) else { return };
            record.say(format!("discovery: {}", call.first));
            if own.is_down() {
                let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if !call.first.contains("follow=1") {
                let body = own.whole().0;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(format!("{head}{body}").as_bytes());
                return;
            }
            if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
                return;
            }
            let mut told = 0;
            loop {
                let (body, index) = own.whole();
                let line = if index == told { "\n".to_string() } else { body };
                told = index;
                if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                    return;
                }
                let list = own.list.0.lock().unwrap();
                drop(own.list.1.wait_timeout_while(list, ms(2000), |list| list.index == told && !list.down));
                if own.is_down() {
                    return;
                }
            }
        });
        discovery
    }

    fn whole(&self) -> (String, u64) {
        let list = self.list.0.lock().unwrap();
        let rows = rows_json(&list.rows);
        (format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{rows}]}}\n", list.index), list.index)
    }

    fn is_down(&self) -> bool {
        self.list.0.lock().unwrap().down
    }

    /// Takes it down, which ends all watches, or up again.
    pub fn set_down(&self, down: bool) {
        self.list.0.lock().unwrap().down = down;
        self.list.1.notify_all();
    }

    /// Replaces the list, and tells all watches.
    pub fn set(&self, rows: Vec<Row>) {
        let mut list = self.list.0.lock().unwrap();
        (list.index, list.rows) = (list.index + 1, rows);
        self.list.1.notify_all();
    }
}

// Clients.

static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// A new id for each request.
pub fn new_id() -> String {
    format!("{:016x}", REQUESTS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A client that keeps its connection and sends one request at a time.
pub struct Client {
    to: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, stream: None }
    }

    pub fn send(&mut self, first: &str, headers: &str, timeout: Duration) -> std::io::Result<Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, ms(2000))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let stream = self.stream.as_mut().expect("just opened");
        stream.get_ref().set_read_timeout(Some(timeout))?;
        let sent = stream
            .get_mut()
            .write_all(format!("{first} HTTP/1.1\r\nHost: origin.svc\r\n{headers}\r\n").as_bytes());
        let result =
            sent.and_then(|()| read_message(stream)).and_then(|m| m.ok_or(ErrorKind::UnexpectedEof.into()));
        let keep =
            result.as_ref().is_ok_and(|message| !message.header("connection").eq_ignore_ascii_case("close"));
        if !keep {
            self.stream = None;
        }
        result
    }

    /// Sends a request of a class that is safe to repeat, with this much time.
    pub fn get(&mut self, class: &str, id: &str, time_ms: u64) -> std::io::Result<Message> {
        let mut headers = String::new();
        let _ = write!(headers, "X-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining-Ms: {time_ms}\r\n");
        self.send(&format!("GET /{class}/1"), &headers, ms(time_ms + 1500))
    }

    /// Sends a request of a class that is unsafe to repeat.
    pub fn post(&mut self, class: &str, id: &str, time_ms: u64) -> std::io::Result<Message> {
        let mut headers = String::new();
        let _ = write!(
            headers,
            "X-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining-Ms: {time_ms}\r\nContent-Length: 0\r\n"
        );
        self.send(&format!("POST /{class}/1"), &headers, ms(time_ms + 1500))
    }
}

/// One line to the address for operators, and the answer.
pub fn operator(at: SocketAddr, line: &str) -> String {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, ms(500))?;
        stream.set_read_timeout(Some(ms(1500)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.trim_end().to_string())
    };
    ask().unwrap_or_default()
}

pub fn is_healthy(at: SocketAddr) -> bool {
    Client::new(at).send("GET /healthz", "", ms(500)).is_ok_and(|message| message.status() == 200)
}

// A proxy.

/// A proxy before one address. Data to the address waits for as long as `holds` says of its connection, by the number of
/// the connection.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    pub connections: Arc<AtomicU64>,
    pub cut: Arc<AtomicBool>,
}

/// Decides about data to the address: the number of the connection, how many pieces went before, the data. Returns for how
/// long it waits.
pub type Hold = Arc<dyn Fn(u64, u64, &[u8]) -> Duration + Send + Sync>;

impl Proxy {
    pub fn start(record: &Record, name: &str, to: SocketAddr, hold: Hold) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = Proxy { address, connections: Arc::default(), cut: Arc::default() };
        let (own, record, name) = (proxy.clone(), record.clone(), name.to_string());
        serve(listener, move |mut client| {
            let number = own.connections.fetch_add(1, Ordering::Relaxed);
            let Ok(mut server) = TcpStream::connect_timeout(&to, ms(1000)) else { return };
            let _ = server.set_nodelay(true);
            let (Ok(mut from_server), Ok(mut to_client)) = (server.try_clone(), client.try_clone()) else {
                return;
            };
            spawn(move || {
                let _ = std::io::copy(&mut from_server, &mut to_client);
                let _ = to_client.shutdown(Shutdown::Write);
            });
            let (mut buffer, mut pieces) = (vec![0; 64 * 1024], 0);
            while let Ok(read @ 1..) = client.read(&mut buffer) {
                let wait = hold(number, pieces, &buffer[..read]);
                if !wait.is_zero() {
                    record.say(format!(
                        "proxy {name}: holds {read} bytes of connection {number} for {} ms",
                        wait.as_millis()
                    ));
                    sleep(wait);
                    record.say(format!("proxy {name}: passes on the {read} bytes of connection {number}"));
                }
                pieces += 1;
                if server.write_all(&buffer[..read]).is_err() {
                    break;
                }
            }
            let _ = server.shutdown(Shutdown::Write);
        });
        proxy
    }
}

// Settings.

/// Settings of a small deployment: three classes, one of each effect. `discovery` as the sidecar's file has it.
pub fn settings(instances: u64) -> String {
    format!(
        r#"{{"nInstances":{instances},"tickNs":5000000,"discovery":"automatic","zone":"hala-a",
 "methods":[
  {{"name":"stav","effect":"retryable","group":"all","windowNs":5000000000,"criticality":1.0,"latencyBudgetNs":2000000000,"deadlineNs":5000000000,"overdueCriticality":0.5}},
  {{"name":"zapis","effect":"dedup","group":"cell","windowNs":10000000000,"criticality":4.0,"latencyBudgetNs":2500000000,"deadlineNs":6000000000,"overdueCriticality":0.25}},
  {{"name":"vydaj","effect":"fragile","group":"all","windowNs":5000000000,"criticality":8.0,"latencyBudgetNs":2500000000,"deadlineNs":6000000000,"overdueCriticality":0.25}}],
 "ceilings":{{"cancel":true,"retryAfter":true,"maxRetryAfterNs":2000000000,"mostWriteOuts":3,"connIdleNs":60000000000,"connectTimeoutNs":200000000}},
 "rules":{{"startCapacity":0.3,"coldNs":8000000000,"overloadForNs":1500000000,"stopSendingWithinNs":1500000000}}}}"#
    )
}

/// A sidecar's file. `more` holds further keys, each with a comma before it.
pub fn sidecar_file(
    name: &str,
    listen: SocketAddr,
    operator: SocketAddr,
    discovery: &Discovery,
    known: &[Row],
    settings: &str,
    more: &str,
) -> String {
    let (seed, list, known) = (0x8c1f_30d2_u64 + name.len() as u64, discovery.address, rows_json(known));
    format!(
        r#"{{"name":"{name}","listen":"{listen}","operator":"{operator}","discovery":"{list}","seed":"{seed:x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"index":1,"snapshot":true,"endpoints":[{known}]}},
 "settings":{settings}{more}}}"#
    )
}

// A fleet of daemons.

pub struct Daemons {
    pub addresses: Vec<SocketAddr>,
    pub files: Vec<PathBuf>,
    pub ids: Vec<u32>,
}

impl Daemons {
    /// Three daemons of the fleet `sklad`, founded by the first. `more` holds further lines of their files.
    pub fn start(case: &Case, template: &str, more: &str) -> Result<Daemons> {
        let template_file = case.folder.join("template.json");
        fs::write(&template_file, template).map_err(|e| e.to_string())?;
        let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let mut daemons = Daemons { addresses, files: Vec::new(), ids: Vec::new() };
        for place in 1..=3 {
            let file = case.folder.join(format!("d{place}.toml"));
            fs::write(&file, daemons.file(case, place, more)).map_err(|e| e.to_string())?;
            daemons.files.push(file);
        }
        let (code, text) = case.daemon_command(&["found", "--config", &daemons.config(0)])?;
        if code != 0 {
            return Err(format!("found: {text}"));
        }
        for place in 0..3 {
            let id = case.start_daemon(&format!("d{}", place + 1), &daemons.files[place])?;
            daemons.ids.push(id);
        }
        case.wait_for("three daemons that vote", ms(20_000), || daemons.vote(case) == 3)?;
        Ok(daemons)
    }

    fn file(&self, case: &Case, place: usize, more: &str) -> String {
        let (listen, folder) = (self.addresses[place - 1], case.folder.join(format!("folder-{place}")));
        let template = case.folder.join("template.json");
        let (folder, template) = (folder.display(), template.display());
        let mut text = format!(
            "fleet = \"sklad\"\nplace = {place}\nlisten = \"{listen}\"\nfolder = \"{folder}\"\ntemplate = \"{template}\"\n{more}\n"
        );
        for (at, address) in self.addresses.iter().enumerate() {
            let _ = write!(text, "\n[[daemons]]\nplace = {}\naddress = \"{address}\"\n", at + 1);
        }
        text
    }

    pub fn config(&self, at: usize) -> String {
        self.files[at].display().to_string()
    }

    /// How many daemons vote, as `status` says.
    pub fn vote(&self, case: &Case) -> usize {
        let Ok((_, text)) = case.daemon_command(&["status", "--config", &self.config(0)]) else { return 0 };
        text.lines().filter(|line| line.contains("Leader") || line.contains("Follower")).count()
    }

    /// The key `fleet` of a sidecar's file, with a comma before it.
    pub fn member_key(&self, more: &str) -> String {
        let rows = self.addresses.iter().enumerate();
        let rows = rows.map(|(at, address)| format!(r#"{{"place":{},"address":"{address}"}}"#, at + 1));
        let rows = rows.collect::<Vec<_>>().join(",");
        format!(r#","fleet":{{"name":"sklad","beatMs":500,"daemons":[{rows}]{more}}}"#)
    }
}
