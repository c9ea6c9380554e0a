//! What processes of ours tell one another: records by serde (postcard) in frames with a length before them. No more than
//! that; the bytes are carried by hosts.

use appledyke_consensus::{Id, Index, Message};
use serde::{Deserialize, Serialize};

use crate::budgets::{Budget, Stamp, Thing};
use crate::evidence::{Passed, Seen};
use crate::evidence_coding::Coded;
use crate::health::Figures;
use crate::limits::{Grant, Use};
use crate::members::Standing;
use crate::releases::{Order, Release, Work};
use crate::scopes::{Locality, Scope, Scoped};
use crate::state::{Write, Written};
use crate::version::Version;

/// The version of all frames, and the oldest that is spoken with: over a connection goes what the lower of its two sides knows.
/// Frames, asks, replies and commands are written by their place in their enums and have no names: what is new goes last there,
/// and what is there stays as it is.
pub const VERSION: u16 = 3;
pub const OLDEST: u16 = 2;
/// Ends without a word right after a greeting that are taken for a side that does not know its version: one may be a process
/// that ended just then.
const CUT_MOST: u8 = 2;
/// Bytes of a frame: a snapshot of the largest fleet. Before the greeting, those of a greeting.
pub const FRAME_MOST: usize = 32 << 20;
pub const GREETING_MOST: usize = 1024;
/// Bytes that tell a frame's length, little-endian.
const HEAD: usize = 4;

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Who {
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
    pub process: u64,
    pub standing: Standing,
    /// The version of the settings that it acts on.
    pub version: Version,
    /// The latest version that it was told, also where it found that faulty: it needs no older one.
    pub knows: Version,
    pub seen: Vec<Seen>,
    /// It has just started or come back, and wants what others have learnt.
    pub catches_up: bool,
    /// Counts its reports: a grant's lease begins where the one that it answers was made.
    pub number: u64,
    pub uses: Vec<(Thing, Use)>,
    /// The groups that it belongs to.
    pub groups: Vec<String>,
    /// Asks to go out up to this one hold nothing any more.
    pub settled: u64,
    /// As of when it knows which endpoints are out of service, and where it holds something still, by name.
    pub outs: Stamp,
    pub holds: Vec<String>,
    /// No other process serves its address, as a lock says that each holds: an earlier one of this name has ended.
    pub alone: bool,
    /// The version of its program, or what its file calls it.
    pub runs: String,
    /// How its reqs have ended since it started; and its write-outs to the endpoints that it was asked to look for, by name.
    pub figures: Figures,
    pub at: Vec<(String, Figures)>,
    /// Clients that wait, and reqs that are open.
    pub open: u64,
    /// It is drained by a release's word.
    pub sent: bool,
    /// By which it knows what it is asked to look for; and of these, what its list does not have as ready.
    pub looks: u64,
    pub lacks: Vec<String>,
}

impl Default for Report {
    fn default() -> Report {
        Report {
            name: String::new(),
            incarnation: 0,
            process: 0,
            standing: Standing::Joining,
            version: Version::default(),
            knows: Version::default(),
            seen: Vec::new(),
            catches_up: false,
            number: 0,
            uses: Vec::new(),
            groups: Vec::new(),
            settled: 0,
            outs: Stamp::default(),
            holds: Vec::new(),
            alone: false,
            runs: String::new(),
            figures: Figures::default(),
            at: Vec::new(),
            open: 0,
            sent: false,
            looks: 0,
            lacks: Vec::new(),
        }
    }
}

/// A daemon's answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The place of the leader, as far as it knows one, and whether that is itself.
    pub leader: Option<u16>,
    pub leads: bool,
    /// It has been taken out, or knows that its copy differs: it is not to be asked.
    pub apart: bool,
    /// Committed settings that are later than what the member acts on.
    pub settings: Option<(Version, String)>,
    /// Of `ToldCoded` those that were left, behind the coded ones.
    pub passed: Vec<Passed>,
    pub twin: bool,
    pub superseded: bool,
    /// The report that this answers, and what its sender is granted: none where this daemon may not grant.
    pub number: u64,
    pub grants: Option<Vec<Grant>>,
    /// The endpoints that are out of service, where the report did not know of these.
    pub outs: Option<(Stamp, Vec<String>)>,
    /// Whether a release sends it out: none where this daemon cannot say for sure.
    pub sent: Option<bool>,
    /// The endpoints that it is to look for and count at, where it does not know of these.
    pub looks: Option<(u64, Vec<String>)>,
}

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Status,
    Members,
    /// The settings that hold, or those of a version.
    Get(Option<Version>),
    History,
    Write(Write),
    Backup,
    Budgets,
    /// This process of a member has ended, as an operator knows: what it held is free.
    Ended {
        name: String,
        incarnation: u64,
    },
    /// This member never comes back.
    Forget(String),
    /// Take an endpoint out of service, or put it back; with a reason, whatever is out already.
    Endpoint {
        name: String,
        out: bool,
        anyway: Option<String>,
    },
    Outs,
    Release(Order),
    Releases,
    /// What an agent beside this one is to do.
    Work(String),
    /// Hand leadership to this place.
    HandOver(u16),
    /// This place votes no more; `anyway` also where few are left, or few of them are heard.
    TakeOut {
        place: u16,
        anyway: bool,
    },
    /// What is put for parts of the fleet.
    Scopes,
    /// A write for a part of the fleet.
    WriteFor {
        scope: Scope,
        write: Write,
    },
    /// What is put for a scope, or was as of a version.
    GetFor {
        scope: Scope,
        version: Option<Version>,
    },
    HistoryFor(Scope),
    /// What holds for this member.
    SettingsOf(String),
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
    pub apart: Option<String>,
    pub evidence: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    pub name: String,
    pub incarnation: u64,
    pub standing: Standing,
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
    pub counted: u64,
    pub holders: u64,
    /// How far above what is to be divided now holders may stand still.
    pub over: u64,
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
pub struct Merged {
    pub version: Version,
    pub settings: String,
    pub locality: Option<Locality>,
    pub of: Vec<(Scope, Version)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Status(Status),
    Members(Vec<MemberRow>),
    Settings(Option<Written>),
    History(Vec<Written>),
    Budgets(Vec<BudgetRow>),
    /// Endpoints out of service, and the members that hold something there or may: none, and it is empty.
    Outs(Vec<(String, Vec<String>)>),
    /// Releases, and which version each member that is heard says that it runs.
    Releases(Vec<Release>, Vec<(String, String)>),
    Work(Option<Work>),
    /// A write has this effect, for good.
    Committed(Version),
    /// It has none, and never will.
    Refused(String),
    /// It was not proposed here, as this is wrong with it.
    Faulty(String),
    /// Nobody here can tell whether it will have one.
    Unknown(String),
    /// Ask the leader, at this place if one is known.
    NotLeader(Option<u16>),
    /// The state as bytes.
    Backup(Vec<u8>),
    Done,
    Scopes(Vec<ScopeRow>),
    Scoped(Option<Scoped>),
    HistoryFor(Vec<Scoped>),
    Merged(Option<Merged>),
    Localities(Vec<(String, Locality)>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame each way.
    Hello {
        version: u16,
        fleet: String,
        who: Who,
    },
    /// Why the greeting is not taken; the connection ends.
    NotTaken(String),
    Agree(Message),
    /// The digest of a replica's state after this entry.
    Digest {
        index: Index,
        digest: u64,
    },
    Report(Report),
    Told(Told),
    /// A member asks whether it may go out, and is told; a refusal says why.
    AskOut {
        ask: u64,
        anyway: Option<String>,
    },
    OutTold {
        ask: u64,
        refused: Option<String>,
    },
    Ask {
        number: u64,
        ask: Ask,
    },
    Reply {
        number: u64,
        reply: Reply,
    },
    /// What a member belongs to: right behind the greeting, where both sides speak version 3.
    Belongs(Locality),
    /// An answer whose records are coded: to a member that has said which service it belongs to, where both sides speak version 3.
    ToldCoded(Told, Coded),
}

impl Frame {
    pub fn hello(fleet: &str, who: Who) -> Frame {
        Frame::hello_as(VERSION, fleet, who)
    }

    /// A greeting of this version: of the one that `Greeting` says, or that `greeted` gave for an answer.
    pub fn hello_as(version: u16, fleet: &str, who: Who) -> Frame {
        Frame::Hello { version, fleet: fleet.to_string(), who }
    }

    /// Adds this frame to bytes that go out. One that no receiver would take is left out, and `false`.
    pub fn write(&self, out: &mut Vec<u8>) -> bool {
        let start = out.len();
        out.extend([0; HEAD]);
        let body = postcard::to_stdvec(self).expect("a frame has no form that cannot be written");
        out.extend(&body);
        if body.len() > FRAME_MOST {
            out.truncate(start);
            return false;
        }
        out[start..start + HEAD].copy_from_slice(&(body.len() as u32).to_le_bytes());
        true
    }
}

/// Bytes that come in, until they are frames.
#[derive(Default)]
pub struct Frames {
    bytes: Vec<u8>,
    from: usize,
    greeted: bool,
}

impl Frames {
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
        let most = if self.greeted { FRAME_MOST } else { GREETING_MOST };
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
                Frame::Hello { .. } | Frame::NotTaken(_) => self.greeted = true,
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
pub fn greeted(frame: &Frame, fleet: &str, own: u16) -> Result<(Who, u16), String> {
    match frame {
        Frame::Hello { version, .. } if !(OLDEST..=VERSION).contains(version) => {
            Err(format!("frames here are of versions {OLDEST} to {VERSION}, not {version}"))
        }
        Frame::Hello { version, fleet: named, who } if named == fleet => Ok((who.clone(), own.min(*version))),
        Frame::Hello { fleet: named, .. } => Err(format!("this is fleet {fleet}, not {named}")),
        _ => Err("no greeting came first".to_string()),
    }
}

/// With which version a side that dials greets: one for each place. A side of version 2 takes no other, and says so or ends the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Greeting {
    version: u16,
    cut: u8,
}

impl Default for Greeting {
    fn default() -> Greeting {
        Greeting { version: VERSION, cut: 0 }
    }
}

impl Greeting {
    /// The version of the next greeting.
    pub fn version(self) -> u16 {
        self.version
    }

    /// The greeting was refused: the other version is next.
    pub fn refused(&mut self) {
        let version = if self.version == VERSION { OLDEST } else { VERSION };
        *self = Greeting { version, cut: 0 };
    }

    /// The connection was up, and has ended before the greeting was answered. Danger: a daemon that ended by itself is no older
    /// one, and a member that greets it as one is told nothing of its scopes.
    pub fn cut(&mut self) {
        self.cut += 1;
        if self.cut >= CUT_MOST || self.version != VERSION {
            self.refused();
        }
    }

    /// The greeting was answered: the next connection begins anew.
    pub fn taken(&mut self) {
        *self = Greeting::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frames() -> Vec<Frame> {
        vec![
            Frame::hello("zilina", Who::Member { name: "s1".into() }),
            Frame::Report(Report { name: "s1".into(), ..Report::default() }),
            Frame::Told(Told { settings: Some((Version::default(), "{}".into())), ..Told::default() }),
            Frame::Ask { number: 3, ask: Ask::Get(None) },
        ]
    }

    #[test]
    fn frames_come_whole_however_they_are_cut() {
        let mut bytes = Vec::new();
        frames().iter().for_each(|frame| assert!(frame.write(&mut bytes)));
        for size in 1..bytes.len() {
            let (mut incoming, mut heard) = (Frames::default(), Vec::new());
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
            let mut incoming = Frames::default();
            incoming.push(bytes);
            incoming.pop()
        };
        assert!(read(b"GET / HTTP/1.1\r\n\r\n").unwrap_err().contains("bytes, more than"));
        assert!(read(&[4, 0, 0, 0, 99, 99, 99, 99]).unwrap_err().contains("cannot be read"));
        let mut bytes = Vec::new();
        Frame::Ask { number: 1, ask: Ask::Status }.write(&mut bytes);
        assert_eq!(read(&bytes).unwrap_err(), "no greeting came first");
        let other = Frame::hello("brno", Who::Operator);
        assert_eq!(greeted(&other, "zilina", VERSION).unwrap_err(), "this is fleet zilina, not brno");
        let newer = Frame::Hello { version: 9, fleet: "zilina".into(), who: Who::Operator };
        let said = "frames here are of versions 2 to 3, not 9";
        assert_eq!(greeted(&newer, "zilina", VERSION).unwrap_err(), said);
        // After the greeting a frame may be long, but has its bound too.
        let mut incoming = Frames::default();
        let mut bytes = Vec::new();
        frames()[0].write(&mut bytes);
        bytes.extend((FRAME_MOST as u32 + 1).to_le_bytes());
        incoming.push(&bytes);
        assert!(incoming.pop().unwrap().is_some() && incoming.pop().is_err());
        let backup = Frame::Reply { number: 1, reply: Reply::Backup(vec![0; FRAME_MOST + 1]) };
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
            let mut incoming = Frames::default();
            incoming.push(&bytes);
            while let Ok(Some(_)) = incoming.pop() {}
        }
    }
}
