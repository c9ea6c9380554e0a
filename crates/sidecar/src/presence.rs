//! Which processes of this program serve the same address: during an upgrade there are two. Each holds a lock on a
//! file of its own for as long as it lives, so that what a killed one leaves behind deceives nobody.

use std::fs::{self, File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::net::connection::lacks_descriptor;

/// The end of the name of a file in which a process tells the others at its address something.
const WORD: &str = "word";

/// How a process stands at its address; the end of its file's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Starting,
    Ready,
    /// Danger: another that leaves too must not count on this one.
    Leaving,
}

impl Standing {
    fn name(self) -> &'static str {
        match self {
            Standing::Starting => "starting",
            Standing::Ready => "ready",
            Standing::Leaving => "leaving",
        }
    }

    fn of(name: &str) -> Option<Standing> {
        [Standing::Starting, Standing::Ready, Standing::Leaving]
            .into_iter()
            .find(|standing| standing.name() == name)
    }
}

/// This process's own file, as long as there is a folder to hold it.
pub struct Presence {
    folder: PathBuf,
    /// What files of this address begin with.
    prefix: String,
    /// The file's name without its standing, and its lock.
    own: String,
    standing: Standing,
    _lock: File,
}

/// The others that are alive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Others {
    names: Vec<String>,
    pub ready: usize,
}

impl Others {
    pub fn alive(&self) -> usize {
        self.names.len()
    }
}

impl Presence {
    /// Tells others that this process starts at this address. Without a folder to write to nobody can know.
    pub fn announce(folder: &Path, at: SocketAddr, process: u32) -> std::io::Result<Presence> {
        let prefix = format!("appledyke-{}-", at.to_string().replace([':', '[', ']'], "_"));
        let own = format!("{prefix}{process}");
        // Danger: a file that others can see before it is locked would pass for that of a dead process.
        let draft = folder.join(format!("draft-{own}"));
        let lock = File::create(&draft)?;
        let placed = match lock.try_lock() {
            Ok(()) => fs::rename(&draft, folder.join(format!("{own}.{}", Standing::Starting.name()))),
            Err(e) => Err(e.into()),
        };
        if let Err(e) = placed {
            let _ = fs::remove_file(&draft);
            return Err(e);
        }
        Ok(Presence { folder: folder.to_path_buf(), prefix, own, standing: Standing::Starting, _lock: lock })
    }

    fn path(&self, standing: Standing) -> PathBuf {
        self.folder.join(format!("{}.{}", self.own, standing.name()))
    }

    /// Tells others how this process stands from now on: only to one that is ready may they leave the address.
    pub fn stands(&mut self, standing: Standing) {
        if self.standing != standing {
            match fs::rename(self.path(self.standing), self.path(standing)) {
                Ok(()) => self.standing = standing,
                Err(e) => log::warn!("presence: {e}"),
            }
        }
    }

    /// Leaves a word for the others. Danger: one that is being written would be read in part.
    pub fn leave_word(&self, word: &str) {
        let draft = self.folder.join(format!("draft-{}.{WORD}", self.own));
        let placed = fs::write(&draft, word).and_then(|()| fs::rename(&draft, self.word()));
        if let Err(e) = placed {
            log::warn!("presence: {e}");
        }
    }

    fn word(&self) -> PathBuf {
        self.folder.join(format!("{}.{WORD}", self.own))
    }

    /// The words that others who are alive have left.
    pub fn words(&self, others: &Others) -> Vec<String> {
        let words = others.names.iter().map(|name| self.folder.join(format!("{name}.{WORD}")));
        words.filter_map(|path| fs::read_to_string(path).ok()).collect()
    }

    /// Looks who else is there, and clears away what dead processes have left.
    ///
    /// # Errors
    /// There is no descriptor to look with, and so nothing is known.
    pub fn others(&self) -> std::io::Result<Others> {
        let mut others = Others::default();
        let entries = match fs::read_dir(&self.folder) {
            Ok(entries) => entries,
            // Danger: who takes itself for alone says no to the health check of an address that another serves.
            Err(e) if lacks_descriptor(&e) => return Err(e),
            Err(_) => return Ok(others),
        };
        for entry in entries.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let Some((process, standing)) = name.rsplit_once('.') else { continue };
            let Some(standing) = Standing::of(standing) else { continue };
            if !process.starts_with(&self.prefix) || process == self.own {
                continue;
            }
            let file = match File::open(entry.path()) {
                Ok(file) => file,
                Err(e) if lacks_descriptor(&e) => return Err(e),
                Err(_) => continue,
            };
            match file.try_lock() {
                Err(TryLockError::WouldBlock) => {
                    others.names.push(process.to_string());
                    others.ready += usize::from(standing == Standing::Ready);
                }
                Ok(()) => {
                    let _ = fs::remove_file(self.folder.join(format!("{process}.{WORD}")));
                    let _ = fs::remove_file(entry.path());
                }
                Err(TryLockError::Error(e)) => log::warn!("presence: {name}: {e}"),
            }
        }
        Ok(others)
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.word());
        let _ = fs::remove_file(self.path(self.standing));
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
        assert_eq!(first.others().unwrap(), Others::default());
        let mut second = Presence::announce(&folder, at, 2).unwrap();
        let _elsewhere = Presence::announce(&folder, "127.0.0.1:5001".parse().unwrap(), 3).unwrap();
        let seen =
            |presence: &Presence| (presence.others().unwrap().alive(), presence.others().unwrap().ready);
        assert_eq!(seen(&first), (1, 0));
        second.stands(Standing::Ready);
        assert_eq!((seen(&first), seen(&second)), ((1, 1), (1, 0)));
        second.leave_word("hot");
        assert_eq!(
            (first.words(&first.others().unwrap()), second.words(&second.others().unwrap())),
            (vec!["hot".into()], vec![])
        );
        second.stands(Standing::Leaving);
        assert_eq!(seen(&first), (1, 0));
        // Killed, it has no time to clear up: its lock is gone, its file is not.
        let (left, word) = (second.path(Standing::Ready), second.word());
        drop(second);
        File::create(&left).unwrap();
        File::create(&word).unwrap();
        assert_eq!(first.others().unwrap(), Others::default());
        assert!(!left.exists() && !word.exists());
        drop(first);
        assert!(Presence::announce(&folder.join("absent"), at, 1).is_err());
        fs::remove_dir_all(&folder).unwrap();
    }
}
