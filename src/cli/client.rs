use super::Options;
use crate::backend::ConnectionPool;
use crate::error::Error;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;

/// The environment variable that holds the operator token.
const TOKEN_VARIABLE: &str = "SAMPHIRESHIFT_TOKEN";
/// How long to wait for the TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait for a complete response, including the wait until a ticket is in force.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// How often a request is sent again to where a daemon sends it back; other orders may come in between.
const MAX_REDIRECTS: usize = 2;

/// A daemon's answer to one request.
struct Answer {
    status: StatusCode,
    document: Value,
    /// Where the request is sent back to, on the same daemon.
    location: Option<String>,
}

/// HTTP client of the operator API of one daemon.
pub struct Client {
    runtime: Runtime,
    address: SocketAddr,
    token: String,
    json: bool,
}

impl Client {
    /// Creates a client for the daemon at the operator address; connects with the first request.
    ///
    /// # Errors
    /// Fails if there is no operator token or its file cannot be read.
    pub fn new(options: &Options) -> Result<Self, Error> {
        let token = match &options.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|cause| Error::File { path: path.clone(), cause })?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = token.trim().to_owned();
        if token.is_empty() {
            let message = format!("no operator token; pass --token-file or set {TOKEN_VARIABLE}");
            return Err(Error::InvalidInput { message });
        }
        Self::with_token(options.operator, token, options.json)
    }

    /// Creates a client for a daemon whose operator API needs no token.
    ///
    /// # Errors
    /// Fails if the process cannot be set up for it.
    pub fn without_token(address: SocketAddr) -> Result<Self, Error> {
        Self::with_token(address, String::new(), true)
    }

    fn with_token(address: SocketAddr, token: String, json: bool) -> Result<Self, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime =
            runtime.map_err(|cause| Error::InvalidInput { message: cause.to_string() })?;
        Ok(Self { runtime, address, token, json })
    }

    /// Whether results are printed as JSON instead of text.
    pub fn wants_json(&self) -> bool {
        self.json
    }

    /// Sends a GET request and returns the JSON document of the response.
    ///
    /// # Errors
    /// Fails if the daemon cannot be reached, does not respond in time or refuses the request.
    pub fn get(&self, path: &str) -> Result<Value, Error> {
        self.call(Method::GET, path, Bytes::new())
    }

    /// Sends a GET request and returns the JSON document of the response; `None` if there is none
    /// (status 404).
    ///
    /// # Errors
    /// Fails if the daemon cannot be reached, does not respond in time or refuses the request.
    pub fn get_if_found(&self, path: &str) -> Result<Option<Value>, Error> {
        match self.ask(Method::GET, path, Bytes::new())? {
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, value) => self.accept(status, value).map(Some),
        }
    }

    /// Sends a POST request with a JSON document and returns the document of the response.
    ///
    /// # Errors
    /// Fails if the daemon cannot be reached, does not respond in time or refuses the request.
    pub fn post(&self, path: &str, body: Bytes) -> Result<Value, Error> {
        self.call(Method::POST, path, body)
    }

    /// Sends a DELETE request and returns the document of the response.
    ///
    /// # Errors
    /// Fails if the daemon cannot be reached, does not respond in time or refuses the request.
    pub fn delete(&self, path: &str) -> Result<Value, Error> {
        self.call(Method::DELETE, path, Bytes::new())
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value, Error> {
        let (status, value) = self.ask(method, path, body)?;
        self.accept(status, value)
    }

    /// Sends a request, and again to where the daemon sends it back to be confirmed; returns the status and the
    /// JSON document of the response.
    fn ask(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Value), Error> {
        let mut path = path.to_owned();
        for _ in 0..MAX_REDIRECTS {
            let answer = self.ask_once(method.clone(), &path, body.clone())?;
            match answer.location {
                Some(next) if answer.status == StatusCode::TEMPORARY_REDIRECT => path = next,
                _ => return Ok((answer.status, answer.document)),
            }
        }
        let answer = self.ask_once(method, &path, body)?;
        Ok((answer.status, answer.document))
    }

    fn ask_once(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
        let mut request = Request::builder().method(method).uri(path);
        if !self.token.is_empty() {
            request = request.header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|cause| Error::InvalidInput { message: cause.to_string() })?;
        let exchange =
            async { tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(request)).await };
        let response = self.runtime.block_on(exchange);
        let response = response.unwrap_or_else(|_| Err(self.unreachable("no response in time")))?;
        let document = serde_json::from_slice(response.body())
            .map_err(|_| self.unreachable("the response is not JSON"))?;
        let location = response.headers().get(header::LOCATION);
        let location = location.and_then(|value| value.to_str().ok()).map(str::to_owned);
        Ok(Answer { status: response.status(), document, location })
    }

    fn accept(&self, status: StatusCode, value: Value) -> Result<Value, Error> {
        if status.is_success() {
            return Ok(value);
        }
        let error = &value["error"];
        let message = error["message"].as_str().or(error.as_str()).unwrap_or("refused").to_owned();
        match status.as_u16() {
            401 | 400 | 413 => Err(Error::InvalidInput { message }),
            503 => Err(self.unreachable(&message)),
            _ => Err(Error::Refused { message }),
        }
    }

    /// Sends one request over a new connection; returns the response with its whole body.
    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Error> {
        let connections = ConnectionPool::new(CONNECT_TIMEOUT);
        let connection = connections.acquire(self.address, true).await;
        let mut connection = connection.map_err(|cause| self.unreachable(&cause.to_string()))?;
        let response = connection.send(request).await;
        let response = response.map_err(|cause| self.unreachable(&cause.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|cause| self.unreachable(&cause.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    fn unreachable(&self, cause: &str) -> Error {
        Error::Unreachable { address: self.address.to_string(), cause: cause.to_owned() }
    }
}
