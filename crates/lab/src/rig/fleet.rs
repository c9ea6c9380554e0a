//! Runs the daemons of one fleet as processes. A link of the rig connects each pair of daemons, and one in front of each daemon
//! serves members and operators.

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
use super::links::{Link, LinkState};
use super::processes::{Process, ProcessSpec};

/// Timeout of every wait: longer than any expected step, so a wait that reaches it has failed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of a wait's condition.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
pub const FLEET: &str = "rig";

/// Settings of the daemons, in milliseconds and log entries.
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
    /// Links from one daemon to another, by replica ids.
    links: BTreeMap<(u16, u16), Link>,
    /// Links from members and operators to a daemon.
    client_links: BTreeMap<u16, Link>,
    writes: u64,
}

/// Sends a request over a new connection and returns the reply.
///
/// # Errors
/// Why there was no reply.
pub fn ask(at: SocketAddr, ask: &OperatorRequest, within: Duration) -> Result<OperatorReply, String> {
    let error = |e: std::io::Error| format!("{at}: {e}");
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&at, within).map_err(error)?;
    let mut out = Vec::new();
    Frame::hello(FLEET, Initiator::Operator).write(&mut out);
    Frame::Request { number: 1, ask: ask.clone() }.write(&mut out);
    stream.write_all(&out).map_err(error)?;
    let (mut frames, mut buffer) = (FrameReader::default(), [0; 16 * 1024]);
    loop {
        while let Some(frame) = frames.pop()? {
            if let Frame::Reply { reply, .. } = frame {
                return Ok(reply);
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("{at}: no reply before the timeout"));
        }
        stream.set_read_timeout(Some(left)).map_err(error)?;
        match stream.read(&mut buffer).map_err(error)? {
            0 => return Err(format!("{at}: connection closed before a reply")),
            read => frames.push(&buffer[..read]),
        }
    }
}

impl Daemons {
    /// Writes the daemons' configurations and creates the links. Starts no process.
    ///
    /// # Errors
    /// What could not be created.
    pub fn new(root: &Path, program: &Path, template: &str, shape: Shape) -> Result<Daemons, String> {
        folders::empty(root)?;
        let write = |name: &str, text: &str| {
            let path = root.join(name);
            fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
        };
        write("template.json", template)?;
        let replicas: Vec<u16> = (1..=shape.daemons).collect();
        let error = |e: std::io::Error| format!("link: {e}");
        let (mut links, mut client_links) = (BTreeMap::new(), BTreeMap::new());
        for from in &replicas {
            client_links.insert(*from, Link::new(None).map_err(error)?);
            for to in replicas.iter().filter(|to| *to != from) {
                links.insert((*from, *to), Link::new(None).map_err(error)?);
            }
        }
        for replica in &replicas {
            let address =
                |to: u16| if to == *replica { client_links[&to].at() } else { links[&(*replica, to)].at() };
            let row = |to: &u16| format!("[[daemons]]\nplace = {to}\naddress = \"{}\"\n", address(*to));
            let daemons: String = replicas.iter().map(row).collect();
            let Shape { election_ms, beat_ms, lease_ms, gone_ms, compact_every, compare_every, .. } = shape;
            let text = format!(
                "fleet = \"{FLEET}\"\nplace = {replica}\nlisten = \"127.0.0.1:0\"\nfolder = \"{}\"\ntemplate = \"{}\"\n\
                 election_ms = {election_ms}\nbeat_ms = {beat_ms}\nlease_ms = {lease_ms}\ngone_ms = {gone_ms}\n\
                 compact_every = {compact_every}\ncompare_every = {compare_every}\n{daemons}",
                root.join(format!("d{replica}")).display(),
                root.join("template.json").display()
            );
            write(&format!("d{replica}.toml"), &text)?;
        }
        let (processes, writes, program) = (BTreeMap::new(), 0, program.to_path_buf());
        Ok(Daemons { root: root.to_path_buf(), shape, program, processes, links, client_links, writes })
    }

    pub fn replicas(&self) -> impl Iterator<Item = u16> + use<> {
        1..=self.shape.daemons
    }

    pub fn folder(&self, replica: u16) -> PathBuf {
        self.root.join(format!("d{replica}"))
    }

    pub fn configuration(&self, replica: u16) -> PathBuf {
        self.root.join(format!("d{replica}.toml"))
    }

    /// Returns the address at which members and operators reach a daemon, also while it is down.
    pub fn at(&self, replica: u16) -> SocketAddr {
        self.client_links[&replica].at()
    }

    /// Runs the program to its end and returns its exit code and output.
    ///
    /// # Errors
    /// Why it cannot be started.
    pub fn command(&self, arguments: &[&str]) -> Result<(Option<i32>, String), String> {
        let ran = std::process::Command::new(&self.program).args(arguments).output();
        let ran = ran.map_err(|e| format!("{}: {e}", self.program.display()))?;
        let text = [ran.stdout, ran.stderr].concat();
        Ok((ran.status.code(), String::from_utf8_lossy(&text).into_owned()))
    }

    /// # Errors
    /// The program's output.
    pub fn found(&self, replica: u16) -> Result<(), String> {
        let file = self.configuration(replica).display().to_string();
        match self.command(&["found", "--config", &file])? {
            (Some(0), _) => Ok(()),
            (_, output) => Err(output),
        }
    }

    /// # Errors
    /// Why it does not listen.
    pub fn start(&mut self, replica: u16) -> Result<(), String> {
        self.start_with(replica, &[])
    }

    /// Starts a daemon with additional arguments.
    ///
    /// # Errors
    /// Why it does not listen.
    pub fn start_with(&mut self, replica: u16, more: &[&str]) -> Result<(), String> {
        let file = self.configuration(replica).display().to_string();
        let arguments = [&["serve", "--config", &file], more].concat();
        let process = ProcessSpec::new(&format!("d{replica}"), &self.program, &arguments).start()?;
        let (line, _) = process.wait_for_line(0, WAIT_TIMEOUT, |line| line.contains("listens on "))?;
        let at = line.split("listens on ").nth(1).and_then(|at| at.split(' ').next()?.parse().ok());
        let at = at.ok_or("the log names no listen address")?;
        let incoming = self.links.iter().filter(|((_, to), _)| *to == replica).map(|(_, link)| link);
        incoming.chain([&self.client_links[&replica]]).for_each(|link| link.set_target(at));
        self.processes.insert(replica, process);
        Ok(())
    }

    /// Creates the fleet, starts all daemons, and waits until all are voters.
    ///
    /// # Errors
    /// What failed or timed out.
    pub fn start_all(&mut self) -> Result<(), String> {
        self.found(1)?;
        for replica in self.replicas() {
            self.start(replica)?;
        }
        let count = usize::from(self.shape.daemons);
        self.wait("all vote", |fleet| {
            let leads = |status: &Status| status.role == "Leader" && status.voters.len() == count;
            fleet.statuses().values().any(leads)
        })
    }

    /// Returns a daemon's process, running or paused.
    ///
    /// # Panics
    /// If the daemon was not started.
    pub fn process(&mut self, replica: u16) -> &mut Process {
        self.processes.get_mut(&replica).expect("a process that was started")
    }

    /// Returns a running daemon's own listen address. It bypasses the rig's links, whose two threads per connection would be
    /// measured too.
    ///
    /// # Errors
    /// The daemon has not logged its address.
    pub fn own_address(&mut self, replica: u16) -> Result<SocketAddr, String> {
        let line =
            self.process(replica).wait_for_line(0, WAIT_TIMEOUT, |line| line.contains("listens on "))?.0;
        let at = line.split("listens on ").nth(1).and_then(|at| at.split(' ').next()?.parse().ok());
        at.ok_or("the log names no listen address".to_string())
    }

    /// Returns the own listen addresses of all daemons, the leader first if there is one.
    ///
    /// # Errors
    /// The daemon that has not logged its address.
    pub fn own_addresses(&mut self) -> Result<Vec<(u16, SocketAddr)>, String> {
        let leader = self.leader();
        let mut replicas: Vec<u16> = self.replicas().collect();
        replicas.sort_by_key(|replica| Some(*replica) != leader);
        replicas.into_iter().map(|replica| Ok((replica, self.own_address(replica)?))).collect()
    }

    pub fn running(&self, replica: u16) -> bool {
        self.processes.contains_key(&replica)
    }

    pub fn kill(&mut self, replica: u16) {
        self.processes.remove(&replica);
    }

    /// Returns the link from one daemon to another.
    pub fn link(&self, from: u16, to: u16) -> &Link {
        &self.links[&(from, to)]
    }

    pub fn client_link(&self, replica: u16) -> &Link {
        &self.client_links[&replica]
    }

    /// Sets the state of both links between two daemons.
    pub fn set_links_between(&self, one: u16, other: u16, state: LinkState) {
        self.link(one, other).set_state(state);
        self.link(other, one).set_state(state);
    }

    /// Sets the state of all links between a daemon and the others.
    pub fn set_links_of(&self, replica: u16, state: LinkState) {
        self.replicas()
            .filter(|other| *other != replica)
            .for_each(|other| self.set_links_between(replica, other, state));
    }

    pub fn status(&self, replica: u16) -> Option<Status> {
        match ask(self.at(replica), &OperatorRequest::Status, Duration::from_millis(500)) {
            Ok(OperatorReply::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Returns the status of each daemon that runs and is not paused.
    pub fn statuses(&self) -> BTreeMap<u16, Status> {
        let running = self.processes.iter().filter(|(_, process)| !process.is_stopped());
        running.filter_map(|(replica, _)| Some((*replica, self.status(*replica)?))).collect()
    }

    /// Returns the replica that reports to lead in the highest term.
    pub fn leader(&self) -> Option<u16> {
        let statuses = self.statuses();
        let leaders = statuses.iter().filter(|(_, status)| status.role == "Leader");
        leaders.max_by_key(|(_, status)| status.term).map(|(replica, _)| *replica)
    }

    /// # Errors
    /// What timed out, and the status of each daemon.
    pub fn wait(&self, what: &str, check: impl Fn(&Daemons) -> bool) -> Result<(), String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !check(self) {
            if Instant::now() >= until {
                let statuses: Vec<String> =
                    self.statuses().iter().map(|(at, s)| format!("{at}: {s:?}")).collect();
                return Err(format!("timed out waiting for: {what}; {}", statuses.join("\n")));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// # Errors
    /// No leader was elected in time.
    pub fn wait_for_leader(&self) -> Result<u16, String> {
        self.wait("a leader", |fleet| fleet.leader().is_some())?;
        self.leader().ok_or("the leader stepped down or exited".to_string())
    }

    /// Asks the running daemons in turn until one gives a final reply.
    ///
    /// # Errors
    /// No daemon replied in time. The outcome of a write is then unknown.
    pub fn ask(&self, request: &OperatorRequest, within: Duration) -> Result<OperatorReply, String> {
        let until = Instant::now() + within;
        let mut last = String::new();
        while Instant::now() < until {
            for replica in self.replicas().filter(|replica| self.running(*replica)) {
                let left = until.saturating_duration_since(Instant::now()).min(Duration::from_secs(2));
                match ask(self.at(replica), request, left.max(Duration::from_millis(1))) {
                    Ok(OperatorReply::NotLeader(_)) => {}
                    Ok(OperatorReply::Unknown(reason)) => last = reason,
                    Ok(reply) => return Ok(reply),
                    Err(reason) => last = reason,
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("no daemon replied: {last}"))
    }

    /// Builds a write with a unique id.
    pub fn new_write(&mut self, change: SettingsChange, expected_version: Option<Version>) -> Write {
        self.writes += 1;
        let (id, author, reason) =
            (WriteId(7, self.writes), "rig".to_string(), format!("write {}", self.writes));
        Write { id, expected_version, author, reason, at_ms: 0, change }
    }

    /// Writes settings and returns their version.
    ///
    /// # Errors
    /// The unexpected reply.
    pub fn put(&mut self, settings: &str) -> Result<Version, String> {
        let write = self.new_write(SettingsChange::Put(settings.to_string(), Vec::new(), Vec::new()), None);
        match self.ask(&OperatorRequest::Write(write), WAIT_TIMEOUT)? {
            OperatorReply::Committed(version) => Ok(version),
            other => Err(format!("{other:?}")),
        }
    }

    /// # Errors
    /// The unexpected reply.
    pub fn history(&self) -> Result<Vec<SettingsVersion>, String> {
        match self.ask(&OperatorRequest::History, WAIT_TIMEOUT)? {
            OperatorReply::History(rows) => Ok(rows),
            other => Err(format!("{other:?}")),
        }
    }

    /// Waits until all replicas run, are voters, and hold the same state.
    ///
    /// # Errors
    /// The status of each daemon on a timeout.
    pub fn wait_for_same_state(&self) -> Result<Vec<Id>, String> {
        let count = usize::from(self.shape.daemons);
        let same = |fleet: &Daemons| {
            let statuses = fleet.statuses();
            let states: Vec<_> = statuses.values().map(|s| (s.applied, s.digest, s.voters.len())).collect();
            let role = |s: &Status| ["Leader", "Follower"].contains(&s.role.as_str());
            states.len() == count
                && states.iter().all(|state| *state == states[0] && state.2 == count)
                && statuses.values().all(role)
        };
        self.wait("the same state at all replicas", same)?;
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
