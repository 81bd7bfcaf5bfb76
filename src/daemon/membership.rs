//! Membership changes by the leaders of groups, and discovery of the cluster and its members.

use super::Node;
use super::health_watch::HealthWatch;
use super::membership_plan::{KnownVm, MembershipStep, MembershipView, voter_heard};
use crate::consensus::{Member, MemberId};
use crate::event::Event;
use crate::group::{Group, GroupStatus, since_start};
use crate::peer::PeerIdentity;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which membership and connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Adopts the cluster id from peers, keeps connections to members, and changes the membership of
/// the groups that this daemon leads, forever.
pub async fn maintain_members(node: Arc<Node>) {
    let mut watch = HealthWatch::default();
    let groups = node.cluster.peers().groups();
    loop {
        node.cluster.groups().for_each(|group| groups.learn(group.id(), &group.status()));
        adopt_cluster(&node);
        connect_peers(&node);
        for group in node.cluster.groups() {
            let status = group.status();
            if status.leading && group.may_serve_reads() {
                watch.report(group.id(), node.group_health(&status));
                // Notes that there are enough voters while that is so.
                node.is_forming();
                change_members(&node, group, &status, &mut watch).await;
            } else {
                watch.stop(group.id());
            }
        }
        // Ends early when a peer has connected or told something new.
        let _ = tokio::time::timeout(CHECK_INTERVAL, groups.wait()).await;
    }
}

/// Connects to the seeds and to all known members of groups, if daemons discover each other through
/// seeds. Each member connects back, so whoever leads knows this daemon. Old links to other daemons are
/// dropped.
fn connect_peers(node: &Node) {
    if !node.discovers() {
        return;
    }
    let seeds = node.seeds.borrow().clone();
    let port = node.settings.peer_address.port();
    let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
    let mut addresses: BTreeSet<SocketAddr> = seeds.collect();
    let directory = node.cluster.peers().groups().directory();
    addresses.extend(directory.members().map(|member| member.address));
    for group in node.cluster.groups() {
        let status = group.status();
        let told = directory.group(group.id()).map(|told| told.version);
        // A committed membership is in the directory, or replaced by a newer one there.
        if told < Some(status.members_version) {
            addresses.extend(status.members.all().map(|member| member.address));
        }
    }
    addresses.iter().for_each(|address| node.cluster.peers().add(*address));
    node.cluster.peers().prune(&addresses);
}

fn adopt_cluster(node: &Node) {
    if node.identity().cluster.is_some() {
        return;
    }
    let Some(cluster) = node.cluster.peers().connected().iter().find_map(|peer| peer.cluster)
    else {
        return;
    };
    if let Err(error) = node.join(cluster) {
        log::error!("cannot join the cluster: {error}");
    }
}

async fn change_members(node: &Node, group: &Group, status: &GroupStatus, watch: &mut HealthWatch) {
    let Some(step) = node.next_member_step(status) else { return };
    let outcome = group.change_members(step.apply(&status.members)).await;
    watch.record_outcome(group.id(), &step, outcome);
    if outcome.is_ok() {
        node.journal.record(step_event(group, step));
    }
}

impl Node {
    /// The next change of the members of a group that this daemon leads.
    pub(super) fn next_member_step(&self, status: &GroupStatus) -> Option<MembershipStep> {
        self.with_membership_view(status, |view| view.next_step())
    }

    /// Calls `read` with what this daemon, the leader of a group, sees of its members.
    pub(super) fn with_membership_view<F, T>(&self, status: &GroupStatus, read: F) -> T
    where
        F: FnOnce(&MembershipView<'_>) -> T,
    {
        let is_synced =
            |(id, matched): &(MemberId, u64)| (*matched >= status.commit_index).then_some(*id);
        let caught_up: Vec<_> = status.match_indexes.iter().filter_map(is_synced).collect();
        let view = MembershipView {
            leader: self.member().id,
            members: &status.members,
            caught_up: &caught_up,
            known_vms: &known_vms(self, status),
            target_voters: self.settings.target_voters,
            replace_after: self.settings.replace_after,
        };
        read(&view)
    }
}

/// All VMs that this daemon has heard from, itself, and members that it has never heard from.
fn known_vms(node: &Node, status: &GroupStatus) -> Vec<KnownVm> {
    let now = since_start();
    let connected: BTreeSet<MemberId> =
        node.cluster.peers().connected().iter().map(|peer| peer.member).collect();
    let mut all = vec![KnownVm {
        member: node.member(),
        available: true,
        silent_for: Duration::ZERO,
        leaving: false,
    }];
    for (identity, heard) in node.cluster.peers().last_heard() {
        let PeerIdentity { vm, member: id, data_centre, address, durable, cluster, run, .. } =
            identity;
        let acknowledged =
            status.last_contacts.iter().find(|(other, _)| *other == id).map(|(_, at)| *at);
        // A voter that answers pings but not the group's messages counts as silent.
        let last = match status.members.is_voter(id) {
            true => voter_heard(acknowledged, heard, status.leader_since, now),
            false => heard,
        };
        let member = Member { id, vm, data_centre, address, durable };
        all.push(KnownVm {
            member,
            available: cluster.is_some() && connected.contains(&id),
            silent_for: now.saturating_sub(last),
            leaving: node.departures.contains(id, run),
        });
    }
    for member in status.members.all() {
        if !all.iter().any(|known| known.member.id == member.id) {
            let silent_for = now.saturating_sub(status.leader_since);
            let member = member.clone();
            all.push(KnownVm { member, available: false, silent_for, leaving: false });
        }
    }
    all
}

fn step_event(group: &Group, step: MembershipStep) -> Event {
    let group = group.id().to_string();
    match step {
        MembershipStep::Add(member) => Event::MemberAdded { group, vm: member.vm },
        MembershipStep::Promote(member) => Event::MemberPromoted { group, vm: member.vm },
        MembershipStep::Remove(member) => Event::MemberRemoved { group, vm: member.vm },
    }
}
