//! The ids of requests that must not run twice and have been sent to an endpoint. A client that leaves and comes again with
//! the same id is told so, in place of a second attempt; also where it comes again at another process of its address,
//! which reads the ids from a file.

use std::collections::HashMap;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// How many ids are kept, the latest: more than a process has in flight, and some seconds of its requests.
const MAX_IDS: usize = 4096;
/// The size of an id's hash in the file, in bytes.
const HASH_BYTES: usize = 8;
/// The offset basis and the prime of the 64-bit FNV-1a hash, which is the same in every build.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Marks a free slot.
const FREE: u64 = 0;

/// The hash of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

impl IdHash {
    /// The hash of this id.
    pub fn of(id: &str) -> IdHash {
        let hash = id.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        IdHash(hash.max(FREE + 1))
    }
}

/// The latest ids that were sent, in a ring of slots.
pub struct SentIds {
    slots: Vec<u64>,
    next: usize,
    slot_of: HashMap<u64, usize>,
    /// Where other processes read them, if there may be any.
    file: Option<File>,
}

impl SentIds {
    /// An empty ring, which writes its ids to this file, if there is one.
    pub fn new(file: Option<File>) -> SentIds {
        SentIds { slots: vec![FREE; MAX_IDS], next: 0, slot_of: HashMap::new(), file }
    }

    /// Adds an id, in place of the oldest if there are too many.
    pub fn insert(&mut self, IdHash(id): IdHash) {
        if self.slot_of.contains_key(&id) {
            return;
        }
        let slot = self.next;
        self.next = (slot + 1) % MAX_IDS;
        self.slot_of.remove(&self.slots[slot]);
        self.slot_of.insert(id, slot);
        self.write(slot, id);
    }

    /// Removes an id whose request has provably not run.
    pub fn remove(&mut self, IdHash(id): IdHash) {
        if let Some(slot) = self.slot_of.remove(&id) {
            self.write(slot, FREE);
        }
    }

    /// Whether this id has been sent.
    pub fn contains(&self, IdHash(id): IdHash) -> bool {
        self.slot_of.contains_key(&id)
    }

    fn write(&mut self, slot: usize, id: u64) {
        self.slots[slot] = id;
        let Some(file) = &self.file else { return };
        if let Err(e) = file.write_all_at(&id.to_le_bytes(), (slot * HASH_BYTES) as u64) {
            // Danger: logged at every request, this would crowd all other lines out of the log.
            log::warn!("sent ids: {e}; other processes at this address no longer see new ones");
            self.file = None;
        }
    }
}

/// The ids in another process's file; none if it cannot be read.
pub fn read(path: &Path) -> Vec<IdHash> {
    let bytes = std::fs::read(path).unwrap_or_default();
    let hashes =
        bytes.chunks_exact(HASH_BYTES).map(|hash| u64::from_le_bytes(hash.try_into().expect("8 bytes")));
    hashes.filter(|hash| *hash != FREE).map(IdHash).collect()
}

#[cfg(test)]
#[path = "sent_ids_tests.rs"]
mod tests;
