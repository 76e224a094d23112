//! TCP socket that reads within the limits of its lane.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use calicohoist_transport::tcp;
use rustix::io::Errno;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

use crate::lane::{ReadLane, UsedBeforeRequest};

/// Socket whose reads are limited by a [`ReadLane`].
#[derive(Debug)]
pub struct LimitedSocket {
    /// The limit is set before each read.
    stream: Take<TcpStream>,
    lane: Arc<ReadLane>,
}

impl LimitedSocket {
    /// Creates a socket that reads within the limits of `lane`.
    pub fn new(stream: TcpStream, lane: Arc<ReadLane>) -> Self {
        Self { stream: stream.take(0), lane }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }

    /// Checks before the first write of a request that the peer has sent nothing which the runtime has
    /// not seen yet: it would be taken for the response.
    fn check_write(&self) -> io::Result<()> {
        if !self.lane.begin_write() {
            return Ok(());
        }
        match tcp::peek_kernel(self.stream.get_ref()) {
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
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.lane.read_limit();
        let limit = limit.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        self.stream.set_limit(limit as u64);
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.lane.record_read(buffer.filled().len() - filled, Instant::now());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        self.stream().poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
