//! Retained turns: a forest in which each turn names the one it continued from.
//!
//! What was said in a turn is held in memory until it is sealed into a segment; from
//! then on only its place is. The place of everything follows from the commands alone,
//! so that all replicas have the same segments.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_replication::{SealedSegment, SegmentId, SegmentPiece};
use serde::{Deserialize, Serialize};

use crate::commands::{RetainedTurn, TurnId};

/// A segment is emptied into the next one when less than one part in this many is alive.
const WORTH_KEEPING: u64 = 4;

/// Where the bytes of a sealed turn are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBytes {
    /// The segment.
    pub segment: SegmentId,
    /// Where they begin, in bytes.
    pub offset: u64,
    /// How many they are.
    pub length: u32,
    /// CRC32C of them.
    pub checksum: u32,
}

impl StoredBytes {
    /// Whether `bytes` are what was stored.
    pub fn matches(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length as usize && crc32c::crc32c(bytes) == self.checksum
    }

    fn piece(&self) -> SegmentPiece {
        let Self { segment, offset, length, .. } = *self;
        SegmentPiece::Stored { segment, offset, length: length as usize }
    }
}

/// Input and output of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    Held(#[serde(with = "serde_bytes")] Vec<u8>),
    Stored(StoredBytes),
}

/// Part of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryPiece<'a> {
    /// It is here.
    Held(&'a [u8]),
    /// It has to be read.
    Stored(StoredBytes),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Turn {
    previous: Option<TurnId>,
    content: Content,
    keep_until_ms: u64,
}

/// How much of a segment is in use, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SegmentUse {
    total: u64,
    alive: u64,
}

/// All retained turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turns {
    turns: BTreeMap<TurnId, Turn>,
    /// Turns whose content is in memory.
    unsealed: BTreeSet<TurnId>,
    unsealed_bytes: u64,
    segments: BTreeMap<SegmentId, SegmentUse>,
    last_segment: SegmentId,
}

impl Turns {
    /// Keeps a turn and all it continued from until `until_ms`. A turn that is there
    /// already stays as it is.
    pub fn insert(&mut self, id: TurnId, kept: RetainedTurn, until_ms: u64) {
        if !self.turns.contains_key(&id) {
            let mut bytes = kept.input;
            bytes.extend_from_slice(&kept.output);
            self.unsealed.insert(id.clone());
            self.unsealed_bytes += bytes.len() as u64;
            let content = Content::Held(bytes);
            let turn = Turn { previous: kept.previous, content, keep_until_ms: 0 };
            self.turns.insert(id.clone(), turn);
        }
        self.keep_until(&id, until_ms);
    }

    /// Whether the turn is held.
    pub fn contains(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    /// Keeps a turn and all it continued from until `until_ms` at least.
    ///
    /// A turn is kept at least as long as any that continues from it, so the walk ends at the
    /// first that is kept for so long already. Without that, each further turn of a long line would
    /// walk the whole line.
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

    /// Inputs and outputs from the first turn of the line up to `id`, oldest first;
    /// `None` when a turn of the line is not held.
    pub fn history(&self, id: &str) -> Option<Vec<HistoryPiece<'_>>> {
        let mut pieces = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let turn = self.turns.get(id)?;
            pieces.push(match &turn.content {
                Content::Held(bytes) => HistoryPiece::Held(bytes),
                Content::Stored(stored) => HistoryPiece::Stored(*stored),
            });
            next = turn.previous.as_deref();
        }
        pieces.reverse();
        Some(pieces)
    }

    /// Drops the turns that nobody continued for as long as they are kept.
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
                    Content::Stored(stored) => release(segments, stored),
                }
            }
            is_kept
        });
        segments.retain(|_, usage| usage.alive > 0);
    }

    /// Moves what is in memory into a new segment, and what is left of segments that are
    /// nearly unused. `None` when there is nothing in memory.
    pub fn seal(&mut self) -> Option<SealedSegment> {
        if self.unsealed.is_empty() {
            return None;
        }
        let id = self.last_segment.next();
        let mut segment = OpenSegment { id, pieces: Vec::new(), bytes: 0 };
        let moved = self.turns_of_unused_segments();
        for turn in moved.iter().chain(&self.unsealed) {
            if let Some(turn) = self.turns.get_mut(turn) {
                segment.take(&mut turn.content);
            }
        }
        self.segments.retain(|_, usage| usage.alive * WORTH_KEEPING >= usage.total);
        self.segments.insert(id, SegmentUse { total: segment.bytes, alive: segment.bytes });
        self.last_segment = id;
        self.unsealed.clear();
        self.unsealed_bytes = 0;
        Some(SealedSegment { id, pieces: segment.pieces })
    }

    fn turns_of_unused_segments(&self) -> Vec<TurnId> {
        let is_unused = |usage: &SegmentUse| usage.alive * WORTH_KEEPING < usage.total;
        if !self.segments.values().any(is_unused) {
            return Vec::new();
        }
        let is_moved = |turn: &Turn| match &turn.content {
            Content::Held(_) => false,
            Content::Stored(stored) => self.segments.get(&stored.segment).is_some_and(is_unused),
        };
        let moved = self.turns.iter().filter(|(_, turn)| is_moved(turn));
        moved.map(|(id, _)| id.clone()).collect()
    }

    /// Bytes that the next segment would take from memory.
    pub fn unsealed_bytes(&self) -> u64 {
        self.unsealed_bytes
    }

    /// The segment that was sealed last.
    pub fn last_segment(&self) -> SegmentId {
        self.last_segment
    }

    /// The segments that hold something.
    pub fn segments(&self) -> BTreeSet<SegmentId> {
        self.segments.keys().copied().collect()
    }

    /// Turns held.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is held.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

fn release(segments: &mut BTreeMap<SegmentId, SegmentUse>, stored: &StoredBytes) {
    if let Some(usage) = segments.get_mut(&stored.segment) {
        usage.alive -= u64::from(stored.length);
    }
}

/// A segment that is being filled.
struct OpenSegment {
    id: SegmentId,
    pieces: Vec<SegmentPiece>,
    bytes: u64,
}

impl OpenSegment {
    /// Moves a turn's content into the segment.
    fn take(&mut self, content: &mut Content) {
        let (length, checksum) = match content {
            Content::Held(bytes) => {
                // A request's body is bounded far below this.
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
