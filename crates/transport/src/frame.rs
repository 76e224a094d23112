//! Frame format: length, CRC-32C checksum, payload.

use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
pub use calicohoist_wire::encode_frame;
use calicohoist_wire::{FrameError, MAX_FRAME_BYTES, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

use crate::memory::{FrameLease, FrameMemory};

/// Size of the frame header: payload length and checksum.
pub const HEADER_BYTES: usize = 8;
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Size up to which the buffer of a connection does not count as memory of frames.
const UNCOUNTED_BUFFER_BYTES: usize = 2 * READ_BUFFER_BYTES;
/// Capacity up to which a buffer grows by doubling.
const MAX_DOUBLED_BYTES: usize = 4 << 20;
/// Time in which the first frame of a connection begins.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that any frame may take, however slow its link is.
const FRAME_GRACE: Duration = Duration::from_secs(10);
/// Time for which a connection stays open, unread, after a frame that was refused. This limits how
/// often a peer sends such frames.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Minimum rate at which the bytes of a frame arrive that takes longer, in bytes a second.
const MIN_BYTES_PER_SECOND: u32 = 16 << 10;

/// Returns the frame of a serialized message.
pub fn frame_payload(payload: &[u8]) -> Vec<u8> {
    begin_frame(payload.len(), crc32c::crc32c(payload), payload)
}

/// Returns a frame header followed by the `first` part of the payload.
fn begin_frame(length: usize, checksum: u32, first: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + first.len());
    frame.extend_from_slice(&(length as u32).to_le_bytes());
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(first);
    frame
}

/// Decodes the payload length and checksum of a header.
pub(crate) fn split_header(header: &[u8; HEADER_BYTES]) -> (usize, u32) {
    let [a, b, c, d, e, f, g, h] = *header;
    (u32::from_le_bytes([a, b, c, d]) as usize, u32::from_le_bytes([e, f, g, h]))
}

/// Last field of a message, serialized once and shared by the frames of many connections.
#[derive(Clone, Debug)]
pub struct SharedField {
    encoded: Bytes,
    checksum: u32,
}

impl SharedField {
    /// Serializes a field.
    ///
    /// # Errors
    /// When the field cannot be serialized.
    pub fn encode<T: Serialize>(field: &T) -> Result<Self, FrameError> {
        let encoded = Bytes::from(encode(field)?);
        let checksum = crc32c::crc32c(&encoded);
        Ok(Self { encoded, checksum })
    }

    /// Length of the serialized field, in bytes.
    pub fn len(&self) -> usize {
        self.encoded.len()
    }

    /// Whether the serialized field has no bytes.
    pub fn is_empty(&self) -> bool {
        self.encoded.is_empty()
    }
}

/// A frame to be sent.
#[derive(Clone, Debug)]
pub struct Frame {
    head: Vec<u8>,
    shared_tail: Bytes,
}

impl Frame {
    /// Encodes `message` as a frame.
    ///
    /// # Errors
    /// When the message cannot be serialized or is too long.
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, FrameError> {
        Ok(Self { head: encode_frame(message)?, shared_tail: Bytes::new() })
    }

    /// Encodes a message of two fields whose last field is shared with other frames. This relies
    /// on a message being serialized as the concatenation of its fields.
    ///
    /// # Errors
    /// When the message cannot be serialized or is too long.
    pub fn with_shared<T: Serialize>(first: &T, last: &SharedField) -> Result<Self, FrameError> {
        let first = encode(first)?;
        let shared_tail = last.encoded.clone();
        let length = first.len() + shared_tail.len();
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let checksum =
            crc32c::crc32c_combine(crc32c::crc32c(&first), last.checksum, shared_tail.len());
        Ok(Self { head: begin_frame(length, checksum, &first), shared_tail })
    }

    /// Length of the frame, in bytes.
    pub fn len(&self) -> usize {
        self.head.len() + self.shared_tail.len()
    }

    /// Whether the frame has no bytes. Always `false`, since a frame has a header.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory held by this frame alone, without the shared field, in bytes.
    pub fn unshared_bytes(&self) -> usize {
        self.head.len()
    }

    /// Returns the two parts of the frame, in the order in which they are sent.
    pub(crate) fn into_parts(self) -> (Vec<u8>, Bytes) {
        (self.head, self.shared_tail)
    }
}

/// Reads frames. Reads are cancellation-safe.
pub struct FrameReader<R> {
    input: R,
    buffer: BytesMut,
    last_frame_len: usize,
    /// Maximum length of a payload in bytes.
    max_payload_len: usize,
    /// When the first bytes of the incomplete frame in the buffer arrived.
    frame_began_at: Option<Instant>,
    /// Memory of the buffer, which is released after it.
    lease: FrameLease,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of `input` with memory of its own for one frame.
    pub fn new(input: R) -> Self {
        let memory = FrameMemory::new(MAX_FRAME_BYTES);
        Self::with_memory(input, &memory, Ipv4Addr::UNSPECIFIED.into())
    }

    /// Creates a reader of `input`, which `peer` sends, that shares its memory with other readers.
    pub fn with_memory(input: R, memory: &FrameMemory, peer: IpAddr) -> Self {
        Self {
            input,
            buffer: BytesMut::new(),
            last_frame_len: 0,
            max_payload_len: MAX_FRAME_BYTES,
            frame_began_at: None,
            lease: memory.lease(peer),
        }
    }

    /// Sets the maximum length of the next payloads, at most [`MAX_FRAME_BYTES`].
    pub fn set_max_payload_len(&mut self, bytes: usize) {
        self.max_payload_len = bytes.min(MAX_FRAME_BYTES);
    }

    /// Keeps the connection open for a while after an error, without memory. Returns at once if the
    /// connection has failed.
    pub async fn pause_after(mut self, error: &FrameError) {
        if !matches!(error, FrameError::Io(_)) {
            self.buffer = BytesMut::new();
            self.lease.shrink(0);
            tokio::time::sleep(REFUSAL_PAUSE).await;
        }
    }

    /// Length of the last frame that was read, in bytes.
    pub fn last_frame_len(&self) -> usize {
        self.last_frame_len
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        self.next_with_progress(|_| {}).await
    }

    /// Reads the next message and calls `on_bytes` with the number of bytes whenever some arrive,
    /// even if the message is incomplete.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn next_with_progress<T: DeserializeOwned>(
        &mut self,
        mut on_bytes: impl FnMut(usize),
    ) -> Result<T, FrameError> {
        self.buffer_frame(&mut on_bytes).await?;
        let message = calicohoist_wire::decode(&self.take_payload()?);
        self.release_buffer();
        message
    }

    /// Reads the next payload if `predicate` accepts it. Otherwise leaves it for the next read.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn next_payload_if(
        &mut self,
        predicate: impl FnOnce(&[u8]) -> bool,
    ) -> Result<Option<Bytes>, FrameError> {
        let length = self.buffer_frame(&mut |_| {}).await?;
        let is_accepted = predicate(&self.buffer[HEADER_BYTES..HEADER_BYTES + length]);
        is_accepted.then(|| self.take_payload()).transpose()
    }

    /// Waits until the first frame of a connection begins.
    ///
    /// # Errors
    /// [`FrameError::Stalled`] if it does not begin in time, and errors of the connection.
    pub async fn wait_for_first_frame(&mut self) -> Result<(), FrameError> {
        let began = tokio::time::timeout(FIRST_FRAME_TIMEOUT, self.read_some()).await;
        match began.map_err(|_| FrameError::Stalled)?? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }

    /// Reads until a complete frame is buffered and returns the length of its payload.
    async fn buffer_frame(
        &mut self,
        on_bytes: &mut impl FnMut(usize),
    ) -> Result<usize, FrameError> {
        loop {
            if let Some(length) = self.buffered_payload_len()? {
                self.frame_began_at = None;
                return Ok(length);
            }
            let count = self.read_some().await?;
            if count == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            on_bytes(count);
        }
    }

    /// Reads some bytes. Waits without a limit between two frames, but within a frame only as long
    /// as its bytes arrive at the minimum rate.
    async fn read_some(&mut self) -> Result<usize, FrameError> {
        let buffered = self.buffer.len();
        let deadline = (buffered > 0).then(|| {
            let began_at = *self.frame_began_at.get_or_insert_with(Instant::now);
            began_at + FRAME_GRACE + Duration::from_secs(buffered as u64) / MIN_BYTES_PER_SECOND
        });
        self.reserve_buffer().await?;
        let Self { input, buffer, lease, .. } = self;
        let read = async {
            tokio::select! {
                biased;
                error = lease.evicted() => Err(error),
                read = input.read_buf(buffer) => Ok(read?),
            }
        };
        match deadline {
            Some(deadline) => timeout_at(deadline, read).await.map_err(|_| FrameError::Stalled)?,
            None => read.await,
        }
    }

    /// Makes room in the buffer for the next read, within its memory. A buffer doubles up to a limit and
    /// then has room for the whole frame, so that it is not copied again.
    async fn reserve_buffer(&mut self) -> Result<(), FrameError> {
        let needed = self.buffer.len() + READ_BUFFER_BYTES;
        if needed <= UNCOUNTED_BUFFER_BYTES {
            self.buffer.reserve(READ_BUFFER_BYTES);
        } else if needed > self.buffer.capacity() || self.lease.is_empty() {
            let waits_from = Instant::now();
            let grown = needed.max(match self.buffer.capacity() {
                capacity @ ..MAX_DOUBLED_BYTES => 2 * capacity,
                _ => self.announced_bytes(),
            });
            if self.lease.is_empty() {
                // A buffer without bytes of earlier frames grows in place.
                self.buffer = BytesMut::from(&self.buffer[..]);
            }
            self.lease.grow(grown).await?;
            // The peer is not late while its frame waits.
            self.frame_began_at = self.frame_began_at.map(|at| at + waits_from.elapsed());
            self.buffer.reserve(grown - self.buffer.len());
        }
        Ok(())
    }

    /// Size of the next frame according to its header, as far as this has arrived, in bytes.
    fn announced_bytes(&self) -> usize {
        let header = self.buffer.first_chunk::<HEADER_BYTES>();
        header.map_or(0, |header| HEADER_BYTES + split_header(header).0)
    }

    /// Releases the memory of a large frame that has been decoded.
    fn release_buffer(&mut self) {
        if self.lease.is_empty() {
            return;
        }
        self.buffer = BytesMut::from(&self.buffer[..]);
        let is_counted = self.buffer.len() + READ_BUFFER_BYTES > UNCOUNTED_BUFFER_BYTES;
        self.lease.shrink(if is_counted { self.buffer.len() } else { 0 });
    }

    /// Length of the next payload if it is completely buffered.
    fn buffered_payload_len(&self) -> Result<Option<usize>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let (length, _) = split_header(header);
        if length > self.max_payload_len {
            return Err(FrameError::TooLong(length));
        }
        Ok((self.buffer.len() >= HEADER_BYTES + length).then_some(length))
    }

    /// Removes the next payload from the buffer and verifies its checksum.
    fn take_payload(&mut self) -> Result<Bytes, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        };
        let (length, checksum) = split_header(header);
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length).freeze();
        self.last_frame_len = HEADER_BYTES + length;
        if crc32c::crc32c(&payload) != checksum {
            return Err(FrameError::Checksum);
        }
        Ok(payload)
    }
}
