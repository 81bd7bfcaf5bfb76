use super::{Link, PeerClient, PeerIdentity};
use crate::consensus::MemberId;
use crate::event::Journal;
use crate::name::VmName;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// The links to all other daemons.
pub struct PeerNet {
    own: Arc<RwLock<PeerIdentity>>,
    links: Vec<Arc<Link>>,
}

impl PeerNet {
    /// Starts a link to each address.
    pub fn spawn(
        addresses: &[SocketAddr],
        secret: &str,
        own: PeerIdentity,
        journal: &Arc<Journal>,
    ) -> Self {
        let own = Arc::new(RwLock::new(own));
        let link = |address: &SocketAddr| {
            Link::spawn(*address, secret.to_owned(), own.clone(), journal.clone())
        };
        let links = addresses.iter().map(link).collect();
        Self { own, links }
    }

    /// Who this daemon is.
    pub fn own(&self) -> PeerIdentity {
        self.own.read().expect("identity lock").clone()
    }

    /// Sets the cluster, once it is known.
    pub fn set_cluster(&self, cluster: u128) {
        self.own.write().expect("identity lock").cluster = Some(cluster);
    }

    /// All links.
    pub fn links(&self) -> &[Arc<Link>] {
        &self.links
    }

    /// Peers whose link is up.
    pub fn up(&self) -> Vec<PeerIdentity> {
        self.links.iter().filter_map(|link| link.identity()).collect()
    }

    /// Peers ever heard, with the time when each was last heard.
    pub fn heard(&self) -> Vec<(PeerIdentity, Duration)> {
        self.links.iter().filter_map(|link| link.last()).collect()
    }

    /// A client to a VM, while its link is up.
    pub fn client(&self, vm: &VmName) -> Option<PeerClient> {
        self.find(|identity| identity.vm == *vm)
    }

    /// A client to a member, while its link is up.
    pub fn client_of(&self, member: MemberId) -> Option<PeerClient> {
        self.find(|identity| identity.member == member)
    }

    fn find<F>(&self, wanted: F) -> Option<PeerClient>
    where
        F: Fn(&PeerIdentity) -> bool,
    {
        let fits = |link: &&Arc<Link>| link.identity().is_some_and(|identity| wanted(&identity));
        self.links.iter().find(fits).and_then(|link| link.client())
    }
}
