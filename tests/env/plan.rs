//! What a fleet is made of.

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// For each daemon, whether it has a data folder.
    pub disks: Vec<bool>,
    /// Arguments of each engine of the cheap model.
    pub cheap: Vec<Vec<&'static str>>,
    /// Arguments of each engine of the better model.
    pub better: Vec<Vec<&'static str>>,
    /// Whether a proxy stands between every two daemons, and before every server.
    pub proxies: bool,
    /// Extra settings, such as `("lease", "duration", "1s")`.
    pub settings: Vec<(&'static str, &'static str, &'static str)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            disks: vec![true, true, false],
            cheap: vec![vec!["--versions=cheap/v1,cheap/v2"]],
            better: vec![vec!["--versions=better/v1,better/v2"]],
            proxies: false,
            settings: vec![("limits", "drain", "200ms"), ("rating", "sample", "1000")],
        }
    }
}
