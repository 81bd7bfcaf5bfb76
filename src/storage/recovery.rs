//! Reads a log and fits it to the snapshot.

use super::StorageError;
use super::frame::{self, Parsed};
use super::group_store::Record;
use crate::consensus::{Entry, HardState, Snapshot};
use std::path::Path;

/// What was found at open.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
}

/// A log as it was read.
#[derive(Debug, Default)]
pub struct Replayed {
    pub hard: HardState,
    /// Index and term of the entry that the log starts behind.
    base: (u64, u64),
    entries: Vec<Entry>,
    /// Where the log's last whole frame ends, in bytes.
    pub end: usize,
}

impl Replayed {
    /// Reads a log; a torn last frame is left out.
    pub fn read(path: &Path, bytes: &[u8]) -> Result<Self, StorageError> {
        let mut replayed = Self::default();
        loop {
            let offset = replayed.end;
            let damaged =
                || StorageError::Damaged { path: path.to_path_buf(), offset: offset as u64 };
            match frame::read(bytes, offset) {
                Parsed::Payload(payload, next) => {
                    replayed.take(payload).ok_or_else(damaged)?;
                    replayed.end = next;
                }
                // The first frame is put in place whole, by renaming, so it is never torn.
                _ if offset == 0 => return Err(damaged()),
                Parsed::End => return Ok(replayed),
                Parsed::Bad if frame::intact_after(bytes, offset) => return Err(damaged()),
                Parsed::Bad => return Ok(replayed),
            }
        }
    }

    /// Index of the entry that the log starts behind.
    pub fn start(&self) -> u64 {
        self.base.0
    }

    /// Takes in the records of one frame; `None` where they make no sense.
    fn take(&mut self, mut payload: &[u8]) -> Option<()> {
        while !payload.is_empty() {
            let (record, rest) = postcard::take_from_bytes(payload).ok()?;
            payload = rest;
            match record {
                Record::Base { index, term } if self.end == 0 => self.base = (index, term),
                Record::Base { .. } => return None,
                Record::Hard(hard) => self.hard = hard,
                Record::Entry(entry) => self.push(entry)?,
            }
        }
        Some(())
    }

    fn push(&mut self, entry: Entry) -> Option<()> {
        let keep = entry.index.checked_sub(self.base.0 + 1)? as usize;
        if keep > self.entries.len() {
            return None;
        }
        self.entries.truncate(keep);
        self.entries.push(entry);
        Some(())
    }

    /// Fits the log to the snapshot, which may be newer by one compaction that a crash cut short.
    pub fn fit(self, path: &Path, snapshot: Option<Snapshot>) -> Result<Recovered, StorageError> {
        let Self { hard, base, mut entries, .. } = self;
        let (found, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        if found < base.0 {
            let path = path.to_path_buf();
            return Err(StorageError::Older { path, found, wanted: base.0 });
        }
        let at = |index: u64| match index == base.0 {
            true => Some(base.1),
            false => entries.get((index - base.0 - 1) as usize).map(|entry| entry.term),
        };
        // Where the log does not lead up to the snapshot, what it holds behind was never committed.
        match at(found) == Some(term) {
            true => entries.retain(|entry| entry.index > found),
            false => entries.clear(),
        }
        Ok(Recovered { hard, snapshot, entries })
    }
}
