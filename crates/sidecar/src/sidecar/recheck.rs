//! The queue of clients whose next request may already be in the buffer, or that may hold input that no event will report.

use std::collections::{HashSet, VecDeque};

use crate::net::slots::Key;

/// Clients to look at again, in the order in which they were added, each of them once.
#[derive(Default)]
pub(super) struct RecheckQueue {
    order: VecDeque<Key>,
    queued: HashSet<Key>,
}

impl RecheckQueue {
    /// Adds a client, unless it already waits.
    pub(super) fn push(&mut self, client: Key) {
        if self.queued.insert(client) {
            self.order.push_back(client);
        }
    }

    pub(super) fn extend(&mut self, clients: impl IntoIterator<Item = Key>) {
        clients.into_iter().for_each(|client| self.push(client));
    }

    /// Removes the client that has waited for longest.
    pub(super) fn pop(&mut self) -> Option<Key> {
        let client = self.order.pop_front()?;
        self.queued.remove(&client);
        Some(client)
    }

    pub(super) fn contains(&self, client: Key) -> bool {
        self.queued.contains(&client)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
