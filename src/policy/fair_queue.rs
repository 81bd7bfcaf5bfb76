use crate::name::OrganisationName;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of queued requests.
const MAX_QUEUED: usize = 1_024;
/// Maximum number of queued requests of one organisation.
const MAX_QUEUED_PER_ORGANISATION: usize = 256;

/// A queued request with its start and finish tags, in virtual time.
#[derive(Debug)]
struct QueuedRequest<T> {
    start_tag: f64,
    finish_tag: f64,
    item: T,
}

/// The queue of one organisation, with the finish tag of its last request.
#[derive(Debug)]
struct OrganisationQueue<T> {
    finish_tag: f64,
    weight: f64,
    waiting: VecDeque<QueuedRequest<T>>,
}

/// Result of queueing a request.
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The request was queued.
    Queued,
    /// The organisation's queue is full; the request is handed back.
    Full(T),
    /// The request was queued, and this one was evicted from the longest queue, weighted by
    /// organisation.
    Evicted(T),
}

/// Start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996): each
/// organisation gets service in proportion to its weight, measured in the cost of its requests. A
/// full queue evicts from the longest queue (McKenney, "Stochastic Fairness Queueing", 1990).
#[derive(Debug)]
pub struct FairQueue<T> {
    virtual_time: f64,
    queues: BTreeMap<OrganisationName, OrganisationQueue<T>>,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { virtual_time: 0.0, queues: BTreeMap::new(), length: 0 }
    }
}

impl<T> FairQueue<T> {
    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Charges an organisation for a request that is served without queueing.
    pub fn charge(&mut self, organisation: &OrganisationName, weight: u32, cost: f64) {
        let virtual_time = self.virtual_time;
        let queue = self.queue(organisation, weight);
        let start_tag = queue.finish_tag.max(virtual_time);
        queue.finish_tag = start_tag + cost / queue.weight;
        self.virtual_time = start_tag;
    }

    /// How many queued requests would be served before a new one of this organisation.
    pub fn requests_ahead(&self, organisation: &OrganisationName) -> usize {
        let finish_tag = self.queues.get(organisation).map_or(0.0, |queue| queue.finish_tag);
        self.requests_before(finish_tag.max(self.virtual_time))
    }

    /// Queues a request; `cost` is in the unit that service is shared in.
    pub fn push(
        &mut self,
        organisation: &OrganisationName,
        weight: u32,
        cost: f64,
        item: T,
    ) -> PushOutcome<T> {
        let virtual_time = self.virtual_time;
        let queue = self.queue(organisation, weight);
        if queue.waiting.len() >= MAX_QUEUED_PER_ORGANISATION {
            return PushOutcome::Full(item);
        }
        let start_tag = queue.finish_tag.max(virtual_time);
        let finish_tag = start_tag + cost / queue.weight;
        queue.finish_tag = finish_tag;
        queue.waiting.push_back(QueuedRequest { start_tag, finish_tag, item });
        self.length += 1;
        if self.length > MAX_QUEUED
            && let Some(evicted) = self.evict_from_longest()
        {
            return PushOutcome::Evicted(evicted);
        }
        PushOutcome::Queued
    }

    /// Removes and returns the queued request with the lowest start tag.
    pub fn pop(&mut self) -> Option<T> {
        let first_tag =
            |queue: &OrganisationQueue<T>| queue.waiting.front().map(|waiting| waiting.start_tag);
        let starts = self.queues.iter().filter_map(|(name, queue)| Some((first_tag(queue)?, name)));
        let (_, name) = starts.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let name = name.clone();
        let waiting = self.queues.get_mut(&name)?.waiting.pop_front()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        self.remove_idle();
        Some(waiting.item)
    }

    /// Number of queued requests whose start tag is at most `start_tag`.
    fn requests_before(&self, start_tag: f64) -> usize {
        let earlier = |queue: &OrganisationQueue<T>| {
            queue.waiting.partition_point(|w| w.start_tag <= start_tag)
        };
        self.queues.values().map(earlier).sum()
    }

    fn evict_from_longest(&mut self) -> Option<T> {
        let length = |queue: &OrganisationQueue<T>| queue.waiting.len() as f64 / queue.weight;
        let longest = self.queues.values_mut().max_by(|a, b| length(a).total_cmp(&length(b)))?;
        let last = longest.waiting.pop_back()?;
        longest.finish_tag = last.start_tag.min(last.finish_tag);
        self.length -= 1;
        Some(last.item)
    }

    /// Drops empty queues whose finish tag has passed, so that the table does not grow with the
    /// number of organisations ever seen.
    fn remove_idle(&mut self) {
        let now = self.virtual_time;
        self.queues.retain(|_, queue| !queue.waiting.is_empty() || queue.finish_tag > now);
    }

    fn queue(&mut self, organisation: &OrganisationName, weight: u32) -> &mut OrganisationQueue<T> {
        if !self.queues.contains_key(organisation) {
            let queue =
                OrganisationQueue { finish_tag: 0.0, weight: 1.0, waiting: VecDeque::new() };
            self.queues.insert(organisation.clone(), queue);
        }
        let queue = self.queues.get_mut(organisation).expect("the queue was just inserted");
        queue.weight = f64::from(weight.max(1));
        queue
    }
}
