//! Releases: staged rollouts of sidecars or endpoints to another version, within the limits on how many may be out at once.
//! The state of a release is in the replicated log, so that a new leader continues it without repeating or skipping a
//! step. `release_runner` drives it on the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};

use crate::drains::{self, Group, OutLimitReached};
use crate::health::{Criteria, RequestCounts};
use crate::members::{MAX_TEXT_BYTES, Member, MemberStatus};

/// The version of the release file format.
pub const FORMAT: u32 = 1;
/// Maximum number of releases in the state, including ended ones.
const MAX_RELEASES: usize = 16;
/// Upper limit for each timeout of a release: an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum number of words in a command.
const MAX_COMMAND_WORDS: usize = 32;
/// Maximum number of names in a summary line.
const MAX_NAMES_LISTED: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    Sidecars,
    Endpoints,
}

/// Whether a halted release rolls back automatically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RollbackPolicy {
    #[default]
    Never,
    /// If upgraded targets do worse than the others.
    WhenWorse,
    Always,
}

/// The operators' action on a drained target: a command that the agent beside it runs. `{name}` and `{version}` are replaced
/// by the target's name and the version that it is to have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Action {
    pub command: Vec<String>,
    #[serde(rename = "withinMs")]
    pub timeout_ms: u64,
}

/// A release as described by its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Plan {
    pub format: u32,
    pub name: String,
    #[serde(rename = "moves")]
    pub target_kind: TargetKind,
    /// The group of the settings that is upgraded; its limits apply.
    pub group: String,
    /// The targets from first to last; without it, all members of the group by name.
    #[serde(default)]
    pub order: Vec<String>,
    /// Maximum number of targets that this release has in transition at once.
    #[serde(rename = "mostOut")]
    pub max_out: u32,
    pub from: String,
    pub to: String,
    /// Without an action, the release waits for each target to return with the expected version.
    #[serde(default)]
    pub action: Option<Action>,
    /// Within which a target must be drained, and after that serve again.
    #[serde(rename = "emptyInMs")]
    pub drain_timeout_ms: u64,
    #[serde(rename = "backInMs")]
    pub return_timeout_ms: u64,
    /// How long a returned target is not judged, as it is still cold, and for how long it is judged afterwards.
    #[serde(default)]
    pub settle_ms: u64,
    pub watch_ms: u64,
    /// Maximum time to wait for enough requests to judge a target.
    #[serde(rename = "watchMostMs")]
    pub max_watch_ms: u64,
    #[serde(rename = "must")]
    pub criteria: Criteria,
    #[serde(default)]
    #[serde(rename = "goesBack")]
    pub rollback: RollbackPolicy,
}

impl Plan {
    /// # Errors
    /// The invalid key, and what is expected.
    pub fn check(&self) -> Result<(), String> {
        if self.format != FORMAT {
            return Err(format!("format: expected {FORMAT}, not {}", self.format));
        }
        for (key, text) in
            [("name", &self.name), ("group", &self.group), ("from", &self.from), ("to", &self.to)]
        {
            if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                return Err(format!("{key}: expected 1 to {MAX_TEXT_BYTES} bytes"));
            }
        }
        if self.from == self.to {
            return Err(format!("to: expected another version than {}", self.from));
        }
        if self.max_out == 0 {
            return Err("mostOut: expected at least 1".to_string());
        }
        let waits = [
            ("emptyInMs", self.drain_timeout_ms),
            ("backInMs", self.return_timeout_ms),
            ("watchMs", self.watch_ms),
            ("watchMostMs", self.max_watch_ms),
        ];
        for (key, ms) in waits {
            if !(1..=MAX_TIMEOUT_MS).contains(&ms) {
                return Err(format!("{key}: expected 1 to {MAX_TIMEOUT_MS}, not {ms}"));
            }
        }
        if self.settle_ms > MAX_TIMEOUT_MS {
            return Err(format!("settleMs: expected 0 to {MAX_TIMEOUT_MS}, not {}", self.settle_ms));
        }
        if self.max_watch_ms < self.watch_ms {
            return Err(format!(
                "watchMostMs: expected at least watchMs, {}, not {}",
                self.watch_ms, self.max_watch_ms
            ));
        }
        let mut names = BTreeSet::new();
        for name in &self.order {
            if name.is_empty() || name.len() > MAX_TEXT_BYTES {
                return Err(format!("order: expected names of 1 to {MAX_TEXT_BYTES} bytes"));
            }
            if !names.insert(name) {
                return Err(format!("order: {name} stands there twice"));
            }
        }
        match &self.action {
            Some(action) => {
                if action.command.is_empty() || action.command.len() > MAX_COMMAND_WORDS {
                    return Err(format!("action.command: expected 1 to {MAX_COMMAND_WORDS} words"));
                }
                if action.command.iter().any(|word| word.len() > MAX_TEXT_BYTES) {
                    return Err(format!(
                        "action.command: expected words of {MAX_TEXT_BYTES} bytes at the most"
                    ));
                }
                if !action.command[0].starts_with('/') {
                    return Err(format!(
                        "action.command: expected the whole path of a program, not '{}'",
                        action.command[0]
                    ));
                }
                if !(1..=MAX_TIMEOUT_MS).contains(&action.timeout_ms) {
                    return Err(format!(
                        "action.withinMs: expected 1 to {MAX_TIMEOUT_MS}, not {}",
                        action.timeout_ms
                    ));
                }
            }
            None if self.target_kind == TargetKind::Endpoints => {
                return Err("action: expected one, as nobody tells which version an endpoint has".to_string());
            }
            None => {}
        }
        if self.target_kind == TargetKind::Endpoints && self.order.is_empty() {
            return Err("order: expected the endpoints' names".to_string());
        }
        self.criteria.check()
    }

    /// Checks the plan against a fleet: the groups of the settings, and the members of its group that are not gone. Returns all
    /// targets in the group, and how many of them may be out at once.
    ///
    /// # Errors
    /// The invalid key, and what is expected.
    pub fn check_against(
        &self,
        groups: &[Group],
        members: Vec<String>,
    ) -> Result<(Vec<String>, usize), String> {
        let Some(group) = groups.iter().find(|group| group.name == self.group) else {
            return Err(format!("group: the settings have no group {}", self.group));
        };
        let of = match self.target_kind {
            TargetKind::Sidecars => members,
            TargetKind::Endpoints => group.endpoints.clone(),
        };
        let size = of.len();
        if size == 0 {
            return Err(format!("group: nobody is in {}", self.group));
        }
        if let Some(unknown) = self.order.iter().find(|name| !of.contains(name)) {
            return Err(format!("order: {unknown} is not in {}", self.group));
        }
        if self.max_out as usize >= size && size > 1 {
            return Err(format!("mostOut: {} of {size} would be all; {} would do", self.max_out, size - 1));
        }
        match group.max_out_of(size).min(self.max_out as usize) {
            0 => Err(format!("group: {} lets none of {size} go out", self.group)),
            most => Ok((of, most)),
        }
    }

    /// The version of a target on this side of the release.
    pub fn version_on(&self, side: Side) -> &str {
        match side {
            Side::Old => &self.from,
            Side::New => &self.to,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Side {
    Old,
    New,
}

/// The stages of one target's transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It has permission to be out, and drains.
    #[serde(rename = "Sent")]
    Draining,
    #[serde(rename = "Empty")]
    Drained,
    /// An agent has started the action.
    #[serde(rename = "Acting")]
    ActionRunning,
    #[serde(rename = "Acted")]
    ActionDone,
    /// It serves again, and its request outcomes are watched.
    #[serde(rename = "Back")]
    Watched,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Stage::Draining => "drains",
            Stage::Drained => "empty",
            Stage::ActionRunning => "acted on",
            Stage::ActionDone => "to be back",
            Stage::Watched => "watched",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transition {
    pub to: Side,
    pub stage: Stage,
    /// The incarnation of the drained process; unused for endpoints.
    pub incarnation: u64,
    /// The agent that has started the action.
    pub agent: u64,
    /// The index of the entry that began the transition: it identifies this transition of the target.
    #[serde(rename = "since")]
    pub started_at: Index,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The side that this release brought the target to last, and the index of the entry that recorded it.
    #[serde(rename = "moved")]
    pub reached: Option<(Side, Index)>,
    #[serde(rename = "going")]
    pub transition: Option<Transition>,
}

impl Step {
    /// A status text for operators.
    pub fn summary(&self, plan: &Plan) -> String {
        match (&self.transition, self.reached) {
            (Some(transition), _) => {
                format!("{}, on its way to {}", transition.stage, plan.version_on(transition.to))
            }
            (None, Some((side, _))) => format!("at {}", plan.version_on(side)),
            (None, None) => "not moved".to_string(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseState {
    #[serde(rename = "Forward")]
    RollingOut,
    #[serde(rename = "Backward")]
    RollingBack,
    Halted,
    /// All targets are upgraded, or all are rolled back, or an operator ended the release; with the reason.
    Ended(String),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    pub plan: Plan,
    pub order: Vec<String>,
    pub steps: BTreeMap<String, Step>,
    #[serde(rename = "course")]
    pub state: ReleaseState,
    /// Why it halted last, and whether because upgraded targets do worse than the others.
    pub halted: Option<(String, bool)>,
    /// It rolls back once no target is in transition any more.
    #[serde(rename = "wants_back")]
    pub rollback_pending: bool,
    /// It has been rolled back once, so it does not do so again automatically.
    #[serde(rename = "went_back")]
    pub rolled_back: bool,
    /// Request outcomes of the group before the first upgrade.
    #[serde(rename = "before")]
    pub baseline: RequestCounts,
}

impl Release {
    pub fn is_ended(&self) -> bool {
        matches!(self.state, ReleaseState::Ended(_))
    }

    pub fn transitions(&self) -> impl Iterator<Item = (&String, &Transition)> {
        self.steps.iter().filter_map(|(name, step)| Some((name, step.transition.as_ref()?)))
    }

    /// The targets that it has brought to this side, and that are not in transition.
    pub fn reached(&self, side: Side) -> impl Iterator<Item = &String> {
        let reached =
            move |step: &Step| step.transition.is_none() && step.reached.is_some_and(|(to, _)| to == side);
        self.steps.iter().filter(move |(_, step)| reached(step)).map(|(name, _)| name)
    }

    /// A one-line status for operators.
    pub fn summary(&self) -> String {
        let (new, old) = (self.reached(Side::New).count(), self.reached(Side::Old).count());
        let Plan { name, from, to, group, .. } = &self.plan;
        let state = match (&self.state, &self.halted) {
            (ReleaseState::RollingOut, _) => "under way".to_string(),
            (ReleaseState::RollingBack, Some((why, _))) => format!("goes back, as: {why}"),
            (ReleaseState::RollingBack, None) => "goes back".to_string(),
            (ReleaseState::Halted, Some((why, _))) => format!("halted: {why}"),
            (ReleaseState::Halted, None) => "halted".to_string(),
            (ReleaseState::Ended(how), _) => format!("ended: {how}"),
        };
        let mut line = format!("{name}: {state}; {new} of {} in {group} moved to {to}", self.order.len());
        if old > 0 {
            line += &format!(", {old} back at {from}");
        }
        let transitions: Vec<String> =
            self.transitions().map(|(target, transition)| format!("{target} {}", transition.stage)).collect();
        if !transitions.is_empty() {
            line += &format!("; {}", transitions[..transitions.len().min(MAX_NAMES_LISTED)].join(", "));
        }
        line
    }
}

/// A change of a release: a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReleaseUpdate {
    /// With the request outcomes of the group before the release.
    Start(Box<Plan>, RequestCounts),
    Halt {
        release: String,
        why: String,
        worse: bool,
    },
    Resume(String),
    Rollback(String),
    /// Ends the release, with a reason: refused while any target is in transition.
    End(String, String),
    /// Permits the next target to drain, unless that would exceed the limits on how many may be out. For endpoints, `missing`
    /// lists those that are unavailable by themselves.
    BeginTransition {
        release: String,
        target: String,
        to: Side,
        missing: Vec<String>,
    },
    /// Moves a target's transition to the stage `to`; ignored unless it is the transition that began at `started_at`, and in the
    /// stage before.
    AdvanceTransition {
        release: String,
        target: String,
        started_at: Index,
        to: Stage,
        agent: u64,
    },
    /// Ends a transition: the target has reached the version that it was to have, or is left as it was.
    FinishTransition {
        release: String,
        target: String,
        started_at: Index,
        reached: bool,
    },
    /// Records that a target has this version already, so that it is not upgraded again.
    MarkReached {
        release: String,
        target: String,
        side: Side,
    },
}

/// A task for the agent beside a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentTask {
    pub release: String,
    pub target: String,
    pub started_at: Index,
    pub stage: Stage,
    pub agent: u64,
    pub target_kind: TargetKind,
    /// The command with its placeholders replaced.
    pub command: Vec<String>,
    pub timeout_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Releases(BTreeMap<String, Release>);

/// The parts of the fleet's state that a release reads and changes.
pub struct FleetContext<'a> {
    pub groups: &'a [Group],
    pub members: &'a mut BTreeMap<String, Member>,
    pub endpoints: &'a mut BTreeSet<String>,
    /// The index of the entry that changed the endpoints last.
    pub endpoints_changed_at: &'a mut Index,
}

impl FleetContext<'_> {
    fn set_endpoint_out(&mut self, index: Index, name: &str, out: bool) {
        let changed = if out { self.endpoints.insert(name.to_string()) } else { self.endpoints.remove(name) };
        if changed {
            *self.endpoints_changed_at = index;
        }
    }

    fn set_drained(&mut self, name: &str, sent: bool) {
        if let Some(member) = self.members.get_mut(name) {
            member.drained_by_release = sent;
        }
    }
}

impl Releases {
    pub fn get(&self, name: &str) -> Option<&Release> {
        self.0.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Release)> {
        self.0.iter()
    }

    /// The task of the agent beside this target, if there is one.
    pub fn agent_task(&self, target: &str) -> Option<AgentTask> {
        let due = |(name, release): (&String, &Release)| {
            let transition = release.steps.get(target)?.transition?;
            let action = release.plan.action.as_ref()?;
            if !matches!(transition.stage, Stage::Drained | Stage::ActionRunning)
                || transition.stage == Stage::Drained && release.state == ReleaseState::Halted
            {
                return None;
            }
            let version = release.plan.version_on(transition.to);
            let fill = |word: &String| word.replace("{name}", target).replace("{version}", version);
            Some(AgentTask {
                release: name.clone(),
                target: target.to_string(),
                started_at: transition.started_at,
                stage: transition.stage,
                agent: transition.agent,
                target_kind: release.plan.target_kind,
                command: action.command.iter().map(fill).collect(),
                timeout_ms: action.timeout_ms,
            })
        };
        self.0.iter().find_map(due)
    }

    /// Whether any release is active. Then answers to members must be certain about drains.
    pub fn any_active(&self) -> bool {
        self.0.values().any(|release| !release.is_ended())
    }

    /// Whether a release drains this process of a member. If the release has halted, the member may serve again, unless an action
    /// on it is running.
    pub fn is_to_drain(&self, target: &str, incarnation: u64) -> bool {
        self.0.values().filter(|release| release.plan.target_kind == TargetKind::Sidecars).any(|release| {
            let transition = release.steps.get(target).and_then(|step| step.transition);
            transition.is_some_and(|transition| {
                let out = transition.stage < Stage::Watched && transition.incarnation == incarnation;
                out && (release.state != ReleaseState::Halted || transition.stage == Stage::ActionRunning)
            })
        })
    }

    /// # Errors
    /// Why the update has no effect.
    pub fn apply(
        &mut self,
        index: Index,
        order: &ReleaseUpdate,
        context: &mut FleetContext,
    ) -> Result<(), ReleaseError> {
        match order {
            ReleaseUpdate::Start(plan, baseline) => self.start(plan, *baseline, context),
            ReleaseUpdate::Halt { release, why, worse } => {
                let release = self.active_release(release)?;
                if release.state != ReleaseState::Halted {
                    release.state = ReleaseState::Halted;
                    release.rollback_pending = false;
                    release.halted = Some((why.chars().take(MAX_TEXT_BYTES).collect(), *worse));
                }
                Ok(())
            }
            ReleaseUpdate::Resume(name) => {
                let release = self.active_release(name)?;
                if release.state == ReleaseState::Halted {
                    // A rollback continues as one: going forward would upgrade some targets twice.
                    release.state = if release.rolled_back {
                        ReleaseState::RollingBack
                    } else {
                        ReleaseState::RollingOut
                    };
                }
                Ok(())
            }
            ReleaseUpdate::Rollback(name) => {
                let release = self.active_release(name)?;
                if release.state == ReleaseState::RollingBack {
                    return Ok(());
                }
                // Danger: a target in transition must have returned, with either version, before it is moved the other way.
                if release.transitions().next().is_some() {
                    (release.state, release.rollback_pending) = (ReleaseState::Halted, true);
                    release.halted.get_or_insert(("to go back".to_string(), false));
                } else {
                    (release.state, release.rollback_pending, release.rolled_back) =
                        (ReleaseState::RollingBack, false, true);
                }
                Ok(())
            }
            ReleaseUpdate::End(name, how) => {
                let release = self.active_release(name)?;
                let transition: Vec<&str> =
                    release.transitions().map(|(target, _)| target.as_str()).collect();
                if !transition.is_empty() {
                    return Err(ReleaseError::InProgress(transition.join(", ")));
                }
                release.state = ReleaseState::Ended(how.chars().take(MAX_TEXT_BYTES).collect());
                Ok(())
            }
            ReleaseUpdate::BeginTransition { release, target, to, missing } => {
                let release = self.active_release(release)?;
                release.begin_transition(index, target, *to, missing, context)
            }
            ReleaseUpdate::AdvanceTransition { release, target, started_at, to, agent } => {
                let release = self.active_release(release)?;
                let Some(transition) =
                    release.steps.get_mut(target).and_then(|step| step.transition.as_mut())
                else {
                    return Err(ReleaseError::Stale);
                };
                // Danger: a repeated or late update must not reset the stage, or skip a stage that was not completed.
                let next = match (transition.stage, to) {
                    (Stage::Draining, Stage::Drained)
                    | (Stage::Drained, Stage::ActionRunning | Stage::Watched)
                    | (Stage::ActionRunning, Stage::ActionDone)
                    | (Stage::ActionDone, Stage::Watched) => true,
                    (stage, to) => stage == *to && transition.agent == *agent,
                };
                // Only the agent that started an action can end it.
                let own = transition.stage != Stage::ActionRunning || transition.agent == *agent;
                if transition.started_at != *started_at || !next || !own {
                    return Err(ReleaseError::Stale);
                }
                transition.stage = *to;
                if *to == Stage::ActionRunning {
                    transition.agent = *agent;
                }
                if *to == Stage::Watched {
                    match release.plan.target_kind {
                        TargetKind::Sidecars => context.set_drained(target, false),
                        TargetKind::Endpoints => context.set_endpoint_out(index, target, false),
                    }
                }
                Ok(())
            }
            ReleaseUpdate::FinishTransition { release, target, started_at, reached } => {
                let release = self.active_release(release)?;
                let plan = &release.plan;
                let Some(step) = release.steps.get_mut(target) else { return Err(ReleaseError::Stale) };
                let Some(transition) =
                    step.transition.filter(|transition| transition.started_at == *started_at)
                else {
                    return Err(ReleaseError::Stale);
                };
                step.transition = None;
                if *reached {
                    step.reached = Some((transition.to, index));
                }
                match plan.target_kind {
                    TargetKind::Sidecars => context.set_drained(target, false),
                    TargetKind::Endpoints => context.set_endpoint_out(index, target, false),
                }
                Ok(())
            }
            ReleaseUpdate::MarkReached { release, target, side } => {
                let release = self.active_release(release)?;
                match release.steps.get_mut(target) {
                    Some(step) if step.transition.is_none() => {
                        step.reached = Some((*side, index));
                        Ok(())
                    }
                    _ => Err(ReleaseError::Stale),
                }
            }
        }
    }

    fn active_release(&mut self, name: &str) -> Result<&mut Release, ReleaseError> {
        match self.0.get_mut(name) {
            None => Err(ReleaseError::Unknown(name.to_string())),
            Some(release) if release.is_ended() => Err(ReleaseError::Ended),
            Some(release) => Ok(release),
        }
    }

    fn start(
        &mut self,
        plan: &Plan,
        baseline: RequestCounts,
        context: &FleetContext,
    ) -> Result<(), ReleaseError> {
        let faulty = |what: String| Err(ReleaseError::Invalid(what));
        if let Some(same) = self.0.get(&plan.name) {
            // Repeated because its answer was lost: the release has started once.
            return if same.plan == *plan && !same.is_ended() {
                Ok(())
            } else {
                faulty(format!("name: there is a release {} already", plan.name))
            };
        }
        if let Err(what) = plan.check() {
            return faulty(what);
        }
        let running = |other: &&Release| !other.is_ended() && other.plan.group == plan.group;
        if let Some(other) = self.0.values().find(running) {
            return faulty(format!("group: release {} moves {} already", other.plan.name, plan.group));
        }
        let is_present =
            |member: &Member| member.groups.contains(&plan.group) && member.status != MemberStatus::Gone;
        let present = context.members.iter().filter(|(_, member)| is_present(member));
        let of = match plan.check_against(context.groups, present.map(|(name, _)| name.clone()).collect()) {
            Ok((of, _)) => of,
            Err(what) => return faulty(what),
        };
        if self.0.len() >= MAX_RELEASES {
            let over = self.0.iter().find(|(_, release)| release.is_ended()).map(|(name, _)| name.clone());
            match over {
                Some(over) => self.0.remove(&over),
                None => return faulty(format!("there are {MAX_RELEASES} releases under way already")),
            };
        }
        let order = if plan.order.is_empty() { of } else { plan.order.clone() };
        let steps = order.iter().map(|name| (name.clone(), Step::default())).collect();
        let (plan, state) = (plan.clone(), ReleaseState::RollingOut);
        self.0.insert(
            plan.name.clone(),
            Release {
                plan,
                order,
                steps,
                state,
                halted: None,
                rollback_pending: false,
                rolled_back: false,
                baseline,
            },
        );
        Ok(())
    }

    /// Halts all active releases, as after a restore, when it is unknown what was done since the backup.
    pub fn halt_all(&mut self, why: &str) {
        for release in self.0.values_mut().filter(|release| !release.is_ended()) {
            release.state = ReleaseState::Halted;
            release.halted = Some((why.to_string(), false));
        }
    }
}

impl Release {
    fn begin_transition(
        &mut self,
        index: Index,
        target: &str,
        to: Side,
        missing: &[String],
        context: &mut FleetContext,
    ) -> Result<(), ReleaseError> {
        let wanted = match self.state {
            ReleaseState::RollingOut => Side::New,
            ReleaseState::RollingBack => Side::Old,
            _ => return Err(ReleaseError::Stale),
        };
        let in_transition = self.transitions().count();
        let Some(step) = self.steps.get_mut(target) else { return Err(ReleaseError::Stale) };
        if to != wanted
            || step.transition.is_some()
            || step.reached.is_some_and(|(side, _)| side == to)
            || in_transition >= self.plan.max_out as usize
        {
            return Err(ReleaseError::Stale);
        }
        let incarnation = match self.plan.target_kind {
            TargetKind::Sidecars => {
                drains::check_member_out(context.groups, context.members, target)
                    .map_err(ReleaseError::OutLimitReached)?;
                let Some(member) = context.members.get(target).filter(|m| m.status == MemberStatus::Serving)
                else {
                    return Err(ReleaseError::Stale);
                };
                member.incarnation
            }
            TargetKind::Endpoints => {
                drains::check_endpoint_out(context.groups, context.endpoints, missing, target)
                    .map_err(ReleaseError::OutLimitReached)?;
                0
            }
        };
        step.transition =
            Some(Transition { to, stage: Stage::Draining, incarnation, agent: 0, started_at: index });
        match self.plan.target_kind {
            TargetKind::Sidecars => context.set_drained(target, true),
            TargetKind::Endpoints => context.set_endpoint_out(index, target, true),
        }
        Ok(())
    }
}

/// Why an update of a release has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseError {
    Unknown(String),
    Ended,
    /// These targets are still in transition.
    InProgress(String),
    /// The update is a repeat, or the state has changed since it was proposed.
    Stale,
    Invalid(String),
    OutLimitReached(OutLimitReached),
}

impl fmt::Display for ReleaseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReleaseError::Unknown(name) => write!(f, "there is no release {name}"),
            ReleaseError::Ended => write!(f, "it has ended"),
            ReleaseError::InProgress(target) => write!(f, "under way still: {target}; halt it first"),
            ReleaseError::Stale => write!(f, "something else has come first"),
            ReleaseError::Invalid(what) => write!(f, "{what}"),
            ReleaseError::OutLimitReached(why) => write!(f, "{why}"),
        }
    }
}
