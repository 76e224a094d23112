//! Channels from the core to the HTTP workers that serve callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;

use crate::core::message::{CallerEvent, Ticket};

/// Maximum number of queued events per worker. Further events are dropped; the
/// caller can fetch the stored answer.
const CHANNEL_CAPACITY: usize = 4_096;

/// The channels of all workers that wait for events.
#[derive(Default)]
pub struct CallerChannels {
    next: AtomicU64,
    senders: Mutex<HashMap<Ticket, Sender<CallerEvent>>>,
}

impl CallerChannels {
    /// Opens a channel for one request.
    pub fn open(self: &Arc<Self>) -> CallerChannel {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = bounded(CHANNEL_CAPACITY);
        self.senders.lock().insert(ticket, sender);
        CallerChannel { ticket, receiver, channels: self.clone() }
    }

    /// Sends an event to a worker; returns `false` if the worker is gone or its channel is full.
    pub fn deliver(&self, ticket: Ticket, event: CallerEvent) -> bool {
        let senders = self.senders.lock();
        senders.get(&ticket).is_some_and(|sender| sender.try_send(event).is_ok())
    }
}

/// The worker's end of a channel, which is closed on drop.
pub struct CallerChannel {
    ticket: Ticket,
    receiver: Receiver<CallerEvent>,
    channels: Arc<CallerChannels>,
}

impl CallerChannel {
    /// Returns the ticket that identifies the request in the core.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Waits for the next event; returns `None` after the timeout.
    pub fn next(&self, timeout: Duration) -> Option<CallerEvent> {
        self.receiver.recv_timeout(timeout).ok()
    }
}

impl Drop for CallerChannel {
    fn drop(&mut self) {
        self.channels.senders.lock().remove(&self.ticket);
    }
}
