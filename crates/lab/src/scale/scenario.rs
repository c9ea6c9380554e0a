//! What a scale run is to be, from its file.

use std::fs;
use std::path::Path;

use serde::Deserialize;

/// Sizes and counts that a run may have: what a machine holds is checked beside.
const MEMBERS_MOST: usize = 20_000;
const ROUNDS_MOST: usize = 20;
const PHASE_MOST_MS: u64 = 600_000;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Real ones.
    pub daemons: u16,
    pub sidecars: usize,
    /// Members in all, the real sidecars among them.
    pub sizes: Vec<usize>,
    /// Each size is run so often.
    pub rounds: usize,
    /// Hollow members in one process.
    pub per_process: usize,
    /// Between two reports of a member.
    pub beat_ms: u64,
    pub election_ms: u64,
    pub daemon_beat_ms: u64,
    pub lease_ms: u64,
    /// A hollow beat that is made so much after it was due makes a run void.
    pub late_ms: u64,
    pub phases: Phases,
    pub limits: Limits,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    pub settle_ms: u64,
    pub idle_ms: u64,
    pub evidence_ms: u64,
    /// Records that each member books a beat.
    pub evidence_each: u32,
    pub budgets_ms: u64,
    /// How many budgets move.
    pub budgets: usize,
    /// Settings of these sizes are put one after another.
    pub change_bytes: Vec<usize>,
}

/// The targets, and what else must hold.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// From committed until all act on it.
    pub in_force_ms: u64,
    /// What control costs a sidecar: parts of a core, bytes of memory in millions, bytes a second.
    pub sidecar_cores: f64,
    pub sidecar_mb: f64,
    pub sidecar_bytes: f64,
    /// Share of the requests through real sidecars that must be served.
    pub served: f64,
}

impl Scenario {
    /// # Errors
    /// The file, and the key that is at fault.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        Scenario::parse(&text).map_err(named)
    }

    /// # Errors
    /// The key that is at fault.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let reader = toml::Deserializer::parse(text).map_err(|e| e.message().to_string())?;
        let read: Scenario = serde_path_to_error::deserialize(reader)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        if ![1, 3, 5, 7, 9].contains(&read.daemons) {
            return Err(format!("daemons: expected an odd number up to 9, not {}", read.daemons));
        }
        if read.sizes.is_empty() {
            return Err("sizes: expected at least one".to_string());
        }
        for (at, size) in read.sizes.iter().enumerate() {
            if *size <= read.sidecars || *size > MEMBERS_MOST {
                let least = read.sidecars + 1;
                return Err(format!("sizes[{at}]: expected {least} to {MEMBERS_MOST}, not {size}"));
            }
        }
        if !(1..=ROUNDS_MOST).contains(&read.rounds) {
            return Err(format!("rounds: expected 1 to {ROUNDS_MOST}, not {}", read.rounds));
        }
        for (key, value) in [
            ("per_process", read.per_process as u64),
            ("beat_ms", read.beat_ms),
            ("election_ms", read.election_ms),
            ("daemon_beat_ms", read.daemon_beat_ms),
            ("lease_ms", read.lease_ms),
            ("late_ms", read.late_ms),
        ] {
            if value == 0 {
                return Err(format!("{key}: expected a positive whole number, not 0"));
            }
        }
        let phases = &read.phases;
        for (key, value) in [
            ("settle_ms", phases.settle_ms),
            ("idle_ms", phases.idle_ms),
            ("evidence_ms", phases.evidence_ms),
            ("budgets_ms", phases.budgets_ms),
        ] {
            if value > PHASE_MOST_MS {
                return Err(format!("phases.{key}: expected {PHASE_MOST_MS} at the most, not {value}"));
            }
        }
        if phases.budgets > appledyke_fleet::budgets::Thing::ALL.len() {
            return Err(format!("phases.budgets: expected 0 to 6, not {}", phases.budgets));
        }
        let most = appledyke_fleet::state::SETTINGS_MOST;
        for (at, bytes) in phases.change_bytes.iter().enumerate() {
            if !(256..=most).contains(bytes) {
                return Err(format!("phases.change_bytes[{at}]: expected 256 to {most}, not {bytes}"));
            }
        }
        Ok(read)
    }
}
