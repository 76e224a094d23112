//! Socket of a connection, as hyper reads and writes it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use rustix::net::{RecvFlags, Shutdown, recv, shutdown};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::exchange::{PeerEnd, Progress, ResponseStart};

/// Socket that records the progress of its requests.
///
/// Reports the end of the stream on an idle connection that is to be closed, so that hyper closes
/// it between two requests and never within one.
pub struct RequestSocket {
    stream: Arc<TcpStream>,
    progress: Progress,
}

impl RequestSocket {
    pub fn new(stream: Arc<TcpStream>, progress: Progress) -> Self {
        Self { stream, progress }
    }

    /// Writes bytes without those that were sent ahead.
    fn try_write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        if self.progress.response_start() != ResponseStart::FirstByte {
            return self.stream.try_write_vectored(slices);
        }
        match slices.iter().find_map(|slice| slice.split_first()) {
            Some((_, [])) => Ok(1),
            Some((_, rest)) => Ok(1 + self.stream.try_write(rest)?),
            None => Ok(0),
        }
    }

    /// Returns whether the connection is to be closed and nothing has arrived on it. Asks the
    /// kernel, because the runtime may not have learned of the latest arrivals yet.
    fn is_finished(&self) -> bool {
        self.progress.is_closable(Instant::now()) && !has_received(&self.stream)
    }
}

/// Returns whether the kernel holds bytes, the end of the stream or an error for the reader.
pub fn has_received(stream: &TcpStream) -> bool {
    let received = recv(stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    !matches!(received, Err(rustix::io::Errno::AGAIN))
}

impl AsyncRead for RequestSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        loop {
            match self.stream.poll_read_ready(context)? {
                Poll::Ready(()) => {}
                Poll::Pending if self.is_finished() => return Poll::Ready(Ok(())),
                Poll::Pending => return Poll::Pending,
            }
            match self.stream.try_read_buf(buffer) {
                Ok(0) => {
                    self.progress.set_peer_end(PeerEnd::HalfClosed);
                    return Poll::Ready(Ok(()));
                }
                Ok(_) => {
                    self.progress.record_read(&buffer.filled()[filled..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
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
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.try_write(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.progress.record_write(ResponseStart::Begun);
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        shutdown(&self.stream, Shutdown::Write)?;
        Poll::Ready(Ok(()))
    }
}
