//! A laboratory for the decisions: a seeded model of a fleet and its faults in virtual time, an independent check
//! of the four rules, plain policies to compare with, and reports. What it says is simulated.

pub mod added;
pub mod chain;
pub mod cold;
pub mod emulate;
pub mod faults;
pub mod load;
pub mod policy;
pub mod referee;
pub mod releases;
pub mod report;
pub mod rig;
pub mod scale;
pub mod scenario;
pub mod service;
pub mod shares;
pub mod simulate;
pub mod soak;
pub mod station;
pub mod sweep;
pub mod wire;
