//! Drives releases on the leader. This state is local to the leader and uses its clock; its decisions become log entries, and
//! `releases` enforces the order of steps whatever is decided here. After a change of leader all timeouts start again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use appledyke::units::{Moment, Span};

use crate::drains;
use crate::health::{RequestCounts, Verdict};
use crate::limits::MAX_CLOCK_DRIFT;
use crate::liveness::MemberTracker;
use crate::releases::{
    Release, ReleaseState, ReleaseUpdate, RollbackPolicy, Side, Stage, TargetKind, Transition,
};
use crate::state::Fleet;

/// How long a member obeys an order to drain, counted from before it sent the report that the order answers. A member whose
/// drain is cancelled may still start to drain for this long.
pub const DRAIN_ORDER_MAX_AGE: Span = Span::from_millis(2000);
/// A proposal that was not applied within this time is repeated: several commits.
const RETRY_AFTER: Span = Span::from_millis(1000);
/// Minimum time for which request counts are kept: the baseline of a release is taken from them.
const MIN_HISTORY: Span = Span::from_millis(60_000);
/// Samples of the request counts within that time.
const SAMPLES: f64 = 240.0;
/// How long after the timeout of an action its agent may stay silent: an election or two.
const AGENT_GRACE: Span = Span::from_millis(5000);

/// Samples of the request counts of one target, summed over its processes.
#[derive(Clone, Debug, Default)]
struct Series {
    /// By reporting member: the incarnation, and its last counts.
    last: BTreeMap<String, (u64, RequestCounts)>,
    sum: RequestCounts,
    samples: VecDeque<(Moment, RequestCounts)>,
}

impl Series {
    fn add_report(&mut self, from: &str, incarnation: u64, counts: &RequestCounts) {
        let previous = self.last.insert(from.to_string(), (incarnation, *counts));
        let added = match previous {
            Some((same, previous)) if same == incarnation => counts.since(&previous),
            // A process that has just started counts from zero.
            Some(_) => *counts,
            // Danger: requests from before this leader's first report of it are not in the time that it judges.
            None => RequestCounts::default(),
        };
        self.sum.add(&added);
    }

    fn sample(&mut self, now: Moment, horizon: Span) {
        self.samples.push_back((now, self.sum));
        while self.samples.len() > 2 && now.since(self.samples[1].0) > horizon {
            self.samples.pop_front();
        }
    }

    /// The counts from this moment up to the last sample.
    fn since(&self, from: Moment) -> RequestCounts {
        let at = self.samples.partition_point(|(at, _)| *at < from);
        match (self.samples.get(at), self.samples.back()) {
            (Some((_, first)), Some((_, last))) => last.since(first),
            _ => RequestCounts::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct ReleaseRunner {
    /// By release and target: the current transition, and since when it is in its stage; or since when there is none.
    seen: BTreeMap<(String, String), (Option<Transition>, Moment)>,
    halted: BTreeMap<String, Moment>,
    members: BTreeMap<String, Series>,
    endpoints: BTreeMap<String, Series>,
    sampled_at: Option<Moment>,
    proposed: BTreeMap<(String, String), (ReleaseUpdate, Moment)>,
}

/// The result of examining a release.
enum Step {
    Update(String, ReleaseUpdate),
    Halt(String, bool),
}

impl ReleaseRunner {
    /// The state of a new leader.
    pub fn new() -> ReleaseRunner {
        ReleaseRunner {
            seen: BTreeMap::new(),
            halted: BTreeMap::new(),
            members: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            sampled_at: None,
            proposed: BTreeMap::new(),
        }
    }

    /// The request counts of a group in the last minute, or since this leader began.
    pub fn baseline(&self, now: Moment, fleet: &Fleet, group: &str, kind: TargetKind) -> RequestCounts {
        self.sum(kind, group_targets(fleet, group, kind), ago(now, MIN_HISTORY))
    }

    /// The sum of the counts of these targets since a moment.
    fn sum<'a>(
        &self,
        kind: TargetKind,
        names: impl IntoIterator<Item = &'a String>,
        from: Moment,
    ) -> RequestCounts {
        let series = match kind {
            TargetKind::Sidecars => &self.members,
            TargetKind::Endpoints => &self.endpoints,
        };
        let mut sum = RequestCounts::default();
        for series in names.into_iter().filter_map(|name| series.get(name)) {
            sum.add(&series.since(from));
        }
        sum
    }

    fn sample(&mut self, now: Moment, fleet: &Fleet, tracker: &MemberTracker) -> bool {
        let longest = fleet.releases().iter().filter(|(_, release)| !release.is_ended());
        let longest = longest.map(|(_, r)| Span::from_millis(r.plan.settle_ms + r.plan.max_watch_ms)).max();
        let horizon = longest.unwrap_or(MIN_HISTORY).max(MIN_HISTORY);
        if self.sampled_at.is_some_and(|at| now.since(at) < horizon * (1.0 / SAMPLES)) {
            return false;
        }
        self.sampled_at = Some(now);
        for (name, last) in tracker.last_reports() {
            self.members.entry(name.clone()).or_default().add_report(
                name,
                last.incarnation,
                &last.request_counts,
            );
            for (endpoint, counts) in &last.endpoint_counts {
                self.endpoints.entry(endpoint.clone()).or_default().add_report(
                    name,
                    last.incarnation,
                    counts,
                );
            }
        }
        self.members.retain(|name, _| fleet.members().contains_key(name));
        let listed: BTreeSet<&String> = fleet.watched_endpoints().collect();
        self.endpoints.retain(|name, _| listed.contains(name));
        self.members.values_mut().chain(self.endpoints.values_mut()).for_each(|s| s.sample(now, horizon));
        true
    }

    /// The updates to propose now.
    pub fn proposals(&mut self, now: Moment, fleet: &Fleet, tracker: &MemberTracker) -> Vec<ReleaseUpdate> {
        let sampled = self.sample(now, fleet, tracker);
        let mut updates = Vec::new();
        let releases = fleet.releases();
        self.seen.retain(|(name, _), _| releases.get(name).is_some_and(|release| !release.is_ended()));
        self.halted.retain(|name, _| releases.get(name).is_some_and(|r| r.state == ReleaseState::Halted));
        for (name, release) in releases.iter().filter(|(_, release)| !release.is_ended()) {
            for (target, step) in &release.steps {
                let seen = self.seen.entry((name.clone(), target.clone())).or_insert((step.transition, now));
                if seen.0 != step.transition {
                    *seen = (step.transition, now);
                }
            }
            let steps = match release.state {
                ReleaseState::Halted => self.halted_steps(now, name, release, fleet, tracker),
                _ => self.active_steps(now, name, release, fleet, tracker, sampled),
            };
            for step in steps {
                let (target, update) = match step {
                    Step::Update(target, update) => (target, update),
                    Step::Halt(why, worse) => {
                        (String::new(), ReleaseUpdate::Halt { release: name.clone(), why, worse })
                    }
                };
                let of = (name.clone(), target);
                let waits = self
                    .proposed
                    .get(&of)
                    .is_some_and(|(was, at)| *was == update && now.since(*at) < RETRY_AFTER);
                if !waits {
                    self.proposed.insert(of, (update.clone(), now));
                    updates.push(update);
                }
            }
        }
        updates
    }

    fn time_in_stage(&self, name: &str, target: &str, now: Moment) -> Span {
        let seen = self.seen.get(&(name.to_string(), target.to_string()));
        seen.map_or(Span::ZERO, |(_, at)| now.since(*at))
    }

    /// A halted release begins no transitions, and ends those in progress once their targets serve again.
    fn halted_steps(
        &mut self,
        now: Moment,
        name: &str,
        release: &Release,
        fleet: &Fleet,
        tracker: &MemberTracker,
    ) -> Vec<Step> {
        let since = *self.halted.entry(name.to_string()).or_insert(now);
        // Danger: a member that gets a delayed order to drain would do so after it was counted as serving.
        let settled = now.since(since) >= DRAIN_ORDER_MAX_AGE * (1.0 + MAX_CLOCK_DRIFT);
        let mut steps = Vec::new();
        for (target, transition) in release.transitions() {
            let reached = match release.plan.target_kind {
                TargetKind::Sidecars => {
                    let Some(last) =
                        tracker.serving(now, fleet, target).filter(|last| !last.drained_by_release)
                    else {
                        continue;
                    };
                    let later = last.incarnation > transition.incarnation;
                    if transition.stage == Stage::ActionRunning && !later {
                        continue;
                    }
                    last.program_version == release.plan.version_on(transition.to)
                }
                // Only the agent knows whether an action on an endpoint has taken place.
                TargetKind::Endpoints if transition.stage == Stage::ActionRunning => continue,
                TargetKind::Endpoints => transition.stage >= Stage::ActionDone,
            };
            if settled {
                steps.push(finish(name, target, transition, reached));
            }
        }
        let automatic = match release.plan.rollback {
            RollbackPolicy::Never => false,
            RollbackPolicy::Always => true,
            RollbackPolicy::WhenWorse => release.halted.as_ref().is_some_and(|(_, worse)| *worse),
        };
        let rolls_back = release.rollback_pending || automatic && !release.rolled_back;
        if rolls_back && release.transitions().next().is_none() {
            steps.push(Step::Update(String::new(), ReleaseUpdate::Rollback(name.to_string())));
        }
        steps
    }

    fn active_steps(
        &self,
        now: Moment,
        name: &str,
        release: &Release,
        fleet: &Fleet,
        tracker: &MemberTracker,
        sampled: bool,
    ) -> Vec<Step> {
        let plan = &release.plan;
        let mut steps = Vec::new();
        let verdict = if sampled { Some(self.verdict(now, name, release, fleet)) } else { None };
        if let Some(Verdict::Worse(why)) = &verdict {
            return vec![Step::Halt(why.clone(), true)];
        }
        if let Some(Verdict::Outage(why)) = &verdict {
            return vec![Step::Halt(why.clone(), false)];
        }
        if release.state == ReleaseState::RollingOut
            && let Some(why) = exceeded_limit(fleet, tracker, release)
        {
            return vec![Step::Halt(why, false)];
        }
        for (target, transition) in release.transitions() {
            let elapsed = self.time_in_stage(name, target, now);
            let exceeds = |ms: u64| elapsed > Span::from_millis(ms);
            let advance = |to| {
                let (release, target, started_at, agent) =
                    (name.to_string(), target.clone(), transition.started_at, transition.agent);
                Step::Update(
                    target.clone(),
                    ReleaseUpdate::AdvanceTransition { release, target, started_at, to, agent },
                )
            };
            let returned = || match plan.target_kind {
                TargetKind::Endpoints => Ok(transition.stage == Stage::ActionDone),
                TargetKind::Sidecars => {
                    let last = tracker.serving(now, fleet, target);
                    let Some(last) = last.filter(|last| last.incarnation > transition.incarnation) else {
                        return Ok(false);
                    };
                    let wanted = plan.version_on(transition.to);
                    match last.program_version == wanted {
                        true => Ok(true),
                        false => Err(format!(
                            "{target} came back with {}, {wanted} was expected",
                            last.program_version
                        )),
                    }
                }
            };
            match transition.stage {
                Stage::Draining if self.is_empty(now, release, target, transition, fleet, tracker) => {
                    steps.push(advance(Stage::Drained));
                }
                Stage::Draining if exceeds(plan.drain_timeout_ms) => {
                    return vec![Step::Halt(
                        format!("{target} is not empty after {} ms", plan.drain_timeout_ms),
                        false,
                    )];
                }
                Stage::Drained | Stage::ActionDone
                    if transition.stage == Stage::ActionDone || plan.action.is_none() =>
                {
                    match returned() {
                        Ok(true) => steps.push(advance(Stage::Watched)),
                        Ok(false) if exceeds(plan.return_timeout_ms) => {
                            let why = format!("{target} is not back after {} ms", plan.return_timeout_ms);
                            return vec![Step::Halt(why, false)];
                        }
                        Ok(false) => {}
                        Err(why) => return vec![Step::Halt(why, false)],
                    }
                }
                Stage::Drained if exceeds(plan.return_timeout_ms) => {
                    let why = format!(
                        "no agent beside {target} has begun its action after {} ms",
                        plan.return_timeout_ms
                    );
                    return vec![Step::Halt(why, false)];
                }
                Stage::ActionRunning => {
                    let within = plan.action.as_ref().map_or(0, |action| action.timeout_ms);
                    if elapsed > Span::from_millis(within) + AGENT_GRACE {
                        let why = format!("what became of the action on {target} is unknown");
                        return vec![Step::Halt(why, false)];
                    }
                }
                Stage::Watched => {
                    let judged = exceeds(plan.settle_ms + plan.watch_ms);
                    match &verdict {
                        Some(Verdict::Healthy) if judged => {
                            steps.push(finish(name, target, transition, true))
                        }
                        Some(Verdict::Undecided) if exceeds(plan.settle_ms + plan.max_watch_ms) => {
                            let why =
                                format!("too few reqs to judge {target} after {} ms", plan.max_watch_ms);
                            return vec![Step::Halt(why, false)];
                        }
                        _ => {}
                    }
                }
                _ => {}
            }
        }
        let side = if release.state == ReleaseState::RollingOut { Side::New } else { Side::Old };
        steps.extend(self.next_step(now, name, release, side, fleet, tracker));
        steps
    }

    fn is_empty(
        &self,
        now: Moment,
        release: &Release,
        target: &str,
        transition: &Transition,
        fleet: &Fleet,
        tracker: &MemberTracker,
    ) -> bool {
        match release.plan.target_kind {
            TargetKind::Sidecars => {
                let known = fleet.members().get(target).map_or(0, |member| member.incarnation);
                // A later process is present: the drained one has ended.
                known > transition.incarnation || tracker.is_drained(now, target, transition.incarnation)
            }
            TargetKind::Endpoints => tracker.members_using(now, fleet, target).is_empty(),
        }
    }

    /// The next step: begin the transition of a target, record that a target has its version already, or end the release.
    fn next_step(
        &self,
        now: Moment,
        name: &str,
        release: &Release,
        side: Side,
        fleet: &Fleet,
        tracker: &MemberTracker,
    ) -> Option<Step> {
        let plan = &release.plan;
        let runs = |target: &str| {
            let last =
                tracker.serving(now, fleet, target).filter(|_| plan.target_kind == TargetKind::Sidecars)?;
            Some(last.program_version.as_str())
        };
        let mut wanted: Vec<&String> = release
            .order
            .iter()
            .filter(|target| {
                let step = &release.steps[*target];
                match (side, step.reached) {
                    _ if step.transition.is_some() => false,
                    (Side::New, reached) => reached.is_none_or(|(at, _)| at != Side::New),
                    (Side::Old, Some((Side::New, _))) => true,
                    // After a restore the state may miss an upgrade, but the member reports its version.
                    (Side::Old, _) => runs(target) == Some(&plan.to),
                }
            })
            .collect();
        if side == Side::Old {
            wanted.sort_by_key(|target| std::cmp::Reverse(release.steps[*target].reached.map(|(_, at)| at)));
        }
        if wanted.is_empty() && release.transitions().next().is_none() {
            let how = if side == Side::New { "all are moved" } else { "all are back" };
            return Some(Step::Update(String::new(), ReleaseUpdate::End(name.to_string(), how.to_string())));
        }
        let release_name = || name.to_string();
        for target in wanted {
            if runs(target) == Some(plan.version_on(side)) {
                let update =
                    ReleaseUpdate::MarkReached { release: release_name(), target: target.clone(), side };
                return Some(Step::Update(target.clone(), update));
            }
            if release.transitions().count() >= plan.max_out as usize {
                return None;
            }
            let missing = match plan.target_kind {
                TargetKind::Sidecars => {
                    // A member that is not serving is upgraded once it is.
                    if tracker.serving(now, fleet, target).is_none()
                        || drains::check_member_out(fleet.groups(), fleet.members(), target).is_err()
                    {
                        continue;
                    }
                    Vec::new()
                }
                TargetKind::Endpoints => tracker.missing_endpoints(),
            };
            let update = ReleaseUpdate::BeginTransition {
                release: release_name(),
                target: target.clone(),
                to: side,
                missing,
            };
            return Some(Step::Update(target.clone(), update));
        }
        None
    }

    /// Compares the upgraded targets with the others and with the baseline.
    fn verdict(&self, now: Moment, name: &str, release: &Release, fleet: &Fleet) -> Verdict {
        let plan = &release.plan;
        let side = if release.state == ReleaseState::RollingOut { Side::New } else { Side::Old };
        let (settle, watch) = (Span::from_millis(plan.settle_ms), Span::from_millis(plan.watch_ms));
        // Danger: both sides must be compared over the same time, as otherwise a new outage would show on one side first.
        let sum = |names: &[&String], from: Moment| self.sum(plan.target_kind, names.iter().copied(), from);
        let (mut watched, mut earlier, mut others) = (Vec::new(), Vec::new(), Vec::new());
        for (target, step) in &release.steps {
            match (&step.transition, step.reached) {
                (Some(transition), _) if transition.stage == Stage::Watched && transition.to == side => {
                    let returned =
                        self.seen.get(&(name.to_string(), target.clone())).map_or(now, |(_, at)| *at);
                    if returned + settle <= now {
                        watched.push((target, returned + settle));
                    }
                }
                (Some(_), _) => {}
                (None, Some((at, _))) if at == side => earlier.push(target),
                // During a rollback, targets that still have the new version are no reference to compare with.
                (None, Some(_)) if side == Side::Old => {}
                (None, _) => others.push(target),
            }
        }
        // Members of the group that this release does not include are a valid reference too.
        let beside = group_targets(fleet, &plan.group, plan.target_kind).into_iter();
        others.extend(beside.filter(|target| !release.steps.contains_key(*target)));
        let judge = |target: &[&String], from: Moment| {
            let (reached, mut others) = (sum(target, from), sum(&others, from));
            let few = |counts: &RequestCounts| counts.total() < plan.criteria.min_requests;
            if few(&others) && few(&release.baseline) {
                // No other targets are left and there is no baseline: compare with those that were already found healthy.
                let healthy: Vec<&String> =
                    earlier.iter().filter(|other| !target.contains(other)).copied().collect();
                others = sum(&healthy, from);
            }
            plan.criteria.judge(&reached, &others, &release.baseline)
        };
        let start = ago(now, watch);
        let latest = watched.iter().map(|(_, from)| *from).max().unwrap_or(start).max(start);
        let all: Vec<&String> =
            watched.iter().map(|(target, _)| *target).chain(earlier.iter().copied()).collect();
        let mut verdict = match judge(&all, latest) {
            Verdict::Undecided => Verdict::Healthy,
            verdict => verdict,
        };
        // One bad target among many does not show in their sum, so each is judged alone. The longer it is watched, the more is
        // known.
        for (target, from) in watched {
            match (judge(&[target], from), &verdict) {
                (_, Verdict::Worse(_)) | (Verdict::Healthy, _) => {}
                (Verdict::Worse(why), _) => verdict = Verdict::Worse(why),
                (Verdict::Outage(why), _) => verdict = Verdict::Outage(why),
                (Verdict::Undecided, Verdict::Healthy) => verdict = Verdict::Undecided,
                (Verdict::Undecided, _) => {}
            }
        }
        verdict
    }
}

impl Default for ReleaseRunner {
    fn default() -> ReleaseRunner {
        ReleaseRunner::new()
    }
}

fn ago(now: Moment, span: Span) -> Moment {
    Moment::from_nanos(now.nanos().saturating_sub(span.nanos()))
}

/// The names of a group's members or endpoints.
fn group_targets<'a>(fleet: &'a Fleet, group: &str, kind: TargetKind) -> Vec<&'a String> {
    match kind {
        TargetKind::Sidecars => {
            let of = fleet.members().iter().filter(|(_, m)| m.groups.iter().any(|own| own == group));
            of.map(|(name, _)| name).collect()
        }
        TargetKind::Endpoints => {
            let of = fleet.groups().iter().find(|known| known.name == group);
            of.into_iter().flat_map(|of| &of.endpoints).collect()
        }
    }
}

fn finish(name: &str, target: &str, transition: &Transition, reached: bool) -> Step {
    let (release, started_at) = (name.to_string(), transition.started_at);
    Step::Update(
        target.to_string(),
        ReleaseUpdate::FinishTransition { release, target: target.to_string(), started_at, reached },
    )
}

/// Whether more are out than allowed, as some have failed by themselves.
fn exceeded_limit(fleet: &Fleet, tracker: &MemberTracker, release: &Release) -> Option<String> {
    let group = fleet.groups().iter().find(|group| group.name == release.plan.group)?;
    let (size, out): (usize, Vec<String>) = match release.plan.target_kind {
        TargetKind::Sidecars => {
            let of = fleet.members().iter().filter(|(_, member)| member.groups.contains(&group.name));
            let out = of.clone().filter(|(_, member)| drains::is_out(member)).map(|(name, _)| name.clone());
            (of.count(), out.collect())
        }
        TargetKind::Endpoints => {
            let missing = tracker.missing_endpoints();
            let (_, outs) = fleet.drained_endpoints();
            let out = group.endpoints.iter().filter(|name| outs.contains(*name) || missing.contains(*name));
            (group.endpoints.len(), out.cloned().collect())
        }
    };
    let most = group.max_out_of(size);
    (out.len() > most).then(|| {
        let why = drains::OutLimitReached { group: group.name.clone(), max_out: most, size, out };
        format!("more out than may be: {why}")
    })
}
