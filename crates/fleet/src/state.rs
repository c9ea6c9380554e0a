//! The state machine over committed entries. The same commands in the same order give the same state everywhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::budgets::{Budget, Budgets, Change, Stamp};
use crate::members::{GROUPS_MOST, Member, Standing, TEXT_MOST};
use crate::outs::{self, Group, NotNow};
use crate::releases::{Around, Declined, Order, Releases};
use crate::scopes::{Full, Locality, Scope, Scoped, Scopes};
use crate::version::Version;

/// Versions of the settings that are kept for a look back and a way back: some weeks of a busy fleet.
const HISTORY_MOST: usize = 64;
/// Writes whose answers are kept for one that is said again: what operators may have under way at once, many times over.
const DONE_MOST: usize = 256;
/// Bytes that settings may have: a frame and an entry must hold them.
pub const SETTINGS_MOST: usize = 512 * 1024;
/// Endpoints that may be out of service at once: each is told to each member.
const ENDPOINTS_MOST: usize = 1000;
/// Members that are kept at the most, the gone among them: several times the largest fleet.
const MEMBERS_MOST: usize = 20_000;

/// By which a write that is said again is known: it takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WriteId(pub u64, pub u64);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// These settings, as JSON text, with these budgets and groups.
    Put(String, Vec<Budget>, Vec<Group>),
    /// The settings of an earlier version, as a new one.
    Back(Version),
    /// What was put for a scope holds no more.
    Remove,
}

/// An operator's write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub id: WriteId,
    /// Only if this is the version that holds.
    pub expects: Option<Version>,
    pub by: String,
    pub why: String,
    /// Of the operator's clock: to be shown, and for nothing else.
    pub at_ms: u64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Write(Write),
    /// A member of this incarnation stands so. A later incarnation follows an earlier one; an earlier one is passed over.
    Member {
        name: String,
        incarnation: u64,
        standing: Standing,
        /// The groups that it belongs to, as its own file says.
        groups: Vec<String>,
    },
    /// Parts of budgets.
    Divide(Change),
    /// May this member go out? A reason is one for going whatever is out already.
    Out {
        name: String,
        incarnation: u64,
        ask: u64,
        anyway: Option<String>,
    },
    /// It is back, or never went, from all that it asked up to here.
    Back {
        name: String,
        incarnation: u64,
        ask: u64,
    },
    /// This member never comes back: its groups are smaller from here on.
    Forget(String),
    /// This endpoint is out of service, whatever the list says, or is not any more. A reason is one for taking it whatever is
    /// out already; what is missing by itself as far as the leader hears is told with it.
    Endpoint {
        name: String,
        out: bool,
        anyway: Option<String>,
        missing: Vec<String>,
    },
    Release(Order),
    /// Settings for a part of the fleet. Danger: a replica of version 2 passes it over, so none is proposed while one votes.
    Scoped(Scope, Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another version holds than was expected.
    Holds(Version),
    /// This version is not known, or not kept any more.
    Unknown(Version),
    /// A text is too long, or there are too many members.
    TooMuch,
    /// A later incarnation is known.
    Superseded(u64),
    /// No such member, or it serves still.
    NotGone,
    NotNow(NotNow),
    Release(Declined),
    Full(Full),
    /// Budgets and groups are stated for all; and what is for all is put anew, not removed.
    OnlyForAll,
    NeverForAll,
    /// Nothing is put for this scope that could be removed.
    NothingPut,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Holds(version) => write!(f, "version {version} holds, another was expected"),
            Refusal::Unknown(version) => write!(f, "version {version} is not known, or not kept any more"),
            Refusal::TooMuch => write!(f, "a text is too long, or there are too many members"),
            Refusal::NotGone => write!(f, "no such member, or it is there still"),
            Refusal::NotNow(why) => write!(f, "{why}"),
            Refusal::Release(why) => write!(f, "{why}"),
            Refusal::Full(why) => write!(f, "{why}"),
            Refusal::OnlyForAll => write!(f, "budgets and groups are put for all, not for a scope"),
            Refusal::NeverForAll => write!(f, "what is put for all is put anew, not removed"),
            Refusal::NothingPut => write!(f, "nothing is put for this scope"),
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
pub struct Written {
    pub version: Version,
    pub settings: String,
    pub budgets: Vec<Budget>,
    pub groups: Vec<Group>,
    pub by: String,
    pub why: String,
    pub at_ms: u64,
    /// The version that it goes back to.
    pub back_to: Option<Version>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    applied: Index,
    version: Version,
    history: VecDeque<Written>,
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
    pub fn settings(&self) -> Option<&Written> {
        self.history.back()
    }

    /// The versions that are kept, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Written> {
        self.history.iter()
    }

    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Endpoints that are out of service, as of when.
    pub fn endpoints_out(&self) -> (Stamp, &BTreeSet<String>) {
        (Stamp { generation: self.version.generation, index: self.endpoints_at }, &self.endpoints)
    }

    /// The groups that the settings name.
    pub fn groups(&self) -> &[Group] {
        self.history.back().map_or(&[], |written| &written.groups)
    }

    /// The endpoints that groups name.
    pub fn looked_for(&self) -> impl Iterator<Item = &String> {
        self.groups().iter().flat_map(|group| &group.endpoints)
    }

    /// The endpoints that members are to look for, each once, and the mark by which a list of them is known: 0 for
    /// none.
    pub fn looks(&self) -> (u64, Vec<String>) {
        let names: BTreeSet<&String> = self.looked_for().collect();
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
    pub fn version_of(&self, scope: &Scope) -> Version {
        let last = match scope {
            Scope::All => self.history.back().map(|written| written.version),
            _ => self.scopes.last(scope).map(|scoped| scoped.version),
        };
        last.unwrap_or(Version { generation: self.version.generation, number: 0 })
    }

    /// The settings that hold for a member, and their version, if any were ever put that concern it.
    pub fn settings_of(&self, name: &str, locality: &Locality) -> Option<(Version, String)> {
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
    pub fn done(&self, id: WriteId) -> Option<&Answer> {
        self.done.iter().find(|(done, _)| *done == id).map(|(_, answer)| answer)
    }

    /// Passes over an entry that holds no command.
    pub fn pass(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies a committed command.
    pub fn apply(&mut self, index: Index, command: &Command) -> Answer {
        self.applied = index;
        match command {
            Command::Write(write) => self.once(write, |fleet| fleet.write(write)),
            Command::Scoped(scope, write) => self.once(write, |fleet| fleet.scoped(scope, write)),
            Command::Member { name, incarnation, standing, groups } => {
                self.stands(name, *incarnation, *standing, groups)
            }
            Command::Out { name, incarnation, ask, anyway } => {
                self.out(name, *incarnation, *ask, anyway.is_some())
            }
            Command::Back { name, incarnation, ask } => {
                if let Some(member) =
                    self.members.get_mut(name).filter(|member| member.incarnation == *incarnation)
                {
                    member.out = member.out.filter(|out| out > ask);
                }
                Answer::Done
            }
            Command::Endpoint { name, out, anyway, missing } => {
                let may = outs::endpoint_may_go(self.groups(), &self.endpoints, missing, name);
                match may {
                    Err(why) if *out && anyway.is_none() && !self.endpoints.contains(name) => {
                        Answer::Refused(Refusal::NotNow(why))
                    }
                    _ => self.endpoint(index, name, *out),
                }
            }
            Command::Release(order) => {
                let Fleet { history, members, endpoints, endpoints_at, releases, .. } = self;
                let groups = history.back().map_or(&[][..], |written| &written.groups);
                let mut around = Around { groups, members, endpoints, endpoints_at };
                match releases.apply(index, order, &mut around) {
                    Ok(()) => Answer::Done,
                    Err(why) => Answer::Refused(Refusal::Release(why)),
                }
            }
            Command::Forget(name) => {
                let there = self
                    .members
                    .get(name)
                    .is_some_and(|m| matches!(m.standing, Standing::Silent | Standing::Gone));
                if !there {
                    return Answer::Refused(Refusal::NotGone);
                }
                self.members.remove(name);
                Answer::Done
            }
            Command::Divide(change) => {
                self.budgets.apply(index, change);
                Answer::Done
            }
        }
    }

    /// A write that is said again has the first one's answer, and no other effect.
    fn once(&mut self, write: &Write, apply: impl FnOnce(&mut Fleet) -> Answer) -> Answer {
        if let Some(answer) = self.done(write.id) {
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
        let holds = self.version_of(scope);
        if write.expects.is_some_and(|expected| expected != holds) {
            return Answer::Refused(Refusal::Holds(holds));
        }
        let (settings, back_to) = match &write.what {
            What::Put(_, budgets, groups) if !(budgets.is_empty() && groups.is_empty()) => {
                return Answer::Refused(Refusal::OnlyForAll);
            }
            What::Put(settings, ..) => (Some(settings.clone()), None),
            What::Back(version) => {
                match self.scopes.history(scope).find(|scoped| scoped.version == *version) {
                    Some(scoped) => (scoped.settings.clone(), Some(*version)),
                    None => return Answer::Refused(Refusal::Unknown(*version)),
                }
            }
            What::Remove if self.scopes.last(scope).is_none_or(|last| last.settings.is_none()) => {
                return Answer::Refused(Refusal::NothingPut);
            }
            What::Remove => (None, None),
        };
        let long = settings.as_ref().is_some_and(|settings| settings.len() > SETTINGS_MOST);
        if long || scope.check().is_err() || write.by.len() > TEXT_MOST || write.why.len() > TEXT_MOST {
            return Answer::Refused(Refusal::TooMuch);
        }
        let version = Version { number: self.version.number + 1, ..self.version };
        let (by, why, at_ms) = (write.by.clone(), write.why.clone(), write.at_ms);
        match self.scopes.put(scope, Scoped { version, settings, by, why, at_ms, back_to }) {
            Ok(()) => {
                self.version = version;
                Answer::Committed(version)
            }
            Err(full) => Answer::Refused(Refusal::Full(full)),
        }
    }

    fn write(&mut self, write: &Write) -> Answer {
        let holds = self.version_of(&Scope::All);
        if write.expects.is_some_and(|expected| expected != holds) {
            return Answer::Refused(Refusal::Holds(holds));
        }
        let (settings, budgets, groups, back_to) = match &write.what {
            What::Put(settings, budgets, groups) => (settings.clone(), budgets.clone(), groups.clone(), None),
            What::Back(version) => match self.history.iter().find(|written| written.version == *version) {
                Some(w) => (w.settings.clone(), w.budgets.clone(), w.groups.clone(), Some(*version)),
                None => return Answer::Refused(Refusal::Unknown(*version)),
            },
            What::Remove => return Answer::Refused(Refusal::NeverForAll),
        };
        if settings.len() > SETTINGS_MOST || write.by.len() > TEXT_MOST || write.why.len() > TEXT_MOST {
            return Answer::Refused(Refusal::TooMuch);
        }
        self.version.number += 1;
        let (version, by, why) = (self.version, write.by.clone(), write.why.clone());
        self.budgets.state(&budgets);
        self.history.push_back(Written {
            version,
            settings,
            budgets,
            groups,
            by,
            why,
            at_ms: write.at_ms,
            back_to,
        });
        if self.history.len() > HISTORY_MOST {
            self.history.pop_front();
        }
        Answer::Committed(version)
    }

    fn endpoint(&mut self, index: Index, name: &str, out: bool) -> Answer {
        if name.is_empty() || name.len() > TEXT_MOST || out && self.endpoints.len() >= ENDPOINTS_MOST {
            return Answer::Refused(Refusal::TooMuch);
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
        let may = outs::may_go(groups, &self.members, name);
        let Some(member) = self.members.get_mut(name).filter(|member| member.incarnation == incarnation)
        else {
            return Answer::Refused(Refusal::NotGone);
        };
        match may {
            // Danger: a permission that its holder gave up, as no answer came, must not send it out when it asks anew; who is
            // out by one does not ask.
            Err(why) if !anyway && member.out != Some(ask) => Answer::Refused(Refusal::NotNow(why)),
            _ => {
                member.out = member.out.max(Some(ask));
                Answer::Done
            }
        }
    }

    fn stands(&mut self, name: &str, incarnation: u64, standing: Standing, groups: &[String]) -> Answer {
        if let Some(member) = self.members.get(name)
            && member.incarnation > incarnation
        {
            return Answer::Refused(Refusal::Superseded(member.incarnation));
        }
        if name.is_empty() || name.len() > TEXT_MOST {
            return Answer::Refused(Refusal::TooMuch);
        }
        if self.members.len() >= MEMBERS_MOST && !self.members.contains_key(name) {
            // Those that are gone make room, the earliest incarnation first.
            let gone = self.members.iter().filter(|(_, member)| member.standing == Standing::Gone);
            let Some(oldest) =
                gone.min_by_key(|(_, member)| member.incarnation).map(|(name, _)| name.clone())
            else {
                return Answer::Refused(Refusal::TooMuch);
            };
            self.members.remove(&oldest);
        }
        // A later incarnation takes the place of the earlier one, and is out until it serves.
        let out = self.members.get(name).filter(|m| m.incarnation == incarnation).and_then(|m| m.out);
        // Danger: one that a release has sent out is so until the release has it back, whatever process it is by then.
        let sent = self.members.get(name).is_some_and(|m| m.sent);
        let groups = groups.iter().take(GROUPS_MOST).cloned().collect();
        self.members.insert(name.to_string(), Member { incarnation, standing, groups, out, sent });
        Answer::Done
    }

    /// By which copies of the state are compared: of the whole of it, so that an entry that was applied otherwise shows.
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.bytes())
    }

    /// What was put for scopes stands behind all else, and only if there is any: without, these are the bytes that version 2
    /// has written and reads.
    pub fn bytes(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(self).expect("this state has no form that cannot be written");
        if self.scopes.is_empty() {
            return bytes;
        }
        postcard::to_extend(&self.scopes, bytes).expect("this state has no form that cannot be written")
    }

    /// # Errors
    /// What is wrong with the bytes.
    pub fn of(bytes: &[u8]) -> Result<Fleet, String> {
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
        self.budgets.forget_parts();
        self.version.generation = generation.max(self.version.generation + 1);
        if let Some(mut last) = self.history.back().cloned() {
            self.version.number += 1;
            (last.back_to, last.version) = (Some(last.version), self.version);
            last.why = "restored from a backup".to_string();
            self.history.push_back(last);
        }
        if !self.scopes.is_empty() {
            self.version.number += 1;
            self.scopes.tell_anew(self.version);
        }
        self.members.values_mut().for_each(|member| member.standing = Standing::Silent);
        self.releases.halt_all("restored from a backup: what was done since is not known");
        self
    }
}

impl Command {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command has no form that cannot be written")
    }

    /// # Errors
    /// What is wrong with the bytes.
    pub fn of(bytes: &[u8]) -> Result<Command, String> {
        postcard::from_bytes(bytes).map_err(|e| format!("command: {e}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write(id: u64, expects: Option<Version>, what: What) -> Command {
        let (by, why) = ("eva".to_string(), "test".to_string());
        Command::Write(Write { id: WriteId(1, id), expects, by, why, at_ms: 0, what })
    }

    fn put(id: u64, expects: Option<Version>, text: &str) -> Command {
        write(id, expects, What::Put(text.to_string(), Vec::new(), Vec::new()))
    }

    fn number(number: u64) -> Version {
        Version { generation: 0, number }
    }

    #[test]
    fn settings_are_put_by_version_once_each_and_go_back_forwards() {
        let mut fleet = Fleet::default();
        assert_eq!(fleet.apply(1, &put(1, Some(number(0)), "a")), Answer::Committed(number(1)));
        assert_eq!(fleet.apply(2, &put(2, Some(number(0)), "b")), Answer::Refused(Refusal::Holds(number(1))));
        assert_eq!(fleet.apply(3, &put(3, None, "c")), Answer::Committed(number(2)));
        // Said again, also after others: it has taken effect once, and the answer is the first one.
        assert_eq!(fleet.apply(4, &put(1, Some(number(0)), "a")), Answer::Committed(number(1)));
        assert_eq!(fleet.apply(5, &put(2, Some(number(0)), "b")), Answer::Refused(Refusal::Holds(number(1))));
        assert_eq!((fleet.version(), fleet.settings().unwrap().settings.as_str()), (number(2), "c"));
        // Back is a new version: members go forwards only.
        let back = write(4, Some(number(2)), What::Back(number(1)));
        assert_eq!(fleet.apply(6, &back), Answer::Committed(number(3)));
        let last = fleet.settings().unwrap();
        assert_eq!((last.settings.as_str(), last.back_to), ("a", Some(number(1))));
        let unknown = write(5, None, What::Back(number(9)));
        assert_eq!(fleet.apply(7, &unknown), Answer::Refused(Refusal::Unknown(number(9))));
        let long = "x".repeat(SETTINGS_MOST + 1);
        assert_eq!(fleet.apply(8, &put(6, None, &long)), Answer::Refused(Refusal::TooMuch));
        for id in 10..200 {
            fleet.apply(id, &put(id, None, "d"));
        }
        assert_eq!((fleet.history().count(), fleet.done(WriteId(1, 1)).is_some()), (HISTORY_MOST, true));
    }

    #[test]
    fn a_later_incarnation_follows_an_earlier_one_and_never_the_other_way() {
        let mut fleet = Fleet::default();
        let stands = |incarnation, standing| Command::Member {
            name: "s1".into(),
            incarnation,
            standing,
            groups: vec![],
        };
        assert_eq!(fleet.apply(1, &stands(5, Standing::Serving)), Answer::Done);
        assert_eq!(fleet.apply(2, &stands(7, Standing::Joining)), Answer::Done);
        // The verdict on the earlier one comes late.
        assert_eq!(fleet.apply(3, &stands(5, Standing::Gone)), Answer::Refused(Refusal::Superseded(7)));
        assert_eq!(
            fleet.members()["s1"],
            Member { incarnation: 7, standing: Standing::Joining, groups: vec![], out: None, sent: false }
        );
    }

    #[test]
    fn a_permission_that_was_given_up_is_none_for_another_ask() {
        let mut fleet = Fleet::default();
        let most_out = Some(outs::Amount::Number(1));
        let group = Group { name: "a".into(), most_out, least_serving: None, endpoints: vec![] };
        fleet.apply(1, &write(1, None, What::Put("{}".into(), vec![], vec![group])));
        let stands = |name: &str, standing| {
            let (name, groups) = (name.to_string(), vec!["a".to_string()]);
            Command::Member { name, incarnation: 1, standing, groups }
        };
        fleet.apply(2, &stands("s0", Standing::Serving));
        fleet.apply(3, &stands("s1", Standing::Serving));
        let out = |ask| Command::Out { name: "s1".into(), incarnation: 1, ask, anyway: None };
        assert_eq!((fleet.apply(4, &out(1)), fleet.apply(5, &out(1))), (Answer::Done, Answer::Done));
        // Its answer was lost, and another went out by an operator's second word.
        fleet.apply(6, &stands("s0", Standing::Drained));
        assert!(matches!(fleet.apply(7, &out(2)), Answer::Refused(Refusal::NotNow(_))));
        assert_eq!(fleet.apply(8, &out(1)), Answer::Done);
    }

    #[test]
    fn copies_agree_by_bytes_and_digest_and_differ_where_one_entry_does() {
        let (mut one, mut other) = (Fleet::default(), Fleet::default());
        for index in 1..50 {
            let command = put(index, None, &index.to_string());
            let again = Command::of(&command.bytes()).unwrap();
            assert_eq!(
                (one.apply(index, &command), one.digest()),
                (other.apply(index, &again), other.digest())
            );
        }
        assert_eq!(Fleet::of(&one.bytes()).unwrap(), other);
        other.apply(50, &put(50, None, "x"));
        one.apply(50, &put(50, None, "y"));
        assert_ne!(one.digest(), other.digest());
        assert!(Fleet::of(&one.bytes()[..9]).is_err() && Command::of(&[9, 9]).is_err());
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
