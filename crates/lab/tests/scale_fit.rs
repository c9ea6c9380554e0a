//! Lines, bends and percentiles against ones that are known.

use appledyke_lab::scale::fit::{Point, bend, line, percentiles};

const SIZES: [f64; 6] = [75.0, 150.0, 300.0, 600.0, 1200.0, 2400.0];

/// Three runs at each size, with noise of so much each way.
fn runs(seed: u64, noise: f64, of: impl Fn(f64) -> f64) -> Vec<Point> {
    let mut chance = oorandom::Rand64::new(u128::from(seed) + 1);
    let sizes = SIZES.iter().flat_map(|size| [*size; 3]);
    sizes.map(|size| Point { size, value: of(size) + noise * (2.0 * chance.rand_float() - 1.0) }).collect()
}

fn near(value: f64, wanted: f64, by: f64) -> bool {
    (value - wanted).abs() <= by
}

#[test]
fn a_known_line_comes_out_as_it_is() {
    for (intercept, slope) in [(0.0, 0.0), (5.0, 0.0), (-3.0, 0.25), (1e6, -1e-3), (1e-9, 1e9)] {
        let exact = runs(0, 0.0, |size| intercept + slope * size);
        let found = line(&exact).expect("six sizes");
        let scale = intercept.abs() + slope.abs() * 2400.0;
        assert!(near(found.intercept, intercept, 1e-9 * scale), "{found:?}");
        assert!(near(found.slope, slope, 1e-12 * scale), "{found:?}");
        assert!(found.residual <= 1e-9 * scale && found.relative <= 1e-6, "{found:?}");
        // Danger: what sums of exact figures leave must not be taken for a curve.
        let bend = bend(&exact).expect("six sizes");
        assert!(!bend.bent, "{bend:?}");
    }
}

#[test]
fn the_residual_is_what_the_line_leaves() {
    // Two runs at each size, one above and one below by 3: the line is known, and so is what it leaves.
    let points: Vec<Point> = SIZES
        .iter()
        .flat_map(|size| [3.0, -3.0].map(|off| Point { size: *size, value: 100.0 + 2.0 * size + off }))
        .collect();
    let found = line(&points).expect("six sizes");
    assert!(near(found.slope, 2.0, 1e-12) && near(found.intercept, 100.0, 1e-9), "{found:?}");
    let mean = 100.0 + 2.0 * SIZES.iter().sum::<f64>() / 6.0;
    assert!(near(found.residual, 3.0, 1e-9) && near(found.relative, 3.0 / mean, 1e-12), "{found:?}");
}

#[test]
fn the_band_holds_nineteen_of_twenty_further_runs() {
    let (mut within, mut all) = (0, 0);
    for seed in 0..2000 {
        let of = |size: f64| 40.0 + 0.5 * size;
        let (points, further) = (runs(seed, 30.0, of), runs(seed + 9_000, 30.0, of));
        // Below 2,400, then told at it.
        let (below, above): (Vec<Point>, _) = points.into_iter().partition(|point| point.size < 2000.0);
        let estimate = line(&below).expect("five sizes").at(2400.0);
        assert!(estimate.low < estimate.value && estimate.value < estimate.high);
        let at = above.into_iter().chain(further.into_iter().filter(|point| point.size > 2000.0));
        for point in at {
            all += 1;
            within += usize::from(estimate.low <= point.value && point.value <= estimate.high);
        }
    }
    let share = within as f64 / all as f64;
    assert!((0.93..=0.985).contains(&share), "{share}");
    // Far away it is wider, and from two points it has no end.
    let some = line(&runs(1, 30.0, |size| size)).expect("six sizes");
    let width = |size| some.at(size).high - some.at(size).low;
    assert!(width(24_000.0) > 2.0 * width(1200.0));
    let two = [Point { size: 1.0, value: 1.0 }, Point { size: 2.0, value: 2.0 }];
    assert!(line(&two).expect("two sizes").at(3.0).high.is_infinite());
}

/// Danger: all to all grows by the square; a line through it would say that 2,400 are fine.
#[test]
fn a_known_bend_is_seen_and_a_straight_line_seldom_is() {
    let (mut seen, mut false_ones) = (0, 0);
    for seed in 0..400 {
        let up = bend(&runs(seed, 30.0, |size| 40.0 + 0.5 * size + 1e-4 * size * size)).expect("six sizes");
        seen += usize::from(up.bent && up.square > 0.0 && up.slopes.1 > up.slopes.0);
        assert!(near(up.square, 1e-4, 5e-5), "{up:?}");
        false_ones += usize::from(bend(&runs(seed, 30.0, |size| 40.0 + 0.5 * size)).expect("six").bent);
    }
    assert!(seen == 400 && false_ones <= 30, "{seen} of 400 seen, {false_ones} of 400 false");
    let flat = bend(&runs(1, 1.0, |size| 1000.0 * size.sqrt())).expect("six sizes");
    assert!(flat.bent && flat.square < 0.0 && flat.slopes.1 < flat.slopes.0, "{flat:?}");
    // A curve without any noise, and one too small to matter.
    assert!(bend(&runs(1, 0.0, |size| size * size)).expect("six sizes").bent);
    let slight = bend(&runs(1, 0.0, |size| 1e6 + size + 1e-4 * size * size)).expect("six sizes");
    assert!(!slight.bent && slight.ratio > 100.0, "{slight:?}");
}

#[test]
fn too_few_sizes_and_what_is_no_number_are_refused() {
    let point = |size, value| Point { size, value };
    assert_eq!(line(&[]).expect_err("none"), "0 sizes, 2 are needed");
    assert_eq!(line(&[point(5.0, 1.0); 4]).expect_err("one"), "1 sizes, 2 are needed");
    let nan = line(&[point(1.0, f64::NAN), point(2.0, 1.0)]).expect_err("no number");
    assert_eq!(nan, "no number: NaN at size 1");
    assert_eq!(bend(&[point(1.0, 1.0), point(2.0, 2.0)]).expect_err("two"), "2 sizes, 3 are needed");
    let three = [1.0, 2.0, 3.0].map(|size| point(size, size));
    assert_eq!(bend(&three).expect_err("three points"), "3 points, 4 are needed");
}

#[test]
fn percentiles_are_of_the_values_also_of_few() {
    let of = |values: &[u64]| percentiles(values).map(|p| (p.count, p.p50, p.p99, p.last));
    assert_eq!(of(&[]), None);
    assert_eq!(of(&[7]), Some((1, 7, 7, 7)));
    assert_eq!(of(&[9, 1]), Some((2, 1, 9, 9)));
    let many = |count: u64| (1..=count).rev().collect::<Vec<u64>>();
    // Danger: with few values a percentile between ranks would hide the one that is late.
    assert_eq!(of(&many(99)), Some((99, 50, 99, 99)));
    assert_eq!(of(&many(100)), Some((100, 50, 99, 100)));
    assert_eq!(of(&many(1200)), Some((1200, 600, 1188, 1200)));
}
