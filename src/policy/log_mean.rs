use serde::{Deserialize, Serialize};

/// The mean of ratios or times on a logarithmic scale (a geometric mean), so that single calls do
/// not outweigh the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LogMean {
    /// Observations.
    pub count: u64,
    /// The least observation; 0 without observations.
    pub least: f64,
    sum: f64,
}

impl LogMean {
    /// Takes an observation above 0 in.
    ///
    /// ```
    /// use samphireshift::policy::LogMean;
    /// let mut mean = LogMean::default();
    /// mean.observe(2.0);
    /// mean.observe(8.0);
    /// assert!((mean.value() - 4.0).abs() < 1e-9);
    /// ```
    pub fn observe(&mut self, value: f64) {
        self.add(Self { count: 1, least: value, sum: value.ln() });
    }

    /// Takes the observations of another mean in.
    pub fn add(&mut self, other: LogMean) {
        self.least = match (self.count, other.count) {
            (_, 0) => self.least,
            (0, _) => other.least,
            _ => self.least.min(other.least),
        };
        self.count += other.count;
        self.sum += other.sum;
    }

    /// The mean; 1 without observations.
    pub fn value(&self) -> f64 {
        (self.sum / self.count.max(1) as f64).exp()
    }
}
