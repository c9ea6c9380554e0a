//! One call to service discovery, and the watch that it becomes: what has been received and how it is cut into lists.

use appledyke::units::Moment;
use serde_json::Value;

use super::format::{ListScanner, entries, version};
use crate::net::connection::Connection;
use crate::net::http;

/// The maximum size of a list in bytes: enough for a complete list of many thousand endpoints.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// A call to the service, and the watch that it becomes.
pub struct Watch {
    pub connection: Connection,
    /// When the call was started.
    pub since: Moment,
    pub up: bool,
    pub head_read: bool,
    /// Any chunk has been received; and a complete list or heartbeat has.
    pub any_received: bool,
    pub received: bool,
    /// The service ended it without a list: by another response, or by a reset.
    pub turned_away: bool,
    /// The received data that is not a complete list yet, and the scanner that finds where a list ends in it.
    pub text: Vec<u8>,
    pub scanner: ListScanner,
    /// Since when part of a list has been buffered.
    pub partial_since: Option<Moment>,
}

impl Watch {
    /// A call that was started now on this connection.
    pub fn new(connection: Connection, since: Moment) -> Watch {
        Watch {
            connection,
            since,
            up: false,
            head_read: false,
            any_received: false,
            received: false,
            turned_away: false,
            text: Vec::new(),
            scanner: ListScanner::default(),
            partial_since: None,
        }
    }

    /// Whether part of a list has been received.
    pub fn partial(&self) -> bool {
        !self.text.is_empty() || self.head_read && !self.connection.input.is_empty()
    }

    /// What has been received of an incomplete list.
    pub fn partial_list(&self) -> Option<Vec<u8>> {
        let input = if self.head_read { &self.connection.input[..] } else { &[] };
        // Danger: the size line of an incomplete chunk would corrupt the entry that it splits.
        let line = http::chunk_data_start(input).unwrap_or(0);
        self.partial().then(|| [&self.text[..], &input[line..]].concat())
    }

    /// The first list of a call that has sent none yet, and whether it is complete; `None` if more data is needed.
    pub fn first_list(&mut self) -> Result<Option<(bool, Value)>, String> {
        let broken = |e: std::io::Error| e.to_string();
        self.up = self.up || self.connection.is_up().map_err(broken)?;
        if !self.up {
            return Ok(None);
        }
        self.connection.flush().map_err(broken)?;
        let ended =
            self.connection.fill(MAX_LIST_BYTES + http::MAX_HEAD_BYTES).is_err() || self.connection.ended;
        if !self.head_read {
            match http::watch_response_head(&self.connection.input) {
                Ok(Some(head)) => self.connection.consume(head),
                Ok(None) if !ended => return Ok(None),
                _ => return Err("no list".to_string()),
            }
            self.head_read = true;
        }
        let (_, chunk_error) = self.take_chunks();
        let complete_len = self.scanner.complete_len(&self.text);
        let first =
            serde_json::Deserializer::from_slice(&self.text[..complete_len]).into_iter::<Value>().next();
        match first {
            Some(list) => {
                let list = list.map_err(|e| format!("bad list: {e}"))?;
                let (_, complete) = version(&list)?;
                entries(&list, |_, _, _, _, _| {})?;
                Ok(Some((complete, list)))
            }
            None if ended || chunk_error.is_some() => Err("no list".to_string()),
            None => Ok(None),
        }
    }

    /// Moves the data of complete chunks to `text`. Returns whether there was any, and what ends or breaks the watch
    /// after it.
    pub fn take_chunks(&mut self) -> (bool, Option<&'static str>) {
        let (input, mut done) = (&self.connection.input, 0);
        let chunk_error = loop {
            match http::chunk(&input[done..], MAX_LIST_BYTES) {
                Ok(Some((_, 0, _))) => break Some("the service ended the watch"),
                Ok(Some((data, size, end))) => {
                    self.text.extend_from_slice(&input[done + data..done + data + size]);
                    done += end;
                }
                Ok(None) => break None,
                Err(_) => break Some("invalid chunk"),
            }
        };
        self.connection.consume(done);
        (done > 0, chunk_error)
    }

    /// Drops the processed lists and heartbeats.
    pub fn drop_processed(&mut self, complete_len: usize) -> Result<(), String> {
        self.text.drain(..complete_len);
        if self.text.trim_ascii_start().is_empty() {
            (self.text, self.scanner.scanned) = (Vec::new(), 0);
        }
        match self.text.trim_ascii_start().first() {
            Some(first) if *first != b'{' => Err("bad list: not a JSON object".to_string()),
            _ if self.text.len() > MAX_LIST_BYTES => Err("a list is too long".to_string()),
            _ => Ok(()),
        }
    }
}
