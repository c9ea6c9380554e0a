//! Members and their status in the replicated state.

use serde::{Deserialize, Serialize};

/// Maximum size of a name, an author or a reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of groups of a member: its zone, tier and pool, and a few more.
pub const MAX_GROUPS: usize = 8;

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    Joining,
    Serving,
    /// It turns clients away because an operator drained it, and may accept them again.
    Drained,
    Leaving,
    /// Without a report for a lease.
    Silent,
    /// It reported that it ends, an operator confirmed that it has ended, or it was silent for long.
    Gone,
}

impl MemberStatus {
    pub fn name(self) -> &'static str {
        match self {
            MemberStatus::Joining => "joining",
            MemberStatus::Serving => "serving",
            MemberStatus::Drained => "drained",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Silent => "silent",
            MemberStatus::Gone => "gone",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub incarnation: u64,
    pub status: MemberStatus,
    pub groups: Vec<String>,
    /// The drain request that it has permission for.
    pub drain_request: Option<u64>,
    /// A release drains it.
    pub drained_by_release: bool,
}
