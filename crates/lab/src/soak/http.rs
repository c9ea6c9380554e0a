//! HTTP/1.1 as far as the fakes need it: messages with a length, read from a blocking stream.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A message that was read whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    pub head: String,
    pub body: String,
    /// When its first byte was there, and its last.
    pub begun: Instant,
    pub whole: Instant,
}

/// Why there is no message.
#[derive(Debug, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection ended before any byte of it, or within it.
    Closed { partial: bool },
    /// Nothing more came in the stream's read timeout.
    TimedOut,
}

/// A stream with what was read ahead.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads messages from this stream.
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Whether bytes stand there that belong to no message yet.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next message.
    ///
    /// # Errors
    /// Why there is none.
    pub fn message(&mut self) -> Result<Message, NoMessage> {
        let mut begun = self.has_more().then(Instant::now);
        loop {
            if let Some((head, body, size)) = whole(&self.buffer) {
                self.buffer.drain(..size);
                let now = Instant::now();
                return Ok(Message { head, body, begun: begun.unwrap_or(now), whole: now });
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(NoMessage::Closed { partial: begun.is_some() }),
                Ok(n) => {
                    begun.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&bytes[..n]);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(NoMessage::TimedOut);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(NoMessage::Closed { partial: begun.is_some() }),
            }
        }
    }
}

/// The first message's head and body, and its size, if all of it is there.
fn whole(buffer: &[u8]) -> Option<(String, String, usize)> {
    let head_end = buffer.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let body = buffer.get(head_end..head_end + length)?;
    Some((head, String::from_utf8_lossy(body).into_owned(), head_end + length))
}

/// The value of a header, by its name in lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        (key.to_ascii_lowercase() == name).then(|| value.trim())
    })
}

/// The status of an answer's head.
pub fn status(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}
