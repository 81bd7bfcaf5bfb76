use std::time::Duration;

/// How fast the word of a server about its pace loses weight, as the pace changes many times a second.
const READING_LIFE: Duration = Duration::from_millis(250);
/// Readings of other servers that the mean of one begins with.
const PRIOR_READINGS: f64 = 1.5;
/// Answers of usual speed that a server's record begins with.
const PRIOR_ANSWERS: f64 = 6.0;
/// The most readings or answers that a mean remembers.
const MAX_COUNT: f64 = 40.0;
/// How fast what was learned of a server loses weight while nothing is heard of it.
const MEMORY: Duration = Duration::from_secs(20);
/// Bounds of one pace, and of one answer's ratio.
const BOUNDS: (f64, f64) = (0.1, 20.0);

/// How long work takes at one server: by its own word, and as a ratio of measured times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkPace {
    last: Option<(f64, Duration)>,
    readings: f64,
    readings_log_sum: f64,
    answers: f64,
    answers_log_sum: f64,
    answered_at: Duration,
}

impl WorkPace {
    /// The server says that work takes `pace` times as long as usual at this moment.
    pub fn read(&mut self, pace: f64, now: Duration) {
        let pace = pace.clamp(BOUNDS.0, BOUNDS.1);
        self.last = Some((pace, now));
        add(&mut self.readings, &mut self.readings_log_sum, pace.ln());
    }

    /// An answer took `ratio` times as long as expected at the pace that the server named.
    pub fn observe(&mut self, ratio: f64, now: Duration) {
        self.answered_at = now;
        let ratio = ratio.clamp(BOUNDS.0, BOUNDS.1).ln();
        add(&mut self.answers, &mut self.answers_log_sum, ratio);
    }

    /// The pace named by the server, expected to hold now: its last word, weighed by its age, and
    /// its geometric mean, where few words count less than the `usual` pace of its pool.
    ///
    /// ```
    /// use samphireshift::policy::WorkPace;
    /// use std::time::Duration;
    /// let mut pace = WorkPace::default();
    /// let at = Duration::from_secs(1);
    /// pace.read(2.5, at);
    /// assert_eq!(pace.named(at, 1.0), 2.5);
    /// assert!(pace.named(10 * at, 1.0) < 1.5);
    /// ```
    pub fn named(&self, now: Duration, usual: f64) -> f64 {
        let Some((last, at)) = self.last else { return usual };
        let kept = fading(now.saturating_sub(at), MEMORY);
        let (count, sum) = (self.readings * kept, self.readings_log_sum * kept);
        let mean = ((usual.ln() * PRIOR_READINGS + sum) / (PRIOR_READINGS + count)).exp();
        mean + (last - mean) * fading(now.saturating_sub(at), READING_LIFE)
    }

    /// Ratio of measured to expected times of its answers, at the pace that it named. A server that gets no
    /// calls, as it was slow, comes to count as one of usual speed again.
    pub fn ratio(&self, now: Duration) -> f64 {
        let kept = fading(now.saturating_sub(self.answered_at), MEMORY);
        (self.answers_log_sum * kept / (PRIOR_ANSWERS + self.answers * kept)).exp()
    }
}

/// What is left of a weight after a time, from 1 to 0.
fn fading(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64()).exp()
}

/// Adds to a sum of at most `MAX_COUNT` observations.
fn add(count: &mut f64, sum: &mut f64, value: f64) {
    if *count >= MAX_COUNT {
        *sum *= (MAX_COUNT - 1.0) / *count;
        *count = MAX_COUNT - 1.0;
    }
    *count += 1.0;
    *sum += value;
}
