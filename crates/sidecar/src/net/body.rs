//! A streamed body: parsed in pieces as they arrive, however they are split, and never buffered as a whole.

use std::ops::Range;

use httparse::Status;

use super::connection::Connection;
use super::http::{MAX_MESSAGE_BYTES, MAX_STREAMED_BODY_BYTES, MessageError};

/// The maximum size in bytes of a chunk's size line, and of all trailers together: several times the usual sizes.
pub const MAX_CHUNK_LINE_BYTES: usize = 1024;
pub const MAX_TRAILERS_BYTES: usize = 8192;

/// The parser's position in the framing of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// In data of known length, with this many bytes left.
    Length(u64),
    /// At a chunk's size line, in a chunk's data with this many bytes left, or at the line break after the data.
    Size,
    Chunk(u64),
    ChunkEnd,
    /// In the trailers, of which this many bytes have been read.
    Trailers(usize),
    /// In data that is delimited by the connection's close.
    UntilClose,
    Done,
}

/// The next part of a body in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Data; everything up to its end can then be consumed.
    Data(Range<usize>),
    /// More input is needed; this many bytes can be consumed.
    More(usize),
    /// The body ends after this many bytes.
    Done(usize),
}

/// The next piece of a body from its connection.
pub enum Piece {
    Data(Range<usize>),
    End,
    /// More input is needed.
    Pending,
    /// The framing is invalid; a client is sent this status.
    Invalid(u16),
    /// The connection ended before the body did.
    Truncated,
}

#[derive(Clone, Debug)]
pub struct Body {
    at: Position,
    length: Option<u64>,
    total: u64,
}

impl Body {
    pub fn of_length(length: u64) -> Body {
        Body { at: Position::Length(length), length: Some(length), total: 0 }
    }

    pub fn chunked() -> Body {
        Body { at: Position::Size, length: None, total: 0 }
    }

    pub fn until_close() -> Body {
        Body { at: Position::UntilClose, length: None, total: 0 }
    }

    /// The total length, if the head states it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the rest of the body is in this buffer, which begins where the last step ended.
    pub fn ends_within(&self, buffer: &[u8]) -> bool {
        let (mut rest, mut at) = (self.clone(), 0);
        loop {
            match rest.step(&buffer[at..]) {
                Ok(Step::Data(range)) => at += range.end,
                Ok(Step::Done(_)) => return true,
                Ok(Step::More(_)) | Err(_) => return false,
            }
        }
    }

    /// The number of bytes of the body that are to come, if that is known, when this many of them are buffered.
    pub fn missing(&self, buffered: usize) -> Option<u64> {
        match self.at {
            Position::Length(remaining) => Some(remaining.saturating_sub(buffered as u64)),
            _ => None,
        }
    }

    pub fn is_complete(&self) -> bool {
        self.at == Position::Done
    }

    /// Whether it is delimited by the connection's close.
    pub fn is_until_close(&self) -> bool {
        self.at == Position::UntilClose
    }

    /// Handles the close of the connection after all input was consumed. Returns whether the body is complete.
    pub fn finish_at_close(&mut self) -> bool {
        if self.at == Position::UntilClose {
            self.at = Position::Done;
        }
        self.is_complete()
    }

    /// Parses the connection's buffer from `from` on, and reads more from the socket as needed. With `use_last_bytes`,
    /// bytes that were received before the connection broke are still used.
    pub fn next(&mut self, connection: &mut Connection, from: usize, use_last_bytes: bool) -> Piece {
        loop {
            match self.step(&connection.input[from..]) {
                Err(MessageError(status)) => return Piece::Invalid(status),
                Ok(Step::Data(range)) => return Piece::Data(from + range.start..from + range.end),
                Ok(Step::Done(used)) => {
                    connection.consume_at(from, used);
                    return Piece::End;
                }
                Ok(Step::More(used)) => {
                    connection.consume_at(from, used);
                    let before = connection.input.len();
                    let usable = connection.fill(MAX_MESSAGE_BYTES).is_ok();
                    let more = connection.input.len() > before;
                    match (usable || use_last_bytes && more, more) {
                        (false, _) => return Piece::Truncated,
                        (true, true) => {}
                        _ if !connection.ended => return Piece::Pending,
                        _ => return if self.finish_at_close() { Piece::End } else { Piece::Truncated },
                    }
                }
            }
        }
    }

    /// Parses a buffer that begins where the last step ended.
    pub fn step(&mut self, input: &[u8]) -> Result<Step, MessageError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.at {
                Position::Length(0) | Position::Done => {
                    self.at = Position::Done;
                    return Ok(Step::Done(used));
                }
                Position::Length(_) | Position::Chunk(_) | Position::UntilClose if rest.is_empty() => {
                    return Ok(Step::More(used));
                }
                Position::Length(remaining) => {
                    return self.data(used, rest.len(), remaining, Position::Length);
                }
                Position::Chunk(0) => self.at = Position::ChunkEnd,
                Position::Chunk(remaining) => return self.data(used, rest.len(), remaining, Position::Chunk),
                Position::UntilClose => {
                    return self.data(used, rest.len(), u64::MAX, |_| Position::UntilClose);
                }
                Position::Size => match httparse::parse_chunk_size(rest) {
                    Ok(Status::Complete((line, size))) => {
                        used += line;
                        if size > MAX_STREAMED_BODY_BYTES {
                            return Err(MessageError(413));
                        }
                        self.at = if size == 0 { Position::Trailers(0) } else { Position::Chunk(size) };
                    }
                    Ok(Status::Partial) if rest.len() <= MAX_CHUNK_LINE_BYTES => return Ok(Step::More(used)),
                    _ => return Err(MessageError(400)),
                },
                Position::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (used, self.at) = (used + 2, Position::Size),
                    [] | [b'\r'] => return Ok(Step::More(used)),
                    _ => return Err(MessageError(400)),
                },
                Position::Trailers(before) => {
                    let Some(line) = rest.iter().position(|byte| *byte == b'\n') else {
                        let limit = MAX_TRAILERS_BYTES.saturating_sub(before);
                        return if rest.len() <= limit {
                            Ok(Step::More(used))
                        } else {
                            Err(MessageError(400))
                        };
                    };
                    used += line + 1;
                    let empty = rest[..line].trim_ascii().is_empty();
                    self.at = if empty { Position::Done } else { Position::Trailers(before + line + 1) };
                    if before + line > MAX_TRAILERS_BYTES {
                        return Err(MessageError(400));
                    }
                }
            }
        }
    }

    /// Returns the data from `used` on, up to what is left of it.
    fn data(
        &mut self,
        used: usize,
        available: usize,
        remaining: u64,
        position_after: impl Fn(u64) -> Position,
    ) -> Result<Step, MessageError> {
        let len = (available as u64).min(remaining);
        self.total += len;
        // Danger: a body without a length may never end.
        if self.total > MAX_STREAMED_BODY_BYTES {
            return Err(MessageError(413));
        }
        self.at = position_after(remaining - len);
        Ok(Step::Data(used..used + len as usize))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Parses the bytes in pieces that end at these offsets. Returns the data, the number of bytes left after it, and
    /// whether the body was complete.
    fn parse(mut body: Body, bytes: &[u8], cuts: &[usize]) -> (Vec<u8>, usize, Result<bool, MessageError>) {
        let (mut data, mut buffer) = (Vec::new(), Vec::new());
        let mut from = 0;
        for to in cuts.iter().map(|cut| *cut.min(&bytes.len())).chain([bytes.len()]) {
            buffer.extend_from_slice(&bytes[from..to]);
            from = to;
            loop {
                match body.step(&buffer) {
                    Ok(Step::Data(range)) => {
                        data.extend_from_slice(&buffer[range.clone()]);
                        buffer.drain(..range.end);
                    }
                    Ok(Step::More(used)) => {
                        buffer.drain(..used);
                        break;
                    }
                    Ok(Step::Done(used)) => {
                        buffer.drain(..used);
                        return (data, buffer.len() + bytes.len() - from, Ok(true));
                    }
                    Err(bad) => return (data, buffer.len(), Err(bad)),
                }
            }
        }
        let complete = body.finish_at_close();
        (data, buffer.len(), Ok(complete))
    }

    #[test]
    fn body_parses_the_same_when_split_at_any_byte() {
        let chunked = b"5;x=y\r\nsoups\r\n1\r\n!\r\n0\r\nT: t\r\nU: u\r\n\r\nGET /next";
        for (body, bytes, expected, remaining) in [
            (Body::chunked(), &chunked[..], "soups!", 9),
            (Body::of_length(5), b"soupsGET", "soups", 3),
            (Body::of_length(0), b"GET", "", 3),
            (Body::until_close(), b"soups", "soups", 0),
        ] {
            for one in 0..=bytes.len() {
                for other in one..=bytes.len() {
                    let (data, after, end) = parse(body.clone(), bytes, &[one, other]);
                    assert_eq!(
                        (data.as_slice(), after, end),
                        (expected.as_bytes(), remaining, Ok(true)),
                        "{one} {other}"
                    );
                }
            }
        }
    }

    /// Compares random bodies, parsed in random pieces, with their original data.
    #[test]
    fn random_bodies_in_random_pieces_keep_their_data() {
        let mut random = oorandom::Rand32::new(11);
        for round in 0..2000 {
            let plain: Vec<u8> = (0..random.rand_range(0..3000)).map(|_| random.rand_u32() as u8).collect();
            let (body, bytes) = match round % 3 {
                0 => (Body::of_length(plain.len() as u64), plain.clone()),
                1 => (Body::until_close(), plain.clone()),
                _ => {
                    let (mut bytes, mut rest) = (Vec::new(), plain.as_slice());
                    while !rest.is_empty() {
                        let size = random.rand_range(1..rest.len() as u32 + 1) as usize;
                        bytes.extend(format!("{size:x}{}\r\n", ["", ";a=\"b c\"", ";a"][size % 3]).bytes());
                        bytes.extend_from_slice(&rest[..size]);
                        bytes.extend(b"\r\n");
                        rest = &rest[size..];
                    }
                    bytes.extend(if random.rand_range(0..2) == 0 {
                        &b"0\r\n\r\n"[..]
                    } else {
                        b"00\r\nT: t\r\n\r\n"
                    });
                    (Body::chunked(), bytes)
                }
            };
            let mut cuts: Vec<_> = (0..random.rand_range(0..40))
                .map(|_| random.rand_range(0..bytes.len() as u32 + 1) as usize)
                .collect();
            cuts.sort_unstable();
            assert_eq!(parse(body.clone(), &bytes, &cuts), (plain, 0, Ok(true)), "round {round}");
            // A truncated body is not complete, unless it is delimited by the connection's close.
            if round % 3 != 1 && !bytes.is_empty() {
                assert!(parse(body, &bytes[..bytes.len() - 1], &cuts).2 != Ok(true), "round {round}");
            }
        }
    }

    #[test]
    fn invalid_and_endless_bodies_are_rejected() {
        let long = [b"1;".as_slice(), &[b'x'; 2000]].concat();
        let trailers = [b"0\r\n".as_slice(), &b"T: t\r\n".repeat(2000)].concat();
        for bytes in [
            &b"zz\r\n"[..],
            b"2\r\nsoup\r\n",
            b"ffffffffffffffff\r\n",
            b"fffffffffffffffff\r\n",
            &long,
            &trailers,
        ] {
            assert!(parse(Body::chunked(), bytes, &[]).2.is_err(), "{}", bytes.escape_ascii());
        }
        let mut body = Body::until_close();
        let piece = vec![0; 1 << 20];
        assert!((0..MAX_STREAMED_BODY_BYTES >> 20).all(|_| body.step(&piece).is_ok()));
        assert!(body.step(&piece).is_err());
    }
}
