//! The command line: an error is one line with exit status 2, and no partial output is written.

use std::path::PathBuf;
use std::process::{Command, Output};

const GOOD: &str = "name='a'\nlength_ms=500\n[load]\nper_second=50\n[[method]]\nname='view'\nshare=1.0\n\
    effect='retryable'\nlatency_budget_ms=100\ndeadline_ms=300\n[[tier]]\nsidecars=1\nendpoints=2\nwork_ms=[5]\n";

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_appledyke-lab")).args(arguments).output().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("appledyke-lab-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn invalid_input_is_a_one_line_error_and_writes_nothing() {
    let folder = folder("bad");
    let (scenario, out) = (folder.join("s.toml"), folder.join("out.json"));
    let (scenario_text, out_text) = (scenario.to_str().unwrap(), out.to_str().unwrap());
    for (more, key) in [
        ("colour=1\n", "colour"),
        ("[[fault]]\nkind='slow'\nfrom_ms=0\nfor_ms=1\nshare=-0.5\n", "fault.0.share"),
        ("[[fault]]\nkind='zone-loss'\nfrom_ms=0\nfor_ms=1\nids=[1]\n", "fault.0.ids"),
        ("[[fault]]\nkind='slow'\n", "fault[0]"),
    ] {
        std::fs::write(&scenario, format!("{GOOD}{more}")).unwrap();
        for command in ["simulate", "emulate"] {
            let done = lab(&[command, scenario_text, "--out", out_text]);
            let stderr = String::from_utf8(done.stderr).unwrap();
            assert_eq!((done.status.code(), stderr.lines().count()), (Some(2), 1), "{command}: {stderr}");
            assert!(stderr.contains("s.toml") && stderr.contains(key), "{command}: {stderr}");
            assert!(!out.exists());
        }
    }
    std::fs::write(&scenario, GOOD).unwrap();
    for arguments in [
        &["load", scenario_text, "--to", "10.0.0.1:80", "--out", out_text][..],
        &["load", scenario_text, "--to", "nowhere", "--out", out_text],
        &["simulate", scenario_text, "--policy", "best", "--out", out_text],
        &["sweep", scenario_text, "--sizes", "100000"],
        &["report", out_text],
        &["compare", scenario_text, "--policies", "module"],
    ] {
        let done = lab(arguments);
        let stderr = String::from_utf8(done.stderr).unwrap();
        assert_eq!((done.status.code(), stderr.lines().count()), (Some(2), 1), "{arguments:?}: {stderr}");
        assert!(!out.exists());
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn sweep_compare_and_report_produce_results() {
    let folder = folder("good");
    let at = |name: &str| folder.join(name).to_str().unwrap().to_string();
    std::fs::write(folder.join("s.toml"), GOOD).unwrap();
    for (out, workers) in [("one", "1"), ("many", "3")] {
        let swept = lab(&[
            "sweep",
            &at("s.toml"),
            "--seeds",
            "4",
            "--sizes",
            "1,2",
            "--workers",
            workers,
            "--out",
            &at(out),
        ]);
        assert!(swept.status.success(), "{swept:?}");
    }
    for file in ["1-1.json", "1-4.json", "2-3.json"] {
        let read = |of: &str| std::fs::read(folder.join(of).join(file)).unwrap();
        assert_eq!(read("one"), read("many"), "{file}");
    }
    // Two runs of the same build do not differ.
    let compared = lab(&["compare", &at("one"), &at("many"), "--json"]);
    let text = String::from_utf8(compared.stdout).unwrap();
    assert!(text.contains("\"pairs\":8") && text.contains("\"mean\":0.0"), "{text}");
    let drawn = lab(&["report", &at("one/1-1.json"), "--svg", &at("one.svg")]);
    assert!(drawn.status.success() && String::from_utf8(drawn.stdout).unwrap().contains("rules kept"));
    assert!(std::fs::read_to_string(at("one.svg")).unwrap().starts_with("<svg"));
    std::fs::remove_dir_all(&folder).unwrap();
}
