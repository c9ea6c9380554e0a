//! Process-wide concerns: signals, configuration reload, the admin endpoint, fleet membership, drain and shutdown.

use std::fs::File;

use appledyke_fleet::Version;
use appledyke_fleet::drains::Unanswered;
use appledyke_fleet::evidence::{self, RelayedObservation};
use appledyke_fleet::member::DrainDecision;
use appledyke_fleet::members::MemberStatus;

use super::*;
use crate::metrics::AnsweredHere;
use crate::net::DESCRIPTOR_RETRY;
use crate::net::connection::lacks_descriptor;

/// After SIGTERM all requests must be answered within the longest method deadline, capped at the first value, plus
/// the second: the supervisor kills the process soon after.
const SHUTDOWN_MAX_DEADLINE: Span = Span::from_millis(3000);
const SHUTDOWN_MARGIN: Span = Span::from_millis(400);
/// Share of that time in which requests are accepted as usual: other sidecars may be shutting down as well, and
/// clients lose least while their existing connections keep working. The rest is left for responses.
const SHUTDOWN_ACCEPT_SHARE: f64 = 0.6;
/// Minimum time in which new connections are still accepted.
const SHUTDOWN_MIN_ACCEPT: Span = Span::from_millis(600);
/// Interval between progress checks of a drain or shutdown.
const DRAIN_CHECK_INTERVAL: Span = Span::from_millis(50);
/// How long requests are served as usual after the health check begins to fail for a drain: the load balancer in
/// front polls it often, and sends new connections for slightly longer than until its next check.
const DRAIN_GRACE: Span = Span::from_millis(500);
/// Longest time that a process reports itself as not ready because service discovery has sent no list, if it may use the
/// list that it was started with.
const READY_TIMEOUT: Span = Span::from_millis(3000);
/// The same whether it may use that list or not. Danger: a release waits for each of its processes, and would be blocked
/// for as long as service discovery is unavailable.
const MAX_READY_TIMEOUT: Span = Span::from_millis(5500);

impl Sidecar {
    pub(super) fn handle_signals(&mut self) {
        for signal in self.signals.pending().collect::<Vec<_>>() {
            match signal {
                SIGHUP => self.reload_config(),
                _ if self.shutdown.is_none() => self.begin_shutdown(),
                _ => {}
            }
        }
    }

    /// Reloads what can change while requests are in flight: the settings and the discovery address. The rest needs a
    /// restart.
    pub(super) fn reload_config(&mut self) {
        self.turn.deadlines.reschedule(Due::Settings, &mut self.reload_retry_at, None);
        // Danger: the signal comes only once, so a reload that finds no file descriptor has to be retried.
        if File::open("/").is_err_and(|e| lacks_descriptor(&e)) && !self.make_room() {
            let again = self.turn.now + DESCRIPTOR_RETRY;
            return self.turn.deadlines.reschedule(Due::Settings, &mut self.reload_retry_at, Some(again));
        }
        self.log_shadow_counts();
        let agreed =
            self.fleet.as_ref().and_then(|fleet| fleet.agreed.as_ref()).map(|agreed| &agreed.settings);
        match Config::read_from(
            self.config_path.clone(),
            Precedence::File,
            Some(&self.reload_identity),
            &mut self.places,
            agreed,
        ) {
            Ok(config) => {
                self.metrics.reloads += 1;
                log::info!("configuration reloaded: service discovery at {}", config.discovery);
                let restart_only = self.startup.differs(&config.startup);
                if !restart_only.is_empty() {
                    log::warn!(
                        "configuration reloaded: {}: takes effect at the next restart",
                        restart_only.join(", ")
                    );
                }
                self.reload_identity = config.reload_identity.clone();
                self.base_config = config.base.clone();
                self.apply_config(config);
            }
            Err(what) => {
                self.metrics.reload_errors += 1;
                log::warn!("configuration reload failed, keeping the current one: {what}");
            }
        }
    }

    /// Applies the part of a configuration that may change while requests are in flight.
    fn apply_config(&mut self, config: Config) {
        self.list.set_callers(discovery_callers(&config.terms));
        let may = may_call_list(&mut self.fleet, &self.clock);
        let mut lists = Vec::new();
        let hear = |received| lists.push(received);
        let failed = self.list.set_address(config.discovery, may, &mut self.turn, hear);
        lists.into_iter().for_each(|received| self.apply_received_list(&received));
        self.confirm_list();
        self.follow_list_address();
        let failed = self.retry_list_call() || failed;
        self.handle_list_failure(failed);
        self.servers.update_terms(config.connection_idle, config.connect_timeout, &mut self.turn);
        self.update_terms(config.terms, config.shadow_terms);
    }

    /// Applies other terms to requests that arrive from now on; open ones keep the methods they arrived with.
    pub(super) fn update_terms(&mut self, terms: Terms, shadow_terms: Option<Terms>) {
        let used =
            self.requests.iter().map(|(_, request)| request.method).chain(self.servers.forwarded_methods());
        let used: HashSet<usize> = used.collect();
        let (terms, places) = terms.after(self.balancer.terms(), |at| used.contains(&at));
        let names = places.iter().map(|(at, _)| terms.methods[*at].name.as_str()).collect::<Vec<_>>();
        if !names.is_empty() {
            log::info!("new or changed methods: {}", names.join(", "));
        }
        let offered = terms.methods.iter().zip(&terms.offered).filter(|(_, offered)| **offered);
        offered.for_each(|(method, _)| self.metrics.register(&method.name));
        self.balancer.update_terms(terms, shadow_terms, &places);
    }

    pub(super) fn log_shadow_counts(&self) {
        self.balancer.counts().into_iter().for_each(|counts| log::info!("watch: {counts}"));
    }

    pub(super) fn begin_shutdown(&mut self) {
        log::info!("shutting down");
        let longest =
            self.balancer.terms().methods.iter().map(|m| m.deadline).max().unwrap_or(SHUTDOWN_MAX_DEADLINE);
        let since = self.turn.now;
        let until = since + (longest.min(SHUTDOWN_MAX_DEADLINE) + SHUTDOWN_MARGIN);
        // Danger: two processes told to shut down at the same time would each count on the other, so each announces
        // its shutdown before it looks for a successor.
        self.shutdown = Some(Shutdown { since, until, has_successor: false });
        self.update_siblings();
        let has_successor = self.siblings.ready > 0;
        self.shutdown = Some(Shutdown { since, until, has_successor });
        if has_successor {
            // Danger: a failing health check would take this address out of rotation while another process serves it.
            log::info!("another process at this address takes over");
            self.clients_to_recheck.extend(self.clients.hand_over(&mut self.turn));
        } else {
            self.clients.fail_health_checks();
        }
        self.schedule_drain_check(since);
    }

    pub(super) fn schedule_drain_check(&mut self, now: Moment) {
        self.turn.deadlines.reschedule(
            Due::TurnAway,
            &mut self.drain_check_at,
            Some(now + DRAIN_CHECK_INTERVAL),
        );
    }

    /// Advances a drain or shutdown.
    pub(super) fn advance_drain(&mut self) {
        self.drain_check_at = None;
        match (self.shutdown, self.draining) {
            (Some(shutdown), _) => self.advance_shutdown(shutdown),
            (None, Some(since)) => {
                if self.turn.now.since(since) >= DRAIN_GRACE {
                    self.clients_to_recheck.extend(self.clients.drain(&mut self.turn));
                }
                self.schedule_drain_check(self.turn.now);
            }
            (None, None) => {}
        }
    }

    /// Reads an operator's command on the admin endpoint and answers it.
    pub(super) fn operator_ready(&mut self, key: Key) {
        let call = self.operators.as_mut().and_then(|operators| operators.ready(key, &mut self.turn));
        let Some(call) = call else { return };
        let answer = match call {
            Command::Ready => {
                // Danger: SIGTERM may reach the other process right after this one reports ready, so that must know
                // beforehand.
                self.update_siblings();
                self.is_ready().to_string()
            }
            Command::ShowStat => format!("{}EOF", self.metrics_text()),
            Command::Drain if self.fleet.is_some() => return self.request_drain(key, None),
            Command::DrainAnyway(why) if self.fleet.is_some() => return self.request_drain(key, Some(why)),
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

    /// Asks the fleet for permission to drain and answers the operator once that is known. With a reason it drains
    /// whatever the fleet answers, and the fleet records the reason.
    fn request_drain(&mut self, key: Key, forced_reason: Option<String>) {
        if self.shutdown.is_some() || self.draining.is_some() {
            let answer = self.drain().to_string();
            return self.answer_operator(key, answer);
        }
        let force = forced_reason.is_some();
        let Sidecar { fleet, turn, .. } = self;
        if fleet.as_mut().is_some_and(|fleet| fleet.request_drain(forced_reason, turn)) {
            // Danger: this holds for the current request alone; kept longer it would force a later drain that did not
            // ask for it.
            self.drain_forced |= force;
            return self.drain_waiters.push(key);
        }
        let answer =
            if force { self.drain().to_string() } else { format!("400 not now: {}", Unanswered::NoDaemon) };
        self.answer_operator(key, answer);
    }

    /// Handles the fleet's decision on a drain request; the lack of one is a refusal.
    fn handle_drain_decision(&mut self, decision: &DrainDecision) {
        let force = std::mem::take(&mut self.drain_forced);
        let answer = match decision {
            DrainDecision::Refused(why) if !force => format!("400 not now: {why}"),
            _ => self.drain().to_string(),
        };
        for key in std::mem::take(&mut self.drain_waiters) {
            self.answer_operator(key, answer.clone());
        }
    }

    pub(super) fn is_ready(&self) -> &'static str {
        match (self.shutdown, self.draining) {
            (Some(_), _) => "400 not ready: leaving",
            (None, Some(_)) => "400 not ready: drained",
            _ if self.list_confirmed || self.is_ready_without_list() => "200 ready",
            _ => "400 not ready: list not heard",
        }
    }

    /// Fails health checks from the start until the process can serve, unless another process serves this address.
    /// Danger: traffic that comes before would be rejected, and traffic that stays away from an address of which the other
    /// process serves would be lost to that one.
    pub(super) fn update_starting(&mut self) {
        if self.has_started {
            return;
        }
        let now = self.turn.now;
        let may_use_list = self.balancer.may_use_list(now);
        self.has_started = may_use_list || now.since(self.started_at) >= MAX_READY_TIMEOUT;
        if may_use_list && !self.list_confirmed {
            log::info!("serves by list version {}, which discovery has not confirmed", self.list.version());
        }
        self.clients.set_starting(!self.has_started && self.siblings.ready == 0);
    }

    fn is_ready_without_list(&self) -> bool {
        let now = self.turn.now;
        let timeout = if self.balancer.may_use_list(now) { READY_TIMEOUT } else { MAX_READY_TIMEOUT };
        now.since(self.started_at) >= timeout
    }

    pub(super) fn drain(&mut self) -> &'static str {
        if self.shutdown.is_some() {
            return "200 leaving, which does the same";
        }
        if self.draining.is_none() {
            log::info!("draining");
            self.draining = Some(self.turn.now);
            self.clients.fail_health_checks();
            self.schedule_drain_check(self.turn.now);
        }
        "200 drains"
    }

    pub(super) fn resume(&mut self) -> &'static str {
        if self.shutdown.is_some() {
            return "400 leaving, which cannot be taken back";
        }
        self.drained_by_release = false;
        if self.draining.take().is_some() {
            log::info!("drain cancelled");
            self.clients.resume();
        }
        "200 takes clients"
    }

    /// Counts the requests whose clients wait, and the responses that are being streamed.
    fn open_requests(&self) -> usize {
        self.requests.iter().filter(|(_, r)| r.client.is_some()).count()
            + self.servers.forwarded_methods().count()
    }

    pub(super) fn metrics_text(&self) -> String {
        let open = self.open_requests();
        let (listed, avoided) = self.balancer.avoided(self.turn.now);
        let written = self.servers.sent_attempts;
        let text = self.metrics.render(&Sampled {
            open,
            written,
            listed,
            avoided,
            direct_responses: self.clients.direct_responses.clone(),
            discovery: self.list.figures(self.turn.now),
        });
        match &self.fleet {
            Some(fleet) => text + &fleet.metrics_text(self.turn.now),
            None => text,
        }
    }

    /// Advances a shutdown.
    pub(super) fn advance_shutdown(&mut self, Shutdown { since, until, has_successor }: Shutdown) {
        let now = self.turn.now;
        let elapsed = now.since(since);
        let quiet = !has_successor && elapsed >= SHUTDOWN_MIN_ACCEPT && self.clients.is_quiet(&self.turn);
        if has_successor {
            self.clients.stop_listening(&mut self.turn);
        }
        if quiet || elapsed >= until.since(since) * SHUTDOWN_ACCEPT_SHARE {
            self.clients_to_recheck.extend(self.clients.drain(&mut self.turn));
            self.clients.stop_listening(&mut self.turn);
        }
        if now >= until {
            self.clients_to_recheck.extend(self.clients.drain_now(&mut self.turn));
            self.stream_buffered_responses();
            // Requests that arrived in this turn are decided first: a rejection invites the client to retry
            // elsewhere, a failure does not.
            self.run_decisions_until(None);
            // Danger: requests without an answer when this process is killed are lost.
            let open: Vec<_> = self.requests.iter().map(|(key, _)| key.index()).collect();
            for request in open {
                self.answer_locally(request, 502, None, AnsweredHere::Leaving);
                self.client_disconnected(request);
            }
        }
        if !self.clients.is_closed() {
            self.schedule_drain_check(now);
        }
    }

    /// Begins to stream all responses that are being buffered. Danger: one that has begun in time would be cut off by an
    /// answer of this process's own.
    fn stream_buffered_responses(&mut self) {
        for key in self.servers.buffering() {
            let ended = self.servers.end_buffering(key, &mut self.turn);
            self.attempt_ended(key, ended);
        }
    }

    /// Converts outcomes observed elsewhere, given by the name hashes of endpoint and method, to the balancer's
    /// reports.
    pub(super) fn to_reports(
        &self,
        outcomes: impl Iterator<Item = (u32, u32, Outcome, f64)>,
    ) -> impl Iterator<Item = AttemptReport> {
        let terms = self.balancer.terms();
        let offered_as =
            |at: &usize, hash| terms.offered[*at] && ids::name_hash(&terms.methods[*at].name) == hash;
        outcomes.filter_map(move |(endpoint, method, outcome, budget_fraction)| {
            let method = (0..terms.methods.len()).find(|at| offered_as(at, method))?;
            Some(AttemptReport { name_hash: endpoint, method, outcome, part: budget_fraction, load: None })
        })
    }

    // The fleet, where this process is a member of one.

    /// Reports this process's status to the fleet.
    pub(super) fn update_member_status(&mut self) {
        if self.fleet.is_none() {
            return;
        }
        let status = match (self.shutdown, self.draining) {
            (Some(_), _) => MemberStatus::Leaving,
            (None, Some(_)) => MemberStatus::Drained,
            _ if self.is_ready().starts_with("200") => MemberStatus::Serving,
            _ => MemberStatus::Joining,
        };
        let Sidecar { fleet, turn, .. } = self;
        let Some(fleet) = fleet else { return };
        if status == MemberStatus::Serving {
            fleet.on_return();
        }
        fleet.set_status(status, turn);
    }

    /// Reports to the fleet that this process is about to exit.
    pub(super) fn report_gone(&mut self) {
        let Sidecar { fleet, turn, .. } = self;
        fleet.iter_mut().for_each(|fleet| fleet.set_status(MemberStatus::Gone, turn));
    }

    pub(super) fn fleet_ready(&mut self, key: Key) {
        self.update_fleet_report();
        let Sidecar { fleet, turn, .. } = self;
        let events = fleet.as_mut().map(|fleet| fleet.on_ready(key, turn)).unwrap_or_default();
        self.handle_fleet_events(events);
    }

    pub(super) fn fleet_timer(&mut self) {
        self.update_fleet_report();
        let Sidecar { fleet, turn, .. } = self;
        let events = fleet.as_mut().map(|fleet| fleet.on_timer(turn)).unwrap_or_default();
        self.handle_fleet_events(events);
    }

    /// Updates what the next report to the fleet says of connections and requests, and closes idle connections above
    /// this process's share.
    fn update_fleet_report(&mut self) {
        let alone = self.presence.is_some() && self.siblings.count() == 0;
        let (now, open) = (self.clock.now(), self.open_requests());
        let Sidecar { fleet, servers, turn, endpoints, out_of_service, entries, clients, draining, .. } =
            self;
        let Some(fleet) = fleet.as_mut() else { return };
        // Idle connections to endpoints that operators took out of service are closed here: the balancer would keep
        // them until its next request.
        out_of_service
            .iter()
            .filter_map(|name| endpoints.find(name))
            .for_each(|endpoint| servers.close_idle(endpoint, turn));
        let holds = |name: &&String| {
            endpoints.find(name).is_some_and(|endpoint| servers.connection_counts(endpoint).0 > 0)
        };
        fleet.set_endpoints_in_use(out_of_service.iter().filter(holds).cloned().collect());
        let ready =
            |name: &&String| entries.get(*name).is_some_and(|entry| entry.state == EndpointStanding::Ready);
        let missing = fleet.watched_endpoints().filter(|name| !ready(name)).cloned().collect();
        // Danger: connections that were on their way when the drain began still arrive. Until the grace period is
        // over the process counts as busy, so that the fleet sees that they were waited for.
        let in_grace = draining.is_some_and(|since| turn.now.since(since) < DRAIN_GRACE);
        fleet.set_open_requests(open + clients.count() + usize::from(in_grace), missing);
        // Danger: set each time, as a cap that is not cleared would outlive its budget.
        servers.max_per_endpoint = fleet.max_connections(now);
        if !fleet.is_limited() {
            return;
        }
        if let Some(most) = servers.max_per_endpoint {
            servers.trim(most, turn);
        }
        let (connections, out) = servers.max_connection_counts();
        fleet.set_held(connections, out, alone);
    }

    fn handle_fleet_events(&mut self, events: Vec<FleetEvent>) {
        for event in events {
            match event {
                FleetEvent::Settings(version, text) => self.apply_agreed_settings(version, &text),
                FleetEvent::Observations(observations) => self.apply_observations(&observations),
                FleetEvent::OutOfService(out_of_service) => self.update_out_of_service(out_of_service),
                FleetEvent::DrainDecision(decision) => self.handle_drain_decision(&decision),
                FleetEvent::ReleaseDrain(true) if self.draining.is_none() && self.shutdown.is_none() => {
                    log::info!("a release drains this process");
                    self.drained_by_release = true;
                    self.drain();
                }
                // A process that an operator has drained stays drained.
                FleetEvent::ReleaseDrain(false)
                    if std::mem::take(&mut self.drained_by_release) && self.shutdown.is_none() =>
                {
                    log::info!("the release ends the drain of this process");
                    self.resume();
                }
                FleetEvent::ReleaseDrain(_) => {}
            }
        }
    }

    /// Validates settings that the fleet has agreed on as a whole, and applies them all or not at all.
    fn apply_agreed_settings(&mut self, version: Version, text: &str) {
        let settings: Result<Value, String> =
            serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"));
        let read = settings.and_then(|settings| {
            let config =
                Config::with(&self.base_config, self.config_path.clone(), &settings, &mut self.places)?;
            Ok((settings, config))
        });
        match read {
            Ok((settings, config)) => {
                log::info!("acts on settings {version} from here on");
                self.apply_config(config);
                self.fleet.iter_mut().for_each(|fleet| {
                    fleet.set_applied_settings(AgreedSettings { version, settings: settings.clone() })
                });
            }
            Err(what) => {
                log::warn!("agreed settings {version} are invalid here, keeping the current ones: {what}");
                self.fleet.iter_mut().for_each(Fleet::count_invalid_settings);
            }
        }
    }

    /// Replaces the set of endpoints that are out of service. Changes are passed to the balancer like updates of the
    /// list.
    fn update_out_of_service(&mut self, out_of_service: Vec<String>) {
        self.out_of_service_known = true;
        self.set_out_of_service(out_of_service.into_iter().collect());
    }

    /// Replaces the set, whoever has told it.
    pub(super) fn set_out_of_service(&mut self, out_of_service: HashSet<String>) {
        let changed: Vec<String> =
            self.out_of_service.symmetric_difference(&out_of_service).cloned().collect();
        log::info!(
            "endpoints out of service: {}",
            if out_of_service.is_empty() { "none".to_string() } else { sorted(&out_of_service).join(", ") }
        );
        self.out_of_service = out_of_service;
        self.balancer.list_begin(false);
        for name in changed {
            if let (Some(endpoint), Some(entry)) = (self.endpoints.find(&name), self.entries.get(&name)) {
                let entry = apply_fleet_state(*entry, self.out_of_service.contains(&name));
                self.balancer.list_entry(self.turn.now, endpoint, entry);
            }
        }
        self.balancer.list_end(self.turn.now);
        self.write_list();
    }

    /// Applies the outcomes that other members observed. The balancer decides how much weight they have.
    fn apply_observations(&mut self, observations: &[RelayedObservation]) {
        let outcomes = observations.iter().filter_map(|RelayedObservation { observation, .. }| {
            Some((
                observation.endpoint,
                observation.method,
                evidence::outcome_from_code(observation.outcome)?,
                f64::from(observation.budget_fraction),
            ))
        });
        let reports: Vec<_> = self.to_reports(outcomes).collect();
        self.balancer.apply_fleet_outcomes(self.turn.now, &reports);
    }
}

fn sorted(names: &HashSet<String>) -> Vec<&str> {
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.sort_unstable();
    names
}
