//! Server that sends scripted bytes.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Bytes that a client may take of a response that never ends: its limit, and the socket buffers.
pub const MAX_TAKEN_BYTES: usize = 16 << 20;
/// Bytes after which a server ends a response that is otherwise endless.
const ENDLESS_BYTES: usize = 64 << 20;
/// Interval between the parts of a trickle, and their number.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(10);
pub const TRICKLE_PARTS: usize = 400;

/// Server that answers a single request.
pub struct ScriptedServer<T> {
    pub address: SocketAddr,
    thread: JoinHandle<T>,
}

impl<T: Send + 'static> ScriptedServer<T> {
    /// Accepts a connection, reads the head of its request and runs `script`.
    pub fn start(script: impl FnOnce(&mut TcpStream) -> T + Send + 'static) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
        let address = listener.local_addr().expect("bound");
        let thread = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("accepted");
            read_head(&stream);
            script(&mut stream)
        });
        Self { address, thread }
    }

    /// Waits for the end of the script and returns its result.
    pub fn join(self) -> T {
        self.thread.join().expect("the script ends")
    }
}

fn read_head(stream: &TcpStream) {
    let mut reader = BufReader::with_capacity(1, stream);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("the request arrives");
    }
}

/// Sends `start`, then `part` again and again until the peer closes the connection; returns how
/// many bytes were sent.
pub fn send_without_end(stream: &mut TcpStream, start: &str, part: &str) -> usize {
    let block = part.repeat((64 << 10) / part.len());
    let mut sent = 0;
    if stream.write_all(start.as_bytes()).is_err() {
        return sent;
    }
    while sent < ENDLESS_BYTES && stream.write_all(block.as_bytes()).is_ok() {
        sent += block.len();
    }
    sent
}

/// Sends `start`, then slowly `part` many times, and `end`; returns whether all of it was sent.
pub fn trickle(stream: &mut TcpStream, start: &str, part: &str, end: &str) -> bool {
    stream.set_nodelay(true).expect("configured");
    let parts = std::iter::once(start).chain(std::iter::repeat_n(part, TRICKLE_PARTS));
    for part in parts.chain([end]) {
        if stream.write_all(part.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(TRICKLE_INTERVAL);
    }
    true
}

/// Marks a place in a response at which it is cut.
const MARK: &str = "|";

/// How a server ends a connection within a response.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionEnd {
    /// It closes its sending side.
    Closed,
    /// It resets the connection.
    Reset,
}

/// Both ends.
pub const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Closed, ConnectionEnd::Reset];

/// Returns the part of a response before each of its marks.
pub fn cut(response: &str) -> Vec<String> {
    let parts: Vec<&str> = response.split(MARK).collect();
    (1..parts.len()).map(|count| parts[..count].concat()).collect()
}

/// Starts a server that answers a single request with `part`, and then ends the connection.
pub fn start_cut(part: &str, end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let address = listener.local_addr().expect("bound");
    let part = part.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted");
        wait_for_head(&stream);
        stream.write_all(part.as_bytes()).expect("sent");
        match end {
            ConnectionEnd::Closed => {
                stream.shutdown(Shutdown::Write).expect("shut down");
                // Fails if the client resets the connection.
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            }
            // The kernel resets a connection that is closed over unread bytes.
            ConnectionEnd::Reset => drop(stream),
        }
    });
    address
}

/// Waits until the head of a request has arrived, and leaves it unread.
fn wait_for_head(stream: &TcpStream) {
    let mut head = [0; 4096];
    loop {
        let length = stream.peek(&mut head).expect("the request arrives");
        if head[..length].windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            return;
        }
        thread::yield_now();
    }
}
