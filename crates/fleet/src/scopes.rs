//! Settings for a part of the fleet: what is put for each scope, and what a member's locality makes of it. Scopes of more
//! members come first, and those of fewer win, key by key at the top of the settings.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use twox_hash::XxHash32;

use crate::members::MAX_TEXT_BYTES;
use crate::version::Version;

/// Versions of one scope that are kept for a look back and a way back.
pub const MAX_SCOPE_HISTORY: usize = 16;
/// Scopes at the most: several times the services, zones and regions of the largest fleet, and some single members.
pub const MAX_SCOPES: usize = 1024;
/// Bytes of all that is put for scopes together, their histories too: a snapshot goes in one frame (`messages::FRAME_MOST`, 32 MiB), half
/// of which may hold the versions of what is put for all.
pub const MAX_SCOPED_BYTES: usize = 12 << 20;

/// What a member belongs to, as its own file says.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The service that it sends to, whose list of endpoints it follows.
    pub service: Option<String>,
    pub zone: Option<String>,
    pub region: Option<String>,
}

impl Locality {
    /// # Errors
    /// Which of the names is none.
    pub fn check(&self) -> Result<(), String> {
        for (key, name) in [("service", &self.service), ("zone", &self.zone), ("region", &self.region)] {
            if name.as_ref().is_some_and(|name| name.is_empty() || name.len() > MAX_TEXT_BYTES) {
                return Err(format!("{key}: expected a name of {MAX_TEXT_BYTES} bytes at the most"));
            }
        }
        Ok(())
    }

    /// By which evidence is kept apart: nought for none.
    pub fn service_hash(&self) -> u32 {
        self.service.as_ref().map_or(0, |name| XxHash32::oneshot(0, name.as_bytes()).max(1))
    }
}

/// A part of the fleet that settings are put for, in the order of precedence: later ones win.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    All,
    Region(String),
    Zone(String),
    Service(String),
    Member(String),
}

impl Scope {
    /// Whether a member of this name and locality belongs to it.
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

    /// All scopes that a member of this name and locality belongs to but `All`, in the order of precedence.
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
    /// What is wrong with its name.
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

/// A version of what is put for one scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScopedSettings {
    pub version: Version,
    /// As JSON text; none where the scope has been taken away.
    pub settings: Option<String>,
    #[serde(rename = "by")]
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
    /// Of the operator's clock: to be shown, and for nothing else.
    pub at_ms: u64,
    /// The version that it goes back to.
    #[serde(rename = "back_to")]
    pub rollback_to: Option<Version>,
}

impl ScopedSettings {
    fn bytes(&self) -> usize {
        self.settings.as_ref().map_or(0, String::len) + self.author.len() + self.reason.len()
    }
}

/// Why nothing is put for a scope.
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

/// What is put for scopes other than `All`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scopes {
    of: BTreeMap<Scope, VecDeque<ScopedSettings>>,
    /// As of which version all are told anew, whatever concerns them: a state that was put back, or a scope of which nothing
    /// is kept any more.
    floor: Version,
}

impl Scopes {
    /// Whether nothing was ever put: then all is as in a fleet without scopes.
    pub fn is_empty(&self) -> bool {
        *self == Scopes::default()
    }

    /// Of a scope, what was put last.
    pub fn latest(&self, scope: &Scope) -> Option<&ScopedSettings> {
        self.of.get(scope)?.back()
    }

    /// The versions of a scope that are kept, the oldest first.
    pub fn history(&self, scope: &Scope) -> impl Iterator<Item = &ScopedSettings> {
        self.of.get(scope).into_iter().flatten()
    }

    /// All scopes for which something was put, and what was put last.
    pub fn iter(&self) -> impl Iterator<Item = (&Scope, &ScopedSettings)> {
        self.of.iter().filter_map(|(scope, history)| Some((scope, history.back()?)))
    }

    fn bytes(&self) -> usize {
        self.of.values().flatten().map(ScopedSettings::bytes).sum()
    }

    /// Takes what is put for a scope. Where there is no room for all, scopes that were removed and the oldest versions of all
    /// that hold no more give way.
    ///
    /// # Errors
    /// What there is no room for; nothing has changed then.
    pub fn put(&mut self, scope: &Scope, scoped: ScopedSettings) -> Result<(), ScopeLimit> {
        // Danger: were versions that hold no more counted here, removing a scope would make no room.
        let others = self.iter().filter(|(other, _)| *other != scope);
        if others.map(|(_, last)| last.bytes()).sum::<usize>() + scoped.bytes() > MAX_SCOPED_BYTES {
            return Err(ScopeLimit::Bytes);
        }
        if !self.of.contains_key(scope) && self.of.len() >= MAX_SCOPES {
            let removed = self.iter().filter(|(_, last)| last.settings.is_none());
            let oldest = removed.min_by_key(|(_, last)| last.version);
            let (gone, version) =
                oldest.map(|(scope, last)| (scope.clone(), last.version)).ok_or(ScopeLimit::Scopes)?;
            // Danger: who was away when that scope was removed would never hear of it.
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

    /// Everybody is told anew as of this version.
    pub fn raise_floor(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// The version of what holds for a member, as `merged` has it, without its text.
    pub fn version_for(&self, all: Option<Version>, name: &str, locality: &Locality) -> Option<Version> {
        let own = Scope::of(name, locality).filter_map(|scope| Some(self.latest(&scope)?.version));
        // Danger: what concerned a member may be gone from here, and nothing else be put that does.
        let floor = (self.floor != Version::default()).then_some(self.floor);
        own.chain(all).chain(floor).max()
    }

    /// What holds for a member: the version by which it knows whether it has it, and the text. None where nothing was ever put
    /// that concerns it, and it is not known otherwise. `all` is what was put for all.
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
        // As it was put, where nothing else concerns it.
        Some((version, if let [one] = texts[..] { one.to_string() } else { overlaid(&texts) }))
    }

    /// Each way in which these members' scopes come together, with one name for it: what is put is checked for all of them.
    pub fn combinations<'a>(
        &self,
        members: impl Iterator<Item = (&'a str, &'a Locality)>,
    ) -> BTreeMap<Vec<Scope>, (&'a str, &'a Locality)> {
        let ways = members.map(|(name, locality)| {
            let there = |scope: &Scope| self.latest(scope).is_some_and(|last| last.settings.is_some());
            (Scope::of(name, locality).filter(there).collect(), (name, locality))
        });
        ways.collect()
    }
}

/// One text of several: keys at the top of later ones stand in place of those of earlier ones. What is no object has none.
fn overlaid(texts: &[&str]) -> String {
    let mut whole = Map::new();
    for text in texts {
        if let Ok(Value::Object(fields)) = serde_json::from_str(text) {
            whole.extend(fields);
        }
    }
    Value::Object(whole).to_string()
}
