//! The list of endpoints: a watch on its service, opened when asked for and opened anew when it breaks.

mod format;
pub mod schedule;

use std::net::SocketAddr;

use appledyke::units::Moment;
use serde_json::{Value, json};

use format::{Braces, salvage};
pub use format::{entries, version};
use schedule::{ALL_IN, CALL_IN, CONNECT_IN, CallEnd, Callers, MORE_IN, SILENCE_MOST, Schedule};

use super::connection::{self, Connection};
use super::deadlines::Due;
use super::http;
use super::slots::{Key, Peer, Slots};
use super::{DESCRIPTOR_AGAIN, Turn};
use crate::metrics::DiscoveryMetrics;

/// Bytes that a list may have: a whole one of many thousand endpoints.
const LIST_MOST: usize = 4 << 20;

struct Watch {
    connection: Connection,
    /// When it was called.
    since: Moment,
    up: bool,
    head_read: bool,
    /// It has brought anything; and a list or a beat to its end.
    heard: bool,
    told: bool,
    /// The service has ended it with no list: by another answer, or by a reset.
    turned_away: bool,
    /// What chunks have brought and is no whole list yet, and where one ends in it.
    text: Vec<u8>,
    braces: Braces,
    /// Since when part of a list has been there.
    begun_at: Option<Moment>,
}

impl Watch {
    /// Part of a list has come.
    fn begun(&self) -> bool {
        !self.text.is_empty() || self.head_read && !self.connection.input.is_empty()
    }

    /// What has come of a list that is not whole.
    fn torn(&self) -> Option<Vec<u8>> {
        let input = if self.head_read { &self.connection.input[..] } else { &[] };
        // Danger: the line before a chunk that is not whole would spoil the entry in which it stands.
        let line = http::chunk_line(input).unwrap_or(0);
        self.begun().then(|| [&self.text[..], &input[line..]].concat())
    }
}

pub struct List {
    at: SocketAddr,
    /// The slots give each a token of its own.
    watches: Slots<Watch>,
    /// The call, or the watch, at the present address.
    open: Option<Key>,
    /// The oldest call at an address of before that waits for its answer, until the present address has told a list.
    /// Danger: the service works through such a call all the same, and each of a series of new configurations would
    /// throw away a place in its queue, and wait anew behind all others.
    superseded: Option<Key>,
    wanted: bool,
    /// Calls that have been made.
    pub made: u64,
    deadline: Option<Moment>,
    /// There was no descriptor for a call that might be made.
    pub lacks_descriptor: bool,
    schedule: Schedule,
    /// What has become of calls, for the metrics.
    counts: DiscoveryMetrics,
    /// When a list or a heartbeat was heard last; at first, when it was begun to look for one.
    heard_at: Option<Moment>,
    /// The version that was last heard, at this address.
    version: u64,
    /// What a list that broke off told of endpoints to leave alone.
    salvaged: Vec<Value>,
}

impl List {
    /// The list at this address, as far as this version is known of it.
    pub fn new(at: SocketAddr, version: u64, seed: u64, callers: Callers) -> List {
        List {
            at,
            watches: Slots::default(),
            open: None,
            superseded: None,
            wanted: false,
            made: 0,
            deadline: None,
            lacks_descriptor: false,
            schedule: Schedule::new(callers, seed),
            counts: DiscoveryMetrics::default(),
            heard_at: None,
            version,
            salvaged: Vec::new(),
        }
    }

    /// The version that was last heard, at this address.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The calls to discovery, for the metrics.
    pub fn figures(&self, now: Moment) -> DiscoveryMetrics {
        let silent_ms = self.heard_at.map_or(0, |at| now.since(at).nanos() / 1_000_000);
        DiscoveryMetrics { calls: self.made, version: self.version, silent_ms, ..self.counts }
    }

    /// Others call the same service from now on.
    pub fn set_callers(&mut self, callers: Callers) {
        self.schedule.callers = callers;
    }

    /// A watch is wanted from now on, and opened at once if it may be. Returns whether that failed at once.
    pub fn watch(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        // One that waits for its turn after a failure is not hurried: the service may be down.
        if std::mem::replace(&mut self.wanted, true) {
            return false;
        }
        self.schedule.wanted(turn.now);
        self.heard_at = Some(turn.now);
        self.open_if(may, turn)
    }

    /// Opens a watch if it may be opened now; else it waits as after a first failure, which it is not.
    fn open_if(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        let allowed = self.lacks_descriptor || may();
        match if allowed { None } else { self.schedule.held_back(turn.now) } {
            None => self.open(turn),
            Some(again) => {
                turn.deadlines.shift(Due::List, &mut self.deadline, Some(again));
                false
            }
        }
    }

    /// The list is to be asked at this address from now on. What the watch on the one before has brought and was not read
    /// yet is handed to `hear` first. Returns whether a call to the new address failed at once.
    pub fn move_to(
        &mut self,
        at: SocketAddr,
        may: impl FnOnce() -> bool,
        turn: &mut Turn,
        hear: impl FnMut(bool, Value),
    ) -> bool {
        if self.at == at {
            return false;
        }
        // Danger: what was written to this watch counts as told, and would be dropped with it.
        if let Some(key) = self.open {
            self.ready(key, turn, hear);
        }
        if let Some(torn) = self.open.and_then(|key| self.watches.get(key)).and_then(Watch::torn) {
            self.salvaged = salvage(&torn);
        }
        self.at = at;
        // Danger: another service counts versions of its own, and would tell only what came after ours.
        self.version = 0;
        self.counts.moves += 1;
        let next = self.schedule.moved(turn.now);
        self.supersede(turn);
        // Danger: what the new address has counts as told, also where a process that has just started wanted no watch yet.
        self.wanted = true;
        self.heard_at.get_or_insert(turn.now);
        if next <= turn.now {
            return self.open_if(may, turn);
        }
        // What a call that was waiting for lacked is looked for anew.
        self.lacks_descriptor = false;
        turn.deadlines.shift(Due::List, &mut self.deadline, Some(next));
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

    /// The present address is one of before: its watch is closed; a call that waits for its answer is kept, but for one
    /// that is younger than another.
    fn supersede(&mut self, turn: &mut Turn) {
        let waits = |key: &Key| self.watches.get(*key).is_some_and(|watch| !watch.told);
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

    /// Reads what a call at an address of before has brought: its first list is handed to `hear`.
    fn read_superseded(&mut self, key: Key, turn: &mut Turn, hear: &mut impl FnMut(bool, Value)) {
        let Some(watch) = self.watches.get_mut(key) else { return };
        let in_time = turn.now.since(watch.since) <= CALL_IN + MORE_IN;
        match watch.first_list() {
            Ok(None) if in_time => return,
            Ok(Some((complete, list))) if in_time => {
                let took = turn.now.since(watch.since).secs() * 1e3;
                log::info!(
                    "list: version {} heard at an address of before, {took:.0} ms after the call",
                    list["index"]
                );
                hear(complete, list);
            }
            _ => {}
        }
        self.close_superseded(turn);
    }

    /// Makes the call that there was no descriptor for. Returns whether it failed at once.
    pub fn call_again(&mut self, turn: &mut Turn) -> bool {
        self.open(turn)
    }

    fn open(&mut self, turn: &mut Turn) -> bool {
        let lacked = std::mem::take(&mut self.lacks_descriptor);
        let (at, call) = (self.at, http::watch_call(self.at, self.version));
        let since = turn.now;
        self.made += 1;
        self.schedule.called();
        let opened = self.watches.insert_with(|key| {
            let mut connection = Connection::open(at, &turn.registry, Peer::List(key).token())?;
            connection.queue(&[&call], 0);
            let (text, braces) = (Vec::new(), Braces::default());
            Ok::<_, std::io::Error>(Watch {
                connection,
                since,
                up: false,
                head_read: false,
                heard: false,
                told: false,
                turned_away: false,
                text,
                braces,
                begun_at: None,
            })
        });
        match opened {
            Ok(key) => {
                log::info!(
                    "list at {at}: call {}, since version {}, after {} failures",
                    self.made,
                    self.version,
                    self.schedule.failures()
                );
                self.open = Some(key);
                turn.deadlines.shift(Due::List, &mut self.deadline, Some(turn.now + CONNECT_IN));
                false
            }
            // Danger: taken for a failure of its service, each would make the wait for the next call longer.
            Err(e) if connection::lacks_descriptor(&e) => {
                if !lacked {
                    log::warn!("list at {at}: {e}");
                }
                self.lacks_descriptor = true;
                turn.deadlines.shift(Due::List, &mut self.deadline, Some(turn.now + DESCRIPTOR_AGAIN));
                false
            }
            Err(e) => self.fail(&e.to_string(), turn),
        }
    }

    /// The call has failed or the watch has ended: what is known of the list stays, and the next try waits.
    fn fail(&mut self, what: &str, turn: &mut Turn) -> bool {
        // Danger: of a list that never ends the sidecar has been told all the same. What it says of drains is
        // heeded; all else waits for the whole list, as the version stays what it was.
        let open = self.open.and_then(|key| self.watches.get(key));
        let torn = open.and_then(Watch::torn);
        let since = open.filter(|watch| !watch.told).map_or(turn.now, |watch| watch.since);
        let end = match open {
            _ if torn.is_some() => CallEnd::Torn,
            Some(watch) if watch.turned_away => CallEnd::TurnedAway,
            _ => CallEnd::Lost,
        };
        let open_since = open.map_or(turn.now, |watch| watch.since);
        self.salvaged = salvage(torn.as_deref().unwrap_or_default());
        self.close(turn);
        match end {
            CallEnd::TurnedAway => self.counts.turned_away += 1,
            CallEnd::Torn => self.counts.truncated += 1,
            CallEnd::Lost => self.counts.lost += 1,
        }
        let next = self.schedule.failed(since, turn.now, end);
        let took = turn.now.since(open_since).secs() * 1e3;
        let wait = next.since(turn.now).secs() * 1e3;
        log::warn!(
            "list at {}, version {}: {what}; call {} took {took:.0} ms, next in {wait:.0} ms",
            self.at,
            self.version,
            self.made
        );
        turn.deadlines.shift(Due::List, &mut self.deadline, Some(next));
        true
    }

    /// The deadline has passed: of a watch that is silent, or of the wait for the next. Returns whether a
    /// call has failed by that.
    pub fn timed_out(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        self.deadline = None;
        match self.open {
            Some(key) => {
                if self.watches.get(key).is_some_and(|watch| watch.heard) {
                    self.schedule.fell_silent();
                }
                self.fail("nothing heard", turn)
            }
            None => self.open_if(may, turn),
        }
    }

    /// What a list told that broke off, if one did.
    pub fn take_salvaged(&mut self) -> Option<Value> {
        let entries = std::mem::take(&mut self.salvaged);
        let list = || json!({"index": self.version, "snapshot": false, "endpoints": entries});
        (!entries.is_empty()).then(list).filter(|list| self::entries(list, |_, _, _, _, _| {}).is_ok())
    }

    /// Reads what the watch has brought: each list that can be read is handed to `hear`, with whether it is
    /// complete. Returns whether the call has failed.
    pub fn ready(&mut self, key: Key, turn: &mut Turn, mut hear: impl FnMut(bool, Value)) -> bool {
        if self.superseded == Some(key) {
            self.read_superseded(key, turn, &mut hear);
            return false;
        }
        let mut heard = false;
        let read = self.read(key, turn, &mut |complete, list| {
            heard = true;
            hear(complete, list);
        });
        if heard {
            // What an address of before tells is older than this.
            self.close_superseded(turn);
        }
        match read {
            Ok(()) => false,
            Err(what) => self.fail(&what, turn),
        }
    }

    fn read(&mut self, key: Key, turn: &mut Turn, hear: &mut impl FnMut(bool, Value)) -> Result<(), String> {
        let Some(watch) = self.watches.get(key) else { return Ok(()) };
        let answer_by = self.schedule.answer_by(watch.since, turn.now);
        let Some(watch) = self.watches.get_mut(key) else { return Ok(()) };
        let broken = |e: std::io::Error| e.to_string();
        if !watch.up {
            watch.up = watch.connection.is_up().map_err(broken)?;
            if !watch.up {
                return Ok(());
            }
            turn.deadlines.shift(Due::List, &mut self.deadline, Some(answer_by));
        }
        watch.connection.flush().map_err(broken)?;
        loop {
            let over = watch.connection.fill(LIST_MOST + http::HEAD_MOST).is_err() || watch.connection.ended;
            let full = watch.connection.full;
            if !watch.head_read {
                watch.turned_away = over;
                match http::watch_head(&watch.connection.input) {
                    Ok(Some(head)) => watch.connection.consume(head),
                    Ok(None) if over => return Err("no answer".to_string()),
                    Ok(None) => return Ok(()),
                    Err(http::Bad(status)) => {
                        watch.turned_away = true;
                        return Err(format!("answered {status}"));
                    }
                }
                (watch.head_read, watch.turned_away) = (true, false);
            }
            // Danger: what came before an end or a fault has been told.
            let (any, faulty) = watch.take_chunks();
            if any {
                watch.heard = true;
                self.heard_at = Some(turn.now);
                self.schedule.stirred();
                turn.deadlines.shift(Due::List, &mut self.deadline, Some(turn.now + SILENCE_MOST));
            }
            let whole = watch.braces.whole(&watch.text);
            for list in serde_json::Deserializer::from_slice(&watch.text[..whole]).into_iter::<Value>() {
                let list = list.map_err(|e| format!("bad list: {e}"))?;
                let (version, complete) = version(&list)?;
                // Danger: a list that is told in part, up to what is faulty, would drop the rest.
                entries(&list, |_, _, _, _, _| {})?;
                if version != self.version || !watch.told {
                    let took = turn.now.since(watch.since).secs() * 1e3;
                    log::info!(
                        "list at {}: version {version} heard, complete {complete}, {took:.0} ms after call {}",
                        self.at,
                        self.made
                    );
                }
                (self.version, watch.told) = (version, true);
                self.schedule.heard();
                hear(complete, list);
            }
            watch.done_with(whole)?;
            // Danger: a watch that only beats is as good; kept, old failures would delay the next for long.
            if any && watch.text.is_empty() {
                watch.told = true;
                self.schedule.heard();
            }
            if let Some(what) = faulty {
                return Err(what.to_string());
            }
            if over {
                return Err("the watch broke".to_string());
            }
            if !full {
                // Danger: a list that stops short would be waited for as long as for a beat.
                watch.begun_at = watch.begun().then(|| watch.begun_at.unwrap_or(turn.now));
                if let Some(since) = watch.begun_at {
                    let until = (turn.now + MORE_IN).min(since + ALL_IN);
                    // Danger: a first list of which a little comes at a time would add to all that the call took.
                    let first = watch.since + CALL_IN + MORE_IN;
                    let until = if watch.told { until } else { until.min(first) };
                    turn.deadlines.shift(Due::List, &mut self.deadline, Some(until));
                }
                return Ok(());
            }
        }
    }
}

impl Watch {
    /// The first list of a call that has told none yet, and whether it is complete; nothing if more is to come.
    fn first_list(&mut self) -> Result<Option<(bool, Value)>, String> {
        let broken = |e: std::io::Error| e.to_string();
        self.up = self.up || self.connection.is_up().map_err(broken)?;
        if !self.up {
            return Ok(None);
        }
        self.connection.flush().map_err(broken)?;
        let over = self.connection.fill(LIST_MOST + http::HEAD_MOST).is_err() || self.connection.ended;
        if !self.head_read {
            match http::watch_head(&self.connection.input) {
                Ok(Some(head)) => self.connection.consume(head),
                Ok(None) if !over => return Ok(None),
                _ => return Err("no list".to_string()),
            }
            self.head_read = true;
        }
        let (_, faulty) = self.take_chunks();
        let whole = self.braces.whole(&self.text);
        let first = serde_json::Deserializer::from_slice(&self.text[..whole]).into_iter::<Value>().next();
        match first {
            Some(list) => {
                let list = list.map_err(|e| format!("bad list: {e}"))?;
                let (_, complete) = version(&list)?;
                entries(&list, |_, _, _, _, _| {})?;
                Ok(Some((complete, list)))
            }
            None if over || faulty.is_some() => Err("no list".to_string()),
            None => Ok(None),
        }
    }

    /// Moves on what the whole chunks hold. Returns whether there was any, and what ends or spoils the watch behind them.
    fn take_chunks(&mut self) -> (bool, Option<&'static str>) {
        let (input, mut done) = (&self.connection.input, 0);
        let faulty = loop {
            match http::chunk(&input[done..], LIST_MOST) {
                Ok(Some((_, 0, _))) => break Some("the watch has ended"),
                Ok(Some((data, size, end))) => {
                    self.text.extend_from_slice(&input[done + data..done + data + size]);
                    done += end;
                }
                Ok(None) => break None,
                Err(_) => break Some("no chunk"),
            }
        };
        self.connection.consume(done);
        (done > 0, faulty)
    }

    /// Drops the lists that are done with, and what is only a beat.
    fn done_with(&mut self, whole: usize) -> Result<(), String> {
        self.text.drain(..whole);
        if self.text.trim_ascii_start().is_empty() {
            (self.text, self.braces.seen) = (Vec::new(), 0);
        }
        match self.text.trim_ascii_start().first() {
            Some(first) if *first != b'{' => Err("bad list: no object".to_string()),
            _ if self.text.len() > LIST_MOST => Err("a list is too long".to_string()),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
