//! Memory of the incoming frames of all connections, as a state machine without I/O.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Age from which a frame may be slow.
const SLOW_FRAME_AGE: Duration = Duration::from_secs(1);
/// Rate below which a frame is slow, in bytes per second.
const SLOW_BYTES_PER_SECOND: usize = 256 << 10;
/// The same for the frame that is larger than a share.
const SLOW_LARGE_BYTES_PER_SECOND: usize = 4 << 20;

/// Time for which a large frame is followed by no other one, relative to its own.
const LARGE_PAUSE_FACTOR: u32 = 4;
/// Maximum of that time.
const MAX_LARGE_PAUSE: Duration = Duration::from_millis(500);

/// Identity of an incoming frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FrameId(u64);

/// Answer to a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The frame has the memory.
    Granted,
    /// The frame waits until memory is released.
    Waits,
    /// The frame waits for that of another one, whose connection is to be closed.
    Evicts(FrameId),
}

/// What a frame holds.
#[derive(Debug)]
struct HeldFrame {
    peer: IpAddr,
    bytes: usize,
    began_at: Instant,
    /// When the frame became large.
    large_since: Option<Instant>,
    waiting: Option<Waiting>,
    is_evicted: bool,
}

/// A frame that waits for memory.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    /// What the frame needs in all.
    bytes: usize,
}

/// Rank of a frame for eviction; the greatest is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    is_slow: bool,
    /// Whether its peer holds more than half of the limit, with several frames.
    is_of_greedy_peer: bool,
    waits_to_be_large: bool,
    /// The greatest is the newest.
    id: FrameId,
}

/// Memory of incoming frames.
///
/// A frame that is larger than half the limit counts as half, and there is one such frame at a time.
/// Without room, a frame gives way that is slow, or of a peer that holds more than half, or waits to be
/// large, or else the newest; if this is the one that needs more, it waits. So frames never wait for each
/// other, and the oldest one is completed, unless it is slow. A pause after each large frame limits the
/// processor time that they cost.
#[derive(Debug)]
pub struct FrameBudget {
    limit: usize,
    frames: BTreeMap<FrameId, HeldFrame>,
    next_id: u64,
    /// When the next large frame may begin.
    large_from: Option<Instant>,
}

impl FrameBudget {
    /// Creates a budget of `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self { limit, frames: BTreeMap::new(), next_id: 0, large_from: None }
    }

    /// Adds a frame of `peer` that holds nothing yet.
    pub fn begin(&mut self, peer: IpAddr, now: Instant) -> FrameId {
        let id = FrameId(self.next_id);
        self.next_id += 1;
        let frame = HeldFrame {
            peer,
            bytes: 0,
            began_at: now,
            large_since: None,
            waiting: None,
            is_evicted: false,
        };
        self.frames.insert(id, frame);
        id
    }

    /// Releases what a frame holds.
    pub fn end(&mut self, id: FrameId, now: Instant) {
        if let Some(since) = self.frames.remove(&id).and_then(|frame| frame.large_since) {
            self.pause_large(since, now);
        }
    }

    /// Returns the memory held by all frames in bytes.
    pub fn held_bytes(&self) -> usize {
        self.frames.values().map(|frame| frame.bytes).sum()
    }

    /// Returns whether the connection of a frame is to be closed.
    pub fn is_evicted(&self, id: FrameId) -> bool {
        self.frames.get(&id).is_some_and(|frame| frame.is_evicted)
    }

    /// Reduces what a frame holds to `bytes`.
    pub fn shrink(&mut self, id: FrameId, bytes: usize, now: Instant) {
        if let Some(frame) = self.frames.get_mut(&id) {
            frame.bytes = frame.bytes.min(bytes);
            frame.began_at = now;
            if let Some(since) = frame.large_since.take() {
                self.pause_large(since, now);
            }
        }
    }

    fn pause_large(&mut self, since: Instant, now: Instant) {
        let pause = (now - since) * LARGE_PAUSE_FACTOR;
        self.large_from = Some(now + pause.min(MAX_LARGE_PAUSE));
    }

    /// Asks for `bytes` in all for a frame.
    pub fn grow(&mut self, id: FrameId, bytes: usize, now: Instant) -> Admission {
        if self.has_room(id, bytes, now) && !self.has_to_wait(id, now) {
            self.grant(id, bytes, now);
            return Admission::Granted;
        }
        if let Some(frame) = self.frames.get_mut(&id) {
            let since = frame.waiting.map_or(now, |waiting| waiting.since);
            frame.waiting = Some(Waiting { since, bytes });
        }
        match self.has_room(id, bytes, now) {
            true => Admission::Waits,
            false => self.make_room(id, bytes, now),
        }
    }

    fn grant(&mut self, id: FrameId, bytes: usize, now: Instant) {
        let is_large = bytes > self.share();
        let Some(frame) = self.frames.get_mut(&id) else {
            return;
        };
        // Time in which a frame waits does not make it slow.
        frame.began_at +=
            frame.waiting.take().map_or(Duration::ZERO, |waiting| now - waiting.since);
        frame.bytes = bytes;
        if is_large {
            frame.large_since.get_or_insert(now);
        }
    }

    /// Returns whether the free memory is for another frame that waits for it.
    fn has_to_wait(&self, id: FrameId, now: Instant) -> bool {
        let Some(frame) = self.frames.get(&id) else {
            return false;
        };
        let greedy_peer = self.greedy_peer();
        let rank = self.rank(id, frame, greedy_peer, now);
        self.frames.iter().any(|(other, frame)| {
            let waits = frame.waiting.is_some_and(|waiting| waiting.bytes <= self.share());
            *other != id && waits && self.rank(*other, frame, greedy_peer, now) < rank
        })
    }

    /// Size above which a frame is large.
    fn share(&self) -> usize {
        self.limit / 2
    }

    fn counted(&self, bytes: usize) -> usize {
        bytes.min(self.share())
    }

    fn has_room(&self, id: FrameId, bytes: usize, now: Instant) -> bool {
        self.counted_with(id, bytes) <= self.limit
            && (bytes <= self.share() || self.may_be_large(id, now))
    }

    fn may_be_large(&self, id: FrameId, now: Instant) -> bool {
        let is_large = |frame: &HeldFrame| frame.large_since.is_some();
        let current = self.frames.iter().find(|(_, frame)| is_large(frame));
        match current {
            Some((current, _)) => *current == id,
            None => self.large_from.is_none_or(|from| from <= now),
        }
    }

    /// Selects the frame that gives way to one that needs `bytes`.
    fn make_room(&mut self, id: FrameId, bytes: usize, now: Instant) -> Admission {
        if self.frames.values().any(|frame| frame.is_evicted) {
            // Its memory is being released.
            return Admission::Waits;
        }
        let needs_turn = bytes > self.share() && self.counted_with(id, bytes) <= self.limit;
        let candidates = self.frames.iter().filter(|(other, frame)| {
            let holds = if needs_turn { frame.bytes > self.share() } else { frame.bytes > 0 };
            **other == id || holds
        });
        let greedy_peer = self.greedy_peer();
        let ranks = candidates.map(|(other, frame)| self.rank(*other, frame, greedy_peer, now));
        match ranks.max() {
            Some(rank) if rank.id != id => {
                if let Some(frame) = self.frames.get_mut(&rank.id) {
                    frame.is_evicted = true;
                }
                Admission::Evicts(rank.id)
            }
            _ => Admission::Waits,
        }
    }

    /// What all frames count if one of them holds `bytes`.
    fn counted_with(&self, id: FrameId, bytes: usize) -> usize {
        let others = self.frames.iter().filter(|(other, _)| **other != id);
        let held: usize = others.map(|(_, frame)| self.counted(frame.bytes)).sum();
        held + self.counted(bytes)
    }

    fn rank(
        &self,
        id: FrameId,
        frame: &HeldFrame,
        greedy_peer: Option<IpAddr>,
        now: Instant,
    ) -> EvictionRank {
        EvictionRank {
            is_slow: self.is_slow(frame, now),
            is_of_greedy_peer: greedy_peer == Some(frame.peer),
            waits_to_be_large: frame.waiting.is_some_and(|waiting| waiting.bytes > self.share()),
            id,
        }
    }

    /// Returns the peer whose frames hold more than half of the limit.
    fn greedy_peer(&self) -> Option<IpAddr> {
        let mut held: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for frame in self.frames.values() {
            *held.entry(frame.peer).or_default() += self.counted(frame.bytes);
        }
        held.into_iter().find(|(_, bytes)| *bytes > self.share()).map(|(peer, _)| peer)
    }

    fn is_slow(&self, frame: &HeldFrame, now: Instant) -> bool {
        let rate = match frame.bytes > self.share() {
            true => SLOW_LARGE_BYTES_PER_SECOND,
            false => SLOW_BYTES_PER_SECOND,
        };
        let until = frame.waiting.map_or(now, |waiting| waiting.since);
        let age = until.saturating_duration_since(frame.began_at);
        age >= SLOW_FRAME_AGE && (frame.bytes as f64) < rate as f64 * age.as_secs_f64()
    }
}
