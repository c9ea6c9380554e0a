//! A small durable store of ordered keys. One writer; a batch is atomic, and acknowledged once `sync` has
//! returned. Its log is kept twice, byte for byte, so that damage to one copy loses nothing; compaction writes
//! the log anew as one batch. `docs/store.md` has what was weighed.

pub mod disk;
pub mod format;
pub mod simulated_disk;

use std::collections::BTreeMap;

use disk::{Disk, DiskError};
use format::{Change, Header, ParsedRecord};

/// The copies of the log, and what each is called while it is written anew.
const COPIES: [&str; 2] = ["log.0", "log.1"];
const FRESH: [&str; 2] = ["log.0.new", "log.1.new"];

#[derive(Debug, PartialEq, Eq)]
pub enum StoreError {
    Disk(DiskError),
    /// A file of a version that is not known here.
    UnsupportedVersion {
        file: String,
        version: u32,
    },
    /// A sync has failed before, or what was acknowledged is damaged: nothing more is written.
    ReadOnly,
}

impl From<DiskError> for StoreError {
    fn from(e: DiskError) -> StoreError {
        StoreError::Disk(e)
    }
}

/// What opening found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    pub records: u64,
    /// Copies that were damaged or short, and were written anew from the other.
    pub repaired: Vec<String>,
    /// Bytes at the end that held no whole record in either copy: a batch that was never acknowledged.
    pub dropped_bytes: usize,
    /// From this record on something is missing that later records follow: both copies are damaged there.
    pub missing_from: Option<u64>,
}

pub struct Store<D: Disk> {
    disk: D,
    index: BTreeMap<Vec<u8>, Vec<u8>>,
    generation: u64,
    next: u64,
    /// Length of each copy that holds whole records.
    length: usize,
    writable: bool,
}

impl<D: Disk> Store<D> {
    pub fn open(mut disk: D) -> Result<(Store<D>, RecoveryReport), StoreError> {
        disk.lock()?;
        let mut copies = Vec::new();
        for name in COPIES {
            let bytes = disk.read(name)?.unwrap_or_default();
            let header = match format::parse_header(&bytes) {
                Ok(header) => header,
                Err(version) => {
                    return Err(StoreError::UnsupportedVersion { file: name.to_string(), version });
                }
            };
            copies.push((header, bytes));
        }
        let mut report = RecoveryReport::default();
        // The newest generation that opens with a whole first record; an older one is whole up to where it was
        // compacted.
        let mut generations: Vec<u64> =
            copies.iter().filter_map(|(h, _)| Some(h.as_ref()?.generation)).collect();
        generations.sort_unstable();
        generations.dedup();
        let mut read = None;
        for generation in generations.iter().rev() {
            let of = |(header, bytes): &(Option<Header>, Vec<u8>)| {
                header.as_ref().filter(|h| h.generation == *generation).map(|_| bytes.clone())
            };
            let same: Vec<Vec<u8>> = copies.iter().filter_map(of).collect();
            let found = Found::read(&same);
            if !found.records.is_empty() || *generation == generations[0] {
                read = Some((*generation, found));
                break;
            }
        }
        let mut store =
            Store { disk, index: BTreeMap::new(), generation: 0, next: 0, length: 0, writable: true };
        let Some((generation, found)) = read else {
            // Nothing was ever acknowledged: a new store, or one that never came up.
            report.dropped_bytes = copies.iter().map(|(_, bytes)| bytes.len()).max().unwrap_or(0);
            store.rewrite()?;
            return Ok((store, report));
        };
        store.generation = generation;
        for (sequence, changes) in &found.records {
            changes.iter().for_each(|change| store.apply(change));
            store.next = sequence + 1;
        }
        store.length = found.bytes.len();
        report.records = found.records.len() as u64;
        report.dropped_bytes = found.dropped;
        report.missing_from = found.missing.then_some(store.next);
        if found.missing {
            // Danger: written on, the log would hide that something acknowledged is gone.
            store.writable = false;
            return Ok((store, report));
        }
        for (at, (_, bytes)) in copies.iter().enumerate() {
            if *bytes != found.bytes {
                report.repaired.push(COPIES[at].to_string());
                store.place(at, &found.bytes)?;
            }
        }
        Ok((store, report))
    }

    pub fn get(&self, key: &[u8]) -> Option<&[u8]> {
        self.index.get(key).map(Vec::as_slice)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.index.iter().map(|(key, value)| (key.as_slice(), value.as_slice()))
    }

    pub fn writable(&self) -> bool {
        self.writable
    }

    /// Writes a batch to both copies and syncs both; it is acknowledged when this returns.
    pub fn commit(&mut self, changes: &[Change]) -> Result<u64, StoreError> {
        if !self.writable {
            return Err(StoreError::ReadOnly);
        }
        let record = format::encode_record(self.next, changes);
        // Danger: after a failed write or sync nobody knows what is on the disk, so nothing more is written.
        self.writable = false;
        for name in COPIES {
            self.disk.append(name, &record)?;
        }
        for name in COPIES {
            self.disk.sync(name)?;
        }
        self.writable = true;
        changes.iter().for_each(|change| self.apply(change));
        self.length += record.len();
        self.next += 1;
        Ok(self.next - 1)
    }

    /// Writes the log anew, with what the keys hold now as its one batch.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        if !self.writable {
            return Err(StoreError::ReadOnly);
        }
        self.rewrite()
    }

    /// Bytes of a copy.
    pub fn log_length(&self) -> usize {
        self.length
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put(key, value) => drop(self.index.insert(key.clone(), value.clone())),
            Change::Remove(key) => drop(self.index.remove(key)),
        }
    }

    fn rewrite(&mut self) -> Result<(), StoreError> {
        let puts: Vec<Change> =
            self.index.iter().map(|(key, value)| Change::Put(key.clone(), value.clone())).collect();
        let mut bytes = format::encode_header(self.generation + 1);
        bytes.extend(format::encode_record(self.next, &puts));
        self.writable = false;
        for at in 0..COPIES.len() {
            self.place(at, &bytes)?;
        }
        (self.generation, self.length, self.writable) = (self.generation + 1, bytes.len(), true);
        self.next += 1;
        Ok(())
    }

    /// Brings a whole file into place.
    fn place(&mut self, copy: usize, bytes: &[u8]) -> Result<(), StoreError> {
        self.disk.create(FRESH[copy])?;
        self.disk.append(FRESH[copy], bytes)?;
        self.disk.sync(FRESH[copy])?;
        self.disk.rename(FRESH[copy], COPIES[copy])?;
        self.disk.sync_folder()?;
        Ok(())
    }
}

/// What the copies of one generation hold together.
struct Found {
    records: Vec<(u64, Vec<Change>)>,
    bytes: Vec<u8>,
    dropped: usize,
    missing: bool,
}

impl Found {
    /// Copies are alike byte for byte, so a record that is damaged in one stands at the same place in the other.
    fn read(copies: &[Vec<u8>]) -> Found {
        let mut at = format::HEADER_LENGTH;
        let mut found = Found { records: Vec::new(), bytes: Vec::new(), dropped: 0, missing: false };
        found.bytes.extend_from_slice(&copies[0][..at]);
        loop {
            let next = found.records.last().map(|(sequence, _)| sequence + 1);
            let whole = copies.iter().find_map(|bytes| match format::parse_record(bytes, at) {
                ParsedRecord::Valid { sequence, changes, end }
                    if next.is_none_or(|next| next == sequence) =>
                {
                    Some((sequence, changes, bytes[at..end].to_vec()))
                }
                _ => None,
            });
            let Some((sequence, changes, bytes)) = whole else { break };
            at += bytes.len();
            found.bytes.extend(bytes);
            found.records.push((sequence, changes));
        }
        found.dropped = copies.iter().map(|bytes| bytes.len().saturating_sub(at)).max().unwrap_or(0);
        let last = found.records.last().map(|(sequence, _)| *sequence);
        let later = |bytes: &Vec<u8>| {
            (at + 1..bytes.len()).any(|at| match format::parse_record(bytes, at) {
                ParsedRecord::Valid { sequence, .. } => last.is_none_or(|last| sequence > last + 1),
                ParsedRecord::Invalid => false,
            })
        };
        found.missing = copies.iter().any(later);
        found
    }
}
