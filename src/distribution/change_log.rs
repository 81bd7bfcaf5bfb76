use super::ContentDigest;
use crate::peer::ProtocolVersion;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The most bytes in one chunk. On a link of 10 Mbit/s it takes 26 ms, which is what a lease renewal
/// may wait behind.
pub const CHUNK_BYTES: usize = 32 << 10;
/// The most bytes in one chunk for a router without a lease, which no renewal waits behind.
pub const FIRST_CHUNK_BYTES: usize = 128 << 10;
/// A snapshot is made anew once the steps after it have this many bytes plus half of its own.
const MIN_STEP_BYTES: usize = 16 << 10;
/// The most bytes of steps that are kept, beyond the size of the snapshot.
const MAX_STEP_BYTES: usize = 256 << 10;

/// How far a router has read a log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The digest of the state that the router has.
    pub base: ContentDigest,
    /// The transfer that the router has read a part of, if any.
    pub transfer: Option<u64>,
    /// The number of bytes of that transfer that it has read.
    pub offset: u64,
}

/// A part of a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifies the transfer: the record that it begins with.
    pub transfer: u64,
    /// Where in the transfer the bytes belong.
    pub offset: u64,
    /// Encoded changes, the first and last of them possibly in part.
    pub bytes: Bytes,
    /// The number of bytes that follow.
    pub remaining: u64,
}

impl Chunk {
    /// Whether a router has the whole state after this chunk.
    pub fn is_last(&self) -> bool {
        self.remaining == 0
    }
}

/// An encoded change with a unique number.
#[derive(Debug, Clone)]
struct Record {
    number: u64,
    base: ContentDigest,
    target: ContentDigest,
    /// The first version of daemons that can read it.
    needs: ProtocolVersion,
    bytes: Bytes,
}

/// The encoded changes that lead to the present state of a set, and a snapshot. Each is encoded
/// once for all routers.
///
/// A transfer is the concatenation of a record and all later ones, so it only ever grows at its
/// end: a router goes on with it where it stopped, whatever has changed meanwhile.
#[derive(Debug)]
pub struct ChangeLog {
    /// Numbers start at random, so that those of another leader's log are not mistaken for own ones.
    next_number: u64,
    snapshot: Record,
    steps: VecDeque<Record>,
}

impl ChangeLog {
    /// Creates a log from a snapshot that leads to the state `target`, for daemons since version
    /// `needs`.
    pub fn new(target: ContentDigest, needs: ProtocolVersion, snapshot: Bytes) -> Self {
        let number = u64::from(rand::random::<u32>()) << u32::BITS;
        let base = ContentDigest::EMPTY;
        let snapshot = Record { number, base, target, needs, bytes: snapshot };
        Self { next_number: number + 1, snapshot, steps: VecDeque::new() }
    }

    /// The state that the log leads to.
    pub fn target(&self) -> ContentDigest {
        self.steps.back().unwrap_or(&self.snapshot).target
    }

    /// Appends a change that follows the present state, for daemons since version `needs`. Returns
    /// whether a new snapshot is due.
    pub fn push(&mut self, target: ContentDigest, needs: ProtocolVersion, bytes: Bytes) -> bool {
        let base = self.target();
        let number = self.take_number();
        self.steps.push_back(Record { number, base, target, needs, bytes });
        let limit = self.snapshot.bytes.len() / 2 + MIN_STEP_BYTES;
        byte_count(self.steps.range(self.first_after_snapshot()..)) > limit
    }

    /// Replaces the snapshot by one of the present state, and drops the oldest steps beyond the
    /// limit of bytes.
    pub fn replace_snapshot(&mut self, needs: ProtocolVersion, bytes: Bytes) {
        let (number, target) = (self.take_number(), self.target());
        let limit = bytes.len() + MAX_STEP_BYTES;
        self.snapshot = Record { number, base: ContentDigest::EMPTY, target, needs, bytes };
        let mut excess = byte_count(self.steps.iter()).saturating_sub(limit);
        while excess > 0 {
            let dropped = self.steps.pop_front().map_or(0, |step| step.bytes.len());
            excess = excess.saturating_sub(dropped);
        }
    }

    /// The next chunk for a router, or `None` if it has the present state.
    pub fn read(&self, position: &Position) -> Option<Chunk> {
        self.read_up_to(position, CHUNK_BYTES, ProtocolVersion::CURRENT)
    }

    /// Whether a router of a version with the state `base` can read a way to the present state.
    pub fn has_way_for(&self, version: ProtocolVersion, base: ContentDigest) -> bool {
        is_readable(&self.records_after(base), version)
            || is_readable(&self.snapshot_and_steps(), version)
    }

    /// Like [`Self::read`], with at most `limit` bytes in the chunk, and from the snapshot on where
    /// a router of this version cannot read the changes.
    pub fn read_up_to(
        &self,
        position: &Position,
        limit: usize,
        version: ProtocolVersion,
    ) -> Option<Chunk> {
        if position.base == self.target() {
            return None;
        }
        let leads_on = |records: &Vec<&Record>| {
            let base = records[0].base;
            (base == position.base || base == ContentDigest::EMPTY) && is_readable(records, version)
        };
        // A late response may have begun a transfer that a router has been through already.
        let resumed = position.transfer.and_then(|number| self.records_from(number));
        let resumed = resumed.filter(leads_on);
        let (records, offset) = match resumed {
            Some(records) => (records, position.offset),
            None => (self.records_for(version, position.base), 0),
        };
        let total = byte_count(records.iter().copied()) as u64;
        let offset = if offset < total { offset } else { 0 };
        let bytes = copy_range(&records, offset as usize, limit);
        let remaining = total - offset - bytes.len() as u64;
        Some(Chunk { transfer: records[0].number, offset, bytes, remaining })
    }

    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number - 1
    }

    /// The position of the first step that the snapshot does not contain.
    fn first_after_snapshot(&self) -> usize {
        let number = self.snapshot.number;
        self.steps.iter().position(|step| step.number > number).unwrap_or(self.steps.len())
    }

    /// The transfer that begins with the record of this number, if it is still kept.
    fn records_from(&self, number: u64) -> Option<Vec<&Record>> {
        if number == self.snapshot.number {
            return Some(self.snapshot_and_steps());
        }
        let first = self.steps.iter().position(|step| step.number == number)?;
        Some(self.steps.range(first..).collect())
    }

    /// The shortest transfer for a router with the state `base`.
    fn records_after(&self, base: ContentDigest) -> Vec<&Record> {
        match self.steps.iter().rposition(|step| step.base == base) {
            Some(first) => self.steps.range(first..).collect(),
            None => self.snapshot_and_steps(),
        }
    }

    /// The same, for a router that reads nothing beyond `version`.
    fn records_for(&self, version: ProtocolVersion, base: ContentDigest) -> Vec<&Record> {
        Some(self.records_after(base))
            .filter(|records| is_readable(records, version))
            .unwrap_or_else(|| self.snapshot_and_steps())
    }

    fn snapshot_and_steps(&self) -> Vec<&Record> {
        let steps = self.steps.range(self.first_after_snapshot()..);
        std::iter::once(&self.snapshot).chain(steps).collect()
    }
}

/// Whether daemons of a version can read all of these records.
fn is_readable(records: &[&Record], version: ProtocolVersion) -> bool {
    records.iter().all(|record| record.needs <= version)
}

fn byte_count<'a, I>(records: I) -> usize
where
    I: Iterator<Item = &'a Record>,
{
    records.map(|record| record.bytes.len()).sum()
}

/// Up to `limit` bytes of the concatenated records, from `offset` on.
fn copy_range(records: &[&Record], mut offset: usize, limit: usize) -> Bytes {
    let mut copied = BytesMut::new();
    for record in records {
        let start = offset.min(record.bytes.len());
        let end = (start + limit - copied.len()).min(record.bytes.len());
        copied.extend_from_slice(&record.bytes[start..end]);
        offset -= start;
        if copied.len() == limit {
            break;
        }
    }
    copied.freeze()
}
