//! The messages between sidecars, daemons and operators' tools: postcard records in length-prefixed frames. This module only
//! encodes and decodes; the host processes carry the bytes.

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

/// The current protocol version, and the oldest supported one: a connection uses the lower version of its two ends.
/// Frames, requests, replies and commands are encoded by the position of their enum variant and have no names: new variants
/// are added last, and existing ones never change.
pub const VERSION: u16 = 3;
pub const MIN_VERSION: u16 = 2;
/// Connections closed without an answer right after a hello, from which on the peer is assumed not to know its version. A
/// single one may be a process that ended just then.
const MAX_CLOSED_HELLOS: u8 = 2;
/// Maximum size of a frame: a snapshot of the largest fleet. Before the hello, the maximum size of a hello.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
pub const MAX_HELLO_BYTES: usize = 1024;
/// Bytes of the length prefix, little-endian.
const LENGTH_BYTES: usize = 4;

/// The kind of process that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Initiator {
    Replica(Id),
    Member { name: String },
    Operator,
}

/// A member's status and observations, sent at each heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    /// Increases with each start.
    pub incarnation: u64,
    /// Random per process start: distinguishes two processes of the same name and incarnation.
    pub process_nonce: u64,
    pub status: MemberStatus,
    /// The active version of the settings.
    pub version: Version,
    /// The latest version that it received, even if it rejected that one as invalid: it needs no older one.
    pub latest_known: Version,
    pub observations: Vec<Observation>,
    /// It has just started or reconnected, and wants the latest observations of others.
    pub wants_catch_up: bool,
    /// Sequence number of its reports: the lease of a grant begins when the report that it answers was made.
    pub number: u64,
    pub usage: Vec<(Resource, Usage)>,
    /// The groups that it belongs to.
    pub groups: Vec<String>,
    /// Drain requests up to this one are finished, and their permissions may be taken back.
    pub settled_requests: u64,
    /// The log position up to which it knows which endpoints are out of service, and the names of those that it still has
    /// connections or requests at.
    pub endpoints_known_at: LogPosition,
    pub endpoints_in_use: Vec<String>,
    /// No other process serves its address, as shown by a lock that each process holds: an earlier process of this name has
    /// ended.
    pub sole_at_address: bool,
    /// The version of its program, or the one that its configuration file states.
    pub program_version: String,
    /// Outcomes of its requests since it started, and of its attempts at the endpoints that it watches, by name.
    pub request_counts: RequestCounts,
    pub endpoint_counts: Vec<(String, RequestCounts)>,
    /// Waiting clients and open requests.
    pub open_requests: u64,
    /// It is drained by a release.
    pub drained_by_release: bool,
    /// The hash of the list of endpoints that it watches, and those of them that are not ready in its discovery list.
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
    /// The replica id of the leader, if one is known, and whether this daemon is the leader.
    pub leader: Option<u16>,
    pub is_leader: bool,
    /// This daemon was removed from the voters, or knows that its state differs: members must not use it.
    pub excluded: bool,
    /// Committed settings that are later than the member's.
    pub settings: Option<(Version, String)>,
    /// Observations of other members. In a `CodedReportAnswer`, those that follow the coded ones.
    pub observations: Vec<RelayedObservation>,
    pub duplicate_process: bool,
    pub superseded: bool,
    /// The number of the report that this answers, and the grants for its sender: `None` if this daemon may not grant.
    pub number: u64,
    pub grants: Option<Vec<Grant>>,
    /// The endpoints that are out of service, if the report showed an older list.
    pub drained_endpoints: Option<(LogPosition, Vec<String>)>,
    /// Whether a release drains the member: `None` if this daemon does not know for sure.
    pub drain_for_release: Option<bool>,
    /// The endpoints that the member is to watch and count outcomes for, and the hash of this list, if the report showed another.
    pub watch_list: Option<(u64, Vec<String>)>,
}

/// A request of an operator's tool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    Status,
    Members,
    /// The current settings for the whole fleet, or those of a version.
    Get(Option<Version>),
    History,
    Write(Write),
    Backup,
    Budgets,
    /// An operator confirms that this process of a member has ended: its shares are released.
    MarkEnded {
        name: String,
        incarnation: u64,
    },
    /// This member never comes back: removes it.
    Forget(String),
    /// Takes an endpoint out of service, or puts it back; with a reason, regardless of what is out already.
    Endpoint {
        name: String,
        out: bool,
        force: Option<String>,
    },
    DrainedEndpoints,
    Release(ReleaseUpdate),
    Releases,
    /// The task of the agent that runs beside this member or endpoint.
    AgentTask(String),
    /// Transfers leadership to this replica.
    TransferLeadership(u16),
    /// Removes a replica from the voters; `force` allows it even if few voters are left, or few of them are reachable.
    RemoveReplica {
        replica: u16,
        force: bool,
    },
    /// All scopes with settings.
    Scopes,
    /// A write for one scope.
    WriteScoped {
        scope: Scope,
        write: Write,
    },
    /// The current settings of a scope, or those of a version.
    GetScoped {
        scope: Scope,
        version: Option<Version>,
    },
    ScopeHistory(Scope),
    /// The settings that apply to this member.
    MemberSettings(String),
    /// The locality of each connected member, as it reports it.
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
    /// On the leader: each other replica, the last log index that it holds, and whether it is reachable.
    pub peers: Vec<(Id, Index, bool)>,
    /// Why this daemon does not serve members, if it does not.
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
    /// The active version that it reported, if it is connected.
    pub version: Option<Version>,
    pub groups: Vec<String>,
    pub out: bool,
}

/// A budget and its current use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetRow {
    pub budget: Budget,
    /// The sum of the granted shares, and of what holders may still be using.
    pub granted: u64,
    #[serde(rename = "counted")]
    pub reserved: u64,
    pub holders: u64,
    /// How far `reserved` exceeds what may be granted now.
    #[serde(rename = "over")]
    pub excess: u64,
}

/// A scope and the members in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScopeRow {
    pub scope: Scope,
    /// The version of its latest write, and the size of its settings: `None` if they were removed.
    pub version: Version,
    pub bytes: Option<u64>,
    /// The connected members that belong to it, and those of them that act on the latest settings for them.
    pub members: u64,
    pub acting: u64,
}

/// The settings that apply to a member, and the scopes that they are merged from, in order of precedence.
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
    /// Endpoints out of service, and the members that have or may have connections or requests there. Without any, the endpoint
    /// is drained.
    DrainedEndpoints(Vec<(String, Vec<String>)>),
    /// Releases, and the program version that each connected member reports.
    Releases(Vec<Release>, Vec<(String, String)>),
    AgentTask(Option<AgentTask>),
    /// The write is committed as this version.
    Committed(Version),
    /// The write has no effect and never will.
    Refused(String),
    /// The request is invalid and was not proposed.
    Invalid(String),
    /// It is not known whether the write will take effect.
    Unknown(String),
    /// Ask the leader, which is this replica if one is known.
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
    /// The first frame in each direction.
    Hello {
        version: u16,
        fleet: String,
        who: Initiator,
    },
    /// Why the hello is rejected; the connection is closed.
    Rejected(String),
    Consensus(Message),
    /// The digest of a replica's state after it applied this entry.
    Digest {
        index: Index,
        digest: u64,
    },
    Report(Report),
    ReportAnswer(ReportAnswer),
    /// A member asks whether it may drain, and the answer; a refusal says why.
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
    /// A member's locality: sent right after the hello, if both ends speak version 3.
    Locality(Locality),
    /// An answer with dictionary-coded observations: to a member that has sent its locality, if both ends speak version 3.
    CodedReportAnswer(ReportAnswer, CodedRecords),
}

impl Frame {
    pub fn hello(fleet: &str, who: Initiator) -> Frame {
        Frame::hello_as(VERSION, fleet, who)
    }

    /// A hello of this version: the one of `VersionNegotiation` for a client, or the one that `check_hello` returned for an
    /// answer.
    pub fn hello_as(version: u16, fleet: &str, who: Initiator) -> Frame {
        Frame::Hello { version, fleet: fleet.to_string(), who }
    }

    /// Appends this frame to the outgoing bytes. Returns `false`, and appends nothing, if the frame exceeds `MAX_FRAME_BYTES`.
    pub fn write(&self, out: &mut Vec<u8>) -> bool {
        let start = out.len();
        out.extend([0; LENGTH_BYTES]);
        let body = postcard::to_stdvec(self).expect("a frame has no form that cannot be written");
        out.extend(&body);
        if body.len() > MAX_FRAME_BYTES {
            out.truncate(start);
            return false;
        }
        out[start..start + LENGTH_BYTES].copy_from_slice(&(body.len() as u32).to_le_bytes());
        true
    }
}

/// Splits incoming bytes into frames.
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

    /// The next complete frame. The first one must be a hello, or the rejection of one's own.
    ///
    /// # Errors
    /// A description of the protocol error, after which the connection is unusable.
    pub fn pop(&mut self) -> Result<Option<Frame>, String> {
        let bytes = &self.bytes[self.from..];
        let Some(head) = bytes.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        let most = if self.greeted { MAX_FRAME_BYTES } else { MAX_HELLO_BYTES };
        // Danger: without the lower limit before the hello, any client could make the reader buffer large amounts of memory.
        if length > most {
            return Err(format!("a frame of {length} bytes, more than {most}"));
        }
        let Some(body) = bytes.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
        let frame: Frame =
            postcard::from_bytes(body).map_err(|e| format!("a frame that cannot be read: {e}"))?;
        self.from += LENGTH_BYTES + length;
        if !self.greeted {
            match frame {
                Frame::Hello { .. } | Frame::Rejected(_) => self.greeted = true,
                _ => return Err("no greeting came first".to_string()),
            }
        }
        Ok(Some(frame))
    }
}

/// Checks a hello. Returns who opened the connection, and its version: the lower one of both ends. `own` is the version of
/// the hello that this end sent, or `VERSION` if it answers; it answers with the returned version.
///
/// # Errors
/// Why the hello is rejected, as a text for its sender.
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

/// Chooses the version of the hello for a client that dials, per remote address. A server of version 2 accepts no other
/// version, and rejects the hello or closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionNegotiation {
    version: u16,
    closed: u8,
}

impl Default for VersionNegotiation {
    fn default() -> VersionNegotiation {
        VersionNegotiation { version: VERSION, closed: 0 }
    }
}

impl VersionNegotiation {
    /// The version for the next hello.
    pub fn version(self) -> u16 {
        self.version
    }

    /// The hello was rejected: switches to the other version.
    pub fn on_rejected(&mut self) {
        let version = if self.version == VERSION { MIN_VERSION } else { VERSION };
        *self = VersionNegotiation { version, closed: 0 };
    }

    /// The connection was established, but closed before the hello was answered. Danger: the daemon may just have ended rather
    /// than be of an older version, and a member that falls back to the older version gets no settings of its scopes.
    pub fn on_closed(&mut self) {
        self.closed += 1;
        if self.closed >= MAX_CLOSED_HELLOS || self.version != VERSION {
            self.on_rejected();
        }
    }

    /// The hello was answered: the next connection starts again with the current version.
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
        // After the hello a frame may be longer, but is limited too.
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
