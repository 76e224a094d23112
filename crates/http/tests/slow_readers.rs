//! Large responses that are read slowly.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};

const BODY_BYTES: usize = 24 << 20;
const BODY_TIMEOUT: Duration = Duration::from_millis(300);
/// The reader takes one part per pause, so that the response takes several body timeouts.
const PART_BYTES: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(5);

struct LargeBody;

impl Handler for LargeBody {
    fn handle(&self, exchange: Exchange) {
        exchange.reply_text(200, "text/plain", "x".repeat(BODY_BYTES));
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}

fn read_slowly(stream: &mut TcpStream) -> usize {
    let mut part = vec![0; PART_BYTES];
    let mut received = 0;
    while let Ok(count @ 1..) = stream.read(&mut part) {
        received += count;
        thread::sleep(PAUSE);
    }
    received
}

#[test]
fn reader_that_takes_longer_than_the_body_timeout_gets_the_whole_response() {
    let settings = ServerSettings { body_timeout: BODY_TIMEOUT, ..ServerSettings::default() };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, settings, Arc::new(LargeBody)).expect("started");
    let mut stream = TcpStream::connect(server.address()).expect("connected");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n").expect("sent");

    let received = read_slowly(&mut stream);
    assert!(received > BODY_BYTES, "{received} bytes were received");
}
