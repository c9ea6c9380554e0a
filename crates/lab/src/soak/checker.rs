//! Holds the operators' rules against what a run's fakes have seen.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::plan::Plan;
use super::record::{Attempt, Done, Effect, Ended, Life, Reachable, Record, Request, Told, Why};

/// A change counts as told so long after the service had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// What discovery at a newly configured address has counts as told so long after the SIGHUP.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A process that has just started has this time to ask.
const TOLD_AFTER_START: Duration = Duration::from_secs(4);
/// Each time limit on sockets is so much longer.
const SLACK: Duration = Duration::from_millis(50);
/// What the fakes' threads may be late by in what they note, on a machine that is not idle.
const NOTED_LATE: Duration = Duration::from_millis(40);
/// A final answer is worth nothing, and not lost yet, for so long after its time.
const ANSWER_MORE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
const LEFT_MORE: Duration = Duration::from_millis(100);
/// What an attempt is told to have left may exceed what its client has by so much.
const LEFT_SLACK: Duration = Duration::from_millis(150);

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Duplicate,
    Drain,
    Deadline,
    Crash,
}

/// A rule that was broken, and what it takes to explain it.
#[derive(Clone, Debug)]
pub struct Broken {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
}

/// All rules that this record breaks.
pub fn check(plan: &Plan, record: &Record) -> Vec<Broken> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &record.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|of| of.sort_by_key(|attempt| attempt.whole));
    let mut broken = Vec::new();
    for request in &record.requests {
        let of = attempts.get(request.id.as_str()).map(Vec::as_slice).unwrap_or_default();
        broken.extend(lost(request, of, record));
        broken.extend(after_leave(request, of));
        broken.extend(deadlines(request, of, record));
    }
    // What a killed sidecar held is its client's to send again.
    let again: HashSet<&str> =
        record.requests.iter().filter(|request| was_killed(request, record)).map(|r| r.id.as_str()).collect();
    let once = attempts.iter().filter(|(id, _)| !again.contains(*id));
    broken.extend(once.flat_map(|(_, of)| duplicates(of)));
    broken.extend(drains(plan, record));
    broken.extend(record.lives.iter().filter_map(crash));
    broken.sort_by_key(|broken| broken.at);
    broken
}

/// Whether its sidecar was killed outright just then, which no plan tells it beforehand.
fn was_killed(request: &Request, record: &Record) -> bool {
    record.lives.iter().any(|life| {
        let killed = life.killed.filter(|_| life.term.is_none());
        life.sidecar == request.sidecar
            && matches!(request.ended, Ended::Closed { .. })
            && killed.is_some_and(|at| request.sent <= at + NOTED_LATE && request.ended_at + SLACK >= at)
    })
}

/// No request without a final answer.
fn lost(request: &Request, attempts: &[&Attempt], record: &Record) -> Option<Broken> {
    let Request { id, sidecar, sent, ended_at, .. } = request;
    let whose = format!("{id} ({:?}) to n{sidecar}, sent at {sent:?}", request.effect);
    let broken = |what: String| Some(Broken { rule: Rule::Lost, at: *ended_at, what });
    let in_time = request.waits + ANSWER_MORE + NOTED_LATE;
    let took = ended_at.saturating_sub(*sent);
    match &request.ended {
        Ended::Left => None,
        Ended::Answered { status: 200, body } if body != id => {
            broken(format!("{whose}: served with the answer of {body}"))
        }
        Ended::Answered { .. } if took > in_time => broken(format!("{whose}: answered after {took:?}")),
        Ended::Answered { .. } => None,
        _ if was_killed(request, record) => None,
        Ended::Silent => broken(format!("{whose}: no answer within {took:?}")),
        // It crossed the end of a resting connection, and was not read.
        Ended::Closed { within: false }
            if request.reused && attempts.iter().all(|attempt| attempt.begun > *ended_at) =>
        {
            None
        }
        // An answer that the sidecar had begun to pass on and could not finish has failed, and is not lost.
        Ended::Closed { within: true } if attempts.iter().any(|attempt| attempt.done == Done::MayHaveRun) => {
            None
        }

        Ended::Closed { .. } => {
            let killed =
                record.lives.iter().filter(|life| life.sidecar == *sidecar).filter_map(|life| life.killed);
            let near = killed.map(|at| format!("{at:?}")).collect::<Vec<_>>().join(" ");
            broken(format!(
                "{whose}: closed after {took:?} with no answer, {} attempts; kills at {near}",
                attempts.len()
            ))
        }
    }
}

/// No attempt begins after its client has left.
fn after_leave(request: &Request, attempts: &[&Attempt]) -> Vec<Broken> {
    if request.ended != Ended::Left {
        return Vec::new();
    }
    let until = request.ended_at + LEFT_MORE + NOTED_LATE;
    let late = attempts.iter().filter(|attempt| attempt.begun > until);
    let broken = |attempt: &&Attempt| Broken {
        rule: Rule::Lost,
        at: attempt.begun,
        what: format!(
            "{}: an attempt at e{} began {:?} after its client had left",
            request.id,
            attempt.endpoint,
            attempt.begun.saturating_sub(request.ended_at)
        ),
    };
    late.map(broken).collect()
}

/// No attempt is told more time than its client has.
fn deadlines(request: &Request, attempts: &[&Attempt], record: &Record) -> Vec<Broken> {
    // A request that crossed the end of its connection was sent twice, with the same time.
    let sent = record.requests.iter().filter(|other| other.id == request.id).map(|other| other.sent).max();
    let until = sent.unwrap_or(request.sent) + request.waits;
    let over = |attempt: &&&Attempt| {
        attempt.left.is_some_and(|left| left > until.saturating_sub(attempt.begun) + LEFT_SLACK + NOTED_LATE)
    };
    let broken = |attempt: &&Attempt| Broken {
        rule: Rule::Deadline,
        at: attempt.begun,
        what: format!(
            "{}: e{} was told {:?} is left of {:?}",
            request.id, attempt.endpoint, attempt.left, request.waits
        ),
    };
    attempts.iter().filter(over).map(broken).collect()
}

/// No effect twice, and no two attempts out at once.
fn duplicates(attempts: &[&Attempt]) -> Vec<Broken> {
    let mut broken = Vec::new();
    for (at, later) in attempts.iter().enumerate() {
        for earlier in &attempts[..at] {
            if earlier.done == Done::TurnedAway {
                continue;
            }
            let out = earlier.out_until > later.whole.saturating_add(NOTED_LATE);
            let twice = later.effect == Effect::Unsafe;
            if out || twice {
                let what = format!(
                    "{} ({:?}): e{} at {:?}, {:?}, out until {:?}, and e{} at {:?}, {:?}",
                    later.id,
                    later.effect,
                    earlier.endpoint,
                    earlier.whole,
                    earlier.done,
                    earlier.out_until,
                    later.endpoint,
                    later.whole,
                    later.done
                );
                broken.push(Broken { rule: Rule::Duplicate, at: later.whole, what });
            }
        }
    }
    broken
}

/// When a version counts as told to a life of a sidecar, and why.
fn told(
    life: &Life,
    version: u64,
    made: Duration,
    lists: &[Told],
    reachable: &Reachable,
) -> Option<(Duration, Why)> {
    if version <= life.known {
        return Some((life.began, Why::Written));
    }
    let until = life.killed.or(life.ended.map(|(_, at)| at)).unwrap_or(Duration::MAX);
    let written = lists.iter().filter(|told| {
        told.sidecar == life.sidecar && told.version >= version && told.at >= life.began && told.at < until
    });
    let written = written.map(|told| (told.at, Why::Written)).min_by_key(|(at, _)| *at);
    let reachable = &reachable.spans;
    let due = reachable.iter().filter_map(|(from, to)| {
        let at = made.max(*from) + TOLD_AFTER;
        (at <= *to).then(|| (at.max(life.began + TOLD_AFTER_START), Why::Due))
    });
    let moves = life.moves.iter().enumerate().filter_map(|(number, at)| {
        let told = (*at).max(made) + TOLD_AFTER_MOVE;
        let next = life.moves.get(number + 1).copied().unwrap_or(Duration::MAX);
        let reached = reachable.iter().any(|(from, to)| from <= at && *to >= told);
        (made <= *at && next > told && reached).then_some((told, Why::Moved))
    });
    let told =
        written.into_iter().chain(due.min_by_key(|(at, _)| *at)).chain(moves.min_by_key(|(at, _)| *at));
    told.min_by_key(|(at, _)| *at)
}

/// The latest that a list was heard after it counts as told by the time alone: what the grace has to make up for.
pub fn latest_list(record: &Record) -> Duration {
    let mut latest = Duration::ZERO;
    for life in &record.lives {
        let end = life.term.or(life.killed).or(life.ended.map(|(_, at)| at)).unwrap_or(Duration::MAX);
        let last = record.reachable.spans.iter().map(|(_, to)| *to).max().unwrap_or_default();
        for version in record.versions.iter().filter(|version| version.version > life.known) {
            let told_by = |lists| told(life, version.version, version.at, lists, &record.reachable);
            let Some((due, _)) = told_by(&[]) else { continue };
            let heard = told_by(&record.told).filter(|(_, why)| *why == Why::Written).map(|(at, _)| at);
            let later = record.told.iter().filter(|told| {
                told.sidecar == life.sidecar && told.version >= version.version && told.at >= life.began
            });
            let heard = heard.or(later.map(|told| told.at).min()).unwrap_or(last).min(end);
            latest = latest.max(heard.saturating_sub(due));
        }
    }
    latest
}

/// No attempt at an endpoint that drains or is gone, once its grace is over.
fn drains(plan: &Plan, record: &Record) -> Vec<Broken> {
    let sidecar_of: HashMap<&str, usize> =
        record.requests.iter().map(|request| (request.id.as_str(), request.sidecar)).collect();
    let mut broken = Vec::new();
    for attempt in &record.attempts {
        let Some(sidecar) = sidecar_of.get(attempt.id.as_str()) else { continue };
        let life = record.lives.iter().filter(|life| life.sidecar == *sidecar && life.began <= attempt.begun);
        let Some(life) = life.max_by_key(|life| life.began) else { continue };
        // The change that it drains by, unless it is up again by then.
        let is_up = |at: usize| record.versions[at].up.contains(&attempt.endpoint);
        let made_before = (0..record.versions.len()).filter(|at| record.versions[*at].at <= attempt.begun);
        let Some(last) = made_before.max() else { continue };
        if is_up(last) {
            continue;
        }
        let Some(change) = (0..=last).rev().find(|at| *at == 0 || is_up(at - 1)) else { continue };
        let version = &record.versions[change];
        let Some((told, why)) = told(life, version.version, version.at, &record.told, &record.reachable)
        else {
            continue;
        };
        let until = told + plan.stop_sending + SLACK + NOTED_LATE;
        if attempt.begun > until {
            let what = format!(
                "{} by n{sidecar} to e{}: {:?} after version {} (made at {:?}) counts as told ({why:?}); life since {:?}, moves {:?}",
                attempt.id,
                attempt.endpoint,
                attempt.begun.saturating_sub(told),
                version.version,
                version.at,
                life.began,
                life.moves
            );
            broken.push(Broken { rule: Rule::Drain, at: attempt.begun, what });
        }
    }
    broken
}

/// No process ends but when it is told to.
fn crash(life: &Life) -> Option<Broken> {
    let (code, at) = life.ended?;
    let told = life.term.is_some() && code == Some(0);
    (!told).then(|| Broken {
        rule: Rule::Crash,
        at,
        what: format!(
            "n{} ended with {code:?}; its last lines: {:?}",
            life.sidecar,
            life.log.iter().rev().take(5).collect::<Vec<_>>()
        ),
    })
}
