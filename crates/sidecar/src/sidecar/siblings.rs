//! Other processes at this address, as in a hot restart: who there is, and what they and this process tell one another. What
//! service discovery has told one process at an address, the others know too.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::Path;

use appledyke::list_lease::SharedLease;

use super::*;
use crate::handover::LeaseStatement;
use crate::presence::FileVersion;
use crate::shared_list::{ListSource, ListedEndpoint, SharedList};

/// Interval between checks for other processes at this address.
const SIBLING_CHECK_INTERVAL: Span = Span::from_millis(300);
/// Interval between looks at the lists of those that there are: a drain that one of them hears of has to take effect here.
const LIST_CHECK_INTERVAL: Span = Span::from_millis(100);
/// File descriptors that such a check needs: the folder, and a file in it.
const SIBLING_CHECK_DESCRIPTORS: usize = 2;

/// What is known of the endpoint lists of the processes at this address.
#[derive(Default)]
pub(super) struct SharedLists {
    /// The file of this process.
    own: Option<ListFile>,
    /// Where the list of this process comes from.
    source: Option<ListSource>,
    /// The version of the list that this process was started with.
    startup_index: Option<u64>,
    /// The process whose list this one has taken over.
    taken_from: Option<String>,
    /// The lists of the others as last read.
    read: HashMap<String, ReadList>,
    /// When this process last looked who there is.
    checked_at: Moment,
    /// Where this process states its lease.
    lease: Option<File>,
}

/// A list of another process as last read.
struct ReadList {
    version: FileVersion,
    /// All of it could be read, so this process knows all that the list tells.
    intact: bool,
}

/// A list that another process has left, and under which name and version of its file.
struct LeftList {
    process: String,
    version: FileVersion,
    list: SharedList,
}

impl Sidecar {
    /// Announces this process to the others at this address, by files in this folder.
    pub(super) fn announce(&mut self, folder: &Path, address: std::net::SocketAddr) {
        match Presence::announce(folder, address, std::process::id()) {
            Ok(presence) => {
                match presence.create_ids_file() {
                    Ok(file) => self.sent_ids = SentIds::new(Some(file)),
                    Err(e) => log::warn!("TMPDIR: {}: {e}; ids are not shared", folder.display()),
                }
                match presence.create_lease_file() {
                    Ok(file) => self.shared_lists.lease = Some(file),
                    Err(e) => log::warn!("TMPDIR: {}: {e}; the list's lease is not shared", folder.display()),
                }
                self.shared_lists.own = Some(presence.list_file(&self.startup.name));
                self.presence = Some(presence);
            }
            Err(e) => log::warn!(
                "TMPDIR: {}: {e}; another process at this address cannot be detected",
                folder.display()
            ),
        }
    }

    /// Applies the list that this process starts with: the one it was configured with, or that of another process at this
    /// address, which may have ended.
    pub(super) fn apply_startup_list(&mut self, configured: &Value) {
        self.shared_lists.startup_index = discovery::version(configured).ok().map(|(version, _)| version);
        let inherited = self.inherited_list();
        match (inherited, self.shared_lists.startup_index) {
            (Some(LeftList { process, version, list }), _) => {
                self.shared_lists.read.insert(process.clone(), ReadList { version, intact: list.intact });
                self.take_over_out_of_service(&list);
                self.take_over_list(&process, &list);
            }
            (None, Some(index)) => {
                self.set_list_source(index, false);
                self.apply_list(true, configured);
            }
            (None, None) => return,
        }
        self.balancer.list_from_startup(self.turn.now);
    }

    /// The newest list that another process has left, if it is to be used in place of the configured one.
    fn inherited_list(&self) -> Option<LeftList> {
        let presence = self.presence.as_ref()?;
        let mut processes = presence.left_files().lists;
        // Danger: the ids of processes are used again, so an earlier process may have left a list under this one's name.
        processes.push(presence.own_name().to_string());
        let running = presence.siblings().unwrap_or_default();
        let read = |process: String| {
            let (version, text) = presence.read_list(&process, None).ok()??;
            let list = SharedList::decode(&text, &self.startup.name)?;
            Some(LeftList { process, version, list })
        };
        let configured = self.shared_lists.startup_index.map(|index| self.list_source(index, false));
        let replaces = |left: &LeftList| {
            let source = left.list.source;
            let applies = running.has(&left.process) || source.discovery == self.list.address();
            applies && configured.is_none_or(|configured| source.replaces_unconfirmed(&configured))
        };
        let lists = processes.into_iter().filter_map(read).filter(replaces);
        lists.max_by_key(|left| {
            let source = left.list.source;
            (source.confirmed, running.has(&left.process), source.index)
        })
    }

    /// The source of a list of this version at the current address.
    fn list_source(&self, index: u64, confirmed: bool) -> ListSource {
        let startup_index = self.shared_lists.startup_index;
        ListSource { discovery: self.list.address(), index, confirmed, startup_index }
    }

    /// Sets where the list of this process comes from, which it is about to apply.
    pub(super) fn set_list_source(&mut self, index: u64, confirmed: bool) {
        self.shared_lists.source = Some(self.list_source(index, confirmed));
        self.shared_lists.taken_from = None;
    }

    /// The list may be at another address from now on. Danger: its version there is not known yet, and the next process is to
    /// continue from what this one knows.
    pub(super) fn follow_list_address(&mut self) {
        let address = self.list.address();
        if let Some(source) = self.shared_lists.source.filter(|source| source.discovery != address) {
            self.shared_lists.source = Some(ListSource { discovery: address, index: 0, ..source });
            self.write_list();
        }
    }

    /// Brings the file with this process's list up to date.
    pub(super) fn write_list(&mut self) {
        let Some(source) = self.shared_lists.source else { return };
        let Some(mut file) = self.shared_lists.own.take() else { return };
        let listed: Vec<_> =
            self.balancer.known_endpoints().map(|(at, known)| (at, self.listed(at, known))).collect();
        file.update(source, &listed, |at, listed| self.list_entry(at, listed));
        self.shared_lists.own = Some(file);
    }

    /// What the file has of an endpoint.
    fn listed(&self, endpoint: usize, mut known: appledyke::KnownEndpoint) -> ListedEndpoint {
        let name = self.endpoints.name(endpoint);
        let out_of_service = self.out_of_service.contains(name);
        // The balancer has what the fleet makes of the list.
        if out_of_service && let Some(entry) = self.entries.get(name) {
            known.entry.state = entry.state;
        }
        ListedEndpoint { known, address: self.servers.address(endpoint), out_of_service }
    }

    /// An endpoint in the form of discovery's lists.
    fn list_entry(&self, endpoint: usize, listed: &ListedEndpoint) -> Value {
        let entry = listed.known.entry;
        // Without an address it can't be sent to.
        let state = if listed.address.is_some() { entry.state } else { EndpointStanding::Gone };
        serde_json::json!({
            "name": self.endpoints.name(endpoint),
            "address": listed.address.map(|address| address.to_string()),
            "zone": self.places.zones.name(entry.zone),
            "group": entry.cell,
            "type": self.places.kinds.name(entry.kind),
            "status": discovery::status_name(state),
            "since_ms": entry.started.map_or(0, |started| started.nanos() / 1_000_000),
        })
    }

    /// Checks which other processes serve this address, divides the allowed connections among them, and exchanges with them
    /// what each knows.
    pub(super) fn update_siblings(&mut self) {
        let ready = self.is_ready().starts_with("200");
        let Some(presence) = &mut self.presence else { return };
        if self.shutdown.is_some() {
            presence.set_state(ProcessState::Leaving);
        } else if ready {
            presence.set_state(ProcessState::Ready);
        }
        let left = presence.left_files();
        let mut found = presence.siblings();
        for _ in 0..SIBLING_CHECK_DESCRIPTORS {
            if found.is_ok() || !self.make_room() {
                break;
            }
            found = self.presence.as_ref().map_or(Ok(Siblings::default()), Presence::siblings);
        }
        let all_found = found.is_ok();
        // If the check fails, the previous result is kept.
        let siblings = found.unwrap_or_else(|_| self.siblings.clone());
        if siblings.count() != self.siblings.count() {
            log::info!("other processes at this address: {}", siblings.count());
        }
        let share = self.startup.connections / (1 + siblings.count());
        self.turn.free_connections +=
            share as isize - std::mem::replace(&mut self.connection_share, share) as isize;
        self.clients.resize(share);
        self.siblings = siblings;
        if let Some(presence) = &self.presence {
            let taken = presence.take_ids(&left.ids, &self.siblings);
            taken.into_iter().for_each(|id| self.sent_ids.insert(id));
        }
        // After a write that failed.
        if self.shared_lists.own.as_ref().is_some_and(|own| !own.is_current()) {
            self.write_list();
        }
        self.state_lease();
        self.write_message();
        self.read_messages(&left.lists);
        if all_found {
            self.remove_lists(&left.lists);
        }
        self.shared_lists.checked_at = self.turn.now;
        self.schedule_sibling_check();
    }

    /// Looks at the lists of the other processes at this address, and from time to time for who there is.
    pub(super) fn check_siblings(&mut self) {
        if self.turn.now.since(self.shared_lists.checked_at) >= SIBLING_CHECK_INTERVAL {
            return self.update_siblings();
        }
        for process in self.siblings.names().to_vec() {
            self.read_list(&process);
        }
        self.schedule_sibling_check();
    }

    /// Schedules the next look at the other processes: sooner while there are any.
    fn schedule_sibling_check(&mut self) {
        let interval = if self.siblings.count() > 0 { LIST_CHECK_INTERVAL } else { SIBLING_CHECK_INTERVAL };
        self.turn.deadlines.reschedule(
            Due::OtherProcesses,
            &mut self.sibling_check_at,
            Some(self.turn.now + interval),
        );
    }

    /// Tells the other processes at this address the outcomes of recent attempts.
    fn write_message(&mut self) {
        if let Some(presence) = self.presence.as_ref().filter(|_| self.siblings.count() > 0) {
            presence.write_message(&self.recent_attempts.encode(self.turn.now));
        }
    }

    /// States until when the list in this process's file may be used, also for a process that is about to start.
    fn state_lease(&mut self) {
        let now = self.turn.now;
        // Danger: the lease is on the list in the file.
        let written = self.shared_lists.own.as_ref().is_some_and(ListFile::is_current);
        let lease = self.balancer.shared_lease(now, self.list.last_current());
        let lease = if written { lease } else { SharedLease::default() };
        let statement = LeaseStatement { discovery: self.list.address(), lease }.encode(&self.clock);
        // A process that can't state it is passed over by the others.
        let written = self.shared_lists.lease.as_ref().map(|file| file.write_all_at(&statement, 0));
        if let Some(Err(e)) = written {
            log::debug!("lease: {e}");
        }
    }

    /// Applies what the other processes at this address tell.
    fn read_messages(&mut self, with_lists: &[String]) {
        let now = self.turn.now;
        let Some(presence) = &self.presence else { return };
        // Danger: the leases are read before the lists, as a lease is on the list that was there when it was stated.
        let (leases, messages) =
            (presence.read_leases(&self.siblings), presence.read_messages(&self.siblings));
        for process in with_lists {
            self.read_list(process);
        }
        for (process, lease) in &leases {
            let intact = self.shared_lists.read.get(process).is_some_and(|list| list.intact);
            let stated = LeaseStatement::decode(lease, &self.clock).filter(|_| intact);
            // Danger: the process may follow the list of another service.
            if let Some(stated) = stated.filter(|stated| stated.discovery == self.list.address()) {
                self.balancer.take_over_lease(now, stated.lease);
            }
        }
        if messages.is_empty() {
            return;
        }
        let attempts: Vec<_> =
            messages.iter().flat_map(|message| self.recent_attempts.decode_new(message, now)).collect();
        let outcomes = attempts.into_iter().map(
            |handover::AttemptRecord { endpoint, method, outcome, budget_fraction, .. }| {
                (endpoint, method, outcome, budget_fraction)
            },
        );
        let reports: Vec<_> = self.to_reports(outcomes).collect();
        self.balancer.apply_sibling_outcomes(now, &reports);
    }

    /// Reads the list of another process if it has changed, and takes over what is newer there.
    fn read_list(&mut self, process: &str) {
        let Some(presence) = &self.presence else { return };
        let last = self.shared_lists.read.get(process).map(|list| list.version);
        let (version, list) = match presence.read_list(process, last) {
            Ok(Some((version, text))) => (version, SharedList::decode(&text, &self.startup.name)),
            Ok(None) => return,
            Err(_) => {
                self.shared_lists.read.remove(process);
                return;
            }
        };
        let intact = list.as_ref().is_some_and(|list| list.intact);
        if let Some(list) = list {
            self.take_over_out_of_service(&list);
            self.merge_list(process, &list);
        }
        self.shared_lists.read.insert(process.to_string(), ReadList { version, intact });
    }

    /// Takes over a list of another process, or what it has of a list that this process has too.
    fn merge_list(&mut self, process: &str, list: &SharedList) {
        let same_service = list.source.discovery == self.list.address();
        // Danger: what a process has left that followed another service may be of any age.
        if !same_service && !self.siblings.has(process) {
            return;
        }
        let Some(own) = self.shared_lists.source else { return self.take_over_list(process, list) };
        let replaces = if self.list_confirmed {
            list.source.confirmed && same_service && list.source.index > own.index
        } else {
            let changed = self.shared_lists.taken_from.as_deref() == Some(process);
            changed || list.source.replaces_unconfirmed(&own)
        };
        if replaces {
            self.take_over_list(process, list);
        } else if list.source.discovery == own.discovery && list.source.index == own.index {
            // The other may have received part of the next list.
            self.apply_list(false, &list.stopped());
        }
    }

    /// Replaces this process's list by another's: first what came before its current list, then that.
    fn take_over_list(&mut self, process: &str, list: &SharedList) {
        log::info!("list version {} is taken over from {process}", list.source.index);
        // Danger: discovery would be asked only for changes after a version of which a part is missing here.
        let index = if list.intact { list.source.index } else { 0 };
        let source = ListSource { startup_index: self.shared_lists.startup_index, ..list.source };
        self.shared_lists.taken_from = Some(process.to_string());
        self.list.continue_from(list.version_at(self.list.address()));
        self.shared_lists.source = Some(ListSource { index: 0, ..source });
        self.apply_list(false, &list.earlier());
        self.shared_lists.source = Some(ListSource { index, ..source });
        self.apply_list(true, &list.current());
    }

    /// Takes over what the fleet has taken out of service, for as long as it has not told this process itself.
    fn take_over_out_of_service(&mut self, list: &SharedList) {
        let out_of_service: HashSet<String> = list.out_of_service().into_iter().collect();
        if self.fleet.is_some() && !self.out_of_service_known && out_of_service != self.out_of_service {
            self.set_out_of_service(out_of_service);
        }
    }

    /// Removes the lists of processes that have ended, which this one knows. `with_lists` is from before the running ones were
    /// found. Danger: a process that has just started would pass for one that has ended.
    fn remove_lists(&mut self, with_lists: &[String]) {
        // Danger: were this process killed before its own file is written, the next one would not know the list.
        if !self.shared_lists.own.as_ref().is_some_and(ListFile::is_current) {
            return;
        }
        let Some(presence) = &self.presence else { return };
        for process in with_lists.iter().filter(|process| !self.siblings.has(process)) {
            // Danger: without a free descriptor a list cannot be read, and it would be lost.
            if self.shared_lists.read.remove(process).is_some() {
                presence.remove_list(process);
            }
        }
    }
}
