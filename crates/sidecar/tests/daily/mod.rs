//! The days of daily service, a file for each part.

mod long;
mod operator;
mod settings;
mod upgrade;
