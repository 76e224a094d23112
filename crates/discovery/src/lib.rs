//! Reads the list of replicas from the platform's discovery service.
//!
//! A reading is a series of pages over one connection. A reading that misses a page
//! is of no use: a replica that is absent counts as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_routing::Replica;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;

const PATIENCE: Duration = Duration::from_millis(1_000);
const MAX_PAGE_BYTES: usize = 4 << 20;
/// More pages than any fleet has: an endless list must not hold the reader.
const MAX_PAGES: usize = 256;
/// More replicas than any fleet has: what a reading holds in memory is bounded by it.
const MAX_REPLICAS: usize = 16_384;
/// Characters of a value that a log line shows.
const MAX_SHOWN_CHARS: usize = 64;

static LEFT_OUT: Counter = Counter::new(
    "calicohoist_list_entries_left_out_total",
    "Entries of the list that name no replica to use, at each reading, by field",
    "field",
);

/// A replica as one reading shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedReplica {
    /// What does not change from one reading to the next.
    pub replica: Replica,
    /// For how long it will still be cold; zero when it is warm, `None` when the list does not
    /// tell.
    pub cold_left: Option<Duration>,
}

/// Why an entry of the list is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryProblem {
    /// The field that is missing or holds what it cannot.
    pub field: &'static str,
    /// What stands there, cut short.
    pub shown: String,
}

impl EntryProblem {
    /// `shown` stands in the `field`.
    pub fn new(field: &'static str, shown: &str) -> Self {
        let shown = shown.chars().take(MAX_SHOWN_CHARS).flat_map(char::escape_debug).collect();
        Self { field, shown }
    }
}

/// Entries that are not used. Its size does not grow with their number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// How many, by field.
    pub by_field: BTreeMap<&'static str, u64>,
    /// The first of them.
    pub first: Option<EntryProblem>,
}

impl LeftOut {
    /// Counts one entry more.
    pub fn add(&mut self, problem: EntryProblem) {
        *self.by_field.entry(problem.field).or_default() += 1;
        self.first.get_or_insert(problem);
    }

    fn add_all(&mut self, other: Self) {
        for (field, count) in other.by_field {
            *self.by_field.entry(field).or_default() += count;
        }
        self.first = self.first.take().or(other.first);
    }

    /// Counts and logs what one reading has left out. What the reading before left out, too, is
    /// not logged again.
    fn tell(&self, before: &Self) {
        for (field, count) in &self.by_field {
            LEFT_OUT.add(field, *count);
        }
        let Some(EntryProblem { field, shown }) = &self.first else {
            return;
        };
        if self != before {
            let entries: u64 = self.by_field.values().sum();
            emit!(Event::ListEntriesLeftOut; entries = entries, field = field, shown = shown);
        }
    }
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The replicas that may be used.
    pub replicas: Vec<ListedReplica>,
    /// Its other entries.
    pub left_out: LeftOut,
    /// Names the next page; `None` on the last.
    pub next: Option<String>,
}

/// How the platform's list is asked for and written.
pub trait ListCodec: Send + Sync {
    /// Path and query of a page; the first one without a token.
    fn page_path(&self, token: Option<&str>) -> String;

    /// Reads a page, entry by entry; `None` when it is not one, or not whole.
    fn parse_page(&self, body: &[u8]) -> Option<Page>;
}

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No connection, or it broke.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The exchange failed.
    #[error("exchange: {0}")]
    Http(#[from] hyper::Error),
    /// The service refused.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer is not a list, or has no end.
    #[error("not a list")]
    NotAList,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// Reads the list from one address.
#[derive(Clone)]
pub struct ListReader {
    address: SocketAddr,
    codec: Arc<dyn ListCodec>,
    /// What the newest whole reading has left out.
    left_out: Arc<Mutex<LeftOut>>,
}

impl ListReader {
    /// Reads from `address`.
    pub fn new(address: SocketAddr, codec: Arc<dyn ListCodec>) -> Self {
        Self { address, codec, left_out: Arc::default() }
    }

    /// All replicas, as of now.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(&self) -> Result<Vec<ListedReplica>, ReadError> {
        let reading = tokio::time::timeout(PATIENCE, self.read_pages());
        reading.await.unwrap_or(Err(ReadError::Timeout))
    }

    async fn read_pages(&self) -> Result<Vec<ListedReplica>, ReadError> {
        let stream = tcp::connect(self.address, PATIENCE, PATIENCE).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let result = self.follow_pages(&mut sender).await;
        driver.abort();
        result
    }

    async fn follow_pages(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
    ) -> Result<Vec<ListedReplica>, ReadError> {
        let mut replicas = Vec::new();
        let mut left_out = LeftOut::default();
        let mut token = None;
        for _ in 0..MAX_PAGES {
            let path = self.codec.page_path(token.as_deref());
            let body = self.get(sender, &path).await?;
            let page = self.codec.parse_page(&body).ok_or(ReadError::NotAList)?;
            replicas.extend(page.replicas);
            left_out.add_all(page.left_out);
            if replicas.len() > MAX_REPLICAS {
                break;
            }
            token = page.next;
            if token.is_none() {
                let mut before = self.left_out.lock();
                left_out.tell(&before);
                *before = left_out;
                return Ok(replicas);
            }
        }
        Err(ReadError::NotAList)
    }

    async fn get(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
        path: &str,
    ) -> Result<Bytes, ReadError> {
        sender.ready().await?;
        let request = Request::get(path).header("host", self.address.to_string());
        let request = request.body(Empty::new()).map_err(|_| ReadError::NotAList)?;
        let response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(ReadError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES);
        let body = body.collect().await.map_err(|_| ReadError::NotAList)?;
        Ok(body.to_bytes())
    }
}
