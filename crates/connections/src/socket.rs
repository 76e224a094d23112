//! Socket of a connection, as hyper reads and writes it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::exchange::Progress;

/// Socket that records the progress of its requests.
///
/// Reports the end of the stream on an idle connection that is to be closed, so that hyper closes
/// it between two requests and never within one.
pub struct RequestSocket {
    stream: TcpStream,
    progress: Progress,
}

impl RequestSocket {
    pub fn new(stream: TcpStream, progress: Progress) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for RequestSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending if self.progress.is_closable() => Poll::Ready(Ok(())),
            Poll::Pending => Poll::Pending,
            Poll::Ready(result) => {
                self.progress.record_read();
                Poll::Ready(result)
            }
        }
    }
}

impl AsyncWrite for RequestSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
