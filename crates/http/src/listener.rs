//! Listening socket and the `tiny_http` servers that accept its connections.

use std::io;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::path::PathBuf;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Descriptors that must be free before connections are accepted again.
const FREE_DESCRIPTORS: usize = 8;

/// `tiny_http` server with its own descriptor of a listener.
pub(crate) struct AcceptingServer {
    pub(crate) server: tiny_http::Server,
    descriptor: PathBuf,
    /// Name of the socket of `descriptor`, with its inode.
    socket: PathBuf,
}

impl AcceptingServer {
    /// Starts to accept connections of `listener`, which stays open.
    pub(crate) fn start(listener: &TcpListener) -> io::Result<Self> {
        let listener = listener.try_clone()?;
        let descriptor = PathBuf::from(format!("/proc/self/fd/{}", listener.as_raw_fd()));
        let socket = descriptor.read_link()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        Ok(Self { server, descriptor, socket })
    }

    /// Like [`AcceptingServer::start`], but fails while descriptors are used up.
    pub(crate) fn restart(listener: &TcpListener) -> io::Result<Self> {
        let reserved: io::Result<Vec<TcpListener>> =
            (0..FREE_DESCRIPTORS).map(|_| listener.try_clone()).collect();
        drop(reserved?);
        Self::start(listener)
    }

    /// Returns whether the accepting thread runs.
    ///
    /// `tiny_http` ends it at an accept error, or with a panic if a connection needs a descriptor
    /// and none is free. Only then it closes its descriptor of the listener.
    pub(crate) fn is_accepting(&self) -> bool {
        self.descriptor.read_link().is_ok_and(|socket| socket == self.socket)
    }
}

/// Returns whether a connection waits to be accepted.
pub(crate) fn has_queued_connection(listener: &TcpListener) -> bool {
    let mut descriptors = [PollFd::new(listener, PollFlags::IN)];
    let ready = poll(&mut descriptors, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    ready.is_ok_and(|count| count > 0)
}
