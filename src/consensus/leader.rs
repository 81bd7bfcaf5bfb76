//! A leader's part: proposals, lease, membership changes, hand-over.

use super::core::{ProposeError, Role, Yielding};
use super::{Body, Core, Entry, MemberId, Members, Payload, Progress};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::time::Duration;

impl Core {
    pub(super) fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let start = Progress { next, ..Progress::default() };
        let peers: BTreeMap<_, _> =
            self.others().into_iter().map(|id| (id, start.clone())).collect();
        self.role = Role::Leader { peers, first: next, yielding: Yielding::No };
        // The step-down clock starts now: no answer can have come yet.
        self.heard = Some(self.now);
        self.append_payload(Payload::Empty);
    }

    /// Proposes a command; it is committed once an entry with this index and term is handed out.
    ///
    /// # Errors
    /// Where this member does not lead.
    pub fn propose(&mut self, command: Bytes) -> Result<(u64, u64), ProposeError> {
        if !matches!(self.role, Role::Leader { yielding: Yielding::No, .. }) {
            return Err(ProposeError::NotLeader);
        }
        Ok(self.append_payload(Payload::Command(command)))
    }

    /// Proposes new members.
    ///
    /// # Errors
    /// Where this member does not lead, an earlier change is pending, or more than one voter
    /// changes.
    pub fn change(&mut self, members: Members) -> Result<(u64, u64), ProposeError> {
        let Role::Leader { first, yielding: Yielding::No, .. } = &self.role else {
            return Err(ProposeError::NotLeader);
        };
        if self.commit < *first || self.members_index > self.commit {
            return Err(ProposeError::ChangePending);
        }
        if !self.members.one_step(&members) {
            return Err(ProposeError::TooManyChanges);
        }
        let placed = self.append_payload(Payload::Members(members));
        self.follow_members();
        self.broadcast();
        Ok(placed)
    }

    /// Hands leadership to a voter as soon as one has the whole log, and takes no more proposals.
    /// False where this member does not lead or is the only voter.
    pub fn hand_over(&mut self) -> bool {
        let now = self.now;
        let Role::Leader { peers, yielding, .. } = &mut self.role else { return false };
        if !peers.keys().any(|id| self.members.is_voter(*id)) {
            return false;
        }
        if *yielding == Yielding::No {
            *yielding = Yielding::Waiting { since: now };
        }
        self.try_hand_over();
        true
    }

    /// Tells a voter that has everything to take over, where a hand-over waits for one.
    pub(super) fn try_hand_over(&mut self) {
        let (now, last) = (self.now, self.log.last_index());
        let Role::Leader { peers, yielding, .. } = &mut self.role else { return };
        if !matches!(yielding, Yielding::Waiting { .. }) {
            return;
        }
        let ready =
            |(id, p): &(&MemberId, &Progress)| self.members.is_voter(**id) && p.matched == last;
        // Of those that have everything, the one heard last is the likeliest to be alive.
        let best = peers.iter().filter(ready).max_by_key(|(_, p)| p.acked).map(|(id, _)| *id);
        let Some(best) = best else { return };
        *yielding = Yielding::Told { since: now };
        self.send(best, self.hard.term, Body::HandOver);
    }

    /// Ends a hand-over that came to nothing: one that waits is called off, one that was told ends
    /// the leadership, as the member that was told may still start its election.
    fn end_hand_over(&mut self) {
        let now = self.now;
        let Role::Leader { yielding, .. } = &mut self.role else { return };
        match *yielding {
            Yielding::Waiting { since } if now > since + self.timing.election => {
                *yielding = Yielding::No;
            }
            Yielding::Told { since } if now > since + self.timing.election => {
                self.become_follower(self.hard.term, None);
            }
            _ => {}
        }
    }

    /// Whether this member leads, has committed in its term and holds its lease at `now`.
    pub fn may_serve(&self, now: Duration) -> bool {
        match &self.role {
            Role::Leader { first, .. } => self.commit >= *first && self.lease_holds(now),
            _ => false,
        }
    }

    /// Until when a quorum will elect nobody else; `None` where this member may not rely on it.
    pub fn lease_until(&self) -> Option<Duration> {
        if let Role::Leader { yielding: Yielding::Told { .. }, .. } = &self.role {
            return None;
        }
        self.quorum_acked().map(|acked| acked + self.timing.lease())
    }

    pub(super) fn lease_holds(&self, now: Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// The newest time of sending that a quorum has answered; this member answers itself at once.
    fn quorum_acked(&self) -> Option<Duration> {
        let Role::Leader { peers, .. } = &self.role else { return None };
        let acked = |id: MemberId| match id == self.id {
            true => Some(self.now),
            false => peers.get(&id).and_then(|p| p.acked),
        };
        let mut times: Vec<_> = self.members.voters.iter().map(|m| acked(m.id)).collect();
        times.sort();
        times.reverse();
        times.get(self.members.quorum() - 1).copied().flatten()
    }

    pub(super) fn tick_leader(&mut self) {
        self.end_hand_over();
        let answered = self.quorum_acked().max(self.heard);
        if answered.is_some_and(|at| self.now > at + self.timing.election * 2) {
            self.become_follower(self.hard.term, None);
            return;
        }
        let Role::Leader { peers, .. } = &self.role else { return };
        let due = |p: &Progress| self.now >= p.sent + self.timing.heartbeat;
        let due: Vec<_> = peers.iter().filter(|(_, p)| due(p)).map(|(id, _)| *id).collect();
        for id in due {
            self.send_append(id, true);
        }
    }

    fn append_payload(&mut self, payload: Payload) -> (u64, u64) {
        let (index, term) = (self.log.last_index() + 1, self.hard.term);
        self.append_own(Entry { index, term, payload });
        self.broadcast();
        (index, term)
    }

    fn broadcast(&mut self) {
        for id in self.others() {
            self.send_append(id, false);
        }
    }

    pub(super) fn follow_members(&mut self) {
        let others = self.others();
        let next = self.log.last_index() + 1;
        let Role::Leader { peers, .. } = &mut self.role else { return };
        peers.retain(|id, _| others.contains(id));
        for id in others {
            peers.entry(id).or_insert_with(|| Progress { next, ..Progress::default() });
        }
    }
}
