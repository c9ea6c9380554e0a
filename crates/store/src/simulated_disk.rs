//! An in-memory disk for tests, whose power is cut at a chosen operation or on which one operation fails.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::disk::{Disk, DiskError};

pub type Files = BTreeMap<String, Vec<u8>>;

/// A power cut loses unsynced bytes, or keeps only a part of them. Created and renamed names survive it only once the folder
/// is synced.
#[derive(Default)]
pub struct DiskState {
    pub current: Files,
    /// The synced length of each current file.
    synced: BTreeMap<String, usize>,
    /// What a power cut leaves: the synced contents by the synced names.
    durable: Files,
    /// The number of operations so far.
    pub operations: usize,
    /// The operation from which on all fail.
    pub power_cut_at: Option<usize>,
    /// A single operation that fails without a power cut.
    pub fail_at: Option<usize>,
}

/// Clones share the same disk.
#[derive(Clone, Default)]
pub struct SimulatedDisk(pub Rc<RefCell<DiskState>>);

impl SimulatedDisk {
    /// A disk with these files, all synced.
    pub fn with_files(files: Files) -> SimulatedDisk {
        let synced = files.iter().map(|(name, bytes)| (name.clone(), bytes.len())).collect();
        SimulatedDisk(Rc::new(RefCell::new(DiskState {
            current: files.clone(),
            durable: files,
            synced,
            ..DiskState::default()
        })))
    }

    fn count_operation(&self) -> Result<(), DiskError> {
        let mut state = self.0.borrow_mut();
        state.operations += 1;
        let at = state.operations;
        let failed = state.power_cut_at.is_some_and(|cut| at >= cut) || state.fail_at == Some(at);
        if failed { Err(DiskError::Failed("gone".to_string())) } else { Ok(()) }
    }

    /// The files after the power cut, with at most this many unsynced bytes of each of the two copies.
    pub fn files_after_power_cut(&self, unsynced_bytes: [usize; 2]) -> Files {
        let state = self.0.borrow();
        let after_cut = |(name, bytes): (&String, &Vec<u8>)| {
            let mut bytes = bytes.clone();
            if let Some(current) = state.current.get(name).filter(|current| current.starts_with(&bytes)) {
                let kept = unsynced_bytes[usize::from(name.ends_with('1'))].min(current.len() - bytes.len());
                bytes.extend_from_slice(&current[bytes.len()..][..kept]);
            }
            (name.clone(), bytes)
        };
        state.durable.iter().map(after_cut).collect()
    }
}

impl Disk for SimulatedDisk {
    fn lock(&mut self) -> Result<(), DiskError> {
        Ok(())
    }

    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        Ok(self.0.borrow().current.get(name).cloned())
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        state.current.insert(name.to_string(), Vec::new());
        state.synced.insert(name.to_string(), 0);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let result = self.count_operation();
        let mut state = self.0.borrow_mut();
        let written = if result.is_ok() { bytes.len() } else { bytes.len() / 2 };
        state.current.entry(name.to_string()).or_default().extend_from_slice(&bytes[..written]);
        result
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let bytes = state.current[name].clone();
        state.synced.insert(name.to_string(), bytes.len());
        if state.durable.contains_key(name) {
            state.durable.insert(name.to_string(), bytes);
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let bytes = state.current.remove(from).expect("the file exists");
        state.current.insert(to.to_string(), bytes);
        let synced = state.synced.remove(from).unwrap_or(0);
        state.synced.insert(to.to_string(), synced);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let durable = state.current.iter().map(|(name, bytes)| {
            (name.clone(), bytes[..state.synced.get(name).copied().unwrap_or(0)].to_vec())
        });
        state.durable = durable.collect();
        Ok(())
    }
}
