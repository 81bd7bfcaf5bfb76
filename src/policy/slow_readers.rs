//! Which callers end where a process holds more for callers that read slowly than it may.

use std::cmp::Reverse;
use std::time::Duration;

/// A caller that has taken no byte for this long has stalled: longer than TCP waits before it sends
/// a lost packet again.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What one caller costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderLoad {
    /// Bytes that are held for it.
    pub held: usize,
    /// How long it has taken none of them.
    pub idle: Duration,
    /// Whether it has read on, since its answer first had to wait for it.
    pub reads: bool,
}

/// Why a caller ends; those with the greatest cause end first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SlowCause {
    /// It reads, but too little of all that is held.
    Slow,
    /// It has taken nothing yet that had to wait for it.
    Unread,
    /// It has taken nothing for a while.
    Stalled,
}

impl SlowCause {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Unread => "unread",
            Self::Stalled => "stalled",
        }
    }
}

impl ReaderLoad {
    /// Why a caller with this load would end.
    pub fn cause(self) -> SlowCause {
        match self.idle >= STALL_TIME {
            true => SlowCause::Stalled,
            false if self.reads => SlowCause::Slow,
            false => SlowCause::Unread,
        }
    }

    /// Of callers with like causes those come first for which most bytes have waited longest, as
    /// the product of both: by the time alone many small ones would end for little room.
    fn rank(self) -> (SlowCause, u128) {
        (self.cause(), self.idle.as_millis().max(1) * self.held as u128)
    }
}

/// The places in `loads` of the callers that are to end so that `excess` bytes become free: the
/// slowest first, and no more than it takes. All that have at least the cause `least` and hold
/// anything, if even they hold less.
///
/// ```
/// use samphireshift::policy::{ReaderLoad, SlowCause, slowest_readers};
/// use std::time::Duration;
/// let load = |held, seconds| ReaderLoad { held, idle: Duration::from_secs(seconds), reads: true };
/// let loads = [load(500, 0), load(100, 9), load(300, 9)];
/// assert_eq!(slowest_readers(&loads, 200, SlowCause::Slow), [2]);
/// assert_eq!(slowest_readers(&loads, 900, SlowCause::Stalled), [2, 1]);
/// ```
pub fn slowest_readers(loads: &[ReaderLoad], excess: usize, least: SlowCause) -> Vec<usize> {
    let may_end = |load: &ReaderLoad| load.held > 0 && load.cause() >= least;
    let mut order: Vec<usize> = (0..loads.len()).filter(|&at| may_end(&loads[at])).collect();
    order.sort_by_key(|&at| Reverse(loads[at].rank()));
    let mut free = 0;
    let is_needed = |at: &usize| {
        let is_needed = free < excess;
        free += loads[*at].held;
        is_needed
    };
    order.into_iter().take_while(is_needed).collect()
}
