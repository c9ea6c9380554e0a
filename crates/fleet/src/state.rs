//! The replicated state machine over committed log entries. The same commands in the same order give the same state on
//! every replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::budgets::{Budget, Budgets, LogPosition, ShareChange};
use crate::drains::{self, Group, OutLimitReached};
use crate::members::{MAX_GROUPS, MAX_TEXT_BYTES, Member, MemberStatus};
use crate::releases::{FleetContext, ReleaseError, ReleaseUpdate, Releases};
use crate::scopes::{Locality, Scope, ScopeLimit, ScopedSettings, Scopes};
use crate::version::Version;

/// Versions of the settings that are kept for inspection and rollback: some weeks of a busy fleet.
const MAX_HISTORY: usize = 64;
/// Writes whose answers are kept, so that a repeated write gets its first answer: many times the number that operators may
/// have in flight at once.
const MAX_WRITE_ANSWERS: usize = 256;
/// Maximum size of one settings text: it must fit into a frame and a log entry.
pub const MAX_SETTINGS_BYTES: usize = 512 * 1024;
/// Maximum number of endpoints that are out of service at once: the whole list is sent to every member.
const MAX_DRAINED_ENDPOINTS: usize = 1000;
/// Maximum number of members in the state, including those that are gone: several times the largest fleet.
const MAX_MEMBERS: usize = 20_000;

/// Identifies a write, so that a repeated one takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WriteId(pub u64, pub u64);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SettingsChange {
    /// New settings, as JSON text, with their budgets and groups.
    Put(String, Vec<Budget>, Vec<Group>),
    /// Writes the settings of an earlier version as a new version.
    Rollback(Version),
    /// Removes the settings of a scope.
    Remove,
}

/// An operator's write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub id: WriteId,
    /// Applies only if this is the current version.
    pub expected_version: Option<Version>,
    pub author: String,
    pub reason: String,
    /// By the operator's clock; for display only.
    pub at_ms: u64,
    pub change: SettingsChange,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Write(Write),
    /// The status of this incarnation of a member. A later incarnation replaces an earlier one; a command for an earlier one
    /// is refused.
    Member {
        name: String,
        incarnation: u64,
        status: MemberStatus,
        /// The groups that it belongs to, from its own configuration file.
        groups: Vec<String>,
    },
    /// Grants or releases shares of budgets.
    SetShares(ShareChange),
    /// Asks whether this member may be drained. `force` gives a reason to allow it regardless of what is out already.
    DrainMember {
        name: String,
        incarnation: u64,
        request: u64,
        force: Option<String>,
    },
    /// The member serves again, or never drained: permissions up to this request are given back.
    ReturnMember {
        name: String,
        incarnation: u64,
        request: u64,
    },
    /// Removes a member that never comes back: its groups count one member less.
    Forget(String),
    /// Takes an endpoint out of service whatever discovery says, or puts it back. `force` gives a reason to do so regardless of
    /// what is out already; `missing` lists endpoints that are unavailable by themselves, as far as the leader knows.
    Endpoint {
        name: String,
        out: bool,
        force: Option<String>,
        missing: Vec<String>,
    },
    Release(ReleaseUpdate),
    /// Settings for one scope. Danger: a replica of version 2 skips this entry, so none is proposed while such a replica votes.
    WriteScoped(Scope, Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The current version, which is not the expected one.
    VersionMismatch(Version),
    /// This version is unknown, or no longer kept.
    UnknownVersion(Version),
    /// A text is too long, or there are too many members.
    LimitExceeded,
    /// A later incarnation of the member is known.
    Superseded(u64),
    /// There is no such member, or it is still present.
    NotGone,
    OutLimitReached(OutLimitReached),
    Release(ReleaseError),
    ScopeLimit(ScopeLimit),
    /// Budgets and groups are written for the whole fleet only, not for a scope.
    GlobalOnly,
    /// Settings for the whole fleet can be replaced, but not removed.
    GlobalNotRemovable,
    /// This scope has no settings to remove.
    NothingToRemove,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::VersionMismatch(version) => write!(f, "version {version} holds, another was expected"),
            Refusal::UnknownVersion(version) => {
                write!(f, "version {version} is not known, or not kept any more")
            }
            Refusal::LimitExceeded => write!(f, "a text is too long, or there are too many members"),
            Refusal::NotGone => write!(f, "no such member, or it is there still"),
            Refusal::OutLimitReached(why) => write!(f, "{why}"),
            Refusal::Release(why) => write!(f, "{why}"),
            Refusal::ScopeLimit(why) => write!(f, "{why}"),
            Refusal::GlobalOnly => write!(f, "budgets and groups are put for all, not for a scope"),
            Refusal::GlobalNotRemovable => write!(f, "what is put for all is put anew, not removed"),
            Refusal::NothingToRemove => write!(f, "nothing is put for this scope"),
            Refusal::Superseded(incarnation) => write!(f, "incarnation {incarnation} has followed this one"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The write took effect as this version.
    Committed(Version),
    Done,
    Refused(Refusal),
}

/// A version of the settings for the whole fleet, and who wrote it why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsVersion {
    pub version: Version,
    pub settings: String,
    pub budgets: Vec<Budget>,
    pub groups: Vec<Group>,
    #[serde(rename = "by")]
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
    pub at_ms: u64,
    /// The version whose settings it restores, if it is a rollback.
    #[serde(rename = "back_to")]
    pub rollback_to: Option<Version>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    applied: Index,
    version: Version,
    history: VecDeque<SettingsVersion>,
    write_answers: VecDeque<(WriteId, Answer)>,
    members: BTreeMap<String, Member>,
    budgets: Budgets,
    /// Endpoints that are out of service, and the index of the entry that changed them last.
    endpoints: BTreeSet<String>,
    endpoints_changed_at: Index,
    releases: Releases,
    /// Danger: replicas of version 2 do not know scopes, so they are encoded only if there are any (`to_bytes`).
    #[serde(skip)]
    scopes: Scopes,
}

impl Fleet {
    /// The index of the last applied entry.
    pub fn applied(&self) -> Index {
        self.applied
    }

    pub fn version(&self) -> Version {
        self.version
    }

    /// The current settings for the whole fleet, if any were ever written.
    pub fn settings(&self) -> Option<&SettingsVersion> {
        self.history.back()
    }

    /// The kept versions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &SettingsVersion> {
        self.history.iter()
    }

    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Endpoints that are out of service, and the log position of the last change to them.
    pub fn drained_endpoints(&self) -> (LogPosition, &BTreeSet<String>) {
        (
            LogPosition { generation: self.version.generation, index: self.endpoints_changed_at },
            &self.endpoints,
        )
    }

    /// The groups of the current settings.
    pub fn groups(&self) -> &[Group] {
        self.history.back().map_or(&[], |written| &written.groups)
    }

    /// The endpoints that are named in groups.
    pub fn watched_endpoints(&self) -> impl Iterator<Item = &String> {
        self.groups().iter().flat_map(|group| &group.endpoints)
    }

    /// The endpoints that members are to watch, each once, and the hash that identifies the list: 0 for an empty one.
    pub fn watch_list(&self) -> (u64, Vec<String>) {
        let names: BTreeSet<&String> = self.watched_endpoints().collect();
        let bytes = postcard::to_stdvec(&names).expect("names have no form that cannot be written");
        let mark = if names.is_empty() { 0 } else { XxHash64::oneshot(0, &bytes) };
        (mark, names.into_iter().cloned().collect())
    }

    pub fn releases(&self) -> &Releases {
        &self.releases
    }

    pub fn scopes(&self) -> &Scopes {
        &self.scopes
    }

    /// The version of the latest write for a scope.
    pub fn scope_version(&self, scope: &Scope) -> Version {
        let last = match scope {
            Scope::All => self.history.back().map(|written| written.version),
            _ => self.scopes.latest(scope).map(|scoped| scoped.version),
        };
        last.unwrap_or(Version { generation: self.version.generation, number: 0 })
    }

    /// The settings that apply to a member, and their version, if any were ever written for a scope that contains it.
    pub fn settings_for(&self, name: &str, locality: &Locality) -> Option<(Version, String)> {
        let all = self.settings().map(|written| (written.version, written.settings.as_str()));
        self.scopes.merged(all, name, locality)
    }

    /// The version of the settings that apply to a member, without the text.
    pub fn version_for(&self, name: &str, locality: &Locality) -> Option<Version> {
        self.scopes.version_for(self.settings().map(|written| written.version), name, locality)
    }

    pub fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    /// The answer to an earlier write, if it is still kept.
    pub fn write_answer(&self, id: WriteId) -> Option<&Answer> {
        self.write_answers.iter().find(|(known, _)| *known == id).map(|(_, answer)| answer)
    }

    /// Skips an entry that holds no command.
    pub fn skip_entry(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies a committed command.
    pub fn apply(&mut self, index: Index, command: &Command) -> Answer {
        self.applied = index;
        match command {
            Command::Write(write) => self.apply_once(write, |fleet| fleet.write_global(write)),
            Command::WriteScoped(scope, write) => {
                self.apply_once(write, |fleet| fleet.write_scoped(scope, write))
            }
            Command::Member { name, incarnation, status, groups } => {
                self.set_member_status(name, *incarnation, *status, groups)
            }
            Command::DrainMember { name, incarnation, request, force } => {
                self.drain_member(name, *incarnation, *request, force.is_some())
            }
            Command::ReturnMember { name, incarnation, request } => {
                if let Some(member) =
                    self.members.get_mut(name).filter(|member| member.incarnation == *incarnation)
                {
                    member.drain_request = member.drain_request.filter(|out| out > request);
                }
                Answer::Done
            }
            Command::Endpoint { name, out, force, missing } => {
                let verdict = drains::check_endpoint_out(self.groups(), &self.endpoints, missing, name);
                match verdict {
                    Err(why) if *out && force.is_none() && !self.endpoints.contains(name) => {
                        Answer::Refused(Refusal::OutLimitReached(why))
                    }
                    _ => self.set_endpoint_out(index, name, *out),
                }
            }
            Command::Release(order) => {
                let Fleet { history, members, endpoints, endpoints_changed_at, releases, .. } = self;
                let groups = history.back().map_or(&[][..], |written| &written.groups);
                let mut around = FleetContext { groups, members, endpoints, endpoints_changed_at };
                match releases.apply(index, order, &mut around) {
                    Ok(()) => Answer::Done,
                    Err(why) => Answer::Refused(Refusal::Release(why)),
                }
            }
            Command::Forget(name) => {
                let removable = self
                    .members
                    .get(name)
                    .is_some_and(|m| matches!(m.status, MemberStatus::Silent | MemberStatus::Gone));
                if !removable {
                    return Answer::Refused(Refusal::NotGone);
                }
                self.members.remove(name);
                Answer::Done
            }
            Command::SetShares(change) => {
                self.budgets.apply(index, change);
                Answer::Done
            }
        }
    }

    /// Applies a write once: a repeated one gets the first answer and has no other effect.
    fn apply_once(&mut self, write: &Write, apply: impl FnOnce(&mut Fleet) -> Answer) -> Answer {
        if let Some(answer) = self.write_answer(write.id) {
            return answer.clone();
        }
        let answer = apply(self);
        self.write_answers.push_back((write.id, answer.clone()));
        if self.write_answers.len() > MAX_WRITE_ANSWERS {
            self.write_answers.pop_front();
        }
        answer
    }

    /// Writes settings for a scope. Version numbers are shared by all scopes; the expected version, the history and rollbacks
    /// are per scope.
    fn write_scoped(&mut self, scope: &Scope, write: &Write) -> Answer {
        if *scope == Scope::All {
            return self.write_global(write);
        }
        let current = self.scope_version(scope);
        if write.expected_version.is_some_and(|expected| expected != current) {
            return Answer::Refused(Refusal::VersionMismatch(current));
        }
        let (settings, rollback_to) = match &write.change {
            SettingsChange::Put(_, budgets, groups) if !(budgets.is_empty() && groups.is_empty()) => {
                return Answer::Refused(Refusal::GlobalOnly);
            }
            SettingsChange::Put(settings, ..) => (Some(settings.clone()), None),
            SettingsChange::Rollback(version) => {
                match self.scopes.history(scope).find(|scoped| scoped.version == *version) {
                    Some(scoped) => (scoped.settings.clone(), Some(*version)),
                    None => return Answer::Refused(Refusal::UnknownVersion(*version)),
                }
            }
            SettingsChange::Remove
                if self.scopes.latest(scope).is_none_or(|last| last.settings.is_none()) =>
            {
                return Answer::Refused(Refusal::NothingToRemove);
            }
            SettingsChange::Remove => (None, None),
        };
        let too_long = settings.as_ref().is_some_and(|settings| settings.len() > MAX_SETTINGS_BYTES);
        if too_long
            || scope.check().is_err()
            || write.author.len() > MAX_TEXT_BYTES
            || write.reason.len() > MAX_TEXT_BYTES
        {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        let version = Version { number: self.version.number + 1, ..self.version };
        let (author, why, at_ms) = (write.author.clone(), write.reason.clone(), write.at_ms);
        match self
            .scopes
            .put(scope, ScopedSettings { version, settings, author, reason: why, at_ms, rollback_to })
        {
            Ok(()) => {
                self.version = version;
                Answer::Committed(version)
            }
            Err(full) => Answer::Refused(Refusal::ScopeLimit(full)),
        }
    }

    fn write_global(&mut self, write: &Write) -> Answer {
        let current = self.scope_version(&Scope::All);
        if write.expected_version.is_some_and(|expected| expected != current) {
            return Answer::Refused(Refusal::VersionMismatch(current));
        }
        let (settings, budgets, groups, rollback_to) = match &write.change {
            SettingsChange::Put(settings, budgets, groups) => {
                (settings.clone(), budgets.clone(), groups.clone(), None)
            }
            SettingsChange::Rollback(version) => {
                match self.history.iter().find(|written| written.version == *version) {
                    Some(w) => (w.settings.clone(), w.budgets.clone(), w.groups.clone(), Some(*version)),
                    None => return Answer::Refused(Refusal::UnknownVersion(*version)),
                }
            }
            SettingsChange::Remove => return Answer::Refused(Refusal::GlobalNotRemovable),
        };
        if settings.len() > MAX_SETTINGS_BYTES
            || write.author.len() > MAX_TEXT_BYTES
            || write.reason.len() > MAX_TEXT_BYTES
        {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        self.version.number += 1;
        let (version, author, why) = (self.version, write.author.clone(), write.reason.clone());
        self.budgets.configure(&budgets);
        self.history.push_back(SettingsVersion {
            version,
            settings,
            budgets,
            groups,
            author,
            reason: why,
            at_ms: write.at_ms,
            rollback_to,
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        Answer::Committed(version)
    }

    fn set_endpoint_out(&mut self, index: Index, name: &str, out: bool) -> Answer {
        if name.is_empty()
            || name.len() > MAX_TEXT_BYTES
            || out && self.endpoints.len() >= MAX_DRAINED_ENDPOINTS
        {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        let changed = if out { self.endpoints.insert(name.to_string()) } else { self.endpoints.remove(name) };
        if changed {
            self.endpoints_changed_at = index;
        }
        Answer::Done
    }

    /// Decides on a drain request. A repeated request gets the same answer while its permission holds, and uses up only one.
    fn drain_member(&mut self, name: &str, incarnation: u64, request: u64, force: bool) -> Answer {
        let groups = self.history.back().map_or(&[][..], |written| &written.groups);
        let verdict = drains::check_member_out(groups, &self.members, name);
        let Some(member) = self.members.get_mut(name).filter(|member| member.incarnation == incarnation)
        else {
            return Answer::Refused(Refusal::NotGone);
        };
        match verdict {
            // Danger: a permission that its holder gave up waiting for must not count for a new request. A member that is
            // drained by a permission does not ask again.
            Err(why) if !force && member.drain_request != Some(request) => {
                Answer::Refused(Refusal::OutLimitReached(why))
            }
            _ => {
                member.drain_request = member.drain_request.max(Some(request));
                Answer::Done
            }
        }
    }

    fn set_member_status(
        &mut self,
        name: &str,
        incarnation: u64,
        status: MemberStatus,
        groups: &[String],
    ) -> Answer {
        if let Some(member) = self.members.get(name)
            && member.incarnation > incarnation
        {
            return Answer::Refused(Refusal::Superseded(member.incarnation));
        }
        if name.is_empty() || name.len() > MAX_TEXT_BYTES {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(name) {
            // Members that are gone are evicted, the earliest incarnation first.
            let gone = self.members.iter().filter(|(_, member)| member.status == MemberStatus::Gone);
            let Some(oldest) =
                gone.min_by_key(|(_, member)| member.incarnation).map(|(name, _)| name.clone())
            else {
                return Answer::Refused(Refusal::LimitExceeded);
            };
            self.members.remove(&oldest);
        }
        // A later incarnation replaces the earlier one, and counts as out until it serves.
        let out =
            self.members.get(name).filter(|m| m.incarnation == incarnation).and_then(|m| m.drain_request);
        // Danger: a member drained by a release stays so until the release takes it back, even if its process changes.
        let drained_by_release = self.members.get(name).is_some_and(|m| m.drained_by_release);
        let groups = groups.iter().take(MAX_GROUPS).cloned().collect();
        self.members.insert(
            name.to_string(),
            Member { incarnation, status, groups, drain_request: out, drained_by_release },
        );
        Answer::Done
    }

    /// A digest of the whole state, by which replicas are compared: it differs if any entry was applied differently.
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.to_bytes())
    }

    /// Encodes the state. Scopes come last, and only if there are any: without them the bytes are those that version 2 writes
    /// and reads.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(self).expect("this state has no form that cannot be written");
        if self.scopes.is_empty() {
            return bytes;
        }
        postcard::to_extend(&self.scopes, bytes).expect("this state has no form that cannot be written")
    }

    /// # Errors
    /// A description of the decoding error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Fleet, String> {
        let decode_error = |e: postcard::Error| format!("state: {e}");
        let (fleet, rest): (Fleet, &[u8]) = postcard::take_from_bytes(bytes).map_err(decode_error)?;
        let scopes = if rest.is_empty() {
            Scopes::default()
        } else {
            postcard::from_bytes(rest).map_err(decode_error)?
        };
        Ok(Fleet { scopes, ..fleet })
    }

    /// The initial state of a fleet that is restored from a backup. Its versions are later than any that members may have
    /// received since the backup, and no member counts as present.
    pub fn restored(mut self, generation: u64) -> Fleet {
        // Endpoints that are out of service stay so, and the list is sent to all members again.
        (self.applied, self.endpoints_changed_at) = (0, 1);
        self.budgets.forget_shares();
        self.version.generation = generation.max(self.version.generation + 1);
        if let Some(mut last) = self.history.back().cloned() {
            self.version.number += 1;
            (last.rollback_to, last.version) = (Some(last.version), self.version);
            last.reason = "restored from a backup".to_string();
            self.history.push_back(last);
        }
        if !self.scopes.is_empty() {
            self.version.number += 1;
            self.scopes.raise_floor(self.version);
        }
        self.members.values_mut().for_each(|member| member.status = MemberStatus::Silent);
        self.releases.halt_all("restored from a backup: what was done since is not known");
        self
    }
}

impl Command {
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command has no form that cannot be written")
    }

    /// # Errors
    /// A description of the decoding error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, String> {
        postcard::from_bytes(bytes).map_err(|e| format!("command: {e}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write(id: u64, expects: Option<Version>, what: SettingsChange) -> Command {
        let (author, why) = ("eva".to_string(), "test".to_string());
        Command::Write(Write {
            id: WriteId(1, id),
            expected_version: expects,
            author,
            reason: why,
            at_ms: 0,
            change: what,
        })
    }

    fn put(id: u64, expects: Option<Version>, text: &str) -> Command {
        write(id, expects, SettingsChange::Put(text.to_string(), Vec::new(), Vec::new()))
    }

    fn number(number: u64) -> Version {
        Version { generation: 0, number }
    }

    #[test]
    fn settings_are_put_by_version_once_each_and_go_back_forwards() {
        let mut fleet = Fleet::default();
        assert_eq!(fleet.apply(1, &put(1, Some(number(0)), "a")), Answer::Committed(number(1)));
        assert_eq!(
            fleet.apply(2, &put(2, Some(number(0)), "b")),
            Answer::Refused(Refusal::VersionMismatch(number(1)))
        );
        assert_eq!(fleet.apply(3, &put(3, None, "c")), Answer::Committed(number(2)));
        // Repeated, also after other writes: it took effect once, and the answer is the first one.
        assert_eq!(fleet.apply(4, &put(1, Some(number(0)), "a")), Answer::Committed(number(1)));
        assert_eq!(
            fleet.apply(5, &put(2, Some(number(0)), "b")),
            Answer::Refused(Refusal::VersionMismatch(number(1)))
        );
        assert_eq!((fleet.version(), fleet.settings().unwrap().settings.as_str()), (number(2), "c"));
        // A rollback is a new version: members only accept later versions.
        let back = write(4, Some(number(2)), SettingsChange::Rollback(number(1)));
        assert_eq!(fleet.apply(6, &back), Answer::Committed(number(3)));
        let last = fleet.settings().unwrap();
        assert_eq!((last.settings.as_str(), last.rollback_to), ("a", Some(number(1))));
        let unknown = write(5, None, SettingsChange::Rollback(number(9)));
        assert_eq!(fleet.apply(7, &unknown), Answer::Refused(Refusal::UnknownVersion(number(9))));
        let too_long = "x".repeat(MAX_SETTINGS_BYTES + 1);
        assert_eq!(fleet.apply(8, &put(6, None, &too_long)), Answer::Refused(Refusal::LimitExceeded));
        for id in 10..200 {
            fleet.apply(id, &put(id, None, "d"));
        }
        assert_eq!(
            (fleet.history().count(), fleet.write_answer(WriteId(1, 1)).is_some()),
            (MAX_HISTORY, true)
        );
    }

    #[test]
    fn a_later_incarnation_follows_an_earlier_one_and_never_the_other_way() {
        let mut fleet = Fleet::default();
        let stands =
            |incarnation, status| Command::Member { name: "s1".into(), incarnation, status, groups: vec![] };
        assert_eq!(fleet.apply(1, &stands(5, MemberStatus::Serving)), Answer::Done);
        assert_eq!(fleet.apply(2, &stands(7, MemberStatus::Joining)), Answer::Done);
        // A late status of the earlier incarnation is refused.
        assert_eq!(fleet.apply(3, &stands(5, MemberStatus::Gone)), Answer::Refused(Refusal::Superseded(7)));
        assert_eq!(
            fleet.members()["s1"],
            Member {
                incarnation: 7,
                status: MemberStatus::Joining,
                groups: vec![],
                drain_request: None,
                drained_by_release: false
            }
        );
    }

    #[test]
    fn a_permission_that_was_given_up_is_none_for_another_ask() {
        let mut fleet = Fleet::default();
        let most_out = Some(drains::Amount::Number(1));
        let group = Group { name: "a".into(), max_out: most_out, min_serving: None, endpoints: vec![] };
        fleet.apply(1, &write(1, None, SettingsChange::Put("{}".into(), vec![], vec![group])));
        let stands = |name: &str, status| {
            let (name, groups) = (name.to_string(), vec!["a".to_string()]);
            Command::Member { name, incarnation: 1, status, groups }
        };
        fleet.apply(2, &stands("s0", MemberStatus::Serving));
        fleet.apply(3, &stands("s1", MemberStatus::Serving));
        let out = |request| Command::DrainMember { name: "s1".into(), incarnation: 1, request, force: None };
        assert_eq!((fleet.apply(4, &out(1)), fleet.apply(5, &out(1))), (Answer::Done, Answer::Done));
        // Its answer was lost, and an operator drained another member meanwhile.
        fleet.apply(6, &stands("s0", MemberStatus::Drained));
        assert!(matches!(fleet.apply(7, &out(2)), Answer::Refused(Refusal::OutLimitReached(_))));
        assert_eq!(fleet.apply(8, &out(1)), Answer::Done);
    }

    #[test]
    fn copies_agree_by_bytes_and_digest_and_differ_where_one_entry_does() {
        let (mut one, mut other) = (Fleet::default(), Fleet::default());
        for index in 1..50 {
            let command = put(index, None, &index.to_string());
            let again = Command::from_bytes(&command.to_bytes()).unwrap();
            assert_eq!(
                (one.apply(index, &command), one.digest()),
                (other.apply(index, &again), other.digest())
            );
        }
        assert_eq!(Fleet::from_bytes(&one.to_bytes()).unwrap(), other);
        other.apply(50, &put(50, None, "x"));
        one.apply(50, &put(50, None, "y"));
        assert_ne!(one.digest(), other.digest());
        assert!(Fleet::from_bytes(&one.to_bytes()[..9]).is_err() && Command::from_bytes(&[9, 9]).is_err());
    }

    #[test]
    fn what_is_restored_is_later_than_all_that_came_before() {
        let mut fleet = Fleet::default();
        fleet.apply(1, &put(1, None, "a"));
        let backup = fleet.clone();
        for id in 2..9 {
            fleet.apply(id, &put(id, None, "b"));
        }
        let restored = backup.restored(1);
        assert!(restored.version() > fleet.version());
        assert_eq!(restored.settings().unwrap().settings, "a");
    }
}
