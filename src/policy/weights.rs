/// Relative weights of the objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Weight of the cost of answers that meet the quality target.
    pub cost: u32,
    /// Weight of latency.
    pub latency: u32,
    /// Weight of the exposure to bad versions.
    pub exposure: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { cost: 1, latency: 1, exposure: 1 }
    }
}

impl Weights {
    /// Number of standard errors between the estimated quality and the bound that is compared with
    /// the target.
    ///
    /// ```
    /// use samphireshift::policy::Weights;
    /// let careful = Weights { cost: 1, latency: 1, exposure: 3 };
    /// assert!(careful.bound_z() > Weights::default().bound_z());
    /// ```
    pub fn bound_z(&self) -> f64 {
        1.0 + 2.0 * self.exposure_fraction()
    }

    /// The share of requests that may explore a cheaper version of uncertain quality, in
    /// thousandths.
    pub fn explore_permille(&self) -> u32 {
        const MAX_PERMILLE: f64 = 20.0;
        (MAX_PERMILLE * (1.0 - self.exposure_fraction())).round() as u32
    }

    /// Whether a cascade pays off, given its expected cost and latency relative to using the better
    /// version directly.
    pub fn cascade_pays(&self, cost: f64, latency: f64) -> bool {
        let (by_cost, by_latency) = (f64::from(self.cost), f64::from(self.latency));
        cost < 1.0 && by_cost * cost + by_latency * latency < by_cost + by_latency
    }

    fn exposure_fraction(&self) -> f64 {
        let all = self.cost + self.latency + self.exposure;
        f64::from(self.exposure) / f64::from(all.max(1))
    }
}
