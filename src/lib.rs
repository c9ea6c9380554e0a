//! Decisions of a load balancer for services that call services.
//!
//! A host feeds an instance ([`balancer::Balancer`]) what it hears and then pulls [`Decision`]s one by one until
//! there is none. This file defines that interface; `balancer` holds every decision.

pub mod balancer;
pub mod ids;
mod known;
pub mod news;
pub mod stats;
pub mod terms;
pub mod units;

use units::{Moment, Span};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Success,
    Error,
    /// The endpoint found fault with the request itself, as any other would: it says nothing of the endpoint.
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

    /// The field's name for it, for logs and metrics.
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

/// What the list says of an endpoint: indices of the host's own, but for `name_hash`, which is the same at every
/// instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    pub state: EndpointState,
    /// When its process started; none if long ago.
    pub started: Option<Moment>,
    pub zone: usize,
    pub cell: u64,
    pub kind: usize,
    pub name_hash: u32,
}

/// What a request comes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    pub method: usize,
    /// Until its client gives this try up.
    pub left: Span,
    /// Its expected work on a usual core, where that is hinted.
    pub work: Option<Span>,
    /// What it is about: requests with one key belong together. A short hash of it, as [`ids::name_hash`] makes.
    pub key: Option<u32>,
}

/// Why a request is given up here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The window of requests and accepts, of all or of one key, let it not through.
    Throttled,
    /// Its time was over, or would have been.
    TimeOver,
    /// An attempt failed, and no further one is allowed.
    NoRetry,
    /// No endpoint that may be sent to had room within the short wait.
    NoEndpoint,
    /// Too many others waited for room that are worth more.
    QueueFull,
    /// All places for answers that clients read were taken.
    RepliesFull,
}

impl GiveUpReason {
    /// All reasons, in the order of their values.
    pub const ALL: [GiveUpReason; 6] = [
        GiveUpReason::Throttled,
        GiveUpReason::TimeOver,
        GiveUpReason::NoRetry,
        GiveUpReason::NoEndpoint,
        GiveUpReason::QueueFull,
        GiveUpReason::RepliesFull,
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
        }
    }
}

/// What the host is to do next. Indices are the host's own, as it passed them in.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the request's next attempt; its number follows from the order of sends. Abandon it at `give_up`.
    Send { request: usize, endpoint: usize, give_up: Moment },
    /// Final answer: rejected. The client may come back after the span.
    Reject { request: usize, retry_after: Option<Span>, reason: GiveUpReason },
    /// Final answer: failed.
    Fail { request: usize, reason: GiveUpReason },
    /// Stop waiting for an attempt.
    Cancel { request: usize, attempt: usize },
    /// RequestInfo the endpoint for its load; `probed` is to be called with what comes of it.
    Probe { endpoint: usize },
    /// Send these bytes to another instance of the tier, which is to hear them as `told`.
    TellPeer { peer: usize, message: Vec<u8> },
    /// Close this instance's idle connections to the endpoint.
    CloseIdle { endpoint: usize },
    /// Nothing more will be said of this request: its index may be used again.
    ForgetRequest { request: usize },
    /// The endpoint is gone and nothing is out to it: its index may be used again.
    ForgetEndpoint { endpoint: usize },
    /// Call `wake` at this moment.
    Wake { at: Moment },
    /// RequestInfo the list for all changes from now on.
    Subscribe,
}
