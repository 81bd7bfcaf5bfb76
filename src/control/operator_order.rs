use super::{PoolRollout, Suspect};
use crate::name::DataCentre;
use serde::{Deserialize, Serialize};

/// What an operator orders for a single object. Tickets and route tables are none of these: they have
/// numbers, which say which is newer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorOrder {
    /// Starts the roll-out of a pool.
    StartPoolRollout(PoolRollout),
    /// Keeps calls from the servers of a data centre.
    BeginEvacuation(DataCentre),
    /// Lets calls to the servers of a data centre through again.
    FinishEvacuation(DataCentre),
    /// Lets calls with a part of a prompt through again, or a request.
    Clear(Suspect),
}
