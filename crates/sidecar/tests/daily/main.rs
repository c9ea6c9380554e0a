//! The days of daily service, a file for each part.

mod long;
mod operator;
mod settings;
mod upgrade;

#[path = "../stand_ins/mod.rs"]
mod stand_ins;
