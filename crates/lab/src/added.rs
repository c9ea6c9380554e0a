//! What a sidecar adds to a call: the same arrivals go direct to endpoints and through a real sidecar, in short blocks by
//! turns. All on the loopback; endpoints answer at once, so that little else is in the figures.
//!
//! The load tool's loop (`load.rs`) waits by whole milliseconds and opens its connections anew in each run, both more than
//! what is measured here; this one turns without sleep while a call is out or near, and keeps its connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use oorandom::Rand64;
use serde::Serialize;
use serde_json::{Value, json};

use crate::http_connection::{self, HttpConnection};
use crate::rig::sidecars::{ListService, Sidecars, entry};

/// What a sidecar may add to a call for 99 in 100, in milliseconds: the operators' target.
pub const TARGET_MS: f64 = 0.46;
/// A call that set out later than this after it was due was held up by the tool itself, by a fifth of the target; a block
/// with more than one in a hundred of these says little.
const LATE: Duration = Duration::from_micros(100);
const LATE_SHARE: f64 = 0.01;
/// A row with less than this part of its pairs left says nothing.
const PAIRS_SHARE: f64 = 0.5;
/// A block is as long as this, or as long as it takes for so many calls: short against what else a machine does.
const BLOCK: Duration = Duration::from_millis(250);
const BLOCK_CALLS: f64 = 100.0;
/// How long the last calls of a block may take: longer than the deadline that they state.
const ANSWER_IN: Duration = Duration::from_millis(1500);
const REMAINING_MS: u64 = 1000;
/// Calls out at once at the most, for each way: fewer than a sidecar takes connections. More wait, and their time runs.
const OUT_MOST: usize = 256;
/// With no call out, the tool sleeps until so long before the next: a poll's wait is rounded up to a millisecond.
const WAKE_BEFORE: Duration = Duration::from_millis(2);
/// Calls before a row that are not counted, in time and rate: connections open, and the sidecar learns.
const WARM: Duration = Duration::from_millis(300);
const WARM_RATE: f64 = 2000.0;
/// How long a sidecar is looked at while it has nothing to do.
const IDLE: Duration = Duration::from_secs(1);
/// From this part of a core on the sidecar has no more to give.
const CORE_FULL: f64 = 0.95;
/// A rate of which more than this part is rejected, fails or gets no answer isn't carried.
const UNSERVED_MOST: f64 = 0.01;
/// Bounds of a run: its time in seconds, its calls, and a list's length by the files that may be open.
const SECONDS_MOST: f64 = 1800.0;
const CALLS_MOST: f64 = 20_000_000.0;
const ENDPOINTS_MOST: usize = 2400;
const INSTANCES_MOST: u64 = 100_000;
/// Seeds are told apart up to here, so that those which are worked out from one don't pass a number's end.
const SEEDS: u64 = 1 << 32;
/// The method of the base configuration that is called.
const METHOD: &str = "menu";
const NAME: &str = "measured";

/// What is to be measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Calls a second.
    pub rates: Vec<f64>,
    /// Lengths of the service's list.
    pub endpoints: Vec<usize>,
    /// For each way, rate and round.
    pub seconds: f64,
    pub rounds: usize,
    /// How many sidecars share the list, as its settings say: each keeps to a part of a long one.
    pub instances: u64,
    pub seed: u64,
}

impl Plan {
    /// # Errors
    /// The option that is wrong, and what was expected.
    pub fn check(&self) -> Result<(), String> {
        if self.rates.is_empty() || self.rates.iter().any(|rate| !(1.0..=200_000.0).contains(rate)) {
            return Err(format!("--rates: expected 1 to 200000 calls a second, not {:?}", self.rates));
        }
        if self.endpoints.is_empty() || self.endpoints.iter().any(|n| !(1..=ENDPOINTS_MOST).contains(n)) {
            return Err(format!("--endpoints: expected 1 to {ENDPOINTS_MOST}, not {:?}", self.endpoints));
        }
        if !(self.seconds >= 0.1 && self.seconds <= SECONDS_MOST) || self.rounds == 0 {
            return Err("--seconds, --rounds: expected 0.1 and 1 at the least".to_string());
        }
        if !(1..=INSTANCES_MOST).contains(&self.instances) {
            return Err(format!("--instances: expected 1 to {INSTANCES_MOST}, not {}", self.instances));
        }
        let ways = 2.0 * self.seconds * (self.rounds * self.endpoints.len()) as f64;
        let (secs, calls) = (ways * self.rates.len() as f64, ways * self.rates.iter().sum::<f64>());
        if secs > SECONDS_MOST || calls > CALLS_MOST {
            return Err(format!(
                "--seconds: {secs:.0} s and {calls:.0} calls in all, of {SECONDS_MOST} s and {CALLS_MOST} at the most"
            ));
        }
        Ok(())
    }

    /// How long a block is, and how many make up a round.
    pub fn blocks(&self, rate: f64) -> (Duration, usize) {
        let length = BLOCK.as_secs_f64().max(BLOCK_CALLS / rate).min(self.seconds);
        (Duration::from_secs_f64(length), (self.seconds / length).round().max(1.0) as usize)
    }
}

/// When the calls of a block are due, from its start on: Poisson's, by this seed alone.
pub fn arrivals(rate: f64, length: Duration, seed: u64) -> Vec<Duration> {
    let (mut chance, mut at, mut all) = (Rand64::new(u128::from(seed)), 0.0, Vec::new());
    loop {
        at += -(1.0 - chance.rand_float()).ln() / rate;
        if at >= length.as_secs_f64() {
            return all;
        }
        all.push(Duration::from_secs_f64(at));
    }
}

/// The smallest of these that so large a part doesn't pass; nothing of none.
pub fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

// Endpoints.

/// Endpoints that answer at once: one thread on many ports. It ends with this value.
pub struct Endpoints {
    pub at: Vec<SocketAddr>,
    /// Connections that are open to them.
    open: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Endpoints {
    /// # Errors
    /// What the system says if there is no address to listen at.
    pub fn start(count: usize) -> std::io::Result<Endpoints> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for at in 0..count {
            let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            poll.registry().register(&mut listener, Token(at), Interest::READABLE)?;
            listeners.push(listener);
        }
        let at = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
        let waker = Waker::new(poll.registry(), Token(count))?;
        let (open, over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (counted, ends) = (open.clone(), over.clone());
        let thread = thread::spawn(move || serve(poll, &listeners, &counted, &ends));
        Ok(Endpoints { at, open, over, waker, thread: Some(thread) })
    }

    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }
}

impl Drop for Endpoints {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.waker.wake();
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn serve(mut poll: Poll, listeners: &[TcpListener], open: &AtomicU64, over: &AtomicBool) {
    let (mut links, mut next) = (HashMap::new(), listeners.len());
    let mut events = Events::with_capacity(1024);
    while !over.load(Ordering::Relaxed) {
        if poll.poll(&mut events, None).is_err() {
            continue;
        }
        for token in events.iter().map(|event| event.token()) {
            if let Some(listener) = listeners.get(token.0) {
                while let Ok((stream, _)) = listener.accept() {
                    next += 1;
                    if let Ok(wire) = HttpConnection::from_stream(stream, poll.registry(), Token(next)) {
                        links.insert(Token(next), wire);
                    }
                }
            } else if let Some(wire) = links.get_mut(&token)
                && !answers(wire)
            {
                links.remove(&token).into_iter().for_each(|wire| wire.close(poll.registry()));
            }
        }
        open.store(links.len() as u64, Ordering::Relaxed);
    }
}

/// Answers what has come whole; false once the connection is of no more use.
fn answers(wire: &mut HttpConnection) -> bool {
    wire.flush();
    wire.fill();
    while let Ok(Some(whole)) = http_connection::parse_message(&wire.input, false) {
        let text = match whole.path == "/load" {
            // Who asks for a load report is told that there is none.
            true => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string(),
            false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", whole.id.len(), whole.id),
        };
        wire.input.drain(..whole.body.1);
        wire.write(text.as_bytes());
    }
    !wire.over
}

// The client.

/// How one call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// From when it was due until its answer was there, in milliseconds; none where none came.
    pub took_ms: Option<f64>,
    /// 0 where no answer came.
    pub status: u16,
    /// How long after it was due the tool came to it, in milliseconds.
    pub late_ms: f64,
    /// The answer was made for another call.
    pub foreign: bool,
}

/// Calls out of a hundred that the tool itself held up: whether they are too many.
pub fn is_void(calls: &[Call]) -> bool {
    let late = calls.iter().filter(|call| call.late_ms > LATE.as_secs_f64() * 1e3).count();
    late as f64 > LATE_SHARE * calls.len() as f64
}

struct Link {
    wire: HttpConnection,
    to: usize,
    carries: Option<usize>,
    /// It had carried a call before this one.
    used: bool,
}

/// An open loop of calls to some addresses, which keeps its connections.
pub struct Client {
    to: Vec<SocketAddr>,
    poll: Poll,
    events: Events,
    ready: Vec<Token>,
    links: HashMap<Token, Link>,
    idle: Vec<Vec<Token>>,
    next: usize,
    ids: u64,
    chance: Rand64,
}

/// One block as it runs.
struct Block<'a> {
    due: &'a [Duration],
    start: Instant,
    calls: Vec<Call>,
    /// The ids and goals of calls.
    sent: Vec<(u64, usize)>,
    waiting: VecDeque<usize>,
    out: usize,
}

impl Client {
    /// # Errors
    /// What the system says.
    ///
    /// # Panics
    /// If an address isn't on the loopback.
    pub fn new(to: Vec<SocketAddr>, seed: u64) -> std::io::Result<Client> {
        assert!(to.iter().all(|at| at.ip().is_loopback()), "calls stay on the loopback");
        let (idle, chance) = (vec![Vec::new(); to.len()], Rand64::new(u128::from(seed)));
        let (poll, events) = (Poll::new()?, Events::with_capacity(1024));
        Ok(Client {
            to,
            poll,
            events,
            ready: Vec::new(),
            links: HashMap::new(),
            idle,
            next: 0,
            ids: 0,
            chance,
        })
    }

    pub fn connections(&self) -> usize {
        self.links.len()
    }

    /// Makes the calls that are due, each to an address that chance picks, and waits for their answers. `before` is called
    /// before each sets out.
    ///
    /// # Errors
    /// What the system says of the poll.
    pub fn block(&mut self, due: &[Duration], before: impl FnMut(usize)) -> Result<Vec<Call>, String> {
        let count = self.to.len() as u64;
        let goals: Vec<usize> = due.iter().map(|_| self.chance.rand_range(0..count) as usize).collect();
        self.calls(due, &goals, before)
    }

    /// One call to each address, so that a connection stands.
    ///
    /// # Errors
    /// What the system says of the poll.
    pub fn greet(&mut self) -> Result<Vec<Call>, String> {
        let goals: Vec<usize> = (0..self.to.len()).collect();
        let due: Vec<Duration> = goals.iter().map(|at| Duration::from_micros(200 * *at as u64)).collect();
        self.calls(&due, &goals, |_| ())
    }

    fn calls(
        &mut self,
        due: &[Duration],
        goals: &[usize],
        mut before: impl FnMut(usize),
    ) -> Result<Vec<Call>, String> {
        // Connections that have ended since the last block go first.
        self.polled(Duration::ZERO)?;
        let nothing = Call { took_ms: None, status: 0, late_ms: 0.0, foreign: false };
        let sent = goals.iter().map(|goal| (0, *goal)).collect();
        let (calls, waiting) = (vec![nothing; due.len()], VecDeque::new());
        let mut block = Block { due, start: Instant::now(), calls, sent, waiting, out: 0 };
        for token in std::mem::take(&mut self.ready) {
            self.hears(token, &mut block);
        }
        block.start = Instant::now();
        let (mut next, until) = (0, due.last().copied().unwrap_or_default() + ANSWER_IN);
        while next < due.len() || block.out > 0 || !block.waiting.is_empty() {
            let now = block.start.elapsed();
            if now > until {
                break;
            }
            if next < due.len() && due[next] <= now {
                before(next);
                block.calls[next].late_ms = (block.start.elapsed() - due[next]).as_secs_f64() * 1e3;
                block.waiting.push_back(next);
                next += 1;
            }
            if block.out < OUT_MOST
                && let Some(call) = block.waiting.pop_front()
            {
                self.ids += 1;
                (block.sent[call].0, block.out) = (self.ids, block.out + 1);
                self.send(call, true, &mut block);
            }
            let now = block.start.elapsed();
            let left = due.get(next).map_or(Duration::ZERO, |due| due.saturating_sub(now));
            let idle = block.out == 0 && block.waiting.is_empty();
            self.polled(if idle { left.saturating_sub(WAKE_BEFORE) } else { Duration::ZERO })?;
            let mut ready = std::mem::take(&mut self.ready);
            ready.drain(..).for_each(|token| self.hears(token, &mut block));
            self.ready = ready;
        }
        // Who still carries a call would bring its answer into the next block.
        let late: Vec<Token> =
            self.links.iter().filter(|(_, link)| link.carries.is_some()).map(|(token, _)| *token).collect();
        late.into_iter().for_each(|token| self.close(token));
        Ok(block.calls)
    }

    fn polled(&mut self, wait: Duration) -> Result<(), String> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            other => other.map_err(|e| format!("poll: {e}"))?,
        }
        self.ready.extend(self.events.iter().map(|event| event.token()));
        Ok(())
    }

    fn send(&mut self, call: usize, may_reuse: bool, block: &mut Block) {
        let (id, to) = block.sent[call];
        let kept = if may_reuse { self.idle[to].pop() } else { None };
        let token = kept.unwrap_or_else(|| {
            self.next += 1;
            Token(self.next)
        });
        if kept.is_none() {
            let Ok(wire) = HttpConnection::open(self.to[to], self.poll.registry(), token) else {
                block.out -= 1;
                return;
            };
            self.links.insert(token, Link { wire, to, carries: None, used: false });
        }
        let link = self.links.get_mut(&token).expect("idle ones are kept");
        (link.carries, link.used) = (Some(call), kept.is_some());
        link.wire.write(&http_connection::request(METHOD, true, id, id, REMAINING_MS));
    }

    fn hears(&mut self, token: Token, block: &mut Block) {
        let Some(link) = self.links.get_mut(&token) else { return };
        link.wire.flush();
        link.wire.fill();
        let Some(call) = link.carries else {
            if link.wire.over || !link.wire.input.is_empty() {
                self.close(token);
            }
            return;
        };
        let read = http_connection::parse_message(&link.wire.input, true);
        match read {
            Ok(Some(whole)) => {
                let took = block.start.elapsed().saturating_sub(block.due[call]);
                let made = format!("{:016x}", block.sent[call].0);
                let own = link.wire.input[whole.body.0..whole.body.1] == *made.as_bytes();
                link.wire.input.drain(..whole.body.1);
                link.carries = None;
                let done = &mut block.calls[call];
                (done.took_ms, done.status) = (Some(took.as_secs_f64() * 1e3), whole.status);
                done.foreign = whole.status == 200 && !own;
                block.out -= 1;
                if whole.close || link.wire.over {
                    self.close(token);
                } else {
                    let to = link.to;
                    self.idle[to].push(token);
                }
            }
            Ok(None) if !link.wire.over => {}
            _ => {
                // A sidecar may close between calls; one that crossed that is sent once more.
                let again = link.used && link.wire.input.is_empty();
                self.close(token);
                if again {
                    return self.send(call, false, block);
                }
                block.out -= 1;
            }
        }
    }

    fn close(&mut self, token: Token) {
        if let Some(link) = self.links.remove(&token) {
            self.idle[link.to].retain(|idle| *idle != token);
            link.wire.close(self.poll.registry());
        }
    }
}

// What comes of it.

/// How the calls of one way ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Ends {
    pub calls: u64,
    pub served: u64,
    /// Answered 429 or 503.
    pub rejected: u64,
    /// Answered otherwise, or with what was made for another.
    pub failed: u64,
    /// Without an answer.
    pub lost: u64,
}

impl Ends {
    pub fn add(&mut self, calls: &[Call]) {
        for call in calls {
            self.calls += 1;
            let end = match (call.status, call.foreign) {
                (200, false) => &mut self.served,
                (429 | 503, _) => &mut self.rejected,
                (0, _) => &mut self.lost,
                _ => &mut self.failed,
            };
            *end += 1;
        }
    }

    fn unserved(&self) -> f64 {
        (self.calls - self.served) as f64 / (self.calls as f64).max(1.0)
    }
}

/// The same arrivals both ways.
pub struct Pair {
    pub direct: Vec<Call>,
    pub through: Vec<Call>,
}

/// Figures over some blocks, in milliseconds: [p50, p99].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub direct: [f64; 2],
    pub through: [f64; 2],
    /// One p99 less the other, and the same for p50.
    pub added: [f64; 2],
    /// Of what was added call by call, each less its own twin.
    pub by_call: [f64; 2],
}

fn served(calls: &[Call]) -> impl Iterator<Item = f64> + '_ {
    calls.iter().filter(|call| call.status == 200).filter_map(|call| call.took_ms)
}

/// What these pairs say, void or not.
pub fn times<'a>(pairs: impl Iterator<Item = &'a Pair> + Clone) -> Times {
    let both = |values: &[f64]| [quantile(values, 0.5), quantile(values, 0.99)];
    let direct = both(&pairs.clone().flat_map(|pair| served(&pair.direct)).collect::<Vec<_>>());
    let through = both(&pairs.clone().flat_map(|pair| served(&pair.through)).collect::<Vec<_>>());
    let twins = pairs.flat_map(|pair| pair.direct.iter().zip(&pair.through));
    let twins = twins.filter(|(one, other)| one.status == 200 && other.status == 200);
    let by_call: Vec<f64> = twins.filter_map(|(one, other)| Some(other.took_ms? - one.took_ms?)).collect();
    Times {
        direct,
        through,
        added: [through[0] - direct[0], through[1] - direct[1]],
        by_call: both(&by_call),
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Round {
    pub pairs: usize,
    /// Pairs of which one block was void: they count in no time.
    pub void: usize,
    pub times: Times,
}

/// One rate with one list.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub endpoints: usize,
    pub rate: f64,
    pub rounds: Vec<Round>,
    /// Over all rounds together; and with the void pairs too, which says what they would have.
    pub times: Times,
    pub with_void: Times,
    /// Of the rounds: the mean, the least and the most of p99 added.
    pub added_p99: [f64; 3],
    /// Of the pairs of blocks: p10, p50 and p90 of p99 added.
    pub pairs_p99: [f64; 3],
    pub void: bool,
    pub direct: Ends,
    pub through: Ends,
    /// The sidecar's processor time a call, the part of a core that is, how often it was put on a core for a call, and how
    /// long it was ready and waited for one.
    pub processor_us: f64,
    pub core: f64,
    pub runs: f64,
    pub waited_us: f64,
    /// Connections from clients, and to endpoints.
    pub clients: usize,
    pub upstream: u64,
    pub memory_kb: u64,
    /// Why the sidecar doesn't carry this rate; empty where it does.
    pub over: Vec<String>,
}

/// One list.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Listed {
    pub endpoints: usize,
    pub idle_memory_kb: u64,
    /// Part of a core without calls.
    pub idle_core: f64,
    pub rows: Vec<Row>,
    /// Rates that weren't run, as one before was too much.
    pub not_run: Vec<f64>,
    /// The highest rate measured that was carried, with all below it.
    pub carries: Option<f64>,
    /// What a whole core would carry, worked out from the processor time of a call at that rate.
    pub core_rate: Option<f64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub plan: Plan,
    pub most_ms: f64,
    pub cores: usize,
    /// The machine's load average over a minute.
    pub load_before: f64,
    pub load_after: f64,
    pub seconds: f64,
    pub lists: Vec<Listed>,
}

/// A process's account: nanoseconds on a core, nanoseconds ready without one, times put on one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used(pub [u64; 3]);

/// Of all threads that a process has now.
///
/// # Errors
/// The file that can't be read.
pub fn used(id: u32) -> Result<Used, String> {
    let folder = format!("/proc/{id}/task");
    let named = |e: std::io::Error| format!("{folder}: {e}");
    let mut sum = [0; 3];
    for task in std::fs::read_dir(&folder).map_err(named)? {
        // Danger: a thread may end between the look at the folder and that at its file; its time is then told no more.
        let Ok(text) = std::fs::read_to_string(task.map_err(named)?.path().join("schedstat")) else {
            continue;
        };
        for (at, field) in text.split_whitespace().take(3).enumerate() {
            sum[at] += field.parse::<u64>().map_err(|e| format!("{folder}: {e}"))?;
        }
    }
    Ok(Used(sum))
}

impl Used {
    fn since(self, before: Used) -> Used {
        Used(std::array::from_fn(|at| self.0[at].saturating_sub(before.0[at])))
    }

    fn add(&mut self, more: Used) {
        (0..3).for_each(|at| self.0[at] += more.0[at]);
    }
}

/// What a process holds in memory, in kilobytes.
fn memory_kb(id: u32) -> Result<u64, String> {
    let file = format!("/proc/{id}/status");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{file}: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().map_err(|e| format!("{file}: VmRSS: {e}"))
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

/// A sidecar with its list, and a client of each way.
struct Bench {
    // The client's connections go first, then the sidecar's.
    direct: Client,
    through: Client,
    sidecars: Sidecars,
    id: u32,
    endpoints: Endpoints,
}

impl Bench {
    fn start(count: usize, instances: u64, seed: u64, place: &Place) -> Result<Bench, String> {
        let told = |e: std::io::Error| format!("stand-in: {e}");
        let endpoints = Endpoints::start(count).map_err(told)?;
        let entries = endpoints.at.iter().enumerate().map(|(at, to)| entry(at, *to, "up")).collect();
        let mut base: Value = serde_json::from_str(place.base).map_err(|e| format!("base: {e}"))?;
        base["settings"]["nInstances"] = instances.into();
        let mut sidecars =
            Sidecars::new(&place.folder.join(count.to_string()), place.sidecar, &base.to_string(), 0)?;
        sidecars.list = ListService::start(entries).map_err(told)?;
        sidecars.start(NAME, &[], 0)?;
        sidecars.wait("the list", |s| s.figure(NAME, "sidecar_members") == Some(count as u64))?;
        let direct = Client::new(endpoints.at.clone(), seed).map_err(told)?;
        let through = Client::new(vec![sidecars.at(NAME)], seed + 1).map_err(told)?;
        let id = sidecars.process(NAME).id();
        Ok(Bench { direct, through, sidecars, id, endpoints })
    }

    fn row(&mut self, plan: &Plan, rate: f64, seed: u64, most_ms: f64) -> Result<Row, String> {
        let mut row = Row { endpoints: self.endpoints.at.len(), rate, ..Row::default() };
        for (client, seed) in [(&mut self.direct, seed), (&mut self.through, seed + 1)] {
            client.block(&arrivals(rate.min(WARM_RATE), WARM, seed), |_| ())?;
        }
        let (length, blocks) = plan.blocks(rate);
        let (mut all, mut sum, mut busy) = (Vec::new(), Used::default(), Duration::ZERO);
        for round in 0..plan.rounds {
            for block in 0..blocks {
                let due = arrivals(rate, length, seed + ((round * blocks + block) as u64 + 1) * 7919);
                let mut through = |client: &mut Client| {
                    let (before, start) = (used(self.id)?, Instant::now());
                    let calls = client.block(&due, |_| ())?;
                    busy += start.elapsed();
                    sum.add(used(self.id)?.since(before));
                    Ok::<_, String>(calls)
                };
                // Danger: whoever always came second would have warm caches, and what the first left behind.
                let pair = if (round + block) % 2 == 0 {
                    let direct = self.direct.block(&due, |_| ())?;
                    Pair { direct, through: through(&mut self.through)? }
                } else {
                    let through = through(&mut self.through)?;
                    Pair { direct: self.direct.block(&due, |_| ())?, through }
                };
                row.direct.add(&pair.direct);
                row.through.add(&pair.through);
                all.push(pair);
            }
        }
        let fair = |pair: &&Pair| !is_void(&pair.direct) && !is_void(&pair.through);
        for pairs in all.chunks(blocks) {
            let left = pairs.iter().filter(fair);
            let void = pairs.len() - left.clone().count();
            row.rounds.push(Round { pairs: pairs.len(), void, times: times(left) });
        }
        let left = all.iter().filter(fair);
        (row.times, row.void) =
            (times(left.clone()), (left.clone().count() as f64) < PAIRS_SHARE * all.len() as f64);
        row.with_void = times(all.iter());
        let added: Vec<f64> =
            row.rounds.iter().filter(|r| r.void < r.pairs).map(|r| r.times.added[1]).collect();
        let mean = added.iter().sum::<f64>() / (added.len() as f64).max(1.0);
        row.added_p99 = [mean, quantile(&added, 0.0), quantile(&added, 1.0)];
        let pairs: Vec<f64> = left.map(|pair| times(std::iter::once(pair)).added[1]).collect();
        row.pairs_p99 = [0.1, 0.5, 0.9].map(|part| quantile(&pairs, part));
        let calls = (row.through.calls as f64).max(1.0);
        (row.processor_us, row.waited_us) = (sum.0[0] as f64 / 1e3 / calls, sum.0[1] as f64 / 1e3 / calls);
        (row.core, row.runs) = (sum.0[0] as f64 / busy.as_nanos() as f64, sum.0[2] as f64 / calls);
        row.clients = self.through.connections();
        row.upstream = self.endpoints.open().saturating_sub(self.direct.connections() as u64);
        row.memory_kb = memory_kb(self.id)?;
        row.over = over(&row, most_ms);
        Ok(row)
    }
}

/// # Errors
/// The option, if no difference can be compared with it.
pub fn check_most(most_ms: f64) -> Result<(), String> {
    match most_ms.is_finite() {
        true => Ok(()),
        false => Err(format!("--most-ms: expected a number of milliseconds, not {most_ms}")),
    }
}

/// Why a row's rate isn't carried; empty where it is. What was added is compared both ways, in milliseconds, so a limit
/// below zero is kept by no row.
pub fn over(row: &Row, most_ms: f64) -> Vec<String> {
    let mut over = Vec::new();
    let added = row.added_p99[0];
    if row.void {
        over.push("void, with its void pairs shown: the tool itself was late".to_string());
    } else if row.direct.served == 0 {
        // Danger: without anything to compare it would have added nothing, and be within every limit.
        over.push("void: no direct call was served".to_string());
    } else if added > most_ms {
        over.push(format!("adds {added:.3} ms for 99 in 100, {:.3} over {most_ms}", added - most_ms));
    } else if added < -most_ms {
        // Danger: a sidecar takes nothing off a call. What is measured below zero is the machine's doing, and what it does
        // by more than the limit one way it may do the other way: a row would be within the limit by chance.
        over.push(format!(
            "void: direct calls took {:.3} ms more for 99 in 100, which is no sidecar's doing and over {most_ms}",
            -added
        ));
    }
    if row.core >= CORE_FULL {
        over.push(format!("takes {:.2} of a core", row.core));
    }
    if row.through.unserved() > UNSERVED_MOST {
        over.push(format!("{:.1}% rejected, failed or lost", row.through.unserved() * 100.0));
    }
    over
}

/// The sidecar's program, a folder for its files, and a configuration as its base.
pub struct Place<'a> {
    pub sidecar: &'a Path,
    pub folder: &'a Path,
    pub base: &'a str,
}

/// Measures what the plan names. `told` hears of each row.
///
/// # Errors
/// What is wrong with the plan, or did not run.
pub fn measure(
    plan: &Plan,
    most_ms: f64,
    place: &Place,
    mut told: impl FnMut(&Row),
) -> Result<Measured, String> {
    plan.check()?;
    check_most(most_ms)?;
    let (start, load_before) = (Instant::now(), load_average());
    let mut rates = plan.rates.clone();
    rates.sort_by(f64::total_cmp);
    let mut lists = Vec::new();
    for (at, count) in plan.endpoints.iter().enumerate() {
        let seed = (plan.seed % SEEDS) * 1_000_003 + 1_000 * at as u64;
        let mut bench = Bench::start(*count, plan.instances, seed, place)?;
        bench.direct.greet()?;
        let (before, began) = (used(bench.id)?, Instant::now());
        thread::sleep(IDLE);
        let idle = used(bench.id)?.since(before).0[0] as f64;
        let mut list = Listed {
            endpoints: *count,
            idle_memory_kb: memory_kb(bench.id)?,
            idle_core: idle / began.elapsed().as_nanos() as f64,
            ..Listed::default()
        };
        let mut coming = rates.iter().enumerate();
        for (step, rate) in coming.by_ref() {
            let row = bench.row(plan, *rate, seed + 100_000 * (step as u64 + 1), most_ms)?;
            told(&row);
            // What a void row says of calls unserved may be the machine's doing.
            let unserved = !row.void && row.through.unserved() > UNSERVED_MOST;
            let spent = row.core >= CORE_FULL || unserved;
            list.rows.push(row);
            if spent {
                break;
            }
        }
        list.not_run = coming.map(|(_, rate)| *rate).collect();
        let carried = list.rows.iter().take_while(|row| row.over.is_empty()).last();
        list.carries = carried.map(|row| row.rate);
        list.core_rate = carried.map(|row| 1e6 / row.processor_us);
        lists.push(list);
        bench.sidecars.kill(NAME);
    }
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let (load_after, seconds) = (load_average(), start.elapsed().as_secs_f64());
    Ok(Measured { plan: plan.clone(), most_ms, cores, load_before, load_after, seconds, lists })
}

/// The head of a table of rows.
pub const HEAD: &str = "endpoints   rate  direct p50   p99  through p50   p99  added p50   p99 (rounds least..most)  by call p99  \
    pairs void  unserved  us a call  core  runs  conns in/out  memory MB";

impl Row {
    pub fn text(&self) -> String {
        let (pairs, void) = self.rounds.iter().fold((0, 0), |sum, r| (sum.0 + r.pairs, sum.1 + r.void));
        let t = if self.void { &self.with_void } else { &self.times };
        let most = if self.void { [t.added[1]; 3] } else { self.added_p99 };
        let (a, e) = (&most, &self.through);
        let over =
            if self.over.is_empty() { String::new() } else { format!("  OVER: {}", self.over.join("; ")) };
        format!(
            "{:>9} {:>6} {:>11.3} {:>5.3} {:>12.3} {:>5.3} {:>10.3} {:>5.3} ({:>6.3}..{:>6.3}) {:>14.3} {:>10} {:>4} {:>9} {:>10.1} {:>5.2} {:>5.2} {:>7}/{:<5} {:>9.1}{over}",
            self.endpoints,
            self.rate,
            t.direct[0],
            t.direct[1],
            t.through[0],
            t.through[1],
            t.added[0],
            a[0],
            a[1],
            a[2],
            t.by_call[1],
            pairs,
            void,
            e.calls - e.served,
            self.processor_us,
            self.core,
            self.runs,
            self.clients,
            self.upstream,
            self.memory_kb as f64 / 1024.0
        )
    }
}

impl Listed {
    pub fn text(&self) -> String {
        let carries = match (self.carries, self.core_rate) {
            (Some(rate), Some(core)) => format!("carries {rate}, by its time a call {core:.0} in a core"),
            _ => "carries none of these".to_string(),
        };
        let left =
            if self.not_run.is_empty() { String::new() } else { format!("; not run: {:?}", self.not_run) };
        format!(
            "{} endpoints: idle {:.1} MB and {:.4} of a core; {carries}{left}",
            self.endpoints,
            self.idle_memory_kb as f64 / 1024.0,
            self.idle_core
        )
    }
}

impl Measured {
    /// All rows that aren't carried, by why.
    pub fn over(&self) -> Vec<String> {
        let rows = self.lists.iter().flat_map(|list| &list.rows);
        let over = rows.flat_map(|row| row.over.iter().map(move |why| (row, why)));
        over.map(|(row, why)| format!("{} endpoints at {}: {why}", row.endpoints, row.rate)).collect()
    }

    pub fn json(&self) -> Value {
        json!(self)
    }
}
