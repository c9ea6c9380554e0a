//! This process as a member of a fleet: the connection to one daemon and the messages on it. The protocol's decisions
//! are made in `appledyke_fleet::member`. Without the configuration key `fleet` none of this is active.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::budgets::Resource;
use appledyke_fleet::drains::DrainRequest;
use appledyke_fleet::evidence::RelayedObservation;
use appledyke_fleet::limits::Limits;
use appledyke_fleet::member::{DrainDecision, HostAction, Member, MemberConfig};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, VersionNegotiation, check_hello};
use appledyke_fleet::scopes::Locality;
use serde_json::{Value, json};

use crate::metrics::RequestEnd;
use crate::net::Turn;
use crate::net::connection::Connection;
use crate::net::deadlines::Due;
use crate::net::slots::{Key, Peer, Slots};

/// Bytes read at a time.
const READ_BYTES: usize = 64 * 1024;
/// The default heartbeat interval, and the shortest and longest allowed.
const HEARTBEAT_MS: u64 = 500;
const MIN_HEARTBEAT_MS: u64 = 20;
const MAX_HEARTBEAT_MS: u64 = 60_000;
/// Most file descriptors that this uses: a connection, and one more while another is opened.
pub const SOCKETS: usize = 2;

/// The configuration key `fleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    name: String,
    daemons: Vec<(u16, SocketAddr)>,
    heartbeat: Span,
    /// Where the last applied settings are saved, for a start while no daemon can be reached.
    settings_path: Option<PathBuf>,
    /// What it may use of the fleet's budgets while no daemon can be reached, and the window in milliseconds.
    standalone_limits: BTreeMap<Resource, (u64, u64)>,
    /// The groups that it belongs to: zone, tier, pool.
    groups: Vec<String>,
    /// Its service, zone and region, for settings that apply to a part of the fleet and for sharing observations.
    locality: Option<Locality>,
    /// The version that operators give this process; defaults to the program's own.
    version: String,
}

impl FleetConfig {
    /// Reads the key; `None` if the file does not have it.
    ///
    /// # Errors
    /// Names the faulty key.
    pub fn read(file: &Value) -> Result<Option<FleetConfig>, String> {
        let key = &file["fleet"];
        if key.is_null() {
            return Ok(None);
        }
        let fields = key.as_object().ok_or_else(|| format!("fleet: expected an object, not {key}"))?;
        if let Some(odd) = fields.keys().find(|key| {
            !["name", "daemons", "beatMs", "keep", "alone", "groups", "belongs", "version"]
                .contains(&key.as_str())
        }) {
            return Err(format!("fleet.{odd}: unknown"));
        }
        let name =
            key["name"].as_str().filter(|name| !name.is_empty()).ok_or("fleet.name: missing, or no text")?;
        let rows = key["daemons"].as_array().ok_or("fleet.daemons: missing, or not a list")?;
        let mut daemons = Vec::new();
        for (at, row) in rows.iter().enumerate() {
            let place = row["place"].as_u64().and_then(|place| u16::try_from(place).ok());
            let place =
                place.ok_or_else(|| format!("fleet.daemons.{at}.place: expected a small whole number"))?;
            let address = row["address"].as_str().and_then(|address| address.parse().ok());
            let address =
                address.ok_or_else(|| format!("fleet.daemons.{at}.address: expected address:port"))?;
            if daemons.iter().any(|(other, _)| *other == place) {
                return Err(format!("fleet.daemons.{at}.place: {place} is listed twice"));
            }
            daemons.push((place, address));
        }
        if daemons.is_empty() {
            return Err("fleet.daemons: expected at least one".to_string());
        }
        let heartbeat = match &key["beatMs"] {
            Value::Null => HEARTBEAT_MS,
            value => value
                .as_u64()
                .filter(|ms| (MIN_HEARTBEAT_MS..=MAX_HEARTBEAT_MS).contains(ms))
                .ok_or_else(|| {
                    format!("fleet.beatMs: expected {MIN_HEARTBEAT_MS} to {MAX_HEARTBEAT_MS}, not {value}")
                })?,
        };
        let settings_path = match &key["keep"] {
            Value::Null => None,
            Value::String(path) => Some(PathBuf::from(path)),
            other => return Err(format!("fleet.keep: expected a path, not {other}")),
        };
        let standalone_limits = read_standalone_limits(&key["alone"])?;
        let groups = match &key["groups"] {
            Value::Null => Vec::new(),
            Value::Array(names) if names.iter().all(Value::is_string) => {
                names.iter().filter_map(Value::as_str).map(str::to_string).collect()
            }
            other => return Err(format!("fleet.groups: expected a list of names, not {other}")),
        };
        let locality = read_locality(&key["belongs"])?;
        let version = match &key["version"] {
            Value::Null => env!("CARGO_PKG_VERSION").to_string(),
            Value::String(version) if !version.is_empty() => version.clone(),
            other => return Err(format!("fleet.version: expected a text, not {other}")),
        };
        Ok(Some(FleetConfig {
            name: name.to_string(),
            daemons,
            heartbeat: Span::from_millis(heartbeat),
            settings_path,
            standalone_limits,
            groups,
            locality,
            version,
        }))
    }

    /// Loads the settings that this member applied last, if they were saved.
    ///
    /// # Errors
    /// They cannot be read, or were saved by a process with another locality.
    pub fn load_saved(&self) -> Result<Option<AgreedSettings>, String> {
        let Some(path) = &self.settings_path else { return Ok(None) };
        let named = |what: String| format!("fleet.keep: {}: {what}", path.display());
        let text = match fs::read_to_string(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other.map_err(|e| named(e.to_string()))?,
        };
        let kept: Value = serde_json::from_str(&text).map_err(|e| named(format!("not JSON: {e}")))?;
        let version = kept["version"].as_str().and_then(|version| version.parse().ok());
        let version = version.ok_or_else(|| named("version: missing, or no version".to_string()))?;
        // Danger: settings of another locality would be applied, and their version could hide this one's own
        // settings.
        let other = read_locality(&kept["belongs"]).map_err(named)?;
        if other != self.locality {
            let describe_or_nothing =
                |locality: &Option<Locality>| locality.as_ref().map_or("nothing".into(), describe);
            let (kept, own) = (describe_or_nothing(&other), describe_or_nothing(&self.locality));
            return Err(named(format!(
                "kept by a process that belonged to {kept}, and this one does to {own}"
            )));
        }
        Ok(Some(AgreedSettings { version, settings: kept["settings"].clone() }))
    }
}

/// Reads a locality as it is written in files.
fn read_locality(key: &Value) -> Result<Option<Locality>, String> {
    let rows = match key {
        Value::Null => return Ok(None),
        Value::Object(rows) if !rows.is_empty() => rows,
        other => {
            return Err(format!(
                "fleet.belongs: expected an object with service, zone or region, not {other}"
            ));
        }
    };
    let mut locality = Locality::default();
    for (name, value) in rows {
        let own = match name.as_str() {
            "service" => &mut locality.service,
            "zone" => &mut locality.zone,
            "region" => &mut locality.region,
            _ => return Err(format!("fleet.belongs.{name}: unknown")),
        };
        let text =
            value.as_str().ok_or_else(|| format!("fleet.belongs.{name}: expected a text, not {value}"))?;
        *own = Some(text.to_string());
    }
    locality.check().map_err(|what| format!("fleet.belongs.{what}"))?;
    Ok(Some(locality))
}

fn named_parts(locality: &Locality) -> impl Iterator<Item = (&'static str, &String)> {
    let rows = [("service", &locality.service), ("zone", &locality.zone), ("region", &locality.region)];
    rows.into_iter().filter_map(|(key, name)| Some((key, name.as_ref()?)))
}

fn describe(locality: &Locality) -> String {
    named_parts(locality).map(|(key, name)| format!("{key}={name}")).collect::<Vec<_>>().join(", ")
}

fn read_standalone_limits(key: &Value) -> Result<BTreeMap<Resource, (u64, u64)>, String> {
    let mut limits = BTreeMap::new();
    let rows = match key {
        Value::Null => return Ok(limits),
        Value::Object(rows) => rows,
        other => return Err(format!("fleet.alone: expected an object, not {other}")),
    };
    for (name, row) in rows {
        let resource = Resource::ALL.into_iter().find(|resource| resource.name() == name);
        let resource = resource.ok_or_else(|| {
            format!("fleet.alone.{name}: unknown; budgets are of {:?}", Resource::ALL.map(Resource::name))
        })?;
        let share = row["part"]
            .as_u64()
            .ok_or_else(|| format!("fleet.alone.{name}.part: expected a whole number"))?;
        let window = match &row["windowMs"] {
            Value::Null => 0,
            value => value
                .as_u64()
                .ok_or_else(|| format!("fleet.alone.{name}.windowMs: expected a whole number"))?,
        };
        if resource.is_concurrency_limit() != (window == 0) {
            let wanted = if resource.is_concurrency_limit() {
                "none for a limit on what is held at once"
            } else {
                "a positive whole number"
            };
            return Err(format!("fleet.alone.{name}.windowMs: expected {wanted}, not {window}"));
        }
        limits.insert(resource, (share, window));
    }
    Ok(limits)
}

/// Settings that the fleet has agreed on.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreedSettings {
    pub version: Version,
    pub settings: Value,
}

impl AgreedSettings {
    /// Saves the settings atomically. Danger: half a file at the next start would leave this member without any
    /// settings.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn save(&self, path: &Path, belongs: Option<&Locality>) -> io::Result<()> {
        let mut kept = json!({"version": self.version.to_string(), "settings": self.settings});
        if let Some(locality) = belongs {
            kept["belongs"] =
                named_parts(locality).map(|(key, name)| (key.to_string(), json!(name))).collect();
        }
        let text = kept.to_string();
        let draft = path.with_extension("draft");
        fs::write(&draft, text)?;
        fs::rename(&draft, path)
    }
}

/// What the event loop has to carry out.
pub enum FleetEvent {
    /// Agreed settings to validate and apply.
    Settings(Version, String),
    /// Outcomes of other members' attempts.
    Observations(Vec<RelayedObservation>),
    /// The complete set of endpoints that are out of service.
    OutOfService(Vec<String>),
    /// The decision on a drain request.
    DrainDecision(DrainDecision),
    /// A release drains this process, or ends that drain.
    ReleaseDrain(bool),
}

/// An attempt to check against the budgets: whether it is a retry, whether its endpoint is cold, how many connections
/// and attempts in flight this process has there, and whether one of the connections is idle.
pub struct PlannedAttempt {
    pub is_retry: bool,
    pub cold: bool,
    pub connections: usize,
    pub in_flight: usize,
    pub has_idle: bool,
}

struct DaemonConnection {
    connection: Connection,
    frames: FrameReader,
    hello_received: bool,
    replica: u16,
    offered_version: u16,
}

pub struct Fleet {
    config: FleetConfig,
    member: Member,
    connections: Slots<DaemonConnection>,
    open: Option<Key>,
    /// The protocol version to offer to each daemon next.
    negotiations: BTreeMap<u16, VersionNegotiation>,
    deadline: Option<Moment>,
    pub agreed: Option<AgreedSettings>,
    /// Agreed settings that were found invalid here.
    invalid_settings: u64,
    reported_attempts: u64,
}

impl Fleet {
    pub fn new(
        config: FleetConfig,
        name: &str,
        seed: u64,
        agreed: Option<AgreedSettings>,
        turn: &mut Turn,
    ) -> Fleet {
        let now = turn.now;
        let setup = MemberConfig {
            name: name.to_string(),
            daemons: config.daemons.iter().map(|(place, _)| *place).collect(),
            heartbeat: config.heartbeat,
            // The wall-clock time at start, so that a later start is a later incarnation.
            incarnation: now.nanos(),
            process_nonce: u64::from(std::process::id()),
            version: agreed.as_ref().map_or_else(Version::default, |agreed| agreed.version),
            limits: Limits::new(&config.standalone_limits),
            groups: config.groups.clone(),
            locality: config.locality.clone(),
            program_version: config.version.clone(),
        };
        let member = Member::new(now, setup, seed);
        let mut fleet = Fleet {
            config,
            member,
            connections: Slots::default(),
            open: None,
            negotiations: BTreeMap::new(),
            deadline: None,
            agreed,
            invalid_settings: 0,
            reported_attempts: 0,
        };
        fleet.schedule_timer(turn);
        fleet
    }

    fn schedule_timer(&mut self, turn: &mut Turn) {
        let next = self
            .member
            .drain_requests
            .deadline()
            .map_or(self.member.next_due(), |until| until.min(self.member.next_due()));
        if self.deadline != Some(next) {
            turn.deadlines.reschedule(Due::Fleet, &mut self.deadline, Some(next));
        }
    }

    pub fn on_timer(&mut self, turn: &mut Turn) -> Vec<FleetEvent> {
        self.deadline = None;
        let actions = self.member.on_timer(turn.now);
        let mut events = self.execute(actions, turn);
        if self.member.drain_requests.deadline().is_some_and(|until| until <= turn.now) {
            let unanswered = self.member.drain_requests.give_up();
            self.schedule_timer(turn);
            events.push(FleetEvent::DrainDecision(DrainDecision::Refused(unanswered.to_string())));
        }
        events
    }

    /// Sets this process's status; a change is reported at once.
    pub fn set_status(&mut self, status: MemberStatus, turn: &mut Turn) {
        let actions = self.member.set_status(turn.now, status);
        if !actions.is_empty() {
            self.execute(actions, turn);
        }
    }

    /// Whether the fleet's budgets allow this attempt. `now` is the time of sending. Danger: the turn's own time may
    /// lie before a suspension of the process that outlasted the budget lease.
    pub fn may_send(&mut self, now: Moment, attempt: &PlannedAttempt) -> bool {
        let limits = &mut self.member.limits;
        if limits.is_empty() {
            return true;
        }
        let held = limits.try_hold(now, Resource::InFlight, attempt.in_flight as u64)
            && (attempt.has_idle || limits.try_hold(now, Resource::Connections, attempt.connections as u64));
        held && limits.try_spend_attempt(now, attempt.is_retry, attempt.cold)
    }

    /// Whether the fleet's budgets allow a call to service discovery now.
    pub fn may_call_list(&mut self, now: Moment) -> bool {
        self.member.limits.try_spend(now, Resource::DiscoveryCalls, true)
    }

    /// Most connections that it may have to one endpoint now.
    pub fn max_connections(&self, now: Moment) -> Option<u64> {
        self.member.limits.allowed(now, Resource::Connections)
    }

    /// Sets the connections and attempts in flight at the endpoint with the most, and whether no other process serves
    /// this address.
    pub fn set_held(&mut self, connections: usize, in_flight: usize, alone: bool) {
        self.member.limits.set_held(Resource::Connections, connections as u64);
        self.member.limits.set_held(Resource::InFlight, in_flight as u64);
        self.member.sole_at_address = alone;
    }

    /// Asks the fleet for permission to drain; `false` if no daemon would answer.
    pub fn request_drain(&mut self, forced_reason: Option<String>, turn: &mut Turn) -> bool {
        let Some(actions) = self.member.request_drain(turn.now, forced_reason) else { return false };
        self.execute(actions, turn);
        true
    }

    /// This process serves again and has no drain request open.
    pub fn on_return(&mut self) {
        self.member.drain_requests.on_return();
    }

    /// Sets the out-of-service endpoints to which it still has connections.
    pub fn set_endpoints_in_use(&mut self, in_use: Vec<String>) {
        self.member.endpoints_in_use = in_use;
    }

    /// The endpoints whose presence in the list it has to report.
    pub fn watched_endpoints(&self) -> impl Iterator<Item = &String> {
        self.member.watched_endpoints()
    }

    /// Sets the number of open requests and connections, and which watched endpoints the list does not have as ready.
    pub fn set_open_requests(&mut self, open: usize, missing: Vec<String>) {
        (self.member.open_requests, self.member.missing_endpoints) = (open as u64, missing);
    }

    /// Counts a request's end, and whether a served one exceeded its latency budget.
    pub fn count_request(&mut self, end: RequestEnd, slow: bool) {
        let counts = &mut self.member.request_counts;
        match end {
            RequestEnd::Served => {
                counts.served += 1;
                counts.slow += u64::from(slow);
            }
            RequestEnd::Rejected => counts.rejected += 1,
            RequestEnd::Failed => counts.failed += 1,
        }
    }

    /// Whether any budget limits this process.
    pub fn is_limited(&self) -> bool {
        !self.member.limits.is_empty()
    }

    pub fn record_attempt(
        &mut self,
        now: Moment,
        endpoint: u32,
        method: u32,
        outcome: u8,
        budget_fraction: f64,
    ) {
        self.reported_attempts += 1;
        self.member.record_attempt(now, endpoint, method, outcome, budget_fraction as f32);
    }

    /// Records that these settings are now applied, and saves them.
    pub fn set_applied_settings(&mut self, agreed: AgreedSettings) {
        self.member.set_active_version(agreed.version);
        let belongs = self.member.locality().filter(|_| !self.member.is_unscoped());
        if let Some(path) = &self.config.settings_path
            && let Err(e) = agreed.save(path, belongs)
        {
            log::warn!("fleet.keep: {}: {e}", path.display());
        }
        self.agreed = Some(agreed);
    }

    pub fn count_invalid_settings(&mut self) {
        self.invalid_settings += 1;
    }

    pub fn on_ready(&mut self, key: Key, turn: &mut Turn) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        while let Some(link) = self.connections.get_mut(key) {
            let up = link.hello_received || matches!(link.connection.is_up(), Ok(true));
            let works = link.connection.flush().is_ok() && (!up || link.connection.fill(READ_BYTES).is_ok());
            link.frames.push(&link.connection.input);
            link.connection.input.clear();
            let (ended, more) = (!works || link.connection.ended, link.connection.full);
            let replica = link.replica;
            loop {
                let Some(link) = self.connections.get_mut(key) else { return events };
                let frame = link.frames.pop();
                match frame {
                    Ok(Some(frame @ Frame::Hello { .. })) => {
                        match check_hello(&frame, &self.config.name, link.offered_version) {
                            Ok((_, speaks)) => {
                                link.hello_received = true;
                                self.negotiations.entry(replica).or_default().on_accepted();
                                let actions = self.member.on_connected(turn.now, speaks);
                                events.extend(self.execute(actions, turn));
                            }
                            Err(why) => {
                                self.fail(&why, turn);
                                return events;
                            }
                        }
                    }
                    Ok(Some(Frame::DrainAnswer { ask, refused })) => {
                        let decision = self.member.on_drain_answer(turn.now, ask, refused);
                        events.extend(decision.map(FleetEvent::DrainDecision));
                    }
                    Ok(Some(Frame::ReportAnswer(answer))) => {
                        let actions = self.member.on_answer(turn.now, answer);
                        events.extend(self.execute(actions, turn));
                    }
                    Ok(Some(Frame::CodedReportAnswer(answer, observations))) => {
                        let actions = self.member.on_coded_answer(turn.now, answer, &observations);
                        events.extend(self.execute(actions, turn));
                    }
                    // Danger: the member has taken note of the frames before this one and will not report them again,
                    // so the events collected so far are returned.
                    Ok(Some(Frame::Rejected(why))) => {
                        self.negotiations.entry(replica).or_default().on_rejected();
                        self.fail(&why, turn);
                        return events;
                    }
                    Err(why) => {
                        self.fail(&why, turn);
                        return events;
                    }
                    Ok(Some(_)) => {
                        self.fail("unexpected frame from a daemon", turn);
                        return events;
                    }
                    Ok(None) => break,
                }
            }
            if ended {
                if up && !self.connections.get(key).is_some_and(|link| link.hello_received) {
                    self.negotiations.entry(replica).or_default().on_closed();
                }
                self.close(turn);
                self.member.on_disconnected(turn.now);
                break;
            }
            if !more {
                break;
            }
        }
        self.schedule_timer(turn);
        events
    }

    fn fail(&mut self, why: &str, turn: &mut Turn) {
        log::warn!("fleet: {why}");
        self.close(turn);
        self.member.on_disconnected(turn.now);
        self.schedule_timer(turn);
    }

    fn close(&mut self, turn: &mut Turn) {
        if let Some(link) = self.open.take().and_then(|key| self.connections.remove(key)) {
            link.connection.close(&turn.registry);
        }
    }

    fn dial(&mut self, replica: u16, turn: &mut Turn) {
        self.close(turn);
        let Some((_, at)) = self.config.daemons.iter().find(|(known, _)| *known == replica) else { return };
        let (mut hello, name) = (Vec::new(), self.member.name().to_string());
        let offered_version = self.negotiations.entry(replica).or_default().version();
        Frame::hello_as(offered_version, &self.config.name, Initiator::Member { name }).write(&mut hello);
        let opened = self.connections.insert_with(|key| {
            let mut connection = Connection::open(*at, &turn.registry, Peer::Fleet(key).token())?;
            connection.queue(&[&hello], 0);
            Ok::<_, io::Error>(DaemonConnection {
                connection,
                frames: FrameReader::default(),
                hello_received: false,
                replica,
                offered_version,
            })
        });
        match opened {
            Ok(key) => self.open = Some(key),
            Err(_) => self.member.on_disconnected(turn.now),
        }
    }

    fn send(&mut self, frame: &Frame, turn: &mut Turn) {
        let Some(link) = self.open.and_then(|key| self.connections.get_mut(key)) else { return };
        let mut bytes = Vec::new();
        frame.write(&mut bytes);
        if link.connection.send(&[&bytes]).is_err() {
            self.close(turn);
            self.member.on_disconnected(turn.now);
        }
    }

    fn execute(&mut self, actions: Vec<HostAction>, turn: &mut Turn) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        for action in actions {
            match action {
                HostAction::Dial(replica) => self.dial(replica, turn),
                HostAction::Close => self.close(turn),
                HostAction::SendLocality(locality) => self.send(&Frame::Locality(locality), turn),
                HostAction::SendReport(report) => self.send(&Frame::Report(*report), turn),
                HostAction::SendDrainRequest(DrainRequest { number, forced_reason }) => {
                    self.send(&Frame::DrainRequest { ask: number, anyway: forced_reason }, turn);
                }
                HostAction::ApplySettings(version, settings) => {
                    events.push(FleetEvent::Settings(version, settings))
                }
                HostAction::DeliverObservations(passed) => events.push(FleetEvent::Observations(passed)),
                HostAction::SetDrainedEndpoints(outs) => events.push(FleetEvent::OutOfService(outs)),
                HostAction::SetReleaseDrain(sent) => events.push(FleetEvent::ReleaseDrain(sent)),
                HostAction::DuplicateProcess(true) => {
                    log::error!("fleet: another process uses the same name and incarnation")
                }
                HostAction::DuplicateProcess(false) => {
                    log::info!("fleet: no other process uses this name any more")
                }
                HostAction::Superseded(true) => {
                    log::error!("fleet: a later process has taken this name; end this one")
                }
                HostAction::Superseded(false) => {
                    log::info!("fleet: this process is recognized under its name again")
                }
                HostAction::AnswerError(what) => log::warn!("fleet: {what}"),
            }
        }
        self.schedule_timer(turn);
        events
    }

    /// Renders the fleet's metrics as text.
    pub fn metrics_text(&self, now: Moment) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let (version, knows) = (self.member.active_version(), self.member.latest_known());
        for (name, kind, value) in [
            ("settings_generation", "gauge", version.generation),
            ("settings_number", "gauge", version.number),
            ("settings_known_number", "gauge", knows.number),
            ("settings_faulty", "counter", self.invalid_settings),
            ("daemon_heard", "gauge", u64::from(self.member.has_recent_answer(now))),
            ("ends_told", "counter", self.reported_attempts),
            ("ends_heard", "counter", self.member.observations_received),
        ] {
            writeln!(text, "# TYPE sidecar_fleet_{name} {kind}\nsidecar_fleet_{name} {value}")
                .expect("a string takes all");
        }
        let limited =
            Resource::ALL.into_iter().filter_map(|of| Some((of, self.member.limits.allowed(now, of)?)));
        for (at, (of, allowed)) in limited.enumerate() {
            if at == 0 {
                writeln!(text, "# TYPE sidecar_fleet_allowed gauge").expect("a string takes all");
            }
            writeln!(text, "sidecar_fleet_allowed{{of=\"{of}\"}} {allowed}").expect("a string takes all");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_fault_of_the_key_is_named() {
        assert_eq!(FleetConfig::read(&json!({})), Ok(None));
        let good = json!({"name": "f", "daemons": [{"place": 1, "address": "127.0.0.1:7001"}], "keep": "k"});
        let read = |key: &Value| FleetConfig::read(&json!({"fleet": key}));
        assert_eq!(read(&good).unwrap().unwrap().heartbeat, Span::from_millis(HEARTBEAT_MS));
        for (path, value, said) in [
            ("/name", json!(""), "fleet.name: missing, or no text"),
            ("/daemons", json!([]), "fleet.daemons: expected at least one"),
            ("/daemons/0/address", json!("here"), "fleet.daemons.0.address: expected address:port"),
            ("/daemons/0/place", json!(-1), "fleet.daemons.0.place: expected a small whole number"),
            ("/keep", json!(5), "fleet.keep: expected a path, not 5"),
        ] {
            let mut faulty = good.clone();
            *faulty.pointer_mut(path).unwrap() = value;
            assert_eq!(read(&faulty).unwrap_err(), said);
        }
        let mut faulty = good.clone();
        faulty["beatMs"] = json!(1);
        assert_eq!(read(&faulty).unwrap_err(), "fleet.beatMs: expected 20 to 60000, not 1");
        faulty["odd"] = json!(1);
        assert_eq!(read(&faulty).unwrap_err(), "fleet.odd: unknown");
        assert_eq!(
            FleetConfig::read(&json!({"fleet": true})).unwrap_err(),
            "fleet: expected an object, not true"
        );
    }

    #[test]
    fn kept_settings_are_read_back_and_faulty_ones_named() {
        let path = std::env::temp_dir().join(format!("appledyke-kept-{}.json", std::process::id()));
        let key = json!({"fleet": {"name": "f", "keep": path, "daemons": [{"place": 1, "address": "127.0.0.1:1"}]}});
        let config = FleetConfig::read(&key).unwrap().unwrap();
        assert_eq!(config.load_saved(), Ok(None));
        let agreed =
            AgreedSettings { version: Version { generation: 2, number: 7 }, settings: json!({"rules": {}}) };
        agreed.save(&path, None).unwrap();
        assert_eq!(config.load_saved(), Ok(Some(agreed)));
        fs::write(&path, "{\"version\": 5}").unwrap();
        assert!(config.load_saved().unwrap_err().ends_with("version: missing, or no version"));
        fs::remove_file(&path).unwrap();
    }
}
