//! Executes a plan on real processes.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};

use super::clients::{ClientTargets, Clients, flood};
use super::discovery::Discovery;
use super::endpoints::Endpoint;
use super::plan::{Event, Plan};
use super::record::{Effect, ProcessRun, Record, Recorder};
use crate::rig::processes::{Process, ProcessSpec};

/// How long clients still open new connections after SIGTERM.
const CLIENTS_NOTICE: Duration = Duration::from_millis(300);
/// SIGKILL follows SIGTERM after the longest deadline, capped at `DEADLINE_CAP`, plus `KILL_AFTER`.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_CAP: Duration = Duration::from_secs(3);
/// Longest time that a process may take until it listens.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Age of the endpoint list that a process is started with.
const INITIAL_LIST_AGE: Duration = Duration::from_secs(1);
/// Limit on sockets of the sidecars in a plan with idle clients, and in any other plan.
const SOCKETS_WITH_IDLE_CLIENTS: u64 = 96;
const SOCKETS: u64 = 1024;

/// A step of a run: an event of its plan, or what follows from one.
#[derive(Clone, Debug)]
enum Step {
    Event(Event),
    Continue(usize),
    StopNewConnections(usize),
    KillAfterShutdown(usize),
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
    targets: ClientTargets,
    sidecars: Vec<Sidecar>,
    idle_clients: Vec<TcpStream>,
    /// Earlier endpoint lists, for processes that start with an old one.
    lists: Vec<(Duration, String, u64)>,
}

/// Executes a plan with this sidecar program, in a folder of its own. Returns what the fakes observed.
///
/// # Errors
/// Fails if a file, a fake or a process can't be created or started.
pub fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Record, String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let recorder = Recorder::default();
    let endpoints: Result<Vec<_>, _> =
        (0..plan.endpoints).map(|number| Endpoint::start(number, &recorder)).collect();
    let endpoints = endpoints.map_err(|e| format!("endpoint: {e}"))?;
    let addresses = endpoints.iter().map(|endpoint| endpoint.at).collect();
    let discovery = Discovery::start(addresses, plan.call_time, plan.queue_capacity, plan.seed, &recorder);
    let mut sidecars = Vec::new();
    for number in 0..plan.sidecars {
        let at = discovery.address(number).map_err(|e| format!("discovery: {e}"))?;
        let file = folder.join(format!("n{number}.json"));
        sidecars.push(Sidecar { process: None, process_run: None, file, discovery: at });
    }
    let targets = ClientTargets::new(plan.sidecars);
    let mut run = Run {
        plan,
        program,
        recorder: recorder.clone(),
        discovery,
        endpoints,
        targets: targets.clone(),
        sidecars,
        idle_clients: Vec::new(),
        lists: Vec::new(),
    };
    run.save_list();
    (0..plan.sidecars).try_for_each(|number| run.start(number))?;
    let clients = Clients::start(plan, &targets, &recorder);
    let steps = steps(plan);
    let started_at = recorder.now();
    for (at, step) in steps {
        recorder.wait_until(started_at + at);
        run.execute(step)?;
    }
    recorder.wait_until(started_at + plan.duration);
    clients.stop();
    run.finish();
    let record = recorder.lock().clone();
    Ok(record)
}

/// The plan's events and the steps that follow from them, ordered by time.
fn steps(plan: &Plan) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for (at, event) in &plan.events {
        match event {
            Event::Pause(sidecar, span) => steps.push((*at + *span, Step::Continue(*sidecar))),
            Event::Shutdown(sidecar) => {
                let kill = *at + plan.deadline.min(DEADLINE_CAP) + KILL_AFTER;
                steps.push((*at + CLIENTS_NOTICE, Step::StopNewConnections(*sidecar)));
                steps.push((kill, Step::KillAfterShutdown(*sidecar)));
                steps.push((kill, Step::Event(Event::Start(*sidecar))));
            }
            _ => {}
        }
        steps.push((*at, Step::Event(event.clone())));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

impl Run<'_> {
    fn execute(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Event(event) => return self.execute_event(event),
            Step::Continue(number) => self.process(number).into_iter().for_each(Process::resume),
            Step::StopNewConnections(number) => self.targets.set(number, None),
            Step::KillAfterShutdown(number) => self.kill(number),
        }
        Ok(())
    }

    fn execute_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::DiscoveryDown => self.discovery.go_down(),
            Event::DiscoveryUp => self.discovery.come_up(),
            Event::WatchesStall => self.discovery.stall_watches(),
            Event::WatchesReset => self.discovery.reset_watches(),
            Event::Drains(endpoint) => self.change(endpoint, "draining"),
            Event::Removed(endpoint) => self.change(endpoint, "removed"),
            Event::Returns(endpoint) => self.change(endpoint, "up"),
            Event::Behaves(endpoint, behaviour) => self.endpoints[endpoint].set_behaviour(behaviour),
            Event::Reconfigure(number) => return self.reconfigure_discovery(number),
            Event::Shutdown(number) => {
                let now = self.recorder.now();
                self.sidecars[number]
                    .process_run
                    .iter_mut()
                    .for_each(|process_run| process_run.sigterm_at = Some(now));
                self.process(number).into_iter().for_each(|process| process.terminate());
            }
            Event::Kill(number) => {
                self.targets.set(number, None);
                self.kill(number);
            }
            Event::Start(number) => return self.start(number),
            Event::Pause(number, _) => self.process(number).into_iter().for_each(Process::stop),
            Event::ConnectIdleClients(number, clients) => {
                let at = self.sidecars[number].process.is_some().then(|| self.address(number)).flatten();
                let connect =
                    |at: SocketAddr| TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
                self.idle_clients.extend((0..clients).filter_map(|_| connect(at?)));
            }
            Event::Flood(number, span) => {
                let at = self.sidecars[number].process.is_some().then(|| self.address(number)).flatten();
                at.into_iter().for_each(|at| flood(at, span));
            }
        }
        Ok(())
    }

    fn process(&mut self, number: usize) -> Option<&mut Process> {
        self.sidecars[number].process.as_mut()
    }

    /// The address that this sidecar's current process listens at, read from its log.
    fn address(&self, number: usize) -> Option<SocketAddr> {
        let process = self.sidecars[number].process.as_ref()?;
        let line = process.wait_for_line(0, LISTEN_TIMEOUT, |line| line.contains("listens on")).ok()?.0;
        line.rsplit(' ').next()?.parse().ok()
    }

    fn change(&mut self, endpoint: usize, status: &str) {
        self.discovery.change(endpoint, status);
        self.save_list();
    }

    fn save_list(&mut self) {
        let (text, version) = self.discovery.endpoint_list();
        self.lists.push((self.recorder.now(), text, version));
    }

    /// The endpoint list as it was `INITIAL_LIST_AGE` ago.
    fn initial_list(&self) -> (&str, u64) {
        let then = self.recorder.now().saturating_sub(INITIAL_LIST_AGE);
        let old = self.lists.iter().rev().find(|(at, ..)| *at <= then).unwrap_or(&self.lists[0]);
        (&old.1, old.2)
    }

    fn write_file(&self, number: usize, known: &str) -> Result<(), String> {
        let sidecar = &self.sidecars[number];
        let text = configuration(self.plan, number, sidecar.discovery, known).to_string();
        fs::write(&sidecar.file, text).map_err(|e| format!("{}: {e}", sidecar.file.display()))
    }

    fn start(&mut self, number: usize) -> Result<(), String> {
        let (known, version) = self.initial_list();
        let known = known.to_string();
        self.write_file(number, &known)?;
        let file = self.sidecars[number].file.display().to_string();
        let recipe = ProcessSpec::new(&format!("n{number}"), self.program, &["serve", "--config", &file]);
        let started_at = self.recorder.now();
        self.sidecars[number].process = Some(recipe.start()?);
        let at =
            self.address(number).ok_or_else(|| format!("n{number}: didn't report its listening address"))?;
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
        self.targets.set(number, Some(at));
        Ok(())
    }

    /// Sends SIGHUP, with a configuration file that names a new address of discovery.
    fn reconfigure_discovery(&mut self, number: usize) -> Result<(), String> {
        if self.sidecars[number].process.is_none() {
            return Ok(());
        }
        self.sidecars[number].discovery =
            self.discovery.address(number).map_err(|e| format!("discovery: {e}"))?;
        let known = self.initial_list().0.to_string();
        self.write_file(number, &known)?;
        let now = self.recorder.now();
        self.sidecars[number]
            .process_run
            .iter_mut()
            .for_each(|process_run| process_run.reconfigured_at.push(now));
        self.process(number).into_iter().for_each(|process| process.hang_up());
        Ok(())
    }

    /// Sends SIGKILL unless the process has exited on its own.
    fn kill(&mut self, number: usize) {
        let Some(mut process) = self.sidecars[number].process.take() else { return };
        let ended = process.wait_for_exit(Duration::ZERO);
        let now = self.recorder.now();
        process.kill();
        self.targets.set(number, None);
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
            let ended = self.process(number).and_then(|process| process.wait_for_exit(Duration::ZERO));
            let now = self.recorder.now();
            let Some(process) = self.sidecars[number].process.take() else { continue };
            let Some(mut process_run) = self.sidecars[number].process_run.take() else { continue };
            process_run.exited = ended.map(|status| (status.code(), now));
            process_run.log = process.log();
            self.recorder.lock().process_runs.push(process_run);
        }
    }
}

/// The configuration file of a sidecar.
fn configuration(plan: &Plan, number: usize, discovery: SocketAddr, known: &str) -> Value {
    let nanos = |span: Duration| u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    let method = |effect: Effect| {
        let effect_name = match effect {
            Effect::Safe => "retryable",
            Effect::Keyed => "dedup",
            Effect::Unsafe => "fragile",
        };
        json!({"name": effect.class(), "effect": effect_name, "group": "all", "windowNs": nanos(Duration::from_secs(5)),
               "criticality": 1.0, "latencyBudgetNs": nanos(plan.deadline / 2), "deadlineNs": nanos(plan.deadline),
               "overdueCriticality": 0.5})
    };
    let known: Value = serde_json::from_str(known).unwrap_or(Value::Null);
    let sockets = if plan.has_idle_clients { SOCKETS_WITH_IDLE_CLIENTS } else { SOCKETS };
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
                      "askWithinNs": nanos(plan.ask_within)}
        }
    })
}
