use super::{KnownGroups, Link, LinkContext, PeerClient, PeerIdentity, ProtocolVersion};
use crate::consensus::MemberId;
use crate::event::Journal;
use crate::name::VmName;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// How long a link that is no longer needed may be silent before it is closed.
const UNUSED_LINK_TIMEOUT: Duration = Duration::from_secs(30);

/// The links to the other daemons.
pub struct PeerLinks {
    context: LinkContext,
    links: RwLock<Vec<Arc<Link>>>,
}

impl PeerLinks {
    /// Starts a link to each address.
    pub fn spawn(
        addresses: &[SocketAddr],
        secret: &str,
        local: PeerIdentity,
        journal: &Arc<Journal>,
    ) -> Self {
        let context = LinkContext {
            secret: secret.to_owned(),
            local: Arc::new(RwLock::new(local)),
            journal: journal.clone(),
            groups: Arc::default(),
        };
        let peers = Self { context, links: RwLock::default() };
        addresses.iter().for_each(|address| peers.add(*address));
        peers
    }

    /// Starts a link to an address, unless it already has one or is this daemon's own address.
    pub fn add(&self, address: SocketAddr) {
        let mut links = self.links.write().expect("links lock poisoned");
        let known = links.iter().any(|link| link.address() == address);
        if known || self.local_identity().address == address {
            return;
        }
        links.push(Link::spawn(address, self.context.clone()));
    }

    /// Closes and removes the links that have been silent for 30 seconds, except those to the
    /// `needed` addresses.
    pub fn prune(&self, needed: &BTreeSet<SocketAddr>) {
        let mut links = self.links.write().expect("links lock poisoned");
        links.retain(|link| {
            let keep = needed.contains(&link.address()) || link.silent_for() < UNUSED_LINK_TIMEOUT;
            if !keep {
                link.close();
            }
            keep
        });
    }

    /// The identity of this daemon.
    pub fn local_identity(&self) -> PeerIdentity {
        self.context.local.read().expect("identity lock poisoned").clone()
    }

    /// Sets the id of this daemon's cluster. New connections are opened with it.
    pub fn set_cluster(&self, cluster: u128) {
        self.context.local.write().expect("identity lock poisoned").cluster = Some(cluster);
    }

    /// What this daemon knows of the groups, by its own members of them and from its peers.
    pub fn groups(&self) -> &KnownGroups {
        &self.context.groups
    }

    /// All links, connected or not.
    pub fn all(&self) -> Vec<Arc<Link>> {
        self.links.read().expect("links lock poisoned").clone()
    }

    /// The peers whose link is connected.
    pub fn connected(&self) -> Vec<PeerIdentity> {
        self.all().iter().filter_map(|link| link.identity()).collect()
    }

    /// The peer that last responded on each link, and when, since process start.
    pub fn last_heard(&self) -> Vec<(PeerIdentity, Duration)> {
        self.all().iter().filter_map(|link| link.last_heard()).collect()
    }

    /// The members that were last heard of with an earlier protocol version.
    pub fn members_before(&self, version: ProtocolVersion) -> Vec<MemberId> {
        let is_before = |link: &Arc<Link>| link.version().is_some_and(|known| known < version);
        let links = self.all().into_iter().filter(is_before);
        links.filter_map(|link| link.last_heard()).map(|(identity, _)| identity.member).collect()
    }

    /// The protocol version of a VM, if its link is connected.
    pub fn version_of(&self, vm: &VmName) -> Option<ProtocolVersion> {
        let links = self.links.read().expect("links lock poisoned");
        let is_it = |link: &&Arc<Link>| link.identity().is_some_and(|known| known.vm == *vm);
        links.iter().find(is_it).and_then(|link| link.version())
    }

    /// A client to a VM, if its link is connected.
    pub fn client(&self, vm: &VmName) -> Option<PeerClient> {
        self.find_client(|identity| identity.vm == *vm)
    }

    /// A client to a group member, if its link is connected.
    pub fn member_client(&self, member: MemberId) -> Option<PeerClient> {
        self.find_client(|identity| identity.member == member)
    }

    fn find_client<F>(&self, predicate: F) -> Option<PeerClient>
    where
        F: Fn(&PeerIdentity) -> bool,
    {
        let matches =
            |link: &&Arc<Link>| link.identity().is_some_and(|identity| predicate(&identity));
        self.links
            .read()
            .expect("links lock poisoned")
            .iter()
            .find(matches)
            .and_then(|link| link.client())
    }
}
