//! The way from the core back to the worker that serves a caller.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;

use crate::core::message::{CallerEvent, Ticket};

/// Events that may wait for one worker. A worker that lets its ring fill up is
/// written off as gone; its caller can resume the answer.
const RING: usize = 4_096;

/// Workers that wait for events.
#[derive(Default)]
pub struct Callers {
    next: AtomicU64,
    rings: Mutex<HashMap<Ticket, Sender<CallerEvent>>>,
}

impl Callers {
    /// Opens a ring for one request.
    pub fn open(self: &Arc<Self>) -> CallerRing {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = bounded(RING);
        self.rings.lock().insert(ticket, sender);
        CallerRing { ticket, receiver, callers: self.clone() }
    }

    /// Hands an event to its worker; `false` when nobody takes it.
    pub fn deliver(&self, ticket: Ticket, event: CallerEvent) -> bool {
        let rings = self.rings.lock();
        rings.get(&ticket).is_some_and(|ring| ring.try_send(event).is_ok())
    }
}

/// The worker's end of a ring; dropping it closes the ring.
pub struct CallerRing {
    ticket: Ticket,
    receiver: Receiver<CallerEvent>,
    callers: Arc<Callers>,
}

impl CallerRing {
    /// The name of the request towards the core.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Waits for the next event.
    pub fn next(&self, timeout: Duration) -> Option<CallerEvent> {
        self.receiver.recv_timeout(timeout).ok()
    }
}

impl Drop for CallerRing {
    fn drop(&mut self) {
        self.callers.rings.lock().remove(&self.ticket);
    }
}
