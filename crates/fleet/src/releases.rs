//! Releases: what is moved to another version, step by step, under the most that may be out. A release's state is in the log: it
//! goes on under another leader where it stood, no step twice and none skipped. What a leader sees of it is in `runner`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};

use crate::health::{Criteria, RequestCounts};
use crate::members::{MAX_TEXT_BYTES, Member, MemberStatus};
use crate::outs::{self, Group, OutLimitReached};

/// The version of a release's file.
pub const FORMAT: u32 = 1;
/// Releases that are kept, the ended ones among them.
const KEPT_MOST: usize = 16;
/// Longest that any one wait of a release may be: an hour.
const WAIT_MOST_MS: u64 = 3_600_000;
/// Words of a command.
const WORDS_MOST: usize = 32;
/// Names that a line tells: the rest is counted.
const NAMED_MOST: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    Sidecars,
    Endpoints,
}

/// Whether a release goes back by itself once it has halted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RollbackPolicy {
    #[default]
    Never,
    /// Where what was moved does worse than what was not.
    WhenWorse,
    Always,
}

/// The operators' own action on one that is empty: a command that an agent beside it runs. `{name}` and `{version}` stand for
/// whom it is run for and the version that it is to have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Action {
    pub command: Vec<String>,
    /// Milliseconds.
    #[serde(rename = "withinMs")]
    pub timeout_ms: u64,
}

/// A release as its file states it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Plan {
    pub format: u32,
    pub name: String,
    #[serde(rename = "moves")]
    pub target_kind: TargetKind,
    /// The settings' group that is moved; its bounds hold.
    pub group: String,
    /// The first to last; all members of the group by name where none is stated.
    #[serde(default)]
    pub order: Vec<String>,
    /// Most that this release has under way at once.
    #[serde(rename = "mostOut")]
    pub max_out: u32,
    pub from: String,
    pub to: String,
    /// None: it waits for each to return with the expected version.
    #[serde(default)]
    pub action: Option<Action>,
    /// In which one that is sent out must be empty, and be back from then on, in milliseconds.
    #[serde(rename = "emptyInMs")]
    pub drain_timeout_ms: u64,
    #[serde(rename = "backInMs")]
    pub return_timeout_ms: u64,
    /// How long one that is back is not judged yet, as it is cold; and for how long it is judged then.
    #[serde(default)]
    pub settle_ms: u64,
    pub watch_ms: u64,
    /// Longest that it is watched for enough reqs to judge.
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
    /// The key that is at fault, and what would do.
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
            if !(1..=WAIT_MOST_MS).contains(&ms) {
                return Err(format!("{key}: expected 1 to {WAIT_MOST_MS}, not {ms}"));
            }
        }
        if self.settle_ms > WAIT_MOST_MS {
            return Err(format!("settleMs: expected 0 to {WAIT_MOST_MS}, not {}", self.settle_ms));
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
                if action.command.is_empty() || action.command.len() > WORDS_MOST {
                    return Err(format!("action.command: expected 1 to {WORDS_MOST} words"));
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
                if !(1..=WAIT_MOST_MS).contains(&action.timeout_ms) {
                    return Err(format!(
                        "action.withinMs: expected 1 to {WAIT_MOST_MS}, not {}",
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

    /// Checks it against a fleet: the settings' groups, and the members of its group that are not gone. Gives all that are in the
    /// group, and how many of them may be out at once.
    ///
    /// # Errors
    /// The key that is at fault, and what would do.
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
        if let Some(odd) = self.order.iter().find(|name| !of.contains(name)) {
            return Err(format!("order: {odd} is not in {}", self.group));
        }
        if self.max_out as usize >= size && size > 1 {
            return Err(format!("mostOut: {} of {size} would be all; {} would do", self.max_out, size - 1));
        }
        match group.max_out_of(size).min(self.max_out as usize) {
            0 => Err(format!("group: {} lets none of {size} go out", self.group)),
            most => Ok((of, most)),
        }
    }

    /// The version that one has once it has gone this way.
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

/// How far one has come that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It may go out, and drains.
    #[serde(rename = "Sent")]
    Draining,
    #[serde(rename = "Empty")]
    Drained,
    /// An agent has begun the action.
    #[serde(rename = "Acting")]
    ActionRunning,
    #[serde(rename = "Acted")]
    ActionDone,
    /// It serves again, and is watched.
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
    /// Of the process that was sent out; of no meaning for an endpoint.
    pub incarnation: u64,
    /// Which agent has begun the action.
    pub agent: u64,
    /// The entry that sent it out: each going of one has another.
    #[serde(rename = "since")]
    pub started_at: Index,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version that it was brought to last, by this release, and the entry that said so.
    #[serde(rename = "moved")]
    pub reached: Option<(Side, Index)>,
    #[serde(rename = "going")]
    pub transition: Option<Transition>,
}

impl Step {
    /// For people: how one stands.
    pub fn summary(&self, plan: &Plan) -> String {
        match (&self.transition, self.reached) {
            (Some(going), _) => format!("{}, on its way to {}", going.stage, plan.version_on(going.to)),
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
    /// All are moved, or all are back; or an operator ended it.
    Ended(String),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    pub plan: Plan,
    pub order: Vec<String>,
    pub steps: BTreeMap<String, Step>,
    #[serde(rename = "course")]
    pub state: ReleaseState,
    /// Why it halted last, and whether as what was moved does worse than what was not.
    pub halted: Option<(String, bool)>,
    /// It goes back once nobody is under way any more.
    #[serde(rename = "wants_back")]
    pub rollback_pending: bool,
    /// It has been sent back once, so it is not again by itself.
    #[serde(rename = "went_back")]
    pub rolled_back: bool,
    /// What the group did before anything was moved.
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

    /// Those that it has brought to this version and that are not under way.
    pub fn reached(&self, side: Side) -> impl Iterator<Item = &String> {
        let moved =
            move |step: &Step| step.transition.is_none() && step.reached.is_some_and(|(to, _)| to == side);
        self.steps.iter().filter(move |(_, step)| moved(step)).map(|(name, _)| name)
    }

    /// For people: how it stands, in one line.
    pub fn summary(&self) -> String {
        let (new, old) = (self.reached(Side::New).count(), self.reached(Side::Old).count());
        let Plan { name, from, to, group, .. } = &self.plan;
        let course = match (&self.state, &self.halted) {
            (ReleaseState::RollingOut, _) => "under way".to_string(),
            (ReleaseState::RollingBack, Some((why, _))) => format!("goes back, as: {why}"),
            (ReleaseState::RollingBack, None) => "goes back".to_string(),
            (ReleaseState::Halted, Some((why, _))) => format!("halted: {why}"),
            (ReleaseState::Halted, None) => "halted".to_string(),
            (ReleaseState::Ended(how), _) => format!("ended: {how}"),
        };
        let mut line = format!("{name}: {course}; {new} of {} in {group} moved to {to}", self.order.len());
        if old > 0 {
            line += &format!(", {old} back at {from}");
        }
        let going: Vec<String> =
            self.transitions().map(|(who, going)| format!("{who} {}", going.stage)).collect();
        if !going.is_empty() {
            line += &format!("; {}", going[..going.len().min(NAMED_MOST)].join(", "));
        }
        line
    }
}

/// What changes a release: an entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReleaseUpdate {
    /// With what the group did before.
    Start(Box<Plan>, RequestCounts),
    Halt {
        release: String,
        why: String,
        worse: bool,
    },
    Resume(String),
    Rollback(String),
    /// Over, and why: refused while any is under way.
    End(String, String),
    /// Who is next may go out, if the bounds bear it. What is out by itself beside is told with it, for endpoints.
    BeginTransition {
        release: String,
        target: String,
        to: Side,
        missing: Vec<String>,
    },
    /// One has come further: from the stage that is stated, in the going that is stated, and no other.
    AdvanceTransition {
        release: String,
        target: String,
        started_at: Index,
        to: Stage,
        agent: u64,
    },
    /// It is not under way any more: brought to where it went, or left as it was.
    FinishTransition {
        release: String,
        target: String,
        started_at: Index,
        reached: bool,
    },
    /// One that has this version already is not moved again.
    MarkReached {
        release: String,
        target: String,
        side: Side,
    },
}

/// What is asked of the agent beside one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentTask {
    pub release: String,
    pub target: String,
    pub started_at: Index,
    pub stage: Stage,
    pub agent: u64,
    pub target_kind: TargetKind,
    /// Ready to be run: its placeholders are filled.
    pub command: Vec<String>,
    pub timeout_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Releases(BTreeMap<String, Release>);

/// What a change of releases needs of the rest of the state.
pub struct FleetContext<'a> {
    pub groups: &'a [Group],
    pub members: &'a mut BTreeMap<String, Member>,
    pub endpoints: &'a mut BTreeSet<String>,
    /// The entry that changed the endpoints last.
    pub endpoints_changed_at: &'a mut Index,
}

impl FleetContext<'_> {
    fn endpoint(&mut self, index: Index, name: &str, out: bool) {
        let changed = if out { self.endpoints.insert(name.to_string()) } else { self.endpoints.remove(name) };
        if changed {
            *self.endpoints_changed_at = index;
        }
    }

    fn sent(&mut self, name: &str, sent: bool) {
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

    /// What an agent beside this one is to do, if anything.
    pub fn agent_task(&self, who: &str) -> Option<AgentTask> {
        let due = |(name, release): (&String, &Release)| {
            let going = release.steps.get(who)?.transition?;
            let action = release.plan.action.as_ref()?;
            if !matches!(going.stage, Stage::Drained | Stage::ActionRunning)
                || going.stage == Stage::Drained && release.state == ReleaseState::Halted
            {
                return None;
            }
            let version = release.plan.version_on(going.to);
            let fill = |word: &String| word.replace("{name}", who).replace("{version}", version);
            Some(AgentTask {
                release: name.clone(),
                target: who.to_string(),
                started_at: going.started_at,
                stage: going.stage,
                agent: going.agent,
                target_kind: release.plan.target_kind,
                command: action.command.iter().map(fill).collect(),
                timeout_ms: action.timeout_ms,
            })
        };
        self.0.iter().find_map(due)
    }

    /// Whether any runs: then members are to be told for sure.
    pub fn any_active(&self) -> bool {
        self.0.values().any(|release| !release.is_ended())
    }

    /// Whether this process of a member is to be out by a release's word. One whose release halted may come back, but for one
    /// on which an action is under way.
    pub fn is_to_drain(&self, who: &str, incarnation: u64) -> bool {
        self.0.values().filter(|release| release.plan.target_kind == TargetKind::Sidecars).any(|release| {
            let going = release.steps.get(who).and_then(|step| step.transition);
            going.is_some_and(|going| {
                let out = going.stage < Stage::Watched && going.incarnation == incarnation;
                out && (release.state != ReleaseState::Halted || going.stage == Stage::ActionRunning)
            })
        })
    }

    /// # Errors
    /// Why it has no effect.
    pub fn apply(
        &mut self,
        index: Index,
        order: &ReleaseUpdate,
        around: &mut FleetContext,
    ) -> Result<(), ReleaseError> {
        match order {
            ReleaseUpdate::Start(plan, before) => self.start(plan, *before, around),
            ReleaseUpdate::Halt { release, why, worse } => {
                let release = self.running(release)?;
                if release.state != ReleaseState::Halted {
                    release.state = ReleaseState::Halted;
                    release.rollback_pending = false;
                    release.halted = Some((why.chars().take(MAX_TEXT_BYTES).collect(), *worse));
                }
                Ok(())
            }
            ReleaseUpdate::Resume(name) => {
                let release = self.running(name)?;
                if release.state == ReleaseState::Halted {
                    // One that was sent back goes on going back: forward would move some twice.
                    release.state = if release.rolled_back {
                        ReleaseState::RollingBack
                    } else {
                        ReleaseState::RollingOut
                    };
                }
                Ok(())
            }
            ReleaseUpdate::Rollback(name) => {
                let release = self.running(name)?;
                if release.state == ReleaseState::RollingBack {
                    return Ok(());
                }
                // Danger: one that is on its way forward must be back, here or there, before it is sent the other way.
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
                let release = self.running(name)?;
                let going: Vec<&str> = release.transitions().map(|(who, _)| who.as_str()).collect();
                if !going.is_empty() {
                    return Err(ReleaseError::InProgress(going.join(", ")));
                }
                release.state = ReleaseState::Ended(how.chars().take(MAX_TEXT_BYTES).collect());
                Ok(())
            }
            ReleaseUpdate::BeginTransition { release, target: who, to, missing } => {
                let release = self.running(release)?;
                release.send(index, who, *to, missing, around)
            }
            ReleaseUpdate::AdvanceTransition { release, target: who, started_at: since, to, agent } => {
                let release = self.running(release)?;
                let Some(going) = release.steps.get_mut(who).and_then(|step| step.transition.as_mut()) else {
                    return Err(ReleaseError::Stale);
                };
                // Danger: what is said again, or late, must not take one back to where it was, or past what was not done.
                let next = match (going.stage, to) {
                    (Stage::Draining, Stage::Drained)
                    | (Stage::Drained, Stage::ActionRunning | Stage::Watched)
                    | (Stage::ActionRunning, Stage::ActionDone)
                    | (Stage::ActionDone, Stage::Watched) => true,
                    (stage, to) => stage == *to && going.agent == *agent,
                };
                // An action that has an agent is ended by this one and no other.
                let own = going.stage != Stage::ActionRunning || going.agent == *agent;
                if going.started_at != *since || !next || !own {
                    return Err(ReleaseError::Stale);
                }
                going.stage = *to;
                if *to == Stage::ActionRunning {
                    going.agent = *agent;
                }
                if *to == Stage::Watched {
                    match release.plan.target_kind {
                        TargetKind::Sidecars => around.sent(who, false),
                        TargetKind::Endpoints => around.endpoint(index, who, false),
                    }
                }
                Ok(())
            }
            ReleaseUpdate::FinishTransition { release, target: who, started_at: since, reached: moved } => {
                let release = self.running(release)?;
                let plan = &release.plan;
                let Some(step) = release.steps.get_mut(who) else { return Err(ReleaseError::Stale) };
                let Some(going) = step.transition.filter(|going| going.started_at == *since) else {
                    return Err(ReleaseError::Stale);
                };
                step.transition = None;
                if *moved {
                    step.reached = Some((going.to, index));
                }
                match plan.target_kind {
                    TargetKind::Sidecars => around.sent(who, false),
                    TargetKind::Endpoints => around.endpoint(index, who, false),
                }
                Ok(())
            }
            ReleaseUpdate::MarkReached { release, target: who, side } => {
                let release = self.running(release)?;
                match release.steps.get_mut(who) {
                    Some(step) if step.transition.is_none() => {
                        step.reached = Some((*side, index));
                        Ok(())
                    }
                    _ => Err(ReleaseError::Stale),
                }
            }
        }
    }

    fn running(&mut self, name: &str) -> Result<&mut Release, ReleaseError> {
        match self.0.get_mut(name) {
            None => Err(ReleaseError::Unknown(name.to_string())),
            Some(release) if release.is_ended() => Err(ReleaseError::Ended),
            Some(release) => Ok(release),
        }
    }

    fn start(
        &mut self,
        plan: &Plan,
        before: RequestCounts,
        around: &FleetContext,
    ) -> Result<(), ReleaseError> {
        let faulty = |what: String| Err(ReleaseError::Invalid(what));
        if let Some(same) = self.0.get(&plan.name) {
            // Said again, as its answer was lost: it has started once.
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
        let here =
            |member: &Member| member.groups.contains(&plan.group) && member.status != MemberStatus::Gone;
        let here = around.members.iter().filter(|(_, member)| here(member));
        let of = match plan.check_against(around.groups, here.map(|(name, _)| name.clone()).collect()) {
            Ok((of, _)) => of,
            Err(what) => return faulty(what),
        };
        if self.0.len() >= KEPT_MOST {
            let over = self.0.iter().find(|(_, release)| release.is_ended()).map(|(name, _)| name.clone());
            match over {
                Some(over) => self.0.remove(&over),
                None => return faulty(format!("there are {KEPT_MOST} releases under way already")),
            };
        }
        let order = if plan.order.is_empty() { of } else { plan.order.clone() };
        let steps = order.iter().map(|name| (name.clone(), Step::default())).collect();
        let (plan, course) = (plan.clone(), ReleaseState::RollingOut);
        self.0.insert(
            plan.name.clone(),
            Release {
                plan,
                order,
                steps,
                state: course,
                halted: None,
                rollback_pending: false,
                rolled_back: false,
                baseline: before,
            },
        );
        Ok(())
    }

    /// All that run are halted, as after a restore: nobody knows what was done since.
    pub fn halt_all(&mut self, why: &str) {
        for release in self.0.values_mut().filter(|release| !release.is_ended()) {
            release.state = ReleaseState::Halted;
            release.halted = Some((why.to_string(), false));
        }
    }
}

impl Release {
    fn send(
        &mut self,
        index: Index,
        who: &str,
        to: Side,
        missing: &[String],
        around: &mut FleetContext,
    ) -> Result<(), ReleaseError> {
        let wanted = match self.state {
            ReleaseState::RollingOut => Side::New,
            ReleaseState::RollingBack => Side::Old,
            _ => return Err(ReleaseError::Stale),
        };
        let under_way = self.transitions().count();
        let Some(step) = self.steps.get_mut(who) else { return Err(ReleaseError::Stale) };
        if to != wanted
            || step.transition.is_some()
            || step.reached.is_some_and(|(side, _)| side == to)
            || under_way >= self.plan.max_out as usize
        {
            return Err(ReleaseError::Stale);
        }
        let incarnation = match self.plan.target_kind {
            TargetKind::Sidecars => {
                outs::check_member_out(around.groups, around.members, who)
                    .map_err(ReleaseError::OutLimitReached)?;
                let Some(member) = around.members.get(who).filter(|m| m.status == MemberStatus::Serving)
                else {
                    return Err(ReleaseError::Stale);
                };
                member.incarnation
            }
            TargetKind::Endpoints => {
                outs::check_endpoint_out(around.groups, around.endpoints, missing, who)
                    .map_err(ReleaseError::OutLimitReached)?;
                0
            }
        };
        step.transition =
            Some(Transition { to, stage: Stage::Draining, incarnation, agent: 0, started_at: index });
        match self.plan.target_kind {
            TargetKind::Sidecars => around.sent(who, true),
            TargetKind::Endpoints => around.endpoint(index, who, true),
        }
        Ok(())
    }
}

/// Why an order has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseError {
    Unknown(String),
    Ended,
    /// These are under way still.
    InProgress(String),
    /// It was said before, or something else has come first.
    Stale,
    Invalid(String),
    OutLimitReached(OutLimitReached),
}

impl fmt::Display for ReleaseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReleaseError::Unknown(name) => write!(f, "there is no release {name}"),
            ReleaseError::Ended => write!(f, "it has ended"),
            ReleaseError::InProgress(who) => write!(f, "under way still: {who}; halt it first"),
            ReleaseError::Stale => write!(f, "something else has come first"),
            ReleaseError::Invalid(what) => write!(f, "{what}"),
            ReleaseError::OutLimitReached(why) => write!(f, "{why}"),
        }
    }
}
