//! Observations of endpoints by members, in a daemon's memory: the latest of each endpoint, for members that start or
//! reconnect. They are not replicated by consensus, and expire after `MAX_AGE`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use appledyke::Outcome;
use appledyke::units::{Moment, Span};
use serde::{Deserialize, Serialize};

/// How long an observation is useful: older ones have mostly decayed even with the members that made them.
pub const MAX_AGE: Span = Span::from_millis(8000);
/// Maximum number of stored observations: 16 for each member of a fleet of 1,000. One service may have half of them; members
/// without a service may have all, as in a fleet without services.
pub const MAX_RECORDS: usize = 16_384;
pub const MAX_RECORDS_PER_SERVICE: usize = 8_192;
/// How often the observations of all services are checked for expired ones: an eighth of `MAX_AGE`.
const SWEEP_INTERVAL: Span = Span::from_millis(1000);
/// Observations of one endpoint in a catch-up: three failures mark it as failing, one more can show a recovery.
const MAX_CATCH_UP_PER_ENDPOINT: usize = 4;

/// Outcomes that concern an endpoint; the code of each is its index here.
const OUTCOMES: [Outcome; 6] = [
    Outcome::Success,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailure,
    Outcome::Reset,
];

/// The code of an outcome, if it concerns the endpoint.
pub fn outcome_code(outcome: Outcome) -> Option<u8> {
    OUTCOMES.iter().position(|known| *known == outcome).map(|index| index as u8)
}

/// The outcome of a code; `None` if the code is unknown.
pub fn outcome_from_code(code: u8) -> Option<Outcome> {
    OUTCOMES.get(usize::from(code)).copied()
}

/// The outcome of an attempt, as reported by its sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Increases with each observation of the writer's incarnation.
    pub sequence: u64,
    /// The age at the time of sending, as clocks of two machines cannot be compared.
    pub age_ms: u32,
    /// Hashes of the names of endpoint and method.
    pub endpoint: u32,
    pub method: u32,
    /// The code of the outcome.
    pub outcome: u8,
    /// The duration as a fraction of the method's latency budget.
    pub budget_fraction: f32,
}

/// An observation that is forwarded to another member.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedObservation {
    /// The hash of the writer's name, and the writer's incarnation.
    pub writer: u32,
    pub incarnation: u64,
    pub observation: Observation,
}

struct StoredObservation {
    arrival: u64,
    writer: u32,
    incarnation: u64,
    observed_at: Moment,
    observation: Observation,
}

/// The position up to which a reader has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

/// The last known sequence of each writer, by which daemons and members count each observation once.
#[derive(Default)]
pub struct KnownSequences(BTreeMap<u32, (u64, u64)>);

impl KnownSequences {
    /// Returns whether an observation is new, and records it as known.
    pub fn insert_if_new(&mut self, writer: u32, incarnation: u64, sequence: u64) -> bool {
        let known = self.0.entry(writer).or_default();
        let new = (incarnation, sequence) > *known;
        if new {
            *known = (incarnation, sequence);
        }
        new
    }
}

/// Observations by the service of their writers (`Locality::service_hash`, 0 for none), in order of arrival. A reader with a
/// service gets those of its own service and of writers without one; a reader without a service gets all.
#[derive(Default)]
pub struct EvidenceStore {
    queues: BTreeMap<u32, VecDeque<StoredObservation>>,
    /// The size of each queue with its service, and the total.
    sizes: BTreeSet<(usize, u32)>,
    count: usize,
    swept_at: Moment,
    known: KnownSequences,
    arrivals: u64,
}

impl EvidenceStore {
    /// Stores observations of a member of a service. Returns how many were new.
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
                let observed_at = Moment::from_nanos(now.nanos().saturating_sub(age.nanos()));
                let stored = StoredObservation {
                    arrival: self.arrivals,
                    writer,
                    incarnation,
                    observed_at,
                    observation: *seen,
                };
                self.modify_queue(service, |queue| queue.push_back(stored));
            }
        }
        self.drop_expired(now, service);
        (self.arrivals - before) as usize
    }

    /// The number of stored observations.
    pub fn count(&self) -> usize {
        self.count
    }

    fn modify_queue(&mut self, service: u32, change: impl FnOnce(&mut VecDeque<StoredObservation>)) {
        let queue = self.queues.entry(service).or_default();
        let before = queue.len();
        change(queue);
        let after = queue.len();
        self.count = self.count + after - before;
        self.sizes.remove(&(before, service));
        if after == 0 {
            self.queues.remove(&service);
        } else {
            self.sizes.insert((after, service));
        }
    }

    fn drop_expired(&mut self, now: Moment, service: u32) {
        let most = if service == 0 { MAX_RECORDS } else { MAX_RECORDS_PER_SERVICE };
        let old = |queue: &VecDeque<StoredObservation>| {
            queue.front().is_some_and(|stored| now.since(stored.observed_at) > MAX_AGE)
        };
        self.modify_queue(service, |queue| {
            while queue.len() > most || old(queue) {
                queue.pop_front();
            }
        });
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            let services: Vec<u32> =
                self.queues.iter().filter(|(_, queue)| old(queue)).map(|(service, _)| *service).collect();
            for service in services {
                self.modify_queue(service, |queue| {
                    while old(queue) {
                        queue.pop_front();
                    }
                });
            }
        }
        // Danger: eviction by arrival alone would let a busy service displace the observations of the others.
        while self.count > MAX_RECORDS
            && let Some((_, largest)) = self.sizes.last().copied()
        {
            self.modify_queue(largest, |queue| {
                queue.pop_front();
            });
        }
    }

    /// The queues for a reader of this service that have anything after this arrival.
    fn queues_for(&self, service: u32, after: u64) -> Vec<&VecDeque<StoredObservation>> {
        let of = |service: u32| self.queues.get(&service);
        let queues: Vec<&VecDeque<StoredObservation>> = match service {
            0 => self.queues.values().collect(),
            _ => of(0).into_iter().chain(of(service)).collect(),
        };
        queues.into_iter().filter(|queue| queue.back().is_some_and(|stored| stored.arrival > after)).collect()
    }

    fn relay(now: Moment, stored: &StoredObservation) -> RelayedObservation {
        let age_ms = (now.since(stored.observed_at).nanos() / 1_000_000) as u32;
        let observation = Observation { age_ms, ..stored.observation };
        RelayedObservation { writer: stored.writer, incarnation: stored.incarnation, observation }
    }

    fn is_useful(now: Moment, reader: u32) -> impl Fn(&&StoredObservation) -> bool {
        move |stored| stored.writer != reader && now.since(stored.observed_at) <= MAX_AGE
    }

    /// The observations that a reader of a service has not read yet, at most `most`; the rest is left for the next call.
    pub fn read_new(
        &self,
        now: Moment,
        service: u32,
        reader: u32,
        cursor: &mut Cursor,
        most: usize,
    ) -> Vec<RelayedObservation> {
        let queues = self.queues_for(service, cursor.0);
        let start =
            |queue: &VecDeque<StoredObservation>| queue.partition_point(|stored| stored.arrival <= cursor.0);
        let mut queues: Vec<_> = queues.iter().map(|queue| queue.range(start(queue)..).peekable()).collect();
        // Danger: the queues must be merged by arrival, or the cursor would skip observations that were not read.
        let first =
            queues.iter_mut().enumerate().filter_map(|(index, queue)| Some((queue.peek()?.arrival, index)));
        let mut next: BinaryHeap<Reverse<(u64, usize)>> = first.map(Reverse).collect();
        let mut passed = Vec::new();
        while passed.len() < most
            && let Some(Reverse((arrival, index))) = next.pop()
        {
            cursor.0 = arrival;
            if let Some(stored) = queues[index].next().filter(Self::is_useful(now, reader)) {
                passed.push(Self::relay(now, stored));
            }
            next.extend(queues[index].peek().map(|stored| Reverse((stored.arrival, index))));
        }
        passed
    }

    /// For a reader that starts or reconnects: the latest observations of each endpoint, at most `most`, oldest first. The cursor
    /// moves to the end.
    pub fn catch_up(
        &self,
        now: Moment,
        service: u32,
        reader: u32,
        cursor: &mut Cursor,
        most: usize,
    ) -> Vec<RelayedObservation> {
        *cursor = Cursor(self.arrivals);
        let mut queues: Vec<_> =
            self.queues_for(service, 0).into_iter().map(|queue| queue.iter().rev().peekable()).collect();
        let last =
            queues.iter_mut().enumerate().filter_map(|(index, queue)| Some((queue.peek()?.arrival, index)));
        let mut next: BinaryHeap<(u64, usize)> = last.collect();
        let mut of: BTreeMap<u32, usize> = BTreeMap::new();
        let mut passed = Vec::new();
        while passed.len() < most
            && let Some((_, index)) = next.pop()
        {
            if let Some(stored) = queues[index].next().filter(Self::is_useful(now, reader)) {
                let count = of.entry(stored.observation.endpoint).or_default();
                *count += 1;
                if *count <= MAX_CATCH_UP_PER_ENDPOINT {
                    passed.push(Self::relay(now, stored));
                }
            }
            next.extend(queues[index].peek().map(|stored| (stored.arrival, index)));
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
        // Repeated because the answer was lost; and from an earlier incarnation, which has ended.
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
        // Readers get neither their own observations nor expired ones.
        assert_eq!(evidence.read_new(at(1300), 0, 7, &mut Cursor::default(), 9), []);
        assert_eq!(evidence.read_new(at(9100), 0, 8, &mut Cursor::default(), 9).len(), 1);
        // Ages increase while observations are stored.
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
        assert_eq!(told.len(), 5 * MAX_CATCH_UP_PER_ENDPOINT);
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
