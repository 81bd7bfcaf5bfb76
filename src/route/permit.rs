use super::{EvacuationCheck, RouterLease};
use crate::backend::WritePermit;
use crate::control::{Config, VersionState};
use crate::name::{DataCentre, OrganisationName, ServiceName, VersionKey};
use std::sync::Arc;

/// The target that work is sent to.
#[derive(Debug, Clone)]
pub enum WorkTarget {
    /// A model version.
    Version(VersionKey),
    /// A service that is not a model.
    Service(ServiceName),
}

/// Permit to send work of one organisation to one target. It is checked again for every write to
/// the connection: the lease must be valid, and its configuration must allow the organisation to
/// use the target.
#[derive(Debug)]
pub struct WorkPermit {
    lease: Arc<RouterLease>,
    organisation: OrganisationName,
    target: WorkTarget,
    evacuation: EvacuationCheck,
}

impl WorkPermit {
    /// Creates the permit for one exchange with a backend server in `data_centre`.
    pub fn new(
        lease: Arc<RouterLease>,
        organisation: OrganisationName,
        target: WorkTarget,
        data_centre: DataCentre,
    ) -> Arc<Self> {
        let evacuation = EvacuationCheck::new(Some(data_centre));
        Arc::new(Self { lease, organisation, target, evacuation })
    }

    fn allows(&self, config: &Config) -> bool {
        if !self.evacuation.allows(config) {
            return false;
        }
        let Some(organisation) = config.organisations.get(&self.organisation) else { return false };
        match &self.target {
            WorkTarget::Version(key) => {
                let state = config.versions.get(key).map(|version| version.state);
                let usable = state.is_some_and(|state| state != VersionState::Withdrawn);
                usable && organisation.allows(key)
            }
            WorkTarget::Service(name) => {
                config.services.contains_key(name) && organisation.services.contains(name)
            }
        }
    }
}

impl WritePermit for WorkPermit {
    fn run_if_permitted(&self, write: &mut dyn FnMut()) -> bool {
        let mut begin = || {
            self.evacuation.begin();
            write();
        };
        self.lease.run_if_valid(|config| self.allows(config), &mut begin)
    }
}
