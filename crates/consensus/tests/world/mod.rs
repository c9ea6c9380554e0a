//! Replicas on a network, disks and clocks that fail by a seed, and the checks.

use std::collections::{BTreeMap, VecDeque};

use appledyke_consensus::{
    Batch, Body, Content, Entry, Id, Index, Message, Position, Ready, Replica, Role, Settings, Snapshot,
    Term, storage,
};
use appledyke_store::Store;
use appledyke_store::simulated_disk::{Files, SimulatedDisk};
use oorandom::Rand64;

/// Steps with faults, then steps in which all must come right again.
const ROUGH: u64 = 1200;
const CALM: u64 = 1600;
const ELECTION: u32 = 20;
const BEAT: u32 = 5;
/// Commands between two snapshots, and entries kept behind one.
const COMPACT: usize = 12;
const TAIL: Index = 4;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    None,
    /// Votes that are denied arrive as given.
    ForgedVotes,
    /// A restart forgets term and vote.
    ForgottenVotes,
    /// An entry reaches one place with other content.
    ChangedEntry,
    /// Candidates claim the longest log.
    AnyLog,
    /// Old copies of a folder vote under their old identity.
    OldCopiesTrusted,
    /// Records count as durable before they are written.
    EarlyDurable,
    /// A leader answers reads by itself.
    EagerReads,
    /// No vote arrives once the faults are over.
    NoVotes,
    /// One place is given another command than the one that was committed.
    OtherApplied,
    /// One place applies a command twice.
    WrongApply,
}

#[derive(Clone, Default)]
struct Machine {
    applied: Index,
    list: Vec<u64>,
}

impl Machine {
    fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.applied, &self.list)).unwrap()
    }

    fn of(snapshot: &Snapshot) -> Machine {
        let (applied, list) = postcard::from_bytes(&snapshot.state).unwrap();
        Machine { applied, list }
    }
}

struct Running {
    replica: Replica,
    store: Store<SimulatedDisk>,
    /// Batches on their way to the disk, and when each is there.
    queue: VecDeque<(u64, Batch)>,
    machine: Machine,
    since_snapshot: usize,
}

struct Node {
    id: Id,
    disk: SimulatedDisk,
    running: Option<Running>,
    /// Ticks a step, and what is left of one.
    rate: f64,
    part: f64,
    stopped_until: u64,
    back_at: u64,
    copies: Vec<(Files, Id)>,
}

/// A client's operation: when it began and was answered, by a count of events.
#[derive(Clone, Copy)]
struct Operation {
    began: u64,
    answered: Option<u64>,
    /// Whom it was told to, and the life and the start of that replica.
    to: (usize, Id, u64),
    /// A read: how much it saw.
    saw: Option<usize>,
    reads: bool,
}

pub struct World {
    tamper: Tamper,
    chance: Rand64,
    now: u64,
    events: u64,
    nodes: Vec<Node>,
    starts: Vec<u64>,
    net: BTreeMap<(u64, u64), Message>,
    sent: u64,
    cut: Vec<Vec<bool>>,
    loss: f64,
    /// The place whose folder was put back or emptied, how far it had come and how far all had: until it is there again
    /// no other is struck so.
    wounded: Option<(usize, Position, Index)>,
    leaders: BTreeMap<Term, Id>,
    committed: Vec<Entry>,
    operations: Vec<Operation>,
    lives: u64,
    calm: bool,
    /// Clients ask for nothing.
    quiet: bool,
    pub trace: Vec<(u64, Id, Index)>,
}

impl World {
    pub fn new(replicas: u16, seed: u64, tamper: Tamper) -> World {
        let chance = Rand64::new(u128::from(seed));
        let count = usize::from(replicas);
        let mut world = World {
            tamper,
            chance,
            now: 0,
            events: 0,
            nodes: Vec::new(),
            starts: vec![0; count],
            net: BTreeMap::new(),
            sent: 0,
            cut: vec![vec![false; count]; count],
            loss: 0.0,
            wounded: None,
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            operations: Vec::new(),
            lives: u64::from(replicas),
            calm: true,
            quiet: false,
            trace: Vec::new(),
        };
        for at in 0..count {
            let id = Id { replica_id: at as u16 + 1, incarnation: at as u64 + 1 };
            let rate = 0.7 + 0.6 * world.chance.rand_float();
            let node = Node {
                id,
                disk: SimulatedDisk::default(),
                running: None,
                rate,
                part: 0.0,
                stopped_until: 0,
                back_at: 0,
                copies: Vec::new(),
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
        self.chance.rand_range(0..to.max(1))
    }

    fn by_chance(&mut self, part: f64) -> bool {
        self.chance.rand_float() < part
    }

    fn start(&mut self, at: usize) {
        let seed = self.chance.rand_u64();
        let replica_ids = (1..=self.nodes.len() as u16).collect();
        let trust_folder =
            [Tamper::OldCopiesTrusted, Tamper::ForgottenVotes, Tamper::EarlyDurable].contains(&self.tamper);
        let node = &mut self.nodes[at];
        let (store, report) = Store::open(node.disk.clone()).unwrap();
        assert!(report.missing_from.is_none());
        let mut kept = storage::load(store.iter()).unwrap();
        if self.tamper == Tamper::ForgottenVotes {
            kept.hard_state = Default::default();
        }
        let settings = Settings {
            id: node.id,
            replica_ids,
            election_ticks: ELECTION,
            heartbeat_ticks: BEAT,
            trailing_entries: TAIL,
            trust_folder,
        };
        let replica = Replica::new(settings, seed, kept);
        let machine = Machine::default();
        node.running = Some(Running { replica, store, queue: VecDeque::new(), machine, since_snapshot: 0 });
        self.starts[at] += 1;
    }

    /// Plays all; the number of commands that were committed.
    pub fn play(&mut self) -> Result<u64, String> {
        // All come in first.
        self.run(CALM / 2)?;
        self.calm = false;
        self.run(ROUGH)?;
        self.calm = true;
        self.loss = 0.0;
        self.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        self.nodes.iter_mut().for_each(|node| (node.stopped_until, node.back_at) = (0, 0));
        self.run(CALM)?;
        self.all_came_right()?;
        Ok(self.committed.iter().filter(|entry| matches!(entry.content, Content::Command(_))).count() as u64)
    }

    fn run(&mut self, steps: u64) -> Result<(), String> {
        for _ in 0..steps {
            self.now += 1;
            if !self.calm {
                self.strike();
            }
            for at in 0..self.nodes.len() {
                if self.nodes[at].running.is_none() && self.nodes[at].back_at <= self.now {
                    self.start(at);
                }
                if self.nodes[at].stopped_until > self.now {
                    continue;
                }
                let node = &mut self.nodes[at];
                node.part += node.rate;
                while node.part >= 1.0 {
                    node.part -= 1.0;
                    node.running.iter_mut().for_each(|running| running.replica.tick());
                }
                self.write(at);
                self.drain(at)?;
            }
            self.deliver()?;
            self.clients();
            self.mend();
            self.check_leaders()?;
            if self.now.is_multiple_of(64) {
                self.check_logs()?;
            }
        }
        self.check_logs()?;
        self.check_clients()
    }

    // Faults.

    fn strike(&mut self) {
        let count = self.nodes.len() as u64;
        let at = self.range(count) as usize;
        if self.by_chance(0.006) {
            self.kill(at);
        }
        if self.by_chance(0.003) {
            // Stopped for longer than an election, or shorter.
            let time = self.range(u64::from(6 * ELECTION));
            self.nodes[at].stopped_until = self.now + time;
        }
        if self.by_chance(0.01) {
            let (from, to) = (self.range(count) as usize, self.range(count) as usize);
            self.cut[from][to] = true;
        }
        if self.by_chance(0.004) {
            let part = self.range(1 << count);
            for from in 0..self.nodes.len() {
                for to in 0..self.nodes.len() {
                    self.cut[from][to] = (part >> from & 1) != (part >> to & 1);
                }
            }
        }
        if self.by_chance(0.012) {
            self.cut.iter_mut().flatten().for_each(|cut| *cut = false);
            self.loss = if self.by_chance(0.5) { 0.0 } else { 0.3 * self.chance.rand_float() };
        }
        if self.by_chance(0.002) {
            // All at once.
            (0..self.nodes.len()).for_each(|at| self.kill(at));
        }
        if self.by_chance(0.05) {
            let node = &mut self.nodes[at];
            if node.running.is_some() {
                let files = node.disk.files_after_power_cut([0, 0]);
                node.copies.push((files, node.id));
            }
        }
        // Of two, none may lose what it had acknowledged.
        if self.by_chance(0.006) && self.nodes.len() > 2 {
            self.wound(at);
        }
    }

    /// Power goes, at times in the middle of a write.
    fn kill(&mut self, at: usize) {
        let (operation, kept) =
            (1 + self.range(4) as usize, [self.range(200) as usize, self.range(200) as usize]);
        let back_at = self.now + 1 + self.range(120);
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
        node.back_at = back_at;
    }

    /// The folder is emptied, or put back from an old copy. What its process had sent before is delivered or lost by then.
    fn wound(&mut self, at: usize) {
        let all_vote = (0..self.nodes.len()).all(|at| self.votes(at));
        let Some(running) = self.nodes[at].running.as_ref().filter(|_| self.wounded.is_none() && all_vote)
        else {
            return;
        };
        self.wounded = Some((at, running.replica.last_position(), self.committed.len() as Index));
        self.kill(at);
        let own = self.nodes[at].id.replica_id;
        self.net.retain(|_, message| message.from.replica_id != own);
        let old = self.by_chance(0.5) || self.tamper == Tamper::OldCopiesTrusted;
        let count = self.nodes[at].copies.len() as u64;
        if old && count > 0 {
            let which = self.range(count) as usize;
            let (files, id) = self.nodes[at].copies[which].clone();
            (self.nodes[at].disk, self.nodes[at].id) = (SimulatedDisk::with_files(files), id);
        } else {
            self.another_life(at);
        }
    }

    fn another_life(&mut self, at: usize) {
        self.lives += 1;
        let node = &mut self.nodes[at];
        node.running = None;
        node.disk = SimulatedDisk::default();
        node.id.incarnation = self.lives;
        node.copies.clear();
    }

    fn votes(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        node.running.as_ref().is_some_and(|running| {
            let role = running.replica.role();
            matches!(role, Role::Follower | Role::Candidate | Role::Leader)
        })
    }

    /// Hosts bring a replica that has lost its state back as another life; a wound is over once its place has come as far
    /// as it had been.
    fn mend(&mut self) {
        for at in 0..self.nodes.len() {
            let lost = self.nodes[at].running.as_ref().is_some_and(|r| r.replica.role() == Role::Lost);
            if lost {
                self.another_life(at);
            }
        }
        if let Some((at, last, committed)) = self.wounded
            && self.votes(at)
        {
            let running = self.nodes[at].running.as_ref().expect("it votes");
            if running.replica.last_position() >= last && running.replica.commit_index() >= committed {
                self.wounded = None;
            }
        }
    }

    // Disks, work and the network.

    fn write(&mut self, at: usize) {
        let now = self.now;
        let Some(running) = &mut self.nodes[at].running else { return };
        while running.queue.front().is_some_and(|(there, _)| *there <= now) {
            let (_, batch) = running.queue.pop_front().expect("looked");
            let changes = storage::changes(&batch, running.store.iter());
            running.store.commit(&changes).expect("no fault on this disk");
            if running.store.log_length() > 20_000 {
                running.store.compact().expect("no fault on this disk");
            }
            running.replica.mark_durable(batch.number);
        }
    }

    fn drain(&mut self, at: usize) -> Result<(), String> {
        loop {
            let wait = if self.by_chance(0.7) { 0 } else { self.range(6) };
            let Some(running) = &mut self.nodes[at].running else { return Ok(()) };
            let work = running.replica.take_ready();
            if work.is_empty() {
                return Ok(());
            }
            let Ready { batch, messages, install, committed, reads, failed_reads: _ } = work;
            if let Some(batch) = batch {
                if self.tamper == Tamper::EarlyDurable {
                    running.replica.mark_durable(batch.number);
                }
                running.queue.push_back((self.now + wait, batch));
            }
            if let Some(snapshot) = install {
                running.machine = Machine::of(&snapshot);
                running.since_snapshot = 0;
            }
            for entry in committed {
                self.apply(at, entry)?;
            }
            for ticket in reads {
                self.answer_read(at, ticket as usize);
            }
            messages.into_iter().for_each(|message| self.post(message));
            self.write(at);
        }
    }

    fn apply(&mut self, at: usize, mut entry: Entry) -> Result<(), String> {
        let own = self.nodes[at].id;
        if let Content::Command(command) = &mut entry.content
            && self.tamper == Tamper::OtherApplied
            && own.replica_id == 2
        {
            command[0] = 0;
        }
        let twice = self.tamper == Tamper::WrongApply && own.replica_id == 2;
        let running = self.nodes[at].running.as_mut().expect("it gave the entry");
        let machine = &mut running.machine;
        let index = entry.position.index;
        if index != machine.applied + 1 {
            return Err(format!("state machine safety: {own} applies {index} after {}", machine.applied));
        }
        machine.applied = index;
        let mut done = None;
        if let Content::Command(command) = &entry.content {
            let number = u64::from_le_bytes(command[..].try_into().unwrap());
            machine.list.push(number);
            if twice && number % 7 == 0 {
                machine.list.push(number);
            }
            done = Some(number as usize);
        }
        running.since_snapshot += 1;
        if running.since_snapshot >= COMPACT {
            running.since_snapshot = 0;
            let state = machine.bytes();
            running.replica.compact(index, state);
        }
        self.trace.push((self.now, own, index));
        match self.committed.get(index as usize - 1) {
            Some(there) if *there != entry => {
                return Err(format!("state machine safety: {own} commits {entry:?}, another {there:?}"));
            }
            Some(_) => {}
            None if self.committed.len() as Index + 1 == index => self.committed.push(entry),
            None => return Err(format!("state machine safety: {own} commits {index} out of turn")),
        }
        if let Some(number) = done {
            self.events += 1;
            let (operation, here) = (&mut self.operations[number], (at, own, self.starts[at]));
            // Only whom it was told to can tell its client.
            if operation.to == here && operation.answered.is_none() {
                operation.answered = Some(self.events);
            }
        }
        Ok(())
    }

    fn post(&mut self, mut message: Message) {
        match (self.tamper, &mut message.body) {
            (Tamper::AnyLog, Body::VoteRequest { last, .. } | Body::PreVoteRequest { last }) => {
                *last = Position { term: u64::MAX, index: u64::MAX };
            }
            (Tamper::ChangedEntry, Body::AppendRequest { entries, .. }) if message.to.replica_id == 2 => {
                for entry in entries {
                    if let Content::Command(command) = &mut entry.content {
                        command[7] ^= 1;
                    }
                }
            }
            (Tamper::NoVotes, Body::VoteResponse { .. }) if self.calm && self.now > CALM => return,
            (Tamper::ForgedVotes, Body::VoteResponse { granted }) => *granted = true,
            _ => {}
        }
        self.send(message);
    }

    fn send(&mut self, message: Message) {
        let copies = if !self.calm && self.by_chance(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            if self.loss > 0.0 && self.by_chance(self.loss) {
                continue;
            }
            let late = !self.calm && self.by_chance(0.02);
            let delay = 1 + if late { self.range(60) } else { self.range(3) };
            self.sent += 1;
            self.net.insert((self.now + delay, self.sent), message.clone());
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        while let Some(((when, number), message)) = self.net.pop_first() {
            if when > self.now {
                self.net.insert((when, number), message);
                return Ok(());
            }
            let (from, to) =
                (usize::from(message.from.replica_id) - 1, usize::from(message.to.replica_id) - 1);
            if self.cut[from][to] {
                continue;
            }
            if self.nodes[to].stopped_until > self.now {
                // A stopped process's kernel takes it; it is read once the process goes on.
                self.net.insert((self.nodes[to].stopped_until, number), message);
                continue;
            }
            if let Some(running) = &mut self.nodes[to].running {
                running.replica.receive(message);
                self.drain(to)?;
            }
        }
        Ok(())
    }

    // Clients.

    fn clients(&mut self) {
        if self.quiet || !self.by_chance(0.15) {
            return;
        }
        let count = self.nodes.len() as u64;
        let at = self.range(count) as usize;
        let reads = self.by_chance(0.4);
        if self.nodes[at].stopped_until > self.now {
            return;
        }
        let (id, number) = (self.nodes[at].id, self.operations.len());
        let Some(running) = &mut self.nodes[at].running else { return };
        let taken = if reads {
            running.replica.request_read(number as u64).is_ok()
        } else {
            running.replica.propose((number as u64).to_le_bytes().to_vec()).is_ok()
        };
        let eager = reads && self.tamper == Tamper::EagerReads && running.replica.role() == Role::Leader;
        if taken {
            self.events += 1;
            let to = (at, id, self.starts[at]);
            self.operations.push(Operation { began: self.events, answered: None, to, saw: None, reads });
        }
        if taken && eager {
            self.answer_read(at, number);
        }
    }

    fn answer_read(&mut self, at: usize, number: usize) {
        let list = self.nodes[at].running.as_ref().map_or(0, |running| running.machine.list.len());
        self.events += 1;
        let (id, start) = (self.nodes[at].id, self.starts[at]);
        let operation = &mut self.operations[number];
        if operation.to == (at, id, start) && operation.answered.is_none() {
            (operation.answered, operation.saw) = (Some(self.events), Some(list));
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
                        "one leader a term: {other} and {} lead term {}",
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

    /// Clients see one list that only grows, in the order of what they were told.
    fn check_clients(&self) -> Result<(), String> {
        let mut place = BTreeMap::new();
        for entry in &self.committed {
            if let Content::Command(command) = &entry.content {
                let number = u64::from_le_bytes(command[..].try_into().unwrap()) as usize;
                if place.insert(number, place.len()).is_some() {
                    return Err(format!("linearizable: command {number} took effect twice"));
                }
            }
        }
        // Each as the least and the most commands that may have taken effect before its end and its start.
        let mut points: Vec<(u64, u64, usize, usize)> = Vec::new();
        for (number, operation) in self.operations.iter().enumerate() {
            let Some(answered) = operation.answered else { continue };
            let (low, high) = match operation.saw {
                Some(saw) => (saw, saw),
                None if operation.reads => continue,
                None => match place.get(&number) {
                    Some(at) => (at + 1, *at),
                    None => return Err(format!("nothing lost: command {number} was acknowledged")),
                },
            };
            points.push((operation.began, answered, low, high));
        }
        let mut ends: Vec<(u64, usize)> = points.iter().map(|(_, end, low, _)| (*end, *low)).collect();
        ends.sort_unstable();
        points.sort_unstable();
        let (mut at, mut seen) = (0, 0);
        for (began, _, _, high) in points {
            while at < ends.len() && ends[at].0 < began {
                seen = seen.max(ends[at].1);
                at += 1;
            }
            if high < seen {
                return Err(format!("linearizable: one sees {high} commands after another saw {seen}"));
            }
        }
        Ok(())
    }

    fn all_came_right(&mut self) -> Result<(), String> {
        self.quiet = true;
        let before = self.committed.len();
        let leader = (0..self.nodes.len())
            .find(|at| self.nodes[*at].running.as_ref().is_some_and(|r| r.replica.role() == Role::Leader));
        let states = || {
            let told = |node: &Node| match &node.running {
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
            self.nodes.iter().map(told).collect::<Vec<_>>().join("; ")
        };
        let Some(leader) = leader else { return Err(format!("progress: nobody leads: {}", states())) };
        let number = self.operations.len();
        let to = (leader, self.nodes[leader].id, self.starts[leader]);
        self.operations.push(Operation { began: self.events, answered: None, to, saw: None, reads: false });
        let running = self.nodes[leader].running.as_mut().expect("it leads");
        running
            .replica
            .propose((number as u64).to_le_bytes().to_vec())
            .map_err(|e| format!("progress: {e:?}"))?;
        self.run(u64::from(10 * ELECTION))?;
        if self.committed.len() <= before || self.operations[number].answered.is_none() {
            return Err("progress: a command is not committed".to_string());
        }
        let all = self.committed.len() as Index;
        let mut lists = Vec::new();
        for at in 0..self.nodes.len() {
            let running = self.nodes[at].running.as_ref().ok_or("progress: one is down")?;
            if !self.votes(at) || running.machine.applied != all {
                return Err(format!(
                    "progress: {} is {:?} at {} of {all}",
                    self.nodes[at].id,
                    running.replica.role(),
                    running.machine.applied
                ));
            }
            lists.push(&running.machine.list);
        }
        if lists.iter().any(|list| *list != lists[0]) {
            return Err("one state: machines differ".to_string());
        }
        Ok(())
    }
}
