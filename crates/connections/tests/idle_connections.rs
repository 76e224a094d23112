//! Connections that are closed while no request is under way, and requests that cross the close.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Drain, DrainStage, accept};
use http_body_util::Full;
use hyper::Response;

const LONG_TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than a connection needs to close, also one that waits for its first request.
const CLOSE_TIME: Duration = Duration::from_millis(400);
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const LAST_REQUEST: &str = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const BODY: &str = "whole";

/// A server that counts the requests that it was asked to serve.
struct Server {
    address: SocketAddr,
    drain: Drain,
    requests: Arc<AtomicUsize>,
}

impl Server {
    fn start(head_timeout: Duration) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        listener.set_nonblocking(true).expect("set nonblocking mode");
        let address = listener.local_addr().expect("local address");
        let (drain, requests) = (Drain::default(), Arc::new(AtomicUsize::new(0)));
        let (server_drain, count) = (drain.clone(), Arc::clone(&requests));
        let settings = ConnectionSettings {
            head_timeout,
            max_head_bytes: 8 << 10,
            stall_timeout: Duration::from_secs(5),
        };
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("build the runtime").block_on(async {
                let listener = tokio::net::TcpListener::from_std(listener).expect("register");
                let handler = move |_request, _context| {
                    count.fetch_add(1, Ordering::SeqCst);
                    async { Response::new(Full::new(Bytes::from_static(BODY.as_bytes()))) }
                };
                accept(listener, server_drain, move || settings, handler).await;
                std::future::pending::<()>().await;
            });
        });
        Self { address, drain, requests }
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).expect("connect");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
        BufReader::new(stream)
    }

    /// Opens a connection on which a request was answered.
    fn connect_and_exchange(&self) -> BufReader<TcpStream> {
        let mut connection = self.connect();
        send(&mut connection, REQUEST);
        assert_eq!(read_response(&mut connection), Some((200, BODY.into())));
        connection
    }

    /// Closes idle connections and waits until they are closed.
    fn close(&self) {
        self.drain.advance(DrainStage::Closing);
        thread::sleep(CLOSE_TIME);
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn send(connection: &mut BufReader<TcpStream>, text: &str) {
    // The server may have closed the connection.
    let _ = connection.get_mut().write_all(text.as_bytes());
}

/// Reads a response; `None` if the connection ends before it.
fn read_response(connection: &mut BufReader<TcpStream>) -> Option<(u16, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if connection.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let mut body = vec![0; length.parse().ok()?];
    connection.read_exact(&mut body).ok()?;
    let is_last = head.contains("connection: close\r\n");
    assert!(is_last || status == 200, "a refusal keeps the connection: {head}");
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

fn read_status(connection: &mut BufReader<TcpStream>) -> Option<u16> {
    read_response(connection).map(|(status, _)| status)
}

/// Returns what is received until the connection ends.
fn read_rest(connection: &mut BufReader<TcpStream>) -> String {
    let mut rest = Vec::new();
    let _ = connection.read_to_end(&mut rest);
    String::from_utf8_lossy(&rest).into_owned()
}

#[test]
fn request_that_crosses_the_close_of_its_idle_connection_is_refused() {
    let server = Server::start(LONG_TIMEOUT);
    let mut connections: Vec<_> = (0..20).map(|_| server.connect_and_exchange()).collect();
    server.close();
    for connection in &mut connections {
        send(connection, REQUEST);
        assert_eq!(read_status(connection), Some(408));
    }
    assert_eq!(server.requests(), connections.len());
}

/// Requests arrive before, at and after the moment at which idle connections are closed.
#[test]
fn each_request_around_the_close_of_its_idle_connection_is_answered() {
    const CONNECTIONS: u32 = 100;
    let server = Server::start(LONG_TIMEOUT);
    let connections: Vec<_> = (0..CONNECTIONS).map(|_| server.connect_and_exchange()).collect();
    let close_at = Instant::now() + Duration::from_millis(100);
    let statuses: Vec<_> = thread::scope(|scope| {
        let callers = connections.into_iter().zip(0..).map(|(mut connection, number)| {
            let sent_at = close_at - Duration::from_millis(5) + Duration::from_micros(100) * number;
            scope.spawn(move || {
                thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                send(&mut connection, REQUEST);
                read_status(&mut connection)
            })
        });
        let callers: Vec<_> = callers.collect();
        thread::sleep(close_at.saturating_duration_since(Instant::now()));
        server.drain.advance(DrainStage::Closing);
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    });
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    let refused = statuses.iter().filter(|status| **status == Some(408)).count();
    assert_eq!(served + refused, statuses.len(), "{statuses:?}");
    assert_eq!(server.requests(), CONNECTIONS as usize + served, "refused requests were served");
}

#[test]
fn first_request_that_crosses_the_close_of_its_connection_is_refused() {
    let server = Server::start(LONG_TIMEOUT);
    let mut connection = server.connect();
    server.close();
    send(&mut connection, REQUEST);
    assert_eq!(read_status(&mut connection), Some(408));
    assert_eq!(server.requests(), 0);
}

#[test]
fn request_that_crosses_the_idle_timeout_is_refused() {
    let server = Server::start(SHORT_TIMEOUT);
    let mut connections = [server.connect_and_exchange(), server.connect()];
    thread::sleep(SHORT_TIMEOUT + CLOSE_TIME);
    for connection in &mut connections {
        send(connection, REQUEST);
        assert_eq!(read_status(connection), Some(408));
    }
    assert_eq!(server.requests(), 1);
}

#[test]
fn head_that_is_not_completed_in_time_is_refused() {
    let server = Server::start(SHORT_TIMEOUT);
    let mut connections = [server.connect_and_exchange(), server.connect()];
    let (start, end) = REQUEST.split_at(REQUEST.len() / 2);
    for connection in &mut connections {
        send(connection, start);
    }
    thread::sleep(SHORT_TIMEOUT + CLOSE_TIME);
    for connection in &mut connections {
        send(connection, end);
        assert_eq!(read_status(connection), Some(408));
    }
    assert_eq!(server.requests(), 1);
}

#[test]
fn connection_whose_response_announced_the_close_ends_without_a_refusal() {
    let server = Server::start(LONG_TIMEOUT);
    let mut connection = server.connect();
    send(&mut connection, LAST_REQUEST);
    assert_eq!(read_status(&mut connection), Some(200));
    assert_eq!(read_rest(&mut connection), "");
    server.drain.advance(DrainStage::Announced);
    let mut connection = server.connect_and_exchange();
    server.close();
    assert_eq!(read_rest(&mut connection), "");
}

#[test]
fn caller_that_sends_nothing_more_gets_no_refusal() {
    let server = Server::start(SHORT_TIMEOUT);
    let mut connections = [server.connect_and_exchange(), server.connect()];
    for connection in &mut connections {
        connection.get_ref().shutdown(Shutdown::Write).expect("shut the sending side");
    }
    server.close();
    for connection in &mut connections {
        assert_eq!(read_rest(connection), "");
    }
}
