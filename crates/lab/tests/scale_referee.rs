//! Each check of the scale run's referee is seen to fail on an observation made to break it, and only that one.

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_lab::scale::referee::{Answer, Judgement, Limits, Referee, Rule, Settings, Used};

const MEMBERS: usize = 40;
const REAL: [usize; 4] = [0, 10, 20, 30];

fn ms(at: u64) -> Moment {
    Moment::from_nanos(at * 1_000_000)
}

fn settings(number: u64) -> Settings {
    Settings { scope: 0, version: Version { generation: 0, number }, text: 1000 + number }
}

fn used(from: u64, until: u64) -> Used {
    // Half a percent of a core, 20 MB, 2 KB a second.
    let (from, until) = (ms(from), ms(until));
    let nanos = until.since(from).nanos();
    Used {
        from,
        until,
        processor: Span::from_nanos(nanos / 200),
        memory_bytes: 20_000_000,
        bytes: nanos / 500_000,
        members: 1,
    }
}

fn referee() -> Referee {
    Referee::new(Limits::default(), (0..MEMBERS).map(|member| format!("m{member:02}")))
}

/// A fault from 30 to 40 s, with requests before and during.
fn requests(referee: &mut Referee, answer: impl Fn(u64, usize) -> Option<Answer>) {
    for at in (10_000..50_000).step_by(20) {
        for sidecar in REAL {
            if let Some(answer) = answer(at, sidecar) {
                referee.request(ms(at), sidecar, answer);
            }
        }
    }
}

fn quick(_: u64, _: usize) -> Option<Answer> {
    Some(Answer::Answered(Span::from_millis(3)))
}

/// A run in which all is well; what else is to be told is told in the middle of it.
fn run(more: impl FnOnce(&mut Referee)) -> Judgement {
    let mut referee = referee();
    for member in 0..MEMBERS {
        referee.back(ms(100), member, 1);
    }
    for (at, number) in [(1000, 1), (12_000, 2)] {
        referee.committed(ms(at), settings(number), None);
        for member in 0..MEMBERS {
            referee.acts(ms(at + 10 * (member as u64 + 1)), member, 1, settings(number));
        }
    }
    referee.used("m00", &used(1000, 60_000), &Limits::default().sidecar());
    referee.holds(ms(20_000), "retries", [25, 25, 50], 100);
    referee.fault("zone 3 lost", ms(30_000), Some(ms(40_000)), &[20]);
    referee.looped(ms(25_000), "hollow 0", Span::from_millis(250));
    more(&mut referee);
    referee.judge(ms(60_000))
}

fn good(more: impl FnOnce(&mut Referee)) -> Judgement {
    run(|referee| {
        requests(referee, quick);
        more(referee);
    })
}

#[test]
fn a_run_in_which_all_is_well_breaks_nothing_and_has_its_figures() {
    let judgement = good(|_| {});
    assert!(judgement.kept(), "{judgement:?}");
    assert_eq!((judgement.unjudged.len(), judgement.changes.len()), (0, 2), "{:?}", judgement.unjudged);
    let change = &judgement.changes[1];
    let figures = change.in_force.expect("all acted");
    assert_eq!(
        (figures.count, figures.p50, figures.p99, figures.last),
        (40, 200_000_000, 400_000_000, 400_000_000)
    );
    assert_eq!((change.last_member.as_deref(), change.open, change.away), (Some("m39"), 0, 0));
    assert_eq!(judgement.in_force.map(|all| all.count), Some(80));
    assert_eq!(judgement.budgets["retries"].sum, 100);
    let pair = &judgement.pairs[0];
    assert_eq!(
        (pair.before.all, pair.during.all, pair.failed_more),
        (1500, 1500, 0.0),
        "three weren't struck"
    );
    let json = serde_json::to_string(&judgement).expect("plain data");
    assert!(json.contains("\"committed_ms\":12000.0"), "{json}");
}

#[test]
fn each_check_fails_on_an_observation_made_to_break_it() {
    type Breaks = fn(&mut Referee);
    let cases: [(Rule, Breaks, &str); 14] = [
        (
            Rule::InForce,
            |r| {
                r.committed(ms(41_000), settings(3), Some(&[4]));
                r.acts(ms(59_001), 4, 1, settings(3));
            },
            "59.001 s: in force in time: m04: 18.001 s of 18.000 s from committed until 0.3 of scope 0 was acted on",
        ),
        // One that never acts at all.
        (
            Rule::InForce,
            |r| r.committed(ms(41_000), settings(3), Some(&[4])),
            "60.000 s: in force in time: m04, still not: 19.000 s of 18.000 s from committed until 0.3 of scope 0 \
             was acted on",
        ),
        // One that came back and never acts.
        (
            Rule::InForce,
            |r| {
                r.away(ms(20_000), 4);
                r.committed(ms(21_000), settings(3), Some(&[4]));
                r.back(ms(41_500), 4, 1);
            },
            "60.000 s: in force in time: m04, still not: 18.500 s of 18.000 s from committed until 0.3 of scope 0 \
             was acted on",
        ),
        // A new incarnation that never catches up.
        (
            Rule::InForce,
            |r| {
                r.away(ms(20_000), 4);
                r.back(ms(41_500), 4, 2);
            },
            "60.000 s: in force in time: m04, still not: 18.500 s of 18.000 s from a new incarnation until 0.2 of \
             scope 0 was acted on",
        ),
        (
            Rule::OnlyForwards,
            |r| r.acts(ms(15_000), 7, 1, settings(1)),
            "15.000 s: only forwards: m07: 0.1 after 0.2 in incarnation 1",
        ),
        (
            Rule::OneText,
            |r| r.acts(ms(15_000), 7, 1, Settings { text: 5, ..settings(2) }),
            "15.000 s: one text of a version: m07: 0.2 is text 5, and 3ea at as committed",
        ),
        (
            Rule::BudgetWhole,
            |r| r.holds(ms(22_000), "retries", [25, 26, 50], 100),
            "22.000 s: never above the whole: retries: 101 of 100, at most 100",
        ),
        (
            Rule::Processor,
            |r| {
                let used = Used { processor: Span::from_millis(610), ..used(0, 60_000) };
                r.used("m10", &used, &Limits::default().sidecar());
            },
            "60.000 s: processor time: m10: 1.017 % of a core a member, at most 1.000 %",
        ),
        (
            Rule::Memory,
            |r| {
                let used = Used { memory_bytes: 32_000_001, ..used(0, 60_000) };
                r.used("m10", &used, &Limits::default().sidecar());
            },
            "60.000 s: memory: m10: 32000001 bytes a member, at most 32000000",
        ),
        (
            Rule::Bytes,
            |r| {
                let used = Used { bytes: 240_060, ..used(0, 60_000) };
                r.used("m10", &used, &Limits::default().sidecar());
            },
            "60.000 s: bytes: m10: 4001 bytes a second a member, at most 4000",
        ),
        (
            Rule::RequestsFailed,
            // One request in sixty of one sidecar of three.
            |r| (0..10).for_each(|at| r.request(ms(30_000 + at * 500), 10, Answer::Failed)),
            "30.000 s: requests don't fail: zone 3 lost: 0.0065 more than before in the mean of 3 sidecars, at most \
             0.005; 0.0196 at m10",
        ),
        (
            Rule::RequestsSlow,
            |r| {
                let slow = Answer::Answered(Span::from_millis(101));
                (0..20).for_each(|at| r.request(ms(30_000 + at * 450), 30, slow));
            },
            "30.000 s: requests aren't slow: zone 3 lost: 0.0128 more than before in the mean of 3 sidecars, at most \
             0.01; 0.0385 at m30",
        ),
        // A fault that doesn't end, of which there are no requests at all.
        (
            Rule::RequestsMissing,
            |r| r.fault("daemon 5 gone", ms(50_000), None, &[10, 20, 30]),
            "50.000 s: requests come through: daemon 5 gone, m00: 0 requests, 500 by the time before",
        ),
        (
            Rule::BudgetWhole,
            |r| (0..3).for_each(|at| r.holds(ms(22_000 + at), "connections", [u64::MAX, 1 + at], 100)),
            "22.000 s: never above the whole: connections: 18446744073709551615 of 100, at most 100; 3 times in all, \
             this the worst",
        ),
    ];
    for (rule, breaks, said) in cases {
        let judgement = good(breaks);
        let broken: Vec<String> = judgement.broken.iter().map(ToString::to_string).collect();
        assert_eq!(broken, [said], "{rule:?}");
        assert_eq!((judgement.broken[0].rule, judgement.counts[&rule]), (rule, 1));
        assert!(!judgement.kept() && judgement.void.is_empty());
    }
}

/// Danger: a hollow loop that is late measures itself; its run must say nothing, not that all is well.
#[test]
fn a_late_loop_makes_the_run_void() {
    let judgement = good(|r| {
        r.looped(ms(26_000), "hollow 1", Span::from_millis(251));
        r.looped(ms(27_000), "hollow 1", Span::from_millis(900));
    });
    assert_eq!(
        judgement.void,
        ["27.000 s: the hollow loop hollow 1 was late by 900.0 ms of 250, 2 times in all"]
    );
    assert!(!judgement.kept() && judgement.broken.is_empty());
    assert_eq!(judgement.late, Some(900_000_000));
}

/// Danger: a run that observed nothing would keep every rule.
#[test]
fn what_was_not_observed_is_told_as_not_judged() {
    let judgement = referee().judge(ms(1000));
    assert_eq!(
        judgement.unjudged,
        [
            "no change was committed",
            "no process was measured",
            "no budget was added up",
            "no request was made",
            "no hollow loop was seen"
        ]
    );
    let judgement = run(|r| {
        requests(r, |at, sidecar| (at >= 29_500).then(|| quick(at, sidecar)).flatten());
        r.committed(ms(59_000), settings(3), None);
    });
    assert_eq!(
        judgement.unjudged,
        [
            "40 members didn't act on 0.3 of scope 0 when the run ended, the longest for 1.000 s",
            "zone 3 lost: 75 requests before it, 200 are needed"
        ]
    );
    assert!(judgement.kept());
    // Few requests in the time itself, of what was few before.
    let judgement = run(|r| requests(r, |at, sidecar| (at % 500 == 0).then(|| quick(at, sidecar)).flatten()));
    assert_eq!(judgement.unjudged, ["zone 3 lost: 60 requests before it, 200 are needed"]);
}

/// Danger: sidecars that hang answer nothing, so that no share of failed ones shows them.
#[test]
fn a_sidecar_that_is_asked_no_more_is_seen_unless_it_was_struck() {
    let hangs = |sidecar: usize| {
        run(move |r| {
            requests(r, |at, of| {
                let hung = of == sidecar && (30_000..40_000).contains(&at);
                (!hung).then(|| quick(at, of)).flatten()
            });
        })
    };
    let judgement = hangs(10);
    assert_eq!(judgement.broken.len(), 1, "{judgement:?}");
    assert_eq!(
        judgement.broken[0].to_string(),
        "30.000 s: requests come through: zone 3 lost, m10: 0 requests, 500 by the time before"
    );
    assert!(hangs(20).kept(), "the zone's own");
}

/// Danger: an earlier fault's failures as the time before would excuse a later one's.
#[test]
fn the_time_before_a_fault_is_free_of_others() {
    let judgement = run(|r| {
        r.fault("rack 2 lost", ms(22_000), Some(ms(28_000)), &[]);
        requests(r, |at, sidecar| {
            let failed = (22_000..28_000).contains(&at) || (30_000..40_000).contains(&at) && at % 1000 < 40;
            if failed { Some(Answer::Failed) } else { quick(at, sidecar) }
        });
    });
    let said: Vec<String> = judgement.broken.iter().map(|broken| broken.place.clone()).collect();
    assert_eq!(said, ["rack 2 lost", "zone 3 lost"], "{judgement:?}");
    assert_eq!(judgement.pairs[0].before.failed, 0);
}

#[test]
fn who_was_away_counts_from_its_return_and_who_is_away_not_at_all() {
    let judgement = good(|r| {
        r.away(ms(19_000), 1);
        r.away(ms(19_000), 2);
        r.away(ms(19_000), 3);
        r.committed(ms(20_000), settings(3), Some(&[0, 1, 2, 3, 5]));
        r.acts(ms(20_050), 0, 1, settings(3));
        // Heard although it was taken for cut off.
        r.acts(ms(20_060), 3, 1, settings(3));
        // Back, cut off once more before it hears, back again: from the last time.
        r.back(ms(40_000), 1, 1);
        r.away(ms(40_500), 1);
        r.back(ms(58_000), 1, 1);
        r.acts(ms(58_300), 1, 1, settings(3));
        // It passes over to a later one: that is in force too.
        r.committed(ms(30_000), settings(4), Some(&[5]));
        r.acts(ms(30_010), 5, 1, settings(4));
        // It goes after the change, and never returns: no fault of anybody's.
        r.committed(ms(20_000), settings(5), Some(&[6, 7]));
        r.acts(ms(20_010), 6, 1, settings(5));
        r.away(ms(20_100), 7);
        // Restarted in its place, with nobody told that it was away: from its new incarnation.
        r.committed(ms(20_000), settings(6), Some(&[8]));
        r.back(ms(39_000), 8, 2);
        r.acts(ms(39_020), 8, 2, settings(6));
    });
    assert!(judgement.kept() && judgement.unjudged.is_empty(), "{judgement:?}");
    let change = &judgement.changes[2];
    let figures = change.in_force.expect("three acted");
    assert_eq!((figures.count, figures.p50, figures.last), (3, 300_000_000, 10_010_000_000));
    assert_eq!(
        (change.members, change.returned, change.while_away, change.open, change.away),
        (5, 1, 1, 0, 1)
    );
    assert_eq!(change.last_member.as_deref(), Some("m05"));
    assert_eq!(judgement.changes[4].away, 1);
    assert_eq!(judgement.changes[5].in_force.map(|figures| figures.last), Some(20_000_000));
}

#[test]
fn a_new_incarnation_catches_up_and_an_old_one_no_longer_counts() {
    let judgement = good(|r| {
        r.back(ms(20_000), 6, 2);
        // The last words of the incarnation before, told late.
        r.acts(ms(20_050), 6, 1, settings(2));
        r.acts(ms(20_400), 6, 2, settings(1));
        r.acts(ms(20_700), 6, 2, settings(2));
    });
    assert!(judgement.kept(), "older settings in a new incarnation are forwards: {judgement:?}");
    assert_eq!(judgement.caught_up.map(|up| (up.count, up.last)), Some((1, 700_000_000)));
    // The change itself was in force before, and isn't counted twice.
    assert_eq!(judgement.changes[1].in_force.map(|figures| figures.count), Some(MEMBERS));
}

#[test]
fn an_operator_that_hears_late_doesn_t_make_members_early() {
    let judgement = good(|r| {
        r.acts(ms(20_000), 8, 1, settings(3));
        r.committed(ms(20_100), settings(3), Some(&[8]));
        // Said again, as after a reply that was lost.
        r.committed(ms(20_200), settings(3), Some(&[8]));
    });
    assert!(judgement.kept() && judgement.changes.len() == 3, "{judgement:?}");
    assert_eq!(judgement.changes[2].in_force.map(|figures| figures.last), Some(0));
}

#[test]
fn scopes_have_versions_of_their_own() {
    let scoped = |number, text| Settings { scope: 7, text, ..settings(number) };
    let judgement = good(|r| {
        r.committed(ms(20_000), scoped(1, 5), Some(&[1, 2]));
        r.acts(ms(20_010), 1, 1, scoped(1, 5));
        r.acts(ms(20_010), 2, 1, scoped(1, 5));
    });
    assert!(judgement.kept() && judgement.unjudged.is_empty(), "{judgement:?}");
    assert_eq!(judgement.changes[2].in_force.map(|figures| figures.count), Some(2));
}

#[test]
fn many_that_share_a_process_share_its_ceiling_and_slack_is_as_stated() {
    let judgement = good(|r| {
        let one = used(0, 60_000);
        let many = Used { members: 3, processor: one.processor * 5.9, memory_bytes: 96_000_000, ..one };
        r.used("hollow 0", &many, &Limits::default().sidecar());
    });
    assert!(judgement.kept(), "{judgement:?}");
    let limits = Limits { budget_slack: 0.02, ..Limits::default() };
    for (sum, kept) in [(102, true), (103, false)] {
        let mut referee = Referee::new(limits, []);
        referee.holds(ms(1), "retries", [sum], 100);
        assert_eq!(referee.judge(ms(2)).kept(), kept);
    }
    // Danger: a span of no length would be nought by nought, which is above no limit.
    let judgement = good(|r| {
        let none = Used { processor: Span::ZERO, bytes: 0, ..used(5, 5) };
        r.used("m10", &none, &Limits::default().sidecar());
    });
    let rules: Vec<Rule> = judgement.broken.iter().map(|broken| broken.rule).collect();
    assert_eq!(rules, [Rule::Processor, Rule::Bytes]);
}

/// Danger: verdicts in another order by the order of arrival would make two runs of one seed differ.
#[test]
fn verdicts_come_in_one_order_and_the_many_are_counted() {
    let told = |members: Vec<usize>| {
        good(|r| {
            for member in members {
                r.acts(ms(15_000), member, 1, settings(1));
                r.acts(ms(14_000), member, 1, Settings { text: 5, ..settings(2) });
            }
            r.holds(ms(22_000), "retries", [101], 100);
        })
    };
    let (one, other) = (told((0..MEMBERS).collect()), told((0..MEMBERS).rev().collect()));
    assert_eq!(one, other);
    assert_eq!((one.counts[&Rule::OnlyForwards], one.counts[&Rule::OneText]), (40, 40));
    assert_eq!(one.broken.len(), 41, "twenty of each are told, and the budget");
    assert!(one.broken.is_sorted());
}

#[test]
fn a_fault_in_the_limits_is_named_by_its_key() {
    assert_eq!(Limits::default().check(), Ok(()));
    for (text, said) in [
        ("core_share=1.5", "limits.core_share: expected 0 to 1, not 1.5"),
        ("slow_more=-0.1", "limits.slow_more: expected 0 to 1, not -0.1"),
        ("failed_more=nan", "limits.failed_more: expected 0 to 1, not NaN"),
        ("bytes_per_second=-1.0", "limits.bytes_per_second: expected 0 or more, not -1"),
        ("in_force_ms=0", "limits.in_force_ms: expected a positive whole number, not 0"),
        ("paired_ms=0", "limits.paired_ms: expected a positive whole number, not 0"),
    ] {
        let limits: Limits = toml::from_str(text).expect(text);
        assert_eq!(limits.check().expect_err(text), said);
    }
    assert!(toml::from_str::<Limits>("colour=1").is_err());
}

#[test]
fn who_took_the_longest_is_known_with_those_that_still_wait() {
    let mut referee = referee();
    (0..MEMBERS).for_each(|member| referee.back(ms(100), member, 1));
    referee.committed(ms(1000), settings(1), None);
    for member in (0..MEMBERS).filter(|member| *member != 7) {
        referee.acts(ms(1010 + member as u64), member, 1, settings(1));
    }
    // One was down at first, and counts from its return.
    referee.away(ms(1500), 3);
    referee.committed(ms(2000), settings(2), None);
    referee.back(ms(3000), 3, 2);
    referee.acts(ms(3500), 3, 2, settings(2));
    let longest = referee.longest(ms(4000), 2);
    let rows: Vec<_> = longest.iter().map(|one| (one.member, one.from, one.until, one.version)).collect();
    assert_eq!(
        rows,
        [(7, ms(1000), ms(4000), settings(1).version), (0, ms(2000), ms(4000), settings(2).version)]
    );
    let three = referee.longest(ms(2100), MEMBERS);
    let three = three.iter().find(|one| one.member == 3).unwrap();
    assert_eq!((three.from, three.until), (ms(3000), ms(3500)));
}
