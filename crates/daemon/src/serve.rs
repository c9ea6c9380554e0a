//! The loop: poll, take the time once, tick, feed what was heard, carry out what the replica and the fleet's state say.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use appledyke::units::{Moment, Span};
use appledyke_consensus::{Id, Index, Replica, Role, Settings, Term};
use appledyke_fleet::Version;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::evidence::{Cursor, EvidenceStore};
use appledyke_fleet::evidence_coding::Encoder;
use appledyke_fleet::liveness::MemberTracker;
use appledyke_fleet::messages::{
    FrameReader, Initiator, OperatorReply, OperatorRequest, Report, VERSION, VersionNegotiation,
};
use appledyke_fleet::release_runner::ReleaseRunner;
use appledyke_fleet::scopes::Locality;
use appledyke_fleet::state::{Command, Fleet};
use appledyke_sidecar::net::connection::Connection;
use appledyke_sidecar::net::slots::{Key, Slots};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use serde_json::Value;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use socket2::{Domain, Protocol, Socket, Type};

use crate::configuration::Configuration;
use crate::folder::{Closed, Folder};

mod connections;
mod members;
mod operators;
mod scopes;
mod work;

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const EVENTS: usize = 512;
/// A replica's tick: a tenth of the shortest beat that is of use on one machine.
const TICK: Span = Span::from_millis(5);
/// Between two looks at all that is not told by an event.
const LOOK: Span = Span::from_millis(50);
/// Bytes read at a time.
const READ_MOST: usize = 256 * 1024;
/// Bytes that may wait for a peer: two of the largest frames. One that takes no more is cut off.
const UNSENT_MOST: usize = 64 << 20;
/// Connections at once: a large fleet's sidecars, and some.
const CONNECTIONS_MOST: usize = 12_000;
/// Connections that may wait to be taken: all that there may be, as members come together when a leader is lost. The system
/// has a bound of its own.
const BACKLOG: i32 = CONNECTIONS_MOST as i32;
/// In which a greeting must have come.
const GREETING_IN: Span = Span::from_millis(3000);
/// Wait before a daemon that was not reached is tried again.
const DIAL_AGAIN: Span = Span::from_millis(200);
/// How long a connection that was dialed is kept where it speaks an older version, until a later one is tried again.
const OLDER: Span = Span::from_millis(30_000);
/// Elections for which a peer may take nothing of what waits for it.
const STUCK_ELECTIONS: f64 = 5.0;
/// Wait before a folder is opened again after its disk failed.
const REOPEN: Span = Span::from_millis(1000);
/// Comparisons of the state that are kept: daemons reach the same entry at different moments.
const MARKS_MOST: usize = 8;

/// Danger: with the usual backlog of 128 most members of a large fleet that come together are dropped by the system without a
/// word, and each tries again after a second, then two more, while its patience is over before.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

struct Peer {
    connection: Connection,
    frames: FrameReader,
    since: Moment,
    /// When nothing waited to be sent last.
    clear: Moment,
    who: Option<Initiator>,
    /// The version that this side has greeted with or would, and from the other's greeting on that of the connection.
    speaks: u16,
    /// What a member belongs to, as it has said.
    locality: Locality,
    /// The place that this connection was opened to.
    dialed: Option<u16>,
    /// Up to where a member has heard, and which process of it this is.
    cursor: Cursor,
    incarnation: u64,
    /// How others' records are coded for a member.
    encoder: Encoder,
}

impl Peer {
    fn new(connection: Connection, now: Moment, dialed: Option<u16>, speaks: u16) -> Peer {
        let (frames, cursor, locality) = (FrameReader::default(), Cursor::default(), Locality::default());
        let (who, incarnation) = (None, 0);
        Peer {
            connection,
            frames,
            since: now,
            clear: now,
            who,
            speaks,
            locality,
            dialed,
            cursor,
            incarnation,
            encoder: Encoder::default(),
        }
    }
}

/// A replica, from the opening of its folder to its end.
struct Life {
    folder: Folder,
    replica: Replica,
    fleet: Fleet,
    heard: Option<MemberTracker>,
    /// What each member that was heard since this replica leads says it belongs to, where it says so.
    localities: BTreeMap<String, Locality>,
    /// What is merged of several scopes, for members.
    texts: scopes::Texts,
    /// Up to where a write of settings may be under way that this replica proposed or came to lead with, and whether such a
    /// one may be for a scope.
    unsettled: (Index, bool),
    divider: Option<Allocator>,
    runner: Option<ReleaseRunner>,
    /// The endpoints that members are to look for, as of a version of the settings, and the mark of these.
    looks: Option<(Version, (u64, Vec<String>))>,
    compacted: Index,
}

impl Life {
    /// The endpoints that members are to look for, found anew for other settings only: each report asks.
    fn looks(&mut self) -> &(u64, Vec<String>) {
        let version = self.fleet.version();
        let kept = self.looks.take().filter(|(of, _)| *of == version);
        &self.looks.insert(kept.unwrap_or_else(|| (version, self.fleet.watch_list()))).1
    }
}

/// Whom a proposal's fate is to be told.
#[derive(Clone, Copy)]
enum Whom {
    Operator {
        number: u64,
    },
    /// A member that asks whether it may go out.
    Member {
        ask: u64,
    },
}

struct Waiting {
    term: Term,
    key: Key,
    whom: Whom,
}

pub struct Daemon {
    configuration: Configuration,
    template: Value,
    vouched: bool,
    poll: Poll,
    signals: Signals,
    listener: TcpListener,
    start: Instant,
    now: Moment,
    next_tick: Moment,
    next_look: Moment,
    peers: Slots<Peer>,
    dials: BTreeMap<u16, (SocketAddr, Option<Key>, Moment)>,
    /// The version that each place is greeted with next.
    greetings: BTreeMap<u16, VersionNegotiation>,
    life: Option<Life>,
    /// Why it does not serve.
    apart: Option<String>,
    reopen: Moment,
    evidence: EvidenceStore,
    heard_records: u64,
    tickets: u64,
    reads: BTreeMap<u64, (Key, u64, OperatorRequest)>,
    /// Reports that ask for grants, and those for which a majority is asked whether this replica leads still.
    reports: Vec<(Key, Report)>,
    confirming: Option<(u64, Vec<(Key, Report)>)>,
    writes: BTreeMap<Index, Vec<Waiting>>,
    /// Writes of settings that wait until another one's fate is known.
    held: VecDeque<(Key, u64, OperatorRequest)>,
    /// The one that is being checked.
    checking: Option<scopes::Checking>,
    /// Digests of the state after some entries, by place.
    marks: BTreeMap<Index, BTreeMap<u16, u64>>,
    role: Option<Role>,
    /// Until when it waits for another to lead.
    leaving: Option<Moment>,
}

impl Daemon {
    /// # Errors
    /// What can't be opened, with its key where it has one.
    pub fn start(configuration: Configuration, vouched: bool) -> Result<Daemon, String> {
        let template = configuration.template()?;
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
        poll.registry()
            .register(&mut signals, SIGNALS, Interest::READABLE)
            .map_err(|e| format!("signals: {e}"))?;
        let told = |e: io::Error| format!("listen: {}: {e}", configuration.listen);
        let mut listener = listen(configuration.listen).map_err(told)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(told)?;
        let now = Moment::default();
        let dials = configuration.others().into_iter().map(|(place, at)| (place, (at, None, now))).collect();
        let mut daemon = Daemon {
            configuration,
            template,
            vouched,
            poll,
            signals,
            listener,
            start: Instant::now(),
            now,
            next_tick: now,
            next_look: now,
            peers: Slots::default(),
            dials,
            greetings: BTreeMap::new(),
            life: None,
            apart: None,
            reopen: now,
            evidence: EvidenceStore::default(),
            heard_records: 0,
            tickets: 0,
            reads: BTreeMap::new(),
            reports: Vec::new(),
            confirming: None,
            writes: BTreeMap::new(),
            held: VecDeque::new(),
            checking: None,
            marks: BTreeMap::new(),
            role: None,
            leaving: None,
        };
        // A folder that is another's, or locked, is an operator's mistake, and told before anything is served.
        if let Err(Closed::Refused(what)) = daemon.open() {
            return Err(format!("folder: {what}"));
        }
        let at = daemon.listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let (place, fleet) = (daemon.configuration.place, &daemon.configuration.fleet);
        tracing::info!(place, fleet, "place {place} of fleet {fleet} listens on {at}");
        Ok(daemon)
    }

    /// Serves until it is told to leave.
    ///
    /// # Errors
    /// What the system says when nothing can be waited for any more.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let next = self.next_tick.min(self.next_look);
            let wait = Duration::from_nanos(next.since(self.time()).nanos());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => other.map_err(|e| format!("poll: {e}"))?,
            }
            self.now = self.time();
            // Danger: one that was stopped must know that time has passed before it hears, and answers, anything.
            self.ticks();
            self.work();
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    SIGNALS => self.told(),
                    token => Key::of_token(token).into_iter().for_each(|key| self.ready(key)),
                }
            }
            self.work();
            if self.now >= self.next_look {
                self.next_look = self.now + LOOK;
                self.look();
                self.work();
            }
            if let Some(until) = self.leaving
                && (self.now >= until || self.role != Some(Role::Leader))
            {
                tracing::info!("left");
                return Ok(());
            }
        }
    }

    fn time(&self) -> Moment {
        Moment::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    fn in_ticks(millis: u64) -> u32 {
        (Span::from_millis(millis).nanos() / TICK.nanos()).max(1) as u32
    }

    fn ticks(&mut self) {
        let most = 2 * Daemon::in_ticks(self.configuration.election_ms);
        let mut ticks = 0;
        while self.next_tick <= self.now {
            self.next_tick = if ticks < most { self.next_tick + TICK } else { self.now + TICK };
            ticks += 1;
            self.life.iter_mut().for_each(|life| life.replica.tick());
        }
    }

    // The folder, and the replica's lives.

    fn open(&mut self) -> Result<(), Closed> {
        let c = &self.configuration;
        let opened = match Folder::open(&c.folder, &c.fleet, c.place) {
            Err(Closed::Damaged(what)) => {
                let aside = Folder::set_aside(&c.folder)?;
                tracing::error!("{what}: set aside as {}, comes back as another life", aside.display());
                Folder::open(&c.folder, &c.fleet, c.place)
            }
            other => other,
        };
        let (folder, kept, notes) = opened?;
        notes.iter().for_each(|note| tracing::warn!("{note}"));
        let settings = Settings {
            id: folder.id,
            replica_ids: c.places(),
            election_ticks: Daemon::in_ticks(c.election_ms),
            heartbeat_ticks: Daemon::in_ticks(c.beat_ms),
            trailing_entries: c.compact_every,
            trust_folder: std::mem::take(&mut self.vouched),
        };
        let seed = getrandom::u64().map_err(|e| Closed::Disk(format!("no random number: {e}")))?;
        let id = folder.id;
        let replica = Replica::new(settings, seed, kept);
        tracing::info!(%id, last = replica.last_position().index, "replica {id} opens with entries up to {}", replica.last_position().index);
        self.marks.clear();
        self.life = Some(Life {
            folder,
            replica,
            fleet: Fleet::default(),
            heard: None,
            localities: BTreeMap::new(),
            texts: scopes::Texts::default(),
            unsettled: (0, false),
            divider: None,
            runner: None,
            looks: None,
            compacted: 0,
        });
        self.apart = None;
        Ok(())
    }

    /// It does not serve from here on. Those that wait for it are told what it can say for sure.
    fn close(&mut self, why: String) {
        self.life = None;
        (self.apart, self.reopen, self.role) = (Some(why), self.now + REOPEN, None);
        self.unconfirmed();
        for (_, (key, number, _)) in std::mem::take(&mut self.reads) {
            self.reply(key, number, OperatorReply::NotLeader(None));
        }
        let checking = self.checking.take().map(|checking| checking.whose());
        let held = std::mem::take(&mut self.held).into_iter().map(|(key, number, _)| (key, number));
        for (key, number) in checking.into_iter().chain(held) {
            self.reply(key, number, OperatorReply::NotLeader(None));
        }
        let writes = std::mem::take(&mut self.writes).into_values().flatten();
        for Waiting { key, whom, .. } in writes {
            if let Whom::Operator { number } = whom {
                self.reply(key, number, OperatorReply::Unknown("the daemon stopped serving".to_string()));
            }
        }
    }

    /// Its copy is not to be trusted: the folder is kept for a look, and its place begins another life.
    fn begin_anew(&mut self, why: String) {
        tracing::error!("stops serving: {why}");
        self.close(why);
        match Folder::set_aside(&self.configuration.folder) {
            Ok(aside) => tracing::warn!("set aside as {}, comes back as another life", aside.display()),
            Err(what) => tracing::error!("{what}"),
        }
        self.reopen = self.now;
    }

    // What is not told by an event.

    fn look(&mut self) {
        if self.life.is_none()
            && self.now >= self.reopen
            && let Err(what) = self.open()
        {
            self.reopen = self.now + REOPEN;
            tracing::error!("folder: {what}");
        }
        let (id, now) = (self.id(), self.now);
        for (place, (at, key, again)) in self.dials.clone() {
            if key.is_none() && now >= again {
                self.dial(place, at, id);
            }
        }
        let stuck = Span::from_millis(self.configuration.election_ms) * STUCK_ELECTIONS;
        let idle = self.configuration.lease() * 10.0;
        let over = self.peers.iter().filter(|(_, peer)| {
            let silent = match peer.who {
                None => peer.dialed.is_none() && now.since(peer.since) > GREETING_IN,
                Some(Initiator::Member { .. } | Initiator::Operator) => now.since(peer.since) > idle,
                Some(Initiator::Replica(_)) => false,
            };
            let older = peer.dialed.is_some() && peer.speaks < VERSION && now.since(peer.since) > OLDER;
            silent || older || now.since(peer.clear) > stuck && peer.connection.unsent() > 0
        });
        for key in over.map(|(key, _)| key).collect::<Vec<_>>() {
            self.hang_up(key);
        }
        let Some(life) = &mut self.life else { return };
        let Some(heard) = &mut life.heard else { return };
        for command in heard.proposals(now, &life.fleet) {
            let _ = life.replica.propose(command.to_bytes());
        }
        let Some(divider) = &mut life.divider else { return };
        for change in divider.proposals(now, life.fleet.budgets()) {
            let _ = life.replica.propose(Command::SetShares(change).to_bytes());
        }
        let Some(runner) = &mut life.runner else { return };
        for order in runner.proposals(now, &life.fleet, heard) {
            tracing::info!("proposes {order:?}");
            let _ = life.replica.propose(Command::Release(order).to_bytes());
        }
    }

    fn id(&self) -> Id {
        let place = self.configuration.place;
        self.life.as_ref().map_or(Id::any_incarnation(place), |life| life.replica.id())
    }

    fn told(&mut self) {
        if self.signals.pending().count() == 0 || self.leaving.is_some() {
            return;
        }
        tracing::info!("told to leave");
        self.leaving = Some(self.now + Span::from_millis(self.configuration.election_ms));
        let Some(life) = &mut self.life else { return };
        let heard = life.replica.peers().into_iter().filter(|(_, _, heard)| *heard);
        let voters = heard.filter(|(id, _, _)| life.replica.voters().contains(id));
        if let Some((id, _, _)) = voters.max_by_key(|(_, matched, _)| *matched) {
            // Its place is taken without an election's wait.
            let _ = life.replica.transfer_leadership(id);
        }
    }
}
