//! Replication: appends, their answers, snapshots and the commit index.

use super::core::Role;
use super::snapshot_part::Incoming;
use super::{Body, Core, Entry, Installing, MemberId, Payload, Snapshot, SnapshotPart};
use std::time::Duration;

/// Entries in one message, in bytes.
const BATCH_BYTES: usize = 1 << 20;
/// Entries sent to a member and not yet answered.
const WINDOW_ENTRIES: u64 = 4_096;
/// Election times after which an unanswered part of a snapshot is sent again.
const PART_RETRY: u32 = 2;

impl Core {
    /// Sends what a member lacks; with `heartbeat` also where it lacks nothing.
    pub(super) fn send_append(&mut self, to: MemberId, heartbeat: bool) {
        let (now, base) = (self.now, self.log.base_index());
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&to) else { return };
        if progress.next <= base {
            self.send_part(to, heartbeat);
            return;
        }
        let full = progress.next > progress.matched + WINDOW_ENTRIES;
        let entries = match full {
            true => Vec::new(),
            false => self.log.slice(progress.next, BATCH_BYTES).to_vec(),
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        let prev = progress.next - 1;
        progress.next += entries.len() as u64;
        progress.sent = now;
        let body = self.append_body(prev, entries);
        self.send(to, self.hard.term, body);
    }

    /// Sends the next part of a snapshot, unless one is in flight.
    fn send_part(&mut self, to: MemberId, heartbeat: bool) {
        let (now, most) = (self.now, self.part_bytes);
        let retry = self.timing.election * PART_RETRY;
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&to) else { return };
        let sent = progress.installing.as_ref().and_then(|installing| installing.at);
        let waiting = sent.is_some_and(|at| now < at + retry);
        if waiting && !heartbeat {
            return;
        }
        progress.sent = now;
        if waiting {
            // Keeps the receiver from starting an election while a part travels.
            let body = self.append_body(self.log.base_index(), Vec::new());
            self.send(to, self.hard.term, body);
            return;
        }
        let fresh = || Installing { snapshot: self.log.snapshot().clone(), offset: 0, at: None };
        let installing = progress.installing.get_or_insert_with(fresh);
        installing.at = Some(now);
        let part = SnapshotPart::cut(&installing.snapshot, installing.offset, most);
        self.send(to, self.hard.term, Body::Install { part, sent: now });
    }

    pub(super) fn on_install_answer(
        &mut self,
        from: MemberId,
        term: u64,
        index: u64,
        offset: u64,
        sent: Duration,
    ) {
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&from) else { return };
        if term != self.hard.term {
            return;
        }
        progress.acked = progress.acked.max(Some(sent));
        let Some(installing) = &mut progress.installing else { return };
        // An answer to an older sending of the part must not start a second flight.
        if installing.snapshot.index != index || installing.at != Some(sent) {
            return;
        }
        installing.offset = offset;
        installing.at = None;
        self.send_part(from, false);
    }

    fn append_body(&self, prev_index: u64, entries: Vec<Entry>) -> Body {
        let prev_term = self.log.term(prev_index).expect("the entry before is in the log");
        Body::Append { prev_index, prev_term, entries, commit: self.commit, sent: self.now }
    }

    #[allow(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_append(
        &mut self,
        from: MemberId,
        term: u64,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        sent: Duration,
    ) {
        if !self.accept_leader(from, term, sent) {
            return;
        }
        if let Some(index) = self.mismatch(prev_index, prev_term) {
            let body = Body::AppendAnswer { accepted: false, index, sent };
            self.send(from, self.hard.term, body);
            return;
        }
        let last = prev_index + entries.len() as u64;
        self.append_from_leader(entries);
        self.commit = self.commit.max(commit.min(last));
        let body = Body::AppendAnswer { accepted: true, index: last, sent };
        self.send(from, self.hard.term, body);
    }

    /// Follows the sender where its term is current; answers with our term where it is stale.
    fn accept_leader(&mut self, from: MemberId, term: u64, sent: Duration) -> bool {
        if term < self.hard.term {
            let body = Body::AppendAnswer { accepted: false, index: 0, sent };
            self.send(from, self.hard.term, body);
            return false;
        }
        assert!(
            term > self.hard.term || !self.is_leader(),
            "two leaders in one term: the election is broken"
        );
        self.become_follower(term, Some(from));
        self.heard = Some(self.now);
        true
    }

    /// Where the logs may agree, if they do not agree at `prev_index`.
    fn mismatch(&self, prev_index: u64, prev_term: u64) -> Option<u64> {
        if prev_index < self.log.base_index() {
            return Some(self.log.base_index());
        }
        let Some(ours) = self.log.term(prev_index) else { return Some(self.log.last_index()) };
        if ours == prev_term {
            return None;
        }
        let mut index = prev_index;
        while index > self.commit && self.log.term(index) == Some(ours) {
            index -= 1;
        }
        Some(index)
    }

    fn append_from_leader(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None if entry.index <= self.log.base_index() => continue,
                None => {}
            }
            self.append_own(entry);
        }
    }

    fn truncate(&mut self, from: u64) {
        assert!(from > self.commit, "a committed entry would be replaced");
        self.log.truncate(from);
        self.stable = self.stable.min(from - 1);
        self.output.entries.retain(|entry| entry.index < from);
        let (index, members) = self.log.members_at(from - 1);
        self.members = members.clone();
        self.members_index = index;
    }

    pub(super) fn on_append_answer(
        &mut self,
        from: MemberId,
        term: u64,
        accepted: bool,
        index: u64,
        sent: Duration,
    ) {
        if term > self.hard.term {
            self.become_follower(term, None);
            return;
        }
        let last = self.log.last_index();
        let Role::Leader { peers, .. } = &mut self.role else { return };
        let Some(progress) = peers.get_mut(&from) else { return };
        if term != self.hard.term {
            return;
        }
        progress.acked = progress.acked.max(Some(sent));
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.installing = None;
        } else {
            progress.next = index.max(progress.matched).min(last) + 1;
        }
        self.advance_commit();
        self.try_hand_over();
        self.send_append(from, false);
    }

    pub(super) fn on_install(
        &mut self,
        from: MemberId,
        term: u64,
        part: SnapshotPart,
        sent: Duration,
    ) {
        if !self.accept_leader(from, term, sent) {
            return;
        }
        let index = part.index;
        // The log may hold everything up to here, and entries behind it that a quorum counts on:
        // then only the commit index is news.
        let held = self.log.term(index) == Some(part.term);
        if held {
            self.commit = self.commit.max(index);
        }
        if held || index <= self.commit {
            self.incoming = None;
            let body = Body::AppendAnswer { accepted: true, index, sent };
            self.send(from, self.hard.term, body);
            return;
        }
        let body = self.take_part(&part, sent);
        self.send(from, self.hard.term, body);
    }

    fn take_part(&mut self, part: &SnapshotPart, sent: Duration) -> Body {
        let known = self.incoming.take().filter(|incoming| incoming.fits(part));
        let mut incoming = known.unwrap_or_else(|| Incoming::open(part));
        let index = part.index;
        if let Some(snapshot) = incoming.take(part) {
            self.install(snapshot);
            return Body::AppendAnswer { accepted: true, index, sent };
        }
        let offset = incoming.size();
        self.incoming = Some(incoming);
        Body::InstallAnswer { index, offset, sent }
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.handed = snapshot.index;
        self.stable = snapshot.index;
        self.members = snapshot.members.clone();
        self.members_index = snapshot.index;
        self.log.reset(snapshot.clone());
        self.output.entries.clear();
        self.output.install = Some(snapshot);
    }

    /// Commits what a quorum has synced, but only entries of this leader's own term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader { peers, .. } = &self.role else { return };
        let matched = |id: MemberId| match id == self.id {
            true => self.stable,
            false => peers.get(&id).map_or(0, |p| p.matched),
        };
        let mut indexes: Vec<_> = self.members.voters.iter().map(|m| matched(m.id)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = indexes.get(self.members.quorum() - 1).copied() else { return };
        if agreed <= self.commit || self.log.term(agreed) != Some(self.hard.term) {
            return;
        }
        self.commit = agreed;
        self.leave_if_removed();
    }

    /// A leader that is no longer a voter steps down once its removal is committed.
    fn leave_if_removed(&mut self) {
        if self.members.is_voter(self.id) || self.members_index > self.commit {
            return;
        }
        let removed = matches!(
            self.log.get(self.members_index).map(|e| &e.payload),
            Some(Payload::Members(_))
        );
        if removed {
            self.become_follower(self.hard.term, None);
        }
    }
}
