//! Minimal fleet members that only hold shares of budgets, with the fleet's own limits. Several share a thread, and each has its
//! own connection to the leader. The shares that they assume can be summed at one moment. A thread serves its members one after
//! another, so measurements with some hundreds of them would measure the test members themselves. `scale` measures sizes, with
//! complete members.

use std::collections::VecDeque;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use appledyke::units::Moment;
use appledyke_fleet::budgets::Resource;
use appledyke_fleet::limits::Limits;
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, Report, ReportAnswer};

use super::fleet::FLEET;

const THREADS: usize = 8;
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of reports that may still be answered.
const MAX_PENDING_REPORTS: usize = 16;

#[derive(Default)]
struct Holder {
    limits: Limits,
    pending: VecDeque<(u64, Moment)>,
    reports: u64,
    /// Time at which the holder stopped reporting and its clock stopped. The sum of the shares must show this fault.
    frozen_at: Option<Moment>,
    wanted: u64,
}

struct Shared {
    start: Instant,
    stop: AtomicBool,
    holders: Mutex<Vec<Holder>>,
    answers: AtomicU64,
    bytes: AtomicU64,
    resources: Vec<Resource>,
    daemons: Vec<(u16, SocketAddr)>,
}

impl Shared {
    fn now(&self) -> Moment {
        Moment::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Holder>> {
        self.holders.lock().expect("no holder panics with the lock")
    }

    /// Builds a holder's next report; `None` if it is frozen.
    fn report(&self, who: usize) -> Option<Report> {
        let (mut holders, now) = (self.lock(), self.now());
        let holder = &mut holders[who];
        if holder.frozen_at.is_some() {
            return None;
        }
        holder.reports += 1;
        holder.pending.push_back((holder.reports, now));
        if holder.pending.len() > MAX_PENDING_REPORTS {
            holder.pending.pop_front();
        }
        let wanted = holder.wanted;
        let known = holder.limits.usage(now).into_iter().map(|(resource, mut usage)| {
            usage.wanted = wanted;
            (resource, usage)
        });
        let mut usage: Vec<_> = known.collect();
        for resource in self
            .resources
            .iter()
            .filter(|resource| !usage.iter().any(|(known, _)| known == *resource))
            .collect::<Vec<_>>()
        {
            usage.push((*resource, appledyke_fleet::limits::Usage { wanted, ..Default::default() }));
        }
        Some(Report {
            name: format!("h{who}"),
            incarnation: 1,
            process_nonce: 1,
            status: MemberStatus::Serving,
            number: holder.reports,
            usage,
            ..Report::default()
        })
    }

    fn apply_answer(&self, who: usize, answer: &ReportAnswer) {
        self.answers.fetch_add(1, Ordering::Relaxed);
        let mut holders = self.lock();
        let holder = &mut holders[who];
        let reported_at =
            holder.pending.iter().find(|(number, _)| *number == answer.number).map(|(_, at)| *at);
        if let (Some(reported_at), Some(grants)) = (reported_at, &answer.grants) {
            holder.limits.apply_grants(reported_at, grants);
        }
    }
}

pub struct Holders {
    shared: Arc<Shared>,
    heartbeat: Duration,
    threads: Vec<thread::JoinHandle<()>>,
}

struct Link {
    stream: TcpStream,
    frames: FrameReader,
}

impl Link {
    fn new(at: SocketAddr, who: usize) -> std::io::Result<Link> {
        let mut stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        let mut out = Vec::new();
        Frame::hello(FLEET, Initiator::Member { name: format!("h{who}") }).write(&mut out);
        stream.write_all(&out)?;
        Ok(Link { stream, frames: FrameReader::default() })
    }

    /// Sends a report and returns the answer and the bytes of both.
    fn send_report(&mut self, report: Report, buffer: &mut [u8]) -> std::io::Result<(ReportAnswer, usize)> {
        let mut out = Vec::new();
        Frame::Report(report).write(&mut out);
        self.stream.write_all(&out)?;
        let mut bytes = out.len();
        loop {
            match self.frames.pop().map_err(std::io::Error::other)? {
                Some(Frame::ReportAnswer(answer)) => return Ok((answer, bytes)),
                Some(_) => {}
                None => match self.stream.read(buffer)? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    read => {
                        bytes += read;
                        self.frames.push(&buffer[..read]);
                    }
                },
            }
        }
    }
}

struct Reporter {
    who: usize,
    /// Index of the daemon that it reports to.
    daemon: usize,
    link: Option<Link>,
}

impl Reporter {
    fn new(shared: &Shared, who: usize) -> Reporter {
        Reporter { who, daemon: 0, link: Link::new(shared.daemons[0].1, who).ok() }
    }

    /// Sends one report and applies its answer. Danger: on a busy machine the leader may change. A member that keeps reporting
    /// to the former leader, or does not reconnect, gets no more grants, which would be an error of the test and not of the fleet.
    fn report(&mut self, shared: &Shared, buffer: &mut [u8]) {
        let Some(report) = shared.report(self.who) else { return };
        let link = self.link.take().map_or_else(|| Link::new(shared.daemons[self.daemon].1, self.who), Ok);
        let result = link.and_then(|mut link| {
            let (answer, bytes) = link.send_report(report, buffer)?;
            Ok((answer, bytes, link))
        });
        match result {
            Ok((answer, bytes, link)) => {
                shared.apply_answer(self.who, &answer);
                shared.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
                let leader = answer.leader.filter(|_| !answer.is_leader);
                let other = leader
                    .and_then(|leader| shared.daemons.iter().position(|(replica, _)| *replica == leader));
                match other.filter(|other| *other != self.daemon) {
                    Some(other) => self.daemon = other,
                    None => self.link = Some(link),
                }
            }
            Err(_) => self.daemon = (self.daemon + 1) % shared.daemons.len(),
        }
    }
}

impl Holders {
    /// Creates an empty set of holders for at least one daemon, given by replica id and address.
    pub fn new(daemons: Vec<(u16, SocketAddr)>, heartbeat: Duration, resources: &[Resource]) -> Holders {
        let shared = Shared {
            start: Instant::now(),
            stop: AtomicBool::new(false),
            holders: Mutex::new(Vec::new()),
            answers: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            resources: resources.to_vec(),
            daemons,
        };
        Holders { shared: Arc::new(shared), heartbeat, threads: Vec::new() }
    }

    /// Adds `count` holders at once, each of which asks for `wanted` of every budget.
    pub fn add(&mut self, count: usize, wanted: u64) {
        let first = {
            let mut holders = self.shared.lock();
            let first = holders.len();
            holders.extend((0..count).map(|_| Holder { wanted, ..Holder::default() }));
            first
        };
        for thread in 0..THREADS.min(count) {
            let (shared, heartbeat) = (self.shared.clone(), self.heartbeat);
            self.threads.push(thread::spawn(move || {
                let who = (first + thread..first + count).step_by(THREADS);
                let mut open: Vec<Reporter> = who.map(|who| Reporter::new(&shared, who)).collect();
                let (pause, mut buffer) = (heartbeat / open.len().max(1) as u32, vec![0; 64 * 1024]);
                while !shared.stop.load(Ordering::Relaxed) {
                    for holder in &mut open {
                        let start = Instant::now();
                        if shared.stop.load(Ordering::Relaxed) {
                            break;
                        }
                        holder.report(&shared, &mut buffer);
                        thread::sleep(pause.saturating_sub(start.elapsed()));
                    }
                }
            }));
        }
    }

    pub fn set_wanted(&self, who: usize, wanted: u64) {
        self.shared.lock()[who].wanted = wanted;
    }

    /// Makes holders stop reporting, and stops their clocks.
    pub fn freeze(&self, who: std::ops::Range<usize>) {
        let now = self.shared.now();
        self.shared.lock()[who].iter_mut().for_each(|holder| holder.frozen_at = Some(now));
    }

    /// Returns how often a holder has reported, as a measure of its progress on a busy machine.
    pub fn reports(&self, who: usize) -> u64 {
        self.shared.lock()[who].reports
    }

    /// Returns the share that a holder assumes to have now.
    pub fn share(&self, who: usize, resource: Resource) -> u64 {
        let (holders, now) = (self.shared.lock(), self.shared.now());
        holders[who].limits.allowed(now, resource).unwrap_or(0)
    }

    /// Returns the sum of the shares that all holders assume to have now. Frozen holders use their stopped clocks if
    /// `stopped_clocks` is set.
    pub fn total_share(&self, resource: Resource, stopped_clocks: bool) -> u64 {
        let (holders, now) = (self.shared.lock(), self.shared.now());
        let at = |holder: &Holder| holder.frozen_at.filter(|_| stopped_clocks).unwrap_or(now);
        holders.iter().map(|holder| holder.limits.allowed(at(holder), resource).unwrap_or(0)).sum()
    }

    pub fn count(&self) -> usize {
        self.shared.lock().len()
    }

    /// Returns the answers received, and the bytes in both directions.
    pub fn traffic(&self) -> (u64, u64) {
        (self.shared.answers.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Holders {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}
