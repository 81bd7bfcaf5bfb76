use crate::name::VersionName;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Number of sessions from which on expired ones are removed at each call.
const PRUNE_THRESHOLD_SESSIONS: usize = 8_192;

/// The version that last served each session, as seen by this router.
#[derive(Debug)]
pub struct Sessions {
    ttl: Duration,
    versions: Mutex<HashMap<String, (Option<VersionName>, Instant)>>,
}

impl Sessions {
    /// Creates an empty table that remembers each session for `ttl` after its last call.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, versions: Mutex::default() }
    }

    /// The version that last served a session; `None` if the session is unknown or expired. The
    /// inner `None` is an unnamed version.
    pub fn version(&self, session: &str) -> Option<Option<VersionName>> {
        let versions = self.versions.lock().expect("session lock");
        let (version, last_call) = versions.get(session)?;
        (last_call.elapsed() < self.ttl).then(|| version.clone())
    }

    /// Records the version that served a call of a session.
    pub fn record(&self, session: &str, version: Option<VersionName>) {
        let now = Instant::now();
        let mut versions = self.versions.lock().expect("session lock");
        if versions.len() >= PRUNE_THRESHOLD_SESSIONS {
            versions.retain(|_, (_, last_call)| now.duration_since(*last_call) < self.ttl);
        }
        versions.insert(session.to_owned(), (version, now));
    }
}
