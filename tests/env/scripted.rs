//! A backend server within the test process that answers every request with given bytes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the server does with the connection after it has sent the response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AfterResponse {
    Close,
    /// Keeps the connection open but neither reads nor writes any more.
    Stall,
    /// Reads the next request.
    KeepOpen,
    /// Sends the same text again and again until the connection is closed.
    Endless(&'static str),
    /// The same with a pause after each time.
    Trickle(&'static str, Duration),
    /// Keeps the connection open and sends the text again after a pause, then reads the next
    /// request.
    Late(Duration, &'static str),
}

/// The response to every request.
#[derive(Debug, Clone)]
pub struct Script {
    /// Raw HTTP response; each `$ID` is replaced by the `x-request-id` of the request.
    pub response: String,
    pub after: AfterResponse,
}

/// A listening server; its response can be changed while it runs.
#[derive(Debug)]
pub struct ScriptedServer {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    served: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
}

impl ScriptedServer {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let script = Arc::new(Mutex::new(script));
        let (served, connections) = <(Arc<AtomicU64>, Arc<AtomicU64>)>::default();
        let (task_script, task_served, task_connections) =
            (script.clone(), served.clone(), connections.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task_connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, task_script.clone(), task_served.clone()));
            }
        });
        Self { address, script, served, connections }
    }

    /// Changes the response to all later requests.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().unwrap() = script;
    }

    /// Number of requests received, without requests for load reports.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Number of connections accepted.
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
        let Script { response, after } = script.lock().unwrap().clone();
        let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or("");
        if stream.write_all(response.replace("$ID", id).as_bytes()).await.is_err() {
            return;
        }
        match after {
            AfterResponse::Close => return,
            AfterResponse::Stall => std::future::pending().await,
            AfterResponse::KeepOpen => {}
            AfterResponse::Endless(text) => {
                let block = text.repeat((64 << 10) / text.len());
                while stream.write_all(block.as_bytes()).await.is_ok() {}
                return;
            }
            AfterResponse::Trickle(text, pause) => {
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    tokio::time::sleep(pause).await;
                }
                return;
            }
            AfterResponse::Late(pause, text) => {
                tokio::time::sleep(pause).await;
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads a request with its body and returns its head; `None` if the connection is closed first.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize =
                length.map_or(0, |length| length.parse().expect("a valid content-length"));
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
