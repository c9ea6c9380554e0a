//! Many processes that start together while service discovery fails.

mod stand_ins;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use stand_ins::{Client, Endpoint, Sidecar, configuration, entry, list_of, ok, with_admin_endpoint};

/// Number of processes that start together.
const PROCESSES: usize = 30;
/// Nine in ten must be ready within this time.
const READY_IN: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum Service {
    Down,
    Hangs,
    /// Overloaded: it handles calls one at a time and rejects each after a delay.
    Busy,
}

/// The address of a discovery service that behaves like this.
fn service(how: Service) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        match how {
            Service::Down => {}
            Service::Hangs => listener.incoming().flatten().for_each(|stream| open.push(stream)),
            Service::Busy => listener.incoming().flatten().for_each(|mut stream| {
                std::thread::sleep(Duration::from_millis(30));
                let _ = stream.read(&mut [0; 512]);
                let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.shutdown(Shutdown::Write);
            }),
        }
    });
    at
}

/// Danger: a process that waits for its first list rejects clients for as long as the discovery service is
/// unavailable, and blocks a release that waits for it.
#[test]
fn nine_in_ten_that_start_together_are_ready_in_time_whatever_the_list_s_service_does() {
    let good = Endpoint::start(|_| ok("menu"));
    let known = list_of(1, true, &[entry("e0", good.at, 0, "up")]);
    for how in [Service::Down, Service::Hangs, Service::Busy] {
        for mode in ["automatic", "subscribe"] {
            let text = with_admin_endpoint(&configuration(service(how), 1024, &known));
            let text = text.replace("\"automatic\"", &format!("\"{mode}\""));
            let text = text.replace("\"rules\":{", "\"rules\":{\"askWithinNs\":10000000000,");
            let text = Arc::new(text);
            let starts = (0..PROCESSES).map(|_| {
                let text = text.clone();
                std::thread::spawn(move || {
                    let begun = Instant::now();
                    let sidecar = Sidecar::start(&text);
                    let listens = begun.elapsed();
                    while !sidecar.admin_command("ready\n").starts_with("200") && begun.elapsed() < READY_IN {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    let ready = begun.elapsed();
                    // From the list that it was started with.
                    let mut client = Client::connect(&sidecar);
                    client.view();
                    (listens, ready, client.status())
                })
            });
            let starts: Vec<_> = starts.collect();
            let mut starts: Vec<_> = starts.into_iter().map(|start| start.join().unwrap()).collect();
            starts.sort();
            let (listens, ready) = (starts.last().unwrap().0, starts.iter().map(|start| start.1));
            let in_time = ready.clone().filter(|ready| *ready < READY_IN).count();
            println!("{how:?}, {mode}: all listen after {listens:?}, and are ready after {:?}", ready.max());
            assert!(in_time * 10 >= PROCESSES * 9, "{how:?}, {mode}: {in_time} of {PROCESSES} in time");
            assert!(starts.iter().all(|start| start.2 == "200"), "{how:?}, {mode}: {starts:?}");
        }
    }
}
