/// What each first attempt adds, in thousandths of a retry.
const DEPOSIT: u64 = 100;
/// The cost of a retry or a hedge, in thousandths.
const RETRY: u64 = 1_000;
/// The most that can be saved up, in thousandths of a retry.
const SAVINGS: u64 = 20_000;

/// Promises retries and hedges to a share of an organisation's first attempts, so that a failing pool
/// is not pushed over by them.
///
/// ```
/// use samphireshift::policy::RetryBudget;
/// let mut budget = RetryBudget::default();
/// let allowed = (0..1_000).filter(|_| { budget.began(); budget.take() }).count();
/// assert!(allowed < 130);
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVINGS }
    }
}

impl RetryBudget {
    /// A first attempt was made.
    pub fn began(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(SAVINGS);
    }

    /// Whether a retry or hedge may be made now; if so, it is paid for.
    pub fn take(&mut self) -> bool {
        if self.saved < RETRY {
            return false;
        }
        self.saved -= RETRY;
        true
    }
}
