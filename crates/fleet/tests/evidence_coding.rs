//! Dictionary coding of observations: the size of answers, the round trip, and that an invalid batch has no effect on the rest
//! of its answer.

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

/// One heartbeat of a service: an observation by each other member, of one of its endpoints.
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

/// Danger: with one observation per member and heartbeat, what each one repeats would be most of the control traffic to a
/// sidecar: the writer's name and incarnation, and the names of endpoint and method.
#[test]
fn an_observation_takes_eleven_bytes_once_its_names_are_known() {
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
        // Uncoded: writer 5, incarnation 9, sequence 2, age 2, endpoint 5, method 5, outcome 1, fraction 4, a few of them one
        // less.
        assert!(plain > 59 * 32, "{plain}");
        // The first answer contains all names that it refers to.
        assert!(own < plain * 6 / 5, "{own} of {plain}");
        if sequence > 7050 {
            assert_eq!(own, 59 * 11);
        }
    }
}

/// Danger: what the receiver acts on must not depend on the encoding.
#[test]
fn random_answers_are_decoded_as_they_were_encoded() {
    for seed in 0..300 {
        let mut chance = Rand64::new(seed);
        let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
        let writers = 1 + chance.rand_range(0..400);
        let names = 1 + chance.rand_range(0..400);
        for _ in 0..30 {
            let count = chance.rand_range(0..90);
            let all: Vec<RelayedObservation> = (0..count)
                .map(|_| {
                    // Sequences and incarnations are in any order: the coding does not rely on the daemon's order.
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

/// Danger: over weeks, replaced members would fill a connection's dictionaries, and all later observations would be sent
/// uncoded forever.
#[test]
fn full_dictionaries_are_reset_after_a_while() {
    let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
    let mut left = Vec::new();
    for answer in 0..4000_u64 {
        // Each writer ends after one answer, except one that stays.
        let all = vec![passed(7, answer, 5), passed(1000 + answer.min(2000) as u32, answer, 5)];
        let (coded, rest) = encoder.encode(all.clone());
        let mut heard = decoder.decode(&coded).unwrap();
        heard.extend(&rest);
        assert_eq!(heard, all);
        left.push(rest.len());
    }
    // Full at 256, reset at 1,024, and again, until the last writer stays.
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

/// Each kind of invalid batch, and the expected error.
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
fn each_error_is_named_and_nothing_is_decoded_until_the_dictionaries_are_reset() {
    for (faulty, said) in faults() {
        let mut decoder = Decoder::default();
        assert_eq!(decoder.decode(&faulty), Err(said.to_string()));
        // Danger: what it knew before the error is not what the other end assumes.
        let next = CodedRecords { known: 5, ..CodedRecords::default() };
        assert_eq!(decoder.decode(&next).unwrap_err(), "evidence: 5 entries are taken for known, and 0 are");
        assert_eq!(decoder.decode(&good()).unwrap().len(), 3);
        assert_eq!(decoder.decode(&next), Ok(vec![]));
    }
    // Entries that are already known count too.
    let mut decoder = Decoder::default();
    decoder.decode(&good()).unwrap();
    let more = CodedRecords { known: 5, names: vec![9; 254], ..CodedRecords::default() };
    assert_eq!(decoder.decode(&more).unwrap_err(), "evidence: 257 names, more than 256");
    // The maximum number of entries.
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

/// Danger: settings, grants and releases are in the same answer, and an invalid batch of observations must not keep a member
/// from them.
#[test]
fn an_invalid_batch_costs_a_member_only_that_answers_observations() {
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
        // The daemon resets the dictionaries for a member that catches up, and only time is lost.
        let done = member.on_coded_answer(at(2301), ReportAnswer { observations: rest, ..told() }, &good());
        assert_eq!(heard(&done), [(1, 5), (2, 6), (1, 7), (3, 8)]);
        assert!(!reported(&mut member, 3000).wants_catch_up);
    }
}

/// Danger: the daemon of a new connection has sent no entries, whatever the last one had.
#[test]
fn dictionaries_belong_to_one_connection() {
    let mut member = member();
    assert_eq!(heard(&member.on_coded_answer(at(1001), told(), &good())).len(), 3);
    member.on_disconnected(at(1100));
    assert!(matches!(member.on_timer(at(3000))[..], [HostAction::Dial(1)]));
    member.on_connected(at(3000), VERSION);
    let next = CodedRecords { known: 5, ..CodedRecords::default() };
    let said = "evidence: 5 entries are taken for known, and 0 are".to_string();
    assert_eq!(member.on_coded_answer(at(3001), told(), &next), [HostAction::AnswerError(said)]);
    // Repeated observations count once.
    assert_eq!(member.on_coded_answer(at(3002), told(), &good()), []);
    // A closed connection accepts nothing.
    member.on_disconnected(at(3100));
    assert_eq!(member.on_coded_answer(at(3101), told(), &good()), []);
}

/// Danger: a member that crashes because of a daemon's answer would take its traffic with it.
#[test]
fn no_answer_causes_a_panic() {
    let mut chance = Rand64::new(9);
    let good = bytes(&Frame::CodedReportAnswer(told(), good()));
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..20_000 {
        let mut all = bytes(&Frame::hello("zilina", Initiator::Operator));
        let mut answer = good.clone();
        for _ in 0..1 + chance.rand_range(0..3) {
            // After the length.
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
