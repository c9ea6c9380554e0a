//! Hollow members: each a whole member by the fleet's own code, with its own connection to a daemon and its own watch on the
//! list, and no data path. Some hundreds share this loop. It measures how late it was itself: a run in which it was is void.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use appledyke::ids;
use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::budgets::Resource;
use appledyke_fleet::drains::DrainRequest;
use appledyke_fleet::limits::Limits;
use appledyke_fleet::member::{self, DrainDecision, HostAction, Member};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, VERSION, check_hello};
use appledyke_fleet::scopes::Locality;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Registry, Token, Waker};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{children, now};
use crate::rig::fleet::FLEET;

const WAKER: Token = Token(usize::MAX);
const EVENTS: usize = 4096;
/// Bytes read at a time.
const READ_MOST: usize = 64 * 1024;
/// Between two looks at what members want of budgets: a small part of the shortest window.
const WANTS_EVERY: Span = Span::from_millis(100);
/// Wait before a watch on the list is opened again.
const WATCH_AGAIN: Span = Span::from_millis(1000);
/// What a lost packet costs a stream of which little is under way: the least retransmission timeout of common systems.
const RETRANSMISSION: Span = Span::from_millis(200);
/// Longest wait of the loop where nothing is due.
const LOOK: Span = Span::from_millis(1000);
/// Until a timer that is due and moves nothing is looked at again.
const AGAIN: Span = Span::from_millis(1);
/// Steps of a member's way to its daemons that are kept: some rounds over all of them.
const STEPS_MOST: usize = 256;
/// Rows of lateness, each twice as late as the one before, the first up to a microsecond.
pub const LATENESS: usize = 32;

/// A member, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub service: u32,
    pub zone: u32,
    pub region: u32,
    pub rack: u32,
    /// The daemons in the order in which it asks them.
    pub daemons: Vec<u16>,
    /// A real sidecar, which no process of these plays.
    pub real: bool,
    /// The list that it watches: that of its own service.
    pub list: String,
}

impl Spec {
    /// What it belongs to, by name.
    pub fn locality(&self) -> Locality {
        let (zone, region) = (format!("z{}", self.zone), format!("r{}", self.region));
        Locality { service: Some(self.list.clone()), zone: Some(zone), region: Some(region) }
    }
}

/// The way from one region to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Path {
    /// In one direction.
    pub delay_us: u64,
    /// The share of frames that a lost packet holds up, and all behind them.
    pub loss: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub beat_ms: u64,
    pub seed: u64,
    /// A beat that is made so much after it was due was late.
    pub late_us: u64,
    pub list: SocketAddr,
    pub daemons: Vec<Daemon>,
    /// From a member's region to a daemon's, and back.
    pub paths: Vec<Vec<Path>>,
    /// Members say what they belong to.
    pub scoped: bool,
    /// All members of the fleet; those of this process are named by their place among them.
    pub members: Vec<Spec>,
    pub mine: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Daemon {
    pub place: u16,
    pub at: SocketAddr,
    pub region: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// These start, as new processes.
    Raise(Vec<u32>),
    /// These are gone without a word.
    Drop(Vec<u32>),
    /// These ask whether they may go out, and are back after so long.
    Drain { who: Vec<u32>, for_ms: u64 },
    /// A daemon listens there now.
    Daemon { place: u16, at: SocketAddr },
    /// Nothing passes between members of this region and a daemon; what is under way is delivered late.
    Cut { region: u32, place: u16, cut: bool },
    /// Each member books so many records a beat.
    Evidence { each: u32 },
    /// What these want of each of these things in a window, or at a time: all members if none is named.
    Wants { who: Vec<u32>, of: Vec<Resource>, wants: u64 },
    /// What all here believe that they may use, at this moment.
    Sums { at_ns: u64 },
    /// Say what these members' last steps were.
    Steps(Vec<u32>),
    /// Say what was counted; the worst is counted anew from here.
    Mark,
    /// The loop stands still: the flaw that the measure of its lateness must show.
    Stall { ms: u64 },
}

/// A member acts on a version from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acts {
    pub member: u32,
    pub incarnation: u64,
    pub at_ns: u64,
    pub version: Version,
    /// A digest of the settings' text.
    pub text: u64,
}

/// What a member did, or met, on its way to a daemon that answers: told of those that were late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    Raised,
    Dropped,
    Dialed(u16),
    /// The connection is up; the daemon has greeted, in this version of the frames.
    Up(u16),
    Greeted(u16, u16),
    /// The first answer over a connection, or one that says something else than the one before: whether it leads, whom it
    /// takes for the leader, and whether it does not serve.
    Answered {
        place: u16,
        leads: bool,
        leader: Option<u16>,
        apart: bool,
    },
    /// The member has left it: no answer came in time, or none that is of use.
    Left(u16),
    /// The connection ended, or was refused.
    Broken(u16),
    Takes(Version),
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            What::Raised => write!(f, "started"),
            What::Dropped => write!(f, "down"),
            What::Dialed(place) => write!(f, "dials {place}"),
            What::Up(place) => write!(f, "{place} up"),
            What::Greeted(place, version) => write!(f, "{place} greets with version {version}"),
            What::Answered { place, apart: true, .. } => write!(f, "{place} does not serve"),
            What::Answered { place, leads: true, .. } => write!(f, "{place} answers as leader"),
            What::Answered { place, leader: Some(leader), .. } => {
                write!(f, "{place} answers that {leader} leads")
            }
            What::Answered { place, .. } => write!(f, "{place} answers and knows no leader"),
            What::Left(place) => write!(f, "leaves {place}"),
            What::Broken(place) => write!(f, "connection to {place} broken"),
            What::Takes(version) => write!(f, "takes {version}"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    pub at_ns: u64,
    pub what: What,
}

/// Bytes and frames over connections to one daemon, from here and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wire {
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub frames_out: u64,
    pub frames_in: u64,
}

/// One turn of the loop, from when it was to wake: what it was busy with, and what it waited for. What is left of its length
/// it slept, as it does before sums are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    pub took_us: u64,
    /// On a core, and ready to run while others had the cores.
    pub ran_us: u64,
    pub waited_us: u64,
    pub events: u64,
    pub timers: u64,
}

impl fmt::Display for Turn {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ms = |us: u64| us as f64 / 1e3;
        write!(
            f,
            "its longest turn took {:.1} ms, ran for {:.1}, waited for a core for {:.1}; {} events, {} timers",
            ms(self.took_us),
            ms(self.ran_us),
            ms(self.waited_us),
            self.events,
            self.timers
        )
    }
}

/// The time that this thread has run, and was ready to run while others did, in nanoseconds, by the system's account.
struct Schedule(Option<File>);

impl Schedule {
    fn read(&self) -> [u64; 2] {
        let mut line = [0; 64];
        let Some(read) = self.0.as_ref().and_then(|file| file.read_at(&mut line, 0).ok()) else {
            return [0; 2];
        };
        let line = String::from_utf8_lossy(&line[..read]).into_owned();
        let mut words = line.split_whitespace().map(|word| word.parse().unwrap_or(0));
        [words.next().unwrap_or(0), words.next().unwrap_or(0)]
    }
}

/// Counted since the start, but for the worst, which is since the last mark.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    pub at_ns: u64,
    /// Members that run, and that have heard a daemon lately.
    pub running: u64,
    pub heard: u64,
    /// How many of them act on what.
    pub versions: BTreeMap<String, u64>,
    pub beats: u64,
    pub late: u64,
    pub late_worst_us: u64,
    /// Beats by how late they were made.
    pub lateness: Vec<u64>,
    pub turn_worst: Turn,
    pub wires: BTreeMap<u16, Wire>,
    pub list_bytes: u64,
    pub list_reads: u64,
    /// Records booked by members of each service, and of these, heard by other members of it; and heard by any.
    pub booked: BTreeMap<u32, u64>,
    pub heard_own: BTreeMap<u32, u64>,
    pub heard_all: u64,
    /// Of these, what hollow members booked: what real sidecars book beside them is not among what is booked here.
    pub heard_hollow: u64,
    /// Their ages together when they were said, in milliseconds.
    pub heard_age_ms: u64,
    pub dials: u64,
    pub drains: [u64; 3],
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Said {
    Ready,
    /// These started then, by the moment that is their incarnation, too.
    Raised(Vec<(u32, u64)>),
    Dropped {
        at_ns: u64,
        who: Vec<u32>,
    },
    Acts(Vec<Acts>),
    Sums {
        at_ns: u64,
        late_us: u64,
        sums: Vec<(Resource, u64)>,
    },
    Steps(Vec<(u32, Vec<Step>)>),
    Mark(Box<Counts>),
}

struct Conn {
    stream: TcpStream,
    place: u16,
    path: Path,
    up: bool,
    frames: FrameReader,
    /// What the last answer over it said: whether it leads, who does, and whether it does not serve.
    said: Option<(bool, Option<u16>, bool)>,
    unsent: Vec<u8>,
    /// What is on its way over a long path, and when it arrives.
    late_out: VecDeque<(Moment, Vec<u8>)>,
    late_in: VecDeque<(Moment, Vec<u8>)>,
}

impl Conn {
    /// When a frame that is sent now arrives over its path: never before the one before it.
    fn arrives(path: Path, queue: &VecDeque<(Moment, Vec<u8>)>, now: Moment, chance: &mut Rand64) -> Moment {
        let delay = Span::from_nanos(path.delay_us * 1000);
        let lost = path.loss > 0.0 && chance.rand_float() < path.loss;
        let at = now + delay + if lost { RETRANSMISSION + delay * 2.0 } else { Span::ZERO };
        queue.back().map_or(at, |(before, _)| at.max(*before))
    }

    fn flush(&mut self) -> bool {
        while self.up && !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(0) => return false,
                Ok(sent) => drop(self.unsent.drain(..sent)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}

struct Watch {
    stream: TcpStream,
    up: bool,
    told: bool,
}

/// A member while it runs.
struct Life {
    member: Member,
    incarnation: u64,
    conn: Option<Conn>,
    watch: Option<Watch>,
    watch_at: Moment,
    on_list: bool,
    /// Out by its own asking, and when it is back.
    back_at: Option<Moment>,
    drains_for: Span,
    wants: Vec<(Resource, u64)>,
}

struct Hollow {
    setup: Setup,
    registry: Registry,
    chance: Rand64,
    lives: Vec<Option<Life>>,
    timers: BTreeSet<(Moment, u32)>,
    next: Vec<Option<Moment>>,
    /// The last steps of each, whichever incarnation took them.
    steps: Vec<VecDeque<Step>>,
    cut: BTreeSet<(u32, u16)>,
    /// By the marks of hollow members' names.
    service_of: HashMap<u32, u32>,
    marks: HashMap<u32, Vec<u32>>,
    each: u32,
    /// Timers that came due in this turn of the loop.
    timed: u64,
    counts: Counts,
    said: Vec<Said>,
    /// The text that was taken last, and its digest.
    text: (String, u64),
    piece: Vec<u8>,
}

fn connected(stream: &TcpStream) -> Option<bool> {
    if !matches!(stream.take_error(), Ok(None)) {
        return None;
    }
    match stream.peer_addr() {
        Ok(_) => Some(true),
        Err(e) if e.kind() == ErrorKind::NotConnected => Some(false),
        Err(_) => None,
    }
}

/// What a socket has to read, up to its end or until there is no more; `false` once it has ended.
fn drain(stream: &mut TcpStream, piece: &mut [u8], mut each: impl FnMut(&[u8])) -> bool {
    loop {
        match stream.read(piece) {
            Ok(0) => return false,
            Ok(read) => each(&piece[..read]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

impl Hollow {
    fn new(setup: Setup, registry: Registry) -> Hollow {
        let count = setup.mine.len();
        let mut marks: HashMap<u32, Vec<u32>> = HashMap::new();
        let mut service_of = HashMap::new();
        for spec in &setup.members {
            let mark = ids::name_hash(&spec.name);
            if !spec.real {
                service_of.insert(mark, spec.service);
            }
            marks.entry(spec.service).or_default().push(ids::name_hash(&format!("{}-endpoint", spec.name)));
        }
        let chance = Rand64::new(u128::from(setup.seed));
        let counts = Counts { lateness: vec![0; LATENESS], ..Counts::default() };
        Hollow {
            registry,
            chance,
            lives: (0..count).map(|_| None).collect(),
            timers: BTreeSet::new(),
            next: vec![None; count],
            steps: vec![VecDeque::new(); count],
            cut: BTreeSet::new(),
            service_of,
            marks,
            each: 0,
            timed: 0,
            counts,
            said: Vec::new(),
            text: (String::new(), digest("")),
            piece: vec![0; READ_MOST],
            setup,
        }
    }

    fn spec(&self, at: usize) -> &Spec {
        &self.setup.members[self.setup.mine[at] as usize]
    }

    fn step(&mut self, at: usize, what: What) {
        let steps = &mut self.steps[at];
        if steps.len() == STEPS_MOST {
            steps.pop_front();
        }
        steps.push_back(Step { at_ns: now().nanos(), what });
    }

    /// What a daemon's answer said (`Conn::said`), if that is new.
    fn answered(&mut self, at: usize, said: (bool, Option<u16>, bool)) {
        let conn = self.lives[at].as_mut().and_then(|life| life.conn.as_mut());
        if let Some(conn) = conn.filter(|conn| conn.said != Some(said)) {
            conn.said = Some(said);
            let (place, (leads, leader, apart)) = (conn.place, said);
            self.step(at, What::Answered { place, leads, leader, apart });
        }
    }

    /// Those of the named ones that are here.
    fn here(&self, who: &[u32]) -> Vec<usize> {
        who.iter().filter_map(|who| self.setup.mine.iter().position(|mine| mine == who)).collect()
    }

    /// Its incarnation.
    fn raise(&mut self, at: usize) -> u64 {
        let now = now();
        let spec = self.spec(at).clone();
        let locality = self.setup.scoped.then(|| spec.locality());
        // Danger: one that is raised again within a clock's step would be its own twin.
        let incarnation = now.nanos();
        let setup = member::MemberConfig {
            name: spec.name,
            daemons: spec.daemons,
            heartbeat: Span::from_millis(self.setup.beat_ms),
            incarnation,
            process_nonce: self.chance.rand_u64(),
            version: Version::default(),
            limits: Limits::default(),
            groups: vec![format!("service-{}", spec.service), format!("zone-{}", spec.zone)],
            locality,
            program_version: env!("CARGO_PKG_VERSION").to_string(),
        };
        let mut member = Member::new(now, setup, self.chance.rand_u64());
        member.sole_at_address = true;
        self.lives[at] = Some(Life {
            member,
            incarnation,
            conn: None,
            watch: None,
            watch_at: now,
            on_list: false,
            back_at: None,
            drains_for: Span::ZERO,
            wants: Vec::new(),
        });
        self.step(at, What::Raised);
        self.schedule(at);
        incarnation
    }

    fn schedule(&mut self, at: usize) {
        let next = self.lives[at].as_ref().map(|life| {
            let member = life
                .member
                .drain_requests
                .deadline()
                .map_or(life.member.next_due(), |u| u.min(life.member.next_due()));
            let watch = if life.watch.is_none() { Some(life.watch_at) } else { None };
            let conn = life.conn.as_ref().filter(|conn| !self.cut.contains(&self.pair(at, conn.place)));
            // Danger: what is due on a way that is not up yet would be due all the time, and keep the loop busy with nothing.
            let out = conn.filter(|conn| conn.up).and_then(|conn| Some(conn.late_out.front()?.0));
            let back = conn.and_then(|conn| Some(conn.late_in.front()?.0));
            [watch, out, back, life.back_at].into_iter().flatten().fold(member, Moment::min)
        });
        if self.next[at] != next {
            if let Some(before) = self.next[at] {
                self.timers.remove(&(before, at as u32));
            }
            if let Some(next) = next {
                self.timers.insert((next, at as u32));
            }
            self.next[at] = next;
        }
    }

    fn pair(&self, at: usize, place: u16) -> (u32, u16) {
        (self.spec(at).region, place)
    }

    /// A member's time has come.
    fn due(&mut self, at: usize) {
        let now = now();
        let Some(life) = &mut self.lives[at] else { return };
        let due = life.member.next_due();
        if due <= now {
            let late = now.since(due).nanos() / 1000;
            let row = (64 - late.leading_zeros() as usize).min(LATENESS - 1);
            self.counts.beats += 1;
            self.counts.lateness[row] += 1;
            self.counts.late += u64::from(late > self.setup.late_us);
            self.counts.late_worst_us = self.counts.late_worst_us.max(late);
            if self.each > 0 && life.member.is_connected() {
                let service = self.setup.members[self.setup.mine[at] as usize].service;
                let marks = &self.marks[&service];
                for _ in 0..self.each {
                    let endpoint = marks[self.chance.rand_range(0..marks.len() as u64) as usize];
                    life.member.record_attempt(now, endpoint, 1, 0, 0.5);
                }
                *self.counts.booked.entry(service).or_default() += u64::from(self.each);
            }
            let done = life.member.on_timer(now);
            self.carry_out(at, done);
        }
        self.others(at, now);
        self.pump(at);
        self.schedule(at);
    }

    /// What falls due beside the member's own.
    fn others(&mut self, at: usize, now: Moment) {
        let Some(life) = &mut self.lives[at] else { return };
        if life.member.drain_requests.deadline().is_some_and(|until| until <= now) {
            life.member.drain_requests.give_up();
            self.counts.drains[2] += 1;
        }
        if life.back_at.is_some_and(|back| back <= now) {
            life.back_at = None;
            life.member.drain_requests.on_return();
            let done = life.member.set_status(now, MemberStatus::Serving);
            self.carry_out(at, done);
        }
        let Some(life) = &mut self.lives[at] else { return };
        if life.watch.is_none() && life.watch_at <= now {
            life.watch_at = now + WATCH_AGAIN;
            if let Ok(mut stream) = TcpStream::connect(self.setup.list) {
                let interest = Interest::READABLE | Interest::WRITABLE;
                if self.registry.register(&mut stream, Token(2 * at + 1), interest).is_ok() {
                    life.watch = Some(Watch { stream, up: false, told: false });
                }
            }
        }
    }

    fn close(&mut self, at: usize) {
        if let Some(mut conn) = self.lives[at].as_mut().and_then(|life| life.conn.take()) {
            let _ = self.registry.deregister(&mut conn.stream);
        }
    }

    fn broken(&mut self, at: usize) {
        if let Some(place) =
            self.lives[at].as_ref().and_then(|life| life.conn.as_ref()).map(|conn| conn.place)
        {
            self.step(at, What::Broken(place));
        }
        self.close(at);
        if let Some(life) = &mut self.lives[at] {
            life.member.on_disconnected(now());
        }
    }

    fn dial(&mut self, at: usize, place: u16) {
        self.close(at);
        self.counts.dials += 1;
        self.step(at, What::Dialed(place));
        let region = self.spec(at).region as usize;
        let daemon = self.setup.daemons.iter().find(|daemon| daemon.place == place);
        let Some(daemon) = daemon.copied() else { return };
        let path = self.setup.paths[region][daemon.region as usize];
        let opened = TcpStream::connect(daemon.at).and_then(|mut stream| {
            let _ = stream.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.registry.register(&mut stream, Token(2 * at), interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                let life = self.lives[at].as_mut().expect("it dials, so it runs");
                let name = life.member.name().to_string();
                life.conn = Some(Conn {
                    stream,
                    place,
                    path,
                    up: false,
                    frames: FrameReader::default(),
                    said: None,
                    unsent: Vec::new(),
                    late_out: VecDeque::new(),
                    late_in: VecDeque::new(),
                });
                self.send(at, &Frame::hello(FLEET, Initiator::Member { name }));
            }
            Err(_) => self.broken(at),
        }
    }

    fn send(&mut self, at: usize, frame: &Frame) {
        let cut = self.cut_off(at);
        let Some(conn) = self.lives[at].as_mut().and_then(|life| life.conn.as_mut()) else { return };
        let mut bytes = Vec::new();
        frame.write(&mut bytes);
        let wire = self.counts.wires.entry(conn.place).or_default();
        wire.bytes_out += bytes.len() as u64;
        wire.frames_out += 1;
        if conn.path.delay_us > 0 || cut {
            let arrives = Conn::arrives(conn.path, &conn.late_out, now(), &mut self.chance);
            conn.late_out.push_back((arrives, bytes));
        } else {
            conn.unsent.extend_from_slice(&bytes);
            if !conn.flush() {
                self.broken(at);
            }
        }
    }

    fn cut_off(&self, at: usize) -> bool {
        let place = self.lives[at].as_ref().and_then(|life| life.conn.as_ref()).map(|conn| conn.place);
        !self.cut.is_empty() && place.is_some_and(|place| self.cut.contains(&self.pair(at, place)))
    }

    /// Moves what can be moved over its connection to a daemon.
    fn pump(&mut self, at: usize) {
        if self.cut_off(at) {
            return;
        }
        let now = now();
        let Some(conn) = self.lives[at].as_mut().and_then(|life| life.conn.as_mut()) else { return };
        if !conn.up {
            match connected(&conn.stream) {
                Some(true) => conn.up = true,
                Some(false) => return,
                None => return self.broken(at),
            }
            let place = conn.place;
            self.step(at, What::Up(place));
        }
        let Some(conn) = self.lives[at].as_mut().and_then(|life| life.conn.as_mut()) else { return };
        while conn.late_out.front().is_some_and(|(due, _)| *due <= now) {
            let (_, bytes) = conn.late_out.pop_front().expect("there is one");
            conn.unsent.extend_from_slice(&bytes);
        }
        let mut works = conn.flush();
        let wire = self.counts.wires.entry(conn.place).or_default();
        let Conn { stream, path, frames, late_in, .. } = conn;
        works &= drain(stream, &mut self.piece, |read| {
            wire.bytes_in += read.len() as u64;
            if path.delay_us > 0 {
                let arrives = Conn::arrives(*path, late_in, now, &mut self.chance);
                late_in.push_back((arrives, read.to_vec()));
            } else {
                frames.push(read);
            }
        });
        while conn.late_in.front().is_some_and(|(due, _)| *due <= now) {
            let (_, bytes) = conn.late_in.pop_front().expect("there is one");
            conn.frames.push(&bytes);
        }
        loop {
            let Some(conn) = self.lives[at].as_mut().and_then(|life| life.conn.as_mut()) else { return };
            match conn.frames.pop() {
                Ok(Some(frame)) => {
                    self.counts.wires.entry(conn.place).or_default().frames_in += 1;
                    if !self.hear(at, frame) {
                        return self.broken(at);
                    }
                }
                Ok(None) => break,
                Err(_) => return self.broken(at),
            }
        }
        if !works {
            self.broken(at);
        }
    }

    /// A frame from a daemon; `false` where its connection is of no use any more.
    fn hear(&mut self, at: usize, frame: Frame) -> bool {
        let now = now();
        let Some(life) = &mut self.lives[at] else { return false };
        let done = match frame {
            Frame::Hello { .. } => {
                let Ok((_, speaks)) = check_hello(&frame, FLEET, VERSION) else { return false };
                let done = life.member.on_connected(now, speaks);
                if let Some(place) = life.conn.as_ref().map(|conn| conn.place) {
                    self.step(at, What::Greeted(place, speaks));
                }
                done
            }
            Frame::ReportAnswer(told) => {
                let said = (told.is_leader, told.leader, told.excluded);
                let done = life.member.on_answer(now, told);
                self.answered(at, said);
                done
            }
            Frame::CodedReportAnswer(told, coded) => {
                let said = (told.is_leader, told.leader, told.excluded);
                let done = life.member.on_coded_answer(now, told, &coded);
                self.answered(at, said);
                done
            }
            Frame::DrainAnswer { ask, refused } => {
                match life.member.on_drain_answer(now, ask, refused) {
                    None => {
                        self.schedule(at);
                        return true;
                    }
                    Some(DrainDecision::Refused(_)) => {
                        self.counts.drains[2] += 1;
                        return true;
                    }
                    Some(DrainDecision::Granted) => {}
                }
                self.counts.drains[1] += 1;
                life.back_at = Some(now + life.drains_for);
                life.member.set_status(now, MemberStatus::Drained)
            }
            _ => return false,
        };
        self.carry_out(at, done);
        true
    }

    fn carry_out(&mut self, at: usize, done: Vec<HostAction>) {
        for what in done {
            match what {
                HostAction::Dial(place) => self.dial(at, place),
                HostAction::Close => {
                    let conn = self.lives[at].as_ref().and_then(|life| life.conn.as_ref());
                    if let Some(place) = conn.map(|conn| conn.place) {
                        self.step(at, What::Left(place));
                    }
                    self.close(at);
                }
                HostAction::SendLocality(locality) => self.send(at, &Frame::Locality(locality)),
                HostAction::SendReport(report) => self.send(at, &Frame::Report(*report)),
                HostAction::SendDrainRequest(DrainRequest { number, forced_reason }) => {
                    self.send(at, &Frame::DrainRequest { ask: number, anyway: forced_reason });
                }
                HostAction::ApplySettings(version, settings) => {
                    let Some(life) = &mut self.lives[at] else { return };
                    life.member.set_active_version(version);
                    let (incarnation, at_ns) = (life.incarnation, now().nanos());
                    self.step(at, What::Takes(version));
                    // The same for hundreds: the digest is found once.
                    if self.text.0 != settings {
                        self.text = (settings.clone(), digest(&settings));
                    }
                    let acts =
                        Acts { member: self.setup.mine[at], incarnation, at_ns, version, text: self.text.1 };
                    match self.said.last_mut() {
                        Some(Said::Acts(rows)) => rows.push(acts),
                        _ => self.said.push(Said::Acts(vec![acts])),
                    }
                }
                HostAction::DeliverObservations(passed) => {
                    let own = self.spec(at).service;
                    let of = |writer: &u32| self.service_of.get(writer) == Some(&own);
                    let from_own = passed.iter().filter(|passed| of(&passed.writer)).count() as u64;
                    *self.counts.heard_own.entry(own).or_default() += from_own;
                    let hollow = |writer: &u32| self.service_of.contains_key(writer);
                    self.counts.heard_hollow +=
                        passed.iter().filter(|passed| hollow(&passed.writer)).count() as u64;
                    self.counts.heard_all += passed.len() as u64;
                    self.counts.heard_age_ms +=
                        passed.iter().map(|passed| u64::from(passed.observation.age_ms)).sum::<u64>();
                }
                HostAction::SetDrainedEndpoints(_) => {
                    if let Some(life) = &mut self.lives[at] {
                        // It has no data path, so it holds nothing anywhere.
                        life.member.endpoints_in_use.clear();
                    }
                }
                HostAction::SetReleaseDrain(sent) => {
                    let standing = if sent { MemberStatus::Drained } else { MemberStatus::Serving };
                    let done = self.lives[at].as_mut().map(|life| life.member.set_status(now(), standing));
                    self.carry_out(at, done.unwrap_or_default());
                }
                HostAction::AnswerError(what) => eprintln!("{}: {what}", self.spec(at).name),
                HostAction::DuplicateProcess(_) | HostAction::Superseded(_) => {}
            }
        }
    }

    /// Its watch on the list is to be looked at.
    fn watch(&mut self, at: usize) {
        let service = self.spec(at).list.clone();
        let Some(life) = &mut self.lives[at] else { return };
        let Some(watch) = &mut life.watch else { return };
        let mut works = true;
        if !watch.up {
            match connected(&watch.stream) {
                Some(true) => {
                    watch.up = true;
                    let head = format!("GET /v1/servers?follow=1&since=0&service={service} HTTP/1.1\r\n\r\n");
                    works = watch.stream.write_all(head.as_bytes()).is_ok();
                }
                Some(false) => return,
                None => works = false,
            }
        }
        let (counts, mut told) = (&mut self.counts, watch.told);
        works = works
            && drain(&mut watch.stream, &mut self.piece, |read| {
                counts.list_bytes += read.len() as u64;
                counts.list_reads += 1;
                told |= read.windows(11).any(|word| word == b"\"endpoints\"");
            });
        watch.told = told;
        let mut done = Vec::new();
        if told && !std::mem::replace(&mut life.on_list, true) {
            done = life.member.set_status(now(), MemberStatus::Serving);
        }
        if !works {
            if let Some(mut watch) = life.watch.take() {
                let _ = self.registry.deregister(&mut watch.stream);
            }
            life.watch_at = now() + WATCH_AGAIN;
        }
        self.carry_out(at, done);
        self.schedule(at);
    }

    /// What members want of budgets, spent or refused as it would be by their traffic.
    fn spend(&mut self, part: f64) {
        let now = now();
        for life in self.lives.iter_mut().flatten() {
            for (of, wants) in &life.wants {
                let limits = &mut life.member.limits;
                let Some(allowed) = limits.allowed(now, *of) else { continue };
                if of.is_concurrency_limit() {
                    limits.set_held(*of, allowed.min(*wants));
                    limits.try_hold(now, *of, wants.saturating_sub(1));
                    limits.set_held(*of, allowed.min(*wants));
                } else {
                    let count = *wants as f64 * part + self.chance.rand_float();
                    for _ in 0..count as u64 {
                        limits.try_spend(now, *of, true);
                    }
                }
            }
        }
    }

    fn sums(&self) -> Vec<(Resource, u64)> {
        let now = now();
        let believed = |of: Resource| {
            self.lives.iter().flatten().filter_map(|life| life.member.limits.allowed(now, of)).sum()
        };
        Resource::ALL.into_iter().map(|of| (of, believed(of))).collect()
    }

    fn mark(&mut self) -> Counts {
        let now = now();
        let lives = || self.lives.iter().flatten();
        self.counts.at_ns = now.nanos();
        self.counts.running = lives().count() as u64;
        self.counts.heard = lives().filter(|life| life.member.has_recent_answer(now)).count() as u64;
        let mut versions: BTreeMap<String, u64> = BTreeMap::new();
        for life in lives() {
            *versions.entry(life.member.active_version().to_string()).or_default() += 1;
        }
        self.counts.versions = versions;
        let counts = self.counts.clone();
        (self.counts.late_worst_us, self.counts.turn_worst) = (0, Turn::default());
        counts
    }

    /// Carries an order out.
    fn order(&mut self, order: Order) {
        match order {
            Order::Raise(who) => {
                let mut rows = Vec::new();
                for at in self.here(&who) {
                    if self.lives[at].is_none() {
                        rows.push((self.setup.mine[at], self.raise(at)));
                    }
                }
                self.said.push(Said::Raised(rows));
            }
            Order::Drop(who) => {
                let here = self.here(&who);
                let who = here.iter().map(|at| self.setup.mine[*at]).collect();
                for at in here {
                    self.lives[at] = None;
                    self.step(at, What::Dropped);
                    self.schedule(at);
                }
                self.said.push(Said::Dropped { at_ns: now().nanos(), who });
            }
            Order::Drain { who, for_ms } => {
                for at in self.here(&who) {
                    let Some(life) = &mut self.lives[at] else { continue };
                    if !life.member.is_connected() || life.back_at.is_some() {
                        continue;
                    }
                    life.drains_for = Span::from_millis(for_ms);
                    self.counts.drains[0] += 1;
                    match life.member.request_drain(now(), None) {
                        Some(actions) => self.carry_out(at, actions),
                        None => self.counts.drains[2] += 1,
                    }
                    self.schedule(at);
                }
            }
            Order::Daemon { place, at } => {
                self.setup.daemons.iter_mut().filter(|d| d.place == place).for_each(|d| d.at = at);
            }
            Order::Cut { region, place, cut } => {
                if cut {
                    self.cut.insert((region, place));
                } else {
                    self.cut.remove(&(region, place));
                }
                for at in 0..self.lives.len() {
                    self.pump(at);
                    self.schedule(at);
                }
            }
            Order::Evidence { each } => self.each = each,
            Order::Wants { who, of, wants } => {
                let whom = if who.is_empty() { (0..self.lives.len()).collect() } else { self.here(&who) };
                for at in whom {
                    if let Some(life) = &mut self.lives[at] {
                        life.wants = of.iter().map(|of| (*of, wants)).collect();
                    }
                }
            }
            Order::Sums { at_ns } => {
                let until = Moment::from_nanos(at_ns);
                std::thread::sleep(Duration::from_nanos(until.since(now()).nanos()));
                let late_us = now().since(until).nanos() / 1000;
                let sums = self.sums();
                self.said.push(Said::Sums { at_ns, late_us, sums });
            }
            Order::Steps(who) => {
                let steps = |at: usize| (self.setup.mine[at], self.steps[at].iter().copied().collect());
                let rows = self.here(&who).into_iter().map(steps).collect();
                self.said.push(Said::Steps(rows));
            }
            Order::Mark => {
                let counts = self.mark();
                self.said.push(Said::Mark(Box::new(counts)));
            }
            Order::Stall { ms } => std::thread::sleep(Duration::from_millis(ms)),
        }
    }

    /// All members whose time has come.
    fn all_due(&mut self) {
        while let Some((next, at)) = self.timers.first().copied().filter(|(next, _)| *next <= now()) {
            let at = at as usize;
            self.timed += 1;
            self.due(at);
            if self.next[at] == Some(next) {
                // Danger: one that stays due for ever would keep the loop for itself.
                let later = now() + AGAIN;
                self.timers.remove(&(next, at as u32));
                self.timers.insert((later, at as u32));
                self.next[at] = Some(later);
            }
        }
    }

    fn poll_for(&self) -> Span {
        let now = now();
        self.timers.first().map_or(LOOK, |(next, _)| next.since(now)).min(LOOK)
    }
}

/// Of a text, for comparing.
pub fn digest(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// Runs hollow members as its standard input says, until that ends.
///
/// # Errors
/// What the system says, or a setup that can't be read.
pub fn serve() -> Result<(), String> {
    let named = |e: std::io::Error| format!("hollow: {e}");
    let mut poll = Poll::new().map_err(named)?;
    let waker = Waker::new(poll.registry(), WAKER).map_err(named)?;
    let (setups, setup) = channel();
    let (sender, orders): (_, Receiver<Order>) = channel();
    std::thread::spawn(move || {
        let mut first = true;
        let read = children::told(|line: Value| {
            if std::mem::take(&mut first) {
                return setups.send(serde_json::from_value(line)).is_ok();
            }
            match serde_json::from_value(line) {
                Ok(order) => sender.send(order).is_ok() && waker.wake().is_ok(),
                Err(why) => {
                    eprintln!("hollow: {why}");
                    false
                }
            }
        });
        if let Err(why) = read {
            eprintln!("hollow: {why}");
        }
        // Danger: one whose starter was killed would go on for ever.
        std::process::exit(0);
    });
    let setup = setup.recv().map_err(|e| format!("hollow: {e}"))?;
    let setup: Setup = setup.map_err(|e| format!("hollow: {e}"))?;
    let mut hollow = Hollow::new(setup, poll.registry().try_clone().map_err(named)?);
    children::say(&Said::Ready);
    let schedule = Schedule(File::open("/proc/thread-self/schedstat").ok());
    let (mut events, mut wants_at) = (Events::with_capacity(EVENTS), now() + WANTS_EVERY);
    loop {
        let wait = hollow.poll_for().min(wants_at.since(now()));
        let (wakes_at, [ran, waited]) = (now() + wait, schedule.read());
        match poll.poll(&mut events, Some(Duration::from_nanos(wait.nanos()))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(named(e)),
            _ => {}
        }
        let began = now().min(wakes_at);
        hollow.all_due();
        for event in &events {
            match event.token() {
                WAKER => {}
                Token(token) if token % 2 == 0 => {
                    hollow.pump(token / 2);
                    hollow.schedule(token / 2);
                }
                Token(token) => hollow.watch(token / 2),
            }
            // Answers that wait must not make a beat late.
            hollow.all_due();
        }
        if now() >= wants_at {
            hollow.spend(WANTS_EVERY.secs());
            wants_at = wants_at + WANTS_EVERY;
        }
        while let Ok(order) = orders.try_recv() {
            hollow.order(order);
        }
        std::mem::take(&mut hollow.said).iter().all(children::say);
        let (took_us, timers) = (now().since(began).nanos() / 1000, std::mem::take(&mut hollow.timed));
        if took_us > hollow.counts.turn_worst.took_us {
            let [ran_until, waited_until] = schedule.read();
            let (ran_us, waited_us) = ((ran_until - ran) / 1000, (waited_until - waited) / 1000);
            let events = events.iter().count() as u64;
            hollow.counts.turn_worst = Turn { took_us, ran_us, waited_us, events, timers };
        }
    }
}
