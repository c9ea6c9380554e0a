//! The log in memory: entries after a base, the latest snapshot, and who votes by them.

use std::collections::BTreeSet;

use crate::{Content, Entry, Id, Index, PersistedState, Position, Snapshot, Term};

#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The place before the first entry.
    base: Position,
    entries: Vec<Entry>,
    pub snapshot: Option<Snapshot>,
    voters: BTreeSet<Id>,
    voters_at: Index,
}

impl Log {
    pub fn of(kept: PersistedState) -> Log {
        let PersistedState { snapshot, mut entries, .. } = kept;
        let end = snapshot.as_ref().map_or_else(Position::default, |snapshot| snapshot.last_included);
        // The term before the first entry is not kept where that is older than the snapshot: the first serves as base.
        let base = match entries.first() {
            Some(first) if first.position.index <= end.index => entries.remove(0).position,
            _ => end,
        };
        let mut log = Log { base, entries, snapshot, ..Log::default() };
        log.find_voters();
        log
    }

    fn find_voters(&mut self) {
        (self.voters, self.voters_at) = match &self.snapshot {
            Some(snapshot) => (snapshot.voters.clone(), snapshot.last_included.index),
            None => (BTreeSet::new(), 0),
        };
        for entry in &self.entries {
            if let Content::Voters(voters) = &entry.content
                && entry.position.index > self.voters_at
            {
                (self.voters, self.voters_at) = (voters.clone(), entry.position.index);
            }
        }
    }

    /// Who votes by the latest entry that says so, committed or not.
    pub fn voters(&self) -> &BTreeSet<Id> {
        &self.voters
    }

    /// Where that entry stands.
    pub fn voters_at(&self) -> Index {
        self.voters_at
    }

    /// Who votes by the entries up to this one.
    pub fn voters_up_to(&self, index: Index) -> BTreeSet<Id> {
        let told = self.entries.iter().rev().filter(|entry| entry.position.index <= index);
        let told = told.filter_map(|entry| match &entry.content {
            Content::Voters(voters) => Some(voters.clone()),
            _ => None,
        });
        let kept = || self.snapshot.as_ref().map(|snapshot| snapshot.voters.clone());
        told.into_iter().next().or_else(kept).unwrap_or_default()
    }

    pub fn last(&self) -> Position {
        self.entries.last().map_or(self.base, |entry| entry.position)
    }

    pub fn base(&self) -> Position {
        self.base
    }

    /// The term at an index that is held: the base's too.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Entries from this index on: so many, and so many bytes of commands, at the most, but one at least.
    pub fn from(&self, index: Index, most: usize, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let fits = |entry: &&Entry| {
            let length = if let Content::Command(command) = &entry.content { command.len() } else { 0 };
            let fits = entry.position.index == index || length <= left;
            left = left.saturating_sub(length);
            fits
        };
        (index..).map_while(|index| self.entry(index)).take(most).take_while(fits).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) {
        if let Content::Voters(voters) = &entry.content {
            (self.voters, self.voters_at) = (voters.clone(), entry.position.index);
        }
        self.entries.push(entry);
    }

    /// Takes back the entries from this index on.
    pub fn cut(&mut self, from: Index) {
        self.entries.retain(|entry| entry.position.index < from);
        if self.voters_at >= from {
            self.find_voters();
        }
    }

    /// Holds this snapshot, and drops entries up to an index that it covers.
    pub fn compact(&mut self, snapshot: Snapshot, compact_to: Index) {
        if let Some(term) = self.term(compact_to) {
            self.base = Position { term, index: compact_to };
            self.entries.retain(|entry| entry.position.index > compact_to);
        }
        self.snapshot = Some(snapshot);
    }

    /// Holds this snapshot, and nothing else.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.base = snapshot.last_included;
        self.entries.clear();
        self.snapshot = Some(snapshot);
        self.find_voters();
    }
}
