//! A cluster of daemons together with the fake services that it uses.

use super::fleet_spec::FleetSpec;
use super::http::{Reply, call};
use super::process::{Process, program_dir};
use super::proxy::{Proxy, ProxyFault};
use super::setup::{ReservedPorts, format_ini, loopback_address, spawn_daemon};
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const TOKEN: &str = "operator-token";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of lines printed from the end of each daemon's log when a test fails.
const MAX_LOG_LINES: usize = 30;

/// A daemon process, its listen addresses and its files.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub settings: PathBuf,
    pub folder: Option<PathBuf>,
}

/// A fake backend server process, and the pool that it belongs to.
#[derive(Debug)]
pub struct Server {
    pub name: String,
    pub pool: String,
    pub process: Process,
    pub address: SocketAddr,
    /// Proxy that daemons connect to instead, if [`FleetSpec::proxies`] is set.
    pub proxy: Option<Proxy>,
}

/// Daemons, backend servers and other fakes of one test; dropping it ends them all.
#[derive(Debug)]
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Server>,
    pub rating: SocketAddr,
    pub vms: SocketAddr,
    /// Proxies between daemons: index of the connecting daemon, of the accepting one, and the
    /// proxy.
    pub peer_proxies: Vec<(usize, usize, Proxy)>,
    dir: PathBuf,
    fakes: Vec<Process>,
    reserved_ports: Option<ReservedPorts>,
}

impl Fleet {
    /// Starts all processes, founds the cluster through the first daemon and waits until all
    /// daemons are ready.
    pub async fn start(spec: &FleetSpec) -> Self {
        let fleet = Self::start_unfounded(spec).await;
        fleet.await_live().await;
        let founded = fleet.operate(0, "POST", "/v1/found", &Value::Null).await;
        assert_eq!(founded.status, 200, "{}", founded.text());
        fleet.await_ready().await;
        fleet
    }

    /// Starts all processes without founding a cluster.
    pub async fn start_unfounded(spec: &FleetSpec) -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("samphireshift-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder of the fleet can be created");
        let (rating_process, rating) = Process::spawn_fake("rating", &[]);
        let (vms_process, vms) = Process::spawn_fake("vms", &[]);
        let fakes = vec![rating_process, vms_process];
        let (daemons, servers, peer_proxies) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet =
            Self { daemons, servers, rating, vms, peer_proxies, dir, fakes, reserved_ports: None };
        for arguments in &spec.cheap {
            fleet.add_server("engine", "cheap", arguments);
        }
        for arguments in &spec.better {
            fleet.add_server("engine", "better", arguments);
        }
        fleet.add_server("service", "ledger", &[]);
        if spec.proxies {
            for server in &mut fleet.servers {
                server.proxy = Some(Proxy::spawn(server.address).await);
            }
        }
        fleet.publish_vms(&[]).await;
        fleet.spawn_daemons(spec, loopback_address(number)).await;
        fleet
    }

    /// Starts a fake of the given kind (`engine` or `service`) as a server of `pool`.
    pub fn add_server(&mut self, kind: &str, pool: &str, arguments: &[&str]) {
        let name = format!("{pool}-{}", self.servers.len());
        let (process, address) = Process::spawn_fake(kind, arguments);
        self.servers.push(Server { name, pool: pool.to_owned(), process, address, proxy: None });
    }

    /// Publishes all servers on the VM list: those named in `leaving` as leaving, the others as
    /// live.
    pub async fn publish_vms(&self, leaving: &[&str]) {
        let entry = |server: &Server| {
            let address = server.proxy.as_ref().map_or(server.address, |proxy| proxy.address);
            let state = if leaving.contains(&server.name.as_str()) { "leaving" } else { "live" };
            json!({
                "vm": server.name, "address": address, "data_centre": "dc-0",
                "pool": server.pool, "state": state,
            })
        };
        let list: Vec<Value> = self.servers.iter().map(entry).collect();
        let reply = call(self.vms, "POST", "/fake/set", &[], &Value::from(list)).await;
        assert_eq!(reply.status, 200);
    }

    async fn spawn_daemons(&mut self, spec: &FleetSpec, ip: IpAddr) {
        let reserved = ReservedPorts::reserve(ip, spec.durable.len() * 3);
        let daemon_ports = |i: usize| [0, 1, 2].map(|port| reserved.address(i * 3 + port));
        let ports: Vec<_> = (0..spec.durable.len()).map(daemon_ports).collect();
        self.reserved_ports = Some(reserved);
        if spec.proxies {
            self.spawn_peer_proxies(&ports).await;
        }
        for (i, durable) in spec.durable.iter().enumerate() {
            let name = format!("entry-{i}");
            let folder = durable.then(|| self.dir.join(&name));
            let [callers, operators, peers] = ports[i];
            let others = ports.iter().enumerate().filter(|(j, _)| *j != i);
            let peer_address = |(j, p): (usize, &[SocketAddr; 3])| {
                let proxy = self.peer_proxies.iter().find(|proxy| (proxy.0, proxy.1) == (i, j));
                proxy.map_or(p[2], |proxy| proxy.2.address).to_string()
            };
            let peer_list: Vec<String> = others.map(peer_address).collect();
            let mut sections = vec![
                ("vm", "name", name.clone()),
                ("vm", "data_centre", format!("dc-{}", i % 3)),
                ("listen", "callers", callers.to_string()),
                ("listen", "operators", operators.to_string()),
                ("listen", "peers", peers.to_string()),
                ("cluster", "secret", "cluster-secret".to_owned()),
                ("cluster", "peers", peer_list.join(", ")),
                ("operators", "token", TOKEN.to_owned()),
                ("platform", "vm_list", format!("http://{}", self.vms)),
                ("rating", "address", self.rating.to_string()),
            ];
            if let Some(folder) = &folder {
                sections.push(("vm", "data_folder", folder.display().to_string()));
            }
            sections.extend(spec.settings.iter().map(|(s, k, v)| (*s, *k, (*v).to_owned())));
            let settings = self.dir.join(format!("{name}.ini"));
            std::fs::write(&settings, format_ini(&sections))
                .expect("the settings file can be written");
            let process = spawn_daemon(&settings);
            self.daemons.push(Daemon {
                name,
                process,
                callers,
                operators,
                peers,
                settings,
                folder,
            });
        }
    }

    async fn spawn_peer_proxies(&mut self, ports: &[[SocketAddr; 3]]) {
        for from in 0..ports.len() {
            for (to, port) in ports.iter().enumerate().filter(|(to, _)| *to != from) {
                self.peer_proxies.push((from, to, Proxy::spawn(port[2]).await));
            }
        }
    }

    /// Sets the fault of all proxies between a daemon and the others, in both directions.
    pub fn set_peer_fault(&self, i: usize, fault: ProxyFault) {
        let affected = self.peer_proxies.iter().filter(|(from, to, _)| *from == i || *to == i);
        affected.for_each(|(_, _, proxy)| proxy.set_fault(fault));
    }

    /// The proxy on connections from one daemon to another.
    pub fn peer_proxy(&self, from: usize, to: usize) -> &Proxy {
        let found = self.peer_proxies.iter().find(|proxy| (proxy.0, proxy.1) == (from, to));
        &found.expect("the fleet was started with proxies").2
    }

    /// The HTTP status of a daemon's readiness check; 0 if the daemon does not answer.
    pub async fn health(&self, i: usize) -> u16 {
        call(self.daemons[i].callers, "GET", "/health/ready", &[], &Value::Null).await.status
    }

    /// The first daemon whose operators' port answers.
    pub async fn first_reachable(&self) -> Option<usize> {
        for i in 0..self.daemons.len() {
            if self.operate(i, "GET", "/v1/live", &Value::Null).await.status != 0 {
                return Some(i);
            }
        }
        None
    }

    /// Waits until every daemon reports `count` voters for each of its groups.
    pub async fn await_voters(&self, count: usize) {
        await_until("every group has the expected number of voters", async || {
            let status = self.operate(0, "GET", "/v1/status", &Value::Null).await.json();
            let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
            let groups = daemons.iter().filter_map(|daemon| daemon["groups"].as_array());
            let voters = |group: &Value| group["voters"].as_array().map_or(0, |v| v.len());
            daemons.len() == self.daemons.len()
                && groups.flatten().all(|group| voters(group) == count)
        })
        .await;
    }

    /// Waits until a daemon leads the control group; returns its index.
    pub async fn leader(&self) -> usize {
        self.leader_of(&Value::from("Control")).await
    }

    /// Waits until a daemon leads a group, as the status names it; returns the daemon's index.
    pub async fn leader_of(&self, group: &Value) -> usize {
        let mut found = None;
        await_until("a leader of the group", async || {
            for i in 0..self.daemons.len() {
                let status = self.operate(i, "GET", "/v1/status", &Value::Null).await.json();
                let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
                let name = &self.daemons[i].name;
                let own = daemons.iter().find(|daemon| daemon["vm"] == name.as_str());
                let groups = own.and_then(|own| own["groups"].as_array().cloned());
                let leads = |view: &Value| view["group"] == *group && view["leading"] == true;
                if groups.unwrap_or_default().iter().any(leads) {
                    found = Some(i);
                }
            }
            found.is_some()
        })
        .await;
        found.expect("a leader was found")
    }

    /// Kills a daemon's process if it still runs and starts it again with the same settings.
    pub fn restart(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        daemon.process.kill();
        daemon.process = spawn_daemon(&daemon.settings);
    }

    /// Waits until every daemon answers on its operators' port, ready or not.
    pub async fn await_live(&self) {
        for daemon in &self.daemons {
            let live = || call(daemon.operators, "GET", "/v1/live", &[], &Value::Null);
            await_until(&format!("{} is live", daemon.name), async || live().await.status != 0)
                .await;
        }
    }

    /// Waits until every daemon is ready for callers; panics if one of them is stopped.
    pub async fn await_ready(&self) {
        for daemon in &self.daemons {
            let ready = || call(daemon.callers, "GET", "/health/ready", &[], &Value::Null);
            await_until(&format!("{} is ready", daemon.name), async || ready().await.status == 200)
                .await;
        }
    }

    /// Sends a request with the operator token to a daemon's operators' port.
    pub async fn operate(&self, i: usize, method: &str, path: &str, body: &Value) -> Reply {
        let bearer = format!("Bearer {TOKEN}");
        call(self.daemons[i].operators, method, path, &[("authorization", &bearer)], body).await
    }

    /// Applies a ticket through the first daemon, waits until it is in force and returns its
    /// revision; panics if it is refused.
    pub async fn apply(&self, ticket: &Value) -> u64 {
        self.apply_at(0, ticket).await
    }

    /// Like [`apply`](Self::apply), through the daemon `i`.
    pub async fn apply_at(&self, i: usize, ticket: &Value) -> u64 {
        let answer = self.operate(i, "POST", "/v1/tickets", ticket).await;
        let revision = answer.json()["accepted"]["revision"].as_u64();
        let revision = revision.unwrap_or_else(|| panic!("ticket refused: {}", answer.text()));
        let path = format!("/v1/in-force/{revision}?wait=10000");
        let reply = self.operate(i, "GET", &path, &Value::Null).await;
        assert_eq!(reply.json()["in_force"], true, "{}", reply.text());
        revision
    }

    /// Sends a chat completion request with the API key [`ticket::KEY`](super::ticket::KEY).
    pub async fn chat(&self, i: usize, headers: &[(&str, &str)], body: &Value) -> Reply {
        self.post(i, "/v1/chat/completions", headers, body).await
    }

    /// Sends a POST request with the API key [`ticket::KEY`](super::ticket::KEY).
    pub async fn post(
        &self,
        i: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Reply {
        let bearer = format!("Bearer {}", super::ticket::KEY);
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        call(self.daemons[i].callers, "POST", path, &all, body).await
    }

    /// Changes the behaviour of a fake.
    pub async fn configure_fake(&self, address: SocketAddr, change: &Value) {
        assert_eq!(call(address, "POST", "/fake/set", &[], change).await.status, 200);
    }

    /// The requests that a fake has received, as it logged them.
    pub async fn fake_log(&self, address: SocketAddr) -> Vec<Value> {
        let reply = call(address, "GET", "/fake/log", &[], &Value::Null).await;
        reply.json().as_array().cloned().unwrap_or_default()
    }

    /// The address of the first server of a pool, without its proxy.
    pub fn server_address(&self, pool: &str) -> SocketAddr {
        self.servers
            .iter()
            .find(|server| server.pool == pool)
            .expect("the pool has a server")
            .address
    }

    /// Runs the command-line tool against a daemon and waits until it exits.
    pub fn run_tool(&self, i: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(program_dir().join("samphireshift"));
        command.env("SAMPHIRESHIFT_TOKEN", TOKEN);
        command.arg("--operator").arg(self.daemons[i].operators.to_string());
        command.args(arguments).output().expect("the tool can be started")
    }

    /// Writes a file into the fleet's temporary folder and returns its path.
    pub fn write_file(&self, name: &str, contents: &str) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, contents).expect("the file can be written");
        path
    }

    /// The fleet's temporary folder, with settings, logs and data folders of the daemons.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Fleet {
    /// Prints the last lines of each daemon's log.
    fn print_logs(&self) {
        for daemon in &self.daemons {
            let log = daemon.settings.with_extension("log");
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let last = lines.len().saturating_sub(MAX_LOG_LINES);
            eprintln!("last log lines of {}:\n{}", daemon.name, lines[last..].join("\n"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(|daemon| daemon.process.kill());
        if std::thread::panicking() {
            self.print_logs();
        }
        // Best effort: a leftover temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Polls `holds` until it returns true; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn await_until<F>(what: &str, mut holds: F)
where
    F: AsyncFnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out waiting until: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
