//! Benchmarks the cost of a log entry: applying it to the state, digesting the state, and persisting its batch.

use std::hint::black_box;

use appledyke_consensus::{Batch, Content, Entry, Position};
use appledyke_daemon::folder::Folder;
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::state::{Command, Fleet, SettingsChange, Write, WriteId};
use criterion::{Criterion, criterion_group, criterion_main};

fn put(number: u64) -> Command {
    let (author, reason, change) = (
        "bench".to_string(),
        String::new(),
        SettingsChange::Put("{\"rules\": {}}".repeat(20), Vec::new(), Vec::new()),
    );
    Command::Write(Write { id: WriteId(1, number), expected_version: None, author, reason, at_ms: 0, change })
}

fn apply(c: &mut Criterion) {
    let mut fleet = Fleet::default();
    for member in 0..1000 {
        let name = format!("s{member}");
        fleet.apply(
            member + 1,
            &Command::Member { name, incarnation: 1, status: MemberStatus::Serving, groups: Vec::new() },
        );
    }
    let mut number = 1000;
    c.bench_function("apply a put, 1,000 members", |b| {
        b.iter(|| {
            number += 1;
            black_box(fleet.apply(number, &put(number)))
        });
    });
    c.bench_function("digest, 1,000 members", |b| b.iter(|| black_box(fleet.digest())));
    let path = std::env::temp_dir().join(format!("appledyke-bench-{}", std::process::id()));
    let (mut folder, _, _) = Folder::open(&path, "bench", 1).expect("a folder");
    let mut index = 0;
    c.bench_function("persist an entry, two copies synced", |b| {
        b.iter(|| {
            index += 1;
            let entry = Entry {
                position: Position { term: 1, index },
                content: Content::Command(put(index).to_bytes()),
            };
            folder.persist(&Batch { entries: vec![entry], ..Batch::default() }).expect("written");
        });
    });
    drop(folder);
    let _ = std::fs::remove_dir_all(&path);
}

criterion_group!(benches, apply);
criterion_main!(benches);
