//! One-way links, which send frames to one address and reconnect when the connection breaks.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::refusal::RefusedFrameLog;
use crate::version::{self, LEGACY_CONNECTION_TTL, ProtocolVersion, VersionRange};

/// Maximum number of messages in the queue of a link. Further ones are dropped.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum size of the queued messages of a link, in bytes. Further ones are dropped. A single
/// message of any size is accepted if the queue is empty, since snapshots may be larger.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Maximum number of frames written with one system call.
const MAX_BATCH_FRAMES: usize = 64;
/// Size up to which a message does not count towards the memory that links share, and up to which
/// frames are joined for a system call, in bytes.
const MAX_SMALL_BYTES: usize = 16 << 10;
/// Time after which a message that is still held is not expected to be written soon.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of such messages that do not count towards the shared memory.
const MAX_STALLED: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("link");

/// Message sent over a link. It is encoded once the protocol version has been negotiated.
pub trait LinkMessage: Send + 'static {
    /// Memory held by the message while it is queued, in bytes.
    fn queued_bytes(&self) -> usize;

    /// Encodes the message as a frame in the given version.
    fn into_frame(self, version: ProtocolVersion) -> Vec<u8>;
}

/// Memory of the large messages that links hold together, from being queued until they are written.
/// Clones share the same memory.
#[derive(Clone, Debug)]
pub struct LinkMemory(Arc<Mutex<HeldMessages>>);

/// The large messages that links hold.
#[derive(Debug)]
struct HeldMessages {
    limit: usize,
    /// Size of each message in bytes, and when it was queued, in this order.
    held: BTreeMap<MessageNumber, (usize, Instant)>,
    next: MessageNumber,
}

type MessageNumber = u64;

impl HeldMessages {
    /// Returns the size of the messages that count towards the limit. A slow peer must not keep the
    /// memory from all others, so the first ones that have been held for long do not count.
    fn counted_bytes(&self, now: Instant) -> usize {
        let is_stalled = |since: &Instant| now.saturating_duration_since(*since) >= STALL_TIMEOUT;
        let stalled = self.held.values().filter(|(_, since)| is_stalled(since));
        let uncounted: usize = stalled.take(MAX_STALLED).map(|(bytes, _)| bytes).sum();
        self.total_bytes() - uncounted
    }

    fn total_bytes(&self) -> usize {
        self.held.values().map(|(bytes, _)| bytes).sum()
    }
}

/// Memory of one message, released on drop. A small message has none.
#[derive(Debug)]
struct LinkReservation {
    memory: LinkMemory,
    number: Option<MessageNumber>,
}

impl LinkMemory {
    /// Creates a memory of `limit` bytes. A message of any size is accepted if no other counts.
    pub fn new(limit: usize) -> Self {
        let messages = HeldMessages { limit, held: BTreeMap::new(), next: 0 };
        Self(Arc::new(Mutex::new(messages)))
    }

    /// Returns the memory held by all messages in bytes.
    pub fn held_bytes(&self) -> usize {
        self.0.lock().total_bytes()
    }

    /// Reserves memory for a message, or returns `None` if there is no room.
    fn reserve(&self, bytes: usize, now: Instant) -> Option<LinkReservation> {
        if bytes <= MAX_SMALL_BYTES {
            return Some(LinkReservation { memory: self.clone(), number: None });
        }
        let mut messages = self.0.lock();
        let counted = messages.counted_bytes(now);
        if counted > 0 && counted + bytes > messages.limit {
            return None;
        }
        let number = messages.next;
        messages.next += 1;
        messages.held.insert(number, (bytes, now));
        Some(LinkReservation { memory: self.clone(), number: Some(number) })
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.memory.0.lock().held.remove(&number);
        }
    }
}

/// A message and its memory.
#[derive(Debug)]
struct QueuedMessage<M> {
    message: M,
    reservation: LinkReservation,
}

/// Start of each connection of a link: version negotiation, followed by a greeting.
pub struct LinkHandshake {
    versions: VersionRange,
    greeting: Box<dyn Fn(ProtocolVersion) -> Vec<u8> + Send + Sync>,
}

impl LinkHandshake {
    /// Offers `versions`, then sends the frame that `greeting` returns for the negotiated version.
    pub fn offer(
        versions: VersionRange,
        greeting: impl Fn(ProtocolVersion) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        Self { versions, greeting: Box::new(greeting) }
    }
}

/// Sends messages to one address. Messages are dropped when the queue is full or the connection
/// fails, large ones also until there is a connection again; retransmission is left to the protocol
/// above.
#[derive(Debug)]
pub struct Link<M> {
    queue: mpsc::Sender<QueuedMessage<M>>,
    /// Size of the queued messages, in bytes.
    queued_bytes: Arc<AtomicUsize>,
    memory: LinkMemory,
    /// Whether the last connection has not failed. Without one, large messages would take the memory
    /// from the other links for nothing; small ones try to connect.
    is_reachable: Arc<AtomicBool>,
}

impl<M: LinkMessage> Link<M> {
    /// Opens a link whose large messages are held in `memory`. Must be called within a Tokio runtime.
    pub fn open(address: SocketAddr, handshake: LinkHandshake, memory: LinkMemory) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let is_reachable = Arc::new(AtomicBool::new(true));
        let messages = LinkReceiver {
            messages,
            queued_bytes: Arc::clone(&queued_bytes),
            is_reachable: Arc::clone(&is_reachable),
        };
        tokio::spawn(run(address, handshake, messages));
        Self { queue, queued_bytes, memory, is_reachable }
    }

    /// Queues a message. Returns `false` if it was dropped.
    pub fn queue(&self, message: M) -> bool {
        let bytes = message.queued_bytes();
        if bytes > MAX_SMALL_BYTES && !self.is_reachable.load(Ordering::Relaxed) {
            return false;
        }
        let Some(reservation) = self.memory.reserve(bytes, Instant::now()) else {
            return false;
        };
        let before = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let has_room = before == 0 || before + bytes <= MAX_QUEUED_BYTES;
        let queued = QueuedMessage { message, reservation };
        let is_queued = has_room && self.queue.try_send(queued).is_ok();
        if !is_queued {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_queued
    }
}

/// Receiving end of the queue of a link.
struct LinkReceiver<M> {
    messages: mpsc::Receiver<QueuedMessage<M>>,
    queued_bytes: Arc<AtomicUsize>,
    is_reachable: Arc<AtomicBool>,
}

impl<M: LinkMessage> LinkReceiver<M> {
    /// Waits for messages and returns up to [`MAX_BATCH_FRAMES`] of them, or none once the link is
    /// dropped.
    async fn recv_batch(&mut self) -> Vec<QueuedMessage<M>> {
        let mut batch = Vec::new();
        self.messages.recv_many(&mut batch, MAX_BATCH_FRAMES).await;
        let bytes = batch.iter().map(|queued| queued.message.queued_bytes()).sum();
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        batch
    }

    /// Discards the queued messages, which are outdated after a connection failure.
    fn record_failure(&mut self) {
        self.is_reachable.store(false, Ordering::Relaxed);
        while let Ok(QueuedMessage { message, .. }) = self.messages.try_recv() {
            self.queued_bytes.fetch_sub(message.queued_bytes(), Ordering::Relaxed);
        }
    }
}

/// Sends the messages of a link. Connects only when there is something to send, so that links to
/// removed machines consume no resources.
async fn run<M: LinkMessage>(
    address: SocketAddr,
    handshake: LinkHandshake,
    mut messages: LinkReceiver<M>,
) {
    let mut unsent = Vec::new();
    loop {
        let first = match std::mem::take(&mut unsent) {
            unsent if unsent.is_empty() => messages.recv_batch().await,
            unsent => unsent,
        };
        if first.is_empty() {
            return;
        }
        let versions = handshake.versions;
        match version::connect(address, CONNECT_TIMEOUT, TCP_USER_TIMEOUT, versions).await {
            Ok((mut stream, version)) => {
                messages.is_reachable.store(true, Ordering::Relaxed);
                let opened_at = Instant::now();
                let greeting = (handshake.greeting)(version);
                let mut written = write_batch(&mut stream, greeting, first, version).await;
                while written.is_ok() {
                    let batch = messages.recv_batch().await;
                    if batch.is_empty() {
                        return;
                    }
                    if is_outdated(version, opened_at) {
                        unsent = batch;
                        break;
                    }
                    written = write_batch(&mut stream, Vec::new(), batch, version).await;
                }
            }
            Err(error) => {
                REFUSALS.record_version_error(address, &error);
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
        if unsent.is_empty() {
            messages.record_failure();
        }
    }
}

/// Returns whether the versions are to be offered again. A machine that was starting or stopping
/// closes a connection as legacy builds do.
fn is_outdated(version: ProtocolVersion, opened_at: Instant) -> bool {
    version == ProtocolVersion::LEGACY && opened_at.elapsed() >= LEGACY_CONNECTION_TTL
}

/// Writes `start` and the frames of a batch. Small frames are joined; a large one is written, and its
/// memory released, before the next one is encoded.
async fn write_batch<M: LinkMessage>(
    stream: &mut TcpStream,
    start: Vec<u8>,
    batch: Vec<QueuedMessage<M>>,
    version: ProtocolVersion,
) -> io::Result<()> {
    let mut joined = start;
    for QueuedMessage { message, reservation } in batch {
        let frame = message.into_frame(version);
        if frame.len() <= MAX_SMALL_BYTES {
            joined.extend_from_slice(&frame);
            continue;
        }
        stream.write_all(&joined).await?;
        joined.clear();
        stream.write_all(&frame).await?;
        drop(reservation);
    }
    stream.write_all(&joined).await
}
