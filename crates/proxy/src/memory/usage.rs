//! What is reserved of a memory limit, and which response may exceed it.
//!
//! Responses of unknown length wait for room when they grow. Two that are partly read could wait
//! for each other forever, so one at a time has a turn in which it may exceed the limit, provided
//! that the others are within it.

use std::time::Duration;

use tokio::time::Instant;

use super::shares::{BytesByClass, MemoryClass};

/// Time after which the response that may exceed the limit gives way to those that wait.
pub const TURN_DURATION: Duration = Duration::from_secs(1);

/// Memory held by a reservation.
#[derive(Debug)]
pub(super) struct Holding {
    id: u64,
    pub(super) class: MemoryClass,
    pub(super) bytes: usize,
}

/// Result of an attempt to grow a holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Growth {
    /// The holding has grown.
    Granted,
    /// There is no room.
    Refused,
    /// There is no room, and the turn of the holding has ended.
    TurnEnded,
}

/// Turn of the response that may exceed the limit.
#[derive(Debug)]
struct OverdraftTurn {
    holder: u64,
    ends_at: Instant,
    is_revoked: bool,
}

/// Reserved memory and the current turn.
#[derive(Debug)]
pub(super) struct MemoryUsage {
    limit: usize,
    reserved: BytesByClass,
    turn: Option<OverdraftTurn>,
    next_id: u64,
}

impl MemoryUsage {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, reserved: BytesByClass::default(), turn: None, next_id: 0 }
    }

    pub(super) fn reserved(&self) -> usize {
        self.reserved.sum()
    }

    /// Reserves memory for something of which nothing has been read.
    pub(super) fn reserve(&mut self, class: MemoryClass, bytes: usize) -> Option<Holding> {
        class.admits(bytes, &self.reserved, self.limit).then(|| self.hold(class, bytes))
    }

    /// Returns an empty holding that will grow.
    pub(super) fn reserve_nothing(&mut self, class: MemoryClass) -> Holding {
        self.hold(class, 0)
    }

    /// Reserves memory for a complete part of what a holding reads, which may exceed the limit in
    /// its turn.
    pub(super) fn reserve_beside(
        &mut self,
        holding: &Holding,
        class: MemoryClass,
        bytes: usize,
    ) -> Option<Holding> {
        let has_room = class.has_room(bytes, &self.reserved, self.limit);
        let may_reserve = has_room || self.may_exceed_limit(holding, &self.others(holding));
        may_reserve.then(|| self.hold(class, bytes))
    }

    /// Grows a holding to `bytes` bytes, if need be in its turn to exceed the limit.
    pub(super) fn grow(&mut self, holding: &mut Holding, bytes: usize, now: Instant) -> Growth {
        let class = holding.class.when_grown(bytes, self.limit);
        let others = self.others(holding);
        let has_room = class.has_room(bytes, &others, self.limit);
        if !has_room && !self.may_exceed_limit(holding, &others) {
            // Whoever has to wait must not be the one that others wait for.
            return if self.end_turn(holding) { Growth::TurnEnded } else { Growth::Refused };
        }
        if !has_room && self.turn.is_none() {
            let ends_at = now + TURN_DURATION;
            self.turn = Some(OverdraftTurn { holder: holding.id, ends_at, is_revoked: false });
        }
        self.reserved.subtract(holding.class, holding.bytes);
        holding.class = class;
        holding.bytes = bytes;
        self.reserved.add(class, bytes);
        Growth::Granted
    }

    /// Releases what a holding has beyond `bytes` bytes.
    pub(super) fn shrink(&mut self, holding: &mut Holding, bytes: usize) {
        let released = holding.bytes.saturating_sub(bytes);
        self.reserved.subtract(holding.class, released);
        holding.bytes -= released;
        if holding.bytes == 0 {
            self.end_turn(holding);
            if holding.class == MemoryClass::LargeResponse {
                holding.class = MemoryClass::Response;
            }
        }
    }

    /// Ends the turn of a holding; returns whether it had it.
    pub(super) fn end_turn(&mut self, holding: &Holding) -> bool {
        self.turn.take_if(|turn| turn.holder == holding.id).is_some()
    }

    /// Returns when the current turn ends, unless it was revoked already.
    pub(super) fn turn_end(&self) -> Option<Instant> {
        self.turn.as_ref().filter(|turn| !turn.is_revoked).map(|turn| turn.ends_at)
    }

    /// Revokes a turn that has lasted too long; returns whether there was one.
    pub(super) fn revoke_turn(&mut self, now: Instant) -> bool {
        match &mut self.turn {
            Some(turn) if turn.ends_at <= now && !turn.is_revoked => {
                turn.is_revoked = true;
                true
            }
            _ => false,
        }
    }

    /// Returns whether a holding has a revoked turn.
    pub(super) fn is_revoked(&self, holding: &Holding) -> bool {
        self.turn.as_ref().is_some_and(|turn| turn.holder == holding.id && turn.is_revoked)
    }

    fn hold(&mut self, class: MemoryClass, bytes: usize) -> Holding {
        self.next_id += 1;
        self.reserved.add(class, bytes);
        Holding { id: self.next_id, class, bytes }
    }

    fn others(&self, holding: &Holding) -> BytesByClass {
        let mut others = self.reserved;
        others.subtract(holding.class, holding.bytes);
        others
    }

    /// Returns whether a holding has the turn or may take it.
    fn may_exceed_limit(&self, holding: &Holding, others: &BytesByClass) -> bool {
        let is_free = self.turn.as_ref().is_none_or(|turn| turn.holder == holding.id);
        holding.class != MemoryClass::RequestBody && is_free && others.is_within(self.limit)
    }
}
