//! The agent beside one that releases move: it asks the fleet for its work, says that it begins before it does, runs the
//! operators' own command, and says how that ended. What it does not know it does not say.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use appledyke_fleet::messages::{OperatorReply, OperatorRequest};
use appledyke_fleet::releases::{AgentTask, ReleaseUpdate, Stage, TargetKind};

use crate::ask;

/// Between two questions for work.
const PAUSE: Duration = Duration::from_millis(300);
/// Longest that one question is asked for.
const PATIENCE: Duration = Duration::from_secs(5);
/// Between two looks at a command that runs.
const LOOK: Duration = Duration::from_millis(20);

pub struct Agent {
    pub daemons: BTreeMap<u16, SocketAddr>,
    pub fleet: String,
    /// Beside whom it is.
    pub who: String,
    /// Drawn at its start: what another agent has begun is not its own.
    pub token: u64,
}

/// How a command ended: well, or how not.
fn ran(work: &AgentTask) -> Result<(), String> {
    let program = &work.command[0];
    let told = |e: std::io::Error| format!("{program}: {e}");
    let mut command = Command::new(program);
    command.args(&work.command[1..]).stdin(Stdio::null());
    let mut child = command.spawn().map_err(told)?;
    let until = Instant::now() + Duration::from_millis(work.timeout_ms);
    loop {
        match child.try_wait().map_err(told)? {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("{program}: {status}")),
            None if Instant::now() >= until => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{program}: not over after {} ms, and ended", work.timeout_ms));
            }
            None => std::thread::sleep(LOOK),
        }
    }
}

impl Agent {
    fn ask(&self, asked: &OperatorRequest) -> Result<OperatorReply, String> {
        ask::fleet(&self.daemons, &self.fleet, asked, PATIENCE)
    }

    fn order(&self, order: ReleaseUpdate) -> Result<OperatorReply, String> {
        self.ask(&OperatorRequest::Release(order))
    }

    fn further(&self, work: &AgentTask, to: Stage) -> ReleaseUpdate {
        let (release, who, since) = (work.release.clone(), work.target.clone(), work.started_at);
        ReleaseUpdate::AdvanceTransition { release, target: who, started_at: since, to, agent: self.token }
    }

    /// Works until it is ended.
    pub fn run(&self) {
        // Each action is run once by this agent, whatever becomes of the answers.
        let mut done: BTreeMap<u64, Result<(), String>> = BTreeMap::new();
        let mut said = BTreeSet::new();
        loop {
            match self.ask(&OperatorRequest::AgentTask(self.who.clone())) {
                Ok(OperatorReply::AgentTask(Some(work))) => self.turn(&work, &mut done, &mut said),
                Ok(_) => {}
                Err(what) => tracing::warn!("{what}"),
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn turn(&self, work: &AgentTask, done: &mut BTreeMap<u64, Result<(), String>>, said: &mut BTreeSet<u64>) {
        match work.stage {
            Stage::Drained => {
                // Danger: begun before the fleet knows of it, an action would be begun again by another agent.
                match self.order(self.further(work, Stage::ActionRunning)) {
                    Ok(OperatorReply::Done) => self.act(work, done),
                    Ok(OperatorReply::Refused(why)) => tracing::info!("not begun: {why}"),
                    // Whether it stands in the log shows at the next question.
                    other => tracing::warn!("{other:?}"),
                }
            }
            Stage::ActionRunning if work.agent == self.token => {
                if !done.contains_key(&work.started_at) {
                    self.act(work, done);
                }
            }
            // Another has begun it: what became of that is not this one's to say.
            _ => return,
        }
        let Some(result) = done.get(&work.started_at).filter(|_| !said.contains(&work.started_at)) else {
            return;
        };
        let told = match result {
            Ok(()) => self.order(self.further(work, Stage::ActionDone)),
            Err(why) => {
                let why = format!("the action on {} failed: {why}", work.target);
                let release = work.release.clone();
                let halted = self.order(ReleaseUpdate::Halt { release: release.clone(), why, worse: false });
                let (who, since) = (work.target.clone(), work.started_at);
                match (halted, work.target_kind) {
                    (Ok(OperatorReply::Done), TargetKind::Sidecars) => {
                        self.order(self.further(work, Stage::ActionDone))
                    }
                    (Ok(OperatorReply::Done), TargetKind::Endpoints) => {
                        self.order(ReleaseUpdate::FinishTransition {
                            release,
                            target: who,
                            started_at: since,
                            reached: false,
                        })
                    }
                    (other, _) => other,
                }
            }
        };
        match told {
            Ok(OperatorReply::Done) => {
                said.insert(work.started_at);
            }
            other => tracing::warn!("{other:?}"),
        }
    }

    fn act(&self, work: &AgentTask, done: &mut BTreeMap<u64, Result<(), String>>) {
        tracing::info!(who = work.target, "runs {}", work.command.join(" "));
        let result = ran(work);
        if let Err(why) = &result {
            tracing::error!("{why}");
        }
        done.insert(work.started_at, result);
    }
}
