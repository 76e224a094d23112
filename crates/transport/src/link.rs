//! One-way links: frames to one address over a connection that is opened anew
//! whenever it breaks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use crate::frame::encode_frame;
use crate::tcp;

/// Frames that may wait for a connection; more are dropped.
const QUEUE: usize = 1_024;
/// Bytes of frames that may wait in a link; more are dropped. A frame that finds none
/// waiting is taken whatever its size: a snapshot may be larger.
const QUEUE_BYTES: usize = 4 << 20;
/// Frames written with one system call.
const BATCH: usize = 64;
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Sends frames to one address. Frames are dropped while there is no connection or
/// the queue is full: what matters is repeated by the protocol above.
#[derive(Debug)]
pub struct Link {
    queue: mpsc::Sender<Vec<u8>>,
    /// Bytes of frames that are queued.
    waiting: Arc<AtomicUsize>,
}

impl Link {
    /// Opens a link within a runtime. Every connection begins with `greeting`.
    pub fn open(address: SocketAddr, greeting: Vec<u8>) -> Self {
        let (queue, frames) = mpsc::channel(QUEUE);
        let waiting = Arc::new(AtomicUsize::new(0));
        let frames = LinkFrames { frames, waiting: Arc::clone(&waiting) };
        tokio::spawn(run(address, greeting, frames));
        Self { queue, waiting }
    }

    /// Queues a message; `false` when it was dropped.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        encode_frame(message).is_ok_and(|frame| self.send_frame(frame))
    }

    /// Queues a frame; `false` when it was dropped.
    pub fn send_frame(&self, frame: Vec<u8>) -> bool {
        let bytes = frame.len();
        let before = self.waiting.fetch_add(bytes, Ordering::Relaxed);
        let has_room = before == 0 || before + bytes <= QUEUE_BYTES;
        let is_queued = has_room && self.queue.try_send(frame).is_ok();
        if !is_queued {
            self.waiting.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_queued
    }
}

/// The receiving end of a link's queue.
struct LinkFrames {
    frames: mpsc::Receiver<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
}

impl LinkFrames {
    /// Waits for frames and takes up to [`BATCH`] of them; none once the link is gone.
    async fn take(&mut self) -> Vec<Vec<u8>> {
        let mut taken = Vec::new();
        self.frames.recv_many(&mut taken, BATCH).await;
        let bytes = taken.iter().map(Vec::len).sum();
        self.waiting.fetch_sub(bytes, Ordering::Relaxed);
        taken
    }

    /// Drops what waits: it is out of date.
    fn drop_all(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.waiting.fetch_sub(frame.len(), Ordering::Relaxed);
        }
    }
}

/// Connects when there is something to send, so that links to machines that are
/// gone cost nothing.
async fn run(address: SocketAddr, greeting: Vec<u8>, mut frames: LinkFrames) {
    loop {
        let first = frames.take().await;
        if first.is_empty() {
            return;
        }
        match tcp::connect(address, CONNECT_PATIENCE, USER_TIMEOUT).await {
            Ok(mut stream) => {
                let opening = [greeting.as_slice(), &first.concat()].concat();
                let mut written = stream.write_all(&opening).await;
                while written.is_ok() {
                    let batch = frames.take().await;
                    if batch.is_empty() {
                        return;
                    }
                    written = stream.write_all(&batch.concat()).await;
                }
            }
            Err(_) => tokio::time::sleep(RECONNECT_PAUSE).await,
        }
        frames.drop_all();
    }
}
