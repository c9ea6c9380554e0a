//! The decisions of a load balancer for services that call services.
//!
//! A host reports events to an instance ([`balancer::Balancer`]) and then takes [`Decision`]s one by one until there
//! is none. This file defines that interface; all decisions are made in `balancer`.

pub mod balancer;
pub mod ids;
mod known;
pub mod list_lease;
pub mod reports;
pub mod stats;
pub mod terms;
pub mod units;

use units::{Moment, Span};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Success,
    Error,
    /// The endpoint rejected the request as faulty, as any other would: this says nothing of the endpoint.
    ClientError,
    Overloaded,
    Timeout,
    ConnectFailure,
    Reset,
    Cancelled,
    NeverSent,
}

impl Outcome {
    /// All outcomes, in the order of their values.
    pub const ALL: [Outcome; 9] = [
        Outcome::Success,
        Outcome::Error,
        Outcome::ClientError,
        Outcome::Overloaded,
        Outcome::Timeout,
        Outcome::ConnectFailure,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NeverSent,
    ];

    /// The name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Success => "success",
            Outcome::Error => "error",
            Outcome::ClientError => "client_error",
            Outcome::Overloaded => "overloaded",
            Outcome::Timeout => "timeout",
            Outcome::ConnectFailure => "connect_failure",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NeverSent => "never_sent",
        }
    }

    /// Whether this outcome proves that the request had no effect at the endpoint.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailure | Outcome::NeverSent)
    }
}

/// Whether an endpoint may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// An endpoint as discovery lists it. The indices are the host's own; `name_hash` is the same at every instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    pub state: EndpointState,
    /// When its process started; none if that is long ago.
    pub started: Option<Moment>,
    pub zone: usize,
    pub cell: u64,
    pub kind: usize,
    pub name_hash: u32,
}

/// What the lists so far have told of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownEndpoint {
    pub entry: Entry,
    /// It has been listed as draining since it started, or is known to be gone: if the list no longer has it, it may not be
    /// sent to, even where only drains are binding.
    pub must_stop: bool,
}

/// What is known of a request on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    pub method: usize,
    /// Time until its client gives up this try.
    pub left: Span,
    /// Its expected work on a usual core, if the client sends a hint of it.
    pub work: Option<Span>,
    /// Hash of its key, by [`ids::name_hash`]: requests with the same key concern the same thing.
    pub key: Option<u32>,
}

/// Why this instance gives up a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It was dropped by the drop chance from the window of requests and accepts, of all or of its key.
    Throttled,
    /// Its deadline or latency budget has passed, or the answer would have come too late.
    TimeOver,
    /// An attempt failed, and no retry is allowed.
    NoRetry,
    /// No endpoint that may take it had room within the longest wait in the queue.
    NoEndpoint,
    /// The queue was full of requests that are worth more.
    QueueFull,
    /// Too many reply slots were taken by answers that clients read slowly.
    RepliesFull,
    /// The list that this instance was started with may be out of date, and discovery has not answered yet.
    ListUnconfirmed,
}

impl GiveUpReason {
    /// All reasons, in the order of their values.
    pub const ALL: [GiveUpReason; 7] = [
        GiveUpReason::Throttled,
        GiveUpReason::TimeOver,
        GiveUpReason::NoRetry,
        GiveUpReason::NoEndpoint,
        GiveUpReason::QueueFull,
        GiveUpReason::RepliesFull,
        GiveUpReason::ListUnconfirmed,
    ];

    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpReason::Throttled => "throttled",
            GiveUpReason::TimeOver => "time_over",
            GiveUpReason::NoRetry => "no_retry",
            GiveUpReason::NoEndpoint => "no_endpoint",
            GiveUpReason::QueueFull => "queue_full",
            GiveUpReason::RepliesFull => "replies_full",
            GiveUpReason::ListUnconfirmed => "list_unconfirmed",
        }
    }
}

/// What the host has to do next. Indices are the host's own, as it passed them in.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the request's next attempt, which is numbered by the order of sends. It times out at `give_up`.
    Send { request: usize, endpoint: usize, give_up: Moment },
    /// Final answer: a rejection. The client may retry after `retry_after`.
    Reject { request: usize, retry_after: Option<Span>, reason: GiveUpReason },
    /// Final answer: a failure.
    Fail { request: usize, reason: GiveUpReason },
    /// Cancel an attempt.
    Cancel { request: usize, attempt: usize },
    /// Probe the endpoint for its load, and call `probe_result` with the result.
    Probe { endpoint: usize },
    /// Send these bytes to another instance of the tier, which has to pass them to `apply_reports`.
    TellPeer { peer: usize, message: Vec<u8> },
    /// Close this instance's idle connections to the endpoint.
    CloseIdle { endpoint: usize },
    /// No further decision concerns this request: its index may be used again.
    ForgetRequest { request: usize },
    /// The endpoint is gone and has no attempts in flight: its index may be used again.
    ForgetEndpoint { endpoint: usize },
    /// Call `wake` at this moment.
    Wake { at: Moment },
    /// Subscribe to all changes of the list from now on.
    Subscribe,
}
