//! Recovery after power cuts, truncated and damaged files, and failed operations.

use std::collections::BTreeMap;

use appledyke_store::disk::{Disk, DiskError, Folder};
use appledyke_store::format::Change;
use appledyke_store::simulated_disk::SimulatedDisk;
use appledyke_store::{Store, StoreError};

fn put(key: u8, value: u8) -> Change {
    Change::Put(vec![key], vec![value; 5])
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

fn contents<D: Disk>(store: &Store<D>) -> Model {
    store.iter().map(|(key, value)| (key.to_vec(), value.to_vec())).collect()
}

/// Runs batches of several changes and two compactions. Returns the acknowledged contents, and the contents that the
/// unfinished step would have produced.
fn history(disk: SimulatedDisk) -> (Model, Model) {
    let Ok((mut store, _)) = Store::open(disk) else { return Default::default() };
    let mut acknowledged = contents(&store);
    for step in 0..12_u8 {
        let mut next = acknowledged.clone();
        let changes = [put(step % 5, step), put(100 + step, step), Change::Remove(vec![100 + step / 2])];
        for change in &changes {
            match change {
                Change::Put(key, value) => drop(next.insert(key.clone(), value.clone())),
                Change::Remove(key) => drop(next.remove(key)),
            }
        }
        let result = if step % 5 == 4 { store.compact().map(|()| 0) } else { store.commit(&changes) };
        match result {
            Ok(_) if step % 5 == 4 => {}
            Ok(_) => acknowledged = next,
            Err(_) if step % 5 == 4 => return (acknowledged.clone(), acknowledged),
            Err(_) => {
                // The store must reject further writes.
                assert_eq!(store.commit(&changes), Err(StoreError::ReadOnly));
                return (acknowledged, next);
            }
        }
    }
    (acknowledged.clone(), acknowledged)
}

#[test]
fn a_power_cut_at_any_operation_loses_nothing_acknowledged() {
    let disk = SimulatedDisk::default();
    history(disk.clone());
    let operations = disk.0.borrow().operations;
    assert!(operations > 50);
    for cut in 1..=operations {
        for unsynced_bytes in [[0, 0], [1, 0], [13, 40], [40, 13], [0, 10_000], [10_000, 0], [10_000, 10_000]]
        {
            let disk = SimulatedDisk::default();
            disk.0.borrow_mut().power_cut_at = Some(cut);
            let (acknowledged, next) = history(disk.clone());
            let reopened = SimulatedDisk::with_files(disk.files_after_power_cut(unsynced_bytes));
            let (mut store, report) = Store::open(reopened).expect("the store opens after a power cut");
            let found = contents(&store);
            assert!(found == acknowledged || found == next, "cut {cut}, {unsynced_bytes:?} kept: {report:?}");
            assert!(report.missing_from.is_none() && store.commit(&[put(1, 1)]).is_ok());
        }
    }
}

#[test]
fn a_failed_operation_stops_all_writes_until_the_store_is_reopened() {
    let disk = SimulatedDisk::default();
    history(disk.clone());
    for fails in 1..=disk.0.borrow().operations {
        let disk = SimulatedDisk::default();
        disk.0.borrow_mut().fail_at = Some(fails);
        let (acknowledged, next) = history(disk.clone());
        let (store, _) = Store::open(SimulatedDisk::with_files(disk.0.borrow().current.clone())).unwrap();
        assert!([acknowledged, next].contains(&contents(&store)), "failure {fails}");
    }
}

#[test]
fn either_copy_truncated_or_damaged_at_any_byte_loses_nothing_and_is_repaired() {
    let disk = SimulatedDisk::default();
    let (acknowledged, _) = history(disk.clone());
    let files = disk.0.borrow().current.clone();
    for name in ["log.0", "log.1"] {
        for at in 0..files[name].len() {
            let cut = files[name][..at].to_vec();
            let mut damaged = files[name].clone();
            damaged[at] ^= 0x41;
            for bytes in [cut, damaged] {
                let mut damaged_files = files.clone();
                damaged_files.insert(name.to_string(), bytes);
                let reopened = SimulatedDisk::with_files(damaged_files);
                let (store, report) = Store::open(reopened.clone()).unwrap();
                assert_eq!(contents(&store), acknowledged, "{name} at {at}");
                assert_eq!(report.repaired, [name], "{name} at {at}");
                assert_eq!(reopened.0.borrow().current[name], files[name]);
            }
        }
    }
}

#[test]
fn both_copies_damaged_in_one_record_open_read_only_up_to_that_record() {
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.commit(&[put(1, 1)]).unwrap();
    let offset = store.log_length();
    store.commit(&[put(2, 2)]).unwrap();
    store.commit(&[put(3, 3)]).unwrap();
    let mut files = disk.0.borrow().current.clone();
    for name in ["log.0", "log.1"] {
        files.get_mut(name).unwrap()[offset + 20] ^= 1;
    }
    let (mut store, report) = Store::open(SimulatedDisk::with_files(files)).unwrap();
    assert_eq!((store.get(&[1]), store.get(&[2]), store.get(&[3])), (Some(&[1; 5][..]), None, None));
    assert_eq!((report.missing_from, report.records, store.writable()), (Some(2), 2, false));
    assert_eq!(store.commit(&[put(4, 4)]), Err(StoreError::ReadOnly));
    assert_eq!(store.compact(), Err(StoreError::ReadOnly));
}

#[test]
fn a_folder_persists_is_locked_and_reports_an_unsupported_version() {
    let path = std::env::temp_dir().join(format!("appledyke-store-{}", std::process::id()));
    let (mut store, _) = Store::open(Folder::new(path.clone())).unwrap();
    for value in 0..200 {
        store.commit(&[put(7, value)]).unwrap();
    }
    let before = store.log_length();
    store.compact().unwrap();
    assert!(store.log_length() < before / 10);
    let second = Store::open(Folder::new(path.clone())).err();
    assert_eq!(second, Some(StoreError::Disk(DiskError::Locked)));
    drop(store);
    let (store, report) = Store::open(Folder::new(path.clone())).unwrap();
    assert_eq!((store.get(&[7]), report.repaired.len(), report.dropped_bytes), (Some(&[199; 5][..]), 0, 0));
    drop(store);
    let mut other = std::fs::read(path.join("log.1")).unwrap();
    other[8] = 9;
    let sum = crc32fast::hash(&other[..20]).to_le_bytes();
    other[20..24].copy_from_slice(&sum);
    std::fs::write(path.join("log.1"), other).unwrap();
    let unknown = Store::open(Folder::new(path.clone())).err();
    assert_eq!(unknown, Some(StoreError::UnsupportedVersion { file: "log.1".to_string(), version: 9 }));
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn random_histories_match_an_ordered_map_through_restarts_and_power_cuts() {
    for seed in 0..60 {
        let mut rng = oorandom::Rand32::new(seed);
        let mut disk = SimulatedDisk::default();
        let mut model = Model::new();
        let (mut store, _) = Store::open(disk.clone()).unwrap();
        for _ in 0..40 {
            match rng.rand_range(0..10) {
                0 => store.compact().unwrap(),
                1 => {
                    // A power cut between two batches loses nothing that was acknowledged.
                    disk = SimulatedDisk::with_files(
                        disk.files_after_power_cut([rng.rand_range(0..50) as usize, 0]),
                    );
                    let (opened, report) = Store::open(disk.clone()).unwrap();
                    assert!(report.missing_from.is_none(), "seed {seed}");
                    store = opened;
                }
                _ => {
                    let key = |rng: &mut oorandom::Rand32| vec![rng.rand_range(0..12) as u8; 2];
                    let mut changes = Vec::new();
                    for _ in 0..rng.rand_range(0..4) {
                        let key = key(&mut rng);
                        if rng.rand_range(0..3) == 0 {
                            model.remove(&key);
                            changes.push(Change::Remove(key));
                        } else {
                            let value = vec![rng.rand_u32() as u8; rng.rand_range(0..30) as usize];
                            model.insert(key.clone(), value.clone());
                            changes.push(Change::Put(key, value));
                        }
                    }
                    store.commit(&changes).unwrap();
                }
            }
            assert_eq!(contents(&store), model, "seed {seed}");
        }
    }
}
