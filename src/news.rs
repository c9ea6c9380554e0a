//! What instances tell one another, as bytes. Nothing is decided here.

use crate::Outcome;

/// Bytes of one piece of news, and most in a message.
const BYTES: usize = 8;
const MOST: usize = 256;
/// Steps in which a part of a budget and a load are told.
const PART_STEPS: f64 = 10_000.0;
const LOAD_STEPS: f64 = 24.0;
/// Outcomes that are told, by their codes; any other that counts is told as the last.
const OUTCOMES: [Outcome; 4] = [Outcome::Success, Outcome::Timeout, Outcome::Overloaded, Outcome::Error];
/// Methods that there are codes for: what ends of another is not told.
const METHODS: usize = 64;
/// The code where no load was reported.
const NO_LOAD: i8 = i8::MIN;

/// An attempt to an endpoint ended after a part of its method's latency budget; the load reported there before
/// was so far off the usual.
///
/// ```
/// use appledyke::{Outcome, news::AttemptReport};
/// let told = AttemptReport { name_hash: 7, method: 2, outcome: Outcome::Timeout, part: 0.25, load: Some(-0.5) };
/// let mut message = Vec::new();
/// told.write(&mut message);
/// AttemptReport { method: 64, ..told }.write(&mut message);
/// assert_eq!(AttemptReport::read(&message).collect::<Vec<_>>(), [told]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    pub name_hash: u32,
    pub method: usize,
    pub outcome: Outcome,
    pub part: f64,
    pub load: Option<f64>,
}

impl AttemptReport {
    /// Adds this to a message; the last gives way in one that is full.
    pub fn write(&self, message: &mut Vec<u8>) {
        // Danger: a code that is cut short would pass for another method's.
        if self.method >= METHODS {
            return;
        }
        message.truncate(MOST - BYTES);
        let code = OUTCOMES.iter().position(|told| *told == self.outcome).unwrap_or(OUTCOMES.len() - 1);
        let load = self.load.map_or(NO_LOAD, |load| ((load * LOAD_STEPS) as i8).max(NO_LOAD + 1));
        message.extend(self.name_hash.to_le_bytes());
        message.push((self.method as u8) << 2 | code as u8);
        message.extend(((self.part * PART_STEPS) as u16).to_le_bytes());
        message.push(load as u8);
    }

    /// What a message says; a piece that is not whole is passed over.
    pub fn read(message: &[u8]) -> impl Iterator<Item = AttemptReport> + '_ {
        message.chunks_exact(BYTES).map(|told| {
            let load = told[7] as i8;
            AttemptReport {
                name_hash: u32::from_le_bytes([told[0], told[1], told[2], told[3]]),
                method: usize::from(told[4] >> 2),
                outcome: OUTCOMES[usize::from(told[4] & 3)],
                part: f64::from(u16::from_le_bytes([told[5], told[6]])) / PART_STEPS,
                load: (load != NO_LOAD).then(|| f64::from(load) / LOAD_STEPS),
            }
        })
    }
}
