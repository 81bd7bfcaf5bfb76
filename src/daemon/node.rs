use super::lead::LeaderLeases;
use super::pools::LeaderPools;
use crate::consensus::{Member, Members};
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

/// One running daemon.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Its events.
    pub journal: Arc<Journal>,
    /// Its groups and links.
    pub cluster: Arc<Cluster>,
    /// Its router.
    pub router: Option<Arc<Router>>,
    /// Its data folder, where it has one.
    pub folder: Mutex<Option<DataFolder>>,
    /// Leases that it granted as leader.
    pub leases: Mutex<Option<LeaderLeases>>,
    /// What it gathers from routers as leader.
    pub board: Mutex<Option<StatsAggregator>>,
    /// What it knows of pools as leader, for daemons that only route.
    pub pools: LeaderPools,
    /// Its metrics.
    pub metrics: PrometheusHandle,
    /// Told when an operator asks it to stop.
    pub stop: tokio::sync::Notify,
}

impl Node {
    /// Who this daemon is.
    pub fn identity(&self) -> PeerIdentity {
        self.cluster.net().own()
    }

    /// This daemon as a member of groups.
    pub fn member(&self) -> Member {
        let PeerIdentity { vm, member, data_centre, address, durable, .. } = self.identity();
        Member { id: member, vm, data_centre, address, durable }
    }

    /// Founds a cluster with this daemon as the only voter of every group.
    ///
    /// # Errors
    /// Where the daemon is diskless or belongs to a cluster already.
    pub fn found(&self) -> Result<String, Error> {
        let refused = |message: &str| Error::Refused { message: message.to_owned() };
        let known = self.identity().cluster;
        if let Some(cluster) = known {
            let text = format!("this daemon already belongs to cluster {cluster:032x}");
            return Err(refused(&text));
        }
        if !self.identity().durable {
            return Err(refused(
                "this daemon has no data folder; found the cluster on one that has",
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

    /// Takes a cluster's identity over, durably where there is a data folder.
    ///
    /// # Errors
    /// Where the data folder cannot be written.
    pub fn join(&self, cluster: u128) -> Result<(), Error> {
        let mut folder = self.folder.lock().expect("folder lock");
        if let Some(folder) = folder.as_mut() {
            folder.join(cluster)?;
        }
        self.cluster.net().set_cluster(cluster);
        Ok(())
    }

    /// What the daemon says of itself.
    pub fn status(&self) -> NodeStatus {
        let identity = self.identity();
        let router = self.router.as_deref();
        NodeStatus {
            vm: identity.vm,
            data_centre: identity.data_centre,
            durable: identity.durable,
            cluster: identity.cluster.map(|id| format!("{id:032x}")),
            revision: router.map_or(0, |router| router.lease.revision().unwrap_or(0)),
            lease: router.map_or(0, |router| router.lease.remaining().as_millis() as u64),
            requests: router.map_or(0, |router| router.counter.in_flight()),
            draining: router.is_some_and(|router| router.is_draining()),
            groups: self.cluster.groups().map(|group| self.view(group)).collect(),
        }
    }

    /// The leader of the control group, as far as known.
    pub fn leader(&self) -> Option<VmName> {
        self.cluster.leader(GroupId::Control)
    }

    /// Where the control group's leader listens for peers, as far as known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let status = self.cluster.control().status();
        let leader = status.leader?;
        status.members.all().find(|member| member.id == leader).map(|member| member.address)
    }

    /// Takes note of a daemon that has connected. One that may vote is connected to in turn where
    /// daemons find each other by seeds.
    pub fn welcome(&self, peer: &PeerIdentity) {
        if peer.durable && !self.settings.seeds.is_empty() {
            self.cluster.net().dial(peer.address);
        }
    }

    /// Reads the control state.
    pub fn control<F, T>(&self, look: F) -> T
    where
        F: FnOnce(&crate::control::ControlState) -> T,
    {
        self.cluster.control().read(|state| match state {
            ReplicatedState::Control(state) => look(state),
            ReplicatedState::Ledger(_) => unreachable!("the control group holds control state"),
        })
    }

    fn view(&self, group: &Group) -> GroupView {
        let GroupStatus { term, leading, commit_index, members, .. } = group.status();
        let names = |list: &[Member]| list.iter().map(|m| m.vm.clone()).collect();
        GroupView {
            group: group.id(),
            term,
            leader: self.cluster.leader(group.id()),
            leading,
            commit: commit_index,
            voters: names(&members.voters),
            learners: names(&members.learners),
        }
    }
}
