use crate::control::{
    AnswerStatsEntry, BlockedPart, BlockedParts, Config, Evidence, PoolRollout, RegionRules,
    RouteTable, RouterId, Ticket, TicketAnswer, TicketRecord,
};
use crate::event::Timestamp;
use crate::group::{GroupId, SubmitError};
use crate::ledger::{Bill, BillSum};
use crate::name::{DataCentre, OrganisationName, PoolName, VersionKey, VmName};
use crate::policy::{CountReport, Epoch, FleetStatsChange, Tally};
use crate::vms::VmSnapshot;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A router's request to grant or renew its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The router that requests the lease.
    pub router: RouterId,
    /// The configuration revision that the router uses; 0 without one.
    pub revision: u64,
    /// The router's clock.
    pub stamp: Timestamp,
    /// Statistics collected by the router, if a report is due or not yet acknowledged.
    pub report: Option<CountReport>,
    /// The last change of the leader's statistics that the router has applied.
    pub epoch: Epoch,
    /// Set by routing-only daemons, which are not members of the groups.
    pub pool_report: Option<PoolReport>,
}

/// What a routing-only daemon reports with its lease request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolReport {
    /// Digest of the VM list that the router uses; 0 without one.
    pub list_digest: u64,
    /// Call counts for the pools with a running roll-out.
    pub tallies: Vec<Tally>,
}

/// What a routing-only daemon receives with its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolUpdate {
    /// The VM list, if its digest differs from the reported one.
    pub vm_list: Option<Arc<VmSnapshot>>,
    /// Addresses on which the control group's voters accept connections from peers.
    pub voters: Vec<SocketAddr>,
    /// Number of routers with a live lease.
    pub router_count: u32,
}

/// The response to a lease request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The lease is granted for one lease duration, which starts when the router sent the request.
    Granted {
        /// The current configuration, if it is newer than the router's or still has revision 0.
        config: Option<Arc<Config>>,
        /// The leader's clock.
        stamp: Timestamp,
        /// Number of the last report from this router that the leader has counted.
        last_report: u64,
        /// Changes of the leader's statistics since the router's epoch.
        stats_change: Option<FleetStatsChange>,
        /// Set for routing-only daemons.
        pool_update: Option<PoolUpdate>,
    },
    /// This daemon does not lead the control group, or may not grant leases.
    NotLeader {
        /// The VM of the leader, if known.
        leader: Option<VmName>,
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
    /// As `granted` says, while data centres are evacuated. Daemons that do not know this response have no
    /// lease then.
    GrantedInEvacuation {
        /// The response without the evacuations.
        granted: Box<LeaseResponse>,
        /// The data centres whose servers get no calls.
        evacuated: BTreeSet<DataCentre>,
    },
}

impl LeaseResponse {
    /// The response with the evacuations in its configuration, which are not part of that on the way.
    pub fn with_evacuations(self) -> Self {
        let LeaseResponse::GrantedInEvacuation { mut granted, evacuated } = self else {
            return self;
        };
        if let LeaseResponse::Granted { config: Some(config), .. } = granted.as_mut() {
            Arc::make_mut(config).evacuated = evacuated;
        }
        *granted
    }
}

/// The response to a forwarded command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SubmitResponse {
    /// The command was committed and applied; contains its outcome, encoded with postcard.
    Applied(Bytes),
    /// The command was not applied, or it is unknown whether it will be.
    Failed {
        /// The reason.
        error: SubmitError,
        /// The VM of the leader, if known.
        leader: Option<VmName>,
    },
}

/// A request to the control group's leader, mostly on behalf of an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Applies a ticket.
    ApplyTicket {
        /// The ticket.
        ticket: Ticket,
        /// Only returns what the result would be.
        dry_run: bool,
    },
    /// Waits until all routers use a revision or a newer one.
    AwaitInForce {
        /// The revision.
        revision: u64,
        /// Maximum time to wait, in milliseconds.
        wait_ms: u64,
    },
    /// Returns the accepted tickets, newest first.
    Tickets {
        /// Maximum number of tickets.
        limit: usize,
    },
    /// Returns the accepted ticket with this number.
    ShowTicket(u64),
    /// Returns the current configuration.
    Config,
    /// Returns the evidence against versions and the statistics of their answers.
    Evidence,
    /// Returns the sums of all bills, by organisation.
    BillSums,
    /// Returns the bills of an organisation.
    Bills(OrganisationName),
    /// Returns the routers with a live lease.
    LiveRouters,
    /// Replaces the route table.
    ReplaceRouteTable(Arc<RouteTable>),
    /// Returns the route table.
    RouteTable,
    /// Starts the roll-out of a pool.
    StartPoolRollout(PoolRollout),
    /// Returns the latest roll-out of a pool.
    PoolRollout(PoolName),
    /// Returns the parts of prompts that are blocked.
    BlockedParts,
    /// Lets calls with a part through again, or a request, by its id.
    ClearPart(u64),
    /// Keeps calls from the servers of a data centre.
    BeginEvacuation(DataCentre),
    /// Lets calls to the servers of a data centre through again.
    FinishEvacuation(DataCentre),
    /// Returns the data centres that are evacuated.
    Evacuations,
    /// A request for bills, to the leader of this ledger group. Needs protocol version 13.
    AtLedger(GroupId, Box<OperatorRequest>),
    /// Replaces the route table by one with rules on regions.
    ReplaceTableInRegions(Arc<RouteTable>, Arc<RegionRules>),
    /// An order whose caller has confirmed it. Needs protocol version 16.
    Confirmed {
        /// The order.
        order: Box<OperatorRequest>,
        /// The number of the object's last order when it was confirmed.
        after: u64,
    },
}

/// The response to an operator's request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// This daemon does not lead the control group.
    NotLeader {
        /// The VM of the leader, if known.
        leader: Option<VmName>,
    },
    /// It is unknown whether the command was or will be committed; the request may be retried.
    OutcomeUnknown,
    /// The result of a ticket.
    Ticket(TicketAnswer),
    /// Whether all routers use the revision.
    InForce {
        /// Whether the revision was in force before the wait ended.
        reached: bool,
        /// VMs whose routers may still use an older revision.
        lagging: Vec<VmName>,
    },
    /// Accepted tickets with their numbers, newest first.
    Tickets(Vec<(u64, TicketRecord)>),
    /// The ticket, or `None` if no ticket with this number was accepted.
    ShowTicket(Option<TicketRecord>),
    /// The current configuration.
    Config(Arc<Config>),
    /// The evidence against versions and the statistics of their answers.
    Evidence(EvidenceView),
    /// The sums of all bills, by organisation.
    BillSums(Vec<(OrganisationName, BillSum)>),
    /// The bills of an organisation.
    Bills(Vec<Bill>),
    /// Routers with a live lease; `None` while leases granted by a previous leader may still be
    /// valid.
    LiveRouters(Option<Vec<RouterId>>),
    /// The route table or the roll-out of a pool is committed, by this request or an earlier one.
    Committed,
    /// The cluster does not have enough voters yet for a change to survive the loss of one.
    TooFewVoters,
    /// There is no pool with this name.
    UnknownPool,
    /// The route table, if there is one.
    RouteTable(Option<Arc<RouteTable>>),
    /// The latest roll-out of the pool, if there is one.
    PoolRollout(Option<PoolRollout>),
    /// The parts of prompts that are blocked.
    BlockedParts(BlockedParts),
    /// The part is not blocked.
    UnknownPart,
    /// The parts of prompts and the requests that are blocked.
    Blocked(BlockedParts, BTreeMap<u64, BlockedPart>),
    /// No VM lies in this data centre.
    UnknownDataCentre,
    /// The data centres that are evacuated.
    Evacuations(BTreeSet<DataCentre>),
    /// The order may be a late copy of one that later orders have replaced, and is not carried out. Its caller
    /// has to confirm it.
    NeedsConfirmation {
        /// The number of the object's last order.
        after: u64,
    },
}

/// What the leader knows of the quality of versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceView {
    /// Versions that were stopped because of evidence.
    pub stopped: Vec<StoppedVersion>,
    /// Evidence against versions that still receive requests.
    pub evidence: Vec<Evidence>,
    /// Statistics of answers by organisation, kind and version.
    #[serde(rename = "learned")]
    pub answer_stats: Vec<AnswerStatsEntry>,
}

/// A version that was stopped because of evidence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoppedVersion {
    /// The version.
    pub version: VersionKey,
    /// The evidence, as text.
    pub evidence: String,
}

/// The response to an event query. The events are encoded as JSON, because their types need a
/// self-describing format and postcard is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventResponse {
    /// The events, oldest first, one JSON document each.
    pub lines: Vec<String>,
    /// Whether older events were left out because there were too many.
    pub truncated: bool,
}

/// The state of a consensus group as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupView {
    /// The id of the group.
    pub group: GroupId,
    /// The current consensus term.
    pub term: u64,
    /// The VM of the leader, if known.
    pub leader: Option<VmName>,
    /// Whether the daemon leads the group.
    pub leading: bool,
    /// Index of the last committed entry.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The VMs of the voters.
    pub voters: Vec<VmName>,
    /// The VMs of the learners, which receive entries but do not vote.
    pub learners: Vec<VmName>,
}

/// The status of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// Whether the daemon has a data folder.
    pub durable: bool,
    /// Id of the cluster in hexadecimal, once the daemon belongs to one.
    pub cluster: Option<String>,
    /// The configuration revision that the router uses; 0 without one.
    pub revision: u64,
    /// Remaining time of the router's lease, in milliseconds; 0 without a lease.
    #[serde(rename = "lease")]
    pub lease_ms: u64,
    /// Number of requests in flight.
    pub requests: u64,
    /// Whether the daemon is draining before it stops.
    pub draining: bool,
    /// The consensus groups of the daemon.
    pub groups: Vec<GroupView>,
}
