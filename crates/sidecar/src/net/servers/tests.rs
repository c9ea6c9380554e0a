//! Endpoint connections on loopback sockets, turn by turn.

use appledyke::Outcome;

use super::*;
use crate::metrics::RequestEnd;
use crate::net::body::Piece;

const HEAD: &[u8] = b"GET /view HTTP/1.1\r\nX-Txn: 1\r\n\r\n";

/// A pool for one endpoint, with a capacity of two connections.
fn pool_for_one() -> (std::net::TcpListener, mio::Poll, Turn, Servers) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = mio::Poll::new().unwrap();
    let registry = poll.registry().try_clone().unwrap();
    let mut turn =
        Turn { now: Moment::from_nanos(1), registry, deadlines: Default::default(), free_connections: 2 };
    let mut servers = Servers::new(Span::from_millis(60_000), Span::from_millis(200));
    servers.set_address(0, listener.local_addr().unwrap(), None, &mut turn);
    (listener, poll, turn, servers)
}

/// Lets the endpoint respond to the attempt on this connection, and releases the connection.
fn answer(
    servers: &mut Servers,
    turn: &mut Turn,
    poll: &mut mio::Poll,
    key: Key,
    peer: &mut std::net::TcpStream,
) {
    std::io::Write::write_all(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut events = mio::Events::with_capacity(8);
    let ended = loop {
        poll.poll(&mut events, None).unwrap();
        if let Some(ended) = servers.ready(key, turn) {
            break ended;
        }
    };
    servers.release(key, ended.answer.unwrap(), turn);
}

#[test]
fn connect_timeout_is_a_connect_failure_and_frees_the_connection() {
    let (_listener, _poll, mut turn, mut servers) = pool_for_one();
    let give_up = turn.now + Span::from_millis(2000);
    let carried = ActiveAttempt { request: 0, attempt: 0, give_up };
    let message = OutgoingRequest { head: HEAD, body: b"", streamed_body: None };
    let send = |servers: &mut Servers, turn: &mut Turn| servers.send(0, carried, message, turn);
    let key = send(&mut servers, &mut turn).unwrap();
    send(&mut servers, &mut turn).unwrap();
    // Both carry a request, so there is no capacity for a third.
    assert_eq!(send(&mut servers, &mut turn), Err(AttemptResult::NoCapacity));
    assert_eq!(AttemptResult::NoCapacity.outcome(), Outcome::NeverSent);
    // No event has reported the connect by the time that it times out.
    turn.now = turn.now + Span::from_millis(200);
    assert_eq!(turn.deadlines.pop(turn.now), Some(Due::Server(key)));
    let ended = servers.timed_out(key, &mut turn).unwrap();
    assert_eq!(
        (ended.ending, ended.ending.outcome()),
        (AttemptResult::ConnectFailed, Outcome::ConnectFailure)
    );
    // Late events for the old connection find nothing.
    assert!(servers.ready(key, &mut turn).is_none() && servers.timed_out(key, &mut turn).is_none());
    assert!(send(&mut servers, &mut turn).is_ok());
}

#[test]
fn idle_connections_follow_new_limits() {
    let (listener, mut poll, mut turn, mut servers) = pool_for_one();
    let carried = ActiveAttempt { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
    let key = servers
        .send(0, carried, OutgoingRequest { head: HEAD, body: b"", streamed_body: None }, &mut turn)
        .unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    answer(&mut servers, &mut turn, &mut poll, key, &mut peer);
    servers.update_terms(Span::from_millis(4000), Span::from_millis(200), &mut turn);
    assert!(servers.has_idle(0));
    assert_eq!(turn.deadlines.next(), Some(turn.now + Span::from_millis(4000) * IDLE_TIMEOUT_SHARE));
}

/// Danger: a late turn of the event loop sees that a connect has completed before it checks the timeout, and would
/// write a request that nobody waits for, that its group may have forgotten, or that its endpoint may no longer be
/// sent.
#[test]
fn connect_that_completes_after_its_timeout_sends_nothing() {
    for (give_up, ending) in
        [(100, AttemptResult::TimedOut { request_sent: false }), (2000, AttemptResult::ConnectFailed)]
    {
        let (listener, mut poll, mut turn, mut servers) = pool_for_one();
        let carried =
            ActiveAttempt { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(give_up) };
        let key = servers
            .send(0, carried, OutgoingRequest { head: HEAD, body: b"", streamed_body: None }, &mut turn)
            .unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let mut events = mio::Events::with_capacity(8);
        while events.is_empty() {
            poll.poll(&mut events, None).unwrap();
        }
        turn.now = turn.now + Span::from_millis(200);
        let ended = servers.ready(key, &mut turn).expect("the connect has timed out");
        assert_eq!((ended.ending, ended.ending.outcome()), (ending, Outcome::ConnectFailure));
        assert_eq!(std::io::Read::read(&mut peer, &mut [0]).unwrap(), 0);
    }
}

/// Danger: if an endpoint's index is reused while a response is streamed, its connection would carry the next request
/// for the new endpoint of that index to the old one.
#[test]
fn connection_is_closed_if_its_endpoint_index_is_reused_while_streaming() {
    let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for (successor, stays) in [(None, true), (Some(other.local_addr().unwrap()), false)] {
        let (listener, mut poll, mut turn, mut servers) = pool_for_one();
        let carried = ActiveAttempt { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
        let key = servers
            .send(0, carried, OutgoingRequest { head: HEAD, body: b"", streamed_body: None }, &mut turn)
            .unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let long = format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(1000));
        std::io::Write::write_all(&mut peer, long.as_bytes()).unwrap();
        let mut events = mio::Events::with_capacity(8);
        let ended = loop {
            poll.poll(&mut events, None).unwrap();
            if let Some(ended) = servers.ready(key, &mut turn) {
                break ended;
            }
        };
        servers.begin_forwarding(
            key,
            ended.answer.unwrap(),
            ended.long.unwrap(),
            StreamTarget { client: key, method: 0, end: RequestEnd::Served },
            "".into(),
        );
        servers.forget(0, &mut turn);
        servers.set_address(0, successor.unwrap_or(listener.local_addr().unwrap()), None, &mut turn);
        std::io::Write::write_all(&mut peer, &[b'x'; 69_000]).unwrap();
        loop {
            match servers.next_piece(key, &mut turn) {
                Piece::Data(range) => servers.consume(key, range.end),
                Piece::End => break,
                Piece::Pending => poll.poll(&mut events, None).unwrap(),
                _ => panic!("the response was not streamed to its end"),
            }
        }
        servers.end_forwarding(key, &mut turn);
        assert_eq!(servers.has_idle(0), stays, "{successor:?}");
    }
}

/// Danger: bytes that arrive late behind a response are taken for the response to the next request on its connection.
#[test]
fn connection_that_was_just_answered_is_reused_last() {
    let (listener, mut poll, mut turn, mut servers) = pool_for_one();
    let send = |servers: &mut Servers, turn: &mut Turn| {
        let carried = ActiveAttempt { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
        servers
            .send(0, carried, OutgoingRequest { head: HEAD, body: b"", streamed_body: None }, turn)
            .unwrap()
    };
    let mut answered = |servers: &mut Servers, turn: &mut Turn, key, peer: &mut std::net::TcpStream| {
        answer(servers, turn, &mut poll, key, peer);
    };
    let keys = [(); 2].map(|()| send(&mut servers, &mut turn));
    let mut peers = [(); 2].map(|()| listener.accept().unwrap().0);
    // The connects may be accepted in either order.
    let port = |key: Key| servers.links.get(key).unwrap().connection.local_port();
    if peers[0].peer_addr().unwrap().port() != port(keys[0]) {
        peers.reverse();
    }
    answered(&mut servers, &mut turn, keys[0], &mut peers[0]);
    turn.now = turn.now + REUSE_DELAY;
    answered(&mut servers, &mut turn, keys[1], &mut peers[1]);
    // The first has been idle for `REUSE_DELAY`. While it is in use the second is reused all the same, and no third
    // is opened.
    assert_eq!(send(&mut servers, &mut turn), keys[0]);
    assert_eq!(send(&mut servers, &mut turn), keys[1]);
    // Neither has been idle for `REUSE_DELAY`: the one that was answered first is used.
    answered(&mut servers, &mut turn, keys[1], &mut peers[1]);
    turn.now = turn.now + Span::from_millis(1);
    answered(&mut servers, &mut turn, keys[0], &mut peers[0]);
    assert_eq!(send(&mut servers, &mut turn), keys[1]);
    // After recent stray bytes, a connection is not reused before `REUSE_DELAY` has passed.
    servers.stray_bytes_until = turn.now + STRAY_BYTES_MEMORY;
    turn.free_connections = 1;
    let third = send(&mut servers, &mut turn);
    assert!(!keys.contains(&third));
}

/// Guards against a new process at the address of one that has gone being sent what is meant for that.
#[test]
fn address_belongs_to_the_endpoint_that_started_last() {
    let (listener, _poll, mut turn, mut servers) = pool_for_one();
    let address = listener.local_addr().unwrap();
    let started = |ms| Some(Moment::from_nanos(ms));
    let send = |servers: &mut Servers, turn: &mut Turn, endpoint| {
        let carried = ActiveAttempt { request: 0, attempt: 0, give_up: turn.now + Span::from_millis(2000) };
        let message = OutgoingRequest { head: HEAD, body: b"", streamed_body: None };
        servers.send(endpoint, carried, message, turn)
    };
    servers.set_address(1, address, started(5), &mut turn);
    assert_eq!(send(&mut servers, &mut turn, 0), Err(AttemptResult::ConnectFailed));
    // The list still names the old one.
    servers.set_address(0, address, None, &mut turn);
    assert_eq!(send(&mut servers, &mut turn, 0), Err(AttemptResult::ConnectFailed));
    assert!(send(&mut servers, &mut turn, 1).is_ok());
    // It starts again there, after the other has gone.
    servers.forget(1, &mut turn);
    servers.set_address(0, address, started(9), &mut turn);
    assert!(send(&mut servers, &mut turn, 0).is_ok());
    // Of two that started at the same time neither is known to be the older.
    servers.set_address(2, address, started(9), &mut turn);
    servers.set_address(0, address, started(9), &mut turn);
    turn.free_connections = 2;
    assert!(send(&mut servers, &mut turn, 0).is_ok() && send(&mut servers, &mut turn, 2).is_ok());
}
