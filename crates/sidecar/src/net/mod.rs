//! What goes over sockets, by peer, and what the peers share.

pub mod body;
pub mod clients;
pub mod connection;
pub mod deadlines;
pub mod http;
pub mod list;
pub mod operator;
pub mod servers;
pub mod slots;

/// The loop's present turn: its time, and where every peer hangs its sockets and deadlines.
pub struct Turn {
    pub now: appledyke::units::Moment,
    pub registry: mio::Registry,
    pub deadlines: deadlines::Deadlines,
    /// Connections that may yet be opened or taken, by all peers together; under 0, one has to go.
    pub room: isize,
}
