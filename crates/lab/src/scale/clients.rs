//! Clients of real sidecars, each request with when it was made and how long its answer took.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use appledyke::units::{Moment, Span};

use super::now;
use crate::rig::sidecars::Sidecars;

/// Longest that an answer is waited for: longer than any deadline of the settings.
const ANSWER_IN: Duration = Duration::from_secs(8);

/// A request, and its answer's status; none where no answer came.
#[derive(Clone, Copy, Debug)]
pub struct Made {
    /// The sidecar's place among the members.
    pub sidecar: usize,
    pub at: Moment,
    pub took: Span,
    pub status: Option<u16>,
}

/// Clients until they are told to stop.
pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Made>>>,
}

fn once(open: &mut Option<BufReader<TcpStream>>, at: SocketAddr, id: u64) -> Option<u16> {
    let mut stream = match open.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&at, ANSWER_IN).ok()?;
            stream.set_read_timeout(Some(ANSWER_IN)).ok()?;
            stream.set_nodelay(true).ok()?;
            BufReader::new(stream)
        }
    };
    let head = format!("GET /menu/1 HTTP/1.1\r\nX-Txn: {id:x}\r\n\r\n");
    stream.get_mut().write_all(head.as_bytes()).ok()?;
    let (mut status, mut length, mut closes) = (None, 0, false);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_lowercase();
        match line.split_once(':') {
            _ if line.is_empty() => break,
            Some(("content-length", value)) => length = value.trim().parse().ok()?,
            Some(("connection", value)) => closes = value.trim() == "close",
            _ if status.is_none() => status = line.split(' ').nth(1)?.parse().ok(),
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).ok()?;
    if !closes {
        *open = Some(stream);
    }
    status
}

impl Clients {
    /// So many for each sidecar, by its place and name, which go to whatever process has the name; each asks again so long
    /// after each answer.
    pub fn start(sidecars: &[(usize, String)], each: usize, pause: Duration, of: &Sidecars) -> Clients {
        // Danger: a second open request with the id of another is answered 409, and never sent on.
        static IDS: AtomicU64 = AtomicU64::new(1 << 40);
        let over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (sidecar, name) in sidecars.iter().flat_map(|one| std::iter::repeat_n(one, each)) {
            let (over, lookup, name, sidecar) = (over.clone(), of.lookup(), name.clone(), *sidecar);
            threads.push(thread::spawn(move || {
                let (mut made, mut open) = (Vec::new(), None);
                while !over.load(Ordering::Relaxed) {
                    let (at, kept) = (now(), open.is_some());
                    let mut ask = || once(&mut open, lookup(&name)?, IDS.fetch_add(1, Ordering::Relaxed));
                    // A kept connection may have ended by itself since.
                    let status = ask().or_else(|| if kept { ask() } else { None });
                    made.push(Made { sidecar, at, took: now().since(at), status });
                    thread::sleep(pause);
                }
                made
            }));
        }
        Clients { over, threads }
    }

    /// All that they asked.
    ///
    /// # Panics
    /// If one of them did.
    pub fn stop(self) -> Vec<Made> {
        self.over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client does not panic")).collect()
    }
}
