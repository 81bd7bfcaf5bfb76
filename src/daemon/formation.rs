use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a new cluster has had as many voters as changes need. Voters that are lost later, and removed
/// until their successors vote, take nothing from that.
///
/// ```
/// use samphireshift::daemon::Formation;
/// let formation = Formation::default();
/// assert!(formation.is_forming(2, 3));
/// assert!(!formation.is_forming(3, 3));
/// assert!(!formation.is_forming(2, 3));
/// ```
#[derive(Debug, Default)]
pub struct Formation {
    formed: AtomicBool,
}

impl Formation {
    /// Whether the group has never had `required` voters, now that it has `voters` of them.
    pub fn is_forming(&self, voters: usize, required: usize) -> bool {
        if voters >= required {
            self.formed.store(true, Ordering::Relaxed);
        }
        !self.formed.load(Ordering::Relaxed)
    }
}
