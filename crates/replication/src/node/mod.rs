//! All groups of one machine, with group commit and their state machines.
//!
//! A [`Node`] performs I/O only through the [`DiskLog`] passed to it. The driver feeds it
//! messages, proposals and ticks, and calls [`Node::flush`], which makes all resulting writes
//! durable with one sync before it returns the messages and results that depend on them.

mod group;
mod outbox;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use calicohoist_types::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::message::{
    EntryKind, GroupId, GroupMessage, Membership, Message, ReplicaId, SegmentId, Snapshot,
};
use crate::raft::{Effects, ProposeError, Raft, RaftSettings, ReadReadiness};
use crate::storage::{Disk, DiskError, DiskLog, Recovered, Write};
use group::Group;
use outbox::Outbox;

/// Replicated state machine of a group. Applying a command must be deterministic.
pub trait StateMachine {
    /// Result of a command.
    type Output;

    /// Creates a state machine in its initial state.
    fn new(group: GroupId) -> Self;

    /// Applies one committed command.
    fn apply(&mut self, command: &[u8]) -> Self::Output;

    /// Whether an output reports that the command could not be decoded. The replica then stops,
    /// since skipping the command would make its state diverge from the other replicas.
    fn is_unreadable(_output: &Self::Output) -> bool {
        false
    }

    /// Encodes the state, except for the data stored in segments.
    fn snapshot(&self) -> Vec<u8>;

    /// Segments referenced by the state.
    fn segments(&self) -> BTreeSet<SegmentId> {
        BTreeSet::new()
    }

    /// Returns the segments sealed since the last call. They are stored before a snapshot
    /// refers to them.
    fn take_sealed(&mut self) -> Vec<SealedSegment> {
        Vec::new()
    }

    /// Replaces the state. Returns `false` if `data` cannot be decoded.
    fn restore(&mut self, data: &[u8]) -> bool;
}

/// A sealed segment to be written to disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSegment {
    /// Segment id.
    pub id: SegmentId,
    /// Pieces to concatenate, in order.
    pub pieces: Vec<SegmentPiece>,
}

/// Part of a sealed segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentPiece {
    /// Literal bytes.
    Bytes(Vec<u8>),
    /// Bytes copied from an earlier segment.
    Stored {
        /// The earlier segment.
        segment: SegmentId,
        /// Offset in the earlier segment.
        offset: u64,
        /// Number of bytes.
        length: usize,
    },
}

impl SegmentPiece {
    /// Returns the number of bytes.
    pub(crate) fn length(&self) -> usize {
        match self {
            Self::Bytes(bytes) => bytes.len(),
            Self::Stored { length, .. } => *length,
        }
    }
}

/// Identifies a proposal or read of the driver.
pub type Ticket = u64;

/// Result of a flush that the driver must handle.
#[derive(Debug)]
pub enum NodeEvent<O> {
    /// Messages to send in one frame.
    Send {
        /// Receiver.
        to: ReplicaId,
        /// Messages of all groups.
        messages: Vec<GroupMessage>,
    },
    /// A proposal was committed and applied.
    Applied {
        /// The proposal.
        ticket: Ticket,
        /// Result of the command.
        output: O,
    },
    /// The group's state can now be read for this ticket.
    ReadReady {
        /// The read.
        ticket: Ticket,
        /// Its group.
        group: GroupId,
    },
    /// The outcome of a proposal is unknown, or a read was not served.
    Lost {
        /// The proposal or read.
        ticket: Ticket,
    },
    /// This replica gained or lost the leadership of a group.
    Leadership {
        /// The group.
        group: GroupId,
        /// Whether it was gained.
        is_leader: bool,
    },
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Protocol settings of the groups.
    pub raft: RaftSettings,
    /// Number of applied entries after which a group writes a snapshot.
    pub entries_per_snapshot: u64,
    /// Size of the applied commands, in bytes, after which a group writes a snapshot, unless the last
    /// snapshot is larger. Bounds the log in memory.
    pub command_bytes_per_snapshot: usize,
    /// Minimum size of the log file, in bytes, before it is rewritten.
    pub log_rewrite_bytes: usize,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Additional machines to send join requests to.
    pub contacts: Vec<u32>,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            raft: RaftSettings::default(),
            entries_per_snapshot: 20_000,
            command_bytes_per_snapshot: 64 << 20,
            log_rewrite_bytes: 64 << 20,
            seed: 0,
            contacts: Vec::new(),
        }
    }
}

/// All groups of one machine.
pub struct Node<S: StateMachine> {
    id: ReplicaId,
    settings: NodeSettings,
    machines: Vec<u32>,
    groups: BTreeMap<GroupId, Group<S>>,
    next_join: Moment,
    /// Machines outside the groups to which leaders are announced.
    known_machines: BTreeSet<u32>,
    /// Size of the log file after its last rewrite, in bytes.
    bytes_after_rewrite: usize,
}

impl<S: StateMachine> Node<S> {
    /// Creates a node from recovered state. Groups without stored state are bootstrapped with the
    /// replicas on `machines` as voters, unless the data folder belongs to a later disk.
    pub fn new(
        id: ReplicaId,
        settings: NodeSettings,
        machines: &[u32],
        groups: &[GroupId],
        mut recovered: Recovered,
        now: Moment,
    ) -> Self {
        let mut seeds = ChaCha8Rng::seed_from_u64(settings.seed ^ u64::from(id.machine) << 32);
        let mut node = Self {
            id,
            machines: machines.to_vec(),
            groups: BTreeMap::new(),
            next_join: now,
            known_machines: BTreeSet::new(),
            bytes_after_rewrite: 0,
            settings,
        };
        for group in groups {
            let seed = seeds.random();
            let recovered_group = recovered.groups.remove(group);
            let hard_state =
                recovered_group.as_ref().map(|found| found.hard_state).unwrap_or_default();
            let (entries, snapshot) =
                recovered_group.map(|found| (found.entries, found.snapshot)).unzip();
            let entries = entries.unwrap_or_default();
            let snapshot = snapshot.filter(|snapshot| snapshot.index > 0);
            let snapshot = snapshot.unwrap_or_else(|| node.initial_snapshot());
            let group_segments = recovered.segments.iter().filter(|(owner, _)| owner == group);
            let stored_segments = group_segments.map(|(_, segment)| *segment).collect();
            let raft_settings = node.settings.raft;
            let mut machine = S::new(*group);
            let is_restored = restore(&mut machine, &snapshot);
            let mut raft = Raft::new(id, raft_settings, seed, hard_state, snapshot, entries, now);
            raft.unload_snapshot();
            let mut state = Group::new(*group, raft, machine, stored_segments);
            if !is_restored {
                state.mark_unreadable("snapshot", state.raft.snapshot_index());
            }
            node.groups.insert(*group, state);
        }
        node
    }

    /// Returns the state before the first entry. Only disks of the bootstrap belong to the
    /// initial membership. A later disk must join, and learns the membership from the log.
    fn initial_snapshot(&self) -> Arc<Snapshot> {
        let initial_replica = |machine: &u32| ReplicaId { machine: *machine, disk: 0 };
        let initial_machines: &[u32] = if self.id.disk == 0 { &self.machines } else { &[] };
        Arc::new(Snapshot {
            index: 0,
            term: 0,
            membership: Membership {
                voters: initial_machines.iter().map(initial_replica).collect(),
                ..Membership::default()
            },
            segments: BTreeSet::new(),
            data: Vec::new().into(),
        })
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Groups hosted by this node.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.groups.keys().copied()
    }

    /// Protocol state of a group.
    pub fn raft(&self, group: GroupId) -> Option<&Raft> {
        self.groups.get(&group).map(|state| &state.raft)
    }

    /// State machine of a group, for reads permitted by [`NodeEvent::ReadReady`].
    pub fn machine(&self, group: GroupId) -> Option<&S> {
        self.groups.get(&group).map(|state| &state.machine)
    }

    /// Machine of the known leader of `group`.
    pub fn leader_machine(&self, group: GroupId) -> Option<u32> {
        let leader = self.groups.get(&group)?.raft.leader()?;
        Some(leader.machine)
    }

    /// Whether this replica leads `group` with a valid lease and can serve reads.
    pub fn may_read(&self, now: Moment, group: GroupId) -> bool {
        let readiness = self.groups.get(&group).map(|state| state.raft.read_readiness(now));
        readiness == Some(ReadReadiness::Ready)
    }

    /// Advances time in all groups.
    pub fn tick(&mut self, now: Moment) {
        for state in self.groups.values_mut() {
            state.raft.tick(now);
        }
        if now >= self.next_join {
            self.next_join = now + self.settings.raft.election_min;
            self.ask_to_join(now);
            self.announce_leader(now);
        }
    }

    /// Sets the machines, besides the contacts, to which leaders are announced.
    pub fn set_known_machines(&mut self, machines: BTreeSet<u32>) {
        self.known_machines = machines;
    }

    fn announce_leader(&mut self, now: Moment) {
        let mut known = self.known_machines.clone();
        known.extend(&self.settings.contacts);
        for state in self.groups.values_mut() {
            state.raft.announce_leader(now, &known);
        }
    }

    fn ask_to_join(&mut self, now: Moment) {
        let known = self.machines.iter().chain(&self.settings.contacts);
        let others = known.filter(|machine| **machine != self.id.machine);
        let others: Vec<ReplicaId> =
            others.map(|machine| ReplicaId { machine: *machine, disk: 0 }).collect();
        for state in self.groups.values_mut() {
            state.raft.ask_to_join(now, &others);
        }
    }

    /// Handles the messages of one frame from another replica.
    pub fn receive(&mut self, now: Moment, from: ReplicaId, messages: Vec<GroupMessage>) {
        for GroupMessage { group, message } in messages {
            if let Some(state) = self.groups.get_mut(&group) {
                state.receive(now, from, message);
            }
        }
    }

    /// Proposes a command to a group.
    ///
    /// # Errors
    /// When the proposal is rejected, in which case the command is never applied.
    pub fn propose(
        &mut self,
        group: GroupId,
        command: Vec<u8>,
        ticket: Ticket,
    ) -> Result<(), ProposeError> {
        let Some(state) = self.groups.get_mut(&group) else {
            return Err(ProposeError::NotLeader(None));
        };
        let (term, index) = state.raft.propose(EntryKind::Command(command.into()))?;
        state.track_proposal(index, term, ticket);
        Ok(())
    }

    /// Requests a read of a group's state. A later flush returns [`NodeEvent::ReadReady`] or
    /// [`NodeEvent::Lost`].
    ///
    /// # Errors
    /// When this replica is not the leader.
    pub fn read(&mut self, group: GroupId, ticket: Ticket) -> Result<(), ProposeError> {
        let Some(state) = self.groups.get_mut(&group) else {
            return Err(ProposeError::NotLeader(None));
        };
        if !state.raft.is_leader() {
            return Err(ProposeError::NotLeader(state.raft.leader()));
        }
        state.reads.insert(ticket);
        Ok(())
    }

    /// Transfers the leadership of a group to the voter on `machine`, if this replica leads and
    /// there is such a voter.
    pub fn transfer_leadership_to(&mut self, now: Moment, group: GroupId, machine: u32) {
        if let Some(state) = self.groups.get_mut(&group) {
            state.raft.transfer_leadership_to(now, machine);
        }
    }

    /// Transfers the leadership of every group led by this replica.
    pub fn transfer_leadership(&mut self, now: Moment) {
        for state in self.groups.values_mut() {
            state.raft.transfer_leadership(now);
        }
    }

    /// Sets the machines whose replicas all groups must move to other machines.
    pub fn set_evicted(&mut self, machines: &BTreeSet<u32>) {
        for state in self.groups.values_mut() {
            state.raft.set_evicted(machines.clone());
        }
    }

    /// Whether this replica leads any group.
    pub fn leads_any(&self) -> bool {
        self.groups.values().any(|state| state.raft.is_leader())
    }

    /// Makes all pending writes durable with one sync, then applies committed entries.
    ///
    /// # Errors
    /// When the disk fails; the replica must then stop.
    pub fn flush<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
    ) -> Result<Vec<NodeEvent<S::Output>>, DiskError> {
        let mut events = Vec::new();
        let remaining = self.flush_with(now, log, |to, messages| {
            events.push(NodeEvent::Send { to, messages });
        })?;
        events.extend(remaining);
        Ok(events)
    }

    /// Like [`Node::flush`], but passes the append messages of a leader to `send_early` before the
    /// local sync, so that all disks sync in parallel (Ongaro 2014, section 10.2.1). The leader
    /// counts itself towards the quorum only after its own sync.
    ///
    /// # Errors
    /// When the disk fails; the replica must then stop.
    pub fn flush_with<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
        mut send_early: impl FnMut(ReplicaId, Vec<GroupMessage>),
    ) -> Result<Vec<NodeEvent<S::Output>>, DiskError> {
        for state in self.groups.values() {
            state.check_readable()?;
        }
        let mut early: Outbox<()> = Outbox::default();
        let mut outbox = Outbox::default();
        let mut writes = Vec::new();
        for (group, state) in &mut self.groups {
            state.transfer_segments(now, log, &mut outbox)?;
            state.raft.replicate(now);
            let mut effects = state.take_effects(log)?;
            store_effects(*group, &effects, log, &mut writes)?;
            split_early_messages(*group, &mut effects, &mut early);
            state.apply_effects(effects, &mut outbox);
        }
        for (to, messages) in early.messages {
            send_early(to, messages);
        }
        if !writes.is_empty() {
            log.commit(&writes)?;
        }
        // A snapshot may be taken below, without a need for the entries.
        drop(writes);
        for state in self.groups.values_mut() {
            let last = state.raft.last_index();
            state.raft.mark_persisted(last);
            let effects = state.take_effects(log)?;
            state.apply_effects(effects, &mut outbox);
            state.check_readable()?;
            state.answer_reads(now, &mut outbox);
        }
        self.compact(now, log, &mut outbox)?;
        Ok(outbox.into_events())
    }

    fn compact<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
        outbox: &mut Outbox<S::Output>,
    ) -> Result<(), DiskError> {
        let mut writes = Vec::new();
        let mut replaced = Vec::new();
        for (group, state) in &mut self.groups {
            state.collect_sealed();
            if !state.is_snapshot_due(&self.settings) {
                continue;
            }
            let previous = state.raft.snapshot().clone();
            if let Some(write) = state.compact(now, log, outbox)? {
                writes.push(write);
                replaced.push((*group, previous));
            }
        }
        // Entries not covered by a snapshot remain in a rewritten file. The file must double in
        // size before the next rewrite, or every flush could rewrite it.
        let limit = self.settings.log_rewrite_bytes.max(self.bytes_after_rewrite * 2);
        if log.bytes() > limit {
            log.rewrite(&self.current_state_writes())?;
            self.bytes_after_rewrite = log.bytes();
        } else if !writes.is_empty() {
            log.commit(&writes)?;
        }
        for (group, previous) in replaced {
            if let Some(state) = self.groups.get_mut(&group) {
                state.remove_unused_files(log, &previous)?;
            }
        }
        Ok(())
    }

    /// Returns the writes that reproduce the current state in an empty log.
    fn current_state_writes(&self) -> Vec<Write> {
        let mut writes = Vec::new();
        for (group, state) in &self.groups {
            writes.push(Write::HardState(*group, state.raft.hard_state()));
            let snapshot = state.raft.snapshot();
            if snapshot.index > 0 {
                writes.push(Write::Snapshot {
                    group: *group,
                    index: snapshot.index,
                    clears_log: false,
                });
            }
            writes.push(Write::Append(*group, state.raft.entries().to_vec()));
        }
        writes
    }
}

/// Restores a loaded snapshot; `false` if it cannot be decoded. An empty one is the initial state.
fn restore(machine: &mut impl StateMachine, snapshot: &Snapshot) -> bool {
    snapshot.data.is_empty() || snapshot.data.loaded().is_some_and(|data| machine.restore(data))
}

/// Moves the messages that do not depend on pending local writes to `early`.
fn split_early_messages<O>(group: GroupId, effects: &mut Effects, early: &mut Outbox<O>) {
    let has_dependent_writes = effects.hard_state.is_some()
        || effects.truncate_from.is_some()
        || effects.install.is_some();
    if has_dependent_writes {
        return;
    }
    let messages = std::mem::take(&mut effects.messages);
    for (to, message) in messages {
        if matches!(message, Message::Append { .. }) {
            early.push_message(to, GroupMessage { group, message });
        } else {
            effects.messages.push((to, message));
        }
    }
}

fn store_effects<D: Disk>(
    group: GroupId,
    effects: &Effects,
    log: &mut DiskLog<D>,
    writes: &mut Vec<Write>,
) -> Result<(), DiskError> {
    if let Some(hard_state) = effects.hard_state {
        writes.push(Write::HardState(group, hard_state));
    }
    if let Some(snapshot) = &effects.install {
        log.store_snapshot(group, snapshot)?;
        writes.push(Write::Snapshot { group, index: snapshot.index, clears_log: true });
    }
    if let Some(from) = effects.truncate_from {
        writes.push(Write::Truncate(group, from));
    }
    if !effects.append.is_empty() {
        writes.push(Write::Append(group, effects.append.clone()));
    }
    Ok(())
}

/// Whether a message is addressed to a machine regardless of its disk id. This holds for the
/// messages that a replica exchanges with the group before it joins.
pub fn is_addressed_to_machine(message: &GroupMessage) -> bool {
    matches!(message.message, Message::Join | Message::LeaderHint { .. })
}
