use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Monotonic time since the first call in this process, which serves as process start. Leases and
/// elections are timed with it.
pub fn since_start() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
