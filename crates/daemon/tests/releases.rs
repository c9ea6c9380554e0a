//! Releases among real daemons, sidecars and agents. The referee asks health checks from outside, counts what reached endpoints
//! and how often an action was run.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use appledyke_fleet::drains::{Amount, Group};
use appledyke_fleet::health::{Criteria, RequestCounts};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{MemberRow, OperatorReply, OperatorRequest};
use appledyke_fleet::releases::{
    Action, FORMAT, Plan, Release, ReleaseState, ReleaseUpdate, RollbackPolicy, Side, Stage, TargetKind,
};
use appledyke_fleet::state::SettingsChange;
use appledyke_lab::rig::fleet::{Daemons, Shape, WAIT_TIMEOUT};
use appledyke_lab::rig::links::{Link, LinkState};
use appledyke_lab::rig::operators::Operators;
use appledyke_lab::rig::processes::{Process, ProcessSpec, workspace_program};
use appledyke_lab::rig::sidecars::{Behavior, Clients, Sidecars, entry, request};

const BASE: &str = include_str!("../../../examples/sidecar.json");
const BEAT_MS: u64 = 80;
/// Danger: on a busy machine a sidecar that is not heard for a moment counts as silent, and a release halts as more are out than
/// may be. That is as it has to be; where no member is made silent by the test, it is so only after many beats.
const LEASE_MS: u64 = 5000;

struct Both {
    daemons: Daemons,
    sidecars: Sidecars,
    operators: Operators,
}

fn plan(name: &str) -> Plan {
    Plan {
        format: FORMAT,
        name: name.into(),
        target_kind: TargetKind::Sidecars,
        group: "zone a".into(),
        order: Vec::new(),
        max_out: 2,
        from: "1".into(),
        to: "2".into(),
        action: None,
        drain_timeout_ms: 15_000,
        return_timeout_ms: 15_000,
        settle_ms: 100,
        watch_ms: 500,
        max_watch_ms: 15_000,
        criteria: Criteria {
            min_requests: 30,
            served_lower: Some(0.05),
            rejected_higher: None,
            failed_higher: None,
            slow_higher: None,
        },
        rollback: RollbackPolicy::Never,
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("s{number}")).collect()
}

impl Both {
    /// So many members of one group, of which two may be out; and two endpoints of another, of which one may.
    fn begin(name: &str, members: usize) -> Both {
        Both::begin_shaped(name, members, Shape::default())
    }

    /// The same, where nobody is to fall silent.
    fn begin_heard(name: &str, members: usize) -> Both {
        Both::begin_shaped(name, members, Shape { lease_ms: LEASE_MS, ..Shape::default() })
    }

    fn begin_shaped(name: &str, members: usize, shape: Shape) -> Both {
        let root = std::env::temp_dir().join(format!("appledyke-releases-{}-{name}", std::process::id()));
        let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
        let mut daemons = Daemons::new(&root, program, BASE, shape).unwrap();
        daemons.start_all().unwrap();
        let group = |name: &str, most, endpoints: &[&str]| Group {
            name: name.into(),
            max_out: Some(Amount::Number(most)),
            min_serving: None,
            endpoints: endpoints.iter().map(ToString::to_string).collect(),
        };
        let groups = vec![group("zone a", 2, &[]), group("pool", 1, &["e0", "e1"])];
        let write = daemons.new_write(SettingsChange::Put("{}".to_string(), Vec::new(), groups), None);
        assert!(matches!(
            daemons.ask(&OperatorRequest::Write(write), WAIT_TIMEOUT),
            Ok(OperatorReply::Committed(_))
        ));
        let mut sidecars =
            Sidecars::new(&root.join("sidecars"), &workspace_program("appledyke-sidecar").unwrap(), BASE, 2)
                .unwrap();
        sidecars.set_groups(&["zone a"]);
        sidecars.set_version("1", false);
        let at: Vec<_> = daemons.replicas().map(|place| (place, daemons.at(place))).collect();
        names(members).iter().for_each(|name| sidecars.start(name, &at, BEAT_MS).unwrap());
        let both = Both { daemons, sidecars, operators: Operators::default() };
        both.wait("all serve", |rows| rows.iter().filter(|row| !row.out).count() == members);
        both
    }

    fn rows(&self) -> Vec<MemberRow> {
        match self.daemons.ask(&OperatorRequest::Members, WAIT_TIMEOUT) {
            Ok(OperatorReply::Members(rows)) => rows,
            other => panic!("{other:?}"),
        }
    }

    fn wait(&self, what: &str, check: impl Fn(&[MemberRow]) -> bool) {
        self.daemons
            .wait(what, |_| check(&self.rows()))
            .unwrap_or_else(|said| panic!("{said}\n{:?}", self.rows()));
    }

    fn say(&self, order: ReleaseUpdate) -> OperatorReply {
        self.daemons.ask(&OperatorRequest::Release(order), WAIT_TIMEOUT).unwrap()
    }

    fn start(&self, plan: &Plan) {
        assert_eq!(
            self.say(ReleaseUpdate::Start(Box::new(plan.clone()), RequestCounts::default())),
            OperatorReply::Done
        );
    }

    fn release(&self, name: &str) -> Release {
        self.daemons.wait("a release", |daemons| Operators::release(daemons, name).is_some()).unwrap();
        Operators::release(&self.daemons, name).expect("a release that was started")
    }

    /// The operators go on until this holds of the release.
    fn until(&mut self, name: &str, what: &str, check: impl Fn(&Release) -> bool) -> Release {
        let start = std::time::Instant::now();
        loop {
            let seen = self.operators.poll(&self.daemons, &mut self.sidecars, name, BEAT_MS).unwrap();
            match seen {
                Some(release) if check(&release) => return release,
                Some(release) if start.elapsed() > 2 * WAIT_TIMEOUT => {
                    panic!("{what}: {}\n{:?}", release.summary(), self.rows())
                }
                _ => std::thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}

/// Counts, until it is told to stop, how many of these say no to their health check, or do not answer, at once.
struct Referee {
    over: Arc<AtomicBool>,
    most: Arc<AtomicUsize>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Referee {
    fn watch(
        at: impl Fn(&str) -> Option<std::net::SocketAddr> + Send + 'static,
        names: Vec<String>,
    ) -> Referee {
        let (over, most) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (own, counted) = (over.clone(), most.clone());
        let thread = std::thread::spawn(move || {
            while !own.load(Ordering::Relaxed) {
                let says_no = |name: &&String| at(name).and_then(|at| request(at, "/healthz")) != Some(200);
                counted.fetch_max(names.iter().filter(says_no).count(), Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        Referee { over, most, thread: Some(thread) }
    }

    fn most(mut self) -> usize {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| thread.join().unwrap());
        self.most.load(Ordering::Relaxed)
    }
}

fn front(both: &Both, count: usize) -> Clients {
    Clients::start_with_health_checks(&both.sidecars, &names(count), 2, "/menu/1", Duration::from_millis(4))
}

fn ended(how: &'static str) -> impl Fn(&Release) -> bool {
    move |release| release.state == ReleaseState::Ended(how.to_string())
}

#[test]
fn all_are_moved_once_under_the_most_with_every_req_answered_though_the_leader_is_killed() {
    let mut both = Both::begin_heard("all", 5);
    let clients = front(&both, 5);
    let referee = Referee::watch(both.sidecars.lookup(), names(5));
    both.start(&plan("r"));
    both.until("r", "two are moved", |release| release.reached(Side::New).count() >= 2);
    // In the middle of a step: it goes on under another leader where it stood.
    let leader = both.daemons.wait_for_leader().unwrap();
    both.daemons.kill(leader);
    both.until("r", "it ends", ended("all are moved"));
    both.daemons.start(leader).unwrap();
    let most = referee.most();
    let answers = clients.stop();
    let lost: u64 = answers.iter().map(|a| a.no_reply + a.failed + a.rejected).sum();
    assert!(most <= 2, "{most} were out at once");
    assert_eq!(lost, 0, "{answers:?}");
    assert!(answers.iter().all(|a| a.served > 20), "{answers:?}");
    assert!(names(5).iter().all(|who| both.operators.restarts(who, "2") == 1));
}

#[test]
fn a_flawed_candidate_is_halted_at_its_first_step_and_undone_by_itself() {
    let mut both = Both::begin_heard("flawed", 5);
    both.operators.failing_versions.push("2".into());
    let clients = front(&both, 5);
    std::thread::sleep(Duration::from_millis(1500));
    both.start(&Plan { rollback: RollbackPolicy::WhenWorse, ..plan("r") });
    let release = both.until("r", "it goes back", ended("all are back"));
    let (why, worse) = release.halted.clone().unwrap();
    assert!(worse && why.contains("not served, against"), "{why}");
    // No more than one step of it was ever moved, and each that was is back.
    let moved: usize = names(5).iter().map(|who| both.operators.restarts(who, "2")).sum();
    let back: usize = names(5).iter().map(|who| both.operators.restarts(who, "1")).sum();
    assert!((1..=2).contains(&moved) && back == moved, "{moved} moved, {back} back");
    drop(clients.stop());
}

#[test]
fn an_outage_that_it_did_not_cause_halts_it_and_sends_nobody_back() {
    let mut both = Both::begin_heard("outage", 6);
    let clients = front(&both, 6);
    std::thread::sleep(Duration::from_millis(2500));
    both.start(&Plan { rollback: RollbackPolicy::WhenWorse, ..plan("r") });
    both.until("r", "one is moved", |release| release.reached(Side::New).count() >= 1);
    both.sidecars.endpoints.iter().for_each(|endpoint| endpoint.set_behavior(Behavior::Fails));
    let release = both.until("r", "it halts", |release| release.state == ReleaseState::Halted);
    let (why, worse) = release.halted.clone().unwrap();
    let told = why.starts_with("those not moved do worse than before") || why.contains("nobody is left");
    assert!(!worse && told, "{why}");
    // Those under way come back, and nobody else goes; then it goes on by an operator's word.
    both.sidecars.endpoints.iter().for_each(|endpoint| endpoint.set_behavior(Behavior::Succeeds));
    let release = both.until("r", "nobody is under way", |release| release.transitions().next().is_none());
    assert_eq!(release.state, ReleaseState::Halted);
    both.wait("all are back", |rows| rows.iter().all(|row| !row.out));
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(both.say(ReleaseUpdate::Resume("r".into())), OperatorReply::Done);
    both.until("r", "it ends", ended("all are moved"));
    drop(clients.stop());
}

#[test]
fn one_killed_while_it_drains_is_moved_all_the_same_and_one_that_falls_silent_halts_it() {
    let mut both = Both::begin("killed", 4);
    let clients = front(&both, 4);
    both.start(&Plan { max_out: 1, drain_timeout_ms: 60_000, ..plan("r") });
    let first = both
        .daemons
        .wait("one is sent out", |daemons| {
            Operators::release(daemons, "r")
                .is_some_and(|r| r.transitions().any(|(_, g)| g.stage == Stage::Draining))
        })
        .map(|()| both.release("r").transitions().next().map(|(who, _)| who.clone()));
    let first = first.unwrap().unwrap_or("s0".to_string());
    // Killed outright before it is empty, and back by itself with the old version: its place in the release stands.
    let at: Vec<_> = both.daemons.replicas().map(|place| (place, both.daemons.at(place))).collect();
    both.sidecars.kill(&first);
    both.sidecars.start(&first, &at, BEAT_MS).unwrap();
    let release = both.until("r", "it halts, or goes on", |release| {
        release.state == ReleaseState::Halted || release.reached(Side::New).count() >= 1
    });
    // Either it came back with the old version, and the release says so, or the operators were quicker.
    if let (ReleaseState::Halted, Some((why, worse))) = (&release.state, &release.halted) {
        assert!(why.contains("came back with 1, 2 was expected") && !worse, "{why}");
        both.until("r", "nobody is under way", |release| release.transitions().next().is_none());
        assert_eq!(both.say(ReleaseUpdate::Resume("r".into())), OperatorReply::Done);
    }
    both.until("r", "some are moved", |release| release.reached(Side::New).count() >= 2);
    // Two that fall silent beside it are more than may be out.
    let left: Vec<String> = both
        .release("r")
        .order
        .iter()
        .filter(|who| both.release("r").steps[*who].reached.is_some())
        .cloned()
        .collect();
    left.iter().take(2).for_each(|who| both.sidecars.process(who).stop());
    let release =
        both.until("r", "it halts", |release| release.state == ReleaseState::Halted || release.is_ended());
    let why = release.halted.clone().map_or(String::new(), |(why, _)| why);
    assert!(
        release.state == ReleaseState::Halted && why.starts_with("more out than may be"),
        "{}",
        release.summary()
    );
    left.iter().take(2).for_each(|who| both.sidecars.process(who).resume());
    both.wait("all are back", |rows| rows.iter().all(|row| !row.out));
    assert_eq!(both.say(ReleaseUpdate::Resume("r".into())), OperatorReply::Done);
    both.until("r", "it ends", ended("all are moved"));
    drop(clients.stop());
}

#[test]
fn too_few_reqs_are_not_well_and_a_backup_put_back_halts_it() {
    let mut both = Both::begin_heard("few", 3);
    // Nobody asks anything: what was moved cannot be judged.
    both.start(&Plan { max_out: 1, max_watch_ms: 1500, ..plan("r") });
    let release = both.until("r", "it halts", |release| release.state == ReleaseState::Halted);
    assert!(release.summary().contains("too few reqs to judge s0 after 1500 ms"), "{}", release.summary());
    let release = both.until("r", "s0 stays moved", |release| release.transitions().next().is_none());
    assert_eq!(release.reached(Side::New).collect::<Vec<_>>(), ["s0"]);
    // A backup of the middle of a release, put back: it is halted, and says why.
    let config = both.daemons.configuration(1).display().to_string();
    let file = both.daemons.root.join("backup").display().to_string();
    let (status, text) = both.daemons.command(&["backup", "--config", &config, &file]).unwrap();
    assert_eq!(status, Some(0), "{text}");
    assert_eq!(both.say(ReleaseUpdate::Rollback("r".into())), OperatorReply::Done);
    for place in both.daemons.replicas() {
        both.daemons.kill(place);
        std::fs::remove_dir_all(both.daemons.folder(place)).unwrap();
    }
    let (status, text) = both.daemons.command(&["restore", "--config", &config, &file]).unwrap();
    assert_eq!(status, Some(0), "{text}");
    both.daemons.replicas().for_each(|place| both.daemons.start(place).unwrap());
    both.daemons.wait_for_leader().unwrap();
    let release = both.until("r", "it is there", |_| true);
    assert!(release.summary().contains("halted: restored from a backup"), "{}", release.summary());
    // It goes back by what its members say that they run.
    both.wait("all serve", |rows| rows.iter().filter(|row| !row.out).count() == 3);
    let clients = front(&both, 3);
    assert_eq!(both.say(ReleaseUpdate::Rollback("r".into())), OperatorReply::Done);
    both.until("r", "it ends", |release| release.is_ended() || release.state == ReleaseState::Halted);
    assert_eq!(both.operators.restarts("s0", "1"), 1);
    drop(clients.stop());
}

#[test]
fn a_zone_that_is_cut_off_in_the_middle_of_a_step_counts_as_out_and_sends_nobody_out_itself() {
    let mut both = Both::begin("zone", 3);
    // Two more, behind links of their own: the zone that is cut off.
    let links: Vec<_> = both.daemons.replicas().map(|place| (place, Link::new(None).unwrap())).collect();
    links.iter().for_each(|(place, link)| link.set_target(both.daemons.at(*place)));
    let at: Vec<_> = links.iter().map(|(place, link)| (*place, link.at())).collect();
    ["s3", "s4"].iter().for_each(|name| both.sidecars.start(name, &at, BEAT_MS).unwrap());
    both.wait("all serve", |rows| rows.iter().filter(|row| !row.out).count() == 5);
    let clients = front(&both, 5);
    both.start(&plan("r"));
    both.until("r", "one is on its way", |release| release.transitions().next().is_some());
    links.iter().for_each(|(_, link)| link.set_state(LinkState::partitioned()));
    let release = both.until("r", "it halts", |release| release.state == ReleaseState::Halted);
    assert!(release.summary().contains("more out than may be"), "{}", release.summary());
    both.until("r", "nobody is under way", |release| {
        release.transitions().all(|(who, _)| ["s3", "s4"].contains(&who.as_str()))
    });
    // On its own side nobody goes out, and all that were not sent before serve on.
    let sent: Vec<String> = both.release("r").transitions().map(|(who, _)| who.clone()).collect();
    for name in ["s3", "s4"].iter().filter(|name| !sent.contains(&name.to_string())) {
        assert_eq!(both.sidecars.command(name, "drain\n").unwrap(), "400 not now: no daemon heard\n");
        assert_eq!(request(both.sidecars.at(name), "/healthz"), Some(200));
    }
    links.iter().for_each(|(_, link)| link.set_state(LinkState::default()));
    both.wait("all are back", |rows| rows.iter().all(|row| !row.out));
    both.until("r", "nobody is under way", |release| release.transitions().next().is_none());
    assert_eq!(both.say(ReleaseUpdate::Resume("r".into())), OperatorReply::Done);
    both.until("r", "it ends", ended("all are moved"));
    let lost: u64 = clients.stop().iter().map(|a| a.no_reply + a.failed).sum();
    assert_eq!(lost, 0);
}

/// An agent beside one, as a process.
fn agent(both: &Both, who: &str) -> Process {
    let config = both.daemons.configuration(1).display().to_string();
    let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
    ProcessSpec::new(&format!("agent {who}"), program, &["agent", "--config", &config, who]).start().unwrap()
}

fn act(both: &Both, script: &str) -> Option<Action> {
    let log = both.daemons.root.join("acts").display().to_string();
    let line = format!("echo {{name}} {{version}} >> {log}; {script}");
    Some(Action { command: vec!["/bin/sh".into(), "-c".into(), line], timeout_ms: 3000 })
}

fn acts(both: &Both) -> Vec<String> {
    let text = std::fs::read_to_string(both.daemons.root.join("acts")).unwrap_or_default();
    text.lines().map(ToString::to_string).collect()
}

#[test]
fn endpoints_are_moved_one_by_one_by_their_agents_and_nothing_is_sent_to_one_that_is_acted_on() {
    let mut both = Both::begin("endpoints", 3);
    let clients = front(&both, 3);
    let order = vec!["e1".to_string(), "e0".to_string()];
    let action = act(&both, "sleep 0.3");
    let moved = Plan {
        target_kind: TargetKind::Endpoints,
        group: "pool".into(),
        order,
        max_out: 1,
        action,
        ..plan("r")
    };
    let agents = [agent(&both, "e0"), agent(&both, "e1")];
    both.start(&moved);
    // While it is acted on, no connection is open to it and nothing reaches it.
    let acting = |who: &'static str| {
        move |r: &Release| r.transitions().any(|(g, going)| g == who && going.stage == Stage::ActionRunning)
    };
    both.until("r", "e1 is acted on", acting("e1"));
    assert_eq!(both.sidecars.endpoints[1].open(), 0);
    // An operator may not take the other one beside it.
    let beside = OperatorRequest::Endpoint { name: "e0".into(), out: true, force: None };
    let said = both.daemons.ask(&beside, WAIT_TIMEOUT).unwrap();
    assert_eq!(said, OperatorReply::Refused("1 of 1 out in pool, which has 2: e1".into()));
    let before = both.sidecars.endpoints[1].requests();
    both.until("r", "it is back", |release| {
        release.transitions().all(|(_, going)| going.stage != Stage::ActionRunning)
    });
    assert!(both.sidecars.endpoints[1].requests() >= before);
    both.until("r", "it ends", ended("all are moved"));
    assert_eq!(acts(&both), ["e1 2", "e0 2"]);
    let answers = clients.stop();
    let lost: u64 = answers.iter().map(|a| a.no_reply + a.failed).sum();
    assert_eq!(lost, 0, "{answers:?}");
    drop(agents);
}

#[test]
fn a_member_stopped_after_it_was_empty_and_an_endpoint_that_the_list_drops_meanwhile_do_no_harm() {
    let mut both = Both::begin("dropped", 3);
    let clients = front(&both, 2);
    let order = vec!["e0".to_string()];
    let action = act(&both, "sleep 1");
    let moved = Plan {
        target_kind: TargetKind::Endpoints,
        group: "pool".into(),
        order,
        max_out: 1,
        action,
        ..plan("r")
    };
    let _agent = agent(&both, "e0");
    both.start(&moved);
    both.until("r", "e0 is acted on", |r| {
        r.transitions().any(|(_, going)| going.stage == Stage::ActionRunning)
    });
    // All have said that they hold nothing there: one is stopped with that, and the list drops the endpoint.
    both.sidecars.process("s2").stop();
    let at = both.sidecars.endpoints[0].at;
    both.sidecars.list.send_update(&[entry(0, at, "removed")]);
    let before = both.sidecars.endpoints[0].requests();
    both.until("r", "e0 is to be back", |r| {
        r.transitions().any(|(_, going)| going.stage >= Stage::ActionDone)
    });
    assert_eq!(both.sidecars.endpoints[0].requests(), before);
    // It is another process by now, and the list has it again; who was stopped goes on with what it knew, and learns.
    both.sidecars.list.send_update(&[entry(0, at, "up")]);
    both.sidecars.process("s2").resume();
    both.until("r", "it ends", ended("all are moved"));
    assert!(both.sidecars.endpoints[0].requests() > before);
    assert_eq!(acts(&both), ["e0 2"]);
    let lost: u64 = clients.stop().iter().map(|a| a.no_reply + a.failed).sum();
    assert_eq!(lost, 0);
}

#[test]
fn an_action_that_fails_or_whose_end_nobody_knows_halts_the_release_and_is_not_begun_again() {
    let mut both = Both::begin("unknown", 3);
    let clients = front(&both, 3);
    let moved = |both: &Both, name: &str, script: &str| Plan {
        target_kind: TargetKind::Endpoints,
        group: "pool".into(),
        order: vec!["e0".into()],
        max_out: 1,
        action: act(both, script),
        ..plan(name)
    };
    let first = agent(&both, "e0");
    both.start(&moved(&both, "fails", "exit 3"));
    let release = both.until("fails", "it halts", |release| release.state == ReleaseState::Halted);
    assert!(
        release.summary().contains("the action on e0 failed: /bin/sh: exit status: 3"),
        "{}",
        release.summary()
    );
    both.until("fails", "e0 is back in service", |release| release.transitions().next().is_none());
    assert_eq!(both.say(ReleaseUpdate::End("fails".into(), "so".into())), OperatorReply::Done);
    // The agent is killed in the middle: another one beside it does not begin again.
    let before = acts(&both).len();
    both.start(&moved(&both, "lost", "sleep 30"));
    both.until("lost", "it is acted on", |r| {
        r.transitions().any(|(_, going)| going.stage == Stage::ActionRunning)
    });
    both.daemons.wait("the command runs", |_| acts(&both).len() > before).unwrap();
    drop(first);
    let _second = agent(&both, "e0");
    let release = both.until("lost", "it halts", |release| release.state == ReleaseState::Halted);
    assert!(
        release.summary().contains("what became of the action on e0 is unknown"),
        "{}",
        release.summary()
    );
    assert_eq!(acts(&both).len(), before + 1);
    // It is out until somebody says what became of it.
    assert!(
        matches!(both.say(ReleaseUpdate::End("lost".into(), "so".into())), OperatorReply::Refused(why) if why.contains("under way still: e0"))
    );
    let config = both.daemons.configuration(1).display().to_string();
    let (status, text) =
        both.daemons.command(&["release", "settle", "--config", &config, "lost", "e0", "--moved"]).unwrap();
    assert_eq!(status, Some(0), "{text}");
    both.until("lost", "nobody is under way", |release| release.transitions().next().is_none());
    let (status, text) = both.daemons.command(&["release", "end", "--config", &config, "lost"]).unwrap();
    assert_eq!(status, Some(0), "{text}");
    drop(clients.stop());
}

#[test]
fn a_member_that_is_stopped_holds_up_an_endpoint_and_a_file_is_refused_by_key() {
    let mut both = Both::begin("held", 3);
    let clients = front(&both, 3);
    std::thread::sleep(Duration::from_millis(300));
    both.sidecars.process("s2").stop();
    both.wait("it is missed", |rows| rows.iter().any(|row| row.status == MemberStatus::Silent));
    let action = act(&both, "true");
    let order = vec!["e0".to_string()];
    let held = Plan {
        target_kind: TargetKind::Endpoints,
        group: "pool".into(),
        order,
        max_out: 1,
        action,
        drain_timeout_ms: 1500,
        ..plan("r")
    };
    let _agent = agent(&both, "e0");
    both.start(&held);
    // What the stopped one holds there it holds: it is not empty, and nothing is done to it.
    let release = both.until("r", "it halts", |release| release.state == ReleaseState::Halted);
    assert!(release.summary().contains("e0 is not empty after 1500 ms"), "{}", release.summary());
    assert_eq!(acts(&both), Vec::<String>::new());
    both.sidecars.process("s2").resume();
    both.until("r", "e0 is back in service", |release| release.transitions().next().is_none());
    assert_eq!(both.say(ReleaseUpdate::Resume("r".into())), OperatorReply::Done);
    both.until("r", "it ends", ended("all are moved"));
    assert_eq!(acts(&both), ["e0 2"]);
    drop(clients.stop());
    // What a file may not say.
    let config = both.daemons.configuration(1).display().to_string();
    let file = both.daemons.root.join("release.toml");
    let good = "format = 1\nname = \"q\"\nmoves = \"sidecars\"\ngroup = \"zone a\"\nmostOut = 1\nfrom = \"1\"\nto = \"2\"\n\
                emptyInMs = 1000\nbackInMs = 1000\nwatchMs = 1000\nwatchMostMs = 5000\n[must]\nleastReqs = 10\nservedLower = 0.05\n";
    for (from, to, said) in [
        ("format = 1", "format = 2", "format: expected 1, not 2"),
        ("mostOut = 1", "mostOut = 0", "mostOut: expected at least 1"),
        ("mostOut = 1", "mostOut = 3", "mostOut: 3 of 3 would be all; 2 would do"),
        ("\"zone a\"", "\"zone b\"", "group: the settings have no group zone b"),
        ("to = \"2\"", "to = \"1\"", "to: expected another version than 1"),
        ("moves = \"sidecars\"", "moves = \"houses\"", "moves: "),
        ("mostOut = 1", "mostOut = 1\norder = [\"s9\"]", "order: s9 is not in zone a"),
        (
            "[must]",
            "[action]\ncommand = [\"/no/such/program\"]\nwithinMs = 5\n[must]",
            "action.command: there is no program",
        ),
        ("servedLower = 0.05", "", "must: expected servedLower"),
        ("leastReqs", "leastReq", "must.leastReq: unknown field"),
    ] {
        std::fs::write(&file, good.replacen(from, to, 1)).unwrap();
        let path = file.display().to_string();
        let word = if said.contains("would do") { "start" } else { "check" };
        let (status, text) = both.daemons.command(&["release", word, "--config", &config, &path]).unwrap();
        assert!(status == Some(1) && text.contains(said), "{said}: {text}");
    }
    std::fs::write(&file, good).unwrap();
    let path = file.display().to_string();
    let (status, text) = both.daemons.command(&["release", "check", "--config", &config, &path]).unwrap();
    assert_eq!((status, text.as_str()), (Some(0), "q: 3 of 3 in zone a from 1 to 2, 1 at once\n"));
}
