use super::{Model, Organisation, Rollout, Service, Version};
use crate::name::{ModelName, OrganisationName, RolloutName, ServiceName, VersionKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use thiserror::Error;

/// An operator's change: the whole new state of each object that it touches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Chosen by the operator; an object takes only a number higher than the one it carries.
    pub number: u64,
    /// Who made it.
    pub author: String,
    /// Organisations.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Versions.
    #[serde(default)]
    pub versions: Vec<Version>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Roll-outs.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

/// The SHA-256 of a ticket's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketDigest([u8; 32]);

/// An object that a ticket can touch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectName {
    /// An organisation.
    Organisation(OrganisationName),
    /// A model.
    Model(ModelName),
    /// A version.
    Version(VersionKey),
    /// A plain service.
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

impl Ticket {
    /// The digest that, with the number, identifies the ticket.
    pub fn digest(&self) -> TicketDigest {
        let bytes = postcard::to_stdvec(self).expect("tickets always serialise");
        TicketDigest(Sha256::digest(&bytes).into())
    }

    /// The objects that the ticket touches.
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
    /// Another ticket has this number.
    #[error(
        "ticket {number} is already taken by {author} with other contents; look at it with 'samphireshift ticket show {number}' and use another number"
    )]
    Conflict {
        /// The number.
        number: u64,
        /// Whose ticket won.
        author: String,
    },
    /// An object already carries this or a newer number.
    #[error(
        "{object} already carries ticket {newer}; use a number above {newer} if your change is still wanted"
    )]
    Stale {
        /// The object.
        object: ObjectName,
        /// The number that it carries.
        newer: u64,
    },
    /// The number is so far below the newest ones that its record may have been dropped.
    #[error("numbers up to {floor} are closed; use a number above {floor}")]
    Closed {
        /// The highest closed number.
        floor: u64,
    },
    /// The contents are not allowed.
    #[error("the ticket is not valid: {}", reasons.join("; "))]
    Invalid {
        /// Every reason.
        reasons: Vec<String>,
    },
}

/// What became of a ticket; the same for ever after.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketAnswer {
    /// Committed at this revision.
    Accepted {
        /// The configuration's revision that first holds it.
        revision: u64,
    },
    /// Refused whole.
    Refused(TicketRefusal),
}

/// A ticket that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRecord {
    /// Its contents' digest.
    pub digest: TicketDigest,
    /// Who made it.
    pub author: String,
    /// The revision that first held it.
    pub revision: u64,
    /// What it touched.
    pub objects: Vec<ObjectName>,
}
