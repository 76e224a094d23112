//! Transfer of the segments referenced by a received snapshot.
//!
//! A follower fetches the missing segments from the sender of the snapshot, one chunk at a time.
//! It installs and acknowledges the snapshot only once all segments are stored, so that every
//! replica that acknowledged a state can serve all of it.

use std::sync::Arc;
use std::time::Duration;

use calicohoist_types::Moment;

use crate::message::{Message, ReplicaId, SegmentId, Snapshot, Term};

/// Maximum size of a chunk, in bytes.
pub(super) const CHUNK_BYTES: usize = 256 << 10;
/// Time without a reply after which a chunk is requested again.
const CHUNK_RETRY_TIMEOUT: Duration = Duration::from_millis(300);

/// A received snapshot whose segments are still being fetched.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) from: ReplicaId,
    pub(super) term: Term,
    pub(super) round: u64,
    pub(super) snapshot: Arc<Snapshot>,
    /// Segment being received, with the bytes received so far.
    current: Option<(SegmentId, Vec<u8>)>,
    requested_at: Option<Moment>,
}

/// Result of processing a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ChunkOutcome {
    /// The chunk was not the expected one.
    Ignored,
    /// The segment is incomplete.
    Partial,
    /// The segment is complete.
    Complete(SegmentId, Vec<u8>),
    /// The sender no longer stores the segment because it has a newer snapshot.
    Unavailable,
}

impl IncomingSnapshot {
    pub(super) fn new(from: ReplicaId, term: Term, round: u64, snapshot: Arc<Snapshot>) -> Self {
        Self { from, term, round, snapshot, current: None, requested_at: None }
    }

    /// Replaces the snapshot with the one sent last. Keeps a partial segment if it is still
    /// needed and comes from the same sender.
    pub(super) fn update(
        &mut self,
        from: ReplicaId,
        term: Term,
        round: u64,
        snapshot: Arc<Snapshot>,
    ) {
        let is_needed = |segment: &SegmentId| snapshot.segments.contains(segment);
        self.current.take_if(|(segment, _)| from != self.from || !is_needed(segment));
        self.from = from;
        self.term = term;
        self.round = round;
        self.snapshot = snapshot;
    }

    /// Returns the request for the next missing chunk, unless one is outstanding.
    pub(super) fn next_request(
        &mut self,
        now: Moment,
        is_stored: impl Fn(SegmentId) -> bool,
    ) -> Option<Message> {
        let is_outstanding = self.requested_at.is_some_and(|at| now < at + CHUNK_RETRY_TIMEOUT);
        if is_outstanding {
            return None;
        }
        if self.current.is_none() {
            let missing =
                self.snapshot.segments.iter().copied().find(|segment| !is_stored(*segment))?;
            self.current = Some((missing, Vec::new()));
        }
        let (segment, received) = self.current.as_ref()?;
        self.requested_at = Some(now);
        Some(Message::FetchSegment { segment: *segment, offset: received.len() as u64 })
    }

    /// Processes a received chunk.
    pub(super) fn take_chunk(
        &mut self,
        segment: SegmentId,
        offset: u64,
        total: Option<u64>,
        bytes: &[u8],
    ) -> ChunkOutcome {
        let Some((current, received)) = &mut self.current else {
            return ChunkOutcome::Ignored;
        };
        if *current != segment || offset != received.len() as u64 {
            return ChunkOutcome::Ignored;
        }
        let Some(total) = total else {
            return ChunkOutcome::Unavailable;
        };
        received.extend_from_slice(bytes);
        self.requested_at = None;
        if (received.len() as u64) < total {
            return ChunkOutcome::Partial;
        }
        let segment_bytes = std::mem::take(received);
        self.current = None;
        ChunkOutcome::Complete(segment, segment_bytes)
    }
}
