//! Segments that a snapshot refers to, fetched before the snapshot counts.
//!
//! A follower that is sent a snapshot asks its sender for the segments that it lacks,
//! a chunk at a time, and hands the snapshot on only when it holds all of them. Until
//! then it acknowledges nothing of it: a replica that acknowledges a state can serve
//! all of that state.

use std::sync::Arc;
use std::time::Duration;

use calicohoist_types::Moment;

use crate::message::{Message, ReplicaId, SegmentId, Snapshot, Term};

/// Bytes in one chunk: small beside what a link carries between two heartbeats.
pub(super) const CHUNK_BYTES: usize = 256 << 10;
/// Silence after which a chunk is asked for again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(300);

/// A snapshot that waits for segments.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) from: ReplicaId,
    pub(super) term: Term,
    pub(super) round: u64,
    pub(super) snapshot: Arc<Snapshot>,
    /// The segment that is being received, and what there is of it.
    current: Option<(SegmentId, Vec<u8>)>,
    asked_at: Option<Moment>,
}

/// What a chunk led to.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ChunkOutcome {
    /// Nothing that matters here.
    Ignored,
    /// More of the segment is wanted.
    Partial,
    /// The segment is whole.
    Whole(SegmentId, Vec<u8>),
    /// The sender does not hold it: it has gone on to a newer snapshot.
    Gone,
}

impl Incoming {
    pub(super) fn new(from: ReplicaId, term: Term, round: u64, snapshot: Arc<Snapshot>) -> Self {
        Self { from, term, round, snapshot, current: None, asked_at: None }
    }

    /// The sender sent its newest snapshot again, perhaps a newer one.
    pub(super) fn renew(
        &mut self,
        from: ReplicaId,
        term: Term,
        round: u64,
        snapshot: Arc<Snapshot>,
    ) {
        let is_wanted = |segment: &SegmentId| snapshot.segments.contains(segment);
        self.current.take_if(|(segment, _)| from != self.from || !is_wanted(segment));
        self.from = from;
        self.term = term;
        self.round = round;
        self.snapshot = snapshot;
    }

    /// What to ask for now, if anything: the next chunk of the segments that `is_held`
    /// does not know.
    pub(super) fn next_request(
        &mut self,
        now: Moment,
        is_held: impl Fn(SegmentId) -> bool,
    ) -> Option<Message> {
        let is_waiting = self.asked_at.is_some_and(|at| now < at + ASK_AGAIN_AFTER);
        if is_waiting {
            return None;
        }
        if self.current.is_none() {
            let missing = self.snapshot.segments.iter().copied().find(|known| !is_held(*known))?;
            self.current = Some((missing, Vec::new()));
        }
        let (segment, received) = self.current.as_ref()?;
        self.asked_at = Some(now);
        Some(Message::FetchSegment { segment: *segment, offset: received.len() as u64 })
    }

    /// Takes a chunk.
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
            return ChunkOutcome::Gone;
        };
        received.extend_from_slice(bytes);
        self.asked_at = None;
        if (received.len() as u64) < total {
            return ChunkOutcome::Partial;
        }
        let whole = std::mem::take(received);
        self.current = None;
        ChunkOutcome::Whole(segment, whole)
    }
}
