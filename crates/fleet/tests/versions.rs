//! Two versions of the frames side by side: what the build of version 2 has written is read, and what goes to it is as it was, to
//! the byte.

mod version_2;

use appledyke_consensus::Id;
use appledyke_fleet::messages::{
    Frame, FrameReader, Initiator, MIN_VERSION, OperatorReply, OperatorRequest, ScopeRow, VERSION,
    VersionNegotiation, check_hello,
};
use appledyke_fleet::scopes::{Locality, Scope};
use appledyke_fleet::{Answer, Command, Fleet, Refusal, SettingsChange, Version, Write, WriteId};

const FRAMES: &[u8] = include_bytes!("version_2/frames.bin");
const COMMANDS: &[u8] = include_bytes!("version_2/commands.bin");
const STATE: &[u8] = include_bytes!("version_2/state.bin");
const RESTORED: &[u8] = include_bytes!("version_2/restored.bin");
/// What that build said of the state.
const DIGEST: u64 = 0xa4db9ce3badfd5e0;

fn bytes(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    assert!(frame.write(&mut bytes));
    bytes
}

/// Danger: postcard names nothing, so a variant or field that is added elsewhere than last makes another frame of the same
/// bytes.
#[test]
fn frames_of_version_2_are_read_and_written_to_the_byte() {
    let mut incoming = FrameReader::default();
    incoming.push(FRAMES);
    let mut at = 0;
    for frame in version_2::frames() {
        let own = bytes(&frame);
        assert_eq!(FRAMES[at..at + own.len()], own[..], "{frame:?}");
        at += own.len();
        assert_eq!(incoming.pop().unwrap(), Some(frame));
    }
    assert_eq!((at, incoming.pop()), (FRAMES.len(), Ok(None)));
}

#[test]
fn commands_of_version_2_are_read_and_written_to_the_byte() {
    let mut rest = COMMANDS;
    for command in version_2::commands() {
        let (head, behind) = rest.split_first_chunk::<4>().unwrap();
        let (own, behind) = behind.split_at(u32::from_le_bytes(*head) as usize);
        assert_eq!(own, command.to_bytes());
        assert_eq!(Command::from_bytes(own).unwrap(), command);
        rest = behind;
    }
    assert!(rest.is_empty());
}

/// Danger: a running fleet can't be founded anew, and its replicas of both versions compare their states.
#[test]
fn a_state_of_version_2_is_read_and_has_its_bytes_and_digest_until_something_is_put_for_a_scope() {
    let fleet = Fleet::from_bytes(STATE).unwrap();
    assert_eq!((fleet.digest(), &fleet), (DIGEST, &version_2::fleet()));
    assert_eq!(fleet.to_bytes(), STATE);
    assert!(fleet.scopes().is_empty() && fleet.members().len() == 6);
    let put = |id, scope: Scope, text: &str| {
        let (by, why) = (String::new(), String::new());
        let what = SettingsChange::Put(text.to_string(), vec![], vec![]);
        Command::WriteScoped(
            scope,
            Write {
                id: WriteId(9, id),
                expected_version: None,
                author: by,
                reason: why,
                at_ms: 0,
                change: what,
            },
        )
    };
    let menu = Scope::Service("menu".to_string());
    let mut scoped = fleet.clone();
    let said = scoped.apply(31, &put(1, menu, r#"{"timeoutMs": 9}"#));
    assert_eq!(said, Answer::Committed(Version { generation: 0, number: 4 }));
    assert_eq!(Fleet::from_bytes(&scoped.to_bytes()).unwrap(), scoped);
    assert!(scoped.to_bytes().len() > STATE.len() && scoped.digest() != DIGEST);
    // A write for all by the new command is what the old one does; one that is refused leaves nothing behind.
    let mut all = fleet.clone();
    all.apply(31, &put(1, Scope::All, r#"{"timeoutMs": 9}"#));
    assert!(all.scopes().is_empty());
    assert_eq!(all.settings().unwrap().settings, r#"{"timeoutMs": 9}"#);
    let mut refused = fleet.clone();
    let long = "x".repeat(appledyke_fleet::state::MAX_SETTINGS_BYTES + 1);
    let said = refused.apply(31, &put(1, Scope::Zone("a1".to_string()), &long));
    assert_eq!(said, Answer::Refused(Refusal::LimitExceeded));
    assert!(refused.scopes().is_empty());
}

#[test]
fn a_backup_of_version_2_is_put_back_as_that_build_did() {
    let restored = Fleet::from_bytes(STATE).unwrap().restored(8);
    assert_eq!(restored.to_bytes(), RESTORED);
    assert_eq!(Fleet::from_bytes(RESTORED).unwrap(), restored);
}

#[test]
fn a_greeting_of_2_or_3_is_taken_and_a_connection_speaks_the_lower_of_both() {
    let hello = |version| Frame::hello_as(version, "zilina", Initiator::Operator);
    for (own, theirs, spoken) in [(3, 3, 3), (3, 2, 2), (2, 3, 2), (2, 2, 2)] {
        assert_eq!(check_hello(&hello(theirs), "zilina", own), Ok((Initiator::Operator, spoken)));
    }
    assert_eq!((MIN_VERSION, VERSION), (2, 3));
    for other in [0, 1, 4, 9, u16::MAX] {
        let said = format!("frames here are of versions 2 to 3, not {other}");
        assert_eq!(check_hello(&hello(other), "zilina", VERSION), Err(said));
    }
    assert_eq!(check_hello(&hello(2), "brno", VERSION).unwrap_err(), "this is fleet brno, not zilina");
    // What is answered to a greeting of 2 are the bytes that version 2 has answered.
    for frame in version_2::greetings() {
        let (who, spoken) = check_hello(&frame, "zilina", VERSION).unwrap();
        let answer = bytes(&Frame::hello_as(spoken, "zilina", who));
        assert_eq!(answer, bytes(&frame));
        assert!(FRAMES.windows(answer.len()).any(|window| window == answer));
    }
}

#[test]
fn a_dialer_that_is_refused_greets_as_2_and_then_as_3_again() {
    let mut greeting = VersionNegotiation::default();
    assert_eq!(greeting.version(), 3);
    greeting.on_rejected();
    assert_eq!(greeting.version(), 2);
    greeting.on_accepted();
    assert_eq!(greeting.version(), 3);
    // Refused for another reason: both in turn.
    greeting.on_rejected();
    greeting.on_rejected();
    assert_eq!(greeting.version(), 3);
}

/// Danger: a daemon that ended by chance behind a greeting of 3 would be taken for one of version 2, and a member that greets
/// it as such be told nothing of its scopes.
#[test]
fn one_end_behind_a_greeting_is_an_accident_and_two_in_a_row_an_older_version() {
    let mut greeting = VersionNegotiation::default();
    greeting.on_closed();
    assert_eq!(greeting.version(), 3);
    greeting.on_accepted();
    greeting.on_closed();
    assert_eq!(greeting.version(), 3);
    greeting.on_closed();
    assert_eq!(greeting.version(), 2);
    greeting.on_closed();
    assert_eq!(greeting.version(), 3);
}

#[test]
fn frames_for_scopes_go_there_and_back() {
    let scope = Scope::Zone("a1".to_string());
    let version = Version { generation: 1, number: 2 };
    let (by, why) = ("eva".to_string(), "test".to_string());
    let write = Write {
        id: WriteId(1, 2),
        expected_version: Some(version),
        author: by,
        reason: why,
        at_ms: 3,
        change: SettingsChange::Remove,
    };
    let row = ScopeRow { scope: scope.clone(), version, bytes: Some(4), members: 5, acting: 6 };
    let mut fleet = Fleet::default();
    let put = Write {
        change: SettingsChange::Put("{}".to_string(), vec![], vec![]),
        expected_version: None,
        ..write.clone()
    };
    fleet.apply(1, &Command::WriteScoped(scope.clone(), put));
    let scoped: Vec<_> = fleet.scopes().history(&scope).cloned().collect();
    assert_eq!(scoped.len(), 1);
    let ask = |ask| Frame::Request { number: 1, ask };
    let reply = |reply| Frame::Reply { number: 1, reply };
    let frames = [
        Frame::hello("zilina", Initiator::Replica(Id { replica_id: 1, incarnation: 2 })),
        Frame::Locality(Locality { service: Some("menu".to_string()), ..Locality::default() }),
        ask(OperatorRequest::Scopes),
        ask(OperatorRequest::WriteScoped { scope: scope.clone(), write }),
        ask(OperatorRequest::GetScoped { scope: scope.clone(), version: Some(version) }),
        ask(OperatorRequest::ScopeHistory(scope)),
        ask(OperatorRequest::MemberSettings("s1".to_string())),
        reply(OperatorReply::Scopes(vec![row])),
        reply(OperatorReply::Scoped(scoped.first().cloned())),
        reply(OperatorReply::ScopeHistory(scoped)),
        reply(OperatorReply::Merged(None)),
    ];
    let mut incoming = FrameReader::default();
    frames.iter().for_each(|frame| incoming.push(&bytes(frame)));
    for frame in frames {
        assert_eq!(incoming.pop().unwrap(), Some(frame));
    }
}
