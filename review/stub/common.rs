//! Stand-ins of a small deployment: settings, the list of replicas, the operator, clients, replicas.
//! The programs under test are started with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";

/// What was sent, answered and run, in order, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn say(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} s  {text}").expect("the record can be written");
    }
}

/// A message with its head and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before its head is complete.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { line, headers, body: Vec::new(), whole: false };
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        while buffer.len() < length {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return Some(message),
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            }
        }
        message.body = buffer.drain(..length).collect();
        message.whole = true;
        return Some(message);
    }
    if !message.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        message.whole = true;
        return Some(message);
    }
    loop {
        let line_end = buffer.windows(2).position(|bytes| bytes == b"\r\n");
        if let Some(at) = line_end {
            let text = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let size = usize::from_str_radix(text.trim(), 16).unwrap_or(0);
            if buffer.len() >= at + 2 + size + 2 {
                let data: Vec<u8> = buffer.drain(..at + 2 + size + 2).collect();
                message.body.extend_from_slice(&data[at + 2..at + 2 + size]);
                if size == 0 {
                    message.whole = true;
                    return Some(message);
                }
                continue;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return Some(message),
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Sends a request on a new connection and reads its answer; `None` without one.
pub fn ask(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

/// The list of replicas that the platform keeps, as the bytes of its only page.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    page: Arc<Mutex<Vec<u8>>>,
}

impl List {
    pub fn serve(page: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let list =
            Self { address: listener.local_addr().unwrap(), page: Arc::new(Mutex::new(page)) };
        let page = list.page.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let page = page.clone();
                thread::spawn(move || serve_page(stream, &page));
            }
        });
        list
    }

    pub fn set(&self, page: Vec<u8>) {
        *self.page.lock().unwrap() = page;
    }
}

fn serve_page(mut stream: TcpStream, page: &Mutex<Vec<u8>>) {
    let mut buffer = Vec::new();
    while read_message(&mut stream, &mut buffer).is_some() {
        let body = page.lock().unwrap().clone();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

/// An entry of the list.
pub fn entry(id: &str, service: &str, address: SocketAddr, state: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"perth-a\",\
         \"version\":\"v1\",\"batch_slots\":16,\"state\":\"{state}\",\"warmup_left_ms\":0}}"
    )
}

/// A page with these entries.
pub fn page(entries: &[Vec<u8>]) -> Vec<u8> {
    [b"{\"instances\":[".as_slice(), &entries.join(&b','), b"],\"next\":null}"].concat()
}

/// A process that is killed when this is dropped.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Fills in the template of the settings as DEPLOY.md tells, as far as the template needs it.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("a section's name ends");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("a section ends");
        let inner = text[name_end + 2..end].to_owned();
        let shown = values.get(name.as_str()).map(|value| inner.replace("{{.}}", value));
        text.replace_range(start..end + close.len(), &shown.unwrap_or_default());
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(
        !text.contains("{{"),
        "the template has a field that this stand-in does not know: {text}"
    );
    text
}

/// A small deployment: three machines of the core, machines that take requests, and machines of the core
/// that are added later.
pub struct Deployment {
    pub routers: Vec<SocketAddr>,
    pub operators: Vec<SocketAddr>,
    folder: PathBuf,
    list: SocketAddr,
    processes: BTreeMap<u8, Process>,
}

fn ip(host: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + host, high, low.max(1))
}

fn control(host: u8) -> SocketAddr {
    SocketAddr::new(ip(host).into(), 28_229)
}

/// The machines of the core at the start.
const CORE: u8 = 3;
/// The first machine that takes requests.
const FIRST_ROUTER: u8 = 11;

impl Deployment {
    pub fn start(router_count: u8, list: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let mut deployment = Self {
            routers: Vec::new(),
            operators: (1..=CORE).map(control).collect(),
            folder,
            list,
            processes: BTreeMap::new(),
        };
        (1..=CORE).for_each(|host| deployment.start_node(host, true));
        for host in FIRST_ROUTER..FIRST_ROUTER + router_count {
            deployment.routers.push(SocketAddr::new(ip(host).into(), 28_227));
            deployment.start_node(host, true);
        }
        deployment
    }

    /// Starts the process of a machine with settings as DEPLOY.md tells.
    pub fn start_node(&mut self, host: u8, bootstrap: bool) {
        let is_router = host >= FIRST_ROUTER;
        let name = format!("node-{host}");
        let seeds: Vec<String> = (1..=CORE).map(|host| control(host).to_string()).collect();
        let zone = ["perth-a", "perth-b", "perth-c"][usize::from(host) % 3];
        let role = if is_router { "router" } else { "voter" };
        let mut values: BTreeMap<&str, String> = [
            ("node_name", name.as_str()),
            ("zone", zone),
            ("role", role),
            ("internal_port_range.0", "27340"),
            ("internal_port_range.1", "27355"),
            ("fault_tolerance.machines", "1"),
            ("bounds.revoke_ms", "5000"),
            ("bounds.config_apply_ms", "2000"),
            ("bounds.grace_s", "8"),
            ("bounds.session_s", "5"),
            ("bounds.retry_budget_ratio", "0.9"),
            ("bounds.budget_window_s", "10"),
            ("bounds.retry_budget_extra", "52"),
            ("bounds.exposure_share", "0.15"),
        ]
        .map(|(name, value)| (name, value.to_owned()))
        .into();
        values.insert("ip", ip(host).to_string());
        values.insert("seeds", seeds.join(","));
        values.insert("bootstrap", bootstrap.to_string());
        values.insert("cloud_api.address", self.list.to_string());
        if is_router {
            values.insert("listen.frontend", format!("{}:28227", ip(host)));
            values.insert("listen.readiness", format!("{}:28220", ip(host)));
        } else {
            values.insert("listen.control", control(host).to_string());
            values.insert("data_dir", self.data(host).display().to_string());
        }
        let template = fs::read_to_string("deploy/settings.ini").expect("the template");
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, render(&template, &values)).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new("target/release/samphireshift-platform")
            .env("SAMPHIRESHIFT_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file starts");
        self.processes.insert(host, Process(child));
    }

    fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Adds an empty machine of the core, which the operator then knows.
    pub fn add_core(&mut self, host: u8) {
        self.start_node(host, false);
        self.operators.push(control(host));
    }

    /// Sends SIGTERM to a machine of the core and waits until its process has ended. It stays away.
    pub fn remove_core(&mut self, host: u8, limit: Duration) -> bool {
        let Some(mut process) = self.processes.remove(&host) else { return false };
        self.operators.retain(|operator| *operator != control(host));
        let id = process.0.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {id}")]).status();
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(process.0.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// A machine of the core loses power and its disk.
    pub fn lose_disk(&mut self, host: u8) {
        self.processes.remove(&host);
        let _ = fs::remove_dir_all(self.data(host));
    }

    /// Sends an order until it gets a clear answer, to one machine of the core after the other.
    pub fn order(&self, method: &str, path: &str, body: &str) -> Option<Message> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        for attempt in 0..60 {
            let operator = self.operators[attempt % self.operators.len()];
            let answer = ask(operator, request.as_bytes(), Duration::from_secs(4));
            if let Some(answer) = answer.filter(|answer| answer.status() < 500) {
                return Some(answer);
            }
            thread::sleep(Duration::from_millis(250));
        }
        None
    }

    /// Waits until every machine that takes requests says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let probe = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        self.routers.iter().all(|router| {
            let address = SocketAddr::new(router.ip(), 28_220);
            loop {
                let answer = ask(address, probe, Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    return true;
                }
                if Instant::now() >= until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A replica that answers each request at once. Returns its address.
pub fn serve_plain(name: &'static str, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut buffer) {
                    let id = request.header("x-attempt-id").unwrap_or("").to_owned();
                    record.say(&format!("replica {name} runs request {id}"));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\
                         X-Response-Signature: {name}.{id}\r\nContent-Length: 2\r\n\r\nok"
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
