//! Log lines for individual requests, at level debug, and for endpoint state changes in the list, at level info.

use appledyke::EndpointState;

use crate::net::discovery::status_name;
use crate::net::http;

/// Most endpoints named in one line.
const MAX_NAMED: usize = 5;

/// The client's request id; empty unless individual requests are logged.
pub fn request_id(head: &[u8]) -> String {
    if !log::log_enabled!(log::Level::Debug) {
        return String::new();
    }
    let mut id = String::new();
    http::with_request(head, |request| {
        let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case("X-Txn"));
        id = header.map_or(String::new(), |header| String::from_utf8_lossy(header.value).into_owned());
    });
    id
}

/// The last listed state of each endpoint, by index.
#[derive(Default)]
pub struct EndpointStates {
    states: Vec<Option<Listed>>,
    /// Changes by the list that is being read.
    changed: Vec<(usize, EndpointState)>,
    /// Endpoints in the list that is being read.
    listed: usize,
}

#[derive(Clone, Copy)]
struct Listed {
    state: EndpointState,
    in_list: bool,
}

impl EndpointStates {
    /// Begins a list; `observe` is called for each of its endpoints.
    pub fn open(&mut self) {
        (self.changed, self.listed) = (Vec::new(), 0);
        self.states.iter_mut().flatten().for_each(|state| state.in_list = false);
    }

    /// Records that the list has this endpoint in this state.
    pub fn observe(&mut self, endpoint: usize, state: EndpointState) {
        self.listed += 1;
        if self.states.len() <= endpoint {
            self.states.resize(endpoint + 1, None);
        }
        let before = self.states[endpoint].replace(Listed { state, in_list: true });
        if before.is_none_or(|before| before.state != state) {
            self.changed.push((endpoint, state));
        }
    }

    /// Ends a list. Endpoints missing from a complete one are gone. Returns a description of the changes, if any.
    pub fn close<'a>(&mut self, complete: bool, name: impl Fn(usize) -> &'a str) -> Option<String> {
        for (endpoint, state) in self.states.iter_mut().enumerate().filter(|_| complete) {
            let missing = state.as_mut().filter(|state| !state.in_list && state.state != EndpointState::Gone);
            if let Some(state) = missing {
                state.state = EndpointState::Gone;
                self.changed.push((endpoint, EndpointState::Gone));
            }
        }
        let of = |state| {
            let names: Vec<&str> =
                self.changed.iter().filter(|(_, to)| *to == state).map(|(at, _)| name(*at)).collect();
            let more = names.len().saturating_sub(MAX_NAMED);
            let named = names.iter().take(MAX_NAMED).copied().collect::<Vec<_>>().join(" ");
            match (names.len(), more) {
                (0, _) => String::new(),
                (_, 0) => format!(", {}: {named}", status_name(state)),
                (_, more) => format!(", {}: {named} and {more} more", status_name(state)),
            }
        };
        let changes = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone].map(of).concat();
        (!changes.is_empty()).then(|| format!("{} endpoints{changes}", self.listed))
    }

    /// Forgets an endpoint whose index may be reused.
    pub fn forget(&mut self, endpoint: usize) {
        if let Some(state) = self.states.get_mut(endpoint) {
            *state = None;
        }
    }
}
