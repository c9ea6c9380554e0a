//! Raft consensus for a few replicas of one log (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; pre-vote and leadership transfer from Ongaro's thesis). The code does no I/O and reads no clock:
//! its inputs are ticks, messages and notices that a batch is durable; its outputs are messages, records to persist
//! and committed entries. The rejoin protocol, for a replica whose folder may be an old copy, is not part of Raft;
//! `docs/replicated-state.md` describes it.

mod log;
mod replica;
pub mod storage;

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use replica::{Ready, Replica, ReplicaError, Role, Settings};

pub type Term = u64;
pub type Index = u64;

/// A replica's identity: the replica id that operators configure, and the incarnation of its folder. A folder that was
/// lost or restored from an old copy is replaced by one with a new incarnation.
///
/// Status output in JSON uses the serialized field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    #[serde(rename = "place")]
    pub replica_id: u16,
    /// Never 0 for a real replica: 0 addresses any incarnation of the replica id.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Id {
    pub fn any_incarnation(replica_id: u16) -> Id {
        Id { replica_id, incarnation: 0 }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{:08x}", self.replica_id, self.incarnation)
    }
}

/// A position in the log. Positions are ordered by term, then by index, so that of two logs the one with the greater
/// last position is the more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    pub term: Term,
    pub index: Index,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The first entry of a leader's term; it has no effect when applied.
    Noop,
    Command(Vec<u8>),
    /// The set of voters from this entry on.
    Voters(BTreeSet<Id>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub position: Position,
    pub content: Content,
}

/// The state after all entries up to a position; it replaces them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last_included: Position,
    pub voters: BTreeSet<Id>,
    /// The host's state, in the host's own encoding.
    pub state: Vec<u8>,
}

/// The term and vote, which must be durable beside the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: Term,
    /// The candidate that this replica voted for in the term. A replica that must not vote in the term sets its own id,
    /// also where it is not a candidate.
    pub vote: Option<Id>,
}

/// What a replica's folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries; the first follows the snapshot directly or is covered by it.
    pub entries: Vec<Entry>,
}

/// Changes that must become durable atomically. They apply in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The number to pass to `Replica::mark_durable`.
    pub number: u64,
    pub hard_state: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    /// Entries at this index and above are removed, as the leader's log differs there.
    pub truncate_from: Option<Index>,
    /// Entries up to and including this index are removed, as the snapshot covers them.
    pub compact_to: Option<Index>,
    pub entries: Vec<Entry>,
}

impl Batch {
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.compact_to.is_none()
            && self.entries.is_empty()
    }

    /// Applies this batch to what a folder holds.
    pub fn apply(&self, persisted: &mut PersistedState) {
        if let Some(hard_state) = self.hard_state {
            persisted.hard_state = hard_state;
        }
        if let Some(snapshot) = &self.snapshot {
            persisted.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = self.truncate_from {
            persisted.entries.retain(|entry| entry.position.index < from);
        }
        if let Some(to) = self.compact_to {
            persisted.entries.retain(|entry| entry.position.index > to);
        }
        persisted.entries.extend(self.entries.iter().cloned());
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: Id,
    pub to: Id,
    pub term: Term,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in this term, given the sender's last position. It changes no
    /// state of the receiver.
    PreVoteRequest {
        last: Position,
    },
    PreVoteResponse {
        granted: bool,
    },
    /// `leadership_transfer`: the leader sent the sender a `TimeoutNow`, so that receivers vote although they hear a
    /// leader.
    VoteRequest {
        last: Position,
        leadership_transfer: bool,
    },
    VoteResponse {
        granted: bool,
    },
    /// The entries after `previous`. `round` counts the leader's rounds of confirmation for reads; responses repeat it.
    AppendRequest {
        previous: Position,
        entries: Vec<Entry>,
        commit_index: Index,
        round: u64,
    },
    InstallSnapshot {
        snapshot: Snapshot,
        round: u64,
    },
    /// The response to `AppendRequest` and `InstallSnapshot`. `match_index`: the sender's log equals the leader's up to
    /// here; `None` if it has no entry that matches `previous`. `last`: the last index of the sender's log.
    AppendResponse {
        match_index: Option<Index>,
        last: Index,
        round: u64,
    },
    /// Leadership transfer: the receiver starts an election at once.
    TimeoutNow,
    /// The sender has restarted and may hold less than it had acknowledged; it asks for the receiver's last position.
    RejoinRequest {
        nonce: u64,
        last: Position,
    },
    /// `lost`: the replica that asked had acknowledged more than it holds now, or is no longer a voter.
    RejoinResponse {
        nonce: u64,
        last: Position,
        lost: bool,
    },
    /// The receiver has acknowledged entries up to this index and no longer holds them.
    AcknowledgedLost {
        acknowledged: Index,
    },
    /// The sender has no log and asks to be added as a voter.
    JoinRequest,
    /// The join was refused: the leader still hears another incarnation of the same replica id.
    JoinRefused,
}
