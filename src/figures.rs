//! Plain arithmetic on what is observed, and chance.

use oorandom::Rand64;

use crate::units::{Moment, Span};

/// Part of a new pair in a slope: about the last fifty count.
const SLOPE_PART: f64 = 0.02;
/// Least variance that a slope is told from.
const SLOPE_VARIANCE: f64 = 0.02;

/// Relative difference within which two lengths are one, and the votes that make sure of it.
const NEAR: f64 = 0.01;
const VOTES: u32 = 20;

/// `old` moved by a part of the way to a new sample.
pub fn smoothed(old: Option<f64>, sample: f64, part: f64) -> f64 {
    old.map_or(sample, |old| old + part * (sample - old))
}

/// What is left by now of what was learned at a moment, where half of it goes in each `half`.
pub fn halved(since: Moment, now: Moment, half: Span) -> f64 {
    0.5_f64.powf(now.since(since).secs() / half.secs())
}

/// The mean of all, if there are any.
pub fn mean(all: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = all.fold((0.0, 0.0), |(sum, count), one| (sum + one, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// What a token bucket holds by now that gains so many tokens in each `window`: as many, or one, at the most.
///
/// ```
/// use appledyke::{figures::accrued, units::{Moment, Span}};
/// let (empty, window) = ((0.0, Moment::default()), Span::from_millis(1000));
/// let after = |windows: f64| Moment::default() + window * windows;
/// assert_eq!((accrued(empty, after(0.5), 4.0, window), accrued(empty, after(9.0), 4.0, window)), (2.0, 4.0));
/// assert_eq!(accrued(empty, after(9.0), 0.5, window), 1.0);
/// ```
pub fn accrued((held, since): (f64, Moment), now: Moment, gain: f64, window: Span) -> f64 {
    let windows = now.since(since).secs() / window.secs().max(1e-9);
    (held + gain * windows).min(gain.max(1.0))
}

/// How much one figure changes with another, over the latest pairs, from nought to one.
///
/// ```
/// let mut slope = appledyke::figures::Slope::new(0.0, 0.1);
/// (0..400).for_each(|at| slope.heard(f64::from(at % 3), f64::from(at % 3) * 0.5 + 2.0));
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
    /// Believed at first, as if pairs of this variance had shown it.
    pub fn new(slope: f64, variance: f64) -> Slope {
        Slope { x: 0.0, y: 0.0, xx: variance, xy: slope * variance }
    }

    pub fn heard(&mut self, x: f64, y: f64) {
        for (mean, new) in [(&mut self.x, x), (&mut self.y, y), (&mut self.xx, x * x), (&mut self.xy, x * y)]
        {
            *mean += SLOPE_PART * (new - *mean);
        }
    }

    pub fn get(&self) -> f64 {
        let variance = (self.xx - self.x * self.x).max(SLOPE_VARIANCE);
        ((self.xy - self.x * self.y) / variance).clamp(0.0, 1.0)
    }
}

/// The source of chance: one seed, one sequence.
pub struct Chance(Rand64);

impl Default for Chance {
    fn default() -> Chance {
        Chance::new(0)
    }
}

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(Rand64::new(u128::from(seed)))
    }

    /// From nought up to one.
    pub fn part(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn below(&mut self, most: usize) -> usize {
        self.0.rand_range(0..most.max(1) as u64) as usize
    }

    /// One of these by their weights.
    pub fn drawn(&mut self, weights: &[(usize, f64)]) -> Option<usize> {
        let mut left = self.part() * weights.iter().map(|(_, weight)| weight).sum::<f64>();
        let found = weights.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        found.or(weights.last()).map(|(at, _)| *at)
    }
}

/// Two counts over the latest buckets of time.
#[derive(Default)]
pub struct Rolling {
    bucket: Span,
    counts: Vec<(f64, f64)>,
    newest: u64,
}

impl Rolling {
    pub fn new(now: Moment, bucket: Span, buckets: usize) -> Rolling {
        Rolling { bucket, counts: vec![(0.0, 0.0); buckets], newest: now.nanos() / bucket.nanos() }
    }

    fn roll(&mut self, now: Moment) -> &mut (f64, f64) {
        let (bucket, buckets) = (now.nanos() / self.bucket.nanos(), self.counts.len());
        for passed in (self.newest + 1..=bucket).rev().take(buckets) {
            self.counts[passed as usize % buckets] = (0.0, 0.0);
        }
        self.newest = self.newest.max(bucket);
        &mut self.counts[self.newest as usize % buckets]
    }

    pub fn book(&mut self, now: Moment, first: f64, second: f64) {
        let newest = self.roll(now);
        *newest = (newest.0 + first, newest.1 + second);
    }

    /// The design's: requests beyond those that are let through for the accepts, over all; under nought for none.
    pub fn drop_chance(&mut self, now: Moment, k: f64, protection: f64) -> f64 {
        let (requests, accepts) = self.sums(now);
        (requests - protection - k * accepts) / (requests + 1.0)
    }

    pub fn sums(&mut self, now: Moment) -> (f64, f64) {
        self.roll(now);
        self.counts.iter().fold((0.0, 0.0), |sums, count| (sums.0 + count.0, sums.1 + count.1))
    }
}

/// Finds the length that most samples have, within a hundredth; where they differ it is never sure.
///
/// ```
/// use appledyke::{figures::Vote, units::Span};
/// let mut vote = Vote::default();
/// (0..30).for_each(|_| assert!(!vote.shorter(Span::from_millis(300))));
/// assert!(vote.shorter(Span::from_millis(200)));
/// ```
#[derive(Clone, Default)]
pub struct Vote {
    length: Span,
    votes: u32,
}

/// How a method's clients ask.
#[derive(Clone, Default)]
pub struct Habit {
    /// The time that one try has.
    pub tries: Vote,
    /// Work of a request in the mean, in seconds, as far as it is told.
    pub work: Option<f64>,
    /// How many requests have told theirs.
    pub hints: f64,
}

impl Habit {
    /// The size of a request by its expected work, against the mean: that of all at first, of which each new one moves
    /// `part` at least. Danger: smoothed from the first on, one light request would have all others look heavy.
    pub fn size(&mut self, work: Span, part: f64) -> f64 {
        self.hints += 1.0;
        let mean = smoothed(self.work, work.secs(), part.max(1.0 / self.hints));
        self.work = Some(mean);
        work.secs() / mean.max(1e-9)
    }
}

impl Vote {
    /// Counts a sample; whether it is surely shorter than most.
    pub fn shorter(&mut self, sample: Span) -> bool {
        let off = sample.secs() / self.length.secs().max(1e-9) - 1.0;
        match (off.abs() < NEAR, self.votes) {
            (true, votes) => self.votes = (votes + 1).min(2 * VOTES),
            (false, 0) => (self.length, self.votes) = (sample, 1),
            (false, _) => self.votes -= 1,
        }
        self.votes >= VOTES && off < -NEAR
    }
}

/// What counts in the running window of time and in the last whole one.
#[derive(Default)]
pub struct Rate {
    window: Span,
    since: Moment,
    running: f64,
    last: f64,
    settled: f64,
    counted_after: f64, // what of the window had passed as each of the running ones counted, in sum
}

impl Rate {
    pub fn new(now: Moment, window: Span) -> Rate {
        Rate { window, since: now, ..Rate::default() }
    }

    pub fn count(&mut self, now: Moment) {
        self.running += 1.0;
        self.counted_after += self.passed(now);
    }

    /// Begins another window if the running one is over. Danger: counted over a window of before, what is sent in one of
    /// another length would be off by as much. Whether another has begun.
    pub fn roll(&mut self, now: Moment, window: Span) -> bool {
        if window != self.window {
            let part = window.secs() / self.window.secs().max(1e-9);
            (self.running, self.last, self.window) = (self.running * part, self.last * part, window);
            self.settled *= part;
        }
        let over = now.since(self.since) >= self.window;
        if over {
            self.settled = self.running / self.passed(now).max(1e-9);
            (self.running, self.last, self.since, self.counted_after) = (0.0, self.running, now, 0.0);
        }
        over
    }

    /// In a window, by all the time up to when the running one began; nought before. What counts now moves it only
    /// once the running window is over.
    pub fn settled(&self) -> f64 {
        self.settled
    }

    /// What counts in the running window beyond a settled one and `least`, each for the part of a window that has passed
    /// since: what comes in one moment is no rate as yet.
    ///
    /// ```
    /// use appledyke::{figures::Rate, units::{Moment, Span}};
    /// let (start, window) = (Moment::default(), Span::from_millis(1000));
    /// let mut rate = Rate::new(start, window);
    /// (0..10).for_each(|_| rate.count(start + window * 0.25));
    /// let risen = |at: f64, least: f64| rate.risen(start + window * at, least);
    /// assert_eq!((risen(0.25, 0.0), risen(0.5, 0.0), risen(0.75, 2.0)), (0.0, 2.5, 3.5));
    /// ```
    pub fn risen(&self, now: Moment, least: f64) -> f64 {
        ((self.running - least) * self.passed(now) - self.counted_after - self.settled).max(0.0)
    }

    /// The running window, in parts of a whole one.
    fn passed(&self, now: Moment) -> f64 {
        now.since(self.since).secs() / self.window.secs().max(1e-9)
    }

    /// In a window: the greater of the two.
    pub fn in_window(&self) -> f64 {
        self.running.max(self.last)
    }

    pub fn in_second(&self) -> f64 {
        self.in_window() / self.window.secs().max(1e-9)
    }
}

/// Smoothed figures in seconds by kind and method.
#[derive(Default)]
pub struct Usual(Vec<Vec<Option<f64>>>);

impl Usual {
    pub fn heard(&mut self, kind: usize, method: usize, secs: f64, part: f64) -> f64 {
        self.0.resize_with(self.0.len().max(kind + 1), Vec::new);
        let methods = &mut self.0[kind];
        methods.resize(methods.len().max(method + 1), None);
        let usual = smoothed(methods[method], secs, part);
        methods[method] = Some(usual);
        usual
    }

    pub fn at(&self, kind: usize, method: usize) -> Option<f64> {
        *self.0.get(kind)?.get(method)?
    }

    /// A method takes a place anew, with the figures of another place or without any.
    pub fn follow(&mut self, place: usize, from: Option<usize>) {
        for methods in &mut self.0 {
            let figure = from.and_then(|from| *methods.get(from)?);
            methods.resize(methods.len().max(place + 1), None);
            methods[place] = figure;
        }
    }

    /// How quick a kind is at a method, against the mean of the kinds.
    pub fn suits(&self, kind: usize, method: usize) -> f64 {
        self.at(kind, method).zip(self.of(method)).map_or(1.0, |(usual, mean)| mean / usual.max(1e-6))
    }

    /// In the mean of the kinds that are known.
    pub fn of(&self, method: usize) -> Option<f64> {
        mean(self.0.iter().filter_map(|methods| *methods.get(method)?))
    }
}
