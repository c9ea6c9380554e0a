//! Settings for scopes, and how they are merged for a member by its locality. Settings of wider scopes come first, and those of
//! narrower scopes override them, key by key at the top level.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use twox_hash::XxHash32;

use crate::members::MAX_TEXT_BYTES;
use crate::version::Version;

/// Versions of one scope that are kept for inspection and rollback.
pub const MAX_SCOPE_HISTORY: usize = 16;
/// Maximum number of scopes: several times the services, zones and regions of the largest fleet, and some single members.
pub const MAX_SCOPES: usize = 1024;
/// Maximum total size of the settings of all scopes with their histories: a snapshot has to fit into one frame
/// (`messages::MAX_FRAME_BYTES`, 32 MiB), half of which may be taken by the versions of the settings for the whole fleet.
pub const MAX_SCOPED_BYTES: usize = 12 << 20;

/// The locality of a member, from its own configuration file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The service that it sends requests to, whose endpoints it discovers.
    pub service: Option<String>,
    pub zone: Option<String>,
    pub region: Option<String>,
}

impl Locality {
    /// # Errors
    /// The invalid name.
    pub fn check(&self) -> Result<(), String> {
        for (key, name) in [("service", &self.service), ("zone", &self.zone), ("region", &self.region)] {
            if name.as_ref().is_some_and(|name| name.is_empty() || name.len() > MAX_TEXT_BYTES) {
                return Err(format!("{key}: expected a name of {MAX_TEXT_BYTES} bytes at the most"));
            }
        }
        Ok(())
    }

    /// The key by which evidence is separated: 0 without a service.
    pub fn service_hash(&self) -> u32 {
        self.service.as_ref().map_or(0, |name| XxHash32::oneshot(0, name.as_bytes()).max(1))
    }
}

/// A part of the fleet that settings are written for, in order of precedence: later variants override earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    All,
    Region(String),
    Zone(String),
    Service(String),
    Member(String),
}

impl Scope {
    /// Whether a member with this name and locality belongs to it.
    pub fn contains(&self, name: &str, locality: &Locality) -> bool {
        let is = |own: &Option<String>, of: &String| own.as_ref() == Some(of);
        match self {
            Scope::All => true,
            Scope::Region(of) => is(&locality.region, of),
            Scope::Zone(of) => is(&locality.zone, of),
            Scope::Service(of) => is(&locality.service, of),
            Scope::Member(of) => of == name,
        }
    }

    fn name(&self) -> &str {
        match self {
            Scope::All => "",
            Scope::Region(name) | Scope::Zone(name) | Scope::Service(name) | Scope::Member(name) => name,
        }
    }

    /// All scopes except `All` that a member with this name and locality belongs to, in order of precedence.
    fn of(name: &str, locality: &Locality) -> impl Iterator<Item = Scope> {
        let Locality { service, zone, region } = locality.clone();
        let scopes = [
            region.map(Scope::Region),
            zone.map(Scope::Zone),
            service.map(Scope::Service),
            Some(Scope::Member(name.to_string())),
        ];
        scopes.into_iter().flatten()
    }

    /// # Errors
    /// Why its name is invalid.
    pub fn check(&self) -> Result<(), String> {
        if *self != Scope::All && (self.name().is_empty() || self.name().len() > MAX_TEXT_BYTES) {
            return Err(format!("expected a name of {MAX_TEXT_BYTES} bytes at the most in '{self}'"));
        }
        Ok(())
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Scope::All => write!(f, "all"),
            Scope::Region(name) => write!(f, "region={name}"),
            Scope::Zone(name) => write!(f, "zone={name}"),
            Scope::Service(name) => write!(f, "service={name}"),
            Scope::Member(name) => write!(f, "member={name}"),
        }
    }
}

impl FromStr for Scope {
    type Err = String;
    fn from_str(text: &str) -> Result<Scope, String> {
        let named = |name: &str| name.to_string();
        let scope = match text.split_once('=') {
            None if text == "all" => return Ok(Scope::All),
            Some(("region", name)) => Scope::Region(named(name)),
            Some(("zone", name)) => Scope::Zone(named(name)),
            Some(("service", name)) => Scope::Service(named(name)),
            Some(("member", name)) => Scope::Member(named(name)),
            _ => {
                return Err(format!("expected all, region=…, zone=…, service=… or member=…, not '{text}'"));
            }
        };
        scope.check().map(|()| scope)
    }
}

/// A version of the settings of one scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScopedSettings {
    pub version: Version,
    /// JSON text, or `None` if the settings were removed.
    pub settings: Option<String>,
    #[serde(rename = "by")]
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
    /// By the operator's clock; for display only.
    pub at_ms: u64,
    /// The version whose settings it restores, if it is a rollback.
    #[serde(rename = "back_to")]
    pub rollback_to: Option<Version>,
}

impl ScopedSettings {
    fn bytes(&self) -> usize {
        self.settings.as_ref().map_or(0, String::len) + self.author.len() + self.reason.len()
    }
}

/// The limit that prevents a write for a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScopeLimit {
    Scopes,
    Bytes,
}

impl fmt::Display for ScopeLimit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScopeLimit::Scopes => write!(f, "there are {MAX_SCOPES} scopes with settings: remove one first"),
            ScopeLimit::Bytes => {
                write!(f, "the settings of all scopes would have more than {MAX_SCOPED_BYTES} bytes")
            }
        }
    }
}

/// The settings of all scopes other than `All`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scopes {
    of: BTreeMap<Scope, VecDeque<ScopedSettings>>,
    /// Every member gets its settings again as of this version: after a restore, or when a removed scope was evicted.
    floor: Version,
}

impl Scopes {
    /// Whether nothing was ever written for a scope.
    pub fn is_empty(&self) -> bool {
        *self == Scopes::default()
    }

    /// The latest write for a scope.
    pub fn latest(&self, scope: &Scope) -> Option<&ScopedSettings> {
        self.of.get(scope)?.back()
    }

    /// The kept versions of a scope, oldest first.
    pub fn history(&self, scope: &Scope) -> impl Iterator<Item = &ScopedSettings> {
        self.of.get(scope).into_iter().flatten()
    }

    /// All scopes with a kept version, and their latest write.
    pub fn iter(&self) -> impl Iterator<Item = (&Scope, &ScopedSettings)> {
        self.of.iter().filter_map(|(scope, history)| Some((scope, history.back()?)))
    }

    fn bytes(&self) -> usize {
        self.of.values().flatten().map(ScopedSettings::bytes).sum()
    }

    /// Stores a write for a scope. If there is no room, scopes whose settings were removed, and the oldest versions that are
    /// not current, are evicted.
    ///
    /// # Errors
    /// The exceeded limit; then nothing has changed.
    pub fn put(&mut self, scope: &Scope, scoped: ScopedSettings) -> Result<(), ScopeLimit> {
        // Danger: versions that are not current must not be counted here, or removing a scope would make no room.
        let others = self.iter().filter(|(other, _)| *other != scope);
        if others.map(|(_, last)| last.bytes()).sum::<usize>() + scoped.bytes() > MAX_SCOPED_BYTES {
            return Err(ScopeLimit::Bytes);
        }
        if !self.of.contains_key(scope) && self.of.len() >= MAX_SCOPES {
            let removed = self.iter().filter(|(_, last)| last.settings.is_none());
            let oldest = removed.min_by_key(|(_, last)| last.version);
            let (gone, version) =
                oldest.map(|(scope, last)| (scope.clone(), last.version)).ok_or(ScopeLimit::Scopes)?;
            // Danger: a member that was away when that scope was removed would never learn of it.
            self.of.remove(&gone);
            self.floor = self.floor.max(version);
        }
        let history = self.of.entry(scope.clone()).or_default();
        history.push_back(scoped);
        if history.len() > MAX_SCOPE_HISTORY {
            history.pop_front();
        }
        let mut over = self.bytes().saturating_sub(MAX_SCOPED_BYTES);
        while over > 0 {
            let histories = self.of.values_mut().filter(|history| history.len() > 1);
            let oldest = histories.min_by_key(|history| history.front().map(|scoped| scoped.version));
            let Some(gone) = oldest.and_then(VecDeque::pop_front) else { break };
            over = over.saturating_sub(gone.bytes());
        }
        Ok(())
    }

    /// Makes every member get its settings again as of this version.
    pub fn raise_floor(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// The version of the settings that apply to a member, as in `merged`, without the text.
    pub fn version_for(&self, all: Option<Version>, name: &str, locality: &Locality) -> Option<Version> {
        let own = Scope::of(name, locality).filter_map(|scope| Some(self.latest(&scope)?.version));
        // Danger: a scope that contained a member may have been evicted, with no other scope left that does.
        let floor = (self.floor != Version::default()).then_some(self.floor);
        own.chain(all).chain(floor).max()
    }

    /// The settings that apply to a member: their version, by which it knows whether it has them, and the merged text. `None` if
    /// nothing was ever written for the member. `all` is the write for the whole fleet.
    pub fn merged(
        &self,
        all: Option<(Version, &str)>,
        name: &str,
        locality: &Locality,
    ) -> Option<(Version, String)> {
        let own = Scope::of(name, locality).filter_map(|scope| self.latest(&scope));
        let own: Vec<&ScopedSettings> = own.collect();
        let texts = own.iter().filter_map(|scoped| scoped.settings.as_deref());
        let texts: Vec<&str> = all.iter().map(|(_, text)| *text).chain(texts).collect();
        let version = self.version_for(all.map(|(version, _)| version), name, locality)?;
        // A single text is returned as it was written.
        Some((version, if let [one] = texts[..] { one.to_string() } else { merge_texts(&texts) }))
    }

    /// Each combination of scopes among these members, with one member as an example: a write is checked for all combinations.
    pub fn combinations<'a>(
        &self,
        members: impl Iterator<Item = (&'a str, &'a Locality)>,
    ) -> BTreeMap<Vec<Scope>, (&'a str, &'a Locality)> {
        let combinations = members.map(|(name, locality)| {
            let there = |scope: &Scope| self.latest(scope).is_some_and(|last| last.settings.is_some());
            (Scope::of(name, locality).filter(there).collect(), (name, locality))
        });
        combinations.collect()
    }
}

/// Merges texts: top-level keys of later ones replace those of earlier ones. A text that is not a JSON object is ignored.
fn merge_texts(texts: &[&str]) -> String {
    let mut merged = Map::new();
    for text in texts {
        if let Ok(Value::Object(fields)) = serde_json::from_str(text) {
            merged.extend(fields);
        }
    }
    Value::Object(merged).to_string()
}
