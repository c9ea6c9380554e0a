//! What the machine has, and what processes take of it: read from the system's own accounts.

use std::fs;

fn field(text: &str, key: &str) -> Option<u64> {
    text.lines().find_map(|line| line.strip_prefix(key)?.split_whitespace().next()?.parse().ok())
}

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Processor time of all its threads, in nanoseconds.
    pub cpu_ns: u64,
    /// Memory now and at the most, in bytes.
    pub rss: u64,
    pub hwm: u64,
}

/// Nothing where it has ended.
pub fn taken(id: u32) -> Option<Taken> {
    let mut cpu_ns = 0;
    for task in fs::read_dir(format!("/proc/{id}/task")).ok()?.flatten() {
        let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        cpu_ns += text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    }
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let bytes = |key: &str| field(&status, key).unwrap_or(0) * 1024;
    Some(Taken { cpu_ns, rss: bytes("VmRSS:"), hwm: bytes("VmHWM:") })
}

/// What a run must fit into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// In bytes: all, and what can be had now.
    pub memory: u64,
    pub available: u64,
    /// That a process may have.
    pub open_files: u64,
}

impl Machine {
    pub fn here() -> Machine {
        let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let bytes = |key: &str| field(&text, key).unwrap_or(0) * 1024;
        let files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Machine {
            memory: bytes("MemTotal:"),
            available: bytes("MemAvailable:"),
            open_files: files.unwrap_or(u64::MAX),
        }
    }
}
