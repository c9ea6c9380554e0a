//! Parallel runs, with the same results in the same order for any number of threads.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs each item of work on one of `workers` threads; results are in the order of the items.
pub fn each<W: Sync, R: Send>(work: &[W], workers: usize, run: impl Fn(&W) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let mut done: Vec<(usize, R)> = std::thread::scope(|scope| {
        let worker = || {
            let mut results = Vec::new();
            loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                match work.get(at) {
                    Some(item) => results.push((at, run(item))),
                    None => return results,
                }
            }
        };
        let handles: Vec<_> = (0..workers.max(1)).map(|_| scope.spawn(worker)).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a run does not panic")).collect()
    });
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}
