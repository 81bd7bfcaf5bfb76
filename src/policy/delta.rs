use crate::control::{Learned, StatKey};
use serde::{Deserialize, Serialize};

/// What one router saw of one key since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The key.
    pub key: StatKey,
    /// Whole answers.
    pub answers: u32,
    /// Answers of engines that were errors.
    pub failed: u32,
    /// Answers that were not whole or not well-formed.
    pub malformed: u32,
    /// Streams whose first token came.
    pub firsts: u32,
    /// Those of them whose first token came late.
    pub slow: u32,
    /// Tokens of prompts.
    pub prompt: u64,
    /// Tokens of answers.
    pub tokens: u64,
    /// Time that the answers took, in milliseconds.
    pub millis: u64,
    /// Ratings in hundredths.
    pub ratings: Vec<u8>,
}

/// The counts of one router; sent again unchanged until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountReport {
    /// Rises by one with each report of a router's run.
    pub number: u64,
    /// The counts.
    pub deltas: Vec<Delta>,
}

impl Delta {
    /// Counts nothing yet.
    pub fn new(key: StatKey) -> Self {
        let ratings = Vec::new();
        Self {
            key,
            answers: 0,
            failed: 0,
            malformed: 0,
            firsts: 0,
            slow: 0,
            prompt: 0,
            tokens: 0,
            millis: 0,
            ratings,
        }
    }

    /// The sums that the counts add up to.
    pub fn learned(&self) -> Learned {
        let mut learned = Learned {
            answers: self.answers.into(),
            prompt: self.prompt,
            tokens: self.tokens,
            millis: self.millis,
            ..Learned::default()
        };
        self.ratings.iter().for_each(|rating| learned.rate(*rating));
        learned
    }
}
