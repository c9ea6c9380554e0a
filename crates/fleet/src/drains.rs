//! Drains: who is out of service, and how many may be. Permission to drain is a log entry, requested before anything is done,
//! and is held until its holder serves again. Whatever does not serve counts as out, whether it was drained or failed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use appledyke::units::{Moment, Span};
use serde::{Deserialize, Serialize};

use crate::members::{Member, MemberStatus};

/// How long an operator's drain command waits for the fleet's decision: a caller of the operator address waits a little longer.
pub const ANSWER_TIMEOUT: Span = Span::from_millis(1000);
/// Refusal by a daemon that does not lead. It decides nothing: the member sends its request to the leader.
pub const NOT_LEADER: &str = "this daemon is not the leader";
/// Maximum number of names in a refusal; the rest is counted.
const MAX_NAMES_LISTED: usize = 6;

/// A number of members, or a fraction of a group, rounded so that fewer may be out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Amount {
    Number(u32),
    Share(f64),
}

/// A group of members and its limits, as configured by operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Group {
    pub name: String,
    #[serde(default)]
    #[serde(rename = "mostOut")]
    pub max_out: Option<Amount>,
    #[serde(default)]
    #[serde(rename = "leastServing")]
    pub min_serving: Option<Amount>,
    /// Endpoints that belong to it, by their names in discovery. Members state their groups in their own configuration files.
    #[serde(default)]
    pub endpoints: Vec<String>,
}

impl Group {
    /// # Errors
    /// The invalid key, and what is expected.
    pub fn check(&self) -> Result<(), String> {
        let key = |name: &str| format!("groups.{}.{name}", self.name);
        if self.name.is_empty() || self.name.len() > crate::members::MAX_TEXT_BYTES {
            return Err("groups.name: expected a name".to_string());
        }
        for (at, name) in self.endpoints.iter().enumerate() {
            if name.is_empty()
                || name.len() > crate::members::MAX_TEXT_BYTES
                || self.endpoints[..at].contains(name)
            {
                return Err(format!("{}: expected names, each once, not '{name}'", key("endpoints")));
            }
        }
        if self.max_out.is_none() && self.min_serving.is_none() {
            return Err(format!("{}: expected this, leastServing or both", key("mostOut")));
        }
        for (name, amount) in [("mostOut", self.max_out), ("leastServing", self.min_serving)] {
            match amount {
                Some(Amount::Share(share)) if !(share > 0.0 && share < 1.0) => {
                    return Err(format!("{}: expected a share between 0 and 1, not {share}", key(name)));
                }
                Some(Amount::Number(0)) => {
                    return Err(format!(
                        "{}: expected at least 1; without it there is no such bound",
                        key(name)
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// How many of a group of this size may be out.
    pub fn max_out_of(&self, size: usize) -> usize {
        let max_out = match self.max_out {
            Some(Amount::Number(max_out)) => max_out as usize,
            Some(Amount::Share(share)) => (size as f64 * share).floor() as usize,
            None => size,
        };
        let min_serving = match self.min_serving {
            Some(Amount::Number(min_serving)) => min_serving as usize,
            Some(Amount::Share(share)) => (size as f64 * share).ceil() as usize,
            None => 0,
        };
        max_out.min(size.saturating_sub(min_serving))
    }
}

impl Group {
    /// Checks whether one more may be out in addition to these, in a group of this size.
    fn check_one_more_out(&self, size: usize, out: Vec<String>) -> Result<(), OutLimitReached> {
        let max_out = self.max_out_of(size);
        if out.len() < max_out {
            Ok(())
        } else {
            Err(OutLimitReached { group: self.name.clone(), max_out, size, out })
        }
    }
}

/// Checks all groups of one write.
///
/// # Errors
/// The invalid key.
pub fn check(groups: &[Group]) -> Result<(), String> {
    for (at, group) in groups.iter().enumerate() {
        group.check()?;
        if groups[..at].iter().any(|other| other.name == group.name) {
            return Err(format!("groups.{}: it stands there twice", group.name));
        }
    }
    Ok(())
}

/// A drain refused because a group has reached its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutLimitReached {
    pub group: String,
    pub max_out: usize,
    pub size: usize,
    pub out: Vec<String>,
}

impl fmt::Display for OutLimitReached {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let OutLimitReached { group, max_out, size, out } = self;
        write!(f, "{} of {max_out} out in {group}, which has {size}", out.len())?;
        if !out.is_empty() {
            write!(f, ": {}", out[..out.len().min(MAX_NAMES_LISTED)].join(", "))?;
        }
        if out.len() > MAX_NAMES_LISTED {
            write!(f, " and {} more", out.len() - MAX_NAMES_LISTED)?;
        }
        Ok(())
    }
}

/// Whether a member counts as out.
pub fn is_out(member: &Member) -> bool {
    member.status != MemberStatus::Serving || member.drain_request.is_some() || member.drained_by_release
}

/// Checks whether an endpoint may be taken out of service in addition to those that are, and those that are unavailable by
/// themselves.
///
/// # Errors
/// The first group whose limit it would exceed, in the order of the settings.
pub fn check_endpoint_out(
    groups: &[Group],
    drained: &BTreeSet<String>,
    missing: &[String],
    name: &str,
) -> Result<(), OutLimitReached> {
    for group in groups.iter().filter(|group| group.endpoints.iter().any(|own| own == name)) {
        let out = group.endpoints.iter().filter(|other| *other != name);
        let out: Vec<String> =
            out.filter(|other| drained.contains(*other) || missing.contains(other)).cloned().collect();
        group.check_one_more_out(group.endpoints.len(), out)?;
    }
    Ok(())
}

/// Checks whether a member may be drained in addition to those that are out.
///
/// # Errors
/// The first group whose limit it would exceed, in the order of the settings.
pub fn check_member_out(
    groups: &[Group],
    members: &BTreeMap<String, Member>,
    name: &str,
) -> Result<(), OutLimitReached> {
    let Some(own) = members.get(name) else { return Ok(()) };
    for group in groups.iter().filter(|group| own.groups.contains(&group.name)) {
        let in_group = members.iter().filter(|(_, member)| member.groups.contains(&group.name));
        let size = in_group.clone().count();
        let out: Vec<String> = in_group
            .filter(|(other, member)| *other != name && is_out(member))
            .map(|(name, _)| name.clone())
            .collect();
        group.check_one_more_out(size, out)?;
    }
    Ok(())
}

/// A drain request as it is sent to a daemon. It may be sent again under the same number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRequest {
    pub number: u64,
    /// Why the member drains whatever the limits are, if it does.
    pub forced_reason: Option<String>,
}

/// Why a drain request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// No daemon answered at all.
    NoDaemon,
    /// Daemons answered, but none of them leads.
    NoLeader,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Unanswered::NoDaemon => "no daemon heard",
            Unanswered::NoLeader => "no leader heard",
        })
    }
}

/// The request in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenRequest {
    deadline: Moment,
    forced_reason: Option<String>,
    /// Whether it was sent over the current connection and not turned away there.
    sent: bool,
    turned_away: bool,
}

/// A sidecar's drain requests: the one in progress, and up to where they are finished.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainRequests {
    last_request: u64,
    /// Requests up to this one are finished: the fleet takes their permissions back.
    settled: u64,
    open: Option<OpenRequest>,
}

impl DrainRequests {
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Opens a request, or joins the one in progress, and returns its number.
    pub fn request(&mut self, now: Moment, forced_reason: Option<String>) -> u64 {
        match &mut self.open {
            Some(open) if forced_reason.is_some() => {
                (open.forced_reason, open.sent) = (forced_reason, false);
            }
            Some(_) => {}
            None => {
                self.last_request = self.last_request.max(self.settled) + 1;
                let deadline = now + ANSWER_TIMEOUT;
                self.open = Some(OpenRequest { deadline, forced_reason, sent: false, turned_away: false });
            }
        }
        self.last_request
    }

    /// The request in progress, if it has to be sent over the current connection. It counts as sent from then on.
    pub fn take_unsent(&mut self) -> Option<DrainRequest> {
        let open = self.open.as_mut().filter(|open| !open.sent)?;
        open.sent = true;
        Some(DrainRequest { number: self.last_request, forced_reason: open.forced_reason.clone() })
    }

    /// The connection over which requests are sent is another one from now on.
    pub fn on_connection_change(&mut self) {
        if let Some(open) = &mut self.open {
            open.sent = false;
        }
    }

    /// A daemon that does not lead turned this request away. Returns whether it is the one in progress.
    pub fn on_turned_away(&mut self, number: u64) -> bool {
        let current = self.open.as_mut().filter(|_| number == self.last_request);
        let is_current = current.is_some();
        if let Some(open) = current {
            (open.sent, open.turned_away) = (false, true);
        }
        is_current
    }

    /// When the request in progress times out.
    pub fn deadline(&self) -> Option<Moment> {
        self.open.as_ref().map(|open| open.deadline)
    }

    /// Handles an answer. Returns whether it belongs to the request in progress. Danger: an answer to a request that was given up
    /// must not drain the member, as the operator was already told that it is refused.
    pub fn on_answer(&mut self, number: u64, granted: bool) -> bool {
        let current = self.open.is_some() && number == self.last_request;
        if current {
            self.open = None;
            if !granted {
                self.settled = self.last_request;
            }
        }
        current
    }

    /// No answer came in time: a permission that may still arrive is not used.
    pub fn give_up(&mut self) -> Unanswered {
        self.settled = self.last_request;
        match self.open.take() {
            Some(open) if open.turned_away => Unanswered::NoLeader,
            _ => Unanswered::NoDaemon,
        }
    }

    /// The member serves again, or never drained.
    pub fn on_return(&mut self) {
        if self.open.is_none() {
            self.settled = self.last_request;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(group: &str, standing: MemberStatus) -> Member {
        Member {
            incarnation: 1,
            status: standing,
            groups: vec![group.to_string()],
            drain_request: None,
            drained_by_release: false,
        }
    }

    fn group(max_out: Option<Amount>, min_serving: Option<Amount>) -> Group {
        Group { name: "a".into(), max_out, min_serving, endpoints: Vec::new() }
    }

    #[test]
    fn fractions_round_to_the_safe_side_and_invalid_ones_are_named() {
        let share = |share| Some(Amount::Share(share));
        assert_eq!(group(share(0.25), None).max_out_of(7), 1);
        assert_eq!(group(None, share(0.75)).max_out_of(7), 1);
        assert_eq!(group(share(0.25), None).max_out_of(3), 0);
        assert_eq!(group(Some(Amount::Number(5)), Some(Amount::Number(2))).max_out_of(4), 2);
        assert_eq!(group(None, Some(Amount::Number(9))).max_out_of(4), 0);
        for (group, said) in [
            (group(share(1.0), None), "groups.a.mostOut: expected a share between 0 and 1, not 1"),
            (group(share(f64::NAN), None), "groups.a.mostOut: "),
            (group(None, Some(Amount::Number(0))), "groups.a.leastServing: expected at least 1"),
            (group(None, None), "groups.a.mostOut: expected this, leastServing or both"),
        ] {
            let found = check(std::slice::from_ref(&group)).unwrap_err();
            assert!(found.starts_with(said), "{found}");
        }
        let good = group(Some(Amount::Number(1)), None);
        assert_eq!(check(&[good.clone(), good]).unwrap_err(), "groups.a: it stands there twice");
    }

    #[test]
    fn failed_members_count_like_drained_ones() {
        let groups = [group(Some(Amount::Number(1)), None)];
        let mut members: BTreeMap<_, _> =
            (0..3).map(|at| (format!("s{at}"), member("a", MemberStatus::Serving))).collect();
        members.insert("b0".into(), member("b", MemberStatus::Silent));
        assert_eq!(check_member_out(&groups, &members, "s0"), Ok(()));
        for standing in [
            MemberStatus::Silent,
            MemberStatus::Gone,
            MemberStatus::Joining,
            MemberStatus::Drained,
            MemberStatus::Leaving,
        ] {
            members.get_mut("s1").unwrap().status = standing;
            let said = check_member_out(&groups, &members, "s0").unwrap_err().to_string();
            assert_eq!(said, "1 of 1 out in a, which has 3: s1");
            // A member that is already out may ask again.
            assert_eq!(check_member_out(&groups, &members, "s1"), Ok(()));
        }
        members.get_mut("s1").unwrap().status = MemberStatus::Serving;
        members.get_mut("s1").unwrap().drain_request = Some(1);
        assert!(check_member_out(&groups, &members, "s0").is_err());
    }

    #[test]
    fn an_answer_after_the_request_was_given_up_drains_nobody() {
        let at = |ms: u64| Moment::from_nanos(ms * 1_000_000);
        let mut asker = DrainRequests::default();
        assert_eq!((asker.request(at(0), None), asker.request(at(10), None), asker.settled()), (1, 1, 0));
        assert_eq!(asker.give_up(), Unanswered::NoDaemon);
        assert_eq!((asker.on_answer(1, true), asker.settled()), (false, 1));
        assert_eq!(asker.request(at(20), None), 2);
        assert!(!asker.on_answer(1, true));
        assert!(asker.on_answer(2, true));
        // Drained by the second request: its permission is kept until the member serves again.
        assert_eq!(asker.settled(), 1);
        asker.on_return();
        assert_eq!(asker.settled(), 2);
        assert_eq!(asker.request(at(30), None), 3);
        assert!(asker.on_answer(3, false) && asker.settled() == 3);
    }

    #[test]
    fn a_request_is_sent_once_per_connection_and_again_after_it_was_turned_away() {
        let at = |ms: u64| Moment::from_nanos(ms * 1_000_000);
        let request = |forced_reason| Some(DrainRequest { number: 1, forced_reason });
        let mut requests = DrainRequests::default();
        assert_eq!(requests.take_unsent(), None);
        requests.request(at(0), None);
        assert_eq!((requests.take_unsent(), requests.take_unsent()), (request(None), None));
        requests.on_connection_change();
        assert_eq!((requests.take_unsent(), requests.take_unsent()), (request(None), None));
        assert!(!requests.on_turned_away(2));
        assert_eq!(requests.take_unsent(), None);
        assert!(requests.on_turned_away(1));
        assert_eq!((requests.take_unsent(), requests.take_unsent()), (request(None), None));
        // A second operator forces the same request, which has to be said.
        let reason = Some("the rack burns".to_string());
        assert_eq!(requests.request(at(10), reason.clone()), 1);
        assert_eq!((requests.take_unsent(), requests.take_unsent()), (request(reason), None));
        assert_eq!(requests.give_up(), Unanswered::NoLeader);
        requests.on_connection_change();
        assert_eq!((requests.take_unsent(), requests.on_turned_away(1)), (None, false));
    }
}
