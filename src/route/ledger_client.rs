use crate::control::Router;
use crate::group::GroupId;
use crate::ledger::{Bill, Claim, ClaimState, LedgerCommand, LedgerOutcome, StoredAnswer};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use crate::peer::{Cluster, Unavailable};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The shards of the pin cache, each under its own lock.
const SHARDS: usize = 16;
/// Pins kept in one shard; a full shard is emptied, as pins can be asked for again.
const PINS_PER_SHARD: usize = 4_096;

type PinKey = (OrganisationName, SessionName);

/// Pins, claims and bills, committed wherever the group that holds them is led.
pub struct LedgerClient {
    cluster: Arc<Cluster>,
    router: Router,
    pins: Vec<Mutex<HashMap<PinKey, VersionKey>>>,
}

impl LedgerClient {
    /// Makes the client of one router.
    pub fn open(cluster: Arc<Cluster>, router: Router) -> Self {
        let pins = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { cluster, router, pins }
    }

    /// The pin of a session, if this router has seen it.
    pub fn cached_pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
    ) -> Option<VersionKey> {
        let key = (organisation.clone(), session.clone());
        self.shard(&key).lock().expect("pin lock").get(&key).cloned()
    }

    /// Pins a session, or learns the version that it is already bound to.
    ///
    /// # Errors
    /// Where the group cannot be reached in time.
    pub async fn pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        version: VersionKey,
        deadline: Instant,
    ) -> Result<VersionKey, Unavailable> {
        let group = self.group_of(organisation, session.as_str());
        let (organisation, session) = (organisation.clone(), session.clone());
        let key = (organisation.clone(), session.clone());
        let command = LedgerCommand::Pin { organisation, session, version };
        let outcome = self.cluster.submit(group, &command, deadline).await?;
        let LedgerOutcome::Pinned(version) = outcome else { return Err(Unavailable) };
        let mut shard = self.shard(&key).lock().expect("pin lock");
        if shard.len() >= PINS_PER_SHARD {
            shard.clear();
        }
        shard.insert(key, version.clone());
        Ok(version)
    }

    /// Claims a call, or learns of the claim that came first.
    ///
    /// # Errors
    /// Where the group cannot be reached in time.
    pub async fn claim(
        &self,
        organisation: &OrganisationName,
        key: &IdempotencyKey,
        request: RequestId,
        digest: [u8; 32],
        deadline: Instant,
    ) -> Result<Claim, Unavailable> {
        let owner = self.router.clone();
        let claim = Claim { request, owner, digest, state: ClaimState::Running };
        let command =
            LedgerCommand::Claim { organisation: organisation.clone(), key: key.clone(), claim };
        let group = self.group_of(organisation, key.as_str());
        match self.cluster.submit(group, &command, deadline).await? {
            LedgerOutcome::Claimed(claim) => Ok(claim),
            _ => Err(Unavailable),
        }
    }

    /// Gives a claim up, after proof that no byte left.
    ///
    /// # Errors
    /// Where the group cannot be reached in time.
    pub async fn release(
        &self,
        organisation: &OrganisationName,
        key: &IdempotencyKey,
        request: RequestId,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let group = self.group_of(organisation, key.as_str());
        let (organisation, key) = (organisation.clone(), key.clone());
        let command = LedgerCommand::Release { organisation, key, request };
        self.cluster.submit::<_, LedgerOutcome>(group, &command, deadline).await.map(|_| ())
    }

    /// Records a claimed call's outcome.
    ///
    /// # Errors
    /// Where the group cannot be reached in time.
    pub async fn settle(
        &self,
        organisation: &OrganisationName,
        key: &IdempotencyKey,
        request: RequestId,
        outcome: Option<(StoredAnswer, Bill)>,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let group = self.group_of(organisation, key.as_str());
        let (answer, bill) = outcome.unzip();
        let (organisation, key) = (organisation.clone(), key.clone());
        let command = LedgerCommand::Settle { organisation, key, request, answer, bill };
        self.cluster.submit::<_, LedgerOutcome>(group, &command, deadline).await.map(|_| ())
    }

    /// Bills an answered request.
    ///
    /// # Errors
    /// Where the group cannot be reached in time.
    pub async fn bill(
        &self,
        organisation: &OrganisationName,
        session: Option<&SessionName>,
        bill: Bill,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let request = bill.request.to_string();
        let group = self.group_of(organisation, session.map_or(&request, |s| s.as_str()));
        let command = LedgerCommand::Bill { organisation: organisation.clone(), bill };
        self.cluster.submit::<_, LedgerOutcome>(group, &command, deadline).await.map(|_| ())
    }

    fn group_of(&self, organisation: &OrganisationName, part: &str) -> GroupId {
        let hash = crc32c::crc32c(organisation.as_str().as_bytes());
        let hash = crc32c::crc32c_append(hash, part.as_bytes());
        GroupId::Ledger((hash % u32::from(self.cluster.ledgers())) as u16)
    }

    fn shard(&self, key: &PinKey) -> &Mutex<HashMap<PinKey, VersionKey>> {
        let place = crc32c::crc32c(key.1.as_str().as_bytes()) as usize;
        &self.pins[place % SHARDS]
    }
}
