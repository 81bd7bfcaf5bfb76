use crate::control::AnswerStats;

/// Weight, in ratings, of the quality that the version's ticket declares.
const PRIOR_RATINGS: f64 = 20.0;
/// Weight, in ratings, of the mean over all organisations relative to an organisation's own
/// ratings.
const POOLED_RATINGS: f64 = 100.0;
/// Prior variance of single ratings.
const PRIOR_VARIANCE: f64 = 0.04;
/// Weight, in ratings, of the prior variance.
const VARIANCE_RATINGS: f64 = 5.0;
/// Ratings are stored in hundredths.
const RATING_SCALE: f64 = 100.0;

/// Estimated quality of a version for one organisation and kind of task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QualityEstimate {
    /// Expected quality, from 0 to 1.
    pub mean: f64,
    /// Standard deviation of single ratings.
    pub std_dev: f64,
    /// Standard error of the mean.
    pub std_error: f64,
    /// Effective number of ratings: the organisation's own, plus those of other organisations up to
    /// `POOLED_RATINGS`.
    pub ratings: f64,
}

impl QualityEstimate {
    /// Shrinks the organisation's ratings towards those of all organisations, and these towards
    /// `prior`, the quality declared in the ticket. Ratings are bounded, so a single wrong one
    /// moves the mean by at most 1 / (ratings + prior ratings).
    ///
    /// ```
    /// use samphireshift::control::AnswerStats;
    /// use samphireshift::policy::QualityEstimate;
    /// let none = AnswerStats::default();
    /// assert_eq!(QualityEstimate::new(0.8, &none, &none).mean, 0.8);
    /// ```
    pub fn new(prior: f64, pooled: &AnswerStats, own: &AnswerStats) -> Self {
        let (pooled_count, own_count) = (pooled.ratings as f64, own.ratings as f64);
        let pooled_mean = shrink(prior, PRIOR_RATINGS, pooled);
        let mean = shrink(pooled_mean, POOLED_RATINGS, own);
        let ratings = own_count + (pooled_count - own_count).clamp(0.0, POOLED_RATINGS);
        let std_dev = variance(pooled).sqrt();
        let pooled_error = pooled_count.sqrt() / (pooled_count + PRIOR_RATINGS);
        let own_error = own_count.sqrt() / (own_count + POOLED_RATINGS);
        let pooled_weight = POOLED_RATINGS / (own_count + POOLED_RATINGS);
        let std_error = std_dev * own_error.hypot(pooled_weight * pooled_error);
        Self { mean, std_dev, std_error, ratings }
    }

    /// Lower confidence bound, `z` standard errors below the mean.
    pub fn lower_bound(&self, z: f64) -> f64 {
        self.mean - z * self.std_error
    }

    /// Upper confidence bound. Its standard error counts the prior as `PRIOR_RATINGS` observations,
    /// so the bound stays wide while there are few ratings; `std_error` is 0 without any.
    pub fn upper_bound(&self, z: f64) -> f64 {
        self.mean + z * self.std_dev / (self.ratings + PRIOR_RATINGS).sqrt()
    }

    /// The probability that a single answer is rated below `target`, with ratings assumed to be
    /// normally distributed.
    pub fn prob_below(&self, target: f64) -> f64 {
        normal_cdf((target - self.mean) / self.std_dev.max(0.01))
    }
}

fn shrink(prior: f64, weight: f64, stats: &AnswerStats) -> f64 {
    let sum = stats.rating_sum as f64 / RATING_SCALE;
    (weight * prior + sum) / (weight + stats.ratings as f64)
}

fn variance(stats: &AnswerStats) -> f64 {
    let n = stats.ratings as f64;
    if n < 2.0 {
        return PRIOR_VARIANCE;
    }
    let mean = stats.rating_sum as f64 / RATING_SCALE / n;
    let squares = stats.rating_squares as f64 / (RATING_SCALE * RATING_SCALE);
    let observed = (squares - n * mean * mean).max(0.0);
    (VARIANCE_RATINGS * PRIOR_VARIANCE + observed) / (VARIANCE_RATINGS + n - 1.0)
}

/// The normal distribution function, by the logistic approximation of Bowling et al., "A logistic
/// approximation to the cumulative normal distribution", 2009; its error is below 0.00014.
fn normal_cdf(z: f64) -> f64 {
    1.0 / (1.0 + (-0.07056 * z.powi(3) - 1.5976 * z).exp())
}
