//! Automatic membership changes by the leader, one replica at a time.
//!
//! A new replica joins as a learner. It is promoted when the group has fewer voters than
//! configured, or when it replaces a voter that is evicted, unresponsive, or superseded by a
//! newer disk of the same machine.

use std::collections::BTreeSet;
use std::time::Duration;

use calicohoist_types::Moment;

use super::leader::Progress;
use super::{Raft, Role, peers};
use crate::message::{EntryKind, Membership, Message, ReplicaId, Term};

/// An unresponsive learner is removed after this multiple of `replace_after`.
const LEARNER_REMOVAL_FACTOR: u32 = 3;
/// Interval at which a standby machine renews its join request.
const STANDBY_RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a standby reply expires. Tolerates the loss of two replies.
const STANDBY_EXPIRY: Duration = Duration::from_millis(3_200);

/// Standby reply of a leader whose group needs no further replica.
#[derive(Clone, Debug)]
pub(super) struct StandbyState {
    leader: ReplicaId,
    term: Term,
    machines: Vec<u32>,
    /// When to renew the join request.
    renew_at: Moment,
    /// When the reply expires and the leader becomes unknown.
    expires_at: Moment,
}

impl Raft {
    /// Sets the machines that must not hold a replica. The leader replaces their voters and
    /// rejects their join requests.
    pub fn set_evicted(&mut self, machines: BTreeSet<u32>) {
        self.evicted = machines;
    }

    /// Whether a leader is known and `from` is not a member of its group.
    pub(super) fn is_non_member(&self, from: ReplicaId) -> bool {
        self.leader.is_some() && !self.membership().contains(from)
    }

    /// Handles the messages without a term, which non-members exchange with the group.
    /// Followers answer a join request with the known leader.
    pub(super) fn on_termless_message(&mut self, now: Moment, from: ReplicaId, message: &Message) {
        match message {
            Message::LeaderHint { leader } if *leader != self.id => {
                self.send(*leader, Message::Join);
            }
            Message::Join if self.is_leader() => self.on_join(now, from),
            Message::Standby { leader_term, machines } => {
                self.on_standby(now, from, *leader_term, machines.clone());
            }
            Message::Join => {
                if let Some(leader) = self.leader.filter(|leader| *leader != from) {
                    self.send(from, Message::LeaderHint { leader });
                }
            }
            _ => {}
        }
    }

    /// Adds a replica on a new disk or a new machine as a learner.
    fn on_join(&mut self, now: Moment, from: ReplicaId) {
        let mut membership = self.membership().clone();
        let is_evicted = self.evicted.contains(&from.machine);
        if !self.is_leader() || membership.contains(from) || is_evicted {
            return;
        }
        if !self.has_room_for(from) {
            return self.reply_standby(now, from);
        }
        membership.learners.retain(|known| known.machine != from.machine);
        membership.learners.insert(from);
        self.change_membership(now, membership);
    }

    /// Whether a replica can be added: its machine already belongs to the group, or the group
    /// has fewer machines than configured.
    fn has_room_for(&self, from: ReplicaId) -> bool {
        let machines = self.membership_machines();
        let max_machines = self.settings.voters.saturating_add(self.settings.spares);
        machines.contains(&from.machine) || machines.len() < max_machines
    }

    fn reply_standby(&mut self, now: Moment, from: ReplicaId) {
        let machines = self.member_machines();
        if let Role::Leader(state) = &mut self.role {
            state.standbys.insert(from.machine, now);
        }
        let leader_term = self.hard_state.term;
        self.send(from, Message::Standby { leader_term, machines });
    }

    /// Handles the reply of a leader whose group needs no further replica.
    fn on_standby(&mut self, now: Moment, leader: ReplicaId, term: Term, machines: Vec<u32>) {
        // A paused leader may reply before it learns that it was deposed.
        let is_stale = self.standby.as_ref().is_some_and(|standby| standby.term > term);
        if self.is_leader() || is_stale {
            return;
        }
        let expires_at = now + STANDBY_EXPIRY;
        let renew_at = now + STANDBY_RENEW_INTERVAL;
        self.standby = Some(StandbyState { leader, term, machines, renew_at, expires_at });
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.election_deadline = expires_at;
    }

    /// Sends join requests if this replica is not an active member: to the leader that put it
    /// on standby, or else to every known replica.
    pub fn ask_to_join(&mut self, now: Moment, machines: &[ReplicaId]) {
        let standby = self.standby.as_ref().filter(|standby| now < standby.expires_at);
        if standby.is_some_and(|standby| now < standby.renew_at) {
            return;
        }
        if let Some(standby) = standby {
            let leader = standby.leader;
            return self.send(leader, Message::Join);
        }
        // Voters campaign instead. A learner without a leader may have been removed from the
        // group without being notified.
        let is_voter = self.membership().is_voter(self.id);
        let has_leader = self.membership().contains(self.id) && self.leader.is_some();
        if is_voter || has_leader {
            return;
        }
        let known = peers(self.membership(), self.id);
        for peer in known.into_iter().chain(machines.iter().copied()) {
            self.send(peer, Message::Join);
        }
    }

    /// Announces the leader to the non-member machines in `known` and to former standbys, unless
    /// they sent a join request recently. After a power failure, standby machines may otherwise
    /// know only each other, and clients that contact them would not find the leader.
    pub fn announce_leader(&mut self, now: Moment, known: &BTreeSet<u32>) {
        let members = self.membership_machines();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.next_announcement {
            return;
        }
        state.next_announcement = now + STANDBY_RENEW_INTERVAL;
        let renewed_recently = |machine: &u32| {
            state
                .standbys
                .get(machine)
                .is_some_and(|renewed_at| now.since(*renewed_at) <= STANDBY_RENEW_INTERVAL * 2)
        };
        let mut non_members: BTreeSet<u32> =
            known.iter().chain(state.standbys.keys()).copied().collect();
        non_members.retain(|machine| !members.contains(machine) && !renewed_recently(machine));
        for machine in non_members {
            // A leader hint is accepted regardless of the disk id.
            let non_member = ReplicaId { machine, disk: 0 };
            self.send(non_member, Message::LeaderHint { leader: self.id });
        }
    }

    /// Machines of the members in the newest membership.
    fn membership_machines(&self) -> BTreeSet<u32> {
        self.membership().all().map(|replica| replica.machine).collect()
    }

    /// Machines of the group. While this replica is on standby, those reported by the leader.
    pub fn member_machines(&self) -> Vec<u32> {
        match &self.standby {
            Some(standby) => standby.machines.clone(),
            None => self.membership().all().map(|replica| replica.machine).collect(),
        }
    }

    /// Machines without a replica that sent a join request recently and can be added.
    pub fn standby_machines(&self, now: Moment) -> BTreeSet<u32> {
        let Role::Leader(state) = &self.role else {
            return BTreeSet::new();
        };
        let renewed_recently =
            |(_, renewed_at): &(&u32, &Moment)| now.since(**renewed_at) <= STANDBY_EXPIRY;
        let members = self.membership_machines();
        let standbys = state.standbys.iter().filter(renewed_recently);
        let standbys = standbys.map(|(machine, _)| *machine);
        standbys.filter(|machine| !members.contains(machine)).collect()
    }

    /// Proposes a membership once an entry of this term is committed. Otherwise two leaders
    /// that propose different memberships could both reach a majority (Ongaro, raft-dev, 2015).
    fn change_membership(&mut self, now: Moment, membership: Membership) {
        if !self.has_committed_in_term() {
            return;
        }
        if self.propose(EntryKind::Membership(membership)).is_ok() {
            self.sync_progress(now);
            self.broadcast(now);
        }
    }

    /// Proposes the next membership change, if one is due and none is pending.
    pub(super) fn update_membership(&mut self, now: Moment) {
        if self.has_pending_membership_change() {
            return;
        }
        if let Some(next) = self.next_membership(now) {
            self.change_membership(now, next);
        }
    }

    fn next_membership(&self, now: Moment) -> Option<Membership> {
        let membership = self.membership();
        if membership.is_joint() {
            let outgoing = BTreeSet::new();
            return Some(Membership { outgoing, ..membership.clone() });
        }
        let ready = self.ready_learners(now);
        if let Some(learner) = self.learner_to_promote(membership, &ready) {
            let mut next = membership.clone();
            next.learners.remove(&learner);
            next.voters.insert(learner);
            return Some(next);
        }
        if let Some((replaced, successor)) = self.voter_to_replace(now, membership, &ready) {
            let mut next = membership.clone();
            next.outgoing = membership.voters.clone();
            next.voters.remove(&replaced);
            next.voters.insert(successor);
            next.learners.remove(&successor);
            return Some(next);
        }
        let removed = self.learner_to_remove(now, membership)?;
        let mut next = membership.clone();
        next.learners.remove(&removed);
        Some(next)
    }

    /// Whether a learner may be promoted soon and should be kept up to date.
    pub(super) fn is_learner_promotion_due(&self, now: Moment) -> bool {
        let membership = self.membership();
        let has_voter = |learner: &ReplicaId| {
            membership.voters.iter().any(|voter| voter.machine == learner.machine)
        };
        membership.voters.len() < self.settings.voters
            || membership.is_joint()
            || membership.learners.iter().any(has_voter)
            || membership
                .voters
                .iter()
                .any(|voter| *voter != self.id && self.should_replace(now, voter))
    }

    /// Learners that have all committed entries and replied recently.
    fn ready_learners(&self, now: Moment) -> Vec<ReplicaId> {
        let Role::Leader(state) = &self.role else {
            return Vec::new();
        };
        let is_ready = |learner: &&ReplicaId| {
            let progress = state.progress.get(learner);
            progress.is_some_and(|progress| {
                progress.matched >= self.commit && self.replied_recently(now, progress)
            })
        };
        let learners = self.membership().learners.iter();
        let is_eligible = |learner: &&ReplicaId| !self.evicted.contains(&learner.machine);
        learners.filter(is_ready).filter(is_eligible).copied().collect()
    }

    fn replied_recently(&self, now: Moment, progress: &Progress) -> bool {
        now.since(progress.last_reply) <= self.settings.election_max
    }

    fn learner_to_promote(
        &self,
        membership: &Membership,
        ready: &[ReplicaId],
    ) -> Option<ReplicaId> {
        if membership.voters.len() >= self.settings.voters {
            return None;
        }
        let has_voter = |learner: &&ReplicaId| {
            membership.voters.iter().any(|voter| voter.machine == learner.machine)
        };
        ready.iter().find(|learner| !has_voter(learner)).copied()
    }

    /// Returns a voter to replace and the learner that takes its place.
    fn voter_to_replace(
        &self,
        now: Moment,
        membership: &Membership,
        ready: &[ReplicaId],
    ) -> Option<(ReplicaId, ReplicaId)> {
        let others = membership.voters.iter().filter(|voter| **voter != self.id);
        for voter in others.clone() {
            let newer_disk = ready.iter().find(|learner| learner.machine == voter.machine);
            if let Some(successor) = newer_disk {
                return Some((*voter, *successor));
            }
        }
        let replaced = others.into_iter().find(|voter| self.should_replace(now, voter))?;
        ready.first().map(|successor| (*replaced, *successor))
    }

    /// Whether a voter must be replaced because it is evicted or unresponsive.
    fn should_replace(&self, now: Moment, voter: &ReplicaId) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let silence = state.progress.get(voter).map(|progress| now.since(progress.last_reply));
        let is_unresponsive = silence.is_some_and(|silence| silence > self.settings.replace_after);
        self.evicted.contains(&voter.machine) || is_unresponsive
    }

    /// Returns a learner that is evicted or has been unresponsive for long.
    fn learner_to_remove(&self, now: Moment, membership: &Membership) -> Option<ReplicaId> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let remove_after = self.settings.replace_after.saturating_mul(LEARNER_REMOVAL_FACTOR);
        let is_unresponsive = |learner: &&ReplicaId| {
            let silence =
                state.progress.get(learner).map(|progress| now.since(progress.last_reply));
            silence.is_some_and(|silence| silence > remove_after)
        };
        let is_evicted = |learner: &&ReplicaId| self.evicted.contains(&learner.machine);
        let mut learners = membership.learners.iter();
        learners.find(|learner| is_unresponsive(learner) || is_evicted(learner)).copied()
    }

    /// Whether the newest membership is committed.
    pub fn is_membership_committed(&self) -> bool {
        !self.has_pending_membership_change()
    }

    /// Whether all voters are responsive and caught up, no learner awaits promotion, and no
    /// membership change is in progress. Another machine can then fail without data loss.
    pub fn is_fully_replicated(&self, now: Moment) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let membership = self.membership();
        let has_pending_replacement = membership.learners.iter().any(|learner| {
            let same_machine = |voter: &&ReplicaId| voter.machine == learner.machine;
            membership.voters.iter().any(|voter| same_machine(&voter))
        });
        let lacks_voters = membership.voters.len() < self.settings.voters;
        let has_promotable_learner = lacks_voters && !membership.learners.is_empty();
        let is_changing = has_pending_replacement
            || has_promotable_learner
            || self.has_pending_membership_change();
        let is_current = |progress: &Progress| {
            let replied_recently = now.since(progress.last_reply) <= self.settings.election_max;
            replied_recently && progress.matched >= self.commit
        };
        let mut others = membership.voters.iter().filter(|voter| **voter != self.id);
        !is_changing
            && !membership.is_joint()
            && others.all(|voter| state.progress.get(voter).is_some_and(is_current))
    }
}
