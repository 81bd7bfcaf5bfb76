use crate::control::{BET_COUNT, Signal, SignalTest};
use crate::name::TaskKind;

/// Probability that a good version is stopped within `HORIZON_OBSERVATIONS` observations.
const FALSE_STOP_PROBABILITY: f64 = 0.001;
/// Observations over which that probability holds; a roll-out has fewer.
const HORIZON_OBSERVATIONS: f64 = 100_000.0;
/// Observations after which a version's mean becomes its own reference.
const REFERENCE_OBSERVATIONS: u64 = 100;
/// Bets, as fractions of the largest bet that keeps the wealth positive.
const BET_FRACTIONS: [f64; BET_COUNT] = [0.05, 0.2, 0.5, 0.8];
/// Lower bound on the wealth; a wealth of zero could never grow again.
const MIN_WEALTH: f64 = 1e-200;
/// Number of signals that share the probability of a false stop.
const SIGNAL_COUNT: f64 = 4.0;
/// Failure rate that is tolerated of any version.
const MIN_FAILURE_BOUND: f64 = 0.02;
/// Failure rate above which any version is found bad, whatever its reference.
const MAX_FAILURE_BOUND: f64 = 0.05;
/// Tolerated drop in the mean rating.
const RATING_MARGIN: f64 = 0.05;
/// Fraction of late first tokens that is tolerated on top of twice the recent rate of the version
/// compared with.
const SLOW_MARGIN: f64 = 0.1;
/// Time constant of the recent mean of ratings, in observations.
const RATING_WINDOW: f64 = 16.0;
/// Time constant of the recent means of other signals, in observations.
const COUNT_WINDOW: f64 = 128.0;

/// Observations of one signal that arrived together.
#[derive(Debug, Clone, Copy)]
pub enum ObservationBatch<'a> {
    /// Numbers of bad and good observations.
    Counts {
        /// Observations with the signal, such as failed answers.
        bad: u32,
        /// Observations without it.
        good: u32,
    },
    /// Ratings, each from 0 to 100.
    Ratings(&'a [u8]),
}

/// A sequential test by betting, valid at every time it is evaluated.
///
/// Each bet's wealth is multiplied by `1 + f (x - m) / m` for an observation `x` from 0 to 1, where
/// `m` bounds the mean of a good version: a nonnegative supermartingale (Waudby-Smith and Ramdas,
/// "Estimating means of bounded random variables by betting", 2024). New wealth is added with every
/// observation, a mixture over all possible change points, so that a long good history does not
/// hide a late change (Shin, Ramdas and Rinaldo, "E-detectors", 2024; the recursion is that of
/// Shiryaev and Roberts). The wealth added within `HORIZON_OBSERVATIONS` observations is at most 1
/// in total, so by Ville's inequality a good version crosses `1 / p` with a probability of at most
/// `p`.
impl SignalTest {
    /// Starts a test without observations.
    pub fn new(signal: Signal, kind: Option<TaskKind>) -> Self {
        Self {
            signal,
            kind,
            count: 0,
            sum: 0.0,
            reference: None,
            recent: 0.0,
            wealth: [0.0; BET_COUNT],
        }
    }

    /// The mean of all observations.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }

    /// The total wealth of all bets.
    pub fn total_wealth(&self) -> f64 {
        self.wealth.iter().sum()
    }

    /// The largest mean that a good version may have, given the same test of the version it is
    /// compared with; `None` while there is nothing to compare with.
    pub fn bound(&self, baseline: Option<&SignalTest>) -> Option<f64> {
        let other = baseline.and_then(|test| test.reference);
        let known = other.or(self.reference);
        match self.signal {
            Signal::Failed | Signal::Malformed => {
                Some((2.0 * known.unwrap_or(0.0)).clamp(MIN_FAILURE_BOUND, MAX_FAILURE_BOUND))
            }
            Signal::LowRating => known.map(|bad| (bad + RATING_MARGIN).min(0.97)),
            // Every version is slow under load, so it is compared only with the version that runs
            // beside it.
            Signal::Slow => baseline
                .filter(|_| other.is_some())
                .map(|t| (2.0 * t.recent + SLOW_MARGIN).min(0.9)),
        }
    }

    /// Adds observations; `bound` is the largest mean of a good version. Without a bound, they only
    /// count towards the means.
    pub fn observe(&mut self, batch: ObservationBatch<'_>, bound: Option<f64>) {
        let size = batch.size();
        if size == 0 {
            return;
        }
        if let Some(bound) = bound {
            self.bet(batch, bound, size);
        }
        self.update_recent(batch);
        self.count += size;
        self.sum += batch.sum();
        if self.reference.is_none() && self.count >= REFERENCE_OBSERVATIONS {
            self.reference = Some(self.mean());
        }
    }

    /// The total wealth at which the version is found bad; `position` is the position of the kind
    /// among the kinds tested for this signal.
    pub fn threshold(&self, position: usize) -> f64 {
        let share = match &self.kind {
            None => 0.5,
            Some(_) => 0.5 / ((position + 1) * (position + 2)) as f64,
        };
        SIGNAL_COUNT / (FALSE_STOP_PROBABILITY * share)
    }

    /// Whether recent ratings are worse than those of a good version may be on average.
    pub fn is_suspect(&self, bound: Option<f64>) -> bool {
        self.signal == Signal::LowRating && bound.is_some_and(|bound| self.recent > bound)
    }

    fn bet(&mut self, batch: ObservationBatch<'_>, bound: f64, size: u64) {
        let fresh = onset_weight(self.count, size) / BET_COUNT as f64;
        for (wealth, fraction) in self.wealth.iter_mut().zip(BET_FRACTIONS) {
            let lambda = fraction / bound;
            let factor = |x: f64| 1.0 + lambda * (x - bound);
            let product = match batch {
                ObservationBatch::Counts { bad, good } => {
                    factor(1.0).powi(bad as i32) * factor(0.0).powi(good as i32)
                }
                ObservationBatch::Ratings(ratings) => {
                    ratings.iter().map(|r| factor(badness(*r))).product()
                }
            };
            *wealth = ((*wealth + fresh) * product).clamp(MIN_WEALTH, f64::MAX);
        }
    }

    fn update_recent(&mut self, batch: ObservationBatch<'_>) {
        let (window, first) = match batch {
            ObservationBatch::Counts { .. } => (COUNT_WINDOW, self.count == 0),
            ObservationBatch::Ratings(_) => (RATING_WINDOW, self.count == 0),
        };
        if first {
            self.recent = batch.sum() / batch.size() as f64;
            return;
        }
        let keep = 1.0 - 1.0 / window;
        match batch {
            ObservationBatch::Counts { .. } => {
                let kept = keep.powi(batch.size() as i32);
                let mean = batch.sum() / batch.size() as f64;
                self.recent = kept * self.recent + (1.0 - kept) * mean;
            }
            ObservationBatch::Ratings(ratings) => {
                for rating in ratings {
                    self.recent = keep * self.recent + (1.0 - keep) * badness(*rating);
                }
            }
        }
    }
}

impl ObservationBatch<'_> {
    fn size(&self) -> u64 {
        match self {
            ObservationBatch::Counts { bad, good } => u64::from(*bad) + u64::from(*good),
            ObservationBatch::Ratings(ratings) => ratings.len() as u64,
        }
    }

    fn sum(&self) -> f64 {
        match self {
            ObservationBatch::Counts { bad, .. } => f64::from(*bad),
            ObservationBatch::Ratings(ratings) => ratings.iter().map(|r| badness(*r)).sum(),
        }
    }
}

fn badness(hundredths: u8) -> f64 {
    1.0 - f64::from(hundredths.min(100)) / 100.0
}

/// Wealth added for a change among the next `size` observations after `count`: half of it is spread
/// evenly over `HORIZON_OBSERVATIONS`, the other half falls mostly on the first observations, when
/// a version is new. The total is at most 1.
fn onset_weight(count: u64, size: u64) -> f64 {
    let even = size as f64 / HORIZON_OBSERVATIONS;
    let log = |at: u64| (at as f64 + std::f64::consts::E).ln();
    let early = 1.0 / log(count) - 1.0 / log(count + size);
    0.5 * even + 0.5 * early
}
