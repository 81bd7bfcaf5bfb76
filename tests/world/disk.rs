//! What a member has synced.

use samphireshift::consensus::{Entry, HardState, Log, Members, Payload, Snapshot};

#[derive(Debug, Clone, Default)]
pub struct Disk {
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Disk {
    pub fn write(
        &mut self,
        hard: Option<HardState>,
        install: Option<&Snapshot>,
        entries: &[Entry],
    ) {
        self.hard = hard.unwrap_or(self.hard);
        if let Some(snapshot) = install {
            self.snapshot = Some(snapshot.clone());
            self.entries.clear();
        }
        if let Some(first) = entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend_from_slice(entries);
        }
    }

    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }

    pub fn recover(&self) -> (HardState, Log) {
        (self.hard, Log::new(self.snapshot.clone(), self.entries.clone()))
    }

    /// Index and value of the state in the snapshot.
    pub fn state(&self) -> (u64, u64) {
        let Some(snapshot) = &self.snapshot else { return (0, 0) };
        let bytes = snapshot.data.as_ref().try_into().expect("eight bytes");
        (snapshot.index, u64::from_le_bytes(bytes))
    }

    pub fn members(&self) -> Members {
        let newest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        let base = || self.snapshot.as_ref().map(|s| s.members.clone()).unwrap_or_default();
        newest.unwrap_or_else(base)
    }
}
