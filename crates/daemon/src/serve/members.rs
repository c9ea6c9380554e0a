//! Members: what they report, and what they are answered.

use appledyke::ids;
use appledyke::units::Moment;
use appledyke_consensus::Role;
use appledyke_fleet::budgets::{Holder, Thing};
use appledyke_fleet::divide::Divider;
use appledyke_fleet::limits::Grant;
use appledyke_fleet::members::Standing;
use appledyke_fleet::state::{Command, Fleet};
use appledyke_fleet::talk::{Frame, Report, Told};
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, Whom};

/// What a reporting holder is granted, and what its report says of others.
fn grants(now: Moment, divider: &mut Divider, fleet: &Fleet, report: &Report) -> Vec<Grant> {
    let holder = Holder { name: report.name.clone(), incarnation: report.incarnation };
    if report.alone {
        // An earlier process of this name has ended: what it held is free.
        let earlier = Thing::ALL.into_iter().flat_map(|of| fleet.budgets().earlier(of, &holder));
        earlier.for_each(|earlier| divider.ended(now, earlier));
    }
    divider.report(now, &holder, &report.uses, report.standing == Standing::Gone);
    divider.grants(&holder, fleet.budgets(), fleet.applied())
}

impl Daemon {
    pub(super) fn report(&mut self, key: Key, report: Report) {
        let grants = self.life.as_ref().is_some_and(|life| {
            let divides = !report.uses.is_empty() || life.fleet.budgets().stated().next().is_some();
            let releases = report.sent || life.fleet.releases().any_runs();
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
        let service = peer.locality.service_mark();
        let new = self.evidence.hear(now, service, writer, report.incarnation, &report.seen);
        self.heard_records += new as u64;
        let c = &self.configuration;
        (peer.since, peer.incarnation) = (now, report.incarnation);
        let passed = if report.catches_up {
            self.evidence.catch_up(now, service, writer, &mut peer.cursor, c.evidence_return)
        } else {
            let most = if service == 0 { c.evidence_each } else { c.evidence_service };
            self.evidence.tell(now, service, writer, &mut peer.cursor, most)
        };
        let mut told = Told { apart: true, passed, number: report.number, ..Told::default() };
        if let Some(life) = &mut self.life {
            let role = life.replica.role();
            told.apart = !matches!(role, Role::Leader | Role::Follower | Role::Candidate);
            told.leads = role == Role::Leader;
            told.leader = life.replica.leader().map(|id| id.replica_id);
            let found =
                life.heard.as_mut().map(|heard| heard.report(now, report, &life.fleet)).unwrap_or_default();
            (told.twin, told.superseded) = (found.twin, found.superseded);
            if role == Role::Leader && !found.superseded {
                life.belongs(&report.name, &peer.locality);
            }
            if let Some(divider) = life.divider.as_mut().filter(|_| granting) {
                told.grants = Some(grants(now, divider, &life.fleet, report));
            }
            // Danger: a leader that was would send out one whom the fleet has counted as back since.
            told.sent = granting.then(|| life.fleet.releases().sends(&report.name, report.incarnation));
            let (mark, names) = life.looks();
            told.looks = (*mark != report.looks).then(|| (*mark, names.clone()));
            let (since, outs) = life.fleet.endpoints_out();
            told.outs = (since > report.outs && !told.apart).then(|| (since, outs.iter().cloned().collect()));
            // Only what is committed is ever applied, so nothing else is told; and only forwards.
            if !told.apart {
                let knows = report.knows.max(report.version);
                told.settings = life.texts.later(&life.fleet, &report.name, &peer.locality, knows);
            }
        }
        // Who has said its service speaks version 3; who has not hears the whole fleet, and would fill dictionaries in vain.
        let Some(peer) = self.peers.get_mut(key).filter(|_| service != 0) else {
            return self.send(key, &Frame::Told(told));
        };
        if report.catches_up {
            peer.encoder.reset();
        }
        let (coded, rest) = peer.encoder.encode(std::mem::take(&mut told.passed));
        told.passed = rest;
        self.send(key, &Frame::ToldCoded(told, coded));
    }

    /// A member asks whether it may go out: an entry of the log says so, or why not.
    pub(super) fn asked_out(&mut self, key: Key, name: String, ask: u64, anyway: Option<String>) {
        let Some(incarnation) = self.peers.get(key).map(|peer| peer.incarnation) else { return };
        if let Some(reason) = &anyway {
            tracing::warn!(member = name, reason, "{name} goes out whatever is out already: {reason}");
        }
        let command = Command::Out { name, incarnation, ask, anyway };
        match self.life.as_mut().map(|life| life.replica.propose(command.bytes())) {
            Some(Ok(at)) => {
                self.wait(at, key, Whom::Member { ask });
            }
            _ => {
                let refused = Some("the daemon that it asks does not lead".to_string());
                self.send(key, &Frame::OutTold { ask, refused });
            }
        }
    }
}
