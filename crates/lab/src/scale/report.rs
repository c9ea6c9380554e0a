//! What a scale run came to: raw rows, lines over the sizes, the verdict; as text, JSON and a drawing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use plotters::prelude::*;
use serde::Serialize;
use serde_json::{Value, json};

use super::fit::{self, Bend, Line, Point};
use super::referee::Judgement;

/// What one process took in a phase, by its role.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub size: usize,
    pub round: usize,
    pub phase: String,
    pub role: String,
    pub name: String,
    pub secs: f64,
    /// Parts of a core: the system's account of all its threads.
    pub cores: f64,
    pub rss_mb: f64,
    pub hwm_mb: f64,
    /// A second: counted by the hollow members, the links and the list's service. No messages are counted where the links
    /// alone count.
    pub bytes_in: f64,
    pub bytes_out: f64,
    pub messages_in: f64,
    pub messages_out: f64,
}

impl Row {
    fn figures(&self) -> [(&'static str, f64); 6] {
        [
            ("cores", self.cores),
            ("hwm_mb", self.hwm_mb),
            ("bytes_in", self.bytes_in),
            ("bytes_out", self.bytes_out),
            ("messages_in", self.messages_in),
            ("messages_out", self.messages_out),
        ]
    }
}

/// A change of the settings.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    pub size: usize,
    pub round: usize,
    /// How many members it concerns.
    pub concerns: usize,
    pub bytes: usize,
    /// For how long it was looked at: what members report anyhow is in the bytes too.
    pub secs: f64,
    pub put_ms: f64,
    /// From committed to the hollow members' acting on it.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub last_ms: f64,
    /// To the last real sidecar's, as far as it was looked at.
    pub real_last_ms: f64,
    pub missing: usize,
    /// Over the leader's wires in that time: to and from members, and to and from other daemons.
    pub leader_member_bytes: u64,
    pub leader_daemon_bytes: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Evidence {
    pub size: usize,
    pub round: usize,
    pub each: u32,
    /// By hollow members; real sidecars with traffic book beside them.
    pub booked_a_second: f64,
    pub heard_a_member_a_second: f64,
    /// How old what is heard was when it was said.
    pub heard_age_ms: f64,
    /// Of what other hollow members booked, and of what others of its own service booked.
    pub share_all: f64,
    pub share_own: f64,
}

/// How late the hollow members' loops were.
#[derive(Clone, Debug, Serialize)]
pub struct Lateness {
    pub size: usize,
    pub round: usize,
    pub beats: u64,
    pub late: u64,
    /// Bounds of the rows that these lie in.
    pub worst_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Requests {
    pub size: usize,
    pub round: usize,
    pub phase: String,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub lost: u64,
    pub p99_ms: f64,
}

/// A fleet of one size, as the referee saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    pub size: usize,
    pub round: usize,
    pub secs: f64,
    pub faults: Vec<String>,
    pub judgement: Judgement,
}

/// A figure of a role in a phase over the sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    pub phase: String,
    pub role: String,
    pub figure: String,
    pub line: Line,
    /// What the line gives at the scenario's target; and between what, for nineteen of twenty runs.
    pub target: [f64; 3],
    pub bend: Option<Bend>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Played {
    pub scenario: String,
    pub seed: u64,
    pub target: usize,
    pub rows: Vec<Row>,
    pub changes: Vec<Change>,
    pub evidence: Vec<Evidence>,
    pub lateness: Vec<Lateness>,
    pub requests: Vec<Requests>,
    pub fleets: Vec<Fleet>,
}

type Of<'a> = (&'a str, &'a str);

impl Played {
    /// Whether all that was judged held, in runs that say something.
    pub fn kept(&self) -> bool {
        self.fleets.iter().all(|fleet| fleet.judgement.kept())
    }

    /// One point for each run: of several processes of a role the mean, of hollow ones the sum.
    fn points(&self) -> BTreeMap<(Of<'_>, &'static str), Vec<Point>> {
        let mut runs: BTreeMap<(Of, &str, usize, usize), Vec<f64>> = BTreeMap::new();
        for row in &self.rows {
            for (figure, value) in row.figures() {
                let key = ((row.phase.as_str(), row.role.as_str()), figure, row.size, row.round);
                runs.entry(key).or_default().push(value);
            }
        }
        let mut points: BTreeMap<_, Vec<Point>> = BTreeMap::new();
        for ((of, figure, size, _), values) in runs {
            let sum: f64 = values.iter().sum();
            let value = if of.1 == "hollow" { sum } else { sum / values.len() as f64 };
            points.entry((of, figure)).or_default().push(Point { size: size as f64, value });
        }
        points
    }

    /// Lines of all figures that are not nought throughout; and of changes: from committed to in force, and the leader's wire.
    pub fn fits(&self) -> Vec<Fitted> {
        let mut fits = Vec::new();
        let mut add = |(phase, role): Of, figure: &str, points: &[Point]| {
            let Ok(line) = fit::line(points) else { return };
            if points.iter().all(|point| point.value == 0.0) {
                return;
            }
            let at = line.at(self.target as f64);
            fits.push(Fitted {
                phase: phase.to_string(),
                role: role.to_string(),
                figure: figure.to_string(),
                line,
                target: [at.value, at.low, at.high],
                bend: fit::bend(points).ok(),
            });
        };
        for ((of, figure), points) in &self.points() {
            // What a change took depends on how long it was looked at: those figures stand below.
            if !of.0.starts_with("change") && of.0 != "faults" {
                add(*of, figure, points);
            }
        }
        let for_all = |change: &&Change| change.concerns == change.size;
        let sizes: BTreeSet<usize> = self.changes.iter().filter(for_all).map(|change| change.bytes).collect();
        for bytes in sizes {
            let phase = format!("change {bytes}");
            let mut of = |figure: &str, value: &dyn Fn(&Change) -> f64| {
                let points: Vec<Point> = self
                    .changes
                    .iter()
                    .filter(|change| for_all(change) && change.bytes == bytes)
                    .map(|change| Point { size: change.size as f64, value: value(change) })
                    .collect();
                add((&phase, "all"), figure, &points);
            };
            of("p50_ms", &|change| change.p50_ms);
            of("p99_ms", &|change| change.p99_ms);
            of("last_ms", &|change| change.last_ms);
            of("leader_member_mb", &|change| change.leader_member_bytes as f64 / 1e6);
            of("leader_daemon_mb", &|change| change.leader_daemon_bytes as f64 / 1e6);
        }
        fits
    }

    pub fn json(&self) -> Value {
        let fits = self.fits();
        json!({"kept": self.kept(), "fits": fits, "run": self})
    }

    /// Tables of all that was measured, and the verdict.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut put = |line: String| writeln!(text, "{line}").expect("a string takes all");
        put(format!(
            "{:<16} {:<20} {:>5} {:>9} {:>8} {:>8} {:>11} {:>11} {:>9} {:>9}",
            "phase",
            "role",
            "size",
            "cores",
            "rss MB",
            "hwm MB",
            "bytes in/s",
            "bytes out/s",
            "msg in/s",
            "msg out/s"
        ));
        let mut groups: BTreeMap<(&str, &str, usize), Vec<&Row>> = BTreeMap::new();
        for row in &self.rows {
            groups.entry((&row.phase, &row.role, row.size)).or_default().push(row);
        }
        for ((phase, role, size), rows) in &groups {
            let mean = |of: fn(&Row) -> f64| rows.iter().map(|row| of(row)).sum::<f64>() / rows.len() as f64;
            put(format!(
                "{phase:<16} {role:<20} {size:>5} {:>9.5} {:>8.2} {:>8.2} {:>11.0} {:>11.0} {:>9.1} {:>9.1}",
                mean(|row| row.cores),
                mean(|row| row.rss_mb),
                mean(|row| row.hwm_mb),
                mean(|row| row.bytes_in),
                mean(|row| row.bytes_out),
                mean(|row| row.messages_in),
                mean(|row| row.messages_out)
            ));
        }
        put(format!(
            "\n{:<16} {:<20} {:<16} {:>12} {:>12} {:>9} {:>12}  bend",
            "phase", "role", "figure", "intercept", "slope", "residual", self.target
        ));
        for fit in self.fits() {
            let bend = match fit.bend {
                Some(bend) if bend.bent => {
                    format!("bends: {:.3e} then {:.3e} a member", bend.slopes.0, bend.slopes.1)
                }
                Some(_) => "no".to_string(),
                None => "too few sizes".to_string(),
            };
            put(format!(
                "{:<16} {:<20} {:<16} {:>12.5} {:>12.6} {:>8.1}% {:>12.4}  {bend}",
                fit.phase,
                fit.role,
                fit.figure,
                fit.line.intercept,
                fit.line.slope,
                fit.line.relative * 100.0,
                fit.target[0]
            ));
        }
        put(String::new());
        for c in &self.changes {
            put(format!(
                "change of {} bytes for {} of {} (round {}, {:.2} s): put {:.0} ms; in force after {:.0} ms (p50), {:.0} (p99), {:.0} (last), real {:.0}, {} missing; leader's wire {:.2} MB to members, {:.2} MB to daemons",
                c.bytes,
                c.concerns,
                c.size,
                c.round,
                c.secs,
                c.put_ms,
                c.p50_ms,
                c.p99_ms,
                c.last_ms,
                c.real_last_ms,
                c.missing,
                c.leader_member_bytes as f64 / 1e6,
                c.leader_daemon_bytes as f64 / 1e6
            ));
        }
        for e in &self.evidence {
            put(format!(
                "evidence at {} (round {}), {} a beat: {:.0} booked a second, {:.1} heard a member a second, {:.0} ms old: {:.4} of all, {:.4} of its own service's",
                e.size,
                e.round,
                e.each,
                e.booked_a_second,
                e.heard_a_member_a_second,
                e.heard_age_ms,
                e.share_all,
                e.share_own
            ));
        }
        for r in &self.requests {
            put(format!(
                "requests at {} (round {}) in {}: {} served, {} rejected, {} failed, {} without an answer, p99 {:.1} ms",
                r.size, r.round, r.phase, r.served, r.rejected, r.failed, r.lost, r.p99_ms
            ));
        }
        for l in &self.lateness {
            put(format!(
                "hollow at {} (round {}): {} beats, {} too late, the worst up to {:.1} ms, p99 up to {:.1} ms",
                l.size, l.round, l.beats, l.late, l.worst_ms, l.p99_ms
            ));
        }
        for fleet in &self.fleets {
            let j = &fleet.judgement;
            let (size, round) = (fleet.size, fleet.round);
            fleet.faults.iter().for_each(|fault| put(format!("at {size} (round {round}): {fault}")));
            for (of, peak) in &j.budgets {
                put(format!("at {size} (round {round}): {of}: {} of {} at the most", peak.sum, peak.whole));
            }
            for pair in &j.pairs {
                put(format!(
                    "at {size} (round {round}): requests in {}: {} of {} failed, before {} of {}; slow {} and {}",
                    pair.fault,
                    pair.during.failed,
                    pair.during.all,
                    pair.before.failed,
                    pair.before.all,
                    pair.during.slow,
                    pair.before.slow
                ));
            }
            if let Some(p) = j.in_force {
                put(format!(
                    "at {size} (round {round}): {} changes in force after {:.0} ms (p50), {:.0} (p99), {:.0} (last); {:.1} s in all",
                    j.changes.len(),
                    p.p50 as f64 / 1e6,
                    p.p99 as f64 / 1e6,
                    p.last as f64 / 1e6,
                    fleet.secs
                ));
            }
            if let Some(p) = j.caught_up {
                put(format!(
                    "at {size} (round {round}): {} that came back caught up after {:.0} ms (p50), {:.0} (p99), {:.0} (last)",
                    p.count,
                    p.p50 as f64 / 1e6,
                    p.p99 as f64 / 1e6,
                    p.last as f64 / 1e6
                ));
            }
            j.unjudged.iter().for_each(|what| put(format!("at {size} (round {round}): not judged: {what}")));
            j.void.iter().for_each(|what| put(format!("VOID at {size} (round {round}): {what}")));
            j.broken.iter().for_each(|what| put(format!("BROKEN at {size} (round {round}): {what}")));
        }
        text
    }

    /// The figures that matter most over the sizes: points, and their lines.
    ///
    /// # Errors
    /// What the drawing says.
    pub fn svg(&self) -> Result<String, String> {
        let panels = [
            (("idle", "leader"), "cores", "leader, idle: parts of a core"),
            (("idle", "leader"), "bytes_out", "leader, idle: bytes out a second"),
            (("evidence", "leader"), "cores", "leader, evidence: parts of a core"),
            (("budgets", "leader"), "cores", "leader, budgets: parts of a core"),
            (("idle", "sidecar"), "cores", "sidecar's control, idle: parts of a core"),
            (("idle", "hollow member"), "bytes_in", "a member, idle: bytes in a second"),
        ];
        let points = self.points();
        let mut drawing = String::new();
        {
            let told = |e: &dyn std::fmt::Display| format!("plot: {e}");
            let area = SVGBackend::with_string(&mut drawing, (1000, 780)).into_drawing_area();
            area.fill(&WHITE).map_err(|e| told(&e))?;
            for (panel, (of, figure, caption)) in area.split_evenly((3, 2)).into_iter().zip(panels) {
                let points = points.get(&(of, figure)).cloned().unwrap_or_default();
                let most = |of: fn(&Point) -> f64| points.iter().map(of).fold(0.0, f64::max);
                let (right, top) = (most(|p| p.size).max(1.0) * 1.05, most(|p| p.value).max(1e-9) * 1.1);
                let mut chart = ChartBuilder::on(&panel)
                    .margin(10)
                    .caption(caption, ("sans-serif", 15))
                    .x_label_area_size(28)
                    .y_label_area_size(64)
                    .build_cartesian_2d(0.0..right, 0.0..top)
                    .map_err(|e| told(&e))?;
                chart.configure_mesh().x_desc("members").draw().map_err(|e| told(&e))?;
                if let Ok(line) = fit::line(&points) {
                    let ends = [0.0, right].map(|size| (size, line.at(size).value.clamp(0.0, top)));
                    chart.draw_series(LineSeries::new(ends, &BLUE)).map_err(|e| told(&e))?;
                }
                let dots = points.iter().map(|p| Circle::new((p.size, p.value), 3, RED.filled()));
                chart.draw_series(dots).map_err(|e| told(&e))?;
            }
            area.present().map_err(|e| told(&e))?;
        }
        Ok(drawing)
    }
}
