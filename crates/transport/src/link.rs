//! One-way links: frames to one address over a connection that is opened anew
//! whenever it breaks.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::frame::encode_frame;
use crate::tcp;

/// Frames that may wait for a connection; more are dropped.
const QUEUE: usize = 1_024;
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
}

impl Link {
    /// Opens a link within a runtime. Every connection begins with `greeting`.
    pub fn open(address: SocketAddr, greeting: Vec<u8>) -> Self {
        let (queue, frames) = mpsc::channel(QUEUE);
        tokio::spawn(run(address, greeting, frames));
        Self { queue }
    }

    /// Queues a message; `false` when it was dropped.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        encode_frame(message).is_ok_and(|frame| self.queue.try_send(frame).is_ok())
    }
}

/// Connects when there is something to send, so that links to machines that are
/// gone cost nothing.
async fn run(address: SocketAddr, greeting: Vec<u8>, mut frames: mpsc::Receiver<Vec<u8>>) {
    while let Some(first) = frames.recv().await {
        match tcp::connect(address, CONNECT_PATIENCE, USER_TIMEOUT).await {
            Ok(mut stream) => {
                let opening = [greeting.as_slice(), first.as_slice()].concat();
                if stream.write_all(&opening).await.is_ok() {
                    write_until_broken(&mut stream, &mut frames).await;
                }
            }
            Err(_) => tokio::time::sleep(RECONNECT_PAUSE).await,
        }
        // What waited is out of date by now.
        while frames.try_recv().is_ok() {}
    }
}

/// Writes queued frames, several at a time, until the queue closes or a write fails.
async fn write_until_broken(
    output: &mut (impl AsyncWrite + Unpin),
    frames: &mut mpsc::Receiver<Vec<u8>>,
) {
    let mut batch = Vec::with_capacity(BATCH);
    while frames.recv_many(&mut batch, BATCH).await > 0 {
        let bytes = batch.concat();
        batch.clear();
        if output.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// A queue whose frames are written to `output` by a task of their own.
pub fn spawn_writer(mut output: impl AsyncWrite + Unpin + Send + 'static) -> mpsc::Sender<Vec<u8>> {
    let (queue, mut frames) = mpsc::channel(QUEUE);
    tokio::spawn(async move { write_until_broken(&mut output, &mut frames).await });
    queue
}
