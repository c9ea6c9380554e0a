//! The file operations that the store needs, and their implementation on a real folder. `simulated_disk` has another,
//! for tests.

use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::PathBuf;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// Another process holds the lock of the folder.
    Locked,
    Failed(String),
}

/// The files of one folder, by name.
pub trait Disk {
    fn lock(&mut self) -> Result<(), DiskError>;
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DiskError>;
    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> Result<(), DiskError>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    fn sync_folder(&mut self) -> Result<(), DiskError>;
}

/// A folder of the file system. Dropping the value releases the lock.
pub struct Folder {
    path: PathBuf,
    lock: Option<File>,
}

impl Folder {
    pub fn new(path: PathBuf) -> Folder {
        Folder { path, lock: None }
    }

    fn error_at(&self, name: &str) -> impl Fn(std::io::Error) -> DiskError {
        let path = self.path.join(name).display().to_string();
        move |e| DiskError::Failed(format!("{path}: {e}"))
    }
}

impl Disk for Folder {
    fn lock(&mut self) -> Result<(), DiskError> {
        std::fs::create_dir_all(&self.path).map_err(self.error_at(""))?;
        let file = OpenOptions::new().create(true).append(true).open(self.path.join("lock"));
        let file = file.map_err(self.error_at("lock"))?;
        match file.try_lock() {
            Ok(()) => self.lock = Some(file),
            Err(std::fs::TryLockError::WouldBlock) => return Err(DiskError::Locked),
            Err(std::fs::TryLockError::Error(e)) => return Err(self.error_at("lock")(e)),
        }
        Ok(())
    }

    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(self.error_at(name)(e)),
        }
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        File::create(self.path.join(name)).map(drop).map_err(self.error_at(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let file = OpenOptions::new().append(true).open(self.path.join(name));
        file.and_then(|mut file| file.write_all(bytes)).map_err(self.error_at(name))
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let file = File::open(self.path.join(name));
        file.and_then(|file| file.sync_all()).map_err(self.error_at(name))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        std::fs::rename(self.path.join(from), self.path.join(to)).map_err(self.error_at(from))
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        File::open(&self.path).and_then(|folder| folder.sync_all()).map_err(self.error_at(""))
    }
}
