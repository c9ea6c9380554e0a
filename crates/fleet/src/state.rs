//! The state machine over committed entries. The same commands in the same order give the same state everywhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::budgets::{Budget, Budgets, LogPosition, ShareChange};
use crate::members::{MAX_GROUPS, MAX_TEXT_BYTES, Member, MemberStatus};
use crate::outs::{self, Group, OutLimitReached};
use crate::releases::{FleetContext, ReleaseError, ReleaseUpdate, Releases};
use crate::scopes::{Locality, Scope, ScopeLimit, ScopedSettings, Scopes};
use crate::version::Version;

/// Versions of the settings that are kept for a look back and a way back: some weeks of a busy fleet.
const HISTORY_MOST: usize = 64;
/// Writes whose answers are kept for one that is said again: what operators may have under way at once, many times over.
const DONE_MOST: usize = 256;
/// Bytes that settings may have: a frame and an entry must hold them.
pub const MAX_SETTINGS_BYTES: usize = 512 * 1024;
/// Endpoints that may be out of service at once: each is told to each member.
const ENDPOINTS_MOST: usize = 1000;
/// Members that are kept at the most, the gone among them: several times the largest fleet.
const MEMBERS_MOST: usize = 20_000;

/// By which a write that is said again is known: it takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WriteId(pub u64, pub u64);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SettingsChange {
    /// These settings, as JSON text, with these budgets and groups.
    Put(String, Vec<Budget>, Vec<Group>),
    /// The settings of an earlier version, as a new one.
    Rollback(Version),
    /// What was put for a scope holds no more.
    Remove,
}

/// An operator's write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub id: WriteId,
    /// Only if this is the version that holds.
    pub expected_version: Option<Version>,
    pub author: String,
    pub reason: String,
    /// Of the operator's clock: to be shown, and for nothing else.
    pub at_ms: u64,
    pub change: SettingsChange,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Write(Write),
    /// A member of this incarnation stands so. A later incarnation follows an earlier one; an earlier one is passed over.
    Member {
        name: String,
        incarnation: u64,
        status: MemberStatus,
        /// The groups that it belongs to, as its own file says.
        groups: Vec<String>,
    },
    /// Parts of budgets.
    SetShares(ShareChange),
    /// May this member go out? A reason is one for going whatever is out already.
    DrainMember {
        name: String,
        incarnation: u64,
        request: u64,
        force: Option<String>,
    },
    /// It is back, or never went, from all that it asked up to here.
    ReturnMember {
        name: String,
        incarnation: u64,
        request: u64,
    },
    /// This member never comes back: its groups are smaller from here on.
    Forget(String),
    /// This endpoint is out of service, whatever the list says, or is not any more. A reason is one for taking it whatever is
    /// out already; what is missing by itself as far as the leader hears is told with it.
    Endpoint {
        name: String,
        out: bool,
        force: Option<String>,
        missing: Vec<String>,
    },
    Release(ReleaseUpdate),
    /// Settings for a part of the fleet. Danger: a replica of version 2 passes it over, so none is proposed while one votes.
    WriteScoped(Scope, Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another version holds than was expected.
    VersionMismatch(Version),
    /// This version is not known, or not kept any more.
    UnknownVersion(Version),
    /// A text is too long, or there are too many members.
    LimitExceeded,
    /// A later incarnation is known.
    Superseded(u64),
    /// No such member, or it serves still.
    NotGone,
    OutLimitReached(OutLimitReached),
    Release(ReleaseError),
    ScopeLimit(ScopeLimit),
    /// Budgets and groups are stated for all; and what is for all is put anew, not removed.
    GlobalOnly,
    GlobalNotRemovable,
    /// Nothing is put for this scope that could be removed.
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
    /// This version holds from here on.
    Committed(Version),
    Done,
    Refused(Refusal),
}

/// A version of the settings, and how it came.
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
    /// The version that it goes back to.
    #[serde(rename = "back_to")]
    pub rollback_to: Option<Version>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    applied: Index,
    version: Version,
    history: VecDeque<SettingsVersion>,
    done: VecDeque<(WriteId, Answer)>,
    members: BTreeMap<String, Member>,
    budgets: Budgets,
    /// Endpoints that are out of service, and the entry that changed them last.
    endpoints: BTreeSet<String>,
    endpoints_at: Index,
    releases: Releases,
    /// Danger: a replica of version 2 has none, so these are bytes of the state only once there are any (`bytes`).
    #[serde(skip)]
    scopes: Scopes,
}

impl Fleet {
    /// The index of the entry that was applied last.
    pub fn applied(&self) -> Index {
        self.applied
    }

    pub fn version(&self) -> Version {
        self.version
    }

    /// The settings that hold, if any were ever put.
    pub fn settings(&self) -> Option<&SettingsVersion> {
        self.history.back()
    }

    /// The versions that are kept, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &SettingsVersion> {
        self.history.iter()
    }

    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Endpoints that are out of service, as of when.
    pub fn drained_endpoints(&self) -> (LogPosition, &BTreeSet<String>) {
        (LogPosition { generation: self.version.generation, index: self.endpoints_at }, &self.endpoints)
    }

    /// The groups that the settings name.
    pub fn groups(&self) -> &[Group] {
        self.history.back().map_or(&[], |written| &written.groups)
    }

    /// The endpoints that groups name.
    pub fn watched_endpoints(&self) -> impl Iterator<Item = &String> {
        self.groups().iter().flat_map(|group| &group.endpoints)
    }

    /// The endpoints that members are to look for, each once, and the mark by which a list of them is known: 0 for
    /// none.
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

    /// The version of what is put for a scope.
    pub fn scope_version(&self, scope: &Scope) -> Version {
        let last = match scope {
            Scope::All => self.history.back().map(|written| written.version),
            _ => self.scopes.latest(scope).map(|scoped| scoped.version),
        };
        last.unwrap_or(Version { generation: self.version.generation, number: 0 })
    }

    /// The settings that hold for a member, and their version, if any were ever put that concern it.
    pub fn settings_for(&self, name: &str, locality: &Locality) -> Option<(Version, String)> {
        let all = self.settings().map(|written| (written.version, written.settings.as_str()));
        self.scopes.merged(all, name, locality)
    }

    /// The version of the settings that hold for a member, without the text.
    pub fn version_for(&self, name: &str, locality: &Locality) -> Option<Version> {
        self.scopes.version_for(self.settings().map(|written| written.version), name, locality)
    }

    pub fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    /// What became of a write that was said before, if that is known still.
    pub fn write_answer(&self, id: WriteId) -> Option<&Answer> {
        self.done.iter().find(|(done, _)| *done == id).map(|(_, answer)| answer)
    }

    /// Passes over an entry that holds no command.
    pub fn skip_entry(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies a committed command.
    pub fn apply(&mut self, index: Index, command: &Command) -> Answer {
        self.applied = index;
        match command {
            Command::Write(write) => self.once(write, |fleet| fleet.write(write)),
            Command::WriteScoped(scope, write) => self.once(write, |fleet| fleet.scoped(scope, write)),
            Command::Member { name, incarnation, status: standing, groups } => {
                self.stands(name, *incarnation, *standing, groups)
            }
            Command::DrainMember { name, incarnation, request: ask, force: anyway } => {
                self.out(name, *incarnation, *ask, anyway.is_some())
            }
            Command::ReturnMember { name, incarnation, request: ask } => {
                if let Some(member) =
                    self.members.get_mut(name).filter(|member| member.incarnation == *incarnation)
                {
                    member.drain_request = member.drain_request.filter(|out| out > ask);
                }
                Answer::Done
            }
            Command::Endpoint { name, out, force: anyway, missing } => {
                let may = outs::check_endpoint_out(self.groups(), &self.endpoints, missing, name);
                match may {
                    Err(why) if *out && anyway.is_none() && !self.endpoints.contains(name) => {
                        Answer::Refused(Refusal::OutLimitReached(why))
                    }
                    _ => self.endpoint(index, name, *out),
                }
            }
            Command::Release(order) => {
                let Fleet { history, members, endpoints, endpoints_at, releases, .. } = self;
                let groups = history.back().map_or(&[][..], |written| &written.groups);
                let mut around =
                    FleetContext { groups, members, endpoints, endpoints_changed_at: endpoints_at };
                match releases.apply(index, order, &mut around) {
                    Ok(()) => Answer::Done,
                    Err(why) => Answer::Refused(Refusal::Release(why)),
                }
            }
            Command::Forget(name) => {
                let there = self
                    .members
                    .get(name)
                    .is_some_and(|m| matches!(m.status, MemberStatus::Silent | MemberStatus::Gone));
                if !there {
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

    /// A write that is said again has the first one's answer, and no other effect.
    fn once(&mut self, write: &Write, apply: impl FnOnce(&mut Fleet) -> Answer) -> Answer {
        if let Some(answer) = self.write_answer(write.id) {
            return answer.clone();
        }
        let answer = apply(self);
        self.done.push_back((write.id, answer.clone()));
        if self.done.len() > DONE_MOST {
            self.done.pop_front();
        }
        answer
    }

    /// Settings for a part of the fleet: versions are counted with those of all others, and are expected, kept and gone back
    /// to each for itself.
    fn scoped(&mut self, scope: &Scope, write: &Write) -> Answer {
        if *scope == Scope::All {
            return self.write(write);
        }
        let holds = self.scope_version(scope);
        if write.expected_version.is_some_and(|expected| expected != holds) {
            return Answer::Refused(Refusal::VersionMismatch(holds));
        }
        let (settings, back_to) = match &write.change {
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
        let long = settings.as_ref().is_some_and(|settings| settings.len() > MAX_SETTINGS_BYTES);
        if long
            || scope.check().is_err()
            || write.author.len() > MAX_TEXT_BYTES
            || write.reason.len() > MAX_TEXT_BYTES
        {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        let version = Version { number: self.version.number + 1, ..self.version };
        let (by, why, at_ms) = (write.author.clone(), write.reason.clone(), write.at_ms);
        match self.scopes.put(
            scope,
            ScopedSettings { version, settings, author: by, reason: why, at_ms, rollback_to: back_to },
        ) {
            Ok(()) => {
                self.version = version;
                Answer::Committed(version)
            }
            Err(full) => Answer::Refused(Refusal::ScopeLimit(full)),
        }
    }

    fn write(&mut self, write: &Write) -> Answer {
        let holds = self.scope_version(&Scope::All);
        if write.expected_version.is_some_and(|expected| expected != holds) {
            return Answer::Refused(Refusal::VersionMismatch(holds));
        }
        let (settings, budgets, groups, back_to) = match &write.change {
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
        let (version, by, why) = (self.version, write.author.clone(), write.reason.clone());
        self.budgets.configure(&budgets);
        self.history.push_back(SettingsVersion {
            version,
            settings,
            budgets,
            groups,
            author: by,
            reason: why,
            at_ms: write.at_ms,
            rollback_to: back_to,
        });
        if self.history.len() > HISTORY_MOST {
            self.history.pop_front();
        }
        Answer::Committed(version)
    }

    fn endpoint(&mut self, index: Index, name: &str, out: bool) -> Answer {
        if name.is_empty() || name.len() > MAX_TEXT_BYTES || out && self.endpoints.len() >= ENDPOINTS_MOST {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        let changed = if out { self.endpoints.insert(name.to_string()) } else { self.endpoints.remove(name) };
        if changed {
            self.endpoints_at = index;
        }
        Answer::Done
    }

    /// Permission to go out. The same ask has the same answer for as long as it holds: one permission, however often it is
    /// asked for.
    fn out(&mut self, name: &str, incarnation: u64, ask: u64, anyway: bool) -> Answer {
        let groups = self.history.back().map_or(&[][..], |written| &written.groups);
        let may = outs::check_member_out(groups, &self.members, name);
        let Some(member) = self.members.get_mut(name).filter(|member| member.incarnation == incarnation)
        else {
            return Answer::Refused(Refusal::NotGone);
        };
        match may {
            // Danger: a permission that its holder gave up, as no answer came, must not send it out when it asks anew; who is
            // out by one does not ask.
            Err(why) if !anyway && member.drain_request != Some(ask) => {
                Answer::Refused(Refusal::OutLimitReached(why))
            }
            _ => {
                member.drain_request = member.drain_request.max(Some(ask));
                Answer::Done
            }
        }
    }

    fn stands(&mut self, name: &str, incarnation: u64, standing: MemberStatus, groups: &[String]) -> Answer {
        if let Some(member) = self.members.get(name)
            && member.incarnation > incarnation
        {
            return Answer::Refused(Refusal::Superseded(member.incarnation));
        }
        if name.is_empty() || name.len() > MAX_TEXT_BYTES {
            return Answer::Refused(Refusal::LimitExceeded);
        }
        if self.members.len() >= MEMBERS_MOST && !self.members.contains_key(name) {
            // Those that are gone make room, the earliest incarnation first.
            let gone = self.members.iter().filter(|(_, member)| member.status == MemberStatus::Gone);
            let Some(oldest) =
                gone.min_by_key(|(_, member)| member.incarnation).map(|(name, _)| name.clone())
            else {
                return Answer::Refused(Refusal::LimitExceeded);
            };
            self.members.remove(&oldest);
        }
        // A later incarnation takes the place of the earlier one, and is out until it serves.
        let out =
            self.members.get(name).filter(|m| m.incarnation == incarnation).and_then(|m| m.drain_request);
        // Danger: one that a release has sent out is so until the release has it back, whatever process it is by then.
        let sent = self.members.get(name).is_some_and(|m| m.drained_by_release);
        let groups = groups.iter().take(MAX_GROUPS).cloned().collect();
        self.members.insert(
            name.to_string(),
            Member { incarnation, status: standing, groups, drain_request: out, drained_by_release: sent },
        );
        Answer::Done
    }

    /// By which copies of the state are compared: of the whole of it, so that an entry that was applied otherwise shows.
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.to_bytes())
    }

    /// What was put for scopes stands behind all else, and only if there is any: without, these are the bytes that version 2
    /// has written and reads.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(self).expect("this state has no form that cannot be written");
        if self.scopes.is_empty() {
            return bytes;
        }
        postcard::to_extend(&self.scopes, bytes).expect("this state has no form that cannot be written")
    }

    /// # Errors
    /// What is wrong with the bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Fleet, String> {
        let told = |e: postcard::Error| format!("state: {e}");
        let (fleet, rest): (Fleet, &[u8]) = postcard::take_from_bytes(bytes).map_err(told)?;
        let scopes =
            if rest.is_empty() { Scopes::default() } else { postcard::from_bytes(rest).map_err(told)? };
        Ok(Fleet { scopes, ..fleet })
    }

    /// This state as the first of a fleet that is put back from a backup: its versions are later than any that members may
    /// have taken since, and nobody is taken for being there.
    pub fn restored(mut self, generation: u64) -> Fleet {
        // What is out of service stays so, and is told to all anew.
        (self.applied, self.endpoints_at) = (0, 1);
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
    /// What is wrong with the bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, String> {
        postcard::from_bytes(bytes).map_err(|e| format!("command: {e}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write(id: u64, expects: Option<Version>, what: SettingsChange) -> Command {
        let (by, why) = ("eva".to_string(), "test".to_string());
        Command::Write(Write {
            id: WriteId(1, id),
            expected_version: expects,
            author: by,
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
        // Said again, also after others: it has taken effect once, and the answer is the first one.
        assert_eq!(fleet.apply(4, &put(1, Some(number(0)), "a")), Answer::Committed(number(1)));
        assert_eq!(
            fleet.apply(5, &put(2, Some(number(0)), "b")),
            Answer::Refused(Refusal::VersionMismatch(number(1)))
        );
        assert_eq!((fleet.version(), fleet.settings().unwrap().settings.as_str()), (number(2), "c"));
        // Back is a new version: members go forwards only.
        let back = write(4, Some(number(2)), SettingsChange::Rollback(number(1)));
        assert_eq!(fleet.apply(6, &back), Answer::Committed(number(3)));
        let last = fleet.settings().unwrap();
        assert_eq!((last.settings.as_str(), last.rollback_to), ("a", Some(number(1))));
        let unknown = write(5, None, SettingsChange::Rollback(number(9)));
        assert_eq!(fleet.apply(7, &unknown), Answer::Refused(Refusal::UnknownVersion(number(9))));
        let long = "x".repeat(MAX_SETTINGS_BYTES + 1);
        assert_eq!(fleet.apply(8, &put(6, None, &long)), Answer::Refused(Refusal::LimitExceeded));
        for id in 10..200 {
            fleet.apply(id, &put(id, None, "d"));
        }
        assert_eq!(
            (fleet.history().count(), fleet.write_answer(WriteId(1, 1)).is_some()),
            (HISTORY_MOST, true)
        );
    }

    #[test]
    fn a_later_incarnation_follows_an_earlier_one_and_never_the_other_way() {
        let mut fleet = Fleet::default();
        let stands = |incarnation, standing| Command::Member {
            name: "s1".into(),
            incarnation,
            status: standing,
            groups: vec![],
        };
        assert_eq!(fleet.apply(1, &stands(5, MemberStatus::Serving)), Answer::Done);
        assert_eq!(fleet.apply(2, &stands(7, MemberStatus::Joining)), Answer::Done);
        // The verdict on the earlier one comes late.
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
        let most_out = Some(outs::Amount::Number(1));
        let group = Group { name: "a".into(), max_out: most_out, min_serving: None, endpoints: vec![] };
        fleet.apply(1, &write(1, None, SettingsChange::Put("{}".into(), vec![], vec![group])));
        let stands = |name: &str, standing| {
            let (name, groups) = (name.to_string(), vec!["a".to_string()]);
            Command::Member { name, incarnation: 1, status: standing, groups }
        };
        fleet.apply(2, &stands("s0", MemberStatus::Serving));
        fleet.apply(3, &stands("s1", MemberStatus::Serving));
        let out = |ask| Command::DrainMember { name: "s1".into(), incarnation: 1, request: ask, force: None };
        assert_eq!((fleet.apply(4, &out(1)), fleet.apply(5, &out(1))), (Answer::Done, Answer::Done));
        // Its answer was lost, and another went out by an operator's second word.
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
