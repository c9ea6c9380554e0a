//! A sidecar's membership in its fleet: which daemon it connects to, when it sends reports, and how it handles answers.
//! Requests never wait for any of this.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};
use appledyke::{Outcome, ids};
use oorandom::Rand64;

use crate::budgets::LogPosition;
use crate::drains::{self, DrainRequest, DrainRequests};
use crate::evidence::{self, KnownSequences, MAX_AGE, Observation, RelayedObservation};
use crate::evidence_coding::{CodedRecords, Decoder};
use crate::health::RequestCounts;
use crate::limits::Limits;
use crate::members::MemberStatus;
use crate::messages::{Report, ReportAnswer, VERSION};
use crate::release_runner::DRAIN_ORDER_MAX_AGE;
use crate::scopes::Locality;
use crate::version::Version;

/// Heartbeats without an answer until another daemon is tried: one may be lost during an election.
const ANSWER_TIMEOUT_BEATS: f64 = 3.0;
/// Maximum pause between two rounds over all unreachable daemons, in heartbeats: daemons often come back together.
const MAX_PAUSE_BEATS: f64 = 8.0;
/// Heartbeats during which a daemon that was unreachable or lost is not tried again just because another daemon names it as
/// the leader. Shorter than a lease, so that its grants are renewed in time once it is reachable again.
const UNREACHED_BEATS: f64 = 2.0;
/// Pause after a daemon that does not lead turned a drain request away, in heartbeats, before it is asked for the leader.
const LEADER_QUERY_PAUSE_BEATS: f64 = 0.1;
/// Maximum number of observations that are kept for the daemons, and that are sent in one report.
const MAX_PENDING_OBSERVATIONS: usize = 256;
const MAX_OBSERVATIONS_PER_REPORT: usize = 64;
/// Heartbeats after which a member with a locality closes a connection of an older version, to find out whether the daemon
/// supports scopes by now. A minute at the default heartbeat.
const MAX_OLD_VERSION_BEATS: f64 = 120.0;
/// Maximum number of unanswered reports that are remembered: one more is made each heartbeat.
const MAX_UNANSWERED_REPORTS: usize = 16;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub name: String,
    /// The replica ids of the daemons, in the order of the settings.
    pub daemons: Vec<u16>,
    pub heartbeat: Span,
    pub incarnation: u64,
    /// Distinguishes two processes with the same name and incarnation.
    pub process_nonce: u64,
    /// The version of the settings at the start.
    pub version: Version,
    /// The standalone limits of its own configuration file.
    pub limits: Limits,
    pub groups: Vec<String>,
    /// The locality from its own configuration file, by which its settings are merged.
    pub locality: Option<Locality>,
    /// The version of its program, or the one that its configuration file states.
    pub program_version: String,
}

/// A daemon's decision on a drain request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainDecision {
    Granted,
    /// Refused, and why.
    Refused(String),
}

/// Actions for the host process.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Open a connection to the daemon with this replica id.
    Dial(u16),
    Close,
    /// Send the locality of this member.
    SendLocality(Locality),
    SendReport(Box<Report>),
    SendDrainRequest(DrainRequest),
    /// Validate these settings as a whole; apply them if they are valid, and confirm with `set_active_version`.
    ApplySettings(Version, String),
    /// Hand these observations to the load balancer.
    DeliverObservations(Vec<RelayedObservation>),
    /// Exactly these endpoints are out of service, whatever discovery says.
    SetDrainedEndpoints(Vec<String>),
    /// A release drains this member, or lets it serve again.
    SetReleaseDrain(bool),
    /// Log for operators that this changed.
    DuplicateProcess(bool),
    Superseded(bool),
    /// Log what was invalid in the part of an answer that is ignored.
    AnswerError(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// Not connected; the next try is at this time.
    Disconnected(Moment),
    /// Connecting since this time.
    Connecting(Moment),
    /// Connected; the time of the last answer, or of the connect.
    Connected(Moment),
}

pub struct Member {
    setup: MemberConfig,
    rng: Rand64,
    /// The index of the current daemon.
    daemon_index: usize,
    link: Link,
    /// The protocol version of the connection, and since when it is established.
    protocol_version: u16,
    connected_at: Moment,
    /// The active settings came over a connection without support for scopes, although the member belongs to some.
    unscoped: bool,
    /// Since when the current daemon knows no leader.
    leaderless_since: Option<Moment>,
    /// Failed connection attempts since the last answer.
    failed_attempts: u32,
    /// The daemon that was lost or unreachable last, and when.
    lost: Option<(usize, Moment)>,
    next_beat: Moment,
    status: MemberStatus,
    active_version: Version,
    latest_known: Version,
    pending: VecDeque<(Moment, Observation)>,
    sequence: u64,
    /// The last sequence that was sent to the current daemon, and the last one that it acknowledged.
    sent_up_to: u64,
    acknowledged: u64,
    known: KnownSequences,
    /// The decoder of the current connection.
    decoder: Decoder,
    wants_catch_up: bool,
    /// The numbers of the latest reports, and when they were made.
    sent_reports: VecDeque<(u64, Moment)>,
    report_count: u64,
    /// Whether no other process serves this member's address.
    pub sole_at_address: bool,
    /// What the member may use of the fleet's budgets.
    pub limits: Limits,
    /// The member's drain requests.
    pub drain_requests: DrainRequests,
    /// The log position up to which it knows which endpoints are out of service, and those that it still uses.
    outs: LogPosition,
    pub endpoints_in_use: Vec<String>,
    /// Whether a release drains it.
    sent: bool,
    /// The hash of the watch list; the watched endpoints by the hash of their names, with the outcomes of attempts there.
    watch_list_hash: u64,
    watched: BTreeMap<u32, (String, RequestCounts)>,
    /// The watched endpoints that are not ready in the discovery list.
    pub missing_endpoints: Vec<String>,
    /// Outcomes of its requests, and how many are open.
    pub request_counts: RequestCounts,
    pub open_requests: u64,
    duplicate_process: bool,
    superseded: bool,
    /// Statistics for operators.
    pub observations_received: u64,
    pub last_answer_at: Option<Moment>,
}

impl Member {
    pub fn new(now: Moment, setup: MemberConfig, seed: u64) -> Member {
        let mut rng = Rand64::new(u128::from(seed));
        let daemon_index = rng.rand_range(0..setup.daemons.len().max(1) as u64) as usize;
        // Danger: members that start together would otherwise all connect at the same time.
        let first = now + setup.heartbeat * rng.rand_float();
        let (version, limits) = (setup.version, setup.limits.clone());
        Member {
            setup,
            rng,
            daemon_index,
            link: Link::Disconnected(first),
            protocol_version: VERSION,
            connected_at: first,
            unscoped: false,
            leaderless_since: None,
            failed_attempts: 0,
            lost: None,
            next_beat: first,
            status: MemberStatus::Joining,
            active_version: version,
            latest_known: version,
            pending: VecDeque::new(),
            sequence: 0,
            sent_up_to: 0,
            acknowledged: 0,
            known: KnownSequences::default(),
            decoder: Decoder::default(),
            wants_catch_up: true,
            sent_reports: VecDeque::new(),
            report_count: 0,
            sole_at_address: false,
            limits,
            drain_requests: DrainRequests::default(),
            outs: LogPosition::default(),
            endpoints_in_use: Vec::new(),
            sent: false,
            watch_list_hash: 0,
            watched: BTreeMap::new(),
            missing_endpoints: Vec::new(),
            request_counts: RequestCounts::default(),
            open_requests: 0,
            duplicate_process: false,
            superseded: false,
            observations_received: 0,
            last_answer_at: None,
        }
    }

    pub fn name(&self) -> &str {
        &self.setup.name
    }

    pub fn active_version(&self) -> Version {
        self.active_version
    }

    pub fn latest_known(&self) -> Version {
        self.latest_known
    }

    /// The locality of the member.
    pub fn locality(&self) -> Option<&Locality> {
        self.setup.locality.as_ref()
    }

    /// Whether the active settings are not merged for the member's locality, as they came from a daemon without support for
    /// scopes. Such settings must not be stored as merged ones.
    pub fn is_unscoped(&self) -> bool {
        self.unscoped
    }

    /// Whether a connection is established.
    pub fn is_connected(&self) -> bool {
        matches!(self.link, Link::Connected(_))
    }

    /// The endpoints that it watches.
    pub fn watched_endpoints(&self) -> impl Iterator<Item = &String> {
        self.watched.values().map(|(name, _)| name)
    }

    /// Whether a daemon has answered recently.
    pub fn has_recent_answer(&self, now: Moment) -> bool {
        self.last_answer_at.is_some_and(|at| now.since(at) <= self.setup.heartbeat * ANSWER_TIMEOUT_BEATS)
    }

    /// The latest time for the next call of `on_timer`.
    pub fn next_due(&self) -> Moment {
        match self.link {
            Link::Disconnected(at) => at,
            Link::Connecting(since) => since + self.answer_timeout(),
            Link::Connected(heard) => {
                self.next_beat.min(heard + self.answer_timeout()).min(self.old_version_deadline())
            }
        }
    }

    /// When it closes a connection without support for scopes.
    fn old_version_deadline(&self) -> Moment {
        if self.protocol_version >= VERSION || self.setup.locality.is_none() {
            return Moment::from_nanos(u64::MAX);
        }
        self.connected_at + self.setup.heartbeat * MAX_OLD_VERSION_BEATS
    }

    /// Whether it wants the settings of its latest known version again, merged for its locality.
    fn wants_settings_again(&self) -> bool {
        self.unscoped && self.protocol_version >= VERSION
    }

    fn answer_timeout(&self) -> Span {
        self.setup.heartbeat * ANSWER_TIMEOUT_BEATS
    }

    /// Records the outcome of an attempt for the other members.
    pub fn record_attempt(
        &mut self,
        now: Moment,
        endpoint: u32,
        method: u32,
        outcome: u8,
        budget_fraction: f32,
    ) {
        self.sequence += 1;
        if let Some((_, figures)) = self.watched.get_mut(&endpoint) {
            let served = evidence::outcome_from_code(outcome) == Some(Outcome::Success);
            figures.served += u64::from(served);
            figures.failed += u64::from(!served);
            figures.slow += u64::from(served && budget_fraction > 1.0);
        }
        let seen =
            Observation { sequence: self.sequence, age_ms: 0, endpoint, method, outcome, budget_fraction };
        self.pending.push_back((now, seen));
        if self.pending.len() > MAX_PENDING_OBSERVATIONS {
            self.pending.pop_front();
        }
    }

    /// Sets the active version of the settings.
    pub fn set_active_version(&mut self, version: Version) {
        self.active_version = self.active_version.max(version);
        self.latest_known = self.latest_known.max(version);
    }

    /// Sets the status; a change is reported at once.
    pub fn set_status(&mut self, now: Moment, status: MemberStatus) -> Vec<HostAction> {
        if std::mem::replace(&mut self.status, status) == status || !matches!(self.link, Link::Connected(_)) {
            return Vec::new();
        }
        vec![HostAction::SendReport(self.report(now))]
    }

    /// Requests permission to drain; with a reason, whatever the limits are. `None`: no daemon has answered recently, so
    /// none would answer in time. Without a connection the request is sent once there is one.
    pub fn request_drain(&mut self, now: Moment, forced_reason: Option<String>) -> Option<Vec<HostAction>> {
        if !self.has_recent_answer(now) {
            return None;
        }
        self.drain_requests.request(now, forced_reason);
        let send = if self.is_connected() { self.drain_requests.take_unsent() } else { None };
        Some(send.map(HostAction::SendDrainRequest).into_iter().collect())
    }

    /// Handles a daemon's answer to a drain request, and returns the fleet's decision if it is one on the request in progress.
    /// A daemon that does not lead decides nothing: the request is sent again to the one that does.
    pub fn on_drain_answer(
        &mut self,
        now: Moment,
        number: u64,
        refused: Option<String>,
    ) -> Option<DrainDecision> {
        if refused.as_deref() == Some(drains::NOT_LEADER) {
            if self.drain_requests.on_turned_away(number) {
                self.next_beat = self.next_beat.min(now + self.setup.heartbeat * LEADER_QUERY_PAUSE_BEATS);
            }
            return None;
        }
        let current = self.drain_requests.on_answer(number, refused.is_none());
        current.then(|| refused.map_or(DrainDecision::Granted, DrainDecision::Refused))
    }

    fn report(&mut self, now: Moment) -> Box<Report> {
        // Danger: a process that was stopped has missed observations, and acts on outdated ones until it catches up.
        self.wants_catch_up |= now.since(self.next_beat) > MAX_AGE;
        self.next_beat = now + self.setup.heartbeat * (0.9 + 0.2 * self.rng.rand_float());
        while self.pending.front().is_some_and(|(at, _)| now.since(*at) > MAX_AGE) {
            self.pending.pop_front();
        }
        let new = self
            .pending
            .iter()
            .filter(|(_, seen)| seen.sequence > self.acknowledged)
            .take(MAX_OBSERVATIONS_PER_REPORT);
        let seen: Vec<Observation> = new
            .map(|(at, seen)| Observation { age_ms: (now.since(*at).nanos() / 1_000_000) as u32, ..*seen })
            .collect();
        self.report_count += 1;
        self.sent_reports.push_back((self.report_count, now));
        if self.sent_reports.len() > MAX_UNANSWERED_REPORTS {
            self.sent_reports.pop_front();
        }
        // Danger: the same version is another text once a daemon with scopes has merged it.
        let (version, latest_known) = if self.wants_settings_again() {
            Default::default()
        } else {
            (self.active_version, self.latest_known)
        };
        self.sent_up_to = seen.last().map_or(self.acknowledged, |seen| seen.sequence);
        Box::new(Report {
            name: self.setup.name.clone(),
            incarnation: self.setup.incarnation,
            process_nonce: self.setup.process_nonce,
            status: self.status,
            version,
            latest_known,
            observations: seen,
            wants_catch_up: self.wants_catch_up,
            number: self.report_count,
            usage: self.limits.usage(now),
            groups: self.setup.groups.clone(),
            settled_requests: self.drain_requests.settled(),
            endpoints_known_at: self.outs,
            endpoints_in_use: self.endpoints_in_use.clone(),
            sole_at_address: self.sole_at_address,
            program_version: self.setup.program_version.clone(),
            request_counts: self.request_counts,
            endpoint_counts: self
                .watched
                .values()
                .filter(|(_, figures)| figures.total() > 0)
                .cloned()
                .collect(),
            open_requests: self.open_requests,
            drained_by_release: self.sent,
            watch_list_hash: self.watch_list_hash,
            missing_endpoints: self.missing_endpoints.clone(),
        })
    }

    /// The connection is established with this protocol version (`messages::check_hello`).
    pub fn on_connected(&mut self, now: Moment, protocol_version: u16) -> Vec<HostAction> {
        if !matches!(self.link, Link::Connecting(_)) {
            return Vec::new();
        }
        self.link = Link::Connected(now);
        (self.protocol_version, self.connected_at) = (protocol_version, now);
        self.drain_requests.on_connection_change();
        // This daemon may be a different one without earlier observations, so all are sent again; known ones do not count twice.
        (self.sent_up_to, self.acknowledged, self.leaderless_since) = (0, 0, None);
        self.decoder = Decoder::default();
        let locality =
            self.setup.locality.clone().filter(|_| protocol_version >= VERSION).map(HostAction::SendLocality);
        let report = HostAction::SendReport(self.report(now));
        locality.into_iter().chain([report]).collect()
    }

    /// The connection was closed or could not be established.
    pub fn on_disconnected(&mut self, now: Moment) {
        if matches!(self.link, Link::Disconnected(_)) {
            return;
        }
        self.failed_attempts += 1;
        self.lost = Some((self.daemon_index, now));
        self.daemon_index = (self.daemon_index + 1) % self.setup.daemons.len().max(1);
        let rounds = self.failed_attempts / self.setup.daemons.len().max(1) as u32;
        let pause = 2.0_f64.powi(rounds.min(10) as i32).min(MAX_PAUSE_BEATS);
        // In the first round each daemon is tried soon after the other, later with longer pauses; with jitter, as many members
        // reconnect at once.
        let wait = if rounds == 0 { 0.2 } else { pause } * (0.5 + self.rng.rand_float() / 2.0);
        self.link = Link::Disconnected(now + self.setup.heartbeat * wait);
    }

    /// Handles the timers that are due.
    pub fn on_timer(&mut self, now: Moment) -> Vec<HostAction> {
        match self.link {
            Link::Disconnected(at) if at <= now => {
                self.link = Link::Connecting(now);
                self.setup
                    .daemons
                    .get(self.daemon_index)
                    .map(|place| HostAction::Dial(*place))
                    .into_iter()
                    .collect()
            }
            Link::Connecting(since) | Link::Connected(since) if now >= since + self.answer_timeout() => {
                self.on_disconnected(now);
                vec![HostAction::Close]
            }
            Link::Connected(_) if now >= self.old_version_deadline() => {
                self.on_disconnected(now);
                vec![HostAction::Close]
            }
            Link::Connected(_) if now >= self.next_beat => vec![HostAction::SendReport(self.report(now))],
            _ => Vec::new(),
        }
    }

    /// Handles an answer with coded observations. If these are invalid, the rest of the answer is still used, and the next report
    /// asks for the missed observations, with new dictionaries.
    pub fn on_coded_answer(
        &mut self,
        now: Moment,
        mut answer: ReportAnswer,
        coded: &CodedRecords,
    ) -> Vec<HostAction> {
        if !matches!(self.link, Link::Connected(_)) {
            return Vec::new();
        }
        let fault = match self.decoder.decode(coded) {
            Ok(mut passed) => {
                passed.append(&mut answer.observations);
                answer.observations = passed;
                None
            }
            Err(why) => {
                // Danger: only increasing sequences of a writer count, so the uncoded rest would hide the records that are requested
                // again.
                answer.observations.clear();
                Some(why)
            }
        };
        let mut actions = self.on_answer(now, answer);
        if let Some(why) = fault {
            self.wants_catch_up = true;
            actions.push(HostAction::AnswerError(why));
        }
        actions
    }

    /// Handles a daemon's answer.
    pub fn on_answer(&mut self, now: Moment, answer: ReportAnswer) -> Vec<HostAction> {
        if !matches!(self.link, Link::Connected(_)) {
            return Vec::new();
        }
        self.link = Link::Connected(now);
        self.acknowledged = self.acknowledged.max(self.sent_up_to);
        let mut actions = Vec::new();
        // Danger: a lease counted from the arrival of the answer would outlast the one that the leader counts.
        let asked_at =
            self.sent_reports.iter().find(|(number, _)| *number == answer.number).map(|(_, at)| *at);
        if let (Some(asked_at), Some(grants)) = (asked_at, &answer.grants) {
            self.limits.apply_grants(asked_at, grants);
        }
        // Danger: a lagging replica or a restored fleet must not take a member back to an earlier version.
        if let Some((version, settings)) = answer.settings
            && (version > self.latest_known || self.wants_settings_again() && version == self.latest_known)
        {
            self.latest_known = version;
            self.unscoped = self.setup.locality.is_some() && self.protocol_version < VERSION;
            actions.push(HostAction::ApplySettings(version, settings));
        }
        if let Some((since, outs)) = answer.drained_endpoints
            && since > self.outs
        {
            self.outs = since;
            // Until the host has checked, each of them may still be in use.
            self.endpoints_in_use.clone_from(&outs);
            actions.push(HostAction::SetDrainedEndpoints(outs));
        }
        // Danger: a delayed answer could drain a member that the fleet has counted as serving since.
        let fresh = asked_at.is_some_and(|asked_at| now.since(asked_at) <= DRAIN_ORDER_MAX_AGE);
        if let Some(sent) = answer.drain_for_release.filter(|sent| fresh && *sent != self.sent) {
            self.sent = sent;
            actions.push(HostAction::SetReleaseDrain(sent));
        }
        if let Some((watch_list_hash, names)) = answer.watch_list {
            self.watch_list_hash = watch_list_hash;
            let before = std::mem::take(&mut self.watched);
            let row = |name: String| {
                let mark = ids::name_hash(&name);
                (mark, before.get(&mark).cloned().unwrap_or((name, RequestCounts::default())))
            };
            self.watched = names.into_iter().map(row).collect();
        }
        let known = &mut self.known;
        let new = answer.observations.into_iter().filter(|passed| {
            let RelayedObservation { writer, incarnation, observation: seen } = passed;
            known.insert_if_new(*writer, *incarnation, seen.sequence)
        });
        let new: Vec<RelayedObservation> = new.collect();
        if !new.is_empty() {
            self.observations_received += new.len() as u64;
            actions.push(HostAction::DeliverObservations(new));
        }
        if std::mem::replace(&mut self.duplicate_process, answer.duplicate_process)
            != answer.duplicate_process
        {
            actions.push(HostAction::DuplicateProcess(answer.duplicate_process));
        }
        if std::mem::replace(&mut self.superseded, answer.superseded) != answer.superseded {
            actions.push(HostAction::Superseded(answer.superseded));
        }
        // Danger: a daemon that is partitioned from the others may still reach members, but has no new state.
        let led = answer.is_leader || answer.leader.is_some();
        let since = *self.leaderless_since.get_or_insert(now);
        if led {
            self.leaderless_since = None;
        }
        if answer.excluded || !led && now.since(since) >= self.answer_timeout() {
            self.on_disconnected(now);
            actions.push(HostAction::Close);
            return actions;
        }
        (self.failed_attempts, self.last_answer_at, self.wants_catch_up) = (0, Some(now), false);
        if answer.is_leader {
            actions.extend(self.drain_requests.take_unsent().map(HostAction::SendDrainRequest));
        }
        // Only the leader tracks which members are present, so the member moves to it.
        let leader = answer.leader.filter(|_| !answer.is_leader);
        // Danger: followers name a killed leader until the next one is elected. Members that followed each such hint would dial
        // some ten times a second each, and keep the electing daemons busy.
        let lost = self.lost.filter(|(_, at)| now.since(*at) < self.setup.heartbeat * UNREACHED_BEATS);
        if let Some(leader) =
            leader.and_then(|leader| self.setup.daemons.iter().position(|place| *place == leader))
            && leader != self.daemon_index
            && lost.is_none_or(|(daemon_index, _)| daemon_index != leader)
        {
            self.daemon_index = leader;
            self.link = Link::Connecting(now);
            actions.push(HostAction::Close);
            actions.push(HostAction::Dial(self.setup.daemons[leader]));
        }
        actions
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BEAT: u64 = 500;

    fn at(ms: u64) -> Moment {
        Moment::from_nanos(ms * 1_000_000)
    }

    fn member() -> Member {
        let setup = MemberConfig {
            name: "s1".into(),
            daemons: vec![1, 2, 3],
            heartbeat: Span::from_millis(BEAT),
            incarnation: 5,
            process_nonce: 1,
            version: Version::default(),
            limits: Limits::default(),
            groups: Vec::new(),
            locality: None,
            program_version: String::new(),
        };
        Member::new(at(0), setup, 4)
    }

    #[test]
    fn a_lease_is_counted_from_before_the_report() {
        use crate::budgets::{Budget, LogPosition, Resource};
        use crate::limits::Grant;
        let mut member = member();
        on(&mut member, BEAT);
        let actions = member.on_timer(at(2 * BEAT + 60));
        let [HostAction::SendReport(report)] = &actions[..] else { panic!("{actions:?}") };
        let of = Resource::Attempts;
        let budget = Budget {
            resource: of,
            quota: 100,
            window_ms: 1000,
            min_share: 1,
            standalone_share: 1,
            max_members: 2,
        };
        let since = LogPosition { generation: 0, index: 7 };
        let grants = Some(vec![Grant { budget, share: 9, since, lease_ms: 1000 }]);
        // The answer is delayed by most of its lease.
        let answer = ReportAnswer {
            number: report.number,
            grants: grants.clone(),
            is_leader: true,
            ..ReportAnswer::default()
        };
        member.on_answer(at(2 * BEAT + 900), answer);
        assert_eq!(member.limits.allowed(at(2 * BEAT + 1000), of), Some(10));
        assert_eq!(member.limits.allowed(at(2 * BEAT + 1041), of), Some(1));
        // An answer to an unknown report grants nothing.
        member.on_answer(
            at(2 * BEAT + 1042),
            ReportAnswer { number: 99, grants, is_leader: true, ..ReportAnswer::default() },
        );
        assert_eq!(member.limits.allowed(at(2 * BEAT + 1043), of), Some(1));
    }

    #[test]
    fn a_delayed_order_to_drain_is_ignored() {
        let mut member = member();
        on(&mut member, BEAT);
        let mut report_number = |ms: u64| match &member.on_timer(at(ms))[..] {
            [HostAction::SendReport(report)] => report.number,
            other => panic!("{other:?}"),
        };
        let (early, late) = (report_number(2 * BEAT + 60), report_number(3 * BEAT + 120));
        let answer = |number| ReportAnswer {
            number,
            drain_for_release: Some(true),
            is_leader: true,
            ..ReportAnswer::default()
        };
        let sent = |actions: &[HostAction]| {
            actions.iter().any(|what| matches!(what, HostAction::SetReleaseDrain(true)))
        };
        let fresh = DRAIN_ORDER_MAX_AGE.nanos() / 1_000_000;
        assert!(!sent(&member.on_answer(at(2 * BEAT + 61 + fresh), answer(early))));
        assert!(sent(&member.on_answer(at(2 * BEAT + 62 + fresh), answer(late))));
    }

    fn number(number: u64) -> Version {
        Version { generation: 0, number }
    }

    fn dialed(actions: &[HostAction]) -> u16 {
        match actions {
            [HostAction::Dial(place)] => *place,
            other => panic!("{other:?}"),
        }
    }

    /// Connects a member to a daemon that answers as the leader.
    fn on(member: &mut Member, ms: u64) {
        dialed(&member.on_timer(at(ms)));
        assert!(
            matches!(&member.on_connected(at(ms), VERSION)[..], [HostAction::SendReport(report)] if report.wants_catch_up)
        );
        let answer = ReportAnswer { is_leader: true, ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(ms), answer), []);
    }

    #[test]
    fn a_member_tries_the_next_daemon_and_follows_the_leader() {
        let mut member = member();
        assert_eq!(member.on_timer(at(0)), []);
        let first = dialed(&member.on_timer(at(BEAT)));
        member.on_disconnected(at(BEAT));
        let second = dialed(&member.on_timer(at(2 * BEAT)));
        assert_ne!(first, second);
        // It does not answer: after some heartbeats another is tried.
        assert_eq!(member.on_timer(at(4 * BEAT)), []);
        assert_eq!(member.on_timer(at(5 * BEAT)), [HostAction::Close]);
        let third = dialed(&member.on_timer(at(7 * BEAT)));
        member.on_connected(at(7 * BEAT), VERSION);
        let hint = ReportAnswer { leader: Some(first), ..ReportAnswer::default() };
        assert_eq!(
            member.on_answer(at(7 * BEAT), hint.clone()),
            [HostAction::Close, HostAction::Dial(first)]
        );
        assert_ne!(third, first);
        // A daemon that does not serve members is left, whatever else it answers.
        member.on_connected(at(8 * BEAT), VERSION);
        let answer = ReportAnswer { excluded: true, is_leader: true, ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(8 * BEAT), answer), [HostAction::Close]);
    }

    #[test]
    fn a_daemon_without_a_leader_for_long_is_left_for_another() {
        let mut member = member();
        on(&mut member, BEAT);
        let mut now = 2 * BEAT;
        let alone = || ReportAnswer::default();
        assert_eq!(member.on_answer(at(now), alone()), []);
        while member.on_answer(at(now), alone()).is_empty() {
            now += BEAT / 2;
            assert!(now < 20 * BEAT, "it stays for ever");
        }
        assert!(now >= 5 * BEAT, "an election takes its time");
        // A daemon that leads again in between is kept.
        dialed(&member.on_timer(at(now + BEAT)));
        member.on_connected(at(now + BEAT), VERSION);
        member.on_answer(at(now + BEAT), alone());
        member.on_answer(at(now + 3 * BEAT), ReportAnswer { is_leader: true, ..alone() });
        assert_eq!(member.on_answer(at(now + 5 * BEAT), alone()), []);
    }

    #[test]
    fn a_drain_request_is_sent_again_to_the_leader_until_one_decides() {
        let mut member = member();
        assert_eq!(member.request_drain(at(0), None), None);
        on(&mut member, BEAT);
        let send = |number| HostAction::SendDrainRequest(DrainRequest { number, forced_reason: None });
        assert_eq!(member.request_drain(at(BEAT), None), Some(vec![send(1)]));
        // Another replica leads by now, which the member learns soon and not only with its next heartbeat.
        let turned_away = || Some(drains::NOT_LEADER.to_string());
        assert_eq!(member.on_drain_answer(at(BEAT + 1), 1, turned_away()), None);
        let soon = BEAT + 1 + BEAT / 10;
        assert!(matches!(member.on_timer(at(soon))[..], [HostAction::SendReport(_)]));
        let current = member.setup.daemons[member.daemon_index];
        let leader = if current == 1 { 2 } else { 1 };
        let hint = ReportAnswer { leader: Some(leader), ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(soon + 1), hint), [HostAction::Close, HostAction::Dial(leader)]);
        // A request that is made between two connections waits for the next.
        assert_eq!(member.request_drain(at(soon + 2), None), Some(vec![]));
        assert!(matches!(member.on_connected(at(soon + 2), VERSION)[..], [HostAction::SendReport(_)]));
        let leads = || ReportAnswer { is_leader: true, ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(soon + 3), leads()), [send(1)]);
        assert_eq!(member.on_answer(at(soon + 4), leads()), []);
        assert_eq!(member.on_drain_answer(at(soon + 5), 1, None), Some(DrainDecision::Granted));
        assert_eq!(member.on_drain_answer(at(soon + 6), 1, turned_away()), None);
        assert_eq!(member.on_answer(at(soon + 7), leads()), []);
    }

    #[test]
    fn with_all_daemons_unreachable_the_tries_back_off() {
        let mut member = member();
        let (mut tries, mut now) = (Vec::new(), 0);
        while now < 300 * BEAT {
            now += 10;
            if !member.on_timer(at(now)).is_empty() {
                tries.push(now);
                member.on_disconnected(at(now));
            }
        }
        assert!(tries.len() > 40 && tries.len() < 100, "{}", tries.len());
        assert!(tries.windows(2).all(|pair| pair[1] - pair[0] <= 8 * BEAT + 10));
    }

    #[test]
    fn settings_only_go_to_later_versions_and_an_invalid_one_is_not_requested_again() {
        let mut member = member();
        on(&mut member, BEAT);
        let tell = |member: &mut Member, version| {
            let settings = Some((number(version), format!("v{version}")));
            member.on_answer(
                at(2 * BEAT),
                ReportAnswer { settings, is_leader: true, ..ReportAnswer::default() },
            )
        };
        assert_eq!(tell(&mut member, 3), [HostAction::ApplySettings(number(3), "v3".into())]);
        member.set_active_version(number(3));
        // A lagging daemon.
        assert_eq!(tell(&mut member, 2), []);
        assert_eq!(tell(&mut member, 3), []);
        // The host rejects this one as invalid: the member keeps the active version, and reports both.
        assert_eq!(tell(&mut member, 4).len(), 1);
        let report = member.report(at(3 * BEAT));
        assert_eq!((report.version, report.latest_known), (number(3), number(4)));
    }

    #[test]
    fn observations_are_sent_until_acknowledged_and_again_to_another_daemon() {
        let mut member = member();
        on(&mut member, BEAT);
        (0..100).for_each(|endpoint| member.record_attempt(at(BEAT), endpoint, 1, 0, 0.5));
        let sent = |member: &mut Member, ms| {
            let actions = member.on_timer(at(ms));
            let [HostAction::SendReport(report)] = &actions[..] else { panic!("{actions:?}") };
            report.observations.iter().map(|seen| seen.sequence).collect::<Vec<_>>()
        };
        let first = sent(&mut member, 2 * BEAT + 60);
        assert_eq!((first.len(), first[0]), (MAX_OBSERVATIONS_PER_REPORT, 1));
        // The answer was lost.
        assert_eq!(sent(&mut member, 2 * BEAT + 660), first);
        member.on_answer(at(2 * BEAT + 661), ReportAnswer { is_leader: true, ..ReportAnswer::default() });
        assert_eq!(sent(&mut member, 2 * BEAT + 1360), (65..=100).collect::<Vec<_>>());
        member.on_disconnected(at(6 * BEAT));
        dialed(&member.on_timer(at(7 * BEAT)));
        let HostAction::SendReport(report) = &member.on_connected(at(7 * BEAT), VERSION)[0] else { panic!() };
        assert_eq!(report.observations[0].sequence, 1);
        // Expired observations are not sent.
        member.on_disconnected(at(60 * BEAT));
        dialed(&member.on_timer(at(61 * BEAT)));
        let HostAction::SendReport(report) = &member.on_connected(at(61 * BEAT), VERSION)[0] else {
            panic!()
        };
        assert!(report.observations.is_empty());
    }

    #[test]
    fn observations_of_others_count_once_and_a_stopped_member_catches_up() {
        let mut member = member();
        on(&mut member, BEAT);
        let seen =
            Observation { sequence: 1, age_ms: 0, endpoint: 9, method: 1, outcome: 1, budget_fraction: 0.1 };
        let passed = vec![RelayedObservation { writer: 3, incarnation: 1, observation: seen }; 2];
        let answer = ReportAnswer { observations: passed, is_leader: true, ..ReportAnswer::default() };
        let actions = member.on_answer(at(2 * BEAT), answer.clone());
        assert!(
            matches!(&actions[..], [HostAction::DeliverObservations(passed)] if passed.len() == 1),
            "{actions:?}"
        );
        assert_eq!(member.on_answer(at(2 * BEAT), answer), []);
        // A minute passes between two heartbeats: the process was stopped. It first closes the connection, as no answer came.
        assert_eq!(member.on_timer(at(120_000)), [HostAction::Close]);
        dialed(&member.on_timer(at(121_000)));
        assert!(
            matches!(&member.on_connected(at(121_000), VERSION)[..], [HostAction::SendReport(report)] if report.wants_catch_up)
        );
    }

    #[test]
    fn duplicate_and_later_processes_are_logged_once() {
        let mut member = member();
        on(&mut member, BEAT);
        let duplicate_process =
            ReportAnswer { duplicate_process: true, is_leader: true, ..ReportAnswer::default() };
        assert_eq!(
            member.on_answer(at(2 * BEAT), duplicate_process.clone()),
            [HostAction::DuplicateProcess(true)]
        );
        assert_eq!(member.on_answer(at(2 * BEAT), duplicate_process), []);
        let alone = ReportAnswer { is_leader: true, superseded: true, ..ReportAnswer::default() };
        assert_eq!(
            member.on_answer(at(2 * BEAT), alone),
            [HostAction::DuplicateProcess(false), HostAction::Superseded(true)]
        );
    }
}
