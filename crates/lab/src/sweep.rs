//! Many runs on all cores, with the same results in the same order on any number of them.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Does each piece of work on one of `workers` threads; results stand in the order of the work.
pub fn each<W: Sync, R: Send>(work: &[W], workers: usize, run: impl Fn(&W) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let mut done: Vec<(usize, R)> = std::thread::scope(|scope| {
        let worker = || {
            let mut mine = Vec::new();
            loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                match work.get(at) {
                    Some(piece) => mine.push((at, run(piece))),
                    None => return mine,
                }
            }
        };
        let handles: Vec<_> = (0..workers.max(1)).map(|_| scope.spawn(worker)).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a run does not panic")).collect()
    });
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}
