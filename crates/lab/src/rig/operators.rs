//! Whoever moves sidecars from one version to another: a stand-in for the operators of a release. It restarts each that the
//! release has empty, with the version that it is to have, and counts how often.

use std::collections::BTreeMap;
use std::time::Duration;

use appledyke_fleet::messages::{OperatorReply, OperatorRequest};
use appledyke_fleet::releases::{Release, ReleaseState, Stage};

use super::fleet::Daemons;
use super::sidecars::Sidecars;

/// Longest that one look at the releases is waited for.
const LOOK_IN: Duration = Duration::from_millis(300);

#[derive(Default)]
pub struct Operators {
    /// Versions whose processes know of no endpoint.
    pub flawed: Vec<String>,
    /// Those that have been restarted, by the entry that sent each out.
    moved: BTreeMap<(String, u64), String>,
    /// What each runs that has been moved, and those that were to be moved to what they ran.
    pub versions: BTreeMap<String, String>,
    pub twice: Vec<String>,
}

impl Operators {
    /// How a release stands, where anyone can tell.
    pub fn release(daemons: &Daemons, name: &str) -> Option<Release> {
        let releases = match daemons.ask(&OperatorRequest::Releases, LOOK_IN) {
            Ok(OperatorReply::Releases(releases, _)) => releases,
            _ => return None,
        };
        releases.into_iter().find(|release| release.plan.name == name)
    }

    /// One look: those that are empty are restarted. Gives the release as it stood.
    ///
    /// # Errors
    /// Why one does not start.
    pub fn turn(
        &mut self,
        daemons: &Daemons,
        sidecars: &mut Sidecars,
        name: &str,
        beat_ms: u64,
    ) -> Result<Option<Release>, String> {
        let Some(release) = Operators::release(daemons, name) else { return Ok(None) };
        if release.state == ReleaseState::Halted {
            return Ok(Some(release));
        }
        let at: Vec<_> = daemons.replicas().map(|place| (place, daemons.at(place))).collect();
        let empty = release.transitions().filter(|(_, going)| going.stage == Stage::Drained);
        for (who, going) in empty {
            let version = release.plan.version_on(going.to).to_string();
            // One that has been restarted for this going is on its way back.
            if self.moved.contains_key(&(who.clone(), going.started_at)) || !sidecars.names().contains(who) {
                continue;
            }
            self.moved.insert((who.clone(), going.started_at), version.clone());
            if self.versions.insert(who.clone(), version.clone()).as_ref() == Some(&version) {
                self.twice.push(format!("{who} to {version}"));
            }
            sidecars.kill(who);
            sidecars.version(&version, self.flawed.contains(&version));
            sidecars.start(who, &at, beat_ms)?;
        }
        Ok(Some(release))
    }

    /// How often each was restarted with a version.
    pub fn moves(&self, who: &str, version: &str) -> usize {
        self.moved.iter().filter(|((name, _), moved)| name == who && *moved == version).count()
    }
}
