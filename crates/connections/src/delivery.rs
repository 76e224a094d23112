//! Whether the peer of a connection has received a response.

use std::sync::Arc;

use calicohoist_transport::tcp;
use parking_lot::Mutex;

use crate::exchange::{Progress, ResponseEnd};
use crate::shared_stream::{SharedStream, WeakStream};

/// Stage of a connection. Its stream has no other user from [`Lingering`](Self::Lingering) on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Requests are served.
    Open,
    /// Waits for its peer to receive the last response.
    Lingering,
    Closed,
}

type SharedStage = Arc<Mutex<Stage>>;

/// Records the stage of a connection; closed when dropped.
#[derive(Debug)]
pub struct StageRecord(SharedStage);

impl StageRecord {
    pub fn open() -> Self {
        Self(Arc::new(Mutex::new(Stage::Open)))
    }

    /// Records that no further request is served.
    pub fn begin_linger(&self) {
        *self.0.lock() = Stage::Lingering;
    }

    /// Returns the delivery of the response to the current request.
    pub fn delivery(&self, stream: &SharedStream, progress: &Progress) -> Delivery {
        Delivery {
            stage: Arc::clone(&self.0),
            stream: stream.downgrade(),
            progress: progress.clone(),
            response_end: progress.response_end(),
        }
    }
}

impl Drop for StageRecord {
    fn drop(&mut self) {
        *self.0.lock() = Stage::Closed;
    }
}

/// Delivery of a response to the peer of its connection.
#[derive(Clone, Debug)]
pub struct Delivery {
    stage: SharedStage,
    stream: WeakStream,
    progress: Progress,
    response_end: ResponseEnd,
}

impl Delivery {
    /// Returns whether the peer has acknowledged the whole response, or its connection has ended.
    pub fn has_ended(&self) -> bool {
        // Held while the stream is used, so that a lingering connection is its only user.
        let stage = self.stage.lock();
        match *stage {
            Stage::Open => self.response_end.get().is_some_and(|end| self.is_acknowledged(end)),
            Stage::Lingering => false,
            Stage::Closed => true,
        }
    }

    /// Returns whether the peer has acknowledged the first `end` bytes.
    fn is_acknowledged(&self, end: u64) -> bool {
        // Counted first: bytes that are written meanwhile are not acknowledged.
        let written = self.progress.written_bytes();
        let unacknowledged = self
            .stream
            .upgrade()
            .and_then(|stream| tcp::unacknowledged_bytes(&*stream.lock()).ok());
        // Without an answer of the kernel there is nothing to wait for.
        unacknowledged
            .is_none_or(|bytes| written.saturating_sub(bytes.unsigned_abs().into()) >= end)
    }
}
