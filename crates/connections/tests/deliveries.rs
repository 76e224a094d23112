//! Deliveries of responses to callers that read them late or not at all.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Delivery, Drain, RequestContext, accept};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;

const SETTINGS: ConnectionSettings = ConnectionSettings {
    head_timeout: Duration::from_secs(30),
    max_head_bytes: 8 << 10,
    stall_timeout: Duration::from_secs(30),
};
/// Held by the send buffer, and more than the receive buffer of a caller that reads nothing.
const IN_SOCKETS: usize = 2 << 20;
/// More than all socket buffers hold.
const IN_PROCESS: usize = 64 << 20;
/// Time in which a response is not delivered that nobody reads.
const UNREAD_TIME: Duration = Duration::from_millis(700);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

type Deliveries = Arc<Mutex<Vec<Delivery>>>;

/// Starts a server that responds with as many bytes as the path says.
fn start() -> (SocketAddr, Deliveries) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    let deliveries = Deliveries::default();
    let seen = Arc::clone(&deliveries);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("build the runtime").block_on(async {
            listener.set_nonblocking(true).expect("set nonblocking mode");
            let listener = tokio::net::TcpListener::from_std(listener).expect("register");
            let handler = move |request: Request<Incoming>, context: RequestContext| {
                context.body_received();
                seen.lock().push(context.delivery().clone());
                let bytes = request.uri().path()[1..].parse().expect("a size");
                async move { respond(bytes) }
            };
            accept(listener, Drain::default(), || SETTINGS, handler).await;
        });
    });
    (address, deliveries)
}

fn respond(bytes: usize) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(vec![b'x'; bytes])))
}

fn send(stream: &mut TcpStream, bytes: usize, connection: &str) {
    let head = format!("GET /{bytes} HTTP/1.1\r\nHost: x\r\nConnection: {connection}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("send the request");
}

/// Reads at least `bytes` bytes, the body of a response and a part of its head.
fn read(stream: &mut TcpStream, bytes: usize) {
    let read = std::io::copy(&mut stream.take(bytes as u64), &mut std::io::sink());
    assert_eq!(read.expect("the response"), bytes as u64);
}

/// Returns the delivery of a request, given by its number, once the request has arrived.
fn delivery(deliveries: &Deliveries, number: usize) -> Delivery {
    let started_at = Instant::now();
    loop {
        if let Some(delivery) = deliveries.lock().get(number) {
            return delivery.clone();
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "request {number} does not arrive");
        thread::sleep(CHECK_INTERVAL);
    }
}

fn assert_ends(delivery: &Delivery) {
    let started_at = Instant::now();
    while !delivery.has_ended() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the delivery does not end");
        thread::sleep(CHECK_INTERVAL);
    }
}

fn assert_goes_on(delivery: &Delivery) {
    let started_at = Instant::now();
    while started_at.elapsed() < UNREAD_TIME {
        assert!(!delivery.has_ended(), "the delivery ends after {:?}", started_at.elapsed());
        thread::sleep(CHECK_INTERVAL);
    }
}

fn assert_ends_once_read(bytes: usize, connection: &str) {
    let (address, deliveries) = start();
    let mut stream = TcpStream::connect(address).expect("connect");
    send(&mut stream, bytes, connection);
    let delivery = delivery(&deliveries, 0);
    assert_goes_on(&delivery);
    read(&mut stream, bytes);
    assert_ends(&delivery);
}

#[test]
fn delivery_ends_once_a_response_is_read_that_waits_in_socket_buffers() {
    assert_ends_once_read(IN_SOCKETS, "keep-alive");
}

#[test]
fn delivery_ends_once_a_response_is_read_that_waits_in_the_process() {
    assert_ends_once_read(IN_PROCESS, "keep-alive");
}

#[test]
fn delivery_ends_once_the_last_response_of_a_connection_is_read() {
    assert_ends_once_read(IN_SOCKETS, "close");
}

#[test]
fn delivery_ends_although_a_later_response_waits() {
    let (address, deliveries) = start();
    let mut stream = TcpStream::connect(address).expect("connect");
    send(&mut stream, 1, "keep-alive");
    send(&mut stream, IN_PROCESS, "keep-alive");
    let [first, second] = [0, 1].map(|number| delivery(&deliveries, number));
    assert_ends(&first);
    assert_goes_on(&second);
    assert!(first.has_ended());
}

#[test]
fn delivery_ends_with_its_connection() {
    let (address, deliveries) = start();
    let mut stream = TcpStream::connect(address).expect("connect");
    send(&mut stream, IN_PROCESS, "keep-alive");
    let delivery = delivery(&deliveries, 0);
    assert_goes_on(&delivery);
    drop(stream);
    assert_ends(&delivery);
}
