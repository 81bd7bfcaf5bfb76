use super::snapshot_chunk::IncomingSnapshot;
use super::{
    Entry, HardState, Log, MemberId, Members, Message, MessageBody, Output, Payload, Progress,
    Snapshot, Timing, WriteNumber, WriteQueue,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// The Raft role of a member, with the state that only this role needs.
#[derive(Debug, Clone)]
pub enum Role {
    /// Follows a leader, or waits to hear from one.
    Follower {
        /// The leader of the current term, if known.
        leader: Option<MemberId>,
    },
    /// Asks for pre-votes, to find out whether it could win an election.
    PreCandidate {
        /// Members that granted a pre-vote, including itself.
        votes: BTreeSet<MemberId>,
        /// When it asks the others again.
        ask_at: Duration,
        /// Until when it leaves the election to another.
        yield_until: Duration,
    },
    /// Asks for votes in an election.
    Candidate {
        /// Members that granted a vote, including itself.
        votes: BTreeSet<MemberId>,
        /// Members that refused one.
        refusals: BTreeSet<MemberId>,
    },
    /// Leads the group.
    Leader {
        /// Replication state of every other member.
        peers: BTreeMap<MemberId, Progress>,
        /// Index of the first entry of its term.
        first_index: u64,
        /// State of a leadership transfer.
        transfer: LeadershipTransfer,
    },
}

/// State of a leadership transfer. While one is in progress, the leader accepts no proposals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipTransfer {
    /// No transfer is in progress.
    Idle,
    /// Waits for another voter to have the whole log.
    Waiting {
        /// When the transfer was requested.
        since: Duration,
    },
    /// A voter was told to start an election. The lease is invalid from here on and stays so for
    /// the rest of the term.
    TimeoutNowSent {
        /// When the message was sent.
        since: Duration,
    },
}

/// Why a proposal was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This member is not the leader, or it is transferring its leadership.
    #[error("this member is not the leader; retry on the leader")]
    NotLeader,
    /// An earlier membership change, or the first entry of this leader's term, is not committed yet.
    #[error("an earlier change is not committed yet; retry later")]
    ChangePending,
    /// The change would add or remove more than one voter, or leave no voter.
    #[error("only one voter may be added or removed at a time, and one must remain")]
    TooManyChanges,
}

/// The default maximum size of a snapshot chunk.
const DEFAULT_CHUNK_BYTES: usize = 256 << 10;

/// Number of election timeouts after which a write that is not synced counts as a disk that has
/// stalled for good: what is not written stays in memory, and the member should be replaced.
const MAX_STALL_ELECTION_TIMEOUTS: u32 = 10;

/// One member of a consensus group; see the [module documentation](super).
#[derive(Debug)]
pub struct Raft {
    pub(super) id: MemberId,
    pub(super) timing: Timing,
    pub(super) rng: Pcg64Mcg,
    /// The latest time passed in, since process start.
    pub(super) now: Duration,
    pub(super) hard_state: HardState,
    pub(super) role: Role,
    pub(super) log: Log,
    /// The newest membership in the log, committed or not.
    pub(super) members: Members,
    /// Index of the entry or snapshot that set `members`.
    pub(super) members_index: u64,
    pub(super) commit_index: u64,
    /// Index of the last committed entry passed to the driver to be applied.
    pub(super) delivered_index: u64,
    /// The writes that are under way, and what is synced on this member.
    pub(super) writes: WriteQueue,
    /// When this member last told the leader that it is heard, ahead of a sync.
    pub(super) answered_at: Duration,
    /// When this member last heard from a valid leader, or last became the leader itself.
    pub(super) leader_contact: Option<Duration>,
    /// No votes or pre-votes are granted before this time, except in a leadership transfer.
    pub(super) earliest_vote: Duration,
    /// When this member starts the next election unless it hears from a leader.
    pub(super) election_deadline: Duration,
    /// The snapshot being received from the leader.
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Maximum size of a snapshot chunk.
    pub(super) chunk_bytes: usize,
    pub(super) output: Output,
}

impl Raft {
    /// Creates a member from recovered state, as a follower. It grants no votes for one election
    /// timeout, since it no longer knows when it last heard from a leader.
    pub fn new(
        id: MemberId,
        timing: Timing,
        seed: u64,
        now: Duration,
        hard_state: HardState,
        log: Log,
    ) -> Self {
        let (members_index, members) = log.members_at(log.last_index());
        let members = members.clone();
        let snapshot_index = log.snapshot_index();
        let mut raft = Self {
            id,
            timing,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            hard_state,
            role: Role::Follower { leader: None },
            members,
            members_index,
            commit_index: snapshot_index,
            delivered_index: snapshot_index,
            writes: WriteQueue::new(log.last_index()),
            answered_at: Duration::ZERO,
            log,
            leader_contact: None,
            earliest_vote: now + timing.election_timeout,
            election_deadline: now,
            incoming: None,
            chunk_bytes: DEFAULT_CHUNK_BYTES,
            output: Output::default(),
        };
        raft.reset_election_timer();
        raft
    }

    /// Bootstraps a new group with `members`, whose only voter must be this member. Panics if the
    /// log is not empty.
    pub fn bootstrap(&mut self, members: Members) {
        assert_eq!(self.log.last_index(), 0, "only a group with an empty log can be bootstrapped");
        self.set_hard_state(1, Some(self.id));
        let entry = Entry { index: 1, term: 1, payload: Payload::Members(members) };
        self.append_entry(entry);
        self.become_leader();
    }

    /// Sets the maximum size of a snapshot chunk, in bytes; at least 1.
    pub fn set_chunk_bytes(&mut self, bytes: usize) {
        self.chunk_bytes = bytes.max(1);
    }

    /// The id of this member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The current role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The newest membership in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Term and index of the entry that set the newest membership, or of the snapshot that includes it.
    pub fn members_version(&self) -> (u64, u64) {
        let term = self.log.term(self.members_index);
        (term.unwrap_or_else(|| self.log.snapshot().term), self.members_index)
    }

    /// Whether the newest membership in the log is known to be committed.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit_index
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The log, including entries that are not synced or committed yet.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// The leader of the current term, as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Leader { .. } => Some(self.id),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// Replication state of another member; `None` if this member is not the leader.
    pub fn progress(&self, id: MemberId) -> Option<&Progress> {
        match &self.role {
            Role::Leader { peers, .. } => peers.get(&id),
            _ => None,
        }
    }

    /// Advances time: starts an election if one is due; as leader, sends heartbeats and steps down
    /// if it has lost contact with a quorum.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
            return;
        }
        if self.now >= self.election_deadline && self.may_campaign() {
            self.start_pre_vote();
            return;
        }
        self.repeat_pre_vote();
        self.count_pre_votes();
    }

    /// Moves the clock on without acting on timeouts, for a lease that is looked at between two ticks.
    pub fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Handles a message; one addressed to another member is ignored.
    pub fn step(&mut self, now: Duration, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        let Message { from, term, body, .. } = message;
        match body {
            MessageBody::RequestPreVote { last_index, last_term } => {
                self.on_request_pre_vote(from, term, last_index, last_term)
            }
            MessageBody::PreVoteResponse { granted } => {
                self.on_pre_vote_response(from, term, granted)
            }
            MessageBody::RequestVote { last_index, last_term, leadership_transfer } => {
                self.on_request_vote(from, term, last_index, last_term, leadership_transfer)
            }
            MessageBody::VoteResponse { granted } => self.on_vote_response(from, term, granted),
            MessageBody::AppendEntries {
                prev_index,
                prev_term,
                entries,
                leader_commit,
                sent_at,
            } => self.on_append_entries(
                from,
                term,
                prev_index,
                prev_term,
                entries,
                leader_commit,
                sent_at,
            ),
            MessageBody::AppendResponse { accepted, index, sent_at } => {
                self.on_append_response(from, term, accepted, index, sent_at)
            }
            MessageBody::InstallSnapshot { chunk, sent_at } => {
                self.on_install_snapshot(from, term, chunk, sent_at)
            }
            MessageBody::InstallResponse { index, offset, sent_at } => {
                self.on_install_response(from, term, index, offset, sent_at)
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from, term),
        }
    }

    /// Takes the work that has accumulated for the driver since the last call.
    pub fn take_output(&mut self) -> Output {
        let mut output = std::mem::take(&mut self.output);
        let hard_state = output.hard_state.is_some();
        if output.needs_sync() {
            output.write = Some(self.writes.push(self.now, self.log.last_index(), hard_state));
        }
        if self.writes.holds_hard_state() {
            // Other members must not see a term that a crash could still make this member forget.
            let after_sync = std::mem::take(&mut output.after_sync);
            output.after_sync = std::mem::take(&mut output.immediate);
            output.after_sync.extend(after_sync);
        }
        let deliverable = output.snapshot.is_none() && !self.writes.holds_hard_state();
        if self.commit_index > self.delivered_index && deliverable {
            output.committed = self.log.range(self.delivered_index + 1, self.commit_index).to_vec();
            self.delivered_index = self.commit_index;
        }
        output
    }

    /// Reports that a write and all earlier ones are synced.
    pub fn on_persisted(&mut self, write: WriteNumber) {
        self.writes.complete(write);
        self.advance_commit();
    }

    /// Whether every write that was taken is synced.
    pub fn is_synced(&self) -> bool {
        self.writes.is_empty()
    }

    /// Whether a write is under way for so long that this member hands leadership over and, as a
    /// follower, falls silent.
    pub fn is_disk_stalled(&self) -> bool {
        let limit = self.timing.election_timeout * MAX_STALL_ELECTION_TIMEOUTS;
        self.writes.oldest().is_some_and(|since| self.now > since + limit)
    }

    /// Index of the last entry of the log that is synced on this member.
    pub fn persisted_index(&self) -> u64 {
        self.writes.persisted_index()
    }

    /// Builds a snapshot from `data`, the state after applying the entry at `index`. Panics if that
    /// entry is not in the log.
    pub fn snapshot_at(&self, index: u64, data: bytes::Bytes) -> Snapshot {
        let (_, members) = self.log.members_at(index);
        let members = members.clone();
        let term = self.log.term(index).expect("a snapshot's last entry must be in the log");
        Snapshot { index, term, members, data }
    }

    /// Compacts the log up to a snapshot, unless the log already starts from a newer one.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index > self.log.snapshot_index() {
            self.log.compact(snapshot);
        }
    }

    pub(super) fn send(&mut self, to: MemberId, term: u64, body: MessageBody) {
        let message = Message { from: self.id, to, term, body };
        match self.needs_synced_state(&message.body) {
            true => self.output.after_sync.push(message),
            false => self.output.immediate.push(message),
        }
    }

    /// Whether a message promises more than the term, which [`Self::take_output`] looks after. A
    /// leader may send entries before its own copy is synced.
    fn needs_synced_state(&self, body: &MessageBody) -> bool {
        match body {
            MessageBody::RequestVote { .. } => true,
            MessageBody::VoteResponse { granted } => *granted,
            MessageBody::AppendResponse { accepted, index, .. } => {
                *accepted && *index > self.persisted_index()
            }
            MessageBody::AppendEntries { .. }
            | MessageBody::InstallSnapshot { .. }
            | MessageBody::InstallResponse { .. }
            | MessageBody::RequestPreVote { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::TimeoutNow => false,
        }
    }

    pub(super) fn set_hard_state(&mut self, term: u64, vote: Option<MemberId>) {
        self.hard_state = HardState { term, vote };
        self.output.hard_state = Some(self.hard_state);
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
        }
        self.role = Role::Follower { leader };
        self.reset_election_timer();
    }

    pub(super) fn reset_election_timer(&mut self) {
        let max_jitter_ms = self.timing.election_timeout.as_millis() as u64;
        let jitter = Duration::from_millis(self.rng.random_range(0..=max_jitter_ms));
        self.election_deadline = self.now + self.timing.election_timeout + jitter;
    }

    pub(super) fn append_entry(&mut self, entry: Entry) {
        self.output.entries.push(entry.clone());
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.log.push(entry);
    }

    pub(super) fn other_members(&self) -> Vec<MemberId> {
        self.members.all().map(|m| m.id).filter(|id| *id != self.id).collect()
    }
}
