//! All deadlines of the sidecar, in one ordered set.

use std::collections::BTreeSet;

use appledyke::units::Moment;

use super::slots::Key;

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Wake,
    Client(Key),
    Server(Key),
    Discovery,
    Accept,
    /// The next step of turning clients away, for a drain or before the process leaves.
    TurnAway,
    /// A check for other processes that serve this address.
    OtherProcesses,
    Operator(Key),
    /// Operators' connections wait to be accepted for lack of a file descriptor.
    Operators,
    /// The settings file is to be read again, after it could not be opened for lack of a file descriptor.
    Settings,
    /// This process is to report its state to the fleet's daemon, or to try another daemon.
    Fleet,
}

#[derive(Default)]
pub struct Deadlines(BTreeSet<(Moment, Due)>);

impl Deadlines {
    pub fn add(&mut self, at: Moment, due: Due) {
        self.0.insert((at, due));
    }

    /// Moves a deadline from one moment to another, or removes it. The caller keeps the current moment in `from`.
    pub fn reschedule(&mut self, due: Due, from: &mut Option<Moment>, to: Option<Moment>) {
        if let Some(old) = std::mem::replace(from, to) {
            self.0.remove(&(old, due));
        }
        if let Some(new) = to {
            self.0.insert((new, due));
        }
    }

    pub fn next(&self) -> Option<Moment> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first deadline that has passed.
    pub fn pop(&mut self, now: Moment) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, due)| due)
    }
}
