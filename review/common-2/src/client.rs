//! Requests of clients and operators.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_body, read_head};

/// Time after which a new connection is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status; 0 if the connection ended before a head.
    pub status: u16,
    /// Head.
    pub head: Head,
    /// Body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_whole: bool,
}

/// A request to be sent on a connection of its own.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Host.
    pub host: &'static str,
    /// Other headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without further headers.
    pub fn new(method: &'static str, path: &str, body: &[u8]) -> Self {
        let (path, body) = (path.to_owned(), body.to_vec());
        Self { method, path, host: crate::fleet::HOST, headers: Vec::new(), body }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut message =
            format!("{} {} HTTP/1.1\r\nHost: {}\r\n", self.method, self.path, self.host);
        for (name, value) in &self.headers {
            message.push_str(&format!("{name}: {value}\r\n"));
        }
        message.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        [message.as_bytes(), self.body.as_slice()].concat()
    }

    fn open(&self, address: SocketAddr, timeout: Duration) -> io::Result<BufReader<TcpStream>> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(&self.to_bytes())?;
        Ok(BufReader::new(stream))
    }

    /// Sends the request and reads its response.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> Response {
        let sent = self.open(address, timeout).and_then(|mut input| read_response(&mut input));
        sent.unwrap_or_default()
    }

    /// Sends the request and reads the events of its response until it ends or breaks off. `on_event` gets
    /// the id of each.
    pub fn stream(
        &self,
        address: SocketAddr,
        timeout: Duration,
        mut on_event: impl FnMut(u64),
    ) -> Response {
        let mut response = Response::default();
        let Ok(mut input) = self.open(address, timeout) else {
            return response;
        };
        let Ok(Some(head)) = read_head(&mut input) else {
            return response;
        };
        response.status = head.word(1).parse().unwrap_or(0);
        let is_stream = head.get("content-type").is_some_and(|kind| kind == "text/event-stream");
        response.head = head;
        if !is_stream {
            let body = read_body(&mut input, &response.head);
            response.is_whole = body.is_ok();
            response.body = body.unwrap_or_default();
            return response;
        }
        loop {
            let mut line = String::new();
            match input.read_line(&mut line) {
                Ok(1..) => {}
                Ok(0) | Err(_) => return response,
            }
            if let Some(id) = line.strip_prefix("id: ").and_then(|id| id.trim().parse().ok()) {
                on_event(id);
            }
            if line.trim_end() == "0" {
                response.is_whole = true;
                return response;
            }
        }
    }
}

fn read_response(input: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let head = read_head(input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(input, &head);
    Ok(Response {
        status: head.word(1).parse().unwrap_or(0),
        head,
        is_whole: body.is_ok(),
        body: body.unwrap_or_default(),
    })
}
