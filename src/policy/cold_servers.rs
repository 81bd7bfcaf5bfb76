use super::WarmingServers;
use crate::name::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a router's word that a server is cold holds at most.
const MAX_PRESUMED: Duration = Duration::from_secs(60);
/// How long one router's word that a server gives no sign waits for that of another.
const SILENT_SPAN: Duration = Duration::from_secs(6);
/// Servers that are presumed to be cold at the same time.
const MAX_SERVERS: usize = 4_096;

/// What shows a router that a server is cold or may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColdSign {
    /// The server's own answer, or its machine's: a refused connection.
    Answer,
    /// Nothing has come from it. The link of the router may be cut.
    Silence,
}

/// A router as a witness of servers that turn cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Its VM.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
}

/// A server that is cold or may be, as a router tells the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdServer {
    /// The server.
    pub server: VmName,
    /// Requests a second that it takes from all routers together.
    pub rate: f64,
    /// How much longer it is to be held to be cold.
    pub lasts: Duration,
    /// What shows it.
    pub sign: ColdSign,
}

/// The servers that are cold, as one leader knows them: from the VM list and from routers.
#[derive(Debug, Default)]
pub struct ColdServers {
    /// By the VM list; `None` before it was read.
    listed: Option<Vec<WarmingServers>>,
    presumed: BTreeMap<VmName, PresumedServer>,
    /// Who named silent servers last, and when.
    silent: BTreeMap<VmName, Vec<(Duration, Witness)>>,
    /// The data centres that routers report from, and when one last did.
    heard: BTreeMap<DataCentre, Duration>,
}

#[derive(Debug)]
struct PresumedServer {
    rate: f64,
    until: Duration,
}

impl ColdServers {
    /// Sets what the VM list says. A server that it said to be cold and now does not is warm. Returns
    /// whether [`Self::all`] has changed.
    pub fn set_listed(&mut self, listed: Vec<WarmingServers>) -> bool {
        let before = self.all();
        let is_listed = |groups: &[WarmingServers], server: &VmName| {
            groups.iter().any(|group| group.servers.binary_search(server).is_ok())
        };
        let were_cold = self.listed.take().unwrap_or_default();
        self.presumed
            .retain(|server, _| !is_listed(&were_cold, server) || is_listed(&listed, server));
        self.listed = Some(listed);
        self.all() != before
    }

    /// Takes in what a router says. A silent server counts once routers of two VMs
    /// have named it, of two data centres if routers report from several. Returns whether [`Self::all`] has changed.
    pub fn presume(&mut self, now: Duration, witness: &Witness, servers: &[ColdServer]) -> bool {
        let before = self.all();
        self.heard.retain(|_, at| now < *at + SILENT_SPAN);
        self.heard.insert(witness.data_centre.clone(), now);
        for cold in servers.iter().filter(|cold| cold.rate > 0.0) {
            let ColdServer { server, rate, lasts, sign } = cold;
            if *sign == ColdSign::Silence && !self.is_silent_for_others(now, witness, server) {
                continue;
            }
            let until = now + (*lasts).min(MAX_PRESUMED);
            let has_room = self.presumed.len() < MAX_SERVERS;
            match self.presumed.get_mut(server) {
                Some(known) => known.until = known.until.max(until),
                None if has_room => {
                    self.presumed.insert(server.clone(), PresumedServer { rate: *rate, until });
                }
                None => {}
            }
        }
        self.all() != before
    }

    /// Notes that a router got no sign of a server. Returns whether others confirm it.
    fn is_silent_for_others(&mut self, now: Duration, witness: &Witness, server: &VmName) -> bool {
        if !self.silent.contains_key(server) && self.silent.len() >= MAX_SERVERS {
            return false;
        }
        let named = self.silent.entry(server.clone()).or_default();
        named.retain(|(at, before)| now < *at + SILENT_SPAN && before.vm != witness.vm);
        let is_near = |other: &Witness| other.data_centre == witness.data_centre;
        let has_one = self.heard.len() == 1;
        let is_confirmed = named.iter().any(|(_, other)| has_one || !is_near(other));
        // Two of a data centre are enough to keep.
        if named.iter().filter(|(_, other)| is_near(other)).count() > 1 {
            let oldest = named.iter().position(|(_, other)| is_near(other));
            oldest.map(|oldest| named.remove(oldest));
        }
        named.push((now, witness.clone()));
        is_confirmed
    }

    /// Forgets what no longer holds. Returns whether [`Self::all`] has changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.all();
        self.presumed.retain(|_, known| now < known.until);
        let is_recent = |(at, _): &(Duration, Witness)| now < *at + SILENT_SPAN;
        self.silent.retain(|_, named| named.iter().any(is_recent));
        self.all() != before
    }

    /// All servers that are cold, by rate; `None` before the VM list was read.
    pub fn all(&self) -> Option<Vec<WarmingServers>> {
        let mut groups = self.listed.clone()?;
        let is_listed = |server: &VmName| {
            self.listed.iter().flatten().any(|group| group.servers.binary_search(server).is_ok())
        };
        for (server, known) in self.presumed.iter().filter(|(server, _)| !is_listed(server)) {
            match groups.iter_mut().find(|group| group.rate == known.rate) {
                Some(group) => group.servers.push(server.clone()),
                None => {
                    groups.push(WarmingServers { rate: known.rate, servers: vec![server.clone()] });
                }
            }
        }
        groups.iter_mut().for_each(|group| group.servers.sort_unstable());
        Some(groups)
    }
}
