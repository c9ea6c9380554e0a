//! Checks the operators' rules against what the fake clients, endpoints and discovery of a run recorded.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::plan::Plan;
use super::record::{
    Attempt, AttemptOutcome, Effect, KnownBy, NotifiedList, ProcessRun, Reachable, Record, Request,
    RequestOutcome,
};

/// A sidecar must know of a change this long after discovery had it and was reachable.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// A sidecar must know what discovery has at a newly configured address this long after the SIGHUP.
const KNOWN_AFTER_RECONFIGURATION: Duration = Duration::from_secs(4);
/// Time that a newly started process has to call discovery.
const KNOWN_AFTER_START: Duration = Duration::from_secs(4);
/// Tolerance on time limits that are observed through sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// How late the fakes' threads may record an event on a machine that is not idle.
const RECORDING_DELAY: Duration = Duration::from_millis(40);
/// How long after its deadline a final answer, although useless to the client, doesn't count as lost.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// How long after its client has disconnected an attempt may still begin.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(100);
/// How much the remaining time sent with an attempt may exceed that of its client.
const REMAINING_TOLERANCE: Duration = Duration::from_millis(150);

/// The rules that a run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Duplicate,
    Drain,
    Deadline,
    Crash,
}

/// A violation of a rule, with the details that explain it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Duration,
    pub description: String,
}

/// Returns all violations in this record, ordered by time.
pub fn check(plan: &Plan, record: &Record) -> Vec<Violation> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &record.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|of_request| of_request.sort_by_key(|attempt| attempt.last_byte_at));
    let mut violations = Vec::new();
    for request in &record.requests {
        let of_request = attempts.get(request.id.as_str()).map(Vec::as_slice).unwrap_or_default();
        violations.extend(lost_request(request, of_request, record));
        violations.extend(attempts_after_disconnect(request, of_request, record));
        violations.extend(excessive_deadlines(request, of_request, record));
    }
    // Clients may resend requests that were pending in a killed sidecar.
    let resendable: HashSet<&str> =
        record.requests.iter().filter(|request| was_killed(request, record)).map(|r| r.id.as_str()).collect();
    let not_resendable = attempts.iter().filter(|(id, _)| !resendable.contains(*id));
    violations.extend(not_resendable.flat_map(|(_, of_request)| duplicate_attempts(of_request)));
    violations.extend(attempts_after_drain(plan, record));
    violations.extend(record.process_runs.iter().filter_map(unexpected_exit));
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Whether the request was pending when its sidecar was killed by SIGKILL without a SIGTERM before.
fn was_killed(request: &Request, record: &Record) -> bool {
    record.process_runs.iter().any(|process_run| {
        let killed = process_run.sigkill_at.filter(|_| process_run.sigterm_at.is_none());
        process_run.sidecar == request.sidecar
            && matches!(request.outcome, RequestOutcome::Closed { .. })
            && killed.is_some_and(|at| {
                request.sent_at <= at + RECORDING_DELAY && request.ended_at + SOCKET_TOLERANCE >= at
            })
    })
}

/// Checks that each request gets its own final answer in time.
fn lost_request(request: &Request, attempts: &[&Attempt], record: &Record) -> Option<Violation> {
    let Request { id, sidecar, sent_at, ended_at, .. } = request;
    let request_label = format!("{id} ({:?}) to n{sidecar}, sent at {sent_at:?}", request.effect);
    let violation = |description: String| Some(Violation { rule: Rule::Lost, at: *ended_at, description });
    let latest_answer = request.timeout + ANSWER_TOLERANCE + RECORDING_DELAY;
    let took = ended_at.saturating_sub(*sent_at);
    match &request.outcome {
        RequestOutcome::Disconnected => None,
        RequestOutcome::Answered { status: 200, body } if body != id => {
            violation(format!("{request_label}: answered with the body of {body}"))
        }
        RequestOutcome::Answered { .. } if took > latest_answer => {
            violation(format!("{request_label}: answered after {took:?}"))
        }
        RequestOutcome::Answered { .. } => None,
        _ if was_killed(request, record) => None,
        RequestOutcome::NoAnswer => violation(format!("{request_label}: no answer within {took:?}")),
        // The sidecar closed the idle connection while the request was in transit, and never read it.
        RequestOutcome::Closed { partial: false }
            if request.reused && attempts.iter().all(|attempt| attempt.first_byte_at > *ended_at) =>
        {
            None
        }
        // An answer that broke off while the sidecar forwarded it is a failed request, not a lost one.
        RequestOutcome::Closed { partial: true }
            if attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::MayHaveRun) =>
        {
            None
        }

        RequestOutcome::Closed { .. } => {
            let killed = record
                .process_runs
                .iter()
                .filter(|process_run| process_run.sidecar == *sidecar)
                .filter_map(|process_run| process_run.sigkill_at);
            let kill_times = killed.map(|at| format!("{at:?}")).collect::<Vec<_>>().join(" ");
            violation(format!(
                "{request_label}: closed after {took:?} with no answer, {} attempts; kills at {kill_times}",
                attempts.len()
            ))
        }
    }
}

/// Checks that no attempt begins after its client has disconnected, unless it has come again with the same id by then.
fn attempts_after_disconnect(request: &Request, attempts: &[&Attempt], record: &Record) -> Vec<Violation> {
    if request.outcome != RequestOutcome::Disconnected {
        return Vec::new();
    }
    let until = request.ended_at + DISCONNECT_TOLERANCE + RECORDING_DELAY;
    let returned = record
        .requests
        .iter()
        .filter(|other| other.id == request.id && other.sent_at > request.ended_at)
        .map(|other| other.sent_at)
        .min();
    let late = attempts.iter().filter(|attempt| {
        attempt.first_byte_at > until && returned.is_none_or(|at| attempt.first_byte_at < at)
    });
    let violation = |attempt: &&Attempt| Violation {
        rule: Rule::Lost,
        at: attempt.first_byte_at,
        description: format!(
            "{}: an attempt at e{} began {:?} after its client had disconnected",
            request.id,
            attempt.endpoint,
            attempt.first_byte_at.saturating_sub(request.ended_at)
        ),
    };
    late.map(violation).collect()
}

/// Checks that no attempt carries more remaining time than its client has.
fn excessive_deadlines(request: &Request, attempts: &[&Attempt], record: &Record) -> Vec<Violation> {
    // A request whose connection closed before it was read was sent twice, with the same timeout.
    let sent = record.requests.iter().filter(|other| other.id == request.id).map(|other| other.sent_at).max();
    let until = sent.unwrap_or(request.sent_at) + request.timeout;
    let exceeds = |attempt: &&&Attempt| {
        attempt.remaining.is_some_and(|remaining| {
            remaining > until.saturating_sub(attempt.first_byte_at) + REMAINING_TOLERANCE + RECORDING_DELAY
        })
    };
    let violation = |attempt: &&Attempt| Violation {
        rule: Rule::Deadline,
        at: attempt.first_byte_at,
        description: format!(
            "{}: e{} received {:?} as the remaining time of {:?}",
            request.id, attempt.endpoint, attempt.remaining, request.timeout
        ),
    };
    attempts.iter().filter(exceeds).map(violation).collect()
}

/// Checks that no request takes effect twice and that no two of its attempts are outstanding at once.
fn duplicate_attempts(attempts: &[&Attempt]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (at, later) in attempts.iter().enumerate() {
        for earlier in &attempts[..at] {
            if earlier.outcome == AttemptOutcome::Rejected {
                continue;
            }
            let overlaps = earlier.outstanding_until > later.last_byte_at.saturating_add(RECORDING_DELAY);
            let repeats_effect = later.effect == Effect::Unsafe;
            if overlaps || repeats_effect {
                let description = format!(
                    "{} ({:?}): e{} at {:?}, {:?}, outstanding until {:?}, and e{} at {:?}, {:?}",
                    later.id,
                    later.effect,
                    earlier.endpoint,
                    earlier.last_byte_at,
                    earlier.outcome,
                    earlier.outstanding_until,
                    later.endpoint,
                    later.last_byte_at,
                    later.outcome
                );
                violations.push(Violation { rule: Rule::Duplicate, at: later.last_byte_at, description });
            }
        }
    }
    violations
}

/// The time by which a process run of a sidecar must know a version, and why.
fn known_by(
    process_run: &ProcessRun,
    version: u64,
    changed_at: Duration,
    lists: &[NotifiedList],
    reachable: &Reachable,
) -> Option<(Duration, KnownBy)> {
    if version <= process_run.initial_version {
        return Some((process_run.started_at, KnownBy::Written));
    }
    let until = process_run.sigkill_at.or(process_run.exited.map(|(_, at)| at)).unwrap_or(Duration::MAX);
    let written = lists.iter().filter(|list| {
        list.sidecar == process_run.sidecar
            && list.version >= version
            && list.at >= process_run.started_at
            && list.at < until
    });
    let written = written.map(|list| (list.at, KnownBy::Written)).min_by_key(|(at, _)| *at);
    let reachable = &reachable.spans;
    let due = reachable.iter().filter_map(|(from, to)| {
        let at = changed_at.max(*from) + KNOWN_AFTER;
        (at <= *to).then(|| (at.max(process_run.started_at + KNOWN_AFTER_START), KnownBy::Due))
    });
    let reconfigurations = process_run.reconfigured_at.iter().enumerate().filter_map(|(number, at)| {
        let known = (*at).max(changed_at) + KNOWN_AFTER_RECONFIGURATION;
        let next = process_run.reconfigured_at.get(number + 1).copied().unwrap_or(Duration::MAX);
        let reached = reachable.iter().any(|(from, to)| from <= at && *to >= known);
        (changed_at <= *at && next > known && reached).then_some((known, KnownBy::Reconfigured))
    });
    let known = written
        .into_iter()
        .chain(due.min_by_key(|(at, _)| *at))
        .chain(reconfigurations.min_by_key(|(at, _)| *at));
    known.min_by_key(|(at, _)| *at)
}

/// The longest delay between the deadline for knowing a version, by time limits alone, and the arrival of its list. The
/// grace period for drains has to cover it.
pub fn latest_list(record: &Record) -> Duration {
    let mut latest = Duration::ZERO;
    for process_run in &record.process_runs {
        let end = process_run
            .sigterm_at
            .or(process_run.sigkill_at)
            .or(process_run.exited.map(|(_, at)| at))
            .unwrap_or(Duration::MAX);
        let last = record.reachable.spans.iter().map(|(_, to)| *to).max().unwrap_or_default();
        for version in record.versions.iter().filter(|version| version.version > process_run.initial_version)
        {
            let known_with =
                |lists| known_by(process_run, version.version, version.at, lists, &record.reachable);
            let Some((due, _)) = known_with(&[]) else { continue };
            let received = known_with(&record.notified_lists)
                .filter(|(_, reason)| *reason == KnownBy::Written)
                .map(|(at, _)| at);
            let later = record.notified_lists.iter().filter(|list| {
                list.sidecar == process_run.sidecar
                    && list.version >= version.version
                    && list.at >= process_run.started_at
            });
            let received = received.or(later.map(|list| list.at).min()).unwrap_or(last).min(end);
            latest = latest.max(received.saturating_sub(due));
        }
    }
    latest
}

/// Checks that no attempt goes to a draining or removed endpoint after the grace period.
fn attempts_after_drain(plan: &Plan, record: &Record) -> Vec<Violation> {
    let sidecar_by_request: HashMap<&str, usize> =
        record.requests.iter().map(|request| (request.id.as_str(), request.sidecar)).collect();
    let mut violations = Vec::new();
    for attempt in &record.attempts {
        let Some(sidecar) = sidecar_by_request.get(attempt.id.as_str()) else { continue };
        let process_run = record.process_runs.iter().filter(|process_run| {
            process_run.sidecar == *sidecar && process_run.started_at <= attempt.first_byte_at
        });
        let Some(process_run) = process_run.max_by_key(|process_run| process_run.started_at) else {
            continue;
        };
        // The change that made it drain or removed it, unless it is up again when the attempt begins.
        let is_up = |at: usize| record.versions[at].up.contains(&attempt.endpoint);
        let earlier_versions =
            (0..record.versions.len()).filter(|at| record.versions[*at].at <= attempt.first_byte_at);
        let Some(last) = earlier_versions.max() else { continue };
        if is_up(last) {
            continue;
        }
        let Some(change) = (0..=last).rev().find(|at| *at == 0 || is_up(at - 1)) else { continue };
        let version = &record.versions[change];
        let Some((known, reason)) =
            known_by(process_run, version.version, version.at, &record.notified_lists, &record.reachable)
        else {
            continue;
        };
        let until = known + plan.stop_sending + SOCKET_TOLERANCE + RECORDING_DELAY;
        if attempt.first_byte_at > until {
            let description = format!(
                "{} by n{sidecar} to e{}: {:?} after version {} (made at {:?}) had to be known ({reason:?}); process started at {:?}, reconfigured at {:?}",
                attempt.id,
                attempt.endpoint,
                attempt.first_byte_at.saturating_sub(known),
                version.version,
                version.at,
                process_run.started_at,
                process_run.reconfigured_at
            );
            violations.push(Violation { rule: Rule::Drain, at: attempt.first_byte_at, description });
        }
    }
    violations
}

/// Checks that a process exits only after SIGTERM, and with code 0.
fn unexpected_exit(process_run: &ProcessRun) -> Option<Violation> {
    let (code, at) = process_run.exited?;
    let requested = process_run.sigterm_at.is_some() && code == Some(0);
    (!requested).then(|| Violation {
        rule: Rule::Crash,
        at,
        description: format!(
            "n{} exited with {code:?}; its last log lines: {:?}",
            process_run.sidecar,
            process_run.log.iter().rev().take(5).collect::<Vec<_>>()
        ),
    })
}
