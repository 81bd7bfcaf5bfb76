use super::RouterLease;
use crate::backend::Permit;
use crate::control::{Config, VersionState};
use crate::name::{OrganisationName, ServiceName, VersionKey};
use std::sync::Arc;

/// What is about to be given work.
#[derive(Debug, Clone)]
pub enum Work {
    /// A version of a model.
    Version(VersionKey),
    /// A plain service.
    Service(ServiceName),
}

/// Leave to send one organisation's work, asked around every write.
#[derive(Debug)]
pub struct WorkPermit {
    lease: Arc<RouterLease>,
    organisation: OrganisationName,
    work: Work,
}

impl WorkPermit {
    /// Makes the permit of one exchange.
    pub fn open(lease: Arc<RouterLease>, organisation: OrganisationName, work: Work) -> Arc<Self> {
        Arc::new(Self { lease, organisation, work })
    }

    fn allows(&self, config: &Config) -> bool {
        let Some(organisation) = config.organisations.get(&self.organisation) else { return false };
        match &self.work {
            Work::Version(key) => {
                let state = config.versions.get(key).map(|version| version.state);
                let usable = state.is_some_and(|state| state != VersionState::Withdrawn);
                usable && organisation.allows(key)
            }
            Work::Service(name) => {
                config.services.contains_key(name) && organisation.services.contains(name)
            }
        }
    }
}

impl Permit for WorkPermit {
    fn hold(&self, write: &mut dyn FnMut()) -> bool {
        self.lease.hold(|config| self.allows(config), write)
    }
}
