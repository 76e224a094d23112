//! Frames of one open connection, written by a task of their own.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::frame::Frame;

/// Frames that may wait for a connection; more are dropped.
const QUEUE: usize = 1_024;
/// Frames written with one system call.
const BATCH: usize = 64;

/// Bytes that frames in queues hold in memory, of one connection or of several.
#[derive(Clone, Debug, Default)]
pub struct WaitingBytes(Arc<AtomicUsize>);

impl WaitingBytes {
    /// How many there are.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The way to the task that writes the frames of a connection.
#[derive(Clone, Debug)]
pub struct FrameQueue {
    frames: mpsc::Sender<Frame>,
    waiting: WaitingBytes,
}

impl FrameQueue {
    /// Queues a frame; `false` when it was dropped.
    pub fn send(&self, frame: Frame) -> bool {
        let bytes = frame.own_bytes();
        self.waiting.add(bytes);
        let is_queued = self.frames.try_send(frame).is_ok();
        if !is_queued {
            self.waiting.remove(bytes);
        }
        is_queued
    }
}

/// A queue whose frames are written to `output`, several at a time. What waits in it is
/// counted in `waiting`.
pub fn spawn_writer(
    mut output: impl AsyncWrite + Unpin + Send + 'static,
    waiting: WaitingBytes,
) -> FrameQueue {
    let (frames, mut receiver) = mpsc::channel::<Frame>(QUEUE);
    let queue = FrameQueue { frames, waiting: waiting.clone() };
    tokio::spawn(async move {
        let mut batch: Vec<Frame> = Vec::with_capacity(BATCH);
        while receiver.recv_many(&mut batch, BATCH).await > 0 {
            let bytes = batch.iter().map(Frame::own_bytes).sum();
            let written = write_all(&mut output, &mut batch).await;
            waiting.remove(bytes);
            if written.is_err() {
                break;
            }
        }
        receiver.close();
        while let Some(frame) = receiver.recv().await {
            waiting.remove(frame.own_bytes());
        }
    });
    queue
}

/// Writes frames with few system calls, and without a copy of what they share.
async fn write_all(
    output: &mut (impl AsyncWrite + Unpin),
    batch: &mut Vec<Frame>,
) -> io::Result<()> {
    let mut gathered = Vec::new();
    for frame in batch.drain(..) {
        let (own, shared) = frame.into_parts();
        gathered.extend_from_slice(&own);
        if !shared.is_empty() {
            output.write_all(&gathered).await?;
            output.write_all(&shared).await?;
            gathered.clear();
        }
    }
    output.write_all(&gathered).await
}
