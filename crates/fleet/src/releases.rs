//! Releases: what is moved to another version, step by step, under the most that may be out. A release's state is in the log: it
//! goes on under another leader where it stood, no step twice and none skipped. What a leader sees of it is in `runner`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use appledyke_consensus::Index;
use serde::{Deserialize, Serialize};

use crate::health::{Figures, Must};
use crate::members::{Member, Standing, TEXT_MOST};
use crate::outs::{self, Group, NotNow};

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
pub enum Moves {
    Sidecars,
    Endpoints,
}

/// Whether a release goes back by itself once it has halted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GoesBack {
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
    pub within_ms: u64,
}

/// A release as its file states it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Plan {
    pub format: u32,
    pub name: String,
    pub moves: Moves,
    /// The settings' group that is moved; its bounds hold.
    pub group: String,
    /// The first to last; all members of the group by name where none is stated.
    #[serde(default)]
    pub order: Vec<String>,
    /// Most that this release has under way at once.
    pub most_out: u32,
    pub from: String,
    pub to: String,
    /// None: it waits for each to return with the expected version.
    #[serde(default)]
    pub action: Option<Action>,
    /// In which one that is sent out must be empty, and be back from then on, in milliseconds.
    pub empty_in_ms: u64,
    pub back_in_ms: u64,
    /// How long one that is back is not judged yet, as it is cold; and for how long it is judged then.
    #[serde(default)]
    pub settle_ms: u64,
    pub watch_ms: u64,
    /// Longest that it is watched for enough reqs to judge.
    pub watch_most_ms: u64,
    pub must: Must,
    #[serde(default)]
    pub goes_back: GoesBack,
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
            if text.is_empty() || text.len() > TEXT_MOST {
                return Err(format!("{key}: expected 1 to {TEXT_MOST} bytes"));
            }
        }
        if self.from == self.to {
            return Err(format!("to: expected another version than {}", self.from));
        }
        if self.most_out == 0 {
            return Err("mostOut: expected at least 1".to_string());
        }
        let waits = [
            ("emptyInMs", self.empty_in_ms),
            ("backInMs", self.back_in_ms),
            ("watchMs", self.watch_ms),
            ("watchMostMs", self.watch_most_ms),
        ];
        for (key, ms) in waits {
            if !(1..=WAIT_MOST_MS).contains(&ms) {
                return Err(format!("{key}: expected 1 to {WAIT_MOST_MS}, not {ms}"));
            }
        }
        if self.settle_ms > WAIT_MOST_MS {
            return Err(format!("settleMs: expected 0 to {WAIT_MOST_MS}, not {}", self.settle_ms));
        }
        if self.watch_most_ms < self.watch_ms {
            return Err(format!(
                "watchMostMs: expected at least watchMs, {}, not {}",
                self.watch_ms, self.watch_most_ms
            ));
        }
        let mut names = BTreeSet::new();
        for name in &self.order {
            if name.is_empty() || name.len() > TEXT_MOST {
                return Err(format!("order: expected names of 1 to {TEXT_MOST} bytes"));
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
                if action.command.iter().any(|word| word.len() > TEXT_MOST) {
                    return Err(format!("action.command: expected words of {TEXT_MOST} bytes at the most"));
                }
                if !action.command[0].starts_with('/') {
                    return Err(format!(
                        "action.command: expected the whole path of a program, not '{}'",
                        action.command[0]
                    ));
                }
                if !(1..=WAIT_MOST_MS).contains(&action.within_ms) {
                    return Err(format!(
                        "action.withinMs: expected 1 to {WAIT_MOST_MS}, not {}",
                        action.within_ms
                    ));
                }
            }
            None if self.moves == Moves::Endpoints => {
                return Err("action: expected one, as nobody tells which version an endpoint has".to_string());
            }
            None => {}
        }
        if self.moves == Moves::Endpoints && self.order.is_empty() {
            return Err("order: expected the endpoints' names".to_string());
        }
        self.must.check()
    }

    /// Checks it against a fleet: the settings' groups, and the members of its group that are not gone. Gives all that are in the
    /// group, and how many of them may be out at once.
    ///
    /// # Errors
    /// The key that is at fault, and what would do.
    pub fn fits(&self, groups: &[Group], members: Vec<String>) -> Result<(Vec<String>, usize), String> {
        let Some(group) = groups.iter().find(|group| group.name == self.group) else {
            return Err(format!("group: the settings have no group {}", self.group));
        };
        let of = match self.moves {
            Moves::Sidecars => members,
            Moves::Endpoints => group.endpoints.clone(),
        };
        let size = of.len();
        if size == 0 {
            return Err(format!("group: nobody is in {}", self.group));
        }
        if let Some(odd) = self.order.iter().find(|name| !of.contains(name)) {
            return Err(format!("order: {odd} is not in {}", self.group));
        }
        if self.most_out as usize >= size && size > 1 {
            return Err(format!("mostOut: {} of {size} would be all; {} would do", self.most_out, size - 1));
        }
        match group.most(size).min(self.most_out as usize) {
            0 => Err(format!("group: {} lets none of {size} go out", self.group)),
            most => Ok((of, most)),
        }
    }

    /// The version that one has once it has gone this way.
    pub fn version(&self, side: Side) -> &str {
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
    Sent,
    Empty,
    /// An agent has begun the action.
    Acting,
    Acted,
    /// It serves again, and is watched.
    Back,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Stage::Sent => "drains",
            Stage::Empty => "empty",
            Stage::Acting => "acted on",
            Stage::Acted => "to be back",
            Stage::Back => "watched",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Going {
    pub to: Side,
    pub stage: Stage,
    /// Of the process that was sent out; of no meaning for an endpoint.
    pub incarnation: u64,
    /// Which agent has begun the action.
    pub agent: u64,
    /// The entry that sent it out: each going of one has another.
    pub since: Index,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version that it was brought to last, by this release, and the entry that said so.
    pub moved: Option<(Side, Index)>,
    pub going: Option<Going>,
}

impl Step {
    /// For people: how one stands.
    pub fn line(&self, plan: &Plan) -> String {
        match (&self.going, self.moved) {
            (Some(going), _) => format!("{}, on its way to {}", going.stage, plan.version(going.to)),
            (None, Some((side, _))) => format!("at {}", plan.version(side)),
            (None, None) => "not moved".to_string(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Course {
    Forward,
    Backward,
    Halted,
    /// All are moved, or all are back; or an operator ended it.
    Ended(String),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    pub plan: Plan,
    pub order: Vec<String>,
    pub steps: BTreeMap<String, Step>,
    pub course: Course,
    /// Why it halted last, and whether as what was moved does worse than what was not.
    pub halted: Option<(String, bool)>,
    /// It goes back once nobody is under way any more.
    pub wants_back: bool,
    /// It has been sent back once, so it is not again by itself.
    pub went_back: bool,
    /// What the group did before anything was moved.
    pub before: Figures,
}

impl Release {
    pub fn is_over(&self) -> bool {
        matches!(self.course, Course::Ended(_))
    }

    pub fn going(&self) -> impl Iterator<Item = (&String, &Going)> {
        self.steps.iter().filter_map(|(name, step)| Some((name, step.going.as_ref()?)))
    }

    /// Those that it has brought to this version and that are not under way.
    pub fn moved(&self, side: Side) -> impl Iterator<Item = &String> {
        let moved = move |step: &Step| step.going.is_none() && step.moved.is_some_and(|(to, _)| to == side);
        self.steps.iter().filter(move |(_, step)| moved(step)).map(|(name, _)| name)
    }

    /// For people: how it stands, in one line.
    pub fn line(&self) -> String {
        let (new, old) = (self.moved(Side::New).count(), self.moved(Side::Old).count());
        let Plan { name, from, to, group, .. } = &self.plan;
        let course = match (&self.course, &self.halted) {
            (Course::Forward, _) => "under way".to_string(),
            (Course::Backward, Some((why, _))) => format!("goes back, as: {why}"),
            (Course::Backward, None) => "goes back".to_string(),
            (Course::Halted, Some((why, _))) => format!("halted: {why}"),
            (Course::Halted, None) => "halted".to_string(),
            (Course::Ended(how), _) => format!("ended: {how}"),
        };
        let mut line = format!("{name}: {course}; {new} of {} in {group} moved to {to}", self.order.len());
        if old > 0 {
            line += &format!(", {old} back at {from}");
        }
        let going: Vec<String> = self.going().map(|(who, going)| format!("{who} {}", going.stage)).collect();
        if !going.is_empty() {
            line += &format!("; {}", going[..going.len().min(NAMED_MOST)].join(", "));
        }
        line
    }
}

/// What changes a release: an entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// With what the group did before.
    Start(Box<Plan>, Figures),
    Halt {
        release: String,
        why: String,
        worse: bool,
    },
    Resume(String),
    Back(String),
    /// Over, and why: refused while any is under way.
    End(String, String),
    /// Who is next may go out, if the bounds bear it. What is out by itself beside is told with it, for endpoints.
    Send {
        release: String,
        who: String,
        to: Side,
        missing: Vec<String>,
    },
    /// One has come further: from the stage that is stated, in the going that is stated, and no other.
    Further {
        release: String,
        who: String,
        since: Index,
        to: Stage,
        agent: u64,
    },
    /// It is not under way any more: brought to where it went, or left as it was.
    Settle {
        release: String,
        who: String,
        since: Index,
        moved: bool,
    },
    /// One that has this version already is not moved again.
    Found {
        release: String,
        who: String,
        side: Side,
    },
}

/// What is asked of the agent beside one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub release: String,
    pub who: String,
    pub since: Index,
    pub stage: Stage,
    pub agent: u64,
    pub moves: Moves,
    /// Ready to be run: its placeholders are filled.
    pub command: Vec<String>,
    pub within_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Releases(BTreeMap<String, Release>);

/// What a change of releases needs of the rest of the state.
pub struct Around<'a> {
    pub groups: &'a [Group],
    pub members: &'a mut BTreeMap<String, Member>,
    pub endpoints: &'a mut BTreeSet<String>,
    /// The entry that changed the endpoints last.
    pub endpoints_at: &'a mut Index,
}

impl Around<'_> {
    fn endpoint(&mut self, index: Index, name: &str, out: bool) {
        let changed = if out { self.endpoints.insert(name.to_string()) } else { self.endpoints.remove(name) };
        if changed {
            *self.endpoints_at = index;
        }
    }

    fn sent(&mut self, name: &str, sent: bool) {
        if let Some(member) = self.members.get_mut(name) {
            member.sent = sent;
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
    pub fn work(&self, who: &str) -> Option<Work> {
        let due = |(name, release): (&String, &Release)| {
            let going = release.steps.get(who)?.going?;
            let action = release.plan.action.as_ref()?;
            if !matches!(going.stage, Stage::Empty | Stage::Acting)
                || going.stage == Stage::Empty && release.course == Course::Halted
            {
                return None;
            }
            let version = release.plan.version(going.to);
            let fill = |word: &String| word.replace("{name}", who).replace("{version}", version);
            Some(Work {
                release: name.clone(),
                who: who.to_string(),
                since: going.since,
                stage: going.stage,
                agent: going.agent,
                moves: release.plan.moves,
                command: action.command.iter().map(fill).collect(),
                within_ms: action.within_ms,
            })
        };
        self.0.iter().find_map(due)
    }

    /// Whether any runs: then members are to be told for sure.
    pub fn any_runs(&self) -> bool {
        self.0.values().any(|release| !release.is_over())
    }

    /// Whether this process of a member is to be out by a release's word. One whose release halted may come back, but for one
    /// on which an action is under way.
    pub fn sends(&self, who: &str, incarnation: u64) -> bool {
        self.0.values().filter(|release| release.plan.moves == Moves::Sidecars).any(|release| {
            let going = release.steps.get(who).and_then(|step| step.going);
            going.is_some_and(|going| {
                let out = going.stage < Stage::Back && going.incarnation == incarnation;
                out && (release.course != Course::Halted || going.stage == Stage::Acting)
            })
        })
    }

    /// # Errors
    /// Why it has no effect.
    pub fn apply(&mut self, index: Index, order: &Order, around: &mut Around) -> Result<(), Declined> {
        match order {
            Order::Start(plan, before) => self.start(plan, *before, around),
            Order::Halt { release, why, worse } => {
                let release = self.running(release)?;
                if release.course != Course::Halted {
                    release.course = Course::Halted;
                    release.wants_back = false;
                    release.halted = Some((why.chars().take(TEXT_MOST).collect(), *worse));
                }
                Ok(())
            }
            Order::Resume(name) => {
                let release = self.running(name)?;
                if release.course == Course::Halted {
                    // One that was sent back goes on going back: forward would move some twice.
                    release.course = if release.went_back { Course::Backward } else { Course::Forward };
                }
                Ok(())
            }
            Order::Back(name) => {
                let release = self.running(name)?;
                if release.course == Course::Backward {
                    return Ok(());
                }
                // Danger: one that is on its way forward must be back, here or there, before it is sent the other way.
                if release.going().next().is_some() {
                    (release.course, release.wants_back) = (Course::Halted, true);
                    release.halted.get_or_insert(("to go back".to_string(), false));
                } else {
                    (release.course, release.wants_back, release.went_back) = (Course::Backward, false, true);
                }
                Ok(())
            }
            Order::End(name, how) => {
                let release = self.running(name)?;
                let going: Vec<&str> = release.going().map(|(who, _)| who.as_str()).collect();
                if !going.is_empty() {
                    return Err(Declined::UnderWay(going.join(", ")));
                }
                release.course = Course::Ended(how.chars().take(TEXT_MOST).collect());
                Ok(())
            }
            Order::Send { release, who, to, missing } => {
                let release = self.running(release)?;
                release.send(index, who, *to, missing, around)
            }
            Order::Further { release, who, since, to, agent } => {
                let release = self.running(release)?;
                let Some(going) = release.steps.get_mut(who).and_then(|step| step.going.as_mut()) else {
                    return Err(Declined::Passed);
                };
                // Danger: what is said again, or late, must not take one back to where it was, or past what was not done.
                let next = match (going.stage, to) {
                    (Stage::Sent, Stage::Empty)
                    | (Stage::Empty, Stage::Acting | Stage::Back)
                    | (Stage::Acting, Stage::Acted)
                    | (Stage::Acted, Stage::Back) => true,
                    (stage, to) => stage == *to && going.agent == *agent,
                };
                // An action that has an agent is ended by this one and no other.
                let own = going.stage != Stage::Acting || going.agent == *agent;
                if going.since != *since || !next || !own {
                    return Err(Declined::Passed);
                }
                going.stage = *to;
                if *to == Stage::Acting {
                    going.agent = *agent;
                }
                if *to == Stage::Back {
                    match release.plan.moves {
                        Moves::Sidecars => around.sent(who, false),
                        Moves::Endpoints => around.endpoint(index, who, false),
                    }
                }
                Ok(())
            }
            Order::Settle { release, who, since, moved } => {
                let release = self.running(release)?;
                let plan = &release.plan;
                let Some(step) = release.steps.get_mut(who) else { return Err(Declined::Passed) };
                let Some(going) = step.going.filter(|going| going.since == *since) else {
                    return Err(Declined::Passed);
                };
                step.going = None;
                if *moved {
                    step.moved = Some((going.to, index));
                }
                match plan.moves {
                    Moves::Sidecars => around.sent(who, false),
                    Moves::Endpoints => around.endpoint(index, who, false),
                }
                Ok(())
            }
            Order::Found { release, who, side } => {
                let release = self.running(release)?;
                match release.steps.get_mut(who) {
                    Some(step) if step.going.is_none() => {
                        step.moved = Some((*side, index));
                        Ok(())
                    }
                    _ => Err(Declined::Passed),
                }
            }
        }
    }

    fn running(&mut self, name: &str) -> Result<&mut Release, Declined> {
        match self.0.get_mut(name) {
            None => Err(Declined::Unknown(name.to_string())),
            Some(release) if release.is_over() => Err(Declined::Over),
            Some(release) => Ok(release),
        }
    }

    fn start(&mut self, plan: &Plan, before: Figures, around: &Around) -> Result<(), Declined> {
        let faulty = |what: String| Err(Declined::Faulty(what));
        if let Some(same) = self.0.get(&plan.name) {
            // Said again, as its answer was lost: it has started once.
            return if same.plan == *plan && !same.is_over() {
                Ok(())
            } else {
                faulty(format!("name: there is a release {} already", plan.name))
            };
        }
        if let Err(what) = plan.check() {
            return faulty(what);
        }
        let running = |other: &&Release| !other.is_over() && other.plan.group == plan.group;
        if let Some(other) = self.0.values().find(running) {
            return faulty(format!("group: release {} moves {} already", other.plan.name, plan.group));
        }
        let here = |member: &Member| member.groups.contains(&plan.group) && member.standing != Standing::Gone;
        let here = around.members.iter().filter(|(_, member)| here(member));
        let of = match plan.fits(around.groups, here.map(|(name, _)| name.clone()).collect()) {
            Ok((of, _)) => of,
            Err(what) => return faulty(what),
        };
        if self.0.len() >= KEPT_MOST {
            let over = self.0.iter().find(|(_, release)| release.is_over()).map(|(name, _)| name.clone());
            match over {
                Some(over) => self.0.remove(&over),
                None => return faulty(format!("there are {KEPT_MOST} releases under way already")),
            };
        }
        let order = if plan.order.is_empty() { of } else { plan.order.clone() };
        let steps = order.iter().map(|name| (name.clone(), Step::default())).collect();
        let (plan, course) = (plan.clone(), Course::Forward);
        self.0.insert(
            plan.name.clone(),
            Release { plan, order, steps, course, halted: None, wants_back: false, went_back: false, before },
        );
        Ok(())
    }

    /// All that run are halted, as after a restore: nobody knows what was done since.
    pub fn halt_all(&mut self, why: &str) {
        for release in self.0.values_mut().filter(|release| !release.is_over()) {
            release.course = Course::Halted;
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
        around: &mut Around,
    ) -> Result<(), Declined> {
        let wanted = match self.course {
            Course::Forward => Side::New,
            Course::Backward => Side::Old,
            _ => return Err(Declined::Passed),
        };
        let under_way = self.going().count();
        let Some(step) = self.steps.get_mut(who) else { return Err(Declined::Passed) };
        if to != wanted
            || step.going.is_some()
            || step.moved.is_some_and(|(side, _)| side == to)
            || under_way >= self.plan.most_out as usize
        {
            return Err(Declined::Passed);
        }
        let incarnation = match self.plan.moves {
            Moves::Sidecars => {
                outs::may_go(around.groups, around.members, who).map_err(Declined::NotNow)?;
                let Some(member) = around.members.get(who).filter(|m| m.standing == Standing::Serving) else {
                    return Err(Declined::Passed);
                };
                member.incarnation
            }
            Moves::Endpoints => {
                outs::endpoint_may_go(around.groups, around.endpoints, missing, who)
                    .map_err(Declined::NotNow)?;
                0
            }
        };
        step.going = Some(Going { to, stage: Stage::Sent, incarnation, agent: 0, since: index });
        match self.plan.moves {
            Moves::Sidecars => around.sent(who, true),
            Moves::Endpoints => around.endpoint(index, who, true),
        }
        Ok(())
    }
}

/// Why an order has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Declined {
    Unknown(String),
    Over,
    /// These are under way still.
    UnderWay(String),
    /// It was said before, or something else has come first.
    Passed,
    Faulty(String),
    NotNow(NotNow),
}

impl fmt::Display for Declined {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Declined::Unknown(name) => write!(f, "there is no release {name}"),
            Declined::Over => write!(f, "it has ended"),
            Declined::UnderWay(who) => write!(f, "under way still: {who}; halt it first"),
            Declined::Passed => write!(f, "something else has come first"),
            Declined::Faulty(what) => write!(f, "{what}"),
            Declined::NotNow(why) => write!(f, "{why}"),
        }
    }
}
