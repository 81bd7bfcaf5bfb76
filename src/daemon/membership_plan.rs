//! Planning of membership changes: the next change of a group as a pure function of the leader's
//! view.

use crate::consensus::{Member, MemberId, Members};
use crate::name::DataCentre;
use std::time::Duration;

/// A VM that was heard from within this time counts as alive.
pub(super) const ALIVE_WITHIN: Duration = Duration::from_secs(1);

/// A lost voter that nobody can replace is given up after this many times `replace_after`: longer than
/// any cut, freeze or restart that a fleet has to bear.
const GIVE_UP_FACTOR: u32 = 15;

/// The smallest group that bears a loss; it is not made smaller.
const SMALLEST_GROUP: usize = 3;

/// A VM known to the leader, under a member id that it has or had.
#[derive(Debug, Clone)]
pub struct KnownVm {
    /// Member id, name, data centre and address of the VM, and whether it has a disk.
    pub member: Member,
    /// Whether the VM has joined the cluster and is connected; only then may it be added to a group.
    pub available: bool,
    /// Time since the VM was last heard from.
    pub silent_for: Duration,
    /// Whether its process has said that it is to end.
    pub leaving: bool,
}

/// A group's membership and the known VMs, as seen by the group's leader.
#[derive(Debug)]
pub struct MembershipView<'a> {
    /// Member id of the leader itself; it is never removed.
    pub leader: MemberId,
    /// Current members; the configuration is committed.
    pub members: &'a Members,
    /// Members that have synced all committed entries.
    pub caught_up: &'a [MemberId],
    /// All VMs that the leader has heard from, itself included, and all current members.
    pub known_vms: &'a [KnownVm],
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// Time without contact after which a member counts as lost.
    pub replace_after: Duration,
}

/// A change of the membership by one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipStep {
    /// Adds a VM as a learner.
    Add(Member),
    /// Makes a learner a voter.
    Promote(Member),
    /// Removes a voter or a learner.
    Remove(Member),
}

impl MembershipStep {
    /// The membership after this step.
    pub fn apply(&self, members: &Members) -> Members {
        let mut next = members.clone();
        match self {
            Self::Add(member) => next.learners.push(member.clone()),
            Self::Promote(member) => {
                next.learners.retain(|m| m.id != member.id);
                next.voters.push(member.clone());
            }
            Self::Remove(member) => {
                next.learners.retain(|m| m.id != member.id);
                next.voters.retain(|m| m.id != member.id);
            }
        }
        next
    }
}

impl MembershipView<'_> {
    /// The next step towards the target number of voters, or `None` if no step is needed or safe.
    /// A voter that is silent or leaves is replaced before it is removed, so the number of synced copies never
    /// falls; one that lost its disk holds none. Diskless voters stay a strict minority, so every majority
    /// includes a synced copy. A step is only taken if a quorum of the resulting voters is alive.
    pub fn next_step(&self) -> Option<MembershipStep> {
        self.wanted_step().filter(|step| self.is_safe(step))
    }

    /// The next step towards the target number of voters, whether it is safe or not.
    pub(super) fn wanted_step(&self) -> Option<MembershipStep> {
        self.resolve_learner()
            .or_else(|| self.remove_excess())
            .or_else(|| self.give_up_lost())
            .or_else(|| self.add_learner())
    }

    /// Whether a quorum of the voters after a step is alive, and diskless ones are a minority.
    pub(super) fn is_safe(&self, step: &MembershipStep) -> bool {
        let next = step.apply(self.members);
        let safe = self.keeps_quorum(&next) && diskless_voters(&next) * 2 < next.voters.len();
        // Adding or removing a learner does not affect the quorum.
        let votes = next.voters.len() != self.members.voters.len();
        safe || !votes
    }

    /// Promotes the learner when it has caught up and is needed. Removes it when it is lost, or silent while
    /// another VM can take its place, or when the voters for which it was added are heard again. No other
    /// step is planned while there is a learner.
    fn resolve_learner(&self) -> Option<MembershipStep> {
        let learner = self.members.learners.first()?;
        let gives_way = !self.is_alive(learner) && self.best_candidate().is_some();
        let is_useless = !self.is_useful(learner, |m| self.is_in_doubt(m));
        if self.is_going(learner) || gives_way || is_useless {
            return Some(MembershipStep::Remove(learner.clone()));
        }
        let ready = self.caught_up.contains(&learner.id);
        let is_needed = ready && self.is_useful(learner, |m| self.is_going(m));
        is_needed.then(|| self.let_vote(learner))
    }

    /// Promotes a learner that has caught up. A voter that is gone for good is removed first where that makes
    /// the quorum no smaller: else the learner's vote is needed as long as both count, and the learner may be
    /// lost as well. One that is only silent stays until the learner votes, as it may come back.
    fn let_vote(&self, learner: &Member) -> MembershipStep {
        let promote = MembershipStep::Promote(learner.clone());
        let voters = &self.members.voters;
        if voters.len().is_multiple_of(2) {
            return promote;
        }
        let gone = voters.iter().find(|m| m.id != self.leader && self.is_gone(m));
        let removal = gone.map(|m| MembershipStep::Remove(m.clone()));
        removal.filter(|step| self.is_safe(step)).unwrap_or(promote)
    }

    /// How many more voters may be lost before no majority is left: the live voters less the quorum.
    pub fn borne_losses(&self) -> usize {
        let live = self.members.voters.iter().filter(|m| self.is_alive(m)).count();
        live.saturating_sub(self.members.quorum())
    }

    /// Removes a voter if there are more than the target: one that is lost or leaves. Another one only if
    /// all are heard, as a new leader does not know yet which of them are lost.
    fn remove_excess(&self) -> Option<MembershipStep> {
        let voters = &self.members.voters;
        if !self.members.learners.is_empty() || voters.len() <= self.target_voters {
            return None;
        }
        let others = || voters.iter().filter(|m| m.id != self.leader);
        let lost = others().find(|m| self.is_lost(m));
        let leaving = || others().find(|m| self.is_leaving(m));
        let going = lost.or_else(leaving);
        if going.is_none() && others().any(|m| !self.is_heard(m)) {
            return None;
        }
        let diskless = || others().find(|m| !m.durable);
        let crowded = || others().max_by_key(|m| self.voters_in(&m.data_centre));
        let surplus = going.or_else(diskless).or_else(crowded)?;
        Some(MembershipStep::Remove(surplus.clone()))
    }

    /// Removes a voter that has been silent for so long that it is given up, as the last resort: nobody
    /// can take its place, and the smaller group bears more losses.
    fn give_up_lost(&self) -> Option<MembershipStep> {
        let voters = &self.members.voters;
        let stays = !self.members.learners.is_empty() || voters.len() <= SMALLEST_GROUP;
        if stays || self.best_candidate().is_some() {
            return None;
        }
        let given_up = voters.iter().filter(|m| m.id != self.leader && self.is_given_up(m));
        // An odd group and the next smaller one have the same quorum, so it takes two of an odd one.
        let needed = 1 + voters.len() % 2;
        let given_up: Vec<&Member> = given_up.collect();
        (given_up.len() >= needed).then(|| MembershipStep::Remove(given_up[0].clone()))
    }

    /// Adds a learner if it is useful. It gets the log while it is still in doubt whether a silent voter is
    /// lost, and can vote at once when it is.
    fn add_learner(&self) -> Option<MembershipStep> {
        if !self.members.learners.is_empty() || self.members.voters.len() > self.target_voters {
            return None;
        }
        let candidate = self.best_candidate()?;
        let useful = self.is_useful(candidate, |m| self.is_in_doubt(m));
        useful.then(|| MembershipStep::Add(candidate.clone()))
    }

    /// Whether too few voters are live (for a diskless VM) or live with a disk (for a VM with a disk), or
    /// the VM would spread the voters over more data centres. `is_gone` tells which do not count.
    fn is_useful<F>(&self, vm: &Member, is_gone: F) -> bool
    where
        F: Fn(&Member) -> bool,
    {
        let live = || self.members.voters.iter().filter(|m| !is_gone(m));
        match vm.durable {
            true => {
                live().filter(|m| m.durable).count() < self.target_voters
                    || self.improves_spread(vm)
            }
            false => live().count() < self.target_voters,
        }
    }

    /// The VM to add next: one with a disk if possible, in the data centre with the fewest live
    /// voters.
    fn best_candidate(&self) -> Option<&Member> {
        self.candidates().min_by_key(|m| (!m.durable, self.voters_in(&m.data_centre), m.vm.clone()))
    }

    /// The VMs that may be added now.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &Member> {
        let eligible = move |known: &&KnownVm| {
            known.available
                && !known.leaving
                && known.silent_for < ALIVE_WITHIN
                && !self.members.contains(known.member.id)
        };
        // Diskless voters must stay a strict minority once this one votes.
        let allowed = move |m: &&Member| {
            m.durable || (diskless_voters(self.members) + 1) * 2 <= self.members.voters.len()
        };
        self.known_vms.iter().filter(eligible).map(|known| &known.member).filter(allowed)
    }

    /// Whether the candidate is in a data centre without live voters while another has at least
    /// two.
    fn improves_spread(&self, candidate: &Member) -> bool {
        let crowded = |m: &Member| m.id != self.leader && self.voters_in(&m.data_centre) >= 2;
        self.voters_in(&candidate.data_centre) == 0 && self.members.voters.iter().any(crowded)
    }

    fn voters_in(&self, data_centre: &DataCentre) -> usize {
        let here = |m: &&Member| m.data_centre == *data_centre && !self.is_going(m);
        self.members.voters.iter().filter(here).count()
    }

    /// Whether a member has been silent for too long, or is wiped.
    fn is_lost(&self, member: &Member) -> bool {
        let silent = |known: &KnownVm| {
            known.member.id == member.id && known.silent_for >= self.replace_after
        };
        self.known_vms.iter().any(silent) || self.is_wiped(member)
    }

    /// Whether a member will not come back as the voter that it is: it is wiped, or has ended as it said.
    fn is_gone(&self, member: &Member) -> bool {
        self.is_wiped(member) || self.is_leaving(member) && !self.is_alive(member)
    }

    /// Whether a member's VM has returned under another member id because it lost its disk: this member
    /// never comes back.
    fn is_wiped(&self, member: &Member) -> bool {
        let is_successor = |known: &KnownVm| {
            let other = known.member.vm == member.vm && known.member.id != member.id;
            other && known.available && known.silent_for < ALIVE_WITHIN
        };
        self.known_vms.iter().any(is_successor)
    }

    /// Whether a member has been silent for longer than any cut, freeze or restart lasts.
    fn is_given_up(&self, member: &Member) -> bool {
        let limit = self.replace_after * GIVE_UP_FACTOR;
        let known = self.known_vms.iter().find(|known| known.member.id == member.id);
        known.is_some_and(|known| known.silent_for >= limit)
    }

    fn is_leaving(&self, member: &Member) -> bool {
        self.known_vms.iter().any(|known| known.member.id == member.id && known.leaving)
    }

    /// Whether a member is lost, or is about to end.
    pub(super) fn is_going(&self, member: &Member) -> bool {
        self.is_lost(member) || self.is_leaving(member)
    }

    /// Whether a member may soon count as lost, or is about to end.
    fn is_in_doubt(&self, member: &Member) -> bool {
        let known = self.known_vms.iter().find(|known| known.member.id == member.id);
        let is_silent = known.is_some_and(|known| known.silent_for >= self.replace_after / 2);
        is_silent || self.is_going(member)
    }

    fn keeps_quorum(&self, next: &Members) -> bool {
        next.voters.iter().filter(|m| self.is_alive(m)).count() >= next.quorum()
    }

    /// Whether a member is alive and its link is connected.
    fn is_heard(&self, member: &Member) -> bool {
        let known = self.known_vms.iter().find(|known| known.member.id == member.id);
        known.is_some_and(|known| known.available && known.silent_for < ALIVE_WITHIN)
    }

    fn is_alive(&self, member: &Member) -> bool {
        let known = self.known_vms.iter().find(|known| known.member.id == member.id);
        known.is_some_and(|known| known.silent_for < ALIVE_WITHIN)
    }
}

/// When a voter was last heard, in a leader's view; all times count from the start of its process. Until a
/// voter has acknowledged something to this leader, its silence counts from the start of the office, and
/// once it has had the time to answer, from when its link was last `heard`.
pub fn voter_heard(
    acknowledged: Option<Duration>,
    heard: Duration,
    leader_since: Duration,
    now: Duration,
) -> Duration {
    match acknowledged {
        Some(at) => at.max(leader_since),
        None if now < leader_since + ALIVE_WITHIN => leader_since,
        None => heard.min(leader_since),
    }
}

fn diskless_voters(members: &Members) -> usize {
    members.voters.iter().filter(|m| !m.durable).count()
}
