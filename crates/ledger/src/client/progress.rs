//! Progress of a machine with its responses.

use std::time::Instant;

use calicohoist_wire::MAX_FRAME_BYTES;
use parking_lot::Mutex;

/// Number of bytes that count as progress with a response. Fewer than a full TCP segment holds.
const MIN_PROGRESS_BYTES: usize = 1 << 10;
/// Maximum number of bytes between two responses: those of the largest one and of a late one that
/// is no longer awaited.
const MAX_BYTES_BETWEEN_RESPONSES: usize = 2 * MAX_FRAME_BYTES;

/// Tracks when a machine last made progress with a response. Bytes that trickle are no progress.
pub(super) struct ResponseProgress {
    /// A large response may take longer than the response timeout to arrive and must not be
    /// requested again meanwhile: one of 2.6 MB that took 4 s had not arrived after 60 s of
    /// repeated requests.
    last: Mutex<Instant>,
}

/// Bytes received by the reader of a connection.
#[derive(Default)]
pub(super) struct ReceivedBytes {
    since_progress: usize,
    since_response: usize,
}

impl ReceivedBytes {
    /// Whether the machine sends more than what requests wait for.
    pub(super) fn exceed_responses(&self) -> bool {
        self.since_response > MAX_BYTES_BETWEEN_RESPONSES
    }
}

impl ResponseProgress {
    pub(super) fn new() -> Self {
        Self { last: Mutex::new(Instant::now()) }
    }

    /// Returns when progress was last made.
    pub(super) fn last(&self) -> Instant {
        *self.last.lock()
    }

    /// Records that `count` bytes arrived.
    pub(super) fn record_bytes(&self, received: &mut ReceivedBytes, count: usize) {
        received.since_progress += count;
        received.since_response += count;
        if received.since_progress >= MIN_PROGRESS_BYTES {
            received.since_progress = 0;
            *self.last.lock() = Instant::now();
        }
    }

    /// Records the response to a request that awaited it.
    pub(super) fn record_response(&self, received: &mut ReceivedBytes) {
        *received = ReceivedBytes::default();
        *self.last.lock() = Instant::now();
    }
}
