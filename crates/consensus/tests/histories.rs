//! Simulated histories of replicas with faults of networks, disks, processes and clocks, each determined by a seed, with
//! checks of the protocol's guarantees. A failing test prints its seed; APPLEDYKE_HISTORY=replicas:seed replays it.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use world::{InjectedBug, World};

fn play(replicas: u16, seed: u64, bug: InjectedBug) -> Result<u64, String> {
    let played = catch_unwind(AssertUnwindSafe(|| World::new(replicas, seed, bug).play()));
    played.unwrap_or_else(|panic| {
        let said = panic.downcast_ref::<String>().cloned();
        Err(said.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string)).unwrap_or_default())
    })
}

/// Runs these seeds on all cores. Returns the failures and the number of committed commands.
fn failures(replicas: u16, seeds: std::ops::Range<u64>, bug: InjectedBug) -> (Vec<(u64, String)>, u64) {
    let (next, committed) = (AtomicU64::new(seeds.start), AtomicU64::new(0));
    let failed = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    match play(replicas, seed, bug) {
                        Ok(count) => drop(committed.fetch_add(count, Ordering::Relaxed)),
                        Err(what) => failed.lock().unwrap().push((seed, what)),
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap();
    failed.sort();
    (failed, committed.into_inner())
}

#[test]
fn thousands_of_histories_pass_all_checks() {
    if let Ok(wanted) = std::env::var("APPLEDYKE_HISTORY") {
        let (replicas, seed) = wanted.split_once(':').expect("replicas:seed");
        let (replicas, seed) = (replicas.parse().unwrap(), seed.parse().unwrap());
        println!("{replicas}:{seed}: {:?}", World::new(replicas, seed, InjectedBug::None).play());
        return;
    }
    for (replicas, seeds) in [(1, 0..50), (2, 0..150), (3, 0..1800), (5, 0..600)] {
        let count = seeds.end;
        let (failed, committed) = failures(replicas, seeds, InjectedBug::None);
        let messages: Vec<String> =
            failed.iter().take(5).map(|(seed, what)| format!("{replicas}:{seed}: {what}")).collect();
        assert!(failed.is_empty(), "{} histories failed:\n{}", failed.len(), messages.join("\n"));
        // The histories must make progress.
        assert!(committed > 20 * count, "{replicas} replicas: {committed} commands in {count} histories");
    }
}

#[test]
fn a_seed_gives_the_same_history_each_time() {
    for seed in 0..5 {
        let trace = || {
            let mut world = World::new(3, seed, InjectedBug::None);
            (world.play(), world.trace)
        };
        assert_eq!(trace(), trace(), "seed {seed}");
    }
}

/// Each check must find a bug that is added to the protocol.
#[test]
fn each_check_finds_the_bug_that_it_is_for() {
    for (bug, check) in [
        (InjectedBug::ForgedVotes, "election safety"),
        (InjectedBug::ForgottenVotes, "election safety"),
        (InjectedBug::ChangedEntry, "log matching"),
        (InjectedBug::ForgedLastPosition, "leader completeness"),
        (InjectedBug::OldFolderTrusted, "leader completeness"),
        (InjectedBug::EarlyDurability, "leader completeness"),
        (InjectedBug::ReplacedCommand, "state machine safety"),
        (InjectedBug::UnconfirmedReads, "linearizable"),
        (InjectedBug::DroppedVotes, "progress"),
        (InjectedBug::DoubleApply, "one state"),
    ] {
        let mut others = Vec::new();
        let found = (0..16).any(|block| {
            let (failed, _) = failures(3, block * 64..(block + 1) * 64, bug);
            let found = failed.iter().any(|(_, what)| what.starts_with(check));
            others.extend(failed.into_iter().map(|(_, what)| what));
            found
        });
        others.truncate(3);
        if !found {
            panic!("{bug:?} is not found by '{check}'; found: {others:?}");
        }
    }
}
