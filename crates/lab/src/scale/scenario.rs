//! What a scale run is to be, from its file, and whether it fits on this machine.

use std::fs;
use std::path::Path;

use appledyke_fleet::budgets::Resource;
use appledyke_fleet::state::MAX_SETTINGS_BYTES;
use serde::Deserialize;

use super::machine::Machine;
use super::{faults, referee, shape};

const ROUNDS_MOST: usize = 20;
const PHASE_MOST_MS: u64 = 600_000;
/// Settings that are well have about so many bytes at the least.
const CHANGE_LEAST: usize = 256;
/// Processes of a run at the most, this one among them.
const PROCESSES_MOST: usize = 200;
/// The part of the machine's memory that a run may take.
const MEMORY_PART: f64 = 0.5;
/// Memory that is counted with: for each process; for each member, in its process and in all daemons; and that many times the
/// largest settings, which a member's buffer has grown to.
const MB_A_PROCESS: f64 = 16.0;
const MB_A_MEMBER: f64 = 0.3;
const SETTINGS_TIMES: f64 = 1.5;
/// Open files of a member in its process, in the daemon that leads and at the list's service, and some of each process; in
/// this process, of each daemon and real sidecar.
const FILES_A_MEMBER: u64 = 2;
const FILES_A_PROCESS: u64 = 64;
const FILES_A_REAL: u64 = 40;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Members in all, the real sidecars among them.
    pub sizes: Vec<usize>,
    /// Each size is run so often.
    pub rounds: usize,
    /// Hollow members in one process.
    pub per_process: usize,
    /// Between two reports of a member.
    pub beat_ms: u64,
    pub election_ms: u64,
    pub daemon_beat_ms: u64,
    pub lease_ms: u64,
    /// The size that figures are worked out for from their lines.
    pub target: usize,
    pub shape: shape::Numbers,
    pub phases: Phases,
    /// Played at the largest size, once all has been measured; none if it is left out.
    pub faults: Option<faults::Terms>,
    /// Between two changes of the settings while faults are played, and their size.
    #[serde(default = "fault_put_every_ms")]
    pub fault_put_every_ms: u64,
    #[serde(default = "fault_put_bytes")]
    pub fault_put_bytes: usize,
    #[serde(default)]
    pub limits: referee::Limits,
    /// The first hollow process stands still for so long in each fleet: a flaw, to see the run void.
    #[serde(default)]
    pub stall_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    pub settle_ms: u64,
    pub idle_ms: u64,
    /// What is heard may be as old as records are kept: before that a share would be of an earlier rate.
    pub evidence_settle_ms: u64,
    pub evidence_ms: u64,
    /// Records that each member books a beat.
    pub evidence_each: u32,
    pub budgets_ms: u64,
    /// How many budgets move.
    pub budgets: usize,
    /// Settings of these sizes are put one after another.
    pub change_bytes: Vec<usize>,
    /// The same for one service of a usual size. Where there are any, members say what they belong to.
    #[serde(default)]
    pub scoped_bytes: Vec<usize>,
}

fn fault_put_every_ms() -> u64 {
    2000
}
fn fault_put_bytes() -> usize {
    4096
}

impl Scenario {
    /// # Errors
    /// The file, and the key that is at fault.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        Scenario::parse(&text).map_err(named)
    }

    /// # Errors
    /// The key that is at fault.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let reader = toml::Deserializer::parse(text).map_err(|e| e.message().to_string())?;
        let read: Scenario = serde_path_to_error::deserialize(reader)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        read.check()?;
        Ok(read)
    }

    /// With other sizes, by commas, and other rounds.
    ///
    /// # Errors
    /// The option that is at fault.
    pub fn with(mut self, sizes: Option<&str>, rounds: Option<usize>) -> Result<Scenario, String> {
        if let Some(sizes) = sizes {
            let read = |size: &str| {
                size.parse().map_err(|_| format!("--sizes: expected whole numbers, not '{size}'"))
            };
            self.sizes = sizes.split(',').map(read).collect::<Result<_, _>>()?;
        }
        self.rounds = rounds.unwrap_or(self.rounds);
        self.check().map_err(|why| format!("--sizes, --rounds: {why}"))?;
        Ok(self)
    }

    fn check(&self) -> Result<(), String> {
        if self.sizes.is_empty() {
            return Err("sizes: expected at least one".to_string());
        }
        for (at, size) in self.sizes.iter().enumerate() {
            if *size <= self.shape.real {
                let least = self.shape.real + 1;
                return Err(format!("sizes[{at}]: expected {least} or more, not {size}"));
            }
            let shape =
                shape::Shape::draw(&self.shape.at(*size), 1).map_err(|e| format!("sizes[{at}]: {e}"))?;
            if let Some(terms) = self.faults.as_ref().filter(|_| Some(size) == self.sizes.iter().max()) {
                faults::Schedule::draw(terms, &shape, 1)?;
            }
        }
        if !(1..=ROUNDS_MOST).contains(&self.rounds) {
            return Err(format!("rounds: expected 1 to {ROUNDS_MOST}, not {}", self.rounds));
        }
        for (key, value) in [
            ("per_process", self.per_process as u64),
            ("beat_ms", self.beat_ms),
            ("election_ms", self.election_ms),
            ("daemon_beat_ms", self.daemon_beat_ms),
            ("lease_ms", self.lease_ms),
            ("target", self.target as u64),
            ("fault_put_every_ms", self.fault_put_every_ms),
        ] {
            if value == 0 {
                return Err(format!("{key}: expected a positive whole number, not 0"));
            }
        }
        let phases = &self.phases;
        for (key, value) in [
            ("settle_ms", phases.settle_ms),
            ("idle_ms", phases.idle_ms),
            ("evidence_settle_ms", phases.evidence_settle_ms),
            ("evidence_ms", phases.evidence_ms),
            ("budgets_ms", phases.budgets_ms),
        ] {
            if value > PHASE_MOST_MS {
                return Err(format!("phases.{key}: expected {PHASE_MOST_MS} at the most, not {value}"));
            }
        }
        let most = Resource::ALL.len();
        if phases.budgets > most {
            return Err(format!("phases.budgets: expected 0 to {most}, not {}", phases.budgets));
        }
        let named = |key: &'static str, sizes: &[usize]| {
            let sizes: Vec<usize> = sizes.to_vec();
            sizes.into_iter().enumerate().map(move |(at, bytes)| (format!("phases.{key}[{at}]"), bytes))
        };
        let sizes = named("change_bytes", &phases.change_bytes);
        let sizes = sizes.chain(named("scoped_bytes", &phases.scoped_bytes));
        for (key, bytes) in sizes.chain([("fault_put_bytes".to_string(), self.fault_put_bytes)]) {
            if !(CHANGE_LEAST..=MAX_SETTINGS_BYTES).contains(&bytes) {
                return Err(format!("{key}: expected {CHANGE_LEAST} to {MAX_SETTINGS_BYTES}, not {bytes}"));
            }
        }
        self.limits.check()
    }

    /// Whether members say what they belong to.
    pub fn is_scoped(&self) -> bool {
        !self.phases.scoped_bytes.is_empty()
    }

    /// Processes of a run at this size.
    pub fn processes(&self, size: usize) -> usize {
        // Beside the real ones this one and the list's service.
        self.shape.daemons + self.shape.real + (size - self.shape.real).div_ceil(self.per_process) + 2
    }

    fn mb(&self, size: usize) -> f64 {
        let settings = self.phases.change_bytes.iter().max().copied().unwrap_or(0);
        let each = MB_A_MEMBER + SETTINGS_TIMES * settings as f64 / 1e6;
        self.processes(size) as f64 * MB_A_PROCESS + size as f64 * each
    }

    /// Files that the process which has most of them has open: one of hollow members, the leader, or this one.
    fn files(&self, size: usize) -> u64 {
        let hollow = FILES_A_MEMBER * self.per_process.min(size) as u64;
        let real = FILES_A_REAL * (self.shape.real + self.shape.daemons * self.shape.daemons) as u64;
        FILES_A_PROCESS + hollow.max(size as u64).max(real)
    }

    fn fits(&self, size: usize, machine: &Machine) -> Result<(), String> {
        let processes = self.processes(size);
        if processes >= PROCESSES_MOST {
            return Err(format!("{processes} processes, and fewer than {PROCESSES_MOST} may be"));
        }
        let (mb, half) = (self.mb(size), machine.memory as f64 * MEMORY_PART / 1e6);
        let free = machine.available as f64 / 1e6;
        if mb > half.min(free) {
            return Err(format!(
                "some {mb:.0} MB of memory, of which half of this machine's is {half:.0} and {free:.0} are free"
            ));
        }
        let files = self.files(size);
        if files > machine.open_files {
            return Err(format!("{files} open files in a process, which may have {}", machine.open_files));
        }
        Ok(())
    }

    /// # Errors
    /// The first size that this machine does not hold, why, and which would do.
    pub fn check_fits(&self, machine: &Machine) -> Result<(), String> {
        for (at, size) in self.sizes.iter().enumerate() {
            if let Err(why) = self.fits(*size, machine) {
                let least = self.shape.real + 1;
                let (mut low, mut high) = (least - 1, *size);
                while high - low > 1 {
                    let middle = low + (high - low) / 2;
                    if self.fits(middle, machine).is_ok() { low = middle } else { high = middle }
                }
                let would = if low < least { "none would do".to_string() } else { format!("{low} would do") };
                return Err(format!("sizes[{at}]: {size} members need {why}; {would}"));
            }
        }
        Ok(())
    }
}
