//! Sidecars are down for some seconds, an endpoint begins to drain meanwhile, and they come back with their last list.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};

use stand_ins::*;

const SIDECARS: usize = 60;
/// How many of them are killed: 45 in a hundred.
const KILLED: usize = 27;
/// They are down for six seconds; the drain begins half a second after the kill.
const DRAIN_AFTER_KILL_MS: u64 = 500;
const START_AFTER_DRAIN_MS: u64 = 5500;
/// The latest time by which a change counts as told, the grace of the settings, and the slack on sockets, in seconds.
const TOLD_S: f64 = 6.0;
const GRACE_S: f64 = 1.5;
const SLACK_S: f64 = 0.05;
/// The endpoint ends so long after the last moment at which it may be sent anything new: longer than its longest work.
const ENDS_AFTER_S: f64 = 1.0;
const DRAINS: &str = "v1";

fn work(name: &'static str) -> Handler {
    Arc::new(move |message, stream| {
        sleep(ms(600));
        stream.write_all(&answer(name, message))
    })
}

fn play(case: &Case) -> Result<bool> {
    let record = &case.record;
    let endpoints = ["v1", "v2", "v3", "v4"].map(|name| Endpoint::start(record, name, work(name)));
    let rows: Vec<Row> = endpoints.iter().map(Row::of).collect();
    let discovery = Discovery::start(record, rows.clone());
    // Discovery is asked, and has to be asked within 10 s.
    let settings = settings(SIDECARS as u64)
        .replace("\"discovery\":\"automatic\"", "\"discovery\":\"subscribe\"")
        .replace("\"rules\":{", "\"rules\":{\"askWithinNs\":10000000000,");
    let mut sidecars = Vec::new();
    for number in 0..SIDECARS {
        let (name, listen) = (format!("s{number}"), free_address());
        let seed = |life: usize| format!("\"seed\":\"{:x}\"", 1 + life * SIDECARS + number);
        let file = sidecar_file(&name, listen, free_address(), &discovery, &rows, &settings, "");
        let (before, after) = file.split_once("\"seed\":").ok_or("a file without a seed")?;
        let after = after.split_once(',').ok_or("a file that ends with its seed")?.1.to_string();
        // The seed is new with each start.
        let files = [0, 1].map(|life| format!("{before}{},{after}", seed(life)));
        let id = case.start_sidecar(&name, &files[0], &name)?;
        sidecars.push((name, listen, files, id));
    }
    for (name, listen, ..) in &sidecars {
        case.wait_for(&format!("{name} is healthy"), ms(15_000), || is_healthy(*listen))?;
    }
    let watches = || record.count("discovery: GET /v1/servers?follow=1");
    case.wait_for("each sidecar has a watch", ms(15_000), || watches() >= SIDECARS)?;
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (name, listen, ..) in sidecars.iter().chain(&sidecars) {
        let (record, over, name, listen) = (record.clone(), over.clone(), name.clone(), *listen);
        clients.push(spawn(move || {
            let (mut client, mut failed) = (Client::new(listen), 0);
            while !over.load(Ordering::Relaxed) {
                let (id, from) = (new_id(), record.at());
                match client.post("vydaj", &id, 4000) {
                    Ok(answer) if answer.status() == 200 => {}
                    Ok(answer) => {
                        failed += 1;
                        record.say(format!("client of {name}: {id}: {}", answer.status()));
                    }
                    // A sidecar that is down refuses the connection.
                    Err(_) if record.at() - from < 0.05 => sleep(ms(100)),
                    Err(e) => record.say(format!("client of {name}: {id}: {e}")),
                }
                sleep(ms(50));
            }
            failed
        }));
    }
    sleep(ms(2000));
    if case.trouble {
        record.say(format!("{KILLED} sidecars are killed"));
        sidecars.iter().take(KILLED).for_each(|(.., id)| case.kill(*id));
    }
    sleep(ms(DRAIN_AFTER_KILL_MS));
    let mut draining = rows.clone();
    draining[0].status = "draining";
    discovery.set(draining.clone());
    let drains_at = record.at();
    record.say(format!("discovery has that {DRAINS} drains"));
    sleep(ms(START_AFTER_DRAIN_MS));
    if case.trouble {
        for (name, _, files, id) in sidecars.iter_mut().take(KILLED) {
            *id = case.start_sidecar(name, &files[1], name)?;
        }
        record.say("they are started again, each with its last list");
    }
    let last = drains_at + TOLD_S + GRACE_S + SLACK_S;
    sleep(std::time::Duration::from_secs_f64((last + ENDS_AFTER_S - record.at()).max(0.0)));
    // What was sent in time has been answered, so the endpoint ends. Discovery is told a moment later.
    endpoints[0].end();
    record.say(format!("{DRAINS} ends"));
    sleep(ms(500));
    discovery.set(draining.split_off(1));
    sleep(ms(1500));
    over.store(true, Ordering::Relaxed);
    let failed: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    let late: Vec<Seen> = endpoints[0].requests().into_iter().filter(|seen| seen.at > last).collect();
    let cut = late.iter().filter(|seen| seen.until.is_none_or(|until| until > last + ENDS_AFTER_S)).count();
    for seen in &late {
        record.say(format!(
            "{} reached {DRAINS} {:.3} s after discovery had that it drains",
            seen.id,
            seen.at - drains_at
        ));
    }
    let latest = late.iter().map(|seen| seen.at - drains_at).fold(0.0, f64::max);
    let text = format!(
        "{} requests reached {DRAINS} later than {:.2} s after discovery had that it drains, the last at {latest:.2} s; {cut} of them were cut off by its end, {failed} requests were not served",
        late.len(),
        last - drains_at
    );
    record.say(&text);
    println!("{text}");
    Ok(!late.is_empty())
}

fn main() -> ExitCode {
    run(play)
}
