//! The edges of a connection: resets and ends behind bytes, bytes behind a close, floods, connects that come up late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::time::{Duration, Instant};

use crate::stand_ins::{
    Client, Endpoint, Sidecar, configuration, connections, entry, list, list_of, message, ok, until,
};

const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Ends: with the connection\r\n\r\n";

/// An endpoint whose connections go to the test, each with the request that it has brought.
fn endpoint() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (tell, requests) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let request = message(&mut std::io::BufReader::new(&stream));
            if tell.send((request, stream)).is_err() {
                return;
            }
        }
    });
    (at, requests)
}

fn next(requests: &Receiver<(String, TcpStream)>) -> (String, TcpStream) {
    requests.recv_timeout(Duration::from_secs(10)).expect("a request reaches the endpoint")
}

/// Ends a connection of the sidecar with a reset, behind some last bytes, while that stands still.
fn reset_behind(sidecar: &Sidecar, mut stream: TcpStream, bytes: &str) {
    let (port, to) = (stream.peer_addr().unwrap().port(), stream.local_addr().unwrap().port());
    sidecar.in_one_turn(|| {
        stream.write_all(bytes.as_bytes()).unwrap();
        until("it has come", || unacknowledged(to, port) == 0);
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        until("it is reset", || connections(Some(port), to, "01") == 0);
    });
}

/// Bytes that this end of a connection has sent and the other has not taken in.
fn unacknowledged(from: u16, to: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>()).find(|words| {
        words[1].ends_with(&format!(":{from:04X}")) && words[2].ends_with(&format!(":{to:04X}"))
    });
    line.map_or(0, |words| usize::from_str_radix(words[4].split(':').next().unwrap(), 16).unwrap())
}

/// What the client gets up to the end of its connection, and whether that was an end and no reset.
fn all_of(client: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let ended = client.read_to_end(&mut bytes).is_ok();
    (String::from_utf8(bytes).unwrap(), ended)
}

fn connect(sidecar: &Sidecar) -> TcpStream {
    let stream = TcpStream::connect(sidecar.at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

/// Danger: the machine tells a reset once and an end from then on; taken for the end of an answer with no length, that
/// is served cut short.
#[test]
fn an_answer_of_no_length_that_is_reset_while_it_passes_is_not_whole() {
    for version in ["1.1", "1.0"] {
        let (at, requests) = endpoint();
        let sidecar = Sidecar::before(&[at]);
        let mut client = connect(&sidecar);
        write!(client, "GET /view/1 HTTP/{version}\r\nX-Txn: 7a01\r\n\r\n").unwrap();
        let (_, mut stream) = next(&requests);
        // More than is held: it passes.
        write!(stream, "{NO_LENGTH}{}", "x".repeat(100_000)).unwrap();
        client.read_exact(&mut [0; 90_000]).unwrap();
        reset_behind(&sidecar, stream, "yyyy");
        let (rest, ended) = all_of(&mut client);
        let seems_whole = ended && (version == "1.0" || rest.ends_with("0\r\n\r\n"));
        assert!(!seems_whole, "{version}: {} bytes", rest.len());
    }
}

/// Danger: a client that can't read chunks takes the end of its connection for the end of its answer.
#[test]
fn an_answer_that_only_an_end_ends_is_reset_where_it_breaks_off() {
    // The endpoint breaks off a chunked answer; the client stops reading; the process is ended.
    for how in ["endpoint", "process"] {
        let (at, requests) = endpoint();
        let sidecar = Sidecar::before(&[at]);
        let mut client = connect(&sidecar);
        write!(client, "GET /view/1 HTTP/1.0\r\nX-Txn: 7a01\r\n\r\n").unwrap();
        let (_, mut stream) = next(&requests);
        let chunk = "x".repeat(100_000);
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n{chunk}").unwrap();
        client.read_exact(&mut [0; 100_000]).unwrap();
        match how {
            "endpoint" => drop(stream),
            _ => sidecar.signal("-KILL"),
        }
        assert!(!all_of(&mut client).1, "{how}: it ends as a whole answer does");
    }
}

/// Danger: begun, an answer can't be given by another endpoint; and a short one was taken for whole.
#[test]
fn an_answer_of_no_length_that_is_reset_is_given_by_another_endpoint() {
    for late in [false, true] {
        let (bad, requests) = endpoint();
        let good = Endpoint::start(|_| ok("menu"));
        let entries = [entry("e0", bad, 0, "up"), entry("e1", good.at, 1, "up")];
        let text = configuration(list().0, 1024, &list_of(1, true, &entries));
        // With time enough for each attempt.
        let text = text.replace("\"latencyBudgetNs\":2000000000", "\"latencyBudgetNs\":20000000000");
        let sidecar =
            Sidecar::start(&text.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":30000000000"));
        // Until one comes to the first.
        let (mut client, mut stream) = loop {
            let mut client = Client::connect(&sidecar);
            client.send(format!("GET /view/1 HTTP/1.1\r\nX-Txn: {}\r\n\r\n", client.port()));
            let taken = std::iter::repeat_with(|| (requests.try_recv(), good.reqs.try_recv()));
            let mut taken = taken.filter(|(bad, good)| bad.is_ok() || good.is_ok());
            if let Some((Ok((_, stream)), _)) = taken.next() {
                break (client, stream);
            }
            assert_eq!(client.status(), "200");
        };
        if late {
            // Held for as long as it is held for its end, whatever it brings then passes.
            write!(stream, "{NO_LENGTH}me").unwrap();
            std::thread::sleep(Duration::from_millis(700));
            reset_behind(&sidecar, stream, "n");
        } else {
            reset_behind(&sidecar, stream, &format!("{NO_LENGTH}me"));
        }
        let answer = client.answer();
        assert!(answer.ends_with("menu"), "late {late}: {answer}");
    }
}

/// Danger: one that asks again at once, and is answered at once, had the turn for itself for as long as it went on.
#[test]
fn a_flood_on_one_connection_keeps_no_other_client_waiting() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let sidecar = Sidecar::before(&[endpoint.at]);
    let mut flood = connect(&sidecar);
    let mut answers = flood.try_clone().unwrap();
    let (over, go_on) = channel::<()>();
    let write = std::thread::spawn(move || {
        let mut number = 0;
        while go_on.try_recv() == Err(TryRecvError::Empty) {
            // With no time left, each is answered at once.
            let request = |id| format!("GET /view/1 HTTP/1.1\r\nX-Txn: f{id}\r\nX-Remaining-Ms: 0\r\n\r\n");
            let requests: String = (number..number + 100).map(request).collect();
            number += 100;
            if flood.write_all(requests.as_bytes()).is_err() {
                break;
            }
        }
        let _ = flood.shutdown(std::net::Shutdown::Both);
    });
    let read = std::thread::spawn(move || {
        let (mut bytes, mut buffer) = (0, vec![0; 1 << 20]);
        while let Ok(n @ 1..) = answers.read(&mut buffer) {
            bytes += n;
        }
        bytes
    });
    std::thread::sleep(Duration::from_millis(300));
    let mut took = Duration::ZERO;
    for _ in 0..5 {
        let mut other = Client::connect(&sidecar);
        let begun = Instant::now();
        other.view();
        assert_eq!(other.status(), "200");
        took = took.max(begun.elapsed());
    }
    assert!(!write.is_finished(), "it goes on meanwhile");
    drop(over);
    write.join().unwrap();
    assert!(read.join().unwrap() > 0);
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert!(sidecar.memory() < 64 << 20, "{} bytes", sidecar.memory());
}
