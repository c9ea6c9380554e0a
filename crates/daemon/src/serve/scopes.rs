//! Settings of scopes: caches the merged settings of members, validates a write against every combination of scopes that it
//! affects, and reports the state of each scope.

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

use appledyke_sidecar::config::check_agreed;
use appledyke_sidecar::net::slots::Key;
use serde_json::Value;

use super::{ActiveReplica, Daemon};

/// Bytes of merged settings that are cached: the largest size for a hundred services. The cache is emptied when it is full.
const MAX_CACHED_BYTES: usize = 64 << 20;

/// Time spent on validating a write before the event loop goes on: well under the shortest heartbeat interval.
const VALIDATION_SLICE: Span = Span::from_millis(10);

/// Caches merged settings by locality and, for a member with a scope of its own, by its name. Danger: merging them for each
/// report would cost a leader more than all its other work.
#[derive(Default)]
pub(super) struct MergedSettingsCache {
    entries: BTreeMap<(Locality, Option<String>), (Version, String)>,
    bytes: usize,
}

impl MergedSettingsCache {
    /// The merged settings of a member, if they are newer than the version it knows.
    pub(super) fn newer_than(
        &mut self,
        fleet: &Fleet,
        name: &str,
        locality: &Locality,
        known_version: Version,
    ) -> Option<(Version, String)> {
        let version = fleet.version_for(name, locality).filter(|version| *version > known_version)?;
        if fleet.scopes().is_empty() {
            return fleet.settings_for(name, locality);
        }
        let own = fleet.scopes().latest(&Scope::Member(name.to_string())).map(|_| name.to_string());
        let key = (locality.clone(), own);
        if let Some(cached) = self.entries.get(&key).filter(|(of, _)| *of == version) {
            return Some(cached.clone());
        }
        let merged = fleet.settings_for(name, locality)?;
        self.bytes -= self.entries.remove(&key).map_or(0, |(_, text)| text.len());
        if self.bytes + merged.1.len() > MAX_CACHED_BYTES {
            (self.entries, self.bytes) = (BTreeMap::new(), 0);
        }
        self.bytes += merged.1.len();
        self.entries.insert(key, merged.clone());
        Some(merged)
    }
}

/// The members that report to this leader, each with the settings version it has applied and its locality.
fn reporting_members<'a>(
    now: Moment,
    tracker: &'a MemberTracker,
    localities: &'a BTreeMap<String, Locality>,
) -> impl Iterator<Item = (&'a str, Version, &'a Locality)> {
    static NONE: Locality = Locality { service: None, zone: None, region: None };
    tracker
        .active_versions(now)
        .map(move |(name, version)| (name, version, localities.get(name).unwrap_or(&NONE)))
}

/// The name and locality of a member that belongs to this scope and to no other but `all`.
fn sole_member_of(scope: &Scope) -> (String, Locality) {
    let (mut name, mut locality) = (String::new(), Locality::default());
    match scope.clone() {
        Scope::All => {}
        Scope::Region(region) => locality.region = Some(region),
        Scope::Zone(zone) => locality.zone = Some(zone),
        Scope::Service(service) => locality.service = Some(service),
        Scope::Member(member) => name = member,
    }
    (name, locality)
}

fn join_names(scopes: &[Scope]) -> String {
    let names: Vec<String> = scopes.iter().map(Scope::to_string).collect();
    names.join(", ")
}

/// A settings write that is being validated, with the settings as they would be once it is committed. Danger: for hundreds of
/// services validation takes longer than an election timeout, so the event loop does it in slices.
pub(super) struct Validation {
    key: Key,
    number: u64,
    scope: Scope,
    write: Write,
    all: Option<(Version, String)>,
    scopes: Scopes,
    /// The combinations of scopes that are left to check, each with the name and locality of a member it applies to.
    remaining: VecDeque<(Vec<Scope>, String, Locality)>,
}

impl Validation {
    /// The connection and the request number of the operator who waits for the outcome.
    pub(super) fn requester(&self) -> (Key, u64) {
        (self.key, self.number)
    }

    /// Checks the merged settings of the next combination; none once all are checked.
    fn next(&mut self, template: &Value) -> Option<Result<(), String>> {
        let (combination, name, locality) = self.remaining.pop_front()?;
        let all = self.all.as_ref().map(|(version, text)| (*version, text.as_str()));
        let Some((_, merged)) = self.scopes.merged(all, &name, &locality) else { return Some(Ok(())) };
        let for_scopes = |what: String| match &combination[..] {
            [] => what,
            scopes => format!("for {}: {what}", join_names(scopes)),
        };
        if merged.len() > MAX_SETTINGS_BYTES {
            let size = merged.len();
            return Some(Err(for_scopes(format!(
                "the settings would have {size} bytes, {MAX_SETTINGS_BYTES} at the most"
            ))));
        }
        Some(check_agreed(template, &merged).map_err(for_scopes))
    }
}

/// The combinations of scopes that a change of one scope affects: those that occur among the members, and each scope on its
/// own.
fn scope_combinations(
    scopes: &Scopes,
    changed: &Scope,
    members: &[(&str, &Locality)],
) -> VecDeque<(Vec<Scope>, String, Locality)> {
    let is_set = |scope: &&Scope| scopes.latest(scope).is_some_and(|last| last.settings.is_some());
    let affected: Vec<&Scope> = match changed {
        Scope::All => scopes.iter().map(|(scope, _)| scope).filter(is_set).collect(),
        one => iter::once(one).filter(is_set).collect(),
    };
    let sole: Vec<(String, Locality)> = affected.into_iter().map(sole_member_of).collect();
    let sole = sole.iter().map(|(name, locality)| (name.as_str(), locality));
    let (nobody, nowhere) = (String::new(), Locality::default());
    let base = iter::once((nobody.as_str(), &nowhere)).filter(|_| *changed == Scope::All);
    let in_scope = members.iter().copied().filter(|(name, locality)| changed.contains(name, locality));
    let combinations = scopes.combinations(base.chain(sole).chain(in_scope)).into_iter();
    combinations
        .map(|(combination, (name, locality))| (combination, name.to_string(), locality.clone()))
        .collect()
}

fn as_scoped(written: &SettingsVersion) -> ScopedSettings {
    let SettingsVersion { version, settings, author, reason, at_ms, rollback_to, .. } = written.clone();
    ScopedSettings { version, settings: Some(settings), author, reason, at_ms, rollback_to }
}

impl ActiveReplica {
    /// Records the locality that a member reports.
    pub(super) fn record_locality(&mut self, name: &str, locality: &Locality) {
        if *locality == Locality::default() {
            self.localities.remove(name);
        } else if self.localities.get(name) != Some(locality) {
            self.localities.insert(name.to_string(), locality.clone());
        }
    }

    /// Prepares the validation of a write against all scopes, or says why the write is refused.
    fn begin_validation(
        &self,
        now: Moment,
        (key, number): (Key, u64),
        scope: &Scope,
        write: Write,
    ) -> Result<Validation, String> {
        let fleet = &self.fleet;
        let mut scopes = fleet.scopes().clone();
        let mut all = fleet.settings().map(|written| (written.version, written.settings.clone()));
        let next_version = Version { number: fleet.version().number + 1, ..fleet.version() };
        if *scope == Scope::All {
            all = match &write.change {
                SettingsChange::Put(settings, ..) => Some((next_version, settings.clone())),
                SettingsChange::Rollback(version) => {
                    let back = fleet.history().find(|written| written.version == *version);
                    back.map(|written| (next_version, written.settings.clone()))
                }
                SettingsChange::Remove => all,
            };
        } else {
            let settings = match &write.change {
                SettingsChange::Put(settings, ..) => Some(settings.clone()),
                SettingsChange::Rollback(version) => {
                    let back = scopes.history(scope).find(|scoped| scoped.version == *version);
                    // The state refuses a rollback to a version that is not in the history.
                    back.and_then(|back| back.settings.clone())
                }
                SettingsChange::Remove => None,
            };
            if let Some(text) = &settings {
                // Danger: a value that is not an object has no keys, so merging it would ignore it without an error.
                let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
                    return Err(format!("for {scope}: settings: expected a JSON object"));
                };
                if let Some(key) = ["budgets", "groups"].into_iter().find(|key| fields.contains_key(*key)) {
                    return Err(format!(
                        "for {scope}: settings.{key}: can be put only for the whole fleet, not for a scope"
                    ));
                }
            }
            let (author, reason, at_ms) = (write.author.clone(), write.reason.clone(), write.at_ms);
            let scoped =
                ScopedSettings { version: next_version, settings, author, reason, at_ms, rollback_to: None };
            scopes.put(scope, scoped).map_err(|full| full.to_string())?;
        }
        let members: Vec<(&str, &Locality)> = self
            .tracker
            .iter()
            .flat_map(|tracker| reporting_members(now, tracker, &self.localities))
            .map(|(name, _, locality)| (name, locality))
            .collect();
        let remaining = scope_combinations(&scopes, scope, &members);
        Ok(Validation { key, number, scope: scope.clone(), write, all, scopes, remaining })
    }

    /// The state of each scope that settings were put for; that of the whole fleet comes first.
    fn scope_rows(&self, now: Moment) -> Vec<ScopeRow> {
        let fleet = &self.fleet;
        let members =
            self.tracker.iter().flat_map(|tracker| reporting_members(now, tracker, &self.localities));
        let members: Vec<(&str, &Locality, bool)> = members
            .map(|(name, applied_version, locality)| {
                let up_to_date =
                    fleet.version_for(name, locality).is_none_or(|version| applied_version >= version);
                (name, locality, up_to_date)
            })
            .collect();
        let row = |scope: &Scope, version, bytes: Option<usize>| {
            let in_scope = members.iter().filter(|(name, locality, _)| scope.contains(name, locality));
            let acting = in_scope.clone().filter(|(_, _, up_to_date)| *up_to_date).count() as u64;
            let (scope, bytes) = (scope.clone(), bytes.map(|bytes| bytes as u64));
            ScopeRow { scope, version, bytes, members: in_scope.count() as u64, acting }
        };
        let all = fleet.settings().map(|w| row(&Scope::All, w.version, Some(w.settings.len())));
        let scopes = fleet.scopes().iter();
        let other_scopes =
            scopes.map(|(of, last)| row(of, last.version, last.settings.as_ref().map(String::len)));
        all.into_iter().chain(other_scopes).collect()
    }

    /// The merged settings of a member; none if the member is unknown or no settings apply to it.
    fn settings_for(&self, name: &str) -> Option<MergedSettings> {
        let known = self
            .tracker
            .as_ref()
            .is_some_and(|tracker| tracker.last_reports().any(|(other, _)| other == name));
        if !known && !self.fleet.members().contains_key(name) {
            return None;
        }
        let locality = self.localities.get(name).cloned();
        let known_locality = locality.clone().unwrap_or_default();
        let (version, settings) = self.fleet.settings_for(name, &known_locality)?;
        let scopes = self.fleet.scopes().combinations(iter::once((name, &known_locality)));
        let applicable = scopes.into_keys().flatten();
        let all = self.fleet.settings().map(|_| Scope::All);
        let sources =
            all.into_iter().chain(applicable).map(|scope| (scope.clone(), self.fleet.scope_version(&scope)));
        Some(MergedSettings { version, settings, locality, sources: sources.collect() })
    }

    /// Whether a write has to wait for the outcome of an earlier one. Danger: two writes that are each valid on their own, and
    /// validated without one another, may be invalid together.
    fn must_wait(&self, scope: &Scope) -> bool {
        let (last_index, scoped) = self.pending_settings;
        let scopes_matter = scoped || *scope != Scope::All || !self.fleet.scopes().is_empty();
        scopes_matter && self.fleet.applied() < last_index && self.replica.role() == Role::Leader
    }

    /// Notes that a settings write for this scope was proposed as the last log entry.
    pub(super) fn settings_proposed(&mut self, scope: &Scope) {
        self.pending_settings = (self.replica.last_position().index, *scope != Scope::All);
    }

    /// Answers a request about scopes.
    pub(super) fn answer_scopes(&self, now: Moment, request: &OperatorRequest) -> OperatorReply {
        match request {
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
                let members =
                    self.tracker.iter().flat_map(|tracker| reporting_members(now, tracker, &self.localities));
                let rows = members.map(|(name, _, locality)| (name.to_string(), locality.clone()));
                OperatorReply::Localities(rows.collect())
            }
            _ => OperatorReply::Done,
        }
    }
}

impl Daemon {
    /// Begins to validate a write against all scopes; the write is proposed once that succeeds. Returns the reply if there is
    /// one already.
    pub(super) fn check_scoped(
        &mut self,
        key: Key,
        number: u64,
        scope: &Scope,
        write: Write,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(active) = &self.active else { return Err(ReplicaError::NotLeader(None)) };
        // Checked for the first scope alone: once one exists, all voters have spoken this version, and a voter that is away must
        // not block later writes.
        if *scope != Scope::All
            && active.fleet.scopes().is_empty()
            && let Some((replica_id, why)) = self.outdated_voter(active)
        {
            // Danger: the reply is `Invalid` and not `Refused`, because a former leader that does not know it was replaced
            // would refuse for good a write that the current leader may have accepted.
            return Ok(Some(OperatorReply::Invalid(format!(
                "not before all daemons speak version {VERSION}: place {replica_id} {why}"
            ))));
        }
        match active.begin_validation(self.now, (key, number), scope, write) {
            Ok(validation) => {
                self.validation = Some(validation);
                Ok(None)
            }
            Err(why) => Ok(Some(OperatorReply::Invalid(why))),
        }
    }

    /// A voter that has not sent a hello of this protocol version, and what is known of it. Danger: a replica of an older
    /// version skips commands it cannot decode, and its state diverges from then on.
    fn outdated_voter(&self, active: &ActiveReplica) -> Option<(u16, String)> {
        let own = active.replica.id();
        let protocol_version = |id: &Id| {
            let peers = self.peers.iter().map(|(_, peer)| peer);
            let of = peers.filter(|peer| peer.initiator == Some(Initiator::Replica(*id)));
            of.map(|peer| peer.protocol_version).max()
        };
        let voters = active.replica.voters();
        let other_voters = voters.iter().filter(|id| **id != own);
        other_voters.map(|id| (id.replica_id, protocol_version(id))).find_map(
            |(replica_id, protocol_version)| match protocol_version {
                Some(version) if version >= VERSION => None,
                Some(version) => Some((replica_id, format!("speaks {version}"))),
                None => Some((replica_id, "is not heard".to_string())),
            },
        )
    }

    /// Queues a write that has to wait for an earlier one. It is handled again once the outcome of the earlier one is known or
    /// this replica is no longer the leader.
    pub(super) fn queue_if_blocked(&mut self, key: Key, number: u64, request: &OperatorRequest) -> bool {
        let scope = match request {
            OperatorRequest::Write(_) => &Scope::All,
            OperatorRequest::WriteScoped { scope, .. } => scope,
            _ => return false,
        };
        let blocked =
            self.validation.is_some() || self.active.as_ref().is_some_and(|active| active.must_wait(scope));
        if blocked {
            self.queued_writes.push_back((key, number, request.clone()));
        }
        blocked
    }

    /// Continues the validation in progress for one slice of time; once it is done, handles the queued writes that need not
    /// wait any longer.
    pub(super) fn continue_validation(&mut self) {
        let until = self.time() + VALIDATION_SLICE;
        while let Some(validation) = &mut self.validation {
            let (key, number) = (validation.key, validation.number);
            match validation.next(&self.template) {
                Some(Ok(())) if self.time() >= until => return,
                Some(Ok(())) => {}
                Some(Err(why)) => {
                    self.validation = None;
                    self.reply(key, number, OperatorReply::Invalid(why));
                }
                None => {
                    let Some(validation) = self.validation.take() else { return };
                    let done = self.propose_settings(key, number, &validation.scope, validation.write);
                    self.reply_outcome(key, number, done);
                }
            }
        }
        for _ in 0..self.queued_writes.len() {
            let Some((key, number, request)) = self.queued_writes.pop_front() else { return };
            self.on_request(key, number, request);
        }
    }

    /// Proposes a settings write that passed validation.
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
        if let (Some(active), Ok(None)) = (&mut self.active, &proposed) {
            active.settings_proposed(scope);
        }
        proposed
    }
}
