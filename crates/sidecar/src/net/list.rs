//! The list of endpoints: a watch on its service, opened when asked for and opened anew when it breaks.

use std::net::SocketAddr;

use appledyke::Standing;
use appledyke::units::{Moment, Span};
use oorandom::Rand64;
use serde_json::{Value, json};

use super::connection::{self, Connection};
use super::deadlines::Due;
use super::http;
use super::slots::{Key, Peer, Slots};
use super::{DESCRIPTOR_AGAIN, Turn};

/// A change counts as told so long after the service had it and could be reached, and after a watch that would have told
/// it fell silent; and so long after a new configuration, at the address that this names.
const TOLD_AFTER: Span = Span::from_millis(6000);
const TOLD_MOVED: Span = Span::from_millis(4000);
/// In which a service that is back and well has answered a call, and what is left for long turns of the loop.
const ANSWERED: Span = Span::from_millis(1500);
const SLACK: Span = Span::from_millis(300);
/// How long a call is waited for: a busy service works through calls in turn. The next is made meanwhile: one that was
/// lost must not keep back another, and one that only waits keeps its turn.
const ANSWER_IN: Span = Span::from_millis(3000);
/// Most calls that are open at a time. The oldest gives way.
const CALLS_MOST: usize = 3;
/// Longest silence of a watch: its beat of 2 s, with room for a busy service.
const SILENCE_MOST: Span = Span::from_millis(2800);
/// Longest from the first call after such a silence to the next, if it has told nothing whole: times a half to one by
/// chance.
const ANSWER_SOON: Span = Span::from_millis(1200);
/// Longest from the start of any other call to the start of the next, whatever became of it, times a half to one by
/// chance. Danger: a wait that is counted from a call's end comes on top of all that the call took. A chance over half
/// of it spreads callers that failed together over all of it within a few calls.
const RETRY_MOST: Span = Span::from_millis(1800);
/// Wait after a first failure, doubled with each further one up to that most, and times a half to one by chance.
const RETRY_FIRST: Span = Span::from_millis(400);
/// Longest from a call, or a watch's end, to the next call where a budget holds that back: more than the 2 s in which a
/// part of one call leaves room for it. Danger: a drain that is not heard breaks a rule; a budget spares a service.
const HELD_BACK_MOST: Span = Span::from_millis(2100);
/// Most that is waited before a watch is opened anew that broke off within a list, times a half to one by
/// chance: its service is up, and has something to tell.
const RETRY_TORN: Span = Span::from_millis(60);
/// Where lists are pushed: in which a call must be connected, in which it must then be answered, doubled with each failure
/// up to the most, and the longest wait between two calls.
/// Danger: what the agent beside this process gets when its service is back counts as told at once, whether a call to it
/// is open or not, and the time to heed a drain may be well under a second. It has no other callers to serve.
const CONNECT_IN: Span = Span::from_millis(1000);
const AGENT_IN: (Span, Span) = (Span::from_millis(400), Span::from_millis(1000));
const AGENT_RETRY: Span = Span::from_millis(100);
/// In which more of a list must come that has begun, and in which all of it: lists are written in one go, and what one
/// tells counts as told when it was written. Danger: one of which a little comes at a time would be waited for for ever.
const MORE_IN: Span = Span::from_millis(300);
const ALL_IN: Span = Span::from_millis(2000);
/// Bytes that a list may have: a whole one of many thousand endpoints.
const LIST_MOST: usize = 4 << 20;

/// The sum of these, in nanoseconds.
const fn sum<const N: usize>(spans: [Span; N]) -> u64 {
    let (mut nanos, mut at) = (0, 0);
    while at < N {
        nanos += spans[at].nanos();
        at += 1;
    }
    nanos
}

// Worst cases: what passes from when a change could be had until it is. A call just before the service is back; one that
// is lost, though it is back; one that is answered.
const _: () = assert!(sum([HELD_BACK_MOST, HELD_BACK_MOST, ANSWERED, SLACK]) <= TOLD_AFTER.nanos());
const _: () = assert!(RETRY_MOST.nanos() <= HELD_BACK_MOST.nanos());
// From the last beat: silence, the wait, a call that is lost, one that is answered.
const _: () = assert!(sum([SILENCE_MOST, RETRY_FIRST, ANSWER_SOON, ANSWERED]) <= TOLD_AFTER.nanos());
// From a new configuration: a call that is lost or held back, one that is answered.
const _: () = assert!(sum([HELD_BACK_MOST, ANSWERED, SLACK]) <= TOLD_MOVED.nanos());
// From the first byte of a list that never ends: a call that is lost, one that is answered.
const _: () = assert!(sum([ALL_IN, RETRY_TORN, RETRY_MOST, ANSWERED, SLACK]) <= TOLD_AFTER.nanos());
// A call that gives way has had the time of one that is answered: the least from its start to that of the third after.
const _: () = assert!(2 * ANSWERED.nanos() <= sum([ANSWER_SOON, RETRY_MOST, RETRY_MOST]));
const _: () = assert!(ANSWERED.nanos() <= ANSWER_IN.nanos());

/// The version of a list in the service's form, and whether it is complete.
pub fn version(list: &Value) -> Result<(u64, bool), String> {
    let index = list["index"].as_u64().ok_or("index: missing, or no whole number")?;
    let complete = list["snapshot"].as_bool().ok_or("snapshot: missing, or neither true nor false")?;
    Ok((index, complete))
}

/// Reads the entries of such a list, and tells of each its name, address, zone, cell and kind, standing and start.
pub fn entries(
    list: &Value,
    mut tell: impl FnMut(&str, Option<SocketAddr>, (&str, u64, &str), Standing, Option<Moment>),
) -> Result<(), String> {
    for entry in list["endpoints"].as_array().ok_or("endpoints: missing, or no list")? {
        let name = entry["name"].as_str().ok_or("endpoints.name: missing, or no text")?;
        let faulty = |key: &str| format!("endpoints.{key}: unreadable value {} of {name}", entry[key]);
        let standing = match entry["status"].as_str() {
            Some("up") => Standing::Ready,
            Some("draining") => Standing::Draining,
            Some("removed") => Standing::Gone,
            _ => return Err(faulty("status")),
        };
        let address = match &entry["address"] {
            Value::Null if standing == Standing::Gone => None,
            at => Some(at.as_str().and_then(|at| at.parse().ok()).ok_or_else(|| faulty("address"))?),
        };
        let since = match &entry["since_ms"] {
            Value::Null => 0,
            since => since.as_u64().ok_or_else(|| faulty("since_ms"))?,
        };
        let text = |key: &str| entry[key].as_str().unwrap_or("");
        let place = (text("zone"), entry["group"].as_u64().unwrap_or(0), text("type"));
        let started = (since > 0).then(|| Moment::from_nanos(since.saturating_mul(1_000_000)));
        tell(name, address, place, standing, started);
    }
    Ok(())
}

struct Watch {
    connection: Connection,
    /// When it is given up.
    until: Moment,
    up: bool,
    head_read: bool,
    /// It has brought anything.
    heard: bool,
    /// What chunks have brought and is no whole list yet, and where one ends in it.
    text: Vec<u8>,
    braces: Braces,
    /// Since when part of a list has been there.
    begun_at: Option<Moment>,
}

/// Where the lists of a stream end, however they are set in lines: braces outside of texts, each byte looked at once.
#[derive(Default)]
struct Braces {
    seen: usize,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Braces {
    /// How much of a stream holds whole lists, where it is what was seen before and more behind it.
    fn whole(&mut self, stream: &[u8]) -> usize {
        let mut whole = 0;
        for (at, byte) in stream.iter().enumerate().skip(self.seen) {
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' => self.escaped = self.in_text,
                b'"' => self.in_text = !self.in_text,
                b'{' if !self.in_text => self.depth += 1,
                b'}' if !self.in_text => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        whole = at + 1;
                    }
                }
                _ => {}
            }
        }
        self.seen = stream.len() - whole;
        whole
    }
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
    /// Those that are open, oldest first: one that is followed, or calls that have told nothing whole.
    watches: Slots<Watch>,
    calls: Vec<Key>,
    /// Calls that have been made since the start.
    pub made: u64,
    wanted: bool,
    /// When the next call is due, and the part of its wait by chance. There is none while a watch is followed.
    call_at: Option<Moment>,
    spread: f64,
    /// The last call, or the end of a watch that was followed.
    since: Moment,
    /// What comes first of all that is due.
    deadline: Option<Moment>,
    /// There was no descriptor for a call that might be made.
    pub lacks_descriptor: bool,
    failures: i32,
    /// The watch that was followed fell silent, and no call has been made since.
    fell_silent: bool,
    /// Lists are pushed: they come from an agent of this process's own.
    pub pushed: bool,
    chance: Rand64,
    /// The version that was last heard, at this address.
    version: u64,
    /// What a list that broke off told of endpoints to leave alone.
    salvaged: Vec<Value>,
}

/// The entries that are whole in a part of a list, of those endpoints that want nothing more.
fn salvage(part: &[u8]) -> Vec<Value> {
    let starts = part.iter().enumerate().filter(|(_, byte)| **byte == b'{').map(|(at, _)| at);
    let whole = starts.filter_map(|at| {
        let entry = serde_json::Deserializer::from_slice(&part[at..]).into_iter::<Value>().next();
        entry?.ok().filter(|entry| matches!(entry["status"].as_str(), Some("draining" | "removed")))
    });
    whole.collect()
}

impl List {
    pub fn new(at: SocketAddr, version: u64, seed: u64, pushed: bool) -> List {
        List {
            at,
            watches: Slots::default(),
            calls: Vec::new(),
            made: 0,
            wanted: false,
            call_at: None,
            spread: 1.0,
            since: Moment::default(),
            deadline: None,
            lacks_descriptor: false,
            failures: 0,
            fell_silent: false,
            pushed,
            chance: Rand64::new(u128::from(seed)),
            version,
            salvaged: Vec::new(),
        }
    }

    /// A watch is wanted from now on, and opened at once if it may be. Returns whether that failed at once.
    pub fn watch(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        // One that waits for its turn after a failure is not hurried: the service may be down.
        if std::mem::replace(&mut self.wanted, true) {
            return false;
        }
        self.since = turn.now;
        self.open_if(may, turn)
    }

    /// Makes a call if one may be made now; else it waits as after a first failure, which it is not.
    fn open_if(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        let latest = self.since + HELD_BACK_MOST;
        if self.lacks_descriptor || may() || turn.now >= latest {
            return self.open(turn);
        }
        let wait = RETRY_FIRST * (0.5 + self.chance.rand_float() / 2.0);
        self.call_at = Some((turn.now + wait).min(latest));
        self.await_next(turn);
        false
    }

    /// The list is to be asked at this address from now on. Returns whether a call to it failed at once.
    pub fn move_to(&mut self, at: SocketAddr, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        if std::mem::replace(&mut self.at, at) == at {
            return false;
        }
        // Danger: another service counts versions of its own, and would tell only what came after ours.
        (self.version, self.failures, self.fell_silent) = (0, 0, false);
        (self.since, self.call_at) = (turn.now, None);
        self.close(|_| true, turn);
        let failed = self.wanted && self.open_if(may, turn);
        self.await_next(turn);
        failed
    }

    /// Closes those of the open ones.
    fn close(&mut self, which: impl Fn(Key) -> bool, turn: &mut Turn) {
        let List { calls, watches, .. } = self;
        calls.retain(|key| {
            let goes = which(*key);
            if let Some(watch) = goes.then(|| watches.remove(*key)).flatten() {
                watch.connection.close(&turn.registry);
            }
            !goes
        });
    }

    /// The turn comes back for what falls due first.
    fn await_next(&mut self, turn: &mut Turn) {
        let ends = self.calls.iter().filter_map(|key| Some(self.watches.get(*key)?.until));
        let next = ends.chain(self.call_at).min();
        turn.deadlines.shift(Due::List, &mut self.deadline, next);
    }

    /// Makes the call that there was no descriptor for. Returns whether it failed at once.
    pub fn call_again(&mut self, turn: &mut Turn) -> bool {
        self.open(turn)
    }

    fn open(&mut self, turn: &mut Turn) -> bool {
        let lacked = std::mem::take(&mut self.lacks_descriptor);
        let oldest = self.calls.first().copied().filter(|_| self.calls.len() >= CALLS_MOST);
        let mut failed = oldest.is_some_and(|key| self.fail(Some(key), "nothing heard", turn));
        let most = if std::mem::take(&mut self.fell_silent) { ANSWER_SOON } else { RETRY_MOST };
        self.spread = 0.5 + self.chance.rand_float() / 2.0;
        self.made += 1;
        self.since = turn.now;
        self.call_at = (!self.pushed).then(|| turn.now + most * self.spread);
        let until = turn.now + if self.pushed { CONNECT_IN } else { ANSWER_IN };
        let (at, call) = (self.at, http::watch_call(self.at, self.version));
        let opened = self.watches.insert_with(|key| {
            let mut connection = Connection::open(at, &turn.registry, Peer::List(key).token())?;
            connection.queue(&[&call], 0);
            let (text, braces) = (Vec::new(), Braces::default());
            Ok::<_, std::io::Error>(Watch {
                connection,
                until,
                up: false,
                head_read: false,
                heard: false,
                text,
                braces,
                begun_at: None,
            })
        });
        match opened {
            Ok(key) => self.calls.push(key),
            // Danger: taken for a failure of its service, each would make the wait for the next call longer.
            Err(e) if connection::lacks_descriptor(&e) => {
                if !lacked {
                    log::warn!("list at {at}: {e}");
                }
                self.lacks_descriptor = true;
                self.call_at = Some(turn.now + DESCRIPTOR_AGAIN);
            }
            Err(e) => failed |= self.fail(None, &e.to_string(), turn),
        }
        self.await_next(turn);
        failed
    }

    /// The call has failed or the watch has ended: what is known of the list stays, and the next try waits.
    fn fail(&mut self, key: Option<Key>, what: &str, turn: &mut Turn) -> bool {
        // Danger: of a list that never ends the sidecar has been told all the same. What it says of drains is
        // heeded; all else waits for the whole list, as the version stays what it was.
        let torn = key.and_then(|key| self.watches.get(key)).and_then(Watch::torn);
        self.salvaged.extend(salvage(torn.as_deref().unwrap_or_default()));
        let newest = key.is_none() || key == self.calls.last().copied();
        self.close(|open| Some(open) == key, turn);
        // Danger: a service that comes back would be met by every sidecar at once.
        let most = if self.pushed { AGENT_RETRY } else { RETRY_MOST };
        let wait = (RETRY_FIRST * 2.0_f64.powi(self.failures.min(10))).min(most);
        let wait = if torn.is_some() && self.failures == 0 { RETRY_TORN } else { wait };
        let again = turn.now + wait * self.spread;
        self.call_at = match self.call_at {
            // Danger: those that called together give up together, long after, and would fall into step anew.
            Some(at) if newest => Some(at.min(again)),
            Some(at) => Some(at),
            None => {
                self.since = turn.now;
                Some(again)
            }
        };
        self.failures += 1;
        log::warn!("list at {}, version {}: {what}", self.at, self.version);
        self.await_next(turn);
        true
    }

    /// In which a call to an agent that is up must be answered.
    fn agent_in(&self) -> Span {
        (AGENT_IN.0 * 2.0_f64.powi(self.failures.min(10))).min(AGENT_IN.1)
    }

    /// The deadline has passed: of a watch that is silent, or of the wait for the next call. Returns whether a
    /// call has failed by that.
    pub fn overdue(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        self.deadline = None;
        let mut failed = false;
        for key in self.calls.clone() {
            let Some(watch) = self.watches.get(key).filter(|watch| watch.until <= turn.now) else { continue };
            self.fell_silent |= watch.heard && self.call_at.is_none();
            failed |= self.fail(Some(key), "nothing heard", turn);
        }
        if self.call_at.is_some_and(|at| at <= turn.now) {
            failed |= self.open_if(may, turn);
        }
        self.await_next(turn);
        failed
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
        let mut heard = false;
        let read = self.read(key, turn, &mut heard, &mut hear);
        if heard {
            // Danger: what another call was told before this one would be taken for newer.
            self.close(|open| open != key, turn);
            self.call_at = None;
        }
        match read {
            Ok(()) => self.await_next(turn),
            Err(what) => return self.fail(Some(key), &what, turn),
        }
        false
    }

    /// `heard`: set once a list or a beat has been heard to its end.
    fn read(
        &mut self,
        key: Key,
        turn: &mut Turn,
        heard: &mut bool,
        hear: &mut impl FnMut(bool, Value),
    ) -> Result<(), String> {
        let agent_in = self.agent_in();
        let Some(watch) = self.watches.get_mut(key) else { return Ok(()) };
        let broken = |e: std::io::Error| e.to_string();
        if !watch.up {
            watch.up = watch.connection.is_up().map_err(broken)?;
            if !watch.up {
                return Ok(());
            }
            if self.pushed {
                watch.until = turn.now + agent_in;
            }
        }
        watch.connection.flush().map_err(broken)?;
        loop {
            let over = watch.connection.fill(LIST_MOST + http::HEAD_MOST).is_err() || watch.connection.ended;
            let full = watch.connection.full;
            if !watch.head_read {
                match http::watch_head(&watch.connection.input) {
                    Ok(Some(head)) => watch.connection.consume(head),
                    Ok(None) if over => return Err("no answer".to_string()),
                    Ok(None) => return Ok(()),
                    Err(http::Bad(status)) => return Err(format!("answered {status}")),
                }
                watch.head_read = true;
            }
            // Danger: what came before an end or a fault has been told.
            let (any, faulty) = watch.take_chunks();
            if any {
                (watch.heard, watch.until) = (true, turn.now + SILENCE_MOST);
            }
            let whole = watch.braces.whole(&watch.text);
            for list in serde_json::Deserializer::from_slice(&watch.text[..whole]).into_iter::<Value>() {
                let list = list.map_err(|e| format!("bad list: {e}"))?;
                let (version, complete) = version(&list)?;
                // Danger: a list that is told in part, up to what is faulty, would drop the rest.
                entries(&list, |_, _, _, _, _| {})?;
                (self.version, self.failures, *heard) = (version, 0, true);
                hear(complete, list);
            }
            watch.done_with(whole)?;
            // Danger: a watch that only beats is as good; kept, old failures would delay the next for long.
            if any && watch.text.is_empty() {
                (self.failures, *heard) = (0, true);
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
                    watch.until = (turn.now + MORE_IN).min(since + ALL_IN);
                }
                return Ok(());
            }
        }
    }
}

impl Watch {
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
mod tests {
    use super::*;

    #[test]
    fn waits_between_calls_grow_to_a_most_and_never_fall_together() {
        let registry = mio::Poll::new().unwrap().registry().try_clone().unwrap();
        let now = Moment::from_nanos(0);
        let mut turn = Turn { now, registry, deadlines: Default::default(), room: 0 };
        let nobody = "127.0.0.1:1".parse().unwrap();
        let mut lists = [List::new(nobody, 0, 1, false), List::new(nobody, 0, 2, false)];
        let mut last = Span::ZERO;
        for _ in 0..20 {
            let [one, other] = lists.each_mut().map(|list| {
                list.open(&mut turn);
                let call = list.calls.first().copied();
                assert!(call.is_none() || list.fail(call, "a trial", &mut turn));
                list.deadline.unwrap().since(now)
            });
            assert!(one != other && one.max(other) <= RETRY_MOST);
            last = one.min(other);
        }
        assert!(last >= RETRY_MOST * 0.5);
    }

    /// Turns that end at what falls due first, until the list has been called so many times more.
    fn calls(
        list: &mut List,
        turn: &mut Turn,
        poll: &mut mio::Poll,
        times: usize,
        listener: &std::net::TcpListener,
    ) -> Vec<std::net::TcpStream> {
        let mut called = Vec::new();
        while called.len() < times {
            let newest = list.calls.last().copied();
            turn.now = turn.deadlines.next().unwrap();
            turn.deadlines.pop(turn.now);
            list.overdue(|| true, turn);
            if list.calls.last().is_some_and(|key| Some(*key) != newest) {
                up(list, turn, poll);
                called.push(listener.accept().unwrap().0);
            }
        }
        called
    }

    /// Awaits that the newest call is up.
    fn up(list: &mut List, turn: &mut Turn, poll: &mut mio::Poll) {
        let mut events = mio::Events::with_capacity(8);
        let key = *list.calls.last().unwrap();
        while !list.watches.get(key).unwrap().up {
            poll.poll(&mut events, None).unwrap();
            list.ready(key, turn, |_, _| {});
        }
    }

    fn followed(pushed: bool) -> (List, Turn, mio::Poll, std::net::TcpListener, std::net::TcpStream) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let now = Moment::from_nanos(1);
        let mut turn = Turn { now, registry, deadlines: Default::default(), room: 0 };
        let mut list = List::new(listener.local_addr().unwrap(), 0, 1, pushed);
        list.watch(|| true, &mut turn);
        up(&mut list, &mut turn, &mut poll);
        let (mut peer, _) = listener.accept().unwrap();
        std::io::Write::write_all(
            &mut peer,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n",
        )
        .unwrap();
        let (key, mut events) = (list.calls[0], mio::Events::with_capacity(8));
        while !list.watches.get(key).unwrap().heard {
            poll.poll(&mut events, None).unwrap();
            list.ready(key, &mut turn, |_, _| {});
        }
        (list, turn, poll, listener, peer)
    }

    /// Danger: what a watch misses that has fallen silent counts as told 6 s later, also if the call that follows it is
    /// silent as well.
    #[test]
    fn after_a_silence_a_call_that_is_lost_leaves_time_for_another() {
        let (mut list, mut turn, mut poll, listener, _peer) = followed(false);
        let heard = turn.now;
        // The first is lost. The second is made in time.
        let _first = calls(&mut list, &mut turn, &mut poll, 2, &listener);
        assert!(turn.now.since(heard) < Span::from_millis(5500), "{:?}", turn.now.since(heard));
        // Later ones have all the time that a busy service may take, whatever calls follow.
        let (second, key) = (turn.now, *list.calls.last().unwrap());
        let mut later = Vec::new();
        while turn.deadlines.next().unwrap() < second + ANSWER_IN {
            turn.now = turn.deadlines.next().unwrap();
            turn.deadlines.pop(turn.now);
            let newest = list.calls.last().copied();
            list.overdue(|| true, &mut turn);
            if list.calls.last().copied() != newest {
                up(&mut list, &mut turn, &mut poll);
                later.push(listener.accept().unwrap());
            }
            assert!(list.calls.contains(&key), "{:?}", turn.now.since(second));
        }
    }

    /// Danger: an agent that was down would be called anew seconds after it is back, while what it has counts as told.
    #[test]
    fn an_agent_that_is_silent_is_called_again_within_little_more_than_a_second() {
        let (mut list, mut turn, mut poll, listener, _peer) = followed(true);
        calls(&mut list, &mut turn, &mut poll, 1, &listener);
        for _ in 0..20 {
            let before = turn.now;
            calls(&mut list, &mut turn, &mut poll, 1, &listener);
            assert!(turn.now.since(before) <= AGENT_IN.1 + AGENT_RETRY, "{:?}", turn.now.since(before));
        }
    }
}
