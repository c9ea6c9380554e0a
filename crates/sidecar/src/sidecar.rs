//! The event loop. Each turn polls, reads the clock once, passes the events to the balancer, and carries out its
//! decisions until there are none left.

mod process;
mod recheck;
mod requests;
mod siblings;

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use appledyke::ids::{self, Names, Places};
use appledyke::reports::AttemptReport;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState as EndpointStanding, Entry, Outcome, RequestInfo};
use mio::{Events, Interest, Poll};
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;

use crate::clock::Clock;
use crate::config::{Config, Precedence, ReloadIdentity, StartupConfig};
use crate::fleet::{AgreedSettings, Fleet, FleetEvent, PlannedAttempt};
use crate::handover::{self, RecentAttempts};
use crate::metrics::{Metrics, RequestEnd, Sampled, StreamAbort};
use crate::net::body::{Body, Piece};
use crate::net::clients::{ClientEvent, ClientState, Clients};
use crate::net::connection::AttemptResult;
use crate::net::deadlines::{Deadlines, Due};
use crate::net::discovery::schedule::Callers;
use crate::net::discovery::{self, DiscoveryClient, ReceivedList};
use crate::net::http::{Frame, Length};
use crate::net::operator::{self, Command, Operators};
use crate::net::servers::{ActiveAttempt, EndedAttempt, OutgoingRequest, PROBE, Servers};
use crate::net::slots::{Key, Peer, Slots};
use crate::net::{Turn, http};
use crate::presence::{Presence, ProcessState, Siblings};
use crate::sent_ids::{IdHash, SentIds};
use crate::shadow::ShadowedBalancer;
use crate::shared_list::ListFile;
use crate::trace::EndpointStates;
use recheck::RecheckQueue;
use siblings::SharedLists;

/// Event capacity for the fixed sources (listeners, signals, discovery), in addition to one event per possible
/// connection. Danger: events that do not fit wait for the next poll, and decisions are made without them.
const FIXED_SOURCE_EVENTS: usize = 512;
/// How long a turn may go on with clients that have more input than they may use at once. Danger: clients that send at
/// full speed always have more, and all others would wait for them.
const MAX_RECHECK_TIME: Span = Span::from_millis(5);
/// Longest time between the arrival of a client's close at this machine and the start of an attempt made for that
/// client.
pub const MAX_SEND_AFTER_CLOSE: Span = Span::from_millis(100);
/// Age from which the known client disconnects are refreshed before an attempt begins, as a turn may take long. The
/// rest of `MAX_SEND_AFTER_CLOSE` covers the single decision or event between that refresh and the write.
pub const MAX_DISCONNECT_AGE: Span = Span::from_millis(20);
const _: () = assert!(4 * MAX_DISCONNECT_AGE.nanos() < MAX_SEND_AFTER_CLOSE.nanos());
/// Longest wait of one poll. What a poll reports may have been there since the poll before it began, so this bounds by
/// how much the age of input is overestimated.
const MAX_POLL: Span = Span::from_millis(20);
/// Age from which unread input may hide a close for too long, so that nothing more is sent for its client.
const MAX_UNREAD_AGE: Span = Span::from_millis(60);
const _: () = assert!(2 * MAX_POLL.nanos() + MAX_DISCONNECT_AGE.nanos() <= MAX_UNREAD_AGE.nanos());
const _: () = assert!(MAX_UNREAD_AGE.nanos() + MAX_DISCONNECT_AGE.nanos() < MAX_SEND_AFTER_CLOSE.nanos());
/// A turn that takes at least this long, in milliseconds, is logged: operators wait one second at most.
const LONG_TURN_MS: u64 = 250;
/// Time allowed after the shutdown deadline for the last responses to be written.
const SHUTDOWN_LAST_WRITES: Span = Span::from_millis(150);
/// Time allowed after the shutdown deadline for streamed responses that have already begun.
const SHUTDOWN_STREAMING: Span = Span::from_millis(30_000);

/// State of a request, kept until no further event can concern it.
struct Request {
    method: usize,
    /// When it arrived.
    since: Moment,
    /// The client waiting for the response; `None` once it is answered or has disconnected.
    client: Option<Key>,
    /// The connection of each attempt while that is in flight.
    attempts: Vec<Option<Key>>,
    /// Outcome of its last attempt.
    last_outcome: Option<Outcome>,
    /// The hash of its id, if it must not run twice.
    unrepeatable_id: Option<IdHash>,
    /// An attempt that has ended may have run.
    may_have_run: bool,
    /// The client's request id; empty unless individual requests are logged.
    id: String,
}

pub struct Sidecar {
    /// The configuration file.
    config_path: PathBuf,
    /// What a reloaded file must share with the current one, and the settings that only a restart changes.
    reload_identity: ReloadIdentity,
    startup: StartupConfig,
    poll: Poll,
    /// Events received during a turn, to be handled in the next one; and when the last poll began: everything that
    /// had arrived by then is known.
    deferred_events: Vec<Peer>,
    last_poll: Moment,
    /// When the poll began whose events were handled last.
    handled_poll: Moment,
    signals: Signals,
    clock: Clock,
    turn: Turn,
    balancer: ShadowedBalancer,
    requests: Slots<Request>,
    endpoints: Names,
    places: Places,
    clients: Clients,
    servers: Servers,
    list: DiscoveryClient,
    /// Clients whose next request may already be in the buffer.
    clients_to_recheck: RecheckQueue,
    /// Client and endpoint connections whose streamed body exceeded one turn's share and continues in the next.
    streams_to_resume: Vec<Peer>,
    operators: Option<Operators>,
    metrics: Metrics,
    /// The fleet membership, and the local configuration that the fleet's agreed settings are merged into.
    fleet: Option<Fleet>,
    base_config: Value,
    /// Admin connections waiting for the answer to a drain request.
    drain_waiters: Vec<Key>,
    /// Last known state of each endpoint, for logging changes.
    endpoint_states: EndpointStates,
    /// Endpoint entries as listed, and the endpoints that the fleet has taken out of service. Kept only as a fleet
    /// member.
    entries: HashMap<String, Entry>,
    out_of_service: HashSet<String>,
    /// The fleet has told which those are since the start.
    out_of_service_known: bool,
    /// One of the waiting admin connections asked to drain whatever the fleet answers.
    drain_forced: bool,
    started_at: Moment,
    /// The process has been able to serve at some time since the start.
    has_started: bool,
    /// Service discovery has answered since the start, and the balancer knows.
    list_confirmed: bool,
    /// Since when this process drains, on an operator's command or for a release; and whether a release asked for it.
    draining: Option<Moment>,
    drained_by_release: bool,
    /// This process's presence file, and the other processes last seen at the same address.
    presence: Option<Presence>,
    siblings: Siblings,
    /// The endpoint lists of this process and of those.
    shared_lists: SharedLists,
    /// The ids of requests that have been sent and must not run twice, shared with those processes.
    sent_ids: SentIds,
    /// Outcomes of recent attempts, shared with those processes.
    recent_attempts: RecentAttempts,
    /// This process's share of the connections allowed at this address.
    connection_share: usize,
    shutdown: Option<Shutdown>,
    /// When to check next for other processes, and for the progress of a drain or shutdown.
    sibling_check_at: Option<Moment>,
    drain_check_at: Option<Moment>,
    /// When to retry a configuration reload that found no free file descriptor.
    reload_retry_at: Option<Moment>,
}

/// Applies the fleet's view to an endpoint's entry: a ready endpoint that is out of service counts as draining.
fn apply_fleet_state(entry: Entry, out_of_service: bool) -> Entry {
    let drains = out_of_service && entry.state == EndpointStanding::Ready;
    Entry { state: if drains { EndpointStanding::Draining } else { entry.state }, ..entry }
}

/// How many instances call service discovery, and how, according to the settings.
fn discovery_callers(terms: &Terms) -> Callers {
    Callers { pushed: terms.ask_within.is_none(), instances: terms.instances }
}

/// Returns a check, evaluated when a call is about to be made, of whether the fleet's budgets allow a call to service
/// discovery.
fn may_call_list(fleet: &mut Option<Fleet>, clock: &Clock) -> impl FnOnce() -> bool {
    || fleet.as_mut().is_none_or(|fleet| fleet.may_call_list(clock.now()))
}

/// A graceful shutdown: when it began, and by when all requests must be answered.
#[derive(Clone, Copy)]
struct Shutdown {
    since: Moment,
    until: Moment,
    /// Another process serves this address.
    has_successor: bool,
}

impl Sidecar {
    pub fn start(config: Config, places: Places) -> Result<Sidecar, String> {
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
        let registered = poll.registry().register(&mut signals, Peer::Signal.token(), Interest::READABLE);
        registered.map_err(|e| format!("signals: {e}"))?;
        let clock = Clock::start();
        let now = clock.now();
        let registry = poll.registry().try_clone().map_err(|e| format!("poll: {e}"))?;
        let mut turn = Turn {
            now,
            registry,
            deadlines: Deadlines::default(),
            free_connections: config.startup.connections as isize,
        };
        let StartupConfig { name, listen, operator, connections, .. } = config.startup.clone();
        let clients = Clients::listen(listen, operator.is_some(), &mut turn)
            .map_err(|e| format!("listen: {listen}: {e}"))?;
        let operators =
            operator.map(|at| Operators::listen(at, &mut turn).map_err(|e| format!("operator: {at}: {e}")));
        let operators = operators.transpose()?;
        let known = discovery::version(&config.known).ok();
        let callers = discovery_callers(&config.terms);
        let pushed = callers.pushed;
        let mut sidecar = Sidecar {
            config_path: config.path,
            reload_identity: config.reload_identity,
            startup: config.startup,
            deferred_events: Vec::new(),
            last_poll: now,
            handled_poll: now,
            signals,
            clock,
            turn,
            balancer: ShadowedBalancer::new(now, config.terms, config.shadow_terms, config.seed),
            requests: Slots::default(),
            endpoints: Names::default(),
            places,
            clients,
            servers: Servers::new(config.connection_idle, config.connect_timeout),
            list: DiscoveryClient::new(
                config.discovery,
                known.map_or(0, |(version, _)| version),
                config.seed,
                callers,
            ),
            clients_to_recheck: RecheckQueue::default(),
            streams_to_resume: Vec::new(),
            operators,
            metrics: Metrics::default(),
            fleet: None,
            base_config: config.base,
            drain_waiters: Vec::new(),
            endpoint_states: EndpointStates::default(),
            entries: HashMap::new(),
            out_of_service: HashSet::new(),
            out_of_service_known: false,
            drain_forced: false,
            started_at: now,
            has_started: false,
            list_confirmed: false,
            draining: None,
            drained_by_release: false,
            presence: None,
            siblings: Siblings::default(),
            shared_lists: SharedLists::default(),
            sent_ids: SentIds::new(None),
            recent_attempts: RecentAttempts::default(),
            connection_share: connections,
            shutdown: None,
            sibling_check_at: None,
            drain_check_at: None,
            reload_retry_at: None,
            poll,
        };
        sidecar.balancer.terms().methods.iter().for_each(|method| sidecar.metrics.register(&method.name));
        if let Some(folder) = &config.folder {
            let address = sidecar.clients.address().unwrap_or(listen);
            sidecar.announce(folder, address);
        }
        if let Some(terms) = sidecar.startup.fleet.clone() {
            let fleet = Fleet::new(terms, &name, config.seed, config.agreed, &mut sidecar.turn);
            sidecar.fleet = Some(fleet);
        }
        sidecar.apply_startup_list(&config.known);
        sidecar.update_siblings();
        if pushed {
            // Where discovery pushes changes, the balancer makes no decision to subscribe.
            sidecar.subscribe();
        }
        sidecar.run_decisions();
        config.warnings.iter().for_each(|warning| log::warn!("{warning}"));
        if let Some(at) = sidecar.operators.as_ref().and_then(|operators| operators.address().ok()) {
            log::info!("{name} is asked at {at}");
        }
        sidecar.log_discovery_settings();
        log::info!("{name} listens on {}", sidecar.clients.address().unwrap_or(listen));
        Ok(sidecar)
    }

    /// Logs the settings that govern calls to service discovery.
    fn log_discovery_settings(&self) {
        let terms = self.balancer.terms();
        let ask_within = terms.ask_within.map_or("never".to_string(), |span| format!("{:.1} s", span.secs()));
        log::info!("settings: {} instances, discovery is asked within {ask_within}", terms.instances);
    }

    /// Serves until a shutdown signal, then until every accepted request is answered.
    pub fn run(mut self) -> Result<(), String> {
        // Large enough for one poll to return everything: each connection has at most one event in it.
        let mut events = Events::with_capacity(self.startup.connections + FIXED_SOURCE_EVENTS);
        loop {
            // Danger: the process may be suspended between the poll and its return, which makes the events stale. So
            // the time is taken before the poll.
            let poll_began = self.clock.now();
            self.last_poll = poll_began;
            match self.poll.poll(&mut events, Some(self.max_wait(poll_began))) {
                // Danger: an interrupted poll returns no events, so no decision may follow it, however late it is. A
                // process that was stopped and resumed would otherwise retry expired attempts for clients that have
                // disconnected.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other.map_err(|e| format!("poll: {e}"))?,
            }
            // Danger: what this poll reports may have arrived at any time since the one before it began, as the process may
            // have been suspended at any point between. Its possible age decides whether the client may have disconnected
            // behind it.
            self.clients.input_since = std::mem::replace(&mut self.handled_poll, poll_began);
            let now = self.clock.now();
            if events.is_empty() && !self.max_wait(now).is_zero() {
                continue;
            }
            self.turn.now = now;
            self.update_starting();
            // Danger: operators wait one second at most, so admin connections are served first, however much else a
            // turn brings.
            let ready: Vec<Peer> = self
                .deferred_events
                .drain(..)
                .chain(events.iter().map(|event| Peer::of(event.token())))
                .collect();
            for peer in &ready {
                match *peer {
                    Peer::Operators => self.accept_operators(),
                    Peer::Operator(key) => self.operator_ready(key),
                    _ => {}
                }
            }
            // Danger: an upstream connect and its client's disconnect may arrive in the same turn. Disconnects are
            // handled first, so that no request is written for a client that is gone.
            self.handle_disconnects(&events);
            ready.into_iter().for_each(|peer| self.handle_event(peer));
            for peer in std::mem::take(&mut self.streams_to_resume) {
                match peer {
                    Peer::Client(key) => self.forward_request(key),
                    Peer::Server(key) => self.forward_response(key),
                    _ => {}
                }
            }
            while let Some(due) = self.turn.deadlines.pop(self.turn.now) {
                self.handle_deadline(due);
            }
            self.update_member_status();
            self.run_decisions();
            if self.clients.accept_paused {
                self.accept();
                self.run_decisions();
            }
            self.trace_turn(events.iter().count());
            let expired = self.shutdown.is_some_and(|shutdown| self.shutdown_expired(shutdown));
            if expired || self.clients.is_closed() {
                self.log_shadow_counts();
                self.report_gone();
                log::info!("shutdown complete");
                return Ok(());
            }
        }
    }

    /// How long the next poll may wait: until something is due, and not at all while something waits for the next turn.
    fn max_wait(&self, now: Moment) -> Duration {
        let turn_waits = !(self.streams_to_resume.is_empty()
            && self.clients_to_recheck.is_empty()
            && self.deferred_events.is_empty());
        let until_due = self.turn.deadlines.next().map_or(MAX_POLL, |at| at.since(now).min(MAX_POLL));
        if turn_waits { Duration::ZERO } else { Duration::from_nanos(until_due.nanos()) }
    }

    /// Records how long this turn has taken, and logs it if that was long.
    fn trace_turn(&mut self, events: usize) {
        let took_ms = self.clock.now().since(self.turn.now).nanos() / 1_000_000;
        self.metrics.longest_turn_ms = self.metrics.longest_turn_ms.max(took_ms);
        if took_ms >= LONG_TURN_MS {
            let waiting = self.clients_to_recheck.len();
            log::warn!(
                "a turn of the event loop took {took_ms} ms: {events} events, {waiting} clients to recheck"
            );
        }
    }

    fn handle_event(&mut self, peer: Peer) {
        match peer {
            Peer::Listener => self.accept(),
            Peer::Signal => self.handle_signals(),
            // It is looked at in its turn. Danger: a client that sends at full speed raises an event in every turn.
            Peer::Client(key) if self.waits_for_recheck(key) => {}
            Peer::Client(key) => self.client_ready(key),
            Peer::Server(key) => self.server_ready(key),
            Peer::Discovery(key) => self.list_ready(key),
            Peer::Fleet(key) => self.fleet_ready(key),
            // Already handled at the start of the turn.
            Peer::Operators | Peer::Operator(_) => {}
        }
    }

    /// Marks the clients as disconnected whose connections these events report as closed.
    fn handle_disconnects(&mut self, events: &Events) {
        for event in events.iter().filter(|event| event.is_read_closed() || event.is_error()) {
            if let Peer::Client(key) = Peer::of(event.token()) {
                self.client_closed(key);
            }
        }
    }

    /// Called before an attempt begins whose client was connected at `seen`. If both that and the last poll are too
    /// old, polls again for client disconnects; all other events wait for the next turn.
    fn refresh_disconnects(&mut self, seen: Moment) {
        let now = self.clock.now();
        if now.since(seen.max(self.last_poll)) < MAX_DISCONNECT_AGE {
            return;
        }
        let mut events = Events::with_capacity(self.startup.connections + FIXED_SOURCE_EVENTS);
        // A failure here is reported by the next turn's poll.
        if self.poll.poll(&mut events, Some(Duration::ZERO)).is_ok() {
            self.last_poll = now;
        }
        self.handle_disconnects(&events);
        self.deferred_events.extend(events.iter().map(|event| Peer::of(event.token())));
    }

    /// Whether the shutdown's last time limit has passed. Danger: exiting cuts off a streamed response, so those get
    /// a longer limit; a supervisor that cannot wait kills this process.
    fn shutdown_expired(&self, shutdown: Shutdown) -> bool {
        let last = if self.servers.forwarded_methods().next().is_some() {
            SHUTDOWN_STREAMING
        } else {
            SHUTDOWN_LAST_WRITES
        };
        self.turn.now >= shutdown.until + last
    }

    fn accept(&mut self) {
        loop {
            let brought = self.clients.accept(&mut self.turn);
            self.clients_to_recheck.extend(brought);
            let full = self.clients.accept_paused
                && (self.turn.free_connections < 0 || self.clients.lacks_descriptor);
            if !full || !self.servers.evict_idle(&mut self.turn) {
                return;
            }
        }
    }

    fn accept_operators(&mut self) {
        let mut may_make = true;
        loop {
            let accepted = self.operators.as_mut().map(|operators| operators.accept(&mut self.turn));
            let Some((taken, true)) = accepted else { return };
            // Danger: when the machine has no descriptors left, other processes take those freed here, and every idle
            // connection would be closed in vain. So room is made at most once per accepted connection.
            may_make |= taken > 0;
            if !std::mem::take(&mut may_make) || !self.make_room() {
                return;
            }
        }
    }

    /// Closes an idle connection of a client or an endpoint to free its file descriptor.
    fn make_room(&mut self) -> bool {
        let mut brought = Vec::new();
        let made =
            self.clients.evict(&mut self.turn, &mut brought) || self.servers.evict_idle(&mut self.turn);
        self.clients_to_recheck.extend(brought);
        made
    }

    fn handle_deadline(&mut self, due: Due) {
        let (now, turn) = (self.turn.now, &mut self.turn);
        match due {
            Due::Wake => self.balancer.wake(now),
            Due::Client(key) => {
                let said = self.clients.timed_out(key, turn);
                self.handle_client(key, said);
            }
            Due::Server(key) if self.servers.forwarding_to(key).is_some() => {
                self.abort_response(key, StreamAbort::EndpointSilent)
            }
            Due::Server(key) => {
                let ended = self.servers.timed_out(key, turn);
                self.attempt_ended(key, ended);
            }
            Due::Discovery => {
                let may = may_call_list(&mut self.fleet, &self.clock);
                let failed = self.list.timed_out(may, turn);
                let failed = self.retry_list_call() || failed;
                self.handle_list_failure(failed);
            }
            Due::Accept => self.accept(),
            Due::TurnAway => self.advance_drain(),
            Due::OtherProcesses => self.check_siblings(),
            Due::Fleet => self.fleet_timer(),
            Due::Operators => self.accept_operators(),
            Due::Settings => self.reload_config(),
            Due::Operator(key) => self.operators.iter_mut().for_each(|o| o.timed_out(key, turn)),
        }
    }

    fn list_ready(&mut self, key: Key) {
        let mut lists = Vec::new();
        let failed = self.list.ready(key, &mut self.turn, |received| lists.push(received));
        lists.into_iter().for_each(|received| self.apply_received_list(&received));
        self.confirm_list();
        self.handle_list_failure(failed);
    }

    /// Tells the balancer once that service discovery has answered since the start.
    fn confirm_list(&mut self) {
        if self.list_confirmed || !self.list.has_answered() {
            return;
        }
        self.list_confirmed = true;
        let after = self.turn.now.since(self.started_at).secs() * 1e3;
        log::info!("list confirmed {after:.0} ms after the start");
        self.balancer.list_confirmed();
        self.set_list_source(self.list.version(), true);
        self.write_list();
    }

    /// Handles a call to service discovery that may have failed, possibly in the middle of a line.
    fn handle_list_failure(&mut self, failed: bool) {
        if let Some(list) = self.list.take_salvaged() {
            self.apply_list(false, &list);
        }
        if failed {
            self.report_failed_call();
        }
    }

    fn report_failed_call(&mut self) {
        self.list.last_failed().into_iter().for_each(|call| self.balancer.discovery_call_failed(call));
        self.balancer.list_failed(self.turn.now);
    }

    /// Applies a list that discovery has sent.
    fn apply_received_list(&mut self, received: &ReceivedList) {
        self.set_list_source(received.version, true);
        self.apply_list(received.complete, &received.list);
    }

    /// Applies an endpoint list that has been validated. Danger: the file for other processes is written before anything
    /// else shows that the list has been received, as this process may be killed at any time.
    fn apply_list(&mut self, complete: bool, list: &Value) {
        let Sidecar {
            turn,
            balancer,
            servers,
            endpoints,
            places,
            entries,
            out_of_service,
            fleet,
            endpoint_states,
            ..
        } = self;
        if complete {
            entries.clear();
        }
        endpoint_states.open();
        balancer.list_begin(complete);
        let applied = discovery::entries(list, |name, address, (zone, cell, kind), standing, started| {
            let endpoint = endpoints.index(name);
            let (zone, kind) = (places.zones.index(zone), places.kinds.index(kind));
            let mut entry =
                Entry { state: standing, started, zone, cell, kind, name_hash: ids::name_hash(name) };
            if fleet.is_some() {
                entries.insert(name.to_string(), entry);
                entry = apply_fleet_state(entry, out_of_service.contains(name));
            }
            endpoint_states.observe(endpoint, standing);
            balancer.list_entry(turn.now, endpoint, entry);
            if let Some(address) = address {
                servers.set_address(endpoint, address, started, turn);
            }
        });
        balancer.list_end(turn.now);
        let changes = endpoint_states.close(complete, |endpoint| endpoints.name(endpoint));
        self.write_list();
        if let Some(changes) = changes {
            log::info!("list version {}: {changes}", list["index"]);
        }
        if let Err(what) = applied {
            log::warn!("list: {what}");
        }
    }

    /// Carries out the balancer's decisions, and looks once at each client whose next request may have come, for as long
    /// as `MAX_RECHECK_TIME` allows.
    fn run_decisions(&mut self) {
        self.run_decisions_until(Some(self.clock.now() + MAX_RECHECK_TIME));
    }

    /// The same, with this time limit for the clients, if there is one.
    fn run_decisions_until(&mut self, limit: Option<Moment>) {
        self.execute_decisions();
        for _ in 0..self.clients_to_recheck.len() {
            let Some(key) = self.clients_to_recheck.pop() else { return };
            if self.clients.has_pending_input(key) {
                self.client_ready(key);
                self.execute_decisions();
            }
            if limit.is_some_and(|limit| self.clock.now() >= limit) {
                return;
            }
        }
    }

    fn execute_decisions(&mut self) {
        while let Some(decision) = self.balancer.next_decision(self.turn.now) {
            self.execute(decision);
        }
    }

    /// Whether a client has a place in the queue of those that may hold a request.
    fn waits_for_recheck(&self, client: Key) -> bool {
        self.clients_to_recheck.contains(client) && self.clients.has_pending_input(client)
    }

    fn subscribe(&mut self) {
        let may = may_call_list(&mut self.fleet, &self.clock);
        let failed = self.list.start_watch(may, &mut self.turn);
        if self.retry_list_call() || failed {
            self.report_failed_call();
        }
    }

    /// Retries a call to service discovery that found no descriptor, after closing an idle connection. Returns
    /// whether it failed at once.
    fn retry_list_call(&mut self) -> bool {
        self.list.lacks_descriptor && self.make_room() && self.list.retry_call(&mut self.turn)
    }
}
