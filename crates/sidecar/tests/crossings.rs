//! Pairs of events that coincide, on real sockets with fake peers: each test sets up the coincidence and waits until
//! it is there. `docs/crossings.md` lists the pairs.

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
