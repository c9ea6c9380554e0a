//! The rig for fleets of real processes on the loopback: it starts them, strikes them, and stands between any two of
//! them. Nothing here asks a process whether it was right.

pub mod fleet;
pub mod folders;
pub mod holders;
pub mod judge;
pub mod links;
pub mod measure;
pub mod operators;
pub mod play;
pub mod processes;
pub mod sidecars;
