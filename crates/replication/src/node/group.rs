//! One group of a node: protocol state, state machine, and pending proposals and reads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;

use super::outbox::Outbox;
use super::transfer::{CHUNK_BYTES, ChunkOutcome, IncomingSnapshot};
use super::{NodeEvent, NodeSettings, SealedSegment, SegmentPiece, StateMachine, Ticket};
use crate::message::{
    Entry, EntryKind, GroupId, GroupMessage, Index, Message, ReplicaId, SegmentId, Snapshot, Term,
};
use crate::raft::{Effects, Raft, ReadReadiness};
use crate::storage::{Disk, DiskError, DiskLog, Write};

/// Segment I/O to perform in the next flush.
enum SegmentIo {
    ReadChunk { to: ReplicaId, segment: SegmentId, offset: u64 },
    Store { segment: SegmentId, bytes: Vec<u8> },
}

pub(super) struct Group<S> {
    id: GroupId,
    pub(super) raft: Raft,
    pub(super) machine: S,
    applied: Index,
    /// Size of the commands applied since the last snapshot, in bytes.
    applied_bytes: usize,
    /// Newly sealed segments, which must be stored with a snapshot.
    sealed: Vec<SealedSegment>,
    proposals: BTreeMap<Index, (Term, Ticket)>,
    pub(super) reads: BTreeSet<Ticket>,
    /// Segments stored on the local disk.
    stored_segments: BTreeSet<SegmentId>,
    /// Received snapshot whose segments are still being fetched.
    incoming: Option<IncomingSnapshot>,
    /// Segment reads and writes to perform in the next flush.
    segment_io: Vec<SegmentIo>,
    /// Kind and index of the entry or snapshot that could not be decoded. Nothing is applied
    /// from there on.
    unreadable: Option<(&'static str, Index)>,
}

impl<S: StateMachine> Group<S> {
    pub(super) fn new(
        id: GroupId,
        raft: Raft,
        machine: S,
        stored_segments: BTreeSet<SegmentId>,
    ) -> Self {
        Self {
            id,
            applied: raft.snapshot_index(),
            applied_bytes: 0,
            sealed: Vec::new(),
            raft,
            machine,
            proposals: BTreeMap::new(),
            reads: BTreeSet::new(),
            stored_segments,
            incoming: None,
            segment_io: Vec::new(),
            unreadable: None,
        }
    }

    pub(super) fn track_proposal(&mut self, index: Index, term: Term, ticket: Ticket) {
        self.proposals.insert(index, (term, ticket));
    }

    /// Handles a message from another replica.
    pub(super) fn receive(&mut self, now: Moment, from: ReplicaId, message: Message) {
        match message {
            Message::Install { term, snapshot, round } => {
                self.on_install(now, from, (term, round), snapshot);
            }
            Message::FetchSegment { segment, offset } => {
                self.raft.prolong_snapshot_transfer(now, from);
                // A question that is repeated before it is answered needs one answer.
                let is_repeated =
                    |io: &SegmentIo| matches!(io, SegmentIo::ReadChunk { to, .. } if *to == from);
                self.segment_io.retain(|io| !is_repeated(io));
                self.segment_io.push(SegmentIo::ReadChunk { to: from, segment, offset });
            }
            Message::SegmentChunk { segment, offset, total, bytes } => {
                self.on_chunk(from, segment, offset, total, &bytes);
            }
            message => self.raft.step(now, from, message),
        }
    }

    fn on_install(
        &mut self,
        now: Moment,
        from: ReplicaId,
        (term, round): (Term, u64),
        snapshot: Arc<Snapshot>,
    ) {
        let has_all_segments = snapshot.segments.is_subset(&self.stored_segments);
        let is_stale = term < self.raft.term();
        if is_stale || has_all_segments || !self.raft.needs_snapshot(&snapshot) {
            return self.raft.step(now, from, Message::Install { term, snapshot, round });
        }
        match &mut self.incoming {
            Some(incoming) => incoming.update(from, term, round, snapshot),
            None => self.incoming = Some(IncomingSnapshot::new(from, term, round, snapshot)),
        }
        // Counts only as a heartbeat until all segments are stored.
        self.raft.step(now, from, Message::bare_heartbeat(term, round));
    }

    fn on_chunk(
        &mut self,
        from: ReplicaId,
        segment: SegmentId,
        offset: u64,
        total: Option<u64>,
        bytes: &[u8],
    ) {
        let Some(incoming) = self.incoming.as_mut().filter(|incoming| incoming.from == from) else {
            return;
        };
        match incoming.take_chunk(segment, offset, total, bytes) {
            ChunkOutcome::Ignored | ChunkOutcome::Partial => {}
            ChunkOutcome::Complete(segment, bytes) => {
                self.segment_io.push(SegmentIo::Store { segment, bytes });
            }
            ChunkOutcome::Unavailable => self.incoming = None,
        }
    }

    /// Serves requested chunks, stores received segments, requests missing ones, and passes the
    /// snapshot to the protocol once all of its segments are stored.
    pub(super) fn transfer_segments<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
        outbox: &mut Outbox<S::Output>,
    ) -> Result<(), DiskError> {
        for io in std::mem::take(&mut self.segment_io) {
            match io {
                SegmentIo::ReadChunk { to, segment, offset } => {
                    let total = log.segment_length(self.id, segment)?;
                    let bytes = log.read_segment(self.id, segment, offset, CHUNK_BYTES)?;
                    let message = Message::SegmentChunk { segment, offset, total, bytes };
                    outbox.push_message(to, GroupMessage { group: self.id, message });
                }
                SegmentIo::Store { segment, bytes } => {
                    log.store_segment(self.id, segment, &bytes)?;
                    self.stored_segments.insert(segment);
                }
            }
        }
        let Some(mut incoming) = self.incoming.take() else {
            return Ok(());
        };
        if incoming.snapshot.segments.is_subset(&self.stored_segments) {
            let IncomingSnapshot { from, term, round, snapshot, .. } = incoming;
            self.raft.step(now, from, Message::Install { term, snapshot, round });
            return Ok(());
        }
        if let Some(message) =
            incoming.next_request(now, |segment| self.stored_segments.contains(&segment))
        {
            outbox.push_message(incoming.from, GroupMessage { group: self.id, message });
        }
        self.incoming = Some(incoming);
        Ok(())
    }

    /// Takes the effects of the protocol, with the data of the snapshots to be sent.
    pub(super) fn take_effects<D: Disk>(&mut self, log: &DiskLog<D>) -> Result<Effects, DiskError> {
        let mut effects = self.raft.take_effects();
        let mut loaded: Option<Arc<Snapshot>> = None;
        for (_, message) in &mut effects.messages {
            let Message::Install { snapshot, .. } = message else {
                continue;
            };
            if snapshot.data.loaded().is_some() {
                continue;
            }
            let shared = match loaded.take() {
                Some(shared) if shared.index == snapshot.index => shared,
                _ => Arc::new(log.load_snapshot(self.id, snapshot.index)?),
            };
            *snapshot = Arc::clone(&shared);
            loaded = Some(shared);
        }
        Ok(effects)
    }

    pub(super) fn apply_effects(&mut self, effects: Effects, outbox: &mut Outbox<S::Output>) {
        if let Some(snapshot) = &effects.install {
            self.install(snapshot);
        }
        let group = self.id;
        for (to, message) in effects.messages {
            outbox.push_message(to, GroupMessage { group, message });
        }
        for entry in effects.committed {
            self.apply(entry, outbox);
        }
        if let Some(is_leader) = effects.leadership {
            if !is_leader {
                self.fail_pending(outbox);
            }
            outbox.events.push(NodeEvent::Leadership { group, is_leader });
        }
    }

    fn install(&mut self, snapshot: &Snapshot) {
        let group = self.id;
        if snapshot.data.loaded().is_some_and(|data| self.machine.restore(data)) {
            emit!(Event::SnapshotInstalled, "group {group} at {}", snapshot.index);
        } else {
            self.mark_unreadable("snapshot", snapshot.index);
        }
        self.raft.unload_snapshot();
        self.applied = snapshot.index;
        self.applied_bytes = 0;
    }

    /// Records that an entry or snapshot cannot be decoded. Nothing is applied from there on.
    pub(super) fn mark_unreadable(&mut self, what: &'static str, index: Index) {
        emit!(Event::LogUnreadable; group = self.id, what = what, index = index);
        self.unreadable = Some((what, index));
    }

    /// Fails if an entry or snapshot could not be decoded.
    ///
    /// # Errors
    /// [`DiskError::Unreadable`].
    pub(super) fn check_readable(&self) -> Result<(), DiskError> {
        match self.unreadable {
            Some((what, index)) => Err(DiskError::Unreadable { group: self.id, what, index }),
            None => Ok(()),
        }
    }

    fn apply(&mut self, entry: Entry, outbox: &mut Outbox<S::Output>) {
        if self.unreadable.is_some() {
            return;
        }
        self.applied = entry.index;
        self.applied_bytes += entry.command_bytes();
        let proposal = self.proposals.remove(&entry.index);
        let EntryKind::Command(command) = &entry.kind else {
            if let Some((_, ticket)) = proposal {
                outbox.events.push(NodeEvent::Lost { ticket });
            }
            return;
        };
        let output = self.machine.apply(command);
        if S::is_unreadable(&output) {
            return self.mark_unreadable("entry", entry.index);
        }
        match proposal {
            Some((term, ticket)) if term == entry.term => {
                outbox.events.push(NodeEvent::Applied { ticket, output });
            }
            Some((_, ticket)) => outbox.events.push(NodeEvent::Lost { ticket }),
            None => {}
        }
    }

    fn fail_pending(&mut self, outbox: &mut Outbox<S::Output>) {
        let proposals = std::mem::take(&mut self.proposals);
        let reads = std::mem::take(&mut self.reads);
        let tickets = proposals.into_values().map(|(_, ticket)| ticket).chain(reads);
        outbox.events.extend(tickets.map(|ticket| NodeEvent::Lost { ticket }));
    }

    pub(super) fn answer_reads(&mut self, now: Moment, outbox: &mut Outbox<S::Output>) {
        if self.reads.is_empty() {
            return;
        }
        let group = self.id;
        match self.raft.read_readiness(now) {
            ReadReadiness::Ready => {
                let tickets = std::mem::take(&mut self.reads);
                let ready = |ticket| NodeEvent::ReadReady { ticket, group };
                outbox.events.extend(tickets.into_iter().map(ready));
            }
            ReadReadiness::NotYet => {}
            ReadReadiness::NotLeader => {
                let tickets = std::mem::take(&mut self.reads);
                let lost = |ticket| NodeEvent::Lost { ticket };
                outbox.events.extend(tickets.into_iter().map(lost));
            }
        }
    }

    /// Takes over the segments that the state machine has sealed.
    pub(super) fn collect_sealed(&mut self) {
        self.sealed.extend(self.machine.take_sealed());
    }

    /// Whether there are sealed segments to be stored, or enough was applied since the last snapshot.
    /// A snapshot larger than the log is not repeated before the log has grown to its size.
    pub(super) fn is_snapshot_due(&self, settings: &NodeSettings) -> bool {
        let applied_entries = self.applied.saturating_sub(self.raft.snapshot_index());
        let snapshot_bytes = self.raft.snapshot().data.len();
        !self.sealed.is_empty()
            || applied_entries >= settings.entries_per_snapshot
            || self.applied_bytes >= settings.command_bytes_per_snapshot.max(snapshot_bytes)
    }

    /// Stores newly sealed segments, writes a snapshot, and returns the write that puts it into
    /// effect.
    pub(super) fn compact<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
        outbox: &mut Outbox<S::Output>,
    ) -> Result<Option<Write>, DiskError> {
        for segment in std::mem::take(&mut self.sealed) {
            self.store_sealed(log, segment)?;
        }
        self.raft.replicate_before_compaction(now);
        let effects = self.take_effects(log)?;
        self.apply_effects(effects, outbox);
        let segments = self.machine.segments();
        let data = self.machine.snapshot();
        let Some(snapshot) = self.raft.compact(self.applied, segments, data) else {
            return Ok(None);
        };
        self.applied_bytes = 0;
        log.store_snapshot(self.id, &snapshot)?;
        self.raft.unload_snapshot();
        emit!(Event::LogCompacted, "group {} up to {}", self.id, snapshot.index);
        Ok(Some(Write::Snapshot { group: self.id, index: snapshot.index, clears_log: false }))
    }

    fn store_sealed<D: Disk>(
        &mut self,
        log: &mut DiskLog<D>,
        sealed: SealedSegment,
    ) -> Result<(), DiskError> {
        let length = sealed.pieces.iter().map(SegmentPiece::length).sum();
        let mut bytes = Vec::with_capacity(length);
        for piece in sealed.pieces {
            match piece {
                SegmentPiece::Bytes(piece) => bytes.extend(piece),
                SegmentPiece::Stored { segment, offset, length } => {
                    bytes.extend(log.read_segment(self.id, segment, offset, length)?);
                }
            }
        }
        log.store_segment(self.id, sealed.id, &bytes)?;
        self.stored_segments.insert(sealed.id);
        Ok(())
    }

    /// Removes unreferenced segment and snapshot files. The snapshot `previous` is kept: it may
    /// still be in transfer to a follower, and a restart needs it if the newest snapshot did not
    /// take effect before a crash.
    pub(super) fn remove_unused_files<D: Disk>(
        &mut self,
        log: &mut DiskLog<D>,
        previous: &Snapshot,
    ) -> Result<(), DiskError> {
        let mut used = self.machine.segments();
        used.extend(&previous.segments);
        if let Some(incoming) = &self.incoming {
            used.extend(&incoming.snapshot.segments);
        }
        let unused: Vec<SegmentId> = self.stored_segments.difference(&used).copied().collect();
        for segment in unused {
            log.remove_segment(self.id, segment)?;
            self.stored_segments.remove(&segment);
        }
        log.remove_snapshots_except(self.id, &[self.raft.snapshot_index(), previous.index])
    }
}
