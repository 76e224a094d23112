//! Bytes that a server sends to a kept connection between two requests.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};

use bytes::Bytes;
use calicohoist_outbound::{ReadPacer, ReadShare, ServerConnection, UsedBeforeRequest};
use calicohoist_transport::tcp;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::TrySendError;
use tokio::net::TcpStream;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

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
    acted: Receiver<()>,
    /// Returns how many requests it has read.
    thread: JoinHandle<usize>,
}

impl Server {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (act, actions) = mpsc::channel();
        let (acting, acted) = mpsc::channel();
        let thread = thread::spawn(move || serve(&listener, &actions, &acting));
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

fn serve(listener: &TcpListener, actions: &Receiver<BetweenRequests>, acted: &Sender<()>) -> usize {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut request = [0; 1_024];
    let mut requests = 0;
    while stream.read(&mut request).is_ok_and(|length| length > 0) {
        requests += 1;
        stream.write_all(RESPONSE).expect("written");
        match actions.recv() {
            Ok(BetweenRequests::Write(bytes)) => stream.write_all(bytes).expect("written"),
            Ok(BetweenRequests::Close) => stream.shutdown(Shutdown::Write).expect("closed"),
            Err(_) => return requests,
        }
        acted.send(()).expect("the test waits");
    }
    requests
}

type Connection = ServerConnection<Empty<Bytes>>;

/// Returns a connection and its socket.
async fn connect(address: SocketAddr) -> (Connection, OwnedFd) {
    let stream = TcpStream::connect(address).await.expect("connected");
    let socket = stream.as_fd().try_clone_to_owned().expect("a descriptor");
    let pacer = ReadPacer::new(ReadShare::OF_REPLICAS);
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
