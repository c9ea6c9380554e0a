//! What a process has once: its signals, its settings, its operators, others at its address, and how it leaves.

use std::fs::File;

use appledyke_fleet::Version;
use appledyke_fleet::evidence::{self, RelayedObservation};
use appledyke_fleet::members::MemberStatus as Member;

use super::*;
use crate::figures::AnsweredHere;
use crate::net::DESCRIPTOR_RETRY;
use crate::net::connection::lacks_descriptor;

/// After SIGTERM all must be answered within the longest deadline, at most this, and so much more: whoever
/// sent it ends what is left soon after.
const LEAVE_DEADLINE: Span = Span::from_millis(3000);
const LEAVE_MORE: Span = Span::from_millis(400);
/// Part of that time in which requests are taken as ever: other sidecars may be away as well, and clients lose
/// least while the connections that they have go on. The rest is time to answer.
const LEAVE_TAKING: f64 = 0.6;
/// Least time in which new connections may still come.
const LEAVE_LEAST: Span = Span::from_millis(600);
/// Between two looks at how far leaving or draining has come.
const AWAY_LOOK: Span = Span::from_millis(50);
/// How long all goes on as ever once the health check says no to a drain: the front asks often, and sends new
/// connections for a little longer than until it has heard.
const DRAIN_GRACE: Span = Span::from_millis(500);
/// Between two looks at which other processes serve this address.
const OTHERS_LOOK: Span = Span::from_millis(300);
/// Descriptors that such a look takes: the folder, and a file in it.
const LOOK_DESCRIPTORS: usize = 2;
/// Longest that an instance says it is not ready as it has not heard the list: from then on the list that it
/// was started with has to do.
const READY_WAIT: Span = Span::from_millis(3000);

impl Sidecar {
    pub(super) fn told(&mut self) {
        for signal in self.signals.pending().collect::<Vec<_>>() {
            match signal {
                SIGHUP => self.read_again(),
                _ if self.leaving.is_none() => self.leave(),
                _ => {}
            }
        }
    }

    /// Takes over what can change while requests are under way: the settings, and where the list is asked. The rest is for a
    /// start.
    pub(super) fn read_again(&mut self) {
        self.turn.deadlines.reschedule(Due::Settings, &mut self.read_at, None);
        // Danger: what was told once would never be taken over.
        if File::open("/").is_err_and(|e| lacks_descriptor(&e)) && !self.make_room() {
            let again = self.turn.now + DESCRIPTOR_RETRY;
            return self.turn.deadlines.reschedule(Due::Settings, &mut self.read_at, Some(again));
        }
        self.tell_watch();
        let agreed =
            self.fleet.as_ref().and_then(|fleet| fleet.agreed.as_ref()).map(|agreed| &agreed.settings);
        match Launch::read_from(self.file.clone(), Winner::File, Some(&self.kept), &mut self.places, agreed) {
            Ok(launch) => {
                self.figures.reloads += 1;
                log::info!("read again: list at {}", launch.discovery);
                let waits = self.fixed.differs(&launch.fixed);
                if !waits.is_empty() {
                    log::warn!("read again: {}: taken at the next start only", waits.join(", "));
                }
                self.kept = launch.kept.clone();
                self.base = launch.base.clone();
                self.take_over(launch);
            }
            Err(what) => {
                self.figures.reload_errors += 1;
                log::warn!("read again, and kept as it was: {what}");
            }
        }
    }

    /// What may change while requests are under way is taken over.
    fn take_over(&mut self, launch: Launch) {
        self.list.set_callers(callers(&launch.terms));
        let may = may_call_list(&mut self.fleet, &self.clock);
        let mut lists = Vec::new();
        let hear = |complete, list| lists.push((complete, list));
        let failed = self.list.set_address(launch.discovery, may, &mut self.turn, hear);
        lists.into_iter().for_each(|(complete, list)| self.listed(complete, &list));
        let failed = self.call_list_again() || failed;
        self.list_failed(failed);
        self.servers.update_terms(launch.connection_idle, launch.connect_timeout, &mut self.turn);
        self.update_terms(launch.terms, launch.watched);
    }

    /// Other terms hold for requests that arrive from now on; open ones keep the methods that they came with.
    pub(super) fn update_terms(&mut self, terms: Terms, watched: Option<Terms>) {
        let held =
            self.requests.iter().map(|(_, request)| request.method).chain(self.servers.forwarded_methods());
        let held: HashSet<usize> = held.collect();
        let (terms, places) = terms.after(self.balancer.terms(), |at| held.contains(&at));
        let names = places.iter().map(|(at, _)| terms.methods[*at].name.as_str()).collect::<Vec<_>>();
        if !names.is_empty() {
            log::info!("new or changed methods: {}", names.join(", "));
        }
        let offered = terms.methods.iter().zip(&terms.offered).filter(|(_, offered)| **offered);
        offered.for_each(|(method, _)| self.figures.offer(&method.name));
        self.balancer.update_terms(terms, watched, &places);
    }

    pub(super) fn tell_watch(&self) {
        self.balancer.counts().into_iter().for_each(|counts| log::info!("watch: {counts}"));
    }

    pub(super) fn leave(&mut self) {
        log::info!("told to leave");
        let longest =
            self.balancer.terms().methods.iter().map(|m| m.deadline).max().unwrap_or(LEAVE_DEADLINE);
        let since = self.turn.now;
        let until = since + (longest.min(LEAVE_DEADLINE) + LEAVE_MORE);
        // Danger: two that are told together would each count on the other, if they looked before they said so.
        self.leaving = Some(Leaving { since, until, succeeded: false });
        self.look_at_others();
        let succeeded = self.others.ready > 0;
        self.leaving = Some(Leaving { since, until, succeeded });
        if succeeded {
            // Danger: a no to the health check would take this address from clients, while another serves it.
            log::info!("another process serves on");
            self.look_again.extend(self.clients.hand_over(&mut self.turn));
        } else {
            self.clients.fail_health_checks();
        }
        self.look_away(since);
    }

    pub(super) fn look_away(&mut self, now: Moment) {
        self.turn.deadlines.reschedule(Due::TurnAway, &mut self.away_at, Some(now + AWAY_LOOK));
    }

    /// Looks how far leaving or draining has come.
    pub(super) fn away_further(&mut self) {
        self.away_at = None;
        match (self.leaving, self.draining) {
            (Some(leaving), _) => self.leave_further(leaving),
            (None, Some(since)) => {
                if self.turn.now.since(since) >= DRAIN_GRACE {
                    self.look_again.extend(self.clients.drain(&mut self.turn));
                }
                self.look_away(self.turn.now);
            }
            (None, None) => {}
        }
    }

    /// What an operator asks for, and what is answered.
    pub(super) fn operator_ready(&mut self, key: Key) {
        let call = self.operators.as_mut().and_then(|operators| operators.ready(key, &mut self.turn));
        let Some(call) = call else { return };
        let answer = match call {
            Command::Ready => {
                // Danger: SIGTERM may reach the other process right after the yes, so it has to be told before.
                self.look_at_others();
                self.is_ready().to_string()
            }
            Command::ShowStat => format!("{}EOF", self.figures()),
            Command::Drain if self.fleet.is_some() => return self.drain_with(key, None),
            Command::DrainAnyway(why) if self.fleet.is_some() => return self.drain_with(key, Some(why)),
            Command::DrainAnyway(_) => format!("400 {}", operator::UNKNOWN_COMMAND),
            Command::Drain => self.drain().to_string(),
            Command::Resume => self.resume().to_string(),
        };
        self.answer_operator(key, answer);
    }

    fn answer_operator(&mut self, key: Key, answer: String) {
        if let Some(operators) = &mut self.operators {
            operators.answer(key, &(answer + "\n"), &mut self.turn);
        }
    }

    /// Drains if the fleet lets it, and answers once that is known. With a reason it drains whatever the fleet says, and
    /// the fleet keeps that in mind.
    fn drain_with(&mut self, key: Key, anyway: Option<String>) {
        if self.leaving.is_some() || self.draining.is_some() {
            let answer = self.drain().to_string();
            return self.answer_operator(key, answer);
        }
        let insists = anyway.is_some();
        let Sidecar { fleet, turn, .. } = self;
        if fleet.as_mut().is_some_and(|fleet| fleet.ask_out(anyway, turn)) {
            // Danger: it holds for this ask alone; kept longer it would speak for a later drain that does not insist.
            self.insists |= insists;
            return self.drainers.push(key);
        }
        let answer =
            if insists { self.drain().to_string() } else { "400 not now: no daemon heard".to_string() };
        self.answer_operator(key, answer);
    }

    /// The fleet's word on a drain has come, or did not.
    fn may_drain(&mut self, refused: Option<&str>) {
        let insists = std::mem::take(&mut self.insists);
        let answer = match refused {
            Some(why) if !insists => format!("400 not now: {why}"),
            _ => self.drain().to_string(),
        };
        for key in std::mem::take(&mut self.drainers) {
            self.answer_operator(key, answer.clone());
        }
    }

    pub(super) fn is_ready(&self) -> &'static str {
        match (self.leaving, self.draining) {
            (Some(_), _) => "400 not ready: leaving",
            (None, Some(_)) => "400 not ready: drained",
            _ if self.list_heard || self.turn.now.since(self.started) >= READY_WAIT => "200 ready",
            _ => "400 not ready: list not heard",
        }
    }

    /// Looks which other processes serve this address: they are to have their part of what there is room for.
    pub(super) fn look_at_others(&mut self) {
        let ready = self.is_ready().starts_with("200");
        let Some(presence) = &mut self.presence else { return };
        if self.leaving.is_some() {
            presence.stands(Standing::Leaving);
        } else if ready {
            presence.stands(Standing::Ready);
        }
        let mut seen = presence.others();
        for _ in 0..LOOK_DESCRIPTORS {
            if seen.is_ok() || !self.make_room() {
                break;
            }
            seen = self.presence.as_ref().map_or(Ok(Others::default()), Presence::others);
        }
        // What cannot be looked at is as it was.
        let others = seen.unwrap_or_else(|_| self.others.clone());
        if others.alive() != self.others.alive() {
            log::info!("other processes at this address: {}", others.alive());
        }
        let part = self.fixed.connections / (1 + others.alive());
        self.turn.free_connections += part as isize - std::mem::replace(&mut self.part, part) as isize;
        self.clients.resize(part);
        self.others = others;
        self.hand_over();
        self.turn.deadlines.reschedule(
            Due::OtherProcesses,
            &mut self.others_at,
            Some(self.turn.now + OTHERS_LOOK),
        );
    }

    pub(super) fn drain(&mut self) -> &'static str {
        if self.leaving.is_some() {
            return "200 leaving, which does the same";
        }
        if self.draining.is_none() {
            log::info!("told to drain");
            self.draining = Some(self.turn.now);
            self.clients.fail_health_checks();
            self.look_away(self.turn.now);
        }
        "200 drains"
    }

    pub(super) fn resume(&mut self) -> &'static str {
        if self.leaving.is_some() {
            return "400 leaving, which cannot be taken back";
        }
        self.sent_out = false;
        if self.draining.take().is_some() {
            log::info!("told to resume");
            self.clients.resume();
        }
        "200 takes clients"
    }

    /// Requests whose clients wait, and long answers that are on their way.
    fn open(&self) -> usize {
        self.requests.iter().filter(|(_, r)| r.client.is_some()).count()
            + self.servers.forwarded_methods().count()
    }

    pub(super) fn figures(&self) -> String {
        let open = self.open();
        let (listed, avoided) = self.balancer.avoided(self.turn.now);
        let written = self.servers.sent_attempts;
        let text = self.figures.text(&Now {
            open,
            written,
            listed,
            avoided,
            discovery: self.list.figures(self.turn.now),
        });
        match &self.fleet {
            Some(fleet) => text + &fleet.figures(self.turn.now),
            None => text,
        }
    }

    /// Looks how far leaving has come.
    pub(super) fn leave_further(&mut self, Leaving { since, until, succeeded }: Leaving) {
        let now = self.turn.now;
        let gone = now.since(since);
        let alone = !succeeded && gone >= LEAVE_LEAST && self.clients.is_quiet(&self.turn);
        if succeeded {
            self.clients.stop_listening(&mut self.turn);
        }
        if alone || gone >= until.since(since) * LEAVE_TAKING {
            self.look_again.extend(self.clients.drain(&mut self.turn));
            self.clients.stop_listening(&mut self.turn);
        }
        if now >= until {
            self.look_again.extend(self.clients.drain_now(&mut self.turn));
            // What has come in this turn is decided first: a rejection invites a repeat elsewhere, a failure does not.
            self.decide();
            // Danger: what has no answer when this process is killed is lost.
            let open: Vec<_> = self.requests.iter().map(|(key, _)| key.index()).collect();
            for request in open {
                self.answer(request, 502, None, AnsweredHere::Leaving);
                self.client_disconnected(request);
            }
        }
        if !self.clients.is_closed() {
            self.look_away(now);
        }
    }

    /// Tells other processes at this address how attempts ended here, and hears of theirs.
    pub(super) fn hand_over(&mut self) {
        let now = self.turn.now;
        let Some(presence) = self.presence.as_ref().filter(|_| self.others.alive() > 0) else { return };
        presence.leave_word(&self.latest.text(now));
        let words = presence.words(&self.others);
        let heard: Vec<_> = words.iter().flat_map(|word| self.latest.hear(word, now)).collect();
        let ends = heard
            .into_iter()
            .map(|handover::Ended { endpoint, method, outcome, part, .. }| (endpoint, method, outcome, part));
        let told: Vec<_> = self.as_told(ends).collect();
        self.balancer.told(now, &told);
    }

    /// Ends that others tell, by the marks of endpoint and method, as the decisions take them.
    fn as_told(
        &self,
        ends: impl Iterator<Item = (u32, u32, Outcome, f64)>,
    ) -> impl Iterator<Item = AttemptReport> {
        let terms = self.balancer.terms();
        let marked =
            |at: &usize, mark| terms.offered[*at] && ids::name_hash(&terms.methods[*at].name) == mark;
        ends.filter_map(move |(endpoint, method, outcome, part)| {
            let method = (0..terms.methods.len()).find(|at| marked(at, method))?;
            Some(AttemptReport { name_hash: endpoint, method, outcome, part, load: None })
        })
    }

    // The fleet, where this process is a member of one.

    /// How this process stands, as the fleet is to know it.
    pub(super) fn stand(&mut self) {
        if self.fleet.is_none() {
            return;
        }
        let standing = match (self.leaving, self.draining) {
            (Some(_), _) => Member::Leaving,
            (None, Some(_)) => Member::Drained,
            _ if self.is_ready().starts_with("200") => Member::Serving,
            _ => Member::Joining,
        };
        let Sidecar { fleet, turn, .. } = self;
        let Some(fleet) = fleet else { return };
        if standing == Member::Serving {
            fleet.is_back();
        }
        fleet.stands(standing, turn);
    }

    /// The last word before it ends.
    pub(super) fn farewell(&mut self) {
        let Sidecar { fleet, turn, .. } = self;
        fleet.iter_mut().for_each(|fleet| fleet.stands(Member::Gone, turn));
    }

    pub(super) fn fleet_ready(&mut self, key: Key) {
        self.tell_holds();
        let Sidecar { fleet, turn, .. } = self;
        let news = fleet.as_mut().map(|fleet| fleet.ready(key, turn)).unwrap_or_default();
        self.take_news(news);
    }

    pub(super) fn fleet_due(&mut self) {
        self.tell_holds();
        let Sidecar { fleet, turn, .. } = self;
        let news = fleet.as_mut().map(|fleet| fleet.timed_out(turn)).unwrap_or_default();
        self.take_news(news);
    }

    /// What it holds is counted anew before it is told, and idle connections above its part are given back.
    fn tell_holds(&mut self) {
        let alone = self.presence.is_some() && self.others.alive() == 0;
        let (now, open) = (self.clock.now(), self.open());
        let Sidecar { fleet, servers, turn, endpoints, outs, entries, clients, draining, .. } = self;
        let Some(fleet) = fleet.as_mut() else { return };
        // What is out of service by an operator's word is left for good: the module would keep idle connections there until its
        // next request.
        outs.iter()
            .filter_map(|name| endpoints.find(name))
            .for_each(|endpoint| servers.close_idle(endpoint, turn));
        let holds = |name: &&String| {
            endpoints.find(name).is_some_and(|endpoint| servers.connection_counts(endpoint).0 > 0)
        };
        fleet.holds_at(outs.iter().filter(holds).cloned().collect());
        let ready =
            |name: &&String| entries.get(*name).is_some_and(|entry| entry.state == EndpointStanding::Ready);
        let lacks = fleet.looks_for().filter(|name| !ready(name)).cloned().collect();
        // Danger: what was on its way when the drain began comes still, and would not be seen to have been waited for.
        let early = draining.is_some_and(|since| turn.now.since(since) < DRAIN_GRACE);
        fleet.stands_with(open + clients.count() + usize::from(early), lacks);
        // Danger: a cap that is not taken back would outlive its budget.
        servers.max_per_endpoint = fleet.connections_most(now);
        if !fleet.is_limited() {
            return;
        }
        if let Some(most) = servers.max_per_endpoint {
            servers.trim(most, turn);
        }
        let (connections, out) = servers.max_connection_counts();
        fleet.holds(connections, out, alone);
    }

    fn take_news(&mut self, news: Vec<News>) {
        for news in news {
            match news {
                News::Settings(version, text) => self.take_agreed(version, &text),
                News::Ends(passed) => self.hear_ends(&passed),
                News::Outs(outs) => self.take_outs(outs),
                News::Out { refused } => self.may_drain(refused.as_deref()),
                News::Sent(true) if self.draining.is_none() && self.leaving.is_none() => {
                    log::info!("a release sends this process out");
                    self.sent_out = true;
                    self.drain();
                }
                // One that an operator has drained stays so.
                News::Sent(false) if std::mem::take(&mut self.sent_out) && self.leaving.is_none() => {
                    log::info!("its release lets this process come back");
                    self.resume();
                }
                News::Sent(_) => {}
            }
        }
    }

    /// Settings that the fleet has agreed on: checked whole, and acted on from here on or not at all.
    fn take_agreed(&mut self, version: Version, text: &str) {
        let settings: Result<Value, String> =
            serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"));
        let read = settings.and_then(|settings| {
            let launch = Launch::with(&self.base, self.file.clone(), &settings, &mut self.places)?;
            Ok((settings, launch))
        });
        match read {
            Ok((settings, launch)) => {
                log::info!("acts on settings {version} from here on");
                self.take_over(launch);
                self.fleet
                    .iter_mut()
                    .for_each(|fleet| fleet.acts_on(Agreed { version, settings: settings.clone() }));
            }
            Err(what) => {
                log::warn!(
                    "settings {version}, agreed on, are faulty here, and it goes on with those it has: {what}"
                );
                self.fleet.iter_mut().for_each(Fleet::found_faulty);
            }
        }
    }

    /// Other endpoints are out of service from here on: what has changed is told as the list would tell it.
    fn take_outs(&mut self, outs: Vec<String>) {
        let outs: HashSet<String> = outs.into_iter().collect();
        let changed: Vec<String> = self.outs.symmetric_difference(&outs).cloned().collect();
        log::info!(
            "out of service: {}",
            if outs.is_empty() { "none".to_string() } else { sorted(&outs).join(", ") }
        );
        self.outs = outs;
        self.balancer.list_begin(false);
        for name in changed {
            if let (Some(endpoint), Some(entry)) = (self.endpoints.find(&name), self.entries.get(&name)) {
                let entry = in_service(*entry, self.outs.contains(&name));
                self.balancer.listed(self.turn.now, endpoint, entry);
            }
        }
        self.balancer.list_end(self.turn.now);
    }

    /// How attempts of other members have ended. What that is worth is decided elsewhere.
    fn hear_ends(&mut self, passed: &[RelayedObservation]) {
        let ends = passed.iter().filter_map(|RelayedObservation { observation: seen, .. }| {
            Some((
                seen.endpoint,
                seen.method,
                evidence::outcome_from_code(seen.outcome)?,
                f64::from(seen.budget_fraction),
            ))
        });
        let told: Vec<_> = self.as_told(ends).collect();
        self.balancer.heard(self.turn.now, &told);
    }
}

fn sorted(names: &HashSet<String>) -> Vec<&str> {
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.sort_unstable();
    names
}
