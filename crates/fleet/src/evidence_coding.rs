//! Records of others on their way over one connection, by dictionaries that its two ends build alike: a writer with its
//! incarnation, or the mark of an endpoint's or method's name, goes over once, and by its index from then on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::evidence::{Observation, RelayedObservation};

/// Entries of either dictionary: an index is one byte. They bound what an end keeps for a connection, to some 15 KB.
pub const MAX_ENTRIES: usize = 256;
/// Answers after which dictionaries that are full begin anew: those that have ended lie in them, and some 5 KB in so many
/// answers are little.
const ANEW_AFTER: u32 = 1024;

/// A writer, and the sequence from which its records' steps count.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Writer {
    pub writer: u32,
    pub incarnation: u64,
    pub sequence: u64,
}

/// A record by indices.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CodedRecord {
    pub writer: u8,
    /// How far its sequence lies behind that of its writer's record before.
    pub step: u64,
    pub age_ms: u32,
    pub endpoint: u8,
    pub method: u8,
    pub outcome: u8,
    pub budget_fraction: f32,
}

/// Records, and the entries that they need beside those that are known already.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CodedRecords {
    /// Entries of both dictionaries that the other end knows: nought begins them anew.
    pub known: u32,
    pub writers: Vec<Writer>,
    /// Of endpoints and methods.
    pub names: Vec<u32>,
    pub records: Vec<CodedRecord>,
}

/// The end that tells.
#[derive(Default)]
pub struct Encoder {
    /// By their marks: the latest entry of each.
    writers: BTreeMap<u32, (u8, Writer)>,
    entries: usize,
    names: BTreeMap<u32, u8>,
    answers: u32,
    full: bool,
}

impl Encoder {
    /// The other end may have lost what it knew: dictionaries begin anew with the next answer.
    pub fn reset(&mut self) {
        *self = Encoder::default();
    }

    /// Codes an answer's records, up to the first for which the dictionaries have no room; those from there on are left, and go
    /// as they are, behind these.
    pub fn encode(&mut self, mut passed: Vec<RelayedObservation>) -> (CodedRecords, Vec<RelayedObservation>) {
        if self.full && self.answers >= ANEW_AFTER {
            self.reset();
        }
        self.answers = self.answers.saturating_add(1);
        let known = (self.entries + self.names.len()) as u32;
        let mut coded =
            CodedRecords { known, records: Vec::with_capacity(passed.len()), ..CodedRecords::default() };
        for passed in &passed {
            let Some(record) = self.record(passed, &mut coded) else {
                self.full = true;
                break;
            };
            coded.records.push(record);
        }
        let rest = passed.split_off(coded.records.len());
        (coded, rest)
    }

    fn record(&mut self, passed: &RelayedObservation, coded: &mut CodedRecords) -> Option<CodedRecord> {
        let RelayedObservation { writer, incarnation, observation: seen } = *passed;
        let endpoint = self.name(seen.endpoint, coded)?;
        let method = self.name(seen.method, coded)?;
        let last = self.writers.get_mut(&writer).filter(|(_, last)| last.incarnation == incarnation);
        let (at, step) =
            match last.and_then(|(at, last)| Some((at, seen.sequence.checked_sub(last.sequence)?, last))) {
                Some((at, step, last)) => {
                    last.sequence = seen.sequence;
                    (*at, step)
                }
                None => {
                    let at = u8::try_from(self.entries).ok()?;
                    let entry = Writer { writer, incarnation, sequence: seen.sequence };
                    self.writers.insert(writer, (at, entry));
                    self.entries += 1;
                    coded.writers.push(entry);
                    (at, 0)
                }
            };
        let Observation { age_ms, outcome, budget_fraction: part, .. } = seen;
        Some(CodedRecord { writer: at, step, age_ms, endpoint, method, outcome, budget_fraction: part })
    }

    fn name(&mut self, mark: u32, coded: &mut CodedRecords) -> Option<u8> {
        if let Some(at) = self.names.get(&mark) {
            return Some(*at);
        }
        let at = u8::try_from(self.names.len()).ok()?;
        self.names.insert(mark, at);
        coded.names.push(mark);
        Some(at)
    }
}

/// The end that hears.
#[derive(Default)]
pub struct Decoder {
    writers: Vec<Writer>,
    names: Vec<u32>,
}

impl Decoder {
    /// An answer's records.
    ///
    /// # Errors
    /// What is wrong with it: none of it is taken, and nothing is known until dictionaries begin anew.
    pub fn decode(&mut self, coded: &CodedRecords) -> Result<Vec<RelayedObservation>, String> {
        let decoded =
            self.extend(coded).and_then(|()| coded.records.iter().map(|r| self.record(r)).collect());
        if decoded.is_err() {
            *self = Decoder::default();
        }
        decoded
    }

    fn extend(&mut self, coded: &CodedRecords) -> Result<(), String> {
        if coded.known == 0 {
            *self = Decoder::default();
        }
        let known = self.writers.len() + self.names.len();
        if coded.known as usize != known {
            return Err(format!("evidence: {} entries are taken for known, and {known} are", coded.known));
        }
        let (writers, names) =
            (self.writers.len() + coded.writers.len(), self.names.len() + coded.names.len());
        for (of, entries) in [("writers", writers), ("names", names)] {
            if entries > MAX_ENTRIES {
                return Err(format!("evidence: {entries} {of}, more than {MAX_ENTRIES}"));
            }
        }
        self.writers.extend(&coded.writers);
        self.names.extend(&coded.names);
        Ok(())
    }

    fn record(&mut self, record: &CodedRecord) -> Result<RelayedObservation, String> {
        let CodedRecord { writer: at, step, age_ms, endpoint, method, outcome, budget_fraction: part } =
            *record;
        let beyond = |of, at, most| format!("evidence: {of} {at}, and there are {most}");
        let name = |of, at: u8| {
            let known = self.names.get(usize::from(at)).copied();
            known.ok_or_else(|| beyond(of, at, self.names.len()))
        };
        let (endpoint, method) = (name("endpoint", endpoint)?, name("method", method)?);
        let writers = self.writers.len();
        let last = self.writers.get_mut(usize::from(at)).ok_or_else(|| beyond("writer", at, writers))?;
        let sequence = last.sequence.checked_add(step);
        let sequence =
            sequence.ok_or_else(|| format!("evidence: a step of {step} behind {}", last.sequence))?;
        last.sequence = sequence;
        let seen = Observation { sequence, age_ms, endpoint, method, outcome, budget_fraction: part };
        Ok(RelayedObservation { writer: last.writer, incarnation: last.incarnation, observation: seen })
    }
}
