//! A request's life: from its client to an endpoint and back, and what is decided of it on the way.

use super::*;
use crate::figures::AnsweredHere;
use crate::trace;

const PROBE_HEAD: &[u8] = b"GET /load HTTP/1.1\r\n\r\n";
/// Longest that a probe may take: by then the request that waits for it has long set out.
const PROBE_WAIT: Span = Span::from_millis(200);
/// Pieces of a long message that are passed on before others have their turn: operators wait a second at the most.
const PIECES_MOST: usize = 16;

impl Sidecar {
    pub(super) fn client_ready(&mut self, key: Key) {
        let said = self.clients.ready(key, self.balancer.terms(), &mut self.turn);
        self.said(key, said);
    }

    /// The client's end has come, maybe behind more than is read. Danger: no further event would tell of it.
    pub(super) fn client_leaves(&mut self, key: Key) {
        self.clients.mark_peer_closed(key);
        self.client_ready(key);
    }

    pub(super) fn said(&mut self, key: Key, said: ClientEvent) {
        match said {
            ClientEvent::Nothing => {}
            ClientEvent::InputPending => self.look_again.push(key),
            ClientEvent::BodyReadable => self.pass_up(key),
            ClientEvent::ResponseSent { from } => self.pass_down(from),
            ClientEvent::DisconnectedMidResponse { from } => self.servers.close(from, &mut self.turn),
            ClientEvent::BodyTimedOut { request } => {
                self.answer(request, 408, None, AnsweredHere::SlowRequest);
                self.client_disconnected(request);
            }
            ClientEvent::Arrival { method, left, work, frame } => {
                let request = Request {
                    method,
                    since: self.turn.now,
                    client: Some(key),
                    attempts: Vec::new(),
                    last_outcome: None,
                    id: String::new(),
                };
                let Ok(at) = self.requests.insert_with(|_| Ok::<_, Infallible>(request));
                // Danger: once it leaves there may be less time than the client would wait.
                let left = self.leaving.map_or(left, |leaving| left.min(leaving.until.since(self.turn.now)));
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
                    log::debug!("request {}: its client has left", r.id);
                    self.client_disconnected(request);
                }
            }
        }
    }

    /// Nobody waits for this request any more. Danger: an attempt whose connect comes up late, or of which the endpoint has
    /// yet to take a part, would go out all the same; it is not cancelled there, as it was never sent.
    pub(super) fn client_disconnected(&mut self, request: usize) {
        self.balancer.client_disconnected(request);
        let links = self.request(request).map(|r| r.attempts.iter().flatten().copied().collect::<Vec<_>>());
        for link in links.unwrap_or_default() {
            if self.servers.unsent_request(link).is_some() {
                let ended = self.servers.cancel(link, &mut self.turn);
                self.ended(link, ended);
            }
        }
    }

    pub(super) fn server_ready(&mut self, key: Key) {
        if self.servers.forwarding_to(key).is_some() {
            return self.pass_down(key);
        }
        // What waits for its connect is written as soon as that is up.
        match self.servers.unsent_request(key) {
            Some(request) if self.servers.is_connecting(key) => self.look_for_client(request),
            Some(_) => self.look(self.looked),
            None => {}
        }
        let ended = self.servers.ready(key, &mut self.turn);
        self.ended(key, ended);
        let request = self.servers.request_awaiting_body(key);
        if let Some(client) =
            request.and_then(|request| self.request(request)).and_then(|request| request.client)
        {
            self.pass_up(client);
        }
    }

    /// Passes on what there is of a long request's body, as far as its endpoint takes it.
    pub(super) fn pass_up(&mut self, client: Key) {
        let Some(request) = self.clients.streaming_request(client) else { return };
        let now = self.turn.now;
        for _ in 0..PIECES_MOST {
            let link = self.request(request).and_then(|r| r.attempts.last().copied().flatten());
            let Some(link) = link.filter(|link| self.servers.accepts_body(*link)) else {
                return self.clients.pause_body_timeout(client, &mut self.turn);
            };
            match self.clients.next_piece(client, &mut self.turn) {
                Piece::Data(range) => {
                    self.balancer.partly_forwarded(now, request);
                    let data = self.clients.bytes(client, &range);
                    let ended = self.servers.send_body(link, Some(data), &mut self.turn);
                    self.clients.consume_piece(client, &range, &mut self.turn);
                    if ended.is_some() {
                        return self.ended(link, ended);
                    }
                }
                Piece::End => {
                    self.balancer.partly_forwarded(now, request);
                    let ended = self.servers.send_body(link, None, &mut self.turn);
                    return self.ended(link, ended);
                }
                Piece::Pending => return,
                Piece::Invalid(status) => {
                    self.answer(request, status, None, AnsweredHere::BadRequest);
                    return self.client_disconnected(request);
                }
                Piece::Truncated => return self.client_ready(client),
            }
        }
        self.pass_again.push(Peer::Client(client));
    }

    /// Passes on what there is of a long answer, as far as its client takes it.
    pub(super) fn pass_down(&mut self, link: Key) {
        for _ in 0..PIECES_MOST {
            let Some((client, method, end)) = self.servers.forwarding_to(link) else { return };
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
                    self.servers.end_forwarding(link, &mut self.turn);
                    self.take_next(client);
                    return self.count(method, end);
                }
                Piece::Pending => return,
                Piece::Invalid(_) | Piece::Truncated => return self.break_off(link),
            }
        }
        self.pass_again.push(Peer::Server(link));
    }

    /// A long answer that was begun cannot be finished.
    pub(super) fn break_off(&mut self, link: Key) {
        let Some((client, method, _)) = self.servers.forwarding_to(link) else { return };
        log::info!("an answer broke off on its way");
        self.clients.end_response(client, false, &mut self.turn);
        self.servers.close(link, &mut self.turn);
        self.count(method, End::Failed);
    }

    pub(super) fn count(&mut self, method: usize, end: End) {
        self.figures.ended(&self.balancer.terms().methods[method].name, end);
        self.fleet.iter_mut().for_each(|fleet| fleet.ended(end, false));
    }

    /// A request that came then is served, or failed with its last word.
    fn count_since(&mut self, method: usize, end: End, since: Moment) {
        let method = &self.balancer.terms().methods[method];
        self.figures.ended(&method.name, end);
        let slow = self.turn.now.since(since) > method.latency_budget;
        self.fleet.iter_mut().for_each(|fleet| fleet.ended(end, slow));
    }

    pub(super) fn request(&mut self, at: usize) -> Option<&mut Request> {
        let key = self.requests.key_at(at)?;
        self.requests.get_mut(key)
    }

    /// An attempt on this connection has ended: its answer goes to the client if no other could be better.
    pub(super) fn ended(&mut self, key: Key, ended: Option<EndedAttempt>) {
        let Some(ended) = ended else { return };
        let EndedAttempt { carried: ActiveAttempt { request, attempt, .. }, ending, answer, long, .. } =
            ended;
        if request == PROBE {
            return self.probed(attempt, key, answer, long.is_some());
        }
        let outcome = ending.outcome();
        self.trace_end(request, attempt, ended.endpoint, ending, ended.sent);
        self.book(request, ended.endpoint, ended.sent, outcome);
        let (mut closed, mut passes) = (true, false);
        if let Some(r) = self.request(request) {
            r.attempts[attempt] = None;
            let last = matches!(outcome, Outcome::Success | Outcome::ClientError);
            let (method, since) = (r.method, r.since);
            let client = if last { r.client.take() } else { None };
            closed = r.client.is_none();
            if let (Some(client), Some(frame)) = (client, answer) {
                let end = if outcome == Outcome::Success { End::Served } else { End::Failed };
                match &long {
                    Some(body) => passes = self.begin(key, frame, body.clone(), (client, method, end)),
                    None => {
                        self.relay(key, frame, client);
                        self.count_since(method, end, since);
                    }
                }
            }
        }
        match answer {
            Some(frame) if long.is_none() => self.servers.release(key, frame, &mut self.turn),
            // A long answer either passes to its client or is of no use.
            Some(_) if !passes => self.servers.close(key, &mut self.turn),
            _ => {}
        }
        self.balancer.outcome(self.turn.now, request, attempt, outcome, closed);
        if passes {
            self.pass_down(key);
        }
    }

    /// Keeps how an attempt ended, for another process at this address and for the fleet.
    pub(super) fn book(&mut self, request: usize, endpoint: usize, sent: Moment, outcome: Outcome) {
        if self.presence.is_none() && self.fleet.is_none() {
            return;
        }
        let Some(request) = self.requests.key_at(request).and_then(|key| self.requests.get(key)) else {
            return;
        };
        let method = &self.balancer.terms().methods[request.method];
        let ended = handover::Ended {
            at: self.turn.now,
            endpoint: ids::name_hash(self.endpoints.name(endpoint)),
            method: ids::name_hash(&method.name),
            outcome,
            part: self.turn.now.since(sent).secs() / method.latency_budget.secs().max(1e-6),
        };
        if self.presence.is_some() {
            self.latest.book(ended);
        }
        if let (Some(fleet), Some(code)) = (&mut self.fleet, appledyke_fleet::evidence::outcome_code(outcome))
        {
            fleet.book(ended.at, ended.endpoint, ended.method, code, ended.part);
        }
    }

    /// An answer that is there whole goes to the client.
    pub(super) fn relay(&mut self, key: Key, frame: Frame, client: Key) {
        if let Some((head, body)) = self.servers.message(key, frame) {
            let length = Length::Known(body.len() as u64);
            let write = |out: &mut Vec<u8>, keep| http::write_response_head(out, head, length, keep);
            self.clients.respond(client, write, body, &mut self.turn);
            self.take_next(client);
        }
    }

    /// A long answer is to pass to the client; whether it can.
    pub(super) fn begin(&mut self, key: Key, frame: Frame, body: Body, whose: (Key, usize, End)) -> bool {
        let Some((head, _)) = self.servers.message(key, frame) else { return false };
        let write = |out: &mut Vec<u8>, length, keep| http::write_response_head(out, head, length, keep);
        let begun = self.clients.begin_response(whose.0, key, body.length(), write, &mut self.turn);
        if begun {
            self.servers.begin_forwarding(key, frame, body, whose);
        }
        begun
    }

    /// A client has its answer, and its next request may have come already. Danger: the end of one that has left may stand behind
    /// more than is read; that the machine finds nobody there for the answer is told with the next poll, and waited for.
    fn take_next(&mut self, client: Key) {
        if self.clients.is_full(client) {
            self.later.push(Peer::Client(client));
        } else {
            self.look_again.push(client);
        }
    }

    /// An attempt is about to begin for this request, whose client may have left unseen.
    fn look_for_client(&mut self, request: usize) {
        // What has come in this turn was read in it.
        let Some(since) = self.request(request).map(|r| r.since) else { return };
        self.look(if since == self.turn.now { since } else { self.looked });
        let Some(r) = self.request(request) else { return };
        let Some(client) = r.client else { return };
        let links = r.attempts.clone();
        let never_sent = links.iter().all(|link| link.is_some_and(|link| self.servers.is_connecting(link)));
        match self.clients.check_connected(client, LOOK_MOST, self.clock.now()) {
            ClientState::Connected => {}
            ClientState::Disconnected => self.client_leaves(client),
            ClientState::Unknown => {
                self.answer(request, if never_sent { 503 } else { 502 }, None, AnsweredHere::ClientUnseen);
                self.client_disconnected(request);
            }
        }
    }

    pub(super) fn carry_out(&mut self, decision: Decision) {
        if let Decision::Send { request, .. } = decision {
            self.look_for_client(request);
        }
        let (now, turn) = (self.turn.now, &mut self.turn);
        match decision {
            Decision::Send { request, endpoint, give_up } => {
                let Some(r) = self.request(request) else { return };
                let (client, carried) =
                    (r.client, ActiveAttempt { request, attempt: r.attempts.len(), give_up });
                // Who has just left is sent nothing for, and takes nothing from a budget.
                let within = client.is_some() && self.within_budgets(endpoint, carried.attempt > 0);
                let mut sent = if within {
                    self.attempt(client, endpoint, carried)
                } else {
                    Err(AttemptResult::NoCapacity)
                };
                if within && sent == Err(AttemptResult::NoCapacity) {
                    let mut brought = Vec::new();
                    if self.clients.evict(&mut self.turn, &mut brought) {
                        sent = self.attempt(client, endpoint, carried);
                    }
                    self.look_again.extend(brought);
                }
                self.trace_attempt(request, carried.attempt, endpoint, sent);
                let Some(r) = self.request(request) else { return };
                r.attempts.push(sent.ok());
                let brings = r.client.filter(|_| sent.is_ok());
                if let Err(ending) = sent {
                    self.balancer.outcome(now, request, carried.attempt, ending.outcome(), false);
                }
                if let Some(client) = brings {
                    self.pass_up(client);
                }
            }
            Decision::Reject { request, retry_after, reason } => {
                self.answer(request, 503, retry_after, AnsweredHere::GiveUpReason(reason));
            }
            Decision::Fail { request, reason } => {
                self.answer(request, 502, None, AnsweredHere::GiveUpReason(reason))
            }
            Decision::Cancel { request, attempt } => {
                let link = self.request(request).and_then(|r| r.attempts.get(attempt).copied().flatten());
                if let Some(key) = link {
                    let ended = self.servers.cancel(key, &mut self.turn);
                    self.ended(key, ended);
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
                self.states.forget(endpoint);
                self.servers.forget(endpoint, turn);
                self.endpoints.release(endpoint);
            }
            Decision::Wake { at } => turn.deadlines.add(at, Due::Wake),
            Decision::Subscribe => self.subscribe(),
            Decision::Probe { endpoint } => self.probe(endpoint),
            // The terms say that messages may not be sent: `launch.rs`.
            Decision::TellPeer { .. } => {}
        }
    }

    /// Logs that a request has come.
    fn trace_arrival(&mut self, request: usize, client: Key, left: Span) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let id =
            self.clients.message(client).map_or(String::new(), |message| trace::request_id(message.head));
        log::debug!("request {id}: taken, {:.0} ms left", left.secs() * 1e3);
        self.request(request).into_iter().for_each(|r| r.id.clone_from(&id));
    }

    /// Counts an attempt that is a retry, and logs any, with the version of the list that it was decided on.
    fn trace_attempt(
        &mut self,
        request: usize,
        attempt: usize,
        endpoint: usize,
        sent: Result<Key, AttemptResult>,
    ) {
        let Some(last) = self.request(request).map(|r| r.last_outcome) else { return };
        if let Some(last) = last {
            self.figures.retried(last);
        }
        if log::log_enabled!(log::Level::Debug) {
            let id = self.request(request).map_or("", |r| &r.id).to_string();
            let after = last.map_or(String::new(), |last| format!(", a retry after {}", last.name()));
            let result = sent.err().map_or(String::new(), |ending| format!(", not sent: {ending:?}"));
            let (version, name) = (self.list.version(), self.endpoints.name(endpoint));
            log::debug!("request {id}: attempt {attempt} to {name}, list version {version}{after}{result}");
        }
        if let Err(ending) = sent {
            self.end_attempt(request, ending);
        }
    }

    /// Counts how an attempt has ended, and logs it.
    fn trace_end(
        &mut self,
        request: usize,
        attempt: usize,
        endpoint: usize,
        ending: AttemptResult,
        sent: Moment,
    ) {
        self.end_attempt(request, ending);
        if log::log_enabled!(log::Level::Debug) {
            let id = self.request(request).map_or("", |r| &r.id).to_string();
            let took = self.turn.now.since(sent).secs() * 1e3;
            let name = self.endpoints.name(endpoint);
            log::debug!("request {id}: attempt {attempt} at {name} ended after {took:.0} ms: {ending:?}");
        }
    }

    fn end_attempt(&mut self, request: usize, ending: AttemptResult) {
        let outcome = ending.outcome();
        self.figures.attempt_ended(outcome);
        self.request(request).into_iter().for_each(|r| r.last_outcome = Some(outcome));
    }

    /// Whether the fleet's budgets allow one more attempt to this endpoint now.
    fn within_budgets(&mut self, endpoint: usize, again: bool) -> bool {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.is_limited()) else { return true };
        let (now, (connections, out)) = (self.clock.now(), self.servers.connection_counts(endpoint));
        self.servers.max_per_endpoint = fleet.connections_most(now);
        let started = self.servers.started_at(endpoint);
        let cold = started.is_some_and(|at| self.balancer.terms().warm_part(now.since(at)) < 1.0);
        let idle = self.servers.has_idle(endpoint);
        fleet.may_send(now, &Wish { again, cold, connections, out, idle })
    }

    pub(super) fn attempt(
        &mut self,
        client: Option<Key>,
        endpoint: usize,
        carried: ActiveAttempt,
    ) -> Result<Key, AttemptResult> {
        let message = client.and_then(|client| self.clients.message(client));
        let message = message.ok_or(AttemptResult::Cancelled { request_sent: false })?;
        self.servers.send(endpoint, carried, message, &mut self.turn)
    }

    pub(super) fn probe(&mut self, endpoint: usize) {
        let carried =
            ActiveAttempt { request: PROBE, attempt: endpoint, give_up: self.turn.now + PROBE_WAIT };
        let message = OutgoingRequest { head: PROBE_HEAD, body: b"", streamed_body: None };
        if self.servers.send(endpoint, carried, message, &mut self.turn).is_err() {
            self.balancer.probed(self.turn.now, endpoint, None);
        }
    }

    /// What a probe's answer says of the requests in hand.
    pub(super) fn probed(&mut self, endpoint: usize, key: Key, answer: Option<Frame>, long: bool) {
        let body = answer.and_then(|frame| self.servers.message(key, frame)).map(|(_, body)| body);
        let report = body.and_then(|body| std::str::from_utf8(body).ok());
        let load = report.and_then(|report| self.balancer.terms().load(report));
        self.balancer.probed(self.turn.now, endpoint, load);
        match answer {
            Some(_) if long => self.servers.close(key, &mut self.turn),
            Some(frame) => self.servers.release(key, frame, &mut self.turn),
            None => {}
        }
    }

    /// An answer of our own, if the client still waits for one.
    pub(super) fn answer(
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
        self.figures.answered_here(why);
        let id = self.request(request).map_or("", |r| &r.id);
        log::debug!("request {id}: answered {status} here, {}", why.name());
        self.count(method, if status == 503 { End::Rejected } else { End::Failed });
        let head = |out: &mut Vec<u8>, keep| http::write_own_response(out, status, retry_after, keep);
        self.clients.respond(client, head, b"", &mut self.turn);
        self.take_next(client);
    }
}
