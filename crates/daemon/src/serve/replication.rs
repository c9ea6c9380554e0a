//! Carries out what the replica has ready: persists batches, sends messages, applies committed entries, and notifies the
//! requesters that wait for them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use appledyke::units::Span;
use appledyke_consensus::{Content, Entry, Index, Position, Ready, Role, Term};
use appledyke_fleet::Answer;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::liveness::{self, MemberTracker};
use appledyke_fleet::messages::{Frame, OperatorReply};
use appledyke_fleet::release_runner::ReleaseRunner;
use appledyke_fleet::state::{Command, Fleet};
use appledyke_sidecar::net::slots::Key;

use crate::configuration::Configuration;

use super::{Daemon, MAX_DIGEST_ENTRIES, PendingProposal, Requester};

/// A write is slow from this fraction of the election timeout on.
const SLOW_WRITES_PER_ELECTION: u64 = 2;

/// Warns of a write to the folder that took so long that the other daemons may have elected another leader meanwhile.
fn warn_if_slow(took: Duration, configuration: &Configuration) {
    let took_ms = took.as_millis() as u64;
    let election_ms = configuration.election_ms;
    if took_ms * SLOW_WRITES_PER_ELECTION >= election_ms {
        tracing::warn!(
            took_ms,
            "writing to the folder took {took_ms} ms; without a leader for {election_ms} ms the daemons elect another"
        );
    }
}

impl Daemon {
    pub(super) fn process_ready(&mut self) {
        loop {
            let Some(active) = &mut self.active else { return };
            let ready = active.replica.take_ready();
            if ready.is_empty() {
                break;
            }
            let Ready { batch, messages, install, committed, reads, failed_reads } = ready;
            if let Some(batch) = batch {
                let started = Instant::now();
                let persisted = active.folder.persist(&batch);
                warn_if_slow(started.elapsed(), &self.configuration);
                match persisted {
                    Ok(()) => active.replica.mark_durable(batch.number),
                    Err(what) => {
                        tracing::error!("stops serving until its folder can be opened again: {what}");
                        return self.stop_serving(what.to_string());
                    }
                }
            }
            if let Some(snapshot) = install {
                match Fleet::from_bytes(&snapshot.state) {
                    Ok(fleet) => {
                        (active.fleet, active.compacted_index) = (fleet, snapshot.last_included.index);
                        let included = self
                            .pending_proposals
                            .keys()
                            .copied()
                            .take_while(|index| *index <= snapshot.last_included.index);
                        for index in included.collect::<Vec<_>>() {
                            self.complete_proposals(index, None, &Answer::Done);
                        }
                    }
                    Err(what) => return self.reset_replica(format!("a snapshot cannot be read: {what}")),
                }
            }
            committed.into_iter().for_each(|entry| self.apply(entry));
            for read_id in reads {
                if let Some((_, reports)) = self.leadership_check.take_if(|(id, _)| *id == read_id) {
                    reports.into_iter().for_each(|(key, report)| self.answer_report(key, &report, true));
                }
                if let Some((key, number, request)) = self.pending_reads.remove(&read_id) {
                    self.answer_request(key, number, &request);
                }
            }
            for read_id in failed_reads {
                if self.leadership_check.as_ref().is_some_and(|(id, _)| *id == read_id) {
                    self.answer_without_grants();
                }
                if let Some((key, number, _)) = self.pending_reads.remove(&read_id) {
                    let leader = self.leader();
                    self.reply(key, number, OperatorReply::NotLeader(leader));
                }
            }
            for message in messages {
                let to = message.to.replica_id;
                self.send_to(to, &Frame::Consensus(message));
            }
        }
        self.update_role();
        self.check_leadership();
        self.continue_validation();
    }

    /// Asks a majority to confirm that this replica leads, on behalf of all waiting reports. Danger: a leader that was suspended
    /// between two steps would hand out grants that are by now another leader's to give.
    pub(super) fn check_leadership(&mut self) {
        if self.leadership_check.is_some() || self.pending_reports.is_empty() {
            return;
        }
        let (read_id, reports) = (self.next_read_id, std::mem::take(&mut self.pending_reports));
        self.next_read_id += 1;
        let started = self.active.as_mut().is_some_and(|active| active.replica.request_read(read_id).is_ok());
        self.leadership_check = Some((read_id, reports));
        if !started {
            self.answer_without_grants();
        }
    }

    /// Answers all waiting reports without grants.
    pub(super) fn answer_without_grants(&mut self) {
        let waiting = self.leadership_check.take().map(|(_, reports)| reports).unwrap_or_default();
        for (key, report) in waiting.into_iter().chain(std::mem::take(&mut self.pending_reports)) {
            self.answer_report(key, &report, false);
        }
    }

    pub(super) fn update_role(&mut self) {
        let Some(active) = &mut self.active else { return };
        let role = active.replica.role();
        if role == Role::Lost {
            let why = format!(
                "{} acknowledged entries that its folder does not hold, or is no longer a voter",
                active.replica.id()
            );
            return self.reset_replica(why);
        }
        if self.role == Some(role) {
            return;
        }
        let (id, term) = (active.replica.id(), active.replica.term());
        tracing::info!(%id, term, role = ?role, "replica {id} is {role:?} in term {term}");
        self.role = Some(role);
        let timeouts = liveness::LivenessTimeouts {
            lease: self.configuration.lease(),
            gone: Span::from_millis(self.configuration.gone_ms),
        };
        let generation = active.fleet.version().generation;
        active.tracker = (role == Role::Leader).then(|| MemberTracker::new(self.now, timeouts));
        active.allocator = (role == Role::Leader).then(|| Allocator::new(self.now, generation));
        active.runner = (role == Role::Leader).then(ReleaseRunner::new);
        // Entries that are not applied yet may hold settings writes of earlier leaders.
        (active.localities, active.pending_settings) =
            (BTreeMap::new(), (active.replica.last_position().index, true));
        // Danger: a write validated against the state of an earlier term may be invalid together with what another leader has
        // committed since.
        if let Some((key, number)) = self.validation.take().map(|validation| validation.requester()) {
            let leader = self.leader();
            self.reply(key, number, OperatorReply::NotLeader(leader));
        }
    }

    pub(super) fn leader(&self) -> Option<u16> {
        self.active.as_ref()?.replica.leader().map(|id| id.replica_id)
    }

    pub(super) fn apply(&mut self, entry: Entry) {
        let Some(active) = &mut self.active else { return };
        let index = entry.position.index;
        let answer = match &entry.content {
            Content::Command(bytes) => match Command::from_bytes(bytes) {
                Ok(command) => active.fleet.apply(index, &command),
                Err(what) => {
                    // Every replica skips the same entry, so their states stay equal.
                    tracing::error!("entry {index}: {what}");
                    active.fleet.skip_entry(index);
                    Answer::Done
                }
            },
            Content::Noop | Content::Voters(_) => {
                active.fleet.skip_entry(index);
                Answer::Done
            }
        };
        if index >= active.compacted_index + self.configuration.compact_every {
            active.compacted_index = index;
            active.replica.compact(index, active.fleet.to_bytes());
        }
        if index.is_multiple_of(self.configuration.compare_every) {
            let digest = active.fleet.digest();
            let replica_id = self.configuration.replica_id;
            for other in self.dials.keys().copied().collect::<Vec<_>>() {
                self.send_to(other, &Frame::Digest { index, digest });
            }
            self.compare_digests(index, replica_id, digest);
        }
        self.complete_proposals(index, Some(entry.position.term), &answer);
    }

    /// Records who is to be notified of the outcome of the entry proposed at this position.
    pub(super) fn track_proposal(&mut self, at: Position, key: Key, requester: Requester) {
        self.pending_proposals.entry(at.index).or_default().push(PendingProposal {
            term: at.term,
            key,
            requester,
        });
    }

    /// Notifies the requesters that wait for the entry at this index. A `term` other than that of their proposal means that the
    /// outcome is unknown to this replica.
    pub(super) fn complete_proposals(&mut self, index: Index, term: Option<Term>, answer: &Answer) {
        for proposal in self.pending_proposals.remove(&index).unwrap_or_default() {
            let reply = match answer {
                _ if term != Some(proposal.term) => {
                    OperatorReply::Unknown("another leader's entry replaced it in the log".to_string())
                }
                Answer::Committed(version) => OperatorReply::Committed(*version),
                Answer::Refused(why) => OperatorReply::Refused(why.to_string()),
                Answer::Done => OperatorReply::Done,
            };
            match proposal.requester {
                Requester::Operator { number } => self.reply(proposal.key, number, reply),
                Requester::Member { request } => {
                    let refused = match reply {
                        OperatorReply::Done => None,
                        OperatorReply::Refused(why) => Some(why),
                        // Danger: an unknown outcome must not be reported as a grant or a refusal. The member asks again.
                        _ => continue,
                    };
                    self.send(proposal.key, &Frame::DrainAnswer { ask: request, refused });
                }
            }
        }
    }

    /// Records the digest of a replica's state after an entry. A replica whose state differs from that of a majority is the wrong
    /// one, and is reset.
    pub(super) fn compare_digests(&mut self, index: Index, replica_id: u16, digest: u64) {
        self.digests.entry(index).or_default().insert(replica_id, digest);
        while self.digests.len() > MAX_DIGEST_ENTRIES {
            self.digests.pop_first();
        }
        let (Some(active), Some(digests)) = (&self.active, self.digests.get(&index)) else { return };
        let Some(own) = digests.get(&self.configuration.replica_id) else { return };
        let voters = active.replica.voters();
        let differing =
            voters.iter().filter_map(|id| digests.get(&id.replica_id)).filter(|digest| *digest != own);
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        differing.for_each(|digest| *counts.entry(*digest).or_default() += 1);
        if counts.is_empty() {
            return;
        }
        if counts.values().any(|count| *count > voters.len() / 2) {
            let agreed = self.digests.range(..index).rev().find(|(_, digests)| {
                let own = digests.get(&self.configuration.replica_id);
                own.is_some()
                    && digests.values().filter(|digest| Some(*digest) == own).count() > voters.len() / 2
            });
            let from = agreed.map_or(1, |(index, _)| index + 1);
            self.reset_replica(format!(
                "its state differs from a majority's, from an entry between {from} and {index} on"
            ));
        } else {
            tracing::error!(
                index,
                "copies of the state differ after entry {index}, and no majority says which is right"
            );
        }
    }
}
