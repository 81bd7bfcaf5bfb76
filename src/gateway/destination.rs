use crate::name::{DataCentre, Region};

/// Where a call is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// To a backend server.
    Server {
        /// The data centre of the server.
        data_centre: DataCentre,
        /// The region of the data centre, if it is known.
        region: Option<Region>,
    },
    /// To another router, which checks for itself where its servers are.
    Router {
        /// The region of the router, if it is known.
        region: Option<Region>,
    },
}

impl Destination {
    /// The data centre of a backend server.
    pub fn server_centre(&self) -> Option<&DataCentre> {
        match self {
            Destination::Server { data_centre, .. } => Some(data_centre),
            Destination::Router { .. } => None,
        }
    }

    /// Where the body of the call goes, if that is known.
    pub fn region(&self) -> Option<&Region> {
        match self {
            Destination::Server { region, .. } | Destination::Router { region } => region.as_ref(),
        }
    }
}
