//! A small deployment: voters and routers as processes of the deploy file's program, and stand-ins for the
//! platform's list and for replicas.

use crate::net::{Connection, Message, read_message};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/samphireshift-platform";
const ZONES: [&str; 3] = ["perth-a", "perth-b", "perth-c"];
const OPERATORS: u16 = 8229;
const CALLERS: u16 = 8227;
const READY: u16 = 8220;
const PEERS: u16 = 7340;
const METRICS: u16 = 7341;
const REPLICAS: u16 = 8120;
const LIST: u16 = 8223;
/// Requests that a replica runs at the same time, and how long each takes.
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(15);

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// What clients wait for at most on these routes.
pub const DEADLINE: Duration = Duration::from_millis(2_000);

/// The processes that this script has started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of a script that takes too long.
pub fn end_all() {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Self { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn add(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    pub fn say(&self, text: &str) {
        self.add(text);
        println!("{text}");
    }
}

/// One request that a replica took, and what it did with it.
#[derive(Debug, Clone)]
pub struct Taken {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub ran: bool,
}

/// A sound replica.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    pub taken: Mutex<Vec<Taken>>,
    pub draining: AtomicBool,
    /// Requests that run and that wait.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
    /// Share of the requests that a bad version answers with a failure of its own, in hundredths.
    pub fails: AtomicU32,
}

impl Replica {
    /// Its entry in the platform's list, with all fields.
    pub fn entry(&self) -> String {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","batch_slots":{SLOTS},"state":"{state}","warmup_left_ms":0,"id":"{}"}}"#,
            self.service, self.address, self.zone, self.version, self.id
        )
    }

    /// Runs one request in a slot, after those before it. Returns the load after it.
    fn run(&self) -> (u32, u32) {
        let mut load = self.load.lock().unwrap();
        load.1 += 1;
        let mut load = self.freed.wait_while(load, |load| load.0 >= SLOTS).unwrap();
        *load = (load.0 + 1, load.1 - 1);
        drop(load);
        thread::sleep(WORK);
        let mut load = self.load.lock().unwrap();
        load.0 -= 1;
        self.freed.notify_one();
        *load
    }
}

/// The deployment. All processes end with it.
pub struct Fleet {
    pub record: Arc<Record>,
    pub replicas: Vec<Arc<Replica>>,
    pub list: Arc<Mutex<Vec<u8>>>,
    folder: PathBuf,
    net: [u8; 2],
    voters: usize,
    routers: usize,
    processes: BTreeMap<String, Child>,
    calls: AtomicU32,
}

impl Fleet {
    pub fn new(record: &Arc<Record>, voters: usize, routers: usize) -> Result<Self, String> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("samphireshift-review-2-{id}"));
        fs::create_dir_all(&folder).map_err(|error| format!("no temporary folder: {error}"))?;
        // Addresses of this run only: 127.a.b.x.
        let net = [64 + (id >> 8) as u8 % 128, id as u8];
        let list = Arc::new(Mutex::new(Vec::new()));
        let fleet = Self {
            record: record.clone(),
            replicas: Vec::new(),
            list: list.clone(),
            folder,
            net,
            voters,
            routers,
            processes: BTreeMap::new(),
            calls: AtomicU32::new(0),
        };
        let listener = fleet.bind(200, LIST)?;
        thread::spawn(move || serve_list(&listener, &list));
        Ok(fleet)
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    fn bind(&self, host: u8, port: u16) -> Result<TcpListener, String> {
        TcpListener::bind(self.address(host, port)).map_err(|error| format!("no port: {error}"))
    }

    pub fn operators(&self, voter: usize) -> SocketAddr {
        self.address(10 + voter as u8, OPERATORS)
    }

    pub fn callers(&self, router: usize) -> SocketAddr {
        self.address(50 + router as u8, CALLERS)
    }

    /// Starts a replica; it is not in the list yet.
    pub fn add_replica(
        &mut self,
        id: &str,
        service: &str,
        version: &str,
    ) -> Result<Arc<Replica>, String> {
        let number = self.replicas.len();
        let listener = self.bind(100 + number as u8, REPLICAS)?;
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: ZONES[number % 3].to_owned(),
            address: listener.local_addr().map_err(|error| error.to_string())?,
            taken: Mutex::default(),
            draining: AtomicBool::new(false),
            load: Mutex::default(),
            freed: Condvar::new(),
            fails: AtomicU32::new(0),
        });
        self.replicas.push(replica.clone());
        let (serving, record) = (replica.clone(), self.record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, record) = (serving.clone(), record.clone());
                thread::spawn(move || serve_replica(stream, &replica, &record));
            }
        });
        Ok(replica)
    }

    /// Puts the entries of these replicas into the list, behind other ones.
    pub fn set_list(&self, replicas: &[Arc<Replica>], other: &[Vec<u8>]) {
        let mut entries: Vec<Vec<u8>> = other.to_vec();
        entries.extend(replicas.iter().map(|replica| replica.entry().into_bytes()));
        let mut page = br#"{"instances":["#.to_vec();
        page.extend(entries.join(&b','));
        page.extend(br#"],"next":null}"#);
        *self.list.lock().unwrap() = page;
    }

    /// Starts all voters and routers, as a platform does the first time.
    pub fn start(&mut self) -> Result<(), String> {
        for voter in 0..self.voters {
            self.start_voter(voter, true)?;
        }
        for router in 0..self.routers {
            self.start_router(router)?;
        }
        Ok(())
    }

    /// The text that the platform makes of `deploy/settings.ini` for a small deployment.
    fn settings(&self, name: &str, role: &str, zone: usize, own: &str, first: bool) -> String {
        let seeds: Vec<String> =
            (0..self.voters.min(3)).map(|voter| self.operators(voter).to_string()).collect();
        format!(
            "[vm]\nname = {name}\ndata_centre = {}\nrole = {role}\n{own}\
             [cluster]\nsecret = samphireshift-fleet\nseeds = {}\nfirst_start = {first}\nlosses = 1\n\
             [platform]\nvm_list = http://{}\npoll = 1s\n\
             regions = perth-a:perth,perth-b:perth,perth-c:perth\n\
             [lease]\nrenew = 500ms\n\
             [consensus]\nelection = 600ms\nheartbeat = 150ms\nreplace_after = 2s\n\
             [promises]\nrevoke = 5000ms\napply = 2000ms\nstop = 8s\nsession = 5s\nrepeats = 0.9\n\
             repeat_window = 10s\nrepeat_extra = 52\nexposure = 0.15\n\
             [routing]\nseparate_models = true\nkeep_first_answer = true\nplacement = learned\nway_kib = 4ms\n\
             [limits]\nsocket_buffer = 64KiB\n",
            ZONES[zone % 3],
            seeds.join(","),
            self.address(200, LIST)
        )
    }

    pub fn start_voter(&mut self, voter: usize, first: bool) -> Result<(), String> {
        let (name, host) = (format!("core-{voter}"), 10 + voter as u8);
        let data = self.folder.join(&name);
        let own = format!(
            "data_folder = {}\n[listen]\noperators = {}\npeers = {}\nmetrics = {}\n",
            data.display(),
            self.operators(voter),
            self.address(host, PEERS),
            self.address(host, METRICS)
        );
        let text = self.settings(&name, "voter", voter, &own, first);
        self.spawn(&name, &text)
    }

    pub fn start_router(&mut self, router: usize) -> Result<(), String> {
        let (name, host) = (format!("frontend-{router}"), 50 + router as u8);
        let own = format!(
            "[listen]\ncallers = {}\nready = {}\npeers = {}\nmetrics = {}\n",
            self.callers(router),
            self.address(host, READY),
            self.address(host, PEERS),
            self.address(host, METRICS)
        );
        let text = self.settings(&name, "router", router, &own, false);
        self.spawn(&name, &text)
    }

    fn spawn(&mut self, name: &str, settings: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.ini"));
        let log = self.folder.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(log);
        let (file, written) = (file.map_err(|e| e.to_string())?, fs::write(&path, settings));
        written.map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("SAMPHIRESHIFT_SETTINGS", &path).stdin(Stdio::null());
        command.stdout(file.try_clone().map_err(|e| e.to_string())?).stderr(file);
        let child =
            command.spawn().map_err(|error| format!("{PROGRAM} does not start: {error}"))?;
        self.record.add(&format!("{name} is started, process {}", child.id()));
        STARTED.lock().unwrap().push(child.id());
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            end(&mut child);
            self.record.add(&format!("{name} is killed"));
        }
    }

    /// The disk of a machine that is down is lost.
    pub fn lose_disk(&self, name: &str) {
        let _ = fs::remove_dir_all(self.folder.join(name));
        self.record.add(&format!("{name} has lost its disk"));
    }

    /// SIGKILL for all.
    pub fn kill_all(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        names.iter().for_each(|name| self.kill(name));
    }

    /// A port for a proxy before a voter.
    pub fn proxy(&self) -> Result<TcpListener, String> {
        self.bind(150, OPERATORS)
    }

    /// Sends a signal, as STOP or CONT, to a process of this fleet.
    pub fn signal(&self, name: &str, signal: &str) {
        let Some(child) = self.processes.get(name) else { return };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        self.record.add(&format!("{name} gets SIG{signal}: {sent:?}"));
    }

    /// The text that a process has logged.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sends an order to a voter once; as callers do, gives up after a second.
    pub fn operate(
        &self,
        voter: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Message, String> {
        let address = self.operators(voter);
        let answered =
            Connection::open(address, Duration::from_secs(1)).and_then(|mut connection| {
                connection.call(method, path, &[("Host", "c")], body.as_bytes())
            });
        let shown =
            answered.as_ref().map(|answer| format!("{} {}", answer.status(), answer.text()));
        let shown = shown.unwrap_or_else(|error| format!("no answer: {error}"));
        self.record.add(&format!("operator: {method} {path} at core-{voter}: {}", short(&shown)));
        answered.map_err(|error| error.to_string())
    }

    /// Sends an order to one voter after another until one acknowledges it.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        first: usize,
    ) -> Result<Message, String> {
        let until = Instant::now() + Duration::from_secs(20);
        for voter in first.. {
            let answer = self.operate(voter % self.voters, method, path, body);
            match answer {
                Ok(answer) if answer.status() < 500 => return Ok(answer),
                _ if Instant::now() > until => break,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(format!("{method} {path} was not answered within 20 s"))
    }

    pub fn is_ready(&self, router: usize) -> bool {
        let address = self.address(50 + router as u8, READY);
        let asked = Connection::open(address, Duration::from_secs(1))
            .and_then(|mut connection| connection.call("GET", "/v1/readyz", &[("Host", "r")], b""));
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..self.routers).all(|router| self.is_ready(router)) {
            if Instant::now() > until {
                return Err("the routers are not ready within 20 s".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Clients on all routers call for this long, each on a new connection per request. Returns what came of
    /// each request, by its id.
    pub fn crowd(
        &self,
        clients: usize,
        lasts: Duration,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Vec<(String, Result<Message, String>)> {
        let (until, all) = (Instant::now() + lasts, Mutex::new(Vec::new()));
        thread::scope(|scope| {
            for client in 0..clients {
                let all = &all;
                scope.spawn(move || {
                    while Instant::now() < until {
                        if let Ok(mut connection) =
                            Connection::open(self.callers(client % self.routers), DEADLINE)
                        {
                            let outcome = self.call(&mut connection, method, path, &[], body);
                            all.lock().unwrap().push(outcome);
                        }
                        thread::sleep(Duration::from_millis(40));
                    }
                });
            }
        });
        all.into_inner().unwrap()
    }

    /// A new attempt id.
    pub fn new_id(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_d07b_0000_0000_u64 + u64::from(self.calls.fetch_add(1, Ordering::SeqCst))
        )
    }

    /// Sends a client's request on a kept connection, or on a new one.
    pub fn call(
        &self,
        connection: &mut Connection,
        method: &str,
        path: &str,
        more: &[(&str, &str)],
        body: &[u8],
    ) -> (String, Result<Message, String>) {
        let id = self.new_id();
        let (deadline, key) = (DEADLINE.as_millis().to_string(), format!("Bearer {KEY}"));
        let mut headers = vec![
            ("Host", HOST),
            ("X-Attempt-Id", &id),
            ("X-Deadline-Ms", &deadline),
            ("Authorization", &key),
        ];
        headers.extend_from_slice(more);
        let answered = connection.call(method, path, &headers, body);
        let shown = match &answered {
            Ok(answer) => {
                let signed = answer.header("x-response-signature").unwrap_or("none");
                format!("{} signature {signed} {}", answer.status(), short(&answer.text()))
            }
            Err(error) => format!("no answer: {error}"),
        };
        self.record.add(&format!("client: {method} {path} {id}: {shown}"));
        (id, answered.map_err(|error| error.to_string()))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.values_mut().for_each(end);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

pub fn short(text: &str) -> String {
    text.chars().take(160).collect()
}

/// The platform's list: one page.
fn serve_list(listener: &TcpListener, list: &Arc<Mutex<Vec<u8>>>) {
    for mut stream in listener.incoming().flatten() {
        let list = list.clone();
        thread::spawn(move || {
            let mut rest = Vec::new();
            while let Ok(Some(_)) = read_message(&mut stream, &mut rest) {
                let page = list.lock().unwrap().clone();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    page.len()
                );
                if stream.write_all(&[head.as_bytes(), &page].concat()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Serves one connection as a sound replica does.
fn serve_replica(mut stream: TcpStream, replica: &Replica, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let expected = request.header("x-expected-instance");
        let is_mine = expected.is_none_or(|name| name == replica.id);
        let (status, ran) = match (id.is_empty(), is_mine) {
            (true, _) => ("400 Bad Request", false),
            (false, false) => ("421 Misdirected Request", false),
            (false, true) => ("200 OK", true),
        };
        let number = {
            let mut taken = replica.taken.lock().unwrap();
            let path = request.path().to_owned();
            taken.push(Taken { at: Instant::now(), id: id.clone(), path, ran });
            taken.len() as u32
        };
        record.add(&format!(
            "{} (service {}, {}) takes {} {id}: {status}",
            replica.id, replica.service, replica.version, request.line
        ));
        let (running, waiting) = if ran { replica.run() } else { *replica.load.lock().unwrap() };
        let fails = ran && number * 37 % 100 < replica.fails.load(Ordering::SeqCst);
        let status = if fails { "500 Internal Server Error" } else { status };
        let body =
            format!("{{\"served_by\":\"{}\",\"service\":\"{}\"}}", replica.id, replica.service);
        let mut head = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n");
        match ran {
            true => head.push_str(&format!("X-Response-Signature: {}.{number}\r\n", replica.id)),
            false => head.push_str("X-Not-Executed: 1\r\n"),
        }
        head.push_str(&format!(
            "X-Instance-Load: {running},{waiting},{SLOTS}\r\nKeep-Alive: timeout=5\r\n"
        ));
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}
