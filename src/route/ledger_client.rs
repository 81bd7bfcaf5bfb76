use crate::control::Router;
use crate::group::GroupId;
use crate::ledger::{
    Bill, Claim, ClaimState, LedgerCommand, LedgerOutcome, Pin, PinState, StoredAnswer,
};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use crate::peer::{Cluster, Unavailable};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The shards of the pin cache, each under its own lock.
const SHARDS: usize = 16;
/// Pins kept in one shard; a full shard is emptied, as pins can be asked for again.
const PINS_PER_SHARD: usize = 4_096;

/// How long a pin or a claim may take to be committed; longer than a fail-over.
const COMMIT_LIMIT: Duration = Duration::from_secs(5);
/// How long one try to give up a claim late lasts.
const LATE_LIMIT: Duration = Duration::from_secs(30);
/// How often a tentative pin is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// A cached pin is recorded as used this many times within the time that pins are kept.
const TOUCHES: u32 = 4;

type PinKey = (OrganisationName, SessionName);

/// Pins, claims and bills, committed wherever the group that holds them is led.
pub struct LedgerClient {
    cluster: Arc<Cluster>,
    router: Router,
    window: Duration,
    pins: Vec<Mutex<HashMap<PinKey, Cached>>>,
}

/// A final pin and when it was last recorded as used.
struct Cached {
    version: VersionKey,
    touched: Instant,
}

impl LedgerClient {
    /// Makes the client of one router; pins are kept for `window` after their last use.
    pub fn open(cluster: Arc<Cluster>, router: Router, window: Duration) -> Self {
        let pins = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { cluster, router, window, pins }
    }

    /// The pin of a session, if this router has seen it lately.
    pub fn cached_pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
    ) -> Option<VersionKey> {
        let key = (organisation.clone(), session.clone());
        let shard = self.shard(&key).lock().expect("pin lock");
        let fresh = |cached: &&Cached| cached.touched.elapsed() < self.window / TOUCHES;
        shard.get(&key).filter(fresh).map(|cached| cached.version.clone())
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
        let wanted = Pin { version, state: PinState::Final };
        self.await_final(organisation, session, wanted, None, deadline).await.map(|p| p.version)
    }

    /// Pins a session tentatively for its first turn. The answer is tentative only where this
    /// request made the pin; it must then be made final with [`LedgerClient::settle_pin`].
    ///
    /// # Errors
    /// Where the group cannot be reached in time, or another first turn does not end in time.
    pub async fn pin_first(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        version: VersionKey,
        request: RequestId,
        deadline: Instant,
    ) -> Result<Pin, Unavailable> {
        let owner = self.router.clone();
        let wanted = Pin { version, state: PinState::Tentative { owner, request } };
        self.await_final(organisation, session, wanted, Some(request), deadline).await
    }

    /// Makes the tentative pin of a first turn final.
    ///
    /// # Errors
    /// Where the group cannot be reached in time, or the pin became final with another version.
    pub async fn settle_pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        request: RequestId,
        version: VersionKey,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let group = self.group_of(organisation, session.as_str());
        let (organisation, session) = (organisation.clone(), session.clone());
        let command = LedgerCommand::SettlePin { organisation, session, request, version };
        match self.cluster.submit(group, &command, deadline).await? {
            LedgerOutcome::PinSettled(true) => Ok(()),
            _ => Err(Unavailable),
        }
    }

    /// Commits a pin and waits while it is another first turn's tentative one.
    async fn await_final(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
        wanted: Pin,
        own: Option<RequestId>,
        deadline: Instant,
    ) -> Result<Pin, Unavailable> {
        let group = self.group_of(organisation, session.as_str());
        let key = (organisation.clone(), session.clone());
        let (organisation, session) = key.clone();
        let command = LedgerCommand::Pin { organisation, session, pin: wanted };
        loop {
            let limit = deadline.min(Instant::now() + COMMIT_LIMIT);
            let outcome = self.cluster.submit(group, &command, limit).await?;
            let LedgerOutcome::Pinned(pin) = outcome else { return Err(Unavailable) };
            if pin.state == PinState::Final {
                self.cache(key, pin.version.clone());
                return Ok(pin);
            }
            if own.is_some_and(|request| pin.awaits(request)) {
                return Ok(pin);
            }
            if Instant::now() + LOOK_EVERY >= deadline {
                return Err(Unavailable);
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    fn cache(&self, key: PinKey, version: VersionKey) {
        let mut shard = self.shard(&key).lock().expect("pin lock");
        if shard.len() >= PINS_PER_SHARD {
            shard.clear();
        }
        shard.insert(key, Cached { version, touched: Instant::now() });
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
        let deadline = deadline.min(Instant::now() + COMMIT_LIMIT);
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

    /// Gives a claim up however long that takes, in the background.
    pub fn release_later(
        &self,
        organisation: &OrganisationName,
        key: &IdempotencyKey,
        request: RequestId,
    ) {
        let group = self.group_of(organisation, key.as_str());
        let (organisation, key) = (organisation.clone(), key.clone());
        let command = LedgerCommand::Release { organisation, key, request };
        let cluster = self.cluster.clone();
        tokio::spawn(async move {
            let limit = || Instant::now() + LATE_LIMIT;
            while cluster.submit::<_, LedgerOutcome>(group, &command, limit()).await.is_err() {}
        });
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

    fn shard(&self, key: &PinKey) -> &Mutex<HashMap<PinKey, Cached>> {
        let place = crc32c::crc32c(key.1.as_str().as_bytes()) as usize;
        &self.pins[place % SHARDS]
    }
}
