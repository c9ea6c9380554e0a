//! The results of a run: counts by window, method and tenant, latencies and rule violations; as text, JSON and plots.

use std::collections::BTreeMap;
use std::fmt::Write;

use appledyke::Outcome;
use appledyke::units::{Moment, Span};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::rule_checker::RuleChecker;
use crate::scenario::{Method, Scenario, at_ms};

/// The version of the result file format; other versions are rejected.
pub const FORMAT: u32 = 1;
/// Length of a counting window.
const WINDOW: Span = Span::from_millis(1000);
/// Latencies are recorded in microseconds with three significant digits, up to one hour.
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Student's t for a two-sided 95% interval, by degrees of freedom; beyond the table the normal quantile is close enough.
const T95: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];
const NORMAL95: f64 = 1.96;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    pub offered: u64,
    pub in_time: u64,
    pub late: u64,
    #[serde(rename = "nacked")]
    pub rejected: u64,
    pub failed: u64,
    /// Criticality of offered requests, and the credit for served ones, within the latency budget or past it.
    pub asked: f64,
    pub served: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    pub counts: Counts,
    pub retries: u64,
    pub opened: u64,
    /// Per tier: attempts, failed attempts, endpoints up, requests in endpoints, and the most in one endpoint.
    pub sent: Vec<u64>,
    pub vain: Vec<u64>,
    pub up: Vec<usize>,
    pub inside: Vec<usize>,
    pub most_inside: Vec<usize>,
}

/// A run's result, as stored in a result file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcomes {
    pub format: u32,
    pub scenario: String,
    pub policy: String,
    pub seed: u64,
    pub whole: Counts,
    pub methods: BTreeMap<String, Counts>,
    pub tenants: Vec<Counts>,
    pub windows: Vec<Window>,
    /// The 50th, 90th, 99th and 99.9th percentile latency of served requests, in microseconds.
    pub latency_us: [u64; 4],
    pub broken: BTreeMap<String, u64>,
    pub told: Vec<String>,
    pub events: u64,
    /// Per budget, by resource: its quota, the most spent in a window, and the fraction used after the warm-up.
    #[serde(default)]
    pub uses: BTreeMap<String, (u64, u64, f64)>,
}

pub struct Counters {
    scenario: String,
    methods: Vec<Method>,
    warm: Moment,
    whole: Counts,
    by_method: Vec<Counts>,
    by_tenant: Vec<Counts>,
    windows: Vec<Window>,
    tiers: usize,
    latency: Histogram<u64>,
    /// Response times in seconds, in order of completion; for comparison with queueing theory.
    pub times: Vec<f64>,
    broken: BTreeMap<String, u64>,
    told: Vec<String>,
    pub events: u64,
    pub uses: BTreeMap<String, (u64, u64, f64)>,
}

impl Counters {
    pub fn new(scenario: &Scenario) -> Counters {
        Counters {
            scenario: scenario.name.clone(),
            methods: scenario.method.clone(),
            warm: at_ms(scenario.warm_up_ms),
            whole: Counts::default(),
            by_method: vec![Counts::default(); scenario.method.len()],
            by_tenant: vec![Counts::default(); scenario.load.tenants],
            windows: Vec::new(),
            tiers: scenario.tier.len(),
            latency: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("valid histogram bounds"),
            times: Vec::new(),
            broken: BTreeMap::new(),
            told: Vec::new(),
            events: 0,
            uses: BTreeMap::new(),
        }
    }

    fn window(&mut self, at: Moment) -> &mut Window {
        let place = (at.nanos() / WINDOW.nanos()) as usize;
        let none = || vec![0; self.tiers];
        while self.windows.len() <= place {
            let (up, inside, most_inside) = (none(), none(), none());
            let (sent, vain) = (vec![0; self.tiers], vec![0; self.tiers]);
            self.windows.push(Window { up, inside, most_inside, sent, vain, ..Window::default() });
        }
        &mut self.windows[place]
    }

    /// Counts for the window of the client's arrival, its method, its tenant and the total.
    fn count(&mut self, arrived_at: Moment, method: usize, tenant: usize, what: impl Fn(&mut Counts)) {
        what(&mut self.window(arrived_at).counts);
        if arrived_at >= self.warm {
            what(&mut self.whole);
            what(&mut self.by_method[method]);
            what(&mut self.by_tenant[tenant]);
        }
    }

    pub fn offered(&mut self, arrived_at: Moment, method: usize, tenant: usize) {
        let worth = self.methods[method].criticality;
        self.count(arrived_at, method, tenant, |c| {
            c.offered += 1;
            c.asked += worth;
        });
    }

    pub fn served(
        &mut self,
        (arrived_at, latency): (Moment, Span),
        method: usize,
        tenant: usize,
        in_time: bool,
        m: &Method,
    ) {
        let worth = if in_time { m.criticality } else { m.overdue_criticality };
        self.count(arrived_at, method, tenant, |c| {
            *if in_time { &mut c.in_time } else { &mut c.late } += 1;
            c.served += worth;
        });
        if arrived_at >= self.warm {
            self.latency.saturating_record(latency.nanos() / 1000);
            self.times.push(latency.secs());
        }
    }

    pub fn rejected(&mut self, arrived_at: Moment, method: usize, tenant: usize) {
        self.count(arrived_at, method, tenant, |c| c.rejected += 1);
    }

    pub fn failed(&mut self, arrived_at: Moment, method: usize, tenant: usize) {
        self.count(arrived_at, method, tenant, |c| c.failed += 1);
    }

    pub fn retried(&mut self, now: Moment) {
        self.window(now).retries += 1;
    }

    pub fn opened(&mut self, now: Moment) {
        self.window(now).opened += 1;
    }

    pub fn sent(&mut self, now: Moment, tier: usize) {
        self.window(now).sent[tier] += 1;
    }

    pub fn ended(&mut self, now: Moment, tier: usize, outcome: Outcome) {
        let vain = !matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::NeverSent);
        self.window(now).vain[tier] += u64::from(vain);
    }

    pub fn sample(&mut self, now: Moment, tier: usize, up: usize, inside: usize, most: usize) {
        let window = self.window(now);
        (window.up[tier], window.inside[tier], window.most_inside[tier]) = (up, inside, most);
    }

    /// Merges the counters of endpoints, where those are recorded separately from the clients'.
    pub fn absorb(&mut self, endpoints: Counters) {
        for (at, theirs) in endpoints.windows.into_iter().enumerate() {
            let ours = self.window(Moment::from_nanos(at as u64 * WINDOW.nanos()));
            (ours.sent, ours.vain) = (theirs.sent, theirs.vain);
            (ours.up, ours.inside, ours.most_inside) = (theirs.up, theirs.inside, theirs.most_inside);
        }
    }

    pub fn record_violations(&mut self, checker: &RuleChecker) {
        self.broken = checker.broken().iter().map(|(rule, count)| (format!("{rule:?}"), *count)).collect();
        self.told = checker.told().to_vec();
    }

    pub fn outcomes(&self, policy: &str, seed: u64) -> Outcomes {
        let at = |quantile| self.latency.value_at_quantile(quantile);
        let methods = self.methods.iter().zip(&self.by_method);
        Outcomes {
            format: FORMAT,
            scenario: self.scenario.clone(),
            policy: policy.to_string(),
            seed,
            whole: self.whole.clone(),
            methods: methods.map(|(m, counts)| (m.name.clone(), counts.clone())).collect(),
            tenants: self.by_tenant.clone(),
            windows: self.windows.clone(),
            latency_us: [at(0.5), at(0.9), at(0.99), at(0.999)],
            broken: self.broken.clone(),
            told: self.told.clone(),
            events: self.events,
            uses: self.uses.clone(),
        }
    }
}

impl Counts {
    /// The fraction of offered criticality that was served; 1 if nothing was offered.
    pub fn goodput(&self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }

    fn line(&self, name: &str) -> String {
        let part = |count: u64| count as f64 / (self.offered as f64).max(1.0) * 100.0;
        format!(
            "{name:<16} {:>9} {:>8.4} {:>8.2} {:>7.2} {:>7.2} {:>7.2}\n",
            self.offered,
            self.goodput(),
            part(self.in_time),
            part(self.late),
            part(self.rejected),
            part(self.failed)
        )
    }
}

impl Outcomes {
    /// Reads a result file, and rejects one that is damaged or of another version.
    pub fn read(path: &std::path::Path) -> Result<Outcomes, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        let mut reader = serde_json::Deserializer::from_str(&text);
        let read: Result<Outcomes, _> = serde_path_to_error::deserialize(&mut reader);
        let outcomes = read.map_err(|e| named(format!("{}: {}", e.path(), e.inner())))?;
        reader.end().map_err(|e| named(format!("more than one result: {e}")))?;
        match outcomes.format {
            FORMAT => Ok(outcomes),
            other => Err(named(format!("format: expected {FORMAT}, not {other}"))),
        }
    }

    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("results have text keys") + "\n"
    }

    pub fn text(&self) -> String {
        let mut text = format!("{} with {}, seed {} (simulated)\n", self.scenario, self.policy, self.seed);
        text += "                   offered   worth  in time%   late% nacked% failed%\n";
        text += &self.whole.line("whole");
        self.methods.iter().for_each(|(name, counts)| text += &counts.line(name));
        if self.tenants.len() > 1 {
            let worst =
                self.tenants.iter().enumerate().min_by(|a, b| a.1.goodput().total_cmp(&b.1.goodput()));
            worst.into_iter().for_each(|(at, counts)| text += &counts.line(&format!("worst tenant {at}")));
        }
        let [p50, p90, p99, p999] = self.latency_us.map(|us| us as f64 / 1e3);
        let _ = writeln!(text, "served in ms: p50 {p50:.1}, p90 {p90:.1}, p99 {p99:.1}, p99.9 {p999:.1}");
        text += "   s offered   worth  nack%  again   opened  write-outs, in vain; up, inside, most inside, by tier\n";
        let every = self.windows.len().div_ceil(30).max(1);
        for (at, w) in self.windows.iter().enumerate().step_by(every) {
            let rejected = w.counts.rejected as f64 / (w.counts.offered as f64).max(1.0) * 100.0;
            let (worth, offered) = (w.counts.goodput(), w.counts.offered);
            let _ = write!(
                text,
                "{at:>4} {offered:>7} {worth:>7.3} {rejected:>6.1} {:>6} {:>8}",
                w.retries, w.opened
            );
            for tier in 0..w.sent.len() {
                let inside = (w.up[tier], w.inside[tier], w.most_inside[tier]);
                let _ = write!(
                    text,
                    "  {} {}; {} {} {}",
                    w.sent[tier], w.vain[tier], inside.0, inside.1, inside.2
                );
            }
            text.push('\n');
        }
        for (of, (whole, most, used)) in &self.uses {
            let _ = writeln!(text, "{of}: {most} of {whole} at the most, {used:.3} used");
        }
        match self.broken.is_empty() {
            true => text += "rules kept\n",
            false => {
                let _ = writeln!(text, "RULES BROKEN: {:?}", self.broken);
                self.told.iter().for_each(|told| {
                    let _ = writeln!(text, "  {told}");
                });
            }
        }
        text
    }

    /// Plots goodput and rejections over time as SVG.
    pub fn svg(&self) -> Result<String, String> {
        let mut drawing = String::new();
        {
            let area = SVGBackend::with_string(&mut drawing, (900, 420)).into_drawing_area();
            let told = |e: &dyn std::fmt::Display| format!("plot: {e}");
            area.fill(&WHITE).map_err(|e| told(&e))?;
            let length = self.windows.len().max(1) as f64;
            let mut chart = ChartBuilder::on(&area)
                .margin(12)
                .caption(
                    format!("{} with {}, seed {}", self.scenario, self.policy, self.seed),
                    ("sans-serif", 18),
                )
                .x_label_area_size(36)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..length, 0.0..1.05)
                .map_err(|e| told(&e))?;
            chart.configure_mesh().x_desc("seconds").y_desc("part").draw().map_err(|e| told(&e))?;
            for (name, colour) in [("worth served", BLUE), ("nacked", RED)] {
                let part = |c: &Counts| match name {
                    "nacked" => c.rejected as f64 / (c.offered as f64).max(1.0),
                    _ => c.goodput(),
                };
                let points =
                    self.windows.iter().enumerate().map(|(at, w)| (at as f64 + 0.5, part(&w.counts)));
                chart
                    .draw_series(LineSeries::new(points, &colour))
                    .map_err(|e| told(&e))?
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
            }
            chart.configure_series_labels().border_style(BLACK).draw().map_err(|e| told(&e))?;
            area.present().map_err(|e| told(&e))?;
        }
        Ok(drawing)
    }
}

/// Statistics of paired differences: mean, standard deviation and the mean's 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Paired {
    pub pairs: usize,
    pub mean: f64,
    pub spread: f64,
    pub low: f64,
    pub high: f64,
}

pub fn paired(differences: &[f64]) -> Paired {
    let n = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / n.max(1.0);
    let squares = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>();
    let spread = if n > 1.0 { (squares / (n - 1.0)).sqrt() } else { f64::NAN };
    let t = T95.get(differences.len().saturating_sub(2)).copied().unwrap_or(NORMAL95);
    let half = t * spread / n.sqrt();
    Paired { pairs: differences.len(), mean, spread, low: mean - half, high: mean + half }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paired_interval_uses_students_t() {
        let of = paired(&[1.0, 2.0, 3.0]);
        // The mean's standard error is 1/sqrt(3); t for two degrees of freedom is 4.303.
        assert!((of.mean - 2.0).abs() < 1e-12 && (of.spread - 1.0).abs() < 1e-12);
        assert!((of.high - (2.0 + 4.303 / 3.0_f64.sqrt())).abs() < 1e-9);
        assert!(paired(&[1.0]).high.is_nan());
    }
}
