//! Measures latency and resource use of a fleet's daemons, run as processes. Each result is given with the time in the settings
//! that it relates to.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use appledyke_fleet::budgets::{Budget, Resource};
use appledyke_fleet::members::MemberStatus as Member;
use appledyke_fleet::messages::{OperatorReply, OperatorRequest};
use appledyke_fleet::state::SettingsChange;
use serde_json::{Map, Value, json};

use super::fleet::{Daemons, Shape, WAIT_TIMEOUT, ask};
use super::holders::Holders;
use super::sidecars::{Behavior, Clients, Endpoint, Sidecars, max_in_window, request};

/// Clock ticks per second in the processor times of `/proc/ID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The programs, the folder of the run's files, and the base configuration of sidecars.
pub struct Bench<'a> {
    pub daemon: &'a Path,
    pub sidecar: &'a Path,
    pub folder: &'a Path,
    pub base: &'a str,
}

fn settings(number: u64) -> String {
    format!(
        "{{\"rules\": {{\"startCapacity\": 0.3, \"coldNs\": {}, \"overloadForNs\": 1500000000}}}}",
        8_000_000_000 + number
    )
}

fn quantile(times: &mut [f64], fraction: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(((times.len() as f64 - 1.0) * fraction).round() as usize).copied().unwrap_or(0.0)
}

/// Returns the processor time that a process has used, in seconds.
fn processor_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after.split(' ').map(|field| field.parse().unwrap_or(0.0)).collect();
    fields.get(11..13).map_or(0.0, |times| times.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Returns a leader's processor time, and entries, reports and bytes per second, while `during` runs.
fn load(daemons: &mut Daemons, leader: u16, holders: &Holders, during: impl FnOnce()) -> Map<String, Value> {
    let id = daemons.process(leader).id();
    let applied = |daemons: &Daemons| daemons.status(leader).map_or(0, |status| status.applied);
    let (cpu, traffic, entries, start) =
        (processor_seconds(id), holders.traffic(), applied(daemons), Instant::now());
    during();
    let (secs, now) = (start.elapsed().as_secs_f64(), holders.traffic());
    let rows = [
        ("processor_share", (processor_seconds(id) - cpu) / secs),
        ("entries_a_second", (applied(daemons) - entries) as f64 / secs),
        ("reports_a_second", (now.0 - traffic.0) as f64 / secs),
        ("bytes_a_second", (now.1 - traffic.1) as f64 / secs),
    ];
    rows.into_iter().map(|(key, value)| (key.to_string(), value.into())).collect()
}

impl Bench<'_> {
    fn fleet(&self, name: &str, shape: Shape) -> Result<Daemons, String> {
        let mut daemons = Daemons::new(&self.folder.join(name), self.daemon, self.base, shape)?;
        daemons.start_all()?;
        Ok(daemons)
    }

    /// Measures the latency of sequential writes in milliseconds.
    ///
    /// # Errors
    /// What failed to run.
    pub fn commits(&self, puts: usize) -> Result<Value, String> {
        let mut daemons = self.fleet("commits", Shape { compact_every: 100_000, ..Shape::default() })?;
        let leader = daemons.wait_for_leader()?;
        let mut times = Vec::new();
        for number in 0..puts {
            let write =
                daemons.new_write(SettingsChange::Put(settings(number as u64), Vec::new(), Vec::new()), None);
            let start = Instant::now();
            match ask(daemons.at(leader), &OperatorRequest::Write(write), WAIT_TIMEOUT)? {
                OperatorReply::Committed(_) => times.push(start.elapsed().as_secs_f64() * 1e3),
                other => return Err(format!("{other:?}")),
            }
        }
        Ok(
            json!({"what": "commit", "puts": puts, "p50_ms": quantile(&mut times, 0.5), "p99_ms": quantile(&mut times, 0.99)}),
        )
    }

    /// Measures the time from the kill of a leader to the next committed write, in multiples of the election timeout.
    ///
    /// # Errors
    /// What failed to run.
    pub fn elections(&self, rounds: usize) -> Result<Value, String> {
        let shape = Shape::default();
        let mut daemons = self.fleet("elections", shape)?;
        let mut times = Vec::new();
        for round in 0..rounds {
            let leader = daemons.wait_for_leader()?;
            daemons.kill(leader);
            let start = Instant::now();
            daemons.put(&settings(round as u64))?;
            times.push(start.elapsed().as_secs_f64() * 1e3 / shape.election_ms as f64);
            daemons.start(leader)?;
            daemons.wait_for_same_state()?;
        }
        Ok(
            json!({"what": "election", "rounds": rounds, "p50": quantile(&mut times, 0.5), "most": quantile(&mut times, 1.0)}),
        )
    }

    /// Measures the time from the start of a follower until it has applied all entries again.
    ///
    /// # Errors
    /// What failed to run.
    pub fn recovery(&self, entries: usize, compact_every: u64) -> Result<Value, String> {
        let mut daemons =
            self.fleet("recovery", Shape { compact_every, compare_every: 1_000_000, ..Shape::default() })?;
        for number in 0..entries {
            daemons.put(&settings(number as u64))?;
        }
        daemons.wait_for_same_state()?;
        let leader = daemons.wait_for_leader()?;
        let replica =
            daemons.replicas().find(|replica| *replica != leader).ok_or("the fleet has no follower")?;
        let bytes = std::fs::metadata(daemons.folder(replica).join("log.0")).map_or(0, |file| file.len());
        let mut times = Vec::new();
        for _ in 0..5 {
            daemons.kill(replica);
            let start = Instant::now();
            daemons.start(replica)?;
            daemons.wait("the follower to catch up", |fleet| {
                fleet.status(replica).is_some_and(|s| s.role == "Follower" && s.applied >= entries as u64)
            })?;
            times.push(start.elapsed().as_secs_f64() * 1e3);
        }
        Ok(
            json!({"what": "recovery", "entries": entries, "compact_every": compact_every, "log_bytes": bytes, "p50_ms": quantile(&mut times, 0.5)}),
        )
    }

    /// Measures a leader's processor time and bytes per second with a number of members at a heartbeat interval.
    ///
    /// # Errors
    /// What failed to run.
    pub fn members(&self, members: usize, beat: Duration, lasts: Duration) -> Result<Value, String> {
        let shape =
            Shape { election_ms: 1000, beat_ms: 100, lease_ms: 5000, compact_every: 512, ..Shape::default() };
        let mut daemons = self.fleet("members", shape)?;
        let leader = daemons.wait_for_leader()?;
        let mut holders = Holders::new(daemons.own_addresses()?, beat, &[]);
        holders.add(members, 0);
        daemons.wait("all members to serve", |fleet| {
            matches!(fleet.ask(&OperatorRequest::Members, WAIT_TIMEOUT), Ok(OperatorReply::Members(rows))
                if rows.iter().filter(|row| row.status == Member::Serving).count() == members)
        })?;
        let load = load(&mut daemons, leader, &holders, || std::thread::sleep(lasts));
        let mut figures = json!({"what": "members", "members": members, "beat_ms": beat.as_millis() as u64});
        figures.as_object_mut().expect("an object").extend(load);
        Ok(figures)
    }

    /// Measures a leader's processor time, and entries and bytes per second, with a number of holders and budgets: with constant
    /// demand, and while a tenth of the holders changes its demand each second. Also measures how long a holder with a sudden
    /// high demand waits for its share.
    ///
    /// # Errors
    /// What failed to run.
    pub fn holders(&self, members: usize, budgets: usize, lasts: Duration) -> Result<Vec<Value>, String> {
        const WANTED: u64 = 10;
        let beat = Duration::from_millis(500);
        let shape =
            Shape { election_ms: 1000, beat_ms: 100, lease_ms: 5000, compact_every: 512, ..Shape::default() };
        let mut daemons = self.fleet("holders", shape)?;
        let of: Vec<Resource> = Resource::ALL.into_iter().take(budgets).collect();
        let count = members as u64;
        let budget = |of: &Resource| {
            let window_ms = if of.is_concurrency_limit() { 0 } else { 1000 };
            Budget {
                resource: *of,
                quota: 15 * count,
                window_ms,
                min_share: 2,
                standalone_share: 1,
                max_members: 2 * count,
            }
        };
        let rows = of.iter().map(budget).collect();
        let write = daemons.new_write(SettingsChange::Put("{}".to_string(), rows, Vec::new()), None);
        daemons.ask(&OperatorRequest::Write(write), WAIT_TIMEOUT)?;
        let leader = daemons.wait_for_leader()?;
        let mut holders = Holders::new(daemons.own_addresses()?, beat, &of);
        holders.add(members, WANTED);
        daemons.wait("all holders to get their shares", |_| {
            (0..members).all(|who| of.iter().all(|of| holders.share(who, *of) >= WANTED))
        })?;
        std::thread::sleep(Duration::from_secs(2));
        let mut figures = Vec::new();
        for moves in [false, true] {
            let during = || {
                let start = Instant::now();
                let mut round = 0;
                while start.elapsed() < lasts {
                    for who in (0..members).filter(|who| moves && (who + round) % 10 == 0) {
                        holders.set_wanted(who, if round % 2 == 0 { 3 * WANTED } else { WANTED });
                    }
                    round += 1;
                    std::thread::sleep(Duration::from_secs(1).min(lasts));
                }
            };
            let load = load(&mut daemons, leader, &holders, during);
            let mut row = json!({"what": "holders", "members": members, "budgets": budgets, "moves": moves});
            row.as_object_mut().expect("an object").extend(load);
            figures.push(row);
        }
        (0..members).for_each(|who| holders.set_wanted(who, WANTED));
        std::thread::sleep(Duration::from_secs(5));
        let hot = (3 * WANTED).max(count / 5);
        holders.set_wanted(0, hot);
        let start = Instant::now();
        daemons.wait("the hot holder to get its share", |_| holders.share(0, of[0]) * 10 >= hot * 9)?;
        figures.push(json!({
            "what": "hot", "members": members, "budgets": budgets, "wants": hot,
            "secs": start.elapsed().as_secs_f64(),
        }));
        Ok(figures)
    }

    /// Measures how many requests restarted sidecars send to failing endpoints in the first seconds, with or without daemons:
    /// twelve sidecars in front of sixteen endpoints, of which two fail.
    ///
    /// # Errors
    /// What failed to run.
    pub fn returns(&self, with: bool, lasts: Duration) -> Result<Value, String> {
        let mut daemons = self.fleet("returns", Shape::default())?;
        let at: Vec<_> = if with {
            daemons.replicas().map(|replica| (replica, daemons.at(replica))).collect()
        } else {
            Vec::new()
        };
        let mut sidecars = Sidecars::new(&self.folder.join("returns-sidecars"), self.sidecar, self.base, 16)?;
        let name = |number: usize| format!("s{number}");
        for number in 0..12 {
            sidecars.start(&name(number), &at, 200)?;
        }
        sidecars.endpoints[..2].iter().for_each(|endpoint| endpoint.set_behavior(Behavior::Fails));
        let bad = |sidecars: &Sidecars| sidecars.endpoints[..2].iter().map(Endpoint::requests).sum::<u64>();
        let send = |sidecars: &Sidecars, who: &[usize], lasts: Duration| {
            let to: Vec<SocketAddr> = who.iter().map(|number| sidecars.at(&name(*number))).collect();
            let until = Instant::now() + lasts;
            std::thread::scope(|scope| {
                let one = |at: SocketAddr| {
                    scope.spawn(move || {
                        let mut sent = 0;
                        while Instant::now() < until {
                            let _ = request(at, "/menu/1");
                            sent += 1;
                            std::thread::sleep(Duration::from_millis(5));
                        }
                        sent
                    })
                };
                let asked: Vec<_> = to.into_iter().map(one).collect();
                asked.into_iter().map(|one| one.join().unwrap_or(0)).sum::<u64>()
            })
        };
        send(&sidecars, &(0..12).collect::<Vec<_>>(), lasts);
        for number in 0..4 {
            sidecars.kill(&name(number));
            sidecars.start(&name(number), &at, 200)?;
        }
        let before = bad(&sidecars);
        let asked = send(&sidecars, &[0, 1, 2, 3], lasts);
        let failed = bad(&sidecars) - before;
        for replica in daemons.replicas() {
            daemons.kill(replica);
        }
        Ok(json!({"what": "returns", "daemons": with, "reqs": asked, "to_bad_endpoints": failed}))
    }

    /// Measures the share of a quota that twelve sidecars use while their clients demand more than the quota, with demands in
    /// the ratio of one to ten. The quota is divided by daemons, or into equal shares.
    ///
    /// # Errors
    /// What failed to run.
    pub fn budgets(&self, divided: bool, lasts: Duration) -> Result<Value, String> {
        const MEMBERS: u64 = 12;
        const QUOTA: u64 = 600;
        let mut daemons = self.fleet("budgets", Shape::default())?;
        let standalone_share = if divided { 1 } else { QUOTA / MEMBERS };
        let budget = Budget {
            resource: Resource::Attempts,
            quota: QUOTA,
            window_ms: 1000,
            min_share: 2,
            standalone_share,
            max_members: MEMBERS,
        };
        let at: Vec<_> = if divided {
            daemons.replicas().map(|replica| (replica, daemons.at(replica))).collect()
        } else {
            vec![(1, SocketAddr::from(([127, 0, 0, 1], 1)))]
        };
        if divided {
            let write =
                daemons.new_write(SettingsChange::Put("{}".to_string(), vec![budget], Vec::new()), None);
            daemons.ask(&OperatorRequest::Write(write), WAIT_TIMEOUT)?;
        }
        let mut sidecars = Sidecars::new(&self.folder.join("budgets-sidecars"), self.sidecar, self.base, 8)?;
        sidecars.set_alone(json!({"write-outs": {"part": standalone_share, "windowMs": 1000}}));
        let mut clients = Vec::new();
        for number in 0..MEMBERS {
            let name = format!("s{number}");
            sidecars.start(&name, &at, 200)?;
            // 10 to 110 requests per second.
            let wants = 10 + 100 * number / (MEMBERS - 1);
            let pause = Duration::from_secs_f64(1.0 / wants as f64);
            clients.push(Clients::start(&[sidecars.at(&name)], "/menu/1", pause));
        }
        let count = |sidecars: &Sidecars| sidecars.endpoints.iter().map(Endpoint::requests).sum::<u64>();
        std::thread::sleep(Duration::from_secs(5));
        let (before, start) = (count(&sidecars), Instant::now());
        std::thread::sleep(lasts);
        let used = (count(&sidecars) - before) as f64 / start.elapsed().as_secs_f64();
        let times = sidecars.endpoints.iter().flat_map(Endpoint::times).collect();
        let most = max_in_window(times, Duration::from_millis(940)).0;
        let entries = if divided {
            daemons.status(daemons.wait_for_leader()?).map_or(0, |status| status.applied)
        } else {
            0
        };
        clients.into_iter().for_each(|clients| drop(clients.stop()));
        Ok(
            json!({"what": "budgets", "divided": divided, "used": used / QUOTA as f64, "most_in_a_window": most, "whole": QUOTA, "entries": entries}),
        )
    }
}
