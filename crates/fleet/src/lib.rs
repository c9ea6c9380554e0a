//! The state that a fleet's daemons replicate, and the state that each daemon and sidecar keeps beside it. The crate does no
//! I/O and reads no clock: commands and reports go in; answers, proposals and records to forward come out, and the host
//! process acts on them. `docs/replicated-state.md` explains the design, and which copy wins where two differ.

pub mod allocator;
pub mod budgets;
pub mod drains;
pub mod evidence;
pub mod evidence_coding;
pub mod health;
pub mod limits;
pub mod liveness;
pub mod member;
pub mod members;
pub mod messages;
pub mod release_runner;
pub mod releases;
pub mod scopes;
pub mod state;
pub mod version;

pub use members::MemberStatus;
pub use state::{Answer, Command, Fleet, Refusal, SettingsChange, Write, WriteId};
pub use version::Version;
