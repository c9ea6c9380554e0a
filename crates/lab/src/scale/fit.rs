//! What figures over sizes say: a line with its residual, whether they bend, what the line gives at another size, and
//! percentiles.

use serde::Serialize;

/// So far a curve must leave its line, relative to the mean, to be told as a bend: less is of no use to anybody, and the
/// noise of exact sums is less.
const BEND_LEAST: f64 = 0.01;
/// Two-sided 95 % of Student's distribution, by degrees of freedom from 1 on.
const STUDENT: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// A figure of one run at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// A straight line by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub points: usize,
    /// At size nought, and more for each further one.
    pub intercept: f64,
    pub slope: f64,
    /// Root mean square of what the line leaves, in the values' unit; and relative to their mean.
    pub residual: f64,
    pub relative: f64,
    #[serde(skip)]
    mean_size: f64,
    /// Sum of the squares of the sizes' distances from their mean, and of what the line leaves.
    #[serde(skip)]
    spread: f64,
    #[serde(skip)]
    left: f64,
}

/// What a line gives at a size: nineteen of twenty further runs lie from low to high, if the line holds there and runs
/// differ there as much as where it was measured. Without end where two points made the line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

/// Whether the values leave their line by a curve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Bend {
    /// The term of the square, in the values' unit by size squared: above nought they rise ever faster.
    pub square: f64,
    /// That term by its own standard error.
    pub ratio: f64,
    /// The farthest that the curve is off the line where it was measured, relative to the values' mean.
    pub off: f64,
    /// Slopes of the lower and the upper half of the sizes, the middle one in both.
    pub slopes: (f64, f64),
    /// More than chance leaves in nineteen of twenty, and enough to matter.
    pub bent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    pub count: usize,
    pub p50: u64,
    /// The last one where there are fewer than a hundred.
    pub p99: u64,
    pub last: u64,
}

fn student(freedom: usize) -> f64 {
    match freedom {
        0 => f64::INFINITY,
        // Within 0.002 of the table's continuation.
        31.. => 1.96 + 2.5 / freedom as f64,
        _ => STUDENT[freedom - 1],
    }
}

/// Sizes that differ, in order.
fn distinct(points: &[Point]) -> Vec<f64> {
    let mut sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

fn checked(points: &[Point], least: usize) -> Result<Vec<f64>, String> {
    if let Some(point) = points.iter().find(|point| !point.size.is_finite() || !point.value.is_finite()) {
        return Err(format!("no number: {} at size {}", point.value, point.size));
    }
    let sizes = distinct(points);
    if sizes.len() < least {
        return Err(format!("{} sizes, {least} are needed", sizes.len()));
    }
    Ok(sizes)
}

/// The line through all points, each run counting as much as another.
///
/// # Errors
/// Fewer than two sizes, or a value that is no number.
pub fn line(points: &[Point]) -> Result<Line, String> {
    checked(points, 2)?;
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean = points.iter().map(|point| point.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let both: f64 = points.iter().map(|point| (point.size - mean_size) * (point.value - mean)).sum();
    let slope = both / spread;
    let intercept = mean - slope * mean_size;
    // About the means: large sizes lose no digits.
    let off = |point: &Point| point.value - mean - slope * (point.size - mean_size);
    let left: f64 = points.iter().map(|point| off(point).powi(2)).sum();
    let residual = (left / count).sqrt();
    let relative = if residual == 0.0 { 0.0 } else { residual / mean.abs() };
    Ok(Line { points: points.len(), intercept, slope, residual, relative, mean_size, spread, left })
}

impl Line {
    pub fn at(&self, size: f64) -> Estimate {
        let value = self.intercept + self.slope * size;
        let freedom = self.points - 2;
        let band = if freedom == 0 {
            f64::INFINITY
        } else {
            let variance = self.left / freedom as f64;
            let far = (size - self.mean_size).powi(2) / self.spread;
            student(freedom) * (variance * (1.0 + 1.0 / self.points as f64 + far)).sqrt()
        };
        Estimate { value, low: value - band, high: value + band }
    }
}

/// Whether the points bend: the term of the square, as far as the line doesn't explain it, against its standard error.
///
/// # Errors
/// Fewer than three sizes or four points, or a value that is no number.
pub fn bend(points: &[Point]) -> Result<Bend, String> {
    let sizes = checked(points, 3)?;
    if points.len() < 4 {
        return Err(format!("{} points, 4 are needed", points.len()));
    }
    let straight = line(points)?;
    let squares: Vec<Point> = points
        .iter()
        .map(|point| Point { size: point.size, value: (point.size - straight.mean_size).powi(2) })
        .collect();
    let explained = line(&squares)?;
    // What is left of the squares beside the line, and of the values beside theirs.
    let own = |size: f64| (size - straight.mean_size).powi(2) - explained.intercept - explained.slope * size;
    let left = |point: &Point| point.value - straight.intercept - straight.slope * point.size;
    let weight: f64 = points.iter().map(|point| own(point.size).powi(2)).sum();
    let square = points.iter().map(|point| own(point.size) * left(point)).sum::<f64>() / weight;
    let variance: f64 =
        points.iter().map(|point| (left(point) - square * own(point.size)).powi(2)).sum::<f64>()
            / (points.len() - 3) as f64;
    let error = (variance / weight).sqrt();
    let ratio = if square == 0.0 { 0.0 } else { square / error };
    let mean = points.iter().map(|point| point.value.abs()).sum::<f64>() / points.len() as f64;
    let farthest = sizes.iter().map(|size| (square * own(*size)).abs()).fold(0.0, f64::max);
    let off = if farthest == 0.0 { 0.0 } else { farthest / mean };
    let middle = sizes[sizes.len() / 2];
    let slope = |is: &dyn Fn(f64) -> bool| {
        let half: Vec<Point> = points.iter().filter(|point| is(point.size)).copied().collect();
        line(&half).map(|line| line.slope)
    };
    let slopes = (slope(&|size| size <= middle)?, slope(&|size| size >= middle)?);
    let bent = ratio.abs() > student(points.len() - 3) && off > BEND_LEAST;
    Ok(Bend { square, ratio, off, slopes, bent })
}

/// By the nearest rank: each is one of the values. Nothing where there are none.
pub fn percentiles(values: &[u64]) -> Option<Percentiles> {
    let mut values = values.to_vec();
    values.sort_unstable();
    let last = *values.last()?;
    let rank = |percent: usize| values[(values.len() * percent).div_ceil(100) - 1];
    Some(Percentiles { count: values.len(), p50: rank(50), p99: rank(99), last })
}
