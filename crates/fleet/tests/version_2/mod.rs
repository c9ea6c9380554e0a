//! What the build of version 2 (commit e26af2f) has written: each kind of frame, ask, reply and command, and a state that has
//! something everywhere. The same code made the files beside this one there, by that build's crates.

use std::collections::BTreeSet;

use appledyke_consensus::{Body, Content, Entry, Id, Message, Position, Snapshot};
use appledyke_fleet::budgets::{Budget, Holder, LogPosition, Resource, ShareChange};
use appledyke_fleet::drains::{Amount, Group};
use appledyke_fleet::evidence::{Observation, RelayedObservation};
use appledyke_fleet::health::{Criteria, RequestCounts};
use appledyke_fleet::limits::{Grant, Usage};
use appledyke_fleet::messages::{
    BudgetRow, Frame, Initiator, MemberRow, OperatorReply, OperatorRequest, Report, ReportAnswer, Status,
};
use appledyke_fleet::releases::{
    Action, AgentTask, FORMAT, Plan, ReleaseUpdate, RollbackPolicy, Side, Stage, TargetKind,
};
use appledyke_fleet::{Command, Fleet, MemberStatus, SettingsChange, Version, Write, WriteId};

fn named(name: &str) -> String {
    name.to_string()
}

fn version(number: u64) -> Version {
    Version { generation: 3, number }
}

fn budget(of: Resource) -> Budget {
    let window_ms = if of.is_concurrency_limit() { 0 } else { 1000 };
    Budget { resource: of, quota: 900, window_ms, min_share: 2, standalone_share: 1, max_members: 300 }
}

fn group() -> Group {
    let (most_out, least_serving) = (Some(Amount::Number(4)), Some(Amount::Share(0.2)));
    Group {
        name: named("zone-a"),
        max_out: most_out,
        min_serving: least_serving,
        endpoints: vec![named("e1"), named("e2")],
    }
}

fn figures(served: u64) -> RequestCounts {
    RequestCounts { served, rejected: 2, failed: 1, slow: 3 }
}

fn plan() -> Plan {
    Plan {
        format: FORMAT,
        name: named("upgrade"),
        target_kind: TargetKind::Sidecars,
        group: named("zone-a"),
        order: vec![named("s1"), named("s2")],
        max_out: 1,
        from: named("1.0"),
        to: named("1.1"),
        action: Some(Action { command: vec![named("/bin/restart"), named("{name}")], timeout_ms: 5000 }),
        drain_timeout_ms: 2000,
        return_timeout_ms: 3000,
        settle_ms: 10,
        watch_ms: 100,
        max_watch_ms: 1000,
        criteria: Criteria {
            min_requests: 10,
            served_lower: Some(0.1),
            rejected_higher: None,
            failed_higher: Some(0.01),
            slow_higher: None,
        },
        rollback: RollbackPolicy::WhenWorse,
    }
}

fn write(id: u64, what: SettingsChange) -> Write {
    let expects = id.is_multiple_of(2).then(|| version(id));
    Write {
        id: WriteId(7, id),
        expected_version: expects,
        author: named("eva"),
        reason: named("test"),
        at_ms: 1_700_000_000_000,
        change: what,
    }
}

fn put(id: u64, text: &str) -> Write {
    let budgets = vec![budget(Resource::Attempts), budget(Resource::Connections)];
    write(id, SettingsChange::Put(text.to_string(), budgets, vec![group()]))
}

fn holder(name: &str) -> Holder {
    Holder { name: named(name), incarnation: 5 }
}

fn stands(name: &str, standing: MemberStatus) -> Command {
    Command::Member { name: named(name), incarnation: 5, status: standing, groups: vec![named("zone-a")] }
}

/// One of each kind at least, in an order in which they leave something everywhere.
pub fn commands() -> Vec<Command> {
    let release = || named("upgrade");
    vec![
        Command::Write(put(1, r#"{"timeoutMs": 250}"#)),
        Command::Write(put(3, r#"{"timeoutMs": 300}"#)),
        Command::Write(write(5, SettingsChange::Rollback(Version { generation: 0, number: 1 }))),
        Command::Write(write(6, SettingsChange::Rollback(version(9)))),
        stands("s1", MemberStatus::Joining),
        stands("s1", MemberStatus::Serving),
        stands("s2", MemberStatus::Serving),
        stands("s3", MemberStatus::Serving),
        stands("s4", MemberStatus::Leaving),
        stands("s5", MemberStatus::Silent),
        stands("s6", MemberStatus::Gone),
        stands("s7", MemberStatus::Drained),
        Command::Forget(named("s6")),
        Command::SetShares(ShareChange::Grant(
            Resource::Attempts,
            vec![(holder("s1"), 40), (holder("s2"), 60)],
        )),
        Command::SetShares(ShareChange::Release(Resource::Attempts, vec![(holder("s1"), 14)])),
        Command::Endpoint { name: named("e9"), out: true, force: None, missing: vec![named("e8")] },
        Command::Endpoint { name: named("e7"), out: true, force: Some(named("fire")), missing: vec![] },
        Command::Endpoint { name: named("e7"), out: false, force: None, missing: vec![] },
        Command::DrainMember { name: named("s3"), incarnation: 5, request: 1, force: Some(named("fire")) },
        Command::ReturnMember { name: named("s3"), incarnation: 5, request: 1 },
        Command::DrainMember { name: named("s4"), incarnation: 5, request: 2, force: None },
        Command::Release(ReleaseUpdate::Start(Box::new(plan()), figures(100))),
        Command::Release(ReleaseUpdate::BeginTransition {
            release: release(),
            target: named("s1"),
            to: Side::New,
            missing: vec![named("e8")],
        }),
        Command::Release(ReleaseUpdate::AdvanceTransition {
            release: release(),
            target: named("s1"),
            started_at: 23,
            to: Stage::Drained,
            agent: 0,
        }),
        Command::Release(ReleaseUpdate::MarkReached {
            release: release(),
            target: named("s2"),
            side: Side::New,
        }),
        Command::Release(ReleaseUpdate::Halt { release: release(), why: named("a look"), worse: false }),
        Command::Release(ReleaseUpdate::Resume(release())),
        Command::Release(ReleaseUpdate::FinishTransition {
            release: release(),
            target: named("s1"),
            started_at: 23,
            reached: false,
        }),
        Command::Release(ReleaseUpdate::Rollback(release())),
        Command::Release(ReleaseUpdate::End(release(), named("enough"))),
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
        entry(32, Content::Command(commands()[0].to_bytes())),
        entry(33, Content::Voters(BTreeSet::from([one, two]))),
    ];
    let snapshot = Snapshot { last_included: last, voters: BTreeSet::from([one]), state: fleet().to_bytes() };
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
        process_nonce: 4711,
        status: MemberStatus::Serving,
        version: version(4),
        latest_known: version(5),
        observations: vec![Observation {
            sequence: 9,
            age_ms: 120,
            endpoint: 77,
            method: 3,
            outcome: 1,
            budget_fraction: 0.75,
        }],
        wants_catch_up: true,
        number: 12,
        usage: vec![(
            Resource::InFlight,
            Usage { acting_on: LogPosition { generation: 3, index: 14 }, wanted: 6, held: 2 },
        )],
        groups: vec![named("zone-a")],
        settled_requests: 2,
        endpoints_known_at: LogPosition { generation: 3, index: 16 },
        endpoints_in_use: vec![named("e9")],
        sole_at_address: true,
        program_version: named("1.0"),
        request_counts: figures(500),
        endpoint_counts: vec![(named("e1"), figures(20))],
        open_requests: 3,
        drained_by_release: false,
        watch_list_hash: 99,
        missing_endpoints: vec![named("e2")],
    }
}

fn told() -> ReportAnswer {
    let seen = report().observations[0];
    ReportAnswer {
        leader: Some(2),
        is_leader: false,
        excluded: false,
        settings: Some((version(6), named(r#"{"timeoutMs": 250}"#))),
        observations: vec![RelayedObservation { writer: 5, incarnation: 6, observation: seen }],
        duplicate_process: true,
        superseded: false,
        number: 12,
        grants: Some(vec![Grant {
            budget: budget(Resource::Connections),
            share: 4,
            since: LogPosition { generation: 3, index: 14 },
            lease_ms: 4000,
        }]),
        drained_endpoints: Some((LogPosition { generation: 3, index: 16 }, vec![named("e9")])),
        drain_for_release: Some(true),
        watch_list: Some((99, vec![named("e1"), named("e2")])),
    }
}

fn asks() -> Vec<OperatorRequest> {
    vec![
        OperatorRequest::Status,
        OperatorRequest::Members,
        OperatorRequest::Get(None),
        OperatorRequest::Get(Some(version(2))),
        OperatorRequest::History,
        OperatorRequest::Write(put(1, "{}")),
        OperatorRequest::Write(write(2, SettingsChange::Rollback(version(1)))),
        OperatorRequest::Backup,
        OperatorRequest::Budgets,
        OperatorRequest::MarkEnded { name: named("s1"), incarnation: 5 },
        OperatorRequest::Forget(named("s6")),
        OperatorRequest::Endpoint { name: named("e1"), out: true, force: Some(named("fire")) },
        OperatorRequest::DrainedEndpoints,
        OperatorRequest::Release(ReleaseUpdate::Resume(named("upgrade"))),
        OperatorRequest::Releases,
        OperatorRequest::AgentTask(named("s1")),
        OperatorRequest::TransferLeadership(2),
        OperatorRequest::RemoveReplica { replica: 3, force: true },
    ]
}

fn replies() -> Vec<OperatorReply> {
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
        excluded: Some(named("a look")),
        evidence: 8,
    };
    let member = MemberRow {
        name: named("s1"),
        incarnation: 5,
        status: MemberStatus::Drained,
        version: Some(version(4)),
        groups: vec![named("zone-a")],
        out: true,
    };
    let row = BudgetRow { budget: budget(Resource::Retries), granted: 9, reserved: 8, holders: 7, excess: 6 };
    let work = AgentTask {
        release: named("upgrade"),
        target: named("s1"),
        started_at: 23,
        stage: Stage::ActionRunning,
        agent: 6,
        target_kind: TargetKind::Endpoints,
        command: vec![named("restart")],
        timeout_ms: 5000,
    };
    let releases = fleet.releases().iter().map(|(_, release)| release.clone()).collect();
    vec![
        OperatorReply::Status(status),
        OperatorReply::Members(vec![member]),
        OperatorReply::Settings(fleet.settings().cloned()),
        OperatorReply::Settings(None),
        OperatorReply::History(fleet.history().cloned().collect()),
        OperatorReply::Budgets(vec![row]),
        OperatorReply::DrainedEndpoints(vec![(named("e9"), vec![named("s1")])]),
        OperatorReply::Releases(releases, vec![(named("s1"), named("1.0"))]),
        OperatorReply::AgentTask(Some(work)),
        OperatorReply::Committed(version(4)),
        OperatorReply::Refused(named("no")),
        OperatorReply::Invalid(named("wrong")),
        OperatorReply::Unknown(named("who knows")),
        OperatorReply::NotLeader(Some(2)),
        OperatorReply::Backup(fleet.to_bytes()),
        OperatorReply::Done,
    ]
}

/// Greetings as version 2 has them, and then all else.
pub fn greetings() -> Vec<Frame> {
    let who = [
        Initiator::Replica(Id { replica_id: 1, incarnation: 11 }),
        Initiator::Member { name: named("s1") },
        Initiator::Operator,
    ];
    who.into_iter().map(|who| Frame::Hello { version: 2, fleet: named("zilina"), who }).collect()
}

pub fn frames() -> Vec<Frame> {
    let mut frames = greetings();
    frames.push(Frame::Rejected(named("this is fleet zilina, not brno")));
    frames.extend(messages().into_iter().map(Frame::Consensus));
    frames.push(Frame::Digest { index: 30, digest: 12345 });
    frames.push(Frame::Report(report()));
    frames.push(Frame::Report(Report::default()));
    frames.push(Frame::ReportAnswer(told()));
    frames.push(Frame::ReportAnswer(ReportAnswer::default()));
    frames.push(Frame::DrainRequest { ask: 3, anyway: Some(named("fire")) });
    frames.push(Frame::DrainAnswer { ask: 3, refused: Some(named("not now")) });
    frames.extend(asks().into_iter().map(|ask| Frame::Request { number: 4, ask }));
    frames.extend(replies().into_iter().map(|reply| Frame::Reply { number: 4, reply }));
    frames
}
