use crate::name::VersionName;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Sessions remembered before old ones are looked for.
const ROOM: usize = 8_192;

/// The version that each session was last served by, in this router.
#[derive(Debug)]
pub struct Sessions {
    keep: Duration,
    held: Mutex<HashMap<String, (Option<VersionName>, Instant)>>,
}

impl Sessions {
    /// Remembers sessions for `keep` after their last call.
    pub fn open(keep: Duration) -> Self {
        Self { keep, held: Mutex::default() }
    }

    /// The version of a session that goes on; the inner `None` is an unnamed version.
    pub fn version(&self, session: &str) -> Option<Option<VersionName>> {
        let held = self.held.lock().expect("session lock");
        let (version, last) = held.get(session)?;
        (last.elapsed() < self.keep).then(|| version.clone())
    }

    /// A call of a session was served by a version.
    pub fn note(&self, session: &str, version: Option<VersionName>) {
        let now = Instant::now();
        let mut held = self.held.lock().expect("session lock");
        if held.len() >= ROOM {
            held.retain(|_, (_, last)| now.duration_since(*last) < self.keep);
        }
        held.insert(session.to_owned(), (version, now));
    }
}
