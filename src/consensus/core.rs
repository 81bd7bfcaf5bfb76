use super::snapshot_part::Incoming;
use super::{
    Body, Entry, HardState, Log, MemberId, Members, Message, Output, Payload, Progress, Snapshot,
    Timing,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// What a member does at present.
#[derive(Debug, Clone)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower {
        /// The leader, once heard.
        leader: Option<MemberId>,
    },
    /// Asks whether an election could succeed.
    PreCandidate {
        /// Who would vote for it.
        granted: BTreeSet<MemberId>,
    },
    /// Stands for election.
    Candidate {
        /// Who voted for it.
        granted: BTreeSet<MemberId>,
    },
    /// Leads.
    Leader {
        /// What it knows of the others.
        peers: BTreeMap<MemberId, Progress>,
        /// Index of its first entry.
        first: u64,
        /// How far a hand-over has come.
        yielding: Yielding,
    },
}

/// How far a leader's hand-over has come; it takes no proposals from the start of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Yielding {
    /// None was asked for.
    No,
    /// Waits for a voter that has everything.
    Waiting {
        /// When it was asked for.
        since: Duration,
    },
    /// A voter was told to take over; the lease counts no longer, in this term never again.
    Told {
        /// When it was told.
        since: Duration,
    },
}

/// Why a proposal was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another member leads, or none does.
    #[error("not the leader")]
    NotLeader,
    /// An earlier membership change, or this leader's first entry, is not committed yet.
    #[error("an earlier change is not committed yet")]
    ChangePending,
    /// More than one voter would change, or none would be left.
    #[error("only one voter may change at a time")]
    TooManyChanges,
}

/// The largest part of a snapshot in one message, in bytes.
const PART_BYTES: usize = 256 << 10;

/// One member of a consensus group.
#[derive(Debug)]
pub struct Core {
    pub(super) id: MemberId,
    pub(super) timing: Timing,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: Duration,
    pub(super) hard: HardState,
    pub(super) role: Role,
    pub(super) log: Log,
    pub(super) members: Members,
    pub(super) members_index: u64,
    pub(super) commit: u64,
    pub(super) handed: u64,
    pub(super) stable: u64,
    pub(super) heard: Option<Duration>,
    pub(super) quiet_until: Duration,
    pub(super) election_at: Duration,
    pub(super) incoming: Option<Incoming>,
    pub(super) part_bytes: usize,
    pub(super) output: Output,
}

impl Core {
    /// Opens a member from recovered state; it votes for nobody within one election time, since it
    /// does not remember when it last heard a leader.
    pub fn open(
        id: MemberId,
        timing: Timing,
        seed: u64,
        now: Duration,
        hard: HardState,
        log: Log,
    ) -> Self {
        let (members_index, members) = log.members_at(log.last_index());
        let members = members.clone();
        let base = log.base_index();
        let mut core = Self {
            id,
            timing,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            hard,
            role: Role::Follower { leader: None },
            members,
            members_index,
            commit: base,
            handed: base,
            stable: log.last_index(),
            log,
            heard: None,
            quiet_until: now + timing.election,
            election_at: now,
            incoming: None,
            part_bytes: PART_BYTES,
            output: Output::default(),
        };
        core.reset_election();
        core
    }

    /// Founds a group whose only voter is this member. Only for an empty log.
    pub fn found(&mut self, members: Members) {
        assert_eq!(self.log.last_index(), 0, "a group is founded once");
        self.set_term(1, Some(self.id));
        let entry = Entry { index: 1, term: 1, payload: Payload::Members(members) };
        self.append_own(entry);
        self.become_leader();
    }

    /// Sets the largest part of a snapshot in one message, in bytes; at least one.
    pub fn limit_parts(&mut self, bytes: usize) {
        self.part_bytes = bytes.max(1);
    }

    /// This member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// What the member does at present.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The newest members in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The last committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// The leader as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Leader { .. } => Some(self.id),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// What the leader knows of another member; `None` where this member does not lead.
    pub fn progress(&self, id: MemberId) -> Option<&Progress> {
        match &self.role {
            Role::Leader { peers, .. } => peers.get(&id),
            _ => None,
        }
    }

    /// Lets time pass: elections, heartbeats, a leader's step-down without a quorum.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
            return;
        }
        if self.now >= self.election_at && self.may_stand() {
            self.start_pre_vote();
        }
    }

    /// Takes in a message.
    pub fn step(&mut self, now: Duration, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        let Message { from, term, body, .. } = message;
        match body {
            Body::PreVote { last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term)
            }
            Body::PreVoteAnswer { granted } => self.on_pre_vote_answer(from, term, granted),
            Body::Vote { last_index, last_term, handed_over } => {
                self.on_vote(from, term, last_index, last_term, handed_over)
            }
            Body::VoteAnswer { granted } => self.on_vote_answer(from, term, granted),
            Body::Append { prev_index, prev_term, entries, commit, sent } => {
                self.on_append(from, term, prev_index, prev_term, entries, commit, sent)
            }
            Body::AppendAnswer { accepted, index, sent } => {
                self.on_append_answer(from, term, accepted, index, sent)
            }
            Body::Install { part, sent } => self.on_install(from, term, part, sent),
            Body::InstallAnswer { index, offset, sent } => {
                self.on_install_answer(from, term, index, offset, sent)
            }
            Body::HandOver => self.on_hand_over(from, term),
        }
    }

    /// What the driver must do next.
    pub fn take_output(&mut self) -> Output {
        let mut output = std::mem::take(&mut self.output);
        if output.hard.is_some() {
            // A term that may be forgotten by a crash must not be seen by others.
            let late = std::mem::take(&mut output.late);
            output.late = std::mem::take(&mut output.early);
            output.late.extend(late);
        }
        if self.commit > self.handed && output.install.is_none() {
            output.committed = self.log.range(self.handed + 1, self.commit).to_vec();
            self.handed = self.commit;
        }
        output
    }

    /// Tells that everything in the last output is synced.
    pub fn persisted(&mut self) {
        self.stable = self.log.last_index();
        self.advance_commit();
    }

    /// The snapshot of the state after applying the entry at an index, which must be in the log.
    pub fn snapshot_at(&self, index: u64, data: bytes::Bytes) -> Snapshot {
        let (_, members) = self.log.members_at(index);
        let members = members.clone();
        let term = self.log.term(index).expect("a snapshot is made of entries in the log");
        Snapshot { index, term, members, data }
    }

    /// Trims the log behind a snapshot, unless it starts behind a newer one already.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index > self.log.base_index() {
            self.log.compact(snapshot);
        }
    }

    pub(super) fn send(&mut self, to: MemberId, term: u64, body: Body) {
        let message = Message { from: self.id, to, term, body };
        // A leader's entries may travel before its own copy is synced; a follower's word may not.
        match &message.body {
            Body::Append { .. } | Body::Install { .. } | Body::PreVote { .. } | Body::HandOver => {
                self.output.early.push(message)
            }
            _ => self.output.late.push(message),
        }
    }

    pub(super) fn set_term(&mut self, term: u64, vote: Option<MemberId>) {
        self.hard = HardState { term, vote };
        self.output.hard = Some(self.hard);
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        if term > self.hard.term {
            self.set_term(term, None);
        }
        self.role = Role::Follower { leader };
        self.reset_election();
    }

    pub(super) fn reset_election(&mut self) {
        let spread = self.timing.election.as_millis() as u64;
        let extra = Duration::from_millis(self.rng.random_range(0..=spread));
        self.election_at = self.now + self.timing.election + extra;
    }

    pub(super) fn append_own(&mut self, entry: Entry) {
        self.output.entries.push(entry.clone());
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.log.push(entry);
    }

    pub(super) fn others(&self) -> Vec<MemberId> {
        self.members.all().map(|m| m.id).filter(|id| *id != self.id).collect()
    }
}
