//! The endpoint list: a watch on service discovery, opened on request and reopened when it breaks.

mod format;
pub mod schedule;
mod watch;

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use appledyke::list_lease::FailedCall;
use appledyke::units::Moment;
use serde_json::{Value, json};

use format::salvage;
pub use format::{entries, status_name, version};
use schedule::{
    CALL_TIMEOUT, CONNECT_TIMEOUT, CallEnd, Callers, LIST_STALL_TIMEOUT, LIST_TIMEOUT, MAX_SILENCE, Schedule,
};
use watch::{MAX_LIST_BYTES, Watch};

use super::connection::{self, Connection};
use super::deadlines::Due;
use super::http;
use super::slots::{Key, Peer, Slots};
use super::{DESCRIPTOR_RETRY, Turn};
use crate::metrics::DiscoveryMetrics;

/// A list that the service has sent.
#[derive(Clone, Debug)]
pub struct ReceivedList {
    /// All endpoints, not only those that have changed.
    pub complete: bool,
    pub list: Value,
    /// The version from which the service at the current address continues; 0 if another service has sent the list.
    pub version: u64,
}

/// Whether a connect failed because nobody listens at the address.
fn is_refusal(error: &io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

/// The calls to service discovery, one at a time, and what is known of the list.
pub struct DiscoveryClient {
    at: SocketAddr,
    /// Slots give each watch a token of its own.
    watches: Slots<Watch>,
    /// The call, or the watch, at the current address.
    open: Option<Key>,
    /// The oldest unanswered call at a previous address, kept until the current address has sent a list. Danger: the service
    /// processes such a call anyway, and each of a series of new configurations would give up its position in the service's
    /// queue and start again behind all others.
    superseded: Option<Key>,
    watch_wanted: bool,
    /// The number of calls made.
    pub calls_made: u64,
    deadline: Option<Moment>,
    /// A call that is due failed for lack of a file descriptor.
    pub lacks_descriptor: bool,
    schedule: Schedule,
    /// Counters of how calls ended, for the metrics.
    call_counts: DiscoveryMetrics,
    /// When a list or a heartbeat last arrived; before the first one, when a watch was first wanted.
    last_heard: Option<Moment>,
    /// The last moment at which the list was current, or the service was out of reach.
    last_current: Option<Moment>,
    /// The connect of the current call was refused.
    connect_refused: bool,
    /// The last call that failed, or watch that ended.
    last_failed: Option<FailedCall>,
    /// A list or a heartbeat has been received from any address: what is known of the list is up to date.
    answered: bool,
    /// The last version received from this address.
    version: u64,
    /// The entries of a truncated list for endpoints that are draining or removed.
    salvaged: Vec<Value>,
}

impl DiscoveryClient {
    /// Follows the list at this address, of which this version is known.
    pub fn new(at: SocketAddr, version: u64, seed: u64, callers: Callers) -> DiscoveryClient {
        DiscoveryClient {
            at,
            watches: Slots::default(),
            open: None,
            superseded: None,
            watch_wanted: false,
            calls_made: 0,
            deadline: None,
            lacks_descriptor: false,
            schedule: Schedule::new(callers, seed),
            call_counts: DiscoveryMetrics::default(),
            last_heard: None,
            last_current: None,
            connect_refused: false,
            last_failed: None,
            answered: false,
            version,
            salvaged: Vec::new(),
        }
    }

    /// The last version received from this address.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The address of the list.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Continues from this version of the list, which another process has received from this address; 0 if none.
    pub fn continue_from(&mut self, version: u64) {
        self.version = version;
    }

    /// The last moment at which the list was current, or the service was out of reach.
    pub fn last_current(&self) -> Option<Moment> {
        self.last_current
    }

    /// The last call that failed, or watch that ended.
    pub fn last_failed(&self) -> Option<FailedCall> {
        self.last_failed
    }

    /// Whether the service has answered since the start.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// The discovery metrics.
    pub fn figures(&self, now: Moment) -> DiscoveryMetrics {
        let silent_ms = self.last_heard.map_or(0, |at| now.since(at).nanos() / 1_000_000);
        DiscoveryMetrics { calls: self.calls_made, version: self.version, silent_ms, ..self.call_counts }
    }

    /// Sets who else calls the same service.
    pub fn set_callers(&mut self, callers: Callers) {
        self.schedule.callers = callers;
    }

    /// Requests a watch, which is opened now if `may` allows it. Returns whether the call failed immediately.
    pub fn start_watch(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        // A call that waits after a failure is not brought forward: the service may be down.
        if std::mem::replace(&mut self.watch_wanted, true) {
            return false;
        }
        self.schedule.watch_wanted(turn.now);
        self.last_heard = Some(turn.now);
        self.open_if_allowed(may, turn)
    }

    /// Opens a watch if that is allowed now. Otherwise it waits as long as after a first failure, without counting as one.
    fn open_if_allowed(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        let allowed = self.lacks_descriptor || may();
        match if allowed { None } else { self.schedule.defer(turn.now) } {
            None => self.open(turn),
            Some(again) => {
                turn.deadlines.reschedule(Due::Discovery, &mut self.deadline, Some(again));
                false
            }
        }
    }

    /// Sets the address of the list. Unread lists from the watch on the previous address are passed to `hear` first. Returns
    /// whether a call to the new address failed immediately.
    pub fn set_address(
        &mut self,
        at: SocketAddr,
        may: impl FnOnce() -> bool,
        turn: &mut Turn,
        mut hear: impl FnMut(ReceivedList),
    ) -> bool {
        if self.at == at {
            return false;
        }
        // Danger: what the service has written to this watch counts as notified, and would be dropped with it.
        if let Some(key) = self.open {
            self.ready(key, turn, |received| hear(ReceivedList { version: 0, ..received }));
        }
        if let Some(partial_list) =
            self.open.and_then(|key| self.watches.get(key)).and_then(Watch::partial_list)
        {
            self.salvaged = salvage(&partial_list);
        }
        self.at = at;
        // Danger: another service numbers versions on its own, and would send only changes after the old service's number.
        self.version = 0;
        self.call_counts.moves += 1;
        let next = self.schedule.address_changed(turn.now);
        self.supersede(turn);
        // Danger: what the new address has counts as notified, even if a process that has just started wanted no watch yet.
        self.watch_wanted = true;
        self.last_heard.get_or_insert(turn.now);
        if next <= turn.now {
            return self.open_if_allowed(may, turn);
        }
        // A call that was waiting for a descriptor is replaced by the one to the new address.
        self.lacks_descriptor = false;
        turn.deadlines.reschedule(Due::Discovery, &mut self.deadline, Some(next));
        false
    }

    fn close(&mut self, turn: &mut Turn) {
        let open = self.open.take();
        self.close_watch(open, turn);
    }

    fn close_watch(&mut self, key: Option<Key>, turn: &mut Turn) {
        if let Some(watch) = key.and_then(|key| self.watches.remove(key)) {
            watch.connection.close(&turn.registry);
        }
    }

    /// Closes the watch on the address that is being replaced. An unanswered call is kept, unless an older one is already.
    fn supersede(&mut self, turn: &mut Turn) {
        let waits = |key: &Key| self.watches.get(*key).is_some_and(|watch| !watch.received);
        let kept = self.open.filter(waits).filter(|_| !self.schedule.callers.pushed);
        if self.superseded.is_none() && kept.is_some() {
            self.superseded = self.open.take();
        }
        self.close(turn);
    }

    fn close_superseded(&mut self, turn: &mut Turn) {
        let superseded = self.superseded.take();
        self.close_watch(superseded, turn);
    }

    /// Reads from the call at a previous address and passes its first list to `hear`.
    fn read_superseded(&mut self, key: Key, turn: &mut Turn, hear: &mut impl FnMut(ReceivedList)) {
        let Some(watch) = self.watches.get_mut(key) else { return };
        let in_time = turn.now.since(watch.since) <= CALL_TIMEOUT + LIST_STALL_TIMEOUT;
        match watch.first_list() {
            Ok(None) if in_time => return,
            Ok(Some((complete, list))) if in_time => {
                let took = turn.now.since(watch.since).secs() * 1e3;
                log::info!(
                    "list: version {} received from a previous address, {took:.0} ms after the call",
                    list["index"]
                );
                self.answered = true;
                hear(ReceivedList { complete, list, version: 0 });
            }
            _ => {}
        }
        self.close_superseded(turn);
    }

    /// Retries the call that failed for lack of a file descriptor. Returns whether it failed immediately.
    pub fn retry_call(&mut self, turn: &mut Turn) -> bool {
        self.open(turn)
    }

    fn open(&mut self, turn: &mut Turn) -> bool {
        let lacked_before = std::mem::take(&mut self.lacks_descriptor);
        let (at, call) = (self.at, http::watch_request(self.at, self.version));
        let since = turn.now;
        self.connect_refused = false;
        self.calls_made += 1;
        self.schedule.call_started();
        let opened = self.watches.insert_with(|key| {
            let mut connection = Connection::open(at, &turn.registry, Peer::Discovery(key).token())?;
            connection.queue(&[&call], 0);
            Ok::<_, io::Error>(Watch::new(connection, since))
        });
        match opened {
            Ok(key) => {
                log::info!(
                    "list at {at}: call {}, since version {}, after {} failures",
                    self.calls_made,
                    self.version,
                    self.schedule.failures()
                );
                self.open = Some(key);
                turn.deadlines.reschedule(
                    Due::Discovery,
                    &mut self.deadline,
                    Some(turn.now + CONNECT_TIMEOUT),
                );
                false
            }
            // Danger: counted as a failure of the service, each would lengthen the delay before the next call.
            Err(e) if connection::lacks_descriptor(&e) => {
                if !lacked_before {
                    log::warn!("list at {at}: {e}");
                }
                self.lacks_descriptor = true;
                turn.deadlines.reschedule(
                    Due::Discovery,
                    &mut self.deadline,
                    Some(turn.now + DESCRIPTOR_RETRY),
                );
                false
            }
            Err(e) => {
                self.connect_refused = is_refusal(&e);
                self.fail(&e.to_string(), turn)
            }
        }
    }

    /// Handles a failed call or a watch that has ended: the known list stays in force, and the next call is scheduled.
    fn fail(&mut self, what: &str, turn: &mut Turn) -> bool {
        // Danger: the sidecar counts as notified even of a list that was truncated. Its drains are applied;
        // everything else waits for the complete list, which will be sent again as the version is unchanged.
        let open = self.open.and_then(|key| self.watches.get(key));
        let partial_list = open.and_then(Watch::partial_list);
        let since = open.filter(|watch| !watch.received).map_or(turn.now, |watch| watch.since);
        let end = match open {
            _ if partial_list.is_some() => CallEnd::Truncated,
            Some(watch) if watch.turned_away => CallEnd::Rejected,
            _ if self.connect_refused => CallEnd::Refused,
            _ => CallEnd::Lost,
        };
        let open_since = open.map_or(turn.now, |watch| watch.since);
        let unanswered = open.filter(|watch| !watch.received).map(|watch| watch.since);
        // Danger: a watch that has ended may have missed changes since it last brought anything, and the service may be back
        // since a call was made that it does not answer.
        let out_of_reach = match end {
            CallEnd::Refused => Some(turn.now),
            CallEnd::Rejected | CallEnd::Lost => unanswered,
            CallEnd::Truncated => None,
        };
        self.last_current = self.last_current.max(out_of_reach);
        self.salvaged = salvage(partial_list.as_deref().unwrap_or_default());
        self.close(turn);
        match end {
            CallEnd::Rejected => self.call_counts.turned_away += 1,
            CallEnd::Truncated => self.call_counts.truncated += 1,
            CallEnd::Refused | CallEnd::Lost => self.call_counts.lost += 1,
        }
        self.last_failed = Some(FailedCall { at: turn.now, refused: end == CallEnd::Refused });
        let next = self.schedule.call_failed(since, turn.now, end);
        let took = turn.now.since(open_since).secs() * 1e3;
        let wait = next.since(turn.now).secs() * 1e3;
        log::warn!(
            "list at {}, version {}: {what}; call {} took {took:.0} ms, next in {wait:.0} ms",
            self.at,
            self.version,
            self.calls_made
        );
        turn.deadlines.reschedule(Due::Discovery, &mut self.deadline, Some(next));
        true
    }

    /// Handles the deadline of a silent watch, or the end of the delay before the next call. Returns whether a call has
    /// failed.
    pub fn timed_out(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        self.deadline = None;
        match self.open {
            Some(key) => {
                if self.watches.get(key).is_some_and(|watch| watch.any_received) {
                    self.schedule.watch_fell_silent();
                }
                self.fail("timed out with nothing received", turn)
            }
            None => self.open_if_allowed(may, turn),
        }
    }

    /// Takes the entries salvaged from a truncated list, as a partial list.
    pub fn take_salvaged(&mut self) -> Option<Value> {
        let entries = std::mem::take(&mut self.salvaged);
        let list = || json!({"index": self.version, "snapshot": false, "endpoints": entries});
        (!entries.is_empty()).then(list).filter(|list| self::entries(list, |_, _, _, _, _| {}).is_ok())
    }

    /// Reads from the watch: each valid list is passed to `hear`. Returns whether the call has failed.
    pub fn ready(&mut self, key: Key, turn: &mut Turn, mut hear: impl FnMut(ReceivedList)) -> bool {
        if self.superseded == Some(key) {
            self.read_superseded(key, turn, &mut hear);
            return false;
        }
        let mut received_list = false;
        let read = self.read(key, turn, &mut |received| {
            received_list = true;
            hear(received);
        });
        if received_list {
            // A list from a previous address is older than this one.
            self.close_superseded(turn);
        }
        match read {
            Ok(()) => false,
            Err(what) => self.fail(&what, turn),
        }
    }

    fn read(&mut self, key: Key, turn: &mut Turn, hear: &mut impl FnMut(ReceivedList)) -> Result<(), String> {
        let Some(watch) = self.watches.get(key) else { return Ok(()) };
        let answer_by = self.schedule.answer_deadline(watch.since, turn.now);
        let Some(watch) = self.watches.get_mut(key) else { return Ok(()) };
        let broken = |e: io::Error| e.to_string();
        if !watch.up {
            let connected = watch.connection.is_up();
            self.connect_refused = connected.as_ref().is_err_and(is_refusal);
            watch.up = connected.map_err(broken)?;
            if !watch.up {
                return Ok(());
            }
            turn.deadlines.reschedule(Due::Discovery, &mut self.deadline, Some(answer_by));
        }
        watch.connection.flush().map_err(broken)?;
        loop {
            let ended = watch.connection.fill(MAX_LIST_BYTES + http::MAX_HEAD_BYTES).is_err()
                || watch.connection.ended;
            let full = watch.connection.full;
            if !watch.head_read {
                watch.turned_away = ended;
                match http::watch_response_head(&watch.connection.input) {
                    Ok(Some(head)) => watch.connection.consume(head),
                    Ok(None) if ended => return Err("the connection ended before a response".to_string()),
                    Ok(None) => return Ok(()),
                    Err(http::MessageError(status)) => {
                        watch.turned_away = true;
                        return Err(format!("answered {status}"));
                    }
                }
                (watch.head_read, watch.turned_away) = (true, false);
            }
            // Danger: data received before an end or an error counts as notified, so it is applied first.
            let (any, chunk_error) = watch.take_chunks();
            if any {
                watch.any_received = true;
                self.last_heard = Some(turn.now);
                self.schedule.data_received();
                turn.deadlines.reschedule(Due::Discovery, &mut self.deadline, Some(turn.now + MAX_SILENCE));
            }
            let complete_len = watch.scanner.complete_len(&watch.text);
            for list in serde_json::Deserializer::from_slice(&watch.text[..complete_len]).into_iter::<Value>()
            {
                let list = list.map_err(|e| format!("bad list: {e}"))?;
                let (version, complete) = version(&list)?;
                // Danger: if a list were applied up to an invalid entry, the rest would be lost.
                entries(&list, |_, _, _, _, _| {})?;
                if version != self.version || !watch.received {
                    let took = turn.now.since(watch.since).secs() * 1e3;
                    log::info!(
                        "list at {}: version {version} received, complete {complete}, {took:.0} ms after call {}",
                        self.at,
                        self.calls_made
                    );
                }
                (self.version, watch.received, self.answered) = (version, true, true);
                self.last_current = Some(turn.now);
                self.schedule.list_received();
                hear(ReceivedList { complete, list, version });
            }
            watch.drop_processed(complete_len)?;
            // Danger: a watch with only heartbeats is healthy too; if earlier failures stayed counted, the next call
            // would be delayed for long.
            if any && watch.text.is_empty() {
                (watch.received, self.answered) = (true, true);
                self.last_current = Some(turn.now);
                self.schedule.list_received();
            }
            if let Some(what) = chunk_error {
                return Err(what.to_string());
            }
            if ended {
                return Err("the watch was closed or reset".to_string());
            }
            if !full {
                // Danger: without a deadline of its own, a list that stalls would be waited for as long as a heartbeat.
                watch.partial_since = watch.partial().then(|| watch.partial_since.unwrap_or(turn.now));
                if let Some(since) = watch.partial_since {
                    let until = (turn.now + LIST_STALL_TIMEOUT).min(since + LIST_TIMEOUT);
                    // Danger: a first list that trickles in would add to all the time that the call has taken.
                    let first = watch.since + CALL_TIMEOUT + LIST_STALL_TIMEOUT;
                    let until = if watch.received { until } else { until.min(first) };
                    turn.deadlines.reschedule(Due::Discovery, &mut self.deadline, Some(until));
                }
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
mod tests;
