//! Membership changes that a leader makes by itself, one replica at a time.
//!
//! A new disk learns first. It gets a vote when the group has fewer voters than wanted,
//! or in exchange for a voter that is replaced: whose machine has a newer disk, that is
//! evicted, or that has been silent for long.

use std::collections::BTreeSet;
use std::time::Duration;

use calicohoist_types::Moment;

use super::leader::Progress;
use super::{Raft, Role, peers};
use crate::message::{EntryKind, Membership, Message, ReplicaId, Term};

/// A silent learner is dropped after this many times the patience with a voter.
const FORGET_FACTOR: u32 = 3;
/// Time between two questions of a machine that stands by. A place that falls vacant is
/// taken within it.
const STANDBY_RENEWAL: Duration = Duration::from_millis(1_000);
/// How long a machine that stands by takes the leader for one: two of its answers may be lost.
const STANDBY_HOLDS: Duration = Duration::from_millis(3_200);

/// What a leader told a replica that is to stand by.
#[derive(Clone, Debug)]
pub(super) struct StandbyOrder {
    leader: ReplicaId,
    term: Term,
    machines: Vec<u32>,
    /// When to ask again.
    renew_at: Moment,
    /// From when the leader counts as unknown.
    ends: Moment,
}

impl Raft {
    /// Names the machines that must hold no replica. The leader moves their votes to
    /// other machines and refuses their requests to join.
    pub fn set_evicted(&mut self, machines: BTreeSet<u32>) {
        self.evicted = machines;
    }

    /// Whether this replica knows a leader whose group `from` does not belong to.
    pub(super) fn is_unaware_outsider(&self, from: ReplicaId) -> bool {
        self.leader.is_some() && !self.membership().contains(from)
    }

    /// Messages that need no membership. Whoever does not lead names the leader: a new
    /// machine may know only members that follow.
    pub(super) fn on_outsider(&mut self, now: Moment, from: ReplicaId, message: &Message) {
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

    /// A replica on a new disk, or on a new machine, asks to join: it first learns.
    fn on_join(&mut self, now: Moment, from: ReplicaId) {
        let mut membership = self.membership().clone();
        let is_evicted = self.evicted.contains(&from.machine);
        if !self.is_leader() || membership.contains(from) || is_evicted {
            return;
        }
        if !self.has_room_for(from) {
            return self.let_stand_by(now, from);
        }
        membership.learners.retain(|known| known.machine != from.machine);
        membership.learners.insert(from);
        self.change_membership(now, membership);
    }

    /// Whether a replica may learn: its machine has a part in the group already, or there
    /// are fewer replicas than wanted.
    fn has_room_for(&self, from: ReplicaId) -> bool {
        let machines = self.machines();
        let wanted = self.settings.voters.saturating_add(self.settings.spares);
        machines.contains(&from.machine) || machines.len() < wanted
    }

    fn let_stand_by(&mut self, now: Moment, from: ReplicaId) {
        let machines = self.member_machines();
        if let Role::Leader(state) = &mut self.role {
            state.standbys.insert(from.machine, now);
        }
        let leader_term = self.hard_state.term;
        self.send(from, Message::Standby { leader_term, machines });
    }

    /// A leader whose group needs no further replica: there is nothing to campaign for.
    fn on_standby(&mut self, now: Moment, leader: ReplicaId, term: Term, machines: Vec<u32>) {
        // A leader that was frozen answers before it notices that another one leads.
        let is_stale = self.standby.as_ref().is_some_and(|order| order.term > term);
        if self.is_leader() || is_stale {
            return;
        }
        let ends = now + STANDBY_HOLDS;
        let renew_at = now + STANDBY_RENEWAL;
        self.standby = Some(StandbyOrder { leader, term, machines, renew_at, ends });
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.election_deadline = ends;
    }

    /// Asks to be let in, when not a member: the leader whose group needed no further
    /// replica, or every known replica.
    pub fn ask_to_join(&mut self, now: Moment, machines: &[ReplicaId]) {
        let standby = self.standby.as_ref().filter(|order| now < order.ends);
        if standby.is_some_and(|order| now < order.renew_at) {
            return;
        }
        if let Some(order) = standby {
            let leader = order.leader;
            return self.send(leader, Message::Join);
        }
        // A voter campaigns. A learner that hears no leader may have been left out meanwhile:
        // nobody would tell it.
        let is_voter = self.membership().is_voter(self.id);
        let is_led = self.membership().contains(self.id) && self.leader.is_some();
        if is_voter || is_led {
            return;
        }
        let known = peers(self.membership(), self.id);
        for peer in known.into_iter().chain(machines.iter().copied()) {
            self.send(peer, Message::Join);
        }
    }

    /// Tells machines outside the group who leads: those of `known` that have not asked lately,
    /// and those that asked once. Otherwise machines that every new process asks first, and that
    /// hold nothing, know only each other after a loss of power, and whoever asks them finds no leader.
    pub fn call_outsiders(&mut self, now: Moment, known: &BTreeSet<u32>) {
        let members = self.machines();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.next_call {
            return;
        }
        state.next_call = now + STANDBY_RENEWAL;
        let asked_lately = |machine: &u32| {
            state
                .standbys
                .get(machine)
                .is_some_and(|asked| now.since(*asked) <= STANDBY_RENEWAL * 2)
        };
        let mut outsiders: BTreeSet<u32> =
            known.iter().chain(state.standbys.keys()).copied().collect();
        outsiders.retain(|machine| !members.contains(machine) && !asked_lately(machine));
        for machine in outsiders {
            // Whatever its disk: a hint is taken by any.
            let outsider = ReplicaId { machine, disk: 0 };
            self.send(outsider, Message::LeaderHint { leader: self.id });
        }
    }

    /// Machines that have a part in the group.
    fn machines(&self) -> BTreeSet<u32> {
        self.membership().all().map(|replica| replica.machine).collect()
    }

    /// Machines of the group: those that the leader named, while this replica stands by.
    pub fn member_machines(&self) -> Vec<u32> {
        match &self.standby {
            Some(order) => order.machines.clone(),
            None => self.membership().all().map(|replica| replica.machine).collect(),
        }
    }

    /// Machines without a replica that a leader may call on: they asked lately.
    pub fn standby_machines(&self, now: Moment) -> BTreeSet<u32> {
        let Role::Leader(state) = &self.role else {
            return BTreeSet::new();
        };
        let asked_lately = |(_, asked): &(&u32, &Moment)| now.since(**asked) <= STANDBY_HOLDS;
        let members = self.machines();
        let standbys = state.standbys.iter().filter(asked_lately);
        let standbys = standbys.map(|(machine, _)| *machine);
        standbys.filter(|machine| !members.contains(machine)).collect()
    }

    /// A change waits until the leader has committed an entry of its own term: two
    /// leaders that change different memberships could otherwise both find a majority
    /// (Ongaro, raft-dev, 2015).
    fn change_membership(&mut self, now: Moment, membership: Membership) {
        if !self.has_committed_in_term() {
            return;
        }
        if self.propose(EntryKind::Membership(membership)).is_ok() {
            self.sync_progress(now);
            self.broadcast(now);
        }
    }

    /// Makes at most one change: drops a replaced voter, or gives a learner its vote.
    pub(super) fn manage_members(&mut self, now: Moment) {
        if self.has_unfinished_change() {
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
        if let Some(learner) = self.learner_with_free_vote(membership, &ready) {
            let mut next = membership.clone();
            next.learners.remove(&learner);
            next.voters.insert(learner);
            return Some(next);
        }
        if let Some((replaced, successor)) = self.exchange(now, membership, &ready) {
            let mut next = membership.clone();
            next.outgoing = membership.voters.clone();
            next.voters.remove(&replaced);
            next.voters.insert(successor);
            next.learners.remove(&successor);
            return Some(next);
        }
        let useless = self.useless_learner(now, membership)?;
        let mut next = membership.clone();
        next.learners.remove(&useless);
        Some(next)
    }

    /// Whether a learner may be given a vote soon.
    pub(super) fn wants_learners(&self, now: Moment) -> bool {
        let membership = self.membership();
        let has_vote = |learner: &ReplicaId| {
            membership.voters.iter().any(|voter| voter.machine == learner.machine)
        };
        membership.voters.len() < self.settings.voters
            || membership.is_joint()
            || membership.learners.iter().any(has_vote)
            || membership.voters.iter().any(|voter| *voter != self.id && self.is_lost(now, voter))
    }

    /// Learners that have everything committed and answered lately.
    fn ready_learners(&self, now: Moment) -> Vec<ReplicaId> {
        let Role::Leader(state) = &self.role else {
            return Vec::new();
        };
        let is_ready = |learner: &&ReplicaId| {
            let known = state.progress.get(learner);
            known.is_some_and(|known| known.matched >= self.commit && self.was_heard(now, known))
        };
        let learners = self.membership().learners.iter();
        let may_vote = |learner: &&ReplicaId| !self.evicted.contains(&learner.machine);
        learners.filter(is_ready).filter(may_vote).copied().collect()
    }

    fn was_heard(&self, now: Moment, progress: &Progress) -> bool {
        now.since(progress.heard) <= self.settings.election_max
    }

    fn learner_with_free_vote(
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

    /// A voter that is replaced, and the ready learner that takes its vote over.
    fn exchange(
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
        let replaced = others.into_iter().find(|voter| self.is_lost(now, voter))?;
        ready.first().map(|successor| (*replaced, *successor))
    }

    /// Whether a voter is to be replaced: evicted, or silent for too long.
    fn is_lost(&self, now: Moment, voter: &ReplicaId) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let silent = state.progress.get(voter).map(|known| now.since(known.heard));
        let is_silent = silent.is_some_and(|silent| silent > self.settings.replace_after);
        self.evicted.contains(&voter.machine) || is_silent
    }

    /// A learner that is evicted, or that nobody has heard of for very long.
    fn useless_learner(&self, now: Moment, membership: &Membership) -> Option<ReplicaId> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let forget_after = self.settings.replace_after.saturating_mul(FORGET_FACTOR);
        let is_gone = |learner: &&ReplicaId| {
            let silent = state.progress.get(learner).map(|known| now.since(known.heard));
            silent.is_some_and(|silent| silent > forget_after)
        };
        let is_evicted = |learner: &&ReplicaId| self.evicted.contains(&learner.machine);
        let mut learners = membership.learners.iter();
        learners.find(|learner| is_gone(learner) || is_evicted(learner)).copied()
    }

    /// Whether the newest membership is committed.
    pub fn has_settled_membership(&self) -> bool {
        !self.has_unfinished_change()
    }

    /// Whether every machine of the group has one caught-up voter: then another
    /// machine may be lost without losing anything.
    pub fn is_fully_replicated(&self, now: Moment) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let membership = self.membership();
        let has_pending = membership.learners.iter().any(|learner| {
            let same_machine = |voter: &&ReplicaId| voter.machine == learner.machine;
            membership.voters.iter().any(|voter| same_machine(&voter))
        });
        let lacks_voters = membership.voters.len() < self.settings.voters;
        let lets_wait = lacks_voters && !membership.learners.is_empty();
        let is_changing = has_pending || lets_wait || self.has_unfinished_change();
        let is_current = |progress: &Progress| {
            let was_heard = now.since(progress.heard) <= self.settings.election_max;
            was_heard && progress.matched >= self.commit
        };
        let mut others = membership.voters.iter().filter(|voter| **voter != self.id);
        !is_changing
            && !membership.is_joint()
            && others.all(|voter| state.progress.get(voter).is_some_and(is_current))
    }
}
