//! A daemon whose members all come at one moment.

use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use appledyke_lab::rig::fleet::{Daemons, Shape};

const BASE: &str = include_str!("../../../examples/sidecar.json");
/// More than the usual backlog of 128, and what a system that has its usual bound lets wait.
const MEMBERS: usize = 1000;
/// Under the second after which a system tries again to connect.
const AT_ONCE: Duration = Duration::from_millis(700);

/// Danger: when a leader is lost all its members come to the next one together. Those for whom its backlog has no room are
/// dropped without a word, and wait a second and more.
#[test]
fn a_thousand_that_come_while_it_is_busy_are_all_taken_at_once() {
    let bound = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap();
    let bound: usize = bound.trim().parse().unwrap();
    assert!(bound > MEMBERS, "this system lets {bound} wait at the most: the test says nothing there");
    let root = std::env::temp_dir().join(format!("appledyke-backlog-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
    let shape = Shape { daemons: 1, ..Shape::default() };
    let mut daemons = Daemons::new(&root, program, BASE, shape).unwrap();
    daemons.start_all().unwrap();
    let place = daemons.replicas().next().unwrap();
    let at = daemons.own_address(place).unwrap();
    daemons.process(place).stop();
    let mut taken = Vec::new();
    for number in 0..MEMBERS {
        let came = TcpStream::connect_timeout(&at, AT_ONCE);
        taken.push(came.unwrap_or_else(|e| panic!("{number} of {MEMBERS}: {e}")));
    }
    daemons.process(place).resume();
    drop(daemons);
    let _ = std::fs::remove_dir_all(&root);
}
