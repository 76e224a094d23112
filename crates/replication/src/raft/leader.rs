//! Leader side of the protocol: replication, commit, read lease and leadership transfer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use calicohoist_types::Moment;

use super::window::{MessageLimit, SendWindow};
use super::{Raft, ReadReadiness, Role, peers, quorum_value};
use crate::message::{AppendRejection, EntryKind, Index, Message, ReplicaId};

/// Maximum number of heartbeat rounds tracked while awaiting replies.
const MAX_ROUNDS: usize = 256;
/// Maximum number of concurrent snapshot transfers. Each one encodes the whole snapshot.
const MAX_SNAPSHOT_TRANSFERS: usize = 2;
/// Number of times that the wait for an installed snapshot is doubled.
const MAX_WAIT_DOUBLINGS: u32 = 2;
/// Number of missing entries from which a learner that is not about to be promoted is sent
/// entries between heartbeats.
const LEARNER_BATCH_ENTRIES: u64 = 128;

/// Replication progress of one follower, as known to the leader.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    next: Index,
    /// Highest index known to be durable on the follower.
    pub(super) matched: Index,
    /// Newest heartbeat round that the follower acknowledged.
    round: u64,
    /// Time of the last reply.
    pub(super) last_reply: Moment,
    /// The snapshot that was sent last, unless the follower has installed it.
    snapshot_transfer: Option<SnapshotTransfer>,
    mode: ReplicationMode,
    /// Entries that were streamed and are not acknowledged.
    window: SendWindow,
}

/// A snapshot that was sent to a follower.
#[derive(Clone, Copy, Debug)]
struct SnapshotTransfer {
    /// Index of the last entry included.
    index: Index,
    sent_at: Moment,
    /// The transfer is assumed to be in progress until this moment.
    until: Moment,
    /// Transfers before this one since the follower last made progress.
    earlier: u32,
}

/// How entries are sent to one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplicationMode {
    /// Entries are pipelined without waiting for replies.
    Stream,
    /// Searches for the point where the logs diverge, with one message at a time so that each
    /// rejection does not start another pipeline.
    Probe {
        /// A probe is unanswered; the next heartbeat repeats it.
        is_awaiting_reply: bool,
    },
}

#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this leader's term.
    term_start_index: Index,
    round: u64,
    /// Recent heartbeat rounds with their send times.
    rounds: VecDeque<(u64, Moment)>,
    lease_until: Moment,
    next_heartbeat: Moment,
    elected_at: Moment,
    transfer_to: Option<(ReplicaId, Moment)>,
    /// Standby machines, each with the time of its last join request.
    pub(super) standbys: BTreeMap<u32, Moment>,
    /// When to announce the leader to machines outside the group next.
    pub(super) next_announcement: Moment,
}

impl Progress {
    fn is_receiving_snapshot(&self, now: Moment) -> bool {
        self.snapshot_transfer.is_some_and(|transfer| now < transfer.until)
    }

    /// Whether nothing has come from the follower since it was sent a snapshot.
    fn has_not_answered_snapshot(&self) -> bool {
        self.snapshot_transfer.is_some_and(|transfer| self.last_reply <= transfer.sent_at)
    }

    fn on_rejected(&mut self, rejection: AppendRejection, last: Index) {
        let is_stale = match self.mode {
            ReplicationMode::Stream => rejection.previous_index <= self.matched,
            ReplicationMode::Probe { .. } => rejection.previous_index != self.next - 1,
        };
        if !is_stale {
            let next = rejection.retry_from.clamp(self.matched + 1, last + 1);
            // A probe at the same index is not repeated before the next heartbeat.
            self.mode = ReplicationMode::Probe { is_awaiting_reply: next == self.next };
            self.next = next;
            self.window.clear();
        }
    }

    fn on_accepted(&mut self, matched: Index, last: Index) {
        self.matched = self.matched.max(matched.min(last));
        // Replies to entries sent before the snapshot don't end its transfer.
        self.snapshot_transfer.take_if(|transfer| transfer.index <= self.matched);
        self.window.acknowledge(matched);
        if matched + 1 >= self.next {
            self.mode = ReplicationMode::Stream;
        }
        self.next = self.next.max(self.matched + 1);
    }
}

impl LeaderState {
    pub(super) fn is_transferring(&self) -> bool {
        self.transfer_to.is_some()
    }
}

impl Raft {
    pub(super) fn become_leader(&mut self, now: Moment) {
        self.leader = Some(self.id);
        self.effects.leadership = Some(true);
        self.role = Role::Leader(LeaderState {
            progress: BTreeMap::new(),
            term_start_index: self.log.last_index() + 1,
            round: 0,
            rounds: VecDeque::new(),
            lease_until: Moment::ZERO,
            next_heartbeat: now,
            elected_at: now,
            transfer_to: None,
            standbys: BTreeMap::new(),
            next_announcement: now,
        });
        self.sync_progress(now);
        self.append_as_leader(EntryKind::Empty);
        self.broadcast(now);
    }

    /// Adds and removes progress entries to match the membership.
    pub(super) fn sync_progress(&mut self, now: Moment) {
        let next = self.log.last_index() + 1;
        let wanted = peers(self.membership(), self.id);
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state.progress.retain(|peer, _| wanted.contains(peer));
        for peer in wanted {
            state.progress.entry(peer).or_insert(Progress {
                next,
                matched: 0,
                round: 0,
                last_reply: now,
                snapshot_transfer: None,
                mode: ReplicationMode::Probe { is_awaiting_reply: false },
                window: SendWindow::default(),
            });
        }
    }

    pub(super) fn tick_leader(&mut self, now: Moment) {
        if self.lost_quorum(now) {
            let term = self.hard_state.term;
            return self.become_follower(now, term, None);
        }
        self.expire_transfer(now);
        self.update_membership(now);
        let Role::Leader(state) = &self.role else {
            return;
        };
        if now >= state.next_heartbeat {
            self.broadcast(now);
        }
    }

    /// Whether no quorum has replied within an election timeout. The leader then steps down so
    /// that clients look for another one.
    fn lost_quorum(&self, now: Moment) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let mut last_replies: BTreeMap<ReplicaId, Moment> =
            state.progress.iter().map(|(peer, progress)| (*peer, progress.last_reply)).collect();
        last_replies.insert(self.id, now);
        let quorum_reply = quorum_value(self.membership(), &last_replies);
        now.since(quorum_reply.max(state.elected_at)) > self.settings.election_max
    }

    /// Starts a heartbeat round: sends every follower its missing entries or an empty message.
    pub fn broadcast(&mut self, now: Moment) {
        let heartbeat = self.settings.heartbeat;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state.round += 1;
        state.rounds.push_back((state.round, now));
        if state.rounds.len() > MAX_ROUNDS {
            state.rounds.pop_front();
        }
        state.next_heartbeat = now + heartbeat;
        let followers: Vec<ReplicaId> = state.progress.keys().copied().collect();
        for follower in followers {
            self.send_append(now, follower, true);
        }
    }

    /// Sends new entries to followers without waiting for the next heartbeat.
    pub fn replicate(&mut self, now: Moment) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let is_learner_promotion_due = self.is_learner_promotion_due(now);
        let is_due = |(peer, progress): &(&ReplicaId, &Progress)| {
            self.is_replication_due(**peer, progress, is_learner_promotion_due)
        };
        let due = state.progress.iter().filter(is_due);
        let followers: Vec<ReplicaId> = due.map(|(peer, _)| *peer).collect();
        for follower in followers {
            self.send_append(now, follower, false);
        }
    }

    /// Sends followers whose logs are known to match the entries that they lack, as far as their
    /// windows allow. After a compaction these entries could only be sent as a snapshot.
    pub fn replicate_before_compaction(&mut self, now: Moment) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let is_streamed = |(_, progress): &(&ReplicaId, &Progress)| {
            progress.mode == ReplicationMode::Stream
                && self.log.term_at(progress.next - 1).is_some()
        };
        let streamed = state.progress.iter().filter(is_streamed);
        let followers: Vec<ReplicaId> = streamed.map(|(peer, _)| *peer).collect();
        for follower in followers {
            while self.send_more(now, follower) {}
        }
    }

    /// Sends the next entries to a follower. Returns `false` if there are none, or no room.
    fn send_more(&mut self, now: Moment, to: ReplicaId) -> bool {
        let before = self.next_index(to);
        self.send_append(now, to, false);
        self.next_index(to) > before
    }

    fn next_index(&self, follower: ReplicaId) -> Option<Index> {
        match &self.role {
            Role::Leader(state) => state.progress.get(&follower).map(|progress| progress.next),
            Role::Follower | Role::Candidate { .. } => None,
        }
    }

    /// Whether new entries are sent to a follower before the next heartbeat. Learners that are
    /// not about to be promoted receive them in batches to reduce the leader's load.
    fn is_replication_due(
        &self,
        peer: ReplicaId,
        progress: &Progress,
        is_learner_promotion_due: bool,
    ) -> bool {
        let missing = (self.log.last_index() + 1).saturating_sub(progress.next);
        let is_urgent = is_learner_promotion_due || self.membership().is_voter(peer);
        missing > 0 && (is_urgent || missing >= LEARNER_BATCH_ENTRIES)
    }

    fn send_append(&mut self, now: Moment, to: ReplicaId, send_empty: bool) {
        let settings = self.settings;
        let term = self.hard_state.term;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let round = state.round;
        let Some(progress) = state.progress.get_mut(&to) else {
            return;
        };
        let previous_index = progress.next - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.send_snapshot(now, to, send_empty);
        };
        let limit = match progress.mode {
            // The reply to a heartbeat without entries shows where the logs match, too.
            ReplicationMode::Probe { is_awaiting_reply: true } => MessageLimit::EMPTY,
            ReplicationMode::Probe { is_awaiting_reply: false } | ReplicationMode::Stream => {
                progress.window.room(&settings)
            }
        };
        let entries = self.log.slice(progress.next, limit.entries, limit.bytes);
        if !send_empty && entries.is_empty() {
            return;
        }
        match &mut progress.mode {
            ReplicationMode::Stream => {
                progress.next += entries.len() as u64;
                progress.window.record(&entries);
            }
            ReplicationMode::Probe { is_awaiting_reply } => *is_awaiting_reply = true,
        }
        let message = Message::Append {
            term,
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, message);
    }

    fn send_snapshot(&mut self, now: Moment, to: ReplicaId, is_heartbeat: bool) {
        let snapshot = self.log.snapshot().clone();
        let term = self.hard_state.term;
        let first_wait = self.settings.election_max;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let round = state.round;
        let others = state.progress.iter().filter(|(peer, _)| **peer != to);
        let transfers = others.filter(|(_, progress)| progress.is_receiving_snapshot(now)).count();
        let Some(progress) = state.progress.get_mut(&to) else {
            return;
        };
        // A follower that is lost would take the place of another one again and again.
        let is_waiting =
            progress.is_receiving_snapshot(now) || progress.has_not_answered_snapshot();
        if is_waiting || transfers >= MAX_SNAPSHOT_TRANSFERS {
            if !is_heartbeat {
                return;
            }
            // Keeps the follower from campaigning during the snapshot transfer, and shows when it
            // answers again.
            return self.send(to, Message::bare_heartbeat(term, round));
        }
        let earlier = progress.snapshot_transfer.map_or(0, |transfer| transfer.earlier + 1);
        // A follower may be too slow to install a snapshot in the time of an election.
        let wait = first_wait * 2_u32.pow(earlier.min(MAX_WAIT_DOUBLINGS));
        progress.snapshot_transfer = Some(SnapshotTransfer {
            index: snapshot.index,
            sent_at: now,
            until: now + wait,
            earlier,
        });
        let message = Message::Install { term, snapshot, round };
        self.send(to, message);
    }

    /// Prolongs the snapshot transfer of a follower that is still fetching segments, so that the
    /// snapshot is not sent again.
    pub fn prolong_snapshot_transfer(&mut self, now: Moment, follower: ReplicaId) {
        let until = now + self.settings.election_max;
        if let Role::Leader(state) = &mut self.role
            && let Some(progress) = state.progress.get_mut(&follower)
            && let Some(transfer) = &mut progress.snapshot_transfer
        {
            transfer.until = until;
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        matched: Index,
        refused: Option<AppendRejection>,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        progress.last_reply = now;
        progress.round = progress.round.max(round);
        match refused {
            Some(rejection) => progress.on_rejected(rejection, last),
            None => progress.on_accepted(matched, last),
        }
        self.renew_lease();
        self.advance_commit();
        self.continue_stream(now, from);
        self.continue_transfer(now);
        self.update_membership(now);
    }

    fn continue_stream(&mut self, now: Moment, to: ReplicaId) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let is_learner_promotion_due = self.is_learner_promotion_due(now);
        let progress = state.progress.get(&to);
        if progress
            .is_some_and(|progress| self.is_replication_due(to, progress, is_learner_promotion_due))
        {
            self.send_append(now, to, false);
        }
    }

    /// Extends the lease, counted from the *send* time of the newest round acknowledged by a
    /// quorum.
    fn renew_lease(&mut self) {
        let length = self.settings.election_min.saturating_sub(self.settings.clock_drift);
        let membership = self.log.membership().1.clone();
        let id = self.id;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let mut answered: BTreeMap<ReplicaId, u64> =
            state.progress.iter().map(|(peer, progress)| (*peer, progress.round)).collect();
        answered.insert(id, state.round);
        let round = quorum_value(&membership, &answered);
        while state.rounds.front().is_some_and(|(sent, _)| *sent < round) {
            state.rounds.pop_front();
        }
        let confirmed = state.rounds.front().filter(|(sent, _)| *sent == round);
        if let Some((_, sent_at)) = confirmed
            && state.transfer_to.is_none()
        {
            state.lease_until = state.lease_until.max(*sent_at + length);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else {
            return self.deliver_committed();
        };
        let term_start_index = state.term_start_index;
        let mut matched: BTreeMap<ReplicaId, Index> =
            state.progress.iter().map(|(peer, progress)| (*peer, progress.matched)).collect();
        matched.insert(self.id, self.persisted_index);
        let agreed = quorum_value(self.membership(), &matched);
        // Entries of earlier terms are committed only indirectly, by an entry of this term.
        if agreed >= term_start_index && agreed > self.commit {
            self.commit = agreed;
        }
        self.deliver_committed();
    }

    /// Whether this leader has committed an entry of its own term, and thus knows everything
    /// that earlier leaders committed.
    pub fn has_committed_in_term(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.term_start_index,
            Role::Follower | Role::Candidate { .. } => false,
        }
    }

    /// Returns whether the applied state can be read now.
    pub fn read_readiness(&self, now: Moment) -> ReadReadiness {
        let Role::Leader(state) = &self.role else {
            return ReadReadiness::NotLeader;
        };
        let is_single_voter = self.membership().has_quorum(&BTreeSet::from([self.id]));
        if self.has_committed_in_term() && (is_single_voter || now < state.lease_until) {
            ReadReadiness::Ready
        } else {
            ReadReadiness::NotYet
        }
    }

    /// Transfers leadership to the most up-to-date voter.
    pub fn transfer_leadership(&mut self, now: Moment) {
        self.transfer_to_most_up_to_date(now, |_| true);
    }

    /// Transfers leadership to the voter on `machine`, if there is one.
    pub fn transfer_leadership_to(&mut self, now: Moment, machine: u32) {
        self.transfer_to_most_up_to_date(now, |voter| voter.machine == machine);
    }

    fn transfer_to_most_up_to_date(&mut self, now: Moment, may_lead: impl Fn(&ReplicaId) -> bool) {
        let voters = self.membership().voters.clone();
        let timeout = self.settings.election_max;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if state.is_transferring() {
            return;
        }
        let is_candidate =
            |(peer, _): &(&ReplicaId, &Progress)| voters.contains(peer) && may_lead(peer);
        let candidates = state.progress.iter().filter(is_candidate);
        let Some((target, _)) =
            candidates.max_by_key(|(_, progress)| (progress.matched, progress.last_reply))
        else {
            return;
        };
        state.transfer_to = Some((*target, now + timeout));
        // The new leader may serve reads as soon as it is elected.
        state.lease_until = Moment::ZERO;
        self.continue_transfer(now);
    }

    fn continue_transfer(&mut self, _now: Moment) {
        let last = self.log.last_index();
        let term = self.hard_state.term;
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some((target, _)) = state.transfer_to else {
            return;
        };
        let is_caught_up =
            state.progress.get(&target).is_some_and(|progress| progress.matched == last);
        if is_caught_up {
            self.send(target, Message::Campaign { term });
        }
    }

    fn expire_transfer(&mut self, now: Moment) {
        if let Role::Leader(state) = &mut self.role
            && state.transfer_to.is_some_and(|(_, deadline)| now > deadline)
        {
            state.transfer_to = None;
        }
    }
}
