//! What becomes of writes that fail.

use crate::storage::{GroupStore, StorageError};
use std::time::Duration;

/// Delay before a write that failed, for example on a full disk, is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retries a write until it succeeds, for example while the disk is full. Meanwhile this member
/// acknowledges nothing that is not stored.
pub fn retry_until_written<F>(store: &mut GroupStore, mut write: F)
where
    F: FnMut(&mut GroupStore) -> Result<(), StorageError>,
{
    let mut failures = 0;
    loop {
        match write(store) {
            Ok(()) => break,
            Err(error @ StorageError::NotWritten { .. }) => {
                if failures == 0 {
                    log::error!("storage write failed, retrying until it succeeds: {error}");
                }
                failures += 1;
                std::thread::sleep(WRITE_RETRY_DELAY);
            }
            Err(error) => abort_process(&error),
        }
    }
    if failures > 0 {
        log::info!("storage write succeeded after {failures} failed attempts");
    }
}

/// Aborts the process, as the contents of the disk are unknown after a failed write or sync.
pub fn abort_process(error: &StorageError) -> ! {
    log::error!("storage failed, aborting the process: {error}");
    std::process::abort();
}
