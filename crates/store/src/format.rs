//! The encoding of a log file: a header, then records. Numbers are little-endian.

/// The first bytes of a file.
const MAGIC: &[u8; 8] = b"APDLSTOR";
/// The version of the encoding of the whole file.
pub const VERSION: u32 = 1;
/// The bytes of a header: magic, version, generation, checksum.
pub const HEADER_LENGTH: usize = 8 + 4 + 8 + 4;
/// The bytes before the body of a record: length, sequence, checksum.
const RECORD_HEADER_LENGTH: usize = 4 + 8 + 4;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(Vec<u8>, Vec<u8>),
    Remove(Vec<u8>),
}

pub struct Header {
    pub generation: u64,
}

/// The result of reading a record at an offset of a log.
pub enum ParsedRecord {
    Valid { sequence: u64, changes: Vec<Change>, end: usize },
    Invalid,
}

fn byte_array<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset.checked_add(N)?)?.try_into().ok()
}

/// Reads the header of a file: `None` if it is damaged, `Err` with its version if it is intact but of an unsupported
/// version.
pub fn parse_header(bytes: &[u8]) -> Result<Option<Header>, u32> {
    let parse = || {
        let checksum = u32::from_le_bytes(byte_array(bytes, HEADER_LENGTH - 4)?);
        let valid = bytes.starts_with(MAGIC) && crc32fast::hash(&bytes[..HEADER_LENGTH - 4]) == checksum;
        let version = u32::from_le_bytes(byte_array(bytes, 8)?);
        valid.then_some((version, u64::from_le_bytes(byte_array(bytes, 12)?)))
    };
    match parse() {
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
    let mut push_field = |bytes: &[u8]| {
        body.extend((bytes.len() as u32).to_le_bytes());
        body.extend(bytes);
    };
    for change in changes {
        match change {
            Change::Put(key, value) => {
                push_field(b"+");
                push_field(key);
                push_field(value);
            }
            Change::Remove(key) => {
                push_field(b"-");
                push_field(key);
            }
        }
    }
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(sequence.to_le_bytes());
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes);
    hasher.update(&body);
    bytes.extend(hasher.finalize().to_le_bytes());
    bytes.extend(body);
    bytes
}

pub fn parse_record(bytes: &[u8], offset: usize) -> ParsedRecord {
    try_parse_record(bytes, offset).unwrap_or(ParsedRecord::Invalid)
}

fn try_parse_record(bytes: &[u8], offset: usize) -> Option<ParsedRecord> {
    let length = u32::from_le_bytes(byte_array(bytes, offset)?) as usize;
    let sequence = u64::from_le_bytes(byte_array(bytes, offset + 4)?);
    let checksum = u32::from_le_bytes(byte_array(bytes, offset + 12)?);
    let end = (offset + RECORD_HEADER_LENGTH).checked_add(length)?;
    let body = bytes.get(offset + RECORD_HEADER_LENGTH..end)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[offset..offset + 12]);
    hasher.update(body);
    if hasher.finalize() != checksum {
        return None;
    }
    let (mut rest, mut changes) = (body, Vec::new());
    let take_field = |rest: &mut &[u8]| {
        let length = u32::from_le_bytes(byte_array(rest, 0)?) as usize;
        let field = rest.get(4..4_usize.checked_add(length)?)?.to_vec();
        *rest = &rest[4 + length..];
        Some(field)
    };
    while !rest.is_empty() {
        let change = match &take_field(&mut rest)?[..] {
            b"+" => Change::Put(take_field(&mut rest)?, take_field(&mut rest)?),
            b"-" => Change::Remove(take_field(&mut rest)?),
            _ => return None,
        };
        changes.push(change);
    }
    Some(ParsedRecord::Valid { sequence, changes, end })
}
