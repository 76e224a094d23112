//! Servers on loopback whose responses never end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_outbound::{ReadPacer, ReadShare, ServerConnection};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What sockets of both sides may hold beyond the bytes that were read.
const SOCKET_BUFFERS_BYTES: usize = 8 << 20;

/// Accepts a connection, reads a request, and writes `start` and then `part` until it is closed.
/// Returns the number of written bytes.
async fn serve_endlessly(listener: TcpListener, start: &'static str, part: String) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await.expect("a request");
    let mut written = 0;
    let parts = std::iter::once(start.as_bytes()).chain(std::iter::repeat(part.as_bytes()));
    for bytes in parts {
        if stream.write_all(bytes).await.is_err() {
            break;
        }
        written += bytes.len();
    }
    written
}

async fn connect(
    start: &'static str,
    part: String,
) -> (ServerConnection<Empty<Bytes>>, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve_endlessly(listener, start, part));
    let stream = TcpStream::connect(address).await.expect("connected");
    let pacer = ReadPacer::new(ReadShare::OF_REPLICAS);
    (ServerConnection::open(stream, &pacer).await.expect("open"), server)
}

/// A pause of minutes, as many large responses on a slow machine can have.
fn pause_for_long(connection: &ServerConnection<Empty<Bytes>>) {
    let lane = connection.lane();
    for _ in 0..1_000 {
        lane.charge(Duration::from_millis(100), Instant::now());
    }
    assert!(lane.pause_until(Instant::now()).is_some());
}

fn request() -> Request<Empty<Bytes>> {
    Request::get("/").header("host", "x").body(Empty::new()).expect("a request")
}

async fn assert_head_is_cut(start: &'static str, part: String) {
    let (mut connection, server) = connect(start, part).await;
    assert!(connection.send_request(request()).await.is_err());
    let written = server.await.expect("the server ends");
    assert!(written <= SOCKET_BUFFERS_BYTES, "{written} bytes");
}

#[tokio::test]
async fn endless_interim_responses_end_the_connection() {
    assert_head_is_cut("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)).await;
    assert_head_is_cut("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(100)).await;
}

#[tokio::test]
async fn endless_header_lines_end_the_connection() {
    assert_head_is_cut("HTTP/1.1 200 OK\r\n", "x-a: b\r\n".repeat(100)).await;
    assert_head_is_cut("HTTP/1.1 200 OK\r\nx-a: ", "b".repeat(1_000)).await;
}

#[tokio::test]
async fn large_body_is_read_whole() {
    const BYTES: usize = 4 << 20;
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 4194304\r\n\r\n";
    let (mut connection, server) = connect(start, "x".repeat(1_024)).await;
    let response = connection.send_request(request()).await.expect("a response");
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    assert_eq!(body.len(), BYTES);
    drop(connection);
    server.await.expect("the server ends");
}

/// A body that is dropped unread closes the connection even while the connection pauses.
#[tokio::test]
async fn endless_body_ends_when_its_reader_leaves() {
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let (mut connection, server) = connect(start, chunk).await;
    let response = connection.send_request(request()).await.expect("a response");
    let mut body = response.into_body();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            counted.fetch_add(frame.data_ref().map_or(0, Bytes::len), Ordering::Relaxed);
        }
    };
    assert!(tokio::time::timeout(Duration::from_millis(200), reading).await.is_err());
    assert!(count.load(Ordering::Relaxed) > 0);
    pause_for_long(&connection);
    drop((body, connection));
    server.await.expect("the server ends");
}

#[tokio::test]
async fn connection_that_pauses_is_closed_on_request_while_its_body_is_held() {
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let (mut connection, server) = connect(start, chunk).await;
    let response = connection.send_request(request()).await.expect("a response");
    let mut body = response.into_body();
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    assert!(tokio::time::timeout(Duration::from_millis(200), reading).await.is_err());
    pause_for_long(&connection);
    connection.lane().closing().close().await;
    server.await.expect("the server ends");
    assert!(connection.is_closed());
    // A connection that is closed already does not wait.
    connection.lane().closing().close().await;
}
