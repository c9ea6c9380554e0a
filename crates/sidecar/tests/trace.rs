//! Log lines and metrics about requests, endpoint state changes and calls to service discovery.

mod stand_ins;

use std::io::Write;
use std::time::Duration;

use appledyke::EndpointState;
use appledyke_sidecar::logger;
use appledyke_sidecar::trace::EndpointStates;
use stand_ins::{
    Client, Endpoint, OPEN, Sidecar, configuration, entry, list_of, ok, start_discovery, wait_until,
    watch_line, with_admin_endpoint,
};

/// A sidecar that logs individual requests, and its first watch.
fn traced(endpoints: &[&Endpoint]) -> (Sidecar, std::net::TcpStream) {
    let (at, watches) = start_discovery();
    let entries: Vec<_> =
        endpoints.iter().zip(0..).map(|(e, cell)| entry(&format!("e{cell}"), e.at, cell, "up")).collect();
    let known = list_of(1, true, &entries);
    let text = with_admin_endpoint(&configuration(at, 1024, &known));
    let sidecar = Sidecar::start_with(&text, &[("BALANCER_LOG", "debug")]);
    let (_, mut watch) = watches.recv_timeout(Duration::from_secs(10)).unwrap();
    watch.write_all(OPEN).unwrap();
    watch_line(&mut watch, &known);
    wait_until("the list is heard", || sidecar.metric("sidecar_discovery_version") == 1);
    (sidecar, watch)
}

fn asks(sidecar: &Sidecar, id: &str) -> String {
    let mut client = Client::connect(sidecar);
    client.send(format!("GET /view/1 HTTP/1.1\r\nHost: h\r\nX-Txn: {id}\r\nX-Remaining-Ms: 2000\r\n\r\n"));
    client.status()
}

#[test]
fn a_request_is_followed_through_its_attempts_by_its_id() {
    let broken = Endpoint::start(|_| None);
    let (sidecar, _watch) = traced(&[&broken]);
    let status = asks(&sidecar, "abc7");
    assert!(status == "502" || status == "503", "{status}");
    let lines = || sidecar.logged("request abc7");
    wait_until("its answer is logged", || {
        lines().iter().any(|line| line.contains(&format!("answered {status} here")))
    });
    for part in ["taken", "attempt 0 to e0, list version 1", "attempt 0 at e0 ended", "Broken"] {
        assert!(lines().iter().any(|line| line.contains(part)), "{part} in {:?}", lines());
    }
    assert!(sidecar.metric("sidecar_attempts{outcome=\"reset\"}") >= 1);
    let here = ["throttled", "no_retry", "no_endpoint", "time_over", "queue_full"];
    let here = here.map(|reason| sidecar.metric(&format!("sidecar_answered_here{{reason=\"{reason}\"}}")));
    assert_eq!(here.iter().sum::<u64>(), 1);
}

/// Guards against an attempt that was cut off in the middle of its response looking like one that got none.
#[test]
fn an_attempt_that_ends_with_part_of_a_response_is_logged_and_counted() {
    let partial = Endpoint::start(|_| {
        Some("HTTP/1.1 200 OK\r\nContent-Length: 40\r\nX-Then: close\r\n\r\nhalf a menu".to_string())
    });
    let (sidecar, _watch) = traced(&[&partial]);
    assert_ne!(asks(&sidecar, "abc8"), "200");
    let logged = || sidecar.logged("request abc8: attempt 0 at e0 ended");
    wait_until("its end is logged", || !logged().is_empty());
    assert!(
        logged()[0].contains("Broken { request_sent: true }, with 65 bytes of a response"),
        "{:?}",
        logged()
    );
    assert!(sidecar.metric("sidecar_partial_responses{outcome=\"reset\"}") >= 1);
    assert_eq!(sidecar.metric("sidecar_partial_responses{outcome=\"timeout\"}"), 0);
}

#[test]
fn a_retry_is_counted_by_what_it_follows() {
    let (broken, good) = (Endpoint::start(|_| None), Endpoint::start(|_| ok("menu")));
    let (sidecar, _watch) = traced(&[&broken, &good]);
    for number in 0..20 {
        asks(&sidecar, &format!("r{number}"));
    }
    let retries = sidecar.metric("sidecar_retries{outcome=\"reset\"}");
    let logged = || sidecar.logged(", a retry after reset").len() as u64;
    assert!(retries >= 1);
    wait_until("all are logged", || logged() == retries);
}

#[test]
fn an_endpoint_that_drains_and_one_that_is_left_out_are_logged_with_the_version() {
    let (one, other) = (Endpoint::start(|_| ok("one")), Endpoint::start(|_| ok("other")));
    let (sidecar, mut watch) = traced(&[&one, &other]);
    watch_line(&mut watch, &list_of(2, false, &[entry("e1", other.at, 1, "draining")]));
    wait_until("the drain is logged", || {
        !sidecar.logged("list version 2: 1 endpoints, draining: e1").is_empty()
    });
    watch_line(&mut watch, &list_of(3, true, &[entry("e0", one.at, 0, "up")]));
    wait_until("the loss is logged", || {
        !sidecar.logged("list version 3: 1 endpoints, removed: e1").is_empty()
    });
}

#[test]
fn a_call_that_is_turned_away_is_counted_with_its_reason() {
    let (at, watches) = start_discovery();
    let one = Endpoint::start(|_| ok("one"));
    let known = list_of(1, true, &[entry("e0", one.at, 0, "up")]);
    let sidecar = Sidecar::start(&with_admin_endpoint(&configuration(at, 1024, &known)));
    let (_, mut call) = watches.recv_timeout(Duration::from_secs(10)).unwrap();
    call.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").unwrap();
    let reason = "sidecar_discovery_calls_failed{reason=\"turned_away\"}";
    wait_until("it is counted", || sidecar.metric(reason) == 1);
    wait_until("it is logged", || !sidecar.logged("answered 503; call 1 took").is_empty());
}

#[test]
fn only_the_first_endpoints_of_a_long_change_are_named() {
    let names: Vec<String> = (0..8).map(|number| format!("e{number}")).collect();
    let name = |at: usize| names[at].as_str();
    let mut states = EndpointStates::default();
    states.open();
    (0..8).for_each(|at| states.observe(at, EndpointState::Ready));
    assert_eq!(states.close(true, name).unwrap(), "8 endpoints, up: e0 e1 e2 e3 e4 and 3 more");
    // The same list again changes nothing.
    states.open();
    (0..8).for_each(|at| states.observe(at, EndpointState::Ready));
    assert_eq!(states.close(true, name), None);
}

#[test]
fn a_level_that_there_is_not_is_named() {
    assert!(logger::level(Some("loud")).unwrap_err().contains("BALANCER_LOG"));
    assert!(logger::level(None).is_ok());
}

/// Guards against a streamed response that was cut off without a trace of which one it was and why.
#[test]
fn an_aborted_stream_is_logged_with_its_request_and_reason() {
    let breaks_off = Endpoint::start(|_| {
        let part = "x".repeat(1000);
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nX-Then: close\r\n\r\n{part}"))
    });
    let (sidecar, _watch) = traced(&[&breaks_off]);
    let mut client = Client::connect(&sidecar);
    client.send("GET /view/1 HTTP/1.1\r\nX-Txn: cut7\r\n\r\n");
    assert!(client.answer().starts_with("HTTP/1.1 200 "));
    let line = "a streamed response was aborted before its end: request cut7, endpoint_closed";
    wait_until("the abort is logged", || sidecar.logged(line).len() == 1);
    assert_eq!(sidecar.metric("sidecar_aborted_streams{reason=\"endpoint_closed\"}"), 1);
}

/// Guards against clients that send unsound requests being invisible in the metrics.
#[test]
fn responses_without_an_endpoint_are_counted_by_status() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let (sidecar, _watch) = traced(&[&endpoint]);
    let mut client = Client::connect(&sidecar);
    for (request, status) in [("/none", "404"), ("/view/1", "400"), ("/none", "404"), ("/healthz", "200")] {
        client.send(format!("GET {request} HTTP/1.1\r\n\r\n"));
        assert_eq!(client.status(), status);
    }
    for (status, count) in [("404", 2), ("400", 1), ("200", 1)] {
        let name = format!("sidecar_direct_responses{{status=\"{status}\"}}");
        assert_eq!(sidecar.metric(&name), count, "{name}");
    }
}
