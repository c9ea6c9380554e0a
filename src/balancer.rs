//! Every decision of one instance. Make a `Balancer` from the decoded terms and a seed, tell it what happens
//! (`arrival`, `outcome`, `hangup`, `list_*`, `wake` and so on), then pull `next_decision` until it is none.
//! `lib.rs` has the decisions and their words, `terms.rs` the terms, `known.rs` the rows of what is known.
//! The ordinary way of a request is the design's: the drop chance from a rolling window on arrival, fractions
//! from inverse smoothed served latency, weighted draws that pass over an endpoint with much in flight. Loads
//! that probes report, what peers tell, hints of work and a window by key only let these see more.
//! The rules are each held in one place: `end` (one final answer, rejections), `may_repeat` (effects),
//! `open_endpoints` (drains, a started one's budget), `trusted` (placement), `list_*` (the list).
//! Mechanisms beside the design, six at most:
//! 1. Distrust: a score per endpoint and method that failures raise and time fades. What is no endpoint's
//!    fault raises none: a key that fails everywhere, a client that reads, a clock that is ahead.
//! 2. Retries: only as effects permit, from a purse that arrivals fill; early for a lost answer.
//! 3. Circle: with too little traffic to hear from all, it keeps to some, and exchanges one at times.
//! 4. Bound: the most that an endpoint may hold in the mean, from latency against its budget.
//! 5. Hold: beyond the bound a request waits a little, the most worth first, work within work before all.
//! 6. Late returns: a client that comes back past its budget is told so at once.

use std::collections::{HashMap, VecDeque};

use crate::figures::{Chance, Habit, Rate, Rolling, Slope, Usual, accrued, halved, mean, smoothed};
use crate::known::{Attempt, Endpoint, Request};
use crate::news::AttemptReport;
use crate::terms::{Effect, Group, Method, Terms};
use crate::units::{Moment, Span};
use crate::{Decision, EndpointState, Entry, GiveUpReason, Outcome, RequestInfo};

// The design's: its start values, but for the margin, where half an attempt decides for a trickle.
const K: f64 = 2.0; // times accepts, the requests that are let through
const PROTECTION: (f64, f64) = (5.0, 1.0); // requests that may fail first, and of one key: one by chance
const BUCKETS: (Span, usize) = (Span::from_millis(250), 40); // their length and number: a window of 10 s
const SOLVE_EVERY: Span = Span::from_millis(1000); // between two solves of the fractions
const SMOOTHING: f64 = 0.1; // least part of a new latency: about the last ten count
const SMOOTHING_OVER: Span = Span::from_millis(2500); // of one heard from seldom: those of this time count
const MARGIN: (f64, f64) = (1.25, 0.5); // in flight beyond the mean times this, plus that, is well above it
const FITS: (f64, f64) = (0.8, 1.2); // of the budget left: beyond, an endpoint is passed over; then closed
const TRIED_WEIGHT: f64 = 0.01; // of an endpoint that the request has been to: only if there is hardly another
// Distrust, in halvings of traffic.
const DISTRUST_STEP: f64 = 1.0; // for a failure
const DISTRUST_DOWN: f64 = 4.0; // for a connection refused or broken, or an attempt timed out: mostly all are
const DISTRUST_OTHERS: f64 = 0.5; // part of it for other methods, unless connections fail: mostly all fail
const DISTRUST_KEPT: f64 = 0.8; // part of it that any other answer leaves: three halve it
const DISTRUST_MOST: f64 = 10.0; // a thousandth of the traffic can still tell of recovery
const DISTRUST_HALF: Span = Span::from_millis(4000); // to half, as old latencies do: a fault is short
const HASTY: Span = Span::from_millis(10_000); // that one full or late to fail gets the whole time: a window
const AVOIDED_TRUST: f64 = 0.25; // of its traffic, at most, has one that counts as avoided: two failures
// Retries.
const PURSE_SHARE: f64 = 0.2; // that one arrival pays for: a fifth of the load for long
const PURSE_MOST: f64 = 10.0; // saved up: enough to carry requests past one endpoint's fall
const PATIENCE: f64 = 5.0; // times the usual that one may take while another may follow: few take as long
const PATIENCE_PARTS: (f64, f64) = (0.2, 1.0); // least and most, of the budget: past it another earns little
const READ: (f64, f64) = (3.0, 0.15); // times the usual for its size, beyond all but few; part of reply slots
// Circle.
const CIRCLE_SENDS: f64 = 2.0; // to each endpoint in a solve interval: as many as keep its latency known
const CIRCLE_LEAST: f64 = 4.0; // endpoints, as a few may fall at once
const CIRCLES: f64 = 8.0; // that an endpoint is in, in the mean: with fewer, chance loads them too unevenly
const EXCHANGE_EVERY: Span = Span::from_millis(10000); // times one to two: rare against a connection's cost
const HOME_PRICE: f64 = 0.01; // of crossing zones: up to it, all crossings together cost less than chance
const HOME_GAIN: f64 = 150.0; // weight of home by the price beyond: seven times another's at a twentieth
const HOME_ROOM: f64 = 2.0; // most room that this gives an endpoint, in means: home is not crowded for it
// Bound: aim as part of the budget, least and first in attempts at an endpoint from all instances together.
const BOUND_OWN: (f64, f64, f64) = (0.3, 6.0, 8.0); // room for spread; under the least, cores idle
const BOUND_TOLD: (f64, f64, f64) = (0.3, 1.5, 3.0); // where load is told it acts on all at once: low
const BOUND_GAIN: (f64, f64) = (0.8, 0.25); // relative change in a second a whole budget off; most by one
const BOUND_USED: f64 = 0.7; // grows only while this part is in use: else answers teach nothing,
const BOUND_SPARE: f64 = 2.0; // and all of it but so many instances' parts, if that is more
const CROWD_OVER: Span = Span::from_millis(20); // smoothing of what is out, times the instances that share
const CROWD_SENDS: f64 = 100.0; // most sends that it is smoothed over: chance has evened out by then
const CROWD_TOLD: Span = Span::from_millis(800); // over which what peers tell of it is summed up
// Hold.
const HELD_FLOOR: f64 = 4.0; // requests held whatever the rate of sends, for an instance that has just started
const HOLD_SHARE: f64 = 0.06; // of the budget: makes room by the next answer, and a rejection is still of use
const HOLD_LOOK: Span = Span::from_millis(20); // between two looks: short against any budget
const COME_BACK: f64 = 0.1; // told to a rejected client, of the budget, times one to two: spreads the returns
// Rules.
const ANSWER_TICKS: f64 = 2.0; // before the budget ends: an attempt's outcome, then the final answer
const REPEAT_TICKS: f64 = 4.0; // before a group forgets: a repeat has yet to arrive, once connected
const COLD_FLOOR: f64 = 4.0; // sends in a fall window to a started endpoint, from all, where none is warm
const COLD_DRAWN: (f64, f64) = (1.5, 0.01); // of the gain, as some goes unused; least gain weighed up for
const COLD_RUSH: f64 = 3.0; // sends to each in a running window, beyond the rate, that tell of no other rate
const ASK_SHARE: f64 = 0.5; // of the stated asking time, to wait before subscribing or asking again
const FIRST_ASK_EACH: Span = Span::from_millis(100); // for each instance, most before the first: few need no longer
const GONE_KEPT: Span = Span::from_millis(60_000); // for an endpoint that is gone: it may yet come back
// Reported loads.
const ASKED: usize = 3; // endpoints: few, so that a late report does not send everyone to the same one
const ASKED_PRICE: f64 = 0.012; // most for a request's probes, of its worth: little is lost if they tell nothing
const ASKED_WAIT: f64 = 0.06; // of the budget, for reports
const ASKED_FRESH: Span = Span::from_millis(5); // age of a report not asked for again: little changes so soon
const ASKED_MARGIN: f64 = 0.8; // times the mean of the expected latencies: one beyond it is passed over
const ASKED_BOUND: f64 = 0.4; // of the budget, that an attempt may be expected to take
const SLOPE_FIRST: (f64, f64) = (0.5, 0.1); // what loads tell of latency at first, and how surely
const SLOPE_MOST: f64 = 3.0; // most that one latency counts there, in usual ones beyond the usual
const USUAL_PART: f64 = 0.05; // part of a new load or hint in the usual one: about the last twenty count
// Messages and hints.
const TELL_EVERY: Span = Span::from_millis(500); // between two messages
const TELL_PEERS: usize = 8; // that each goes to: several times the own rate is heard within a second
const SIZES: (f64, f64) = (0.4, 8.0); // of a request by its expected work: beyond, the wait for others tells more

type Draw = Vec<(usize, f64)>; // for one draw: endpoints and their weights

/// For the instance. `default` has no terms: it is what `new` starts from.
#[derive(Default)]
pub struct Balancer {
    terms: Terms,
    chance: Chance,
    requests: Vec<Option<Request>>,
    endpoints: Vec<Option<Endpoint>>,
    circle: Vec<usize>, // the endpoints that this instance keeps to
    circle_most: f64,   // most that it may keep to, as connections refused have shown
    exchange_at: Moment,
    due: VecDeque<usize>,
    keyed: bool,                 // requests come with keys here
    keys: HashMap<u32, Rolling>, // requests and accepts since one failed, of the keys that have failed lately
    asks: usize,                 // how many endpoints a request asks for their load
    asking_load: Vec<usize>,     // requests that wait for these
    held: Vec<usize>,            // requests that wait for an endpoint, the most worth first
    look_at_held: bool,
    out: VecDeque<Decision>,
    windows: Vec<Rolling>, // requests and accepts: of the methods that may go anywhere, then of each other
    habits: Vec<Habit>,    // of the clients, by method
    usual: Usual,          // usual served latency of each method here by kind of machine, in seconds
    load_usual: f64,       // usual load as reported
    telling: Slope,        // what a load tells of the latency that follows
    sends: Rate,           // in fall windows
    answers: Rate,         // the same, here and at peers that told of them
    news: Vec<u8>,         // what has yet to be told to peers
    tell_at: Moment,
    by_name_hash: HashMap<u32, usize>, // the endpoints by what peers call them
    fleet: f64,                        // how many endpoints are ready
    solved: Option<Moment>,
    purse: f64,
    bound: f64,
    crowd: f64, // the mean in flight in the circle, or everywhere as told, smoothed, as of a moment
    crowd_at: Moment,
    ask_at: Option<Moment>,
    asking: bool, // a call to the list's service is under way
}

fn asks(terms: &Terms) -> usize {
    let worth = (ASKED_PRICE / terms.probe_price.max(1e-9)) as usize;
    if terms.load_at.is_some() && worth > 1 { worth.min(ASKED) } else { 0 }
}

/// The bound's aim, and an instance's part of the least and the first.
fn bounds(terms: &Terms) -> (f64, f64, f64) {
    let (of, sharers) = if terms.may_tell { (BOUND_TOLD, 1.0) } else { (BOUND_OWN, terms.instances) };
    (of.0, of.1 / sharers, of.2 / sharers)
}

impl Balancer {
    pub fn new(now: Moment, terms: Terms, seed: u64) -> Balancer {
        let mut chance = Chance::new(seed);
        // Danger: all instances that start together would fall on the list's service at once.
        // Danger: what has changed while this one was down counts as told whether it has asked or not; so few,
        // of whom the service can answer each within moments, ask sooner. It hurts where the service is slower.
        let most = |within: Span| (within * ASK_SHARE).min(FIRST_ASK_EACH * terms.instances);
        let ask_at = terms.ask_within.map(|within| now + most(within) * chance.part());
        let mut balancer = Balancer {
            habits: vec![Habit::default(); terms.methods.len()],
            load_usual: 1.0,
            telling: Slope::new(SLOPE_FIRST.0, SLOPE_FIRST.1),
            bound: bounds(&terms).2,
            asks: asks(&terms),
            sends: Rate::new(now, terms.fall_window),
            answers: Rate::new(now, terms.fall_window),
            terms,
            chance,
            circle_most: f64::MAX,
            exchange_at: now,
            purse: PURSE_MOST,
            crowd_at: now,
            ..Balancer::default()
        };
        balancer.ask_later(ask_at);
        balancer
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Other terms hold for what arrives from now on. Methods that open requests hold have kept their places; of
    /// each other place it is told which one its name had before, if any: what was learnt there stays.
    pub fn update_terms(&mut self, terms: Terms, places: &[(usize, Option<usize>)]) {
        for (to, from) in places {
            self.habits.resize(terms.methods.len(), Habit::default());
            self.habits[*to] = Habit::default();
            self.usual.follow(*to, *from);
            self.windows.truncate(1);
            for e in self.endpoints.iter_mut().flatten() {
                e.distrust.resize(terms.methods.len(), 0.0);
                e.distrust[*to] = from.map_or(0.0, |from| e.distrust[from]);
            }
        }
        self.bound *= bounds(&terms).2 / bounds(&self.terms).2;
        (self.asks, self.terms) = (asks(&terms), terms);
    }

    pub fn arrival(&mut self, now: Moment, request: usize, ask: RequestInfo) {
        let RequestInfo { method, left, work, key } = ask;
        // Danger: where all else has a key, what has none comes back to the tier that waits for it. Refused,
        // it undoes what waits; behind new work, it waits for places that its callers hold. It is against any
        // work within work that shows so; it hurts where clients leave out keys at will.
        self.keyed |= key.is_some();
        let within = self.keyed && key.is_none();
        let size =
            work.map_or(1.0, |work| self.habits[method].size(work, USUAL_PART).clamp(SIZES.0, SIZES.1));
        self.requests.resize_with(self.requests.len().max(request + 1), || None);
        // Danger: a client that returns late would take a place for an answer that is worth nothing any more.
        // Tries have one length, found by a vote; one with less left is cut by its client's whole deadline,
        // but where the time left is in doubt: there its shortness tells nothing, and what seems over is not.
        let doubt = self.terms.left_doubt;
        let cut = doubt == Span::ZERO && self.habits[method].tries.shorter(left);
        let age = if cut { self.terms.methods[method].deadline.less(left) } else { Span::ZERO };
        self.requests[request] = Some(Request {
            method,
            key,
            within,
            age,
            size,
            most: self.terms.max_attempts,
            arrived: now,
            deadline: now + (left + doubt),
            asks_until: now,
            ..Request::default()
        });
        self.due.push_back(request);
    }

    pub fn outcome(&mut self, now: Moment, request: usize, attempt: usize, outcome: Outcome, closed: bool) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        let Some(w) = r.attempts.get_mut(attempt).filter(|w| w.ended.is_none()) else { return };
        w.ended = Some(outcome);
        r.closed |= closed;
        let (endpoint, method, off, key, read) = (w.endpoint, r.method, w.off, r.key, w.read);
        let part =
            now.since(w.sent).secs() / r.size / self.terms.methods[method].latency_budget.secs().max(1e-6);
        let in_vain = outcome == Outcome::Timeout && now >= r.useful_until(&self.terms);
        self.due.push_back(request);
        self.look_at_held = true;
        let e = self.endpoints[endpoint].as_mut().expect("an endpoint with a write-out is kept");
        e.leave(read);
        let name_hash = e.entry.name_hash;
        self.close_idle(endpoint);
        self.readers(now);
        let excused = read && outcome == Outcome::Timeout;
        let tells = !matches!(outcome, Outcome::Cancelled | Outcome::NeverSent | Outcome::ClientError);
        // What never ran there has not got as far as to what its key stands for.
        let accepted = Some(outcome == Outcome::Success && part <= 1.0).filter(|_| !outcome.never_ran());
        if tells && !excused && (!self.fails_by_key(now, key, accepted) || outcome.never_ran()) {
            let told = AttemptReport { name_hash, method, outcome, part, load: off };
            self.learn(now, endpoint, told, Some(in_vain));
            if self.terms.may_tell {
                if self.news.is_empty() {
                    self.tell_at = now + TELL_EVERY;
                    self.out.push_back(Decision::Wake { at: self.tell_at });
                }
                told.write(&mut self.news);
            }
        }
    }

    /// Where few answers can be held for clients, one long out may have been answered, and its client reads
    /// slowly: one at each endpoint is taken for that. Danger: it would hold a place there and have it
    /// distrusted for no fault of it, and slow readers would take all buffers from the others. It is against
    /// whatever keeps answers behind endpoints, and hurts where one of a few endpoints hangs.
    fn readers(&mut self, now: Moment) {
        let Some(slots) = self.terms.reply_slots else { return };
        let mut reading = Vec::new();
        for (at, r) in self.requests.iter_mut().enumerate().filter_map(|(at, r)| Some((at, r.as_mut()?))) {
            let out = r.attempts.last_mut().filter(|w| w.ended.is_none() && !r.streaming);
            let Some(w) = out else { continue };
            let Some(e) = self.endpoints[w.endpoint].as_mut() else { continue };
            let usual =
                self.usual.of(r.method).unwrap_or(f64::MAX) * r.size * e.latency.unwrap_or(1.0).max(1.0);
            let age = now.since(w.sent);
            if !w.read && !e.reading && age.secs() > READ.0 * usual {
                (w.read, e.reading) = (true, true);
                e.in_flight -= 1;
            }
            if w.read && !r.closed {
                reading.push((age, at));
            }
        }
        if reading.len() as f64 > slots as f64 * READ.1 {
            self.end(reading.into_iter().max().expect("more than none").1, GiveUpReason::RepliesFull);
        }
    }

    /// What an attempt's end teaches, from a peer or from here, where it may have been waited for in vain.
    fn learn(&mut self, now: Moment, endpoint: usize, told: AttemptReport, own: Option<bool>) {
        let AttemptReport { method, outcome, part, load, .. } = told;
        let Some(budget) = self.terms.methods.get(method).map(|m| m.latency_budget) else { return };
        let (secs, own, in_vain) = ((budget.secs() * part).max(1e-6), own.is_some(), own == Some(true));
        let Some(Some(e)) = self.endpoints.get_mut(endpoint) else { return };
        self.answers.count(now);
        let (kind, served) = (e.entry.kind, outcome == Outcome::Success);
        let usual = self.usual.at(kind, method);
        if let (Some(x), Some(usual)) = (load, usual.filter(|_| served || outcome == Outcome::Timeout)) {
            self.telling.heard(x, (secs / usual - 1.0).min(SLOPE_MOST));
        }
        e.connected |= own && outcome != Outcome::ConnectFailure;
        if own && e.doubted && outcome == Outcome::ConnectFailure {
            (e.entry.state, e.gone_at, self.solved) = (EndpointState::Gone, now, None);
        }
        // Danger: an endpoint whose clock is ahead turns away or breaks off what it takes to be over. It gets
        // the client's whole time to see, and the request is withdrawn here. After another error that makes no
        // difference; it hurts at an endpoint that is full, and begins what has been withdrawn.
        let late_error = outcome == Outcome::Error && usual.is_some_and(|usual| secs > usual);
        if own && (outcome == Outcome::Overloaded || late_error) {
            e.hasty_until = now + HASTY;
        }
        let down = matches!(outcome, Outcome::ConnectFailure | Outcome::Reset);
        let fade = halved(e.distrust_at, now, DISTRUST_HALF);
        (e.distrust_at, e.distrust) = (now, e.distrust.iter().map(|score| score * fade).collect());
        let failed = if served {
            let usual = self.usual.heard(kind, method, secs, SMOOTHING);
            e.distrust[method] *= DISTRUST_KEPT;
            let gap = now.since(std::mem::replace(&mut e.heard_at, now)).secs();
            let part = (gap / (gap + SMOOTHING_OVER.secs())).max(SMOOTHING);
            e.latency = Some(smoothed(e.latency, secs / usual, part));
            0.0
        } else {
            // Danger: one whose connections have run out refuses new sidecars for good. Who came first is to
            // make room too: its exchanges are refused as well, so its circle shrinks.
            let refused = own && outcome == Outcome::ConnectFailure && !e.connected;
            if refused && self.circle.contains(&endpoint) {
                self.circle.retain(|kept| *kept != endpoint);
                self.circle_most = self.circle.len() as f64;
            }
            // Danger: an endpoint that fails at once looks idle to all; so of that a peer's word counts.
            match e.latency {
                _ if !own && outcome != Outcome::Error => 0.0,
                None if down => DISTRUST_MOST,
                _ if down || in_vain => DISTRUST_DOWN,
                _ => DISTRUST_STEP,
            }
        };
        // Danger: an endpoint that fails all requests of one method wins trust back with answers to the others.
        for (other, score) in e.distrust.iter_mut().enumerate() {
            let part = if down || other == method { 1.0 } else { DISTRUST_OTHERS };
            *score = (*score + failed * part).min(DISTRUST_MOST);
        }
        // Danger: a queue that answers late never fails, so the window would not see the overload in it.
        self.window(now, method).book(now, 1.0, f64::from(u8::from(served && part <= 1.0)));
        // Danger: crowded endpoints turn slower and stay so; the crowd must be kept from forming.
        let (aim, least, _) = bounds(&self.terms);
        let off = match outcome {
            Outcome::Success | Outcome::Timeout => aim - part.min(1.0),
            Outcome::Overloaded => aim - 1.0,
            _ => 0.0,
        };
        // Danger: by its own few requests none can tell how much is out. By all, it is the time in a second.
        if self.terms.may_tell && self.asks == 0 {
            let times = if own { 1.0 } else { ((self.terms.instances - 1.0) / TELL_PEERS as f64).max(1.0) };
            self.fade_crowd(now);
            self.crowd += secs * times / CROWD_TOLD.secs() / self.fleet.max(1.0);
        }
        // Danger: what many instances grew in a calm, past its use by chance, they send at once in trouble.
        let shared = self.terms.may_tell;
        let spare = if shared { 0.0 } else { 1.0 - BOUND_SPARE / self.terms.instances };
        let bound = if shared { self.bound } else { self.bound_in_circle() };
        if off < 0.0 || self.crowd >= BOUND_USED.max(spare) * bound {
            let answers = self.answers.in_second().max(self.sends.in_second());
            let gain = (BOUND_GAIN.0 / answers.max(1e-6)).min(BOUND_GAIN.1);
            // Danger: a least that each instance may hold adds up over them. One must be possible, though.
            let least = least.max(if shared { 0.0 } else { 1.0 / self.fleet.max(1.0) });
            self.bound = (self.bound * (1.0 + gain * off)).max(least);
        }
    }

    /// Part of the request has gone on and is not held any more: it is sent no further, and is timed from now.
    pub fn partly_forwarded(&mut self, now: Moment, request: usize) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        (r.most, r.deadline, r.arrived) = (r.attempts.len(), r.deadline + now.since(r.arrived), now);
        r.attempts.last_mut().into_iter().for_each(|w| w.sent = now);
    }

    /// A probe has ended, with what it says of the requests in hand.
    pub fn probe_result(&mut self, now: Moment, endpoint: usize, load: Option<f64>) {
        let Some(Some(e)) = self.endpoints.get_mut(endpoint) else { return };
        (e.probed, e.others_at) = (false, now);
        e.others = load.map(|load| (load - e.in_flight as f64).max(0.0));
        self.load_usual += load.map_or(0.0, |load| USUAL_PART * (load - self.load_usual));
        self.due.extend(self.asking_load.drain(..));
    }

    /// How attempts to listed endpoints ended, as a peer tells, or (`ours`) this instance's other process.
    pub fn apply_reports(&mut self, now: Moment, news: impl Iterator<Item = AttemptReport>, ours: bool) {
        for told in news {
            let listed = |at: &&usize| self.endpoints[**at].as_ref().is_some_and(Endpoint::is_ready);
            let Some(endpoint) = self.by_name_hash.get(&told.name_hash).filter(listed) else { continue };
            self.learn(now, *endpoint, told, ours.then_some(false));
        }
    }

    /// How many endpoints are listed, and how many of these are avoided: not ready, or much distrusted.
    pub fn avoided(&self, now: Moment) -> (usize, usize) {
        let listed = || self.endpoints.iter().flatten().filter(|e| e.entry.state != EndpointState::Gone);
        let avoided = listed().filter(|e| !e.is_ready() || e.trust(now, None) <= AVOIDED_TRUST);
        (listed().count(), avoided.count())
    }

    /// For an instance that only watches: where the request's attempt that is out went in truth, if any is.
    pub fn set_actual_attempt(&mut self, now: Moment, request: usize, endpoint: Option<usize>) {
        let Some(Some(r)) = self.requests.get_mut(request) else { return };
        (r.admitted, r.asked) = (true, Vec::new());
        if let Some(Attempt { endpoint, read, .. }) = r.attempts.pop_if(|w| w.ended.is_none()) {
            self.endpoints[endpoint].iter_mut().for_each(|e| e.leave(read));
        }
        if let Some(endpoint) = endpoint.filter(|at| self.endpoints[*at].is_some()) {
            r.attempts.push(Attempt { endpoint, sent: now, ended: None, read: false, off: None });
            self.endpoints[endpoint].iter_mut().for_each(|e| e.in_flight += 1);
        }
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

    /// A list follows: all of it, or only what changed.
    pub fn list_begin(&mut self, complete: bool) {
        self.endpoints.iter_mut().flatten().for_each(|e| e.listed = !complete);
    }

    pub fn list_entry(&mut self, now: Moment, endpoint: usize, entry: Entry) {
        self.endpoints.resize_with(self.endpoints.len().max(endpoint + 1), || None);
        let distrust = vec![0.0; self.terms.methods.len()];
        let (heard_at, credit) = (now, (0.0, now));
        let fresh = || Endpoint { entry, heard_at, credit, distrust, new: true, ..Default::default() };
        let e = self.endpoints[endpoint].get_or_insert_with(fresh);
        if entry.started > e.entry.started {
            // A new process: what the old one earned or lost says nothing of it. Danger: many instances that
            // each send at once would push it over, however little each sends.
            (e.latency, e.new, e.credit) = (None, true, (self.chance.part(), now));
            e.distrust.fill(0.0);
        }
        e.drained = entry.state == EndpointState::Draining || e.drained && entry.started == e.entry.started;
        (e.listed, e.gone_at) = (true, now);
        if entry.state == EndpointState::Gone {
            e.lose(now, self.terms.drains_alone);
        } else {
            (e.entry, e.doubted) = (entry, false);
        }
        self.by_name_hash.insert(entry.name_hash, endpoint);
        self.solved = None;
    }

    pub fn list_end(&mut self, now: Moment) {
        let asked = std::mem::take(&mut self.asking);
        self.ask_at = self.ask_at.filter(|_| !asked);
        let missing = |e: &&mut Endpoint| !e.listed && e.entry.state != EndpointState::Gone;
        let missing = self.endpoints.iter_mut().flatten().filter(missing);
        missing.for_each(|e| e.lose(now, self.terms.drains_alone));
        self.fleet = self.ready().count() as f64;
        self.solved = None;
        self.look_at_held = true;
    }

    pub fn list_failed(&mut self, now: Moment) {
        self.asking = false;
        // Danger: a list service that is down or full stays so if everyone asks again at once.
        let wait = ASK_SHARE * (0.5 + self.chance.part());
        self.ask_later(self.terms.ask_within.map(|within| now + within * wait));
    }

    pub fn wake(&mut self, now: Moment) {
        if self.ask_at.is_some_and(|at| at <= now) {
            self.out.push_back(Decision::Subscribe);
            // Danger: an instance whose call goes unanswered would follow an old list for ever.
            self.asking = true;
            self.ask_later(self.terms.ask_within.map(|within| now + within));
        }
        self.look_at_held = true;
        self.due.extend(self.asking_load.drain(..));
        let over = |r: &Request| r.overstays && now >= r.useful_until(&self.terms);
        self.due.extend((0..self.requests.len()).filter(|at| self.requests[*at].as_ref().is_some_and(over)));
        if now >= self.tell_at && !self.news.is_empty() {
            let news = std::mem::take(&mut self.news);
            let instances = self.terms.instances as usize;
            for _ in 0..TELL_PEERS.min(instances - 1) {
                let peer = (self.terms.me + 1 + self.chance.below(instances - 1)) % instances;
                self.out.push_back(Decision::TellPeer { peer, message: news.clone() });
            }
        }
    }

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        while self.out.is_empty() {
            if let Some(request) = self.due.pop_front() {
                self.decide(now, request);
            } else if std::mem::take(&mut self.look_at_held) {
                self.due.extend(std::mem::take(&mut self.held));
            } else {
                return None;
            }
        }
        self.out.pop_front()
    }

    fn decide(&mut self, now: Moment, request: usize) {
        let Some(r) = self.requests[request].as_mut() else { return };
        if r.closed {
            return self.settle(request);
        }
        let over = now >= r.useful_until(&self.terms);
        let out = r.attempts.last().filter(|w| w.ended.is_none()).map(|w| w.endpoint);
        if r.streaming || out.is_some() && !(r.overstays && over) {
            return;
        }
        let (method, key, within) = (r.method, r.key, r.within);
        if let Some(endpoint) = out {
            let told =
                AttemptReport { name_hash: 0, method, outcome: Outcome::Timeout, part: 1.0, load: None };
            self.learn(now, endpoint, told, Some(true));
        }
        // Danger: a batch may come after the deadline; nothing is sent for what is over or worth nothing.
        if over {
            return self.end(request, GiveUpReason::TimeOver);
        }
        let r = self.requests[request].as_mut().expect("looked up above");
        if !std::mem::replace(&mut r.admitted, true) && !within {
            self.purse = (self.purse + PURSE_SHARE).min(PURSE_MOST);
            let drop = self.window(now, method).drop_chance(now, K, PROTECTION.0);
            let by_key = self.drop_by_key(now, key);
            if self.chance.part() < drop || by_key > 0.0 && self.chance.part() < by_key {
                return self.end(request, GiveUpReason::Throttled);
            }
        }
        let r = self.requests[request].as_ref().expect("looked up above");
        let further = !r.attempts.is_empty();
        let spent = self.purse < 1.0 || r.attempts.len() >= r.most;
        let only_once = self.terms.methods[r.method].effect == Effect::NonRetryable && !r.never_ran();
        if further && (spent || only_once || self.fails_by_key(now, key, None)) {
            return self.end(request, GiveUpReason::NoRetry);
        }
        self.solve(now);
        if self.asks(now, request) {
            return;
        }
        if self.asks == 0 && !within && self.crowded(now, method) {
            return self.hold(now, request);
        }
        // Where all are well above the mean, any will do; the draw still follows the weights.
        let r = self.requests[request].as_ref().expect("looked up above");
        let (open, above) = self.open_endpoints(now, r);
        match self.chance.drawn(&open).or_else(|| self.chance.drawn(&above)) {
            Some(endpoint) => self.send(now, request, endpoint, further),
            None => self.hold(now, request),
        }
    }

    fn send(&mut self, now: Moment, request: usize, endpoint: usize, further: bool) {
        let credit = self.endpoints[endpoint].as_ref().map_or(0.0, |e| self.credit(now, e).0 - 1.0);
        let off = self.endpoints[endpoint].as_ref().and_then(|e| self.load_off(e));
        let r = self.requests[request].as_mut().expect("only open reqs are sent");
        r.attempts.push(Attempt { endpoint, sent: now, ended: None, read: false, off });
        r.asked.clear();
        let mut give_up = self.give_up(now, request);
        let r = self.requests[request].as_mut().expect("looked up above");
        let e = self.endpoints[endpoint].as_mut().expect("only known endpoints are picked");
        let at = r.useful_until(&self.terms);
        if self.terms.may_cancel && now < e.hasty_until && at < r.deadline {
            (give_up, r.overstays) = (r.deadline, true);
            self.out.push_back(Decision::Wake { at });
        }
        e.in_flight += 1;
        e.credit = (credit, now);
        self.sends.count(now);
        self.purse -= f64::from(u8::from(further));
        self.out.push_back(Decision::Send { request, endpoint, give_up });
    }

    /// Up to when to wait for the attempt that sets out now. Danger: an answer that was lost would hold its
    /// request, and a place here, until the client gives up; so another is tried, if half the purse is there.
    fn give_up(&self, now: Moment, request: usize) -> Moment {
        let r = self.requests[request].as_ref().expect("only open reqs are sent");
        let (m, last) = (&self.terms.methods[r.method], r.attempts.len() == r.most);
        let mut open = self.ready().filter(|(_, e)| m.open_to(&e.entry));
        let others = self.fleet > 1.0 && open.all(|(_, e)| self.may_repeat(now, r, m, e));
        let usual = self.usual.of(r.method).filter(|_| !last && self.purse >= PURSE_MOST / 2.0);
        let parts = usual.map(|usual| PATIENCE * usual * r.size / m.latency_budget.secs().max(1e-6));
        let parts = parts.filter(|parts| others && *parts < PATIENCE_PARTS.1).unwrap_or(f64::MAX);
        r.useful_until(&self.terms).min(now + m.latency_budget * parts.max(PATIENCE_PARTS.0))
    }

    /// The design's drop chance for the requests of one key, against what is accepted of all others. Danger: requests
    /// that wait for one another behind all endpoints fill these, and their failures are no endpoint's. It is
    /// against a lock, a hot record, a poisoned key; it hurts a key whose few requests met a failing endpoint.
    fn drop_by_key(&mut self, now: Moment, key: Option<u32>) -> f64 {
        let Some(window) = key.and_then(|key| self.keys.get_mut(&key)) else { return 0.0 };
        let (all, accepts) = self.windows.first_mut().map_or((0.0, 0.0), |window| window.sums(now));
        window.drop_chance(now, K * (all + 1.0) / (accepts + 1.0), PROTECTION.1)
    }

    /// Whether the requests of this key fail by themselves, so that this one's end tells nothing of the endpoint.
    fn fails_by_key(&mut self, now: Moment, key: Option<u32>, accepted: Option<bool>) -> bool {
        if let (Some(key), Some(accepted)) = (key, accepted)
            && (!accepted || self.keys.contains_key(&key))
        {
            let window = self.keys.entry(key).or_insert_with(|| Rolling::new(now, BUCKETS.0, BUCKETS.1));
            window.book(now, 1.0, f64::from(u8::from(accepted)));
        }
        self.drop_by_key(now, key) > 0.0
    }

    /// Danger: where the few places of one method are down, its failures would have all others refused too.
    fn window(&mut self, now: Moment, method: usize) -> &mut Rolling {
        let at = if self.terms.methods[method].is_placed() { method + 1 } else { 0 };
        self.windows.resize_with(self.windows.len().max(at + 1), || Rolling::new(now, BUCKETS.0, BUCKETS.1));
        &mut self.windows[at]
    }

    /// Nothing can take the request now: it waits a little, the most worth in front, if that is likely to help.
    fn hold(&mut self, now: Moment, request: usize) {
        let r = self.requests[request].as_mut().expect("only open reqs are held");
        r.asked.clear();
        let m = &self.terms.methods[r.method];
        let (wait, arrived, deadline) = (m.latency_budget * HOLD_SHARE, r.arrived, r.deadline);
        // Where all places that a method is bound to are down, waiting a little brings none of them back.
        let in_vain = m.is_placed() && !self.ready().any(|(_, e)| m.open_to(&e.entry));
        if in_vain || now + HOLD_LOOK >= (arrived + wait).min(deadline) {
            return self.end(request, GiveUpReason::NoEndpoint);
        }
        self.out.extend(self.held.is_empty().then_some(Decision::Wake { at: now + HOLD_LOOK }));
        // What a place at an endpoint earns: criticality against the time that the method usually takes.
        let earns = |m: usize| self.terms.methods[m].criticality / self.usual.of(m).unwrap_or(1.0).max(1e-3);
        let of = |r: &Request| if r.within { f64::MAX } else { earns(r.method) };
        let worth = |request: &usize| self.requests[*request].as_ref().map_or(0.0, of);
        let place = self.held.partition_point(|held| worth(held) >= worth(&request));
        self.held.insert(place, request);
        // Danger: a queue longer than what is sent in a wait only delays its rejections.
        if self.held.len() as f64 > (self.sends.in_second() * wait.secs()).max(HELD_FLOOR) {
            let last = self.held.pop().expect("just filled");
            self.end(last, GiveUpReason::QueueFull);
        }
    }

    /// What a request of usual size is likely to take there, in seconds.
    fn expected(&self, now: Moment, e: &Endpoint, method: usize) -> f64 {
        let usual = self.usual.at(e.entry.kind, method).or(self.usual.of(method)).unwrap_or(0.0);
        let latency = e.latency.unwrap_or(1.0).powf(halved(e.heard_at, now, DISTRUST_HALF));
        usual * (1.0 + self.telling.get() * self.load_off(e).unwrap_or(0.0)) * latency
    }

    /// How far the requests in hand there, from all instances, are off the usual, in parts of it, where reported.
    fn load_off(&self, e: &Endpoint) -> Option<f64> {
        e.others.map(|others| (others + e.in_flight as f64 + 1.0) / (self.load_usual + 1.0) - 1.0)
    }

    /// The final answer of a request that is given up: rejected where a repeat does no harm, else failed.
    fn end(&mut self, request: usize, reason: GiveUpReason) {
        let r = self.requests[request].as_mut().expect("only open reqs are ended");
        let (m, never_ran) = (&self.terms.methods[r.method], r.never_ran());
        r.closed = true;
        // Danger: a rejection invites a repeat, so it must not follow what may have run, unless repeats are safe.
        let safe = m.effect == Effect::Retryable || m.effect == Effect::Deduplicated && m.group == Group::All;
        let wait = m.latency_budget * (COME_BACK * (1.0 + self.chance.part()));
        let retry_after = self.terms.max_retry_after.map(|most| wait.min(most));
        let (reject, fail) =
            (Decision::Reject { request, retry_after, reason }, Decision::Fail { request, reason });
        self.out.push_back(if safe || never_ran { reject } else { fail });
        self.settle(request);
    }

    /// Withdraws what a closed request still has out, and forgets it when nothing more can be heard of it.
    fn settle(&mut self, request: usize) {
        let Some(r) = self.requests[request].as_ref() else { return };
        let out = r.attempts.iter().enumerate().filter(|(_, w)| w.ended.is_none());
        let cancels = out.map(|(attempt, _)| Decision::Cancel { request, attempt }).collect::<Vec<_>>();
        if !cancels.is_empty() {
            return self.out.extend(cancels.into_iter().filter(|_| self.terms.may_cancel));
        }
        self.requests[request] = None;
        self.held.retain(|held| *held != request);
        self.out.push_back(Decision::ForgetRequest { request });
    }

    /// Whether the request waits for reports of load: it asks a few endpoints for them, drawn as for an attempt.
    fn asks(&mut self, now: Moment, request: usize) -> bool {
        let r = self.requests[request].as_ref().expect("only open reqs ask");
        if self.asks > 0 && r.asked.is_empty() {
            let until = now + self.terms.methods[r.method].latency_budget * ASKED_WAIT;
            let (mut open, above) = self.open_endpoints(now, r);
            open.extend(above);
            let mut asked = Vec::new();
            while let Some(at) = self.chance.drawn(&open).filter(|_| asked.len() < self.asks) {
                open.retain(|(other, _)| *other != at);
                asked.push(at);
                let e = self.endpoints[at].as_mut().expect("drawn");
                let fresh = e.others.is_some() && now.since(e.others_at) < ASKED_FRESH;
                if !fresh && !std::mem::replace(&mut e.probed, true) {
                    self.out.push_back(Decision::Probe { endpoint: at });
                }
            }
            self.out.extend((!asked.is_empty()).then_some(Decision::Wake { at: until }));
            let r = self.requests[request].as_mut().expect("only open reqs ask");
            (r.asked, r.asks_until) = (asked, until);
        }
        let r = self.requests[request].as_ref().expect("only open reqs ask");
        let probed = |at: &usize| self.endpoints[*at].as_ref().is_some_and(|e| e.probed);
        let waits = now < r.asks_until && r.asked.iter().any(probed);
        self.asking_load.extend(waits.then_some(request));
        waits
    }

    fn ready(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        let known = self.endpoints.iter().enumerate().filter_map(|(at, e)| Some((at, e.as_ref()?)));
        known.filter(|(_, e)| e.is_ready())
    }

    /// The ready endpoints of the circle, in the order of their indices.
    fn kept(&self) -> Vec<(usize, &Endpoint)> {
        let kept = self.circle.iter().filter_map(|at| Some((*at, self.endpoints[*at].as_ref()?)));
        let mut kept: Vec<_> = kept.filter(|(_, e)| e.is_ready()).collect();
        kept.sort_unstable_by_key(|(at, _)| *at);
        kept
    }

    /// Sends that a cold endpoint may get now, and more in a rush; its part in a fall window, to draw by.
    /// Danger: a burst can spend its budget at once. So can what many idle instances save up, or take for a
    /// rate as a rush begins; so a draw lasts one window. If all are cold, a rush has no other way.
    fn credit(&self, now: Moment, e: &Endpoint) -> (f64, f64, Option<f64>) {
        let share = |e: &Endpoint| e.cold_share(now, &self.terms);
        let kept = if share(e) < 1.0 { self.kept() } else { return (1.0, 0.0, None) };
        let places = kept.iter().map(|(_, e)| share(e) * e.trust(now, None)).sum::<f64>().max(1.0);
        if kept.iter().any(|(_, e)| share(e) >= 1.0) {
            let more = self.sends.risen(now, COLD_RUSH * places) / places * share(e);
            return (e.credit.0, more, Some(self.sends.settled() / places * share(e)));
        }
        let gain = (self.sends.in_window() / places).max(COLD_FLOOR / self.terms.instances) * share(e);
        (accrued(e.credit, now, gain, self.terms.fall_window), 0.0, None)
    }

    /// This instance's part of the bound, at an endpoint of its circle.
    fn bound_in_circle(&self) -> f64 {
        let part = if self.terms.may_tell { self.bound / self.terms.instances } else { self.bound };
        part * self.fleet / (self.circle.len() as f64).max(1.0)
    }

    /// The endpoints of the circle, or all, with their trust against that in the most trusted, so that all
    /// distrusted is the same as none; how many they count for, and the mean in flight.
    fn trusted(&self, now: Moment, method: usize, all: bool) -> (Vec<(usize, &Endpoint, f64)>, f64, f64) {
        let mut used = if all { self.ready().collect() } else { self.kept() };
        // Danger: the mean of all, and trust in all, say nothing of the few that a method is bound to.
        used.retain(|(_, e)| self.terms.methods[method].open_to(&e.entry));
        let mut used: Vec<_> = used.into_iter().map(|(at, e)| (at, e, e.trust(now, Some(method)))).collect();
        let most = used.iter().map(|(_, _, trust)| *trust).fold(f64::MIN_POSITIVE, f64::max);
        used.iter_mut().for_each(|(_, _, trust)| *trust /= most);
        let count = used.iter().map(|(_, _, trust)| trust).sum::<f64>().max(1.0);
        let mean = used.iter().map(|(_, e, trust)| e.in_flight as f64 * trust).sum::<f64>() / count;
        (used, count, mean)
    }

    fn home_weight(&self, e: &Endpoint) -> f64 {
        let dear = (self.terms.crossing_price - HOME_PRICE).max(0.0);
        if self.terms.home == Some(e.entry.zone) { 1.0 + HOME_GAIN * dear } else { 1.0 }
    }

    fn fade_crowd(&mut self, now: Moment) {
        let gap = now.since(std::mem::replace(&mut self.crowd_at, now)).secs();
        self.crowd *= (-gap / CROWD_TOLD.secs()).exp();
    }

    /// Whether this instance holds its part of what its endpoints may hold. That goes by the mean over a
    /// while: many instances with few requests each differ by chance, and together stay near the mean.
    fn crowded(&mut self, now: Moment, method: usize) -> bool {
        if self.terms.may_tell {
            self.fade_crowd(now);
            return self.crowd >= self.bound;
        }
        let (_, count, mean) = self.trusted(now, method, false);
        let bound = self.bound_in_circle();
        let at_once = mean >= bound + (bound / count).sqrt();
        if self.terms.methods[method].is_placed() {
            return at_once;
        }
        let gap = now.since(std::mem::replace(&mut self.crowd_at, now)).secs();
        // Danger: one that has far more to send than its part would be slow to see that its bound is in use.
        let most = CROWD_SENDS / self.sends.in_second().max(1e-6);
        let over = (CROWD_OVER.secs() * self.terms.instances).min(most);
        self.crowd += gap / (gap + over).max(1e-9) * (mean - self.crowd);
        // Danger: many instances that each keep a whole attempt at every endpoint crowd it together, so the
        // bound holds for the mean, not only for each endpoint. A burst must not pass it by much meanwhile.
        self.crowd >= bound || at_once
    }

    /// The endpoints that may take the request now, with their weights in the draw: those not well above the mean
    /// in flight, and those above. Once it has asked for loads, those asked, by the latency to expect.
    fn open_endpoints(&self, now: Moment, r: &Request) -> (Draw, Draw) {
        let (mut open, mut above) = (Vec::new(), Vec::new());
        let m = &self.terms.methods[r.method];
        // A repeat may have to go to an endpoint outside the circle, as its group is there.
        let all = m.effect == Effect::Deduplicated && m.group != Group::All && !r.never_ran();
        let (mut used, _, mean) = self.trusted(now, r.method, all);
        let home = used.iter().map(|(_, e, t)| (t * self.home_weight(e), t));
        let (home, trusts) = home.fold((0.0, 0.0), |sums, (home, t)| (sums.0 + home, sums.1 + t));
        let (asked, bound) = (!r.asked.is_empty(), self.bound_in_circle());
        let left = m.latency_budget.less(now.since(r.arrived)).secs();
        // Danger: a heavy request on a slow endpoint is done too late, and all of its work for nothing.
        let takes = |e: &Endpoint| if r.size > 1.0 { r.size * self.expected(now, e, r.method) } else { 0.0 };
        used.retain(|(at, e, _)| (!asked || r.asked.contains(at)) && self.may_repeat(now, r, m, e));
        let slope = self.telling.get();
        // Of one that was asked: the latency to expect there, against what its weight promises.
        let expects = |e: &Endpoint, weight: f64| (1.0 + slope * self.load_off(e).unwrap_or(0.0)) / weight;
        let weight = |e: &Endpoint, trust: f64| {
            let place = e.cold_share(now, &self.terms) * trust;
            (place, e.fraction * self.usual.suits(e.entry.kind, r.method) * place)
        };
        let usual: f64 = used.iter().filter(|_| asked).map(|(_, e, t)| expects(e, weight(e, *t).1)).sum();
        let usual = usual / (used.len() as f64).max(1.0);
        for (endpoint, e, trust) in used {
            let (share, (place, weight)) = (e.cold_share(now, &self.terms), weight(e, trust));
            let (credit, more, gain) = self.credit(now, e);
            let (full, crowded) = if asked {
                let late = r.size * self.expected(now, e, r.method) > ASKED_BOUND * m.latency_budget.secs();
                (late, expects(e, weight) > ASKED_MARGIN * usual)
            } else {
                // Danger: in a rush only endpoints that are down stay below the mean, and would get all. So a
                // retry must fit the place that the endpoint's trust leaves it.
                let home = (self.home_weight(e) * trusts / home).min(HOME_ROOM);
                let room = place * home * MARGIN.0 * mean + trust * (1.0 + share * MARGIN.1);
                let full = e.in_flight as f64 >= (bound * share).max(1.0);
                (full && !r.within, takes(e) > FITS.0 * left || e.in_flight as f64 + 1.0 > room)
            };
            if credit + more < 1.0 || full || takes(e) > FITS.1 * left {
                continue;
            }
            let weight = weight * self.home_weight(e) / gain.unwrap_or(1.0).clamp(COLD_DRAWN.1, 1.0);
            let tried = if r.attempts.iter().any(|w| w.endpoint == endpoint) { TRIED_WEIGHT } else { 1.0 };
            if crowded { &mut above } else { &mut open }.push((endpoint, weight * tried));
        }
        (open, above)
    }

    /// Whether an effect could happen twice if the request went to this endpoint now.
    fn may_repeat(&self, now: Moment, r: &Request, m: &Method, e: &Endpoint) -> bool {
        let may_have_run = || r.attempts.iter().filter(|w| !w.ended.is_some_and(Outcome::never_ran));
        let Some(first) = may_have_run().next() else { return true };
        // Danger: outside the group, or past its memory from the first that may have run, it runs twice.
        let remembered = now.since(first.sent) + self.terms.up_in + self.terms.tick * REPEAT_TICKS < m.window;
        let earlier = |w: &Attempt| self.endpoints[w.endpoint].as_ref().map(|e| &e.entry);
        let alike = |w: &Attempt| earlier(w).is_some_and(|earlier| m.group.same_group(earlier, &e.entry));
        match m.effect {
            Effect::Retryable => true,
            Effect::NonRetryable => false,
            Effect::Deduplicated => remembered && may_have_run().all(alike),
        }
    }

    /// Sets the fractions anew, once every solve interval or when the list has changed.
    fn solve(&mut self, now: Moment) {
        let over = self.sends.roll(now, self.terms.fall_window);
        for at in 0..if over || self.solved.is_none() { self.endpoints.len() } else { 0 } {
            let anew = self.endpoints[at].as_ref().filter(|e| over || e.new);
            let Some(gain) = anew.and_then(|e| self.credit(now, e).2) else { continue };
            let drawn = (COLD_DRAWN.0 * gain + self.chance.part(), now);
            self.endpoints[at].iter_mut().for_each(|e| e.credit = drawn);
        }
        self.answers.roll(now, self.terms.fall_window);
        if self.solved.is_some_and(|at| now.since(at) < SOLVE_EVERY) {
            return;
        }
        self.solved = Some(now);
        // Danger: one that stops answering would keep its good latency, so what is out counts with its age.
        let mut ages = vec![0.0_f64; self.endpoints.len()];
        for r in self.requests.iter().flatten() {
            let usual = self.usual.of(r.method).unwrap_or(f64::MAX);
            for w in r.attempts.iter().filter(|w| w.ended.is_none() && !w.read) {
                ages[w.endpoint] = ages[w.endpoint].max(now.since(w.sent).secs() / (usual * r.size));
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
                e.entry.state == EndpointState::Gone && e.in_flight == 0 && e.gone_at + GONE_KEPT < now;
            if over && !self.requests.iter().flatten().any(|r| r.attempts.iter().any(|w| w.endpoint == at)) {
                self.by_name_hash.remove(&e.entry.name_hash);
                *slot = None;
                self.out.push_back(Decision::ForgetEndpoint { endpoint: at });
            }
        }
        self.tend_circle(now);
    }

    /// Sees to it that the circle has its size in trusted endpoints, and exchanges one when it is time.
    fn tend_circle(&mut self, now: Moment) {
        let ready: Vec<usize> = self.ready().map(|(at, _)| at).collect();
        // Danger: a successor at an address would have its connections taken by those to what was there.
        let left: Vec<usize> = self.circle.extract_if(.., |kept| !ready.contains(kept)).collect();
        left.into_iter().for_each(|at| self.close_idle(at));
        let in_look = self.sends.in_second() * SOLVE_EVERY.secs();
        let places = CIRCLES * ready.len() as f64 / self.terms.instances;
        let wanted = (in_look / CIRCLE_SENDS).max(places).min(self.circle_most).max(CIRCLE_LEAST);
        // Danger: a fleet that doubles would leave its new half idle, as those who came first keep to the
        // old. So each new endpoint joins by the chance that it would have had if it had always been there.
        for at in &ready {
            let chance = self.circle.len() as f64 / ready.len() as f64;
            let new = std::mem::take(&mut self.endpoints[*at].as_mut().expect("ready").new);
            if new && !self.circle.contains(at) && self.chance.part() < chance {
                self.give_up_one(now);
                self.circle.push(*at);
            }
        }
        if wanted < ready.len() as f64 && now >= self.exchange_at {
            self.exchange_at = now + EXCHANGE_EVERY * (1.0 + self.chance.part());
            self.circle_most += 1.0;
            self.give_up_one(now);
        }
        let weights = self.ready().map(|(at, e)| (at, e.trust(now, None) * self.home_weight(e)));
        let mut outside: Draw = weights.filter(|(at, _)| !self.circle.contains(at)).collect();
        let trust = |at: &usize| self.endpoints[*at].as_ref().map_or(0.0, |e| e.trust(now, None));
        // Danger: chance may leave a circle without any of the places that a method is bound to.
        let placed = self.terms.methods.iter().filter(|m| m.is_placed()).map(|m| (Some(m), CIRCLE_LEAST));
        for (method, wanted) in [(None, wanted)].into_iter().chain(placed) {
            let at = |at: &usize| self.endpoints[*at].as_ref();
            let open = |e: &usize| method.is_none_or(|m| at(e).is_some_and(|e| m.open_to(&e.entry)));
            let mut trusted = self.circle.iter().filter(|at| open(at)).map(trust).sum::<f64>();
            let mut places: Draw = outside.extract_if(.., |(at, _)| open(at)).collect();
            while let Some(joins) = self.chance.drawn(&places).filter(|_| trusted < wanted) {
                self.circle.push(joins);
                places.retain(|(at, _)| *at != joins);
                trusted += trust(&joins);
            }
            outside.append(&mut places);
        }
    }

    /// Leaves out the one of the circle that serves worst.
    fn give_up_one(&mut self, now: Moment) {
        let good = |e: &Endpoint| e.fraction * e.trust(now, None);
        let good = |place: &usize| self.endpoints[self.circle[*place]].as_ref().map_or(0.0, good);
        if let Some(worst) = (0..self.circle.len()).min_by(|a, b| good(a).total_cmp(&good(b))) {
            let leaves = self.circle.swap_remove(worst);
            self.close_idle(leaves);
        }
    }

    /// Danger: a connection that stays open outside the circle keeps another instance from the endpoint.
    fn close_idle(&mut self, endpoint: usize) {
        let outside = !self.circle.contains(&endpoint);
        let Some(e) = self.endpoints[endpoint].as_mut() else { return };
        if outside && e.in_flight == 0 && std::mem::take(&mut e.connected) {
            self.out.push_back(Decision::CloseIdle { endpoint });
        }
    }

    fn ask_later(&mut self, at: Option<Moment>) {
        self.ask_at = at;
        self.out.extend(at.map(|at| Decision::Wake { at }));
    }
}

impl Request {
    /// Up to when an answer is worth something, with room to give the final answer before it is late.
    fn useful_until(&self, terms: &Terms) -> Moment {
        let m = &terms.methods[self.method];
        let prompt = m.latency_budget.less(terms.tick * ANSWER_TICKS).less(self.age);
        if m.overdue_criticality > 0.0 { self.deadline } else { self.deadline.min(self.arrived + prompt) }
    }
}

impl Endpoint {
    /// The list calls it gone, or has lost it. Danger: where only drains bind, that may be untrue of one that
    /// serves on. It is distrusted like one that is down, until it answers or refuses a connection.
    fn lose(&mut self, now: Moment, drains_alone: bool) {
        if !drains_alone || self.drained || !self.is_ready() {
            (self.entry.state, self.gone_at) = (EndpointState::Gone, now);
        } else if !std::mem::replace(&mut self.doubted, true) {
            self.distrust_at = now;
            self.distrust.fill(DISTRUST_DOWN);
        }
    }

    /// By method, or by that which fares worst.
    fn trust(&self, now: Moment, method: Option<usize>) -> f64 {
        let worst = || self.distrust.iter().copied().fold(0.0, f64::max);
        let score = method.map_or_else(worst, |method| self.distrust[method]);
        0.5_f64.powf(score * halved(self.distrust_at, now, DISTRUST_HALF))
    }

    fn cold_share(&self, now: Moment, terms: &Terms) -> f64 {
        self.entry.started.map_or(1.0, |at| terms.warm_part(now.since(at)))
    }
}
