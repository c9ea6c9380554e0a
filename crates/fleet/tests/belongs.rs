//! A member that belongs to a part of the fleet, and daemons of two versions.

use appledyke::units::{Moment, Span};
use appledyke_fleet::Version;
use appledyke_fleet::limits::Limits;
use appledyke_fleet::member::{HostAction, Member, MemberConfig};
use appledyke_fleet::messages::{MIN_VERSION, ReportAnswer, VERSION};
use appledyke_fleet::scopes::Locality;

const BEAT: u64 = 500;

fn at(beats: u64) -> Moment {
    Moment::from_nanos(beats * BEAT * 1_000_000)
}

fn version(number: u64) -> Version {
    Version { generation: 0, number }
}

fn locality() -> Locality {
    Locality { service: Some("menu".to_string()), ..Locality::default() }
}

fn member(locality: Option<Locality>) -> Member {
    let setup = MemberConfig {
        name: "s1".to_string(),
        daemons: vec![1, 2],
        heartbeat: Span::from_millis(BEAT),
        incarnation: 1,
        process_nonce: 1,
        version: Version::default(),
        limits: Limits::default(),
        groups: vec![],
        locality,
        program_version: "1.0".to_string(),
    };
    Member::new(at(0), setup, 1)
}

/// Its connection comes up, and speaks this.
fn up(member: &mut Member, beats: u64, speaks: u16) -> Vec<HostAction> {
    assert!(matches!(member.on_timer(at(beats))[..], [HostAction::Dial(_)]));
    member.on_connected(at(beats), speaks)
}

fn told(number: u64) -> ReportAnswer {
    let settings = Some((version(number), format!("{{\"x\": {number}}}")));
    ReportAnswer { is_leader: true, settings, ..ReportAnswer::default() }
}

fn alone() -> ReportAnswer {
    ReportAnswer { is_leader: true, ..ReportAnswer::default() }
}

fn reported(done: &[HostAction]) -> Option<(Version, Version)> {
    done.iter().find_map(|what| match what {
        HostAction::SendReport(report) => Some((report.version, report.latest_known)),
        _ => None,
    })
}

#[test]
fn what_it_belongs_to_is_said_first_and_only_where_both_speak_of_it() {
    let mut scoped = member(Some(locality()));
    let done = up(&mut scoped, 2, VERSION);
    assert!(
        matches!(&done[..], [HostAction::SendLocality(said), HostAction::SendReport(_)] if *said == locality()),
        "{done:?}"
    );
    // Again to each daemon: each keeps it for its connection.
    scoped.on_disconnected(at(3));
    assert!(matches!(
        up(&mut scoped, 5, VERSION)[..],
        [HostAction::SendLocality(_), HostAction::SendReport(_)]
    ));
    scoped.on_disconnected(at(6));
    assert!(matches!(up(&mut scoped, 8, MIN_VERSION)[..], [HostAction::SendReport(_)]));
    assert!(matches!(up(&mut member(None), 2, VERSION)[..], [HostAction::SendReport(_)]));
}

/// Danger: a daemon that knows no scopes tells what is put for all, with a version that is later than that of the scopes. With
/// that it would never hear of what holds for it.
#[test]
fn what_a_daemon_without_scopes_told_is_asked_for_anew() {
    let mut member = member(Some(locality()));
    up(&mut member, 2, VERSION);
    assert_eq!(member.on_answer(at(2), told(5)).len(), 1);
    member.set_active_version(version(5));
    assert!(!member.is_unscoped());
    member.on_disconnected(at(3));
    let done = up(&mut member, 5, MIN_VERSION);
    assert_eq!(reported(&done), Some((version(5), version(5))));
    assert_eq!(member.on_answer(at(5), told(7)).len(), 1);
    member.set_active_version(version(7));
    assert!(member.is_unscoped());
    member.on_disconnected(at(6));
    // Over a connection that knows scopes: of the same version, but another text.
    let done = up(&mut member, 8, VERSION);
    assert_eq!(reported(&done), Some((Version::default(), Version::default())));
    // A daemon that is behind takes it nowhere.
    assert_eq!(member.on_answer(at(8), told(6)), []);
    assert!(member.is_unscoped());
    assert_eq!(
        member.on_answer(at(8), told(7)),
        [HostAction::ApplySettings(version(7), "{\"x\": 7}".to_string())]
    );
    member.set_active_version(version(7));
    assert!(!member.is_unscoped());
    assert_eq!(member.on_answer(at(8), told(7)), []);
    assert_eq!(reported(&member.on_timer(at(9))[..]), Some((version(7), version(7))));
}

/// Danger: a connection may last for weeks, and a daemon be taken for an older one by an accident.
#[test]
fn with_a_daemon_without_scopes_it_stays_a_minute_and_without_a_locality_for_good() {
    for (locality, speaks, leaves) in [
        (Some(locality()), MIN_VERSION, true),
        (Some(locality()), VERSION, false),
        (None, MIN_VERSION, false),
        (None, VERSION, false),
    ] {
        let mut member = member(locality.clone());
        up(&mut member, 2, speaks);
        let mut left = None;
        for beat in 3..400 {
            assert!(member.next_due() <= at(beat + 3));
            let done = member.on_timer(at(beat));
            if done.contains(&HostAction::Close) {
                left = Some(beat);
                break;
            }
            member.on_answer(at(beat), alone());
        }
        assert_eq!(left.is_some(), leaves, "{locality:?} {speaks}");
        assert!(left.is_none_or(|beat| (120..=125).contains(&beat)), "{left:?}");
    }
}
