//! HTTP/1.1 in a buffer: finds where messages end, reads their heads, and writes heads.

use std::io::Write;

use appledyke::units::Span;
use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

use super::body::{Body, MAX_CHUNK_LINE_BYTES, MAX_TRAILERS_BYTES};

/// The maximum size in bytes of a head, and of a body that is buffered as a whole.
pub const MAX_HEAD_BYTES: usize = 8192;
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The maximum size in bytes of a body that is streamed: the 32 MB that operators specify, with a margin.
pub const MAX_STREAMED_BODY_BYTES: u64 = 40 << 20;
/// The maximum size in bytes of a message in a buffer, with a margin for chunk framing.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 4096;
/// The maximum number of headers in a message: several times the usual number, and few enough for the stack.
const MAX_HEADERS: usize = 64;

/// Headers that apply to one connection only, or that are generated again.
const HOP_BY_HOP: [&str; 10] = [
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

/// A complete message at the front of a buffer: its head, then its body, both contiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    pub head: usize,
    pub body: usize,
    /// The number of bytes to consume once it has been processed.
    pub end: usize,
    /// The connection may carry another message after it.
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

/// An invalid message, as the status code to send to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageError(pub u16);

const MALFORMED: MessageError = MessageError(400);
const BODY_TOO_LARGE: MessageError = MessageError(413);
const HEAD_TOO_LARGE: MessageError = MessageError(431);

enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

pub fn find_header<'a>(headers: &'a [Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// The value of a header that may occur only once and must be text.
pub fn single_header<'a>(headers: &'a [Header<'a>], name: &str) -> Result<Option<&'a str>, MessageError> {
    let mut found = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    match (found.next(), found.next()) {
        (None, _) => Ok(None),
        (Some(h), None) => std::str::from_utf8(h.value).map(|text| Some(text.trim())).map_err(|_| MALFORMED),
        _ => Err(MALFORMED),
    }
}

fn header_contains(headers: &[Header], name: &str, item: &str) -> bool {
    headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).any(|h| {
        let value = std::str::from_utf8(h.value).unwrap_or("");
        value.split(',').any(|part| part.trim().eq_ignore_ascii_case(item))
    })
}

fn keeps_alive(headers: &[Header], version: Option<u8>) -> bool {
    match version {
        Some(1) => !header_contains(headers, "Connection", "close"),
        _ => header_contains(headers, "Connection", "keep-alive"),
    }
}

/// How the body is framed. Danger: with conflicting lengths one message could smuggle in another.
fn framing(headers: &[Header], without: Framing) -> Result<Framing, MessageError> {
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
        Ok(length) if length <= MAX_STREAMED_BODY_BYTES => Ok(Framing::Length(length)),
        _ => Err(BODY_TOO_LARGE),
    }
}

/// What a buffer holds of a chunked body.
enum Chunked {
    Partial,
    /// More than is buffered as a whole.
    Long,
    /// Where the data of each chunk starts, and its size; and where they end.
    Whole(Vec<(usize, usize)>, usize),
}

/// Parses the chunks from `at` on.
fn chunks(buffer: &[u8], mut at: usize) -> Result<Chunked, MessageError> {
    let (mut found, mut total) = (Vec::new(), 0);
    loop {
        let (line, size) = match httparse::parse_chunk_size(&buffer[at..]).map_err(|_| MALFORMED)? {
            Status::Complete(chunk) => chunk,
            // Danger: an endless size line would be streamed as a long body, and no other endpoint could answer any more.
            Status::Partial if buffer.len() - at > MAX_CHUNK_LINE_BYTES => return Err(MALFORMED),
            Status::Partial => return Ok(Chunked::Partial),
        };
        at += line;
        if size == 0 {
            return match trailers_end(buffer, at) {
                Some(end) => Ok(Chunked::Whole(found, end)),
                None if buffer.len() - at > MAX_TRAILERS_BYTES => Err(MALFORMED),
                None => Ok(Chunked::Partial),
            };
        }
        total += size.min(MAX_STREAMED_BODY_BYTES + 1);
        if total > MAX_STREAMED_BODY_BYTES {
            return Err(BODY_TOO_LARGE);
        }
        if total > MAX_BUFFERED_BODY_BYTES as u64 {
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

/// Finds the end of the trailers, which may be empty, after the last chunk.
fn trailers_end(buffer: &[u8], mut at: usize) -> Option<usize> {
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
pub enum ReadState {
    /// Part of a head.
    PartialHead,
    /// A complete head, and part of a body that is being buffered; `open` if its length is unknown.
    PartialBody {
        open: bool,
    },
    Complete(Frame),
    /// A complete head, in a frame without a body, and the body after it, which is to be streamed.
    Streamed(Frame, Body),
}

/// Finds the end of the body after a head, and makes a chunked body contiguous. With `late`, a body of unknown length is
/// not buffered any longer.
fn body(
    buffer: &mut [u8],
    head: usize,
    framing: Framing,
    ended: bool,
    keep: bool,
    late: bool,
) -> Result<ReadState, MessageError> {
    let open = !matches!(framing, Framing::Length(_));
    let held = MAX_BUFFERED_BODY_BYTES as u64;
    let long = |body| Ok(ReadState::Streamed(Frame { head, body: 0, end: head, keep }, body));
    match framing {
        Framing::Length(length) if length > held => long(Body::of_length(length)),
        Framing::Length(length) if (buffer.len() - head) as u64 >= length => {
            let body = length as usize;
            Ok(ReadState::Complete(Frame { head, body, end: head + body, keep }))
        }
        Framing::Length(_) => Ok(ReadState::PartialBody { open }),
        Framing::UntilClose if ended && buffer.len() <= head + MAX_BUFFERED_BODY_BYTES => {
            Ok(ReadState::Complete(Frame { head, body: buffer.len() - head, end: buffer.len(), keep: false }))
        }
        Framing::UntilClose if late || buffer.len() > head + MAX_BUFFERED_BODY_BYTES => {
            Ok(ReadState::Streamed(Frame { head, body: 0, end: head, keep: false }, Body::until_close()))
        }
        Framing::UntilClose => Ok(ReadState::PartialBody { open }),
        Framing::Chunked => match chunks(buffer, head)? {
            // The framing of small chunks may fill the buffer before their data reaches the limit.
            Chunked::Partial if !late && buffer.len() < MAX_MESSAGE_BYTES => {
                Ok(ReadState::PartialBody { open })
            }
            Chunked::Partial | Chunked::Long => long(Body::chunked()),
            Chunked::Whole(found, end) => {
                let mut body = 0;
                for (at, size) in found {
                    buffer.copy_within(at..at + size, head + body);
                    body += size;
                }
                Ok(ReadState::Complete(Frame { head, body, end, keep }))
            }
        },
    }
}

/// The length of a head that was parsed from a buffer of `bytes` bytes, once it is complete.
fn head_end(parsed: httparse::Result<usize>, bytes: usize) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(Status::Complete(head)) if head <= MAX_HEAD_BYTES => Ok(Some(head)),
        Ok(Status::Partial) if bytes < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HEAD_TOO_LARGE),
        Err(_) => Err(MALFORMED),
    }
}

/// Reads a request's head that is known to be complete.
pub fn with_request<T>(head: &[u8], read: impl FnOnce(&Request) -> T) -> Option<T> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    request.parse(head).ok().filter(Status::is_complete).map(|_| read(&request))
}

/// Reads the first request in the buffer.
pub fn request(buffer: &mut [u8]) -> Result<ReadState, MessageError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let Some(head) = head_end(request.parse(buffer), buffer.len())? else {
        return Ok(ReadState::PartialHead);
    };
    let keep = keeps_alive(request.headers, request.version);
    let framing = framing(request.headers, Framing::Length(0))?;
    body(buffer, head, framing, false, keep, false)
}

/// Whether the client that sent this head can read a chunked body.
pub fn accepts_chunked(head: &[u8]) -> bool {
    with_request(head, |request| request.version == Some(1)).unwrap_or(false)
}

/// Whether the client waits for `100 Continue` before it sends the body of the request with this head.
pub fn expects_continue(buffer: &[u8]) -> bool {
    with_request(buffer, |request| header_contains(request.headers, "Expect", "100-continue"))
        .unwrap_or(false)
}

/// Reads the first response in the buffer, with its status and whether it says that the endpoint rejected the request.
/// With `late`, a response of unknown length has been buffered for long enough and is to be streamed from here on.
pub fn response(
    buffer: &mut Vec<u8>,
    ended: bool,
    late: bool,
) -> Result<(ReadState, u16, bool), MessageError> {
    loop {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        let Some(head) = head_end(response.parse(buffer), buffer.len())? else {
            return Ok((ReadState::PartialHead, 0, false));
        };
        let status = response.code.unwrap_or(0);
        let turned_away = find_header(response.headers, "X-Turned-Away") == Some("1");
        let keep = keeps_alive(response.headers, response.version);
        let without = if matches!(status, 204 | 304) { Framing::Length(0) } else { Framing::UntilClose };
        let framing = framing(response.headers, without)?;
        match status {
            101 => return Err(MALFORMED),
            100..200 => drop(buffer.drain(..head)),
            _ => return Ok((body(buffer, head, framing, ended, keep, late)?, status, turned_away)),
        }
    }
}

/// The headers that are forwarded to the next hop.
fn end_to_end_headers<'a>(headers: &'a [Header<'a>]) -> impl Iterator<Item = &'a Header<'a>> {
    headers.iter().filter(move |h| {
        !HOP_BY_HOP.iter().any(|name| h.name.eq_ignore_ascii_case(name))
            && !header_contains(headers, "Connection", h.name)
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
    out.write_fmt(text).expect("writing to a vector cannot fail");
}

/// Writes the head of a request as it is forwarded to an endpoint, without its last line.
pub fn write_request_head(out: &mut Vec<u8>, request: &Request, body: Length) {
    let (method, path) = (request.method.unwrap_or(""), origin_form(request.path.unwrap_or("")));
    write(out, format_args!("{method} {path} HTTP/1.1\r\n"));
    let passed =
        end_to_end_headers(request.headers).filter(|h| !h.name.eq_ignore_ascii_case("X-Remaining-Ms"));
    write_headers(out, passed);
    if body != Length::Known(0) || method != "GET" {
        write_length(out, body);
    }
}

/// The last line of such a head: the time remaining when the request is sent.
pub fn remaining_time_line(remaining: Span) -> String {
    format!("X-Remaining-Ms: {}\r\n\r\n", remaining.nanos() / 1_000_000)
}

/// Writes the head of an endpoint's response as it is forwarded to a client.
pub fn write_response_head(out: &mut Vec<u8>, head: &[u8], body: Length, keep: bool) {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    if response.parse(head).is_ok() {
        let (status, reason) = (response.code.unwrap_or(502), response.reason.unwrap_or(""));
        write(out, format_args!("HTTP/1.1 {status} {reason}\r\n"));
        write_headers(out, end_to_end_headers(response.headers));
    }
    finish_head(out, body, keep);
}

/// Writes the head of a response by the sidecar itself, without a body.
pub fn write_own_response(out: &mut Vec<u8>, status: u16, retry_after: Option<Span>, keep: bool) {
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

/// How a body that is sent is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Known(u64),
    Chunked,
    /// Delimited by the connection's close.
    UntilClose,
}

/// The bytes to send before and after a piece of a body in this framing, or at the body's end.
pub fn chunk_framing(framing: Length, data: Option<&[u8]>) -> (String, &'static [u8]) {
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
        Length::UntilClose => {}
    }
}

/// The path and query of a request target, which may be in absolute form.
pub fn origin_form(target: &str) -> &str {
    let Some(after) = ["http://", "https://"].iter().find_map(|scheme| target.strip_prefix(scheme)) else {
        return target;
    };
    after.find(['/', '?']).map_or("/", |at| &after[at..])
}

/// The request that opens a watch on changes to the endpoint list after a version.
pub fn watch_request(host: std::net::SocketAddr, since: u64) -> Vec<u8> {
    format!("GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The length of the head of a response that opens a watch, once it is complete.
pub fn watch_response_head(buffer: &[u8]) -> Result<Option<usize>, MessageError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let Some(head) = head_end(response.parse(buffer), buffer.len())? else { return Ok(None) };
    match (response.code, framing(response.headers, Framing::UntilClose)?) {
        (Some(200), Framing::Chunked) => Ok(Some(head)),
        (code, _) => Err(MessageError(code.unwrap_or(0))),
    }
}

/// The first chunk in the buffer, once it is complete: where its data starts, its size, and its end.
pub fn chunk(buffer: &[u8], limit: usize) -> Result<Option<(usize, usize, usize)>, MessageError> {
    let (line, size) = match httparse::parse_chunk_size(buffer).map_err(|_| MALFORMED)? {
        Status::Complete((line, size)) => (line, usize::try_from(size).unwrap_or(usize::MAX)),
        Status::Partial => return Ok(None),
    };
    if size > limit {
        return Err(BODY_TOO_LARGE);
    }
    Ok((buffer.len() >= line + size + 2).then_some((line, size, line + size + 2)))
}

/// Where the data of the first chunk in the buffer starts, whether the chunk is complete or not.
pub fn chunk_data_start(buffer: &[u8]) -> Option<usize> {
    match httparse::parse_chunk_size(buffer) {
        Ok(Status::Complete((line, _))) => Some(line),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Valid messages with random bytes changed, removed and inserted: never a panic, never an offset outside the buffer.
    #[test]
    fn corrupted_messages_never_lead_outside_the_buffer() {
        let valid = [
            &b"POST /order HTTP/1.1\r\nContent-Length: 4\r\n\r\nsoup"[..],
            b"POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nso\r\n2;x\r\nup\r\n0\r\nT: t\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n",
            b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
        ];
        let (mut random, mut complete) = (oorandom::Rand32::new(7), 0);
        for round in 0..40_000 {
            let mut buffer = valid[round % valid.len()].to_vec();
            for _ in 0..random.rand_range(0..4) {
                let at = random.rand_range(0..buffer.len() as u32) as usize;
                match random.rand_range(0..3) {
                    0 => buffer[at] = random.rand_u32() as u8,
                    1 => drop(buffer.remove(at)),
                    _ => buffer.insert(at, b"0f\r\n :"[random.rand_range(0..6) as usize]),
                }
            }
            // The bounds of a chunk must lie within the buffer too.
            if let Ok(Some((data, size, end))) = chunk(&buffer, MAX_BUFFERED_BODY_BYTES) {
                assert!(data + size <= end && end <= buffer.len());
            }
            let found = match round % valid.len() {
                0 | 1 => request(&mut buffer),
                _ => response(&mut buffer, round % 8 < 4, round % 16 < 8).map(|(read, ..)| read),
            };
            if let Ok(ReadState::Complete(frame) | ReadState::Streamed(frame, _)) = found {
                assert!(frame.head + frame.body <= frame.end && frame.end <= buffer.len());
                complete += 1;
            }
        }
        assert!(complete > 10_000, "{complete}");
    }
}
