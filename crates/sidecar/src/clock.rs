//! The process's clock, and how its moments are passed to other processes of the machine.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use appledyke::units::Moment;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts at the machine's wall-clock time, as the endpoint list gives start times in that.
pub struct Clock {
    start: Instant,
    unix: Duration,
    /// The machine's monotonic clock at the start.
    machine: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            machine: machine_time(),
        }
    }

    pub fn now(&self) -> Moment {
        Moment::from_nanos((self.unix + self.start.elapsed()).as_nanos() as u64)
    }

    /// A moment on the machine's monotonic clock, in nanoseconds. Danger: moments of two processes can't be compared, as the
    /// wall clock may have been stepped between their starts.
    pub fn to_machine_nanos(&self, moment: Moment) -> u64 {
        (u128::from(moment.nanos()) + self.machine.as_nanos()).saturating_sub(self.unix.as_nanos()) as u64
    }

    /// The moment of this process at which the machine's monotonic clock showed that many nanoseconds.
    pub fn from_machine_nanos(&self, nanos: u64) -> Moment {
        let moment = (u128::from(nanos) + self.unix.as_nanos()).saturating_sub(self.machine.as_nanos());
        Moment::from_nanos(u64::try_from(moment).unwrap_or(u64::MAX))
    }
}

/// The time on the machine's monotonic clock, which is one for all processes since the machine was started.
fn machine_time() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}
