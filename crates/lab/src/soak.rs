//! A soak of real sidecars on loopback: seeded plans of faults, clients that go on until the kill, and a checker outside.
//!
//! `plan` draws what happens and when; `endpoints`, `discovery` and `clients` are fakes that record what they see on the
//! monotonic clock; `run` carries a plan out; `checker` holds the rules against the records.

pub mod checker;
pub mod clients;
pub mod discovery;
pub mod endpoints;
pub mod http;
pub mod plan;
pub mod record;
pub mod run;
pub mod seeds;
