use crate::control::RouterId;
use crate::name::PoolName;
use crate::policy::Helper;
use serde::{Deserialize, Serialize};

/// A router's question which routers can take its calls to pools that it does not reach.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelperRequest {
    /// The router.
    pub router: RouterId,
    /// The pools that it does not reach.
    pub lost: Vec<PoolName>,
}

/// The response to a [`HelperRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum HelperResponse {
    /// Routers with a lease that have not said that they do not reach one of these pools.
    Known(Vec<Helper>),
    /// This daemon does not lead the control group.
    NotLeader,
}
