//! The loop: poll, take the time once, tick, feed what was heard, carry out what the replica and the fleet's state say.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use appledyke::ids;
use appledyke::units::{Moment, Span};
use appledyke_consensus::{
    Content, Entry, Id, Index, Position, Refused, Replica, Role, Settings, Term, Work,
};
use appledyke_fleet::budgets::{self, Holder, Thing};
use appledyke_fleet::divide::Divider;
use appledyke_fleet::evidence::{Cursor, Evidence};
use appledyke_fleet::heard::{self, Heard};
use appledyke_fleet::limits::Grant;
use appledyke_fleet::outs;
use appledyke_fleet::releases::Order;
use appledyke_fleet::runner::Runner;
use appledyke_fleet::state::{Command, Fleet, SETTINGS_MOST, Standing, TEXT_MOST, What, Write};
use appledyke_fleet::talk::{
    Ask, BudgetRow, Frame, Frames, MemberRow, Reply, Report, Status, Told, Who, greeted,
};
use appledyke_fleet::{Answer, Version};
use appledyke_sidecar::launch::check_agreed;
use appledyke_sidecar::net::connection::{self, Connection};
use appledyke_sidecar::net::slots::{Key, Slots};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use serde_json::Value;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;

use crate::configuration::Configuration;
use crate::folder::{Closed, Folder};

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
/// In which a greeting must have come.
const GREETING_IN: Span = Span::from_millis(3000);
/// Wait before a daemon that was not reached is tried again.
const DIAL_AGAIN: Span = Span::from_millis(200);
/// Elections for which a peer may take nothing of what waits for it.
const STUCK_ELECTIONS: f64 = 5.0;
/// Wait before a folder is opened again after its disk failed.
const REOPEN: Span = Span::from_millis(1000);
/// Comparisons of the state that are kept: daemons reach the same entry at different moments.
const MARKS_MOST: usize = 8;

struct Peer {
    connection: Connection,
    frames: Frames,
    since: Moment,
    /// When nothing waited to be sent last.
    clear: Moment,
    who: Option<Who>,
    /// The place that this connection was opened to.
    dialed: Option<u16>,
    /// Up to where a member has heard, and which process of it this is.
    cursor: Cursor,
    incarnation: u64,
}

impl Peer {
    fn new(connection: Connection, now: Moment, dialed: Option<u16>) -> Peer {
        let (frames, cursor, who) = (Frames::default(), Cursor::default(), None);
        Peer { connection, frames, since: now, clear: now, who, dialed, cursor, incarnation: 0 }
    }
}

/// A replica, from the opening of its folder to its end.
struct Life {
    folder: Folder,
    replica: Replica,
    fleet: Fleet,
    heard: Option<Heard>,
    divider: Option<Divider>,
    runner: Option<Runner>,
    /// The endpoints that members are to look for, as of a version of the settings, and the mark of these.
    looks: Option<(Version, (u64, Vec<String>))>,
    compacted: Index,
}

impl Life {
    /// The endpoints that members are to look for, found anew for other settings only: each report asks.
    fn looks(&mut self) -> &(u64, Vec<String>) {
        let version = self.fleet.version();
        let kept = self.looks.take().filter(|(of, _)| *of == version);
        &self.looks.insert(kept.unwrap_or_else(|| (version, self.fleet.looks()))).1
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
    life: Option<Life>,
    /// Why it does not serve.
    apart: Option<String>,
    reopen: Moment,
    evidence: Evidence,
    heard_records: u64,
    tickets: u64,
    reads: BTreeMap<u64, (Key, u64, Ask)>,
    /// Reports that ask for grants, and those for which a majority is asked whether this replica leads still.
    reports: Vec<(Key, Report)>,
    confirming: Option<(u64, Vec<(Key, Report)>)>,
    writes: BTreeMap<Index, Vec<Waiting>>,
    /// Digests of the state after some entries, by place.
    marks: BTreeMap<Index, BTreeMap<u16, u64>>,
    role: Option<Role>,
    /// Until when it waits for another to lead.
    leaving: Option<Moment>,
}

/// What a reporting holder is granted, and what its report says of others.
fn grants(now: Moment, divider: &mut Divider, fleet: &Fleet, report: &Report) -> Vec<Grant> {
    let holder = Holder { name: report.name.clone(), incarnation: report.incarnation };
    if report.alone {
        // An earlier process of this name has ended: what it held is free.
        let earlier =
            Thing::ALL.into_iter().flat_map(|of| fleet.budgets().parts(of)).map(|(holder, _)| holder);
        let earlier =
            earlier.filter(|other| other.name == holder.name && other.incarnation < holder.incarnation);
        earlier.for_each(|earlier| divider.ended(now, earlier));
    }
    divider.report(now, &holder, &report.uses, report.standing == Standing::Gone);
    divider.grants(&holder, fleet.budgets(), fleet.applied())
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
        let mut listener = TcpListener::bind(configuration.listen).map_err(told)?;
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
            life: None,
            apart: None,
            reopen: now,
            evidence: Evidence::default(),
            heard_records: 0,
            tickets: 0,
            reads: BTreeMap::new(),
            reports: Vec::new(),
            confirming: None,
            writes: BTreeMap::new(),
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
            places: c.places(),
            election: Daemon::in_ticks(c.election_ms),
            beat: Daemon::in_ticks(c.beat_ms),
            tail: c.compact_every,
            vouched: std::mem::take(&mut self.vouched),
        };
        let seed = getrandom::u64().map_err(|e| Closed::Disk(format!("no random number: {e}")))?;
        let id = folder.id;
        let replica = Replica::new(settings, seed, kept);
        tracing::info!(%id, last = replica.last().index, "replica {id} opens with entries up to {}", replica.last().index);
        self.marks.clear();
        self.life = Some(Life {
            folder,
            replica,
            fleet: Fleet::default(),
            heard: None,
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
            self.reply(key, number, Reply::NotLeader(None));
        }
        let writes = std::mem::take(&mut self.writes).into_values().flatten();
        for Waiting { key, whom, .. } in writes {
            if let Whom::Operator { number } = whom {
                self.reply(key, number, Reply::Unknown("the daemon stopped serving".to_string()));
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

    // Work.

    fn work(&mut self) {
        loop {
            let Some(life) = &mut self.life else { return };
            let work = life.replica.take();
            if work.is_empty() {
                break;
            }
            let Work { batch, messages, install, committed, reads, failed_reads } = work;
            if let Some(batch) = batch {
                match life.folder.persist(&batch) {
                    Ok(()) => life.replica.durable(batch.number),
                    Err(what) => {
                        tracing::error!("stops serving until its folder can be opened again: {what}");
                        return self.close(what.to_string());
                    }
                }
            }
            if let Some(snapshot) = install {
                match Fleet::of(&snapshot.state) {
                    Ok(fleet) => {
                        (life.fleet, life.compacted) = (fleet, snapshot.at.index);
                        let passed =
                            self.writes.keys().copied().take_while(|index| *index <= snapshot.at.index);
                        for index in passed.collect::<Vec<_>>() {
                            self.settle(index, None, &Answer::Done);
                        }
                    }
                    Err(what) => return self.begin_anew(format!("a snapshot cannot be read: {what}")),
                }
            }
            committed.into_iter().for_each(|entry| self.apply(entry));
            for ticket in reads {
                if let Some((_, reports)) = self.confirming.take_if(|(confirming, _)| *confirming == ticket) {
                    reports.into_iter().for_each(|(key, report)| self.answer_report(key, &report, true));
                }
                if let Some((key, number, ask)) = self.reads.remove(&ticket) {
                    self.answer(key, number, &ask);
                }
            }
            for ticket in failed_reads {
                if self.confirming.as_ref().is_some_and(|(confirming, _)| *confirming == ticket) {
                    self.unconfirmed();
                }
                if let Some((key, number, _)) = self.reads.remove(&ticket) {
                    let leader = self.leader();
                    self.reply(key, number, Reply::NotLeader(leader));
                }
            }
            for message in messages {
                let to = message.to.place;
                self.send_to(to, &Frame::Agree(message));
            }
        }
        self.look_at_role();
        self.confirm();
    }

    /// Asks a majority whether this replica leads, for all reports that wait by now. Danger: one that was stopped between two
    /// of its steps would grant by an authority that another has had since.
    fn confirm(&mut self) {
        if self.confirming.is_some() || self.reports.is_empty() {
            return;
        }
        let (ticket, reports) = (self.tickets, std::mem::take(&mut self.reports));
        self.tickets += 1;
        let asked = self.life.as_mut().is_some_and(|life| life.replica.read(ticket).is_ok());
        self.confirming = Some((ticket, reports));
        if !asked {
            self.unconfirmed();
        }
    }

    /// Those that asked for grants are answered without.
    fn unconfirmed(&mut self) {
        let waiting = self.confirming.take().map(|(_, reports)| reports).unwrap_or_default();
        for (key, report) in waiting.into_iter().chain(std::mem::take(&mut self.reports)) {
            self.answer_report(key, &report, false);
        }
    }

    fn look_at_role(&mut self) {
        let Some(life) = &mut self.life else { return };
        let role = life.replica.role();
        if role == Role::Lost {
            let why = format!("{} has acknowledged more than it holds, or votes no more", life.replica.id());
            return self.begin_anew(why);
        }
        if self.role == Some(role) {
            return;
        }
        let (id, term) = (life.replica.id(), life.replica.term());
        tracing::info!(%id, term, role = ?role, "replica {id} is {role:?} in term {term}");
        self.role = Some(role);
        let terms = heard::Terms {
            lease: self.configuration.lease(),
            gone: Span::from_millis(self.configuration.gone_ms),
        };
        let generation = life.fleet.version().generation;
        life.heard = (role == Role::Leader).then(|| Heard::new(self.now, terms));
        life.divider = (role == Role::Leader).then(|| Divider::new(self.now, generation));
        life.runner = (role == Role::Leader).then(Runner::new);
    }

    fn leader(&self) -> Option<u16> {
        self.life.as_ref()?.replica.leader().map(|id| id.place)
    }

    fn apply(&mut self, entry: Entry) {
        let Some(life) = &mut self.life else { return };
        let index = entry.at.index;
        let answer = match &entry.content {
            Content::Command(bytes) => match Command::of(bytes) {
                Ok(command) => life.fleet.apply(index, &command),
                Err(what) => {
                    // The same everywhere: it is passed over.
                    tracing::error!("entry {index}: {what}");
                    life.fleet.pass(index);
                    Answer::Done
                }
            },
            Content::Blank | Content::Voters(_) => {
                life.fleet.pass(index);
                Answer::Done
            }
        };
        if index >= life.compacted + self.configuration.compact_every {
            life.compacted = index;
            life.replica.compact(index, life.fleet.bytes());
        }
        if index.is_multiple_of(self.configuration.compare_every) {
            let digest = life.fleet.digest();
            let place = self.configuration.place;
            for other in self.dials.keys().copied().collect::<Vec<_>>() {
                self.send_to(other, &Frame::Digest { index, digest });
            }
            self.compare(index, place, digest);
        }
        self.settle(index, Some(entry.at.term), &answer);
    }

    /// Somebody waits for the fate of what was proposed at this place.
    fn wait(&mut self, at: Position, key: Key, whom: Whom) {
        self.writes.entry(at.index).or_default().push(Waiting { term: at.term, key, whom });
    }

    /// Those that wait for what stands at an index hear what came of it.
    fn settle(&mut self, index: Index, term: Option<Term>, answer: &Answer) {
        for waiting in self.writes.remove(&index).unwrap_or_default() {
            let reply = match answer {
                _ if term != Some(waiting.term) => {
                    Reply::Unknown("another leader's entry came in its place".to_string())
                }
                Answer::Committed(version) => Reply::Committed(*version),
                Answer::Refused(why) => Reply::Refused(why.to_string()),
                Answer::Done => Reply::Done,
            };
            match waiting.whom {
                Whom::Operator { number } => self.reply(waiting.key, number, reply),
                Whom::Member { ask } => {
                    let refused = match reply {
                        Reply::Done => None,
                        Reply::Refused(why) => Some(why),
                        // Danger: what nobody knows is not to be told as a yes or a no; it asks again.
                        _ => continue,
                    };
                    self.send(waiting.key, &Frame::OutTold { ask, refused });
                }
            }
        }
    }

    /// What a place's state came to after an entry. A copy that a majority differs from is the one that is wrong.
    fn compare(&mut self, index: Index, place: u16, digest: u64) {
        self.marks.entry(index).or_default().insert(place, digest);
        while self.marks.len() > MARKS_MOST {
            self.marks.pop_first();
        }
        let (Some(life), Some(marks)) = (&self.life, self.marks.get(&index)) else { return };
        let Some(own) = marks.get(&self.configuration.place) else { return };
        let voters = life.replica.voters();
        let others = voters.iter().filter_map(|id| marks.get(&id.place)).filter(|digest| *digest != own);
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        others.for_each(|digest| *counts.entry(*digest).or_default() += 1);
        if counts.is_empty() {
            return;
        }
        if counts.values().any(|count| *count > voters.len() / 2) {
            let agreed = self.marks.range(..index).rev().find(|(_, marks)| {
                let own = marks.get(&self.configuration.place);
                own.is_some()
                    && marks.values().filter(|digest| Some(*digest) == own).count() > voters.len() / 2
            });
            let from = agreed.map_or(1, |(index, _)| index + 1);
            self.begin_anew(format!(
                "its state differs from a majority's, from an entry between {from} and {index} on"
            ));
        } else {
            tracing::error!(
                index,
                "copies of the state differ after entry {index}, and no majority says which is right"
            );
        }
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
                Some(Who::Member { .. } | Who::Operator) => now.since(peer.since) > idle,
                Some(Who::Replica(_)) => false,
            };
            silent || now.since(peer.clear) > stuck && peer.connection.unsent() > 0
        });
        for key in over.map(|(key, _)| key).collect::<Vec<_>>() {
            self.hang_up(key);
        }
        let Some(life) = &mut self.life else { return };
        let Some(heard) = &mut life.heard else { return };
        for command in heard.proposals(now, &life.fleet) {
            let _ = life.replica.propose(command.bytes());
        }
        let Some(divider) = &mut life.divider else { return };
        for change in divider.proposals(now, life.fleet.budgets()) {
            let _ = life.replica.propose(Command::Divide(change).bytes());
        }
        let Some(runner) = &mut life.runner else { return };
        for order in runner.proposals(now, &life.fleet, heard) {
            tracing::info!("proposes {order:?}");
            let _ = life.replica.propose(Command::Release(order).bytes());
        }
    }

    fn id(&self) -> Id {
        let place = self.configuration.place;
        self.life.as_ref().map_or(Id::anyone_at(place), |life| life.replica.id())
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
            let _ = life.replica.hand_over(id);
        }
    }

    // Connections.

    fn dial(&mut self, place: u16, at: SocketAddr, id: Id) {
        let (now, registry) = (self.now, self.poll.registry());
        let opened = self.peers.insert_with(|key| {
            let connection = Connection::open(at, registry, key.only_token())?;
            Ok::<_, io::Error>(Peer::new(connection, now, Some(place)))
        });
        let entry = self.dials.get_mut(&place).expect("a place that is dialed");
        (entry.1, entry.2) = (opened.as_ref().ok().copied(), now + DIAL_AGAIN);
        let Ok(key) = opened else { return };
        self.send(key, &Frame::hello(&self.configuration.fleet.clone(), Who::Replica(id)));
        // What it knows of the state, for one that was not there to hear it.
        let own = self.configuration.place;
        let marks: Vec<_> =
            self.marks.iter().filter_map(|(index, marks)| Some((*index, *marks.get(&own)?))).collect();
        for (index, digest) in marks {
            self.send(key, &Frame::Digest { index, digest });
        }
    }

    fn accept(&mut self) {
        loop {
            let stream = match connection::accept(&self.listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => return,
                Err(e) => return tracing::warn!("accept: {e}"),
            };
            if self.peers.len() >= CONNECTIONS_MOST {
                // Danger: kept waiting it would look like a daemon that hangs; closed, it goes to another.
                continue;
            }
            let (now, registry) = (self.now, self.poll.registry());
            let taken = self.peers.insert_with(|key| {
                let connection = Connection::take(stream, registry, key.only_token())?;
                Ok::<_, io::Error>(Peer::new(connection, now, None))
            });
            if let Err(e) = taken {
                tracing::warn!("accept: {e}");
            }
        }
    }

    fn hang_up(&mut self, key: Key) {
        let Some(peer) = self.peers.remove(key) else { return };
        if let Some(entry) = peer.dialed.and_then(|place| self.dials.get_mut(&place)) {
            (entry.1, entry.2) = (None, self.now + DIAL_AGAIN);
        }
        peer.connection.close(self.poll.registry());
    }

    fn ready(&mut self, key: Key) {
        loop {
            let now = self.now;
            let Some(peer) = self.peers.get_mut(key) else { return };
            let works = peer.connection.flush().is_ok() && peer.connection.fill(READ_MOST).is_ok();
            if peer.connection.unsent() == 0 {
                peer.clear = now;
            }
            peer.frames.push(&peer.connection.input);
            peer.connection.input.clear();
            let (ended, more) = (!works || peer.connection.ended, peer.connection.full);
            loop {
                let Some(peer) = self.peers.get_mut(key) else { return };
                match peer.frames.pop() {
                    Ok(Some(frame)) => self.hear(key, frame),
                    Ok(None) => break,
                    Err(what) => {
                        tracing::warn!("a connection is closed: {what}");
                        return self.hang_up(key);
                    }
                }
            }
            if ended {
                return self.hang_up(key);
            }
            if !more {
                return;
            }
        }
    }

    fn send(&mut self, key: Key, frame: &Frame) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(key) else { return };
        let mut bytes = Vec::new();
        if !frame.write(&mut bytes) {
            return tracing::error!("a frame is too long and is not sent");
        }
        if peer.connection.unsent() == 0 {
            peer.clear = now;
        }
        peer.connection.queue(&[&bytes], 0);
        // One that is not up yet is written to once it is.
        let _ = peer.connection.flush();
        if peer.connection.unsent() > UNSENT_MOST {
            tracing::warn!("a connection is closed: its peer takes nothing");
            self.hang_up(key);
        }
    }

    fn send_to(&mut self, place: u16, frame: &Frame) {
        if let Some((_, Some(key), _)) = self.dials.get(&place).copied() {
            self.send(key, frame);
        }
    }

    fn reply(&mut self, key: Key, number: u64, reply: Reply) {
        self.send(key, &Frame::Reply { number, reply });
    }

    fn hear(&mut self, key: Key, frame: Frame) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        let (who, dialed) = (peer.who.clone(), peer.dialed);
        match (frame, who) {
            (Frame::NotTaken(why), _) => {
                tracing::warn!("not taken by another: {why}");
                self.hang_up(key);
            }
            (frame @ Frame::Hello { .. }, None) => match greeted(&frame, &self.configuration.fleet) {
                Ok(who) => self.greet(key, who, dialed),
                Err(why) => {
                    self.send(key, &Frame::NotTaken(why.clone()));
                    tracing::warn!("a connection is closed: {why}");
                    self.hang_up(key);
                }
            },
            (Frame::Agree(message), Some(Who::Replica(id))) if dialed.is_none() && message.from == id => {
                if let Some(life) = &mut self.life {
                    life.replica.hear(message);
                    self.work();
                }
            }
            (Frame::Digest { index, digest }, Some(Who::Replica(id))) if dialed.is_none() => {
                self.compare(index, id.place, digest);
            }
            (Frame::Report(report), Some(Who::Member { name })) if report.name == name => {
                self.report(key, report)
            }
            (Frame::AskOut { ask, anyway }, Some(Who::Member { name })) => {
                self.asked_out(key, name, ask, anyway)
            }
            (Frame::Ask { number, ask }, Some(Who::Operator)) => self.asked(key, number, ask),
            _ => {
                tracing::warn!("a connection is closed: a frame that is not its to send");
                self.hang_up(key);
            }
        }
    }

    fn greet(&mut self, key: Key, who: Who, dialed: Option<u16>) {
        if dialed.is_none() {
            if let Who::Replica(id) = &who {
                // Danger: what an earlier process of this place left in a connection comes too late to be its word.
                let earlier = self.peers.iter().filter(|(_, peer)| {
                    peer.dialed.is_none()
                        && matches!(&peer.who, Some(Who::Replica(other)) if other.place == id.place)
                });
                for earlier in earlier.map(|(key, _)| key).collect::<Vec<_>>() {
                    self.hang_up(earlier);
                }
            }
            let hello = Frame::hello(&self.configuration.fleet, Who::Replica(self.id()));
            self.send(key, &hello);
        }
        if let Some(peer) = self.peers.get_mut(key) {
            peer.who = Some(who);
        }
    }

    // Members.

    fn report(&mut self, key: Key, report: Report) {
        let grants = self.life.as_ref().is_some_and(|life| {
            let divides = !report.uses.is_empty() || life.fleet.budgets().stated().next().is_some();
            let releases = report.sent || life.fleet.releases().any_runs();
            (divides || releases) && life.replica.role() == Role::Leader
        });
        if grants {
            self.reports.push((key, report));
        } else {
            self.answer_report(key, &report, false);
        }
    }

    /// `granting`: a majority has said, after the report came, that this replica leads.
    fn answer_report(&mut self, key: Key, report: &Report, granting: bool) {
        let (now, writer) = (self.now, ids::mark(&report.name));
        let new = self.evidence.hear(now, writer, report.incarnation, &report.seen);
        self.heard_records += new as u64;
        let c = &self.configuration;
        let Some(peer) = self.peers.get_mut(key) else { return };
        (peer.since, peer.incarnation) = (now, report.incarnation);
        let passed = if report.catches_up {
            self.evidence.catch_up(now, writer, &mut peer.cursor, c.evidence_return)
        } else {
            self.evidence.tell(now, writer, &mut peer.cursor, c.evidence_each)
        };
        let mut told = Told { apart: true, passed, number: report.number, ..Told::default() };
        if let Some(life) = &mut self.life {
            let role = life.replica.role();
            told.apart = !matches!(role, Role::Leader | Role::Follower | Role::Candidate);
            told.leads = role == Role::Leader;
            told.leader = life.replica.leader().map(|id| id.place);
            let found =
                life.heard.as_mut().map(|heard| heard.report(now, report, &life.fleet)).unwrap_or_default();
            (told.twin, told.superseded) = (found.twin, found.superseded);
            if let Some(divider) = life.divider.as_mut().filter(|_| granting) {
                told.grants = Some(grants(now, divider, &life.fleet, report));
            }
            // Danger: a leader that was would send out one whom the fleet has counted as back since.
            told.sent = granting.then(|| life.fleet.releases().sends(&report.name, report.incarnation));
            let (mark, names) = life.looks();
            told.looks = (*mark != report.looks).then(|| (*mark, names.clone()));
            let (since, outs) = life.fleet.endpoints_out();
            told.outs = (since > report.outs && !told.apart).then(|| (since, outs.iter().cloned().collect()));
            // Only what is committed is ever applied, so nothing else is told; and only forwards.
            let later = life
                .fleet
                .settings()
                .filter(|written| written.version > report.knows.max(report.version) && !told.apart);
            told.settings = later.map(|written| (written.version, written.settings.clone()));
        }
        self.send(key, &Frame::Told(told));
    }

    /// A member asks whether it may go out: an entry of the log says so, or why not.
    fn asked_out(&mut self, key: Key, name: String, ask: u64, anyway: Option<String>) {
        let Some(incarnation) = self.peers.get(key).map(|peer| peer.incarnation) else { return };
        if let Some(reason) = &anyway {
            tracing::warn!(member = name, reason, "{name} goes out whatever is out already: {reason}");
        }
        let command = Command::Out { name, incarnation, ask, anyway };
        match self.life.as_mut().map(|life| life.replica.propose(command.bytes())) {
            Some(Ok(at)) => {
                self.wait(at, key, Whom::Member { ask });
            }
            _ => {
                let refused = Some("the daemon that it asks does not lead".to_string());
                self.send(key, &Frame::OutTold { ask, refused });
            }
        }
    }

    // Operators.

    fn asked(&mut self, key: Key, number: u64, ask: Ask) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.since = self.now;
        }
        if ask == Ask::Status {
            return self.answer(key, number, &ask);
        }
        let ticket = self.tickets;
        let Some(life) = &mut self.life else { return self.reply(key, number, Reply::NotLeader(None)) };
        let done = match ask {
            Ask::Write(write) => self.write(key, number, write),
            Ask::HandOver(place) => {
                let to = life.replica.voters().iter().copied().find(|id| id.place == place);
                match to {
                    Some(to) => life.replica.hand_over(to).map(|()| Some(Reply::Done)),
                    None => Ok(Some(Reply::Refused(format!("place {place} does not vote")))),
                }
            }
            Ask::TakeOut { place, anyway } => self.take_out(key, number, place, anyway),
            Ask::Endpoint { name, out, anyway } => {
                if let Some(reason) = &anyway {
                    tracing::warn!(name, reason, "{name} is taken whatever is out already: {reason}");
                }
                let missing = life.heard.as_ref().map(Heard::missing).unwrap_or_default();
                self.propose(key, number, &Command::Endpoint { name, out, anyway, missing })
            }
            Ask::Release(order) => self.release(key, number, order),
            Ask::Forget(name) => self.propose(key, number, &Command::Forget(name)),
            Ask::Ended { name, incarnation } => match &mut life.divider {
                Some(divider) => {
                    divider.ended(self.now, &Holder { name, incarnation });
                    Ok(Some(Reply::Done))
                }
                None => Err(Refused::NotLeader(life.replica.leader())),
            },
            _ => {
                self.tickets += 1;
                life.replica.read(ticket).map(|()| {
                    self.reads.insert(ticket, (key, number, ask));
                    None
                })
            }
        };
        match done {
            Ok(Some(reply)) => self.reply(key, number, reply),
            Ok(None) => {}
            Err(Refused::NotLeader(leader)) => {
                self.reply(key, number, Reply::NotLeader(leader.map(|id| id.place)));
            }
            Err(Refused::HandsOver) => self.reply(key, number, Reply::NotLeader(None)),
            Err(Refused::OneAtATime) => {
                let why = "not now: another change is under way, or this one can't be made".to_string();
                self.reply(key, number, Reply::Refused(why));
            }
        }
    }

    fn write(&mut self, key: Key, number: u64, write: Write) -> Result<Option<Reply>, Refused> {
        let Some(life) = &mut self.life else { return Err(Refused::NotLeader(None)) };
        // What is applied is committed, whoever leads now.
        match life.fleet.done(write.id) {
            Some(Answer::Committed(version)) => return Ok(Some(Reply::Committed(*version))),
            Some(Answer::Refused(why)) => return Ok(Some(Reply::Refused(why.to_string()))),
            _ => {}
        }
        if life.replica.role() != Role::Leader {
            return Err(Refused::NotLeader(life.replica.leader()));
        }
        if write.by.len() > TEXT_MOST || write.why.len() > TEXT_MOST {
            return Ok(Some(Reply::Faulty(format!("by, why: expected {TEXT_MOST} bytes at the most"))));
        }
        if let What::Put(settings, budgets, groups) = &write.what {
            if let Err(what) = outs::check(groups) {
                return Ok(Some(Reply::Faulty(what)));
            }
            if let Err(what) = budgets::check(budgets) {
                return Ok(Some(Reply::Faulty(what)));
            }
            if settings.len() > SETTINGS_MOST {
                return Ok(Some(Reply::Faulty(format!(
                    "settings: expected {SETTINGS_MOST} bytes at the most"
                ))));
            }
            if let Err(what) = check_agreed(&self.template, settings) {
                return Ok(Some(Reply::Faulty(what)));
            }
        }
        self.propose(key, number, &Command::Write(write))
    }

    /// Proposes what an operator asked for, who hears of its fate once that is known.
    fn propose(&mut self, key: Key, number: u64, command: &Command) -> Result<Option<Reply>, Refused> {
        let Some(life) = &mut self.life else { return Err(Refused::NotLeader(None)) };
        let at = life.replica.propose(command.bytes())?;
        self.wait(at, key, Whom::Operator { number });
        Ok(None)
    }

    /// An operator's or an agent's word on a release; who goes next is the leader's own to say.
    fn release(&mut self, key: Key, number: u64, order: Order) -> Result<Option<Reply>, Refused> {
        let Some(life) = &mut self.life else { return Err(Refused::NotLeader(None)) };
        let order = match order {
            Order::Start(plan, _) => {
                if let Err(what) = plan.check() {
                    return Ok(Some(Reply::Faulty(what)));
                }
                let (now, fleet) = (self.now, &life.fleet);
                let before = life.runner.as_ref().map(|r| r.before(now, fleet, &plan.group, plan.moves));
                Order::Start(plan, before.unwrap_or_default())
            }
            Order::Send { .. } | Order::Found { .. } => {
                return Ok(Some(Reply::Faulty("this is the leader's own to say".to_string())));
            }
            other => other,
        };
        self.propose(key, number, &Command::Release(order))
    }

    fn take_out(
        &mut self,
        key: Key,
        number: u64,
        place: u16,
        anyway: bool,
    ) -> Result<Option<Reply>, Refused> {
        let Some(life) = &mut self.life else { return Err(Refused::NotLeader(None)) };
        let voters = life.replica.voters();
        let Some(out) = voters.iter().copied().find(|id| id.place == place) else {
            return Ok(Some(Reply::Refused(format!("place {place} does not vote"))));
        };
        if life.replica.role() != Role::Leader {
            return Err(Refused::NotLeader(life.replica.leader()));
        }
        if out == life.replica.id() {
            return Ok(Some(Reply::Refused(format!("place {place} leads: hand over first"))));
        }
        let left: std::collections::BTreeSet<Id> = voters.iter().copied().filter(|id| *id != out).collect();
        let peers = life.replica.peers();
        let heard = peers.iter().filter(|(id, _, heard)| *heard && left.contains(id)).count() + 1;
        // An operator's mistake must not lose the majority without a warning.
        let spare = heard.saturating_sub(left.len() / 2 + 1);
        if spare == 0 && !anyway {
            let why = format!(
                "{heard} of the {} that would be left are heard: one more that fails ends all writing; say --anyway to do it",
                left.len()
            );
            return Ok(Some(Reply::Refused(why)));
        }
        let at = life.replica.change(left)?;
        self.wait(at, key, Whom::Operator { number });
        Ok(None)
    }

    /// Answers what may be answered now.
    fn answer(&mut self, key: Key, number: u64, ask: &Ask) {
        let Some(life) = &self.life else {
            let reply = match ask {
                Ask::Status => Reply::Status(self.status()),
                _ => Reply::NotLeader(None),
            };
            return self.reply(key, number, reply);
        };
        let reply = match ask {
            Ask::Status => Reply::Status(self.status()),
            Ask::Members => {
                let versions: BTreeMap<&str, Version> =
                    life.heard.iter().flat_map(|heard| heard.versions(self.now)).collect();
                let rows = life.fleet.members().iter().map(|(name, member)| MemberRow {
                    name: name.clone(),
                    incarnation: member.incarnation,
                    standing: member.standing,
                    version: versions.get(name.as_str()).copied(),
                    groups: member.groups.clone(),
                    out: outs::is_out(member),
                });
                Reply::Members(rows.collect())
            }
            Ask::Get(None) => Reply::Settings(life.fleet.settings().cloned()),
            Ask::Get(Some(version)) => {
                Reply::Settings(life.fleet.history().find(|written| written.version == *version).cloned())
            }
            Ask::History => Reply::History(life.fleet.history().cloned().collect()),
            Ask::Backup => Reply::Backup(life.fleet.bytes()),
            Ask::Outs => {
                let (_, outs) = life.fleet.endpoints_out();
                let holders = |name: &String| match &life.heard {
                    Some(heard) => heard.holders(self.now, &life.fleet, name),
                    None => life.fleet.members().keys().cloned().collect(),
                };
                Reply::Outs(outs.iter().map(|name| (name.clone(), holders(name))).collect())
            }
            Ask::Releases => {
                let releases = life.fleet.releases().iter().map(|(_, release)| release.clone()).collect();
                let runs = life.heard.iter().flat_map(|heard| heard.runs(self.now));
                let runs = runs.map(|(who, runs)| (who.to_string(), runs.to_string())).collect();
                Reply::Releases(releases, runs)
            }
            Ask::Work(who) => Reply::Work(life.fleet.releases().work(who)),
            Ask::Budgets => {
                let budgets = life.fleet.budgets();
                let row = |of: Thing| {
                    let budget = *budgets.budget(of)?;
                    let (granted, holders) =
                        budgets.parts(of).fold((0, 0), |sum, (_, part)| (sum.0 + part.granted, sum.1 + 1));
                    Some(BudgetRow {
                        budget,
                        granted,
                        counted: budgets.counted(of),
                        holders,
                        over: budgets.over(of),
                    })
                };
                Reply::Budgets(Thing::ALL.into_iter().filter_map(row).collect())
            }
            Ask::Write(_)
            | Ask::HandOver(_)
            | Ask::TakeOut { .. }
            | Ask::Ended { .. }
            | Ask::Forget(_)
            | Ask::Release(_)
            | Ask::Endpoint { .. } => {
                return;
            }
        };
        self.reply(key, number, reply);
    }

    fn status(&self) -> Status {
        let mut status = Status {
            id: self.id(),
            role: "Apart".to_string(),
            term: 0,
            leader: None,
            committed: 0,
            applied: 0,
            last: 0,
            digest: 0,
            voters: Vec::new(),
            version: Version::default(),
            peers: Vec::new(),
            apart: self.apart.clone(),
            evidence: self.heard_records,
        };
        if let Some(life) = &self.life {
            let replica = &life.replica;
            status.role = format!("{:?}", replica.role());
            (status.term, status.leader) = (replica.term(), replica.leader());
            (status.committed, status.applied) = (replica.committed(), life.fleet.applied());
            (status.last, status.digest) = (replica.last().index, life.fleet.digest());
            status.voters = replica.voters().iter().copied().collect();
            (status.version, status.peers) = (life.fleet.version(), replica.peers());
        }
        status
    }
}
