//! TCP stream that is shared by the socket of a connection and the watch on its peer.

use std::io;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll};

use calicohoist_transport::tcp;
use parking_lot::{Mutex, MutexGuard};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Handle of a TCP stream, used by the task of one connection.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<Mutex<TcpStream>>);

/// Handle that does not keep its stream open.
#[derive(Clone, Debug)]
pub struct WeakStream(Weak<Mutex<TcpStream>>);

impl WeakStream {
    pub fn upgrade(&self) -> Option<SharedStream> {
        self.0.upgrade().map(SharedStream)
    }
}

impl SharedStream {
    pub fn downgrade(&self) -> WeakStream {
        WeakStream(Arc::downgrade(&self.0))
    }

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
    pub fn has_received(&self) -> bool {
        tcp::has_received(&*self.lock())
    }

    /// Returns whether the kernel holds bytes for the reader.
    pub fn has_bytes(&self) -> bool {
        tcp::peek_kernel(&*self.lock()).is_ok_and(|length| length > 0)
    }

    /// Returns whether the peer sends nothing more, even if the kernel holds bytes that it sent
    /// before.
    pub fn is_half_closed(&self) -> bool {
        let stream = self.lock();
        let mut sockets = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let at_once = Timespec::default();
        poll(&mut sockets, Some(&at_once)).is_ok()
            && sockets[0].revents().contains(PollFlags::RDHUP)
    }

    /// Returns whether the connection was reset or has failed otherwise.
    pub fn has_failed(&self) -> bool {
        !matches!(self.lock().take_error(), Ok(None))
    }

    /// Waits for bytes without reading them; `false` at the end of the stream.
    pub fn poll_has_bytes(&self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut byte = [0];
        let peeked = self.lock().poll_peek(context, &mut ReadBuf::new(&mut byte));
        peeked.map_ok(|length| length > 0)
    }
}
