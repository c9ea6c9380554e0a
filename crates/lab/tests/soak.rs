//! The soak in short on real sidecars, and its checker seen to fail on each rule.

use std::path::PathBuf;
use std::time::Duration;

use appledyke_lab::rig::processes::beside;
use appledyke_lab::soak::checker::{Rule, check};
use appledyke_lab::soak::plan::Plan;
use appledyke_lab::soak::record::{
    Attempt, AttemptOutcome, Effect, KnownBy, NotifiedList, ProcessRun, Reachable, Record, Request,
    RequestOutcome, Version,
};
use appledyke_lab::soak::seeds::{Played, play_all, table};

/// Seeds that are played in CI: among them long series of configurations before a discovery with hardly room for them, which
/// broke drains before the mend (103), crowds (105, 106), and processes that leave while clients go on.
const SEEDS: std::ops::RangeInclusive<u64> = 103..=106;

#[test]
fn some_seeds_break_no_rule() {
    let folder: PathBuf = std::env::temp_dir().join(format!("appledyke-soak-test-{}", std::process::id()));
    let played = play_all(SEEDS, 2, &beside("appledyke-sidecar").unwrap(), &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let played = played.unwrap();
    println!("{}", table(&played));
    let broken: Vec<String> = played.iter().filter(|run| !run.broken.is_empty()).map(Played::story).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    // It was no idle run.
    assert!(played.iter().all(|run| run.served() > 0.5 && run.record.attempts.len() > 200));
}

fn ms(of: u64) -> Duration {
    Duration::from_millis(of)
}

fn request(id: &str, effect: Effect, outcome: RequestOutcome, ended_at: u64) -> Request {
    let (sent_at, timeout) = (ms(1000), ms(500));
    Request {
        id: id.into(),
        sidecar: 0,
        effect,
        sent_at,
        timeout,
        reused: false,
        outcome,
        ended_at: ms(ended_at),
    }
}

fn answered(id: &str) -> RequestOutcome {
    RequestOutcome::Answered { status: 200, body: id.into() }
}

fn attempt(id: &str, endpoint: usize, effect: Effect, begun: u64, outstanding_until: u64) -> Attempt {
    Attempt {
        id: id.into(),
        endpoint,
        effect,
        first_byte_at: ms(begun),
        last_byte_at: ms(begun),
        remaining: Some(ms(490)),
        outcome: AttemptOutcome::Ran,
        outstanding_until: ms(outstanding_until),
    }
}

fn process_run() -> ProcessRun {
    ProcessRun {
        sidecar: 0,
        started_at: Duration::ZERO,
        sigterm_at: None,
        sigkill_at: None,
        exited: None,
        initial_version: 1,
        reconfigured_at: Vec::new(),
        log: Vec::new(),
    }
}

/// One request, served well by e0, of two endpoints.
fn well() -> Record {
    Record {
        requests: vec![request("r1", Effect::Unsafe, answered("r1"), 1050)],
        attempts: vec![attempt("r1", 0, Effect::Unsafe, 1010, 1040)],
        versions: vec![Version { version: 1, at: Duration::ZERO, up: vec![0, 1], draining: vec![] }],
        process_runs: vec![process_run()],
        reachable: Reachable { spans: vec![(Duration::ZERO, ms(60_000))] },
        ..Record::default()
    }
}

fn broken(record: &Record) -> Vec<Rule> {
    let plan = Plan { stop_sending: ms(1000), ..Plan::draw(1) };
    check(&plan, record).into_iter().map(|broken| broken.rule).collect()
}

#[test]
fn a_request_that_is_served_once_breaks_nothing() {
    assert_eq!(broken(&well()), []);
}

#[test]
fn requests_without_a_final_answer_in_time_are_lost() {
    for ended in [
        RequestOutcome::NoAnswer,
        RequestOutcome::Closed { partial: false },
        RequestOutcome::Closed { partial: true },
    ] {
        let mut record = well();
        record.requests[0].outcome = ended.clone();
        assert_eq!(broken(&record), [Rule::Lost], "{ended:?}");
    }
    let mut late = well();
    late.requests[0].ended_at = ms(2100);
    assert_eq!(broken(&late), [Rule::Lost]);
    let mut of_another = well();
    of_another.requests[0].outcome = answered("r2");
    assert_eq!(broken(&of_another), [Rule::Lost]);
    // What SIGKILL finds unanswered after SIGTERM is lost; what an outright kill finds is not.
    let mut killed = well();
    killed.requests[0].outcome = RequestOutcome::Closed { partial: false };
    killed.process_runs[0].sigkill_at = Some(ms(1040));
    assert_eq!(broken(&killed), []);
    killed.process_runs[0].sigterm_at = Some(ms(100));
    assert_eq!(broken(&killed), [Rule::Lost]);
    // One that crosses the end of a resting connection may be closed unread, and not once it was sent on.
    let mut crossed = well();
    (crossed.requests[0].outcome, crossed.requests[0].reused) =
        (RequestOutcome::Closed { partial: false }, true);
    assert_eq!(broken(&crossed), [Rule::Lost]);
    crossed.attempts.clear();
    assert_eq!(broken(&crossed), []);
}

#[test]
fn an_attempt_long_after_its_client_has_left_is_lost() {
    let mut record = well();
    (record.requests[0].outcome, record.requests[0].ended_at) = (RequestOutcome::Disconnected, ms(1005));
    assert_eq!(broken(&record), []);
    (record.attempts[0].first_byte_at, record.attempts[0].last_byte_at) = (ms(1160), ms(1160));
    record.attempts[0].remaining = Some(ms(340));
    assert_eq!(broken(&record), [Rule::Lost]);
}

#[test]
fn a_second_run_and_a_second_copy_are_duplicates() {
    let mut twice = well();
    twice.attempts.push(attempt("r1", 1, Effect::Unsafe, 1100, 1120));
    assert_eq!(broken(&twice), [Rule::Duplicate]);
    twice.attempts[0].outcome = AttemptOutcome::Rejected;
    assert_eq!(broken(&twice), []);
    let mut copies = well();
    copies.requests[0].effect = Effect::Safe;
    copies.attempts[0].effect = Effect::Safe;
    copies.attempts.push(attempt("r1", 1, Effect::Safe, 1100, 1120));
    assert_eq!(broken(&copies), []);
    copies.attempts[0].outstanding_until = ms(1200);
    assert_eq!(broken(&copies), [Rule::Duplicate]);
}

#[test]
fn more_time_than_the_client_has_breaks_the_deadline() {
    let mut record = well();
    record.attempts[0].remaining = Some(ms(700));
    assert_eq!(broken(&record), [Rule::Deadline]);
}

#[test]
fn an_end_that_nobody_asked_for_is_a_crash() {
    let mut record = well();
    record.process_runs[0].exited = Some((Some(0), ms(5000)));
    assert_eq!(broken(&record), [Rule::Crash]);
    record.process_runs[0].sigterm_at = Some(ms(4000));
    assert_eq!(broken(&record), []);
    record.process_runs[0].exited = Some((Some(101), ms(5000)));
    assert_eq!(broken(&record), [Rule::Crash]);
}

/// A request to e0, which drains from 2 s on, that begins then.
fn drained(begun: u64) -> Record {
    let mut record = well();
    record.versions.push(Version { version: 2, at: ms(2000), up: vec![1], draining: vec![0] });
    record.requests = vec![request("r1", Effect::Safe, answered("r1"), begun + 50)];
    record.requests[0].sent_at = ms(begun - 10);
    record.attempts = vec![attempt("r1", 0, Effect::Safe, begun, begun + 40)];
    record
}

#[test]
fn an_attempt_after_the_grace_of_a_drain_breaks_it_however_it_counts_as_told() {
    let written = |at| NotifiedList { sidecar: 0, at: ms(at), version: 2, reason: KnownBy::Written };
    // Told as it was written, at 2.1 s: a second, and some milliseconds.
    let mut record = drained(3000);
    record.notified_lists = vec![written(2100)];
    assert_eq!(broken(&record), []);
    let mut record = drained(3300);
    record.notified_lists = vec![written(2100)];
    assert_eq!(broken(&record), [Rule::Drain]);
    // Never written, it counts 6 s after it was made, or after the service is back.
    assert_eq!(broken(&drained(8900)), []);
    assert_eq!(broken(&drained(9300)), [Rule::Drain]);
    let mut outage = drained(9300);
    outage.reachable.spans = vec![(Duration::ZERO, ms(1500)), (ms(5000), ms(60_000))];
    assert_eq!(broken(&outage), []);
    let mut outage = drained(12_300);
    outage.reachable.spans = vec![(Duration::ZERO, ms(1500)), (ms(5000), ms(60_000))];
    assert_eq!(broken(&outage), [Rule::Drain]);
    // And 4 s after the last of some configurations that named another address.
    let mut moved = drained(7900);
    moved.process_runs[0].reconfigured_at = vec![ms(2200), ms(2500)];
    assert_eq!(broken(&moved), [Rule::Drain]);
    moved.process_runs[0].reconfigured_at.push(ms(3200));
    assert_eq!(broken(&moved), []);
    // A process that was started with the list that has it is told from the first moment.
    let mut started = drained(4000);
    (started.process_runs[0].started_at, started.process_runs[0].initial_version) = (ms(2500), 2);
    assert_eq!(broken(&started), [Rule::Drain]);
}
