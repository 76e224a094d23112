//! Limits on the memory of the inputs that wait for the replica thread.
//!
//! While the disk hangs, turns with long inputs and entries of the leader would fill the memory of
//! the machine within a second.

use std::sync::Arc;

use calicohoist_replication::GroupMessage;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::request::Request;

/// Bytes that one permit of a semaphore stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// Limits on the inputs that wait. Clones share them.
#[derive(Clone, Debug)]
pub(super) struct InputMemory {
    requests: InputLimit,
    messages: InputLimit,
}

/// Limit on the inputs of one kind.
#[derive(Clone, Debug)]
struct InputLimit {
    limit: usize,
    permits: Arc<Semaphore>,
}

/// Memory of one input, which is returned when this value is dropped.
#[derive(Debug)]
pub(super) struct InputPermit {
    _permit: OwnedSemaphorePermit,
}

impl InputMemory {
    /// Creates limits of the retained turns in requests, and of the entries, snapshots and segments
    /// in messages, in bytes: multiples of 1 KiB.
    pub(super) fn new(requests: usize, messages: usize) -> Self {
        Self { requests: InputLimit::new(requests), messages: InputLimit::new(messages) }
    }

    /// Returns the size of the requests that wait in bytes, in units of a permit.
    pub(super) fn request_bytes(&self) -> usize {
        self.requests.held_bytes()
    }

    /// Returns the size of the messages that wait in bytes, in the same way.
    pub(super) fn message_bytes(&self) -> usize {
        self.messages.held_bytes()
    }

    /// Admits a request, or returns `None` if there is no room. One without content always has
    /// room, and one of any size if no other with content waits.
    pub(super) fn admit_request(&self, request: &Request) -> Option<InputPermit> {
        self.requests.admit(request.content_bytes())
    }

    /// Admits the messages of one frame, in the same way.
    pub(super) fn admit_messages(&self, messages: &[GroupMessage]) -> Option<InputPermit> {
        let bytes = messages.iter().map(|grouped| grouped.message.content_bytes()).sum();
        self.messages.admit(bytes)
    }
}

impl InputLimit {
    fn new(limit: usize) -> Self {
        Self { limit, permits: Arc::new(Semaphore::new(limit / BYTES_PER_PERMIT)) }
    }

    fn held_bytes(&self) -> usize {
        self.limit.saturating_sub(self.permits.available_permits() * BYTES_PER_PERMIT)
    }

    fn admit(&self, bytes: usize) -> Option<InputPermit> {
        let permits = u32::try_from(bytes.min(self.limit).div_ceil(BYTES_PER_PERMIT)).ok()?;
        let permit = Arc::clone(&self.permits).try_acquire_many_owned(permits).ok()?;
        Some(InputPermit { _permit: permit })
    }
}
