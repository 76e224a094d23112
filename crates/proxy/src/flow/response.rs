//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Maximum size in bytes of chunks that are sent together.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// Aborts a response body, so that the connection closes without the end-of-body marker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response body aborted")]
pub struct BodyAborted;

impl From<Infallible> for BodyAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of a response, either buffered or streamed.
pub enum ResponseBody {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// Chunks that are sent as they become available.
    Streamed(StreamedBody),
}

impl ResponseBody {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    /// Creates a body that ends with [`BodyPart::End`], and is aborted when the channel closes before.
    pub fn streamed(chunks: ChunkReceiver) -> Self {
        Self::Streamed(StreamedBody { chunks, next: None, is_flushed: true })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(context).map_err(BodyAborted::from),
            Self::Streamed(body) => {
                let chunk = body.poll_chunk(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes that follow the previous part.
    Chunk(Bytes),
    /// The end of the body.
    End,
}

/// Receives the parts of a body.
pub type ChunkReceiver = mpsc::UnboundedReceiver<BodyPart>;

/// Body whose chunks arrive over time. Those that wait together are sent together, since each
/// chunk costs time.
pub struct StreamedBody {
    chunks: ChunkReceiver,
    /// Received after the chunk that was sent last.
    next: Option<BodyPart>,
    /// Whether the connection has had the occasion to write all chunks.
    is_flushed: bool,
}

impl StreamedBody {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let first = match self.next.take() {
            Some(next) => Some(next),
            None => match self.chunks.poll_recv(context) {
                Poll::Ready(part) => part,
                Poll::Pending => {
                    self.is_flushed = true;
                    return Poll::Pending;
                }
            },
        };
        match first {
            Some(BodyPart::Chunk(first)) => {
                self.is_flushed = false;
                Poll::Ready(Some(Ok(self.join_waiting(first))))
            }
            Some(BodyPart::End) => Poll::Ready(None),
            None if self.is_flushed => Poll::Ready(Some(Err(BodyAborted))),
            // An aborted connection discards what it has not written. It writes while a body is pending.
            None => {
                self.is_flushed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    /// Appends the chunks that wait to `first`, up to a maximum size.
    fn join_waiting(&mut self, first: Bytes) -> Bytes {
        let mut joined = BytesMut::new();
        while let Ok(part) = self.chunks.try_recv() {
            let length = first.len().max(joined.len());
            match part {
                BodyPart::Chunk(chunk) if length + chunk.len() <= MAX_JOINED_BYTES => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&chunk);
                }
                other => {
                    self.next = Some(other);
                    break;
                }
            }
        }
        if joined.is_empty() { first } else { joined.freeze() }
    }
}
