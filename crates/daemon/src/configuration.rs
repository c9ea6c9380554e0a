//! Reads and checks the configuration: TOML or JSON, by the file's extension. Every error message names the faulty key.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use appledyke::units::Span;
use serde::Deserialize;
use serde_json::Value;

/// Daemons that a fleet may have: more of them make each commit more expensive and no fleet safer.
const MAX_DAEMONS: usize = 9;
/// Heartbeats in an election timeout: with fewer, one lost message can depose a leader.
const MIN_HEARTBEATS_PER_ELECTION: u64 = 4;
const MAX_NAME_BYTES: usize = 64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonAddress {
    /// The replica id.
    #[serde(rename = "place")]
    pub replica_id: u16,
    /// The address at which this process reaches the daemon.
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The fleet's name: processes of another fleet are rejected.
    pub fleet: String,
    /// This daemon's replica id.
    #[serde(rename = "place")]
    pub replica_id: u16,
    pub listen: SocketAddr,
    /// The folder with this daemon's durable state. No other process may use it.
    pub folder: PathBuf,
    /// A sidecar's configuration file, against which settings are checked before they are proposed.
    pub template: PathBuf,
    pub daemons: Vec<DaemonAddress>,
    /// Election timeout: a daemon that hears from no leader for this long, randomized up to twice as long, starts an election.
    #[serde(default = "election_ms")]
    pub election_ms: u64,
    /// Interval of the leader's heartbeats.
    #[serde(default = "heartbeat_ms", rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// A member that has not reported for this long counts as silent.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// A member that has not reported for this long counts as gone.
    #[serde(default = "gone_ms")]
    pub gone_ms: u64,
    /// Log entries between two snapshots.
    #[serde(default = "compact_every")]
    pub compact_every: u64,
    /// Log entries between two comparisons of the replicas' states.
    #[serde(default = "compare_every")]
    pub compare_every: u64,
    /// Evidence records of other members that a member gets with the answer to a report.
    #[serde(default = "evidence_per_answer", rename = "evidence_each")]
    pub evidence_per_answer: usize,
    /// The same for a member that names its service: as many as the largest services produce with one record per member and
    /// report interval.
    #[serde(default = "evidence_per_service_answer", rename = "evidence_service")]
    pub evidence_per_service_answer: usize,
    /// The same for a member that catches up after an absence.
    #[serde(default = "evidence_per_catch_up", rename = "evidence_return")]
    pub evidence_per_catch_up: usize,
    /// The format of the log.
    #[serde(default)]
    pub log: LogFormat,
}

fn election_ms() -> u64 {
    1000
}
fn heartbeat_ms() -> u64 {
    100
}
fn lease_ms() -> u64 {
    3000
}
fn gone_ms() -> u64 {
    600_000
}
fn compact_every() -> u64 {
    512
}
fn compare_every() -> u64 {
    64
}
fn evidence_per_service_answer() -> usize {
    80
}

fn evidence_per_answer() -> usize {
    32
}
fn evidence_per_catch_up() -> usize {
    256
}

impl Configuration {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    /// The file and the faulty key.
    pub fn read(path: &Path) -> Result<Configuration, String> {
        let with_path = |what: String| format!("{}: {what}", path.display());
        let text = fs::read_to_string(path).map_err(|e| with_path(e.to_string()))?;
        Configuration::parse(&text, path.extension().is_some_and(|end| end == "json")).map_err(with_path)
    }

    fn parse(text: &str, json: bool) -> Result<Configuration, String> {
        let at_key =
            |path: String, what: String| format!("{path}: {}", what.lines().next().unwrap_or_default());
        let read = if json {
            let mut reader = serde_json::Deserializer::from_str(text);
            serde_path_to_error::deserialize(&mut reader)
                .map_err(|e| at_key(e.path().to_string(), e.inner().to_string()))
        } else {
            let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
            serde_path_to_error::deserialize(reader)
                .map_err(|e| at_key(e.path().to_string(), e.inner().message().to_string()))
        };
        let read: Configuration = read?;
        read.check()?;
        Ok(read)
    }

    fn check(&self) -> Result<(), String> {
        if self.fleet.is_empty() || self.fleet.len() > MAX_NAME_BYTES {
            return Err(format!("fleet: expected a name of 1 to {MAX_NAME_BYTES} bytes"));
        }
        let replica_ids: BTreeSet<u16> = self.daemons.iter().map(|daemon| daemon.replica_id).collect();
        if replica_ids.len() != self.daemons.len() {
            return Err("daemons: a place is listed twice".to_string());
        }
        if !replica_ids.contains(&self.replica_id) {
            return Err(format!("place: {} is not among the daemons", self.replica_id));
        }
        if replica_ids.len() > MAX_DAEMONS {
            return Err(format!("daemons: expected {MAX_DAEMONS} at the most"));
        }
        if self.heartbeat_ms == 0 || self.election_ms < MIN_HEARTBEATS_PER_ELECTION * self.heartbeat_ms {
            return Err(format!(
                "election_ms: expected at least {MIN_HEARTBEATS_PER_ELECTION} times beat_ms, which is over 0"
            ));
        }
        if self.lease_ms < self.election_ms {
            return Err(
                "lease_ms: expected at least election_ms, or each election would make all members silent"
                    .to_string(),
            );
        }
        if self.gone_ms <= self.lease_ms {
            return Err("gone_ms: expected more than lease_ms".to_string());
        }
        for (key, value) in [("compact_every", self.compact_every), ("compare_every", self.compare_every)] {
            if value == 0 {
                return Err(format!("{key}: expected a positive whole number"));
            }
        }
        Ok(())
    }

    /// Reads the sidecar configuration that settings are checked against.
    ///
    /// # Errors
    /// The file, and why it cannot be used.
    pub fn template(&self) -> Result<Value, String> {
        let with_path = |what: String| format!("template: {}: {what}", self.template.display());
        let text = fs::read_to_string(&self.template).map_err(|e| with_path(e.to_string()))?;
        let file: Value = serde_json::from_str(&text).map_err(|e| with_path(format!("not JSON: {e}")))?;
        appledyke_sidecar::config::check_agreed(&file, "{}").map_err(with_path)?;
        Ok(file)
    }

    pub fn other_daemons(&self) -> BTreeMap<u16, SocketAddr> {
        let other_daemons = self.daemons.iter().filter(|daemon| daemon.replica_id != self.replica_id);
        other_daemons.map(|daemon| (daemon.replica_id, daemon.address)).collect()
    }

    pub fn replica_ids(&self) -> BTreeSet<u16> {
        self.daemons.iter().map(|daemon| daemon.replica_id).collect()
    }

    pub fn lease(&self) -> Span {
        Span::from_millis(self.lease_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "fleet='f'\nplace=1\nlisten='127.0.0.1:0'\nfolder='d1'\ntemplate='s.json'\n\
        [[daemons]]\nplace=1\naddress='127.0.0.1:7001'\n[[daemons]]\nplace=2\naddress='127.0.0.1:7002'\n";

    #[test]
    fn errors_name_the_faulty_key() {
        assert_eq!(Configuration::parse(GOOD, false).unwrap().other_daemons().len(), 1);
        for (from, to, said) in [
            ("place=1\nlisten", "place=3\nlisten", "place: 3 is not among the daemons"),
            ("place=2", "place=1", "daemons: a place is listed twice"),
            ("fleet='f'", "fleet=''", "fleet: expected a name of 1 to 64 bytes"),
            (
                "fleet='f'",
                "fleet='f'\nbeat_ms=0",
                "election_ms: expected at least 4 times beat_ms, which is over 0",
            ),
            ("fleet='f'", "fleet='f'\ngone_ms=100", "gone_ms: expected more than lease_ms"),
            ("fleet='f'", "fleet='f'\ncompare_every=0", "compare_every: expected a positive whole number"),
        ] {
            assert_eq!(Configuration::parse(&GOOD.replacen(from, to, 1), false).unwrap_err(), said);
        }
        for (from, to, key) in [
            ("127.0.0.1:7002", "nowhere", "daemons[1].address: "),
            ("fleet='f'", "fleet='f'\nlease_ms='long'", "lease_ms: "),
            ("fleet='f'", "fleet='f'\nleese_ms=5", "leese_ms: "),
        ] {
            let said = Configuration::parse(&GOOD.replacen(from, to, 1), false).unwrap_err();
            assert!(said.starts_with(key), "{said}");
        }
        let said = Configuration::parse("{\"fleet\": 5}", true).unwrap_err();
        assert!(said.starts_with("fleet: "), "{said}");
    }
}
