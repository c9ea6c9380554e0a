//! Decides whether upgraded targets do worse than the others, from counts of request outcomes. With too few requests the verdict
//! is undecided, not healthy.

use serde::{Deserialize, Serialize};

/// The required confidence of a difference, as the negative natural logarithm of its probability by chance: one in some
/// million, because a release of hundreds of targets is judged many thousand times.
const CONFIDENCE: f64 = 14.0;
/// Standard errors that are allowed for in the reference side.
const ALLOWED_STANDARD_ERRORS: f64 = 2.0;

/// Counts of request outcomes, since a process started or between two moments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    pub served: u64,
    #[serde(rename = "nacked")]
    pub rejected: u64,
    pub failed: u64,
    /// Served requests that took longer than their latency budget.
    pub slow: u64,
}

impl RequestCounts {
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed
    }

    /// The difference to an earlier count of the same process.
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

/// The criteria for upgraded targets: by how much their fractions may be worse than those of the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Criteria {
    /// Minimum number of requests on each side for a verdict.
    #[serde(rename = "leastReqs")]
    pub min_requests: u64,
    #[serde(default)]
    pub served_lower: Option<f64>,
    #[serde(default)]
    #[serde(rename = "nackedHigher")]
    pub rejected_higher: Option<f64>,
    #[serde(default)]
    pub failed_higher: Option<f64>,
    /// As a fraction of the served requests.
    #[serde(default)]
    pub slow_higher: Option<f64>,
}

type Fraction = fn(&RequestCounts) -> (u64, u64);

impl Criteria {
    fn rules(&self) -> [(&'static str, Option<f64>, Fraction); 4] {
        [
            ("servedLower", self.served_lower, |f| (f.rejected + f.failed, f.total())),
            ("nackedHigher", self.rejected_higher, |f| (f.rejected, f.total())),
            ("failedHigher", self.failed_higher, |f| (f.failed, f.total())),
            ("slowHigher", self.slow_higher, |f| (f.slow, f.served)),
        ]
    }

    /// # Errors
    /// The invalid key.
    pub fn check(&self) -> Result<(), String> {
        if self.min_requests == 0 {
            return Err("must.leastReqs: expected at least 1".to_string());
        }
        for (name, most, _) in self.rules() {
            if most.is_some_and(|most| !(0.0..1.0).contains(&most)) {
                return Err(format!("must.{name}: expected a share from 0 up to 1"));
            }
        }
        if self.rules().iter().all(|(_, most, _)| most.is_none()) {
            return Err("must: expected servedLower, nackedHigher, failedHigher or slowHigher".to_string());
        }
        Ok(())
    }

    /// What is worse on one side than on the other, by more than the criteria allow and more than by chance.
    fn worse(&self, one: &RequestCounts, other: &RequestCounts) -> Option<String> {
        self.rules().into_iter().find_map(|(name, most, fraction)| {
            let (bad, all) = fraction(one);
            let (other_bad, other_all) = fraction(other);
            if all == 0 || other_all == 0 {
                return None;
            }
            let (p, q) = (bad as f64 / all as f64, other_bad as f64 / other_all as f64);
            let error =
                ALLOWED_STANDARD_ERRORS * (q * (1.0 - q) / other_all as f64).sqrt() + 1.0 / other_all as f64;
            let allowed = q + most? + error;
            // Chernoff bound: with a true fraction of `allowed`, the probability of this many is below e to the power of minus
            // this value.
            (p > allowed && all as f64 * divergence(p, allowed) > CONFIDENCE).then(|| {
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

    pub fn judge(
        &self,
        upgraded: &RequestCounts,
        others: &RequestCounts,
        baseline: &RequestCounts,
    ) -> Verdict {
        if upgraded.total() < self.min_requests {
            return Verdict::Undecided;
        }
        let known = |figures: &RequestCounts| figures.total() >= self.min_requests;
        if known(others) {
            if let Some(what) = self.worse(upgraded, others) {
                return Verdict::Worse(format!("{what} of those not moved"));
            }
            if known(baseline)
                && let Some(what) = self.worse(others, baseline)
            {
                return Verdict::Outage(format!("those not moved do worse than before: {what} then"));
            }
            return Verdict::Healthy;
        }
        match known(baseline) {
            // No other targets are left to compare with: the new version may or may not be the cause.
            true => match self.worse(upgraded, baseline) {
                Some(what) => {
                    Verdict::Outage(format!("{what} before the release, and nobody is left to compare"))
                }
                None => Verdict::Healthy,
            },
            false => Verdict::Undecided,
        }
    }
}

/// The Kullback-Leibler divergence of a fraction from a probability, in nats.
fn divergence(fraction: f64, chance: f64) -> f64 {
    let part = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    if chance >= 1.0 { 0.0 } else { part(fraction, chance) + part(1.0 - fraction, 1.0 - chance) }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Healthy,
    /// Too few requests on a side that is needed.
    Undecided,
    /// The upgraded targets do worse than the others.
    Worse(String),
    /// All targets do worse than before, the upgraded ones no more than the others, if there are any.
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
        let mut draw = |reqs: u64, fraction: f64| {
            let failed = (0..reqs).filter(|_| chance.rand_float() < fraction).count() as u64;
            figures(reqs - failed, failed, 0)
        };
        let (mut found, mut blamed) = (0, 0);
        for _ in 0..3000 {
            let baseline = draw(2000, 0.05);
            blamed +=
                u32::from(must().judge(&draw(200, 0.05), &draw(600, 0.05), &baseline) != Verdict::Healthy);
            found += u32::from(matches!(
                must().judge(&draw(200, 0.3), &draw(600, 0.05), &baseline),
                Verdict::Worse(_)
            ));
        }
        assert!(blamed == 0 && found > 2950, "{blamed} {found}");
    }
}
