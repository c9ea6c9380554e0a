//! A sidecar is upgraded while discovery is down. The old process had heard that an endpoint drains.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use stand_ins::*;

const CLIENTS: usize = 12;
/// How long discovery is down, from just before the new process starts.
const DOWN: Duration = Duration::from_secs(12);
/// When what discovery tells binds after the yes, the grace of the settings, and the slack on sockets, in seconds.
const BINDS_S: f64 = 2.0;
const GRACE_S: f64 = 1.5;
const SLACK_S: f64 = 0.05;
/// The endpoint ends so long after the last moment at which it may be sent anything new: longer than its longest work.
const ENDS_AFTER_S: f64 = 2.0;
const DRAINS: &str = "v1";

fn work(name: &'static str) -> Handler {
    Arc::new(move |message, stream| {
        sleep(ms(600));
        stream.write_all(&answer(name, message))
    })
}

fn play(case: &Case) -> Result<bool> {
    let record = &case.record;
    let endpoints = ["v1", "v2", "v3"].map(|name| Endpoint::start(record, name, work(name)));
    let rows: Vec<Row> = endpoints.iter().map(Row::of).collect();
    let discovery = Discovery::start(record, rows.clone());
    let (listen, old_operators, new_operators) = (free_address(), free_address(), free_address());
    let settings = settings(1)
        .replace("\"discovery\":\"automatic\"", "\"discovery\":\"subscribe\"")
        .replace("\"rules\":{", "\"rules\":{\"askWithinNs\":10000000000,");
    // Both processes have the same file, but for the second address.
    let file = |operators| sidecar_file("s1", listen, operators, &discovery, &rows, &settings, "");
    let old = case.start_sidecar("s1", &file(old_operators), "s1-old")?;
    case.wait_for("the old process is ready", ms(10_000), || {
        operator(old_operators, "ready").starts_with("200")
    })?;
    let over = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|number| {
        let (record, over) = (record.clone(), over.clone());
        spawn(move || {
            let (mut client, mut failed) = (Client::new(listen), 0);
            while !over.load(Ordering::Relaxed) {
                let id = new_id();
                match client.post("vydaj", &id, 4000) {
                    Ok(answer) if answer.status() == 200 => {}
                    Ok(answer) => {
                        failed += 1;
                        record.say(format!("client {number}: {id}: {}", answer.status()));
                    }
                    Err(e) => record.say(format!("client {number}: {id}: {e}")),
                }
                sleep(ms(50));
            }
            failed
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep(ms(2000));
    let mut draining = rows.clone();
    draining[0].status = "draining";
    discovery.set(draining.clone());
    record.say(format!("discovery tells that {DRAINS} drains"));
    // The old process keeps to it.
    sleep(ms(6000));
    let before = endpoints[0].requests().len();
    if case.trouble {
        record.say("discovery goes down");
        discovery.set_down(true);
        let discovery = discovery.clone();
        let record = record.clone();
        spawn(move || {
            sleep(DOWN);
            discovery.set_down(false);
            record.say("discovery is up again");
        });
    }
    sleep(ms(300));
    case.start_sidecar("s1", &file(new_operators), "s1-new")?;
    case.wait_for("the new process says yes", ms(6000), || {
        operator(new_operators, "ready").starts_with("200")
    })?;
    let yes_at = record.at();
    record.say("SIGTERM to the old process");
    case.signal(old, "TERM");
    let last = yes_at + BINDS_S + GRACE_S + SLACK_S;
    sleep(Duration::from_secs_f64(last + ENDS_AFTER_S - record.at()));
    endpoints[0].end();
    record.say(format!("{DRAINS} ends"));
    sleep(ms(5000));
    over.store(true, Ordering::Relaxed);
    let failed: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    let seen = endpoints[0].requests();
    let late: Vec<&Seen> = seen.iter().filter(|seen| seen.at > last).collect();
    let cut = late.iter().filter(|seen| seen.until.is_none_or(|until| until > last + ENDS_AFTER_S)).count();
    for seen in &late {
        record.say(format!("{} reached {DRAINS} {:.3} s after the yes", seen.id, seen.at - yes_at));
    }
    let text = format!(
        "{} requests reached {DRAINS} after the upgrade began, {} of them later than {:.2} s after the yes; {cut} of these were cut off by its end; {failed} requests were not served",
        seen.len() - before,
        late.len(),
        last - yes_at
    );
    record.say(&text);
    println!("{text}");
    Ok(!late.is_empty())
}

fn main() -> ExitCode {
    run(play)
}
