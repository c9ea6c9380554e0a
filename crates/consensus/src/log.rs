//! The log in memory: the latest snapshot, the entries after a base position, and the voter set that they define.

use std::collections::BTreeSet;

use crate::{Content, Entry, Id, Index, PersistedState, Position, Snapshot, Term};

#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The position directly before the first entry.
    base: Position,
    entries: Vec<Entry>,
    pub snapshot: Option<Snapshot>,
    voters: BTreeSet<Id>,
    voters_index: Index,
}

impl Log {
    pub fn new(persisted: PersistedState) -> Log {
        let PersistedState { snapshot, mut entries, .. } = persisted;
        let end = snapshot.as_ref().map_or_else(Position::default, |snapshot| snapshot.last_included);
        // Where trailing entries reach back before the snapshot, the term of the entry before them is not persisted, so the
        // first entry serves as the base.
        let base = match entries.first() {
            Some(first) if first.position.index <= end.index => entries.remove(0).position,
            _ => end,
        };
        let mut log = Log { base, entries, snapshot, ..Log::default() };
        log.recompute_voters();
        log
    }

    fn recompute_voters(&mut self) {
        (self.voters, self.voters_index) = match &self.snapshot {
            Some(snapshot) => (snapshot.voters.clone(), snapshot.last_included.index),
            None => (BTreeSet::new(), 0),
        };
        for entry in &self.entries {
            if let Content::Voters(voters) = &entry.content
                && entry.position.index > self.voters_index
            {
                (self.voters, self.voters_index) = (voters.clone(), entry.position.index);
            }
        }
    }

    /// The voters by the latest entry that sets them, committed or not.
    pub fn voters(&self) -> &BTreeSet<Id> {
        &self.voters
    }

    /// The index of that entry.
    pub fn voters_index(&self) -> Index {
        self.voters_index
    }

    /// The voters as of this index.
    pub fn voters_up_to(&self, index: Index) -> BTreeSet<Id> {
        let changes = self.entries.iter().rev().filter(|entry| entry.position.index <= index);
        let changes = changes.filter_map(|entry| match &entry.content {
            Content::Voters(voters) => Some(voters.clone()),
            _ => None,
        });
        let in_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.voters.clone());
        changes.into_iter().next().or_else(in_snapshot).unwrap_or_default()
    }

    pub fn last(&self) -> Position {
        self.entries.last().map_or(self.base, |entry| entry.position)
    }

    pub fn base(&self) -> Position {
        self.base
    }

    /// The term at an index, if the log holds it or it is the base's.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from this index on, limited by their number and their bytes of commands. The limit of bytes never excludes
    /// the first entry.
    pub fn entries_from(&self, index: Index, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut bytes_left = max_bytes;
        let fits = |entry: &&Entry| {
            let length = if let Content::Command(command) = &entry.content { command.len() } else { 0 };
            let fits = entry.position.index == index || length <= bytes_left;
            bytes_left = bytes_left.saturating_sub(length);
            fits
        };
        (index..).map_while(|index| self.entry(index)).take(max_entries).take_while(fits).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) {
        if let Content::Voters(voters) = &entry.content {
            (self.voters, self.voters_index) = (voters.clone(), entry.position.index);
        }
        self.entries.push(entry);
    }

    /// Removes the entries from this index on.
    pub fn truncate(&mut self, from: Index) {
        self.entries.retain(|entry| entry.position.index < from);
        if self.voters_index >= from {
            self.recompute_voters();
        }
    }

    /// Replaces the snapshot, and removes the entries up to `compact_to`, which it covers.
    pub fn compact(&mut self, snapshot: Snapshot, compact_to: Index) {
        if let Some(term) = self.term(compact_to) {
            self.base = Position { term, index: compact_to };
            self.entries.retain(|entry| entry.position.index > compact_to);
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.base = snapshot.last_included;
        self.entries.clear();
        self.snapshot = Some(snapshot);
        self.recompute_voters();
    }
}
