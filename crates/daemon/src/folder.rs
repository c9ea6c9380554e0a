//! A replica's folder: its records in the store, and whose it is. One that can't be trusted is set aside, and its place
//! begins another life.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use appledyke_consensus::{Batch, Id, PersistedState, Replica, Snapshot, storage};
use appledyke_fleet::Fleet;
use appledyke_store::disk;
use appledyke_store::format::Change;
use appledyke_store::{Store, StoreError};

/// Whose folder it is: the fleet's name and the replica's identity.
const OWNER: &[u8] = b"owner";
/// The log is written anew once it has this many times the bytes that it needs, and so many at least.
const SLACK: usize = 4;
const LENGTH_LEAST: usize = 1 << 20;

pub struct Folder {
    path: PathBuf,
    store: Store<disk::Folder>,
    pub id: Id,
    /// Bytes of the log when it was written anew last.
    compacted: usize,
}

/// Why a folder can't be opened.
#[derive(Debug, PartialEq, Eq)]
pub enum Closed {
    /// It is not to be touched: another's, locked, or of a later program.
    Refused(String),
    /// What it holds is damaged: it may be set aside.
    Damaged(String),
    /// The disk does not do its part now.
    Disk(String),
}

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Closed::Refused(what) | Closed::Damaged(what) | Closed::Disk(what) => write!(f, "{what}"),
        }
    }
}

fn closed(path: &Path, e: StoreError) -> Closed {
    let named = |what: String| format!("{}: {what}", path.display());
    match e {
        StoreError::Disk(disk::DiskError::Locked) => {
            Closed::Refused(named("another process has it".to_string()))
        }
        StoreError::Disk(disk::DiskError::Failed(what)) => Closed::Disk(what),
        StoreError::UnsupportedVersion { file, version } => {
            Closed::Refused(named(format!("{file} is of version {version}, which a later program wrote")))
        }
        StoreError::ReadOnly => Closed::Disk(named("nothing more is written".to_string())),
    }
}

/// A life that no folder of this place has had.
fn new_life() -> Result<u64, Closed> {
    let life = getrandom::u64().map_err(|e| Closed::Disk(format!("no random number: {e}")))?;
    Ok(life.max(1))
}

impl Folder {
    /// Opens or makes a folder, with what it holds and what is to be told of it.
    ///
    /// # Errors
    /// Why it can't be used.
    pub fn open(
        path: &Path,
        fleet: &str,
        place: u16,
    ) -> Result<(Folder, PersistedState, Vec<String>), Closed> {
        let named = |what: String| format!("{}: {what}", path.display());
        let (mut store, report) =
            Store::open(disk::Folder::new(path.to_path_buf())).map_err(|e| closed(path, e))?;
        let mut notes = Vec::new();
        if !report.repaired.is_empty() {
            notes.push(named(format!("mended {}", report.repaired.join(", "))));
        }
        if report.dropped_bytes > 0 {
            notes.push(named(format!("dropped {} bytes that were never acknowledged", report.dropped_bytes)));
        }
        if let Some(from) = report.missing_from {
            return Err(Closed::Damaged(named(format!(
                "both copies are damaged; missing from record {from}"
            ))));
        }
        let id = match store.get(OWNER).map(read_owner) {
            None if store.iter().next().is_some() => {
                return Err(Closed::Refused(named("it does not say whose it is".to_string())));
            }
            None => {
                let id = Id { replica_id: place, incarnation: new_life()? };
                let owner = Change::Put(OWNER.to_vec(), owner(fleet, id));
                store.commit(&[owner]).map_err(|e| closed(path, e))?;
                id
            }
            Some(None) => return Err(Closed::Damaged(named("whose it is cannot be read".to_string()))),
            Some(Some((named_fleet, _))) if named_fleet != fleet => {
                return Err(Closed::Refused(named(format!("it is of fleet {named_fleet}, not {fleet}"))));
            }
            Some(Some((_, id))) if id.replica_id != place => {
                return Err(Closed::Refused(named(format!("it is of place {}, not {place}", id.replica_id))));
            }
            Some(Some((_, id))) => id,
        };
        let kept = storage::load(store.iter()).map_err(|what| Closed::Damaged(named(what)))?;
        Ok((Folder { path: path.to_path_buf(), store, id, compacted: 0 }, kept, notes))
    }

    /// Makes this folder that of a fleet's first replica, with this state.
    ///
    /// # Errors
    /// Why it can't be: it holds something already, or the disk fails.
    pub fn found(&mut self, kept: &PersistedState, state: Option<Fleet>) -> Result<(), Closed> {
        if *kept != PersistedState::default() {
            let what = format!("{}: it holds a replica already", self.path.display());
            return Err(Closed::Refused(what));
        }
        let founder = Replica::bootstrap(self.id);
        let mut batch =
            Batch { hard_state: Some(founder.hard_state), entries: founder.entries, ..Batch::default() };
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

    /// # Errors
    /// What the disk says: nothing more is written until it is opened again.
    pub fn persist(&mut self, batch: &Batch) -> Result<(), Closed> {
        let changes = storage::changes(batch, self.store.iter());
        self.store.commit(&changes).map_err(|e| closed(&self.path, e))?;
        let length = self.store.log_length();
        if length > LENGTH_LEAST.max(SLACK * self.compacted) {
            self.store.compact().map_err(|e| closed(&self.path, e))?;
            self.compacted = self.store.log_length();
        }
        Ok(())
    }

    /// Puts the folder at this path out of the way, whole, so that its place can begin another life.
    ///
    /// # Errors
    /// What the disk says.
    pub fn set_aside(path: &Path) -> Result<PathBuf, Closed> {
        let secs = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let free = (0..100)
            .map(|more| path.with_file_name(format!("{name}.aside-{secs}-{more}")))
            .find(|to| !to.exists());
        let to = free.ok_or_else(|| Closed::Disk(format!("{}: too many were set aside", path.display())))?;
        std::fs::rename(path, &to).map_err(|e| Closed::Disk(format!("{}: {e}", path.display())))?;
        Ok(to)
    }
}

fn owner(fleet: &str, id: Id) -> Vec<u8> {
    format!("{fleet}\n{}\n{}", id.replica_id, id.incarnation).into_bytes()
}

fn read_owner(bytes: &[u8]) -> Option<(String, Id)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines = text.rsplitn(3, '\n');
    let (life, place) = (lines.next()?.parse().ok()?, lines.next()?.parse().ok()?);
    Some((lines.next()?.to_string(), Id { replica_id: place, incarnation: life }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_knows_whose_it_is_and_is_founded_once() {
        let root = std::env::temp_dir().join(format!("appledyke-daemon-folder-{}", std::process::id()));
        let path = root.join("d1");
        let open = |fleet: &str, place| Folder::open(&path, fleet, place);
        let (mut folder, kept, notes) = open("zilina", 1).unwrap();
        assert_eq!((kept.clone(), notes), (PersistedState::default(), vec![]));
        let id = folder.id;
        folder.found(&kept, None).unwrap();
        assert!(
            matches!(open("zilina", 1).err(), Some(Closed::Refused(what)) if what.contains("another process"))
        );
        drop(folder);
        assert!(
            matches!(open("brno", 1).err(), Some(Closed::Refused(what)) if what.contains("of fleet zilina"))
        );
        assert!(
            matches!(open("zilina", 2).err(), Some(Closed::Refused(what)) if what.contains("of place 1"))
        );
        let (mut folder, kept, _) = open("zilina", 1).unwrap();
        assert_eq!((folder.id, kept.entries.len()), (id, 1));
        assert!(matches!(folder.found(&kept, None), Err(Closed::Refused(what)) if what.contains("already")));
        drop(folder);
        let aside = Folder::set_aside(&path).unwrap();
        let (folder, kept, _) = open("zilina", 1).unwrap();
        assert!(
            aside.exists()
                && kept == PersistedState::default()
                && folder.id != id
                && folder.id.replica_id == 1
        );
        drop(folder);
        std::fs::remove_dir_all(&root).unwrap();
    }
}
