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
/// it fell silent.
const TOLD_AFTER: Span = Span::from_millis(6000);
/// In which a service that is back and well has answered a call, and what is left for long turns of the loop.
const ANSWERED: Span = Span::from_millis(1500);
const SLACK: Span = Span::from_millis(300);
/// In which a call must be connected, and in which its first list must have begun, both from its start: calls wait in
/// turn for up to 3 s, and are then turned away. Danger: a call that is given up sooner has waited for nothing, and would
/// wait for nothing again.
const CONNECT_IN: Span = Span::from_millis(1000);
const CALL_IN: Span = Span::from_millis(3200);
/// Longest silence of a watch: its beat of 2 s, with room for a busy service.
const SILENCE_MOST: Span = Span::from_millis(2800);
/// The same from the first call after such a silence. Danger: what a silent watch misses counts as told
/// 6 s after it fell silent; a call that is lost then has to leave time for another.
const ANSWER_SOON: Span = Span::from_millis(1500);
/// The same where lists are pushed, doubled with each failure up to the most, and the longest wait between two calls.
/// Danger: what the agent beside this process gets when its service is back counts as told at once, whether a call to it
/// is open or not, and the time to heed a drain may be well under a second. It has no other callers to serve.
const AGENT_IN: (Span, Span) = (Span::from_millis(400), Span::from_millis(1000));
const AGENT_RETRY: Span = Span::from_millis(100);
/// In which more of a list must come that has begun, and in which all of it: lists are written in one go, and what one
/// tells counts as told when it was written. Danger: one of which a little comes at a time would be waited for for ever.
const MORE_IN: Span = Span::from_millis(300);
const ALL_IN: Span = Span::from_millis(2000);
/// Most that is waited before a watch is opened anew that broke off within a list, times a half to one by
/// chance: its service is up, and has something to tell.
const RETRY_TORN: Span = Span::from_millis(60);
/// From the start of a call that failed, or a watch's end, to the next call: doubled with each further failure up to the
/// most, and times a half to one by chance. Danger: counted from the call's end it came on top of all that the call took.
/// One that the service itself has turned away says that it is there and has too many callers: after that the wait is
/// counted from the call's end, up to a longer most. Danger: callers that come again sooner keep it from answering any.
const RETRY_FIRST: Span = Span::from_millis(400);
const RETRY_MOST: Span = Span::from_millis(4000);
const RETRY_TURNED_AWAY: Span = Span::from_millis(5000);
/// Most from the end of a call that took longer than that to the next, times a tenth to one by chance: as wide as the bound
/// allows, as calls that were made together and wait alike would else stay in step.
const RETRY_SOON: Span = Span::from_millis(700);
/// Longest from a call's start, or a watch's end, to the next call where a budget holds that back, but for one that has
/// been turned away. Danger: a drain that is not heard breaks a rule; a budget spares a service.
const HELD_BACK_MOST: Span = Span::from_millis(4200);
/// The same from the wish for a watch, and from a new configuration: what the service at the address that this names has
/// counts as told `TOLD_MOVED` after it.
const HELD_BACK_MOVED: Span = Span::from_millis(2000);
const TOLD_MOVED: Span = Span::from_millis(4000);
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

// Worst cases: what passes from when a change could be had until it is. A call was made just before, and was refused, or
// lost, or its list never ends; the next is answered. Calls that have been turned away are not among them.
const _: () = assert!(sum([RETRY_MOST, ANSWERED, SLACK]) <= TOLD_AFTER.nanos());
const _: () = assert!(sum([CALL_IN, MORE_IN, RETRY_SOON, ANSWERED, SLACK]) <= TOLD_AFTER.nanos());
const _: () = assert!(sum([HELD_BACK_MOST, ANSWERED, SLACK]) <= TOLD_AFTER.nanos());
const _: () = assert!(sum([HELD_BACK_MOVED, ANSWERED, SLACK]) <= TOLD_MOVED.nanos());
// From the last beat: silence, the wait, a call that is answered; or one that is lost, the wait, one that is answered in
// half of that.
const _: () = assert!(sum([SILENCE_MOST, RETRY_FIRST, ANSWERED, SLACK]) <= TOLD_AFTER.nanos());
const _: () = assert!(ANSWERED.nanos() <= ANSWER_SOON.nanos());
const _: () = assert!(
    sum([SILENCE_MOST, RETRY_FIRST, ANSWER_SOON, RETRY_FIRST]) + ANSWERED.nanos() / 2 <= TOLD_AFTER.nanos()
);
// A call that is connected has time left to be answered, and waits grow.
const _: () = assert!(CONNECT_IN.nanos() < CALL_IN.nanos() && RETRY_FIRST.nanos() <= RETRY_MOST.nanos());

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
    /// There is one at the most; the slots give each a token of its own.
    watches: Slots<Watch>,
    open: Option<Key>,
    wanted: bool,
    /// Calls that have been made.
    pub made: u64,
    deadline: Option<Moment>,
    /// When the next call is made, whether a budget allows it or not.
    latest: Moment,
    /// There was no descriptor for a call that might be made.
    pub lacks_descriptor: bool,
    failures: i32,
    /// The last watch fell silent, and none has been heard since.
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
            open: None,
            wanted: false,
            made: 0,
            deadline: None,
            latest: Moment::default(),
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
        self.latest = turn.now + HELD_BACK_MOVED;
        self.open_if(may, turn)
    }

    /// Opens a watch if it may be opened now; else it waits as after a first failure, which it is not.
    fn open_if(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        if self.lacks_descriptor || may() || turn.now >= self.latest {
            return self.open(turn);
        }
        let wait = RETRY_FIRST * (0.5 + self.chance.rand_float() / 2.0);
        turn.deadlines.shift(Due::List, &mut self.deadline, Some((turn.now + wait).min(self.latest)));
        false
    }

    /// The list is to be asked at this address from now on. Returns whether a call to it failed at once.
    pub fn move_to(&mut self, at: SocketAddr, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        if std::mem::replace(&mut self.at, at) == at {
            return false;
        }
        // Danger: another service counts versions of its own, and would tell only what came after ours.
        (self.version, self.failures) = (0, 0);
        self.latest = turn.now + HELD_BACK_MOVED;
        self.close(turn);
        self.wanted && self.open_if(may, turn)
    }

    fn close(&mut self, turn: &mut Turn) {
        if let Some(watch) = self.open.take().and_then(|key| self.watches.remove(key)) {
            watch.connection.close(&turn.registry);
        }
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
                    self.failures
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
        let turned_away = open.is_some_and(|watch| watch.turned_away);
        let open_since = open.map_or(turn.now, |watch| watch.since);
        self.salvaged = salvage(torn.as_deref().unwrap_or_default());
        self.close(turn);
        // Danger: a service that comes back would be met by every sidecar at once.
        let part = 0.5 + self.chance.rand_float() / 2.0;
        let most = match turned_away {
            _ if self.pushed => AGENT_RETRY,
            true => RETRY_TURNED_AWAY,
            false => RETRY_MOST,
        };
        let wait = (RETRY_FIRST * 2.0_f64.powi(self.failures.min(10))).min(most);
        let next = match &torn {
            Some(_) if self.failures == 0 => turn.now + RETRY_TORN * part,
            _ if self.pushed || turned_away => turn.now + wait * part,
            // The silence itself has taken most of the time that there is.
            _ if self.failures == 1 && self.fell_silent => turn.now + RETRY_FIRST * part,
            _ => (since + wait * part).max(turn.now + RETRY_SOON * (0.1 + 0.9 * self.chance.rand_float())),
        };
        self.latest = next.max(since + HELD_BACK_MOST);
        self.failures += 1;
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

    /// By when a call that was made then and is up now must be answered.
    fn answer_by(&self, since: Moment, now: Moment) -> Moment {
        match self.failures {
            failures if self.pushed => now + (AGENT_IN.0 * 2.0_f64.powi(failures.min(10))).min(AGENT_IN.1),
            // The silence itself is the first failure.
            1 if self.fell_silent => since + ANSWER_SOON,
            _ => since + CALL_IN,
        }
    }

    /// The deadline has passed: of a watch that is silent, or of the wait for the next. Returns whether a
    /// call has failed by that.
    pub fn overdue(&mut self, may: impl FnOnce() -> bool, turn: &mut Turn) -> bool {
        self.deadline = None;
        match self.open {
            Some(key) => {
                self.fell_silent |= self.watches.get(key).is_some_and(|watch| watch.heard);
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
        match self.read(key, turn, &mut hear) {
            Ok(()) => false,
            Err(what) => self.fail(&what, turn),
        }
    }

    fn read(&mut self, key: Key, turn: &mut Turn, hear: &mut impl FnMut(bool, Value)) -> Result<(), String> {
        let Some(watch) = self.watches.get(key) else { return Ok(()) };
        let answer_by = self.answer_by(watch.since, turn.now);
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
                (watch.heard, self.fell_silent) = (true, false);
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
                (self.version, self.failures, watch.told) = (version, 0, true);
                hear(complete, list);
            }
            watch.done_with(whole)?;
            // Danger: a watch that only beats is as good; kept, old failures would delay the next for long.
            if any && watch.text.is_empty() {
                (self.failures, watch.told) = (0, true);
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
                assert!(list.fail("a trial", &mut turn));
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
    ) {
        for _ in 0..times {
            while list.open.is_some() {
                turn.now = turn.deadlines.next().unwrap();
                turn.deadlines.pop(turn.now);
                list.overdue(|| true, turn);
            }
            turn.now = turn.deadlines.next().unwrap();
            turn.deadlines.pop(turn.now);
            list.overdue(|| true, turn);
            up(list, turn, poll);
            let _ = listener.accept().unwrap();
        }
    }

    /// Awaits that the call is up.
    fn up(list: &mut List, turn: &mut Turn, poll: &mut mio::Poll) {
        let mut events = mio::Events::with_capacity(8);
        let key = list.open.unwrap();
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
        let (key, mut events) = (list.open.unwrap(), mio::Events::with_capacity(8));
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
        calls(&mut list, &mut turn, &mut poll, 2, &listener);
        assert!(turn.now.since(heard) < Span::from_millis(5500), "{:?}", turn.now.since(heard));
        // Later ones have all the time that a busy service may take.
        let second = turn.now;
        calls(&mut list, &mut turn, &mut poll, 1, &listener);
        assert!(turn.now.since(second) > CALL_IN);
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
