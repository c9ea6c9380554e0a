//! Two events that cross, on real sockets among stand-ins: each crossing is held open until it is there, and awaited.
//! `docs/crossings.md` lists the pairs.

mod stand_ins;

#[path = "crossings/clients.rs"]
mod clients;
#[path = "crossings/descriptors.rs"]
mod descriptors;
#[path = "crossings/edges.rs"]
mod edges;
#[path = "crossings/leaving.rs"]
mod leaving;
#[path = "crossings/lists.rs"]
mod lists;
#[path = "crossings/retries.rs"]
mod retries;
#[path = "crossings/time_left.rs"]
mod time_left;
