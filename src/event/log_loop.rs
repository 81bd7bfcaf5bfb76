use super::Journal;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often recorded events are flushed to the log.
const LOG_INTERVAL: Duration = Duration::from_millis(250);
/// A sleep that ends late by at least this much means that the process or its VM was stalled.
const MIN_STALL: Duration = Duration::from_millis(750);

/// Flushes recorded events to the log in an endless loop, and warns if this process was stalled.
pub async fn run_log_loop(journal: Arc<Journal>) {
    loop {
        let started_at = Instant::now();
        tokio::time::sleep(LOG_INTERVAL).await;
        if let Some(stall) = stall_duration(started_at.elapsed()) {
            log::warn!("process was stalled for {} ms", stall.as_millis());
        }
        journal.flush();
    }
}

/// Returns how long the process was stalled, given how long the sleep between two flushes took;
/// `None` if the delay is so short that the process may just have been busy.
///
/// ```
/// use samphireshift::event::stall_duration;
/// use std::time::Duration;
/// assert_eq!(stall_duration(Duration::from_millis(300)), None);
/// assert_eq!(stall_duration(Duration::from_millis(6_250)), Some(Duration::from_secs(6)));
/// ```
pub fn stall_duration(slept: Duration) -> Option<Duration> {
    slept.checked_sub(LOG_INTERVAL).filter(|late| *late >= MIN_STALL)
}
