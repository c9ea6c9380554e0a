//! What the build of version 2 (commit e26af2f) has written: each kind of frame, ask, reply and command, and a state that has
//! something everywhere. The same code made the files beside this one there, by that build's crates.

use std::collections::BTreeSet;

use appledyke_consensus::{Body, Content, Entry, Id, Message, Position, Snapshot};
use appledyke_fleet::budgets::{Budget, Change, Holder, Stamp, Thing};
use appledyke_fleet::evidence::{Passed, Seen};
use appledyke_fleet::health::{Figures, Must};
use appledyke_fleet::limits::{Grant, Use};
use appledyke_fleet::outs::{Amount, Group};
use appledyke_fleet::releases::{Action, FORMAT, GoesBack, Moves, Order, Plan, Side, Stage, Work};
use appledyke_fleet::talk::{Ask, BudgetRow, Frame, MemberRow, Reply, Report, Status, Told, Who};
use appledyke_fleet::{Command, Fleet, Standing, Version, What, Write, WriteId};

fn named(name: &str) -> String {
    name.to_string()
}

fn version(number: u64) -> Version {
    Version { generation: 3, number }
}

fn budget(of: Thing) -> Budget {
    let window_ms = if of.is_stock() { 0 } else { 1000 };
    Budget { of, whole: 900, window_ms, least: 2, alone: 1, members: 300 }
}

fn group() -> Group {
    let (most_out, least_serving) = (Some(Amount::Number(4)), Some(Amount::Share(0.2)));
    Group { name: named("zone-a"), most_out, least_serving, endpoints: vec![named("e1"), named("e2")] }
}

fn figures(served: u64) -> Figures {
    Figures { served, nacked: 2, failed: 1, slow: 3 }
}

fn plan() -> Plan {
    Plan {
        format: FORMAT,
        name: named("upgrade"),
        moves: Moves::Sidecars,
        group: named("zone-a"),
        order: vec![named("s1"), named("s2")],
        most_out: 1,
        from: named("1.0"),
        to: named("1.1"),
        action: Some(Action { command: vec![named("/bin/restart"), named("{name}")], within_ms: 5000 }),
        empty_in_ms: 2000,
        back_in_ms: 3000,
        settle_ms: 10,
        watch_ms: 100,
        watch_most_ms: 1000,
        must: Must {
            least_reqs: 10,
            served_lower: Some(0.1),
            nacked_higher: None,
            failed_higher: Some(0.01),
            slow_higher: None,
        },
        goes_back: GoesBack::WhenWorse,
    }
}

fn write(id: u64, what: What) -> Write {
    let expects = id.is_multiple_of(2).then(|| version(id));
    Write {
        id: WriteId(7, id),
        expects,
        by: named("eva"),
        why: named("test"),
        at_ms: 1_700_000_000_000,
        what,
    }
}

fn put(id: u64, text: &str) -> Write {
    let budgets = vec![budget(Thing::WriteOuts), budget(Thing::Connections)];
    write(id, What::Put(text.to_string(), budgets, vec![group()]))
}

fn holder(name: &str) -> Holder {
    Holder { name: named(name), incarnation: 5 }
}

fn stands(name: &str, standing: Standing) -> Command {
    Command::Member { name: named(name), incarnation: 5, standing, groups: vec![named("zone-a")] }
}

/// One of each kind at least, in an order in which they leave something everywhere.
pub fn commands() -> Vec<Command> {
    let release = || named("upgrade");
    vec![
        Command::Write(put(1, r#"{"timeoutMs": 250}"#)),
        Command::Write(put(3, r#"{"timeoutMs": 300}"#)),
        Command::Write(write(5, What::Back(Version { generation: 0, number: 1 }))),
        Command::Write(write(6, What::Back(version(9)))),
        stands("s1", Standing::Joining),
        stands("s1", Standing::Serving),
        stands("s2", Standing::Serving),
        stands("s3", Standing::Serving),
        stands("s4", Standing::Leaving),
        stands("s5", Standing::Silent),
        stands("s6", Standing::Gone),
        stands("s7", Standing::Drained),
        Command::Forget(named("s6")),
        Command::Divide(Change::Grant(Thing::WriteOuts, vec![(holder("s1"), 40), (holder("s2"), 60)])),
        Command::Divide(Change::Release(Thing::WriteOuts, vec![(holder("s1"), 14)])),
        Command::Endpoint { name: named("e9"), out: true, anyway: None, missing: vec![named("e8")] },
        Command::Endpoint { name: named("e7"), out: true, anyway: Some(named("fire")), missing: vec![] },
        Command::Endpoint { name: named("e7"), out: false, anyway: None, missing: vec![] },
        Command::Out { name: named("s3"), incarnation: 5, ask: 1, anyway: Some(named("fire")) },
        Command::Back { name: named("s3"), incarnation: 5, ask: 1 },
        Command::Out { name: named("s4"), incarnation: 5, ask: 2, anyway: None },
        Command::Release(Order::Start(Box::new(plan()), figures(100))),
        Command::Release(Order::Send {
            release: release(),
            who: named("s1"),
            to: Side::New,
            missing: vec![named("e8")],
        }),
        Command::Release(Order::Further {
            release: release(),
            who: named("s1"),
            since: 23,
            to: Stage::Empty,
            agent: 0,
        }),
        Command::Release(Order::Found { release: release(), who: named("s2"), side: Side::New }),
        Command::Release(Order::Halt { release: release(), why: named("a look"), worse: false }),
        Command::Release(Order::Resume(release())),
        Command::Release(Order::Settle { release: release(), who: named("s1"), since: 23, moved: false }),
        Command::Release(Order::Back(release())),
        Command::Release(Order::End(release(), named("enough"))),
    ]
}

/// The state that these commands come to.
pub fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (at, command) in commands().iter().enumerate() {
        fleet.apply(at as u64 + 1, command);
    }
    fleet
}

fn messages() -> Vec<Message> {
    let (one, two) = (Id { replica_id: 1, incarnation: 11 }, Id { replica_id: 2, incarnation: 22 });
    let (last, round) = (Position { term: 4, index: 30 }, 9);
    let entry = |index, content| Entry { position: Position { term: 4, index }, content };
    let entries = vec![
        entry(31, Content::Noop),
        entry(32, Content::Command(commands()[0].bytes())),
        entry(33, Content::Voters(BTreeSet::from([one, two]))),
    ];
    let snapshot = Snapshot { last_included: last, voters: BTreeSet::from([one]), state: fleet().bytes() };
    let bodies = vec![
        Body::PreVoteRequest { last },
        Body::PreVoteResponse { granted: true },
        Body::VoteRequest { last, leadership_transfer: false },
        Body::VoteResponse { granted: false },
        Body::AppendRequest { previous: last, entries, commit_index: 29, round },
        Body::InstallSnapshot { snapshot, round },
        Body::AppendResponse { match_index: Some(30), last: 33, round },
        Body::TimeoutNow,
    ];
    bodies.into_iter().map(|body| Message { from: one, to: two, term: 4, body }).collect()
}

fn report() -> Report {
    Report {
        name: named("s1"),
        incarnation: 1_700_000_000_000_000_000,
        process: 4711,
        standing: Standing::Serving,
        version: version(4),
        knows: version(5),
        seen: vec![Seen { sequence: 9, age_ms: 120, endpoint: 77, method: 3, outcome: 1, part: 0.75 }],
        catches_up: true,
        number: 12,
        uses: vec![(Thing::InFlight, Use { acts: Stamp { generation: 3, index: 14 }, wants: 6, held: 2 })],
        groups: vec![named("zone-a")],
        settled: 2,
        outs: Stamp { generation: 3, index: 16 },
        holds: vec![named("e9")],
        alone: true,
        runs: named("1.0"),
        figures: figures(500),
        at: vec![(named("e1"), figures(20))],
        open: 3,
        sent: false,
        looks: 99,
        lacks: vec![named("e2")],
    }
}

fn told() -> Told {
    let seen = report().seen[0];
    Told {
        leader: Some(2),
        leads: false,
        apart: false,
        settings: Some((version(6), named(r#"{"timeoutMs": 250}"#))),
        passed: vec![Passed { writer: 5, incarnation: 6, seen }],
        twin: true,
        superseded: false,
        number: 12,
        grants: Some(vec![Grant {
            budget: budget(Thing::Connections),
            part: 4,
            since: Stamp { generation: 3, index: 14 },
            lease_ms: 4000,
        }]),
        outs: Some((Stamp { generation: 3, index: 16 }, vec![named("e9")])),
        sent: Some(true),
        looks: Some((99, vec![named("e1"), named("e2")])),
    }
}

fn asks() -> Vec<Ask> {
    vec![
        Ask::Status,
        Ask::Members,
        Ask::Get(None),
        Ask::Get(Some(version(2))),
        Ask::History,
        Ask::Write(put(1, "{}")),
        Ask::Write(write(2, What::Back(version(1)))),
        Ask::Backup,
        Ask::Budgets,
        Ask::Ended { name: named("s1"), incarnation: 5 },
        Ask::Forget(named("s6")),
        Ask::Endpoint { name: named("e1"), out: true, anyway: Some(named("fire")) },
        Ask::Outs,
        Ask::Release(Order::Resume(named("upgrade"))),
        Ask::Releases,
        Ask::Work(named("s1")),
        Ask::HandOver(2),
        Ask::TakeOut { place: 3, anyway: true },
    ]
}

fn replies() -> Vec<Reply> {
    let fleet = fleet();
    let status = Status {
        id: Id { replica_id: 1, incarnation: 11 },
        role: named("Leader"),
        term: 4,
        leader: Some(Id { replica_id: 1, incarnation: 11 }),
        committed: 30,
        applied: 30,
        last: 31,
        digest: 12345,
        voters: vec![Id { replica_id: 1, incarnation: 11 }],
        version: version(4),
        peers: vec![(Id { replica_id: 2, incarnation: 22 }, 30, true)],
        apart: Some(named("a look")),
        evidence: 8,
    };
    let member = MemberRow {
        name: named("s1"),
        incarnation: 5,
        standing: Standing::Drained,
        version: Some(version(4)),
        groups: vec![named("zone-a")],
        out: true,
    };
    let row = BudgetRow { budget: budget(Thing::Repeats), granted: 9, counted: 8, holders: 7, over: 6 };
    let work = Work {
        release: named("upgrade"),
        who: named("s1"),
        since: 23,
        stage: Stage::Acting,
        agent: 6,
        moves: Moves::Endpoints,
        command: vec![named("restart")],
        within_ms: 5000,
    };
    let releases = fleet.releases().iter().map(|(_, release)| release.clone()).collect();
    vec![
        Reply::Status(status),
        Reply::Members(vec![member]),
        Reply::Settings(fleet.settings().cloned()),
        Reply::Settings(None),
        Reply::History(fleet.history().cloned().collect()),
        Reply::Budgets(vec![row]),
        Reply::Outs(vec![(named("e9"), vec![named("s1")])]),
        Reply::Releases(releases, vec![(named("s1"), named("1.0"))]),
        Reply::Work(Some(work)),
        Reply::Committed(version(4)),
        Reply::Refused(named("no")),
        Reply::Faulty(named("wrong")),
        Reply::Unknown(named("who knows")),
        Reply::NotLeader(Some(2)),
        Reply::Backup(fleet.bytes()),
        Reply::Done,
    ]
}

/// Greetings as version 2 has them, and then all else.
pub fn greetings() -> Vec<Frame> {
    let who = [
        Who::Replica(Id { replica_id: 1, incarnation: 11 }),
        Who::Member { name: named("s1") },
        Who::Operator,
    ];
    who.into_iter().map(|who| Frame::Hello { version: 2, fleet: named("zilina"), who }).collect()
}

pub fn frames() -> Vec<Frame> {
    let mut frames = greetings();
    frames.push(Frame::NotTaken(named("this is fleet zilina, not brno")));
    frames.extend(messages().into_iter().map(Frame::Agree));
    frames.push(Frame::Digest { index: 30, digest: 12345 });
    frames.push(Frame::Report(report()));
    frames.push(Frame::Report(Report::default()));
    frames.push(Frame::Told(told()));
    frames.push(Frame::Told(Told::default()));
    frames.push(Frame::AskOut { ask: 3, anyway: Some(named("fire")) });
    frames.push(Frame::OutTold { ask: 3, refused: Some(named("not now")) });
    frames.extend(asks().into_iter().map(|ask| Frame::Ask { number: 4, ask }));
    frames.extend(replies().into_iter().map(|reply| Frame::Reply { number: 4, reply }));
    frames
}
