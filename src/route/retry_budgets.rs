use crate::name::OrganisationName;
use crate::policy::RetryBudget;
use std::collections::HashMap;
use std::sync::Mutex;

/// Number of shards of the budgets; each has its own lock.
const SHARD_COUNT: usize = 16;

/// The retry budget of each organisation, as a limit against retry storms.
#[derive(Debug)]
pub struct RetryBudgets {
    shards: Vec<Mutex<HashMap<OrganisationName, RetryBudget>>>,
}

impl RetryBudgets {
    /// Creates the table; the budget of each organisation starts full.
    pub fn full() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect() }
    }

    /// Records a first attempt for an organisation, which adds to its budget.
    pub fn record_first(&self, organisation: &OrganisationName) {
        self.update(organisation, RetryBudget::record_attempt);
    }

    /// Takes the cost of one retry or hedged request from the budget of an organisation. Returns
    /// false if the budget is used up.
    pub fn try_spend(&self, organisation: &OrganisationName) -> bool {
        self.update(organisation, RetryBudget::take)
    }

    fn update<F, T>(&self, organisation: &OrganisationName, update: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let hash = crc32c::crc32c(organisation.as_str().as_bytes()) as usize;
        let mut shard = self.shards[hash % SHARD_COUNT].lock().expect("budget lock");
        update(shard.entry(organisation.clone()).or_default())
    }
}
