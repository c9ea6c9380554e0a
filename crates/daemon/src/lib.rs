//! `appledyke-daemon`: a small group of daemons replicates the settings and members of a fleet. The protocol is implemented in
//! the packages `appledyke-consensus` and `appledyke-fleet`; this crate runs it on sockets and a data folder.

pub mod agent;
pub mod client;
pub mod configuration;
pub mod folder;
pub mod serve;
