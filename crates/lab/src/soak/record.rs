//! What the fakes of a run have seen, on one monotonic clock.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What may be done with a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// It may be repeated and refused at will.
    Safe,
    /// It carries an idempotency key, which endpoints of one group remember for a while.
    Keyed,
    /// It may run once.
    Unsafe,
}

impl Effect {
    /// All of them.
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

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer with this status and body.
    Answered { status: u16, body: String },
    /// The connection ended with no whole answer, with or without part of one.
    Closed { within: bool },
    /// The client left by itself.
    Left,
    /// Nothing came for as long as the client waits.
    Silent,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub sidecar: usize,
    pub effect: Effect,
    /// When its last byte was written, and how long its client waits from then on.
    pub sent: Duration,
    pub waits: Duration,
    /// Its connection had carried an earlier one.
    pub reused: bool,
    pub ended: Ended,
    pub ended_at: Duration,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It ran, and was answered as far as the endpoint could.
    Ran,
    /// It was turned away with the mark that says that it never ran.
    TurnedAway,
    /// It may have run: the endpoint broke or hung.
    MayHaveRun,
}

/// An attempt, as its endpoint saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub endpoint: usize,
    pub effect: Effect,
    /// When its first byte was read, and its last.
    pub begun: Duration,
    pub whole: Duration,
    /// The time that it was told is left.
    pub left: Option<Duration>,
    pub done: Done,
    /// Until when it was out: answered, or its connection ended.
    pub out_until: Duration,
}

/// A list that was written to a sidecar, or that counts as told to it.
#[derive(Clone, Debug)]
pub struct Told {
    pub sidecar: usize,
    pub at: Duration,
    pub version: u64,
    pub why: Why,
}

/// Why a list counts as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It was written.
    Written,
    /// It could be had for as long as the rule allows.
    Due,
    /// A configuration named the address that has it, as long ago as the rule allows.
    Moved,
}

/// A change of the list: the endpoints that are up from then on, and those that drain.
#[derive(Clone, Debug)]
pub struct Version {
    pub version: u64,
    pub at: Duration,
    pub up: Vec<usize>,
    pub draining: Vec<usize>,
}

/// One life of a sidecar.
#[derive(Clone, Debug)]
pub struct Life {
    pub sidecar: usize,
    pub began: Duration,
    /// When it was told to leave, and when it was killed.
    pub term: Option<Duration>,
    pub killed: Option<Duration>,
    /// It ended by itself, with this code, and when.
    pub ended: Option<(Option<i32>, Duration)>,
    /// The version that it was started with.
    pub known: u64,
    /// SIGHUPs that it got.
    pub moves: Vec<Duration>,
    pub log: Vec<String>,
}

/// Spans in which discovery could be reached.
#[derive(Clone, Debug, Default)]
pub struct Reachable {
    pub spans: Vec<(Duration, Duration)>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub told: Vec<Told>,
    pub versions: Vec<Version>,
    pub lives: Vec<Life>,
    pub reachable: Reachable,
}

/// The record that all fakes of a run write to.
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

    /// Waits until then.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    /// The record, to be written to.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no fake panics with the record")
    }
}
