//! An endpoint sends some answers twice; the second comes some milliseconds late. Which answers do clients get?

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::io::Write;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use stand_ins::*;

/// How long clients send, how many there are, and how long each pauses between an answer and its next request.
const LENGTH: Duration = Duration::from_secs(15);
const CLIENTS: usize = 4;
/// One answer in so many is sent twice, the second one 1 to 6 ms later.
const SPOILT_ONE_IN: u64 = 20;
const LATEST_MS: u64 = 6;

/// One request in so many finds the endpoint's queue full.
const FULL_ONE_IN: u64 = 6;
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

/// The ids of the requests that have run, one for each time.
type Runs = Arc<Mutex<Vec<String>>>;

/// Answers after 20 to 40 ms, or turns the request away. The second answer is the first one again, on the same connection.
fn handler(name: &'static str, case: &Case, runs: &Runs) -> Handler {
    let (count, record, trouble, runs) = (AtomicU64::new(0), case.record.clone(), case.trouble, runs.clone());
    Arc::new(move |message, stream| {
        let (number, id) = (count.fetch_add(1, Ordering::Relaxed), message.header("x-txn"));
        let whole = if number % FULL_ONE_IN == FULL_ONE_IN - 1 {
            sleep(ms(2));
            record.say(format!("endpoint {name}: {id} is turned away"));
            FULL.to_vec()
        } else {
            runs.lock().unwrap().push(id.to_string());
            sleep(ms(20 + number * 7 % 20));
            answer(name, message)
        };
        stream.write_all(&whole)?;
        if trouble && number % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
            sleep(ms(1 + number / SPOILT_ONE_IN % LATEST_MS));
            record.say(format!("endpoint {name}: the answer to {id} a second time"));
            stream.write_all(&whole)?;
        }
        Ok(())
    })
}

fn play(case: &Case) -> Result<bool> {
    let record = &case.record;
    let runs = Runs::default();
    let endpoints = ["v1", "v2"].map(|name| (name, handler(name, case, &runs)));
    let endpoints = endpoints.map(|(name, handler)| Endpoint::start(record, name, handler));
    let rows: Vec<Row> = endpoints.iter().map(Row::of).collect();
    let discovery = Discovery::start(record, rows.clone());
    let (listen, operators) = (free_address(), free_address());
    let file = sidecar_file("s1", listen, operators, &discovery, &rows, &settings(1), "");
    case.start_sidecar("s1", &file, "s1")?;
    case.wait_for("s1 is healthy", ms(10_000), || is_healthy(listen))?;
    let until = Instant::now() + LENGTH;
    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let clients = (0..CLIENTS).map(|number| {
        let (record, counts) = (record.clone(), counts.clone());
        spawn(move || {
            let mut client = Client::new(listen);
            let mut pause = number as u64;
            while Instant::now() < until {
                pause = (pause * 5 + 3) % 16;
                sleep(ms(pause));
                let id = new_id();
                record.say(format!("client {number}: sends {id}"));
                let answer = client.post("vydaj", &id, 3000);
                let mut counts = counts.lock().unwrap();
                match answer {
                    Ok(answer) if answer.status() == 200 => {
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        // Any endpoint's own answer to this very request.
                        let own = ["v1", "v2"].iter().any(|name| body == body_for(name, &id));
                        record.say(format!("client {number}: {id} is answered 200: {}", body.trim_end()));
                        counts.0 += 1;
                        if !own {
                            record.say(format!("client {number}: THE BODY IS NOT AN ANSWER TO {id}"));
                            counts.1 += 1;
                        }
                    }
                    Ok(answer) => {
                        record.say(format!("client {number}: {id} is answered {}", answer.status()))
                    }
                    Err(e) => {
                        record.say(format!("client {number}: {id} gets no whole answer: {e}"));
                        counts.2 += 1;
                    }
                }
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().map_err(|_| "a client panicked".to_string())?;
    }
    let (served, foreign, unanswered) = *counts.lock().unwrap();
    let mut runs = std::mem::take(&mut *runs.lock().unwrap());
    runs.sort();
    let twice: Vec<_> = runs.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| &pair[0]).collect();
    twice.iter().for_each(|id| record.say(format!("{id} HAS RUN TWICE")));
    let twice = twice.len();
    let text = format!(
        "{served} requests served, {foreign} of them with another request's answer; {twice} ran twice; {unanswered} unanswered"
    );
    record.say(&text);
    println!("{text}");
    if served == 0 {
        return Err("nothing was served".to_string());
    }
    Ok(foreign > 0 || twice > 0)
}

fn main() -> ExitCode {
    run(play)
}
