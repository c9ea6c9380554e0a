//! A soak test of real sidecars on loopback: seeded plans of faults, clients that send until the sidecar is killed, and a
//! checker that judges only what clients, endpoints and discovery observed.
//!
//! `plan` draws the events and their times. `endpoints`, `discovery` and `clients` are fakes that record what they observe
//! on the monotonic clock. `run` executes a plan. `checker` checks the record against the rules.

pub mod checker;
pub mod clients;
pub mod discovery;
pub mod endpoints;
pub mod http;
pub mod plan;
pub mod record;
pub mod run;
pub mod seeds;
