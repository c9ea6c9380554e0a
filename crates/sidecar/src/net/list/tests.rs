//! Watches that fall silent, and the calls that follow.

use appledyke::units::Span;

use super::schedule::{AGENT_ANSWER_MOST, AGENT_RETRY, RETRY_MOST};
use super::*;

/// One caller among few, whose lists are pushed by an agent or not.
fn callers(pushed: bool) -> Callers {
    Callers { pushed, instances: 1.0 }
}

#[test]
fn waits_between_calls_grow_to_a_most_and_never_fall_together() {
    let registry = mio::Poll::new().unwrap().registry().try_clone().unwrap();
    let now = Moment::from_nanos(0);
    let mut turn = Turn { now, registry, deadlines: Default::default(), room: 0 };
    let nobody = "127.0.0.1:1".parse().unwrap();
    let mut lists = [1, 2].map(|seed| List::new(nobody, 0, seed, callers(false)));
    let mut last = Span::ZERO;
    for _ in 0..20 {
        let [one, other] = lists.each_mut().map(|list| {
            assert!(list.fail("a trial", &mut turn));
            list.deadline.unwrap().since(now)
        });
        assert!(one != other && one.max(other) <= RETRY_MOST);
        last = one.min(other);
    }
    assert!(last >= RETRY_MOST * 0.5);
}

/// Turns that end at what falls due first, until the list has been called so many times more.
fn calls(
    list: &mut List,
    turn: &mut Turn,
    poll: &mut mio::Poll,
    times: usize,
    listener: &std::net::TcpListener,
) {
    for _ in 0..times {
        while list.open.is_some() {
            turn.now = turn.deadlines.next().unwrap();
            turn.deadlines.pop(turn.now);
            list.timed_out(|| true, turn);
        }
        turn.now = turn.deadlines.next().unwrap();
        turn.deadlines.pop(turn.now);
        list.timed_out(|| true, turn);
        up(list, turn, poll);
        let _ = listener.accept().unwrap();
    }
}

/// Awaits that the call is up.
fn up(list: &mut List, turn: &mut Turn, poll: &mut mio::Poll) {
    let mut events = mio::Events::with_capacity(8);
    let key = list.open.unwrap();
    while !list.watches.get(key).unwrap().up {
        poll.poll(&mut events, None).unwrap();
        list.ready(key, turn, |_, _| {});
    }
}

fn followed(pushed: bool) -> (List, Turn, mio::Poll, std::net::TcpListener, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut poll = mio::Poll::new().unwrap();
    let registry = poll.registry().try_clone().unwrap();
    let now = Moment::from_nanos(1);
    let mut turn = Turn { now, registry, deadlines: Default::default(), room: 0 };
    let mut list = List::new(listener.local_addr().unwrap(), 0, 1, callers(pushed));
    list.watch(|| true, &mut turn);
    up(&mut list, &mut turn, &mut poll);
    let (mut peer, _) = listener.accept().unwrap();
    std::io::Write::write_all(&mut peer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        .unwrap();
    let (key, mut events) = (list.open.unwrap(), mio::Events::with_capacity(8));
    while !list.watches.get(key).unwrap().heard {
        poll.poll(&mut events, None).unwrap();
        list.ready(key, &mut turn, |_, _| {});
    }
    (list, turn, poll, listener, peer)
}

/// Danger: what a watch misses that has fallen silent counts as told 6 s later, also if the call that follows it is
/// silent as well.
#[test]
fn after_a_silence_a_call_that_is_lost_leaves_time_for_another() {
    let (mut list, mut turn, mut poll, listener, _peer) = followed(false);
    let heard = turn.now;
    // The first is lost. The second is made in time.
    calls(&mut list, &mut turn, &mut poll, 2, &listener);
    assert!(turn.now.since(heard) < Span::from_millis(5500), "{:?}", turn.now.since(heard));
    // Later ones have all the time that a busy service may take.
    let second = turn.now;
    calls(&mut list, &mut turn, &mut poll, 1, &listener);
    assert!(turn.now.since(second) > CALL_IN);
}

/// Danger: an agent that was down would be called anew seconds after it is back, while what it has counts as told.
#[test]
fn an_agent_that_is_silent_is_called_again_within_little_more_than_a_second() {
    let (mut list, mut turn, mut poll, listener, _peer) = followed(true);
    calls(&mut list, &mut turn, &mut poll, 1, &listener);
    for _ in 0..20 {
        let before = turn.now;
        calls(&mut list, &mut turn, &mut poll, 1, &listener);
        assert!(turn.now.since(before) <= AGENT_ANSWER_MOST + AGENT_RETRY, "{:?}", turn.now.since(before));
    }
}
