//! Event streams whose reader stops, or reads slowly.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, STREAM_DONE, ServerSettings};
use parking_lot::Mutex;

const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Far above the time until a stalled reader is noticed.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(20);
const EVENT_BYTES: usize = 256 << 10;
/// Events of a stream that is larger than the buffers of its sockets.
const EVENTS: usize = 64;
/// A slow reader takes one part per pause, so that the stream takes several stall timeouts.
const PART_BYTES: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(20);

/// Sends events, and reports whether all of them were sent.
struct LargeStream {
    pause: Duration,
    events: usize,
    ended: Mutex<Sender<bool>>,
}

impl Handler for LargeStream {
    fn handle(&self, exchange: Exchange) {
        let mut events = exchange.start_event_stream(&[]).expect("the head is sent");
        let data = "x".repeat(EVENT_BYTES);
        let mut is_complete = true;
        for _ in 0..self.events {
            is_complete &= events.send_text(&data).is_ok();
            thread::sleep(self.pause);
        }
        is_complete &= events.send_text(STREAM_DONE).is_ok();
        drop(events);
        self.ended.lock().send(is_complete).expect("the test waits");
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}

/// Starts a stream; returns its connection before the server, which waits for the stream on drop.
fn start(events: usize, pause: Duration) -> (HttpServer, TcpStream, Receiver<bool>) {
    let (sender, ended) = channel();
    let handler = LargeStream { pause, events, ended: Mutex::new(sender) };
    let settings =
        ServerSettings { reader_stall_timeout: STALL_TIMEOUT, ..ServerSettings::default() };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, settings, Arc::new(handler)).expect("started");
    let mut stream = TcpStream::connect(server.address()).expect("connected");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n").expect("sent");
    (server, stream, ended)
}

fn read_slowly(mut stream: TcpStream) -> usize {
    let mut part = vec![0; PART_BYTES];
    let mut received = 0;
    while let Ok(count @ 1..) = stream.read(&mut part) {
        received += count;
        thread::sleep(PAUSE);
    }
    received
}

#[test]
fn reader_that_stops_does_not_hold_a_worker() {
    let (server, stream, ended) = start(EVENTS, Duration::ZERO);
    let is_complete = ended.recv_timeout(HANDLER_TIMEOUT);
    // Ends the stream if the server has not.
    drop(stream);
    drop(server);
    assert_eq!(is_complete, Ok(false));
}

#[test]
fn slow_reader_that_makes_progress_gets_the_whole_stream() {
    let (_server, stream, ended) = start(EVENTS, Duration::ZERO);
    let received = read_slowly(stream);
    assert_eq!(ended.recv_timeout(HANDLER_TIMEOUT), Ok(true));
    assert!(received > EVENTS * EVENT_BYTES, "{received} bytes were received");
}

#[test]
fn stream_without_events_for_a_long_time_is_kept() {
    let (_server, stream, ended) = start(1, STALL_TIMEOUT * 4);
    let received = read_slowly(stream);
    assert_eq!(ended.recv_timeout(HANDLER_TIMEOUT), Ok(true));
    assert!(received > EVENT_BYTES, "{received} bytes were received");
}
