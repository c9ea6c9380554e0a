//! Real sidecars of two tiers among the emulator's endpoints and lists, under the load tool: all on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;

use appledyke_lab::scenario::Scenario;
use appledyke_lab::{emulate, load};

/// Three seconds with most that can go wrong among endpoints; the first second is calm.
const ROUGH: &str = "name='rough'\nlength_ms=3000\nzones=2\n[load]\nper_second=60\nretries=2\n[list]\ndelay_ms=100\n\
    [[method]]\nname='view'\nshare=0.7\neffect='retryable'\nlatency_budget_ms=1500\ndeadline_ms=2000\n\
    [[method]]\nname='order'\nshare=0.3\neffect='deduplicated'\ngroup='cell'\nlatency_budget_ms=1500\ndeadline_ms=2000\n\
    [[tier]]\nsidecars=2\nendpoints=6\ncores=2\nplaces=20\nwork_ms=[5]\ncalls=1\n\
    [[tier]]\nendpoints=4\ncores=2\nplaces=20\nwork_ms=[3]\n";

const FAULTS: &str = "[[fault]]\nkind='crash'\nfrom_ms=1000\nfor_ms=1000\nids=[0]\n\
    [[fault]]\nkind='quick-errors'\nfrom_ms=1000\nfor_ms=1500\nids=[1]\n\
    [[fault]]\nkind='spoilt'\nfrom_ms=1000\nfor_ms=1500\nids=[2]\n\
    [[fault]]\nkind='cut'\ntier=1\nfrom_ms=1000\nfor_ms=1500\nids=[0]\n\
    [[fault]]\nkind='silence'\ntier=1\nfrom_ms=1500\nfor_ms=1000\nids=[1]\n\
    [[fault]]\nkind='restart-sidecars'\nfrom_ms=1200\nfor_ms=500\nids=[1]\n";

/// The sidecar's program, which `cargo test --workspace` builds beside this test.
fn sidecar() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let program = test.ancestors().nth(2).unwrap().join("appledyke-sidecar");
    assert!(program.exists(), "{} is missing: build the whole workspace", program.display());
    program
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("appledyke-lab-{}-{name}", std::process::id()))
}

#[test]
fn sidecars_of_two_tiers_keep_the_rules_and_serve_through_faults() {
    let play = |text: &str, name: &str| {
        let scenario = Scenario::parse(text).unwrap();
        let folder = folder(name);
        let (outcomes, _) = emulate::play(&scenario, 3, &sidecar(), &folder).unwrap();
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(outcomes.broken.is_empty(), "{name}: {:?} {:?}", outcomes.broken, outcomes.told);
        let sent: Vec<u64> = (0..2).map(|tier| outcomes.windows.iter().map(|w| w.sent[tier]).sum()).collect();
        let vain: u64 = outcomes.windows.iter().flat_map(|w| &w.vain).sum();
        // Each request that was served has been to both tiers.
        let served = outcomes.whole.in_time + outcomes.whole.late;
        assert!(served > 0 && sent.iter().all(|sent| *sent >= served), "{name}: {served} of {sent:?}");
        (outcomes, vain)
    };
    let (calm, vain) = play(ROUGH, "calm");
    assert_eq!((calm.whole.failed, vain), (0, 0), "{:?}", calm.whole);
    let (rough, vain) = play(&format!("{ROUGH}{FAULTS}"), "rough");
    // The faults strike, and most is served all the same.
    assert!(vain > 0, "{:?}", rough.whole);
    assert!(rough.whole.goodput() > 0.7, "{:?}", rough.whole);
}

#[test]
fn load_goes_to_the_loopback_only_and_tells_of_requests_without_an_answer() {
    let scenario = Scenario::parse(&ROUGH.replace("length_ms=3000", "length_ms=200")).unwrap();
    let away: SocketAddr = "192.0.2.1:80".parse().unwrap();
    let said = load::run(&scenario, 1, &[away], |_| 1.0).err().unwrap();
    assert_eq!(said, "--to: 192.0.2.1:80 is not on the loopback");
    // One that takes connections and never answers: each request is lost, and said so.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let loaded = load::run(&scenario, 1, &[silent.local_addr().unwrap()], |_| 1.0).unwrap();
    let offered = loaded.counters.outcomes("nobody", 1).whole.offered;
    assert!(offered > 0 && loaded.lost == offered, "{} of {offered}", loaded.lost);
    assert_eq!(load::broken(&loaded).get("NoReqLost"), Some(&offered));
}

#[test]
fn latency_counts_from_the_scheduled_time_whatever_comes_back() {
    // A server that answers nobody for its first 300 ms, then all at once: who came early has waited long.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let trace: Vec<String> = (0..20).map(|at| (at * 10).to_string()).collect();
    let text = ROUGH.replace("per_second=60", &format!("per_second=0\ntrace_ms=[{}]", trace.join(", ")));
    let scenario = Scenario::parse(&text).unwrap();
    std::thread::spawn(move || {
        let mut held: Vec<std::net::TcpStream> = Vec::new();
        // An open loop has all twenty connections open before the first answer.
        while held.len() < 20 {
            held.push(listener.accept().unwrap().0);
        }
        for mut stream in held {
            use std::io::{BufRead, BufReader, Write};
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            let id = lines.find_map(|line| line.ok()?.strip_prefix("X-Txn: ").map(str::to_string)).unwrap();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{id}").unwrap();
        }
    });
    let loaded = load::run(&scenario, 1, &[at], |_| 1.0).unwrap();
    let times = &loaded.counters.times;
    assert_eq!((times.len(), loaded.lost, loaded.foreign), (20, 0, 0));
    // The first came 190 ms before the last, and its answer no earlier than the last had come.
    assert!(times.iter().any(|secs| *secs >= 0.19), "{times:?}");
}
