//! Detects the processes of this program that serve the same address: during a hot restart there are two. Each holds
//! a lock on its own file while it runs, so a file left behind by a killed process is recognized as stale.

use std::fs::{self, File, TryLockError};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::net::connection::lacks_descriptor;
use crate::sent_ids::{self, IdHash};
use crate::shared_list::ListFile;

/// Suffix of the file in which a process leaves a message for the others at its address.
const MESSAGE_SUFFIX: &str = "word";

/// Suffix of the file with the ids of requests that a process has sent.
const IDS_SUFFIX: &str = "ids";

/// Suffix of the file in which a process states until when its endpoint list is current.
const LEASE_SUFFIX: &str = "lease";

/// Suffix of the file with the endpoint list as a process knows it.
const LIST_SUFFIX: &str = "list";

/// State of a process at its address; also the suffix of its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Starting,
    Ready,
    /// Danger: another process that shuts down too must not count on this one.
    Leaving,
}

impl ProcessState {
    fn name(self) -> &'static str {
        match self {
            ProcessState::Starting => "starting",
            ProcessState::Ready => "ready",
            ProcessState::Leaving => "leaving",
        }
    }

    fn of(name: &str) -> Option<ProcessState> {
        [ProcessState::Starting, ProcessState::Ready, ProcessState::Leaving]
            .into_iter()
            .find(|state| state.name() == name)
    }
}

/// A version of a file: a file that is replaced has another inode, and one that is appended to another length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileVersion {
    inode: u64,
    length: u64,
    modified: Option<SystemTime>,
}

impl FileVersion {
    fn of(metadata: &fs::Metadata) -> FileVersion {
        let (inode, length, modified) = (metadata.ino(), metadata.len(), metadata.modified().ok());
        FileVersion { inode, length, modified }
    }
}

/// This process's own file in the shared folder.
pub struct Presence {
    folder: PathBuf,
    /// Prefix of the files of this address.
    prefix: String,
    /// The file's name without the state.
    file_name: String,
    state: ProcessState,
    /// The other processes with a file of ids, and the time of the folder's last change when they were listed.
    with_ids: Vec<String>,
    ids_listed_at: Option<SystemTime>,
    _lock: File,
}

/// Which processes have left files that outlive them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeftFiles {
    /// Those with ids of requests that they have sent.
    pub ids: Vec<String>,
    /// Those with an endpoint list.
    pub lists: Vec<String>,
}

/// The other processes that are running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Siblings {
    names: Vec<String>,
    pub ready: usize,
}

impl Siblings {
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// The names of their files.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Whether the process with this name is one of them.
    pub fn has(&self, process: &str) -> bool {
        self.names.iter().any(|name| name == process)
    }
}

impl Presence {
    /// Announces this process at this address. Fails if the folder cannot be written to.
    pub fn announce(folder: &Path, at: SocketAddr, process: u32) -> std::io::Result<Presence> {
        let prefix = format!("appledyke-{}-", at.to_string().replace([':', '[', ']'], "_"));
        let file_name = format!("{prefix}{process}");
        // Danger: a file that others see before it is locked would be taken for that of a dead process. So it is
        // locked under another name first.
        let draft = folder.join(format!("draft-{file_name}"));
        let lock = File::create(&draft)?;
        let written = match lock.try_lock() {
            Ok(()) => {
                fs::rename(&draft, folder.join(format!("{file_name}.{}", ProcessState::Starting.name())))
            }
            Err(e) => Err(e.into()),
        };
        if let Err(e) = written {
            let _ = fs::remove_file(&draft);
            return Err(e);
        }
        Ok(Presence {
            folder: folder.to_path_buf(),
            prefix,
            file_name,
            state: ProcessState::Starting,
            with_ids: Vec::new(),
            ids_listed_at: None,
            _lock: lock,
        })
    }

    fn state_path(&self, state: ProcessState) -> PathBuf {
        self.folder.join(format!("{}.{}", self.file_name, state.name()))
    }

    /// Publishes this process's state. The others may hand the address over only to a process that is ready.
    pub fn set_state(&mut self, state: ProcessState) {
        if self.state != state {
            match fs::rename(self.state_path(self.state), self.state_path(state)) {
                Ok(()) => self.state = state,
                Err(e) => log::warn!("presence: {e}"),
            }
        }
    }

    /// Leaves a message for the others. Danger: a file that is being written would be read in part, so it is renamed
    /// into place.
    pub fn write_message(&self, message: &str) {
        let draft = self.folder.join(format!("draft-{}.{MESSAGE_SUFFIX}", self.file_name));
        let written = fs::write(&draft, message).and_then(|()| fs::rename(&draft, self.message_path()));
        if let Err(e) = written {
            log::warn!("presence: {e}");
        }
    }

    fn message_path(&self) -> PathBuf {
        self.folder.join(format!("{}.{MESSAGE_SUFFIX}", self.file_name))
    }

    /// The messages left by the other running processes.
    pub fn read_messages(&self, siblings: &Siblings) -> Vec<String> {
        let paths = siblings.names.iter().map(|name| self.folder.join(format!("{name}.{MESSAGE_SUFFIX}")));
        paths.filter_map(|path| fs::read_to_string(path).ok()).collect()
    }

    /// The file for the endpoint list as this process of the sidecar knows it. It outlives the process, for the next one.
    pub fn list_file(&self, sidecar: &str) -> ListFile {
        let draft = self.folder.join(format!("draft-{}.{LIST_SUFFIX}", self.file_name));
        ListFile::new(sidecar, self.list_path(&self.file_name), draft)
    }

    fn list_path(&self, process: &str) -> PathBuf {
        self.folder.join(format!("{process}.{LIST_SUFFIX}"))
    }

    /// The name of this process, under which an earlier process with the same id may have left files.
    pub fn own_name(&self) -> &str {
        &self.file_name
    }

    /// The endpoint list that a process has left, unless it is the version last read.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn read_list(
        &self,
        process: &str,
        last: Option<FileVersion>,
    ) -> std::io::Result<Option<(FileVersion, Vec<u8>)>> {
        // Danger: taken before it is read, so that what is appended meanwhile is read the next time.
        let version = FileVersion::of(&fs::metadata(self.list_path(process))?);
        if last == Some(version) {
            return Ok(None);
        }
        Ok(Some((version, fs::read(self.list_path(process))?)))
    }

    /// Removes the endpoint list of a process that has ended.
    pub fn remove_list(&self, process: &str) {
        let _ = fs::remove_file(self.list_path(process));
    }

    /// Creates the file for the ids of requests that this process sends.
    ///
    /// # Errors
    /// The folder cannot be written to, or there is no file descriptor.
    pub fn create_ids_file(&self) -> std::io::Result<File> {
        File::create(self.ids_path(&self.file_name))
    }

    /// Creates the file for what this process states of its endpoint list.
    ///
    /// # Errors
    /// The folder cannot be written to, or there is no file descriptor.
    pub fn create_lease_file(&self) -> std::io::Result<File> {
        File::create(self.lease_path(&self.file_name))
    }

    fn lease_path(&self, process: &str) -> PathBuf {
        self.folder.join(format!("{process}.{LEASE_SUFFIX}"))
    }

    /// What the other running processes state of their endpoint lists, by their names.
    pub fn read_leases(&self, siblings: &Siblings) -> Vec<(String, Vec<u8>)> {
        let read = |name: &String| Some((name.clone(), fs::read(self.lease_path(name)).ok()?));
        siblings.names.iter().filter_map(read).collect()
    }

    fn ids_path(&self, process: &str) -> PathBuf {
        self.folder.join(format!("{process}.{IDS_SUFFIX}"))
    }

    /// Whether another process at this address has sent a request with this id.
    pub fn was_sent_elsewhere(&mut self, id: IdHash) -> bool {
        // Danger: a process that has just started may send before the next look for others. A change of the folder shows it.
        let changed = fs::metadata(&self.folder).and_then(|folder| folder.modified()).ok();
        if changed.is_none() || changed != self.ids_listed_at {
            self.with_ids = self.left_files().ids;
            self.ids_listed_at = changed;
        }
        self.with_ids.iter().any(|name| sent_ids::read(&self.ids_path(name)).contains(&id))
    }

    /// The processes at this address that have left files, this one excluded.
    pub fn left_files(&self) -> LeftFiles {
        let mut left = LeftFiles::default();
        for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let Some((process, suffix)) = name.rsplit_once('.') else { continue };
            if !process.starts_with(&self.prefix) || process == self.file_name {
                continue;
            }
            match suffix {
                IDS_SUFFIX => left.ids.push(process.to_string()),
                LIST_SUFFIX => left.lists.push(process.to_string()),
                _ => {}
            }
        }
        left
    }

    /// Takes over the ids that ended processes have left. `with_ids` is from before the running ones were found. Danger: a
    /// process that has just started would pass for one that has ended.
    pub fn take_ids(&self, with_ids: &[String], running: &Siblings) -> Vec<IdHash> {
        let mut ids = Vec::new();
        for process in with_ids.iter().filter(|process| !running.names.contains(process)) {
            ids.extend(sent_ids::read(&self.ids_path(process)));
            let _ = fs::remove_file(self.ids_path(process));
        }
        ids
    }

    /// Finds the other running processes, and removes the files of dead ones.
    ///
    /// # Errors
    /// There is no file descriptor to check with, so nothing is known.
    pub fn siblings(&self) -> std::io::Result<Siblings> {
        let mut siblings = Siblings::default();
        let entries = match fs::read_dir(&self.folder) {
            Ok(entries) => entries,
            // Danger: a process that wrongly believes to be alone would fail the health check of an address that
            // another serves.
            Err(e) if lacks_descriptor(&e) => return Err(e),
            Err(_) => return Ok(siblings),
        };
        for entry in entries.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let Some((process, state)) = name.rsplit_once('.') else { continue };
            let Some(state) = ProcessState::of(state) else { continue };
            if !process.starts_with(&self.prefix) || process == self.file_name {
                continue;
            }
            let file = match File::open(entry.path()) {
                Ok(file) => file,
                Err(e) if lacks_descriptor(&e) => return Err(e),
                Err(_) => continue,
            };
            match file.try_lock() {
                Err(TryLockError::WouldBlock) => {
                    siblings.names.push(process.to_string());
                    siblings.ready += usize::from(state == ProcessState::Ready);
                }
                Ok(()) => {
                    let _ = fs::remove_file(self.folder.join(format!("{process}.{MESSAGE_SUFFIX}")));
                    let _ = fs::remove_file(self.lease_path(process));
                    let _ = fs::remove_file(entry.path());
                }
                Err(TryLockError::Error(e)) => log::warn!("presence: {name}: {e}"),
            }
        }
        Ok(siblings)
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.message_path());
        let _ = fs::remove_file(self.lease_path(&self.file_name));
        let _ = fs::remove_file(self.state_path(self.state));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn others_are_seen_while_they_live_and_what_the_dead_leave_deceives_nobody() {
        let folder = std::env::temp_dir().join(format!("appledyke-presence-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let at = "127.0.0.1:5000".parse().unwrap();
        let first = Presence::announce(&folder, at, 1).unwrap();
        assert_eq!(first.siblings().unwrap(), Siblings::default());
        let mut second = Presence::announce(&folder, at, 2).unwrap();
        let _elsewhere = Presence::announce(&folder, "127.0.0.1:5001".parse().unwrap(), 3).unwrap();
        let seen =
            |presence: &Presence| (presence.siblings().unwrap().count(), presence.siblings().unwrap().ready);
        assert_eq!(seen(&first), (1, 0));
        second.set_state(ProcessState::Ready);
        assert_eq!((seen(&first), seen(&second)), ((1, 1), (1, 0)));
        second.write_message("hot");
        assert_eq!(
            (
                first.read_messages(&first.siblings().unwrap()),
                second.read_messages(&second.siblings().unwrap())
            ),
            (vec!["hot".into()], vec![])
        );
        second.set_state(ProcessState::Leaving);
        assert_eq!(seen(&first), (1, 0));
        // A killed process cannot clean up: its lock is released, its files stay.
        let (left, message) = (second.state_path(ProcessState::Ready), second.message_path());
        drop(second);
        File::create(&left).unwrap();
        File::create(&message).unwrap();
        assert_eq!(first.siblings().unwrap(), Siblings::default());
        assert!(!left.exists() && !message.exists());
        drop(first);
        assert!(Presence::announce(&folder.join("absent"), at, 1).is_err());
        fs::remove_dir_all(&folder).unwrap();
    }
}
