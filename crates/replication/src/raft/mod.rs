//! The protocol of one group as a state machine.
//!
//! [`Raft`] never reads a clock, draws only from its own seeded generator, and
//! touches neither disk nor network: it takes messages and returns [`Effects`].
//! The caller must make an effect's writes durable before it sends its messages.

mod election;
mod follower;
mod leader;
mod log;
mod membership;

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
use membership::StandbyOrder;

/// Timing and batch limits of a group.
#[derive(Clone, Copy, Debug)]
pub struct RaftSettings {
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Shortest silence after which a follower campaigns. Must exceed `heartbeat`.
    pub election_min: Duration,
    /// Longest such silence.
    pub election_max: Duration,
    /// By how much clocks of two machines may differ over one election timeout.
    pub clock_drift: Duration,
    /// Voters that a group is to have; further replicas stay learners and step in.
    pub voters: usize,
    /// Learners that a group is to have beside its voters. Further machines stand by:
    /// they hold nothing, and cost the leader a message a second.
    pub spares: usize,
    /// Silence after which a ready learner takes a voter's place.
    pub replace_after: Duration,
    /// Most entries in one message.
    pub max_entries_per_message: usize,
    /// Most bytes of commands in one message, about.
    pub max_bytes_per_message: usize,
    /// Most entries on their way to one follower; it bounds what a leader queues for a
    /// follower that is slow.
    pub max_entries_in_flight: u64,
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
        }
    }
}

/// What must be done after a step. Writes come before messages.
#[derive(Debug, Default)]
pub struct Effects {
    /// Term and vote to store.
    pub hard_state: Option<HardState>,
    /// Stored entries from this index on are to be dropped before `append`.
    pub truncate_from: Option<Index>,
    /// Entries to store.
    pub append: Vec<Entry>,
    /// State that replaces log and state machine.
    pub install: Option<Arc<Snapshot>>,
    /// Messages to send once everything above is durable.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Entries that became committed, to apply in order.
    pub committed: Vec<Entry>,
    /// Leadership was won (`true`) or lost (`false`).
    pub leadership: Option<bool>,
}

/// Whether a read of the applied state is up to date now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReadiness {
    /// This replica leads under a valid lease and has applied everything committed.
    Ready,
    /// It leads but a quorum has not confirmed that yet.
    NotYet,
    /// It does not lead.
    NotLeader,
}

/// Why a proposal was not taken. It is certain that it will not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, perhaps this one.
    #[error("not the leader")]
    NotLeader(Option<ReplicaId>),
    /// Another change of membership is not finished.
    #[error("a membership change is under way")]
    ChangeUnderWay,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, granted: BTreeSet<ReplicaId> },
    Leader(LeaderState),
}

/// One replica of one group.
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
    /// Highest index that is durable here.
    persisted: Index,
    /// Entries handed out as committed so far.
    delivered: Index,
    election_deadline: Moment,
    /// No vote is given before this moment, since a leader may hold a lease.
    votes_from: Moment,
    /// Machines that must hold no replica.
    evicted: BTreeSet<u32>,
    /// What the leader of a group told that this replica is no member of.
    standby: Option<StandbyOrder>,
    effects: Effects,
}

impl Raft {
    /// Starts from what was recovered from disk.
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
            persisted: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            commit,
            delivered: commit,
            election_deadline: now,
            // A replica forgets at a restart which leader it acknowledged, and
            // that leader may still hold a lease because of it.
            votes_from: now + settings.election_min,
            evicted: BTreeSet::new(),
            standby: None,
            effects: Effects::default(),
        };
        raft.reset_election_deadline(now);
        raft
    }

    /// This replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The replica believed to lead.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this replica leads (perhaps without knowing that it lost).
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Highest committed index known here.
    pub fn commit(&self) -> Index {
        self.commit
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

    /// Takes what the steps so far ask for.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Lets time pass: heartbeats, elections, and a leader's own doubt.
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

    /// Takes a message from another replica.
    pub fn step(&mut self, now: Moment, from: ReplicaId, message: Message) {
        let Some(term) = message.term() else {
            return self.on_outsider(now, from, &message);
        };
        if matches!(message, Message::Vote { .. }) && self.is_unaware_outsider(from) {
            // It was replaced while it was away, and believes to be a voter.
            self.on_outsider(now, from, &Message::Join);
        }
        if self.must_ignore_vote(now, &message) {
            return self.refuse_vote(from, &message);
        }
        if term > self.hard_state.term && raises_term(&message) {
            self.become_follower(now, term, None);
        }
        if term < self.hard_state.term {
            return self.answer_stale(from, &message);
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
            // Those without a term were answered above; segments travel outside the protocol.
            Message::Join
            | Message::LeaderHint { .. }
            | Message::Standby { .. }
            | Message::FetchSegment { .. }
            | Message::SegmentChunk { .. } => {}
        }
    }

    /// Everything appended up to `index` is durable here.
    pub fn persisted(&mut self, index: Index) {
        self.persisted = index.min(self.log.last_index());
        self.advance_commit();
    }

    /// Proposes a command; returns its place if it gets committed in this term.
    ///
    /// # Errors
    /// When this replica does not lead, or is handing leadership over.
    pub fn propose(&mut self, kind: EntryKind) -> Result<(Term, Index), ProposeError> {
        let Role::Leader(state) = &self.role else {
            return Err(ProposeError::NotLeader(self.leader));
        };
        if state.is_transferring() {
            return Err(ProposeError::NotLeader(None));
        }
        if matches!(kind, EntryKind::Membership(_)) && self.has_unfinished_change() {
            return Err(ProposeError::ChangeUnderWay);
        }
        Ok(self.append_own(kind))
    }

    fn has_unfinished_change(&self) -> bool {
        self.log.membership().0 > self.commit
    }

    fn append_own(&mut self, kind: EntryKind) -> (Term, Index) {
        let term = self.hard_state.term;
        let index = self.log.last_index() + 1;
        let entry = Entry { term, index, kind };
        self.log.push(entry.clone());
        self.effects.append.push(entry);
        (term, index)
    }

    /// Replaces the entries up to `index` by a snapshot of the applied state.
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
        let snapshot = Arc::new(Snapshot { index, term, membership, segments, data });
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    /// Whether the state of `snapshot` would replace the one held here.
    pub fn needs_snapshot(&self, snapshot: &Snapshot) -> bool {
        let has_prefix = self.log.term_at(snapshot.index) == Some(snapshot.term);
        snapshot.index > self.commit && !has_prefix
    }

    /// The tail of the log after the last snapshot.
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Term and vote.
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

    /// Delivers entries up to `commit`.
    fn deliver(&mut self) {
        let up_to = self.commit.min(self.log.last_index());
        if up_to > self.delivered {
            let entries = self.log.between(self.delivered, up_to);
            self.effects.committed.extend(entries);
            self.delivered = up_to;
        }
    }

    fn answer_stale(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        match message {
            // The old leader learns of the newer term from the answer.
            Message::Append { round, .. } | Message::Install { round, .. } => {
                let reply = Message::AppendReply { term, matched: 0, refused: None, round: *round };
                self.send(from, reply);
            }
            Message::Vote { .. } => self.refuse_vote(from, message),
            _ => {}
        }
    }
}

/// A pre-vote asks about a term that nobody has yet, so it must not raise ours.
fn raises_term(message: &Message) -> bool {
    match message {
        Message::Vote { pre, .. } => !pre,
        Message::VoteReply { pre, granted, .. } => !(*pre && *granted),
        _ => true,
    }
}

/// Peers of `id` in `membership`, in order.
fn peers(membership: &Membership, id: ReplicaId) -> Vec<ReplicaId> {
    membership.all().filter(|peer| *peer != id).collect()
}

/// Per-replica values that a quorum reaches: the largest value such that a majority of
/// every set that counts has at least it.
fn quorum_value<V: Ord + Copy + Default>(
    membership: &Membership,
    values: &BTreeMap<ReplicaId, V>,
) -> V {
    let of_voters = majority_value(&membership.voters, values);
    if membership.is_joint() {
        of_voters.min(majority_value(&membership.outgoing, values))
    } else {
        of_voters
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
