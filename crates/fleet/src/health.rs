//! Whether what was moved does worse than what was not, from counts of how reqs ended. Too few reqs are not known yet, not well.

use serde::{Deserialize, Serialize};

/// How sure a difference must be, as the natural logarithm of one to its chance: one in some million. A release of hundreds is
/// looked at many thousand times.
const SURE: f64 = 14.0;
/// Errors by chance that are allowed for in what it is held against.
const ERRORS: f64 = 2.0;

/// How reqs ended, since a process started or between two moments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    pub served: u64,
    #[serde(rename = "nacked")]
    pub rejected: u64,
    pub failed: u64,
    /// Of the served, those that took longer than their latency budget.
    pub slow: u64,
}

impl RequestCounts {
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed
    }

    /// What came between an earlier count of the same process and this one.
    pub fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            served: self.served.saturating_sub(earlier.served),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    pub fn add(&mut self, other: &RequestCounts) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

/// What must hold of those that were moved: by how much their shares may be worse than others'.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Criteria {
    /// Reqs that each side must have had to be judged.
    #[serde(rename = "leastReqs")]
    pub min_requests: u64,
    #[serde(default)]
    pub served_lower: Option<f64>,
    #[serde(default)]
    #[serde(rename = "nackedHigher")]
    pub rejected_higher: Option<f64>,
    #[serde(default)]
    pub failed_higher: Option<f64>,
    /// Of the served.
    #[serde(default)]
    pub slow_higher: Option<f64>,
}

type Share = fn(&RequestCounts) -> (u64, u64);

impl Criteria {
    fn rows(&self) -> [(&'static str, Option<f64>, Share); 4] {
        [
            ("servedLower", self.served_lower, |f| (f.rejected + f.failed, f.total())),
            ("nackedHigher", self.rejected_higher, |f| (f.rejected, f.total())),
            ("failedHigher", self.failed_higher, |f| (f.failed, f.total())),
            ("slowHigher", self.slow_higher, |f| (f.slow, f.served)),
        ]
    }

    /// # Errors
    /// The key that is at fault.
    pub fn check(&self) -> Result<(), String> {
        if self.min_requests == 0 {
            return Err("must.leastReqs: expected at least 1".to_string());
        }
        for (name, most, _) in self.rows() {
            if most.is_some_and(|most| !(0.0..1.0).contains(&most)) {
                return Err(format!("must.{name}: expected a share from 0 up to 1"));
            }
        }
        if self.rows().iter().all(|(_, most, _)| most.is_none()) {
            return Err("must: expected servedLower, nackedHigher, failedHigher or slowHigher".to_string());
        }
        Ok(())
    }

    /// What is worse on one side than on the other, by more than may be and more than chance.
    fn worse(&self, one: &RequestCounts, other: &RequestCounts) -> Option<String> {
        self.rows().into_iter().find_map(|(name, most, share)| {
            let (bad, all) = share(one);
            let (other_bad, other_all) = share(other);
            if all == 0 || other_all == 0 {
                return None;
            }
            let (p, q) = (bad as f64 / all as f64, other_bad as f64 / other_all as f64);
            let error = ERRORS * (q * (1.0 - q) / other_all as f64).sqrt() + 1.0 / other_all as f64;
            let may_be = q + most? + error;
            // Chernoff's bound: so many of so many come by a chance of `may_be` with a probability under e to the minus this.
            (p > may_be && all as f64 * apart(p, may_be) > SURE).then(|| {
                let what = match name {
                    "servedLower" => "not served",
                    "nackedHigher" => "nacked",
                    "failedHigher" => "failed",
                    _ => "over their budget",
                };
                format!("{:.1}% of {all} reqs {what}, against {:.1}% of {other_all}", p * 100.0, q * 100.0)
            })
        })
    }

    pub fn judge(&self, moved: &RequestCounts, others: &RequestCounts, before: &RequestCounts) -> Verdict {
        if moved.total() < self.min_requests {
            return Verdict::Undecided;
        }
        let known = |figures: &RequestCounts| figures.total() >= self.min_requests;
        if known(others) {
            if let Some(what) = self.worse(moved, others) {
                return Verdict::Worse(format!("{what} of those not moved"));
            }
            if known(before)
                && let Some(what) = self.worse(others, before)
            {
                return Verdict::Outage(format!("those not moved do worse than before: {what} then"));
            }
            return Verdict::Healthy;
        }
        match known(before) {
            // Nobody is left that was not moved: whether it is the candidate cannot be told.
            true => match self.worse(moved, before) {
                Some(what) => {
                    Verdict::Outage(format!("{what} before the release, and nobody is left to compare"))
                }
                None => Verdict::Healthy,
            },
            false => Verdict::Undecided,
        }
    }
}

/// How far a share is from a chance: Kullback and Leibler's measure, in nats.
fn apart(share: f64, chance: f64) -> f64 {
    let part = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    if chance >= 1.0 { 0.0 } else { part(share, chance) + part(1.0 - share, 1.0 - chance) }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Healthy,
    /// Too few reqs, on a side that it takes.
    Undecided,
    /// What was moved does worse than what was not.
    Worse(String),
    /// All do worse than before, what was moved no more than the rest, as far as there is a rest.
    Outage(String),
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    fn must() -> Criteria {
        Criteria {
            min_requests: 100,
            served_lower: Some(0.02),
            rejected_higher: None,
            failed_higher: None,
            slow_higher: Some(0.05),
        }
    }

    fn figures(served: u64, failed: u64, slow: u64) -> RequestCounts {
        RequestCounts { served, failed, slow, rejected: 0 }
    }

    #[test]
    fn too_few_reqs_are_not_known_and_an_outage_is_not_the_candidates() {
        let (well, bad) = (figures(990, 10, 5), figures(800, 200, 5));
        assert_eq!(must().judge(&figures(99, 0, 0), &well, &well), Verdict::Undecided);
        assert_eq!(must().judge(&well, &well, &well), Verdict::Healthy);
        assert_eq!(must().judge(&well, &figures(9, 0, 0), &figures(9, 0, 0)), Verdict::Undecided);
        let Verdict::Worse(why) = must().judge(&bad, &well, &well) else { panic!() };
        assert_eq!(why, "20.0% of 1000 reqs not served, against 1.0% of 1000 of those not moved");
        assert!(matches!(must().judge(&bad, &bad, &well), Verdict::Outage(_)));
        // The last of all have only what was before to be held against.
        assert!(matches!(must().judge(&bad, &RequestCounts::default(), &well), Verdict::Outage(_)));
        let slow = figures(1000, 0, 300);
        let Verdict::Worse(why) = must().judge(&slow, &well, &well) else { panic!() };
        assert!(why.starts_with("30.0% of 1000 reqs over their budget"), "{why}");
    }

    #[test]
    fn chance_alone_makes_nothing_worse() {
        let mut chance = Rand64::new(7);
        let mut draw = |reqs: u64, share: f64| {
            let failed = (0..reqs).filter(|_| chance.rand_float() < share).count() as u64;
            figures(reqs - failed, failed, 0)
        };
        let (mut found, mut blamed) = (0, 0);
        for _ in 0..3000 {
            let before = draw(2000, 0.05);
            blamed +=
                u32::from(must().judge(&draw(200, 0.05), &draw(600, 0.05), &before) != Verdict::Healthy);
            found += u32::from(matches!(
                must().judge(&draw(200, 0.3), &draw(600, 0.05), &before),
                Verdict::Worse(_)
            ));
        }
        assert!(blamed == 0 && found > 2950, "{blamed} {found}");
    }
}
