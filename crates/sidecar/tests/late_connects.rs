//! Connects that complete after their deadline: sockets on loopback, and a clock that the test sets.

use std::io::Read;
use std::net::TcpListener;

use appledyke::units::{Moment, Span};
use appledyke_sidecar::net::Turn;
use appledyke_sidecar::net::connection::AttemptResult;
use appledyke_sidecar::net::servers::{ActiveAttempt, OutgoingRequest, Servers};

const HEAD: &[u8] = b"GET /view HTTP/1.1\r\nX-Txn: 1\r\n\r\n";

/// Danger: a process that got no CPU for long finds in one turn that a connect is complete and that its time is over.
/// It would send to an endpoint that has begun to drain since, or for a client whose deadline has passed.
#[test]
fn a_connect_that_is_found_up_after_its_time_carries_nothing() {
    let (most, deadline) = (Span::from_millis(300), Span::from_millis(2000));
    for (passed, ending) in [
        (most, AttemptResult::ConnectFailed),
        (deadline, AttemptResult::TimedOut { request_sent: false }),
        (most * 0.9, AttemptResult::ConnectFailed),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut poll = mio::Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let mut turn =
            Turn { now: Moment::from_nanos(1), registry, deadlines: Default::default(), free_connections: 2 };
        let mut servers = Servers::new(Span::from_millis(60_000), most);
        servers.set_address(0, listener.local_addr().unwrap(), None, &mut turn);
        let carried = ActiveAttempt { request: 0, attempt: 0, give_up: turn.now + deadline };
        let message = OutgoingRequest { head: HEAD, body: b"", streamed_body: None };
        let key = servers.send(0, carried, message, &mut turn).unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let mut events = mio::Events::with_capacity(8);
        while !events.iter().any(|event| event.is_writable()) {
            poll.poll(&mut events, None).unwrap();
        }
        turn.now = turn.now + passed;
        let ended = servers.ready(key, &mut turn).map(|ended| ended.ending);
        drop(servers);
        let mut sent = Vec::new();
        let _ = peer.read_to_end(&mut sent);
        // In time, it is sent.
        let in_time = passed < most;
        assert_eq!(ended, (!in_time).then_some(ending), "{passed:?}");
        assert_eq!(sent.is_empty(), !in_time, "{passed:?}");
    }
}
