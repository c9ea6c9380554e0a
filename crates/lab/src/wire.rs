//! HTTP/1.1 on one connection, as far as clients and endpoints of the laboratory need it.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// Headers of a message that are looked at; nothing here sends more.
const HEADERS_MOST: usize = 32;
/// Bytes of a message at the most, so that a wrong length takes no memory.
const MESSAGE_MOST: usize = 1 << 20;

pub struct Wire {
    stream: TcpStream,
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// The other side has ended, or the connection broke.
    pub over: bool,
}

/// A message that has come whole: where its body is, and where it ends.
pub struct Whole {
    /// A response's status, or 0.
    pub status: u16,
    pub path: String,
    pub id: String,
    pub remaining_ms: Option<u64>,
    pub come_back_secs: Option<f64>,
    pub close: bool,
    pub body: (usize, usize),
}

impl Wire {
    pub fn open(to: SocketAddr, registry: &Registry, token: Token) -> std::io::Result<Wire> {
        Wire::take(TcpStream::connect(to)?, registry, token)
    }

    pub fn take(mut stream: TcpStream, registry: &Registry, token: Token) -> std::io::Result<Wire> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = stream.set_nodelay(true);
        Ok(Wire { stream, input: Vec::new(), output: Vec::new(), over: false })
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.flush();
    }

    /// Writes what the socket takes. One that is not up yet, or is full, tells by an event when it does.
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
        let mut piece = [0; 4096];
        while !self.over && self.input.len() < MESSAGE_MOST {
            match self.stream.read(&mut piece) {
                Ok(0) => self.over = true,
                Ok(n) => self.input.extend_from_slice(&piece[..n]),
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

/// The first message in a buffer, if it is whole. `Err` is one that cannot be read.
pub fn message(input: &[u8], response: bool) -> Result<Option<Whole>, String> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
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
        Some(length) => length.parse().map_err(|_| "a length that is no number".to_string())?,
    };
    if length > MESSAGE_MOST {
        return Err("a body that is too long".to_string());
    }
    let whole = Whole {
        status,
        path,
        id: text("X-Txn").unwrap_or("").to_string(),
        remaining_ms: text("X-Remaining-Ms").and_then(|ms| ms.parse().ok()),
        come_back_secs: text("Retry-After").and_then(|secs| secs.parse().ok()),
        close: text("Connection").is_some_and(|said| said.eq_ignore_ascii_case("close")),
        body: (head, head + length),
    };
    Ok((input.len() >= whole.body.1).then_some(whole))
}

/// A request of a method, as clients and endpoints send it to a sidecar.
pub fn request(method: &str, reads: bool, id: u64, key: u64, remaining_ms: u64) -> Vec<u8> {
    let (verb, mark) = match reads {
        true => ("GET", String::new()),
        false => ("POST", format!("Idempotency-Key: {key:016x}\r\nContent-Length: 0\r\n")),
    };
    format!(
        "{verb} /{method} HTTP/1.1\r\nHost: lab\r\nX-Txn: {id:016x}\r\nX-Lane: {method}\r\n\
         X-Remaining-Ms: {remaining_ms}\r\n{mark}\r\n"
    )
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_whole_only_with_its_last_byte() {
        let text = b"HTTP/1.1 503 Busy\r\nRetry-After: 0.25\r\nContent-Length: 3\r\n\r\nabcHTTP";
        for cut in 0..text.len() - 4 {
            assert!(message(&text[..cut], true).unwrap().is_none(), "{cut}");
        }
        let whole = message(text, true).unwrap().unwrap();
        assert_eq!((whole.status, whole.come_back_secs), (503, Some(0.25)));
        assert_eq!(&text[whole.body.0..whole.body.1], b"abc");
        let text = request("view", true, 7, 7, 100);
        let whole = message(&text, false).unwrap().unwrap();
        assert_eq!(
            (&whole.path[..], &whole.id[..], whole.remaining_ms),
            ("/view", "0000000000000007", Some(100))
        );
        assert!(message(b"\0\0", true).is_err());
        assert!(message(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", true).is_err());
    }
}
