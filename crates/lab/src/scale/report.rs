//! What a scale run came to, as text.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::run::{Played, Row};

fn mean(rows: &[&Row], of: impl Fn(&Row) -> f64) -> f64 {
    rows.iter().map(|row| of(row)).sum::<f64>() / rows.len().max(1) as f64
}

/// Tables of all that was measured.
pub fn text(played: &Played) -> String {
    let mut text = String::new();
    let mut put = |line: String| writeln!(text, "{line}").expect("a string takes all");
    put(format!(
        "{:<16} {:<22} {:>5} {:>9} {:>8} {:>8} {:>11} {:>11} {:>9} {:>9}",
        "phase", "role", "size", "cores", "rss MB", "hwm MB", "bytes in/s", "bytes out/s", "msg in/s", "msg out/s"
    ));
    let mut groups: BTreeMap<(&str, &str, usize), Vec<&Row>> = BTreeMap::new();
    for row in &played.rows {
        groups.entry((&row.phase, &row.role, row.size)).or_default().push(row);
    }
    for ((phase, role, size), rows) in &groups {
        put(format!(
            "{phase:<16} {role:<22} {size:>5} {:>9.5} {:>8.2} {:>8.2} {:>11.0} {:>11.0} {:>9.1} {:>9.1}",
            mean(rows, |row| row.cores),
            mean(rows, |row| row.rss_mb),
            mean(rows, |row| row.hwm_mb),
            mean(rows, |row| row.bytes_in),
            mean(rows, |row| row.bytes_out),
            mean(rows, |row| row.messages_in),
            mean(rows, |row| row.messages_out)
        ));
    }
    for c in &played.changes {
        put(format!(
            "change of {} bytes at {} (round {}): put {:.0} ms; in force after {:.0} ms (p50), {:.0} (p99), {:.0} (last), real {:.0}, {} missing; leader's wire {:.2} MB to members, {:.2} MB to daemons",
            c.bytes,
            c.size,
            c.round,
            c.put_ms,
            c.p50_ms,
            c.p99_ms,
            c.last_ms,
            c.real_last_ms,
            c.missing,
            c.leader_member_bytes as f64 / 1e6,
            c.leader_daemon_bytes as f64 / 1e6
        ));
    }
    for e in &played.evidence {
        put(format!(
            "evidence at {} (round {}), {} a beat: {:.0} booked a second, {:.1} heard a member a second: {:.4} of all, {:.4} of its own service's",
            e.size, e.round, e.each, e.booked_a_second, e.heard_a_member_a_second, e.share_all, e.share_own
        ));
    }
    for l in &played.lateness {
        put(format!(
            "hollow at {} (round {}): {} beats, {} late, worst up to {:.1} ms, p99 up to {:.1} ms, longest turn lately {:.1} ms",
            l.size, l.round, l.beats, l.late, l.worst_ms, l.p99_ms, l.turn_worst_ms
        ));
    }
    for row in played.sums.iter().chain(&played.requests) {
        put(row.to_string());
    }
    played.void.iter().for_each(|what| put(format!("VOID {what}")));
    played.broken.iter().for_each(|what| put(format!("BROKEN {what}")));
    text
}
