//! This process as a member of a fleet: the connection to one daemon, and what comes over it. What is decided of this stands
//! in `appledyke_fleet::member`. Without the operators' key `fleet` none of it is there.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::budgets::Resource;
use appledyke_fleet::evidence::RelayedObservation;
use appledyke_fleet::limits::Limits;
use appledyke_fleet::member::{HostAction, Member, MemberConfig};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, VersionNegotiation, check_hello};
use appledyke_fleet::scopes::Locality;
use serde_json::{Value, json};

use crate::figures::End;
use crate::net::Turn;
use crate::net::connection::Connection;
use crate::net::deadlines::Due;
use crate::net::slots::{Key, Peer, Slots};

/// Bytes read at a time.
const READ_MOST: usize = 64 * 1024;
/// Between two beats where the operators state nothing, and the least and most that they may.
const BEAT_MS: u64 = 500;
const BEAT_LEAST_MS: u64 = 20;
const BEAT_MOST_MS: u64 = 60_000;
/// Descriptors that this takes at the most: a connection, and one more while another is opened.
pub const SOCKETS: usize = 2;

/// What the operators' key says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    name: String,
    daemons: Vec<(u16, SocketAddr)>,
    beat: Span,
    /// Where the last good settings are kept, for a start while no daemon is there.
    keep: Option<PathBuf>,
    /// What it may use of the fleet's budgets without daemons, and in which window, in milliseconds.
    alone: BTreeMap<Resource, (u64, u64)>,
    /// The groups that it belongs to: zone, tier, pool.
    groups: Vec<String>,
    /// What it belongs to, for settings that are put for a part of the fleet and for others' evidence.
    belongs: Option<Locality>,
    /// What operators call the version of this process; the program's own if they state none.
    version: String,
}

impl Terms {
    /// Reads the key; none where the file does not have it.
    ///
    /// # Errors
    /// The key that is at fault.
    pub fn read(file: &Value) -> Result<Option<Terms>, String> {
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
        let rows = key["daemons"].as_array().ok_or("fleet.daemons: missing, or no list")?;
        let mut daemons = Vec::new();
        for (at, row) in rows.iter().enumerate() {
            let place = row["place"].as_u64().and_then(|place| u16::try_from(place).ok());
            let place =
                place.ok_or_else(|| format!("fleet.daemons.{at}.place: expected a small whole number"))?;
            let address = row["address"].as_str().and_then(|address| address.parse().ok());
            let address =
                address.ok_or_else(|| format!("fleet.daemons.{at}.address: expected address:port"))?;
            if daemons.iter().any(|(other, _)| *other == place) {
                return Err(format!("fleet.daemons.{at}.place: {place} stands there twice"));
            }
            daemons.push((place, address));
        }
        if daemons.is_empty() {
            return Err("fleet.daemons: expected at least one".to_string());
        }
        let beat =
            match &key["beatMs"] {
                Value::Null => BEAT_MS,
                value => value.as_u64().filter(|ms| (BEAT_LEAST_MS..=BEAT_MOST_MS).contains(ms)).ok_or_else(
                    || format!("fleet.beatMs: expected {BEAT_LEAST_MS} to {BEAT_MOST_MS}, not {value}"),
                )?,
            };
        let keep = match &key["keep"] {
            Value::Null => None,
            Value::String(path) => Some(PathBuf::from(path)),
            other => return Err(format!("fleet.keep: expected a path, not {other}")),
        };
        let alone = alone(&key["alone"])?;
        let groups = match &key["groups"] {
            Value::Null => Vec::new(),
            Value::Array(names) if names.iter().all(Value::is_string) => {
                names.iter().filter_map(Value::as_str).map(str::to_string).collect()
            }
            other => return Err(format!("fleet.groups: expected a list of names, not {other}")),
        };
        let belongs = belongs(&key["belongs"])?;
        let version = match &key["version"] {
            Value::Null => env!("CARGO_PKG_VERSION").to_string(),
            Value::String(version) if !version.is_empty() => version.clone(),
            other => return Err(format!("fleet.version: expected a text, not {other}")),
        };
        Ok(Some(Terms {
            name: name.to_string(),
            daemons,
            beat: Span::from_millis(beat),
            keep,
            alone,
            groups,
            belongs,
            version,
        }))
    }

    /// The settings that this member acted on last, if they were kept.
    ///
    /// # Errors
    /// Why they can't be read, or that they were kept by a process that belonged elsewhere.
    pub fn kept(&self) -> Result<Option<Agreed>, String> {
        let Some(path) = &self.keep else { return Ok(None) };
        let named = |what: String| format!("fleet.keep: {}: {what}", path.display());
        let text = match fs::read_to_string(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other.map_err(|e| named(e.to_string()))?,
        };
        let kept: Value = serde_json::from_str(&text).map_err(|e| named(format!("not JSON: {e}")))?;
        let version = kept["version"].as_str().and_then(|version| version.parse().ok());
        let version = version.ok_or_else(|| named("version: missing, or no version".to_string()))?;
        // Danger: another service's settings, and their version would hide this one's own.
        let other = belongs(&kept["belongs"]).map_err(named)?;
        if other != self.belongs {
            let told = |locality: &Option<Locality>| locality.as_ref().map_or("nothing".into(), told);
            let (kept, own) = (told(&other), told(&self.belongs));
            return Err(named(format!(
                "kept by a process that belonged to {kept}, and this one does to {own}"
            )));
        }
        Ok(Some(Agreed { version, settings: kept["settings"].clone() }))
    }
}

/// The names that a locality may have, as they stand in files.
fn belongs(key: &Value) -> Result<Option<Locality>, String> {
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

fn rows(locality: &Locality) -> impl Iterator<Item = (&'static str, &String)> {
    let rows = [("service", &locality.service), ("zone", &locality.zone), ("region", &locality.region)];
    rows.into_iter().filter_map(|(key, name)| Some((key, name.as_ref()?)))
}

fn told(locality: &Locality) -> String {
    rows(locality).map(|(key, name)| format!("{key}={name}")).collect::<Vec<_>>().join(", ")
}

fn alone(key: &Value) -> Result<BTreeMap<Resource, (u64, u64)>, String> {
    let mut alone = BTreeMap::new();
    let rows = match key {
        Value::Null => return Ok(alone),
        Value::Object(rows) => rows,
        other => return Err(format!("fleet.alone: expected an object, not {other}")),
    };
    for (name, row) in rows {
        let of = Resource::ALL.into_iter().find(|of| of.name() == name);
        let of = of.ok_or_else(|| {
            format!("fleet.alone.{name}: unknown; budgets are of {:?}", Resource::ALL.map(Resource::name))
        })?;
        let part = row["part"]
            .as_u64()
            .ok_or_else(|| format!("fleet.alone.{name}.part: expected a whole number"))?;
        let window = match &row["windowMs"] {
            Value::Null => 0,
            value => value
                .as_u64()
                .ok_or_else(|| format!("fleet.alone.{name}.windowMs: expected a whole number"))?,
        };
        if of.is_concurrency_limit() != (window == 0) {
            let wanted =
                if of.is_concurrency_limit() { "none for a stock" } else { "a positive whole number" };
            return Err(format!("fleet.alone.{name}.windowMs: expected {wanted}, not {window}"));
        }
        alone.insert(of, (part, window));
    }
    Ok(alone)
}

/// Settings that the fleet has agreed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreed {
    pub version: Version,
    pub settings: Value,
}

impl Agreed {
    /// Brings these into place whole. Danger: half a file at the next start would leave this member without any.
    ///
    /// # Errors
    /// The system's.
    pub fn keep(&self, path: &Path, belongs: Option<&Locality>) -> io::Result<()> {
        let mut kept = json!({"version": self.version.to_string(), "settings": self.settings});
        if let Some(locality) = belongs {
            kept["belongs"] = rows(locality).map(|(key, name)| (key.to_string(), json!(name))).collect();
        }
        let text = kept.to_string();
        let draft = path.with_extension("draft");
        fs::write(&draft, text)?;
        fs::rename(&draft, path)
    }
}

/// What the loop is to carry out.
pub enum News {
    /// Settings that are to be checked whole, and acted on.
    Settings(Version, String),
    /// How others' attempts ended.
    Ends(Vec<RelayedObservation>),
    /// These endpoints are out of service, and no others.
    Outs(Vec<String>),
    /// It may go out, or not now and why.
    Out { refused: Option<String> },
    /// A release sends it out, or lets it come back.
    Sent(bool),
}

/// An attempt that is to be: again for the same request, to an endpoint that is cold, where this process has so many connections
/// and so many attempts out, or has an idle one.
pub struct Wish {
    pub again: bool,
    pub cold: bool,
    pub connections: usize,
    pub out: usize,
    pub idle: bool,
}

struct Link {
    connection: Connection,
    frames: FrameReader,
    greeted: bool,
    place: u16,
    greets: u16,
}

pub struct Fleet {
    terms: Terms,
    member: Member,
    links: Slots<Link>,
    open: Option<Key>,
    /// With which version each daemon is greeted next.
    greetings: BTreeMap<u16, VersionNegotiation>,
    deadline: Option<Moment>,
    pub agreed: Option<Agreed>,
    /// Settings that were agreed on and found faulty here.
    faulty: u64,
    told: u64,
}

impl Fleet {
    pub fn new(terms: Terms, name: &str, seed: u64, agreed: Option<Agreed>, turn: &mut Turn) -> Fleet {
        let now = turn.now;
        let setup = MemberConfig {
            name: name.to_string(),
            daemons: terms.daemons.iter().map(|(place, _)| *place).collect(),
            heartbeat: terms.beat,
            // The machine's clock at the start: a later start is a later incarnation.
            incarnation: now.nanos(),
            process_nonce: u64::from(std::process::id()),
            version: agreed.as_ref().map_or_else(Version::default, |agreed| agreed.version),
            limits: Limits::new(&terms.alone),
            groups: terms.groups.clone(),
            locality: terms.belongs.clone(),
            program_version: terms.version.clone(),
        };
        let member = Member::new(now, setup, seed);
        let mut fleet = Fleet {
            terms,
            member,
            links: Slots::default(),
            open: None,
            greetings: BTreeMap::new(),
            deadline: None,
            agreed,
            faulty: 0,
            told: 0,
        };
        fleet.time(turn);
        fleet
    }

    fn time(&mut self, turn: &mut Turn) {
        let next = self
            .member
            .drain_requests
            .deadline()
            .map_or(self.member.next_due(), |until| until.min(self.member.next_due()));
        if self.deadline != Some(next) {
            turn.deadlines.shift(Due::Fleet, &mut self.deadline, Some(next));
        }
    }

    pub fn timed_out(&mut self, turn: &mut Turn) -> Vec<News> {
        self.deadline = None;
        let done = self.member.on_timer(turn.now);
        let mut news = self.carry_out(done, turn);
        if self.member.drain_requests.deadline().is_some_and(|until| until <= turn.now) {
            self.member.drain_requests.give_up();
            self.time(turn);
            news.push(News::Out { refused: Some("no daemon heard".to_string()) });
        }
        news
    }

    /// How this process stands; it is told at once where that has changed.
    pub fn stands(&mut self, standing: MemberStatus, turn: &mut Turn) {
        let done = self.member.set_status(turn.now, standing);
        if !done.is_empty() {
            self.carry_out(done, turn);
        }
    }

    /// Whether the fleet's budgets allow this attempt. The moment is that of the sending. Danger: a turn's own may lie before
    /// a stop that outlasted the lease.
    pub fn may_send(&mut self, now: Moment, wish: &Wish) -> bool {
        let limits = &mut self.member.limits;
        if limits.is_empty() {
            return true;
        }
        let held = limits.try_hold(now, Resource::InFlight, wish.out as u64)
            && (wish.idle || limits.try_hold(now, Resource::Connections, wish.connections as u64));
        held && limits.try_spend_attempt(now, wish.again, wish.cold)
    }

    /// Whether the fleet's budgets allow a call to the list's service now.
    pub fn may_call_list(&mut self, now: Moment) -> bool {
        self.member.limits.try_spend(now, Resource::DiscoveryCalls, true)
    }

    /// Most connections that it may have at an endpoint now.
    pub fn connections_most(&self, now: Moment) -> Option<u64> {
        self.member.limits.allowed(now, Resource::Connections)
    }

    /// What it holds at the endpoint where it holds most, and whether no other process serves its address.
    pub fn holds(&mut self, connections: usize, out: usize, alone: bool) {
        self.member.limits.set_held(Resource::Connections, connections as u64);
        self.member.limits.set_held(Resource::InFlight, out as u64);
        self.member.sole_at_address = alone;
    }

    /// Asks the fleet whether this process may go out; `false` where nobody can be asked.
    pub fn ask_out(&mut self, anyway: Option<String>, turn: &mut Turn) -> bool {
        if !self.member.is_connected() || !self.member.has_recent_answer(turn.now) {
            return false;
        }
        let ask = self.member.drain_requests.request(turn.now);
        self.send(&Frame::DrainRequest { ask, anyway }, turn);
        self.time(turn);
        true
    }

    /// It serves, and has not asked.
    pub fn is_back(&mut self) {
        self.member.drain_requests.on_return();
    }

    /// Where it holds something still, of what is out of service.
    pub fn holds_at(&mut self, held: Vec<String>) {
        self.member.endpoints_in_use = held;
    }

    /// The endpoints that it is to look for.
    pub fn looks_for(&self) -> impl Iterator<Item = &String> {
        self.member.watched_endpoints()
    }

    /// What it has open still, and which of the endpoints that it looks for the list does not have as ready.
    pub fn stands_with(&mut self, open: usize, lacks: Vec<String>) {
        (self.member.open_requests, self.member.missing_endpoints) = (open as u64, lacks);
    }

    /// A request has ended, and served took longer than its latency budget or not.
    pub fn ended(&mut self, end: End, slow: bool) {
        let figures = &mut self.member.request_counts;
        match end {
            End::Served => {
                figures.served += 1;
                figures.slow += u64::from(slow);
            }
            End::Rejected => figures.rejected += 1,
            End::Failed => figures.failed += 1,
        }
    }

    /// Whether it is limited at all.
    pub fn is_limited(&self) -> bool {
        !self.member.limits.is_empty()
    }

    pub fn book(&mut self, now: Moment, endpoint: u32, method: u32, outcome: u8, part: f64) {
        self.told += 1;
        self.member.record_attempt(now, endpoint, method, outcome, part as f32);
    }

    /// It acts on these from now on.
    pub fn acts_on(&mut self, agreed: Agreed) {
        self.member.set_active_version(agreed.version);
        let belongs = self.member.locality().filter(|_| !self.member.is_unscoped());
        if let Some(path) = &self.terms.keep
            && let Err(e) = agreed.keep(path, belongs)
        {
            log::warn!("fleet.keep: {}: {e}", path.display());
        }
        self.agreed = Some(agreed);
    }

    pub fn found_faulty(&mut self) {
        self.faulty += 1;
    }

    pub fn ready(&mut self, key: Key, turn: &mut Turn) -> Vec<News> {
        let mut news = Vec::new();
        while let Some(link) = self.links.get_mut(key) {
            let up = link.greeted || matches!(link.connection.is_up(), Ok(true));
            let works = link.connection.flush().is_ok() && (!up || link.connection.fill(READ_MOST).is_ok());
            link.frames.push(&link.connection.input);
            link.connection.input.clear();
            let (ended, more) = (!works || link.connection.ended, link.connection.full);
            let place = link.place;
            loop {
                let Some(link) = self.links.get_mut(key) else { return news };
                let frame = link.frames.pop();
                match frame {
                    Ok(Some(frame @ Frame::Hello { .. })) => {
                        match check_hello(&frame, &self.terms.name, link.greets) {
                            Ok((_, speaks)) => {
                                link.greeted = true;
                                self.greetings.entry(place).or_default().on_accepted();
                                let done = self.member.on_connected(turn.now, speaks);
                                news.extend(self.carry_out(done, turn));
                            }
                            Err(why) => {
                                self.fail(&why, turn);
                                return news;
                            }
                        }
                    }
                    Ok(Some(Frame::DrainAnswer { ask, refused })) => {
                        if self.member.drain_requests.on_answer(ask, refused.is_none()) {
                            news.push(News::Out { refused });
                        }
                    }
                    Ok(Some(Frame::ReportAnswer(told))) => {
                        let done = self.member.on_answer(turn.now, told);
                        news.extend(self.carry_out(done, turn));
                    }
                    Ok(Some(Frame::CodedReportAnswer(told, coded))) => {
                        let done = self.member.on_coded_answer(turn.now, told, &coded);
                        news.extend(self.carry_out(done, turn));
                    }
                    // Danger: what was said before is known to the member by now, and is not told again.
                    Ok(Some(Frame::Rejected(why))) => {
                        self.greetings.entry(place).or_default().on_rejected();
                        self.fail(&why, turn);
                        return news;
                    }
                    Err(why) => {
                        self.fail(&why, turn);
                        return news;
                    }
                    Ok(Some(_)) => {
                        self.fail("a frame that is not a daemon's to send", turn);
                        return news;
                    }
                    Ok(None) => break,
                }
            }
            if ended {
                if up && !self.links.get(key).is_some_and(|link| link.greeted) {
                    self.greetings.entry(place).or_default().on_closed();
                }
                self.close(turn);
                self.member.on_disconnected(turn.now);
                break;
            }
            if !more {
                break;
            }
        }
        self.time(turn);
        news
    }

    fn fail(&mut self, why: &str, turn: &mut Turn) {
        log::warn!("fleet: {why}");
        self.close(turn);
        self.member.on_disconnected(turn.now);
        self.time(turn);
    }

    fn close(&mut self, turn: &mut Turn) {
        if let Some(link) = self.open.take().and_then(|key| self.links.remove(key)) {
            link.connection.close(&turn.registry);
        }
    }

    fn dial(&mut self, place: u16, turn: &mut Turn) {
        self.close(turn);
        let Some((_, at)) = self.terms.daemons.iter().find(|(known, _)| *known == place) else { return };
        let (mut hello, name) = (Vec::new(), self.member.name().to_string());
        let greets = self.greetings.entry(place).or_default().version();
        Frame::hello_as(greets, &self.terms.name, Initiator::Member { name }).write(&mut hello);
        let opened = self.links.insert_with(|key| {
            let mut connection = Connection::open(*at, &turn.registry, Peer::Fleet(key).token())?;
            connection.queue(&[&hello], 0);
            Ok::<_, io::Error>(Link {
                connection,
                frames: FrameReader::default(),
                greeted: false,
                place,
                greets,
            })
        });
        match opened {
            Ok(key) => self.open = Some(key),
            Err(_) => self.member.on_disconnected(turn.now),
        }
    }

    fn send(&mut self, frame: &Frame, turn: &mut Turn) {
        let Some(link) = self.open.and_then(|key| self.links.get_mut(key)) else { return };
        let mut bytes = Vec::new();
        frame.write(&mut bytes);
        if link.connection.send(&[&bytes]).is_err() {
            self.close(turn);
            self.member.on_disconnected(turn.now);
        }
    }

    fn carry_out(&mut self, done: Vec<HostAction>, turn: &mut Turn) -> Vec<News> {
        let mut news = Vec::new();
        for what in done {
            match what {
                HostAction::Dial(place) => self.dial(place, turn),
                HostAction::Close => self.close(turn),
                HostAction::SendLocality(locality) => self.send(&Frame::Locality(locality), turn),
                HostAction::SendReport(report) => self.send(&Frame::Report(*report), turn),
                HostAction::ApplySettings(version, settings) => news.push(News::Settings(version, settings)),
                HostAction::DeliverObservations(passed) => news.push(News::Ends(passed)),
                HostAction::SetDrainedEndpoints(outs) => news.push(News::Outs(outs)),
                HostAction::SetReleaseDrain(sent) => news.push(News::Sent(sent)),
                HostAction::DuplicateProcess(true) => {
                    log::error!("fleet: another process runs under this name and incarnation")
                }
                HostAction::DuplicateProcess(false) => {
                    log::info!("fleet: no other process runs under this name any more")
                }
                HostAction::Superseded(true) => {
                    log::error!("fleet: a later process has taken this name; end this one")
                }
                HostAction::Superseded(false) => log::info!("fleet: this process is known by its name again"),
                HostAction::AnswerError(what) => log::warn!("fleet: {what}"),
            }
        }
        self.time(turn);
        news
    }

    /// What is counted, for operators.
    pub fn figures(&self, now: Moment) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let (version, knows) = (self.member.active_version(), self.member.latest_known());
        for (name, kind, value) in [
            ("settings_generation", "gauge", version.generation),
            ("settings_number", "gauge", version.number),
            ("settings_known_number", "gauge", knows.number),
            ("settings_faulty", "counter", self.faulty),
            ("daemon_heard", "gauge", u64::from(self.member.has_recent_answer(now))),
            ("ends_told", "counter", self.told),
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
        assert_eq!(Terms::read(&json!({})), Ok(None));
        let good = json!({"name": "f", "daemons": [{"place": 1, "address": "127.0.0.1:7001"}], "keep": "k"});
        let read = |key: &Value| Terms::read(&json!({"fleet": key}));
        assert_eq!(read(&good).unwrap().unwrap().beat, Span::from_millis(BEAT_MS));
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
        assert_eq!(Terms::read(&json!({"fleet": true})).unwrap_err(), "fleet: expected an object, not true");
    }

    #[test]
    fn kept_settings_are_read_back_and_faulty_ones_named() {
        let path = std::env::temp_dir().join(format!("appledyke-kept-{}.json", std::process::id()));
        let key = json!({"fleet": {"name": "f", "keep": path, "daemons": [{"place": 1, "address": "127.0.0.1:1"}]}});
        let terms = Terms::read(&key).unwrap().unwrap();
        assert_eq!(terms.kept(), Ok(None));
        let agreed = Agreed { version: Version { generation: 2, number: 7 }, settings: json!({"rules": {}}) };
        agreed.keep(&path, None).unwrap();
        assert_eq!(terms.kept(), Ok(Some(agreed)));
        fs::write(&path, "{\"version\": 5}").unwrap();
        assert!(terms.kept().unwrap_err().ends_with("version: missing, or no version"));
        fs::remove_file(&path).unwrap();
    }
}
