use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A share of this size is granted whatever the others hold.
const FREE_SHARE_BYTES: usize = 64 << 10;

/// Limits the bytes of responses that this process holds at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    held: AtomicUsize,
}

/// The bytes that one call holds; returned to the budget on drop.
#[derive(Debug)]
pub struct ByteShare {
    budget: Arc<ByteBudget>,
    bytes: usize,
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
        Arc::new(Self { limit, held: AtomicUsize::new(0) })
    }

    /// An empty share.
    pub fn share(self: &Arc<Self>) -> ByteShare {
        ByteShare { budget: self.clone(), bytes: 0 }
    }
}

impl ByteShare {
    /// Changes the share to `bytes`. Returns false if the budget does not allow it; the share is
    /// changed all the same, so the caller is to drop it together with the bytes.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let held = &self.budget.held;
        let before = held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        held.fetch_sub(self.bytes, Ordering::Relaxed);
        let total = before - self.bytes;
        self.bytes = bytes;
        bytes <= FREE_SHARE_BYTES || total <= self.budget.limit
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
