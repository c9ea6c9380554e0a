//! Operators: what they ask and write, and what they are answered.

use std::collections::BTreeMap;

use appledyke_consensus::{Id, ReplicaError, Role};
use appledyke_fleet::budgets::{self, Holder, Resource};
use appledyke_fleet::drains;
use appledyke_fleet::liveness::MemberTracker;
use appledyke_fleet::members::MAX_TEXT_BYTES;
use appledyke_fleet::messages::{BudgetRow, MemberRow, OperatorReply, OperatorRequest, Status};
use appledyke_fleet::releases::ReleaseUpdate;
use appledyke_fleet::scopes::Scope;
use appledyke_fleet::state::{Command, MAX_SETTINGS_BYTES, SettingsChange, Write};
use appledyke_fleet::{Answer, Version};
use appledyke_sidecar::launch::check_agreed;
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, Whom};

impl Daemon {
    pub(super) fn asked(&mut self, key: Key, number: u64, ask: OperatorRequest) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.since = self.now;
        }
        if ask == OperatorRequest::Status {
            return self.answer(key, number, &ask);
        }
        if self.waits_for_another(key, number, &ask) {
            return;
        }
        let ticket = self.tickets;
        let Some(life) = &mut self.life else {
            return self.reply(key, number, OperatorReply::NotLeader(None));
        };
        let done = match ask {
            OperatorRequest::Write(write) => self.write(key, number, &Scope::All, write),
            OperatorRequest::WriteScoped { scope, write } => self.write(key, number, &scope, write),
            OperatorRequest::TransferLeadership(place) => {
                let to = life.replica.voters().iter().copied().find(|id| id.replica_id == place);
                match to {
                    Some(to) => life.replica.transfer_leadership(to).map(|()| Some(OperatorReply::Done)),
                    None => Ok(Some(OperatorReply::Refused(format!("place {place} does not vote")))),
                }
            }
            OperatorRequest::RemoveReplica { replica: place, force: anyway } => {
                self.take_out(key, number, place, anyway)
            }
            OperatorRequest::Endpoint { name, out, force: anyway } => {
                if let Some(reason) = &anyway {
                    tracing::warn!(name, reason, "{name} is taken whatever is out already: {reason}");
                }
                let missing = life.heard.as_ref().map(MemberTracker::missing_endpoints).unwrap_or_default();
                self.propose(key, number, &Command::Endpoint { name, out, force: anyway, missing })
            }
            OperatorRequest::Release(order) => self.release(key, number, order),
            OperatorRequest::Forget(name) => self.propose(key, number, &Command::Forget(name)),
            OperatorRequest::MarkEnded { name, incarnation } => match &mut life.divider {
                Some(divider) => {
                    divider.mark_ended(self.now, &Holder { name, incarnation });
                    Ok(Some(OperatorReply::Done))
                }
                None => Err(ReplicaError::NotLeader(life.replica.leader())),
            },
            _ => {
                self.tickets += 1;
                life.replica.request_read(ticket).map(|()| {
                    self.reads.insert(ticket, (key, number, ask));
                    None
                })
            }
        };
        self.outcome(key, number, done);
    }

    /// Answers what has an answer already.
    pub(super) fn outcome(
        &mut self,
        key: Key,
        number: u64,
        done: Result<Option<OperatorReply>, ReplicaError>,
    ) {
        match done {
            Ok(Some(reply)) => self.reply(key, number, reply),
            Ok(None) => {}
            Err(ReplicaError::NotLeader(leader)) => {
                self.reply(key, number, OperatorReply::NotLeader(leader.map(|id| id.replica_id)));
            }
            Err(ReplicaError::TransferringLeadership) => {
                self.reply(key, number, OperatorReply::NotLeader(None))
            }
            Err(ReplicaError::VoterChangeRefused) => {
                let why = "not now: another change is under way, or this one can't be made".to_string();
                self.reply(key, number, OperatorReply::Refused(why));
            }
        }
    }

    /// Settings for a part of the fleet, or all of it.
    pub(super) fn write(
        &mut self,
        key: Key,
        number: u64,
        scope: &Scope,
        write: Write,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        // What is applied is committed, whoever leads now.
        match life.fleet.write_answer(write.id) {
            Some(Answer::Committed(version)) => return Ok(Some(OperatorReply::Committed(*version))),
            Some(Answer::Refused(why)) => return Ok(Some(OperatorReply::Refused(why.to_string()))),
            _ => {}
        }
        if life.replica.role() != Role::Leader {
            return Err(ReplicaError::NotLeader(life.replica.leader()));
        }
        if write.author.len() > MAX_TEXT_BYTES || write.reason.len() > MAX_TEXT_BYTES {
            return Ok(Some(OperatorReply::Invalid(format!(
                "by, why: expected {MAX_TEXT_BYTES} bytes at the most"
            ))));
        }
        if let SettingsChange::Put(settings, budgets, groups) = &write.change {
            if let Err(what) = drains::check(groups) {
                return Ok(Some(OperatorReply::Invalid(what)));
            }
            if let Err(what) = budgets::check(budgets) {
                return Ok(Some(OperatorReply::Invalid(what)));
            }
            if settings.len() > MAX_SETTINGS_BYTES {
                return Ok(Some(OperatorReply::Invalid(format!(
                    "settings: expected {MAX_SETTINGS_BYTES} bytes at the most"
                ))));
            }
            // What is for a part is checked with what it stands above.
            if *scope == Scope::All
                && let Err(what) = check_agreed(&self.template, settings)
            {
                return Ok(Some(OperatorReply::Invalid(what)));
            }
        }
        if *scope == Scope::All && life.fleet.scopes().is_empty() {
            return self.propose_settings(key, number, scope, write);
        }
        self.check_scoped(key, number, scope, write)
    }

    /// Proposes what an operator asked for, who hears of its fate once that is known.
    pub(super) fn propose(
        &mut self,
        key: Key,
        number: u64,
        command: &Command,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        let at = life.replica.propose(command.to_bytes())?;
        self.wait(at, key, Whom::Operator { number });
        Ok(None)
    }

    /// An operator's or an agent's word on a release; who goes next is the leader's own to say.
    pub(super) fn release(
        &mut self,
        key: Key,
        number: u64,
        order: ReleaseUpdate,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        let order = match order {
            ReleaseUpdate::Start(plan, _) => {
                if let Err(what) = plan.check() {
                    return Ok(Some(OperatorReply::Invalid(what)));
                }
                let (now, fleet) = (self.now, &life.fleet);
                let before =
                    life.runner.as_ref().map(|r| r.baseline(now, fleet, &plan.group, plan.target_kind));
                ReleaseUpdate::Start(plan, before.unwrap_or_default())
            }
            ReleaseUpdate::BeginTransition { .. } | ReleaseUpdate::MarkReached { .. } => {
                return Ok(Some(OperatorReply::Invalid("this is the leader's own to say".to_string())));
            }
            other => other,
        };
        self.propose(key, number, &Command::Release(order))
    }

    pub(super) fn take_out(
        &mut self,
        key: Key,
        number: u64,
        place: u16,
        anyway: bool,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        let voters = life.replica.voters();
        let Some(out) = voters.iter().copied().find(|id| id.replica_id == place) else {
            return Ok(Some(OperatorReply::Refused(format!("place {place} does not vote"))));
        };
        if life.replica.role() != Role::Leader {
            return Err(ReplicaError::NotLeader(life.replica.leader()));
        }
        if out == life.replica.id() {
            return Ok(Some(OperatorReply::Refused(format!("place {place} leads: hand over first"))));
        }
        let left: std::collections::BTreeSet<Id> = voters.iter().copied().filter(|id| *id != out).collect();
        let peers = life.replica.peers();
        let heard = peers.iter().filter(|(id, _, heard)| *heard && left.contains(id)).count() + 1;
        // An operator's mistake must not lose the majority without a warning.
        let spare = heard.saturating_sub(left.len() / 2 + 1);
        if spare == 0 && !anyway {
            let why = format!(
                "{heard} of the {} that would be left are heard: one more that fails ends all writing; say --anyway to do it",
                left.len()
            );
            return Ok(Some(OperatorReply::Refused(why)));
        }
        let at = life.replica.change_voters(left)?;
        self.wait(at, key, Whom::Operator { number });
        Ok(None)
    }

    /// Answers what may be answered now.
    pub(super) fn answer(&mut self, key: Key, number: u64, ask: &OperatorRequest) {
        let Some(life) = &self.life else {
            let reply = match ask {
                OperatorRequest::Status => OperatorReply::Status(self.status()),
                _ => OperatorReply::NotLeader(None),
            };
            return self.reply(key, number, reply);
        };
        let reply = match ask {
            OperatorRequest::Status => OperatorReply::Status(self.status()),
            OperatorRequest::Members => {
                let versions: BTreeMap<&str, Version> =
                    life.heard.iter().flat_map(|heard| heard.active_versions(self.now)).collect();
                let rows = life.fleet.members().iter().map(|(name, member)| MemberRow {
                    name: name.clone(),
                    incarnation: member.incarnation,
                    status: member.status,
                    version: versions.get(name.as_str()).copied(),
                    groups: member.groups.clone(),
                    out: drains::is_out(member),
                });
                OperatorReply::Members(rows.collect())
            }
            OperatorRequest::Get(None) => OperatorReply::Settings(life.fleet.settings().cloned()),
            OperatorRequest::Get(Some(version)) => OperatorReply::Settings(
                life.fleet.history().find(|written| written.version == *version).cloned(),
            ),
            OperatorRequest::History => OperatorReply::History(life.fleet.history().cloned().collect()),
            OperatorRequest::Backup => OperatorReply::Backup(life.fleet.to_bytes()),
            OperatorRequest::DrainedEndpoints => {
                let (_, outs) = life.fleet.drained_endpoints();
                let holders = |name: &String| match &life.heard {
                    Some(heard) => heard.members_using(self.now, &life.fleet, name),
                    None => life.fleet.members().keys().cloned().collect(),
                };
                OperatorReply::DrainedEndpoints(
                    outs.iter().map(|name| (name.clone(), holders(name))).collect(),
                )
            }
            OperatorRequest::Releases => {
                let releases = life.fleet.releases().iter().map(|(_, release)| release.clone()).collect();
                let runs = life.heard.iter().flat_map(|heard| heard.program_versions(self.now));
                let runs = runs.map(|(who, runs)| (who.to_string(), runs.to_string())).collect();
                OperatorReply::Releases(releases, runs)
            }
            OperatorRequest::AgentTask(who) => {
                OperatorReply::AgentTask(life.fleet.releases().agent_task(who))
            }
            OperatorRequest::Budgets => {
                let budgets = life.fleet.budgets();
                let row = |of: Resource| {
                    let budget = *budgets.budget(of)?;
                    let (granted, holders) =
                        budgets.shares(of).fold((0, 0), |sum, (_, part)| (sum.0 + part.granted, sum.1 + 1));
                    Some(BudgetRow {
                        budget,
                        granted,
                        reserved: budgets.reserved(of),
                        holders,
                        excess: budgets.excess(of),
                    })
                };
                OperatorReply::Budgets(Resource::ALL.into_iter().filter_map(row).collect())
            }
            OperatorRequest::Scopes
            | OperatorRequest::GetScoped { .. }
            | OperatorRequest::ScopeHistory(_)
            | OperatorRequest::MemberSettings(_)
            | OperatorRequest::Localities => life.answer_scopes(self.now, ask),
            OperatorRequest::Write(_)
            | OperatorRequest::WriteScoped { .. }
            | OperatorRequest::TransferLeadership(_)
            | OperatorRequest::RemoveReplica { .. }
            | OperatorRequest::MarkEnded { .. }
            | OperatorRequest::Forget(_)
            | OperatorRequest::Release(_)
            | OperatorRequest::Endpoint { .. } => {
                return;
            }
        };
        self.reply(key, number, reply);
    }

    pub(super) fn status(&self) -> Status {
        let mut status = Status {
            id: self.id(),
            role: "Apart".to_string(),
            term: 0,
            leader: None,
            committed: 0,
            applied: 0,
            last: 0,
            digest: 0,
            voters: Vec::new(),
            version: Version::default(),
            peers: Vec::new(),
            excluded: self.apart.clone(),
            evidence: self.heard_records,
        };
        if let Some(life) = &self.life {
            let replica = &life.replica;
            status.role = format!("{:?}", replica.role());
            (status.term, status.leader) = (replica.term(), replica.leader());
            (status.committed, status.applied) = (replica.commit_index(), life.fleet.applied());
            (status.last, status.digest) = (replica.last_position().index, life.fleet.digest());
            status.voters = replica.voters().iter().copied().collect();
            (status.version, status.peers) = (life.fleet.version(), replica.peers());
        }
        status
    }
}
