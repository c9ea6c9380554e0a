//! A disk for tests, of which the power goes at an operation, or on which one fails: what was not synced is lost, or
//! torn. It does no I/O.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::disk::{Disk, DiskError};

pub type Files = BTreeMap<String, Vec<u8>>;

/// A disk of which the power goes at an operation: what was not synced is lost, or torn. Names last only once the
/// folder is synced.
#[derive(Default)]
pub struct Inner {
    pub current: Files,
    /// What a power cut leaves: contents as synced, by the names as synced.
    synced: BTreeMap<String, usize>,
    durable: Files,
    pub operations: usize,
    pub power_cut_at: Option<usize>,
    /// Operations that fail, though the power stays.
    pub fail_at: Option<usize>,
}

/// Clones are the same disk.
#[derive(Clone, Default)]
pub struct SimulatedDisk(pub Rc<RefCell<Inner>>);

impl SimulatedDisk {
    /// A disk that holds these.
    pub fn with_files(files: Files) -> SimulatedDisk {
        let synced = files.iter().map(|(name, bytes)| (name.clone(), bytes.len())).collect();
        SimulatedDisk(Rc::new(RefCell::new(Inner {
            current: files.clone(),
            durable: files,
            synced,
            ..Inner::default()
        })))
    }

    fn step(&self) -> Result<(), DiskError> {
        let mut inner = self.0.borrow_mut();
        inner.operations += 1;
        let at = inner.operations;
        let failed = inner.power_cut_at.is_some_and(|cut| at >= cut) || inner.fail_at == Some(at);
        if failed { Err(DiskError::Failed("gone".to_string())) } else { Ok(()) }
    }

    /// The files that are found after the cut, with so many of each copy's unsynced bytes.
    pub fn files_after_power_cut(&self, kept: [usize; 2]) -> Files {
        let inner = self.0.borrow();
        let torn = |(name, bytes): (&String, &Vec<u8>)| {
            let mut bytes = bytes.clone();
            if let Some(now) = inner.current.get(name).filter(|now| now.starts_with(&bytes)) {
                let more = kept[usize::from(name.ends_with('1'))].min(now.len() - bytes.len());
                bytes.extend_from_slice(&now[bytes.len()..][..more]);
            }
            (name.clone(), bytes)
        };
        inner.durable.iter().map(torn).collect()
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
        self.step()?;
        let mut inner = self.0.borrow_mut();
        inner.current.insert(name.to_string(), Vec::new());
        inner.synced.insert(name.to_string(), 0);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let whole = self.step();
        let mut inner = self.0.borrow_mut();
        let part = if whole.is_ok() { bytes.len() } else { bytes.len() / 2 };
        inner.current.entry(name.to_string()).or_default().extend_from_slice(&bytes[..part]);
        whole
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        let bytes = inner.current[name].clone();
        inner.synced.insert(name.to_string(), bytes.len());
        if inner.durable.contains_key(name) {
            inner.durable.insert(name.to_string(), bytes);
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        let bytes = inner.current.remove(from).expect("it was made");
        inner.current.insert(to.to_string(), bytes);
        let synced = inner.synced.remove(from).unwrap_or(0);
        inner.synced.insert(to.to_string(), synced);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        let durable = inner.current.iter().map(|(name, bytes)| {
            (name.clone(), bytes[..inner.synced.get(name).copied().unwrap_or(0)].to_vec())
        });
        inner.durable = durable.collect();
        Ok(())
    }
}
