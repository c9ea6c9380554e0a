//! What the replica says is carried out: batches, messages, committed entries, and those that wait for them.

use std::collections::BTreeMap;

use appledyke::units::Span;
use appledyke_consensus::{Content, Entry, Index, Position, Ready, Role, Term};
use appledyke_fleet::Answer;
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::liveness::{self, MemberTracker};
use appledyke_fleet::messages::{Frame, OperatorReply};
use appledyke_fleet::release_runner::ReleaseRunner;
use appledyke_fleet::state::{Command, Fleet};
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, MARKS_MOST, Waiting, Whom};

impl Daemon {
    pub(super) fn work(&mut self) {
        loop {
            let Some(life) = &mut self.life else { return };
            let work = life.replica.take_ready();
            if work.is_empty() {
                break;
            }
            let Ready { batch, messages, install, committed, reads, failed_reads } = work;
            if let Some(batch) = batch {
                match life.folder.persist(&batch) {
                    Ok(()) => life.replica.mark_durable(batch.number),
                    Err(what) => {
                        tracing::error!("stops serving until its folder can be opened again: {what}");
                        return self.close(what.to_string());
                    }
                }
            }
            if let Some(snapshot) = install {
                match Fleet::from_bytes(&snapshot.state) {
                    Ok(fleet) => {
                        (life.fleet, life.compacted) = (fleet, snapshot.last_included.index);
                        let passed = self
                            .writes
                            .keys()
                            .copied()
                            .take_while(|index| *index <= snapshot.last_included.index);
                        for index in passed.collect::<Vec<_>>() {
                            self.settle(index, None, &Answer::Done);
                        }
                    }
                    Err(what) => return self.begin_anew(format!("a snapshot cannot be read: {what}")),
                }
            }
            committed.into_iter().for_each(|entry| self.apply(entry));
            for ticket in reads {
                if let Some((_, reports)) = self.confirming.take_if(|(confirming, _)| *confirming == ticket) {
                    reports.into_iter().for_each(|(key, report)| self.answer_report(key, &report, true));
                }
                if let Some((key, number, ask)) = self.reads.remove(&ticket) {
                    self.answer(key, number, &ask);
                }
            }
            for ticket in failed_reads {
                if self.confirming.as_ref().is_some_and(|(confirming, _)| *confirming == ticket) {
                    self.unconfirmed();
                }
                if let Some((key, number, _)) = self.reads.remove(&ticket) {
                    let leader = self.leader();
                    self.reply(key, number, OperatorReply::NotLeader(leader));
                }
            }
            for message in messages {
                let to = message.to.replica_id;
                self.send_to(to, &Frame::Consensus(message));
            }
        }
        self.look_at_role();
        self.confirm();
        self.go_on();
    }

    /// Asks a majority whether this replica leads, for all reports that wait by now. Danger: one that was stopped between two
    /// of its steps would grant by an authority that another has had since.
    pub(super) fn confirm(&mut self) {
        if self.confirming.is_some() || self.reports.is_empty() {
            return;
        }
        let (ticket, reports) = (self.tickets, std::mem::take(&mut self.reports));
        self.tickets += 1;
        let asked = self.life.as_mut().is_some_and(|life| life.replica.request_read(ticket).is_ok());
        self.confirming = Some((ticket, reports));
        if !asked {
            self.unconfirmed();
        }
    }

    /// Those that asked for grants are answered without.
    pub(super) fn unconfirmed(&mut self) {
        let waiting = self.confirming.take().map(|(_, reports)| reports).unwrap_or_default();
        for (key, report) in waiting.into_iter().chain(std::mem::take(&mut self.reports)) {
            self.answer_report(key, &report, false);
        }
    }

    pub(super) fn look_at_role(&mut self) {
        let Some(life) = &mut self.life else { return };
        let role = life.replica.role();
        if role == Role::Lost {
            let why = format!("{} has acknowledged more than it holds, or votes no more", life.replica.id());
            return self.begin_anew(why);
        }
        if self.role == Some(role) {
            return;
        }
        let (id, term) = (life.replica.id(), life.replica.term());
        tracing::info!(%id, term, role = ?role, "replica {id} is {role:?} in term {term}");
        self.role = Some(role);
        let terms = liveness::LivenessTimeouts {
            lease: self.configuration.lease(),
            gone: Span::from_millis(self.configuration.gone_ms),
        };
        let generation = life.fleet.version().generation;
        life.heard = (role == Role::Leader).then(|| MemberTracker::new(self.now, terms));
        life.divider = (role == Role::Leader).then(|| Allocator::new(self.now, generation));
        life.runner = (role == Role::Leader).then(ReleaseRunner::new);
        // What it holds and has not applied may have writes of settings of whoever led before.
        (life.localities, life.unsettled) = (BTreeMap::new(), (life.replica.last_position().index, true));
        // Danger: what was checked against the state of an earlier term may be faulty with what another leader committed.
        if let Some((key, number)) = self.checking.take().map(|checking| checking.whose()) {
            let leader = self.leader();
            self.reply(key, number, OperatorReply::NotLeader(leader));
        }
    }

    pub(super) fn leader(&self) -> Option<u16> {
        self.life.as_ref()?.replica.leader().map(|id| id.replica_id)
    }

    pub(super) fn apply(&mut self, entry: Entry) {
        let Some(life) = &mut self.life else { return };
        let index = entry.position.index;
        let answer = match &entry.content {
            Content::Command(bytes) => match Command::from_bytes(bytes) {
                Ok(command) => life.fleet.apply(index, &command),
                Err(what) => {
                    // The same everywhere: it is passed over.
                    tracing::error!("entry {index}: {what}");
                    life.fleet.skip_entry(index);
                    Answer::Done
                }
            },
            Content::Noop | Content::Voters(_) => {
                life.fleet.skip_entry(index);
                Answer::Done
            }
        };
        if index >= life.compacted + self.configuration.compact_every {
            life.compacted = index;
            life.replica.compact(index, life.fleet.to_bytes());
        }
        if index.is_multiple_of(self.configuration.compare_every) {
            let digest = life.fleet.digest();
            let place = self.configuration.place;
            for other in self.dials.keys().copied().collect::<Vec<_>>() {
                self.send_to(other, &Frame::Digest { index, digest });
            }
            self.compare(index, place, digest);
        }
        self.settle(index, Some(entry.position.term), &answer);
    }

    /// Somebody waits for the fate of what was proposed at this place.
    pub(super) fn wait(&mut self, at: Position, key: Key, whom: Whom) {
        self.writes.entry(at.index).or_default().push(Waiting { term: at.term, key, whom });
    }

    /// Those that wait for what stands at an index hear what came of it.
    pub(super) fn settle(&mut self, index: Index, term: Option<Term>, answer: &Answer) {
        for waiting in self.writes.remove(&index).unwrap_or_default() {
            let reply = match answer {
                _ if term != Some(waiting.term) => {
                    OperatorReply::Unknown("another leader's entry came in its place".to_string())
                }
                Answer::Committed(version) => OperatorReply::Committed(*version),
                Answer::Refused(why) => OperatorReply::Refused(why.to_string()),
                Answer::Done => OperatorReply::Done,
            };
            match waiting.whom {
                Whom::Operator { number } => self.reply(waiting.key, number, reply),
                Whom::Member { ask } => {
                    let refused = match reply {
                        OperatorReply::Done => None,
                        OperatorReply::Refused(why) => Some(why),
                        // Danger: what nobody knows is not to be told as a yes or a no; it asks again.
                        _ => continue,
                    };
                    self.send(waiting.key, &Frame::DrainAnswer { ask, refused });
                }
            }
        }
    }

    /// What a place's state came to after an entry. A copy that a majority differs from is the one that is wrong.
    pub(super) fn compare(&mut self, index: Index, place: u16, digest: u64) {
        self.marks.entry(index).or_default().insert(place, digest);
        while self.marks.len() > MARKS_MOST {
            self.marks.pop_first();
        }
        let (Some(life), Some(marks)) = (&self.life, self.marks.get(&index)) else { return };
        let Some(own) = marks.get(&self.configuration.place) else { return };
        let voters = life.replica.voters();
        let others = voters.iter().filter_map(|id| marks.get(&id.replica_id)).filter(|digest| *digest != own);
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        others.for_each(|digest| *counts.entry(*digest).or_default() += 1);
        if counts.is_empty() {
            return;
        }
        if counts.values().any(|count| *count > voters.len() / 2) {
            let agreed = self.marks.range(..index).rev().find(|(_, marks)| {
                let own = marks.get(&self.configuration.place);
                own.is_some()
                    && marks.values().filter(|digest| Some(*digest) == own).count() > voters.len() / 2
            });
            let from = agreed.map_or(1, |(index, _)| index + 1);
            self.begin_anew(format!(
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
