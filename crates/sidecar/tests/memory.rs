//! Memory while hundreds of clients stall at once: a process that passes its memory limit is killed.

mod stand_ins;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use stand_ins::{
    Client, Endpoint, Sidecar, configuration, entry, list_of, ok, start_discovery_with, wait_until,
    with_admin_endpoint,
};

/// The sidecar's memory limit in megabytes, and the number of clients that stall.
const MEMORY_MB: u64 = 64;
const CLIENTS: usize = 400;
/// How long they stall.
const STALL: Duration = Duration::from_millis(1500);
/// A body that is never buffered as a whole, and the longest that is, in bytes.
const LONG: usize = 300_000;
const BUFFERED: usize = 64 * 1024;

/// How a client stalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stall {
    /// Within a body that is buffered.
    InBufferedBody,
    /// Within a long body.
    InLongBody,
    /// Within a body of very many short chunks.
    InShortChunks,
    /// Within a head of very many short fields.
    InHead,
    /// It reads nothing of a long answer.
    AnswerUnread,
    /// It reads nothing of answers of up to the buffered length, to requests of that length.
    WholeAnswerUnread,
    /// It sends requests behind one another and reads no answer.
    PipelinedUnread,
}

impl Stall {
    fn request(self, number: usize) -> Vec<u8> {
        let order = |framing: &str| {
            format!("POST /order/1 HTTP/1.1\r\nX-Txn: m{number}\r\nIdempotency-Key: 5\r\n{framing}\r\n\r\n")
                .into_bytes()
        };
        let view = format!("GET /view/1 HTTP/1.1\r\nX-Txn: m{number}\r\n");
        match self {
            Stall::InBufferedBody => {
                [order(&format!("Content-Length: {BUFFERED}")), vec![b'x'; BUFFERED - 1]].concat()
            }
            Stall::InLongBody => [order(&format!("Content-Length: {LONG}")), vec![b'x'; LONG / 2]].concat(),
            Stall::InShortChunks => {
                [order("Transfer-Encoding: chunked"), b"1\r\nx\r\n".repeat(12_000)].concat()
            }
            Stall::InHead => [view.into_bytes(), b"a:b\r\n".repeat(60)].concat(),
            Stall::AnswerUnread => [view.as_bytes(), b"\r\n"].concat(),
            Stall::WholeAnswerUnread => {
                [order(&format!("Content-Length: {BUFFERED}")), vec![b'x'; BUFFERED]].concat()
            }
            Stall::PipelinedUnread => b"GET / HTTP/1.1\r\n\r\n".repeat(5000),
        }
    }

    /// An endpoint as this kind of client wants one.
    fn endpoint(self) -> SocketAddr {
        let length = if self == Stall::AnswerUnread { 20_000_000 } else { BUFFERED };
        match self {
            Stall::AnswerUnread | Stall::WholeAnswerUnread => answering(length),
            _ => Endpoint::start(|_| ok("menu")).at,
        }
    }
}

/// An endpoint that answers every request with so many bytes.
fn answering(length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut buffer, mut read) = ([0; 65536], 0);
                loop {
                    let bytes = stream.read(&mut buffer).unwrap_or(0);
                    read += bytes;
                    // A request has a body of the buffered length or none.
                    let whole = buffer.starts_with(b"GET") || read > BUFFERED;
                    if bytes == 0 || whole {
                        break;
                    }
                }
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
                );
                let _ = stream.write_all(&vec![b'x'; length]);
            });
        }
    });
    at
}

/// Asserts that memory stays within its limit while such clients stall, and that another client is served afterwards.
fn assert_memory_bounded(stall: Stall) {
    let known = list_of(1, true, &[entry("e0", stall.endpoint(), 0, "up")]);
    let text = configuration(start_discovery_with(&known), 4096, &known);
    let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let sidecar = Sidecar::start(&with_admin_endpoint(&text));
    wait_until("it is ready", || sidecar.admin_command("ready\n").starts_with("200 "));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let stream = TcpStream::connect(sidecar.at).unwrap();
        if matches!(stall, Stall::AnswerUnread | Stall::WholeAnswerUnread | Stall::PipelinedUnread) {
            socket2::SockRef::from(&stream).set_recv_buffer_size(2048).unwrap();
        }
        stream.set_nonblocking(true).unwrap();
        clients.push((stream, stall.request(number)));
    }
    let begun = std::time::Instant::now();
    while begun.elapsed() < STALL {
        for (stream, unsent) in &mut clients {
            if let Ok(bytes) = stream.write(unsent) {
                unsent.drain(..bytes);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    println!("{stall:?}: {} bytes", sidecar.memory());
    assert!(sidecar.memory() < MEMORY_MB * 1_000_000, "{stall:?}: {} bytes", sidecar.memory());
    drop(clients);
    let mut client = Client::connect(&sidecar);
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(client.status(), "200");
}

/// Guards against picture (c) of incident 735e58: a process that was killed for its memory.
#[test]
fn clients_that_stall_within_a_buffered_body_take_bounded_memory() {
    assert_memory_bounded(Stall::InBufferedBody);
}

#[test]
fn clients_that_stall_within_a_long_body_take_bounded_memory() {
    assert_memory_bounded(Stall::InLongBody);
}

#[test]
fn clients_that_stall_within_short_chunks_take_bounded_memory() {
    assert_memory_bounded(Stall::InShortChunks);
}

#[test]
fn clients_that_stall_within_a_head_take_bounded_memory() {
    assert_memory_bounded(Stall::InHead);
}

#[test]
fn clients_that_read_no_long_answer_take_bounded_memory() {
    assert_memory_bounded(Stall::AnswerUnread);
}

#[test]
fn clients_that_read_no_whole_answer_take_bounded_memory() {
    assert_memory_bounded(Stall::WholeAnswerUnread);
}

#[test]
fn clients_that_read_no_pipelined_answers_take_bounded_memory() {
    assert_memory_bounded(Stall::PipelinedUnread);
}
