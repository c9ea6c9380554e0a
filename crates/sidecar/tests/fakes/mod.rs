//! Fakes of the services that a sidecar depends on, for tests with real processes on loopback.

pub mod discovery;
