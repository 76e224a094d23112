//! TCP socket that reads within the limits of its lane.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use calicohoist_transport::tcp;
use rustix::io::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::lane::{ReadLane, UsedBeforeRequest};
use crate::pausable_stream::PausableStream;

/// Socket whose reads are limited by a [`ReadLane`].
#[derive(Debug)]
pub struct LimitedSocket {
    stream: PausableStream,
    lane: Arc<ReadLane>,
}

impl LimitedSocket {
    /// Creates a socket that reads within the limits of `lane`.
    pub fn new(stream: PausableStream, lane: Arc<ReadLane>) -> Self {
        Self { stream, lane }
    }

    fn poll_stream<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        self.stream.with(|stream| poll(Pin::new(stream.get_mut().get_mut())))?
    }

    fn poll_checked_write(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let is_first = self.lane.begin_write();
        if is_first {
            self.check_nothing_received()?;
        }
        let written = ready!(self.poll_stream(poll))?;
        // The reactor may not know yet that a stream which has paused can be written to.
        if is_first {
            self.lane.end_first_write();
        }
        Poll::Ready(Ok(written))
    }

    /// Checks that the peer has sent nothing which the runtime has not seen yet: it would be taken for
    /// the response.
    fn check_nothing_received(&self) -> io::Result<()> {
        match self.stream.with(|stream| tcp::peek_kernel(stream.get_ref()))? {
            Err(Errno::AGAIN) => return Ok(()),
            Ok(1..) => self.lane.record_unrequested_bytes(),
            // The end of the stream, or an error.
            Ok(0) | Err(_) => {}
        }
        Err(io::Error::other(UsedBeforeRequest))
    }
}

impl AsyncRead for LimitedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.lane.read_limit();
        let limit = limit.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let filled = buffer.filled().len();
        ready!(self.stream.with(|mut stream| {
            stream.set_limit(limit as u64);
            stream.as_mut().poll_read(context, buffer)
        })?)?;
        let read = buffer.filled().len() - filled;
        self.lane.record_read(read, Instant::now());
        if read > 0 && self.lane.awaits_write() {
            return Poll::Ready(Err(io::Error::other(UsedBeforeRequest)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_checked_write(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_checked_write(|stream| stream.poll_write_vectored(context, parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_shutdown(context))
    }
}
