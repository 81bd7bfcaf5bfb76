//! Whom a daemon can ask for the leader of a group, and whether anybody can lead it.

use super::{Cluster, Link, PeerClient};
use crate::consensus::{MemberId, Members};
use crate::group::{Group, GroupId, GroupStatus, since_start};
use crate::name::VmName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A peer counts as silent when it has not responded for this long: two pings of a link and a little more.
const SILENCE: Duration = Duration::from_millis(650);

/// A connected daemon that may lead a group, or know who does.
#[derive(Debug, Clone)]
pub struct Askable {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The client for calls to it.
    pub client: PeerClient,
    /// Whether it is the leader, as far as this daemon knows.
    pub leads: bool,
    /// Whether it has not responded lately. It may just be slow.
    pub silent: bool,
}

impl Cluster {
    /// All connected daemons that may lead a group or know who does.
    pub fn askable(&self, id: GroupId) -> Vec<Askable> {
        let leader = self.leader(id);
        let askable = |link: &Arc<Link>| {
            let (vm, client) = (link.identity()?.vm, link.client()?);
            let leads = leader.as_ref() == Some(&vm);
            Some(Askable { vm, client, leads, silent: is_silent(link) })
        };
        self.peers().all().iter().filter_map(askable).collect()
    }

    /// Whether it is known here that nobody can lead a group now. `election` is the group's election
    /// timeout.
    pub fn lacks_majority(&self, id: GroupId, election: Duration) -> bool {
        let Some(group) = self.group(id) else { return false };
        let (status, own) = (group.status(), group.member());
        if status.leading {
            return has_lost_quorum(group, &status, election);
        }
        let members = self.newest_members(id, &status);
        match members.is_voter(own) {
            true => status.leader.is_none() && self.hears_too_few(&members, own),
            false => self.hears_nobody(),
        }
    }

    /// The newest members of a group that this daemon knows of. One that was replaced while it was away
    /// still holds an older membership, of which it is a voter.
    pub(super) fn newest_members(&self, id: GroupId, status: &GroupStatus) -> Members {
        let directory = self.peers().groups().directory();
        let told = directory.group(id).filter(|told| told.version > status.members_version);
        told.map_or_else(|| status.members.clone(), |told| told.members.clone())
    }

    fn hears_too_few(&self, members: &Members, own: MemberId) -> bool {
        let links = self.peers().all();
        let silent: Vec<SocketAddr> =
            links.iter().filter(|link| is_silent(link)).map(|link| link.address()).collect();
        let voters = members.voters.iter();
        // A voter without a link is new here: it may well be heard from.
        let may_live = voters.filter(|voter| voter.id == own || !silent.contains(&voter.address));
        may_live.count() < members.quorum()
    }

    /// Whether none of the daemons that this one knows is connected, for a while already.
    fn hears_nobody(&self) -> bool {
        let links = self.peers().all();
        !links.is_empty() && links.iter().all(|link| is_silent(link) && link.client().is_none())
    }
}

fn is_silent(link: &Link) -> bool {
    link.silent_for() > SILENCE
}

/// Whether this member leads in name only: a quorum has not answered it for an election timeout.
fn has_lost_quorum(group: &Group, status: &GroupStatus, election: Duration) -> bool {
    if group.may_serve_reads() {
        return false;
    }
    let now = since_start();
    let contact = |id: MemberId| match id == group.member() {
        true => now,
        false => {
            let known = status.last_contacts.iter().find(|(other, _)| *other == id);
            known.map_or(Duration::ZERO, |(_, at)| *at)
        }
    };
    let mut contacts: Vec<_> = status.members.voters.iter().map(|m| contact(m.id)).collect();
    contacts.sort();
    contacts.reverse();
    let contact = contacts.get(status.members.quorum().saturating_sub(1)).copied();
    now > contact.unwrap_or_default().max(status.leader_since) + election
}
