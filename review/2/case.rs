//! Long answers of which the endpoint writes the first piece at once and the rest some seconds later. An endpoint that
//! still gives is not to be cut off, and its first bytes are what is timed.

#[path = "../stand_ins.rs"]
mod stand_ins;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use stand_ins::*;

const ENDPOINTS: usize = 8;
const SIDECARS: usize = 2;
/// Clients of each sidecar, and what each sends: orders in turn with a chunked answer, and with one that tells its length.
const CLIENTS: usize = 4;
const ORDERS: usize = 6;
/// How long a client waits for its answer's first bytes: half of the deadline of meal-order.
const REMAINING: Duration = Duration::from_millis(3000);
/// The whole answer, over 64 KiB; its first piece, and how long the endpoint pauses before the rest.
const ANSWER: usize = 120_000;
const FIRST_PIECE: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(3500);
/// How long a client goes on reading after its answer has begun.
const PATIENCE: Duration = Duration::from_secs(20);

fn body(id: &str) -> Vec<u8> {
    format!("answer to {id}; ").into_bytes().into_iter().cycle().take(ANSWER).collect()
}

fn endpoint(name: String, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (name, record) = (name.clone(), record.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_http(&mut reader) {
                    let id = request.header("x-txn").to_string();
                    record.line(&format!("{name} runs {id}"));
                    std::thread::sleep(Duration::from_millis(40));
                    let body = body(&id);
                    let chunked = request.first.contains("/chunked");
                    let (first, rest) = body.split_at(FIRST_PIECE);
                    let (head, first, rest) = if chunked {
                        let piece = |data: &[u8]| {
                            [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
                        };
                        let rest = [piece(rest), b"0\r\n\r\n".to_vec()].concat();
                        ("Transfer-Encoding: chunked".to_string(), piece(first), rest)
                    } else {
                        (format!("Content-Length: {ANSWER}"), first.to_vec(), rest.to_vec())
                    };
                    let head = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n");
                    let mut write = |what: &str, bytes: &[u8]| {
                        let written = stream.write_all(bytes);
                        record.line(&format!("{name} writes {what} of its answer to {id}: {written:?}"));
                        written.is_ok()
                    };
                    if !write("the first piece", &[head.as_bytes(), &first].concat()) {
                        return;
                    }
                    if trouble() {
                        std::thread::sleep(PAUSE);
                    }
                    if !write("the rest", &rest) {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// What a client saw of an answer: its status, when its first byte came, and whether it came whole.
struct Seen {
    status: u16,
    began: Duration,
    ended: Duration,
    whole: bool,
}

fn ask(at: SocketAddr, id: &str, form: &str) -> Option<Seen> {
    let mut stream = TcpStream::connect(at).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let order = "two soups";
    let text = format!(
        "POST /meal-order/{form} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: meal-order\r\nX-Remaining-Ms: {}\r\nIdempotency-Key: k{id}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{order}",
        REMAINING.as_millis(),
        order.len()
    );
    let sent = Instant::now();
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    reader.fill_buf().ok().filter(|bytes| !bytes.is_empty())?;
    let began = sent.elapsed();
    let mut all = Vec::new();
    let _ = reader.read_to_end(&mut all);
    let ended = sent.elapsed();
    let status =
        String::from_utf8_lossy(&all[..all.len().min(16)]).split(' ').nth(1).and_then(|s| s.parse().ok());
    let answer = read_http(&mut all.as_slice());
    let whole = answer.is_some_and(|answer| answer.body == body(id));
    Some(Seen { status: status.unwrap_or(0), began, ended, whole })
}

fn main() {
    let record = Record::create(&env_path("RECORD"));
    let temp = env_path("TEMP");
    record.say(&format!("trouble: {}", trouble()));
    let listed: Vec<Listed> = (0..ENDPOINTS)
        .map(|at| {
            let name = format!("s-{at}");
            Listed {
                address: endpoint(name.clone(), record.clone()),
                name,
                group: at as u32 / 4,
                status: "up",
            }
        })
        .collect();
    let discovery = Discovery::start(listed.clone());
    let mut sidecars: Vec<Sidecar> = (0..SIDECARS)
        .map(|at| {
            let name = format!("n{at}");
            let config = configuration(&name, 0x51d0 + at as u64, SIDECARS, "dedup", &list_json(41, &listed));
            Sidecar::start(&name, free_address(), discovery.at, &config, &temp)
        })
        .collect();
    // Served and not, by the form of the answer.
    let tally = Mutex::new([[0; 2]; 2]);
    std::thread::scope(|scope| {
        for number in 0..SIDECARS * CLIENTS {
            let (at, record, tally) = (sidecars[number % SIDECARS].listen, &record, &tally);
            scope.spawn(move || {
                for turn in 0..ORDERS {
                    let (id, form) = (new_id(), ["chunked", "length"][(turn + number / 2) % 2]);
                    record.line(&format!("client {number} sends {id}, to be answered in the form {form}"));
                    let seen = ask(at, &id, form);
                    let served = seen.as_ref().is_some_and(|seen| seen.status == 200 && seen.whole);
                    let text = seen.map_or("nothing".to_string(), |seen| {
                        let (began, ended) = (seen.began.as_secs_f64(), seen.ended.as_secs_f64());
                        format!(
                            "{}, first byte after {began:.2} s, end after {ended:.2} s, whole: {}",
                            seen.status, seen.whole
                        )
                    });
                    record.line(&format!("client {number} is answered to {id}: {text}"));
                    if !served {
                        record.say(&format!(
                            "{id}, form {form}, was cut off from an endpoint that still gave: {text}"
                        ));
                    }
                    tally.lock().unwrap()[usize::from(form == "length")][usize::from(!served)] += 1;
                }
            });
        }
    });
    // The endpoints' last writes are noted before the record ends.
    std::thread::sleep(PAUSE);
    if sidecars.iter_mut().any(Sidecar::has_ended) {
        cannot_run("a sidecar has ended");
    }
    drop(sidecars);
    let [[chunked, chunked_lost], [length, length_lost]] = *tally.lock().unwrap();
    record.say(&format!(
        "chunked: {chunked} served whole, {chunked_lost} not; with a length: {length} served whole, {length_lost} not"
    ));
    std::process::exit(i32::from(chunked_lost + length_lost > 0))
}
