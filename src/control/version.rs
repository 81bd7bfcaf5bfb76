use crate::name::{ModelName, PoolName, VersionKey, VersionName};
use serde::{Deserialize, Serialize};

/// Whether a version accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Accepts new and existing sessions.
    #[default]
    Open,
    /// Serves existing sessions but accepts no new ones.
    Closing,
    /// Accepts no requests.
    Withdrawn,
}

/// The price of a version's tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// The price of 1,000 prompt tokens, in millionths of the billing currency.
    pub prompt: u64,
    /// The price of 1,000 answer tokens, in millionths of the billing currency.
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
    /// The model that this is a version of.
    pub model: ModelName,
    /// The version's name, unique within the model.
    pub version: VersionName,
    /// The pool of backend servers that serve it.
    pub pool: PoolName,
    /// Whether the version accepts new work.
    #[serde(default)]
    pub state: VersionState,
    /// The expected quality of answers before any are rated, from 0 to 1.
    pub quality: f64,
    /// The price of the version's tokens.
    pub price: Price,
}

impl Version {
    /// The key of this version: model and version name.
    pub fn key(&self) -> VersionKey {
        VersionKey::new(self.model.clone(), self.version.clone())
    }
}
