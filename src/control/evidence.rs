use crate::name::{TaskKind, VersionKey};
use serde::{Deserialize, Serialize};

/// The number of bet sizes that each sequential test spreads its wealth over.
pub const BET_COUNT: usize = 4;

/// A kind of observation that counts against a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// The engine returned an error.
    Failed,
    /// The answer was incomplete or not well-formed.
    Malformed,
    /// The rating service rated the answer; the observation is 1 minus the rating.
    LowRating,
    /// The first token took longer than the limit.
    Slow,
}

/// The state of one sequential test (testing by betting) of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SignalTest {
    /// The kind of observation that is tested.
    pub signal: Signal,
    /// The kind of task; `None` for all kinds together.
    pub kind: Option<TaskKind>,
    /// The number of observations.
    pub count: u64,
    /// The sum of the observations, each from 0 (good) to 1 (bad).
    pub sum: f64,
    /// The mean of the first observations; `None` until there are enough of them.
    pub reference: Option<f64>,
    /// An exponentially weighted moving average of the observations.
    pub recent: f64,
    /// The wealth of each bet; it grows as observations speak against the version.
    pub wealth: [f64; BET_COUNT],
}

/// All observations against one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The version under test.
    pub version: VersionKey,
    /// The number of answers and failures observed.
    pub answers: u64,
    /// Why the version was found bad; `None` if it was not.
    pub verdict: Option<String>,
    /// One test per signal, and per kind of task where kinds are tested apart.
    pub tests: Vec<SignalTest>,
}
