use std::time::Duration;

/// How long a turn that nobody takes is kept by default. Turns that were kept for longer would meet
/// the server all at once.
const TURN_TTL: Duration = Duration::from_secs(1);

/// A router's own part of a limit, taken in turns at equal intervals without asking a leader.
#[derive(Debug, Clone, Copy)]
pub struct OwnShare {
    /// When the next turn begins; `None` until the first is drawn.
    next_at: Option<Duration>,
    /// How long a turn that nobody takes is kept.
    kept: Duration,
}

impl Default for OwnShare {
    fn default() -> Self {
        Self::kept_for(TURN_TTL)
    }
}

impl OwnShare {
    /// A part of which a turn that nobody takes is kept for `kept`.
    pub fn kept_for(kept: Duration) -> Self {
        Self { next_at: None, kept }
    }

    /// Whether a turn has begun. The first one begins within an interval after `starts_at`; `phase`
    /// tells how far into it, from 0 to 1.
    ///
    /// ```
    /// use samphireshift::policy::OwnShare;
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let mut share = OwnShare::default();
    /// assert!(!share.is_due(second, second, 4 * second, 0.5));
    /// assert!(share.is_due(3 * second, second, 4 * second, 0.5));
    /// share.take(4 * second);
    /// assert!(!share.is_due(6 * second, second, 4 * second, 0.5));
    /// ```
    pub fn is_due(
        &mut self,
        now: Duration,
        starts_at: Duration,
        interval: Duration,
        phase: f64,
    ) -> bool {
        let first = starts_at.saturating_add(interval.mul_f64(phase.clamp(0.0, 1.0)));
        let next_at = self.next_at.get_or_insert(first);
        let lapsed = now.saturating_sub(next_at.saturating_add(self.kept));
        if !lapsed.is_zero() {
            let turns = (lapsed.as_secs_f64() / interval.as_secs_f64()).ceil();
            *next_at = next_at.saturating_add(interval.mul_f64(turns));
        }
        now >= *next_at
    }

    /// Takes the turn that has begun.
    pub fn take(&mut self, interval: Duration) {
        self.next_at = self.next_at.map(|next_at| next_at.saturating_add(interval));
    }
}
