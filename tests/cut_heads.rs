//! Servers that stop in the middle of the head of a response and close: nothing of it is a response.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use samphireshift::backend::{ConnectionPool, SendError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nX-Call: id\r\nX-Signature: s\r\nContent-Length: 1000\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Call: id\r\nX-Signature: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Call: id\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Call: id\r\nX-Signature: s\r\nConnection: close\r\n\r\n",
];
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a head that is cut off and passes for a whole one with an empty or short body (MIXED):
/// cut at each byte, by an end of the connection and by a reset.
#[tokio::test]
async fn a_head_that_is_cut_at_any_byte_is_no_response() {
    for head in HEADS {
        for end in 0..head.len() {
            for resets in [false, true] {
                let sent = send_to(&head[..end], resets).await;
                let cut = &head[..end];
                assert!(matches!(sent, Err(SendError::MaybeSent(_))), "{cut:?}, reset: {resets}");
            }
        }
    }
}

/// Sends a request to a server that writes `bytes` and ends the connection.
async fn send_to(bytes: &'static str, resets: bool) -> Result<(), SendError> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let count = stream.read(&mut request).await.unwrap();
        assert!(count > 0);
        stream.write_all(bytes.as_bytes()).await.unwrap();
        if resets {
            stream.set_zero_linger().unwrap();
        }
    });
    let mut connection = ConnectionPool::new(TIMEOUT).acquire(address, true).await?;
    let request = Request::get("/x").header("host", "h").body(Full::new(Bytes::new())).unwrap();
    let sent = tokio::time::timeout(TIMEOUT, connection.send_unchanged(request)).await;
    server.await.unwrap();
    sent.expect("an end of the connection is noticed").map(drop)
}
