//! Pre-votes and elections.

use super::raft::Role;
use super::{MemberId, MessageBody, Raft};
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

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
        self.role = Role::PreCandidate { votes, ask_at: self.now, yield_until: Duration::ZERO };
        self.repeat_pre_vote();
        self.count_pre_votes();
    }

    /// Asks the voters that have not granted a pre-vote, if it is time to. One that has just started
    /// grants none at first, and a request to one that is not connected is lost.
    pub(super) fn repeat_pre_vote(&mut self) {
        let (now, interval) = (self.now, self.timing.heartbeat_interval);
        let voters = self.other_voters();
        let Role::PreCandidate { votes, ask_at, .. } = &mut self.role else { return };
        if now < *ask_at {
            return;
        }
        *ask_at = now + interval;
        let missing: Vec<_> = voters.into_iter().filter(|voter| !votes.contains(voter)).collect();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in missing {
            let body = MessageBody::RequestPreVote { last_index, last_term };
            self.send(voter, self.hard_state.term + 1, body);
        }
    }

    fn start_election(&mut self, leadership_transfer: bool) {
        self.reset_election_timer();
        self.set_hard_state(self.hard_state.term + 1, Some(self.id));
        let (votes, refusals) = (BTreeSet::from([self.id]), BTreeSet::new());
        self.role = Role::Candidate { votes, refusals };
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
        if granted {
            self.yield_to(from, last_index, last_term);
        }
    }

    /// Leaves the election to a candidate of higher rank for a while, so that they don't split the
    /// votes. The other may lack connections that this member has, so between two such whiles it
    /// may start an election.
    fn yield_to(&mut self, other: MemberId, last_index: u64, last_term: u64) {
        let own = (self.log.last_term(), self.log.last_index(), self.id);
        let (now, timing) = (self.now, self.timing);
        let Role::PreCandidate { yield_until, .. } = &mut self.role else { return };
        if own < (last_term, last_index, other) && now >= *yield_until + timing.heartbeat_interval {
            *yield_until = now + timing.election_timeout / 2;
        }
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
        if let Role::PreCandidate { votes, .. } = &mut self.role {
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
        if term != self.hard_state.term {
            return;
        }
        let Role::Candidate { votes, refusals } = &mut self.role else { return };
        match granted {
            true => votes.insert(from),
            false => refusals.insert(from),
        };
        self.count_votes();
        self.hasten_lost_election();
    }

    /// Brings the next election forward if this one cannot be won any more, as the votes were split.
    fn hasten_lost_election(&mut self) {
        let Role::Candidate { refusals, .. } = &self.role else { return };
        let refused = refusals.iter().filter(|id| self.members.is_voter(**id)).count();
        if self.members.voters.len() - refused >= self.members.quorum() {
            return;
        }
        let max_jitter_ms = self.timing.heartbeat_interval.as_millis() as u64 * 2;
        let jitter = Duration::from_millis(self.rng.random_range(0..=max_jitter_ms));
        self.election_deadline = self.election_deadline.min(self.now + jitter);
    }

    pub(super) fn on_timeout_now(&mut self, from: MemberId, term: u64) {
        let from_leader = matches!(self.role, Role::Follower { leader } if leader == Some(from));
        if term != self.hard_state.term || !from_leader || !self.members.is_voter(self.id) {
            return;
        }
        self.start_election(true);
    }

    pub(super) fn count_pre_votes(&mut self) {
        let Role::PreCandidate { votes, yield_until, .. } = &self.role else { return };
        if self.now >= *yield_until && self.has_quorum(votes) {
            self.start_election(false);
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { votes, .. } = &self.role else { return };
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
