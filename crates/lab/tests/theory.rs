//! Compares the simulator with queueing theory, within the 99.9% confidence interval of the batch means.

use appledyke_lab::policy::PolicyKind;
use appledyke_lab::report::Counters;
use appledyke_lab::scenario::Scenario;
use appledyke_lab::simulate::play;

const BATCHES: usize = 30;
/// Student's t for 29 degrees of freedom, two-sided 99.9%.
const T: f64 = 3.66;
/// Mean service time in seconds.
const WORK: f64 = 0.02;

/// Simulates one endpoint with `cores` cores and this load on each, without network delay.
fn queue(cores: usize, load: f64, spread: &str, seconds: u64) -> Counters {
    let text = format!(
        "name='queue'\nlength_ms={}\nwarm_up_ms=20000\n[load]\nper_second={}\n[net]\nhop_ms=0\n[[method]]\nname='view'\n\
         share=1.0\neffect='retryable'\nlatency_budget_ms=60000\ndeadline_ms=60000\n[[tier]]\nsidecars=1\nendpoints=1\n\
         cores={cores}\nwork_ms=[{}]\nspread='{spread}'\n",
        seconds * 1000,
        load * cores as f64 / WORK,
        WORK * 1e3
    );
    play(&Scenario::parse(&text).unwrap(), PolicyKind::Random, 7)
}

/// The mean and half the width of its confidence interval.
fn mean(times: &[f64]) -> (f64, f64) {
    let size = times.len() / BATCHES;
    let means: Vec<f64> = times.chunks_exact(size).map(|b| b.iter().sum::<f64>() / size as f64).collect();
    let mean = means.iter().sum::<f64>() / means.len() as f64;
    let variance = means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / (means.len() - 1) as f64;
    (mean, T * (variance / means.len() as f64).sqrt())
}

fn erlang_c(cores: usize, load: f64) -> f64 {
    let offered = load * cores as f64;
    let (mut term, mut sum) = (1.0, 0.0);
    for k in 0..cores {
        sum += term;
        term *= offered / (k + 1) as f64;
    }
    let last = term / (1.0 - load);
    last / (sum + last)
}

fn agrees(counters: &Counters, theory: f64) {
    let (mean, half) = mean(&counters.times);
    assert!((mean - theory).abs() < half, "{mean} is not {theory} within {half}");
    // The interval must be narrow enough to be meaningful: at most a tenth of the mean.
    assert!(half < mean * 0.1, "{half} of {mean}");
}

#[test]
fn one_core_matches_m_m_1() {
    for load in [0.5, 0.8] {
        agrees(&queue(1, load, "exponential", 3000), WORK / (1.0 - load));
    }
}

#[test]
fn many_cores_match_erlang_c() {
    for (cores, load) in [(2, 0.7), (8, 0.9)] {
        let wait = erlang_c(cores, load) * WORK / (cores as f64 * (1.0 - load));
        agrees(&queue(cores, load, "exponential", 2000), WORK + wait);
    }
}

#[test]
fn fixed_work_matches_m_d_1() {
    let load = 0.8;
    agrees(&queue(1, load, "fixed", 3000), WORK + load * WORK / (2.0 * (1.0 - load)));
}

#[test]
fn mean_requests_inside_match_littles_law() {
    let (load, seconds) = (0.7, 3000);
    let counters = queue(1, load, "exponential", seconds);
    let (time, half) = mean(&counters.times);
    let outcomes = counters.outcomes("random", 7);
    // The number of requests inside is sampled once a second.
    let inside: Vec<f64> =
        outcomes.windows[20..seconds as usize].iter().map(|w| w.inside[0] as f64).collect();
    let (inside, inside_half) = mean(&inside);
    let rate = load / WORK;
    assert!((inside - rate * time).abs() < inside_half + rate * half, "{inside} is not {rate} times {time}");
}
