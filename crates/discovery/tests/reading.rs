//! Readings of the list from a discovery service that limits the rate of calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use calicohoist_discovery::{ListCodec, ListReader, ListedReplica, Page, ReadError};
use calicohoist_routing::{Replica, ReplicaState};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PAGES: usize = 5;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A page is its number; it names one replica.
struct NumberCodec;

impl ListCodec for NumberCodec {
    fn page_path(&self, token: Option<&str>) -> String {
        format!("/{}", token.unwrap_or("0"))
    }

    fn parse_page(&self, body: &[u8]) -> Option<Page> {
        let number: usize = std::str::from_utf8(body).ok()?.parse().ok()?;
        let replica = Replica {
            id: format!("r{number}"),
            service: "models".to_owned(),
            address: "127.0.0.1:1".parse().ok()?,
            zone: "hall".to_owned(),
            slots: 4,
            state: ReplicaState::Ready,
        };
        Some(Page {
            replicas: vec![ListedReplica { replica, cold_left: None }],
            next: (number + 1 < PAGES).then(|| (number + 1).to_string()),
            ..Page::default()
        })
    }
}

/// How the service answers a call.
#[derive(Clone, Copy)]
enum Reply {
    Page,
    Status(u16),
    CloseConnection,
}

/// Calls by path.
type Calls = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a service that answers the n-th call of a path with `reply(path, n)`.
async fn start(
    reply: impl Fn(&str, usize) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, Calls) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("local address");
    let calls = Calls::default();
    let counted = Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            serve(stream, &counted, &reply).await;
        }
    });
    (address, calls)
}

/// Serves the requests of one connection.
async fn serve(
    mut stream: TcpStream,
    calls: &Calls,
    reply: &(impl Fn(&str, usize) -> Reply + Send + Sync),
) {
    let mut buffer = Vec::new();
    loop {
        while !buffer.ends_with(b"\r\n\r\n") {
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        let head = String::from_utf8(std::mem::take(&mut buffer)).expect("request head");
        let path = head.split(' ').nth(1).expect("path").to_owned();
        let call = {
            let mut calls = calls.lock();
            let call = calls.entry(path.clone()).or_default();
            *call += 1;
            *call
        };
        let (status, body) = match reply(&path, call) {
            Reply::Page => (200, path.trim_start_matches('/')),
            Reply::Status(status) => (status, ""),
            Reply::CloseConnection => return,
        };
        let response =
            format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn reader(address: SocketAddr) -> ListReader {
    ListReader::new(address, Arc::new(NumberCodec))
}

#[tokio::test]
async fn a_refused_page_is_fetched_again_without_the_pages_before_it() {
    let (address, calls) = start(|path, call| match (path, call) {
        ("/3", 1..=2) => Reply::Status(429),
        ("/4", 1) => Reply::CloseConnection,
        _ => Reply::Page,
    })
    .await;
    let reading = reader(address).read(READ_TIMEOUT).await.expect("a complete list");
    assert_eq!((reading.replicas.len(), reading.pages), (PAGES, PAGES));
    let calls = calls.lock();
    let counts: Vec<usize> = (0..PAGES).map(|page| calls[&format!("/{page}")]).collect();
    assert_eq!(counts, [1, 1, 1, 3, 2]);
}

#[tokio::test]
async fn a_reader_gives_up_on_a_page_that_stays_refused() {
    let (address, calls) = start(|path, _| match path {
        "/1" => Reply::Status(429),
        _ => Reply::Page,
    })
    .await;
    let error = reader(address).read(READ_TIMEOUT).await.expect_err("no list");
    assert!(error.is_rate_limited(), "{error}");
    assert!(calls.lock()["/1"] <= 4, "{:?}", calls.lock());
}

#[tokio::test]
async fn a_page_that_cannot_be_parsed_fails_the_reading_at_once() {
    let (address, calls) = start(|path, _| match path {
        "/1" => Reply::Status(404),
        _ => Reply::Page,
    })
    .await;
    let error = reader(address).read(READ_TIMEOUT).await.expect_err("no list");
    assert!(matches!(error, ReadError::Status(_)), "{error}");
    assert_eq!(calls.lock()["/1"], 1);
}
