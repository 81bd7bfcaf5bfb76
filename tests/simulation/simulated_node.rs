//! One member of the simulated cluster.

use super::disk::Disk;
use super::pending_work::PendingWork;
use super::{CHUNK_BYTES, TIMING};
use samphireshift::consensus::{MemberId, Raft};
use std::collections::VecDeque;
use std::time::Duration;

/// Member of the simulated cluster.
pub struct SimulatedNode {
    pub id: MemberId,
    /// Number of starts of this member.
    pub boot_count: u64,
    /// `None` while the node is stopped.
    pub raft: Option<Raft>,
    pub disk: Disk,
    /// Work that the disk has not done yet; a crash loses it.
    pub(super) pending: VecDeque<PendingWork>,
    pub applied_index: u64,
    /// Hash of the replicated state.
    pub state_hash: u64,
    /// Speed of the local clock relative to the simulated time.
    pub(super) clock_rate: f64,
    pub(super) frozen_until: Duration,
    pub(super) isolated_until: Duration,
    pub(super) stalled_until: Duration,
}

impl SimulatedNode {
    /// Reading of the local clock.
    pub fn clock(&self, now: Duration) -> Duration {
        now.mul_f64(self.clock_rate)
    }

    /// Loses everything but the disk.
    pub(super) fn crash(&mut self) {
        self.raft = None;
        self.pending.clear();
    }

    pub(super) fn start(&mut self, now: Duration, seed: u64) {
        self.boot_count += 1;
        (self.applied_index, self.state_hash) = self.disk.snapshot_state();
        let (hard_state, log) = self.disk.recover();
        let mut raft = Raft::new(self.id, TIMING, seed, self.clock(now), hard_state, log);
        raft.set_chunk_bytes(CHUNK_BYTES);
        self.raft = Some(raft);
    }
}
