//! Simulates one endpoint in slow start among warm ones: compares what many instances, each with its own `Balancer`,
//! send to it together in any overload window with its assumed capacity. It uses no sockets, files or clock.
//!
//! All endpoints, the cold one too, answer after the same fixed time, so only the instances' own credit limits what
//! it is sent. Each request has mean work.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, Entry, Outcome, RequestInfo};
use oorandom::Rand64;
use serde::Serialize;

/// Number of warm endpoints: fewer than the minimum subset size, and more than the subset size with many instances.
const WARM: [usize; 2] = [3, 20];
/// Multiple of its current capacity that a cold endpoint may be sent in an overload window, its initial capacity share,
/// and the lengths of slow start and of the overload window: within the ranges that sites configure.
const OVERLOAD_MULTIPLE: f64 = 3.0;
const COLD_START: f64 = 0.4;
const COLD: Span = Span::from_millis(7000);
const OVERLOAD_WINDOW: Span = Span::from_millis(1500);
/// Response time of every endpoint.
const RESPONSE_TIME: Span = Span::from_millis(20);
/// Time before the endpoint starts: enough for the instances to measure their own rates, and for a returning endpoint to
/// have been absent.
const LEAD_TIME: Span = Span::from_millis(9000);
const ABSENCE: Span = Span::from_millis(4000);
/// Time over which instances learn of the start, if they do one after another.
const NOTIFICATION_SPREAD: Span = Span::from_millis(2000);
/// Traffic relative to normal: of idle instances before a burst, and during a burst.
const IDLE: f64 = 0.05;
const BURST: f64 = 1.5;
/// Most requests of one instance in a herd, and the time over which a herd arrives.
const MAX_HERD: u64 = 10;
const HERD_SPREAD: Span = Span::from_millis(50);
/// Number of steps in which instances restart, from the endpoint's start until it is warm.
const RESTART_STEPS: usize = 10;
/// Interval between sampled windows.
const SAMPLE_INTERVAL: Span = Span::from_millis(100);

/// What the traffic does while the endpoint is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Traffic {
    Steady,
    /// Half as much again, from some time on.
    Burst,
    /// Almost none up to some time, then a burst.
    Idle,
    /// As `Idle`, with one request at each instance as the burst begins.
    Touch,
    /// As `Idle`, with one to ten requests at each instance as the burst begins, regardless of the endpoints' capacity.
    Herd,
}

/// A simulated case: one cell of the table.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    pub instances: usize,
    /// Number of warm endpoints.
    pub warm: usize,
    /// N at the start: requests of mean work that the cold endpoint may be sent in the first overload window.
    pub budget: f64,
    /// Steady traffic as a fraction of the capacity of all warm endpoints.
    pub load: f64,
    pub traffic: Traffic,
    /// Each instance gets a random traffic weight from 1 to 10; otherwise all get the same.
    pub uneven: bool,
    /// Instances learn of the start one after another; otherwise all at once.
    pub spread: bool,
    /// Instances restart in steps, and lose the record of what they sent.
    pub restarts: bool,
    /// The endpoint returns under its previous list entry; otherwise it is new in the list.
    pub back: bool,
}

/// The result of one seed.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Played {
    /// The greatest ratio of a window's sum to its bound, and that sum.
    pub worst: f64,
    pub sum: usize,
    /// Number of sampled windows, and of those over their bound.
    pub windows: usize,
    pub over: usize,
    /// Attempts to the endpoint during slow start, and its due share of the mean sent to a warm endpoint.
    pub fed: (f64, f64),
    /// Fraction of requests that were rejected since the start.
    pub rejected: f64,
}

/// The results of a case over many seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Row {
    pub case: Case,
    pub seeds: usize,
    /// The quantiles 0.5, 0.9, 0.99 and 1, over the seeds, of the worst ratio of a sum to its bound.
    pub worst: [f64; 4],
    /// Fractions of seeds and of windows over the bound.
    pub seeds_over: f64,
    pub windows_over: f64,
    pub fed: f64,
    pub rejected: f64,
}

impl Row {
    /// # Panics
    /// If `played` is empty.
    pub fn of(case: Case, played: &[Played]) -> Row {
        assert!(!played.is_empty(), "a row needs at least one seed");
        let mut worst: Vec<f64> = played.iter().map(|one| one.worst).collect();
        worst.sort_by(f64::total_cmp);
        let at = |part: f64| worst[((played.len() as f64 * part).ceil() as usize).clamp(1, played.len()) - 1];
        let mean = |of: &dyn Fn(&Played) -> f64| played.iter().map(of).sum::<f64>() / played.len() as f64;
        let (over, windows) =
            played.iter().fold((0, 0), |(over, all), one| (over + one.over, all + one.windows));
        Row {
            case,
            seeds: played.len(),
            worst: [at(0.5), at(0.9), at(0.99), at(1.0)],
            seeds_over: mean(&|one| f64::from(u8::from(one.worst > 1.0))),
            windows_over: over as f64 / (windows as f64).max(1.0),
            fed: mean(&|one| one.fed.0) / mean(&|one| one.fed.1).max(1e-9),
            rejected: mean(&|one| one.rejected),
        }
    }
}

/// The bound on a window's sum, with random variation allowed for, where `n` requests may be sent.
pub fn bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// N at a time after the start.
fn budget(case: &Case, up: Span) -> f64 {
    case.budget * (COLD_START + (1.0 - COLD_START) * (up.secs() / COLD.secs()).min(1.0)) / COLD_START
}

fn terms(instances: usize) -> Terms {
    let pairs = [
        ("nInstances", instances.to_string()),
        ("tickNs", "1000000".into()),
        ("discovery", "automatic".into()),
        ("ceilings.cancel", "true".into()),
        ("ceilings.retryAfter", "false".into()),
        ("ceilings.mostWriteOuts", "3".into()),
        ("rules.startCapacity", COLD_START.to_string()),
        ("rules.coldNs", COLD.nanos().to_string()),
        ("rules.overloadForNs", OVERLOAD_WINDOW.nanos().to_string()),
        ("methods.count", "1".into()),
        ("methods.0.name", "read".into()),
        ("methods.0.effect", "retryable".into()),
        ("methods.0.group", "all".into()),
        ("methods.0.windowNs", "2000000000".into()),
        ("methods.0.latencyBudgetNs", "1000000000".into()),
        ("methods.0.deadlineNs", "3000000000".into()),
        ("methods.0.overdueCriticality", "0.5".into()),
        ("methods.0.criticality", "1".into()),
    ];
    let pairs = pairs.iter().map(|(path, value)| (*path, value.as_str()));
    Terms::decode(pairs, &mut Places::default()).expect("the terms are complete")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { instance: usize },
    ExtraRequest { instance: usize },
    Response { instance: usize, incarnation: usize, request: usize, attempt: usize },
    Wake { instance: usize, incarnation: usize },
    ListUpdate { instance: usize },
    Restarts { instance: usize },
}

struct Instance {
    balancer: Balancer,
    incarnation: usize,
    attempts: HashMap<usize, usize>,
    next_request: usize,
    knows_start: bool,
    weight: f64,
}

struct World {
    case: Case,
    rng: Rand64,
    terms: Terms,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    scheduled: u64,
    instances: Vec<Instance>,
    started: Moment,
    burst_start: Moment,
    weights: f64,
    to_cold: Vec<Moment>,
    to_warm: usize,
    arrived: usize,
    rejected: usize,
}

impl World {
    fn new(case: Case, seed: u64) -> World {
        // Danger: the balancer uses the same generator, so this seed must differ from the balancers' seeds.
        // Otherwise their draws would be correlated with the traffic.
        let mut rng = Rand64::new(u128::from(seed) << 64 | 0x5eed);
        let started = Moment::default() + LEAD_TIME;
        // A burst begins when credit may have accumulated, and at least one window before slow start ends.
        let burst_start = started + COLD * (0.2 + 0.6 * rng.rand_float());
        let terms = terms(case.instances);
        let mut world = World {
            case,
            terms,
            now: Moment::default(),
            events: BinaryHeap::new(),
            scheduled: 0,
            instances: Vec::new(),
            started,
            burst_start,
            weights: 0.0,
            to_cold: Vec::new(),
            to_warm: 0,
            arrived: 0,
            rejected: 0,
            rng,
        };
        for instance in 0..case.instances {
            let weight = if case.uneven { 1.0 + 9.0 * world.rng.rand_float() } else { 1.0 };
            world.weights += weight;
            let balancer = world.balancer();
            let (attempts, knows_start) = (HashMap::new(), false);
            world.instances.push(Instance {
                balancer,
                incarnation: 0,
                attempts,
                next_request: 0,
                knows_start,
                weight,
            });
            world.send_list(instance);
            let after = if case.spread { NOTIFICATION_SPREAD * world.rng.rand_float() } else { Span::ZERO };
            world.schedule(started + after, Event::ListUpdate { instance });
            if case.restarts {
                let step = (instance * RESTART_STEPS / case.instances) as f64 / RESTART_STEPS as f64;
                world.schedule(started + COLD * step, Event::Restarts { instance });
            }
            let at_once = match case.traffic {
                Traffic::Steady | Traffic::Burst | Traffic::Idle => 0,
                Traffic::Touch => 1,
                Traffic::Herd => world.rng.rand_range(1..MAX_HERD + 1),
            };
            for _ in 0..at_once {
                let at = burst_start + HERD_SPREAD * world.rng.rand_float();
                world.schedule(at, Event::ExtraRequest { instance });
            }
        }
        (0..case.instances).for_each(|instance| world.next_arrival(instance));
        world
    }

    fn balancer(&mut self) -> Balancer {
        let seed = self.rng.rand_u64();
        Balancer::new(self.now, self.terms.clone(), seed)
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    /// Sends an instance the complete list, with the cold endpoint if it has started and the instance knows of it.
    fn send_list(&mut self, instance: usize) {
        let gone = self.now + ABSENCE >= self.started;
        let i = &mut self.instances[instance];
        i.balancer.list_begin(true);
        for at in 0..self.case.warm {
            i.balancer.list_entry(self.now, at, Entry { name_hash: at as u32, ..Entry::default() });
        }
        let started = i.knows_start.then_some(self.started);
        if i.knows_start || self.case.back && !gone {
            let mark = self.case.warm as u32;
            i.balancer.list_entry(
                self.now,
                self.case.warm,
                Entry { started, name_hash: mark, ..Entry::default() },
            );
        }
        i.balancer.list_end(self.now);
        self.run_decisions(instance);
    }

    /// The current traffic relative to normal.
    fn traffic(&self) -> f64 {
        match (self.case.traffic, self.now < self.burst_start) {
            (Traffic::Steady, _) | (Traffic::Burst, true) => 1.0,
            (Traffic::Idle | Traffic::Touch | Traffic::Herd, true) => IDLE,
            (_, false) => BURST,
        }
    }

    fn next_arrival(&mut self, instance: usize) {
        let capacity = self.case.budget / COLD_START / OVERLOAD_MULTIPLE / OVERLOAD_WINDOW.secs();
        let all = self.case.load * capacity * self.case.warm as f64 * BURST;
        let rate = all * self.instances[instance].weight / self.weights;
        let gap = -(1.0 - self.rng.rand_float()).ln() / rate;
        let at = self.now + Span::from_nanos((gap * 1e9) as u64);
        self.schedule(at, Event::Arrives { instance });
    }

    fn add_request(&mut self, instance: usize) {
        let i = &mut self.instances[instance];
        let request = i.next_request;
        i.next_request += 1;
        i.balancer.arrival(
            self.now,
            request,
            RequestInfo { left: Span::from_millis(3000), ..RequestInfo::default() },
        );
        self.arrived += usize::from(self.now >= self.started);
        self.run_decisions(instance);
    }

    fn run_decisions(&mut self, instance: usize) {
        while let Some(decision) = self.instances[instance].balancer.next_decision(self.now) {
            let i = &mut self.instances[instance];
            let incarnation = i.incarnation;
            match decision {
                Decision::Send { request, endpoint, .. } => {
                    let attempt = i.attempts.entry(request).or_default();
                    let answers = Event::Response { instance, incarnation, request, attempt: *attempt };
                    *attempt += 1;
                    if self.now >= self.started {
                        if endpoint == self.case.warm {
                            self.to_cold.push(self.now);
                        } else {
                            self.to_warm += 1;
                        }
                    }
                    self.schedule(self.now + RESPONSE_TIME, answers);
                }
                Decision::Reject { .. } | Decision::Fail { .. } => {
                    self.rejected += usize::from(self.now >= self.started);
                }
                Decision::ForgetRequest { request } => {
                    i.attempts.remove(&request);
                }
                Decision::Wake { at } => {
                    self.schedule(at.max(self.now), Event::Wake { instance, incarnation })
                }
                _ => {}
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrives { instance } => {
                self.next_arrival(instance);
                if self.rng.rand_float() * BURST < self.traffic() {
                    self.add_request(instance);
                }
            }
            Event::ExtraRequest { instance } => self.add_request(instance),
            Event::Response { instance, incarnation, request, attempt } => {
                let i = &mut self.instances[instance];
                if i.incarnation == incarnation {
                    i.balancer.outcome(self.now, request, attempt, Outcome::Success, true);
                    self.run_decisions(instance);
                }
            }
            Event::Wake { instance, incarnation } => {
                let i = &mut self.instances[instance];
                if i.incarnation == incarnation {
                    i.balancer.wake(self.now);
                    self.run_decisions(instance);
                }
            }
            Event::ListUpdate { instance } => {
                self.instances[instance].knows_start = true;
                self.send_list(instance);
            }
            Event::Restarts { instance } => {
                let balancer = self.balancer();
                let i = &mut self.instances[instance];
                (i.balancer, i.knows_start) = (balancer, true);
                i.incarnation += 1;
                i.attempts.clear();
                self.send_list(instance);
            }
        }
    }

    fn result(&self) -> Played {
        let ends = (self.started + COLD).since(self.started);
        let in_window = |end: Moment| {
            let from = self.to_cold.partition_point(|at| *at + OVERLOAD_WINDOW <= end);
            self.to_cold.partition_point(|at| *at <= end) - from
        };
        // Danger: N grows during a window. The strict bound uses its smallest value, at the start of the window.
        let bound_at = |end: Moment| bound(budget(&self.case, end.since(self.started).less(OVERLOAD_WINDOW)));
        let sums = self.to_cold.iter().map(|at| (in_window(*at) as f64 / bound_at(*at), in_window(*at)));
        let (worst, sum) = sums.fold((0.0, 0), |most, one| if one.0 > most.0 { one } else { most });
        let samples = 1 + (ends.nanos() / SAMPLE_INTERVAL.nanos()) as usize;
        let end = |sample: usize| self.started + SAMPLE_INTERVAL * sample as f64;
        let over =
            (0..samples).filter(|sample| in_window(end(*sample)) as f64 > bound_at(end(*sample))).count();
        let mean_share = (1.0 + COLD_START) / 2.0;
        let due = self.to_warm as f64 / self.case.warm as f64 * mean_share;
        let fed = (self.to_cold.len() as f64, due);
        let rejected = self.rejected as f64 / (self.arrived as f64).max(1.0);
        Played { worst, sum, windows: samples, over, fed, rejected }
    }
}

/// Simulates a case once, until the endpoint is warm.
pub fn play(case: Case, seed: u64) -> Played {
    let mut world = World::new(case, seed);
    // A returning endpoint is first absent from all instances' lists for a while.
    let (gone, ends) = (Moment::default() + LEAD_TIME.less(ABSENCE), world.started + COLD);
    let mut there = case.back;
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at >= ends {
            break;
        }
        if there && at >= gone {
            there = false;
            world.now = gone;
            (0..case.instances).for_each(|instance| world.send_list(instance));
        }
        world.now = at;
        world.handle_event(event);
    }
    world.result()
}

/// All cases of the table for these numbers of instances, at a load.
pub fn grid(instances: &[usize], load: f64) -> Vec<Case> {
    let mut cases = Vec::new();
    for traffic in [Traffic::Steady, Traffic::Burst, Traffic::Idle, Traffic::Touch, Traffic::Herd] {
        for &instances in instances {
            for budget in [1.0, 2.0, 4.0, 10.0, 20.0, 40.0] {
                for flags in 0..32_u8 {
                    let [uneven, spread, restarts, back, many] = [1, 2, 4, 8, 16].map(|bit| flags & bit != 0);
                    let warm = WARM[usize::from(many)];
                    cases.push(Case {
                        instances,
                        warm,
                        budget,
                        load,
                        traffic,
                        uneven,
                        spread,
                        restarts,
                        back,
                    });
                }
            }
        }
    }
    cases
}

/// Formats rows as text: per traffic, number of instances, warm endpoints and N, the case that was worst at quantile 0.99.
pub fn table(rows: &[Row]) -> String {
    let mut worst: Vec<(&Row, usize, usize)> = Vec::new();
    for row in rows {
        let alike = |(other, ..): &&mut (&Row, usize, usize)| {
            let (one, other) = (row.case, other.case);
            (one.traffic, one.instances, one.warm, one.budget)
                == (other.traffic, other.instances, other.warm, other.budget)
        };
        let over = usize::from(row.worst[2] > 1.0);
        match worst.iter_mut().find(alike) {
            Some((most, cases, all)) => {
                (*cases, *all) = (*cases + over, *all + 1);
                if row.worst[2] > most.worst[2] {
                    *most = row;
                }
            }
            None => worst.push((row, over, 1)),
        }
    }
    let mut text =
        "traffic instances warm N | worst case: sum/bound at 0.5 0.9 0.99 max | seeds over | windows over | \
        fed | rejected | case | cases over at 0.99"
            .to_string();
    for (Row { case, worst, seeds_over, windows_over, fed, rejected, .. }, over, all) in worst {
        let flags = [
            (case.uneven, "uneven"),
            (case.spread, "spread"),
            (case.restarts, "restarts"),
            (case.back, "back"),
        ];
        let flags: Vec<_> = flags.iter().filter(|(is, _)| *is).map(|(_, name)| *name).collect();
        let [half, most, nearly, all_of] = worst;
        text += &format!(
            "\n{:?} {} {} {} | {half:.2} {most:.2} {nearly:.2} {all_of:.2} | {seeds_over:.3} | {windows_over:.4} | \
             {fed:.2} | {rejected:.3} | {} | {over} of {all}",
            case.traffic,
            case.instances,
            case.warm,
            case.budget,
            flags.join(" "),
        );
    }
    text
}
