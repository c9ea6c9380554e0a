//! Messages written and read byte by byte: endpoints that write what a test wants, long bodies, and their framing.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::LazyLock;
use std::time::Duration;

use crate::stand_ins::Sidecar;

/// The length of a long body in bytes.
pub const LONG: usize = 32_000_000;

/// An endpoint that runs the given function on each connection.
pub fn raw(serve: impl Fn(TcpStream) + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    at
}

/// Reads up to the end of a head.
pub fn head(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// The bytes of all bodies, created once. Danger: created for each use in a slow build on a busy machine, it would make the other side time
/// out.
static BODY: LazyLock<Vec<u8>> =
    LazyLock::new(|| (0..251).map(|at| (at * 31 % 251) as u8).collect::<Vec<_>>().repeat(LONG / 251 + 1));

/// A body of this many bytes.
pub fn body(bytes: usize) -> &'static [u8] {
    &BODY[..bytes]
}

/// Decodes a chunked body; also whether it is complete.
pub fn unchunked(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") {
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).unwrap(), 16).unwrap();
        bytes = &bytes[end + 2..];
        if size == 0 {
            return (data, bytes == b"\r\n");
        }
        data.extend_from_slice(&bytes[..size.min(bytes.len())]);
        bytes = bytes.get(size + 2..).unwrap_or_default();
    }
    (data, false)
}

/// A client's connection, with a timeout for each read.
pub fn connect(sidecar: &Sidecar) -> TcpStream {
    let stream = TcpStream::connect(sidecar.at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}
