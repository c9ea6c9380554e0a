//! Plays many seeds side by side, and tells what they have broken.

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

/// One seed that was played.
pub struct Played {
    pub plan: Plan,
    pub record: Record,
    pub broken: Vec<Violation>,
}

impl Played {
    fn moves(&self) -> usize {
        self.plan.events.iter().filter(|(_, event)| matches!(event, Event::Move(_))).count()
    }

    fn leaves(&self) -> usize {
        self.plan.events.iter().filter(|(_, event)| matches!(event, Event::Leave(_))).count()
    }

    /// The part of the requests that were answered 200.
    pub fn served(&self) -> f64 {
        let ok = |outcome: &RequestOutcome| matches!(outcome, RequestOutcome::Answered { status: 200, .. });
        let served = self.record.requests.iter().filter(|request| ok(&request.outcome)).count();
        served as f64 / (self.record.requests.len() as f64).max(1.0)
    }

    /// What happened and what was broken, for who looks into it.
    pub fn story(&self) -> String {
        let mut text = format!("seed {}: {:#?}\n", self.plan.seed, self.plan);
        for broken in &self.broken {
            let _ = writeln!(text, "{:?} at {:?}: {}", broken.rule, broken.at, broken.description);
        }
        let named =
            |id: &str| self.broken.iter().any(|broken| broken.description.starts_with(&format!("{id} ")));
        for request in self.record.requests.iter().filter(|request| named(&request.id)) {
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

/// Plays these seeds, so many at a time, each in a folder of its own under this one.
///
/// # Errors
/// The first seed that could not be played, and why.
pub fn play_all(
    seeds: RangeInclusive<u64>,
    workers: usize,
    program: &Path,
    folder: &Path,
) -> Result<Vec<Played>, String> {
    let left = Mutex::new(seeds.collect::<Vec<_>>());
    let played = Mutex::new(Vec::new());
    let next = || left.lock().expect("no worker panics with the seeds").pop();
    thread::scope(|scope| {
        for _ in 0..workers.max(1) {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let plan = Plan::draw(seed);
                    let own = folder.join(format!("seed-{seed}"));
                    let record = play(&plan, program, &own).map_err(|what| format!("seed {seed}: {what}"));
                    let done = record.map(|record| {
                        let broken = check(&plan, &record);
                        Played { plan, record, broken }
                    });
                    played.lock().expect("no worker panics with what was played").push(done);
                }
            });
        }
    });
    let played = played.into_inner().expect("no worker panics with what was played");
    let mut played = played.into_iter().collect::<Result<Vec<_>, _>>()?;
    played.sort_by_key(|played| played.plan.seed);
    Ok(played)
}

/// A row for each seed, and the sums.
pub fn table(played: &[Played]) -> String {
    let mut text = String::from(
        "| seed | sidecars | deadline | moves | leaves | crowd | requests | served | attempts | latest list | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut sums: BTreeMap<Rule, usize> = BTreeMap::new();
    for run in played {
        run.broken.iter().for_each(|broken| *sums.entry(broken.rule).or_default() += 1);
        let broken =
            run.broken.iter().map(|broken| format!("{:?}", broken.rule)).collect::<Vec<_>>().join(" ");
        let Plan { seed, sidecars, deadline, crowded, .. } = &run.plan;
        let _ = writeln!(
            text,
            "| {seed} | {sidecars} | {:.1} s | {} | {} | {} | {} | {:.3} | {} | {:.2} s | {broken} |",
            Duration::as_secs_f64(deadline),
            run.moves(),
            run.leaves(),
            if *crowded { "yes" } else { "" },
            run.record.requests.len(),
            run.served(),
            run.record.attempts.len(),
            latest_list(&run.record).as_secs_f64()
        );
    }
    let clean = played.iter().filter(|run| run.broken.is_empty()).count();
    let _ = writeln!(text, "\n{clean} of {} seeds broke nothing; broken in all: {sums:?}", played.len());
    text
}
