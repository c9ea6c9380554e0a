//! File descriptors that run out: idle clients use them up, and service discovery, endpoints, operators and the
//! health check get theirs all the same.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use appledyke_sidecar::sidecar::MAX_SEND_AFTER_CLOSE;
use socket2::{Domain, Socket, Type};

use crate::stand_ins::{
    Client, Endpoint, OPEN, Sidecar, configuration, connecting, entry, list_of, ok, read_message,
    start_discovery, start_discovery_with, wait_until, with_admin_endpoint,
};

const HEALTH: &str = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
/// Longer than a connection is protected from being closed for room before its request is complete.
const PROTECTED_FOR: Duration = Duration::from_millis(1050);
/// Number of idle clients in most tests.
const CROWD: usize = 8;
/// Client connections in a process with the soft limit `LIMIT`, including one that is accepted before another is
/// closed.
const CLIENT_PLACES: usize = 23;
const LIMIT: u64 = 64;
/// More clients than could pass through these places within the test's timeout at one second for each filling.
const LONG_CROWD: usize = 400;
/// Interval between two bytes of a slow client, and a pause shorter than the one allowed.
const SLOWLY: Duration = Duration::from_millis(45);
const PAUSE: Duration = Duration::from_millis(90);
/// Attempts to write without a longer pause, which a busy machine may prevent.
const TRIES: usize = 20;
/// How long a new silent connection is protected while others wait to be accepted.
const SILENT_PROTECTED_FOR: Duration = Duration::from_millis(100);

/// The state in which idle clients keep their connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Idle {
    /// Nothing was sent.
    Silent,
    /// Between two requests.
    Rests,
    /// Half of a head was sent.
    HalfHead,
}

/// A client that has been answered and is idle.
fn idle_client(sidecar: &Sidecar) -> Client {
    let mut client = Client::connect(sidecar);
    client.send(HEALTH);
    assert_eq!(client.status(), "200");
    client
}

/// Accepted idle clients that may be closed to make room.
fn crowd(sidecar: &Sidecar, idle: Idle) -> Vec<Client> {
    let mut crowd: Vec<_> = (0..CROWD).map(|_| idle_client(sidecar)).collect();
    if idle == Idle::HalfHead {
        // No event to wait for: the protection simply has to expire.
        std::thread::sleep(PROTECTED_FOR);
        crowd.iter_mut().for_each(|client| client.send("GET /view/1 HT"));
    }
    crowd
}

/// Leaves this many descriptors free. Gaps below the highest socket are filled with idle clients.
fn leave_free(sidecar: &Sidecar, crowd: &mut Vec<Client>, descriptors: u64) {
    wait_until("none lies free below the last", || {
        sidecar.limit_free_descriptors(descriptors) || {
            crowd.push(idle_client(sidecar));
            false
        }
    });
}

/// How many of these were closed: without a response, except for those with half a head, which are told to retry.
fn closed_count(crowd: &mut [Client], idle: Idle) -> usize {
    let ended: Vec<_> = crowd.iter_mut().zip(0..).filter(|(client, _)| !client.is_idle()).collect();
    let each = ended.into_iter().map(|(client, place)| {
        if idle == Idle::HalfHead && place < CROWD {
            let answer = client.answer();
            assert!(is_retryable_rejection(&answer), "it is told {answer}");
        }
        assert!(client.closed(), "it is told something");
    });
    each.count()
}

/// Whether this response says that the request was not processed, when to retry, and that the connection closes.
fn is_retryable_rejection(answer: &str) -> bool {
    let says = |line| answer.contains(line);
    answer.starts_with("HTTP/1.1 503 ") && says("Retry-After: ") && says("Connection: close")
}

/// A fake discovery service that closes each call at once until it is switched on. From then on calls are passed to
/// the test.
fn switchable_discovery() -> (SocketAddr, Arc<AtomicBool>, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let up = Arc::new(AtomicBool::new(false));
    let (tell, calls) = channel();
    let is_up = up.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_up.load(Ordering::SeqCst) {
                read_message(&mut BufReader::new(&stream));
                if tell.send(stream).is_err() {
                    return;
                }
            }
        }
    });
    (at, up, calls)
}

/// A configuration with these endpoints in the known list and an admin endpoint; the discovery service is down.
fn settings(endpoints: &[SocketAddr]) -> (String, Arc<AtomicBool>, Receiver<TcpStream>) {
    let (at, up, calls) = switchable_discovery();
    let entries: Vec<_> =
        endpoints.iter().zip(0..).map(|(at, cell)| entry(&format!("e{cell}"), *at, cell, "up")).collect();
    (with_admin_endpoint(&configuration(at, 1024, &list_of(1, true, &entries))), up, calls)
}

/// Runs the test for each idle state with 0, 1 and 2 free descriptors.
fn for_each_case(mut play: impl FnMut(Idle, u64)) {
    for idle in [Idle::Rests, Idle::HalfHead] {
        (0..=2).for_each(|free| play(idle, free));
    }
}

/// Danger: where the process's soft limit is below the configured one, clients used up all descriptors, and neither
/// discovery nor an endpoint, an operator or the configuration file could be opened.
#[test]
fn clients_leave_room_within_the_limit_of_the_process_itself() {
    for idle in [Idle::Silent, Idle::Rests, Idle::HalfHead] {
        let endpoint = Endpoint::start(|_| ok("menu"));
        let (text, up, calls) = settings(&[endpoint.at]);
        let sidecar = Sidecar::start_within(&text, 64);
        // Of 30 connections clients may have 22, and one more that is accepted before another is closed.
        let crowd: Vec<_> = (0..70)
            .map(|_| {
                let mut client = Client::connect(&sidecar);
                match idle {
                    Idle::Silent => {}
                    Idle::Rests => client.send(HEALTH),
                    Idle::HalfHead => client.send("GET /view/1 HT"),
                }
                client
            })
            .collect();
        wait_until("it is full", || sidecar.descriptors().0 >= 30);
        let mut new = Client::connect(&sidecar);
        new.send(HEALTH);
        let mut most = 0;
        wait_until("the health check is answered", || {
            most = most.max(sidecar.descriptors().0);
            !new.is_idle()
        });
        assert_eq!(new.status(), "200", "{idle:?}");
        new.view();
        assert!(new.answer().ends_with("menu"), "{idle:?}");
        assert!(sidecar.admin_command("show-stat\n").ends_with("EOF\n"), "{idle:?}");
        sidecar.signal("-HUP");
        wait_until("read again", || sidecar.metric("sidecar_config_reloads") == 1);
        up.store(true, Ordering::SeqCst);
        calls.recv_timeout(Duration::from_secs(6)).expect("the list is called");
        // The fixed descriptors, discovery's, and those reserved for admin connections: clients never use these.
        assert!(most <= 64 - 18, "{idle:?}: {most} open");
        drop(crowd);
    }
}

/// Danger: a process whose soft limit is below the reserved descriptors did not start, although it can serve.
#[test]
fn a_process_that_may_open_less_than_is_kept_serves() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let (text, ..) = settings(&[endpoint.at]);
    let sidecar = Sidecar::start_within(&text, 24);
    let crowd: Vec<_> = (0..20).map(|_| Client::connect(&sidecar)).collect();
    drop(idle_client(&sidecar));
    // A new client is protected, also from a request that needs a connection: until the crowd may be closed the
    // request may be told to retry. Danger: a client that has been answered is not protected, and on a busy machine
    // it was closed for another before it sent the next request.
    wait_until("it is served", || {
        let came = Instant::now();
        let mut client = Client::connect(&sidecar);
        let sent = client.try_order();
        let late = came.elapsed() >= SILENT_PROTECTED_FOR;
        let answer = if sent { client.answer() } else { String::new() };
        let answered = answer.ends_with("menu") || answer.starts_with("HTTP/1.1 503 ");
        assert!(answered || answer.is_empty() && late, "{answer}");
        answer.ends_with("menu")
    });
    assert!(sidecar.admin_command("show-stat\n").ends_with("EOF\n"));
    drop(crowd);
}

/// Danger: each client of a silent crowd was protected for a second, and the health check waited behind all that came
/// before it.
#[test]
fn the_health_check_does_not_wait_for_long_behind_a_crowd_that_says_nothing() {
    let (text, ..) = settings(&[]);
    let sidecar = Sidecar::start_within(&text, 64);
    // At one second for each filling of the 22 places they would take 18 s, longer than the tests wait.
    let crowd: Vec<_> = (0..400).map(|_| Client::connect(&sidecar)).collect();
    let mut check = Client::connect(&sidecar);
    check.send(HEALTH);
    assert_eq!(check.status(), "200");
    drop(crowd);
}

/// A crowd of clients that send half a head each and then pause.
fn crowd_of_half_heads(sidecar: &Sidecar) -> Vec<Client> {
    let half_head = |_| {
        let mut client = Client::connect(sidecar);
        client.send("GET /view/1 HT");
        client
    };
    (0..LONG_CROWD).map(half_head).collect()
}

/// Danger: each client of a crowd that sends half a head and pauses was protected for a second, and the health check
/// waited behind all that came before it.
#[test]
fn the_health_check_does_not_wait_for_long_behind_a_crowd_of_half_heads() {
    let (text, ..) = settings(&[]);
    let sidecar = Sidecar::start_within(&text, LIMIT);
    let mut crowd = crowd_of_half_heads(&sidecar);
    let mut check = Client::connect(&sidecar);
    check.send(HEALTH);
    assert_eq!(check.status(), "200");
    // Clients closed for it were told to retry. The last ones may have timed out meanwhile.
    let told = crowd.iter_mut().filter(|client| !client.is_idle()).map(|client| client.answer());
    let (come_again, others): (Vec<_>, Vec<_>) = told.partition(|answer| is_retryable_rejection(answer));
    assert!(come_again.len() >= LONG_CROWD - CLIENT_PLACES, "{}", come_again.len());
    assert!(others.iter().all(|answer| answer.starts_with("HTTP/1.1 408 ")), "{others:?}");
}

/// Danger: a connect that finds the backlog full is dropped, and retransmitted by its kernel after 1, 3 and 7 s,
/// behind whoever connects meanwhile.
#[test]
fn a_crowd_waits_in_the_backlog_whether_or_not_there_is_a_second_address() {
    let plain = configuration(start_discovery().0, 1024, "null");
    for text in [with_admin_endpoint(&plain), plain] {
        let sidecar = Sidecar::start(&text);
        let mut crowd = Vec::new();
        sidecar.in_one_turn(|| {
            crowd.extend((0..LONG_CROWD).map(|_| {
                let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
                socket.set_nonblocking(true).unwrap();
                let _ = socket.connect(&sidecar.at.into());
                socket
            }));
            wait_until("all are connected", || connecting(sidecar.at.port()) == 0);
        });
    }
}

/// Danger: a slow writer is older than a crowd that connects after it and was closed before all of that; and once
/// older than the protection it was closed together with the crowd.
#[test]
fn a_client_that_writes_slowly_is_served_beside_a_crowd_of_half_heads() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let (text, ..) = settings(&[endpoint.at]);
    for _ in 0..TRIES {
        let sidecar = Sidecar::start_within(&text, LIMIT);
        let mut slow = TcpStream::connect(sidecar.at).unwrap();
        slow.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let (mut crowd, pause) = std::thread::scope(|scope| {
            let crowd = scope.spawn(|| crowd_of_half_heads(&sidecar));
            let (mut wrote, mut pause) = (Instant::now(), Duration::ZERO);
            for byte in b"GET /view/1 HTTP/1.1\r\nX-Txn: 1\r\n\r\n" {
                // A client rejected meanwhile reads that below.
                let _ = slow.write_all(&[*byte]);
                pause = pause.max(wrote.elapsed());
                wrote = Instant::now();
                std::thread::sleep(SLOWLY);
            }
            (crowd.join().unwrap(), pause)
        });
        let answer = read_message(&mut BufReader::new(&slow));
        let turned_away = crowd.iter_mut().filter(|client| !client.is_idle()).count();
        if pause < PAUSE && turned_away > CLIENT_PLACES {
            return assert!(answer.ends_with("menu"), "{answer}");
        }
    }
    panic!("the machine is too busy to write slowly");
}

/// Danger: an admin connection that found no descriptor causes no further event, and waited for the next connection.
#[test]
fn an_operator_is_answered_when_no_descriptor_is_free() {
    for_each_case(|idle, free| {
        let (sidecar, _watch) = start_with_watch(&[]);
        let mut crowd = crowd(&sidecar, idle);
        leave_free(&sidecar, &mut crowd, free);
        let mut callers: Vec<_> = (0..2).map(|_| sidecar.admin_connection()).collect();
        for caller in &mut callers {
            caller.write_all(b"show-stat\n").unwrap();
            let mut answer = String::new();
            caller.read_to_string(&mut answer).unwrap();
            assert!(answer.ends_with("EOF\n"), "{idle:?}, {free} free: {answer}");
        }
        // One for each, and one more for the check whether another waits.
        assert!(closed_count(&mut crowd, idle) <= 3, "{idle:?}, {free} free");
    });
}

/// Danger: a process without free descriptors answered its health check only once idle clients had timed out.
#[test]
fn the_health_check_is_answered_when_no_descriptor_is_free() {
    for_each_case(|idle, free| {
        let (sidecar, _watch) = start_with_watch(&[]);
        let mut crowd = crowd(&sidecar, idle);
        leave_free(&sidecar, &mut crowd, free);
        let mut checks: Vec<_> = (0..2).map(|_| Client::connect(&sidecar)).collect();
        for check in &mut checks {
            check.send(HEALTH);
            assert_eq!(check.status(), "200", "{idle:?}, {free} free");
        }
        // One for each, and one more for the check whether another waits.
        assert!(closed_count(&mut crowd, idle) <= 3, "{idle:?}, {free} free");
    });
}

/// Danger: each discovery call that found no descriptor counted as a failure of the service, so the delay grew, and
/// the call was never made while clients held all descriptors.
#[test]
fn the_list_is_called_when_no_descriptor_is_free() {
    for_each_case(|idle, free| {
        let (text, up, calls) = settings(&[]);
        let sidecar = Sidecar::start(&text);
        let mut crowd = crowd(&sidecar, idle);
        leave_free(&sidecar, &mut crowd, free);
        up.store(true, Ordering::SeqCst);
        let mut watch = calls.recv_timeout(Duration::from_secs(5)).expect("it is called");
        let gone = closed_count(&mut crowd, idle);
        // One may have been closed for a call that was pending before.
        assert!(gone <= 2, "{idle:?}, {free} free: {gone} gone");
        watch.write_all(OPEN).unwrap();
    });
}

/// Danger: a request whose endpoint connection could not be opened was rejected while other clients were idle.
#[test]
fn a_request_is_sent_when_no_descriptor_is_free() {
    for_each_case(|idle, free| {
        let endpoint = Endpoint::start(|_| ok("menu"));
        let (sidecar, _watch) = start_with_watch(&[endpoint.at]);
        let mut client = idle_client(&sidecar);
        let mut crowd = crowd(&sidecar, idle);
        // It is not the one that has been idle for longest.
        client.send(HEALTH);
        assert_eq!(client.status(), "200");
        leave_free(&sidecar, &mut crowd, free);
        client.view();
        assert!(client.answer().ends_with("menu"), "{idle:?}, {free} free");
    });
}

/// Holds back the responses to marked requests.
#[derive(Clone, Default)]
struct Hold(Arc<(Mutex<bool>, Condvar)>);

impl Hold {
    fn endpoint(&self, body: &'static str) -> Endpoint {
        let hold = self.clone();
        Endpoint::start(move |request| {
            if request.contains("X-Txn: held") {
                drop(hold.0.1.wait_while(hold.0.0.lock().unwrap(), |may| !*may).unwrap());
            }
            ok(body)
        })
    }

    fn release(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }
}

/// A sidecar with an open watch, and the stream that keeps it open. Requests stay in flight for as long as a test may
/// take.
fn start_with_watch(endpoints: &[SocketAddr]) -> (Sidecar, TcpStream) {
    let (text, up, calls) = settings(endpoints);
    let text = text.replace("\"latencyBudgetNs\":2000000000", "\"latencyBudgetNs\":200000000000");
    let text = text.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":300000000000");
    up.store(true, Ordering::SeqCst);
    let sidecar = Sidecar::start(&text);
    let mut watch = calls.recv_timeout(Duration::from_secs(6)).expect("it is called");
    watch.write_all(OPEN).unwrap();
    // Its heartbeats continue, so that discovery does not free a descriptor.
    let mut beats = watch.try_clone().unwrap();
    std::thread::spawn(move || {
        while beats.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    (sidecar, watch)
}

/// Starts clients with requests in flight until no descriptor is free below the highest socket.
fn fill_with_requests(sidecar: &Sidecar, endpoints: &[&Endpoint]) -> Vec<Client> {
    let mut held = Vec::new();
    while held.is_empty() || sidecar.descriptors().1 > 0 {
        let mut client = Client::connect(sidecar);
        client.send(format!("GET /view/1 HTTP/1.1\r\nX-Txn: held{}\r\n\r\n", held.len()));
        wait_until("it is sent", || endpoints.iter().any(|endpoint| endpoint.requests.try_recv().is_ok()));
        held.push(client);
    }
    held
}

/// Danger: while all clients had requests in flight, an idle connection to one endpoint kept the descriptor needed
/// for another endpoint.
#[test]
fn an_idle_connection_to_an_endpoint_goes_for_one_to_another() {
    let hold = Hold::default();
    let (one, other) = (hold.endpoint("one"), hold.endpoint("other"));
    let (sidecar, _watch) = start_with_watch(&[one.at, other.at]);
    let mut client = Client::connect(&sidecar);
    let mut held = fill_with_requests(&sidecar, &[&one, &other]);
    client.view();
    let first = client.answer();
    assert!(sidecar.limit_free_descriptors(0), "{:?}", sidecar.descriptors());
    wait_until("another endpoint answers", || {
        client.view();
        let answer = client.answer();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        answer != first
    });
    hold.release();
    held.iter_mut().for_each(|client| assert_eq!(client.status(), "200"));
}

/// Danger: a reload requested while no file could be opened was never done.
#[test]
fn settings_are_read_again_when_no_descriptor_is_free() {
    for_each_case(|idle, free| {
        let (sidecar, _watch) = start_with_watch(&[]);
        let mut crowd = crowd(&sidecar, idle);
        let (at, calls) = start_discovery();
        let other = with_admin_endpoint(&configuration(at, 1024, "null"));
        std::fs::write(&sidecar.file, other).unwrap();
        leave_free(&sidecar, &mut crowd, free);
        sidecar.signal("-HUP");
        calls.recv_timeout(Duration::from_secs(6)).expect("the other service is called");
        assert_eq!(sidecar.metric("sidecar_config_reload_errors"), 0, "{idle:?}, {free} free");
    });
}

/// Danger: a client waiting in the backlog causes no further event, and was not accepted once a descriptor became
/// free. Retrying without a pause would take the CPU from everything else.
#[test]
fn who_waits_outside_is_taken_once_a_descriptor_comes_free_and_nothing_spins() {
    let hold = Hold::default();
    let endpoint = hold.endpoint("menu");
    let (sidecar, _watch) = start_with_watch(&[endpoint.at]);
    let mut busy = fill_with_requests(&sidecar, &[&endpoint]);
    assert!(sidecar.limit_free_descriptors(0), "{:?}", sidecar.descriptors());
    let mut operator = sidecar.admin_connection();
    operator.write_all(b"show-stat\n").unwrap();
    let mut check = Client::connect(&sidecar);
    check.send(HEALTH);
    let used = sidecar.cpu();
    std::thread::sleep(Duration::from_secs(1));
    assert!(sidecar.cpu() - used < 0.2, "{} s", sidecar.cpu() - used);
    assert!(check.is_idle());
    sidecar.signal("-HUP");
    hold.release();
    assert_eq!(check.status(), "200");
    let mut answer = String::new();
    operator.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("EOF\n"), "{answer}");
    busy.iter_mut().for_each(|client| assert_eq!(client.status(), "200"));
    wait_until("read again", || sidecar.metric("sidecar_config_reloads") == 1);
    assert_eq!(sidecar.metric("sidecar_config_reload_errors"), 0);
}

/// Danger: a client that disconnected in the backlog, behind more unread data than the kernel buffers hold, cannot be
/// seen to be gone, and its first request was sent however long ago that was.
#[test]
fn who_leaves_while_it_waits_outside_behind_more_than_the_machine_takes_is_sent_nothing() {
    let hold = Hold::default();
    let endpoint = hold.endpoint("menu");
    let (sidecar, _watch) = start_with_watch(&[endpoint.at]);
    let mut busy = fill_with_requests(&sidecar, &[&endpoint]);
    assert!(sidecar.limit_free_descriptors(0), "{:?}", sidecar.descriptors());
    let mut leaves = Client::connect(&sidecar);
    assert!(leaves.flood("GET /view/1 HTTP/1.1\r\nX-Txn: 77\r\n\r\n", 1_000_000) >= 300_000);
    drop(leaves);
    std::thread::sleep(Duration::from_nanos(MAX_SEND_AFTER_CLOSE.nanos()));
    // It is behind that one in the backlog.
    let mut check = Client::connect(&sidecar);
    check.send(HEALTH);
    hold.release();
    assert_eq!(check.status(), "200");
    busy.iter_mut().for_each(|client| assert_eq!(client.status(), "200"));
    // The first response comes in the turn in which it is read, the second in a later one.
    (0..2).for_each(|_| sidecar.wait_pending(0));
    assert_eq!(sidecar.metric("sidecar_upstream_requests"), busy.len() as u64);
}

/// Danger: a request that waited in the backlog of a full process is read long after its last byte; its attempt
/// passed the client's whole original time to the endpoint.
#[test]
fn a_request_that_waits_outside_tells_no_more_time_than_is_left() {
    let hold = Hold::default();
    let endpoint = hold.endpoint("menu");
    let (sidecar, _watch) = start_with_watch(&[endpoint.at]);
    let mut busy = fill_with_requests(&sidecar, &[&endpoint]);
    assert!(sidecar.limit_free_descriptors(0), "{:?}", sidecar.descriptors());
    let mut waits = Client::connect(&sidecar);
    waits.send("GET /view/1 HTTP/1.1\r\nX-Txn: late\r\nX-Remaining-Ms: 2900\r\n\r\n");
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(700));
    let waited = sent.elapsed().as_millis();
    hold.release();
    assert_eq!(waits.status(), "200");
    busy.iter_mut().for_each(|client| assert_eq!(client.status(), "200"));
    let attempts = std::iter::from_fn(|| endpoint.requests.try_recv().ok());
    let late = attempts.filter(|attempt| attempt.contains("X-Txn: late")).last().expect("its attempt");
    let told = late.lines().find_map(|line| line.strip_prefix("X-Remaining-Ms: ")).expect("a time");
    assert!(told.trim().parse::<u128>().unwrap() + waited <= 2900 + 50, "{told} after {waited}");
}

/// Danger: a process without a descriptor to check with believed to be alone at its address, and on shutdown it
/// failed the health check of an address that another process serves.
#[test]
fn who_leaves_with_no_descriptor_free_sees_that_another_serves() {
    let folder = std::env::temp_dir().join(format!("appledyke-descriptors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let variables = [("TMPDIR", folder.to_str().unwrap())];
    let text =
        with_admin_endpoint(&configuration(start_discovery_with(&list_of(1, true, &[])), 1024, "null"));
    let old = Sidecar::start_with(&text, &variables);
    wait_until("it is ready", || old.admin_command("ready\n").starts_with("200 "));
    let mut crowd = crowd(&old, Idle::Rests);
    let mut check = idle_client(&old);
    let beside = format!("\"listen\":\"{}\"", old.at);
    let new = Sidecar::start_with(&text.replace("\"listen\":\"127.0.0.1:0\"", &beside), &variables);
    wait_until("the new one is ready", || new.admin_command("ready\n").starts_with("200 "));
    // The old process checks for others before it answers, so it knows of the new one by then.
    assert!(old.admin_command("ready\n").starts_with("200 "));
    leave_free(&old, &mut crowd, 0);
    old.signal("-TERM");
    // During shutdown connections close with their responses.
    wait_until("it leaves", || {
        check.send(HEALTH);
        let answer = check.answer();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        answer.contains("Connection: close")
    });
    drop((old, new));
    std::fs::remove_dir_all(&folder).unwrap();
}
