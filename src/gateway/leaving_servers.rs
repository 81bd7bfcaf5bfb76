use crate::name::VmName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A server that was taken off the list counts as started anew under its old name if it is listed
/// again this long after it said that it was leaving. Before, the list may be an old copy.
const RELIST_DELAY: Duration = Duration::from_secs(15);
/// How long a server that said that it is leaving is avoided while it is still listed as live.
const MARK_TTL: Duration = Duration::from_secs(60);

/// Servers that have told this router that they are leaving.
#[derive(Debug, Default)]
pub struct LeavingServers {
    marks: HashMap<VmName, Mark>,
}

#[derive(Debug)]
struct Mark {
    since: Instant,
    /// Whether the newest VM list shows the server as live.
    listed: bool,
}

impl LeavingServers {
    /// Marks a server that is listed as live. Returns whether it was not marked before.
    pub fn mark(&mut self, server: &VmName, now: Instant) -> bool {
        if self.marks.contains_key(server) {
            return false;
        }
        self.marks.insert(server.clone(), Mark { since: now, listed: true });
        true
    }

    /// Whether a server is marked.
    pub fn contains(&self, server: &VmName) -> bool {
        self.marks.contains_key(server)
    }

    /// Updates the marks with a new VM list; `is_listed` tells whether it shows a server as live.
    pub fn update<F>(&mut self, now: Instant, is_listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        self.marks.retain(|server, mark| {
            let relisted = is_listed(server) && !mark.listed;
            mark.listed = is_listed(server);
            let age = now.duration_since(mark.since);
            age < if relisted { RELIST_DELAY } else { MARK_TTL }
        });
    }

    /// Marked servers that are still listed as live, so that the leader does not know of the mark.
    pub fn still_listed(&self) -> impl Iterator<Item = &VmName> {
        self.marks.iter().filter(|(_, mark)| mark.listed).map(|(server, _)| server)
    }
}
