//! Simulated durable storage of a Raft member.

use samphireshift::consensus::{Entry, HardState, Log, Members, Payload, Snapshot};

/// Data that a member has synced and so keeps in a crash.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Disk {
    pub fn write(
        &mut self,
        hard_state: Option<HardState>,
        installed: Option<&Snapshot>,
        entries: &[Entry],
    ) {
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = installed {
            self.snapshot = Some(snapshot.clone());
            self.entries.clear();
        }
        if let Some(first) = entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend_from_slice(entries);
        }
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Index of the last entry, or of the snapshot.
    pub fn last_index(&self) -> u64 {
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.last().map_or(snapshot, |entry| entry.index)
    }

    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }

    pub fn recover(&self) -> (HardState, Log) {
        (self.hard_state, Log::new(self.snapshot.clone(), self.entries.clone()))
    }

    /// Index and state hash of the snapshot; zeros without one.
    pub fn snapshot_state(&self) -> (u64, u64) {
        let Some(snapshot) = &self.snapshot else { return (0, 0) };
        state_in(snapshot)
    }

    /// Configuration in the newest log entry with one, or else the configuration of the snapshot.
    pub fn latest_members(&self) -> Members {
        let from_log = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        let from_snapshot =
            || self.snapshot.as_ref().map(|s| s.members.clone()).unwrap_or_default();
        from_log.unwrap_or_else(from_snapshot)
    }
}

/// Index and state hash of a snapshot.
pub fn state_in(snapshot: &Snapshot) -> (u64, u64) {
    let bytes = snapshot.data.as_ref().try_into().expect("a snapshot is eight bytes long");
    (snapshot.index, u64::from_le_bytes(bytes))
}
