//! The log, on standard error: sparse, and bounded whatever happens. At the level debug it has lines for each request.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that may be written at once, and in a second from then on: enough to follow an outage by.
const LINES_AT_ONCE: f64 = 40.0;
const LINES_A_SECOND: f64 = 4.0;
/// At the level debug there may be so many times more.
const DEBUG_TIMES: f64 = 1000.0;

struct Allowance {
    /// How many times the usual number of lines may be written.
    times: f64,
    lines: f64,
    at: Instant,
    left_out: u64,
}

struct Logger(Mutex<Allowance>);

impl Allowance {
    fn new(times: f64, at: Instant) -> Allowance {
        Allowance { times, lines: LINES_AT_ONCE * times, at, left_out: 0 }
    }

    /// Whether a line may be written now, and how many were left out before it.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let gained = now.duration_since(std::mem::replace(&mut self.at, now)).as_secs_f64() * LINES_A_SECOND;
        self.lines = (self.lines + gained * self.times).min(LINES_AT_ONCE * self.times);
        if self.lines < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("appledyke")
    }

    fn log(&self, record: &Record) {
        let Ok(mut allowance) = self.0.lock() else { return };
        let Some(left_out) =
            self.enabled(record.metadata()).then(|| allowance.take(Instant::now())).flatten()
        else {
            return;
        };
        // A log that cannot be written must not stop the sidecar.
        let mut err = std::io::stderr().lock();
        if left_out > 0 {
            let _ = writeln!(err, "WARN {left_out} lines left out");
        }
        let _ = writeln!(err, "{} {}", record.level(), record.args());
    }

    fn flush(&self) {}
}

/// The level that the variable `BALANCER_LOG` names: `warn`, `info` or `debug`; without it, info.
pub fn level(name: Option<&str>) -> Result<LevelFilter, String> {
    match name {
        None | Some("" | "info") => Ok(LevelFilter::Info),
        Some("warn") => Ok(LevelFilter::Warn),
        Some("debug") => Ok(LevelFilter::Debug),
        Some(other) => Err(format!("BALANCER_LOG: expected warn, info or debug, not '{other}'")),
    }
}

/// Writes lines of this level and above from now on.
pub fn start(level: LevelFilter) {
    let times = if level == LevelFilter::Debug { DEBUG_TIMES } else { 1.0 };
    let allowance = Allowance::new(times, Instant::now());
    if log::set_boxed_logger(Box::new(Logger(Mutex::new(allowance)))).is_ok() {
        log::set_max_level(level);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    #[test]
    fn a_flood_of_lines_is_left_out_and_counted() {
        let start = Instant::now();
        let mut allowance = Allowance::new(1.0, start);
        let written = (0..1000).filter(|_| allowance.take(start).is_some()).count();
        assert_eq!(written, LINES_AT_ONCE as usize);
        assert_eq!(allowance.take(start + Duration::from_secs(1)), Some(1000 - written as u64));
        let more = (0..1000).filter(|_| allowance.take(start + Duration::from_secs(1)).is_some()).count();
        assert_eq!(more, LINES_A_SECOND as usize - 1);
    }
}
