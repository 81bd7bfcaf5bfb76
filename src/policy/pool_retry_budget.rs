use std::collections::VecDeque;
use std::time::Duration;

/// Number of slices in the window; counts are off by at most one slice.
const SLICE_COUNT: u32 = 10;
/// Fraction of the budget that is used: an observer's windows start at other moments than the
/// router's, and would otherwise see the budget exceeded.
const USED_FRACTION: f64 = 0.8;

/// Calls and retries in one slice of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    calls: u32,
    retries: u32,
}

/// A router's part of the retry budget of one pool: within any window, retries stay below a
/// fraction of the calls plus an allowance that is divided among all routers. A router that is
/// partitioned from the others keeps its last part of the allowance.
///
/// ```
/// use samphireshift::policy::PoolRetryBudget;
/// use std::time::Duration;
/// let mut budget = PoolRetryBudget::new(Duration::from_secs(10), 0.5, 10.0);
/// let now = Duration::from_secs(100);
/// (0..100).for_each(|_| budget.record_call(now));
/// let allowed = (0..100).filter(|_| budget.take(now)).count();
/// assert_eq!(allowed, 48);
/// ```
#[derive(Debug, Clone)]
pub struct PoolRetryBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    slices: VecDeque<Slice>,
}

impl PoolRetryBudget {
    /// Creates a budget of `ratio` retries per call and `allowance` more in each window.
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self { window, ratio, allowance, slices: VecDeque::new() }
    }

    /// Sets this router's part of the allowance, in retries per window.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Records a call to the pool.
    pub fn record_call(&mut self, now: Duration) {
        self.slice(now).calls += 1;
    }

    /// Whether a call may be retried now; if so, the retry is counted.
    pub fn take(&mut self, now: Duration) -> bool {
        self.slice(now);
        let calls: u32 = self.slices.iter().map(|slice| slice.calls).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let most = USED_FRACTION * (self.ratio * f64::from(calls) + self.allowance);
        let allowed = f64::from(retries + 1) <= most;
        if allowed {
            self.slice(now).retries += 1;
        }
        allowed
    }

    fn slice(&mut self, now: Duration) -> &mut Slice {
        let length = (self.window / SLICE_COUNT).max(Duration::from_millis(1));
        let number = (now.as_nanos() / length.as_nanos()) as u64;
        while self.slices.front().is_some_and(|old| old.number + u64::from(SLICE_COUNT) < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
