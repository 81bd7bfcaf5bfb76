use super::{Members, Snapshot};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A part of a snapshot, small enough that heartbeats pass between two of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The last entry that the snapshot includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members at that entry.
    pub members: Members,
    /// Size of the snapshot's data, in bytes.
    pub total: u64,
    /// Where this part starts in the data, in bytes.
    pub offset: u64,
    /// The part itself.
    pub data: Bytes,
}

impl SnapshotPart {
    /// Cuts a part out of a snapshot.
    pub fn cut(snapshot: &Snapshot, offset: u64, most: usize) -> Self {
        let start = (offset as usize).min(snapshot.data.len());
        let end = (start + most).min(snapshot.data.len());
        Self {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            total: snapshot.data.len() as u64,
            offset: start as u64,
            data: snapshot.data.slice(start..end),
        }
    }
}

/// A snapshot that arrives in parts.
#[derive(Debug)]
pub struct Incoming {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

impl Incoming {
    /// Starts with nothing of the snapshot that a part belongs to.
    pub fn open(part: &SnapshotPart) -> Self {
        Self { index: part.index, term: part.term, data: Vec::new() }
    }

    /// Whether a part belongs to this snapshot.
    pub fn fits(&self, part: &SnapshotPart) -> bool {
        (self.index, self.term) == (part.index, part.term)
    }

    /// How much has arrived, in bytes.
    pub fn size(&self) -> u64 {
        self.data.len() as u64
    }

    /// Takes a part in, if it is the next one; the whole snapshot once nothing is missing.
    pub fn take(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        if part.offset == self.size() {
            self.data.extend_from_slice(&part.data);
        }
        if self.size() < part.total {
            return None;
        }
        let data = std::mem::take(&mut self.data).into();
        Some(Snapshot { index: part.index, term: part.term, members: part.members.clone(), data })
    }
}
