use super::{Model, Organisation, Rollout, Service, Version};
use crate::name::{ModelName, OrganisationName, RolloutName, ServiceName, VersionKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use thiserror::Error;

/// A numbered configuration change by an operator. It holds the complete new state of each object
/// that it changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The number that the operator chose. It must be higher than that of the last ticket applied
    /// to each object that it changes.
    pub number: u64,
    /// Who created the ticket.
    pub author: String,
    /// Organisations to add or replace.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Models to add or replace.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Versions to add or replace.
    #[serde(default)]
    pub versions: Vec<Version>,
    /// Services other than models to add or replace.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Roll-outs to add or replace.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

/// The SHA-256 digest of a ticket's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketDigest([u8; 32]);

/// The name of an object that a ticket can change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectName {
    /// An organisation.
    Organisation(OrganisationName),
    /// A model.
    Model(ModelName),
    /// A version.
    Version(VersionKey),
    /// A service that is not a model engine.
    Service(ServiceName),
    /// A roll-out.
    Rollout(RolloutName),
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectName::Organisation(name) => write!(f, "organisation {name}"),
            ObjectName::Model(name) => write!(f, "model {name}"),
            ObjectName::Version(key) => write!(f, "version {key}"),
            ObjectName::Service(name) => write!(f, "service {name}"),
            ObjectName::Rollout(name) => write!(f, "roll-out {name}"),
        }
    }
}

/// Why a text is not a ticket.
#[derive(Debug, Error)]
pub enum TicketFormatError {
    /// It is not the JSON of a ticket.
    #[error("not a ticket: {0}")]
    Json(serde_json::Error),
    /// It names regions; calls under tickets can't be kept in any.
    #[error(
        "not a ticket: {0}; calls under tickets can't be kept in regions, only those of routers and \
         their route table"
    )]
    Regions(serde_json::Error),
}

impl Ticket {
    /// Reads a ticket from JSON; a field that is not known is refused and not ignored.
    ///
    /// # Errors
    /// If the text is not the JSON of a ticket.
    ///
    /// ```
    /// use samphireshift::control::Ticket;
    /// assert_eq!(Ticket::from_json(br#"{ "number": 1, "author": "a" }"#).unwrap().number, 1);
    /// ```
    pub fn from_json(bytes: &[u8]) -> Result<Self, TicketFormatError> {
        serde_json::from_slice(bytes).map_err(|cause| {
            // serde_json tells an unknown field in its message only.
            let names_regions = cause.to_string().contains("unknown field `allowed_regions`");
            match names_regions {
                true => TicketFormatError::Regions(cause),
                false => TicketFormatError::Json(cause),
            }
        })
    }

    /// The digest of the contents, which together with the number identifies the ticket.
    pub fn digest(&self) -> TicketDigest {
        let bytes = postcard::to_stdvec(self).expect("tickets always serialise");
        TicketDigest(Sha256::digest(&bytes).into())
    }

    /// The objects that the ticket changes.
    pub fn objects(&self) -> Vec<ObjectName> {
        let mut names = Vec::new();
        names.extend(self.organisations.iter().map(|o| ObjectName::Organisation(o.name.clone())));
        names.extend(self.models.iter().map(|m| ObjectName::Model(m.name.clone())));
        names.extend(self.versions.iter().map(|v| ObjectName::Version(v.key())));
        names.extend(self.services.iter().map(|s| ObjectName::Service(s.name.clone())));
        names.extend(self.rollouts.iter().map(|r| ObjectName::Rollout(r.name.clone())));
        names
    }
}

/// Why a ticket was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketRefusal {
    /// A ticket with other contents was accepted under this number.
    #[error(
        "ticket number {number} is already taken by {author} with other contents; see 'samphireshift ticket show {number}' and use another number"
    )]
    Conflict {
        /// The number that both tickets use.
        number: u64,
        /// The author of the accepted ticket.
        author: String,
    },
    /// A ticket with this or a higher number was already applied to an object.
    #[error(
        "ticket {newer} was already applied to {object}; if you still want this change, use a number above {newer}"
    )]
    Stale {
        /// The object that the ticket would change.
        object: ObjectName,
        /// The number of the newest ticket applied to the object.
        newer: u64,
    },
    /// The number is too old: records up to this one were dropped, so that an earlier ticket with
    /// the same number could not be detected.
    #[error("ticket numbers up to {floor} are no longer accepted; use a number above {floor}")]
    Closed {
        /// The highest number that is no longer accepted.
        floor: u64,
    },
    /// The resulting configuration would not be valid.
    #[error("the ticket is not valid: {}", reasons.join("; "))]
    Invalid {
        /// All reasons why it is not valid.
        reasons: Vec<String>,
    },
}

/// The answer to a ticket. Resending the same ticket gives the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketAnswer {
    /// The ticket was committed.
    Accepted {
        /// The first revision of the configuration that includes the change.
        revision: u64,
    },
    /// The ticket was refused and nothing was changed.
    Refused(TicketRefusal),
}

/// The record of an accepted ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRecord {
    /// The digest of the ticket's contents.
    pub digest: TicketDigest,
    /// Who created the ticket.
    pub author: String,
    /// The first revision of the configuration that includes the change.
    pub revision: u64,
    /// The objects that the ticket changed.
    pub objects: Vec<ObjectName>,
}
