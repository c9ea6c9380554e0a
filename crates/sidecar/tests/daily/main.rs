//! Daily operation: one file for each area.

mod long;
mod operator;
mod settings;
mod upgrade;

#[path = "../stand_ins/mod.rs"]
mod stand_ins;
