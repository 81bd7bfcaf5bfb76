use super::ConnectFailure;
use crate::name::VmName;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Servers that refuse connections, one after the other, before others of the pool are tried as well; all
/// of them in a smaller pool.
const MIN_SUSPECT: usize = 3;
/// How long a pool whose hosts don't answer at all must have been silent on all connections before the
/// path counts as lost.
pub const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Whether a router reaches the servers of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// New connections can be opened, or not all servers have been tried.
    Open,
    /// No server accepts a new connection, but one may still answer on an older one.
    NoNewConnections,
    /// Nothing gets through.
    Lost,
}

/// Tells from what a router sees of a pool whether the path to it is lost. Only what all of its servers
/// do can show that: while one accepts connections, or may still answer, the path is sound.
///
/// Times are those of a monotonic clock.
///
/// ```
/// use samphireshift::name::VmName;
/// use samphireshift::policy::{ConnectFailure, PathMonitor, PathState};
/// use std::time::Duration;
/// let mut path = PathMonitor::default();
/// let (now, silence, gap) = (Duration::ZERO, Duration::from_millis(400), Duration::from_secs(1));
/// for server in ["a", "b", "c"] {
///     path.record_unreached(&VmName::new(server), ConnectFailure::Silent, now);
/// }
/// assert!(path.is_suspect(4));
/// assert_eq!(path.state(4, silence, gap), PathState::Open);
/// assert_eq!(path.state(3, silence, gap), PathState::Lost);
/// // A host that refuses a connection can be reached, so its server may still answer on an older one.
/// path.record_unreached(&VmName::new("d"), ConnectFailure::Refused, now);
/// assert_eq!(path.state(4, silence, gap), PathState::NoNewConnections);
/// assert_eq!(path.state(4, gap, gap), PathState::Lost);
/// path.record_connected();
/// assert_eq!(path.state(4, gap, gap), PathState::Open);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PathMonitor {
    /// Servers that could not be connected to since a connection was last opened, why, and when that
    /// was found.
    unreached: BTreeMap<VmName, (ConnectFailure, Duration)>,
}

/// What a judgement of a path rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathEvidence {
    /// Servers whose hosts refused a connection.
    pub refused: usize,
    /// Servers whose hosts did not answer.
    pub silent: usize,
    /// The age of the oldest of these findings.
    pub age: Duration,
}

impl Display for PathEvidence {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { refused, silent, age } = self;
        write!(
            f,
            "{refused} refuse connections, {silent} don't answer, tried in the last {} ms",
            age.as_millis()
        )
    }
}

impl PathMonitor {
    /// A connection to a server was opened.
    pub fn record_connected(&mut self) {
        self.unreached.clear();
    }

    /// A server could not be connected to, as was found at `now`.
    pub fn record_unreached(&mut self, server: &VmName, failure: ConnectFailure, now: Duration) {
        self.unreached.insert(server.clone(), (failure, now));
    }

    /// Forgets servers that are not in the pool any more: the closed port of one that was stopped is no
    /// sign of a lost path.
    ///
    /// ```
    /// use samphireshift::name::VmName;
    /// use samphireshift::policy::{ConnectFailure, PathMonitor, PathState};
    /// use std::time::Duration;
    /// let mut path = PathMonitor::default();
    /// for server in ["a", "b", "c"] {
    ///     path.record_unreached(&VmName::new(server), ConnectFailure::Refused, Duration::ZERO);
    /// }
    /// path.retain(|server| server.as_str() == "a");
    /// assert!(!path.is_suspect(8));
    /// ```
    pub fn retain<F>(&mut self, mut is_listed: F)
    where
        F: FnMut(&VmName) -> bool,
    {
        self.unreached.retain(|server, _| is_listed(server));
    }

    /// Whether servers of a pool of this many are to be tried: one host did not answer, or some have
    /// refused connections.
    pub fn is_suspect(&self, servers: usize) -> bool {
        self.unreached.len() >= servers.clamp(1, MIN_SUSPECT) || self.has_silent()
    }

    /// Whether a host did not answer.
    pub fn has_silent(&self) -> bool {
        self.unreached.values().any(|(failure, _)| *failure == ConnectFailure::Silent)
    }

    /// The state of the path to a pool of this many servers from which no byte has come for `silence`,
    /// and whose sound servers may be silent for `gap` within an answer.
    pub fn state(&self, servers: usize, silence: Duration, gap: Duration) -> PathState {
        if servers == 0 || self.unreached.len() < servers {
            return PathState::Open;
        }
        let evidence = self.evidence(Duration::ZERO);
        let bound = if evidence.refused == 0 { MIN_SILENCE } else { gap.max(MIN_SILENCE) };
        if silence < bound { PathState::NoNewConnections } else { PathState::Lost }
    }

    /// Why a server could not be connected to, if that was so since a connection was last opened.
    pub fn failure(&self, server: &VmName) -> Option<ConnectFailure> {
        self.unreached.get(server).map(|(failure, _)| *failure)
    }

    /// What the state rests on at `now`.
    pub fn evidence(&self, now: Duration) -> PathEvidence {
        let refusals =
            self.unreached.values().filter(|(failure, _)| *failure == ConnectFailure::Refused);
        let refused = refusals.count();
        let oldest = self.unreached.values().map(|(_, at)| *at).min().unwrap_or(now);
        let silent = self.unreached.len() - refused;
        PathEvidence { refused, silent, age: now.saturating_sub(oldest) }
    }
}
