//! Connections that are closed while their peers have not received everything.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Drain, DrainStage, accept};
use http_body_util::Full;
use hyper::Response;

const RESPONSE_BYTES: usize = 2 << 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const SETTINGS: ConnectionSettings = ConnectionSettings {
    head_timeout: Duration::from_secs(5),
    max_head_bytes: 8 << 10,
    stall_timeout: Duration::from_secs(5),
};

fn bind() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    listener.set_nonblocking(true).expect("set nonblocking mode");
    let address = listener.local_addr().expect("local address");
    (listener, address)
}

async fn serve(listener: std::net::TcpListener, drain: Drain) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("register the listener");
    let body = Bytes::from(vec![b'x'; RESPONSE_BYTES]);
    let handler = move |_request, _context| {
        let response = Response::new(Full::new(body.clone()));
        async { response }
    };
    accept(listener, drain, || SETTINGS, handler).await;
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("build the runtime").block_on(future)
}

/// The request makes the kernel reset the connection if its socket is closed already, which discards
/// what the peer has not read.
#[test]
fn response_in_socket_buffers_survives_a_request_after_the_close() {
    let (listener, address) = bind();
    let drain = Drain::default();
    let server_drain = drain.clone();
    thread::spawn(move || {
        run(async {
            serve(listener, server_drain.clone()).await;
            std::future::pending::<()>().await;
        })
    });
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.write_all(REQUEST).expect("send the request");
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
