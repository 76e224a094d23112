//! Readings of the list from a discovery service that limits the rate of calls.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use calicohoist_discovery::{ListCodec, ListReader, ListedReplica, Page, PageParser, ReadError};
use calicohoist_routing::{Replica, ReplicaState};
use support::{Reply, ShortPageParser, start};

const PAGES: usize = 5;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A page is its number; it names one replica.
struct NumberCodec;

impl ListCodec for NumberCodec {
    fn page_path(&self, _: Option<&str>, token: Option<&str>) -> String {
        format!("/{}", token.unwrap_or("0"))
    }

    fn page_parser(&self) -> Box<dyn PageParser> {
        ShortPageParser::boxed(Self::parse_number)
    }
}

impl NumberCodec {
    fn parse_number(body: &[u8]) -> Option<Page> {
        let number: usize = std::str::from_utf8(body).ok()?.parse().ok()?;
        let replica = Replica {
            id: format!("r{number}"),
            service: "models".to_owned(),
            address: "127.0.0.1:1".parse().ok()?,
            zone: "hall".to_owned(),
            slots: 4,
            state: ReplicaState::Ready,
            version: None,
        };
        Some(Page {
            replicas: vec![ListedReplica { replica, cold_left: None }],
            next: (number + 1 < PAGES).then(|| (number + 1).to_string()),
            ..Page::default()
        })
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
