//! What an instance knows of its attempts, its requests and the endpoints: plain rows, of which `balancer` decides.

use crate::units::{Moment, Span};
use crate::{EndpointState, Entry, Outcome};

/// What is known of one attempt.
pub struct Attempt {
    pub endpoint: usize,
    pub sent: Moment,
    pub ended: Option<Outcome>,
    pub read: bool,       // it is taken for answered: its client seems to be reading
    pub off: Option<f64>, // how far the load reported there was off the usual one, in parts of it
}

/// What is known of one request.
#[derive(Default)]
pub struct Request {
    pub most: usize, // attempts that it may have
    pub method: usize,
    pub key: Option<u32>,
    pub within: bool, // others wait for it with places that they hold
    pub age: Span,    // for how long at least the client has been asking before
    pub size: f64,    // its work against what is usual for its method, as far as that is told
    pub arrived: Moment,
    pub deadline: Moment,
    pub attempts: Vec<Attempt>,
    pub admitted: bool,
    pub streaming: bool,
    pub closed: bool,
    pub overstays: bool,   // its last attempt may go on past its use, and is withdrawn then
    pub asked: Vec<usize>, // endpoints whose load it asks for
    pub asks_until: Moment, // and until when it waits for that
}

/// What is known of one endpoint.
#[derive(Default)]
pub struct Endpoint {
    pub entry: Entry, // as last listed
    pub listed: bool,
    pub latency: Option<f64>, // smoothed served latency, as a multiple of what its methods usually take here
    pub heard_at: Moment,
    pub fraction: f64,
    pub distrust: Vec<f64>, // by method
    pub distrust_at: Moment,
    pub in_flight: usize,
    pub others: Option<f64>, // requests in hand as last reported, less those from here
    pub others_at: Moment,   // when that came
    pub probed: bool,        // it is being asked for
    pub credit: (f64, Moment), // sends that a cold endpoint may still get, as of a moment
    pub gone_at: Moment,
    pub drained: bool,       // it has been listed as draining since it started
    pub doubted: bool,       // the list calls it gone, or has lost it, and it may be sent to all the same
    pub hasty_until: Moment, // it turns away or breaks off more than its load explains, maybe by its clock
    pub reading: bool,       // an attempt there is taken for one whose client reads
    pub new: bool,           // it has started since the circle was last looked at
    pub connected: bool,     // it has answered since its connections were last closed here
}

impl Request {
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|w| w.ended.is_some_and(Outcome::never_ran))
    }
}

impl Endpoint {
    /// An attempt has ended there; one that was taken for `read` has left its place before.
    pub fn leave(&mut self, read: bool) {
        self.in_flight -= usize::from(!read);
        self.reading &= !read;
    }
    pub fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }
}
