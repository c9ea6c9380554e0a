//! What the head of a client's request asks for.

use appledyke::terms::{Effect, Terms};
use appledyke::units::Span;

use crate::net::http::{self, MessageError};

/// The label with the estimated cost of a request, in nanoseconds.
const COST_LABEL: &str = "costGuessNs";
/// The header with the request's id.
const ID_HEADER: &str = "X-Txn";

/// What a request head asks for.
pub(super) enum Parsed {
    Health,
    Request { method: usize, remaining: Span, cost: Option<Span>, id: Box<str> },
}

/// The request's id; empty if the head has none.
pub(super) fn request_id(head: &[u8]) -> Box<str> {
    http::with_request(head, |request| http::find_header(request.headers, ID_HEADER).unwrap_or("").into())
        .unwrap_or_default()
}

/// Reads the head of a request, by the methods and limits of these terms.
pub(super) fn parse_head(head: &[u8], terms: &Terms) -> Result<Parsed, MessageError> {
    let read = |request: &httparse::Request| {
        let (verb, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
        let path = http::origin_form(target).split('?').next().unwrap_or("");
        if path == "/healthz" {
            return if verb == "GET" { Ok(Parsed::Health) } else { Err(MessageError(405)) };
        }
        let text = |name| http::single_header(request.headers, name);
        let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let name = text("X-Lane")?.unwrap_or(first);
        let method = terms.method_index(name).filter(|_| name == first).ok_or(MessageError(404))?;
        let m = &terms.methods[method];
        if (verb == "GET") != (m.effect == Effect::Retryable) {
            return Err(MessageError(405));
        }
        // Danger: if endpoints cannot recognize a retried request by its id or key, its effect could happen twice.
        let required = |name| text(name)?.filter(|value| !value.is_empty()).ok_or(MessageError(400));
        let id = required(ID_HEADER)?.into();
        if m.effect == Effect::Deduplicated {
            required("Idempotency-Key")?;
        }
        let remaining = match text("X-Remaining-Ms")? {
            None => m.deadline,
            Some(millis) if !millis.bytes().all(|byte| byte.is_ascii_digit()) => {
                return Err(MessageError(400));
            }
            Some(millis) => {
                millis.parse().map(Span::from_millis).map_err(|_| MessageError(400))?.min(m.deadline)
            }
        };
        // The cost is a hint: a value that does not parse is ignored and does not fail the request.
        let labels = text("X-Labels").ok().flatten().unwrap_or("");
        let mut labels = labels.split(',').filter_map(|label| label.trim().split_once('='));
        let cost = labels.find(|(name, _)| *name == COST_LABEL).and_then(|(_, nanos)| nanos.parse().ok());
        Ok(Parsed::Request { method, remaining, cost: cost.map(Span::from_nanos), id })
    };
    http::with_request(head, read).unwrap_or(Err(MessageError(400)))
}
