//! Requests of the client to servers whose responses never end, or arrive byte by byte.

mod support;

use std::io::{Read, Write};
use std::time::Duration;

use calicohoist_http::{ClientError, HttpClient};
use serde_json::Value;
use support::{MAX_TAKEN_BYTES, ScriptedServer, send_without_end, trickle};

/// Far above the time that a response of the size limit takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Far below the time that a trickled response takes, and above the time between its parts.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// More than socket buffers hold.
const LARGE_BODY_BYTES: usize = 64 << 20;

fn get(
    server: &ScriptedServer<impl Send + 'static>,
    timeout: Duration,
) -> Result<Value, ClientError> {
    HttpClient::new(server.address, LONG_TIMEOUT, timeout).get("/")
}

/// Returns the result of a request whose response is `start` and then `part` without end, and
/// asserts that the client takes a bounded part of it.
fn get_endless(start: &'static str, part: &'static str) -> Result<Value, ClientError> {
    let server = ScriptedServer::start(move |stream| send_without_end(stream, start, part));
    let result = get(&server, LONG_TIMEOUT);
    let taken = server.join();
    assert!(taken < MAX_TAKEN_BYTES, "the client took {taken} bytes");
    result
}

/// Returns the result of a request whose response arrives slowly, and asserts that the client does
/// not wait for its end.
fn get_trickled(
    start: &'static str,
    part: &'static str,
    end: &'static str,
) -> Result<Value, ClientError> {
    let server = ScriptedServer::start(move |stream| trickle(stream, start, part, end));
    let result = get(&server, SHORT_TIMEOUT);
    assert!(!server.join(), "the client waited for the end of the response");
    result
}

fn assert_broken(result: Result<Value, ClientError>) {
    assert!(matches!(result, Err(ClientError::Broken(_))), "{result:?}");
}

#[test]
fn invalid_header_lines_without_end_are_not_read() {
    assert_broken(get_endless("HTTP/1.1 200 OK\r\n", "bad name: value\r\n"));
}

#[test]
fn header_lines_without_end_are_not_read() {
    assert_broken(get_endless("HTTP/1.1 200 OK\r\n", "name: value\r\n"));
}

#[test]
fn head_without_a_line_end_is_not_read() {
    assert_broken(get_endless("HTTP/1.1 200 OK\r\nname: ", "value"));
}

#[test]
fn interim_responses_without_end_are_not_read() {
    assert_broken(get_endless("", "HTTP/1.1 100 Continue\r\n\r\n"));
    assert_broken(get_endless("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"));
}

#[test]
fn error_body_without_end_is_not_read() {
    let result = get_endless("HTTP/1.1 503 Service Unavailable\r\n\r\n", "busy");
    assert!(matches!(result, Err(ClientError::Status { status: 503, .. })), "{result:?}");
}

#[test]
fn chunk_extension_without_end_is_not_read() {
    assert_broken(get_endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;", "name"));
}

#[test]
fn trickled_head_ends_at_the_time_limit() {
    assert_broken(get_trickled(
        "HTTP/1.1 200 OK\r\nname: ",
        "x",
        "\r\ncontent-length: 2\r\n\r\n{}",
    ));
}

#[test]
fn trickled_body_ends_at_the_time_limit() {
    assert_broken(get_trickled("HTTP/1.1 200 OK\r\n\r\n\"", "x", "\""));
}

#[test]
fn trickled_error_body_does_not_delay_its_status() {
    let result = get_trickled("HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", "");
    assert!(matches!(result, Err(ClientError::Status { status: 503, .. })), "{result:?}");
}

#[test]
fn request_that_the_server_does_not_read_ends_at_the_time_limit() {
    let server = ScriptedServer::start(|stream| {
        std::thread::sleep(SHORT_TIMEOUT * 10);
        let mut body = stream.try_clone().expect("cloned").take(LARGE_BODY_BYTES as u64);
        // Fails if the client has closed the connection.
        let _ = std::io::copy(&mut body, &mut std::io::sink());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    });
    let client = HttpClient::new(server.address, LONG_TIMEOUT, SHORT_TIMEOUT);
    let result = client.post::<_, Value>("/", &"x".repeat(LARGE_BODY_BYTES));
    server.join();
    assert_broken(result);
}

#[test]
fn final_response_after_interim_responses_is_returned() {
    const HEADS: &str =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    const FINAL: &str =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n4\r\n1;a=b\r\n2\r\n0\r\n\r\n";
    let server =
        ScriptedServer::start(|stream| stream.write_all([HEADS, FINAL].concat().as_bytes()));
    let result = get(&server, LONG_TIMEOUT);
    server.join().expect("sent");
    assert_eq!(result.expect("a response"), Value::from(42));
}

#[test]
fn body_that_ends_early_is_an_error() {
    const RESPONSES: [&str; 3] = [
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n42",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n42\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\n42",
    ];
    for response in RESPONSES {
        let server = ScriptedServer::start(|stream| stream.write_all(response.as_bytes()));
        let result = get(&server, LONG_TIMEOUT);
        server.join().expect("sent");
        assert_broken(result);
    }
}
