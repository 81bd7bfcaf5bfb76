use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Keys in the order in which their records were last touched, by ledger time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ages<K> {
    queue: VecDeque<(Duration, K)>,
}

impl<K> Default for Ages<K> {
    fn default() -> Self {
        Self { queue: VecDeque::new() }
    }
}

impl<K> Ages<K> {
    /// Notes that a key's record was touched at `now`, which never runs backwards.
    pub fn note(&mut self, now: Duration, key: K) {
        self.queue.push_back((now, key));
    }

    /// Takes the oldest key if it was noted at least `window` before `now`, with that time.
    pub fn pop_due(&mut self, now: Duration, window: Duration) -> Option<(Duration, K)> {
        let (noted, _) = self.queue.front()?;
        match *noted + window <= now {
            true => self.queue.pop_front(),
            false => None,
        }
    }
}
