//! Runs a scenario of several processes: starts them, injects the faults that the scenario states or the seed draws, and
//! passes the external observations to the judge.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use appledyke_fleet::Version;
use appledyke_fleet::budgets::{self, Budget, Resource};
use appledyke_fleet::drains::{Amount, Group};
use appledyke_fleet::health::{Criteria, RequestCounts};
use appledyke_fleet::members::MemberStatus as Member;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, OperatorReply, OperatorRequest, Report};
use appledyke_fleet::releases::{
    FORMAT, Plan, Release, ReleaseState, ReleaseUpdate, RollbackPolicy, TargetKind,
};
use appledyke_fleet::scopes::{Locality, Scope, ScopedSettings};
use appledyke_fleet::state::{SettingsChange, SettingsVersion, Write, WriteId};
use oorandom::Rand64;
use serde::Deserialize;

use super::fleet::{Daemons, FLEET, Shape, WAIT_TIMEOUT, ask};
use super::folders;
use super::judge::{
    BudgetUsage, Observation, Outcome, Record, RecordedRead, RecordedWrite, ReleaseSummary, Violation, judge,
};
use super::links::{Flow, LinkState};
use super::operators::Operators;
use super::sidecars::{Clients, Endpoint, Sidecars, health, max_in_window};

/// How often faults that are due and health checks are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a write is retried: longer than an election with lost messages.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between reads of the history: fewer versions are written in that time than the daemons retain.
const HISTORY_INTERVAL: Duration = Duration::from_millis(400);
const HEARTBEAT_MS: u64 = 80;
/// How long a halted release stays halted before the operator resumes it or rolls it back.
const HALT_MS: u64 = 800;
/// Difference in delivery delay between two attempts on a busy machine. Budget windows are shortened by it when counting.
const DELIVERY_JITTER: Duration = Duration::from_millis(60);
/// Longest duration of the paired run without faults; its served share settles well within that.
const MAX_PAIRED_RUN_MS: u64 = 60_000;
/// Bounds of a drawn fault's duration, as multiples of the election timeout: some end before they are detected, some outlast
/// every lease.
const MIN_FAULT_ELECTIONS: f64 = 0.3;
const MAX_FAULT_ELECTIONS: f64 = 6.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL, then a restart.
    Kill,
    /// As `Kill`, for all daemons at once.
    KillAll,
    /// Paused and continued.
    Stop,
    /// Asked to leave, then restarted.
    Leave,
    /// Killed, then restarted with an empty data folder.
    Empty,
    /// Killed, then restarted with an earlier copy of its data folder.
    OldCopy,
    /// Killed, then restarted with both copies of its log corrupted.
    Damage,
    /// Killed, then restarted with one copy of its log truncated.
    CutShort,
    /// Partitioned from all other daemons without connection errors; members and operators still reach it.
    Around,
    /// Partitioned from one other daemon, in both directions.
    Between,
    /// Its messages to the other daemons are held and delivered late; it still receives theirs.
    OneWay,
    /// Its connections to the others are reset.
    Reset,
    /// Its links to the others are slow.
    Slow,
    /// Its replies to members and operators are held and delivered late.
    Door,
    /// SIGKILL to a sidecar, then a restart.
    KillSidecar,
    StopSidecar,
    /// The service of the endpoint list closes all watches and answers no request.
    ListAway,
}

const KINDS: [Kind; 17] = [
    Kind::ListAway,
    Kind::Kill,
    Kind::KillAll,
    Kind::Stop,
    Kind::Leave,
    Kind::Empty,
    Kind::OldCopy,
    Kind::Damage,
    Kind::CutShort,
    Kind::Around,
    Kind::Between,
    Kind::OneWay,
    Kind::Reset,
    Kind::Slow,
    Kind::Door,
    Kind::KillSidecar,
    Kind::StopSidecar,
];

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// Replica id of the affected daemon; by default the leader at that time.
    #[serde(default)]
    pub place: Option<u16>,
    /// Index of the sidecar, for faults of sidecars.
    #[serde(default)]
    pub sidecar: Option<usize>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub daemons: u16,
    pub sidecars: usize,
    /// How many sidecars get no drawn fault; the share that these serve is compared with the paired run.
    #[serde(default)]
    pub spared: usize,
    pub endpoints: usize,
    pub length_ms: u64,
    /// Interval between the writes of an operator; there are two operators.
    pub put_every_ms: u64,
    pub election_ms: u64,
    pub compact_every: u64,
    /// Budgets written at the start and with every write.
    #[serde(default)]
    pub budget: Vec<Budget>,
    /// If set, sidecars are released one version after another throughout the run, with at most so many out of service at once.
    #[serde(default)]
    pub release_most: Option<u32>,
    /// Writes alternate between settings for the whole fleet and for its scopes, and sidecars belong to these scopes.
    #[serde(default)]
    pub scopes: bool,
    /// Number of faults drawn from the seed, in addition to `fault`.
    #[serde(default)]
    pub drawn: usize,
    /// Kinds of drawn faults; all kinds if empty.
    #[serde(default)]
    pub kinds: Vec<Kind>,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

impl Scenario {
    /// # Errors
    /// The file and the invalid key.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        Scenario::parse(&text).map_err(named)
    }

    /// # Errors
    /// The invalid key.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let reader = toml::Deserializer::parse(text).map_err(|e| e.message().to_string())?;
        let read: Scenario = serde_path_to_error::deserialize(reader)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        if !(1..=9).contains(&read.daemons) {
            return Err(format!("daemons: expected 1 to 9, not {}", read.daemons));
        }
        if read.spared > read.sidecars {
            return Err(format!("spared: there are {} sidecars", read.sidecars));
        }
        budgets::check(&read.budget)?;
        if read.endpoints == 0 {
            return Err("endpoints: expected at least one".to_string());
        }
        for (at, fault) in read.fault.iter().enumerate() {
            if fault.place.is_some_and(|replica| !(1..=read.daemons).contains(&replica)) {
                return Err(format!("fault[{at}].place: there are {} daemons", read.daemons));
            }
            if fault.sidecar.is_some_and(|sidecar| sidecar >= read.sidecars) {
                return Err(format!("fault[{at}].sidecar: there are {} sidecars", read.sidecars));
            }
            if fault.at_ms + fault.for_ms > read.length_ms {
                return Err(format!("fault[{at}].for_ms: the fault ends after the end of the run"));
            }
        }
        Ok(read)
    }

    /// Returns the stated and the drawn faults, ordered by start time.
    fn faults(&self, random: &mut Rand64) -> Vec<Fault> {
        let kinds = if self.kinds.is_empty() { &KINDS[..] } else { &self.kinds[..] };
        let mut all = self.fault.clone();
        for _ in 0..self.drawn {
            let kind = kinds[random.rand_range(0..kinds.len() as u64) as usize];
            let last =
                MIN_FAULT_ELECTIONS + (MAX_FAULT_ELECTIONS - MIN_FAULT_ELECTIONS) * random.rand_float();
            let for_ms = ((self.election_ms as f64 * last) as u64).min(self.length_ms / 2);
            let at_ms = random.rand_range(0..(self.length_ms - for_ms).max(1));
            // 60 percent of the faults hit a drawn replica, the others the leader.
            let drawn = 1 + random.rand_range(0..u64::from(self.daemons)) as u16;
            let replica = (random.rand_float() < 0.6).then_some(drawn);
            let eligible = (self.sidecars - self.spared) as u64;
            let sidecar = (eligible > 0).then(|| self.spared + random.rand_range(0..eligible) as usize);
            all.push(Fault { kind, at_ms, for_ms, place: replica, sidecar });
        }
        all.sort_by_key(|fault| fault.at_ms);
        all
    }
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    pub violations: Vec<Violation>,
    /// Injected faults with time and target, and faults skipped because of another active one.
    pub fault_log: Vec<String>,
    /// Writes that were committed, refused, and with unknown outcome.
    pub writes: [usize; 3],
    pub reads: usize,
    pub versions: usize,
    pub observations: usize,
    /// Requests: (served, all); `paired` is of the paired run without faults.
    pub served: (u64, u64),
    pub paired: (u64, u64),
    pub entries: u64,
    /// Resource, peak use at once or in a window, and quota of each budget.
    pub budget_usage: Vec<(String, u64, u64)>,
    /// Releases that ended, halts, and the most sidecars without injected faults that were out of service at once.
    pub releases: Option<(usize, usize, usize)>,
}

impl RunResult {
    pub fn json(&self) -> serde_json::Value {
        let violations: Vec<_> =
            self.violations.iter().map(|b| serde_json::json!({"check": b.check, "what": b.detail})).collect();
        serde_json::json!({
            "broken": violations, "struck": self.fault_log, "committed": self.writes[0], "refused": self.writes[1],
            "unknown": self.writes[2], "reads": self.reads, "versions": self.versions, "told": self.observations,
            "uses": self.budget_usage, "releases": self.releases, "served": self.served.0, "reqs": self.served.1,
            "pairedServed": self.paired.0, "pairedReqs": self.paired.1, "entries": self.entries,
        })
    }
}

/// The programs to run, and the folder of the run's files.
pub struct Environment<'a> {
    pub daemon: &'a Path,
    pub sidecar: &'a Path,
    pub folder: &'a Path,
    /// Base configuration of every sidecar.
    pub base: &'a str,
}

/// State shared by the threads that write, read and poll while faults are injected.
struct Watchers {
    start: Instant,
    stop: AtomicBool,
    addresses: BTreeMap<u16, SocketAddr>,
    record: Mutex<Record>,
    budgets: Vec<Budget>,
    groups: Vec<Group>,
    /// Writes go to these scopes in turn.
    scopes: Vec<Scope>,
    next_write: AtomicU64,
    /// Sidecars with an injected fault, until they are healthy again; the value is whether the fault is still active.
    faulted: Mutex<BTreeMap<String, bool>>,
    /// Most sidecars without injected faults that were out of service at once, with their names and the time.
    peak_out: Mutex<(usize, String)>,
}

/// Returns the scopes that writes go to in turn.
fn scopes(scoped: bool) -> Vec<Scope> {
    let (zone, service) = (|| Scope::Zone("z1".into()), |name: &str| Scope::Service(name.into()));
    match scoped {
        false => vec![Scope::All],
        true => vec![Scope::All, service("v0"), zone(), service("v1")],
    }
}

/// Returns the `belongs` setting of a sidecar: sidecars alternate between two services, and every third is in a zone too.
fn locality(number: usize) -> serde_json::Value {
    let mut locality = serde_json::json!({"service": format!("v{}", number % 2)});
    if number.is_multiple_of(3) {
        locality["zone"] = "z1".into();
    }
    locality
}

fn settings_version(scoped: ScopedSettings) -> SettingsVersion {
    let ScopedSettings { version, settings, author, reason, at_ms, rollback_to } = scoped;
    let (settings, budgets, groups) = (settings.unwrap_or_default(), Vec::new(), Vec::new());
    SettingsVersion { version, settings, budgets, groups, author, reason, at_ms, rollback_to }
}

impl Watchers {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn update_record(&self, change: impl FnOnce(&mut Record)) {
        change(&mut self.record.lock().expect("no thread panics with the record"));
    }

    /// Asks all daemons in turn until one gives a final reply. On a timeout, returns whether the request may have been applied.
    fn ask(&self, request: &OperatorRequest, within: Duration) -> Result<OperatorReply, bool> {
        let until = Instant::now() + within;
        // Whether a daemon may have applied the request without a reply.
        let mut may_be_applied = false;
        let mut places: Vec<u16> = self.addresses.keys().copied().collect();
        while Instant::now() < until {
            for replica in places.clone() {
                match ask(self.addresses[&replica], request, REPLY_TIMEOUT) {
                    Ok(OperatorReply::NotLeader(Some(leader))) => {
                        places.sort_by_key(|replica| *replica != leader)
                    }
                    Ok(OperatorReply::NotLeader(None)) => {}
                    Ok(OperatorReply::Unknown(_)) => may_be_applied = true,
                    // Danger: a request that one daemon finds invalid may have been accepted by another before.
                    Ok(OperatorReply::Invalid(_)) if may_be_applied => {}
                    Ok(reply) => return Ok(reply),
                    // The request may have been accepted before the connection broke.
                    Err(_) => may_be_applied = true,
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(may_be_applied)
    }

    fn write(&self, random: &mut Rand64) {
        let number = self.next_write.fetch_add(1, Ordering::Relaxed);
        let reason = format!("write {number}");
        let cold_ns = 8_000_000_000_u64 + number;
        let settings = format!(
            "{{\"rules\": {{\"startCapacity\": 0.3, \"coldNs\": {cold_ns}, \"overloadForNs\": 1500000000}}}}"
        );
        // One in ten writes expects an outdated version and is refused.
        let expects = (random.rand_float() < 0.1).then_some(Version { generation: 0, number: 0 });
        let id = WriteId(9, number);
        let write = Write {
            id,
            expected_version: expects,
            author: "rig".into(),
            reason: reason.clone(),
            at_ms: 0,
            change: SettingsChange::Put(settings, self.budgets.clone(), self.groups.clone()),
        };
        let request = match &self.scopes[number as usize % self.scopes.len()] {
            Scope::All => OperatorRequest::Write(write),
            scope => OperatorRequest::WriteScoped { scope: scope.clone(), write },
        };
        let started_at = self.now();
        let outcome = match self.ask(&request, WRITE_TIMEOUT) {
            Ok(OperatorReply::Committed(version)) => Outcome::Committed(version),
            Ok(OperatorReply::Refused(_) | OperatorReply::Invalid(_)) | Err(false) => Outcome::Refused,
            _ => Outcome::Unknown,
        };
        let ended_at = self.now();
        self.update_record(|record| {
            record.writes.push(RecordedWrite { reason, started_at, ended_at, outcome })
        });
    }

    fn read(&self) {
        let started_at = self.now();
        let request =
            if self.scopes.len() > 1 { OperatorRequest::Scopes } else { OperatorRequest::Get(None) };
        let version = match self.ask(&request, REPLY_TIMEOUT) {
            // The latest write of any scope.
            Ok(OperatorReply::Scopes(rows)) => rows.iter().map(|row| row.version).max().unwrap_or_default(),
            Ok(OperatorReply::Settings(Some(written))) => written.version,
            Ok(OperatorReply::Settings(None)) => Version::default(),
            _ => return,
        };
        let ended_at = self.now();
        self.update_record(|record| record.reads.push(RecordedRead { started_at, ended_at, version }));
    }

    fn read_history(&self) -> bool {
        self.scopes.iter().all(|scope| {
            let rows = match scope {
                Scope::All => match self.ask(&OperatorRequest::History, WRITE_TIMEOUT) {
                    Ok(OperatorReply::History(rows)) => rows,
                    _ => return false,
                },
                scope => match self.ask(&OperatorRequest::ScopeHistory(scope.clone()), WRITE_TIMEOUT) {
                    Ok(OperatorReply::ScopeHistory(rows)) => rows.into_iter().map(settings_version).collect(),
                    _ => return false,
                },
            };
            self.update_record(|record| {
                let new: Vec<SettingsVersion> =
                    rows.into_iter().filter(|row| !record.history.contains(row)).collect();
                record.history.extend(new);
            });
            true
        })
    }

    /// Polls each sidecar's health check once, and counts the unhealthy ones that have no injected fault.
    fn poll_health(&self, at: &impl Fn(&str) -> Option<SocketAddr>, names: &[String]) {
        let faulted = |name: &String| self.faulted.lock().expect("no thread panics").contains_key(name);
        let mut out = Vec::new();
        for name in names {
            // Danger: a fault injected during the poll makes the health check fail, so it is looked up before and after.
            let before = faulted(name);
            match at(name).and_then(health) {
                // Danger: a sidecar is registered just before its fault is injected and is still healthy then, so an active one stays.
                Some(true) if before => {
                    self.faulted.lock().expect("no thread panics").retain(|other, now| other != name || *now);
                }
                Some(false) if !before && !faulted(name) => out.push(name.clone()),
                _ => {}
            }
        }
        let mut peak = self.peak_out.lock().expect("no thread panics");
        if out.len() > peak.0 {
            *peak = (out.len(), format!("{} at {} ms", out.join(", "), self.now()));
        }
    }

    /// Acts as a member of a daemon, and records the settings that the daemon sends.
    fn run_member(&self, replica: u16, incarnation: u64) -> std::io::Result<()> {
        let observer = format!("a member of replica {replica}");
        let mut stream = TcpStream::connect_timeout(&self.addresses[&replica], REPLY_TIMEOUT)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        let name = format!("stand-in-{replica}");
        let (mut out, mut frames, mut buffer) = (Vec::new(), FrameReader::default(), vec![0; 64 * 1024]);
        Frame::hello(FLEET, Initiator::Member { name: name.clone() }).write(&mut out);
        // The member of replica 1 gets merged settings, which are the text of no single version.
        let scoped = self.scopes.len() > 1 && replica == 1;
        if scoped {
            let service = Some("v0".to_string());
            Frame::Locality(Locality { service, ..Locality::default() }).write(&mut out);
        }
        let mut version = Version::default();
        while !self.is_stopped() {
            let report = Report {
                name: name.clone(),
                incarnation,
                process_nonce: incarnation,
                status: Member::Serving,
                version,
                latest_known: version,
                ..Report::default()
            };
            Frame::Report(report).write(&mut out);
            stream.write_all(&std::mem::take(&mut out))?;
            let answer = loop {
                match frames.pop().map_err(std::io::Error::other)? {
                    Some(Frame::ReportAnswer(answer)) => break answer,
                    Some(_) => {}
                    None => match stream.read(&mut buffer)? {
                        0 => return Ok(()),
                        read => frames.push(&buffer[..read]),
                    },
                }
            };
            if let Some((sent, settings)) = answer.settings {
                version = sent;
                let settings = (!scoped).then_some(settings);
                let observation = Observation {
                    at: self.now(),
                    observer: observer.clone(),
                    incarnation,
                    version,
                    settings,
                };
                self.update_record(|record| record.observations.push(observation));
            }
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
        Ok(())
    }
}

/// An injected fault and when it is removed.
struct ActiveFault {
    until: u64,
    fault: Fault,
    replica: u16,
    other: u16,
}

struct Run<'a> {
    daemons: Daemons,
    sidecars: Sidecars,
    members: Vec<(u16, SocketAddr)>,
    active_faults: Vec<ActiveFault>,
    /// Replica that lost stored data, and the last log entry of any replica at that time. No other replica loses data before
    /// this one has caught up.
    recovering: Option<(u16, u64)>,
    faulted_sidecars: Vec<String>,
    operators: Operators,
    /// Number of the current release, the version that all sidecars run, and since when the release is halted.
    releases: (u64, String, Option<u64>),
    released: ReleaseSummary,
    played: RunResult,
    applied: Vec<Observation>,
    watchers: &'a Watchers,
}

/// Runs a scenario with this seed: once without faults, as the baseline for the served share, and once with them.
///
/// # Errors
/// What could not be started or did not recover. A violated rule is no error.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    environment: &Environment,
    log_folder: Option<&Path>,
) -> Result<RunResult, String> {
    // With budgets there is no baseline: requests that a budget refuses are not lost to a fault.
    let mut paired = (0, 0);
    if scenario.budget.is_empty() {
        let baseline = Scenario { length_ms: scenario.length_ms.min(MAX_PAIRED_RUN_MS), ..scenario.clone() };
        paired = run_once(&baseline, seed, environment, None, None)?.served;
    }
    run_once(scenario, seed, environment, log_folder, Some(paired))
}

/// Runs the scenario once; faults are injected if `paired` holds the baseline.
fn run_once(
    scenario: &Scenario,
    seed: u64,
    environment: &Environment,
    log_folder: Option<&Path>,
    paired: Option<(u64, u64)>,
) -> Result<RunResult, String> {
    let shape = Shape {
        daemons: scenario.daemons,
        election_ms: scenario.election_ms,
        beat_ms: (scenario.election_ms / 8).max(1),
        lease_ms: 2 * scenario.election_ms,
        compact_every: scenario.compact_every,
        ..Shape::default()
    };
    let mut daemons = Daemons::new(environment.folder, environment.daemon, environment.base, shape)?;
    daemons.start_all()?;
    let mut sidecars = Sidecars::new(
        &environment.folder.join("sidecars"),
        environment.sidecar,
        environment.base,
        scenario.endpoints,
    )?;
    let members: Vec<_> = daemons.replicas().map(|replica| (replica, daemons.at(replica))).collect();
    let most = scenario.release_most;
    let group = |most| Group {
        name: "all".to_string(),
        max_out: Some(Amount::Number(most)),
        min_serving: None,
        endpoints: Vec::new(),
    };
    let groups: Vec<Group> = most.map(group).into_iter().collect();
    if most.is_some() {
        sidecars.set_groups(&["all"]);
        sidecars.set_version("v0", false);
    }
    if !scenario.budget.is_empty() || most.is_some() {
        let mut write = daemons
            .new_write(SettingsChange::Put("{}".to_string(), scenario.budget.clone(), groups.clone()), None);
        write.reason = "budgets".to_string();
        daemons.ask(&OperatorRequest::Write(write), WRITE_TIMEOUT)?;
    }
    if !scenario.budget.is_empty() {
        let alone = scenario.budget.iter().map(|budget| {
            let mut row = serde_json::json!({"part": budget.standalone_share});
            if !budget.resource.is_concurrency_limit() {
                row["windowMs"] = budget.window_ms.into();
            }
            (budget.resource.name().to_string(), row)
        });
        sidecars.set_alone(serde_json::Value::Object(alone.collect()));
    }
    for number in 0..scenario.sidecars {
        if scenario.scopes {
            sidecars.set_belongs(locality(number));
        }
        sidecars.start(&format!("s{number}"), &members, HEARTBEAT_MS)?;
    }
    let watchers = Arc::new(Watchers {
        start: Instant::now(),
        stop: AtomicBool::new(false),
        addresses: members.iter().copied().collect(),
        record: Mutex::new(Record { replicas: scenario.daemons, ..Record::default() }),
        budgets: scenario.budget.clone(),
        groups,
        scopes: scopes(scenario.scopes),
        next_write: AtomicU64::new(1),
        faulted: Mutex::default(),
        peak_out: Mutex::default(),
    });
    let mut random = Rand64::new(u128::from(seed));
    let faults = scenario.faults(&mut random);
    let spared: Vec<usize> = (0..scenario.sidecars)
        .filter(|at| {
            let targets_sidecar =
                |fault: &&Fault| matches!(fault.kind, Kind::KillSidecar | Kind::StopSidecar);
            !faults.iter().filter(targets_sidecar).any(|fault| fault.sidecar == Some(*at))
        })
        .collect();
    let at: Vec<SocketAddr> = spared.iter().map(|number| sidecars.at(&format!("s{number}"))).collect();
    let pause = Duration::from_millis(3);
    // With budgets, requests go to all sidecars, with or without faults, at a rate far above the quota.
    let clients = match scenario.budget.is_empty() {
        true if most.is_some() => {
            // A release is judged by requests, so all sidecars get some; those to sidecars with faults are not counted.
            let names: Vec<String> = (0..scenario.sidecars).map(|number| format!("s{number}")).collect();
            Clients::start_with_health_checks(&sidecars, &names, 1, "/menu/1", pause)
        }
        true => Clients::start(&at, "/menu/1", pause),
        false => Clients::start_by_name(&sidecars, &sidecars.names(), 2, "/menu/1", pause),
    };
    let every = Duration::from_millis(scenario.put_every_ms);
    let mut threads = Vec::new();
    for writer in 0..2 {
        let (watchers, mut random) = (watchers.clone(), Rand64::new(u128::from(seed) * 7 + writer));
        threads.push(thread::spawn(move || {
            while !watchers.is_stopped() {
                watchers.write(&mut random);
                thread::sleep(every);
            }
        }));
    }
    let reader = watchers.clone();
    threads.push(thread::spawn(move || {
        while !reader.is_stopped() {
            reader.read();
            thread::sleep(every / 2);
        }
    }));
    let historian = watchers.clone();
    threads.push(thread::spawn(move || {
        while !historian.is_stopped() {
            historian.read_history();
            thread::sleep(HISTORY_INTERVAL);
        }
    }));
    for replica in daemons.replicas() {
        let watchers = watchers.clone();
        threads.push(thread::spawn(move || {
            let mut incarnation = 0;
            while !watchers.is_stopped() {
                incarnation += 1;
                let _ = watchers.run_member(replica, incarnation);
                thread::sleep(POLL_INTERVAL);
            }
        }));
    }
    if most.is_some() {
        let (watchers, names, at) = (watchers.clone(), sidecars.names(), sidecars.lookup());
        threads.push(thread::spawn(move || {
            while !watchers.is_stopped() {
                watchers.poll_health(&at, &names);
                thread::sleep(POLL_INTERVAL);
            }
        }));
    }
    let mut run = Run {
        daemons,
        sidecars,
        members,
        active_faults: Vec::new(),
        recovering: None,
        faulted_sidecars: Vec::new(),
        operators: Operators::default(),
        releases: (0, "v0".to_string(), None),
        released: ReleaseSummary { max_out: most.unwrap_or(0) as usize, ..ReleaseSummary::default() },
        played: RunResult::default(),
        applied: Vec::new(),
        watchers: &watchers,
    };
    let faults = if paired.is_some() { faults } else { Vec::new() };
    let played = run.inject_faults(faults, scenario.length_ms).and_then(|()| run.finish_releases());
    watchers.stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("no thread panics"));
    let mut answers = clients.stop();
    if most.is_some() {
        answers = spared.iter().map(|number| answers[*number]).collect();
    }
    let folder = environment.folder.to_path_buf();
    played?;
    let served = answers
        .iter()
        .map(|a| (a.served, a.served + a.rejected + a.failed + a.no_reply))
        .fold((0, 0), |sum, a| (sum.0 + a.0, sum.1 + a.1));
    run.released.lost_requests = answers.iter().map(|a| a.failed + a.no_reply).sum();
    let result = run.judge(log_folder, served, paired.unwrap_or_default());
    let _ = fs::remove_dir_all(folder);
    result
}

/// Returns whether a fault removes stored data that the replica may have acknowledged.
fn loses_data(kind: Kind) -> bool {
    matches!(kind, Kind::Empty | Kind::OldCopy | Kind::Damage)
}

impl Run<'_> {
    fn inject_faults(&mut self, faults: Vec<Fault>, length: u64) -> Result<(), String> {
        let mut faults = faults.into_iter().peekable();
        loop {
            let now = self.watchers.now();
            while let Some(at) = self.active_faults.iter().position(|active| active.until <= now) {
                let active = self.active_faults.remove(at);
                self.remove_fault(active)?;
            }
            while faults.peek().is_some_and(|fault| fault.at_ms <= now) {
                let fault = faults.next().expect("peeked");
                self.inject(fault, now)?;
            }
            if let Some((replica, entries)) = self.recovering
                // Danger: an old copy is restored only when the fault is removed.
                && !self.active_faults.iter().any(|active| active.replica == replica && loses_data(active.fault.kind))
                && self.daemons.running(replica)
                && self.daemons.status(replica).is_some_and(|s| {
                    ["Leader", "Follower"].contains(&s.role.as_str()) && s.applied >= entries
                })
            {
                self.recovering = None;
            }
            self.poll_release(true)?;
            if now >= length && faults.peek().is_none() && self.active_faults.is_empty() {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Polls the current release: restarts drained sidecars with their new version, starts the next release after one that
    /// ended, and resumes or rolls back a halted one after a delay.
    fn poll_release(&mut self, more: bool) -> Result<Option<Release>, String> {
        if self.released.max_out == 0 {
            return Ok(None);
        }
        let (number, runs, halted) = self.releases.clone();
        let now = self.watchers.now();
        let (name, to) = (format!("r{number}"), format!("v{number}"));
        let polled = match number {
            0 => None,
            _ => self.operators.poll(&self.daemons, &mut self.sidecars, &name, HEARTBEAT_MS)?,
        };
        let Some(release) = polled else {
            // Danger: a start that was refused or whose reply was lost is repeated; a repeated start has no further effect.
            if more {
                self.releases.0 = number.max(1);
                self.start_release(number.max(1), &runs);
            }
            return Ok(None);
        };
        match &release.state {
            ReleaseState::Ended(how) => {
                self.released.ended += 1;
                let runs = if how == "all are moved" { to } else { runs };
                (self.releases.1, self.releases.2) = (runs.clone(), None);
                if more {
                    self.releases.0 = number + 1;
                    self.start_release(number + 1, &runs);
                }
            }
            ReleaseState::Halted => {
                let since = *self.releases.2.get_or_insert(now);
                if halted.is_none() {
                    self.released.halts += 1;
                    self.played.fault_log.push(format!("{now} ms: {}", release.summary()));
                }
                if now >= since + HALT_MS && release.transitions().next().is_none() {
                    let roll_back = self.released.halts.is_multiple_of(3);
                    let order =
                        if roll_back { ReleaseUpdate::Rollback(name) } else { ReleaseUpdate::Resume(name) };
                    let _ = self.daemons.ask(&OperatorRequest::Release(order), REPLY_TIMEOUT);
                    self.releases.2 = None;
                }
            }
            _ => self.releases.2 = None,
        }
        Ok(Some(release))
    }

    fn start_release(&self, number: u64, from: &str) {
        let plan = Plan {
            format: FORMAT,
            name: format!("r{number}"),
            target_kind: TargetKind::Sidecars,
            group: "all".to_string(),
            order: Vec::new(),
            max_out: self.released.max_out as u32,
            from: from.to_string(),
            to: format!("v{number}"),
            action: None,
            drain_timeout_ms: 10_000,
            return_timeout_ms: 10_000,
            settle_ms: 0,
            watch_ms: 300,
            max_watch_ms: 8000,
            criteria: Criteria {
                min_requests: 1,
                served_lower: Some(0.5),
                rejected_higher: None,
                failed_higher: None,
                slow_higher: None,
            },
            rollback: RollbackPolicy::Never,
        };
        // The next poll shows whether the release started; a repeated start has no further effect.
        let start = ReleaseUpdate::Start(Box::new(plan), RequestCounts::default());
        let _ = self.daemons.ask(&OperatorRequest::Release(start), REPLY_TIMEOUT);
    }

    /// Waits until the last release has ended, and checks the version that each sidecar runs.
    fn finish_releases(&mut self) -> Result<(), String> {
        if self.released.max_out == 0 {
            return Ok(());
        }
        let until = Instant::now() + 4 * WAIT_TIMEOUT;
        loop {
            let release = self.poll_release(false)?;
            if let Some(release) = &release
                && release.is_ended()
            {
                break;
            }
            if Instant::now() >= until {
                let line =
                    release.map_or("no daemon reports the release".to_string(), |release| release.summary());
                self.released.unfinished.push(line);
                break;
            }
            if release.is_none() {
                self.start_release(self.releases.0, &self.releases.1.clone());
            }
            thread::sleep(POLL_INTERVAL);
        }
        if let Ok(OperatorReply::Releases(_, runs)) =
            self.daemons.ask(&OperatorRequest::Releases, WAIT_TIMEOUT)
        {
            let wanted = &self.releases.1;
            let others = runs
                .iter()
                .filter(|(who, runs)| who.starts_with('s') && !who.contains('-') && runs != wanted);
            self.released
                .unfinished
                .extend(others.map(|(who, runs)| format!("{who} runs {runs}, not {wanted}")));
        }
        Ok(())
    }

    fn inject(&mut self, fault: Fault, now: u64) -> Result<(), String> {
        let leader = || self.daemons.leader();
        let replica = fault.place.or_else(leader).unwrap_or(1);
        let count = self.members.len() as u16;
        let other = replica % count + 1;
        let data_loss = loses_data(fault.kind);
        // Danger: a replica that is already down or paused must not be started or continued too early by a second fault.
        let conflicts = self.active_faults.iter().any(|active| {
            let all = matches!(active.fault.kind, Kind::KillAll) || matches!(fault.kind, Kind::KillAll);
            let sidecars = |kind| matches!(kind, Kind::KillSidecar | Kind::StopSidecar);
            if [active.fault.kind, fault.kind].contains(&Kind::ListAway) {
                return active.fault.kind == fault.kind;
            }
            match (sidecars(active.fault.kind), sidecars(fault.kind)) {
                (true, true) => active.fault.sidecar == fault.sidecar,
                (false, false) => {
                    all || active.replica == replica || active.other == replica || active.replica == other
                }
                _ => false,
            }
        });
        let unsafe_loss = data_loss && (count < 3 || self.recovering.is_some());
        if conflicts || unsafe_loss {
            self.played
                .fault_log
                .push(format!("{now} ms: {:?} of {replica} left out, as another holds", fault.kind));
            return Ok(());
        }
        self.played.fault_log.push(match fault.sidecar {
            Some(at) if matches!(fault.kind, Kind::KillSidecar | Kind::StopSidecar) => {
                format!("{now} ms: {:?} s{at} for {} ms", fault.kind, fault.for_ms)
            }
            _ => format!("{now} ms: {:?} {replica} for {} ms", fault.kind, fault.for_ms),
        });
        if data_loss {
            let entries = self.daemons.statuses().values().map(|status| status.last).max().unwrap_or(0);
            self.recovering = Some((replica, entries));
        }
        let one_way = LinkState { to: Flow::Held, ..LinkState::default() };
        match fault.kind {
            Kind::Kill | Kind::CutShort | Kind::Empty | Kind::Damage => self.daemons.kill(replica),
            Kind::OldCopy => {
                // The folder is copied while the process is down. The copy is restored when the fault is removed.
                let copy = self.daemons.root.join(format!("copy-{replica}"));
                self.daemons.kill(replica);
                folders::copy(&self.daemons.folder(replica), &copy)?;
                self.daemons.start(replica)?;
            }
            Kind::ListAway => self.sidecars.list.set_unavailable(true),
            Kind::KillAll => self.daemons.replicas().for_each(|replica| self.daemons.kill(replica)),
            Kind::Stop => self.daemons.process(replica).stop(),
            Kind::Leave => self.daemons.process(replica).terminate(),
            Kind::Around => self.daemons.set_links_of(replica, LinkState::partitioned()),
            Kind::Between => self.daemons.set_links_between(replica, other, LinkState::partitioned()),
            Kind::OneWay => {
                let others = self.daemons.replicas().filter(|other| *other != replica);
                others.for_each(|other| self.daemons.link(replica, other).set_state(one_way));
            }
            Kind::Reset => {
                let others = self.daemons.replicas().filter(|other| *other != replica);
                others.for_each(|other| self.daemons.link(replica, other).reset());
            }
            Kind::Slow => self
                .daemons
                .set_links_of(replica, LinkState { to: Flow::Slow(20_000), ..LinkState::default() }),
            Kind::Door => self
                .daemons
                .client_link(replica)
                .set_state(LinkState { back: Flow::Held, ..LinkState::default() }),
            Kind::KillSidecar | Kind::StopSidecar => {
                let Some(number) = fault.sidecar else { return Ok(()) };
                let name = format!("s{number}");
                self.faulted_sidecars.push(name.clone());
                self.watchers.faulted.lock().expect("no thread panics").insert(name.clone(), true);
                if fault.kind == Kind::KillSidecar {
                    self.record_applied_versions(&name);
                    self.sidecars.kill(&name);
                } else {
                    self.sidecars.process(&name).stop();
                }
            }
        }
        self.active_faults.push(ActiveFault { until: now + fault.for_ms, fault, replica, other });
        Ok(())
    }

    fn remove_fault(&mut self, active: ActiveFault) -> Result<(), String> {
        let ActiveFault { fault, replica, other, .. } = active;
        let folder = self.daemons.folder(replica);
        if loses_data(fault.kind) {
            let entries = self.daemons.statuses().values().map(|status| status.last).max().unwrap_or(0);
            self.recovering = Some((replica, entries));
        }
        match fault.kind {
            Kind::Kill => self.daemons.start(replica)?,
            Kind::KillAll => {
                for replica in self.daemons.replicas() {
                    self.daemons.start(replica)?;
                }
            }
            Kind::Leave => {
                if self.daemons.process(replica).wait_for_exit(Duration::from_secs(10)).is_none() {
                    return Err(format!("d{replica} did not exit after it was asked to leave"));
                }
                self.daemons.kill(replica);
                self.daemons.start(replica)?;
            }
            Kind::Stop => self.daemons.process(replica).resume(),
            Kind::Empty => {
                folders::empty(&folder)?;
                self.daemons.start(replica)?;
            }
            Kind::OldCopy => {
                self.daemons.kill(replica);
                folders::copy(&self.daemons.root.join(format!("copy-{replica}")), &folder)?;
                self.daemons.start(replica)?;
            }
            Kind::Damage => {
                let length = fs::metadata(folder.join("log.0")).map_or(0, |file| file.len());
                for copy in ["log.0", "log.1"] {
                    folders::corrupt(&folder.join(copy), length / 2)?;
                }
                self.daemons.start(replica)?;
            }
            Kind::CutShort => {
                folders::truncate(&folder.join("log.1"), 300)?;
                self.daemons.start(replica)?;
            }
            Kind::Around | Kind::OneWay | Kind::Slow => {
                self.daemons.set_links_of(replica, LinkState::default())
            }
            Kind::Between => self.daemons.set_links_between(replica, other, LinkState::default()),
            Kind::ListAway => self.sidecars.list.set_unavailable(false),
            Kind::Reset => {}
            Kind::Door => self.daemons.client_link(replica).set_state(LinkState::default()),
            Kind::KillSidecar | Kind::StopSidecar => {
                let Some(number) = fault.sidecar else { return Ok(()) };
                let name = format!("s{number}");
                if fault.kind == Kind::KillSidecar {
                    if self.released.max_out > 0 {
                        let version = self.operators.versions.get(&name).map_or("v0", String::as_str);
                        self.sidecars.set_version(version, false);
                    }
                    if self.watchers.scopes.len() > 1 {
                        self.sidecars.set_belongs(locality(number));
                    }
                    self.sidecars.start(&name, &self.members, HEARTBEAT_MS)?;
                } else {
                    self.sidecars.process(&name).resume();
                }
                self.watchers.faulted.lock().expect("no thread panics").insert(name, false);
            }
        }
        Ok(())
    }

    /// Records the settings versions that a sidecar reported as applied in its log.
    fn record_applied_versions(&mut self, name: &str) {
        let incarnation = u64::from(self.sidecars.process(name).id());
        let at = self.watchers.now();
        for line in self.sidecars.process(name).log() {
            let version =
                line.split("acts on settings ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            if let Some(version) = version {
                self.applied.push(Observation {
                    at,
                    observer: name.to_string(),
                    incarnation,
                    version,
                    settings: None,
                });
            }
        }
    }

    /// Returns the peak use of each budget by all sidecars together, as counted by the endpoints with their own clock.
    fn budget_usage(&self) -> Vec<BudgetUsage> {
        let used = |budget: &Budget| {
            let endpoints = &self.sidecars.endpoints;
            let peak = match budget.resource {
                Resource::Attempts => {
                    let times = endpoints.iter().flat_map(Endpoint::times).collect();
                    let window = Duration::from_millis(budget.window_ms).saturating_sub(DELIVERY_JITTER);
                    max_in_window(times, window).0 as u64
                }
                Resource::Connections => endpoints.iter().map(Endpoint::peak_open).max().unwrap_or(0),
                Resource::DiscoveryCalls => {
                    let window = Duration::from_millis(budget.window_ms).saturating_sub(DELIVERY_JITTER);
                    max_in_window(self.sidecars.list.calls(), window).0 as u64
                }
                // The stand-in endpoints cannot tell a retry, or which requests are in flight, and no endpoint starts cold here.
                Resource::Retries | Resource::InFlight | Resource::ColdAttempts => return None,
            };
            Some(BudgetUsage { resource: budget.resource, peak, quota: budget.quota })
        };
        self.watchers.budgets.iter().filter_map(used).collect()
    }

    /// Waits until all replicas have the same state, and judges the run.
    fn judge(
        mut self,
        log_folder: Option<&Path>,
        served: (u64, u64),
        paired: (u64, u64),
    ) -> Result<RunResult, String> {
        let names = self.sidecars.names();
        let recovered = self.daemons.wait_for_same_state();
        if !self.watchers.read_history() {
            let fault_log = self.played.fault_log.join("\n");
            return Err(format!(
                "the history cannot be read: {}\n{fault_log}",
                recovered.err().unwrap_or_default()
            ));
        }
        names.iter().for_each(|name| self.record_applied_versions(name));
        if let Some(to) = log_folder {
            self.keep_logs(to)?;
        }
        let mut record = std::mem::take(&mut *self.watchers.record.lock().expect("all threads have ended"));
        // All threads that write, read and listen have ended, so this is the final state.
        let statuses = self.daemons.statuses();
        record.budget_usage = self.budget_usage();
        record.states = statuses.iter().map(|(replica, s)| (*replica, s.applied, s.digest)).collect();
        record.observations.append(&mut self.applied);
        (record.served, record.paired) = (served, paired);
        if self.released.max_out > 0 {
            let (out, who) = self.watchers.peak_out.lock().expect("all threads have ended").clone();
            if out > self.released.max_out {
                self.played.fault_log.push(format!("out at once: {who}"));
            }
            (self.released.peak_out, self.released.moved_twice) = (out, self.operators.moved_twice.clone());
            record.releases = Some(self.released.clone());
        }
        let count = |wanted: fn(&Outcome) -> bool| {
            record.writes.iter().filter(|write| wanted(&write.outcome)).count()
        };
        let mut played = self.played;
        played.writes = [
            count(|outcome| matches!(outcome, Outcome::Committed(_))),
            count(|outcome| *outcome == Outcome::Refused),
            count(|outcome| *outcome == Outcome::Unknown),
        ];
        played.budget_usage = record
            .budget_usage
            .iter()
            .map(|usage| (usage.resource.to_string(), usage.peak, usage.quota))
            .collect();
        (played.reads, played.observations) = (record.reads.len(), record.observations.len());
        (played.served, played.paired) = (served, paired);
        let versions: std::collections::BTreeSet<Version> =
            record.history.iter().map(|w| w.version).collect();
        played.versions = versions.len();
        played.entries = statuses.values().map(|status| status.applied).max().unwrap_or(0);
        played.releases = record.releases.as_ref().map(|r| (r.ended, r.halts, r.peak_out));
        played.violations = judge(&record);
        if let Err(detail) = recovered {
            played.violations.push(Violation { check: "comes right", detail });
        }
        let last = versions.last().map_or(0, |version| version.number);
        if last as usize != versions.len() {
            // Danger: a version that was never read cannot be judged.
            return Err(format!("void: {} of {last} versions were read", versions.len()));
        }
        Ok(played)
    }

    /// Saves what each process has logged since its last start.
    fn keep_logs(&mut self, to: &Path) -> Result<(), String> {
        fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
        let mut logs = Vec::new();
        for replica in
            self.daemons.replicas().filter(|replica| self.daemons.running(*replica)).collect::<Vec<_>>()
        {
            logs.push((format!("d{replica}.log"), self.daemons.process(replica).log()));
        }
        for name in self.sidecars.names() {
            logs.push((format!("{name}.log"), self.sidecars.process(&name).log()));
        }
        for (name, lines) in logs {
            let path = to.join(name);
            fs::write(&path, lines.join("\n") + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(())
    }
}
