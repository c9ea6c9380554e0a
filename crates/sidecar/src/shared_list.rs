//! The endpoint list as one process knows it, in a file for the other processes of the same sidecar: the new one of a hot
//! restart, and the next one where the folder lasts. Without it, a process that starts while service discovery is down would
//! send to endpoints that an earlier process knew to be draining or gone.
//!
//! The file has a line for each change, the latest of an endpoint counts. A list is appended before its version, so a file
//! that ends early never claims a version whose changes it lacks.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use appledyke::KnownEndpoint;
use serde_json::{Value, json};

use crate::net::discovery;

/// The file's format and version, with which its first line begins. The sidecar's name follows.
const HEADER: &str = "appledyke list 1";
/// The file is written anew once it has this many lines for each endpoint, and `SPARE_LINES` more.
const MAX_LINES_PER_ENDPOINT: usize = 2;
const SPARE_LINES: usize = 64;

/// The first line of the file of a process of this sidecar. Danger: another sidecar may have had the same address.
fn header(sidecar: &str) -> String {
    format!("{HEADER} {}\n", Value::from(sidecar))
}

/// Where the list of a process comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSource {
    /// The service's address.
    pub discovery: SocketAddr,
    /// The list's version there; 0 if that is not known.
    pub index: u64,
    /// Discovery has sent it, to this process or to the one that it was taken over from. Otherwise it is the list that the
    /// process was started with.
    pub confirmed: bool,
    /// The version of the list that the process was started with.
    pub startup_index: Option<u64>,
}

impl ListSource {
    /// Whether a list from this source replaces the one from `own`, for a process that discovery has not answered itself.
    pub fn replaces_unconfirmed(&self, own: &ListSource) -> bool {
        if own.confirmed {
            return self.confirmed && self.index > own.index;
        }
        // Danger: a list that discovery has sent may have a lower version than an older one, if discovery has begun to count
        // anew. It is the newer one if both processes were started with the same list.
        self.confirmed && self.startup_index == own.startup_index || self.index >= own.index
    }

    fn encode(&self) -> Value {
        json!({
            "discovery": self.discovery.to_string(),
            "index": self.index,
            "confirmed": self.confirmed,
            "startup_index": self.startup_index,
        })
    }

    fn decode(line: &Value) -> Option<ListSource> {
        Some(ListSource {
            discovery: line["discovery"].as_str()?.parse().ok()?,
            index: line["index"].as_u64()?,
            confirmed: line["confirmed"].as_bool()?,
            startup_index: line["startup_index"].as_u64(),
        })
    }
}

/// An endpoint as the file has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    pub known: KnownEndpoint,
    /// Where requests to it go; `None` if it cannot be sent to.
    pub address: Option<SocketAddr>,
    /// The fleet has taken it out of service.
    pub out_of_service: bool,
}

/// The file of this process.
pub struct ListFile {
    sidecar: String,
    path: PathBuf,
    draft: PathBuf,
    /// The file is there and can be appended to; otherwise it has to be written anew. Danger: it is not kept open, as the
    /// descriptors that a process needs for itself are counted.
    is_written: bool,
    /// What the file has of each endpoint, by index.
    written: Vec<Option<ListedEndpoint>>,
    /// The source that the file names.
    source: Option<ListSource>,
    /// How many lines the file has.
    lines: usize,
    /// The last write failed, which has been logged.
    failing: bool,
}

impl ListFile {
    /// A file of a process of this sidecar at this path, written at the first update. A new version is prepared in `draft`.
    pub fn new(sidecar: &str, path: PathBuf, draft: PathBuf) -> ListFile {
        ListFile {
            sidecar: sidecar.to_string(),
            path,
            draft,
            is_written: false,
            written: Vec::new(),
            source: None,
            lines: 0,
            failing: false,
        }
    }

    /// Whether the file has all that the last update brought.
    pub fn is_current(&self) -> bool {
        self.is_written
    }

    /// Brings the file up to date with the endpoints, by their indices. `entry` encodes one in discovery's form.
    pub fn update(
        &mut self,
        source: ListSource,
        endpoints: &[(usize, ListedEndpoint)],
        entry: impl Fn(usize, &ListedEndpoint) -> Value,
    ) {
        let outgrown = self.lines > MAX_LINES_PER_ENDPOINT * endpoints.len() + SPARE_LINES;
        if !self.is_written || outgrown {
            (self.is_written, self.source, self.lines) = (false, None, 0);
            self.written.clear();
        }
        let changed: Vec<_> =
            endpoints.iter().filter(|(at, listed)| self.written.get(*at) != Some(&Some(*listed))).collect();
        if changed.is_empty() && self.source == Some(source) {
            return;
        }
        let mut lines: Vec<Value> =
            changed.iter().map(|(at, listed)| line(listed, entry(*at, listed))).collect();
        // Danger: the version goes last, as the process that reads it asks discovery only for later changes.
        lines.extend((self.source != Some(source)).then(|| source.encode()));
        let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
        if let Err(e) = self.append(&text) {
            // Danger: part of the text may have been written, so the file is written anew the next time.
            self.is_written = false;
            if !std::mem::replace(&mut self.failing, true) {
                log::warn!("{}: {e}; other processes do not see this list yet", self.path.display());
            }
            return;
        }
        self.failing = false;
        self.lines += lines.len();
        self.source = Some(source);
        for (at, listed) in changed {
            self.written.resize(self.written.len().max(at + 1), None);
            self.written[*at] = Some(*listed);
        }
    }

    /// Appends to the file, or writes a new one with this text.
    fn append(&mut self, text: &str) -> std::io::Result<()> {
        if self.is_written {
            return OpenOptions::new().append(true).open(&self.path)?.write_all(text.as_bytes());
        }
        // Danger: a file that is being written would be read in part, so it is renamed into place.
        let mut file = File::create(&self.draft)?;
        file.write_all((header(&self.sidecar) + text).as_bytes())?;
        fs::rename(&self.draft, &self.path)?;
        self.is_written = true;
        Ok(())
    }
}

/// The line of an endpoint: its entry, and what a list does not tell.
fn line(listed: &ListedEndpoint, mut entry: Value) -> Value {
    entry["must_stop"] = listed.known.must_stop.into();
    entry["out_of_service"] = listed.out_of_service.into();
    entry
}

/// The list in another process's file.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedList {
    pub source: ListSource,
    /// Each line could be read, and the last one is whole.
    pub intact: bool,
    /// The entries, one for each endpoint.
    entries: Vec<Value>,
}

impl SharedList {
    /// Decodes a file of this sidecar; `None` if it is another's, or has another format or no version yet. Danger: the process
    /// that wrote it may have been killed while it did, or the disk may have been full: what can be read of it counts.
    pub fn decode(text: &[u8], sidecar: &str) -> Option<SharedList> {
        let text = String::from_utf8_lossy(text);
        let mut lines = text.split_inclusive('\n');
        if lines.next() != Some(&header(sidecar)) {
            return None;
        }
        let (mut source, mut intact) = (None, true);
        let mut entries = BTreeMap::new();
        for line in lines {
            let whole = line.ends_with('\n');
            let Some(value) = serde_json::from_str::<Value>(line).ok().filter(|_| whole) else {
                intact = false;
                continue;
            };
            if let Some(name) = value["name"].as_str() {
                let list_of_one = json!({ "endpoints": [&value] });
                match discovery::entries(&list_of_one, |_, _, _, _, _| {}) {
                    Ok(()) => drop(entries.insert(name.to_string(), value)),
                    Err(_) => intact = false,
                }
            } else {
                let decoded = ListSource::decode(&value);
                intact &= decoded.is_some();
                source = decoded.or(source);
            }
        }
        Some(SharedList { source: source?, intact, entries: entries.into_values().collect() })
    }

    /// The version from which discovery at this address has to send changes.
    pub fn version_at(&self, discovery: SocketAddr) -> u64 {
        if self.intact && self.source.discovery == discovery { self.source.index } else { 0 }
    }

    /// The endpoints that are up or draining, as a complete list.
    pub fn current(&self) -> Value {
        self.list(true, self.entries.iter().filter(|entry| entry["status"] != "removed").cloned())
    }

    /// What the process knows beyond its current list, as changes that came before it: endpoints that were draining, and
    /// those that may still be sent to although the list no longer has them.
    pub fn earlier(&self) -> Value {
        let earlier = self.entries.iter().filter_map(|entry| {
            let gone = entry["status"] == "removed";
            let status = match entry["must_stop"].as_bool() {
                Some(true) => "draining",
                _ if gone => "up",
                _ => return None,
            };
            let mut entry = entry.clone();
            entry["status"] = status.into();
            (!entry["address"].is_null()).then_some(entry)
        });
        self.list(false, earlier)
    }

    /// The endpoints that are draining or gone, as changes.
    pub fn stopped(&self) -> Value {
        self.list(false, self.entries.iter().filter(|entry| entry["status"] != "up").cloned())
    }

    /// The endpoints that the fleet has taken out of service.
    pub fn out_of_service(&self) -> Vec<String> {
        let out = self.entries.iter().filter(|entry| entry["out_of_service"] == true);
        out.filter_map(|entry| entry["name"].as_str().map(str::to_string)).collect()
    }

    fn list(&self, complete: bool, entries: impl Iterator<Item = Value>) -> Value {
        json!({
            "index": self.source.index,
            "snapshot": complete,
            "endpoints": entries.collect::<Vec<_>>(),
        })
    }
}

#[cfg(test)]
#[path = "shared_list_tests.rs"]
mod tests;
