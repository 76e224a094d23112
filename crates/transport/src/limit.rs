//! Limit on the open connections of a listener.

use std::net::SocketAddr;
use std::sync::Arc;

use calicohoist_telemetry::{Event, emit};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of connections that are open at the same time.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
}

/// An open connection, which counts until this value is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimit {
    /// Allows `connections` at the same time.
    pub fn new(connections: usize) -> Self {
        Self { permits: Arc::new(Semaphore::new(connections)) }
    }

    /// Counts a connection of `peer`. Returns `None` if the limit is reached, and the connection is
    /// to be closed.
    pub fn open(&self, peer: SocketAddr) -> Option<OpenConnection> {
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => Some(OpenConnection { _permit: permit }),
            Err(_) => {
                emit!(Event::LinkLimitReached, "refused connection from {peer}");
                None
            }
        }
    }
}
