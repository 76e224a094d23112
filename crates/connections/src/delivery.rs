//! Whether the peer of a connection has received a response.

use std::sync::Arc;

use calicohoist_transport::tcp;
use parking_lot::Mutex;

use crate::exchange::Progress;
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
            request: progress.requests(),
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
    /// Number of the request on its connection.
    request: u64,
}

impl Delivery {
    /// Returns whether the peer has acknowledged the whole response, or its connection has ended.
    /// Later responses on the connection that it has not acknowledged may hide that.
    pub fn has_ended(&self) -> bool {
        // Held while the stream is used, so that a lingering connection is its only user.
        let stage = self.stage.lock();
        match *stage {
            Stage::Open => self.progress.is_written(self.request) && self.is_acknowledged(),
            Stage::Lingering => false,
            Stage::Closed => true,
        }
    }

    fn is_acknowledged(&self) -> bool {
        let unacknowledged = self
            .stream
            .upgrade()
            .and_then(|stream| tcp::unacknowledged_bytes(&*stream.lock()).ok());
        unacknowledged.is_none_or(|bytes| bytes == 0)
    }
}
