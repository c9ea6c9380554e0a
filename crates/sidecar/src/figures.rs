//! What has happened since the start, counted once each, in the operators' names and in Prometheus' text format.

use std::collections::BTreeMap;
use std::fmt::Write;

/// How a req ended, for its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Satisfied,
    Nacked,
    Failed,
}

/// What is counted by moments, not by events; asked for when the figures are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Reqs taken and not ended.
    pub open: usize,
    /// Write-outs whose last byte was written, from the start on.
    pub written: u64,
    /// Endpoints in the list, and those of them that are avoided.
    pub listed: usize,
    pub avoided: usize,
}

#[derive(Default)]
pub struct Figures {
    /// By the method's name, which may be dropped and come back: satisfied, nacked, failed.
    ends: BTreeMap<String, [u64; 3]>,
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

    /// All figures, a line each.
    pub fn text(&self, now: Now) -> String {
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
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_counts_once_and_a_method_without_reqs_stands_at_nought() {
        let mut figures = Figures::default();
        figures.offer("view");
        figures.ended("odd\"one\\", End::Nacked);
        figures.ended("odd\"one\\", End::Nacked);
        let text = figures.text(Now { open: 3, written: 7, listed: 2, avoided: 1 });
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
