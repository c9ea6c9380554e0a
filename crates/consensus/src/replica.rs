//! One replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;

use crate::log::Log;
use crate::{
    Batch, Body, Content, Entry, HardState, Id, Index, Message, PersistedState, Position, Snapshot, Term,
};

/// Entries of one message: what a slow link must carry before it says that the leader lives.
const ENTRIES_MOST: usize = 64;
/// Bytes of commands in one message, if it has more than one: a frame must hold it.
const BYTES_MOST: usize = 1 << 20;
/// Beats until a snapshot that was not answered is sent once more: it is long, and a second copy delays the first.
const SNAPSHOT_BEATS: u32 = 20;
/// Elections without a leader until one that holds less than others had when it returned asks anew: whoever held more may
/// have lost it since, uncommitted.
const STUCK_ELECTIONS: u32 = 4;
/// Beats between two tries of one that returns or joins: it is heard by all who are there within one.
const TRY_BEATS: u32 = 1;
/// Entries that a joining replica may lack when it becomes a voter: a few messages' worth, as more would hold up
/// commits that need it.
const JOIN_GAP: Index = 2 * ENTRIES_MOST as Index;

/// How a replica is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    pub id: Id,
    /// All places that operators have configured, this one too.
    pub replica_ids: BTreeSet<u16>,
    /// Ticks without a leader until a replica stands for election: this many, and up to as many again by chance.
    pub election_ticks: u32,
    /// Ticks between a leader's signs of life.
    pub heartbeat_ticks: u32,
    /// Entries that a snapshot covers and that are kept all the same, for replicas a little behind.
    pub trailing_entries: Index,
    /// Danger: an operator's word that the folder is the latest that this replica had. Without it one that returns asks
    /// the others first.
    pub trust_folder: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Asks the others how far it had come, and neither votes nor acknowledges until it knows.
    Returning,
    /// Not a voter: it has nothing yet, or was taken out.
    Outside,
    Follower,
    Candidate,
    Leader,
    /// It has lost what it had acknowledged: it must come back as another life.
    Lost,
}

/// Why a replica takes no proposal or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another may be the leader.
    NotLeader(Option<Id>),
    /// Leadership is being handed over.
    TransferringLeadership,
    /// An earlier change of voters is not committed, or this one changes more than one.
    VoterChangeRefused,
}

/// What the host is to do next: persist the batch and say so, then send, apply and answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    pub batch: Option<Batch>,
    pub messages: Vec<Message>,
    /// The host's state is this from now on.
    pub install: Option<Snapshot>,
    pub committed: Vec<Entry>,
    /// Reads that may be answered, by their tickets, once all that is committed here is applied.
    pub reads: Vec<u64>,
    /// Reads that this replica can't answer any more.
    pub failed_reads: Vec<u64>,
}

impl Ready {
    pub fn is_empty(&self) -> bool {
        *self == Ready::default()
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    match_index: Index,
    next: Index,
    /// The latest round that it has answered.
    round: u64,
    /// Ticks since it was heard.
    silent: u32,
    /// It has acknowledged something since the last beat.
    moved: bool,
    /// Beats until a snapshot may be sent again.
    snapshot_in: u32,
}

#[derive(Clone, Debug, Default)]
struct Lead {
    peers: BTreeMap<Id, Peer>,
    /// Those that ask to join.
    joining: BTreeSet<Id>,
    since_beat: u32,
    round: u64,
    /// Reads, and the round that must have been answered by a majority.
    reads: VecDeque<(u64, u64)>,
    /// Reads that wait until so much is given to the host.
    ready: VecDeque<(u64, Index)>,
    /// Its own first entry: until that is committed it does not know what is.
    first: Index,
    /// To whom it hands over, and for how many ticks it still tries.
    hands_over: Option<(Id, u32)>,
}

#[derive(Clone, Debug)]
enum Part {
    Follower,
    Pre(BTreeSet<Id>),
    Candidate(BTreeSet<Id>),
    Leader(Lead),
}

#[derive(Clone, Debug, Default)]
struct Returning {
    nonce: u64,
    /// By place: how far each has come.
    heard: BTreeMap<u16, Position>,
    term: Term,
    tries_in: u32,
}

pub struct Replica {
    settings: Settings,
    chance: Rand64,
    hard_state: HardState,
    log: Log,
    commit_index: Index,
    /// Up to where committed entries were given to the host.
    given: Index,
    /// Up to where the own log is durable.
    saved: Index,
    part: Part,
    leader: Option<Id>,
    since_heard: u32,
    timeout: u32,
    returning: Option<Returning>,
    lost: bool,
    joins_in: u32,
    /// It has been a voter since it started.
    admitted: bool,
    /// A refusal to join, to be told once.
    not_now: bool,
    /// The end that others had when this one returned: no vote for less.
    floor: Position,
    /// Ticks without a leader while the own log ends before that.
    stuck: u32,
    /// Up to where others are known to have acknowledged what is committed.
    acked: BTreeMap<Id, Index>,
    unsaved: Batch,
    numbers: u64,
    durable: u64,
    /// Batches that are on their way to the disk, and the end of the log in each.
    under_way: VecDeque<(u64, Index)>,
    /// Messages, and the batch that must be durable first.
    held: VecDeque<(u64, Message)>,
    fresh: Vec<Message>,
    work: Ready,
}

impl Replica {
    /// A replica with what its folder holds: nothing for one that is to join.
    pub fn new(settings: Settings, seed: u64, kept: PersistedState) -> Replica {
        let chance = Rand64::new(u128::from(seed));
        let hard_state = kept.hard_state;
        let log = Log::of(kept);
        let given = log.snapshot.as_ref().map_or(0, |snapshot| snapshot.last_included.index);
        let blank = log.last() == Position::default();
        let alone = settings.replica_ids.len() <= 1;
        let mut replica = Replica {
            returning: (!blank && !settings.trust_folder && !alone).then(Returning::default),
            commit_index: given,
            given,
            saved: log.last().index,
            settings,
            chance,
            hard_state,
            log,
            part: Part::Follower,
            leader: None,
            since_heard: 0,
            timeout: 0,
            lost: false,
            joins_in: 0,
            admitted: false,
            not_now: false,
            floor: Position::default(),
            stuck: 0,
            acked: BTreeMap::new(),
            unsaved: Batch::default(),
            numbers: 0,
            durable: 0,
            under_way: VecDeque::new(),
            held: VecDeque::new(),
            fresh: Vec::new(),
            work: Ready::default(),
        };
        if let Some(snapshot) = &replica.log.snapshot {
            replica.work.install = Some(snapshot.clone());
        }
        let nonce = replica.chance.rand_u64();
        replica.returning.iter_mut().for_each(|returning| returning.nonce = nonce);
        replica.draw_timeout();
        replica
    }

    /// What the folder of a fleet's first replica holds: it votes alone. To be made once, by an operator's word.
    pub fn bootstrap(id: Id) -> PersistedState {
        let at = Position { term: 1, index: 1 };
        let entries = vec![Entry { position: at, content: Content::Voters(BTreeSet::from([id])) }];
        PersistedState { hard_state: HardState { term: 1, vote: Some(id) }, snapshot: None, entries }
    }

    // What the host may ask.

    pub fn id(&self) -> Id {
        self.settings.id
    }

    pub fn role(&self) -> Role {
        match &self.part {
            _ if self.lost => Role::Lost,
            _ if self.returning.is_some() => Role::Returning,
            Part::Leader(_) => Role::Leader,
            _ if !self.votes() => Role::Outside,
            Part::Follower => Role::Follower,
            Part::Pre(_) | Part::Candidate(_) => Role::Candidate,
        }
    }

    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    pub fn last_position(&self) -> Position {
        self.log.last()
    }

    pub fn voters(&self) -> &BTreeSet<Id> {
        self.log.voters()
    }

    /// The term of an entry that is held.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// The first index of which the entry may not be held any more.
    pub fn base(&self) -> Position {
        self.log.base()
    }

    /// As a leader: whom it hears, and up to where each holds its log.
    pub fn peers(&self) -> Vec<(Id, Index, bool)> {
        match &self.part {
            Part::Leader(lead) => {
                let heard = |peer: &Peer| peer.silent < self.settings.election_ticks;
                lead.peers.iter().map(|(id, peer)| (*id, peer.match_index, heard(peer))).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Whether its request to join was refused since this was asked last, as another life of its place is heard.
    pub fn take_join_refusal(&mut self) -> bool {
        std::mem::take(&mut self.not_now)
    }

    // What it hears.

    pub fn tick(&mut self) {
        if self.lost {
            return;
        }
        if let Some(returning) = &mut self.returning {
            returning.tries_in = returning.tries_in.saturating_sub(1);
            if returning.tries_in == 0 {
                returning.tries_in = TRY_BEATS * self.settings.heartbeat_ticks;
                self.ask_how_far();
            }
            return;
        }
        if matches!(self.part, Part::Leader(_)) {
            self.tick_leader();
            return;
        }
        self.since_heard = self.since_heard.saturating_add(1);
        if !self.votes() {
            self.joins_in = self.joins_in.saturating_sub(1);
            // One that was taken out while it ran stays out; who started without a vote asks for one, unless a leader
            // brings it up already.
            let unheard = self.log.voters().is_empty() || self.since_heard > self.settings.election_ticks;
            if self.joins_in == 0 && !self.admitted && unheard {
                self.joins_in = TRY_BEATS * self.settings.heartbeat_ticks;
                self.tell_others(Body::JoinRequest);
            }
        } else if self.leader.is_none() && self.log.last() < self.floor {
            self.stuck += 1;
            if self.stuck >= STUCK_ELECTIONS * self.settings.election_ticks {
                self.stuck = 0;
                self.part = Part::Follower;
                self.returning = Some(Returning { nonce: self.chance.rand_u64(), ..Returning::default() });
            }
        } else if self.since_heard >= self.timeout {
            self.admitted = true;
            self.leader = None;
            self.stand(false);
        }
    }

    /// Proposes a command; it is committed once it comes out of `take` at this place, and will never be once another
    /// entry does.
    ///
    /// # Errors
    /// Why this replica takes none.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, ReplicaError> {
        let Part::Leader(lead) = &self.part else { return Err(ReplicaError::NotLeader(self.leader)) };
        if lead.hands_over.is_some() {
            return Err(ReplicaError::TransferringLeadership);
        }
        Ok(self.append(Content::Command(command)))
    }

    /// Proposes that one more votes, or one less.
    ///
    /// # Errors
    /// Why this replica takes no such change now.
    pub fn change_voters(&mut self, voters: BTreeSet<Id>) -> Result<Position, ReplicaError> {
        let Part::Leader(lead) = &self.part else { return Err(ReplicaError::NotLeader(self.leader)) };
        if lead.hands_over.is_some() {
            return Err(ReplicaError::TransferringLeadership);
        }
        let apart = self.log.voters().symmetric_difference(&voters).count();
        // Danger: two changes under way at once, or one by a leader that does not know what is committed, make two
        // majorities that have nobody in common.
        if apart != 1
            || voters.is_empty()
            || self.log.voters_at() > self.commit_index
            || self.commit_index < lead.first
        {
            return Err(ReplicaError::VoterChangeRefused);
        }
        Ok(self.append(Content::Voters(voters)))
    }

    /// Asks for a read of all that was committed before now; `take` says when it may be answered.
    ///
    /// # Errors
    /// Why this replica answers none.
    pub fn request_read(&mut self, ticket: u64) -> Result<(), ReplicaError> {
        let Part::Leader(lead) = &mut self.part else { return Err(ReplicaError::NotLeader(self.leader)) };
        // Danger: one that was stopped may lead no more, so that a majority has to answer after this moment.
        lead.round += 1;
        lead.reads.push_back((ticket, lead.round));
        self.beat();
        self.advance();
        Ok(())
    }

    /// Hands leadership to another voter once that holds all of the log.
    ///
    /// # Errors
    /// Why it can't.
    pub fn transfer_leadership(&mut self, to: Id) -> Result<(), ReplicaError> {
        let election = self.settings.election_ticks;
        let known = self.log.voters().contains(&to) && to != self.settings.id;
        let Part::Leader(lead) = &mut self.part else { return Err(ReplicaError::NotLeader(self.leader)) };
        if !known {
            return Err(ReplicaError::VoterChangeRefused);
        }
        lead.hands_over = Some((to, election));
        self.hand_over_further();
        Ok(())
    }

    /// The host's state after all entries up to this index, which stands for them from now on. One that was given and
    /// is no longer held, or not given yet, is passed over.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        let older = self.log.snapshot.as_ref().is_some_and(|snapshot| snapshot.last_included.index >= index);
        if older || index > self.given {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let at = Position { term, index };
        let snapshot = Snapshot { last_included: at, voters: self.log.voters_up_to(index), state };
        let compact_to = index.saturating_sub(self.settings.trailing_entries);
        self.unsaved.snapshot = Some(snapshot.clone());
        if compact_to > self.log.base().index {
            self.unsaved.compact_to = Some(compact_to);
            // What was to be added in this batch and is dropped at once need not be written.
            self.unsaved.entries.retain(|entry| entry.position.index > compact_to);
        }
        self.log.compact(snapshot, compact_to.max(self.log.base().index));
    }

    /// This batch, and all before it, are on the disk.
    pub fn mark_durable(&mut self, number: u64) {
        self.durable = self.durable.max(number);
        while let Some((first, end)) = self.under_way.front().copied()
            && first <= number
        {
            self.saved = end;
            self.under_way.pop_front();
        }
        self.advance();
    }

    pub fn receive(&mut self, message: Message) {
        let Message { from, to, term, body } = message;
        if self.lost
            || from == self.settings.id
            || ![self.settings.id, Id::any_incarnation(self.settings.replica_id())].contains(&to)
        {
            return;
        }
        // What does not go by terms.
        match body {
            Body::RejoinRequest { nonce, last } => return self.tell_how_far(from, nonce, last),
            Body::RejoinResponse { nonce, last, lost } => {
                return self.heard_how_far(from, term, nonce, last, lost);
            }
            // Danger: what it had acknowledged to a leader of an earlier term may have been taken back since.
            Body::AcknowledgedLost { acknowledged } => {
                self.lost |= acknowledged > self.log.last().index && term >= self.hard_state.term;
                return;
            }
            Body::JoinRefused => {
                self.not_now = true;
                return;
            }
            // Danger: one that does not know what it has promised must promise nothing.
            _ if self.returning.is_some() => return,
            Body::JoinRequest => return self.asked_to_join(from),
            _ => {}
        }
        if term > self.hard_state.term {
            match body {
                Body::PreVoteRequest { .. } | Body::PreVoteResponse { granted: true } => {}
                // A leader that is heard is not to be unseated by one that does not hear it.
                Body::VoteRequest { leadership_transfer: false, .. } if self.hears_leader() => return,
                _ => self.follow(term, None),
            }
        }
        let stale = term < self.hard_state.term;
        match body {
            Body::PreVoteRequest { .. } if self.knows_as_out(from) => {
                self.send(from, self.hard_state.term, Body::AcknowledgedLost { acknowledged: Index::MAX });
            }
            Body::PreVoteRequest { last } => {
                let granted = term > self.hard_state.term
                    && !self.hears_leader()
                    && last >= self.floor.max(self.log.last());
                self.send(
                    from,
                    if granted { term } else { self.hard_state.term },
                    Body::PreVoteResponse { granted },
                );
            }
            Body::PreVoteResponse { granted } => {
                let own = term == self.hard_state.term + 1;
                if let Part::Pre(votes) = &mut self.part
                    && granted
                    && own
                {
                    votes.insert(from);
                    self.count();
                }
            }
            Body::VoteRequest { .. } if stale => {
                self.send(from, self.hard_state.term, Body::VoteResponse { granted: false })
            }
            Body::VoteRequest { last, .. } => self.asked(from, last),
            Body::VoteResponse { granted } => {
                if let Part::Candidate(votes) = &mut self.part
                    && granted
                    && !stale
                {
                    votes.insert(from);
                    self.count();
                }
            }
            Body::AppendRequest { round, .. } | Body::InstallSnapshot { round, .. } if stale => {
                let last = self.log.last().index;
                self.send(
                    from,
                    self.hard_state.term,
                    Body::AppendResponse { match_index: None, last, round },
                );
            }
            Body::AppendRequest { previous, entries, commit_index, round } => {
                self.follow(term, Some(from));
                let match_index = self.appended(previous, entries, commit_index);
                let last = self.log.last().index;
                self.send(from, term, Body::AppendResponse { match_index, last, round });
            }
            Body::InstallSnapshot { snapshot, round } => {
                self.follow(term, Some(from));
                let match_index = Some(snapshot.last_included.index.max(self.commit_index));
                self.installed(snapshot);
                let last = self.log.last().index;
                self.send(from, term, Body::AppendResponse { match_index, last, round });
            }
            Body::AppendResponse { match_index, last, round } if !stale => {
                self.acknowledged(from, match_index, last, round)
            }
            Body::TimeoutNow if !stale && self.leader == Some(from) && self.votes() => self.stand(true),
            _ => {}
        }
    }

    /// What is to be done now. Nothing that depends on a record is among it before that is durable.
    pub fn take_ready(&mut self) -> Ready {
        let mut work = std::mem::take(&mut self.work);
        if !self.unsaved.is_empty() {
            self.numbers += 1;
            let batch = Batch { number: self.numbers, ..std::mem::take(&mut self.unsaved) };
            self.under_way.push_back((batch.number, self.log.last().index));
            work.batch = Some(batch);
        }
        let fresh = std::mem::take(&mut self.fresh);
        self.held.extend(fresh.into_iter().map(|message| (self.numbers, message)));
        while let Some((number, _)) = self.held.front()
            && *number <= self.durable
        {
            work.messages.extend(self.held.pop_front().map(|(_, message)| message));
        }
        let until = self.commit_index.min(self.saved);
        while self.given < until
            && let Some(entry) = self.log.entry(self.given + 1)
        {
            work.committed.push(entry.clone());
            self.given += 1;
        }
        if let Part::Leader(lead) = &mut self.part {
            // Danger: what others hold and this disk does not yet is committed, and not applied here.
            while lead.ready.front().is_some_and(|(_, index)| *index <= self.given) {
                work.reads.extend(lead.ready.pop_front().map(|(ticket, _)| ticket));
            }
        }
        work
    }

    // Returning and joining.

    fn ask_how_far(&mut self) {
        let (nonce, last) = (self.returning.as_ref().map_or(0, |r| r.nonce), self.log.last());
        self.tell_others(Body::RejoinRequest { nonce, last });
    }

    /// To whoever is at the other places.
    fn tell_others(&mut self, body: Body) {
        let own = self.settings.replica_id();
        for replica_id in self.settings.replica_ids.clone() {
            if replica_id != own {
                self.send(Id::any_incarnation(replica_id), self.hard_state.term, body.clone());
            }
        }
    }

    fn tell_how_far(&mut self, from: Id, nonce: u64, last: Position) {
        let known = self.acked.get(&from).copied().unwrap_or(0);
        let lost = last.index < known || self.knows_as_out(from);
        self.send(from, self.hard_state.term, Body::RejoinResponse { nonce, last: self.log.last(), lost });
    }

    /// As a leader that knows what is committed: this one votes no more, and another life may have followed it. Danger: one
    /// that is behind would take a newcomer for one that was taken out.
    fn knows_as_out(&self, id: Id) -> bool {
        let Part::Leader(lead) = &self.part else { return false };
        self.commit_index >= lead.first
            && self.log.voters_at() <= self.commit_index
            && !self.log.voters().contains(&id)
            && !lead.peers.contains_key(&id)
    }

    fn heard_how_far(&mut self, from: Id, term: Term, nonce: u64, last: Position, lost: bool) {
        let all = self.settings.replica_ids.len();
        let Some(returning) = self.returning.as_mut().filter(|returning| returning.nonce == nonce) else {
            return;
        };
        if lost && term >= self.hard_state.term {
            self.lost = true;
            return;
        }
        returning.heard.insert(from.replica_id, last);
        returning.term = returning.term.max(term);
        // Danger: this replica may have been one of any majority; so many others have one of each among them, which
        // knows the term that it voted in and holds what it acknowledged.
        if returning.heard.len() < all - (all / 2 + 1) + 1 {
            return;
        }
        let (term, floor) = (returning.term, returning.heard.values().max().copied().unwrap_or_default());
        self.returning = None;
        self.floor = floor;
        let own = self.hard_state.vote.filter(|_| self.hard_state.term >= term);
        // Danger: a vote of this term may have been given and forgotten.
        self.set_hard(HardState {
            term: self.hard_state.term.max(term),
            vote: own.or(Some(self.settings.id)),
        });
        self.since_heard = 0;
        self.draw_timeout();
    }

    fn asked_to_join(&mut self, from: Id) {
        let election = self.settings.election_ticks;
        let twin =
            self.log.voters().iter().copied().find(|id| id.replica_id == from.replica_id && *id != from);
        let own = self.settings.replica_id() == from.replica_id;
        let Part::Leader(lead) = &mut self.part else { return };
        let twin_heard =
            twin.and_then(|twin| lead.peers.get(&twin)).is_some_and(|peer| peer.silent < election);
        if own || twin_heard {
            // Danger: a second process started by mistake would turn out the one that serves.
            return self.send(from, self.hard_state.term, Body::JoinRefused);
        }
        if let Some(twin) = twin {
            let voters = self.log.voters().iter().copied().filter(|id| *id != twin).collect();
            let _ = self.change_voters(voters);
            return;
        }
        let next = self.log.last().index + 1;
        lead.joining.insert(from);
        lead.peers.entry(from).or_insert_with(|| Peer { next, ..Peer::default() }).silent = 0;
        self.admit_further();
    }

    /// A joining replica that has nearly all of the log becomes a voter.
    fn admit_further(&mut self) {
        let last = self.log.last().index;
        let Part::Leader(lead) = &self.part else { return };
        let ready = lead.joining.iter().copied().find(|id| {
            let match_index = lead.peers.get(id).map_or(0, |peer| peer.match_index);
            match_index > 0 && match_index + JOIN_GAP >= last && !self.log.voters().contains(id)
        });
        if let Some(id) = ready {
            let mut voters = self.log.voters().clone();
            // Danger: a place that votes twice would count for two.
            if voters.iter().all(|voter| voter.replica_id != id.replica_id) {
                voters.insert(id);
                let _ = self.change_voters(voters);
            }
        }
    }

    // Elections.

    fn votes(&self) -> bool {
        self.log.voters().contains(&self.settings.id)
    }

    fn hears_leader(&self) -> bool {
        matches!(self.part, Part::Leader(_))
            || (self.leader.is_some() && self.since_heard < self.settings.election_ticks)
    }

    fn draw_timeout(&mut self) {
        let spread = u64::from(self.settings.election_ticks);
        self.timeout = self.settings.election_ticks + self.chance.rand_range(0..spread.max(1)) as u32;
    }

    fn set_hard(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.unsaved.hard_state = Some(hard_state);
        }
    }

    fn follow(&mut self, term: Term, leader: Option<Id>) {
        if let Part::Leader(lead) = std::mem::replace(&mut self.part, Part::Follower) {
            let reads = lead.reads.iter().chain(&lead.ready).map(|(ticket, _)| *ticket);
            self.work.failed_reads.extend(reads);
        }
        if term > self.hard_state.term {
            self.set_hard(HardState { term, vote: None });
            self.leader = None;
        }
        if leader.is_some() {
            self.leader = leader;
            (self.since_heard, self.stuck) = (0, 0);
            self.draw_timeout();
        }
    }

    /// Stands for election: first only asks whether it would be heard, unless it was handed the leadership.
    fn stand(&mut self, leadership_transfer: bool) {
        self.since_heard = 0;
        self.draw_timeout();
        let last = self.log.last();
        if last < self.floor {
            // Others hold what this one may have acknowledged and lost.
            return;
        }
        let own = BTreeSet::from([self.settings.id]);
        if leadership_transfer || self.log.voters().len() == 1 {
            self.set_hard(HardState { term: self.hard_state.term + 1, vote: Some(self.settings.id) });
            self.leader = None;
            self.part = Part::Candidate(own);
            self.tell_voters(self.hard_state.term, &Body::VoteRequest { last, leadership_transfer });
        } else {
            self.part = Part::Pre(own);
            self.tell_voters(self.hard_state.term + 1, &Body::PreVoteRequest { last });
        }
        self.count();
    }

    fn majority(&self, of: &BTreeSet<Id>) -> bool {
        let voters = self.log.voters();
        voters.intersection(of).count() > voters.len() / 2
    }

    fn count(&mut self) {
        match &self.part {
            Part::Pre(votes) if self.majority(votes) => {
                self.set_hard(HardState { term: self.hard_state.term + 1, vote: Some(self.settings.id) });
                self.part = Part::Candidate(BTreeSet::from([self.settings.id]));
                self.since_heard = 0;
                let last = self.log.last();
                self.tell_voters(
                    self.hard_state.term,
                    &Body::VoteRequest { last, leadership_transfer: false },
                );
                self.count();
            }
            Part::Candidate(votes) if self.majority(votes) => self.lead(),
            _ => {}
        }
    }

    fn asked(&mut self, from: Id, last: Position) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free
            && matches!(self.part, Part::Follower | Part::Pre(_))
            && self.leader.is_none()
            && last >= self.floor.max(self.log.last());
        if granted {
            self.set_hard(HardState { vote: Some(from), ..self.hard_state });
            self.since_heard = 0;
            self.draw_timeout();
        }
        self.send(from, self.hard_state.term, Body::VoteResponse { granted });
    }

    fn lead(&mut self) {
        self.leader = Some(self.settings.id);
        let next = self.log.last().index + 1;
        let others = self.log.voters().iter().filter(|id| **id != self.settings.id);
        let peers = others.map(|id| (*id, Peer { next, ..Peer::default() })).collect();
        self.part = Part::Leader(Lead { peers, first: next, ..Lead::default() });
        self.append(Content::Noop);
    }

    // The leader's part.

    fn append(&mut self, content: Content) -> Position {
        let at = Position { term: self.hard_state.term, index: self.log.last().index + 1 };
        let entry = Entry { position: at, content };
        self.unsaved.entries.push(entry.clone());
        self.log.push(entry);
        if let Part::Leader(lead) = &mut self.part {
            for id in self.log.voters() {
                if *id != self.settings.id {
                    lead.peers.entry(*id).or_insert_with(|| Peer { next: at.index, ..Peer::default() });
                }
            }
        }
        self.replicate();
        at
    }

    fn tick_leader(&mut self) {
        let election = self.settings.election_ticks;
        let Part::Leader(lead) = &mut self.part else { return };
        lead.peers.values_mut().for_each(|peer| peer.silent = peer.silent.saturating_add(1));
        lead.since_beat += 1;
        if let Some((_, left)) = &mut lead.hands_over {
            *left = left.saturating_sub(1);
            if *left == 0 {
                lead.hands_over = None;
            }
        }
        let heard = lead.peers.iter().filter(|(_, peer)| peer.silent < election).map(|(id, _)| *id);
        let heard: BTreeSet<Id> = heard.chain([self.settings.id]).collect();
        if !self.majority(&heard) {
            // Danger: one that is cut off with clients would keep them waiting for ever.
            self.leader = None;
            return self.follow(self.hard_state.term, None);
        }
        let Part::Leader(lead) = &mut self.part else { return };
        let voters = self.log.voters();
        lead.joining.retain(|id| !voters.contains(id));
        lead.peers.retain(|id, peer| voters.contains(id) || peer.silent < election * 2);
        if lead.since_beat >= self.settings.heartbeat_ticks {
            lead.since_beat = 0;
            for peer in lead.peers.values_mut() {
                peer.snapshot_in = peer.snapshot_in.saturating_sub(1);
                // What was sent and not acknowledged since the last beat is taken for lost.
                if !std::mem::take(&mut peer.moved) {
                    peer.next = peer.match_index + 1;
                }
            }
            self.beat();
            self.admit_further();
        }
    }

    /// A sign of life to all, with what each lacks.
    fn beat(&mut self) {
        self.send_appends(true);
    }

    /// What each lacks, to those that lack some.
    fn replicate(&mut self) {
        self.send_appends(false);
    }

    fn send_appends(&mut self, also_empty: bool) {
        let last = self.log.last().index;
        let Part::Leader(lead) = &mut self.part else { return };
        let mut out = Vec::new();
        for (id, peer) in &mut lead.peers {
            if peer.next <= self.log.base().index {
                // It lacks what is held no more.
                if let Some(snapshot) = self.log.snapshot.as_ref().filter(|_| peer.snapshot_in == 0) {
                    peer.snapshot_in = SNAPSHOT_BEATS;
                    out.push((*id, Body::InstallSnapshot { snapshot: snapshot.clone(), round: lead.round }));
                    continue;
                }
            }
            let previous = peer.next.clamp(self.log.base().index + 1, last + 1) - 1;
            let previous = Position { term: self.log.term(previous).unwrap_or_default(), index: previous };
            let entries = self.log.from(previous.index + 1, ENTRIES_MOST, BYTES_MOST);
            if entries.is_empty() && !also_empty {
                continue;
            }
            peer.next = previous.index + 1 + entries.len() as Index;
            out.push((
                *id,
                Body::AppendRequest { previous, entries, commit_index: self.commit_index, round: lead.round },
            ));
        }
        let term = self.hard_state.term;
        out.into_iter().for_each(|(id, body)| self.send(id, term, body));
    }

    fn acknowledged(&mut self, from: Id, match_index: Option<Index>, last: Index, round: u64) {
        let Part::Leader(lead) = &mut self.part else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.silent = 0;
        peer.round = peer.round.max(round);
        let lacks = match match_index {
            // An answer from before the leader's own entries may be of use, and is never more than was sent.
            Some(match_index) => {
                peer.moved |= match_index > peer.match_index;
                peer.match_index = peer.match_index.max(match_index);
                peer.next = peer.next.max(peer.match_index + 1);
                peer.snapshot_in =
                    if peer.match_index > self.log.base().index { 0 } else { peer.snapshot_in };
                peer.next <= self.log.last().index
            }
            None if last < peer.match_index => {
                // Answers of one life come in order or not at all: it holds less than it had acknowledged.
                let acknowledged = peer.match_index;
                return self.send(from, self.hard_state.term, Body::AcknowledgedLost { acknowledged });
            }
            None => {
                peer.next = (last + 1).min(peer.next.saturating_sub(1)).max(peer.match_index + 1);
                true
            }
        };
        self.advance();
        if lacks {
            self.replicate();
        }
        self.admit_further();
        self.hand_over_further();
    }

    fn hand_over_further(&mut self) {
        let last = self.log.last().index;
        let Part::Leader(lead) = &self.part else { return };
        if let Some((to, _)) = lead.hands_over
            && lead.peers.get(&to).is_some_and(|peer| peer.match_index == last)
        {
            self.send(to, self.hard_state.term, Body::TimeoutNow);
        }
    }

    /// Commits what a majority holds, and lets reads go that a majority has answered after.
    fn advance(&mut self) {
        let Part::Leader(lead) = &mut self.part else { return };
        let voters = self.log.voters();
        let held = |id: &Id| {
            if *id == self.settings.id {
                self.saved
            } else {
                lead.peers.get(id).map_or(0, |peer| peer.match_index)
            }
        };
        let mut ends: Vec<Index> = voters.iter().map(held).collect();
        ends.sort_unstable();
        let end = ends.get(ends.len().saturating_sub(1) / 2).copied().unwrap_or(0);
        // Danger: an entry of an earlier term that a majority holds may still be overwritten; only one of this term
        // settles it.
        let moved = end > self.commit_index && self.log.term(end) == Some(self.hard_state.term);
        if moved {
            self.commit_index = end;
        }
        for (id, peer) in &lead.peers {
            let known = peer.match_index.min(self.commit_index);
            let acked = self.acked.entry(*id).or_default();
            *acked = known.max(*acked);
        }
        if self.commit_index >= lead.first {
            let rounds = |round: u64| {
                let answered = |id: &&Id| {
                    **id == self.settings.id || lead.peers.get(id).is_some_and(|peer| peer.round >= round)
                };
                voters.iter().filter(answered).count() > voters.len() / 2
            };
            while let Some((ticket, round)) = lead.reads.front().copied()
                && rounds(round)
            {
                lead.ready.push_back((ticket, self.commit_index));
                lead.reads.pop_front();
            }
        }
        let out = !self.votes() && self.log.voters_at() <= self.commit_index;
        if moved {
            // Followers hear of it at once; clients of theirs wait for it.
            self.beat();
        }
        if out {
            // It has led its own removal to the end.
            self.leader = None;
            self.follow(self.hard_state.term, None);
        }
    }

    // The follower's part.

    fn appended(&mut self, previous: Position, entries: Vec<Entry>, commit_index: Index) -> Option<Index> {
        let base = self.log.base().index;
        if previous.index >= base && self.log.term(previous.index) != Some(previous.term) {
            return None;
        }
        let end = previous.index + entries.len() as Index;
        for entry in entries {
            // What stands at or before the base is committed, so the same.
            if entry.position.index <= base {
                continue;
            }
            match self.log.term(entry.position.index) {
                Some(term) if term == entry.position.term => continue,
                Some(_) => self.cut(entry.position.index),
                None => {}
            }
            self.unsaved.entries.push(entry.clone());
            self.log.push(entry);
        }
        self.admitted |= self.votes();
        self.commit_index = self.commit_index.max(commit_index.min(end));
        Some(end)
    }

    fn cut(&mut self, from: Index) {
        assert!(from > self.commit_index, "an entry at or before the commit index is overwritten: {from}");
        self.log.cut(from);
        self.unsaved.entries.retain(|entry| entry.position.index < from);
        self.unsaved.truncate_from =
            Some(self.unsaved.truncate_from.map_or(from, |earlier| earlier.min(from)));
        self.saved = self.saved.min(from - 1);
        self.under_way.iter_mut().for_each(|(_, end)| *end = (*end).min(from - 1));
    }

    fn installed(&mut self, snapshot: Snapshot) {
        let at = snapshot.last_included;
        if at.index <= self.commit_index {
            return;
        }
        if self.log.term(at.index) == Some(at.term) {
            // It holds these entries, and learns here that they are committed.
            self.commit_index = at.index;
            return;
        }
        self.unsaved.entries.clear();
        self.unsaved.truncate_from = Some(0);
        self.unsaved.snapshot = Some(snapshot.clone());
        self.log.install(snapshot.clone());
        self.under_way.iter_mut().for_each(|(_, end)| *end = 0);
        (self.commit_index, self.given, self.saved) = (at.index, at.index, 0);
        self.work.committed.clear();
        self.work.install = Some(snapshot);
    }

    // Sending.

    fn tell_voters(&mut self, term: Term, body: &Body) {
        let own = self.settings.id;
        let others: Vec<Id> = self.log.voters().iter().copied().filter(|id| *id != own).collect();
        others.into_iter().for_each(|id| self.send(id, term, body.clone()));
    }

    fn send(&mut self, to: Id, term: Term, body: Body) {
        self.fresh.push(Message { from: self.settings.id, to, term, body });
    }
}

impl Settings {
    fn replica_id(&self) -> u16 {
        self.id.replica_id
    }
}
