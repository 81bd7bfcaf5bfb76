/// Credit for each first attempt, in thousandths of a retry.
const ATTEMPT_CREDIT: u64 = 100;
/// Cost of a retry or hedge, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Maximum credit, in thousandths of a retry.
const MAX_CREDIT: u64 = 20_000;

/// Limits an organisation's retries and hedges to a fraction of its first attempts (a token
/// bucket), so that they do not overload a failing pool.
///
/// ```
/// use samphireshift::policy::RetryBudget;
/// let mut budget = RetryBudget::default();
/// let allowed = (0..1_000).filter(|_| { budget.record_attempt(); budget.take() }).count();
/// assert!(allowed < 130);
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: MAX_CREDIT }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_attempt(&mut self) {
        self.credit = (self.credit + ATTEMPT_CREDIT).min(MAX_CREDIT);
    }

    /// Whether a retry or hedge may be sent now; if so, its cost is deducted.
    pub fn take(&mut self) -> bool {
        if self.credit < RETRY_COST {
            return false;
        }
        self.credit -= RETRY_COST;
        true
    }
}
