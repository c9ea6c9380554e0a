//! A fleet in virtual time: clients, sidecars of every tier, endpoints, the network between them and the list,
//! as one queue of events. Of two events at one moment the one that was scheduled first comes first.

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
use crate::report::Tally;
use crate::rule_checker::RuleChecker;
use crate::scenario::{Effect, Hears, Scenario, at_ms, millis};
use crate::server_queue::{Admission, ServerQueue};
use crate::service::{self, Fate};
use crate::shares::Shares;

/// Between two looks at the state of all endpoints.
const LOOK_EVERY: Span = Span::from_millis(1000);
/// After which a call to a list that is absent has failed.
const LIST_TIMEOUT: Span = Span::from_millis(2000);
/// Between two divisions of budgets that a daemon looks for.
const DIVIDES_EVERY: Span = Span::from_millis(50);
/// How long an endpoint that errs at once takes for it, in milliseconds.
const QUICK_ERROR_MS: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next client comes.
    Arrives,
    /// A client tries again, or for the first time.
    Tries {
        client: usize,
    },
    /// A client's time is up, and it goes.
    Goes {
        client: usize,
        attempt: u32,
    },
    /// A client loses patience before its time is up.
    Leaves {
        client: usize,
        attempt: u32,
    },
    Wake {
        node: usize,
        life: u32,
    },
    /// An attempt's last byte reaches its endpoint.
    Reaches {
        job: usize,
    },
    CoreDone {
        job: usize,
    },
    /// What comes back reaches the sidecar.
    Back {
        job: usize,
        outcome: Told,
    },
    GiveUp {
        job: usize,
    },
    /// A final answer reaches the client.
    Answered {
        client: usize,
        attempt: u32,
        answer: Answer,
    },
    Turns {
        at: usize,
    },
    Told {
        node: usize,
        life: u32,
        told: usize,
    },
    /// A sidecar's call to the list is answered, or fails.
    Asked {
        node: usize,
        life: u32,
        answered: bool,
    },
    Restart {
        at: usize,
    },
    Returns {
        node: usize,
    },
    /// A member's beat: it hears what others have learnt.
    Hears {
        node: usize,
        life: u32,
    },
    Look,
    /// A sidecar reports its use of budgets, is answered, and a division takes effect.
    Reports {
        node: usize,
        life: u32,
    },
    Granted {
        tier: usize,
        at: usize,
    },
    Divides,
    Divided {
        tier: usize,
        at: usize,
    },
}

/// `Outcome` in an order, as events want one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Served,
    Error,
    Overloaded,
    Refused,
    Reset,
    NeverSent,
}

impl Told {
    fn outcome(self) -> Outcome {
        match self {
            Told::Served => Outcome::Success,
            Told::Error => Outcome::Error,
            Told::Overloaded => Outcome::Overloaded,
            Told::Refused => Outcome::ConnectFailure,
            Told::Reset => Outcome::Reset,
            Told::NeverSent => Outcome::NeverSent,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Served,
    Rejected { retry_after: Option<u64> },
    Failed,
}

/// For a client's wish, over all its tries.
struct Client {
    method: usize,
    tenant: usize,
    born: Moment,
    deadline: Moment,
    /// The id that effects are told apart by: a repeat carries the same.
    effect: u64,
    attempt: u32,
    /// Where the try that is under way is, and the checker's number of it.
    at: Option<(usize, usize)>,
    open: Option<u64>,
    done: bool,
}

enum From {
    Client {
        client: usize,
        attempt: u32,
    },
    /// A job at an endpoint of the tier before.
    Job(usize),
}

/// For a request at a sidecar, until nothing more can be heard of it.
struct Request {
    from: From,
    method: usize,
    effect: u64,
    deadline: Moment,
    attempts: Vec<usize>,
    answered: bool,
}

/// For an attempt, and the work that it makes at its endpoint.
struct Job {
    node: usize,
    life: u32,
    request: usize,
    attempt: usize,
    endpoint: usize,
    /// The process of the endpoint it was written to.
    process: u32,
    method: usize,
    effect: u64,
    deadline: Moment,
    /// What the sidecar still waits for.
    sent: Moment,
    awaited: bool,
    inside: bool,
    works: bool,
    calls_left: usize,
    told: Told,
    lost: bool,
    holds_connection: bool,
}

struct Endpoint {
    tier: usize,
    /// Its number in its tier.
    number: usize,
    queue: ServerQueue,
    process: u32,
    started: Option<Moment>,
    up: bool,
    /// Down without a word, or with the process still there behind it.
    silent: bool,
    drains: bool,
    speed: f64,
    connections: usize,
    inside_jobs: Vec<usize>,
    /// The sidecar beside it, for its calls to the next tier.
    node: Option<usize>,
}

/// A sidecar.
struct Node {
    tier: usize,
    life: u32,
    policy: Option<Box<dyn Policy>>,
    names: Names,
    /// By the index that the policy knows it by: which endpoint, which process, and since when it is known to
    /// drain.
    known: Vec<(usize, u32, Option<Moment>)>,
    requests: Vec<Option<Request>>,
    free: Vec<usize>,
    /// Idle connections, by endpoint and process.
    idle: BTreeMap<(usize, u32), usize>,
    subscribed: bool,
    /// Since when it is away.
    away: Option<Moment>,
}

/// Something that a list tells: one endpoint's process and its standing.
#[derive(Clone, Copy)]
struct News {
    endpoint: usize,
    process: u32,
    standing: EndpointState,
    started: Option<Moment>,
}

pub struct World<'a> {
    scenario: &'a Scenario,
    which: PolicyKind,
    faults: Faults,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    scheduled: u64,
    chance: Rand64,
    clients: Vec<Client>,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    /// The first endpoint of each tier.
    first: Vec<usize>,
    jobs: Vec<Job>,
    turns: Vec<(Moment, usize, usize, LifecycleChange)>,
    restarts: Vec<(Moment, usize, u64)>,
    news: Vec<News>,
    effects: u64,
    checker: RuleChecker,
    pub tally: Tally,
    work: Vec<usize>,
    /// What daemons hold of the members' attempts, how many each has told, and up to where each has heard.
    evidence: EvidenceStore,
    sequences: Vec<u64>,
    cursors: Vec<Cursor>,
    /// Of the tiers that have budgets, from the first on.
    shares: Vec<Shares>,
}

/// Plays a scenario with a policy and a seed.
pub fn play(scenario: &Scenario, which: PolicyKind, seed: u64) -> Tally {
    let mut world = World::new(scenario, which, seed);
    world.run();
    world.tally
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario, which: PolicyKind, seed: u64) -> World<'a> {
        let faults = Faults::draw(scenario, seed);
        let mut chance = Rand64::new(u128::from(seed));
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
                    speed: 1.0 - t.uneven * chance.rand_float(),
                    connections: 0,
                    inside_jobs: Vec::new(),
                    node,
                });
            }
        }
        let mut world = World {
            turns: faults.lifecycle_changes(scenario),
            restarts: faults.restarts(),
            scenario,
            which,
            faults,
            now: Moment::from_nanos(0),
            queue: BinaryHeap::new(),
            scheduled: 0,
            chance,
            clients: Vec::new(),
            nodes,
            endpoints,
            first,
            jobs: Vec::new(),
            news: Vec::new(),
            effects: 0,
            checker: RuleChecker::default(),
            tally: Tally::new(scenario),
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
        for at in 0..world.turns.len() {
            world.schedule(world.turns[at].0, Event::Turns { at });
        }
        for at in 0..world.restarts.len() {
            world.schedule(world.restarts[at].0, Event::Restart { at });
        }
        for at in &scenario.load.trace_ms {
            if *at < scenario.length_ms {
                world.come(at_ms(*at));
            }
        }
        if scenario.load.trace_ms.is_empty() && scenario.load.per_second > 0.0 {
            world.schedule(Moment::from_nanos(0), Event::Arrives);
        }
        world.schedule(Moment::from_nanos(0), Event::Look);
        if world.shares.first().is_some_and(Shares::divides) {
            world.schedule(Moment::from_nanos(0), Event::Divides);
        }
        world
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    fn soon(&mut self, after: Span, event: Event) {
        self.schedule(self.now + after, event);
    }

    fn hop(&self) -> Span {
        millis(self.scenario.net.hop_ms)
    }

    pub fn run(&mut self) {
        // Nobody comes any more after the length; who is there is seen to the end.
        let end = at_ms(self.scenario.length_ms) + self.scenario.longest() + self.checker.slack() * 2.0;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.tally.events += 1;
            self.happens(event);
            while let Some(node) = self.work.pop() {
                self.pull(node);
            }
        }
        self.checker.ends(end);
        self.tally.judged(&self.checker);
        self.tally.uses = self.shares.first().map(Shares::uses).unwrap_or_default();
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrives => self.arrives(),
            Event::Tries { client } => self.tries(client),
            Event::Goes { client, attempt } => self.goes(client, attempt),
            Event::Leaves { client, attempt } => {
                if let Some(open) =
                    self.clients[client].open.filter(|_| self.clients[client].attempt == attempt)
                {
                    self.checker.closed(open);
                    self.goes(client, attempt);
                }
            }
            Event::Wake { node, life } => {
                let now = self.now;
                self.with(node, life, |policy| policy.wake(now));
            }
            Event::Reaches { job } => self.reaches(job),
            Event::CoreDone { job } => self.core_done(job),
            Event::Back { job, outcome } => self.back(job, outcome.outcome()),
            Event::GiveUp { job } => {
                if self.jobs[job].awaited {
                    self.withdraw(job);
                    self.heard(job, Outcome::Timeout, false);
                }
            }
            Event::Answered { client, attempt, answer } => self.answered(client, attempt, answer),
            Event::Turns { at } => self.turns_round(at),
            Event::Told { node, life, told } => self.told(node, life, told),
            Event::Asked { node, life, answered } => self.asked(node, life, answered),
            Event::Restart { at } => self.restart(at),
            Event::Returns { node } => self.start(node),
            Event::Hears { node, life } => self.hears(node, life),
            Event::Look => self.look(),
            Event::Reports { node, life } => self.reports(node, life),
            Event::Granted { tier, at } => {
                let shares = &mut self.shares[tier];
                let (node, life) = (shares.answers[at].node, shares.answers[at].life);
                if self.nodes[node].life == life {
                    shares.answered(at);
                }
            }
            Event::Divides => self.divides(),
            Event::Divided { tier, at } => self.shares[tier].applies(at),
        }
    }

    fn with(&mut self, node: usize, life: u32, what: impl FnOnce(&mut dyn Policy)) {
        let n = &mut self.nodes[node];
        if let Some(policy) = n.policy.as_deref_mut().filter(|_| n.life == life) {
            what(policy);
            self.work.push(node);
        }
    }

    // Clients.

    fn arrives(&mut self) {
        if self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        self.come(self.now);
        let rate = self.scenario.load.per_second * self.faults.load(self.now);
        let gap = -(1.0 - self.chance.rand_float()).ln() / rate.max(1e-9);
        self.soon(millis(gap * 1e3), Event::Arrives);
    }

    fn come(&mut self, at: Moment) {
        let method = self.scenario.drawn_method(&mut self.chance);
        let tenant = self.chance.rand_range(0..self.scenario.load.tenants as u64) as usize;
        let deadline = at + Span::from_millis(self.scenario.method[method].deadline_ms);
        self.effects += 1;
        let effect = self.effects;
        let client = Client {
            method,
            tenant,
            born: at,
            deadline,
            effect,
            attempt: 0,
            at: None,
            open: None,
            done: false,
        };
        self.clients.push(client);
        self.schedule(at, Event::Tries { client: self.clients.len() - 1 });
    }

    fn tries(&mut self, client: usize) {
        let c = &mut self.clients[client];
        c.attempt += 1;
        let (attempt, method, deadline, effect, tenant, born) =
            (c.attempt, c.method, c.deadline, c.effect, c.tenant, c.born);
        if attempt == 1 {
            self.tally.offered(born, method, tenant);
        } else {
            self.tally.retried(self.now);
        }
        let sidecars = 0..self.scenario.tier[0].sidecars;
        let heat: Vec<f64> = sidecars.map(|node| self.weight(node)).collect();
        let mut left = self.chance.rand_float() * heat.iter().sum::<f64>();
        let drawn = heat.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        let node = drawn.unwrap_or(heat.len() - 1);
        if self.nodes[node].policy.is_none() {
            // Its front has yet to notice that this sidecar is away.
            return self.soon(self.hop() * 2.0, Event::Answered { client, attempt, answer: Answer::Failed });
        }
        let from = From::Client { client, attempt };
        let request = self.arrival(node, from, method, effect, deadline);
        self.effects += 1;
        let open = self.effects;
        self.checker.taken(open, deadline);
        (self.clients[client].at, self.clients[client].open) = (Some((node, request)), Some(open));
        // An answer at the very deadline is still on its way when the client's time is up.
        self.schedule(deadline + self.checker.slack(), Event::Goes { client, attempt });
        if self.chance.rand_float() < self.scenario.load.impatient {
            let after = deadline.since(self.now) * self.chance.rand_float();
            self.soon(after, Event::Leaves { client, attempt });
        }
    }

    /// The weight of a first-tier sidecar among those that clients go to.
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
        let life = n.life;
        self.with(node, life, |policy| policy.arrival(now, at, method, deadline.since(now)));
        at
    }

    /// A client that has no answer when its time is up goes.
    fn goes(&mut self, client: usize, attempt: u32) {
        let c = &mut self.clients[client];
        if c.done || c.attempt != attempt {
            return;
        }
        c.done = true;
        let open = c.open.take();
        self.tally.failed(c.born, c.method, c.tenant);
        if let Some(open) = open {
            self.checker.timed_out(self.now, open);
        }
        let c = &mut self.clients[client];
        if let Some((node, request)) = c.at.take() {
            let life = self.nodes[node].life;
            self.with(node, life, |policy| policy.client_disconnected(request));
        }
    }

    fn answered(&mut self, client: usize, attempt: u32, answer: Answer) {
        let c = &mut self.clients[client];
        if c.done || c.attempt != attempt {
            return;
        }
        c.at = None;
        let m = &self.scenario.method[c.method];
        let took = self.now.since(c.born);
        if answer == Answer::Served && self.now <= c.deadline {
            c.done = true;
            let in_time = took <= Span::from_millis(m.latency_budget_ms);
            return self.tally.served((c.born, took), c.method, c.tenant, in_time, m);
        }
        let harmless = matches!(answer, Answer::Rejected { .. }) || m.effect == Effect::Retryable;
        let told = match answer {
            Answer::Rejected { retry_after: Some(nanos) } => Span::from_nanos(nanos),
            _ => Span::from_millis(self.scenario.load.back_off_ms),
        };
        if harmless && c.attempt <= self.scenario.load.retries && self.now + told < c.deadline {
            return self.soon(told, Event::Tries { client });
        }
        c.done = true;
        match answer {
            Answer::Rejected { .. } => self.tally.rejected(c.born, c.method, c.tenant),
            _ => self.tally.failed(c.born, c.method, c.tenant),
        }
    }

    // Sidecars.

    fn start(&mut self, node: usize) {
        let tier = self.nodes[node].tier;
        let terms = self.scenario.terms(tier);
        let seed = self.chance.rand_u64();
        self.nodes[node].policy =
            Some(self.which.at(tier, self.scenario.tier.len()).make(self.now, terms, seed));
        self.nodes[node].away = None;
        if let Some(shares) = self.shares.get_mut(tier) {
            shares.starts(node);
            if shares.divides() {
                // They do not all report in the same moment.
                let first = Span::from_millis(self.scenario.budgets.beat_ms) * self.chance.rand_float();
                let life = self.nodes[node].life;
                self.soon(first, Event::Reports { node, life });
            }
        }
        let known = self.whole(tier);
        self.hear(node, true, &known);
        self.nodes[node].subscribed = !self.scenario.list.asked;
        let fleet = self.scenario.fleet;
        if fleet.hears != Hears::Nothing {
            let (now, life) = (self.now, self.nodes[node].life);
            let passed =
                self.evidence.catch_up(now, 0, node as u32, &mut self.cursors[node], fleet.at_return);
            self.pass_on(node, &passed);
            if fleet.hears == Hears::All {
                self.soon(Span::from_millis(fleet.beat_ms), Event::Hears { node, life });
            }
        }
    }

    fn hears(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life || self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        let (now, fleet) = (self.now, self.scenario.fleet);
        let passed = self.evidence.read_new(now, 0, node as u32, &mut self.cursors[node], fleet.each);
        self.pass_on(node, &passed);
        self.soon(Span::from_millis(fleet.beat_ms), Event::Hears { node, life });
    }

    /// A sidecar reports its use of budgets. Its answer is granted from the moment of its asking.
    fn reports(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life || self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        let (now, hop) = (self.now, self.hop());
        let tier = self.nodes[node].tier;
        let Some(shares) = self.shares.get_mut(tier) else { return };
        let at = shares.report(now, node, life);
        self.soon(hop * 2.0, Event::Granted { tier, at });
        let beat = Span::from_millis(self.scenario.budgets.beat_ms);
        self.soon(beat, Event::Reports { node, life });
    }

    fn divides(&mut self) {
        for tier in 0..self.shares.len() {
            for at in self.shares[tier].divide(self.now) {
                self.soon(millis(self.scenario.budgets.commit_ms), Event::Divided { tier, at });
            }
        }
        if self.now < at_ms(self.scenario.length_ms) {
            self.soon(DIVIDES_EVERY, Event::Divides);
        }
    }

    fn pass_on(&mut self, node: usize, passed: &[RelayedObservation]) {
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
        let (now, life) = (self.now, self.nodes[node].life);
        if !told.is_empty() {
            self.with(node, life, |policy| policy.told(now, &told));
        }
    }

    /// The whole list of a tier as it is now.
    fn whole(&self, tier: usize) -> Vec<News> {
        let listed = self.endpoints.iter().enumerate().filter(|(_, e)| e.tier == tier && (e.up || e.silent));
        let standing = |e: &Endpoint| if e.drains { EndpointState::Draining } else { EndpointState::Ready };
        let news = |(endpoint, e): (usize, &Endpoint)| News {
            endpoint,
            process: e.process,
            standing: standing(e),
            started: e.started,
        };
        listed.map(news).collect()
    }

    fn hear(&mut self, node: usize, complete: bool, news: &[News]) {
        let now = self.now;
        let mut entries = Vec::new();
        for told in news {
            let e = &self.endpoints[told.endpoint];
            let (zone, cell) =
                (e.number % self.scenario.zones, (e.number / self.scenario.tier[e.tier].cell_size) as u64);
            let n = &mut self.nodes[node];
            let name = format!("{}.{}", told.endpoint, told.process);
            let index = n.names.index(&name);
            n.known.resize(n.known.len().max(index + 1), (usize::MAX, 0, None));
            let drains = (told.standing != EndpointState::Ready).then_some(now);
            let before = n.known[index];
            let since = if before.0 == told.endpoint { before.2.filter(|_| drains.is_some()) } else { None };
            n.known[index] = (told.endpoint, told.process, since.or(drains));
            let entry = Entry {
                state: told.standing,
                started: told.started,
                zone,
                cell,
                kind: 0,
                name_hash: ids::name_hash(&name),
            };
            entries.push(ListedEndpoint { endpoint: index, entry });
        }
        let life = self.nodes[node].life;
        self.with(node, life, |policy| policy.list(now, complete, &entries));
    }

    fn restart(&mut self, at: usize) {
        let (_, node, away) = self.restarts[at];
        self.kill(node);
        self.soon(Span::from_millis(away), Event::Returns { node });
    }

    /// A sidecar dies with all that it held; its clients see their connections break.
    fn kill(&mut self, node: usize) {
        let now = self.now;
        let n = &mut self.nodes[node];
        n.life += 1;
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
                    self.checker.closed(open);
                }
                self.soon(self.hop(), Event::Answered { client, attempt, answer: Answer::Failed });
            }
        }
    }

    fn pull(&mut self, node: usize) {
        loop {
            let now = self.now;
            let Some(decision) = self.nodes[node].policy.as_deref_mut().and_then(|p| p.next(now)) else {
                return;
            };
            self.carry_out(node, decision);
        }
    }

    fn carry_out(&mut self, node: usize, decision: Decision) {
        let life = self.nodes[node].life;
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
                    self.heard(job, Outcome::Cancelled, true);
                }
            }
            // The laboratory has neither load reports nor messages, and its terms say so.
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
            Decision::Wake { at } => self.schedule(at.max(self.now), Event::Wake { node, life }),
            Decision::Subscribe => {
                let absent = self.faults.list_absent(self.now);
                let late = millis(self.faults.list_late_ms(self.now));
                let after = if absent { LIST_TIMEOUT } else { self.hop() * 2.0 + late };
                self.soon(after, Event::Asked { node, life, answered: !absent });
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
                    self.checker.answered(self.now, open);
                }
                self.soon(self.hop(), Event::Answered { client, attempt, answer });
            }
            From::Job(job) => self.called(job, answer),
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
            life: n.life,
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
            told: Told::Served,
            lost: false,
            holds_connection: false,
        });
        if let Some(shares) = self.shares.get_mut(n.tier) {
            let started = self.endpoints[endpoint].started;
            let cold =
                started.is_some_and(|at| self.now.since(at) < Span::from_millis(self.scenario.rules.cold_ms));
            if !shares.may_send(self.now, node, attempt > 0, cold) {
                return self.schedule(self.now, Event::Back { job, outcome: Told::NeverSent });
            }
        }
        let n = &mut self.nodes[node];
        self.tally.sent(self.now, n.tier);
        let e = &self.endpoints[endpoint];
        let whom = (e.tier, e.number);
        self.checker.sent(self.now, drains, &self.scenario.rules, whom);
        let tier = &self.scenario.tier[whom.0];
        let reached = e.up && e.process == process;
        let silent = e.silent;
        let kept = n.idle.get_mut(&(endpoint, process)).filter(|count| **count > 0);
        let kept = kept.map(|count| *count -= 1).is_some();
        let timeout = Span::from_millis(self.scenario.net.connect_timeout_ms);
        let hop = self.hop();
        self.schedule(give_up.max(self.now), Event::GiveUp { job });
        if kept {
            // On a connection that is there, the request goes out whatever has become of the other side.
            self.jobs[job].holds_connection = true;
            return self.soon(hop, Event::Reaches { job });
        }
        if !reached {
            // Nobody there says so at once; a machine out of reach says nothing.
            let after = if silent { timeout } else { hop * 2.0 };
            return self.soon(after, Event::Back { job, outcome: Told::Refused });
        }
        let active = self.faults.active_on(whom.0, whom.1, self.now);
        if active.refuses || self.endpoints[endpoint].connections >= tier.connections {
            return self.soon(hop * 2.0, Event::Back { job, outcome: Told::Refused });
        }
        self.endpoints[endpoint].connections += 1;
        self.jobs[job].holds_connection = true;
        self.tally.opened(self.now);
        let handshake = millis(tier.handshake_ms) + hop * 2.0;
        self.soon(hop + handshake, Event::Reaches { job });
    }

    /// Connections to an endpoint's process are closed.
    fn release(&mut self, endpoint: usize, process: u32, count: usize) {
        if let Some(e) = self.endpoints.get_mut(endpoint).filter(|e| e.process == process) {
            e.connections -= count.min(e.connections);
        }
    }

    /// The sidecar waits no more for an attempt; its connection is closed, which tells the endpoint.
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

    /// The sidecar hears how an attempt ended.
    fn heard(&mut self, job: usize, outcome: Outcome, closed: bool) {
        let j = &mut self.jobs[job];
        if !std::mem::take(&mut j.awaited) {
            return;
        }
        let (node, life, request, attempt, endpoint, process) =
            (j.node, j.life, j.request, j.attempt, j.endpoint, j.process);
        let keeps = matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Overloaded);
        if std::mem::take(&mut j.holds_connection) {
            if keeps && self.endpoints[endpoint].process == process && self.nodes[node].life == life {
                *self.nodes[node].idle.entry((endpoint, process)).or_default() += 1;
            } else {
                self.release(endpoint, process, 1);
            }
        }
        if self.nodes[node].life != life {
            return;
        }
        self.tally.ended(self.now, self.nodes[node].tier, outcome);
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
            self.evidence.record(self.now, 0, node as u32, u64::from(life), &[seen]);
        }
        if outcome == Outcome::Success {
            self.final_answer(node, request, Answer::Served);
        }
        let closed = closed || self.nodes[node].requests[request].as_ref().is_none_or(|r| r.answered);
        let now = self.now;
        self.with(node, life, |policy| policy.outcome(now, request, attempt, outcome, closed));
    }

    fn back(&mut self, job: usize, outcome: Outcome) {
        if self.jobs[job].awaited {
            self.heard(job, outcome, false);
        }
    }

    // Endpoints.

    fn reaches(&mut self, job: usize) {
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
            return self.soon(hop, Event::Back { job, outcome: Told::Reset });
        }
        let active = self.faults.active_on(tier, number, self.now);
        if e.drains {
            return self.soon(hop, Event::Back { job, outcome: Told::Overloaded });
        }
        let of = (tier, e.speed, e.started);
        let service = service::draw(self.scenario, of, &active, (self.now, method), &mut self.chance);
        let j = &mut self.jobs[job];
        (j.told, j.lost) = match service.fate {
            Fate::Good => (Told::Served, false),
            Fate::ImmediateError | Fate::Error | Fate::Malformed => (Told::Error, false),
            Fate::Cut | Fate::Reset => (Told::Reset, false),
            Fate::Lost => (Told::Served, true),
        };
        if service.fate == Fate::ImmediateError {
            let after = hop + millis(QUICK_ERROR_MS);
            return self.soon(after, Event::Back { job, outcome: Told::Error });
        }
        j.calls_left = self.scenario.tier[tier].calls;
        let e = &mut self.endpoints[endpoint];
        if let Some(started) = e.started {
            let cores = self.scenario.tier[tier].cores as f64;
            self.checker.given(
                self.now,
                (tier, number),
                started,
                (service.work, cores),
                &self.scenario.rules,
            );
        }
        match e.queue.admit(self.now, job, service.takes) {
            Admission::Full => self.soon(hop, Event::Back { job, outcome: Told::Overloaded }),
            Admission::Waits => {
                self.jobs[job].inside = true;
                e.inside_jobs.push(job);
            }
            Admission::Works(until) => {
                self.jobs[job].inside = true;
                e.inside_jobs.push(job);
                self.begins(job, until);
            }
        }
    }

    fn begins(&mut self, job: usize, until: Moment) {
        let j = &mut self.jobs[job];
        j.works = true;
        let (effect, method, number) = (j.effect, j.method, self.endpoints[j.endpoint].number);
        let tier = self.endpoints[j.endpoint].tier;
        let m = &self.scenario.method[method];
        let group = service::group(self.scenario, tier, number, method);
        // Calls to later tiers have ids of their own, so they are told apart by those.
        self.checker.effect(self.now, effect, m, group);
        self.schedule(until, Event::CoreDone { job });
    }

    fn core_done(&mut self, job: usize) {
        let (endpoint, process) = (self.jobs[job].endpoint, self.jobs[job].process);
        if self.endpoints[endpoint].process != process || !self.jobs[job].inside {
            return;
        }
        if let Some((next, until)) = self.endpoints[endpoint].queue.core_done(self.now) {
            self.begins(next, until);
        }
        self.goes_on(job);
    }

    /// A job's own work is done: it calls the next tier, or answers.
    fn goes_on(&mut self, job: usize) {
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
            j_fails(&mut self.jobs[job]);
        }
        self.answers(job);
    }

    /// A call to the next tier has come to its end.
    fn called(&mut self, job: usize, answer: Answer) {
        if !self.jobs[job].inside {
            return;
        }
        if answer != Answer::Served {
            j_fails(&mut self.jobs[job]);
        }
        self.goes_on(job);
    }

    fn answers(&mut self, job: usize) {
        let j = &mut self.jobs[job];
        j.inside = false;
        let (endpoint, told, lost) = (j.endpoint, j.told, j.lost);
        let e = &mut self.endpoints[endpoint];
        e.queue.leave();
        e.inside_jobs.retain(|inside| *inside != job);
        if !lost && (e.up || !e.silent) {
            self.soon(self.hop(), Event::Back { job, outcome: told });
        }
    }

    fn turns_round(&mut self, at: usize) {
        let (_, tier, number, turn) = self.turns[at];
        let endpoint = self.first[tier] + number;
        let e = &mut self.endpoints[endpoint];
        match turn {
            LifecycleChange::Drains => e.drains = true,
            LifecycleChange::Ends | LifecycleChange::Vanishes => {
                (e.up, e.silent) = (false, turn == LifecycleChange::Vanishes);
                if turn == LifecycleChange::Ends {
                    let node = e.node;
                    self.breaks(endpoint);
                    node.into_iter().for_each(|node| self.kill(node));
                }
            }
            LifecycleChange::Starts | LifecycleChange::Returns => {
                if turn == LifecycleChange::Starts {
                    self.breaks(endpoint);
                }
                let e = &mut self.endpoints[endpoint];
                (e.up, e.silent, e.drains) = (true, false, false);
                if turn == LifecycleChange::Starts {
                    e.process += 1;
                    e.started = Some(self.now);
                    e.queue =
                        ServerQueue::new(self.scenario.tier[tier].cores, self.scenario.tier[tier].places);
                    e.connections = 0;
                    self.checker.started((tier, number));
                }
                if let Some(node) = self.endpoints[endpoint].node.filter(|_| turn == LifecycleChange::Starts)
                {
                    self.kill(node);
                    self.start(node);
                }
            }
        }
        let e = &self.endpoints[endpoint];
        let standing = match turn {
            LifecycleChange::Drains => EndpointState::Draining,
            LifecycleChange::Ends | LifecycleChange::Vanishes => EndpointState::Gone,
            LifecycleChange::Starts | LifecycleChange::Returns => EndpointState::Ready,
        };
        let (started, process) = (e.started, e.process);
        if turn == LifecycleChange::Starts && process > 0 {
            // The process before is gone for good.
            let gone = News { endpoint, process: process - 1, standing: EndpointState::Gone, started: None };
            self.spread(tier, gone);
        }
        self.spread(tier, News { endpoint, process, standing, started });
    }

    /// What an endpoint held is lost; who waits for it hears so.
    fn breaks(&mut self, endpoint: usize) {
        for job in std::mem::take(&mut self.endpoints[endpoint].inside_jobs) {
            self.jobs[job].inside = false;
            self.soon(self.hop(), Event::Back { job, outcome: Told::Reset });
        }
    }

    /// The list notices, and tells each sidecar of the tier in its own time.
    fn spread(&mut self, tier: usize, news: News) {
        let told = self.news.len();
        self.news.push(news);
        for node in 0..self.nodes.len() {
            if self.nodes[node].tier != tier {
                continue;
            }
            let delay = self.scenario.list.delay_ms * (1.0 + self.chance.rand_float());
            let delay = delay + self.faults.list_late_ms(self.now);
            let life = self.nodes[node].life;
            self.soon(millis(delay), Event::Told { node, life, told });
        }
    }

    fn told(&mut self, node: usize, life: u32, told: usize) {
        if self.faults.list_absent(self.now) {
            // It is told once the list is there again.
            return self.soon(LIST_TIMEOUT, Event::Told { node, life, told });
        }
        if self.nodes[node].life == life && self.nodes[node].subscribed {
            let news = self.news[told];
            self.hear(node, false, &[news]);
        }
    }

    fn asked(&mut self, node: usize, life: u32, answered: bool) {
        if self.nodes[node].life != life || self.nodes[node].policy.is_none() {
            return;
        }
        if !answered {
            let now = self.now;
            return self.with(node, life, |policy| policy.list_failed(now));
        }
        self.nodes[node].subscribed = true;
        let whole = self.whole(self.nodes[node].tier);
        self.hear(node, true, &whole);
    }

    fn look(&mut self) {
        if self.now >= at_ms(self.scenario.length_ms) {
            return;
        }
        for tier in 0..self.scenario.tier.len() {
            let of_tier = || self.endpoints.iter().filter(|e| e.tier == tier);
            let up = of_tier().filter(|e| e.up).count();
            let inside = of_tier().map(|e| e.queue.inside()).sum::<usize>();
            let most = of_tier().map(|e| e.queue.inside()).max().unwrap_or(0);
            self.tally.look(self.now, tier, up, inside, most);
        }
        self.soon(LOOK_EVERY, Event::Look);
    }
}

/// A job whose call failed answers with an error, whatever it was to answer.
fn j_fails(job: &mut Job) {
    job.calls_left = 0;
    job.told = Told::Error;
}

impl Node {
    fn new(tier: usize) -> Node {
        Node {
            tier,
            life: 0,
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
