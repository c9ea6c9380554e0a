//! Simulated releases among a few members, with leader changes, lost, delayed and repeated log entries and answers, and
//! members that are killed or fall silent. Everything is driven by a seed, which is printed on failure.

use std::collections::BTreeMap;

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::budgets::LogPosition;
use appledyke_fleet::drains::{Amount, Group};
use appledyke_fleet::health::{Criteria, RequestCounts};
use appledyke_fleet::liveness::{LivenessTimeouts, MemberTracker};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::Report;
use appledyke_fleet::release_runner::{DRAIN_ORDER_MAX_AGE, ReleaseRunner};
use appledyke_fleet::releases::{
    FORMAT, Plan, ReleaseState, ReleaseUpdate, RollbackPolicy, Side, Stage, TargetKind,
};
use appledyke_fleet::state::{Answer, Command, Fleet, SettingsChange, Write, WriteId};
use oorandom::Rand64;

const MEMBERS: usize = 6;
const MAX_OUT: u32 = 2;
const STEP_MS: u64 = 100;
const TIMEOUTS: LivenessTimeouts =
    LivenessTimeouts { lease: Span::from_millis(1000), gone: Span::from_millis(600_000) };

fn plan(goes_back: RollbackPolicy) -> Plan {
    Plan {
        format: FORMAT,
        name: "r".into(),
        target_kind: TargetKind::Sidecars,
        group: "a".into(),
        order: Vec::new(),
        max_out: MAX_OUT,
        from: "1".into(),
        to: "2".into(),
        action: None,
        drain_timeout_ms: 20_000,
        return_timeout_ms: 20_000,
        settle_ms: 500,
        watch_ms: 1000,
        max_watch_ms: 20_000,
        criteria: Criteria {
            min_requests: 40,
            served_lower: Some(0.05),
            rejected_higher: None,
            failed_higher: None,
            slow_higher: None,
        },
        rollback: goes_back,
    }
}

#[derive(Clone)]
struct Process {
    incarnation: u64,
    version: &'static str,
    drained: bool,
    drained_for: u64,
    counts: RequestCounts,
    /// Until when it is silent: it serves its clients, but gets no answers.
    silent_until: u64,
    /// It was taken down for the upgrade, and returns at this time.
    returns_at: Option<u64>,
}

/// A deliberate bug that the checks must detect.
#[derive(Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// The operator does not check which process was drained.
    ActsAgain,
}

struct World {
    rng: Rand64,
    now: u64,
    fleet: Fleet,
    tracker: MemberTracker,
    runner: ReleaseRunner,
    members: Vec<Process>,
    /// Answers in flight: arrival time, member, incarnation, time of the report, and whether the member is to drain.
    answers: Vec<(u64, usize, u64, u64, bool)>,
    /// Proposals that are not committed yet, with their commit time.
    entries: Vec<(u64, Command)>,
    index: u64,
    bad: Option<&'static str>,
    flaw: Flaw,
    faults: bool,
    /// How often the operator has restarted each member, by version.
    restarts: BTreeMap<(usize, &'static str), u32>,
    most_drained: usize,
}

fn name(at: usize) -> String {
    format!("s{at}")
}

impl World {
    fn new(seed: u64, plan: &Plan, bad: Option<&'static str>, faults: bool, flaw: Flaw) -> World {
        let mut fleet = Fleet::default();
        let most_out = Some(Amount::Number(MAX_OUT));
        let group = Group { name: "a".into(), max_out: most_out, min_serving: None, endpoints: vec![] };
        let write = Write {
            id: WriteId(1, 1),
            expected_version: None,
            author: String::new(),
            reason: String::new(),
            at_ms: 0,
            change: SettingsChange::Put("{}".into(), vec![], vec![group]),
        };
        fleet.apply(1, &Command::Write(write));
        for at in 0..MEMBERS {
            let groups = vec!["a".to_string()];
            let status = MemberStatus::Serving;
            fleet.apply(2, &Command::Member { name: name(at), incarnation: 1, status, groups });
        }
        let process = Process {
            incarnation: 1,
            version: "1",
            drained: false,
            drained_for: 0,
            counts: RequestCounts::default(),
            silent_until: 0,
            returns_at: None,
        };
        let mut world = World {
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            fleet,
            tracker: MemberTracker::new(Moment::default(), TIMEOUTS),
            runner: ReleaseRunner::new(),
            members: vec![process; MEMBERS],
            answers: Vec::new(),
            entries: Vec::new(),
            index: 10,
            bad,
            flaw,
            faults,
            restarts: BTreeMap::new(),
            most_drained: 0,
        };
        (0..40).for_each(|_| world.step());
        let baseline = world.runner.baseline(world.at(), &world.fleet, "a", TargetKind::Sidecars);
        let start = Command::Release(ReleaseUpdate::Start(Box::new(plan.clone()), baseline));
        world.index += 1;
        assert_eq!(world.fleet.apply(world.index, &start), Answer::Done);
        world
    }

    fn at(&self) -> Moment {
        Moment::from_nanos(self.now * 1_000_000)
    }

    fn draw(&mut self, to: u64) -> u64 {
        self.rng.rand_range(0..to)
    }

    fn state(&self) -> ReleaseState {
        self.fleet.releases().get("r").map_or(ReleaseState::RollingOut, |release| release.state.clone())
    }

    fn apply(&mut self, command: &Command) {
        let sends = matches!(command, Command::Release(ReleaseUpdate::BeginTransition { .. }));
        // Counted independently, from the members in the replicated state.
        let out = |fleet: &Fleet| {
            let out = |m: &&appledyke_fleet::members::Member| {
                m.status != MemberStatus::Serving || m.drained_by_release
            };
            fleet.members().values().filter(out).count()
        };
        let out_before = out(&self.fleet);
        self.index += 1;
        let answer = self.fleet.apply(self.index, command);
        if sends && answer == Answer::Done {
            assert!(out_before < MAX_OUT as usize, "sent out beside {out_before}");
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.at();
        // Requests and reports.
        for index in 0..MEMBERS {
            let process = &mut self.members[index];
            if let Some(until) = process.returns_at {
                if self.now >= until {
                    process.returns_at = None;
                }
                continue;
            }
            if process.drained {
                process.drained_for += STEP_MS;
            } else {
                process.drained_for = 0;
                for _ in 0..8 {
                    let fails = if Some(process.version) == self.bad { 0.5 } else { 0.02 };
                    match self.rng.rand_float() < fails {
                        true => process.counts.failed += 1,
                        false => process.counts.served += 1,
                    }
                }
            }
            if process.silent_until > self.now || !(self.now / STEP_MS + index as u64).is_multiple_of(2) {
                continue;
            }
            let status = if process.drained { MemberStatus::Drained } else { MemberStatus::Serving };
            let report = Report {
                name: name(index),
                incarnation: process.incarnation,
                process_nonce: process.incarnation,
                status,
                groups: vec!["a".into()],
                program_version: process.version.to_string(),
                request_counts: process.counts,
                open_requests: u64::from(process.drained && process.drained_for < 500),
                drained_by_release: process.drained,
                endpoints_known_at: LogPosition::default(),
                version: Version::default(),
                ..Report::default()
            };
            let incarnation = process.incarnation;
            if self.faults && self.draw(20) == 0 {
                continue;
            }
            self.tracker.record_report(now, &report, &self.fleet);
            let sent = self.fleet.releases().is_to_drain(&report.name, incarnation);
            // Most answers arrive at once, some late, some never.
            let late = match self.draw(30) {
                0 if self.faults => 200 + self.draw(6000),
                _ => 0,
            };
            self.answers.push((self.now + late, index, incarnation, self.now, sent));
        }
        let due: Vec<_> = self.answers.extract_if(.., |answer| answer.0 <= self.now).collect();
        for (_, index, incarnation, asked, sent) in due {
            let process = &mut self.members[index];
            let fresh = self.now - asked <= DRAIN_ORDER_MAX_AGE.nanos() / 1_000_000;
            if process.incarnation == incarnation
                && process.returns_at.is_none()
                && process.silent_until <= self.now
                && fresh
            {
                process.drained = sent;
            }
        }
        // Proposals are committed a little later, or never if the leader changes.
        let updates =
            self.runner.proposals(now, &self.fleet, &self.tracker).into_iter().map(Command::Release);
        let commands: Vec<Command> = updates.chain(self.tracker.proposals(now, &self.fleet)).collect();
        for command in commands {
            let late = self.draw(3) * STEP_MS;
            if self.faults && self.draw(40) == 0 {
                self.entries.push((self.now + late + 3000, command.clone()));
            }
            if !self.faults || self.draw(20) != 0 {
                self.entries.push((self.now + late, command));
            }
        }
        let due: Vec<_> = self.entries.extract_if(.., |entry| entry.0 <= self.now).collect();
        due.iter().for_each(|(_, command)| self.apply(command));
        self.operators();
        if self.faults {
            self.inject_fault();
        }
        let drained = self.members.iter().filter(|m| m.drained && m.returns_at.is_none()).count();
        self.most_drained = self.most_drained.max(drained);
    }

    /// The operator restarts drained members with the version that the release requires.
    fn operators(&mut self) {
        let Some(release) = self.fleet.releases().get("r") else { return };
        if release.state == ReleaseState::Halted {
            return;
        }
        let due: Vec<(usize, &'static str)> = (0..MEMBERS)
            .filter_map(|index| {
                let transition =
                    release.steps.get(&name(index))?.transition.filter(|g| g.stage == Stage::Drained)?;
                let same =
                    self.members[index].incarnation == transition.incarnation || self.flaw == Flaw::ActsAgain;
                let version = if transition.to == Side::New { "2" } else { "1" };
                (same && self.members[index].returns_at.is_none()).then_some((index, version))
            })
            .collect();
        for (index, version) in due {
            *self.restarts.entry((index, version)).or_default() += 1;
            self.restart(index, version, 700);
        }
    }

    fn restart(&mut self, index: usize, version: &'static str, away: u64) {
        let process = &mut self.members[index];
        process.incarnation += 1;
        (process.version, process.drained, process.drained_for) = (version, false, 0);
        process.counts = RequestCounts::default();
        process.returns_at = Some(self.now + away);
    }

    fn inject_fault(&mut self) {
        match self.draw(400) {
            0 => {
                // A new leader, which knows only the replicated state.
                self.tracker = MemberTracker::new(self.at(), TIMEOUTS);
                self.runner = ReleaseRunner::new();
                self.entries.clear();
            }
            1 => {
                let index = self.draw(MEMBERS as u64) as usize;
                let version = self.members[index].version;
                self.restart(index, version, 400);
            }
            2 => {
                let index = self.draw(MEMBERS as u64) as usize;
                self.members[index].silent_until = self.now + 500 + self.draw(4000);
            }
            4 | 5 => {
                let (release, why) = ("r".to_string(), "a trial".to_string());
                self.apply(&Command::Release(ReleaseUpdate::Halt { release, why, worse: false }));
            }
            3 if self.state() == ReleaseState::Halted => {
                self.apply(&Command::Release(ReleaseUpdate::Resume("r".into())));
            }
            _ => {}
        }
    }

    fn versions(&self) -> Vec<&'static str> {
        self.members.iter().map(|member| member.version).collect()
    }
}

/// Runs until the release has ended, or up to 6000 steps.
fn play(seed: u64, plan: &Plan, bad: Option<&'static str>, faults: bool, flaw: Flaw) -> World {
    let mut world = World::new(seed, plan, bad, faults, flaw);
    for _ in 0..6000 {
        world.step();
        if matches!(world.state(), ReleaseState::Ended(_)) {
            break;
        }
        // An operator resumes the release after a while.
        if world.faults && world.state() == ReleaseState::Halted && world.now.is_multiple_of(20_000) {
            world.apply(&Command::Release(ReleaseUpdate::Resume("r".into())));
        }
    }
    world
}

fn check_limits(world: &World, seed: u64) {
    assert!(world.most_drained <= MAX_OUT as usize, "seed {seed}: {} drained at once", world.most_drained);
    let twice = world.restarts.iter().find(|(_, count)| **count > 1);
    assert_eq!(twice, None, "seed {seed}: moved twice");
}

#[test]
fn a_good_version_reaches_all_and_a_bad_one_is_rolled_back_everywhere() {
    for seed in 0..20 {
        let world = play(seed, &plan(RollbackPolicy::WhenWorse), None, false, Flaw::None);
        check_limits(&world, seed);
        assert_eq!(world.state(), ReleaseState::Ended("all are moved".into()), "seed {seed}");
        assert_eq!(world.versions(), ["2"; MEMBERS], "seed {seed}");
        let world = play(seed, &plan(RollbackPolicy::WhenWorse), Some("2"), false, Flaw::None);
        check_limits(&world, seed);
        assert_eq!(world.state(), ReleaseState::Ended("all are back".into()), "seed {seed}");
        assert_eq!(world.versions(), ["1"; MEMBERS], "seed {seed}");
        let most = world.restarts.keys().filter(|(_, version)| *version == "2").count();
        assert!(most <= MAX_OUT as usize, "seed {seed}: {most} moved before it halted");
    }
}

#[test]
fn with_any_faults_permitted_drains_stay_within_the_limit_and_none_is_upgraded_twice() {
    for seed in 0..150 {
        let bad = (seed % 3 == 0).then_some("2");
        let world = play(seed, &plan(RollbackPolicy::WhenWorse), bad, true, Flaw::None);
        check_limits(&world, seed);
        let ReleaseState::Ended(how) = world.state() else {
            panic!("seed {seed}: {:?}", world.fleet.releases().get("r").map(|release| release.summary()))
        };
        let wanted = if how == "all are moved" { "2" } else { "1" };
        assert_eq!(world.versions(), [wanted; MEMBERS], "seed {seed}: {how}");
    }
}

#[test]
fn a_deliberate_bug_is_detected() {
    let detected = (0..150).any(|seed| {
        let played = std::panic::catch_unwind(|| {
            let bad = (seed % 3 == 0).then_some("2");
            check_limits(&play(seed, &plan(RollbackPolicy::WhenWorse), bad, true, Flaw::ActsAgain), seed);
        });
        played.is_err()
    });
    assert!(detected);
}

#[test]
fn invalid_plans_are_refused_by_key_and_an_active_one_is_not_replaced() {
    let good = plan(RollbackPolicy::Never);
    type Breaks = fn(&mut Plan);
    let cases: [(&str, Breaks); 12] = [
        ("format: expected 1, not 2", |p| p.format = 2),
        ("to: expected another version than 1", |p| p.to = "1".into()),
        ("mostOut: expected at least 1", |p| p.max_out = 0),
        ("watchMs: expected 1 to", |p| p.watch_ms = 0),
        ("watchMostMs: expected at least watchMs", |p| p.max_watch_ms = 999),
        ("order: s1 stands there twice", |p| p.order = vec!["s1".into(), "s1".into()]),
        ("must.leastReqs: ", |p| p.criteria.min_requests = 0),
        ("must.servedLower: ", |p| p.criteria.served_lower = Some(1.5)),
        ("must: expected", |p| p.criteria.served_lower = None),
        ("action: expected one", |p| p.target_kind = TargetKind::Endpoints),
        ("name: expected 1 to", |p| p.name = String::new()),
        ("action.command: expected the whole path", |p| {
            p.action = Some(appledyke_fleet::releases::Action { command: vec!["sh".into()], timeout_ms: 5 });
        }),
    ];
    for (said, breaks) in cases {
        let mut faulty = good.clone();
        breaks(&mut faulty);
        let error = faulty.check().unwrap_err();
        assert!(error.starts_with(said), "{said}: {error}");
    }
    let mut world = World::new(1, &good, None, false, Flaw::None);
    let mut say = |plan: &Plan| {
        world.index += 1;
        let start = Command::Release(ReleaseUpdate::Start(Box::new(plan.clone()), RequestCounts::default()));
        match world.fleet.apply(world.index, &start) {
            Answer::Refused(why) => why.to_string(),
            other => format!("{other:?}"),
        }
    };
    // Repeated, it has started once; with changes, it is another release.
    assert_eq!(say(&good), "Done");
    assert_eq!(say(&Plan { to: "3".into(), ..good.clone() }), "name: there is a release r already");
    let other = Plan { name: "q".into(), ..good.clone() };
    assert_eq!(say(&other), "group: release r moves a already");
    assert_eq!(say(&Plan { group: "b".into(), ..other.clone() }), "group: the settings have no group b");
    world.index += 1;
    let end = Command::Release(ReleaseUpdate::End("r".into(), "so".into()));
    assert_eq!(world.fleet.apply(world.index, &end), Answer::Done);
    let mut say = |plan: &Plan| {
        world.index += 1;
        let start = Command::Release(ReleaseUpdate::Start(Box::new(plan.clone()), RequestCounts::default()));
        match world.fleet.apply(world.index, &start) {
            Answer::Refused(why) => why.to_string(),
            other => format!("{other:?}"),
        }
    };
    assert_eq!(say(&Plan { order: vec!["x".into()], ..other.clone() }), "order: x is not in a");
    assert_eq!(say(&Plan { max_out: 6, ..other.clone() }), "mostOut: 6 of 6 would be all; 5 would do");
    assert_eq!(say(&other), "Done");
}

#[test]
fn a_restored_release_halts_and_lets_all_members_serve() {
    let good = plan(RollbackPolicy::Never);
    let mut world = World::new(3, &good, None, false, Flaw::None);
    while world.fleet.releases().get("r").unwrap().transitions().next().is_none() {
        world.step();
    }
    let restored = world.fleet.clone().restored(9);
    assert_eq!(restored.releases().get("r").unwrap().state, ReleaseState::Halted);
    world.fleet = restored;
    world.tracker = MemberTracker::new(world.at(), TIMEOUTS);
    world.runner = ReleaseRunner::new();
    (0..100).for_each(|_| world.step());
    let release = world.fleet.releases().get("r").unwrap();
    assert_eq!(release.transitions().count(), 0, "{}", release.summary());
    assert!(world.members.iter().all(|member| !member.drained));
    assert!(release.summary().contains("halted: restored from a backup"), "{}", release.summary());
}
