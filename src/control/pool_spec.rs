use crate::name::{ModelName, PoolName};
use serde::{Deserialize, Serialize};

/// A pool of backend servers as operators describe it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolName,
    /// Connections that one of its servers accepts from all routers together.
    pub connections: u32,
    /// What its engines can do; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The model engines of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its cache holds.
    pub memory: u64,
    /// Its models with their cost per 1,000 generated tokens.
    pub models: Vec<PricedModel>,
}

/// A model and what it costs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PricedModel {
    /// The model.
    pub name: ModelName,
    /// The cost of 1,000 generated tokens.
    pub cost: f64,
}
