//! Raft protocol of one group, implemented as a deterministic state machine.
//!
//! [`Raft`] reads no clock, uses its own seeded random generator and performs no disk or
//! network I/O: it consumes messages and ticks, and produces [`Effects`]. The caller must make
//! the writes of an [`Effects`] durable before it sends the messages in it.

mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_types::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::message::{
    Entry, EntryKind, HardState, Index, Membership, Message, ReplicaId, SegmentId, Snapshot, Term,
};
use leader::LeaderState;
use log::RaftLog;
use membership::StandbyState;

/// Timing, size and batch limits of a group.
#[derive(Clone, Copy, Debug)]
pub struct RaftSettings {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Minimum election timeout. Must exceed `heartbeat`.
    pub election_min: Duration,
    /// Maximum election timeout.
    pub election_max: Duration,
    /// Maximum drift between the clocks of two machines within one election timeout.
    pub clock_drift: Duration,
    /// Target number of voters. Further replicas stay learners until a voter is replaced.
    pub voters: usize,
    /// Target number of learners beside the voters. Further machines are on standby: they
    /// store no data and only renew their join request periodically.
    pub spares: usize,
    /// Time without an answer after which a caught-up learner replaces a voter.
    pub replace_after: Duration,
    /// Maximum number of entries in one message.
    pub max_entries_per_message: usize,
    /// Approximate maximum size of the commands in one message, in bytes.
    pub max_bytes_per_message: usize,
    /// Maximum number of unacknowledged entries sent to one follower. Bounds what a leader
    /// queues for a slow follower.
    pub max_entries_in_flight: u64,
    /// Maximum size of the unacknowledged commands sent to one follower, in bytes. A single
    /// command of any size is sent if no other is unacknowledged.
    pub max_bytes_in_flight: usize,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(60),
            election_min: Duration::from_millis(400),
            election_max: Duration::from_millis(800),
            clock_drift: Duration::from_millis(40),
            voters: usize::MAX,
            spares: usize::MAX,
            replace_after: Duration::MAX,
            max_entries_per_message: 512,
            max_bytes_per_message: 4 << 20,
            max_entries_in_flight: 4_096,
            max_bytes_in_flight: 8 << 20,
        }
    }
}

/// Actions the caller must perform after a step. Writes come before messages.
#[derive(Debug, Default)]
pub struct Effects {
    /// Term and vote to persist.
    pub hard_state: Option<HardState>,
    /// Index from which stored entries must be deleted before `append` is written.
    pub truncate_from: Option<Index>,
    /// Entries to append to the stored log.
    pub append: Vec<Entry>,
    /// Snapshot that replaces the log and the state of the state machine.
    pub install: Option<Arc<Snapshot>>,
    /// Messages to send once everything above is durable.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Newly committed entries, to be applied in order.
    pub committed: Vec<Entry>,
    /// Set when leadership was gained (`true`) or lost (`false`).
    pub leadership: Option<bool>,
}

/// Whether a linearizable read of the applied state can be served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReadiness {
    /// This replica leads with a valid lease and has applied all committed entries.
    Ready,
    /// It leads, but no quorum has confirmed that yet.
    NotYet,
    /// It is not the leader.
    NotLeader,
}

/// Reason a proposal was rejected. A rejected proposal is never applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader. Carries the known leader, if any.
    #[error("not the leader")]
    NotLeader(Option<ReplicaId>),
    /// A previous membership change is not committed yet.
    #[error("a membership change is not committed yet")]
    MembershipChangePending,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, granted: BTreeSet<ReplicaId> },
    Leader(LeaderState),
}

/// Protocol state of one replica of one group.
#[derive(Debug)]
pub struct Raft {
    id: ReplicaId,
    settings: RaftSettings,
    random: ChaCha8Rng,
    hard_state: HardState,
    log: RaftLog,
    role: Role,
    leader: Option<ReplicaId>,
    commit: Index,
    /// Highest index that is durable on this replica.
    persisted_index: Index,
    /// Highest index handed out in [`Effects::committed`].
    delivered_index: Index,
    election_deadline: Moment,
    /// Votes are refused before this moment because a leader may still hold a lease.
    votes_allowed_from: Moment,
    /// Machines that must not hold a replica.
    evicted: BTreeSet<u32>,
    /// Set while a leader keeps this replica on standby instead of adding it to the group.
    standby: Option<StandbyState>,
    effects: Effects,
}

impl Raft {
    /// Creates a replica from the state recovered from disk.
    pub fn new(
        id: ReplicaId,
        settings: RaftSettings,
        seed: u64,
        hard_state: HardState,
        snapshot: Arc<Snapshot>,
        entries: Vec<Entry>,
        now: Moment,
    ) -> Self {
        let commit = snapshot.index;
        let log = RaftLog::new(snapshot, entries);
        let mut raft = Self {
            id,
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            hard_state,
            persisted_index: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            commit,
            delivered_index: commit,
            election_deadline: now,
            // The leader acknowledged before a restart is not stored, and may still hold a lease
            // that relies on this replica.
            votes_allowed_from: now + settings.election_min,
            evicted: BTreeSet::new(),
            standby: None,
            effects: Effects::default(),
        };
        raft.reset_election_deadline(now);
        raft
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The known leader of the current term, if any.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this replica considers itself the leader. It may have been deposed already.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Size of the commands that are not known to be committed, in bytes.
    pub fn uncommitted_bytes(&self) -> usize {
        self.log.command_bytes_after(self.commit)
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Index of the last snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().index
    }

    /// The newest membership in the log.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Returns and clears the actions accumulated since the last call.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Advances time: sends heartbeats, starts elections, and deposes a leader without quorum.
    pub fn tick(&mut self, now: Moment) {
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            Role::Follower | Role::Candidate { .. } => {
                if now >= self.election_deadline {
                    self.campaign(now, true, false);
                }
            }
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Moment, from: ReplicaId, message: Message) {
        let Some(term) = message.term() else {
            return self.on_termless_message(now, from, &message);
        };
        if matches!(message, Message::Vote { .. }) && self.is_non_member(from) {
            // The sender was removed from the group and has not learned of it.
            self.on_termless_message(now, from, &Message::Join);
        }
        if self.must_refuse_vote(now, &message) {
            return self.refuse_vote(from, &message);
        }
        if term > self.hard_state.term && raises_term(&message) {
            self.become_follower(now, term, None);
        }
        if term < self.hard_state.term {
            return self.reply_to_stale(from, &message);
        }
        match message {
            Message::Vote { .. } => self.on_vote(now, from, &message),
            Message::VoteReply { granted, pre, term } => {
                self.on_vote_reply(now, from, term, granted, pre);
            }
            Message::Append { previous_index, previous_term, entries, commit, round, .. } => {
                self.follow(now, from);
                let previous = (previous_index, previous_term);
                self.on_append(from, previous, entries, commit, round);
            }
            Message::Install { snapshot, round, .. } => {
                self.follow(now, from);
                self.on_install(from, snapshot, round);
            }
            Message::AppendReply { matched, refused, round, .. } => {
                self.on_append_reply(now, from, matched, refused, round)
            }
            Message::Campaign { .. } => self.campaign(now, false, true),
            // Messages without a term are handled above or outside the protocol (segments).
            Message::Join
            | Message::LeaderHint { .. }
            | Message::Standby { .. }
            | Message::FetchSegment { .. }
            | Message::SegmentChunk { .. } => {}
        }
    }

    /// Records that all entries up to `index` are durable on this replica.
    pub fn mark_persisted(&mut self, index: Index) {
        self.persisted_index = index.min(self.log.last_index());
        self.advance_commit();
    }

    /// Appends an entry as the leader. Returns its term and index; it is not committed yet.
    ///
    /// # Errors
    /// When this replica is not the leader, is transferring leadership, or a membership change
    /// is proposed while another one is uncommitted.
    pub fn propose(&mut self, kind: EntryKind) -> Result<(Term, Index), ProposeError> {
        let Role::Leader(state) = &self.role else {
            return Err(ProposeError::NotLeader(self.leader));
        };
        if state.is_transferring() {
            return Err(ProposeError::NotLeader(None));
        }
        if matches!(kind, EntryKind::Membership(_)) && self.has_pending_membership_change() {
            return Err(ProposeError::MembershipChangePending);
        }
        Ok(self.append_as_leader(kind))
    }

    fn has_pending_membership_change(&self) -> bool {
        self.log.membership().0 > self.commit
    }

    fn append_as_leader(&mut self, kind: EntryKind) -> (Term, Index) {
        let term = self.hard_state.term;
        let index = self.log.last_index() + 1;
        let entry = Entry { term, index, kind };
        self.log.push(entry.clone());
        self.effects.append.push(entry);
        (term, index)
    }

    /// Replaces the entries up to `index` with a snapshot of the applied state.
    pub fn compact(
        &mut self,
        index: Index,
        segments: BTreeSet<SegmentId>,
        data: Vec<u8>,
    ) -> Option<Arc<Snapshot>> {
        let term = self.log.term_at(index)?;
        if index <= self.log.snapshot().index {
            return None;
        }
        let membership = self.log.membership_at(index);
        let snapshot = Arc::new(Snapshot { index, term, membership, segments, data: data.into() });
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    /// Drops the data of the last snapshot, which must be stored. From then on the data must be
    /// loaded into a [`Message::Install`] before it is sent.
    pub fn unload_snapshot(&mut self) {
        self.log.unload_snapshot();
    }

    /// Whether installing `snapshot` would replace the local state.
    pub fn needs_snapshot(&self, snapshot: &Snapshot) -> bool {
        let has_prefix = self.log.term_at(snapshot.index) == Some(snapshot.term);
        snapshot.index > self.commit && !has_prefix
    }

    /// Entries after the last snapshot.
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Persistent term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    fn become_follower(&mut self, now: Moment, term: Term, leader: Option<ReplicaId>) {
        if self.is_leader() {
            self.effects.leadership = Some(false);
        }
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.effects.hard_state = Some(self.hard_state);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline(now);
    }

    fn reset_election_deadline(&mut self, now: Moment) {
        let shortest = self.settings.election_min.as_micros() as u64;
        let longest = self.settings.election_max.as_micros() as u64;
        let wait = self.random.random_range(shortest..=longest.max(shortest));
        self.election_deadline = now + Duration::from_micros(wait);
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.effects.messages.push((to, message));
    }

    /// Hands out the entries up to the commit index.
    fn deliver_committed(&mut self) {
        let up_to = self.commit.min(self.log.last_index());
        if up_to > self.delivered_index {
            let entries = self.log.entries_between(self.delivered_index, up_to);
            self.effects.committed.extend(entries);
            self.delivered_index = up_to;
        }
    }

    fn reply_to_stale(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        match message {
            // The reply tells the deposed leader about the newer term.
            Message::Append { round, .. } | Message::Install { round, .. } => {
                let reply = Message::AppendReply { term, matched: 0, refused: None, round: *round };
                self.send(from, reply);
            }
            Message::Vote { .. } => self.refuse_vote(from, message),
            _ => {}
        }
    }
}

/// Whether a message with a higher term makes the receiver adopt that term. Pre-votes carry a
/// term that no replica has adopted yet.
fn raises_term(message: &Message) -> bool {
    match message {
        Message::Vote { pre, .. } => !pre,
        Message::VoteReply { pre, granted, .. } => !(*pre && *granted),
        _ => true,
    }
}

/// Members other than `id`, in order.
fn peers(membership: &Membership, id: ReplicaId) -> Vec<ReplicaId> {
    membership.all().filter(|peer| *peer != id).collect()
}

/// Returns the largest value that a quorum has reached, that is, that a majority of every
/// voter set has reached or exceeded.
fn quorum_value<V: Ord + Copy + Default>(
    membership: &Membership,
    values: &BTreeMap<ReplicaId, V>,
) -> V {
    let voters_value = majority_value(&membership.voters, values);
    if membership.is_joint() {
        voters_value.min(majority_value(&membership.outgoing, values))
    } else {
        voters_value
    }
}

fn majority_value<V: Ord + Copy + Default>(
    voters: &BTreeSet<ReplicaId>,
    values: &BTreeMap<ReplicaId, V>,
) -> V {
    let value_of = |voter: &ReplicaId| values.get(voter).copied().unwrap_or_default();
    let mut sorted: Vec<V> = voters.iter().map(value_of).collect();
    sorted.sort_unstable();
    let majority = voters.len() / 2 + 1;
    let position = sorted.len().checked_sub(majority);
    position.and_then(|at| sorted.get(at)).copied().unwrap_or_default()
}
