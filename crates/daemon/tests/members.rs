//! Real sidecars as members of a fleet of real daemons, and what strikes both.

use std::path::Path;
use std::time::Duration;

use appledyke_fleet::Version;
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{OperatorReply, OperatorRequest};
use appledyke_fleet::state::SettingsChange;
use appledyke_lab::rig::fleet::{Daemons, Shape, WAIT_TIMEOUT};
use appledyke_lab::rig::links::LinkState;
use appledyke_lab::rig::processes::workspace_program;
use appledyke_lab::rig::sidecars::{Behavior, Clients, Sidecars, request};

const BASE: &str = include_str!("../../../examples/sidecar.json");
const BEAT_MS: u64 = 60;

struct Both {
    daemons: Daemons,
    sidecars: Sidecars,
}

impl Both {
    fn begin(name: &str, members: usize) -> Both {
        let root = std::env::temp_dir().join(format!("appledyke-members-{}-{name}", std::process::id()));
        let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
        let mut daemons = Daemons::new(&root, program, BASE, Shape::default()).unwrap();
        daemons.start_all().unwrap();
        let sidecars =
            Sidecars::new(&root.join("sidecars"), &workspace_program("appledyke-sidecar").unwrap(), BASE, 4)
                .unwrap();
        let mut both = Both { daemons, sidecars };
        for number in 0..members {
            both.start(&format!("s{number}"));
        }
        both.wait_for("all serve", |rows| {
            rows.iter().filter(|(_, standing, _)| *standing == MemberStatus::Serving).count() == members
        });
        both
    }

    fn start(&mut self, name: &str) {
        let at: Vec<_> = self.daemons.replicas().map(|place| (place, self.daemons.at(place))).collect();
        self.sidecars.start(name, &at, BEAT_MS).unwrap();
    }

    fn members(&self) -> Vec<(String, MemberStatus, Option<Version>)> {
        match self.daemons.ask(&OperatorRequest::Members, WAIT_TIMEOUT).unwrap() {
            OperatorReply::Members(rows) => {
                rows.into_iter().map(|row| (row.name, row.status, row.version)).collect()
            }
            other => panic!("{other:?}"),
        }
    }

    fn wait_for(&self, what: &str, check: impl Fn(&[(String, MemberStatus, Option<Version>)]) -> bool) {
        let waited = self.daemons.wait(what, |_| check(&self.members()));
        waited.unwrap_or_else(|said| panic!("{said}\n{:?}", self.members()));
    }

    fn stands(&self, name: &str, standing: MemberStatus) {
        self.wait_for(&format!("{name} is {}", standing.name()), |rows| {
            rows.iter().any(|(row, stands, _)| row == name && *stands == standing)
        });
    }

    fn acts_on(&self, names: &[&str], version: Version) {
        for name in names {
            let number = |sidecars: &Sidecars| sidecars.metric(name, "sidecar_fleet_settings_number");
            self.sidecars.wait("the version", |sidecars| number(sidecars) == Some(version.number)).unwrap();
        }
    }
}

/// Settings by which a req to this method is taken: what a client is answered shows which settings a sidecar acts on.
fn with_method(name: &str) -> String {
    let base: serde_json::Value = serde_json::from_str(BASE).unwrap();
    let mut methods = base["settings"]["methods"].clone();
    methods[0]["name"] = name.into();
    serde_json::json!({"methods": methods}).to_string()
}

#[test]
fn members_act_on_what_is_agreed_and_on_nothing_else() {
    let mut both = Both::begin("agreed", 3);
    let names = ["s0", "s1", "s2"];
    assert!(names.iter().all(|name| request(both.sidecars.at(name), "/menu/1") == Some(200)));
    let first = both.daemons.put(&with_method("soup")).unwrap();
    both.acts_on(&names, first);
    for name in names {
        assert_eq!(
            (request(both.sidecars.at(name), "/menu/1"), request(both.sidecars.at(name), "/soup/1")),
            (Some(404), Some(200))
        );
    }
    // A leader that is cut off with all members takes a put that is never committed: nobody acts on it.
    let old = both.daemons.wait_for_leader().unwrap();
    both.daemons.set_links_of(old, LinkState::partitioned());
    let write =
        both.daemons.new_write(SettingsChange::Put(with_method("never"), Vec::new(), Vec::new()), None);
    let at = both.daemons.at(old);
    let asked = std::thread::spawn(move || {
        appledyke_lab::rig::fleet::ask(at, &OperatorRequest::Write(write), WAIT_TIMEOUT)
    });
    both.daemons.wait("another leader", |fleet| fleet.leader().is_some_and(|leader| leader != old)).unwrap();
    let second = both.daemons.put(&with_method("bread")).unwrap();
    both.acts_on(&names, second);
    for name in names {
        assert_eq!(
            (request(both.sidecars.at(name), "/never/1"), request(both.sidecars.at(name), "/bread/1")),
            (Some(404), Some(200))
        );
    }
    both.daemons.set_links_of(old, LinkState::default());
    assert!(!matches!(asked.join().unwrap(), Ok(OperatorReply::Committed(version)) if version <= second));
    // A way back is a way forwards.
    let back = both.daemons.new_write(SettingsChange::Rollback(first), None);
    let OperatorReply::Committed(third) =
        both.daemons.ask(&OperatorRequest::Write(back), WAIT_TIMEOUT).unwrap()
    else {
        panic!()
    };
    both.acts_on(&names, third);
    assert!(names.iter().all(|name| request(both.sidecars.at(name), "/soup/1") == Some(200)));
}

#[test]
fn who_leaves_is_gone_who_is_killed_or_stopped_is_silent_and_who_goes_on_catches_up() {
    let mut both = Both::begin("standing", 3);
    both.sidecars.process("s0").terminate();
    assert!(both.sidecars.process("s0").wait_for_exit(WAIT_TIMEOUT).unwrap().success());
    both.stands("s0", MemberStatus::Gone);
    both.sidecars.kill("s1");
    both.stands("s1", MemberStatus::Silent);
    // Stopped for longer than a lease, while the settings change and change back.
    both.sidecars.process("s2").stop();
    both.stands("s2", MemberStatus::Silent);
    let first = both.daemons.put(&with_method("soup")).unwrap();
    let back = both.daemons.new_write(SettingsChange::Rollback(first), None);
    let OperatorReply::Committed(second) =
        both.daemons.ask(&OperatorRequest::Write(back), WAIT_TIMEOUT).unwrap()
    else {
        panic!()
    };
    both.sidecars.process("s2").resume();
    both.stands("s2", MemberStatus::Serving);
    both.acts_on(&["s2"], second);
    both.start("s1");
    both.stands("s1", MemberStatus::Serving);
    both.acts_on(&["s1"], second);
    both.sidecars.command("s1", "drain\n").unwrap();
    both.stands("s1", MemberStatus::Drained);
    both.sidecars.command("s1", "resume\n").unwrap();
    both.stands("s1", MemberStatus::Serving);
}

#[test]
fn reqs_are_served_while_all_daemons_are_away_and_a_start_takes_the_last_good_settings() {
    let mut both = Both::begin("away", 2);
    let version = both.daemons.put(&with_method("soup")).unwrap();
    both.acts_on(&["s0", "s1"], version);
    both.daemons.replicas().for_each(|place| both.daemons.kill(place));
    let clients = Clients::start(&[both.sidecars.at("s0")], "/soup/1", Duration::from_millis(2));
    both.sidecars.kill("s1");
    both.start("s1");
    // A member that none has ever heard serves by its own file.
    both.start("s2");
    assert_eq!(
        (request(both.sidecars.at("s1"), "/soup/1"), request(both.sidecars.at("s2"), "/menu/1")),
        (Some(200), Some(200))
    );
    assert_eq!(both.sidecars.metric("s1", "sidecar_fleet_settings_number"), Some(1));
    assert_eq!(both.sidecars.metric("s2", "sidecar_fleet_daemon_heard"), Some(0));
    // A faulty copy of the last good ones is said, and passed over.
    both.sidecars.kill("s1");
    std::fs::write(
        both.sidecars.kept_settings("s1"),
        "{\"version\": \"0.9\", \"settings\": {\"methods\": []}}",
    )
    .unwrap();
    both.start("s1");
    let (line, _) = both
        .sidecars
        .process("s1")
        .wait_for_line(0, WAIT_TIMEOUT, |line| line.contains("it starts with the file's own"))
        .unwrap();
    assert!(line.contains("settings.methods"), "{line}");
    assert_eq!(request(both.sidecars.at("s1"), "/menu/1"), Some(200));
    for place in both.daemons.replicas() {
        both.daemons.start(place).unwrap();
    }
    both.acts_on(&["s0", "s1", "s2"], version);
    let answers = clients.stop()[0];
    assert!(answers.served > 100 && answers.served_share() == 1.0, "{answers:?}");
}

#[test]
fn a_member_that_finds_agreed_settings_faulty_goes_on_with_its_own_and_says_so() {
    let mut both = Both::begin("faulty", 1);
    // By its own file the watch decides by the same methods; other ones agreed on do not fit it.
    let mut base: serde_json::Value = serde_json::from_str(BASE).unwrap();
    base["watch"] = serde_json::json!({"methods": base["settings"]["methods"].clone()});
    let mut odd = Sidecars::new(
        &both.daemons.root.join("odd"),
        &workspace_program("appledyke-sidecar").unwrap(),
        &base.to_string(),
        1,
    )
    .unwrap();
    let at: Vec<_> = both.daemons.replicas().map(|place| (place, both.daemons.at(place))).collect();
    odd.start("odd", &at, BEAT_MS).unwrap();
    let version = both.daemons.put(&with_method("soup")).unwrap();
    both.acts_on(&["s0"], version);
    odd.wait("it is found faulty", |odd| odd.metric("odd", "sidecar_fleet_settings_faulty") == Some(1))
        .unwrap();
    assert_eq!(
        (request(odd.at("odd"), "/menu/1"), request(odd.at("odd"), "/soup/1")),
        (Some(200), Some(404))
    );
    // It says which version it acts on, and is not told the faulty one at each beat.
    both.wait_for("its version", |rows| {
        rows.iter().any(|(name, _, acts_on)| name == "odd" && *acts_on == Some(Version::default()))
    });
    assert_eq!(odd.metric("odd", "sidecar_fleet_settings_faulty"), Some(1));
}

#[test]
fn what_one_has_learnt_is_heard_by_those_that_return() {
    let mut both = Both::begin("evidence", 2);
    both.sidecars.endpoints[0].set_behavior(Behavior::Fails);
    for _ in 0..60 {
        let _ = request(both.sidecars.at("s0"), "/menu/1");
    }
    both.sidecars
        .wait("the other hears", |sidecars| {
            sidecars.metric("s1", "sidecar_fleet_ends_heard").is_some_and(|heard| heard >= 60)
        })
        .unwrap();
    both.start("s2");
    both.sidecars
        .wait("who starts hears the latest", |sidecars| {
            sidecars.metric("s2", "sidecar_fleet_ends_heard").is_some_and(|heard| heard >= 8)
        })
        .unwrap();
    // Not what is counted twice: nobody hears more than was told.
    let told: u64 = ["s0", "s1", "s2"]
        .iter()
        .filter_map(|name| both.sidecars.metric(name, "sidecar_fleet_ends_told"))
        .sum();
    let heard = both.sidecars.metric("s1", "sidecar_fleet_ends_heard").unwrap();
    assert!(heard <= told, "{heard} of {told}");
}

#[test]
fn of_two_processes_with_one_name_the_earlier_one_is_told() {
    let mut both = Both::begin("twins", 1);
    let mut twin = Sidecars::new(
        &both.daemons.root.join("twin"),
        &workspace_program("appledyke-sidecar").unwrap(),
        BASE,
        1,
    )
    .unwrap();
    let at: Vec<_> = both.daemons.replicas().map(|place| (place, both.daemons.at(place))).collect();
    twin.start("s0", &at, BEAT_MS).unwrap();
    let later = |line: &str| line.contains("a later process has taken this name");
    both.sidecars.process("s0").wait_for_line(0, WAIT_TIMEOUT, later).unwrap();
    assert!(!twin.process("s0").log().iter().any(|line| later(line)));
}

#[test]
fn thirty_that_return_at_once_are_back_and_the_fleet_goes_on() {
    let mut both = Both::begin("thirty", 30);
    let leader = both.daemons.wait_for_leader().unwrap();
    let term = both.daemons.status(leader).unwrap().term;
    let names: Vec<String> = (0..30).map(|number| format!("s{number}")).collect();
    names.iter().for_each(|name| both.sidecars.kill(name));
    names.iter().for_each(|name| both.start(name));
    let version = both.daemons.put(&with_method("soup")).unwrap();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    both.acts_on(&all, version);
    both.wait_for("all serve", |rows| rows.iter().all(|(_, standing, _)| *standing == MemberStatus::Serving));
    // Nobody was unseated by them.
    assert_eq!(both.daemons.status(leader).unwrap().term, term);
}

#[test]
fn without_the_key_there_is_no_descriptor_thread_or_figure_of_it() {
    let root = std::env::temp_dir().join(format!("appledyke-members-{}-without", std::process::id()));
    let mut sidecars =
        Sidecars::new(&root, &workspace_program("appledyke-sidecar").unwrap(), BASE, 1).unwrap();
    sidecars.start("alone", &[], BEAT_MS).unwrap();
    let nobody = "127.0.0.1:1".parse().unwrap();
    sidecars.start("member", &[(1, nobody)], BEAT_MS).unwrap();
    for name in ["alone", "member"] {
        sidecars
            .wait("ready", |sidecars| {
                sidecars.command(name, "ready\n").is_ok_and(|said| said == "200 ready\n")
            })
            .unwrap();
    }
    let text = sidecars.command("alone", "show-stat\n").unwrap();
    assert!(!text.contains("fleet"), "{text}");
    assert!(sidecars.command("member", "show-stat\n").unwrap().contains("sidecar_fleet_daemon_heard 0"));
    for name in ["alone", "member"] {
        let id = sidecars.process(name).id();
        let count = |what: &str| std::fs::read_dir(format!("/proc/{id}/{what}")).unwrap().count();
        assert_eq!(count("task"), 1);
        // Standard streams, poll, its waker's copies, signals, two listeners, the list, its file of presence, an operator.
        assert!(count("fd") <= 16, "{name}: {}", count("fd"));
    }
    std::fs::remove_dir_all(&root).unwrap();
}

/// One report over a connection of its own, and what the daemon answers.
fn report(
    at: std::net::SocketAddr,
    incarnation: u64,
    process: u64,
) -> appledyke_fleet::messages::ReportAnswer {
    use std::io::{Read, Write};

    use appledyke_fleet::messages::{Frame, FrameReader, Initiator, Report};
    let name = "copy".to_string();
    let mut stream = std::net::TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut out = Vec::new();
    Frame::hello("rig", Initiator::Member { name: name.clone() }).write(&mut out);
    Frame::Report(Report { name, incarnation, process_nonce: process, ..Report::default() }).write(&mut out);
    stream.write_all(&out).unwrap();
    let (mut frames, mut piece) = (FrameReader::default(), [0; 4096]);
    loop {
        while let Some(frame) = frames.pop().unwrap() {
            if let Frame::ReportAnswer(told) = frame {
                return told;
            }
        }
        let read = stream.read(&mut piece).unwrap();
        assert!(read > 0, "it is answered");
        frames.push(&piece[..read]);
    }
}

#[test]
fn two_processes_of_one_name_and_incarnation_are_noticed_and_both_told() {
    let both = Both::begin("copies", 0);
    let at = both.daemons.at(both.daemons.wait_for_leader().unwrap());
    // A machine was copied with all that its sidecar drew at its start but the process's number.
    assert!(!report(at, 7, 1).duplicate_process);
    assert!(report(at, 7, 2).duplicate_process && report(at, 7, 1).duplicate_process);
    // A restart of either follows both.
    assert!(!report(at, 8, 3).duplicate_process);
    assert!(report(at, 7, 1).superseded && report(at, 7, 2).superseded && !report(at, 8, 3).superseded);
}

#[test]
fn what_a_daemon_said_before_a_frame_that_cannot_be_read_is_taken() {
    use std::io::Write;

    use appledyke_fleet::messages::{Frame, Initiator, ReportAnswer};
    let root = std::env::temp_dir().join(format!("appledyke-members-{}-spoilt", std::process::id()));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let id = appledyke_consensus::Id { replica_id: 1, incarnation: 1 };
        let (mut stream, _) = listener.accept().unwrap();
        let mut out = Vec::new();
        Frame::hello("rig", Initiator::Replica(id)).write(&mut out);
        let settings = Some((Version { generation: 0, number: 1 }, with_method("soup")));
        Frame::ReportAnswer(ReportAnswer { is_leader: true, settings, ..ReportAnswer::default() })
            .write(&mut out);
        // All in one piece: the settings are known from here on, and are not told again.
        out.extend([4, 0, 0, 0, 99, 99, 99, 99]);
        stream.write_all(&out).unwrap();
        let _kept = (stream, listener.accept());
    });
    let mut sidecars =
        Sidecars::new(&root, &workspace_program("appledyke-sidecar").unwrap(), BASE, 1).unwrap();
    sidecars.start("s0", &[(1, at)], BEAT_MS).unwrap();
    sidecars.wait("it acts on them", |sidecars| request(sidecars.at("s0"), "/soup/1") == Some(200)).unwrap();
    std::fs::remove_dir_all(&root).unwrap();
}
