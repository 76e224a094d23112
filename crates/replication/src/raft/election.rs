//! Leader election with pre-votes. Votes are refused while a leader may hold a lease.

use std::collections::BTreeSet;

use calicohoist_types::Moment;

use super::{Raft, Role};
use crate::message::{HardState, Message, ReplicaId, Term};

impl Raft {
    /// Starts an election, or a pre-vote if `pre` is set.
    pub(super) fn campaign(&mut self, now: Moment, pre: bool, transfer: bool) {
        let is_voter = self.membership().is_voter(self.id);
        self.reset_election_deadline(now);
        // Non-voters forget a silent leader as well, so that it is not reported any longer.
        self.leader = None;
        if !is_voter {
            return;
        }
        let term = self.hard_state.term + 1;
        if !pre {
            self.hard_state = HardState { term, vote: Some(self.id) };
            self.effects.hard_state = Some(self.hard_state);
        }
        self.role = Role::Candidate { pre, granted: BTreeSet::from([self.id]) };
        if self.membership().has_quorum(&BTreeSet::from([self.id])) {
            return self.on_quorum_granted(now, pre, transfer);
        }
        self.request_votes(term, pre, transfer);
    }

    fn request_votes(&mut self, term: Term, pre: bool, transfer: bool) {
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        let mut voters = self.membership().all_voters();
        voters.remove(&self.id);
        for voter in voters {
            let message = Message::Vote { term, last_index, last_term, pre, transfer };
            self.send(voter, message);
        }
    }

    fn on_quorum_granted(&mut self, now: Moment, pre: bool, transfer: bool) {
        if pre {
            self.campaign(now, false, transfer);
        } else {
            self.become_leader(now);
        }
    }

    /// Whether a vote request must be refused because a leader may still hold a lease; otherwise
    /// two replicas could serve reads. During a transfer the leader has given up its lease.
    pub(super) fn must_refuse_vote(&self, now: Moment, message: &Message) -> bool {
        match message {
            Message::Vote { transfer, .. } => !transfer && now < self.votes_allowed_from,
            _ => false,
        }
    }

    pub(super) fn refuse_vote(&mut self, from: ReplicaId, message: &Message) {
        if let Message::Vote { pre, .. } = message {
            self.reply_to_vote(from, self.hard_state.term, false, *pre);
        }
    }

    fn reply_to_vote(&mut self, to: ReplicaId, term: Term, granted: bool, pre: bool) {
        self.send(to, Message::VoteReply { term, granted, pre });
    }

    pub(super) fn on_vote(&mut self, now: Moment, from: ReplicaId, message: &Message) {
        let Message::Vote { term, last_index, last_term, pre, .. } = message else {
            return;
        };
        let ours = (self.log.last_term(), self.log.last_index());
        let is_up_to_date = (*last_term, *last_index) >= ours;
        if *pre {
            let granted = is_up_to_date && *term > self.hard_state.term && !self.is_leader();
            let reply_term = if granted { *term } else { self.hard_state.term };
            return self.reply_to_vote(from, reply_term, granted, true);
        }
        let can_vote_for = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = can_vote_for && is_up_to_date && matches!(self.role, Role::Follower);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.effects.hard_state = Some(self.hard_state);
        }
        if granted {
            self.reset_election_deadline(now);
        }
        self.reply_to_vote(from, self.hard_state.term, granted, false);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        term: Term,
        was_granted: bool,
        was_pre: bool,
    ) {
        let expected_term = self.hard_state.term + u64::from(was_pre);
        let membership = self.membership().clone();
        let is_voter = membership.is_voter(from);
        let Role::Candidate { pre, granted } = &mut self.role else {
            return;
        };
        if *pre != was_pre || term != expected_term || !was_granted || !is_voter {
            return;
        }
        granted.insert(from);
        if membership.has_quorum(granted) {
            self.on_quorum_granted(now, was_pre, false);
        }
    }

    /// Handles a sign of life from the leader of the current term.
    pub(super) fn follow(&mut self, now: Moment, leader: ReplicaId) {
        self.standby = None;
        let term = self.hard_state.term;
        if !matches!(self.role, Role::Follower) || self.leader != Some(leader) {
            self.become_follower(now, term, Some(leader));
        }
        self.votes_allowed_from = now + self.settings.election_min;
        self.reset_election_deadline(now);
    }
}
