//! A small durable key-value store with ordered keys and a single writer. A batch is atomic, and is acknowledged once
//! `commit` returns, after a sync. The log has two identical copies, so that damage to one of them loses nothing.
//! Compaction rewrites the log as a single batch. `docs/store.md` has the alternatives that were considered.

pub mod disk;
pub mod format;
pub mod simulated_disk;

use std::collections::BTreeMap;

use disk::{Disk, DiskError};
use format::{Change, Header, ParsedRecord};

/// The file names of the copies of the log, and the names under which replacements are written.
const COPIES: [&str; 2] = ["log.0", "log.1"];
const NEW_COPIES: [&str; 2] = ["log.0.new", "log.1.new"];

#[derive(Debug, PartialEq, Eq)]
pub enum StoreError {
    Disk(DiskError),
    /// A file has a version that this build does not support.
    UnsupportedVersion {
        file: String,
        version: u32,
    },
    /// The store accepts no writes, because a write or sync has failed or acknowledged records are damaged.
    ReadOnly,
}

impl From<DiskError> for StoreError {
    fn from(e: DiskError) -> StoreError {
        StoreError::Disk(e)
    }
}

/// What `Store::open` found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    pub records: u64,
    /// Copies that were damaged or short, and were rewritten from the other one.
    pub repaired: Vec<String>,
    /// Bytes at the end that form no valid record in either copy, and so a batch that was never acknowledged.
    pub dropped_bytes: usize,
    /// The sequence number of the first missing record, if valid records follow it: both copies are damaged there.
    pub missing_from: Option<u64>,
}

pub struct Store<D: Disk> {
    disk: D,
    values: BTreeMap<Vec<u8>, Vec<u8>>,
    generation: u64,
    next_sequence: u64,
    /// The bytes of valid records, with the header, in each copy.
    log_length: usize,
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
        // Takes the newest generation whose first record is valid. If compaction was interrupted, the generation before it
        // holds everything up to that compaction.
        let mut generations: Vec<u64> =
            copies.iter().filter_map(|(h, _)| Some(h.as_ref()?.generation)).collect();
        generations.sort_unstable();
        generations.dedup();
        let mut newest = None;
        for generation in generations.iter().rev() {
            let bytes_of_generation = |(header, bytes): &(Option<Header>, Vec<u8>)| {
                header.as_ref().filter(|h| h.generation == *generation).map(|_| bytes.clone())
            };
            let same_generation: Vec<Vec<u8>> = copies.iter().filter_map(bytes_of_generation).collect();
            let recovered = RecoveredLog::read(&same_generation);
            if !recovered.records.is_empty() || *generation == generations[0] {
                newest = Some((*generation, recovered));
                break;
            }
        }
        let mut store = Store {
            disk,
            values: BTreeMap::new(),
            generation: 0,
            next_sequence: 0,
            log_length: 0,
            writable: true,
        };
        let Some((generation, recovered)) = newest else {
            // Nothing was ever acknowledged: the store is new, or its creation was interrupted.
            report.dropped_bytes = copies.iter().map(|(_, bytes)| bytes.len()).max().unwrap_or(0);
            store.rewrite_log()?;
            return Ok((store, report));
        };
        store.generation = generation;
        for (sequence, changes) in &recovered.records {
            changes.iter().for_each(|change| store.apply(change));
            store.next_sequence = sequence + 1;
        }
        store.log_length = recovered.bytes.len();
        report.records = recovered.records.len() as u64;
        report.dropped_bytes = recovered.dropped_bytes;
        report.missing_from = recovered.records_missing.then_some(store.next_sequence);
        if recovered.records_missing {
            // Danger: writing more records would hide that acknowledged records are missing.
            store.writable = false;
            return Ok((store, report));
        }
        for (copy, (_, bytes)) in copies.iter().enumerate() {
            if *bytes != recovered.bytes {
                report.repaired.push(COPIES[copy].to_string());
                store.replace_copy(copy, &recovered.bytes)?;
            }
        }
        Ok((store, report))
    }

    pub fn get(&self, key: &[u8]) -> Option<&[u8]> {
        self.values.get(key).map(Vec::as_slice)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.values.iter().map(|(key, value)| (key.as_slice(), value.as_slice()))
    }

    pub fn writable(&self) -> bool {
        self.writable
    }

    /// Writes a batch to both copies and syncs them. The batch is acknowledged once this returns its sequence number.
    pub fn commit(&mut self, changes: &[Change]) -> Result<u64, StoreError> {
        if !self.writable {
            return Err(StoreError::ReadOnly);
        }
        let record = format::encode_record(self.next_sequence, changes);
        // Danger: after a failed write or sync the contents of the disk are unknown, so the store accepts no more writes.
        self.writable = false;
        for name in COPIES {
            self.disk.append(name, &record)?;
        }
        for name in COPIES {
            self.disk.sync(name)?;
        }
        self.writable = true;
        changes.iter().for_each(|change| self.apply(change));
        self.log_length += record.len();
        self.next_sequence += 1;
        Ok(self.next_sequence - 1)
    }

    /// Rewrites the log with the current keys and values as its only batch.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        if !self.writable {
            return Err(StoreError::ReadOnly);
        }
        self.rewrite_log()
    }

    /// Bytes of each copy of the log.
    pub fn log_length(&self) -> usize {
        self.log_length
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put(key, value) => drop(self.values.insert(key.clone(), value.clone())),
            Change::Remove(key) => drop(self.values.remove(key)),
        }
    }

    fn rewrite_log(&mut self) -> Result<(), StoreError> {
        let puts: Vec<Change> =
            self.values.iter().map(|(key, value)| Change::Put(key.clone(), value.clone())).collect();
        let mut bytes = format::encode_header(self.generation + 1);
        bytes.extend(format::encode_record(self.next_sequence, &puts));
        self.writable = false;
        for copy in 0..COPIES.len() {
            self.replace_copy(copy, &bytes)?;
        }
        (self.generation, self.log_length, self.writable) = (self.generation + 1, bytes.len(), true);
        self.next_sequence += 1;
        Ok(())
    }

    /// Writes a new file and renames it over a copy, so that the copy is replaced atomically.
    fn replace_copy(&mut self, copy: usize, bytes: &[u8]) -> Result<(), StoreError> {
        self.disk.create(NEW_COPIES[copy])?;
        self.disk.append(NEW_COPIES[copy], bytes)?;
        self.disk.sync(NEW_COPIES[copy])?;
        self.disk.rename(NEW_COPIES[copy], COPIES[copy])?;
        self.disk.sync_folder()?;
        Ok(())
    }
}

/// The records that the copies of one generation hold together.
struct RecoveredLog {
    records: Vec<(u64, Vec<Change>)>,
    bytes: Vec<u8>,
    dropped_bytes: usize,
    records_missing: bool,
}

impl RecoveredLog {
    /// Copies are identical, so a record that is damaged in one copy is at the same offset in the other.
    fn read(copies: &[Vec<u8>]) -> RecoveredLog {
        let mut offset = format::HEADER_LENGTH;
        let mut recovered =
            RecoveredLog { records: Vec::new(), bytes: Vec::new(), dropped_bytes: 0, records_missing: false };
        recovered.bytes.extend_from_slice(&copies[0][..offset]);
        loop {
            let next = recovered.records.last().map(|(sequence, _)| sequence + 1);
            let record = copies.iter().find_map(|bytes| match format::parse_record(bytes, offset) {
                ParsedRecord::Valid { sequence, changes, end }
                    if next.is_none_or(|next| next == sequence) =>
                {
                    Some((sequence, changes, bytes[offset..end].to_vec()))
                }
                _ => None,
            });
            let Some((sequence, changes, bytes)) = record else { break };
            offset += bytes.len();
            recovered.bytes.extend(bytes);
            recovered.records.push((sequence, changes));
        }
        recovered.dropped_bytes =
            copies.iter().map(|bytes| bytes.len().saturating_sub(offset)).max().unwrap_or(0);
        let last = recovered.records.last().map(|(sequence, _)| *sequence);
        let has_later_record = |bytes: &Vec<u8>| {
            (offset + 1..bytes.len()).any(|offset| match format::parse_record(bytes, offset) {
                ParsedRecord::Valid { sequence, .. } => last.is_none_or(|last| sequence > last + 1),
                ParsedRecord::Invalid => false,
            })
        };
        recovered.records_missing = copies.iter().any(has_later_record);
        recovered
    }
}
