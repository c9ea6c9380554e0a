//! Settings for parts of the fleet: what holds for a member, kept until it changes; what is put is checked for all whom it
//! would concern; and how each scope stands.

use std::collections::{BTreeMap, VecDeque};
use std::iter;

use appledyke::units::{Moment, Span};
use appledyke_consensus::{Id, ReplicaError, Role};
use appledyke_fleet::Version;
use appledyke_fleet::liveness::MemberTracker;
use appledyke_fleet::messages::{
    Initiator, MergedSettings, OperatorReply, OperatorRequest, ScopeRow, VERSION,
};
use appledyke_fleet::scopes::{Locality, Scope, ScopedSettings, Scopes};
use appledyke_fleet::state::{Command, Fleet, MAX_SETTINGS_BYTES, SettingsChange, SettingsVersion, Write};
use appledyke_sidecar::launch::check_agreed;
use appledyke_sidecar::net::slots::Key;
use serde_json::Value;

use super::{Daemon, Life};

/// Bytes of merged texts that are kept: each of the largest size for a hundred services. Past them all are made anew.
const MERGED_BYTES_MOST: usize = 64 << 20;

/// How long a write is checked before all else is looked after again: well under the shortest beat.
const CHECK_FOR: Span = Span::from_millis(10);

/// Texts that were merged, by locality and, for a member with a scope of its own, its name. Danger: made anew for each report
/// they would cost a leader more than all else.
#[derive(Default)]
pub(super) struct Texts {
    of: BTreeMap<(Locality, Option<String>), (Version, String)>,
    bytes: usize,
}

impl Texts {
    /// What holds for a member, if it is later than what it knows.
    pub(super) fn later(
        &mut self,
        fleet: &Fleet,
        name: &str,
        locality: &Locality,
        knows: Version,
    ) -> Option<(Version, String)> {
        let version = fleet.version_for(name, locality).filter(|version| *version > knows)?;
        if fleet.scopes().is_empty() {
            return fleet.settings_for(name, locality);
        }
        let own = fleet.scopes().latest(&Scope::Member(name.to_string())).map(|_| name.to_string());
        let key = (locality.clone(), own);
        if let Some(kept) = self.of.get(&key).filter(|(of, _)| *of == version) {
            return Some(kept.clone());
        }
        let merged = fleet.settings_for(name, locality)?;
        self.bytes -= self.of.remove(&key).map_or(0, |(_, text)| text.len());
        if self.bytes + merged.1.len() > MERGED_BYTES_MOST {
            (self.of, self.bytes) = (BTreeMap::new(), 0);
        }
        self.bytes += merged.1.len();
        self.of.insert(key, merged.clone());
        Some(merged)
    }
}

/// The members that a leader hears, the version that each says it acts on, and what it belongs to.
fn heard<'a>(
    now: Moment,
    heard: &'a MemberTracker,
    localities: &'a BTreeMap<String, Locality>,
) -> impl Iterator<Item = (&'a str, Version, &'a Locality)> {
    static NONE: Locality = Locality { service: None, zone: None, region: None };
    heard
        .active_versions(now)
        .map(move |(name, version)| (name, version, localities.get(name).unwrap_or(&NONE)))
}

/// A name and a locality that belong to a scope and to no other.
fn alone(scope: &Scope) -> (String, Locality) {
    let (mut name, mut locality) = (String::new(), Locality::default());
    match scope.clone() {
        Scope::All => {}
        Scope::Region(of) => locality.region = Some(of),
        Scope::Zone(of) => locality.zone = Some(of),
        Scope::Service(of) => locality.service = Some(of),
        Scope::Member(of) => name = of,
    }
    (name, locality)
}

fn named(scopes: &[Scope]) -> String {
    let names: Vec<String> = scopes.iter().map(Scope::to_string).collect();
    names.join(", ")
}

/// A write of settings that is being checked, and what would hold if it were committed. Danger: for hundreds of services the
/// whole takes longer than an election, so it goes on between what else there is to do.
pub(super) struct Checking {
    key: Key,
    number: u64,
    scope: Scope,
    write: Write,
    all: Option<(Version, String)>,
    scopes: Scopes,
    /// The ways in which scopes come together that are left to check, with a name and a locality for each.
    ways: VecDeque<(Vec<Scope>, String, Locality)>,
}

impl Checking {
    /// Who waits for its fate, by which question.
    pub(super) fn whose(&self) -> (Key, u64) {
        (self.key, self.number)
    }

    /// What is wrong with the settings as they would be for the next way; none once there is none left.
    fn next(&mut self, template: &Value) -> Option<Result<(), String>> {
        let (combination, name, locality) = self.ways.pop_front()?;
        let all = self.all.as_ref().map(|(version, text)| (*version, text.as_str()));
        let Some((_, merged)) = self.scopes.merged(all, &name, &locality) else { return Some(Ok(())) };
        let told = |what: String| match &combination[..] {
            [] => what,
            scopes => format!("for {}: {what}", named(scopes)),
        };
        if merged.len() > MAX_SETTINGS_BYTES {
            let size = merged.len();
            return Some(Err(told(format!(
                "the settings would have {size} bytes, {MAX_SETTINGS_BYTES} at the most"
            ))));
        }
        Some(check_agreed(template, &merged).map_err(told))
    }
}

/// The ways in which scopes come together where one has changed: among these members, and by themselves.
fn ways(
    scopes: &Scopes,
    changed: &Scope,
    members: &[(&str, &Locality)],
) -> VecDeque<(Vec<Scope>, String, Locality)> {
    let there = |scope: &&Scope| scopes.latest(scope).is_some_and(|last| last.settings.is_some());
    let above: Vec<&Scope> = match changed {
        Scope::All => scopes.iter().map(|(scope, _)| scope).filter(there).collect(),
        one => iter::once(one).filter(there).collect(),
    };
    let lone: Vec<(String, Locality)> = above.into_iter().map(alone).collect();
    let lone = lone.iter().map(|(name, locality)| (name.as_str(), locality));
    let (nobody, nowhere) = (String::new(), Locality::default());
    let base = iter::once((nobody.as_str(), &nowhere)).filter(|_| *changed == Scope::All);
    let concerned = members.iter().copied().filter(|(name, locality)| changed.contains(name, locality));
    let ways = scopes.combinations(base.chain(lone).chain(concerned)).into_iter();
    ways.map(|(combination, (name, locality))| (combination, name.to_string(), locality.clone())).collect()
}

fn as_scoped(written: &SettingsVersion) -> ScopedSettings {
    let SettingsVersion { version, settings, author: by, reason: why, at_ms, rollback_to: back_to, .. } =
        written.clone();
    ScopedSettings { version, settings: Some(settings), author: by, reason: why, at_ms, rollback_to: back_to }
}

impl Life {
    /// What a member belongs to, as it says.
    pub(super) fn belongs(&mut self, name: &str, locality: &Locality) {
        if *locality == Locality::default() {
            self.localities.remove(name);
        } else if self.localities.get(name) != Some(locality) {
            self.localities.insert(name.to_string(), locality.clone());
        }
    }

    /// What is to be checked of a write where scopes are in play, or why there is no room for it.
    fn checking(
        &self,
        now: Moment,
        (key, number): (Key, u64),
        scope: &Scope,
        write: Write,
    ) -> Result<Checking, String> {
        let fleet = &self.fleet;
        let mut scopes = fleet.scopes().clone();
        let mut all = fleet.settings().map(|written| (written.version, written.settings.clone()));
        let later = Version { number: fleet.version().number + 1, ..fleet.version() };
        if *scope == Scope::All {
            all = match &write.change {
                SettingsChange::Put(settings, ..) => Some((later, settings.clone())),
                SettingsChange::Rollback(version) => {
                    let back = fleet.history().find(|written| written.version == *version);
                    back.map(|written| (later, written.settings.clone()))
                }
                SettingsChange::Remove => all,
            };
        } else {
            let settings = match &write.change {
                SettingsChange::Put(settings, ..) => Some(settings.clone()),
                SettingsChange::Rollback(version) => {
                    let back = scopes.history(scope).find(|scoped| scoped.version == *version);
                    // What is not kept is refused by the state.
                    back.and_then(|back| back.settings.clone())
                }
                SettingsChange::Remove => None,
            };
            if let Some(text) = &settings {
                // Danger: what is no object has no keys, and would say nothing of itself when it is laid over others.
                let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
                    return Err(format!("for {scope}: settings: expected a JSON object"));
                };
                if let Some(key) = ["budgets", "groups"].into_iter().find(|key| fields.contains_key(*key)) {
                    return Err(format!("for {scope}: settings.{key}: it is put for all, not for a scope"));
                }
            }
            let (by, why, at_ms) = (write.author.clone(), write.reason.clone(), write.at_ms);
            let scoped = ScopedSettings {
                version: later,
                settings,
                author: by,
                reason: why,
                at_ms,
                rollback_to: None,
            };
            scopes.put(scope, scoped).map_err(|full| full.to_string())?;
        }
        let members: Vec<(&str, &Locality)> = self
            .heard
            .iter()
            .flat_map(|of| heard(now, of, &self.localities))
            .map(|(name, _, locality)| (name, locality))
            .collect();
        let ways = ways(&scopes, scope, &members);
        Ok(Checking { key, number, scope: scope.clone(), write, all, scopes, ways })
    }

    /// How each part of the fleet stands for which something was put, all of it first.
    fn scope_rows(&self, now: Moment) -> Vec<ScopeRow> {
        let fleet = &self.fleet;
        let members = self.heard.iter().flat_map(|of| heard(now, of, &self.localities));
        let members: Vec<(&str, &Locality, bool)> = members
            .map(|(name, acts_on, locality)| {
                let acts = fleet.version_for(name, locality).is_none_or(|version| acts_on >= version);
                (name, locality, acts)
            })
            .collect();
        let row = |scope: &Scope, version, bytes: Option<usize>| {
            let own = members.iter().filter(|(name, locality, _)| scope.contains(name, locality));
            let acting = own.clone().filter(|(_, _, acts)| *acts).count() as u64;
            let (scope, bytes) = (scope.clone(), bytes.map(|bytes| bytes as u64));
            ScopeRow { scope, version, bytes, members: own.count() as u64, acting }
        };
        let all = fleet.settings().map(|w| row(&Scope::All, w.version, Some(w.settings.len())));
        let scopes = fleet.scopes().iter();
        let others = scopes.map(|(of, last)| row(of, last.version, last.settings.as_ref().map(String::len)));
        all.into_iter().chain(others).collect()
    }

    /// What holds for a member; none where nobody knows of it, or nothing concerns it.
    fn settings_for(&self, name: &str) -> Option<MergedSettings> {
        let known =
            self.heard.as_ref().is_some_and(|heard| heard.last_reports().any(|(other, _)| other == name));
        if !known && !self.fleet.members().contains_key(name) {
            return None;
        }
        let locality = self.localities.get(name).cloned();
        let of = locality.clone().unwrap_or_default();
        let (version, settings) = self.fleet.settings_for(name, &of)?;
        let scopes = self.fleet.scopes().combinations(iter::once((name, &of)));
        let above = scopes.into_keys().flatten();
        let all = self.fleet.settings().map(|_| Scope::All);
        let of = all.into_iter().chain(above).map(|scope| (scope.clone(), self.fleet.scope_version(&scope)));
        Some(MergedSettings { version, settings, locality, sources: of.collect() })
    }

    /// Whether a write waits until another one's fate is known. Danger: two that are well each for itself, and checked each
    /// without the other, may be faulty together.
    fn waits(&self, scope: &Scope) -> bool {
        let (until, scoped) = self.unsettled;
        let in_play = scoped || *scope != Scope::All || !self.fleet.scopes().is_empty();
        in_play && self.fleet.applied() < until && self.replica.role() == Role::Leader
    }

    /// A write of settings was proposed there.
    pub(super) fn proposed(&mut self, scope: &Scope) {
        self.unsettled = (self.replica.last_position().index, *scope != Scope::All);
    }

    /// Answers what is asked of parts of the fleet.
    pub(super) fn answer_scopes(&self, now: Moment, ask: &OperatorRequest) -> OperatorReply {
        match ask {
            OperatorRequest::Scopes => OperatorReply::Scopes(self.scope_rows(now)),
            OperatorRequest::GetScoped { scope: Scope::All, version } => {
                let of =
                    |written: &&SettingsVersion| version.is_none_or(|version| written.version == version);
                OperatorReply::Scoped(self.fleet.history().filter(of).last().map(as_scoped))
            }
            OperatorRequest::GetScoped { scope, version } => {
                let of = |scoped: &&ScopedSettings| version.is_none_or(|version| scoped.version == version);
                OperatorReply::Scoped(self.fleet.scopes().history(scope).filter(of).last().cloned())
            }
            OperatorRequest::ScopeHistory(Scope::All) => {
                OperatorReply::ScopeHistory(self.fleet.history().map(as_scoped).collect())
            }
            OperatorRequest::ScopeHistory(scope) => {
                OperatorReply::ScopeHistory(self.fleet.scopes().history(scope).cloned().collect())
            }
            OperatorRequest::MemberSettings(name) => OperatorReply::Merged(self.settings_for(name)),
            OperatorRequest::Localities => {
                let members = self.heard.iter().flat_map(|of| heard(now, of, &self.localities));
                let rows = members.map(|(name, _, locality)| (name.to_string(), locality.clone()));
                OperatorReply::Localities(rows.collect())
            }
            _ => OperatorReply::Done,
        }
    }
}

impl Daemon {
    /// Begins to check a write where scopes are in play; it is proposed once that is done. What is to be answered at once, if
    /// anything is.
    pub(super) fn check_scoped(
        &mut self,
        key: Key,
        number: u64,
        scope: &Scope,
        write: Write,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(life) = &self.life else { return Err(ReplicaError::NotLeader(None)) };
        // Where something was put before, all spoke this version then; and one that is away must not hold up the rest.
        if *scope != Scope::All
            && life.fleet.scopes().is_empty()
            && let Some((place, why)) = self.older_voter(life)
        {
            // Danger: one that was replaced without knowing it would refuse for good what another has taken.
            return Ok(Some(OperatorReply::Invalid(format!(
                "not before all daemons speak version {VERSION}: place {place} {why}"
            ))));
        }
        match life.checking(self.now, (key, number), scope, write) {
            Ok(checking) => {
                self.checking = Some(checking);
                Ok(None)
            }
            Err(why) => Ok(Some(OperatorReply::Invalid(why))),
        }
    }

    /// A voter that has not greeted with this version, and what is known of it. Danger: a replica of an older version passes
    /// over what it can't read, and its state differs from then on.
    fn older_voter(&self, life: &Life) -> Option<(u16, String)> {
        let own = life.replica.id();
        let speaks = |id: &Id| {
            let peers = self.peers.iter().map(|(_, peer)| peer);
            let of = peers.filter(|peer| peer.who == Some(Initiator::Replica(*id)));
            of.map(|peer| peer.speaks).max()
        };
        let voters = life.replica.voters();
        let others = voters.iter().filter(|id| **id != own);
        others.map(|id| (id.replica_id, speaks(id))).find_map(|(place, speaks)| match speaks {
            Some(version) if version >= VERSION => None,
            Some(version) => Some((place, format!("speaks {version}"))),
            None => Some((place, "is not heard".to_string())),
        })
    }

    /// A write that waits for another is asked again once that one's fate is known, or this replica leads no more.
    pub(super) fn waits_for_another(&mut self, key: Key, number: u64, ask: &OperatorRequest) -> bool {
        let scope = match ask {
            OperatorRequest::Write(_) => &Scope::All,
            OperatorRequest::WriteScoped { scope, .. } => scope,
            _ => return false,
        };
        let waits = self.checking.is_some() || self.life.as_ref().is_some_and(|life| life.waits(scope));
        if waits {
            self.held.push_back((key, number, ask.clone()));
        }
        waits
    }

    /// Goes on with the write that is being checked, for a moment; then with those that have waited, as far as they wait no
    /// more.
    pub(super) fn go_on(&mut self) {
        let until = self.time() + CHECK_FOR;
        while let Some(checking) = &mut self.checking {
            let (key, number) = (checking.key, checking.number);
            match checking.next(&self.template) {
                Some(Ok(())) if self.time() >= until => return,
                Some(Ok(())) => {}
                Some(Err(why)) => {
                    self.checking = None;
                    self.reply(key, number, OperatorReply::Invalid(why));
                }
                None => {
                    let Some(checking) = self.checking.take() else { return };
                    let done = self.propose_settings(key, number, &checking.scope, checking.write);
                    self.outcome(key, number, done);
                }
            }
        }
        for _ in 0..self.held.len() {
            let Some((key, number, ask)) = self.held.pop_front() else { return };
            self.asked(key, number, ask);
        }
    }

    /// Proposes a write of settings that is well.
    pub(super) fn propose_settings(
        &mut self,
        key: Key,
        number: u64,
        scope: &Scope,
        write: Write,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let command = match scope {
            Scope::All => Command::Write(write),
            scope => Command::WriteScoped(scope.clone(), write),
        };
        let proposed = self.propose(key, number, &command);
        if let (Some(life), Ok(None)) = (&mut self.life, &proposed) {
            life.proposed(scope);
        }
        proposed
    }
}
