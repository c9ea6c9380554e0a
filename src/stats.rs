//! Statistics of observations, and a seeded random source.

use oorandom::Rand64;

use crate::units::{Moment, Span};

/// Weight of a new observation in a slope: about the last fifty count.
const SLOPE_SMOOTHING: f64 = 0.02;
/// Least variance that a slope is computed from.
const SLOPE_VARIANCE_MIN: f64 = 0.02;

/// Relative difference up to which two lengths count as equal.
const VOTE_TOLERANCE: f64 = 0.01;
/// Votes from which a majority counts as certain.
const VOTES_SURE: u32 = 20;

/// Exponential smoothing: `old` moved by the part `weight` of its distance to a new sample.
pub fn smoothed(old: Option<f64>, sample: f64, weight: f64) -> f64 {
    old.map_or(sample, |old| old + weight * (sample - old))
}

/// Exponential decay: the part that is left of a value set at `since`, with this half-life.
pub fn half_life_decay(since: Moment, now: Moment, half_life: Span) -> f64 {
    0.5_f64.powf(now.since(since).secs() / half_life.secs())
}

/// The mean, if there are any values.
pub fn mean(all: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = all.fold((0.0, 0.0), |(sum, count), one| (sum + one, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// The level of a token bucket that gains `gain` tokens in each `window` and holds that many at the most, but at
/// least one.
///
/// ```
/// use appledyke::{stats::token_bucket_level, units::{Moment, Span}};
/// let (empty, window) = ((0.0, Moment::default()), Span::from_millis(1000));
/// let after = |windows: f64| Moment::default() + window * windows;
/// assert_eq!((token_bucket_level(empty, after(0.5), 4.0, window), token_bucket_level(empty, after(9.0), 4.0, window)), (2.0, 4.0));
/// assert_eq!(token_bucket_level(empty, after(9.0), 0.5, window), 1.0);
/// ```
pub fn token_bucket_level((held, since): (f64, Moment), now: Moment, gain: f64, window: Span) -> f64 {
    let windows = now.since(since).secs() / window.secs().max(1e-9);
    (held + gain * windows).min(gain.max(1.0))
}

/// Slope of a linear regression over the latest observations, clamped to 0..=1.
///
/// ```
/// let mut slope = appledyke::stats::Slope::new(0.0, 0.1);
/// (0..400).for_each(|at| slope.add(f64::from(at % 3), f64::from(at % 3) * 0.5 + 2.0));
/// assert!((slope.get() - 0.5).abs() < 0.05);
/// ```
#[derive(Default)]
pub struct Slope {
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Slope {
    /// Starts from a slope, as if observations with this variance had shown it.
    pub fn new(slope: f64, variance: f64) -> Slope {
        Slope { x: 0.0, y: 0.0, xx: variance, xy: slope * variance }
    }

    pub fn add(&mut self, x: f64, y: f64) {
        for (mean, new) in [(&mut self.x, x), (&mut self.y, y), (&mut self.xx, x * x), (&mut self.xy, x * y)]
        {
            *mean += SLOPE_SMOOTHING * (new - *mean);
        }
    }

    pub fn get(&self) -> f64 {
        let variance = (self.xx - self.x * self.x).max(SLOPE_VARIANCE_MIN);
        ((self.xy - self.x * self.y) / variance).clamp(0.0, 1.0)
    }
}

/// Pseudo-random source: one seed, one sequence.
pub struct Random(Rand64);

impl Default for Random {
    fn default() -> Random {
        Random::new(0)
    }
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Rand64::new(u128::from(seed)))
    }

    /// Uniform from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// Uniform from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.rand_range(0..end.max(1) as u64) as usize
    }

    /// Draws one of the indices by their weights.
    pub fn weighted(&mut self, weights: &[(usize, f64)]) -> Option<usize> {
        let mut left = self.unit() * weights.iter().map(|(_, weight)| weight).sum::<f64>();
        let found = weights.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        found.or(weights.last()).map(|(at, _)| *at)
    }
}

/// Counts of requests and accepts over a rolling window of time, in buckets.
#[derive(Default)]
pub struct RollingWindow {
    bucket: Span,
    counts: Vec<(f64, f64)>,
    newest: u64,
}

impl RollingWindow {
    pub fn new(now: Moment, bucket: Span, buckets: usize) -> RollingWindow {
        RollingWindow { bucket, counts: vec![(0.0, 0.0); buckets], newest: now.nanos() / bucket.nanos() }
    }

    fn roll(&mut self, now: Moment) -> &mut (f64, f64) {
        let (bucket, buckets) = (now.nanos() / self.bucket.nanos(), self.counts.len());
        for passed in (self.newest + 1..=bucket).rev().take(buckets) {
            self.counts[passed as usize % buckets] = (0.0, 0.0);
        }
        self.newest = self.newest.max(bucket);
        &mut self.counts[self.newest as usize % buckets]
    }

    pub fn count(&mut self, now: Moment, requests: f64, accepts: f64) {
        let newest = self.roll(now);
        *newest = (newest.0 + requests, newest.1 + accepts);
    }

    /// The design's drop chance: the requests beyond `protection` and `k` times the accepts, as a part of all
    /// requests; below 0 if none is to be dropped.
    pub fn drop_chance(&mut self, now: Moment, k: f64, protection: f64) -> f64 {
        let (requests, accepts) = self.sums(now);
        (requests - protection - k * accepts) / (requests + 1.0)
    }

    pub fn sums(&mut self, now: Moment) -> (f64, f64) {
        self.roll(now);
        self.counts.iter().fold((0.0, 0.0), |sums, count| (sums.0 + count.0, sums.1 + count.1))
    }
}

/// Finds the length that most samples have, to within a hundredth, by majority vote. If there is no such length, it
/// never becomes certain.
///
/// ```
/// use appledyke::{stats::MajorityVote, units::Span};
/// let mut vote = MajorityVote::default();
/// (0..30).for_each(|_| assert!(!vote.is_shorter(Span::from_millis(300))));
/// assert!(vote.is_shorter(Span::from_millis(200)));
/// ```
#[derive(Clone, Default)]
pub struct MajorityVote {
    length: Span,
    votes: u32,
}

/// Statistics of the requests that clients send to a method.
#[derive(Clone, Default)]
pub struct MethodStats {
    /// The time left with which a try usually arrives.
    pub time_left: MajorityVote,
    /// Mean work of a request in seconds, by the hints that requests carry.
    pub work: Option<f64>,
    /// Number of requests with a hint of their work.
    pub hints: f64,
}

impl MethodStats {
    /// The size of a request: its expected work relative to the mean. The mean is a plain one at first; from when a
    /// new request weighs less than `weight` in it, it is smoothed by that. Danger: if it were smoothed from the
    /// first request on, one light request would make all others look heavy.
    pub fn relative_size(&mut self, work: Span, weight: f64) -> f64 {
        self.hints += 1.0;
        let mean = smoothed(self.work, work.secs(), weight.max(1.0 / self.hints));
        self.work = Some(mean);
        work.secs() / mean.max(1e-9)
    }
}

impl MajorityVote {
    /// Counts a sample, and returns whether it is certainly shorter than the length that most samples have.
    pub fn is_shorter(&mut self, sample: Span) -> bool {
        let difference = sample.secs() / self.length.secs().max(1e-9) - 1.0;
        match (difference.abs() < VOTE_TOLERANCE, self.votes) {
            (true, votes) => self.votes = (votes + 1).min(2 * VOTES_SURE),
            (false, 0) => (self.length, self.votes) = (sample, 1),
            (false, _) => self.votes -= 1,
        }
        self.votes >= VOTES_SURE && difference < -VOTE_TOLERANCE
    }
}

/// Counts events in the running window of time and in the last complete one.
#[derive(Default)]
pub struct Rate {
    window: Span,
    since: Moment,
    running: f64,
    last: f64,
    settled: f64,
    /// Sum, over the events of the running window, of the part of the window that had passed when each was counted.
    counted_after: f64,
}

impl Rate {
    pub fn new(now: Moment, window: Span) -> Rate {
        Rate { window, since: now, ..Rate::default() }
    }

    pub fn count(&mut self, now: Moment) {
        self.running += 1.0;
        self.counted_after += self.passed(now);
    }

    /// Starts a new window if the running one is over, and returns whether it did. Danger: if the length of the
    /// window changes, counts over the old length would be wrong for the new one, so they are scaled.
    pub fn roll(&mut self, now: Moment, window: Span) -> bool {
        if window != self.window {
            let scale = window.secs() / self.window.secs().max(1e-9);
            (self.running, self.last, self.window) = (self.running * scale, self.last * scale, window);
            self.settled *= scale;
        }
        let over = now.since(self.since) >= self.window;
        if over {
            self.settled = self.running / self.passed(now).max(1e-9);
            (self.running, self.last, self.since, self.counted_after) = (0.0, self.running, now, 0.0);
        }
        over
    }

    /// Events in a window by the last complete one, 0 before its end. Events of the running window count only once
    /// that is over.
    pub fn settled(&self) -> f64 {
        self.settled
    }

    /// Events of the running window beyond the settled rate and `least`. Each counts by the part of a window that has
    /// passed since: events of a single moment do not make a rate yet.
    ///
    /// ```
    /// use appledyke::{stats::Rate, units::{Moment, Span}};
    /// let (start, window) = (Moment::default(), Span::from_millis(1000));
    /// let mut rate = Rate::new(start, window);
    /// (0..10).for_each(|_| rate.count(start + window * 0.25));
    /// let excess = |at: f64, least: f64| rate.excess(start + window * at, least);
    /// assert_eq!((excess(0.25, 0.0), excess(0.5, 0.0), excess(0.75, 2.0)), (0.0, 2.5, 3.5));
    /// ```
    pub fn excess(&self, now: Moment, least: f64) -> f64 {
        ((self.running - least) * self.passed(now) - self.counted_after - self.settled).max(0.0)
    }

    /// The part of the running window that has passed.
    fn passed(&self, now: Moment) -> f64 {
        now.since(self.since).secs() / self.window.secs().max(1e-9)
    }

    /// Events in a window: those of the running one or of the last complete one, whichever are more.
    pub fn in_window(&self) -> f64 {
        self.running.max(self.last)
    }

    pub fn in_second(&self) -> f64 {
        self.in_window() / self.window.secs().max(1e-9)
    }
}

/// Smoothed latencies in seconds, by kind of machine and method.
#[derive(Default)]
pub struct UsualLatencies(Vec<Vec<Option<f64>>>);

impl UsualLatencies {
    /// Adds a latency, and returns the smoothed one.
    pub fn update(&mut self, kind: usize, method: usize, secs: f64, weight: f64) -> f64 {
        self.0.resize_with(self.0.len().max(kind + 1), Vec::new);
        let methods = &mut self.0[kind];
        methods.resize(methods.len().max(method + 1), None);
        let usual = smoothed(methods[method], secs, weight);
        methods[method] = Some(usual);
        usual
    }

    pub fn get(&self, kind: usize, method: usize) -> Option<f64> {
        *self.0.get(kind)?.get(method)?
    }

    /// Puts another method at an index, with the latencies of the index it had before, or none.
    pub fn replace_method(&mut self, index: usize, from: Option<usize>) {
        for methods in &mut self.0 {
            let latency = from.and_then(|from| *methods.get(from)?);
            methods.resize(methods.len().max(index + 1), None);
            methods[index] = latency;
        }
    }

    /// How fast a kind of machine is at a method, relative to the mean of the known kinds.
    pub fn relative_speed(&self, kind: usize, method: usize) -> f64 {
        self.get(kind, method).zip(self.mean_of(method)).map_or(1.0, |(usual, mean)| mean / usual.max(1e-6))
    }

    /// The mean over the known kinds of machine.
    pub fn mean_of(&self, method: usize) -> Option<f64> {
        mean(self.0.iter().filter_map(|methods| *methods.get(method)?))
    }
}
