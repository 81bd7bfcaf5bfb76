//! Raw HTTP over TCP, for requests that a conforming client library cannot send.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends bytes and reads until the peer closes the connection; panics if it is not closed in time.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let work = async {
        let mut stream =
            TcpStream::connect(address).await.expect("the peer accepts the connection");
        let (mut reader, mut writer) = stream.split();
        let mut answer = Vec::new();
        // The peer may answer and close the connection before it has read the whole request.
        let (_, _) = tokio::join!(writer.write_all(bytes), reader.read_to_end(&mut answer));
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, work)
        .await
        .expect("the peer closes the connection in time")
}

/// Formats a chat completion request with a matching `content-length`.
pub fn chat(key: &str, headers: &str, body: &str) -> String {
    post("/v1/chat/completions", key, headers, body)
}

/// Formats a POST request with a matching `content-length`; `headers` are lines ending in CRLF.
pub fn post(path: &str, key: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// The status code of a raw HTTP response; 0 if there is no valid one.
pub fn status(answer: &str) -> u16 {
    answer.get(9..12).and_then(|text| text.parse().ok()).unwrap_or(0)
}
