//! A sidecar's part in its fleet: which daemon it asks, when it says how it stands, and what of the answers it takes. Reqs
//! never wait for any of it.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};
use appledyke::{Outcome, ids};
use oorandom::Rand64;

use crate::budgets::LogPosition;
use crate::drains::DrainRequests;
use crate::evidence::{self, KnownSequences, MAX_AGE, Observation, RelayedObservation};
use crate::evidence_coding::{CodedRecords, Decoder};
use crate::health::RequestCounts;
use crate::limits::Limits;
use crate::members::MemberStatus;
use crate::messages::{Report, ReportAnswer, VERSION};
use crate::release_runner::DRAIN_ORDER_MAX_AGE;
use crate::scopes::Locality;
use crate::version::Version;

/// Beats without an answer until another daemon is asked: one may be lost with an election.
const PATIENCE_BEATS: f64 = 3.0;
/// Most that is waited between two rounds over all daemons that were not reached, in beats: they come back together.
const PAUSE_BEATS_MOST: f64 = 8.0;
/// Beats for which a daemon that was not reached, or was lost, is not gone to because another says that it leads: less than
/// leases last, so that what it grants is renewed in time once it is reached again.
const UNREACHED_BEATS: f64 = 2.0;
/// Records that are kept for the daemons, and told in one report.
const BOOKED_MOST: usize = 256;
const TOLD_MOST: usize = 64;
/// Beats over a connection that speaks an older version, for a member with a locality: then it looks whether the daemon knows
/// scopes by now. A minute at the usual beat.
const OLDER_BEATS_MOST: f64 = 120.0;
/// Reports whose answers may still come: one more is made each beat.
const ASKED_MOST: usize = 16;

/// How a member is set up.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub name: String,
    /// The daemons' places, in the order in which they stand in the settings.
    pub daemons: Vec<u16>,
    pub heartbeat: Span,
    pub incarnation: u64,
    /// Differs between two processes that think they are the same.
    pub process_nonce: u64,
    /// The version of the settings that it starts with.
    pub version: Version,
    /// What it may use by its own file.
    pub limits: Limits,
    pub groups: Vec<String>,
    /// What it belongs to, by its own file: settings are merged for it by this.
    pub locality: Option<Locality>,
    /// The version of its program, or what its file calls it.
    pub program_version: String,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Open a connection to this place.
    Dial(u16),
    Close,
    /// Say what this member belongs to.
    SendLocality(Locality),
    SendReport(Box<Report>),
    /// Check these settings whole; act on them if they are well, and say which with `acts_on`.
    ApplySettings(Version, String),
    /// Pass these on to the decisions.
    DeliverObservations(Vec<RelayedObservation>),
    /// These endpoints, and no others, are out of service whatever the list says.
    SetDrainedEndpoints(Vec<String>),
    /// A release sends it out, or lets it come back.
    SetReleaseDrain(bool),
    /// Say so in the log, for operators: it is told when it changes.
    DuplicateProcess(bool),
    Superseded(bool),
    /// Say in the log what was wrong with a part of an answer that is passed over.
    AnswerError(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// Tried again then.
    Off(Moment),
    /// Asked since then, and not up.
    Dialed(Moment),
    /// Up; answered then, or up since then.
    On(Moment),
}

pub struct Member {
    setup: MemberConfig,
    chance: Rand64,
    /// Which of the daemons.
    at: usize,
    link: Link,
    /// The version that the connection speaks, and since when it is up.
    speaks: u16,
    up_since: Moment,
    /// What it acts on was told over a connection that knows no scopes, though it belongs to some.
    unscoped: bool,
    /// Since when the daemon that answers knows no leader.
    leaderless: Option<Moment>,
    /// Daemons that were tried in vain since one answered.
    vain: u32,
    /// Which was lost last, or not reached, and when.
    lost: Option<(usize, Moment)>,
    next_beat: Moment,
    standing: MemberStatus,
    acts_on: Version,
    knows: Version,
    booked: VecDeque<(Moment, Observation)>,
    sequence: u64,
    /// Up to where the daemon that answers now has been told, and up to where it has answered for.
    told: u64,
    answered: u64,
    known: KnownSequences,
    /// Of the connection that is up.
    decoder: Decoder,
    catches_up: bool,
    /// When the latest reports were made.
    asked: VecDeque<(u64, Moment)>,
    reports: u64,
    /// Whether no other process serves this one's address.
    pub sole_at_address: bool,
    /// What it may use of the fleet's budgets.
    pub limits: Limits,
    /// What it has asked for to go out.
    pub drain_requests: DrainRequests,
    /// As of when it knows which endpoints are out of service, and where it holds something still.
    outs: LogPosition,
    pub endpoints_in_use: Vec<String>,
    /// Whether a release has sent it out.
    sent: bool,
    /// What it is to look for, by the marks of their names, and how its write-outs there have ended.
    looks: u64,
    looked: BTreeMap<u32, (String, RequestCounts)>,
    /// Of these, what the list does not have as ready.
    pub missing_endpoints: Vec<String>,
    /// How its reqs have ended, and what it has open still.
    pub request_counts: RequestCounts,
    pub open_requests: u64,
    twin: bool,
    superseded: bool,
    /// Counted for operators.
    pub observations_received: u64,
    pub last_answer_at: Option<Moment>,
}

impl Member {
    pub fn new(now: Moment, setup: MemberConfig, seed: u64) -> Member {
        let mut chance = Rand64::new(u128::from(seed));
        let at = chance.rand_range(0..setup.daemons.len().max(1) as u64) as usize;
        // Danger: a whole fleet that starts together would ask together.
        let first = now + setup.heartbeat * chance.rand_float();
        let (version, limits) = (setup.version, setup.limits.clone());
        Member {
            setup,
            chance,
            at,
            link: Link::Off(first),
            speaks: VERSION,
            up_since: first,
            unscoped: false,
            leaderless: None,
            vain: 0,
            lost: None,
            next_beat: first,
            standing: MemberStatus::Joining,
            acts_on: version,
            knows: version,
            booked: VecDeque::new(),
            sequence: 0,
            told: 0,
            answered: 0,
            known: KnownSequences::default(),
            decoder: Decoder::default(),
            catches_up: true,
            asked: VecDeque::new(),
            reports: 0,
            sole_at_address: false,
            limits,
            drain_requests: DrainRequests::default(),
            outs: LogPosition::default(),
            endpoints_in_use: Vec::new(),
            sent: false,
            looks: 0,
            looked: BTreeMap::new(),
            missing_endpoints: Vec::new(),
            request_counts: RequestCounts::default(),
            open_requests: 0,
            twin: false,
            superseded: false,
            observations_received: 0,
            last_answer_at: None,
        }
    }

    pub fn name(&self) -> &str {
        &self.setup.name
    }

    pub fn active_version(&self) -> Version {
        self.acts_on
    }

    pub fn latest_known(&self) -> Version {
        self.knows
    }

    /// What it belongs to.
    pub fn locality(&self) -> Option<&Locality> {
        self.setup.locality.as_ref()
    }

    /// Whether what it acts on is not merged for what it belongs to: it was told by a daemon that knows no scopes, and may not
    /// be kept as if it were.
    pub fn is_unscoped(&self) -> bool {
        self.unscoped
    }

    /// Whether a connection is up over which something may be asked.
    pub fn is_connected(&self) -> bool {
        matches!(self.link, Link::On(_))
    }

    /// The endpoints that it is to look for.
    pub fn watched_endpoints(&self) -> impl Iterator<Item = &String> {
        self.looked.values().map(|(name, _)| name)
    }

    /// Whether a daemon has answered lately.
    pub fn has_recent_answer(&self, now: Moment) -> bool {
        self.last_answer_at.is_some_and(|at| now.since(at) <= self.setup.heartbeat * PATIENCE_BEATS)
    }

    /// When `due` is to be called at the latest.
    pub fn next_due(&self) -> Moment {
        match self.link {
            Link::Off(at) => at,
            Link::Dialed(since) => since + self.patience(),
            Link::On(heard) => self.next_beat.min(heard + self.patience()).min(self.older_until()),
        }
    }

    /// Until when it stays with a connection that knows no scopes.
    fn older_until(&self) -> Moment {
        if self.speaks >= VERSION || self.setup.locality.is_none() {
            return Moment::from_nanos(u64::MAX);
        }
        self.up_since + self.setup.heartbeat * OLDER_BEATS_MOST
    }

    /// Whether it takes settings of the version that it knows once more, merged for what it belongs to.
    fn asks_anew(&self) -> bool {
        self.unscoped && self.speaks >= VERSION
    }

    fn patience(&self) -> Span {
        self.setup.heartbeat * PATIENCE_BEATS
    }

    /// Keeps how a write-out ended, for the others.
    pub fn record_attempt(&mut self, now: Moment, endpoint: u32, method: u32, outcome: u8, part: f32) {
        self.sequence += 1;
        if let Some((_, figures)) = self.looked.get_mut(&endpoint) {
            let served = evidence::outcome_from_code(outcome) == Some(Outcome::Success);
            figures.served += u64::from(served);
            figures.failed += u64::from(!served);
            figures.slow += u64::from(served && part > 1.0);
        }
        let seen = Observation {
            sequence: self.sequence,
            age_ms: 0,
            endpoint,
            method,
            outcome,
            budget_fraction: part,
        };
        self.booked.push_back((now, seen));
        if self.booked.len() > BOOKED_MOST {
            self.booked.pop_front();
        }
    }

    /// It acts on this version from now on.
    pub fn set_active_version(&mut self, version: Version) {
        self.acts_on = self.acts_on.max(version);
        self.knows = self.knows.max(version);
    }

    /// How it stands; a change is told at once.
    pub fn set_status(&mut self, now: Moment, standing: MemberStatus) -> Vec<HostAction> {
        if std::mem::replace(&mut self.standing, standing) == standing || !matches!(self.link, Link::On(_)) {
            return Vec::new();
        }
        vec![HostAction::SendReport(self.report(now))]
    }

    fn report(&mut self, now: Moment) -> Box<Report> {
        // Danger: one that was stopped has missed more than a beat, and acts on what is old until it has heard.
        self.catches_up |= now.since(self.next_beat) > MAX_AGE;
        self.next_beat = now + self.setup.heartbeat * (0.9 + 0.2 * self.chance.rand_float());
        while self.booked.front().is_some_and(|(at, _)| now.since(*at) > MAX_AGE) {
            self.booked.pop_front();
        }
        let new = self.booked.iter().filter(|(_, seen)| seen.sequence > self.answered).take(TOLD_MOST);
        let seen: Vec<Observation> = new
            .map(|(at, seen)| Observation { age_ms: (now.since(*at).nanos() / 1_000_000) as u32, ..*seen })
            .collect();
        self.reports += 1;
        self.asked.push_back((self.reports, now));
        if self.asked.len() > ASKED_MOST {
            self.asked.pop_front();
        }
        // Danger: what another daemon's scopes make of this version is another text.
        let (version, knows) = if self.asks_anew() { Default::default() } else { (self.acts_on, self.knows) };
        self.told = seen.last().map_or(self.answered, |seen| seen.sequence);
        Box::new(Report {
            name: self.setup.name.clone(),
            incarnation: self.setup.incarnation,
            process_nonce: self.setup.process_nonce,
            status: self.standing,
            version,
            latest_known: knows,
            observations: seen,
            wants_catch_up: self.catches_up,
            number: self.reports,
            usage: self.limits.usage(now),
            groups: self.setup.groups.clone(),
            settled_requests: self.drain_requests.settled(),
            endpoints_known_at: self.outs,
            endpoints_in_use: self.endpoints_in_use.clone(),
            sole_at_address: self.sole_at_address,
            program_version: self.setup.program_version.clone(),
            request_counts: self.request_counts,
            endpoint_counts: self
                .looked
                .values()
                .filter(|(_, figures)| figures.total() > 0)
                .cloned()
                .collect(),
            open_requests: self.open_requests,
            drained_by_release: self.sent,
            watch_list_hash: self.looks,
            missing_endpoints: self.missing_endpoints.clone(),
        })
    }

    /// The connection that was dialed is up, and speaks this version (`messages::greeted`).
    pub fn on_connected(&mut self, now: Moment, speaks: u16) -> Vec<HostAction> {
        if !matches!(self.link, Link::Dialed(_)) {
            return Vec::new();
        }
        self.link = Link::On(now);
        (self.speaks, self.up_since) = (speaks, now);
        // This daemon may be another than the last, and know nothing: what it has heard before, it does not count twice.
        (self.told, self.answered, self.leaderless) = (0, 0, None);
        self.decoder = Decoder::default();
        let belongs = self.setup.locality.clone().filter(|_| speaks >= VERSION).map(HostAction::SendLocality);
        let report = HostAction::SendReport(self.report(now));
        belongs.into_iter().chain([report]).collect()
    }

    /// The connection has ended, or never came up.
    pub fn on_disconnected(&mut self, now: Moment) {
        if matches!(self.link, Link::Off(_)) {
            return;
        }
        self.vain += 1;
        self.lost = Some((self.at, now));
        self.at = (self.at + 1) % self.setup.daemons.len().max(1);
        let rounds = self.vain / self.setup.daemons.len().max(1) as u32;
        let pause = 2.0_f64.powi(rounds.min(10) as i32).min(PAUSE_BEATS_MOST);
        // All that are not reached are tried in turn soon, then with longer pauses; by chance, as all ask at once.
        let wait = if rounds == 0 { 0.2 } else { pause } * (0.5 + self.chance.rand_float() / 2.0);
        self.link = Link::Off(now + self.setup.heartbeat * wait);
    }

    /// What falls due.
    pub fn on_timer(&mut self, now: Moment) -> Vec<HostAction> {
        match self.link {
            Link::Off(at) if at <= now => {
                self.link = Link::Dialed(now);
                self.setup.daemons.get(self.at).map(|place| HostAction::Dial(*place)).into_iter().collect()
            }
            Link::Dialed(since) | Link::On(since) if now >= since + self.patience() => {
                self.on_disconnected(now);
                vec![HostAction::Close]
            }
            Link::On(_) if now >= self.older_until() => {
                self.on_disconnected(now);
                vec![HostAction::Close]
            }
            Link::On(_) if now >= self.next_beat => vec![HostAction::SendReport(self.report(now))],
            _ => Vec::new(),
        }
    }

    /// A daemon's answer with coded records. Where these are faulty the rest of it is taken all the same, and the next report asks
    /// for what has been missed, by dictionaries that begin anew.
    pub fn on_coded_answer(
        &mut self,
        now: Moment,
        mut told: ReportAnswer,
        coded: &CodedRecords,
    ) -> Vec<HostAction> {
        if !matches!(self.link, Link::On(_)) {
            return Vec::new();
        }
        let fault = match self.decoder.decode(coded) {
            Ok(mut passed) => {
                passed.append(&mut told.observations);
                told.observations = passed;
                None
            }
            Err(why) => {
                // Danger: of one writer only later records count, so those behind would hide the ones that are asked for again.
                told.observations.clear();
                Some(why)
            }
        };
        let mut done = self.on_answer(now, told);
        if let Some(why) = fault {
            self.catches_up = true;
            done.push(HostAction::AnswerError(why));
        }
        done
    }

    /// A daemon's answer.
    pub fn on_answer(&mut self, now: Moment, told: ReportAnswer) -> Vec<HostAction> {
        if !matches!(self.link, Link::On(_)) {
            return Vec::new();
        }
        self.link = Link::On(now);
        self.answered = self.answered.max(self.told);
        let mut done = Vec::new();
        // Danger: a lease that is counted from the answer's arrival outlasts the one that its giver counts.
        let asked = self.asked.iter().find(|(number, _)| *number == told.number).map(|(_, at)| *at);
        if let (Some(asked), Some(grants)) = (asked, &told.grants) {
            self.limits.apply_grants(asked, grants);
        }
        // Danger: a copy that is behind, or a fleet that was put back, would take a member to what it has left behind.
        if let Some((version, settings)) = told.settings
            && (version > self.knows || self.asks_anew() && version == self.knows)
        {
            self.knows = version;
            self.unscoped = self.setup.locality.is_some() && self.speaks < VERSION;
            done.push(HostAction::ApplySettings(version, settings));
        }
        if let Some((since, outs)) = told.drained_endpoints
            && since > self.outs
        {
            self.outs = since;
            // Until it has looked it may hold something at each of them.
            self.endpoints_in_use.clone_from(&outs);
            done.push(HostAction::SetDrainedEndpoints(outs));
        }
        // Danger: an answer that was held back on its way sends out one whom the fleet has counted as back since.
        let fresh = asked.is_some_and(|asked| now.since(asked) <= DRAIN_ORDER_MAX_AGE);
        if let Some(sent) = told.drain_for_release.filter(|sent| fresh && *sent != self.sent) {
            self.sent = sent;
            done.push(HostAction::SetReleaseDrain(sent));
        }
        if let Some((looks, names)) = told.watch_list {
            self.looks = looks;
            let before = std::mem::take(&mut self.looked);
            let row = |name: String| {
                let mark = ids::name_hash(&name);
                (mark, before.get(&mark).cloned().unwrap_or((name, RequestCounts::default())))
            };
            self.looked = names.into_iter().map(row).collect();
        }
        let known = &mut self.known;
        let new = told.observations.into_iter().filter(|passed| {
            let RelayedObservation { writer, incarnation, observation: seen } = passed;
            known.insert_if_new(*writer, *incarnation, seen.sequence)
        });
        let new: Vec<RelayedObservation> = new.collect();
        if !new.is_empty() {
            self.observations_received += new.len() as u64;
            done.push(HostAction::DeliverObservations(new));
        }
        if std::mem::replace(&mut self.twin, told.duplicate_process) != told.duplicate_process {
            done.push(HostAction::DuplicateProcess(told.duplicate_process));
        }
        if std::mem::replace(&mut self.superseded, told.superseded) != told.superseded {
            done.push(HostAction::Superseded(told.superseded));
        }
        // Danger: a daemon that is cut off from the others reaches members all the same, and knows nothing new.
        let led = told.is_leader || told.leader.is_some();
        let since = *self.leaderless.get_or_insert(now);
        if led {
            self.leaderless = None;
        }
        if told.excluded || !led && now.since(since) >= self.patience() {
            self.on_disconnected(now);
            done.push(HostAction::Close);
            return done;
        }
        (self.vain, self.last_answer_at, self.catches_up) = (0, Some(now), false);
        // Whether it is there is the leader's to know.
        let leader = told.leader.filter(|_| !told.is_leader);
        // Danger: followers name a leader that was killed until the next one is elected. A fleet that goes to it at each word
        // dials some ten times a second a member, and keeps those who elect busy with it.
        let lost = self.lost.filter(|(_, at)| now.since(*at) < self.setup.heartbeat * UNREACHED_BEATS);
        if let Some(leader) =
            leader.and_then(|leader| self.setup.daemons.iter().position(|place| *place == leader))
            && leader != self.at
            && lost.is_none_or(|(at, _)| at != leader)
        {
            self.at = leader;
            self.link = Link::Dialed(now);
            done.push(HostAction::Close);
            done.push(HostAction::Dial(self.setup.daemons[leader]));
        }
        done
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
    fn a_lease_is_counted_from_before_it_asked() {
        use crate::budgets::{Budget, LogPosition, Resource};
        use crate::limits::Grant;
        let mut member = member();
        on(&mut member, BEAT);
        let done = member.on_timer(at(2 * BEAT + 60));
        let [HostAction::SendReport(report)] = &done[..] else { panic!("{done:?}") };
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
        // The answer is late by most of its lease.
        let told = ReportAnswer {
            number: report.number,
            grants: grants.clone(),
            is_leader: true,
            ..ReportAnswer::default()
        };
        member.on_answer(at(2 * BEAT + 900), told);
        assert_eq!(member.limits.allowed(at(2 * BEAT + 1000), of), Some(10));
        assert_eq!(member.limits.allowed(at(2 * BEAT + 1041), of), Some(1));
        // An answer to nothing that it asked grants nothing.
        member.on_answer(
            at(2 * BEAT + 1042),
            ReportAnswer { number: 99, grants, is_leader: true, ..ReportAnswer::default() },
        );
        assert_eq!(member.limits.allowed(at(2 * BEAT + 1043), of), Some(1));
    }

    #[test]
    fn a_word_that_was_held_back_on_its_way_sends_nobody_out() {
        let mut member = member();
        on(&mut member, BEAT);
        let mut asked = |ms: u64| match &member.on_timer(at(ms))[..] {
            [HostAction::SendReport(report)] => report.number,
            other => panic!("{other:?}"),
        };
        let (early, late) = (asked(2 * BEAT + 60), asked(3 * BEAT + 120));
        let told = |number| ReportAnswer {
            number,
            drain_for_release: Some(true),
            is_leader: true,
            ..ReportAnswer::default()
        };
        let sent =
            |done: &[HostAction]| done.iter().any(|what| matches!(what, HostAction::SetReleaseDrain(true)));
        let fresh = DRAIN_ORDER_MAX_AGE.nanos() / 1_000_000;
        assert!(!sent(&member.on_answer(at(2 * BEAT + 61 + fresh), told(early))));
        assert!(sent(&member.on_answer(at(2 * BEAT + 62 + fresh), told(late))));
    }

    fn number(number: u64) -> Version {
        Version { generation: 0, number }
    }

    fn dialed(done: &[HostAction]) -> u16 {
        match done {
            [HostAction::Dial(place)] => *place,
            other => panic!("{other:?}"),
        }
    }

    /// A member that was answered by this place, which leads.
    fn on(member: &mut Member, ms: u64) {
        dialed(&member.on_timer(at(ms)));
        assert!(
            matches!(&member.on_connected(at(ms), VERSION)[..], [HostAction::SendReport(report)] if report.wants_catch_up)
        );
        let told = ReportAnswer { is_leader: true, ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(ms), told), []);
    }

    #[test]
    fn it_goes_on_to_the_next_daemon_and_follows_the_leader() {
        let mut member = member();
        assert_eq!(member.on_timer(at(0)), []);
        let first = dialed(&member.on_timer(at(BEAT)));
        member.on_disconnected(at(BEAT));
        let second = dialed(&member.on_timer(at(2 * BEAT)));
        assert_ne!(first, second);
        // It hangs: after some beats another is asked.
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
        // A daemon that does not serve is left, whatever it says.
        member.on_connected(at(8 * BEAT), VERSION);
        let told = ReportAnswer { excluded: true, is_leader: true, ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(8 * BEAT), told), [HostAction::Close]);
    }

    #[test]
    fn a_daemon_that_knows_no_leader_for_long_is_left_for_another() {
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
        // One that leads again in between is stayed with.
        dialed(&member.on_timer(at(now + BEAT)));
        member.on_connected(at(now + BEAT), VERSION);
        member.on_answer(at(now + BEAT), alone());
        member.on_answer(at(now + 3 * BEAT), ReportAnswer { is_leader: true, ..alone() });
        assert_eq!(member.on_answer(at(now + 5 * BEAT), alone()), []);
    }

    #[test]
    fn with_all_daemons_away_the_tries_get_rarer() {
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
    fn settings_go_forwards_only_and_a_faulty_version_is_not_asked_for_again() {
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
        // A daemon that is behind.
        assert_eq!(tell(&mut member, 2), []);
        assert_eq!(tell(&mut member, 3), []);
        // The host finds this one faulty: it acts on what it has, and says which that is.
        assert_eq!(tell(&mut member, 4).len(), 1);
        let report = member.report(at(3 * BEAT));
        assert_eq!((report.version, report.latest_known), (number(3), number(4)));
    }

    #[test]
    fn what_it_has_seen_is_told_until_it_is_answered_and_again_to_another_daemon() {
        let mut member = member();
        on(&mut member, BEAT);
        (0..100).for_each(|endpoint| member.record_attempt(at(BEAT), endpoint, 1, 0, 0.5));
        let sent = |member: &mut Member, ms| {
            let done = member.on_timer(at(ms));
            let [HostAction::SendReport(report)] = &done[..] else { panic!("{done:?}") };
            report.observations.iter().map(|seen| seen.sequence).collect::<Vec<_>>()
        };
        let first = sent(&mut member, 2 * BEAT + 60);
        assert_eq!((first.len(), first[0]), (TOLD_MOST, 1));
        // The answer was lost.
        assert_eq!(sent(&mut member, 2 * BEAT + 660), first);
        member.on_answer(at(2 * BEAT + 661), ReportAnswer { is_leader: true, ..ReportAnswer::default() });
        assert_eq!(sent(&mut member, 2 * BEAT + 1360), (65..=100).collect::<Vec<_>>());
        member.on_disconnected(at(6 * BEAT));
        dialed(&member.on_timer(at(7 * BEAT)));
        let HostAction::SendReport(report) = &member.on_connected(at(7 * BEAT), VERSION)[0] else { panic!() };
        assert_eq!(report.observations[0].sequence, 1);
        // What is old is told to nobody.
        member.on_disconnected(at(60 * BEAT));
        dialed(&member.on_timer(at(61 * BEAT)));
        let HostAction::SendReport(report) = &member.on_connected(at(61 * BEAT), VERSION)[0] else {
            panic!()
        };
        assert!(report.observations.is_empty());
    }

    #[test]
    fn others_records_count_once_and_who_was_stopped_catches_up() {
        let mut member = member();
        on(&mut member, BEAT);
        let seen =
            Observation { sequence: 1, age_ms: 0, endpoint: 9, method: 1, outcome: 1, budget_fraction: 0.1 };
        let passed = vec![RelayedObservation { writer: 3, incarnation: 1, observation: seen }; 2];
        let told = ReportAnswer { observations: passed, is_leader: true, ..ReportAnswer::default() };
        let done = member.on_answer(at(2 * BEAT), told.clone());
        assert!(
            matches!(&done[..], [HostAction::DeliverObservations(passed)] if passed.len() == 1),
            "{done:?}"
        );
        assert_eq!(member.on_answer(at(2 * BEAT), told), []);
        // A minute passes between two beats: it was stopped. The link is left first, as nothing was heard.
        assert_eq!(member.on_timer(at(120_000)), [HostAction::Close]);
        dialed(&member.on_timer(at(121_000)));
        assert!(
            matches!(&member.on_connected(at(121_000), VERSION)[..], [HostAction::SendReport(report)] if report.wants_catch_up)
        );
    }

    #[test]
    fn twins_and_followers_are_told_of_once() {
        let mut member = member();
        on(&mut member, BEAT);
        let twin = ReportAnswer { duplicate_process: true, is_leader: true, ..ReportAnswer::default() };
        assert_eq!(member.on_answer(at(2 * BEAT), twin.clone()), [HostAction::DuplicateProcess(true)]);
        assert_eq!(member.on_answer(at(2 * BEAT), twin), []);
        let alone = ReportAnswer { is_leader: true, superseded: true, ..ReportAnswer::default() };
        assert_eq!(
            member.on_answer(at(2 * BEAT), alone),
            [HostAction::DuplicateProcess(false), HostAction::Superseded(true)]
        );
    }
}
