//! A rating service: quality by version, changed by `POST /fake/set` with `{"model/version": q}`.

use crate::http_server::{json, read_json, serve};
use crate::options::Options;
use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json as value};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};

const DEFAULT_QUALITY: f64 = 0.9;

/// Runs a rating service.
pub async fn run(options: Options) -> io::Result<()> {
    let qualities: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let handler = move |request: Request<Incoming>| {
        let qualities = qualities.clone();
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let body = read_json(request).await;
            let mut qualities = qualities.lock().unwrap();
            if path == "/fake/set" {
                let pairs = body.as_object().into_iter().flatten();
                qualities.extend(pairs.filter_map(|(k, v)| Some((k.clone(), v.as_f64()?))));
                return Some(json(200, &Value::Null));
            }
            let version = body["version"].as_str().unwrap_or("");
            let quality = qualities.get(version).copied().unwrap_or(DEFAULT_QUALITY);
            Some(json(200, &value!({ "quality": quality })))
        }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}
