use super::KeyHash;
use crate::name::OrganisationName;
use serde::{Deserialize, Serialize};

/// An organisation that calls configured routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyOwner {
    /// Its name.
    pub name: OrganisationName,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Its rank, which goes before a route's; 0 goes first.
    pub priority: Option<u8>,
}
