//! Tries the servers of a pool, to find out whether one of them can be connected to.

use super::Gateway;
use super::server_table::ServerState;
use crate::name::VmName;
use crate::policy::ConnectFailure;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::Duration;

/// Delay before further servers are tried while the first ones have not answered.
const WAVE_DELAY: Duration = Duration::from_millis(30);
/// How many servers are tried at first, and how many besides after `WAVE_DELAY`; after that all others. Each
/// try has a time limit of its own.
const FIRST_WAVES: [usize; 2] = [1, 3];
/// Servers of which one that does not answer within `WAVE_DELAY` has all others tried, where silent hosts are
/// counted.
const SAMPLE_SERVERS: usize = FIRST_WAVES[0] + FIRST_WAVES[1];

/// What came of trying servers.
#[derive(Debug, Default)]
pub struct Sweep {
    /// The first server that accepted a connection.
    pub accepted: Option<VmName>,
    /// The servers that did not, and why. Once one has accepted, the others are not waited for, unless all
    /// servers are being tried or silent hosts are counted.
    pub failed: Vec<(Arc<ServerState>, ConnectFailure)>,
}

type Tried = (Arc<ServerState>, Result<(), ConnectFailure>);

/// Tries that are under way, and servers that have not been tried.
struct Tries<'a> {
    gateway: &'a Gateway,
    running: FuturesUnordered<BoxFuture<'a, Tried>>,
    waiting: std::vec::IntoIter<Arc<ServerState>>,
}

impl<'a> Tries<'a> {
    fn new(gateway: &'a Gateway, mut servers: Vec<Arc<ServerState>>) -> Self {
        servers.shuffle(&mut rand::rng());
        Self { gateway, running: FuturesUnordered::new(), waiting: servers.into_iter() }
    }

    fn start(&mut self, count: usize) {
        for server in self.waiting.by_ref().take(count) {
            self.running.push(Box::pin(try_server(self.gateway, server)));
        }
    }
}

impl Sweep {
    /// Tries servers in random order until one accepts a connection: a few, soon all of them.
    pub async fn find(gateway: &Gateway, servers: Vec<Arc<ServerState>>) -> Self {
        Self::find_one(&mut Tries::new(gateway, servers)).await
    }

    /// Counts the silent hosts: that one accepts says nothing of the others. Tries a few servers, and all if
    /// one of these does not answer at once.
    pub async fn count(gateway: &Gateway, servers: Vec<Arc<ServerState>>) -> Self {
        let (mut sweep, mut tries) = (Self::default(), Tries::new(gateway, servers));
        tries.start(SAMPLE_SERVERS);
        let all_answered =
            tokio::time::timeout(WAVE_DELAY, sweep.collect_all(&mut tries)).await.is_ok();
        if !all_answered || sweep.accepted.is_none() {
            tries.start(usize::MAX);
            sweep.collect_all(&mut tries).await;
        }
        sweep
    }

    /// The servers whose hosts did not answer.
    pub fn silent(&self) -> impl Iterator<Item = &Arc<ServerState>> {
        let silent = self.failed.iter().filter(|(_, failure)| *failure == ConnectFailure::Silent);
        silent.map(|(server, _)| server)
    }

    async fn find_one(tries: &mut Tries<'_>) -> Self {
        let mut sweep = Self::default();
        for count in FIRST_WAVES {
            tries.start(count);
            let collected = sweep.collect_until_accepted(tries);
            // What has not answered by then is waited for beside the next servers.
            let _ = tokio::time::timeout(WAVE_DELAY, collected).await;
            if sweep.accepted.is_some() {
                return sweep;
            }
        }
        tries.start(usize::MAX);
        match tries.running.len() > SAMPLE_SERVERS {
            true => sweep.collect_all(tries).await,
            false => sweep.collect_until_accepted(tries).await,
        }
        sweep
    }

    async fn collect_until_accepted(&mut self, tries: &mut Tries<'_>) {
        while self.accepted.is_none()
            && let Some(tried) = tries.running.next().await
        {
            self.take_in(tried);
        }
    }

    async fn collect_all(&mut self, tries: &mut Tries<'_>) {
        while let Some(tried) = tries.running.next().await {
            self.take_in(tried);
        }
    }

    fn take_in(&mut self, (server, result): Tried) {
        match result {
            Ok(()) => {
                self.accepted.get_or_insert_with(|| server.vm.name.clone());
            }
            Err(failure) => self.failed.push((server, failure)),
        }
    }
}

async fn try_server(gateway: &Gateway, server: Arc<ServerState>) -> Tried {
    let tried = gateway.try_connect(&server).await;
    (server, tried)
}
