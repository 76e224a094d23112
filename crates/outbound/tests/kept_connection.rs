//! Bytes that a server sends to a kept connection between two requests.

use std::future::{Future, poll_fn};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::pin;
use std::sync::mpsc::{self, Receiver, Sender};
use std::task::Poll;
use std::thread::{self, JoinHandle};

use bytes::Bytes;
use calicohoist_outbound::{ReadPacer, ReadShare, ServerConnection, UsedBeforeRequest};
use calicohoist_transport::tcp;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::TrySendError;
use tokio::net::TcpStream;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
/// Long enough that its connection pauses within a share of a percent.
const LARGE_BODY_BYTES: usize = 4_000_000;
const PAUSED_ROUNDS: usize = 10;

/// What a server does between two requests.
#[derive(Clone, Copy)]
enum BetweenRequests {
    Write(&'static [u8]),
    Close,
}

/// Server that answers each request on one connection, and acts when it is told to.
struct Server {
    address: SocketAddr,
    act: Sender<BetweenRequests>,
    /// Whether the next request had arrived when the server acted.
    acted: Receiver<bool>,
    /// Returns how many requests it has read.
    thread: JoinHandle<usize>,
}

impl Server {
    fn start() -> Self {
        Self::start_with(RESPONSE.to_vec())
    }

    /// Starts a server with this first response.
    fn start_with(first: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (act, actions) = mpsc::channel();
        let (acting, acted) = mpsc::channel();
        let thread = thread::spawn(move || serve(&listener, first, &actions, &acting));
        Self { address, act, acted, thread }
    }

    fn act(&self, action: BetweenRequests) {
        self.act.send(action).expect("the server runs");
        self.acted.recv().expect("the server runs");
    }

    fn requests(self) -> usize {
        drop(self.act);
        self.thread.join().expect("the server ends")
    }
}

fn serve(
    listener: &TcpListener,
    first: Vec<u8>,
    actions: &Receiver<BetweenRequests>,
    acted: &Sender<bool>,
) -> usize {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut request = [0; 1_024];
    let mut requests = 0;
    let mut response = first;
    while stream.read(&mut request).is_ok_and(|length| length > 0) {
        requests += 1;
        stream.write_all(&response).expect("written");
        response = RESPONSE.to_vec();
        let action = actions.recv();
        let has_arrived = tcp::has_received(&stream);
        match action {
            Ok(BetweenRequests::Write(bytes)) => stream.write_all(bytes).expect("written"),
            Ok(BetweenRequests::Close) => stream.shutdown(Shutdown::Write).expect("closed"),
            Err(_) => return requests,
        }
        acted.send(has_arrived).expect("the test waits");
    }
    requests
}

type Connection = ServerConnection<Empty<Bytes>>;

/// Returns a connection and its socket.
async fn connect(address: SocketAddr) -> (Connection, OwnedFd) {
    connect_with_share(address, ReadShare::OF_REPLICAS).await
}

async fn connect_with_share(address: SocketAddr, share: ReadShare) -> (Connection, OwnedFd) {
    let stream = TcpStream::connect(address).await.expect("connected");
    let socket = stream.as_fd().try_clone_to_owned().expect("a descriptor");
    let pacer = ReadPacer::new(share);
    (ServerConnection::open(stream, &pacer).await.expect("open"), socket)
}

async fn exchange(
    connection: &mut Connection,
) -> Result<Bytes, TrySendError<Request<Empty<Bytes>>>> {
    let request = Request::get("/").header("host", "x").body(Empty::new()).expect("a request");
    let response = connection.try_send_request(request).await?;
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    connection.end_response();
    connection.ready().await.expect("kept");
    Ok(body)
}

fn is_caused_by_use(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error).and_then(|cause| cause.downcast_ref());
    let inner = cause.and_then(std::io::Error::get_ref);
    inner.is_some_and(|inner| inner.is::<UsedBeforeRequest>())
}

/// Asserts that a request is not sent after the server has acted, and that its error says so.
async fn assert_not_sent_after(action: BetweenRequests) {
    let server = Server::start();
    let (mut connection, socket) = connect(server.address).await;
    assert_eq!(exchange(&mut connection).await.expect("an answer"), "done");
    server.act(action);
    // The runtime, which has this thread only, does not learn of it.
    while !tcp::has_received(&socket) {
        thread::yield_now();
    }
    let mut error = exchange(&mut connection).await.expect_err("not answered");
    let was_returned = error.take_message().is_some();
    assert!(was_returned || is_caused_by_use(error.error()), "{error:?}");
    drop((connection, socket));
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn request_is_not_sent_behind_bytes_that_arrived_after_the_last_response() {
    assert_not_sent_after(BetweenRequests::Write(b"xxxx")).await;
}

/// Such a response would be taken for that to the next request.
#[tokio::test]
async fn response_that_nobody_asked_for_does_not_answer_the_next_request() {
    assert_not_sent_after(BetweenRequests::Write(RESPONSE)).await;
}

#[tokio::test]
async fn request_is_not_sent_to_a_server_that_has_closed_the_connection() {
    assert_not_sent_after(BetweenRequests::Close).await;
}

/// After a pause the runtime does not know yet that the connection can be written to.
#[tokio::test]
async fn response_that_arrives_before_a_paused_connection_writes_is_not_the_answer() {
    let mut before_request = 0;
    for _ in 0..PAUSED_ROUNDS {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
        let mut first = head.into_bytes();
        first.resize(first.len() + LARGE_BODY_BYTES, b'x');
        let server = Server::start_with(first);
        let share = ReadShare::from_percent(1).expect("a share");
        let (mut connection, socket) = connect_with_share(server.address, share).await;
        let body = exchange(&mut connection).await.expect("an answer");
        assert_eq!(body.len(), LARGE_BODY_BYTES);
        let request = Request::get("/").header("host", "x").body(Empty::new()).expect("a request");
        let mut send = pin!(connection.try_send_request(request));
        // Wakes the task of the connection, which runs next.
        let polled = poll_fn(|context| Poll::Ready(send.as_mut().poll(context))).await;
        assert!(polled.is_pending(), "answered before the server acted");
        // Runs after that task, and before the reactor.
        let act = server.act.clone();
        let acting = tokio::spawn(async move {
            act.send(BetweenRequests::Write(RESPONSE)).expect("the server runs");
            while !tcp::has_received(&socket) {
                thread::yield_now();
            }
        });
        acting.await.expect("acted");
        let result = send.await;
        if server.acted.recv().expect("the server runs") {
            continue;
        }
        before_request += 1;
        let error = result.expect_err("a response to a request that was not sent");
        assert!(is_caused_by_use(error.error()), "{error:?}");
    }
    assert!(before_request > 0, "the request was always sent first");
}

#[tokio::test]
async fn kept_connection_carries_the_next_request() {
    let server = Server::start();
    let (mut connection, socket) = connect(server.address).await;
    assert_eq!(exchange(&mut connection).await.expect("an answer"), "done");
    server.act(BetweenRequests::Write(b""));
    assert_eq!(exchange(&mut connection).await.expect("an answer"), "done");
    drop((connection, socket));
    assert_eq!(server.requests(), 2);
}
