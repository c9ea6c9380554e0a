//! The operators' client: sends a request to a fleet's daemons in turn until one can answer.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use appledyke_fleet::messages::{
    Frame, FrameReader, Initiator, MIN_VERSION, OperatorReply, OperatorRequest, VERSION, VersionNegotiation,
    check_hello,
};

/// Timeout of one attempt at one daemon: by then another may have become the leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two rounds over all daemons.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// At which stage a request to one daemon failed.
enum AskError {
    /// The daemon rejected the hello, or closed the connection before it answered it: it may be of an older version.
    Hello(String),
    /// Any other failure.
    Other(String),
}

/// Sends a request to one daemon and returns its reply.
///
/// # Errors
/// Why there is no reply. `sent` is set once the daemon may have acted on the request.
pub fn ask_daemon(
    at: SocketAddr,
    fleet: &str,
    request: &OperatorRequest,
    timeout: Duration,
    sent: &mut bool,
) -> Result<OperatorReply, String> {
    let until = Instant::now() + timeout;
    let mut negotiation = VersionNegotiation::default();
    let hello_error = match ask_with_version(at, fleet, request, negotiation.version(), until, sent) {
        Ok(reply) => return Ok(reply),
        Err(AskError::Other(what)) => return Err(what),
        Err(AskError::Hello(what)) => what,
    };
    negotiation.on_rejected();
    match ask_with_version(at, fleet, request, negotiation.version(), until, sent) {
        Ok(reply) => Ok(reply),
        Err(AskError::Other(what)) => Err(what),
        Err(AskError::Hello(_)) => Err(hello_error),
    }
}

fn ask_with_version(
    at: SocketAddr,
    fleet: &str,
    request: &OperatorRequest,
    version: u16,
    until: Instant,
    sent: &mut bool,
) -> Result<OperatorReply, AskError> {
    let with_address = |e: std::io::Error| format!("{at}: {e}");
    let remaining = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream =
        TcpStream::connect_timeout(&at, remaining()).map_err(with_address).map_err(AskError::Other)?;
    stream.set_nodelay(true).map_err(with_address).map_err(AskError::Other)?;
    let mut hello = Vec::new();
    Frame::hello_as(version, fleet, Initiator::Operator).write(&mut hello);
    stream.write_all(&hello).map_err(with_address).map_err(AskError::Hello)?;
    let (mut frames, mut buffer, mut greeted_by) = (FrameReader::default(), vec![0; 64 * 1024], None);
    // Danger: the request is sent only after the hello is answered. Sent right behind a hello that the daemon rejects for its
    // version, it would count as one that may have been acted on.
    let failed = |greeted: bool, what| if greeted { AskError::Other(what) } else { AskError::Hello(what) };
    loop {
        let greeted = greeted_by.is_some();
        while let Some(frame) = frames.pop().map_err(|what| AskError::Other(format!("{at}: {what}")))? {
            match frame {
                Frame::Hello { .. } if greeted_by.is_none() => {
                    let (_, peer_version) = check_hello(&frame, fleet, version)
                        .map_err(|what| AskError::Other(format!("{at}: {what}")))?;
                    greeted_by = Some(peer_version);
                    if introduced_in(request) > peer_version {
                        // Another daemon may speak the current version.
                        let why =
                            format!("{at} speaks version {peer_version}, which does not support scopes");
                        return Err(AskError::Other(why));
                    }
                    let mut out = Vec::new();
                    if !(Frame::Request { number: 1, ask: request.clone() }.write(&mut out)) {
                        return Err(AskError::Other("the request exceeds the size limit".to_string()));
                    }
                    *sent = true;
                    stream.write_all(&out).map_err(with_address).map_err(AskError::Other)?;
                }
                Frame::Rejected(why) => return Err(failed(greeted, format!("{at}: {why}"))),
                Frame::Reply { number: 1, reply } => return Ok(reply),
                _ => {}
            }
        }
        let greeted = greeted_by.is_some();
        if Instant::now() >= until {
            return Err(AskError::Other(format!("{at}: no answer before the timeout")));
        }
        stream.set_read_timeout(Some(remaining())).map_err(with_address).map_err(AskError::Other)?;
        match stream.read(&mut buffer) {
            Ok(0) => return Err(failed(greeted, format!("{at}: it closed the connection"))),
            Ok(read) => frames.push(&buffer[..read]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => {
                return Err(failed(greeted, with_address(e)));
            }
            Err(e) => return Err(AskError::Other(with_address(e))),
        }
    }
}

/// The protocol version that introduced a request.
fn introduced_in(request: &OperatorRequest) -> u16 {
    match request {
        OperatorRequest::Scopes
        | OperatorRequest::WriteScoped { .. }
        | OperatorRequest::GetScoped { .. }
        | OperatorRequest::ScopeHistory(_)
        | OperatorRequest::MemberSettings(_)
        | OperatorRequest::Localities => VERSION,
        _ => MIN_VERSION,
    }
}

/// Sends a request to the fleet's leader, which it looks for among the daemons. A write whose outcome is unknown is sent again,
/// and takes effect once.
///
/// # Errors
/// Why no daemon could answer, by daemon.
pub fn ask_fleet(
    daemons: &BTreeMap<u16, SocketAddr>,
    name: &str,
    request: &OperatorRequest,
    timeout: Duration,
) -> Result<OperatorReply, String> {
    let until = Instant::now() + timeout;
    let mut daemon_order: Vec<u16> = daemons.keys().copied().collect();
    // Set once a daemon may have accepted a write without reporting its outcome.
    let mut outcome_unknown = false;
    let mut failures = BTreeMap::new();
    loop {
        let mut leader_hint = None;
        for replica_id in daemon_order.clone() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let failures: Vec<String> = failures.into_values().collect();
                let failures = failures.join("; ");
                return if outcome_unknown {
                    Ok(OperatorReply::Unknown(failures))
                } else {
                    Err(format!("no daemon answered: {failures}"))
                };
            }
            let mut sent = false;
            match ask_daemon(daemons[&replica_id], name, request, remaining.min(ATTEMPT_TIMEOUT), &mut sent) {
                Ok(OperatorReply::NotLeader(leader)) => {
                    failures.insert(replica_id, format!("{}: not the leader", daemons[&replica_id]));
                    leader_hint =
                        leader.filter(|leader| daemons.contains_key(leader) && *leader != replica_id);
                    if leader_hint.is_some() {
                        break;
                    }
                }
                Ok(OperatorReply::Unknown(what)) => {
                    outcome_unknown = true;
                    failures.insert(replica_id, what);
                }
                // Danger: an earlier daemon, with another template, may have accepted the write that this one finds invalid.
                Ok(OperatorReply::Invalid(what)) if outcome_unknown => {
                    return Ok(OperatorReply::Unknown(what));
                }
                Ok(reply) => return Ok(reply),
                Err(what) => {
                    outcome_unknown |= sent
                        && matches!(
                            request,
                            OperatorRequest::Write(_)
                                | OperatorRequest::WriteScoped { .. }
                                | OperatorRequest::Release(_)
                        );
                    failures.insert(replica_id, what);
                }
            }
        }
        // A leader that was named is tried first; otherwise all daemons in turn, after a pause.
        match leader_hint {
            Some(leader) => daemon_order.sort_by_key(|replica_id| *replica_id != leader),
            None => daemon_order.rotate_left(1),
        }
        std::thread::sleep(ROUND_PAUSE.min(until.saturating_duration_since(Instant::now())));
    }
}
