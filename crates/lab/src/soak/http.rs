//! The part of HTTP/1.1 that the fakes need: messages with a Content-Length, read from a blocking stream.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A message that was read completely.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    pub head: String,
    pub body: String,
    /// When its first and its last byte arrived.
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
}

/// Why no message could be read.
#[derive(Debug, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection closed, before the message or after part of it.
    Closed { partial: bool },
    /// Nothing more arrived within the stream's read timeout.
    TimedOut,
}

/// A stream with a buffer of bytes that were read ahead.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Whether the buffer holds bytes of a message that has not been returned yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// Fails if the connection closed or the read timed out.
    pub fn message(&mut self) -> Result<Message, NoMessage> {
        let mut first_byte_at = self.has_buffered_bytes().then(Instant::now);
        loop {
            if let Some((head, body, size)) = parse_message(&self.buffer) {
                self.buffer.drain(..size);
                let now = Instant::now();
                return Ok(Message {
                    head,
                    body,
                    first_byte_at: first_byte_at.unwrap_or(now),
                    last_byte_at: now,
                });
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(NoMessage::Closed { partial: first_byte_at.is_some() }),
                Ok(n) => {
                    first_byte_at.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&bytes[..n]);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(NoMessage::TimedOut);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(NoMessage::Closed { partial: first_byte_at.is_some() }),
            }
        }
    }
}

/// The head, body and size of the first message in the buffer, if it is complete.
fn parse_message(buffer: &[u8]) -> Option<(String, String, usize)> {
    let head_end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
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

/// The status code in the head of a response.
pub fn status(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}
