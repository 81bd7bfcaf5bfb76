use crate::name::{ModelName, PoolName};
use serde::{Deserialize, Serialize};

/// An operator's description of a pool of backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The pool's name.
    pub name: PoolName,
    /// The maximum number of connections that each server accepts from all routers together.
    pub max_connections: u32,
    /// The capacity and models of the pool's engines; `None` if the pool runs another service.
    pub engine: Option<EngineSpec>,
}

/// The capacity and models of a pool's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The maximum number of requests that an engine processes in one batch.
    pub max_batch: u32,
    /// The number of tokens that an engine's key-value cache holds.
    pub cache_tokens: u64,
    /// The models that the engines serve.
    pub models: Vec<PricedModel>,
}

/// A model and its cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PricedModel {
    /// The model's name.
    pub name: ModelName,
    /// The cost of 1,000 generated tokens.
    pub cost: f64,
}
