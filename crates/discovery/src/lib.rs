//! Client of the platform's discovery service, which lists the replicas.
//!
//! A list is fetched as a series of pages over one connection. An incomplete list is an error,
//! because replicas that it does not contain are treated as removed. A page that is refused by the
//! service's rate limit, or whose connection fails, is fetched again without the pages before it. The
//! zones of a long list are fetched side by side, since a page is known only after the one before.

mod pace;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_outbound::{ReadPacer, ReadShare, ServerConnection, has_readable_body};
use calicohoist_routing::Replica;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::task::JoinSet;

pub use pace::{CallRate, ListPace};

/// Timeout of connecting and of fetching one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of times that one page is fetched again.
const MAX_RETRIES_PER_PAGE: u32 = 3;
/// Range of the delay before a page is fetched again, in ms. It is random, because other readers
/// share the rate limit.
const RETRY_DELAY_MS: Range<u64> = 100..300;
/// Maximum length of a page, so that an endless one is rejected. Pages are parsed as they arrive, so
/// this bounds processor time rather than memory usage.
const MAX_PAGE_BYTES: usize = 16 << 20;
/// Lists of more pages are fetched by zone.
const MAX_SEQUENTIAL_PAGES: usize = 8;
/// Limit on the number of pages, so that an endless list is rejected.
const MAX_PAGES: usize = 1_024;
/// Limit on the number of replicas, which bounds memory usage.
const MAX_REPLICAS: usize = 65_536;
/// Maximum number of characters of an invalid value in a log line.
const MAX_LOGGED_CHARS: usize = 64;

static SKIPPED_ENTRIES: Counter = Counter::new(
    "calicohoist_list_entries_left_out_total",
    "Entries of the list that name no replica to use, at each reading, by field",
    "field",
);

/// A replica as returned by one fetch of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedReplica {
    /// Properties of the replica that do not depend on the time of the fetch.
    pub replica: Replica,
    /// Remaining time for which the replica is cold; zero if it is warm, `None` if not reported.
    pub cold_left: Option<Duration>,
}

/// Invalid entry of the list, with the field at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidEntry {
    /// Field that is missing or invalid.
    pub field: &'static str,
    /// Escaped value of the field, truncated for logging.
    pub value: String,
}

impl InvalidEntry {
    /// Creates a description of an entry with an invalid `value` of `field`.
    pub fn new(field: &'static str, value: &str) -> Self {
        let value = value.chars().take(MAX_LOGGED_CHARS).flat_map(char::escape_debug).collect();
        Self { field, value }
    }
}

/// Summary of the skipped entries of a list; its size does not depend on their number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SkippedEntries {
    /// Number of skipped entries, by field.
    pub by_field: BTreeMap<&'static str, u64>,
    /// First skipped entry.
    pub first: Option<InvalidEntry>,
}

impl SkippedEntries {
    /// Records one skipped entry.
    pub fn add(&mut self, entry: InvalidEntry) {
        *self.by_field.entry(entry.field).or_default() += 1;
        self.first.get_or_insert(entry);
    }

    fn merge(&mut self, other: Self) {
        for (field, count) in other.by_field {
            *self.by_field.entry(field).or_default() += count;
        }
        self.first = self.first.take().or(other.first);
    }

    /// Updates the metrics, and logs the summary unless it equals that of the previous fetch.
    fn report(&self, previous: &Self) {
        for (field, count) in &self.by_field {
            SKIPPED_ENTRIES.add(field, *count);
        }
        let Some(InvalidEntry { field, value }) = &self.first else {
            return;
        };
        if self != previous {
            let entries: u64 = self.by_field.values().sum();
            emit!(Event::ListEntriesLeftOut; entries = entries, field = field, shown = value);
        }
    }
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Valid replicas.
    pub replicas: Vec<ListedReplica>,
    /// Summary of the other entries.
    pub skipped: SkippedEntries,
    /// Token of the next page; `None` on the last page.
    pub next: Option<String>,
}

/// A page is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed page")]
pub struct MalformedPage;

/// Parser of one page, which is parsed as it arrives.
pub trait PageParser: Send {
    /// Parses the next bytes of the page, and adds what they complete to `page`.
    ///
    /// # Errors
    /// Returns an error if the page is malformed.
    fn parse(&mut self, bytes: &[u8], page: &mut Page) -> Result<(), MalformedPage>;

    /// Whether the bytes so far are a complete page.
    fn is_complete(&self) -> bool;
}

/// Request paths and encoding of the platform's list.
pub trait ListCodec: Send + Sync {
    /// Returns path and query of a page of the replicas in `zone`, or of all replicas; `token` is
    /// `None` for the first page.
    fn page_path(&self, zone: Option<&str>, token: Option<&str>) -> String;

    /// Creates a parser of one page.
    fn page_parser(&self) -> Box<dyn PageParser>;

    /// Parses a page; returns `None` if it is malformed or truncated.
    fn parse_page(&self, body: &[u8]) -> Option<Page> {
        let (mut parser, mut page) = (self.page_parser(), Page::default());
        parser.parse(body, &mut page).ok()?;
        parser.is_complete().then_some(page)
    }
}

/// An error returned by [`ListReader::read`].
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// Connecting to the service failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The service responded with an error status.
    #[error("unexpected HTTP status: {0}")]
    Status(StatusCode),
    /// The list is malformed or exceeds a size limit.
    #[error("list is malformed or too large")]
    InvalidList,
    /// The list could not be fetched in time.
    #[error("timed out fetching the list")]
    Timeout,
}

impl ReadError {
    /// Whether a page may be fetched again: the service limits the rate of calls, was unavailable
    /// for a moment, or closed the connection.
    fn is_transient(&self) -> bool {
        match self {
            Self::Status(status) => {
                *status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
            }
            Self::Io(_) | Self::Http(_) => true,
            Self::InvalidList | Self::Timeout => false,
        }
    }

    /// Whether the service refused the call because of its rate limit.
    pub fn is_rate_limited(&self) -> bool {
        matches!(self, Self::Status(StatusCode::TOO_MANY_REQUESTS))
    }
}

/// A complete list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Valid replicas, in the order of the list.
    pub replicas: Vec<ListedReplica>,
    /// Number of pages.
    pub pages: usize,
    /// Time that the reading took.
    pub duration: Duration,
}

/// Pages fetched so far.
#[derive(Default)]
struct PartialList {
    replicas: Vec<ListedReplica>,
    skipped: SkippedEntries,
    pages: usize,
    /// Token of the next page.
    token: Option<String>,
}

impl PartialList {
    fn append(&mut self, other: Self) {
        self.replicas.extend(other.replicas);
        self.skipped.merge(other.skipped);
        self.pages += other.pages;
    }
}

/// A reader of the list at one address.
#[derive(Clone)]
pub struct ListReader {
    address: SocketAddr,
    codec: Arc<dyn ListCodec>,
    /// All zones, by which a long list is fetched; empty to fetch it as a whole.
    zones: Arc<[String]>,
    /// Whether the next list is fetched by zone, because the last one was long.
    is_by_zone: Arc<AtomicBool>,
    /// Skipped entries of the latest complete fetch.
    skipped: Arc<Mutex<SkippedEntries>>,
    pacer: Arc<ReadPacer>,
}

impl ListReader {
    /// Creates a reader of the list at `address`.
    pub fn new(address: SocketAddr, codec: Arc<dyn ListCodec>) -> Self {
        Self {
            address,
            codec,
            zones: Arc::default(),
            is_by_zone: Arc::default(),
            skipped: Arc::default(),
            pacer: ReadPacer::new(ReadShare::OF_LIST),
        }
    }

    /// Fetches long lists by zone. Replicas outside `zones` are then not found, unless they were
    /// listed before the list grew long.
    pub fn with_zones(self, zones: impl IntoIterator<Item = String>) -> Self {
        Self { zones: zones.into_iter().collect(), ..self }
    }

    /// Fetches the current list of replicas. Returns once it is complete, or after `timeout`.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(&self, timeout: Duration) -> Result<Reading, ReadError> {
        let started_at = Instant::now();
        let result = tokio::time::timeout(timeout, self.read_list());
        let partial = result.await.unwrap_or(Err(ReadError::Timeout))?;
        let mut previous = self.skipped.lock();
        partial.skipped.report(&previous);
        *previous = partial.skipped;
        let is_by_zone =
            partial.pages > MAX_SEQUENTIAL_PAGES && self.zones_cover(&partial.replicas);
        self.is_by_zone.store(is_by_zone, Ordering::Relaxed);
        Ok(Reading {
            replicas: partial.replicas,
            pages: partial.pages,
            duration: started_at.elapsed(),
        })
    }

    fn zones_cover(&self, replicas: &[ListedReplica]) -> bool {
        !self.zones.is_empty()
            && replicas.iter().all(|listed| self.zones.contains(&listed.replica.zone))
    }

    async fn read_list(&self) -> Result<PartialList, ReadError> {
        if !self.is_by_zone.load(Ordering::Relaxed) {
            return self.read_pages(None).await;
        }
        let mut readings = JoinSet::new();
        for (number, zone) in self.zones.iter().cloned().enumerate() {
            let reader = self.clone();
            readings.spawn(async move { (number, reader.read_pages(Some(&zone)).await) });
        }
        let mut by_zone = BTreeMap::new();
        while let Some(joined) = readings.join_next().await {
            let (number, partial) = joined.map_err(|_| ReadError::InvalidList)?;
            by_zone.insert(number, partial?);
        }
        let mut list = PartialList::default();
        by_zone.into_values().for_each(|partial| list.append(partial));
        Ok(list)
    }

    async fn read_pages(&self, zone: Option<&str>) -> Result<PartialList, ReadError> {
        let mut partial = PartialList::default();
        let mut retries = 0;
        loop {
            let pages = partial.pages;
            let error = match self.fetch_pages(zone, &mut partial).await {
                Ok(()) => break,
                Err(error) => error,
            };
            if partial.pages > pages {
                retries = 0;
            }
            if !error.is_transient() || retries >= MAX_RETRIES_PER_PAGE {
                return Err(error);
            }
            retries += 1;
            let delay_ms = rand::rng().random_range(RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Ok(partial)
    }

    /// Fetches the remaining pages over a new connection.
    async fn fetch_pages(
        &self,
        zone: Option<&str>,
        partial: &mut PartialList,
    ) -> Result<(), ReadError> {
        let stream = tcp::connect(self.address, PAGE_TIMEOUT, PAGE_TIMEOUT).await?;
        let mut connection = ServerConnection::open(stream, &self.pacer).await?;
        let lane = Arc::clone(connection.lane());
        loop {
            let page = self.fetch_page(&mut connection, zone, partial);
            if !lane.charge_polls(page).await? {
                return Ok(());
            }
        }
    }

    /// Fetches the next page. Returns whether another one follows.
    async fn fetch_page(
        &self,
        connection: &mut ServerConnection<Empty<Bytes>>,
        zone: Option<&str>,
        partial: &mut PartialList,
    ) -> Result<bool, ReadError> {
        if partial.pages >= MAX_PAGES {
            return Err(ReadError::InvalidList);
        }
        let path = self.codec.page_path(zone, partial.token.as_deref());
        let most = MAX_REPLICAS.saturating_sub(partial.replicas.len());
        let page = tokio::time::timeout(PAGE_TIMEOUT, self.get(connection, &path, most));
        let page = page.await.map_err(|_| ReadError::Timeout)??;
        partial.replicas.extend(page.replicas);
        partial.skipped.merge(page.skipped);
        partial.pages += 1;
        partial.token = page.next;
        Ok(partial.token.is_some())
    }

    /// Fetches a page of at most `most` replicas.
    async fn get(
        &self,
        connection: &mut ServerConnection<Empty<Bytes>>,
        path: &str,
        most: usize,
    ) -> Result<Page, ReadError> {
        connection.ready().await?;
        let request = Request::get(path).header("host", self.address.to_string());
        let request = request.body(Empty::new()).map_err(|_| ReadError::InvalidList)?;
        let response = connection.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(ReadError::Status(response.status()));
        }
        if !has_readable_body(&response) {
            return Err(ReadError::InvalidList);
        }
        self.parse_body(response.into_body(), most).await
    }

    /// Parses a page as it arrives, so that it is never in memory as a whole.
    async fn parse_body(&self, body: Incoming, most: usize) -> Result<Page, ReadError> {
        let mut body = Limited::new(body, MAX_PAGE_BYTES);
        let (mut parser, mut page) = (self.codec.page_parser(), Page::default());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::InvalidList)?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            parser.parse(bytes, &mut page).map_err(|_| ReadError::InvalidList)?;
            if page.replicas.len() > most {
                return Err(ReadError::InvalidList);
            }
        }
        parser.is_complete().then_some(page).ok_or(ReadError::InvalidList)
    }
}
