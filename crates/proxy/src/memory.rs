//! Bytes that a gateway holds for callers and replicas.
//!
//! The load that this answers: callers and replicas that read slowly, many at a time. What waits for
//! them is counted before it is read, so that a gateway never holds more than its machine bears and
//! is not killed with all that it serves.

use std::sync::Arc;

use bytes::Bytes;
use calicohoist_telemetry::metrics::Gauge;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Share of the machine's memory that may be held, in percent: the rest is for sockets, the
/// configuration and the process itself.
const HELD_PERCENT: usize = 30;
/// An answer is large from this part of the limit on.
const LARGE_PART: usize = 16;
/// What may be held where the machine's memory is not known, in bytes.
const DEFAULT_LIMIT: usize = 64 << 20;

static HELD: Gauge = Gauge::new("calicohoist_held_bytes", "Bytes held for callers and replicas");

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteClass {
    /// A request's body, which may still be refused.
    Body,
    /// An answer, or a piece of one, which is owed to its caller.
    Answer,
    /// A large answer: those who read theirs slowly hold up no short one.
    LargeAnswer,
}

impl ByteClass {
    /// The class of an answer of so many bytes.
    pub fn of_answer(bytes: usize, limit: usize) -> Self {
        if bytes > limit / LARGE_PART { Self::LargeAnswer } else { Self::Answer }
    }

    /// Whether so many bytes more may be held. Bodies have a quarter of the limit and answers the
    /// rest, so that what was let in finds room for its answer; large ones leave a quarter for
    /// short ones. What is alone in its share may be of any size: it would wait for ever.
    fn admits(self, bytes: usize, held: &HeldByClass, limit: usize) -> bool {
        let fits = |held: usize, share: usize| held == 0 || held.saturating_add(bytes) <= share;
        let answers = held.answers + held.large_answers;
        match self {
            Self::Body => fits(held.bodies, limit / 4),
            Self::Answer => fits(answers, limit / 4 * 3),
            Self::LargeAnswer => {
                fits(held.large_answers, limit / 2) && fits(answers, limit / 4 * 3)
            }
        }
    }
}

/// Bytes held, by class.
#[derive(Clone, Copy, Debug, Default)]
struct HeldByClass {
    bodies: usize,
    answers: usize,
    large_answers: usize,
}

impl HeldByClass {
    fn of(&mut self, class: ByteClass) -> &mut usize {
        match class {
            ByteClass::Body => &mut self.bodies,
            ByteClass::Answer => &mut self.answers,
            ByteClass::LargeAnswer => &mut self.large_answers,
        }
    }

    fn sum(&self) -> usize {
        self.bodies + self.answers + self.large_answers
    }
}

/// Bytes held by a process, against a limit.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    held: Mutex<HeldByClass>,
    returned: Notify,
}

impl ByteBudget {
    /// The budget of a machine with so many bytes of memory; `None` where that is not known.
    pub fn of_machine(memory: Option<usize>) -> Arc<Self> {
        Self::with_limit(memory.map_or(DEFAULT_LIMIT, |memory| memory / 100 * HELD_PERCENT))
    }

    /// A budget of so many bytes.
    pub fn with_limit(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, held: Mutex::default(), returned: Notify::new() })
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.lock().sum()
    }

    /// Holds so many bytes, if they fit.
    pub fn try_hold(self: &Arc<Self>, class: ByteClass, bytes: usize) -> Option<HeldBytes> {
        let mut held = self.held.lock();
        if !class.admits(bytes, &held, self.limit) {
            return None;
        }
        *held.of(class) += bytes;
        HELD.set(held.sum() as u64);
        Some(HeldBytes { budget: Arc::clone(self), class, bytes })
    }

    /// Holds an answer, or a piece of one, of so many bytes once they fit.
    pub async fn hold_answer(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        let class = ByteClass::of_answer(bytes, self.limit);
        loop {
            // Registered before the look, so that no return in between is missed.
            let returned = self.returned.notified();
            if let Some(held) = self.try_hold(class, bytes) {
                return held;
            }
            returned.await;
        }
    }

    fn take_back(&self, class: ByteClass, bytes: usize) {
        let mut held = self.held.lock();
        *held.of(class) -= bytes;
        HELD.set(held.sum() as u64);
        drop(held);
        self.returned.notify_waiters();
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    class: ByteClass,
    bytes: usize,
}

impl HeldBytes {
    /// These bytes, which count as held until the last handle to them is dropped: a connection drops
    /// its own once they are written.
    pub fn guard(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(GuardedBytes { bytes, _held: self })
    }

    /// Holds at least so many bytes from now on; returns whether it does. An answer that has begun
    /// does in any case: two half-read ones must not wait for each other.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let mut held = self.budget.held.lock();
        let may_be_refused = self.class == ByteClass::Body && more > 0;
        if may_be_refused && !self.class.admits(more, &held, self.budget.limit) {
            return false;
        }
        *held.of(self.class) += more;
        self.bytes += more;
        true
    }
}

struct GuardedBytes {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for GuardedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.take_back(self.class, self.bytes);
    }
}
