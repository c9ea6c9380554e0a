//! Turning clients away: for an operator's drain, a shutdown, or another process that takes over.

use super::{Clients, DRAIN_IDLE_TIMEOUT, DRAIN_PARTIAL_TIMEOUT, max_clients};
use crate::net::Turn;
use crate::net::slots::Key;

impl Clients {
    /// Fails health checks from now on, so that new clients go elsewhere.
    pub fn fail_health_checks(&mut self) {
        self.failing_health_checks = true;
    }

    /// Sets whether health checks fail for now because the process cannot serve yet.
    pub fn set_starting(&mut self, starting: bool) {
        self.starting = starting;
    }

    /// Passes health checks and keeps connections open again.
    pub fn resume(&mut self) {
        (self.failing_health_checks, self.draining) = (false, false);
    }

    /// Whether there are no connections and none has been accepted recently.
    pub fn is_quiet(&self, turn: &Turn) -> bool {
        self.slots.is_empty() && turn.now.since(self.last_accept) >= DRAIN_IDLE_TIMEOUT
    }

    /// Sets the total number of connections, of which clients have their share.
    pub fn resize(&mut self, connections: usize) {
        self.max_connections = max_clients(connections);
    }

    /// Leaves new connections to another process: accepts all of the backlog and stops listening. Connections close with
    /// their next response. Returns those that have unread input.
    pub fn hand_over(&mut self, turn: &mut Turn) -> Vec<Key> {
        self.draining = true;
        let with_input = self.accept(turn);
        self.stop_listening(turn);
        with_input
    }

    /// Closes connections between requests, also those still to be accepted. Call it until none is left or
    /// connections may stay open again. Returns those that have unread input.
    pub fn drain(&mut self, turn: &mut Turn) -> Vec<Key> {
        self.draining = true;
        let with_input = self.accept(turn);
        // The next request may be on its way to any of them, so each has a short time for it.
        let between = self.slots.iter().filter_map(|(key, c)| {
            let until = match c {
                _ if c.idle() => turn.now + DRAIN_IDLE_TIMEOUT,
                _ if c.has_partial_request() => turn.now + DRAIN_PARTIAL_TIMEOUT,
                _ => return None,
            };
            c.deadline.is_none_or(|at| at > until).then_some((key, until))
        });
        for (key, until) in between.collect::<Vec<_>>() {
            self.set_deadline(key, until, turn);
        }
        with_input
    }

    /// The drain's time is over: closes connections that wait for a request and answers partial requests with 503. Returns
    /// those that have unread input. Danger: a request completed after this last read gets no response.
    pub fn drain_now(&mut self, turn: &mut Turn) -> Vec<Key> {
        let mut with_input = self.drain(turn);
        let between = self.slots.iter().filter(|(_, c)| c.idle() || c.has_partial_request());
        for (key, has_partial_request) in
            between.map(|(key, c)| (key, c.has_partial_request())).collect::<Vec<_>>()
        {
            if has_partial_request {
                self.respond_and_close(key, 503, turn);
            } else if !self.close_unless_input(key, turn) {
                with_input.push(key);
            }
        }
        with_input
    }

    /// Stops listening, unless accepting is paused with connections still in the backlog.
    pub fn stop_listening(&mut self, turn: &mut Turn) {
        if let Some(mut listener) = self.listener.take_if(|_| !self.accept_paused) {
            let _ = turn.registry.deregister(&mut listener);
        }
    }
}
