use std::collections::VecDeque;
use std::time::Duration;

/// Slices of the window; a count is off by one slice at most.
const SLICES: u32 = 10;
/// The part of what is allowed that is used, since routers count at other moments than a watcher.
const USED: f64 = 0.8;

/// Calls and repeated sends in one slice of time.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    calls: u32,
    repeats: u32,
}

/// A router's part of the budget that a fleet has for repeated sends to one pool (retry budget):
/// within any window they stay under a part of the calls, plus an allowance that all routers share.
/// A router that is cut off goes on with the share that it had.
///
/// ```
/// use samphireshift::policy::RepeatBudget;
/// use std::time::Duration;
/// let mut budget = RepeatBudget::open(Duration::from_secs(10), 0.5, 10.0);
/// let now = Duration::from_secs(100);
/// (0..100).for_each(|_| budget.called(now));
/// let allowed = (0..100).filter(|_| budget.take(now)).count();
/// assert_eq!(allowed, 48);
/// ```
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    slices: VecDeque<Slice>,
}

impl RepeatBudget {
    /// Starts a budget of `ratio` repeated sends a call and `allowance` more in each window.
    pub fn open(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self { window, ratio, allowance, slices: VecDeque::new() }
    }

    /// Sets this router's part of the allowance.
    pub fn share(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// A call for the pool has come.
    pub fn called(&mut self, now: Duration) {
        self.slice(now).calls += 1;
    }

    /// Whether a call may be sent once more now; if so, it is counted.
    pub fn take(&mut self, now: Duration) -> bool {
        self.slice(now);
        let calls: u32 = self.slices.iter().map(|slice| slice.calls).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let most = USED * (self.ratio * f64::from(calls) + self.allowance);
        let allowed = f64::from(repeats + 1) <= most;
        if allowed {
            self.slice(now).repeats += 1;
        }
        allowed
    }

    fn slice(&mut self, now: Duration) -> &mut Slice {
        let length = (self.window / SLICES).max(Duration::from_millis(1));
        let number = (now.as_nanos() / length.as_nanos()) as u64;
        while self.slices.front().is_some_and(|old| old.number + u64::from(SLICES) < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
