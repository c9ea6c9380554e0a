//! Members: what they report, and what they are answered.

use appledyke::ids;
use appledyke::units::Moment;
use appledyke_consensus::Role;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::budgets::{Holder, Resource};
use appledyke_fleet::limits::Grant;
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{Frame, Report, ReportAnswer};
use appledyke_fleet::state::{Command, Fleet};
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, Whom};

/// What a reporting holder is granted, and what its report says of others.
fn grants(now: Moment, divider: &mut Allocator, fleet: &Fleet, report: &Report) -> Vec<Grant> {
    let holder = Holder { name: report.name.clone(), incarnation: report.incarnation };
    if report.sole_at_address {
        // An earlier process of this name has ended: what it held is free.
        let earlier =
            Resource::ALL.into_iter().flat_map(|of| fleet.budgets().earlier_incarnations(of, &holder));
        earlier.for_each(|earlier| divider.mark_ended(now, earlier));
    }
    divider.record_report(now, &holder, &report.usage, report.status == MemberStatus::Gone);
    divider.grants_for(&holder, fleet.budgets(), fleet.applied())
}

impl Daemon {
    pub(super) fn report(&mut self, key: Key, report: Report) {
        let grants = self.life.as_ref().is_some_and(|life| {
            let divides = !report.usage.is_empty() || life.fleet.budgets().configured().next().is_some();
            let releases = report.drained_by_release || life.fleet.releases().any_active();
            (divides || releases) && life.replica.role() == Role::Leader
        });
        if grants {
            self.reports.push((key, report));
        } else {
            self.answer_report(key, &report, false);
        }
    }

    /// `granting`: a majority has said, after the report came, that this replica leads.
    pub(super) fn answer_report(&mut self, key: Key, report: &Report, granting: bool) {
        let (now, writer) = (self.now, ids::name_hash(&report.name));
        let Some(peer) = self.peers.get_mut(key) else { return };
        let service = peer.locality.service_hash();
        let new = self.evidence.record(now, service, writer, report.incarnation, &report.observations);
        self.heard_records += new as u64;
        let c = &self.configuration;
        (peer.since, peer.incarnation) = (now, report.incarnation);
        let passed = if report.wants_catch_up {
            self.evidence.catch_up(now, service, writer, &mut peer.cursor, c.evidence_return)
        } else {
            let most = if service == 0 { c.evidence_each } else { c.evidence_service };
            self.evidence.read_new(now, service, writer, &mut peer.cursor, most)
        };
        let mut told = ReportAnswer {
            excluded: true,
            observations: passed,
            number: report.number,
            ..ReportAnswer::default()
        };
        if let Some(life) = &mut self.life {
            let role = life.replica.role();
            told.excluded = !matches!(role, Role::Leader | Role::Follower | Role::Candidate);
            told.is_leader = role == Role::Leader;
            told.leader = life.replica.leader().map(|id| id.replica_id);
            let found = life
                .heard
                .as_mut()
                .map(|heard| heard.record_report(now, report, &life.fleet))
                .unwrap_or_default();
            (told.duplicate_process, told.superseded) = (found.duplicate_process, found.superseded);
            if role == Role::Leader && !found.superseded {
                life.belongs(&report.name, &peer.locality);
            }
            if let Some(divider) = life.divider.as_mut().filter(|_| granting) {
                told.grants = Some(grants(now, divider, &life.fleet, report));
            }
            // Danger: a leader that was would send out one whom the fleet has counted as back since.
            told.drain_for_release =
                granting.then(|| life.fleet.releases().is_to_drain(&report.name, report.incarnation));
            let (mark, names) = life.looks();
            told.watch_list = (*mark != report.watch_list_hash).then(|| (*mark, names.clone()));
            let (since, outs) = life.fleet.drained_endpoints();
            told.drained_endpoints = (since > report.endpoints_known_at && !told.excluded)
                .then(|| (since, outs.iter().cloned().collect()));
            // Only what is committed is ever applied, so nothing else is told; and only forwards.
            if !told.excluded {
                let knows = report.latest_known.max(report.version);
                told.settings = life.texts.later(&life.fleet, &report.name, &peer.locality, knows);
            }
        }
        // Who has said its service speaks version 3; who has not hears the whole fleet, and would fill dictionaries in vain.
        let Some(peer) = self.peers.get_mut(key).filter(|_| service != 0) else {
            return self.send(key, &Frame::ReportAnswer(told));
        };
        if report.wants_catch_up {
            peer.encoder.reset();
        }
        let (coded, rest) = peer.encoder.encode(std::mem::take(&mut told.observations));
        told.observations = rest;
        self.send(key, &Frame::CodedReportAnswer(told, coded));
    }

    /// A member asks whether it may go out: an entry of the log says so, or why not.
    pub(super) fn asked_out(&mut self, key: Key, name: String, ask: u64, anyway: Option<String>) {
        let Some(incarnation) = self.peers.get(key).map(|peer| peer.incarnation) else { return };
        if let Some(reason) = &anyway {
            tracing::warn!(member = name, reason, "{name} goes out whatever is out already: {reason}");
        }
        let command = Command::DrainMember { name, incarnation, request: ask, force: anyway };
        match self.life.as_mut().map(|life| life.replica.propose(command.to_bytes())) {
            Some(Ok(at)) => {
                self.wait(at, key, Whom::Member { ask });
            }
            _ => {
                let refused = Some("the daemon that it asks does not lead".to_string());
                self.send(key, &Frame::DrainAnswer { ask, refused });
            }
        }
    }
}
