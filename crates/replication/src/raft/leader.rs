//! Leading: replication, commit, the read lease, membership changes, hand-over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use calicohoist_types::Moment;

use super::{Raft, ReadReadiness, Role, peers, quorum_value};
use crate::message::{EntryKind, Index, Message, Refused, ReplicaId};

/// Rounds remembered while their answers are out.
const MAX_ROUNDS: usize = 256;
/// Snapshots on their way at a time: each is encoded whole for its receiver.
const MAX_INSTALLS: usize = 2;
/// A learner that no vote waits for is sent entries with the heartbeats, or when it
/// lacks this many.
const LEARNER_BATCH: u64 = 128;

/// What a leader knows of one follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Next entry to send.
    next: Index,
    /// Highest entry known durable there.
    pub(super) matched: Index,
    /// Newest round it answered.
    round: u64,
    /// When it last answered.
    pub(super) heard: Moment,
    /// A snapshot is on its way until this moment.
    installing_until: Moment,
    flow: Flow,
}

/// How entries go to one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    /// New entries follow each other without waiting for answers.
    Stream,
    /// Where the logs part is being found out: one message at a time, since each
    /// answer that rewinds would otherwise start a stream of its own.
    Probe {
        /// The message is out; the next heartbeat repeats it.
        is_out: bool,
    },
}

#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// First entry of this leader's term.
    first_index: Index,
    round: u64,
    /// When each recent round was sent.
    rounds: VecDeque<(u64, Moment)>,
    lease_until: Moment,
    next_heartbeat: Moment,
    elected: Moment,
    transfer_to: Option<(ReplicaId, Moment)>,
    /// Machines that stand by, with the moment at which each asked last.
    pub(super) standbys: BTreeMap<u32, Moment>,
    /// When machines outside the group are told next who leads.
    pub(super) next_call: Moment,
}

impl Progress {
    fn on_refused(&mut self, refused: Refused, last: Index) {
        let is_stale = match self.flow {
            Flow::Stream => refused.previous_index <= self.matched,
            Flow::Probe { .. } => refused.previous_index != self.next - 1,
        };
        if !is_stale {
            let next = refused.retry_from.clamp(self.matched + 1, last + 1);
            // The same place again waits for the next heartbeat.
            self.flow = Flow::Probe { is_out: next == self.next };
            self.next = next;
        }
    }

    fn on_accepted(&mut self, matched: Index, last: Index) {
        if matched > self.matched {
            self.matched = matched.min(last);
            self.installing_until = Moment::ZERO;
        }
        if matched + 1 >= self.next {
            self.flow = Flow::Stream;
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
            first_index: self.log.last_index() + 1,
            round: 0,
            rounds: VecDeque::new(),
            lease_until: Moment::ZERO,
            next_heartbeat: now,
            elected: now,
            transfer_to: None,
            standbys: BTreeMap::new(),
            next_call: now,
        });
        self.sync_progress(now);
        self.append_own(EntryKind::Empty);
        self.broadcast(now);
    }

    /// Makes the table of followers match the membership.
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
                heard: now,
                installing_until: Moment::ZERO,
                flow: Flow::Probe { is_out: false },
            });
        }
    }

    pub(super) fn tick_leader(&mut self, now: Moment) {
        if self.lost_quorum(now) {
            let term = self.hard_state.term;
            return self.become_follower(now, term, None);
        }
        self.expire_transfer(now);
        self.manage_members(now);
        let Role::Leader(state) = &self.role else {
            return;
        };
        if now >= state.next_heartbeat {
            self.broadcast(now);
        }
    }

    /// A leader that no quorum answers steps down, so that its callers look elsewhere.
    fn lost_quorum(&self, now: Moment) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let mut heard: BTreeMap<ReplicaId, Moment> =
            state.progress.iter().map(|(peer, progress)| (*peer, progress.heard)).collect();
        heard.insert(self.id, now);
        let quorum_heard = quorum_value(self.membership(), &heard);
        now.since(quorum_heard.max(state.elected)) > self.settings.election_max
    }

    /// Sends every follower what it lacks, or an empty heartbeat.
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

    /// Sends new entries to followers that are up to date with what was sent.
    pub fn replicate(&mut self, now: Moment) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let wants_learners = self.wants_learners(now);
        let wants_entries = |(peer, known): &(&ReplicaId, &Progress)| {
            self.is_sent_entries(**peer, known, wants_learners)
        };
        let behind = state.progress.iter().filter(wants_entries);
        let followers: Vec<ReplicaId> = behind.map(|(peer, _)| *peer).collect();
        for follower in followers {
            self.send_append(now, follower, false);
        }
    }

    /// Whether new entries go to a follower at once. For learners that no vote waits for,
    /// a message with each entry would cost the leader as much as for a voter.
    fn is_sent_entries(&self, peer: ReplicaId, known: &Progress, wants_learners: bool) -> bool {
        let lacking = (self.log.last_index() + 1).saturating_sub(known.next);
        let is_due = wants_learners || self.membership().is_voter(peer);
        lacking > 0 && (is_due || lacking >= LEARNER_BATCH)
    }

    fn send_append(&mut self, now: Moment, to: ReplicaId, even_if_empty: bool) {
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
            return self.send_snapshot(now, to, even_if_empty);
        };
        let in_flight = match progress.flow {
            Flow::Stream => previous_index.saturating_sub(progress.matched),
            Flow::Probe { .. } => 0,
        };
        let room = settings.max_entries_in_flight.saturating_sub(in_flight);
        let limit = usize::try_from(room).unwrap_or(usize::MAX);
        let limit = limit.min(settings.max_entries_per_message);
        let entries = self.log.slice(progress.next, limit, settings.max_bytes_per_message);
        if !even_if_empty && (entries.is_empty() || progress.flow == Flow::Probe { is_out: true }) {
            return;
        }
        match &mut progress.flow {
            Flow::Stream => progress.next += entries.len() as u64,
            Flow::Probe { is_out } => *is_out = true,
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
        let resend_after = self.settings.election_max;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let round = state.round;
        let others = state.progress.iter().filter(|(peer, _)| **peer != to);
        let installs = others.filter(|(_, known)| now < known.installing_until).count();
        let Some(progress) = state.progress.get_mut(&to) else {
            return;
        };
        if now < progress.installing_until || installs >= MAX_INSTALLS {
            if !is_heartbeat {
                return;
            }
            // Keeps the follower from campaigning while the snapshot travels.
            return self.send(to, Message::bare_heartbeat(term, round));
        }
        progress.installing_until = now + resend_after;
        let message = Message::Install { term, snapshot, round };
        self.send(to, message);
    }

    /// A follower is fetching what a snapshot refers to: it needs no second one yet.
    pub fn note_installing(&mut self, now: Moment, follower: ReplicaId) {
        let until = now + self.settings.election_max;
        if let Role::Leader(state) = &mut self.role
            && let Some(progress) = state.progress.get_mut(&follower)
        {
            progress.installing_until = until;
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        matched: Index,
        refused: Option<Refused>,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        progress.heard = now;
        progress.round = progress.round.max(round);
        match refused {
            Some(refused) => progress.on_refused(refused, last),
            None => progress.on_accepted(matched, last),
        }
        self.renew_lease();
        self.advance_commit();
        self.continue_stream(now, from);
        self.continue_transfer(now);
        self.manage_members(now);
    }

    fn continue_stream(&mut self, now: Moment, to: ReplicaId) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let wants_learners = self.wants_learners(now);
        let known = state.progress.get(&to);
        if known.is_some_and(|known| self.is_sent_entries(to, known, wants_learners)) {
            self.send_append(now, to, false);
        }
    }

    /// The lease runs from the *sending* of the newest round that a quorum answered.
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
            return self.deliver();
        };
        let first_index = state.first_index;
        let mut matched: BTreeMap<ReplicaId, Index> =
            state.progress.iter().map(|(peer, progress)| (*peer, progress.matched)).collect();
        matched.insert(self.id, self.persisted);
        let agreed = quorum_value(self.membership(), &matched);
        // Entries of earlier terms are committed only through one of this term.
        if agreed >= first_index && agreed > self.commit {
            self.commit = agreed;
        }
        self.deliver();
    }

    /// Whether this leader has committed an entry of its own term, and with it all that earlier
    /// leaders have committed.
    pub fn has_committed_in_term(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.first_index,
            Role::Follower | Role::Candidate { .. } => false,
        }
    }

    /// Whether the applied state may be read now.
    pub fn read_readiness(&self, now: Moment) -> ReadReadiness {
        let Role::Leader(state) = &self.role else {
            return ReadReadiness::NotLeader;
        };
        let is_alone = self.membership().has_quorum(&BTreeSet::from([self.id]));
        if self.has_committed_in_term() && (is_alone || now < state.lease_until) {
            ReadReadiness::Ready
        } else {
            ReadReadiness::NotYet
        }
    }

    /// Hands leadership to the voter that is furthest along.
    pub fn transfer_leadership(&mut self, now: Moment) {
        self.transfer_to_best(now, |_| true);
    }

    /// Hands leadership to the voter on this machine, if there is one.
    pub fn transfer_leadership_to(&mut self, now: Moment, machine: u32) {
        self.transfer_to_best(now, |voter| voter.machine == machine);
    }

    fn transfer_to_best(&mut self, now: Moment, may_lead: impl Fn(&ReplicaId) -> bool) {
        let voters = self.membership().voters.clone();
        let patience = self.settings.election_max;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if state.is_transferring() {
            return;
        }
        let is_candidate =
            |(peer, _): &(&ReplicaId, &Progress)| voters.contains(peer) && may_lead(peer);
        let candidates = state.progress.iter().filter(is_candidate);
        let Some((target, _)) = candidates.max_by_key(|(_, known)| (known.matched, known.heard))
        else {
            return;
        };
        state.transfer_to = Some((*target, now + patience));
        // The successor may answer reads as soon as it wins.
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
        let is_caught_up = state.progress.get(&target).is_some_and(|known| known.matched == last);
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
