//! Retained turns: a forest in which each turn refers to the turn it continues from.
//!
//! The content of a turn is held in memory until it is sealed into a segment on disk; from then
//! on only its location is. Locations depend on the commands alone, so that the segments of all
//! replicas are identical.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use calicohoist_replication::{SealedSegment, SegmentId, SegmentPiece};
use serde::{Deserialize, Serialize};

use crate::commands::{RetainedTurn, TurnId};

/// A segment is compacted when less than `1 / COMPACTION_DIVISOR` of its bytes are live.
const COMPACTION_DIVISOR: u64 = 4;

/// Location of the content of a sealed turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBytes {
    /// Segment that contains the bytes.
    pub segment: SegmentId,
    /// Offset within the segment, in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u32,
    /// CRC32C of the bytes.
    pub checksum: u32,
}

impl StoredBytes {
    /// Returns whether `bytes` have the stored length and checksum.
    pub fn matches(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length as usize && crc32c::crc32c(bytes) == self.checksum
    }

    fn piece(&self) -> SegmentPiece {
        let Self { segment, offset, length, .. } = *self;
        SegmentPiece::Stored { segment, offset, length: length as usize }
    }
}

/// Input and output of a turn, or their location on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    Held(#[serde(with = "serde_bytes")] Vec<u8>),
    Stored(StoredBytes),
}

/// One turn's part of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryPiece<'a> {
    /// The bytes in memory.
    InMemory(&'a [u8]),
    /// The location of the bytes on disk.
    OnDisk(StoredBytes),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Turn {
    previous: Option<TurnId>,
    content: Content,
    keep_until_ms: u64,
}

/// Total and live bytes of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SegmentUse {
    total: u64,
    alive: u64,
}

/// All retained turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turns {
    turns: BTreeMap<TurnId, Turn>,
    /// Turns whose content is still in memory.
    unsealed: BTreeSet<TurnId>,
    unsealed_bytes: u64,
    segments: BTreeMap<SegmentId, SegmentUse>,
    last_segment: SegmentId,
}

impl Turns {
    /// Adds a turn and retains it and its ancestors until `until_ms`. The content of an existing
    /// turn is not replaced.
    pub fn insert(&mut self, id: TurnId, retained: RetainedTurn, until_ms: u64) {
        if !self.turns.contains_key(&id) {
            let mut bytes = retained.input;
            bytes.extend_from_slice(&retained.output);
            self.unsealed.insert(id.clone());
            self.unsealed_bytes += bytes.len() as u64;
            let content = Content::Held(bytes);
            let turn = Turn { previous: retained.previous, content, keep_until_ms: 0 };
            self.turns.insert(id.clone(), turn);
        }
        self.keep_until(&id, until_ms);
    }

    /// Returns whether the turn is retained.
    pub fn contains(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    /// Returns whether the turn is retained with other content than `content`.
    pub fn has_other_content(&self, id: &str, content: &[u8]) -> bool {
        self.turns.get(id).is_some_and(|turn| match &turn.content {
            Content::Held(bytes) => bytes != content,
            Content::Stored(stored) => !stored.matches(content),
        })
    }

    /// Iterates over the IDs that begin with `prefix`.
    pub fn ids_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let ids = self.turns.range::<str, _>(from).map(|(id, _)| id.as_str());
        ids.take_while(move |id| id.starts_with(prefix))
    }

    /// Retains a turn and its ancestors at least until `until_ms`.
    ///
    /// A turn is retained at least as long as its descendants, so the walk stops at the first
    /// ancestor whose retention need not be extended.
    pub fn keep_until(&mut self, id: &str, until_ms: u64) {
        let mut next = Some(id.to_owned());
        while let Some(id) = next {
            let Some(turn) = self.turns.get_mut(&id) else {
                return;
            };
            if turn.keep_until_ms >= until_ms {
                return;
            }
            turn.keep_until_ms = until_ms;
            next = turn.previous.clone();
        }
    }

    /// Returns the content of `id` and its ancestors, oldest first, or `None` if any of them is
    /// not retained.
    pub fn history(&self, id: &str) -> Option<Vec<HistoryPiece<'_>>> {
        let mut pieces = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let turn = self.turns.get(id)?;
            pieces.push(match &turn.content {
                Content::Held(bytes) => HistoryPiece::InMemory(bytes),
                Content::Stored(stored) => HistoryPiece::OnDisk(*stored),
            });
            next = turn.previous.as_deref();
        }
        pieces.reverse();
        Some(pieces)
    }

    /// Removes the turns whose retention period has passed.
    pub fn expire(&mut self, now_ms: u64) {
        let Self { turns, unsealed, unsealed_bytes, segments, .. } = self;
        turns.retain(|id, turn| {
            let is_kept = turn.keep_until_ms > now_ms;
            if !is_kept {
                match &turn.content {
                    Content::Held(bytes) => {
                        unsealed.remove(id);
                        *unsealed_bytes -= bytes.len() as u64;
                    }
                    Content::Stored(stored) => subtract_live_bytes(segments, stored),
                }
            }
            is_kept
        });
        segments.retain(|_, usage| usage.alive > 0);
    }

    /// Seals the turns in memory, and the live turns of mostly dead segments, into a new segment.
    /// Returns `None` if no turn is in memory.
    pub fn seal(&mut self) -> Option<SealedSegment> {
        if self.unsealed.is_empty() {
            return None;
        }
        let id = self.last_segment.next();
        let mut segment = SegmentBuilder { id, pieces: Vec::new(), bytes: 0 };
        let moved = self.turns_to_compact();
        for turn in moved.iter().chain(&self.unsealed) {
            if let Some(turn) = self.turns.get_mut(turn) {
                segment.append(&mut turn.content);
            }
        }
        self.segments.retain(|_, usage| usage.alive * COMPACTION_DIVISOR >= usage.total);
        self.segments.insert(id, SegmentUse { total: segment.bytes, alive: segment.bytes });
        self.last_segment = id;
        self.unsealed.clear();
        self.unsealed_bytes = 0;
        Some(SealedSegment { id, pieces: segment.pieces })
    }

    fn turns_to_compact(&self) -> Vec<TurnId> {
        let is_mostly_dead = |usage: &SegmentUse| usage.alive * COMPACTION_DIVISOR < usage.total;
        if !self.segments.values().any(is_mostly_dead) {
            return Vec::new();
        }
        let is_moved = |turn: &Turn| match &turn.content {
            Content::Held(_) => false,
            Content::Stored(stored) => {
                self.segments.get(&stored.segment).is_some_and(is_mostly_dead)
            }
        };
        let moved = self.turns.iter().filter(|(_, turn)| is_moved(turn));
        moved.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of content bytes held in memory.
    pub fn unsealed_bytes(&self) -> u64 {
        self.unsealed_bytes
    }

    /// Returns the segment sealed last.
    pub fn last_segment(&self) -> SegmentId {
        self.last_segment
    }

    /// Returns the segments with live content.
    pub fn segments(&self) -> BTreeSet<SegmentId> {
        self.segments.keys().copied().collect()
    }

    /// Returns the number of retained turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether no turns are retained.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

fn subtract_live_bytes(segments: &mut BTreeMap<SegmentId, SegmentUse>, stored: &StoredBytes) {
    if let Some(usage) = segments.get_mut(&stored.segment) {
        usage.alive -= u64::from(stored.length);
    }
}

/// Builds a new segment.
struct SegmentBuilder {
    id: SegmentId,
    pieces: Vec<SegmentPiece>,
    bytes: u64,
}

impl SegmentBuilder {
    /// Moves the content of a turn into the segment.
    fn append(&mut self, content: &mut Content) {
        let (length, checksum) = match content {
            Content::Held(bytes) => {
                // The size limit of request bodies is far below `u32::MAX`.
                (u32::try_from(bytes.len()).unwrap_or(u32::MAX), crc32c::crc32c(bytes))
            }
            Content::Stored(stored) => (stored.length, stored.checksum),
        };
        let stored = StoredBytes { segment: self.id, offset: self.bytes, length, checksum };
        let before = std::mem::replace(content, Content::Stored(stored));
        self.pieces.push(match before {
            Content::Held(bytes) => SegmentPiece::Bytes(bytes),
            Content::Stored(stored) => stored.piece(),
        });
        self.bytes += u64::from(length);
    }
}
