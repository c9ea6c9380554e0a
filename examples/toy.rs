//! Two toy endpoints and a discovery service that lists them, to try the sidecar with `examples/sidecar.json`. Each
//! endpoint answers with its name after its own delay. It supports only as much of HTTP as that needs.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const LIST_AT: &str = "127.0.0.1:8500";
/// Name, address, and milliseconds until an answer.
const ENDPOINTS: [(&str, &str, u64); 2] = [("quick", "127.0.0.1:5001", 20), ("slow", "127.0.0.1:5002", 80)];
/// Time between two empty lines on a watch without changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Reads a request with the body that its Content-Length announces. Returns the first line, or none at the end of
/// input.
fn read_request(reader: &mut impl BufRead) -> Result<Option<String>> {
    let (mut first, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if let Some((name, value)) = line.split_once(':').filter(|_| !first.is_empty())
            && name.eq_ignore_ascii_case("Content-Length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
        match line.trim_end() {
            "" => break,
            text if first.is_empty() => first = text.to_string(),
            _ => {}
        }
    }
    reader.take(length).read_to_end(&mut Vec::new())?;
    Ok(Some(first))
}

fn endpoint(stream: &TcpStream, name: &str, delay: Duration) -> Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        println!("{name}: {request}");
        sleep(delay);
        let body = format!("{name} answers {request}\n");
        write!(&mut &*stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

/// Answers one watch: all endpoints at once, then a regular heartbeat.
fn list(mut stream: &TcpStream) -> Result<()> {
    let call = read_request(&mut BufReader::new(stream))?;
    println!("list: {}", call.unwrap_or_default());
    let entry = |(name, at, _): &(&str, &str, u64)| {
        format!(
            r#"{{"name":"{name}","address":"{at}","zone":"here","type":"toy","group":0,"status":"up","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries = ENDPOINTS.iter().map(entry).collect::<Vec<_>>().join(",");
    let line = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entries}]}}\n");
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())?;
    loop {
        sleep(HEARTBEAT);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

fn listen(at: &str, serve: impl Fn(&TcpStream) -> Result<()> + Clone + Send + 'static) -> Result<()> {
    let listener = TcpListener::bind(at)?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // An error, such as a client that disconnects, ends only its own connection.
            spawn(move || serve(&stream));
        }
    });
    Ok(())
}

fn main() -> Result<()> {
    for (name, at, delay) in ENDPOINTS {
        listen(at, move |stream| endpoint(stream, name, Duration::from_millis(delay)))?;
    }
    listen(LIST_AT, list)?;
    println!("list at {LIST_AT}, endpoints {ENDPOINTS:?}; end with Ctrl-C");
    loop {
        sleep(HEARTBEAT);
    }
}
