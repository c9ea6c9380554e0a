//! Fleet-wide budgets: the share of each rate limit and concurrency limit that each holder is granted, as recorded in the
//! replicated log. The sum of what holders may be using never exceeds the divisible quota, whatever messages are repeated,
//! delayed or lost.
//!
//! A share is raised only into what is available. A lowered share stays reserved at its old size until it is released, which
//! is when its holder cannot be using more any longer. The leader decides when that is (`allocator`); renewals of a lease make
//! no log entries.

use std::collections::BTreeMap;
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};

/// A position in the log. Restoring from a backup begins a new generation, whose positions are all later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub generation: u64,
    pub index: Index,
}

/// The resource that a budget limits: at most one budget per resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Attempts to all endpoints of the discovery list, per window.
    #[serde(rename = "write-outs")]
    Attempts,
    /// Attempts after the first one of a request, per window.
    #[serde(rename = "repeats")]
    Retries,
    /// Connections to one endpoint.
    Connections,
    /// Attempts in flight at one endpoint.
    InFlight,
    /// Calls to the discovery service, per window.
    #[serde(rename = "list-calls")]
    DiscoveryCalls,
    /// Attempts to endpoints that are cold after a start, all of them together, per window.
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

    /// Whether it is a concurrency limit, held until it is given back; otherwise it is a rate limit.
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

/// A budget as configured by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Budget {
    #[serde(rename = "of")]
    pub resource: Resource,
    /// The quota of the whole fleet: in any window, or at any moment.
    #[serde(rename = "whole")]
    pub quota: u64,
    /// The window of a rate limit, in milliseconds; 0 for a concurrency limit.
    #[serde(default)]
    pub window_ms: u64,
    /// The minimum share of each member that asks, while there is enough for all.
    #[serde(rename = "least")]
    pub min_share: u64,
    /// What each sidecar may use at any time, even without daemons: set aside from the quota.
    #[serde(rename = "alone")]
    pub standalone_share: u64,
    /// The maximum number of sidecars.
    #[serde(rename = "members")]
    pub max_members: u64,
}

/// Longest window: a share that moves to another holder is unused for one window.
const MAX_WINDOW_MS: u64 = 60_000;
/// Upper limit for a quota: anything above would not limit at all.
const MAX_QUOTA: u64 = 1 << 40;

impl Budget {
    /// # Errors
    /// The invalid key, and what is expected.
    pub fn check(&self) -> Result<(), String> {
        let Budget { resource: of, quota, window_ms, min_share, standalone_share, max_members: members } =
            *self;
        if quota == 0 || quota > MAX_QUOTA {
            return Err(format!("budgets.{of}.whole: expected 1 to {MAX_QUOTA}, not {quota}"));
        }
        if of.is_concurrency_limit() != (window_ms == 0) || window_ms > MAX_WINDOW_MS {
            let wanted = if of.is_concurrency_limit() {
                "none for a stock".to_string()
            } else {
                format!("1 to {MAX_WINDOW_MS}")
            };
            return Err(format!("budgets.{of}.windowMs: expected {wanted}, not {window_ms}"));
        }
        if members == 0 {
            return Err(format!("budgets.{of}.members: expected how many sidecars there may be, not 0"));
        }
        let set_aside = standalone_share.checked_mul(members).filter(|set_aside| *set_aside < quota);
        let Some(set_aside) = set_aside else {
            return Err(format!(
                "budgets.{of}.alone: {standalone_share} for each of {members} is not less than the whole, {quota}; {} would do",
                quota.saturating_sub(1) / members
            ));
        };
        if min_share == 0 || min_share > quota - set_aside {
            return Err(format!("budgets.{of}.least: expected 1 to {}, not {min_share}", quota - set_aside));
        }
        Ok(())
    }

    /// What is granted by the log: the quota without the standalone shares of all sidecars.
    pub fn divisible(&self) -> u64 {
        self.quota.saturating_sub(self.standalone_share.saturating_mul(self.max_members))
    }
}

/// Checks all budgets of one write.
///
/// # Errors
/// The invalid key.
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

/// A holder's share of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// What it is granted as of `since`.
    pub granted: u64,
    /// What it may still be using.
    pub reserved: u64,
    /// The index of the entry that set it last.
    pub since: Index,
}

/// A change of shares, in one log entry for many holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareChange {
    /// Sets the shares of these holders.
    Grant(Resource, Vec<(Holder, u64)>),
    /// These holders use no more than they were granted by the entry of this index.
    Release(Resource, Vec<(Holder, Index)>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budgets {
    configured: BTreeMap<Resource, Budget>,
    /// It is unknown what was granted before, so nothing is granted until all earlier leases have expired.
    shares_unknown: bool,
    shares: BTreeMap<Resource, BTreeMap<Holder, Share>>,
}

impl Budgets {
    pub fn configured(&self) -> impl Iterator<Item = &Budget> {
        self.configured.values()
    }

    pub fn budget(&self, of: Resource) -> Option<&Budget> {
        self.configured.get(&of)
    }

    /// The shares of a budget, even of one that is no longer configured but not fully released.
    pub fn shares(&self, of: Resource) -> impl Iterator<Item = (&Holder, &Share)> {
        self.shares.get(&of).into_iter().flatten()
    }

    pub fn share(&self, of: Resource, holder: &Holder) -> Option<&Share> {
        self.shares.get(&of)?.get(holder)
    }

    /// Earlier processes of this holder's name that have a share of the budget.
    pub fn earlier_incarnations(&self, of: Resource, holder: &Holder) -> impl Iterator<Item = &Holder> {
        let first = Holder { name: holder.name.clone(), incarnation: 0 };
        let range = self.shares.get(&of).map(|shares| shares.range(first..holder.clone()));
        range.into_iter().flatten().map(|(earlier, _)| earlier)
    }

    /// The sum of what all holders may be using.
    pub fn reserved(&self, of: Resource) -> u64 {
        self.shares(of).map(|(_, share)| share.reserved).sum()
    }

    /// What may be granted now in addition.
    pub fn available(&self, of: Resource) -> u64 {
        self.budget(of).map_or(0, Budget::divisible).saturating_sub(self.reserved(of))
    }

    /// How far holders may still exceed the divisible quota: after it was lowered, until shares are released.
    pub fn excess(&self, of: Resource) -> u64 {
        self.reserved(of).saturating_sub(self.budget(of).map_or(0, Budget::divisible))
    }

    /// Replaces the configured budgets. Granted shares stay until they are taken back: a lowered quota takes effect once the
    /// shares are lowered.
    pub fn configure(&mut self, budgets: &[Budget]) {
        self.configured = budgets.iter().map(|budget| (budget.resource, *budget)).collect();
    }

    pub fn apply(&mut self, index: Index, change: &ShareChange) {
        match change {
            ShareChange::Grant(of, sets) => {
                self.shares_unknown = false;
                // A share that is lowered in the same entry makes nothing available: it stays reserved until it is released.
                let mut available = self.available(*of);
                for (holder, granted) in sets {
                    available -= self.grant(index, *of, holder, *granted, available);
                }
            }
            ShareChange::Release(of, sets) => {
                let Some(shares) = self.shares.get_mut(of) else { return };
                for (holder, since) in sets {
                    // Danger: a late release of an earlier share must not free a later one.
                    if let Some(share) = shares.get_mut(holder)
                        && share.since == *since
                    {
                        share.reserved = share.granted;
                    }
                }
                shares.retain(|_, share| share.reserved > 0);
            }
        }
    }

    /// Sets a share, if the available amount allows it. Returns how much of that it takes.
    fn grant(&mut self, index: Index, of: Resource, holder: &Holder, granted: u64, available: u64) -> u64 {
        let configured = self.configured.contains_key(&of);
        let shares = self.shares.entry(of).or_default();
        let share = shares.get(holder).copied().unwrap_or_default();
        let increase = granted.saturating_sub(share.reserved);
        if granted == share.granted || increase > available || !configured && granted > share.granted {
            return 0;
        }
        let reserved = share.reserved.max(granted);
        if reserved > 0 {
            shares.insert(holder.clone(), Share { granted, reserved, since: index });
        }
        increase
    }

    /// Forgets all shares, as after a restore, when it is unknown what holders may be using.
    pub fn forget_shares(&mut self) {
        self.shares.clear();
        self.shares_unknown = true;
    }

    pub fn are_shares_unknown(&self) -> bool {
        self.shares_unknown
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    pub fn flow(quota: u64, standalone_share: u64, members: u64) -> Budget {
        Budget {
            resource: Resource::Attempts,
            quota,
            window_ms: 1000,
            min_share: 1,
            standalone_share,
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
        // One share is lowered, and the other holder gets nothing of it before it is released.
        budgets.apply(2, &ShareChange::Grant(of, vec![(holder(1), 10), (holder(2), 70)]));
        assert_eq!(
            budgets.share(of, &holder(1)).copied(),
            Some(Share { granted: 10, reserved: 50, since: 2 })
        );
        assert_eq!(budgets.share(of, &holder(2)).map(|share| share.granted), Some(30));
        budgets.apply(3, &ShareChange::Release(of, vec![(holder(1), 1)]));
        assert_eq!(budgets.reserved(of), 80);
        budgets.apply(4, &ShareChange::Release(of, vec![(holder(1), 2)]));
        budgets.apply(5, &ShareChange::Grant(of, vec![(holder(2), 70)]));
        assert_eq!((budgets.reserved(of), budgets.available(of)), (80, 0));
        // Raising a share again within what is still reserved takes nothing of what is available.
        budgets.apply(6, &ShareChange::Grant(of, vec![(holder(2), 5)]));
        budgets.apply(7, &ShareChange::Grant(of, vec![(holder(2), 60)]));
        assert_eq!(
            budgets.share(of, &holder(2)).copied(),
            Some(Share { granted: 60, reserved: 70, since: 7 })
        );
        // The quota is lowered to a tenth: the excess is reported, and nothing is granted into it.
        budgets.configure(&[flow(30, 2, 10)]);
        assert_eq!((budgets.excess(of), budgets.available(of)), (70, 0));
        budgets.apply(8, &ShareChange::Grant(of, vec![(holder(1), 0), (holder(2), 10), (holder(3), 1)]));
        budgets.apply(9, &ShareChange::Release(of, vec![(holder(1), 8), (holder(2), 8)]));
        assert_eq!((budgets.excess(of), budgets.available(of), budgets.shares(of).count()), (0, 0, 1));
        budgets.configure(&[]);
        budgets.apply(10, &ShareChange::Grant(of, vec![(holder(2), 20)]));
        assert_eq!(budgets.share(of, &holder(2)).map(|share| share.granted), Some(10));
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
                        // From here on nothing is granted above the new quota; what is reserved exceeds it only if it did before.
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
                let reserved = budgets.reserved(of);
                assert!(reserved <= most, "seed {seed}: {reserved} of {most}");
                assert!(budgets.shares(of).all(|(_, share)| share.granted <= share.reserved), "seed {seed}");
                if budgets.excess(of) == 0 {
                    most = budgets.budget(of).map_or(0, Budget::divisible);
                }
            }
        }
    }
}
