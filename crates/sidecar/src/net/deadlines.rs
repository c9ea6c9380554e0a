//! All deadlines of the sidecar, in one ordered structure.

use std::collections::BTreeSet;

use appledyke::units::Moment;

use super::slots::Key;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Wake,
    Client(Key),
    Server(Key),
    Discovery,
    Accept,
    /// The clients are turned away further, for a drain or before leaving.
    Away,
    /// A look at which other processes serve this address.
    Others,
    Operator(Key),
    /// Callers wait at the operators' listener, and there was no descriptor for them.
    Operators,
    /// The file is to be read again, and there was no descriptor for it.
    Settings,
    /// This process is to say how it stands, or to ask another daemon.
    Fleet,
}

#[derive(Default)]
pub struct Deadlines(BTreeSet<(Moment, Due)>);

impl Deadlines {
    pub fn add(&mut self, at: Moment, due: Due) {
        self.0.insert((at, due));
    }

    /// Moves what was to fall due `from` one moment to another, or to none. The holder keeps the moment.
    pub fn shift(&mut self, due: Due, from: &mut Option<Moment>, to: Option<Moment>) {
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

    /// Takes out the first that is due.
    pub fn pop(&mut self, now: Moment) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, due)| due)
    }
}
