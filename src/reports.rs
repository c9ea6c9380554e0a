//! Reports of attempts between instances, and their encoding. Nothing is decided here.

use crate::Outcome;

/// Bytes of one report.
const REPORT_BYTES: usize = 8;
/// Most bytes of a message.
const MESSAGE_BYTES_MAX: usize = 256;
/// Steps in which a part of the latency budget is encoded.
const PART_STEPS: f64 = 10_000.0;
/// Steps in which a load is encoded.
const LOAD_STEPS: f64 = 24.0;
/// Outcomes by their codes; any other that is reported has the last code.
const OUTCOMES: [Outcome; 4] = [Outcome::Success, Outcome::Timeout, Outcome::Overloaded, Outcome::Error];
/// Number of methods that have codes; attempts of others are not reported.
const METHODS_MAX: usize = 64;
/// The code for no reported load.
const NO_LOAD: i8 = i8::MIN;

/// How an attempt at an endpoint ended.
///
/// ```
/// use appledyke::{Outcome, reports::AttemptReport};
/// let report = AttemptReport { name_hash: 7, method: 2, outcome: Outcome::Timeout, part: 0.25, load: Some(-0.5) };
/// let mut message = Vec::new();
/// report.write(&mut message);
/// AttemptReport { method: 64, ..report }.write(&mut message);
/// assert_eq!(AttemptReport::read(&message).collect::<Vec<_>>(), [report]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// Hash of the endpoint's name.
    pub name_hash: u32,
    pub method: usize,
    pub outcome: Outcome,
    /// Its latency as a part of the method's latency budget.
    pub part: f64,
    /// Relative difference between the load that the endpoint reported before and the usual load.
    pub load: Option<f64>,
}

impl AttemptReport {
    /// Appends the report to a message; in a full message it replaces the last one.
    pub fn write(&self, message: &mut Vec<u8>) {
        // Danger: a truncated code would be read as that of another method.
        if self.method >= METHODS_MAX {
            return;
        }
        message.truncate(MESSAGE_BYTES_MAX - REPORT_BYTES);
        let code = OUTCOMES.iter().position(|outcome| *outcome == self.outcome).unwrap_or(OUTCOMES.len() - 1);
        let load = self.load.map_or(NO_LOAD, |load| ((load * LOAD_STEPS) as i8).max(NO_LOAD + 1));
        message.extend(self.name_hash.to_le_bytes());
        message.push((self.method as u8) << 2 | code as u8);
        message.extend(((self.part * PART_STEPS) as u16).to_le_bytes());
        message.push(load as u8);
    }

    /// The reports in a message; an incomplete one at the end is ignored.
    pub fn read(message: &[u8]) -> impl Iterator<Item = AttemptReport> + '_ {
        message.chunks_exact(REPORT_BYTES).map(|bytes| {
            let load = bytes[7] as i8;
            AttemptReport {
                name_hash: u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]),
                method: usize::from(bytes[4] >> 2),
                outcome: OUTCOMES[usize::from(bytes[4] & 3)],
                part: f64::from(u16::from_le_bytes([bytes[5], bytes[6]])) / PART_STEPS,
                load: (load != NO_LOAD).then(|| f64::from(load) / LOAD_STEPS),
            }
        })
    }
}
