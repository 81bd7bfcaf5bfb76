//! The daemon's settings: an INI file read once at start and checked as a whole.

mod issue;
mod key;
mod promises;
mod reader;
mod role;
mod unit;

pub use issue::{SettingsErrors, SettingsIssue};
pub use key::KeySpec;
pub use promises::Promises;
pub use role::Role;
pub use unit::{parse_duration, parse_size};

use crate::error::Error;
use crate::ledger::Retention;
use crate::name::{DataCentre, VmName};
use crate::policy::{BalancePolicy, Weights};
use reader::Reader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the list of VMs is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmListSource {
    /// An HTTP server's address, queried at `/vms`.
    Http(SocketAddr),
    /// A JSON file.
    File(PathBuf),
}

/// Everything that one daemon is told at start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the daemon does.
    pub role: Role,
    /// This VM's name.
    pub vm: VmName,
    /// The data centre that this VM stands in.
    pub data_centre: DataCentre,
    /// Where durable state is kept; a daemon without one is diskless.
    pub data_folder: Option<PathBuf>,
    /// The port that callers use.
    pub callers: SocketAddr,
    /// The port that operators use.
    pub operators: SocketAddr,
    /// The port that other daemons use.
    pub peers: SocketAddr,
    /// The secret that all daemons of the cluster share.
    pub secret: String,
    /// Peer addresses of the other daemons.
    pub peer_list: Vec<SocketAddr>,
    /// Operator addresses of some voters; all daemons use the same port for peers.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole cluster starts for the first time, with empty data folders.
    pub first_start: bool,
    /// Where a router tells a balancer whether it takes calls.
    pub ready: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// What a fleet of routers and voters promises.
    pub promises: Promises,
    /// The number of voters to aim for.
    pub voters: usize,
    /// The number of ledger groups, fixed at founding.
    pub ledger_groups: u16,
    /// The token that operators must show.
    pub token: String,
    /// How long records of the ledger are kept.
    pub retention: Retention,
    /// How long a router may work after asking for its lease.
    pub lease: Duration,
    /// How often a router renews its lease.
    pub renew: Duration,
    /// The shortest time without a leader's message before an election.
    pub election: Duration,
    /// How often a leader sends to idle followers.
    pub heartbeat: Duration,
    /// How long a voter may be silent before a spare takes its place.
    pub replace_after: Duration,
    /// Where the VM list comes from.
    pub vm_list: VmListSource,
    /// How often the VM list is read.
    pub poll: Duration,
    /// The rating service, where there is one.
    pub rating: Option<SocketAddr>,
    /// The share of answers that are rated, in thousandths.
    pub sample: u64,
    /// What cost, latency and exposure weigh against one another.
    pub weights: Weights,
    /// The largest request body, in bytes.
    pub body_limit: usize,
    /// The deadline of a request that names none.
    pub deadline: Duration,
    /// The longest wait for the first token of a stream.
    pub first_token: Duration,
    /// The longest silence between two tokens of a stream.
    pub token_gap: Duration,
    /// The longest wait for a connection to a backend server.
    pub connect: Duration,
    /// How a backend server is picked for a request.
    pub balance: BalancePolicy,
    /// How long a caller may take to send a request's head, and then its body.
    pub receive: Duration,
    /// How long an idle connection of a caller is kept.
    pub idle: Duration,
    /// How long a stopping daemon goes on serving so that the balancer can look away.
    pub drain: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`Error::File`] where the file cannot be read, [`Error::Settings`] with every fault at once.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Error::File { path: path.to_path_buf(), cause })?;
        let settings = Self::parse(&path.display().to_string(), &text)?;
        Ok(settings)
    }

    /// Checks settings given as text; `file` is used in messages only.
    ///
    /// # Errors
    /// All faults at once, each naming file, section, key and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut r = Reader::open(file, text)?;
        let settings = Self::read(&mut r);
        r.check_ports(&[settings.callers, settings.operators, settings.peers]);
        r.check_folder(settings.data_folder.as_deref());
        if settings.role == Role::Router {
            r.check_seeds(&settings.seeds);
        }
        r.check_lease(settings.lease, settings.renew);
        r.check_fail_over(settings.lease, settings.election, settings.heartbeat);
        r.finish(settings)
    }

    /// Every key that a settings file may hold.
    ///
    /// ```
    /// let keys = samphireshift::settings::Settings::keys();
    /// assert!(keys.iter().any(|key| key.section == "vm" && key.key == "name"));
    /// ```
    pub fn keys() -> Vec<KeySpec> {
        let mut r = Reader::open("", "").expect("an empty text is an INI file");
        Self::read(&mut r);
        r.keys()
    }

    fn read(r: &mut Reader) -> Self {
        let role = r.role("vm", "role");
        let (routes, votes) = (role != Role::Voter, role != Role::Router);
        let promises = Self::read_promises(r);
        let lease = r.duration("lease", "duration", "2500ms", "500ms", "3s");
        let voters = r.number("cluster", "voters", 3, 1, 9) as usize;
        let losses = r.number("cluster", "losses", 0, 0, 4) as usize;
        Self {
            role,
            vm: VmName::new(r.name("vm", "name")),
            data_centre: DataCentre::new(r.name("vm", "data_centre")),
            data_folder: r.folder("vm", "data_folder"),
            callers: r.address_if(routes, "listen", "callers"),
            operators: r.address_if(votes, "listen", "operators"),
            peers: r.address("listen", "peers"),
            secret: r.secret("cluster", "secret"),
            peer_list: r.addresses("cluster", "peers"),
            seeds: r.addresses("cluster", "seeds"),
            first_start: r.truth("cluster", "first_start"),
            ready: r.optional_address("listen", "ready"),
            metrics: r.optional_address("listen", "metrics"),
            promises,
            voters: if losses > 0 { 2 * losses + 1 } else { voters },
            ledger_groups: r.number("cluster", "ledger_groups", 1, 1, 64) as u16,
            token: r.secret_if(role == Role::All, "operators", "token"),
            retention: Retention {
                pins: r.duration("ledger", "keep_pins", "72h", "1s", "8760h"),
                claims: r.duration("ledger", "keep_claims", "72h", "1s", "8760h"),
                bills: r.duration("ledger", "keep_bills", "24h", "1s", "8760h"),
            },
            lease: if role == Role::All { lease } else { promises.lease() },
            renew: r.duration("lease", "renew", "250ms", "20ms", "1s"),
            election: r.duration("consensus", "election", "600ms", "100ms", "10s"),
            heartbeat: r.duration("consensus", "heartbeat", "100ms", "10ms", "2s"),
            replace_after: r.duration("consensus", "replace_after", "10s", "1s", "1h"),
            vm_list: r.vm_list(votes, "platform", "vm_list"),
            poll: r.duration("platform", "poll", "500ms", "50ms", "1m"),
            rating: r.optional_address("rating", "address"),
            sample: r.number("rating", "sample", 200, 0, 1000),
            weights: Weights {
                cost: r.number("weights", "cost", 1, 0, 100) as u32,
                latency: r.number("weights", "latency", 1, 0, 100) as u32,
                exposure: r.number("weights", "exposure", 1, 0, 100) as u32,
            },
            body_limit: r.size("limits", "body", "1MiB", "1KiB", "64MiB"),
            deadline: r.duration("limits", "deadline", "60s", "100ms", "1h"),
            first_token: r.duration("limits", "first_token", "10s", "50ms", "10m"),
            token_gap: r.duration("limits", "token_gap", "5s", "50ms", "5m"),
            connect: r.duration("limits", "connect", "500ms", "10ms", "30s"),
            balance: r.balance("routing", "balance"),
            receive: r.duration("limits", "receive", "10s", "100ms", "5m"),
            idle: r.duration("limits", "idle", "60s", "1s", "1h"),
            drain: r.duration("limits", "drain", "2s", "0ms", "5m"),
        }
    }

    fn read_promises(r: &mut Reader) -> Promises {
        Promises {
            revoke: r.duration("promises", "revoke", "3s", "1s", "1m"),
            stop: r.duration("promises", "stop", "30s", "1s", "10m"),
            session: r.duration("promises", "session", "1m", "100ms", "24h"),
            repeats: r.decimal("promises", "repeats", 0.1, 0.0, 10.0),
            window: r.duration("promises", "repeat_window", "10s", "1s", "10m"),
            extra: r.number("promises", "repeat_extra", 20, 0, 100_000) as u32,
            exposure: r.decimal("promises", "exposure", 0.1, 0.0, 1.0),
        }
    }
}
