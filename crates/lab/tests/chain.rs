//! Call chains through many tiers with a failing lowest tier: when attempts multiply, and what prevents it.

use std::process::Command;

use appledyke_lab::chain::{Case, Fails, Figures, rows, table};
use appledyke_lab::policy::PolicyKind;

fn play(tiers: usize, fails: Fails, policy: PolicyKind, deadline_passed: bool, budget: bool) -> Figures {
    let case = Case { tiers, fails, policy, deadline_passed, budget };
    case.play(1).unwrap_or_else(|why| panic!("{case:?}: {why}"))
}

#[test]
fn without_failures_each_tier_gets_one_attempt_per_request() {
    for (name, policy, budget) in rows() {
        for deadline_passed in [true, false] {
            let of = play(3, Fails::Nothing, policy, deadline_passed, budget);
            assert!((of.lowest - 1.0).abs() < 0.01 && (of.all - 3.0).abs() < 0.03, "{name}: {of:?}");
            assert!(of.served > 0.999 && of.broken == 0 && of.requests > 1400, "{name}: {of:?}");
        }
    }
}

/// Danger: with three attempts at each of n tiers, one client request causes 3^n attempts at the lowest tier.
#[test]
fn retries_at_each_tier_multiply_in_an_outage_and_the_balancers_do_not() {
    for tiers in [2, 3, 4] {
        let tries = play(tiers, Fails::Outage, PolicyKind::Tries, true, false).lowest;
        // One attempt per request while all is well and the maximum during the outage, for half of the time each.
        let wanted = (1.0 + 3.0_f64.powi(tiers as i32)) / 2.0;
        assert!((tries / wanted - 1.0).abs() < 0.08, "{tiers}: {tries} of {wanted}");
    }
    // With a retry budget per tier: a fifth more attempts at each, plus the saved tokens.
    let purse = play(4, Fails::Outage, PolicyKind::TriesByPurse, true, false);
    assert!((1.2..2.5).contains(&purse.lowest), "{purse:?}");
    for tiers in [2, 4, 14] {
        let module = play(tiers, Fails::Outage, PolicyKind::Module, true, false);
        assert!(module.lowest < 1.5 && module.broken == 0, "{tiers}: {module:?}");
        assert!(module.all < 1.5 * tiers as f64, "{tiers}: {module:?}");
    }
}

/// Danger: a nested call with a full deadline of its own keeps running, as do its own calls, after its caller has given up.
#[test]
fn inherited_deadline_ends_abandoned_calls() {
    let tries = |passed| play(6, Fails::Outage, PolicyKind::Tries, passed, false);
    let (passed, anew) = (tries(true), tries(false));
    assert!(anew.lowest > 1.15 * passed.lowest, "{anew:?} against {passed:?}");
    let capacity = |passed| play(6, Fails::Capacity, PolicyKind::TriesByPurse, passed, false);
    let (passed, anew) = (capacity(true), capacity(false));
    assert!(anew.lowest > passed.lowest && anew.served < passed.served, "{anew:?} against {passed:?}");
}

/// Danger: with a retry budget at the first tier alone, attempts would still multiply at the other tiers.
#[test]
fn retry_budget_limits_attempts_at_each_tier() {
    for tiers in [2, 6] {
        let of = play(tiers, Fails::Outage, PolicyKind::Tries, true, true);
        // A tenth more attempts at each tier: 1.1^6 = 1.8, plus an allowance for adjacent budget windows.
        assert!(of.lowest < 1.1_f64.powi(tiers as i32) * 1.15, "{tiers}: {of:?}");
        let without = play(tiers, Fails::Outage, PolicyKind::Tries, true, false);
        assert!(without.lowest > 1.5 * of.lowest, "{without:?} against {of:?}");
    }
}

#[test]
fn random_failures_are_served_by_a_retry() {
    let one = play(14, Fails::Answers, PolicyKind::Random, true, false);
    let module = play(14, Fails::Answers, PolicyKind::Module, true, false);
    assert!((0.45..0.55).contains(&one.served), "{one:?}");
    assert!(module.served > 0.99 && module.lowest < 2.3 && module.broken == 0, "{module:?}");
    // Half of the endpoints fail: they are detected and receive almost no requests.
    let module = play(14, Fails::Endpoints, PolicyKind::Module, true, false);
    assert!(module.served > 0.99 && module.lowest < 1.15, "{module:?}");
}

/// Danger: a throttle at each tier counts rejections by the tier below as failures, so a chain of throttles recovers slowly.
#[test]
fn a_chain_of_throttles_recovers_within_20_s_of_an_outage() {
    let plain = play(14, Fails::Outage, PolicyKind::Random, true, false);
    let lowest = play(14, Fails::Outage, PolicyKind::AtLowest, true, false);
    let module = play(14, Fails::Outage, PolicyKind::Module, true, false);
    assert_eq!(plain.back_after, Some(0.0));
    assert!(lowest.back_after < Some(4.0), "{lowest:?}");
    // It took four to thirteen seconds on five seeds. The test requires that it recovers; how soon depends on the throttle.
    assert!(module.back_after < Some(20.0), "{module:?}");
    // Also checks that the delay is measured. Remove this once the throttle counts rejections separately.
    assert!(
        module.back_after > lowest.back_after && lowest.back_after > plain.back_after,
        "{module:?}, {lowest:?}"
    );
}

#[test]
fn same_seed_gives_the_same_table_on_any_number_of_threads() {
    let one = table(2, 3, 1).expect("two tiers");
    assert_eq!(one, table(2, 3, 4).expect("two tiers"));
    let of = |seed| {
        Case {
            tiers: 2,
            fails: Fails::Answers,
            policy: PolicyKind::Module,
            deadline_passed: true,
            budget: false,
        }
        .play(seed)
    };
    assert!(of(3) == of(3) && of(3) != of(4));
    assert_eq!(one.lines().count(), 2 + 4 * 9 * 2);
    assert!(!one.contains("BROKEN"), "{one}");
}

#[test]
fn invalid_number_of_tiers_is_a_one_line_error() {
    for (tiers, why) in [("1", "tiers: expected 2 or more, not 1"), ("17", "tier: expected 1 to 16, not 17")]
    {
        let done = Command::new(env!("CARGO_BIN_EXE_appledyke-lab"))
            .args(["chain", "--tiers", tiers])
            .output()
            .expect("the laboratory's program");
        let said = String::from_utf8(done.stderr).expect("text");
        assert_eq!((done.status.code(), said.trim_end()), (Some(2), why));
    }
}

#[test]
fn at_top_and_at_lowest_place_the_balancer_at_their_tier() {
    let of = |policy: PolicyKind| (0..3).map(|tier| policy.at(tier, 3)).collect::<Vec<_>>();
    let (module, passes) = (PolicyKind::Module, PolicyKind::Unthrottled);
    assert_eq!(of(PolicyKind::AtTop), [module, passes, passes]);
    assert_eq!(of(PolicyKind::AtLowest), [passes, passes, module]);
    assert_eq!(of(PolicyKind::Tries), [PolicyKind::Tries; 3]);
}
