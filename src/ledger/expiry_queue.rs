use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Keys of records in the order in which they were last used, by ledger time. A key can be queued
/// more than once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExpiryQueue<K> {
    queue: VecDeque<(Duration, K)>,
}

impl<K> Default for ExpiryQueue<K> {
    fn default() -> Self {
        Self { queue: VecDeque::new() }
    }
}

impl<K> ExpiryQueue<K> {
    /// Queues a key whose record was used at `now`. `now` must not be earlier than in the call
    /// before.
    pub fn push(&mut self, now: Duration, key: K) {
        self.queue.push_back((now, key));
    }

    /// Removes the oldest key if it was queued at least `window` before `now`, and returns it with
    /// the time at which it was queued.
    pub fn pop_expired(&mut self, now: Duration, window: Duration) -> Option<(Duration, K)> {
        let (queued, _) = self.queue.front()?;
        match *queued + window <= now {
            true => self.queue.pop_front(),
            false => None,
        }
    }
}
