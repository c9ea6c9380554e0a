//! Members that an operator has forgotten.

use appledyke::units::{Moment, Span};
use appledyke_fleet::liveness::{LivenessTimeouts, MemberTracker};
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::Report;
use appledyke_fleet::state::{Answer, Command, Fleet};

const LEASE_MS: u64 = 1000;
const GONE_MS: u64 = 5000;

fn at(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

fn report(incarnation: u64) -> Report {
    Report { name: "s0".into(), incarnation, status: MemberStatus::Serving, ..Report::default() }
}

/// Applies what the leader proposes at this time, and returns whether the member is known afterwards.
fn is_known_after(tracker: &mut MemberTracker, fleet: &mut Fleet, ms: u64) -> bool {
    for command in tracker.proposals(at(ms), fleet) {
        fleet.apply(ms, &command);
    }
    fleet.members().contains_key("s0")
}

/// Guards against a forgotten member coming back by the last report that the leader keeps of it.
#[test]
fn forgotten_member_stays_so_until_it_reports_again() {
    let timeouts = LivenessTimeouts { lease: Span::from_millis(LEASE_MS), gone: Span::from_millis(GONE_MS) };
    for forgotten_at in [LEASE_MS + 500, GONE_MS + 500] {
        let (mut tracker, mut fleet) = (MemberTracker::new(at(0), timeouts), Fleet::default());
        tracker.record_report(at(10), &report(1), &fleet);
        assert!(is_known_after(&mut tracker, &mut fleet, 20));
        assert!(is_known_after(&mut tracker, &mut fleet, forgotten_at));
        assert_eq!(fleet.apply(forgotten_at + 1, &Command::Forget("s0".into())), Answer::Done);
        for ms in (forgotten_at + 2..forgotten_at + 2 * GONE_MS).step_by(100) {
            assert!(!is_known_after(&mut tracker, &mut fleet, ms), "{forgotten_at}: back at {ms} ms");
        }
        let returned_at = forgotten_at + 3 * GONE_MS;
        tracker.record_report(at(returned_at), &report(1), &fleet);
        assert!(is_known_after(&mut tracker, &mut fleet, returned_at + 1));
    }
}
