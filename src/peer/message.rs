use crate::control::{
    AnswerStatsEntry, Config, Evidence, PoolRollout, RouteTable, RouterId, Ticket, TicketAnswer,
    TicketRecord,
};
use crate::event::Stamp;
use crate::group::{GroupId, SubmitError};
use crate::ledger::{Bill, BillSum};
use crate::name::{DataCentre, OrganisationName, PoolName, VersionKey, VmName};
use crate::policy::{CountReport, Epoch, FleetStatsChange, Tally};
use crate::vms::VmSnapshot;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A router asks for its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseAsk {
    /// The router.
    pub router: RouterId,
    /// The revision that it works under.
    pub revision: u64,
    /// Its clock.
    pub stamp: Stamp,
    /// What it counted, where a report is due or not yet acknowledged.
    pub report: Option<CountReport>,
    /// What its knowledge is up to date with.
    pub epoch: Epoch,
    /// What a daemon that only routes knows and saw.
    pub pools: Option<PoolReport>,
}

/// What a daemon that only routes tells with its ask.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolReport {
    /// The digest of the VM list that it works with; 0 for none.
    pub listing: u64,
    /// What it saw of pools under roll-out.
    pub tallies: Vec<Tally>,
}

/// What a daemon that only routes is told with its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolNews {
    /// The VM list, where the router has another one.
    pub listing: Option<Arc<VmSnapshot>>,
    /// Where the voters listen for peers.
    pub voters: Vec<SocketAddr>,
    /// Routers with a live lease.
    pub routers: u32,
}

/// The leader's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// Granted for one lease period, counted by the router from before it asked.
    Granted {
        /// The newest configuration, where the router lacks it.
        config: Option<Arc<Config>>,
        /// The leader's clock.
        stamp: Stamp,
        /// The last report that was taken in.
        counted: u64,
        /// What was learned since the router's epoch.
        learned: Option<FleetStatsChange>,
        /// For a daemon that only routes.
        news: Option<PoolNews>,
    },
    /// This daemon does not lead.
    NotLeader {
        /// Who does, as far as known.
        leader: Option<VmName>,
        /// Where that one listens for peers.
        address: Option<SocketAddr>,
    },
}

/// The answer to a forwarded command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SubmitAnswer {
    /// Applied; the serialised outcome.
    Applied(Bytes),
    /// Not applied, or not known to be.
    Failed {
        /// Why.
        error: SubmitError,
        /// Who leads, as far as known.
        leader: Option<VmName>,
    },
}

/// What an operator asks of the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OperatorCall {
    /// Apply a ticket.
    Ticket {
        /// The ticket.
        ticket: Ticket,
        /// Only say what would happen.
        dry_run: bool,
    },
    /// Wait until a revision is in force.
    InForce {
        /// The revision.
        revision: u64,
        /// How long to wait, in milliseconds.
        wait: u64,
    },
    /// Accepted tickets, newest first.
    Tickets {
        /// At most this many.
        most: usize,
    },
    /// One accepted ticket.
    ShowTicket(u64),
    /// The configuration.
    Config,
    /// What speaks against versions, and what was learned of them.
    Evidence,
    /// Sums of all bills.
    BillSums,
    /// The bills of one organisation.
    Bills(OrganisationName),
    /// Routers with a live lease.
    LiveRouters,
    /// Replace the route table.
    Replace(Arc<RouteTable>),
    /// The route table.
    Table,
    /// Start a pool's roll-out.
    Begin(PoolRollout),
    /// The newest roll-out of a pool.
    PoolRollout(PoolName),
}

/// The leader's answer to an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OperatorReply {
    /// This daemon does not lead.
    NotLeader {
        /// Who does, as far as known.
        leader: Option<VmName>,
    },
    /// The outcome of a command is open; ask again.
    Lost,
    /// What became of a ticket.
    Ticket(TicketAnswer),
    /// Whether the revision is in force, and who may lag.
    InForce {
        /// Whether it is.
        reached: bool,
        /// Routers that may still work under an older one.
        lagging: Vec<VmName>,
    },
    /// Accepted tickets.
    Tickets(Vec<(u64, TicketRecord)>),
    /// One ticket, where it was accepted.
    ShowTicket(Option<TicketRecord>),
    /// The configuration.
    Config(Arc<Config>),
    /// What speaks against versions, and what was learned of them.
    Evidence(EvidenceView),
    /// Sums of all bills.
    BillSums(Vec<(OrganisationName, BillSum)>),
    /// Bills.
    Bills(Vec<Bill>),
    /// Routers with a live lease; `None` while a predecessor's leases may still be alive.
    LiveRouters(Option<Vec<RouterId>>),
    /// A route table or a pool's roll-out is committed, or was already.
    Committed,
    /// There are too few voters yet to keep a change through a loss.
    Forming,
    /// There is no such pool.
    NoPool,
    /// The route table, where there is one.
    Table(Option<Arc<RouteTable>>),
    /// A pool's newest roll-out, where there is one.
    PoolRollout(Option<PoolRollout>),
}

/// What is known of versions from their answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceView {
    /// Versions that were stopped.
    pub stopped: Vec<StoppedVersion>,
    /// Evidence against versions that take work.
    pub evidence: Vec<Evidence>,
    /// Sums by organisation, kind and version.
    pub learned: Vec<AnswerStatsEntry>,
}

/// A version that was stopped on evidence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoppedVersion {
    /// The version.
    pub version: VersionKey,
    /// Why.
    pub evidence: String,
}

/// Events that a daemon selected. Each is a line of JSON, since events describe themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventAnswer {
    /// The events, oldest first.
    pub lines: Vec<String>,
    /// Whether older ones were left out because there are too many.
    pub truncated: bool,
}

/// One group as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupView {
    /// Which group.
    pub group: GroupId,
    /// The term.
    pub term: u64,
    /// The leader, as far as known.
    pub leader: Option<VmName>,
    /// Whether this daemon leads it.
    pub leading: bool,
    /// The last committed index.
    pub commit: u64,
    /// Voters.
    pub voters: Vec<VmName>,
    /// Learners.
    pub learners: Vec<VmName>,
}

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its VM.
    pub vm: VmName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Whether it has a data folder.
    pub durable: bool,
    /// Its cluster, once known.
    pub cluster: Option<String>,
    /// The revision that it works under.
    pub revision: u64,
    /// What is left of its lease, in milliseconds; 0 without one.
    pub lease: u64,
    /// Requests being served.
    pub requests: u64,
    /// Whether it is stopping.
    pub draining: bool,
    /// Its groups.
    pub groups: Vec<GroupView>,
}
