//! An open-loop load generator. Requests are sent at their scheduled times regardless of responses, and latency counts
//! from the scheduled time. It reports how late its own sending was.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use appledyke::units::{Moment, Span};
use mio::{Events, Poll, Token};
use oorandom::Rand64;

use crate::http_connection::{self, HttpConnection};
use crate::report::Counters;
use crate::scenario::{Effect, Scenario, at_ms, millis};

/// A run whose 99th percentile sending delay exceeds this, in milliseconds, says little about the sidecars.
const MAX_VALID_LATE_MS: f64 = 20.0;
/// A request without an answer counts as lost this long after its deadline. The machine is shared, so this is more
/// than in virtual time.
const ANSWER_SLACK: Span = Span::from_millis(400);
/// Most requests of a run.
const MAX_REQUESTS: usize = 5_000_000;

/// The result of a load run.
pub struct LoadResult {
    pub counters: Counters,
    pub late_p99_ms: f64,
    /// Requests without an answer, and answers that belong to another request.
    pub lost: u64,
    pub foreign: u64,
}

impl LoadResult {
    pub fn void(&self) -> bool {
        self.late_p99_ms > MAX_VALID_LATE_MS
    }
}

struct Client {
    method: usize,
    tenant: usize,
    arrived_at: Moment,
    deadline: Moment,
    attempt: u32,
    key: u64,
    id: u64,
    on: Option<Token>,
    /// Sent on a reused connection, so it may be resent once if that was closed.
    on_reused: bool,
    done: bool,
}

struct Link {
    connection: HttpConnection,
    to: usize,
    carries: Option<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Retry(usize),
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
    due: BTreeSet<(Moment, Timer)>,
    chance: Rand64,
    result: LoadResult,
    open: usize,
}

/// The arrival times: Poisson with the bursts of the schedule, or the scenario's trace.
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

/// Sends the scenario's load to these sidecars. Only loopback addresses are accepted.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    to: &[SocketAddr],
    burst: impl Fn(Moment) -> f64,
) -> Result<LoadResult, String> {
    if let Some(other) = to.iter().find(|at| !at.ip().is_loopback()) {
        return Err(format!("--to: {other} is not on the loopback"));
    }
    if to.is_empty() {
        return Err("--to: no address".to_string());
    }
    let mut chance = Rand64::new(u128::from(seed));
    let moments = arrivals(scenario, &mut chance, burst);
    if moments.len() > MAX_REQUESTS {
        return Err(format!("load.per_second: {} reqs, of {MAX_REQUESTS} at the most", moments.len()));
    }
    let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
    let result = LoadResult { counters: Counters::new(scenario), late_p99_ms: 0.0, lost: 0, foreign: 0 };
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
        result,
        open: 0,
    };
    run.run(&moments)?;
    Ok(run.result)
}

impl Run<'_> {
    fn now(&self) -> Moment {
        Moment::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    fn run(&mut self, moments: &[Moment]) -> Result<(), String> {
        let mut events = Events::with_capacity(256);
        let mut late = Vec::with_capacity(moments.len());
        let mut coming = moments.iter().copied().peekable();
        loop {
            while let Some(at) = coming.next_if(|at| *at <= self.now()) {
                late.push(self.now().since(at).secs() * 1e3);
                self.add_client(at);
            }
            while let Some((at, due)) = self.due.first().copied().filter(|(at, _)| *at <= self.now()) {
                self.due.remove(&(at, due));
                match due {
                    Timer::Retry(client) => self.send_try(client),
                    Timer::TimedOut(client, attempt) => self.timed_out(client, attempt),
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
        self.result.late_p99_ms = late.get(late.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0.0);
        Ok(())
    }

    fn add_client(&mut self, arrived_at: Moment) {
        let method = self.scenario.draw_method(&mut self.chance);
        let tenant = self.chance.rand_range(0..self.scenario.load.tenants as u64) as usize;
        let deadline = arrived_at + Span::from_millis(self.scenario.method[method].deadline_ms);
        let key = self.chance.rand_u64();
        let client = Client {
            method,
            tenant,
            arrived_at,
            deadline,
            attempt: 0,
            key,
            id: 0,
            on: None,
            on_reused: false,
            done: false,
        };
        self.clients.push(client);
        self.open += 1;
        self.result.counters.offered(arrived_at, method, tenant);
        self.send_try(self.clients.len() - 1);
    }

    fn send_try(&mut self, client: usize) {
        let id = self.chance.rand_u64();
        let to = self.chance.rand_range(0..self.to.len() as u64) as usize;
        let now = self.now();
        let c = &mut self.clients[client];
        c.attempt += 1;
        (c.id, c.on_reused) = (id, false);
        if c.attempt > 1 {
            self.result.counters.retried(now);
        }
        self.due.insert((c.deadline + ANSWER_SLACK, Timer::TimedOut(client, c.attempt)));
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
                self.result.counters.opened(now);
                self.links.insert(token, Link { connection, to, carries: None });
                token
            }
        };
        let c = &mut self.clients[client];
        (c.on, c.on_reused) = (Some(token), idle.is_some());
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
                self.result.foreign += u64::from(message.status == 200 && !own);
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
                // A sidecar may close an idle connection; a request that crossed the close is resent once.
                if nothing && std::mem::take(&mut self.clients[client].on_reused) {
                    return self.send(client, to, false);
                }
                self.ended(client, 0, None);
            }
        }
    }

    /// Handles the end of a try: its response status, or 0 if its connection broke.
    fn ended(&mut self, client: usize, status: u16, retry_after: Option<f64>) {
        let now = self.now();
        let c = &mut self.clients[client];
        if c.done {
            return;
        }
        c.on = None;
        let m = &self.scenario.method[c.method];
        let took = now.since(c.arrived_at);
        self.due.remove(&(c.deadline + ANSWER_SLACK, Timer::TimedOut(client, c.attempt)));
        let rejected = matches!(status, 429 | 503);
        if status == 200 && now <= c.deadline {
            let in_time = took <= Span::from_millis(m.latency_budget_ms);
            self.result.counters.served((c.arrived_at, took), c.method, c.tenant, in_time, m);
        } else {
            let back_off = self.scenario.load.back_off_ms as f64 / 1e3;
            let wait = millis(retry_after.unwrap_or(back_off).clamp(0.0, 60.0) * 1e3);
            let harmless = rejected || m.effect == Effect::Retryable;
            if harmless && c.attempt <= self.scenario.load.retries && now + wait < c.deadline {
                self.due.insert((now + wait, Timer::Retry(client)));
                return;
            }
            match rejected {
                true => self.result.counters.rejected(c.arrived_at, c.method, c.tenant),
                false => self.result.counters.failed(c.arrived_at, c.method, c.tenant),
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
        self.result.lost += 1;
        self.result.counters.failed(c.arrived_at, c.method, c.tenant);
        if let Some(token) = c.on.take() {
            self.drop_link(token);
        }
    }
}

/// The rule violations that a load run can detect, by rule name.
pub fn broken(result: &LoadResult) -> BTreeMap<String, u64> {
    let counts = [("NoReqLost", result.lost), ("NoForeignAnswer", result.foreign)];
    counts
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| (name.to_string(), count))
        .collect()
}
