//! The agent beside one that releases move: it asks the fleet for its work, says that it begins before it does, runs the
//! operators' own command, and says how that ended. What it does not know it does not say.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use appledyke_fleet::releases::{Moves, Order, Stage, Work};
use appledyke_fleet::talk::{Ask, Reply};

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
fn ran(work: &Work) -> Result<(), String> {
    let program = &work.command[0];
    let told = |e: std::io::Error| format!("{program}: {e}");
    let mut command = Command::new(program);
    command.args(&work.command[1..]).stdin(Stdio::null());
    let mut child = command.spawn().map_err(told)?;
    let until = Instant::now() + Duration::from_millis(work.within_ms);
    loop {
        match child.try_wait().map_err(told)? {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("{program}: {status}")),
            None if Instant::now() >= until => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{program}: not over after {} ms, and ended", work.within_ms));
            }
            None => std::thread::sleep(LOOK),
        }
    }
}

impl Agent {
    fn ask(&self, asked: &Ask) -> Result<Reply, String> {
        ask::fleet(&self.daemons, &self.fleet, asked, PATIENCE)
    }

    fn order(&self, order: Order) -> Result<Reply, String> {
        self.ask(&Ask::Release(order))
    }

    fn further(&self, work: &Work, to: Stage) -> Order {
        let (release, who, since) = (work.release.clone(), work.who.clone(), work.since);
        Order::Further { release, who, since, to, agent: self.token }
    }

    /// Works until it is ended.
    pub fn run(&self) {
        // Each action is run once by this agent, whatever becomes of the answers.
        let mut done: BTreeMap<u64, Result<(), String>> = BTreeMap::new();
        let mut said = BTreeSet::new();
        loop {
            match self.ask(&Ask::Work(self.who.clone())) {
                Ok(Reply::Work(Some(work))) => self.turn(&work, &mut done, &mut said),
                Ok(_) => {}
                Err(what) => tracing::warn!("{what}"),
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn turn(&self, work: &Work, done: &mut BTreeMap<u64, Result<(), String>>, said: &mut BTreeSet<u64>) {
        match work.stage {
            Stage::Empty => {
                // Danger: begun before the fleet knows of it, an action would be begun again by another agent.
                match self.order(self.further(work, Stage::Acting)) {
                    Ok(Reply::Done) => self.act(work, done),
                    Ok(Reply::Refused(why)) => tracing::info!("not begun: {why}"),
                    // Whether it stands in the log shows at the next question.
                    other => tracing::warn!("{other:?}"),
                }
            }
            Stage::Acting if work.agent == self.token => {
                if !done.contains_key(&work.since) {
                    self.act(work, done);
                }
            }
            // Another has begun it: what became of that is not this one's to say.
            _ => return,
        }
        let Some(result) = done.get(&work.since).filter(|_| !said.contains(&work.since)) else { return };
        let told = match result {
            Ok(()) => self.order(self.further(work, Stage::Acted)),
            Err(why) => {
                let why = format!("the action on {} failed: {why}", work.who);
                let release = work.release.clone();
                let halted = self.order(Order::Halt { release: release.clone(), why, worse: false });
                let (who, since) = (work.who.clone(), work.since);
                match (halted, work.moves) {
                    (Ok(Reply::Done), Moves::Sidecars) => self.order(self.further(work, Stage::Acted)),
                    (Ok(Reply::Done), Moves::Endpoints) => {
                        self.order(Order::Settle { release, who, since, moved: false })
                    }
                    (other, _) => other,
                }
            }
        };
        match told {
            Ok(Reply::Done) => {
                said.insert(work.since);
            }
            other => tracing::warn!("{other:?}"),
        }
    }

    fn act(&self, work: &Work, done: &mut BTreeMap<u64, Result<(), String>>) {
        tracing::info!(who = work.who, "runs {}", work.command.join(" "));
        let result = ran(work);
        if let Err(why) = &result {
            tracing::error!("{why}");
        }
        done.insert(work.since, result);
    }
}
