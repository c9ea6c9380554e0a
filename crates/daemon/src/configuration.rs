//! Reads and checks the configuration: TOML or JSON, by the file's name. Every message names the faulty key.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use appledyke::units::Span;
use serde::Deserialize;
use serde_json::Value;

/// Daemons that a fleet may have: more make each commit dearer and no fleet safer.
const DAEMONS_MOST: usize = 9;
/// Least beats in an election: fewer, and one lost message unseats a leader.
const BEATS_LEAST: u64 = 4;
const NAME_MOST: usize = 64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    pub place: u16,
    /// Where this process reaches it.
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The fleet's name: processes of another are refused.
    pub fleet: String,
    pub place: u16,
    pub listen: SocketAddr,
    /// Where this daemon keeps what it must not lose. It is its own alone.
    pub folder: PathBuf,
    /// A sidecar's file, with which settings are checked before they are proposed.
    pub template: PathBuf,
    pub daemons: Vec<Daemon>,
    /// Without a leader for this long, and up to twice as long by chance, a daemon stands for election.
    #[serde(default = "election_ms")]
    pub election_ms: u64,
    #[serde(default = "beat_ms")]
    pub beat_ms: u64,
    /// A member that is silent for this long counts as silent.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// And for this long, as gone.
    #[serde(default = "gone_ms")]
    pub gone_ms: u64,
    /// Entries between two snapshots, and between two comparisons of the state.
    #[serde(default = "compact_every")]
    pub compact_every: u64,
    #[serde(default = "compare_every")]
    pub compare_every: u64,
    /// Records of others that a member hears with an answer, and when it returns.
    #[serde(default = "evidence_each")]
    pub evidence_each: usize,
    /// The same for a member that names its service: what the largest services book with a record a member a beat.
    #[serde(default = "evidence_service")]
    pub evidence_service: usize,
    #[serde(default = "evidence_return")]
    pub evidence_return: usize,
    #[serde(default)]
    pub log: Form,
}

fn election_ms() -> u64 {
    1000
}
fn beat_ms() -> u64 {
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
fn evidence_service() -> usize {
    80
}

fn evidence_each() -> usize {
    32
}
fn evidence_return() -> usize {
    256
}

impl Configuration {
    /// # Errors
    /// The file, and the key that is at fault.
    pub fn read(path: &Path) -> Result<Configuration, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        Configuration::parse(&text, path.extension().is_some_and(|end| end == "json")).map_err(named)
    }

    fn parse(text: &str, json: bool) -> Result<Configuration, String> {
        let told =
            |path: String, what: String| format!("{path}: {}", what.lines().next().unwrap_or_default());
        let read = if json {
            let mut reader = serde_json::Deserializer::from_str(text);
            serde_path_to_error::deserialize(&mut reader)
                .map_err(|e| told(e.path().to_string(), e.inner().to_string()))
        } else {
            let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
            serde_path_to_error::deserialize(reader)
                .map_err(|e| told(e.path().to_string(), e.inner().message().to_string()))
        };
        let read: Configuration = read?;
        read.check()?;
        Ok(read)
    }

    fn check(&self) -> Result<(), String> {
        if self.fleet.is_empty() || self.fleet.len() > NAME_MOST {
            return Err(format!("fleet: expected a name of 1 to {NAME_MOST} bytes"));
        }
        let places: BTreeSet<u16> = self.daemons.iter().map(|daemon| daemon.place).collect();
        if places.len() != self.daemons.len() {
            return Err("daemons: a place stands there twice".to_string());
        }
        if !places.contains(&self.place) {
            return Err(format!("place: {} is not among the daemons", self.place));
        }
        if places.len() > DAEMONS_MOST {
            return Err(format!("daemons: expected {DAEMONS_MOST} at the most"));
        }
        if self.beat_ms == 0 || self.election_ms < BEATS_LEAST * self.beat_ms {
            return Err(format!(
                "election_ms: expected at least {BEATS_LEAST} times beat_ms, which is over 0"
            ));
        }
        if self.lease_ms < self.election_ms {
            return Err("lease_ms: expected at least election_ms, or each election would silence the fleet"
                .to_string());
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

    /// The file that settings are checked with.
    ///
    /// # Errors
    /// The file, and why it can't be used.
    pub fn template(&self) -> Result<Value, String> {
        let named = |what: String| format!("template: {}: {what}", self.template.display());
        let text = fs::read_to_string(&self.template).map_err(|e| named(e.to_string()))?;
        let file: Value = serde_json::from_str(&text).map_err(|e| named(format!("not JSON: {e}")))?;
        appledyke_sidecar::config::check_agreed(&file, "{}").map_err(named)?;
        Ok(file)
    }

    pub fn others(&self) -> BTreeMap<u16, SocketAddr> {
        let others = self.daemons.iter().filter(|daemon| daemon.place != self.place);
        others.map(|daemon| (daemon.place, daemon.address)).collect()
    }

    pub fn places(&self) -> BTreeSet<u16> {
        self.daemons.iter().map(|daemon| daemon.place).collect()
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
    fn each_faulty_key_is_named() {
        assert_eq!(Configuration::parse(GOOD, false).unwrap().others().len(), 1);
        for (from, to, said) in [
            ("place=1\nlisten", "place=3\nlisten", "place: 3 is not among the daemons"),
            ("place=2", "place=1", "daemons: a place stands there twice"),
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
