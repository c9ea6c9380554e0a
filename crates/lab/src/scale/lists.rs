//! The list's stand-in: one loop that serves each service's own list to its watchers, and tells them of each change.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use appledyke::units::{Moment, Span};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{children, now};

/// The list service's sign of life, which its watches wait for.
const BEAT: Span = Span::from_millis(1000);
/// Bytes that a call may have, and that may wait for a watcher.
const HEAD_MOST: usize = 4096;
const UNSENT_MOST: usize = 4 << 20;
const EVENTS: usize = 1024;
const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// Where watchers' tokens begin.
const FIRST: usize = 2;
/// The service of a call that names none.
pub const REAL: &str = "real";

/// What is in which service's list at the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Setup {
    pub services: BTreeMap<String, Vec<Value>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// These entries of a service's list have changed.
    Tell(String, Vec<Value>),
    Mark,
}

/// Counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub watchers: u64,
    pub calls: u64,
    pub messages: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Said {
    At(SocketAddr),
    Mark(Counts),
}

struct Watcher {
    stream: TcpStream,
    /// Its call, until that is whole; then the service.
    head: Vec<u8>,
    service: Option<String>,
    unsent: Vec<u8>,
}

impl Watcher {
    /// Sends what waits; `false` where the connection is of no use any more.
    fn flush(&mut self) -> bool {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(0) => return false,
                Ok(sent) => drop(self.unsent.drain(..sent)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.unsent.len() <= UNSENT_MOST
    }
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

fn service(head: &str) -> &str {
    let asked = head.split(' ').nth(1).and_then(|path| path.split("service=").nth(1));
    asked.map_or(REAL, |name| name.split('&').next().unwrap_or(name))
}

struct Lists {
    services: BTreeMap<String, (u64, BTreeMap<String, Value>)>,
    watchers: BTreeMap<usize, Watcher>,
    counts: Counts,
}

impl Lists {
    /// Tells a service's entries, by their names; what is removed is told, and no longer kept.
    fn tell(&mut self, name: &str, entries: Vec<Value>) {
        let (index, kept) = self.services.entry(name.to_string()).or_default();
        *index += 1;
        for entry in &entries {
            let called = entry["name"].as_str().unwrap_or_default().to_string();
            if entry["status"] == "removed" {
                kept.remove(&called);
            } else {
                kept.insert(called, entry.clone());
            }
        }
        let line = chunk(&json!({"index": *index, "snapshot": false, "endpoints": entries}).to_string());
        let of = self.watchers.iter().filter(|(_, watcher)| watcher.service.as_deref() == Some(name));
        for key in of.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.send(key, &line);
        }
    }

    fn send(&mut self, key: usize, bytes: &[u8]) {
        let Some(watcher) = self.watchers.get_mut(&key) else { return };
        watcher.unsent.extend_from_slice(bytes);
        self.counts.messages += 1;
        self.counts.bytes_out += bytes.len() as u64;
        if !watcher.flush() {
            self.watchers.remove(&key);
        }
    }

    fn ready(&mut self, key: usize) {
        let Some(watcher) = self.watchers.get_mut(&key) else { return };
        let (mut piece, mut works) = ([0; 1024], watcher.flush());
        while works {
            match watcher.stream.read(&mut piece) {
                Ok(0) => works = false,
                Ok(read) => {
                    self.counts.bytes_in += read as u64;
                    if watcher.service.is_none() {
                        watcher.head.extend_from_slice(&piece[..read]);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => works = false,
            }
        }
        let whole = watcher.head.windows(4).any(|four| four == b"\r\n\r\n");
        if !works || watcher.head.len() > HEAD_MOST {
            self.watchers.remove(&key);
        } else if whole {
            let head = String::from_utf8_lossy(&std::mem::take(&mut watcher.head)).into_owned();
            let name = service(&head).to_string();
            let (index, kept) = self.services.entry(name.clone()).or_insert((1, BTreeMap::new()));
            let entries: Vec<&Value> = kept.values().collect();
            let line = json!({"index": *index, "snapshot": true, "endpoints": entries}).to_string();
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let bytes = [head, &chunk(&line)[..]].concat();
            watcher.service = Some(name);
            self.counts.calls += 1;
            self.send(key, &bytes);
        }
    }
}

/// Serves lists until the standard input ends.
///
/// # Errors
/// What the system says, or the line that can't be read.
pub fn serve() -> Result<(), String> {
    let named = |e: std::io::Error| format!("lists: {e}");
    let mut poll = Poll::new().map_err(named)?;
    let waker = Waker::new(poll.registry(), WAKER).map_err(named)?;
    let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(named)?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(named)?;
    let at = listener.local_addr().map_err(named)?;
    let (setups, setup) = channel();
    let (sender, orders): (_, Receiver<Order>) = channel();
    std::thread::spawn(move || {
        let mut first = true;
        let read = children::told(|line: Value| {
            if std::mem::take(&mut first) {
                return setups.send(serde_json::from_value(line).ok()).is_ok();
            }
            let Ok(order) = serde_json::from_value(line) else { return false };
            sender.send(order).is_ok() && waker.wake().is_ok()
        });
        if let Err(why) = read {
            eprintln!("lists: {why}");
        }
        // Danger: one whose starter was killed would serve for ever.
        std::process::exit(0);
    });
    let setup: Option<Setup> = setup.recv().map_err(|e| format!("lists: {e}"))?;
    let setup = setup.ok_or("lists: a setup that can't be read")?;
    let mut lists = Lists { services: BTreeMap::new(), watchers: BTreeMap::new(), counts: Counts::default() };
    for (name, entries) in setup.services {
        lists.tell(&name, entries);
    }
    lists.counts = Counts::default();
    children::say(&Said::At(at));
    let (mut events, mut next_key) = (Events::with_capacity(EVENTS), FIRST);
    let mut beat: Moment = now() + BEAT;
    loop {
        let left = beat.since(now());
        match poll.poll(&mut events, Some(Duration::from_nanos(left.nanos()))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(named(e)),
            _ => {}
        }
        for event in &events {
            match event.token() {
                WAKER => {}
                LISTENER => loop {
                    match listener.accept() {
                        Ok((mut stream, _)) => {
                            let _ = stream.set_nodelay(true);
                            let interest = Interest::READABLE | Interest::WRITABLE;
                            poll.registry()
                                .register(&mut stream, Token(next_key), interest)
                                .map_err(named)?;
                            let watcher =
                                Watcher { stream, head: Vec::new(), service: None, unsent: Vec::new() };
                            lists.watchers.insert(next_key, watcher);
                            next_key += 1;
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        // As where no descriptor is free: it is tried again with the next that comes.
                        Err(_) => break,
                    }
                },
                Token(key) => lists.ready(key),
            }
        }
        while let Ok(order) = orders.try_recv() {
            match order {
                Order::Tell(name, entries) => lists.tell(&name, entries),
                Order::Mark => {
                    lists.counts.watchers = lists.watchers.len() as u64;
                    children::say(&Said::Mark(lists.counts.clone()));
                }
            }
        }
        if now() >= beat {
            beat = now() + BEAT;
            let all: Vec<usize> =
                lists.watchers.iter().filter(|(_, w)| w.service.is_some()).map(|(k, _)| *k).collect();
            for key in all {
                lists.send(key, b"1\r\n\n\r\n");
            }
        }
    }
}
