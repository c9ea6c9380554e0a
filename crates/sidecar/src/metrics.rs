//! Counters since the start and current gauges, in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use appledyke::{GiveUpReason, Outcome};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Served,
    Rejected,
    Failed,
}

/// Why the sidecar answered a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnsweredHere {
    /// By a decision of the balancer.
    GiveUpReason(GiveUpReason),
    /// The request body arrived too slowly.
    SlowRequest,
    /// The request body is malformed.
    BadRequest,
    /// It cannot be determined whether the client is still connected.
    ClientUnseen,
    /// The process is shutting down, and the time for responses is over.
    Leaving,
}

impl AnsweredHere {
    /// All reasons, in the order of the metrics.
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

    /// The reason's name in logs and metrics.
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

/// Why a streamed response was aborted before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamAbort {
    /// Its endpoint sent nothing for too long.
    EndpointSilent,
    /// Its endpoint closed or reset the connection.
    EndpointClosed,
    /// Its framing is invalid, or it is too long.
    InvalidFraming,
    /// Its client disconnected.
    ClientDisconnected,
}

impl StreamAbort {
    const ALL: [StreamAbort; 4] = [
        StreamAbort::EndpointSilent,
        StreamAbort::EndpointClosed,
        StreamAbort::InvalidFraming,
        StreamAbort::ClientDisconnected,
    ];

    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StreamAbort::EndpointSilent => "endpoint_silent",
            StreamAbort::EndpointClosed => "endpoint_closed",
            StreamAbort::InvalidFraming => "invalid_framing",
            StreamAbort::ClientDisconnected => "client_disconnected",
        }
    }
}

/// Metrics of the calls to service discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryMetrics {
    /// Calls made since the start, and address changes by reloaded configurations.
    pub calls: u64,
    pub moves: u64,
    /// Calls and watches that the service rejected, that ended in the middle of a list, and that failed in any other
    /// way.
    pub turned_away: u64,
    pub truncated: u64,
    pub lost: u64,
    /// The version of the list, and the milliseconds since the last list or heartbeat.
    pub version: u64,
    pub silent_ms: u64,
}

/// Values sampled when the metrics are read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sampled {
    /// Requests accepted and not ended.
    pub open: usize,
    /// Attempts written completely since the start.
    pub written: u64,
    /// Endpoints in the list, and how many of them are avoided.
    pub listed: usize,
    pub avoided: usize,
    /// Responses that the sidecar wrote without passing the request to the balancer, by status.
    pub direct_responses: BTreeMap<u16, u64>,
    pub discovery: DiscoveryMetrics,
}

#[derive(Default)]
pub struct Metrics {
    /// Requests served, rejected and failed, by method name: a reload may drop a method and a later one add it again.
    requests: BTreeMap<String, [u64; 3]>,
    /// Attempts by outcome, and those of them that a retry followed.
    attempts: [u64; Outcome::ALL.len()],
    retries: [u64; Outcome::ALL.len()],
    /// Attempts of which part of a response had arrived when they ended without one, by outcome.
    partial_responses: [u64; Outcome::ALL.len()],
    /// Requests answered by the sidecar itself, by reason.
    answered_here: BTreeMap<&'static str, u64>,
    /// Streamed responses that were aborted, by reason.
    aborted_streams: [u64; StreamAbort::ALL.len()],
    /// The longest turn of the event loop since the start, in milliseconds.
    pub longest_turn_ms: u64,
    pub reloads: u64,
    pub reload_errors: u64,
}

/// Escapes a name for use as a label value.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

impl Metrics {
    /// Registers a method, whose counters start at zero.
    pub fn register(&mut self, method: &str) {
        if !self.requests.contains_key(method) {
            self.requests.insert(method.to_string(), [0; 3]);
        }
    }

    pub fn count_request(&mut self, method: &str, end: RequestEnd) {
        self.register(method);
        self.requests.get_mut(method).expect("just registered")[end as usize] += 1;
    }

    /// Counts an attempt by outcome.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        self.attempts[outcome as usize] += 1;
    }

    /// Counts a retry by the outcome of the attempt before it.
    pub fn count_retry(&mut self, after: Outcome) {
        self.retries[after as usize] += 1;
    }

    /// Counts an attempt of which part of a response had arrived when it ended without one.
    pub fn count_partial_response(&mut self, outcome: Outcome) {
        self.partial_responses[outcome as usize] += 1;
    }

    /// Counts a request that the sidecar answered itself.
    pub fn count_answered_here(&mut self, why: AnsweredHere) {
        *self.answered_here.entry(why.name()).or_default() += 1;
    }

    /// Counts a streamed response that was aborted before its end.
    pub fn count_aborted_stream(&mut self, why: StreamAbort) {
        self.aborted_streams[why as usize] += 1;
    }

    /// Renders all metrics as text.
    pub fn render(&self, sampled: &Sampled) -> String {
        let mut text = String::new();
        let mut line = |what: std::fmt::Arguments| writeln!(text, "{what}").expect("a string takes all");
        for (at, name) in ["completed", "rejected", "failed"].into_iter().enumerate() {
            line(format_args!("# TYPE sidecar_{name} counter"));
            for (method, ends) in &self.requests {
                line(format_args!("sidecar_{name}{{lane=\"{}\"}} {}", escaped(method), ends[at]));
            }
        }
        for (name, kind, value) in [
            ("upstream_requests", "counter", sampled.written),
            ("pending", "gauge", sampled.open as u64),
            ("members", "gauge", sampled.listed as u64),
            ("members_unavailable", "gauge", sampled.avoided as u64),
            ("config_reloads", "counter", self.reloads),
            ("config_reload_errors", "counter", self.reload_errors),
            ("longest_turn_milliseconds", "gauge", self.longest_turn_ms),
        ] {
            line(format_args!("# TYPE sidecar_{name} {kind}"));
            line(format_args!("sidecar_{name} {value}"));
        }
        for (name, counts) in [
            ("attempts", &self.attempts),
            ("retries", &self.retries),
            ("partial_responses", &self.partial_responses),
        ] {
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
        line(format_args!("# TYPE sidecar_aborted_streams counter"));
        for why in StreamAbort::ALL {
            let count = self.aborted_streams[why as usize];
            line(format_args!("sidecar_aborted_streams{{reason=\"{}\"}} {count}", why.name()));
        }
        line(format_args!("# TYPE sidecar_direct_responses counter"));
        for (status, count) in &sampled.direct_responses {
            line(format_args!("sidecar_direct_responses{{status=\"{status}\"}} {count}"));
        }
        let DiscoveryMetrics { calls, moves, turned_away, truncated, lost, version, silent_ms } =
            sampled.discovery;
        line(format_args!("# TYPE sidecar_discovery_calls_failed counter"));
        for (reason, count) in [("turned_away", turned_away), ("torn", truncated), ("lost", lost)] {
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
        let mut metrics = Metrics::default();
        metrics.register("view");
        metrics.count_request("odd\"one\\", RequestEnd::Rejected);
        metrics.count_request("odd\"one\\", RequestEnd::Rejected);
        let text =
            metrics.render(&Sampled { open: 3, written: 7, listed: 2, avoided: 1, ..Sampled::default() });
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
