use super::Suspect;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most parts that are kept, and the most requests; the one that was blocked first is dropped for
/// a new one.
const MAX_BLOCKED: usize = 1_000;

/// Parts of prompts, and whole requests, with which no call is sent to a server, as they were found to
/// end servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockedParts {
    /// Increases by one with every change.
    pub version: u64,
    /// The parts by id.
    pub parts: BTreeMap<u64, BlockedPart>,
    /// The requests by id. Not in the encoding, which earlier builds read; where requests are sent or
    /// stored they follow by themselves.
    #[serde(skip)]
    pub requests: BTreeMap<u64, BlockedPart>,
}

/// Why a part or a request is blocked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockedPart {
    /// The version with which it was blocked.
    pub since: u64,
    /// The evidence, as text for operators.
    pub evidence: String,
}

impl BlockedParts {
    /// Whether calls with this are blocked.
    pub fn contains(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Part(id) => self.parts.contains_key(&id),
            Suspect::Request(id) => self.requests.contains_key(&id),
        }
    }

    /// The number of blocked parts and requests.
    pub fn len(&self) -> usize {
        self.parts.len() + self.requests.len()
    }

    /// Whether nothing is blocked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Everything that is blocked.
    pub fn all(&self) -> impl Iterator<Item = (Suspect, &BlockedPart)> {
        let parts = self.parts.iter().map(|(id, blocked)| (Suspect::Part(*id), blocked));
        parts.chain(self.requests.iter().map(|(id, blocked)| (Suspect::Request(*id), blocked)))
    }

    /// Blocks a part or a request. Returns whether it was not blocked before.
    pub fn block(&mut self, suspect: Suspect, evidence: String) -> bool {
        if self.contains(suspect) {
            return false;
        }
        self.version += 1;
        let blocked = BlockedPart { since: self.version, evidence };
        let entries = self.entries(suspect);
        entries.insert(suspect.id(), blocked);
        if entries.len() > MAX_BLOCKED {
            let oldest = entries.iter().min_by_key(|(_, blocked)| blocked.since);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| entries.remove(&id));
        }
        true
    }

    /// Lets calls with a part or a request through again. Returns whether it was blocked.
    pub fn clear(&mut self, suspect: Suspect) -> bool {
        let was_blocked = self.entries(suspect).remove(&suspect.id()).is_some();
        self.version += u64::from(was_blocked);
        was_blocked
    }

    fn entries(&mut self, suspect: Suspect) -> &mut BTreeMap<u64, BlockedPart> {
        match suspect {
            Suspect::Part(_) => &mut self.parts,
            Suspect::Request(_) => &mut self.requests,
        }
    }
}
