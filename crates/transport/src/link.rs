//! One-way links: frames to one address over a connection that is opened anew
//! whenever it breaks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use crate::refusal::RefusalLog;
use crate::version::{self, ProtocolVersion, VersionRange};

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

static REFUSALS: RefusalLog = RefusalLog::new("link");

/// What a link sends. It gets its form once the version is agreed on.
pub trait LinkMessage: Send + 'static {
    /// Bytes that it holds while it waits.
    fn waiting_bytes(&self) -> usize;

    /// Its frame.
    fn into_frame(self, version: ProtocolVersion) -> Vec<u8>;
}

/// How each connection of a link begins.
pub struct LinkOpening {
    versions: VersionRange,
    greet: Box<dyn Fn(ProtocolVersion) -> Vec<u8> + Send + Sync>,
}

impl LinkOpening {
    /// Offers `versions`, and then sends the frame that `greet` makes for the one that is chosen.
    pub fn offer(
        versions: VersionRange,
        greet: impl Fn(ProtocolVersion) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        Self { versions, greet: Box::new(greet) }
    }
}

/// Sends frames to one address. Frames are dropped while there is no connection or
/// the queue is full: what matters is repeated by the protocol above.
#[derive(Debug)]
pub struct Link<M> {
    queue: mpsc::Sender<M>,
    /// Bytes of messages that are queued.
    waiting: Arc<AtomicUsize>,
}

impl<M: LinkMessage> Link<M> {
    /// Opens a link within a runtime.
    pub fn open(address: SocketAddr, opening: LinkOpening) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE);
        let waiting = Arc::new(AtomicUsize::new(0));
        let messages = LinkMessages { messages, waiting: Arc::clone(&waiting) };
        tokio::spawn(run(address, opening, messages));
        Self { queue, waiting }
    }

    /// Queues a message; `false` when it was dropped.
    pub fn queue(&self, message: M) -> bool {
        let bytes = message.waiting_bytes();
        let before = self.waiting.fetch_add(bytes, Ordering::Relaxed);
        let has_room = before == 0 || before + bytes <= QUEUE_BYTES;
        let is_queued = has_room && self.queue.try_send(message).is_ok();
        if !is_queued {
            self.waiting.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_queued
    }
}

/// The receiving end of a link's queue.
struct LinkMessages<M> {
    messages: mpsc::Receiver<M>,
    waiting: Arc<AtomicUsize>,
}

impl<M: LinkMessage> LinkMessages<M> {
    /// Waits for messages and takes up to [`BATCH`] of them; none once the link is gone.
    async fn take(&mut self) -> Vec<M> {
        let mut taken = Vec::new();
        self.messages.recv_many(&mut taken, BATCH).await;
        let bytes = taken.iter().map(M::waiting_bytes).sum();
        self.waiting.fetch_sub(bytes, Ordering::Relaxed);
        taken
    }

    /// Drops what waits: it is out of date.
    fn drop_all(&mut self) {
        while let Ok(message) = self.messages.try_recv() {
            self.waiting.fetch_sub(message.waiting_bytes(), Ordering::Relaxed);
        }
    }
}

/// Connects when there is something to send, so that links to machines that are
/// gone cost nothing.
async fn run<M: LinkMessage>(
    address: SocketAddr,
    opening: LinkOpening,
    mut messages: LinkMessages<M>,
) {
    loop {
        let first = messages.take().await;
        if first.is_empty() {
            return;
        }
        let versions = opening.versions;
        match version::connect(address, CONNECT_PATIENCE, USER_TIMEOUT, versions).await {
            Ok((mut stream, version)) => {
                let greeting = (opening.greet)(version);
                let begin = [greeting, frames(first, version)].concat();
                let mut written = stream.write_all(&begin).await;
                while written.is_ok() {
                    let batch = messages.take().await;
                    if batch.is_empty() {
                        return;
                    }
                    written = stream.write_all(&frames(batch, version)).await;
                }
            }
            Err(error) => {
                REFUSALS.note_version(address, &error);
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
        messages.drop_all();
    }
}

fn frames<M: LinkMessage>(messages: Vec<M>, version: ProtocolVersion) -> Vec<u8> {
    let frames: Vec<Vec<u8>> =
        messages.into_iter().map(|message| message.into_frame(version)).collect();
    frames.concat()
}
