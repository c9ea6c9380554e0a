//! Decisions of a load balancer for services that call services.
//!
//! A host feeds an instance ([`choice::Choice`]) what it hears and then pulls [`Decision`]s one by one until
//! there is none. This file defines that interface; `choice` holds every decision.

pub mod choice;
pub mod figures;
pub mod ids;
mod known;
pub mod news;
pub mod terms;
pub mod units;

use units::{Moment, Span};

/// How a write-out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Satisfied,
    Errored,
    /// The endpoint found fault with the req itself, as any other would: it says nothing of the endpoint.
    Rejected,
    Saturated,
    Overdue,
    RefusedConnection,
    Severed,
    Recalled,
    NeverSent,
}

impl Outcome {
    /// All outcomes, in the order of their values.
    pub const ALL: [Outcome; 9] = [
        Outcome::Satisfied,
        Outcome::Errored,
        Outcome::Rejected,
        Outcome::Saturated,
        Outcome::Overdue,
        Outcome::RefusedConnection,
        Outcome::Severed,
        Outcome::Recalled,
        Outcome::NeverSent,
    ];

    /// The field's name for it, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Satisfied => "success",
            Outcome::Errored => "error",
            Outcome::Rejected => "client_error",
            Outcome::Saturated => "overloaded",
            Outcome::Overdue => "timeout",
            Outcome::RefusedConnection => "connect_failure",
            Outcome::Severed => "reset",
            Outcome::Recalled => "cancelled",
            Outcome::NeverSent => "never_sent",
        }
    }

    /// Whether this outcome proves that the req had no effect at the endpoint.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Saturated | Outcome::RefusedConnection | Outcome::NeverSent)
    }
}

/// Whether an endpoint may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// What the list says of an endpoint: indices of the host's own, but for `mark`, which is the same at every
/// instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    pub standing: Standing,
    /// When its process started; none if long ago.
    pub started: Option<Moment>,
    pub zone: usize,
    pub cell: u64,
    pub kind: usize,
    pub mark: u32,
}

/// What a req comes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    pub method: usize,
    /// Until its client gives this try up.
    pub left: Span,
    /// Its expected work on a usual core, where that is hinted.
    pub work: Option<Span>,
    /// What it is about: reqs with one key belong together. A short hash of it, as [`ids::mark`] makes.
    pub key: Option<u32>,
}

/// Why a request is given up here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
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

impl GivenUp {
    /// All reasons, in the order of their values.
    pub const ALL: [GivenUp; 6] = [
        GivenUp::Throttled,
        GivenUp::TimeOver,
        GivenUp::NoRetry,
        GivenUp::NoEndpoint,
        GivenUp::QueueFull,
        GivenUp::RepliesFull,
    ];

    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            GivenUp::Throttled => "throttled",
            GivenUp::TimeOver => "time_over",
            GivenUp::NoRetry => "no_retry",
            GivenUp::NoEndpoint => "no_endpoint",
            GivenUp::QueueFull => "queue_full",
            GivenUp::RepliesFull => "replies_full",
        }
    }
}

/// What the host is to do next. Indices are the host's own, as it passed them in.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the req's next write-out; its number follows from the order of sends. Abandon it at `give_up`.
    Send { req: usize, endpoint: usize, give_up: Moment },
    /// Final answer: nacked. The client may come back after the span.
    Nack { req: usize, come_back: Option<Span>, reason: GivenUp },
    /// Final answer: failed.
    Fail { req: usize, reason: GivenUp },
    /// Stop waiting for a write-out.
    Revoke { req: usize, write_out: usize },
    /// Ask the endpoint for its load; `probed` is to be called with what comes of it.
    Probe { endpoint: usize },
    /// Send these bytes to another instance of the tier, which is to hear them as `told`.
    Tell { peer: usize, news: Vec<u8> },
    /// Close this instance's idle connections to the endpoint.
    CloseIdle { endpoint: usize },
    /// Nothing more will be said of this req: its index may be used again.
    ForgetReq { req: usize },
    /// The endpoint is gone and nothing is out to it: its index may be used again.
    ForgetEndpoint { endpoint: usize },
    /// Call `wake` at this moment.
    Wake { at: Moment },
    /// Ask the list for all changes from now on.
    Subscribe,
}
