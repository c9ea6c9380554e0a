//! Acts as the operators of a release: restarts each drained sidecar with the version that the release assigns, and counts
//! the restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use appledyke_fleet::messages::{OperatorReply, OperatorRequest};
use appledyke_fleet::releases::{Release, ReleaseState, Stage};

use super::fleet::Daemons;
use super::sidecars::Sidecars;

/// Timeout of a request for the releases.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
pub struct Operators {
    /// Versions that are started without endpoints, so that they fail.
    pub failing_versions: Vec<String>,
    /// Versions that sidecars were restarted with, by name and the log entry that started the transition.
    moved: BTreeMap<(String, u64), String>,
    /// Current version of each sidecar that was restarted.
    pub versions: BTreeMap<String, String>,
    /// Sidecars that were to be moved to the version that they already ran.
    pub moved_twice: Vec<String>,
}

impl Operators {
    /// Returns the state of a release, if a daemon reports it.
    pub fn release(daemons: &Daemons, name: &str) -> Option<Release> {
        let releases = match daemons.ask(&OperatorRequest::Releases, POLL_TIMEOUT) {
            Ok(OperatorReply::Releases(releases, _)) => releases,
            _ => return None,
        };
        releases.into_iter().find(|release| release.plan.name == name)
    }

    /// Polls a release, restarts its drained sidecars, and returns the state before the restarts.
    ///
    /// # Errors
    /// Why a sidecar does not start.
    pub fn poll(
        &mut self,
        daemons: &Daemons,
        sidecars: &mut Sidecars,
        name: &str,
        heartbeat_ms: u64,
    ) -> Result<Option<Release>, String> {
        let Some(release) = Operators::release(daemons, name) else { return Ok(None) };
        if release.state == ReleaseState::Halted {
            return Ok(Some(release));
        }
        let at: Vec<_> = daemons.replicas().map(|replica| (replica, daemons.at(replica))).collect();
        let drained = release.transitions().filter(|(_, transition)| transition.stage == Stage::Drained);
        for (who, transition) in drained {
            let version = release.plan.version_on(transition.to).to_string();
            // A sidecar that was already restarted for this transition is still starting.
            if self.moved.contains_key(&(who.clone(), transition.started_at))
                || !sidecars.names().contains(who)
            {
                continue;
            }
            self.moved.insert((who.clone(), transition.started_at), version.clone());
            if self.versions.insert(who.clone(), version.clone()).as_ref() == Some(&version) {
                self.moved_twice.push(format!("{who} to {version}"));
            }
            sidecars.kill(who);
            sidecars.set_version(&version, self.failing_versions.contains(&version));
            sidecars.start(who, &at, heartbeat_ms)?;
        }
        Ok(Some(release))
    }

    /// Returns how often a sidecar was restarted with a version.
    pub fn restarts(&self, who: &str, version: &str) -> usize {
        self.moved.iter().filter(|((name, _), moved)| name == who && *moved == version).count()
    }
}
