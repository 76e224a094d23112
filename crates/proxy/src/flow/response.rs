//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

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

    /// Creates a body that ends when the channel closes.
    pub fn streamed(chunks: ChunkReceiver) -> Self {
        Self::Streamed(StreamedBody { chunks, next: None })
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

/// Receives the chunks of a body, or that it is aborted.
pub type ChunkReceiver = mpsc::UnboundedReceiver<Result<Bytes, BodyAborted>>;

/// Body whose chunks arrive over time. Those that wait together are sent together, since each
/// chunk costs time.
pub struct StreamedBody {
    chunks: ChunkReceiver,
    /// Received after the chunk that was sent last.
    next: Option<Result<Bytes, BodyAborted>>,
}

impl StreamedBody {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let first = match self.next.take() {
            Some(next) => next,
            None => match ready!(self.chunks.poll_recv(context)) {
                Some(chunk) => chunk,
                None => return Poll::Ready(None),
            },
        };
        Poll::Ready(Some(first.map(|first| self.join_waiting(first))))
    }

    /// Appends the chunks that wait to `first`, up to a maximum size.
    fn join_waiting(&mut self, first: Bytes) -> Bytes {
        let mut joined = BytesMut::new();
        while let Ok(chunk) = self.chunks.try_recv() {
            let length = first.len().max(joined.len());
            match chunk {
                Ok(chunk) if length + chunk.len() <= MAX_JOINED_BYTES => {
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
