//! All socket input and output, by kind of peer, and what the peers share.

pub mod body;
pub mod clients;
pub mod connection;
pub mod deadlines;
pub mod discovery;
pub mod http;
pub mod operator;
pub mod servers;
pub mod slots;

/// Delay before an operation that failed for lack of a file descriptor is retried, if none could be freed.
pub const DESCRIPTOR_RETRY: appledyke::units::Span = appledyke::units::Span::from_millis(100);

/// The current turn of the event loop: its time, and the registry and deadlines that all peers share.
pub struct Turn {
    pub now: appledyke::units::Moment,
    pub registry: mio::Registry,
    pub deadlines: deadlines::Deadlines,
    /// The number of connections that may still be opened or accepted by all peers together; below 0, one must be closed.
    pub free_connections: isize,
}

impl Turn {
    /// A deadline for what this turn leaves to the next one, which then does not wait for events.
    pub fn next_turn(&self) -> appledyke::units::Moment {
        self.now + appledyke::units::Span::from_nanos(1)
    }
}
