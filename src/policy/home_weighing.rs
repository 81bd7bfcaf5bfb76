use super::HomeGroup;
use std::time::Duration;

/// Whose servers are the homes of a shared part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeScope {
    /// Those of each data centre, for the calls from there.
    DataCentre,
    /// Those of the pool, for all calls.
    Pool,
}

/// What is lost where a shared part is not kept, against the way to where it is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HomeWeighing {
    /// What reading the part costs, in ms.
    pub read_ms: f64,
    /// What the way to another data centre costs a call, in ms.
    pub way_ms: f64,
}

impl HomeWeighing {
    /// Where the homes of a part are, if a server keeps it for `kept` after its last use: homes of the pool
    /// keep it with a higher chance, as the calls of all data centres go there, most of them on the way.
    ///
    /// ```
    /// use samphireshift::policy::{HomeGroup, HomeScope, HomeWeighing};
    /// use std::time::Duration;
    /// let group = |rate| HomeGroup { rate, homes: 1 };
    /// let scope = |read_ms, way_ms| {
    ///     let groups = [group(0.6), group(0.2)];
    ///     HomeWeighing { read_ms, way_ms }.scope(groups, Duration::from_secs(5))
    /// };
    /// assert_eq!(scope(200.0, 20.0), HomeScope::Pool);
    /// assert_eq!(scope(200.0, 120.0), HomeScope::DataCentre);
    /// assert_eq!(scope(20.0, 20.0), HomeScope::DataCentre);
    /// ```
    pub fn scope(&self, [pool, near]: [HomeGroup; 2], kept: Duration) -> HomeScope {
        let gained = pool.plain_chance(kept) - near.plain_chance(kept);
        match gained * self.read_ms > self.way_ms {
            true => HomeScope::Pool,
            false => HomeScope::DataCentre,
        }
    }
}
