//! Simulates releases: the fleet's state, member tracker and release runner, with sidecars whose random results depend on
//! their version, and one daemon that never fails. Daemon failures are tested by `rig`.

use appledyke::units::{Moment, Span};
use appledyke_fleet::drains::{Amount, Group};
use appledyke_fleet::health::{Criteria, RequestCounts};
use appledyke_fleet::liveness::{LivenessTimeouts, MemberTracker};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::Report;
use appledyke_fleet::release_runner::ReleaseRunner;
use appledyke_fleet::releases::{
    FORMAT, Plan, ReleaseState, ReleaseUpdate, RollbackPolicy, Side, Stage, TargetKind,
};
use appledyke_fleet::state::{Command, Fleet, SettingsChange, Write, WriteId};
use oorandom::Rand64;
use serde::Serialize;

/// The simulation step; a heartbeat takes five steps.
const STEP_MS: u64 = 100;
const HEARTBEAT_STEPS: u64 = 5;
/// How long a sidecar takes to drain, and to start.
const DRAIN_MS: u64 = 1000;
const START_MS: u64 = 2000;
/// How long a `Cold` candidate is slow after its start.
const COLD_MS: u64 = 4000;
/// Time after which an unfinished release is abandoned; no release takes this long.
const MAX_LENGTH_MS: u64 = 3_600_000;
/// Time before the release, in which the baseline is recorded.
const BASELINE_MS: u64 = 60_000;

/// The behavior of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    Sound,
    /// For its first seconds, a further fifth of its requests exceeds the latency budget.
    Cold,
    /// Its failure rate varies randomly around the old version's mean.
    Noisy,
    /// It takes three duration_factor as long to drain and to start.
    Slow,
    /// A further tenth of its requests fails.
    Flawed,
    /// A further three tenths of its requests fail once half of the fleet runs it.
    FallsAtHalf,
    /// It is as good as the old version, but half of all requests fail for a while with either version.
    Outage,
}

impl Candidate {
    pub const ALL: [Candidate; 7] = [
        Candidate::Sound,
        Candidate::Cold,
        Candidate::Noisy,
        Candidate::Slow,
        Candidate::Flawed,
        Candidate::FallsAtHalf,
        Candidate::Outage,
    ];

    pub fn is_sound(self) -> bool {
        matches!(self, Candidate::Sound | Candidate::Cold | Candidate::Noisy | Candidate::Slow)
    }
}

/// The result of a release.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub candidate: String,
    pub sidecars: usize,
    pub seed: u64,
    pub how: String,
    /// Why it halted, if it did; how many sidecars had moved by then; and the time since the first bad sidecar served.
    pub halted: Option<String>,
    pub moved_at_halt: usize,
    pub halt_after_secs: Option<f64>,
    /// Duration of the release, and the shortest possible one with the allowed number of sidecars out at once.
    pub secs: f64,
    pub least_secs: f64,
    /// Credit per request lost during the release, compared with the old version serving the same clients.
    pub worth_lost: f64,
    pub most_out: usize,
    pub entries: u64,
}

struct Sidecar {
    incarnation: u64,
    new: bool,
    since: u64,
    counts: RequestCounts,
    drained: Option<u64>,
    down: Option<u64>,
}

/// Mean requests per second to a sidecar.
pub const PER_SECOND: f64 = 20.0;
const FAILURE_RATE: f64 = 0.01;
const SLOW_RATE: f64 = 0.03;

fn plan(sidecars: usize, most: u32) -> Plan {
    Plan {
        format: FORMAT,
        name: "release".into(),
        target_kind: TargetKind::Sidecars,
        group: "all".into(),
        order: Vec::new(),
        max_out: most.min(sidecars as u32),
        from: "old".into(),
        to: "new".into(),
        action: None,
        drain_timeout_ms: 30_000,
        return_timeout_ms: 60_000,
        settle_ms: 5000,
        watch_ms: 10_000,
        max_watch_ms: 60_000,
        criteria: Criteria {
            min_requests: 100,
            served_lower: Some(0.02),
            rejected_higher: None,
            failed_higher: None,
            slow_higher: Some(0.05),
        },
        rollback: RollbackPolicy::WhenWorse,
    }
}

/// Simulates one release of `sidecars` sidecars, a tenth of which may be out at once.
pub fn play(candidate: Candidate, sidecars: usize, seed: u64) -> Played {
    let most = (sidecars / 10).max(1) as u32;
    let plan = plan(sidecars, most);
    let mut rng = Rand64::new(u128::from(seed) << 8 | candidate as u128);
    let mut fleet = Fleet::default();
    let group = Group {
        name: "all".into(),
        max_out: Some(Amount::Number(most)),
        min_serving: None,
        endpoints: Vec::new(),
    };
    let write = Write {
        id: WriteId(1, 1),
        expected_version: None,
        author: String::new(),
        reason: String::new(),
        at_ms: 0,
        change: SettingsChange::Put("{}".into(), Vec::new(), vec![group]),
    };
    let mut index = 1;
    fleet.apply(index, &Command::Write(write));
    let name = |at: usize| format!("s{at:04}");
    for at in 0..sidecars {
        index += 1;
        let (standing, groups) = (MemberStatus::Serving, vec!["all".to_string()]);
        fleet.apply(index, &Command::Member { name: name(at), incarnation: 1, status: standing, groups });
    }
    let timeouts = LivenessTimeouts { lease: Span::from_millis(3000), gone: Span::from_millis(600_000) };
    let (mut tracker, mut runner) = (MemberTracker::new(Moment::default(), timeouts), ReleaseRunner::new());
    let new_sidecar = |_| Sidecar {
        incarnation: 1,
        new: false,
        since: 0,
        counts: RequestCounts::default(),
        drained: None,
        down: None,
    };
    let mut all: Vec<Sidecar> = (0..sidecars).map(new_sidecar).collect();
    let duration_factor = if candidate == Candidate::Slow { 3 } else { 1 };
    let (mut now, mut entries) = (0, 0);
    let (mut served, mut wanted, mut baseline_served) = (0.0, 0.0, 0.0);
    let (mut bad_since, mut halted, mut halted_at, mut moved_at_halt) = (None, None, None, 0);
    let mut most_out = 0;
    let ended = loop {
        now += STEP_MS;
        let at = Moment::from_nanos(now * 1_000_000);
        let running = now > BASELINE_MS;
        let new = all.iter().filter(|one| one.new && one.down.is_none()).count();
        let outage =
            candidate == Candidate::Outage && (BASELINE_MS + 40_000..BASELINE_MS + 70_000).contains(&now);
        for (number, one) in all.iter_mut().enumerate() {
            if let Some(until) = one.down {
                if now < until {
                    continue;
                }
                (one.down, one.since) = (None, now);
            }
            if one.drained.is_none() {
                let requests = PER_SECOND * STEP_MS as f64 / 1e3;
                let count = requests as u64 + u64::from(rng.rand_float() < requests.fract());
                let cold = now - one.since < COLD_MS;
                let (mut fails, mut slow) = (FAILURE_RATE, SLOW_RATE);
                if one.new {
                    match candidate {
                        Candidate::Cold if cold => slow += 0.2,
                        Candidate::Noisy => fails = 2.0 * FAILURE_RATE * rng.rand_float(),
                        Candidate::Flawed => fails += 0.1,
                        Candidate::FallsAtHalf if new * 2 >= sidecars => fails += 0.3,
                        _ => {}
                    }
                }
                if fails > 3.0 * FAILURE_RATE && !outage {
                    bad_since.get_or_insert(now);
                }
                if outage {
                    fails = 0.5;
                }
                for _ in 0..count {
                    let fails = rng.rand_float() < fails;
                    let slow = rng.rand_float() < slow;
                    let worth = match (fails, slow) {
                        (true, _) => 0.0,
                        (false, true) => 0.5,
                        (false, false) => 1.0,
                    };
                    one.counts.failed += u64::from(fails);
                    one.counts.served += u64::from(!fails);
                    one.counts.slow += u64::from(!fails && slow);
                    if running {
                        served += worth;
                        wanted += 1.0;
                        let base = if outage { 0.5 } else { 1.0 - FAILURE_RATE };
                        baseline_served += base * (1.0 - SLOW_RATE / 2.0);
                    }
                }
            }
            if !(now / STEP_MS + number as u64).is_multiple_of(HEARTBEAT_STEPS) {
                continue;
            }
            let sent = fleet.releases().is_to_drain(&name(number), one.incarnation);
            one.drained = if sent { one.drained.or(Some(now)) } else { None };
            let report = Report {
                name: name(number),
                incarnation: one.incarnation,
                process_nonce: one.incarnation,
                status: if sent { MemberStatus::Drained } else { MemberStatus::Serving },
                groups: vec!["all".into()],
                program_version: if one.new { "new" } else { "old" }.to_string(),
                request_counts: one.counts,
                open_requests: u64::from(
                    one.drained.is_some_and(|since| now - since < DRAIN_MS * duration_factor),
                ),
                drained_by_release: sent,
                ..Report::default()
            };
            tracker.record_report(at, &report, &fleet);
        }
        if now == BASELINE_MS {
            let before = runner.baseline(at, &fleet, "all", TargetKind::Sidecars);
            index += 1;
            fleet.apply(index, &Command::Release(ReleaseUpdate::Start(Box::new(plan.clone()), before)));
        }
        let orders = runner.proposals(at, &fleet, &tracker).into_iter().map(Command::Release);
        for command in orders.chain(tracker.proposals(at, &fleet)).collect::<Vec<_>>() {
            index += 1;
            entries += u64::from(running);
            fleet.apply(index, &command);
        }
        let Some(release) = fleet.releases().get("release") else { continue };
        most_out = most_out.max(all.iter().filter(|one| one.drained.is_some() || one.down.is_some()).count());
        if halted.is_none()
            && let Some((why, _)) = &release.halted
        {
            (halted, halted_at) = (Some(why.clone()), Some(now));
            moved_at_halt = all.iter().filter(|one| one.new).count();
        }
        // An operator resumes a release that an outage halted, once the outage is over.
        if candidate == Candidate::Outage
            && release.state == ReleaseState::Halted
            && now > BASELINE_MS + 140_000
        {
            index += 1;
            fleet.apply(index, &Command::Release(ReleaseUpdate::Resume("release".into())));
        }
        let Some(release) = fleet.releases().get("release") else { continue };
        if let ReleaseState::Ended(how) = &release.state {
            break how.clone();
        }
        if now > MAX_LENGTH_MS {
            break release.summary();
        }
        if release.state == ReleaseState::Halted {
            continue;
        }
        for (member, transition) in
            release.transitions().filter(|(_, transition)| transition.stage == Stage::Drained)
        {
            let Some(one) = member[1..].parse::<usize>().ok().and_then(|at| all.get_mut(at)) else {
                continue;
            };
            if one.incarnation == transition.incarnation && one.down.is_none() {
                one.incarnation += 1;
                (one.new, one.drained, one.counts) =
                    (transition.to == Side::New, None, RequestCounts::default());
                one.down = Some(now + START_MS * duration_factor);
            }
        }
    };
    let steps = sidecars.div_ceil(most as usize) as f64;
    let least = (DRAIN_MS + START_MS) * duration_factor + plan.settle_ms + plan.watch_ms;
    Played {
        candidate: format!("{candidate:?}"),
        sidecars,
        seed,
        how: ended,
        halted,
        moved_at_halt,
        halt_after_secs: halted_at
            .zip(bad_since)
            .map(|(at, bad): (u64, u64)| at.saturating_sub(bad) as f64 / 1e3),
        secs: (now - BASELINE_MS) as f64 / 1e3,
        least_secs: steps * least as f64 / 1e3,
        worth_lost: (baseline_served - served) / f64::max(wanted, 1.0),
        most_out,
        entries,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sound_candidates_complete_and_flawed_ones_roll_back() {
        for candidate in Candidate::ALL {
            let played = play(candidate, 30, 1);
            assert!(played.most_out <= 3, "{played:?}");
            let wanted = match candidate {
                Candidate::Flawed | Candidate::FallsAtHalf => "all are back",
                _ => "all are moved",
            };
            assert_eq!(played.how, wanted, "{played:?}");
            assert_eq!(played.halted.is_none(), candidate.is_sound(), "{played:?}");
        }
    }
}
