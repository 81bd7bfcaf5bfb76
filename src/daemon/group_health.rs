//! The health of a group as its leader sees it: a pure function of the planner's view, and the lines
//! that tell what has changed from one report to the next.

use super::Node;
use super::membership_plan::{ALIVE_WITHIN, KnownVm, MembershipStep, MembershipView};
use crate::consensus::{Member, MemberId};
use crate::group::{Group, GroupId, GroupStatus};
use crate::name::VmName;
use crate::peer::HealthView;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A daemon that a leader hears from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenDaemon {
    /// The VM that it runs on.
    pub vm: VmName,
    /// The address on which it accepts connections from peers.
    pub address: SocketAddr,
    /// Whether it votes in the group.
    pub votes: bool,
}

/// A voter that a leader does not hear from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentVoter {
    /// The VM that it runs on.
    pub vm: VmName,
    /// How long it has been silent.
    pub silent_for: Duration,
}

/// What a leader does next about the members of its group, and why if it does nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipPlan {
    /// Nothing is to be done.
    Complete,
    /// This step is next; consensus may refuse it.
    Step(MembershipStep),
    /// This step is wanted and not taken: too few of the voters after it would be live or have a disk.
    Unsafe(MembershipStep),
    /// The learner on this VM has not synced all committed entries yet.
    AwaitLearner(VmName),
    /// A voter is silent, not yet for long enough to be replaced.
    AwaitSilent,
    /// Too few voters run, and the leader sees no VM that could be added.
    NoSpare,
}

/// The health of a group as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupHealth {
    /// Number of voters.
    pub voters: usize,
    /// Number of voters that the group should have.
    pub wished_voters: usize,
    /// Number of voters that the leader hears from, itself included.
    pub live_voters: usize,
    /// Number of VMs that the leader sees and could add.
    pub spares: usize,
    /// Number of live voters that may be lost now before the group has no majority.
    pub losses_borne: usize,
    /// Number of voters that the group is to bear the loss of, by the settings.
    pub losses_promised: usize,
    /// The voters that the leader does not hear from.
    pub silent_voters: Vec<SilentVoter>,
    /// The daemons that the leader hears from, members or not.
    pub daemons: BTreeMap<MemberId, SeenDaemon>,
    /// What the leader does next.
    pub plan: MembershipPlan,
}

impl GroupHealth {
    /// The health of a group, from the view of its leader.
    pub fn of(view: &MembershipView<'_>) -> Self {
        let daemons = seen_daemons(view);
        let voters = &view.members.voters;
        let live_voters = voters.iter().filter(|m| daemons.contains_key(&m.id)).count();
        let silent = voters.iter().filter(|m| !daemons.contains_key(&m.id));
        let silent_voters: Vec<_> = silent.map(|m| silent_voter(view, m)).collect();
        Self {
            voters: voters.len(),
            wished_voters: view.target_voters,
            live_voters,
            spares: view.candidates().count(),
            losses_borne: live_voters.saturating_sub(view.members.quorum()),
            losses_promised: view.target_voters.saturating_sub(1) / 2,
            plan: plan(view, !silent_voters.is_empty()),
            silent_voters,
            daemons,
        }
    }

    /// Lines for the log that tell what has changed since an earlier report; the first report has none
    /// before it. Empty if nothing has changed but times.
    pub fn changes_since(&self, before: Option<&Self>) -> Vec<String> {
        let mut lines = self.daemon_changes(before);
        if before.is_none_or(|before| self.counts() != before.counts()) {
            lines.push(self.to_string());
        }
        if before.is_none_or(|before| self.plan != before.plan) {
            lines.push(self.plan.to_string());
        }
        lines
    }

    /// The same for operators.
    fn to_view(&self, group: GroupId, leader: VmName) -> HealthView {
        let silent = |voter: &SilentVoter| (voter.vm.clone(), voter.silent_for.as_millis() as u64);
        HealthView {
            group,
            leader,
            voters: self.voters as u32,
            wished_voters: self.wished_voters as u32,
            live_voters: self.live_voters as u32,
            spares: self.spares as u32,
            losses_borne: self.losses_borne as u32,
            losses_promised: self.losses_promised as u32,
            silent_voters: self.silent_voters.iter().map(silent).collect(),
            plan: self.plan.to_string(),
        }
    }

    fn daemon_changes(&self, before: Option<&Self>) -> Vec<String> {
        let none = BTreeMap::new();
        let earlier = before.map_or(&none, |before| &before.daemons);
        let gained = self.daemons.iter().filter(|(id, _)| !earlier.contains_key(id));
        let gained = gained.map(|(_, daemon)| format!("{daemon} is known to the leader"));
        let lost = earlier.iter().filter(|(id, _)| !self.daemons.contains_key(id));
        let lost = lost.map(|(_, daemon)| format!("{daemon} is lost to the leader"));
        gained.chain(lost).collect()
    }

    /// All that the line of the whole group shows, without times.
    fn counts(&self) -> ([usize; 5], Vec<&VmName>) {
        let Self { voters, wished_voters, live_voters, spares, losses_borne, .. } = *self;
        let silent = self.silent_voters.iter().map(|voter| &voter.vm).collect();
        ([voters, wished_voters, live_voters, spares, losses_borne], silent)
    }
}

impl Node {
    /// The health of all groups that this daemon leads, for operators.
    pub fn health_views(&self) -> Vec<HealthView> {
        self.cluster.groups().filter_map(|group| self.health_view(group)).collect()
    }

    fn health_view(&self, group: &Group) -> Option<HealthView> {
        let status = group.status();
        let leads = status.leading && group.may_serve_reads();
        leads.then(|| self.group_health(&status).to_view(group.id(), self.member().vm))
    }

    /// The health of a group that this daemon leads.
    pub(super) fn group_health(&self, status: &GroupStatus) -> GroupHealth {
        self.with_membership_view(status, GroupHealth::of)
    }
}

/// The daemons that are connected and were heard from just now. A new leader counts no voter in before
/// it has a connection to it.
fn seen_daemons(view: &MembershipView<'_>) -> BTreeMap<MemberId, SeenDaemon> {
    let is_seen = |known: &&KnownVm| known.available && known.silent_for < ALIVE_WITHIN;
    let seen = view.known_vms.iter().filter(is_seen).map(|known| &known.member);
    let entry = |m: &Member| {
        let votes = view.members.is_voter(m.id);
        (m.id, SeenDaemon { vm: m.vm.clone(), address: m.address, votes })
    };
    seen.map(entry).collect()
}

fn silent_voter(view: &MembershipView<'_>, voter: &Member) -> SilentVoter {
    let known = view.known_vms.iter().filter(|known| known.member.id == voter.id);
    let silent_for = known.map(|known| known.silent_for).min().unwrap_or_default();
    SilentVoter { vm: voter.vm.clone(), silent_for }
}

fn plan(view: &MembershipView<'_>, any_silent: bool) -> MembershipPlan {
    if let Some(step) = view.wanted_step() {
        return match view.is_safe(&step) {
            true => MembershipPlan::Step(step),
            false => MembershipPlan::Unsafe(step),
        };
    }
    if let Some(learner) = view.members.learners.first() {
        return MembershipPlan::AwaitLearner(learner.vm.clone());
    }
    let staying = view.members.voters.iter().filter(|m| !view.is_going(m)).count();
    if staying < view.target_voters {
        return MembershipPlan::NoSpare;
    }
    match any_silent {
        true => MembershipPlan::AwaitSilent,
        false => MembershipPlan::Complete,
    }
}

impl fmt::Display for SeenDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = if self.votes { "a voter" } else { "no voter" };
        write!(f, "{} ({}, {role})", self.vm, self.address)
    }
}

impl fmt::Display for GroupHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { voters, wished_voters, live_voters, spares, .. } = self;
        let Self { losses_borne, losses_promised, .. } = self;
        write!(
            f,
            "{voters} of {wished_voters} wished voters, {live_voters} live, spares seen: {spares}; \
             losses borne: {losses_borne}, promised: {losses_promised}; silent voters: "
        )?;
        let describe = |SilentVoter { vm, silent_for }: &SilentVoter| {
            format!("{vm} for {:.1} s", silent_for.as_secs_f64())
        };
        let silent: Vec<String> = self.silent_voters.iter().map(describe).collect();
        match silent.is_empty() {
            true => f.write_str("none"),
            false => f.write_str(&silent.join(", ")),
        }
    }
}

impl fmt::Display for MembershipPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete => f.write_str("no step: nothing is to be done"),
            Self::Step(step) => write!(f, "step planned: {step}"),
            Self::Unsafe(step) => write!(
                f,
                "step not taken: {step}: too few voters would be live, or too few would have a disk"
            ),
            Self::AwaitLearner(vm) => write!(f, "no step: the learner {vm} has not caught up yet"),
            Self::AwaitSilent => f.write_str("no step: a voter is silent, not yet for long enough"),
            Self::NoSpare => f.write_str("no step: voters are missing, and no spare is seen"),
        }
    }
}

impl fmt::Display for MembershipStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Add(member) => write!(f, "add {} as a learner", member.vm),
            Self::Promote(member) => write!(f, "let {} vote", member.vm),
            Self::Remove(member) => write!(f, "remove {}", member.vm),
        }
    }
}
