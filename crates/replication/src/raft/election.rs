//! Elections: pre-votes, votes, and the refusal that makes leases safe.

use std::collections::BTreeSet;

use calicohoist_types::Moment;

use super::{Raft, Role};
use crate::message::{HardState, Message, ReplicaId, Term};

impl Raft {
    /// Starts an election, or with `pre` asks first whether one would be won.
    pub(super) fn campaign(&mut self, now: Moment, pre: bool, transfer: bool) {
        let is_voter = self.membership().is_voter(self.id);
        self.reset_election_deadline(now);
        // Also without a vote: a leader that is silent for so long is none to be named.
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
            return self.win(now, pre, transfer);
        }
        self.ask_for_votes(term, pre, transfer);
    }

    fn ask_for_votes(&mut self, term: Term, pre: bool, transfer: bool) {
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        let mut voters = self.membership().all_voters();
        voters.remove(&self.id);
        for voter in voters {
            let message = Message::Vote { term, last_index, last_term, pre, transfer };
            self.send(voter, message);
        }
    }

    fn win(&mut self, now: Moment, pre: bool, transfer: bool) {
        if pre {
            self.campaign(now, false, transfer);
        } else {
            self.become_leader(now);
        }
    }

    /// While a leader may hold a lease, no vote may be given, or two replicas
    /// could answer reads. A transfer is exempt: the leader gave its lease up.
    pub(super) fn must_ignore_vote(&self, now: Moment, message: &Message) -> bool {
        match message {
            Message::Vote { transfer, .. } => !transfer && now < self.votes_from,
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
        let is_free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = is_free && is_up_to_date && matches!(self.role, Role::Follower);
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
        let wanted = self.hard_state.term + u64::from(was_pre);
        let membership = self.membership().clone();
        let is_voter = membership.is_voter(from);
        let Role::Candidate { pre, granted } = &mut self.role else {
            return;
        };
        if *pre != was_pre || term != wanted || !was_granted || !is_voter {
            return;
        }
        granted.insert(from);
        if membership.has_quorum(granted) {
            self.win(now, was_pre, false);
        }
    }

    /// A valid leader was heard.
    pub(super) fn follow(&mut self, now: Moment, leader: ReplicaId) {
        self.standby = None;
        let term = self.hard_state.term;
        if !matches!(self.role, Role::Follower) || self.leader != Some(leader) {
            self.become_follower(now, term, Some(leader));
        }
        self.votes_from = now + self.settings.election_min;
        self.reset_election_deadline(now);
    }
}
