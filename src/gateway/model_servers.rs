//! Which servers of a pool belong to which of its models, as this router's calls show.

use super::Gateway;
use super::server_selection::{SelectionCriteria, stable_hash};
use super::server_table::ServerState;
use crate::control::Config;
use crate::group::since_start;
use crate::name::{ModelName, PoolName, VmName};
use crate::policy::ModelHomes;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};

/// Fraction of the work of a generated token that a token of the prompt costs.
const PROMPT_TOKEN_FRACTION: f64 = 0.25;

/// The work of the models of each pool.
#[derive(Debug, Default)]
pub struct ModelServers {
    pools: Mutex<HashMap<PoolName, ModelHomes>>,
}

impl ModelServers {
    /// Records a call that is sent; `cost` is that of the model for each generated token.
    fn record(&self, pool: &PoolName, model: &ModelName, cost: f64, tokens: f64) {
        let mut pools = self.pools.lock().expect("models lock");
        let homes = pools.entry(pool.clone()).or_default();
        homes.record(since_start(), model, cost * tokens);
    }
}

impl Gateway {
    /// Records a call of a model at a pool, if models are kept apart.
    pub(super) fn record_model(&self, config: &Config, criteria: &SelectionCriteria<'_>) {
        let Some(model) = criteria.model.filter(|_| self.settings.separate_models) else { return };
        let table = config.route_table.as_ref();
        let engine = table.and_then(|table| table.pool(criteria.pool)?.engine.as_ref());
        let priced = engine.and_then(|engine| engine.models.iter().find(|one| one.name == *model));
        let Some(priced) = priced else { return };
        let prompt: f64 = criteria.parts.iter().map(|part| f64::from(part.1)).sum();
        let tokens = prompt * PROMPT_TOKEN_FRACTION + f64::from(criteria.answer_tokens);
        self.models.record(criteria.pool, model, priced.cost, tokens);
    }

    /// The servers that are the own ones of a call's model; `None` if all are.
    pub(super) fn own_servers<'a>(
        &self,
        servers: &'a [Arc<ServerState>],
        criteria: &SelectionCriteria<'_>,
    ) -> Option<HashSet<&'a VmName>> {
        let model = criteria.model.filter(|_| self.settings.separate_models)?;
        let pools = self.models.pools.lock().expect("models lock");
        let own = pools.get(criteria.pool)?.own(since_start(), model, servers.len());
        drop(pools);
        if own.len() == servers.len() {
            return None;
        }
        let mut names: Vec<&VmName> = servers.iter().map(|server| &server.vm.name).collect();
        names.sort_by_cached_key(|name| stable_hash(&(name.as_str(), "model")));
        Some(names[own].iter().copied().collect())
    }
}
