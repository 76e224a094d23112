//! All groups of one machine, with group commit and their state machines.
//!
//! A [`Node`] performs no I/O but through the [`DiskLog`] it is handed. Its
//! driver feeds it messages, proposals and ticks, and calls [`Node::flush`],
//! which makes all their writes durable with one sync and only then returns the
//! messages and answers that depend on them.

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

/// What a group replicates. Applying must depend on nothing but state and command.
pub trait StateMachine {
    /// Result of a command.
    type Output;

    /// A machine in its first state.
    fn new(group: GroupId) -> Self;

    /// Applies one committed command.
    fn apply(&mut self, command: &[u8]) -> Self::Output;

    /// Whether an output says that the command could not be read. The replica stops then: had it gone
    /// on without the command, its state would differ from the others' for good.
    fn is_unreadable(_output: &Self::Output) -> bool {
        false
    }

    /// The whole state, encoded, without what its segments hold.
    fn snapshot(&self) -> Vec<u8>;

    /// The segments that the state refers to.
    fn segments(&self) -> BTreeSet<SegmentId> {
        BTreeSet::new()
    }

    /// The segments that commands have sealed since the last call, to be stored now.
    /// Only then does a snapshot refer to them.
    fn take_sealed(&mut self) -> Vec<SealedSegment> {
        Vec::new()
    }

    /// Replaces the state; `false` when `data` cannot be read.
    fn restore(&mut self, data: &[u8]) -> bool;
}

/// A segment that is to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSegment {
    /// Its number.
    pub id: SegmentId,
    /// What it is made of, in order.
    pub pieces: Vec<SegmentPiece>,
}

/// Part of a segment that is to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentPiece {
    /// These bytes.
    Bytes(Vec<u8>),
    /// Bytes of an earlier segment.
    Stored {
        /// The earlier segment.
        segment: SegmentId,
        /// Where they begin there.
        offset: u64,
        /// How many they are.
        length: usize,
    },
}

/// Names a proposal or read towards the driver.
pub type Ticket = u64;

/// What the driver must do after a flush.
#[derive(Debug)]
pub enum NodeEvent<O> {
    /// Send these messages in one frame.
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
    /// The group's state may be read for this ticket now.
    ReadReady {
        /// The read.
        ticket: Ticket,
        /// Its group.
        group: GroupId,
    },
    /// A proposal may or may not be applied in the end; a read was not answered.
    Lost {
        /// The proposal or read.
        ticket: Ticket,
    },
    /// This replica won or lost the leadership of a group.
    Leadership {
        /// The group.
        group: GroupId,
        /// Won.
        is_leader: bool,
    },
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Timing of its groups.
    pub raft: RaftSettings,
    /// Entries after which a group writes a snapshot.
    pub entries_per_snapshot: u64,
    /// Size of the log file, in bytes, from which it is rewritten.
    pub log_rewrite_bytes: usize,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Machines to ask for membership, beside those that are known.
    pub contacts: Vec<u32>,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            raft: RaftSettings::default(),
            entries_per_snapshot: 20_000,
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
    /// Machines that may belong to no group and know of none.
    known_machines: BTreeSet<u32>,
    /// Size of the log file after it was rewritten last.
    rewritten_bytes: usize,
}

impl<S: StateMachine> Node<S> {
    /// Starts from what was recovered. A folder without groups gets `groups` with
    /// the first membership of `machines`, if its identity is that of a first start.
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
            rewritten_bytes: 0,
            settings,
        };
        for group in groups {
            let seed = seeds.random();
            let found = recovered.groups.remove(group);
            let hard_state = found.as_ref().map(|found| found.hard_state).unwrap_or_default();
            let (entries, stored) = found.map(|found| (found.entries, found.snapshot)).unzip();
            let entries = entries.unwrap_or_default();
            let stored = stored.filter(|stored| stored.index > 0);
            let snapshot = stored.unwrap_or_else(|| node.first_snapshot());
            let of_group = recovered.segments.iter().filter(|(owner, _)| owner == group);
            let held = of_group.map(|(_, segment)| *segment).collect();
            let raft_settings = node.settings.raft;
            let mut machine = S::new(*group);
            let is_read = snapshot.data.is_empty() || machine.restore(&snapshot.data);
            let raft = Raft::new(id, raft_settings, seed, hard_state, snapshot, entries, now);
            let mut state = Group::new(*group, raft, machine, held);
            if !is_read {
                state.stop_at("snapshot", state.raft.snapshot_index());
            }
            node.groups.insert(*group, state);
        }
        node
    }

    /// The state before the first entry. Only disks of the first start know and belong
    /// to the first membership; a later disk has to join, and learns it from the log.
    fn first_snapshot(&self) -> Arc<Snapshot> {
        let first_disk = |machine: &u32| ReplicaId { machine: *machine, disk: 0 };
        let founders: &[u32] = if self.id.disk == 0 { &self.machines } else { &[] };
        Arc::new(Snapshot {
            index: 0,
            term: 0,
            membership: Membership {
                voters: founders.iter().map(first_disk).collect(),
                ..Membership::default()
            },
            segments: BTreeSet::new(),
            data: Vec::new(),
        })
    }

    /// This replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The groups hosted here.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.groups.keys().copied()
    }

    /// The protocol state of a group.
    pub fn raft(&self, group: GroupId) -> Option<&Raft> {
        self.groups.get(&group).map(|state| &state.raft)
    }

    /// The state machine of a group, for reads that [`NodeEvent::ReadReady`] allowed.
    pub fn machine(&self, group: GroupId) -> Option<&S> {
        self.groups.get(&group).map(|state| &state.machine)
    }

    /// The machine that is believed to lead `group`.
    pub fn leader_machine(&self, group: GroupId) -> Option<u32> {
        let leader = self.groups.get(&group)?.raft.leader()?;
        Some(leader.machine)
    }

    /// Whether this replica leads `group` under a lease and may answer reads.
    pub fn may_read(&self, now: Moment, group: GroupId) -> bool {
        let readiness = self.groups.get(&group).map(|state| state.raft.read_readiness(now));
        readiness == Some(ReadReadiness::Ready)
    }

    /// Lets time pass in every group.
    pub fn tick(&mut self, now: Moment) {
        for state in self.groups.values_mut() {
            state.raft.tick(now);
        }
        if now >= self.next_join {
            self.next_join = now + self.settings.raft.election_min;
            self.ask_to_join(now);
            self.call_outsiders(now);
        }
    }

    /// Names machines that a leader of any group may have to be shown to, beside the contacts.
    pub fn set_known_machines(&mut self, machines: BTreeSet<u32>) {
        self.known_machines = machines;
    }

    fn call_outsiders(&mut self, now: Moment) {
        let mut known = self.known_machines.clone();
        known.extend(&self.settings.contacts);
        for state in self.groups.values_mut() {
            state.raft.call_outsiders(now, &known);
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

    /// Takes one frame from another replica.
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
    /// When this replica does not lead; the command will certainly not be applied.
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
        state.expect(index, term, ticket);
        Ok(())
    }

    /// Asks to read a group's state; answered by an event of a later flush.
    ///
    /// # Errors
    /// When this replica does not lead.
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

    /// Hands the leadership of a group to the voter on this machine, if this replica leads and
    /// there is one.
    pub fn transfer_leadership_to(&mut self, now: Moment, group: GroupId, machine: u32) {
        if let Some(state) = self.groups.get_mut(&group) {
            state.raft.transfer_leadership_to(now, machine);
        }
    }

    /// Gives the leadership of every group to another replica.
    pub fn transfer_leadership(&mut self, now: Moment) {
        for state in self.groups.values_mut() {
            state.raft.transfer_leadership(now);
        }
    }

    /// Names the machines whose replicas every group is to move elsewhere.
    pub fn set_evicted(&mut self, machines: &BTreeSet<u32>) {
        for state in self.groups.values_mut() {
            state.raft.set_evicted(machines.clone());
        }
    }

    /// Whether this replica leads any group.
    pub fn leads_any(&self) -> bool {
        self.groups.values().any(|state| state.raft.is_leader())
    }

    /// Makes everything durable with one sync, then applies what is committed.
    ///
    /// # Errors
    /// When the disk fails: this replica must stop taking part.
    pub fn flush<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
    ) -> Result<Vec<NodeEvent<S::Output>>, DiskError> {
        let mut events = Vec::new();
        let later = self.flush_with(now, log, |to, messages| {
            events.push(NodeEvent::Send { to, messages });
        })?;
        events.extend(later);
        Ok(events)
    }

    /// Like [`Node::flush`], but hands out what a leader may send to its followers
    /// before its own sync, so that all disks sync at the same time (Ongaro 2014,
    /// section 10.2.1). The leader counts itself only after its own sync.
    ///
    /// # Errors
    /// When the disk fails: this replica must stop taking part.
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
            state.move_segments(now, log, &mut outbox)?;
            state.raft.replicate(now);
            let mut effects = state.raft.take_effects();
            store_effects(*group, &effects, log, &mut writes)?;
            take_early_messages(*group, &mut effects, &mut early);
            state.take(effects, &mut outbox);
        }
        for (to, messages) in early.messages {
            send_early(to, messages);
        }
        if !writes.is_empty() {
            log.commit(&writes)?;
        }
        for state in self.groups.values_mut() {
            let last = state.raft.last_index();
            state.raft.persisted(last);
            let effects = state.raft.take_effects();
            state.take(effects, &mut outbox);
            state.check_readable()?;
            state.answer_reads(now, &mut outbox);
        }
        self.compact(log)?;
        Ok(outbox.into_events())
    }

    fn compact<D: Disk>(&mut self, log: &mut DiskLog<D>) -> Result<(), DiskError> {
        let mut writes = Vec::new();
        let mut replaced = Vec::new();
        for (group, state) in &mut self.groups {
            let before = state.raft.snapshot().clone();
            if let Some(write) = state.compact(log, self.settings.entries_per_snapshot)? {
                writes.push(write);
                replaced.push((*group, before));
            }
        }
        // Entries that no snapshot covers yet stay in the file, so it must have
        // doubled, or every flush would rewrite it.
        let limit = self.settings.log_rewrite_bytes.max(self.rewritten_bytes * 2);
        if log.bytes() > limit {
            log.rewrite(&self.whole_state())?;
            self.rewritten_bytes = log.bytes();
        } else if !writes.is_empty() {
            log.commit(&writes)?;
        }
        for (group, before) in replaced {
            if let Some(state) = self.groups.get_mut(&group) {
                state.drop_unused(log, &before)?;
            }
        }
        Ok(())
    }

    /// The writes that bring an empty log to the present state.
    fn whole_state(&self) -> Vec<Write> {
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

/// Moves the messages that promise nothing about this replica's own disk.
fn take_early_messages<O>(group: GroupId, effects: &mut Effects, early: &mut Outbox<O>) {
    let changes_promise = effects.hard_state.is_some()
        || effects.truncate_from.is_some()
        || effects.install.is_some();
    if changes_promise {
        return;
    }
    let messages = std::mem::take(&mut effects.messages);
    for (to, message) in messages {
        if matches!(message, Message::Append { .. }) {
            early.message(to, GroupMessage { group, message });
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

/// Whether a message is meant for a machine, whatever its disk: one that asks to join, or that
/// tells whom to ask. No other one from a stranger counts.
pub fn is_for_machine(message: &GroupMessage) -> bool {
    matches!(message.message, Message::Join | Message::LeaderHint { .. })
}
