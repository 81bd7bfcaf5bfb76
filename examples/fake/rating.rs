//! Fake rating service that rates all answers of a version alike; `POST /fake/set` with
//! `{"model/version": quality}` changes the qualities.

use crate::http_server::{json_response, read_json, serve};
use crate::options::FakeOptions;
use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json as value};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Quality of versions that no `POST /fake/set` has set.
const DEFAULT_QUALITY: f64 = 0.9;

/// Serves the rating service.
pub async fn run(options: FakeOptions) -> io::Result<()> {
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
                return Some(json_response(200, &Value::Null));
            }
            let version = body["version"].as_str().unwrap_or("");
            let quality = qualities.get(version).copied().unwrap_or(DEFAULT_QUALITY);
            Some(json_response(200, &value!({ "quality": quality })))
        }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}
