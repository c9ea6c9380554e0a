//! The agent of a release target: polls the fleet for its task, reports that the action begins before it runs the operator's
//! command, and reports how the command ended. It reports nothing whose outcome it does not know.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use appledyke_fleet::messages::{OperatorReply, OperatorRequest};
use appledyke_fleet::releases::{AgentTask, ReleaseUpdate, Stage, TargetKind};

use crate::client;

/// Interval at which the agent polls for a task.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a request to the fleet.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a running command is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

pub struct Agent {
    pub daemons: BTreeMap<u16, SocketAddr>,
    pub fleet: String,
    /// The sidecar or endpoint that this agent acts on.
    pub target: String,
    /// Drawn at the start; tells this agent's actions from those that another agent has begun.
    pub token: u64,
}

/// Runs the command of a task and waits for its end or its timeout.
fn run_command(task: &AgentTask) -> Result<(), String> {
    let program = &task.command[0];
    let with_program = |e: std::io::Error| format!("{program}: {e}");
    let mut command = Command::new(program);
    command.args(&task.command[1..]).stdin(Stdio::null());
    let mut child = command.spawn().map_err(with_program)?;
    let deadline = Instant::now() + Duration::from_millis(task.timeout_ms);
    loop {
        match child.try_wait().map_err(with_program)? {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("{program}: {status}")),
            None if Instant::now() >= deadline => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{program}: killed after the timeout of {} ms", task.timeout_ms));
            }
            None => std::thread::sleep(CHECK_INTERVAL),
        }
    }
}

impl Agent {
    fn ask(&self, request: &OperatorRequest) -> Result<OperatorReply, String> {
        client::ask_fleet(&self.daemons, &self.fleet, request, REQUEST_TIMEOUT)
    }

    fn send_update(&self, update: ReleaseUpdate) -> Result<OperatorReply, String> {
        self.ask(&OperatorRequest::Release(update))
    }

    fn advance(&self, task: &AgentTask, to: Stage) -> ReleaseUpdate {
        let (release, target, started_at) = (task.release.clone(), task.target.clone(), task.started_at);
        ReleaseUpdate::AdvanceTransition { release, target, started_at, to, agent: self.token }
    }

    /// Polls for tasks until the process is killed.
    pub fn run(&self) {
        // This agent runs each action once, even if a reply is lost.
        let mut results: BTreeMap<u64, Result<(), String>> = BTreeMap::new();
        let mut reported = BTreeSet::new();
        loop {
            match self.ask(&OperatorRequest::AgentTask(self.target.clone())) {
                Ok(OperatorReply::AgentTask(Some(task))) => {
                    self.handle_task(&task, &mut results, &mut reported)
                }
                Ok(_) => {}
                Err(what) => tracing::warn!("{what}"),
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn handle_task(
        &self,
        task: &AgentTask,
        results: &mut BTreeMap<u64, Result<(), String>>,
        reported: &mut BTreeSet<u64>,
    ) {
        match task.stage {
            Stage::Drained => {
                // Danger: were the action begun before the fleet has recorded that, another agent could begin it again.
                match self.send_update(self.advance(task, Stage::ActionRunning)) {
                    Ok(OperatorReply::Done) => self.run_action(task, results),
                    Ok(OperatorReply::Refused(why)) => tracing::info!("action not started: {why}"),
                    // The next poll shows whether the update was committed.
                    other => tracing::warn!("{other:?}"),
                }
            }
            Stage::ActionRunning if task.agent == self.token => {
                if !results.contains_key(&task.started_at) {
                    self.run_action(task, results);
                }
            }
            // Another agent has begun the action, and only that one may report its outcome.
            _ => return,
        }
        let Some(result) = results.get(&task.started_at).filter(|_| !reported.contains(&task.started_at))
        else {
            return;
        };
        let reply = match result {
            Ok(()) => self.send_update(self.advance(task, Stage::ActionDone)),
            Err(why) => {
                let why = format!("the action on {} failed: {why}", task.target);
                let release = task.release.clone();
                let halted =
                    self.send_update(ReleaseUpdate::Halt { release: release.clone(), why, worse: false });
                let (target, started_at) = (task.target.clone(), task.started_at);
                match (halted, task.target_kind) {
                    (Ok(OperatorReply::Done), TargetKind::Sidecars) => {
                        self.send_update(self.advance(task, Stage::ActionDone))
                    }
                    (Ok(OperatorReply::Done), TargetKind::Endpoints) => {
                        self.send_update(ReleaseUpdate::FinishTransition {
                            release,
                            target,
                            started_at,
                            reached: false,
                        })
                    }
                    (other, _) => other,
                }
            }
        };
        match reply {
            Ok(OperatorReply::Done) => {
                reported.insert(task.started_at);
            }
            other => tracing::warn!("{other:?}"),
        }
    }

    fn run_action(&self, task: &AgentTask, results: &mut BTreeMap<u64, Result<(), String>>) {
        tracing::info!(who = task.target, "running {}", task.command.join(" "));
        let result = run_command(task);
        if let Err(why) = &result {
            tracing::error!("{why}");
        }
        results.insert(task.started_at, result);
    }
}
