//! Event streams as seen by a caller that keeps its connection open.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, STREAM_DONE, ServerSettings};
use parking_lot::Mutex;

/// Read timeout of the caller, far above the time that a response takes.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
const STREAM_END: &[u8] = b"0\r\n\r\n";

/// Sends one event, then waits for the test before it sends the last one.
struct TwoEvents {
    proceed: Mutex<Receiver<()>>,
}

impl Handler for TwoEvents {
    fn handle(&self, exchange: Exchange) {
        let mut events = exchange.start_event_stream(&[]).expect("the head is sent");
        events.send_text("first").expect("the event is sent");
        let _ = self.proceed.lock().recv_timeout(CALLER_TIMEOUT * 2);
        events.send_text(STREAM_DONE).expect("the event is sent");
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}

/// Reads until `end` has arrived and returns everything that was read.
fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while !received.windows(end.len()).any(|part| part == end) {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    received
}

fn contains(received: &[u8], expected: &[u8]) -> bool {
    received.windows(expected.len()).any(|part| part == expected)
}

#[test]
fn events_and_the_end_of_a_stream_are_not_held_back_on_a_kept_connection() {
    let (proceed, receiver) = channel();
    let handler = TwoEvents { proceed: Mutex::new(receiver) };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, ServerSettings::default(), Arc::new(handler))
        .expect("the server starts");
    let mut stream = TcpStream::connect(server.address()).expect("connected");
    stream.set_read_timeout(Some(CALLER_TIMEOUT)).expect("configured");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").expect("sent");

    let first = read_until(&mut stream, b"data: first\n\n");
    assert!(contains(&first, b"data: first\n\n"), "the first event is held back");
    proceed.send(()).expect("the handler waits");
    let rest = read_until(&mut stream, STREAM_END);
    assert!(contains(&rest, b"data: [DONE]\n\n"), "the last event is held back");
    assert!(contains(&rest, STREAM_END), "the end of the stream is held back");
}
