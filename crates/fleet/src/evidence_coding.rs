//! Dictionary coding of observations over one connection. Both ends build the same dictionaries: a writer with its incarnation,
//! or the hash of an endpoint's or method's name, is sent once, and by its index afterwards.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::evidence::{Observation, RelayedObservation};

/// Maximum number of entries of each dictionary, as an index is one byte. It limits the memory per connection to some 15 KB.
pub const MAX_ENTRIES: usize = 256;
/// Answers after which full dictionaries are rebuilt: they still contain writers that have ended, and sending some 5 KB once
/// in so many answers costs little.
const RESET_AFTER: u32 = 1024;

/// A writer, and the sequence that the steps of its records are added to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Writer {
    pub writer: u32,
    pub incarnation: u64,
    pub sequence: u64,
}

/// An observation that refers to dictionary entries by index.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CodedRecord {
    pub writer: u8,
    /// The difference of its sequence to the writer's previous record.
    pub step: u64,
    pub age_ms: u32,
    pub endpoint: u8,
    pub method: u8,
    pub outcome: u8,
    pub budget_fraction: f32,
}

/// Coded observations, with the dictionary entries that are new to the other end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CodedRecords {
    /// The number of entries of both dictionaries that the other end knows: 0 resets them.
    pub known: u32,
    pub writers: Vec<Writer>,
    /// Hashes of the names of endpoints and methods.
    pub names: Vec<u32>,
    pub records: Vec<CodedRecord>,
}

/// The sending end.
#[derive(Default)]
pub struct Encoder {
    /// The latest entry of each writer, by the hash of its name.
    writers: BTreeMap<u32, (u8, Writer)>,
    entries: usize,
    names: BTreeMap<u32, u8>,
    answers: u32,
    full: bool,
}

impl Encoder {
    /// Resets the dictionaries with the next answer, as the other end may have lost its own.
    pub fn reset(&mut self) {
        *self = Encoder::default();
    }

    /// Codes the observations of an answer, up to the first for which the dictionaries have no room. Returns the rest too, which
    /// is sent uncoded after these.
    pub fn encode(&mut self, mut passed: Vec<RelayedObservation>) -> (CodedRecords, Vec<RelayedObservation>) {
        if self.full && self.answers >= RESET_AFTER {
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
        let (index, step) = match last
            .and_then(|(index, last)| Some((index, seen.sequence.checked_sub(last.sequence)?, last)))
        {
            Some((index, step, last)) => {
                last.sequence = seen.sequence;
                (*index, step)
            }
            None => {
                let index = u8::try_from(self.entries).ok()?;
                let entry = Writer { writer, incarnation, sequence: seen.sequence };
                self.writers.insert(writer, (index, entry));
                self.entries += 1;
                coded.writers.push(entry);
                (index, 0)
            }
        };
        let Observation { age_ms, outcome, budget_fraction, .. } = seen;
        Some(CodedRecord { writer: index, step, age_ms, endpoint, method, outcome, budget_fraction })
    }

    fn name(&mut self, hash: u32, coded: &mut CodedRecords) -> Option<u8> {
        if let Some(index) = self.names.get(&hash) {
            return Some(*index);
        }
        let index = u8::try_from(self.names.len()).ok()?;
        self.names.insert(hash, index);
        coded.names.push(hash);
        Some(index)
    }
}

/// The receiving end.
#[derive(Default)]
pub struct Decoder {
    writers: Vec<Writer>,
    names: Vec<u32>,
}

impl Decoder {
    /// Decodes the observations of an answer.
    ///
    /// # Errors
    /// A description of the error: then nothing is decoded, and the dictionaries are unusable until they are reset.
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
        let CodedRecord { writer: index, step, age_ms, endpoint, method, outcome, budget_fraction } = *record;
        let beyond = |of, index, most| format!("evidence: {of} {index}, and there are {most}");
        let name = |of, index: u8| {
            let known = self.names.get(usize::from(index)).copied();
            known.ok_or_else(|| beyond(of, index, self.names.len()))
        };
        let (endpoint, method) = (name("endpoint", endpoint)?, name("method", method)?);
        let writers = self.writers.len();
        let last =
            self.writers.get_mut(usize::from(index)).ok_or_else(|| beyond("writer", index, writers))?;
        let sequence = last.sequence.checked_add(step);
        let sequence =
            sequence.ok_or_else(|| format!("evidence: a step of {step} behind {}", last.sequence))?;
        last.sequence = sequence;
        let seen = Observation { sequence, age_ms, endpoint, method, outcome, budget_fraction };
        Ok(RelayedObservation { writer: last.writer, incarnation: last.incarnation, observation: seen })
    }
}
