//! The clock of long requests, without sockets.

use super::*;

const RECEIVE_BUFFER: u64 = 1 << 20;
const CAPACITY: u64 = RECEIVE_BUFFER + MAX_CLIENT_SEND_BUFFER;

fn at(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

/// Notes each arrival, with the bytes read and the time in milliseconds, and returns since when the time then runs.
fn runs_since(arrivals: &[(Arrival, u64, u64)]) -> Option<Moment> {
    let mut clock = UploadClock::default();
    for (arrival, read, ms) in arrivals {
        clock.note(*arrival, *read, || RECEIVE_BUFFER, at(*ms), at(*ms));
    }
    clock.runs_since()
}

const BLOCKED: Arrival = Arrival::Blocked { missing: None };

#[test]
fn time_runs_from_the_last_byte_where_all_input_is_read() {
    assert_eq!(runs_since(&[(Arrival::Partial, 10, 1)]), None);
    assert_eq!(runs_since(&[(Arrival::Partial, 10, 1), (Arrival::Complete, 20, 5)]), Some(at(5)));
    // Later looks at a complete request change nothing.
    let twice = [(BLOCKED, 10, 2), (Arrival::Complete, 20, 5), (Arrival::Complete, 20, 9)];
    assert_eq!(runs_since(&twice), Some(at(2)));
}

#[test]
fn time_runs_from_the_first_unread_byte_where_an_endpoint_takes_nothing() {
    assert_eq!(runs_since(&[(Arrival::Partial, 10, 1), (BLOCKED, 20, 3), (BLOCKED, 20, 900)]), Some(at(3)));
    assert_eq!(runs_since(&[(BLOCKED, 20, 3), (Arrival::Partial, 30, 4)]), None);
    let short = Arrival::Blocked { missing: Some(CAPACITY) };
    assert_eq!(runs_since(&[(short, 20, 3), (short, 20, 900)]), Some(at(3)));
}

#[test]
fn client_that_has_more_to_write_than_the_buffers_hold_is_still_writing() {
    let long = Arrival::Blocked { missing: Some(CAPACITY + 1) };
    assert_eq!(runs_since(&[(long, 20, 3), (long, 20, 900)]), None);
    // Of a chunked body the end is not known: time runs from when the byte was read that made room for the latest.
    let steps = [(BLOCKED, 0, 0), (BLOCKED, CAPACITY, 1000), (BLOCKED, 2 * CAPACITY, 2000)];
    assert_eq!(runs_since(&steps[..2]), Some(at(0)));
    assert_eq!(runs_since(&steps), Some(at(1000)));
}
