use crate::control::RouterId;
use crate::group::GroupId;
use crate::ledger::{
    Bill, Claim, ClaimState, LedgerCommand, LedgerOutcome, Pin, PinState, StoredAnswer,
};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use crate::peer::{Cluster, Unavailable};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of shards of the pin cache; each has its own lock.
const SHARD_COUNT: usize = 16;
/// Maximum number of pins in one shard. A full shard is cleared, because pins can be read from the
/// ledger again.
const MAX_SHARD_PINS: usize = 4_096;

/// Timeout for committing a pin or a claim; longer than a fail-over of the group's leader.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one attempt to release a claim in the background.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a tentative pin of another request is polled.
const PIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How many times a pin in use is committed again within its retention time, so that it does not
/// expire.
const PIN_REFRESHES: u32 = 4;

type PinKey = (OrganisationName, SessionName);

/// Client for session pins, claims and bills. It submits commands to the leader of the ledger group
/// that stores them.
pub struct LedgerClient {
    cluster: Arc<Cluster>,
    router: RouterId,
    retention: Duration,
    pins: Vec<Mutex<HashMap<PinKey, CachedPin>>>,
}

/// A final pin and when it was last committed.
struct CachedPin {
    version: VersionKey,
    committed_at: Instant,
}

impl LedgerClient {
    /// Creates the client of a router. The ledger keeps pins for `retention` after their last use.
    pub fn new(cluster: Arc<Cluster>, router: RouterId, retention: Duration) -> Self {
        let pins = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { cluster, router, retention, pins }
    }

    /// Returns the version that a session is pinned to, if it is cached and needs no refresh yet.
    pub fn cached_pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
    ) -> Option<VersionKey> {
        let key = (organisation.clone(), session.clone());
        let shard = self.shard(&key).lock().expect("pin lock");
        let fresh =
            |cached: &&CachedPin| cached.committed_at.elapsed() < self.retention / PIN_REFRESHES;
        shard.get(&key).filter(fresh).map(|cached| cached.version.clone())
    }

    /// Pins a session to `version`. Returns the version that it is pinned to, which is another one
    /// if it was pinned before.
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time.
    pub async fn pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        version: VersionKey,
        deadline: Instant,
    ) -> Result<VersionKey, Unavailable> {
        let requested = Pin { version, state: PinState::Final };
        self.commit_pin(organisation, session, requested, None, deadline).await.map(|p| p.version)
    }

    /// Pins a session tentatively for its first turn.
    ///
    /// The returned pin is tentative only if this request made it; it must then be made final with
    /// [`LedgerClient::finalise_pin`].
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time, or if another request's first turn
    /// does not end in time.
    pub async fn pin_tentative(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        version: VersionKey,
        request: RequestId,
        deadline: Instant,
    ) -> Result<Pin, Unavailable> {
        let owner = self.router.clone();
        let requested = Pin { version, state: PinState::Tentative { owner, request } };
        self.commit_pin(organisation, session, requested, Some(request), deadline).await
    }

    /// Makes the tentative pin of a first turn final.
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time, or if the pin was made final with
    /// another version.
    pub async fn finalise_pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        request: RequestId,
        version: VersionKey,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let group = self.group_of(organisation, session.as_str());
        let (organisation, session) = (organisation.clone(), session.clone());
        let command = LedgerCommand::FinalisePin { organisation, session, request, version };
        match self.cluster.submit(group, &command, deadline).await? {
            LedgerOutcome::PinFinalised(true) => Ok(()),
            _ => Err(Unavailable),
        }
    }

    /// Commits a pin. Waits while the session has a tentative pin of another request; a tentative
    /// pin of `own` is returned.
    async fn commit_pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        requested: Pin,
        own: Option<RequestId>,
        deadline: Instant,
    ) -> Result<Pin, Unavailable> {
        let group = self.group_of(organisation, session.as_str());
        let key = (organisation.clone(), session.clone());
        let (organisation, session) = key.clone();
        let command = LedgerCommand::Pin { organisation, session, pin: requested };
        loop {
            let limit = deadline.min(Instant::now() + COMMIT_TIMEOUT);
            let outcome = self.cluster.submit(group, &command, limit).await?;
            let LedgerOutcome::Pinned(pin) = outcome else { return Err(Unavailable) };
            if pin.state == PinState::Final {
                self.insert_cached(key, pin.version.clone());
                return Ok(pin);
            }
            if own.is_some_and(|request| pin.is_pending_for(request)) {
                return Ok(pin);
            }
            if Instant::now() + PIN_POLL_INTERVAL >= deadline {
                return Err(Unavailable);
            }
            tokio::time::sleep(PIN_POLL_INTERVAL).await;
        }
    }

    fn insert_cached(&self, key: PinKey, version: VersionKey) {
        let mut shard = self.shard(&key).lock().expect("pin lock");
        if shard.len() >= MAX_SHARD_PINS {
            shard.clear();
        }
        shard.insert(key, CachedPin { version, committed_at: Instant::now() });
    }

    /// Claims a call. Returns the claim that is in the ledger, which is another request's if that
    /// was committed first.
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time.
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
        let deadline = deadline.min(Instant::now() + COMMIT_TIMEOUT);
        match self.cluster.submit(group, &command, deadline).await? {
            LedgerOutcome::Claimed(claim) => Ok(claim),
            _ => Err(Unavailable),
        }
    }

    /// Releases a claim. Only allowed if no byte of the call was sent.
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time.
    pub async fn release_claim(
        &self,
        organisation: &OrganisationName,
        key: &IdempotencyKey,
        request: RequestId,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let group = self.group_of(organisation, key.as_str());
        let (organisation, key) = (organisation.clone(), key.clone());
        let command = LedgerCommand::ReleaseClaim { organisation, key, request };
        self.cluster.submit::<_, LedgerOutcome>(group, &command, deadline).await.map(|_| ())
    }

    /// Releases a claim in the background, retrying until it succeeds. Only allowed if no byte of
    /// the call was sent.
    pub fn release_in_background(
        &self,
        organisation: &OrganisationName,
        key: &IdempotencyKey,
        request: RequestId,
    ) {
        let group = self.group_of(organisation, key.as_str());
        let (organisation, key) = (organisation.clone(), key.clone());
        let command = LedgerCommand::ReleaseClaim { organisation, key, request };
        let cluster = self.cluster.clone();
        tokio::spawn(async move {
            let limit = || Instant::now() + RELEASE_TIMEOUT;
            while cluster.submit::<_, LedgerOutcome>(group, &command, limit()).await.is_err() {}
        });
    }

    /// Commits the outcome of a claimed call: its answer and bill, or `None` if the outcome is
    /// unknown.
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time.
    pub async fn record_outcome(
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
        let command = LedgerCommand::RecordOutcome { organisation, key, request, answer, bill };
        self.cluster.submit::<_, LedgerOutcome>(group, &command, deadline).await.map(|_| ())
    }

    /// Commits the bill of an answered request to the group of its session, or of the request
    /// itself without a session.
    ///
    /// # Errors
    /// Returns an error if the group cannot be reached in time.
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

    fn group_of(&self, organisation: &OrganisationName, suffix: &str) -> GroupId {
        let hash = crc32c::crc32c(organisation.as_str().as_bytes());
        let hash = crc32c::crc32c_append(hash, suffix.as_bytes());
        GroupId::Ledger((hash % u32::from(self.cluster.ledger_count())) as u16)
    }

    fn shard(&self, key: &PinKey) -> &Mutex<HashMap<PinKey, CachedPin>> {
        let hash = crc32c::crc32c(key.1.as_str().as_bytes()) as usize;
        &self.pins[hash % SHARD_COUNT]
    }
}
