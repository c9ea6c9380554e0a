//! The scale run: a fleet of real daemons and a dozen real sidecars, filled up with hollow members to the size asked. What each
//! role costs is measured at several sizes, and what the fleet does under faults is judged from outside.

use appledyke::units::Moment;
use rustix::time::{ClockId, clock_gettime};

pub mod children;
pub mod clients;
pub mod faults;
pub mod fit;
pub mod hollow;
pub mod lists;
pub mod machine;
pub mod referee;
pub mod report;
pub mod run;
pub mod scenario;
pub mod shape;
pub mod world;

/// The machine's clock since its start: the same for all processes on it.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Monotonic);
    Moment::from_nanos(time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64)
}
