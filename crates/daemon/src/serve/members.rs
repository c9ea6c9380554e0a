//! Handles the reports and drain requests of members.

use appledyke::ids;
use appledyke::units::Moment;
use appledyke_consensus::Role;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::budgets::{Holder, Resource};
use appledyke_fleet::drains;
use appledyke_fleet::limits::Grant;
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{Frame, Report, ReportAnswer};
use appledyke_fleet::state::{Command, Fleet};
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, Requester};

/// Records a holder's usage, and the end of earlier incarnations where its report implies it; returns its grants.
fn renew_grants(now: Moment, allocator: &mut Allocator, fleet: &Fleet, report: &Report) -> Vec<Grant> {
    let holder = Holder { name: report.name.clone(), incarnation: report.incarnation };
    if report.sole_at_address {
        // Earlier processes of this name have ended, so the shares they held are free.
        let earlier =
            Resource::ALL.into_iter().flat_map(|of| fleet.budgets().earlier_incarnations(of, &holder));
        earlier.for_each(|earlier| allocator.mark_ended(now, earlier));
    }
    allocator.record_report(now, &holder, &report.usage, report.status == MemberStatus::Gone);
    allocator.grants_for(&holder, fleet.budgets(), fleet.applied())
}

impl Daemon {
    pub(super) fn on_report(&mut self, key: Key, report: Report) {
        let needs_grants = self.active.as_ref().is_some_and(|active| {
            let has_budgets =
                !report.usage.is_empty() || active.fleet.budgets().configured().next().is_some();
            let releases = report.drained_by_release || active.fleet.releases().any_active();
            (has_budgets || releases) && active.replica.role() == Role::Leader
        });
        if needs_grants {
            self.pending_reports.push((key, report));
        } else {
            self.answer_report(key, &report, false);
        }
    }

    /// `granting`: after the report arrived, a majority confirmed that this replica leads.
    pub(super) fn answer_report(&mut self, key: Key, report: &Report, granting: bool) {
        let (now, writer) = (self.now, ids::name_hash(&report.name));
        let Some(peer) = self.peers.get_mut(key) else { return };
        let service = peer.locality.service_hash();
        let new = self.evidence.record(now, service, writer, report.incarnation, &report.observations);
        self.evidence_records += new as u64;
        let c = &self.configuration;
        (peer.last_activity, peer.incarnation) = (now, report.incarnation);
        let observations = if report.wants_catch_up {
            self.evidence.catch_up(now, service, writer, &mut peer.cursor, c.evidence_per_catch_up)
        } else {
            let limit = if service == 0 { c.evidence_per_answer } else { c.evidence_per_service_answer };
            self.evidence.read_new(now, service, writer, &mut peer.cursor, limit)
        };
        let mut answer =
            ReportAnswer { excluded: true, observations, number: report.number, ..ReportAnswer::default() };
        if let Some(active) = &mut self.active {
            let role = active.replica.role();
            answer.excluded = !matches!(role, Role::Leader | Role::Follower | Role::Candidate);
            answer.is_leader = role == Role::Leader;
            answer.leader = active.replica.leader().map(|id| id.replica_id);
            let found = active
                .tracker
                .as_mut()
                .map(|tracker| tracker.record_report(now, report, &active.fleet))
                .unwrap_or_default();
            (answer.duplicate_process, answer.superseded) = (found.duplicate_process, found.superseded);
            if role == Role::Leader && !found.superseded {
                active.record_locality(&report.name, &peer.locality);
            }
            if let Some(allocator) = active.allocator.as_mut().filter(|_| granting) {
                answer.grants = Some(renew_grants(now, allocator, &active.fleet, report));
            }
            // Danger: without the confirmation a former leader could drain a member that has since returned to service.
            answer.drain_for_release =
                granting.then(|| active.fleet.releases().is_to_drain(&report.name, report.incarnation));
            let (hash, names) = active.watch_list();
            answer.watch_list = (*hash != report.watch_list_hash).then(|| (*hash, names.clone()));
            let (changed_at, drained) = active.fleet.drained_endpoints();
            answer.drained_endpoints = (changed_at > report.endpoints_known_at && !answer.excluded)
                .then(|| (changed_at, drained.iter().cloned().collect()));
            // The state holds committed entries alone, so members never learn of uncommitted settings, and only of later ones.
            if !answer.excluded {
                let known_version = report.latest_known.max(report.version);
                answer.settings = active.merged_settings.newer_than(
                    &active.fleet,
                    &report.name,
                    &peer.locality,
                    known_version,
                );
            }
        }
        // A member that names its service speaks version 3. One that does not gets the evidence of the whole fleet, which would
        // fill the encoder's dictionary to no use.
        let Some(peer) = self.peers.get_mut(key).filter(|_| service != 0) else {
            return self.send(key, &Frame::ReportAnswer(answer));
        };
        if report.wants_catch_up {
            peer.encoder.reset();
        }
        let (encoded, rest) = peer.encoder.encode(std::mem::take(&mut answer.observations));
        answer.observations = rest;
        self.send(key, &Frame::CodedReportAnswer(answer, encoded));
    }

    /// Handles a member's request to drain, which the applied log entry grants or refuses with a reason.
    pub(super) fn on_drain_request(&mut self, key: Key, name: String, request: u64, force: Option<String>) {
        let Some(incarnation) = self.peers.get(key).map(|peer| peer.incarnation) else { return };
        if let Some(reason) = &force {
            tracing::warn!(
                member = name,
                reason,
                "{name} drains regardless of the limits on drains: {reason}"
            );
        }
        let command = Command::DrainMember { name, incarnation, request, force };
        match self.active.as_mut().map(|active| active.replica.propose(command.to_bytes())) {
            Some(Ok(at)) => {
                self.track_proposal(at, key, Requester::Member { request });
            }
            _ => {
                let refused = Some(drains::NOT_LEADER.to_string());
                self.send(key, &Frame::DrainAnswer { ask: request, refused });
            }
        }
    }
}
