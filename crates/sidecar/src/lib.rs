//! The sidecar's modules, for its own binary and for other programs of this project that validate settings or manage
//! connections the same way. No load-balancing decisions are made here.

pub mod clock;
pub mod config;
pub mod fleet;
pub mod handover;
pub mod logger;
pub mod metrics;
pub mod net;
pub mod presence;
pub mod sent_ids;
pub mod shadow;
pub mod shared_list;
pub mod sidecar;
pub mod trace;
