//! Logging to standard error, rate-limited in all cases. At level debug there are lines for each request.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use log::{LevelFilter, Log, Metadata, Record};

/// Burst size in lines, and lines per second after that: enough to follow an outage.
const BURST_LINES: f64 = 40.0;
const LINES_PER_SECOND: f64 = 4.0;
/// Factor by which the limits are higher at level debug.
const DEBUG_FACTOR: f64 = 1000.0;

struct RateLimiter {
    /// Factor on the usual limits.
    factor: f64,
    lines: f64,
    updated: Instant,
    dropped: u64,
}

struct Logger(Mutex<RateLimiter>);

impl RateLimiter {
    fn new(factor: f64, now: Instant) -> RateLimiter {
        RateLimiter { factor, lines: BURST_LINES * factor, updated: now, dropped: 0 }
    }

    /// Returns whether a line may be written now and, if so, how many were dropped before it.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let refill =
            now.duration_since(std::mem::replace(&mut self.updated, now)).as_secs_f64() * LINES_PER_SECOND;
        self.lines = (self.lines + refill * self.factor).min(BURST_LINES * self.factor);
        if self.lines < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("appledyke")
    }

    fn log(&self, record: &Record) {
        let Ok(mut limiter) = self.0.lock() else { return };
        let Some(dropped) = self.enabled(record.metadata()).then(|| limiter.take(Instant::now())).flatten()
        else {
            return;
        };
        // A log that cannot be written must not stop the sidecar.
        let mut err = std::io::stderr().lock();
        if dropped > 0 {
            let _ = writeln!(err, "WARN {dropped} lines dropped by the rate limit");
        }
        let _ = writeln!(err, "{} {}", record.level(), record.args());
    }

    fn flush(&self) {}
}

/// Parses the value of `BALANCER_LOG`: `warn`, `info` or `debug`; defaults to info.
pub fn level(name: Option<&str>) -> Result<LevelFilter, String> {
    match name {
        None | Some("" | "info") => Ok(LevelFilter::Info),
        Some("warn") => Ok(LevelFilter::Warn),
        Some("debug") => Ok(LevelFilter::Debug),
        Some(other) => Err(format!("BALANCER_LOG: expected warn, info or debug, not '{other}'")),
    }
}

/// Installs the logger with this level.
pub fn start(level: LevelFilter) {
    let factor = if level == LevelFilter::Debug { DEBUG_FACTOR } else { 1.0 };
    let limiter = RateLimiter::new(factor, Instant::now());
    if log::set_boxed_logger(Box::new(Logger(Mutex::new(limiter)))).is_ok() {
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
        let mut limiter = RateLimiter::new(1.0, start);
        let written = (0..1000).filter(|_| limiter.take(start).is_some()).count();
        assert_eq!(written, BURST_LINES as usize);
        assert_eq!(limiter.take(start + Duration::from_secs(1)), Some(1000 - written as u64));
        let more = (0..1000).filter(|_| limiter.take(start + Duration::from_secs(1)).is_some()).count();
        assert_eq!(more, LINES_PER_SECOND as usize - 1);
    }
}
