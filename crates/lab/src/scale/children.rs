//! Child processes of the scale run, which are told on their standard input and tell on their standard output, a line of JSON
//! at a time.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A process that is told and heard. It is killed with this value.
pub struct Told<T> {
    child: Child,
    to: ChildStdin,
    pub from: Receiver<T>,
}

impl<T: DeserializeOwned + Send + 'static> Told<T> {
    /// Starts this program's own subcommand, and tells it how it is set up.
    ///
    /// # Errors
    /// Why it can't be started.
    pub fn start(program: &Path, subcommand: &str, setup: &impl Serialize) -> Result<Told<T>, String> {
        let named = |e: std::io::Error| format!("{} {subcommand}: {e}", program.display());
        let mut command = Command::new(program);
        command.arg(subcommand).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child = command.spawn().map_err(named)?;
        let (to, out) = (child.stdin.take().expect("piped"), child.stdout.take().expect("piped"));
        let (said, from) = channel();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let Ok(line) = serde_json::from_str(&line) else { return };
                if said.send(line).is_err() {
                    return;
                }
            }
        });
        let mut told = Told { child, to, from };
        told.tell(setup)?;
        Ok(told)
    }

    /// # Errors
    /// That it has ended.
    pub fn tell(&mut self, order: &impl Serialize) -> Result<(), String> {
        let line = serde_json::to_string(order).expect("orders have no form that cannot be written");
        writeln!(self.to, "{line}").map_err(|e| format!("process {}: {e}", self.child.id()))
    }

    /// What it says next.
    ///
    /// # Errors
    /// That nothing came in time, or that it has ended.
    pub fn hear(&self, within: Duration) -> Result<T, String> {
        self.from.recv_timeout(within).map_err(|e| format!("process {}: {e}", self.child.id()))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl<T> Drop for Told<T> {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a child is told, from its standard input, until that ends; each is handed on as it comes.
///
/// # Errors
/// The line that can't be read.
pub fn told<T: DeserializeOwned>(mut each: impl FnMut(T) -> bool) -> Result<(), String> {
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("standard input: {e}"))?;
        let order = serde_json::from_str(&line).map_err(|e| format!("standard input: {e}"))?;
        if !each(order) {
            break;
        }
    }
    Ok(())
}

/// Tells the process that began this one, on standard output. Returns whether that could be.
pub fn say(said: &impl Serialize) -> bool {
    let line = serde_json::to_string(said).expect("what is said has no form that cannot be written");
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).is_ok()
}
