//! Faults of a process's data folder while it is down: emptied, restored from an old copy, truncated or corrupted files.

use std::fs::{self, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Where the operating system keeps files in memory.
const MEMORY_FOLDER: &str = "/dev/shm";

fn with_path<T>(path: &Path, result: std::io::Result<T>) -> Result<T, String> {
    result.map_err(|e| format!("{}: {e}", path.display()))
}

/// Path for the folder of a test whose subject is not the disk: in memory where the system offers that, as a disk that other
/// programs keep busy lets a daemon wait for longer than an election takes.
pub fn in_memory(name: &str) -> PathBuf {
    let memory = Path::new(MEMORY_FOLDER);
    let parent = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
    parent.join(format!("appledyke-{name}-{}", std::process::id()))
}

/// Replaces the content of a folder with copies of the regular files of another.
///
/// # Errors
/// The path that could not be read or written, and why.
pub fn copy(from: &Path, to: &Path) -> Result<(), String> {
    empty(to)?;
    for entry in with_path(from, fs::read_dir(from))? {
        let path = with_path(from, entry)?.path();
        if path.is_file() {
            with_path(&path, fs::copy(&path, to.join(path.file_name().expect("an entry has a name"))))?;
        }
    }
    Ok(())
}

/// # Errors
/// The path that could not be emptied, and why.
pub fn empty(folder: &Path) -> Result<(), String> {
    if folder.exists() {
        with_path(folder, fs::remove_dir_all(folder))?;
    }
    with_path(folder, fs::create_dir_all(folder))
}

/// Truncates a file by this number of bytes.
///
/// # Errors
/// The path that could not be truncated, and why.
pub fn truncate(file: &Path, bytes: u64) -> Result<(), String> {
    let open = with_path(file, OpenOptions::new().write(true).open(file))?;
    let length = with_path(file, open.metadata())?.len();
    with_path(file, open.set_len(length.saturating_sub(bytes)))
}

/// Inverts the byte at this distance from a file's end.
///
/// # Errors
/// The path that could not be corrupted, and why.
pub fn corrupt(file: &Path, before_end: u64) -> Result<(), String> {
    let mut open = with_path(file, OpenOptions::new().read(true).write(true).open(file))?;
    let at = with_path(file, open.metadata())?.len().saturating_sub(before_end);
    let mut byte = [0];
    with_path(file, open.seek(SeekFrom::Start(at)))?;
    with_path(file, open.read_exact(&mut byte))?;
    with_path(file, open.seek(SeekFrom::Start(at)))?;
    with_path(file, open.write_all(&[!byte[0]]))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_is_restored_emptied_truncated_and_corrupted() {
        let root = std::env::temp_dir().join(format!("appledyke-folders-{}", std::process::id()));
        let (folder, backup) = (root.join("now"), root.join("then"));
        empty(&folder).unwrap();
        fs::write(folder.join("log"), b"old").unwrap();
        copy(&folder, &backup).unwrap();
        fs::write(folder.join("log"), b"newer").unwrap();
        fs::write(folder.join("more"), b"x").unwrap();
        corrupt(&folder.join("log"), 2).unwrap();
        assert_eq!(fs::read(folder.join("log")).unwrap(), [b'n', b'e', b'w', !b'e', b'r']);
        truncate(&folder.join("log"), 4).unwrap();
        assert_eq!(fs::read(folder.join("log")).unwrap(), b"n");
        copy(&backup, &folder).unwrap();
        assert_eq!(fs::read(folder.join("log")).unwrap(), b"old");
        assert!(!folder.join("more").exists());
        empty(&folder).unwrap();
        assert_eq!(fs::read_dir(&folder).unwrap().count(), 0);
        assert!(copy(&root.join("absent"), &folder).unwrap_err().contains("absent"));
        fs::remove_dir_all(&root).unwrap();
    }
}
