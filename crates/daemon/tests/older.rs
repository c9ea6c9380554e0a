//! A sidecar of today beside a daemon of version 2, which takes no other greeting: it says so, or ends the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use appledyke_consensus::Id;
use appledyke_fleet::messages::{Frame, FrameReader, Initiator, Report, ReportAnswer};
use appledyke_lab::rig::fleet::WAIT_TIMEOUT;
use appledyke_lab::rig::processes::workspace_program;
use appledyke_lab::rig::sidecars::Sidecars;

const BASE: &str = include_str!("../../../examples/sidecar.json");
const BEAT_MS: u64 = 60;

fn write(stream: &mut TcpStream, frame: &Frame) {
    let mut bytes = Vec::new();
    assert!(frame.write(&mut bytes));
    let _ = stream.write_all(&bytes);
}

/// Hears one connection out, as a daemon of version 2 does; it answers one report, and ends the connection behind it.
fn hear(mut stream: TcpStream, says_why: bool, heard: &Sender<Frame>) {
    let (mut frames, mut piece) = (FrameReader::default(), [0; 4096]);
    loop {
        match stream.read(&mut piece) {
            Ok(read) if read > 0 => frames.push(&piece[..read]),
            _ => return,
        }
        while let Ok(Some(frame)) = frames.pop() {
            let _ = heard.send(frame.clone());
            match frame {
                Frame::Hello { version: 2, .. } => {
                    let id = Id { replica_id: 1, incarnation: 1 };
                    write(&mut stream, &Frame::hello_as(2, "rig", Initiator::Replica(id)));
                }
                Frame::Hello { version, .. } => {
                    if says_why {
                        let why = format!("frames here are of version 2, not {version}");
                        write(&mut stream, &Frame::Rejected(why));
                    }
                    return;
                }
                Frame::Report(Report { number, .. }) => {
                    write(
                        &mut stream,
                        &Frame::ReportAnswer(ReportAnswer {
                            is_leader: true,
                            number,
                            ..ReportAnswer::default()
                        }),
                    );
                    return;
                }
                _ => return,
            }
        }
    }
}

fn daemon_of_version_2(says_why: bool) -> (SocketAddr, Receiver<Frame>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (heard, hears) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            hear(stream, says_why, &heard);
        }
    });
    (at, hears)
}

/// Danger: a fleet is upgraded one process at a time, and sidecars would be without daemons meanwhile; or, once the daemon is of
/// today, go on as if it were not.
#[test]
fn a_daemon_of_version_2_is_greeted_as_such_and_as_one_of_today_the_next_time() {
    for says_why in [true, false] {
        let name = format!("appledyke-older-{}-{says_why}", std::process::id());
        let root = std::env::temp_dir().join(name);
        let (at, heard) = daemon_of_version_2(says_why);
        let mut sidecars =
            Sidecars::new(&root, &workspace_program("appledyke-sidecar").unwrap(), BASE, 1).unwrap();
        sidecars.start("s0", &[(1, at)], BEAT_MS).unwrap();
        let next = || heard.recv_timeout(WAIT_TIMEOUT).expect("the sidecar says something");
        let version = || match next() {
            Frame::Hello { version, who: Initiator::Member { name }, .. } if name == "s0" => version,
            other => panic!("{other:?}"),
        };
        for _ in 0..2 {
            assert_eq!(version(), 3);
            // One that only ends the connection may have ended by itself.
            if !says_why {
                assert_eq!(version(), 3);
            }
            assert_eq!(version(), 2);
            let report = next();
            assert!(matches!(&report, Frame::Report(report) if report.name == "s0"), "{report:?}");
        }
        drop(sidecars);
        std::fs::remove_dir_all(&root).unwrap();
    }
}
