//! The JSON format of discovery's endpoint lists, and of a stream of such lists.

use std::net::SocketAddr;

use appledyke::EndpointState;
use appledyke::units::Moment;
use serde_json::Value;

/// The version of a list in discovery's format, and whether it is complete.
pub fn version(list: &Value) -> Result<(u64, bool), String> {
    let index = list["index"].as_u64().ok_or("index: missing or not a non-negative integer")?;
    let complete = list["snapshot"].as_bool().ok_or("snapshot: missing or not a boolean")?;
    Ok((index, complete))
}

/// Reads the entries of such a list and passes each one's name, address, zone, cell and kind, state and start to `on_entry`.
pub fn entries(
    list: &Value,
    mut on_entry: impl FnMut(&str, Option<SocketAddr>, (&str, u64, &str), EndpointState, Option<Moment>),
) -> Result<(), String> {
    for entry in list["endpoints"].as_array().ok_or("endpoints: missing or not an array")? {
        let name = entry["name"].as_str().ok_or("endpoints.name: missing or not a string")?;
        let invalid = |key: &str| format!("endpoints.{key}: invalid value {} of {name}", entry[key]);
        let state = match entry["status"].as_str() {
            Some("up") => EndpointState::Ready,
            Some("draining") => EndpointState::Draining,
            Some("removed") => EndpointState::Gone,
            _ => return Err(invalid("status")),
        };
        let address = match &entry["address"] {
            Value::Null if state == EndpointState::Gone => None,
            at => Some(at.as_str().and_then(|at| at.parse().ok()).ok_or_else(|| invalid("address"))?),
        };
        let since = match &entry["since_ms"] {
            Value::Null => 0,
            since => since.as_u64().ok_or_else(|| invalid("since_ms"))?,
        };
        let text = |key: &str| entry[key].as_str().unwrap_or("");
        let locality = (text("zone"), entry["group"].as_u64().unwrap_or(0), text("type"));
        let started = (since > 0).then(|| Moment::from_nanos(since.saturating_mul(1_000_000)));
        on_entry(name, address, locality, state, started);
    }
    Ok(())
}

/// The status that an entry has for a state.
pub fn status_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "up",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "removed",
    }
}

/// Finds where the lists of a stream end, independent of line breaks: counts braces outside of strings and looks at
/// each byte once.
#[derive(Default)]
pub struct ListScanner {
    pub scanned: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ListScanner {
    /// The number of bytes at the start of the buffer that hold complete lists. Bytes already scanned are skipped.
    pub fn complete_len(&mut self, buffer: &[u8]) -> usize {
        let mut complete_len = 0;
        for (at, byte) in buffer.iter().enumerate().skip(self.scanned) {
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' => self.escaped = self.in_string,
                b'"' => self.in_string = !self.in_string,
                b'{' if !self.in_string => self.depth += 1,
                b'}' if !self.in_string => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        complete_len = at + 1;
                    }
                }
                _ => {}
            }
        }
        self.scanned = buffer.len() - complete_len;
        complete_len
    }
}

/// The complete entries in a truncated list that say that an endpoint is draining or removed.
pub fn salvage(part: &[u8]) -> Vec<Value> {
    let starts = part.iter().enumerate().filter(|(_, byte)| **byte == b'{').map(|(at, _)| at);
    let entries = starts.filter_map(|at| {
        let entry = serde_json::Deserializer::from_slice(&part[at..]).into_iter::<Value>().next();
        entry?.ok().filter(|entry| matches!(entry["status"].as_str(), Some("draining" | "removed")))
    });
    entries.collect()
}
