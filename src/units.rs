//! Points in time and durations, as two types that cannot be confused.

use std::ops::{Add, Mul};

/// A point on the host's clock, in nanoseconds since that clock's arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(u64);

/// A length of time in nanoseconds.
///
/// ```
/// use appledyke::units::{Moment, Span};
/// let start = Moment::from_nanos(5);
/// assert_eq!((start + Span::from_nanos(7)).since(start), Span::from_nanos(7));
/// assert_eq!(start.since(start + Span::from_nanos(7)), Span::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Moment {
    pub const fn from_nanos(nanos: u64) -> Self {
        Moment(nanos)
    }

    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// The time that has passed since `earlier`; zero if that lies in the future.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_nanos(nanos: u64) -> Self {
        Span(nanos)
    }

    pub const fn from_millis(millis: u64) -> Self {
        Span(millis.saturating_mul(1_000_000))
    }

    pub const fn nanos(self) -> u64 {
        self.0
    }

    pub const fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// This span less `other`; zero if `other` is longer.
    pub const fn less(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}
