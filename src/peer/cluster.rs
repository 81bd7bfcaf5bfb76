use super::{PeerClient, PeerLinks, SubmitResponse};
use crate::consensus::Member;
use crate::group::{Group, GroupId};
use crate::name::VmName;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tarpc::context;
use thiserror::Error;

/// Timeout of one attempt to forward a command to a leader.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a command is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// No leader confirmed the command in time. It may or may not be applied later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no leader of the group could be reached in time")]
pub struct Unavailable;

/// This daemon's consensus groups, and its connections to the leaders of groups that it does not
/// lead.
pub struct Cluster {
    groups: BTreeMap<GroupId, Arc<Group>>,
    peers: Arc<PeerLinks>,
    /// Leaders reported by other daemons.
    leader_hints: Mutex<BTreeMap<GroupId, VmName>>,
}

impl Cluster {
    /// Creates a cluster from this daemon's groups and its links to other daemons.
    pub fn new(groups: Vec<Group>, peers: Arc<PeerLinks>) -> Self {
        let groups = groups.into_iter().map(|group| (group.id(), Arc::new(group))).collect();
        Self { groups, peers, leader_hints: Mutex::default() }
    }

    /// All groups, in the order of their ids.
    pub fn groups(&self) -> impl Iterator<Item = &Arc<Group>> {
        self.groups.values()
    }

    /// The group with an id, if it exists.
    pub fn group(&self, id: GroupId) -> Option<&Arc<Group>> {
        self.groups.get(&id)
    }

    /// The control group.
    pub fn control(&self) -> &Arc<Group> {
        &self.groups[&GroupId::Control]
    }

    /// Number of ledger groups.
    pub fn ledger_count(&self) -> u16 {
        self.groups.len() as u16 - 1
    }

    /// The links to other daemons.
    pub fn peers(&self) -> &Arc<PeerLinks> {
        &self.peers
    }

    /// The VM that leads a group: according to this daemon's member of the group, otherwise as last
    /// reported by another daemon that was asked, or as handed on with pings.
    pub fn leader(&self, id: GroupId) -> Option<VmName> {
        let hint =
            || self.leader_hints.lock().expect("leader hints lock poisoned").get(&id).cloned();
        let own = self.own_leader(id).map(|leader| leader.vm);
        own.or_else(hint).or_else(|| self.told_leader(id).map(|leader| leader.vm))
    }

    /// The address on which a group's leader accepts connections from peers, if known.
    pub fn leader_address(&self, id: GroupId) -> Option<SocketAddr> {
        let leader = self.own_leader(id).or_else(|| self.told_leader(id))?;
        Some(leader.address)
    }

    /// Records which VM another daemon reported as the leader of a group; `None` clears the hint.
    pub fn set_leader_hint(&self, id: GroupId, leader: Option<VmName>) {
        let mut hints = self.leader_hints.lock().expect("leader hints lock poisoned");
        match leader {
            Some(vm) => hints.insert(id, vm),
            None => hints.remove(&id),
        };
    }

    /// Commits a command through the group's leader, on this daemon or another one, and returns its
    /// outcome. The command must be idempotent, because it may be submitted more than once.
    ///
    /// # Errors
    /// [`Unavailable`] if no leader responds before `deadline` or the outcome cannot be decoded.
    pub async fn submit<C, T>(
        &self,
        id: GroupId,
        command: &C,
        deadline: Instant,
    ) -> Result<T, Unavailable>
    where
        C: Serialize,
        T: DeserializeOwned,
    {
        let bytes = Bytes::from(postcard::to_stdvec(command).expect("commands always serialise"));
        let mut attempt = 0;
        while Instant::now() < deadline {
            if let Some(outcome) = self.try_submit(id, &bytes, attempt, deadline).await {
                return postcard::from_bytes(&outcome).map_err(|_| Unavailable);
            }
            attempt += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Unavailable)
    }

    async fn try_submit(
        &self,
        id: GroupId,
        command: &Bytes,
        attempt: usize,
        deadline: Instant,
    ) -> Option<Bytes> {
        let group = self.groups.get(&id)?;
        if group.status().leading {
            // A leader that is partitioned from the other members cannot commit and would never
            // respond, so the deadline applies here too.
            let submitted = group.submit(command.clone());
            return tokio::time::timeout_at(deadline.into(), submitted).await.ok()?.ok();
        }
        let client = self.leader_client(id, attempt)?;
        let mut context = context::current();
        context.deadline = deadline.min(Instant::now() + SUBMIT_TIMEOUT);
        match client.submit(context, id, command.clone()).await {
            Ok(SubmitResponse::Applied(outcome)) => Some(outcome),
            Ok(SubmitResponse::Failed { leader, .. }) => {
                self.set_leader_hint(id, leader);
                None
            }
            Err(_) => {
                self.set_leader_hint(id, None);
                None
            }
        }
    }

    /// A client to the group's leader. If the leader is unknown or not connected, a client to one
    /// of the connected daemons, which may know it; consecutive attempts go through all of them.
    pub fn leader_client(&self, id: GroupId, attempt: usize) -> Option<PeerClient> {
        let leader = self.leader(id).and_then(|vm| self.peers.client(&vm));
        if leader.is_some() {
            return leader;
        }
        let connected: Vec<_> = self.peers.all().iter().filter_map(|link| link.client()).collect();
        connected.get(attempt % connected.len().max(1)).cloned()
    }

    /// The leader according to this daemon's member of the group.
    fn own_leader(&self, id: GroupId) -> Option<Member> {
        let status = self.groups.get(&id)?.status();
        let leader = status.leader?;
        status.members.all().find(|member| member.id == leader).cloned()
    }

    /// The leader as handed on with pings.
    fn told_leader(&self, id: GroupId) -> Option<Member> {
        let directory = self.peers.groups().directory();
        directory.group(id)?.leader().cloned()
    }
}
