//! Several daemons as processes, and what strikes them. A referee outside says what holds: what they answered, and what
//! they hold in the end.

use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use appledyke_consensus::storage;
use appledyke_fleet::messages::{Frame, Initiator, OperatorReply, OperatorRequest};
use appledyke_fleet::state::SettingsChange;
use appledyke_fleet::{Command, Version};
use appledyke_lab::rig::fleet::{Daemons, Shape, WAIT_TIMEOUT, ask};
use appledyke_lab::rig::folders;
use appledyke_lab::rig::links::{Flow, LinkState};
use appledyke_store::Store;
use appledyke_store::disk::Folder;
use appledyke_store::format::Change;

const TEMPLATE: &str = include_str!("../../../examples/sidecar.json");
const SOON: Duration = Duration::from_secs(2);

fn root(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("appledyke-processes-{}-{name}", std::process::id()))
}

fn daemons(name: &str, shape: Shape) -> Daemons {
    let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
    Daemons::new(&root(name), program, TEMPLATE, shape).unwrap()
}

fn begun(name: &str) -> Daemons {
    let mut fleet = daemons(name, Shape::default());
    fleet.start_all().unwrap();
    fleet
}

/// Settings like no others.
fn settings(number: u64) -> String {
    format!(
        "{{\"rules\": {{\"startCapacity\": 0.3, \"coldNs\": {}, \"overloadForNs\": 1500000000}}}}",
        8_000_000_000 + number
    )
}

fn number(number: u64) -> Version {
    Version { generation: 0, number }
}

#[test]
fn settings_are_put_by_the_command_line_and_faulty_ones_refused_by_key() {
    let fleet = begun("command");
    let config = fleet.configuration(2).display().to_string();
    let file = fleet.root.join("new.json");
    let put = |text: &str, more: &[&str]| {
        std::fs::write(&file, text).unwrap();
        let file = file.display().to_string();
        fleet
            .command(&[&["put", "--config", &config, &file, "--by", "eva", "--why", "test"], more].concat())
            .unwrap()
    };
    assert_eq!(put(&settings(1), &["--expects", "0.0"]), (Some(0), "committed: 0.1\n".to_string()));
    let (status, said) = put(&settings(2), &["--expects", "0.0"]);
    assert_eq!((status, said.as_str()), (Some(1), "refused: version 0.1 holds, another was expected\n"));
    let (status, said) = put("{\"methods\": []}", &[]);
    assert_eq!((status, said.starts_with("refused: settings.methods: ")), (Some(1), true), "{said}");
    let (status, said) = put("{\"zone\": \"a\"}", &[]);
    assert_eq!((status, said.contains("settings.zone")), (Some(1), true), "{said}");
    assert_eq!(put("{", &[]).0, Some(1));
    // The same write said again, by its id: it has taken effect once.
    let one = put(&settings(3), &["--id", "a-1"]);
    assert_eq!(
        (one.clone(), put(&settings(3), &["--id", "a-1"])),
        ((Some(0), "committed: 0.2\n".into()), one)
    );
    let run = |line: &[&str]| fleet.command(&[line, &["--config", &config]].concat()).unwrap();
    assert_eq!(run(&["rollback", "0.1"]), (Some(0), "committed: 0.3\n".to_string()));
    assert_eq!(run(&["get"]), (Some(0), settings(1) + "\n"));
    assert_eq!(run(&["get", "--version", "0.2"]), (Some(0), settings(3) + "\n"));
    let (_, history) = run(&["history"]);
    assert!(history.lines().count() == 3 && history.contains("0.3 back to 0.1"), "{history}");
    let (_, status) = run(&["status"]);
    assert!(status.lines().count() == 3 && status.contains("Leader"), "{status}");
    let (_, json) = run(&["status", "--json"]);
    let rows: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(rows.as_array().unwrap().len(), 3);
    assert_eq!(run(&["check"]).0, Some(0));
    // A second fleet of this name beside the first is no slip of a finger.
    let (status, said) = run(&["found"]);
    assert!(status == Some(1) && said.contains("serves fleet rig already"), "{said}");
}

#[test]
fn a_killed_leader_is_followed_by_another_that_holds_all_that_was_committed() {
    let mut fleet = begun("leader");
    let mut versions = Vec::new();
    for round in 0..3 {
        versions.push(fleet.put(&settings(round)).unwrap());
        let leader = fleet.wait_for_leader().unwrap();
        fleet.kill(leader);
        versions.push(fleet.put(&settings(100 + round)).unwrap());
        fleet.start(leader).unwrap();
        fleet.wait_for_same_state().unwrap();
    }
    let history: Vec<Version> = fleet.history().unwrap().iter().map(|written| written.version).collect();
    assert_eq!(history, versions);
}

#[test]
fn all_killed_at_once_come_back_with_all_that_was_committed() {
    let mut fleet = begun("all");
    for round in 0..40 {
        fleet.put(&settings(round)).unwrap();
    }
    fleet.replicas().for_each(|place| fleet.kill(place));
    for place in fleet.replicas() {
        fleet.start(place).unwrap();
    }
    fleet.wait_for_same_state().unwrap();
    let history = fleet.history().unwrap();
    assert_eq!(history.len(), 40);
    assert!(history.iter().zip(0..).all(|(written, round)| written.settings == settings(round)));
}

#[test]
fn a_leader_stopped_past_an_election_answers_nothing_by_its_old_authority() {
    let mut fleet = begun("stopped");
    fleet.put(&settings(1)).unwrap();
    let old = fleet.wait_for_leader().unwrap();
    fleet.process(old).stop();
    fleet.wait("another leader", |fleet| fleet.leader().is_some_and(|leader| leader != old)).unwrap();
    let later = fleet.put(&settings(2)).unwrap();
    // What is asked of it while it stands still is the first that it reads when it goes on.
    let write = fleet.new_write(SettingsChange::Put(settings(3), Vec::new(), Vec::new()), Some(number(1)));
    let at = fleet.at(old);
    let asked = [OperatorRequest::Get(None), OperatorRequest::Write(write)]
        .map(|question| std::thread::spawn(move || ask(at, &question, WAIT_TIMEOUT)));
    std::thread::sleep(Duration::from_millis(100));
    fleet.process(old).resume();
    let [read, put] = asked.map(|thread| thread.join().unwrap());
    match read.unwrap() {
        OperatorReply::NotLeader(_) => {}
        OperatorReply::Settings(Some(written)) => assert_eq!(written.version, later),
        other => panic!("{other:?}"),
    }
    assert!(matches!(
        put.unwrap(),
        OperatorReply::NotLeader(_) | OperatorReply::Unknown(_) | OperatorReply::Refused(_)
    ));
    fleet.wait_for_same_state().unwrap();
    assert_eq!(fleet.history().unwrap().len(), 2);
}

#[test]
fn a_leader_cut_off_with_its_clients_commits_nothing_and_the_others_go_on() {
    let mut fleet = begun("cut");
    fleet.put(&settings(1)).unwrap();
    let old = fleet.wait_for_leader().unwrap();
    // Cut off from the others, silently; all operators reach it still.
    fleet.set_links_of(old, LinkState::partitioned());
    let write = fleet.new_write(SettingsChange::Put(settings(2), Vec::new(), Vec::new()), None);
    let at = fleet.at(old);
    let put = std::thread::spawn(move || ask(at, &OperatorRequest::Write(write), WAIT_TIMEOUT));
    fleet.wait("another leader", |fleet| fleet.leader().is_some_and(|leader| leader != old)).unwrap();
    let version = fleet.put(&settings(3)).unwrap();
    fleet.set_links_of(old, LinkState::default());
    let said = put.join().unwrap();
    assert!(!matches!(said, Ok(OperatorReply::Committed(_))), "{said:?}");
    fleet.wait_for_same_state().unwrap();
    let history = fleet.history().unwrap();
    assert_eq!(
        history.last().map(|written| (written.version, written.settings.as_str())),
        Some((version, &*settings(3)))
    );
    // Whatever became of the put whose fate was unknown, it is the same for all, and once at the most.
    assert!(history.iter().filter(|written| written.settings == settings(2)).count() <= 1);
}

#[test]
fn two_that_do_not_reach_one_another_agree_through_the_third() {
    let mut fleet = begun("between");
    let leader = fleet.wait_for_leader().unwrap();
    let other = fleet.replicas().find(|place| *place != leader).unwrap();
    fleet.set_links_between(leader, other, LinkState::partitioned());
    for round in 0..5 {
        fleet.put(&settings(round)).unwrap();
    }
    // One way only, then the other.
    fleet.set_links_between(leader, other, LinkState::default());
    fleet.link(leader, other).set_state(LinkState { to: Flow::Held, ..LinkState::default() });
    fleet.put(&settings(6)).unwrap();
    fleet.link(leader, other).set_state(LinkState::default());
    fleet.link(other, leader).reset();
    fleet.put(&settings(7)).unwrap();
    fleet.wait_for_same_state().unwrap();
    assert_eq!(fleet.history().unwrap().len(), 7);
}

/// A put is committed by two, one of which then comes back with a copy from before, and the other is away. Whether the
/// two that are left elect a leader, and what the history is in the end.
fn with_an_old_copy(name: &str, more: &[&str]) -> (bool, Version, Vec<Version>) {
    let mut fleet = begun(name);
    fleet.put(&settings(0)).unwrap();
    let leader = fleet.wait_for_leader().unwrap();
    let (struck, third) = {
        let mut others = fleet.replicas().filter(|place| *place != leader);
        (others.next().unwrap(), others.next().unwrap())
    };
    fleet.wait_for_same_state().unwrap();
    let (folder, copy) = (fleet.folder(struck), fleet.root.join("copy"));
    fleet.kill(struck);
    folders::copy(&folder, &copy).unwrap();
    fleet.start(struck).unwrap();
    fleet.wait_for_same_state().unwrap();
    fleet.kill(third);
    let version = fleet.put(&settings(1)).unwrap();
    fleet.kill(struck);
    folders::copy(&copy, &folder).unwrap();
    fleet.kill(leader);
    fleet.start_with(struck, more).unwrap();
    fleet.start_with(third, more).unwrap();
    let is_leader = |line: &str| line.contains("is Leader");
    let elected = fleet.process(struck).wait_for_line(0, Duration::from_millis(1500), is_leader).is_ok()
        || fleet.process(third).wait_for_line(0, Duration::ZERO, is_leader).is_ok();
    fleet.start(leader).unwrap();
    fleet.wait_for_same_state().unwrap();
    (elected, version, fleet.history().unwrap().iter().map(|written| written.version).collect())
}

#[test]
fn a_daemon_with_an_old_copy_of_its_folder_does_not_vote_on_it_and_catches_up() {
    // Danger: the two are a majority, and neither holds what was committed.
    let (elected, version, history) = with_an_old_copy("old", &[]);
    assert!(!elected && history.last() == Some(&version), "{elected}, {version} in {history:?}");
    // Where an operator's word is taken for the old copy, what was committed is lost: so it is this that holds it.
    let (elected, version, history) = with_an_old_copy("vouched", &["--vouched"]);
    assert!(elected && !history.contains(&version), "{elected}, {version} in {history:?}");
}

#[test]
fn an_emptied_folder_comes_back_as_another_life_and_the_old_one_votes_no_more() {
    let mut fleet = begun("empty");
    for round in 0..60 {
        // More than the entries that are kept behind a snapshot.
        fleet.put(&settings(round)).unwrap();
    }
    let before = fleet.wait_for_same_state().unwrap();
    for place in fleet.replicas() {
        fleet.kill(place);
        folders::empty(&fleet.folder(place)).unwrap();
        fleet.start(place).unwrap();
        fleet.wait_for_same_state().unwrap();
    }
    let after = fleet.wait_for_same_state().unwrap();
    assert!(after.iter().all(|id| !before.contains(id)), "{before:?} {after:?}");
    assert_eq!(fleet.history().unwrap().len(), 60);
}

#[test]
fn one_of_five_with_damage_in_both_copies_is_set_aside_and_comes_back() {
    let mut fleet = daemons("damage", Shape { daemons: 5, ..Shape::default() });
    fleet.start_all().unwrap();
    for round in 0..10 {
        fleet.put(&settings(round)).unwrap();
    }
    fleet.wait_for_same_state().unwrap();
    let (struck, also_down) = (2, 3);
    let before = fleet.status(struck).unwrap().id;
    fleet.kill(struck);
    fleet.kill(also_down);
    for copy in ["log.0", "log.1"] {
        folders::corrupt(&fleet.folder(struck).join(copy), 2000).unwrap();
    }
    fleet.start(struck).unwrap();
    fleet
        .wait("it is back", |fleet| {
            fleet
                .status(struck)
                .is_some_and(|status| status.id != before && status.voters.contains(&status.id))
        })
        .unwrap();
    fleet.start(also_down).unwrap();
    fleet.wait_for_same_state().unwrap();
    // A copy that is damaged alone is mended from the other.
    fleet.kill(struck);
    let id =
        fleet.statuses().values().next().unwrap().voters.iter().copied().find(|id| id.replica_id == struck);
    folders::truncate(&fleet.folder(struck).join("log.1"), 700).unwrap();
    fleet.start(struck).unwrap();
    fleet.wait_for_same_state().unwrap();
    assert_eq!(fleet.status(struck).map(|status| status.id), id);
    assert_eq!(fleet.history().unwrap().len(), 10);
}

#[test]
fn a_disk_that_refuses_stops_its_daemon_and_nobody_else() {
    let mut fleet = begun("disk");
    fleet.put(&settings(0)).unwrap();
    let leader = fleet.wait_for_leader().unwrap();
    let (log, away) = (fleet.folder(leader).join("log.1"), fleet.folder(leader).join("log.1.away"));
    std::fs::rename(&log, &away).unwrap();
    std::fs::create_dir(&log).unwrap();
    for round in 1..4 {
        fleet.put(&settings(round)).unwrap();
    }
    let status = fleet.status(leader).unwrap();
    assert!(status.excluded.is_some() && status.voters.is_empty(), "{status:?}");
    std::fs::remove_dir(&log).unwrap();
    std::fs::rename(&away, &log).unwrap();
    fleet.wait_for_same_state().unwrap();
    assert_eq!(fleet.history().unwrap().len(), 4);
}

#[test]
fn a_put_whose_answer_is_lost_is_said_again_elsewhere_and_takes_effect_once() {
    let mut fleet = begun("answer");
    let leader = fleet.wait_for_leader().unwrap();
    fleet.client_link(leader).set_state(LinkState { back: Flow::Held, ..LinkState::default() });
    let write = OperatorRequest::Write(
        fleet.new_write(SettingsChange::Put(settings(1), Vec::new(), Vec::new()), Some(number(0))),
    );
    assert!(ask(fleet.at(leader), &write, Duration::from_millis(400)).is_err());
    // It took effect, and its teller never heard. The leader goes; another says what came of it.
    fleet.kill(leader);
    fleet.client_link(leader).set_state(LinkState::default());
    assert_eq!(fleet.ask(&write, WAIT_TIMEOUT).unwrap(), OperatorReply::Committed(number(1)));
    fleet.start(leader).unwrap();
    fleet.wait_for_same_state().unwrap();
    assert_eq!(fleet.ask(&write, WAIT_TIMEOUT).unwrap(), OperatorReply::Committed(number(1)));
    assert_eq!(fleet.history().unwrap().len(), 1);
}

/// Changes a committed entry in a folder, as no daemon would.
fn tamper(folder: &Path) {
    let (mut store, _) = Store::open(Folder::new(folder.to_path_buf())).unwrap();
    let mut kept = storage::load(store.iter()).unwrap();
    let altered = kept.entries.iter_mut().rev().find_map(|entry| match &mut entry.content {
        appledyke_consensus::Content::Command(bytes) => match Command::from_bytes(bytes) {
            Ok(Command::Write(mut write)) => {
                write.reason = "altered".to_string();
                *bytes = Command::Write(write).to_bytes();
                Some(entry.clone())
            }
            _ => None,
        },
        _ => None,
    });
    let batch = appledyke_consensus::Batch { entries: altered.into_iter().collect(), ..Default::default() };
    let changes: Vec<Change> = storage::changes(&batch, store.iter());
    assert_eq!(changes.len(), 1);
    store.commit(&changes).unwrap();
}

#[test]
fn a_copy_that_differs_stops_serving_and_comes_back_by_a_snapshot() {
    let mut fleet = begun("differs");
    for round in 0..5 {
        fleet.put(&settings(round)).unwrap();
    }
    let before = fleet.wait_for_same_state().unwrap();
    let struck = fleet.replicas().find(|place| Some(*place) != fleet.leader()).unwrap();
    fleet.kill(struck);
    tamper(&fleet.folder(struck));
    fleet.start(struck).unwrap();
    // The next comparisons come with the next entries.
    for round in 5..30 {
        fleet.put(&settings(round)).unwrap();
    }
    let (line, _) = fleet
        .process(struck)
        .wait_for_line(0, WAIT_TIMEOUT, |line| line.contains("differs from a majority's"))
        .unwrap();
    assert!(line.contains("stops serving"), "{line}");
    let after = fleet.wait_for_same_state().unwrap();
    assert_eq!(after.iter().filter(|id| !before.contains(id)).count(), 1);
    assert!(fleet.history().unwrap().iter().all(|written| written.reason != "altered"));
}

#[test]
fn what_is_foreign_or_no_frame_ends_its_own_connection_and_harms_no_other() {
    let mut fleet = begun("foreign");
    let leader = fleet.wait_for_leader().unwrap();
    let at = fleet.at(leader);
    let mut greeting = Vec::new();
    Frame::hello("rig", Initiator::Operator).write(&mut greeting);
    let mut long = greeting.clone();
    long.extend(u32::MAX.to_le_bytes());
    let mut not_its = greeting.clone();
    Frame::Digest { index: 8, digest: 1 }.write(&mut not_its);
    let mut other = Vec::new();
    Frame::hello("other", Initiator::Operator).write(&mut other);
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &long, &not_its, &other] {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        // It ends, by a close or a reset.
        match stream.read_to_end(&mut answer) {
            Ok(_) => {}
            Err(e) => assert!(e.kind() == std::io::ErrorKind::ConnectionReset, "{e}"),
        }
    }
    fleet.put(&settings(1)).unwrap();
    assert_eq!(fleet.leader(), Some(leader));
    // A folder has one process, one fleet and one place.
    let config = fleet.configuration(leader).display().to_string();
    let (status, said) = fleet.command(&["serve", "--config", &config]).unwrap();
    assert!(status == Some(1) && said.contains("another process has it"), "{said}");
    fleet.kill(leader);
    let text = std::fs::read_to_string(&config).unwrap();
    let moved = fleet.root.join("moved.toml");
    std::fs::write(&moved, text.replacen("fleet = \"rig\"", "fleet = \"other\"", 1)).unwrap();
    let (status, said) = fleet.command(&["serve", "--config", &moved.display().to_string()]).unwrap();
    assert!(status == Some(1) && said.contains("it is of fleet rig, not other"), "{said}");
}

#[test]
fn a_backup_begins_a_later_generation_and_taking_out_warns_before_the_majority_is_at_stake() {
    let mut fleet = begun("backup");
    fleet.put(&settings(1)).unwrap();
    let config = fleet.configuration(1).display().to_string();
    let file = fleet.root.join("backup").display().to_string();
    let run =
        |fleet: &Daemons, line: &[&str]| fleet.command(&[line, &["--config", &config]].concat()).unwrap();
    let (status, said) = run(&fleet, &["backup", &file]);
    assert!(status == Some(0) && said.starts_with("version 0.1"), "{said}");
    assert_eq!(run(&fleet, &["backup", &file]).0, Some(1), "a backup is never written over");
    fleet.put(&settings(2)).unwrap();
    let leader = fleet.wait_for_leader().unwrap();
    let out = fleet.replicas().find(|place| *place != leader).unwrap().to_string();
    let (status, said) = run(&fleet, &["take-out", &out]);
    assert!(status == Some(1) && said.contains("--anyway"), "{said}");
    let (status, said) = run(&fleet, &["take-out", &leader.to_string()]);
    assert!(status == Some(1) && said.contains("hand over first"), "{said}");
    let (status, said) = run(&fleet, &["restore", &file]);
    assert!(status == Some(1) && said.contains("already"), "{said}");
    // All is lost but the backup.
    for place in fleet.replicas() {
        fleet.kill(place);
        folders::empty(&fleet.folder(place)).unwrap();
    }
    assert_eq!(run(&fleet, &["restore", &file]).0, Some(0));
    for place in fleet.replicas() {
        fleet.start(place).unwrap();
    }
    fleet.wait_for_same_state().unwrap();
    let history = fleet.history().unwrap();
    let last = history.last().unwrap();
    assert!(last.version > number(2) && last.version.generation > 0, "{last:?}");
    assert_eq!(last.settings, settings(1));
    let next = fleet.put(&settings(3)).unwrap();
    assert!(next > last.version);
}
