//! Starts processes, and sends them signals to kill, stop, continue or terminate them. Their log lines are stored and can be
//! waited for.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Interval between checks of whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Log lines of each process that a failed test prints.
const PRINTED_LINES: usize = 30;

/// Finds a program of this workspace in the build folder of the running program or of its tests.
///
/// # Errors
/// The program was not found there.
pub fn workspace_program(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let found =
        own.ancestors().skip(1).take(2).map(|folder| folder.join(name)).find(|program| program.exists());
    found.ok_or_else(|| {
        format!(
            "{name}: not found next to {}; build the whole workspace, or pass the program's path",
            own.display()
        )
    })
}

#[derive(Default)]
struct Log {
    lines: Mutex<(Vec<String>, bool)>,
    more: Condvar,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, (Vec<String>, bool)> {
        self.lines.lock().expect("no reader panics with the lock")
    }
}

/// A program with its arguments and environment. It can be started any number of times.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    pub name: String,
    pub program: PathBuf,
    pub arguments: Vec<String>,
    pub variables: Vec<(String, String)>,
}

/// A running process. It is killed on drop.
pub struct Process {
    pub name: String,
    child: Child,
    log: Arc<Log>,
    stopped: bool,
}

impl ProcessSpec {
    pub fn new(name: &str, program: &Path, arguments: &[&str]) -> ProcessSpec {
        ProcessSpec {
            name: name.to_string(),
            program: program.to_path_buf(),
            arguments: arguments.iter().map(ToString::to_string).collect(),
            variables: Vec::new(),
        }
    }

    /// # Errors
    /// The program's path, and why it can't be started.
    pub fn start(&self) -> Result<Process, String> {
        let named = |e: std::io::Error| format!("{}: {e}", self.program.display());
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).envs(self.variables.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(named)?;
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log = Arc::new(Log::default());
        let own = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                own.lock().0.push(line);
                own.more.notify_all();
            }
            own.lock().1 = true;
            own.more.notify_all();
        });
        Ok(Process { name: self.name.clone(), child, log, stopped: false })
    }
}

impl Process {
    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // A process that has exited but was not waited for keeps its id, so the signal cannot reach another process.
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn stop(&mut self) {
        self.signal(Signal::STOP);
        self.stopped = true;
    }

    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.stopped = false;
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits for the process to exit; `None` on a timeout.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if Instant::now() >= until => return None,
                _ => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Waits for the first log line at or after index `from` that matches. Returns it with the index of the next line.
    ///
    /// # Errors
    /// The process's name and last lines, on a timeout or if the process ends first.
    pub fn wait_for_line(
        &self,
        from: usize,
        within: Duration,
        wanted: impl Fn(&str) -> bool,
    ) -> Result<(String, usize), String> {
        let until = Instant::now() + within;
        let (mut at, mut log) = (from, self.log.lock());
        loop {
            while at < log.0.len() {
                at += 1;
                if wanted(&log.0[at - 1]) {
                    return Ok((log.0[at - 1].clone(), at));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if log.1 || left.is_zero() {
                let last = &log.0[log.0.len().saturating_sub(8)..];
                return Err(format!(
                    "{}: no matching log line; the last lines:\n{}",
                    self.name,
                    last.join("\n")
                ));
            }
            log = self.log.more.wait_timeout(log, left).expect("no reader panics with the lock").0;
        }
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().0.clone()
    }

    /// Prints the end of the log, for a test that has failed.
    fn print_last_lines(&self) {
        let lines = self.log();
        for line in &lines[lines.len().saturating_sub(PRINTED_LINES)..] {
            eprintln!("{}: {line}", self.name);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            self.print_last_lines();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOON: Duration = Duration::from_secs(10);

    fn shell(script: &str) -> Process {
        ProcessSpec::new("shell", Path::new("/bin/sh"), &["-c", script]).start().unwrap()
    }

    #[test]
    fn a_process_is_logged_stopped_continued_and_terminated() {
        let mut process = shell(
            "trap 'echo leaves >&2; exit 3' TERM; echo up >&2; while :; do echo on >&2; sleep 0.01; done",
        );
        process.wait_for_line(0, SOON, |line| line == "up").unwrap();
        process.stop();
        // Danger: lines written before the stop may arrive after it, so the test waits for 100 ms without a line.
        let until = Instant::now() + SOON;
        let quiet =
            || process.wait_for_line(process.log().len(), Duration::from_millis(100), |_| true).is_err();
        while !quiet() {
            assert!(Instant::now() < until, "a stopped process still writes lines");
        }
        assert!(process.is_stopped());
        process.resume();
        process.wait_for_line(process.log().len(), SOON, |line| line == "on").unwrap();
        process.terminate();
        process.wait_for_line(0, SOON, |line| line == "leaves").unwrap();
        assert_eq!(process.wait_for_exit(SOON).unwrap().code(), Some(3));
        // The wait fails at once when the process has ended.
        assert!(process.wait_for_line(0, SOON, |line| line == "never").unwrap_err().contains("leaves"));
    }

    #[test]
    fn a_killed_process_ends_even_while_stopped() {
        let mut process = shell("echo up >&2; while :; do sleep 1; done");
        process.wait_for_line(0, SOON, |line| line == "up").unwrap();
        process.stop();
        process.kill();
        assert!(process.wait_for_exit(Duration::ZERO).is_some());
        assert!(ProcessSpec::new("none", Path::new("/nowhere/at-all"), &[]).start().is_err());
    }
}
