//! The bytes of a log: a header, then records. Numbers are little-endian.

/// What a file begins with, and the version of all that follows.
const MAGIC: &[u8; 8] = b"APDLSTOR";
pub const VERSION: u32 = 1;
/// Magic, version, generation, checksum.
pub const HEADER_LENGTH: usize = 8 + 4 + 8 + 4;
/// Length, sequence, checksum.
const RECORD_HEAD: usize = 4 + 8 + 4;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(Vec<u8>, Vec<u8>),
    Remove(Vec<u8>),
}

pub struct Header {
    pub generation: u64,
}

/// What stands at a place of a log.
pub enum ParsedRecord {
    Valid { sequence: u64, changes: Vec<Change>, end: usize },
    Invalid,
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at.checked_add(N)?)?.try_into().ok()
}

/// The header of a file, `None` where it is damaged; `Err` is a version that is whole and not known.
pub fn parse_header(bytes: &[u8]) -> Result<Option<Header>, u32> {
    let read = || {
        let sum = u32::from_le_bytes(number(bytes, HEADER_LENGTH - 4)?);
        let whole = bytes.starts_with(MAGIC) && crc32fast::hash(&bytes[..HEADER_LENGTH - 4]) == sum;
        let version = u32::from_le_bytes(number(bytes, 8)?);
        whole.then_some((version, u64::from_le_bytes(number(bytes, 12)?)))
    };
    match read() {
        None => Ok(None),
        Some((VERSION, generation)) => Ok(Some(Header { generation })),
        Some((version, _)) => Err(version),
    }
}

pub fn encode_header(generation: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

pub fn encode_record(sequence: u64, changes: &[Change]) -> Vec<u8> {
    let mut body = Vec::new();
    let mut text = |bytes: &[u8]| {
        body.extend((bytes.len() as u32).to_le_bytes());
        body.extend(bytes);
    };
    for change in changes {
        match change {
            Change::Put(key, value) => {
                text(b"+");
                text(key);
                text(value);
            }
            Change::Remove(key) => {
                text(b"-");
                text(key);
            }
        }
    }
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(sequence.to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes);
    sum.update(&body);
    bytes.extend(sum.finalize().to_le_bytes());
    bytes.extend(body);
    bytes
}

pub fn parse_record(bytes: &[u8], at: usize) -> ParsedRecord {
    read(bytes, at).unwrap_or(ParsedRecord::Invalid)
}

fn read(bytes: &[u8], at: usize) -> Option<ParsedRecord> {
    let length = u32::from_le_bytes(number(bytes, at)?) as usize;
    let sequence = u64::from_le_bytes(number(bytes, at + 4)?);
    let sum = u32::from_le_bytes(number(bytes, at + 12)?);
    let end = (at + RECORD_HEAD).checked_add(length)?;
    let body = bytes.get(at + RECORD_HEAD..end)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[at..at + 12]);
    hasher.update(body);
    if hasher.finalize() != sum {
        return None;
    }
    let (mut left, mut changes) = (body, Vec::new());
    let text = |left: &mut &[u8]| {
        let length = u32::from_le_bytes(number(left, 0)?) as usize;
        let text = left.get(4..4_usize.checked_add(length)?)?.to_vec();
        *left = &left[4 + length..];
        Some(text)
    };
    while !left.is_empty() {
        let change = match &text(&mut left)?[..] {
            b"+" => Change::Put(text(&mut left)?, text(&mut left)?),
            b"-" => Change::Remove(text(&mut left)?),
            _ => return None,
        };
        changes.push(change);
    }
    Some(ParsedRecord::Valid { sequence, changes, end })
}
