//! Checks of the Raft safety properties after every step of the simulation.

use super::{SimulatedNode, is_command};
use samphireshift::consensus::{Entry, MemberId, Message, MessageBody, Payload};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Everything observed since the start of the run, across all members and crashes.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Member and boot count of the leader of each term.
    leaders: BTreeMap<u64, (MemberId, u64)>,
    /// Hash of each entry and the term of the entry before it, by index and term.
    entry_hashes: BTreeMap<(u64, u64), (u64, u64)>,
    committed: BTreeMap<u64, Entry>,
    /// Hash of the replicated state after each index.
    state_hashes: BTreeMap<u64, u64>,
    command_count: usize,
}

impl InvariantChecker {
    /// Number of distinct commands committed so far.
    pub fn command_count(&self) -> usize {
        self.command_count
    }

    /// Log matching: entries with the same index and term are equal, and so is the term of the
    /// entry before them.
    pub fn check_log_matching(&mut self, node: &SimulatedNode, entries: &[Entry]) {
        let log = node.raft.as_ref().expect("the node is running").log();
        for entry in entries {
            // The preceding entry may already be compacted into a snapshot.
            let Some(before) = log.term(entry.index - 1) else { continue };
            let hash = (chained_hash(0, entry), before);
            let known = *self.entry_hashes.entry((entry.index, entry.term)).or_insert(hash);
            assert_eq!(
                known, hash,
                "two different entries at index {} in term {}",
                entry.index, entry.term
            );
        }
    }

    /// A message promises nothing that a crash of its sender could undo.
    pub fn check_promise(&self, node: &SimulatedNode, message: &Message) {
        let hard_state = node.disk.hard_state();
        let shown = match message.body {
            MessageBody::RequestPreVote { .. } => message.term - 1,
            // Repeats the term of the request.
            MessageBody::PreVoteResponse { granted: true } => 0,
            _ => message.term,
        };
        assert!(shown <= hard_state.term, "{message:?} is sent with {hard_state:?} on disk");
        match message.body {
            MessageBody::AppendResponse { accepted: true, index, .. } => {
                let last = node.disk.last_index();
                assert!(index <= last, "{message:?} is sent with a log up to {last} on disk");
            }
            MessageBody::RequestVote { last_index, .. } => {
                let last = node.disk.last_index();
                assert!(last_index <= last, "{message:?} is sent with a log up to {last} on disk");
            }
            MessageBody::VoteResponse { granted: true } => {
                let voted = hard_state.term > message.term || hard_state.vote == Some(message.to);
                assert!(voted, "{message:?} is sent with {hard_state:?} on disk");
            }
            _ => {}
        }
    }

    /// State-machine safety: all members apply the same entry at an index.
    pub fn check_applied(&mut self, state: u64, entry: &Entry) -> u64 {
        let next = chained_hash(state, entry);
        let known = self.committed.get(&entry.index);
        match known {
            Some(known) => assert_eq!(known, entry, "two different entries committed at one index"),
            None => {
                self.command_count += usize::from(is_command(&entry.payload));
                self.committed.insert(entry.index, entry.clone());
            }
        }
        self.check_state(entry.index, next);
        next
    }

    /// Members that applied the same index have the same state.
    pub fn check_state(&mut self, index: u64, state: u64) {
        assert_eq!(
            *self.state_hashes.entry(index).or_insert(state),
            state,
            "states differ at index {index}"
        );
    }

    /// Election safety, leader completeness, and at most one member that may serve reads.
    pub fn check_leaders(&mut self, nodes: &[SimulatedNode], now: Duration) {
        let mut serving = 0;
        for node in nodes {
            let Some(raft) = &node.raft else { continue };
            serving += usize::from(raft.may_serve_reads(node.clock(now)));
            if !raft.is_leader() {
                continue;
            }
            let term = raft.term();
            if let Some(known) = self.leaders.get(&term) {
                assert_eq!(*known, (node.id, node.boot_count), "two leaders in term {term}");
                continue;
            }
            self.leaders.insert(term, (node.id, node.boot_count));
            let log = raft.log();
            for (index, entry) in self.committed.range(log.snapshot_index() + 1..) {
                assert_eq!(
                    log.get(*index),
                    Some(entry),
                    "leader of term {term} lacks the committed entry at index {index}"
                );
            }
        }
        assert!(serving <= 1, "{serving} members may serve reads at the same time");
    }
}

/// Hash of the state that results when `entry` is applied to a state with the hash `state`.
fn chained_hash(state: u64, entry: &Entry) -> u64 {
    let mut hasher = DefaultHasher::new();
    (state, entry.index, entry.term).hash(&mut hasher);
    match &entry.payload {
        Payload::Empty => {}
        Payload::Command(bytes) => bytes.hash(&mut hasher),
        Payload::Members(members) => {
            members.all().for_each(|m| m.id.0.hash(&mut hasher));
        }
    }
    hasher.finish()
}
