use super::connection_parts::LeaderConnections;
use super::deadly_parts::LeaderParts;
use super::departures::LeaderDepartures;
use super::formation::Formation;
use super::helpers::LeaderHelpers;
use super::leader_leases::LeaderLeases;
use super::leader_pools::LeaderPools;
use super::refused_routers::RefusedRouters;
use super::server_limits::LeaderLimits;
use crate::consensus::{Member, Members};
use crate::distribution::Publisher;
use crate::error::Error;
use crate::event::{Event, Journal};
use crate::group::{Group, GroupId, GroupStatus, ReplicatedState};
use crate::name::VmName;
use crate::peer::{Cluster, GroupView, NodeStatus, PeerIdentity};
use crate::policy::StatsAggregator;
use crate::route::Router;
use crate::settings::Settings;
use crate::storage::DataFolder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// State of a running daemon, shared by its tasks and servers.
pub struct Node {
    /// Settings as loaded at startup.
    pub settings: Settings,
    /// Operator addresses of some voters, as the settings file names them now.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Event journal of this daemon.
    pub journal: Arc<Journal>,
    /// Consensus groups of this daemon and its connections to other daemons.
    pub cluster: Arc<Cluster>,
    /// Router of this daemon; `None` for role voter.
    pub router: Option<Arc<Router>>,
    /// Data folder; `None` on a diskless VM.
    pub folder: Mutex<Option<DataFolder>>,
    /// Leases granted in the newest term in which this daemon led the control group.
    pub leases: Mutex<Option<LeaderLeases>>,
    /// Statistics from the reports of all routers, of the newest term in which this daemon led.
    pub aggregator: Mutex<Option<StatsAggregator>>,
    /// VM list and pool statistics that the leader keeps for daemons of role router.
    pub pools: LeaderPools,
    /// Evidence against parts of prompts, which the leader collects.
    pub parts: LeaderParts,
    /// The limits that servers name, and the tokens for them, which the leader gives out.
    pub limits: LeaderLimits,
    /// The parts of the connections that servers accept, which the leader gives out.
    pub connections: LeaderConnections,
    /// Where routers are, and which of them do not reach the servers.
    pub helpers: LeaderHelpers,
    /// Routers of earlier builds that get no lease.
    pub refused: RefusedRouters,
    /// Whether this daemon, as the first leader, has had enough voters for changes.
    pub formation: Formation,
    /// The voters that have said that they leave.
    pub departures: LeaderDepartures,
    /// The configuration and the VM list as distributed to routers.
    pub publisher: Publisher,
    /// Renders the metrics of this process.
    pub metrics: PrometheusHandle,
    /// Notified when an operator drains this daemon.
    pub stop: tokio::sync::Notify,
}

impl Node {
    /// Identity that this daemon presents to its peers.
    pub fn identity(&self) -> PeerIdentity {
        self.cluster.peers().local_identity()
    }

    /// This daemon as a member of consensus groups.
    pub fn member(&self) -> Member {
        let PeerIdentity { vm, member, data_centre, address, durable, .. } = self.identity();
        Member { id: member, vm, data_centre, address, durable }
    }

    /// Creates a cluster with this daemon as the only voter of each group; returns the cluster id
    /// in hexadecimal.
    ///
    /// # Errors
    /// If this daemon is diskless, already belongs to a cluster or cannot write its data folder.
    pub fn bootstrap(&self) -> Result<String, Error> {
        let refusal = |message: &str| Error::Refused { message: message.to_owned() };
        let current = self.identity().cluster;
        if let Some(cluster) = current {
            let text = format!("this daemon already belongs to cluster {cluster:032x}");
            return Err(refusal(&text));
        }
        if !self.identity().durable {
            return Err(refusal(
                "this daemon has no data folder; found the cluster on a daemon that has one",
            ));
        }
        let cluster: u128 = rand::random();
        self.join(cluster)?;
        let members = Members { voters: vec![self.member()], learners: Vec::new() };
        self.cluster.groups().for_each(|group| group.bootstrap(members.clone()));
        let cluster = format!("{cluster:032x}");
        self.journal.record(Event::ClusterFounded { cluster: cluster.clone() });
        Ok(cluster)
    }

    /// Adopts the id of a cluster, and stores it if there is a data folder.
    ///
    /// # Errors
    /// If the data folder cannot be written.
    pub fn join(&self, cluster: u128) -> Result<(), Error> {
        let mut folder = self.folder.lock().expect("folder lock");
        if let Some(folder) = folder.as_mut() {
            folder.set_cluster(cluster)?;
        }
        self.cluster.peers().set_cluster(cluster);
        Ok(())
    }

    /// Status of this daemon, for operators.
    pub fn status(&self) -> NodeStatus {
        let identity = self.identity();
        let router = self.router.as_deref();
        NodeStatus {
            vm: identity.vm,
            data_centre: identity.data_centre,
            durable: identity.durable,
            cluster: identity.cluster.map(|id| format!("{id:032x}")),
            revision: router.map_or(0, |router| router.lease.revision().unwrap_or(0)),
            lease_ms: router.map_or(0, |router| router.lease.remaining().as_millis() as u64),
            requests: router.map_or(0, |router| router.counter.in_flight()),
            draining: router.is_some_and(|router| router.is_draining()),
            groups: self.cluster.groups().map(|group| self.group_view(group)).collect(),
        }
    }

    /// VM of the control group's leader, if known.
    pub fn leader(&self) -> Option<VmName> {
        self.cluster.leader(GroupId::Control)
    }

    /// Peer address of the control group's leader, if known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.cluster.leader_address(GroupId::Control)
    }

    /// Whether daemons discover each other through seeds. A list that is emptied later changes nothing in that.
    pub fn discovers(&self) -> bool {
        !self.settings.seeds.is_empty() || !self.seeds.borrow().is_empty()
    }

    /// Handles a new connection from a peer. If daemons discover each other through seeds, this
    /// daemon connects back to a peer with a disk, because that peer may become a voter.
    pub fn on_peer_connected(&self, peer: &PeerIdentity) {
        if peer.durable && self.discovers() {
            self.cluster.peers().add(peer.address);
        }
        self.helpers.record_place(peer);
    }

    /// Runs `read` on the control state as applied so far on this daemon.
    pub fn read_control<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&crate::control::ControlState) -> T,
    {
        self.cluster.control().read(|state| match state {
            ReplicatedState::Control(state) => read(state),
            ReplicatedState::Ledger(_) => unreachable!("the control group holds control state"),
        })
    }

    fn group_view(&self, group: &Group) -> GroupView {
        let GroupStatus { term, leading, commit_index, members, .. } = group.status();
        let names = |list: &[Member]| list.iter().map(|m| m.vm.clone()).collect();
        GroupView {
            group: group.id(),
            term,
            leader: self.cluster.leader(group.id()),
            leading,
            commit_index,
            voters: names(&members.voters),
            learners: names(&members.learners),
        }
    }
}
