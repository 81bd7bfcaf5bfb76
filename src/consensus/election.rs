//! Pre-vote and election.

use super::core::Role;
use super::{Body, Core, MemberId};
use std::collections::BTreeSet;

impl Core {
    /// Whether this member may stand for election: as a voter, and also while its own removal may
    /// still be uncommitted, as it may be the only one whose log is complete (Ongaro, 2014,
    /// section 4.2.2).
    pub(super) fn may_stand(&self) -> bool {
        if self.members.is_voter(self.id) {
            return true;
        }
        self.members_index > self.commit
            && self.log.members_at(self.members_index - 1).1.is_voter(self.id)
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election();
        let granted = BTreeSet::from([self.id]);
        self.role = Role::PreCandidate { granted };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send(voter, self.hard.term + 1, Body::PreVote { last_index, last_term });
        }
        self.count_pre_votes();
    }

    fn start_election(&mut self, handed_over: bool) {
        self.reset_election();
        self.set_term(self.hard.term + 1, Some(self.id));
        self.role = Role::Candidate { granted: BTreeSet::from([self.id]) };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            let body = Body::Vote { last_index, last_term, handed_over };
            self.send(voter, self.hard.term, body);
        }
        self.count_votes();
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let granted =
            term > self.hard.term && !self.hears_leader() && self.is_current(last_index, last_term);
        let answer_term = if granted { term } else { self.hard.term };
        self.send(from, answer_term, Body::PreVoteAnswer { granted });
    }

    pub(super) fn on_pre_vote_answer(&mut self, from: MemberId, term: u64, yes: bool) {
        if !yes {
            if term > self.hard.term {
                self.become_follower(term, None);
            }
            return;
        }
        if term != self.hard.term + 1 {
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_pre_votes();
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        last_term: u64,
        handed_over: bool,
    ) {
        // A voter that hears its leader refuses without taking the term over: the leader's lease
        // rests on this.
        if !handed_over && self.hears_leader() {
            return;
        }
        if term > self.hard.term {
            self.become_follower(term, None);
        }
        let free = self.hard.vote.is_none() || self.hard.vote == Some(from);
        let granted = term == self.hard.term && free && self.is_current(last_index, last_term);
        if granted {
            self.set_term(term, Some(from));
            self.reset_election();
        }
        self.send(from, self.hard.term, Body::VoteAnswer { granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: MemberId, term: u64, yes: bool) {
        if term > self.hard.term {
            self.become_follower(term, None);
            return;
        }
        if term != self.hard.term || !yes {
            return;
        }
        if let Role::Candidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn on_hand_over(&mut self, from: MemberId, term: u64) {
        let known = matches!(self.role, Role::Follower { leader } if leader == Some(from));
        if term != self.hard.term || !known || !self.members.is_voter(self.id) {
            return;
        }
        self.start_election(true);
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate { granted } = &self.role else { return };
        if self.is_quorum(granted) {
            self.start_election(false);
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { granted } = &self.role else { return };
        if self.is_quorum(granted) {
            self.become_leader();
        }
    }

    fn is_quorum(&self, granted: &BTreeSet<MemberId>) -> bool {
        let count = granted.iter().filter(|id| self.members.is_voter(**id)).count();
        count >= self.members.quorum()
    }

    fn is_current(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Whether a leader may be relying on this member.
    fn hears_leader(&self) -> bool {
        if self.now < self.quiet_until {
            return true;
        }
        if self.is_leader() {
            return self.lease_holds(self.now);
        }
        self.heard.is_some_and(|heard| self.now < heard + self.timing.election)
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.members.voters.iter().map(|m| m.id).filter(|id| *id != self.id).collect()
    }
}
