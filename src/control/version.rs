use crate::name::{ModelName, PoolName, VersionKey, VersionName};
use serde::{Deserialize, Serialize};

/// Whether a version takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Takes everything.
    #[default]
    Open,
    /// Sessions that began on it go on; no new ones.
    Closing,
    /// Takes nothing.
    Withdrawn,
}

/// What a version's tokens cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Per thousand prompt tokens, in millionths of the billing currency.
    pub prompt: u64,
    /// Per thousand answer tokens, in millionths of the billing currency.
    pub answer: u64,
}

impl Price {
    /// The cost of an answer, rounded up, in millionths of the billing currency.
    ///
    /// ```
    /// use samphireshift::control::Price;
    /// let price = Price { prompt: 1_000, answer: 2_000 };
    /// assert_eq!(price.cost(500, 500), 1_500);
    /// ```
    pub fn cost(&self, prompt_tokens: u64, answer_tokens: u64) -> u64 {
        const TOKENS_PER_PRICE: u64 = 1_000;
        let cost = self.prompt * prompt_tokens + self.answer * answer_tokens;
        cost.div_ceil(TOKENS_PER_PRICE)
    }
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Its model.
    pub model: ModelName,
    /// Its name within the model.
    pub version: VersionName,
    /// The pool of backend servers that serve it.
    pub pool: PoolName,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: VersionState,
    /// Its expected quality before any rating, from 0 to 1.
    pub quality: f64,
    /// What its tokens cost.
    pub price: Price,
}

impl Version {
    /// Model and version together.
    pub fn key(&self) -> VersionKey {
        VersionKey::new(self.model.clone(), self.version.clone())
    }
}
