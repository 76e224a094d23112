//! Connections that are kept for many requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Drain, accept};
use http_body_util::Full;
use hyper::Response;

const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_millis(600);
const SETTINGS: ConnectionSettings = ConnectionSettings {
    head_timeout: HEAD_TIMEOUT,
    max_head_bytes: 8 << 10,
    stall_timeout: Duration::from_secs(5),
};

/// Starts a server that answers each request after [`WORK`].
fn start_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    listener.set_nonblocking(true).expect("set nonblocking mode");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("build the runtime").block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("register");
            let handler = |_request, _context| async {
                tokio::time::sleep(WORK).await;
                Response::new(Full::new(Bytes::from_static(b"whole")))
            };
            accept(listener, Drain::default(), || SETTINGS, handler).await;
        });
    });
    address
}

fn exchange(connection: &mut BufReader<TcpStream>) -> String {
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    connection.get_mut().write_all(request).expect("send the request");
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        assert_ne!(connection.read_line(&mut line).expect("read the head"), 0, "closed early");
    }
    let mut body = [0; 5];
    connection.read_exact(&mut body).expect("read the body");
    String::from_utf8_lossy(&body).into_owned()
}

/// The time limit for a request's head ends with the head, not with the response.
#[test]
fn request_that_runs_past_the_time_limit_of_its_head_is_answered() {
    let stream = TcpStream::connect(start_server()).expect("connect");
    let mut connection = BufReader::new(stream);
    for _ in 0..3 {
        assert_eq!(exchange(&mut connection), "whole");
    }
}
