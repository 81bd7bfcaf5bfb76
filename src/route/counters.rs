use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Requests under way.
#[derive(Debug, Default)]
pub struct Counters {
    requests: AtomicU64,
}

/// A request that is counted until this is dropped.
#[derive(Debug)]
pub struct Counted(Arc<Counters>);

impl Counters {
    /// Starts at zero.
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    /// Requests under way.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Counts a request.
    pub fn enter(self: &Arc<Self>) -> Counted {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Counted(self.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
