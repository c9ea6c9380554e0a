//! The simulator, its faults and the rule checker.

use appledyke_lab::faults::Faults;
use appledyke_lab::policy::{Flaw, PolicyKind};
use appledyke_lab::report::Outcomes;
use appledyke_lab::scenario::{Scenario, at_ms};
use appledyke_lab::simulate::play;
use appledyke_lab::sweep;

/// Two zones, two tiers and a method of each effect, under light load: without a fault, no attempt fails.
const CALM: &str = "name='calm'\nlength_ms=12000\nzones=2\n[load]\nper_second=100\n\
    [[method]]\nname='view'\nshare=0.6\neffect='retryable'\nlatency_budget_ms=500\ndeadline_ms=1500\n\
    [[method]]\nname='order'\nshare=0.2\neffect='deduplicated'\ngroup='cell'\nlatency_budget_ms=500\ndeadline_ms=1500\n\
    [[method]]\nname='pay'\nshare=0.2\neffect='non-retryable'\nlatency_budget_ms=500\ndeadline_ms=1500\n\
    [[tier]]\nsidecars=4\nendpoints=8\ncores=4\nwork_ms=[10]\nspread='fixed'\ncalls=1\n\
    [[tier]]\nendpoints=8\ncores=4\nwork_ms=[5]\nspread='fixed'\n";

fn outcomes(text: &str, policy: PolicyKind, seed: u64) -> Outcomes {
    let scenario = Scenario::parse(text).expect(text);
    play(&scenario, policy, seed).outcomes("a test", seed)
}

fn with_fault(fault: &str) -> String {
    format!("{CALM}[[fault]]\nfrom_ms=3000\nfor_ms=6000\n{fault}\n")
}

fn failed_attempts(of: &Outcomes) -> u64 {
    of.windows.iter().flat_map(|w| &w.vain).sum()
}

#[test]
fn each_fault_has_its_effect_and_nothing_fails_without_one() {
    let calm = outcomes(CALM, PolicyKind::Random, 5);
    assert_eq!((failed_attempts(&calm), calm.whole.failed, calm.whole.rejected), (0, 0, 0));
    assert!(calm.whole.in_time == calm.whole.offered && calm.broken.is_empty());
    let up = |of: &Outcomes, at: usize| of.windows[at].up[0];
    assert!((0..12).all(|at| up(&calm, at) == 8));
    for kind in ["quick-errors", "spoilt", "cut", "reset", "lost-answers", "refuse", "silence", "crash"] {
        let faulted = outcomes(&with_fault(&format!("kind='{kind}'\nshare=0.25")), PolicyKind::Random, 5);
        assert!(failed_attempts(&faulted) > 0, "{kind}");
        assert!(faulted.whole.failed + faulted.whole.rejected > 0, "{kind}");
        // Before the fault begins, the run equals the one without it.
        assert_eq!(faulted.windows[..3], calm.windows[..3], "{kind}");
    }
    for (fault, down) in [("kind='crash'\nids=[2]", 7), ("kind='zone-loss'\nids=[1]", 4), ("kind='crash'", 0)]
    {
        let faulted = outcomes(&with_fault(fault), PolicyKind::Random, 5);
        assert_eq!((up(&faulted, 2), up(&faulted, 5), up(&faulted, 11)), (8, down, 8), "{fault}");
    }
    let usual = calm.latency_us[2];
    for fault in ["kind='slow'\nshare=0.5\nsize=8", "kind='pause'\nids=[0]"] {
        let faulted = outcomes(&with_fault(fault), PolicyKind::Random, 5);
        assert!(faulted.latency_us[3] > 2 * usual, "{fault}: {:?} and {usual}", faulted.latency_us);
    }
    let burst = outcomes(&with_fault("kind='burst'\nsize=4"), PolicyKind::Random, 5);
    assert!(burst.windows[5].counts.offered > 2 * calm.windows[5].counts.offered);
    let restarts = outcomes(&with_fault("kind='restart-sidecars'\nshare=1.0"), PolicyKind::Random, 5);
    assert!(restarts.whole.failed > 0 && restarts.broken.is_empty(), "{:?}", restarts.told);
    let deploy = outcomes(&with_fault("kind='deploy'\nids=[0, 1]"), PolicyKind::Random, 5);
    assert!((3..12).any(|at| up(&deploy, at) < 8) && up(&deploy, 11) >= 7);
    // With a late or absent list, sidecars keep sending to endpoints that are gone.
    let crash = "kind='crash'\nids=[2]";
    let timely = failed_attempts(&outcomes(&with_fault(crash), PolicyKind::Random, 5));
    for list in ["kind='list-late'\nsize=4000", "kind='list-absent'"] {
        let text = format!("{}[[fault]]\nfrom_ms=3000\nfor_ms=6000\n{list}\n", with_fault(crash));
        assert!(failed_attempts(&outcomes(&text, PolicyKind::Random, 5)) > timely, "{list}");
    }
    let hot = Scenario::parse(&with_fault("kind='hot-sidecar'\nids=[3]\nsize=5")).unwrap();
    let faults = Faults::draw(&hot, 1);
    let heat = |ms| [2, 3].map(|sidecar| faults.heat(sidecar, at_ms(ms)));
    assert_eq!((heat(2999), heat(3000), heat(9000)), ([1.0, 1.0], [1.0, 5.0], [1.0, 1.0]));
}

#[test]
fn checker_detects_each_flaw_and_the_balancer_breaks_no_rule() {
    let trouble = "kind='crash'\nids=[1, 2]\n[[fault]]\nkind='lost-answers'\nfrom_ms=2000\nfor_ms=6000\nshare=0.5\n\
        [[fault]]\nkind='reset'\nfrom_ms=2000\nfor_ms=6000\nshare=0.3\n\
        [[fault]]\nkind='deploy'\nfrom_ms=2000\nfor_ms=9000\nids=[5, 6]\n";
    // A short drain grace, so that sending to a draining endpoint is a violation before it stops.
    let text = with_fault(trouble).replace("[load]", "[rules]\ndrain_grace_ms=500\n[load]");
    for (flaw, rule) in [
        (Flaw::GivesNoAnswer, "NoReqLost"),
        (Flaw::RepeatsWhatMayHaveRun, "NoEffectTwice"),
        (Flaw::SendsToWhatDrains, "DrainsKept"),
        (Flaw::CrowdsWhatIsCold, "ColdNotPushedOver"),
    ] {
        let heavy = text.replace("per_second=100", "per_second=1200");
        let of = outcomes(&heavy, PolicyKind::Bad(flaw), 3);
        assert!(of.broken.contains_key(rule), "{flaw:?}: {:?}", of.broken);
    }
    for seed in 1..6 {
        let of = outcomes(&text, PolicyKind::Module, seed);
        assert!(of.broken.is_empty(), "seed {seed}: {:?} {:?}", of.broken, of.told);
        // The faults do cause failed attempts, and most requests are served anyway.
        assert!(failed_attempts(&of) > 0 && of.whole.goodput() > 0.9, "seed {seed}: {:?}", of.whole);
    }
}

#[test]
fn same_seed_gives_the_same_report_on_any_number_of_threads() {
    let scenario = Scenario::parse(&with_fault("kind='crash'\nshare=0.25")).unwrap();
    let seeds: Vec<u64> = (1..9).collect();
    let on = |workers| {
        sweep::each(&seeds, workers, |seed| {
            play(&scenario, PolicyKind::Module, *seed).outcomes("module", *seed).json()
        })
    };
    let one = on(1);
    assert_eq!(one, on(4));
    assert!(one.windows(2).all(|pair| pair[0] != pair[1]));
}

#[test]
fn edge_cases_of_size_and_schedule_break_no_rule() {
    for policy in [PolicyKind::Module, PolicyKind::Random, PolicyKind::LeastOfTwo] {
        // Without endpoints all requests are rejected and none is lost.
        let none = outcomes(&CALM.replace("endpoints=8", "endpoints=0"), policy, 1);
        assert_eq!((none.whole.rejected, none.broken.len()), (none.whole.offered, 0), "{policy:?}");
        // One endpoint per tier, and a fault that affects all of them and outlasts the run.
        let one = CALM.replace("endpoints=8", "endpoints=1");
        let all = format!("{one}[[fault]]\nkind='silence'\nfrom_ms=4000\nfor_ms=100000000\nshare=1.0\n");
        let of = outcomes(&all, policy, 1);
        assert!(of.broken.is_empty() && of.whole.in_time > 0, "{policy:?} {:?}", of.told);
        assert!(of.windows[6..12].iter().all(|w| w.counts.in_time == 0), "{policy:?}");
        // Clients that disconnect, some at the very time of their answer.
        let of = outcomes(&CALM.replace("per_second=100", "per_second=100\nimpatient=1.0"), policy, 1);
        assert!(
            of.broken.is_empty() && of.whole.failed > 0 && of.whole.in_time > 0,
            "{policy:?} {:?}",
            of.told
        );
    }
}

#[test]
fn simultaneous_events_run_in_scheduling_order() {
    // Two requests at one time for one core with one place: the first scheduled gets it.
    let text = "name='tie'\nlength_ms=1000\n[load]\nper_second=0\ntrace_ms=[100, 100]\n[net]\nhop_ms=0\n\
        [[method]]\nname='view'\nshare=1.0\neffect='retryable'\nlatency_budget_ms=500\ndeadline_ms=900\n\
        [[tier]]\nsidecars=1\nendpoints=1\nplaces=1\nwork_ms=[10]\nspread='fixed'\n";
    let of = outcomes(text, PolicyKind::Random, 1);
    assert_eq!((of.whole.in_time, of.whole.rejected), (1, 1));
}

#[test]
fn a_crashing_endpoint_loses_queued_and_running_requests() {
    // One core and ten requests at once: the first is answered at 20 ms, and the endpoint crashes at 35 ms.
    let trace = ["10"; 10].join(", ");
    let text = format!(
        "name='dies'\nlength_ms=1000\n[load]\nper_second=0\ntrace_ms=[{trace}]\n[net]\nhop_ms=0\n\
         [[method]]\nname='view'\nshare=1.0\neffect='non-retryable'\nlatency_budget_ms=500\ndeadline_ms=900\n\
         [[tier]]\nsidecars=1\nendpoints=1\nwork_ms=[10]\nspread='fixed'\n\
         [[fault]]\nkind='crash'\nfrom_ms=35\nfor_ms=100\n"
    );
    let of = outcomes(&text, PolicyKind::Random, 1);
    assert_eq!((of.whole.in_time, of.whole.failed, of.broken.len()), (2, 8, 0), "{:?}", of.whole);
}

#[test]
fn damaged_result_file_is_rejected_with_file_and_key() {
    let whole = outcomes(CALM, PolicyKind::Random, 1).json();
    let folder = std::env::temp_dir().join(format!("appledyke-lab-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("result.json");
    let read = |text: &str| {
        std::fs::write(&path, text).unwrap();
        Outcomes::read(&path)
    };
    assert_eq!(read(&whole).unwrap().json(), whole);
    for (text, key) in [
        (whole.replace("\"format\":1", "\"format\":9"), "format: expected 1, not 9"),
        (whole.replace("\"seed\":1", "\"seed\":\"x\""), "seed: "),
        (whole[..whole.len() / 2].to_string(), "result.json: "),
        (whole.clone() + &whole, "more than one result"),
    ] {
        let said = read(&text).unwrap_err();
        assert!(said.contains(key) && said.contains("result.json") && !said.contains('\n'), "{said}");
    }
    assert!(read(&whole).unwrap().svg().unwrap().contains("worth served"));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Danger: a sidecar that receives many times its share of the load may raise its concurrency limit too slowly. Until it
/// does, it rejects requests although the endpoints have spare capacity.
#[test]
fn hot_sidecars_soon_reject_few_while_endpoints_have_capacity() {
    let text = "name='hot'\nlength_ms=12000\n[load]\nper_second=1500\nretries=2\n\
        [[method]]\nname='view'\nshare=1.0\neffect='retryable'\nlatency_budget_ms=1000\ndeadline_ms=3000\n\
        [[tier]]\nsidecars=100\nendpoints=100\ncores=2\nwork_ms=[60]\n\
        [[fault]]\nkind='hot-sidecar'\nfrom_ms=2000\nfor_ms=10000\nids=[0, 1, 2]\nsize=15\n";
    for seed in 1..3 {
        let of = outcomes(text, PolicyKind::Module, seed);
        // From two seconds after the start of the fault, of about 3,800 requests to the three sidecars: a fifth, not a third.
        let again: u64 = of.windows[4..12].iter().map(|w| w.retries).sum();
        assert!(again < 800 && of.broken.is_empty(), "seed {seed}: {again} rejected and retried");
    }
}
