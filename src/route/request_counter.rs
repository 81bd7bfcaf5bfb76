use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the requests in flight on this router.
#[derive(Debug, Default)]
pub struct RequestCounter {
    in_flight: AtomicU64,
}

/// Keeps a request counted until dropped.
#[derive(Debug)]
pub struct CountedRequest(Arc<RequestCounter>);

impl RequestCounter {
    /// Creates a counter at zero.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the returned guard is dropped.
    pub fn start(self: &Arc<Self>) -> CountedRequest {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CountedRequest(self.clone())
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
