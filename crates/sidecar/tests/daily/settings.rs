//! Settings reloaded by SIGHUP, on the loopback.

use std::time::{Duration, Instant};

use crate::stand_ins::{
    Client, Endpoint, Sidecar, configuration, entry, list_of, ok, start_discovery, with_admin_endpoint,
};

const VIEW: &str = "\"name\":\"view\",\"effect\":\"retryable\"";

/// Adds a method with this name and effect to a configuration.
fn with_method(text: &str, name: &str, effect: &str) -> String {
    let start = text.find("{\"name\":\"view\"").unwrap();
    let end = start + text[start..].find('}').unwrap() + 1;
    let method = text[start..end].replace(VIEW, &format!("\"name\":\"{name}\",\"effect\":\"{effect}\""));
    text.replacen(&text[start..end], &format!("{},{method}", &text[start..end]), 1)
}

/// Rewrites the file, sends SIGHUP, and waits until the sidecar has applied or rejected it.
fn reload(sidecar: &Sidecar, text: &str) -> &'static str {
    let counts =
        || ["sidecar_config_reloads", "sidecar_config_reload_errors"].map(|name| sidecar.metric(name));
    let before = counts();
    std::fs::write(&sidecar.file, text).unwrap();
    sidecar.signal("-HUP");
    let told = Instant::now();
    loop {
        let now = counts();
        if now != before {
            assert_eq!(now[0] + now[1], before[0] + before[1] + 1);
            return if now[0] > before[0] { "taken" } else { "turned down" };
        }
        assert!(told.elapsed() < Duration::from_secs(5));
    }
}

fn asks(sidecar: &Sidecar, verb: &str, name: &str) -> String {
    let mut client = Client::connect(sidecar);
    client.send(format!("{verb} /{name}/1 HTTP/1.1\r\nX-Txn: {name}\r\nContent-Length: 0\r\n\r\n"));
    client.status()
}

fn started(endpoint: &Endpoint) -> (Sidecar, String) {
    let known = list_of(1, true, &[entry("e0", endpoint.at, 0, "up")]);
    let text = with_admin_endpoint(&configuration(start_discovery().0, 1024, &known));
    (Sidecar::start(&text), text)
}

#[test]
fn methods_come_go_and_change_while_open_requests_keep_theirs() {
    // A request is answered once the test releases it; the first attempt of each then fails where it should.
    let (go, wait) = std::sync::mpsc::channel::<bool>();
    let wait = std::sync::Arc::new(std::sync::Mutex::new(wait));
    let endpoint = Endpoint::start(move |request| match request.contains("Txn: open") {
        true if wait.lock().unwrap().recv().unwrap() => None,
        _ => ok("menu"),
    });
    let (sidecar, text) = started(&endpoint);
    assert_eq!(asks(&sidecar, "GET", "soups"), "404");
    let more = with_method(&text, "soups", "retryable");
    assert_eq!(reload(&sidecar, &more), "taken");
    assert_eq!((asks(&sidecar, "GET", "soups"), asks(&sidecar, "GET", "view")), ("200".into(), "200".into()));
    // Open while its method is dropped and then redefined.
    let mut open = Client::connect(&sidecar);
    open.send("GET /soups/1 HTTP/1.1\r\nX-Txn: open\r\nX-Remaining-Ms: 2500\r\n\r\n");
    while !endpoint.next().contains("Txn: open") {}
    assert_eq!(reload(&sidecar, &text), "taken");
    assert_eq!(asks(&sidecar, "GET", "soups"), "404");
    // Its counters stay.
    assert_eq!(sidecar.metric("sidecar_completed{lane=\"soups\"}"), 1);
    let fewer = text.replace("\"mostWriteOuts\":3", "\"mostWriteOuts\":1");
    assert_eq!(reload(&sidecar, &with_method(&fewer, "soups", "fragile")), "taken");
    assert_eq!(
        (asks(&sidecar, "GET", "soups"), asks(&sidecar, "POST", "soups")),
        ("405".into(), "200".into())
    );
    // Its attempt fails: it arrived as a retryable request when three attempts were allowed.
    go.send(true).unwrap();
    go.send(false).unwrap();
    assert_eq!(open.status(), "200");
    assert_eq!(sidecar.metric("sidecar_completed{lane=\"soups\"}"), 3);
    // Under the new rules the same request may have run, and only one attempt is allowed.
    open.send("POST /soups/1 HTTP/1.1\r\nX-Txn: open\r\nContent-Length: 0\r\n\r\n");
    go.send(true).unwrap();
    assert_eq!(open.status(), "502");
}

#[test]
fn watched_settings_follow_the_methods_that_come_and_go() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let known = list_of(1, true, &[entry("e0", endpoint.at, 0, "up")]);
    let watch = "{\"watch\":{\"ceilings\":{\"mostWriteOuts\":1}},";
    let text = with_admin_endpoint(&configuration(start_discovery().0, 1024, &known)).replacen('{', watch, 1);
    let sidecar = Sidecar::start(&text);
    let more = with_method(&text, "soups", "retryable");
    for (file, soups) in [(&more, "200"), (&text, "404"), (&more, "200"), (&text, "404")] {
        assert_eq!(reload(&sidecar, file), "taken");
        assert_eq!(
            (asks(&sidecar, "GET", "soups"), asks(&sidecar, "GET", "view")),
            (soups.into(), "200".into())
        );
    }
    // Without the key, the shadow evaluation continues as before.
    assert_eq!(reload(&sidecar, &text.replacen(watch, "{", 1)), "taken");
    assert_eq!(asks(&sidecar, "GET", "view"), "200");
}

#[test]
fn a_broken_file_changes_nothing_and_is_counted() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let (sidecar, text) = started(&endpoint);
    assert_eq!(reload(&sidecar, &text), "taken");
    // All of these also name another discovery address and drop a method; neither is applied.
    let other = text
        .replace("\"name\":\"order\"", "\"name\":\"meal\"")
        .replace("\"discovery\":\"127", "\"discovery\":\"128");
    let without = |key: &str| other.replace(&format!("\"{key}\":"), &format!("\"{key}-gone\":"));
    for broken in [
        String::new(),
        other[..other.len() / 2].to_string(),
        other.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":0"),
        other.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":-3"),
        other.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":2.5"),
        other.replace("\"deadlineNs\":3000000000", "\"deadlineNs\":\"soon\""),
        other.replace("\"mostWriteOuts\":3", "\"mostWriteOuts\":0"),
        other.replace("\"mostWriteOuts\":3", "\"mostWriteOuts\":1.5"),
        other.replace("\"name\":\"meal\"", "\"name\":\"view\""),
        other.replace("\"effect\":\"retryable\"", "\"effect\":\"whatever\""),
        without("deadlineNs"),
        without("mostWriteOuts"),
        without("name"),
        without("seed"),
        without("methods"),
        without("settings"),
        without("listen"),
        without("limits"),
        without("discovery"),
        without("rules"),
        other.replace("\"name\":\"n0\"", "\"name\":\"n1\""),
    ] {
        assert_eq!(reload(&sidecar, &broken), "turned down", "{broken}");
        let mut client = Client::connect(&sidecar);
        client.order();
        assert_eq!(client.status(), "200", "{broken}");
    }
    assert_eq!(asks(&sidecar, "GET", "meal"), "404");
}

#[test]
fn a_hundred_reloads_under_load_grow_nothing_and_lose_no_request() {
    let endpoint = Endpoint::start(|_| ok("menu"));
    let (sidecar, text) = started(&endpoint);
    let mut client = Client::connect(&sidecar);
    let round = |number: u32| {
        let changed = text.replace("\"criticality\":1.0", &format!("\"criticality\":{number}.5"));
        std::fs::write(&sidecar.file, changed).unwrap();
        sidecar.signal("-HUP");
    };
    let mut memory = 0;
    for number in 0..100 {
        round(number);
        client.view();
        client.order();
        assert_eq!((client.status(), client.status()), ("200".into(), "200".into()));
        if number == 20 {
            memory = sidecar.memory();
        }
    }
    assert!(sidecar.memory() < memory + (1 << 20), "{} after {memory} bytes", sidecar.memory());
}
