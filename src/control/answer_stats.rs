use crate::name::{OrganisationName, TaskKind, VersionKey};
use serde::{Deserialize, Serialize};

/// The number of ratings at which all sums are halved, so that old answers lose weight.
const DECAY_RATINGS: u64 = 2_000;
/// The number of answers at which all sums are halved if there are too few ratings to do so.
const DECAY_ANSWERS: u64 = 20_000;

/// The key that statistics of answers are grouped by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatKey {
    /// The organisation that sent the requests.
    pub organisation: OrganisationName,
    /// The kind of task.
    pub kind: TaskKind,
    /// The version that answered.
    pub version: VersionKey,
}

/// Sums over the answers that share one [`StatKey`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerStats {
    /// The number of complete answers.
    pub answers: u64,
    /// The number of prompt tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// The number of answer tokens.
    #[serde(rename = "tokens")]
    pub answer_tokens: u64,
    /// The time that the answers took together, in milliseconds.
    #[serde(rename = "millis")]
    pub total_ms: u64,
    /// The number of ratings.
    pub ratings: u64,
    /// The sum of the ratings, in hundredths.
    #[serde(rename = "sum")]
    pub rating_sum: u64,
    /// The sum of the squared ratings, in ten-thousandths.
    #[serde(rename = "squares")]
    pub rating_squares: u64,
}

/// The statistics of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerStatsEntry {
    /// The organisation, kind of task and version.
    pub key: StatKey,
    /// The sums over their answers.
    #[serde(rename = "learned")]
    pub stats: AnswerStats,
}

impl AnswerStats {
    /// Adds other sums to these, without decay.
    pub fn add(&mut self, other: &AnswerStats) {
        self.answers += other.answers;
        self.prompt_tokens += other.prompt_tokens;
        self.answer_tokens += other.answer_tokens;
        self.total_ms += other.total_ms;
        self.ratings += other.ratings;
        self.rating_sum += other.rating_sum;
        self.rating_squares += other.rating_squares;
    }

    /// Halves all sums if they cover 2,000 ratings or 20,000 answers.
    pub fn decay(&mut self) {
        if self.ratings < DECAY_RATINGS && self.answers < DECAY_ANSWERS {
            return;
        }
        for sum in [
            &mut self.answers,
            &mut self.prompt_tokens,
            &mut self.answer_tokens,
            &mut self.total_ms,
            &mut self.ratings,
            &mut self.rating_sum,
            &mut self.rating_squares,
        ] {
            *sum /= 2;
        }
    }

    /// Adds one rating, in hundredths.
    pub fn add_rating(&mut self, hundredths: u8) {
        let rating = u64::from(hundredths);
        self.ratings += 1;
        self.rating_sum += rating;
        self.rating_squares += rating * rating;
    }
}
