//! What must hold after every step.

use super::{Node, is_command};
use samphireshift::consensus::{Entry, MemberId, Payload};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// What was ever seen, over all members and crashes.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<u64, (MemberId, u64)>,
    entries: BTreeMap<(u64, u64), (u64, u64)>,
    committed: BTreeMap<u64, Entry>,
    states: BTreeMap<u64, u64>,
    commands: usize,
}

impl Checker {
    /// Commands committed so far.
    pub fn commands(&self) -> usize {
        self.commands
    }

    /// Log matching: an index and a term name one entry, with one term before it.
    pub fn entries(&mut self, node: &Node, entries: &[Entry]) {
        let log = node.core.as_ref().expect("it runs").log();
        for entry in entries {
            // The entry before may be trimmed already.
            let Some(before) = log.term(entry.index - 1) else { continue };
            let print = (fingerprint(0, entry), before);
            let known = *self.entries.entry((entry.index, entry.term)).or_insert(print);
            assert_eq!(known, print, "two entries at {} in term {}", entry.index, entry.term);
        }
    }

    /// State-machine safety: all members apply the same entry at an index.
    pub fn apply(&mut self, state: u64, entry: &Entry) -> u64 {
        let next = fingerprint(state, entry);
        let known = self.committed.get(&entry.index);
        match known {
            Some(known) => assert_eq!(known, entry, "two committed entries at one index"),
            None => {
                self.commands += usize::from(is_command(&entry.payload));
                self.committed.insert(entry.index, entry.clone());
            }
        }
        self.state(entry.index, next);
        next
    }

    pub fn state(&mut self, index: u64, state: u64) {
        assert_eq!(*self.states.entry(index).or_insert(state), state, "two states at {index}");
    }

    /// Election safety, leader completeness, exclusive leases.
    pub fn leaders(&mut self, nodes: &[Node], now: Duration) {
        let mut serving = 0;
        for node in nodes {
            let Some(core) = &node.core else { continue };
            serving += usize::from(core.may_serve_reads(node.clock(now)));
            if !core.is_leader() {
                continue;
            }
            let term = core.term();
            if let Some(known) = self.leaders.get(&term) {
                assert_eq!(*known, (node.id, node.boot), "two leaders in term {term}");
                continue;
            }
            self.leaders.insert(term, (node.id, node.boot));
            let log = core.log();
            for (index, entry) in self.committed.range(log.snapshot_index() + 1..) {
                assert_eq!(log.get(*index), Some(entry), "leader of {term} lacks {index}");
            }
        }
        assert!(serving <= 1, "{serving} members hold the lease");
    }
}

fn fingerprint(state: u64, entry: &Entry) -> u64 {
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
