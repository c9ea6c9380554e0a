//! Edge cases of connections: resets and closes behind data, data behind a close, floods, late connects.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::time::{Duration, Instant};

use crate::stand_ins::{
    Client, Endpoint, Sidecar, configuration, connections, entry, list_of, ok, read_message, start_discovery,
    wait_until,
};

const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Ends: with the connection\r\n\r\n";

/// An endpoint that passes each connection to the test, with the request read from it.
fn endpoint() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (tell, requests) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let request = read_message(&mut std::io::BufReader::new(&stream));
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

/// Resets a connection of the sidecar behind some last bytes, while the process is stopped.
fn reset_after(sidecar: &Sidecar, mut stream: TcpStream, bytes: &str) {
    let (port, to) = (stream.peer_addr().unwrap().port(), stream.local_addr().unwrap().port());
    sidecar.in_one_turn(|| {
        stream.write_all(bytes.as_bytes()).unwrap();
        wait_until("it has come", || unacknowledged(to, port) == 0);
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        wait_until("it is reset", || connections(Some(port), to, "01") == 0);
    });
}

/// Bytes that this end of a connection has sent and the other has not acknowledged.
fn unacknowledged(from: u16, to: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>()).find(|words| {
        words[1].ends_with(&format!(":{from:04X}")) && words[2].ends_with(&format!(":{to:04X}"))
    });
    line.map_or(0, |words| usize::from_str_radix(words[4].split(':').next().unwrap(), 16).unwrap())
}

/// Reads up to the end of the client's connection; also whether it ended without a reset.
fn read_to_end(client: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let ended = client.read_to_end(&mut bytes).is_ok();
    (String::from_utf8(bytes).unwrap(), ended)
}

fn connect(sidecar: &Sidecar) -> TcpStream {
    let stream = TcpStream::connect(sidecar.at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

/// Danger: the kernel reports a reset once and an end of stream from then on. If that is taken for the end of a
/// response without a length, the response is served truncated.
#[test]
fn an_answer_of_no_length_that_is_reset_while_it_passes_is_not_whole() {
    for version in ["1.1", "1.0"] {
        let (at, requests) = endpoint();
        let sidecar = Sidecar::start_with_endpoints(&[at]);
        let mut client = connect(&sidecar);
        write!(client, "GET /view/1 HTTP/{version}\r\nX-Txn: 7a01\r\n\r\n").unwrap();
        let (_, mut stream) = next(&requests);
        // More than is buffered, so it is streamed.
        write!(stream, "{NO_LENGTH}{}", "x".repeat(100_000)).unwrap();
        client.read_exact(&mut [0; 90_000]).unwrap();
        reset_after(&sidecar, stream, "yyyy");
        let (rest, ended) = read_to_end(&mut client);
        let seems_whole = ended && (version == "1.0" || rest.ends_with("0\r\n\r\n"));
        assert!(!seems_whole, "{version}: {} bytes", rest.len());
    }
}

/// Danger: a client that cannot read chunks takes the end of its connection for the end of its response.
#[test]
fn an_answer_that_only_an_end_ends_is_reset_where_it_breaks_off() {
    // The endpoint aborts a chunked response; the client stops reading; the process is terminated.
    for how in ["endpoint", "process"] {
        let (at, requests) = endpoint();
        let sidecar = Sidecar::start_with_endpoints(&[at]);
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
        assert!(!read_to_end(&mut client).1, "{how}: it ends as a whole answer does");
    }
}

/// Danger: a response that has begun cannot be replaced by another endpoint's, and a truncated one was taken for
/// complete.
#[test]
fn an_answer_of_no_length_that_is_reset_is_given_by_another_endpoint() {
    for late in [false, true] {
        let (bad, requests) = endpoint();
        let good = Endpoint::start(|_| ok("menu"));
        let entries = [entry("e0", bad, 0, "up"), entry("e1", good.at, 1, "up")];
        let text = configuration(start_discovery().0, 1024, &list_of(1, true, &entries));
        // With time enough for each attempt.
        let text = text.replace("\"latencyBudgetNs\":2000000000", "\"latencyBudgetNs\":20000000000");
        let sidecar =
            Sidecar::start(&text.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":30000000000"));
        // Until one reaches the first endpoint.
        let (mut client, mut stream) = loop {
            let mut client = Client::connect(&sidecar);
            client.send(format!("GET /view/1 HTTP/1.1\r\nX-Txn: {}\r\n\r\n", client.port()));
            let taken = std::iter::repeat_with(|| (requests.try_recv(), good.requests.try_recv()));
            let mut taken = taken.filter(|(bad, good)| bad.is_ok() || good.is_ok());
            if let Some((Ok((_, stream)), _)) = taken.next() {
                break (client, stream);
            }
            assert_eq!(client.status(), "200");
        };
        if late {
            // It is buffered for as long as its end is awaited; what arrives after that is streamed.
            write!(stream, "{NO_LENGTH}me").unwrap();
            std::thread::sleep(Duration::from_millis(700));
            reset_after(&sidecar, stream, "n");
        } else {
            reset_after(&sidecar, stream, &format!("{NO_LENGTH}me"));
        }
        let answer = client.answer();
        assert!(answer.ends_with("menu"), "late {late}: {answer}");
    }
}

/// Danger: a response that never ends would be buffered, or streamed, forever.
#[test]
fn an_answer_that_never_ends_costs_one_attempt_and_little_memory() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (how, begins, goes_on) in [
        ("head", "HTTP/1.1 200 OK\r\n".to_string(), "X-More: and more\r\n"),
        ("line of a head", "HTTP/1.1 200 OK\r\nX-More: ".to_string(), "and more "),
        ("interim answers", String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        ("line of a chunk", format!("{chunked}2;"), "and=more;"),
        ("trailers", format!("{chunked}2\r\nme\r\n0\r\n"), "X-More: and more\r\n"),
    ] {
        let (bad, requests) = endpoint();
        let good = Endpoint::start(|_| ok("menu"));
        let sidecar = Sidecar::start_with_endpoints(&[bad, good.at]);
        // Until one has reached the first endpoint.
        let mut met = false;
        while !met {
            let mut client = Client::connect(&sidecar);
            client.view();
            let write = requests.recv_timeout(Duration::from_millis(20)).ok().map(|(_, mut stream)| {
                let first = stream.write_all(begins.as_bytes());
                let more = goes_on.repeat(1000);
                std::thread::spawn(
                    move || while first.is_ok() && stream.write_all(more.as_bytes()).is_ok() {},
                )
            });
            let answer = client.answer();
            // Interim responses may continue until the client's deadline.
            let waits = how == "interim answers" && answer.starts_with("HTTP/1.1 503 ");
            assert!(answer.ends_with("menu") || waits, "{how}: {answer}");
            met = write.is_some_and(|write| write.join().is_ok());
        }
        assert!(sidecar.memory() < 32 << 20, "{how}: {} bytes", sidecar.memory());
    }
}

/// Danger: a client that pipelines requests that are answered at once kept the turn to itself for as long as it
/// continued.
#[test]
fn a_flood_on_one_connection_keeps_no_other_client_waiting() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let sidecar = Sidecar::start_with_endpoints(&[endpoint.at]);
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
    let served = Arc::new(AtomicUsize::new(0));
    let bytes = served.clone();
    let read = std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while let Ok(n @ 1..) = answers.read(&mut buffer) {
            bytes.fetch_add(n, Ordering::Relaxed);
        }
    });
    wait_until("it is under way", || served.load(Ordering::Relaxed) > 100_000);
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
    read.join().unwrap();
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert!(sidecar.memory() < 64 << 20, "{} bytes", sidecar.memory());
}

/// Danger: small writes that the kernel still delays (Nagle) are lost with a reset.
#[test]
fn small_writes_are_not_held_back() {
    let sidecar = Sidecar::start_with_endpoints(&[Endpoint::start(|_| ok("menu")).at]);
    let mut client = Client::connect(&sidecar);
    // A client that alternates between requests and responses delays its acknowledgements: a write that waits for
    // them takes 40 ms.
    let mut asked = |times: usize| {
        let begun = Instant::now();
        client.send("GET /healthz HTTP/1.1\r\n\r\n".repeat(times));
        (0..times).for_each(|_| assert_eq!(client.status(), "200"));
        begun.elapsed()
    };
    (0..30).for_each(|_| assert!(asked(1) > Duration::ZERO));
    let least = (0..20).map(|_| asked(2)).min().unwrap();
    assert!(least < Duration::from_millis(20), "{least:?}");
}

/// Danger: closing a connection with unread data resets it, and the part of its last response that is in transit is
/// lost.
#[test]
fn the_last_answer_comes_whole_whatever_its_client_sends_behind() {
    let body = "x".repeat(60_000);
    let (at, requests) = endpoint();
    let sidecar = Sidecar::start_with_admin_endpoint(&[at]);
    // A client that reads slowly: most of its response is buffered in the sidecar.
    let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    client.set_recv_buffer_size(4096).unwrap();
    client.connect(&sidecar.at.into()).unwrap();
    let mut client = TcpStream::from(client);
    client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    client.write_all(b"GET /view/1 HTTP/1.1\r\nX-Txn: 7a01\r\nConnection: close\r\n\r\n").unwrap();
    let (_, mut stream) = next(&requests);
    // More than is read at once.
    client.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let _ = client.write_all("GET /view/1 HTTP/1.1\r\nX-Txn: 77\r\n\r\n".repeat(20_000).as_bytes());
    stream.write_all(ok(&body).unwrap().as_bytes()).unwrap();
    sidecar.wait_pending(0);
    let (answer, ended) = read_to_end(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&body), "{} bytes", answer.len());
    assert!(ended);
    // Data read behind it is not processed.
    assert_eq!(sidecar.metric("sidecar_upstream_requests"), 1);
}

/// Danger: a request that is read after this side has finished sending, and is sent on, has its effect but no
/// response.
#[test]
fn a_request_in_the_turn_of_the_last_answer_is_not_sent_on() {
    let (at, requests) = endpoint();
    let sidecar = Sidecar::start_with_admin_endpoint(&[at]);
    let mut client = Client::connect(&sidecar);
    client.view();
    let (_, mut stream) = next(&requests);
    // Shortly after this, connections close with their next response.
    assert!(sidecar.admin_command("drain\n").starts_with("200 "));
    let mut other = Client::connect(&sidecar);
    wait_until("connections close", || {
        other.send("GET /healthz HTTP/1.1\r\n\r\n");
        other.answer().contains("Connection: close")
    });
    sidecar.in_one_turn(|| {
        stream.write_all(ok("menu").unwrap().as_bytes()).unwrap();
        client.view();
    });
    let answer = client.answer();
    assert!(answer.ends_with("menu") && answer.contains("Connection: close"), "{answer}");
    assert!(client.closed());
    sidecar.wait_pending(0);
    assert_eq!(sidecar.metric("sidecar_upstream_requests"), 1);
    assert!(requests.try_recv().is_err());
}

/// Danger: half a line received on an idle connection becomes the head of the next response on it.
#[test]
fn half_a_line_in_the_turn_of_a_request_costs_its_connection_and_not_the_request() {
    let (at, requests) = endpoint();
    let sidecar = Sidecar::start_with_endpoints(&[at]);
    let mut client = Client::connect(&sidecar);
    client.view();
    let (_, mut first) = next(&requests);
    first.write_all(ok("first").unwrap().as_bytes()).unwrap();
    assert!(client.answer().ends_with("first"));
    sidecar.in_one_turn(|| {
        client.view();
        first.write_all(b"HTTP/1.1 5").unwrap();
    });
    let (request, mut second) = next(&requests);
    assert!(request.starts_with("GET /view/1"), "{request}");
    second.write_all(ok("second").unwrap().as_bytes()).unwrap();
    assert!(client.answer().ends_with("second"));
    // Nothing was written to the first connection.
    first.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(first.read(&mut [0]).unwrap_or(0), 0);
}

/// Danger: pipelined requests behind the current one are sent for nobody once their client has disconnected.
#[test]
fn a_flood_whose_client_goes_in_the_turn_of_an_answer_sends_nothing_more() {
    for reset in [false, true] {
        let (at, requests) = endpoint();
        let sidecar = Sidecar::start_with_admin_endpoint(&[at]);
        let mut client = Client::connect(&sidecar);
        client.view();
        let (_, mut stream) = next(&requests);
        (0..50).for_each(|_| client.view());
        let from = client.port();
        sidecar.in_one_turn(|| {
            stream.write_all(ok("menu").unwrap().as_bytes()).unwrap();
            if reset {
                client.reset()
            } else {
                drop(client)
            }
            wait_until("it has left", || connections(Some(sidecar.at.port()), from, "01") == 0);
        });
        sidecar.wait_pending(0);
        assert_eq!(sidecar.metric("sidecar_upstream_requests"), 1, "reset: {reset}");
        assert!(requests.try_recv().is_err(), "reset: {reset}");
    }
}
