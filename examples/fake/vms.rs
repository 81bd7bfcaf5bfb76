//! Fake VM list: `GET /vms` returns the list, `POST /fake/set` replaces it.

use crate::http_server::{json_response, read_json, serve};
use crate::options::FakeOptions;
use http::Request;
use hyper::body::Incoming;
use serde_json::Value;
use std::io;
use std::sync::{Arc, Mutex};

/// Serves the VM list, empty at first.
pub async fn run(options: FakeOptions) -> io::Result<()> {
    let list = Arc::new(Mutex::new(Value::Array(Vec::new())));
    let handler = move |request: Request<Incoming>| {
        let list = list.clone();
        Box::pin(async move {
            if request.uri().path() == "/fake/set" {
                let new = read_json(request).await;
                *list.lock().unwrap() = new;
            }
            Some(json_response(200, &list.lock().unwrap().clone()))
        }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}
