//! The admin endpoint, its metrics, and draining, on the loopback.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use crate::stand_ins::{Client, Endpoint, Sidecar, ok};

#[test]
fn whatever_a_caller_sends_is_answered_or_closed_and_delays_nobody() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let sidecar = Sidecar::start_with_admin_endpoint(&[endpoint.at]);
    let asked = Instant::now();
    // Far more silent connections than are accepted at once.
    let mut silent: Vec<_> = (0..60).map(|_| sidecar.admin_connection()).collect();
    for line in
        ["reboot\n", "\n", "drain\ndrain\n", "dr\0ain\n", "GET /ready HTTP/1.1\r\n", &"x".repeat(5000)]
    {
        let mut caller = sidecar.admin_connection();
        // A line that is too long may be answered before all of it is sent.
        let _ = caller.write_all(line.as_bytes());
        let mut answer = [0; 4];
        caller.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"400 ", "{}", line.escape_default());
    }
    // Half a line and a shutdown of the sending side: not executed.
    let mut caller = sidecar.admin_connection();
    caller.write_all(b"drain").unwrap();
    caller.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("400 "), "{answer}");
    assert!(sidecar.admin_command("resume\r\n").starts_with("200 "));
    assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    // Silent connections are closed, so none of them occupies a place.
    silent.iter_mut().for_each(|caller| drop(caller.read_to_string(&mut String::new())));
    assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
    let mut client = Client::connect(&sidecar);
    client.view();
    assert_eq!(client.status(), "200");
}

#[test]
fn the_figures_hold_against_what_clients_and_endpoints_counted() {
    // Every third request fails, every fifth is rejected once, and an order's response may be cut off.
    let endpoint = Endpoint::start(|request| {
        let number = request.split("X-Txn: ").nth(1).and_then(|rest| rest.split("\r\n").next()).unwrap();
        match u32::from_str_radix(number, 16).unwrap() % 15 {
            0 | 5 | 10 => {
                Some("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_string())
            }
            3 | 6 => Some("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n".to_string()),
            9 | 12 => None,
            _ => ok("menu"),
        }
    });
    let sidecar = Sidecar::start_with_admin_endpoint(&[endpoint.at]);
    assert_eq!(sidecar.metric("sidecar_completed{lane=\"order\"}"), 0);
    assert_eq!(sidecar.metric("sidecar_members"), 1);
    let mut counted = [[0; 3]; 2];
    for number in 0..120 {
        let mut client = Client::connect(&sidecar);
        if number % 2 == 0 {
            client.view()
        } else {
            client.order()
        }
        let end = match client.status().as_str() {
            "200" => 0,
            "503" => 1,
            _ => 2,
        };
        counted[number % 2][end] += 1;
    }
    // Requests without a known method and health checks are not counted as requests.
    for text in ["GET /healthz HTTP/1.1\r\n\r\n", "GET /no HTTP/1.1\r\nX-Txn: 1\r\n\r\n"] {
        let mut client = Client::connect(&sidecar);
        client.send(text);
        client.status();
    }
    for (lane, counted) in ["view", "order"].iter().zip(counted) {
        for (name, count) in ["completed", "rejected", "failed"].iter().zip(counted) {
            let told = sidecar.metric(&format!("sidecar_{name}{{lane=\"{lane}\"}}"));
            assert_eq!(told, count, "{name} {lane}");
        }
    }
    assert!(counted.iter().all(|ends| ends.iter().all(|count| *count > 0)), "{counted:?}");
    let requests = endpoint.requests.try_iter().filter(|request| request != "end").count() as u64;
    assert_eq!(sidecar.metric("sidecar_upstream_requests"), requests);
    assert_eq!(sidecar.metric("sidecar_pending"), 0);
}

#[test]
fn a_request_is_pending_until_its_answer_and_a_failing_endpoint_is_avoided() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Arc::new(std::sync::Mutex::new(wait));
    let slow = Endpoint::start(move |_| {
        let _ = wait.lock().unwrap().recv();
        ok("menu")
    });
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let sidecar = Sidecar::start_with_admin_endpoint(&[slow.at, nobody]);
    let mut client = Client::connect(&sidecar);
    client.view();
    slow.next();
    assert_eq!((sidecar.metric("sidecar_pending"), sidecar.metric("sidecar_upstream_requests")), (1, 1));
    go.send(()).unwrap();
    assert_eq!(client.status(), "200");
    assert_eq!(sidecar.metric("sidecar_pending"), 0);
    drop(go);
    // Until one of them was sent to the unreachable endpoint.
    let asked = Instant::now();
    while sidecar.metric("sidecar_members_unavailable") == 0 {
        client.view();
        assert_eq!(client.status(), "200");
        assert!(asked.elapsed() < Duration::from_secs(5));
    }
    assert_eq!(sidecar.metric("sidecar_members"), 2);
}

#[test]
fn through_a_drain_and_a_resume_a_client_that_goes_on_loses_nothing() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let sidecar = Sidecar::start_with_admin_endpoint(&[endpoint.at]);
    let health = || {
        let mut client = Client::connect(&sidecar);
        client.send("GET /healthz HTTP/1.1\r\n\r\n");
        client.status()
    };
    let (mut idle, mut busy) = (Client::connect(&sidecar), Client::connect(&sidecar));
    idle.view();
    assert_eq!((idle.status(), health()), ("200".to_string(), "200".to_string()));
    let told = Instant::now();
    assert!(sidecar.admin_command("drain\n").starts_with("200 "));
    assert_eq!(health(), "503");
    assert!(sidecar.admin_command("ready\n").starts_with("400 not ready: drained"));
    // It uses its connection until that is closed with a response, then new ones.
    let mut closed = 0;
    while told.elapsed() < Duration::from_millis(1500) {
        busy.view();
        let answer = busy.answer();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        if answer.contains("Connection: close") {
            assert!(busy.closed());
            busy = Client::connect(&sidecar);
            closed += 1;
        }
    }
    assert!(closed > 0 && idle.closed());
    assert!(sidecar.admin_command("drain\n").starts_with("200 "));
    assert!(busy.closed(), "nothing stays idle");
    assert!(told.elapsed() < Duration::from_secs(3), "{:?}", told.elapsed());
    for _ in 0..2 {
        assert!(sidecar.admin_command("resume\n").starts_with("200 "));
        assert_eq!(health(), "200");
    }
    let mut stays = Client::connect(&sidecar);
    for _ in 0..3 {
        stays.view();
        assert!(!stays.answer().contains("Connection: close"));
        std::thread::sleep(Duration::from_millis(200));
    }
    sidecar.signal("-TERM");
    let told = Instant::now();
    while !sidecar.admin_command("resume\n").starts_with("400 leaving") {
        assert!(told.elapsed() < Duration::from_secs(1));
    }
    assert!(sidecar.admin_command("drain\n").starts_with("200 leaving"));
}
