//! HTTP/1.1 in a buffer: where a message ends, what its head says, and the heads that are written.

use std::io::Write;

use appledyke::units::Span;
use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

use super::body::{Body, LINE_MOST, TRAILERS_MOST};

/// Bytes that a head may have, and a body that is held whole.
pub const HEAD_MOST: usize = 8192;
pub const BODY_MOST: usize = 64 * 1024;
/// Bytes that a body may have that passes through: what operators say, 32 MB, and some more.
pub const LONG_MOST: u64 = 40 << 20;
/// Bytes that a message may take in a buffer: chunks have frames of their own.
pub const MESSAGE_MOST: usize = HEAD_MOST + BODY_MOST + 4096;
/// Headers that a message may have: several times what is usual, and few enough for the stack.
const HEADERS_MOST: usize = 64;

/// Headers that concern one connection only, or that are written anew.
const OWN: [&str; 10] = [
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
];

/// A whole message at the front of a buffer: its head, then its body, both contiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    pub head: usize,
    pub body: usize,
    /// What to consume once it is done with.
    pub end: usize,
    /// The connection may carry another after it.
    pub keep: bool,
}

impl Frame {
    pub fn head_in(self, buffer: &[u8]) -> &[u8] {
        &buffer[..self.head]
    }

    pub fn body_in(self, buffer: &[u8]) -> &[u8] {
        &buffer[self.head..self.head + self.body]
    }
}

/// What is wrong with a message, as the status that tells a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16);

const MALFORMED: Bad = Bad(400);
const BODY_TOO_LARGE: Bad = Bad(413);
const HEAD_TOO_LARGE: Bad = Bad(431);

enum Framing {
    Length(u64),
    Chunked,
    ToEnd,
}

pub fn find<'a>(headers: &'a [Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// What a header says that a message may have once, and as text.
pub fn only<'a>(headers: &'a [Header<'a>], name: &str) -> Result<Option<&'a str>, Bad> {
    let mut found = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    match (found.next(), found.next()) {
        (None, _) => Ok(None),
        (Some(h), None) => std::str::from_utf8(h.value).map(|text| Some(text.trim())).map_err(|_| MALFORMED),
        _ => Err(MALFORMED),
    }
}

fn lists(headers: &[Header], name: &str, item: &str) -> bool {
    headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).any(|h| {
        let value = std::str::from_utf8(h.value).unwrap_or("");
        value.split(',').any(|part| part.trim().eq_ignore_ascii_case(item))
    })
}

fn keeps(headers: &[Header], version: Option<u8>) -> bool {
    match version {
        Some(1) => !lists(headers, "Connection", "close"),
        _ => lists(headers, "Connection", "keep-alive"),
    }
}

/// How the body is framed. Danger: two lengths that differ would let one message hide another.
fn framing(headers: &[Header], without: Framing) -> Result<Framing, Bad> {
    let mut lengths = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("Content-Length"));
    let mut encodings = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("Transfer-Encoding"));
    let (length, encoding) = (lengths.next(), encodings.next());
    if lengths.next().is_some() || encodings.next().is_some() || (length.is_some() && encoding.is_some()) {
        return Err(MALFORMED);
    }
    if let Some(encoding) = encoding {
        let chunked = encoding.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
        return if chunked { Ok(Framing::Chunked) } else { Err(MALFORMED) };
    }
    let Some(length) = length else { return Ok(without) };
    let digits = length.value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(MALFORMED);
    }
    match std::str::from_utf8(digits).unwrap_or("").parse() {
        Ok(length) if length <= LONG_MOST => Ok(Framing::Length(length)),
        _ => Err(BODY_TOO_LARGE),
    }
}

/// What has come of a chunked body.
enum Chunked {
    Partial,
    /// More than is held whole.
    Long,
    /// Where the data of each chunk starts, and its size; and where they end.
    Whole(Vec<(usize, usize)>, usize),
}

/// The chunks from `at` on.
fn chunks(buffer: &[u8], mut at: usize) -> Result<Chunked, Bad> {
    let (mut found, mut total) = (Vec::new(), 0);
    loop {
        let (line, size) = match httparse::parse_chunk_size(&buffer[at..]).map_err(|_| MALFORMED)? {
            Status::Complete(chunk) => chunk,
            // Danger: what never ends would pass for long, and no other endpoint could answer any more.
            Status::Partial if buffer.len() - at > LINE_MOST => return Err(MALFORMED),
            Status::Partial => return Ok(Chunked::Partial),
        };
        at += line;
        if size == 0 {
            return match trailer_end(buffer, at) {
                Some(end) => Ok(Chunked::Whole(found, end)),
                None if buffer.len() - at > TRAILERS_MOST => Err(MALFORMED),
                None => Ok(Chunked::Partial),
            };
        }
        total += size.min(LONG_MOST + 1);
        if total > LONG_MOST {
            return Err(BODY_TOO_LARGE);
        }
        if total > BODY_MOST as u64 {
            return Ok(Chunked::Long);
        }
        let size = size as usize;
        match buffer.get(at + size..at + size + 2) {
            None => return Ok(Chunked::Partial),
            Some(b"\r\n") => found.push((at, size)),
            Some(_) => return Err(MALFORMED),
        }
        at += size + 2;
    }
}

/// Where the trailers end that may follow the last chunk.
fn trailer_end(buffer: &[u8], mut at: usize) -> Option<usize> {
    loop {
        let line = buffer[at..].iter().position(|byte| *byte == b'\n')?;
        let empty = buffer[at..at + line].trim_ascii().is_empty();
        at += line + 1;
        if empty {
            return Some(at);
        }
    }
}

/// What a buffer holds of a message.
pub enum Read {
    /// Part of a head.
    Head,
    /// A whole head, and part of a body that will be held; its length is known or not.
    Body {
        open: bool,
    },
    Whole(Frame),
    /// A whole head, in a frame without a body, and what stands behind it: it is to pass through.
    Long(Frame, Body),
}

/// Finds the end of the body behind a head, and makes a chunked body contiguous. `late`: one of unknown length is
/// not to be held any longer.
fn body(
    buffer: &mut [u8],
    head: usize,
    framing: Framing,
    ended: bool,
    keep: bool,
    late: bool,
) -> Result<Read, Bad> {
    let open = !matches!(framing, Framing::Length(_));
    let held = BODY_MOST as u64;
    let long = |body| Ok(Read::Long(Frame { head, body: 0, end: head, keep }, body));
    match framing {
        Framing::Length(length) if length > held => long(Body::of_length(length)),
        Framing::Length(length) if (buffer.len() - head) as u64 >= length => {
            let body = length as usize;
            Ok(Read::Whole(Frame { head, body, end: head + body, keep }))
        }
        Framing::Length(_) => Ok(Read::Body { open }),
        Framing::ToEnd if ended && buffer.len() <= head + BODY_MOST => {
            Ok(Read::Whole(Frame { head, body: buffer.len() - head, end: buffer.len(), keep: false }))
        }
        Framing::ToEnd if late || buffer.len() > head + BODY_MOST => {
            Ok(Read::Long(Frame { head, body: 0, end: head, keep: false }, Body::to_end()))
        }
        Framing::ToEnd => Ok(Read::Body { open }),
        Framing::Chunked => match chunks(buffer, head)? {
            // Chunks have frames: small ones may fill the buffer before their data does.
            Chunked::Partial if !late && buffer.len() < MESSAGE_MOST => Ok(Read::Body { open }),
            Chunked::Partial | Chunked::Long => long(Body::chunked()),
            Chunked::Whole(found, end) => {
                let mut body = 0;
                for (at, size) in found {
                    buffer.copy_within(at..at + size, head + body);
                    body += size;
                }
                Ok(Read::Whole(Frame { head, body, end, keep }))
            }
        },
    }
}

/// Where the head ends that was looked for in so many bytes, once it is whole.
fn head_end(parsed: httparse::Result<usize>, bytes: usize) -> Result<Option<usize>, Bad> {
    match parsed {
        Ok(Status::Complete(head)) if head <= HEAD_MOST => Ok(Some(head)),
        Ok(Status::Partial) if bytes < HEAD_MOST => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HEAD_TOO_LARGE),
        Err(_) => Err(MALFORMED),
    }
}

/// Reads the head of a request that is known to be whole.
pub fn with_request<T>(head: &[u8], read: impl FnOnce(&Request) -> T) -> Option<T> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut request = Request::new(&mut headers);
    request.parse(head).ok().filter(Status::is_complete).map(|_| read(&request))
}

/// The first request in the buffer.
pub fn request(buffer: &mut [u8]) -> Result<Read, Bad> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut request = Request::new(&mut headers);
    let Some(head) = head_end(request.parse(buffer), buffer.len())? else { return Ok(Read::Head) };
    let keep = keeps(request.headers, request.version);
    let framing = framing(request.headers, Framing::Length(0))?;
    body(buffer, head, framing, false, keep, false)
}

/// Whether the client that sent this head can read chunks.
pub fn takes_chunks(head: &[u8]) -> bool {
    with_request(head, |request| request.version == Some(1)).unwrap_or(false)
}

/// Whether the client waits for leave to send the body of the request whose head has come.
pub fn expects_leave(buffer: &[u8]) -> bool {
    with_request(buffer, |request| lists(request.headers, "Expect", "100-continue")).unwrap_or(false)
}

/// The first answer in the buffer: its status, and whether it says that the request was turned away. `late`: one of
/// unknown length has been held for long, and is to pass through from here.
pub fn answer(buffer: &mut Vec<u8>, ended: bool, late: bool) -> Result<(Read, u16, bool), Bad> {
    loop {
        let mut headers = [EMPTY_HEADER; HEADERS_MOST];
        let mut response = Response::new(&mut headers);
        let Some(head) = head_end(response.parse(buffer), buffer.len())? else {
            return Ok((Read::Head, 0, false));
        };
        let status = response.code.unwrap_or(0);
        let turned_away = find(response.headers, "X-Turned-Away") == Some("1");
        let keep = keeps(response.headers, response.version);
        let without = if matches!(status, 204 | 304) { Framing::Length(0) } else { Framing::ToEnd };
        let framing = framing(response.headers, without)?;
        match status {
            101 => return Err(MALFORMED),
            100..200 => drop(buffer.drain(..head)),
            _ => return Ok((body(buffer, head, framing, ended, keep, late)?, status, turned_away)),
        }
    }
}

/// The headers that go on to the next hop.
fn passed_on<'a>(headers: &'a [Header<'a>]) -> impl Iterator<Item = &'a Header<'a>> {
    headers.iter().filter(move |h| {
        !OWN.iter().any(|own| h.name.eq_ignore_ascii_case(own)) && !lists(headers, "Connection", h.name)
    })
}

fn write_headers<'a>(out: &mut Vec<u8>, headers: impl Iterator<Item = &'a Header<'a>>) {
    for header in headers {
        for part in [header.name.as_bytes(), b": ", header.value, b"\r\n"] {
            out.extend_from_slice(part);
        }
    }
}

fn write(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    out.write_fmt(text).expect("a vector takes all");
}

/// The head of a request as it goes on to an endpoint, but for its last line.
pub fn forwarded_head(out: &mut Vec<u8>, request: &Request, body: Length) {
    let (method, path) = (request.method.unwrap_or(""), origin_form(request.path.unwrap_or("")));
    write(out, format_args!("{method} {path} HTTP/1.1\r\n"));
    let passed = passed_on(request.headers).filter(|h| !h.name.eq_ignore_ascii_case("X-Remaining-Ms"));
    write_headers(out, passed);
    if body != Length::Known(0) || method != "GET" {
        write_length(out, body);
    }
}

/// The last line of such a head: the time that is left as it is written.
pub fn last_line(left: Span) -> String {
    format!("X-Remaining-Ms: {}\r\n\r\n", left.nanos() / 1_000_000)
}

/// The head of an endpoint's answer as it goes on to a client.
pub fn relayed_head(out: &mut Vec<u8>, head: &[u8], body: Length, keep: bool) {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut response = Response::new(&mut headers);
    if response.parse(head).is_ok() {
        let (status, reason) = (response.code.unwrap_or(502), response.reason.unwrap_or(""));
        write(out, format_args!("HTTP/1.1 {status} {reason}\r\n"));
        write_headers(out, passed_on(response.headers));
    }
    finish_head(out, body, keep);
}

/// An answer of our own.
pub fn own_answer(out: &mut Vec<u8>, status: u16, retry_after: Option<Span>, keep: bool) {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "",
    };
    write(out, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    if let Some(wait) = retry_after {
        write(out, format_args!("Retry-After: {:.3}\r\n", wait.secs()));
    }
    finish_head(out, Length::Known(0), keep);
}

fn finish_head(out: &mut Vec<u8>, body: Length, keep: bool) {
    write_length(out, body);
    out.extend_from_slice(if keep { b"\r\n" } else { b"Connection: close\r\n\r\n" });
}

/// How the body is framed that goes out behind a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Known(u64),
    Chunked,
    /// The connection's end ends it.
    ToEnd,
}

/// What stands before and behind a piece of a body in this framing, or at its end.
pub fn chunk_frame(framing: Length, data: Option<&[u8]>) -> (String, &'static [u8]) {
    match (framing, data) {
        (Length::Chunked, Some(data)) => (format!("{:x}\r\n", data.len()), b"\r\n"),
        (Length::Chunked, None) => ("0\r\n\r\n".to_string(), b""),
        _ => (String::new(), b""),
    }
}

fn write_length(out: &mut Vec<u8>, body: Length) {
    match body {
        Length::Known(length) => write(out, format_args!("Content-Length: {length}\r\n")),
        Length::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Length::ToEnd => {}
    }
}

/// The path and query of a target that may name the host as well.
pub fn origin_form(target: &str) -> &str {
    let Some(behind) = ["http://", "https://"].iter().find_map(|scheme| target.strip_prefix(scheme)) else {
        return target;
    };
    behind.find(['/', '?']).map_or("/", |at| &behind[at..])
}

/// The call that opens a watch on the list's changes after a version.
pub fn watch_call(host: std::net::SocketAddr, since: u64) -> Vec<u8> {
    format!("GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The head of a watch's answer: how long it is, if it is one.
pub fn watch_head(buffer: &[u8]) -> Result<Option<usize>, Bad> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut response = Response::new(&mut headers);
    let Some(head) = head_end(response.parse(buffer), buffer.len())? else { return Ok(None) };
    match (response.code, framing(response.headers, Framing::ToEnd)?) {
        (Some(200), Framing::Chunked) => Ok(Some(head)),
        (code, _) => Err(Bad(code.unwrap_or(0))),
    }
}

/// The first chunk in the buffer, once all of it has come: where its data starts, its size, and its end.
pub fn chunk(buffer: &[u8], most: usize) -> Result<Option<(usize, usize, usize)>, Bad> {
    let (line, size) = match httparse::parse_chunk_size(buffer).map_err(|_| MALFORMED)? {
        Status::Complete((line, size)) => (line, usize::try_from(size).unwrap_or(usize::MAX)),
        Status::Partial => return Ok(None),
    };
    if size > most {
        return Err(BODY_TOO_LARGE);
    }
    Ok((buffer.len() >= line + size + 2).then_some((line, size, line + size + 2)))
}

/// Where the data of the chunk starts that stands first in the buffer, whole or not.
pub fn chunk_line(buffer: &[u8]) -> Option<usize> {
    match httparse::parse_chunk_size(buffer) {
        Ok(Status::Complete((line, _))) => Some(line),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Good messages with bytes changed, cut out and put in by chance: never a panic, never a place outside.
    #[test]
    fn no_bytes_lead_outside_the_buffer() {
        let good = [
            &b"POST /order HTTP/1.1\r\nContent-Length: 4\r\n\r\nsoup"[..],
            b"POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nso\r\n2;x\r\nup\r\n0\r\nT: t\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n",
            b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
        ];
        let (mut chance, mut whole) = (oorandom::Rand32::new(7), 0);
        for round in 0..40_000 {
            let mut buffer = good[round % good.len()].to_vec();
            for _ in 0..chance.rand_range(0..4) {
                let at = chance.rand_range(0..buffer.len() as u32) as usize;
                match chance.rand_range(0..3) {
                    0 => buffer[at] = chance.rand_u32() as u8,
                    1 => drop(buffer.remove(at)),
                    _ => buffer.insert(at, b"0f\r\n :"[chance.rand_range(0..6) as usize]),
                }
            }
            // What a chunk says of itself must lie in the buffer too.
            if let Ok(Some((data, size, end))) = chunk(&buffer, BODY_MOST) {
                assert!(data + size <= end && end <= buffer.len());
            }
            let found = match round % good.len() {
                0 | 1 => request(&mut buffer),
                _ => answer(&mut buffer, round % 8 < 4, round % 16 < 8).map(|(read, ..)| read),
            };
            if let Ok(Read::Whole(frame) | Read::Long(frame, _)) = found {
                assert!(frame.head + frame.body <= frame.end && frame.end <= buffer.len());
                whole += 1;
            }
        }
        assert!(whole > 10_000, "{whole}");
    }
}
