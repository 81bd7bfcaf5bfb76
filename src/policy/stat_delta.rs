use crate::control::{AnswerStats, StatKey};
use serde::{Deserialize, Serialize};

/// What one router counted for one key since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatDelta {
    /// The organisation, kind of task and version that the counts are for.
    pub key: StatKey,
    /// Complete answers.
    pub answers: u32,
    /// Requests that the engine answered with an error.
    pub failed: u32,
    /// Answers that were incomplete or not well-formed.
    pub malformed: u32,
    /// Streams that delivered a first token.
    pub first_tokens: u32,
    /// Streams whose first token took longer than the limit that the router sets.
    pub slow: u32,
    /// Prompt tokens of the complete answers.
    pub prompt_tokens: u64,
    /// Answer tokens of the complete answers.
    pub answer_tokens: u64,
    /// Total time that the complete answers took, in milliseconds.
    pub duration_ms: u64,
    /// Quality ratings, each from 0 to 100.
    pub ratings: Vec<u8>,
}

/// The counts of one router; sent again unchanged until the leader acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountReport {
    /// Increases by one with each report of a router process; the leader deduplicates reports by
    /// it.
    pub number: u64,
    /// One entry for each key with new counts.
    pub deltas: Vec<StatDelta>,
}

impl StatDelta {
    /// Creates an entry with all counts at zero.
    pub fn new(key: StatKey) -> Self {
        let ratings = Vec::new();
        Self {
            key,
            answers: 0,
            failed: 0,
            malformed: 0,
            first_tokens: 0,
            slow: 0,
            prompt_tokens: 0,
            answer_tokens: 0,
            duration_ms: 0,
            ratings,
        }
    }

    /// The counts as sums that can be added to a key's answer statistics.
    pub fn answer_stats(&self) -> AnswerStats {
        let mut answer_stats = AnswerStats {
            answers: self.answers.into(),
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            total_ms: self.duration_ms,
            ..AnswerStats::default()
        };
        self.ratings.iter().for_each(|rating| answer_stats.add_rating(*rating));
        answer_stats
    }
}
