use super::time_model::TIME_SPREAD;
use super::{FirstEventWork, TimeModel};

/// Likelihood that both cases keep, so that an odd time decides nothing.
const MIN_LIKELIHOOD: f64 = 1e-6;

/// The longest shared part of a prompt: the server keeps it as a whole or reads it as a whole, so
/// that the expected number of tokens is never what was read. A model that took the mean for the
/// work would learn that reading takes hardly any time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DoubtfulPart {
    /// Tokens of the part.
    pub tokens: f64,
    /// The chance that the server keeps it and all parts before it.
    pub chance: f64,
}

/// The work of a call as its time shows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JudgedWork {
    /// The expected work.
    pub work: FirstEventWork,
    /// The chance that the server had kept the longest shared part.
    pub chance: f64,
    /// Variance of the time that the work takes, in ms squared.
    pub variance: f64,
}

impl DoubtfulPart {
    /// The last of some parts, given as (tokens, chance that it is kept) from the first one.
    pub fn last<I>(parts: I) -> Self
    where
        I: IntoIterator<Item = (f64, f64)>,
    {
        let first = Self { tokens: 0.0, chance: 1.0 };
        parts.into_iter().fold(first, |before, (tokens, chance)| Self {
            tokens,
            chance: before.chance.min(chance),
        })
    }

    /// The work of a call whose first event came after `ms` at usual speed: whether the part was
    /// read is judged by the time.
    ///
    /// ```
    /// use samphireshift::policy::{DoubtfulPart, FirstEventWork, TimeModel};
    /// let part = DoubtfulPart { tokens: 4_000.0, chance: 0.9 };
    /// let work = FirstEventWork { tokens: 1_400.0, ..FirstEventWork::default() };
    /// let times = TimeModel::default();
    /// let read = |ms| part.given(&work, &times, ms).work.tokens;
    /// assert!(read(110.0) < 1_100.0, "kept");
    /// assert!(read(400.0) > 4_900.0, "read");
    /// ```
    pub fn given(&self, work: &FirstEventWork, times: &TimeModel, ms: f64) -> JudgedWork {
        let expected = self.tokens * (1.0 - self.chance);
        let kept = FirstEventWork { tokens: (work.tokens - expected).max(0.0), ..*work };
        let read = FirstEventWork { tokens: kept.tokens + self.tokens, ..*work };
        let kept_weight = self.chance * likelihood(times, &kept, ms);
        let read_weight = (1.0 - self.chance) * likelihood(times, &read, ms);
        let chance = kept_weight / (kept_weight + read_weight);
        let tokens = kept.tokens + (1.0 - chance) * self.tokens;
        let variance = chance * (1.0 - chance) * (self.tokens * times.token_ms()).powi(2);
        JudgedWork { work: FirstEventWork { tokens, ..*work }, chance, variance }
    }
}

fn likelihood(times: &TimeModel, work: &FirstEventWork, ms: f64) -> f64 {
    let off = (ms.max(1.0) / times.expect(work).max(1.0)).ln() / TIME_SPREAD;
    (-off * off / 2.0).exp() + MIN_LIKELIHOOD
}
