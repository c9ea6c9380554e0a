//! Responses of unknown length that pause: endpoints may take seconds between two pieces of a long response, and what they
//! still send must not be held back or cut off.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::messages::{body, connect, head, raw, unchunked};
use crate::stand_ins::{
    Sidecar, configuration, entry, list_of, ok, start_discovery, wait_until, with_admin_endpoint,
};

/// The length of a response's body, more than is ever buffered as a whole; and of its first piece.
const RESPONSE: usize = 120_000;
const FIRST_PIECE: usize = 20_000;
/// How long an endpoint pauses: past the deadline of 3 s that the client's request has.
const PAUSE: Duration = Duration::from_millis(3500);
/// The operators' limit on how long the first part of a response may be held back.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// The body of each request.
const ORDER: &str = "soup";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nX-Ends: with the connection\r\n\r\n";

const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Where an endpoint pauses in its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Between two chunks.
    Chunks,
    /// In the data of a chunk.
    WithinChunk,
    /// In the size line of the second chunk.
    WithinSizeLine,
    /// After the head of a chunked response.
    HeadAlone,
    /// Between two chunks of a response behind an interim one.
    BehindInterim,
    /// In a body that is delimited by the connection's close.
    UntilClose,
    /// After the head of such a response.
    HeadUntilClose,
}

impl Form {
    const ALL: [Form; 7] = [
        Form::Chunks,
        Form::WithinChunk,
        Form::WithinSizeLine,
        Form::HeadAlone,
        Form::BehindInterim,
        Form::UntilClose,
        Form::HeadUntilClose,
    ];

    /// The bytes of the response before its pause and after it.
    fn parts(self) -> (Vec<u8>, Vec<u8>) {
        let chunk = |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
        let (first, rest) = body(RESPONSE).split_at(FIRST_PIECE);
        let last = b"0\r\n\r\n";
        let chunks = [CHUNKED.as_bytes(), &chunk(first), &chunk(rest), last].concat();
        let between = CHUNKED.len() + chunk(first).len();
        // Small chunks, as the size line of a large one says at once that the response is long.
        let small: Vec<u8> = body(RESPONSE).chunks(30_000).flat_map(chunk).collect();
        let small = [CHUNKED.as_bytes(), &small, last].concat();
        let until_close = [UNTIL_CLOSE.as_bytes(), body(RESPONSE)].concat();
        let (bytes, pause_at) = match self {
            Form::Chunks => (chunks, between),
            Form::WithinChunk => (small, CHUNKED.len() + FIRST_PIECE),
            Form::WithinSizeLine => (chunks, between + 2),
            Form::HeadAlone => (chunks, CHUNKED.len()),
            Form::BehindInterim => {
                let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                ([interim.as_slice(), &chunks].concat(), interim.len() + between)
            }
            Form::UntilClose => (until_close, UNTIL_CLOSE.len() + FIRST_PIECE),
            Form::HeadUntilClose => (until_close, UNTIL_CLOSE.len()),
        };
        (bytes[..pause_at].to_vec(), bytes[pause_at..].to_vec())
    }
}

/// An endpoint that sends a response in this form to each request: its first part after `delay`, the rest after a pause.
/// It turns away requests for `/order/turned-away`.
fn pausing_endpoint(form: Form, delay: Duration) -> SocketAddr {
    let (first, rest) = form.parts();
    raw(move |mut stream| {
        let request = head(&mut stream);
        // Danger: a close over unread bytes would reset the connection, and a reset does not end a response.
        stream.read_exact(&mut [0; ORDER.len()]).unwrap();
        if request.starts_with("POST /order/turned-away ") {
            return stream.write_all(TURNED_AWAY).unwrap();
        }
        std::thread::sleep(delay);
        stream.write_all(&first).unwrap();
        std::thread::sleep(PAUSE);
        // Fails if the sidecar has cut it off; the client's side of the test reports that.
        let _ = stream.write_all(&rest);
    })
}

/// What a client got.
struct Received {
    head: String,
    /// When the head had arrived, from the request on.
    began: Duration,
    data: Vec<u8>,
    whole: bool,
}

impl Received {
    fn assert_whole(&self, case: &str) {
        assert!(self.head.starts_with("HTTP/1.1 200 "), "{case}: {}", self.head);
        assert!(self.whole && self.data == body(RESPONSE), "{case}: {} bytes", self.data.len());
    }
}

/// Sends a keyed order, which is tried at one endpoint only.
fn send_order(sidecar: &Sidecar) -> TcpStream {
    send_order_to(sidecar, "/order/1")
}

fn send_order_to(sidecar: &Sidecar, path: &str) -> TcpStream {
    let mut client = connect(sidecar);
    let id = client.local_addr().unwrap().port();
    let order = format!("POST {path} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: {id}\r\n");
    write!(client, "{order}Connection: close\r\nContent-Length: {}\r\n\r\n{ORDER}", ORDER.len()).unwrap();
    client
}

fn receive(mut client: TcpStream) -> Received {
    let sent = Instant::now();
    let head = head(&mut client);
    let began = sent.elapsed();
    let mut bytes = Vec::new();
    let _ = client.read_to_end(&mut bytes);
    let (data, whole) = unchunked(&bytes);
    Received { head, began, data, whole }
}

/// Runs a check for all forms at the same time, as each takes seconds.
fn for_all_forms(check: impl Fn(Form) + Sync) {
    std::thread::scope(|scope| {
        for form in Form::ALL {
            let check = &check;
            scope.spawn(move || check(form));
        }
    });
}

/// Guards against a response of unknown length being held back for as long as its endpoint pauses, and then cut off.
#[test]
fn a_response_that_pauses_is_passed_on_and_not_cut_off() {
    for_all_forms(|form| {
        let sidecar = Sidecar::start_with_endpoints(&[pausing_endpoint(form, Duration::ZERO)]);
        let received = receive(send_order(&sidecar));
        received.assert_whole(&format!("{form:?}"));
        assert!(received.began < MAX_HOLD, "{form:?}: {:?}", received.began);
    });
}

/// Guards against a response that began in time being cut off at its deadline, because it is still held back then.
#[test]
fn a_response_that_begins_just_before_its_deadline_is_not_cut_off() {
    for_all_forms(|form| {
        let sidecar = Sidecar::start_with_endpoints(&[pausing_endpoint(form, Duration::from_millis(2600))]);
        receive(send_order(&sidecar)).assert_whole(&format!("{form:?}"));
    });
}

/// Guards against a response that pauses being abandoned for a retry at the next endpoint, where it pauses as well.
#[test]
fn a_response_that_pauses_is_not_abandoned_for_a_retry() {
    let (tell, requests) = std::sync::mpsc::channel();
    let (first, rest) = Form::Chunks.parts();
    let endpoint = move |mut stream: TcpStream| {
        let request = head(&mut stream);
        if request.starts_with("GET /view/quick ") {
            return stream.write_all(ok("menu").unwrap().as_bytes()).unwrap();
        }
        tell.send(request).unwrap();
        stream.write_all(&first).unwrap();
        std::thread::sleep(PAUSE);
        let _ = stream.write_all(&rest);
    };
    let sidecar = Sidecar::start_with_endpoints(&[raw(endpoint.clone()), raw(endpoint)]);
    let view = |path: &str| {
        let mut client = connect(&sidecar);
        let id = client.local_addr().unwrap().port();
        write!(client, "GET /view/{path} HTTP/1.1\r\nX-Txn: {id}\r\nConnection: close\r\n\r\n").unwrap();
        client
    };
    // Attempts time out early for a retry once the usual latency is known and the retry budget is half full.
    for _ in 0..30 {
        assert!(head(&mut view("quick")).starts_with("HTTP/1.1 200 "));
    }
    receive(view("slow")).assert_whole("retryable");
    assert_eq!(requests.try_iter().count(), 1);
}

/// A sidecar with one endpoint, whose deadlines and latency budgets are replaced by these, in milliseconds.
fn start_with_times(at: SocketAddr, deadline_ms: u64, budget_ms: u64) -> Sidecar {
    let text = configuration(start_discovery().0, 1024, &list_of(1, true, &[entry("e0", at, 0, "up")]));
    let text = text.replace("\"deadlineNs\":3000000000", &format!("\"deadlineNs\":{deadline_ms}000000"));
    let text =
        text.replace("\"latencyBudgetNs\":2000000000", &format!("\"latencyBudgetNs\":{budget_ms}000000"));
    Sidecar::start(&with_admin_endpoint(
        &text.replace("\"overdueCriticality\":0.5", "\"overdueCriticality\":0.0"),
    ))
}

/// Guards against the balancer giving up a request whose response has begun in time: after an endpoint has turned requests
/// away its attempts are given the client's whole deadline, and the balancer cancels them at the latency budget.
#[test]
fn a_response_that_has_begun_is_not_given_up_by_the_balancer() {
    for_all_forms(|form| {
        let endpoint = pausing_endpoint(form, Duration::from_millis(3200));
        let sidecar = start_with_times(endpoint, 10_000, 4000);
        assert!(head(&mut send_order_to(&sidecar, "/order/turned-away")).starts_with("HTTP/1.1 503 "));
        receive(send_order(&sidecar)).assert_whole(&format!("{form:?}"));
        assert_eq!(sidecar.metric("sidecar_answered_here{reason=\"time_over\"}"), 0, "{form:?}");
    });
}

/// Guards against a shutdown answering 502 to a request whose response has begun, though its endpoint still sends.
#[test]
fn a_response_that_has_begun_is_not_cut_off_by_a_shutdown() {
    for_all_forms(|form| {
        // A shutdown waits for 3.4 s at most before it answers what is open.
        let endpoint = pausing_endpoint(form, Duration::from_millis(2700));
        let mut sidecar = start_with_times(endpoint, 6000, 6000);
        let client = send_order(&sidecar);
        sidecar.wait_pending(1);
        sidecar.signal("-TERM");
        receive(client).assert_whole(&format!("{form:?}"));
        assert!(sidecar.end().success(), "{form:?}");
    });
}

/// Guards against an endpoint that hangs in the middle of its responses counting as one that serves, as the first parts of
/// its responses are passed on.
#[test]
fn an_endpoint_that_hangs_in_the_middle_of_a_response_is_avoided() {
    for hangs in [true, false] {
        let endpoint = raw(move |mut stream| {
            head(&mut stream);
            stream.write_all(CHUNKED.as_bytes()).unwrap();
            while stream.write_all(b"4\r\nmenu\r\n").is_ok() {
                std::thread::sleep(if hangs { Duration::from_secs(60) } else { Duration::from_millis(50) });
            }
        });
        let sidecar = start_with_times(endpoint, 3000, 2000);
        let mut client = send_order(&sidecar);
        assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
        // It has been passed on because it was buffered for long enough, so its endpoint has hung for as long.
        drop(client);
        let begun = Instant::now();
        if hangs {
            wait_until("it is avoided", || sidecar.metric("sidecar_members_unavailable") == 1);
            continue;
        }
        // A client that leaves in the middle of a response that arrives says nothing about the endpoint.
        while begun.elapsed() < Duration::from_millis(500) {
            assert_eq!(sidecar.metric("sidecar_members_unavailable"), 0);
        }
    }
}
