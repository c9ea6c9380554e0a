//! Handles the requests of operators and of release agents.

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
use appledyke_sidecar::config::check_agreed;
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, Requester};

impl Daemon {
    pub(super) fn on_request(&mut self, key: Key, number: u64, request: OperatorRequest) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.last_activity = self.now;
        }
        if request == OperatorRequest::Status {
            return self.answer_request(key, number, &request);
        }
        if self.queue_if_blocked(key, number, &request) {
            return;
        }
        let read_id = self.next_read_id;
        let Some(active) = &mut self.active else {
            return self.reply(key, number, OperatorReply::NotLeader(None));
        };
        let done = match request {
            OperatorRequest::Write(write) => self.write(key, number, &Scope::All, write),
            OperatorRequest::WriteScoped { scope, write } => self.write(key, number, &scope, write),
            OperatorRequest::TransferLeadership(replica_id) => {
                let to = active.replica.voters().iter().copied().find(|id| id.replica_id == replica_id);
                match to {
                    Some(to) => active.replica.transfer_leadership(to).map(|()| Some(OperatorReply::Done)),
                    None => Ok(Some(OperatorReply::Refused(format!("place {replica_id} is not a voter")))),
                }
            }
            OperatorRequest::RemoveReplica { replica: replica_id, force } => {
                self.remove_replica(key, number, replica_id, force)
            }
            OperatorRequest::Endpoint { name, out, force } => {
                if let Some(reason) = &force {
                    tracing::warn!(
                        name,
                        reason,
                        "{name} drains regardless of the limits on drains: {reason}"
                    );
                }
                let missing =
                    active.tracker.as_ref().map(MemberTracker::missing_endpoints).unwrap_or_default();
                self.propose(key, number, &Command::Endpoint { name, out, force, missing })
            }
            OperatorRequest::Release(update) => self.on_release_request(key, number, update),
            OperatorRequest::Forget(name) => self.propose(key, number, &Command::Forget(name)),
            OperatorRequest::MarkEnded { name, incarnation } => match &mut active.allocator {
                Some(allocator) => {
                    allocator.mark_ended(self.now, &Holder { name, incarnation });
                    Ok(Some(OperatorReply::Done))
                }
                None => Err(ReplicaError::NotLeader(active.replica.leader())),
            },
            _ => {
                self.next_read_id += 1;
                active.replica.request_read(read_id).map(|()| {
                    self.pending_reads.insert(read_id, (key, number, request));
                    None
                })
            }
        };
        self.reply_outcome(key, number, done);
    }

    /// Replies unless the answer is still pending.
    pub(super) fn reply_outcome(
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
                let why = "not now: another change of the voters is under way, or this one is not possible"
                    .to_string();
                self.reply(key, number, OperatorReply::Refused(why));
            }
        }
    }

    /// Checks a settings write and proposes it, or queues it for validation against the settings of other scopes.
    pub(super) fn write(
        &mut self,
        key: Key,
        number: u64,
        scope: &Scope,
        write: Write,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(active) = &mut self.active else { return Err(ReplicaError::NotLeader(None)) };
        // The outcome of an applied write is final, whichever replica leads now.
        match active.fleet.write_answer(write.id) {
            Some(Answer::Committed(version)) => return Ok(Some(OperatorReply::Committed(*version))),
            Some(Answer::Refused(why)) => return Ok(Some(OperatorReply::Refused(why.to_string()))),
            _ => {}
        }
        if active.replica.role() != Role::Leader {
            return Err(ReplicaError::NotLeader(active.replica.leader()));
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
            // Settings for a narrower scope are validated after they are merged with those of the wider scopes.
            if *scope == Scope::All
                && let Err(what) = check_agreed(&self.template, settings)
            {
                return Ok(Some(OperatorReply::Invalid(what)));
            }
        }
        if *scope == Scope::All && active.fleet.scopes().is_empty() {
            return self.propose_settings(key, number, scope, write);
        }
        self.check_scoped(key, number, scope, write)
    }

    /// Proposes a command; the operator is answered once its entry is applied.
    pub(super) fn propose(
        &mut self,
        key: Key,
        number: u64,
        command: &Command,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(active) = &mut self.active else { return Err(ReplicaError::NotLeader(None)) };
        let at = active.replica.propose(command.to_bytes())?;
        self.track_proposal(at, key, Requester::Operator { number });
        Ok(None)
    }

    /// Handles a release update of an operator or an agent. Only the leader itself chooses the next target.
    pub(super) fn on_release_request(
        &mut self,
        key: Key,
        number: u64,
        update: ReleaseUpdate,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(active) = &mut self.active else { return Err(ReplicaError::NotLeader(None)) };
        let update = match update {
            ReleaseUpdate::Start(plan, _) => {
                if let Err(what) = plan.check() {
                    return Ok(Some(OperatorReply::Invalid(what)));
                }
                let (now, fleet) = (self.now, &active.fleet);
                let baseline =
                    active.runner.as_ref().map(|r| r.baseline(now, fleet, &plan.group, plan.target_kind));
                ReleaseUpdate::Start(plan, baseline.unwrap_or_default())
            }
            ReleaseUpdate::BeginTransition { .. } | ReleaseUpdate::MarkReached { .. } => {
                return Ok(Some(OperatorReply::Invalid("only the leader makes this update".to_string())));
            }
            update => update,
        };
        self.propose(key, number, &Command::Release(update))
    }

    pub(super) fn remove_replica(
        &mut self,
        key: Key,
        number: u64,
        replica_id: u16,
        force: bool,
    ) -> Result<Option<OperatorReply>, ReplicaError> {
        let Some(active) = &mut self.active else { return Err(ReplicaError::NotLeader(None)) };
        let voters = active.replica.voters();
        let Some(removed) = voters.iter().copied().find(|id| id.replica_id == replica_id) else {
            return Ok(Some(OperatorReply::Refused(format!("place {replica_id} is not a voter"))));
        };
        if active.replica.role() != Role::Leader {
            return Err(ReplicaError::NotLeader(active.replica.leader()));
        }
        if removed == active.replica.id() {
            return Ok(Some(OperatorReply::Refused(format!(
                "place {replica_id} is the leader: hand over first"
            ))));
        }
        let remaining: std::collections::BTreeSet<Id> =
            voters.iter().copied().filter(|id| *id != removed).collect();
        let peers = active.replica.peers();
        let reachable =
            peers.iter().filter(|(id, _, reachable)| *reachable && remaining.contains(id)).count() + 1;
        // Guards against an operator who loses the majority by mistake.
        let spare = reachable.saturating_sub(remaining.len() / 2 + 1);
        if spare == 0 && !force {
            let why = format!(
                "{reachable} of the {} voters that would remain are reachable: one more failure would stop all writes; pass --anyway to proceed",
                remaining.len()
            );
            return Ok(Some(OperatorReply::Refused(why)));
        }
        let at = active.replica.change_voters(remaining)?;
        self.track_proposal(at, key, Requester::Operator { number });
        Ok(None)
    }

    /// Answers a request whose read is confirmed, or that needs none.
    pub(super) fn answer_request(&mut self, key: Key, number: u64, request: &OperatorRequest) {
        let Some(active) = &self.active else {
            let reply = match request {
                OperatorRequest::Status => OperatorReply::Status(self.status()),
                _ => OperatorReply::NotLeader(None),
            };
            return self.reply(key, number, reply);
        };
        let reply = match request {
            OperatorRequest::Status => OperatorReply::Status(self.status()),
            OperatorRequest::Members => {
                let versions: BTreeMap<&str, Version> =
                    active.tracker.iter().flat_map(|tracker| tracker.active_versions(self.now)).collect();
                let rows = active.fleet.members().iter().map(|(name, member)| MemberRow {
                    name: name.clone(),
                    incarnation: member.incarnation,
                    status: member.status,
                    version: versions.get(name.as_str()).copied(),
                    groups: member.groups.clone(),
                    out: drains::is_out(member),
                });
                OperatorReply::Members(rows.collect())
            }
            OperatorRequest::Get(None) => OperatorReply::Settings(active.fleet.settings().cloned()),
            OperatorRequest::Get(Some(version)) => OperatorReply::Settings(
                active.fleet.history().find(|written| written.version == *version).cloned(),
            ),
            OperatorRequest::History => OperatorReply::History(active.fleet.history().cloned().collect()),
            OperatorRequest::Backup => OperatorReply::Backup(active.fleet.to_bytes()),
            OperatorRequest::DrainedEndpoints => {
                let (_, drained) = active.fleet.drained_endpoints();
                let holders = |name: &String| match &active.tracker {
                    Some(tracker) => tracker.members_using(self.now, &active.fleet, name),
                    None => active.fleet.members().keys().cloned().collect(),
                };
                OperatorReply::DrainedEndpoints(
                    drained.iter().map(|name| (name.clone(), holders(name))).collect(),
                )
            }
            OperatorRequest::Releases => {
                let releases = active.fleet.releases().iter().map(|(_, release)| release.clone()).collect();
                let runs = active.tracker.iter().flat_map(|tracker| tracker.program_versions(self.now));
                let runs = runs.map(|(name, runs)| (name.to_string(), runs.to_string())).collect();
                OperatorReply::Releases(releases, runs)
            }
            OperatorRequest::AgentTask(target) => {
                OperatorReply::AgentTask(active.fleet.releases().agent_task(target))
            }
            OperatorRequest::Budgets => {
                let budgets = active.fleet.budgets();
                let row = |of: Resource| {
                    let budget = *budgets.budget(of)?;
                    let (granted, holders) =
                        budgets.shares(of).fold((0, 0), |sum, (_, share)| (sum.0 + share.granted, sum.1 + 1));
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
            | OperatorRequest::Localities => active.answer_scopes(self.now, request),
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
            excluded: self.not_serving_reason.clone(),
            evidence: self.evidence_records,
        };
        if let Some(active) = &self.active {
            let replica = &active.replica;
            status.role = format!("{:?}", replica.role());
            (status.term, status.leader) = (replica.term(), replica.leader());
            (status.committed, status.applied) = (replica.commit_index(), active.fleet.applied());
            (status.last, status.digest) = (replica.last_position().index, active.fleet.digest());
            status.voters = replica.voters().iter().copied().collect();
            (status.version, status.peers) = (active.fleet.version(), replica.peers());
        }
        status
    }
}
