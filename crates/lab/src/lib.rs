//! Tests of the balancer's decisions: a seeded simulation of a fleet and its faults in virtual time, an independent
//! checker of the four rules, baseline policies to compare with, and reports. Its figures are simulated.

pub mod added;
pub mod chain;
pub mod cold;
pub mod emulate;
pub mod faults;
pub mod http_connection;
pub mod load;
pub mod policy;
pub mod releases;
pub mod report;
pub mod rig;
pub mod rule_checker;
pub mod scale;
pub mod scenario;
pub mod server_queue;
pub mod service;
pub mod shares;
pub mod simulate;
pub mod soak;
pub mod sweep;
