//! SIGTERM, and the events that can coincide with it.

use crate::stand_ins::{
    Client, Endpoint, Sidecar, configuration, entry, list_of, ok, start_discovery, wait_until,
    with_admin_endpoint,
};

const HALF: &str = "POST /order/1 HTTP/1.1\r\nX-Txn: 5a\r\nIdempotency-Key: 5\r\nContent-Length: 4\r\n\r\nso";

/// With deadlines so short that a shutdown ends within a second and a half.
fn short(endpoint: &Endpoint) -> Sidecar {
    let text = with_admin_endpoint(&configuration(
        start_discovery().0,
        1024,
        &list_of(1, true, &[entry("e0", endpoint.at, 0, "up")]),
    ));
    let text = text.replace("\"latencyBudgetNs\":2000000000", "\"latencyBudgetNs\":400000000");
    Sidecar::start(&text.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":600000000"))
}

/// Danger: a process that exits while it has half a request leaves it without a response, even if the rest arrives by
/// then.
#[test]
fn half_a_request_is_told_to_come_again_before_the_end() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let mut sidecar = short(&endpoint);
    let mut client = Client::connect(&sidecar);
    client.send(HALF);
    sidecar.signal("-TERM");
    let answer = client.answer();
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
    assert!(client.closed() && sidecar.end().success());
}

/// SIGHUP, SIGTERM twice, the rest of a request and a response, all in one turn.
#[test]
fn what_comes_in_the_turn_of_the_word_to_leave_is_answered() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Arc::new(std::sync::Mutex::new(wait));
    let endpoint = Endpoint::start(move |request| {
        if request.contains("Txn: held") {
            wait.lock().unwrap().recv().unwrap();
        }
        ok("menu")
    });
    let mut sidecar = short(&endpoint);
    let [mut held, mut half, mut idle, mut two] = [(); 4].map(|()| Client::connect(&sidecar));
    held.order_as("held");
    sidecar.wait_pending(1);
    assert!(endpoint.next().contains("Txn: held"));
    half.send(HALF);
    for client in [&mut idle, &mut two] {
        client.view();
        assert_eq!(client.status(), "200");
    }
    sidecar.in_one_turn(|| {
        for signal in ["-HUP", "-TERM", "-TERM"] {
            sidecar.signal(signal);
        }
        half.send("up");
        idle.view();
        // The second is answered behind the first.
        two.view();
        two.view();
        go.send(()).unwrap();
    });
    for client in [&mut held, &mut half, &mut idle, &mut two] {
        assert_eq!(client.status(), "200");
    }
    assert_eq!(two.status(), "200");
    assert!(sidecar.end().success());
}

/// Danger: a process that was suspended past its shutdown deadline would exit without reading what arrived.
#[test]
fn what_waits_when_the_time_to_leave_is_long_over_is_answered_all_the_same() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let mut sidecar = short(&endpoint);
    let [mut half, mut whole] = [(); 2].map(|()| Client::connect(&sidecar));
    whole.view();
    assert_eq!(whole.status(), "200");
    half.send(HALF);
    sidecar.signal("-TERM");
    // Danger: if the process is stopped before it handles SIGTERM, it resumes with half a request that has timed out,
    // and shuts down later.
    wait_until("it leaves", || sidecar.admin_command("ready\n").contains("leaving"));
    sidecar.in_one_turn(|| {
        std::thread::sleep(std::time::Duration::from_millis(1500));
        whole.view();
    });
    assert!(["200", "503"].contains(&whole.status().as_str()));
    assert_eq!(half.status(), "503");
    assert!(sidecar.end().success());
}
