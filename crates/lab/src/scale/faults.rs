//! The faults of a scale run, drawn by seed over its shape: a list of when and what, for a host to carry out.
//!
//! One after another with calm between, so that none is taken for another's and no two lose the majority of daemons together.
//! How long things last in the letter is shortened by one factor, but never under what leases need: leases, elections,
//! beats and every limit that is judged stay as they are, and an absence shorter than a lease would be another fault. The
//! calm grows with the run, and a run too short for the least of each is refused.

use std::collections::BTreeSet;

use appledyke::units::{Moment, Span};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

use super::shape::{Daemon, Place, Shape};

/// Part of the run that is calm: before the first fault, after each.
const CALM_PART: f64 = 0.4;
/// Part of the calm before a fault by which it may come earlier, by chance.
const EARLIER_PART: f64 = 0.25;
/// Part of the members that are lost before all come back at once, and in how many goes.
const LOST_PART: f64 = 0.25;
const LOST_IN: usize = 4;
/// A single machine's absence, as a part of the time in which the machines fail.
const MACHINE_PART: f64 = 1.0 / 6.0;
/// Roundings of moments to nanoseconds that may add up over a schedule.
const ROUNDING: u64 = 1000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Single machines of members, each for a while.
    Machines,
    /// A rack with all on it, daemons too.
    Rack,
    Zone,
    /// A region and the others don't reach one another; each goes on for itself.
    RegionCut,
    /// Members are lost one part after another, and all back at one moment.
    BackAtOnce,
    /// Whoever leads is killed between a change's proposal and its answer, and comes back.
    LeaderKilled,
    /// The majority of daemons is down, and back. Not in the letter: only where it is named.
    MajorityLost,
    /// A daemon ends and never comes back. Always the last.
    DaemonGone,
}

impl Kind {
    /// All that the letter names.
    pub const LETTER: [Kind; 7] = [
        Kind::Machines,
        Kind::Rack,
        Kind::Zone,
        Kind::RegionCut,
        Kind::BackAtOnce,
        Kind::LeaderKilled,
        Kind::DaemonGone,
    ];

    /// As long as it lasts in the field: the hour between regions is the letter's, the others are ours. What is gone for good
    /// is watched for so long.
    pub const fn real(self) -> Span {
        Span::from_millis(match self {
            Kind::Machines | Kind::Rack | Kind::Zone | Kind::RegionCut => 3_600_000,
            Kind::BackAtOnce | Kind::DaemonGone => 1_800_000,
            Kind::LeaderKilled | Kind::MajorityLost => 600_000,
        })
    }

    /// Whether the daemons may be without a majority in its time.
    pub const fn loses_majority(self) -> bool {
        matches!(self, Kind::MajorityLost)
    }

    pub const fn name(self) -> &'static str {
        match self {
            Kind::Machines => "machines",
            Kind::Rack => "rack",
            Kind::Zone => "zone",
            Kind::RegionCut => "region-cut",
            Kind::BackAtOnce => "back-at-once",
            Kind::LeaderKilled => "leader-killed",
            Kind::MajorityLost => "majority-lost",
            Kind::DaemonGone => "daemon-gone",
        }
    }
}

/// What the scenario's table `faults` holds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Of the whole schedule, the calm at both its ends included.
    pub length_ms: u64,
    /// Each is drawn once; all of the letter if not said.
    pub kinds: Vec<Kind>,
    /// Machines that fail singly.
    pub machines: usize,
    /// The shortest absence: longer than leases, and than what a daemon waits for before it takes a member for gone.
    pub least_ms: u64,
    /// The shortest time between two faults, in which all is to settle.
    pub calm_ms: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        // Five on an ordinary day are the letter's. Four seconds are some leases of the rig, six some elections more.
        Terms { length_ms: 180_000, kinds: Kind::LETTER.to_vec(), machines: 5, least_ms: 4000, calm_ms: 6000 }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub kind: Kind,
    pub from: Moment,
    /// Nothing for what is gone for good.
    pub until: Option<Moment>,
    /// How many times shorter than in the field.
    pub factor: f64,
    /// Where it strikes, in words.
    pub place: String,
    /// Members that are down, or cut off from the daemons that can commit.
    pub members: Vec<usize>,
    /// Daemons that are down. Whoever leads is only known when it is killed.
    pub daemons: Vec<u16>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    MembersDown(Vec<usize>),
    DaemonsDown(Vec<u16>),
    /// This region and all others don't reach one another.
    RegionCut(usize),
    /// A change is to be proposed, and its leader killed before it answers.
    LeaderKilledInChange,
    /// A daemon is gone with its folder.
    DaemonGone(u16),
    MembersUp(Vec<usize>),
    DaemonsUp(Vec<u16>),
    RegionJoined(usize),
    /// The one that was killed as leader.
    LeaderUp,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Action {
    pub at: Moment,
    /// Which fault it belongs to.
    pub fault: usize,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub length: Span,
    /// The factor by which all are shortened that aren't held up by the least.
    pub factor: f64,
    pub calm: Span,
    pub faults: Vec<Fault>,
    /// In the order of time.
    pub actions: Vec<Action>,
}

impl Terms {
    /// # Errors
    /// The key that can't be met, and why.
    pub fn check(&self) -> Result<(), String> {
        let wrong = |key: &str, why: String| Err(format!("faults.{key}: {why}"));
        if self.kinds.is_empty() {
            return wrong("kinds", "expected at least one".to_string());
        }
        for (at, kind) in self.kinds.iter().enumerate() {
            if self.kinds[..at].contains(kind) {
                return wrong("kinds", format!("{} twice", kind.name()));
            }
        }
        if self.machines == 0 && self.kinds.contains(&Kind::Machines) {
            return wrong("machines", "expected a positive whole number, not 0".to_string());
        }
        if self.least_ms == 0 {
            return wrong("least_ms", "expected a positive whole number, not 0".to_string());
        }
        // The calm is a part of the run, so both bounds are on the length.
        let count = self.kinds.len() as u64;
        let least = self.least_ms.saturating_mul(count);
        let calm = self.calm_ms.saturating_mul(count + 1);
        let needed = least.saturating_add(calm).max((least as f64 / (1.0 - CALM_PART)).ceil() as u64);
        if self.length_ms < needed {
            return wrong(
                "length_ms",
                format!("expected {needed} or more for {count} faults, not {}", self.length_ms),
            );
        }
        Ok(())
    }
}

/// How long each lasts: as in the field by one factor, none under the least, all together what there is.
fn lengths(kinds: &[Kind], available: f64, least: f64) -> (Vec<f64>, f64) {
    let real: Vec<f64> = kinds.iter().map(|kind| kind.real().nanos() as f64).collect();
    let mut held = vec![false; kinds.len()];
    loop {
        let count = held.iter().filter(|held| **held).count();
        let rest: f64 = real.iter().zip(&held).filter(|(_, held)| !**held).map(|(real, _)| real).sum();
        let factor = rest / (available - least * count as f64).max(1.0);
        // Those that would be too short are held up, and the others share what is left.
        let short = |at: &usize| !held[*at] && real[*at] / factor < least;
        let more: Vec<usize> = (0..kinds.len()).filter(short).collect();
        if more.is_empty() {
            let length = |at: usize| if held[at] { least } else { real[at] / factor };
            return ((0..kinds.len()).map(length).collect(), factor);
        }
        more.into_iter().for_each(|at| held[at] = true);
    }
}

fn below(chance: &mut Rand64, end: usize) -> usize {
    chance.rand_range(0..end as u64) as usize
}

fn pick<T: Copy>(chance: &mut Rand64, of: &[T]) -> Option<T> {
    (!of.is_empty()).then(|| of[below(chance, of.len())])
}

/// Some different members, in the order of drawing.
fn some(chance: &mut Rand64, members: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..members).collect();
    let count = count.min(members);
    for at in 0..count {
        all.swap(at, at + below(chance, members - at));
    }
    all.truncate(count);
    all
}

struct Drawing<'a> {
    shape: &'a Shape,
    chance: Rand64,
    faults: Vec<Fault>,
    actions: Vec<Action>,
}

impl Schedule {
    /// # Errors
    /// The key that can't be met by this shape, and why.
    pub fn draw(terms: &Terms, shape: &Shape, seed: u64) -> Result<Schedule, String> {
        terms.check()?;
        let chance = Rand64::new(u128::from(seed) << 64 | 0x5ca1_efa7);
        let mut drawing = Drawing { shape, chance, faults: Vec::new(), actions: Vec::new() };
        let mut kinds = terms.kinds.clone();
        kinds.sort_unstable();
        for at in (1..kinds.len()).rev() {
            kinds.swap(at, below(&mut drawing.chance, at + 1));
        }
        kinds.sort_by_key(|kind| *kind == Kind::DaemonGone);
        let length = Span::from_millis(terms.length_ms);
        let gaps = kinds.len() + 1;
        let calm = (length * (CALM_PART / gaps as f64)).nanos().max(Span::from_millis(terms.calm_ms).nanos());
        let available = length.nanos() - (calm * gaps as u64).min(length.nanos());
        let least = Span::from_millis(terms.least_ms);
        let (lengths, factor) = lengths(&kinds, available as f64, least.nanos() as f64);
        let mut at = 0;
        for (kind, lasts) in kinds.into_iter().zip(lengths) {
            // It begins a little before its time and ends at it, so that the calm after it is whole.
            let spare = calm - Span::from_millis(terms.calm_ms).nanos();
            let earlier = drawing.chance.rand_float() * spare as f64 * EARLIER_PART;
            let from = Moment::from_nanos(at + calm - earlier as u64);
            let lasts = Span::from_nanos(lasts as u64);
            at = (from + lasts).nanos();
            drawing.fault(terms, kind, from, lasts)?;
        }
        debug_assert!(at <= length.nanos() + ROUNDING, "the schedule fits its length");
        drawing.actions.sort();
        let calm = Span::from_nanos(calm);
        Ok(Schedule { length, factor, calm, faults: drawing.faults, actions: drawing.actions })
    }

    /// The most daemons that reach one another at a moment: a leader that was killed counts as one of those.
    pub fn together(&self, shape: &Shape, at: Moment) -> usize {
        let (mut down, mut cut, mut leader) = (BTreeSet::new(), None, false);
        for action in self.actions.iter().filter(|action| action.at <= at) {
            match &action.what {
                What::DaemonsDown(daemons) => down.extend(daemons.iter().copied()),
                What::DaemonsUp(daemons) => down.retain(|daemon| !daemons.contains(daemon)),
                What::DaemonGone(daemon) => drop(down.insert(*daemon)),
                What::RegionCut(region) => cut = Some(*region),
                What::RegionJoined(_) => cut = None,
                What::LeaderKilledInChange => leader = true,
                What::LeaderUp => leader = false,
                What::MembersDown(_) | What::MembersUp(_) => {}
            }
        }
        let up = shape.daemons.iter().filter(|daemon| !down.contains(&daemon.replica));
        let (within, without): (Vec<&Daemon>, Vec<&Daemon>) =
            up.partition(|daemon| Some(daemon.place.region) == cut);
        within.len().max(without.len()) - usize::from(leader && !(within.is_empty() && without.is_empty()))
    }

    /// What it is and how it was shortened, a line for each.
    pub fn said(&self) -> Vec<String> {
        let calm = self.calm.secs();
        let mut lines = vec![format!(
            "{} faults in {:.1} s, {:.0} times shorter than in the field where not said otherwise, {calm:.1} s of calm \
             between; leases, elections, beats and limits are as they are",
            self.faults.len(),
            self.length.secs(),
            self.factor
        )];
        for fault in &self.faults {
            let from = fault.from.nanos() as f64 / 1e9;
            let lasts = match fault.until {
                Some(until) => format!("for {:.1} s", until.since(fault.from).secs()),
                None => "for good".to_string(),
            };
            let (kind, place, factor) = (fault.kind.name(), &fault.place, fault.factor);
            lines.push(format!("{from:.1} s {lasts}: {kind}: {place}; {factor:.0} times shorter"));
        }
        lines
    }
}

impl Drawing<'_> {
    /// Whether the daemons without these, and without another, still are a majority.
    fn majority_without(&self, lost: usize) -> bool {
        let all = self.shape.daemons.len();
        all - lost > all / 2
    }

    fn act(&mut self, at: Moment, what: What) {
        let nothing = match &what {
            What::MembersDown(members) | What::MembersUp(members) => members.is_empty(),
            What::DaemonsDown(daemons) | What::DaemonsUp(daemons) => daemons.is_empty(),
            _ => false,
        };
        if !nothing {
            self.actions.push(Action { at, fault: self.faults.len(), what });
        }
    }

    fn fault(&mut self, terms: &Terms, kind: Kind, from: Moment, lasts: Span) -> Result<(), String> {
        let cannot = |why: &str| Err(format!("faults.kinds: {}: {why}", kind.name()));
        let (shape, until) = (self.shape, from + lasts);
        let all = shape.daemons.len();
        let mut fault = Fault {
            kind,
            from,
            until: Some(until),
            factor: kind.real().nanos() as f64 / lasts.nanos().max(1) as f64,
            place: String::new(),
            members: Vec::new(),
            daemons: Vec::new(),
        };
        match kind {
            Kind::Machines => {
                fault.members = some(&mut self.chance, shape.members.len(), terms.machines);
                let least = Span::from_millis(terms.least_ms).nanos();
                let away = (lasts * MACHINE_PART).nanos().max(least).min(lasts.nanos());
                let mut names = Vec::new();
                for member in fault.members.clone() {
                    let later = self.chance.rand_float() * (lasts.nanos() - away) as f64;
                    let down = from + Span::from_nanos(later as u64);
                    self.act(down, What::MembersDown(vec![member]));
                    self.act(down + Span::from_nanos(away), What::MembersUp(vec![member]));
                    names.push(shape.members[member].name.as_str());
                }
                fault.place = format!("{}, each for {:.1} s", names.join(", "), away as f64 / 1e9);
            }
            Kind::Rack | Kind::Zone => {
                let whole =
                    |place: &Place| Place { rack: if kind == Kind::Zone { 0 } else { place.rack }, ..*place };
                let places = shape.members.iter().map(|member| &member.place);
                let places = places.chain(shape.daemons.iter().map(|daemon| &daemon.place)).map(whole);
                let places: BTreeSet<Place> = places.collect();
                let kept = |place: &Place| {
                    self.majority_without(shape.daemons_where(|other| whole(other) == *place).len())
                };
                let places: Vec<Place> = places.into_iter().filter(kept).collect();
                let Some(place) = pick(&mut self.chance, &places) else {
                    return cannot("each has so many daemons that the majority would go with it");
                };
                fault.members = shape.members_where(|other| whole(other) == place);
                fault.daemons = shape.daemons_where(|other| whole(other) == place);
                fault.place = match kind {
                    Kind::Zone => format!("zone {}", place.zone),
                    _ => format!("zone {}, rack {}", place.zone, place.rack),
                };
                self.act(from, What::MembersDown(fault.members.clone()));
                self.act(from, What::DaemonsDown(fault.daemons.clone()));
                self.act(until, What::MembersUp(fault.members.clone()));
                self.act(until, What::DaemonsUp(fault.daemons.clone()));
            }
            Kind::RegionCut => {
                if shape.numbers.regions < 2 {
                    return cannot("there is one region only");
                }
                let within = |region: usize| shape.daemons_where(|place| place.region == region).len();
                let regions: Vec<usize> = (0..shape.numbers.regions)
                    .filter(|region| within(*region).max(all - within(*region)) > all / 2)
                    .collect();
                let Some(region) = pick(&mut self.chance, &regions) else {
                    return cannot("neither side would have a majority of the daemons");
                };
                // Whichever side can't commit is cut off.
                let other = within(region) > all / 2;
                fault.members = shape.members_where(|place| (place.region == region) != other);
                fault.place = format!("region {region}");
                self.act(from, What::RegionCut(region));
                self.act(until, What::RegionJoined(region));
            }
            Kind::BackAtOnce => {
                let count = ((shape.members.len() as f64 * LOST_PART).ceil() as usize).max(1);
                fault.members = some(&mut self.chance, shape.members.len(), count);
                let each = count.div_ceil(LOST_IN);
                for (go, members) in fault.members.clone().chunks(each).enumerate() {
                    // In the first half; the last part is away for the other.
                    let later = lasts * (0.5 * go as f64 / LOST_IN as f64);
                    self.act(from + later, What::MembersDown(members.to_vec()));
                }
                self.act(until, What::MembersUp(fault.members.clone()));
                fault.place = format!("{count} members");
            }
            Kind::LeaderKilled => {
                if !self.majority_without(1) {
                    return cannot("the daemons have no majority without one of them");
                }
                self.act(from, What::LeaderKilledInChange);
                self.act(until, What::LeaderUp);
                fault.place = "whoever leads".to_string();
            }
            Kind::MajorityLost => {
                let lost = some(&mut self.chance, all, all / 2 + 1);
                fault.daemons = lost.into_iter().map(|at| shape.daemons[at].replica).collect();
                fault.daemons.sort_unstable();
                fault.place = format!("daemons {:?}", fault.daemons);
                self.act(from, What::DaemonsDown(fault.daemons.clone()));
                self.act(until, What::DaemonsUp(fault.daemons.clone()));
            }
            Kind::DaemonGone => {
                if !self.majority_without(1) {
                    return cannot("the daemons have no majority without one of them");
                }
                let replica = shape.daemons[below(&mut self.chance, all)].replica;
                (fault.daemons, fault.until) = (vec![replica], None);
                fault.place = format!("daemon {replica}");
                self.act(from, What::DaemonGone(replica));
            }
        }
        self.faults.push(fault);
        Ok(())
    }
}
