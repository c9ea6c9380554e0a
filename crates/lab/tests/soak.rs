//! A short soak on real sidecars, and tests that its checker detects violations of each rule.

use std::path::PathBuf;
use std::time::Duration;

use appledyke_lab::rig::processes::workspace_program;
use appledyke_lab::soak::checker::{Rule, check};
use appledyke_lab::soak::plan::Plan;
use appledyke_lab::soak::record::{
    Attempt, AttemptOutcome, Effect, KnownBy, NotifiedList, ProcessRun, Reachable, Record, Request,
    RequestOutcome, Version,
};
use appledyke_lab::soak::seeds::{Played, play_all, table};

/// Seeds that run in CI. They cover long series of new configurations while discovery has hardly enough capacity for the
/// calls, which violated the drain rule before the fix (103), many idle clients (105, 106), and processes that shut down
/// while clients keep sending.
const SEEDS: std::ops::RangeInclusive<u64> = 103..=106;

#[test]
fn seeds_violate_no_rule() {
    let folder: PathBuf = std::env::temp_dir().join(format!("appledyke-soak-test-{}", std::process::id()));
    let played = play_all(SEEDS, 2, &workspace_program("appledyke-sidecar").unwrap(), &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let played = played.unwrap();
    println!("{}", table(&played));
    let broken: Vec<String> = played.iter().filter(|run| !run.broken.is_empty()).map(Played::story).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    // The runs carried real load.
    assert!(played.iter().all(|run| run.served() > 0.5 && run.record.attempts.len() > 200));
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
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

fn attempt(id: &str, endpoint: usize, effect: Effect, begins_at: u64, outstanding_until: u64) -> Attempt {
    Attempt {
        id: id.into(),
        endpoint,
        effect,
        first_byte_at: ms(begins_at),
        last_byte_at: ms(begins_at),
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

/// A record of one request that e0, one of two endpoints, answered in time.
fn healthy_record() -> Record {
    Record {
        requests: vec![request("r1", Effect::Unsafe, answered("r1"), 1050)],
        attempts: vec![attempt("r1", 0, Effect::Unsafe, 1010, 1040)],
        versions: vec![Version { version: 1, at: Duration::ZERO, up: vec![0, 1], draining: vec![] }],
        process_runs: vec![process_run()],
        reachable: Reachable { spans: vec![(Duration::ZERO, ms(60_000))] },
        ..Record::default()
    }
}

fn violated_rules(record: &Record) -> Vec<Rule> {
    let plan = Plan { stop_sending: ms(1000), ..Plan::draw(1) };
    check(&plan, record).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_request_that_is_served_once_violates_no_rule() {
    assert_eq!(violated_rules(&healthy_record()), []);
}

#[test]
fn requests_without_a_final_answer_in_time_are_lost() {
    for outcome in [
        RequestOutcome::NoAnswer,
        RequestOutcome::Closed { partial: false },
        RequestOutcome::Closed { partial: true },
    ] {
        let mut record = healthy_record();
        record.requests[0].outcome = outcome.clone();
        assert_eq!(violated_rules(&record), [Rule::Lost], "{outcome:?}");
    }
    let mut late = healthy_record();
    late.requests[0].ended_at = ms(2100);
    assert_eq!(violated_rules(&late), [Rule::Lost]);
    let mut other_body = healthy_record();
    other_body.requests[0].outcome = answered("r2");
    assert_eq!(violated_rules(&other_body), [Rule::Lost]);
    // A request that is pending at a SIGKILL is lost if a SIGTERM came before, and not lost otherwise.
    let mut killed = healthy_record();
    killed.requests[0].outcome = RequestOutcome::Closed { partial: false };
    killed.process_runs[0].sigkill_at = Some(ms(1040));
    assert_eq!(violated_rules(&killed), []);
    killed.process_runs[0].sigterm_at = Some(ms(100));
    assert_eq!(violated_rules(&killed), [Rule::Lost]);
    // A request on a reused connection that closes may stay unread, but not if it reached an endpoint.
    let mut unread = healthy_record();
    (unread.requests[0].outcome, unread.requests[0].reused) =
        (RequestOutcome::Closed { partial: false }, true);
    assert_eq!(violated_rules(&unread), [Rule::Lost]);
    unread.attempts.clear();
    assert_eq!(violated_rules(&unread), []);
}

#[test]
fn an_attempt_long_after_its_client_disconnected_violates_lost() {
    let mut record = healthy_record();
    (record.requests[0].outcome, record.requests[0].ended_at) = (RequestOutcome::Disconnected, ms(1005));
    assert_eq!(violated_rules(&record), []);
    (record.attempts[0].first_byte_at, record.attempts[0].last_byte_at) = (ms(1160), ms(1160));
    record.attempts[0].remaining = Some(ms(340));
    assert_eq!(violated_rules(&record), [Rule::Lost]);
}

#[test]
fn a_second_effect_and_an_overlapping_attempt_are_duplicates() {
    let mut twice = healthy_record();
    twice.attempts.push(attempt("r1", 1, Effect::Unsafe, 1100, 1120));
    assert_eq!(violated_rules(&twice), [Rule::Duplicate]);
    twice.attempts[0].outcome = AttemptOutcome::Rejected;
    assert_eq!(violated_rules(&twice), []);
    let mut copies = healthy_record();
    copies.requests[0].effect = Effect::Safe;
    copies.attempts[0].effect = Effect::Safe;
    copies.attempts.push(attempt("r1", 1, Effect::Safe, 1100, 1120));
    assert_eq!(violated_rules(&copies), []);
    copies.attempts[0].outstanding_until = ms(1200);
    assert_eq!(violated_rules(&copies), [Rule::Duplicate]);
}

#[test]
fn more_remaining_time_than_the_client_has_violates_deadline() {
    let mut record = healthy_record();
    record.attempts[0].remaining = Some(ms(700));
    assert_eq!(violated_rules(&record), [Rule::Deadline]);
}

#[test]
fn an_exit_without_sigterm_or_with_an_error_code_is_a_crash() {
    let mut record = healthy_record();
    record.process_runs[0].exited = Some((Some(0), ms(5000)));
    assert_eq!(violated_rules(&record), [Rule::Crash]);
    record.process_runs[0].sigterm_at = Some(ms(4000));
    assert_eq!(violated_rules(&record), []);
    record.process_runs[0].exited = Some((Some(101), ms(5000)));
    assert_eq!(violated_rules(&record), [Rule::Crash]);
}

/// A record of one attempt at e0, which drains from 2 s on. The attempt begins at `begins_at` milliseconds.
fn record_with_drain(begins_at: u64) -> Record {
    let mut record = healthy_record();
    record.versions.push(Version { version: 2, at: ms(2000), up: vec![1], draining: vec![0] });
    record.requests = vec![request("r1", Effect::Safe, answered("r1"), begins_at + 50)];
    record.requests[0].sent_at = ms(begins_at - 10);
    record.attempts = vec![attempt("r1", 0, Effect::Safe, begins_at, begins_at + 40)];
    record
}

#[test]
fn an_attempt_after_the_grace_period_violates_drain_however_the_change_becomes_known() {
    let written = |at| NotifiedList { sidecar: 0, at: ms(at), version: 2, reason: KnownBy::Written };
    // Discovery wrote the change at 2.1 s: the grace period is a second, plus some milliseconds of tolerance.
    let mut record = record_with_drain(3000);
    record.notified_lists = vec![written(2100)];
    assert_eq!(violated_rules(&record), []);
    let mut record = record_with_drain(3300);
    record.notified_lists = vec![written(2100)];
    assert_eq!(violated_rules(&record), [Rule::Drain]);
    // If it was never written, the sidecar must know it 6 s after the change, or after discovery is reachable again.
    assert_eq!(violated_rules(&record_with_drain(8900)), []);
    assert_eq!(violated_rules(&record_with_drain(9300)), [Rule::Drain]);
    let mut outage = record_with_drain(9300);
    outage.reachable.spans = vec![(Duration::ZERO, ms(1500)), (ms(5000), ms(60_000))];
    assert_eq!(violated_rules(&outage), []);
    let mut outage = record_with_drain(12_300);
    outage.reachable.spans = vec![(Duration::ZERO, ms(1500)), (ms(5000), ms(60_000))];
    assert_eq!(violated_rules(&outage), [Rule::Drain]);
    // It must also know it 4 s after the last of several configurations that named another address.
    let mut reconfigured = record_with_drain(7900);
    reconfigured.process_runs[0].reconfigured_at = vec![ms(2200), ms(2500)];
    assert_eq!(violated_rules(&reconfigured), [Rule::Drain]);
    reconfigured.process_runs[0].reconfigured_at.push(ms(3200));
    assert_eq!(violated_rules(&reconfigured), []);
    // A process that was started with a list that contains the change knows it from its start.
    let mut started = record_with_drain(4000);
    (started.process_runs[0].started_at, started.process_runs[0].initial_version) = (ms(2500), 2);
    assert_eq!(violated_rules(&started), [Rule::Drain]);
}
