//! What goes over sockets, by peer, and what the peers share.

pub mod body;
pub mod clients;
pub mod connection;
pub mod deadlines;
pub mod discovery;
pub mod http;
pub mod operator;
pub mod servers;
pub mod slots;

/// Until what there was no descriptor for is tried again, where none could be made free.
pub const DESCRIPTOR_AGAIN: appledyke::units::Span = appledyke::units::Span::from_millis(100);

/// The loop's present turn: its time, and where every peer hangs its sockets and deadlines.
pub struct Turn {
    pub now: appledyke::units::Moment,
    pub registry: mio::Registry,
    pub deadlines: deadlines::Deadlines,
    /// Connections that may yet be opened or taken, by all peers together; under 0, one has to go.
    pub room: isize,
}
