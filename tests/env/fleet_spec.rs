//! The configuration of a test fleet.

/// The daemons, backend servers, proxies and settings that [`Fleet::start`](super::Fleet::start)
/// creates.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// One entry per daemon: whether it has a data folder, or runs diskless.
    pub durable: Vec<bool>,
    /// Command-line arguments of each fake engine in the pool `cheap`.
    pub cheap: Vec<Vec<&'static str>>,
    /// Command-line arguments of each fake engine in the pool `better`.
    pub better: Vec<Vec<&'static str>>,
    /// Whether to put a proxy on every connection between daemons and in front of every backend
    /// server.
    pub proxies: bool,
    /// Settings added to every daemon: section, key and value, such as `("lease", "duration",
    /// "1s")`.
    pub settings: Vec<(&'static str, &'static str, &'static str)>,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            durable: vec![true, true, false],
            cheap: vec![vec!["--versions=cheap/v1,cheap/v2"]],
            better: vec![vec!["--versions=better/v1,better/v2"]],
            proxies: false,
            settings: vec![("limits", "drain", "200ms"), ("rating", "sample", "1000")],
        }
    }
}
