//! One group of a machine: its protocol state, its state machine and who waits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;

use super::outbox::Outbox;
use super::transfer::{CHUNK_BYTES, ChunkOutcome, Incoming};
use super::{NodeEvent, SealedSegment, SegmentPiece, StateMachine, Ticket};
use crate::message::{
    Entry, EntryKind, GroupId, GroupMessage, Index, Message, ReplicaId, SegmentId, Snapshot, Term,
};
use crate::raft::{Effects, Raft, ReadReadiness};
use crate::storage::{Disk, DiskError, DiskLog, Write};

/// A chunk that is asked for by another replica, or came from one.
enum Parcel {
    Wanted { by: ReplicaId, segment: SegmentId, offset: u64 },
    Arrived { segment: SegmentId, bytes: Vec<u8> },
}

pub(super) struct Group<S> {
    id: GroupId,
    pub(super) raft: Raft,
    pub(super) machine: S,
    applied: Index,
    proposals: BTreeMap<Index, (Term, Ticket)>,
    pub(super) reads: BTreeSet<Ticket>,
    /// Segments on this machine's disk.
    held: BTreeSet<SegmentId>,
    /// A snapshot that waits for segments.
    incoming: Option<Incoming>,
    /// What has to go through the disk at the next flush.
    parcels: Vec<Parcel>,
    /// What of the log could not be read, and its index. Nothing is applied from there on.
    unreadable: Option<(&'static str, Index)>,
}

impl<S: StateMachine> Group<S> {
    pub(super) fn new(id: GroupId, raft: Raft, machine: S, held: BTreeSet<SegmentId>) -> Self {
        Self {
            id,
            applied: raft.snapshot_index(),
            raft,
            machine,
            proposals: BTreeMap::new(),
            reads: BTreeSet::new(),
            held,
            incoming: None,
            parcels: Vec::new(),
            unreadable: None,
        }
    }

    pub(super) fn expect(&mut self, index: Index, term: Term, ticket: Ticket) {
        self.proposals.insert(index, (term, ticket));
    }

    /// Takes a message from another replica.
    pub(super) fn receive(&mut self, now: Moment, from: ReplicaId, message: Message) {
        match message {
            Message::Install { term, snapshot, round } => {
                self.on_install(now, from, (term, round), snapshot);
            }
            Message::FetchSegment { segment, offset } => {
                self.raft.note_installing(now, from);
                self.parcels.push(Parcel::Wanted { by: from, segment, offset });
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
        let is_whole = snapshot.segments.is_subset(&self.held);
        let is_stale = term < self.raft.term();
        if is_stale || is_whole || !self.raft.needs_snapshot(&snapshot) {
            return self.raft.step(now, from, Message::Install { term, snapshot, round });
        }
        match &mut self.incoming {
            Some(incoming) => incoming.renew(from, term, round, snapshot),
            None => self.incoming = Some(Incoming::new(from, term, round, snapshot)),
        }
        // Until the segments are here it is no more than a heartbeat.
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
            ChunkOutcome::Whole(segment, bytes) => {
                self.parcels.push(Parcel::Arrived { segment, bytes });
            }
            ChunkOutcome::Gone => self.incoming = None,
        }
    }

    /// Moves segments from and to the disk, asks for what is missing, and hands a
    /// snapshot on once all of its segments are held.
    pub(super) fn move_segments<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
        outbox: &mut Outbox<S::Output>,
    ) -> Result<(), DiskError> {
        for parcel in std::mem::take(&mut self.parcels) {
            match parcel {
                Parcel::Wanted { by, segment, offset } => {
                    let total = log.segment_length(self.id, segment)?;
                    let bytes = log.read_segment(self.id, segment, offset, CHUNK_BYTES)?;
                    let message = Message::SegmentChunk { segment, offset, total, bytes };
                    outbox.message(by, GroupMessage { group: self.id, message });
                }
                Parcel::Arrived { segment, bytes } => {
                    log.store_segment(self.id, segment, &bytes)?;
                    self.held.insert(segment);
                }
            }
        }
        let Some(mut incoming) = self.incoming.take() else {
            return Ok(());
        };
        if incoming.snapshot.segments.is_subset(&self.held) {
            let Incoming { from, term, round, snapshot, .. } = incoming;
            self.raft.step(now, from, Message::Install { term, snapshot, round });
            return Ok(());
        }
        if let Some(message) = incoming.next_request(now, |known| self.held.contains(&known)) {
            outbox.message(incoming.from, GroupMessage { group: self.id, message });
        }
        self.incoming = Some(incoming);
        Ok(())
    }

    pub(super) fn take(&mut self, effects: Effects, outbox: &mut Outbox<S::Output>) {
        if let Some(snapshot) = &effects.install {
            self.install(snapshot);
        }
        let group = self.id;
        for (to, message) in effects.messages {
            outbox.message(to, GroupMessage { group, message });
        }
        for entry in effects.committed {
            self.apply(entry, outbox);
        }
        if let Some(is_leader) = effects.leadership {
            if !is_leader {
                self.lose_pending(outbox);
            }
            outbox.events.push(NodeEvent::Leadership { group, is_leader });
        }
    }

    fn install(&mut self, snapshot: &Snapshot) {
        let group = self.id;
        if self.machine.restore(&snapshot.data) {
            emit!(Event::SnapshotInstalled, "group {group} at {}", snapshot.index);
        } else {
            self.stop_at("snapshot", snapshot.index);
        }
        self.applied = snapshot.index;
    }

    /// Notes that something in the log cannot be read. Nothing after it is applied.
    pub(super) fn stop_at(&mut self, what: &'static str, index: Index) {
        emit!(Event::LogUnreadable; group = self.id, what = what, index = index);
        self.unreadable = Some((what, index));
    }

    /// Whether everything was read so far.
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
        let waiting = self.proposals.remove(&entry.index);
        let EntryKind::Command(command) = &entry.kind else {
            if let Some((_, ticket)) = waiting {
                outbox.events.push(NodeEvent::Lost { ticket });
            }
            return;
        };
        let output = self.machine.apply(command);
        if S::is_unreadable(&output) {
            return self.stop_at("entry", entry.index);
        }
        match waiting {
            Some((term, ticket)) if term == entry.term => {
                outbox.events.push(NodeEvent::Applied { ticket, output });
            }
            Some((_, ticket)) => outbox.events.push(NodeEvent::Lost { ticket }),
            None => {}
        }
    }

    fn lose_pending(&mut self, outbox: &mut Outbox<S::Output>) {
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

    /// Stores what the state has sealed, and a snapshot after that or when many entries
    /// have gathered. Returns the write that makes the snapshot count.
    pub(super) fn compact<D: Disk>(
        &mut self,
        log: &mut DiskLog<D>,
        entries_per_snapshot: u64,
    ) -> Result<Option<Write>, DiskError> {
        let sealed = self.machine.take_sealed();
        let has_sealed = !sealed.is_empty();
        for segment in sealed {
            self.store_sealed(log, segment)?;
        }
        let since = self.applied.saturating_sub(self.raft.snapshot_index());
        if !has_sealed && since < entries_per_snapshot {
            return Ok(None);
        }
        let segments = self.machine.segments();
        let data = self.machine.snapshot();
        let Some(snapshot) = self.raft.compact(self.applied, segments, data) else {
            return Ok(None);
        };
        log.store_snapshot(self.id, &snapshot)?;
        emit!(Event::LogCompacted, "group {} up to {}", self.id, snapshot.index);
        Ok(Some(Write::Snapshot { group: self.id, index: snapshot.index, clears_log: false }))
    }

    fn store_sealed<D: Disk>(
        &mut self,
        log: &mut DiskLog<D>,
        sealed: SealedSegment,
    ) -> Result<(), DiskError> {
        let mut bytes = Vec::new();
        for piece in sealed.pieces {
            match piece {
                SegmentPiece::Bytes(piece) => bytes.extend(piece),
                SegmentPiece::Stored { segment, offset, length } => {
                    bytes.extend(log.read_segment(self.id, segment, offset, length)?);
                }
            }
        }
        log.store_segment(self.id, sealed.id, &bytes)?;
        self.held.insert(sealed.id);
        Ok(())
    }

    /// Drops the files that neither the state nor a snapshot under way refers to. The
    /// snapshot `before` may still be on its way to a follower, and is what a restart
    /// finds when power fails before the newest one counts.
    pub(super) fn drop_unused<D: Disk>(
        &mut self,
        log: &mut DiskLog<D>,
        before: &Snapshot,
    ) -> Result<(), DiskError> {
        let mut used = self.machine.segments();
        used.extend(&before.segments);
        if let Some(incoming) = &self.incoming {
            used.extend(&incoming.snapshot.segments);
        }
        let unused: Vec<SegmentId> = self.held.difference(&used).copied().collect();
        for segment in unused {
            log.remove_segment(self.id, segment)?;
            self.held.remove(&segment);
        }
        log.remove_snapshots_but(self.id, &[self.raft.snapshot_index(), before.index])
    }
}
