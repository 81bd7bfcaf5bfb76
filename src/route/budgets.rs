use crate::name::OrganisationName;
use crate::policy::RetryBudget;
use std::collections::HashMap;
use std::sync::Mutex;

/// The shards of the budgets, each under its own lock.
const SHARDS: usize = 16;

/// The retry budget of each organisation.
#[derive(Debug)]
pub struct Budgets {
    shards: Vec<Mutex<HashMap<OrganisationName, RetryBudget>>>,
}

impl Budgets {
    /// Starts with full budgets.
    pub fn open() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }

    /// A first attempt was made for an organisation.
    pub fn began(&self, organisation: &OrganisationName) {
        self.with(organisation, RetryBudget::began);
    }

    /// Whether an organisation may retry or hedge now; if so, it is paid for.
    pub fn take(&self, organisation: &OrganisationName) -> bool {
        self.with(organisation, RetryBudget::take)
    }

    fn with<F, T>(&self, organisation: &OrganisationName, work: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let place = crc32c::crc32c(organisation.as_str().as_bytes()) as usize;
        let mut shard = self.shards[place % SHARDS].lock().expect("budget lock");
        work(shard.entry(organisation.clone()).or_default())
    }
}
