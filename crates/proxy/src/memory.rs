//! Memory limit for buffered request and response bodies.
//!
//! Slow clients and replicas make the gateway buffer data for them. The memory is reserved before
//! the data is read, so that many of them at a time cannot exhaust the memory of the machine.

use std::sync::Arc;

use bytes::Bytes;
use calicohoist_telemetry::metrics::Gauge;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Limit in percent of the machine's memory. The rest is for sockets, the configuration and the
/// process itself.
const LIMIT_PERCENT: usize = 30;
/// Responses above this fraction of the limit are large.
const LARGE_RESPONSE_DIVISOR: usize = 16;
/// Limit in bytes if the memory of the machine is unknown.
const DEFAULT_LIMIT: usize = 64 << 20;

static RESERVED: Gauge =
    Gauge::new("calicohoist_held_bytes", "Bytes held for callers and replicas");

/// Purpose of reserved memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryClass {
    /// Body of a request, which may still be rejected.
    RequestBody,
    /// Response or part of one, which must be delivered to the client.
    Response,
    /// Large response. Limited separately, so that slow readers of large responses do not block
    /// small ones.
    LargeResponse,
}

impl MemoryClass {
    /// Returns the class of a response of `bytes` bytes.
    pub fn of_response(bytes: usize, limit: usize) -> Self {
        if bytes > limit / LARGE_RESPONSE_DIVISOR { Self::LargeResponse } else { Self::Response }
    }

    /// Returns whether `bytes` more bytes may be reserved. Request bodies get a quarter of the
    /// limit and responses the rest, so that accepted requests find room for their responses;
    /// large responses leave a quarter for small ones. If nothing else is reserved in its share, a
    /// reservation of any size is granted, since it could never succeed otherwise; a large response
    /// that exceeds its share counts as that share for the others.
    fn admits(self, bytes: usize, reserved: &BytesByClass, limit: usize) -> bool {
        let fits = |used: usize, share: usize| used == 0 || used.saturating_add(bytes) <= share;
        let large_share = limit / 2;
        let responses_fit = |responses: usize, large_responses: usize| {
            responses.saturating_add(large_responses.min(large_share)) <= limit / 4 * 3
        };
        let BytesByClass { request_bodies, responses, large_responses } = *reserved;
        match self {
            Self::RequestBody => fits(request_bodies, limit / 4),
            Self::Response => {
                let is_first = responses + large_responses == 0;
                is_first || responses_fit(responses.saturating_add(bytes), large_responses)
            }
            Self::LargeResponse => {
                fits(large_responses, large_share)
                    && responses_fit(responses, large_responses.saturating_add(bytes))
            }
        }
    }
}

/// Reserved bytes by class.
#[derive(Clone, Copy, Debug, Default)]
struct BytesByClass {
    request_bodies: usize,
    responses: usize,
    large_responses: usize,
}

impl BytesByClass {
    fn class_mut(&mut self, class: MemoryClass) -> &mut usize {
        match class {
            MemoryClass::RequestBody => &mut self.request_bodies,
            MemoryClass::Response => &mut self.responses,
            MemoryClass::LargeResponse => &mut self.large_responses,
        }
    }

    fn sum(&self) -> usize {
        self.request_bodies + self.responses + self.large_responses
    }
}

/// Memory limit of a process, with the current reservations.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Mutex<BytesByClass>,
    released: Notify,
}

impl MemoryBudget {
    /// Creates a budget for a machine with `memory` bytes of memory, or a default one if that is
    /// unknown.
    pub fn for_machine(memory: Option<usize>) -> Arc<Self> {
        Self::with_limit(memory.map_or(DEFAULT_LIMIT, |memory| memory / 100 * LIMIT_PERCENT))
    }

    /// Creates a budget of `limit` bytes.
    pub fn with_limit(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, reserved: Mutex::default(), released: Notify::new() })
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.reserved.lock().sum()
    }

    /// Reserves `bytes` bytes if they fit.
    pub fn try_reserve(
        self: &Arc<Self>,
        class: MemoryClass,
        bytes: usize,
    ) -> Option<MemoryReservation> {
        let mut reserved = self.reserved.lock();
        if !class.admits(bytes, &reserved, self.limit) {
            return None;
        }
        *reserved.class_mut(class) += bytes;
        RESERVED.set(reserved.sum() as u64);
        Some(MemoryReservation { budget: Arc::clone(self), class, bytes })
    }

    /// Reserves `bytes` bytes for a response or part of one, waiting until they fit.
    pub async fn reserve_response(self: &Arc<Self>, bytes: usize) -> MemoryReservation {
        let class = MemoryClass::of_response(bytes, self.limit);
        loop {
            // Registered before the attempt, so that no release in between is missed.
            let released = self.released.notified();
            if let Some(reservation) = self.try_reserve(class, bytes) {
                return reservation;
            }
            released.await;
        }
    }

    fn release(&self, class: MemoryClass, bytes: usize) {
        let mut reserved = self.reserved.lock();
        *reserved.class_mut(class) -= bytes;
        RESERVED.set(reserved.sum() as u64);
        drop(reserved);
        self.released.notify_waiters();
    }
}

/// Reservation of memory, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    class: MemoryClass,
    bytes: usize,
}

impl MemoryReservation {
    /// Attaches the reservation to `bytes`. It is released when the last handle to them is
    /// dropped, which a connection does after writing them.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }

    /// Grows the reservation to at least `bytes` bytes; returns whether that succeeded. For
    /// responses it always succeeds, since two partially read responses could wait for each other
    /// forever; one that becomes large counts as a large one from then on.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let mut reserved = self.budget.reserved.lock();
        let may_fail = self.class == MemoryClass::RequestBody && more > 0;
        if may_fail && !self.class.admits(more, &reserved, self.budget.limit) {
            return false;
        }
        let earlier_class = self.class;
        *reserved.class_mut(earlier_class) -= self.bytes;
        self.bytes += more;
        if self.class == MemoryClass::Response {
            self.class = MemoryClass::of_response(self.bytes, self.budget.limit);
        }
        *reserved.class_mut(self.class) += self.bytes;
        RESERVED.set(reserved.sum() as u64);
        let has_moved = self.class != earlier_class;
        drop(reserved);
        if has_moved {
            // A large response may count less for the others than it did as a small one.
            self.budget.released.notify_waiters();
        }
        true
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.class, self.bytes);
    }
}
