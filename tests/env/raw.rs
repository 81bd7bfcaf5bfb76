//! HTTP written byte by byte, for what no well-behaved client sends.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// Sends bytes and reads until the other end closes; panics where it never does.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let work = async {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let (mut reader, mut writer) = stream.split();
        let mut answer = Vec::new();
        // The other end may answer and close before it has read everything.
        let (_, _) = tokio::join!(writer.write_all(bytes), reader.read_to_end(&mut answer));
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::time::timeout(ANSWER_LIMIT, work).await.expect("the connection ends")
}

/// A POST of a chat completion with a body of its own length.
pub fn chat(key: &str, headers: &str, body: &str) -> String {
    post("/v1/chat/completions", key, headers, body)
}

/// A POST with a body of its own length.
pub fn post(path: &str, key: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// The status of an answer; 0 where there is none.
pub fn status(answer: &str) -> u16 {
    answer.get(9..12).and_then(|text| text.parse().ok()).unwrap_or(0)
}
