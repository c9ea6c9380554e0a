//! The fleet of a scale run, drawn by seed: services of different sizes, where each member stands, and where the
//! daemons do. No input or output.

use std::collections::BTreeSet;
use std::ops::Range;

use appledyke::units::Span;
use oorandom::Rand64;
use serde::Deserialize;

/// A larger fleet is a slip of the pen.
const MOST_MEMBERS: usize = 20_000;
/// Replicas that agree; more would only be slower.
const MOST_DAEMONS: usize = 9;
/// Longest delay one way between regions, in milliseconds: more than once around the world.
const MOST_DELAY_MS: f64 = 1000.0;
/// In a small fleet no service has more than one part in so many of it, or that one service would be the fleet.
const LARGEST_PART: usize = 4;
/// Halvings until the exponent of the law of sizes is exact enough; what is left is settled one by one.
const HALVINGS: usize = 60;

/// What the scenario's table `shape` holds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Numbers {
    /// Endpoints, each with its sidecar.
    pub members: usize,
    /// Services of a fleet of `full_members`; other sizes have as many in proportion.
    pub services: usize,
    pub full_members: usize,
    /// Endpoints of a service.
    pub smallest: usize,
    pub largest: usize,
    pub regions: usize,
    /// Of all regions together; the first regions have one more where they don't divide.
    pub zones: usize,
    pub racks_a_zone: usize,
    pub daemons: usize,
    /// The zone of each daemon in turn; if empty, regions and their zones take turns.
    pub daemon_zones: Vec<usize>,
    /// Members that are real sidecars with traffic; the others are hollow.
    pub real: usize,
    /// One way between two regions, and the share of segments that are lost under way.
    pub region_delay_ms: f64,
    pub region_loss: f64,
}

impl Default for Numbers {
    fn default() -> Numbers {
        // The operators' target. Thirty milliseconds are some 6,000 km of glass; racks and real members are ours.
        Numbers {
            members: 1200,
            services: 210,
            full_members: 1200,
            smallest: 1,
            largest: 60,
            regions: 2,
            zones: 7,
            racks_a_zone: 6,
            daemons: 5,
            daemon_zones: Vec::new(),
            real: 12,
            region_delay_ms: 30.0,
            region_loss: 0.001,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    /// Its members, as indices into the fleet's.
    pub members: Range<usize>,
}

/// Where something stands. Racks are counted within their zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub region: usize,
    pub zone: usize,
    pub rack: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    pub service: usize,
    pub place: Place,
    pub real: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// From 1 on.
    pub replica: u16,
    pub place: Place,
}

/// What lies between two regions, each way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    pub delay: Span,
    pub loss: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    pub numbers: Numbers,
    pub services: Vec<Service>,
    pub members: Vec<Member>,
    pub daemons: Vec<Daemon>,
}

impl Numbers {
    /// The same fleet at another size.
    pub fn at(&self, members: usize) -> Numbers {
        Numbers { members, ..self.clone() }
    }

    /// How many services there are at this size.
    pub fn services_here(&self) -> usize {
        let share = self.services as f64 * self.members as f64 / self.full_members.max(1) as f64;
        (share.round() as usize).max(1)
    }

    /// The most endpoints of a service at this size.
    pub fn largest_here(&self) -> usize {
        let mean = self.members.div_ceil(self.services_here());
        self.largest.min((self.members / LARGEST_PART).max(mean).max(self.smallest))
    }

    /// # Errors
    /// The key that can't be met, and why.
    pub fn check(&self) -> Result<(), String> {
        let wrong = |key: &str, why: String| Err(format!("shape.{key}: {why}"));
        let counts = [
            ("members", self.members, MOST_MEMBERS),
            ("services", self.services, MOST_MEMBERS),
            ("full_members", self.full_members, MOST_MEMBERS),
            ("smallest", self.smallest, MOST_MEMBERS),
            ("largest", self.largest, MOST_MEMBERS),
            ("regions", self.regions, MOST_MEMBERS),
            ("zones", self.zones, MOST_MEMBERS),
            ("racks_a_zone", self.racks_a_zone, MOST_MEMBERS),
            ("daemons", self.daemons, MOST_DAEMONS),
        ];
        for (key, count, most) in counts {
            if count == 0 || count > most {
                return wrong(key, format!("expected 1 to {most}, not {count}"));
            }
        }
        if self.largest < self.smallest {
            return wrong(
                "largest",
                format!("{} is less than the smallest, {}", self.largest, self.smallest),
            );
        }
        if self.zones < self.regions {
            return wrong("zones", format!("{} don't fill {} regions", self.zones, self.regions));
        }
        let (services, members) = (self.services_here(), self.members);
        let least = services.saturating_mul(self.smallest);
        if least > members {
            return wrong(
                "smallest",
                format!(
                    "{services} services of {} or more endpoints need {least} members of {members}",
                    self.smallest
                ),
            );
        }
        let most = services.saturating_mul(self.largest);
        if most < members {
            return wrong(
                "largest",
                format!(
                    "{services} services of at most {} endpoints have {most} of {members} members",
                    self.largest
                ),
            );
        }
        if !self.daemon_zones.is_empty() && self.daemon_zones.len() != self.daemons {
            let named = self.daemon_zones.len();
            return wrong("daemon_zones", format!("names {named} zones for {} daemons", self.daemons));
        }
        if let Some(zone) = self.daemon_zones.iter().find(|zone| **zone >= self.zones) {
            return wrong("daemon_zones", format!("there is no {zone}, only 0 to {}", self.zones - 1));
        }
        if self.real > members {
            return wrong("real", format!("{} of {members} members", self.real));
        }
        if !(0.0..=MOST_DELAY_MS).contains(&self.region_delay_ms) {
            let is = self.region_delay_ms;
            return wrong("region_delay_ms", format!("expected 0 to {MOST_DELAY_MS}, not {is}"));
        }
        if !(0.0..1.0).contains(&self.region_loss) {
            let is = self.region_loss;
            return wrong("region_loss", format!("expected 0 to below 1, not {is}"));
        }
        Ok(())
    }

    /// The zones of a region: the first regions have one more where they don't divide.
    pub fn zones_of(&self, region: usize) -> Range<usize> {
        let (each, over) = (self.zones / self.regions, self.zones % self.regions);
        let first = region * each + region.min(over);
        first..first + each + usize::from(region < over)
    }

    pub fn region_of(&self, zone: usize) -> usize {
        (0..self.regions).find(|region| self.zones_of(*region).contains(&zone)).unwrap_or(0)
    }

    /// The zone of each daemon: as stated, or one of each region in turn, in each the next zone. Five in two regions are
    /// three and two, so that the first can commit without the second.
    fn zones_of_daemons(&self) -> Vec<usize> {
        if !self.daemon_zones.is_empty() {
            return self.daemon_zones.clone();
        }
        let zone = |daemon: usize| {
            let zones = self.zones_of(daemon % self.regions);
            zones.start + daemon / self.regions % zones.len()
        };
        (0..self.daemons).map(zone).collect()
    }
}

fn below(chance: &mut Rand64, end: usize) -> usize {
    chance.rand_range(0..end as u64) as usize
}

fn shuffle<T>(chance: &mut Rand64, all: &mut [T]) {
    for at in (1..all.len()).rev() {
        all.swap(at, below(chance, at + 1));
    }
}

/// The weights of sizes from the smallest to the largest under a power law whose mean is the one asked for: few large
/// services, many small ones.
fn law(sizes: &Range<usize>, mean: f64) -> Vec<f64> {
    let weights = |exponent: f64| -> Vec<f64> {
        // Beside the largest size, so that no exponent overflows.
        let top = (sizes.end - 1) as f64;
        let bottom = if exponent > 0.0 { sizes.start as f64 } else { top };
        sizes.clone().map(|size| (size as f64 / bottom).powf(-exponent)).collect()
    };
    let mean_of = |weights: &[f64]| {
        let sum: f64 = sizes.clone().zip(weights).map(|(size, weight)| size as f64 * weight).sum();
        sum / weights.iter().sum::<f64>()
    };
    let (mut low, mut high) = (-50.0, 50.0);
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if mean_of(&weights(middle)) > mean { low = middle } else { high = middle }
    }
    weights((low + high) / 2.0)
}

/// Sizes of services, largest first, that sum exactly to the members; one has the smallest size and one the largest where
/// the sum allows that.
fn sizes(numbers: &Numbers, chance: &mut Rand64) -> Vec<usize> {
    let (count, members) = (numbers.services_here(), numbers.members);
    let (least, most) = (numbers.smallest, numbers.largest_here());
    let weights = law(&(least..most + 1), members as f64 / count as f64);
    let whole: f64 = weights.iter().sum();
    let mut sizes: Vec<usize> = (0..count)
        .map(|_| {
            let mut left = chance.rand_float() * whole;
            let drawn = weights.iter().position(|weight| {
                left -= weight;
                left < 0.0
            });
            least + drawn.unwrap_or(weights.len() - 1)
        })
        .collect();
    // The two ends stand still while the others settle the sum.
    let fits = count >= 2 && (least * (count - 1) + most..=most * (count - 1) + least).contains(&members);
    let still = if fits { 2 } else { 0 };
    if fits {
        (sizes[0], sizes[1]) = (most, least);
    }
    let mut sum: usize = sizes.iter().sum();
    while sum != members {
        let up = sum < members;
        let room = |size: &usize| if up { *size < most } else { *size > least };
        let movable: Vec<usize> = (still..count).filter(|at| room(&sizes[*at])).collect();
        // Each moves by one at most before the rest is looked at again, so that none settles it all.
        let mut order = movable;
        shuffle(chance, &mut order);
        for at in order.into_iter().take(sum.abs_diff(members)) {
            if up {
                sizes[at] += 1
            } else {
                sizes[at] -= 1
            }
            if up { sum += 1 } else { sum -= 1 }
        }
    }
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes
}

impl Shape {
    /// # Errors
    /// The key that can't be met, and why.
    pub fn draw(numbers: &Numbers, seed: u64) -> Result<Shape, String> {
        numbers.check()?;
        let mut chance = Rand64::new(u128::from(seed) << 64 | 0x5ca1e);
        let mut services = Vec::new();
        let mut members: Vec<Member> = Vec::with_capacity(numbers.members);
        for (service, size) in sizes(numbers, &mut chance).into_iter().enumerate() {
            let (name, first) = (format!("s{service:03}"), members.len());
            // Over all zones in a drawn order, so that none of a service's zones has more than one above another.
            let mut zones: Vec<usize> = (0..numbers.zones).collect();
            shuffle(&mut chance, &mut zones);
            for at in 0..size {
                let zone = zones[at % zones.len()];
                let rack = below(&mut chance, numbers.racks_a_zone);
                let place = Place { region: numbers.region_of(zone), zone, rack };
                members.push(Member { name: format!("{name}-{at:03}"), service, place, real: false });
            }
            services.push(Service { name, members: first..members.len() });
        }
        // Real members over the zones in turn, as far as each has some.
        let mut by_zone: Vec<Vec<usize>> = vec![Vec::new(); numbers.zones];
        for (at, member) in members.iter().enumerate() {
            by_zone[member.place.zone].push(at);
        }
        by_zone.iter_mut().for_each(|zone| shuffle(&mut chance, zone));
        let longest = by_zone.iter().map(Vec::len).max().unwrap_or(0);
        let turns = (0..longest).flat_map(|turn| by_zone.iter().filter_map(move |zone| zone.get(turn)));
        for at in turns.take(numbers.real) {
            members[*at].real = true;
        }
        // Daemons of one zone stand in different racks while there are any.
        let mut taken = BTreeSet::new();
        let mut daemons = Vec::new();
        for (at, zone) in numbers.zones_of_daemons().into_iter().enumerate() {
            let rack = (0..numbers.racks_a_zone).find(|rack| taken.insert((zone, *rack)));
            let rack = rack.unwrap_or(at % numbers.racks_a_zone);
            let place = Place { region: numbers.region_of(zone), zone, rack };
            daemons.push(Daemon { replica: at as u16 + 1, place });
        }
        Ok(Shape { numbers: numbers.clone(), services, members, daemons })
    }

    /// Between two regions; nothing within one.
    pub fn path(&self, from: usize, to: usize) -> Path {
        if from == to {
            return Path::default();
        }
        let delay = Span::from_nanos((self.numbers.region_delay_ms * 1e6) as u64);
        Path { delay, loss: self.numbers.region_loss }
    }

    /// The daemons in the order in which a member asks them: those of its zone, of its region, the others; of equals each
    /// member begins with the next.
    pub fn daemons_for(&self, member: usize) -> Vec<u16> {
        let home = self.members[member].place;
        let count = self.daemons.len();
        let mut order: Vec<usize> = (0..count).collect();
        order.sort_by_key(|at| {
            let place = self.daemons[*at].place;
            (place.zone != home.zone, place.region != home.region, (at + count - member % count) % count)
        });
        order.into_iter().map(|at| self.daemons[at].replica).collect()
    }

    pub fn real(&self) -> impl Iterator<Item = usize> {
        self.members.iter().enumerate().filter(|(_, member)| member.real).map(|(at, _)| at)
    }

    /// Members whose places are such.
    pub fn members_where(&self, is: impl Fn(&Place) -> bool) -> Vec<usize> {
        let all = self.members.iter().enumerate();
        all.filter(|(_, member)| is(&member.place)).map(|(at, _)| at).collect()
    }

    /// Daemons whose places are such.
    pub fn daemons_where(&self, is: impl Fn(&Place) -> bool) -> Vec<u16> {
        self.daemons.iter().filter(|daemon| is(&daemon.place)).map(|daemon| daemon.replica).collect()
    }
}
