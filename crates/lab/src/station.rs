//! How an endpoint serves: the same rules for a simulated endpoint and for one on a socket. Cores are taken in
//! the order of arrival; whoever finds all places taken is turned away. No clock: the moments come in.

use std::collections::VecDeque;

use appledyke::units::{Moment, Span};

/// What happens to a job that is admitted, or goes on after a wait for the next tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A core works on it until then.
    Works(Moment),
    Waits,
    Full,
}

#[derive(Debug)]
pub struct Station {
    cores: usize,
    places: usize,
    inside: usize,
    working: usize,
    /// Jobs that wait for a core, with the time that one takes for each.
    waiting: VecDeque<(usize, Span)>,
}

impl Station {
    pub fn new(cores: usize, places: usize) -> Station {
        Station { cores, places, inside: 0, working: 0, waiting: VecDeque::new() }
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

    /// A core is done with its job, which stays inside until it leaves. Returns the job that it takes next,
    /// and until when it works on that.
    pub fn core_done(&mut self, now: Moment) -> Option<(usize, Moment)> {
        match self.waiting.pop_front() {
            Some((job, takes)) => Some((job, now + takes)),
            None => {
                self.working -= 1;
                None
            }
        }
    }

    /// A job's answer has gone out, or what it would have been is known.
    pub fn leave(&mut self) {
        self.inside -= 1;
    }

    /// A job that still waits for a core is wanted no more. Returns whether it was found.
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
    fn cores_are_taken_in_order_and_places_run_out() {
        let (t0, ms) = (Moment::from_nanos(0), Span::from_millis);
        let mut station = Station::new(1, 3);
        assert_eq!(station.admit(t0, 1, ms(10)), Admission::Works(t0 + ms(10)));
        assert_eq!(station.admit(t0, 2, ms(5)), Admission::Waits);
        assert_eq!(station.admit(t0, 3, ms(7)), Admission::Waits);
        assert_eq!(station.admit(t0, 4, ms(7)), Admission::Full);
        // The one in front goes, so the next is the other; one that a core works on cannot be taken out.
        assert!(station.withdraw(2) && !station.withdraw(2) && !station.withdraw(1));
        let at = t0 + ms(10);
        assert_eq!(station.core_done(at), Some((3, at + ms(7))));
        station.leave();
        assert_eq!((station.inside(), station.core_done(at + ms(7))), (1, None));
        // A job that waits for the next tier holds its place, but no core.
        assert_eq!(station.admit(at, 5, ms(1)), Admission::Works(at + ms(1)));
    }
}
