//! One replica: elections, replication, reads, changes of the voter set, joining and rejoining.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;

use crate::log::Log;
use crate::{
    Batch, Body, Content, Entry, HardState, Id, Index, Message, PersistedState, Position, Snapshot, Term,
};

/// Entries in one message. A slow link carries a whole message before the follower hears the leader again.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// Bytes of commands in a message of more than one entry, so that a message fits in a frame.
const MAX_BYTES_PER_MESSAGE: usize = 1 << 20;
/// Heartbeats before an unanswered snapshot is sent again. A snapshot is large, and a second copy delays the first.
const SNAPSHOT_RESEND_HEARTBEATS: u32 = 20;
/// Election timeouts without a leader before a replica whose log ends before `min_vote_position` rejoins again: whoever
/// held the later entries may have lost them since, if they were not committed.
const ELECTIONS_BEFORE_REJOIN: u32 = 4;
/// Heartbeats between two requests to join or rejoin. All reachable replicas answer within one heartbeat.
const RETRY_HEARTBEATS: u32 = 1;
/// Entries that a learner may lack when it becomes a voter. A few messages carry that many; a longer gap would delay
/// the commits that need the new voter.
const MAX_JOIN_LAG: Index = 2 * MAX_ENTRIES_PER_MESSAGE as Index;

#[derive(Clone, Debug)]
pub struct Settings {
    pub id: Id,
    /// All replica ids that operators have configured, including this replica's.
    pub replica_ids: BTreeSet<u16>,
    /// The least election timeout in ticks. Each timeout is drawn at random between this and twice this.
    pub election_ticks: u32,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: u32,
    /// Entries that are kept although a snapshot covers them, for followers that are slightly behind.
    pub trailing_entries: Index,
    /// Danger: with this set the replica skips the rejoin protocol. An operator sets it to vouch that the folder is the
    /// latest that this replica wrote; with an older copy the replica could forget votes and acknowledged entries.
    pub trust_folder: bool,
}

/// The role of a replica. Operators see the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The replica may have lost part of its log, as after a restart, and asks the others for their last positions.
    /// Until enough have answered it neither votes nor acknowledges.
    Returning,
    /// Not a voter: it has not joined yet, or was removed from the voters.
    Outside,
    Follower,
    Candidate,
    Leader,
    /// The replica no longer holds entries that it had acknowledged. Its replica id must continue with a new
    /// incarnation.
    Lost,
}

/// Why a replica rejects a proposal, a read or a leadership transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaError {
    /// The id is that of the leader, where it is known.
    NotLeader(Option<Id>),
    /// A leadership transfer is in progress.
    TransferringLeadership,
    /// An earlier change of voters is not committed yet, the change is not of exactly one voter, or the target of a
    /// transfer is not another voter.
    VoterChangeRefused,
}

/// What the host must do next: persist the batch and call `Replica::mark_durable`, then send the messages, apply the
/// committed entries and answer the reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    pub batch: Option<Batch>,
    pub messages: Vec<Message>,
    /// A snapshot that replaces the host's state.
    pub install: Option<Snapshot>,
    pub committed: Vec<Entry>,
    /// Tickets of reads that may be answered once `committed` is applied.
    pub reads: Vec<u64>,
    /// Tickets of reads that this replica can no longer answer.
    pub failed_reads: Vec<u64>,
}

impl Ready {
    pub fn is_empty(&self) -> bool {
        *self == Ready::default()
    }
}

/// The leader's view of another replica.
#[derive(Clone, Debug, Default)]
struct Peer {
    match_index: Index,
    next_index: Index,
    /// The latest read round that the peer has acknowledged.
    acked_round: u64,
    ticks_since_heard: u32,
    /// `match_index` has grown since the last heartbeat.
    advanced: bool,
    /// Heartbeats until a snapshot may be sent again.
    snapshot_resend_in: u32,
}

#[derive(Clone, Debug, Default)]
struct LeaderState {
    peers: BTreeMap<Id, Peer>,
    /// Replicas that asked to join and are not voters yet.
    learners: BTreeSet<Id>,
    ticks_since_heartbeat: u32,
    read_round: u64,
    /// Tickets of reads, each with the read round that a majority must acknowledge.
    pending_reads: VecDeque<(u64, u64)>,
    /// Tickets of reads, each with the index up to which the host must have received committed entries.
    confirmed_reads: VecDeque<(u64, Index)>,
    /// The index of the first entry of this leader's term. Until it is committed the leader does not know which of the
    /// earlier entries are.
    first_index: Index,
    /// The target of a leadership transfer, and the ticks until the transfer is given up.
    transfer: Option<(Id, u32)>,
}

/// Candidates hold the ids of those that granted a vote or pre-vote.
#[derive(Clone, Debug)]
enum RoleState {
    Follower,
    PreCandidate(BTreeSet<Id>),
    Candidate(BTreeSet<Id>),
    Leader(LeaderState),
}

/// How an election starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CampaignType {
    /// After an election timeout: a pre-vote first.
    PreVote,
    /// At the leader's request: without a pre-vote.
    LeadershipTransfer,
}

#[derive(Clone, Debug, Default)]
struct Rejoin {
    nonce: u64,
    /// The last positions of those that have answered, by replica id.
    positions: BTreeMap<u16, Position>,
    term: Term,
    retry_in: u32,
}

pub struct Replica {
    settings: Settings,
    rng: Rand64,
    hard_state: HardState,
    log: Log,
    commit_index: Index,
    /// The last committed entry that the host has received.
    delivered_index: Index,
    /// The last entry of this replica's log that is durable.
    durable_index: Index,
    role_state: RoleState,
    leader: Option<Id>,
    /// Ticks since the leader was heard, a vote was granted or an election was started.
    ticks_since_heard: u32,
    election_timeout: u32,
    rejoin: Option<Rejoin>,
    /// Acknowledged entries are lost; the replica takes part in nothing any more.
    acknowledged_lost: bool,
    join_retry_in: u32,
    /// The replica has been a voter at some time since it started.
    was_voter: bool,
    /// A request to join was refused; cleared when the host reads it.
    join_refused: bool,
    /// The greatest last position among the others when this replica rejoined. It neither campaigns with a log that ends before
    /// this, nor votes for such a log.
    min_vote_position: Position,
    /// Ticks without a leader while this replica's log ends before `min_vote_position`.
    ticks_behind: u32,
    /// By replica, the last committed index that it is known to have acknowledged.
    committed_acks: BTreeMap<Id, Index>,
    pending_batch: Batch,
    last_batch_number: u64,
    durable_batch: u64,
    /// Batches that the host has not yet reported durable, each with the last index of the log at that point.
    batches_in_flight: VecDeque<(u64, Index)>,
    /// Messages, each with the batch that must be durable before it is sent.
    held_messages: VecDeque<(u64, Message)>,
    new_messages: Vec<Message>,
    ready: Ready,
}

impl Replica {
    /// Starts a replica from what its folder holds. With an empty folder it asks to join.
    pub fn new(settings: Settings, seed: u64, persisted: PersistedState) -> Replica {
        let rng = Rand64::new(u128::from(seed));
        let hard_state = persisted.hard_state;
        let log = Log::new(persisted);
        let delivered_index = log.snapshot.as_ref().map_or(0, |snapshot| snapshot.last_included.index);
        let is_empty = log.last() == Position::default();
        let alone = settings.replica_ids.len() <= 1;
        let mut replica = Replica {
            rejoin: (!is_empty && !settings.trust_folder && !alone).then(Rejoin::default),
            commit_index: delivered_index,
            delivered_index,
            durable_index: log.last().index,
            settings,
            rng,
            hard_state,
            log,
            role_state: RoleState::Follower,
            leader: None,
            ticks_since_heard: 0,
            election_timeout: 0,
            acknowledged_lost: false,
            join_retry_in: 0,
            was_voter: false,
            join_refused: false,
            min_vote_position: Position::default(),
            ticks_behind: 0,
            committed_acks: BTreeMap::new(),
            pending_batch: Batch::default(),
            last_batch_number: 0,
            durable_batch: 0,
            batches_in_flight: VecDeque::new(),
            held_messages: VecDeque::new(),
            new_messages: Vec::new(),
            ready: Ready::default(),
        };
        if let Some(snapshot) = &replica.log.snapshot {
            replica.ready.install = Some(snapshot.clone());
        }
        let nonce = replica.rng.rand_u64();
        replica.rejoin.iter_mut().for_each(|rejoin| rejoin.nonce = nonce);
        replica.draw_election_timeout();
        replica
    }

    /// What the folder of a fleet's first replica holds, which is the only voter. An operator bootstraps a fleet once.
    pub fn bootstrap(id: Id) -> PersistedState {
        let position = Position { term: 1, index: 1 };
        let entries = vec![Entry { position, content: Content::Voters(BTreeSet::from([id])) }];
        PersistedState { hard_state: HardState { term: 1, vote: Some(id) }, snapshot: None, entries }
    }

    // Queries.

    pub fn id(&self) -> Id {
        self.settings.id
    }

    pub fn role(&self) -> Role {
        match &self.role_state {
            _ if self.acknowledged_lost => Role::Lost,
            _ if self.rejoin.is_some() => Role::Returning,
            RoleState::Leader(_) => Role::Leader,
            _ if !self.is_voter() => Role::Outside,
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => Role::Candidate,
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

    /// The term of an entry, if the log holds it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// The position directly before the first entry that the log holds.
    pub fn base(&self) -> Position {
        self.log.base()
    }

    /// The leader's peers, each with its match index and whether it was heard within an election timeout. Empty on
    /// other replicas.
    pub fn peers(&self) -> Vec<(Id, Index, bool)> {
        match &self.role_state {
            RoleState::Leader(state) => {
                let heard = |peer: &Peer| peer.ticks_since_heard < self.settings.election_ticks;
                state.peers.iter().map(|(id, peer)| (*id, peer.match_index, heard(peer))).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Whether a request to join was refused since the last call, because another incarnation of the same replica id is
    /// active.
    pub fn take_join_refusal(&mut self) -> bool {
        std::mem::take(&mut self.join_refused)
    }

    // Inputs.

    pub fn tick(&mut self) {
        if self.acknowledged_lost {
            return;
        }
        if let Some(rejoin) = &mut self.rejoin {
            rejoin.retry_in = rejoin.retry_in.saturating_sub(1);
            if rejoin.retry_in == 0 {
                rejoin.retry_in = RETRY_HEARTBEATS * self.settings.heartbeat_ticks;
                self.send_rejoin_requests();
            }
            return;
        }
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.tick_leader();
            return;
        }
        self.ticks_since_heard = self.ticks_since_heard.saturating_add(1);
        if !self.is_voter() {
            self.join_retry_in = self.join_retry_in.saturating_sub(1);
            // A replica that started as a non-voter asks to join, unless a leader already replicates to it. One that was
            // removed from the voters since it started does not ask again.
            let no_leader =
                self.log.voters().is_empty() || self.ticks_since_heard > self.settings.election_ticks;
            if self.join_retry_in == 0 && !self.was_voter && no_leader {
                self.join_retry_in = RETRY_HEARTBEATS * self.settings.heartbeat_ticks;
                self.send_to_all_replica_ids(Body::JoinRequest);
            }
        } else if self.leader.is_none() && self.log.last() < self.min_vote_position {
            self.ticks_behind += 1;
            if self.ticks_behind >= ELECTIONS_BEFORE_REJOIN * self.settings.election_ticks {
                self.ticks_behind = 0;
                self.role_state = RoleState::Follower;
                self.rejoin = Some(Rejoin { nonce: self.rng.rand_u64(), ..Rejoin::default() });
            }
        } else if self.ticks_since_heard >= self.election_timeout {
            self.was_voter = true;
            self.leader = None;
            self.campaign(CampaignType::PreVote);
        }
    }

    /// Proposes a command. It is committed once `take_ready` returns it at this position; if `take_ready` returns another
    /// entry at this index, it never will be.
    ///
    /// # Errors
    /// Why this replica rejects it.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, ReplicaError> {
        let RoleState::Leader(state) = &self.role_state else {
            return Err(ReplicaError::NotLeader(self.leader));
        };
        if state.transfer.is_some() {
            return Err(ReplicaError::TransferringLeadership);
        }
        Ok(self.append(Content::Command(command)))
    }

    /// Proposes a voter set with one voter added or removed.
    ///
    /// # Errors
    /// Why this replica rejects it.
    pub fn change_voters(&mut self, voters: BTreeSet<Id>) -> Result<Position, ReplicaError> {
        let RoleState::Leader(state) = &self.role_state else {
            return Err(ReplicaError::NotLeader(self.leader));
        };
        if state.transfer.is_some() {
            return Err(ReplicaError::TransferringLeadership);
        }
        let changed = self.log.voters().symmetric_difference(&voters).count();
        // Danger: two uncommitted changes at once, or a change by a leader that does not know yet what is committed, allow
        // two majorities with no voter in common.
        if changed != 1
            || voters.is_empty()
            || self.log.voters_index() > self.commit_index
            || self.commit_index < state.first_index
        {
            return Err(ReplicaError::VoterChangeRefused);
        }
        Ok(self.append(Content::Voters(voters)))
    }

    /// Requests a read that sees everything committed before this call. `take_ready` returns the ticket once the read
    /// may be answered.
    ///
    /// # Errors
    /// Why this replica rejects it.
    pub fn request_read(&mut self, ticket: u64) -> Result<(), ReplicaError> {
        let RoleState::Leader(state) = &mut self.role_state else {
            return Err(ReplicaError::NotLeader(self.leader));
        };
        // Danger: a process that was paused may have lost its leadership unnoticed, so a majority must acknowledge a round
        // that starts now.
        state.read_round += 1;
        state.pending_reads.push_back((ticket, state.read_round));
        self.send_heartbeats();
        self.advance_commit_index();
        Ok(())
    }

    /// Transfers leadership to another voter once its log equals this replica's.
    ///
    /// # Errors
    /// Why this replica rejects it.
    pub fn transfer_leadership(&mut self, to: Id) -> Result<(), ReplicaError> {
        let election_ticks = self.settings.election_ticks;
        let is_other_voter = self.log.voters().contains(&to) && to != self.settings.id;
        let RoleState::Leader(state) = &mut self.role_state else {
            return Err(ReplicaError::NotLeader(self.leader));
        };
        if !is_other_voter {
            return Err(ReplicaError::VoterChangeRefused);
        }
        state.transfer = Some((to, election_ticks));
        self.continue_leadership_transfer();
        Ok(())
    }

    /// Takes a snapshot: `state` is the host's state after all entries up to `index`. The call does nothing if the host has
    /// not received that entry yet, a snapshot covers it or the log no longer holds it.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        let covered =
            self.log.snapshot.as_ref().is_some_and(|snapshot| snapshot.last_included.index >= index);
        if covered || index > self.delivered_index {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let position = Position { term, index };
        let snapshot = Snapshot { last_included: position, voters: self.log.voters_up_to(index), state };
        let compact_to = index.saturating_sub(self.settings.trailing_entries);
        self.pending_batch.snapshot = Some(snapshot.clone());
        if compact_to > self.log.base().index {
            self.pending_batch.compact_to = Some(compact_to);
            // Entries of the pending batch that the snapshot makes unnecessary are not written.
            self.pending_batch.entries.retain(|entry| entry.position.index > compact_to);
        }
        self.log.compact(snapshot, compact_to.max(self.log.base().index));
    }

    /// Reports that this batch and all before it are durable.
    pub fn mark_durable(&mut self, number: u64) {
        self.durable_batch = self.durable_batch.max(number);
        while let Some((first, end)) = self.batches_in_flight.front().copied()
            && first <= number
        {
            self.durable_index = end;
            self.batches_in_flight.pop_front();
        }
        self.advance_commit_index();
    }

    pub fn receive(&mut self, message: Message) {
        let Message { from, to, term, body } = message;
        if self.acknowledged_lost
            || from == self.settings.id
            || ![self.settings.id, Id::any_incarnation(self.settings.replica_id())].contains(&to)
        {
            return;
        }
        // Messages whose handling does not follow the terms.
        match body {
            Body::RejoinRequest { nonce, last } => return self.handle_rejoin_request(from, nonce, last),
            Body::RejoinResponse { nonce, last, lost } => {
                return self.handle_rejoin_response(from, term, nonce, last, lost);
            }
            // Danger: entries acknowledged to a leader of an earlier term may have been truncated since, so only a current
            // term counts.
            Body::AcknowledgedLost { acknowledged } => {
                self.acknowledged_lost |=
                    acknowledged > self.log.last().index && term >= self.hard_state.term;
                return;
            }
            Body::JoinRefused => {
                self.join_refused = true;
                return;
            }
            // Danger: until it has rejoined, a replica does not know which votes and acknowledgements it gave before it
            // restarted, so it gives none.
            _ if self.rejoin.is_some() => return,
            Body::JoinRequest => return self.handle_join_request(from),
            _ => {}
        }
        if term > self.hard_state.term {
            match body {
                Body::PreVoteRequest { .. } | Body::PreVoteResponse { granted: true } => {}
                // A candidate that does not hear the leader must not depose one that this replica hears.
                Body::VoteRequest { leadership_transfer: false, .. } if self.hears_leader() => return,
                _ => self.become_follower(term, None),
            }
        }
        let stale = term < self.hard_state.term;
        match body {
            Body::PreVoteRequest { .. } if self.is_removed_voter(from) => {
                self.send(from, self.hard_state.term, Body::AcknowledgedLost { acknowledged: Index::MAX });
            }
            Body::PreVoteRequest { last } => {
                let granted = term > self.hard_state.term
                    && !self.hears_leader()
                    && last >= self.min_vote_position.max(self.log.last());
                self.send(
                    from,
                    if granted { term } else { self.hard_state.term },
                    Body::PreVoteResponse { granted },
                );
            }
            Body::PreVoteResponse { granted } => {
                let of_this_campaign = term == self.hard_state.term + 1;
                if let RoleState::PreCandidate(votes) = &mut self.role_state
                    && granted
                    && of_this_campaign
                {
                    votes.insert(from);
                    self.count_votes();
                }
            }
            Body::VoteRequest { .. } if stale => {
                self.send(from, self.hard_state.term, Body::VoteResponse { granted: false })
            }
            Body::VoteRequest { last, .. } => self.handle_vote_request(from, last),
            Body::VoteResponse { granted } => {
                if let RoleState::Candidate(votes) = &mut self.role_state
                    && granted
                    && !stale
                {
                    votes.insert(from);
                    self.count_votes();
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
                self.become_follower(term, Some(from));
                let match_index = self.handle_append(previous, entries, commit_index);
                let last = self.log.last().index;
                self.send(from, term, Body::AppendResponse { match_index, last, round });
            }
            Body::InstallSnapshot { snapshot, round } => {
                self.become_follower(term, Some(from));
                let match_index = Some(snapshot.last_included.index.max(self.commit_index));
                self.install_snapshot(snapshot);
                let last = self.log.last().index;
                self.send(from, term, Body::AppendResponse { match_index, last, round });
            }
            Body::AppendResponse { match_index, last, round } if !stale => {
                self.handle_append_response(from, match_index, last, round)
            }
            Body::TimeoutNow if !stale && self.leader == Some(from) && self.is_voter() => {
                self.campaign(CampaignType::LeadershipTransfer)
            }
            _ => {}
        }
    }

    /// Returns what the host must do now. Messages, entries and reads that depend on a batch are left out until the batch
    /// is durable.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        if !self.pending_batch.is_empty() {
            self.last_batch_number += 1;
            let batch = Batch { number: self.last_batch_number, ..std::mem::take(&mut self.pending_batch) };
            self.batches_in_flight.push_back((batch.number, self.log.last().index));
            ready.batch = Some(batch);
        }
        let new_messages = std::mem::take(&mut self.new_messages);
        self.held_messages.extend(new_messages.into_iter().map(|message| (self.last_batch_number, message)));
        while let Some((number, _)) = self.held_messages.front()
            && *number <= self.durable_batch
        {
            ready.messages.extend(self.held_messages.pop_front().map(|(_, message)| message));
        }
        let deliver_to = self.commit_index.min(self.durable_index);
        while self.delivered_index < deliver_to
            && let Some(entry) = self.log.entry(self.delivered_index + 1)
        {
            ready.committed.push(entry.clone());
            self.delivered_index += 1;
        }
        if let RoleState::Leader(state) = &mut self.role_state {
            // Danger: an entry may be committed by the disks of others before it is durable here. The host has not applied
            // it then, so a read waits for its delivery.
            while state.confirmed_reads.front().is_some_and(|(_, index)| *index <= self.delivered_index) {
                ready.reads.extend(state.confirmed_reads.pop_front().map(|(ticket, _)| ticket));
            }
        }
        ready
    }

    // Rejoining and joining.

    fn send_rejoin_requests(&mut self) {
        let (nonce, last) = (self.rejoin.as_ref().map_or(0, |r| r.nonce), self.log.last());
        self.send_to_all_replica_ids(Body::RejoinRequest { nonce, last });
    }

    /// Sends to every other configured replica id, whatever its incarnation.
    fn send_to_all_replica_ids(&mut self, body: Body) {
        let own = self.settings.replica_id();
        for replica_id in self.settings.replica_ids.clone() {
            if replica_id != own {
                self.send(Id::any_incarnation(replica_id), self.hard_state.term, body.clone());
            }
        }
    }

    fn handle_rejoin_request(&mut self, from: Id, nonce: u64, last: Position) {
        let known = self.committed_acks.get(&from).copied().unwrap_or(0);
        let lost = last.index < known || self.is_removed_voter(from);
        self.send(from, self.hard_state.term, Body::RejoinResponse { nonce, last: self.log.last(), lost });
    }

    /// Whether this replica leads, knows what is committed, and `id` is neither a voter nor a peer: `id` was removed, and a
    /// new incarnation may have replaced it. Danger: a replica that is behind could mistake a new voter for a removed one,
    /// so only a leader that has committed an entry of its term decides.
    fn is_removed_voter(&self, id: Id) -> bool {
        let RoleState::Leader(state) = &self.role_state else { return false };
        self.commit_index >= state.first_index
            && self.log.voters_index() <= self.commit_index
            && !self.log.voters().contains(&id)
            && !state.peers.contains_key(&id)
    }

    fn handle_rejoin_response(&mut self, from: Id, term: Term, nonce: u64, last: Position, lost: bool) {
        let replica_count = self.settings.replica_ids.len();
        let Some(rejoin) = self.rejoin.as_mut().filter(|rejoin| rejoin.nonce == nonce) else {
            return;
        };
        if lost && term >= self.hard_state.term {
            self.acknowledged_lost = true;
            return;
        }
        rejoin.positions.insert(from.replica_id, last);
        rejoin.term = rejoin.term.max(term);
        // Danger: this replica may have been part of any majority. This many others include a member of each of those
        // majorities, which knows the term that this replica voted in and holds the entries that it acknowledged.
        if rejoin.positions.len() < replica_count - (replica_count / 2 + 1) + 1 {
            return;
        }
        let (term, min_vote_position) =
            (rejoin.term, rejoin.positions.values().max().copied().unwrap_or_default());
        self.rejoin = None;
        self.min_vote_position = min_vote_position;
        let kept_vote = self.hard_state.vote.filter(|_| self.hard_state.term >= term);
        // Danger: this replica may have voted in this term and lost the record, so it takes its vote as spent.
        self.set_hard_state(HardState {
            term: self.hard_state.term.max(term),
            vote: kept_vote.or(Some(self.settings.id)),
        });
        self.ticks_since_heard = 0;
        self.draw_election_timeout();
    }

    fn handle_join_request(&mut self, from: Id) {
        let election_ticks = self.settings.election_ticks;
        let other_incarnation =
            self.log.voters().iter().copied().find(|id| id.replica_id == from.replica_id && *id != from);
        let is_own_replica_id = self.settings.replica_id() == from.replica_id;
        let RoleState::Leader(state) = &mut self.role_state else { return };
        let other_heard = other_incarnation
            .and_then(|other_incarnation| state.peers.get(&other_incarnation))
            .is_some_and(|peer| peer.ticks_since_heard < election_ticks);
        if is_own_replica_id || other_heard {
            // Danger: otherwise a second process, started by mistake, would displace the replica that is serving.
            return self.send(from, self.hard_state.term, Body::JoinRefused);
        }
        if let Some(other_incarnation) = other_incarnation {
            let voters = self.log.voters().iter().copied().filter(|id| *id != other_incarnation).collect();
            let _ = self.change_voters(voters);
            return;
        }
        let next = self.log.last().index + 1;
        state.learners.insert(from);
        state
            .peers
            .entry(from)
            .or_insert_with(|| Peer { next_index: next, ..Peer::default() })
            .ticks_since_heard = 0;
        self.promote_learner();
    }

    /// Proposes as a voter a learner that lacks at most `MAX_JOIN_LAG` entries.
    fn promote_learner(&mut self) {
        let last = self.log.last().index;
        let RoleState::Leader(state) = &self.role_state else { return };
        let caught_up = state.learners.iter().copied().find(|id| {
            let match_index = state.peers.get(id).map_or(0, |peer| peer.match_index);
            match_index > 0 && match_index + MAX_JOIN_LAG >= last && !self.log.voters().contains(id)
        });
        if let Some(id) = caught_up {
            let mut voters = self.log.voters().clone();
            // Danger: two incarnations of one replica id would have two votes.
            if voters.iter().all(|voter| voter.replica_id != id.replica_id) {
                voters.insert(id);
                let _ = self.change_voters(voters);
            }
        }
    }

    // Elections.

    fn is_voter(&self) -> bool {
        self.log.voters().contains(&self.settings.id)
    }

    fn hears_leader(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
            || (self.leader.is_some() && self.ticks_since_heard < self.settings.election_ticks)
    }

    fn draw_election_timeout(&mut self) {
        let spread = u64::from(self.settings.election_ticks);
        self.election_timeout = self.settings.election_ticks + self.rng.rand_range(0..spread.max(1)) as u32;
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.pending_batch.hard_state = Some(hard_state);
        }
    }

    fn become_follower(&mut self, term: Term, leader: Option<Id>) {
        if let RoleState::Leader(state) = std::mem::replace(&mut self.role_state, RoleState::Follower) {
            let reads = state.pending_reads.iter().chain(&state.confirmed_reads).map(|(ticket, _)| *ticket);
            self.ready.failed_reads.extend(reads);
        }
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.leader = None;
        }
        if leader.is_some() {
            self.leader = leader;
            (self.ticks_since_heard, self.ticks_behind) = (0, 0);
            self.draw_election_timeout();
        }
    }

    /// Starts an election: a pre-vote, or the election itself in a leadership transfer or with a single voter.
    fn campaign(&mut self, campaign_type: CampaignType) {
        self.ticks_since_heard = 0;
        self.draw_election_timeout();
        let last = self.log.last();
        if last < self.min_vote_position {
            // Others hold entries that this replica may have acknowledged and lost.
            return;
        }
        let own = BTreeSet::from([self.settings.id]);
        let leadership_transfer = campaign_type == CampaignType::LeadershipTransfer;
        if leadership_transfer || self.log.voters().len() == 1 {
            self.set_hard_state(HardState { term: self.hard_state.term + 1, vote: Some(self.settings.id) });
            self.leader = None;
            self.role_state = RoleState::Candidate(own);
            self.send_to_voters(self.hard_state.term, &Body::VoteRequest { last, leadership_transfer });
        } else {
            self.role_state = RoleState::PreCandidate(own);
            self.send_to_voters(self.hard_state.term + 1, &Body::PreVoteRequest { last });
        }
        self.count_votes();
    }

    fn has_majority(&self, ids: &BTreeSet<Id>) -> bool {
        let voters = self.log.voters();
        voters.intersection(ids).count() > voters.len() / 2
    }

    fn count_votes(&mut self) {
        match &self.role_state {
            RoleState::PreCandidate(votes) if self.has_majority(votes) => {
                self.set_hard_state(HardState {
                    term: self.hard_state.term + 1,
                    vote: Some(self.settings.id),
                });
                self.role_state = RoleState::Candidate(BTreeSet::from([self.settings.id]));
                self.ticks_since_heard = 0;
                let last = self.log.last();
                self.send_to_voters(
                    self.hard_state.term,
                    &Body::VoteRequest { last, leadership_transfer: false },
                );
                self.count_votes();
            }
            RoleState::Candidate(votes) if self.has_majority(votes) => self.become_leader(),
            _ => {}
        }
    }

    fn handle_vote_request(&mut self, from: Id, last: Position) {
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = vote_available
            && matches!(self.role_state, RoleState::Follower | RoleState::PreCandidate(_))
            && self.leader.is_none()
            && last >= self.min_vote_position.max(self.log.last());
        if granted {
            self.set_hard_state(HardState { vote: Some(from), ..self.hard_state });
            self.ticks_since_heard = 0;
            self.draw_election_timeout();
        }
        self.send(from, self.hard_state.term, Body::VoteResponse { granted });
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.settings.id);
        let next = self.log.last().index + 1;
        let others = self.log.voters().iter().filter(|id| **id != self.settings.id);
        let peers = others.map(|id| (*id, Peer { next_index: next, ..Peer::default() })).collect();
        self.role_state =
            RoleState::Leader(LeaderState { peers, first_index: next, ..LeaderState::default() });
        self.append(Content::Noop);
    }

    // Leader.

    fn append(&mut self, content: Content) -> Position {
        let position = Position { term: self.hard_state.term, index: self.log.last().index + 1 };
        let entry = Entry { position, content };
        self.pending_batch.entries.push(entry.clone());
        self.log.push(entry);
        if let RoleState::Leader(state) = &mut self.role_state {
            for id in self.log.voters() {
                if *id != self.settings.id {
                    state
                        .peers
                        .entry(*id)
                        .or_insert_with(|| Peer { next_index: position.index, ..Peer::default() });
                }
            }
        }
        self.replicate();
        position
    }

    fn tick_leader(&mut self) {
        let election_ticks = self.settings.election_ticks;
        let RoleState::Leader(state) = &mut self.role_state else { return };
        state
            .peers
            .values_mut()
            .for_each(|peer| peer.ticks_since_heard = peer.ticks_since_heard.saturating_add(1));
        state.ticks_since_heartbeat += 1;
        if let Some((_, ticks_left)) = &mut state.transfer {
            *ticks_left = ticks_left.saturating_sub(1);
            if *ticks_left == 0 {
                state.transfer = None;
            }
        }
        let heard =
            state.peers.iter().filter(|(_, peer)| peer.ticks_since_heard < election_ticks).map(|(id, _)| *id);
        let heard: BTreeSet<Id> = heard.chain([self.settings.id]).collect();
        if !self.has_majority(&heard) {
            // Danger: a leader cut off from the majority would otherwise keep its clients waiting for ever.
            self.leader = None;
            return self.become_follower(self.hard_state.term, None);
        }
        let RoleState::Leader(state) = &mut self.role_state else { return };
        let voters = self.log.voters();
        state.learners.retain(|id| !voters.contains(id));
        state.peers.retain(|id, peer| voters.contains(id) || peer.ticks_since_heard < election_ticks * 2);
        if state.ticks_since_heartbeat >= self.settings.heartbeat_ticks {
            state.ticks_since_heartbeat = 0;
            for peer in state.peers.values_mut() {
                peer.snapshot_resend_in = peer.snapshot_resend_in.saturating_sub(1);
                // Entries that were sent and not acknowledged since the last heartbeat count as lost and are sent again.
                if !std::mem::take(&mut peer.advanced) {
                    peer.next_index = peer.match_index + 1;
                }
            }
            self.send_heartbeats();
            self.promote_learner();
        }
    }

    /// Sends an `AppendRequest` to every peer, also with no entries.
    fn send_heartbeats(&mut self) {
        self.send_appends(true);
    }

    /// Sends entries to the peers that lack some.
    fn replicate(&mut self) {
        self.send_appends(false);
    }

    fn send_appends(&mut self, include_empty: bool) {
        let last = self.log.last().index;
        let RoleState::Leader(state) = &mut self.role_state else { return };
        let mut messages = Vec::new();
        for (id, peer) in &mut state.peers {
            if peer.next_index <= self.log.base().index {
                // The peer lacks entries that the log no longer holds.
                if let Some(snapshot) = self.log.snapshot.as_ref().filter(|_| peer.snapshot_resend_in == 0) {
                    peer.snapshot_resend_in = SNAPSHOT_RESEND_HEARTBEATS;
                    messages.push((
                        *id,
                        Body::InstallSnapshot { snapshot: snapshot.clone(), round: state.read_round },
                    ));
                    continue;
                }
            }
            let previous = peer.next_index.clamp(self.log.base().index + 1, last + 1) - 1;
            let previous = Position { term: self.log.term(previous).unwrap_or_default(), index: previous };
            let entries =
                self.log.entries_from(previous.index + 1, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE);
            if entries.is_empty() && !include_empty {
                continue;
            }
            peer.next_index = previous.index + 1 + entries.len() as Index;
            messages.push((
                *id,
                Body::AppendRequest {
                    previous,
                    entries,
                    commit_index: self.commit_index,
                    round: state.read_round,
                },
            ));
        }
        let term = self.hard_state.term;
        messages.into_iter().for_each(|(id, body)| self.send(id, term, body));
    }

    fn handle_append_response(&mut self, from: Id, match_index: Option<Index>, last: Index, round: u64) {
        let RoleState::Leader(state) = &mut self.role_state else { return };
        let Some(peer) = state.peers.get_mut(&from) else { return };
        peer.ticks_since_heard = 0;
        peer.acked_round = peer.acked_round.max(round);
        let is_behind = match match_index {
            // A response to a message from before this leader's own entries is still useful: its match index never exceeds what was sent.
            Some(match_index) => {
                peer.advanced |= match_index > peer.match_index;
                peer.match_index = peer.match_index.max(match_index);
                peer.next_index = peer.next_index.max(peer.match_index + 1);
                peer.snapshot_resend_in =
                    if peer.match_index > self.log.base().index { 0 } else { peer.snapshot_resend_in };
                peer.next_index <= self.log.last().index
            }
            None if last < peer.match_index => {
                // Responses of one incarnation arrive in order or not at all, so the peer holds less than it had
                // acknowledged.
                let acknowledged = peer.match_index;
                return self.send(from, self.hard_state.term, Body::AcknowledgedLost { acknowledged });
            }
            None => {
                peer.next_index = (last + 1).min(peer.next_index.saturating_sub(1)).max(peer.match_index + 1);
                true
            }
        };
        self.advance_commit_index();
        if is_behind {
            self.replicate();
        }
        self.promote_learner();
        self.continue_leadership_transfer();
    }

    fn continue_leadership_transfer(&mut self) {
        let last = self.log.last().index;
        let RoleState::Leader(state) = &self.role_state else { return };
        if let Some((to, _)) = state.transfer
            && state.peers.get(&to).is_some_and(|peer| peer.match_index == last)
        {
            self.send(to, self.hard_state.term, Body::TimeoutNow);
        }
    }

    /// Commits what a majority holds, and confirms the reads whose round a majority has acknowledged.
    fn advance_commit_index(&mut self) {
        let RoleState::Leader(state) = &mut self.role_state else { return };
        let voters = self.log.voters();
        let durable_on = |id: &Id| {
            if *id == self.settings.id {
                self.durable_index
            } else {
                state.peers.get(id).map_or(0, |peer| peer.match_index)
            }
        };
        let mut durable_indexes: Vec<Index> = voters.iter().map(durable_on).collect();
        durable_indexes.sort_unstable();
        let majority_index =
            durable_indexes.get(durable_indexes.len().saturating_sub(1) / 2).copied().unwrap_or(0);
        // Danger: an entry of an earlier term may still be overwritten although a majority holds it. It is committed only
        // along with an entry of the current term.
        let advanced =
            majority_index > self.commit_index && self.log.term(majority_index) == Some(self.hard_state.term);
        if advanced {
            self.commit_index = majority_index;
        }
        for (id, peer) in &state.peers {
            let known = peer.match_index.min(self.commit_index);
            let committed_acks = self.committed_acks.entry(*id).or_default();
            *committed_acks = known.max(*committed_acks);
        }
        if self.commit_index >= state.first_index {
            let round_confirmed = |round: u64| {
                let answered = |id: &&Id| {
                    **id == self.settings.id
                        || state.peers.get(id).is_some_and(|peer| peer.acked_round >= round)
                };
                voters.iter().filter(answered).count() > voters.len() / 2
            };
            while let Some((ticket, round)) = state.pending_reads.front().copied()
                && round_confirmed(round)
            {
                state.confirmed_reads.push_back((ticket, self.commit_index));
                state.pending_reads.pop_front();
            }
        }
        let removed = !self.is_voter() && self.log.voters_index() <= self.commit_index;
        if advanced {
            // Followers learn the new commit index at once, as their clients wait for it.
            self.send_heartbeats();
        }
        if removed {
            // The entry that removes this leader from the voters is committed.
            self.leader = None;
            self.become_follower(self.hard_state.term, None);
        }
    }

    // Follower.

    fn handle_append(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        commit_index: Index,
    ) -> Option<Index> {
        let base = self.log.base().index;
        if previous.index >= base && self.log.term(previous.index) != Some(previous.term) {
            return None;
        }
        let end = previous.index + entries.len() as Index;
        for entry in entries {
            // Entries up to the base are committed and so equal to the leader's.
            if entry.position.index <= base {
                continue;
            }
            match self.log.term(entry.position.index) {
                Some(term) if term == entry.position.term => continue,
                Some(_) => self.truncate_log(entry.position.index),
                None => {}
            }
            self.pending_batch.entries.push(entry.clone());
            self.log.push(entry);
        }
        self.was_voter |= self.is_voter();
        self.commit_index = self.commit_index.max(commit_index.min(end));
        Some(end)
    }

    fn truncate_log(&mut self, from: Index) {
        assert!(from > self.commit_index, "an entry at or before the commit index is overwritten: {from}");
        self.log.truncate(from);
        self.pending_batch.entries.retain(|entry| entry.position.index < from);
        self.pending_batch.truncate_from =
            Some(self.pending_batch.truncate_from.map_or(from, |earlier| earlier.min(from)));
        self.durable_index = self.durable_index.min(from - 1);
        self.batches_in_flight.iter_mut().for_each(|(_, end)| *end = (*end).min(from - 1));
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let last_included = snapshot.last_included;
        if last_included.index <= self.commit_index {
            return;
        }
        if self.log.term(last_included.index) == Some(last_included.term) {
            // The log already holds these entries; the snapshot shows that they are committed.
            self.commit_index = last_included.index;
            return;
        }
        self.pending_batch.entries.clear();
        self.pending_batch.truncate_from = Some(0);
        self.pending_batch.snapshot = Some(snapshot.clone());
        self.log.install(snapshot.clone());
        self.batches_in_flight.iter_mut().for_each(|(_, end)| *end = 0);
        (self.commit_index, self.delivered_index, self.durable_index) =
            (last_included.index, last_included.index, 0);
        self.ready.committed.clear();
        self.ready.install = Some(snapshot);
    }

    // Sending.

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        let own = self.settings.id;
        let others: Vec<Id> = self.log.voters().iter().copied().filter(|id| *id != own).collect();
        others.into_iter().for_each(|id| self.send(id, term, body.clone()));
    }

    fn send(&mut self, to: Id, term: Term, body: Body) {
        self.new_messages.push(Message { from: self.settings.id, to, term, body });
    }
}

impl Settings {
    fn replica_id(&self) -> u16 {
        self.id.replica_id
    }
}
