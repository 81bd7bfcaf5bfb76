//! Settings of a daemon: an INI file that is read once at startup and validated as a whole.

mod checks;
mod fleet_limits;
mod issue;
mod key;
mod reader;
mod region_map;
mod role;
mod unit;

pub use fleet_limits::FleetLimits;
pub use issue::{SettingsErrors, SettingsIssue};
pub use key::KeySpec;
pub use region_map::RegionMap;
pub use role::Role;
pub use unit::{parse_duration, parse_size};

use crate::error::Error;
use crate::ledger::Retention;
use crate::name::{DataCentre, VmName};
use crate::policy::{BalancePolicy, PlacementPolicy, WarmUpBounds, Weights};
use reader::SettingsReader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Source of the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmListSource {
    /// Address of an HTTP server, queried at `/vms`.
    Http(SocketAddr),
    /// Path of a JSON file.
    File(PathBuf),
}

/// Validated settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The file that they were read from, if any.
    pub file: Option<PathBuf>,
    /// Which parts of the system the daemon runs.
    pub role: Role,
    /// Name of this VM.
    pub vm: VmName,
    /// Data centre in which this VM runs.
    pub data_centre: DataCentre,
    /// Folder for durable state; a daemon without one is diskless.
    pub data_folder: Option<PathBuf>,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address to listen on for operators.
    pub operator_address: SocketAddr,
    /// Address to listen on for other daemons.
    pub peer_address: SocketAddr,
    /// Shared secret with which the daemons of a cluster authenticate one another.
    pub cluster_secret: String,
    /// Peer addresses of the other daemons.
    pub peer_list: Vec<SocketAddr>,
    /// Operator addresses of some voters, as read at startup; [`crate::seeds::follow`] keeps up with
    /// the file. All daemons use the same port for peers, so peer
    /// addresses are derived from them.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole cluster starts for the first time, with empty data folders.
    pub first_start: bool,
    /// Address at which a router reports its readiness to a load balancer.
    pub readiness_address: Option<SocketAddr>,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Limits that a fleet of routers and voters keeps.
    pub fleet_limits: FleetLimits,
    /// The most bytes that a router holds of answers and of the bodies of calls.
    pub held_limit: usize,
    /// Bytes of a streamed answer that are read before its caller takes them.
    pub ahead: usize,
    /// The size of the kernel's buffers of a connection, in bytes; without one the kernel chooses.
    pub socket_buffer: Option<usize>,
    /// Whether calls are refused before they are sent to a pool that has too little room for all.
    pub admission: bool,
    /// Target number of voters.
    pub target_voters: usize,
    /// Number of ledger groups, fixed when the cluster is bootstrapped.
    pub ledger_groups: u16,
    /// Token that operators must present.
    pub operator_token: String,
    /// How long ledger records are kept.
    pub retention: Retention,
    /// How long a router may work after it asked for its lease.
    pub lease_duration: Duration,
    /// How often a router renews its lease.
    pub renewal_interval: Duration,
    /// Shortest time without a message from the leader before an election starts.
    pub election_timeout: Duration,
    /// How often a leader sends heartbeats to idle followers.
    pub heartbeat_interval: Duration,
    /// How long a voter may be silent before another VM replaces it.
    pub replace_after: Duration,
    /// Source of the VM list.
    pub vm_list: VmListSource,
    /// The region of each data centre.
    pub regions: RegionMap,
    /// How often the VM list is read.
    pub poll_interval: Duration,
    /// Address of the rating service; without one, answers are not rated.
    pub rating_address: Option<SocketAddr>,
    /// Share of answers that are rated, in thousandths.
    pub sample_permille: u64,
    /// Relative weights of cost, latency and exposure in the choice of a version.
    pub weights: Weights,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Timeout of a request that specifies none.
    pub default_timeout: Duration,
    /// Longest wait for the first token of a stream.
    pub first_token: Duration,
    /// Longest pause between two tokens of a stream.
    pub token_gap: Duration,
    /// Timeout of connecting to a backend server.
    pub connect_timeout: Duration,
    /// Policy that picks the backend server for a request.
    pub balance: BalancePolicy,
    /// Whether models of one pool get servers of their own as far as there is room.
    pub separate_models: bool,
    /// Whether an answer of low confidence is kept until that of a larger model begins.
    pub keep_first_answer: bool,
    /// How the server of a call on a configured route is chosen.
    pub placement: PlacementPolicy,
    /// What sending a call to another data centre costs, as a time to the first event.
    pub way: Duration,
    /// What each KiB of its body adds to that: the time of the links and the price of the bytes.
    pub way_kib: Duration,
    /// How long a caller may take to send the head of a request, and then its body.
    pub receive_timeout: Duration,
    /// How long an idle connection of a caller is kept open.
    pub idle_timeout: Duration,
    /// How long a stopping daemon keeps serving, so that the load balancer can stop sending to it.
    pub drain_period: Duration,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`Error::File`] if the file cannot be read, [`Error::Settings`] with all errors in it.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Error::File { path: path.to_path_buf(), cause })?;
        let settings = Self::parse(&path.display().to_string(), &text)?;
        Ok(Self { file: Some(path.to_path_buf()), ..settings })
    }

    /// Parses and validates the text of a settings file; `file` is used in messages only.
    ///
    /// # Errors
    /// All errors at once, each with its file, section, key and the allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut r = SettingsReader::parse(file, text)?;
        let settings = Self::read(&mut r);
        r.check_ports(&[settings.caller_address, settings.operator_address, settings.peer_address]);
        r.check_folder(settings.data_folder.as_deref());
        if settings.role == Role::Router {
            r.check_seeds(&settings.seeds);
        }
        r.check_held(settings.held_limit, settings.ahead, settings.socket_buffer);
        r.check_lease(settings.lease_duration, settings.renewal_interval);
        r.check_election_timing(
            settings.lease_duration,
            settings.election_timeout,
            settings.heartbeat_interval,
        );
        r.finish(settings)
    }

    /// Returns every key that a settings file may hold.
    ///
    /// ```
    /// let keys = samphireshift::settings::Settings::keys();
    /// assert!(keys.iter().any(|key| key.section == "vm" && key.key == "name"));
    /// ```
    pub fn keys() -> Vec<KeySpec> {
        let mut r = SettingsReader::parse("", "").expect("an empty text is a valid INI file");
        Self::read(&mut r);
        r.keys()
    }

    fn read(r: &mut SettingsReader) -> Self {
        let role = r.role("vm", "role");
        let (routes, votes) = (role != Role::Voter, role != Role::Router);
        let fleet_limits = Self::read_fleet_limits(r);
        let lease_duration = r.duration("lease", "duration", "2500ms", "500ms", "3s");
        let voters = r.number("cluster", "voters", 3, 1, 9) as usize;
        let losses = r.number("cluster", "losses", 0, 0, 4) as usize;
        Self {
            file: None,
            role,
            vm: VmName::new(r.name("vm", "name")),
            data_centre: DataCentre::new(r.name("vm", "data_centre")),
            data_folder: r.folder("vm", "data_folder"),
            caller_address: r.address_if(routes, "listen", "callers"),
            operator_address: r.address_if(votes, "listen", "operators"),
            peer_address: r.address("listen", "peers"),
            cluster_secret: r.secret("cluster", "secret"),
            peer_list: r.addresses("cluster", "peers"),
            seeds: r.addresses("cluster", "seeds"),
            first_start: r.boolean("cluster", "first_start"),
            readiness_address: r.optional_address("listen", "ready"),
            metrics_address: r.optional_address("listen", "metrics"),
            fleet_limits,
            target_voters: if losses > 0 { 2 * losses + 1 } else { voters },
            ledger_groups: r.number("cluster", "ledger_groups", 1, 1, 64) as u16,
            operator_token: r.secret_if(role == Role::All, "operators", "token"),
            retention: Retention {
                pins: r.duration("ledger", "keep_pins", "72h", "1s", "8760h"),
                claims: r.duration("ledger", "keep_claims", "72h", "1s", "8760h"),
                bills: r.duration("ledger", "keep_bills", "24h", "1s", "8760h"),
            },
            lease_duration: if role == Role::All {
                lease_duration
            } else {
                fleet_limits.lease_duration()
            },
            renewal_interval: r.duration("lease", "renew", "250ms", "20ms", "1s"),
            admission: r.switch("overload", "admission"),
            election_timeout: r.duration("consensus", "election", "600ms", "100ms", "10s"),
            heartbeat_interval: r.duration("consensus", "heartbeat", "100ms", "10ms", "2s"),
            replace_after: r.duration("consensus", "replace_after", "10s", "1s", "1h"),
            vm_list: r.vm_list(votes, "platform", "vm_list"),
            regions: r.region_map("platform", "regions"),
            poll_interval: r.duration("platform", "poll", "500ms", "50ms", "1m"),
            rating_address: r.optional_address("rating", "address"),
            sample_permille: r.number("rating", "sample", 200, 0, 1000),
            weights: Weights {
                cost: r.number("weights", "cost", 1, 0, 100) as u32,
                latency: r.number("weights", "latency", 1, 0, 100) as u32,
                exposure: r.number("weights", "exposure", 1, 0, 100) as u32,
            },
            held_limit: r.size("limits", "held", "80MiB", "4MiB", "4096MiB"),
            ahead: r.size("limits", "ahead", "256KiB", "16KiB", "16MiB"),
            socket_buffer: r.optional_size("limits", "socket_buffer", "16KiB", "4MiB"),
            body_limit: r.size("limits", "body", "1MiB", "1KiB", "64MiB"),
            default_timeout: r.duration("limits", "deadline", "60s", "100ms", "1h"),
            first_token: r.duration("limits", "first_token", "10s", "50ms", "10m"),
            token_gap: r.duration("limits", "token_gap", "5s", "50ms", "5m"),
            connect_timeout: r.duration("limits", "connect", "500ms", "10ms", "30s"),
            balance: r.balance_policy("routing", "balance"),
            separate_models: r.boolean("routing", "separate_models"),
            keep_first_answer: r.boolean("routing", "keep_first_answer"),
            placement: r.placement_policy("routing", "placement"),
            way: r.duration("routing", "way", "12ms", "0ms", "10s"),
            way_kib: r.duration("routing", "way_kib", "0ms", "0ms", "10s"),
            receive_timeout: r.duration("limits", "receive", "10s", "100ms", "5m"),
            idle_timeout: r.duration("limits", "idle", "60s", "1s", "1h"),
            drain_period: r.duration("limits", "drain", "2s", "0ms", "5m"),
        }
    }

    fn read_fleet_limits(r: &mut SettingsReader) -> FleetLimits {
        let apply_bound = r.duration("promises", "apply", "4s", "500ms", "1m");
        let (key, other) = (["promises", "evacuate"], ("as apply", apply_bound));
        FleetLimits {
            revocation_bound: r.duration("promises", "revoke", "3s", "1s", "1m"),
            apply_bound,
            evacuation_bound: r.duration_or(key, other, "500ms", "1m"),
            stop_timeout: r.duration("promises", "stop", "30s", "1s", "10m"),
            session_timeout: r.duration("promises", "session", "1m", "100ms", "24h"),
            retry_ratio: r.decimal("promises", "repeats", 0.1, 0.0, 10.0),
            retry_window: r.duration("promises", "repeat_window", "10s", "1s", "10m"),
            extra_retries: r.number("promises", "repeat_extra", 20, 0, 100_000) as u32,
            max_exposure: r.decimal("promises", "exposure", 0.1, 0.0, 1.0),
            warm_up: WarmUpBounds {
                overshoot: r.decimal("promises", "warm_up_overshoot", 1.5, 1.0, 100.0),
                slack: r.decimal("promises", "warm_up_slack", 5.0, 0.0, 100_000.0),
            },
        }
    }
}
