//! What a fleet's processes agree on, and what its daemons know beside that. Pure: commands and reports go in, answers,
//! proposals and records to pass on come out; hosts carry them out. `docs/replicated-state.md` has what was weighed,
//! and which copy wins where two differ.

pub mod budgets;
pub mod divide;
pub mod evidence;
pub mod evidence_coding;
pub mod health;
pub mod heard;
pub mod limits;
pub mod member;
pub mod members;
pub mod outs;
pub mod releases;
pub mod runner;
pub mod scopes;
pub mod state;
pub mod talk;
pub mod version;

pub use members::MemberStatus;
pub use state::{Answer, Command, Fleet, Refusal, SettingsChange, Write, WriteId};
pub use version::Version;
