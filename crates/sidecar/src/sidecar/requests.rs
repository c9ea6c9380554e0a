//! The path of a request from its client to an endpoint and back, and the execution of the balancer's decisions about
//! it.

use super::*;
use appledyke::terms::{Effect, Group};

use crate::metrics::{AnsweredHere, StreamAbort};
use crate::net::servers::{StalledResponse, StreamTarget};
use crate::trace;

const PROBE_HEAD: &[u8] = b"GET /load HTTP/1.1\r\n\r\n";
/// Probe timeout; by then the request that waits for the probe has long been sent.
const PROBE_TIMEOUT: Span = Span::from_millis(200);
/// Pieces of a streamed body forwarded in one turn before other connections are served: operators wait one second at
/// most.
const MAX_PIECES_PER_TURN: usize = 16;

/// What one turn has done for a streamed request body.
enum UploadStep {
    /// The client or the endpoint has to go on first.
    Waits,
    /// More can be forwarded in the next turn.
    Continues,
    /// The last piece has been forwarded.
    Complete,
    /// The attempt on this connection has ended.
    AttemptEnded(Key, Box<EndedAttempt>),
    /// The framing is invalid; the client is sent this status.
    Invalid(u16),
    /// The client's connection has ended before the body did.
    Truncated,
}

impl Sidecar {
    pub(super) fn client_ready(&mut self, key: Key) {
        let said = self.clients.ready(key, self.balancer.terms(), &mut self.turn);
        self.handle_client(key, said);
    }

    /// The client has closed its connection, possibly behind data that is not read yet. Danger: no further event
    /// reports this.
    pub(super) fn client_closed(&mut self, key: Key) {
        self.clients.mark_peer_closed(key);
        self.client_ready(key);
    }

    pub(super) fn handle_client(&mut self, key: Key, said: ClientEvent) {
        match said {
            ClientEvent::Nothing => {}
            ClientEvent::InputPending => self.clients_to_recheck.push(key),
            ClientEvent::BodyReadable => self.forward_request(key),
            ClientEvent::ResponseSent { from } => self.forward_response(from),
            ClientEvent::DisconnectedMidResponse { from } => {
                self.report_stall(from);
                self.trace_aborted_stream(from, StreamAbort::ClientDisconnected);
                self.servers.close(from, &mut self.turn);
            }
            ClientEvent::BodyTimedOut { request } => {
                self.answer_locally(request, 408, None, AnsweredHere::SlowRequest);
                self.client_disconnected(request);
            }
            ClientEvent::Arrival { method, left, work, frame } => {
                let answered_id = self.clients.take_answered_id(key);
                answered_id.into_iter().for_each(|id| self.sent_ids.remove(id));
                let unrepeatable_id = self.unrepeatable_id(method, frame, key);
                if unrepeatable_id.is_some_and(|id| self.was_sent(id)) {
                    self.clients.answer_repeated(key, frame, &mut self.turn);
                    return self.check_next_request(key);
                }
                let request = Request {
                    method,
                    since: self.turn.now,
                    client: Some(key),
                    attempts: Vec::new(),
                    last_outcome: None,
                    unrepeatable_id,
                    may_have_run: false,
                    id: String::new(),
                };
                let Ok(at) = self.requests.insert_with(|_| Ok::<_, Infallible>(request));
                // Danger: during a shutdown there may be less time left than the client would wait.
                let left =
                    self.shutdown.map_or(left, |shutdown| left.min(shutdown.until.since(self.turn.now)));
                self.clients.wait_for_response(key, at.index(), frame);
                self.trace_arrival(at.index(), key, left);
                self.balancer.arrival(
                    self.turn.now,
                    at.index(),
                    RequestInfo { method, left, work, key: None },
                );
            }
            ClientEvent::Disconnected { request } => {
                if let Some(r) = self.request(request) {
                    r.client = None;
                    log::debug!("request {}: its client disconnected", r.id);
                    self.client_disconnected(request);
                }
            }
        }
    }

    /// The hash of the id of a request that must not run twice: one that is unsafe to repeat, or whose key not every
    /// endpoint knows.
    fn unrepeatable_id(&self, method: usize, frame: Frame, client: Key) -> Option<IdHash> {
        let method = &self.balancer.terms().methods[method];
        let repeatable = match method.effect {
            Effect::Retryable => true,
            Effect::Deduplicated => method.group == Group::All,
            Effect::NonRetryable => false,
        };
        (!repeatable).then(|| IdHash::of(&self.clients.id_in(client, frame)))
    }

    /// Whether a request with this id has been sent to an endpoint, by this process or another at its address.
    fn was_sent(&mut self, id: IdHash) -> bool {
        self.sent_ids.contains(id)
            || self.presence.as_mut().is_some_and(|presence| presence.was_sent_elsewhere(id))
    }

    /// The hash of the id of an open request, if it must not run twice.
    fn kept_id(&mut self, request: usize) -> Option<IdHash> {
        self.request(request)?.unrepeatable_id
    }

    /// The request has provably not run: its id may be used again.
    fn release_id(&mut self, request: usize) {
        let id = self.kept_id(request);
        id.into_iter().for_each(|id| self.sent_ids.remove(id));
    }

    /// The client no longer waits for this request. Danger: an attempt that is still connecting or partly unwritten
    /// would be sent all the same, and cancelling does not cover it as it was never sent. So such attempts are
    /// withdrawn here.
    pub(super) fn client_disconnected(&mut self, request: usize) {
        self.balancer.client_disconnected(request);
        if !self.may_have_run(request) {
            self.release_id(request);
        }
        let attempts_out =
            self.request(request).map(|r| r.attempts.iter().flatten().copied().collect::<Vec<_>>());
        for link in attempts_out.unwrap_or_default() {
            if self.servers.unsent_request(link).is_some() {
                let ended = self.servers.cancel(link, &mut self.turn);
                self.attempt_ended(link, ended);
            }
        }
    }

    /// Whether an attempt of the request has run, may have, or may yet.
    fn may_have_run(&self, request: usize) -> bool {
        let Some(r) = self.requests.key_at(request).and_then(|key| self.requests.get(key)) else {
            return false;
        };
        let sent_whole = |link: &Key| self.servers.unsent_request(*link).is_none();
        r.may_have_run || r.attempts.iter().flatten().any(sent_whole)
    }

    pub(super) fn server_ready(&mut self, key: Key) {
        if self.servers.forwarding_to(key).is_some() {
            return self.forward_response(key);
        }
        // A request that waits for the connect is written as soon as that completes, so check first that its client
        // is still there.
        match self.servers.unsent_request(key) {
            Some(request) if self.servers.is_connecting(key) => self.verify_client(request),
            Some(_) => self.refresh_disconnects(self.last_poll),
            None => {}
        }
        let ended = self.servers.ready(key, &mut self.turn);
        self.attempt_ended(key, ended);
        if let Some(request) = self.servers.buffering_response_to(key) {
            self.balancer.response_begun(request);
        }
        let request = self.servers.request_awaiting_body(key);
        if let Some(client) =
            request.and_then(|request| self.request(request)).and_then(|request| request.client)
        {
            self.forward_request(client);
        }
    }

    /// Forwards the available part of a streamed request body, as far as the endpoint accepts it, and sets the time limits
    /// that follow from what has arrived.
    pub(super) fn forward_request(&mut self, client: Key) {
        let Some(request) = self.clients.streaming_request(client) else { return };
        let upload = self.forward_pieces(client, request);
        // Danger: while an endpoint takes nothing, or takes it slowly, the client may have written all and wait already.
        let since = self.clients.note_upload(client, &mut self.turn);
        let link = self.request(request).and_then(|r| r.attempts.last().copied().flatten());
        if let Some(link) = link {
            let useful_until = self.balancer.time_runs_from(request, since.unwrap_or(self.turn.now));
            self.servers.set_upload_due(link, useful_until.filter(|_| since.is_some()), &mut self.turn);
        }
        match upload {
            UploadStep::Waits => {}
            UploadStep::Continues => self.streams_to_resume.push(Peer::Client(client)),
            UploadStep::Complete => self.trace_complete_upload(request, since),
            UploadStep::AttemptEnded(link, ended) => self.attempt_ended(link, Some(*ended)),
            UploadStep::Invalid(status) => {
                self.answer_locally(request, status, None, AnsweredHere::BadRequest);
                self.client_disconnected(request);
            }
            UploadStep::Truncated => self.client_ready(client),
        }
    }

    /// Forwards what one turn allows of a streamed request body.
    fn forward_pieces(&mut self, client: Key, request: usize) -> UploadStep {
        for _ in 0..MAX_PIECES_PER_TURN {
            let link = self.request(request).and_then(|r| r.attempts.last().copied().flatten());
            let Some(link) = link.filter(|link| self.servers.accepts_body(*link)) else {
                return UploadStep::Waits;
            };
            match self.clients.next_piece(client) {
                Piece::Data(range) => {
                    self.balancer.partly_forwarded(self.turn.now, request);
                    let data = self.clients.bytes(client, &range);
                    let ended = self.servers.send_body(link, Some(data), &mut self.turn);
                    self.clients.consume_piece(client, &range);
                    if let Some(ended) = ended {
                        return UploadStep::AttemptEnded(link, Box::new(ended));
                    }
                }
                Piece::End => {
                    self.balancer.partly_forwarded(self.turn.now, request);
                    let ended = self.servers.send_body(link, None, &mut self.turn);
                    return match ended {
                        Some(ended) => UploadStep::AttemptEnded(link, Box::new(ended)),
                        None => UploadStep::Complete,
                    };
                }
                Piece::Pending => return UploadStep::Waits,
                Piece::Invalid(status) => return UploadStep::Invalid(status),
                Piece::Truncated => return UploadStep::Truncated,
            }
        }
        UploadStep::Continues
    }

    /// Logs that all of a streamed request has been forwarded, and since when its time for an answer runs.
    fn trace_complete_upload(&mut self, request: usize, since: Option<Moment>) {
        let now = self.turn.now;
        if let Some(r) = self.request(request) {
            let (took_ms, ago_ms) =
                (now.since(r.since).secs() * 1e3, since.map_or(0.0, |since| now.since(since).secs() * 1e3));
            log::debug!(
                "request {}: forwarded whole after {took_ms:.0} ms, its time runs for {ago_ms:.0} ms",
                r.id
            );
        }
    }

    /// Forwards the available part of a streamed response, as far as the client accepts it.
    pub(super) fn forward_response(&mut self, link: Key) {
        for _ in 0..MAX_PIECES_PER_TURN {
            let Some(target) = self.servers.forwarding_to(link) else { return };
            let StreamTarget { client, method, end } = target;
            if !self.clients.response_is_sent(client) {
                return self.servers.pause_timeout(link, &mut self.turn);
            }
            match self.servers.next_piece(link, &mut self.turn) {
                Piece::Data(range) => {
                    let data = self.servers.bytes(link, &range);
                    if !self.clients.send_response_piece(client, data, &mut self.turn) {
                        return self.servers.close(link, &mut self.turn);
                    }
                    self.servers.consume(link, range.end);
                }
                Piece::End => {
                    self.clients.end_response(client, true, &mut self.turn);
                    let id = IdHash::of(self.servers.forwarded_request_id(link));
                    if self.sent_ids.contains(id) {
                        self.clients.set_answered_id(client, id);
                    }
                    self.servers.end_forwarding(link, &mut self.turn);
                    self.check_next_request(client);
                    return self.count_request(method, end);
                }
                Piece::Pending => return,
                Piece::Invalid(_) => return self.abort_response(link, StreamAbort::InvalidFraming),
                Piece::Truncated => return self.abort_response(link, StreamAbort::EndpointClosed),
            }
        }
        self.streams_to_resume.push(Peer::Server(link));
    }

    /// Aborts a streamed response that cannot be completed.
    pub(super) fn abort_response(&mut self, link: Key, why: StreamAbort) {
        let Some(StreamTarget { client, method, .. }) = self.servers.forwarding_to(link) else { return };
        self.trace_aborted_stream(link, why);
        self.report_stall(link);
        self.clients.end_response(client, false, &mut self.turn);
        self.servers.close(link, &mut self.turn);
        self.count_request(method, RequestEnd::Failed);
    }

    /// Reports a streamed response that ends unfinished, if its endpoint has stopped sending. Danger: with its first bytes it
    /// counted as served, and an endpoint that hangs in the middle of every response would keep its share of the requests.
    fn report_stall(&mut self, link: Key) {
        let stalled = self.servers.stalled_response(link, self.turn.now);
        if let Some(StalledResponse { endpoint, method }) = stalled {
            log::debug!("endpoint {}: a streamed response has stalled", self.endpoints.name(endpoint));
            self.balancer.response_stalled(self.turn.now, endpoint, method);
        }
    }

    /// Counts and logs a streamed response that is aborted.
    fn trace_aborted_stream(&mut self, link: Key, why: StreamAbort) {
        self.metrics.count_aborted_stream(why);
        let (id, why) = (self.servers.forwarded_request_id(link), why.name());
        log::info!("a streamed response was aborted before its end: request {id}, {why}");
    }

    pub(super) fn count_request(&mut self, method: usize, end: RequestEnd) {
        self.metrics.count_request(&self.balancer.terms().methods[method].name, end);
        self.fleet.iter_mut().for_each(|fleet| fleet.count_request(end, false));
    }

    /// Counts a request that arrived at `since` and was answered by an endpoint, whether served or failed.
    fn count_request_since(&mut self, method: usize, end: RequestEnd, since: Moment) {
        let method = &self.balancer.terms().methods[method];
        self.metrics.count_request(&method.name, end);
        let slow = self.turn.now.since(since) > method.latency_budget;
        self.fleet.iter_mut().for_each(|fleet| fleet.count_request(end, slow));
    }

    pub(super) fn request(&mut self, at: usize) -> Option<&mut Request> {
        let key = self.requests.key_at(at)?;
        self.requests.get_mut(key)
    }

    /// An attempt on this connection has ended. Its response goes to the client if it is final: a success or a client
    /// error.
    pub(super) fn attempt_ended(&mut self, key: Key, ended: Option<EndedAttempt>) {
        let Some(ended) = ended else { return };
        self.trace_end(&ended);
        let EndedAttempt { carried: ActiveAttempt { request, attempt, .. }, ending, answer, long, .. } =
            ended;
        if request == PROBE {
            return self.probe_ended(attempt, key, answer, long.is_some());
        }
        let outcome = ending.outcome();
        self.record_attempt(request, ended.endpoint, ended.sent, outcome);
        let (mut closed, mut streaming) = (true, false);
        if let Some(r) = self.request(request) {
            r.attempts[attempt] = None;
            r.may_have_run |= !outcome.never_ran();
            let is_final = matches!(outcome, Outcome::Success | Outcome::ClientError);
            let (method, since) = (r.method, r.since);
            let client = if is_final { r.client.take() } else { None };
            closed = r.client.is_none();
            if let (Some(client), Some(frame)) = (client, answer) {
                let end = if outcome == Outcome::Success { RequestEnd::Served } else { RequestEnd::Failed };
                match &long {
                    Some(body) => {
                        let target = StreamTarget { client, method, end };
                        streaming = self.begin_streaming(key, frame, body.clone(), target)
                    }
                    None => {
                        self.send_response(key, frame, client);
                        let id = self.kept_id(request);
                        id.into_iter().for_each(|id| self.clients.set_answered_id(client, id));
                        self.count_request_since(method, end, since);
                    }
                }
            }
        }
        match answer {
            Some(frame) if long.is_none() => self.servers.release(key, frame, &mut self.turn),
            // A streamed response that cannot be forwarded to its client is discarded.
            Some(_) if !streaming => self.servers.close(key, &mut self.turn),
            _ => {}
        }
        self.balancer.outcome(self.turn.now, request, attempt, outcome, closed);
        if streaming {
            self.forward_response(key);
        }
    }

    /// Records an attempt's outcome for other processes at this address and for the fleet.
    pub(super) fn record_attempt(&mut self, request: usize, endpoint: usize, sent: Moment, outcome: Outcome) {
        if self.presence.is_none() && self.fleet.is_none() {
            return;
        }
        let Some(request) = self.requests.key_at(request).and_then(|key| self.requests.get(key)) else {
            return;
        };
        let method = &self.balancer.terms().methods[request.method];
        let record = handover::AttemptRecord {
            at: self.turn.now,
            endpoint: ids::name_hash(self.endpoints.name(endpoint)),
            method: ids::name_hash(&method.name),
            outcome,
            budget_fraction: self.turn.now.since(sent).secs() / method.latency_budget.secs().max(1e-6),
        };
        if self.presence.is_some() {
            self.recent_attempts.record(record);
        }
        if let (Some(fleet), Some(code)) = (&mut self.fleet, appledyke_fleet::evidence::outcome_code(outcome))
        {
            fleet.record_attempt(record.at, record.endpoint, record.method, code, record.budget_fraction);
        }
    }

    /// Sends a fully buffered response to the client.
    pub(super) fn send_response(&mut self, key: Key, frame: Frame, client: Key) {
        if let Some((head, body)) = self.servers.message(key, frame) {
            let length = Length::Known(body.len() as u64);
            let write = |out: &mut Vec<u8>, keep| http::write_response_head(out, head, length, keep);
            self.clients.respond(client, write, body, &mut self.turn);
            self.check_next_request(client);
        }
    }

    /// Begins to stream a response to the client. Returns whether that is possible.
    pub(super) fn begin_streaming(
        &mut self,
        key: Key,
        frame: Frame,
        body: Body,
        target: StreamTarget,
    ) -> bool {
        let Some((head, _)) = self.servers.message(key, frame) else { return false };
        let request_id = self.clients.request_id(target.client);
        let write = |out: &mut Vec<u8>, length, keep| http::write_response_head(out, head, length, keep);
        let started = self.clients.begin_response(target.client, key, body.length(), write, &mut self.turn);
        if started {
            self.servers.begin_forwarding(key, frame, body, target, request_id);
        }
        started
    }

    /// A client was answered, and its next request may already be in the buffer. Danger: if the buffer is full, a
    /// close may stand behind unread data. The failed write of the response is reported only by the next poll, so
    /// such a client waits for that.
    fn check_next_request(&mut self, client: Key) {
        if self.clients.is_full(client) {
            self.deferred_events.push(Peer::Client(client));
        } else {
            self.clients_to_recheck.push(client);
        }
    }

    /// Called before an attempt begins: checks that the request's client has not disconnected unnoticed.
    fn verify_client(&mut self, request: usize) {
        // A request that arrived in this turn was read in it, so its client was there then.
        let Some(since) = self.request(request).map(|r| r.since) else { return };
        self.refresh_disconnects(if since == self.turn.now { since } else { self.last_poll });
        let Some(r) = self.request(request) else { return };
        let Some(client) = r.client else { return };
        let attempts_out = r.attempts.clone();
        let never_sent =
            attempts_out.iter().all(|link| link.is_some_and(|link| self.servers.is_connecting(link)));
        match self.clients.check_connected(client, MAX_UNREAD_AGE, self.clock.now()) {
            ClientState::Connected => {}
            ClientState::Disconnected => self.client_closed(client),
            ClientState::Unknown => {
                self.answer_locally(
                    request,
                    if never_sent { 503 } else { 502 },
                    None,
                    AnsweredHere::ClientUnseen,
                );
                self.client_disconnected(request);
            }
        }
    }

    pub(super) fn execute(&mut self, decision: Decision) {
        if let Decision::Send { request, .. } = decision {
            self.verify_client(request);
        }
        let (now, turn) = (self.turn.now, &mut self.turn);
        match decision {
            Decision::Send { request, endpoint, give_up } => {
                let Some(r) = self.request(request) else { return };
                let (client, carried) =
                    (r.client, ActiveAttempt { request, attempt: r.attempts.len(), give_up });
                // Nothing is sent, and no budget spent, for a client that has just disconnected.
                let allowed = client.is_some() && self.budgets_allow(endpoint, carried.attempt > 0);
                if let Some(id) = self.kept_id(request).filter(|_| allowed) {
                    self.sent_ids.insert(id);
                }
                let mut sent = if allowed {
                    self.send_attempt(client, endpoint, carried)
                } else {
                    Err(AttemptResult::NoCapacity)
                };
                if allowed && sent == Err(AttemptResult::NoCapacity) {
                    let mut brought = Vec::new();
                    if self.clients.evict(&mut self.turn, &mut brought) {
                        sent = self.send_attempt(client, endpoint, carried);
                    }
                    self.clients_to_recheck.extend(brought);
                }
                self.trace_attempt(request, carried.attempt, endpoint, sent);
                let Some(r) = self.request(request) else { return };
                r.attempts.push(sent.ok());
                let uploading = r.client.filter(|_| sent.is_ok());
                if let Err(ending) = sent {
                    self.balancer.outcome(now, request, carried.attempt, ending.outcome(), false);
                }
                if let Some(client) = uploading {
                    self.forward_request(client);
                }
            }
            Decision::Reject { request, retry_after, reason } => {
                self.answer_locally(request, 503, retry_after, AnsweredHere::GiveUpReason(reason));
            }
            Decision::Fail { request, reason } => {
                self.answer_locally(request, 502, None, AnsweredHere::GiveUpReason(reason))
            }
            Decision::Cancel { request, attempt } => {
                let link = self.request(request).and_then(|r| r.attempts.get(attempt).copied().flatten());
                if let Some(key) = link {
                    let ended = self.servers.cancel(key, &mut self.turn);
                    self.attempt_ended(key, ended);
                }
            }
            Decision::CloseIdle { endpoint } => self.servers.close_idle(endpoint, turn),
            Decision::ForgetRequest { request } => {
                if let Some(key) = self.requests.key_at(request) {
                    self.requests.remove(key);
                }
            }
            Decision::ForgetEndpoint { endpoint } => {
                self.entries.remove(self.endpoints.name(endpoint));
                self.endpoint_states.forget(endpoint);
                self.servers.forget(endpoint, turn);
                self.endpoints.release(endpoint);
            }
            Decision::Wake { at } => turn.deadlines.add(at, Due::Wake),
            Decision::Subscribe => self.subscribe(),
            Decision::Probe { endpoint } => self.send_probe(endpoint),
            // Never decided: `config.rs` turns messages to peers off in the terms.
            Decision::TellPeer { .. } => {}
        }
    }

    /// Logs the arrival of a request.
    fn trace_arrival(&mut self, request: usize, client: Key, left: Span) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let id =
            self.clients.message(client).map_or(String::new(), |message| trace::request_id(message.head));
        log::debug!("request {id}: taken, {:.0} ms left", left.secs() * 1e3);
        self.request(request).into_iter().for_each(|r| r.id.clone_from(&id));
    }

    /// Counts an attempt if it is a retry, and logs every attempt with the version of the list that it was decided
    /// on.
    fn trace_attempt(
        &mut self,
        request: usize,
        attempt: usize,
        endpoint: usize,
        sent: Result<Key, AttemptResult>,
    ) {
        let Some(last) = self.request(request).map(|r| r.last_outcome) else { return };
        if let Some(last) = last {
            self.metrics.count_retry(last);
        }
        if log::log_enabled!(log::Level::Debug) {
            let id = self.request(request).map_or("", |r| &r.id).to_string();
            let after = last.map_or(String::new(), |last| format!(", a retry after {}", last.name()));
            let result = sent.err().map_or(String::new(), |ending| format!(", not sent: {ending:?}"));
            let (version, name) = (self.list.version(), self.endpoints.name(endpoint));
            log::debug!("request {id}: attempt {attempt} to {name}, list version {version}{after}{result}");
        }
        if let Err(ending) = sent {
            self.record_outcome(request, ending);
        }
    }

    /// Counts and logs the end of a request's attempt.
    fn trace_end(&mut self, ended: &EndedAttempt) {
        let ActiveAttempt { request, attempt, .. } = ended.carried;
        if request == PROBE {
            return;
        }
        self.record_outcome(request, ended.ending);
        if ended.partial_response > 0 {
            self.metrics.count_partial_response(ended.ending.outcome());
        }
        if log::log_enabled!(log::Level::Debug) {
            let id = self.request(request).map_or("", |r| &r.id).to_string();
            let took = self.turn.now.since(ended.sent).secs() * 1e3;
            let (name, ending) = (self.endpoints.name(ended.endpoint), ended.ending);
            let partial = match ended.partial_response {
                0 => String::new(),
                bytes => format!(", with {bytes} bytes of a response"),
            };
            log::debug!(
                "request {id}: attempt {attempt} at {name} ended after {took:.0} ms: {ending:?}{partial}"
            );
        }
    }

    fn record_outcome(&mut self, request: usize, ending: AttemptResult) {
        let outcome = ending.outcome();
        self.metrics.count_attempt(outcome);
        self.request(request).into_iter().for_each(|r| r.last_outcome = Some(outcome));
    }

    /// Whether the fleet's budgets allow another attempt to this endpoint now.
    fn budgets_allow(&mut self, endpoint: usize, is_retry: bool) -> bool {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.is_limited()) else { return true };
        let (now, (connections, in_flight)) = (self.clock.now(), self.servers.connection_counts(endpoint));
        self.servers.max_per_endpoint = fleet.max_connections(now);
        let started = self.servers.started_at(endpoint);
        let cold = started.is_some_and(|at| self.balancer.terms().warm_part(now.since(at)) < 1.0);
        let has_idle = self.servers.has_idle(endpoint);
        fleet.may_send(now, &PlannedAttempt { is_retry, cold, connections, in_flight, has_idle })
    }

    pub(super) fn send_attempt(
        &mut self,
        client: Option<Key>,
        endpoint: usize,
        carried: ActiveAttempt,
    ) -> Result<Key, AttemptResult> {
        let message = client.and_then(|client| self.clients.message(client));
        let message = message.ok_or(AttemptResult::Cancelled { request_sent: false })?;
        self.servers.send(endpoint, carried, message, &mut self.turn)
    }

    pub(super) fn send_probe(&mut self, endpoint: usize) {
        let carried =
            ActiveAttempt { request: PROBE, attempt: endpoint, give_up: self.turn.now + PROBE_TIMEOUT };
        let message = OutgoingRequest { head: PROBE_HEAD, body: b"", streamed_body: None };
        if self.servers.send(endpoint, carried, message, &mut self.turn).is_err() {
            self.balancer.probe_result(self.turn.now, endpoint, None);
        }
    }

    /// Passes the load reported by a probe's response to the balancer.
    pub(super) fn probe_ended(&mut self, endpoint: usize, key: Key, answer: Option<Frame>, long: bool) {
        let body = answer.and_then(|frame| self.servers.message(key, frame)).map(|(_, body)| body);
        let report = body.and_then(|body| std::str::from_utf8(body).ok());
        let load = report.and_then(|report| self.balancer.terms().load(report));
        self.balancer.probe_result(self.turn.now, endpoint, load);
        match answer {
            Some(_) if long => self.servers.close(key, &mut self.turn),
            Some(frame) => self.servers.release(key, frame, &mut self.turn),
            None => {}
        }
    }

    /// Answers a request with a response of the sidecar's own, if the client still waits for one.
    pub(super) fn answer_locally(
        &mut self,
        request: usize,
        status: u16,
        retry_after: Option<Span>,
        why: AnsweredHere,
    ) {
        let Some((method, client)) = self.request(request).and_then(|r| Some((r.method, r.client.take()?)))
        else {
            return;
        };
        self.metrics.count_answered_here(why);
        if status == 503 {
            // A rejection says that the request has not run and may be sent again.
            self.release_id(request);
        }
        let id = self.request(request).map_or("", |r| &r.id);
        log::debug!("request {id}: answered {status} here, {}", why.name());
        self.count_request(method, if status == 503 { RequestEnd::Rejected } else { RequestEnd::Failed });
        let head = |out: &mut Vec<u8>, keep| http::write_own_response(out, status, retry_after, keep);
        self.clients.respond(client, head, b"", &mut self.turn);
        self.check_next_request(client);
    }
}
