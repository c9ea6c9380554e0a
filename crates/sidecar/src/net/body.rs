//! A long body that passes through: read in pieces as they come, however they are split, and never held whole.

use std::ops::Range;

use httparse::Status;

use super::connection::Connection;
use super::http::{Bad, LONG_MOST, MESSAGE_MOST};

/// Bytes that the line before a chunk may have, and all trailers together: several times what is usual.
pub const LINE_MOST: usize = 1024;
pub const TRAILERS_MOST: usize = 8192;

/// Where in its framing a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// In data of which so much is to come, as the length says.
    Length(u64),
    /// At the line before a chunk, in a chunk's data, at the end of that.
    Size,
    Chunk(u64),
    ChunkEnd,
    /// In the trailers, of which so many bytes have come.
    Trailers(usize),
    /// In data that the connection's end will end.
    ToEnd,
    Done,
}

/// What stands next in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Data; all up to its end is then done with.
    Data(Range<usize>),
    /// Nothing until more comes; so many bytes are done with.
    More(usize),
    /// The body's end, after so many bytes.
    Done(usize),
}

/// What stands next of a body in its connection's buffer.
pub enum Piece {
    Data(Range<usize>),
    End,
    /// Nothing yet.
    Later,
    Bad(u16),
    /// Nothing more, though it is not whole.
    Broken,
}

#[derive(Clone, Debug)]
pub struct Body {
    at: At,
    length: Option<u64>,
    passed: u64,
}

impl Body {
    pub fn of_length(length: u64) -> Body {
        Body { at: At::Length(length), length: Some(length), passed: 0 }
    }

    pub fn chunked() -> Body {
        Body { at: At::Size, length: None, passed: 0 }
    }

    pub fn to_end() -> Body {
        Body { at: At::ToEnd, length: None, passed: 0 }
    }

    /// How long it is in all, if its head tells.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Only the connection's end ends it.
    pub fn lasts_to_end(&self) -> bool {
        self.at == At::ToEnd
    }

    /// The connection has ended and all that it brought is done with: whether the body is whole by that.
    pub fn ends_here(&mut self) -> bool {
        if self.at == At::ToEnd {
            self.at = At::Done;
        }
        self.done()
    }

    /// Reads on in the connection's buffer from `from` on, and what more the socket has. `last_count`: what came before
    /// the connection broke still counts.
    pub fn next(&mut self, connection: &mut Connection, from: usize, last_count: bool) -> Piece {
        loop {
            match self.step(&connection.input[from..]) {
                Err(Bad(status)) => return Piece::Bad(status),
                Ok(Step::Data(range)) => return Piece::Data(from + range.start..from + range.end),
                Ok(Step::Done(used)) => {
                    connection.consume_at(from, used);
                    return Piece::End;
                }
                Ok(Step::More(used)) => {
                    connection.consume_at(from, used);
                    let before = connection.input.len();
                    let works = connection.fill(MESSAGE_MOST).is_ok();
                    let more = connection.input.len() > before;
                    match (works || last_count && more, more) {
                        (false, _) => return Piece::Broken,
                        (true, true) => {}
                        _ if !connection.ended => return Piece::Later,
                        _ => return if self.ends_here() { Piece::End } else { Piece::Broken },
                    }
                }
            }
        }
    }

    /// Reads on in a buffer that begins where the last step ended.
    pub fn step(&mut self, input: &[u8]) -> Result<Step, Bad> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.at {
                At::Length(0) | At::Done => {
                    self.at = At::Done;
                    return Ok(Step::Done(used));
                }
                At::Length(_) | At::Chunk(_) | At::ToEnd if rest.is_empty() => return Ok(Step::More(used)),
                At::Length(left) => return self.data(used, rest.len(), left, At::Length),
                At::Chunk(0) => self.at = At::ChunkEnd,
                At::Chunk(left) => return self.data(used, rest.len(), left, At::Chunk),
                At::ToEnd => return self.data(used, rest.len(), u64::MAX, |_| At::ToEnd),
                At::Size => match httparse::parse_chunk_size(rest) {
                    Ok(Status::Complete((line, size))) => {
                        used += line;
                        if size > LONG_MOST {
                            return Err(Bad(413));
                        }
                        self.at = if size == 0 { At::Trailers(0) } else { At::Chunk(size) };
                    }
                    Ok(Status::Partial) if rest.len() <= LINE_MOST => return Ok(Step::More(used)),
                    _ => return Err(Bad(400)),
                },
                At::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (used, self.at) = (used + 2, At::Size),
                    [] | [b'\r'] => return Ok(Step::More(used)),
                    _ => return Err(Bad(400)),
                },
                At::Trailers(before) => {
                    let Some(line) = rest.iter().position(|byte| *byte == b'\n') else {
                        let most = TRAILERS_MOST.saturating_sub(before);
                        return if rest.len() <= most { Ok(Step::More(used)) } else { Err(Bad(400)) };
                    };
                    used += line + 1;
                    let empty = rest[..line].trim_ascii().is_empty();
                    self.at = if empty { At::Done } else { At::Trailers(before + line + 1) };
                    if before + line > TRAILERS_MOST {
                        return Err(Bad(400));
                    }
                }
            }
        }
    }

    /// Data from `used` on, at most what is left of it.
    fn data(&mut self, used: usize, there: usize, left: u64, then: impl Fn(u64) -> At) -> Result<Step, Bad> {
        let taken = (there as u64).min(left);
        self.passed += taken;
        // Danger: a body without a length may keep coming for ever.
        if self.passed > LONG_MOST {
            return Err(Bad(413));
        }
        self.at = then(left - taken);
        Ok(Step::Data(used..used + taken as usize))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What passes when the bytes come in pieces that end at these places: the data, what is left behind it, and
    /// what became of it.
    fn pass(mut body: Body, bytes: &[u8], cuts: &[usize]) -> (Vec<u8>, usize, Result<bool, Bad>) {
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
        let whole = body.ends_here();
        (data, buffer.len(), Ok(whole))
    }

    #[test]
    fn split_at_every_byte_a_body_is_the_same_as_whole() {
        let chunked = b"5;x=y\r\nsoups\r\n1\r\n!\r\n0\r\nT: t\r\nU: u\r\n\r\nGET /next";
        for (body, bytes, wanted, left) in [
            (Body::chunked(), &chunked[..], "soups!", 9),
            (Body::of_length(5), b"soupsGET", "soups", 3),
            (Body::of_length(0), b"GET", "", 3),
            (Body::to_end(), b"soups", "soups", 0),
        ] {
            for one in 0..=bytes.len() {
                for other in one..=bytes.len() {
                    let (data, behind, end) = pass(body.clone(), bytes, &[one, other]);
                    assert_eq!(
                        (data.as_slice(), behind, end),
                        (wanted.as_bytes(), left, Ok(true)),
                        "{one} {other}"
                    );
                }
            }
        }
    }

    /// Bodies by chance, in pieces by chance, against what they were made of.
    #[test]
    fn bodies_of_any_form_in_pieces_of_any_size_come_out_as_they_went_in() {
        let mut chance = oorandom::Rand32::new(11);
        for round in 0..2000 {
            let plain: Vec<u8> = (0..chance.rand_range(0..3000)).map(|_| chance.rand_u32() as u8).collect();
            let (body, bytes) = match round % 3 {
                0 => (Body::of_length(plain.len() as u64), plain.clone()),
                1 => (Body::to_end(), plain.clone()),
                _ => {
                    let (mut bytes, mut rest) = (Vec::new(), plain.as_slice());
                    while !rest.is_empty() {
                        let size = chance.rand_range(1..rest.len() as u32 + 1) as usize;
                        bytes.extend(format!("{size:x}{}\r\n", ["", ";a=\"b c\"", ";a"][size % 3]).bytes());
                        bytes.extend_from_slice(&rest[..size]);
                        bytes.extend(b"\r\n");
                        rest = &rest[size..];
                    }
                    bytes.extend(if chance.rand_range(0..2) == 0 {
                        &b"0\r\n\r\n"[..]
                    } else {
                        b"00\r\nT: t\r\n\r\n"
                    });
                    (Body::chunked(), bytes)
                }
            };
            let mut cuts: Vec<_> = (0..chance.rand_range(0..40))
                .map(|_| chance.rand_range(0..bytes.len() as u32 + 1) as usize)
                .collect();
            cuts.sort_unstable();
            assert_eq!(pass(body.clone(), &bytes, &cuts), (plain, 0, Ok(true)), "round {round}");
            // Cut short, it is not whole, unless only the connection's end ends it.
            if round % 3 != 1 && !bytes.is_empty() {
                assert!(pass(body, &bytes[..bytes.len() - 1], &cuts).2 != Ok(true), "round {round}");
            }
        }
    }

    #[test]
    fn what_is_no_body_is_refused_and_nothing_goes_on_for_ever() {
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
            assert!(pass(Body::chunked(), bytes, &[]).2.is_err(), "{}", bytes.escape_ascii());
        }
        let mut body = Body::to_end();
        let piece = vec![0; 1 << 20];
        assert!((0..LONG_MOST >> 20).all(|_| body.step(&piece).is_ok()));
        assert!(body.step(&piece).is_err());
    }
}
