//! A simulation of replicas whose network, disks, processes and clocks fail as a seed determines, and the checks of the
//! protocol's guarantees.

use std::collections::{BTreeMap, VecDeque};

use appledyke_consensus::{
    Batch, Body, Content, Entry, Id, Index, Message, Position, Ready, Replica, Role, Settings, Snapshot,
    Term, storage,
};
use appledyke_store::Store;
use appledyke_store::simulated_disk::{Files, SimulatedDisk};
use oorandom::Rand64;

/// Steps with faults, then steps without, after which all replicas must have recovered.
const FAULT_STEPS: u64 = 1200;
const RECOVERY_STEPS: u64 = 1600;
const ELECTION_TICKS: u32 = 20;
const HEARTBEAT_TICKS: u32 = 5;
/// Entries between two snapshots, and entries kept although a snapshot covers them.
const SNAPSHOT_INTERVAL: usize = 12;
const TRAILING_ENTRIES: Index = 4;

/// A bug that the simulation adds to the protocol, to show that a check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Denied votes arrive as granted.
    ForgedVotes,
    /// A restart loses the term and the vote.
    ForgottenVotes,
    /// Entries reach one replica with altered commands.
    ChangedEntry,
    /// Candidates claim the greatest possible last position.
    ForgedLastPosition,
    /// A replica with an old copy of its folder votes under its old identity.
    OldFolderTrusted,
    /// Batches are reported durable before they are written.
    EarlyDurability,
    /// A leader answers reads without confirmation by a majority.
    UnconfirmedReads,
    /// All votes are lost once the faults are over.
    DroppedVotes,
    /// One replica applies another command than the committed one.
    ReplacedCommand,
    /// One replica applies some commands twice.
    DoubleApply,
}

#[derive(Clone, Default)]
struct StateMachine {
    applied: Index,
    commands: Vec<u64>,
}

impl StateMachine {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.applied, &self.commands)).unwrap()
    }

    fn from_snapshot(snapshot: &Snapshot) -> StateMachine {
        let (applied, commands) = postcard::from_bytes(&snapshot.state).unwrap();
        StateMachine { applied, commands }
    }
}

struct Running {
    replica: Replica,
    store: Store<SimulatedDisk>,
    /// Batches that are not written yet, each with the step at which it will be.
    queue: VecDeque<(u64, Batch)>,
    machine: StateMachine,
    entries_since_snapshot: usize,
}

struct Node {
    id: Id,
    disk: SimulatedDisk,
    running: Option<Running>,
    /// Ticks in a step, and the fraction of a tick that is left over.
    clock_rate: f64,
    clock_fraction: f64,
    paused_until: u64,
    restart_at: u64,
    backups: Vec<(Files, Id)>,
}

/// A client's operation. `started` and `completed` are positions in the sequence of client events.
#[derive(Clone, Copy)]
struct Operation {
    started: u64,
    completed: Option<u64>,
    /// The node that received it, with its identity and the number of its start.
    target: (usize, Id, u64),
    /// For a read, the number of commands that it observed.
    observed: Option<usize>,
    is_read: bool,
}

pub struct World {
    bug: InjectedBug,
    rng: Rand64,
    now: u64,
    events: u64,
    nodes: Vec<Node>,
    starts: Vec<u64>,
    network: BTreeMap<(u64, u64), Message>,
    messages_sent: u64,
    blocked_links: Vec<Vec<bool>>,
    loss_rate: f64,
    /// The node whose folder was emptied or restored from an old copy, its last position and the commit index then. No other
    /// folder is damaged until this node has caught up to both.
    damaged: Option<(usize, Position, Index)>,
    leaders: BTreeMap<Term, Id>,
    committed: Vec<Entry>,
    operations: Vec<Operation>,
    last_incarnation: u64,
    faults_off: bool,
    /// Clients send no operations.
    clients_paused: bool,
    pub trace: Vec<(u64, Id, Index)>,
}

impl World {
    pub fn new(replicas: u16, seed: u64, bug: InjectedBug) -> World {
        let rng = Rand64::new(u128::from(seed));
        let count = usize::from(replicas);
        let mut world = World {
            bug,
            rng,
            now: 0,
            events: 0,
            nodes: Vec::new(),
            starts: vec![0; count],
            network: BTreeMap::new(),
            messages_sent: 0,
            blocked_links: vec![vec![false; count]; count],
            loss_rate: 0.0,
            damaged: None,
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            operations: Vec::new(),
            last_incarnation: u64::from(replicas),
            faults_off: true,
            clients_paused: false,
            trace: Vec::new(),
        };
        for at in 0..count {
            let id = Id { replica_id: at as u16 + 1, incarnation: at as u64 + 1 };
            let clock_rate = 0.7 + 0.6 * world.rng.rand_float();
            let node = Node {
                id,
                disk: SimulatedDisk::default(),
                running: None,
                clock_rate,
                clock_fraction: 0.0,
                paused_until: 0,
                restart_at: 0,
                backups: Vec::new(),
            };
            world.nodes.push(node);
        }
        let bootstrap = Replica::bootstrap(world.nodes[0].id);
        let batch =
            Batch { hard_state: Some(bootstrap.hard_state), entries: bootstrap.entries, ..Batch::default() };
        let (mut store, _) = Store::open(world.nodes[0].disk.clone()).unwrap();
        store.commit(&storage::changes(&batch, store.iter())).unwrap();
        drop(store);
        (0..count).for_each(|at| world.start(at));
        world
    }

    fn range(&mut self, to: u64) -> u64 {
        self.rng.rand_range(0..to.max(1))
    }

    fn happens(&mut self, probability: f64) -> bool {
        self.rng.rand_float() < probability
    }

    fn start(&mut self, at: usize) {
        let seed = self.rng.rand_u64();
        let replica_ids = (1..=self.nodes.len() as u16).collect();
        let trust_folder =
            [InjectedBug::OldFolderTrusted, InjectedBug::ForgottenVotes, InjectedBug::EarlyDurability]
                .contains(&self.bug);
        let node = &mut self.nodes[at];
        let (store, report) = Store::open(node.disk.clone()).unwrap();
        assert!(report.missing_from.is_none());
        let mut kept = storage::load(store.iter()).unwrap();
        if self.bug == InjectedBug::ForgottenVotes {
            kept.hard_state = Default::default();
        }
        let settings = Settings {
            id: node.id,
            replica_ids,
            election_ticks: ELECTION_TICKS,
            heartbeat_ticks: HEARTBEAT_TICKS,
            trailing_entries: TRAILING_ENTRIES,
            trust_folder,
        };
        let replica = Replica::new(settings, seed, kept);
        let machine = StateMachine::default();
        node.running =
            Some(Running { replica, store, queue: VecDeque::new(), machine, entries_since_snapshot: 0 });
        self.starts[at] += 1;
    }

    /// Runs the whole history. Returns the number of committed commands.
    pub fn play(&mut self) -> Result<u64, String> {
        // All replicas join before the first fault.
        self.run(RECOVERY_STEPS / 2)?;
        self.faults_off = false;
        self.run(FAULT_STEPS)?;
        self.faults_off = true;
        self.loss_rate = 0.0;
        self.blocked_links.iter_mut().flatten().for_each(|blocked| *blocked = false);
        self.nodes.iter_mut().for_each(|node| (node.paused_until, node.restart_at) = (0, 0));
        self.run(RECOVERY_STEPS)?;
        self.check_recovery()?;
        Ok(self.committed.iter().filter(|entry| matches!(entry.content, Content::Command(_))).count() as u64)
    }

    fn run(&mut self, steps: u64) -> Result<(), String> {
        for _ in 0..steps {
            self.now += 1;
            if !self.faults_off {
                self.inject_faults();
            }
            for at in 0..self.nodes.len() {
                if self.nodes[at].running.is_none() && self.nodes[at].restart_at <= self.now {
                    self.start(at);
                }
                if self.nodes[at].paused_until > self.now {
                    continue;
                }
                let node = &mut self.nodes[at];
                node.clock_fraction += node.clock_rate;
                while node.clock_fraction >= 1.0 {
                    node.clock_fraction -= 1.0;
                    node.running.iter_mut().for_each(|running| running.replica.tick());
                }
                self.write_batches(at);
                self.process_ready(at)?;
            }
            self.deliver()?;
            self.run_client();
            self.replace_lost_replicas();
            self.check_leaders()?;
            if self.now.is_multiple_of(64) {
                self.check_logs()?;
            }
        }
        self.check_logs()?;
        self.check_clients()
    }

    // Faults.

    fn inject_faults(&mut self) {
        let count = self.nodes.len() as u64;
        let at = self.range(count) as usize;
        if self.happens(0.006) {
            self.crash(at);
        }
        if self.happens(0.003) {
            // A pause may be shorter or longer than an election timeout.
            let time = self.range(u64::from(6 * ELECTION_TICKS));
            self.nodes[at].paused_until = self.now + time;
        }
        if self.happens(0.01) {
            let (from, to) = (self.range(count) as usize, self.range(count) as usize);
            self.blocked_links[from][to] = true;
        }
        if self.happens(0.004) {
            let side = self.range(1 << count);
            for from in 0..self.nodes.len() {
                for to in 0..self.nodes.len() {
                    self.blocked_links[from][to] = (side >> from & 1) != (side >> to & 1);
                }
            }
        }
        if self.happens(0.012) {
            self.blocked_links.iter_mut().flatten().for_each(|blocked| *blocked = false);
            self.loss_rate = if self.happens(0.5) { 0.0 } else { 0.3 * self.rng.rand_float() };
        }
        if self.happens(0.002) {
            // All nodes crash at once.
            (0..self.nodes.len()).for_each(|at| self.crash(at));
        }
        if self.happens(0.05) {
            let node = &mut self.nodes[at];
            if node.running.is_some() {
                let files = node.disk.files_after_power_cut([0, 0]);
                node.backups.push((files, node.id));
            }
        }
        // With two replicas there is no majority without the damaged one, so neither folder may be damaged.
        if self.happens(0.006) && self.nodes.len() > 2 {
            self.damage_folder(at);
        }
    }

    /// A power cut, possibly in the middle of a write.
    fn crash(&mut self, at: usize) {
        let (operation, kept) =
            (1 + self.range(4) as usize, [self.range(200) as usize, self.range(200) as usize]);
        let restart_at = self.now + 1 + self.range(120);
        let node = &mut self.nodes[at];
        let Some(mut running) = node.running.take() else { return };
        if let Some((_, batch)) = running.queue.pop_front() {
            let at = node.disk.0.borrow().operations + operation;
            node.disk.0.borrow_mut().power_cut_at = Some(at);
            let changes = storage::changes(&batch, running.store.iter());
            let _ = running.store.commit(&changes);
        }
        let files = node.disk.files_after_power_cut(kept);
        node.disk = SimulatedDisk::with_files(files);
        node.restart_at = restart_at;
    }

    /// Empties the folder or restores it from an old copy. Messages that the process sent before are dropped, since by the
    /// time that an operator has replaced a folder they are delivered or lost.
    fn damage_folder(&mut self, at: usize) {
        let all_are_voters = (0..self.nodes.len()).all(|at| self.is_voter(at));
        let Some(running) =
            self.nodes[at].running.as_ref().filter(|_| self.damaged.is_none() && all_are_voters)
        else {
            return;
        };
        self.damaged = Some((at, running.replica.last_position(), self.committed.len() as Index));
        self.crash(at);
        let own = self.nodes[at].id.replica_id;
        self.network.retain(|_, message| message.from.replica_id != own);
        let old = self.happens(0.5) || self.bug == InjectedBug::OldFolderTrusted;
        let count = self.nodes[at].backups.len() as u64;
        if old && count > 0 {
            let which = self.range(count) as usize;
            let (files, id) = self.nodes[at].backups[which].clone();
            (self.nodes[at].disk, self.nodes[at].id) = (SimulatedDisk::with_files(files), id);
        } else {
            self.begin_new_incarnation(at);
        }
    }

    fn begin_new_incarnation(&mut self, at: usize) {
        self.last_incarnation += 1;
        let node = &mut self.nodes[at];
        node.running = None;
        node.disk = SimulatedDisk::default();
        node.id.incarnation = self.last_incarnation;
        node.backups.clear();
    }

    fn is_voter(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        node.running.as_ref().is_some_and(|running| {
            let role = running.replica.role();
            matches!(role, Role::Follower | Role::Candidate | Role::Leader)
        })
    }

    /// Gives replicas that have lost acknowledged entries a new incarnation, as hosts do. Clears `damaged` once that node has
    /// caught up.
    fn replace_lost_replicas(&mut self) {
        for at in 0..self.nodes.len() {
            let lost = self.nodes[at].running.as_ref().is_some_and(|r| r.replica.role() == Role::Lost);
            if lost {
                self.begin_new_incarnation(at);
            }
        }
        if let Some((at, last, committed)) = self.damaged
            && self.is_voter(at)
        {
            let running = self.nodes[at].running.as_ref().expect("a voter is running");
            if running.replica.last_position() >= last && running.replica.commit_index() >= committed {
                self.damaged = None;
            }
        }
    }

    // Disks, work and the network.

    fn write_batches(&mut self, at: usize) {
        let now = self.now;
        let Some(running) = &mut self.nodes[at].running else { return };
        while running.queue.front().is_some_and(|(written_at, _)| *written_at <= now) {
            let (_, batch) = running.queue.pop_front().expect("the queue is not empty");
            let changes = storage::changes(&batch, running.store.iter());
            running.store.commit(&changes).expect("this disk has no faults");
            if running.store.log_length() > 20_000 {
                running.store.compact().expect("this disk has no faults");
            }
            running.replica.mark_durable(batch.number);
        }
    }

    fn process_ready(&mut self, at: usize) -> Result<(), String> {
        loop {
            let write_delay = if self.happens(0.7) { 0 } else { self.range(6) };
            let Some(running) = &mut self.nodes[at].running else { return Ok(()) };
            let work = running.replica.take_ready();
            if work.is_empty() {
                return Ok(());
            }
            let Ready { batch, messages, install, committed, reads, failed_reads: _ } = work;
            if let Some(batch) = batch {
                if self.bug == InjectedBug::EarlyDurability {
                    running.replica.mark_durable(batch.number);
                }
                running.queue.push_back((self.now + write_delay, batch));
            }
            if let Some(snapshot) = install {
                running.machine = StateMachine::from_snapshot(&snapshot);
                running.entries_since_snapshot = 0;
            }
            for entry in committed {
                self.apply(at, entry)?;
            }
            for ticket in reads {
                self.answer_read(at, ticket as usize);
            }
            messages.into_iter().for_each(|message| self.apply_bug_and_send(message));
            self.write_batches(at);
        }
    }

    fn apply(&mut self, at: usize, mut entry: Entry) -> Result<(), String> {
        let own = self.nodes[at].id;
        if let Content::Command(command) = &mut entry.content
            && self.bug == InjectedBug::ReplacedCommand
            && own.replica_id == 2
        {
            command[0] = 0;
        }
        let apply_twice = self.bug == InjectedBug::DoubleApply && own.replica_id == 2;
        let running = self.nodes[at].running.as_mut().expect("a running replica returned the entry");
        let machine = &mut running.machine;
        let index = entry.position.index;
        if index != machine.applied + 1 {
            return Err(format!("state machine safety: {own} applies {index} after {}", machine.applied));
        }
        machine.applied = index;
        let mut done = None;
        if let Content::Command(command) = &entry.content {
            let number = u64::from_le_bytes(command[..].try_into().unwrap());
            machine.commands.push(number);
            if apply_twice && number % 7 == 0 {
                machine.commands.push(number);
            }
            done = Some(number as usize);
        }
        running.entries_since_snapshot += 1;
        if running.entries_since_snapshot >= SNAPSHOT_INTERVAL {
            running.entries_since_snapshot = 0;
            let state = machine.encode();
            running.replica.compact(index, state);
        }
        self.trace.push((self.now, own, index));
        match self.committed.get(index as usize - 1) {
            Some(present) if *present != entry => {
                return Err(format!(
                    "state machine safety: {own} commits {entry:?}, another replica {present:?}"
                ));
            }
            Some(_) => {}
            None if self.committed.len() as Index + 1 == index => self.committed.push(entry),
            None => return Err(format!("state machine safety: {own} commits {index} out of turn")),
        }
        if let Some(number) = done {
            self.events += 1;
            let (operation, here) = (&mut self.operations[number], (at, own, self.starts[at]));
            // Only the process that received the operation can answer its client.
            if operation.target == here && operation.completed.is_none() {
                operation.completed = Some(self.events);
            }
        }
        Ok(())
    }

    fn apply_bug_and_send(&mut self, mut message: Message) {
        match (self.bug, &mut message.body) {
            (
                InjectedBug::ForgedLastPosition,
                Body::VoteRequest { last, .. } | Body::PreVoteRequest { last },
            ) => {
                *last = Position { term: u64::MAX, index: u64::MAX };
            }
            (InjectedBug::ChangedEntry, Body::AppendRequest { entries, .. })
                if message.to.replica_id == 2 =>
            {
                for entry in entries {
                    if let Content::Command(command) = &mut entry.content {
                        command[7] ^= 1;
                    }
                }
            }
            (InjectedBug::DroppedVotes, Body::VoteResponse { .. })
                if self.faults_off && self.now > RECOVERY_STEPS =>
            {
                return;
            }
            (InjectedBug::ForgedVotes, Body::VoteResponse { granted }) => *granted = true,
            _ => {}
        }
        self.send(message);
    }

    fn send(&mut self, message: Message) {
        let copies = if !self.faults_off && self.happens(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            if self.loss_rate > 0.0 && self.happens(self.loss_rate) {
                continue;
            }
            let is_late = !self.faults_off && self.happens(0.02);
            let delay = 1 + if is_late { self.range(60) } else { self.range(3) };
            self.messages_sent += 1;
            self.network.insert((self.now + delay, self.messages_sent), message.clone());
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        while let Some(((when, number), message)) = self.network.pop_first() {
            if when > self.now {
                self.network.insert((when, number), message);
                return Ok(());
            }
            let (from, to) =
                (usize::from(message.from.replica_id) - 1, usize::from(message.to.replica_id) - 1);
            if self.blocked_links[from][to] {
                continue;
            }
            if self.nodes[to].paused_until > self.now {
                // The kernel buffers the message until the process resumes.
                self.network.insert((self.nodes[to].paused_until, number), message);
                continue;
            }
            if let Some(running) = &mut self.nodes[to].running {
                running.replica.receive(message);
                self.process_ready(to)?;
            }
        }
        Ok(())
    }

    // Clients.

    fn run_client(&mut self) {
        if self.clients_paused || !self.happens(0.15) {
            return;
        }
        let count = self.nodes.len() as u64;
        let at = self.range(count) as usize;
        let is_read = self.happens(0.4);
        if self.nodes[at].paused_until > self.now {
            return;
        }
        let (id, number) = (self.nodes[at].id, self.operations.len());
        let Some(running) = &mut self.nodes[at].running else { return };
        let accepted = if is_read {
            running.replica.request_read(number as u64).is_ok()
        } else {
            running.replica.propose((number as u64).to_le_bytes().to_vec()).is_ok()
        };
        let unconfirmed =
            is_read && self.bug == InjectedBug::UnconfirmedReads && running.replica.role() == Role::Leader;
        if accepted {
            self.events += 1;
            let target = (at, id, self.starts[at]);
            self.operations.push(Operation {
                started: self.events,
                completed: None,
                target,
                observed: None,
                is_read,
            });
        }
        if accepted && unconfirmed {
            self.answer_read(at, number);
        }
    }

    fn answer_read(&mut self, at: usize, number: usize) {
        let list = self.nodes[at].running.as_ref().map_or(0, |running| running.machine.commands.len());
        self.events += 1;
        let (id, start) = (self.nodes[at].id, self.starts[at]);
        let operation = &mut self.operations[number];
        if operation.target == (at, id, start) && operation.completed.is_none() {
            (operation.completed, operation.observed) = (Some(self.events), Some(list));
        }
    }

    // Checks.

    fn check_leaders(&mut self) -> Result<(), String> {
        for node in &self.nodes {
            let Some(running) = &node.running else { continue };
            let replica = &running.replica;
            if replica.role() != Role::Leader {
                continue;
            }
            match self.leaders.insert(replica.term(), node.id) {
                Some(other) if other != node.id => {
                    return Err(format!(
                        "election safety: {other} and {} lead term {}",
                        node.id,
                        replica.term()
                    ));
                }
                Some(_) => {}
                None => {
                    let base = replica.base().index;
                    let needs = self.committed.iter().filter(|entry| entry.position.term < replica.term());
                    for entry in needs.filter(|entry| entry.position.index > base) {
                        if replica.entry(entry.position.index) != Some(entry) {
                            return Err(format!(
                                "leader completeness: {} leads term {} without {:?}",
                                node.id,
                                replica.term(),
                                entry.position
                            ));
                        }
                    }
                }
            }
        }
        Ok(())
    }

    fn check_logs(&self) -> Result<(), String> {
        let running: Vec<&Replica> =
            self.nodes.iter().filter_map(|node| Some(&node.running.as_ref()?.replica)).collect();
        for (at, one) in running.iter().enumerate() {
            for other in &running[at + 1..] {
                let low = one.base().index.max(other.base().index) + 1;
                let high = one.last_position().index.min(other.last_position().index);
                let same = (low..=high).rev().find(|index| one.term_at(*index) == other.term_at(*index));
                for index in low..=same.unwrap_or(0) {
                    if one.entry(index) != other.entry(index) {
                        return Err(format!(
                            "log matching: {} and {} differ at {index}",
                            one.id(),
                            other.id()
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Linearizability: clients observe one list of commands that only grows, in an order that agrees with the times of
    /// their operations.
    fn check_clients(&self) -> Result<(), String> {
        let mut order = BTreeMap::new();
        for entry in &self.committed {
            if let Content::Command(command) = &entry.content {
                let number = u64::from_le_bytes(command[..].try_into().unwrap()) as usize;
                if order.insert(number, order.len()).is_some() {
                    return Err(format!("linearizable: command {number} took effect twice"));
                }
            }
        }
        // For each operation: its start and end, the least number of commands in effect at its end, and the most at its
        // start.
        let mut points: Vec<(u64, u64, usize, usize)> = Vec::new();
        for (number, operation) in self.operations.iter().enumerate() {
            let Some(completed) = operation.completed else { continue };
            let (low, high) = match operation.observed {
                Some(observed) => (observed, observed),
                None if operation.is_read => continue,
                None => match order.get(&number) {
                    Some(at) => (at + 1, *at),
                    None => return Err(format!("nothing lost: command {number} was acknowledged")),
                },
            };
            points.push((operation.started, completed, low, high));
        }
        let mut ends: Vec<(u64, usize)> = points.iter().map(|(_, end, low, _)| (*end, *low)).collect();
        ends.sort_unstable();
        points.sort_unstable();
        let (mut at, mut seen) = (0, 0);
        for (started, _, _, high) in points {
            while at < ends.len() && ends[at].0 < started {
                seen = seen.max(ends[at].1);
                at += 1;
            }
            if high < seen {
                return Err(format!(
                    "linearizable: an operation observes at most {high} commands after another observed {seen}"
                ));
            }
        }
        Ok(())
    }

    fn check_recovery(&mut self) -> Result<(), String> {
        self.clients_paused = true;
        let before = self.committed.len();
        let leader = (0..self.nodes.len())
            .find(|at| self.nodes[*at].running.as_ref().is_some_and(|r| r.replica.role() == Role::Leader));
        let states = || {
            let status = |node: &Node| match &node.running {
                Some(r) => format!(
                    "{} {:?} term {} last {:?} of {:?}",
                    node.id,
                    r.replica.role(),
                    r.replica.term(),
                    r.replica.last_position(),
                    r.replica.voters().iter().map(ToString::to_string).collect::<Vec<_>>()
                ),
                None => format!("{} down", node.id),
            };
            self.nodes.iter().map(status).collect::<Vec<_>>().join("; ")
        };
        let Some(leader) = leader else { return Err(format!("progress: no leader: {}", states())) };
        let number = self.operations.len();
        let target = (leader, self.nodes[leader].id, self.starts[leader]);
        self.operations.push(Operation {
            started: self.events,
            completed: None,
            target,
            observed: None,
            is_read: false,
        });
        let running = self.nodes[leader].running.as_mut().expect("the leader is running");
        running
            .replica
            .propose((number as u64).to_le_bytes().to_vec())
            .map_err(|e| format!("progress: {e:?}"))?;
        self.run(u64::from(10 * ELECTION_TICKS))?;
        if self.committed.len() <= before || self.operations[number].completed.is_none() {
            return Err("progress: a command is not committed".to_string());
        }
        let all = self.committed.len() as Index;
        let mut lists = Vec::new();
        for at in 0..self.nodes.len() {
            let running = self.nodes[at].running.as_ref().ok_or("progress: a replica is down")?;
            if !self.is_voter(at) || running.machine.applied != all {
                return Err(format!(
                    "progress: {} is {:?} at {} of {all}",
                    self.nodes[at].id,
                    running.replica.role(),
                    running.machine.applied
                ));
            }
            lists.push(&running.machine.commands);
        }
        if lists.iter().any(|list| *list != lists[0]) {
            return Err("one state: state machines differ".to_string());
        }
        Ok(())
    }
}
