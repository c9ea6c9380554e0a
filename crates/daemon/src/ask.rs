//! How operators ask a fleet's daemons: one after the other, until one can answer.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use appledyke_fleet::messages::{
    Frame, FrameReader, Initiator, MIN_VERSION, OperatorReply, OperatorRequest, VERSION, VersionNegotiation,
    check_hello,
};

/// Longest that one daemon is waited for: another may lead by then.
const ONE: Duration = Duration::from_secs(3);
/// Between two rounds over all daemons.
const PAUSE: Duration = Duration::from_millis(100);

/// Where a question to one daemon failed.
enum Failed {
    /// The greeting was not taken, or the connection ended before it was answered: it may be of an older version.
    Greeting(String),
    Later(String),
}

/// What one daemon answers.
///
/// # Errors
/// Why it did not; `sent` is set once it may have acted on the question.
pub fn one(
    at: SocketAddr,
    fleet: &str,
    ask: &OperatorRequest,
    within: Duration,
    sent: &mut bool,
) -> Result<OperatorReply, String> {
    let until = Instant::now() + within;
    let mut greeting = VersionNegotiation::default();
    let first = match once(at, fleet, ask, greeting.version(), until, sent) {
        Ok(reply) => return Ok(reply),
        Err(Failed::Later(what)) => return Err(what),
        Err(Failed::Greeting(what)) => what,
    };
    greeting.on_rejected();
    match once(at, fleet, ask, greeting.version(), until, sent) {
        Ok(reply) => Ok(reply),
        Err(Failed::Later(what)) => Err(what),
        Err(Failed::Greeting(_)) => Err(first),
    }
}

fn once(
    at: SocketAddr,
    fleet: &str,
    ask: &OperatorRequest,
    version: u16,
    until: Instant,
    sent: &mut bool,
) -> Result<OperatorReply, Failed> {
    let told = |e: std::io::Error| format!("{at}: {e}");
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&at, left()).map_err(told).map_err(Failed::Later)?;
    stream.set_nodelay(true).map_err(told).map_err(Failed::Later)?;
    let mut hello = Vec::new();
    Frame::hello_as(version, fleet, Initiator::Operator).write(&mut hello);
    stream.write_all(&hello).map_err(told).map_err(Failed::Greeting)?;
    let (mut frames, mut piece, mut greeted_by) = (FrameReader::default(), vec![0; 64 * 1024], None);
    // Danger: a question that stands behind a greeting of another version may be taken for one that was acted on.
    let failed = |greeted: bool, what| if greeted { Failed::Later(what) } else { Failed::Greeting(what) };
    loop {
        let up = greeted_by.is_some();
        while let Some(frame) = frames.pop().map_err(|what| Failed::Later(format!("{at}: {what}")))? {
            match frame {
                Frame::Hello { .. } if greeted_by.is_none() => {
                    let (_, speaks) = check_hello(&frame, fleet, version)
                        .map_err(|what| Failed::Later(format!("{at}: {what}")))?;
                    greeted_by = Some(speaks);
                    if since(ask) > speaks {
                        // Another may know them.
                        let why = format!("{at} speaks version {speaks}, which knows nothing of scopes");
                        return Err(Failed::Later(why));
                    }
                    let mut out = Vec::new();
                    if !(Frame::Request { number: 1, ask: ask.clone() }.write(&mut out)) {
                        return Err(Failed::Later("the question is too long".to_string()));
                    }
                    *sent = true;
                    stream.write_all(&out).map_err(told).map_err(Failed::Later)?;
                }
                Frame::Rejected(why) => return Err(failed(up, format!("{at}: {why}"))),
                Frame::Reply { number: 1, reply } => return Ok(reply),
                _ => {}
            }
        }
        let up = greeted_by.is_some();
        if Instant::now() >= until {
            return Err(Failed::Later(format!("{at}: no answer in time")));
        }
        stream.set_read_timeout(Some(left())).map_err(told).map_err(Failed::Later)?;
        match stream.read(&mut piece) {
            Ok(0) => return Err(failed(up, format!("{at}: it ended the connection"))),
            Ok(read) => frames.push(&piece[..read]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return Err(failed(up, told(e))),
            Err(e) => return Err(Failed::Later(told(e))),
        }
    }
}

/// The version that first knew a question.
fn since(ask: &OperatorRequest) -> u16 {
    match ask {
        OperatorRequest::Scopes
        | OperatorRequest::WriteScoped { .. }
        | OperatorRequest::GetScoped { .. }
        | OperatorRequest::ScopeHistory(_)
        | OperatorRequest::MemberSettings(_)
        | OperatorRequest::Localities => VERSION,
        _ => MIN_VERSION,
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
    ask: &OperatorRequest,
    within: Duration,
) -> Result<OperatorReply, String> {
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
                return if open {
                    Ok(OperatorReply::Unknown(said))
                } else {
                    Err(format!("nobody answered: {said}"))
                };
            }
            let mut sent = false;
            match one(daemons[&place], name, ask, left.min(ONE), &mut sent) {
                Ok(OperatorReply::NotLeader(leader)) => {
                    why.insert(place, format!("{}: it does not lead", daemons[&place]));
                    hint = leader.filter(|leader| daemons.contains_key(leader) && *leader != place);
                    if hint.is_some() {
                        break;
                    }
                }
                Ok(OperatorReply::Unknown(what)) => {
                    open = true;
                    why.insert(place, what);
                }
                // Danger: what one daemon finds faulty another may have taken before, with another template.
                Ok(OperatorReply::Invalid(what)) if open => return Ok(OperatorReply::Unknown(what)),
                Ok(reply) => return Ok(reply),
                Err(what) => {
                    open |= sent
                        && matches!(
                            ask,
                            OperatorRequest::Write(_)
                                | OperatorRequest::WriteScoped { .. }
                                | OperatorRequest::Release(_)
                        );
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
