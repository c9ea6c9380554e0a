//! Fake endpoints that record each attempt.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Message, NoMessage, Reader, header};
use super::plan::Behaviour;
use super::record::{Attempt, AttemptOutcome, Effect, Recorder};

/// How long an endpoint takes to process a request.
const WORK: Duration = Duration::from_millis(12);

/// The receive buffer and the largest segment of an endpoint, in bytes, and its listener's backlog.
const RECEIVE_BUFFER: usize = 16_384;
const SEGMENT: u32 = 1460;
const BACKLOG: i32 = 1024;

/// A fake endpoint at an address of its own.
pub struct Endpoint {
    pub at: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Endpoint {
    /// Starts a healthy endpoint.
    ///
    /// # Errors
    /// Fails if it can't listen on a loopback address.
    pub fn start(number: usize, recorder: &Recorder) -> std::io::Result<Endpoint> {
        let listener = listen()?;
        let at = listener.local_addr()?;
        let behaviour = Arc::new(Mutex::new(Behaviour::Healthy));
        let (shared, recorder) = (behaviour.clone(), recorder.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, recorder) = (shared.clone(), recorder.clone());
                thread::spawn(move || serve(number, stream, &shared, &recorder));
            }
        });
        Ok(Endpoint { at, behaviour })
    }

    /// Sets how the endpoint handles requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no endpoint panics with its behaviour locked") = behaviour;
    }
}

/// Listens with small buffers and segments, as on a network: an endpoint that stops reading is noticed soon.
fn listen() -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_tcp_mss(SEGMENT)?;
    socket.bind(&SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from(socket))
}

fn serve(number: usize, stream: TcpStream, behaviour: &Mutex<Behaviour>, recorder: &Recorder) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    loop {
        if stops_reading(&mut reader, behaviour) {
            return;
        }
        let Ok(message) = reader.message() else { return };
        let index = record_attempt(number, &message, recorder);
        let current = *behaviour.lock().expect("no endpoint panics with its behaviour locked");
        thread::sleep(WORK);
        let (outcome, stays_open) = answer(&mut reader, &message, current);
        let mut record = recorder.lock();
        record.attempts[index].outcome = outcome;
        record.attempts[index].outstanding_until = recorder.now();
        if !stays_open {
            return;
        }
    }
}

/// Whether the endpoint has stopped reading on this connection, which it then closes once it behaves otherwise. Nothing that
/// comes on it counts as an attempt.
fn stops_reading(reader: &mut Reader, behaviour: &Mutex<Behaviour>) -> bool {
    let stops = || {
        *behaviour.lock().expect("no endpoint panics with its behaviour locked") == Behaviour::StopsReading
    };
    if !stops() {
        return false;
    }
    let _ = std::io::Read::read(&mut reader.stream, &mut [0; 4096]);
    while stops() {
        thread::sleep(WORK);
    }
    true
}

/// Records an attempt that was read completely. It counts as outstanding until its outcome is set. Returns its index in
/// the record.
fn record_attempt(number: usize, message: &Message, recorder: &Recorder) -> usize {
    let now = recorder.now();
    let ago = |at: Instant| now.saturating_sub(at.elapsed());
    let effect =
        Effect::ALL.into_iter().find(|effect| message.head.contains(&format!("/{}/", effect.class())));
    let remaining = header(&message.head, "x-remaining-ms").and_then(|value| value.parse().ok());
    let mut record = recorder.lock();
    record.attempts.push(Attempt {
        id: header(&message.head, "x-txn").unwrap_or_default().to_string(),
        endpoint: number,
        effect: effect.unwrap_or(Effect::Safe),
        first_byte_at: ago(message.first_byte_at),
        last_byte_at: ago(message.last_byte_at),
        remaining: remaining.map(Duration::from_millis),
        outcome: AttemptOutcome::MayHaveRun,
        outstanding_until: Duration::MAX,
    });
    record.attempts.len() - 1
}

/// Answers according to the endpoint's behaviour. Returns the attempt's outcome, and whether the connection stays open.
fn answer(reader: &mut Reader, message: &Message, behaviour: Behaviour) -> (AttemptOutcome, bool) {
    let id = header(&message.head, "x-txn").unwrap_or_default();
    let response = |status: &str, extra_headers: &str, body: &str| {
        format!("HTTP/1.1 {status}\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    match behaviour {
        Behaviour::Healthy | Behaviour::Closes => {
            let extra_headers = if behaviour == Behaviour::Closes { "Connection: close\r\n" } else { "" };
            let written = reader.stream.write_all(response("200 OK", extra_headers, id).as_bytes()).is_ok();
            (AttemptOutcome::Ran, written && behaviour == Behaviour::Healthy)
        }
        Behaviour::Fails => {
            let written = reader.stream.write_all(response("500 Internal Server Error", "", "").as_bytes());
            (AttemptOutcome::MayHaveRun, written.is_ok())
        }
        Behaviour::Rejects => {
            let rejection = response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
            (AttemptOutcome::Rejected, reader.stream.write_all(rejection.as_bytes()).is_ok())
        }
        Behaviour::Hangs | Behaviour::StopsReading => {
            // Waits until the sidecar abandons the attempt.
            while reader.message() == Err(NoMessage::TimedOut) {}
            (AttemptOutcome::MayHaveRun, false)
        }
        Behaviour::Resets => {
            let _ = socket2::SockRef::from(&reader.stream).set_linger(Some(Duration::ZERO));
            (AttemptOutcome::MayHaveRun, false)
        }
        Behaviour::BreaksOff => {
            let _ = reader.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            (AttemptOutcome::MayHaveRun, false)
        }
    }
}
