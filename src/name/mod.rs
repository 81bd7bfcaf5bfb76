//! Typed names and ids, shared by the configuration, the APIs, the replicated state and the events.

use serde::{Deserialize, Serialize};
use std::fmt;

mod request_id;
mod version_key;

pub use request_id::RequestId;
pub use version_key::VersionKey;

/// The most bytes of a label.
const MAX_LABEL_BYTES: usize = 64;

/// Whether a text is 1 to 64 letters, digits, `-`, `_` or `.`.
///
/// ```
/// use samphireshift::name::is_label;
/// assert!(is_label("perth-1") && !is_label("") && !is_label("perth 1"));
/// ```
pub fn is_label(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_LABEL_BYTES).contains(&text.len()) && text.chars().all(is_plain)
}

/// Declares a string newtype for a name. It is not validated, and is serialised as a plain string.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates a name from any text.
            pub fn new<S>(text: S) -> Self
            where
                S: Into<String>,
            {
                Self(text.into())
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of an organisation, which owns API keys and is billed for their use.
    OrganisationName
);
name!(
    /// Name of a model, which may have several versions.
    ModelName
);
name!(
    /// Name of a model version, unique within its model.
    VersionName
);
name!(
    /// Name of a plain service, which runs calls other than chat completions behind the router.
    ServiceName
);
name!(
    /// Name of a VM that runs a daemon of this system or a backend server.
    VmName
);
name!(
    /// Name of a data centre.
    DataCentre
);
name!(
    /// Name of a region, which has one or more data centres.
    Region
);
name!(
    /// Name of a pool of backend servers, as in the VM list.
    PoolName
);
name!(
    /// Name that a caller gives to a session, unique within its organisation.
    SessionName
);
name!(
    /// Kind of task that a caller declares for a request, such as `summary`.
    TaskKind
);
name!(
    /// Idempotency key that a caller gives to a request, unique within its organisation.
    IdempotencyKey
);
name!(
    /// Name of the roll-out of a version.
    RolloutName
);
