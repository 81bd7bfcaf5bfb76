use serde::{Deserialize, Serialize};

/// The ten ranks of callers, 0 the most urgent, and one for late or excess work.
pub(super) const RANKS: usize = 11;
/// The rank of what gives way to all others.
pub(super) const LAST_RANK: usize = RANKS - 1;

/// What calls ask of a pool and what comes back, as one router sees it or as a sum over routers. What is decided
/// by it are ratios of its parts, so a sum over some of the routers tells as much as one over all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolPressure {
    /// Calls that run or wait at the servers.
    pub in_flight: f64,
    /// Work offered by rank, in seconds of a place a second.
    pub offered: [f64; RANKS],
    /// Work that was sent on, in the same unit.
    pub sent: f64,
    /// Work of the answers that have come, in the same unit.
    pub drained: f64,
    /// Answers that have come, a second.
    pub answers: f64,
}

impl PoolPressure {
    /// Adds another part of the fleet.
    pub fn add(&mut self, other: &Self) {
        *self = self.combine(other, |own, other| own + other);
    }

    /// The mean of this and another one, which counts for `weight`, from 0 to 1.
    ///
    /// ```
    /// use samphireshift::policy::PoolPressure;
    /// let (none, some) = (PoolPressure::default(), PoolPressure { sent: 4.0, ..Default::default() });
    /// assert_eq!(none.mixed_with(&some, 0.25).sent, 1.0);
    /// ```
    pub fn mixed_with(&self, other: &Self, weight: f64) -> Self {
        self.combine(other, |own, other| own + (other - own) * weight)
    }

    /// A part of it.
    pub fn scaled(&self, factor: f64) -> Self {
        self.combine(self, |own, _| own * factor)
    }

    /// All offered work, in seconds of a place a second.
    pub fn all_offered(&self) -> f64 {
        self.offered.iter().sum()
    }

    /// Whether no part is negative, infinite or not a number, as none of an honest report is.
    pub fn is_valid(&self) -> bool {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        [self.in_flight, self.sent, self.drained, self.answers].into_iter().all(is_valid)
            && self.offered.into_iter().all(is_valid)
    }

    fn combine<F>(&self, other: &Self, join: F) -> Self
    where
        F: Fn(f64, f64) -> f64,
    {
        let mut offered = self.offered;
        for (own, other) in offered.iter_mut().zip(other.offered) {
            *own = join(*own, other);
        }
        Self {
            in_flight: join(self.in_flight, other.in_flight),
            offered,
            sent: join(self.sent, other.sent),
            drained: join(self.drained, other.drained),
            answers: join(self.answers, other.answers),
        }
    }
}
