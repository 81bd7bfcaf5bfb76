use super::{read, respond};
use crate::name::RequestId;
use crate::route::{Answer, Refusal, RefusalCode, Router, Unsent};
use http::{HeaderMap, Method};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_server::ServerFuture;
use xitca_web::body::RequestBody;
use xitca_web::http::WebResponse;
use xitca_web::service::{ServiceExt, fn_service};
use xitca_web::{App, WebContext};

/// Threads that serve callers.
const WORKERS: usize = 2;
/// How long a caller may take to send the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// The largest head of a request, in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// How long a stopping front waits for its connections, in seconds; each ends by itself when its
/// answers are out or when it has been idle for long enough.
const STOP_SECONDS: u64 = 3_600;
const SERVICES: &str = "/v1/services/";

/// Serves callers on a listener until the returned future's handle stops it; an idle connection is
/// kept for `idle`.
pub fn serve(router: Arc<Router>, listener: TcpListener, idle: Duration) -> ServerFuture {
    let config = HttpServiceConfig::new()
        .request_head_timeout(HEAD_LIMIT)
        .keep_alive_timeout(idle)
        .max_read_buf_size::<HEAD_BYTES>();
    let app = App::new().with_state(router).at("/{*}", fn_service(handle)).finish();
    let service = Arc::new(app).enclosed(HttpServiceBuilder::with_config(config));
    xitca_server::Builder::new()
        .disable_signal()
        .worker_threads(WORKERS)
        .shutdown_timeout(STOP_SECONDS)
        .listen("callers", listener, service)
        .build()
}

async fn handle(
    mut ctx: WebContext<'_, Arc<Router>>,
) -> Result<WebResponse, xitca_web::error::Error> {
    let router = ctx.state().clone();
    let request = ctx.take_request();
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let closing = router.is_draining();
    if let Some(response) = health(&router, &path) {
        return Ok(respond::closing_if(response, closing));
    }
    let started = Instant::now();
    let id = RequestId::random();
    let served = serve_one(&router, id, &parts.method, &path, &parts.headers, body).await;
    let answer = served.unwrap_or_else(Answer::Refused);
    metrics::histogram!("samphireshift_head_seconds").record(started.elapsed().as_secs_f64());
    Ok(respond::respond(id, answer, closing))
}

async fn serve_one(
    router: &Arc<Router>,
    id: RequestId,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: RequestBody,
) -> Result<Answer, Refusal> {
    let unsent = Unsent::accepted();
    let meta = read::meta(router, id, headers, &unsent)?;
    let plain = path.split('?').next().unwrap_or(path);
    if method == Method::GET && plain == "/v1/models" {
        return Ok(Answer::Whole(models(router, &meta.organisation)));
    }
    if let Some(rest) = plain.strip_prefix(SERVICES).and_then(|_| path.strip_prefix(SERVICES)) {
        let body = read::body(body, router.body_limit, &unsent).await?;
        let call = read::service(meta, method.clone(), rest, headers, body);
        return Ok(router.call_service(call, unsent).await);
    }
    if method != Method::POST || plain != "/v1/chat/completions" {
        let text = format!("there is no {method} {plain}; see the README for the API");
        return Err(Refusal::not_run(RefusalCode::NotFound, text, &unsent));
    }
    let body = read::body(body, router.body_limit, &unsent).await?;
    let chat = read::chat(meta, &body, &unsent)?;
    Ok(router.chat(chat, unsent).await)
}

fn health(router: &Router, path: &str) -> Option<WebResponse> {
    let ready = !router.is_draining() && router.lease.config().is_some();
    match path {
        "/health/live" => Some(respond::json(200, r#"{"live":true}"#.to_owned())),
        "/health/ready" if ready => Some(respond::json(200, r#"{"ready":true}"#.to_owned())),
        "/health/ready" => Some(respond::json(503, r#"{"ready":false}"#.to_owned())),
        _ => None,
    }
}

fn models(router: &Router, organisation: &crate::name::OrganisationName) -> crate::route::Whole {
    let config = router.lease.config().unwrap_or_default();
    let mut data = Vec::new();
    if let Some(organisation) = config.organisations.get(organisation) {
        for (key, version) in config.versions_for(organisation) {
            let id = key.to_string();
            data.push(serde_json::json!({ "id": id, "object": "model", "state": version.state }));
        }
    }
    let body = serde_json::json!({ "object": "list", "data": data }).to_string();
    let media = "application/json".to_owned();
    crate::route::Whole { status: 200, media, body: body.into() }
}
