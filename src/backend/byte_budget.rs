use crate::held_answers::Readers;
use crate::policy::SlowCause;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A share of this size is granted whatever the others hold.
const FREE_SHARE_BYTES: usize = 64 << 10;
/// The longest wait for room: callers that have stalled are known by then, and servers still wait.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// How often a share that waits looks for room.
const WAIT_INTERVAL: Duration = Duration::from_millis(25);

/// What is taken of a budget, in bytes.
#[derive(Debug, Default)]
struct Taken {
    bytes: usize,
    /// Those of them that were granted whatever the others held: no caller ends for these.
    free: usize,
}

/// Limits the bytes that this process holds at the same time. The slowest of the callers that it
/// knows end where the limit is exceeded.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Not held while callers end.
    taken: Mutex<Taken>,
    readers: Readers,
}

/// The bytes that one call holds; returned to the budget on drop.
#[derive(Debug)]
pub struct ByteShare {
    budget: Arc<ByteBudget>,
    bytes: usize,
    /// Those of them that were granted whatever the others held.
    free: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    ///
    /// ```
    /// use samphireshift::backend::ByteBudget;
    /// let budget = ByteBudget::new(1 << 20);
    /// let (mut large, mut second) = (budget.share(), budget.share());
    /// assert!(large.resize(1 << 20));
    /// assert!(!second.resize(100 << 10));
    /// assert!(second.resize(1 << 10), "a small share is always granted");
    /// drop(large);
    /// assert!(second.resize(100 << 10));
    /// ```
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, taken: Mutex::default(), readers: Readers::default() })
    }

    /// An empty share.
    pub fn share(self: &Arc<Self>) -> ByteShare {
        ByteShare { budget: self.clone(), bytes: 0, free: 0 }
    }

    /// The most bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The bytes that are held now.
    pub fn held(&self) -> usize {
        self.taken().bytes
    }

    fn taken(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().expect("budget lock")
    }

    /// The callers that read what is held.
    pub fn readers(&self) -> &Readers {
        &self.readers
    }

    /// Sets `held`, what is counted of a caller's connection, to `bytes`. If all exceeds the limit,
    /// the slowest callers end.
    pub(crate) fn count(&self, held: &AtomicUsize, bytes: usize) {
        let mut taken = self.taken();
        let before = held.swap(bytes, Ordering::Relaxed);
        taken.bytes = taken.bytes + bytes - before;
        drop(taken);
        if bytes > before {
            self.end_excess();
        }
    }

    /// Gives back what is counted of a caller's connection. Returns how many bytes that was.
    pub(crate) fn give_back(&self, held: &AtomicUsize) -> usize {
        let mut taken = self.taken();
        let bytes = held.swap(0, Ordering::Relaxed);
        taken.bytes -= bytes;
        bytes
    }

    /// Moves the bytes of `share` to `held`, what is counted of a caller's connection. They stay
    /// taken throughout, so that nobody else gets their room.
    pub(crate) fn hand_over(&self, mut share: ByteShare, held: &AtomicUsize) {
        let mut taken = self.taken();
        held.fetch_add(share.bytes, Ordering::Relaxed);
        taken.free -= share.free;
        (share.bytes, share.free) = (0, 0);
        drop(taken);
        self.end_excess();
    }

    /// Takes `bytes`, if there is room, or once callers have ended that have stalled. Those that
    /// read do not end for an answer that nobody reads yet.
    fn take(&self, bytes: usize) -> bool {
        if bytes > self.limit {
            return false;
        }
        if self.take_room(bytes) {
            return true;
        }
        let excess = || (self.held() + bytes).saturating_sub(self.limit);
        self.readers.end_slowest(SlowCause::Stalled, excess);
        self.take_room(bytes)
    }

    fn take_room(&self, bytes: usize) -> bool {
        let mut taken = self.taken();
        let has_room = taken.bytes + bytes <= self.limit;
        if has_room {
            taken.bytes += bytes;
        }
        has_room
    }

    /// Ends the slowest callers if all exceeds the limit.
    fn end_excess(&self) {
        if self.excess() > 0 {
            self.readers.end_slowest(SlowCause::Slow, || self.excess());
        }
    }

    fn excess(&self) -> usize {
        let taken = self.taken();
        taken.bytes.saturating_sub(taken.free).saturating_sub(self.limit)
    }
}

impl ByteShare {
    /// Changes the share to `bytes`. Returns false, and changes nothing, if the budget does not
    /// allow it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        self.resize_by(bytes, ByteBudget::take)
    }

    /// Like [`Self::resize`], but ends no caller for the room.
    pub fn resize_if_free(&mut self, bytes: usize) -> bool {
        self.resize_by(bytes, ByteBudget::take_room)
    }

    fn resize_by<F>(&mut self, bytes: usize, take: F) -> bool
    where
        F: FnOnce(&ByteBudget, usize) -> bool,
    {
        if bytes < self.bytes {
            self.set(bytes, self.free.min(bytes));
            return true;
        }
        if bytes <= FREE_SHARE_BYTES {
            self.set(bytes, bytes);
            return true;
        }
        let more = bytes - self.bytes;
        let is_granted = more == 0 || take(&self.budget, more);
        if is_granted {
            self.bytes = bytes;
        }
        is_granted
    }

    /// The size of the share.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the share, whatever the others hold.
    fn set(&mut self, bytes: usize, free: usize) {
        if (bytes, free) == (self.bytes, self.free) {
            return;
        }
        let mut taken = self.budget.taken();
        taken.bytes = taken.bytes + bytes - self.bytes;
        taken.free = taken.free + free - self.free;
        (self.bytes, self.free) = (bytes, free);
    }

    /// Like [`Self::resize`], but waits some time for room.
    pub async fn resize_in_time(&mut self, bytes: usize) -> bool {
        let end = Instant::now() + MAX_WAIT;
        while !self.resize(bytes) {
            if bytes > self.budget.limit || Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(WAIT_INTERVAL).await;
        }
        true
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.set(0, 0);
    }
}
