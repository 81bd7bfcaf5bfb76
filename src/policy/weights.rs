/// How much each measure weighs, relative to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Cost at the quality target.
    pub cost: u32,
    /// Latency.
    pub latency: u32,
    /// Exposure to bad versions.
    pub exposure: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { cost: 1, latency: 1, exposure: 1 }
    }
}

impl Weights {
    /// Standard errors between the mean and the bound that must meet the target.
    ///
    /// ```
    /// use samphireshift::policy::Weights;
    /// let careful = Weights { cost: 1, latency: 1, exposure: 3 };
    /// assert!(careful.caution() > Weights::default().caution());
    /// ```
    pub fn caution(&self) -> f64 {
        1.0 + 2.0 * self.exposed()
    }

    /// The share of requests that may try a cheaper version of open quality, in thousandths.
    pub fn explore(&self) -> u32 {
        const MOST: f64 = 20.0;
        (MOST * (1.0 - self.exposed())).round() as u32
    }

    /// Whether a cascade pays, given its expected cost and latency as parts of those of going
    /// straight to the better version.
    pub fn cascade_pays(&self, cost: f64, latency: f64) -> bool {
        let (by_cost, by_latency) = (f64::from(self.cost), f64::from(self.latency));
        cost < 1.0 && by_cost * cost + by_latency * latency < by_cost + by_latency
    }

    fn exposed(&self) -> f64 {
        let all = self.cost + self.latency + self.exposure;
        f64::from(self.exposure) / f64::from(all.max(1))
    }
}
