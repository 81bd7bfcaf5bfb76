use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Waits until `has_news` holds, which is asked at first and after each change of one of the two
/// values, at most for `limit`.
pub async fn wait_for_news<A, B, F>(
    first: &mut watch::Receiver<A>,
    second: &mut watch::Receiver<B>,
    limit: Duration,
    has_news: F,
) where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + limit;
    while !has_news() {
        let changed = async {
            tokio::select! {
                changed = first.changed() => changed.is_ok(),
                changed = second.changed() => changed.is_ok(),
            }
        };
        if !matches!(tokio::time::timeout_at(deadline.into(), changed).await, Ok(true)) {
            return;
        }
    }
}
