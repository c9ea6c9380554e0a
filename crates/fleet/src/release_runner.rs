//! How a leader carries a release on: its own memory, by its own clock. All that it finds becomes entries of the log, and
//! `releases` keeps the order whatever it finds. Under another leader all waits begin anew.

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

/// How long a member takes a daemon's word that it is sent out, from before it asked. One that is not to go after all may
/// drain still for so long.
pub const DRAIN_ORDER_MAX_AGE: Span = Span::from_millis(2000);
/// After which an order that has not shown is proposed again: several commits.
const AGAIN: Span = Span::from_millis(1000);
/// How long what members count is kept at the least: what the group did before a release is taken from that.
const HORIZON: Span = Span::from_millis(60_000);
/// Looks at what members count within that.
const LOOKS: f64 = 240.0;
/// How much longer than its time an action's agent may be silent: an election or two.
const SILENT_MORE: Span = Span::from_millis(5000);

/// What one has counted, summed over its processes, at some moments.
#[derive(Clone, Debug, Default)]
struct Series {
    /// By who told it: which process of it, and what that had counted.
    last: BTreeMap<String, (u64, RequestCounts)>,
    sum: RequestCounts,
    looks: VecDeque<(Moment, RequestCounts)>,
}

impl Series {
    fn hear(&mut self, from: &str, incarnation: u64, figures: &RequestCounts) {
        let before = self.last.insert(from.to_string(), (incarnation, *figures));
        let more = match before {
            Some((same, before)) if same == incarnation => figures.since(&before),
            // A process that has just started counts from nought.
            Some(_) => *figures,
            // Danger: what came before this leader heard of it is not of the time that it judges.
            None => RequestCounts::default(),
        };
        self.sum.add(&more);
    }

    fn look(&mut self, now: Moment, horizon: Span) {
        self.looks.push_back((now, self.sum));
        while self.looks.len() > 2 && now.since(self.looks[1].0) > horizon {
            self.looks.pop_front();
        }
    }

    /// What came since this moment, up to the last look.
    fn since(&self, from: Moment) -> RequestCounts {
        let at = self.looks.partition_point(|(at, _)| *at < from);
        match (self.looks.get(at), self.looks.back()) {
            (Some((_, first)), Some((_, last))) => last.since(first),
            _ => RequestCounts::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct ReleaseRunner {
    /// Since when one is in the stage that it is in, by release and name; and since when one is moved.
    seen: BTreeMap<(String, String), (Option<Transition>, Moment)>,
    halted: BTreeMap<String, Moment>,
    members: BTreeMap<String, Series>,
    endpoints: BTreeMap<String, Series>,
    looked: Option<Moment>,
    proposed: BTreeMap<(String, String), (ReleaseUpdate, Moment)>,
}

/// What one look at a release came to.
enum Found {
    Order(String, ReleaseUpdate),
    Halt(String, bool),
}

impl ReleaseRunner {
    /// The memory of one that leads from now on.
    pub fn new() -> ReleaseRunner {
        ReleaseRunner {
            seen: BTreeMap::new(),
            halted: BTreeMap::new(),
            members: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            looked: None,
            proposed: BTreeMap::new(),
        }
    }

    /// What a group did within the last minute, or as long as this leader has heard it.
    pub fn baseline(&self, now: Moment, fleet: &Fleet, group: &str, moves: TargetKind) -> RequestCounts {
        self.sum(moves, of_group(fleet, group, moves), ago(now, HORIZON))
    }

    /// What these have counted together since a moment.
    fn sum<'a>(
        &self,
        moves: TargetKind,
        names: impl IntoIterator<Item = &'a String>,
        from: Moment,
    ) -> RequestCounts {
        let series = match moves {
            TargetKind::Sidecars => &self.members,
            TargetKind::Endpoints => &self.endpoints,
        };
        let mut sum = RequestCounts::default();
        for series in names.into_iter().filter_map(|name| series.get(name)) {
            sum.add(&series.since(from));
        }
        sum
    }

    fn look(&mut self, now: Moment, fleet: &Fleet, heard: &MemberTracker) -> bool {
        let longest = fleet.releases().iter().filter(|(_, release)| !release.is_ended());
        let longest = longest.map(|(_, r)| Span::from_millis(r.plan.settle_ms + r.plan.max_watch_ms)).max();
        let horizon = longest.unwrap_or(HORIZON).max(HORIZON);
        if self.looked.is_some_and(|at| now.since(at) < horizon * (1.0 / LOOKS)) {
            return false;
        }
        self.looked = Some(now);
        for (name, last) in heard.last_reports() {
            self.members.entry(name.clone()).or_default().hear(name, last.incarnation, &last.request_counts);
            for (endpoint, figures) in &last.endpoint_counts {
                self.endpoints.entry(endpoint.clone()).or_default().hear(name, last.incarnation, figures);
            }
        }
        self.members.retain(|name, _| fleet.members().contains_key(name));
        let listed: BTreeSet<&String> = fleet.watched_endpoints().collect();
        self.endpoints.retain(|name, _| listed.contains(name));
        self.members.values_mut().chain(self.endpoints.values_mut()).for_each(|s| s.look(now, horizon));
        true
    }

    /// What is to be proposed now.
    pub fn proposals(&mut self, now: Moment, fleet: &Fleet, heard: &MemberTracker) -> Vec<ReleaseUpdate> {
        let looked = self.look(now, fleet, heard);
        let mut orders = Vec::new();
        let releases = fleet.releases();
        self.seen.retain(|(name, _), _| releases.get(name).is_some_and(|release| !release.is_ended()));
        self.halted.retain(|name, _| releases.get(name).is_some_and(|r| r.state == ReleaseState::Halted));
        for (name, release) in releases.iter().filter(|(_, release)| !release.is_ended()) {
            for (who, step) in &release.steps {
                let seen = self.seen.entry((name.clone(), who.clone())).or_insert((step.transition, now));
                if seen.0 != step.transition {
                    *seen = (step.transition, now);
                }
            }
            let found = match release.state {
                ReleaseState::Halted => self.halted(now, name, release, fleet, heard),
                _ => self.runs(now, name, release, fleet, heard, looked),
            };
            for found in found {
                let (who, order) = match found {
                    Found::Order(who, order) => (who, order),
                    Found::Halt(why, worse) => {
                        (String::new(), ReleaseUpdate::Halt { release: name.clone(), why, worse })
                    }
                };
                let of = (name.clone(), who);
                let waits =
                    self.proposed.get(&of).is_some_and(|(was, at)| *was == order && now.since(*at) < AGAIN);
                if !waits {
                    self.proposed.insert(of, (order.clone(), now));
                    orders.push(order);
                }
            }
        }
        orders
    }

    fn since(&self, name: &str, who: &str, now: Moment) -> Span {
        let seen = self.seen.get(&(name.to_string(), who.to_string()));
        seen.map_or(Span::ZERO, |(_, at)| now.since(*at))
    }

    /// A release that halted sends nobody out, and lets those under way come back.
    fn halted(
        &mut self,
        now: Moment,
        name: &str,
        release: &Release,
        fleet: &Fleet,
        heard: &MemberTracker,
    ) -> Vec<Found> {
        let since = *self.halted.entry(name.to_string()).or_insert(now);
        // Danger: one that was told to go out by an answer on its way still drains after it was counted as back.
        let settled = now.since(since) >= DRAIN_ORDER_MAX_AGE * (1.0 + MAX_CLOCK_DRIFT);
        let mut found = Vec::new();
        for (who, going) in release.transitions() {
            let moved = match release.plan.target_kind {
                TargetKind::Sidecars => {
                    let Some(last) = heard.serving(now, fleet, who).filter(|last| !last.drained_by_release)
                    else {
                        continue;
                    };
                    let later = last.incarnation > going.incarnation;
                    if going.stage == Stage::ActionRunning && !later {
                        continue;
                    }
                    last.program_version == release.plan.version_on(going.to)
                }
                // Whether an action on an endpoint took place nobody tells but its agent.
                TargetKind::Endpoints if going.stage == Stage::ActionRunning => continue,
                TargetKind::Endpoints => going.stage >= Stage::ActionDone,
            };
            if settled {
                found.push(settle(name, who, going, moved));
            }
        }
        let by_itself = match release.plan.rollback {
            RollbackPolicy::Never => false,
            RollbackPolicy::Always => true,
            RollbackPolicy::WhenWorse => release.halted.as_ref().is_some_and(|(_, worse)| *worse),
        };
        let goes = release.rollback_pending || by_itself && !release.rolled_back;
        if goes && release.transitions().next().is_none() {
            found.push(Found::Order(String::new(), ReleaseUpdate::Rollback(name.to_string())));
        }
        found
    }

    fn runs(
        &self,
        now: Moment,
        name: &str,
        release: &Release,
        fleet: &Fleet,
        heard: &MemberTracker,
        looked: bool,
    ) -> Vec<Found> {
        let plan = &release.plan;
        let mut found = Vec::new();
        let verdict = if looked { Some(self.verdict(now, name, release, fleet)) } else { None };
        if let Some(Verdict::Worse(why)) = &verdict {
            return vec![Found::Halt(why.clone(), true)];
        }
        if let Some(Verdict::Outage(why)) = &verdict {
            return vec![Found::Halt(why.clone(), false)];
        }
        if release.state == ReleaseState::RollingOut
            && let Some(why) = exceeded(fleet, heard, release)
        {
            return vec![Found::Halt(why, false)];
        }
        for (who, going) in release.transitions() {
            let took = self.since(name, who, now);
            let over = |ms: u64| took > Span::from_millis(ms);
            let further = |to| {
                let (release, who, since, agent) =
                    (name.to_string(), who.clone(), going.started_at, going.agent);
                Found::Order(
                    who.clone(),
                    ReleaseUpdate::AdvanceTransition { release, target: who, started_at: since, to, agent },
                )
            };
            let back = || match plan.target_kind {
                TargetKind::Endpoints => Ok(going.stage == Stage::ActionDone),
                TargetKind::Sidecars => {
                    let last = heard.serving(now, fleet, who);
                    let Some(last) = last.filter(|last| last.incarnation > going.incarnation) else {
                        return Ok(false);
                    };
                    let wanted = plan.version_on(going.to);
                    match last.program_version == wanted {
                        true => Ok(true),
                        false => Err(format!(
                            "{who} came back with {}, {wanted} was expected",
                            last.program_version
                        )),
                    }
                }
            };
            match going.stage {
                Stage::Draining if self.is_empty(now, release, who, going, fleet, heard) => {
                    found.push(further(Stage::Drained));
                }
                Stage::Draining if over(plan.drain_timeout_ms) => {
                    return vec![Found::Halt(
                        format!("{who} is not empty after {} ms", plan.drain_timeout_ms),
                        false,
                    )];
                }
                Stage::Drained | Stage::ActionDone
                    if going.stage == Stage::ActionDone || plan.action.is_none() =>
                {
                    match back() {
                        Ok(true) => found.push(further(Stage::Watched)),
                        Ok(false) if over(plan.return_timeout_ms) => {
                            let why = format!("{who} is not back after {} ms", plan.return_timeout_ms);
                            return vec![Found::Halt(why, false)];
                        }
                        Ok(false) => {}
                        Err(why) => return vec![Found::Halt(why, false)],
                    }
                }
                Stage::Drained if over(plan.return_timeout_ms) => {
                    let why = format!(
                        "no agent beside {who} has begun its action after {} ms",
                        plan.return_timeout_ms
                    );
                    return vec![Found::Halt(why, false)];
                }
                Stage::ActionRunning => {
                    let within = plan.action.as_ref().map_or(0, |action| action.timeout_ms);
                    if took > Span::from_millis(within) + SILENT_MORE {
                        let why = format!("what became of the action on {who} is unknown");
                        return vec![Found::Halt(why, false)];
                    }
                }
                Stage::Watched => {
                    let judged = over(plan.settle_ms + plan.watch_ms);
                    match &verdict {
                        Some(Verdict::Healthy) if judged => found.push(settle(name, who, going, true)),
                        Some(Verdict::Undecided) if over(plan.settle_ms + plan.max_watch_ms) => {
                            let why = format!("too few reqs to judge {who} after {} ms", plan.max_watch_ms);
                            return vec![Found::Halt(why, false)];
                        }
                        _ => {}
                    }
                }
                _ => {}
            }
        }
        let side = if release.state == ReleaseState::RollingOut { Side::New } else { Side::Old };
        found.extend(self.next(now, name, release, side, fleet, heard));
        found
    }

    fn is_empty(
        &self,
        now: Moment,
        release: &Release,
        who: &str,
        going: &Transition,
        fleet: &Fleet,
        heard: &MemberTracker,
    ) -> bool {
        match release.plan.target_kind {
            TargetKind::Sidecars => {
                let known = fleet.members().get(who).map_or(0, |member| member.incarnation);
                // A later process is there: the one that was sent out has ended, and holds nothing.
                known > going.incarnation || heard.is_drained(now, who, going.incarnation)
            }
            TargetKind::Endpoints => heard.members_using(now, fleet, who).is_empty(),
        }
    }

    /// Who goes next; that one has the version already; or that all is done.
    fn next(
        &self,
        now: Moment,
        name: &str,
        release: &Release,
        side: Side,
        fleet: &Fleet,
        heard: &MemberTracker,
    ) -> Option<Found> {
        let plan = &release.plan;
        let runs = |who: &str| {
            let last = heard.serving(now, fleet, who).filter(|_| plan.target_kind == TargetKind::Sidecars)?;
            Some(last.program_version.as_str())
        };
        let mut wanted: Vec<&String> = release
            .order
            .iter()
            .filter(|who| {
                let step = &release.steps[*who];
                match (side, step.reached) {
                    _ if step.transition.is_some() => false,
                    (Side::New, moved) => moved.is_none_or(|(at, _)| at != Side::New),
                    (Side::Old, Some((Side::New, _))) => true,
                    // What a backup does not know of, its member tells.
                    (Side::Old, _) => runs(who) == Some(&plan.to),
                }
            })
            .collect();
        if side == Side::Old {
            wanted.sort_by_key(|who| std::cmp::Reverse(release.steps[*who].reached.map(|(_, at)| at)));
        }
        if wanted.is_empty() && release.transitions().next().is_none() {
            let how = if side == Side::New { "all are moved" } else { "all are back" };
            return Some(Found::Order(String::new(), ReleaseUpdate::End(name.to_string(), how.to_string())));
        }
        let release_name = || name.to_string();
        for who in wanted {
            if runs(who) == Some(plan.version_on(side)) {
                let order = ReleaseUpdate::MarkReached { release: release_name(), target: who.clone(), side };
                return Some(Found::Order(who.clone(), order));
            }
            if release.transitions().count() >= plan.max_out as usize {
                return None;
            }
            let missing = match plan.target_kind {
                TargetKind::Sidecars => {
                    // One that is not there is moved once it is.
                    if heard.serving(now, fleet, who).is_none()
                        || drains::check_member_out(fleet.groups(), fleet.members(), who).is_err()
                    {
                        continue;
                    }
                    Vec::new()
                }
                TargetKind::Endpoints => heard.missing_endpoints(),
            };
            let order = ReleaseUpdate::BeginTransition {
                release: release_name(),
                target: who.clone(),
                to: side,
                missing,
            };
            return Some(Found::Order(who.clone(), order));
        }
        None
    }

    /// How what is moved does, against the others and against what was before.
    fn verdict(&self, now: Moment, name: &str, release: &Release, fleet: &Fleet) -> Verdict {
        let plan = &release.plan;
        let side = if release.state == ReleaseState::RollingOut { Side::New } else { Side::Old };
        let (settle, watch) = (Span::from_millis(plan.settle_ms), Span::from_millis(plan.watch_ms));
        // Danger: held against each other over other times, an outage that has just begun shows on one side first.
        let sum = |names: &[&String], from: Moment| self.sum(plan.target_kind, names.iter().copied(), from);
        let (mut watched, mut earlier, mut others) = (Vec::new(), Vec::new(), Vec::new());
        for (who, step) in &release.steps {
            match (&step.transition, step.reached) {
                (Some(going), _) if going.stage == Stage::Watched && going.to == side => {
                    let back = self.seen.get(&(name.to_string(), who.clone())).map_or(now, |(_, at)| *at);
                    if back + settle <= now {
                        watched.push((who, back + settle));
                    }
                }
                (Some(_), _) => {}
                (None, Some((at, _))) if at == side => earlier.push(who),
                // On the way back those that are not back yet are what is to be left: nothing to be held against.
                (None, Some(_)) if side == Side::Old => {}
                (None, _) => others.push(who),
            }
        }
        // Those of the group that this release does not move at all are as good to compare.
        let beside = of_group(fleet, &plan.group, plan.target_kind).into_iter();
        others.extend(beside.filter(|who| !release.steps.contains_key(*who)));
        let judge = |who: &[&String], from: Moment| {
            let (moved, mut others) = (sum(who, from), sum(&others, from));
            let few = |figures: &RequestCounts| figures.total() < plan.criteria.min_requests;
            if few(&others) && few(&release.baseline) {
                // Nobody is left that was not moved, and before is not known: those that were found well are what there is.
                let found: Vec<&String> =
                    earlier.iter().filter(|other| !who.contains(other)).copied().collect();
                others = sum(&found, from);
            }
            plan.criteria.judge(&moved, &others, &release.baseline)
        };
        let start = ago(now, watch);
        let latest = watched.iter().map(|(_, from)| *from).max().unwrap_or(start).max(start);
        let all: Vec<&String> = watched.iter().map(|(who, _)| *who).chain(earlier.iter().copied()).collect();
        let mut verdict = match judge(&all, latest) {
            Verdict::Undecided => Verdict::Healthy,
            found => found,
        };
        // One of many that does badly does not show in the sum of them. The longer it is watched, the more is known.
        for (who, from) in watched {
            match (judge(&[who], from), &verdict) {
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

/// The names in a group, of what a release moves.
fn of_group<'a>(fleet: &'a Fleet, group: &str, moves: TargetKind) -> Vec<&'a String> {
    match moves {
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

fn settle(name: &str, who: &str, going: &Transition, moved: bool) -> Found {
    let (release, since) = (name.to_string(), going.started_at);
    Found::Order(
        who.to_string(),
        ReleaseUpdate::FinishTransition {
            release,
            target: who.to_string(),
            started_at: since,
            reached: moved,
        },
    )
}

/// Whether more are out than may be, as some failed by themselves.
fn exceeded(fleet: &Fleet, heard: &MemberTracker, release: &Release) -> Option<String> {
    let group = fleet.groups().iter().find(|group| group.name == release.plan.group)?;
    let (size, out): (usize, Vec<String>) = match release.plan.target_kind {
        TargetKind::Sidecars => {
            let of = fleet.members().iter().filter(|(_, member)| member.groups.contains(&group.name));
            let out = of.clone().filter(|(_, member)| drains::is_out(member)).map(|(name, _)| name.clone());
            (of.count(), out.collect())
        }
        TargetKind::Endpoints => {
            let missing = heard.missing_endpoints();
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
