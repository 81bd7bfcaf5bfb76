//! Cascade between a smaller and a larger model: when the smaller model's answer is returned, and
//! when the larger model is asked.

/// Minimum confidence, from 0 to 100, at which an answer is returned while there is time to ask the
/// larger model.
const MIN_CONFIDENCE: f64 = 50.0;
/// Minimum confidence at which an answer is returned when the larger model's answer would come too
/// late.
const MIN_LATE_CONFIDENCE: f64 = 12.0;
/// Waits up to this fraction of the remaining time do not lower the required confidence.
const FREE_WAIT_FRACTION: f64 = 0.5;

/// Whether a smaller model's answer is returned instead of asking the larger model. Under load the
/// larger model's answer would be late and would delay other calls, so the required confidence
/// falls. `wait` is the expected time to the larger model's answer and `left` the time that remains
/// until an answer is wanted, both in ms.
///
/// ```
/// use samphireshift::policy::accepts_answer;
/// assert!(!accepts_answer(30, 200.0, 2_000.0));
/// assert!(accepts_answer(30, 4_000.0, 2_000.0));
/// assert!(accepts_answer(90, 200.0, 2_000.0));
/// ```
pub fn accepts_answer(confidence: u8, wait: f64, left: f64) -> bool {
    let pressure = (wait / left.max(1.0) - FREE_WAIT_FRACTION).clamp(0.0, 1.0);
    f64::from(confidence) >= MIN_CONFIDENCE + (MIN_LATE_CONFIDENCE - MIN_CONFIDENCE) * pressure
}

/// Times of a larger model's answer, in ms from now: as they are expected, or the latest that are allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerTimes {
    /// Until the response can go on to the caller: a stream's first event, or the whole of any other.
    pub ready: f64,
    /// Until its last byte.
    pub end: f64,
}

impl AnswerTimes {
    /// Whether an answer that is expected like this comes in the time that is `left`.
    ///
    /// ```
    /// use samphireshift::policy::AnswerTimes;
    /// let left = AnswerTimes { ready: 800.0, end: 3_000.0 };
    /// let fits = |ready, end| AnswerTimes { ready, end }.fits(&left);
    /// assert!(fits(500.0, 2_000.0));
    /// assert!(!fits(800.0, 2_000.0) && !fits(500.0, 3_001.0));
    /// ```
    pub fn fits(&self, left: &Self) -> bool {
        self.ready < left.ready && self.end <= left.end
    }
}
