//! Socket of a connection, as hyper reads and writes it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::exchange::{PeerEnd, Progress, ResponseStart};
use crate::request_end::ReadBound;
use crate::shared_stream::SharedStream;

/// Socket that records the progress of its requests.
///
/// Reports the end of the stream on an idle connection that is to be closed, so that hyper closes
/// it between two requests and never within one. Leaves a further request in the kernel until the
/// current one is answered, wherever the end of the current one is known: if the connection ends
/// with its response, the kernel tells the peer that the further one was not read.
pub struct RequestSocket {
    stream: SharedStream,
    progress: Progress,
}

impl RequestSocket {
    pub fn new(stream: SharedStream, progress: Progress) -> Self {
        Self { stream, progress }
    }

    /// Returns whether the connection is to be closed and nothing has arrived on it.
    fn is_finished(&self) -> bool {
        self.progress.is_closable(Instant::now()) && !self.stream.has_received()
    }

    fn poll_read_request(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut stream = self.stream.lock();
        let limit = match self.progress.read_bound() {
            ReadBound::HeadEnd => {
                let mut waiting = buffer.take(buffer.remaining());
                ready!(stream.poll_peek(context, &mut waiting))?;
                self.progress.head_part(waiting.filled())
            }
            ReadBound::BodyBytes(missing) => usize::try_from(missing).unwrap_or(usize::MAX),
            ReadBound::Unknown => buffer.remaining(),
        };
        let stream = Pin::new(&mut *stream);
        // Nothing waits at the end of the stream.
        if limit == 0 || limit >= buffer.remaining() {
            return stream.poll_read(context, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(stream.poll_read(context, &mut part))?;
        let length = part.filled().len();
        buffer.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RequestSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        match self.poll_read_request(context, buffer) {
            Poll::Pending if self.is_finished() => {
                self.progress.record_idle_close();
                return Poll::Ready(Ok(()));
            }
            Poll::Pending => return Poll::Pending,
            Poll::Ready(result) => result?,
        }
        match &buffer.filled()[filled..] {
            [] => self.progress.set_peer_end(PeerEnd::HalfClosed),
            bytes => self.progress.record_read(bytes),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut stream = self.stream.lock();
        let stream = Pin::new(&mut *stream);
        let written = if self.progress.response_start() == ResponseStart::FirstByte {
            // The first byte was sent ahead of the rest.
            match slices.iter().find_map(|slice| slice.split_first()) {
                None => 0,
                Some((_, [])) => 1,
                Some((_, rest)) => 1 + ready!(stream.poll_write(context, rest))?,
            }
        } else {
            ready!(stream.poll_write_vectored(context, slices))?
        };
        self.progress.record_write(ResponseStart::Begun, written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut *self.stream.lock()).poll_flush(context))?;
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The end of an idle connection follows a refusal.
        if self.progress.is_closed_idle() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut *self.stream.lock()).poll_shutdown(context)
    }
}
