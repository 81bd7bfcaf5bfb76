use super::{OrganisationRate, PoolPressure};
use crate::name::OrganisationName;
use serde::{Deserialize, Serialize};

/// What a router tells the leader of its calls to one pool. It holds present rates, not counts since the last
/// report: one that is lost or comes twice does no harm.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PressureReport {
    /// What its calls ask for and what comes back.
    pub pressure: PoolPressure,
    /// The organisations that use most, while the pool is full; else none.
    pub organisations: Vec<OrganisationRate>,
}

/// What the leader tells a router of all routers' calls to one pool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PressureNews {
    /// The sum of the newest reports.
    pub pressure: PoolPressure,
    /// The routers that it sums.
    pub routers: u32,
    /// How old these reports were on average, in ms.
    pub age_ms: u32,
    /// The part that is beyond its share of what an organisation uses, from 0 to 1; those without such a part
    /// are left out.
    pub excess: Vec<(OrganisationName, f32)>,
}
