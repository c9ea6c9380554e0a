//! The loop: poll, take the time once, feed what was heard, pull decisions until there is none, write.

mod process;
mod requests;

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use appledyke::ids::{self, Names, Places};
use appledyke::reports::AttemptReport;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState as EndpointStanding, Entry, Outcome, RequestInfo};
use mio::{Events, Interest, Poll};
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;

use crate::figures::{End, Figures, Now};
use crate::fleet::{Agreed, Fleet, News, Wish};
use crate::handover::{self, Latest};
use crate::launch::{Fixed, Kept, Launch, Winner};
use crate::net::body::{Body, Piece};
use crate::net::clients::{Clients, Said, Sight};
use crate::net::connection::Ending;
use crate::net::deadlines::{Deadlines, Due};
use crate::net::http::{Frame, Length};
use crate::net::list::schedule::Callers;
use crate::net::list::{self, List};
use crate::net::operator::{self, Call, Operators};
use crate::net::servers::{Carried, Ended, Message, PROBE, Servers};
use crate::net::slots::{Key, Peer, Slots};
use crate::net::{Turn, http};
use crate::presence::{Others, Presence, Standing};
use crate::trace::EndpointStates;
use crate::watch::Decider;

/// Events that one poll brings beside one of each connection that there may be: the fixed peers' own. Danger: of what a
/// poll leaves for the next, decisions know nothing.
const EVENTS_MORE: usize = 512;
/// Requests that may have come already and are looked at in one turn, before others have theirs: well over what a turn
/// brings, and some milliseconds.
const LOOKS_MOST: usize = 256;
/// Longest from the close of a client that has reached this machine to an attempt that still begins for it.
pub const GONE_MOST: Span = Span::from_millis(100);
/// Age, at an attempt's beginning, from which what is known of clients that leave is looked up anew; a turn may take long.
/// The rest of `GONE_MOST` is for the one decision, or the one event, that comes between such a look and the write.
pub const LOOK_MOST: Span = Span::from_millis(20);
const _: () = assert!(4 * LOOK_MOST.nanos() < GONE_MOST.nanos());
/// A poll that took as long has waited for what it brings, so that came at its end.
const POLL_WAITED: Span = Span::from_millis(1);
const _: () = assert!(POLL_WAITED.nanos() < LOOK_MOST.nanos());
/// Time in which last answers go out.
const LEAVE_LAST: Span = Span::from_millis(150);
/// Time in which long answers that have begun may go on.
const LEAVE_PASSING: Span = Span::from_millis(30_000);

/// A clock that only advances, started at the machine's time: the list tells starts by that.
struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    fn now(&self) -> Moment {
        Moment::from_nanos((self.unix + self.start.elapsed()).as_nanos() as u64)
    }
}

/// For one request, until nothing more can be heard of it.
struct Request {
    method: usize,
    /// When it came.
    since: Moment,
    /// Who waits for the answer; none once it is given or the client has gone.
    client: Option<Key>,
    /// The connections of its attempts, as long as they are out.
    attempts: Vec<Option<Key>>,
    /// How its last attempt ended.
    last_outcome: Option<Outcome>,
    /// What its client calls it; empty where single requests are not logged.
    id: String,
}

pub struct Sidecar {
    /// What configures it.
    file: PathBuf,
    /// What a later file must have of the one taken last, and what of that the start has fixed.
    kept: Kept,
    fixed: Fixed,
    poll: Poll,
    /// Events that came within a turn, to be handled in the next. All that had come by this moment is known.
    later: Vec<Peer>,
    looked: Moment,
    signals: Signals,
    clock: Clock,
    turn: Turn,
    balancer: Decider,
    requests: Slots<Request>,
    endpoints: Names,
    places: Places,
    clients: Clients,
    servers: Servers,
    list: List,
    /// Clients whose next request may have come already.
    look_again: Vec<Key>,
    /// Connections with more to pass on than a turn may take up: of clients, and of endpoints.
    pass_again: Vec<Peer>,
    operators: Option<Operators>,
    figures: Figures,
    /// The fleet that it is a member of, and the file below what is agreed there.
    fleet: Option<Fleet>,
    base: Value,
    /// Operators who wait to hear whether it drains.
    drainers: Vec<Key>,
    /// How the list's endpoints stood last, for the log.
    states: EndpointStates,
    /// What the list says of endpoints, and which of them the fleet has out of service: kept where there is a fleet.
    entries: HashMap<String, Entry>,
    outs: HashSet<String>,
    /// One of them insists.
    insists: bool,
    started: Moment,
    /// The list's service has been heard since the start.
    list_heard: bool,
    /// Since when clients are turned away by an operator's word, or by that of a release.
    draining: Option<Moment>,
    sent_out: bool,
    /// What other processes at this address see of this one, and what it saw of them last.
    presence: Option<Presence>,
    others: Others,
    /// What is handed over to these.
    latest: Latest,
    /// This process's part of the connections that there may be at this address.
    part: usize,
    leaving: Option<Leaving>,
    /// When it is looked next for other processes, and how far draining or leaving has come.
    others_at: Option<Moment>,
    away_at: Option<Moment>,
    /// When its file is read again, for which there was no descriptor.
    read_at: Option<Moment>,
}

/// An endpoint's entry as the fleet has it: one that is out of service drains, by the module's own rule.
fn in_service(entry: Entry, out: bool) -> Entry {
    let drains = out && entry.state == EndpointStanding::Ready;
    Entry { state: if drains { EndpointStanding::Draining } else { entry.state }, ..entry }
}

/// Who calls the service that tells the list, as the settings have it.
fn callers(terms: &Terms) -> Callers {
    Callers { pushed: terms.ask_within.is_none(), instances: terms.instances }
}

/// Whether the fleet's budgets allow a call to the list's service, asked when one is to be made.
fn may_call_list(fleet: &mut Option<Fleet>, clock: &Clock) -> impl FnOnce() -> bool {
    || fleet.as_mut().is_none_or(|fleet| fleet.may_call_list(clock.now()))
}

/// Since when it leaves, and by when all must be answered.
#[derive(Clone, Copy)]
struct Leaving {
    since: Moment,
    until: Moment,
    /// Another process serves this address.
    succeeded: bool,
}

impl Sidecar {
    pub fn start(launch: Launch, places: Places) -> Result<Sidecar, String> {
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
        let registered = poll.registry().register(&mut signals, Peer::Signal.token(), Interest::READABLE);
        registered.map_err(|e| format!("signals: {e}"))?;
        let clock = Clock {
            start: Instant::now(),
            unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        };
        let now = clock.now();
        let registry = poll.registry().try_clone().map_err(|e| format!("poll: {e}"))?;
        let mut turn =
            Turn { now, registry, deadlines: Deadlines::default(), room: launch.fixed.connections as isize };
        let Fixed { name, listen, operator, connections, .. } = launch.fixed.clone();
        let clients = Clients::listen(listen, operator.is_some(), &mut turn)
            .map_err(|e| format!("listen: {listen}: {e}"))?;
        let operators =
            operator.map(|at| Operators::listen(at, &mut turn).map_err(|e| format!("operator: {at}: {e}")));
        let operators = operators.transpose()?;
        let known = list::version(&launch.known).ok();
        let callers = callers(&launch.terms);
        let unasked = callers.pushed;
        let mut sidecar = Sidecar {
            file: launch.path,
            kept: launch.kept,
            fixed: launch.fixed,
            later: Vec::new(),
            looked: now,
            signals,
            clock,
            turn,
            balancer: Decider::new(now, launch.terms, launch.watched, launch.seed),
            requests: Slots::default(),
            endpoints: Names::default(),
            places,
            clients,
            servers: Servers::new(launch.connection_idle, launch.connect_timeout),
            list: List::new(launch.discovery, known.map_or(0, |(version, _)| version), launch.seed, callers),
            look_again: Vec::new(),
            pass_again: Vec::new(),
            operators,
            figures: Figures::default(),
            fleet: None,
            base: launch.base,
            drainers: Vec::new(),
            states: EndpointStates::default(),
            entries: HashMap::new(),
            outs: HashSet::new(),
            insists: false,
            started: now,
            list_heard: false,
            draining: None,
            sent_out: false,
            presence: None,
            others: Others::default(),
            latest: Latest::default(),
            part: connections,
            leaving: None,
            others_at: None,
            away_at: None,
            read_at: None,
            poll,
        };
        sidecar.balancer.terms().methods.iter().for_each(|method| sidecar.figures.offer(&method.name));
        if let Some(folder) = &launch.folder {
            let at = sidecar.clients.address().unwrap_or(listen);
            match Presence::announce(folder, at, std::process::id()) {
                Ok(presence) => sidecar.presence = Some(presence),
                Err(e) => log::warn!(
                    "TMPDIR: {}: {e}; another process at this address goes unseen",
                    folder.display()
                ),
            }
            sidecar.look_at_others();
        }
        if let Some(terms) = sidecar.fixed.fleet.clone() {
            let fleet = Fleet::new(terms, &name, launch.seed, launch.agreed, &mut sidecar.turn);
            sidecar.fleet = Some(fleet);
        }
        if known.is_some() {
            sidecar.listed(true, &launch.known);
        }
        if unasked {
            // Where changes are told unasked, nothing will be decided about asking.
            sidecar.subscribe();
        }
        sidecar.decide();
        launch.unmet.iter().for_each(|unmet| log::warn!("{unmet}"));
        if let Some(at) = sidecar.operators.as_ref().and_then(|operators| operators.address().ok()) {
            log::info!("{name} is asked at {at}");
        }
        sidecar.log_terms();
        log::info!("{name} listens on {}", sidecar.clients.address().unwrap_or(listen));
        Ok(sidecar)
    }

    /// Logs the settings by which the calls to discovery are judged.
    fn log_terms(&self) {
        let terms = self.balancer.terms();
        let ask_within = terms.ask_within.map_or("never".to_string(), |span| format!("{:.1} s", span.secs()));
        log::info!("settings: {} instances, discovery is asked within {ask_within}", terms.instances);
    }

    /// Serves until it has been told to leave and has answered all that it had taken.
    pub fn run(mut self) -> Result<(), String> {
        // One poll brings all that there is: no connection has more than one event in it.
        let mut events = Events::with_capacity(self.fixed.connections + EVENTS_MORE);
        loop {
            // Danger: a process may stand still on its way back from the poll, and what that has told is old by then.
            self.looked = self.clock.now();
            let wait =
                self.turn.deadlines.next().map(|at| Duration::from_nanos(at.since(self.looked).nanos()));
            let at_once =
                !(self.pass_again.is_empty() && self.look_again.is_empty() && self.later.is_empty());
            match self.poll.poll(&mut events, if at_once { Some(Duration::ZERO) } else { wait }) {
                // Danger: a wait that was cut short has heard nothing, so nothing may be decided on it, however late it is
                // by now: a process that was stopped would repeat what ran out meanwhile for clients that have left.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other.map_err(|e| format!("poll: {e}"))?,
            }
            let last = std::mem::replace(&mut self.turn.now, self.clock.now());
            // Danger: what was there before the poll may have come at any time since the one before, or while the process
            // stood still, and how old it is tells whether its client may have left behind it.
            let waited = self.turn.now.since(self.looked) >= POLL_WAITED;
            self.clients.came_since = if waited { self.turn.now } else { last };
            // Danger: who is on call waits a second at the most, however much else a turn brings.
            let came: Vec<Peer> =
                self.later.drain(..).chain(events.iter().map(|event| Peer::of(event.token()))).collect();
            for peer in &came {
                match *peer {
                    Peer::Operators => self.accept_operators(),
                    Peer::Operator(key) => self.operator_ready(key),
                    _ => {}
                }
            }
            // Danger: a connect that comes up before its client leaves, and in the same turn, would write for nobody.
            self.clients_leave(&events);
            came.into_iter().for_each(|peer| self.ready(peer));
            for peer in std::mem::take(&mut self.pass_again) {
                match peer {
                    Peer::Client(key) => self.pass_up(key),
                    Peer::Server(key) => self.pass_down(key),
                    _ => {}
                }
            }
            while let Some(due) = self.turn.deadlines.pop(self.turn.now) {
                self.due(due);
            }
            self.stand();
            self.decide();
            if self.clients.held_back {
                self.accept();
                self.decide();
            }
            let over = self.leaving.is_some_and(|leaving| self.all_over(leaving));
            if over || self.clients.none_left() {
                self.tell_watch();
                self.farewell();
                log::info!("left with all answered");
                return Ok(());
            }
        }
    }

    fn ready(&mut self, peer: Peer) {
        match peer {
            Peer::Listener => self.accept(),
            Peer::Signal => self.told(),
            Peer::Client(key) => self.client_ready(key),
            Peer::Server(key) => self.server_ready(key),
            Peer::List(key) => self.list_ready(key),
            Peer::Fleet(key) => self.fleet_ready(key),
            // These come first in a turn.
            Peer::Operators | Peer::Operator(_) => {}
        }
    }

    /// The clients whose end these events tell have left.
    fn clients_leave(&mut self, events: &Events) {
        for event in events.iter().filter(|event| event.is_read_closed() || event.is_error()) {
            if let Peer::Client(key) = Peer::of(event.token()) {
                self.client_leaves(key);
            }
        }
    }

    /// An attempt is about to begin whose client was there at this moment: hears which clients have left meanwhile if that,
    /// or the last look, is too old. What else has come waits for the next turn.
    fn look(&mut self, there: Moment) {
        let now = self.clock.now();
        if now.since(there.max(self.looked)) < LOOK_MOST {
            return;
        }
        let mut events = Events::with_capacity(self.fixed.connections + EVENTS_MORE);
        // What fails here is told by the next turn's poll.
        if self.poll.poll(&mut events, Some(Duration::ZERO)).is_ok() {
            self.looked = now;
        }
        self.clients_leave(&events);
        self.later.extend(events.iter().map(|event| Peer::of(event.token())));
    }

    /// Nothing is left that is worth staying for. Danger: what an endpoint still gives of a long answer would be cut
    /// off; whoever cannot wait for it ends this process.
    fn all_over(&self, leaving: Leaving) -> bool {
        let last = if self.servers.passing().next().is_some() { LEAVE_PASSING } else { LEAVE_LAST };
        self.turn.now >= leaving.until + last
    }

    fn accept(&mut self) {
        loop {
            let brought = self.clients.accept(&mut self.turn);
            self.look_again.extend(brought);
            let full = self.clients.held_back && (self.turn.room < 0 || self.clients.lacks_descriptor);
            if !full || !self.servers.make_room(&mut self.turn) {
                return;
            }
        }
    }

    fn accept_operators(&mut self) {
        let mut may_make = true;
        loop {
            let accepted = self.operators.as_mut().map(|operators| operators.accept(&mut self.turn));
            let Some((taken, true)) = accepted else { return };
            // Danger: where the machine has none left, others take what is freed here, and all would go for nothing.
            may_make |= taken > 0;
            if !std::mem::take(&mut may_make) || !self.make_room() {
                return;
            }
        }
    }

    /// Closes an idle connection, of a client or an endpoint, for a descriptor that is needed for something else.
    fn make_room(&mut self) -> bool {
        let mut brought = Vec::new();
        let made =
            self.clients.make_room(&mut self.turn, &mut brought) || self.servers.make_room(&mut self.turn);
        self.look_again.extend(brought);
        made
    }

    fn due(&mut self, due: Due) {
        let (now, turn) = (self.turn.now, &mut self.turn);
        match due {
            Due::Wake => self.balancer.wake(now),
            Due::Client(key) => {
                let said = self.clients.timed_out(key, turn);
                self.said(key, said);
            }
            Due::Server(key) if self.servers.passes(key).is_some() => self.break_off(key),
            Due::Server(key) => {
                let ended = self.servers.timed_out(key, turn);
                self.ended(key, ended);
            }
            Due::List => {
                let may = may_call_list(&mut self.fleet, &self.clock);
                let failed = self.list.timed_out(may, turn);
                let failed = self.call_list_again() || failed;
                self.list_failed(failed);
            }
            Due::Accept => self.accept(),
            Due::Away => self.away_further(),
            Due::Others => self.look_at_others(),
            Due::Fleet => self.fleet_due(),
            Due::Operators => self.accept_operators(),
            Due::Settings => self.read_again(),
            Due::Operator(key) => self.operators.iter_mut().for_each(|o| o.timed_out(key, turn)),
        }
    }

    fn list_ready(&mut self, key: Key) {
        let mut lists = Vec::new();
        let failed = self.list.ready(key, &mut self.turn, |complete, list| lists.push((complete, list)));
        for (complete, list) in lists {
            self.list_heard = true;
            self.listed(complete, &list);
        }
        self.list_failed(failed);
    }

    /// A call to the list may have failed, and within a line.
    fn list_failed(&mut self, failed: bool) {
        if let Some(list) = self.list.take_salvaged() {
            self.listed(false, &list);
        }
        if failed {
            self.balancer.list_failed(self.turn.now);
        }
    }

    /// A list that has been found readable.
    fn listed(&mut self, complete: bool, list: &Value) {
        let Sidecar { turn, balancer, servers, endpoints, places, entries, outs, fleet, states, .. } = self;
        if complete {
            entries.clear();
        }
        states.open();
        balancer.list_begin(complete);
        let told = list::entries(list, |name, address, (zone, cell, kind), standing, started| {
            let endpoint = endpoints.index(name);
            let (zone, kind) = (places.zones.index(zone), places.kinds.index(kind));
            let mut entry =
                Entry { state: standing, started, zone, cell, kind, name_hash: ids::name_hash(name) };
            if fleet.is_some() {
                entries.insert(name.to_string(), entry);
                entry = in_service(entry, outs.contains(name));
            }
            states.observe(endpoint, standing);
            balancer.listed(turn.now, endpoint, entry);
            if let Some(address) = address {
                servers.place(endpoint, address, started, turn);
            }
        });
        balancer.list_end(turn.now);
        if let Some(changes) = states.close(complete, |endpoint| endpoints.name(endpoint)) {
            log::info!("list version {}: {changes}", list["index"]);
        }
        if let Err(what) = told {
            log::warn!("list: {what}");
        }
    }

    fn decide(&mut self) {
        let mut looks = 0;
        loop {
            while let Some(decision) = self.balancer.next_decision(self.turn.now) {
                self.carry_out(decision);
            }
            // Danger: a client that asks again at once, and is answered at once, would keep all others waiting.
            if self.look_again.is_empty() || looks == LOOKS_MOST {
                return;
            }
            let key = self.look_again.remove(0);
            if self.clients.has_more(key) {
                looks += 1;
                self.client_ready(key);
            }
        }
    }

    fn subscribe(&mut self) {
        let may = may_call_list(&mut self.fleet, &self.clock);
        let failed = self.list.watch(may, &mut self.turn);
        if self.call_list_again() || failed {
            self.balancer.list_failed(self.turn.now);
        }
    }

    /// A call to the list for which there was no descriptor is made on that of an idle connection. Returns whether it
    /// failed at once.
    fn call_list_again(&mut self) -> bool {
        self.list.lacks_descriptor && self.make_room() && self.list.call_again(&mut self.turn)
    }
}
