//! Pre-votes and elections.

use super::raft::Role;
use super::{MemberId, MessageBody, Raft};
use std::collections::BTreeSet;

impl Raft {
    /// Whether this member may start an election: if it is a voter, or if its own removal may still
    /// be uncommitted. In that case it may be the only member with a complete log (Ongaro, 2014,
    /// section 4.2.2).
    pub(super) fn may_campaign(&self) -> bool {
        if self.members.is_voter(self.id) {
            return true;
        }
        self.members_index > self.commit_index
            && self.log.members_at(self.members_index - 1).1.is_voter(self.id)
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        let votes = BTreeSet::from([self.id]);
        self.role = Role::PreCandidate { votes };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send(
                voter,
                self.hard_state.term + 1,
                MessageBody::RequestPreVote { last_index, last_term },
            );
        }
        self.count_pre_votes();
    }

    fn start_election(&mut self, leadership_transfer: bool) {
        self.reset_election_timer();
        self.set_hard_state(self.hard_state.term + 1, Some(self.id));
        self.role = Role::Candidate { votes: BTreeSet::from([self.id]) };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            let body = MessageBody::RequestVote { last_index, last_term, leadership_transfer };
            self.send(voter, self.hard_state.term, body);
        }
        self.count_votes();
    }

    pub(super) fn on_request_pre_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let granted = term > self.hard_state.term
            && !self.leader_may_be_alive()
            && self.is_up_to_date(last_index, last_term);
        let response_term = if granted { term } else { self.hard_state.term };
        self.send(from, response_term, MessageBody::PreVoteResponse { granted });
    }

    pub(super) fn on_pre_vote_response(&mut self, from: MemberId, term: u64, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None);
            }
            return;
        }
        if term != self.hard_state.term + 1 {
            return;
        }
        if let Role::PreCandidate { votes } = &mut self.role {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        last_term: u64,
        leadership_transfer: bool,
    ) {
        // Ignores the request, including its term, while the leader may be alive: the leader's
        // lease relies on this.
        if !leadership_transfer && self.leader_may_be_alive() {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let can_vote = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        let granted =
            term == self.hard_state.term && can_vote && self.is_up_to_date(last_index, last_term);
        if granted {
            self.set_hard_state(term, Some(from));
            self.reset_election_timer();
        }
        self.send(from, self.hard_state.term, MessageBody::VoteResponse { granted });
    }

    pub(super) fn on_vote_response(&mut self, from: MemberId, term: u64, granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        if term != self.hard_state.term || !granted {
            return;
        }
        if let Role::Candidate { votes } = &mut self.role {
            votes.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: MemberId, term: u64) {
        let from_leader = matches!(self.role, Role::Follower { leader } if leader == Some(from));
        if term != self.hard_state.term || !from_leader || !self.members.is_voter(self.id) {
            return;
        }
        self.start_election(true);
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate { votes } = &self.role else { return };
        if self.has_quorum(votes) {
            self.start_election(false);
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { votes } = &self.role else { return };
        if self.has_quorum(votes) {
            self.become_leader();
        }
    }

    fn has_quorum(&self, votes: &BTreeSet<MemberId>) -> bool {
        let count = votes.iter().filter(|id| self.members.is_voter(**id)).count();
        count >= self.members.quorum()
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Whether a leader may hold a lease that relies on this member not voting for anyone else.
    fn leader_may_be_alive(&self) -> bool {
        if self.now < self.earliest_vote {
            return true;
        }
        if self.is_leader() {
            return self.lease_holds(self.now);
        }
        self.leader_contact.is_some_and(|contact| self.now < contact + self.timing.election_timeout)
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.members.voters.iter().map(|m| m.id).filter(|id| *id != self.id).collect()
    }
}
