use crate::control::{BETS, Signal, SignalTest};
use crate::name::TaskKind;

/// The probability with which a good version may be stopped within [`HORIZON`] observations.
const FALSE_STOP: f64 = 0.001;
/// Observations that the probability is spread over; a roll-out has fewer.
const HORIZON: f64 = 100_000.0;
/// Observations that make a version's own reference.
const REFERENCE: u64 = 100;
/// Parts of the largest bet that keeps wealth positive.
const PARTS: [f64; BETS] = [0.05, 0.2, 0.5, 0.8];
/// Wealth never falls to zero, so that it can rise again.
const LEAST_WEALTH: f64 = 1e-200;
/// Signals that share the probability of a false stop.
const SIGNALS: f64 = 4.0;
/// Failures, as a share, that no version is blamed for.
const FAILED_FLOOR: f64 = 0.02;
/// Failures that any version is blamed for.
const FAILED_CEILING: f64 = 0.05;
/// How far ratings may fall before a version is blamed.
const RATING_MARGIN: f64 = 0.05;
/// Late first tokens, as a share, that no version is blamed for.
const SLOW_MARGIN: f64 = 0.1;
/// Observations that the mean of recent ratings looks back on.
const RATING_MEMORY: f64 = 16.0;
/// Observations that other recent means look back on.
const MEMORY: f64 = 128.0;

/// Observations of one signal that arrived together.
#[derive(Debug, Clone, Copy)]
pub enum Batch<'a> {
    /// How many were bad, and how many not.
    Counts {
        /// Bad ones.
        bad: u32,
        /// The others.
        good: u32,
    },
    /// Ratings in hundredths.
    Ratings(&'a [u8]),
}

/// A test by betting that stays valid however often it is looked at.
///
/// Each bet's wealth is multiplied by `1 + f (x - m) / m` for an observation `x` from 0 to 1, where
/// `m` bounds the mean of a good version: a nonnegative supermartingale (Waudby-Smith and Ramdas,
/// "Estimating means of bounded random variables by betting", 2024). So that a long good past does
/// not drown a late change, new wealth is put in with every observation, a mixture over all
/// possible times of onset (Shin, Ramdas and Rinaldo, "E-detectors", 2024; the recursion is that of
/// Shiryaev and Roberts). All wealth put in within [`HORIZON`] observations is at most 1, so that by
/// Ville's inequality a good version crosses `1 / p` with a probability of at most `p`.
impl SignalTest {
    /// Starts a test.
    pub fn open(signal: Signal, kind: Option<TaskKind>) -> Self {
        Self { signal, kind, count: 0, sum: 0.0, reference: None, recent: 0.0, wealth: [0.0; BETS] }
    }

    /// The mean of all observations.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }

    /// The sum of all wealth.
    pub fn total(&self) -> f64 {
        self.wealth.iter().sum()
    }

    /// The largest mean that a good version may have, given the version it is held against; `None`
    /// while nothing is known to hold it against.
    pub fn bound(&self, against: Option<&SignalTest>) -> Option<f64> {
        let other = against.and_then(|test| test.reference);
        let known = other.or(self.reference);
        match self.signal {
            Signal::Failed | Signal::Malformed => {
                Some((2.0 * known.unwrap_or(0.0)).clamp(FAILED_FLOOR, FAILED_CEILING))
            }
            Signal::LowRating => known.map(|bad| (bad + RATING_MARGIN).min(0.97)),
            // Under load every version is slow: only the one that runs beside it tells.
            Signal::Slow => {
                against.filter(|_| other.is_some()).map(|t| (2.0 * t.recent + SLOW_MARGIN).min(0.9))
            }
        }
    }

    /// Takes observations in; `bound` is the largest mean of a good version.
    pub fn observe(&mut self, batch: Batch<'_>, bound: Option<f64>) {
        let size = batch.size();
        if size == 0 {
            return;
        }
        if let Some(bound) = bound {
            self.bet(batch, bound, size);
        }
        self.look_back(batch);
        self.count += size;
        self.sum += batch.sum();
        if self.reference.is_none() && self.count >= REFERENCE {
            self.reference = Some(self.mean());
        }
    }

    /// The wealth at which the version is held to be bad; `place` is that of the kind among those
    /// tested.
    pub fn threshold(&self, place: usize) -> f64 {
        let share = match &self.kind {
            None => 0.5,
            Some(_) => 0.5 / ((place + 1) * (place + 2)) as f64,
        };
        SIGNALS / (FALSE_STOP * share)
    }

    /// Whether recent ratings are worse than a good version's may be on average.
    pub fn is_suspect(&self, bound: Option<f64>) -> bool {
        self.signal == Signal::LowRating && bound.is_some_and(|bound| self.recent > bound)
    }

    fn bet(&mut self, batch: Batch<'_>, bound: f64, size: u64) {
        let fresh = onset_weight(self.count, size) / BETS as f64;
        for (wealth, part) in self.wealth.iter_mut().zip(PARTS) {
            let lambda = part / bound;
            let factor = |x: f64| 1.0 + lambda * (x - bound);
            let product = match batch {
                Batch::Counts { bad, good } => {
                    factor(1.0).powi(bad as i32) * factor(0.0).powi(good as i32)
                }
                Batch::Ratings(ratings) => ratings.iter().map(|r| factor(badness(*r))).product(),
            };
            *wealth = ((*wealth + fresh) * product).clamp(LEAST_WEALTH, f64::MAX);
        }
    }

    fn look_back(&mut self, batch: Batch<'_>) {
        let (memory, first) = match batch {
            Batch::Counts { .. } => (MEMORY, self.count == 0),
            Batch::Ratings(_) => (RATING_MEMORY, self.count == 0),
        };
        if first {
            self.recent = batch.sum() / batch.size() as f64;
            return;
        }
        let keep = 1.0 - 1.0 / memory;
        match batch {
            Batch::Counts { .. } => {
                let kept = keep.powi(batch.size() as i32);
                let mean = batch.sum() / batch.size() as f64;
                self.recent = kept * self.recent + (1.0 - kept) * mean;
            }
            Batch::Ratings(ratings) => {
                for rating in ratings {
                    self.recent = keep * self.recent + (1.0 - keep) * badness(*rating);
                }
            }
        }
    }
}

impl Batch<'_> {
    fn size(&self) -> u64 {
        match self {
            Batch::Counts { bad, good } => u64::from(*bad) + u64::from(*good),
            Batch::Ratings(ratings) => ratings.len() as u64,
        }
    }

    fn sum(&self) -> f64 {
        match self {
            Batch::Counts { bad, .. } => f64::from(*bad),
            Batch::Ratings(ratings) => ratings.iter().map(|r| badness(*r)).sum(),
        }
    }
}

fn badness(hundredths: u8) -> f64 {
    1.0 - f64::from(hundredths.min(100)) / 100.0
}

/// The wealth put in for a change among the next `size` observations after `count`: half of it
/// spread evenly, half mostly at the beginning, when a version is new. It sums to at most 1.
fn onset_weight(count: u64, size: u64) -> f64 {
    let even = size as f64 / HORIZON;
    let log = |at: u64| (at as f64 + std::f64::consts::E).ln();
    let early = 1.0 / log(count) - 1.0 / log(count + size);
    0.5 * even + 0.5 * early
}
