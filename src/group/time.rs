use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Monotonic time since the process first asked; leases and elections count in it.
pub fn since_start() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
