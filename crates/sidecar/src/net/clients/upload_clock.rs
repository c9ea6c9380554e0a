//! When a client may have written the last byte of a request that passes through in pieces: its time for the answer runs
//! from then. While its endpoint reads slowly, what the client has written waits in buffers that nobody can look into, so
//! the earliest possible time counts. No input or output.

use std::collections::VecDeque;

use appledyke::units::Moment;

/// The most bytes that a client's machine takes from it before they are sent: the default maximum of Linux.
const MAX_CLIENT_SEND_BUFFER: u64 = 4 << 20;
/// The distance in bytes between two marks.
const MARK_DISTANCE: u64 = 256 * 1024;

/// What has arrived of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// All that the client has written has been read, and more is to come.
    Partial,
    /// More may be waiting in the socket, which is not read while its endpoint takes nothing. `missing` is the number of
    /// bytes that have not been read, if the request states its length.
    Blocked { missing: Option<u64> },
    /// The last byte has been read.
    Complete,
}

/// How far a request had been read at some time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    read: u64,
    at: Moment,
}

/// The earliest time at which a client may have written the last byte of its request.
#[derive(Clone, Debug, Default)]
pub struct UploadClock {
    /// Since when input may have been waiting that has not been read.
    blocked_since: Option<Moment>,
    /// Progress since then, oldest first.
    marks: VecDeque<Mark>,
    runs_since: Option<Moment>,
}

impl UploadClock {
    /// Takes note of what has arrived by `now`. `read` counts the bytes read from the connection, which may have arrived
    /// from `earliest` on; `receive_buffer` looks up the size in bytes of its socket's buffer.
    pub fn note(
        &mut self,
        arrival: Arrival,
        read: u64,
        receive_buffer: impl FnOnce() -> u64,
        earliest: Moment,
        now: Moment,
    ) {
        let capacity = || receive_buffer() + MAX_CLIENT_SEND_BUFFER;
        match arrival {
            Arrival::Partial => *self = UploadClock::default(),
            Arrival::Blocked { missing } => {
                self.blocked_since.get_or_insert(earliest);
                if self.marks.back().is_none_or(|mark| read >= mark.read + MARK_DISTANCE) {
                    self.marks.push_back(Mark { read, at: now });
                }
                let end = read + missing.unwrap_or(0);
                self.runs_since = self.earliest_write(end, read, capacity());
            }
            Arrival::Complete if self.runs_since.is_some() || self.blocked_since.is_some() => {
                let bound = self.earliest_write(read, read, capacity());
                self.runs_since = self.runs_since.max(bound);
                (self.blocked_since, self.marks) = (None, VecDeque::new());
            }
            Arrival::Complete => self.runs_since = Some(earliest),
        }
    }

    /// Since when the client's time runs; `None` while it is surely still writing.
    pub fn runs_since(&self) -> Option<Moment> {
        self.runs_since
    }

    /// The earliest time at which the byte at `end` can have been written: the client's machine takes a byte only once
    /// all but the last `capacity` bytes before it have been read here.
    fn earliest_write(&mut self, end: u64, read: u64, capacity: u64) -> Option<Moment> {
        let blocked_since = self.blocked_since?;
        let must_be_read = end.saturating_sub(capacity);
        if must_be_read > read {
            return None;
        }
        while self.marks.get(1).is_some_and(|mark| mark.read <= must_be_read) {
            self.marks.pop_front();
        }
        let mark = self.marks.front().filter(|mark| mark.read <= must_be_read);
        Some(mark.map_or(blocked_since, |mark| mark.at.max(blocked_since)))
    }
}

#[cfg(test)]
#[path = "upload_clock_tests.rs"]
mod tests;
