use crate::control::Learned;

/// Ratings that the ticket's expectation counts as.
const PRIOR_RATINGS: f64 = 20.0;
/// Ratings that the mean of all organisations counts as beside one organisation's own.
const POOL_RATINGS: f64 = 100.0;
/// Variance assumed of single ratings before any is known.
const PRIOR_VARIANCE: f64 = 0.04;
/// Ratings that the assumed variance counts as.
const VARIANCE_RATINGS: f64 = 5.0;
/// Ratings are kept in hundredths.
const HUNDRED: f64 = 100.0;

/// What is known of a version's quality for one organisation and kind of task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Expected quality, from 0 to 1.
    pub mean: f64,
    /// Standard deviation of single ratings.
    pub spread: f64,
    /// Standard error of the mean.
    pub error: f64,
    /// Ratings behind it, those of all organisations counted up to their weight.
    pub ratings: f64,
}

impl Estimate {
    /// Shrinks the organisation's ratings towards those of all organisations, and these towards
    /// the expectation of the ticket. Ratings are bounded, so that a single wrong one moves the
    /// mean by at most one part in the number of ratings and prior ratings.
    ///
    /// ```
    /// use samphireshift::control::Learned;
    /// use samphireshift::policy::Estimate;
    /// let none = Learned::default();
    /// assert_eq!(Estimate::new(0.8, &none, &none).mean, 0.8);
    /// ```
    pub fn new(prior: f64, pooled: &Learned, own: &Learned) -> Self {
        let (all, n) = (pooled.ratings as f64, own.ratings as f64);
        let everyone = shrink(prior, PRIOR_RATINGS, pooled);
        let mean = shrink(everyone, POOL_RATINGS, own);
        let ratings = n + (all - n).clamp(0.0, POOL_RATINGS);
        let spread = variance(pooled).sqrt();
        let of_all = all.sqrt() / (all + PRIOR_RATINGS);
        let of_own = n.sqrt() / (n + POOL_RATINGS);
        let part = POOL_RATINGS / (n + POOL_RATINGS);
        let error = spread * of_own.hypot(part * of_all);
        Self { mean, spread, error, ratings }
    }

    /// A lower bound, `z` standard errors below the mean.
    pub fn lower(&self, z: f64) -> f64 {
        self.mean - z * self.error
    }

    /// An upper bound that stays open while there are few ratings.
    pub fn upper(&self, z: f64) -> f64 {
        self.mean + z * self.spread / (self.ratings + PRIOR_RATINGS).sqrt()
    }

    /// The probability that a single answer is rated below `target`, ratings taken as normal.
    pub fn below(&self, target: f64) -> f64 {
        normal_cdf((target - self.mean) / self.spread.max(0.01))
    }
}

fn shrink(prior: f64, weight: f64, learned: &Learned) -> f64 {
    let sum = learned.sum as f64 / HUNDRED;
    (weight * prior + sum) / (weight + learned.ratings as f64)
}

fn variance(learned: &Learned) -> f64 {
    let n = learned.ratings as f64;
    if n < 2.0 {
        return PRIOR_VARIANCE;
    }
    let mean = learned.sum as f64 / HUNDRED / n;
    let squares = learned.squares as f64 / (HUNDRED * HUNDRED);
    let seen = (squares - n * mean * mean).max(0.0);
    (VARIANCE_RATINGS * PRIOR_VARIANCE + seen) / (VARIANCE_RATINGS + n - 1.0)
}

/// The normal distribution function by the logistic approximation of Bowling et al., "A logistic
/// approximation to the cumulative normal distribution", 2009; its error is below 0.00014.
fn normal_cdf(z: f64) -> f64 {
    1.0 / (1.0 + (-0.07056 * z.powi(3) - 1.5976 * z).exp())
}
