//! The record of what the fakes of a run observed, on one monotonic clock.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Which retries the requests of a class allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// It may be retried and rejected freely.
    Safe,
    /// It carries an idempotency key, which the endpoints of a group remember for a limited time.
    Keyed,
    /// It may run at most once.
    Unsafe,
}

impl Effect {
    pub const ALL: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

    /// The name of the class that has this effect.
    pub fn class(self) -> &'static str {
        match self {
            Effect::Safe => "read",
            Effect::Keyed => "save",
            Effect::Unsafe => "order",
        }
    }
}

/// The outcome of a request for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response with this status and body.
    Answered { status: u16, body: String },
    /// The connection closed before a complete response, after part of one or none.
    Closed { partial: bool },
    /// The client disconnected on its own.
    Disconnected,
    /// No response came while the client waited.
    NoAnswer,
}

/// A request as its client observed it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub sidecar: usize,
    pub effect: Effect,
    /// When its last byte was written, and the client's timeout from then on.
    pub sent_at: Duration,
    pub timeout: Duration,
    /// Whether its connection had carried an earlier request.
    pub reused: bool,
    pub outcome: RequestOutcome,
    pub ended_at: Duration,
}

/// The outcome of an attempt at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It ran, and the endpoint tried to answer it.
    Ran,
    /// It was rejected with the header that says that it never ran.
    Rejected,
    /// It may have run: the endpoint failed or hung.
    MayHaveRun,
}

/// An attempt as its endpoint observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub endpoint: usize,
    pub effect: Effect,
    /// When its first and its last byte were read.
    pub first_byte_at: Duration,
    pub last_byte_at: Duration,
    /// The remaining time that its header carried.
    pub remaining: Option<Duration>,
    pub outcome: AttemptOutcome,
    /// When it was answered or its connection closed.
    pub outstanding_until: Duration,
}

/// An endpoint list that a sidecar was notified of, or had to know by then.
#[derive(Clone, Debug)]
pub struct NotifiedList {
    pub sidecar: usize,
    pub at: Duration,
    pub version: u64,
    pub reason: KnownBy,
}

/// Why a sidecar must know a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownBy {
    /// Discovery wrote it to the sidecar.
    Written,
    /// Discovery was reachable with it for the longest time that the rule allows.
    Due,
    /// A new configuration named an address of discovery that has it, the longest time ago that the rule allows.
    Reconfigured,
}

/// A version of the endpoint list: the endpoints that are up from then on, and those that drain.
#[derive(Clone, Debug)]
pub struct Version {
    pub version: u64,
    pub at: Duration,
    pub up: Vec<usize>,
    pub draining: Vec<usize>,
}

/// One run of a sidecar's process.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    pub sidecar: usize,
    pub started_at: Duration,
    /// When it got SIGTERM, and when SIGKILL.
    pub sigterm_at: Option<Duration>,
    pub sigkill_at: Option<Duration>,
    /// The exit code and time, if it exited on its own.
    pub exited: Option<(Option<i32>, Duration)>,
    /// The version of the endpoint list that it was started with.
    pub initial_version: u64,
    /// The times of the SIGHUPs that it got.
    pub reconfigured_at: Vec<Duration>,
    pub log: Vec<String>,
}

/// Spans in which discovery was reachable.
#[derive(Clone, Debug, Default)]
pub struct Reachable {
    pub spans: Vec<(Duration, Duration)>,
}

/// Everything that the fakes of a run observed.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub notified_lists: Vec<NotifiedList>,
    pub versions: Vec<Version>,
    pub process_runs: Vec<ProcessRun>,
    pub reachable: Reachable,
}

/// The shared record that all fakes of a run write to.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    record: Arc<Mutex<Record>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { start: Instant::now(), record: Arc::default() }
    }
}

impl Recorder {
    /// The time since the run began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sleeps until this time of the run.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    /// Locks the record for writing.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no fake panics with the record")
    }
}
