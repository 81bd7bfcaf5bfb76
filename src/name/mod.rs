//! Typed names of the things that operators, callers and VMs speak about.

use serde::{Deserialize, Serialize};
use std::fmt;

mod request_id;
mod version_key;

pub use request_id::RequestId;
pub use version_key::VersionKey;

/// Declares a string newtype with the conversions that names need.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a string as a name.
            pub fn new<S>(text: S) -> Self
            where
                S: Into<String>,
            {
                Self(text.into())
            }

            /// The name as text.
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
    /// An organisation whose callers use the API.
    OrganisationName
);
name!(
    /// A model, which may have several versions.
    ModelName
);
name!(
    /// One version of a model, unique within that model.
    VersionName
);
name!(
    /// A plain service behind the router.
    ServiceName
);
name!(
    /// A VM of the system or of a backend server.
    VmName
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A pool of backend servers, as the VM list names it.
    PoolName
);
name!(
    /// A caller's session within its organisation.
    SessionName
);
name!(
    /// A kind of task that a caller declares, such as `summary`.
    TaskKind
);
name!(
    /// A caller's idempotency key within its organisation.
    IdempotencyKey
);
name!(
    /// A roll-out of a version.
    RolloutName
);
