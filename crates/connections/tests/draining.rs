//! Connections that are closed while their peers have not received everything.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Drain, DrainStage, StopSchedule, accept};
use http_body_util::Full;
use hyper::Response;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, socket_with};

const RESPONSE_BYTES: usize = 2 << 20;
/// Time limit for a connection; shorter than the kernel's, which sends again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const SERVING_TIME: Duration = Duration::from_millis(10);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
const LAST_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const SETTINGS: ConnectionSettings = ConnectionSettings {
    head_timeout: Duration::from_secs(5),
    max_head_bytes: 8 << 10,
    stall_timeout: Duration::from_secs(60),
};

fn bind() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    listener.set_nonblocking(true).expect("set nonblocking mode");
    let address = listener.local_addr().expect("local address");
    (listener, address)
}

async fn serve(listener: std::net::TcpListener, drain: Drain) {
    serve_body(listener, drain, RESPONSE_BYTES).await;
}

async fn serve_body(listener: std::net::TcpListener, drain: Drain, bytes: usize) {
    serve_with_settings(listener, drain, bytes, || SETTINGS).await;
}

async fn serve_with_settings(
    listener: std::net::TcpListener,
    drain: Drain,
    bytes: usize,
    settings: impl Fn() -> ConnectionSettings,
) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("register the listener");
    let body = Bytes::from(vec![b'x'; bytes]);
    let handler = move |_request, _context| {
        let response = Response::new(Full::new(body.clone()));
        async { response }
    };
    accept(listener, drain, settings, handler).await;
}

async fn serve_until_closed(listener: std::net::TcpListener, drain: Drain) {
    serve_body(listener, drain.clone(), 1).await;
    drain.wait_until_closed(Instant::now() + CLOSE_TIMEOUT).await;
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("build the runtime").block_on(future)
}

/// Starts a server that keeps its connections, and sends it a request.
fn start_exchange() -> (Drain, TcpStream) {
    let (listener, address) = bind();
    let drain = Drain::default();
    let server_drain = drain.clone();
    thread::spawn(move || {
        run(async {
            serve(listener, server_drain).await;
            std::future::pending::<()>().await;
        })
    });
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.write_all(REQUEST).expect("send the request");
    (drain, stream)
}

/// The request makes the kernel reset the connection if its socket is closed already, which discards
/// what the peer has not read.
#[test]
fn response_in_socket_buffers_survives_a_request_after_the_close() {
    let (drain, mut stream) = start_exchange();
    let mut received = vec![0; 64 << 10];
    stream.read_exact(&mut received).expect("the start of the response");
    thread::sleep(Duration::from_millis(300));
    drain.advance(DrainStage::Closing);
    thread::sleep(Duration::from_millis(200));
    stream.write_all(REQUEST).expect("send another request");
    thread::sleep(Duration::from_millis(200));
    stream.read_to_end(&mut received).expect("the rest of the response");
    assert!(received.len() > RESPONSE_BYTES, "{} bytes", received.len());
}

/// Otherwise a process exits before it looks at them.
#[test]
fn queued_connections_count_as_open_when_the_listener_is_closed() {
    const CONNECTIONS: usize = 100;
    let (listener, address) = bind();
    let streams: Vec<TcpStream> =
        (0..CONNECTIONS).map(|_| TcpStream::connect(address).expect("connect")).collect();
    let open = run(async {
        let drain = Drain::default();
        drain.advance(DrainStage::Closing);
        serve(listener, drain.clone()).await;
        drain.open_connections()
    });
    assert_eq!(open, CONNECTIONS);
    drop(streams);
}

/// Otherwise a stopping process waits for peers that are gone.
#[test]
fn connection_that_its_peer_reset_during_the_response_is_closed() {
    let (drain, mut stream) = start_exchange();
    stream.read_exact(&mut [0; 12]).expect("the start of the response");
    // The kernel resets a connection that is closed over unread bytes.
    drop(stream);
    drain.advance(DrainStage::Closing);
    run(drain.wait_until_closed(Instant::now() + CLOSE_TIMEOUT));
    assert_eq!(drain.open_connections(), 0);
}

/// Connects and sends a request again and again until no connection is accepted; returns how many
/// requests stayed without an answer.
fn send_until_refused(address: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
        let sent = stream.write_all(LAST_REQUEST);
        let mut response = Vec::new();
        let received = stream.read_to_end(&mut response);
        unanswered += usize::from(sent.is_err() || received.is_err() || response.is_empty());
    }
    unanswered
}

#[test]
fn connections_made_while_the_listener_is_closed_are_served() {
    const ROUNDS: usize = 40;
    const PEERS: usize = 8;
    let unanswered: usize = (0..ROUNDS)
        .map(|_| {
            let (listener, address) = bind();
            let drain = Drain::default();
            thread::scope(|scope| {
                let peers: Vec<_> =
                    (0..PEERS).map(|_| scope.spawn(move || send_until_refused(address))).collect();
                let server_drain = drain.clone();
                scope.spawn(move || run(serve_until_closed(listener, server_drain)));
                thread::sleep(SERVING_TIME);
                drain.advance(DrainStage::Closing);
                peers.into_iter().map(|peer| peer.join().expect("a peer")).sum::<usize>()
            })
        })
        .sum();
    assert_eq!(unanswered, 0, "requests without an answer");
}

/// Begins to connect, without waiting for the server.
fn begin_to_connect(address: SocketAddr) -> OwnedFd {
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::NONBLOCK, None);
    let socket = socket.expect("open a socket");
    let connected = connect(&socket, &address);
    assert!(matches!(connected, Ok(()) | Err(Errno::INPROGRESS)), "{connected:?}");
    socket
}

/// Peers may connect as fast as a server with little processor time accepts them.
#[test]
fn listener_is_closed_although_another_peer_is_always_waiting() {
    const ACCEPTED_BEFORE: usize = 300;
    const MAX_PEERS: usize = 10_000;
    let (listener, address) = bind();
    let drain = Drain::default();
    let accepted = Cell::new(0);
    // Called for each accepted connection; ends the flood if the listener is never closed.
    let settings = || {
        accepted.set(accepted.get() + 1);
        if accepted.get() == ACCEPTED_BEFORE {
            drain.advance(DrainStage::Closing);
        }
        if accepted.get() < MAX_PEERS {
            drop(begin_to_connect(address));
        }
        SETTINGS
    };
    drop(begin_to_connect(address));
    run(serve_with_settings(listener, drain.clone(), 1, settings));
    // One more is waiting when the listener is closed.
    assert_eq!(accepted.get(), ACCEPTED_BEFORE + 1, "accepted connections");
}

/// Serves requests that are answered when the stop makes them due, and stops.
async fn stop_with_waiting_requests(listener: std::net::TcpListener, grace: Duration) -> usize {
    let listener = tokio::net::TcpListener::from_std(listener).expect("register the listener");
    let drain = Drain::default();
    let handler_drain = drain.clone();
    let handler = move |_request, _context| {
        let drain = handler_drain.clone();
        async move {
            drain.answers_due().await;
            Response::new(Full::new(Bytes::from_static(b"due")))
        }
    };
    let accepting = tokio::spawn(accept(listener, drain.clone(), || SETTINGS, handler));
    tokio::time::sleep(SERVING_TIME).await;
    let schedule = StopSchedule::new(Instant::now(), grace);
    drain.announce(schedule);
    drain.advance(DrainStage::Closing);
    accepting.await.expect("the listener is closed");
    // Stands still from before the answers are due until after the connections are to be cut.
    thread::sleep((schedule.exit_by() + SERVING_TIME).saturating_duration_since(Instant::now()));
    drain.wait_until_closed(schedule.exit_by()).await;
    drain.open_connections()
}

/// Otherwise it cuts at once what it should have answered meanwhile.
#[test]
fn requests_are_answered_by_a_process_that_stood_still_until_its_exit() {
    const PEERS: usize = 8;
    const GRACE: Duration = Duration::from_secs(1);
    let (listener, address) = bind();
    let peers: Vec<_> = (0..PEERS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("connect");
            stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
            stream.write_all(LAST_REQUEST).expect("send the request");
            thread::spawn(move || {
                let mut response = Vec::new();
                let _ = stream.read_to_end(&mut response);
                response.ends_with(b"due")
            })
        })
        .collect();
    let open = run(stop_with_waiting_requests(listener, GRACE));
    let answered = peers.into_iter().map(|peer| peer.join().expect("a peer"));
    assert_eq!(answered.filter(|is_answered| *is_answered).count(), PEERS);
    assert_eq!(open, 0, "open connections");
}
