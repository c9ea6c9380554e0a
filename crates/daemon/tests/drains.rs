//! Drains that a fleet agrees on, among real daemons and sidecars. The referee counts health checks that say no.

use std::path::Path;
use std::time::Duration;

use appledyke_fleet::drains::{Amount, Group};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{MemberRow, OperatorReply, OperatorRequest};
use appledyke_fleet::state::SettingsChange;
use appledyke_lab::rig::fleet::{Daemons, Shape, WAIT_TIMEOUT};
use appledyke_lab::rig::links::{Flow, LinkState};
use appledyke_lab::rig::processes::workspace_program;
use appledyke_lab::rig::sidecars::{Sidecars, request};

const BASE: &str = include_str!("../../../examples/sidecar.json");
const BEAT_MS: u64 = 80;

struct Both {
    daemons: Daemons,
    sidecars: Sidecars,
}

impl Both {
    /// So many members of one group.
    fn begin(name: &str, members: usize, groups: &[Group]) -> Both {
        let root = std::env::temp_dir().join(format!("appledyke-drains-{}-{name}", std::process::id()));
        let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
        let mut daemons = Daemons::new(&root, program, BASE, Shape::default()).unwrap();
        daemons.start_all().unwrap();
        let write =
            daemons.new_write(SettingsChange::Put("{}".to_string(), Vec::new(), groups.to_vec()), None);
        assert!(matches!(
            daemons.ask(&OperatorRequest::Write(write), WAIT_TIMEOUT),
            Ok(OperatorReply::Committed(_))
        ));
        let mut sidecars =
            Sidecars::new(&root.join("sidecars"), &workspace_program("appledyke-sidecar").unwrap(), BASE, 2)
                .unwrap();
        sidecars.set_groups(&["zone a"]);
        let mut both = Both { daemons, sidecars };
        (0..members).for_each(|number| both.start(&format!("s{number}")));
        both.wait("all serve", |rows| rows.iter().filter(|row| !row.out).count() == members);
        both
    }

    fn start(&mut self, name: &str) {
        let at: Vec<_> = self.daemons.replicas().map(|place| (place, self.daemons.at(place))).collect();
        self.sidecars.start(name, &at, BEAT_MS).unwrap();
    }

    fn rows(&self) -> Vec<MemberRow> {
        match self.daemons.ask(&OperatorRequest::Members, WAIT_TIMEOUT) {
            Ok(OperatorReply::Members(rows)) => rows,
            other => panic!("{other:?}"),
        }
    }

    fn wait(&self, what: &str, check: impl Fn(&[MemberRow]) -> bool) {
        let waited = self.daemons.wait(what, |_| check(&self.rows()));
        waited.unwrap_or_else(|said| panic!("{said}\n{:?}", self.rows()));
    }

    fn out(&self) -> usize {
        self.rows().iter().filter(|row| row.out).count()
    }

    /// What each of these answers, asked in the same moment.
    fn drain(&self, names: &[String]) -> Vec<String> {
        std::thread::scope(|scope| {
            let asked: Vec<_> = names
                .iter()
                .map(|name| scope.spawn(|| self.sidecars.command(name, "drain\n").unwrap()))
                .collect();
            asked.into_iter().map(|one| one.join().unwrap()).collect()
        })
    }

    /// Those whose health check says no, or that are not there.
    fn away(&self, names: &[String]) -> usize {
        names.iter().filter(|name| request(self.sidecars.at(name), "/healthz") != Some(200)).count()
    }
}

fn most(number: u32) -> Vec<Group> {
    vec![Group {
        name: "zone a".into(),
        max_out: Some(Amount::Number(number)),
        min_serving: None,
        endpoints: Vec::new(),
    }]
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("s{number}")).collect()
}

#[test]
fn of_all_that_are_told_in_one_moment_no_more_drain_than_may_be_out() {
    let both = Both::begin("moment", 5, &most(2));
    let names = names(5);
    let said = both.drain(&names);
    let yes: Vec<&String> =
        names.iter().zip(&said).filter(|(_, said)| *said == "200 drains\n").map(|(n, _)| n).collect();
    assert_eq!((yes.len(), both.away(&names), both.out()), (2, 2, 2), "{said:?}");
    let no = said.iter().find(|said| said.starts_with("400")).unwrap();
    assert!(no.starts_with("400 not now: 2 of 2 out in zone a, which has 5: s"), "{no}");
    // Who is out says so again, and has one permission.
    assert_eq!(both.drain(std::slice::from_ref(yes[0])), ["200 drains\n"]);
    assert_eq!(both.out(), 2);
    // One is back, so another may go; and only one.
    both.sidecars.command(yes[0], "resume\n").unwrap();
    both.wait("it is back", |rows| rows.iter().filter(|row| row.out).count() == 1);
    let said = both.drain(&names);
    assert_eq!((both.away(&names), both.out()), (2, 2), "{said:?}");
    // An operator insists.
    let third = names.iter().zip(&said).find(|(_, said)| said.starts_with("400")).unwrap().0;
    assert_eq!(both.sidecars.command(third, "drain anyway the rack burns\n").unwrap(), "200 drains\n");
    both.wait("three are out", |rows| rows.iter().filter(|row| row.out).count() == 3);
    assert_eq!(both.away(&names), 3);
}

#[test]
fn the_check_fails_where_no_group_is_agreed_on() {
    let both = Both::begin("nothing", 3, &[]);
    let names = names(3);
    assert_eq!(both.drain(&names), ["200 drains\n"; 3]);
    assert_eq!(both.away(&names), 3);
}

#[test]
fn what_failed_by_itself_holds_everybody_else_back_until_it_is_back_or_forgotten() {
    let mut both = Both::begin("failed", 3, &most(1));
    both.sidecars.kill("s0");
    both.wait("it is missed", |rows| rows.iter().any(|row| row.name == "s0" && row.out));
    let said = both.drain(&["s1".to_string()]);
    assert_eq!(said, ["400 not now: 1 of 1 out in zone a, which has 3: s0\n"]);
    // Stopped past its lease: the same.
    both.start("s0");
    both.wait("it is back", |rows| rows.iter().all(|row| !row.out));
    both.sidecars.process("s2").stop();
    both.wait("it is missed", |rows| rows.iter().any(|row| row.name == "s2" && row.out));
    assert!(both.drain(&["s1".to_string()])[0].starts_with("400 not now: 1 of 1 out"));
    // It cannot be forgotten by mistake while it serves; one that never comes back makes the group smaller.
    assert!(matches!(
        both.daemons.ask(&OperatorRequest::Forget("s1".into()), WAIT_TIMEOUT),
        Ok(OperatorReply::Refused(_))
    ));
    both.sidecars.kill("s2");
    assert_eq!(
        both.daemons.ask(&OperatorRequest::Forget("s2".into()), WAIT_TIMEOUT),
        Ok(OperatorReply::Done)
    );
    assert_eq!(both.drain(&["s1".to_string()]), ["200 drains\n"]);
    // SIGTERM is not refused: who leaves is out, and holds the others back.
    both.sidecars.command("s1", "resume\n").unwrap();
    both.wait("it is back", |rows| rows.iter().all(|row| !row.out));
    both.sidecars.process("s0").terminate();
    both.wait("it leaves", |rows| rows.iter().any(|row| row.name == "s0" && row.out));
    assert!(both.drain(&["s1".to_string()])[0].starts_with("400 not now: 1 of 1 out"));
}

#[test]
fn a_permission_whose_answer_is_lost_sends_nobody_out_and_is_one_when_it_is_asked_for_again() {
    let both = Both::begin("lost", 3, &most(1));
    // All that the daemons answer is held back: the permission is given, and never heard.
    let hold = |way| {
        both.daemons.replicas().for_each(|place| {
            both.daemons.client_link(place).set_state(LinkState { back: way, ..LinkState::default() })
        })
    };
    hold(Flow::Held);
    assert_eq!(both.drain(&["s0".to_string()]), ["400 not now: no daemon heard\n"]);
    assert_eq!(both.away(&names(3)), 0);
    hold(Flow::Open);
    // What comes late sends nobody out, and is taken back.
    both.wait("it is taken back", |rows| rows.len() == 3 && rows.iter().all(|row| !row.out));
    assert_eq!(both.away(&names(3)), 0);
    assert_eq!(both.drain(&["s0".to_string()]), ["200 drains\n"]);
    assert_eq!((both.out(), both.away(&names(3))), (1, 1));
}

#[test]
fn a_permission_outlives_its_leader_and_its_holder_keeps_it_when_killed() {
    let mut both = Both::begin("leader", 3, &most(1));
    assert_eq!(both.drain(&["s0".to_string()]), ["200 drains\n"]);
    let leader = both.daemons.wait_for_leader().unwrap();
    both.daemons.kill(leader);
    both.daemons.wait("another leader", |fleet| fleet.leader().is_some_and(|other| other != leader)).unwrap();
    // The new leader knows of it, and so does everybody who asks.
    let refused = |both: &Both| {
        both.daemons.wait("it is refused by the log", |_| {
            both.drain(&["s1".to_string()])[0]
                .starts_with("400 not now: 1 of 1 out in zone a, which has 3: s0")
        })
    };
    refused(&both).unwrap();
    both.sidecars.kill("s0");
    refused(&both).unwrap();
    assert_eq!(both.away(&names(3)[1..]), 0);
    // Its successor takes its place, and is back once it serves.
    both.start("s0");
    both.wait("it is back", |rows| rows.iter().all(|row| !row.out));
    both.daemons.wait("another may go", |_| both.drain(&["s1".to_string()]) == ["200 drains\n"]).unwrap();
}

#[test]
fn without_a_majority_nobody_goes_out_but_by_an_operators_second_word() {
    let mut both = Both::begin("majority", 2, &most(1));
    let leader = both.daemons.wait_for_leader().unwrap();
    let others: Vec<u16> = both.daemons.replicas().filter(|place| *place != leader).collect();
    others.iter().for_each(|place| both.daemons.kill(*place));
    let said = both.drain(&names(2));
    assert!(said.iter().all(|said| said.starts_with("400 not now: ")), "{said:?}");
    assert_eq!(both.away(&names(2)), 0);
    both.daemons.kill(leader);
    std::thread::sleep(Duration::from_millis(4 * BEAT_MS));
    assert_eq!(both.drain(&names(2)), ["400 not now: no daemon heard\n"; 2]);
    assert_eq!(both.sidecars.command("s0", "drain anyway\n").unwrap(), "200 drains\n");
    assert_eq!(both.away(&names(2)), 1);
    for place in both.daemons.replicas() {
        both.daemons.start(place).unwrap();
    }
    // Once daemons are back they know of it.
    both.wait("it is known", |rows| {
        rows.iter().any(|row| row.name == "s0" && row.status == MemberStatus::Drained)
    });
    both.daemons
        .wait("the other is refused", |_| both.drain(&["s1".to_string()])[0].contains("1 of 1 out in zone a"))
        .unwrap();
    // Danger: the reason that was given without daemons must not speak for a later drain that gives none.
    both.sidecars.command("s0", "resume\n").unwrap();
    both.wait("it is back", |rows| rows.iter().all(|row| !row.out));
    assert_eq!(both.drain(&["s1".to_string()]), ["200 drains\n"]);
    let said = both.drain(&["s0".to_string()]);
    assert!(said[0].starts_with("400 not now: 1 of 1 out"), "{said:?}");
    assert_eq!(both.away(&names(2)), 1);
}

#[test]
fn a_group_of_one_with_a_share_never_goes_out_and_faulty_groups_are_refused_by_key() {
    let half = Group {
        name: "zone a".into(),
        max_out: Some(Amount::Share(0.5)),
        min_serving: None,
        endpoints: Vec::new(),
    };
    let both = Both::begin("one", 1, &[half]);
    assert_eq!(both.drain(&["s0".to_string()]), ["400 not now: 0 of 0 out in zone a, which has 1\n"]);
    let config = both.daemons.configuration(1).display().to_string();
    let file = both.daemons.root.join("new.json");
    for (group, said) in [
        (r#"{"name": "a", "mostOut": {"number": 0}}"#, "groups.a.mostOut: expected at least 1"),
        (
            r#"{"name": "a", "leastServing": {"share": 1.5}}"#,
            "groups.a.leastServing: expected a share between 0 and 1",
        ),
        (r#"{"name": "a"}"#, "groups.a.mostOut: expected this"),
        (r#"{"name": "a", "mostIn": 5}"#, "groups.[0].mostIn: unknown field"),
    ] {
        std::fs::write(&file, format!("{{\"groups\": [{group}]}}")).unwrap();
        let (status, text) =
            both.daemons.command(&["put", "--config", &config, &file.display().to_string()]).unwrap();
        assert!(status == Some(1) && text.contains(said), "{text}");
    }
}

#[test]
fn an_endpoint_out_of_service_is_empty_only_once_every_member_says_so() {
    let mut both = Both::begin("endpoint", 3, &most(1));
    let ask = |both: &Both, asked: OperatorRequest| both.daemons.ask(&asked, WAIT_TIMEOUT).unwrap();
    let view = |both: &Both| {
        for name in names(3).iter().cycle().take(60) {
            let _ = request(both.sidecars.at(name), "/menu/1");
        }
    };
    view(&both);
    assert!(both.sidecars.endpoints.iter().all(|endpoint| endpoint.requests() > 0));
    both.sidecars.process("s2").stop();
    assert_eq!(
        ask(&both, OperatorRequest::Endpoint { name: "e0".into(), out: true, force: None }),
        OperatorReply::Done
    );
    let holders = |both: &Both| match ask(both, OperatorRequest::DrainedEndpoints) {
        OperatorReply::DrainedEndpoints(rows) if rows.len() == 1 && rows[0].0 == "e0" => rows[0].1.clone(),
        other => panic!("{other:?}"),
    };
    // Two have said that they hold nothing there; one is stopped, and holds its connections past its lease.
    let waited = both.daemons.wait("two have left it", |_| holders(&both) == ["s2"]);
    waited.unwrap_or_else(|_| panic!("{:?} {:?}", holders(&both), both.sidecars.process("s0").log()));
    both.wait("it is missed", |rows| {
        rows.iter().any(|row| row.name == "s2" && row.status == MemberStatus::Silent)
    });
    assert_eq!(holders(&both), ["s2"]);
    // A new leader takes nobody's word for given, and hears all.
    let leader = both.daemons.wait_for_leader().unwrap();
    both.daemons.kill(leader);
    both.daemons.wait("two have said so to another", |_| holders(&both) == ["s2"]).unwrap();
    both.daemons.start(leader).unwrap();
    both.sidecars.process("s2").resume();
    both.daemons.wait("it is empty", |_| holders(&both).is_empty()).unwrap();
    let before = both.sidecars.endpoints[0].requests();
    both.daemons.wait("nothing is open there", |_| both.sidecars.endpoints[0].open() == 0).unwrap();
    view(&both);
    // One that starts now hears of it before it is counted on, or does not know and holds it up.
    both.start("s3");
    both.wait("it serves", |rows| {
        rows.iter().any(|row| row.name == "s3" && row.status == MemberStatus::Serving)
    });
    both.daemons.wait("it knows too", |_| holders(&both).is_empty()).unwrap();
    let all = both.sidecars.endpoints[0].requests();
    view(&both);
    assert_eq!((both.sidecars.endpoints[0].requests(), all), (before, before));
    // Back in service it has reqs again.
    assert_eq!(
        ask(&both, OperatorRequest::Endpoint { name: "e0".into(), out: false, force: None }),
        OperatorReply::Done
    );
    both.daemons
        .wait("it has reqs again", |_| {
            view(&both);
            both.sidecars.endpoints[0].requests() > before
        })
        .unwrap();
}
