//! What a process tells the other processes at the same address: the outcomes of its recent attempts, and until when its
//! endpoint list may be used. Without this, a new process in a hot restart would learn again from failures
//! what the old one already avoids, and reject requests until service discovery has answered it.

use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddr;

use appledyke::Outcome;
use appledyke::ids;
use appledyke::list_lease::SharedLease;
use appledyke::units::{Moment, Span};
use appledyke_fleet::evidence::{outcome_code, outcome_from_code};

use crate::clock::Clock;

/// First line of the file: its format and version.
const HEADER: &str = "appledyke handover 1";
/// Format and version of the file about the endpoint list, its size, and what stands there for no time.
const LEASE: &str = "appledyke lease 1";
const LEASE_BYTES: usize = 128;
const NO_TIME: &str = "-";
/// How many attempts are kept, and for how long: older ones hardly count any more in the process that observed them.
const MAX_RECORDS: usize = 256;
const MAX_AGE: Span = Span::from_millis(8000);

/// What a process states of the list in its file, which follows discovery at this address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatement {
    pub discovery: SocketAddr,
    pub lease: SharedLease,
}

impl LeaseStatement {
    /// Encodes it as the whole of a file, always in the same number of bytes. Danger: a file that is replaced or cut may make
    /// its writer wait for the disk, and all requests with it; this one is written over in place.
    pub fn encode(&self, clock: &Clock) -> Vec<u8> {
        let time =
            |at: Option<Moment>| at.map_or(NO_TIME.to_string(), |at| clock.to_machine_nanos(at).to_string());
        let SharedLease { current_at, waiting_since } = self.lease;
        let text = format!("{LEASE} {} {} {}", self.discovery, time(current_at), time(waiting_since));
        let line = format!("{text} {:08x}", ids::name_hash(&text));
        format!("{line:<LEASE_BYTES$}").into_bytes()
    }

    /// Decodes another process's file; `None` if it has none, or was read while it was written.
    pub fn decode(text: &[u8], clock: &Clock) -> Option<LeaseStatement> {
        let (text, check) = std::str::from_utf8(text).ok()?.trim_end().rsplit_once(' ')?;
        if u32::from_str_radix(check, 16).ok()? != ids::name_hash(text) {
            return None;
        }
        let mut words = text.strip_prefix(LEASE)?.split_whitespace();
        let discovery = words.next()?.parse().ok()?;
        let mut time = || match words.next()? {
            NO_TIME => Some(None),
            nanos => Some(Some(clock.from_machine_nanos(nanos.parse().ok()?))),
        };
        let lease = SharedLease { current_at: time()?, waiting_since: time()? };
        Some(LeaseStatement { discovery, lease })
    }
}

/// An attempt's outcome, with endpoint and method identified by their name hashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    pub at: Moment,
    pub endpoint: u32,
    pub method: u32,
    pub outcome: Outcome,
    /// Its duration as a fraction of its method's latency budget.
    pub budget_fraction: f64,
}

/// The recent attempts of this process, and how far those of other processes were read.
#[derive(Default)]
pub struct RecentAttempts {
    attempts: VecDeque<AttemptRecord>,
    /// Latest time among the attempts read from other processes.
    read_until: Option<Moment>,
}

impl RecentAttempts {
    pub fn record(&mut self, attempt: AttemptRecord) {
        if outcome_code(attempt.outcome).is_some() {
            self.attempts.push_back(attempt);
            if self.attempts.len() > MAX_RECORDS {
                self.attempts.pop_front();
            }
        }
    }

    /// Encodes the attempts for other processes.
    pub fn encode(&mut self, now: Moment) -> String {
        while self.attempts.front().is_some_and(|attempt| now.since(attempt.at) > MAX_AGE) {
            self.attempts.pop_front();
        }
        let mut text = format!("{HEADER}\n");
        for AttemptRecord { at, endpoint, method, outcome, budget_fraction } in &self.attempts {
            let code = outcome_code(*outcome).unwrap_or_default();
            let line = writeln!(text, "{} {endpoint:08x} {method:08x} {code} {budget_fraction}", at.nanos());
            line.expect("a string takes all");
        }
        text
    }

    /// Decodes what another process has written, without the attempts read before. Danger: the other process may have
    /// another version, or the file may be truncated, so lines that cannot be decoded are ignored.
    pub fn decode_new(&mut self, text: &str, now: Moment) -> Vec<AttemptRecord> {
        let mut lines = text.split_inclusive('\n');
        if lines.next().map(str::trim_end) != Some(HEADER) {
            return Vec::new();
        }
        let records = lines.filter_map(|line| decode_line(line.strip_suffix('\n')?));
        let read_until = self.read_until;
        let new = |attempt: &AttemptRecord| {
            read_until.is_none_or(|until| attempt.at > until)
                && attempt.at <= now
                && now.since(attempt.at) <= MAX_AGE
        };
        let unread: Vec<_> = records.filter(new).collect();
        self.read_until = unread.iter().map(|attempt| attempt.at).max().max(read_until);
        unread
    }
}

fn decode_line(line: &str) -> Option<AttemptRecord> {
    let mut words = line.split(' ');
    let at = Moment::from_nanos(words.next()?.parse().ok()?);
    let endpoint = u32::from_str_radix(words.next()?, 16).ok()?;
    let method = u32::from_str_radix(words.next()?, 16).ok()?;
    let outcome = outcome_from_code(words.next()?.parse().ok()?)?;
    let budget_fraction = words
        .next()?
        .parse()
        .ok()
        .filter(|budget_fraction: &f64| budget_fraction.is_finite() && *budget_fraction >= 0.0)?;
    words.next().is_none().then_some(AttemptRecord { at, endpoint, method, outcome, budget_fraction })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn attempt(ms: u64, outcome: Outcome) -> AttemptRecord {
        AttemptRecord { at: at(ms), endpoint: 0xab, method: 7, outcome, budget_fraction: 0.25 }
    }

    #[test]
    fn each_end_is_heard_once_while_it_is_fresh() {
        let (mut old, mut new) = (RecentAttempts::default(), RecentAttempts::default());
        old.record(attempt(1000, Outcome::Reset));
        old.record(attempt(8000, Outcome::Success));
        // A cancelled attempt says nothing about the endpoint.
        old.record(attempt(8500, Outcome::Cancelled));
        assert_eq!(
            new.decode_new(&old.encode(at(8900)), at(9000)),
            [attempt(1000, Outcome::Reset), attempt(8000, Outcome::Success)]
        );
        old.record(attempt(9500, Outcome::Timeout));
        assert_eq!(new.decode_new(&old.encode(at(9600)), at(9700)), [attempt(9500, Outcome::Timeout)]);
        assert_eq!(new.decode_new(&old.encode(at(9600)), at(9800)), []);
        // A process that reads for the first time does not get expired attempts.
        assert_eq!(
            RecentAttempts::default().decode_new(&old.encode(at(17_000)), at(17_000)),
            [attempt(9500, Outcome::Timeout)]
        );
        (0..1000).for_each(|ms| old.record(attempt(20_000 + ms, Outcome::Error)));
        assert_eq!(old.encode(at(21_000)).lines().count(), 1 + MAX_RECORDS);
    }

    #[test]
    fn a_file_that_is_damaged_or_of_another_version_is_passed_over() {
        let mut old = RecentAttempts::default();
        (0..4).for_each(|ms| old.record(attempt(1000 + ms, Outcome::Error)));
        let text = old.encode(at(1100));
        for cut in 0..text.len() {
            let heard = RecentAttempts::default().decode_new(&text[..cut], at(1100));
            assert!(
                heard.iter().all(|heard| heard.outcome == Outcome::Error && heard.budget_fraction == 0.25),
                "{cut}"
            );
            assert_eq!(heard.len(), text[..cut].matches('\n').count().saturating_sub(1), "{cut}");
        }
        for other in ["", "appledyke handover 2\n", "1000 ab 7 0 0.5\n"] {
            assert_eq!(
                RecentAttempts::default()
                    .decode_new(&text.replacen(&format!("{HEADER}\n"), other, 1), at(1100)),
                []
            );
        }
        for line in [
            "1000000000 ab 7 9 0.5",
            "1000000000 ab 7 0 inf",
            "1000000000 ab 7 0 -1",
            "1 2 3",
            "1000000000 ab 7 0 1 1",
            "x",
        ] {
            assert_eq!(
                RecentAttempts::default().decode_new(&format!("{HEADER}\n{line}\n"), at(1100)),
                [],
                "{line}"
            );
        }
        // Attempts from a clock that is ahead are ignored.
        assert_eq!(RecentAttempts::default().decode_new(&text, at(900)), []);
    }
}
