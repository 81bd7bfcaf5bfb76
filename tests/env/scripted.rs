//! A backend server in the test's own process that answers with given bytes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What follows the bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Then {
    Close,
    Silence,
    NextRequest,
}

/// The answer to every request; `$ID` in it stands for the request's identity.
#[derive(Debug, Clone)]
pub struct Script {
    pub bytes: String,
    pub then: Then,
}

#[derive(Debug)]
pub struct Scripted {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    served: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
}

impl Scripted {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let script = Arc::new(Mutex::new(script));
        let (served, connections) = <(Arc<AtomicU64>, Arc<AtomicU64>)>::default();
        let (own_script, own_served, own_count) =
            (script.clone(), served.clone(), connections.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                own_count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, own_script.clone(), own_served.clone()));
            }
        });
        Self { address, script, served, connections }
    }

    pub fn set(&self, script: Script) {
        *self.script.lock().unwrap() = script;
    }

    /// Requests that were answered, load reports aside.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Connections that were accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, script: Arc<Mutex<Script>>, served: Arc<AtomicU64>) {
    while let Some(head) = read_request(&mut stream).await {
        if head.starts_with("GET") {
            let report = r#"{"running":0,"waiting":0,"slots":64,"versions":["cheap/v1"]}"#;
            let length = report.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{report}");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        served.fetch_add(1, Ordering::SeqCst);
        let Script { bytes, then } = script.lock().unwrap().clone();
        let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or("");
        if stream.write_all(bytes.replace("$ID", id).as_bytes()).await.is_err() {
            return;
        }
        match then {
            Then::Close => return,
            Then::Silence => std::future::pending().await,
            Then::NextRequest => {}
        }
    }
}

/// Reads a request and returns its head.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
            if body.len() >= length {
                return Some(head.to_owned());
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}
