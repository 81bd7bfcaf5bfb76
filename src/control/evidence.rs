use crate::name::{TaskKind, VersionKey};
use serde::{Deserialize, Serialize};

/// Bets that one test spreads its wealth over.
pub const BETS: usize = 4;

/// What speaks against a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// The engine answered with an error.
    Failed,
    /// The answer was not a whole, well-formed one.
    Malformed,
    /// The rating service's verdict, 1 less the rating.
    LowRating,
    /// The first token came late.
    Slow,
}

/// The state of one sequential test of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SignalTest {
    /// What is tested.
    pub signal: Signal,
    /// The kind of task; `None` for all kinds together.
    pub kind: Option<TaskKind>,
    /// Observations.
    pub count: u64,
    /// Their sum; each is from 0 (good) to 1 (bad).
    pub sum: f64,
    /// The mean of the first observations, once there were enough.
    pub reference: Option<f64>,
    /// An exponentially weighted mean of the last observations.
    pub recent: f64,
    /// The wealth of each bet against the version.
    pub wealth: [f64; BETS],
}

/// All that is known against one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The version.
    pub version: VersionKey,
    /// Answers and failures seen.
    pub answers: u64,
    /// Why it is held to be bad, once it is.
    pub verdict: Option<String>,
    /// Its tests.
    pub tests: Vec<SignalTest>,
}
