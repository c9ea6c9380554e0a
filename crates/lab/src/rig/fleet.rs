//! Daemons of one fleet as real processes, with a link of the rig between any two of them and before each for all others.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use appledyke_consensus::Id;
use appledyke_fleet::Version;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, OperatorReply, OperatorRequest, Status};
use appledyke_fleet::state::{SettingsChange, SettingsVersion, Write, WriteId};
use std::io::{Read, Write as _};
use std::net::TcpStream;

use super::folders;
use super::links::{Link, Standing};
use super::processes::{Process, Recipe};

/// Longer than anything here takes; what waits for so long has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Between two looks at what a wait is for.
const LOOK: Duration = Duration::from_millis(15);
pub const FLEET: &str = "rig";

/// How the daemons are set up, in milliseconds and entries.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub daemons: u16,
    pub election_ms: u64,
    pub beat_ms: u64,
    pub lease_ms: u64,
    pub gone_ms: u64,
    pub compact_every: u64,
    pub compare_every: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            daemons: 3,
            election_ms: 300,
            beat_ms: 40,
            lease_ms: 600,
            gone_ms: 60_000,
            compact_every: 32,
            compare_every: 8,
        }
    }
}

pub struct Daemons {
    pub root: PathBuf,
    shape: Shape,
    program: PathBuf,
    processes: BTreeMap<u16, Process>,
    /// From one daemon to another.
    links: BTreeMap<(u16, u16), Link>,
    /// From all others to a daemon.
    doors: BTreeMap<u16, Link>,
    writes: u64,
}

/// One answer, over a connection of its own.
///
/// # Errors
/// Why there was none.
pub fn ask(at: SocketAddr, ask: &OperatorRequest, within: Duration) -> Result<OperatorReply, String> {
    let told = |e: std::io::Error| format!("{at}: {e}");
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&at, within).map_err(told)?;
    let mut out = Vec::new();
    Frame::hello(FLEET, Initiator::Operator).write(&mut out);
    Frame::Request { number: 1, ask: ask.clone() }.write(&mut out);
    stream.write_all(&out).map_err(told)?;
    let (mut frames, mut piece) = (FrameReader::default(), [0; 16 * 1024]);
    loop {
        while let Some(frame) = frames.pop()? {
            if let Frame::Reply { reply, .. } = frame {
                return Ok(reply);
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("{at}: no answer in time"));
        }
        stream.set_read_timeout(Some(left)).map_err(told)?;
        match stream.read(&mut piece).map_err(told)? {
            0 => return Err(format!("{at}: closed")),
            read => frames.push(&piece[..read]),
        }
    }
}

impl Daemons {
    /// Writes the configurations, and founds the fleet at place 1. Nothing runs yet.
    ///
    /// # Errors
    /// What could not be made.
    pub fn new(root: &Path, program: &Path, template: &str, shape: Shape) -> Result<Daemons, String> {
        folders::empty(root)?;
        let write = |name: &str, text: &str| {
            let path = root.join(name);
            fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
        };
        write("template.json", template)?;
        let places: Vec<u16> = (1..=shape.daemons).collect();
        let told = |e: std::io::Error| format!("link: {e}");
        let (mut links, mut doors) = (BTreeMap::new(), BTreeMap::new());
        for from in &places {
            doors.insert(*from, Link::new(None).map_err(told)?);
            for to in places.iter().filter(|to| *to != from) {
                links.insert((*from, *to), Link::new(None).map_err(told)?);
            }
        }
        for place in &places {
            let address = |to: u16| if to == *place { doors[&to].at() } else { links[&(*place, to)].at() };
            let row = |to: &u16| format!("[[daemons]]\nplace = {to}\naddress = \"{}\"\n", address(*to));
            let daemons: String = places.iter().map(row).collect();
            let Shape { election_ms, beat_ms, lease_ms, gone_ms, compact_every, compare_every, .. } = shape;
            let text = format!(
                "fleet = \"{FLEET}\"\nplace = {place}\nlisten = \"127.0.0.1:0\"\nfolder = \"{}\"\ntemplate = \"{}\"\n\
                 election_ms = {election_ms}\nbeat_ms = {beat_ms}\nlease_ms = {lease_ms}\ngone_ms = {gone_ms}\n\
                 compact_every = {compact_every}\ncompare_every = {compare_every}\n{daemons}",
                root.join(format!("d{place}")).display(),
                root.join("template.json").display()
            );
            write(&format!("d{place}.toml"), &text)?;
        }
        let (processes, writes, program) = (BTreeMap::new(), 0, program.to_path_buf());
        Ok(Daemons { root: root.to_path_buf(), shape, program, processes, links, doors, writes })
    }

    pub fn places(&self) -> impl Iterator<Item = u16> + use<> {
        1..=self.shape.daemons
    }

    pub fn folder(&self, place: u16) -> PathBuf {
        self.root.join(format!("d{place}"))
    }

    pub fn configuration(&self, place: u16) -> PathBuf {
        self.root.join(format!("d{place}.toml"))
    }

    /// Where a daemon is reached by all but daemons, whether it runs or not.
    pub fn at(&self, place: u16) -> SocketAddr {
        self.doors[&place].at()
    }

    /// Runs the program for its end: its exit status, and all that it says.
    ///
    /// # Errors
    /// Why it can't be started.
    pub fn command(&self, arguments: &[&str]) -> Result<(Option<i32>, String), String> {
        let ran = std::process::Command::new(&self.program).args(arguments).output();
        let ran = ran.map_err(|e| format!("{}: {e}", self.program.display()))?;
        let text = [ran.stdout, ran.stderr].concat();
        Ok((ran.status.code(), String::from_utf8_lossy(&text).into_owned()))
    }

    /// # Errors
    /// What the program said.
    pub fn found(&self, place: u16) -> Result<(), String> {
        let file = self.configuration(place).display().to_string();
        match self.command(&["found", "--config", &file])? {
            (Some(0), _) => Ok(()),
            (_, said) => Err(said),
        }
    }

    /// # Errors
    /// Why it does not listen.
    pub fn start(&mut self, place: u16) -> Result<(), String> {
        self.start_with(place, &[])
    }

    /// With more arguments.
    ///
    /// # Errors
    /// Why it does not listen.
    pub fn start_with(&mut self, place: u16, more: &[&str]) -> Result<(), String> {
        let file = self.configuration(place).display().to_string();
        let arguments = [&["serve", "--config", &file], more].concat();
        let process = Recipe::new(&format!("d{place}"), &self.program, &arguments).start()?;
        let (line, _) = process.line(0, PATIENCE, |line| line.contains("listens on "))?;
        let at = line.split("listens on ").nth(1).and_then(|at| at.split(' ').next()?.parse().ok());
        let at = at.ok_or("listens at no address")?;
        let before = self.links.iter().filter(|((_, to), _)| *to == place).map(|(_, link)| link);
        before.chain([&self.doors[&place]]).for_each(|link| link.lead_to(at));
        self.processes.insert(place, process);
        Ok(())
    }

    /// Founds, starts all, and waits until all vote.
    ///
    /// # Errors
    /// What did not come.
    pub fn begin(&mut self) -> Result<(), String> {
        self.found(1)?;
        for place in self.places() {
            self.start(place)?;
        }
        let count = usize::from(self.shape.daemons);
        self.wait("all vote", |fleet| {
            let leads = |status: &Status| status.role == "Leader" && status.voters.len() == count;
            fleet.statuses().values().any(leads)
        })
    }

    /// A daemon that runs or is stopped.
    ///
    /// # Panics
    /// Where there is none.
    pub fn process(&mut self, place: u16) -> &mut Process {
        self.processes.get_mut(&place).expect("a process that was started")
    }

    /// Where a daemon that runs listens itself, past the rig's links: two threads for each connection would be measured too.
    ///
    /// # Errors
    /// That it has not said so.
    pub fn own_address(&mut self, place: u16) -> Result<SocketAddr, String> {
        let said = self.process(place).line(0, PATIENCE, |line| line.contains("listens on "))?.0;
        let at = said.split("listens on ").nth(1).and_then(|at| at.split(' ').next()?.parse().ok());
        at.ok_or("no address".to_string())
    }

    /// The same of all, the leader first if there is one.
    ///
    /// # Errors
    /// The one that has not said so.
    pub fn own_addresses(&mut self) -> Result<Vec<(u16, SocketAddr)>, String> {
        let leader = self.leader();
        let mut places: Vec<u16> = self.places().collect();
        places.sort_by_key(|place| Some(*place) != leader);
        places.into_iter().map(|place| Ok((place, self.own_address(place)?))).collect()
    }

    pub fn running(&self, place: u16) -> bool {
        self.processes.contains_key(&place)
    }

    pub fn kill(&mut self, place: u16) {
        self.processes.remove(&place);
    }

    /// The link from one daemon to another.
    pub fn link(&self, from: u16, to: u16) -> &Link {
        &self.links[&(from, to)]
    }

    pub fn door(&self, place: u16) -> &Link {
        &self.doors[&place]
    }

    /// Cuts or mends all between two daemons, silently.
    pub fn between(&self, one: u16, other: u16, standing: Standing) {
        self.link(one, other).stand(standing);
        self.link(other, one).stand(standing);
    }

    /// Cuts or mends all between a daemon and the others.
    pub fn around(&self, place: u16, standing: Standing) {
        self.places().filter(|other| *other != place).for_each(|other| self.between(place, other, standing));
    }

    pub fn status(&self, place: u16) -> Option<Status> {
        match ask(self.at(place), &OperatorRequest::Status, Duration::from_millis(500)) {
            Ok(OperatorReply::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Of those that run, not stopped.
    pub fn statuses(&self) -> BTreeMap<u16, Status> {
        let running = self.processes.iter().filter(|(_, process)| !process.is_stopped());
        running.filter_map(|(place, _)| Some((*place, self.status(*place)?))).collect()
    }

    /// The place that leads by what the latest term's leader says.
    pub fn leader(&self) -> Option<u16> {
        let statuses = self.statuses();
        let leaders = statuses.iter().filter(|(_, status)| status.role == "Leader");
        leaders.max_by_key(|(_, status)| status.term).map(|(place, _)| *place)
    }

    /// # Errors
    /// What did not come, and how the daemons stand.
    pub fn wait(&self, what: &str, check: impl Fn(&Daemons) -> bool) -> Result<(), String> {
        let until = Instant::now() + PATIENCE;
        while !check(self) {
            if Instant::now() >= until {
                let told: Vec<String> =
                    self.statuses().iter().map(|(at, s)| format!("{at}: {s:?}")).collect();
                return Err(format!("{what}: it did not come; {}", told.join("\n")));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// # Errors
    /// That nobody came to lead.
    pub fn wait_for_leader(&self) -> Result<u16, String> {
        self.wait("a leader", |fleet| fleet.leader().is_some())?;
        self.leader().ok_or("the leader has gone".to_string())
    }

    /// What the fleet answers: all daemons in turn, until one does.
    ///
    /// # Errors
    /// That none did in time; for a write, that its fate is unknown.
    pub fn ask(&self, asked: &OperatorRequest, within: Duration) -> Result<OperatorReply, String> {
        let until = Instant::now() + within;
        let mut last = String::new();
        while Instant::now() < until {
            for place in self.places().filter(|place| self.running(*place)) {
                let left = until.saturating_duration_since(Instant::now()).min(Duration::from_secs(2));
                match ask(self.at(place), asked, left.max(Duration::from_millis(1))) {
                    Ok(OperatorReply::NotLeader(_)) => {}
                    Ok(OperatorReply::Unknown(why)) => last = why,
                    Ok(reply) => return Ok(reply),
                    Err(why) => last = why,
                }
            }
            std::thread::sleep(LOOK);
        }
        Err(format!("nobody answered: {last}"))
    }

    /// A write that is like no other.
    pub fn a_write(&mut self, what: SettingsChange, expects: Option<Version>) -> Write {
        self.writes += 1;
        let (id, by, why) = (WriteId(7, self.writes), "rig".to_string(), format!("write {}", self.writes));
        Write { id, expected_version: expects, author: by, reason: why, at_ms: 0, change: what }
    }

    /// Puts settings, and says which version they became.
    ///
    /// # Errors
    /// What came instead.
    pub fn put(&mut self, settings: &str) -> Result<Version, String> {
        let write = self.a_write(SettingsChange::Put(settings.to_string(), Vec::new(), Vec::new()), None);
        match self.ask(&OperatorRequest::Write(write), PATIENCE)? {
            OperatorReply::Committed(version) => Ok(version),
            other => Err(format!("{other:?}")),
        }
    }

    /// # Errors
    /// What came instead.
    pub fn history(&self) -> Result<Vec<SettingsVersion>, String> {
        match self.ask(&OperatorRequest::History, PATIENCE)? {
            OperatorReply::History(rows) => Ok(rows),
            other => Err(format!("{other:?}")),
        }
    }

    /// Waits until all places run, vote, and hold the same state.
    ///
    /// # Errors
    /// How they stand if they never do.
    pub fn wait_for_one_state(&self) -> Result<Vec<Id>, String> {
        let count = usize::from(self.shape.daemons);
        let same = |fleet: &Daemons| {
            let statuses = fleet.statuses();
            let states: Vec<_> = statuses.values().map(|s| (s.applied, s.digest, s.voters.len())).collect();
            let role = |s: &Status| ["Leader", "Follower"].contains(&s.role.as_str());
            states.len() == count
                && states.iter().all(|state| *state == states[0] && state.2 == count)
                && statuses.values().all(role)
        };
        self.wait("one state at all places", same)?;
        Ok(self.statuses().into_values().map(|status| status.id).collect())
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.root);
        }
    }
}
