//! `appledyke-daemon`: a few of these agree on a fleet's settings and members. What is decided stands in the packages
//! `appledyke-consensus` and `appledyke-fleet`; here it is carried out on sockets and a folder.

pub mod agent;
pub mod ask;
pub mod configuration;
pub mod folder;
pub mod serve;
