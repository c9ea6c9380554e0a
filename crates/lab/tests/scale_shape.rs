//! The drawn fleet of a scale run holds the numbers that were asked for, at every size and by every seed.

use std::collections::BTreeSet;

use appledyke_lab::scale::shape::{Numbers, Shape};

const SIZES: [usize; 6] = [75, 150, 300, 600, 1200, 2400];

fn draw(numbers: &Numbers, seed: u64) -> Shape {
    Shape::draw(numbers, seed).unwrap_or_else(|why| panic!("{numbers:?} by {seed}: {why}"))
}

/// Danger: a fleet that isn't the size it is said to be gives slopes over sizes that were never run.
#[test]
fn sizes_of_services_sum_to_the_members_within_their_ends() {
    for members in SIZES {
        for seed in 0..40 {
            let numbers = Numbers::default().at(members);
            let shape = draw(&numbers, seed);
            assert_eq!(shape.members.len(), members);
            assert_eq!(shape.services.len(), (members * 210 + 600) / 1200, "{members}");
            let sizes: Vec<usize> = shape.services.iter().map(|service| service.members.len()).collect();
            assert_eq!(sizes.iter().sum::<usize>(), members);
            let largest = if members >= 300 { 60 } else { members / 4 };
            let ends = (sizes.iter().min().copied(), sizes.iter().max().copied());
            assert_eq!(ends, (Some(1), Some(largest)), "{members} by {seed}");
            // Services lie one after the other, each with its own members.
            let mut next = 0;
            for (at, service) in shape.services.iter().enumerate() {
                assert_eq!(service.members.start, next);
                next = service.members.end;
                assert!(shape.members[service.members.clone()].iter().all(|member| member.service == at));
            }
            let names: BTreeSet<&str> = shape.members.iter().map(|member| member.name.as_str()).collect();
            assert_eq!(names.len(), members, "no two members have one name");
        }
    }
}

#[test]
fn drawn_numbers_of_all_kinds_are_met_or_refused_by_key() {
    let mut chance = oorandom::Rand64::new(7);
    let mut met = 0;
    for seed in 0..3000 {
        let mut below = |end: u64| chance.rand_range(0..end) as usize;
        let smallest = 1 + below(4);
        let numbers = Numbers {
            members: 1 + below(300),
            services: 1 + below(60),
            full_members: 1 + below(300),
            smallest,
            largest: smallest + below(40),
            regions: 1 + below(3),
            zones: 1 + below(8),
            racks_a_zone: 1 + below(4),
            daemons: 1 + below(7),
            real: below(20),
            ..Numbers::default()
        };
        match Shape::draw(&numbers, seed) {
            Ok(shape) => {
                met += 1;
                let sizes = shape.services.iter().map(|service| service.members.len());
                assert_eq!(sizes.clone().sum::<usize>(), numbers.members);
                assert!(
                    sizes.clone().all(|size| (smallest..=numbers.largest).contains(&size)),
                    "{numbers:?}"
                );
                assert_eq!(shape.real().count(), numbers.real);
                assert_eq!(shape.daemons.len(), numbers.daemons);
                for place in
                    shape.members.iter().map(|m| m.place).chain(shape.daemons.iter().map(|d| d.place))
                {
                    assert!(numbers.zones_of(place.region).contains(&place.zone));
                    assert!(place.zone < numbers.zones && place.rack < numbers.racks_a_zone);
                }
            }
            Err(why) => assert!(why.starts_with("shape.") && !why.contains('\n'), "{why}"),
        }
    }
    assert!(met > 500, "only {met} of the drawn numbers could be met");
}

#[test]
fn seven_zones_of_two_regions_are_four_and_three_and_five_daemons_three_and_two() {
    let numbers = Numbers::default();
    assert_eq!((numbers.zones_of(0), numbers.zones_of(1)), (0..4, 4..7));
    let shape = draw(&numbers, 1);
    let zones: Vec<usize> = shape.daemons.iter().map(|daemon| daemon.place.zone).collect();
    assert_eq!(zones, [0, 4, 1, 5, 2]);
    let replicas: Vec<u16> = shape.daemons.iter().map(|daemon| daemon.replica).collect();
    assert_eq!(replicas, [1, 2, 3, 4, 5]);
    // As stated in the scenario, two in one zone: then in two racks.
    let stated = Numbers { daemons: 3, daemon_zones: vec![6, 6, 0], ..numbers };
    let daemons = draw(&stated, 1).daemons;
    let places: Vec<[usize; 3]> =
        daemons.iter().map(|d| [d.place.region, d.place.zone, d.place.rack]).collect();
    assert_eq!(places, [[1, 6, 0], [1, 6, 1], [0, 0, 0]]);
}

/// Danger: a service within one zone would be lost with it, and a zone with most members would be no zone's loss.
#[test]
fn members_of_a_service_are_spread_over_the_zones() {
    for seed in 0..20 {
        let shape = draw(&Numbers::default(), seed);
        for service in &shape.services {
            let mut counts = [0; 7];
            shape.members[service.members.clone()].iter().for_each(|member| counts[member.place.zone] += 1);
            let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
            assert!(most - least <= 1, "{counts:?}");
        }
        for zone in 0..7 {
            let count = shape.members_where(|place| place.zone == zone).len();
            assert!((120..=225).contains(&count), "zone {zone} has {count} by {seed}");
        }
        let zones: BTreeSet<usize> = shape.real().map(|at| shape.members[at].place.zone).collect();
        assert_eq!((zones.len(), shape.real().count()), (7, 12), "real ones stand in all zones");
    }
}

#[test]
fn a_member_asks_the_daemons_of_its_zone_first_then_of_its_region() {
    let shape = draw(&Numbers::default(), 3);
    let mut firsts = [0; 6];
    for (at, member) in shape.members.iter().enumerate() {
        let order = shape.daemons_for(at);
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 5);
        let place = |replica: u16| shape.daemons[usize::from(replica) - 1].place;
        let far: Vec<u8> = order
            .iter()
            .map(|replica| {
                let place = place(*replica);
                u8::from(place.zone != member.place.zone) + u8::from(place.region != member.place.region)
            })
            .collect();
        assert!(far.is_sorted(), "{far:?}");
        firsts[usize::from(order[0])] += 1;
    }
    assert!(firsts[1..].iter().all(|count| *count > 120), "{firsts:?}");
}

#[test]
fn paths_lie_between_regions_only() {
    let shape = draw(&Numbers { region_delay_ms: 12.5, region_loss: 0.02, ..Numbers::default() }, 1);
    assert_eq!((shape.path(0, 0).delay.nanos(), shape.path(1, 1).loss), (0, 0.0));
    assert_eq!((shape.path(0, 1).delay.nanos(), shape.path(1, 0).loss), (12_500_000, 0.02));
}

#[test]
fn one_seed_gives_one_fleet_and_another_gives_another() {
    let numbers = Numbers::default();
    assert_eq!(draw(&numbers, 9), draw(&numbers, 9));
    assert_ne!(draw(&numbers, 9).members, draw(&numbers, 10).members);
}

#[test]
fn a_fault_in_the_numbers_is_named_by_its_key() {
    for (text, said) in [
        ("members=0", "shape.members: expected 1 to 20000, not 0"),
        ("members=30000", "shape.members: expected 1 to 20000, not 30000"),
        ("smallest=10", "shape.smallest: 210 services of 10 or more endpoints need 2100 members of 1200"),
        ("largest=5", "shape.largest: 210 services of at most 5 endpoints have 1050 of 1200 members"),
        ("smallest=9\nlargest=8", "shape.largest: 8 is less than the smallest, 9"),
        ("zones=1", "shape.zones: 1 don't fill 2 regions"),
        ("daemons=10", "shape.daemons: expected 1 to 9, not 10"),
        ("daemon_zones=[0]", "shape.daemon_zones: names 1 zones for 5 daemons"),
        ("daemons=1\ndaemon_zones=[7]", "shape.daemon_zones: there is no 7, only 0 to 6"),
        ("real=1201", "shape.real: 1201 of 1200 members"),
        ("region_delay_ms=-1.0", "shape.region_delay_ms: expected 0 to 1000, not -1"),
        ("region_delay_ms=nan", "shape.region_delay_ms: expected 0 to 1000, not NaN"),
        ("region_loss=1.0", "shape.region_loss: expected 0 to below 1, not 1"),
    ] {
        let numbers: Numbers = toml::from_str(text).expect(text);
        assert_eq!(Shape::draw(&numbers, 1).expect_err(text), said);
    }
    let unknown = toml::from_str::<Numbers>("colour=1").expect_err("no such key").to_string();
    assert!(unknown.contains("unknown field `colour`"), "{unknown}");
}
