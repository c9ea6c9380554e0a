//! Daily operation: one file for each area.

mod long;
mod messages;
mod operator;
mod pauses;
mod settings;
mod upgrade;

#[path = "../stand_ins/mod.rs"]
mod stand_ins;
