//! The short forms of the multi-process scenarios. A failure prints the scenario's name and its seed, and replays with
//! `appledyke-lab fleet FILE --seed N`.

use std::path::Path;

use appledyke_lab::rig::play::{Place, Scenario, play};
use appledyke_lab::rig::processes::beside;

const BASE: &str = include_str!("../../../examples/sidecar.json");

#[test]
fn replicas_agree_under_random_faults() {
    let text = include_str!("../../lab/scenarios/processes-state-short.toml");
    let scenario = Scenario::parse(text).unwrap();
    let folder = std::env::temp_dir().join(format!("appledyke-scenario-{}", std::process::id()));
    let (daemon, sidecar) =
        (Path::new(env!("CARGO_BIN_EXE_appledyke-daemon")), beside("appledyke-sidecar").unwrap());
    let place = Place { daemon, sidecar: &sidecar, folder: &folder, base: BASE };
    let seed = 1;
    let played = play(&scenario, seed, &place, None).unwrap();
    assert!(
        played.broken.is_empty(),
        "{} seed {seed}: {:#?}\n{:#?}",
        scenario.name,
        played.broken,
        played.struck
    );
    // The run was not trivial: faults were injected, and writes took effect among them.
    assert!(played.struck.len() > 5 && played.versions > 10, "{played:?}");
}

#[test]
fn releases_end_despite_a_killed_leader_and_a_suspended_sidecar() {
    let text = include_str!("../../lab/scenarios/processes-drains-short.toml");
    let scenario = Scenario::parse(text).unwrap();
    let folder = std::env::temp_dir().join(format!("appledyke-scenario-drains-{}", std::process::id()));
    let (daemon, sidecar) =
        (Path::new(env!("CARGO_BIN_EXE_appledyke-daemon")), beside("appledyke-sidecar").unwrap());
    let place = Place { daemon, sidecar: &sidecar, folder: &folder, base: BASE };
    let seed = 1;
    let played = play(&scenario, seed, &place, None).unwrap();
    let (broken, struck) = (&played.broken, &played.struck);
    assert!(broken.is_empty(), "{} seed {seed}: {broken:#?}\n{struck:#?}", scenario.name);
    assert!(played.releases.is_some_and(|(ended, _, _)| ended >= 1), "{played:?}");
}

#[test]
fn scenario_errors_name_the_faulty_key() {
    let text = include_str!("../../lab/scenarios/processes-state-short.toml");
    for (from, to, expected) in [
        ("daemons = 3", "daemons = 0", "daemons: expected 1 to 9, not 0"),
        ("kind = \"stop\"", "kind = \"stun\"", "fault[0].kind: "),
        ("for_ms = 1200", "for_ms = 120000", "fault[0].for_ms: it lasts longer than the run"),
        ("daemons = 3", "demons = 3", "demons: "),
    ] {
        let error = Scenario::parse(&text.replacen(from, to, 1)).unwrap_err();
        assert!(error.starts_with(expected), "{error}");
    }
}
