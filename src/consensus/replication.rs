//! Log replication: appended entries, snapshots, their responses and the commit index.

use super::raft::Role;
use super::snapshot_chunk::IncomingSnapshot;
use super::{
    Entry, MemberId, MessageBody, OutgoingSnapshot, Payload, Raft, Snapshot, SnapshotChunk,
};
use std::time::Duration;

/// Maximum total size of the entries in one message; a single larger entry is sent alone.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// Number of unacknowledged entries from which on no more entries are sent to a member.
const MAX_INFLIGHT_ENTRIES: u64 = 4_096;
/// Number of election timeouts after which an unanswered snapshot chunk is sent again.
const CHUNK_RETRY_ELECTION_TIMEOUTS: u32 = 2;

impl Raft {
    /// Sends the entries or the snapshot chunk that a member needs next; with `heartbeat`, sends a
    /// message even if there is nothing to replicate.
    pub(super) fn send_append(&mut self, to: MemberId, heartbeat: bool) {
        let (now, snapshot_index) = (self.now, self.log.snapshot_index());
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&to) else { return };
        if progress.next_index <= snapshot_index {
            self.send_chunk(to, heartbeat);
            return;
        }
        let window_full = progress.next_index > progress.match_index + MAX_INFLIGHT_ENTRIES;
        let entries = match window_full {
            true => Vec::new(),
            false => self.log.slice(progress.next_index, MAX_APPEND_BYTES).to_vec(),
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        let prev = progress.next_index - 1;
        progress.next_index += entries.len() as u64;
        progress.last_sent = now;
        let body = self.append_entries_body(prev, entries);
        self.send(to, self.hard_state.term, body);
    }

    /// Sends the next chunk of a snapshot, unless one is in flight; with `heartbeat`, then sends an
    /// empty append instead.
    fn send_chunk(&mut self, to: MemberId, heartbeat: bool) {
        let (now, max_bytes) = (self.now, self.chunk_bytes);
        let retry_after = self.timing.election_timeout * CHUNK_RETRY_ELECTION_TIMEOUTS;
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&to) else { return };
        let sent_at = progress.outgoing.as_ref().and_then(|outgoing| outgoing.sent_at);
        let in_flight = sent_at.is_some_and(|at| now < at + retry_after);
        if in_flight && !heartbeat {
            return;
        }
        progress.last_sent = now;
        if in_flight {
            // Keeps the receiver from starting an election while the chunk is in flight.
            let body = self.append_entries_body(self.log.snapshot_index(), Vec::new());
            self.send(to, self.hard_state.term, body);
            return;
        }
        let start =
            || OutgoingSnapshot { snapshot: self.log.snapshot().clone(), offset: 0, sent_at: None };
        let outgoing = progress.outgoing.get_or_insert_with(start);
        outgoing.sent_at = Some(now);
        let chunk = SnapshotChunk::slice(&outgoing.snapshot, outgoing.offset, max_bytes);
        self.send(to, self.hard_state.term, MessageBody::InstallSnapshot { chunk, sent_at: now });
    }

    pub(super) fn on_install_response(
        &mut self,
        from: MemberId,
        term: u64,
        index: u64,
        offset: u64,
        sent_at: Duration,
    ) {
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&from) else { return };
        if term != self.hard_state.term {
            return;
        }
        progress.last_contact = progress.last_contact.max(Some(sent_at));
        let Some(outgoing) = &mut progress.outgoing else { return };
        // A response to an earlier transmission of the chunk must not put a second one in flight.
        if outgoing.snapshot.index != index || outgoing.sent_at != Some(sent_at) {
            return;
        }
        outgoing.offset = offset;
        outgoing.sent_at = None;
        self.send_chunk(from, false);
    }

    fn append_entries_body(&self, prev_index: u64, entries: Vec<Entry>) -> MessageBody {
        let prev_term = self.log.term(prev_index).expect("the preceding entry must be in the log");
        MessageBody::AppendEntries {
            prev_index,
            prev_term,
            entries,
            leader_commit: self.commit_index,
            sent_at: self.now,
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_append_entries(
        &mut self,
        from: MemberId,
        term: u64,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        leader_commit: u64,
        sent_at: Duration,
    ) {
        if !self.accept_leader(from, term, sent_at) {
            return;
        }
        if let Some(index) = self.mismatch_hint(prev_index, prev_term) {
            let body = MessageBody::AppendResponse { accepted: false, index, sent_at };
            self.send(from, self.hard_state.term, body);
            return;
        }
        let last = prev_index + entries.len() as u64;
        self.append_from_leader(entries);
        self.commit_index = self.commit_index.max(leader_commit.min(last));
        self.answer_before_sync(from, last, sent_at);
        let body = MessageBody::AppendResponse { accepted: true, index: last, sent_at };
        self.send(from, self.hard_state.term, body);
    }

    /// While entries wait for their sync, tells the leader now and then that it is heard, and
    /// acknowledges only what is synced.
    fn answer_before_sync(&mut self, to: MemberId, last: u64, sent_at: Duration) {
        let index = self.persisted_index();
        let recent = self.now < self.answered_at + self.timing.heartbeat_interval / 2;
        if last <= index || recent || self.is_disk_stalled() {
            return;
        }
        self.answered_at = self.now;
        let body = MessageBody::AppendResponse { accepted: true, index, sent_at };
        self.send(to, self.hard_state.term, body);
    }

    /// Follows the sender if its term is current and returns true. If it is stale, rejects the
    /// message with this member's term and returns false.
    fn accept_leader(&mut self, from: MemberId, term: u64, sent_at: Duration) -> bool {
        if term < self.hard_state.term {
            let body = MessageBody::AppendResponse { accepted: false, index: 0, sent_at };
            self.send(from, self.hard_state.term, body);
            return false;
        }
        assert!(
            term > self.hard_state.term || !self.is_leader(),
            "two leaders in one term: election safety is violated"
        );
        self.become_follower(term, Some(from));
        self.leader_contact = Some(self.now);
        true
    }

    /// The index that the leader should try next if the logs do not match at `prev_index`; `None` if
    /// they match.
    fn mismatch_hint(&self, prev_index: u64, prev_term: u64) -> Option<u64> {
        if prev_index < self.log.snapshot_index() {
            return Some(self.log.snapshot_index());
        }
        let Some(own_term) = self.log.term(prev_index) else { return Some(self.log.last_index()) };
        if own_term == prev_term {
            return None;
        }
        let mut index = prev_index;
        while index > self.commit_index && self.log.term(index) == Some(own_term) {
            index -= 1;
        }
        Some(index)
    }

    fn append_from_leader(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None if entry.index <= self.log.snapshot_index() => continue,
                None => {}
            }
            self.append_entry(entry);
        }
    }

    fn truncate(&mut self, from: u64) {
        assert!(from > self.commit_index, "a committed entry must not be replaced");
        self.log.truncate(from);
        self.writes.truncate(from);
        self.output.entries.retain(|entry| entry.index < from);
        let (index, members) = self.log.members_at(from - 1);
        self.members = members.clone();
        self.members_index = index;
    }

    pub(super) fn on_append_response(
        &mut self,
        from: MemberId,
        term: u64,
        accepted: bool,
        index: u64,
        sent_at: Duration,
    ) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let last = self.log.last_index();
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&from) else { return };
        if term != self.hard_state.term {
            return;
        }
        progress.last_contact = progress.last_contact.max(Some(sent_at));
        if accepted {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.outgoing = None;
        } else {
            progress.next_index = index.max(progress.match_index).min(last) + 1;
        }
        self.advance_commit();
        self.try_transfer();
        self.send_append(from, false);
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: MemberId,
        term: u64,
        chunk: SnapshotChunk,
        sent_at: Duration,
    ) {
        if !self.accept_leader(from, term, sent_at) {
            return;
        }
        let index = chunk.index;
        // The log may already contain everything up to this index, followed by entries that count
        // towards a quorum. These must be kept, so only the commit index is updated.
        let in_log = self.log.term(index) == Some(chunk.term);
        if in_log {
            self.commit_index = self.commit_index.max(index);
        }
        if in_log || index <= self.commit_index {
            self.incoming = None;
            let body = MessageBody::AppendResponse { accepted: true, index, sent_at };
            self.send(from, self.hard_state.term, body);
            return;
        }
        let body = self.receive_chunk(&chunk, sent_at);
        self.send(from, self.hard_state.term, body);
    }

    fn receive_chunk(&mut self, chunk: &SnapshotChunk, sent_at: Duration) -> MessageBody {
        let current = self.incoming.take().filter(|incoming| incoming.matches(chunk));
        let mut incoming = current.unwrap_or_else(|| IncomingSnapshot::new(chunk));
        let index = chunk.index;
        if let Some(snapshot) = incoming.add(chunk) {
            self.install_snapshot(snapshot);
            return MessageBody::AppendResponse { accepted: true, index, sent_at };
        }
        let offset = incoming.size();
        self.incoming = Some(incoming);
        MessageBody::InstallResponse { index, offset, sent_at }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        // What is on disk behind the committed entries may differ from what the snapshot covers.
        self.writes.truncate(self.commit_index + 1);
        self.commit_index = snapshot.index;
        self.delivered_index = snapshot.index;
        self.members = snapshot.members.clone();
        self.members_index = snapshot.index;
        self.log.reset(snapshot.clone());
        self.output.entries.clear();
        self.output.snapshot = Some(snapshot);
    }

    /// Advances the commit index to the last entry synced by a quorum, but only if that entry is of
    /// this leader's own term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader { peers, .. } = &self.role else { return };
        let match_index = |id: MemberId| match id == self.id {
            true => self.persisted_index(),
            false => peers.get(&id).map_or(0, |p| p.match_index),
        };
        let mut indexes: Vec<_> = self.members.voters.iter().map(|m| match_index(m.id)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = indexes.get(self.members.quorum() - 1).copied() else { return };
        if quorum_index <= self.commit_index
            || self.log.term(quorum_index) != Some(self.hard_state.term)
        {
            return;
        }
        self.commit_index = quorum_index;
        self.step_down_if_removed();
    }

    /// Steps down if this leader is no longer a voter and its removal is committed.
    fn step_down_if_removed(&mut self) {
        if self.members.is_voter(self.id) || self.members_index > self.commit_index {
            return;
        }
        let removed = matches!(
            self.log.get(self.members_index).map(|e| &e.payload),
            Some(Payload::Members(_))
        );
        if removed {
            self.become_follower(self.hard_state.term, None);
        }
    }
}
