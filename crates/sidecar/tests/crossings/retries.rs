//! Attempts that end, and the events that can coincide with that: a request that may have run and is unsafe to repeat
//! is sent once.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use crate::stand_ins::{
    Client, Endpoint, OPEN, Sidecar, configuration, connections, entry, list_of, ok, read_message,
    start_discovery, wait_until, watch_line, with_admin_endpoint,
};

/// A sidecar with these endpoints, configured so that `view` is unsafe to repeat.
fn start_with_unsafe_view(endpoints: &[(&str, std::net::SocketAddr)]) -> Sidecar {
    let entries: Vec<_> = endpoints.iter().map(|(name, at)| entry(name, *at, 0, "up")).collect();
    let text = with_admin_endpoint(&configuration(start_discovery().0, 1024, &list_of(1, true, &entries)));
    Sidecar::start(&text.replace("\"effect\":\"retryable\"", "\"effect\":\"fragile\""))
}

fn post(client: &mut Client, id: &str) {
    client.send(format!("POST /view/1 HTTP/1.1\r\nX-Txn: {id}\r\nContent-Length: 2\r\n\r\nso"));
}

/// Danger: an unsafe request that is retried after it may have run has its effect twice.
#[test]
fn what_is_unsafe_to_repeat_goes_out_once_however_its_attempt_ends() {
    for how in [
        "",
        "HTTP/1.1 100 Continue\r\nX: close\r\n\r\n",
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nme",
        "SMTP\r\n\r\n",
    ] {
        // The connection closes without a response, or after one that announces it.
        let both = [(); 2].map(|()| Endpoint::start(move |_| (!how.is_empty()).then(|| how.to_string())));
        let sidecar = start_with_unsafe_view(&[("e0", both[0].at), ("e1", both[1].at)]);
        let mut client = Client::connect(&sidecar);
        post(&mut client, "once");
        assert_eq!(client.status(), "502", "{how}");
        let sent = both
            .iter()
            .flat_map(|endpoint| endpoint.requests.try_iter())
            .filter(|request| request != "end")
            .count();
        assert_eq!(sent, 1, "{how}");
    }
    // A request rejected by the endpoint never ran, and is retried.
    let turned = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    let (away, good) = (Endpoint::start(move |_| Some(turned.to_string())), Endpoint::start(|_| ok("menu")));
    let sidecar = start_with_unsafe_view(&[("e0", away.at), ("e1", good.at)]);
    let mut client = Client::connect(&sidecar);
    for id in ["a", "b", "c", "d"] {
        post(&mut client, id);
        assert_eq!(client.status(), "200");
    }
}

/// An endpoint that answers its first request, closes the connection when told to, and serves all later requests.
fn closable_endpoint() -> (std::net::SocketAddr, Sender<()>, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let ((tell, requests), (go, may)) = (channel(), channel());
    std::thread::spawn(move || {
        let serve = |stream: &mut TcpStream| {
            let request = read_message(&mut std::io::BufReader::new(&*stream));
            let there = !request.is_empty();
            let _ = tell.send(request);
            there && stream.write_all(ok("menu").unwrap().as_bytes()).is_ok()
        };
        let (mut first, _) = listener.accept().unwrap();
        serve(&mut first);
        may.recv().unwrap();
        drop(first);
        for mut stream in listener.incoming().flatten() {
            while serve(&mut stream) {}
        }
    });
    (at, go, requests)
}

/// Danger: after a request was written to a connection that its endpoint had closed, it is unknown whether it ran.
#[test]
fn an_idle_connection_that_ends_in_the_turn_of_a_request_is_not_used() {
    let (at, go, requests) = closable_endpoint();
    let sidecar = start_with_unsafe_view(&[("e0", at)]);
    let mut client = Client::connect(&sidecar);
    post(&mut client, "first");
    assert_eq!(client.status(), "200");
    wait_until("it is idle", || connections(None, at.port(), "01") == 1);
    sidecar.in_one_turn(|| {
        post(&mut client, "second");
        go.send(()).unwrap();
        wait_until("the idle one has ended", || connections(None, at.port(), "01") == 0);
    });
    assert_eq!(client.status(), "200");
    assert_eq!(requests.try_iter().filter(|request| !request.is_empty()).count(), 2);
}

/// The deadline, the endpoint's response and more data from the client, all in one turn: the client gets one complete
/// response, and the next request gets its own.
#[test]
fn an_answer_in_the_turn_of_its_deadline_is_given_once() {
    let (go, wait) = channel::<()>();
    let wait = std::sync::Arc::new(std::sync::Mutex::new(wait));
    let (wrote, written) = channel::<()>();
    let endpoint = Endpoint::start(move |request| {
        if request.contains("Txn: late") {
            wait.lock().unwrap().recv().unwrap();
            let _ = wrote.send(());
            return ok("late");
        }
        ok("next")
    });
    let sidecar = Sidecar::start_with_admin_endpoint(&[endpoint.at]);
    let mut client = Client::connect(&sidecar);
    client.send("GET /view/1 HTTP/1.1\r\nX-Txn: late\r\nX-Remaining-Ms: 600\r\n\r\n");
    assert!(endpoint.next().contains("Txn: late"));
    sidecar.in_one_turn(|| {
        go.send(()).unwrap();
        written.recv().unwrap();
        // Past its deadline before the process continues.
        std::thread::sleep(Duration::from_millis(700));
        client.view();
    });
    let (first, second) = (client.answer(), client.answer());
    assert!(first.ends_with("late") || first.starts_with("HTTP/1.1 503 "), "{first}");
    assert!(second.ends_with("next"), "{second}");
    sidecar.wait_pending(0);
}

/// Guards against picture (e) of incident 735e58: a retry meant for an endpoint that has gone reached the new process at
/// its address, which belongs to another group, and the order ran twice.
#[test]
fn keyed_request_is_not_retried_at_an_address_that_has_a_new_process() {
    let (reused, broken) = (Endpoint::start(|_| ok("menu")), Endpoint::start(|_| None));
    let old = [entry("old", reused.at, 0, "up"), entry("broken", broken.at, 0, "up")];
    let (discovery, watches) = start_discovery();
    let known = list_of(1, true, &old);
    let sidecar = Sidecar::start(&with_admin_endpoint(&configuration(discovery, 1024, &known)));
    let (_, mut watch) = watches.recv().unwrap();
    watch.write_all(OPEN).unwrap();
    let new = entry("new", reused.at, 5, "up").replace("\"since_ms\":0", "\"since_ms\":1700000000000");
    watch_line(&mut watch, &list_of(2, false, &[new]));
    wait_until("it is heard", || sidecar.metric("sidecar_discovery_version") == 2);
    let mut client = Client::connect(&sidecar);
    for number in 0..40 {
        client.order_as(&format!("reuse{number}"));
        client.status();
    }
    let ids = |endpoint: &Endpoint| -> Vec<String> {
        let id = |text: &str| text.lines().find_map(|line| line.strip_prefix("X-Txn: ").map(str::to_string));
        endpoint.requests.try_iter().filter_map(|text| id(&text)).collect()
    };
    let (at_broken, at_reused) = (ids(&broken), ids(&reused));
    assert!(!at_broken.is_empty());
    let twice: Vec<_> = at_broken.iter().filter(|id| at_reused.contains(id)).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// Guards against picture (d) of incident 735e58: an id ran twice when it came again after its client had left.
#[test]
fn id_that_comes_again_after_its_client_has_left_is_not_sent_again() {
    // It answers long after its client has left.
    let endpoints = [(); 2].map(|()| {
        Endpoint::start(|_| {
            std::thread::sleep(Duration::from_millis(300));
            ok("menu")
        })
    });
    let [one, other] = endpoints.each_ref();
    let sidecar = start_with_unsafe_view(&[("e0", one.at), ("e1", other.at)]);
    for number in 0..10 {
        let id = format!("again{number}");
        for send in [post, Client::order_as] {
            let mut client = Client::connect(&sidecar);
            send(&mut client, &format!("{id}-{}", send as usize));
            wait_until("it is sent", || sidecar.metric("sidecar_pending") == 1);
            drop(client);
            wait_until("its client has left", || sidecar.metric("sidecar_pending") == 0);
            let mut client = Client::connect(&sidecar);
            send(&mut client, &format!("{id}-{}", send as usize));
            assert_eq!(client.status(), "409", "{id}");
        }
    }
    assert_no_id_twice(&endpoints);
}

/// Guards against the answer to a client that has left being taken for one that it has read.
#[test]
fn id_that_comes_again_after_its_answer_was_not_read_is_not_sent_again() {
    let endpoints = [Endpoint::start(|_| ok("menu"))];
    let sidecar = start_with_unsafe_view(&[("e0", endpoints[0].at)]);
    for number in 0..10 {
        let (id, mut client) = (format!("unread{number}"), Client::connect(&sidecar));
        post(&mut client, &id);
        wait_until("it is answered", || sidecar.metric("sidecar_completed{lane=\"view\"}") == number + 1);
        drop(client);
        let mut client = Client::connect(&sidecar);
        post(&mut client, &id);
        assert_eq!(client.status(), "409", "{id}");
    }
    assert_no_id_twice(&endpoints);
}

fn assert_no_id_twice(endpoints: &[Endpoint]) {
    let id = |text: &str| text.lines().find_map(|line| line.strip_prefix("X-Txn: ").map(str::to_string));
    let requests = endpoints.iter().flat_map(|endpoint| endpoint.requests.try_iter());
    let mut ids: Vec<String> = requests.filter_map(|text| id(&text)).collect();
    ids.sort_unstable();
    let twice: Vec<_> = ids.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| &pair[0]).collect();
    assert!(!ids.is_empty() && twice.is_empty(), "{twice:?}");
}
