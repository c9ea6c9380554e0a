//! The load tool: an open loop. Requests are sent at their scheduled times whatever comes back, and latency counts
//! from the scheduled time. It says how late its own sending ran.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use appledyke::units::{Moment, Span};
use mio::{Events, Poll, Token};
use oorandom::Rand64;

use crate::http_connection::{self, HttpConnection};
use crate::report::Counters;
use crate::scenario::{Effect, Scenario, at_ms, millis};

/// A run whose sending ran later than this at the 99th percentile, in milliseconds, says little of the sidecars.
const VOID_LATE_MS: f64 = 20.0;
/// So long after its deadline a request without an answer counts as lost: the machine is shared, so more than in
/// virtual time.
const ANSWER_SLACK: Span = Span::from_millis(400);
/// Most that a run may offer.
const MOST_REQUESTS: usize = 5_000_000;

/// What a load run came to.
pub struct Loaded {
    pub counters: Counters,
    pub late_p99_ms: f64,
    /// Requests without an answer, and answers that were not made for their request.
    pub lost: u64,
    pub foreign: u64,
}

impl Loaded {
    pub fn void(&self) -> bool {
        self.late_p99_ms > VOID_LATE_MS
    }
}

struct Client {
    method: usize,
    tenant: usize,
    born: Moment,
    deadline: Moment,
    attempt: u32,
    key: u64,
    id: u64,
    on: Option<Token>,
    /// Sent on a connection that had been used before, so it may be sent once more if that has ended.
    again: bool,
    done: bool,
}

struct Link {
    connection: HttpConnection,
    to: usize,
    carries: Option<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tries(usize),
    TimedOut(usize, u32),
}

struct Run<'a> {
    scenario: &'a Scenario,
    to: &'a [SocketAddr],
    start: Instant,
    poll: Poll,
    links: HashMap<Token, Link>,
    idle: Vec<Vec<Token>>,
    next: usize,
    clients: Vec<Client>,
    due: BTreeSet<(Moment, Due)>,
    chance: Rand64,
    loaded: Loaded,
    open: usize,
}

/// The moments of arrival: Poisson's, or the scenario's trace, with the bursts of its schedule.
fn arrivals(scenario: &Scenario, chance: &mut Rand64, burst: impl Fn(Moment) -> f64) -> Vec<Moment> {
    let end = at_ms(scenario.length_ms);
    if !scenario.load.trace_ms.is_empty() {
        return scenario.load.trace_ms.iter().map(|at| at_ms(*at)).filter(|at| *at < end).collect();
    }
    let (mut at, mut all) = (Moment::from_nanos(0), Vec::new());
    if scenario.load.per_second <= 0.0 {
        return all;
    }
    loop {
        let gap = -(1.0 - chance.rand_float()).ln() / (scenario.load.per_second * burst(at)).max(1e-9);
        at = at + millis(gap * 1e3);
        if at >= end {
            return all;
        }
        all.push(at);
    }
}

/// Offers the scenario's load to these sidecars. Only addresses of this machine's loopback are taken.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    to: &[SocketAddr],
    burst: impl Fn(Moment) -> f64,
) -> Result<Loaded, String> {
    if let Some(other) = to.iter().find(|at| !at.ip().is_loopback()) {
        return Err(format!("--to: {other} is not on the loopback"));
    }
    if to.is_empty() {
        return Err("--to: no address".to_string());
    }
    let mut chance = Rand64::new(u128::from(seed));
    let moments = arrivals(scenario, &mut chance, burst);
    if moments.len() > MOST_REQUESTS {
        return Err(format!("load.per_second: {} reqs, of {MOST_REQUESTS} at the most", moments.len()));
    }
    let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
    let loaded = Loaded { counters: Counters::new(scenario), late_p99_ms: 0.0, lost: 0, foreign: 0 };
    let mut run = Run {
        scenario,
        to,
        start: Instant::now(),
        poll,
        links: HashMap::new(),
        idle: vec![Vec::new(); to.len()],
        next: 0,
        clients: Vec::new(),
        due: BTreeSet::new(),
        chance,
        loaded,
        open: 0,
    };
    run.plays(&moments)?;
    Ok(run.loaded)
}

impl Run<'_> {
    fn now(&self) -> Moment {
        Moment::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    fn plays(&mut self, moments: &[Moment]) -> Result<(), String> {
        let mut events = Events::with_capacity(256);
        let mut late = Vec::with_capacity(moments.len());
        let mut coming = moments.iter().copied().peekable();
        loop {
            while let Some(at) = coming.next_if(|at| *at <= self.now()) {
                late.push(self.now().since(at).secs() * 1e3);
                self.comes(at);
            }
            while let Some((at, due)) = self.due.first().copied().filter(|(at, _)| *at <= self.now()) {
                self.due.remove(&(at, due));
                match due {
                    Due::Tries(client) => self.tries(client),
                    Due::TimedOut(client, attempt) => self.timed_out(client, attempt),
                }
            }
            let next = coming.peek().copied().into_iter().chain(self.due.first().map(|(at, _)| *at)).min();
            let Some(next) = next.filter(|_| self.open > 0 || coming.peek().is_some()) else { break };
            let wait = Duration::from_nanos(next.since(self.now()).nanos());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                other => other.map_err(|e| format!("poll: {e}"))?,
            }
            let ready: Vec<Token> = events.iter().map(|event| event.token()).collect();
            ready.into_iter().for_each(|token| self.ready(token));
        }
        late.sort_by(f64::total_cmp);
        self.loaded.late_p99_ms = late.get(late.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0.0);
        Ok(())
    }

    fn comes(&mut self, born: Moment) {
        let method = self.scenario.drawn_method(&mut self.chance);
        let tenant = self.chance.rand_range(0..self.scenario.load.tenants as u64) as usize;
        let deadline = born + Span::from_millis(self.scenario.method[method].deadline_ms);
        let key = self.chance.rand_u64();
        let client = Client {
            method,
            tenant,
            born,
            deadline,
            attempt: 0,
            key,
            id: 0,
            on: None,
            again: false,
            done: false,
        };
        self.clients.push(client);
        self.open += 1;
        self.loaded.counters.offered(born, method, tenant);
        self.tries(self.clients.len() - 1);
    }

    fn tries(&mut self, client: usize) {
        let id = self.chance.rand_u64();
        let to = self.chance.rand_range(0..self.to.len() as u64) as usize;
        let now = self.now();
        let c = &mut self.clients[client];
        c.attempt += 1;
        (c.id, c.again) = (id, false);
        if c.attempt > 1 {
            self.loaded.counters.retried(now);
        }
        self.due.insert((c.deadline + ANSWER_SLACK, Due::TimedOut(client, c.attempt)));
        self.send(client, to, true);
    }

    fn send(&mut self, client: usize, to: usize, may_reuse: bool) {
        let now = self.now();
        let c = &self.clients[client];
        let m = &self.scenario.method[c.method];
        let left = c.deadline.since(now).nanos() / 1_000_000;
        let text = http_connection::request(&m.name, m.effect == Effect::Retryable, c.id, c.key, left);
        let idle = if may_reuse { self.idle[to].pop() } else { None };
        let token = match idle {
            Some(token) => token,
            None => {
                self.next += 1;
                let token = Token(self.next);
                let Ok(connection) = HttpConnection::open(self.to[to], self.poll.registry(), token) else {
                    return self.ended(client, 0, None);
                };
                self.loaded.counters.opened(now);
                self.links.insert(token, Link { connection, to, carries: None });
                token
            }
        };
        let c = &mut self.clients[client];
        (c.on, c.again) = (Some(token), idle.is_some());
        let link = self.links.get_mut(&token).expect("idle ones are kept");
        link.carries = Some(client);
        link.connection.write(&text);
    }

    fn drop_link(&mut self, token: Token) {
        if let Some(link) = self.links.remove(&token) {
            self.idle[link.to].retain(|idle| *idle != token);
            link.connection.close(self.poll.registry());
        }
    }

    fn ready(&mut self, token: Token) {
        let Some(link) = self.links.get_mut(&token) else { return };
        link.connection.flush();
        link.connection.fill();
        let (over, to) = (link.connection.over, link.to);
        let Some(client) = link.carries else {
            if over || !link.connection.input.is_empty() {
                self.drop_link(token);
            }
            return;
        };
        let read = http_connection::parse_message(&link.connection.input, true);
        let nothing = link.connection.input.is_empty();
        match read {
            Ok(Some(message)) => {
                let made = format!("{:016x}", self.clients[client].id);
                let own = link.connection.input[message.body.0..message.body.1] == *made.as_bytes();
                self.loaded.foreign += u64::from(message.status == 200 && !own);
                link.connection.input.drain(..message.body.1);
                link.carries = None;
                if message.close || over {
                    self.drop_link(token);
                } else {
                    self.idle[to].push(token);
                }
                self.ended(client, message.status, message.retry_after_secs);
            }
            Ok(None) if !over => {}
            _ => {
                self.drop_link(token);
                // A sidecar may close between requests; one that crossed that is sent once more.
                if nothing && std::mem::take(&mut self.clients[client].again) {
                    return self.send(client, to, false);
                }
                self.ended(client, 0, None);
            }
        }
    }

    /// A try has its answer, or its connection broke, which stands as 0.
    fn ended(&mut self, client: usize, status: u16, retry_after: Option<f64>) {
        let now = self.now();
        let c = &mut self.clients[client];
        if c.done {
            return;
        }
        c.on = None;
        let m = &self.scenario.method[c.method];
        let took = now.since(c.born);
        self.due.remove(&(c.deadline + ANSWER_SLACK, Due::TimedOut(client, c.attempt)));
        let rejected = matches!(status, 429 | 503);
        if status == 200 && now <= c.deadline {
            let in_time = took <= Span::from_millis(m.latency_budget_ms);
            self.loaded.counters.served((c.born, took), c.method, c.tenant, in_time, m);
        } else {
            let back_off = self.scenario.load.back_off_ms as f64 / 1e3;
            let wait = millis(retry_after.unwrap_or(back_off).clamp(0.0, 60.0) * 1e3);
            let harmless = rejected || m.effect == Effect::Retryable;
            if harmless && c.attempt <= self.scenario.load.retries && now + wait < c.deadline {
                self.due.insert((now + wait, Due::Tries(client)));
                return;
            }
            match rejected {
                true => self.loaded.counters.rejected(c.born, c.method, c.tenant),
                false => self.loaded.counters.failed(c.born, c.method, c.tenant),
            }
        }
        c.done = true;
        self.open -= 1;
    }

    fn timed_out(&mut self, client: usize, attempt: u32) {
        let c = &mut self.clients[client];
        if c.done || c.attempt != attempt {
            return;
        }
        c.done = true;
        self.open -= 1;
        self.loaded.lost += 1;
        self.loaded.counters.failed(c.born, c.method, c.tenant);
        if let Some(token) = c.on.take() {
            self.drop_link(token);
        }
    }
}

/// The rules that a load run can see broken, by name.
pub fn broken(loaded: &Loaded) -> BTreeMap<String, u64> {
    let counts = [("NoReqLost", loaded.lost), ("NoForeignAnswer", loaded.foreign)];
    counts
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| (name.to_string(), count))
        .collect()
}
