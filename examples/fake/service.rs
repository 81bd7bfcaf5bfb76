//! Fake plain service that records each call that it executed.
//!
//! `POST /fake/set` changes `delay_us` (before the response), `cut` (close the connection after
//! executing the call, without a response) and `status` (of the response); `GET /fake/log` lists
//! the executed calls.

use crate::http_server::{Body, json_response, read_json, serve};
use crate::options::FakeOptions;
use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json as value};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct FakeService {
    calls: Mutex<Vec<Value>>,
    delay: Mutex<Duration>,
    cut_connection: Mutex<bool>,
    status: Mutex<u16>,
}

/// Serves the plain service.
pub async fn run(options: FakeOptions) -> io::Result<()> {
    let service = Arc::new(FakeService { status: Mutex::new(200), ..FakeService::default() });
    let handler = move |request: Request<Incoming>| {
        let service = service.clone();
        Box::pin(async move { service.handle(request).await }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}

impl FakeService {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/load" => {
                return Some(json_response(
                    200,
                    &value!({ "running": 0, "waiting": 0, "slots": 64 }),
                ));
            }
            "/fake/log" => {
                return Some(json_response(200, &Value::from(self.calls.lock().unwrap().clone())));
            }
            "/fake/set" => {
                self.configure(&read_json(request).await);
                return Some(json_response(200, &Value::Null));
            }
            _ => {}
        }
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, key) = (header("x-request-id"), header("idempotency-key"));
        let body = read_json(request).await;
        let receipt = {
            let mut calls = self.calls.lock().unwrap();
            calls.push(value!({ "request": id, "key": key, "path": path, "body": body }));
            calls.len()
        };
        let delay = *self.delay.lock().unwrap();
        tokio::time::sleep(delay).await;
        if *self.cut_connection.lock().unwrap() {
            return None;
        }
        let status = *self.status.lock().unwrap();
        Some(json_response(status, &value!({ "receipt": receipt, "path": path, "body": body })))
    }

    fn configure(&self, change: &Value) {
        if let Some(micros) = change["delay_us"].as_u64() {
            *self.delay.lock().unwrap() = Duration::from_micros(micros);
        }
        if let Some(cut_connection) = change["cut"].as_bool() {
            *self.cut_connection.lock().unwrap() = cut_connection;
        }
        if let Some(status) = change["status"].as_u64() {
            *self.status.lock().unwrap() = status as u16;
        }
    }
}
