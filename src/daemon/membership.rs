//! The leader's care for its groups' members: learners first, then voters.

use super::Node;
use super::membership_plan::{MembershipStep, MembershipView, Seen};
use crate::consensus::{Member, MemberId};
use crate::event::Event;
use crate::group::{Group, GroupStatus, since_start};
use crate::peer::PeerIdentity;
use crate::settings::Settings;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often members are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Takes over the cluster's identity from peers, and looks after the groups that this daemon leads.
pub async fn keep_members(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        adopt_cluster(&node);
        connect(&node);
        for group in node.cluster.groups() {
            let status = group.status();
            if status.leading && group.may_serve_reads() {
                look_after(&node, group, &status).await;
            }
        }
    }
}

/// Connects to the seeds and the members, where daemons find each other by seeds.
fn connect(node: &Node) {
    let Settings { seeds, peers, .. } = &node.settings;
    if seeds.is_empty() {
        return;
    }
    let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), peers.port()));
    let mut wanted: BTreeSet<SocketAddr> = seeds.collect();
    for group in node.cluster.groups() {
        wanted.extend(group.status().members.all().map(|member| member.address));
    }
    wanted.iter().for_each(|address| node.cluster.net().dial(*address));
    node.cluster.net().prune(&wanted);
}

fn adopt_cluster(node: &Node) {
    if node.identity().cluster.is_some() {
        return;
    }
    let Some(cluster) = node.cluster.net().up().iter().find_map(|peer| peer.cluster) else {
        return;
    };
    if let Err(error) = node.join(cluster) {
        log::error!("cannot join the cluster: {error}");
    }
}

async fn look_after(node: &Node, group: &Group, status: &GroupStatus) {
    let Some(step) = next_step(node, status) else { return };
    match group.change_members(step.apply(&status.members)).await {
        Ok(()) => node.journal.record(event(group, step)),
        Err(error) => log::debug!("{}: members not changed: {error}", group.id()),
    }
}

fn next_step(node: &Node, status: &GroupStatus) -> Option<MembershipStep> {
    let synced = |(id, matched): &(MemberId, u64)| (*matched >= status.commit_index).then_some(*id);
    let caught_up: Vec<_> = status.match_indexes.iter().filter_map(synced).collect();
    let view = MembershipView {
        own: node.member().id,
        members: &status.members,
        caught_up: &caught_up,
        seen: &seen(node, status),
        wanted: node.settings.voters,
        replace_after: node.settings.replace_after,
    };
    view.next()
}

/// Every VM that is or was in reach, and those members that this daemon has never heard.
fn seen(node: &Node, status: &GroupStatus) -> Vec<Seen> {
    let now = since_start();
    let mut all = vec![Seen { member: node.member(), joined: true, silent: Duration::ZERO }];
    for (identity, heard) in node.cluster.net().heard() {
        let PeerIdentity { vm, member: id, data_centre, address, durable, cluster, .. } = identity;
        let acked = status.last_contacts.iter().find(|(other, _)| *other == id).map(|(_, at)| *at);
        // A voter that answers pings but not the group is as good as silent.
        let last = match status.members.is_voter(id) {
            true => acked.unwrap_or_default().max(status.leader_since),
            false => heard,
        };
        let member = Member { id, vm, data_centre, address, durable };
        all.push(Seen { member, joined: cluster.is_some(), silent: now.saturating_sub(last) });
    }
    for member in status.members.all() {
        if !all.iter().any(|seen| seen.member.id == member.id) {
            let silent = now.saturating_sub(status.leader_since);
            all.push(Seen { member: member.clone(), joined: true, silent });
        }
    }
    all
}

fn event(group: &Group, step: MembershipStep) -> Event {
    let group = group.id().to_string();
    match step {
        MembershipStep::Add(member) => Event::MemberAdded { group, vm: member.vm },
        MembershipStep::Promote(member) => Event::MemberPromoted { group, vm: member.vm },
        MembershipStep::Remove(member) => Event::MemberRemoved { group, vm: member.vm },
    }
}
