//! Fake endpoints that record each attempt.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Message, NoMessage, Reader, header};
use super::plan::Behaviour;
use super::record::{Attempt, AttemptOutcome, Effect, Recorder};

/// How long an endpoint works on a request.
const WORK: Duration = Duration::from_millis(12);

/// An endpoint at an address of its own.
pub struct Endpoint {
    pub at: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Endpoint {
    /// Starts one that behaves well.
    ///
    /// # Errors
    /// What the system says if there is no address to listen at.
    pub fn start(number: usize, recorder: &Recorder) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let behaviour = Arc::new(Mutex::new(Behaviour::Well));
        let (own, recorder) = (behaviour.clone(), recorder.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, recorder) = (own.clone(), recorder.clone());
                thread::spawn(move || serve(number, stream, &own, &recorder));
            }
        });
        Ok(Endpoint { at, behaviour })
    }

    /// It behaves so from now on.
    pub fn behaves(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no endpoint panics with its behaviour") = behaviour;
    }
}

fn serve(number: usize, stream: TcpStream, behaviour: &Mutex<Behaviour>, recorder: &Recorder) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(message) = reader.message() {
        let at = note(number, &message, recorder);
        let behaves = *behaviour.lock().expect("no endpoint panics with its behaviour");
        thread::sleep(WORK);
        let (outcome, goes_on) = answer(&mut reader, &message, behaves);
        let mut record = recorder.lock();
        record.attempts[at].outcome = outcome;
        record.attempts[at].outstanding_until = recorder.now();
        if !goes_on {
            return;
        }
    }
}

/// Records an attempt that has come whole; as it is out from now on, until it is known better.
fn note(number: usize, message: &Message, recorder: &Recorder) -> usize {
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
        first_byte_at: ago(message.begun),
        last_byte_at: ago(message.whole),
        remaining: remaining.map(Duration::from_millis),
        outcome: AttemptOutcome::MayHaveRun,
        outstanding_until: Duration::MAX,
    });
    record.attempts.len() - 1
}

/// Answers as the endpoint behaves. Returns what became of the attempt, and whether the connection goes on.
fn answer(reader: &mut Reader, message: &Message, behaves: Behaviour) -> (AttemptOutcome, bool) {
    let id = header(&message.head, "x-txn").unwrap_or_default();
    let text = |status: &str, more: &str, body: &str| {
        format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    match behaves {
        Behaviour::Well | Behaviour::Closes => {
            let more = if behaves == Behaviour::Closes { "Connection: close\r\n" } else { "" };
            let written = reader.stream.write_all(text("200 OK", more, id).as_bytes()).is_ok();
            (AttemptOutcome::Ran, written && behaves == Behaviour::Well)
        }
        Behaviour::Fails => {
            let written = reader.stream.write_all(text("500 Internal Server Error", "", "").as_bytes());
            (AttemptOutcome::MayHaveRun, written.is_ok())
        }
        Behaviour::TurnsAway => {
            let refusal = text("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
            (AttemptOutcome::Rejected, reader.stream.write_all(refusal.as_bytes()).is_ok())
        }
        Behaviour::Hangs => {
            // Until the sidecar gives the attempt up.
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
