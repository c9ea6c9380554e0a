//! What processes of ours tell one another: records by serde (postcard) in frames with a length before them. No more than
//! that; the bytes are carried by hosts.

use appledyke_consensus::{Id, Index, Message};
use serde::{Deserialize, Serialize};

use crate::budgets::{Budget, LogPosition, Resource};
use crate::evidence::{Observation, RelayedObservation};
use crate::evidence_coding::CodedRecords;
use crate::health::RequestCounts;
use crate::limits::{Grant, Usage};
use crate::members::MemberStatus;
use crate::releases::{AgentTask, Release, ReleaseUpdate};
use crate::scopes::{Locality, Scope, ScopedSettings};
use crate::state::{SettingsVersion, Write};
use crate::version::Version;

/// The version of all frames, and the oldest that is spoken with: over a connection goes what the lower of its two sides knows.
/// Frames, asks, replies and commands are written by their place in their enums and have no names: what is new goes last there,
/// and what is there stays as it is.
pub const VERSION: u16 = 3;
pub const MIN_VERSION: u16 = 2;
/// Ends without a word right after a greeting that are taken for a side that does not know its version: one may be a process
/// that ended just then.
const CUT_MOST: u8 = 2;
/// Bytes of a frame: a snapshot of the largest fleet. Before the greeting, those of a greeting.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
pub const MAX_HELLO_BYTES: usize = 1024;
/// Bytes that tell a frame's length, little-endian.
const HEAD: usize = 4;

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Initiator {
    Replica(Id),
    Member { name: String },
    Operator,
}

/// How a member stands and what it has seen, told at each beat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    /// Grows with each start.
    pub incarnation: u64,
    /// Drawn at the start: two processes of one name and incarnation differ by it.
    pub process_nonce: u64,
    pub status: MemberStatus,
    /// The version of the settings that it acts on.
    pub version: Version,
    /// The latest version that it was told, also where it found that faulty: it needs no older one.
    pub latest_known: Version,
    pub observations: Vec<Observation>,
    /// It has just started or come back, and wants what others have learnt.
    pub wants_catch_up: bool,
    /// Counts its reports: a grant's lease begins where the one that it answers was made.
    pub number: u64,
    pub usage: Vec<(Resource, Usage)>,
    /// The groups that it belongs to.
    pub groups: Vec<String>,
    /// Asks to go out up to this one hold nothing any more.
    pub settled_requests: u64,
    /// As of when it knows which endpoints are out of service, and where it holds something still, by name.
    pub endpoints_known_at: LogPosition,
    pub endpoints_in_use: Vec<String>,
    /// No other process serves its address, as a lock says that each holds: an earlier one of this name has ended.
    pub sole_at_address: bool,
    /// The version of its program, or what its file calls it.
    pub program_version: String,
    /// How its reqs have ended since it started; and its write-outs to the endpoints that it was asked to look for, by name.
    pub request_counts: RequestCounts,
    pub endpoint_counts: Vec<(String, RequestCounts)>,
    /// Clients that wait, and reqs that are open.
    pub open_requests: u64,
    /// It is drained by a release's word.
    pub drained_by_release: bool,
    /// By which it knows what it is asked to look for; and of these, what its list does not have as ready.
    pub watch_list_hash: u64,
    pub missing_endpoints: Vec<String>,
}

impl Default for Report {
    fn default() -> Report {
        Report {
            name: String::new(),
            incarnation: 0,
            process_nonce: 0,
            status: MemberStatus::Joining,
            version: Version::default(),
            latest_known: Version::default(),
            observations: Vec::new(),
            wants_catch_up: false,
            number: 0,
            usage: Vec::new(),
            groups: Vec::new(),
            settled_requests: 0,
            endpoints_known_at: LogPosition::default(),
            endpoints_in_use: Vec::new(),
            sole_at_address: false,
            program_version: String::new(),
            request_counts: RequestCounts::default(),
            endpoint_counts: Vec::new(),
            open_requests: 0,
            drained_by_release: false,
            watch_list_hash: 0,
            missing_endpoints: Vec::new(),
        }
    }
}

/// A daemon's answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// The place of the leader, as far as it knows one, and whether that is itself.
    pub leader: Option<u16>,
    pub is_leader: bool,
    /// It has been taken out, or knows that its copy differs: it is not to be asked.
    pub excluded: bool,
    /// Committed settings that are later than what the member acts on.
    pub settings: Option<(Version, String)>,
    /// Of `ToldCoded` those that were left, behind the coded ones.
    pub observations: Vec<RelayedObservation>,
    pub duplicate_process: bool,
    pub superseded: bool,
    /// The report that this answers, and what its sender is granted: none where this daemon may not grant.
    pub number: u64,
    pub grants: Option<Vec<Grant>>,
    /// The endpoints that are out of service, where the report did not know of these.
    pub drained_endpoints: Option<(LogPosition, Vec<String>)>,
    /// Whether a release sends it out: none where this daemon cannot say for sure.
    pub drain_for_release: Option<bool>,
    /// The endpoints that it is to look for and count at, where it does not know of these.
    pub watch_list: Option<(u64, Vec<String>)>,
}

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    Status,
    Members,
    /// The settings that hold, or those of a version.
    Get(Option<Version>),
    History,
    Write(Write),
    Backup,
    Budgets,
    /// This process of a member has ended, as an operator knows: what it held is free.
    MarkEnded {
        name: String,
        incarnation: u64,
    },
    /// This member never comes back.
    Forget(String),
    /// Take an endpoint out of service, or put it back; with a reason, whatever is out already.
    Endpoint {
        name: String,
        out: bool,
        force: Option<String>,
    },
    DrainedEndpoints,
    Release(ReleaseUpdate),
    Releases,
    /// What an agent beside this one is to do.
    AgentTask(String),
    /// Hand leadership to this place.
    TransferLeadership(u16),
    /// This place votes no more; `anyway` also where few are left, or few of them are heard.
    RemoveReplica {
        replica: u16,
        force: bool,
    },
    /// What is put for parts of the fleet.
    Scopes,
    /// A write for a part of the fleet.
    WriteScoped {
        scope: Scope,
        write: Write,
    },
    /// What is put for a scope, or was as of a version.
    GetScoped {
        scope: Scope,
        version: Option<Version>,
    },
    ScopeHistory(Scope),
    /// What holds for this member.
    MemberSettings(String),
    /// What each member that is heard says it belongs to.
    Localities,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub id: Id,
    pub role: String,
    pub term: u64,
    pub leader: Option<Id>,
    pub committed: Index,
    pub applied: Index,
    pub last: Index,
    pub digest: u64,
    pub voters: Vec<Id>,
    pub version: Version,
    /// As a leader: each other replica, up to where it holds the log, and whether it is heard.
    pub peers: Vec<(Id, Index, bool)>,
    /// Why it does not serve, if it does not.
    #[serde(rename = "apart")]
    pub excluded: Option<String>,
    pub evidence: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    pub name: String,
    pub incarnation: u64,
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// The version that it said it acts on, where it is heard.
    pub version: Option<Version>,
    pub groups: Vec<String>,
    pub out: bool,
}

/// A budget, and how it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetRow {
    pub budget: Budget,
    /// Granted, and counted with: what holders may be using still.
    pub granted: u64,
    #[serde(rename = "counted")]
    pub reserved: u64,
    pub holders: u64,
    /// How far above what is to be divided now holders may stand still.
    #[serde(rename = "over")]
    pub excess: u64,
}

/// A part of the fleet, and how it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScopeRow {
    pub scope: Scope,
    /// The version that was put for it last, and the bytes of its text: none where it was removed.
    pub version: Version,
    pub bytes: Option<u64>,
    /// The members that are heard and belong to it, and those of them that act on what holds for them now.
    pub members: u64,
    pub acting: u64,
}

/// What holds for a member, and of which scopes it is made, in the order of precedence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MergedSettings {
    pub version: Version,
    pub settings: String,
    pub locality: Option<Locality>,
    pub sources: Vec<(Scope, Version)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    Status(Status),
    Members(Vec<MemberRow>),
    Settings(Option<SettingsVersion>),
    History(Vec<SettingsVersion>),
    Budgets(Vec<BudgetRow>),
    /// Endpoints out of service, and the members that hold something there or may: none, and it is empty.
    DrainedEndpoints(Vec<(String, Vec<String>)>),
    /// Releases, and which version each member that is heard says that it runs.
    Releases(Vec<Release>, Vec<(String, String)>),
    AgentTask(Option<AgentTask>),
    /// A write has this effect, for good.
    Committed(Version),
    /// It has none, and never will.
    Refused(String),
    /// It was not proposed here, as this is wrong with it.
    Invalid(String),
    /// Nobody here can tell whether it will have one.
    Unknown(String),
    /// Ask the leader, at this place if one is known.
    NotLeader(Option<u16>),
    /// The state as bytes.
    Backup(Vec<u8>),
    Done,
    Scopes(Vec<ScopeRow>),
    Scoped(Option<ScopedSettings>),
    ScopeHistory(Vec<ScopedSettings>),
    Merged(Option<MergedSettings>),
    Localities(Vec<(String, Locality)>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame each way.
    Hello {
        version: u16,
        fleet: String,
        who: Initiator,
    },
    /// Why the greeting is not taken; the connection ends.
    Rejected(String),
    Consensus(Message),
    /// The digest of a replica's state after this entry.
    Digest {
        index: Index,
        digest: u64,
    },
    Report(Report),
    ReportAnswer(ReportAnswer),
    /// A member asks whether it may go out, and is told; a refusal says why.
    DrainRequest {
        ask: u64,
        anyway: Option<String>,
    },
    DrainAnswer {
        ask: u64,
        refused: Option<String>,
    },
    Request {
        number: u64,
        ask: OperatorRequest,
    },
    Reply {
        number: u64,
        reply: OperatorReply,
    },
    /// What a member belongs to: right behind the greeting, where both sides speak version 3.
    Locality(Locality),
    /// An answer whose records are coded: to a member that has said which service it belongs to, where both sides speak version 3.
    CodedReportAnswer(ReportAnswer, CodedRecords),
}

impl Frame {
    pub fn hello(fleet: &str, who: Initiator) -> Frame {
        Frame::hello_as(VERSION, fleet, who)
    }

    /// A greeting of this version: of the one that `Greeting` says, or that `greeted` gave for an answer.
    pub fn hello_as(version: u16, fleet: &str, who: Initiator) -> Frame {
        Frame::Hello { version, fleet: fleet.to_string(), who }
    }

    /// Adds this frame to bytes that go out. One that no receiver would take is left out, and `false`.
    pub fn write(&self, out: &mut Vec<u8>) -> bool {
        let start = out.len();
        out.extend([0; HEAD]);
        let body = postcard::to_stdvec(self).expect("a frame has no form that cannot be written");
        out.extend(&body);
        if body.len() > MAX_FRAME_BYTES {
            out.truncate(start);
            return false;
        }
        out[start..start + HEAD].copy_from_slice(&(body.len() as u32).to_le_bytes());
        true
    }
}

/// Bytes that come in, until they are frames.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    from: usize,
    greeted: bool,
}

impl FrameReader {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.from > 0 {
            self.bytes.drain(..std::mem::take(&mut self.from));
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next frame that is whole. The first one must be a greeting, and its refusal may follow one's own.
    ///
    /// # Errors
    /// What is wrong with the bytes: the connection is of no use any more.
    pub fn pop(&mut self) -> Result<Option<Frame>, String> {
        let bytes = &self.bytes[self.from..];
        let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        let most = if self.greeted { MAX_FRAME_BYTES } else { MAX_HELLO_BYTES };
        // Danger: a length that is believed before the greeting lets anyone fill the memory.
        if length > most {
            return Err(format!("a frame of {length} bytes, more than {most}"));
        }
        let Some(body) = bytes.get(HEAD..HEAD + length) else { return Ok(None) };
        let frame: Frame =
            postcard::from_bytes(body).map_err(|e| format!("a frame that cannot be read: {e}"))?;
        self.from += HEAD + length;
        if !self.greeted {
            match frame {
                Frame::Hello { .. } | Frame::Rejected(_) => self.greeted = true,
                _ => return Err("no greeting came first".to_string()),
            }
        }
        Ok(Some(frame))
    }
}

/// Who greets, and the version that this connection speaks: the lower of both. `own` is the version with which this side has
/// greeted, or `VERSION` where it answers; it answers with the version that this gives.
///
/// # Errors
/// Why the greeting is not taken, for its sender.
pub fn check_hello(frame: &Frame, fleet: &str, own: u16) -> Result<(Initiator, u16), String> {
    match frame {
        Frame::Hello { version, .. } if !(MIN_VERSION..=VERSION).contains(version) => {
            Err(format!("frames here are of versions {MIN_VERSION} to {VERSION}, not {version}"))
        }
        Frame::Hello { version, fleet: named, who } if named == fleet => Ok((who.clone(), own.min(*version))),
        Frame::Hello { fleet: named, .. } => Err(format!("this is fleet {fleet}, not {named}")),
        _ => Err("no greeting came first".to_string()),
    }
}

/// With which version a side that dials greets: one for each place. A side of version 2 takes no other, and says so or ends the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionNegotiation {
    version: u16,
    cut: u8,
}

impl Default for VersionNegotiation {
    fn default() -> VersionNegotiation {
        VersionNegotiation { version: VERSION, cut: 0 }
    }
}

impl VersionNegotiation {
    /// The version of the next greeting.
    pub fn version(self) -> u16 {
        self.version
    }

    /// The greeting was refused: the other version is next.
    pub fn on_rejected(&mut self) {
        let version = if self.version == VERSION { MIN_VERSION } else { VERSION };
        *self = VersionNegotiation { version, cut: 0 };
    }

    /// The connection was up, and has ended before the greeting was answered. Danger: a daemon that ended by itself is no older
    /// one, and a member that greets it as one is told nothing of its scopes.
    pub fn on_closed(&mut self) {
        self.cut += 1;
        if self.cut >= CUT_MOST || self.version != VERSION {
            self.on_rejected();
        }
    }

    /// The greeting was answered: the next connection begins anew.
    pub fn on_accepted(&mut self) {
        *self = VersionNegotiation::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frames() -> Vec<Frame> {
        vec![
            Frame::hello("zilina", Initiator::Member { name: "s1".into() }),
            Frame::Report(Report { name: "s1".into(), ..Report::default() }),
            Frame::ReportAnswer(ReportAnswer {
                settings: Some((Version::default(), "{}".into())),
                ..ReportAnswer::default()
            }),
            Frame::Request { number: 3, ask: OperatorRequest::Get(None) },
        ]
    }

    #[test]
    fn frames_come_whole_however_they_are_cut() {
        let mut bytes = Vec::new();
        frames().iter().for_each(|frame| assert!(frame.write(&mut bytes)));
        for size in 1..bytes.len() {
            let (mut incoming, mut heard) = (FrameReader::default(), Vec::new());
            for piece in bytes.chunks(size) {
                incoming.push(piece);
                while let Some(frame) = incoming.pop().unwrap() {
                    heard.push(frame);
                }
            }
            assert_eq!(heard, frames(), "{size}");
        }
    }

    #[test]
    fn what_is_foreign_oversized_or_no_frame_is_told() {
        let read = |bytes: &[u8]| {
            let mut incoming = FrameReader::default();
            incoming.push(bytes);
            incoming.pop()
        };
        assert!(read(b"GET / HTTP/1.1\r\n\r\n").unwrap_err().contains("bytes, more than"));
        assert!(read(&[4, 0, 0, 0, 99, 99, 99, 99]).unwrap_err().contains("cannot be read"));
        let mut bytes = Vec::new();
        Frame::Request { number: 1, ask: OperatorRequest::Status }.write(&mut bytes);
        assert_eq!(read(&bytes).unwrap_err(), "no greeting came first");
        let other = Frame::hello("brno", Initiator::Operator);
        assert_eq!(check_hello(&other, "zilina", VERSION).unwrap_err(), "this is fleet zilina, not brno");
        let newer = Frame::Hello { version: 9, fleet: "zilina".into(), who: Initiator::Operator };
        let said = "frames here are of versions 2 to 3, not 9";
        assert_eq!(check_hello(&newer, "zilina", VERSION).unwrap_err(), said);
        // After the greeting a frame may be long, but has its bound too.
        let mut incoming = FrameReader::default();
        let mut bytes = Vec::new();
        frames()[0].write(&mut bytes);
        bytes.extend((MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
        incoming.push(&bytes);
        assert!(incoming.pop().unwrap().is_some() && incoming.pop().is_err());
        let backup = Frame::Reply { number: 1, reply: OperatorReply::Backup(vec![0; MAX_FRAME_BYTES + 1]) };
        assert!(!backup.write(&mut bytes));
    }

    #[test]
    fn no_bytes_can_do_harm() {
        let mut chance = oorandom::Rand64::new(5);
        let mut whole = Vec::new();
        assert!(frames().iter().all(|frame| frame.write(&mut whole)));
        for _ in 0..20_000 {
            let mut bytes = whole.clone();
            for _ in 0..1 + chance.rand_range(0..4) {
                let at = chance.rand_range(0..bytes.len() as u64) as usize;
                bytes[at] = chance.rand_u64() as u8;
            }
            let mut incoming = FrameReader::default();
            incoming.push(&bytes);
            while let Ok(Some(_)) = incoming.pop() {}
        }
    }
}
