//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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
    /// Chunks that are sent as they become available; the body ends when the channel closes.
    Streamed(mpsc::UnboundedReceiver<Result<Bytes, BodyAborted>>),
}

impl ResponseBody {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
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
            Self::Streamed(chunks) => {
                let chunk = chunks.poll_recv(context);
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
