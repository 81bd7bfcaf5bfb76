use std::time::Duration;

/// A sum over the last while, in which older amounts count less and less.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayingSum {
    value: f64,
    weight: f64,
    at: Duration,
    span: Duration,
}

impl DecayingSum {
    /// An empty sum; an amount counts 1/e after `span`.
    pub fn new(now: Duration, span: Duration) -> Self {
        Self { value: 0.0, weight: 0.0, at: now, span }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.decay(now);
        self.value += amount;
    }

    /// Amount a second, over the time since the sum was begun or, later on, over about `span`.
    ///
    /// ```
    /// use samphireshift::policy::DecayingSum;
    /// use std::time::Duration;
    /// let mut sum = DecayingSum::new(Duration::ZERO, Duration::from_secs(10));
    /// (1..=100).for_each(|tenth| sum.add(Duration::from_millis(100 * tenth), 0.5));
    /// assert!((sum.rate(Duration::from_secs(10)) - 5.0).abs() < 0.1);
    /// ```
    pub fn rate(&self, now: Duration) -> f64 {
        let mut current = *self;
        current.decay(now);
        if current.weight > 0.0 { current.value / current.weight } else { 0.0 }
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let span = self.span.as_secs_f64();
        let kept = (-elapsed / span).exp();
        self.value *= kept;
        self.weight = self.weight * kept + (1.0 - kept) * span;
        self.at = self.at.max(now);
    }
}
