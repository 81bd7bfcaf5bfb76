//! The leader: proposals, lease, membership changes and leadership transfer.

use super::raft::{LeadershipTransfer, ProposeError, Role};
use super::{Entry, MemberId, Members, MessageBody, Payload, Progress, Raft};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::time::Duration;

impl Raft {
    pub(super) fn become_leader(&mut self) {
        let next_index = self.log.last_index() + 1;
        let initial = Progress { next_index, ..Progress::default() };
        let peers: BTreeMap<_, _> =
            self.other_members().into_iter().map(|id| (id, initial.clone())).collect();
        self.role =
            Role::Leader { peers, first_index: next_index, transfer: LeadershipTransfer::Idle };
        // No response can have arrived yet, so the time until a step-down counts from here.
        self.leader_contact = Some(self.now);
        self.append_payload(Payload::Empty);
    }

    /// Proposes a command and returns the index and term of its entry. The command is committed once
    /// [`super::Output::committed`] holds an entry with that index and term.
    ///
    /// # Errors
    /// If this member is not the leader or is transferring its leadership.
    pub fn propose(&mut self, command: Bytes) -> Result<(u64, u64), ProposeError> {
        if !matches!(self.role, Role::Leader { transfer: LeadershipTransfer::Idle, .. }) {
            return Err(ProposeError::NotLeader);
        }
        Ok(self.append_payload(Payload::Command(command)))
    }

    /// Proposes a new membership and returns the index and term of its entry.
    ///
    /// # Errors
    /// If this member is not the leader or is transferring its leadership, if an earlier change is
    /// pending, or if the change adds or removes more than one voter or leaves none.
    pub fn change_members(&mut self, members: Members) -> Result<(u64, u64), ProposeError> {
        let Role::Leader { first_index, transfer: LeadershipTransfer::Idle, .. } = &self.role
        else {
            return Err(ProposeError::NotLeader);
        };
        if self.commit_index < *first_index || self.members_index > self.commit_index {
            return Err(ProposeError::ChangePending);
        }
        if !self.members.is_single_change(&members) {
            return Err(ProposeError::TooManyChanges);
        }
        let position = self.append_payload(Payload::Members(members));
        self.update_peers();
        self.broadcast();
        Ok(position)
    }

    /// Starts to transfer leadership to another voter as soon as one has the whole log; rejects
    /// proposals from here on. Returns false if this member is not the leader or no other member
    /// is a voter.
    pub fn transfer_leadership(&mut self) -> bool {
        let now = self.now;
        let Role::Leader { peers, transfer, .. } = &mut self.role else { return false };
        if !peers.keys().any(|id| self.members.is_voter(*id)) {
            return false;
        }
        if *transfer == LeadershipTransfer::Idle {
            *transfer = LeadershipTransfer::Waiting { since: now };
        }
        self.try_transfer();
        true
    }

    /// Tells a voter that has the whole log to start an election, if a transfer waits for one.
    pub(super) fn try_transfer(&mut self) {
        let (now, last) = (self.now, self.log.last_index());
        let Role::Leader { peers, transfer, .. } = &mut self.role else { return };
        if !matches!(transfer, LeadershipTransfer::Waiting { .. }) {
            return;
        }
        let caught_up =
            |(id, p): &(&MemberId, &Progress)| self.members.is_voter(**id) && p.match_index == last;
        // Of the voters that have the whole log, the one with the latest contact is the most likely
        // to be alive.
        let target =
            peers.iter().filter(caught_up).max_by_key(|(_, p)| p.last_contact).map(|(id, _)| *id);
        let Some(target) = target else { return };
        *transfer = LeadershipTransfer::TimeoutNowSent { since: now };
        self.send(target, self.hard_state.term, MessageBody::TimeoutNow);
    }

    /// Ends a transfer that takes longer than the election timeout. One that still waits for a voter
    /// is cancelled. If `TimeoutNow` was sent, the leader steps down, as the receiver may still
    /// start its election.
    fn expire_transfer(&mut self) {
        let now = self.now;
        let Role::Leader { transfer, .. } = &mut self.role else { return };
        match *transfer {
            LeadershipTransfer::Waiting { since } if now > since + self.timing.election_timeout => {
                *transfer = LeadershipTransfer::Idle;
            }
            LeadershipTransfer::TimeoutNowSent { since }
                if now > since + self.timing.election_timeout =>
            {
                self.become_follower(self.hard_state.term, None);
            }
            _ => {}
        }
    }

    /// Whether this member may serve linearizable reads from its own state at `now`: it is the
    /// leader, has committed an entry of its term and holds its lease.
    pub fn may_serve_reads(&self, now: Duration) -> bool {
        match &self.role {
            Role::Leader { first_index, .. } => {
                self.commit_index >= *first_index && self.lease_holds(now)
            }
            _ => false,
        }
    }

    /// When the lease expires, until which no other leader can be elected; `None` if this member
    /// holds no lease.
    pub fn lease_expiry(&self) -> Option<Duration> {
        if let Role::Leader { transfer: LeadershipTransfer::TimeoutNowSent { .. }, .. } = &self.role
        {
            return None;
        }
        self.quorum_contact().map(|contact| contact + self.timing.lease_duration())
    }

    pub(super) fn lease_holds(&self, now: Duration) -> bool {
        self.lease_expiry().is_some_and(|until| now < until)
    }

    /// The latest send time such that a quorum has answered a message sent then or later; this
    /// member counts as having answered now.
    fn quorum_contact(&self) -> Option<Duration> {
        let Role::Leader { peers, .. } = &self.role else { return None };
        let contact = |id: MemberId| match id == self.id {
            true => Some(self.now),
            false => peers.get(&id).and_then(|p| p.last_contact),
        };
        let mut times: Vec<_> = self.members.voters.iter().map(|m| contact(m.id)).collect();
        times.sort();
        times.reverse();
        times.get(self.members.quorum() - 1).copied().flatten()
    }

    pub(super) fn tick_leader(&mut self) {
        self.expire_transfer();
        if self.is_disk_stalled() {
            self.transfer_leadership();
        }
        let last_contact = self.quorum_contact().max(self.leader_contact);
        if last_contact.is_some_and(|at| self.now > at + self.timing.election_timeout * 2) {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let Role::Leader { peers, .. } = &self.role else { return };
        let is_due = |p: &Progress| self.now >= p.last_sent + self.timing.heartbeat_interval;
        let due: Vec<_> = peers.iter().filter(|(_, p)| is_due(p)).map(|(id, _)| *id).collect();
        for id in due {
            self.send_append(id, true);
        }
    }

    fn append_payload(&mut self, payload: Payload) -> (u64, u64) {
        let (index, term) = (self.log.last_index() + 1, self.hard_state.term);
        self.append_entry(Entry { index, term, payload });
        self.broadcast();
        (index, term)
    }

    fn broadcast(&mut self) {
        for id in self.other_members() {
            self.send_append(id, false);
        }
    }

    /// Fits the replication state of the peers to the current membership.
    pub(super) fn update_peers(&mut self) {
        let others = self.other_members();
        let next_index = self.log.last_index() + 1;
        let Role::Leader { peers, .. } = &mut self.role else { return };
        peers.retain(|id, _| others.contains(id));
        for id in others {
            peers.entry(id).or_insert_with(|| Progress { next_index, ..Progress::default() });
        }
    }
}
