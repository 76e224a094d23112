//! Readings of a long list, whose zones are fetched side by side.
//!
//! Guards against a reading that takes longer than a change may take to be in force, because each
//! of many pages is asked for after the one before.

mod support;

use std::sync::Arc;
use std::time::Duration;

use calicohoist_discovery::{ListCodec, ListReader, ListedReplica, Page, PageParser};
use calicohoist_routing::{Replica, ReplicaState};
use support::{Calls, Reply, ShortPageParser, start};

const PAGES_PER_ZONE: usize = 5;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The path of a page is its zone and its number; it names one replica. The pages of all replicas
/// are those of the zones, one after the other.
struct ZoneCodec(&'static [&'static str]);

impl ListCodec for ZoneCodec {
    fn page_path(&self, zone: Option<&str>, token: Option<&str>) -> String {
        format!("/{}/{}", zone.unwrap_or("all"), token.unwrap_or("0"))
    }

    fn page_parser(&self) -> Box<dyn PageParser> {
        let Self(zones) = *self;
        ShortPageParser::boxed(move |body| Self(zones).parse(body))
    }
}

impl ZoneCodec {
    fn parse(&self, body: &[u8]) -> Option<Page> {
        let (zone, number) = std::str::from_utf8(body).ok()?.split_once('/')?;
        let number: usize = number.parse().ok()?;
        let (pages, replica_zone) = match zone {
            "all" => (self.0.len() * PAGES_PER_ZONE, self.0[number / PAGES_PER_ZONE]),
            zone => (PAGES_PER_ZONE, zone),
        };
        let replica = Replica {
            id: format!("{replica_zone}-{}", number % PAGES_PER_ZONE),
            service: "models".to_owned(),
            address: "127.0.0.1:1".parse().ok()?,
            zone: replica_zone.to_owned(),
            slots: 4,
            state: ReplicaState::Ready,
            version: None,
        };
        Some(Page {
            replicas: vec![ListedReplica { replica, cold_left: None }],
            next: (number + 1 < pages).then(|| (number + 1).to_string()),
            ..Page::default()
        })
    }
}

/// Reads a list of these zones twice, and returns the ids of the second reading.
async fn read_twice(
    listed: &'static [&'static str],
    known: &[&str],
    reply: impl Fn(&str, usize) -> Reply + Send + Sync + 'static,
) -> (Vec<String>, Calls) {
    let (address, calls) = start(reply).await;
    let reader = ListReader::new(address, Arc::new(ZoneCodec(listed)))
        .with_zones(known.iter().map(|zone| (*zone).to_owned()));
    reader.read(READ_TIMEOUT).await.expect("a complete list");
    calls.lock().clear();
    let reading = reader.read(READ_TIMEOUT).await.expect("a complete list");
    assert_eq!(reading.pages, listed.len() * PAGES_PER_ZONE);
    (reading.replicas.into_iter().map(|listed| listed.replica.id).collect(), calls)
}

fn expected(zones: &[&str]) -> Vec<String> {
    let of_zone = |zone: &&str| {
        let zone = (*zone).to_owned();
        (0..PAGES_PER_ZONE).map(move |number| format!("{zone}-{number}"))
    };
    zones.iter().flat_map(of_zone).collect()
}

fn calls_by_zone(calls: &Calls, zone: &str) -> usize {
    let calls = calls.lock();
    let of_zone = calls.iter().filter(|(path, _)| path.starts_with(&format!("/{zone}/")));
    of_zone.map(|(_, count)| count).sum()
}

#[tokio::test]
async fn a_long_list_is_read_by_zone() {
    let zones = &["a", "b", "c"];
    let (ids, calls) = read_twice(zones, zones, |_, _| Reply::Page).await;
    assert_eq!(ids, expected(zones));
    assert_eq!(calls_by_zone(&calls, "all"), 0);
    assert_eq!(calls_by_zone(&calls, "b"), PAGES_PER_ZONE);
}

#[tokio::test]
async fn a_failed_page_of_one_zone_is_fetched_again() {
    let zones = &["a", "b"];
    let (ids, calls) = read_twice(zones, zones, |path, call| match (path, call) {
        ("/b/3", 1) => Reply::Status(429),
        ("/a/2", 1) => Reply::CloseConnection,
        _ => Reply::Page,
    })
    .await;
    assert_eq!(ids, expected(zones));
    assert_eq!(calls_by_zone(&calls, "a"), PAGES_PER_ZONE + 1);
    assert_eq!(calls_by_zone(&calls, "b"), PAGES_PER_ZONE + 1);
}

#[tokio::test]
async fn a_list_with_a_replica_in_an_unknown_zone_is_read_as_a_whole() {
    let (ids, calls) = read_twice(&["a", "b", "new"], &["a", "b"], |_, _| Reply::Page).await;
    assert_eq!(ids, expected(&["a", "b", "new"]));
    assert_eq!(calls_by_zone(&calls, "a"), 0);
}

#[tokio::test]
async fn a_short_list_is_read_as_a_whole() {
    let (ids, calls) = read_twice(&["a"], &["a"], |_, _| Reply::Page).await;
    assert_eq!(ids, expected(&["a"]));
    assert_eq!(calls_by_zone(&calls, "all"), PAGES_PER_ZONE);
}
