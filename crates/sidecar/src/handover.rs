//! How the latest attempts of a process have ended, for another process at the same address: during an upgrade the
//! new one would meet again what the old one knows to avoid.

use std::collections::VecDeque;
use std::fmt::Write;

use appledyke::Outcome;
use appledyke::units::{Moment, Span};
use appledyke_fleet::evidence::{outcome_code, outcome_from_code};

/// The first line of the file: its kind and version.
const HEAD: &str = "appledyke handover 1";
/// Attempts that are kept, and for how long: what is older has mostly faded with those who heard it.
const MOST: usize = 256;
const KEPT: Span = Span::from_millis(8000);
/// How an attempt ended: endpoint and method by the marks of their names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    pub at: Moment,
    pub endpoint: u32,
    pub method: u32,
    pub outcome: Outcome,
    /// The time it took, as a part of its method's latency budget.
    pub part: f64,
}

/// The latest.
#[derive(Default)]
pub struct Latest {
    ends: VecDeque<Ended>,
    /// Up to when another's were heard.
    heard: Option<Moment>,
}

impl Latest {
    pub fn book(&mut self, ended: Ended) {
        if outcome_code(ended.outcome).is_some() {
            self.ends.push_back(ended);
            if self.ends.len() > MOST {
                self.ends.pop_front();
            }
        }
    }

    /// As another process is to read it.
    pub fn text(&mut self, now: Moment) -> String {
        while self.ends.front().is_some_and(|ended| now.since(ended.at) > KEPT) {
            self.ends.pop_front();
        }
        let mut text = format!("{HEAD}\n");
        for Ended { at, endpoint, method, outcome, part } in &self.ends {
            let code = outcome_code(*outcome).unwrap_or_default();
            let line = writeln!(text, "{} {endpoint:08x} {method:08x} {code} {part}", at.nanos());
            line.expect("a string takes all");
        }
        text
    }

    /// What another process has written and this one has not heard yet. Danger: the other may be of another version,
    /// or the file be cut short, so what does not read well counts for nothing.
    pub fn hear(&mut self, text: &str, now: Moment) -> Vec<Ended> {
        let mut lines = text.split_inclusive('\n');
        if lines.next().map(str::trim_end) != Some(HEAD) {
            return Vec::new();
        }
        let whole = lines.filter_map(|line| read(line.strip_suffix('\n')?));
        let heard = self.heard;
        let new = |ended: &Ended| {
            heard.is_none_or(|heard| ended.at > heard) && ended.at <= now && now.since(ended.at) <= KEPT
        };
        let news: Vec<_> = whole.filter(new).collect();
        self.heard = news.iter().map(|ended| ended.at).max().max(heard);
        news
    }
}

fn read(line: &str) -> Option<Ended> {
    let mut words = line.split(' ');
    let at = Moment::from_nanos(words.next()?.parse().ok()?);
    let endpoint = u32::from_str_radix(words.next()?, 16).ok()?;
    let method = u32::from_str_radix(words.next()?, 16).ok()?;
    let outcome = outcome_from_code(words.next()?.parse().ok()?)?;
    let part = words.next()?.parse().ok().filter(|part: &f64| part.is_finite() && *part >= 0.0)?;
    words.next().is_none().then_some(Ended { at, endpoint, method, outcome, part })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn ended(ms: u64, outcome: Outcome) -> Ended {
        Ended { at: at(ms), endpoint: 0xab, method: 7, outcome, part: 0.25 }
    }

    #[test]
    fn each_end_is_heard_once_while_it_is_fresh() {
        let (mut old, mut new) = (Latest::default(), Latest::default());
        old.book(ended(1000, Outcome::Reset));
        old.book(ended(8000, Outcome::Success));
        // It says nothing of the endpoint.
        old.book(ended(8500, Outcome::Cancelled));
        assert_eq!(
            new.hear(&old.text(at(8900)), at(9000)),
            [ended(1000, Outcome::Reset), ended(8000, Outcome::Success)]
        );
        old.book(ended(9500, Outcome::Timeout));
        assert_eq!(new.hear(&old.text(at(9600)), at(9700)), [ended(9500, Outcome::Timeout)]);
        assert_eq!(new.hear(&old.text(at(9600)), at(9800)), []);
        // A process that was not there to hear it has nothing of long ago.
        assert_eq!(
            Latest::default().hear(&old.text(at(17_000)), at(17_000)),
            [ended(9500, Outcome::Timeout)]
        );
        (0..1000).for_each(|ms| old.book(ended(20_000 + ms, Outcome::Error)));
        assert_eq!(old.text(at(21_000)).lines().count(), 1 + MOST);
    }

    #[test]
    fn a_file_that_is_damaged_or_of_another_version_is_passed_over() {
        let mut old = Latest::default();
        (0..4).for_each(|ms| old.book(ended(1000 + ms, Outcome::Error)));
        let text = old.text(at(1100));
        for cut in 0..text.len() {
            let heard = Latest::default().hear(&text[..cut], at(1100));
            assert!(heard.iter().all(|heard| heard.outcome == Outcome::Error && heard.part == 0.25), "{cut}");
            assert_eq!(heard.len(), text[..cut].matches('\n').count().saturating_sub(1), "{cut}");
        }
        for other in ["", "appledyke handover 2\n", "1000 ab 7 0 0.5\n"] {
            assert_eq!(Latest::default().hear(&text.replacen(&format!("{HEAD}\n"), other, 1), at(1100)), []);
        }
        for line in [
            "1000000000 ab 7 9 0.5",
            "1000000000 ab 7 0 inf",
            "1000000000 ab 7 0 -1",
            "1 2 3",
            "1000000000 ab 7 0 1 1",
            "x",
        ] {
            assert_eq!(Latest::default().hear(&format!("{HEAD}\n{line}\n"), at(1100)), [], "{line}");
        }
        // Not from a clock that runs ahead.
        assert_eq!(Latest::default().hear(&text, at(900)), []);
    }
}
