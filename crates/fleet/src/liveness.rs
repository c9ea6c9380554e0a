//! Which members a leader hears: its own memory, by its own clock. What follows from it for all is proposed as a command.

use std::collections::BTreeMap;

use appledyke::units::{Moment, Span};

use crate::budgets::LogPosition;
use crate::health::RequestCounts;
use crate::members::{MAX_GROUPS, MemberStatus};
use crate::messages::Report;
use crate::state::{Command, Fleet};
use crate::version::Version;

/// After which a proposal that has not shown is made again: several elections.
const AGAIN: Span = Span::from_millis(3000);

/// How long a member may be silent.
#[derive(Clone, Copy, Debug)]
pub struct LivenessTimeouts {
    /// From then on it counts as silent.
    pub lease: Span,
    /// From then on it counts as gone.
    pub gone: Span,
}

#[derive(Clone, Debug)]
pub struct LastReport {
    pub incarnation: u64,
    process: u64,
    at: Moment,
    /// When another process of the same name and incarnation was heard last.
    twin: Option<Moment>,
    standing: MemberStatus,
    version: Version,
    groups: Vec<String>,
    settled: u64,
    outs: LogPosition,
    holds: Vec<String>,
    /// The version of the program, or what its file calls it; how its reqs have ended, in all and at endpoints that are watched.
    pub program_version: String,
    pub request_counts: RequestCounts,
    pub endpoint_counts: Vec<(String, RequestCounts)>,
    /// Clients and reqs that it has still.
    open: u64,
    /// Whether it is drained by a release's word.
    pub drained_by_release: bool,
    /// Endpoints that it was asked to look for, and that its list does not have as ready.
    lacks: Vec<String>,
}

/// What a member is to be told of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportOutcome {
    /// Another process says that it is this one.
    pub duplicate_process: bool,
    /// A later incarnation has followed it.
    pub superseded: bool,
}

#[derive(Clone, Debug)]
pub struct MemberTracker {
    terms: LivenessTimeouts,
    since: Moment,
    last: BTreeMap<String, LastReport>,
    /// By member, and whether it is that it is back.
    proposed: BTreeMap<(String, bool), (Command, Moment)>,
}

impl MemberTracker {
    /// The memory of one that leads from now on: it has heard nobody yet.
    pub fn new(now: Moment, terms: LivenessTimeouts) -> MemberTracker {
        MemberTracker { terms, since: now, last: BTreeMap::new(), proposed: BTreeMap::new() }
    }

    pub fn record_report(&mut self, now: Moment, report: &Report, fleet: &Fleet) -> ReportOutcome {
        let known = fleet.members().get(&report.name).map_or(0, |member| member.incarnation);
        let heard = self.last.get(&report.name).map_or(0, |last| last.incarnation);
        if report.incarnation < known.max(heard) {
            return ReportOutcome { superseded: true, duplicate_process: false };
        }
        let earlier = self.last.get(&report.name).filter(|last| last.incarnation == report.incarnation);
        let lease = self.terms.lease;
        let twin = match earlier {
            Some(last) if last.process != report.process_nonce && now.since(last.at) <= lease => Some(now),
            Some(last) => last.twin.filter(|at| now.since(*at) <= lease),
            None => None,
        };
        let Report {
            incarnation,
            process_nonce: process,
            status: standing,
            version,
            settled_requests: settled,
            ..
        } = *report;
        // Danger: more than are kept would differ from what is agreed for ever.
        let groups = report.groups.iter().take(MAX_GROUPS).cloned().collect();
        let (holds, outs) = (report.endpoints_in_use.clone(), report.endpoints_known_at);
        let last = LastReport {
            incarnation,
            process,
            at: now,
            twin,
            standing,
            version,
            groups,
            settled,
            outs,
            holds,
            program_version: report.program_version.clone(),
            request_counts: report.request_counts,
            endpoint_counts: report.endpoint_counts.clone(),
            open: report.open_requests,
            drained_by_release: report.drained_by_release,
            lacks: report.missing_endpoints.clone(),
        };
        self.last.insert(report.name.clone(), last);
        ReportOutcome { duplicate_process: twin.is_some(), superseded: false }
    }

    /// The version of the settings that each member which is heard has said to act on.
    pub fn active_versions(&self, now: Moment) -> impl Iterator<Item = (&str, Version)> {
        let heard = self.last.iter().filter(move |(_, last)| now.since(last.at) <= self.terms.lease);
        heard.map(|(name, last)| (name.as_str(), last.version))
    }

    /// What a member that is heard says of itself, if it serves and is agreed on so.
    pub fn serving(&self, now: Moment, fleet: &Fleet, name: &str) -> Option<&LastReport> {
        let member = fleet.members().get(name).filter(|member| member.status == MemberStatus::Serving)?;
        let last = self.last.get(name)?;
        let serves = last.standing == MemberStatus::Serving && last.incarnation == member.incarnation;
        (serves && now.since(last.at) <= self.terms.lease).then_some(last)
    }

    /// Whether this process is drained and has no client and no req left.
    pub fn is_drained(&self, now: Moment, name: &str, incarnation: u64) -> bool {
        self.last.get(name).is_some_and(|last| {
            let drained =
                matches!(last.standing, MemberStatus::Drained | MemberStatus::Leaving | MemberStatus::Gone);
            last.incarnation == incarnation
                && drained
                && last.open == 0
                && now.since(last.at) <= self.terms.lease
        })
    }

    /// What each member has said last.
    pub fn last_reports(&self) -> impl Iterator<Item = (&String, &LastReport)> {
        self.last.iter()
    }

    /// Which version each member that is heard says that it runs.
    pub fn program_versions(&self, now: Moment) -> impl Iterator<Item = (&str, &str)> {
        let heard = self.last.iter().filter(move |(_, last)| now.since(last.at) <= self.terms.lease);
        heard.map(|(name, last)| (name.as_str(), last.program_version.as_str()))
    }

    /// Endpoints that more than half of the serving members look for and do not have as ready.
    pub fn missing_endpoints(&self) -> Vec<String> {
        let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
        let serving = self.last.values().filter(|last| last.standing == MemberStatus::Serving);
        let all = serving.clone().count();
        serving.flat_map(|last| &last.lacks).for_each(|name| *counts.entry(name).or_default() += 1);
        counts.into_iter().filter(|(_, count)| *count * 2 > all).map(|(name, _)| name.clone()).collect()
    }

    /// Who holds something at an endpoint that is out of service, or may: whoever has not said since that it holds nothing.
    /// One that is silent may hold until its lease is over and its longest deadline has passed, which `gone` is not under.
    pub fn members_using(&self, now: Moment, fleet: &Fleet, endpoint: &str) -> Vec<String> {
        let (since, _) = fleet.drained_endpoints();
        let may_hold =
            |last: &LastReport| last.outs < since || last.holds.iter().any(|held| held == endpoint);
        let may = fleet.members().iter().filter(|(name, member)| {
            let Some(last) = self.last.get(*name).filter(|last| last.incarnation == member.incarnation)
            else {
                // Danger: a new leader has heard nobody, and takes nobody's word for given.
                return member.status != MemberStatus::Gone || now.since(self.since) <= self.terms.gone;
            };
            let ended = member.status == MemberStatus::Gone && now.since(last.at) > self.terms.lease;
            !ended && may_hold(last)
        });
        // Danger: who has just come is heard before it is agreed on.
        let agreed = |name: &String| fleet.members().contains_key(name);
        let coming = self.last.iter().filter(|(name, last)| !agreed(name) && may_hold(last));
        may.map(|(name, _)| name).chain(coming.map(|(name, _)| name)).cloned().collect()
    }

    /// A command that is to be proposed, unless the same one is under way.
    fn anew(&mut self, of: (String, bool), command: Command, now: Moment) -> Option<Command> {
        let waits = self.proposed.get(&of).is_some_and(|(was, at)| *was == command && now.since(*at) < AGAIN);
        (!waits).then(|| {
            self.proposed.insert(of, (command.clone(), now));
            command
        })
    }

    /// What is to be proposed now: where what is heard differs from what is agreed.
    pub fn proposals(&mut self, now: Moment, fleet: &Fleet) -> Vec<Command> {
        let mut found = Vec::new();
        for (name, last) in &self.last {
            let silent = now.since(last.at);
            let standing = match last.standing {
                // Danger: one that was told to leave and is silent since has ended, as it said that it would.
                MemberStatus::Leaving | MemberStatus::Gone if silent > self.terms.lease => MemberStatus::Gone,
                _ if silent > self.terms.gone => MemberStatus::Gone,
                _ if silent > self.terms.lease => MemberStatus::Silent,
                standing => standing,
            };
            found.push((name.clone(), last.incarnation, standing, last.groups.clone()));
        }
        // Danger: a new leader has heard nobody, and must not take anyone for silent before a full lease of its own.
        let led = now.since(self.since);
        for (name, member) in fleet.members() {
            let unheard = self.last.get(name).is_none_or(|last| last.incarnation < member.incarnation);
            if unheard && led > self.terms.lease {
                let gone = led > self.terms.gone || member.status == MemberStatus::Leaving;
                let standing = if gone { MemberStatus::Gone } else { MemberStatus::Silent };
                found.push((name.clone(), member.incarnation, standing, member.groups.clone()));
            }
        }
        let mut commands = Vec::new();
        for (name, incarnation, standing, groups) in found {
            let agreed = fleet.members().get(&name);
            let same = agreed.is_some_and(|member| {
                (member.incarnation, member.status, &member.groups) == (incarnation, standing, &groups)
            });
            // One that is gone stays so until it is heard.
            let gone = agreed.is_some_and(|m| m.incarnation == incarnation && m.status == MemberStatus::Gone);
            if same || gone && standing == MemberStatus::Silent {
                self.proposed.remove(&(name, false));
                continue;
            }
            let command = Command::Member { name: name.clone(), incarnation, status: standing, groups };
            commands.extend(self.anew((name, false), command, now));
        }
        // Permission ends when its holder says so, and serves: never by time.
        let back = self.last.iter().filter_map(|(name, last)| {
            let member = fleet.members().get(name).filter(|member| member.incarnation == last.incarnation)?;
            let serves = last.standing == MemberStatus::Serving && now.since(last.at) <= self.terms.lease;
            let ask = member.drain_request.filter(|ask| serves && *ask <= last.settled)?;
            Some(Command::ReturnMember { name: name.clone(), incarnation: last.incarnation, request: ask })
        });
        for command in back.collect::<Vec<_>>() {
            let Command::ReturnMember { name, .. } = &command else { continue };
            commands.extend(self.anew((name.clone(), true), command, now));
        }
        // What is agreed to be gone needs no memory.
        self.last.retain(|name, last| {
            let gone = fleet.members().get(name).is_some_and(|m| m.status == MemberStatus::Gone);
            !gone || now.since(last.at) <= self.terms.lease
        });
        commands
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: LivenessTimeouts =
        LivenessTimeouts { lease: Span::from_millis(1000), gone: Span::from_millis(5000) };

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn report(name: &str, incarnation: u64, process: u64, standing: MemberStatus) -> Report {
        Report {
            name: name.into(),
            incarnation,
            process_nonce: process,
            status: standing,
            ..Report::default()
        }
    }

    fn apply(fleet: &mut Fleet, commands: &[Command]) {
        for command in commands {
            fleet.apply(fleet.applied() + 1, command);
        }
    }

    #[test]
    fn silence_is_told_after_a_lease_and_a_new_leader_waits_for_one_of_its_own() {
        let (mut fleet, mut heard) = (Fleet::default(), MemberTracker::new(at(0), TERMS));
        heard.record_report(at(10), &report("a", 1, 1, MemberStatus::Serving), &fleet);
        let joins = heard.proposals(at(10), &fleet);
        assert_eq!(joins.len(), 1);
        // Proposed once while it is under way, and again when nothing came of it.
        assert_eq!((heard.proposals(at(500), &fleet), heard.proposals(at(600), &fleet)), (vec![], vec![]));
        apply(&mut fleet, &joins);
        assert_eq!(heard.proposals(at(1000), &fleet), []);
        let silent = heard.proposals(at(1020), &fleet);
        apply(&mut fleet, &silent);
        assert_eq!(fleet.members()["a"].status, MemberStatus::Silent);
        heard.record_report(at(1100), &report("a", 1, 1, MemberStatus::Serving), &fleet);
        let back = heard.proposals(at(1100), &fleet);
        apply(&mut fleet, &back);
        assert_eq!(fleet.members()["a"].status, MemberStatus::Serving);
        // Another leads, and has never heard it.
        let mut heard = MemberTracker::new(at(9000), TERMS);
        assert_eq!(heard.proposals(at(10_000), &fleet), []);
        let silent = heard.proposals(at(10_001), &fleet);
        apply(&mut fleet, &silent);
        let gone = heard.proposals(at(14_001), &fleet);
        apply(&mut fleet, &gone);
        assert_eq!(fleet.members()["a"].status, MemberStatus::Gone);
        assert_eq!(heard.proposals(at(20_000), &fleet), []);
    }

    #[test]
    fn who_is_heard_and_not_agreed_on_yet_may_hold_something() {
        let (mut fleet, mut heard) = (Fleet::default(), MemberTracker::new(at(0), TERMS));
        fleet.apply(1, &Command::Endpoint { name: "e1".into(), out: true, force: None, missing: vec![] });
        heard.record_report(at(10), &report("a", 1, 1, MemberStatus::Joining), &fleet);
        assert_eq!(heard.members_using(at(20), &fleet, "e1"), ["a"]);
    }

    #[test]
    fn a_member_of_more_groups_than_are_kept_is_proposed_once() {
        let (mut fleet, mut heard) = (Fleet::default(), MemberTracker::new(at(0), TERMS));
        let many = Report {
            groups: (0..20).map(|at| at.to_string()).collect(),
            ..report("a", 1, 1, MemberStatus::Serving)
        };
        heard.record_report(at(10), &many, &fleet);
        let joins = heard.proposals(at(10), &fleet);
        apply(&mut fleet, &joins);
        heard.record_report(at(5000), &many, &fleet);
        assert_eq!((joins.len(), heard.proposals(at(5000), &fleet)), (1, vec![]));
    }

    #[test]
    fn one_that_said_it_leaves_is_gone_after_a_lease() {
        let (mut fleet, mut heard) = (Fleet::default(), MemberTracker::new(at(0), TERMS));
        heard.record_report(at(0), &report("a", 1, 1, MemberStatus::Leaving), &fleet);
        let leaves = heard.proposals(at(1), &fleet);
        apply(&mut fleet, &leaves);
        let gone = heard.proposals(at(1002), &fleet);
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
    fn two_processes_of_one_name_are_told_apart_or_both_told() {
        let (mut fleet, mut heard) = (Fleet::default(), MemberTracker::new(at(0), TERMS));
        let mut say = |ms, incarnation, process| {
            let found = heard.record_report(
                at(ms),
                &report("a", incarnation, process, MemberStatus::Serving),
                &fleet,
            );
            let commands = heard.proposals(at(ms), &fleet);
            apply(&mut fleet, &commands);
            (found.duplicate_process, found.superseded)
        };
        assert_eq!(say(0, 5, 1), (false, false));
        assert_eq!(say(100, 5, 2), (true, false));
        assert_eq!(say(200, 5, 1), (true, false));
        // One has gone; after a lease the other is alone.
        assert_eq!(say(1100, 5, 1), (true, false));
        assert_eq!(say(1300, 5, 1), (false, false));
        // A restart: the later incarnation holds, the earlier one is told.
        assert_eq!(
            (say(1400, 6, 3), say(1500, 5, 1), say(1600, 6, 3)),
            ((false, false), (false, true), (false, false))
        );
    }
}
