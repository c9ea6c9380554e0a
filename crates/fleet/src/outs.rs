//! Who is out, and how many may be: permission to go out is an entry of the log, asked for before anything is done, and holds
//! until who has it is back. Whatever does not serve counts as out, whether it was sent out or failed by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use appledyke::units::{Moment, Span};
use serde::{Deserialize, Serialize};

use crate::members::{Member, MemberStatus};

/// How long an operator waits for the fleet's word: the caller of the second address waits a little longer.
pub const ANSWER_TIMEOUT: Span = Span::from_millis(1000);
/// Names that a refusal tells: the rest is counted.
const NAMED_MOST: usize = 6;

/// A number of members, or a share of a group, rounded to the safe side.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Amount {
    Number(u32),
    Share(f64),
}

/// What operators state of a group of members.
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
    /// Endpoints that belong to it, by their names in the list; members say by their own files that they do.
    #[serde(default)]
    pub endpoints: Vec<String>,
}

impl Group {
    /// # Errors
    /// The key that is at fault, and what would do.
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

    /// Most of so many that may be out.
    pub fn max_out_of(&self, size: usize) -> usize {
        let most = match self.max_out {
            Some(Amount::Number(most)) => most as usize,
            Some(Amount::Share(share)) => (size as f64 * share).floor() as usize,
            None => size,
        };
        let least = match self.min_serving {
            Some(Amount::Number(least)) => least as usize,
            Some(Amount::Share(share)) => (size as f64 * share).ceil() as usize,
            None => 0,
        };
        most.min(size.saturating_sub(least))
    }
}

impl Group {
    /// Whether one more may go out beside these, of so many.
    fn check_one_more_out(&self, size: usize, out: Vec<String>) -> Result<(), OutLimitReached> {
        let most = self.max_out_of(size);
        if out.len() < most {
            Ok(())
        } else {
            Err(OutLimitReached { group: self.name.clone(), max_out: most, size, out })
        }
    }
}

/// Checks groups that are put together.
///
/// # Errors
/// The key that is at fault.
pub fn check(groups: &[Group]) -> Result<(), String> {
    for (at, group) in groups.iter().enumerate() {
        group.check()?;
        if groups[..at].iter().any(|other| other.name == group.name) {
            return Err(format!("groups.{}: it stands there twice", group.name));
        }
    }
    Ok(())
}

/// Why one may not go out now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutLimitReached {
    pub group: String,
    pub max_out: usize,
    pub size: usize,
    pub out: Vec<String>,
}

impl fmt::Display for OutLimitReached {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let OutLimitReached { group, max_out: most, size, out } = self;
        write!(f, "{} of {most} out in {group}, which has {size}", out.len())?;
        if !out.is_empty() {
            write!(f, ": {}", out[..out.len().min(NAMED_MOST)].join(", "))?;
        }
        if out.len() > NAMED_MOST {
            write!(f, " and {} more", out.len() - NAMED_MOST)?;
        }
        Ok(())
    }
}

/// Whether a member counts as out.
pub fn is_out(member: &Member) -> bool {
    member.status != MemberStatus::Serving || member.drain_request.is_some() || member.drained_by_release
}

/// Whether an endpoint may be taken out of service beside those that are, and those that are missing by themselves.
///
/// # Errors
/// The first group that does not bear it, by the settings' order.
pub fn check_endpoint_out(
    groups: &[Group],
    outs: &BTreeSet<String>,
    missing: &[String],
    name: &str,
) -> Result<(), OutLimitReached> {
    for group in groups.iter().filter(|group| group.endpoints.iter().any(|own| own == name)) {
        let out = group.endpoints.iter().filter(|other| *other != name);
        let out: Vec<String> =
            out.filter(|other| outs.contains(*other) || missing.contains(other)).cloned().collect();
        group.check_one_more_out(group.endpoints.len(), out)?;
    }
    Ok(())
}

/// Whether a member may go out beside those that are.
///
/// # Errors
/// The first group that does not bear it, by the settings' order.
pub fn check_member_out(
    groups: &[Group],
    members: &BTreeMap<String, Member>,
    name: &str,
) -> Result<(), OutLimitReached> {
    let Some(own) = members.get(name) else { return Ok(()) };
    for group in groups.iter().filter(|group| own.groups.contains(&group.name)) {
        let of = members.iter().filter(|(_, member)| member.groups.contains(&group.name));
        let size = of.clone().count();
        let out: Vec<String> = of
            .filter(|(other, member)| *other != name && is_out(member))
            .map(|(name, _)| name.clone())
            .collect();
        group.check_one_more_out(size, out)?;
    }
    Ok(())
}

/// A sidecar's own part: what it has asked for, and what it has given up or come back from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainRequests {
    asks: u64,
    /// Asks up to here hold nothing any more: the fleet takes back what they were permitted.
    settled: u64,
    until: Option<Moment>,
}

impl DrainRequests {
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// The number of the ask that is under way, a new one if there is none.
    pub fn request(&mut self, now: Moment) -> u64 {
        if self.until.is_none() {
            self.asks = self.asks.max(self.settled) + 1;
            self.until = Some(now + ANSWER_TIMEOUT);
        }
        self.asks
    }

    /// When the ask that is under way is given up.
    pub fn deadline(&self) -> Option<Moment> {
        self.until
    }

    /// An answer: whether it is one to the ask that is under way. Danger: one that comes after it was given up must not send
    /// out who has been told no.
    pub fn on_answer(&mut self, ask: u64, granted: bool) -> bool {
        let ours = self.until.is_some() && ask == self.asks;
        if ours {
            self.until = None;
            if !granted {
                self.settled = self.asks;
            }
        }
        ours
    }

    /// Nobody answered: whatever is permitted is not made use of.
    pub fn give_up(&mut self) {
        self.until = None;
        self.settled = self.asks;
    }

    /// It is back, or never went.
    pub fn on_return(&mut self) {
        if self.until.is_none() {
            self.settled = self.asks;
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

    fn group(most_out: Option<Amount>, least_serving: Option<Amount>) -> Group {
        Group { name: "a".into(), max_out: most_out, min_serving: least_serving, endpoints: Vec::new() }
    }

    #[test]
    fn shares_round_to_the_safe_side_and_faulty_ones_are_named() {
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
    fn what_failed_by_itself_counts_like_what_was_sent_out() {
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
            // Who is out already may ask again.
            assert_eq!(check_member_out(&groups, &members, "s1"), Ok(()));
        }
        members.get_mut("s1").unwrap().status = MemberStatus::Serving;
        members.get_mut("s1").unwrap().drain_request = Some(1);
        assert!(check_member_out(&groups, &members, "s0").is_err());
    }

    #[test]
    fn an_answer_after_it_was_given_up_sends_nobody_out() {
        let at = |ms: u64| Moment::from_nanos(ms * 1_000_000);
        let mut asker = DrainRequests::default();
        assert_eq!((asker.request(at(0)), asker.request(at(10)), asker.settled()), (1, 1, 0));
        asker.give_up();
        assert_eq!((asker.on_answer(1, true), asker.settled()), (false, 1));
        assert_eq!(asker.request(at(20)), 2);
        assert!(!asker.on_answer(1, true));
        assert!(asker.on_answer(2, true));
        // Out by the second ask: nothing of it is given back before it is back.
        assert_eq!(asker.settled(), 1);
        asker.on_return();
        assert_eq!(asker.settled(), 2);
        assert_eq!(asker.request(at(30)), 3);
        assert!(asker.on_answer(3, false) && asker.settled() == 3);
    }
}
