//! Incident 28fe2c: new configurations in quick succession with a slow and overloaded discovery service. Real
//! processes on loopback, reloaded by SIGHUP; see `docs/incidents/2026-12-02-28fe2c-list-heard-late.md`.

mod fakes;
mod stand_ins;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fakes::discovery::{Capacity, Discovery, Outcome};
use fakes::traffic::{recording_endpoint, send_requests};
use stand_ins::{Sidecar, configuration, entry, list_of};

/// Time after the SIGHUP at which what discovery at a newly configured address has counts as announced.
const TOLD_AFTER_MOVE: Duration = Duration::from_millis(4000);
/// From then on sending to a draining endpoint must end within this time, plus the rule's tolerance.
const STOP_SENDING: Duration = Duration::from_millis(1000);
const SLACK: Duration = Duration::from_millis(50);
/// Interval between the SIGHUP series of two sidecars.
const STAGGER: Duration = Duration::from_millis(400);
/// Times of the SIGHUPs in a series, from its first.
const SERIES: [u64; 4] = [0, 300, 700, 1600];
const SIDECARS: u32 = 9;

fn settings(discovery: std::net::SocketAddr, known: &str, number: u32) -> String {
    let text = configuration(discovery, 1024, known);
    let text = text.replace("8c1f30d27a5be964", &format!("8c1f30d27a5be9{number:02x}"));
    let text = text.replace("\"nInstances\":1", &format!("\"nInstances\":{SIDECARS}"));
    let text = text.replace("\"automatic\"", "\"subscribe\"");
    let stop_sending = STOP_SENDING.as_nanos();
    let rules = format!("\"rules\":{{\"askWithinNs\":1000000000,\"stopSendingWithinNs\":{stop_sending},");
    text.replace("\"rules\":{", &rules)
}

/// Prints the outcomes of the calls at each address, for the analysis of a failure.
fn print_calls(discovery: &Discovery) {
    let calls = discovery.calls();
    for address in 0..discovery.addresses.len() {
        for outcome in [Outcome::Answered, Outcome::RefusedAtOnce, Outcome::RefusedAfterWait, Outcome::Down] {
            let such = calls.iter().filter(|call| (call.address, call.outcome) == (address, outcome));
            let longest = such.clone().map(|call| call.took).max().unwrap_or_default();
            println!("address {address}, {outcome:?}: {} calls, the longest {longest:?}", such.count());
        }
    }
}

/// Danger: each SIGHUP of a series makes a call that the next one discards, and the service works on all of them.
/// Calls rejected meanwhile are retried at growing intervals, and what the last address has arrives long after it
/// counts as announced. No request may reach a draining endpoint from then on.
#[test]
fn new_configurations_in_series_before_a_crowded_discovery_keep_the_drain() {
    let (steady, _) = recording_endpoint();
    let (drained, arrivals) = recording_endpoint();
    let both = |status: &str| {
        [entry("steady", steady.at, 0, "up"), entry("drained", drained.at, 1, status)].to_vec()
    };
    let capacity = Capacity {
        call_time: Duration::from_millis(300),
        queue_most: 10,
        wait_most: Duration::from_millis(3000),
    };
    let discovery = Discovery::start(1 + SERIES.len(), capacity, "");
    discovery.go_down(Duration::from_millis(2000));
    let known = list_of(1, true, &both("up"));
    let start = |number| Sidecar::start(&settings(discovery.addresses[0], &known, number));
    let sidecars: Vec<Sidecar> = (0..SIDECARS).map(start).collect();
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        sidecars.iter().zip(0..).map(|(sidecar, number)| send_requests(sidecar, number, &over)).collect();
    // All have made at least one failed call.
    stand_ins::wait_until("calls while it is down", || discovery.calls().len() >= SIDECARS as usize);

    discovery.go_up(&list_of(2, true, &both("draining")));
    let begun = Instant::now();
    let mut signals: Vec<(Duration, u32, usize)> = Vec::new();
    for number in 0..SIDECARS {
        let first = STAGGER * number;
        let series = SERIES.iter().zip(1..);
        signals.extend(series.map(|(at, address)| (first + Duration::from_millis(*at), number, address)));
    }
    signals.sort();
    let mut last_signal = vec![begun; SIDECARS as usize];
    for (at, number, address) in signals {
        std::thread::sleep((begun + at).saturating_duration_since(Instant::now()));
        let sidecar = &sidecars[number as usize];
        std::fs::write(&sidecar.file, settings(discovery.addresses[address], &known, number)).unwrap();
        sidecar.signal("-HUP");
        last_signal[number as usize] = Instant::now();
    }
    // Longer than any of them may take.
    std::thread::sleep(TOLD_AFTER_MOVE + STOP_SENDING + Duration::from_secs(4));
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join().unwrap()));

    print_calls(&discovery);
    let mut late = Vec::new();
    for (number, signal) in last_signal.iter().enumerate() {
        let arrivals = arrivals.lock().unwrap();
        let last = arrivals.iter().filter(|(_, sidecar)| *sidecar == number).map(|(at, _)| *at).max();
        let after = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(*signal));
        println!(
            "sidecar {number}: its last request to the drained endpoint came {after:?} after its last SIGHUP"
        );
        if after > TOLD_AFTER_MOVE + STOP_SENDING + SLACK {
            late.push((number, after));
        }
    }
    assert!(late.is_empty(), "requests to an endpoint that drains, after the grace: {late:?}");
}
