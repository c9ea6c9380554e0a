//! Clients that send requests through sidecars all the time, and endpoints that record which sidecar sent them one.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::stand_ins::{Client, Endpoint, Sidecar, ok};

/// Interval between two requests of a client.
pub const REQUEST_EVERY: Duration = Duration::from_millis(25);

/// When requests reached an endpoint, and from which sidecar.
pub type Arrivals = Arc<Mutex<Vec<(Instant, usize)>>>;

/// An endpoint that records each request, with the sidecar's number from the request's path.
pub fn recording_endpoint() -> (Endpoint, Arrivals) {
    let arrivals = Arrivals::default();
    let record = arrivals.clone();
    let endpoint = Endpoint::start(move |request| {
        let sidecar = request.split('/').nth(2).and_then(|path| path.split(' ').next()?.parse().ok());
        record.lock().unwrap().push((Instant::now(), sidecar.expect("a sidecar's number")));
        ok("menu")
    });
    (endpoint, arrivals)
}

/// The answers that a client got: when, and with which status.
pub type Answers = Vec<(Instant, String)>;

/// Sends requests to this sidecar until told to stop. Each answer has to be 200 or 503.
pub fn send_requests(sidecar: &Sidecar, number: u32, over: &Arc<AtomicBool>) -> JoinHandle<Answers> {
    let mut client = Client::connect(sidecar);
    let over = over.clone();
    std::thread::spawn(move || {
        let mut answers = Answers::new();
        while !over.load(Ordering::Relaxed) {
            let sent = answers.len() + 1;
            let lines = "Host: h\r\nX-Lane: view\r\nX-Remaining-Ms: 2000\r\n\r\n";
            client.send(format!("GET /view/{number} HTTP/1.1\r\nX-Txn: {number}-{sent}\r\n{lines}"));
            let status = client.status();
            assert!(status == "200" || status == "503", "{status}");
            answers.push((Instant::now(), status));
            std::thread::sleep(REQUEST_EVERY);
        }
        answers
    })
}
