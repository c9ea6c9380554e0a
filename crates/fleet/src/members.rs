//! Members and how they stand, as the fleet has agreed on it.

use serde::{Deserialize, Serialize};

/// Bytes that a name, a person or a reason may have.
pub const MAX_TEXT_BYTES: usize = 256;
/// Groups that a member may belong to: its zone, tier and pool, and some.
pub const MAX_GROUPS: usize = 8;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    Joining,
    Serving,
    /// It turns clients away by an operator's word, and may take them again.
    Drained,
    Leaving,
    /// Not heard for a lease.
    Silent,
    /// It has said that it ends, or an operator or a long silence has said so for it.
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
    /// The ask by which it may be out.
    pub drain_request: Option<u64>,
    /// A release has sent it out.
    pub drained_by_release: bool,
}
