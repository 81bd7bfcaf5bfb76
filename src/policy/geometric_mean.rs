use serde::{Deserialize, Serialize};

/// Geometric mean of ratios or times: averaging on a logarithmic scale keeps single outliers from
/// dominating.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct GeometricMean {
    /// Number of observations.
    pub count: u64,
    /// The smallest observation; 0 without observations.
    pub min: f64,
    log_sum: f64,
}

impl GeometricMean {
    /// Adds an observation, which must be above 0.
    ///
    /// ```
    /// use samphireshift::policy::GeometricMean;
    /// let mut mean = GeometricMean::default();
    /// mean.observe(2.0);
    /// mean.observe(8.0);
    /// assert!((mean.value() - 4.0).abs() < 1e-9);
    /// ```
    pub fn observe(&mut self, value: f64) {
        self.add(Self { count: 1, min: value, log_sum: value.ln() });
    }

    /// Adds the observations of another mean.
    pub fn add(&mut self, other: GeometricMean) {
        self.min = match (self.count, other.count) {
            (_, 0) => self.min,
            (0, _) => other.min,
            _ => self.min.min(other.min),
        };
        self.count += other.count;
        self.log_sum += other.log_sum;
    }

    /// The mean; 1 without observations.
    pub fn value(&self) -> f64 {
        (self.log_sum / self.count.max(1) as f64).exp()
    }
}
