//! The remaining time that an attempt passes to its endpoint, and the delay between decision and write.

use std::time::Instant;

use crate::stand_ins::{
    Client, Sidecar, accept_late, configuration, connecting, entry, full_listener, list_of, start_discovery,
    wait_until, with_admin_endpoint,
};

/// Danger: an attempt whose connect completes late passed the time that was left when it was decided, so its
/// endpoint, and that one's own calls, continue for longer than the client waits.
#[test]
fn an_attempt_whose_connect_comes_up_late_tells_what_is_left_then() {
    let (listener, fillers) = full_listener();
    let at = listener.local_addr().unwrap();
    let text = with_admin_endpoint(&configuration(
        start_discovery().0,
        1024,
        &list_of(1, true, &[entry("late", at, 0, "up")]),
    ));
    // Long compared with delays on a busy machine: a connect is retransmitted after 1, 3 and 7 s.
    let text = text.replace("\"connectTimeoutNs\":200000000", "\"connectTimeoutNs\":20000000000");
    let text = text.replace("\"latencyBudgetNs\":2000000000", "\"latencyBudgetNs\":20000000000");
    let sidecar = Sidecar::start(&text.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":30000000000"));
    let before = connecting(at.port());
    let mut client = Client::connect(&sidecar);
    let lines = "X-Remaining-Ms: 20000\r\nIdempotency-Key: k\r\nContent-Length: 4";
    client.send(format!("POST /order/1 HTTP/1.1\r\nX-Txn: a\r\n{lines}\r\n\r\nsoup"));
    wait_until("a connect", || connecting(at.port()) > before);
    let asked = Instant::now();
    wait_until("much of its time has passed", || asked.elapsed().as_millis() > 500);
    let waited = asked.elapsed().as_millis();
    let sent = accept_late(&listener, &fillers, before);
    let sent = sent.iter().find(|text| !text.is_empty()).expect("it goes out");
    let (head, body) = sent.split_once("\r\n\r\n").expect("a whole head");
    let told = head.lines().filter_map(|line| line.strip_prefix("X-Remaining-Ms: "));
    let told: Vec<u128> = told.map(|told| told.parse().unwrap()).collect();
    assert!(matches!(told[..], [told] if told + waited <= 20000), "{told:?} told after {waited} of 20000");
    assert_eq!(body, "soup");
}
