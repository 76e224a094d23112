//! Writer task of an open connection, with a bounded queue of frames.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use crate::frame::Frame;

/// Maximum number of queued frames of one connection.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum memory held by the queued frames of one connection, in bytes. A single frame of any
/// size is accepted if the queue is empty.
pub const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Default maximum of the memory held by the queued frames of all connections that share a counter,
/// in bytes. A connection whose queue is empty takes one frame beyond it.
pub const MAX_TOTAL_QUEUED_BYTES: usize = 48 << 20;
/// Maximum memory held by the frames of one connection that were queued in turn, in bytes. A single
/// frame of any size is accepted.
const MAX_BYTES_IN_TURN: usize = 512 << 10;
/// Bytes that one permit for frames queued in turn stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;
/// Maximum number of frames written with one system call.
const MAX_BATCH_FRAMES: usize = 64;

/// Shared counter of the memory held by queued frames of one or more connections, in bytes, with a
/// limit for all of them.
#[derive(Clone, Debug)]
pub struct QueuedBytes {
    limit: usize,
    held: Arc<AtomicUsize>,
}

impl Default for QueuedBytes {
    fn default() -> Self {
        Self::with_limit(MAX_TOTAL_QUEUED_BYTES)
    }
}

impl QueuedBytes {
    /// Creates a counter with a limit in bytes. A connection whose queue is empty takes one frame
    /// beyond it.
    pub fn with_limit(limit: usize) -> Self {
        Self { limit, held: Arc::default() }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the current count.
    pub fn get(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Result of [`FrameQueue::send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The frame was queued.
    Queued,
    /// The queue was full. The frame was dropped, and the connection is closed.
    Overflowed,
    /// The connection was already closed.
    Closed,
}

/// Queue of the frames that the writer task of a connection sends.
#[derive(Clone, Debug)]
pub struct FrameQueue {
    frames: mpsc::Sender<QueuedFrame>,
    usage: QueueUsage,
    overflow: Arc<Notify>,
    /// Admits the frames that are queued in turn.
    turns: Arc<Semaphore>,
}

#[derive(Clone, Debug)]
struct QueueUsage {
    /// Queued bytes of this connection.
    connection: QueuedBytes,
    /// Queued bytes of all connections that share the counter.
    total: QueuedBytes,
}

impl QueueUsage {
    fn has_room(&self, bytes: usize) -> bool {
        let queued = self.connection.get();
        queued == 0
            || (queued + bytes <= MAX_QUEUED_BYTES && self.total.get() + bytes <= self.total.limit)
    }

    fn reserve(&self, bytes: usize) -> Reservation {
        self.connection.add(bytes);
        self.total.add(bytes);
        Reservation { usage: self.clone(), connection_bytes: bytes, bytes }
    }

    /// Counts a frame that was queued in turn.
    fn reserve_in_turn(&self, bytes: usize) -> Reservation {
        self.total.add(bytes);
        Reservation { usage: self.clone(), connection_bytes: 0, bytes }
    }
}

/// Reservation of one frame in the counters, released on drop. This also covers frames that other
/// threads queue while the writer terminates.
#[derive(Debug)]
struct Reservation {
    usage: QueueUsage,
    /// Bytes that count towards the limit of the connection.
    connection_bytes: usize,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.usage.connection.remove(self.connection_bytes);
        self.usage.total.remove(self.bytes);
    }
}

#[derive(Debug)]
struct QueuedFrame {
    frame: Frame,
    hold: FrameHold,
}

/// What is held until a frame has been written or discarded.
#[derive(Debug)]
enum FrameHold {
    Counted { _reservation: Reservation, _written: Option<oneshot::Sender<()>> },
    InTurn { _reservation: Reservation, _permit: OwnedSemaphorePermit },
}

impl FrameQueue {
    /// Queues a frame.
    pub fn send(&self, frame: Frame) -> SendOutcome {
        self.queue(frame, None)
    }

    /// Queues a frame. `written` is dropped once the frame has been written or discarded.
    pub fn send_with_notice(&self, frame: Frame, written: oneshot::Sender<()>) -> SendOutcome {
        self.queue(frame, Some(written))
    }

    /// Queues a long frame once those that were queued in turn before it leave room. Such frames
    /// don't count towards the limit of the connection, whose excess closes it.
    pub async fn send_in_turn(&self, frame: Frame) -> SendOutcome {
        let permits = frame.len().min(MAX_BYTES_IN_TURN).div_ceil(BYTES_PER_PERMIT);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let Ok(permit) = Arc::clone(&self.turns).acquire_many_owned(permits).await else {
            return SendOutcome::Closed;
        };
        let reservation = self.usage.reserve_in_turn(frame.len());
        let hold = FrameHold::InTurn { _reservation: reservation, _permit: permit };
        self.try_queue(QueuedFrame { frame, hold })
    }

    fn queue(&self, frame: Frame, written: Option<oneshot::Sender<()>>) -> SendOutcome {
        let bytes = frame.unshared_bytes();
        if self.frames.is_closed() {
            return SendOutcome::Closed;
        }
        if !self.usage.has_room(bytes) {
            return self.close_on_overflow();
        }
        let hold =
            FrameHold::Counted { _reservation: self.usage.reserve(bytes), _written: written };
        self.try_queue(QueuedFrame { frame, hold })
    }

    fn try_queue(&self, frame: QueuedFrame) -> SendOutcome {
        match self.frames.try_send(frame) {
            Ok(()) => SendOutcome::Queued,
            Err(TrySendError::Closed(_)) => SendOutcome::Closed,
            Err(TrySendError::Full(_)) => self.close_on_overflow(),
        }
    }

    fn close_on_overflow(&self) -> SendOutcome {
        self.overflow.notify_one();
        SendOutcome::Overflowed
    }
}

/// Spawns a task that writes queued frames to `output` in batches, and returns the queue. Its
/// frames are also counted in `total`. On overflow, `output` is closed.
pub fn spawn_writer(
    output: impl AsyncWrite + Unpin + Send + 'static,
    total: QueuedBytes,
) -> FrameQueue {
    let (frames, mut receiver) = mpsc::channel(QUEUE_CAPACITY);
    let usage = QueueUsage { connection: QueuedBytes::default(), total };
    let overflow = Arc::new(Notify::new());
    let turns = Arc::new(Semaphore::new(MAX_BYTES_IN_TURN / BYTES_PER_PERMIT));
    let queue = FrameQueue { frames, usage, overflow: Arc::clone(&overflow), turns };
    tokio::spawn(async move {
        tokio::select! {
            () = write_frames(output, &mut receiver) => {}
            () = overflow.notified() => {}
        }
        // Otherwise frames queued meanwhile would remain counted until the last sender is dropped.
        receiver.close();
        while receiver.recv().await.is_some() {}
    });
    queue
}

async fn write_frames(
    mut output: impl AsyncWrite + Unpin,
    receiver: &mut mpsc::Receiver<QueuedFrame>,
) {
    let mut batch = Vec::with_capacity(MAX_BATCH_FRAMES);
    while receiver.recv_many(&mut batch, MAX_BATCH_FRAMES).await > 0 {
        if write_all(&mut output, &mut batch).await.is_err() {
            return;
        }
    }
}

/// Writes frames with few system calls and without copying their shared parts.
async fn write_all(
    output: &mut (impl AsyncWrite + Unpin),
    batch: &mut Vec<QueuedFrame>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    let mut held = Vec::with_capacity(batch.len());
    for QueuedFrame { frame, hold } in batch.drain(..) {
        held.push(hold);
        let (head, shared_tail) = frame.into_parts();
        buffer.extend_from_slice(&head);
        if !shared_tail.is_empty() {
            output.write_all(&buffer).await?;
            output.write_all(&shared_tail).await?;
            buffer.clear();
        }
    }
    output.write_all(&buffer).await
}
