use super::{Members, Snapshot};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A chunk of a snapshot, small enough that heartbeats get through between two chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The membership as of that entry.
    pub members: Members,
    /// Size of the whole snapshot's data, in bytes.
    pub total: u64,
    /// Offset of this chunk in that data, in bytes.
    pub offset: u64,
    /// The bytes of this chunk.
    pub data: Bytes,
}

impl SnapshotChunk {
    /// The chunk of a snapshot that starts at `offset` and holds at most `max_bytes`.
    pub fn slice(snapshot: &Snapshot, offset: u64, max_bytes: usize) -> Self {
        let start = (offset as usize).min(snapshot.data.len());
        let end = (start + max_bytes).min(snapshot.data.len());
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

/// A snapshot being received in chunks.
#[derive(Debug)]
pub struct IncomingSnapshot {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Starts receiving the snapshot that a chunk belongs to; the chunk itself is not added.
    pub fn new(chunk: &SnapshotChunk) -> Self {
        Self { index: chunk.index, term: chunk.term, data: Vec::new() }
    }

    /// Whether a chunk belongs to this snapshot.
    pub fn matches(&self, chunk: &SnapshotChunk) -> bool {
        (self.index, self.term) == (chunk.index, chunk.term)
    }

    /// Number of bytes received so far.
    pub fn size(&self) -> u64 {
        self.data.len() as u64
    }

    /// Adds a chunk if it is the next one and ignores it otherwise. Returns the snapshot once it is
    /// complete.
    pub fn add(&mut self, chunk: &SnapshotChunk) -> Option<Snapshot> {
        if chunk.offset == self.size() {
            self.data.extend_from_slice(&chunk.data);
        }
        if self.size() < chunk.total {
            return None;
        }
        let data = std::mem::take(&mut self.data).into();
        Some(Snapshot {
            index: chunk.index,
            term: chunk.term,
            members: chunk.members.clone(),
            data,
        })
    }
}
