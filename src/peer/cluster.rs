use super::{PeerClient, PeerNet, SubmitAnswer};
use crate::consensus::MemberId;
use crate::group::{Group, GroupId};
use crate::name::VmName;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tarpc::context;
use thiserror::Error;

/// How long one forwarded command may take before another way is tried.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// The pause before a command is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(15);

/// No leader applied the command in time; whether it will be is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the group has no reachable leader")]
pub struct Unavailable;

/// This daemon's groups and its way to the leaders of those that it does not lead.
pub struct Cluster {
    groups: BTreeMap<GroupId, Arc<Group>>,
    net: Arc<PeerNet>,
    hints: Mutex<BTreeMap<GroupId, VmName>>,
}

impl Cluster {
    /// Puts groups and links together.
    pub fn open(groups: Vec<Group>, net: Arc<PeerNet>) -> Self {
        let groups = groups.into_iter().map(|group| (group.id(), Arc::new(group))).collect();
        Self { groups, net, hints: Mutex::default() }
    }

    /// All groups.
    pub fn groups(&self) -> impl Iterator<Item = &Arc<Group>> {
        self.groups.values()
    }

    /// One group.
    pub fn group(&self, id: GroupId) -> Option<&Arc<Group>> {
        self.groups.get(&id)
    }

    /// The control group.
    pub fn control(&self) -> &Arc<Group> {
        &self.groups[&GroupId::Control]
    }

    /// The number of ledger groups.
    pub fn ledgers(&self) -> u16 {
        self.groups.len() as u16 - 1
    }

    /// The links to other daemons.
    pub fn net(&self) -> &Arc<PeerNet> {
        &self.net
    }

    /// The VM that leads a group, as far as this daemon knows.
    pub fn leader(&self, id: GroupId) -> Option<VmName> {
        let status = self.groups.get(&id)?.status();
        let known = status.leader.and_then(|member| self.vm_of(id, member));
        known.or_else(|| self.hints.lock().expect("hint lock").get(&id).cloned())
    }

    /// Notes who leads, as another daemon said.
    pub fn hint(&self, id: GroupId, leader: Option<VmName>) {
        let mut hints = self.hints.lock().expect("hint lock");
        match leader {
            Some(vm) => hints.insert(id, vm),
            None => hints.remove(&id),
        };
    }

    /// Commits a command wherever the group's leader is and returns its outcome. The command must
    /// be idempotent: it may be sent more than once.
    ///
    /// # Errors
    /// [`Unavailable`] where no leader answered before `deadline`.
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
        let mut round = 0;
        while Instant::now() < deadline {
            if let Some(outcome) = self.try_once(id, &bytes, round, deadline).await {
                return postcard::from_bytes(&outcome).map_err(|_| Unavailable);
            }
            round += 1;
            tokio::time::sleep(RETRY_AFTER).await;
        }
        Err(Unavailable)
    }

    async fn try_once(
        &self,
        id: GroupId,
        command: &Bytes,
        round: usize,
        deadline: Instant,
    ) -> Option<Bytes> {
        let group = self.groups.get(&id)?;
        if group.status().leading {
            // A leader that is cut off commits nothing; the deadline holds all the same.
            let submitted = group.submit(command.clone());
            return tokio::time::timeout_at(deadline.into(), submitted).await.ok()?.ok();
        }
        let client = self.way_to_leader(id, round)?;
        let mut context = context::current();
        context.deadline = deadline.min(Instant::now() + CALL_LIMIT);
        match client.submit(context, id, command.clone()).await {
            Ok(SubmitAnswer::Applied(outcome)) => Some(outcome),
            Ok(SubmitAnswer::Failed { leader, .. }) => {
                self.hint(id, leader);
                None
            }
            Err(_) => {
                self.hint(id, None);
                None
            }
        }
    }

    /// A client to the leader, or to some other daemon that may know it.
    pub fn way_to_leader(&self, id: GroupId, round: usize) -> Option<PeerClient> {
        let leader = self.leader(id).and_then(|vm| self.net.client(&vm));
        if leader.is_some() {
            return leader;
        }
        let up: Vec<_> = self.net.links().iter().filter_map(|link| link.client()).collect();
        up.get(round % up.len().max(1)).cloned()
    }

    fn vm_of(&self, id: GroupId, member: MemberId) -> Option<VmName> {
        let status = self.groups.get(&id)?.status();
        status.members.all().find(|m| m.id == member).map(|m| m.vm.clone())
    }
}
