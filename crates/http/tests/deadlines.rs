//! Deadlines of a request must not end other requests of its connection.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};

const BODY_TIMEOUT: Duration = Duration::from_millis(200);
const SLOW_REQUEST: &str = "GET /slow HTTP/1.1\r\nhost: test\r\n\r\n";
const LAST_REQUEST: &str = "GET /fast HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
const UNFINISHED_REQUEST: &str =
    "POST /fast HTTP/1.1\r\nhost: test\r\ncontent-length: 5000\r\n\r\n{";

struct SlowPath;

impl Handler for SlowPath {
    fn handle(&self, mut exchange: Exchange) {
        if exchange.path() == "/slow" {
            thread::sleep(BODY_TIMEOUT * 5);
        }
        match exchange.read_body() {
            Ok(_) => exchange.reply_text(200, "text/plain", "done\n"),
            Err(error) => exchange.reply_text(400, "text/plain", error.to_string()),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}

/// Sends `requests` at once and returns the status lines of all responses.
fn statuses(requests: &[&str], shut: bool) -> Vec<String> {
    let settings = ServerSettings { body_timeout: BODY_TIMEOUT, ..ServerSettings::default() };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, settings, Arc::new(SlowPath)).expect("started");
    let mut stream = TcpStream::connect(server.address()).expect("connected");
    stream.set_read_timeout(Some(BODY_TIMEOUT * 25)).expect("configured");
    stream.write_all(requests.concat().as_bytes()).expect("sent");
    if shut {
        stream.shutdown(Shutdown::Write).expect("shut down");
    }
    let mut received = Vec::new();
    // A connection that is reset still counts what arrived before.
    let _ = stream.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received).into_owned();
    text.split("HTTP/1.1 ").skip(1).map(|part| part[..3].to_owned()).collect()
}

#[test]
fn response_that_waits_for_an_earlier_one_does_not_close_the_connection() {
    assert_eq!(statuses(&[SLOW_REQUEST, LAST_REQUEST], false), ["200", "200"]);
}

#[test]
fn late_body_does_not_end_an_earlier_request_of_its_connection() {
    assert_eq!(statuses(&[SLOW_REQUEST, UNFINISHED_REQUEST], false), ["200", "400"]);
}

#[test]
fn caller_whose_body_is_late_gets_a_response() {
    assert_eq!(statuses(&[UNFINISHED_REQUEST], false), ["400"]);
}

#[test]
fn caller_that_shuts_its_sending_side_gets_its_responses() {
    assert_eq!(statuses(&[SLOW_REQUEST, LAST_REQUEST], true), ["200", "200"]);
}
