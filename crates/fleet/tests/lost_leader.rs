//! A member whose leader is lost, among daemons that don't know that yet.

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::limits::Limits;
use appledyke_fleet::member::{HostAction, Member, MemberConfig};
use appledyke_fleet::messages::{ReportAnswer, VERSION};

const BEAT: u64 = 500;

fn at(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

fn member() -> Member {
    let setup = MemberConfig {
        name: "s1".into(),
        daemons: vec![1, 2, 3],
        heartbeat: Span::from_millis(BEAT),
        incarnation: 5,
        process_nonce: 1,
        version: Version::default(),
        limits: Limits::default(),
        groups: Vec::new(),
        locality: None,
        program_version: String::new(),
    };
    Member::new(at(0), setup, 4)
}

/// What the world does with a member until a moment: the killed one refuses, the others name a leader.
struct World {
    member: Member,
    now: u64,
    connected: Option<u16>,
    dials: Vec<(u64, u16)>,
}

impl World {
    fn carry_out(&mut self, done: Vec<HostAction>, killed: Option<u16>, leader: u16) {
        for what in done {
            match what {
                HostAction::Dial(place) => {
                    self.dials.push((self.now, place));
                    if Some(place) == killed {
                        self.member.on_disconnected(at(self.now));
                        continue;
                    }
                    self.connected = Some(place);
                    let done = self.member.on_connected(at(self.now), VERSION);
                    self.carry_out(done, killed, leader);
                }
                HostAction::Close => self.connected = None,
                HostAction::SendReport(report) => {
                    let Some(place) = self.connected else { continue };
                    let told = ReportAnswer {
                        number: report.number,
                        is_leader: place == leader,
                        leader: Some(leader),
                        ..ReportAnswer::default()
                    };
                    let done = self.member.on_answer(at(self.now), told);
                    self.carry_out(done, killed, leader);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, until: u64, killed: Option<u16>, leader: u16) {
        while self.now < until {
            self.now += 5;
            let done = self.member.on_timer(at(self.now));
            self.carry_out(done, killed, leader);
        }
    }
}

fn begun(leader: u16) -> World {
    let mut world = World { member: member(), now: 0, connected: None, dials: Vec::new() };
    world.run(4 * BEAT, None, leader);
    assert_eq!(world.connected, Some(leader));
    world.dials.clear();
    world
}

/// Danger: each follower names the killed leader until the next election is over, and a member that goes to it at each word
/// dials it some ten times a second, as all the others do.
#[test]
fn a_killed_leader_that_others_still_name_is_dialed_once_in_two_beats() {
    for leader in 1..=3 {
        let mut world = begun(leader);
        world.connected = None;
        world.member.on_disconnected(at(world.now));
        let from = world.now;
        world.run(from + 6 * BEAT, Some(leader), leader);
        let times: Vec<u64> =
            world.dials.iter().filter(|(_, place)| *place == leader).map(|(at, _)| *at).collect();
        assert!((1..=3).contains(&times.len()), "leader {leader}: {:?}", world.dials);
        assert!(times.iter().all(|at| at - from >= 2 * BEAT), "leader {leader}: {:?}", world.dials);
        assert!(world.dials.len() <= 7, "leader {leader}: {:?}", world.dials);
        // It is answered meanwhile: settings come from any of them.
        assert!(world.member.has_recent_answer(at(world.now)));
    }
}

#[test]
fn whoever_leads_next_is_gone_to_with_the_first_word_of_it() {
    let mut world = begun(1);
    world.connected = None;
    world.member.on_disconnected(at(world.now));
    let killed = world.now;
    world.run(killed + BEAT, Some(1), 1);
    assert!(world.connected.is_some_and(|place| place != 1));
    let next = if world.connected == Some(2) { 3 } else { 2 };
    let elected = world.now;
    world.run(elected + BEAT + BEAT / 2, Some(1), next);
    assert_eq!(world.connected, Some(next), "{:?}", world.dials);
}

#[test]
fn a_leader_that_comes_back_is_gone_to_within_three_beats() {
    let mut world = begun(2);
    world.connected = None;
    world.member.on_disconnected(at(world.now));
    let killed = world.now;
    world.run(killed + BEAT / 2, Some(2), 2);
    world.run(killed + 7 * BEAT / 2, None, 2);
    assert_eq!(world.connected, Some(2), "{:?}", world.dials);
}
