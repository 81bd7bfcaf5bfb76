use serde::{Deserialize, Serialize};

/// The version of the calls that a daemon answers. Calls are only ever added, so a daemon of one
/// build may call one of another as long as it sticks to that daemon's version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProtocolVersion(u32);

impl ProtocolVersion {
    /// The version of builds that do not state one.
    pub const FIRST: Self = Self(0);
    /// Since this version, daemons send changes of the state with lease renewals.
    pub const STATE_CHANGES: Self = Self(1);
    /// Since this version, daemons exchange what they know of parts of prompts that end servers.
    pub const DEADLY_PARTS: Self = Self(2);
    /// Since this version, daemons share the limits that servers name.
    pub const SERVER_LIMITS: Self = Self(3);
    /// Since this version, daemons exchange what they know of whole requests that end servers, too.
    pub const DEADLY_REQUESTS: Self = Self(4);
    /// Since this version, a leader accepts a route table only once the leases under older ones end
    /// soon enough.
    pub const LEASED_CHANGES: Self = Self(5);
    /// Since this version, a leader names routers to which calls can be passed on, and routers take
    /// such calls.
    pub const HELPERS: Self = Self(6);
    /// Since this version, a router that is passed a call keeps to the allowance that comes with it, and
    /// tells what it has used of it.
    pub const HOP_ACCOUNTS: Self = Self(7);
    /// Since this version, voters that are told to stop name themselves to the leader, which replaces them.
    pub const DEPARTURES: Self = Self(8);
    /// Since this version, daemons hand on what they know of the members of groups with their pings.
    pub const DIRECTORIES: Self = Self(9);
    /// Since this version, daemons tell the health of the groups that they lead.
    pub const GROUP_HEALTH: Self = Self(10);
    /// Since this version, daemons keep calls from data centres that are evacuated, and the connecting end of a
    /// connection states its version, too.
    pub const EVACUATIONS: Self = Self(11);
    /// Since this version, routers tell the leader of servers that turn cold.
    pub const COLD_SERVERS: Self = Self(12);
    /// Since this version, leaders of ledger groups answer requests for bills.
    pub const LEDGER_READS: Self = Self(13);
    /// Since this version, daemons keep calls to the regions that their route and organisation
    /// name.
    pub const REGIONS: Self = Self(14);
    /// Since this version, routers tell the leader what they need of the connections that servers
    /// accept, and get parts of them.
    pub const CONNECTION_PARTS: Self = Self(15);
    /// Since this version, an operator's order that may be a late copy has to be confirmed.
    pub const CONFIRMED_ORDERS: Self = Self(16);
    /// The version of this build.
    pub const CURRENT: Self = Self::CONFIRMED_ORDERS;
}
