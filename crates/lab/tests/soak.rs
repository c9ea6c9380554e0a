//! The soak in short on real sidecars, and its checker seen to fail on each rule.

use std::path::PathBuf;
use std::time::Duration;

use appledyke_lab::rig::processes::workspace_program;
use appledyke_lab::soak::checker::{Rule, check};
use appledyke_lab::soak::plan::Plan;
use appledyke_lab::soak::record::{
    Attempt, Done, Effect, Ended, Life, Reachable, Record, Request, Told, Version, Why,
};
use appledyke_lab::soak::seeds::{Played, play_all, table};

/// Seeds that are played in CI: among them long series of configurations before a discovery with hardly room for them, which
/// broke drains before the mend (103), crowds (105, 106), and processes that leave while clients go on.
const SEEDS: std::ops::RangeInclusive<u64> = 103..=106;

#[test]
fn some_seeds_break_no_rule() {
    let folder: PathBuf = std::env::temp_dir().join(format!("appledyke-soak-test-{}", std::process::id()));
    let played = play_all(SEEDS, 2, &workspace_program("appledyke-sidecar").unwrap(), &folder);
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

fn request(id: &str, effect: Effect, ended: Ended, ended_at: u64) -> Request {
    let (sent, waits) = (ms(1000), ms(500));
    Request { id: id.into(), sidecar: 0, effect, sent, waits, reused: false, ended, ended_at: ms(ended_at) }
}

fn answered(id: &str) -> Ended {
    Ended::Answered { status: 200, body: id.into() }
}

fn attempt(id: &str, endpoint: usize, effect: Effect, begun: u64, out_until: u64) -> Attempt {
    Attempt {
        id: id.into(),
        endpoint,
        effect,
        begun: ms(begun),
        whole: ms(begun),
        left: Some(ms(490)),
        done: Done::Ran,
        out_until: ms(out_until),
    }
}

fn life() -> Life {
    Life {
        sidecar: 0,
        began: Duration::ZERO,
        term: None,
        killed: None,
        ended: None,
        known: 1,
        moves: Vec::new(),
        log: Vec::new(),
    }
}

/// One request, served well by e0, of two endpoints.
fn well() -> Record {
    Record {
        requests: vec![request("r1", Effect::Unsafe, answered("r1"), 1050)],
        attempts: vec![attempt("r1", 0, Effect::Unsafe, 1010, 1040)],
        versions: vec![Version { version: 1, at: Duration::ZERO, up: vec![0, 1], draining: vec![] }],
        lives: vec![life()],
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
    for ended in [Ended::Silent, Ended::Closed { within: false }, Ended::Closed { within: true }] {
        let mut record = well();
        record.requests[0].ended = ended.clone();
        assert_eq!(broken(&record), [Rule::Lost], "{ended:?}");
    }
    let mut late = well();
    late.requests[0].ended_at = ms(2100);
    assert_eq!(broken(&late), [Rule::Lost]);
    let mut of_another = well();
    of_another.requests[0].ended = answered("r2");
    assert_eq!(broken(&of_another), [Rule::Lost]);
    // What SIGKILL finds unanswered after SIGTERM is lost; what an outright kill finds is not.
    let mut killed = well();
    killed.requests[0].ended = Ended::Closed { within: false };
    killed.lives[0].killed = Some(ms(1040));
    assert_eq!(broken(&killed), []);
    killed.lives[0].term = Some(ms(100));
    assert_eq!(broken(&killed), [Rule::Lost]);
    // One that crosses the end of a resting connection may be closed unread, and not once it was sent on.
    let mut crossed = well();
    (crossed.requests[0].ended, crossed.requests[0].reused) = (Ended::Closed { within: false }, true);
    assert_eq!(broken(&crossed), [Rule::Lost]);
    crossed.attempts.clear();
    assert_eq!(broken(&crossed), []);
}

#[test]
fn an_attempt_long_after_its_client_has_left_is_lost() {
    let mut record = well();
    (record.requests[0].ended, record.requests[0].ended_at) = (Ended::Left, ms(1005));
    assert_eq!(broken(&record), []);
    (record.attempts[0].begun, record.attempts[0].whole) = (ms(1160), ms(1160));
    record.attempts[0].left = Some(ms(340));
    assert_eq!(broken(&record), [Rule::Lost]);
}

#[test]
fn a_second_run_and_a_second_copy_are_duplicates() {
    let mut twice = well();
    twice.attempts.push(attempt("r1", 1, Effect::Unsafe, 1100, 1120));
    assert_eq!(broken(&twice), [Rule::Duplicate]);
    twice.attempts[0].done = Done::TurnedAway;
    assert_eq!(broken(&twice), []);
    let mut copies = well();
    copies.requests[0].effect = Effect::Safe;
    copies.attempts[0].effect = Effect::Safe;
    copies.attempts.push(attempt("r1", 1, Effect::Safe, 1100, 1120));
    assert_eq!(broken(&copies), []);
    copies.attempts[0].out_until = ms(1200);
    assert_eq!(broken(&copies), [Rule::Duplicate]);
}

#[test]
fn more_time_than_the_client_has_breaks_the_deadline() {
    let mut record = well();
    record.attempts[0].left = Some(ms(700));
    assert_eq!(broken(&record), [Rule::Deadline]);
}

#[test]
fn an_end_that_nobody_asked_for_is_a_crash() {
    let mut record = well();
    record.lives[0].ended = Some((Some(0), ms(5000)));
    assert_eq!(broken(&record), [Rule::Crash]);
    record.lives[0].term = Some(ms(4000));
    assert_eq!(broken(&record), []);
    record.lives[0].ended = Some((Some(101), ms(5000)));
    assert_eq!(broken(&record), [Rule::Crash]);
}

/// A request to e0, which drains from 2 s on, that begins then.
fn drained(begun: u64) -> Record {
    let mut record = well();
    record.versions.push(Version { version: 2, at: ms(2000), up: vec![1], draining: vec![0] });
    record.requests = vec![request("r1", Effect::Safe, answered("r1"), begun + 50)];
    record.requests[0].sent = ms(begun - 10);
    record.attempts = vec![attempt("r1", 0, Effect::Safe, begun, begun + 40)];
    record
}

#[test]
fn an_attempt_after_the_grace_of_a_drain_breaks_it_however_it_counts_as_told() {
    let written = |at| Told { sidecar: 0, at: ms(at), version: 2, why: Why::Written };
    // Told as it was written, at 2.1 s: a second, and some milliseconds.
    let mut record = drained(3000);
    record.told = vec![written(2100)];
    assert_eq!(broken(&record), []);
    let mut record = drained(3300);
    record.told = vec![written(2100)];
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
    moved.lives[0].moves = vec![ms(2200), ms(2500)];
    assert_eq!(broken(&moved), [Rule::Drain]);
    moved.lives[0].moves.push(ms(3200));
    assert_eq!(broken(&moved), []);
    // A process that was started with the list that has it is told from the first moment.
    let mut started = drained(4000);
    (started.lives[0].began, started.lives[0].known) = (ms(2500), 2);
    assert_eq!(broken(&started), [Rule::Drain]);
}
