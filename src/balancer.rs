//! All decisions of one instance. Create a `Balancer` from the decoded terms and a seed, report events to it
//! (`arrival`, `outcome`, `client_disconnected`, `list_*`, `wake` and so on), then call `next_decision` until it
//! returns none. `lib.rs` defines the decisions, `terms.rs` the terms, `known.rs` the state that is kept.
//!
//! The base algorithm is the design's: on arrival, a drop chance from a rolling window of requests and accepts;
//! traffic fractions from the inverse of the smoothed served latency; weighted draws that skip endpoints with many
//! attempts in flight. Loads from probes, reports from peers, hints of work and a window by key refine its inputs.
//!
//! Each rule is enforced in one place: `give_up` (one final answer, rejections), `may_attempt` (effects),
//! `eligible_endpoints` (drains, the budget of a started endpoint), `candidates` (placement), `list_*` (the list).
//!
//! There are six mechanisms beside the design, and there should be no more:
//! 1. Outlier detection: a score by endpoint and method that failures raise and time halves. Failures that are not
//!    the endpoint's fault do not count: a key that fails everywhere, a client that reads slowly, a clock that is ahead.
//! 2. Retries: only as the method's effect permits, from a retry budget that arrivals fill; early for a lost answer.
//! 3. Subset: an instance with too little traffic to measure all endpoints keeps to some, and exchanges one at times.
//! 4. Concurrency limit: the most attempts in flight at an endpoint, in the mean, from latency against its target.
//! 5. Queue: above the limit a request waits briefly; nested work comes first, then the method that is worth most.
//! 6. Expired retries: a client that retries past its latency budget is answered at once.

use std::collections::{HashMap, VecDeque};

use crate::known::{Attempt, Endpoint, Request};
use crate::list_lease::{FailedCall, SharedLease, StartupLease};
use crate::reports::AttemptReport;
use crate::stats::{
    MethodStats, Random, Rate, RollingWindow, Slope, UsualLatencies, half_life_decay, mean, smoothed,
    token_bucket_level,
};
use crate::terms::{Effect, Group, Method, Terms};
use crate::units::{Moment, Span};
use crate::{Decision, EndpointState, Entry, GiveUpReason, KnownEndpoint, Outcome, RequestInfo};

// Start values of the design, except for `IN_FLIGHT_SLACK`.

/// Requests that are let through, as a multiple of those accepted.
const K: f64 = 2.0;
/// Requests that may fail before the drop chance rises above zero.
const PROTECTION: f64 = 5.0;
/// `PROTECTION` for the requests of one key: a single failure may be chance.
const KEY_PROTECTION: f64 = 1.0;
/// `WINDOW_BUCKETS` buckets of this length make up the rolling window of 10 s.
const WINDOW_BUCKET: Span = Span::from_millis(250);
const WINDOW_BUCKETS: usize = 40;
/// Time between two solves of the traffic fractions.
const SOLVE_INTERVAL: Span = Span::from_millis(1000);
/// Least weight of a new latency in the smoothed one: about the last ten count.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Averaging time for an endpoint with few answers: about the answers of this time count.
const LATENCY_SMOOTHING_TIME: Span = Span::from_millis(2500);
/// An endpoint is skipped if it has more in flight than the mean times this, plus `IN_FLIGHT_SLACK` attempts.
const IN_FLIGHT_FACTOR: f64 = 1.25;
/// Half an attempt decides where traffic is very low and the mean is near zero.
const IN_FLIGHT_SLACK: f64 = 0.5;
/// Expected latency as a part of the latency budget that is left; above it an endpoint is skipped.
const FIT_PREFERRED: f64 = 0.8;
/// Expected latency as a part of the latency budget that is left; above it an endpoint is excluded.
const FIT_MAX: f64 = 1.2;
/// Factor on the weight of an endpoint that the request has already tried, so that it is drawn only if hardly any
/// other is eligible.
const TRIED_WEIGHT: f64 = 0.01;

// Outlier detection. Each point of the score halves the endpoint's traffic.

/// Added to the score for a failure.
const OUTLIER_STEP: f64 = 1.0;
/// Added for a refused or broken connection, or a timeout past the time up to which the answer was of use: then mostly
/// all requests fail.
const OUTLIER_STEP_DOWN: f64 = 4.0;
/// Part of a step that is added for the other methods; all of it if connections fail, as then mostly all methods do.
const OUTLIER_OTHER_METHODS: f64 = 0.5;
/// Part of the score that a served attempt leaves: three of them halve it.
const OUTLIER_KEPT: f64 = 0.8;
/// Cap on the score: a thousandth of the traffic is still enough to notice recovery.
const OUTLIER_MAX: f64 = 10.0;
/// Half-life of the score, similar to that of old latencies: most faults are short.
const OUTLIER_HALF_LIFE: Span = Span::from_millis(4000);
/// How long an endpoint that was overloaded or failed late is given the client's whole deadline: one rolling window.
const EARLY_FAILURE_WINDOW: Span = Span::from_millis(10_000);
/// An endpoint counts as avoided at this part of its traffic or less, which is the effect of two failures.
const AVOIDED_HEALTH: f64 = 0.25;

// Retries.

/// Retries that one arrival adds to the retry budget: in the long run, retries are at most a fifth of the load.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Cap on the retry budget: enough to retry the requests that the failure of one endpoint hits.
const RETRY_BUDGET_MAX: f64 = 10.0;
/// Timeout of an attempt that may be retried, as a multiple of the usual latency: few attempts take as long.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 5.0;
/// Least timeout of an attempt that may be retried, as a part of the latency budget.
const ATTEMPT_TIMEOUT_MIN: f64 = 0.2;
/// From this part of the latency budget on, an attempt has no timeout of its own: a retry would come too late to be
/// worth much.
const ATTEMPT_TIMEOUT_MAX: f64 = 1.0;
/// An attempt out for longer than this multiple of the usual latency of its size may have been answered to a client
/// that reads slowly: all but few take less.
const READING_AGE_FACTOR: f64 = 3.0;
/// Part of the reply slots that clients which seem to read slowly may take.
const READING_SLOT_SHARE: f64 = 0.15;

// Subset.

/// Sends to each endpoint of the subset in a solve interval: enough to keep its latency known.
const SUBSET_SENDS: f64 = 2.0;
/// Least endpoints in a subset, as a few may fail at once.
const SUBSET_MIN: f64 = 4.0;
/// Mean number of subsets that an endpoint belongs to: with fewer, chance spreads the load too unevenly.
const SUBSETS_PER_ENDPOINT: f64 = 8.0;
/// Least time between two exchanges of an endpoint, at most twice this: rare against the cost of a connection.
const SUBSET_EXCHANGE_INTERVAL: Span = Span::from_millis(10000);
/// Price of crossing zones up to which zones are ignored: all crossings together then cost less than chance does.
const CROSS_ZONE_PRICE_IGNORED: f64 = 0.01;
/// Weight that the own zone gains by the price beyond that: at a price of a twentieth, seven times another zone's
/// weight.
const OWN_ZONE_WEIGHT_GAIN: f64 = 150.0;
/// Cap on the in-flight room that the zone weight adds, as a multiple of the mean: the own zone is not overloaded for
/// it.
const OWN_ZONE_ROOM_MAX: f64 = 2.0;

// Concurrency limit, in attempts in flight at an endpoint from all instances together.

struct LimitParameters {
    /// Latency at which the limit neither grows nor shrinks, as a part of the latency budget.
    target: f64,
    min: f64,
    initial: f64,
}

/// The target leaves room for the spread of latencies; below the least limit, cores stand idle.
const LIMIT_LOCAL: LimitParameters = LimitParameters { target: 0.3, min: 6.0, initial: 8.0 };
/// Where peers report load, the limit acts on all instances at once, so it may be low.
const LIMIT_SHARED: LimitParameters = LimitParameters { target: 0.3, min: 1.5, initial: 3.0 };
/// Relative change of the limit in a second if latency is off the target by a whole budget.
const LIMIT_GAIN: f64 = 0.8;
/// Cap on the relative change by one answer.
const LIMIT_GAIN_MAX: f64 = 0.25;
/// The limit grows only while this part of it is in use: otherwise answers tell nothing about it.
const LIMIT_USED: f64 = 0.7;
/// As an alternative to `LIMIT_USED`, it grows only while all of it but this many instances' parts is in use, if that
/// is more.
const LIMIT_SPARE_INSTANCES: f64 = 2.0;
/// Smoothing time of the mean in flight, times the instances that share the endpoints.
const IN_FLIGHT_SMOOTHING_TIME: Span = Span::from_millis(20);
/// Most sends over which the mean in flight is smoothed: chance has evened out by then.
const IN_FLIGHT_SMOOTHING_SENDS: f64 = 100.0;
/// Time over which the load that peers report is summed up.
const REPORTED_LOAD_TIME: Span = Span::from_millis(800);

// Queue.

/// Requests that may be queued whatever the rate of sends, for an instance that has just started.
const QUEUE_MIN: f64 = 4.0;
/// Longest wait as a part of the latency budget: the next answer makes room within it, and a rejection is still of
/// use.
const QUEUE_WAIT: f64 = 0.06;
/// Time between two checks of the queue: short against any latency budget.
const QUEUE_POLL_INTERVAL: Span = Span::from_millis(20);
/// Time after which a rejected client may retry, as a part of the latency budget; times one to two, to spread the
/// retries.
const RETRY_AFTER: f64 = 0.1;

// Rules.

/// Margin before the budget ends: one tick for the attempt's outcome, one for the final answer.
const ANSWER_MARGIN_TICKS: f64 = 2.0;
/// Margin before a group's deduplication window ends: once connected, a repeat has yet to arrive.
const DEDUP_MARGIN_TICKS: f64 = 4.0;
/// Sends by all instances to a started endpoint in an overload window, if no endpoint is warm.
const COLD_SENDS_MIN: f64 = 4.0;
/// Factor on the gain of warm-up credit, as some of the credit goes unused.
const COLD_CREDIT_FACTOR: f64 = 1.5;
/// Least gain that the weight of a cold endpoint is compensated for.
const COLD_GAIN_MIN: f64 = 0.01;
/// Sends to each endpoint in a running window, beyond the settled rate, that do not yet show a higher rate.
const COLD_BURST_SENDS: f64 = 3.0;
/// Wait before subscribing, or before a failed call is repeated, as a part of the time stated for subscribing.
const SUBSCRIBE_DELAY: f64 = 0.5;
/// Longest wait before the first subscription, for each instance: few instances need no longer wait.
const FIRST_SUBSCRIBE_DELAY: Span = Span::from_millis(100);
/// The same for an instance that may not use its list before discovery has answered.
const FIRST_SUBSCRIBE_DELAY_UNCONFIRMED: Span = Span::from_millis(20);
/// How long an endpoint that is gone is remembered, as it may come back.
const GONE_RETENTION: Span = Span::from_millis(60_000);

// Probes for load.

/// Most endpoints that are probed for a request: few, so that an outdated report does not send everyone to the same
/// one.
const PROBES_MAX: usize = 3;
/// Cap on the price of a request's probes, as a part of its worth: little is lost if they are of no use.
const PROBE_PRICE_MAX: f64 = 0.012;
/// Longest wait for the reports, as a part of the latency budget.
const PROBE_WAIT: f64 = 0.06;
/// A report of this age or less is not requested again: little changes so soon.
const PROBE_FRESH: Span = Span::from_millis(5);
/// A probed endpoint is skipped if its expected latency is above the mean of those probed, times this.
const PROBED_LATENCY_MARGIN: f64 = 0.8;
/// Expected latency as a part of the latency budget above which a probed endpoint is excluded.
const PROBED_LATENCY_MAX: f64 = 0.4;
/// Initial slope of latency over reported load.
const SLOPE_INITIAL: f64 = 0.5;
/// How much that slope counts: as much as observations with this variance.
const SLOPE_INITIAL_VARIANCE: f64 = 0.1;
/// Cap on a latency in the slope: so many usual latencies beyond the usual one.
const SLOPE_LATENCY_MAX: f64 = 3.0;
/// Weight of a new load or hint of work in the usual one: about the last twenty count.
const USUAL_SMOOTHING: f64 = 0.05;

// Reports to peers and hints of work.

/// Time between two reports to peers.
const REPORT_INTERVAL: Span = Span::from_millis(500);
/// Peers that each report goes to: so an instance hears of several times its own rate within a second.
const REPORT_PEERS: usize = 8;
/// Range of a request's size by its expected work; outside it, the wait for other requests says more.
const SIZE_MIN: f64 = 0.4;
const SIZE_MAX: f64 = 8.0;

/// Candidates of one weighted draw: endpoints and their weights.
type Draw = Vec<(usize, f64)>;

/// The state of an instance. `default` has no terms; `new` starts from it.
#[derive(Default)]
pub struct Balancer {
    terms: Terms,
    random: Random,
    requests: Vec<Option<Request>>,
    endpoints: Vec<Option<Endpoint>>,
    /// The endpoints that this instance sends to, as long as repeats need no others.
    subset: Vec<usize>,
    /// Cap on the size of the subset, lowered by refused connections.
    subset_max: f64,
    exchange_at: Moment,
    /// Requests to decide on next.
    due: VecDeque<usize>,
    /// Some request has had a key.
    keys_seen: bool,
    /// Requests and accepts since the first failure, of the keys that have failed lately.
    keys: HashMap<u32, RollingWindow>,
    /// How many endpoints are probed for a request.
    probes: usize,
    /// Requests that wait for reports of load.
    waiting_for_probes: Vec<usize>,
    /// Requests that wait for an endpoint, those worth most first.
    queue: Vec<usize>,
    recheck_queue: bool,
    decisions: VecDeque<Decision>,
    /// Requests and accepts: first of all methods without placement, then of each method with one.
    windows: Vec<RollingWindow>,
    /// Statistics of the clients' requests, by method.
    method_stats: Vec<MethodStats>,
    /// Usual latency of served attempts by kind of machine and method, in seconds.
    usual_latency: UsualLatencies,
    /// Usual load as reported.
    usual_load: f64,
    /// Slope of latency over reported load.
    load_slope: Slope,
    /// Sends, counted in overload windows.
    sends: Rate,
    /// Outcomes here and at the peers that reported them, in overload windows.
    outcomes: Rate,
    /// The report for peers that has yet to be sent, and when to send it.
    report: Vec<u8>,
    report_at: Moment,
    /// The endpoints by the hashes of their names, which peers use.
    by_name_hash: HashMap<u32, usize>,
    ready_endpoints: f64,
    solved: Option<Moment>,
    retry_budget: f64,
    limit: f64,
    /// Smoothed mean in flight as of a moment: in the subset, or at all endpoints as peers report.
    in_flight_mean: f64,
    in_flight_mean_at: Moment,
    subscribe_at: Option<Moment>,
    /// A call to the discovery service is under way.
    subscribing: bool,
    /// While the list is the one that the instance was started with: until when that may be used.
    startup_lease: Option<StartupLease>,
}

fn probes_per_request(terms: &Terms) -> usize {
    let worth = (PROBE_PRICE_MAX / terms.probe_price.max(1e-9)) as usize;
    if terms.load_at.is_some() && worth > 1 { worth.min(PROBES_MAX) } else { 0 }
}

/// The limit's latency target, and this instance's part of the least and the initial limit.
fn limits(terms: &Terms) -> LimitParameters {
    let (of, sharers) = if terms.may_tell { (LIMIT_SHARED, 1.0) } else { (LIMIT_LOCAL, terms.instances) };
    LimitParameters { target: of.target, min: of.min / sharers, initial: of.initial / sharers }
}

impl Balancer {
    pub fn new(now: Moment, terms: Terms, seed: u64) -> Balancer {
        let mut random = Random::new(seed);
        // Danger: instances that start together would all call the discovery service at once, so the first call is
        // delayed by a random time.
        // Danger: an instance counts as informed of changes made while it was down, even before it has subscribed.
        // A few instances therefore subscribe sooner, as the service can answer all of them quickly. This does harm
        // where the service is slower.
        let most = |within: Span| (within * SUBSCRIBE_DELAY).min(FIRST_SUBSCRIBE_DELAY * terms.instances);
        let subscribe_at = terms.ask_within.map(|within| now + most(within) * random.unit());
        let mut balancer = Balancer {
            method_stats: vec![MethodStats::default(); terms.methods.len()],
            usual_load: 1.0,
            load_slope: Slope::new(SLOPE_INITIAL, SLOPE_INITIAL_VARIANCE),
            limit: limits(&terms).initial,
            probes: probes_per_request(&terms),
            sends: Rate::new(now, terms.overload_window),
            outcomes: Rate::new(now, terms.overload_window),
            terms,
            random,
            subset_max: f64::MAX,
            exchange_at: now,
            retry_budget: RETRY_BUDGET_MAX,
            in_flight_mean_at: now,
            ..Balancer::default()
        };
        balancer.subscribe_later(subscribe_at);
        balancer
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Applies new terms to requests that arrive from now on. Methods that open requests use have kept their indices.
    /// `moved` has each index that now has another method, with the index that the method's name had before, if any;
    /// what was learnt there is carried over.
    pub fn update_terms(&mut self, terms: Terms, moved: &[(usize, Option<usize>)]) {
        for (to, from) in moved {
            self.method_stats.resize(terms.methods.len(), MethodStats::default());
            self.method_stats[*to] = MethodStats::default();
            self.usual_latency.replace_method(*to, *from);
            self.windows.truncate(1);
            for e in self.endpoints.iter_mut().flatten() {
                e.outlier_score.resize(terms.methods.len(), 0.0);
                e.outlier_score[*to] = from.map_or(0.0, |from| e.outlier_score[from]);
            }
        }
        self.limit *= limits(&terms).initial / limits(&self.terms).initial;
        (self.probes, self.terms) = (probes_per_request(&terms), terms);
    }

    pub fn arrival(&mut self, now: Moment, request: usize, info: RequestInfo) {
        let RequestInfo { method, left, work, key } = info;
        // Where other requests have keys, one without a key is nested work: a call back into a tier in which its own
        // caller waits. Danger: if it were rejected, the work of the waiting caller would be lost; queued behind new
        // work, it would wait for room that its callers hold. This does harm where clients leave out keys at will.
        self.keys_seen |= key.is_some();
        let nested = self.keys_seen && key.is_none();
        let size = work.map_or(1.0, |work| {
            self.method_stats[method].relative_size(work, USUAL_SMOOTHING).clamp(SIZE_MIN, SIZE_MAX)
        });
        self.requests.resize_with(self.requests.len().max(request + 1), || None);
        // Danger: a client that retries late would take up room for an answer that is worth nothing any more. The
        // usual time left of a method's tries is found by a vote; a try with less is limited by its client's whole
        // deadline, which gives the request's age. Where the time left is uncertain, a short one tells nothing, and a
        // deadline that seems past may not be.
        let doubt = self.terms.time_left_error;
        let shortened = doubt == Span::ZERO && self.method_stats[method].time_left.is_shorter(left);
        let age = if shortened { self.terms.methods[method].deadline.less(left) } else { Span::ZERO };
        self.requests[request] = Some(Request {
            method,
            key,
            nested,
            age,
            size,
            max_attempts: self.terms.max_attempts,
            arrived: now,
            deadline: now + (left + doubt),
            probes_until: now,
            ..Request::default()
        });
        self.due.push_back(request);
    }

    pub fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.ended.is_none()) else { return };
        a.ended = Some(outcome);
        r.closed |= closed;
        let (endpoint, method, load_deviation, key, client_reading) =
            (a.endpoint, r.method, a.load_deviation, r.key, a.client_reading);
        let part =
            now.since(a.sent).secs() / r.size / self.terms.methods[method].latency_budget.secs().max(1e-6);
        let too_late = outcome == Outcome::Timeout && now >= r.useful_until(&self.terms);
        self.due.push_back(request);
        self.recheck_queue = true;
        let e = self.endpoints[endpoint].as_mut().expect("an endpoint with an attempt in flight is kept");
        e.attempt_ended(client_reading);
        let name_hash = e.entry.name_hash;
        self.close_idle(endpoint);
        self.detect_slow_readers(now);
        let excused = client_reading && outcome == Outcome::Timeout;
        let counts = !matches!(outcome, Outcome::Cancelled | Outcome::NeverSent | Outcome::ClientError);
        // An attempt that never ran has not reached what its key stands for, so it counts for no key.
        let accepted = Some(outcome == Outcome::Success && part <= 1.0).filter(|_| !outcome.never_ran());
        if counts && !excused && (!self.key_fails(now, key, accepted) || outcome.never_ran()) {
            let report = AttemptReport { name_hash, method, outcome, part, load: load_deviation };
            self.record_outcome(now, endpoint, report, Some(too_late));
            if self.terms.may_tell {
                if self.report.is_empty() {
                    self.report_at = now + REPORT_INTERVAL;
                    self.decisions.push_back(Decision::Wake { at: self.report_at });
                }
                report.write(&mut self.report);
            }
        }
    }

    /// Where the number of answers held for clients is limited, an attempt that is out for long may have been
    /// answered to a client that reads slowly: one attempt at each endpoint is treated so. Danger: otherwise it would
    /// count as in flight and raise the outlier score of an endpoint without fault, and slow readers would take all
    /// reply slots from the other clients. This is meant for anything that holds answers back behind the endpoints,
    /// and does harm where one of a few endpoints hangs.
    fn detect_slow_readers(&mut self, now: Moment) {
        let Some(slots) = self.terms.reply_slots else { return };
        let mut reading = Vec::new();
        for (at, r) in self.requests.iter_mut().enumerate().filter_map(|(at, r)| Some((at, r.as_mut()?))) {
            let out = r.attempts.last_mut().filter(|a| a.ended.is_none() && !r.streaming);
            let Some(a) = out else { continue };
            let Some(e) = self.endpoints[a.endpoint].as_mut() else { continue };
            let usual = self.usual_latency.mean_of(r.method).unwrap_or(f64::MAX)
                * r.size
                * e.latency.unwrap_or(1.0).max(1.0);
            let age = now.since(a.sent);
            if !a.client_reading && !e.client_reading && age.secs() > READING_AGE_FACTOR * usual {
                (a.client_reading, e.client_reading) = (true, true);
                e.in_flight -= 1;
            }
            if a.client_reading && !r.closed && !r.response_begun {
                reading.push((age, at));
            }
        }
        if reading.len() as f64 > slots as f64 * READING_SLOT_SHARE {
            self.give_up(reading.into_iter().max().expect("more than none").1, GiveUpReason::RepliesFull);
        }
    }

    /// Learns from the outcome of an attempt. `own` is none for a report by a peer; for this instance's own attempt
    /// it says whether a timeout came too late for any use of the answer.
    fn record_outcome(&mut self, now: Moment, endpoint: usize, report: AttemptReport, own: Option<bool>) {
        let AttemptReport { method, outcome, part, load, .. } = report;
        let Some(budget) = self.terms.methods.get(method).map(|m| m.latency_budget) else { return };
        let (secs, own, too_late) = ((budget.secs() * part).max(1e-6), own.is_some(), own == Some(true));
        let Some(Some(e)) = self.endpoints.get_mut(endpoint) else { return };
        self.outcomes.count(now);
        let (kind, served) = (e.entry.kind, outcome == Outcome::Success);
        let usual = self.usual_latency.get(kind, method);
        if let (Some(x), Some(usual)) = (load, usual.filter(|_| served || outcome == Outcome::Timeout)) {
            self.load_slope.add(x, (secs / usual - 1.0).min(SLOPE_LATENCY_MAX));
        }
        e.connected |= own && outcome != Outcome::ConnectFailure;
        if own && e.gone_unconfirmed && outcome == Outcome::ConnectFailure {
            (e.entry.state, e.gone_at, self.solved) = (EndpointState::Gone, now, None);
        }
        // Danger: an endpoint whose clock is ahead rejects or aborts requests whose deadline it takes to be past. For
        // a while it is given the client's whole deadline instead, and the instance cancels the attempt by its own
        // clock. After errors of another cause this makes no difference; it does harm at an endpoint that is
        // overloaded and starts work on attempts that have been cancelled.
        let late_error = outcome == Outcome::Error && usual.is_some_and(|usual| secs > usual);
        if own && (outcome == Outcome::Overloaded || late_error) {
            e.early_failure_until = now + EARLY_FAILURE_WINDOW;
        }
        let down = matches!(outcome, Outcome::ConnectFailure | Outcome::Reset);
        let decay = half_life_decay(e.outlier_score_at, now, OUTLIER_HALF_LIFE);
        (e.outlier_score_at, e.outlier_score) =
            (now, e.outlier_score.iter().map(|score| score * decay).collect());
        let penalty = if served {
            let usual = self.usual_latency.update(kind, method, secs, LATENCY_SMOOTHING);
            e.outlier_score[method] *= OUTLIER_KEPT;
            let gap = now.since(std::mem::replace(&mut e.latency_at, now)).secs();
            let part = (gap / (gap + LATENCY_SMOOTHING_TIME.secs())).max(LATENCY_SMOOTHING);
            e.latency = Some(smoothed(e.latency, secs / usual, part));
            0.0
        } else {
            // Danger: an endpoint that has no connections left would refuse new sidecars for good. So those that came
            // first make room too: the endpoints that they exchange to refuse them as well, which shrinks their
            // subset.
            let connect_refused = own && outcome == Outcome::ConnectFailure && !e.connected;
            if connect_refused && self.subset.contains(&endpoint) {
                self.subset.retain(|kept| *kept != endpoint);
                self.subset_max = self.subset.len() as f64;
            }
            // Danger: an endpoint that fails at once looks idle to all instances, so errors that peers report count
            // too.
            match e.latency {
                _ if !own && outcome != Outcome::Error => 0.0,
                None if down => OUTLIER_MAX,
                _ if down || too_late => OUTLIER_STEP_DOWN,
                _ => OUTLIER_STEP,
            }
        };
        // Danger: an endpoint that fails every request of one method would recover by its answers to the other
        // methods, so there is a score for each method.
        for (other, score) in e.outlier_score.iter_mut().enumerate() {
            let part = if down || other == method { 1.0 } else { OUTLIER_OTHER_METHODS };
            *score = (*score + penalty * part).min(OUTLIER_MAX);
        }
        // Danger: an endpoint that answers from a long queue is late but never fails, and the window would not show
        // the overload; so only answers within the latency budget count as accepts.
        self.window(now, method).count(now, 1.0, f64::from(u8::from(served && part <= 1.0)));
        // Danger: endpoints with too much in flight turn slower and stay slow, so the limit has to prevent this
        // early.
        let LimitParameters { target, min, .. } = limits(&self.terms);
        let error = match outcome {
            Outcome::Success | Outcome::Timeout => target - part.min(1.0),
            Outcome::Overloaded => target - 1.0,
            _ => 0.0,
        };
        // Danger: one instance's few requests do not show how much is in flight overall. Over the attempts of all
        // instances, that is the sum of their latencies in a second.
        if self.terms.may_tell && self.probes == 0 {
            let times = if own { 1.0 } else { ((self.terms.instances - 1.0) / REPORT_PEERS as f64).max(1.0) };
            self.decay_in_flight_mean(now);
            self.in_flight_mean += secs * times / REPORTED_LOAD_TIME.secs() / self.ready_endpoints.max(1.0);
        }
        // Danger: limits that many instances have raised in calm times, while each was in use only by chance, would
        // all be used at once in trouble. So a limit grows only while most of it is in use.
        let shared = self.terms.may_tell;
        let spare = if shared { 0.0 } else { 1.0 - LIMIT_SPARE_INSTANCES / self.terms.instances };
        let limit = if shared { self.limit } else { self.limit_in_subset() };
        if error < 0.0 || self.in_flight_mean >= LIMIT_USED.max(spare) * limit {
            let answers = self.outcomes.in_second().max(self.sends.in_second());
            let gain = (LIMIT_GAIN / answers.max(1e-6)).min(LIMIT_GAIN_MAX);
            // Danger: the least limits of all instances add up. Still, one attempt has to be possible.
            let min = min.max(if shared { 0.0 } else { 1.0 / self.ready_endpoints.max(1.0) });
            self.limit = (self.limit * (1.0 + gain * error)).max(min);
        }
    }

    /// Part of the request has been forwarded and is no longer buffered: it cannot be retried.
    pub fn partly_forwarded(&mut self, now: Moment, request: usize) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        r.max_attempts = r.attempts.len();
        r.attempts.last_mut().into_iter().for_each(|a| a.sent = now);
    }

    /// The request's time for an answer runs from `since`, the earliest time at which its client can have written its
    /// last byte, and not from its arrival. Returns until when an answer is of use.
    pub fn time_runs_from(&mut self, request: usize, since: Moment) -> Option<Moment> {
        let r = self.requests.get_mut(request)?.as_mut()?;
        (r.deadline, r.arrived) = (since + r.deadline.since(r.arrived), since);
        Some(r.useful_until(&self.terms))
    }

    /// A probe has ended; `load` is the number of requests in flight that the endpoint reported, if it did.
    pub fn probe_result(&mut self, now: Moment, endpoint: usize, load: Option<f64>) {
        let Some(Some(e)) = self.endpoints.get_mut(endpoint) else { return };
        (e.probe_pending, e.other_load_at) = (false, now);
        e.other_load = load.map(|load| (load - e.in_flight as f64).max(0.0));
        self.usual_load += load.map_or(0.0, |load| USUAL_SMOOTHING * (load - self.usual_load));
        self.due.extend(self.waiting_for_probes.drain(..));
    }

    /// Learns from reports of how attempts at listed endpoints ended, from a peer or (`ours`) from another process of
    /// this instance.
    pub fn apply_reports(&mut self, now: Moment, reports: impl Iterator<Item = AttemptReport>, ours: bool) {
        for report in reports {
            let ready = |at: &&usize| self.endpoints[**at].as_ref().is_some_and(Endpoint::is_ready);
            let Some(endpoint) = self.by_name_hash.get(&report.name_hash).filter(ready) else { continue };
            self.record_outcome(now, *endpoint, report, ours.then_some(false));
        }
    }

    /// How many endpoints are listed, and how many of these are avoided: not ready, or with a high outlier score.
    pub fn avoided(&self, now: Moment) -> (usize, usize) {
        let listed = || self.endpoints.iter().flatten().filter(|e| e.entry.state != EndpointState::Gone);
        let avoided = listed().filter(|e| !e.is_ready() || e.health(now, None) <= AVOIDED_HEALTH);
        (listed().count(), avoided.count())
    }

    /// For a shadow instance, which decides but does not send: replaces the request's attempt in flight by the one
    /// that was really sent, if any was.
    pub fn set_actual_attempt(&mut self, now: Moment, request: usize, endpoint: Option<usize>) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        (r.admitted, r.probed) = (true, Vec::new());
        if let Some(Attempt { endpoint, client_reading, .. }) = r.attempts.pop_if(|a| a.ended.is_none()) {
            self.endpoints[endpoint].iter_mut().for_each(|e| e.attempt_ended(client_reading));
        }
        if let Some(endpoint) = endpoint.filter(|at| self.endpoints[*at].is_some()) {
            let entry = self.endpoints[endpoint].as_ref().map(|e| e.entry).unwrap_or_default();
            r.attempts.push(Attempt::new(endpoint, entry, now));
            self.endpoints[endpoint].iter_mut().for_each(|e| e.in_flight += 1);
        }
    }

    /// Part of the response to the request's attempt in flight has arrived. Until the attempt's own deadline, by which the
    /// host passes the response on or reports how the attempt failed, the attempt is not given up: that would cut off a
    /// response that came in time.
    pub fn response_begun(&mut self, request: usize) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        (r.response_begun, r.cancel_when_late) = (true, false);
    }

    /// A response that counted as served with its first bytes has ended unfinished, because its endpoint stopped sending:
    /// to the endpoint it counts as a timeout past the time up to which the answer was of use.
    pub fn response_stalled(&mut self, now: Moment, endpoint: usize, method: usize) {
        self.record_late_timeout(now, endpoint, method);
    }

    fn record_late_timeout(&mut self, now: Moment, endpoint: usize, method: usize) {
        let report = AttemptReport { name_hash: 0, method, outcome: Outcome::Timeout, part: 1.0, load: None };
        self.record_outcome(now, endpoint, report, Some(true));
    }

    pub fn streaming(&mut self, request: usize) {
        self.requests.get_mut(request).into_iter().flatten().for_each(|r| r.streaming = true);
    }

    pub fn client_disconnected(&mut self, request: usize) {
        if let Some(Some(r)) = self.requests.get_mut(request) {
            r.closed = true;
            self.due.push_back(request);
        }
    }

    /// Begins a list update: the complete list, or only the entries that changed.
    pub fn list_begin(&mut self, complete: bool) {
        self.endpoints.iter_mut().flatten().for_each(|e| e.listed = !complete);
    }

    pub fn list_entry(&mut self, now: Moment, endpoint: usize, entry: Entry) {
        self.endpoints.resize_with(self.endpoints.len().max(endpoint + 1), || None);
        let outlier_score = vec![0.0; self.terms.methods.len()];
        let (latency_at, credit) = (now, (0.0, now));
        let fresh = || Endpoint { entry, latency_at, credit, outlier_score, new: true, ..Default::default() };
        let e = self.endpoints[endpoint].get_or_insert_with(fresh);
        if entry.started > e.entry.started {
            // A new process: the latency and outlier scores of the old one do not apply to it. Danger: if many
            // instances each sent at once they would overload it, however little each sends; so the first credit is
            // random.
            (e.latency, e.new, e.credit) = (None, true, (self.random.unit(), now));
            e.outlier_score.fill(0.0);
        }
        e.drained = entry.state == EndpointState::Draining || e.drained && entry.started == e.entry.started;
        (e.listed, e.gone_at) = (true, now);
        if entry.state == EndpointState::Gone {
            e.list_as_gone(now, self.terms.only_drains_bind);
        } else {
            (e.entry, e.gone_unconfirmed) = (entry, false);
        }
        self.by_name_hash.insert(entry.name_hash, endpoint);
        self.solved = None;
    }

    pub fn list_end(&mut self, now: Moment) {
        let answered = std::mem::take(&mut self.subscribing);
        self.subscribe_at = self.subscribe_at.filter(|_| !answered);
        let missing = |e: &&mut Endpoint| !e.listed && e.entry.state != EndpointState::Gone;
        let missing = self.endpoints.iter_mut().flatten().filter(missing);
        missing.for_each(|e| e.list_as_gone(now, self.terms.only_drains_bind));
        self.ready_endpoints = self.ready().count() as f64;
        self.solved = None;
        self.recheck_queue = true;
    }

    /// The list is the one that the instance has just been started with, and may be out of date. From then on the host
    /// has to report `list_confirmed` and `discovery_call_failed`.
    pub fn list_from_startup(&mut self, now: Moment) {
        self.startup_lease = StartupLease::new(now, &self.terms);
        if self.startup_lease.is_some() && self.subscribe_at.is_some() {
            let most = FIRST_SUBSCRIBE_DELAY_UNCONFIRMED * self.terms.instances;
            let sooner = now + most * self.random.unit();
            self.subscribe_later(self.subscribe_at.min(Some(sooner)));
        }
    }

    /// Discovery has answered for the first time since the start.
    pub fn list_confirmed(&mut self) {
        self.startup_lease = None;
        self.recheck_queue = true;
    }

    /// A call to discovery has failed.
    pub fn discovery_call_failed(&mut self, call: FailedCall) {
        self.startup_lease.iter_mut().for_each(|lease| lease.call_failed(call));
        self.recheck_queue = true;
    }

    /// Whether the list may be used now: it has been confirmed, or the lease on the list of the start runs.
    pub fn may_use_list(&self, now: Moment) -> bool {
        self.startup_lease.is_none_or(|lease| lease.allows(now))
    }

    /// Another running process of this instance states this of its list, which this instance has taken over.
    pub fn take_over_lease(&mut self, now: Moment, lease: SharedLease) {
        self.startup_lease.iter_mut().for_each(|own| own.take_over(now, lease));
        self.recheck_queue = true;
    }

    /// What this process states of its list to the others of this instance. Once its list has been confirmed, the host
    /// knows when it was `last_current`.
    pub fn shared_lease(&self, now: Moment, last_current: Option<Moment>) -> SharedLease {
        match &self.startup_lease {
            Some(lease) => lease.share(now),
            None => SharedLease::of_confirmed(now, last_current),
        }
    }

    /// The endpoints of which a list has told, with what a later list must not undo, by index.
    pub fn known_endpoints(&self) -> impl Iterator<Item = (usize, KnownEndpoint)> {
        let known = self.endpoints.iter().enumerate().filter_map(|(at, e)| Some((at, e.as_ref()?)));
        known.map(|(at, e)| {
            let state = if e.gone_unconfirmed { EndpointState::Gone } else { e.entry.state };
            let must_stop = e.drained || e.entry.state == EndpointState::Gone;
            (at, KnownEndpoint { entry: Entry { state, ..e.entry }, must_stop })
        })
    }

    pub fn list_failed(&mut self, now: Moment) {
        self.subscribing = false;
        // Danger: a discovery service that is down or overloaded stays so if all instances retry at once.
        let wait = SUBSCRIBE_DELAY * (0.5 + self.random.unit());
        self.subscribe_later(self.terms.ask_within.map(|within| now + within * wait));
    }

    pub fn wake(&mut self, now: Moment) {
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.decisions.push_back(Decision::Subscribe);
            // Danger: an instance whose call is never answered would use an old list for ever, so it calls again.
            self.subscribing = true;
            self.subscribe_later(self.terms.ask_within.map(|within| now + within));
        }
        self.recheck_queue = true;
        self.due.extend(self.waiting_for_probes.drain(..));
        let over = |r: &Request| r.cancel_when_late && now >= r.useful_until(&self.terms);
        self.due.extend((0..self.requests.len()).filter(|at| self.requests[*at].as_ref().is_some_and(over)));
        if now >= self.report_at && !self.report.is_empty() {
            let message = std::mem::take(&mut self.report);
            let instances = self.terms.instances as usize;
            for _ in 0..REPORT_PEERS.min(instances - 1) {
                let peer = (self.terms.instance_index + 1 + self.random.below(instances - 1)) % instances;
                self.decisions.push_back(Decision::TellPeer { peer, message: message.clone() });
            }
        }
    }

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        while self.decisions.is_empty() {
            if let Some(request) = self.due.pop_front() {
                self.decide(now, request);
            } else if std::mem::take(&mut self.recheck_queue) {
                self.due.extend(std::mem::take(&mut self.queue));
            } else {
                return None;
            }
        }
        self.decisions.pop_front()
    }

    fn decide(&mut self, now: Moment, request: usize) {
        let Some(r) = self.requests[request].as_mut() else { return };
        if r.closed {
            return self.cancel_and_forget(request);
        }
        let over = now >= r.useful_until(&self.terms);
        let out = r.attempts.last().filter(|a| a.ended.is_none()).map(|a| a.endpoint);
        if r.streaming || out.is_some() && !(r.cancel_when_late && over) {
            return;
        }
        let (method, key, nested) = (r.method, r.key, r.nested);
        if let Some(endpoint) = out {
            self.record_late_timeout(now, endpoint, method);
        }
        // Danger: a batch of events may arrive after the deadline; a request whose answer is of no use is not sent.
        if over {
            return self.give_up(request, GiveUpReason::TimeOver);
        }
        let r = self.requests[request].as_mut().expect("looked up above");
        if !std::mem::replace(&mut r.admitted, true) && !nested {
            self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO).min(RETRY_BUDGET_MAX);
            let drop = self.window(now, method).drop_chance(now, K, PROTECTION);
            let by_key = self.key_drop_chance(now, key);
            if self.random.unit() < drop || by_key > 0.0 && self.random.unit() < by_key {
                return self.give_up(request, GiveUpReason::Throttled);
            }
        }
        let r = self.requests[request].as_ref().expect("looked up above");
        let retry = !r.attempts.is_empty();
        let spent = self.retry_budget < 1.0 || r.attempts.len() >= r.max_attempts;
        let only_once = self.terms.methods[r.method].effect == Effect::NonRetryable && !r.never_ran();
        if retry && (spent || only_once || self.key_fails(now, key, None)) {
            return self.give_up(request, GiveUpReason::NoRetry);
        }
        // Danger: endpoints of a list that is out of date may be draining or gone for longer than they may be sent to.
        if !self.may_use_list(now) {
            return self.enqueue(now, request, GiveUpReason::ListUnconfirmed);
        }
        self.solve(now);
        if self.waits_for_probes(now, request) {
            return;
        }
        if self.probes == 0 && !nested && self.over_limit(now, method) {
            return self.enqueue(now, request, GiveUpReason::NoEndpoint);
        }
        // If all are well above the mean in flight, the draw is among these, still by their weights.
        let r = self.requests[request].as_ref().expect("looked up above");
        let (open, above) = self.eligible_endpoints(now, r);
        match self.random.weighted(&open).or_else(|| self.random.weighted(&above)) {
            Some(endpoint) => self.send(now, request, endpoint, retry),
            None => self.enqueue(now, request, GiveUpReason::NoEndpoint),
        }
    }

    fn send(&mut self, now: Moment, request: usize, endpoint: usize, retry: bool) {
        let credit = self.endpoints[endpoint].as_ref().map_or(0.0, |e| self.credit(now, e).0 - 1.0);
        let load_deviation = self.endpoints[endpoint].as_ref().and_then(|e| self.load_deviation(e));
        let entry = self.endpoints[endpoint].as_ref().expect("only known endpoints are drawn").entry;
        let r = self.requests[request].as_mut().expect("only open requests are sent");
        r.attempts.push(Attempt { load_deviation, ..Attempt::new(endpoint, entry, now) });
        r.probed.clear();
        r.response_begun = false;
        let mut give_up = self.attempt_deadline(now, request);
        let r = self.requests[request].as_mut().expect("looked up above");
        let e = self.endpoints[endpoint].as_mut().expect("only known endpoints are drawn");
        let at = r.useful_until(&self.terms);
        if self.terms.may_cancel && now < e.early_failure_until && at < r.deadline {
            (give_up, r.cancel_when_late) = (r.deadline, true);
            self.decisions.push_back(Decision::Wake { at });
        }
        e.in_flight += 1;
        e.credit = (credit, now);
        self.sends.count(now);
        self.retry_budget -= f64::from(u8::from(retry));
        self.decisions.push_back(Decision::Send { request, endpoint, give_up });
    }

    /// Until when to wait for the attempt that is sent now. Danger: a lost answer would hold its request, and room
    /// here, until the client gives up; so the attempt times out early for a retry, if half the retry budget is left.
    fn attempt_deadline(&self, now: Moment, request: usize) -> Moment {
        let r = self.requests[request].as_ref().expect("only open requests are sent");
        let (m, last) = (&self.terms.methods[r.method], r.attempts.len() == r.max_attempts);
        let mut open = self.ready().filter(|(_, e)| m.allows(&e.entry));
        let others = self.ready_endpoints > 1.0 && open.all(|(_, e)| self.may_attempt(now, r, m, e));
        let usual = self
            .usual_latency
            .mean_of(r.method)
            .filter(|_| !last && self.retry_budget >= RETRY_BUDGET_MAX / 2.0);
        let parts =
            usual.map(|usual| ATTEMPT_TIMEOUT_FACTOR * usual * r.size / m.latency_budget.secs().max(1e-6));
        let parts = parts.filter(|parts| others && *parts < ATTEMPT_TIMEOUT_MAX).unwrap_or(f64::MAX);
        r.useful_until(&self.terms).min(now + m.latency_budget * parts.max(ATTEMPT_TIMEOUT_MIN))
    }

    /// The design's drop chance for the requests of one key, against the accepts of all others. Danger: requests that
    /// wait for one another behind the endpoints fill all of these, and their failures are not an endpoint's fault.
    /// This is meant for a lock, a hot record or a poisoned key; it does harm to a key whose few requests met a
    /// failing endpoint.
    fn key_drop_chance(&mut self, now: Moment, key: Option<u32>) -> f64 {
        let Some(window) = key.and_then(|key| self.keys.get_mut(&key)) else { return 0.0 };
        let (all, accepts) = self.windows.first_mut().map_or((0.0, 0.0), |window| window.sums(now));
        window.drop_chance(now, K * (all + 1.0) / (accepts + 1.0), KEY_PROTECTION)
    }

    /// Whether the requests of this key fail because of the key, so that this outcome says nothing of the endpoint.
    /// `accepted` counts in the key's window first.
    fn key_fails(&mut self, now: Moment, key: Option<u32>, accepted: Option<bool>) -> bool {
        if let (Some(key), Some(accepted)) = (key, accepted)
            && (!accepted || self.keys.contains_key(&key))
        {
            let window = self
                .keys
                .entry(key)
                .or_insert_with(|| RollingWindow::new(now, WINDOW_BUCKET, WINDOW_BUCKETS));
            window.count(now, 1.0, f64::from(u8::from(accepted)));
        }
        self.key_drop_chance(now, key) > 0.0
    }

    /// The window that a method counts in. Danger: if the few places that a method is bound to were down, its
    /// failures in a common window would have the other methods rejected too; so a method with placement has its own.
    fn window(&mut self, now: Moment, method: usize) -> &mut RollingWindow {
        let at = if self.terms.methods[method].has_placement() { method + 1 } else { 0 };
        self.windows.resize_with(self.windows.len().max(at + 1), || {
            RollingWindow::new(now, WINDOW_BUCKET, WINDOW_BUCKETS)
        });
        &mut self.windows[at]
    }

    /// No endpoint can take the request now, for this reason: it is queued for a short time, ordered by worth, if that
    /// is likely to help.
    fn enqueue(&mut self, now: Moment, request: usize, reason: GiveUpReason) {
        let r = self.requests[request].as_mut().expect("only open requests are queued");
        r.probed.clear();
        let m = &self.terms.methods[r.method];
        let (wait, arrived, deadline) = (m.latency_budget * QUEUE_WAIT, r.arrived, r.deadline);
        // If all places that a method is bound to are down, a short wait does not bring them back.
        let all_down = m.has_placement() && !self.ready().any(|(_, e)| m.allows(&e.entry));
        if all_down || now + QUEUE_POLL_INTERVAL >= (arrived + wait).min(deadline) {
            return self.give_up(request, reason);
        }
        self.decisions
            .extend(self.queue.is_empty().then_some(Decision::Wake { at: now + QUEUE_POLL_INTERVAL }));
        // The worth of room at an endpoint: criticality by the time that the method usually takes.
        let method_worth = |m: usize| {
            self.terms.methods[m].criticality / self.usual_latency.mean_of(m).unwrap_or(1.0).max(1e-3)
        };
        let of = |r: &Request| if r.nested { f64::MAX } else { method_worth(r.method) };
        let worth = |request: &usize| self.requests[*request].as_ref().map_or(0.0, of);
        let position = self.queue.partition_point(|queued| worth(queued) >= worth(&request));
        self.queue.insert(position, request);
        // Danger: a queue longer than what is sent within the longest wait only delays rejections.
        if self.queue.len() as f64 > (self.sends.in_second() * wait.secs()).max(QUEUE_MIN) {
            let last = self.queue.pop().expect("just filled");
            self.give_up(last, GiveUpReason::QueueFull);
        }
    }

    /// Expected latency of a request of usual size at the endpoint, in seconds.
    fn expected(&self, now: Moment, e: &Endpoint, method: usize) -> f64 {
        let usual = self
            .usual_latency
            .get(e.entry.kind, method)
            .or(self.usual_latency.mean_of(method))
            .unwrap_or(0.0);
        let latency = e.latency.unwrap_or(1.0).powf(half_life_decay(e.latency_at, now, OUTLIER_HALF_LIFE));
        usual * (1.0 + self.load_slope.get() * self.load_deviation(e).unwrap_or(0.0)) * latency
    }

    /// Relative difference between the endpoint's requests in flight, from all instances, and the usual load, if it
    /// has reported its load.
    fn load_deviation(&self, e: &Endpoint) -> Option<f64> {
        e.other_load.map(|others| (others + e.in_flight as f64 + 1.0) / (self.usual_load + 1.0) - 1.0)
    }

    /// Gives the final answer to a request that is given up: a rejection where a repeat is safe, else a failure.
    fn give_up(&mut self, request: usize, reason: GiveUpReason) {
        let r = self.requests[request].as_mut().expect("only open requests are given up");
        let (m, never_ran) = (&self.terms.methods[r.method], r.never_ran());
        r.closed = true;
        // Danger: a rejection invites a repeat, so a request that may have run is rejected only if repeats are safe.
        let safe = m.effect == Effect::Retryable || m.effect == Effect::Deduplicated && m.group == Group::All;
        let wait = m.latency_budget * (RETRY_AFTER * (1.0 + self.random.unit()));
        let retry_after = self.terms.max_retry_after.map(|most| wait.min(most));
        let (reject, fail) =
            (Decision::Reject { request, retry_after, reason }, Decision::Fail { request, reason });
        self.decisions.push_back(if safe || never_ran { reject } else { fail });
        self.cancel_and_forget(request);
    }

    /// Cancels the attempts in flight of a closed request, or forgets the request once no outcome is outstanding.
    fn cancel_and_forget(&mut self, request: usize) {
        let Some(r) = self.requests[request].as_ref() else { return };
        let out = r.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none());
        let cancels = out.map(|(attempt, _)| Decision::Cancel { request, attempt }).collect::<Vec<_>>();
        if !cancels.is_empty() {
            return self.decisions.extend(cancels.into_iter().filter(|_| self.terms.may_cancel));
        }
        self.requests[request] = None;
        self.queue.retain(|queued| *queued != request);
        self.decisions.push_back(Decision::ForgetRequest { request });
    }

    /// Whether the request has to wait for reports of load. First probes a few endpoints, drawn as for an attempt.
    fn waits_for_probes(&mut self, now: Moment, request: usize) -> bool {
        let r = self.requests[request].as_ref().expect("only open requests wait for probes");
        if self.probes > 0 && r.probed.is_empty() {
            let until = now + self.terms.methods[r.method].latency_budget * PROBE_WAIT;
            let (mut open, above) = self.eligible_endpoints(now, r);
            open.extend(above);
            let mut probed = Vec::new();
            while let Some(at) = self.random.weighted(&open).filter(|_| probed.len() < self.probes) {
                open.retain(|(other, _)| *other != at);
                probed.push(at);
                let e = self.endpoints[at].as_mut().expect("drawn");
                let fresh = e.other_load.is_some() && now.since(e.other_load_at) < PROBE_FRESH;
                if !fresh && !std::mem::replace(&mut e.probe_pending, true) {
                    self.decisions.push_back(Decision::Probe { endpoint: at });
                }
            }
            self.decisions.extend((!probed.is_empty()).then_some(Decision::Wake { at: until }));
            let r = self.requests[request].as_mut().expect("only open requests wait for probes");
            (r.probed, r.probes_until) = (probed, until);
        }
        let r = self.requests[request].as_ref().expect("only open requests wait for probes");
        let pending = |at: &usize| self.endpoints[*at].as_ref().is_some_and(|e| e.probe_pending);
        let waits = now < r.probes_until && r.probed.iter().any(pending);
        self.waiting_for_probes.extend(waits.then_some(request));
        waits
    }

    fn ready(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        let known = self.endpoints.iter().enumerate().filter_map(|(at, e)| Some((at, e.as_ref()?)));
        known.filter(|(_, e)| e.is_ready())
    }

    /// The ready endpoints of the subset, in the order of their indices.
    fn subset_endpoints(&self) -> Vec<(usize, &Endpoint)> {
        let kept = self.subset.iter().filter_map(|at| Some((*at, self.endpoints[*at].as_ref()?)));
        let mut kept: Vec<_> = kept.filter(|(_, e)| e.is_ready()).collect();
        kept.sort_unstable_by_key(|(at, _)| *at);
        kept
    }

    /// Warm-up credit of a cold endpoint: the sends that it may get now, those that it may get beyond in a burst, and
    /// its gain in an overload window, by which its credit and its weight are set if any endpoint is warm. Danger:
    /// one burst can spend all of an endpoint's cold capacity. So can the credit that many idle instances have saved
    /// up, or a rate that they all take for settled as a burst begins; so credit lasts for one window. If all
    /// endpoints are cold, a burst has nowhere else to go.
    fn credit(&self, now: Moment, e: &Endpoint) -> (f64, f64, Option<f64>) {
        let share = |e: &Endpoint| e.warm_up_share(now, &self.terms);
        let kept = if share(e) < 1.0 { self.subset_endpoints() } else { return (1.0, 0.0, None) };
        let capacity = kept.iter().map(|(_, e)| share(e) * e.health(now, None)).sum::<f64>().max(1.0);
        if kept.iter().any(|(_, e)| share(e) >= 1.0) {
            let burst = self.sends.excess(now, COLD_BURST_SENDS * capacity) / capacity * share(e);
            return (e.credit.0, burst, Some(self.sends.settled() / capacity * share(e)));
        }
        let gain = (self.sends.in_window() / capacity).max(COLD_SENDS_MIN / self.terms.instances) * share(e);
        (token_bucket_level(e.credit, now, gain, self.terms.overload_window), 0.0, None)
    }

    /// This instance's part of the concurrency limit at an endpoint of its subset.
    fn limit_in_subset(&self) -> f64 {
        let part = if self.terms.may_tell { self.limit / self.terms.instances } else { self.limit };
        part * self.ready_endpoints / (self.subset.len() as f64).max(1.0)
    }

    /// The endpoints of the subset, or all, that the method may use, each with its health relative to the healthiest:
    /// so if all are unhealthy, none is. Then their number weighted by health, and so weighted the mean in flight.
    fn candidates(&self, now: Moment, method: usize, all: bool) -> (Vec<(usize, &Endpoint, f64)>, f64, f64) {
        let mut used = if all { self.ready().collect() } else { self.subset_endpoints() };
        // Danger: the mean and the health of all endpoints say nothing of the few that a method is bound to.
        used.retain(|(_, e)| self.terms.methods[method].allows(&e.entry));
        let mut used: Vec<_> = used.into_iter().map(|(at, e)| (at, e, e.health(now, Some(method)))).collect();
        let most = used.iter().map(|(_, _, health)| *health).fold(f64::MIN_POSITIVE, f64::max);
        used.iter_mut().for_each(|(_, _, health)| *health /= most);
        let count = used.iter().map(|(_, _, health)| health).sum::<f64>().max(1.0);
        let mean = used.iter().map(|(_, e, health)| e.in_flight as f64 * health).sum::<f64>() / count;
        (used, count, mean)
    }

    /// Factor on the weight of an endpoint in the instance's own zone, by the price of crossing zones.
    fn zone_weight(&self, e: &Endpoint) -> f64 {
        let price = (self.terms.cross_zone_price - CROSS_ZONE_PRICE_IGNORED).max(0.0);
        if self.terms.own_zone == Some(e.entry.zone) { 1.0 + OWN_ZONE_WEIGHT_GAIN * price } else { 1.0 }
    }

    fn decay_in_flight_mean(&mut self, now: Moment) {
        let gap = now.since(std::mem::replace(&mut self.in_flight_mean_at, now)).secs();
        self.in_flight_mean *= (-gap / REPORTED_LOAD_TIME.secs()).exp();
    }

    /// Whether this instance uses its part of its endpoints' limits. This goes by the mean in flight over a while:
    /// many instances with few requests each differ by chance, but together stay near the mean.
    fn over_limit(&mut self, now: Moment, method: usize) -> bool {
        if self.terms.may_tell {
            self.decay_in_flight_mean(now);
            return self.in_flight_mean >= self.limit;
        }
        let (_, count, mean) = self.candidates(now, method, false);
        let limit = self.limit_in_subset();
        let at_once = mean >= limit + (limit / count).sqrt();
        if self.terms.methods[method].has_placement() {
            return at_once;
        }
        let gap = now.since(std::mem::replace(&mut self.in_flight_mean_at, now)).secs();
        // Danger: an instance with far more to send than its part would be slow to see that its limit is in use, so
        // the smoothing time shrinks with its rate of sends.
        let most = IN_FLIGHT_SMOOTHING_SENDS / self.sends.in_second().max(1e-6);
        let over = (IN_FLIGHT_SMOOTHING_TIME.secs() * self.terms.instances).min(most);
        self.in_flight_mean += gap / (gap + over).max(1e-9) * (mean - self.in_flight_mean);
        // Danger: many instances that each have one attempt in flight at every endpoint overload it together, so the
        // limit applies to the mean, not only to each endpoint. Until the smoothed mean follows, a burst must not
        // exceed the limit by much.
        self.in_flight_mean >= limit || at_once
    }

    /// The endpoints that may take the request now, with their weights in the draw: first those not well above the
    /// mean in flight, then those above. Once the request has probed endpoints, only these, divided by expected
    /// latency.
    fn eligible_endpoints(&self, now: Moment, r: &Request) -> (Draw, Draw) {
        let (mut open, mut above) = (Vec::new(), Vec::new());
        let m = &self.terms.methods[r.method];
        // A retry may have to go outside the subset, to an endpoint in the group that deduplicates it.
        let all = m.effect == Effect::Deduplicated && m.group != Group::All && !r.never_ran();
        let (mut used, _, mean) = self.candidates(now, r.method, all);
        let home = used.iter().map(|(_, e, t)| (t * self.zone_weight(e), t));
        let (home, healths) = home.fold((0.0, 0.0), |sums, (home, t)| (sums.0 + home, sums.1 + t));
        let (probed, limit) = (!r.probed.is_empty(), self.limit_in_subset());
        let left = m.latency_budget.less(now.since(r.arrived)).secs();
        // Danger: a heavy request at a slow endpoint ends too late, and all of its work is wasted.
        let takes = |e: &Endpoint| if r.size > 1.0 { r.size * self.expected(now, e, r.method) } else { 0.0 };
        used.retain(|(at, e, _)| (!probed || r.probed.contains(at)) && self.may_attempt(now, r, m, e));
        let slope = self.load_slope.get();
        // For a probed endpoint: the expected latency relative to that which its weight implies.
        let expects =
            |e: &Endpoint, weight: f64| (1.0 + slope * self.load_deviation(e).unwrap_or(0.0)) / weight;
        let weight = |e: &Endpoint, health: f64| {
            let capacity = e.warm_up_share(now, &self.terms) * health;
            (capacity, e.fraction * self.usual_latency.relative_speed(e.entry.kind, r.method) * capacity)
        };
        let usual: f64 = used.iter().filter(|_| probed).map(|(_, e, t)| expects(e, weight(e, *t).1)).sum();
        let usual = usual / (used.len() as f64).max(1.0);
        for (endpoint, e, health) in used {
            let (share, (capacity, weight)) = (e.warm_up_share(now, &self.terms), weight(e, health));
            let (credit, burst, gain) = self.credit(now, e);
            let (full, busy) = if probed {
                let late =
                    r.size * self.expected(now, e, r.method) > PROBED_LATENCY_MAX * m.latency_budget.secs();
                (late, expects(e, weight) > PROBED_LATENCY_MARGIN * usual)
            } else {
                // Danger: in a burst only endpoints that are down stay below the mean in flight, and would get all
                // requests. So each further attempt has to fit into the room that the endpoint's health leaves.
                let home = (self.zone_weight(e) * healths / home).min(OWN_ZONE_ROOM_MAX);
                let room =
                    capacity * home * IN_FLIGHT_FACTOR * mean + health * (1.0 + share * IN_FLIGHT_SLACK);
                let full = e.in_flight as f64 >= (limit * share).max(1.0);
                (full && !r.nested, takes(e) > FIT_PREFERRED * left || e.in_flight as f64 + 1.0 > room)
            };
            if credit + burst < 1.0 || full || takes(e) > FIT_MAX * left {
                continue;
            }
            let weight = weight * self.zone_weight(e) / gain.unwrap_or(1.0).clamp(COLD_GAIN_MIN, 1.0);
            let tried = if r.attempts.iter().any(|a| a.endpoint == endpoint) { TRIED_WEIGHT } else { 1.0 };
            if busy { &mut above } else { &mut open }.push((endpoint, weight * tried));
        }
        (open, above)
    }

    /// Whether the request may go to this endpoint now without the risk that its effect happens twice.
    fn may_attempt(&self, now: Moment, r: &Request, m: &Method, e: &Endpoint) -> bool {
        let may_have_run = || r.attempts.iter().filter(|a| !a.ended.is_some_and(Outcome::never_ran));
        let Some(first) = may_have_run().next() else { return true };
        // Danger: the request may run twice outside the group that deduplicates it, or once that group's window has
        // passed since the first attempt that may have run.
        let remembered =
            now.since(first.sent) + self.terms.connect_timeout + self.terms.tick * DEDUP_MARGIN_TICKS
                < m.window;
        // Danger: a new process does not know what the one before it was sent, and may belong to another group.
        let restarted =
            |a: &Attempt| a.entry.name_hash == e.entry.name_hash && a.entry.started != e.entry.started;
        let shares_keys =
            |a: &Attempt| m.group == Group::All || m.group.same_group(&a.entry, &e.entry) && !restarted(a);
        match m.effect {
            Effect::Retryable => true,
            Effect::NonRetryable => false,
            Effect::Deduplicated => remembered && may_have_run().all(shares_keys),
        }
    }

    /// Computes the traffic fractions, once every solve interval or when the list has changed.
    fn solve(&mut self, now: Moment) {
        let over = self.sends.roll(now, self.terms.overload_window);
        for at in 0..if over || self.solved.is_none() { self.endpoints.len() } else { 0 } {
            let renewed = self.endpoints[at].as_ref().filter(|e| over || e.new);
            let Some(gain) = renewed.and_then(|e| self.credit(now, e).2) else { continue };
            let drawn = (COLD_CREDIT_FACTOR * gain + self.random.unit(), now);
            self.endpoints[at].iter_mut().for_each(|e| e.credit = drawn);
        }
        self.outcomes.roll(now, self.terms.overload_window);
        if self.solved.is_some_and(|at| now.since(at) < SOLVE_INTERVAL) {
            return;
        }
        self.solved = Some(now);
        // Danger: an endpoint that stops answering would keep its good latency, so attempts in flight count with
        // their age.
        let mut ages = vec![0.0_f64; self.endpoints.len()];
        for r in self.requests.iter().flatten() {
            let usual = self.usual_latency.mean_of(r.method).unwrap_or(f64::MAX);
            for a in r.attempts.iter().filter(|a| a.ended.is_none() && !a.client_reading) {
                ages[a.endpoint] = ages[a.endpoint].max(now.since(a.sent).secs() / (usual * r.size));
            }
        }
        self.keys.retain(|_, window| window.sums(now).0 > 0.0);
        for (e, age) in self.endpoints.iter_mut().zip(ages).filter_map(|(e, age)| Some((e.as_mut()?, age))) {
            e.fraction = e.latency.map_or(e.fraction, |latency| 1.0 / latency.max(age).max(1e-3));
        }
        let mean = mean(self.ready().filter_map(|(_, e)| e.latency.and(Some(e.fraction)))).unwrap_or(1.0);
        for (at, slot) in self.endpoints.iter_mut().enumerate() {
            let Some(e) = slot else { continue };
            e.fraction = e.latency.map_or(mean, |_| e.fraction);
            let over =
                e.entry.state == EndpointState::Gone && e.in_flight == 0 && e.gone_at + GONE_RETENTION < now;
            if over && !self.requests.iter().flatten().any(|r| r.attempts.iter().any(|a| a.endpoint == at)) {
                self.by_name_hash.remove(&e.entry.name_hash);
                *slot = None;
                self.decisions.push_back(Decision::ForgetEndpoint { endpoint: at });
            }
        }
        self.maintain_subset(now);
    }

    /// Fills the subset up to its size in healthy endpoints, and exchanges one when that is due.
    fn maintain_subset(&mut self, now: Moment) {
        let ready: Vec<usize> = self.ready().map(|(at, _)| at).collect();
        // Danger: connections to an endpoint that is gone would use up those that its successor at the same address
        // allows.
        let left: Vec<usize> = self.subset.extract_if(.., |kept| !ready.contains(kept)).collect();
        left.into_iter().for_each(|at| self.close_idle(at));
        let sends = self.sends.in_second() * SOLVE_INTERVAL.secs();
        let share = SUBSETS_PER_ENDPOINT * ready.len() as f64 / self.terms.instances;
        let wanted = (sends / SUBSET_SENDS).max(share).min(self.subset_max).max(SUBSET_MIN);
        // Danger: if the number of endpoints doubled, the new half would stay idle, as the instances keep to their
        // old subsets. So each new endpoint is added with the chance that it would have had if it had always been
        // there.
        for at in &ready {
            let chance = self.subset.len() as f64 / ready.len() as f64;
            let new = std::mem::take(&mut self.endpoints[*at].as_mut().expect("ready").new);
            if new && !self.subset.contains(at) && self.random.unit() < chance {
                self.drop_worst_of_subset(now);
                self.subset.push(*at);
            }
        }
        if wanted < ready.len() as f64 && now >= self.exchange_at {
            self.exchange_at = now + SUBSET_EXCHANGE_INTERVAL * (1.0 + self.random.unit());
            self.subset_max += 1.0;
            self.drop_worst_of_subset(now);
        }
        let weights = self.ready().map(|(at, e)| (at, e.health(now, None) * self.zone_weight(e)));
        let mut outside: Draw = weights.filter(|(at, _)| !self.subset.contains(at)).collect();
        let health = |at: &usize| self.endpoints[*at].as_ref().map_or(0.0, |e| e.health(now, None));
        // Danger: chance may leave a subset without any endpoint in the places that a method is bound to.
        let placed = self.terms.methods.iter().filter(|m| m.has_placement()).map(|m| (Some(m), SUBSET_MIN));
        for (method, wanted) in [(None, wanted)].into_iter().chain(placed) {
            let at = |at: &usize| self.endpoints[*at].as_ref();
            let open = |e: &usize| method.is_none_or(|m| at(e).is_some_and(|e| m.allows(&e.entry)));
            let mut healthy = self.subset.iter().filter(|at| open(at)).map(health).sum::<f64>();
            let mut pool: Draw = outside.extract_if(.., |(at, _)| open(at)).collect();
            while let Some(added) = self.random.weighted(&pool).filter(|_| healthy < wanted) {
                self.subset.push(added);
                pool.retain(|(at, _)| *at != added);
                healthy += health(&added);
            }
            outside.append(&mut pool);
        }
    }

    /// Removes the endpoint of the subset that serves worst.
    fn drop_worst_of_subset(&mut self, now: Moment) {
        let quality = |e: &Endpoint| e.fraction * e.health(now, None);
        let quality = |at: &usize| self.endpoints[self.subset[*at]].as_ref().map_or(0.0, quality);
        if let Some(worst) = (0..self.subset.len()).min_by(|a, b| quality(a).total_cmp(&quality(b))) {
            let removed = self.subset.swap_remove(worst);
            self.close_idle(removed);
        }
    }

    /// Closes the idle connections to an endpoint outside the subset. Danger: if they stayed open, they could keep
    /// another instance from connecting to it.
    fn close_idle(&mut self, endpoint: usize) {
        let outside = !self.subset.contains(&endpoint);
        let Some(e) = self.endpoints[endpoint].as_mut() else { return };
        if outside && e.in_flight == 0 && std::mem::take(&mut e.connected) {
            self.decisions.push_back(Decision::CloseIdle { endpoint });
        }
    }

    fn subscribe_later(&mut self, at: Option<Moment>) {
        self.subscribe_at = at;
        self.decisions.extend(at.map(|at| Decision::Wake { at }));
    }
}

impl Request {
    /// Until when an answer is of use, less the time to give the final answer before it is late.
    fn useful_until(&self, terms: &Terms) -> Moment {
        let m = &terms.methods[self.method];
        let prompt = m.latency_budget.less(terms.tick * ANSWER_MARGIN_TICKS).less(self.age);
        if m.overdue_criticality > 0.0 { self.deadline } else { self.deadline.min(self.arrived + prompt) }
    }
}

impl Endpoint {
    /// The list reports the endpoint as gone, or no longer has it. Danger: where only drains are binding, this may be
    /// wrong and the endpoint still serve. Its outlier score is then set as if it were down, until it answers or
    /// refuses a connection.
    fn list_as_gone(&mut self, now: Moment, only_drains_bind: bool) {
        if !only_drains_bind || self.drained || !self.is_ready() {
            (self.entry.state, self.gone_at) = (EndpointState::Gone, now);
        } else if !std::mem::replace(&mut self.gone_unconfirmed, true) {
            self.outlier_score_at = now;
            self.outlier_score.fill(OUTLIER_STEP_DOWN);
        }
    }

    /// Health for a method, or for the method with the worst score: the part of its traffic that the score leaves it.
    fn health(&self, now: Moment, method: Option<usize>) -> f64 {
        let worst = || self.outlier_score.iter().copied().fold(0.0, f64::max);
        let score = method.map_or_else(worst, |method| self.outlier_score[method]);
        0.5_f64.powf(score * half_life_decay(self.outlier_score_at, now, OUTLIER_HALF_LIFE))
    }

    fn warm_up_share(&self, now: Moment, terms: &Terms) -> f64 {
        self.entry.started.map_or(1.0, |at| terms.warm_part(now.since(at)))
    }
}
