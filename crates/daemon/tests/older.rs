//! A sidecar of the current protocol version and a daemon of version 2, which accepts no other hello: it rejects it with a
//! reason, or closes the connection.

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

/// Serves one connection like a daemon of version 2: answers one report, then closes the connection.
fn serve_connection(mut stream: TcpStream, sends_reason: bool, heard: &Sender<Frame>) {
    let (mut frames, mut buffer) = (FrameReader::default(), [0; 4096]);
    loop {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => frames.push(&buffer[..read]),
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
                    if sends_reason {
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

fn daemon_of_version_2(sends_reason: bool) -> (SocketAddr, Receiver<Frame>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (heard, received) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(stream, sends_reason, &heard);
        }
    });
    (at, received)
}

/// Danger: a fleet is upgraded one process at a time. Sidecars must not be without daemons meanwhile, nor keep to the older
/// version once the daemon is upgraded.
#[test]
fn a_sidecar_falls_back_to_version_2_and_tries_the_current_version_on_the_next_connection() {
    for sends_reason in [true, false] {
        let name = format!("appledyke-older-{}-{sends_reason}", std::process::id());
        let root = std::env::temp_dir().join(name);
        let (at, heard) = daemon_of_version_2(sends_reason);
        let mut sidecars =
            Sidecars::new(&root, &workspace_program("appledyke-sidecar").unwrap(), BASE, 1).unwrap();
        sidecars.start("s0", &[(1, at)], BEAT_MS).unwrap();
        let next = || heard.recv_timeout(WAIT_TIMEOUT).expect("a frame from the sidecar");
        let version = || match next() {
            Frame::Hello { version, who: Initiator::Member { name }, .. } if name == "s0" => version,
            other => panic!("{other:?}"),
        };
        for _ in 0..2 {
            assert_eq!(version(), 3);
            // A daemon that only closes the connection may have failed, so the current version is tried twice.
            if !sends_reason {
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
