//! The schedule of faults of a scale run: each kind is in it, none loses the majority unless it says so, times scale.

use std::collections::BTreeSet;

use appledyke::units::{Moment, Span};
use appledyke_lab::scale::faults::{Kind, Schedule, Terms, What};
use appledyke_lab::scale::scenario::Scenario;
use appledyke_lab::scale::shape::{Numbers, Shape};

fn shape(numbers: &Numbers, seed: u64) -> Shape {
    Shape::draw(numbers, seed).unwrap_or_else(|why| panic!("{numbers:?}: {why}"))
}

fn draw(terms: &Terms, shape: &Shape, seed: u64) -> Schedule {
    Schedule::draw(terms, shape, seed).unwrap_or_else(|why| panic!("{terms:?} by {seed}: {why}"))
}

fn kinds(schedule: &Schedule) -> BTreeSet<Kind> {
    schedule.faults.iter().map(|fault| fault.kind).collect()
}

#[test]
fn a_full_schedule_has_each_kind_of_the_letter_with_calm_between() {
    let terms = Terms::default();
    let mut orders = BTreeSet::new();
    for seed in 0..200 {
        let shape = shape(&Numbers::default(), seed);
        let schedule = draw(&terms, &shape, seed);
        assert_eq!(kinds(&schedule), Kind::LETTER.into_iter().collect());
        assert_eq!(schedule.faults.len(), 7);
        assert_eq!(schedule.faults[6].kind, Kind::DaemonGone, "what never ends comes last");
        let mut ended = Moment::default();
        for fault in &schedule.faults {
            // Danger: faults that touch are judged as one, and two may lose the majority together.
            assert!(fault.from.since(ended) >= Span::from_millis(terms.calm_ms), "{schedule:?}");
            ended = fault.until.unwrap_or(schedule.faults[6].from);
            assert!(ended >= fault.from && !fault.place.is_empty());
        }
        let end = Moment::default() + schedule.length;
        assert!(schedule.actions.iter().all(|action| action.at < end) && schedule.actions.is_sorted());
        orders.insert(schedule.faults.iter().map(|fault| fault.kind).collect::<Vec<_>>());
    }
    assert!(orders.len() > 100, "the order is drawn: {}", orders.len());
}

/// Danger: a schedule that takes the majority by accident blames the daemons for what nobody could keep.
#[test]
fn the_majority_of_daemons_is_together_unless_a_kind_says_otherwise() {
    let (mut drawn, mut lost) = (0, 0);
    for seed in 0..600 {
        let daemons = [3, 4, 5, 6, 7][seed as usize % 5];
        let numbers = Numbers {
            daemons,
            regions: 1 + seed as usize % 3,
            zones: 3 + seed as usize % 5,
            racks_a_zone: 1 + seed as usize % 4,
            ..Numbers::default().at(300)
        };
        let shape = shape(&numbers, seed);
        let mut terms = Terms { length_ms: 300_000, ..Terms::default() };
        terms.kinds.push(Kind::MajorityLost);
        let schedule = match Schedule::draw(&terms, &shape, seed) {
            Ok(schedule) => schedule,
            Err(why) => {
                assert!(why.starts_with("faults.kinds: "), "{why}");
                continue;
            }
        };
        drawn += 1;
        for action in &schedule.actions {
            let kind = schedule.faults[action.fault].kind;
            let majority = schedule.together(&shape, action.at) > daemons / 2;
            assert!(majority || kind.loses_majority(), "{action:?} of {schedule:?}");
            lost += usize::from(!majority);
        }
    }
    assert!(drawn > 200, "{drawn}");
    assert_eq!(lost, drawn, "where it says so, it does");
}

#[test]
fn whatever_goes_down_comes_back_unless_it_is_gone_for_good() {
    for seed in 0..200 {
        let shape = shape(&Numbers::default().at(75 + 25 * (seed as usize % 9)), seed);
        let schedule = draw(&Terms::default(), &shape, seed);
        let (mut members, mut daemons, mut cut, mut leader, mut gone) =
            (BTreeSet::new(), BTreeSet::new(), None, false, None);
        for action in &schedule.actions {
            let fault = &schedule.faults[action.fault];
            assert!(action.at >= fault.from && fault.until.is_none_or(|until| action.at <= until));
            match &action.what {
                What::MembersDown(down) => {
                    down.iter().for_each(|member| assert!(members.insert(*member), "down twice"));
                    assert!(down.iter().all(|member| fault.members.contains(member)));
                }
                What::MembersUp(up) => {
                    up.iter().for_each(|member| assert!(members.remove(member), "up without a cause"));
                }
                What::DaemonsDown(down) => {
                    down.iter().for_each(|daemon| assert!(daemons.insert(*daemon)));
                }
                What::DaemonsUp(up) => up.iter().for_each(|daemon| assert!(daemons.remove(daemon))),
                What::RegionCut(region) => assert_eq!(cut.replace(*region), None),
                What::RegionJoined(region) => assert_eq!(cut.take(), Some(*region)),
                What::LeaderKilledInChange => assert!(!std::mem::replace(&mut leader, true)),
                What::LeaderUp => assert!(std::mem::replace(&mut leader, false)),
                What::DaemonGone(daemon) => gone = Some(*daemon),
            }
        }
        assert!(members.is_empty() && daemons.is_empty() && cut.is_none() && !leader && gone.is_some());
    }
}

#[test]
fn each_kind_strikes_what_it_says() {
    for seed in 0..100 {
        let shape = shape(&Numbers::default(), seed);
        for fault in draw(&Terms::default(), &shape, seed).faults {
            let places: Vec<_> = fault.members.iter().map(|member| shape.members[*member].place).collect();
            let zones: BTreeSet<usize> = places.iter().map(|place| place.zone).collect();
            let unique: BTreeSet<usize> = fault.members.iter().copied().collect();
            assert_eq!(unique.len(), fault.members.len());
            match fault.kind {
                Kind::Machines => assert_eq!(fault.members.len(), 5),
                Kind::Rack => {
                    let first = places[0];
                    assert!(places.iter().all(|place| *place == first));
                    let all = shape.members_where(|place| *place == first);
                    assert_eq!(fault.members, all);
                    assert_eq!(fault.daemons, shape.daemons_where(|place| *place == first));
                }
                Kind::Zone => {
                    assert_eq!(zones.len(), 1);
                    assert!(fault.members.len() > 100 && fault.daemons.len() <= 1);
                    assert_eq!(fault.daemons, shape.daemons_where(|place| place.zone == places[0].zone));
                }
                // Of three and two daemons the second region's members are those that no commit reaches.
                Kind::RegionCut => assert!(places.iter().all(|place| place.region == 1) && zones.len() == 3),
                Kind::BackAtOnce => assert_eq!(fault.members.len(), 300),
                Kind::LeaderKilled => assert!(fault.members.is_empty() && fault.daemons.is_empty()),
                Kind::DaemonGone => assert_eq!((fault.daemons.len(), fault.until), (1, None)),
                Kind::MajorityLost => panic!("not in the letter"),
            }
        }
    }
}

#[test]
fn all_that_were_lost_are_back_at_one_moment() {
    let shape = shape(&Numbers::default(), 4);
    let terms = Terms { kinds: vec![Kind::BackAtOnce], length_ms: 60_000, ..Terms::default() };
    let schedule = draw(&terms, &shape, 4);
    let (down, up): (Vec<_>, Vec<_>) =
        schedule.actions.iter().partition(|action| matches!(action.what, What::MembersDown(_)));
    assert_eq!((down.len(), up.len()), (4, 1));
    assert!(down.windows(2).all(|pair| pair[0].at < pair[1].at));
    assert!(matches!(&up[0].what, What::MembersUp(members) if members.len() == 300));
    assert_eq!(Some(up[0].at), schedule.faults[0].until);
}

#[test]
fn times_scale_with_the_length_and_leases_don_t() {
    let shape = shape(&Numbers::default(), 5);
    let lasts = |schedule: &Schedule| -> Vec<(Kind, f64, f64)> {
        let lasts = |fault: &appledyke_lab::scale::faults::Fault| {
            fault.until.map(|until| (fault.kind, until.since(fault.from).secs(), fault.factor))
        };
        schedule.faults.iter().filter_map(lasts).collect()
    };
    let long = Terms { length_ms: 1_200_000, least_ms: 1, calm_ms: 1, ..Terms::default() };
    let longer = Terms { length_ms: 2_400_000, ..long.clone() };
    let (one, two) = (draw(&long, &shape, 5), draw(&longer, &shape, 5));
    assert!((one.factor / two.factor - 2.0).abs() < 1e-6);
    for ((kind, lasts, factor), (same, twice, half)) in lasts(&one).into_iter().zip(lasts(&two)) {
        assert_eq!(kind, same);
        assert!((twice / lasts - 2.0).abs() < 1e-3 && (factor / half - 2.0).abs() < 1e-3, "{kind:?}");
        assert!((lasts * factor - kind.real().secs()).abs() < 1.0, "{kind:?}: the hour, shortened");
    }
    for (early, late) in one.faults.iter().zip(&two.faults) {
        let ratio = late.from.nanos() as f64 / early.from.nanos() as f64;
        assert!((ratio - 2.0).abs() < 1e-2, "{ratio}");
    }
    // Danger: an absence shorter than a lease is no absence to anybody who holds one.
    let short = draw(&Terms { length_ms: 90_000, least_ms: 5000, ..Terms::default() }, &shape, 5);
    let held: Vec<f64> = lasts(&short).into_iter().map(|(_, lasts, _)| lasts).collect();
    assert!(held.iter().all(|lasts| *lasts >= 4.999), "{held:?}");
    assert!(held.iter().filter(|lasts| **lasts < 5.001).count() >= 2, "{held:?}");
    let said = short.said();
    assert_eq!(said.len(), 8);
    assert!(said[0].contains("leases, elections, beats and limits are as they are"), "{said:?}");
}

#[test]
fn one_seed_gives_one_schedule_and_another_gives_another() {
    let shape = shape(&Numbers::default(), 1);
    let terms = Terms::default();
    assert_eq!(draw(&terms, &shape, 1), draw(&terms, &shape, 1));
    assert_ne!(draw(&terms, &shape, 1).actions, draw(&terms, &shape, 2).actions);
    // The order in which the kinds are written down says nothing.
    let mut turned = terms.clone();
    turned.kinds.reverse();
    assert_eq!(draw(&terms, &shape, 1), draw(&turned, &shape, 1));
}

#[test]
fn what_can_t_be_met_is_named_by_its_key() {
    let said = |text: &str, numbers: &Numbers| {
        let terms: Terms = toml::from_str(text).expect(text);
        Schedule::draw(&terms, &shape(numbers, 1), 1).expect_err(text)
    };
    let full = Numbers::default();
    for (text, why) in [
        ("kinds=[]", "faults.kinds: expected at least one"),
        ("kinds=['rack', 'zone', 'rack']", "faults.kinds: rack twice"),
        ("machines=0", "faults.machines: expected a positive whole number, not 0"),
        ("least_ms=0", "faults.least_ms: expected a positive whole number, not 0"),
        ("length_ms=70000", "faults.length_ms: expected 76000 or more for 7 faults, not 70000"),
        (
            "length_ms=70000\ncalm_ms=0\nleast_ms=6001",
            "faults.length_ms: expected 70012 or more for 7 faults, not 70000",
        ),
    ] {
        assert_eq!(said(text, &full), why);
    }
    let one_region = Numbers { regions: 1, ..full.clone() };
    assert_eq!(said("", &one_region), "faults.kinds: region-cut: there is one region only");
    let even = Numbers { daemons: 4, ..full.clone() };
    assert_eq!(
        said("kinds=['region-cut']", &even),
        "faults.kinds: region-cut: neither side would have a majority of the daemons"
    );
    let alone = Numbers { daemons: 1, ..full.clone() };
    for kind in ["leader-killed", "daemon-gone"] {
        let why = said(&format!("kinds=['{kind}']"), &alone);
        assert_eq!(why, format!("faults.kinds: {kind}: the daemons have no majority without one of them"));
    }
    let crowded = Numbers { zones: 1, regions: 1, racks_a_zone: 1, ..full };
    for kind in ["rack", "zone"] {
        let why = said(&format!("kinds=['{kind}']"), &crowded);
        let most = "each has so many daemons that the majority would go with it";
        assert_eq!(why, format!("faults.kinds: {kind}: {most}"));
    }
    assert!(
        toml::from_str::<Terms>("kinds=['gloom']").is_err() && toml::from_str::<Terms>("colour=1").is_err()
    );
}

/// The shortest run there may be holds the least of each, whatever the shape.
#[test]
fn the_shortest_run_that_is_not_refused_is_drawn() {
    for (calm_ms, least_ms) in [(6000, 4000), (0, 10_000), (1000, 1)] {
        let mut terms = Terms { calm_ms, least_ms, length_ms: 0, ..Terms::default() };
        let why = terms.check().expect_err("no length at all");
        terms.length_ms = why.split_whitespace().nth(2).and_then(|n| n.parse().ok()).expect("a number");
        for seed in 0..50 {
            let schedule = draw(&terms, &shape(&Numbers::default().at(75), seed), seed);
            for fault in schedule.faults.iter() {
                let lasts = fault.until.map_or(f64::MAX, |until| until.since(fault.from).secs() * 1e3);
                assert!(lasts >= least_ms as f64 * 0.999, "{fault:?}");
            }
        }
    }
}

/// Danger: a run that is there for the faults would say nothing of the full one with another fleet, other terms or other limits.
#[test]
fn the_run_for_faults_has_the_full_runs_fleet_faults_and_limits() {
    let read = |text: &str| Scenario::parse(text).unwrap();
    let full = read(include_str!("../scenarios/scale.toml"));
    let mut short = read(include_str!("../scenarios/scale-faults.toml"));
    assert!(short.phases.idle_ms < full.phases.idle_ms && short.sizes == [1200]);
    (short.name, short.sizes, short.rounds) = (full.name.clone(), full.sizes.clone(), full.rounds);
    short.phases = full.phases.clone();
    assert_eq!(format!("{short:?}"), format!("{full:?}"));
}
