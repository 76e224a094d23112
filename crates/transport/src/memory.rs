//! Memory of incoming frames, shared by connections.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use calicohoist_wire::FrameError;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::budget::{Admission, FrameBudget, FrameId};

/// Interval at which a frame that waits asks again, since others become slow with time.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Memory of the incoming frames of all connections that share it. Clones share the same memory.
#[derive(Clone, Debug)]
pub struct FrameMemory(Arc<SharedMemory>);

#[derive(Debug)]
struct SharedMemory {
    budget: Mutex<FrameBudget>,
    /// Memory was released, or a frame evicted.
    changed: Notify,
}

impl FrameMemory {
    /// Creates a memory of `limit` bytes, beyond which one frame at a time may be read.
    pub fn new(limit: usize) -> Self {
        let budget = Mutex::new(FrameBudget::new(limit));
        Self(Arc::new(SharedMemory { budget, changed: Notify::new() }))
    }

    /// Returns the memory held by all frames in bytes.
    pub fn held_bytes(&self) -> usize {
        self.0.budget.lock().held_bytes()
    }

    /// Returns an empty lease for the frames of a connection to `peer`.
    pub(crate) fn lease(&self, peer: IpAddr) -> FrameLease {
        FrameLease { memory: self.clone(), peer, held: None }
    }
}

/// Memory of the frames of one connection, released on drop.
#[derive(Debug)]
pub(crate) struct FrameLease {
    memory: FrameMemory,
    peer: IpAddr,
    /// The frame, and how much memory it holds in bytes.
    held: Option<(FrameId, usize)>,
}

impl FrameLease {
    /// Whether no memory is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_none()
    }

    /// Waits until `bytes` are held.
    ///
    /// # Errors
    /// Returns [`FrameError::NoMemory`] if the frame gives way to others.
    pub(crate) async fn grow(&mut self, bytes: usize) -> Result<(), FrameError> {
        if self.held.is_some_and(|(_, held)| held >= bytes) {
            return Ok(());
        }
        let SharedMemory { budget, changed } = &*self.memory.0;
        let id = match self.held {
            Some((id, _)) => id,
            None => {
                let id = budget.lock().begin(self.peer, now());
                self.held = Some((id, 0));
                id
            }
        };
        loop {
            // Created before the check, so that no change after it is missed.
            let change = changed.notified();
            let admission = {
                let mut budget = budget.lock();
                if budget.is_evicted(id) {
                    return Err(FrameError::NoMemory);
                }
                budget.grow(id, bytes, now())
            };
            match admission {
                Admission::Granted => break,
                Admission::Waits => {}
                Admission::Evicts(_) => changed.notify_waiters(),
            }
            // An elapsed timeout is a reason to ask again, as a change is.
            let _ = timeout(RETRY_INTERVAL, change).await;
        }
        self.held = Some((id, bytes));
        Ok(())
    }

    /// Reduces what is held to `bytes`.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let Some((id, held)) = self.held else {
            return;
        };
        let mut budget = self.memory.0.budget.lock();
        if bytes == 0 {
            budget.end(id, now());
            self.held = None;
        } else {
            budget.shrink(id, bytes, now());
            self.held = Some((id, held.min(bytes)));
        }
        drop(budget);
        self.memory.0.changed.notify_waiters();
    }

    /// Waits until the frame has to give way to others.
    pub(crate) async fn evicted(&self) -> FrameError {
        let Some((id, _)) = self.held else {
            return std::future::pending().await;
        };
        let SharedMemory { budget, changed } = &*self.memory.0;
        loop {
            let change = changed.notified();
            if budget.lock().is_evicted(id) {
                return FrameError::NoMemory;
            }
            change.await;
        }
    }
}

impl Drop for FrameLease {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
