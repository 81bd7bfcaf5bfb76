use super::{Link, PeerClient, PeerIdentity};
use crate::consensus::MemberId;
use crate::event::Journal;
use crate::name::VmName;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// How long a link that nobody asks for may be silent before it is given up.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The links to other daemons.
pub struct PeerNet {
    own: Arc<RwLock<PeerIdentity>>,
    secret: String,
    journal: Arc<Journal>,
    links: RwLock<Vec<Arc<Link>>>,
}

impl PeerNet {
    /// Starts a link to each address.
    pub fn spawn(
        addresses: &[SocketAddr],
        secret: &str,
        own: PeerIdentity,
        journal: &Arc<Journal>,
    ) -> Self {
        let net = Self {
            own: Arc::new(RwLock::new(own)),
            secret: secret.to_owned(),
            journal: journal.clone(),
            links: RwLock::default(),
        };
        addresses.iter().for_each(|address| net.dial(*address));
        net
    }

    /// Starts a link to an address, unless there is one or the address is this daemon's own.
    pub fn dial(&self, address: SocketAddr) {
        let mut links = self.links.write().expect("links lock");
        let known = links.iter().any(|link| link.address() == address);
        if known || self.own().address == address {
            return;
        }
        let (own, journal) = (self.own.clone(), self.journal.clone());
        links.push(Link::spawn(address, self.secret.clone(), own, journal));
    }

    /// Drops links that have long been silent, but for those to the given addresses.
    pub fn prune(&self, wanted: &BTreeSet<SocketAddr>) {
        let mut links = self.links.write().expect("links lock");
        links.retain(|link| {
            let keep = wanted.contains(&link.address()) || link.silence() < FORGET_AFTER;
            if !keep {
                link.close();
            }
            keep
        });
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
    pub fn links(&self) -> Vec<Arc<Link>> {
        self.links.read().expect("links lock").clone()
    }

    /// Peers whose link is up.
    pub fn up(&self) -> Vec<PeerIdentity> {
        self.links().iter().filter_map(|link| link.identity()).collect()
    }

    /// Peers ever heard, with the time when each was last heard.
    pub fn heard(&self) -> Vec<(PeerIdentity, Duration)> {
        self.links().iter().filter_map(|link| link.last()).collect()
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
        self.links.read().expect("links lock").iter().find(fits).and_then(|link| link.client())
    }
}
