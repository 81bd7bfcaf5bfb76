use super::refusal::refuse_with_delay;
use super::{Refusal, RefusalCode, Router, Unsent};
use crate::group::since_start;
use crate::name::{OrganisationName, PoolName};
use crate::policy::{FairQueue, PushOutcome, ServiceRate};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Number of shards of the pool queues; each has its own lock.
const SHARD_COUNT: usize = 8;
/// Time that must remain before the deadline once a request is admitted, so that it can be served.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Shortest retry delay given to rejected callers; also used where the wait cannot be estimated.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry delay given to rejected callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What a request for admission to a pool needs.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Weight of the organisation in fair queueing.
    pub weight: u32,
    /// Expected work, in answer tokens.
    pub cost: f64,
    /// Deadline of the request; a request that cannot be served by then is rejected.
    pub deadline: Instant,
}

/// Admission state of one pool.
#[derive(Debug, Default)]
struct PoolQueue {
    capacity: u64,
    in_flight: u64,
    waiters: FairQueue<oneshot::Sender<AdmissionPermit>>,
    rate: ServiceRate,
}

type Shard = Mutex<HashMap<PoolName, PoolQueue>>;

/// Admission control with fair queueing for each pool.
///
/// As many requests are in flight as the concurrency limits of the pool's servers allow. Further
/// requests wait in bounded queues or are rejected immediately.
#[derive(Debug)]
pub struct Admission {
    shards: Vec<Shard>,
}

/// A permit for one in-flight request at a pool, returned when dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<Admission>,
    pool: PoolName,
}

impl Admission {
    /// Creates an admission controller without any pools; pools are added on first use.
    pub fn new() -> Arc<Self> {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards })
    }

    /// Number of requests that are queued at a pool.
    pub fn queue_len(&self, pool: &PoolName) -> usize {
        let shard = self.shard(pool).lock().expect("admission lock");
        shard.get(pool).map_or(0, |queue| queue.waiters.len())
    }

    /// Sets how many requests may be in flight at a pool and admits queued requests up to that
    /// limit.
    ///
    /// A capacity of 0 counts as 1.
    pub fn set_capacity(self: &Arc<Self>, pool: &PoolName, capacity: u64) {
        let mut shard = self.shard(pool).lock().expect("admission lock");
        let queue = shard.entry(pool.clone()).or_default();
        queue.capacity = capacity;
        let admitted = self.admit_waiting(pool, queue);
        drop(shard);
        send_permits(admitted);
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// Returns a refusal (the request was not run) as soon as it is clear that no permit will be
    /// available in time.
    pub async fn acquire(
        self: &Arc<Self>,
        pool: &PoolName,
        organisation: &OrganisationName,
        request: AdmissionRequest,
        unsent: &Unsent,
    ) -> Result<AdmissionPermit, Refusal> {
        let receiver = match self.try_admit(pool, organisation, request) {
            AdmissionDecision::Admitted(permit) => return Ok(permit),
            AdmissionDecision::Rejected(wait) => return Err(overloaded(wait, unsent)),
            AdmissionDecision::Waiting(receiver) => receiver,
        };
        let queue_deadline =
            request.deadline.checked_sub(MIN_SERVICE_TIME).unwrap_or(request.deadline);
        match tokio::time::timeout_at(queue_deadline.into(), receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(overloaded(MIN_RETRY_AFTER, unsent)),
        }
    }

    fn try_admit(
        self: &Arc<Self>,
        pool: &PoolName,
        organisation: &OrganisationName,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        let mut shard = self.shard(pool).lock().expect("admission lock");
        let queue = shard.entry(pool.clone()).or_default();
        if queue.waiters.is_empty() && queue.in_flight < queue.capacity.max(1) {
            queue.in_flight += 1;
            queue.waiters.charge(organisation, request.weight, request.cost);
            return AdmissionDecision::Admitted(self.permit(pool));
        }
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let wait = queue
            .rate
            .expected_wait(queue.waiters.requests_ahead(organisation) + 1)
            .unwrap_or_default();
        if wait + MIN_SERVICE_TIME > remaining {
            return AdmissionDecision::Rejected(wait);
        }
        let (sender, receiver) = oneshot::channel();
        match queue.waiters.push(organisation, request.weight, request.cost, sender) {
            // A displaced request is notified by its channel being closed.
            PushOutcome::Queued | PushOutcome::Evicted(_) => AdmissionDecision::Waiting(receiver),
            PushOutcome::Full(_) => AdmissionDecision::Rejected(wait),
        }
    }

    fn release(self: &Arc<Self>, pool: &PoolName) {
        let mut shard = self.shard(pool).lock().expect("admission lock");
        let Some(queue) = shard.get_mut(pool) else { return };
        queue.in_flight = queue.in_flight.saturating_sub(1);
        queue.rate.record_finished(since_start(), !queue.waiters.is_empty());
        let admitted = self.admit_waiting(pool, queue);
        drop(shard);
        send_permits(admitted);
    }

    /// Dequeues requests while the pool has capacity.
    fn admit_waiting(
        self: &Arc<Self>,
        pool: &PoolName,
        queue: &mut PoolQueue,
    ) -> Vec<(oneshot::Sender<AdmissionPermit>, AdmissionPermit)> {
        let mut admitted = Vec::new();
        while queue.in_flight < queue.capacity.max(1) {
            let Some(sender) = queue.waiters.pop() else { break };
            if sender.is_closed() {
                continue;
            }
            queue.in_flight += 1;
            admitted.push((sender, self.permit(pool)));
        }
        admitted
    }

    fn permit(self: &Arc<Self>, pool: &PoolName) -> AdmissionPermit {
        AdmissionPermit { admission: self.clone(), pool: pool.clone() }
    }

    fn shard(&self, pool: &PoolName) -> &Shard {
        let hash = crc32c::crc32c(pool.as_str().as_bytes()) as usize;
        &self.shards[hash % SHARD_COUNT]
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission.release(&self.pool);
    }
}

impl Router {
    /// Sets the capacity of every pool to the sum of the concurrency limits of its usable servers.
    pub fn update_pool_capacities(&self) {
        let now = since_start();
        for (pool, vms) in self.vms.current().pools() {
            let stats = vms.iter().map(|vm| self.servers.stats(&vm.name));
            let usable = stats.filter(|stats| stats.allows_request(now));
            self.admission.set_capacity(pool, usable.map(|stats| stats.limit()).sum());
        }
    }

    /// Removes the statistics of servers that are no longer in the VM list.
    pub fn remove_unlisted_servers(&self) {
        let vm_index = self.vms.current();
        self.servers.retain(|name| vm_index.get(name).is_some());
    }

    /// Waits for a permit at a pool for a request of an organisation.
    pub(super) async fn acquire_permit(
        &self,
        pool: &PoolName,
        organisation: &OrganisationName,
        cost: f64,
        deadline: Instant,
        unsent: &Unsent,
    ) -> Result<AdmissionPermit, Refusal> {
        let config = self.config(unsent)?;
        let weight = config.organisations.get(organisation).map_or(1, |org| org.weight);
        let request = AdmissionRequest { weight, cost, deadline };
        self.admission.acquire(pool, organisation, request, unsent).await
    }
}

/// Decision on a request for admission.
enum AdmissionDecision {
    Admitted(AdmissionPermit),
    Waiting(oneshot::Receiver<AdmissionPermit>),
    Rejected(Duration),
}

/// Sends permits to their waiting requests. Call it without holding a shard lock: a permit whose
/// receiver is gone is dropped here, which takes the lock to return it.
fn send_permits(admitted: Vec<(oneshot::Sender<AdmissionPermit>, AdmissionPermit)>) {
    for (sender, permit) in admitted {
        drop(sender.send(permit));
    }
}

fn overloaded(wait: Duration, unsent: &Unsent) -> Refusal {
    let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let text = format!("the backend pool is overloaded; retry in {} s", wait.as_secs());
    refuse_with_delay(RefusalCode::Overloaded, text, wait, unsent)
}
