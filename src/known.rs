//! State kept for attempts, requests and endpoints: plain records on which `balancer` decides.

use crate::units::{Moment, Span};
use crate::{EndpointState, Entry, Outcome};

/// State of one attempt.
pub struct Attempt {
    pub endpoint: usize,
    /// The endpoint's entry when it was sent: its process may have been replaced since.
    pub entry: Entry,
    pub sent: Moment,
    pub ended: Option<Outcome>,
    /// Treated as answered, because the client seems to be reading the answer.
    pub client_reading: bool,
    /// Relative difference between the load reported by the endpoint before the send and the usual load.
    pub load_deviation: Option<f64>,
}

impl Attempt {
    /// An attempt that is sent now to an endpoint with this entry.
    pub fn new(endpoint: usize, entry: Entry, sent: Moment) -> Attempt {
        Attempt { endpoint, entry, sent, ended: None, client_reading: false, load_deviation: None }
    }
}

/// State of one request.
#[derive(Default)]
pub struct Request {
    /// The most attempts that it may have.
    pub max_attempts: usize,
    pub method: usize,
    pub key: Option<u32>,
    /// Work within other work: requests that hold room at endpoints wait for it.
    pub nested: bool,
    /// The least time for which the client had been trying before this try.
    pub age: Span,
    /// Expected work relative to the usual work of the method, as far as hints tell.
    pub size: f64,
    pub arrived: Moment,
    pub deadline: Moment,
    pub attempts: Vec<Attempt>,
    pub admitted: bool,
    pub streaming: bool,
    pub closed: bool,
    /// Part of the response to its attempt in flight has arrived.
    pub response_begun: bool,
    /// The last attempt's deadline lies past the time at which its answer is useful; it is cancelled at that time.
    pub cancel_when_late: bool,
    /// Endpoints whose load it waits for, and until when it waits.
    pub probed: Vec<usize>,
    pub probes_until: Moment,
}

/// State of one endpoint.
#[derive(Default)]
pub struct Endpoint {
    /// As last listed.
    pub entry: Entry,
    pub listed: bool,
    /// Smoothed latency of served attempts, as a multiple of what their methods usually take here.
    pub latency: Option<f64>,
    pub latency_at: Moment,
    /// Weight in the draw, before health and warm-up.
    pub fraction: f64,
    /// Outlier score by method: raised by failures, halved over time.
    pub outlier_score: Vec<f64>,
    pub outlier_score_at: Moment,
    pub in_flight: usize,
    /// Requests in flight there as last reported, less those of this instance, and when that report came.
    pub other_load: Option<f64>,
    pub other_load_at: Moment,
    /// A probe to it is under way.
    pub probe_pending: bool,
    /// Warm-up credit: sends that the endpoint may still get while cold, as of a moment.
    pub credit: (f64, Moment),
    pub gone_at: Moment,
    /// It has been listed as draining since it started.
    pub drained: bool,
    /// The list reports it as gone, or no longer has it, but it may still be sent to.
    pub gone_unconfirmed: bool,
    /// Until then it counts as one that rejects or fails requests early, perhaps because its clock is ahead.
    pub early_failure_until: Moment,
    /// One of its attempts is treated as `client_reading`.
    pub client_reading: bool,
    /// It has started since the subset was last maintained.
    pub new: bool,
    /// It has answered since this instance last closed its connections to it.
    pub connected: bool,
}

impl Request {
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.ended.is_some_and(Outcome::never_ran))
    }
}

impl Endpoint {
    /// Takes an ended attempt out of the in-flight count, unless it was taken out when it became `client_reading`.
    pub fn attempt_ended(&mut self, client_reading: bool) {
        self.in_flight -= usize::from(!client_reading);
        self.client_reading &= !client_reading;
    }

    pub fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }
}
