//! Long requests that pass through in pieces, to endpoints that read slowly or stop reading. The client's time runs from
//! its own last byte, whatever its endpoint has read by then.

mod stand_ins;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use stand_ins::{Sidecar, configuration, entry, list_of, ok, start_discovery, with_admin_endpoint};

/// How long a client waits for its answer after its last byte.
const WAIT: Duration = Duration::from_millis(2000);
/// Until when after that an answer is late but not lost, by the operators' page.
const GRACE: Duration = Duration::from_millis(500);
/// Within this time a client that stops in the middle of a request gets its error, by the operators' page.
const BAD_CLIENT_TIME: Duration = Duration::from_secs(3);
/// The longest wait of a test for an answer: long after it would be lost.
const PATIENCE: Duration = Duration::from_secs(15);
/// The receive buffer of an endpoint, in bytes, and its largest segment, as on a real network: on the loopback's own of
/// 64 kB a connection buffers megabytes that its endpoint has not read.
const SMALL_BUFFER: usize = 8192;
const SEGMENT: u32 = 1460;

/// How a request's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

impl Framing {
    const ALL: [Framing; 2] = [Framing::Length, Framing::Chunked];
}

/// How an endpoint reads the requests that come to it.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// It stops for good after this many bytes.
    StopsAfter(usize),
    /// It takes this many bytes a second.
    BytesPerSecond(usize),
}

/// An endpoint that reads in this way, and answers what it has read as a whole.
fn endpoint(reading: Reading) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // Accepted connections inherit both from their listener.
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    socket.set_tcp_mss(SEGMENT).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(64).unwrap();
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream, reading));
        }
    });
    at
}

fn serve(mut stream: TcpStream, reading: Reading) {
    const PIECES_PER_SECOND: usize = 50;
    let piece = match reading {
        Reading::StopsAfter(bytes) => bytes,
        Reading::BytesPerSecond(bytes) => bytes / PIECES_PER_SECOND,
    };
    let (mut request, mut buffer) = (Vec::new(), vec![0; piece]);
    let mut pause_at = piece;
    loop {
        let most = pause_at - request.len();
        match stream.read(&mut buffer[..most]) {
            Ok(bytes) if bytes > 0 => request.extend_from_slice(&buffer[..bytes]),
            _ => return,
        }
        let head = request.windows(4).position(|end| end == b"\r\n\r\n");
        if head.is_some_and(|at| is_whole(&request[..at], &request[at + 4..])) {
            let _ = stream.write_all(ok("menu").unwrap().as_bytes());
            return;
        }
        if request.len() == pause_at {
            match reading {
                Reading::StopsAfter(_) => return std::thread::sleep(PATIENCE * 2),
                Reading::BytesPerSecond(_) => {
                    std::thread::sleep(Duration::from_secs(1) / PIECES_PER_SECOND as u32);
                }
            }
            pause_at += piece;
        }
    }
}

fn is_whole(head: &[u8], body: &[u8]) -> bool {
    let head = String::from_utf8_lossy(head);
    match head.lines().find_map(|line| line.strip_prefix("Content-Length: ")) {
        Some(length) => body.len() >= length.parse::<usize>().unwrap(),
        None => body.ends_with(b"\r\n0\r\n\r\n"),
    }
}

fn start(at: SocketAddr) -> Sidecar {
    let known = list_of(1, true, &[entry("e0", at, 0, "up")]);
    Sidecar::start_with(
        &with_admin_endpoint(&configuration(start_discovery().0, 1024, &known)),
        &[("BALANCER_LOG", "debug")],
    )
}

/// A client that sends this many bytes of a body of `length` bytes. It writes on a thread of its own, as its machine may
/// not take all at once.
struct Upload {
    stream: TcpStream,
    writer: std::thread::JoinHandle<Instant>,
}

impl Upload {
    fn start(sidecar: &Sidecar, framing: Framing, length: usize, sent: usize) -> Upload {
        Upload::start_slowly(sidecar, framing, length, sent, Duration::ZERO)
    }

    /// Pauses for this long after each 16 kB.
    fn start_slowly(
        sidecar: &Sidecar,
        framing: Framing,
        length: usize,
        sent: usize,
        pause: Duration,
    ) -> Upload {
        const PIECE: usize = 16_000;
        let stream = TcpStream::connect(sidecar.at).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut writer = stream.try_clone().unwrap();
        let framed = match framing {
            Framing::Length => format!("Content-Length: {length}"),
            Framing::Chunked => "Transfer-Encoding: chunked".to_string(),
        };
        let head = format!(
            "POST /order/1 HTTP/1.1\r\nX-Txn: up{}\r\nX-Remaining-Ms: {}\r\nIdempotency-Key: 5\r\n{framed}\r\n\r\n",
            stream.local_addr().unwrap().port(),
            WAIT.as_millis(),
        );
        let writer = std::thread::spawn(move || {
            let _ = writer.write_all(head.as_bytes());
            let data = vec![b'x'; PIECE];
            let mut left = sent;
            while left > 0 {
                let piece = &data[..left.min(PIECE)];
                left -= piece.len();
                let written = match framing {
                    Framing::Length => writer.write_all(piece),
                    Framing::Chunked => writer
                        .write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()),
                };
                if written.is_err() {
                    break;
                }
                std::thread::sleep(pause);
            }
            if sent == length && framing == Framing::Chunked {
                let _ = writer.write_all(b"0\r\n\r\n");
            }
            Instant::now()
        });
        Upload { stream, writer }
    }

    /// Waits for the answer. Returns its status, if one came, and how long after the last byte it came.
    fn answer(mut self) -> (Option<String>, Duration) {
        let mut start = [0; 12];
        let answered = self.stream.read_exact(&mut start).is_ok();
        let at = Instant::now();
        let written = self.writer.join().unwrap();
        let status = answered.then(|| String::from_utf8_lossy(&start[9..]).into_owned());
        (status, at.saturating_duration_since(written))
    }
}

/// The final answer is owed by the client's deadline, counted from its last byte, whatever its endpoint has read by then.
fn assert_answered_in_time((status, took): (Option<String>, Duration), what: &str) {
    assert!(matches!(status.as_deref(), Some("502" | "503")), "{what}: {status:?} after {took:?}");
    assert!(took < WAIT + GRACE, "{what}: {status:?} after {took:?}");
}

/// Guards against incident 735e58: the client's time stood still for as long as its endpoint read nothing.
#[test]
fn upload_whose_endpoint_stops_reading_is_answered_by_its_deadline() {
    for framing in Framing::ALL {
        for stops_after in [1000, 30_000] {
            let sidecar = start(endpoint(Reading::StopsAfter(stops_after)));
            for length in [168_378, 250_000, 900_000] {
                let upload = Upload::start(&sidecar, framing, length, length);
                assert_answered_in_time(upload.answer(), &format!("{framing:?} {length} {stops_after}"));
            }
        }
    }
}

/// Guards against incident 735e58: the client's time began anew with the last byte that its endpoint took.
#[test]
fn upload_that_is_read_slowly_is_answered_by_its_deadline() {
    for framing in Framing::ALL {
        let sidecar = start(endpoint(Reading::BytesPerSecond(90_000)));
        let uploads = [800_000, 990_000].map(|length| Upload::start(&sidecar, framing, length, length));
        for upload in uploads {
            assert_answered_in_time(upload.answer(), &format!("{framing:?}"));
        }
    }
}

/// Guards against a client that stops halfway being left without an error because its endpoint reads nothing either.
#[test]
fn client_that_stops_halfway_is_told_in_time_though_its_endpoint_reads_nothing() {
    for framing in Framing::ALL {
        let sidecar = start(endpoint(Reading::StopsAfter(1000)));
        let uploads = [100_000, 150_000].map(|sent| Upload::start(&sidecar, framing, 1_000_000, sent));
        for upload in uploads {
            let (status, took) = upload.answer();
            assert!(status.is_some() && took < BAD_CLIENT_TIME, "{framing:?}: {status:?} after {took:?}");
        }
    }
}

/// Guards against a deadline that is counted from before the client's last byte: a client whose endpoint holds it up for
/// longer than it would wait is still writing, and waits for nothing yet.
#[test]
fn upload_that_its_endpoint_holds_up_is_not_cut_off_while_it_is_written() {
    for framing in Framing::ALL {
        let sidecar = start(endpoint(Reading::BytesPerSecond(10_000_000)));
        let upload = Upload::start(&sidecar, framing, 38_000_000, 38_000_000);
        let (status, took) = upload.answer();
        assert_eq!(status.as_deref(), Some("200"), "{framing:?}, after {took:?}");
    }
}

/// Guards against a deadline that is counted from before the client's last byte: a client that is still writing waits for
/// nothing yet, however long its endpoint takes.
#[test]
fn upload_that_is_still_written_is_not_cut_off() {
    for framing in Framing::ALL {
        // It takes longer than the client would wait.
        let sidecar = start(endpoint(Reading::BytesPerSecond(6_000_000)));
        let pause = Duration::from_millis(4);
        let long = Upload::start_slowly(&sidecar, framing, 12_000_000, 12_000_000, pause);
        let quick_endpoint = start(endpoint(Reading::BytesPerSecond(1_000_000)));
        let pause = Duration::from_millis(200);
        let slow = Upload::start_slowly(&quick_endpoint, framing, 200_000, 200_000, pause);
        for (upload, what) in [(long, "long"), (slow, "slow")] {
            let (status, took) = upload.answer();
            assert_eq!(status.as_deref(), Some("200"), "{what}, {framing:?}, after {took:?}");
        }
    }
}
