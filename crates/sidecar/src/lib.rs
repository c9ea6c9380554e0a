//! The sidecar's parts, for its program, and for other programs of this project that check settings as it does or hold
//! connections as it does. Nothing is decided here.

pub mod figures;
pub mod fleet;
pub mod handover;
pub mod launch;
pub mod logger;
pub mod net;
pub mod presence;
pub mod sidecar;
pub mod trace;
pub mod watch;
