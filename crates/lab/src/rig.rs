//! Test rig for fleets of real processes on the loopback: it starts them, injects faults, and proxies the connections between
//! any two of them. No process is asked whether it was correct.

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
