use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most parts that are kept; the one that was blocked first is dropped for a new one.
const MAX_BLOCKED: usize = 1_000;

/// Parts of prompts with which no call is sent to a server, as they were found to end servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockedParts {
    /// Increases by one with every change.
    pub version: u64,
    /// The parts by id.
    pub parts: BTreeMap<u64, BlockedPart>,
}

/// Why a part is blocked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockedPart {
    /// The version with which the part was blocked.
    pub since: u64,
    /// The evidence, as text for operators.
    pub evidence: String,
}

impl BlockedParts {
    /// Blocks a part. Returns whether it was not blocked before.
    pub fn block(&mut self, part: u64, evidence: String) -> bool {
        if self.parts.contains_key(&part) {
            return false;
        }
        self.version += 1;
        self.parts.insert(part, BlockedPart { since: self.version, evidence });
        if self.parts.len() > MAX_BLOCKED {
            let oldest = self.parts.iter().min_by_key(|(_, blocked)| blocked.since);
            let oldest = oldest.map(|(part, _)| *part);
            oldest.and_then(|part| self.parts.remove(&part));
        }
        true
    }

    /// Lets calls with a part through again. Returns whether it was blocked.
    pub fn clear(&mut self, part: u64) -> bool {
        let was_blocked = self.parts.remove(&part).is_some();
        self.version += u64::from(was_blocked);
        was_blocked
    }
}
