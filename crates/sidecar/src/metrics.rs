//! What has happened since the start, counted once each, in the operators' names and in Prometheus' text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use appledyke::{GiveUpReason, Outcome};

/// How a request ended, for its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Rejected,
    Failed,
}

/// Why a request was answered by the sidecar itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnsweredHere {
    /// By decision.
    GiveUpReason(GiveUpReason),
    /// Its body came too slowly.
    SlowRequest,
    /// Its body can't be read.
    BadRequest,
    /// Its client can't be told from one that has left.
    ClientUnseen,
    /// The process leaves, and the time for answers is over.
    Leaving,
}

impl AnsweredHere {
    /// All of them, in the order of their indices.
    fn all() -> impl Iterator<Item = AnsweredHere> {
        let decided = GiveUpReason::ALL.into_iter().map(AnsweredHere::GiveUpReason);
        let others = [
            AnsweredHere::SlowRequest,
            AnsweredHere::BadRequest,
            AnsweredHere::ClientUnseen,
            AnsweredHere::Leaving,
        ];
        decided.chain(others)
    }

    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AnsweredHere::GiveUpReason(reason) => reason.name(),
            AnsweredHere::SlowRequest => "slow_request",
            AnsweredHere::BadRequest => "bad_request",
            AnsweredHere::ClientUnseen => "client_unseen",
            AnsweredHere::Leaving => "leaving",
        }
    }
}

/// The calls to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Discovery {
    /// Calls made, from the start on, and new addresses that configurations have named.
    pub calls: u64,
    pub moves: u64,
    /// Calls and watches that the service turned away, that broke off within a list, and that ended in any other way.
    pub turned_away: u64,
    pub torn: u64,
    pub lost: u64,
    /// The version of the list, and how long ago a list or a heartbeat came, in milliseconds.
    pub version: u64,
    pub silent_ms: u64,
}

/// What is counted by moments, not by events; asked for when the figures are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Requests taken and not ended.
    pub open: usize,
    /// Attempts whose last byte was written, from the start on.
    pub written: u64,
    /// Endpoints in the list, and those of them that are avoided.
    pub listed: usize,
    pub avoided: usize,
    pub discovery: Discovery,
}

#[derive(Default)]
pub struct Figures {
    /// By the method's name, which may be dropped and come back: served, rejected, failed.
    ends: BTreeMap<String, [u64; 3]>,
    /// By outcome: attempts, and of these the ones that a retry followed.
    attempts: [u64; Outcome::ALL.len()],
    retries: [u64; Outcome::ALL.len()],
    /// By name: requests that were answered here.
    answered_here: BTreeMap<&'static str, u64>,
    pub reloads: u64,
    pub reload_errors: u64,
}

/// A name as a label's value.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

impl Figures {
    /// A method that clients may ask for: it stands at nought until they do.
    pub fn offer(&mut self, method: &str) {
        if !self.ends.contains_key(method) {
            self.ends.insert(method.to_string(), [0; 3]);
        }
    }

    pub fn ended(&mut self, method: &str, end: End) {
        self.offer(method);
        self.ends.get_mut(method).expect("just offered")[end as usize] += 1;
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        self.attempts[outcome as usize] += 1;
    }

    /// A retry begins, after one that ended so.
    pub fn retried(&mut self, after: Outcome) {
        self.retries[after as usize] += 1;
    }

    /// A request was answered by the sidecar itself.
    pub fn answered_here(&mut self, why: AnsweredHere) {
        *self.answered_here.entry(why.name()).or_default() += 1;
    }

    /// All figures, a line each.
    pub fn text(&self, now: &Now) -> String {
        let mut text = String::new();
        let mut line = |what: std::fmt::Arguments| writeln!(text, "{what}").expect("a string takes all");
        for (at, name) in ["completed", "rejected", "failed"].into_iter().enumerate() {
            line(format_args!("# TYPE sidecar_{name} counter"));
            for (method, ends) in &self.ends {
                line(format_args!("sidecar_{name}{{lane=\"{}\"}} {}", escaped(method), ends[at]));
            }
        }
        for (name, kind, value) in [
            ("upstream_requests", "counter", now.written),
            ("pending", "gauge", now.open as u64),
            ("members", "gauge", now.listed as u64),
            ("members_unavailable", "gauge", now.avoided as u64),
            ("config_reloads", "counter", self.reloads),
            ("config_reload_errors", "counter", self.reload_errors),
        ] {
            line(format_args!("# TYPE sidecar_{name} {kind}"));
            line(format_args!("sidecar_{name} {value}"));
        }
        for (name, counts) in [("attempts", &self.attempts), ("retries", &self.retries)] {
            line(format_args!("# TYPE sidecar_{name} counter"));
            for outcome in Outcome::ALL {
                let count = counts[outcome as usize];
                line(format_args!("sidecar_{name}{{outcome=\"{}\"}} {count}", outcome.name()));
            }
        }
        line(format_args!("# TYPE sidecar_answered_here counter"));
        for why in AnsweredHere::all().map(AnsweredHere::name) {
            let count = self.answered_here.get(why).copied().unwrap_or_default();
            line(format_args!("sidecar_answered_here{{reason=\"{why}\"}} {count}"));
        }
        let Discovery { calls, moves, turned_away, torn, lost, version, silent_ms } = now.discovery;
        line(format_args!("# TYPE sidecar_discovery_calls_failed counter"));
        for (reason, count) in [("turned_away", turned_away), ("torn", torn), ("lost", lost)] {
            line(format_args!("sidecar_discovery_calls_failed{{reason=\"{reason}\"}} {count}"));
        }
        for (name, kind, value) in [
            ("calls", "counter", calls),
            ("moves", "counter", moves),
            ("version", "gauge", version),
            ("silent_milliseconds", "gauge", silent_ms),
        ] {
            line(format_args!("# TYPE sidecar_discovery_{name} {kind}"));
            line(format_args!("sidecar_discovery_{name} {value}"));
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_counts_once_and_a_method_without_requests_stands_at_nought() {
        let mut figures = Figures::default();
        figures.offer("view");
        figures.ended("odd\"one\\", End::Rejected);
        figures.ended("odd\"one\\", End::Rejected);
        let text = figures.text(&Now { open: 3, written: 7, listed: 2, avoided: 1, ..Now::default() });
        for line in [
            "sidecar_completed{lane=\"view\"} 0",
            "sidecar_rejected{lane=\"odd\\\"one\\\\\"} 2",
            "sidecar_failed{lane=\"odd\\\"one\\\\\"} 0",
            "sidecar_upstream_requests 7",
            "sidecar_pending 3",
            "sidecar_members_unavailable 1",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} in\n{text}");
        }
    }
}
