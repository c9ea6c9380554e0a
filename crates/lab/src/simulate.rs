//! A discrete-event simulation of a fleet: clients, the sidecars of every tier, endpoints, the network and the
//! endpoint lists. Of two events at the same time, the one scheduled first is handled first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use appledyke::ids::{self, Names};
use appledyke::reports::AttemptReport as Ended;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome};
use appledyke_fleet::evidence::{self, Cursor, EvidenceStore, Observation, RelayedObservation};
use oorandom::Rand64;

use crate::faults::{Faults, LifecycleChange};
use crate::policy::{ListedEndpoint, Policy, PolicyKind};
use crate::report::Counters;
use crate::rule_checker::RuleChecker;
use crate::scenario::{Effect, Hears, Scenario, at_ms, millis};
use crate::server_queue::{Admission, ServerQueue};
use crate::service::{self, Fate};
use crate::shares::Shares;

/// Interval between samples of the state of all endpoints.
const SAMPLE_INTERVAL: Span = Span::from_millis(1000);
/// Timeout of a call for the endpoint list while the list service is absent.
const LIST_TIMEOUT: Span = Span::from_millis(2000);
/// Interval at which the daemon checks whether budgets need a new allocation.
const ALLOCATION_INTERVAL: Span = Span::from_millis(50);
/// Milliseconds that an endpoint takes for an immediate error.
const QUICK_ERROR_MS: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next client arrives.
    ClientArrives,
    /// A client sends its first try, or a retry.
    SendTry {
        client: usize,
    },
    /// A client's deadline has passed, and it disconnects.
    ClientTimeout {
        client: usize,
        attempt: u32,
    },
    /// A client disconnects before its deadline.
    ClientDisconnects {
        client: usize,
        attempt: u32,
    },
    Wake {
        node: usize,
        incarnation: u32,
    },
    /// An attempt's last byte reaches its endpoint.
    AttemptArrives {
        job: usize,
    },
    CoreDone {
        job: usize,
    },
    /// A response, or a connection failure, reaches the sidecar.
    ResponseArrives {
        job: usize,
        outcome: AttemptResult,
    },
    GiveUp {
        job: usize,
    },
    /// The final answer reaches the client.
    Answered {
        client: usize,
        attempt: u32,
        answer: Answer,
    },
    LifecycleChange {
        at: usize,
    },
    ListUpdate {
        node: usize,
        incarnation: u32,
        at: usize,
    },
    /// A sidecar's call for the endpoint list is answered, or fails.
    ListReply {
        node: usize,
        incarnation: u32,
        answered: bool,
    },
    Restart {
        at: usize,
    },
    SidecarStarts {
        node: usize,
    },
    /// A member's heartbeat, at which it receives reports from other members.
    Heartbeat {
        node: usize,
        incarnation: u32,
    },
    Sample,
    /// A sidecar reports its budget usage; it receives its grant; budgets are reallocated; a new allocation takes
    /// effect.
    UsageReport {
        node: usize,
        incarnation: u32,
    },
    Granted {
        tier: usize,
        at: usize,
    },
    Allocate,
    AllocationApplied {
        tier: usize,
        at: usize,
    },
}

/// An `Outcome` that implements `Ord`, as events require.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Served,
    Error,
    Overloaded,
    Refused,
    Reset,
    NeverSent,
}

impl AttemptResult {
    fn outcome(self) -> Outcome {
        match self {
            AttemptResult::Served => Outcome::Success,
            AttemptResult::Error => Outcome::Error,
            AttemptResult::Overloaded => Outcome::Overloaded,
            AttemptResult::Refused => Outcome::ConnectFailure,
            AttemptResult::Reset => Outcome::Reset,
            AttemptResult::NeverSent => Outcome::NeverSent,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Served,
    Rejected { retry_after: Option<u64> },
    Failed,
}

/// A client's call, across all its tries.
struct Client {
    method: usize,
    tenant: usize,
    arrived_at: Moment,
    deadline: Moment,
    /// Identifies the effect; retries carry the same id.
    effect: u64,
    attempt: u32,
    /// The sidecar and request of the current try, and the rule checker's id for it.
    at: Option<(usize, usize)>,
    open: Option<u64>,
    done: bool,
}

enum From {
    Client {
        client: usize,
        attempt: u32,
    },
    /// A job at an endpoint of the previous tier.
    Job(usize),
}

/// A request at a sidecar, kept until the policy forgets it.
struct Request {
    from: From,
    method: usize,
    effect: u64,
    deadline: Moment,
    attempts: Vec<usize>,
    answered: bool,
}

/// An attempt, and the work that it causes at its endpoint.
struct Job {
    node: usize,
    incarnation: u32,
    request: usize,
    attempt: usize,
    endpoint: usize,
    /// The endpoint's process that it was written to.
    process: u32,
    method: usize,
    effect: u64,
    deadline: Moment,
    sent: Moment,
    /// Whether the sidecar still waits for its outcome.
    awaited: bool,
    inside: bool,
    works: bool,
    calls_left: usize,
    result: AttemptResult,
    lost: bool,
    holds_connection: bool,
}

struct Endpoint {
    tier: usize,
    /// Its index in its tier.
    number: usize,
    queue: ServerQueue,
    process: u32,
    started: Option<Moment>,
    up: bool,
    /// Unreachable without closed connections; the process may still run.
    silent: bool,
    drains: bool,
    speed: f64,
    connections: usize,
    inside_jobs: Vec<usize>,
    /// Its local sidecar, for calls to the next tier.
    node: Option<usize>,
}

/// A sidecar.
struct Node {
    tier: usize,
    incarnation: u32,
    policy: Option<Box<dyn Policy>>,
    names: Names,
    /// By the policy's index: the endpoint, its process, and since when the sidecar has known that it is draining.
    known: Vec<(usize, u32, Option<Moment>)>,
    requests: Vec<Option<Request>>,
    free: Vec<usize>,
    /// Idle connections, by endpoint and process.
    idle: BTreeMap<(usize, u32), usize>,
    subscribed: bool,
    /// Since when it has been down.
    away: Option<Moment>,
}

/// A list update: an endpoint's process and its state.
#[derive(Clone, Copy)]
struct ListUpdate {
    endpoint: usize,
    process: u32,
    state: EndpointState,
    started: Option<Moment>,
}

pub struct World<'a> {
    scenario: &'a Scenario,
    which: PolicyKind,
    faults: Faults,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    scheduled: u64,
    rng: Rand64,
    clients: Vec<Client>,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    /// The index of the first endpoint of each tier.
    first: Vec<usize>,
    jobs: Vec<Job>,
    lifecycle_changes: Vec<(Moment, usize, usize, LifecycleChange)>,
    restarts: Vec<(Moment, usize, u64)>,
    updates: Vec<ListUpdate>,
    effects: u64,
    checker: RuleChecker,
    pub counters: Counters,
    work: Vec<usize>,
    /// The attempt reports held by the daemons, the number of reports sent by each member, and how far each has read.
    evidence: EvidenceStore,
    sequences: Vec<u64>,
    cursors: Vec<Cursor>,
    /// Budgets of the tiers that have them, from the first tier on.
    shares: Vec<Shares>,
}

/// Simulates a scenario with a policy and a seed.
pub fn play(scenario: &Scenario, which: PolicyKind, seed: u64) -> Counters {
    let mut world = World::new(scenario, which, seed);
    world.run();
    world.counters
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario, which: PolicyKind, seed: u64) -> World<'a> {
        let faults = Faults::draw(scenario, seed);
        let mut rng = Rand64::new(u128::from(seed));
        let (mut endpoints, mut first, mut nodes) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..scenario.tier[0].sidecars {
            nodes.push(Node::new(0));
        }
        for (tier, t) in scenario.tier.iter().enumerate() {
            first.push(endpoints.len());
            for number in 0..t.endpoints {
                let node = (tier + 1 < scenario.tier.len()).then(|| {
                    nodes.push(Node::new(tier + 1));
                    nodes.len() - 1
                });
                endpoints.push(Endpoint {
                    tier,
                    number,
                    queue: ServerQueue::new(t.cores, t.places),
                    process: 0,
                    started: None,
                    up: true,
                    silent: false,
                    drains: false,
                    speed: 1.0 - t.uneven * rng.rand_float(),
                    connections: 0,
                    inside_jobs: Vec::new(),
                    node,
                });
            }
        }
        let mut world = World {
            lifecycle_changes: faults.lifecycle_changes(scenario),
            restarts: faults.restarts(),
            scenario,
            which,
            faults,
            now: Moment::from_nanos(0),
            queue: BinaryHeap::new(),
            scheduled: 0,
            rng,
            clients: Vec::new(),
            nodes,
            endpoints,
            first,
            jobs: Vec::new(),
            updates: Vec::new(),
            effects: 0,
            checker: RuleChecker::default(),
            counters: Counters::new(scenario),
            work: Vec::new(),
            evidence: EvidenceStore::default(),
            sequences: Vec::new(),
            cursors: Vec::new(),
            shares: Vec::new(),
        };
        world.sequences = vec![0; world.nodes.len()];
        let tiers = 0..scenario.tiers_with_budgets();
        world.shares = tiers.map(|_| Shares::new(scenario, world.nodes.len())).collect();
        world.cursors = vec![Cursor::default(); world.nodes.len()];
        (0..world.nodes.len()).for_each(|node| world.start(node));
        for at in 0..world.lifecycle_changes.len() {
            world.schedule(world.lifecycle_changes[at].0, Event::LifecycleChange { at });
        }
        for at in 0..world.restarts.len() {
            world.schedule(world.restarts[at].0, Event::Restart { at });
        }
        for at in &scenario.load.trace_ms {
            if *at < scenario.length_ms {
                world.add_client(at_ms(*at));
            }
        }
        if scenario.load.trace_ms.is_empty() && scenario.load.per_second > 0.0 {
            world.schedule(Moment::from_nanos(0), Event::ClientArrives);
        }
        world.schedule(Moment::from_nanos(0), Event::Sample);
        if world.shares.first().is_some_and(Shares::divides) {
            world.schedule(Moment::from_nanos(0), Event::Allocate);
        }
        world
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    fn schedule_after(&mut self, after: Span, event: Event) {
        self.schedule(self.now + after, event);
    }

    fn hop(&self) -> Span {
        millis(self.scenario.net.hop_ms)
    }

    pub fn run(&mut self) {
        // No client arrives after the scenario's length; requests in flight are run to their end.
        let end = at_ms(self.scenario.length_ms) + self.scenario.longest() + self.checker.slack() * 2.0;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.counters.events += 1;
            self.handle_event(event);
            while let Some(node) = self.work.pop() {
                self.run_decisions(node);
            }
        }
        self.checker.end_run(end);
        self.counters.record_violations(&self.checker);
        self.counters.uses = self.shares.first().map(Shares::uses).unwrap_or_default();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ClientArrives => self.client_arrives(),
            Event::SendTry { client } => self.send_try(client),
            Event::ClientTimeout { client, attempt } => self.disconnect_client(client, attempt),
            Event::ClientDisconnects { client, attempt } => {
                if let Some(open) =
                    self.clients[client].open.filter(|_| self.clients[client].attempt == attempt)
                {
                    self.checker.request_closed(open);
                    self.disconnect_client(client, attempt);
                }
            }
            Event::Wake { node, incarnation } => {
                let now = self.now;
                self.with_policy(node, incarnation, |policy| policy.wake(now));
            }
            Event::AttemptArrives { job } => self.attempt_arrives(job),
            Event::CoreDone { job } => self.core_done(job),
            Event::ResponseArrives { job, outcome } => self.response_arrives(job, outcome.outcome()),
            Event::GiveUp { job } => {
                if self.jobs[job].awaited {
                    self.withdraw(job);
                    self.attempt_ended(job, Outcome::Timeout, false);
                }
            }
            Event::Answered { client, attempt, answer } => self.answered(client, attempt, answer),
            Event::LifecycleChange { at } => self.change_lifecycle(at),
            Event::ListUpdate { node, incarnation, at } => self.list_update(node, incarnation, at),
            Event::ListReply { node, incarnation, answered } => self.list_reply(node, incarnation, answered),
            Event::Restart { at } => self.restart(at),
            Event::SidecarStarts { node } => self.start(node),
            Event::Heartbeat { node, incarnation } => self.heartbeat(node, incarnation),
            Event::Sample => self.sample(),
            Event::UsageReport { node, incarnation } => self.report_usage(node, incarnation),
            Event::Granted { tier, at } => {
                let shares = &mut self.shares[tier];
                let (node, incarnation) = (shares.answers[at].node, shares.answers[at].incarnation);
                if self.nodes[node].incarnation == incarnation {
                    shares.answered(at);
                }
            }
            Event::Allocate => self.allocate_budgets(),
            Event::AllocationApplied { tier, at } => self.shares[tier].applies(at),
        }
    }

    fn with_policy(&mut self, node: usize, incarnation: u32, what: impl FnOnce(&mut dyn Policy)) {
        let n = &mut self.nodes[node];
        if let Some(policy) = n.policy.as_deref_mut().filter(|_| n.incarnation == incarnation) {
            what(policy);
            self.work.push(node);
        }
    }

    // Clients.

    fn client_arrives(&mut self) {
        if self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        self.add_client(self.now);
        let rate = self.scenario.load.per_second * self.faults.load(self.now);
        let gap = -(1.0 - self.rng.rand_float()).ln() / rate.max(1e-9);
        self.schedule_after(millis(gap * 1e3), Event::ClientArrives);
    }

    fn add_client(&mut self, at: Moment) {
        let method = self.scenario.draw_method(&mut self.rng);
        let tenant = self.rng.rand_range(0..self.scenario.load.tenants as u64) as usize;
        let deadline = at + Span::from_millis(self.scenario.method[method].deadline_ms);
        self.effects += 1;
        let effect = self.effects;
        let client = Client {
            method,
            tenant,
            arrived_at: at,
            deadline,
            effect,
            attempt: 0,
            at: None,
            open: None,
            done: false,
        };
        self.clients.push(client);
        self.schedule(at, Event::SendTry { client: self.clients.len() - 1 });
    }

    fn send_try(&mut self, client: usize) {
        let c = &mut self.clients[client];
        c.attempt += 1;
        let (attempt, method, deadline, effect, tenant, arrived_at) =
            (c.attempt, c.method, c.deadline, c.effect, c.tenant, c.arrived_at);
        if attempt == 1 {
            self.counters.offered(arrived_at, method, tenant);
        } else {
            self.counters.retried(self.now);
        }
        let sidecars = 0..self.scenario.tier[0].sidecars;
        let heat: Vec<f64> = sidecars.map(|node| self.weight(node)).collect();
        let mut left = self.rng.rand_float() * heat.iter().sum::<f64>();
        let drawn = heat.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        let node = drawn.unwrap_or(heat.len() - 1);
        if self.nodes[node].policy.is_none() {
            // The front-end load balancer has not noticed yet that this sidecar is down.
            return self.schedule_after(
                self.hop() * 2.0,
                Event::Answered { client, attempt, answer: Answer::Failed },
            );
        }
        let from = From::Client { client, attempt };
        let request = self.arrival(node, from, method, effect, deadline);
        self.effects += 1;
        let open = self.effects;
        self.checker.request_accepted(open, deadline);
        (self.clients[client].at, self.clients[client].open) = (Some((node, request)), Some(open));
        // An answer given exactly at the deadline is still in transit when the deadline passes.
        self.schedule(deadline + self.checker.slack(), Event::ClientTimeout { client, attempt });
        if self.rng.rand_float() < self.scenario.load.impatient {
            let after = deadline.since(self.now) * self.rng.rand_float();
            self.schedule_after(after, Event::ClientDisconnects { client, attempt });
        }
    }

    /// The relative share of clients that a first-tier sidecar receives.
    fn weight(&self, node: usize) -> f64 {
        let load = &self.scenario.load;
        let noticed = load.notices_ms.zip(self.nodes[node].away);
        if noticed.is_some_and(|(ms, away)| self.now.since(away) >= Span::from_millis(ms)) {
            return 0.0;
        }
        let place = node as f64 / (self.scenario.tier[0].sidecars as f64 - 1.0).max(1.0);
        self.faults.heat(node, self.now) * (1.0 + (load.uneven - 1.0) * place)
    }

    fn arrival(&mut self, node: usize, from: From, method: usize, effect: u64, deadline: Moment) -> usize {
        let now = self.now;
        let n = &mut self.nodes[node];
        let at = n.free.pop().unwrap_or(n.requests.len());
        let request = Request { from, method, effect, deadline, attempts: Vec::new(), answered: false };
        if at == n.requests.len() {
            n.requests.push(Some(request));
        } else {
            n.requests[at] = Some(request);
        }
        let incarnation = n.incarnation;
        self.with_policy(node, incarnation, |policy| policy.arrival(now, at, method, deadline.since(now)));
        at
    }

    /// Disconnects a client that has no answer by its deadline.
    fn disconnect_client(&mut self, client: usize, attempt: u32) {
        let c = &mut self.clients[client];
        if c.done || c.attempt != attempt {
            return;
        }
        c.done = true;
        let open = c.open.take();
        self.counters.failed(c.arrived_at, c.method, c.tenant);
        if let Some(open) = open {
            self.checker.request_timed_out(self.now, open);
        }
        let c = &mut self.clients[client];
        if let Some((node, request)) = c.at.take() {
            let incarnation = self.nodes[node].incarnation;
            self.with_policy(node, incarnation, |policy| policy.client_disconnected(request));
        }
    }

    fn answered(&mut self, client: usize, attempt: u32, answer: Answer) {
        let c = &mut self.clients[client];
        if c.done || c.attempt != attempt {
            return;
        }
        c.at = None;
        let m = &self.scenario.method[c.method];
        let took = self.now.since(c.arrived_at);
        if answer == Answer::Served && self.now <= c.deadline {
            c.done = true;
            let in_time = took <= Span::from_millis(m.latency_budget_ms);
            return self.counters.served((c.arrived_at, took), c.method, c.tenant, in_time, m);
        }
        let harmless = matches!(answer, Answer::Rejected { .. }) || m.effect == Effect::Retryable;
        let told = match answer {
            Answer::Rejected { retry_after: Some(nanos) } => Span::from_nanos(nanos),
            _ => Span::from_millis(self.scenario.load.back_off_ms),
        };
        if harmless && c.attempt <= self.scenario.load.retries && self.now + told < c.deadline {
            return self.schedule_after(told, Event::SendTry { client });
        }
        c.done = true;
        match answer {
            Answer::Rejected { .. } => self.counters.rejected(c.arrived_at, c.method, c.tenant),
            _ => self.counters.failed(c.arrived_at, c.method, c.tenant),
        }
    }

    // Sidecars.

    fn start(&mut self, node: usize) {
        let tier = self.nodes[node].tier;
        let terms = self.scenario.terms(tier);
        let seed = self.rng.rand_u64();
        self.nodes[node].policy =
            Some(self.which.at(tier, self.scenario.tier.len()).make(self.now, terms, seed));
        self.nodes[node].away = None;
        if let Some(shares) = self.shares.get_mut(tier) {
            shares.starts(node);
            if shares.divides() {
                // Spreads the sidecars' reports over the interval.
                let first = Span::from_millis(self.scenario.budgets.beat_ms) * self.rng.rand_float();
                let incarnation = self.nodes[node].incarnation;
                self.schedule_after(first, Event::UsageReport { node, incarnation });
            }
        }
        let known = self.full_list(tier);
        self.deliver_list(node, true, &known);
        self.nodes[node].subscribed = !self.scenario.list.asked;
        let fleet = self.scenario.fleet;
        if fleet.hears != Hears::Nothing {
            let (now, incarnation) = (self.now, self.nodes[node].incarnation);
            let passed =
                self.evidence.catch_up(now, 0, node as u32, &mut self.cursors[node], fleet.at_return);
            self.deliver_reports(node, &passed);
            if fleet.hears == Hears::All {
                self.schedule_after(Span::from_millis(fleet.beat_ms), Event::Heartbeat { node, incarnation });
            }
        }
    }

    fn heartbeat(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].incarnation != incarnation || self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        let (now, fleet) = (self.now, self.scenario.fleet);
        let passed = self.evidence.read_new(now, 0, node as u32, &mut self.cursors[node], fleet.each);
        self.deliver_reports(node, &passed);
        self.schedule_after(Span::from_millis(fleet.beat_ms), Event::Heartbeat { node, incarnation });
    }

    /// A sidecar reports its budget usage. The grant in the reply counts from the time of the report.
    fn report_usage(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].incarnation != incarnation || self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        let (now, hop) = (self.now, self.hop());
        let tier = self.nodes[node].tier;
        let Some(shares) = self.shares.get_mut(tier) else { return };
        let at = shares.report(now, node, incarnation);
        self.schedule_after(hop * 2.0, Event::Granted { tier, at });
        let beat = Span::from_millis(self.scenario.budgets.beat_ms);
        self.schedule_after(beat, Event::UsageReport { node, incarnation });
    }

    fn allocate_budgets(&mut self) {
        for tier in 0..self.shares.len() {
            for at in self.shares[tier].divide(self.now) {
                self.schedule_after(
                    millis(self.scenario.budgets.commit_ms),
                    Event::AllocationApplied { tier, at },
                );
            }
        }
        if self.now < at_ms(self.scenario.length_ms) {
            self.schedule_after(ALLOCATION_INTERVAL, Event::Allocate);
        }
    }

    fn deliver_reports(&mut self, node: usize, passed: &[RelayedObservation]) {
        let told = passed.iter().filter_map(|RelayedObservation { observation: seen, .. }| {
            let (method, part) = (seen.method as usize, f64::from(seen.budget_fraction));
            Some(Ended {
                name_hash: seen.endpoint,
                method,
                outcome: evidence::outcome_from_code(seen.outcome)?,
                part,
                load: None,
            })
        });
        let told: Vec<Ended> = told.collect();
        let (now, incarnation) = (self.now, self.nodes[node].incarnation);
        if !told.is_empty() {
            self.with_policy(node, incarnation, |policy| policy.told(now, &told));
        }
    }

    /// The current complete endpoint list of a tier.
    fn full_list(&self, tier: usize) -> Vec<ListUpdate> {
        let listed = self.endpoints.iter().enumerate().filter(|(_, e)| e.tier == tier && (e.up || e.silent));
        let state = |e: &Endpoint| if e.drains { EndpointState::Draining } else { EndpointState::Ready };
        let update = |(endpoint, e): (usize, &Endpoint)| ListUpdate {
            endpoint,
            process: e.process,
            state: state(e),
            started: e.started,
        };
        listed.map(update).collect()
    }

    fn deliver_list(&mut self, node: usize, complete: bool, updates: &[ListUpdate]) {
        let now = self.now;
        let mut entries = Vec::new();
        for update in updates {
            let e = &self.endpoints[update.endpoint];
            let (zone, cell) =
                (e.number % self.scenario.zones, (e.number / self.scenario.tier[e.tier].cell_size) as u64);
            let n = &mut self.nodes[node];
            let name = format!("{}.{}", update.endpoint, update.process);
            let index = n.names.index(&name);
            n.known.resize(n.known.len().max(index + 1), (usize::MAX, 0, None));
            let drains = (update.state != EndpointState::Ready).then_some(now);
            let before = n.known[index];
            let since =
                if before.0 == update.endpoint { before.2.filter(|_| drains.is_some()) } else { None };
            n.known[index] = (update.endpoint, update.process, since.or(drains));
            let entry = Entry {
                state: update.state,
                started: update.started,
                zone,
                cell,
                kind: 0,
                name_hash: ids::name_hash(&name),
            };
            entries.push(ListedEndpoint { endpoint: index, entry });
        }
        let incarnation = self.nodes[node].incarnation;
        self.with_policy(node, incarnation, |policy| policy.list(now, complete, &entries));
    }

    fn restart(&mut self, at: usize) {
        let (_, node, away) = self.restarts[at];
        self.kill(node);
        self.schedule_after(Span::from_millis(away), Event::SidecarStarts { node });
    }

    /// Kills a sidecar with all its state; its clients see their connections break.
    fn kill(&mut self, node: usize) {
        let now = self.now;
        let n = &mut self.nodes[node];
        n.incarnation += 1;
        n.policy = None;
        n.away = Some(now);
        n.names = Names::default();
        n.known.clear();
        n.free.clear();
        let requests = std::mem::take(&mut n.requests);
        let idle = std::mem::take(&mut n.idle);
        for ((endpoint, process), count) in idle {
            self.release(endpoint, process, count);
        }
        for r in requests.into_iter().flatten() {
            for job in &r.attempts {
                if self.jobs[*job].awaited {
                    self.withdraw(*job);
                }
            }
            if r.answered {
                continue;
            }
            if let From::Client { client, attempt } = r.from
                && self.clients[client].attempt == attempt
            {
                if let Some(open) = self.clients[client].open.take() {
                    self.checker.request_closed(open);
                }
                self.schedule_after(self.hop(), Event::Answered { client, attempt, answer: Answer::Failed });
            }
        }
    }

    fn run_decisions(&mut self, node: usize) {
        loop {
            let now = self.now;
            let Some(decision) = self.nodes[node].policy.as_deref_mut().and_then(|p| p.next(now)) else {
                return;
            };
            self.apply_decision(node, decision);
        }
    }

    fn apply_decision(&mut self, node: usize, decision: Decision) {
        let incarnation = self.nodes[node].incarnation;
        match decision {
            Decision::Send { request, endpoint, give_up } => self.send(node, request, endpoint, give_up),
            Decision::Reject { request, retry_after, .. } => {
                self.final_answer(
                    node,
                    request,
                    Answer::Rejected { retry_after: retry_after.map(Span::nanos) },
                );
            }
            Decision::Fail { request, .. } => self.final_answer(node, request, Answer::Failed),
            Decision::Cancel { request, attempt } => {
                let job = self.nodes[node].requests[request].as_ref().map(|r| r.attempts[attempt]);
                if let Some(job) = job.filter(|job| self.jobs[*job].awaited) {
                    self.withdraw(job);
                    self.attempt_ended(job, Outcome::Cancelled, true);
                }
            }
            // The simulator has neither load probes nor peer messages, and its terms disable both.
            Decision::Probe { .. } | Decision::TellPeer { .. } => {}
            Decision::CloseIdle { endpoint } => {
                let (at, process, _) = self.nodes[node].known[endpoint];
                let count = self.nodes[node].idle.remove(&(at, process)).unwrap_or(0);
                self.release(at, process, count);
            }
            Decision::ForgetRequest { request } => {
                self.nodes[node].requests[request] = None;
                self.nodes[node].free.push(request);
            }
            Decision::ForgetEndpoint { endpoint } => self.nodes[node].names.release(endpoint),
            Decision::Wake { at } => self.schedule(at.max(self.now), Event::Wake { node, incarnation }),
            Decision::Subscribe => {
                let absent = self.faults.list_absent(self.now);
                let late = millis(self.faults.list_late_ms(self.now));
                let after = if absent { LIST_TIMEOUT } else { self.hop() * 2.0 + late };
                self.schedule_after(after, Event::ListReply { node, incarnation, answered: !absent });
            }
        }
    }

    fn final_answer(&mut self, node: usize, request: usize, answer: Answer) {
        let Some(r) = self.nodes[node].requests[request].as_mut().filter(|r| !r.answered) else { return };
        r.answered = true;
        match r.from {
            From::Client { client, attempt } => {
                if self.clients[client].attempt == attempt
                    && let Some(open) = self.clients[client].open.take()
                {
                    self.checker.request_answered(self.now, open);
                }
                self.schedule_after(self.hop(), Event::Answered { client, attempt, answer });
            }
            From::Job(job) => self.call_ended(job, answer),
        }
    }

    fn send(&mut self, node: usize, request: usize, index: usize, give_up: Moment) {
        let (endpoint, process, drains) = self.nodes[node].known[index];
        let n = &mut self.nodes[node];
        let Some(r) = n.requests[request].as_mut() else { return };
        let job = self.jobs.len();
        let (attempt, method, effect, deadline) = (r.attempts.len(), r.method, r.effect, r.deadline);
        r.attempts.push(job);
        self.jobs.push(Job {
            node,
            incarnation: n.incarnation,
            request,
            attempt,
            endpoint,
            process,
            method,
            effect,
            deadline,
            sent: self.now,
            awaited: true,
            inside: false,
            works: false,
            calls_left: 0,
            result: AttemptResult::Served,
            lost: false,
            holds_connection: false,
        });
        if let Some(shares) = self.shares.get_mut(n.tier) {
            let started = self.endpoints[endpoint].started;
            let cold =
                started.is_some_and(|at| self.now.since(at) < Span::from_millis(self.scenario.rules.cold_ms));
            if !shares.may_send(self.now, node, attempt > 0, cold) {
                return self
                    .schedule(self.now, Event::ResponseArrives { job, outcome: AttemptResult::NeverSent });
            }
        }
        let n = &mut self.nodes[node];
        self.counters.sent(self.now, n.tier);
        let e = &self.endpoints[endpoint];
        let whom = (e.tier, e.number);
        self.checker.attempt_sent(self.now, drains, &self.scenario.rules, whom);
        let tier = &self.scenario.tier[whom.0];
        let reached = e.up && e.process == process;
        let silent = e.silent;
        let kept = n.idle.get_mut(&(endpoint, process)).filter(|count| **count > 0);
        let kept = kept.map(|count| *count -= 1).is_some();
        let timeout = Span::from_millis(self.scenario.net.connect_timeout_ms);
        let hop = self.hop();
        self.schedule(give_up.max(self.now), Event::GiveUp { job });
        if kept {
            // On an existing connection the request is sent even if the peer has gone.
            self.jobs[job].holds_connection = true;
            return self.schedule_after(hop, Event::AttemptArrives { job });
        }
        if !reached {
            // A stopped process refuses at once; an unreachable machine times out.
            let after = if silent { timeout } else { hop * 2.0 };
            return self
                .schedule_after(after, Event::ResponseArrives { job, outcome: AttemptResult::Refused });
        }
        let active = self.faults.active_on(whom.0, whom.1, self.now);
        if active.refuses || self.endpoints[endpoint].connections >= tier.connections {
            return self
                .schedule_after(hop * 2.0, Event::ResponseArrives { job, outcome: AttemptResult::Refused });
        }
        self.endpoints[endpoint].connections += 1;
        self.jobs[job].holds_connection = true;
        self.counters.opened(self.now);
        let handshake = millis(tier.handshake_ms) + hop * 2.0;
        self.schedule_after(hop + handshake, Event::AttemptArrives { job });
    }

    /// Closes connections to an endpoint's process.
    fn release(&mut self, endpoint: usize, process: u32, count: usize) {
        if let Some(e) = self.endpoints.get_mut(endpoint).filter(|e| e.process == process) {
            e.connections -= count.min(e.connections);
        }
    }

    /// Abandons an attempt: closes its connection, by which the endpoint drops the job if it is still queued.
    fn withdraw(&mut self, job: usize) {
        let j = &mut self.jobs[job];
        let (endpoint, process) = (j.endpoint, j.process);
        if std::mem::take(&mut j.holds_connection) {
            self.release(endpoint, process, 1);
        }
        let j = &mut self.jobs[job];
        let e = &mut self.endpoints[endpoint];
        if j.inside && !j.works && e.process == process && e.queue.withdraw(job) {
            j.inside = false;
            e.inside_jobs.retain(|inside| *inside != job);
        }
    }

    /// Reports an attempt's outcome to the sidecar.
    fn attempt_ended(&mut self, job: usize, outcome: Outcome, closed: bool) {
        let j = &mut self.jobs[job];
        if !std::mem::take(&mut j.awaited) {
            return;
        }
        let (node, incarnation, request, attempt, endpoint, process) =
            (j.node, j.incarnation, j.request, j.attempt, j.endpoint, j.process);
        let keeps = matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Overloaded);
        if std::mem::take(&mut j.holds_connection) {
            if keeps
                && self.endpoints[endpoint].process == process
                && self.nodes[node].incarnation == incarnation
            {
                *self.nodes[node].idle.entry((endpoint, process)).or_default() += 1;
            } else {
                self.release(endpoint, process, 1);
            }
        }
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        self.counters.ended(self.now, self.nodes[node].tier, outcome);
        if self.scenario.fleet.hears != Hears::Nothing
            && let Some(code) = evidence::outcome_code(outcome)
        {
            self.sequences[node] += 1;
            let (method, sent) = (self.jobs[job].method, self.jobs[job].sent);
            let budget = Span::from_millis(self.scenario.method[method].latency_budget_ms);
            let seen = Observation {
                sequence: self.sequences[node],
                age_ms: 0,
                endpoint: ids::name_hash(&format!("{endpoint}.{process}")),
                method: method as u32,
                outcome: code,
                budget_fraction: (self.now.since(sent).secs() / budget.secs().max(1e-6)) as f32,
            };
            self.evidence.record(self.now, 0, node as u32, u64::from(incarnation), &[seen]);
        }
        if outcome == Outcome::Success {
            self.final_answer(node, request, Answer::Served);
        }
        let closed = closed || self.nodes[node].requests[request].as_ref().is_none_or(|r| r.answered);
        let now = self.now;
        self.with_policy(node, incarnation, |policy| policy.outcome(now, request, attempt, outcome, closed));
    }

    fn response_arrives(&mut self, job: usize, outcome: Outcome) {
        if self.jobs[job].awaited {
            self.attempt_ended(job, outcome, false);
        }
    }

    // Endpoints.

    fn attempt_arrives(&mut self, job: usize) {
        let j = &self.jobs[job];
        let (endpoint, process, method) = (j.endpoint, j.process, j.method);
        if !j.awaited {
            return;
        }
        let e = &self.endpoints[endpoint];
        let (tier, number) = (e.tier, e.number);
        if e.silent && !e.up {
            return;
        }
        let hop = self.hop();
        if !e.up || e.process != process {
            return self.schedule_after(hop, Event::ResponseArrives { job, outcome: AttemptResult::Reset });
        }
        let active = self.faults.active_on(tier, number, self.now);
        if e.drains {
            return self
                .schedule_after(hop, Event::ResponseArrives { job, outcome: AttemptResult::Overloaded });
        }
        let of = (tier, e.speed, e.started);
        let service = service::draw(self.scenario, of, &active, (self.now, method), &mut self.rng);
        let j = &mut self.jobs[job];
        (j.result, j.lost) = match service.fate {
            Fate::Good => (AttemptResult::Served, false),
            Fate::ImmediateError | Fate::Error | Fate::Malformed => (AttemptResult::Error, false),
            Fate::Cut | Fate::Reset => (AttemptResult::Reset, false),
            Fate::Lost => (AttemptResult::Served, true),
        };
        if service.fate == Fate::ImmediateError {
            let after = hop + millis(QUICK_ERROR_MS);
            return self.schedule_after(after, Event::ResponseArrives { job, outcome: AttemptResult::Error });
        }
        j.calls_left = self.scenario.tier[tier].calls;
        let e = &mut self.endpoints[endpoint];
        if let Some(started) = e.started {
            let cores = self.scenario.tier[tier].cores as f64;
            self.checker.work_sent(
                self.now,
                (tier, number),
                started,
                (service.work, cores),
                &self.scenario.rules,
            );
        }
        match e.queue.admit(self.now, job, service.takes) {
            Admission::Full => {
                self.schedule_after(hop, Event::ResponseArrives { job, outcome: AttemptResult::Overloaded })
            }
            Admission::Waits => {
                self.jobs[job].inside = true;
                e.inside_jobs.push(job);
            }
            Admission::Works(until) => {
                self.jobs[job].inside = true;
                e.inside_jobs.push(job);
                self.start_job(job, until);
            }
        }
    }

    fn start_job(&mut self, job: usize, until: Moment) {
        let j = &mut self.jobs[job];
        j.works = true;
        let (effect, method, number) = (j.effect, j.method, self.endpoints[j.endpoint].number);
        let tier = self.endpoints[j.endpoint].tier;
        let m = &self.scenario.method[method];
        let group = service::group(self.scenario, tier, number, method);
        // Calls to later tiers carry ids of their own, so the checker tracks them separately.
        self.checker.execution_started(self.now, effect, m, group);
        self.schedule(until, Event::CoreDone { job });
    }

    fn core_done(&mut self, job: usize) {
        let (endpoint, process) = (self.jobs[job].endpoint, self.jobs[job].process);
        if self.endpoints[endpoint].process != process || !self.jobs[job].inside {
            return;
        }
        if let Some((next, until)) = self.endpoints[endpoint].queue.core_done(self.now) {
            self.start_job(next, until);
        }
        self.continue_job(job);
    }

    /// A job's own work is done: calls the next tier, or sends the response.
    fn continue_job(&mut self, job: usize) {
        let j = &mut self.jobs[job];
        let node = self.endpoints[j.endpoint].node;
        if let (Some(node), true) = (node, j.calls_left > 0 && j.awaited) {
            j.calls_left -= 1;
            let (method, deadline) = (j.method, j.deadline);
            self.effects += 1;
            let effect = self.effects;
            let anew = self.now + Span::from_millis(self.scenario.method[method].deadline_ms);
            let deadline = if self.scenario.deadline_passed { deadline } else { anew };
            if self.nodes[node].policy.is_some() && deadline > self.now {
                self.arrival(node, From::Job(job), method, effect, deadline);
                return;
            }
            fail_job(&mut self.jobs[job]);
        }
        self.respond(job);
    }

    /// A call to the next tier has ended.
    fn call_ended(&mut self, job: usize, answer: Answer) {
        if !self.jobs[job].inside {
            return;
        }
        if answer != Answer::Served {
            fail_job(&mut self.jobs[job]);
        }
        self.continue_job(job);
    }

    fn respond(&mut self, job: usize) {
        let j = &mut self.jobs[job];
        j.inside = false;
        let (endpoint, result, lost) = (j.endpoint, j.result, j.lost);
        let e = &mut self.endpoints[endpoint];
        e.queue.leave();
        e.inside_jobs.retain(|inside| *inside != job);
        if !lost && (e.up || !e.silent) {
            self.schedule_after(self.hop(), Event::ResponseArrives { job, outcome: result });
        }
    }

    fn change_lifecycle(&mut self, at: usize) {
        let (_, tier, number, change) = self.lifecycle_changes[at];
        let endpoint = self.first[tier] + number;
        let e = &mut self.endpoints[endpoint];
        match change {
            LifecycleChange::Drains => e.drains = true,
            LifecycleChange::Ends | LifecycleChange::Vanishes => {
                (e.up, e.silent) = (false, change == LifecycleChange::Vanishes);
                if change == LifecycleChange::Ends {
                    let node = e.node;
                    self.reset_jobs(endpoint);
                    node.into_iter().for_each(|node| self.kill(node));
                }
            }
            LifecycleChange::Starts | LifecycleChange::Returns => {
                if change == LifecycleChange::Starts {
                    self.reset_jobs(endpoint);
                }
                let e = &mut self.endpoints[endpoint];
                (e.up, e.silent, e.drains) = (true, false, false);
                if change == LifecycleChange::Starts {
                    e.process += 1;
                    e.started = Some(self.now);
                    e.queue =
                        ServerQueue::new(self.scenario.tier[tier].cores, self.scenario.tier[tier].places);
                    e.connections = 0;
                    self.checker.endpoint_restarted((tier, number));
                }
                if let Some(node) =
                    self.endpoints[endpoint].node.filter(|_| change == LifecycleChange::Starts)
                {
                    self.kill(node);
                    self.start(node);
                }
            }
        }
        let e = &self.endpoints[endpoint];
        let state = match change {
            LifecycleChange::Drains => EndpointState::Draining,
            LifecycleChange::Ends | LifecycleChange::Vanishes => EndpointState::Gone,
            LifecycleChange::Starts | LifecycleChange::Returns => EndpointState::Ready,
        };
        let (started, process) = (e.started, e.process);
        if change == LifecycleChange::Starts && process > 0 {
            // The previous process is gone for good.
            let gone =
                ListUpdate { endpoint, process: process - 1, state: EndpointState::Gone, started: None };
            self.publish(tier, gone);
        }
        self.publish(tier, ListUpdate { endpoint, process, state, started });
    }

    /// Drops all jobs of an endpoint and resets their connections.
    fn reset_jobs(&mut self, endpoint: usize) {
        for job in std::mem::take(&mut self.endpoints[endpoint].inside_jobs) {
            self.jobs[job].inside = false;
            self.schedule_after(self.hop(), Event::ResponseArrives { job, outcome: AttemptResult::Reset });
        }
    }

    /// Publishes a list update to each sidecar of the tier, each with its own delay.
    fn publish(&mut self, tier: usize, update: ListUpdate) {
        let at = self.updates.len();
        self.updates.push(update);
        for node in 0..self.nodes.len() {
            if self.nodes[node].tier != tier {
                continue;
            }
            let delay = self.scenario.list.delay_ms * (1.0 + self.rng.rand_float());
            let delay = delay + self.faults.list_late_ms(self.now);
            let incarnation = self.nodes[node].incarnation;
            self.schedule_after(millis(delay), Event::ListUpdate { node, incarnation, at });
        }
    }

    fn list_update(&mut self, node: usize, incarnation: u32, at: usize) {
        if self.faults.list_absent(self.now) {
            // Delivered once the list service is back.
            return self.schedule_after(LIST_TIMEOUT, Event::ListUpdate { node, incarnation, at });
        }
        if self.nodes[node].incarnation == incarnation && self.nodes[node].subscribed {
            let update = self.updates[at];
            self.deliver_list(node, false, &[update]);
        }
    }

    fn list_reply(&mut self, node: usize, incarnation: u32, answered: bool) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].policy.is_none() {
            return;
        }
        if !answered {
            let now = self.now;
            return self.with_policy(node, incarnation, |policy| policy.list_failed(now));
        }
        self.nodes[node].subscribed = true;
        let whole = self.full_list(self.nodes[node].tier);
        self.deliver_list(node, true, &whole);
    }

    fn sample(&mut self) {
        if self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        for tier in 0..self.scenario.tier.len() {
            let of_tier = || self.endpoints.iter().filter(|e| e.tier == tier);
            let up = of_tier().filter(|e| e.up).count();
            let inside = of_tier().map(|e| e.queue.inside()).sum::<usize>();
            let most = of_tier().map(|e| e.queue.inside()).max().unwrap_or(0);
            self.counters.sample(self.now, tier, up, inside, most);
        }
        self.schedule_after(SAMPLE_INTERVAL, Event::Sample);
    }
}

/// Makes a job answer with an error because one of its calls failed.
fn fail_job(job: &mut Job) {
    job.calls_left = 0;
    job.result = AttemptResult::Error;
}

impl Node {
    fn new(tier: usize) -> Node {
        Node {
            tier,
            incarnation: 0,
            policy: None,
            names: Names::default(),
            known: Vec::new(),
            requests: Vec::new(),
            free: Vec::new(),
            idle: BTreeMap::new(),
            subscribed: false,
            away: None,
        }
    }
}
