use std::time::Duration;

/// Ranks of calls, 0 the most urgent.
const RANKS: usize = 11;
/// Over how long callers are spread out at least.
const MIN_HORIZON: Duration = Duration::from_secs(10);
/// The longest time until the first turn, and from there over which callers are spread out.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// When refused callers are asked to return: spread out at the rate at which they can be served, the
/// more urgent ones before the others.
///
/// ```
/// use samphireshift::policy::ReturnSchedule;
/// use std::time::Duration;
/// let mut schedule = ReturnSchedule::default();
/// let second = Duration::from_secs(1);
/// let mut wait = |rank| schedule.promise(Duration::ZERO, rank, second, 2.0, 10 * second);
/// assert_eq!([wait(5), wait(5), wait(0)].map(|wait| wait.as_millis()), [1_000, 1_500, 1_000]);
/// assert_eq!(wait(5).as_millis(), 2_500);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// When the next caller of each rank may return.
    next: [Duration; RANKS],
}

impl ReturnSchedule {
    /// How long a refused caller should wait, at least `least`; `rate` is what can be served a second.
    /// The turns reach as far as the time that the caller has `left`, or `MIN_HORIZON`; once all are
    /// given, they are given again, as not all callers return.
    pub fn promise(
        &mut self,
        now: Duration,
        rank: u8,
        least: Duration,
        rate: f64,
        left: Duration,
    ) -> Duration {
        let rank = usize::from(rank).min(RANKS - 1);
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let earliest = now.saturating_add(least.min(MAX_WAIT));
        let horizon = earliest.saturating_add(left.clamp(MIN_HORIZON, MAX_WAIT));
        let at = match self.next[rank].max(earliest) {
            at if at > horizon => earliest,
            at => at,
        };
        self.next[rank] = at + interval;
        for later in &mut self.next[rank + 1..] {
            *later = (*later).max(earliest) + interval;
        }
        at - now
    }
}
