use super::refusal::refuse_until;
use super::{Refusal, RefusalCode, Router, Unsent};
use crate::group::since_start;
use crate::name::{OrganisationName, PoolName};
use crate::policy::{FairQueue, Queued, ServiceRate};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The shards of the pools' queues, each under its own lock.
const SHARDS: usize = 8;
/// The time that must be left for serving once a place is had.
const SERVING: Duration = Duration::from_millis(20);
/// The wait told to callers where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);
/// The longest wait told to callers.
const COME_BACK_LIMIT: Duration = Duration::from_secs(30);

/// What a request asks of its pool.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The organisation's weight.
    pub weight: u32,
    /// The work expected, in tokens of an answer.
    pub cost: f64,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// One pool's places and who waits for them.
#[derive(Debug, Default)]
struct PoolQueue {
    capacity: u64,
    taken: u64,
    queue: FairQueue<oneshot::Sender<Place>>,
    rate: ServiceRate,
}

type Shard = Mutex<HashMap<PoolName, PoolQueue>>;

/// Fair places at each pool: as many requests are under way as the servers' limits allow, the rest
/// wait in bounded lines or are refused at once.
#[derive(Debug)]
pub struct Admission {
    shards: Vec<Shard>,
}

/// A place at a pool, given back when this is dropped.
#[derive(Debug)]
pub struct Place {
    admission: Arc<Admission>,
    pool: PoolName,
}

impl Admission {
    /// Starts with no pool known.
    pub fn open() -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards })
    }

    /// Requests that wait for a place at a pool.
    pub fn waiting(&self, pool: &PoolName) -> usize {
        let shard = self.shard(pool).lock().expect("admission lock");
        shard.get(pool).map_or(0, |queue| queue.queue.len())
    }

    /// Sets how many requests may be under way at a pool, and lets in whom that allows.
    pub fn resize(self: &Arc<Self>, pool: &PoolName, capacity: u64) {
        let mut shard = self.shard(pool).lock().expect("admission lock");
        let queue = shard.entry(pool.clone()).or_default();
        queue.capacity = capacity;
        let let_in = self.let_in(pool, queue);
        drop(shard);
        hand_out(let_in);
    }

    /// Waits for a place.
    ///
    /// # Errors
    /// A refusal, not run, as soon as it is clear that no place will be had in time.
    pub async fn enter(
        self: &Arc<Self>,
        pool: &PoolName,
        organisation: &OrganisationName,
        demand: Demand,
        unsent: &Unsent,
    ) -> Result<Place, Refusal> {
        let waiting = match self.ask(pool, organisation, demand) {
            Asked::Let(place) => return Ok(place),
            Asked::Refused(wait) => return Err(overloaded(wait, unsent)),
            Asked::Waits(waiting) => waiting,
        };
        let last = demand.deadline.checked_sub(SERVING).unwrap_or(demand.deadline);
        match tokio::time::timeout_at(last.into(), waiting).await {
            Ok(Ok(place)) => Ok(place),
            Ok(Err(_)) | Err(_) => Err(overloaded(COME_BACK, unsent)),
        }
    }

    fn ask(
        self: &Arc<Self>,
        pool: &PoolName,
        organisation: &OrganisationName,
        demand: Demand,
    ) -> Asked {
        let mut shard = self.shard(pool).lock().expect("admission lock");
        let queue = shard.entry(pool.clone()).or_default();
        if queue.queue.is_empty() && queue.taken < queue.capacity.max(1) {
            queue.taken += 1;
            queue.queue.pass(organisation, demand.weight, demand.cost);
            return Asked::Let(self.place(pool));
        }
        let left = demand.deadline.saturating_duration_since(Instant::now());
        let wait = queue.rate.wait(queue.queue.ahead(organisation) + 1).unwrap_or_default();
        if wait + SERVING > left {
            return Asked::Refused(wait);
        }
        let (sender, receiver) = oneshot::channel();
        match queue.queue.push(organisation, demand.weight, demand.cost, sender) {
            // A displaced request learns of it by its closed channel.
            Queued::Waits | Queued::Displaced(_) => Asked::Waits(receiver),
            Queued::Full(_) => Asked::Refused(wait),
        }
    }

    fn leave(self: &Arc<Self>, pool: &PoolName) {
        let mut shard = self.shard(pool).lock().expect("admission lock");
        let Some(queue) = shard.get_mut(pool) else { return };
        queue.taken = queue.taken.saturating_sub(1);
        queue.rate.finished(since_start());
        let let_in = self.let_in(pool, queue);
        drop(shard);
        hand_out(let_in);
    }

    /// Takes from the queue whom the capacity allows.
    fn let_in(
        self: &Arc<Self>,
        pool: &PoolName,
        queue: &mut PoolQueue,
    ) -> Vec<(oneshot::Sender<Place>, Place)> {
        let mut out = Vec::new();
        while queue.taken < queue.capacity.max(1) {
            let Some(sender) = queue.queue.pop() else { break };
            if sender.is_closed() {
                continue;
            }
            queue.taken += 1;
            out.push((sender, self.place(pool)));
        }
        out
    }

    fn place(self: &Arc<Self>, pool: &PoolName) -> Place {
        Place { admission: self.clone(), pool: pool.clone() }
    }

    fn shard(&self, pool: &PoolName) -> &Shard {
        let place = crc32c::crc32c(pool.as_str().as_bytes()) as usize;
        &self.shards[place % SHARDS]
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admission.leave(&self.pool);
    }
}

impl Router {
    /// Fits the places of every pool to the limits of its servers.
    pub fn resize_pools(&self) {
        let now = since_start();
        for (pool, vms) in self.vms.now().pools() {
            let stats = vms.iter().map(|vm| self.servers.stats(&vm.vm));
            let open = stats.filter(|stats| stats.may_use(now));
            self.admission.resize(pool, open.map(|stats| stats.limit()).sum());
        }
    }

    /// Forgets what is known of servers that are no longer listed.
    pub fn forget_servers(&self) {
        let listing = self.vms.now();
        self.servers.keep_only(|name| listing.get(name).is_some());
    }

    /// Waits for a place at a pool for a request of an organisation.
    pub(super) async fn enter(
        &self,
        pool: &PoolName,
        organisation: &OrganisationName,
        cost: f64,
        deadline: Instant,
        unsent: &Unsent,
    ) -> Result<Place, Refusal> {
        let config = self.config(unsent)?;
        let weight = config.organisations.get(organisation).map_or(1, |o| o.weight);
        let demand = Demand { weight, cost, deadline };
        self.admission.enter(pool, organisation, demand, unsent).await
    }
}

/// What became of a request that asked for a place.
enum Asked {
    Let(Place),
    Waits(oneshot::Receiver<Place>),
    Refused(Duration),
}

/// Hands places out without holding a lock: one whose receiver is gone comes back by its drop.
fn hand_out(let_in: Vec<(oneshot::Sender<Place>, Place)>) {
    for (sender, place) in let_in {
        drop(sender.send(place));
    }
}

fn overloaded(wait: Duration, unsent: &Unsent) -> Refusal {
    let wait = wait.clamp(COME_BACK, COME_BACK_LIMIT);
    let text = format!("too much is waiting; come back in {} s", wait.as_secs());
    refuse_until(RefusalCode::Overloaded, text, wait, unsent)
}
