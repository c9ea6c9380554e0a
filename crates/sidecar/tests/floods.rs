//! Clients that send at full speed on one connection each, and what that may cost all others: nothing.

mod stand_ins;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use stand_ins::{
    Client, Endpoint, Sidecar, configuration, entry, list_of, ok, start_discovery_with, wait_until,
    with_admin_endpoint,
};

/// The number of clients that send at full speed, and for how long they do.
const FLOODING_CLIENTS: usize = 6;
const FLOOD: Duration = Duration::from_secs(4);
/// How long the other clients wait for an answer, the grace of the operators' page included.
const WAIT: Duration = Duration::from_millis(2500);
/// How long an operator waits for an answer, by the operators' page.
const OPERATOR_WAIT: Duration = Duration::from_secs(1);
/// The memory limit of the sidecar, in megabytes.
const MEMORY_MB: u64 = 64;

/// What a client sends at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    /// Requests without an id.
    NoId,
    /// Health checks.
    Health,
    /// Requests for ever new classes.
    NewNames,
    /// Sound requests, each with a new id.
    Sound,
    /// Bytes that are no request.
    Garbage,
    /// The shortest requests, whose answers nobody reads.
    Unread,
}

impl Flood {
    /// Some requests of this kind; `round` is different each time.
    fn requests(self, round: u64) -> Vec<u8> {
        const AT_ONCE: u64 = 200;
        let one = |number: u64| match self {
            Flood::NoId => "GET /view/1 HTTP/1.1\r\nHost: h\r\n\r\n".to_string(),
            Flood::Health => "GET /healthz HTTP/1.1\r\n\r\n".to_string(),
            Flood::NewNames => {
                format!("GET /n{number} HTTP/1.1\r\nX-Txn: n{number}\r\nX-Lane: n{number}\r\n\r\n")
            }
            Flood::Sound => {
                format!("GET /view/1 HTTP/1.1\r\nX-Txn: s{number}\r\nX-Remaining-Ms: 2000\r\n\r\n")
            }
            Flood::Garbage => "\0\x01 nonsense\r\n".to_string(),
            Flood::Unread => "G / HTTP/1.1\r\n\r\n".to_string(),
        };
        (0..AT_ONCE).map(|at| one(round * AT_ONCE + at)).collect::<String>().into_bytes()
    }

    /// Sends for as long as the flood lasts, and reads what comes back. Connects again where the sidecar has closed the
    /// connection.
    fn run(self, sidecar: SocketAddr, client: u64) {
        let ends = Instant::now() + FLOOD;
        let mut rounds = (client << 32)..;
        while Instant::now() < ends {
            let Ok(mut stream) = TcpStream::connect(sidecar) else { continue };
            stream.set_nonblocking(true).unwrap();
            let mut unsent = Vec::new();
            let mut answers = vec![0; 1 << 16];
            while Instant::now() < ends {
                if unsent.is_empty() {
                    unsent = self.requests(rounds.next().unwrap());
                }
                let written = stream.write(&unsent);
                let read = if self == Flood::Unread { Ok(1) } else { stream.read(&mut answers) };
                let blocked = |e: &std::io::Error| e.kind() == ErrorKind::WouldBlock;
                match (written, read) {
                    (Ok(bytes), Ok(1..)) => drop(unsent.drain(..bytes)),
                    (Ok(bytes), Err(e)) if blocked(&e) => drop(unsent.drain(..bytes)),
                    (Err(e), Ok(1..)) if blocked(&e) => {}
                    (Err(write), Err(read)) if blocked(&write) && blocked(&read) => {
                        std::thread::sleep(Duration::from_micros(50));
                    }
                    _ => break,
                }
            }
        }
    }
}

/// The longest time that a client beside the flood waited for an answer, and an operator; and the answers but 200.
#[derive(Default)]
struct Beside {
    client: Duration,
    operator: Duration,
    unserved: Vec<String>,
}

fn beside(sidecar: &Sidecar, flood: Flood) -> Beside {
    let at = sidecar.at;
    let floods: Vec<_> = (0..FLOODING_CLIENTS as u64)
        .map(|client| std::thread::spawn(move || flood.run(at, client)))
        .collect();
    let mut found = Beside::default();
    let mut kept = Client::connect(sidecar);
    while floods.iter().any(|client| !client.is_finished()) {
        for new_connection in [false, true] {
            let asked = Instant::now();
            let mut client = new_connection.then(|| Client::connect(sidecar));
            let client = client.as_mut().unwrap_or(&mut kept);
            client.view();
            let status = client.status();
            found.client = found.client.max(asked.elapsed());
            if status != "200" {
                found.unserved.push(status);
                kept = Client::connect(sidecar);
            }
        }
        let asked = Instant::now();
        assert!(sidecar.admin_command("ready\n").starts_with("200 "), "{flood:?}");
        found.operator = found.operator.max(asked.elapsed());
        std::thread::sleep(Duration::from_millis(10));
    }
    found
}

fn start() -> (Sidecar, Endpoint) {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let known = list_of(1, true, &[entry("e0", endpoint.at, 0, "up")]);
    let text = configuration(start_discovery_with(&known), 1024, &known);
    let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let sidecar = Sidecar::start(&with_admin_endpoint(&text));
    wait_until("it is ready", || sidecar.admin_command("ready\n").starts_with("200 "));
    (sidecar, endpoint)
}

/// Asserts that nobody beside the flood waits too long, and that memory stays within the limit.
fn assert_harmless(flood: Flood) {
    let (sidecar, _endpoint) = start();
    let Beside { client, operator, unserved } = beside(&sidecar, flood);
    let turn = sidecar.metric("sidecar_longest_turn_milliseconds");
    println!("{flood:?}: {client:?}, operator {operator:?}, turn {turn} ms, {} bytes", sidecar.memory());
    assert!(client < WAIT, "{flood:?}: a client waited for {client:?}, a turn took {turn} ms");
    assert!(
        operator < OPERATOR_WAIT,
        "{flood:?}: an operator waited for {operator:?}, a turn took {turn} ms"
    );
    assert!(unserved.is_empty(), "{flood:?}: {unserved:?}");
    let memory = sidecar.memory();
    assert!(memory < MEMORY_MB * 1_000_000, "{flood:?}: {memory} bytes");
}

/// Guards against incident 735e58: one turn answered all that such clients had sent, and others waited for seconds.
#[test]
fn requests_without_an_id_at_full_speed_delay_nobody() {
    assert_harmless(Flood::NoId);
}

/// Guards against incident 735e58, as above.
#[test]
fn health_checks_at_full_speed_delay_nobody() {
    assert_harmless(Flood::Health);
}

#[test]
fn requests_for_ever_new_classes_delay_nobody_and_take_no_memory() {
    assert_harmless(Flood::NewNames);
}

#[test]
fn sound_requests_at_full_speed_delay_nobody() {
    assert_harmless(Flood::Sound);
}

#[test]
fn garbage_at_full_speed_delays_nobody() {
    assert_harmless(Flood::Garbage);
}

#[test]
fn requests_whose_answers_nobody_reads_delay_nobody_and_take_no_memory() {
    assert_harmless(Flood::Unread);
}
