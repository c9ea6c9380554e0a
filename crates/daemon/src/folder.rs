//! The data folder of a replica: its records in the store, and its owner. A folder that cannot be trusted is set aside, and the
//! replica starts again as a new incarnation.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use appledyke_consensus::{Batch, Id, PersistedState, Replica, Snapshot, storage};
use appledyke_fleet::Fleet;
use appledyke_store::disk;
use appledyke_store::format::Change;
use appledyke_store::{Store, StoreError};

/// Key of the owner record: the fleet's name and the replica's identity.
const OWNER: &[u8] = b"owner";
/// The log is compacted once it is this many times as long as after the last compaction, and at least
/// `MIN_COMPACTION_BYTES` long.
const COMPACTION_RATIO: usize = 4;
const MIN_COMPACTION_BYTES: usize = 1 << 20;

pub struct Folder {
    path: PathBuf,
    store: Store<disk::Folder>,
    pub id: Id,
    /// Length of the log in bytes after the last compaction.
    compacted_length: usize,
}

/// Why a folder cannot be opened or written.
#[derive(Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The folder must not be touched: it belongs to another replica, is locked, or was written by a later version.
    Refused(String),
    /// Its contents are damaged: the folder may be set aside.
    Damaged(String),
    /// The disk fails at present.
    Disk(String),
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            OpenError::Refused(what) | OpenError::Damaged(what) | OpenError::Disk(what) => {
                write!(f, "{what}")
            }
        }
    }
}

fn open_error(path: &Path, e: StoreError) -> OpenError {
    let with_path = |what: String| format!("{}: {what}", path.display());
    match e {
        StoreError::Disk(disk::DiskError::Locked) => {
            OpenError::Refused(with_path("another process has it".to_string()))
        }
        StoreError::Disk(disk::DiskError::Failed(what)) => OpenError::Disk(what),
        StoreError::UnsupportedVersion { file, version } => OpenError::Refused(with_path(format!(
            "{file} has format version {version}, written by a later version of the program"
        ))),
        StoreError::ReadOnly => {
            OpenError::Disk(with_path("the store is read-only after a failed write".to_string()))
        }
    }
}

/// Draws an incarnation that no earlier folder of this replica has had.
fn new_incarnation() -> Result<u64, OpenError> {
    let incarnation = getrandom::u64().map_err(|e| OpenError::Disk(format!("no random number: {e}")))?;
    Ok(incarnation.max(1))
}

impl Folder {
    /// Opens or creates a folder. Returns it with the persisted state and notes on repairs for the log.
    ///
    /// # Errors
    /// Why the folder cannot be used.
    pub fn open(
        path: &Path,
        fleet: &str,
        replica_id: u16,
    ) -> Result<(Folder, PersistedState, Vec<String>), OpenError> {
        let with_path = |what: String| format!("{}: {what}", path.display());
        let (mut store, report) =
            Store::open(disk::Folder::new(path.to_path_buf())).map_err(|e| open_error(path, e))?;
        let mut notes = Vec::new();
        if !report.repaired.is_empty() {
            notes.push(with_path(format!("repaired {}", report.repaired.join(", "))));
        }
        if report.dropped_bytes > 0 {
            notes.push(with_path(format!(
                "dropped {} bytes that were never acknowledged",
                report.dropped_bytes
            )));
        }
        if let Some(from) = report.missing_from {
            return Err(OpenError::Damaged(with_path(format!(
                "both copies are damaged; missing from record {from}"
            ))));
        }
        let id = match store.get(OWNER).map(decode_owner) {
            None if store.iter().next().is_some() => {
                return Err(OpenError::Refused(with_path("it has records but no owner".to_string())));
            }
            None => {
                let id = Id { replica_id, incarnation: new_incarnation()? };
                let record = Change::Put(OWNER.to_vec(), encode_owner(fleet, id));
                store.commit(&[record]).map_err(|e| open_error(path, e))?;
                id
            }
            Some(None) => {
                return Err(OpenError::Damaged(with_path("its owner record cannot be decoded".to_string())));
            }
            Some(Some((other_fleet, _))) if other_fleet != fleet => {
                return Err(OpenError::Refused(with_path(format!(
                    "it is of fleet {other_fleet}, not {fleet}"
                ))));
            }
            Some(Some((_, id))) if id.replica_id != replica_id => {
                return Err(OpenError::Refused(with_path(format!(
                    "it is of place {}, not {replica_id}",
                    id.replica_id
                ))));
            }
            Some(Some((_, id))) => id,
        };
        let persisted = storage::load(store.iter()).map_err(|what| OpenError::Damaged(with_path(what)))?;
        Ok((Folder { path: path.to_path_buf(), store, id, compacted_length: 0 }, persisted, notes))
    }

    /// Initializes this folder as that of a new fleet's first replica, with this state.
    ///
    /// # Errors
    /// The folder already holds a replica, or the disk fails.
    pub fn bootstrap(&mut self, persisted: &PersistedState, state: Option<Fleet>) -> Result<(), OpenError> {
        if *persisted != PersistedState::default() {
            let what = format!("{}: it holds a replica already", self.path.display());
            return Err(OpenError::Refused(what));
        }
        let bootstrapped = Replica::bootstrap(self.id);
        let mut batch = Batch {
            hard_state: Some(bootstrapped.hard_state),
            entries: bootstrapped.entries,
            ..Batch::default()
        };
        if let Some(state) = state {
            let at = batch.entries[0].position;
            let mut state = state;
            state.skip_entry(at.index);
            batch.snapshot =
                Some(Snapshot { last_included: at, voters: [self.id].into(), state: state.to_bytes() });
            batch.entries.clear();
        }
        self.persist(&batch)
    }

    /// Writes a batch durably.
    ///
    /// # Errors
    /// The error of the disk. Nothing more is written until the folder is opened again.
    pub fn persist(&mut self, batch: &Batch) -> Result<(), OpenError> {
        let changes = storage::changes(batch, self.store.iter());
        self.store.commit(&changes).map_err(|e| open_error(&self.path, e))?;
        let length = self.store.log_length();
        if length > MIN_COMPACTION_BYTES.max(COMPACTION_RATIO * self.compacted_length) {
            self.store.compact().map_err(|e| open_error(&self.path, e))?;
            self.compacted_length = self.store.log_length();
        }
        Ok(())
    }

    /// Renames the folder at this path, unchanged, so that the replica can start again as a new incarnation.
    ///
    /// # Errors
    /// The error of the disk.
    pub fn set_aside(path: &Path) -> Result<PathBuf, OpenError> {
        let secs = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let free = (0..100)
            .map(|suffix| path.with_file_name(format!("{name}.aside-{secs}-{suffix}")))
            .find(|to| !to.exists());
        let to = free.ok_or_else(|| {
            OpenError::Disk(format!("{}: too many folders were set aside in this second", path.display()))
        })?;
        std::fs::rename(path, &to).map_err(|e| OpenError::Disk(format!("{}: {e}", path.display())))?;
        Ok(to)
    }
}

fn encode_owner(fleet: &str, id: Id) -> Vec<u8> {
    format!("{fleet}\n{}\n{}", id.replica_id, id.incarnation).into_bytes()
}

fn decode_owner(bytes: &[u8]) -> Option<(String, Id)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines = text.rsplitn(3, '\n');
    let (incarnation, replica_id) = (lines.next()?.parse().ok()?, lines.next()?.parse().ok()?);
    Some((lines.next()?.to_string(), Id { replica_id, incarnation }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_refuses_other_owners_and_is_bootstrapped_once() {
        let root = std::env::temp_dir().join(format!("appledyke-daemon-folder-{}", std::process::id()));
        let path = root.join("d1");
        let open = |fleet: &str, replica_id| Folder::open(&path, fleet, replica_id);
        let (mut folder, persisted, notes) = open("zilina", 1).unwrap();
        assert_eq!((persisted.clone(), notes), (PersistedState::default(), vec![]));
        let id = folder.id;
        folder.bootstrap(&persisted, None).unwrap();
        assert!(
            matches!(open("zilina", 1).err(), Some(OpenError::Refused(what)) if what.contains("another process"))
        );
        drop(folder);
        assert!(
            matches!(open("brno", 1).err(), Some(OpenError::Refused(what)) if what.contains("of fleet zilina"))
        );
        assert!(
            matches!(open("zilina", 2).err(), Some(OpenError::Refused(what)) if what.contains("of place 1"))
        );
        let (mut folder, persisted, _) = open("zilina", 1).unwrap();
        assert_eq!((folder.id, persisted.entries.len()), (id, 1));
        assert!(
            matches!(folder.bootstrap(&persisted, None), Err(OpenError::Refused(what)) if what.contains("already"))
        );
        drop(folder);
        let aside = Folder::set_aside(&path).unwrap();
        let (folder, persisted, _) = open("zilina", 1).unwrap();
        assert!(
            aside.exists()
                && persisted == PersistedState::default()
                && folder.id != id
                && folder.id.replica_id == 1
        );
        drop(folder);
        std::fs::remove_dir_all(&root).unwrap();
    }
}
