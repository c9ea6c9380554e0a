//! Stand-ins for what a sidecar talks to, and the sidecar as a process of its own. Used by the cases of this folder;
//! only the standard library, and only loopback addresses.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run: what was sent, answered and run, each line with its time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Record(Arc::new((Mutex::new(file), Instant::now())))
    }

    pub fn ms(&self) -> f64 {
        self.0.1.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.0.0.lock().unwrap(), "{ms:10.1} ms  {text}");
    }

    /// For the result: also on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the run as one that could not be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn env_path(name: &str) -> PathBuf {
    PathBuf::from(std::env::var_os(name).unwrap_or_else(|| cannot_run(&format!("{name} is not set"))))
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// Pseudo-random numbers (xorshift), so that no package is needed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn from_clock() -> Random {
        Random::new(SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |t| t.as_nanos() as u64))
    }

    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.unit()
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A request id that was not used before in this run.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000u64 + IDS.fetch_add(1, Ordering::Relaxed))
}

/// An HTTP/1.1 message: its first line, its headers with names in lower case, and its body. `None` if the connection
/// ends or breaks before it is whole.
pub struct HttpMessage {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn read_http(from: &mut impl BufRead) -> Option<HttpMessage> {
    let mut line = || -> Option<String> {
        let mut text = String::new();
        let n = from.read_line(&mut text).ok()?;
        (n > 0 && text.ends_with('\n')).then(|| text.trim_end().to_string())
    };
    let first = line()?;
    let mut headers = BTreeMap::new();
    loop {
        let header = line()?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut size = String::new();
            from.read_line(&mut size).ok().filter(|n| *n > 0)?;
            let size = usize::from_str_radix(size.trim().split(';').next()?, 16).ok()?;
            let mut piece = vec![0; size + 2];
            from.read_exact(&mut piece).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&piece[..size]);
        }
    } else if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().ok()?];
        from.read_exact(&mut body).ok()?;
    }
    Some(HttpMessage { first, headers, body })
}

/// An endpoint as the list has it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"zilina-room","type":"front-std","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.group, self.status
        )
    }
}

/// Service discovery: the whole list on `GET /v1/servers`, and with `follow=1` a watch that begins with the whole list
/// and has an empty line every 2 s.
pub struct Discovery {
    pub at: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Listed>)>>,
}

pub fn list_json(index: u64, entries: &[Listed]) -> String {
    let entries: Vec<String> = entries.iter().map(Listed::json).collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(entries: Vec<Listed>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let at = listener.local_addr().unwrap();
        let list = Arc::new(Mutex::new((41, entries)));
        let shared = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = shared.clone();
                std::thread::spawn(move || Discovery::serve(stream, &list));
            }
        });
        Discovery { at, list }
    }

    fn serve(mut stream: TcpStream, list: &Mutex<(u64, Vec<Listed>)>) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_http(&mut reader) {
            let text = || {
                let list = list.lock().unwrap();
                (list.0, list_json(list.0, &list.1))
            };
            if !call.first.contains("follow=1") {
                let (_, text) = text();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                if stream.write_all((head + &text).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let (mut index, first) = text();
            let open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all((open.to_string() + &chunk(&first)).as_bytes()).is_err() {
                return;
            }
            let mut beat = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let (now, line) = text();
                if now != index {
                    index = now;
                    beat = Instant::now();
                    if stream.write_all(chunk(&line).as_bytes()).is_err() {
                        return;
                    }
                } else if beat.elapsed() >= Duration::from_secs(2) {
                    beat = Instant::now();
                    if stream.write_all(chunk("").as_bytes()).is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Puts a new whole list in place, which all watches are told.
    pub fn put(&self, entries: Vec<Listed>) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, entries);
    }
}

/// A sidecar, started by the deploy file's `run` command as the platform starts it. Ended when dropped.
pub struct Sidecar {
    pub name: String,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub child: Child,
    pub config: PathBuf,
    id_file: PathBuf,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.id_file);
    }
}

impl Sidecar {
    /// Starts it with this configuration, in a folder of its own, and waits until its health check says yes.
    pub fn start(
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        config: &str,
        temp: &Path,
    ) -> Sidecar {
        let operator = free_address();
        let folder = temp.join(format!("{name}-tmp"));
        let path = temp.join(format!("{name}.json"));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        std::fs::write(&path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log =
            File::create(temp.join(format!("{name}.log"))).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set"));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(env_path("ROOT"))
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_OPERATOR", operator.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        // For `run-case.sh`, should this process be ended: `run` ends in `exec`, so this is the sidecar's own id.
        let id_file = temp.join(format!("{name}.pid"));
        let _ = std::fs::write(&id_file, format!("{}\n", child.id()));
        let mut sidecar = Sidecar { name: name.to_string(), listen, operator, child, config: path, id_file };
        let until = Instant::now() + Duration::from_secs(30);
        while !sidecar.healthy() {
            if sidecar.child.try_wait().ok().flatten().is_some() || Instant::now() > until {
                cannot_run(&format!("{name} does not get ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        sidecar
    }

    pub fn healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        asked.is_ok() && read_http(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn operator_call(&self, line: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.operator) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.write_all(format!("{line}\n").as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }
}

/// Settings like those of menu-zilina: three classes, the orders kept from repeats by the boxes of one rack. `effect` is
/// that of `meal-order`.
pub fn configuration(name: &str, seed: u64, instances: usize, effect: &str, known: &str) -> String {
    let method = |name: &str, effect: &str, criticality: f64, budget: u64, deadline: u64, late: f64| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"cell","windowNs":10000000000,"criticality":{criticality},
            "latencyBudgetNs":{budget}000000,"deadlineNs":{deadline}000000,"overdueCriticality":{late},"stream":false}}"#
        )
    };
    let methods = [
        method("menu-view", "retryable", 1.0, 2000, 5000, 0.5),
        method("diet-save", "retryable", 1.0, 2500, 6000, 0.2),
        method("meal-order", effect, 8.0, 2500, 6000, 0.25),
    ];
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"127.0.0.1:0","seed":"{seed:016x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"nInstances":{instances},"me":0,"tickNs":5000000,"discovery":"subscribe","zone":"zilina-room",
        "azs":["zilina-room"],"skus":["front-std"],"weights":"off","criticalityPer":"request",
        "methods":[{}],
        "ceilings":{{"cancel":true,"probes":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterNs":2000000000,
        "mostWriteOuts":4,"connIdleNs":60000000000,"connectTimeoutNs":200000000,"streamsPerConn":1,"mayTell":false}},
        "reporting":{{"source":"off","names":[]}},"deductions":{{"probe":0.01,"crossZone":0.0}},
        "rules":{{"startCapacity":0.39,"coldNs":7000000000,"overloadForNs":1500000000,"fallMultiple":3.0,
        "stopSendingWithinNs":1500000000,"askWithinNs":5000000000,"graceToAnswerNs":50000000}}}}}}"#,
        methods.join(",")
    )
}
