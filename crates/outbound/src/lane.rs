//! Limits and paces the reading of one connection.
//!
//! The head of a response, including interim responses, has a size limit. A body has none here,
//! since its consumer knows how much of it is needed; but once a response is large, the time spent
//! on it is limited to the connection's part of a [`ReadPacer`]'s share. The time is measured
//! rather than the bytes, so that the share holds on slow machines too.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::closing::Closing;
use crate::pacer::ReadPacer;

/// Maximum size of a response head with the interim responses before it, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Size in bytes above which a response is large.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum size of one read in bytes.
const MAX_READ_BYTES: usize = 64 << 10;
/// Smallest size in bytes as which a read of a head counts, since every read costs time.
const MIN_HEAD_READ_COST: usize = 64;
/// The same for a body, which may have any number of reads.
const MIN_BODY_READ_COST: usize = 256;
/// Size in bytes of a read of a large response below which it was too early.
const SMALL_READ_BYTES: usize = 1 << 10;
/// Time for which bytes are left to accumulate after such a read.
const ACCUMULATION_TIME: Duration = Duration::from_millis(5);
/// Rate in bytes per second at which a body is never large, however long it is.
const SMALL_BYTES_PER_SECOND: usize = 64 << 10;
/// Longest time that is charged at once. A longer one is that of a suspended process.
const MAX_CHARGE: Duration = Duration::from_millis(25);

/// The head of a response exceeds [`MAX_HEAD_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response head too large")]
pub struct HeadTooLong;

/// The peer sent bytes or closed the connection before anything of the request was sent, so the request
/// did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection not idle before the request")]
pub struct UsedBeforeRequest;

/// Part of an exchange at which a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponsePart {
    /// Nothing of the request was sent.
    BeforeRequest,
    /// A request is to be written, of which nothing was sent either.
    BeforeWrite,
    Head,
    Body,
}

/// Reading state of one connection.
#[derive(Debug)]
pub struct ReadLane {
    pacer: Arc<ReadPacer>,
    progress: Mutex<ReadProgress>,
    /// Whether the peer has sent bytes that nobody asked for.
    has_unrequested_bytes: AtomicBool,
    closing: Closing,
}

#[derive(Debug)]
struct ReadProgress {
    part: ResponsePart,
    /// Cost of the current response in bytes. That of a body decreases with time.
    cost: usize,
    /// Time of the last read.
    read_at: Option<Instant>,
    /// Time by which the connection has used no more than its share; `None` until the response is
    /// large.
    even_at: Option<Instant>,
    /// Time until which bytes are left to accumulate.
    rests_until: Option<Instant>,
}

impl ReadProgress {
    const fn new() -> Self {
        let part = ResponsePart::BeforeRequest;
        Self { part, cost: 0, read_at: None, even_at: None, rests_until: None }
    }

    fn record_read(&mut self, bytes: usize, now: Instant) {
        if self.part == ResponsePart::Body {
            let elapsed = self.read_at.map_or(Duration::ZERO, |read_at| now - read_at);
            let decrease = elapsed.as_secs_f64() * SMALL_BYTES_PER_SECOND as f64;
            self.cost = self.cost.saturating_sub(decrease as usize);
        }
        self.read_at = Some(now);
        self.cost = self.cost.saturating_add(bytes.max(self.min_read_cost()));
        let is_early = self.is_large() && bytes < SMALL_READ_BYTES;
        self.rests_until = is_early.then(|| now + ACCUMULATION_TIME);
    }

    fn min_read_cost(&self) -> usize {
        match self.part {
            ResponsePart::Body => MIN_BODY_READ_COST,
            ResponsePart::BeforeRequest | ResponsePart::BeforeWrite | ResponsePart::Head => {
                MIN_HEAD_READ_COST
            }
        }
    }

    fn is_large(&self) -> bool {
        self.cost > LARGE_RESPONSE_BYTES
    }
}

impl ReadLane {
    /// Creates the state of a connection that has not received anything.
    pub fn new(pacer: &Arc<ReadPacer>) -> Self {
        let progress = Mutex::new(ReadProgress::new());
        let (pacer, closing) = (Arc::clone(pacer), Closing::default());
        Self { pacer, progress, has_unrequested_bytes: AtomicBool::new(false), closing }
    }

    /// Returns whether the connection is to be closed, or is closed.
    pub fn closing(&self) -> &Closing {
        &self.closing
    }

    /// Ends the current response. Nothing is to arrive before the next request is sent.
    pub fn end_response(&self) {
        let previous = std::mem::replace(&mut *self.progress.lock(), ReadProgress::new());
        if previous.even_at.is_some() {
            self.pacer.end_large_response();
        }
    }

    /// Records that the peer has sent bytes that nobody asked for.
    pub fn record_unrequested_bytes(&self) {
        self.has_unrequested_bytes.store(true, Ordering::Relaxed);
    }

    /// Returns whether the peer has sent bytes that nobody asked for.
    pub fn has_unrequested_bytes(&self) -> bool {
        self.has_unrequested_bytes.load(Ordering::Relaxed)
    }

    /// Records that something is to be written; returns whether it is the begin of a request.
    pub fn begin_write(&self) -> bool {
        let mut progress = self.progress.lock();
        if progress.part == ResponsePart::BeforeRequest {
            progress.part = ResponsePart::BeforeWrite;
        }
        progress.part == ResponsePart::BeforeWrite
    }

    /// Records that the begin of a request was written.
    pub fn end_first_write(&self) {
        self.progress.lock().part = ResponsePart::Head;
    }

    /// Returns whether a request is to be written of which nothing was sent.
    pub fn awaits_write(&self) -> bool {
        self.progress.lock().part == ResponsePart::BeforeWrite
    }

    /// Records that the head is complete.
    pub fn end_head(&self) {
        self.progress.lock().part = ResponsePart::Body;
    }

    /// Returns how many bytes the next read may yield.
    ///
    /// # Errors
    /// Returns an error if the head is too long.
    pub fn read_limit(&self) -> Result<usize, HeadTooLong> {
        let progress = self.progress.lock();
        match progress.part {
            ResponsePart::Body => Ok(MAX_READ_BYTES),
            ResponsePart::BeforeRequest | ResponsePart::BeforeWrite | ResponsePart::Head => {
                match MAX_HEAD_BYTES.saturating_sub(progress.cost) {
                    0 => Err(HeadTooLong),
                    left => Ok(left),
                }
            }
        }
    }

    /// Records a read of `bytes` bytes.
    pub fn record_read(&self, bytes: usize, now: Instant) {
        let mut progress = self.progress.lock();
        let is_requested = matches!(progress.part, ResponsePart::Head | ResponsePart::Body);
        if bytes > 0 && !is_requested {
            self.record_unrequested_bytes();
        }
        progress.record_read(bytes, now);
        let (was_large, is_large) = (progress.even_at.is_some(), progress.is_large());
        if is_large && !was_large {
            progress.even_at = Some(now);
            self.pacer.begin_large_response();
        } else if was_large && !is_large {
            progress.even_at = None;
            self.pacer.end_large_response();
        }
    }

    /// Returns whether the response is large, so that time spent on it has to be charged.
    pub fn is_large(&self) -> bool {
        self.progress.lock().even_at.is_some()
    }

    /// Charges time spent on the response, which counts only if the response is large.
    pub fn charge(&self, spent: Duration, now: Instant) {
        let mut progress = self.progress.lock();
        if let Some(even_at) = progress.even_at {
            let period = self.pacer.charge(spent.min(MAX_CHARGE), now);
            progress.even_at = Some(even_at.max(now) + period);
        }
    }

    /// Returns until when the connection has to pause, if at all: while bytes accumulate, and until it
    /// has used no more than its part of the share, or all connections no more than the share.
    pub fn pause_until(&self, now: Instant) -> Option<Instant> {
        let (even_at, rests_until) = {
            let progress = self.progress.lock();
            (progress.even_at?, progress.rests_until)
        };
        let used_up_until =
            self.pacer.used_up_until().map(|used_up_until| used_up_until.min(even_at));
        used_up_until.max(rests_until).filter(|resumes_at| *resumes_at > now)
    }
}

impl Drop for ReadLane {
    fn drop(&mut self) {
        if self.progress.get_mut().even_at.is_some() {
            self.pacer.end_large_response();
        }
    }
}
