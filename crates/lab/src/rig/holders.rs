//! Members of a fleet that only hold parts of budgets, by the fleet's own limits: many on a thread, each over a connection of
//! its own to the daemon that leads. What they believe to hold can be added up at a moment. A thread asks one after another: with some
//! hundreds these would measure themselves. Figures at a size are `scale`'s, whose members are whole.

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
const ANSWER_IN: Duration = Duration::from_secs(5);
/// Reports whose answers may still come.
const ASKED_MOST: usize = 16;

#[derive(Default)]
struct One {
    limits: Limits,
    asked: VecDeque<(u64, Moment)>,
    reports: u64,
    /// It reports no more, and its clock stands still: the flaw that the sum must show.
    frozen: Option<Moment>,
    wants: u64,
}

struct Shared {
    start: Instant,
    over: AtomicBool,
    all: Mutex<Vec<One>>,
    answers: AtomicU64,
    bytes: AtomicU64,
    of: Vec<Resource>,
    daemons: Vec<(u16, SocketAddr)>,
}

impl Shared {
    fn now(&self) -> Moment {
        Moment::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    fn all(&self) -> MutexGuard<'_, Vec<One>> {
        self.all.lock().expect("no holder panics with the lock")
    }

    /// What a holder reports now; nothing where it is frozen.
    fn report(&self, who: usize) -> Option<Report> {
        let (mut all, now) = (self.all(), self.now());
        let one = &mut all[who];
        if one.frozen.is_some() {
            return None;
        }
        one.reports += 1;
        one.asked.push_back((one.reports, now));
        if one.asked.len() > ASKED_MOST {
            one.asked.pop_front();
        }
        let wants = one.wants;
        let told = one.limits.usage(now).into_iter().map(|(of, mut told)| {
            told.wanted = wants;
            (of, told)
        });
        let mut uses: Vec<_> = told.collect();
        for of in self.of.iter().filter(|of| !uses.iter().any(|(told, _)| told == *of)).collect::<Vec<_>>() {
            uses.push((*of, appledyke_fleet::limits::Usage { wanted: wants, ..Default::default() }));
        }
        Some(Report {
            name: format!("h{who}"),
            incarnation: 1,
            process_nonce: 1,
            status: MemberStatus::Serving,
            number: one.reports,
            usage: uses,
            ..Report::default()
        })
    }

    fn told(&self, who: usize, told: &ReportAnswer) {
        self.answers.fetch_add(1, Ordering::Relaxed);
        let mut all = self.all();
        let one = &mut all[who];
        let asked = one.asked.iter().find(|(number, _)| *number == told.number).map(|(_, at)| *at);
        if let (Some(asked), Some(grants)) = (asked, &told.grants) {
            one.limits.apply_grants(asked, grants);
        }
    }
}

pub struct Holders {
    shared: Arc<Shared>,
    beat: Duration,
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
        stream.set_read_timeout(Some(ANSWER_IN))?;
        let mut out = Vec::new();
        Frame::hello(FLEET, Initiator::Member { name: format!("h{who}") }).write(&mut out);
        stream.write_all(&out)?;
        Ok(Link { stream, frames: FrameReader::default() })
    }

    /// The answer to a report, and the bytes that moved for both.
    fn told(&mut self, report: Report, piece: &mut [u8]) -> std::io::Result<(ReportAnswer, usize)> {
        let mut out = Vec::new();
        Frame::Report(report).write(&mut out);
        self.stream.write_all(&out)?;
        let mut moved = out.len();
        loop {
            match self.frames.pop().map_err(std::io::Error::other)? {
                Some(Frame::ReportAnswer(told)) => return Ok((told, moved)),
                Some(_) => {}
                None => match self.stream.read(piece)? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    read => {
                        moved += read;
                        self.frames.push(&piece[..read]);
                    }
                },
            }
        }
    }
}

struct Open {
    who: usize,
    /// Which of the daemons it asks.
    to: usize,
    link: Option<Link>,
}

impl Open {
    fn new(shared: &Shared, who: usize) -> Open {
        Open { who, to: 0, link: Link::new(shared.daemons[0].1, who).ok() }
    }

    /// One report and its answer. Danger: on a busy machine another daemon comes to lead, and who goes on asking the one
    /// before, or asks nobody once a connection has ended, is granted nothing any more: no flaw of the fleet's.
    fn beat(&mut self, shared: &Shared, piece: &mut [u8]) {
        let Some(report) = shared.report(self.who) else { return };
        let link = self.link.take().map_or_else(|| Link::new(shared.daemons[self.to].1, self.who), Ok);
        let told = link.and_then(|mut link| {
            let (told, moved) = link.told(report, piece)?;
            Ok((told, moved, link))
        });
        match told {
            Ok((told, moved, link)) => {
                shared.told(self.who, &told);
                shared.bytes.fetch_add(moved as u64, Ordering::Relaxed);
                let leader = told.leader.filter(|_| !told.is_leader);
                let other = leader.and_then(|leader| shared.daemons.iter().position(|(at, _)| *at == leader));
                match other.filter(|other| *other != self.to) {
                    Some(other) => self.to = other,
                    None => self.link = Some(link),
                }
            }
            Err(_) => self.to = (self.to + 1) % shared.daemons.len(),
        }
    }
}

impl Holders {
    /// None yet, for the daemons of these places, one at the least, which listen there.
    pub fn new(daemons: Vec<(u16, SocketAddr)>, beat: Duration, of: &[Resource]) -> Holders {
        let shared = Shared {
            start: Instant::now(),
            over: AtomicBool::new(false),
            all: Mutex::new(Vec::new()),
            answers: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            of: of.to_vec(),
            daemons,
        };
        Holders { shared: Arc::new(shared), beat, threads: Vec::new() }
    }

    /// So many more come at once, each wanting so much.
    pub fn come(&mut self, count: usize, wants: u64) {
        let first = {
            let mut all = self.shared.all();
            let first = all.len();
            all.extend((0..count).map(|_| One { wants, ..One::default() }));
            first
        };
        for thread in 0..THREADS.min(count) {
            let (shared, beat) = (self.shared.clone(), self.beat);
            self.threads.push(thread::spawn(move || {
                let who = (first + thread..first + count).step_by(THREADS);
                let mut open: Vec<Open> = who.map(|who| Open::new(&shared, who)).collect();
                let (pause, mut piece) = (beat / open.len().max(1) as u32, vec![0; 64 * 1024]);
                while !shared.over.load(Ordering::Relaxed) {
                    for one in &mut open {
                        let start = Instant::now();
                        if shared.over.load(Ordering::Relaxed) {
                            break;
                        }
                        one.beat(&shared, &mut piece);
                        thread::sleep(pause.saturating_sub(start.elapsed()));
                    }
                }
            }));
        }
    }

    pub fn wants(&self, who: usize, wants: u64) {
        self.shared.all()[who].wants = wants;
    }

    /// These report no more, and their clocks stand still.
    pub fn freeze(&self, who: std::ops::Range<usize>) {
        let now = self.shared.now();
        self.shared.all()[who].iter_mut().for_each(|one| one.frozen = Some(now));
    }

    /// How often this one has reported: its own clock, where the machine is busy.
    pub fn reports(&self, who: usize) -> u64 {
        self.shared.all()[who].reports
    }

    /// What one believes that it may use now.
    pub fn holds(&self, who: usize, of: Resource) -> u64 {
        let (all, now) = (self.shared.all(), self.shared.now());
        all[who].limits.allowed(now, of).unwrap_or(0)
    }

    /// What all believe together that they may use now; frozen ones by their own clocks if `flawed`.
    pub fn believed(&self, of: Resource, flawed: bool) -> u64 {
        let (all, now) = (self.shared.all(), self.shared.now());
        let at = |one: &One| one.frozen.filter(|_| flawed).unwrap_or(now);
        all.iter().map(|one| one.limits.allowed(at(one), of).unwrap_or(0)).sum()
    }

    pub fn count(&self) -> usize {
        self.shared.all().len()
    }

    /// Answers that have come, and bytes both ways.
    pub fn traffic(&self) -> (u64, u64) {
        (self.shared.answers.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Holders {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}
