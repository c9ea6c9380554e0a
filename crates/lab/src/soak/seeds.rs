//! Runs the plans of many seeds in parallel and reports the violations.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use super::checker::{Rule, Violation, check, latest_list};
use super::plan::{Event, Plan};
use super::record::{Record, RequestOutcome};
use super::run::play;

/// The result of one seed.
pub struct Played {
    pub plan: Plan,
    pub record: Record,
    pub broken: Vec<Violation>,
}

impl Played {
    fn reconfigurations(&self) -> usize {
        self.plan.events.iter().filter(|(_, event)| matches!(event, Event::Reconfigure(_))).count()
    }

    fn shutdowns(&self) -> usize {
        self.plan.events.iter().filter(|(_, event)| matches!(event, Event::Shutdown(_))).count()
    }

    fn floods(&self) -> usize {
        self.plan.events.iter().filter(|(_, event)| matches!(event, Event::Flood(..))).count()
    }

    /// The share of requests that were answered 200.
    pub fn served(&self) -> f64 {
        let is_served =
            |outcome: &RequestOutcome| matches!(outcome, RequestOutcome::Answered { status: 200, .. });
        let served = self.record.requests.iter().filter(|request| is_served(&request.outcome)).count();
        served as f64 / (self.record.requests.len() as f64).max(1.0)
    }

    /// A full report for debugging: the plan, the violations, their requests and the sidecars' logs.
    pub fn story(&self) -> String {
        let mut text = format!("seed {}: {:#?}\n", self.plan.seed, self.plan);
        for broken in &self.broken {
            let _ = writeln!(text, "{:?} at {:?}: {}", broken.rule, broken.at, broken.description);
        }
        let is_reported =
            |id: &str| self.broken.iter().any(|broken| broken.description.starts_with(&format!("{id} ")));
        for request in self.record.requests.iter().filter(|request| is_reported(&request.id)) {
            let _ = writeln!(text, "{request:?}");
        }
        for process_run in &self.record.process_runs {
            let _ = writeln!(
                text,
                "n{} since {:?}, {:?}:",
                process_run.sidecar, process_run.started_at, process_run.exited
            );
            for line in &process_run.log {
                let _ = writeln!(text, "    {line}");
            }
        }
        text
    }
}

/// Runs these seeds with this many workers, each seed in a subfolder of its own.
///
/// # Errors
/// Fails with the first seed that couldn't be run, and why.
pub fn play_all(
    seeds: RangeInclusive<u64>,
    workers: usize,
    program: &Path,
    folder: &Path,
) -> Result<Vec<Played>, String> {
    let pending = Mutex::new(seeds.collect::<Vec<_>>());
    let played = Mutex::new(Vec::new());
    let next = || pending.lock().expect("no worker panics with the seeds locked").pop();
    thread::scope(|scope| {
        for _ in 0..workers.max(1) {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let plan = Plan::draw(seed);
                    let seed_folder = folder.join(format!("seed-{seed}"));
                    let record =
                        play(&plan, program, &seed_folder).map_err(|error| format!("seed {seed}: {error}"));
                    let result = record.map(|record| {
                        let broken = check(&plan, &record);
                        Played { plan, record, broken }
                    });
                    played.lock().expect("no worker panics with the results locked").push(result);
                }
            });
        }
    });
    let played = played.into_inner().expect("no worker panics with the results locked");
    let mut played = played.into_iter().collect::<Result<Vec<_>, _>>()?;
    played.sort_by_key(|played| played.plan.seed);
    Ok(played)
}

/// A table with a row for each seed, and the totals.
pub fn table(played: &[Played]) -> String {
    let mut text = String::from(
        "| seed | sidecars | deadline | moves | leaves | crowd | long | floods | requests | served | attempts | latest list | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut totals: BTreeMap<Rule, usize> = BTreeMap::new();
    for run in played {
        run.broken.iter().for_each(|broken| *totals.entry(broken.rule).or_default() += 1);
        let broken =
            run.broken.iter().map(|broken| format!("{:?}", broken.rule)).collect::<Vec<_>>().join(" ");
        let Plan { seed, sidecars, deadline, has_idle_clients, has_long_requests, .. } = &run.plan;
        let marked = |is: bool| if is { "yes" } else { "" };
        let _ = writeln!(
            text,
            "| {seed} | {sidecars} | {:.1} s | {} | {} | {} | {} | {} | {} | {:.3} | {} | {:.2} s | {broken} |",
            Duration::as_secs_f64(deadline),
            run.reconfigurations(),
            run.shutdowns(),
            marked(*has_idle_clients),
            marked(*has_long_requests),
            run.floods(),
            run.record.requests.len(),
            run.served(),
            run.record.attempts.len(),
            latest_list(&run.record).as_secs_f64()
        );
    }
    let clean = played.iter().filter(|run| run.broken.is_empty()).count();
    let _ = writeln!(text, "\n{clean} of {} seeds broke nothing; broken in all: {totals:?}", played.len());
    text
}
