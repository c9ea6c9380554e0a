//! The leader's tracking of members by their reports. This state is local to the leader and uses its clock; changes of a
//! member's status are proposed as commands.

use std::collections::BTreeMap;

use appledyke::units::{Moment, Span};

use crate::budgets::LogPosition;
use crate::health::RequestCounts;
use crate::members::{MAX_GROUPS, MemberStatus};
use crate::messages::Report;
use crate::state::{Command, Fleet};
use crate::version::Version;

/// A proposal that was not applied within this time is repeated: several elections.
const RETRY_AFTER: Span = Span::from_millis(3000);

/// Timeouts for members without reports.
#[derive(Clone, Copy, Debug)]
pub struct LivenessTimeouts {
    /// After this time without a report a member counts as silent.
    pub lease: Span,
    /// After this time without a report a member counts as gone.
    pub gone: Span,
}

#[derive(Clone, Debug)]
pub struct LastReport {
    pub incarnation: u64,
    process_nonce: u64,
    received_at: Moment,
    /// When another process of the same name and incarnation reported last.
    duplicate_seen_at: Option<Moment>,
    status: MemberStatus,
    version: Version,
    groups: Vec<String>,
    settled_requests: u64,
    endpoints_known_at: LogPosition,
    endpoints_in_use: Vec<String>,
    /// The version of the program, or the one that its configuration file states; request outcomes in total and at watched
    /// endpoints.
    pub program_version: String,
    pub request_counts: RequestCounts,
    pub endpoint_counts: Vec<(String, RequestCounts)>,
    /// Its waiting clients and open requests.
    open_requests: u64,
    /// Whether it is drained by a release.
    pub drained_by_release: bool,
    /// Watched endpoints that are not ready in its discovery list.
    missing_endpoints: Vec<String>,
}

/// What the answer tells a member about its own identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportOutcome {
    /// Another process reports under the same name and incarnation.
    pub duplicate_process: bool,
    /// A later incarnation has replaced it.
    pub superseded: bool,
}

#[derive(Clone, Debug)]
pub struct MemberTracker {
    timeouts: LivenessTimeouts,
    since: Moment,
    reports: BTreeMap<String, LastReport>,
    /// The last proposal by member; `true` marks that it returned from a drain.
    proposed: BTreeMap<(String, bool), (Command, Moment)>,
}

impl MemberTracker {
    /// The state of a new leader, which has no reports yet.
    pub fn new(now: Moment, timeouts: LivenessTimeouts) -> MemberTracker {
        MemberTracker { timeouts, since: now, reports: BTreeMap::new(), proposed: BTreeMap::new() }
    }

    pub fn record_report(&mut self, now: Moment, report: &Report, fleet: &Fleet) -> ReportOutcome {
        let known = fleet.members().get(&report.name).map_or(0, |member| member.incarnation);
        let reported = self.reports.get(&report.name).map_or(0, |last| last.incarnation);
        if report.incarnation < known.max(reported) {
            return ReportOutcome { superseded: true, duplicate_process: false };
        }
        let earlier = self.reports.get(&report.name).filter(|last| last.incarnation == report.incarnation);
        let lease = self.timeouts.lease;
        let duplicate_seen_at = match earlier {
            Some(last)
                if last.process_nonce != report.process_nonce && now.since(last.received_at) <= lease =>
            {
                Some(now)
            }
            Some(last) => last.duplicate_seen_at.filter(|at| now.since(*at) <= lease),
            None => None,
        };
        let Report { incarnation, process_nonce, status, version, settled_requests, .. } = *report;
        // Danger: groups beyond the limit are not stored in the state, so they would differ from it forever.
        let groups = report.groups.iter().take(MAX_GROUPS).cloned().collect();
        let (endpoints_in_use, endpoints_known_at) =
            (report.endpoints_in_use.clone(), report.endpoints_known_at);
        let last = LastReport {
            incarnation,
            process_nonce,
            received_at: now,
            duplicate_seen_at,
            status,
            version,
            groups,
            settled_requests,
            endpoints_known_at,
            endpoints_in_use,
            program_version: report.program_version.clone(),
            request_counts: report.request_counts,
            endpoint_counts: report.endpoint_counts.clone(),
            open_requests: report.open_requests,
            drained_by_release: report.drained_by_release,
            missing_endpoints: report.missing_endpoints.clone(),
        };
        self.reports.insert(report.name.clone(), last);
        ReportOutcome { duplicate_process: duplicate_seen_at.is_some(), superseded: false }
    }

    /// The active settings version that each connected member reports.
    pub fn active_versions(&self, now: Moment) -> impl Iterator<Item = (&str, Version)> {
        let recent =
            self.reports.iter().filter(move |(_, last)| now.since(last.received_at) <= self.timeouts.lease);
        recent.map(|(name, last)| (name.as_str(), last.version))
    }

    /// The last report of a connected member, if it serves both by that and by the replicated state.
    pub fn serving(&self, now: Moment, fleet: &Fleet, name: &str) -> Option<&LastReport> {
        let member = fleet.members().get(name).filter(|member| member.status == MemberStatus::Serving)?;
        let last = self.reports.get(name)?;
        let serves = last.status == MemberStatus::Serving && last.incarnation == member.incarnation;
        (serves && now.since(last.received_at) <= self.timeouts.lease).then_some(last)
    }

    /// Whether this process is drained, without any client or request left.
    pub fn is_drained(&self, now: Moment, name: &str, incarnation: u64) -> bool {
        self.reports.get(name).is_some_and(|last| {
            let drained =
                matches!(last.status, MemberStatus::Drained | MemberStatus::Leaving | MemberStatus::Gone);
            last.incarnation == incarnation
                && drained
                && last.open_requests == 0
                && now.since(last.received_at) <= self.timeouts.lease
        })
    }

    /// The last report of each member.
    pub fn last_reports(&self) -> impl Iterator<Item = (&String, &LastReport)> {
        self.reports.iter()
    }

    /// The program version that each connected member reports.
    pub fn program_versions(&self, now: Moment) -> impl Iterator<Item = (&str, &str)> {
        let recent =
            self.reports.iter().filter(move |(_, last)| now.since(last.received_at) <= self.timeouts.lease);
        recent.map(|(name, last)| (name.as_str(), last.program_version.as_str()))
    }

    /// Endpoints that are missing from the discovery lists of more than half of the serving members.
    pub fn missing_endpoints(&self) -> Vec<String> {
        let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
        let serving = self.reports.values().filter(|last| last.status == MemberStatus::Serving);
        let all = serving.clone().count();
        serving
            .flat_map(|last| &last.missing_endpoints)
            .for_each(|name| *counts.entry(name).or_default() += 1);
        counts.into_iter().filter(|(_, count)| *count * 2 > all).map(|(name, _)| name.clone()).collect()
    }

    /// Members that use an endpoint that is out of service, or may use it, as they have not reported otherwise since. A silent
    /// member may do so until its lease is over and its longest deadline has passed; `gone` is never shorter than that.
    pub fn members_using(&self, now: Moment, fleet: &Fleet, endpoint: &str) -> Vec<String> {
        let (since, _) = fleet.drained_endpoints();
        let may_use = |last: &LastReport| {
            last.endpoints_known_at < since || last.endpoints_in_use.iter().any(|held| held == endpoint)
        };
        let may = fleet.members().iter().filter(|(name, member)| {
            let Some(last) = self.reports.get(*name).filter(|last| last.incarnation == member.incarnation)
            else {
                // Danger: a new leader has no reports yet, so any member may use it.
                return member.status != MemberStatus::Gone || now.since(self.since) <= self.timeouts.gone;
            };
            let ended =
                member.status == MemberStatus::Gone && now.since(last.received_at) > self.timeouts.lease;
            !ended && may_use(last)
        });
        // Danger: a new member reports before it is in the replicated state.
        let is_known = |name: &String| fleet.members().contains_key(name);
        let joining = self.reports.iter().filter(|(name, last)| !is_known(name) && may_use(last));
        may.map(|(name, _)| name).chain(joining.map(|(name, _)| name)).cloned().collect()
    }

    /// Returns the command if it is to be proposed, unless the same one was proposed recently.
    fn unless_proposed(&mut self, of: (String, bool), command: Command, now: Moment) -> Option<Command> {
        let waits =
            self.proposed.get(&of).is_some_and(|(was, at)| *was == command && now.since(*at) < RETRY_AFTER);
        (!waits).then(|| {
            self.proposed.insert(of, (command.clone(), now));
            command
        })
    }

    /// The commands to propose now, for members whose reports differ from the replicated state.
    pub fn proposals(&mut self, now: Moment, fleet: &Fleet) -> Vec<Command> {
        let mut found = Vec::new();
        for (name, last) in &self.reports {
            let silent = now.since(last.received_at);
            let status = match last.status {
                // Danger: a member that reported to be leaving and is silent since has ended.
                MemberStatus::Leaving | MemberStatus::Gone if silent > self.timeouts.lease => {
                    MemberStatus::Gone
                }
                _ if silent > self.timeouts.gone => MemberStatus::Gone,
                _ if silent > self.timeouts.lease => MemberStatus::Silent,
                status => status,
            };
            found.push((name.clone(), last.incarnation, status, last.groups.clone()));
        }
        // Danger: a new leader has no reports yet, and must not count a member as silent before a full lease of its own.
        let led = now.since(self.since);
        for (name, member) in fleet.members() {
            let no_report = self.reports.get(name).is_none_or(|last| last.incarnation < member.incarnation);
            if no_report && led > self.timeouts.lease {
                let gone = led > self.timeouts.gone || member.status == MemberStatus::Leaving;
                let status = if gone { MemberStatus::Gone } else { MemberStatus::Silent };
                found.push((name.clone(), member.incarnation, status, member.groups.clone()));
            }
        }
        let mut commands = Vec::new();
        for (name, incarnation, status, groups) in found {
            let agreed = fleet.members().get(&name);
            let same = agreed.is_some_and(|member| {
                (member.incarnation, member.status, &member.groups) == (incarnation, status, &groups)
            });
            // A member that is gone stays so until it reports again.
            let gone = agreed.is_some_and(|m| m.incarnation == incarnation && m.status == MemberStatus::Gone);
            // Danger: a member that an operator has forgotten would come back by the last report that is kept of it.
            let forgotten = agreed.is_none() && matches!(status, MemberStatus::Silent | MemberStatus::Gone);
            if same || forgotten || gone && status == MemberStatus::Silent {
                self.proposed.remove(&(name, false));
                continue;
            }
            let command = Command::Member { name: name.clone(), incarnation, status, groups };
            commands.extend(self.unless_proposed((name, false), command, now));
        }
        // A permission to drain ends when its holder reports so and serves: never by time.
        let back = self.reports.iter().filter_map(|(name, last)| {
            let member = fleet.members().get(name).filter(|member| member.incarnation == last.incarnation)?;
            let serves =
                last.status == MemberStatus::Serving && now.since(last.received_at) <= self.timeouts.lease;
            let request =
                member.drain_request.filter(|request| serves && *request <= last.settled_requests)?;
            Some(Command::ReturnMember { name: name.clone(), incarnation: last.incarnation, request })
        });
        for command in back.collect::<Vec<_>>() {
            let Command::ReturnMember { name, .. } = &command else { continue };
            commands.extend(self.unless_proposed((name.clone(), true), command, now));
        }
        // Members that are gone by the replicated state are forgotten.
        self.reports.retain(|name, last| {
            let gone = fleet.members().get(name).is_some_and(|m| m.status == MemberStatus::Gone);
            !gone || now.since(last.received_at) <= self.timeouts.lease
        });
        commands
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMEOUTS: LivenessTimeouts =
        LivenessTimeouts { lease: Span::from_millis(1000), gone: Span::from_millis(5000) };

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn report(name: &str, incarnation: u64, process: u64, status: MemberStatus) -> Report {
        Report { name: name.into(), incarnation, process_nonce: process, status, ..Report::default() }
    }

    fn apply(fleet: &mut Fleet, commands: &[Command]) {
        for command in commands {
            fleet.apply(fleet.applied() + 1, command);
        }
    }

    #[test]
    fn silence_is_proposed_after_a_lease_and_a_new_leader_waits_for_its_own() {
        let (mut fleet, mut tracker) = (Fleet::default(), MemberTracker::new(at(0), TIMEOUTS));
        tracker.record_report(at(10), &report("a", 1, 1, MemberStatus::Serving), &fleet);
        let joins = tracker.proposals(at(10), &fleet);
        assert_eq!(joins.len(), 1);
        // Proposed once while it is in progress, and again if it was not applied.
        assert_eq!(
            (tracker.proposals(at(500), &fleet), tracker.proposals(at(600), &fleet)),
            (vec![], vec![])
        );
        apply(&mut fleet, &joins);
        assert_eq!(tracker.proposals(at(1000), &fleet), []);
        let silent = tracker.proposals(at(1020), &fleet);
        apply(&mut fleet, &silent);
        assert_eq!(fleet.members()["a"].status, MemberStatus::Silent);
        tracker.record_report(at(1100), &report("a", 1, 1, MemberStatus::Serving), &fleet);
        let back = tracker.proposals(at(1100), &fleet);
        apply(&mut fleet, &back);
        assert_eq!(fleet.members()["a"].status, MemberStatus::Serving);
        // A new leader, which has no report of it.
        let mut tracker = MemberTracker::new(at(9000), TIMEOUTS);
        assert_eq!(tracker.proposals(at(10_000), &fleet), []);
        let silent = tracker.proposals(at(10_001), &fleet);
        apply(&mut fleet, &silent);
        let gone = tracker.proposals(at(14_001), &fleet);
        apply(&mut fleet, &gone);
        assert_eq!(fleet.members()["a"].status, MemberStatus::Gone);
        assert_eq!(tracker.proposals(at(20_000), &fleet), []);
    }

    #[test]
    fn a_member_that_reports_but_is_not_in_the_state_yet_may_use_an_endpoint() {
        let (mut fleet, mut tracker) = (Fleet::default(), MemberTracker::new(at(0), TIMEOUTS));
        fleet.apply(1, &Command::Endpoint { name: "e1".into(), out: true, force: None, missing: vec![] });
        tracker.record_report(at(10), &report("a", 1, 1, MemberStatus::Joining), &fleet);
        assert_eq!(tracker.members_using(at(20), &fleet, "e1"), ["a"]);
    }

    #[test]
    fn a_member_of_more_groups_than_the_limit_is_proposed_once() {
        let (mut fleet, mut tracker) = (Fleet::default(), MemberTracker::new(at(0), TIMEOUTS));
        let many = Report {
            groups: (0..20).map(|at| at.to_string()).collect(),
            ..report("a", 1, 1, MemberStatus::Serving)
        };
        tracker.record_report(at(10), &many, &fleet);
        let joins = tracker.proposals(at(10), &fleet);
        apply(&mut fleet, &joins);
        tracker.record_report(at(5000), &many, &fleet);
        assert_eq!((joins.len(), tracker.proposals(at(5000), &fleet)), (1, vec![]));
    }

    #[test]
    fn a_member_that_reported_to_leave_is_gone_after_a_lease() {
        let (mut fleet, mut tracker) = (Fleet::default(), MemberTracker::new(at(0), TIMEOUTS));
        tracker.record_report(at(0), &report("a", 1, 1, MemberStatus::Leaving), &fleet);
        let leaves = tracker.proposals(at(1), &fleet);
        apply(&mut fleet, &leaves);
        let gone = tracker.proposals(at(1002), &fleet);
        assert_eq!(
            gone,
            [Command::Member {
                name: "a".into(),
                incarnation: 1,
                status: MemberStatus::Gone,
                groups: vec![]
            }]
        );
    }

    #[test]
    fn two_processes_of_one_name_are_distinguished_or_both_informed() {
        let (mut fleet, mut tracker) = (Fleet::default(), MemberTracker::new(at(0), TIMEOUTS));
        let mut say = |ms, incarnation, process| {
            let found = tracker.record_report(
                at(ms),
                &report("a", incarnation, process, MemberStatus::Serving),
                &fleet,
            );
            let commands = tracker.proposals(at(ms), &fleet);
            apply(&mut fleet, &commands);
            (found.duplicate_process, found.superseded)
        };
        assert_eq!(say(0, 5, 1), (false, false));
        assert_eq!(say(100, 5, 2), (true, false));
        assert_eq!(say(200, 5, 1), (true, false));
        // One has ended; after a lease the other is the only one.
        assert_eq!(say(1100, 5, 1), (true, false));
        assert_eq!(say(1300, 5, 1), (false, false));
        // A restart: the later incarnation counts, the earlier one is informed.
        assert_eq!(
            (say(1400, 6, 3), say(1500, 5, 1), say(1600, 6, 3)),
            ((false, false), (false, true), (false, false))
        );
    }
}
