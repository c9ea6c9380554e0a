//! Judges a scale run from outside, by what is told of it as it comes: no process is asked whether it was right.
//!
//! Of one member observations come in their order; those of several may cross. Of a change that concerns a member the time
//! runs from "committed", or from when the member was last back, if it was down or cut off then.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use serde::{Deserialize, Serialize, Serializer};

use super::fit::{Percentiles, percentiles};

/// Verdicts of a rule that are told in full; all are counted.
const TOLD: usize = 20;
/// Requests are counted in pieces of this length.
const BIN: Span = Span::from_millis(100);
/// A sidecar that is asked less than this part of what it was asked before hangs, or its clients do.
const FEWER_PART: f64 = 0.5;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// From committed to the last member that acts on it.
    pub in_force_ms: u64,
    /// What control costs a sidecar: share of a core, bytes of memory, bytes a second both ways.
    pub core_share: f64,
    pub memory_bytes: u64,
    pub bytes_per_second: f64,
    /// Share of a budget's whole by which the sum of what holders may use may be above it.
    pub budget_slack: f64,
    /// A request that takes longer is slow.
    pub slow_ms: u64,
    /// Share of the requests that may fail, or be slow, in the time of a fault beyond that of the time before.
    pub failed_more: f64,
    pub slow_more: f64,
    /// The time before a fault that it is compared with, if the fault is shorter.
    pub paired_ms: u64,
    /// Fewer requests on either side of a pair aren't judged.
    pub requests_least: u64,
    /// A hollow loop that did something so much after it was due makes the run void.
    pub late_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        // The first four are the operators' target, in thousands as theirs. The others are ours: a loop that is late by a
        // part of a beat still reports within it.
        Limits {
            in_force_ms: 18_000,
            core_share: 0.01,
            memory_bytes: 32_000_000,
            bytes_per_second: 4000.0,
            budget_slack: 0.0,
            slow_ms: 100,
            failed_more: 0.005,
            slow_more: 0.01,
            paired_ms: 5000,
            requests_least: 200,
            late_ms: 250,
        }
    }
}

impl Limits {
    /// # Errors
    /// The key that can't be met, and why.
    pub fn check(&self) -> Result<(), String> {
        for (key, share) in [
            ("core_share", self.core_share),
            ("budget_slack", self.budget_slack),
            ("failed_more", self.failed_more),
            ("slow_more", self.slow_more),
        ] {
            if !(0.0..=1.0).contains(&share) {
                return Err(format!("limits.{key}: expected 0 to 1, not {share}"));
            }
        }
        if !(self.bytes_per_second >= 0.0 && self.bytes_per_second.is_finite()) {
            return Err(format!(
                "limits.bytes_per_second: expected 0 or more, not {}",
                self.bytes_per_second
            ));
        }
        for (key, count) in [("in_force_ms", self.in_force_ms), ("paired_ms", self.paired_ms)] {
            if count == 0 {
                return Err(format!("limits.{key}: expected a positive whole number, not 0"));
            }
        }
        Ok(())
    }

    /// The target for a sidecar's control.
    pub fn sidecar(&self) -> Ceiling {
        Ceiling {
            core_share: self.core_share,
            memory_bytes: self.memory_bytes,
            bytes_per_second: self.bytes_per_second,
        }
    }
}

/// What a process may use, for each member in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    pub core_share: f64,
    pub memory_bytes: u64,
    pub bytes_per_second: f64,
}

/// What a process used over a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Used {
    pub from: Moment,
    pub until: Moment,
    pub processor: Span,
    /// At the most.
    pub memory_bytes: u64,
    /// Both ways.
    pub bytes: u64,
    /// Members that the process holds: the ceiling is for each.
    pub members: u64,
}

/// Which versions are counted together: those of one scope. Without scopes there is one.
pub type Scope = u32;

/// Settings of a scope, a version and a digest of their text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Settings {
    pub scope: Scope,
    pub version: Version,
    pub text: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Answered(Span),
    /// Also one that never came.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    InForce,
    OnlyForwards,
    OneText,
    BudgetWhole,
    Processor,
    Memory,
    Bytes,
    RequestsFailed,
    RequestsSlow,
    RequestsMissing,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::InForce => "in force in time",
            Rule::OnlyForwards => "only forwards",
            Rule::OneText => "one text of a version",
            Rule::BudgetWhole => "never above the whole",
            Rule::Processor => "processor time",
            Rule::Memory => "memory",
            Rule::Bytes => "bytes",
            Rule::RequestsFailed => "requests don't fail",
            Rule::RequestsSlow => "requests aren't slow",
            Rule::RequestsMissing => "requests come through",
        })
    }
}

/// A rule that was broken: when, where, and by how much.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Broken {
    pub rule: Rule,
    #[serde(rename = "at_ms", serialize_with = "millis")]
    pub at: Moment,
    pub place: String,
    pub by: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}: {}", seconds(self.at), self.rule, self.place, self.by)
    }
}

/// How a change came into force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    pub scope: Scope,
    pub version: String,
    #[serde(rename = "committed_ms", serialize_with = "millis")]
    pub committed: Moment,
    /// Whom it concerns.
    pub members: usize,
    /// In nanoseconds, of all that acted on it or on a later one.
    pub in_force: Option<Percentiles>,
    pub last_member: Option<String>,
    /// Of these, so many were down or cut off at first, and count from when they were back.
    pub returned: usize,
    /// Acted on it while they were taken for down or cut off: their time isn't known, and not counted.
    pub while_away: usize,
    /// At the end: not yet, and away.
    pub open: usize,
    pub away: usize,
}

/// The most that holders might use of a budget together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Peak {
    pub sum: u64,
    pub whole: u64,
    #[serde(rename = "at_ms", serialize_with = "millis")]
    pub at: Moment,
}

/// Requests through real sidecars in the time of a fault against the time before it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pair {
    pub fault: String,
    pub before: Requests,
    pub during: Requests,
    /// Means over the sidecars, of the shares' differences.
    pub failed_more: f64,
    pub slow_more: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Requests {
    pub all: u64,
    pub failed: u64,
    pub slow: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Judgement {
    /// Why the run says nothing; nothing if it says something.
    pub void: Vec<String>,
    /// By rule, then time, then place; at most a number of each rule.
    pub broken: Vec<Broken>,
    /// All of each rule.
    pub counts: BTreeMap<Rule, u64>,
    /// What couldn't be judged, and why.
    pub unjudged: Vec<String>,
    pub changes: Vec<Change>,
    /// Over all changes, in nanoseconds.
    pub in_force: Option<Percentiles>,
    /// New incarnations of members, until they acted on what was in force already; in nanoseconds.
    pub caught_up: Option<Percentiles>,
    pub budgets: BTreeMap<String, Peak>,
    pub pairs: Vec<Pair>,
    /// The most that a hollow loop was late, in nanoseconds; nothing if none was seen.
    pub late: Option<u64>,
}

impl Judgement {
    /// Whether all that was judged held, in a run that says something.
    pub fn kept(&self) -> bool {
        self.void.is_empty() && self.broken.is_empty()
    }
}

struct Committed {
    settings: Settings,
    at: Moment,
    members: usize,
    waits: Vec<u64>,
    last: Option<(u64, usize)>,
    returned: usize,
    while_away: usize,
}

/// A change that a member has still to act on.
struct Wait {
    change: usize,
    /// Since when; nothing while it is away.
    from: Option<Moment>,
    returned: bool,
    /// It acted on it already, in another incarnation.
    again: bool,
}

#[derive(Default)]
struct Member {
    name: String,
    incarnation: u64,
    present: Option<Moment>,
    /// What it acts on, by incarnation and scope.
    acts: BTreeMap<(u64, Scope), Version>,
    waits: Vec<Wait>,
    /// The latest change of each scope that concerns it.
    concerned: BTreeMap<Scope, usize>,
}

impl Member {
    fn acts_on(&self, settings: &Settings) -> bool {
        let acts = self.acts.get(&(self.incarnation, settings.scope));
        acts.is_some_and(|acts| *acts >= settings.version)
    }
}

/// The longest that a member took for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Longest {
    pub member: usize,
    pub from: Moment,
    /// When it acted on it; the moment of asking if it has not.
    pub until: Moment,
    pub version: Version,
}

/// The worst of several that broke one rule, and how many there were.
struct Worst<T> {
    worst: T,
    at: Moment,
    place: String,
    count: u64,
}

struct Fault {
    name: String,
    from: Moment,
    until: Option<Moment>,
    struck: BTreeSet<usize>,
}

pub struct Referee {
    limits: Limits,
    members: Vec<Member>,
    changes: Vec<Committed>,
    caught_up: Vec<u64>,
    longest: BTreeMap<usize, Longest>,
    /// Of each change, and whether it was acted on again: who was too late.
    late: BTreeMap<(usize, bool), Worst<u64>>,
    /// What each version was first seen to be, and where.
    texts: BTreeMap<(Scope, Version), (u64, String)>,
    broken: Vec<Broken>,
    used: BTreeMap<(String, Rule), Worst<f64>>,
    used_spans: u64,
    peaks: BTreeMap<String, Peak>,
    above: BTreeMap<String, Worst<u64>>,
    faults: Vec<Fault>,
    requests: BTreeMap<(usize, u64), Requests>,
    loops: BTreeMap<String, Worst<u64>>,
    latest_loop: Option<u64>,
    first: Option<Moment>,
}

fn millis<S: Serializer>(at: &Moment, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(at.nanos() as f64 / 1e6)
}

fn seconds(at: Moment) -> f64 {
    at.nanos() as f64 / 1e9
}

fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

/// Counts one more, and keeps it if it is the worst.
fn worse<K: Ord, T: PartialOrd>(all: &mut BTreeMap<K, Worst<T>>, key: K, value: T, at: Moment, place: &str) {
    match all.get_mut(&key) {
        None => drop(all.insert(key, Worst { worst: value, at, place: place.to_string(), count: 1 })),
        Some(known) => {
            known.count += 1;
            if value > known.worst {
                (known.worst, known.at, known.place) = (value, at, place.to_string());
            }
        }
    }
}

impl Requests {
    fn add(&mut self, other: Requests) {
        self.all += other.all;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

impl Referee {
    /// Of these members; all are away until they are told to be back.
    pub fn new(limits: Limits, members: impl IntoIterator<Item = String>) -> Referee {
        let member = |name| Member { name, ..Member::default() };
        Referee {
            limits,
            members: members.into_iter().map(member).collect(),
            changes: Vec::new(),
            caught_up: Vec::new(),
            longest: BTreeMap::new(),
            late: BTreeMap::new(),
            texts: BTreeMap::new(),
            broken: Vec::new(),
            used: BTreeMap::new(),
            used_spans: 0,
            peaks: BTreeMap::new(),
            above: BTreeMap::new(),
            faults: Vec::new(),
            requests: BTreeMap::new(),
            loops: BTreeMap::new(),
            latest_loop: None,
            first: None,
        }
    }

    /// A member starts, in this incarnation, or is in reach again.
    pub fn back(&mut self, at: Moment, member: usize, incarnation: u64) {
        let known = &mut self.members[member];
        let new = incarnation != known.incarnation;
        if known.present.is_some() && !new {
            return;
        }
        (known.present, known.incarnation) = (Some(at), incarnation);
        for wait in &mut known.waits {
            wait.from = Some(at);
            wait.returned = true;
        }
        if new {
            let waits: BTreeSet<usize> = known.waits.iter().map(|wait| wait.change).collect();
            let again = known.concerned.values().filter(|change| !waits.contains(change));
            let again =
                again.map(|change| Wait { change: *change, from: Some(at), returned: true, again: true });
            known.waits.extend(again.collect::<Vec<_>>());
        }
    }

    /// A member is down or cut off from now on.
    pub fn away(&mut self, _at: Moment, member: usize) {
        let known = &mut self.members[member];
        known.present = None;
        known.waits.iter_mut().for_each(|wait| wait.from = None);
    }

    /// An operator was told that settings are committed; they concern these members, or all.
    pub fn committed(&mut self, at: Moment, settings: Settings, concerns: Option<&[usize]>) {
        self.text(at, settings, "as committed");
        let known = |change: &Committed| {
            (change.settings.scope, change.settings.version) == (settings.scope, settings.version)
        };
        if self.changes.iter().any(known) {
            return;
        }
        let whom: Vec<usize> = concerns.map_or_else(|| (0..self.members.len()).collect(), <[usize]>::to_vec);
        let change = self.changes.len();
        let mut committed = Committed {
            settings,
            at,
            members: whom.len(),
            waits: Vec::new(),
            last: None,
            returned: 0,
            while_away: 0,
        };
        for at_member in whom {
            let member = &mut self.members[at_member];
            let latest = member.concerned.get(&settings.scope).map(|at| self.changes[*at].settings.version);
            if latest.is_none_or(|latest| latest < settings.version) {
                member.concerned.insert(settings.scope, change);
            }
            // Members may act before the operator hears of it.
            if member.acts_on(&settings) {
                committed.waits.push(0);
                committed.last = committed.last.or(Some((0, at_member)));
                continue;
            }
            let from = member.present.map(|present| present.max(at));
            member.waits.push(Wait { change, from, returned: false, again: false });
        }
        self.changes.push(committed);
    }

    /// A member, in this incarnation, acts on settings.
    pub fn acts(&mut self, at: Moment, member: usize, incarnation: u64, settings: Settings) {
        let name = self.members[member].name.clone();
        self.text(at, settings, &name);
        let limit = Span::from_millis(self.limits.in_force_ms);
        let known = &mut self.members[member];
        let latest = known.acts.entry((incarnation, settings.scope)).or_insert(settings.version);
        if settings.version < *latest {
            let by = format!("{} after {latest} in incarnation {incarnation}", settings.version);
            self.broken.push(Broken { rule: Rule::OnlyForwards, at, place: name, by });
            return;
        }
        *latest = settings.version;
        if incarnation < known.incarnation {
            return;
        }
        known.incarnation = incarnation;
        let changes = &mut self.changes;
        let reached = |wait: &Wait| {
            let of = changes[wait.change].settings;
            of.scope == settings.scope && of.version <= settings.version
        };
        let (done, waits): (Vec<Wait>, Vec<Wait>) =
            std::mem::take(&mut known.waits).into_iter().partition(reached);
        known.waits = waits;
        for wait in done {
            let change = &mut changes[wait.change];
            let Some(from) = wait.from else {
                change.while_away += 1;
                continue;
            };
            let waited = at.since(from);
            let longest = Longest { member, from, until: at, version: change.settings.version };
            let known = self.longest.entry(member).or_insert(longest);
            if waited > known.until.since(known.from) {
                *known = longest;
            }
            if waited > limit {
                worse(&mut self.late, (wait.change, wait.again), waited.nanos(), at, &name);
            }
            if wait.again {
                self.caught_up.push(waited.nanos());
                continue;
            }
            change.waits.push(waited.nanos());
            change.last = change.last.max(Some((waited.nanos(), member)));
            change.returned += usize::from(wait.returned);
        }
    }

    /// The members that took the longest, each for the change that it took the longest for; those that still wait, by now.
    pub fn longest(&self, now: Moment, most: usize) -> Vec<Longest> {
        let mut all = self.longest.clone();
        for (member, known) in self.members.iter().enumerate() {
            for wait in &known.waits {
                let Some(from) = wait.from else { continue };
                let version = self.changes[wait.change].settings.version;
                let open = Longest { member, from, until: now, version };
                let longest = all.entry(member).or_insert(open);
                if now.since(from) > longest.until.since(longest.from) {
                    *longest = open;
                }
            }
        }
        let mut all: Vec<Longest> = all.into_values().collect();
        all.sort_by_key(|one| (std::cmp::Reverse(one.until.since(one.from)), one.member));
        all.truncate(most);
        all
    }

    /// Whatever is seen as a version must be the same text everywhere.
    fn text(&mut self, at: Moment, settings: Settings, place: &str) {
        let seen = self.texts.entry((settings.scope, settings.version));
        let (text, first) = seen.or_insert_with(|| (settings.text, place.to_string()));
        if *text != settings.text {
            let (of, was) = (settings.version, *text);
            let by = format!("{of} is text {:x}, and {was:x} at {first}", settings.text);
            self.broken.push(Broken { rule: Rule::OneText, at, place: place.to_string(), by });
        }
    }

    /// What a process used; several spans of one process are judged each for itself.
    pub fn used(&mut self, who: &str, used: &Used, ceiling: &Ceiling) {
        self.used_spans += 1;
        let (span, members) = (used.until.since(used.from).secs(), used.members.max(1) as f64);
        // A span of no length says nothing of what was used in it: more than any limit.
        for (rule, is, most) in [
            (Rule::Processor, used.processor.secs() / span / members, ceiling.core_share),
            (Rule::Memory, used.memory_bytes as f64 / members, ceiling.memory_bytes as f64),
            (Rule::Bytes, used.bytes as f64 / span / members, ceiling.bytes_per_second),
        ] {
            if is > most || is.is_nan() {
                let by = if is.is_nan() { f64::INFINITY } else { is };
                worse(&mut self.used, (who.to_string(), rule), by, used.until, &said_use(rule, by, most));
            }
        }
    }

    /// What each holder may use of a budget at a moment, by its own limits, against the whole.
    pub fn holds(&mut self, at: Moment, budget: &str, holders: impl IntoIterator<Item = u64>, whole: u64) {
        let sum = holders.into_iter().fold(0, u64::saturating_add);
        let peak = Peak { sum, whole, at };
        let known = self.peaks.entry(budget.to_string()).or_insert(peak);
        // Over the whole counts first: the whole itself moves.
        if i128::from(sum) - i128::from(whole) > i128::from(known.sum) - i128::from(known.whole) {
            *known = peak;
        }
        let most = whole.saturating_add((whole as f64 * self.limits.budget_slack) as u64);
        if sum > most {
            let said = format!("{sum} of {whole}, at most {most}");
            worse(&mut self.above, budget.to_string(), sum - most, at, &said);
        }
    }

    /// A request through a real sidecar, by when it was made.
    pub fn request(&mut self, made: Moment, sidecar: usize, answer: Answer) {
        self.first = Some(self.first.map_or(made, |first| first.min(made)));
        let slow = Span::from_millis(self.limits.slow_ms);
        let bin = self.requests.entry((sidecar, made.nanos() / BIN.nanos())).or_default();
        bin.add(Requests {
            all: 1,
            failed: u64::from(answer == Answer::Failed),
            slow: u64::from(matches!(answer, Answer::Answered(took) if took > slow)),
        });
    }

    /// A fault, from when until when, or to the end; the sidecars that it strikes itself aren't judged for its time.
    pub fn fault(&mut self, name: &str, from: Moment, until: Option<Moment>, struck: &[usize]) {
        let struck = struck.iter().copied().collect();
        self.faults.push(Fault { name: name.to_string(), from, until, struck });
    }

    /// A hollow loop did something this much after it was due.
    pub fn looped(&mut self, at: Moment, who: &str, late: Span) {
        self.latest_loop = self.latest_loop.max(Some(late.nanos()));
        if late > Span::from_millis(self.limits.late_ms) {
            worse(&mut self.loops, who.to_string(), late.nanos(), at, who);
        }
    }

    /// What came of it.
    pub fn judge(mut self, end: Moment) -> Judgement {
        let mut judgement = Judgement::default();
        self.judge_changes(end, &mut judgement);
        for ((who, rule), worst) in std::mem::take(&mut self.used) {
            let by = times(worst.place, worst.count);
            self.broken.push(Broken { rule, at: worst.at, place: who, by });
        }
        for (budget, worst) in std::mem::take(&mut self.above) {
            let by = times(worst.place, worst.count);
            self.broken.push(Broken { rule: Rule::BudgetWhole, at: worst.at, place: budget, by });
        }
        self.judge_requests(end, &mut judgement);
        let most = self.limits.late_ms;
        for (who, worst) in self.loops {
            let (late, count) = (worst.worst as f64 / 1e6, worst.count);
            let at = seconds(worst.at);
            judgement.void.push(format!(
                "{at:.3} s: the hollow loop {who} was late by {late:.1} ms of {most}, {count} times in all"
            ));
        }
        for (nothing, what) in [
            (self.changes.is_empty(), "no change was committed"),
            (self.used_spans == 0, "no process was measured"),
            (self.peaks.is_empty(), "no budget was added up"),
            (self.requests.is_empty(), "no request was made"),
            (self.latest_loop.is_none(), "no hollow loop was seen"),
        ] {
            if nothing {
                judgement.unjudged.push(what.to_string());
            }
        }
        self.broken.sort();
        for broken in self.broken {
            let count = judgement.counts.entry(broken.rule).or_default();
            *count += 1;
            if *count <= TOLD as u64 {
                judgement.broken.push(broken);
            }
        }
        judgement.budgets = self.peaks;
        judgement.late = self.latest_loop;
        judgement
    }

    fn judge_changes(&mut self, end: Moment, judgement: &mut Judgement) {
        let limit = Span::from_millis(self.limits.in_force_ms);
        let mut open: BTreeMap<usize, (usize, Span)> = BTreeMap::new();
        let mut away: BTreeMap<usize, usize> = BTreeMap::new();
        for member in &self.members {
            for wait in &member.waits {
                let Some(from) = wait.from else {
                    *away.entry(wait.change).or_default() += usize::from(!wait.again);
                    continue;
                };
                let waited = end.since(from);
                if waited > limit {
                    let place = format!("{}, still not", member.name);
                    worse(&mut self.late, (wait.change, wait.again), waited.nanos(), end, &place);
                }
                let (count, longest) = open.entry(wait.change).or_default();
                *count += 1;
                *longest = (*longest).max(waited);
            }
        }
        for ((change, again), worst) in std::mem::take(&mut self.late) {
            let Settings { scope, version, .. } = self.changes[change].settings;
            let from = if again { "a new incarnation" } else { "committed" };
            let by = format!(
                "{:.3} s of {:.3} s from {from} until {version} of scope {scope} was acted on",
                worst.worst as f64 / 1e9,
                limit.secs()
            );
            let by = if worst.count > 1 { format!("{by}, {} members in all", worst.count) } else { by };
            self.broken.push(Broken { rule: Rule::InForce, at: worst.at, place: worst.place, by });
        }
        let mut all = Vec::new();
        for (at, change) in self.changes.iter().enumerate() {
            let (open, longest) = open.get(&at).copied().unwrap_or_default();
            if open > 0 && longest <= limit {
                judgement.unjudged.push(format!(
                    "{open} members didn't act on {} of scope {} when the run ended, the longest for {:.3} s",
                    change.settings.version,
                    change.settings.scope,
                    longest.secs()
                ));
            }
            all.extend_from_slice(&change.waits);
            judgement.changes.push(Change {
                scope: change.settings.scope,
                version: change.settings.version.to_string(),
                committed: change.at,
                members: change.members,
                in_force: percentiles(&change.waits),
                last_member: change.last.map(|(_, member)| self.members[member].name.clone()),
                returned: change.returned,
                while_away: change.while_away,
                open,
                away: away.get(&at).copied().unwrap_or(0),
            });
        }
        judgement.in_force = percentiles(&all);
        judgement.caught_up = percentiles(&self.caught_up);
    }

    /// The requests of each sidecar that were made within a time and outside of all faults but one.
    fn made(&self, (from, until): (Moment, Moment), but: Option<usize>) -> BTreeMap<usize, Requests> {
        let mut made: BTreeMap<usize, Requests> = BTreeMap::new();
        let other = |at: Moment| {
            let faults = self.faults.iter().enumerate().filter(|(fault, _)| Some(*fault) != but);
            faults.into_iter().any(|(_, f)| f.from <= at && f.until.is_none_or(|until| at < until))
        };
        for ((sidecar, bin), requests) in &self.requests {
            let at = Moment::from_nanos(bin * BIN.nanos());
            if from <= at && at < until && (but.is_some() || !other(at)) {
                made.entry(*sidecar).or_default().add(*requests);
            }
        }
        made
    }

    fn judge_requests(&mut self, end: Moment, judgement: &mut Judgement) {
        let Some(first) = self.first else { return };
        let Limits { failed_more, slow_more, requests_least, paired_ms, .. } = self.limits;
        let mut broken = Vec::new();
        for (at, fault) in self.faults.iter().enumerate() {
            let until = fault.until.map_or(end, |until| until.min(end));
            let length = until.since(fault.from).nanos().max(Span::from_millis(paired_ms).nanos());
            let start = Moment::from_nanos(fault.from.nanos().saturating_sub(length)).max(first);
            let (before, during) =
                (self.made((start, fault.from), None), self.made((fault.from, until), Some(at)));
            let unstruck = |sidecar: &&usize| !fault.struck.contains(sidecar);
            let sidecars: BTreeSet<usize> =
                before.keys().chain(during.keys()).filter(unstruck).copied().collect();
            let of =
                |side: &BTreeMap<usize, Requests>, sidecar| side.get(sidecar).copied().unwrap_or_default();
            let sum = |side: &BTreeMap<usize, Requests>| {
                let mut sum = Requests::default();
                sidecars.iter().for_each(|sidecar| sum.add(of(side, sidecar)));
                sum
            };
            let (all_before, all_during) = (sum(&before), sum(&during));
            if all_before.all < requests_least {
                let count = all_before.all;
                judgement
                    .unjudged
                    .push(format!("{}: {count} requests before it, {requests_least} are needed", fault.name));
                continue;
            }
            // What is free of other faults is the time before; those are whole pieces.
            let lengths = (self.free(start, fault.from), until.since(fault.from).secs());
            let mut worst = [(f64::MIN, 0), (f64::MIN, 0)];
            let mut sums = [0.0, 0.0];
            for sidecar in &sidecars {
                let (was, is) = (of(&before, sidecar), of(&during, sidecar));
                let expected = was.all as f64 / lengths.0 * lengths.1;
                // One in some hundred would be less by chance alone where few were made.
                if (is.all as f64) < expected * FEWER_PART - 3.0 * expected.sqrt() {
                    let place = format!("{}, {}", fault.name, self.members[*sidecar].name);
                    let by = format!("{} requests, {expected:.0} by the time before", is.all);
                    broken.push(Broken { rule: Rule::RequestsMissing, at: fault.from, place, by });
                }
                let more = [
                    share(is.failed, is.all) - share(was.failed, was.all),
                    share(is.slow, is.all) - share(was.slow, was.all),
                ];
                for kind in 0..2 {
                    sums[kind] += more[kind];
                    if more[kind] > worst[kind].0 {
                        worst[kind] = (more[kind], *sidecar);
                    }
                }
            }
            let means = sums.map(|sum| sum / sidecars.len() as f64);
            if all_during.all < requests_least {
                let count = all_during.all;
                judgement
                    .unjudged
                    .push(format!("{}: {count} requests during it, {requests_least} are needed", fault.name));
            } else {
                let rules = [(Rule::RequestsFailed, failed_more), (Rule::RequestsSlow, slow_more)];
                for (kind, (rule, most)) in rules.into_iter().enumerate() {
                    if means[kind] > most {
                        let by = format!(
                            "{:.4} more than before in the mean of {} sidecars, at most {most}; {:.4} at {}",
                            means[kind],
                            sidecars.len(),
                            worst[kind].0,
                            self.members[worst[kind].1].name
                        );
                        broken.push(Broken { rule, at: fault.from, place: fault.name.clone(), by });
                    }
                }
            }
            judgement.pairs.push(Pair {
                fault: fault.name.clone(),
                before: all_before,
                during: all_during,
                failed_more: means[0],
                slow_more: means[1],
            });
        }
        self.broken.extend(broken);
    }

    /// Seconds between two moments in which there is no fault.
    fn free(&self, from: Moment, until: Moment) -> f64 {
        let on =
            |at: Moment| self.faults.iter().any(|f| f.from <= at && f.until.is_none_or(|until| at < until));
        let first = from.nanos().div_ceil(BIN.nanos());
        let bins = (first..until.nanos().div_ceil(BIN.nanos()))
            .filter(|bin| !on(Moment::from_nanos(bin * BIN.nanos())));
        bins.count() as f64 * BIN.secs()
    }
}

fn said_use(rule: Rule, is: f64, most: f64) -> String {
    match rule {
        Rule::Processor => format!("{:.3} % of a core a member, at most {:.3} %", is * 100.0, most * 100.0),
        Rule::Memory => format!("{is:.0} bytes a member, at most {most:.0}"),
        _ => format!("{is:.0} bytes a second a member, at most {most:.0}"),
    }
}

fn times(said: String, count: u64) -> String {
    if count > 1 { format!("{said}; {count} times in all, this the worst") } else { said }
}
