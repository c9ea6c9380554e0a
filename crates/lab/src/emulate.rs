//! The scenario's endpoints and lists on loopback sockets, in real time, for real sidecars. Cores, places and
//! faults go by the same rules as in virtual time.

use std::collections::{BTreeSet, HashMap};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use appledyke::Outcome;
use appledyke::units::{Moment, Span};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use oorandom::Rand64;
use serde_json::{Map, Value, json};

use crate::faults::{Faults, LifecycleChange};
use crate::http_connection::{self, HttpConnection};
use crate::load;
use crate::report::{Counters, Outcomes};
use crate::rule_checker::RuleChecker;
use crate::scenario::{Effect, Scenario, millis};
use crate::server_queue::{Admission, ServerQueue};
use crate::service::{self, Fate};

/// The beat of a list's watch.
const BEAT: Span = Span::from_millis(2000);
/// Between two looks at whether the run is over.
const LOOK: Duration = Duration::from_millis(20);
/// Between two looks at the state of all endpoints.
const LOOK_EVERY: Span = Span::from_millis(1000);
/// Of a request that came with no time left to tell.
const REMAINING_MS: u64 = 10_000;
/// What a sidecar may use.
const SOCKETS: u32 = 1024;
const MEMORY_MB: u32 = 192;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    CoreDone(usize),
    Turns(usize),
    Tells(usize),
    Restarts(usize),
    Beat,
    Look,
}

struct Endpoint {
    tier: usize,
    number: usize,
    listener: Option<TcpListener>,
    at: SocketAddr,
    queue: ServerQueue,
    process: u32,
    started: Option<Moment>,
    silent: bool,
    drains: bool,
    /// When all sidecars had been told that it drains.
    told: Option<Moment>,
    speed: f64,
    connections: usize,
}

enum Role {
    /// A sidecar's connection, and the job that it carries.
    Served {
        endpoint: usize,
        process: u32,
        job: Option<usize>,
        fresh: bool,
    },
    /// A call of a job to the next tier.
    Calls {
        job: usize,
    },
    Asks {
        tier: usize,
        watches: bool,
    },
}

struct Link {
    connection: HttpConnection,
    role: Role,
}

struct Job {
    link: Token,
    endpoint: usize,
    process: u32,
    id: String,
    method: usize,
    deadline: Moment,
    calls_left: usize,
    fate: Fate,
    inside: bool,
}

/// A sidecar's process. It ends with this value.
struct Process {
    child: Child,
    at: SocketAddr,
    file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Emulator<'a> {
    scenario: &'a Scenario,
    program: &'a Path,
    faults: Faults,
    start: Instant,
    unix_ms: u64,
    poll: Poll,
    next: usize,
    endpoints: Vec<Endpoint>,
    first: Vec<usize>,
    lists: Vec<(TcpListener, SocketAddr, u64)>,
    links: HashMap<Token, Link>,
    /// Listeners: of an endpoint, or past those of a tier's list.
    doors: HashMap<Token, usize>,
    jobs: Vec<Job>,
    due: BTreeSet<(Moment, Due)>,
    turns: Vec<(Moment, usize, usize, LifecycleChange)>,
    restarts: Vec<(Moment, usize, u64)>,
    news: Vec<(usize, usize, Value)>,
    sidecars: Vec<Vec<Process>>,
    chance: Rand64,
    checker: RuleChecker,
    /// What endpoints see, by window.
    seen: Counters,
    ids: u64,
}

/// Settings as nested JSON, from their dotted paths.
fn nested(pairs: &[(String, String)]) -> Value {
    let mut root = Value::Object(Map::new());
    for (path, value) in pairs.iter().filter(|(path, _)| !path.ends_with(".count")) {
        let mut at = &mut root;
        for key in path.split('.') {
            at = match key.parse::<usize>() {
                Err(_) => {
                    if !at.is_object() {
                        *at = Value::Object(Map::new());
                    }
                    &mut at[key]
                }
                Ok(place) => {
                    if !at.is_array() {
                        *at = Value::Array(Vec::new());
                    }
                    let items = at.as_array_mut().expect("made one");
                    items.resize(items.len().max(place + 1), Value::Null);
                    &mut items[place]
                }
            };
        }
        *at = Value::String(value.clone());
    }
    root
}

fn launch(program: &Path, file: &Path) -> Result<Process, String> {
    let named = |e: std::io::Error| format!("{}: {e}", program.display());
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(file).stdin(Stdio::null()).stdout(Stdio::null());
    let mut child = command.stderr(Stdio::piped()).spawn().map_err(named)?;
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    while !line.contains("listens on") {
        line.clear();
        if log.read_line(&mut line).map_err(named)? == 0 {
            let _ = child.wait();
            return Err(format!("{}: a sidecar ended before it listened", program.display()));
        }
    }
    // Nobody reads on, and a full pipe would hold the sidecar up.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    let at = line.trim().rsplit(' ').next().and_then(|at| at.parse().ok());
    let at = at.ok_or_else(|| format!("{}: listens at no address", program.display()))?;
    Ok(Process { child, at, file: file.to_path_buf() })
}

/// Plays a scenario on sockets with this sidecar's program, its files in this folder.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> Result<(Outcomes, f64), String> {
    let mut emulator = Emulator::new(scenario, seed, program)?;
    emulator.start_sidecars(seed, folder)?;
    let to: Vec<SocketAddr> = emulator.sidecars[0].iter().map(|s| s.at).collect();
    let over = AtomicBool::new(false);
    let faults = Faults::draw(scenario, seed);
    let (loaded, emulator) = std::thread::scope(|scope| {
        let handle = scope.spawn(|| {
            let ended = emulator.run(&over);
            (ended, emulator)
        });
        let loaded = load::run(scenario, seed, &to, |at| faults.load(at));
        over.store(true, Ordering::Relaxed);
        (loaded, handle.join().expect("the emulator does not panic"))
    });
    let (mut loaded, (ended, emulator)) = (loaded?, emulator);
    ended?;
    loaded.counters.record_violations(&emulator.checker);
    loaded.counters.absorb(emulator.seen);
    let mut outcomes = loaded.counters.outcomes("sidecars on sockets", seed);
    outcomes.broken.extend(load::broken(&loaded));
    if loaded.void() {
        outcomes.told.push(format!("void: sending ran {:.1} ms late", loaded.late_p99_ms));
    }
    Ok((outcomes, loaded.late_p99_ms))
}

impl<'a> Emulator<'a> {
    fn new(scenario: &'a Scenario, seed: u64, program: &'a Path) -> Result<Emulator<'a>, String> {
        let told = |e: std::io::Error| format!("listen: {e}");
        let faults = Faults::draw(scenario, seed);
        let mut emulator = Emulator {
            turns: faults.lifecycle_changes(scenario),
            restarts: faults.restarts(),
            scenario,
            program,
            faults,
            start: Instant::now(),
            unix_ms: 0,
            poll: Poll::new().map_err(told)?,
            next: 0,
            endpoints: Vec::new(),
            first: Vec::new(),
            lists: Vec::new(),
            links: HashMap::new(),
            doors: HashMap::new(),
            jobs: Vec::new(),
            due: BTreeSet::new(),
            news: Vec::new(),
            sidecars: Vec::new(),
            chance: Rand64::new(u128::from(seed)),
            checker: RuleChecker::default(),
            seen: Counters::new(scenario),
            ids: 0,
        };
        for (tier, t) in scenario.tier.iter().enumerate() {
            emulator.first.push(emulator.endpoints.len());
            for number in 0..t.endpoints {
                emulator.endpoints.push(Endpoint {
                    tier,
                    number,
                    listener: None,
                    at: SocketAddr::from(([127, 0, 0, 1], 0)),
                    queue: ServerQueue::new(t.cores, t.places),
                    process: 0,
                    started: None,
                    silent: false,
                    drains: false,
                    told: None,
                    speed: 1.0 - t.uneven * emulator.chance.rand_float(),
                    connections: 0,
                });
                emulator.listen(emulator.endpoints.len() - 1)?;
            }
        }
        for tier in 0..scenario.tier.len() {
            let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(told)?;
            let token = emulator.token();
            emulator.poll.registry().register(&mut listener, token, Interest::READABLE).map_err(told)?;
            let at = listener.local_addr().map_err(told)?;
            emulator.doors.insert(token, emulator.endpoints.len() + tier);
            emulator.lists.push((listener, at, 1));
        }
        Ok(emulator)
    }

    fn token(&mut self) -> Token {
        self.next += 1;
        Token(self.next)
    }

    fn now(&self) -> Moment {
        Moment::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    /// Each process of an endpoint has an address of its own.
    fn listen(&mut self, endpoint: usize) -> Result<(), String> {
        let told = |e: std::io::Error| format!("listen: {e}");
        let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(told)?;
        let token = self.token();
        self.poll.registry().register(&mut listener, token, Interest::READABLE).map_err(told)?;
        self.doors.insert(token, endpoint);
        let e = &mut self.endpoints[endpoint];
        e.at = listener.local_addr().map_err(told)?;
        e.listener = Some(listener);
        Ok(())
    }

    fn start_sidecars(&mut self, seed: u64, folder: &Path) -> Result<(), String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        for tier in 0..self.scenario.tier.len() {
            let mut processes = Vec::new();
            for number in 0..self.scenario.sidecars(tier) {
                let mut settings = self.scenario.settings(tier);
                settings.retain(|(path, _)| path != "zone");
                settings.push(("zone".to_string(), format!("z{}", number % self.scenario.zones)));
                let whole = json!({
                    "name": format!("t{tier}-s{number}"),
                    "listen": "127.0.0.1:0",
                    "discovery": self.lists[tier].1.to_string(),
                    "seed": format!("{:x}", seed.wrapping_mul(1_000_003).wrapping_add((tier * 10_000 + number) as u64)),
                    "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
                    "known": self.list(tier),
                    "settings": nested(&settings),
                });
                let file = folder.join(format!("t{tier}-s{number}.json"));
                std::fs::write(&file, whole.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
                processes.push(launch(self.program, &file)?);
            }
            self.sidecars.push(processes);
        }
        Ok(())
    }

    // The list.

    fn entry(&self, endpoint: usize, process: u32, status: &str) -> Value {
        let e = &self.endpoints[endpoint];
        let started = e.started.filter(|_| e.process == process);
        json!({
            "name": format!("t{}-e{}.{process}", e.tier, e.number),
            "address": e.at.to_string(),
            "zone": format!("z{}", e.number % self.scenario.zones),
            "type": "lab",
            "group": e.number / self.scenario.tier[e.tier].cell_size,
            "status": status,
            "weight": 1.0,
            "since_ms": started.map_or(0, |at| self.unix_ms + at.nanos() / 1_000_000),
        })
    }

    fn list(&self, tier: usize) -> Value {
        let listed = self.endpoints.iter().enumerate();
        let listed = listed.filter(|(_, e)| e.tier == tier && (e.listener.is_some() || e.silent));
        let status = |e: &Endpoint| if e.drains { "draining" } else { "up" };
        let entries: Vec<Value> = listed.map(|(at, e)| self.entry(at, e.process, status(e))).collect();
        json!({"index": self.lists[tier].2, "snapshot": true, "endpoints": entries})
    }

    /// A change of the list, told to all who watch after its delay.
    fn spread(&mut self, endpoint: usize, process: u32, status: &str) {
        let tier = self.endpoints[endpoint].tier;
        let entry = self.entry(endpoint, process, status);
        self.news.push((tier, endpoint, entry));
        let delay = self.scenario.list.delay_ms * (1.0 + self.chance.rand_float());
        let delay = millis(delay + self.faults.list_late_ms(self.now()));
        self.due.insert((self.now() + delay, Due::Tells(self.news.len() - 1)));
    }

    fn tells(&mut self, at: usize) {
        let now = self.now();
        if self.faults.list_absent(now) {
            self.due.insert((now + BEAT, Due::Tells(at)));
            return;
        }
        let (tier, endpoint, entry) = self.news[at].clone();
        self.lists[tier].2 += 1;
        let line = json!({"index": self.lists[tier].2, "snapshot": false, "endpoints": [entry]});
        if line["endpoints"][0]["status"] != "up" && self.endpoints[endpoint].drains {
            self.endpoints[endpoint].told.get_or_insert(now);
        }
        self.say(Some(tier), &(line.to_string() + "\n"));
    }

    fn say(&mut self, whom: Option<usize>, line: &str) {
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        for link in self.links.values_mut() {
            if let Role::Asks { tier, watches: true } = link.role
                && whom.is_none_or(|whom| whom == tier)
            {
                link.connection.write(chunk.as_bytes());
            }
        }
    }

    // The loop.

    fn run(&mut self, over: &AtomicBool) -> Result<(), String> {
        self.start = Instant::now();
        self.unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.due.extend(self.turns.iter().enumerate().map(|(at, turn)| (turn.0, Due::Turns(at))));
        self.due.extend(self.restarts.iter().enumerate().map(|(at, turn)| (turn.0, Due::Restarts(at))));
        self.due.insert((self.now() + BEAT, Due::Beat));
        self.due.insert((self.now(), Due::Look));
        let mut events = Events::with_capacity(256);
        while !over.load(Ordering::Relaxed) {
            let wait =
                self.due.first().map_or(LOOK, |(at, _)| Duration::from_nanos(at.since(self.now()).nanos()));
            match self.poll.poll(&mut events, Some(wait.min(LOOK))) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                other => other.map_err(|e| format!("poll: {e}"))?,
            }
            let ready: Vec<Token> = events.iter().map(|event| event.token()).collect();
            for token in ready {
                match self.doors.get(&token).copied() {
                    Some(door) => self.accept(door),
                    None => self.ready(token),
                }
            }
            while let Some((at, due)) = self.due.first().copied().filter(|(at, _)| *at <= self.now()) {
                self.due.remove(&(at, due));
                match due {
                    Due::CoreDone(job) => self.core_done(job),
                    Due::Turns(at) => self.turns_round(at)?,
                    Due::Tells(at) => self.tells(at),
                    Due::Restarts(at) => self.restart(at)?,
                    Due::Look => self.look(),
                    Due::Beat => {
                        self.say(None, "\n");
                        self.due.insert((self.now() + BEAT, Due::Beat));
                    }
                }
            }
        }
        Ok(())
    }

    fn look(&mut self) {
        let now = self.now();
        if self.faults.list_absent(now) {
            // Watches end with their service.
            let asks = |link: &Link| matches!(link.role, Role::Asks { .. });
            let watches: Vec<Token> =
                self.links.iter().filter(|(_, link)| asks(link)).map(|(token, _)| *token).collect();
            watches.into_iter().for_each(|token| self.drop_link(token));
        }
        for tier in 0..self.scenario.tier.len() {
            let of_tier = || self.endpoints.iter().filter(|e| e.tier == tier);
            let up = of_tier().filter(|e| e.listener.is_some() && !e.silent).count();
            let inside = of_tier().map(|e| e.queue.inside());
            self.seen.sample(now, tier, up, inside.clone().sum(), inside.max().unwrap_or(0));
        }
        self.due.insert((now + LOOK_EVERY, Due::Look));
    }

    fn accept(&mut self, door: usize) {
        loop {
            let (of_list, endpoint) = (door >= self.endpoints.len(), door);
            let accepted = match of_list {
                true => self.lists[door - self.endpoints.len()].0.accept(),
                false => {
                    let e = &self.endpoints[endpoint];
                    match &e.listener {
                        Some(listener) if !e.silent => listener.accept(),
                        _ => return,
                    }
                }
            };
            let Ok((stream, _)) = accepted else { return };
            let token = self.token();
            let Ok(connection) = HttpConnection::from_stream(stream, self.poll.registry(), token) else {
                continue;
            };
            let role = if of_list {
                Role::Asks { tier: door - self.endpoints.len(), watches: false }
            } else {
                let e = &mut self.endpoints[endpoint];
                let most = self.scenario.tier[e.tier].connections;
                let (tier, number) = (e.tier, e.number);
                e.connections += 1;
                let (process, full) = (e.process, e.connections > most);
                if full || self.faults.active_on(tier, number, self.now()).refuses {
                    self.endpoints[endpoint].connections -= 1;
                    connection.close(self.poll.registry());
                    continue;
                }
                Role::Served { endpoint, process, job: None, fresh: true }
            };
            self.links.insert(token, Link { connection, role });
            self.ready(token);
        }
    }

    fn drop_link(&mut self, token: Token) {
        let Some(link) = self.links.remove(&token) else { return };
        if let Role::Served { endpoint, process, .. } = link.role
            && self.endpoints[endpoint].process == process
        {
            self.endpoints[endpoint].connections -= 1;
        }
        link.connection.close(self.poll.registry());
    }

    fn ready(&mut self, token: Token) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if let Role::Served { endpoint, .. } = link.role
            && self.endpoints[endpoint].silent
        {
            return;
        }
        link.connection.flush();
        link.connection.fill();
        let calls = matches!(link.role, Role::Calls { .. });
        let read = http_connection::parse_message(&link.connection.input, calls);
        let over = link.connection.over;
        match (read, &mut link.role) {
            (Ok(Some(message)), Role::Calls { job }) => {
                let (job, served) = (*job, message.status == 200);
                self.drop_link(token);
                self.called(job, served);
            }
            (Ok(Some(message)), Role::Asks { tier, watches }) => {
                let tier = *tier;
                *watches = true;
                link.connection.input.drain(..message.body.1);
                if self.faults.list_absent(self.now()) {
                    return self.drop_link(token);
                }
                let line = self.list(tier).to_string() + "\n";
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let text = format!("{head}{:x}\r\n{line}\r\n", line.len());
                self.links.get_mut(&token).expect("looked up above").connection.write(text.as_bytes());
            }
            (Ok(Some(message)), Role::Served { endpoint, job: job @ None, fresh, .. }) => {
                let (endpoint, fresh) = (*endpoint, std::mem::take(fresh));
                *job = Some(self.jobs.len());
                link.connection.input.drain(..message.body.1);
                self.takes(token, endpoint, message, fresh);
            }
            (Ok(Some(_)), Role::Served { .. }) => {}
            (Ok(None), _) if !over => {}
            (_, Role::Calls { job }) => {
                let job = *job;
                self.drop_link(token);
                self.called(job, false);
            }
            _ => {
                if let Role::Served { job: Some(job), .. } = link.role {
                    let (endpoint, process) = (self.jobs[job].endpoint, self.jobs[job].process);
                    let e = &mut self.endpoints[endpoint];
                    if e.process == process && self.jobs[job].inside && e.queue.withdraw(job) {
                        self.jobs[job].inside = false;
                    }
                }
                self.drop_link(token);
            }
        }
    }

    // Endpoints.

    /// Takes in a request. The first on a connection costs the handshake, which the loopback does not.
    fn takes(&mut self, link: Token, endpoint: usize, message: http_connection::Message, fresh: bool) {
        let now = self.now();
        let e = &self.endpoints[endpoint];
        let (tier, number, process) = (e.tier, e.number, e.process);
        let name = message.path.trim_start_matches('/').split('/').next().unwrap_or("");
        let found = self.scenario.method.iter().position(|m| m.name == name);
        let active = self.faults.active_on(tier, number, now);
        let deadline = now + Span::from_millis(message.remaining_ms.unwrap_or(REMAINING_MS));
        self.seen.sent(now, tier);
        self.checker.attempt_sent(now, e.told, &self.scenario.rules, (tier, number));
        let job = self.jobs.len();
        self.jobs.push(Job {
            link,
            endpoint,
            process,
            id: message.id,
            method: found.unwrap_or(0),
            deadline,
            calls_left: self.scenario.tier[tier].calls,
            fate: Fate::Good,
            inside: false,
        });
        if found.is_none() {
            return self.reply(job, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string());
        }
        if e.drains {
            return self.turn_away(job);
        }
        let (of, method) = ((tier, e.speed, e.started), self.jobs[job].method);
        let service = service::draw(self.scenario, of, &active, (now, method), &mut self.chance);
        self.jobs[job].fate = service.fate;
        if service.fate == Fate::ImmediateError {
            self.seen.ended(now, tier, Outcome::Error);
            return self.error(job);
        }
        let mut takes = service.takes;
        if fresh {
            takes = takes + millis(self.scenario.tier[tier].handshake_ms);
        }
        let e = &mut self.endpoints[endpoint];
        if let Some(started) = e.started {
            let cores = self.scenario.tier[tier].cores as f64;
            self.checker.work_sent(now, (tier, number), started, (service.work, cores), &self.scenario.rules);
        }
        match e.queue.admit(now, job, takes) {
            Admission::Full => self.turn_away(job),
            Admission::Waits => self.jobs[job].inside = true,
            Admission::Works(until) => {
                self.jobs[job].inside = true;
                self.begins(job, until);
            }
        }
    }

    fn begins(&mut self, job: usize, until: Moment) {
        let (j, now) = (&self.jobs[job], self.now());
        let e = &self.endpoints[j.endpoint];
        let m = &self.scenario.method[j.method];
        let group = service::group(self.scenario, e.tier, e.number, j.method);
        let id = u64::from_str_radix(&j.id, 16).unwrap_or(0);
        self.checker.execution_started(now, id, m, group);
        self.due.insert((until, Due::CoreDone(job)));
    }

    fn here(&self, job: usize) -> bool {
        let j = &self.jobs[job];
        j.inside && self.endpoints[j.endpoint].process == j.process
    }

    fn core_done(&mut self, job: usize) {
        if !self.here(job) {
            return;
        }
        let now = self.now();
        if let Some((next, until)) = self.endpoints[self.jobs[job].endpoint].queue.core_done(now) {
            self.begins(next, until);
        }
        self.goes_on(job);
    }

    fn goes_on(&mut self, job: usize) {
        let j = &mut self.jobs[job];
        let (tier, number) = (self.endpoints[j.endpoint].tier, self.endpoints[j.endpoint].number);
        if j.calls_left == 0 || !self.links.contains_key(&j.link) {
            return self.answers(job);
        }
        j.calls_left -= 1;
        let (method, deadline) = (j.method, j.deadline);
        self.ids += 1;
        // Apart from the ids of clients, which are drawn from all numbers.
        let id = self.chance.rand_u64() ^ self.ids;
        let m = &self.scenario.method[method];
        let left = match self.scenario.deadline_passed {
            true => deadline.since(self.now()).nanos() / 1_000_000,
            false => m.deadline_ms,
        };
        let text = http_connection::request(&m.name, m.effect == Effect::Retryable, id, id, left);
        let token = self.token();
        match HttpConnection::open(self.sidecars[tier + 1][number].at, self.poll.registry(), token) {
            Ok(mut connection) => {
                connection.write(&text);
                self.links.insert(token, Link { connection, role: Role::Calls { job } });
            }
            Err(_) => self.called(job, false),
        }
    }

    fn called(&mut self, job: usize, served: bool) {
        if !self.here(job) {
            return;
        }
        if !served {
            let j = &mut self.jobs[job];
            (j.calls_left, j.fate) = (0, Fate::Error);
        }
        self.goes_on(job);
    }

    fn answers(&mut self, job: usize) {
        if !self.here(job) {
            return;
        }
        self.jobs[job].inside = false;
        let endpoint = self.jobs[job].endpoint;
        self.endpoints[endpoint].queue.leave();
        if self.endpoints[endpoint].silent {
            return;
        }
        let (id, link) = (self.jobs[job].id.clone(), self.jobs[job].link);
        let good = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if self.jobs[job].fate != Fate::Good {
            let (now, tier) = (self.now(), self.endpoints[endpoint].tier);
            self.seen.ended(now, tier, Outcome::Error);
        }
        match self.jobs[job].fate {
            Fate::Good => self.reply(job, good),
            Fate::ImmediateError | Fate::Error => self.error(job),
            Fate::Malformed => self.reply(job, "\u{1}\u{2} no answer\r\n\r\n".to_string()),
            Fate::Cut => {
                self.reply(job, good[..good.len() - 4].to_string());
                self.drop_link(link);
            }
            Fate::Reset => self.drop_link(link),
            Fate::Lost => {}
        }
    }

    fn error(&mut self, job: usize) {
        self.reply(job, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_string());
    }

    fn turn_away(&mut self, job: usize) {
        self.reply(job, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_string());
    }

    fn reply(&mut self, job: usize, text: String) {
        let token = self.jobs[job].link;
        let Some(link) = self.links.get_mut(&token) else { return };
        if let Role::Served { job, .. } = &mut link.role {
            *job = None;
        }
        link.connection.write(text.as_bytes());
    }

    fn turns_round(&mut self, at: usize) -> Result<(), String> {
        let (_, tier, number, turn) = self.turns[at];
        let endpoint = self.first[tier] + number;
        let process = self.endpoints[endpoint].process;
        match turn {
            LifecycleChange::Drains => {
                self.endpoints[endpoint].drains = true;
                self.spread(endpoint, process, "draining");
            }
            LifecycleChange::Ends => {
                self.ends(endpoint);
                self.spread(endpoint, process, "removed");
            }
            LifecycleChange::Vanishes => {
                self.endpoints[endpoint].silent = true;
                self.spread(endpoint, process, "removed");
            }
            LifecycleChange::Starts => {
                self.ends(endpoint);
                self.spread(endpoint, process, "removed");
                let now = self.now();
                let t = &self.scenario.tier[tier];
                let e = &mut self.endpoints[endpoint];
                e.process += 1;
                e.queue = ServerQueue::new(t.cores, t.places);
                (e.started, e.silent, e.drains, e.told, e.connections) = (Some(now), false, false, None, 0);
                self.checker.endpoint_restarted((tier, number));
                self.listen(endpoint)?;
                self.spread(endpoint, process + 1, "up");
            }
            LifecycleChange::Returns => {
                self.endpoints[endpoint].silent = false;
                self.spread(endpoint, process, "up");
                // What came meanwhile brought its events while nobody listened.
                self.accept(endpoint);
                for token in self.links_of(endpoint) {
                    self.ready(token);
                }
            }
        }
        Ok(())
    }

    fn links_of(&self, endpoint: usize) -> Vec<Token> {
        let of = |role: &Role| matches!(role, Role::Served { endpoint: at, .. } if *at == endpoint);
        let mut tokens: Vec<Token> =
            self.links.iter().filter(|(_, link)| of(&link.role)).map(|(token, _)| *token).collect();
        tokens.sort();
        tokens
    }

    fn ends(&mut self, endpoint: usize) {
        if let Some(mut listener) = self.endpoints[endpoint].listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        for token in self.links_of(endpoint) {
            self.drop_link(token);
        }
    }

    /// A sidecar is killed and starts again under its address.
    fn restart(&mut self, at: usize) -> Result<(), String> {
        let (_, sidecar, _) = self.restarts[at];
        let process = &mut self.sidecars[0][sidecar];
        let told = |e: std::io::Error| format!("{}: {e}", process.file.display());
        let text = std::fs::read_to_string(&process.file).map_err(told)?;
        std::fs::write(&process.file, text.replace("127.0.0.1:0", &process.at.to_string())).map_err(told)?;
        let file = process.file.clone();
        let _ = process.child.kill();
        let _ = process.child.wait();
        *process = launch(self.program, &file)?;
        Ok(())
    }
}
