//! What is logged of single requests, at the level debug, and of endpoints whose state the list changes, at info.

use appledyke::EndpointState;

use crate::net::http;

/// Endpoints that one line names.
const NAMED_MOST: usize = 5;

/// The id that the client gave its request; empty where single requests are not logged.
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

/// The states of endpoints as the list told them last, by index.
#[derive(Default)]
pub struct EndpointStates {
    states: Vec<Option<State>>,
    /// Named by the list that is being heard.
    changed: Vec<(usize, EndpointState)>,
    /// Endpoints in the list that is being heard.
    listed: usize,
}

#[derive(Clone, Copy)]
struct State {
    standing: EndpointState,
    named: bool,
}

impl EndpointStates {
    /// A list follows; its endpoints are told one by one.
    pub fn open(&mut self) {
        (self.changed, self.listed) = (Vec::new(), 0);
        self.states.iter_mut().flatten().for_each(|state| state.named = false);
    }

    /// The list has this endpoint in this state.
    pub fn observe(&mut self, endpoint: usize, standing: EndpointState) {
        self.listed += 1;
        if self.states.len() <= endpoint {
            self.states.resize(endpoint + 1, None);
        }
        let before = self.states[endpoint].replace(State { standing, named: true });
        if before.is_none_or(|before| before.standing != standing) {
            self.changed.push((endpoint, standing));
        }
    }

    /// The list is over. What a complete one does not name is gone. Returns what it has changed, in words, if anything.
    pub fn close<'a>(&mut self, complete: bool, name: impl Fn(usize) -> &'a str) -> Option<String> {
        for (endpoint, state) in self.states.iter_mut().enumerate().filter(|_| complete) {
            let left_out =
                state.as_mut().filter(|state| !state.named && state.standing != EndpointState::Gone);
            if let Some(state) = left_out {
                state.standing = EndpointState::Gone;
                self.changed.push((endpoint, EndpointState::Gone));
            }
        }
        let of = |standing| {
            let such: Vec<&str> =
                self.changed.iter().filter(|(_, to)| *to == standing).map(|(at, _)| name(*at)).collect();
            let more = such.len().saturating_sub(NAMED_MOST);
            let named = such.iter().take(NAMED_MOST).copied().collect::<Vec<_>>().join(" ");
            match (such.len(), more) {
                (0, _) => String::new(),
                (_, 0) => format!(", {}: {named}", word(standing)),
                (_, more) => format!(", {}: {named} and {more} more", word(standing)),
            }
        };
        let changes = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone].map(of).concat();
        (!changes.is_empty()).then(|| format!("{} endpoints{changes}", self.listed))
    }

    /// The endpoint's index may be used again.
    pub fn forget(&mut self, endpoint: usize) {
        if let Some(state) = self.states.get_mut(endpoint) {
            *state = None;
        }
    }
}

/// The list's own word for a state.
fn word(standing: EndpointState) -> &'static str {
    match standing {
        EndpointState::Ready => "up",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "removed",
    }
}
