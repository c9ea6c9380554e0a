//! Members and how they stand, as the fleet has agreed on it.

use serde::{Deserialize, Serialize};

/// Bytes that a name, a person or a reason may have.
pub const TEXT_MOST: usize = 256;
/// Groups that a member may belong to: its zone, tier and pool, and some.
pub const GROUPS_MOST: usize = 8;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
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

impl Standing {
    pub fn name(self) -> &'static str {
        match self {
            Standing::Joining => "joining",
            Standing::Serving => "serving",
            Standing::Drained => "drained",
            Standing::Leaving => "leaving",
            Standing::Silent => "silent",
            Standing::Gone => "gone",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub incarnation: u64,
    pub standing: Standing,
    pub groups: Vec<String>,
    /// The ask by which it may be out.
    pub out: Option<u64>,
    /// A release has sent it out.
    pub sent: bool,
}
