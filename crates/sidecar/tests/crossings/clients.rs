//! Clients that leave, and what can cross with that: a req whose client has left is not sent on.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use crate::stand_ins::{
    Client, Endpoint, OPEN, Sidecar, asked, configuration, connecting, connections, entry, full, list,
    list_of, message, ok, sent_late, until, watch_line,
};

/// An endpoint that tells of each req and breaks its connection once it may.
fn breaking() -> (SocketAddr, Receiver<String>, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (tell, reqs) = channel();
    let (may, go) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let req = message(&mut std::io::BufReader::new(&stream));
            if tell.send(req).is_err() || go.recv().is_err() {
                return;
            }
            drop(stream);
        }
    });
    (at, reqs, may)
}

/// A sidecar that has sent a req to an endpoint, which may break, beside one that serves.
fn sent(client: impl FnOnce(&mut Client)) -> (Sidecar, Client, Sender<()>, Endpoint) {
    let (bad, reqs, may) = breaking();
    let good = Endpoint::start(|_| ok("menu"));
    let (at, watches) = list();
    let sidecar =
        Sidecar::start(&asked(&configuration(at, 1024, &list_of(1, true, &[entry("bad", bad, 0, "up")]))));
    let mut waits = Client::connect(&sidecar);
    client(&mut waits);
    reqs.recv_timeout(Duration::from_secs(10)).expect("it is sent");
    // Only now is there another that it could be sent to.
    let (_, mut watch) = watches.recv().unwrap();
    watch.write_all(OPEN).unwrap();
    watch_line(&mut watch, &list_of(2, false, &[entry("good", good.at, 1, "up")]));
    until("both are listed", || sidecar.figure("sidecar_members") == 2);
    std::mem::forget(watch);
    (sidecar, waits, may, good)
}

/// Lets a client leave, and waits until the machine has told the sidecar's end of it.
fn leave(sidecar: &Sidecar, client: Client, leave: impl FnOnce(Client)) {
    let from = client.port();
    leave(client);
    until("it has left", || connections(Some(sidecar.at.port()), from, "01") == 0);
}

/// Danger: sent on after its client has left, a req takes a place and has its effect for nobody.
#[test]
fn a_req_whose_client_leaves_as_its_write_out_breaks_is_not_sent_on() {
    let (sidecar, waits, may, good) = sent(Client::view);
    sidecar.in_one_turn(|| {
        leave(&sidecar, waits, drop);
        may.send(()).unwrap();
    });
    sidecar.until_open(0);
    assert_eq!(good.reqs.try_iter().count(), 0);
    // One that stays is sent on.
    let (sidecar, mut waits, may, good) = sent(Client::view);
    sidecar.in_one_turn(|| may.send(()).unwrap());
    assert_eq!(waits.status(), "200");
    assert_eq!(good.reqs.try_iter().count(), 1);
}

/// Danger: where nothing more is read no event tells of bytes, and the end behind them was not seen.
#[test]
fn a_client_that_leaves_behind_more_than_is_read_has_left() {
    let (sidecar, mut waits, may, good) = sent(Client::view);
    let more = "GET /view/1 HTTP/1.1\r\nX-Txn: 77\r\n\r\n";
    // More than a message may have, and less than the machine's own buffers take besides.
    assert!(waits.flood(more, 90_000) >= 90_000);
    leave(&sidecar, waits, drop);
    may.send(()).unwrap();
    sidecar.until_open(0);
    assert_eq!(good.reqs.try_iter().count(), 0);
}

/// The same with a reset in place of an end.
#[test]
fn a_client_that_resets_behind_more_than_is_read_has_left() {
    let (sidecar, mut waits, may, good) = sent(Client::view);
    let more = "GET /view/1 HTTP/1.1\r\nX-Txn: 77\r\n\r\n";
    assert!(waits.flood(more, 90_000) >= 90_000);
    leave(&sidecar, waits, Client::reset);
    may.send(()).unwrap();
    sidecar.until_open(0);
    assert_eq!(good.reqs.try_iter().count(), 0);
}

/// Danger: held until there is a place, it was sent to the first that came, whoever still waited.
#[test]
fn a_req_whose_client_leaves_while_it_is_held_is_not_sent() {
    let good = Endpoint::start(|_| ok("menu"));
    let (at, watches) = list();
    let text = asked(&configuration(at, 1024, &list_of(1, true, &[])));
    // A hold is a small part of the budget.
    let text = text.replace("\"latencyBudgetNs\":2000000000", "\"latencyBudgetNs\":200000000000");
    let sidecar = Sidecar::start(&text.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":300000000000"));
    let (_, mut watch) = watches.recv().unwrap();
    watch.write_all(OPEN).unwrap();
    let (mut leaves, mut stays) = (Client::connect(&sidecar), Client::connect(&sidecar));
    for client in [&mut leaves, &mut stays] {
        client.send(format!("GET /view/{client:p} HTTP/1.1\r\nX-Txn: {client:p}\r\n\r\n"));
    }
    let left = format!("GET /view/{:p}", &leaves);
    sidecar.until_open(2);
    sidecar.in_one_turn(|| {
        leave(&sidecar, leaves, drop);
        watch_line(&mut watch, &list_of(2, false, &[entry("good", good.at, 1, "up")]));
    });
    assert_eq!(stays.status(), "200");
    sidecar.until_open(0);
    let sent: Vec<_> = good.reqs.try_iter().collect();
    assert!(sent.len() == 1 && !sent[0].starts_with(&left), "{sent:?}");
}

/// Danger: a connect that comes up late carried a req to its endpoint long after its client had left. It has never been
/// sent, so there is nothing to cancel there, and it is held back also where the settings allow no cancelling.
#[test]
fn a_req_whose_client_leaves_while_its_connect_is_under_way_is_not_sent() {
    for cancel in ["true", "false"] {
        let (listener, fillers) = full();
        let at = listener.local_addr().unwrap();
        let text = asked(&configuration(list().0, 1024, &list_of(1, true, &[entry("late", at, 0, "up")])));
        let text = text.replace("\"connectTimeoutNs\":200000000", "\"connectTimeoutNs\":3000000000");
        let sidecar = Sidecar::start(&text.replace("\"cancel\":true", &format!("\"cancel\":{cancel}")));
        let before = connecting(at.port());
        let mut client = Client::connect(&sidecar);
        client.view();
        until("a connect", || connecting(at.port()) > before);
        drop(client);
        sidecar.until_open(0);
        // What is still under way from now on comes up with its next try.
        let sent = sent_late(&listener, &fillers, before);
        assert!(sent.iter().all(String::is_empty), "cancel {cancel}: {sent:?}");
    }
}
