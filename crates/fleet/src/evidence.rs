//! What members have learnt of endpoints, in a daemon's memory: the latest of each, for those that start or return. It is
//! not agreed on, and never older than it is kept for.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use appledyke::Outcome;
use appledyke::units::{Moment, Span};
use serde::{Deserialize, Serialize};

/// How long a record is of use: what is older has mostly faded with those who saw it.
pub const MAX_AGE: Span = Span::from_millis(8000);
/// Records that are held at the most: 16 a member of a fleet of 1,000. Of one service at the most half of them; those of
/// members without one may be all, as in a fleet without services.
pub const MAX_RECORDS: usize = 16_384;
pub const MAX_RECORDS_PER_SERVICE: usize = 8_192;
/// How often all services' records are looked through for old ones: an eighth of the time that they are kept.
const SWEEP: Span = Span::from_millis(1000);
/// Records of one endpoint in a catch-up: three failures make it known, one more tells of an end to them.
const OF_AN_ENDPOINT: usize = 4;

/// Outcomes by their codes, the place here; any other says nothing of an endpoint.
const OUTCOMES: [Outcome; 6] = [
    Outcome::Success,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailure,
    Outcome::Reset,
];

/// The code of an outcome that says something of an endpoint.
pub fn outcome_code(outcome: Outcome) -> Option<u8> {
    OUTCOMES.iter().position(|known| *known == outcome).map(|at| at as u8)
}

/// The outcome of a code; none of one that is not known here.
pub fn outcome_from_code(code: u8) -> Option<Outcome> {
    OUTCOMES.get(usize::from(code)).copied()
}

/// How a write-out ended, as its sidecar tells it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Grows with each record of its writer's incarnation.
    pub sequence: u64,
    /// How long ago it was, when this was said: clocks of two machines are not compared.
    pub age_ms: u32,
    /// Endpoint and method by the marks of their names.
    pub endpoint: u32,
    pub method: u32,
    /// By its code.
    pub outcome: u8,
    /// The time it took, as a part of its method's latency budget.
    pub budget_fraction: f32,
}

/// A record on its way to another member.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedObservation {
    /// The mark of its writer's name, and the writer's incarnation.
    pub writer: u32,
    pub incarnation: u64,
    pub observation: Observation,
}

struct Held {
    arrival: u64,
    writer: u32,
    incarnation: u64,
    at: Moment,
    seen: Observation,
}

/// Up to where a reader has heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

/// Whose records are known up to where; for daemons and for members, so that none counts twice.
#[derive(Default)]
pub struct KnownSequences(BTreeMap<u32, (u64, u64)>);

impl KnownSequences {
    /// Whether a record is new; it is known from now on.
    pub fn insert_if_new(&mut self, writer: u32, incarnation: u64, sequence: u64) -> bool {
        let known = self.0.entry(writer).or_default();
        let new = (incarnation, sequence) > *known;
        if new {
            *known = (incarnation, sequence);
        }
        new
    }
}

/// Records by the service of their writers (`Locality::service_mark`, nought for none), each service's in their order. A reader
/// with a service hears those of its own service and of writers without one; a reader without one hears all.
#[derive(Default)]
pub struct EvidenceStore {
    rings: BTreeMap<u32, VecDeque<Held>>,
    /// How many each ring holds, and how many there are in all.
    sizes: BTreeSet<(usize, u32)>,
    count: usize,
    swept: Moment,
    known: KnownSequences,
    arrivals: u64,
}

impl EvidenceStore {
    /// Takes what a member of a service tells; how much of it was new.
    pub fn record(
        &mut self,
        now: Moment,
        service: u32,
        writer: u32,
        incarnation: u64,
        seen: &[Observation],
    ) -> usize {
        let before = self.arrivals;
        for seen in seen {
            let age = Span::from_millis(u64::from(seen.age_ms));
            let odd = !seen.budget_fraction.is_finite() || seen.budget_fraction < 0.0 || age > MAX_AGE;
            if self.known.insert_if_new(writer, incarnation, seen.sequence) && !odd {
                self.arrivals += 1;
                let at = Moment::from_nanos(now.nanos().saturating_sub(age.nanos()));
                let held = Held { arrival: self.arrivals, writer, incarnation, at, seen: *seen };
                self.change(service, |ring| ring.push_back(held));
            }
        }
        self.forget(now, service);
        (self.arrivals - before) as usize
    }

    /// The records that are held.
    pub fn count(&self) -> usize {
        self.count
    }

    fn change(&mut self, service: u32, change: impl FnOnce(&mut VecDeque<Held>)) {
        let ring = self.rings.entry(service).or_default();
        let before = ring.len();
        change(ring);
        let after = ring.len();
        self.count = self.count + after - before;
        self.sizes.remove(&(before, service));
        if after == 0 {
            self.rings.remove(&service);
        } else {
            self.sizes.insert((after, service));
        }
    }

    fn forget(&mut self, now: Moment, service: u32) {
        let most = if service == 0 { MAX_RECORDS } else { MAX_RECORDS_PER_SERVICE };
        let old = |ring: &VecDeque<Held>| ring.front().is_some_and(|held| now.since(held.at) > MAX_AGE);
        self.change(service, |ring| {
            while ring.len() > most || old(ring) {
                ring.pop_front();
            }
        });
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            let services: Vec<u32> =
                self.rings.iter().filter(|(_, ring)| old(ring)).map(|(service, _)| *service).collect();
            for service in services {
                self.change(service, |ring| {
                    while old(ring) {
                        ring.pop_front();
                    }
                });
            }
        }
        // Danger: by their order alone a busy service would push out what the others have learnt.
        while self.count > MAX_RECORDS
            && let Some((_, largest)) = self.sizes.last().copied()
        {
            self.change(largest, |ring| {
                ring.pop_front();
            });
        }
    }

    /// What a reader of this service may hear, as of after this arrival.
    fn rings_for(&self, service: u32, after: u64) -> Vec<&VecDeque<Held>> {
        let of = |service: u32| self.rings.get(&service);
        let rings: Vec<&VecDeque<Held>> = match service {
            0 => self.rings.values().collect(),
            _ => of(0).into_iter().chain(of(service)).collect(),
        };
        rings.into_iter().filter(|ring| ring.back().is_some_and(|held| held.arrival > after)).collect()
    }

    fn pass(now: Moment, held: &Held) -> RelayedObservation {
        let age_ms = (now.since(held.at).nanos() / 1_000_000) as u32;
        let seen = Observation { age_ms, ..held.seen };
        RelayedObservation { writer: held.writer, incarnation: held.incarnation, observation: seen }
    }

    fn of_use(now: Moment, reader: u32) -> impl Fn(&&Held) -> bool {
        move |held| held.writer != reader && now.since(held.at) <= MAX_AGE
    }

    /// What a reader of a service has not heard yet, so much at the most; the rest waits for the next time.
    pub fn read_new(
        &self,
        now: Moment,
        service: u32,
        reader: u32,
        cursor: &mut Cursor,
        most: usize,
    ) -> Vec<RelayedObservation> {
        let rings = self.rings_for(service, cursor.0);
        let start = |ring: &VecDeque<Held>| ring.partition_point(|held| held.arrival <= cursor.0);
        let mut rings: Vec<_> = rings.iter().map(|ring| ring.range(start(ring)..).peekable()).collect();
        // Danger: all go together by their arrival, or the cursor passes one that was not looked at.
        let first = rings.iter_mut().enumerate().filter_map(|(at, ring)| Some((ring.peek()?.arrival, at)));
        let mut next: BinaryHeap<Reverse<(u64, usize)>> = first.map(Reverse).collect();
        let mut passed = Vec::new();
        while passed.len() < most
            && let Some(Reverse((arrival, at))) = next.pop()
        {
            cursor.0 = arrival;
            if let Some(held) = rings[at].next().filter(Self::of_use(now, reader)) {
                passed.push(Self::pass(now, held));
            }
            next.extend(rings[at].peek().map(|held| Reverse((held.arrival, at))));
        }
        passed
    }

    /// For a reader that starts or returns: the latest of each endpoint, so much at the most, the oldest first; it goes on
    /// from here.
    pub fn catch_up(
        &self,
        now: Moment,
        service: u32,
        reader: u32,
        cursor: &mut Cursor,
        most: usize,
    ) -> Vec<RelayedObservation> {
        *cursor = Cursor(self.arrivals);
        let mut rings: Vec<_> =
            self.rings_for(service, 0).into_iter().map(|ring| ring.iter().rev().peekable()).collect();
        let last = rings.iter_mut().enumerate().filter_map(|(at, ring)| Some((ring.peek()?.arrival, at)));
        let mut next: BinaryHeap<(u64, usize)> = last.collect();
        let mut of: BTreeMap<u32, usize> = BTreeMap::new();
        let mut passed = Vec::new();
        while passed.len() < most
            && let Some((_, at)) = next.pop()
        {
            if let Some(held) = rings[at].next().filter(Self::of_use(now, reader)) {
                let count = of.entry(held.seen.endpoint).or_default();
                *count += 1;
                if *count <= OF_AN_ENDPOINT {
                    passed.push(Self::pass(now, held));
                }
            }
            next.extend(rings[at].peek().map(|held| (held.arrival, at)));
        }
        passed.reverse();
        passed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn seen(sequence: u64, endpoint: u32) -> Observation {
        Observation { sequence, age_ms: 100, endpoint, method: 1, outcome: 1, budget_fraction: 0.5 }
    }

    #[test]
    fn each_record_counts_once_by_writer_incarnation_and_sequence() {
        let mut evidence = EvidenceStore::default();
        assert_eq!(evidence.record(at(1000), 0, 7, 1, &[seen(1, 5), seen(2, 5)]), 2);
        // Said again, as the answer was lost; and by an earlier incarnation, which has ended.
        assert_eq!(evidence.record(at(1100), 0, 7, 1, &[seen(1, 5), seen(2, 5), seen(3, 5)]), 1);
        assert_eq!(
            (
                evidence.record(at(1200), 0, 7, 2, &[seen(1, 5)]),
                evidence.record(at(1300), 0, 7, 1, &[seen(9, 5)])
            ),
            (1, 0)
        );
        let mut cursor = Cursor::default();
        assert_eq!(evidence.read_new(at(1300), 0, 8, &mut cursor, 3).len(), 3);
        assert_eq!(evidence.read_new(at(1300), 0, 8, &mut cursor, 3).len(), 1);
        assert_eq!(evidence.read_new(at(1300), 0, 8, &mut cursor, 3), []);
        // Nobody hears its own, and nobody what is old.
        assert_eq!(evidence.read_new(at(1300), 0, 7, &mut Cursor::default(), 9), []);
        assert_eq!(evidence.read_new(at(9100), 0, 8, &mut Cursor::default(), 9).len(), 1);
        // Ages go on while they lie here.
        let told = evidence.read_new(at(1500), 0, 8, &mut Cursor::default(), 1);
        assert_eq!(told[0].observation.age_ms, 600);
        let mut odd = seen(10, 5);
        odd.budget_fraction = f32::NAN;
        assert_eq!(
            evidence.record(at(1400), 0, 9, 1, &[odd, Observation { age_ms: 9000, ..seen(11, 5) }]),
            0
        );
    }

    #[test]
    fn who_returns_hears_the_latest_of_each_endpoint_and_no_more_than_its_bound() {
        let mut evidence = EvidenceStore::default();
        for sequence in 1..=100 {
            evidence.record(at(1000), 0, 7, 1, &[seen(sequence, sequence as u32 % 5)]);
        }
        let mut cursor = Cursor::default();
        let told = evidence.catch_up(at(1000), 0, 8, &mut cursor, 1000);
        assert_eq!(told.len(), 5 * OF_AN_ENDPOINT);
        assert!(told.iter().all(|passed| passed.observation.sequence > 80));
        assert!(told.is_sorted_by_key(|passed| passed.observation.sequence));
        assert_eq!(evidence.read_new(at(1000), 0, 8, &mut cursor, 1000), []);
        assert_eq!(evidence.catch_up(at(1000), 0, 8, &mut cursor, 7).len(), 7);
        for sequence in 0..2 * MAX_RECORDS as u64 {
            evidence.record(at(2000), 0, 9, 1, &[seen(sequence + 1, 3)]);
        }
        assert!(evidence.count() <= MAX_RECORDS);
    }
}
