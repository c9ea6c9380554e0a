//! One cold endpoint among warm ones, in virtual time: what many instances, each with its own `Balancer`, send to it
//! together in any fall window, against what it is taken to bear. Pure: no sockets, no files, no clock of its own.
//!
//! Endpoints answer all at once after the same time, the cold one too: nothing but the instances' own credit holds
//! back what it gets. Each request is of mean work.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, Entry, Outcome, RequestInfo};
use oorandom::Rand64;
use serde::Serialize;

/// Endpoints that are warm all along: fewer than a circle holds at least, and more than it does where there are many
/// instances.
const WARM: [usize; 2] = [3, 20];
/// Times its present capacity that a cold endpoint may be given in a fall window, its share at the start, and how long
/// it is cold and a fall window is: within what sites state.
const MULTIPLE: f64 = 3.0;
const COLD_START: f64 = 0.4;
const COLD: Span = Span::from_millis(7000);
const FALL_WINDOW: Span = Span::from_millis(1500);
/// What any endpoint takes for any request.
const ANSWERS_IN: Span = Span::from_millis(20);
/// Before the start: enough for the instances to know what they send, and for the one that is to start to be gone.
const BEFORE: Span = Span::from_millis(9000);
const GONE_FOR: Span = Span::from_millis(4000);
/// Until all have been told of the start, where they are told one after another.
const TOLD_OVER: Span = Span::from_millis(2000);
/// Traffic of idle instances before a burst, as a part of the usual; of a burst.
const IDLE: f64 = 0.05;
const BURST: f64 = 1.5;
/// Requests of one instance in the moment of a herd, at the most, and how long that moment is.
const HERD_MOST: u64 = 10;
const HERD_OVER: Span = Span::from_millis(50);
/// Steps of instances that restart, from the start on until the endpoint is warm.
const RESTART_STEPS: usize = 10;
/// Between two windows that are looked at.
const LOOK_EVERY: Span = Span::from_millis(100);

/// What the traffic does while the endpoint is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Traffic {
    Steady,
    /// Half as much again, from a moment on.
    Burst,
    /// Next to none up to a moment, then a burst.
    Idle,
    /// The same, and in that moment one request at each instance.
    Touch,
    /// The same, and in that moment one to ten requests at each instance, whatever the endpoints can do.
    Herd,
}

/// What is played: one cell of the table.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    pub instances: usize,
    /// Endpoints that are warm all along.
    pub warm: usize,
    /// N at the start: the requests of mean work that the cold endpoint may be given in a fall window then.
    pub budget: f64,
    /// Of the capacity of all warm endpoints, that the steady traffic takes.
    pub load: f64,
    pub traffic: Traffic,
    /// Instances see from one to ten parts of the traffic, each drawn; else all see as much.
    pub uneven: bool,
    /// Instances are told of the start one after another; else all at once.
    pub spread: bool,
    /// Instances restart in steps and forget what they have sent.
    pub restarts: bool,
    /// The endpoint comes back at the place in the list that it had; else it is new there.
    pub back: bool,
}

/// What one seed came to.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Played {
    /// The greatest sum of any window against its bound, and that sum.
    pub worst: f64,
    pub sum: usize,
    /// Windows that were looked at, and of these such over their bound.
    pub windows: usize,
    pub over: usize,
    /// Sends to the cold endpoint while it was cold, and its share of what the warm ones got in the mean.
    pub fed: (f64, f64),
    /// Requests that were rejected, of all from the start on.
    pub rejected: f64,
}

/// Of many seeds of a case.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Row {
    pub case: Case,
    pub seeds: usize,
    /// The quantiles 0.5, 0.9, 0.99 and 1 over the seeds of the worst sum against its bound.
    pub worst: [f64; 4],
    /// Share of seeds, and of windows, over the bound.
    pub seeds_over: f64,
    pub windows_over: f64,
    pub fed: f64,
    pub rejected: f64,
}

impl Row {
    /// # Panics
    /// Without any seed played.
    pub fn of(case: Case, played: &[Played]) -> Row {
        assert!(!played.is_empty(), "a row is of one seed at least");
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

/// What is put down to chance where `n` requests may be given.
pub fn bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// N at so long after the start.
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
        ("rules.overloadForNs", FALL_WINDOW.nanos().to_string()),
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
    Terms::decode(pairs, &mut Places::default()).expect("the terms are whole")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { instance: usize },
    Comes { instance: usize },
    Answers { instance: usize, life: usize, request: usize, attempt: usize },
    Wakes { instance: usize, life: usize },
    Told { instance: usize },
    Restarts { instance: usize },
}

struct Instance {
    balancer: Balancer,
    life: usize,
    attempts: HashMap<usize, usize>,
    next_request: usize,
    told: bool,
    weight: f64,
}

struct World {
    case: Case,
    chance: Rand64,
    terms: Terms,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    scheduled: u64,
    instances: Vec<Instance>,
    started: Moment,
    turns: Moment,
    weights: f64,
    to_cold: Vec<Moment>,
    to_warm: usize,
    arrived: usize,
    rejected: usize,
}

impl World {
    fn new(case: Case, seed: u64) -> World {
        // Danger: the module draws from the same source, so a seed of its own must not be this one.
        let mut chance = Rand64::new(u128::from(seed) << 64 | 0x5eed);
        let started = Moment::default() + BEFORE;
        // A burst begins once some credit may have been saved up, and with a window to come.
        let turns = started + COLD * (0.2 + 0.6 * chance.rand_float());
        let terms = terms(case.instances);
        let mut world = World {
            case,
            terms,
            now: Moment::default(),
            events: BinaryHeap::new(),
            scheduled: 0,
            instances: Vec::new(),
            started,
            turns,
            weights: 0.0,
            to_cold: Vec::new(),
            to_warm: 0,
            arrived: 0,
            rejected: 0,
            chance,
        };
        for instance in 0..case.instances {
            let weight = if case.uneven { 1.0 + 9.0 * world.chance.rand_float() } else { 1.0 };
            world.weights += weight;
            let balancer = world.balancer();
            let (attempts, told) = (HashMap::new(), false);
            world.instances.push(Instance { balancer, life: 0, attempts, next_request: 0, told, weight });
            world.lists(instance);
            let after = if case.spread { TOLD_OVER * world.chance.rand_float() } else { Span::ZERO };
            world.schedule(started + after, Event::Told { instance });
            if case.restarts {
                let step = (instance * RESTART_STEPS / case.instances) as f64 / RESTART_STEPS as f64;
                world.schedule(started + COLD * step, Event::Restarts { instance });
            }
            let at_once = match case.traffic {
                Traffic::Steady | Traffic::Burst | Traffic::Idle => 0,
                Traffic::Touch => 1,
                Traffic::Herd => world.chance.rand_range(1..HERD_MOST + 1),
            };
            for _ in 0..at_once {
                let at = turns + HERD_OVER * world.chance.rand_float();
                world.schedule(at, Event::Comes { instance });
            }
        }
        (0..case.instances).for_each(|instance| world.next_arrival(instance));
        world
    }

    fn balancer(&mut self) -> Balancer {
        let seed = self.chance.rand_u64();
        Balancer::new(self.now, self.terms.clone(), seed)
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    /// An instance hears the whole list, with the cold endpoint as far as that has started and is told.
    fn lists(&mut self, instance: usize) {
        let gone = self.now + GONE_FOR >= self.started;
        let i = &mut self.instances[instance];
        i.balancer.list_begin(true);
        for at in 0..self.case.warm {
            i.balancer.list_entry(self.now, at, Entry { name_hash: at as u32, ..Entry::default() });
        }
        let started = i.told.then_some(self.started);
        if i.told || self.case.back && !gone {
            let mark = self.case.warm as u32;
            i.balancer.list_entry(
                self.now,
                self.case.warm,
                Entry { started, name_hash: mark, ..Entry::default() },
            );
        }
        i.balancer.list_end(self.now);
        self.pull(instance);
    }

    /// The most that traffic can be, of the usual, and what it is by now.
    fn traffic(&self) -> f64 {
        match (self.case.traffic, self.now < self.turns) {
            (Traffic::Steady, _) | (Traffic::Burst, true) => 1.0,
            (Traffic::Idle | Traffic::Touch | Traffic::Herd, true) => IDLE,
            (_, false) => BURST,
        }
    }

    fn next_arrival(&mut self, instance: usize) {
        let capacity = self.case.budget / COLD_START / MULTIPLE / FALL_WINDOW.secs();
        let all = self.case.load * capacity * self.case.warm as f64 * BURST;
        let rate = all * self.instances[instance].weight / self.weights;
        let gap = -(1.0 - self.chance.rand_float()).ln() / rate;
        let at = self.now + Span::from_nanos((gap * 1e9) as u64);
        self.schedule(at, Event::Arrives { instance });
    }

    fn comes(&mut self, instance: usize) {
        let i = &mut self.instances[instance];
        let request = i.next_request;
        i.next_request += 1;
        i.balancer.arrival(
            self.now,
            request,
            RequestInfo { left: Span::from_millis(3000), ..RequestInfo::default() },
        );
        self.arrived += usize::from(self.now >= self.started);
        self.pull(instance);
    }

    fn pull(&mut self, instance: usize) {
        while let Some(decision) = self.instances[instance].balancer.next_decision(self.now) {
            let i = &mut self.instances[instance];
            let life = i.life;
            match decision {
                Decision::Send { request, endpoint, .. } => {
                    let attempt = i.attempts.entry(request).or_default();
                    let answers = Event::Answers { instance, life, request, attempt: *attempt };
                    *attempt += 1;
                    if self.now >= self.started {
                        if endpoint == self.case.warm {
                            self.to_cold.push(self.now);
                        } else {
                            self.to_warm += 1;
                        }
                    }
                    self.schedule(self.now + ANSWERS_IN, answers);
                }
                Decision::Reject { .. } | Decision::Fail { .. } => {
                    self.rejected += usize::from(self.now >= self.started);
                }
                Decision::ForgetRequest { request } => {
                    i.attempts.remove(&request);
                }
                Decision::Wake { at } => self.schedule(at.max(self.now), Event::Wakes { instance, life }),
                _ => {}
            }
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrives { instance } => {
                self.next_arrival(instance);
                if self.chance.rand_float() * BURST < self.traffic() {
                    self.comes(instance);
                }
            }
            Event::Comes { instance } => self.comes(instance),
            Event::Answers { instance, life, request, attempt } => {
                let i = &mut self.instances[instance];
                if i.life == life {
                    i.balancer.outcome(self.now, request, attempt, Outcome::Success, true);
                    self.pull(instance);
                }
            }
            Event::Wakes { instance, life } => {
                let i = &mut self.instances[instance];
                if i.life == life {
                    i.balancer.wake(self.now);
                    self.pull(instance);
                }
            }
            Event::Told { instance } => {
                self.instances[instance].told = true;
                self.lists(instance);
            }
            Event::Restarts { instance } => {
                let balancer = self.balancer();
                let i = &mut self.instances[instance];
                (i.balancer, i.told) = (balancer, true);
                i.life += 1;
                i.attempts.clear();
                self.lists(instance);
            }
        }
    }

    fn tells(&self) -> Played {
        let ends = (self.started + COLD).since(self.started);
        let in_window = |end: Moment| {
            let from = self.to_cold.partition_point(|at| *at + FALL_WINDOW <= end);
            self.to_cold.partition_point(|at| *at <= end) - from
        };
        // Danger: N grows while the window passes; the least of it, at the window's begin, is the strict reading.
        let bound_at = |end: Moment| bound(budget(&self.case, end.since(self.started).less(FALL_WINDOW)));
        let sums = self.to_cold.iter().map(|at| (in_window(*at) as f64 / bound_at(*at), in_window(*at)));
        let (worst, sum) = sums.fold((0.0, 0), |most, one| if one.0 > most.0 { one } else { most });
        let looks = 1 + (ends.nanos() / LOOK_EVERY.nanos()) as usize;
        let end = |look: usize| self.started + LOOK_EVERY * look as f64;
        let over = (0..looks).filter(|look| in_window(end(*look)) as f64 > bound_at(end(*look))).count();
        let mean_share = (1.0 + COLD_START) / 2.0;
        let due = self.to_warm as f64 / self.case.warm as f64 * mean_share;
        let fed = (self.to_cold.len() as f64, due);
        let rejected = self.rejected as f64 / (self.arrived as f64).max(1.0);
        Played { worst, sum, windows: looks, over, fed, rejected }
    }
}

/// Plays a case once, until the endpoint is warm.
pub fn play(case: Case, seed: u64) -> Played {
    let mut world = World::new(case, seed);
    // An endpoint that was there before is gone for a while, at all instances.
    let (gone, ends) = (Moment::default() + BEFORE.less(GONE_FOR), world.started + COLD);
    let mut there = case.back;
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at >= ends {
            break;
        }
        if there && at >= gone {
            there = false;
            world.now = gone;
            (0..case.instances).for_each(|instance| world.lists(instance));
        }
        world.now = at;
        world.happens(event);
    }
    world.tells()
}

/// All cells of the table for so many instances, at a load.
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

/// The rows as text: for each traffic, number of instances and N the case that was worst at the quantile 0.99.
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
