//! The encoding of a replica's records in a store: one key for the hard state, one for the snapshot and one for each
//! entry. This module only encodes and decodes; the host writes to the store.

use appledyke_store::format::Change;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Batch, Entry, HardState, Index, PersistedState, Snapshot};

const HARD: &[u8] = b"hard";
const SNAPSHOT: &[u8] = b"snapshot";
const ENTRY: &[u8] = b"entry.";

fn key(index: Index) -> Vec<u8> {
    // Big-endian, so that keys sort by index.
    [ENTRY, &index.to_be_bytes()].concat()
}

fn put(key: &[u8], value: &impl Serialize) -> Change {
    let value = postcard::to_stdvec(value).expect("these records can always be encoded");
    Change::Put(key.to_vec(), value)
}

/// The changes of the store for a batch, to be committed atomically. `stored` is the store's keys and values in order.
pub fn changes<'a>(batch: &Batch, stored: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Vec<Change> {
    let mut changes = Vec::new();
    let is_removed = |index: Index| {
        batch.truncate_from.is_some_and(|from| index >= from)
            || batch.compact_to.is_some_and(|to| index <= to)
    };
    if batch.truncate_from.is_some() || batch.compact_to.is_some() {
        let entries = stored.filter_map(|(key, _)| Some((key, index(key)?)));
        changes
            .extend(entries.filter(|(_, at)| is_removed(*at)).map(|(key, _)| Change::Remove(key.to_vec())));
    }
    changes.extend(batch.hard_state.iter().map(|hard_state| put(HARD, hard_state)));
    changes.extend(batch.snapshot.iter().map(|snapshot| put(SNAPSHOT, snapshot)));
    changes.extend(batch.entries.iter().map(|entry| put(&key(entry.position.index), entry)));
    changes
}

fn index(key: &[u8]) -> Option<Index> {
    Some(Index::from_be_bytes(key.strip_prefix(ENTRY)?.try_into().ok()?))
}

/// Reads a replica's records from a store and ignores other keys.
///
/// # Errors
/// The key whose value cannot be decoded, or the first index at which an entry is missing.
pub fn load<'a>(stored: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Result<PersistedState, String> {
    fn read<T: DeserializeOwned>(key: &[u8], value: &[u8]) -> Result<T, String> {
        postcard::from_bytes(value).map_err(|e| format!("{}: {e}", String::from_utf8_lossy(key)))
    }
    let mut persisted = PersistedState::default();
    for (key, value) in stored {
        if key == HARD {
            persisted.hard_state = read::<HardState>(key, value)?;
        } else if key == SNAPSHOT {
            persisted.snapshot = Some(read::<Snapshot>(key, value)?);
        } else if index(key).is_some() {
            persisted.entries.push(read::<Entry>(key, value)?);
        }
    }
    let covered = persisted.snapshot.as_ref().map_or(0, |snapshot| snapshot.last_included.index);
    let first = persisted.entries.first().map_or(covered + 1, |entry| entry.position.index);
    let gap = persisted.entries.iter().zip(first..).find(|(entry, index)| entry.position.index != *index);
    let gap = gap.map(|(_, index)| index).or((first > covered + 1).then_some(covered + 1));
    match gap {
        Some(index) => Err(format!("entry {index}: missing")),
        None => Ok(persisted),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Content, Id, Position};
    use appledyke_store::Store;
    use appledyke_store::simulated_disk::SimulatedDisk;

    fn entry(term: u64, index: Index) -> Entry {
        Entry { position: Position { term, index }, content: Content::Command(vec![term as u8, index as u8]) }
    }

    #[test]
    fn the_store_holds_the_result_of_all_batches() {
        let snapshot = Snapshot {
            last_included: Position { term: 2, index: 3 },
            voters: [Id { replica_id: 1, incarnation: 9 }].into(),
            state: vec![7],
        };
        let batches = [
            Batch { entries: (1..=300).map(|at| entry(1, at)).collect(), ..Batch::default() },
            Batch {
                hard_state: Some(HardState { term: 2, vote: None }),
                truncate_from: Some(3),
                entries: vec![entry(2, 3)],
                ..Batch::default()
            },
            Batch {
                snapshot: Some(snapshot),
                compact_to: Some(2),
                entries: vec![entry(2, 4)],
                ..Batch::default()
            },
        ];
        let (mut store, _) = Store::open(SimulatedDisk::default()).unwrap();
        let mut expected = PersistedState::default();
        for batch in &batches {
            let changes = changes(batch, store.iter());
            store.commit(&changes).unwrap();
            batch.apply(&mut expected);
            assert_eq!(load(store.iter()).unwrap(), expected);
        }
        assert_eq!(expected.entries.len(), 2);
        // Danger: a gap must be an error; it must not be read as a shorter log.
        store.commit(&[Change::Remove(key(3))]).unwrap();
        assert_eq!(load(store.iter()).unwrap().entries.len(), 1);
        store.commit(&[Change::Remove(SNAPSHOT.to_vec())]).unwrap();
        assert_eq!(load(store.iter()).unwrap_err(), "entry 1: missing");
        store.commit(&[Change::Put(HARD.to_vec(), vec![])]).unwrap();
        assert!(load(store.iter()).unwrap_err().starts_with("hard: "));
    }
}
