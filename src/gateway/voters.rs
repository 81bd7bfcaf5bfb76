use crate::peer::Dialed;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How long a voter is skipped after a failure, if there are others.
const FAILED_VOTER_COOLDOWN: Duration = Duration::from_millis(1_500);

/// The known voters, and the connection to the current leader.
pub struct Voters {
    /// Operator addresses of some voters, as the settings file names them now.
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The port on which all daemons accept connections from peers.
    port: u16,
    /// The voters that the leader reported last.
    pub known: Vec<SocketAddr>,
    /// The voter that was reported as leader.
    pub leader_hint: Option<SocketAddr>,
    /// The voter that failed last, and when.
    last_failed: Option<(SocketAddr, Instant)>,
    /// The connection in use.
    pub connection: Option<(SocketAddr, Dialed)>,
    rotation: usize,
}

impl Voters {
    /// Starts with the voters of the settings; `port` is where all daemons accept peers.
    pub fn new(seeds: watch::Receiver<Vec<SocketAddr>>, port: u16) -> Self {
        Self {
            seeds,
            port,
            known: Vec::new(),
            leader_hint: None,
            last_failed: None,
            connection: None,
            rotation: 0,
        }
    }

    /// The next voter to ask: the one reported as leader, otherwise each in turn.
    pub fn next_address(&mut self) -> Option<SocketAddr> {
        if let Some(leader_hint) =
            self.leader_hint.take().filter(|leader_hint| !self.failed_recently(*leader_hint))
        {
            return Some(leader_hint);
        }
        let mut all = self.known.clone();
        let seeds = self.seeds.borrow();
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.port));
        all.extend(seeds.filter(|seed| !self.known.contains(seed)));
        if all.len() > 1 {
            all.retain(|address| !self.failed_recently(*address));
        }
        self.rotation += 1;
        all.get(self.rotation % all.len().max(1)).copied()
    }

    /// Whether a voter failed recently. Other voters may still report it as the leader.
    fn failed_recently(&self, address: SocketAddr) -> bool {
        self.last_failed.is_some_and(|(last_failed, at)| {
            last_failed == address && at.elapsed() < FAILED_VOTER_COOLDOWN
        })
    }

    /// Records that the connection to a voter failed, and drops it.
    pub fn mark_failed(&mut self, address: SocketAddr) {
        self.last_failed = Some((address, Instant::now()));
        self.connection = None;
    }
}
