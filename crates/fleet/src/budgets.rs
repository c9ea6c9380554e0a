//! Fleet-wide budgets: what the log says that each holder may use. The sum of what holders may be using never stands above
//! what there is to divide, whatever is said or lost.
//!
//! A holder's part is raised only into room; a part that is lowered stays counted with until it is released: until its holder
//! can't be using more. When that is so is the leader's to find (`divide`); renewals of a lease make no entries.

use std::collections::BTreeMap;
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};

/// An entry, by the generation of its log: one that was put back from a backup begins a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub generation: u64,
    pub index: Index,
}

/// What a budget is of: one budget to a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Write-outs to all endpoints of the list, in a window.
    #[serde(rename = "write-outs")]
    Attempts,
    /// Further write-outs of a req, in a window.
    #[serde(rename = "repeats")]
    Retries,
    /// Connections at one endpoint.
    Connections,
    /// Write-outs that are out at one endpoint.
    InFlight,
    /// Calls to the list's service, in a window.
    #[serde(rename = "list-calls")]
    DiscoveryCalls,
    /// Write-outs to endpoints that are cold as they have just started, all of them together, in a window.
    #[serde(rename = "cold-write-outs")]
    ColdAttempts,
}

impl Resource {
    pub const ALL: [Resource; 6] = [
        Resource::Attempts,
        Resource::Retries,
        Resource::Connections,
        Resource::InFlight,
        Resource::DiscoveryCalls,
        Resource::ColdAttempts,
    ];

    /// Whether it is held until it is given back; else it is spent in time.
    pub fn is_concurrency_limit(self) -> bool {
        matches!(self, Resource::Connections | Resource::InFlight)
    }

    pub fn name(self) -> &'static str {
        match self {
            Resource::Attempts => "write-outs",
            Resource::Retries => "repeats",
            Resource::Connections => "connections",
            Resource::InFlight => "in-flight",
            Resource::DiscoveryCalls => "list-calls",
            Resource::ColdAttempts => "cold-write-outs",
        }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What operators state of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Budget {
    #[serde(rename = "of")]
    pub resource: Resource,
    /// For the whole fleet: in any window, or at any moment.
    #[serde(rename = "whole")]
    pub quota: u64,
    /// Of a flow, in milliseconds; 0 for a stock.
    #[serde(default)]
    pub window_ms: u64,
    /// Each member that asks gets this much at least, while there is room.
    #[serde(rename = "least")]
    pub min_share: u64,
    /// What each sidecar may use without daemons, at any time: counted with from the start.
    #[serde(rename = "alone")]
    pub standalone_share: u64,
    /// How many sidecars that may be at the most.
    #[serde(rename = "members")]
    pub max_members: u64,
}

/// Longest window: a part that moves is idle for one.
const WINDOW_MOST_MS: u64 = 60_000;
/// A whole above this is no limit of anything.
const WHOLE_MOST: u64 = 1 << 40;

impl Budget {
    /// # Errors
    /// The key that is at fault, and what would do.
    pub fn check(&self) -> Result<(), String> {
        let Budget {
            resource: of,
            quota: whole,
            window_ms,
            min_share: least,
            standalone_share: alone,
            max_members: members,
        } = *self;
        if whole == 0 || whole > WHOLE_MOST {
            return Err(format!("budgets.{of}.whole: expected 1 to {WHOLE_MOST}, not {whole}"));
        }
        if of.is_concurrency_limit() != (window_ms == 0) || window_ms > WINDOW_MOST_MS {
            let wanted = if of.is_concurrency_limit() {
                "none for a stock".to_string()
            } else {
                format!("1 to {WINDOW_MOST_MS}")
            };
            return Err(format!("budgets.{of}.windowMs: expected {wanted}, not {window_ms}"));
        }
        if members == 0 {
            return Err(format!("budgets.{of}.members: expected how many sidecars there may be, not 0"));
        }
        let set_aside = alone.checked_mul(members).filter(|set_aside| *set_aside < whole);
        let Some(set_aside) = set_aside else {
            return Err(format!(
                "budgets.{of}.alone: {alone} for each of {members} is not less than the whole, {whole}; {} would do",
                whole.saturating_sub(1) / members
            ));
        };
        if least == 0 || least > whole - set_aside {
            return Err(format!("budgets.{of}.least: expected 1 to {}, not {least}", whole - set_aside));
        }
        Ok(())
    }

    /// What is divided by the log: the whole but for what sidecars may use alone.
    pub fn divisible(&self) -> u64 {
        self.quota.saturating_sub(self.standalone_share.saturating_mul(self.max_members))
    }
}

/// Checks budgets that are put together.
///
/// # Errors
/// The key that is at fault.
pub fn check(budgets: &[Budget]) -> Result<(), String> {
    for (at, budget) in budgets.iter().enumerate() {
        budget.check()?;
        if budgets[..at].iter().any(|other| other.resource == budget.resource) {
            return Err(format!("budgets.{}: it stands there twice", budget.resource));
        }
    }
    Ok(())
}

/// One process of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub name: String,
    pub incarnation: u64,
}

/// A holder's part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// What it is granted from `since` on.
    pub granted: u64,
    /// What it may be using still.
    pub reserved: u64,
    /// The entry that set it last.
    pub since: Index,
}

/// A division, in one entry for many holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareChange {
    /// These are granted so much.
    Grant(Resource, Vec<(Holder, u64)>),
    /// These use no more than they are granted since the entry that is named.
    Release(Resource, Vec<(Holder, Index)>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budgets {
    stated: BTreeMap<Resource, Budget>,
    /// What was granted before is not known: nothing is granted before it has run out.
    blind: bool,
    parts: BTreeMap<Resource, BTreeMap<Holder, Share>>,
}

impl Budgets {
    pub fn configured(&self) -> impl Iterator<Item = &Budget> {
        self.stated.values()
    }

    pub fn budget(&self, of: Resource) -> Option<&Budget> {
        self.stated.get(&of)
    }

    /// The parts of a budget, also of one that is stated no more and not all given back.
    pub fn shares(&self, of: Resource) -> impl Iterator<Item = (&Holder, &Share)> {
        self.parts.get(&of).into_iter().flatten()
    }

    pub fn share(&self, of: Resource, holder: &Holder) -> Option<&Share> {
        self.parts.get(&of)?.get(holder)
    }

    /// Holders of a part of a budget that are earlier processes of this one's name.
    pub fn earlier_incarnations(&self, of: Resource, holder: &Holder) -> impl Iterator<Item = &Holder> {
        let first = Holder { name: holder.name.clone(), incarnation: 0 };
        let range = self.parts.get(&of).map(|parts| parts.range(first..holder.clone()));
        range.into_iter().flatten().map(|(earlier, _)| earlier)
    }

    /// What all holders may be using.
    pub fn reserved(&self, of: Resource) -> u64 {
        self.shares(of).map(|(_, part)| part.reserved).sum()
    }

    /// What may be granted now beside that.
    pub fn available(&self, of: Resource) -> u64 {
        self.budget(of).map_or(0, Budget::divisible).saturating_sub(self.reserved(of))
    }

    /// How far above what is to be divided now holders may stand still: after a whole was lowered, until it is taken back.
    pub fn excess(&self, of: Resource) -> u64 {
        self.reserved(of).saturating_sub(self.budget(of).map_or(0, Budget::divisible))
    }

    /// These budgets hold from here on. What is granted stays until it is taken back: a whole that is lowered is lowered once
    /// its parts are.
    pub fn configure(&mut self, budgets: &[Budget]) {
        self.stated = budgets.iter().map(|budget| (budget.resource, *budget)).collect();
    }

    pub fn apply(&mut self, index: Index, change: &ShareChange) {
        match change {
            ShareChange::Grant(of, sets) => {
                self.blind = false;
                // What is lowered in the same entry makes no room in it: it is counted with until it is released.
                let mut room = self.available(*of);
                for (holder, granted) in sets {
                    room -= self.grant(index, *of, holder, *granted, room);
                }
            }
            ShareChange::Release(of, sets) => {
                let Some(parts) = self.parts.get_mut(of) else { return };
                for (holder, since) in sets {
                    // Danger: a release of an earlier part, said late, must not free a later one.
                    if let Some(part) = parts.get_mut(holder)
                        && part.since == *since
                    {
                        part.reserved = part.granted;
                    }
                }
                parts.retain(|_, part| part.reserved > 0);
            }
        }
    }

    /// What of the room it takes.
    fn grant(&mut self, index: Index, of: Resource, holder: &Holder, granted: u64, room: u64) -> u64 {
        let stated = self.stated.contains_key(&of);
        let parts = self.parts.entry(of).or_default();
        let part = parts.get(holder).copied().unwrap_or_default();
        let more = granted.saturating_sub(part.reserved);
        if granted == part.granted || more > room || !stated && granted > part.granted {
            return 0;
        }
        let counted = part.reserved.max(granted);
        if counted > 0 {
            parts.insert(holder.clone(), Share { granted, reserved: counted, since: index });
        }
        more
    }

    /// What holders may be using is not known any more, as after a restore.
    pub fn forget_shares(&mut self) {
        self.parts.clear();
        self.blind = true;
    }

    pub fn are_shares_unknown(&self) -> bool {
        self.blind
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    pub fn flow(whole: u64, alone: u64, members: u64) -> Budget {
        Budget {
            resource: Resource::Attempts,
            quota: whole,
            window_ms: 1000,
            min_share: 1,
            standalone_share: alone,
            max_members: members,
        }
    }

    fn holder(number: u64) -> Holder {
        Holder { name: format!("s{number}"), incarnation: 1 }
    }

    #[test]
    fn faulty_budgets_are_refused_by_key_with_what_would_do() {
        let good = flow(100, 2, 10);
        assert_eq!(check(&[good, Budget { resource: Resource::InFlight, window_ms: 0, ..good }]), Ok(()));
        for (budget, said) in [
            (Budget { quota: 0, ..good }, "budgets.write-outs.whole: expected 1 to"),
            (Budget { window_ms: 0, ..good }, "budgets.write-outs.windowMs: expected 1 to 60000, not 0"),
            (
                Budget { resource: Resource::Connections, ..good },
                "budgets.connections.windowMs: expected none for a stock",
            ),
            (Budget { max_members: 0, ..good }, "budgets.write-outs.members: "),
            (
                Budget { standalone_share: 10, ..good },
                "budgets.write-outs.alone: 10 for each of 10 is not less than the whole, 100; 9 would do",
            ),
            (Budget { standalone_share: u64::MAX, ..good }, "budgets.write-outs.alone: "),
            (Budget { min_share: 81, ..good }, "budgets.write-outs.least: expected 1 to 80, not 81"),
        ] {
            let found = check(&[budget]).unwrap_err();
            assert!(found.starts_with(said), "{found}");
        }
        assert_eq!(check(&[good, good]).unwrap_err(), "budgets.write-outs: it stands there twice");
    }

    #[test]
    fn a_part_is_raised_into_room_only_and_counts_until_it_is_released() {
        let of = Resource::Attempts;
        let mut budgets = Budgets::default();
        budgets.configure(&[flow(100, 2, 10)]);
        budgets.apply(1, &ShareChange::Grant(of, vec![(holder(1), 50), (holder(2), 30), (holder(3), 1)]));
        assert_eq!(
            (budgets.reserved(of), budgets.available(of), budgets.share(of, &holder(3))),
            (80, 0, None)
        );
        // One is lowered, and the other gets nothing of it before it is released.
        budgets.apply(2, &ShareChange::Grant(of, vec![(holder(1), 10), (holder(2), 70)]));
        assert_eq!(
            budgets.share(of, &holder(1)).copied(),
            Some(Share { granted: 10, reserved: 50, since: 2 })
        );
        assert_eq!(budgets.share(of, &holder(2)).map(|part| part.granted), Some(30));
        budgets.apply(3, &ShareChange::Release(of, vec![(holder(1), 1)]));
        assert_eq!(budgets.reserved(of), 80);
        budgets.apply(4, &ShareChange::Release(of, vec![(holder(1), 2)]));
        budgets.apply(5, &ShareChange::Grant(of, vec![(holder(2), 70)]));
        assert_eq!((budgets.reserved(of), budgets.available(of)), (80, 0));
        // Back up within what is counted still needs no room.
        budgets.apply(6, &ShareChange::Grant(of, vec![(holder(2), 5)]));
        budgets.apply(7, &ShareChange::Grant(of, vec![(holder(2), 60)]));
        assert_eq!(
            budgets.share(of, &holder(2)).copied(),
            Some(Share { granted: 60, reserved: 70, since: 7 })
        );
        // The whole is lowered to a tenth: it says how far it stands over, and never grants into it.
        budgets.configure(&[flow(30, 2, 10)]);
        assert_eq!((budgets.excess(of), budgets.available(of)), (70, 0));
        budgets.apply(8, &ShareChange::Grant(of, vec![(holder(1), 0), (holder(2), 10), (holder(3), 1)]));
        budgets.apply(9, &ShareChange::Release(of, vec![(holder(1), 8), (holder(2), 8)]));
        assert_eq!((budgets.excess(of), budgets.available(of), budgets.shares(of).count()), (0, 0, 1));
        budgets.configure(&[]);
        budgets.apply(10, &ShareChange::Grant(of, vec![(holder(2), 20)]));
        assert_eq!(budgets.share(of, &holder(2)).map(|part| part.granted), Some(10));
    }

    #[test]
    fn no_random_history_counts_more_than_was_ever_to_be_divided() {
        for seed in 0..400 {
            let mut chance = Rand64::new(seed);
            let of = Resource::Attempts;
            let mut budgets = Budgets::default();
            let (mut most, mut index) = (0, 0);
            for _ in 0..300 {
                index += 1;
                let mut draw = |to: u64| chance.rand_range(0..to);
                match draw(10) {
                    0 => {
                        let budget = flow(20 + draw(200), 1, 4);
                        budgets.configure(&[budget]);
                        // From here on nothing is granted above the new; what is counted is above it only if it was before.
                        most = budget.divisible().max(budgets.reserved(of));
                    }
                    1..=3 => {
                        let holders: Vec<_> = budgets
                            .shares(of)
                            .map(|(h, p)| (h.clone(), p.since - draw(2).min(p.since)))
                            .collect();
                        budgets.apply(index, &ShareChange::Release(of, holders));
                    }
                    _ => {
                        let sets = (0..1 + draw(4)).map(|_| (holder(draw(6)), draw(120))).collect();
                        budgets.apply(index, &ShareChange::Grant(of, sets));
                    }
                }
                let counted = budgets.reserved(of);
                assert!(counted <= most, "seed {seed}: {counted} of {most}");
                assert!(budgets.shares(of).all(|(_, part)| part.granted <= part.reserved), "seed {seed}");
                if budgets.excess(of) == 0 {
                    most = budgets.budget(of).map_or(0, Budget::divisible);
                }
            }
        }
    }
}
