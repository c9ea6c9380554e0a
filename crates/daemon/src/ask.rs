//! How operators ask a fleet's daemons: one after the other, until one can answer.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use appledyke_fleet::talk::{Ask, Frame, Frames, Reply, VERSION, Who, greeted};

/// Longest that one daemon is waited for: another may lead by then.
const ONE: Duration = Duration::from_secs(3);
/// Between two rounds over all daemons.
const PAUSE: Duration = Duration::from_millis(100);

/// What one daemon answers.
///
/// # Errors
/// Why it did not; `sent` is set once it may have acted on the question.
pub fn one(
    at: SocketAddr,
    fleet: &str,
    ask: &Ask,
    within: Duration,
    sent: &mut bool,
) -> Result<Reply, String> {
    let told = |e: std::io::Error| format!("{at}: {e}");
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&at, within).map_err(told)?;
    stream.set_nodelay(true).map_err(told)?;
    let mut out = Vec::new();
    Frame::hello(fleet, Who::Operator).write(&mut out);
    if !(Frame::Ask { number: 1, ask: ask.clone() }.write(&mut out)) {
        return Err("the question is too long".to_string());
    }
    *sent = true;
    stream.write_all(&out).map_err(told)?;
    let (mut frames, mut piece) = (Frames::default(), vec![0; 64 * 1024]);
    loop {
        while let Some(frame) = frames.pop().map_err(|what| format!("{at}: {what}"))? {
            match frame {
                Frame::Hello { .. } => {
                    drop(greeted(&frame, fleet, VERSION).map_err(|what| format!("{at}: {what}"))?)
                }
                Frame::NotTaken(why) => return Err(format!("{at}: {why}")),
                Frame::Reply { number: 1, reply } => return Ok(reply),
                _ => {}
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("{at}: no answer in time"));
        }
        stream.set_read_timeout(Some(left)).map_err(told)?;
        match stream.read(&mut piece).map_err(told)? {
            0 => return Err(format!("{at}: it ended the connection")),
            read => frames.push(&piece[..read]),
        }
    }
}

/// What the fleet answers: the leader is looked for, and a write whose fate is not known is said again, which has its
/// effect once.
///
/// # Errors
/// Why nobody could answer, by daemon.
pub fn fleet(
    daemons: &BTreeMap<u16, SocketAddr>,
    name: &str,
    ask: &Ask,
    within: Duration,
) -> Result<Reply, String> {
    let until = Instant::now() + within;
    let mut turns: Vec<u16> = daemons.keys().copied().collect();
    // A write may have been taken by a daemon that has not said what came of it.
    let mut open = false;
    let mut why = BTreeMap::new();
    loop {
        let mut hint = None;
        for place in turns.clone() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let said: Vec<String> = why.into_values().collect();
                let said = said.join("; ");
                return if open { Ok(Reply::Unknown(said)) } else { Err(format!("nobody answered: {said}")) };
            }
            let mut sent = false;
            match one(daemons[&place], name, ask, left.min(ONE), &mut sent) {
                Ok(Reply::NotLeader(leader)) => {
                    why.insert(place, format!("{}: it does not lead", daemons[&place]));
                    hint = leader.filter(|leader| daemons.contains_key(leader) && *leader != place);
                    if hint.is_some() {
                        break;
                    }
                }
                Ok(Reply::Unknown(what)) => {
                    open = true;
                    why.insert(place, what);
                }
                // Danger: what one daemon finds faulty another may have taken before, with another template.
                Ok(Reply::Faulty(what)) if open => return Ok(Reply::Unknown(what)),
                Ok(reply) => return Ok(reply),
                Err(what) => {
                    open |= sent && matches!(ask, Ask::Write(_) | Ask::Release(_));
                    why.insert(place, what);
                }
            }
        }
        // Who is said to lead comes first; otherwise all in turn, after a pause.
        match hint {
            Some(leader) => turns.sort_by_key(|place| *place != leader),
            None => turns.rotate_left(1),
        }
        std::thread::sleep(PAUSE.min(until.saturating_duration_since(Instant::now())));
    }
}
