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

    /// Checks before the first write of a request that the peer has sent nothing which the runtime has
    /// not seen yet: it would be taken for the response.
    fn check_write(&self) -> io::Result<()> {
        if !self.lane.begin_write() {
            return Ok(());
        }
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
        self.lane.record_read(buffer.filled().len() - filled, Instant::now());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        self.poll_stream(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        self.poll_stream(|stream| stream.poll_write_vectored(context, parts))
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
