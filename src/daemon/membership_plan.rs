//! Which change of a group's members comes next: a pure function of what its leader sees.

use crate::consensus::{Member, MemberId, Members};
use crate::name::DataCentre;
use std::time::Duration;

/// A member that answered within this time counts as alive.
const ALIVE_WITHIN: Duration = Duration::from_secs(1);

/// One VM that the leader knows of, in its newest incarnation.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The VM as a member.
    pub member: Member,
    /// Whether it belongs to the cluster, and so may be added.
    pub joined: bool,
    /// How long it has been silent.
    pub silent: Duration,
}

/// What a group's leader sees.
#[derive(Debug)]
pub struct MembershipView<'a> {
    /// The leader.
    pub own: MemberId,
    /// The members, all committed.
    pub members: &'a Members,
    /// Learners that have synced everything committed.
    pub caught_up: &'a [MemberId],
    /// All VMs ever heard, the leader's own among them.
    pub seen: &'a [Seen],
    /// How many voters to aim for.
    pub wanted: usize,
    /// How long a member may be silent before it is replaced.
    pub replace_after: Duration,
}

/// One change of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipStep {
    /// Add a learner.
    Add(Member),
    /// Make a learner a voter.
    Promote(Member),
    /// Remove a voter or a learner.
    Remove(Member),
}

impl MembershipStep {
    /// The members after the step.
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
    /// The next step towards the wanted voters, or `None` where nothing should or can change.
    ///
    /// A lost voter's place is taken before the lost one is removed, so that the number of synced
    /// copies never falls. Stand-ins stay a strict minority, so that every majority holds a synced
    /// copy. No step is taken that leaves less than a quorum of members that are alive.
    pub fn next(&self) -> Option<MembershipStep> {
        let step = self.settle_learner().or_else(|| self.shrink()).or_else(|| self.grow())?;
        let next = step.apply(self.members);
        let safe = self.keeps_quorum(&next) && stand_ins(&next) * 2 < next.voters.len();
        // Adding or dropping a learner changes no quorum.
        let votes = next.voters.len() != self.members.voters.len();
        (safe || !votes).then_some(step)
    }

    /// Promotes the learner or drops it; nothing else happens while there is one.
    fn settle_learner(&self) -> Option<MembershipStep> {
        let learner = self.members.learners.first()?;
        if self.is_lost(learner) {
            return Some(MembershipStep::Remove(learner.clone()));
        }
        let ready = self.caught_up.contains(&learner.id);
        ready.then(|| MembershipStep::Promote(learner.clone()))
    }

    /// Removes a voter that is too many.
    fn shrink(&self) -> Option<MembershipStep> {
        if !self.members.learners.is_empty() {
            return None;
        }
        let voters = &self.members.voters;
        let others = || voters.iter().filter(|m| m.id != self.own);
        let lost = others().find(|m| self.is_lost(m));
        // Two lost of five leave no spare vote; without them, three of three do.
        let hopeless = voters.len() > 3 && lost.is_some() && self.spare().is_none();
        if voters.len() <= self.wanted && !hopeless {
            return None;
        }
        let stand_in = || others().find(|m| !m.durable);
        let crowded = || others().max_by_key(|m| self.voters_in(&m.data_centre));
        let gone = lost.or_else(stand_in).or_else(crowded)?;
        Some(MembershipStep::Remove(gone.clone()))
    }

    /// Adds a learner where there are too few good voters.
    fn grow(&self) -> Option<MembershipStep> {
        if !self.members.learners.is_empty() || self.members.voters.len() > self.wanted {
            return None;
        }
        let spare = self.spare()?;
        let voters = &self.members.voters;
        let good = voters.iter().filter(|m| m.durable && !self.is_lost(m)).count();
        let kept = voters.iter().filter(|m| !self.is_lost(m)).count();
        let useful = match spare.durable {
            true => good < self.wanted || self.spreads(spare),
            false => kept < self.wanted,
        };
        useful.then(|| MembershipStep::Add(spare.clone()))
    }

    /// The best VM to add: one with a disk, in the data centre with the fewest voters.
    fn spare(&self) -> Option<&Member> {
        let fits = |seen: &&Seen| {
            seen.joined && seen.silent < ALIVE_WITHIN && !self.members.contains(seen.member.id)
        };
        // A stand-in must be one of a strict minority as soon as it votes.
        let allowed = |m: &&Member| {
            m.durable || (stand_ins(self.members) + 1) * 2 <= self.members.voters.len()
        };
        let spares = self.seen.iter().filter(fits).map(|seen| &seen.member).filter(allowed);
        spares.min_by_key(|m| (!m.durable, self.voters_in(&m.data_centre), m.vm.clone()))
    }

    /// Whether a spare stands in a data centre without voters while another has two.
    fn spreads(&self, spare: &Member) -> bool {
        let crowded = |m: &Member| m.id != self.own && self.voters_in(&m.data_centre) >= 2;
        self.voters_in(&spare.data_centre) == 0 && self.members.voters.iter().any(crowded)
    }

    fn voters_in(&self, data_centre: &DataCentre) -> usize {
        let here = |m: &&Member| m.data_centre == *data_centre && !self.is_lost(m);
        self.members.voters.iter().filter(here).count()
    }

    /// Whether a member is silent for too long, or its VM came back without its disk.
    fn is_lost(&self, member: &Member) -> bool {
        let silent = |seen: &Seen| seen.member.id == member.id && seen.silent >= self.replace_after;
        let reborn = |seen: &Seen| {
            let other = seen.member.vm == member.vm && seen.member.id != member.id;
            other && seen.silent < ALIVE_WITHIN
        };
        self.seen.iter().any(|seen| silent(seen) || reborn(seen))
    }

    fn keeps_quorum(&self, next: &Members) -> bool {
        let alive = |m: &&Member| {
            let seen = self.seen.iter().find(|seen| seen.member.id == m.id);
            seen.is_some_and(|seen| seen.silent < ALIVE_WITHIN)
        };
        next.voters.iter().filter(alive).count() >= next.quorum()
    }
}

fn stand_ins(members: &Members) -> usize {
    members.voters.iter().filter(|m| !m.durable).count()
}
