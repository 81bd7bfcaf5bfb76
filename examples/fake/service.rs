//! A plain service that counts how often each call ran.
//!
//! `POST /fake/set` changes `delay_us`, `cut` (cut the connection after running) and `status`;
//! `GET /fake/log` lists the calls that ran.

use crate::http_server::{Body, json, read_json, serve};
use crate::options::Options;
use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json as value};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct Service {
    calls: Mutex<Vec<Value>>,
    delay: Mutex<Duration>,
    cut: Mutex<bool>,
    status: Mutex<u16>,
}

/// Runs a plain service.
pub async fn run(options: Options) -> io::Result<()> {
    let service = Arc::new(Service { status: Mutex::new(200), ..Service::default() });
    let handler = move |request: Request<Incoming>| {
        let service = service.clone();
        Box::pin(async move { service.handle(request).await }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}

impl Service {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/load" => {
                return Some(json(200, &value!({ "running": 0, "waiting": 0, "slots": 64 })));
            }
            "/fake/log" => {
                return Some(json(200, &Value::from(self.calls.lock().unwrap().clone())));
            }
            "/fake/set" => {
                self.set(&read_json(request).await);
                return Some(json(200, &Value::Null));
            }
            _ => {}
        }
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, key) = (header("x-request-id"), header("idempotency-key"));
        let body = read_json(request).await;
        let number = {
            let mut calls = self.calls.lock().unwrap();
            calls.push(value!({ "request": id, "key": key, "path": path, "body": body }));
            calls.len()
        };
        let delay = *self.delay.lock().unwrap();
        tokio::time::sleep(delay).await;
        if *self.cut.lock().unwrap() {
            return None;
        }
        let status = *self.status.lock().unwrap();
        Some(json(status, &value!({ "receipt": number, "path": path, "body": body })))
    }

    fn set(&self, change: &Value) {
        if let Some(micros) = change["delay_us"].as_u64() {
            *self.delay.lock().unwrap() = Duration::from_micros(micros);
        }
        if let Some(cut) = change["cut"].as_bool() {
            *self.cut.lock().unwrap() = cut;
        }
        if let Some(status) = change["status"].as_u64() {
            *self.status.lock().unwrap() = status as u16;
        }
    }
}
