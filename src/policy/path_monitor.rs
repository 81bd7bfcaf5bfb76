use crate::name::VmName;
use std::collections::BTreeSet;
use std::time::Duration;

/// Servers that must be out of reach, one after the other, before the path to their pool counts as
/// lost; all of them in a smaller pool.
const MIN_UNREACHED: usize = 3;
/// How long the pool must have been silent on all connections before the path counts as lost.
pub const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Whether a router reaches the servers of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// New connections can be opened.
    Open,
    /// No new connection can be opened, but bytes still come on older ones.
    NoNewConnections,
    /// Nothing gets through.
    Lost,
}

/// Tells from what a router sees of a pool whether the path to it is lost. A single server that is
/// down or silent is no sign of that, nor a pool that answers late: its kernels accept connections.
///
/// Times are those of a monotonic clock.
///
/// ```
/// use samphireshift::name::VmName;
/// use samphireshift::policy::{PathMonitor, PathState};
/// use std::time::Duration;
/// let mut path = PathMonitor::default();
/// for server in ["a", "b", "c"] {
///     path.record_unreached(&VmName::new(server));
/// }
/// let silence = Duration::from_millis(400);
/// assert_eq!(path.state(8, silence), PathState::Lost);
/// path.record_connected();
/// assert_eq!(path.state(8, silence), PathState::Open);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PathMonitor {
    /// Servers that could not be connected to since a connection was last opened.
    unreached: BTreeSet<VmName>,
}

impl PathMonitor {
    /// A connection to a server was opened.
    pub fn record_connected(&mut self) {
        self.unreached.clear();
    }

    /// A server could not be connected to.
    pub fn record_unreached(&mut self, server: &VmName) {
        if self.unreached.len() < MIN_UNREACHED {
            self.unreached.insert(server.clone());
        }
    }

    /// Forgets servers that are not in the pool any more: the closed port of one that was stopped is no
    /// sign of a lost path.
    ///
    /// ```
    /// use samphireshift::name::VmName;
    /// use samphireshift::policy::{PathMonitor, PathState};
    /// use std::time::Duration;
    /// let mut path = PathMonitor::default();
    /// for server in ["a", "b", "c"] {
    ///     path.record_unreached(&VmName::new(server));
    /// }
    /// path.retain(|server| server.as_str() == "a");
    /// assert_eq!(path.state(8, Duration::from_millis(400)), PathState::Open);
    /// ```
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: FnMut(&VmName) -> bool,
    {
        self.unreached.retain(is_listed);
    }

    /// The state of the path to a pool of this many servers from which no byte has come for
    /// `silence`.
    pub fn state(&self, servers: usize, silence: Duration) -> PathState {
        let needed = servers.clamp(1, MIN_UNREACHED);
        match self.unreached.len() >= needed {
            false => PathState::Open,
            true if silence < MIN_SILENCE => PathState::NoNewConnections,
            true => PathState::Lost,
        }
    }
}
