//! Releases among a few members, with a leader that changes, entries and answers that are lost, late or said again, and
//! members that are killed or fall silent. All moves by a seed; a failing one is printed.

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
const MOST: u32 = 2;
const STEP_MS: u64 = 100;
const TERMS: LivenessTimeouts =
    LivenessTimeouts { lease: Span::from_millis(1000), gone: Span::from_millis(600_000) };

fn plan(goes_back: RollbackPolicy) -> Plan {
    Plan {
        format: FORMAT,
        name: "r".into(),
        target_kind: TargetKind::Sidecars,
        group: "a".into(),
        order: Vec::new(),
        max_out: MOST,
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
    sent: bool,
    drained_for: u64,
    figures: RequestCounts,
    /// Until when it is silent: its clients are served, and it hears nothing.
    silent: u64,
    /// It has been taken down at this time by whoever moves it, and comes back.
    down: Option<u64>,
}

/// A deliberate fault: what the checks are to find.
#[derive(Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// Whoever moves them does not look which process was sent out.
    ActsAgain,
}

struct World {
    chance: Rand64,
    now: u64,
    fleet: Fleet,
    heard: MemberTracker,
    runner: ReleaseRunner,
    members: Vec<Process>,
    /// Answers on their way: when they come, to whom, to which process, asked when, and what they say.
    answers: Vec<(u64, usize, u64, u64, bool)>,
    /// Entries on their way to the log.
    entries: Vec<(u64, Command)>,
    index: u64,
    bad: Option<&'static str>,
    flaw: Flaw,
    faults: bool,
    /// How often whoever moves them has restarted each, by version.
    restarts: BTreeMap<(usize, &'static str), u32>,
    most_drained: usize,
}

fn name(at: usize) -> String {
    format!("s{at}")
}

impl World {
    fn new(seed: u64, plan: &Plan, bad: Option<&'static str>, faults: bool, flaw: Flaw) -> World {
        let mut fleet = Fleet::default();
        let most_out = Some(Amount::Number(MOST));
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
            let standing = MemberStatus::Serving;
            fleet.apply(2, &Command::Member { name: name(at), incarnation: 1, status: standing, groups });
        }
        let process = Process {
            incarnation: 1,
            version: "1",
            sent: false,
            drained_for: 0,
            figures: RequestCounts::default(),
            silent: 0,
            down: None,
        };
        let mut world = World {
            chance: Rand64::new(u128::from(seed)),
            now: 0,
            fleet,
            heard: MemberTracker::new(Moment::default(), TERMS),
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
        let before = world.runner.baseline(world.at(), &world.fleet, "a", TargetKind::Sidecars);
        let start = Command::Release(ReleaseUpdate::Start(Box::new(plan.clone()), before));
        world.index += 1;
        assert_eq!(world.fleet.apply(world.index, &start), Answer::Done);
        world
    }

    fn at(&self) -> Moment {
        Moment::from_nanos(self.now * 1_000_000)
    }

    fn draw(&mut self, to: u64) -> u64 {
        self.chance.rand_range(0..to)
    }

    fn course(&self) -> ReleaseState {
        self.fleet.releases().get("r").map_or(ReleaseState::RollingOut, |release| release.state.clone())
    }

    fn apply(&mut self, command: &Command) {
        let sends = matches!(command, Command::Release(ReleaseUpdate::BeginTransition { .. }));
        // Counted anew, by the members' own state in the log.
        let out = |fleet: &Fleet| {
            let out = |m: &&appledyke_fleet::members::Member| {
                m.status != MemberStatus::Serving || m.drained_by_release
            };
            fleet.members().values().filter(out).count()
        };
        let before = out(&self.fleet);
        self.index += 1;
        let answer = self.fleet.apply(self.index, command);
        if sends && answer == Answer::Done {
            assert!(before < MOST as usize, "sent out beside {before}");
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.at();
        // Reqs, and reports.
        for who in 0..MEMBERS {
            let process = &mut self.members[who];
            if let Some(until) = process.down {
                if self.now >= until {
                    process.down = None;
                }
                continue;
            }
            if process.sent {
                process.drained_for += STEP_MS;
            } else {
                process.drained_for = 0;
                for _ in 0..8 {
                    let fails = if Some(process.version) == self.bad { 0.5 } else { 0.02 };
                    match self.chance.rand_float() < fails {
                        true => process.figures.failed += 1,
                        false => process.figures.served += 1,
                    }
                }
            }
            if process.silent > self.now || !(self.now / STEP_MS + who as u64).is_multiple_of(2) {
                continue;
            }
            let standing = if process.sent { MemberStatus::Drained } else { MemberStatus::Serving };
            let report = Report {
                name: name(who),
                incarnation: process.incarnation,
                process_nonce: process.incarnation,
                status: standing,
                groups: vec!["a".into()],
                program_version: process.version.to_string(),
                request_counts: process.figures,
                open_requests: u64::from(process.sent && process.drained_for < 500),
                drained_by_release: process.sent,
                endpoints_known_at: LogPosition::default(),
                version: Version::default(),
                ..Report::default()
            };
            let incarnation = process.incarnation;
            if self.faults && self.draw(20) == 0 {
                continue;
            }
            self.heard.record_report(now, &report, &self.fleet);
            let sent = self.fleet.releases().is_to_drain(&report.name, incarnation);
            // Most answers come at once, some late, some never.
            let late = match self.draw(30) {
                0 if self.faults => 200 + self.draw(6000),
                _ => 0,
            };
            self.answers.push((self.now + late, who, incarnation, self.now, sent));
        }
        let due: Vec<_> = self.answers.extract_if(.., |answer| answer.0 <= self.now).collect();
        for (_, who, incarnation, asked, sent) in due {
            let process = &mut self.members[who];
            let fresh = self.now - asked <= DRAIN_ORDER_MAX_AGE.nanos() / 1_000_000;
            if process.incarnation == incarnation
                && process.down.is_none()
                && process.silent <= self.now
                && fresh
            {
                process.sent = sent;
            }
        }
        // What a leader finds is proposed, and comes to the log a little later, or with another leader never.
        let orders = self.runner.proposals(now, &self.fleet, &self.heard).into_iter().map(Command::Release);
        let found: Vec<Command> = orders.chain(self.heard.proposals(now, &self.fleet)).collect();
        for command in found {
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
            self.strike();
        }
        let drained = self.members.iter().filter(|m| m.sent && m.down.is_none()).count();
        self.most_drained = self.most_drained.max(drained);
    }

    /// Those that are empty are taken down, and come back with the version that the release names.
    fn operators(&mut self) {
        let Some(release) = self.fleet.releases().get("r") else { return };
        if release.state == ReleaseState::Halted {
            return;
        }
        let due: Vec<(usize, &'static str)> = (0..MEMBERS)
            .filter_map(|who| {
                let going =
                    release.steps.get(&name(who))?.transition.filter(|g| g.stage == Stage::Drained)?;
                let same = self.members[who].incarnation == going.incarnation || self.flaw == Flaw::ActsAgain;
                let version = if going.to == Side::New { "2" } else { "1" };
                (same && self.members[who].down.is_none()).then_some((who, version))
            })
            .collect();
        for (who, version) in due {
            *self.restarts.entry((who, version)).or_default() += 1;
            self.restart(who, version, 700);
        }
    }

    fn restart(&mut self, who: usize, version: &'static str, away: u64) {
        let process = &mut self.members[who];
        process.incarnation += 1;
        (process.version, process.sent, process.drained_for) = (version, false, 0);
        process.figures = RequestCounts::default();
        process.down = Some(self.now + away);
    }

    fn strike(&mut self) {
        match self.draw(400) {
            0 => {
                // Another leads from here on, and knows the log only.
                self.heard = MemberTracker::new(self.at(), TERMS);
                self.runner = ReleaseRunner::new();
                self.entries.clear();
            }
            1 => {
                let who = self.draw(MEMBERS as u64) as usize;
                let version = self.members[who].version;
                self.restart(who, version, 400);
            }
            2 => {
                let who = self.draw(MEMBERS as u64) as usize;
                self.members[who].silent = self.now + 500 + self.draw(4000);
            }
            4 | 5 => {
                let (release, why) = ("r".to_string(), "a trial".to_string());
                self.apply(&Command::Release(ReleaseUpdate::Halt { release, why, worse: false }));
            }
            3 if self.course() == ReleaseState::Halted => {
                self.apply(&Command::Release(ReleaseUpdate::Resume("r".into())));
            }
            _ => {}
        }
    }

    fn versions(&self) -> Vec<&'static str> {
        self.members.iter().map(|member| member.version).collect()
    }
}

/// Plays until it has ended, or so long.
fn play(seed: u64, plan: &Plan, bad: Option<&'static str>, faults: bool, flaw: Flaw) -> World {
    let mut world = World::new(seed, plan, bad, faults, flaw);
    for _ in 0..6000 {
        world.step();
        if matches!(world.course(), ReleaseState::Ended(_)) {
            break;
        }
        // An operator looks after a while, and lets it go on.
        if world.faults && world.course() == ReleaseState::Halted && world.now.is_multiple_of(20_000) {
            world.apply(&Command::Release(ReleaseUpdate::Resume("r".into())));
        }
    }
    world
}

fn kept(world: &World, seed: u64) {
    assert!(world.most_drained <= MOST as usize, "seed {seed}: {} drained at once", world.most_drained);
    let twice = world.restarts.iter().find(|(_, count)| **count > 1);
    assert_eq!(twice, None, "seed {seed}: moved twice");
}

#[test]
fn a_sound_candidate_is_moved_to_all_and_a_flawed_one_goes_back_from_all() {
    for seed in 0..20 {
        let world = play(seed, &plan(RollbackPolicy::WhenWorse), None, false, Flaw::None);
        kept(&world, seed);
        assert_eq!(world.course(), ReleaseState::Ended("all are moved".into()), "seed {seed}");
        assert_eq!(world.versions(), ["2"; MEMBERS], "seed {seed}");
        let world = play(seed, &plan(RollbackPolicy::WhenWorse), Some("2"), false, Flaw::None);
        kept(&world, seed);
        assert_eq!(world.course(), ReleaseState::Ended("all are back".into()), "seed {seed}");
        assert_eq!(world.versions(), ["1"; MEMBERS], "seed {seed}");
        let most = world.restarts.keys().filter(|(_, version)| *version == "2").count();
        assert!(most <= MOST as usize, "seed {seed}: {most} moved before it halted");
    }
}

#[test]
fn whatever_is_struck_no_more_are_out_by_permission_than_may_be_and_none_is_moved_twice() {
    for seed in 0..150 {
        let bad = (seed % 3 == 0).then_some("2");
        let world = play(seed, &plan(RollbackPolicy::WhenWorse), bad, true, Flaw::None);
        kept(&world, seed);
        let ReleaseState::Ended(how) = world.course() else {
            panic!("seed {seed}: {:?}", world.fleet.releases().get("r").map(|release| release.summary()))
        };
        let wanted = if how == "all are moved" { "2" } else { "1" };
        assert_eq!(world.versions(), [wanted; MEMBERS], "seed {seed}: {how}");
    }
}

#[test]
fn a_deliberate_fault_is_found() {
    let found = (0..150).any(|seed| {
        let played = std::panic::catch_unwind(|| {
            let bad = (seed % 3 == 0).then_some("2");
            kept(&play(seed, &plan(RollbackPolicy::WhenWorse), bad, true, Flaw::ActsAgain), seed);
        });
        played.is_err()
    });
    assert!(found);
}

#[test]
fn faulty_plans_are_refused_by_key_and_a_running_one_is_not_replaced() {
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
        let found = faulty.check().unwrap_err();
        assert!(found.starts_with(said), "{said}: {found}");
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
    // Said again it has started once; changed, it is another.
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
fn one_that_is_restored_halts_and_lets_all_come_back() {
    let good = plan(RollbackPolicy::Never);
    let mut world = World::new(3, &good, None, false, Flaw::None);
    while world.fleet.releases().get("r").unwrap().transitions().next().is_none() {
        world.step();
    }
    let restored = world.fleet.clone().restored(9);
    assert_eq!(restored.releases().get("r").unwrap().state, ReleaseState::Halted);
    world.fleet = restored;
    world.heard = MemberTracker::new(world.at(), TERMS);
    world.runner = ReleaseRunner::new();
    (0..100).for_each(|_| world.step());
    let release = world.fleet.releases().get("r").unwrap();
    assert_eq!(release.transitions().count(), 0, "{}", release.summary());
    assert!(world.members.iter().all(|member| !member.sent));
    assert!(release.summary().contains("halted: restored from a backup"), "{}", release.summary());
}
