use super::KeyHash;
use crate::name::OrganisationName;
use serde::{Deserialize, Serialize};

/// An organisation with API keys for configured routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteOrganisation {
    /// The organisation's name.
    pub name: OrganisationName,
    /// Hashes of the organisation's API keys.
    pub keys: Vec<KeyHash>,
    /// The priority of the organisation's calls, which overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}
