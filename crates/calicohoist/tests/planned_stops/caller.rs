//! Callers that read whole answers from a connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(150);

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\n{headers}content-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
}

impl Answer {
    /// Reads one answer; `None` if the connection ends before its end.
    pub fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut input = BufReader::with_capacity(1, stream);
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if input.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let lower = head.to_ascii_lowercase();
        let status = lower.split_whitespace().nth(1)?.parse().ok()?;
        let pairs = lower.lines().filter_map(|line| line.split_once(": "));
        let headers: BTreeMap<String, String> =
            pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let mut body = vec![0; headers.get("content-length")?.parse().ok()?];
        input.read_exact(&mut body).ok()?;
        Some(Self { status, headers })
    }

    /// Sends a request on a new connection and reads its answer.
    pub fn fetch(address: SocketAddr, request: &str) -> Option<Self> {
        Self::read(&mut send(address, request))
    }

    /// Returns whether the caller is asked to close the connection.
    pub fn closes_connection(&self) -> bool {
        self.headers.get("connection").is_some_and(|value| value == "close")
    }

    /// Returns the stated outcome of a call.
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("calicohoist-outcome").map(String::as_str)
    }
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("configured");
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}
