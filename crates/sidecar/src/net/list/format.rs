//! The form of a list of endpoints as discovery writes it, and of a stream of such lists.

use std::net::SocketAddr;

use appledyke::EndpointState;
use appledyke::units::Moment;
use serde_json::Value;

/// The version of a list in the service's form, and whether it is complete.
pub fn version(list: &Value) -> Result<(u64, bool), String> {
    let index = list["index"].as_u64().ok_or("index: missing, or no whole number")?;
    let complete = list["snapshot"].as_bool().ok_or("snapshot: missing, or neither true nor false")?;
    Ok((index, complete))
}

/// Reads the entries of such a list, and tells of each its name, address, zone, cell and kind, standing and start.
pub fn entries(
    list: &Value,
    mut tell: impl FnMut(&str, Option<SocketAddr>, (&str, u64, &str), EndpointState, Option<Moment>),
) -> Result<(), String> {
    for entry in list["endpoints"].as_array().ok_or("endpoints: missing, or no list")? {
        let name = entry["name"].as_str().ok_or("endpoints.name: missing, or no text")?;
        let faulty = |key: &str| format!("endpoints.{key}: unreadable value {} of {name}", entry[key]);
        let standing = match entry["status"].as_str() {
            Some("up") => EndpointState::Ready,
            Some("draining") => EndpointState::Draining,
            Some("removed") => EndpointState::Gone,
            _ => return Err(faulty("status")),
        };
        let address = match &entry["address"] {
            Value::Null if standing == EndpointState::Gone => None,
            at => Some(at.as_str().and_then(|at| at.parse().ok()).ok_or_else(|| faulty("address"))?),
        };
        let since = match &entry["since_ms"] {
            Value::Null => 0,
            since => since.as_u64().ok_or_else(|| faulty("since_ms"))?,
        };
        let text = |key: &str| entry[key].as_str().unwrap_or("");
        let place = (text("zone"), entry["group"].as_u64().unwrap_or(0), text("type"));
        let started = (since > 0).then(|| Moment::from_nanos(since.saturating_mul(1_000_000)));
        tell(name, address, place, standing, started);
    }
    Ok(())
}

/// Where the lists of a stream end, however they are set in lines: braces outside of texts, each byte looked at once.
#[derive(Default)]
pub struct Braces {
    pub seen: usize,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Braces {
    /// How much of a stream holds whole lists, where it is what was seen before and more behind it.
    pub fn whole(&mut self, stream: &[u8]) -> usize {
        let mut whole = 0;
        for (at, byte) in stream.iter().enumerate().skip(self.seen) {
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' => self.escaped = self.in_text,
                b'"' => self.in_text = !self.in_text,
                b'{' if !self.in_text => self.depth += 1,
                b'}' if !self.in_text => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        whole = at + 1;
                    }
                }
                _ => {}
            }
        }
        self.seen = stream.len() - whole;
        whole
    }
}

/// The entries that are whole in a part of a list, of those endpoints that want nothing more.
pub fn salvage(part: &[u8]) -> Vec<Value> {
    let starts = part.iter().enumerate().filter(|(_, byte)| **byte == b'{').map(|(at, _)| at);
    let whole = starts.filter_map(|at| {
        let entry = serde_json::Deserializer::from_slice(&part[at..]).into_iter::<Value>().next();
        entry?.ok().filter(|entry| matches!(entry["status"].as_str(), Some("draining" | "removed")))
    });
    whole.collect()
}
