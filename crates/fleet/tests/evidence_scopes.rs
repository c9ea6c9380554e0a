//! Evidence by service: who gets whose observations, and that a busy service does not displace those of others.

use std::collections::BTreeMap;

use appledyke::units::Moment;
use appledyke_fleet::evidence::{
    Cursor, EvidenceStore, MAX_AGE, MAX_RECORDS, MAX_RECORDS_PER_SERVICE, Observation,
};
use oorandom::Rand64;

const MENU: u32 = 11;
const CART: u32 = 22;
const READER: u32 = 999;

fn at(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

fn seen(sequence: u64, endpoint: u32) -> Observation {
    Observation { sequence, age_ms: 0, endpoint, method: 1, outcome: 1, budget_fraction: 0.5 }
}

fn run(from: u64, to: u64) -> Vec<Observation> {
    (from..=to).map(|sequence| seen(sequence, sequence as u32)).collect()
}

/// All that a reader gets, by writer and sequence, a limited number at a time.
fn heard(
    evidence: &EvidenceStore,
    now: u64,
    service: u32,
    cursor: &mut Cursor,
    most: usize,
) -> Vec<(u32, u64)> {
    let mut all = Vec::new();
    loop {
        let told = evidence.read_new(at(now), service, READER, cursor, most);
        assert!(told.len() <= most);
        if told.is_empty() {
            return all;
        }
        all.extend(told.iter().map(|passed| (passed.writer, passed.observation.sequence)));
    }
}

/// Danger: observations of another service's endpoints are useless to a reader, and would displace useful ones.
#[test]
fn readers_get_their_own_service_and_no_service_and_readers_without_one_get_all() {
    let mut evidence = EvidenceStore::default();
    for (writer, service) in [(1, MENU), (2, CART), (3, 0), (4, MENU)] {
        assert_eq!(evidence.record(at(1000), service, writer, 1, &run(1, 2)), 2);
    }
    let of = |service, most| heard(&evidence, 1000, service, &mut Cursor::default(), most);
    for most in [1, 3, 100] {
        assert_eq!(of(MENU, most), [(1, 1), (1, 2), (3, 1), (3, 2), (4, 1), (4, 2)]);
        assert_eq!(of(CART, most), [(2, 1), (2, 2), (3, 1), (3, 2)]);
        assert_eq!(of(33, most), [(3, 1), (3, 2)]);
        let all = [(1, 1), (1, 2), (2, 1), (2, 2), (3, 1), (3, 2), (4, 1), (4, 2)];
        assert_eq!(of(0, most), all);
    }
    // Readers do not get their own observations.
    assert_eq!(evidence.read_new(at(1000), MENU, 1, &mut Cursor::default(), 100).len(), 4);
    let caught = |service, most| evidence.catch_up(at(1000), service, READER, &mut Cursor::default(), most);
    let writers = |service, most| caught(service, most).iter().map(|p| p.writer).collect::<Vec<_>>();
    assert_eq!(writers(CART, 100), [2, 2, 3, 3]);
    assert_eq!(writers(0, 100), [1, 1, 2, 2, 3, 3, 4, 4]);
    // The latest ones, if not all fit.
    assert_eq!(writers(CART, 3), [2, 3, 3]);
}

/// Danger: a service with many observations per second would leave none of the others for members that reconnect.
#[test]
fn a_busy_service_displaces_only_its_own_observations() {
    let mut evidence = EvidenceStore::default();
    for service in 1..=200 {
        evidence.record(at(1000), service, service, 1, &run(1, 16));
    }
    for beat in 0..40 {
        evidence.record(at(1000 + beat), 777, 777, 1, &run(beat * 1000 + 1, beat * 1000 + 1000));
        assert!(evidence.count() <= MAX_RECORDS);
    }
    for service in 1..=200 {
        assert_eq!(heard(&evidence, 1040, service, &mut Cursor::default(), 100).len(), 16, "{service}");
    }
    let busy = heard(&evidence, 1040, 777, &mut Cursor::default(), 100);
    assert_eq!((busy.len(), busy.last()), (MAX_RECORDS_PER_SERVICE, Some(&(777, 40_000))));
    // Two busy services share the space, and a third one that begins finds room.
    let mut evidence = EvidenceStore::default();
    for service in [MENU, CART, 0] {
        evidence.record(at(1000), service, service + 1, 1, &run(1, 30_000));
        assert!(evidence.count() <= MAX_RECORDS);
    }
    let of = |service| heard(&evidence, 1000, service, &mut Cursor::default(), 1000).len();
    let counts = (of(MENU), of(CART), of(0));
    assert!(
        evidence.count() == MAX_RECORDS && counts.0.min(counts.1) > MAX_RECORDS_PER_SERVICE / 2,
        "{counts:?}"
    );
    // As in a fleet without services: members without one may fill all.
    let mut evidence = EvidenceStore::default();
    evidence.record(at(1000), 0, 1, 1, &run(1, 30_000));
    assert_eq!(evidence.count(), MAX_RECORDS);
}

#[test]
fn expired_observations_are_removed_even_from_services_without_reports() {
    let mut evidence = EvidenceStore::default();
    for service in 0..100 {
        evidence.record(at(1000), service, service + 1, 1, &run(1, 10));
    }
    assert_eq!(evidence.count(), 1000);
    let late = 1000 + MAX_AGE.nanos() / 1_000_000 + 1;
    evidence.record(at(late), 5, 500, 1, &run(1, 1));
    assert_eq!(evidence.count(), 1);
}

/// Danger: a cursor that skips unread observations would lose them for good.
#[test]
fn over_random_histories_each_observation_is_read_once_in_order() {
    for seed in 0..200 {
        let mut chance = Rand64::new(seed);
        let mut evidence = EvidenceStore::default();
        let readers = [0, MENU, CART, 33];
        let mut cursors = readers.map(|_| Cursor::default());
        let mut got = readers.map(|_| Vec::new());
        let mut told: Vec<(u32, u32, u64)> = Vec::new();
        let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
        for step in 0..200 {
            let now = 1000 + step;
            if chance.rand_range(0..2) == 0 {
                let service = [0, MENU, CART][chance.rand_range(0..3) as usize];
                let writer = service * 10 + chance.rand_range(1..4) as u32;
                let sequence = sequences.entry(writer).or_default();
                let to = *sequence + chance.rand_range(0..5);
                evidence.record(at(now), service, writer, 1, &run(*sequence + 1, to));
                told.extend((*sequence + 1..=to).map(|sequence| (service, writer, sequence)));
                *sequence = to;
            } else {
                let reader = chance.rand_range(0..readers.len() as u64) as usize;
                let most = chance.rand_range(0..6) as usize;
                let passed = evidence.read_new(at(now), readers[reader], READER, &mut cursors[reader], most);
                assert!(passed.len() <= most);
                got[reader].extend(passed.iter().map(|passed| (passed.writer, passed.observation.sequence)));
            }
        }
        for ((service, cursor), mut got) in readers.iter().zip(&mut cursors).zip(got) {
            got.extend(heard(&evidence, 1200, *service, cursor, 3));
            let own = |of: u32| *service == 0 || of == 0 || of == *service;
            let due =
                told.iter().filter(|(of, ..)| own(*of)).map(|(_, writer, sequence)| (*writer, *sequence));
            assert_eq!(got, due.collect::<Vec<_>>(), "seed {seed}, reader of {service}");
        }
    }
}

#[test]
fn a_reader_continues_after_its_catch_up() {
    let mut evidence = EvidenceStore::default();
    evidence.record(at(1000), MENU, 1, 1, &run(1, 10));
    evidence.record(at(1000), CART, 2, 1, &run(1, 10));
    let mut cursor = Cursor::default();
    assert_eq!(evidence.catch_up(at(1000), MENU, READER, &mut cursor, 5).len(), 5);
    assert_eq!(evidence.read_new(at(1000), MENU, READER, &mut cursor, 100), []);
    evidence.record(at(1001), CART, 2, 1, &run(11, 20));
    evidence.record(at(1001), MENU, 1, 1, &run(11, 12));
    assert_eq!(heard(&evidence, 1001, MENU, &mut cursor, 1), [(1, 11), (1, 12)]);
}
