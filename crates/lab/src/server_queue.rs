//! An endpoint's server queue, shared by simulated and emulated endpoints. Cores are assigned in order of arrival;
//! a job that finds the queue full is rejected. It reads no clock: callers pass the time in.

use std::collections::VecDeque;

use appledyke::units::{Moment, Span};

/// The result of admitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A core runs it until this time.
    Works(Moment),
    Waits,
    Full,
}

#[derive(Debug)]
pub struct ServerQueue {
    cores: usize,
    places: usize,
    inside: usize,
    working: usize,
    /// Jobs waiting for a core, with their service times.
    waiting: VecDeque<(usize, Span)>,
}

impl ServerQueue {
    pub fn new(cores: usize, places: usize) -> ServerQueue {
        ServerQueue { cores, places, inside: 0, working: 0, waiting: VecDeque::new() }
    }

    pub fn inside(&self) -> usize {
        self.inside
    }

    pub fn admit(&mut self, now: Moment, job: usize, takes: Span) -> Admission {
        if self.inside >= self.places {
            return Admission::Full;
        }
        self.inside += 1;
        if self.working < self.cores {
            self.working += 1;
            return Admission::Works(now + takes);
        }
        self.waiting.push_back((job, takes));
        Admission::Waits
    }

    /// A core finished its job, which stays in the server until `leave`. Returns the next job that the core runs, and
    /// its end time.
    pub fn core_done(&mut self, now: Moment) -> Option<(usize, Moment)> {
        match self.waiting.pop_front() {
            Some((job, takes)) => Some((job, now + takes)),
            None => {
                self.working -= 1;
                None
            }
        }
    }

    /// Frees a job's place, once its answer was sent or dropped.
    pub fn leave(&mut self) {
        self.inside -= 1;
    }

    /// Removes a job that is still waiting for a core. Returns whether it was found.
    pub fn withdraw(&mut self, job: usize) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(waiting, _)| *waiting != job);
        let found = self.waiting.len() < before;
        self.inside -= usize::from(found);
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn jobs_run_in_order_and_a_full_server_rejects() {
        let (t0, ms) = (Moment::from_nanos(0), Span::from_millis);
        let mut queue = ServerQueue::new(1, 3);
        assert_eq!(queue.admit(t0, 1, ms(10)), Admission::Works(t0 + ms(10)));
        assert_eq!(queue.admit(t0, 2, ms(5)), Admission::Waits);
        assert_eq!(queue.admit(t0, 3, ms(7)), Admission::Waits);
        assert_eq!(queue.admit(t0, 4, ms(7)), Admission::Full);
        // Removing the first waiting job moves the second up; a running job cannot be removed.
        assert!(queue.withdraw(2) && !queue.withdraw(2) && !queue.withdraw(1));
        let at = t0 + ms(10);
        assert_eq!(queue.core_done(at), Some((3, at + ms(7))));
        queue.leave();
        assert_eq!((queue.inside(), queue.core_done(at + ms(7))), (1, None));
        // A job waiting for the next tier holds a place in the server, but no core.
        assert_eq!(queue.admit(at, 5, ms(1)), Admission::Works(at + ms(1)));
    }
}
