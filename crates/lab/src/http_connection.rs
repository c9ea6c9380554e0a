//! A minimal HTTP/1.1 connection for the emulated clients and endpoints.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// Most headers parsed in a message; nothing in this crate sends more.
const MAX_HEADERS: usize = 32;
/// Most bytes of a message, so that a wrong Content-Length cannot exhaust memory.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

pub struct HttpConnection {
    stream: TcpStream,
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// The peer closed the connection, or it broke.
    pub over: bool,
}

/// A complete message; `body` is the byte range of its body in the input buffer.
pub struct Message {
    /// The status of a response; 0 for a request.
    pub status: u16,
    pub path: String,
    pub id: String,
    pub remaining_ms: Option<u64>,
    pub retry_after_secs: Option<f64>,
    pub close: bool,
    pub body: (usize, usize),
}

impl HttpConnection {
    pub fn open(to: SocketAddr, registry: &Registry, token: Token) -> std::io::Result<HttpConnection> {
        HttpConnection::from_stream(TcpStream::connect(to)?, registry, token)
    }

    pub fn from_stream(
        mut stream: TcpStream,
        registry: &Registry,
        token: Token,
    ) -> std::io::Result<HttpConnection> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = stream.set_nodelay(true);
        Ok(HttpConnection { stream, input: Vec::new(), output: Vec::new(), over: false })
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.flush();
    }

    /// Writes what the socket accepts. A socket that is still connecting or full raises an event once it is writable.
    pub fn flush(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => self.over = true,
                Ok(n) => {
                    self.output.drain(..n);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {}
                Err(_) => self.over = true,
            }
            return;
        }
    }

    pub fn fill(&mut self) {
        let mut chunk = [0; 4096];
        while !self.over && self.input.len() < MAX_MESSAGE_BYTES {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.over = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(_) => self.over = true,
            }
        }
    }

    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.stream);
    }
}

/// Parses the first message in a buffer; `None` if it is incomplete.
pub fn parse_message(input: &[u8], response: bool) -> Result<Option<Message>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (head, status, path, headers) = if response {
        let mut read = httparse::Response::new(&mut headers);
        match read.parse(input).map_err(|e| e.to_string())? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(head) => (head, read.code.unwrap_or(0), String::new(), read.headers),
        }
    } else {
        let mut read = httparse::Request::new(&mut headers);
        match read.parse(input).map_err(|e| e.to_string())? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(head) => (head, 0, read.path.unwrap_or("").to_string(), read.headers),
        }
    };
    let text = |name: &str| {
        let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let length: usize = match text("Content-Length") {
        None => 0,
        Some(length) => length.parse().map_err(|_| "Content-Length is not a number".to_string())?,
    };
    if length > MAX_MESSAGE_BYTES {
        return Err("message body is too long".to_string());
    }
    let message = Message {
        status,
        path,
        id: text("X-Txn").unwrap_or("").to_string(),
        remaining_ms: text("X-Remaining-Ms").and_then(|ms| ms.parse().ok()),
        retry_after_secs: text("Retry-After").and_then(|secs| secs.parse().ok()),
        close: text("Connection").is_some_and(|said| said.eq_ignore_ascii_case("close")),
        body: (head, head + length),
    };
    Ok((input.len() >= message.body.1).then_some(message))
}

/// Encodes a request for a method, as clients and endpoints send it to a sidecar.
pub fn request(method: &str, read_only: bool, id: u64, key: u64, remaining_ms: u64) -> Vec<u8> {
    let (verb, key_headers) = match read_only {
        true => ("GET", String::new()),
        false => ("POST", format!("Idempotency-Key: {key:016x}\r\nContent-Length: 0\r\n")),
    };
    format!(
        "{verb} /{method} HTTP/1.1\r\nHost: lab\r\nX-Txn: {id:016x}\r\nX-Lane: {method}\r\n\
         X-Remaining-Ms: {remaining_ms}\r\n{key_headers}\r\n"
    )
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn message_is_complete_only_with_its_last_byte() {
        let text = b"HTTP/1.1 503 Busy\r\nRetry-After: 0.25\r\nContent-Length: 3\r\n\r\nabcHTTP";
        for cut in 0..text.len() - 4 {
            assert!(parse_message(&text[..cut], true).unwrap().is_none(), "{cut}");
        }
        let message = parse_message(text, true).unwrap().unwrap();
        assert_eq!((message.status, message.retry_after_secs), (503, Some(0.25)));
        assert_eq!(&text[message.body.0..message.body.1], b"abc");
        let text = request("view", true, 7, 7, 100);
        let message = parse_message(&text, false).unwrap().unwrap();
        assert_eq!(
            (&message.path[..], &message.id[..], message.remaining_ms),
            ("/view", "0000000000000007", Some(100))
        );
        assert!(parse_message(b"\0\0", true).is_err());
        assert!(parse_message(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", true).is_err());
    }
}
