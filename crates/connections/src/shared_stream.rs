//! TCP stream that is shared by the socket of a connection and the watch on its peer.

use std::io;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::{Mutex, MutexGuard};
use rustix::net::{RecvFlags, recv};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Handle of a TCP stream, used by the task of one connection.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<Mutex<TcpStream>>);

impl SharedStream {
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(stream)))
    }

    /// Returns the stream; not to be held while waiting.
    pub fn lock(&self) -> MutexGuard<'_, TcpStream> {
        self.0.lock()
    }

    /// Returns the stream if this is its only handle.
    pub fn into_inner(self) -> Option<TcpStream> {
        Arc::into_inner(self.0).map(Mutex::into_inner)
    }

    /// Returns whether the kernel holds bytes, the end of the stream or an error for the reader.
    ///
    /// Asks the kernel, because the runtime may not have learned of the latest arrivals yet.
    pub fn has_received(&self) -> bool {
        let stream = self.lock();
        let received = recv(&*stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
        !matches!(received, Err(rustix::io::Errno::AGAIN))
    }

    /// Waits for bytes without reading them; `false` at the end of the stream.
    pub fn poll_has_bytes(&self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut byte = [0];
        let peeked = self.lock().poll_peek(context, &mut ReadBuf::new(&mut byte));
        peeked.map_ok(|length| length > 0)
    }
}
