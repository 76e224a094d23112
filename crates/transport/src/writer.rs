//! Frames of one open connection, written by a task of their own.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// Frames that may wait for a connection; more are dropped.
const QUEUE: usize = 1_024;
/// Frames written with one system call.
const BATCH: usize = 64;

/// Bytes of frames that wait in queues, of one connection or of several.
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
    frames: mpsc::Sender<Vec<u8>>,
    waiting: WaitingBytes,
}

impl FrameQueue {
    /// Queues a frame; `false` when it was dropped.
    pub fn send(&self, frame: Vec<u8>) -> bool {
        let bytes = frame.len();
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
    let (frames, mut receiver) = mpsc::channel::<Vec<u8>>(QUEUE);
    let queue = FrameQueue { frames, waiting: waiting.clone() };
    tokio::spawn(async move {
        let mut batch: Vec<Vec<u8>> = Vec::with_capacity(BATCH);
        let mut is_open = true;
        while receiver.recv_many(&mut batch, BATCH).await > 0 {
            let bytes = batch.concat();
            batch.clear();
            is_open = is_open && output.write_all(&bytes).await.is_ok();
            waiting.remove(bytes.len());
            if !is_open {
                receiver.close();
            }
        }
    });
    queue
}
