//! Responses and requests that are cut short, none of which may be taken for whole.

mod support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_http::{EventReader, Exchange, Handler, HttpClient, HttpServer, ServerSettings};
use serde_json::Value;
use support::{ConnectionEnd, ENDS, cut, start_cut};

/// Far above the time that a response takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Responses with a number, whose beginning is a number too.
const RESPONSES: [&str; 4] = [
    "HTTP/1.1 2|00 OK|\r\n|content-len|gth: |3|\r\n|\r|\n|4|2|\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chu|nked\r\n|\r\n|1|\r\n4|\r\n|1|\r\n2|\r\n|0|\r\n|\r|\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n|HTTP/1.1 200 OK\r\ncontent-length: 2\r\n|\r\n4|2",
    "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n|\r\n|4|2",
];
/// Response that ends with its connection.
const UNFRAMED_RESPONSE: &str = "HTTP/1.1 200 OK\r\n\r\n|4|2|";
/// Responses whose content or end cannot be told.
const AMBIGUOUS_RESPONSES: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n42",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\n42",
    "HTTP/1.1 200 OK\r\ncontent-length: 2x\r\n\r\n42",
];
/// Streams whose second event is cut.
const STREAMS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
     d\r\ndata: first\n\n\r\n|4|\r\nda|ta|\r\n|a|\r\n: second\n|\n\r\n|0|\r\n|\r|\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 27\r\n\r\ndata: first\n\n|da|ta: sec|ond|\n|",
];
/// Stream that ends with its connection.
const UNFRAMED_STREAM: &str = "HTTP/1.1 200 OK\r\n\r\ndata: first\n\nda|ta: |sec|ond|";
const REQUESTS: [&str; 2] = [
    "POST / HTTP/1.1\r\nhost: test\r\nconten|t-length: 1|0\r\n|\r\n|{\"key\"|: 1}",
    "POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n|\r\n|4|\r\n{\"|ke|\r\n|\
     6|\r\ny\": |1}|\r\n|0|\r\n|\r|\n",
];

fn client(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, TIMEOUT, TIMEOUT)
}

fn assert_not_whole(part: &str, end: ConnectionEnd) {
    let result = client(start_cut(part, end)).get::<Value>("/");
    assert!(result.is_err(), "{part:?}, {end:?}: {result:?}");
}

#[test]
fn cut_response_is_an_error() {
    for part in RESPONSES.iter().flat_map(|response| cut(response)) {
        ENDS.iter().for_each(|end| assert_not_whole(&part, *end));
    }
    cut(UNFRAMED_RESPONSE).iter().for_each(|part| assert_not_whole(part, ConnectionEnd::Reset));
}

#[test]
fn response_whose_end_is_ambiguous_is_an_error() {
    AMBIGUOUS_RESPONSES.iter().for_each(|part| assert_not_whole(part, ConnectionEnd::Closed));
}

#[test]
fn cut_event_is_an_error() {
    let streams = STREAMS.iter().chain([&UNFRAMED_STREAM]);
    for part in streams.flat_map(|stream| cut(stream)) {
        for end in ENDS {
            let opened = client(start_cut(&part, end)).get_event_stream("/");
            let Ok(mut events) = opened else {
                continue;
            };
            let first = events.next_data();
            if matches!(end, ConnectionEnd::Closed) {
                assert_eq!(first.expect("an event").as_deref(), Some("first"), "{part:?}");
            } else if first.is_err() {
                continue;
            }
            let mut next = events.next_data();
            if matches!(&next, Ok(Some(data)) if data == "second") {
                next = events.next_data();
            }
            assert!(next.is_err(), "{part:?}, {end:?}: {next:?}");
        }
    }
}

#[test]
fn event_without_its_line_end_is_an_error() {
    let mut events = EventReader::new("data: first\n\ndata: sec".as_bytes());
    assert_eq!(events.next_data().expect("an event").as_deref(), Some("first"));
    let cut = events.next_data();
    assert!(cut.is_err(), "{cut:?}");
}

/// Answers 200 to a request whose body is whole.
struct WholeBodies;

impl Handler for WholeBodies {
    fn handle(&self, mut exchange: Exchange) {
        match exchange.read_json::<Value>() {
            Ok(_) => exchange.reply_text(200, "text/plain", "whole\n"),
            Err(error) => exchange.reply_text(400, "text/plain", error.to_string()),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}

/// Sends a request, closes the sending side, and returns everything that the server sends.
fn request(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("configured");
    stream.write_all(text.as_bytes()).expect("sent");
    stream.shutdown(Shutdown::Write).expect("shut down");
    let mut received = Vec::new();
    // A connection that is reset still counts what arrived before.
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn cut_request_is_not_handled_as_whole() {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, ServerSettings::default(), Arc::new(WholeBodies));
    let server = server.expect("started");
    for text in REQUESTS {
        let whole = request(server.address(), &text.replace('|', ""));
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        for part in cut(text) {
            let response = request(server.address(), &part);
            assert!(!response.contains("HTTP/1.1 200"), "{part:?}: {response}");
        }
    }
}
