//! Records over one connection by dictionaries: what an answer takes, that it comes back as it was, and that one that is wrong
//! costs nothing else.

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::evidence::{Observation, RelayedObservation};
use appledyke_fleet::evidence_coding::{CodedRecord, CodedRecords, Decoder, Encoder, MAX_ENTRIES, Writer};
use appledyke_fleet::limits::Limits;
use appledyke_fleet::member::{HostAction, Member, MemberConfig};
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, Report, ReportAnswer, VERSION};
use appledyke_fleet::scopes::Locality;
use oorandom::Rand64;

fn passed(writer: u32, sequence: u64, endpoint: u32) -> RelayedObservation {
    let seen = Observation {
        sequence,
        age_ms: 260,
        endpoint,
        method: 0x9e37_79b9,
        outcome: 0,
        budget_fraction: 0.37,
    };
    RelayedObservation { writer, incarnation: 1_764_652_800_123_456_789, observation: seen }
}

/// A beat of a service: each of its other members has a record, of one of its endpoints.
fn beat(chance: &mut Rand64, members: u32, sequence: u64) -> Vec<RelayedObservation> {
    let mark = |of: u32| of.wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995;
    let endpoint = |chance: &mut Rand64| mark(1000 + chance.rand_range(0..u64::from(members)) as u32);
    (1..members).map(|writer| passed(mark(writer), sequence, endpoint(chance))).collect()
}

fn bytes(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    assert!(frame.write(&mut bytes));
    bytes
}

fn over_the_wire(told: ReportAnswer, coded: CodedRecords) -> (ReportAnswer, CodedRecords) {
    let mut frames = FrameReader::default();
    frames.push(&bytes(&Frame::hello("zilina", Initiator::Operator)));
    frames.push(&bytes(&Frame::CodedReportAnswer(told, coded)));
    frames.pop().unwrap();
    match frames.pop() {
        Ok(Some(Frame::CodedReportAnswer(told, coded))) => (told, coded),
        other => panic!("{other:?}"),
    }
}

/// Danger: with a record a member a beat what is said again with each record is most of what a sidecar hears of control: its
/// writer's name and incarnation, and the endpoint's and method's names.
#[test]
fn a_record_takes_eleven_bytes_once_its_names_are_known() {
    let (mut chance, mut encoder) = (Rand64::new(1), Encoder::default());
    let size = |told, coded| bytes(&Frame::CodedReportAnswer(told, coded)).len();
    let none = size(ReportAnswer::default(), CodedRecords::default());
    for sequence in 7000..7100 {
        let all = beat(&mut chance, 60, sequence);
        let plain = ReportAnswer { observations: all.clone(), ..ReportAnswer::default() };
        let plain = bytes(&Frame::ReportAnswer(plain)).len()
            - bytes(&Frame::ReportAnswer(ReportAnswer::default())).len();
        let (coded, rest) = encoder.encode(all);
        assert!(rest.is_empty() && coded.records.len() == 59);
        let own = size(ReportAnswer::default(), coded) - none;
        // As it was: writer 5, incarnation 9, sequence 2, age 2, endpoint 5, method 5, outcome 1, part 4, a few of them one less.
        assert!(plain > 59 * 32, "{plain}");
        // The first answer says all names that it needs.
        assert!(own < plain * 6 / 5, "{own} of {plain}");
        if sequence > 7050 {
            assert_eq!(own, 59 * 11);
        }
    }
}

/// Danger: what the receiver acts on must not hang on how it came.
#[test]
fn over_random_answers_what_was_told_is_what_is_heard() {
    for seed in 0..300 {
        let mut chance = Rand64::new(seed);
        let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
        let writers = 1 + chance.rand_range(0..400);
        let names = 1 + chance.rand_range(0..400);
        for _ in 0..30 {
            let count = chance.rand_range(0..90);
            let all: Vec<RelayedObservation> = (0..count)
                .map(|_| {
                    // Sequences and incarnations go any way: the daemon's order is not what this rests on.
                    let seen = Observation {
                        sequence: if chance.rand_range(0..20) == 0 {
                            chance.rand_u64()
                        } else {
                            chance.rand_range(0..50)
                        },
                        age_ms: chance.rand_u64() as u32,
                        endpoint: chance.rand_range(0..names) as u32,
                        method: chance.rand_range(0..3) as u32,
                        outcome: chance.rand_u64() as u8,
                        budget_fraction: chance.rand_float() as f32 * 4.0,
                    };
                    let incarnation = chance.rand_range(0..2);
                    RelayedObservation {
                        writer: chance.rand_range(0..writers) as u32,
                        incarnation,
                        observation: seen,
                    }
                })
                .collect();
            if chance.rand_range(0..10) == 0 {
                encoder.reset();
            }
            let (coded, rest) = encoder.encode(all.clone());
            let (told, coded) =
                over_the_wire(ReportAnswer { observations: rest, ..ReportAnswer::default() }, coded);
            let mut heard = decoder.decode(&coded).unwrap();
            heard.extend(told.observations);
            assert_eq!(heard, all, "seed {seed}");
        }
    }
}

/// Danger: members that were replaced fill a connection of weeks, and all records behind go as they are for good.
#[test]
fn dictionaries_that_are_full_begin_anew_after_a_while() {
    let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
    let mut left = Vec::new();
    for answer in 0..4000_u64 {
        // Each writer has ended after an answer of its own, and one stays.
        let all = vec![passed(7, answer, 5), passed(1000 + answer.min(2000) as u32, answer, 5)];
        let (coded, rest) = encoder.encode(all.clone());
        let mut heard = decoder.decode(&coded).unwrap();
        heard.extend(&rest);
        assert_eq!(heard, all);
        left.push(rest.len());
    }
    // Full at 256, anew at 1,024; and again, until the one that came last stays.
    let full = left.iter().position(|rest| *rest > 0).unwrap();
    let anew = full + left[full..].iter().position(|rest| *rest == 0).unwrap();
    assert_eq!((full, anew), (255, 1024));
    assert!(left[3200..].iter().all(|rest| *rest == 0), "{:?}", &left[3200..3210]);
}

fn good() -> CodedRecords {
    let (coded, rest) = Encoder::default().encode(vec![passed(1, 5, 10), passed(2, 6, 11), passed(1, 7, 10)]);
    assert!(rest.is_empty());
    coded
}

/// Each way in which an answer can be wrong, what is said of it, and how it is made so.
fn faults() -> Vec<(CodedRecords, &'static str)> {
    let with = |change: &dyn Fn(&mut CodedRecords)| {
        let mut coded = good();
        change(&mut coded);
        coded
    };
    let writer = Writer { writer: 1, incarnation: 1, sequence: 1 };
    vec![
        (with(&|c| c.records[1].writer = 2), "evidence: writer 2, and there are 2"),
        (with(&|c| c.records[2].endpoint = 3), "evidence: endpoint 3, and there are 3"),
        (with(&|c| c.records[0].method = 255), "evidence: method 255, and there are 3"),
        (with(&|c| c.records[2].step = u64::MAX), "evidence: a step of 18446744073709551615 behind 5"),
        (with(&|c| c.writers = vec![writer; MAX_ENTRIES + 1]), "evidence: 257 writers, more than 256"),
        (with(&|c| c.names = vec![9; 9999]), "evidence: 9999 names, more than 256"),
        (with(&|c| c.known = 4), "evidence: 4 entries are taken for known, and 0 are"),
    ]
}

#[test]
fn each_fault_is_named_and_nothing_is_known_until_dictionaries_begin_anew() {
    for (faulty, said) in faults() {
        let mut decoder = Decoder::default();
        assert_eq!(decoder.decode(&faulty), Err(said.to_string()));
        // Danger: what it had learnt before the fault is not what the other end takes for known.
        let next = CodedRecords { known: 5, ..CodedRecords::default() };
        assert_eq!(decoder.decode(&next).unwrap_err(), "evidence: 5 entries are taken for known, and 0 are");
        assert_eq!(decoder.decode(&good()).unwrap().len(), 3);
        assert_eq!(decoder.decode(&next), Ok(vec![]));
    }
    // Entries that are known already count, too.
    let mut decoder = Decoder::default();
    decoder.decode(&good()).unwrap();
    let more = CodedRecords { known: 5, names: vec![9; 254], ..CodedRecords::default() };
    assert_eq!(decoder.decode(&more).unwrap_err(), "evidence: 257 names, more than 256");
    // The most that there may be.
    let names: Vec<u32> = (0..MAX_ENTRIES as u32).collect();
    let record = CodedRecord {
        writer: 0,
        step: 0,
        age_ms: 0,
        endpoint: 255,
        method: 0,
        outcome: 0,
        budget_fraction: 0.0,
    };
    let writers = vec![Writer { writer: 1, incarnation: 1, sequence: 1 }; MAX_ENTRIES];
    let most = CodedRecords { known: 0, writers, names, records: vec![record] };
    assert_eq!(decoder.decode(&most).unwrap()[0].observation.endpoint, 255);
}

fn at(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

fn member() -> Member {
    let setup = MemberConfig {
        name: "s1".to_string(),
        daemons: vec![1],
        heartbeat: Span::from_millis(500),
        incarnation: 1,
        process_nonce: 1,
        version: Version::default(),
        limits: Limits::default(),
        groups: vec![],
        locality: Some(Locality { service: Some("menu".to_string()), ..Locality::default() }),
        program_version: "1.0".to_string(),
    };
    let mut member = Member::new(at(0), setup, 1);
    assert!(matches!(member.on_timer(at(1000))[..], [HostAction::Dial(1)]));
    member.on_connected(at(1000), VERSION);
    member
}

fn told() -> ReportAnswer {
    ReportAnswer { is_leader: true, ..ReportAnswer::default() }
}

fn reported(member: &mut Member, ms: u64) -> Report {
    match &member.on_timer(at(ms))[..] {
        [HostAction::SendReport(report)] => (**report).clone(),
        other => panic!("{other:?}"),
    }
}

fn heard(done: &[HostAction]) -> Vec<(u32, u64)> {
    let rows = done.iter().filter_map(|what| match what {
        HostAction::DeliverObservations(passed) => {
            Some(passed.iter().map(|passed| (passed.writer, passed.observation.sequence)))
        }
        _ => None,
    });
    rows.flatten().collect()
}

/// Danger: settings, grants and releases come in the same answer, and a daemon's fault in the one would keep a member from them.
#[test]
fn a_fault_costs_a_member_only_that_answers_records_until_it_is_told_anew() {
    for (faulty, said) in faults() {
        let mut member = member();
        assert_eq!(member.on_coded_answer(at(1001), told(), &CodedRecords::default()), []);
        assert!(!reported(&mut member, 1600).wants_catch_up);
        let version = Version { generation: 0, number: 3 };
        let rest = vec![passed(3, 8, 10)];
        let answer = ReportAnswer {
            settings: Some((version, "{}".to_string())),
            observations: rest.clone(),
            ..told()
        };
        let done = member.on_coded_answer(at(1601), answer, &faulty);
        assert_eq!(
            done,
            [HostAction::ApplySettings(version, "{}".to_string()), HostAction::AnswerError(said.to_string())]
        );
        assert!(member.is_connected());
        let report = reported(&mut member, 2300);
        assert!(report.wants_catch_up, "{said}");
        // The daemon begins anew for one that catches up, and nothing has been lost but time.
        let done = member.on_coded_answer(at(2301), ReportAnswer { observations: rest, ..told() }, &good());
        assert_eq!(heard(&done), [(1, 5), (2, 6), (1, 7), (3, 8)]);
        assert!(!reported(&mut member, 3000).wants_catch_up);
    }
}

/// Danger: another connection's daemon has told nothing, whatever the last one had.
#[test]
fn dictionaries_are_of_one_connection() {
    let mut member = member();
    assert_eq!(heard(&member.on_coded_answer(at(1001), told(), &good())).len(), 3);
    member.on_disconnected(at(1100));
    assert!(matches!(member.on_timer(at(3000))[..], [HostAction::Dial(1)]));
    member.on_connected(at(3000), VERSION);
    let next = CodedRecords { known: 5, ..CodedRecords::default() };
    let said = "evidence: 5 entries are taken for known, and 0 are".to_string();
    assert_eq!(member.on_coded_answer(at(3001), told(), &next), [HostAction::AnswerError(said)]);
    // What is told again counts once.
    assert_eq!(member.on_coded_answer(at(3002), told(), &good()), []);
    // One that has ended takes nothing.
    member.on_disconnected(at(3100));
    assert_eq!(member.on_coded_answer(at(3101), told(), &good()), []);
}

/// Danger: a member that ends by what a daemon says takes its traffic with it.
#[test]
fn no_answer_can_do_harm() {
    let mut chance = Rand64::new(9);
    let good = bytes(&Frame::CodedReportAnswer(told(), good()));
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..20_000 {
        let mut all = bytes(&Frame::hello("zilina", Initiator::Operator));
        let mut answer = good.clone();
        for _ in 0..1 + chance.rand_range(0..3) {
            // Behind the length.
            let at = 4 + chance.rand_range(0..answer.len() as u64 - 4) as usize;
            answer[at] = chance.rand_u64() as u8;
        }
        all.extend(answer);
        let mut frames = FrameReader::default();
        frames.push(&all);
        let mut member = member();
        while let Ok(Some(frame)) = frames.pop() {
            if let Frame::CodedReportAnswer(told, coded) = frame {
                let done = member.on_coded_answer(at(1001), told, &coded);
                match done.iter().any(|what| matches!(what, HostAction::AnswerError(_))) {
                    true => refused += 1,
                    false => taken += 1,
                }
            }
        }
    }
    assert!(taken > 1000 && refused > 1000, "{taken} {refused}");
}
