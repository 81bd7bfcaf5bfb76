//! The leader's care for its groups' members: learners first, then voters.

use super::Node;
use crate::consensus::{Member, Members};
use crate::event::Event;
use crate::group::{Group, GroupStatus};
use crate::peer::PeerIdentity;
use std::sync::Arc;
use std::time::Duration;

/// How often members are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Takes over the cluster's identity from peers, and looks after the groups that this daemon leads.
pub async fn keep_members(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        adopt_cluster(&node);
        for group in node.cluster.groups() {
            let status = group.status();
            if status.leading && group.may_serve() {
                look_after(&node, group, &status).await;
            }
        }
    }
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
    let Some((next, event)) = next_members(node, group, status) else { return };
    match group.change(next).await {
        Ok(()) => node.journal.record(event),
        Err(error) => log::debug!("{}: members not changed: {error}", group.id()),
    }
}

/// One step towards the voters that are wanted.
fn next_members(node: &Node, group: &Group, status: &GroupStatus) -> Option<(Members, Event)> {
    let name = group.id().to_string();
    let members = &status.members;
    if let Some(learner) = caught_up(status) {
        let mut next = members.clone();
        next.learners.retain(|m| m.id != learner.id);
        next.voters.push(learner.clone());
        return Some((next, Event::MemberPromoted { group: name, vm: learner.vm }));
    }
    if members.voters.len() + members.learners.len() >= node.settings.voters {
        return None;
    }
    let fits = |peer: &PeerIdentity| {
        peer.durable && peer.cluster.is_some() && !members.all().any(|m| m.vm == peer.vm)
    };
    let peer = node.cluster.net().up().into_iter().find(fits)?;
    let PeerIdentity { vm, member: id, data_centre, durable, .. } = peer;
    let mut next = members.clone();
    next.learners.push(Member { id, vm: vm.clone(), data_centre, durable });
    Some((next, Event::MemberAdded { group: name, vm }))
}

fn caught_up(status: &GroupStatus) -> Option<Member> {
    let synced = |m: &&Member| status.matched.contains(&(m.id, status.last));
    status.members.learners.iter().find(synced).cloned()
}
