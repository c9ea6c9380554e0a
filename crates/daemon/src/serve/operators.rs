//! Operators: what they ask and write, and what they are answered.

use std::collections::BTreeMap;

use appledyke_consensus::{Id, ReplicaError, Role};
use appledyke_fleet::budgets::{self, Holder, Thing};
use appledyke_fleet::heard::Heard;
use appledyke_fleet::members::TEXT_MOST;
use appledyke_fleet::outs;
use appledyke_fleet::releases::Order;
use appledyke_fleet::scopes::Scope;
use appledyke_fleet::state::{Command, SETTINGS_MOST, What, Write};
use appledyke_fleet::talk::{Ask, BudgetRow, MemberRow, Reply, Status};
use appledyke_fleet::{Answer, Version};
use appledyke_sidecar::launch::check_agreed;
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, Whom};

impl Daemon {
    pub(super) fn asked(&mut self, key: Key, number: u64, ask: Ask) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.since = self.now;
        }
        if ask == Ask::Status {
            return self.answer(key, number, &ask);
        }
        if self.waits_for_another(key, number, &ask) {
            return;
        }
        let ticket = self.tickets;
        let Some(life) = &mut self.life else { return self.reply(key, number, Reply::NotLeader(None)) };
        let done = match ask {
            Ask::Write(write) => self.write(key, number, &Scope::All, write),
            Ask::WriteFor { scope, write } => self.write(key, number, &scope, write),
            Ask::HandOver(place) => {
                let to = life.replica.voters().iter().copied().find(|id| id.replica_id == place);
                match to {
                    Some(to) => life.replica.transfer_leadership(to).map(|()| Some(Reply::Done)),
                    None => Ok(Some(Reply::Refused(format!("place {place} does not vote")))),
                }
            }
            Ask::TakeOut { place, anyway } => self.take_out(key, number, place, anyway),
            Ask::Endpoint { name, out, anyway } => {
                if let Some(reason) = &anyway {
                    tracing::warn!(name, reason, "{name} is taken whatever is out already: {reason}");
                }
                let missing = life.heard.as_ref().map(Heard::missing).unwrap_or_default();
                self.propose(key, number, &Command::Endpoint { name, out, anyway, missing })
            }
            Ask::Release(order) => self.release(key, number, order),
            Ask::Forget(name) => self.propose(key, number, &Command::Forget(name)),
            Ask::Ended { name, incarnation } => match &mut life.divider {
                Some(divider) => {
                    divider.ended(self.now, &Holder { name, incarnation });
                    Ok(Some(Reply::Done))
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
    pub(super) fn outcome(&mut self, key: Key, number: u64, done: Result<Option<Reply>, ReplicaError>) {
        match done {
            Ok(Some(reply)) => self.reply(key, number, reply),
            Ok(None) => {}
            Err(ReplicaError::NotLeader(leader)) => {
                self.reply(key, number, Reply::NotLeader(leader.map(|id| id.replica_id)));
            }
            Err(ReplicaError::TransferringLeadership) => self.reply(key, number, Reply::NotLeader(None)),
            Err(ReplicaError::VoterChangeRefused) => {
                let why = "not now: another change is under way, or this one can't be made".to_string();
                self.reply(key, number, Reply::Refused(why));
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
    ) -> Result<Option<Reply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        // What is applied is committed, whoever leads now.
        match life.fleet.done(write.id) {
            Some(Answer::Committed(version)) => return Ok(Some(Reply::Committed(*version))),
            Some(Answer::Refused(why)) => return Ok(Some(Reply::Refused(why.to_string()))),
            _ => {}
        }
        if life.replica.role() != Role::Leader {
            return Err(ReplicaError::NotLeader(life.replica.leader()));
        }
        if write.by.len() > TEXT_MOST || write.why.len() > TEXT_MOST {
            return Ok(Some(Reply::Faulty(format!("by, why: expected {TEXT_MOST} bytes at the most"))));
        }
        if let What::Put(settings, budgets, groups) = &write.what {
            if let Err(what) = outs::check(groups) {
                return Ok(Some(Reply::Faulty(what)));
            }
            if let Err(what) = budgets::check(budgets) {
                return Ok(Some(Reply::Faulty(what)));
            }
            if settings.len() > SETTINGS_MOST {
                return Ok(Some(Reply::Faulty(format!(
                    "settings: expected {SETTINGS_MOST} bytes at the most"
                ))));
            }
            // What is for a part is checked with what it stands above.
            if *scope == Scope::All
                && let Err(what) = check_agreed(&self.template, settings)
            {
                return Ok(Some(Reply::Faulty(what)));
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
    ) -> Result<Option<Reply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        let at = life.replica.propose(command.bytes())?;
        self.wait(at, key, Whom::Operator { number });
        Ok(None)
    }

    /// An operator's or an agent's word on a release; who goes next is the leader's own to say.
    pub(super) fn release(
        &mut self,
        key: Key,
        number: u64,
        order: Order,
    ) -> Result<Option<Reply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        let order = match order {
            Order::Start(plan, _) => {
                if let Err(what) = plan.check() {
                    return Ok(Some(Reply::Faulty(what)));
                }
                let (now, fleet) = (self.now, &life.fleet);
                let before = life.runner.as_ref().map(|r| r.before(now, fleet, &plan.group, plan.moves));
                Order::Start(plan, before.unwrap_or_default())
            }
            Order::Send { .. } | Order::Found { .. } => {
                return Ok(Some(Reply::Faulty("this is the leader's own to say".to_string())));
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
    ) -> Result<Option<Reply>, ReplicaError> {
        let Some(life) = &mut self.life else { return Err(ReplicaError::NotLeader(None)) };
        let voters = life.replica.voters();
        let Some(out) = voters.iter().copied().find(|id| id.replica_id == place) else {
            return Ok(Some(Reply::Refused(format!("place {place} does not vote"))));
        };
        if life.replica.role() != Role::Leader {
            return Err(ReplicaError::NotLeader(life.replica.leader()));
        }
        if out == life.replica.id() {
            return Ok(Some(Reply::Refused(format!("place {place} leads: hand over first"))));
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
            return Ok(Some(Reply::Refused(why)));
        }
        let at = life.replica.change_voters(left)?;
        self.wait(at, key, Whom::Operator { number });
        Ok(None)
    }

    /// Answers what may be answered now.
    pub(super) fn answer(&mut self, key: Key, number: u64, ask: &Ask) {
        let Some(life) = &self.life else {
            let reply = match ask {
                Ask::Status => Reply::Status(self.status()),
                _ => Reply::NotLeader(None),
            };
            return self.reply(key, number, reply);
        };
        let reply = match ask {
            Ask::Status => Reply::Status(self.status()),
            Ask::Members => {
                let versions: BTreeMap<&str, Version> =
                    life.heard.iter().flat_map(|heard| heard.versions(self.now)).collect();
                let rows = life.fleet.members().iter().map(|(name, member)| MemberRow {
                    name: name.clone(),
                    incarnation: member.incarnation,
                    standing: member.standing,
                    version: versions.get(name.as_str()).copied(),
                    groups: member.groups.clone(),
                    out: outs::is_out(member),
                });
                Reply::Members(rows.collect())
            }
            Ask::Get(None) => Reply::Settings(life.fleet.settings().cloned()),
            Ask::Get(Some(version)) => {
                Reply::Settings(life.fleet.history().find(|written| written.version == *version).cloned())
            }
            Ask::History => Reply::History(life.fleet.history().cloned().collect()),
            Ask::Backup => Reply::Backup(life.fleet.bytes()),
            Ask::Outs => {
                let (_, outs) = life.fleet.endpoints_out();
                let holders = |name: &String| match &life.heard {
                    Some(heard) => heard.holders(self.now, &life.fleet, name),
                    None => life.fleet.members().keys().cloned().collect(),
                };
                Reply::Outs(outs.iter().map(|name| (name.clone(), holders(name))).collect())
            }
            Ask::Releases => {
                let releases = life.fleet.releases().iter().map(|(_, release)| release.clone()).collect();
                let runs = life.heard.iter().flat_map(|heard| heard.runs(self.now));
                let runs = runs.map(|(who, runs)| (who.to_string(), runs.to_string())).collect();
                Reply::Releases(releases, runs)
            }
            Ask::Work(who) => Reply::Work(life.fleet.releases().work(who)),
            Ask::Budgets => {
                let budgets = life.fleet.budgets();
                let row = |of: Thing| {
                    let budget = *budgets.budget(of)?;
                    let (granted, holders) =
                        budgets.parts(of).fold((0, 0), |sum, (_, part)| (sum.0 + part.granted, sum.1 + 1));
                    Some(BudgetRow {
                        budget,
                        granted,
                        counted: budgets.counted(of),
                        holders,
                        over: budgets.over(of),
                    })
                };
                Reply::Budgets(Thing::ALL.into_iter().filter_map(row).collect())
            }
            Ask::Scopes | Ask::GetFor { .. } | Ask::HistoryFor(_) | Ask::SettingsOf(_) | Ask::Localities => {
                life.answer_scopes(self.now, ask)
            }
            Ask::Write(_)
            | Ask::WriteFor { .. }
            | Ask::HandOver(_)
            | Ask::TakeOut { .. }
            | Ask::Ended { .. }
            | Ask::Forget(_)
            | Ask::Release(_)
            | Ask::Endpoint { .. } => {
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
            apart: self.apart.clone(),
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
