//! A VM list: `GET /vms` reads it, `POST /fake/set` replaces it.

use crate::http_server::{json, read_json, serve};
use crate::options::Options;
use http::Request;
use hyper::body::Incoming;
use serde_json::Value;
use std::io;
use std::sync::{Arc, Mutex};

/// Runs a VM list.
pub async fn run(options: Options) -> io::Result<()> {
    let list = Arc::new(Mutex::new(Value::Array(Vec::new())));
    let handler = move |request: Request<Incoming>| {
        let list = list.clone();
        Box::pin(async move {
            if request.uri().path() == "/fake/set" {
                let new = read_json(request).await;
                *list.lock().unwrap() = new;
            }
            Some(json(200, &list.lock().unwrap().clone()))
        }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}
