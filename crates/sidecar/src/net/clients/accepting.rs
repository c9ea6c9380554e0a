//! Accepting client connections, and closing idle ones where no connection is free.

use std::io;

use appledyke::units::{Moment, Span};

use super::{
    ACCEPT_RETRY, BACKLOG, Client, Clients, CloseReason, EVICTION_GRACE, HEAD_TIMEOUT, MAX_PAUSE, Stage,
    UploadClock,
};
use crate::net::Turn;
use crate::net::connection::{self, Connection};
use crate::net::deadlines::Due;
use crate::net::http;
use crate::net::slots::{Key, Peer};

impl Clients {
    /// Accepts all connections that wait at the call, closing idle ones where no connection is free. Returns the connections that were
    /// to be closed but turned out to have unread input.
    pub fn accept(&mut self, turn: &mut Turn) -> Vec<Key> {
        let mut with_input = Vec::new();
        self.accept_paused = false;
        let lacked_before = std::mem::take(&mut self.lacks_descriptor);
        // Danger: if the whole machine is out of descriptors, other processes take each one freed here, and every connection
        // would be closed for nothing. So only one is evicted per accepted connection.
        let mut may_evict = true;
        // Danger: clients that connect at full speed would keep all others waiting. What had come before is accepted.
        for accepted in 0.. {
            if accepted == BACKLOG {
                let next_turn = turn.next_turn();
                turn.deadlines.reschedule(Due::Accept, &mut self.accept_retry_at, Some(next_turn));
                break;
            }
            // One connection above the maximum is accepted, because only then is it known that another must be evicted.
            let full = turn.free_connections < 0 || self.slots.len() > self.max_connections;
            if full && !self.evict_for(true, turn, &mut with_input) {
                self.pause_accepting(turn);
                break;
            }
            let Some(listener) = &self.listener else { break };
            let stream = match connection::accept(listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => break,
                Err(e) => {
                    self.lacks_descriptor = connection::lacks_descriptor(&e);
                    let evict = self.lacks_descriptor && std::mem::take(&mut may_evict);
                    if evict && self.evict_for(true, turn, &mut with_input) {
                        continue;
                    }
                    // Danger: logged at every retry, this would crowd all other lines out of the log.
                    if !(lacked_before && self.lacks_descriptor) {
                        log::warn!("accept: {e}");
                    }
                    self.pause_accepting(turn);
                    break;
                }
            };
            (self.last_accept, may_evict) = (turn.now, true);
            self.lacks_descriptor = false;
            // Danger: its input may be as old as its time in the backlog, and the client may have disconnected since.
            let unread_since = Some(self.accept_paused_since.unwrap_or(self.input_since));
            let queued_for = self.accept_paused_since.map_or(Span::ZERO, |since| turn.now.since(since));
            let added = self.slots.insert_with(|key| {
                let connection = Connection::from_stream(stream, &turn.registry, Peer::Client(key).token())?;
                let stage = Stage::Reading;
                Ok::<_, io::Error>(Client {
                    connection,
                    stage,
                    partial: false,
                    continue_sent: false,
                    remaining_body: None,
                    unread_since,
                    queued_for,
                    body_seen: 0,
                    body_deadline: None,
                    upload_clock: UploadClock::default(),
                    waiting_since: turn.now,
                    last_input: turn.now,
                    has_answered: false,
                    finished_at: None,
                    answered_id: None,
                    deadline: None,
                })
            });
            match added {
                Ok(key) => {
                    turn.free_connections -= 1;
                    self.set_deadline(key, turn.now + HEAD_TIMEOUT, turn);
                }
                Err(e) => log::warn!("client: {e}"),
            }
        }
        if !self.accept_paused {
            self.accept_paused_since = None;
        }
        with_input
    }

    /// Schedules another try to accept. Danger: waiting connections raise no further event, and retrying at once would spin.
    fn pause_accepting(&mut self, turn: &mut Turn) {
        self.accept_paused = true;
        self.accept_paused_since.get_or_insert(turn.now);
        turn.deadlines.reschedule(Due::Accept, &mut self.accept_retry_at, Some(turn.now + ACCEPT_RETRY));
    }

    /// Closes the connection that can be spared first, by `EvictionRank`. Danger: clients that never complete a request, or
    /// never close theirs, could otherwise keep all others out.
    pub fn evict(&mut self, turn: &mut Turn, with_input: &mut Vec<Key>) -> bool {
        self.evict_for(false, turn, with_input)
    }

    fn evict_for(&mut self, new_client: bool, turn: &mut Turn, with_input: &mut Vec<Key>) -> bool {
        let crowded = self.accept_paused_since.is_some_and(|since| turn.now.since(since) >= EVICTION_GRACE);
        loop {
            let ranked = self.slots.iter().filter_map(|(key, client)| {
                Some((client.eviction_rank(turn.now, crowded, new_client)?, key))
            });
            let evictable = ranked.filter(|(_, key)| !with_input.contains(key));
            let Some((rank, key)) = evictable.min_by_key(|(rank, _)| *rank) else { return false };
            if let EvictionRank::Finished { .. } = rank {
                self.close(key, CloseReason::Evicted, turn);
                return true;
            }
            if self.close_unless_input(key, turn) {
                return true;
            }
            with_input.push(key);
        }
    }

    /// Closes a connection that waits for a request, unless a last read finds input. Danger: a request that has already
    /// reached the kernel counts as accepted. A client that has sent part of a request gets a 503 with Retry-After.
    pub(super) fn close_unless_input(&mut self, key: Key, turn: &mut Turn) -> bool {
        let Some(client) = self.slots.get_mut(key) else { return false };
        let before = client.connection.input.len();
        let io_ok = client.connection.fill(http::MAX_MESSAGE_BYTES).is_ok() && !client.connection.ended;
        let close = !io_ok || client.connection.input.len() == before;
        if !close {
            client.last_input = turn.now;
            return false;
        }
        if io_ok && client.has_partial_request() {
            self.head.clear();
            http::write_own_response(&mut self.head, 503, Some(ACCEPT_RETRY), false);
            // All input has been read, so the close does not reset the connection and the response arrives; if the write
            // fails, the client has disconnected.
            let _ = client.connection.send(&[&self.head]);
        }
        self.close(key, CloseReason::Evicted, turn);
        true
    }
}

/// Which connections are closed first to free them for others, and among equals which: the one that has been so for longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Its last response has been sent; what still comes is discarded.
    Finished { since: Moment },
    /// It waits for a request.
    Idle { since: Moment },
    /// Part of a request has come.
    Partial { since: Moment },
}

impl Client {
    /// The rank of the connection, if it may be closed to free it for another. Danger: a first request that arrives just
    /// after the close is lost, as clients do not retry it. On a connection that has carried a request before, they do.
    fn eviction_rank(&self, now: Moment, crowded: bool, for_new_client: bool) -> Option<EvictionRank> {
        if let Some(since) = self.finished_at {
            // Danger: what the client still sends resets the connection, so its response has to have arrived.
            return (now.since(since) >= MAX_PAUSE).then_some(EvictionRank::Finished { since });
        }
        let since = self.last_input;
        if self.idle() && self.has_answered {
            return (now > self.waiting_since).then_some(EvictionRank::Idle { since });
        }
        let (paused, old) = (now.since(since) >= MAX_PAUSE, now.since(self.waiting_since) >= EVICTION_GRACE);
        // Danger: a new client may be one of a crowd, and slow writers would be evicted for it. For a complete request,
        // which matters more, age alone suffices.
        let evictable = if for_new_client { paused && (crowded || old) } else { old || paused && crowded };
        match () {
            _ if !evictable => None,
            _ if self.has_partial_request() => Some(EvictionRank::Partial { since }),
            _ if self.idle() => Some(EvictionRank::Idle { since }),
            _ => None,
        }
    }
}
