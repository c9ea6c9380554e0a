//! The event loop: polls, reads the clock once, advances the replica's ticks, handles received frames, and carries out what
//! the replica and the fleet's state ask for.

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
use crate::folder::{Folder, OpenError};

mod connections;
mod members;
mod operators;
mod replication;
mod scopes;

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const EVENT_CAPACITY: usize = 512;
/// The replica's tick: a tenth of the shortest heartbeat interval that is useful on one machine.
const TICK: Span = Span::from_millis(5);
/// Interval of the periodic work that no event triggers.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(50);
/// Bytes read from a connection at a time.
const MAX_READ_BYTES: usize = 256 * 1024;
/// Unsent bytes a connection may have: two of the largest frames. A connection with more is closed.
const MAX_UNSENT_BYTES: usize = 64 << 20;
/// Concurrent connections: the sidecars of a large fleet, and some more.
const MAX_CONNECTIONS: usize = 12_000;
/// Connections waiting to be accepted: as many as there may be in all, because all members connect at once when a leader is
/// lost. The operating system has a limit of its own (`somaxconn`).
const LISTEN_BACKLOG: i32 = MAX_CONNECTIONS as i32;
/// Time within which an accepted connection has to send its hello.
const HELLO_TIMEOUT: Span = Span::from_millis(3000);
/// Delay before a daemon that could not be reached is dialed again.
const REDIAL_DELAY: Span = Span::from_millis(200);
/// Time after which a dialed connection with an older protocol version is closed, so that the current version is tried again.
const OLDER_VERSION_RECHECK: Span = Span::from_millis(30_000);
/// Election timeouts for which a peer may leave queued bytes unread before its connection is closed.
const MAX_STALLED_ELECTIONS: f64 = 5.0;
/// Delay before the data folder is opened again after its disk failed.
const REOPEN_DELAY: Span = Span::from_millis(1000);
/// Entries whose state digests are kept: replicas apply the same entry at different times.
const MAX_DIGEST_ENTRIES: usize = 8;

/// Danger: with the usual backlog of 128, the operating system silently drops most members of a large fleet that connect at
/// once. TCP retries after one second, then after two more, while the member's own timeout expires first.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

struct Peer {
    connection: Connection,
    frames: FrameReader,
    /// Creation of the connection, or the latest report or request on it.
    last_activity: Moment,
    /// When the send queue was last empty.
    last_flushed: Moment,
    initiator: Option<Initiator>,
    /// The version that this side offers, and from the peer's hello on the one negotiated for the connection.
    protocol_version: u16,
    /// The locality that a member has reported.
    locality: Locality,
    /// The replica id that this connection was opened to; none for an accepted connection.
    dialed: Option<u16>,
    /// How far the member has read the evidence.
    cursor: Cursor,
    /// The incarnation in the member's latest report.
    incarnation: u64,
    /// Encodes other members' evidence for this member.
    encoder: Encoder,
}

impl Peer {
    fn new(connection: Connection, now: Moment, dialed: Option<u16>, protocol_version: u16) -> Peer {
        let (frames, cursor, locality) = (FrameReader::default(), Cursor::default(), Locality::default());
        let (initiator, incarnation) = (None, 0);
        Peer {
            connection,
            frames,
            last_activity: now,
            last_flushed: now,
            initiator,
            protocol_version,
            locality,
            dialed,
            cursor,
            incarnation,
            encoder: Encoder::default(),
        }
    }
}

/// A running replica, from the opening of its folder until it stops serving.
struct ActiveReplica {
    folder: Folder,
    replica: Replica,
    fleet: Fleet,
    /// Set on the leader alone, as are `allocator` and `runner`.
    tracker: Option<MemberTracker>,
    /// The localities that members have reported since this replica became leader.
    localities: BTreeMap<String, Locality>,
    /// Caches the settings merged from several scopes.
    merged_settings: scopes::MergedSettingsCache,
    /// The last entry that may hold an unapplied settings write, proposed by this replica or already in its log when it
    /// became leader; and whether such a write may be for a scope.
    pending_settings: (Index, bool),
    allocator: Option<Allocator>,
    runner: Option<ReleaseRunner>,
    /// The settings version that the watch list was made from, the hash of the list, and the endpoints in it.
    watch_list: Option<(Version, (u64, Vec<String>))>,
    compacted_index: Index,
}

impl ActiveReplica {
    /// The endpoints that members are to watch. Cached per settings version, because every report needs it.
    fn watch_list(&mut self) -> &(u64, Vec<String>) {
        let version = self.fleet.version();
        let cached = self.watch_list.take().filter(|(of, _)| *of == version);
        &self.watch_list.insert(cached.unwrap_or_else(|| (version, self.fleet.watch_list()))).1
    }
}

/// Who is to be notified of the outcome of a proposal.
#[derive(Clone, Copy)]
enum Requester {
    Operator {
        number: u64,
    },
    /// A member that asks whether it may drain.
    Member {
        request: u64,
    },
}

/// A requester that waits for the entry proposed at an index.
struct PendingProposal {
    term: Term,
    key: Key,
    requester: Requester,
}

pub struct Daemon {
    configuration: Configuration,
    template: Value,
    trust_folder: bool,
    poll: Poll,
    signals: Signals,
    listener: TcpListener,
    start: Instant,
    now: Moment,
    next_tick: Moment,
    next_maintenance: Moment,
    peers: Slots<Peer>,
    dials: BTreeMap<u16, (SocketAddr, Option<Key>, Moment)>,
    /// The protocol version that each replica is offered next.
    negotiations: BTreeMap<u16, VersionNegotiation>,
    active: Option<ActiveReplica>,
    /// Why this daemon does not serve, as its status says.
    not_serving_reason: Option<String>,
    /// When the folder may be opened again.
    reopen_at: Moment,
    evidence: EvidenceStore,
    evidence_records: u64,
    next_read_id: u64,
    /// Operator requests that wait for a linearizable read, by read id.
    pending_reads: BTreeMap<u64, (Key, u64, OperatorRequest)>,
    /// Reports that need grants and wait for the next leadership check; `leadership_check` holds the read id of the one under
    /// way, in which a majority confirms that this replica still leads, and its reports.
    pending_reports: Vec<(Key, Report)>,
    leadership_check: Option<(u64, Vec<(Key, Report)>)>,
    pending_proposals: BTreeMap<Index, Vec<PendingProposal>>,
    /// Settings writes that wait for the outcome of an earlier one.
    queued_writes: VecDeque<(Key, u64, OperatorRequest)>,
    /// The settings write that is being validated.
    validation: Option<scopes::Validation>,
    /// State digests after some entries, by replica id.
    digests: BTreeMap<Index, BTreeMap<u16, u64>>,
    role: Option<Role>,
    /// Until when a daemon that shuts down waits for another replica to take over leadership.
    shutdown_deadline: Option<Moment>,
}

impl Daemon {
    /// Opens the data folder and the listener.
    ///
    /// # Errors
    /// What could not be opened, with its configuration key where it has one.
    pub fn start(configuration: Configuration, trust_folder: bool) -> Result<Daemon, String> {
        let template = configuration.template()?;
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
        poll.registry()
            .register(&mut signals, SIGNALS, Interest::READABLE)
            .map_err(|e| format!("signals: {e}"))?;
        let listen_error = |e: io::Error| format!("listen: {}: {e}", configuration.listen);
        let mut listener = listen(configuration.listen).map_err(listen_error)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(listen_error)?;
        let now = Moment::default();
        let dials = configuration
            .other_daemons()
            .into_iter()
            .map(|(replica_id, at)| (replica_id, (at, None, now)))
            .collect();
        let mut daemon = Daemon {
            configuration,
            template,
            trust_folder,
            poll,
            signals,
            listener,
            start: Instant::now(),
            now,
            next_tick: now,
            next_maintenance: now,
            peers: Slots::default(),
            dials,
            negotiations: BTreeMap::new(),
            active: None,
            not_serving_reason: None,
            reopen_at: now,
            evidence: EvidenceStore::default(),
            evidence_records: 0,
            next_read_id: 0,
            pending_reads: BTreeMap::new(),
            pending_reports: Vec::new(),
            leadership_check: None,
            pending_proposals: BTreeMap::new(),
            queued_writes: VecDeque::new(),
            validation: None,
            digests: BTreeMap::new(),
            role: None,
            shutdown_deadline: None,
        };
        // A folder that is locked or belongs to another replica is an operator's mistake; report it before serving anything.
        if let Err(OpenError::Refused(what)) = daemon.open() {
            return Err(format!("folder: {what}"));
        }
        let at = daemon.listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let (replica_id, fleet) = (daemon.configuration.replica_id, &daemon.configuration.fleet);
        tracing::info!(place = replica_id, fleet, "place {replica_id} of fleet {fleet} listens on {at}");
        Ok(daemon)
    }

    /// Serves until a signal asks for a shutdown.
    ///
    /// # Errors
    /// The operating system's error when polling fails.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let next = self.next_tick.min(self.next_maintenance);
            let wait = Duration::from_nanos(next.since(self.time()).nanos());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => other.map_err(|e| format!("poll: {e}"))?,
            }
            self.now = self.time();
            // Danger: a process that was suspended has to advance its ticks before it handles any event, or it would answer as
            // if no time had passed.
            self.advance_ticks();
            self.process_ready();
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    SIGNALS => self.on_signal(),
                    token => Key::of_token(token).into_iter().for_each(|key| self.on_readable(key)),
                }
            }
            self.process_ready();
            if self.now >= self.next_maintenance {
                self.next_maintenance = self.now + MAINTENANCE_INTERVAL;
                self.run_maintenance();
                self.process_ready();
            }
            if let Some(until) = self.shutdown_deadline
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

    fn to_ticks(millis: u64) -> u32 {
        (Span::from_millis(millis).nanos() / TICK.nanos()).max(1) as u32
    }

    fn advance_ticks(&mut self) {
        let max_ticks = 2 * Daemon::to_ticks(self.configuration.election_ms);
        let mut count = 0;
        while self.next_tick <= self.now {
            self.next_tick = if count < max_ticks { self.next_tick + TICK } else { self.now + TICK };
            count += 1;
            self.active.iter_mut().for_each(|active| active.replica.tick());
        }
    }

    // Opening, stopping and resetting the replica.

    fn open(&mut self) -> Result<(), OpenError> {
        let c = &self.configuration;
        let opened = match Folder::open(&c.folder, &c.fleet, c.replica_id) {
            Err(OpenError::Damaged(what)) => {
                let backup_path = Folder::set_aside(&c.folder)?;
                tracing::error!(
                    "{what}: folder set aside as {}; starting with an empty folder and a new incarnation",
                    backup_path.display()
                );
                Folder::open(&c.folder, &c.fleet, c.replica_id)
            }
            other => other,
        };
        let (folder, persisted, notes) = opened?;
        notes.iter().for_each(|note| tracing::warn!("{note}"));
        let settings = Settings {
            id: folder.id,
            replica_ids: c.replica_ids(),
            election_ticks: Daemon::to_ticks(c.election_ms),
            heartbeat_ticks: Daemon::to_ticks(c.heartbeat_ms),
            trailing_entries: c.compact_every,
            trust_folder: std::mem::take(&mut self.trust_folder),
        };
        let seed = getrandom::u64().map_err(|e| OpenError::Disk(format!("no random number: {e}")))?;
        let id = folder.id;
        let replica = Replica::new(settings, seed, persisted);
        tracing::info!(%id, last = replica.last_position().index, "replica {id} opened its folder with entries up to {}", replica.last_position().index);
        self.digests.clear();
        self.active = Some(ActiveReplica {
            folder,
            replica,
            fleet: Fleet::default(),
            tracker: None,
            localities: BTreeMap::new(),
            merged_settings: scopes::MergedSettingsCache::default(),
            pending_settings: (0, false),
            allocator: None,
            runner: None,
            watch_list: None,
            compacted_index: 0,
        });
        self.not_serving_reason = None;
        Ok(())
    }

    /// Stops serving. Everyone who waits for an answer gets one that is certain to be true: not the leader for requests that
    /// had no effect, unknown for those that may yet take effect.
    fn stop_serving(&mut self, why: String) {
        self.active = None;
        (self.not_serving_reason, self.reopen_at, self.role) = (Some(why), self.now + REOPEN_DELAY, None);
        self.answer_without_grants();
        for (_, (key, number, _)) in std::mem::take(&mut self.pending_reads) {
            self.reply(key, number, OperatorReply::NotLeader(None));
        }
        let validation = self.validation.take().map(|validation| validation.requester());
        let queued_writes =
            std::mem::take(&mut self.queued_writes).into_iter().map(|(key, number, _)| (key, number));
        for (key, number) in validation.into_iter().chain(queued_writes) {
            self.reply(key, number, OperatorReply::NotLeader(None));
        }
        let writes = std::mem::take(&mut self.pending_proposals).into_values().flatten();
        for PendingProposal { key, requester, .. } in writes {
            if let Requester::Operator { number } = requester {
                self.reply(key, number, OperatorReply::Unknown("the daemon stopped serving".to_string()));
            }
        }
    }

    /// Stops serving because the replica's state cannot be trusted. The folder is set aside for inspection, and the daemon starts
    /// again with an empty one as a new incarnation.
    fn reset_replica(&mut self, why: String) {
        tracing::error!("stops serving: {why}");
        self.stop_serving(why);
        match Folder::set_aside(&self.configuration.folder) {
            Ok(path) => tracing::warn!(
                "folder set aside as {}; starting with an empty folder and a new incarnation",
                path.display()
            ),
            Err(what) => tracing::error!("{what}"),
        }
        self.reopen_at = self.now;
    }

    // Periodic work.

    fn run_maintenance(&mut self) {
        if self.active.is_none()
            && self.now >= self.reopen_at
            && let Err(what) = self.open()
        {
            self.reopen_at = self.now + REOPEN_DELAY;
            tracing::error!("folder: {what}");
        }
        let (id, now) = (self.id(), self.now);
        for (replica_id, (at, key, redial_at)) in self.dials.clone() {
            if key.is_none() && now >= redial_at {
                self.dial(replica_id, at, id);
            }
        }
        let stuck = Span::from_millis(self.configuration.election_ms) * MAX_STALLED_ELECTIONS;
        let idle = self.configuration.lease() * 10.0;
        let expired = self.peers.iter().filter(|(_, peer)| {
            let silent = match peer.initiator {
                None => peer.dialed.is_none() && now.since(peer.last_activity) > HELLO_TIMEOUT,
                Some(Initiator::Member { .. } | Initiator::Operator) => now.since(peer.last_activity) > idle,
                Some(Initiator::Replica(_)) => false,
            };
            let older = peer.dialed.is_some()
                && peer.protocol_version < VERSION
                && now.since(peer.last_activity) > OLDER_VERSION_RECHECK;
            silent || older || now.since(peer.last_flushed) > stuck && peer.connection.unsent() > 0
        });
        for key in expired.map(|(key, _)| key).collect::<Vec<_>>() {
            self.close_connection(key);
        }
        let Some(active) = &mut self.active else { return };
        let Some(tracker) = &mut active.tracker else { return };
        for command in tracker.proposals(now, &active.fleet) {
            let _ = active.replica.propose(command.to_bytes());
        }
        let Some(allocator) = &mut active.allocator else { return };
        for change in allocator.proposals(now, active.fleet.budgets()) {
            let _ = active.replica.propose(Command::SetShares(change).to_bytes());
        }
        let Some(runner) = &mut active.runner else { return };
        for order in runner.proposals(now, &active.fleet, tracker) {
            tracing::info!("proposes {order:?}");
            let _ = active.replica.propose(Command::Release(order).to_bytes());
        }
    }

    fn id(&self) -> Id {
        let replica_id = self.configuration.replica_id;
        self.active.as_ref().map_or(Id::any_incarnation(replica_id), |active| active.replica.id())
    }

    fn on_signal(&mut self) {
        if self.signals.pending().count() == 0 || self.shutdown_deadline.is_some() {
            return;
        }
        tracing::info!("shutting down on a signal");
        self.shutdown_deadline = Some(self.now + Span::from_millis(self.configuration.election_ms));
        let Some(active) = &mut self.active else { return };
        let reachable = active.replica.peers().into_iter().filter(|(_, _, reachable)| *reachable);
        let voters = reachable.filter(|(id, _, _)| active.replica.voters().contains(id));
        if let Some((id, _, _)) = voters.max_by_key(|(_, matched, _)| *matched) {
            // A transfer of leadership saves the fleet the wait for an election.
            let _ = active.replica.transfer_leadership(id);
        }
    }
}
