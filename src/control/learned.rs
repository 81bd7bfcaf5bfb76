use crate::name::{OrganisationName, TaskKind, VersionKey};
use serde::{Deserialize, Serialize};

/// Ratings after which all sums are halved, so that old answers fade.
const FADE_RATINGS: u64 = 2_000;
/// Answers after which all sums are halved where nothing is rated.
const FADE_ANSWERS: u64 = 20_000;

/// What statistics of answers are kept by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatKey {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The kind of task.
    pub kind: TaskKind,
    /// The version that answered.
    pub version: VersionKey,
}

/// Sums over the answers of one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learned {
    /// Whole answers.
    pub answers: u64,
    /// Tokens of their prompts.
    pub prompt: u64,
    /// Tokens of the answers.
    pub tokens: u64,
    /// Time that they took, in milliseconds.
    pub millis: u64,
    /// Ratings.
    pub ratings: u64,
    /// Sum of the ratings, in hundredths.
    pub sum: u64,
    /// Sum of their squares, in ten-thousandths.
    pub squares: u64,
}

/// One key and its sums.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedEntry {
    /// The key.
    pub key: StatKey,
    /// The sums.
    pub learned: Learned,
}

impl Learned {
    /// Adds other sums; old ones fade.
    pub fn add(&mut self, other: &Learned) {
        self.answers += other.answers;
        self.prompt += other.prompt;
        self.tokens += other.tokens;
        self.millis += other.millis;
        self.ratings += other.ratings;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Halves the sums once they stand for many answers.
    pub fn fade(&mut self) {
        if self.ratings < FADE_RATINGS && self.answers < FADE_ANSWERS {
            return;
        }
        for sum in [
            &mut self.answers,
            &mut self.prompt,
            &mut self.tokens,
            &mut self.millis,
            &mut self.ratings,
            &mut self.sum,
            &mut self.squares,
        ] {
            *sum /= 2;
        }
    }

    /// Adds one rating, in hundredths.
    pub fn rate(&mut self, hundredths: u8) {
        let rating = u64::from(hundredths);
        self.ratings += 1;
        self.sum += rating;
        self.squares += rating * rating;
    }
}
