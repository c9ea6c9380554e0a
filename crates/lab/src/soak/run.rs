//! Carries a plan out on real processes.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};

use super::clients::{Clients, Front};
use super::discovery::Discovery;
use super::endpoints::Endpoint;
use super::plan::{Event, Plan};
use super::record::{Effect, ProcessRun, Record, Recorder};
use crate::rig::processes::{Process, Recipe};

/// New connections still come for so long after SIGTERM.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM, counted from the longest deadline, of which this counts at most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_COUNTS: Duration = Duration::from_secs(3);
/// Longest that a process may take until it listens.
const LISTENS_IN: Duration = Duration::from_secs(10);
/// How old the list is that a process is started with.
const KNOWN_AGE: Duration = Duration::from_secs(1);
/// What a crowded sidecar may open, and any other.
const SOCKETS_CROWDED: u64 = 96;
const SOCKETS: u64 = 1024;

/// What is done, in the order of time.
#[derive(Clone, Debug)]
enum Step {
    Happens(Event),
    GoOn(usize),
    FrontNotices(usize),
    KillLeft(usize),
}

struct Sidecar {
    process: Option<Process>,
    process_run: Option<ProcessRun>,
    file: PathBuf,
    discovery: SocketAddr,
}

struct Run<'a> {
    plan: &'a Plan,
    program: &'a Path,
    recorder: Recorder,
    discovery: Discovery,
    endpoints: Vec<Endpoint>,
    front: Front,
    sidecars: Vec<Sidecar>,
    crowd: Vec<TcpStream>,
    /// Lists as they were, for processes that start with an old one.
    lists: Vec<(Duration, String, u64)>,
}

/// Plays a plan with this sidecar program, in a folder of its own. Returns what was seen.
///
/// # Errors
/// What could not be made or started.
pub fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Record, String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let recorder = Recorder::default();
    let endpoints: Result<Vec<_>, _> =
        (0..plan.endpoints).map(|number| Endpoint::start(number, &recorder)).collect();
    let endpoints = endpoints.map_err(|e| format!("endpoint: {e}"))?;
    let addresses = endpoints.iter().map(|endpoint| endpoint.at).collect();
    let discovery = Discovery::start(addresses, plan.call_time, plan.queue_most, plan.seed, &recorder);
    let mut sidecars = Vec::new();
    for number in 0..plan.sidecars {
        let at = discovery.address(number).map_err(|e| format!("discovery: {e}"))?;
        let file = folder.join(format!("n{number}.json"));
        sidecars.push(Sidecar { process: None, process_run: None, file, discovery: at });
    }
    let front = Front::new(plan.sidecars);
    let mut run = Run {
        plan,
        program,
        recorder: recorder.clone(),
        discovery,
        endpoints,
        front: front.clone(),
        sidecars,
        crowd: Vec::new(),
        lists: Vec::new(),
    };
    run.keep_list();
    (0..plan.sidecars).try_for_each(|number| run.start(number))?;
    let clients = Clients::start(plan.clients, plan.deadline, plan.seed, &front, &recorder);
    let steps = steps(plan);
    let begun = recorder.now();
    for (at, step) in steps {
        recorder.wait_until(begun + at);
        run.step(step)?;
    }
    recorder.wait_until(begun + plan.lasts);
    clients.stop();
    run.finish();
    let record = recorder.lock().clone();
    Ok(record)
}

/// The plan's events, and what follows from them.
fn steps(plan: &Plan) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for (at, event) in &plan.events {
        match event {
            Event::HoldUp(sidecar, span) => steps.push((*at + *span, Step::GoOn(*sidecar))),
            Event::Leave(sidecar) => {
                let kill = *at + plan.deadline.min(DEADLINE_COUNTS) + KILL_AFTER;
                steps.push((*at + FRONT_NOTICES, Step::FrontNotices(*sidecar)));
                steps.push((kill, Step::KillLeft(*sidecar)));
                steps.push((kill, Step::Happens(Event::Start(*sidecar))));
            }
            _ => {}
        }
        steps.push((*at, Step::Happens(event.clone())));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

impl Run<'_> {
    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Happens(event) => return self.happens(event),
            Step::GoOn(number) => self.process(number).into_iter().for_each(Process::go_on),
            Step::FrontNotices(number) => self.front.set(number, None),
            Step::KillLeft(number) => self.kill(number),
        }
        Ok(())
    }

    fn happens(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::DiscoveryDown => self.discovery.go_down(),
            Event::DiscoveryBack => self.discovery.retry_after(),
            Event::WatchesSilent => self.discovery.watches_fall_silent(),
            Event::WatchesReset => self.discovery.reset_watches(),
            Event::Drains(endpoint) => self.change(endpoint, "draining"),
            Event::Removed(endpoint) => self.change(endpoint, "removed"),
            Event::Returns(endpoint) => self.change(endpoint, "up"),
            Event::Behaves(endpoint, behaviour) => self.endpoints[endpoint].behaves(behaviour),
            Event::Move(number) => return self.move_discovery(number),
            Event::Leave(number) => {
                let now = self.recorder.now();
                self.sidecars[number]
                    .process_run
                    .iter_mut()
                    .for_each(|process_run| process_run.sigterm_at = Some(now));
                self.process(number).into_iter().for_each(|process| process.leave());
            }
            Event::Kill(number) => {
                self.front.set(number, None);
                self.kill(number);
            }
            Event::Start(number) => return self.start(number),
            Event::HoldUp(number, _) => self.process(number).into_iter().for_each(Process::stop),
            Event::Crowd(number, clients) => {
                let at = self.sidecars[number].process.is_some().then(|| self.address(number)).flatten();
                let connect =
                    |at: SocketAddr| TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
                self.crowd.extend((0..clients).filter_map(|_| connect(at?)));
            }
        }
        Ok(())
    }

    fn process(&mut self, number: usize) -> Option<&mut Process> {
        self.sidecars[number].process.as_mut()
    }

    /// Where this sidecar's present process listens, as its log tells.
    fn address(&self, number: usize) -> Option<SocketAddr> {
        let process = self.sidecars[number].process.as_ref()?;
        let line = process.line(0, LISTENS_IN, |line| line.contains("listens on")).ok()?.0;
        line.rsplit(' ').next()?.parse().ok()
    }

    fn change(&mut self, endpoint: usize, status: &str) {
        self.discovery.change(endpoint, status);
        self.keep_list();
    }

    fn keep_list(&mut self) {
        let (text, version) = self.discovery.known();
        self.lists.push((self.recorder.now(), text, version));
    }

    /// The list as it was a while ago.
    fn old_list(&self) -> (&str, u64) {
        let then = self.recorder.now().saturating_sub(KNOWN_AGE);
        let old = self.lists.iter().rev().find(|(at, ..)| *at <= then).unwrap_or(&self.lists[0]);
        (&old.1, old.2)
    }

    fn write_file(&self, number: usize, known: &str) -> Result<(), String> {
        let sidecar = &self.sidecars[number];
        let text = configuration(self.plan, number, sidecar.discovery, known).to_string();
        fs::write(&sidecar.file, text).map_err(|e| format!("{}: {e}", sidecar.file.display()))
    }

    fn start(&mut self, number: usize) -> Result<(), String> {
        let (known, version) = self.old_list();
        let known = known.to_string();
        self.write_file(number, &known)?;
        let file = self.sidecars[number].file.display().to_string();
        let recipe = Recipe::new(&format!("n{number}"), self.program, &["serve", "--config", &file]);
        let started_at = self.recorder.now();
        self.sidecars[number].process = Some(recipe.start()?);
        let at = self.address(number).ok_or_else(|| format!("n{number}: does not listen"))?;
        self.sidecars[number].process_run = Some(ProcessRun {
            sidecar: number,
            started_at,
            sigterm_at: None,
            sigkill_at: None,
            exited: None,
            initial_version: version,
            reconfigured_at: Vec::new(),
            log: Vec::new(),
        });
        self.front.set(number, Some(at));
        Ok(())
    }

    /// SIGHUP, with a file that names another address of discovery.
    fn move_discovery(&mut self, number: usize) -> Result<(), String> {
        if self.sidecars[number].process.is_none() {
            return Ok(());
        }
        self.sidecars[number].discovery =
            self.discovery.address(number).map_err(|e| format!("discovery: {e}"))?;
        let known = self.old_list().0.to_string();
        self.write_file(number, &known)?;
        let now = self.recorder.now();
        self.sidecars[number]
            .process_run
            .iter_mut()
            .for_each(|process_run| process_run.reconfigured_at.push(now));
        self.process(number).into_iter().for_each(|process| process.hang_up());
        Ok(())
    }

    /// SIGKILL, if it has not ended by itself.
    fn kill(&mut self, number: usize) {
        let Some(mut process) = self.sidecars[number].process.take() else { return };
        let ended = process.ended(Duration::ZERO);
        let now = self.recorder.now();
        process.kill();
        self.front.set(number, None);
        let Some(mut process_run) = self.sidecars[number].process_run.take() else { return };
        match ended {
            Some(status) => process_run.exited = Some((status.code(), now)),
            None => process_run.sigkill_at = Some(now),
        }
        process_run.log = process.log();
        self.recorder.lock().process_runs.push(process_run);
    }

    fn finish(&mut self) {
        self.discovery.finish();
        for number in 0..self.sidecars.len() {
            let ended = self.process(number).and_then(|process| process.ended(Duration::ZERO));
            let now = self.recorder.now();
            let Some(process) = self.sidecars[number].process.take() else { continue };
            let Some(mut process_run) = self.sidecars[number].process_run.take() else { continue };
            process_run.exited = ended.map(|status| (status.code(), now));
            process_run.log = process.log();
            self.recorder.lock().process_runs.push(process_run);
        }
    }
}

/// The configuration of a sidecar.
fn configuration(plan: &Plan, number: usize, discovery: SocketAddr, known: &str) -> Value {
    let nanos = |span: Duration| u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    let method = |effect: Effect| {
        let word = match effect {
            Effect::Safe => "retryable",
            Effect::Keyed => "dedup",
            Effect::Unsafe => "fragile",
        };
        json!({"name": effect.class(), "effect": word, "group": "all", "windowNs": nanos(Duration::from_secs(5)),
               "criticality": 1.0, "latencyBudgetNs": nanos(plan.deadline / 2), "deadlineNs": nanos(plan.deadline),
               "overdueCriticality": 0.5})
    };
    let known: Value = serde_json::from_str(known).unwrap_or(Value::Null);
    let sockets = if plan.crowded { SOCKETS_CROWDED } else { SOCKETS };
    json!({
        "name": format!("n{number}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:016x}", plan.seed * 100 + number as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": known,
        "settings": {
            "nInstances": plan.sidecars, "me": number, "tickNs": 1_000_000, "discovery": "subscribe",
            "methods": Effect::ALL.map(method),
            "ceilings": {"cancel": true, "retryAfter": true, "maxRetryAfterNs": 1_000_000_000_u64, "mostWriteOuts": 3,
                         "connIdleNs": 60_000_000_000_u64, "connectTimeoutNs": 200_000_000, "secondCopies": false},
            "rules": {"startCapacity": 0.3, "coldNs": 4_000_000_000_u64, "overloadForNs": 1_000_000_000,
                      "stopSendingWithinNs": nanos(plan.stop_sending),
                      "askWithinNs": nanos(plan.asked_within)}
        }
    })
}
