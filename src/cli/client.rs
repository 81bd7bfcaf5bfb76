use super::Options;
use crate::backend::ConnectionPool;
use crate::error::Error;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;

/// The environment variable that holds the operator token.
const TOKEN_VARIABLE: &str = "SAMPHIRESHIFT_TOKEN";
/// How long a connection may take to open.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// How long an answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// Talks to the operator port of one daemon.
pub struct Client {
    runtime: Runtime,
    address: SocketAddr,
    token: String,
    json: bool,
}

impl Client {
    /// Opens a client for the daemon that the options name.
    ///
    /// # Errors
    /// Where the token cannot be read.
    pub fn open(options: &Options) -> Result<Self, Error> {
        let token = match &options.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|cause| Error::File { path: path.clone(), cause })?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = token.trim().to_owned();
        if token.is_empty() {
            let message = format!("no operator token; give --token-file or set {TOKEN_VARIABLE}");
            return Err(Error::InvalidInput { message });
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime =
            runtime.map_err(|cause| Error::InvalidInput { message: cause.to_string() })?;
        Ok(Self { runtime, address: options.operator, token, json: options.json })
    }

    /// Whether JSON is wanted.
    pub fn wants_json(&self) -> bool {
        self.json
    }

    /// Asks for a document.
    ///
    /// # Errors
    /// Where the daemon cannot be reached or refuses.
    pub fn get(&self, path: &str) -> Result<Value, Error> {
        self.call(Method::GET, path, Bytes::new())
    }

    /// Sends a document.
    ///
    /// # Errors
    /// Where the daemon cannot be reached or refuses.
    pub fn post(&self, path: &str, body: Bytes) -> Result<Value, Error> {
        self.call(Method::POST, path, body)
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body));
        let request =
            request.map_err(|cause| Error::InvalidInput { message: cause.to_string() })?;
        let limited = async { tokio::time::timeout(ANSWER_LIMIT, self.exchange(request)).await };
        let answered = self.runtime.block_on(limited);
        let (status, bytes) =
            answered.unwrap_or_else(|_| Err(self.unreachable("no answer in time")))?;
        let value: Value = serde_json::from_slice(&bytes)
            .map_err(|_| self.unreachable("the answer is not JSON"))?;
        if status.is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"].as_str().unwrap_or("refused").to_owned();
        match status.as_u16() {
            401 | 400 | 413 => Err(Error::InvalidInput { message }),
            503 => Err(self.unreachable(&message)),
            _ => Err(Error::Refused { message }),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(http::StatusCode, Bytes), Error> {
        let connections = ConnectionPool::new(CONNECT_LIMIT);
        let taken = connections.acquire(self.address, true).await;
        let mut lent = taken.map_err(|cause| self.unreachable(&cause.to_string()))?;
        let sent = lent.send(request).await;
        let response = sent.map_err(|cause| self.unreachable(&cause.to_string()))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|cause| self.unreachable(&cause.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    fn unreachable(&self, cause: &str) -> Error {
        Error::Unreachable { address: self.address.to_string(), cause: cause.to_owned() }
    }
}
