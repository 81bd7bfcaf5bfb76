//! Replays a log and reconciles it with the snapshot.

use super::StorageError;
use super::frame::{self, ParsedFrame};
use super::group_store::Record;
use crate::consensus::{Entry, HardState, Snapshot};
use std::path::Path;

/// The consensus state read from disk when a group's store is opened.
#[derive(Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The contents of a log file.
#[derive(Debug, Default)]
pub struct ReplayedLog {
    pub hard_state: HardState,
    /// Index and term of the entry before the first entry of the log.
    start: (u64, u64),
    entries: Vec<Entry>,
    /// Length of the valid frames, without an incomplete frame at the end.
    pub valid_bytes: usize,
}

impl ReplayedLog {
    /// Replays the log in `bytes`, leaving out an incomplete last frame.
    pub fn read(path: &Path, bytes: &[u8]) -> Result<Self, StorageError> {
        let mut replayed = Self::default();
        loop {
            let offset = replayed.valid_bytes;
            let corrupt =
                || StorageError::Corrupt { path: path.to_path_buf(), offset: offset as u64 };
            match frame::parse(bytes, offset) {
                ParsedFrame::Payload(payload, next) => {
                    replayed.apply_frame(payload).ok_or_else(corrupt)?;
                    replayed.valid_bytes = next;
                }
                // The file is created with its first frame by an atomic rename, so that frame is
                // never incomplete.
                _ if offset == 0 => return Err(corrupt()),
                ParsedFrame::End => return Ok(replayed),
                ParsedFrame::Invalid if frame::has_valid_frame_after(bytes, offset) => {
                    return Err(corrupt());
                }
                ParsedFrame::Invalid => return Ok(replayed),
            }
        }
    }

    /// Index of the entry before the first entry of the log.
    pub fn start_index(&self) -> u64 {
        self.start.0
    }

    /// Applies the records of a frame. Returns `None` if they cannot be parsed or are out of order.
    fn apply_frame(&mut self, mut payload: &[u8]) -> Option<()> {
        while !payload.is_empty() {
            let (record, rest) = postcard::take_from_bytes(payload).ok()?;
            payload = rest;
            match record {
                Record::LogStart { index, term } if self.valid_bytes == 0 => {
                    self.start = (index, term)
                }
                Record::LogStart { .. } => return None,
                Record::HardState(hard_state) => self.hard_state = hard_state,
                Record::Entry(entry) => self.push_entry(entry)?,
            }
        }
        Some(())
    }

    /// Adds an entry in place of all entries from its index on. Returns `None` if entries before it
    /// are missing.
    fn push_entry(&mut self, entry: Entry) -> Option<()> {
        let keep = entry.index.checked_sub(self.start.0 + 1)? as usize;
        if keep > self.entries.len() {
            return None;
        }
        self.entries.truncate(keep);
        self.entries.push(entry);
        Some(())
    }

    /// Combines the log with the snapshot. The snapshot is newer than the start of the log if a
    /// crash interrupted a compaction after the snapshot was stored.
    pub fn reconcile(
        self,
        path: &Path,
        snapshot: Option<Snapshot>,
    ) -> Result<RecoveredState, StorageError> {
        let Self { hard_state, start, mut entries, .. } = self;
        let (snapshot_index, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        if snapshot_index < start.0 {
            let path = path.to_path_buf();
            return Err(StorageError::SnapshotTooOld { path, snapshot_index, log_start: start.0 });
        }
        let term_at = |index: u64| match index == start.0 {
            true => Some(start.1),
            false => entries.get((index - start.0 - 1) as usize).map(|entry| entry.term),
        };
        // If the log has no entry with the snapshot's last index and term, its entries after that
        // index were never committed.
        match term_at(snapshot_index) == Some(term) {
            true => entries.retain(|entry| entry.index > snapshot_index),
            false => entries.clear(),
        }
        Ok(RecoveredState { hard_state, snapshot, entries })
    }
}
