//! Simulates call chains through many tiers in which the lowest tier partly fails, to see what keeps retries from
//! multiplying at each tier. A sidecar in front of each tier has its own policy; an endpoint whose call fails answers with
//! an error, as services do, which the tier above sees as an ordinary failure.

use std::fmt::Write as _;

use serde::Serialize;

use crate::policy::PolicyKind;
use crate::report::Window;
use crate::scenario::Scenario;
use crate::{simulate, sweep};

/// Requests per second from clients.
const PER_SECOND: f64 = 28.0;
/// Requests count after the warm-up. Permanent failures begin shortly after the start, so that saved retry tokens are spent
/// by the end of the warm-up; an outage lasts for the first half of the counted time.
const WARM_UP_MS: u64 = 20_000;
const FROM_MS: u64 = 2000;
const OUTAGE_MS: u64 = 30_000;
const LENGTH_MS: u64 = WARM_UP_MS + 2 * OUTAGE_MS;
/// Fraction of a second's requests that must be served for the tier to count as recovered.
const RECOVERED: f64 = 0.9;
const ENDPOINTS: usize = 4;
const DEADLINE_MS: u64 = 1000;
/// The fleet's retry budget per tier and window: a tenth of the offered requests.
const BUDGET: u64 = 14;
const BUDGET_MS: u64 = 5000;
/// Service time with one core at which the lowest tier has capacity for 1.43 times the load, and half of it for 0.71 times.
const SHORT_WORK_MS: f64 = 100.0;

/// How the lowest tier fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fails {
    /// No failure: the baseline for comparison.
    Nothing,
    /// A random half of all answers are errors, after the work is done.
    Answers,
    /// Half of the endpoints answer only with errors.
    Endpoints,
    /// All requests get immediate errors for the first half of the time.
    Outage,
    /// Half of the endpoints are down, and the other half lacks the capacity for the load.
    Capacity,
}

impl Fails {
    pub const ALL: [Fails; 4] = [Fails::Answers, Fails::Endpoints, Fails::Outage, Fails::Capacity];

    fn name(self) -> &'static str {
        match self {
            Fails::Nothing => "nothing",
            Fails::Answers => "answers",
            Fails::Endpoints => "endpoints",
            Fails::Outage => "outage",
            Fails::Capacity => "capacity",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    pub tiers: usize,
    pub fails: Fails,
    pub policy: PolicyKind,
    /// Whether calls inherit the time left of their caller; otherwise they get a full deadline.
    pub deadline_passed: bool,
    /// Whether each tier is a fleet with a retry budget.
    pub budget: bool,
}

/// The results of a run, for requests that arrived after the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figures {
    pub requests: u64,
    /// Attempts per client request: to the lowest tier, to all tiers, and to the lowest tier in its worst second.
    pub lowest: f64,
    pub all: f64,
    pub worst: f64,
    /// Fraction answered successfully within the deadline.
    pub served: f64,
    /// Seconds after an outage's end until every second's share stays at `RECOVERED` or more; all the remaining time if it
    /// never does.
    pub back_after: Option<f64>,
    /// Latencies of served requests.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Number of broken rules. Even a policy that retries everything should break none here.
    pub broken: usize,
}

impl Case {
    /// The scenario as the text of a scenario file.
    pub fn text(&self) -> String {
        let Case { tiers, fails, deadline_passed, budget, .. } = *self;
        let mut text = format!(
            "name='chain'\nlength_ms={LENGTH_MS}\nwarm_up_ms={WARM_UP_MS}\ndeadline_passed={deadline_passed}\n\
             [load]\nper_second={PER_SECOND}\n\
             [[method]]\nname='view'\nshare=1.0\neffect='retryable'\n\
             latency_budget_ms={DEADLINE_MS}\ndeadline_ms={DEADLINE_MS}\n"
        );
        for tier in 0..tiers {
            let (lowest, first) = (tier + 1 == tiers, tier == 0);
            // Capacity for any multiplication of attempts, except where the lowest tier's capacity is what fails.
            let (cores, places, work) = match (lowest, fails) {
                (true, Fails::Capacity) => (1, 16, SHORT_WORK_MS),
                (true, _) => (256, 100_000, 5.0),
                (false, _) => (256, 100_000, 1.0),
            };
            let sidecars = if first { ENDPOINTS } else { 0 };
            let calls = usize::from(!lowest);
            let _ = write!(
                text,
                "[[tier]]\nsidecars={sidecars}\nendpoints={ENDPOINTS}\ncores={cores}\nplaces={places}\n\
                 work_ms=[{work}]\ncalls={calls}\n"
            );
        }
        if budget {
            let members = 2 * ENDPOINTS;
            let _ = write!(
                text,
                "[budgets]\nby='parts'\neach_tier=true\n[[budgets.row]]\nof='repeats'\nwhole={BUDGET}\nwindowMs={BUDGET_MS}\n\
                 least=1\nalone=0\nmembers={members}\n"
            );
        }
        let lowest = tiers - 1;
        let mut fault = |kind: &str, from: u64, lasts: u64, whom: &str, size: f64| {
            let _ = write!(
                text,
                "[[fault]]\nkind='{kind}'\nfrom_ms={from}\nfor_ms={lasts}\ntier={lowest}\n{whom}\nsize={size}\n"
            );
        };
        let (half, all) = ("ids=[0, 1]", "");
        match fails {
            Fails::Nothing => {}
            Fails::Answers => fault("spoilt", FROM_MS, LENGTH_MS * 2, all, 0.5),
            Fails::Endpoints => fault("spoilt", FROM_MS, LENGTH_MS * 2, half, 1.0),
            Fails::Outage => fault("quick-errors", WARM_UP_MS, OUTAGE_MS, all, 1.0),
            Fails::Capacity => fault("crash", FROM_MS, LENGTH_MS * 2, half, 1.0),
        }
        text
    }

    /// # Errors
    /// Too few tiers, or too many.
    pub fn play(&self, seed: u64) -> Result<Figures, String> {
        if self.tiers < 2 {
            return Err(format!("tiers: expected 2 or more, not {}", self.tiers));
        }
        let scenario = Scenario::parse(&self.text())?;
        let outcomes = simulate::play(&scenario, self.policy, seed).outcomes("chain", seed);
        let windows = &outcomes.windows[(WARM_UP_MS / 1000) as usize..];
        let sent = |of: &dyn Fn(&[u64]) -> u64| windows.iter().map(|window| of(&window.sent)).sum::<u64>();
        let last = |sent: &[u64]| sent.last().copied().unwrap_or(0);
        let requests = (outcomes.whole.offered as f64).max(1.0);
        let worst = windows.iter().map(|window| last(&window.sent)).max().unwrap_or(0);
        let second = |at: u64| (at / 1000) as usize;
        let back = || {
            let after = &outcomes.windows[second(WARM_UP_MS + OUTAGE_MS)..second(LENGTH_MS)];
            let short =
                |window: &Window| (window.counts.in_time as f64) < RECOVERED * window.counts.offered as f64;
            after.iter().rposition(short).map_or(0.0, |last| (last + 1) as f64)
        };
        Ok(Figures {
            back_after: (self.fails == Fails::Outage).then(back),
            requests: outcomes.whole.offered,
            lowest: sent(&last) as f64 / requests,
            all: sent(&|sent| sent.iter().sum()) as f64 / requests,
            worst: worst as f64 / PER_SECOND,
            served: (outcomes.whole.in_time + outcomes.whole.late) as f64 / requests,
            p50_ms: outcomes.latency_us[0] as f64 / 1e3,
            p99_ms: outcomes.latency_us[2] as f64 / 1e3,
            broken: outcomes.broken.len(),
        })
    }
}

/// The rows of the table in order: name, policy and whether tiers have a retry budget.
pub fn rows() -> Vec<(&'static str, PolicyKind, bool)> {
    vec![
        ("one attempt", PolicyKind::Random, false),
        ("three attempts", PolicyKind::Tries, false),
        ("three, fleet's budget", PolicyKind::Tries, true),
        ("three, purse", PolicyKind::TriesByPurse, false),
        ("module, throttle passed", PolicyKind::Unthrottled, false),
        ("module at the top only", PolicyKind::AtTop, false),
        ("module at the lowest only", PolicyKind::AtLowest, false),
        ("module", PolicyKind::Module, false),
        ("module, fleet's budget", PolicyKind::Module, true),
    ]
}

/// Formats all cases of one depth as text, with the latency added to that of the same policy without failures.
///
/// # Errors
/// The number of tiers is out of range.
pub fn table(tiers: usize, seed: u64, workers: usize) -> Result<String, String> {
    let mut cases = Vec::new();
    for fails in Fails::ALL {
        for (name, policy, budget) in rows() {
            for deadline_passed in [true, false] {
                cases.push((name, Case { tiers, fails, policy, deadline_passed, budget }));
            }
        }
    }
    let calm = |case: &Case| Case { fails: Fails::Nothing, ..*case };
    let played = sweep::each(&cases, workers, |(_, case)| {
        // The capacity case has a different lowest tier, even before the failure, so it has no baseline.
        let without = match case.fails {
            Fails::Capacity => None,
            _ => Some(calm(case).play(seed)),
        };
        (case.play(seed), without)
    });
    let mut text = format!(
        "simulated, {tiers} tiers, seed {seed}; attempts for each request at the top; ms of those served\n\
         fails      policy                     deadline  requests   lowest  in worst s      all  served  back after s    p50 ms    p99 ms  \
         added p50  added p99\n"
    );
    for ((name, case), (figures, without)) in cases.iter().zip(played) {
        let Figures { requests, lowest, all, worst, served, back_after, p50_ms, p99_ms, broken } = figures?;
        let back = back_after.map_or_else(|| "-".to_string(), |back| format!("{back:.0}"));
        let deadline = if case.deadline_passed { "passed" } else { "anew" };
        let added = match without.transpose()? {
            // Nothing was served, so there is nothing to compare.
            Some(calm) if served > 0.0 => {
                format!("{:>10.1} {:>10.1}", p50_ms - calm.p50_ms, p99_ms - calm.p99_ms)
            }
            _ => format!("{:>10} {:>10}", "-", "-"),
        };
        let _ = writeln!(
            text,
            "{:<10} {name:<26} {deadline:<8} {requests:>9} {lowest:>8.2} {worst:>11.1} {all:>8.1} {served:>7.4} {back:>13} {p50_ms:>9.1} \
             {p99_ms:>9.1} {added}{}",
            case.fails.name(),
            if broken > 0 { "  BROKEN RULE" } else { "" }
        );
    }
    Ok(text)
}
