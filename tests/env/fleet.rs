//! Daemons and fakes that belong together.

use super::http::{Reply, call};
use super::plan::Plan;
use super::process::{Process, programs};
use super::proxy::{Fault, Proxy};
use super::setup::{HeldPorts, ini, own_address, spawn_daemon};
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const TOKEN: &str = "operator-token";
const READY_LIMIT: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Lines of a daemon's log that a failed test shows.
const LOG_LINES: usize = 30;

/// A daemon's process and its ports.
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

/// A backend server's process.
#[derive(Debug)]
pub struct Server {
    pub name: String,
    pub pool: String,
    pub process: Process,
    pub address: SocketAddr,
    /// Stands before it, where the plan asks for proxies.
    pub proxy: Option<Proxy>,
}

#[derive(Debug)]
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Server>,
    pub rating: SocketAddr,
    pub vms: SocketAddr,
    /// Between daemons, by the one that connects and the one that accepts.
    pub links: Vec<(usize, usize, Proxy)>,
    dir: PathBuf,
    others: Vec<Process>,
    held: Option<HeldPorts>,
}

impl Fleet {
    /// Starts everything and founds the cluster on the first daemon.
    pub async fn start(plan: &Plan) -> Self {
        let fleet = Self::start_unfounded(plan).await;
        fleet.await_live().await;
        let founded = fleet.operate(0, "POST", "/v1/found", &Value::Null).await;
        assert_eq!(founded.status, 200, "{}", founded.text());
        fleet.await_ready().await;
        fleet
    }

    /// Starts everything without founding a cluster.
    pub async fn start_unfounded(plan: &Plan) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("samphireshift-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder for the fleet");
        let (rating_process, rating) = Process::fake("rating", &[]);
        let (vms_process, vms) = Process::fake("vms", &[]);
        let others = vec![rating_process, vms_process];
        let (daemons, servers, links) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self { daemons, servers, rating, vms, links, dir, others, held: None };
        for arguments in &plan.cheap {
            fleet.add_server("engine", "cheap", arguments);
        }
        for arguments in &plan.better {
            fleet.add_server("engine", "better", arguments);
        }
        fleet.add_server("service", "ledger", &[]);
        if plan.proxies {
            for server in &mut fleet.servers {
                server.proxy = Some(Proxy::spawn(server.address).await);
            }
        }
        fleet.publish_vms(&[]).await;
        fleet.spawn_daemons(plan, own_address(number)).await;
        fleet
    }

    pub fn add_server(&mut self, kind: &str, pool: &str, arguments: &[&str]) {
        let name = format!("{pool}-{}", self.servers.len());
        let (process, address) = Process::fake(kind, arguments);
        self.servers.push(Server { name, pool: pool.to_owned(), process, address, proxy: None });
    }

    /// Puts the servers on the VM list; those in `leaving` as leaving.
    pub async fn publish_vms(&self, leaving: &[&str]) {
        let entry = |server: &Server| {
            let seen = server.proxy.as_ref().map_or(server.address, |proxy| proxy.address);
            let state = if leaving.contains(&server.name.as_str()) { "leaving" } else { "live" };
            json!({
                "vm": server.name, "address": seen, "data_centre": "dc-0",
                "pool": server.pool, "state": state,
            })
        };
        let list: Vec<Value> = self.servers.iter().map(entry).collect();
        let reply = call(self.vms, "POST", "/fake/set", &[], &Value::from(list)).await;
        assert_eq!(reply.status, 200);
    }

    async fn spawn_daemons(&mut self, plan: &Plan, ip: IpAddr) {
        let held = HeldPorts::open(ip, plan.disks.len() * 3);
        let three = |i: usize| [0, 1, 2].map(|port| held.address(i * 3 + port));
        let ports: Vec<_> = (0..plan.disks.len()).map(three).collect();
        self.held = Some(held);
        if plan.proxies {
            self.spawn_links(&ports).await;
        }
        for (i, disk) in plan.disks.iter().enumerate() {
            let name = format!("entry-{i}");
            let folder = disk.then(|| self.dir.join(&name));
            let [callers, operators, peers] = ports[i];
            let others = ports.iter().enumerate().filter(|(j, _)| *j != i);
            let seen = |(j, p): (usize, &[SocketAddr; 3])| {
                let link = self.links.iter().find(|link| (link.0, link.1) == (i, j));
                link.map_or(p[2], |link| link.2.address).to_string()
            };
            let list: Vec<String> = others.map(seen).collect();
            let mut sections = vec![
                ("vm", "name", name.clone()),
                ("vm", "data_centre", format!("dc-{}", i % 3)),
                ("listen", "callers", callers.to_string()),
                ("listen", "operators", operators.to_string()),
                ("listen", "peers", peers.to_string()),
                ("cluster", "secret", "cluster-secret".to_owned()),
                ("cluster", "peers", list.join(", ")),
                ("operators", "token", TOKEN.to_owned()),
                ("platform", "vm_list", format!("http://{}", self.vms)),
                ("rating", "address", self.rating.to_string()),
            ];
            if let Some(folder) = &folder {
                sections.push(("vm", "data_folder", folder.display().to_string()));
            }
            sections.extend(plan.settings.iter().map(|(s, k, v)| (*s, *k, (*v).to_owned())));
            let settings = self.dir.join(format!("{name}.ini"));
            std::fs::write(&settings, ini(&sections)).expect("settings can be written");
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

    async fn spawn_links(&mut self, ports: &[[SocketAddr; 3]]) {
        for from in 0..ports.len() {
            for (to, port) in ports.iter().enumerate().filter(|(to, _)| *to != from) {
                self.links.push((from, to, Proxy::spawn(port[2]).await));
            }
        }
    }

    /// Brings a fault about on every connection between a daemon and the others, both ways.
    pub fn isolate(&self, i: usize, fault: Fault) {
        let ours = self.links.iter().filter(|(from, to, _)| *from == i || *to == i);
        ours.for_each(|(_, _, proxy)| proxy.set(fault));
    }

    /// The proxy between two daemons.
    pub fn link(&self, from: usize, to: usize) -> &Proxy {
        let link = self.links.iter().find(|link| (link.0, link.1) == (from, to));
        &link.expect("the plan asked for proxies").2
    }

    /// The status of a daemon's health check.
    pub async fn health(&self, i: usize) -> u16 {
        call(self.daemons[i].callers, "GET", "/health/ready", &[], &Value::Null).await.status
    }

    /// A daemon whose operator port answers.
    pub async fn any_up(&self) -> Option<usize> {
        for i in 0..self.daemons.len() {
            if self.operate(i, "GET", "/v1/live", &Value::Null).await.status != 0 {
                return Some(i);
            }
        }
        None
    }

    /// Waits until every group has so many voters.
    pub async fn await_voters(&self, count: usize) {
        await_until("enough voters", async || {
            let status = self.operate(0, "GET", "/v1/status", &Value::Null).await.json();
            let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
            let groups = daemons.iter().filter_map(|daemon| daemon["groups"].as_array());
            let voters = |group: &Value| group["voters"].as_array().map_or(0, |v| v.len());
            daemons.len() == self.daemons.len()
                && groups.flatten().all(|group| voters(group) == count)
        })
        .await;
    }

    /// The daemon that leads the control group.
    pub async fn leader(&self) -> usize {
        let mut found = None;
        await_until("a leader", async || {
            for i in 0..self.daemons.len() {
                let call = self.operate(i, "GET", "/v1/status", &Value::Null).await.json();
                let daemons = call["daemons"].as_array().cloned().unwrap_or_default();
                let name = &self.daemons[i].name;
                let own = daemons.iter().find(|daemon| daemon["vm"] == name.as_str());
                let groups = own.and_then(|own| own["groups"].as_array().cloned());
                let leads = |view: &Value| view["group"] == "Control" && view["leading"] == true;
                if groups.unwrap_or_default().iter().any(leads) {
                    found = Some(i);
                }
            }
            found.is_some()
        })
        .await;
        found.expect("just found")
    }

    /// Starts a daemon's process again after it ended.
    pub fn restart(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        daemon.process.kill();
        daemon.process = spawn_daemon(&daemon.settings);
    }

    /// Waits until every daemon answers at all.
    pub async fn await_live(&self) {
        for daemon in &self.daemons {
            let live = || call(daemon.operators, "GET", "/v1/live", &[], &Value::Null);
            await_until(&format!("{} is live", daemon.name), async || live().await.status != 0)
                .await;
        }
    }

    /// Waits until every daemon that runs is ready for callers.
    pub async fn await_ready(&self) {
        for daemon in &self.daemons {
            let ready = || call(daemon.callers, "GET", "/health/ready", &[], &Value::Null);
            await_until(&format!("{} is ready", daemon.name), async || ready().await.status == 200)
                .await;
        }
    }

    /// An operator's call to a daemon.
    pub async fn operate(&self, i: usize, method: &str, path: &str, body: &Value) -> Reply {
        let bearer = format!("Bearer {TOKEN}");
        call(self.daemons[i].operators, method, path, &[("authorization", &bearer)], body).await
    }

    /// Applies a ticket and waits until it is in force; panics where it is refused.
    pub async fn apply(&self, ticket: &Value) -> u64 {
        self.apply_at(0, ticket).await
    }

    /// Applies a ticket through one daemon.
    pub async fn apply_at(&self, i: usize, ticket: &Value) -> u64 {
        let answer = self.operate(i, "POST", "/v1/tickets", ticket).await;
        let revision = answer.json()["accepted"]["revision"].as_u64();
        let revision = revision.unwrap_or_else(|| panic!("refused: {}", answer.text()));
        let path = format!("/v1/in-force/{revision}?wait=10000");
        let seen = self.operate(i, "GET", &path, &Value::Null).await;
        assert_eq!(seen.json()["in_force"], true, "{}", seen.text());
        revision
    }

    /// A caller's chat completion.
    pub async fn chat(&self, i: usize, headers: &[(&str, &str)], body: &Value) -> Reply {
        self.ask(i, "/v1/chat/completions", headers, body).await
    }

    /// A caller's POST with the key of the first ticket.
    pub async fn ask(&self, i: usize, path: &str, headers: &[(&str, &str)], body: &Value) -> Reply {
        let bearer = format!("Bearer {}", super::ticket::KEY);
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        call(self.daemons[i].callers, "POST", path, &all, body).await
    }

    /// Changes a fake's behaviour.
    pub async fn set(&self, address: SocketAddr, change: &Value) {
        assert_eq!(call(address, "POST", "/fake/set", &[], change).await.status, 200);
    }

    /// What a fake served.
    pub async fn log(&self, address: SocketAddr) -> Vec<Value> {
        let reply = call(address, "GET", "/fake/log", &[], &Value::Null).await;
        reply.json().as_array().cloned().unwrap_or_default()
    }

    /// The address of the first server of a pool.
    pub fn server(&self, pool: &str) -> SocketAddr {
        self.servers.iter().find(|server| server.pool == pool).expect("such a server").address
    }

    /// Runs the command-line tool against a daemon.
    pub fn tool(&self, i: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(programs().join("samphireshift"));
        command.env("SAMPHIRESHIFT_TOKEN", TOKEN);
        command.arg("--operator").arg(self.daemons[i].operators.to_string());
        command.args(arguments).output().expect("the tool can be run")
    }

    /// A file in the fleet's folder.
    pub fn file(&self, name: &str, contents: &str) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, contents).expect("a file can be written");
        path
    }

    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Fleet {
    /// Shows the end of what each daemon logged, for a test that has failed.
    fn print_logs(&self) {
        for daemon in &self.daemons {
            let log = daemon.settings.with_extension("log");
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let last = lines.len().saturating_sub(LOG_LINES);
            eprintln!("{} logged last:\n{}", daemon.name, lines[last..].join("\n"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(|daemon| daemon.process.kill());
        if std::thread::panicking() {
            self.print_logs();
        }
        // A folder that stays behind harms nobody.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Waits, within a bound, until something holds.
pub async fn await_until<F>(what: &str, mut holds: F)
where
    F: AsyncFnMut() -> bool,
{
    let until = Instant::now() + READY_LIMIT;
    while !holds().await {
        assert!(Instant::now() < until, "not reached: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
